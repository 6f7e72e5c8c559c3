"""Crash history of a server: exponential backoff between restarts and detection of crash loops."""

from thistleline.supervisor.timing import BACKOFF_FIRST, BACKOFF_MAX, CRASH_LOOP_WINDOW

CRASH_LOOP_COUNT = 5  # crashes within CRASH_LOOP_WINDOW that count as a crash loop


class CrashHistory:
    """The crashes of one version within CRASH_LOOP_WINDOW, and the time of the next restart attempt.

    Attributes:
        recent: Times of the crashes within CRASH_LOOP_WINDOW, ns.
        total: Number of crashes of any version since the supervisor started.
        retry_at: Earliest time of the next restart, ns.
    """

    __slots__ = ("recent", "retry_at", "total")

    def __init__(self) -> None:
        """Create a history without crashes."""
        self.recent: list[int] = []
        self.total = 0
        self.retry_at = 0

    def copy(self) -> "CrashHistory":
        """Return an independent copy."""
        duplicate = CrashHistory()
        duplicate.recent = list(self.recent)
        duplicate.total = self.total
        duplicate.retry_at = self.retry_at
        return duplicate

    def record(self, now: int) -> None:
        """Record a crash at `now` (ns) and drop the crashes that are older than CRASH_LOOP_WINDOW."""
        self.total += 1
        self.recent = [at for at in self.recent if now - at < CRASH_LOOP_WINDOW] + [now]

    def back_off(self, now: int) -> None:
        """Delay the next restart; the delay doubles with each crash in the window, up to BACKOFF_MAX."""
        self.retry_at = now + min(BACKOFF_MAX, BACKOFF_FIRST << (len(self.recent) - 1))

    def clear(self) -> None:
        """Drop the recent crashes, for example when another version is tried."""
        self.recent.clear()

    @property
    def is_loop(self) -> bool:
        """Whether the crashes in the window reach CRASH_LOOP_COUNT."""
        return len(self.recent) >= CRASH_LOOP_COUNT
