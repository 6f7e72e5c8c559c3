"""The clock of a server: Unix nanoseconds that never go backward, whatever is done to the system's clock."""

import time


class Clock:
    """Monotonic time, with the system's clock at construction as its origin."""

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        """Take the origin from the system's clock."""
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time, ns."""
        return time.monotonic_ns() + self._offset

    def skew(self) -> int:
        """Return how far this clock is ahead of the system's, by which peers give times, ns."""
        return self.now() - time.time_ns()
