"""The clocks that the fleet's processes read; the lab replaces them with simulated ones."""

import time


def boot_now() -> int:
    """Return nanoseconds since the machine booted, suspended time included (CLOCK_BOOTTIME).

    Nobody can set this clock, so it never jumps back.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return wall clock time in milliseconds, for people to read and for no decision."""
    return time.time_ns() // 1_000_000
