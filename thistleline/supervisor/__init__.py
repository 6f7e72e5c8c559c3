"""One a machine: keeps the server running that the conductor wants, found again after its own death."""
