"""The errors that a user of leases may see."""


class LeaseError(Exception):
    """Base of all errors of leases."""


class LeaseLostError(LeaseError):
    """The lease ended while its holder was at work."""


class LeaseRefusedError(LeaseError):
    """The lease could not be acquired; the message says why."""


class LeaseTimeoutError(LeaseError):
    """What is left of the lease is too short for the intended operation."""
