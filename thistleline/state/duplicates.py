"""Determines, for each task that is passed to the policy, which attempt the task repeats.

This is done when a round begins, not when a task is read. Between the two, the attempt that a task would name
may be withdrawn, so that the policy never learns of it; a repeat that names an attempt unknown to the policy
is a new task to it and would run a second time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from thistleline.interface import PolicyEvent, ServerSettings, TaskArrived
from thistleline.state.attempts import Attempt, Run
from thistleline.state.idempotency import IdempotencyKey, IdempotencyTable


class DuplicateFinder:
    """Finds the attempts that tasks repeat, by idempotency key."""

    def __init__(
        self,
        settings: ServerSettings,
        attempts: Mapping[str, Attempt],
        runs: Mapping[str, Run],
        idempotency: IdempotencyTable,
    ) -> None:
        """Create a finder that looks into the tables of a state machine.

        Args:
            settings: The server's settings.
            attempts: All unanswered attempts, by name.
            runs: All runs at the agent, by the name of their attempt.
            idempotency: The idempotency keys that the policy had stored.
        """
        self._stages = settings.stages
        self._cached_result_ttl = settings.cached_result_ttl
        self._attempts = attempts
        self._runs = runs
        self._idempotency = idempotency

    def mark_duplicates(self, events: Iterable[PolicyEvent]) -> list[PolicyEvent]:
        """Return the events of one round, in which each task names the attempt that it repeats."""
        latest: dict[IdempotencyKey, str] = {}  # the latest attempt of this round with each key
        return [self._mark(event, latest) if isinstance(event, TaskArrived) else event for event in events]

    def _mark(self, event: TaskArrived, latest: dict[IdempotencyKey, str]) -> TaskArrived:
        name = event.task.id
        attempt = self._attempts[name]
        if attempt.key is None:
            return event
        if self._is_keyed(attempt.key):
            # Attempts of the same round are checked first. If a run has outlived its key's window, the policy
            # has deleted its record of the run; two attempts that both repeat it would each start a new run.
            original = latest.get(attempt.key) or self._find_run_or_queued(attempt.key, attempt.arrived_at)
            latest[attempt.key] = name
        else:
            original = self._find_shared_result(attempt.key, attempt.arrived_at)
        if original is None:
            return event
        return TaskArrived(replace(event.task, duplicate_of=original))

    def _is_keyed(self, key: IdempotencyKey) -> bool:
        return self._stages[key[0]].effect == "keyed"

    def _find_run_or_queued(self, key: IdempotencyKey, arrived_at: int) -> str | None:
        """Return the name under which the policy stored the key of a keyed task; None if it did not.

        Whether the key's window has ended is judged by the time of arrival at the machine, however late the
        task was read.
        """
        entry = self._idempotency.by_key.get(key)
        if entry is not None and (entry.expires_at > arrived_at or entry.runner in self._runs):
            return entry.attempt
        return None

    def _find_shared_result(self, key: IdempotencyKey, arrived_at: int) -> str | None:
        """Return the name of the attempt whose result answers a task that is not keyed; None without one."""
        entry = self._idempotency.by_key.get(key)
        if entry is None or entry.expires_at <= arrived_at or entry.outcome not in (None, "finished"):
            return None
        if entry.outcome and (entry.result is None or entry.ended_at + self._cached_result_ttl <= arrived_at):
            return None
        return entry.attempt
