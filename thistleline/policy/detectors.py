"""Overload detectors: run queue per core and queueing delay, sampled in the server, confirmed by latency.

Follows Hodor ("Who Gets Dropped: Hodor and Overload Protection at LinkedIn"). A window of samples is in
violation if their high percentile exceeds the detector's limit. A detector fires after several consecutive
windows in violation, but this counts only if the fast average of latency exceeds the slow average.
"""

from collections import deque
from collections.abc import Collection
from itertools import takewhile
from statistics import fmean, median_high

from thistleline.interface import ServerSettings
from thistleline.policy.estimates import RunTimeEstimator
from thistleline.policy.tasks import TaskRecord
from thistleline.policy.tuning import (
    FAST_LATENCY_WINDOW,
    HIGH_PERCENTILE,
    LATENCY_RATIO_TO_CONFIRM,
    MAX_RUN_QUEUE_PER_CORE,
    MAX_WAIT_SHARE,
    MIN_BASELINE_SAMPLES,
    PEAK_WINDOWS,
    SLOW_LATENCY_SAMPLES,
    TICK,
    UNREAD_SAMPLES,
    VIOLATIONS_TO_FIRE,
    WINDOW,
)


class OverloadDetector:
    """The run queue detector, the queueing delay detector and their confirmation by latency.

    Attributes:
        least_objective: The shortest latency objective of all stages, ns.
        peaks: Highest run queue per core in each window without a violation, for the concurrency limit.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create detectors without samples."""
        objectives = [stage.latency_objective for stage in settings.stages]
        self.least_objective = min(objectives)  # ns
        self.peaks: deque[float] = deque(maxlen=PEAK_WINDOWS)
        self._default_latency = fmean(objectives) / 3
        self._cores = settings.cores
        self._run_queue_samples: deque[float] = deque(maxlen=WINDOW)
        self._wait_samples: deque[float] = deque(maxlen=WINDOW)
        self._run_queue_violations = 0
        self._wait_violations = 0
        self._latencies: deque[tuple[int, int]] = deque(maxlen=SLOW_LATENCY_SAMPLES)  # end time, latency; ns
        self._baseline_latencies: deque[int] = deque(maxlen=SLOW_LATENCY_SAMPLES)
        self._unread_waits: deque[tuple[int, int]] = deque(maxlen=UNREAD_SAMPLES)  # read time, wait; ns

    @property
    def in_violation(self) -> bool:
        """Whether the last window of either detector was in violation."""
        return self._run_queue_violations > 0 or self._wait_violations > 0

    def observe_read(self, now: int, arrived_at: int) -> None:
        """Record how long a task waited on the machine before it was read."""
        self._unread_waits.append((now, now - arrived_at))

    def observe_finish(self, now: int, latency: int, is_capped: bool) -> None:
        """Record the latency of a finished task.

        It enters the slow average only if no rate cap applies and no detector is in violation.
        """
        self._latencies.append((now, latency))
        if not is_capped and not self.in_violation:
            self._baseline_latencies.append(latency)

    def sample(
        self,
        now: int,
        on_cores: float,
        queued: Collection[TaskRecord],
        estimator: RunTimeEstimator,
        slowdown: float,
    ) -> None:
        """Take one sample of both detectors.

        Args:
            now: The time, ns.
            on_cores: Tasks on the cores or waiting for one.
            queued: Records of tasks; records of tasks that are not queued are ignored.
            estimator: The source of run time estimates.
            slowdown: The slowdown to use for the estimates.
        """
        self._run_queue_samples.append(on_cores / self._cores)
        # Rejected tasks never enter the queue, so the wait of unread tasks is taken from the tasks just read.
        # Prevents a backlog of unread tasks, which the concurrency limit can't reduce and the queue doesn't
        # show.
        worst_wait_share = self.unread_wait(now) / self.least_objective
        for record in queued:
            if record.state == "queued":
                arrived_at = record.task.arrived_at
                slack = record.due - estimator.estimate(record.task, slowdown) - arrived_at
                worst_wait_share = max(worst_wait_share, (now - arrived_at) / max(slack, TICK))
        self._wait_samples.append(worst_wait_share)

    def close_window(self) -> None:
        """Check the last `WINDOW` samples and count each detector's consecutive windows in violation."""
        queue_high = _high_percentile(self._run_queue_samples) > MAX_RUN_QUEUE_PER_CORE
        wait_high = _high_percentile(self._wait_samples) > MAX_WAIT_SHARE
        self._run_queue_violations = self._run_queue_violations + 1 if queue_high else 0
        self._wait_violations = self._wait_violations + 1 if wait_high else 0
        if not self.in_violation:
            self.peaks.append(max(self._run_queue_samples))

    def unread_wait(self, now: int) -> int:
        """Return the median time in ns that tasks read in the last window waited before they were read."""
        since = now - WINDOW * TICK
        recent = [wait for _, wait in takewhile(lambda read: read[0] > since, reversed(self._unread_waits))]
        return median_high(recent) if recent else 0

    def is_firing(self, now: int, records: Collection[TaskRecord]) -> bool:
        """Return whether a detector fires and the latency confirms the overload."""
        violations = max(self._run_queue_violations, self._wait_violations)
        return violations >= VIOLATIONS_TO_FIRE and self._is_confirmed(now, records)

    def _is_confirmed(self, now: int, records: Collection[TaskRecord]) -> bool:
        """Return whether the fast average of latency is sufficiently above the slow average.

        The ages of queued and running tasks count too, so that a stall is detected although no run ends.
        """
        slow = (
            fmean(self._baseline_latencies) if len(self._baseline_latencies) >= MIN_BASELINE_SAMPLES else 0.0
        )
        since = now - FAST_LATENCY_WINDOW
        fast = [latency for ended_at, latency in self._latencies if ended_at > since]
        fast += [wait for read_at, wait in self._unread_waits if read_at > since and wait > slow]
        ages = [now - record.task.arrived_at for record in records if record.state in ("queued", "running")]
        fast += [age for age in ages if age > slow]
        if not slow:
            slow = self._default_latency
        return bool(fast) and fmean(fast) > slow * LATENCY_RATIO_TO_CONFIRM


def _high_percentile(samples: deque[float]) -> float:
    return sorted(samples)[int(HIGH_PERCENTILE * (len(samples) - 1))]
