"""One for each machine: keeps the server at the desired version, and finds it again after its own death."""
