"""Errors that the lease API raises."""


class LeaseError(Exception):
    """Base class of lease errors."""


class LeaseLostError(LeaseError):
    """The lease ended while the holder's block was running."""


class LeaseRefusedError(LeaseError):
    """The lease could not be acquired; the message says why."""


class LeaseTimeoutError(LeaseError):
    """The remaining validity of the lease is too short for the intended operation."""
