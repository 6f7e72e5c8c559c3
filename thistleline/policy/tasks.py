"""Records of tasks that have not ended: queued, running, in a downstream call, or awaiting a result.

The last case is a duplicate that is answered with the result of another attempt's run.
"""

from typing import Literal

from thistleline.interface import ServerSettings, Task
from thistleline.policy.tuning import ANSWER_MARGIN

TaskState = Literal["queued", "running", "awaiting_call", "calling", "replaying", "answered"]


class Effect:
    """What the run of a keyed task does, at most once; shared by all attempts that request it.

    Attributes:
        has_run: Whether an attempt was started; all other attempts are answered with that attempt's result.
        holder: The queued attempt that will run.
        followers: Attempts that wait for the holder, in order of arrival.
        expires_at: When the record of the effect is deleted, ns.
    """

    __slots__ = ("expires_at", "followers", "has_run", "holder")

    def __init__(self, expires_at: int) -> None:
        """Create an effect that has not run and has no holder."""
        self.has_run = False
        self.holder: TaskRecord | None = None
        self.followers: list[TaskRecord] = []
        self.expires_at = expires_at


class TaskRecord:
    """A task that has not ended.

    Attributes:
        task: The task as it was read.
        due: When the task's latency objective ends, ns; queued tasks start in this order.
        deadline: When the task's client stops waiting, ns.
        shed_position: The task's position in the order of shedding: level, quota, user bucket.
        answer_by: When the task is answered at the latest, whatever its state, ns.
        state: The task's state; "answered" means that it was answered before its run ended.
        started_at: When the task's run started, ns; 0 if it has not started.
        failed_calls: The number of the task's downstream calls that failed.
        effect: The effect that a keyed task requests; None for other tasks.
    """

    __slots__ = (
        "answer_by",
        "deadline",
        "due",
        "effect",
        "failed_calls",
        "shed_position",
        "started_at",
        "state",
        "task",
    )

    def __init__(self, task: Task, due: int, deadline: int, shed_position: int) -> None:
        """Create the record of a task that was just read."""
        self.task = task
        self.due = due
        self.deadline = deadline
        self.shed_position = shed_position
        self.answer_by = deadline - ANSWER_MARGIN
        self.state: TaskState = "queued"
        self.started_at = 0
        self.failed_calls = 0
        self.effect: Effect | None = None


def by_due(record: TaskRecord) -> tuple[int, int]:
    """Return the key that sorts records by due time, then by arrival."""
    return record.due, record.task.arrived_at


class TaskTable:
    """All tasks that have not ended, with the memory that they use.

    Attributes:
        by_id: The records by task id.
        running: The number of runs that were started and have not ended.
        queue_length: The number of tasks queued at the end of the last round or since.
        memory_kb: Memory used by all tasks in the table.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create an empty table."""
        self.by_id: dict[str, TaskRecord] = {}
        self.running = 0
        self.queue_length = 0
        self.memory_kb = 0.0
        self._extra_memory_factor = settings.running_memory_factor - 1

    def add(self, record: TaskRecord) -> None:
        """Add a task that was read."""
        self.by_id[record.task.id] = record
        self.memory_kb += record.task.queued_memory_kb

    def remove(self, record: TaskRecord) -> None:
        """Remove a task that never ran."""
        self.by_id.pop(record.task.id, None)
        self.memory_kb -= record.task.queued_memory_kb

    def memory_to_run(self, record: TaskRecord) -> float:
        """Return the additional memory in kB that a queued task uses once it runs."""
        return record.task.queued_memory_kb * self._extra_memory_factor

    def start(self, record: TaskRecord) -> None:
        """Count a task as running."""
        self.running += 1
        self.memory_kb += self.memory_to_run(record)

    def release(self, record: TaskRecord) -> None:
        """Stop counting the memory and the run of a task that was taken out of the table."""
        if record.started_at:
            self.running -= 1
            self.memory_kb -= self.memory_to_run(record)
        self.memory_kb -= record.task.queued_memory_kb
