"""The server's state machine: its events and effects, its tables, and what it hosts, the admission policy."""
