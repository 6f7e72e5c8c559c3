"""Admission of tasks: each is rejected or queued when read, then started in order of due time."""

from thistleline.interface import DecisionSink, Stage, Task
from thistleline.policy.completion import Completion
from thistleline.policy.idempotency import replay
from thistleline.policy.state import PolicyState
from thistleline.policy.tasks import TaskRecord, by_due
from thistleline.policy.tuning import BUCKETS, SHORT_QUEUE_FACTOR


class Admission:
    """Decides which tasks are queued, started or rejected."""

    def __init__(self, state: PolicyState, completion: Completion) -> None:
        """Create the admission control; `completion` carries out its rejections."""
        self._state = state
        self._completion = completion
        cores = state.settings.cores
        self._short_queue: float = cores + SHORT_QUEUE_FACTOR * cores**0.5

    def process(self, arrived: list[Task], out: DecisionSink) -> None:
        """Queue or reject the tasks that arrived, then start or reject queued ones."""
        for task in arrived:
            self._admit(task, out)
        if self._state.tasks.queue_length:
            self._process_queue(out)

    # ---- arrival

    def _admit(self, task: Task, out: DecisionSink) -> None:
        """Reject a task that was read, queue it, or answer it with the result of the task it duplicates."""
        state = self._state
        tasks = state.tasks
        stage = state.settings.stages[task.stage]
        record = self._record_arrival(task, stage)
        waits = stage.effect == "keyed" and state.idempotency.join(record, out)
        # A keyed task is added only with its effect, even if an exception ends this round: without one, it
        # would run beside other attempts.
        tasks.add(record)
        if waits:
            tasks.queue_length += 1
            return
        if stage.effect == "idempotent" and task.duplicate_of is not None:
            original = tasks.by_id.get(task.duplicate_of)
            if original is None or original.state == "running":
                replay(record, out)
                return
        if record.answer_by <= state.now or state.is_too_late_to_run(task) or self._is_shed(record):
            self._completion.reject(record, out)
        elif state.is_memory_short(state.settings.idempotency_key_kb if record.effect else 0.0):
            # When memory is short, new tasks are rejected; idempotency keys of tasks that ran are kept.
            self._completion.reject(record, out)
        else:
            tasks.queue_length += 1
            if record.effect is not None:
                state.idempotency.remember(state.now, record, out)

    def _record_arrival(self, task: Task, stage: Stage) -> TaskRecord:
        """Return the record of a task that was read, and count its arrival in all statistics."""
        state = self._state
        now = state.now
        deadline = task.deadline if task.deadline is not None else task.arrived_at + stage.timeout
        due, is_retry = self._due_time(task, stage)
        bucket = state.shedder.bucket_of(task)
        level = state.profiles[task.stage].level
        shed_position = (2 * level + state.quotas.is_within(task.tenant, bucket)) * BUCKETS + bucket
        record = TaskRecord(task, min(due, deadline), deadline, shed_position)
        state.shedder.observe_arrival(now, shed_position, is_retry)
        state.connections.observe(task.client)
        if not is_retry:
            state.quotas.observe_arrival(now, task.tenant)
        state.detector.observe_read(now, task.arrived_at)
        return record

    def _due_time(self, task: Task, stage: Stage) -> tuple[int, bool]:
        """Return the task's due time in ns, counted from its first attempt, and whether it is a retry."""
        state = self._state
        due = task.arrived_at + stage.latency_objective
        due += int(stage.objective_per_work * (task.estimated_work or 0))
        is_retry = task.is_retry
        if task.deadline is not None:
            age = state.timeouts.observe(task, stage.timeout, state.rate_cap.cap is not None)
            if age is not None:
                is_retry = True
                due -= age
        # A marked retry of unknown age was most likely rejected by a server in the same condition as this
        # server, so the retry's age is estimated from the rejections by this server.
        if task.is_retry and due > task.arrived_at:
            typical_age = state.rejections.typical_retry_age()
            if typical_age is not None:
                due = min(due, task.arrived_at + stage.latency_objective - typical_age)
        return due, is_retry

    def _is_shed(self, record: TaskRecord) -> bool:
        """Return whether the task is to be shed: it is below the cutoff, and the core queue is not short.

        With a short queue a core becomes free at once, which shows that there is no overload now, even if the
        rate cap was set a second ago. Prevents the cutoff from outlasting the overload that caused it when
        clients move between servers.
        """
        state = self._state
        if record.shed_position >= state.shedder.cutoff:
            return False
        tasks = state.tasks
        return max(tasks.queue_length + tasks.running, state.on_cores) >= self._short_queue

    # ---- queue

    def _process_queue(self, out: DecisionSink) -> None:
        """Reject queued tasks that cannot meet their due time; start others in order of due time."""
        state = self._state
        tasks = state.tasks
        now = state.now
        slowdown = state.slowdown()
        max_running = state.concurrency.max_running(now)
        queued = sorted((record for record in tasks.by_id.values() if record.state == "queued"), key=by_due)
        for record in queued:
            if record.effect is not None and record.effect.holder is not record:
                continue
            is_probe = tasks.running == 0 and now < record.due
            estimate = state.estimator.estimate(record.task, slowdown)
            if (not is_probe and now + estimate > record.due) or state.is_too_late_to_run(record.task):
                self._completion.reject(record, out)  # would be answered too late to be useful
            elif tasks.running < max_running and not state.is_memory_short(tasks.memory_to_run(record)):
                self._start(record, out)
        tasks.queue_length = sum(1 for record in queued if record.state == "queued")

    def _start(self, record: TaskRecord, out: DecisionSink) -> None:
        state = self._state
        settings = state.settings
        stage = settings.stages[record.task.stage]
        record.state = "running"
        record.started_at = state.now
        # If a late answer has no utility, an idempotent task is answered and its run stopped at its due time,
        # provided that runs can be stopped. Prevents a slowdown from keeping the cores busy with late runs.
        if settings.cancellation != "none" and stage.effect == "idempotent" and not stage.late_utility_share:
            record.answer_by = min(record.answer_by, record.due)
        state.tasks.start(record)
        if record.effect is not None:
            record.effect.has_run = True  # before the start, which may take place and then raise an exception
        out.start(record.task.id)
        if record.effect is not None:
            state.idempotency.answer_followers(record.effect, out)
        elif settings.cached_result_ttl and record.task.user is not None and not state.is_memory_short(0):
            expires_at = record.deadline + settings.cached_result_ttl
            state.idempotency.remember_until(state.now, record.task.id, expires_at, out)
