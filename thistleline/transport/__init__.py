"""Connections between the program's processes: length-prefixed messages over TCP, with reconnection."""
