"""What is kept: the reducer and its tables."""
