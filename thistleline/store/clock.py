"""The clocks that the program's processes read; the lab replaces them with simulated ones."""

import time


def boot_now() -> int:
    """Return nanoseconds since the machine booted, suspended time included (CLOCK_BOOTTIME).

    This clock can't be set, so it never jumps back.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return wall clock time in milliseconds; only for display, no decision may depend on it."""
    return time.time_ns() // 1_000_000
