"""Leases: named, time-limited locks with fencing tokens, granted by the consensus cluster."""
