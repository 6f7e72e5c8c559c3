"""Start and stop: what carries the effects out, from the first phase to the exit."""
