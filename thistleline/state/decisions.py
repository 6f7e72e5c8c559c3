"""Applies the policy's decisions to the tables of the state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thistleline.interface import RunEnded
from thistleline.state.attempts import Run
from thistleline.state.effects import AnswerAbandoned, AnswerRejected, StopRun

if TYPE_CHECKING:
    from thistleline.state.state_machine import ServerStateMachine


class PolicyDecisions:
    """The `DecisionSink` of a server; `task_id` is the name of an attempt."""

    def __init__(self, machine: ServerStateMachine) -> None:
        """Create a sink that acts on `machine`."""
        self._machine = machine

    # ---- runs

    def start(self, task_id: str) -> None:
        """Start the attempt's run, unless the attempt is gone or its id was used for another task's run."""
        machine = self._machine
        attempt = machine.attempts.get(task_id)
        if attempt is None:
            machine.notify_policy(RunEnded(task_id, "moot", 0))
            return
        effect = machine.settings.stages[attempt.stage].effect
        if effect != "idempotent":
            if machine.attempt_ids.belongs_to_another(attempt.id, attempt.key):
                machine.connections.record_violation(attempt.connection, "another's id", id=attempt.id)
                self.abandon(task_id)
                machine.notify_policy(RunEnded(task_id, "moot", 0))
                return
            machine.claim_id(attempt.id, attempt.key, attempt.stage)
        run = machine.runs[task_id] = Run(attempt, machine.session.measurements_requested)
        machine.at_agent[run.id] = task_id
        if attempt.key is not None and effect == "keyed":
            window_end = attempt.arrived_at + machine.settings.stages[attempt.stage].idempotency_window
            entry = machine.idempotency.by_key.get(attempt.key)
            entry = entry or machine.idempotency.put(attempt.key, task_id, window_end)
            entry.runner = task_id
            entry.outcome = None
        machine.launch(task_id, run)

    def stop(self, task_id: str) -> None:
        """Stop the run; a run that was not sent to the agent ends at once."""
        machine = self._machine
        run = machine.runs.get(task_id)
        if run is None:
            return
        run.stopped = True
        if not run.sent:
            machine.end_run(task_id, "stopped", 0, b"")
        elif machine.session.linked:
            machine.context.emit(StopRun(run.id))

    # ---- answers

    def reject(self, task_id: str, fleet_overloaded: bool, retry_after: int) -> None:
        """Answer that the task was shed."""
        machine = self._machine
        attempt = machine.settle(task_id)
        if attempt is not None:
            machine.context.count("rejected")
            load_hint = machine.health.load_hint
            machine.context.emit(
                AnswerRejected(attempt.connection, attempt.seq, fleet_overloaded, retry_after, load_hint)
            )

    def abandon(self, task_id: str) -> None:
        """Answer with a failure that says nothing about whether the task ran."""
        machine = self._machine
        attempt = machine.settle(task_id)
        if attempt is not None:
            machine.context.count("abandoned")
            machine.context.emit(AnswerAbandoned(attempt.connection, attempt.seq, machine.health.load_hint))

    def replay_result(self, task_id: str) -> None:
        """Answer a repeated attempt with the result of the original's run, now or when that run ends."""
        machine = self._machine
        attempt = machine.attempts.get(task_id)
        if attempt is None or attempt.key is None:
            return
        entry = machine.idempotency.by_key.get(attempt.key)
        runner = entry.runner if entry is not None else None
        if runner is not None and runner in machine.runs:
            machine.runs[runner].repeats[task_id] = None
            attempt.awaited_run = runner
        else:
            machine.context.count("repeats")
            machine.answer_repeat(task_id, entry.result if entry is not None else None)

    # ---- idempotency keys

    def remember_key(self, task_id: str, duration: int) -> None:
        """Store the attempt's idempotency key for `duration` nanoseconds."""
        machine = self._machine
        attempt = machine.attempts.get(task_id)
        if attempt is not None and attempt.key is not None:
            entry = machine.idempotency.put(attempt.key, task_id, machine.context.now + duration)
            if task_id in machine.runs:
                entry.runner = task_id
                entry.outcome = None

    def forget_key(self, task_id: str) -> None:
        """Delete the attempt's idempotency key."""
        self._machine.idempotency.forget(task_id)

    # ---- downstream calls

    def start_call(self, task_id: str, timeout: int) -> None:
        """Start the downstream call that the run waits for, with a timeout of `timeout` nanoseconds."""
        run = self._machine.runs.get(task_id)
        if run is not None:
            self._machine.downstream.start(run, timeout)

    def skip_call(self, task_id: str) -> None:
        """Let the run continue without its downstream call."""
        run = self._machine.runs.get(task_id)
        if run is not None and run.call is not None:
            self._machine.downstream.resume(run, None)

    # ---- health and timers

    def set_health(self, healthy: bool, from_cache: bool) -> None:
        """Set the result of health checks; while draining, bad health makes the server stop accepting."""
        machine = self._machine
        machine.health.healthy = healthy
        machine.health.from_cache = from_cache
        if machine.lifecycle.is_draining and not healthy:
            machine.close_down()

    def publish_load_hint(self, value: float) -> None:
        """Set the load hint that is attached to further answers."""
        self._machine.health.load_hint = value

    def set_idle_timeout(self, timeout: int) -> None:
        """Dismiss connections that are idle for `timeout` nanoseconds; 0 for never."""
        self._machine.connections.idle_timeout = timeout

    def set_timer(self, name: str, duration: int) -> None:
        """Set a timer that fires in `duration` nanoseconds."""
        machine = self._machine
        machine.policy_host.timers.add(machine.context.now + duration, name)
