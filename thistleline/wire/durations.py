"""Durations in texts: decimal seconds."""

from decimal import Decimal, InvalidOperation

from thistleline.wire.errors import DurationError

MAX_SECONDS = 1 << 40  # prevents exponents whose digits would fill the memory
NANOSECONDS_PER_SECOND = 1_000_000_000


def parse_seconds(text: str) -> int:
    """Return the whole nanoseconds of a text in decimal seconds.

    Digits are never converted to a float, so that nothing drifts.

    Raises:
        DurationError: If the text is no number, or out of bounds.
    """
    whole, _, fraction = text.partition(".")
    if whole.isdigit() and (fraction.isdigit() or not fraction):
        return int(whole) * NANOSECONDS_PER_SECOND + int((fraction + "000000000")[:9])
    try:
        value = Decimal(text)
        in_bounds = abs(value) < MAX_SECONDS
    except (InvalidOperation, ValueError, OverflowError) as error:
        raise DurationError(f"{text!r} is not a time") from error
    if not in_bounds:
        raise DurationError(f"{text[:40]!r} is not a time")
    return int(value * NANOSECONDS_PER_SECOND)
