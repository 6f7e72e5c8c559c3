"""The age of retries: how long a task's client has been trying already."""

from collections import deque

from thistleline.interface import Task
from thistleline.policy.tuning import TIMEOUT_TOLERANCE, USUAL_TIMEOUT_SAMPLES


class TimeoutHistory:
    """Timeouts of first attempts, as shares of their stage's timeout.

    Clients give their attempts a usual share of the timeout and the last one what is left, so an unusual
    share tells a retry's age, under a cap even of one not marked as a retry. Prevents running what can only
    be late; could harm a client of rare habits until enough of its attempts were seen.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self._shares: deque[float] = deque(maxlen=3 * USUAL_TIMEOUT_SAMPLES)

    def observe(self, task: Task, stage_timeout: int, is_capped: bool) -> int | None:
        """Note a task's timeout and return the age of the retry that it tells.

        Args:
            task: A task whose deadline is known.
            stage_timeout: The timeout of its stage, ns.
            is_capped: Whether a rate cap stands.

        Returns:
            The age in ns, or None where the timeout is a usual one or tells nothing.
        """
        assert task.deadline is not None
        share = (task.deadline - task.arrived_at) / stage_timeout
        alike = sum(1 for seen in self._shares if abs(seen - share) < TIMEOUT_TOLERANCE)
        tells_age = (task.is_retry or is_capped) and len(self._shares) >= USUAL_TIMEOUT_SAMPLES
        is_unusual = tells_age and alike * USUAL_TIMEOUT_SAMPLES < len(self._shares)
        if not task.is_retry:
            self._shares.append(share)
        return int(stage_timeout * (1 - share)) if is_unusual else None
