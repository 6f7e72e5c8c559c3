"""Settings of the new parts: one line-based file, checked whole before use."""
