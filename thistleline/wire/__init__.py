"""What is spoken: one file a protocol, parsing and formatting only."""
