"""Who is in the fleet, seen by all without a centre: gossip with probes and suspicion."""
