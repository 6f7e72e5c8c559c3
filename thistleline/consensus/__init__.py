"""Raft: a few replicas agree on one log, though some of them are killed, paused or cut off."""
