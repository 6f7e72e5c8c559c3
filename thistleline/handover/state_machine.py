"""How one server follows another on the same machine: both sides, as one state machine. No I/O, no clock.

The predecessor is the one that served first, the successor the one that follows. What holds:

- Until `HandOver` the predecessor alone starts effects, after it the successor alone; `HandOver` comes when
  all that the predecessor meant to start is written and has reached the agent, so that the successor reads of
  every effect that may run.
- A keyed task that the predecessor has not started by then, and every task that it reads later, is the
  successor's: it is forwarded, and its answer comes back. Nothing is refused for the change.
- What the predecessor had running goes on, the successor holding the one link that the agent has. Its end is
  told to both: to the predecessor, which owes the answer, and to the ledger and its repeats here.
- Until the predecessor is gone it vouches for what it started: nothing of that comes to be in doubt here.

Agent events reach the predecessor as ever, by whichever way; the successor answers forwarded tasks on the
connection PREDECESSOR.
"""

from dataclasses import replace
from typing import Any, Literal

from thistleline.durable.effects import WriteLedger
from thistleline.durable.served_value import ServedValueTracker
from thistleline.durable.state_machine import DurableStateMachine
from thistleline.handover.effects import (
    AnswerEffect,
    ForwardTask,
    HandOver,
    PostponeHandover,
    RelayAgentEvent,
    ReportRunEnd,
)
from thistleline.handover.events import (
    ForwardedAnswered,
    HostedMeasureRequested,
    HostedRunStarted,
    HostedRunStopped,
    Inherited,
    PredecessorGone,
    PredecessorRunEnded,
    SuccessorGone,
    SuccessorReady,
    SuccessorReplaced,
    TaskForwarded,
)
from thistleline.interface import RunEnded, RunOutcome, Task
from thistleline.ledger.state import LedgerState
from thistleline.state.attempts import Attempt, Run
from thistleline.state.connections import Connection
from thistleline.state.effects import (
    AnswerAbandoned,
    AnswerFinished,
    AnswerMisunderstood,
    AnswerRejected,
    MeasureGauges,
    StartRun,
    StopRun,
)
from thistleline.state.events import (
    AgentGreeted,
    AgentLost,
    CommandDeclined,
    DeadlineReached,
    GaugesMeasured,
    RunCompleted,
    TaskReceived,
)
from thistleline.state.limits import SECOND
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.state.state_machine import EventHandler, ServerStateMachine

FREEZE_TIMEOUT = 2 * SECOND  # in which nothing starts before the handover; past it the predecessor serves on
MAX_HANDED = 4096  # runs, and ids, that go over in one message
PREDECESSOR = -1  # the successor's connection that stands for its predecessor's
PREDECESSOR_TAG = "e"  # before the tag of a measurement that the predecessor asked for

# Counters of the answers that the successor gave.
ANSWER_COUNTERS: dict[type[AnswerEffect], str] = {
    AnswerFinished: "finished",
    AnswerRejected: "rejected",
    AnswerAbandoned: "abandoned",
    AnswerMisunderstood: "misunderstood",
}

HandoverStage = Literal["sole", "freezing", "handed"]


