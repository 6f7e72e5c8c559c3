"""Parsing of durations in decimal seconds."""

from decimal import Decimal, InvalidOperation

from thistleline.wire.errors import DurationError

MAX_SECONDS = 1 << 40  # excludes numbers with exponents so large that their digits would exhaust the memory
NANOSECONDS_PER_SECOND = 1_000_000_000


def parse_seconds(text: str) -> int:
    """Parse decimal seconds and return whole nanoseconds.

    The digits are never converted to a float, so that there is no rounding error.

    Raises:
        DurationError: If the text is not a number, or is out of bounds.
    """
    whole, _, fraction = text.partition(".")
    if whole.isdigit() and (fraction.isdigit() or not fraction):
        return int(whole) * NANOSECONDS_PER_SECOND + int((fraction + "000000000")[:9])
    try:
        value = Decimal(text)
        in_bounds = abs(value) < MAX_SECONDS
    except (InvalidOperation, ValueError, OverflowError) as error:
        raise DurationError(f"{text!r} is not a duration in seconds") from error
    if not in_bounds:
        raise DurationError(f"{text[:40]!r} is not a duration in seconds")
    return int(value * NANOSECONDS_PER_SECOND)
