"""The program's settings: one line-based file, validated as a whole before use."""
