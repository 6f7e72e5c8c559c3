"""A server with a ledger: its state machine and the thread that writes. Imported only where one is set."""
