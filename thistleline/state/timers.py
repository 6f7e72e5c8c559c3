"""The timers that the policy sets."""

from heapq import heappop, heappush


class TimerQueue:
    """Names of timers by the time at which they are due."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[int, str]] = []

    def add(self, due: int, name: str) -> None:
        """Add the timer `name`, due at `due`."""
        heappush(self._heap, (due, name))

    def next_due(self) -> int | None:
        """Return when the earliest timer is due; None without timers."""
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: int) -> list[str]:
        """Remove the timers that are due and return their names, the earliest first."""
        names = []
        while self._heap and self._heap[0][0] <= now:
            names.append(heappop(self._heap)[1])
        return names

    def names(self) -> set[str]:
        """Return the names of all pending timers."""
        return {name for _, name in self._heap}
