"""Raft consensus: replicas agree on one log while a minority of them is crashed, paused or partitioned."""
