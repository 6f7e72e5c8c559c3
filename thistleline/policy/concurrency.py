"""The limit on concurrent runs."""

from collections.abc import Collection

from thistleline.interface import ServerSettings
from thistleline.policy.tuning import CONCURRENCY_MARGIN, INITIAL_CONCURRENCY_PER_CORE, WINDOW


class ConcurrencyLimit:
    """A limit on running tasks that starts at the core count and adapts to the run queue.

    The run queue consists of the tasks on the cores or waiting for one.

    Attributes:
        limit: The adaptive limit on running tasks.
    """

    def __init__(self, settings: ServerSettings, started_at: int) -> None:
        """Create the limit for a server that started at `started_at`, ns."""
        self.limit = float(settings.cores)
        self._settings = settings
        self._started_at = started_at

    def adapt(self, on_cores: float, running: int, queue_length: int, peaks: Collection[float]) -> None:
        """Raise the limit if cores are idle and tasks queue; lower it if the run queue is too long.

        The run queue is too long when it exceeds its highest length in detector windows without a violation,
        or `INITIAL_CONCURRENCY_PER_CORE` per core.

        Args:
            on_cores: Tasks on the cores or waiting for one.
            running: Runs that have not ended.
            queue_length: Tasks in the queue.
            peaks: Highest run queue per core in each detector window without a violation.
        """
        cores = self._settings.cores
        if queue_length and on_cores < cores:
            self.limit = max(self.limit, running + cores - on_cores)
        highest_peak = max(peaks) if len(peaks) >= WINDOW else INITIAL_CONCURRENCY_PER_CORE
        max_run_queue = cores * min(max(1.0, highest_peak), INITIAL_CONCURRENCY_PER_CORE)
        if on_cores > max_run_queue:
            self.limit = max(float(cores), min(self.limit, running) - 1)

    def max_running(self, now: int) -> int:
        """Return how many tasks may run: the limit, or fewer if the server withstands only fewer now."""
        settings = self._settings
        speed_share = 1.0
        if settings.cold_start:
            progress = (now - self._started_at) / max(1, settings.warmup_duration)
            speed_share = min(1.0, settings.cold_speed_share + (1 - settings.cold_speed_share) * progress)
        ceiling = (
            settings.cores * (1 + (settings.max_concurrency_per_core - 1) * speed_share) * CONCURRENCY_MARGIN
        )
        return max(1, int(min(self.limit, ceiling)))
