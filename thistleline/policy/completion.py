"""Completion of tasks: rejection, cancellation by the client, the deadline, and ends of runs and calls."""

from thistleline.interface import CallOutcome, DecisionSink, RunOutcome
from thistleline.policy.downstream import may_call_again
from thistleline.policy.rejections import tolerable_unread_wait
from thistleline.policy.state import PolicyState
from thistleline.policy.tasks import TaskRecord
from thistleline.policy.tuning import STOPPED_RUN_FACTOR


class Completion:
    """Completes tasks and updates the statistics from their outcomes."""

    def __init__(self, state: PolicyState) -> None:
        """Create the completion of the tasks in the policy's state."""
        self._state = state
        self._tolerable_wait = tolerable_unread_wait(state.detector.least_objective)

    def reject(self, record: TaskRecord, out: DecisionSink) -> None:
        """Reject a task that has not run."""
        state = self._state
        now = state.now
        retry_after = state.rejections.retry_after(
            state.detector.unread_wait(now),
            self._tolerable_wait,
            state.drain.is_draining,
            state.rate_cap.cap is not None,
        )
        state.rejections.observe(now, now - record.task.arrived_at + retry_after)
        out.reject(record.task.id, self._is_fleet_overloaded(), retry_after)
        self._remove(record, out)

    def answer_due(self, out: DecisionSink) -> None:
        """Answer each task, whatever its state, shortly before its deadline or the stop of this server.

        Prevents tasks that are never answered.
        """
        state = self._state
        now = state.now
        is_near_stop = state.drain.is_near_stop(now)
        due = [record for record in state.tasks.by_id.values() if is_near_stop or record.answer_by <= now]
        for record in due:
            if record.state == "queued":
                self.reject(record, out)
            elif record.state != "answered":
                out.abandon(record.task.id)
                self.client_gone(record.task.id, out)

    def client_gone(self, task_id: str, out: DecisionSink) -> None:
        """End a task whose client no longer waits.

        An idempotent run is stopped if runs can be stopped and no other task waits for its result. Any other
        run continues, so that its result can answer duplicates of the task.
        """
        state = self._state
        record = state.tasks.by_id.get(task_id)
        if record is None or record.state == "answered":
            return
        if record.state in ("queued", "replaying"):
            self._remove(record, out)
            original = state.tasks.by_id.get(record.task.duplicate_of or "")
            if original is not None and original.state == "answered":
                self._stop_unless_awaited(original, out)
            return
        state.downstream.withdraw(record)
        if record.state == "running":
            self._stop_unless_awaited(record, out)
        record.state = "answered"

    def run_ended(self, task_id: str, outcome: RunOutcome, duration: int, out: DecisionSink) -> None:
        """Remove a task whose run ended, or that was answered with the result of another task's run.

        A run of an earlier process has no task here, but may have an effect that was restored.
        """
        state = self._state
        record = state.tasks.by_id.pop(task_id, None)
        if record is None:
            if outcome == "moot":
                state.idempotency.revoke(task_id, out)
            return
        state.downstream.withdraw(record)
        state.downstream.end_call(state.now, task_id, is_given_up=True)
        state.tasks.release(record)
        if outcome == "moot" and record.effect is not None:
            record.effect.has_run = (
                False  # the run never started; prevents keeping a key unknown to the agent
            )
            state.idempotency.withdraw(state.now, record, out)
        if record.started_at:
            self._observe_run(record, outcome, duration)

    def call_requested(self, task_id: str) -> None:
        """Queue a running task for its downstream call."""
        record = self._state.tasks.by_id.get(task_id)
        if record is not None and record.state == "running":
            self._state.downstream.request(record)

    def call_ended(self, task_id: str, outcome: CallOutcome, out: DecisionSink) -> None:
        """Continue a task after its downstream call, repeat the call, or answer the task with a failure."""
        state = self._state
        downstream = state.downstream
        record = state.tasks.by_id.get(task_id)
        duration = downstream.end_call(state.now, task_id, is_given_up=outcome in ("timed_out", "aborted"))
        downstream.observe(outcome, duration)
        if record is None or record.state == "answered":
            return
        record.state = "running"
        if outcome == "finished":
            return
        stage = state.settings.stages[record.task.stage]
        record.failed_calls += 1
        if stage.utility_share_without_call > 0:
            out.skip_call(task_id)
        elif may_call_again(record, stage, outcome, state.now):
            downstream.request(record)
        else:
            out.abandon(task_id)
            record.state = "answered"

    def _remove(self, record: TaskRecord, out: DecisionSink) -> None:
        self._state.tasks.remove(record)
        self._state.idempotency.withdraw(self._state.now, record, out)

    def _stop_unless_awaited(self, record: TaskRecord, out: DecisionSink) -> None:
        """Stop an idempotent run whose client no longer waits, unless a duplicate waits for its result."""
        settings = self._state.settings
        is_idempotent = settings.stages[record.task.stage].effect == "idempotent"
        if settings.cancellation != "none" and is_idempotent and not self._is_awaited(record.task.id):
            out.stop(record.task.id)

    def _is_awaited(self, task_id: str) -> bool:
        if not self._state.settings.cached_result_ttl:
            return False  # idempotent tasks do not share runs
        return any(
            other.state == "replaying" and other.task.duplicate_of == task_id
            for other in self._state.tasks.by_id.values()
        )

    def _is_fleet_overloaded(self) -> bool:
        """Return whether a retry at another server is as likely to be rejected as one at this server.

        This holds when retries exceed their budget. It also holds when rejections exceed their budget while
        this server runs tasks at its usual pace: then the fleet receives too much load, rather than this
        server being slow. Prevents retries from trying the whole endpoint list; could harm where a single
        server is overloaded for a long time.
        """
        state = self._state
        arrival_rate = state.shedder.arrival_rate(state.now)
        if state.drain.is_draining:
            return False
        if state.shedder.exceeds_retry_budget():
            return True
        return state.rejections.exceeds_budget(state.now, arrival_rate) and state.estimator.keeps_usual_pace()

    def _observe_run(self, record: TaskRecord, outcome: RunOutcome, duration: int) -> None:
        """Update the statistics from a run that finished, or that was stopped after the task's due time."""
        state = self._state
        now = state.now
        is_capped = state.rate_cap.cap is not None
        if outcome == "finished":
            state.rate_cap.observe_finish(now)
            state.detector.observe_finish(now, now - record.task.arrived_at, is_capped)
            state.estimator.observe(record, duration, is_capped)
        elif outcome == "stopped" and now >= record.due:
            # The run counts as longer than its estimate. Prevents learning only from runs that finished in
            # time, and so starting more and more tasks that cannot.
            estimate = state.estimator.estimate(record.task, state.slowdown())
            state.estimator.observe(record, max(duration, int(STOPPED_RUN_FACTOR * estimate)), is_capped)
