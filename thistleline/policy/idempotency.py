"""Keyed effects, which must not run twice: the attempt that runs, those that wait for it, and stored keys."""

from thistleline.interface import DecisionSink, ServerSettings
from thistleline.policy.tasks import Effect, TaskRecord
from thistleline.policy.tuning import SECOND


class IdempotencyTable:
    """The effects and the stored idempotency keys.

    All attempts of one keyed effect share an `Effect`. Only the attempt that may run stores a key.

    Attributes:
        remembered: Expiry times of stored keys, ns, by task id.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create an empty table."""
        self.remembered: dict[str, int] = {}
        self._effects: dict[str, Effect] = {}
        self._settings = settings

    @property
    def memory_kb(self) -> float:
        """Memory of the stored keys, kB."""
        return len(self.remembered) * self._settings.idempotency_key_kb

    def restore(self, task_id: str, expires_at: int) -> None:
        """Record an effect of an earlier process as run, even if it is not known to have run.

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
        """Store the key of a queued attempt beyond its deadline and the end of its window."""
        expires_at = max(record.task.arrived_at + self._window(record), record.deadline) + SECOND
        self.remember_until(now, record.task.id, expires_at, out)

    def remember_until(self, now: int, task_id: str, expires_at: int, out: DecisionSink) -> None:
        """Store the task's key until `expires_at`, ns."""
        self.remembered[task_id] = expires_at
        out.remember_key(task_id, expires_at - now)

    def start(self, effect: Effect, out: DecisionSink) -> None:
        """Record that the effect's holder was started; its result answers the followers."""
        effect.has_run = True
        for follower in effect.followers:
            replay(follower, out)
        effect.followers.clear()

    def withdraw(self, now: int, record: TaskRecord, out: DecisionSink) -> None:
        """Remove a queued attempt that has not run from its effect.

        If it was the holder, its key is deleted and the next attempt becomes the holder.
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

    def expire(self, now: int) -> None:
        """Delete expired keys and effects."""
        self.remembered = {task_id: until for task_id, until in self.remembered.items() if until > now}
        self._effects = {
            task_id: effect for task_id, effect in self._effects.items() if effect.expires_at > now
        }

    def _window(self, record: TaskRecord) -> int:
        return self._settings.stages[record.task.stage].idempotency_window


def replay(record: TaskRecord, out: DecisionSink) -> None:
    """Answer a task with the result of the run of its duplicate."""
    record.state = "replaying"
    out.replay_result(record.task.id)
