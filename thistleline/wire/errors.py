"""The errors of the wire formats."""


class WireError(Exception):
    """Something that a wire format does not allow."""


class SettingsError(WireError):
    """The settings of a server make no sense; the message is one plain line."""


class MalformedMessageError(WireError):
    """A peer's stream or message can't be read."""


class DurationError(WireError, ValueError):
    """A text is no duration in seconds."""
