"""What fingerprinted tasks did, kept over restarts: its form on disk, its decisions, its files."""
