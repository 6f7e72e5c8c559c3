"""Load shedding by priority level, tenant quota and user bucket: what lies under the cut is rejected at read.

A shed position orders tasks from the first shed to the last: (2 * level + within quota) * BUCKETS + bucket.
"""

from collections import Counter, deque

from thistleline.interface import Task
from thistleline.policy.estimates import StageProfile
from thistleline.policy.tuning import (
    ARRIVAL_WINDOW,
    BUCKETS,
    CUT_FALL_TIME,
    RETRY_BUDGET,
    RETRY_STORM_SHARE,
    SECOND,
    TICK,
    WINDOW,
)

_HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Fibonacci hashing: 2**64 over the golden ratio


class LoadShedder:
    """Counts arrivals by shed position and keeps the cut that fits them under the rate cap.

    Attributes:
        cut: Shed positions below it are rejected.
    """

    def __init__(self, profiles: list[StageProfile]) -> None:
        """Create a shedder that sheds nothing."""
        self.cut = 0
        self._profiles = profiles
        self._levels = max((profile.level for profile in profiles), default=0) + 1
        self._arrivals: deque[tuple[int, int, bool]] = deque()  # when, shed position, whether a retry
        self._retries = 0  # of these

    def bucket_of(self, task: Task) -> int:
        """Return the user's bucket, the same in every server and incarnation.

        It is the hashed user key, or the place of the priority rank inside its stage where there is no key.
        """
        if task.user is not None:
            return (task.user * _HASH_MULTIPLIER >> 40) % BUCKETS
        return int(task.priority_rank * len(self._profiles) % 1 * BUCKETS)

    def observe_arrival(self, now: int, shed_position: int, is_retry: bool) -> None:
        """Count a task that was read."""
        self._arrivals.append((now, shed_position, is_retry))
        self._retries += is_retry

    def arrival_rate(self, now: int) -> float:
        """Return the tasks per second of the arrival window, having dropped older ones."""
        while self._arrivals and self._arrivals[0][0] <= now - ARRIVAL_WINDOW:
            self._retries -= self._arrivals.popleft()[2]
        return len(self._arrivals) * SECOND / ARRIVAL_WINDOW

    def is_retry_storm(self, now: int) -> bool:
        """Return whether most arrivals are retries."""
        return self.arrival_rate(now) * RETRY_STORM_SHARE * ARRIVAL_WINDOW / SECOND < self._retries

    def exceeds_retry_budget(self) -> bool:
        """Return whether retries exceed their budget, as a share of the arrivals."""
        return self._retries > RETRY_BUDGET * len(self._arrivals)

    def update_cut(self, now: int, cap: float | None) -> None:
        """Raise the cut at once to what the cap wants, or lower it by a few buckets."""
        fall = max(1, BUCKETS * WINDOW * TICK // CUT_FALL_TIME)
        self.cut = max(self._cut_for(now, cap), self.cut - fall)

    def rank_at_cut(self) -> float:
        """Return the priority rank at the cut: stages take equal parts of the ranks, in order of utility."""
        level, part = divmod(self.cut, 2 * BUCKETS)
        below = sum(1 for profile in self._profiles if profile.level < level)
        at_level = sum(1 for profile in self._profiles if profile.level == level)
        return (below + at_level * max(0, part - BUCKETS) / BUCKETS) / len(self._profiles)

    def _cut_for(self, now: int, cap: float | None) -> int:
        """Return the lowest cut whose rest fits the cap; empty levels and buckets are skipped."""
        excess = 0.0 if cap is None else self.arrival_rate(now) - cap
        counts = Counter(position for _, position, _ in self._arrivals if excess > 0)
        cut = 0
        for position in sorted(counts):
            if excess <= 0:
                break
            excess -= counts[position] * SECOND / ARRIVAL_WINDOW
            cut = position + 1
        return min(cut, 2 * BUCKETS * self._levels - 1)
