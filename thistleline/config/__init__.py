"""The settings of a program: one line-based file, validated as a whole before use."""
