"""The server process: runs the state machine and carries out its effects, from start to exit."""
