"""Load shedding by priority level, tenant quota and user bucket.

Each task has a shed position: (2 * level + within quota) * BUCKETS + bucket, where level is the rank of its
stage's utility. In an overload tasks are shed in ascending order of their shed positions: a task whose shed
position is below the cutoff is rejected when read.
"""

from collections import Counter, deque

from thistleline.interface import Task
from thistleline.policy.estimates import StageProfile
from thistleline.policy.tuning import (
    ARRIVAL_WINDOW,
    BUCKETS,
    CUTOFF_FALL_TIME,
    RETRY_BUDGET,
    RETRY_STORM_SHARE,
    SECOND,
    TICK,
    WINDOW,
)

_HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Fibonacci hashing: 2**64 over the golden ratio


class LoadShedder:
    """Counts arrivals by shed position and sets the cutoff that keeps admitted tasks within the rate cap.

    Attributes:
        cutoff: Tasks with a shed position below it are rejected.
    """

    def __init__(self, profiles: list[StageProfile]) -> None:
        """Create a shedder that sheds nothing."""
        self.cutoff = 0
        self._profiles = profiles
        self._levels = max((profile.level for profile in profiles), default=0) + 1
        self._arrivals: deque[tuple[int, int, bool]] = deque()  # time (ns), shed position, whether a retry
        self._retries = 0  # in `_arrivals`

    def bucket_of(self, task: Task) -> int:
        """Return the user's bucket, which is the same in every server and after a restart.

        The bucket is a hash of the user key or, without a user key, the position of the task's
        priority rank within the range of ranks of its stage.
        """
        if task.user is not None:
            return (task.user * _HASH_MULTIPLIER >> 40) % BUCKETS
        return int(task.priority_rank * len(self._profiles) % 1 * BUCKETS)

    def observe_arrival(self, now: int, shed_position: int, is_retry: bool) -> None:
        """Count a task that was read."""
        self._arrivals.append((now, shed_position, is_retry))
        self._retries += is_retry

    def arrival_rate(self, now: int) -> float:
        """Return the arrivals per second in the arrival window, and drop older arrivals."""
        while self._arrivals and self._arrivals[0][0] <= now - ARRIVAL_WINDOW:
            self._retries -= self._arrivals.popleft()[2]
        return len(self._arrivals) * SECOND / ARRIVAL_WINDOW

    def is_retry_storm(self, now: int) -> bool:
        """Return whether most arrivals are retries."""
        return self.arrival_rate(now) * RETRY_STORM_SHARE * ARRIVAL_WINDOW / SECOND < self._retries

    def exceeds_retry_budget(self) -> bool:
        """Return whether retries exceed their budget, a share of the arrivals."""
        return self._retries > RETRY_BUDGET * len(self._arrivals)

    def update_cutoff(self, now: int, cap: float | None) -> None:
        """Raise the cutoff at once to what the rate cap requires, or lower it by a few buckets at most."""
        max_decrease = max(1, BUCKETS * WINDOW * TICK // CUTOFF_FALL_TIME)
        self.cutoff = max(self._cutoff_for(now, cap), self.cutoff - max_decrease)

    def rank_at_cutoff(self) -> float:
        """Return the priority rank at the cutoff; stages have equal ranges of ranks, in order of utility."""
        level, part = divmod(self.cutoff, 2 * BUCKETS)
        below = sum(1 for profile in self._profiles if profile.level < level)
        at_level = sum(1 for profile in self._profiles if profile.level == level)
        return (below + at_level * max(0, part - BUCKETS) / BUCKETS) / len(self._profiles)

    def _cutoff_for(self, now: int, cap: float | None) -> int:
        """Return the lowest cutoff that keeps the rate of tasks at or above it within the rate cap.

        Levels and buckets without arrivals are skipped.
        """
        excess = 0.0 if cap is None else self.arrival_rate(now) - cap
        counts = Counter(position for _, position, _ in self._arrivals if excess > 0)
        cutoff = 0
        for position in sorted(counts):
            if excess <= 0:
                break
            excess -= counts[position] * SECOND / ARRIVAL_WINDOW
            cutoff = position + 1
        return min(cutoff, 2 * BUCKETS * self._levels - 1)
