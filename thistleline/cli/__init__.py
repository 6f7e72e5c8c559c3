"""The command line. `python -m thistleline` without words is the instance and imports none of this."""
