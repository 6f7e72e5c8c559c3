"""Real processes: the harness, what it starts beside the program, and the faults between them."""
