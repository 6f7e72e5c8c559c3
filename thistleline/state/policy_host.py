"""The host of the admission policy: it calls the policy, keeps its timers and recovers from its exceptions.

The policy is called in rounds, each with all events since the previous round.
"""

import traceback
from collections.abc import Container
from dataclasses import replace

from thistleline.interface import (
    ClientGone,
    DecisionSink,
    DrainRequested,
    EffectRemembered,
    PolicyEvent,
    ServerSettings,
    TaskArrived,
    TimerFired,
)
from thistleline.policy import Policy
from thistleline.state.agent_session import AgentSession
from thistleline.state.attempts import Attempt
from thistleline.state.context import EventContext
from thistleline.state.duplicates import DuplicateFinder
from thistleline.state.limits import MS, SECOND
from thistleline.state.options import MachineOptions
from thistleline.state.timers import TimerQueue


class PolicyHost:
    """Calls the policy, keeps its timers, and ensures that an exception in it leaves no task unanswered."""

    def __init__(
        self,
        options: MachineOptions,
        context: EventContext,
        session: AgentSession,
        attempts: dict[str, Attempt],
        duplicates: DuplicateFinder,
        sink: DecisionSink,
    ) -> None:
        """Create a host without a policy; `start` creates it.

        Args:
            options: Names of the gauges, minimum time between rounds, and the policy's seed.
            context: Receives the effects.
            session: Measures the gauges that are passed with a timer.
            attempts: All unanswered attempts, by name.
            duplicates: Determines which attempts the tasks of a round repeat.
            sink: Receives the policy's decisions.
        """
        self.pending: list[PolicyEvent] = []
        self.timers = TimerQueue()
        self.policy: Policy
        self._options = options
        self._context = context
        self._session = session
        self._attempts = attempts
        self._duplicates = duplicates
        self._sink = sink
        self._max_timeout = max(stage.timeout for stage in options.settings.stages)
        self._last_round = 0
        self._due_timers: list[str] = []  # timers that wait for the gauges
        self._gauges_deadline = 0  # time at which the due timers fire without gauges
        # End of the period after an exception in the policy in which the host abandons overdue attempts.
        self._faulty_until = 0

    def start(self, settings: ServerSettings, started_at: int) -> None:
        """Create the policy and run its first round; `started_at`: when the machine was started, ns."""
        self.policy = Policy(settings, self._options.seed, started_at)
        self.run_round()

    def restart(self, settings: ServerSettings, started_at: int) -> None:
        """Replace the policy with a new one; drop timers and pending events."""
        self.timers = TimerQueue()
        self._due_timers = []
        self.pending = []
        self.start(settings, started_at)

    # ---- time

    def next_deadline(self, latest: int) -> int:
        """Return when `tick` must be called next, but no later than `latest`."""
        deadline = latest
        timer_due = self.timers.next_due()
        if timer_due is not None:
            deadline = min(deadline, timer_due)
        if self._due_timers:
            deadline = min(deadline, self._gauges_deadline)
        if self.pending:
            deadline = min(deadline, self._last_round + self._options.granularity)
        return deadline

    def tick(self) -> None:
        """Fire the timers that are due, then run one round with all pending events."""
        now = self._context.now
        names = self.timers.take_due(now)
        if names:
            self._due_timers += names
            if self._session.is_caught_up:
                self._session.measure()
                self._gauges_deadline = now + self._options.granularity
            else:
                self._gauges_deadline = now
        if self._due_timers and now >= self._gauges_deadline:
            self._fire_timers({})  # without gauges: timers enforce clients' deadlines
        if self.pending and now >= self._last_round + self._options.granularity:
            self.run_round()

    def gauges_measured(self, number: int, values: list[float]) -> None:
        """Fire the waiting timers if this is the last measurement requested."""
        if self._due_timers and number == self._session.measurements_requested:
            self._fire_timers(dict(zip(self._options.gauges, values, strict=False)))

    def _fire_timers(self, gauges: dict[str, float]) -> None:
        self.pending += [TimerFired(name, gauges) for name in self._due_timers]
        self._due_timers = []

    # ---- events

    def drop_tasks(self, names: Container[str]) -> None:
        """Remove tasks from the pending events, so that the policy does not decide on them."""
        self.pending = [
            event
            for event in self.pending
            if not isinstance(event, TaskArrived) or event.task.id not in names
        ]

    # ---- rounds

    def run_round(self) -> None:
        """Call the policy with all pending events."""
        events = self._duplicates.mark_duplicates(self._take_pending())
        for event in events:
            if isinstance(event, TaskArrived):
                self._attempts[event.task.id].policy_knows = True
        self._last_round = self._context.now
        try:
            self.policy.round(self._context.now, events, self._sink)
        except Exception:
            self._recover(events)

    def _take_pending(self) -> list[PolicyEvent]:
        """Return the pending events and clear them.

        Tasks that were withdrawn or answered since they were read are left out: the policy would start them.
        """
        events = [
            event
            for event in self.pending
            if not isinstance(event, TaskArrived) or event.task.id in self._attempts
        ]
        self.pending = []
        return events

    def _recover(self, events: list[PolicyEvent]) -> None:
        """Handle an exception in the policy so that no task stays unanswered.

        The events that the policy did not process are passed again one by one; a task on which it fails again
        is abandoned. The timers that had fired are set again.
        """
        abandoned: dict[str, str | None] = {}  # names of the abandoned tasks; what each of them repeats
        self._faulty_until = self._context.now + self._max_timeout + SECOND
        self._report_fault("round")
        pending_timers = self.timers.names()
        for event in events:
            if isinstance(event, TimerFired):
                if event.name not in pending_timers:
                    retry_at = self._context.now + max(self._options.granularity, MS)
                    self.timers.add(retry_at, event.name)
            elif not self._was_processed(event):
                self._retry(event, abandoned)

    def _was_processed(self, event: PolicyEvent) -> bool:
        """Return whether the policy processed an event before it failed, or no longer needs it."""
        match event:
            case TaskArrived(task):
                return task.id not in self._attempts or task.id in self.policy.tasks
            case EffectRemembered(task_id):
                return self.policy.state.idempotency.has_effect(task_id)
            case DrainRequested():
                return self.policy.accept_until is not None
            case TimerFired():
                return True
            case _:
                return event.task_id not in self.policy.tasks

    def _retry(self, event: PolicyEvent, abandoned: dict[str, str | None]) -> None:
        """Pass one event again; if the policy fails on a task, abandon it and add it to `abandoned`.

        The policy does not know an abandoned task. A later one that repeats it names the abandoned task's own
        original instead; otherwise it would be a new task to the policy, and run a second time.
        """
        if isinstance(event, TaskArrived) and event.task.duplicate_of in abandoned:
            event = TaskArrived(replace(event.task, duplicate_of=abandoned[event.task.duplicate_of]))
        try:
            self.policy.round(self._context.now, [event], self._sink)
        except Exception:
            self._report_fault(type(event).__name__)
            if isinstance(event, TaskArrived) and event.task.id not in self.policy.tasks:
                self._sink.abandon(event.task.id)
                abandoned[event.task.id] = event.task.duplicate_of

    def _report_fault(self, where: str) -> None:
        self._context.count("faults")
        if self._context.may_log("fault"):
            self._context.log("fault", input=where, trace=traceback.format_exc()[-2000:])

    def abandon_overdue(self, before: int) -> None:
        """After an exception in the policy, abandon attempts whose deadline is at or before `before`.

        The policy's timer may fail to answer them.
        """
        if self._context.now >= self._faulty_until:
            return
        for name, attempt in list(self._attempts.items()):
            if attempt.deadline <= before:
                self._sink.abandon(name)
                self.pending.append(ClientGone(name))
