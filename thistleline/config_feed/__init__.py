"""Configuration as a change feed: a keyed table, one sequence of small changes, relays, followers."""
