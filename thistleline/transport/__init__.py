"""Connections between processes of the program: length-prefixed messages over TCP, reconnected when lost."""
