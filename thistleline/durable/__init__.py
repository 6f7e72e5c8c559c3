"""A server with a ledger: its state machine and its writer. Imported only if a ledger is configured."""
