"""The command line. `python -m thistleline` without arguments runs a server and imports none of this."""
