"""Errors of the wire formats."""


class WireError(Exception):
    """Data that a wire format does not allow."""


class SettingsError(WireError):
    """The settings of a server are invalid; the message is a single line."""


class MalformedMessageError(WireError):
    """A peer's stream or message is malformed."""


class DurationError(WireError, ValueError):
    """A text is not a duration in seconds."""
