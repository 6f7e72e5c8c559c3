"""Links between processes of the program: bounded messages over TCP, kept up whatever becomes of them."""
