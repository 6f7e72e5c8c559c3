"""A server with a ledger: its state machine and the ledger's writer. Imported only if a ledger is configured.

The ledger is a log on disk of the runs with an idempotency key; a restarted server reads it.
"""
