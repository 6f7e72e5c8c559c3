"""Crashes of a server: exponential backoff between restarts, and when they make a crash loop."""

from thistleline.supervisor.timing import BACKOFF_FIRST, BACKOFF_MAX, CRASH_LOOP_WINDOW

CRASH_LOOP_COUNT = 5  # so many crashes in the window are a crash loop


class CrashHistory:
    """The crashes of one version within the window, and when the next restart may be tried.

    Attributes:
        recent: Times of the crashes that still count, ns.
        total: Crashes of all versions since the supervisor started.
        retry_at: No restart before that time, ns.
    """

    __slots__ = ("recent", "retry_at", "total")

    def __init__(self) -> None:
        """Begin without a crash."""
        self.recent: list[int] = []
        self.total = 0
        self.retry_at = 0

    def copy(self) -> "CrashHistory":
        """Return an independent copy."""
        made = CrashHistory()
        made.recent = list(self.recent)
        made.total = self.total
        made.retry_at = self.retry_at
        return made

    def record(self, now: int) -> None:
        """Count a crash at `now` (ns) and forget those that left the window."""
        self.total += 1
        self.recent = [at for at in self.recent if now - at < CRASH_LOOP_WINDOW] + [now]

    def back_off(self, now: int) -> None:
        """Delay the next restart, the longer the more crashes there were."""
        self.retry_at = now + min(BACKOFF_MAX, BACKOFF_FIRST << (len(self.recent) - 1))

    def clear(self) -> None:
        """Forget the crashes: another version is tried."""
        self.recent.clear()

    @property
    def is_loop(self) -> bool:
        """Whether there were so many crashes that the version is given up."""
        return len(self.recent) >= CRASH_LOOP_COUNT
