"""The server's state machine: its events and effects, its tables, and the host of the admission policy."""
