"""Calls of running tasks to the downstream dependency, within this server's quota of concurrent calls."""

from collections import deque

from thistleline.interface import CallOutcome, DecisionSink, ServerSettings, Stage
from thistleline.policy.tasks import TaskRecord, by_due
from thistleline.policy.tuning import (
    CALL_SAMPLES,
    HIGH_PERCENTILE,
    MAX_CALL_ATTEMPTS,
    MAX_CALL_TIMEOUT_FACTOR,
    MAX_SAMPLES,
    MIN_CALL_TIMEOUT_FACTOR,
    MS,
)


class DownstreamCalls:
    """Starts downstream calls in order of their tasks' due times.

    A shared dependency has a quota: this server's share of concurrent calls, as a mean over the quota window.
    A call in flight counts against the quota up to the end of its timeout, so the quota holds even when the
    whole dependency stalls. Timeouts follow recent call durations, so that short calls leave quota for the
    next ones.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create the state for a server that has made no calls."""
        self._settings = settings
        self._is_shared = settings.downstream == "shared"
        self._quota = int(settings.downstream_quota * settings.downstream_quota_window)  # ns of calls
        self._waiting: list[TaskRecord] = []
        self._ended: deque[tuple[int, int]] = deque()  # start and end of calls in the last quota window, ns
        self._in_flight: dict[str, tuple[int, int]] = {}  # start and latest end of calls, by task id; ns
        self._durations: deque[int] = deque(maxlen=CALL_SAMPLES)

    def request(self, record: TaskRecord) -> None:
        """Queue a running task for its downstream call."""
        record.state = "awaiting_call"
        self._waiting.append(record)

    def withdraw(self, record: TaskRecord) -> None:
        """Remove a task from the queue of calls, if it is there."""
        self._waiting = [other for other in self._waiting if other is not record]

    def start_calls(self, now: int, out: DecisionSink) -> None:
        """Start the calls that the quota permits; skip a call if an answer without it has utility."""
        if not self._waiting:
            return
        settings = self._settings
        quota_left = self._quota
        expected = 0
        if self._is_shared:
            quota_left -= self._used_quota(now)
            expected = self._expected_duration(now)
        for record in sorted(self._waiting, key=by_due):
            timeout = max(MS, (record.due - now) // 2)
            if self._is_shared:
                bounded = self._timeout_within(quota_left, timeout, expected)
                if bounded is None:
                    self._skip_if_useful(record, settings.stages[record.task.stage], out)
                    continue
                timeout = bounded
                quota_left -= timeout + settings.downstream_linger
            self._waiting.remove(record)
            record.state = "calling"
            self._in_flight[record.task.id] = now, now + timeout + settings.downstream_linger
            out.start_call(record.task.id, timeout)

    def end_call(self, now: int, task_id: str, is_given_up: bool) -> int:
        """End the task's call, if one is in flight.

        A call that was given up counts against the quota for the linger time, as it may still be in flight
        downstream.

        Returns:
            How long the call took, ns.
        """
        if task_id not in self._in_flight:
            return 0
        started_at, _ = self._in_flight.pop(task_id)
        if self._is_shared:
            self._ended.append((started_at, now + self._settings.downstream_linger * is_given_up))
        return now - started_at

    def observe(self, outcome: CallOutcome, duration: int) -> None:
        """Record the duration of a call, unless the dependency never processed it."""
        if outcome in ("finished", "failed", "timed_out"):
            self._durations.append(duration)

    def _used_quota(self, now: int) -> int:
        """Return the total duration, in ns, of ended and running calls within the quota window."""
        since = now - self._settings.downstream_quota_window
        while self._ended and self._ended[0][1] <= since:
            self._ended.popleft()
        in_flight = ((started_at, max(until, now)) for started_at, until in self._in_flight.values())
        return sum(max(0, until - max(since, started_at)) for started_at, until in (*self._ended, *in_flight))

    def _timeout_within(self, quota_left: int, timeout: int, expected: int) -> int | None:
        """Return a timeout that fits into the quota, or None.

        Args:
            quota_left: The unused part of the quota, ns.
            timeout: The longest useful timeout, ns.
            expected: The expected duration of a call, ns; 0 if unknown.
        """
        timeout = min(timeout, MAX_CALL_TIMEOUT_FACTOR * expected or timeout)
        least = min(timeout, MIN_CALL_TIMEOUT_FACTOR * expected or timeout)
        usable = quota_left - self._settings.downstream_linger
        # The history of ended calls is limited. Calls beyond the limit would be missing from the used quota,
        # so no call is started while the history is full.
        if (quota_left < self._quota and usable < least) or len(self._ended) >= MAX_SAMPLES:
            return None
        return max(least, min(timeout, usable))

    def _skip_if_useful(self, record: TaskRecord, stage: Stage, out: DecisionSink) -> None:
        if stage.utility_share_without_call > 0:
            out.skip_call(record.task.id)
            record.state = "running"
            self._waiting.remove(record)

    def _expected_duration(self, now: int) -> int:
        """Return the expected duration of a call in ns; 0 if unknown.

        Calls that have been in flight for longer than the high percentile of recent durations count with
        their present age.
        """
        if not self._durations:
            return 0
        durations = list(self._durations)
        high = _high_percentile(durations)
        durations += [age for started_at, _ in self._in_flight.values() if (age := now - started_at) > high]
        return max(MS, _high_percentile(durations))


def may_call_again(record: TaskRecord, stage: Stage, outcome: CallOutcome, now: int) -> bool:
    """Return whether a failed call may be repeated.

    It may if the task is not past its due time and has not failed too often, and if the task is idempotent or
    the call is known not to have run.
    """
    is_safe = stage.effect == "idempotent" or outcome in ("rejected", "unreachable")
    return record.failed_calls <= MAX_CALL_ATTEMPTS and now < record.due and is_safe


def _high_percentile(durations: list[int]) -> int:
    return sorted(durations)[int(HIGH_PERCENTILE * (len(durations) - 1))]
