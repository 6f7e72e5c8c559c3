"""Advice sent with a rejection: when to retry, and whether to try another server."""

from collections import deque
from collections.abc import Callable
from itertools import islice
from random import Random
from statistics import median_high

from thistleline.interface import ServerSettings
from thistleline.policy.tuning import (
    MAX_SAMPLES,
    MAX_UNREAD_SHARE,
    REJECTION_WINDOW,
    RETRY_BUDGET,
    SECOND,
    SHORT_RETRY_AFTER,
    USUAL_TIMEOUT_SAMPLES,
)


class RejectionAdvisor:
    """Records rejections and computes Retry-After times with random jitter."""

    def __init__(self, settings: ServerSettings, seed: int) -> None:
        """Create an advisor whose random numbers are seeded with `seed`."""
        self._settings = settings
        self._random: Callable[[], float] = Random(seed).random
        # Time of each rejection, and the expected age of the task when its client retries it; ns.
        self._rejections: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)

    def typical_retry_age(self) -> int | None:
        """Return the expected median age in ns of retries of recently rejected tasks; None without any."""
        if not self._rejections:
            return None
        ages = [age for _, age in islice(reversed(self._rejections), USUAL_TIMEOUT_SAMPLES)]
        return median_high(ages)

    def retry_after(self, unread_wait: int, tolerable_wait: float, is_draining: bool, is_capped: bool) -> int:
        """Return the nanoseconds that a client should wait before it retries a rejected task; 0 for none.

        Retries are delayed until the backlog of unread tasks has been read. A rejected task must be read too,
        so the backlog ends only if less is sent. Prevents retry storms.

        Args:
            unread_wait: How long tasks wait before they are read, ns.
            tolerable_wait: The wait below which there is no backlog of unread tasks, ns.
            is_draining: Whether the server is draining.
            is_capped: Whether a rate cap applies.
        """
        max_retry_after = self._settings.max_retry_after
        wait = max_retry_after if is_draining else unread_wait
        if wait < tolerable_wait:
            wait = SHORT_RETRY_AFTER if is_capped and self._settings.load_hint == "none" else 0
        return min(int(wait * (0.5 + self._random())), max_retry_after)

    def observe(self, now: int, age: int) -> None:
        """Record a rejection of a task that will be `age` ns old when its client retries it."""
        self._rejections.append((now, age))

    def exceeds_budget(self, now: int, arrival_rate: float) -> bool:
        """Return whether recent rejections exceed the retry budget, a share of the arrivals."""
        budget = int(RETRY_BUDGET * arrival_rate * REJECTION_WINDOW / SECOND)
        return len(self._rejections) > budget and self._rejections[-1 - budget][0] > now - REJECTION_WINDOW


def tolerable_unread_wait(latency_objective: int) -> float:
    """Return the wait before reading, in ns, above which there is a backlog of unread tasks."""
    return MAX_UNREAD_SHARE * latency_objective
