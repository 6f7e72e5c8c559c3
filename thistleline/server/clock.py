"""Unix nanoseconds that never go backward, whatever is done to the system's clock."""

import time


class Clock:
    __slots__ = ("offset",)

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self.offset

    def skew(self) -> int:
        """How far this clock is ahead of the system's, whose times others tell."""
        return self.now() - time.time_ns()