class HandoverStateMachine(ServedValueTracker, DurableStateMachine):
    """A `DurableStateMachine` that follows a predecessor and hands over to a successor."""

    def __init__(
        self,
        options: MachineOptions,
        now: int,
        lifecycle: Lifecycle,
        *,
        max_disk_bytes: int,
        boot_offset: int,
    ) -> None:
        """Begin as the only server of the machine; the arguments are those of `DurableStateMachine`."""
        super().__init__(options, now, lifecycle, max_disk_bytes=max_disk_bytes, boot_offset=boot_offset)
        # As predecessor.
        self.handover_stage: HandoverStage = "sole"
        self.has_successor = False
        self.frozen_at = 0
        self.freeze_deadline = 0
        self.freeze_duration = 0  # ns, of the last freeze that ended in a handover
        self.freeze_mark: int | None = None  # the measurement that says that all starts reached the agent
        self.frozen_launches: list[str] = []  # names of runs that the freeze holds back
        self.handover_stop_at = 0  # when this process has to be gone after the handover
        self.received: dict[str, tuple[Task, str | None]] = {}  # keyed tasks in hand, as read, and their keys
        self.forwarded: dict[str, None] = {}  # attempts that the successor decides on
        self.handed_numbers: dict[str, int] = {}  # of effects that ran here when the ledger went over
        # As successor.
        self.has_predecessor = False
        self.hosted_runs: dict[str, None] = {}  # ids that run at the agent for the predecessor

    def _event_handlers(self) -> dict[type, EventHandler]:
        return {
            **super()._event_handlers(),
            SuccessorReady: self._on_successor_ready,
            SuccessorReplaced: self._on_successor_replaced,
            SuccessorGone: self._on_successor_gone,
            ForwardedAnswered: self._on_forwarded_answered,
            Inherited: self._on_inherited,
            HostedRunStarted: self._on_hosted_run_started,
            HostedRunStopped: self._on_hosted_run_stopped,
            HostedMeasureRequested: self._on_hosted_measure,
            PredecessorRunEnded: self._on_predecessor_run_ended,
            TaskForwarded: self._on_task_forwarded,
            PredecessorGone: self._on_predecessor_gone,
        }

    def handle(self, now: int, event: Any) -> list[Any]:
        """Handle one event at `now`; return its effects."""
        effects = super().handle(now, event)
        if self.handover_stage == "freezing":
            self._try_to_hand_over()
            effects += self.context.take_effects()
            write = self.ledger.next_write(self._boot_time())  # what a thaw let go on
            if write is not None:
                effects.append(WriteLedger(write))
        return effects

    def next_deadline(self) -> int:
        """Tell when the next `DeadlineReached` is wanted, ns."""
        deadline = super().next_deadline()
        return min(deadline, self.freeze_deadline) if self.handover_stage == "freezing" else deadline

    def diagnostics(self) -> dict[str, Any]:
        """Return what the policy and the ledger take to be so, and how far the handover is."""
        return {
            **super().diagnostics(),
            "stands": self.handover_stage,
            "lodgers": len(self.hosted_runs),
            "away": len(self.forwarded),
        }

    def _on_deadline(self, event: DeadlineReached) -> None:
        if self.handover_stage == "freezing" and self.context.now >= self.freeze_deadline:
            self._thaw("what was begun is not written, or not known to have reached the agent")
        super()._on_deadline(event)

    def _sweep(self) -> None:
        super()._sweep()
        self.received = {name: task for name, task in self.received.items() if name in self.attempts}

    # ---- the predecessor, before it hands over

    def _on_successor_ready(self, event: SuccessorReady) -> None:
        if self.has_predecessor:
            self.context.emit(PostponeHandover("it follows another itself, which is not gone yet"))
        elif self.handover_stage == "sole":
            self.handover_stage = "freezing"
            self.handover_stop_at = event.stop_at
            self.freeze_mark = None
            self.frozen_at = self.context.now
            self.freeze_deadline = self.context.now + FREEZE_TIMEOUT

    def _try_to_hand_over(self) -> None:
        """Hand over once what was begun is written, then known at the agent; nothing is begun meanwhile."""
        if self.ledger.has_unwritten() or self.unwritten_intents:
            return
        session = self.session
        if session.linked:
            if self.freeze_mark is None:
                session.measure()
                self.freeze_mark = session.measurements_requested
            if session.catch_up_measurement is not None or session.last_measured < self.freeze_mark:
                return
        runs = self._sent_runs()
        if len(runs) > MAX_HANDED:
            self._thaw(f"{len(runs)} runs, {MAX_HANDED} go over at the most")
            return
        self._hand_over(runs)

    def _sent_runs(self) -> tuple[str, ...]:
        return tuple(run.id for run in self.runs.values() if run.sent)

    def _thaw(self, reason: str) -> None:
        """Serve on: the successor has to ask again."""
        held_back = self.frozen_launches
        self.frozen_launches = []
        self.handover_stage = "sole"
        self.context.emit(PostponeHandover(reason))
        for name in held_back:
            if name in self.runs:
                self.launch(name, self.runs[name])

    def _on_successor_gone(self, event: SuccessorGone) -> None:
        if self.handover_stage == "freezing":
            self._thaw("the heir is gone")
        elif self.handover_stage == "handed":
            self.has_successor = False
            if self.session.linked:
                self._lose_agent("the heir is gone")
            for name in list(self.forwarded):  # it may have run there
                del self.forwarded[name]
                self.decisions.abandon(name)

    # ---- the predecessor hands over

    def _hand_over(self, runs: tuple[str, ...]) -> None:
        self.handover_stage = "handed"
        self.has_successor = True
        self.freeze_duration = self.context.now - self.frozen_at
        self.context.emit(HandOver(self.session.last_notice, runs, self._unrecorded_ids(), False))
        self._give_up_ledger()
        if self.session.linked:
            self._lose_agent("handed over")
        if not self.lifecycle.is_draining:
            self._begin_drain(self.handover_stop_at)
        self.close_down()
        held_back = self.frozen_launches
        self.frozen_launches = []
        unsent = [name for name, run in self.runs.items() if not run.sent and name not in held_back]
        for name in (*held_back, *unsent):
            if name in self.runs and self._is_keyed(self.runs[name].stage):
                self._pass_on(name)

    def _give_up_ledger(self) -> None:
        """Write nothing more: the ledger is the successor's."""
        self.handed_numbers = self.effect_numbers
        self.effect_numbers = {}
        self.effect_names = {}
        self.ledger = LedgerState(self.ledger.max_disk_bytes, 0, self._boot_time(), lambda _: None)

    def _unrecorded_ids(self) -> tuple[tuple[str, int], ...]:
        """Return the ids of effects that the ledger does not know; the newest, as many as go over."""
        ids = [
            (attempt_id, expires_at - self.context.now)
            for attempt_id, (key, expires_at) in self.attempt_ids.by_id.items()
            if key is None or not self._is_keyed(key[0])
        ]
        return tuple(ids[-MAX_HANDED:])

    def _on_successor_replaced(self, event: SuccessorReplaced) -> None:
        """Hand over again; this successor has the ledger from the folder."""
        self.has_successor = True
        runs = self._sent_runs()[:MAX_HANDED]
        self.context.emit(HandOver(self.session.last_notice, runs, self._unrecorded_ids(), True))
        if self.session.linked:
            self._lose_agent("handed over")

    def _is_keyed(self, stage: int) -> bool:
        return self.settings.stages[stage].effect == "keyed"

    def launch(self, name: str, run: Run) -> None:
        """Start a run, unless a handover holds it back or has made it the successor's."""
        if self.handover_stage == "freezing":
            self.frozen_launches.append(name)
        elif self.handover_stage == "handed" and self._is_keyed(run.stage):
            self._pass_on(name)
        else:
            super().launch(name, run)

    def _pass_on(self, name: str) -> None:
        """Forward what was not started here, and its repeats; its intent is told to be moot first."""
        run = self.runs[name]
        repeats = run.repeats
        run.repeats = []
        number = self.handed_numbers.pop(name, None)
        if number is not None:
            self.context.emit(ReportRunEnd(number, "moot", b""))
        attempt = self.attempts.pop(name, None)  # so that its end here is no answer
        super().end_run(name, "moot", 0, b"")
        if attempt is not None:
            self.attempts[name] = attempt
            self._forward(name, attempt)
        for repeat in repeats:
            repeating = self.attempts.get(repeat)
            if repeating is not None:
                self.notify_policy(RunEnded(repeat, "failed", 0))
                self._forward(repeat, repeating)

    def _forward(self, name: str, attempt: Attempt) -> None:
        attempt.policy_knows = False  # the policy here has nothing to do with it any more
        if not self.has_successor:
            self.decisions.abandon(name)  # nobody here knows whether it ran
            return
        task, dedup_key = self.received[name]
        self.forwarded[name] = None
        stage = self.settings.stages[attempt.stage].name
        tenant = self.settings.tenants[task.tenant].name
        whole = replace(task, id=attempt.id, duplicate_of=None, arrived_at=attempt.arrived_at)
        self.context.emit(ForwardTask(name, whole, stage, tenant, dedup_key, attempt.body))

    def _on_forwarded_answered(self, event: ForwardedAnswered) -> None:
        self.forwarded.pop(event.name, None)
        attempt = self.settle(event.name)
        if attempt is not None:
            self.context.count(ANSWER_COUNTERS[type(event.answer)])
            answer = replace(event.answer, connection=attempt.connection, seq=attempt.seq)
            self.context.emit(answer)

    def end_run(self, name: str, outcome: RunOutcome, duration: int, result: bytes | memoryview) -> None:
        """Note that a run is over; the successor writes down how, if it is in the ledger."""
        number = self.handed_numbers.pop(name, None)
        if number is not None:
            self.context.emit(ReportRunEnd(number, outcome, bytes(result)))
        super().end_run(name, outcome, duration, result)

    # ---- tasks, on both sides

    def _on_task(self, event: TaskReceived) -> None:
        if event.task.id in self.hosted_runs:
            self.connections.message_received(event.connection)
            self._answer_misunderstood(event.connection, event.seq, None, "this try is in hand already")
        else:
            super()._on_task(event)

    def _admit(self, event: TaskReceived, connection: Connection) -> str:
        name = super()._admit(event, connection)
        if self.handover_stage == "handed":
            self.policy_host.pending.pop()
            attempt = self.attempts[name]
            pending_keys = self.policy_host.pending_keys
            if attempt.key is not None and pending_keys.get(attempt.key) == name:
                del pending_keys[attempt.key]
            self.received[name] = event.task, event.dedup_key
            self._forward(name, attempt)
        elif self._is_keyed(event.task.stage):
            self.received[name] = event.task, event.dedup_key
        return name

    # ---- the successor

    def _on_inherited(self, event: Inherited) -> None:
        self.has_predecessor = True
        self.session.last_notice = max(self.session.last_notice, event.last_notice)
        self.hosted_runs = dict.fromkeys(event.runs)
        for attempt_id, remaining in event.owned_ids:
            self.attempt_ids.by_id.setdefault(attempt_id, (None, self.context.now + remaining))

    def _on_hosted_run_started(self, event: HostedRunStarted) -> None:
        if event.attempt_id in self.at_agent or event.attempt_id in self.by_id:
            self.context.emit(RelayAgentEvent(CommandDeclined("start", event.attempt_id)))
        elif self.session.linked:  # else the predecessor learns of the link, and says it again
            self.hosted_runs[event.attempt_id] = None
            self.context.emit(StartRun(event.attempt_id, event.stage, event.body))

    def _on_hosted_run_stopped(self, event: HostedRunStopped) -> None:
        if event.attempt_id in self.hosted_runs and self.session.linked:
            self.context.emit(StopRun(event.attempt_id))

    def _on_hosted_measure(self, event: HostedMeasureRequested) -> None:
        if self.session.linked:
            self.context.emit(MeasureGauges(PREDECESSOR_TAG + event.tag))

    def _on_predecessor_run_ended(self, event: PredecessorRunEnded) -> None:
        """End the run here too; the agent may have said so already."""
        name = self.effect_names.get(event.number)
        if name is not None and name in self.unsettled:
            self.end_run(name, event.outcome, 0, event.result)

    def _on_task_forwarded(self, event: TaskForwarded) -> None:
        if PREDECESSOR not in self.connections.by_number:
            self.connections.admit(PREDECESSOR)
        self._on_task(TaskReceived(PREDECESSOR, event.seq, event.task, event.dedup_key, event.body))

    def _on_predecessor_gone(self, event: PredecessorGone) -> None:
        """Await what it vouched for and has not ended as after any restart."""
        self.has_predecessor = False
        self.hosted_runs.clear()
        if PREDECESSOR in self.connections.by_number:
            self.connections.end(PREDECESSOR, "the elder is gone")
        if self.session.is_caught_up:
            self._restart_runs(0)

    def _restart_runs(self, mark: int) -> None:
        if self.has_predecessor:
            ServerStateMachine._restart_runs(self, mark)
        else:
            super()._restart_runs(mark)

    # ---- the agent, for the predecessor too

    def _on_agent_greeted(self, event: AgentGreeted) -> None:
        super()._on_agent_greeted(event)
        if self.has_predecessor:
            self.context.emit(RelayAgentEvent(event))

    def _lose_agent(self, reason: str) -> None:
        super()._lose_agent(reason)
        if self.has_predecessor:
            self.context.emit(RelayAgentEvent(AgentLost(reason)))

    def _on_run_completed(self, event: RunCompleted) -> None:
        if event.number > self.session.last_notice and event.attempt_id in self.hosted_runs:
            del self.hosted_runs[event.attempt_id]
            self.context.emit(RelayAgentEvent(replace(event, result=bytes(event.result))))
        super()._on_run_completed(event)

    def _on_gauges(self, event: GaugesMeasured) -> None:
        if event.tag.startswith(PREDECESSOR_TAG):
            tag = event.tag.removeprefix(PREDECESSOR_TAG)
            self.context.emit(RelayAgentEvent(GaugesMeasured(tag, event.values)))
        else:
            super()._on_gauges(event)

    def _on_declined(self, event: CommandDeclined) -> None:
        if event.attempt_id in self.hosted_runs:
            if event.command == "start":
                del self.hosted_runs[event.attempt_id]
            self.context.emit(RelayAgentEvent(event))
        else:
            super()._on_declined(event)
