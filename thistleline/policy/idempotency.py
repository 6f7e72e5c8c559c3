"""The effects of keyed tasks, which must not happen twice, and the idempotency keys stored to prevent that.

Of all attempts that request one effect, one may run and the others wait for its result.
"""

from thistleline.interface import DecisionSink, ServerSettings
from thistleline.policy.tasks import Effect, TaskRecord
from thistleline.policy.tuning import SECOND


class IdempotencyTable:
    """The effects and the stored idempotency keys.

    All attempts that request one effect share an `Effect`. A key is stored only for the attempt that may run.

    Attributes:
        remembered: Expiry times of stored idempotency keys, ns, by task id.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create an empty table."""
        self.remembered: dict[str, int] = {}
        self._effects: dict[str, Effect] = {}
        self._settings = settings

    @property
    def memory_kb(self) -> float:
        """Memory used by the stored idempotency keys, kB."""
        return len(self.remembered) * self._settings.idempotency_key_kb

    def has_effect(self, task_id: str) -> bool:
        """Return whether the effect that this task requested is known."""
        return task_id in self._effects

    def restore(self, task_id: str, expires_at: int) -> None:
        """Record that an effect ran in an earlier process, even if it is not known whether it ran.

        Prevents an effect from running twice across a restart.
        """
        effect = self._effects[task_id] = Effect(expires_at)
        effect.has_run = True
        self.remembered[task_id] = expires_at

    def join(self, record: TaskRecord, out: DecisionSink) -> bool:
        """Assign the task to its effect; return whether another attempt's result answers the task.

        Prevents an effect from running twice: a duplicate waits while another attempt is queued, and is
        answered with the result of the attempt that ran.
        """
        task = record.task
        effect = self._effects.get(task.duplicate_of) if task.duplicate_of is not None else None
        if effect is None:
            effect = Effect(0)
        window = self._window(record)
        effect.expires_at = max(effect.expires_at, max(task.arrived_at + window, record.deadline) + window)
        record.effect = self._effects[task.id] = effect
        if effect.has_run:
            replay(record, out)
            return True
        if effect.holder is not None:
            effect.followers.append(record)
            return True
        effect.holder = record
        return False

    def remember(self, now: int, record: TaskRecord, out: DecisionSink) -> None:
        """Store a queued attempt's idempotency key until a second after its deadline and the key's window.

        The window is the time from the attempt's arrival in which duplicates of it may arrive.
        """
        expires_at = max(record.task.arrived_at + self._window(record), record.deadline) + SECOND
        self.remember_until(now, record.task.id, expires_at, out)

    def remember_until(self, now: int, task_id: str, expires_at: int, out: DecisionSink) -> None:
        """Store the task's idempotency key until `expires_at`, ns."""
        self.remembered[task_id] = expires_at
        out.remember_key(task_id, expires_at - now)

    def answer_followers(self, effect: Effect, out: DecisionSink) -> None:
        """Answer the attempts that wait for the effect's holder, which was started, with its result."""
        for follower in effect.followers:
            replay(follower, out)
        effect.followers.clear()

    def withdraw(self, now: int, record: TaskRecord, out: DecisionSink) -> None:
        """Remove an attempt that has not run from the effect that it requests.

        If the attempt was the effect's holder, its idempotency key is deleted and the next attempt becomes
        the holder.
        """
        effect = record.effect
        if effect is None or effect.has_run:
            return
        if record in effect.followers:
            effect.followers.remove(record)
        if effect.holder is record:
            effect.holder = None
            if self.remembered.pop(record.task.id, None) is not None:
                out.forget_key(record.task.id)
            if effect.followers:
                effect.holder = effect.followers.pop(0)
                self.remember(now, effect.holder, out)

    def revoke(self, task_id: str, out: DecisionSink) -> None:
        """Record that a restored effect never ran: its idempotency key is deleted and the next attempt runs.

        Prevents repeats from being answered as failed, for the rest of the key's window, for a run that is
        known not to have taken place.
        """
        effect = self._effects.get(task_id)
        if effect is None or effect.holder is not None:
            return  # it has expired, or was not restored
        effect.has_run = False
        if self.remembered.pop(task_id, None) is not None:
            out.forget_key(task_id)

    def expire(self, now: int) -> None:
        """Delete expired idempotency keys and effects."""
        self.remembered = {task_id: until for task_id, until in self.remembered.items() if until > now}
        self._effects = {
            task_id: effect for task_id, effect in self._effects.items() if effect.expires_at > now
        }

    def _window(self, record: TaskRecord) -> int:
        return self._settings.stages[record.task.stage].idempotency_window


def replay(record: TaskRecord, out: DecisionSink) -> None:
    """Answer a task with the result of the run of the task that it duplicates."""
    record.state = "replaying"
    out.replay_result(record.task.id)
