"""The clock of a server: Unix nanoseconds that never go backward, even when the system clock is set back."""

import time


class Clock:
    """Monotonic time, with the system clock at construction as its origin."""

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        """Take the origin from the system clock."""
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time in ns."""
        return time.monotonic_ns() + self._offset

    def skew(self) -> int:
        """Return how far this clock is ahead of the system clock, which peers' timestamps refer to, in ns."""
        return self.now() - time.time_ns()
