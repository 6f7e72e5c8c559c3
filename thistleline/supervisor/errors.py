"""Errors of the supervisor."""


class SupervisorError(Exception):
    """Base class of the supervisor's errors; the message describes the failure."""


class ReleaseError(SupervisorError):
    """A release or its settings are missing, invalid, or differ from the expected digest."""


class ServerProcessError(SupervisorError):
    """A server process can't be started or found."""
