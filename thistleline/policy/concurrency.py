"""The limit of concurrent runs (in-flight limit)."""

from collections.abc import Collection

from thistleline.interface import ServerSettings
from thistleline.policy.tuning import CONCURRENCY_MARGIN, INITIAL_CONCURRENCY_PER_CORE, WINDOW


class ConcurrencyLimit:
    """Starts at the core count and adapts to the run queue.

    Attributes:
        limit: The adaptive limit of running tasks.
    """

    def __init__(self, settings: ServerSettings, started_at: int) -> None:
        """Create the limit of a server that started at this time, ns."""
        self.limit = float(settings.cores)
        self._settings = settings
        self._started_at = started_at

    def adapt(self, on_cores: float, running: int, queue_length: int, peaks: Collection[float]) -> None:
        """Grow while cores are free and tasks queue; shrink above the concurrency survived in calm windows.

        Args:
            on_cores: Tasks on the cores or waiting for one.
            running: Runs that have not ended.
            queue_length: Tasks in the queue.
            peaks: Highest run queue per core of each calm window.
        """
        cores = self._settings.cores
        if queue_length and on_cores < cores:
            self.limit = max(self.limit, running + cores - on_cores)
        survived = max(peaks) if len(peaks) >= WINDOW else INITIAL_CONCURRENCY_PER_CORE
        survivable = cores * min(max(1.0, survived), INITIAL_CONCURRENCY_PER_CORE)
        if on_cores > survivable:
            self.limit = max(float(cores), min(self.limit, running) - 1)

    def max_running(self, now: int) -> int:
        """Return how many tasks may run: the limit, under what the server survives at its present warmth."""
        settings = self._settings
        warmth = 1.0
        if settings.cold_start:
            age = (now - self._started_at) / max(1, settings.warmup_duration)
            warmth = min(1.0, settings.cold_speed_share + (1 - settings.cold_speed_share) * age)
        ceiling = settings.cores * (1 + (settings.max_concurrency_per_core - 1) * warmth) * CONCURRENCY_MARGIN
        return max(1, int(min(self.limit, ceiling)))
