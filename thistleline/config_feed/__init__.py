"""Distributes configuration as a keyed table with one sequence of changes, through relays to followers."""
