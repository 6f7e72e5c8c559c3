"""A server that keeps a ledger: its reducer and the thread that writes. Imported only where one is set."""
