"""Records of the tasks in hand: queued, running, in a downstream call, or awaiting a duplicate's result."""

from typing import Literal

from thistleline.interface import ServerSettings, Task
from thistleline.policy.tuning import ANSWER_MARGIN

TaskState = Literal["queued", "running", "awaiting_call", "calling", "replaying", "answered"]


class Effect:
    """One keyed effect, however many attempts ask for it.

    Attributes:
        has_run: Whether an attempt was started; all others are answered from its result.
        holder: The queued attempt that will run.
        followers: Attempts that wait for the holder, in order of arrival.
        expires_at: When the effect is forgotten, ns.
    """

    __slots__ = ("expires_at", "followers", "has_run", "holder")

    def __init__(self, expires_at: int) -> None:
        """Create an effect that has not run and that no attempt holds."""
        self.has_run = False
        self.holder: TaskRecord | None = None
        self.followers: list[TaskRecord] = []
        self.expires_at = expires_at


class TaskRecord:
    """A task in hand.

    Attributes:
        task: The task as it was read.
        due: When its latency objective ends, ns; queued tasks start in this order.
        deadline: When its client stops waiting, ns.
        shed_position: Its place in the order of shedding: level, quota, user bucket.
        answer_by: When it is answered in whatever state, ns.
        state: Its state; "answered" is one whose run has not ended yet.
        started_at: When its run started, ns; 0 for never.
        failed_calls: Downstream calls that failed.
        effect: The keyed effect that it asks for.
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
    """All tasks in hand, with the memory that they take.

    Attributes:
        by_id: The records by task id.
        running: Runs that were started and have not ended.
        queue_length: Tasks queued at the end of the last round, and read since.
        memory_kb: Memory of all tasks in hand.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create an empty table."""
        self.by_id: dict[str, TaskRecord] = {}
        self.running = 0
        self.queue_length = 0
        self.memory_kb = 0.0
        self._running_extra = settings.running_memory_factor - 1

    def add(self, record: TaskRecord) -> None:
        """Add a task that was read."""
        self.by_id[record.task.id] = record
        self.memory_kb += record.task.queued_memory_kb

    def remove(self, record: TaskRecord) -> None:
        """Remove a task that never ran."""
        self.by_id.pop(record.task.id, None)
        self.memory_kb -= record.task.queued_memory_kb

    def memory_to_run(self, record: TaskRecord) -> float:
        """Return the memory in kB that a queued task takes besides once it runs."""
        return record.task.queued_memory_kb * self._running_extra

    def start(self, record: TaskRecord) -> None:
        """Count a task as running."""
        self.running += 1
        self.memory_kb += self.memory_to_run(record)

    def release(self, record: TaskRecord) -> None:
        """Give back what a task took that is no longer in the table."""
        if record.started_at:
            self.running -= 1
            self.memory_kb -= self.memory_to_run(record)
        self.memory_kb -= record.task.queued_memory_kb
