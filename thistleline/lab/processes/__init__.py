"""Real processes for the lab: the harness, the helper programs that it starts, and injected faults."""
