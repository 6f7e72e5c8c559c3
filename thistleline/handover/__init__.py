"""A server that a steward keeps: tells what its work was worth, and hands over to the one that follows."""
