"""The server process: it carries out the state machine's effects, from the first phase to the exit."""
