"""Advice that goes with a rejection: when to retry, and whether another server would fare better."""

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
    """Remembers rejections and gives Retry-After times, spread by chance."""

    def __init__(self, settings: ServerSettings, seed: int) -> None:
        """Create an advisor whose chance follows from the seed."""
        self._settings = settings
        self._chance: Callable[[], float] = Random(seed).random
        # When it was rejected, and how old its next attempt will be.
        self._rejections: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)

    def typical_retry_age(self) -> int | None:
        """Return the median age in ns of retries as recent rejections here make it; None without any."""
        if not self._rejections:
            return None
        ages = [age for _, age in islice(reversed(self._rejections), USUAL_TIMEOUT_SAMPLES)]
        return median_high(ages)

    def retry_after(self, unread_wait: int, tolerable_wait: float, is_draining: bool, is_capped: bool) -> int:
        """Return the nanoseconds that a rejected client should wait; 0 for none.

        What is rejected comes back when what lies unread has been read: a rejection costs a reading too, so a
        backlog of reading ends only if less is sent. Prevents retry storms.

        Args:
            unread_wait: How long tasks lie unread, ns.
            tolerable_wait: A shorter one is no backlog, ns.
            is_draining: Whether the server drains.
            is_capped: Whether a rate cap stands.
        """
        max_retry_after = self._settings.max_retry_after
        wait = max_retry_after if is_draining else unread_wait
        if wait < tolerable_wait:
            wait = SHORT_RETRY_AFTER if is_capped and self._settings.load_hint == "none" else 0
        return min(int(wait * (0.5 + self._chance())), max_retry_after)

    def observe(self, now: int, age: int) -> None:
        """Remember a rejection whose next attempt will be `age` ns old."""
        self._rejections.append((now, age))

    def exceeds_budget(self, now: int, arrival_rate: float) -> bool:
        """Return whether rejections exceed their budget, as a share of the arrivals."""
        budget = int(RETRY_BUDGET * arrival_rate * REJECTION_WINDOW / SECOND)
        return len(self._rejections) > budget and self._rejections[-1 - budget][0] > now - REJECTION_WINDOW


def tolerable_unread_wait(latency_objective: int) -> float:
    """Return the time unread in ns past which there is a backlog of reading."""
    return MAX_UNREAD_SHARE * latency_objective
