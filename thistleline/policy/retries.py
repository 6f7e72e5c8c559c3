"""The age of retries: the time since the first attempt of the task."""

from collections import deque

from thistleline.interface import Task
from thistleline.policy.tuning import TIMEOUT_TOLERANCE, USUAL_TIMEOUT_SAMPLES


class TimeoutHistory:
    """Timeouts of attempts not marked as retries, as shares of their stage's timeout.

    Clients give each attempt a usual share of the stage's timeout, and the last attempt the remaining time.
    From an unusual share the age of a retry is therefore derived; under a rate cap, also the age of an
    attempt that is not marked as a retry. Prevents running tasks that can only be late; could harm a client
    with rare timeouts until enough of its attempts were seen.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self._shares: deque[float] = deque(maxlen=3 * USUAL_TIMEOUT_SAMPLES)

    def observe(self, task: Task, stage_timeout: int, is_capped: bool) -> int | None:
        """Record a task's timeout and return the age of a retry as derived from it.

        Args:
            task: A task whose deadline is known.
            stage_timeout: The timeout of the task's stage, ns.
            is_capped: Whether a rate cap applies.

        Returns:
            The age in ns, or None if the timeout is a usual one or the age cannot be derived.
        """
        assert task.deadline is not None
        share = (task.deadline - task.arrived_at) / stage_timeout
        similar_count = sum(1 for seen in self._shares if abs(seen - share) < TIMEOUT_TOLERANCE)
        may_derive_age = (task.is_retry or is_capped) and len(self._shares) >= USUAL_TIMEOUT_SAMPLES
        is_unusual = may_derive_age and similar_count * USUAL_TIMEOUT_SAMPLES < len(self._shares)
        if not task.is_retry:
            self._shares.append(share)
        return int(stage_timeout * (1 - share)) if is_unusual else None
