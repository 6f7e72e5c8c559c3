"""Errors of the bench's wire."""


class BenchProtocolError(Exception):
    """A line that the bench's wire does not allow here."""
