"""Errors of the bench protocol."""


class BenchProtocolError(Exception):
    """A line violates the bench protocol."""
