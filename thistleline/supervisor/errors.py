"""Errors of the supervisor."""


class SupervisorError(Exception):
    """Base of the supervisor's errors; the message says what went wrong."""


class ReleaseError(SupervisorError):
    """A release or its settings are missing, or are not the ones that are meant."""


class ServerProcessError(SupervisorError):
    """A server's process can't be started or found."""
