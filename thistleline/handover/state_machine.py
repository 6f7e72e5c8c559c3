"""The handover between two servers on the same machine: both sides in one state machine. No I/O, no clock.

The predecessor is the server that is running, the successor the server that replaces it. A keyed task has an
idempotency key; its run is called an effect and is recorded in the ledger. Invariants:

- Before `HandOver` only the predecessor starts effects, after it only the successor. `HandOver` is emitted
  once all starts by the predecessor are written and have reached the agent, so that the successor finds every
  effect that may run in the ledger. Until then the predecessor is frozen: it starts no run.
- A keyed task that the predecessor has not started by then, and every task that it reads later, is forwarded
  to the successor, which decides on it and returns the answer. No task is refused because of the handover.
- The predecessor's runs continue while the successor holds the agent's only link (hosted runs). The end of
  such a run is reported to both sides: to the predecessor, which has to answer the client, and to the
  successor, for the ledger and for repeats of the task.
- As long as the predecessor runs, the successor does not treat the predecessor's effects as doubtful, that
  is, as possibly run with an unknown outcome.

The predecessor handles agent events in the same way whether they come from the agent or through the
successor; the successor answers forwarded tasks on the connection PREDECESSOR_CONNECTION.
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
from thistleline.interface import ClientGone, RunEnded, RunOutcome, Task
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

FREEZE_TIMEOUT = 2 * SECOND  # ns; limit on the freeze before the handover, after which serving resumes
MAX_GRANT_ENTRIES = 4096  # limit on the number of runs and, separately, of owned ids in one grant
PREDECESSOR_CONNECTION = -1  # connection number of tasks that the predecessor forwards
NO_TENANT = ""  # stands for the tenant of a forwarded task where the site has no tenants
PREDECESSOR_TAG = "e"  # prefix of the tags of measurements that the predecessor requested

# Name of the counter that counts the successor's answers of each class.
ANSWER_COUNTERS: dict[type[AnswerEffect], str] = {
    AnswerFinished: "finished",
    AnswerRejected: "rejected",
    AnswerAbandoned: "abandoned",
    AnswerMisunderstood: "misunderstood",
}

HandoverPhase = Literal["sole", "freezing", "handed"]


class HandoverStateMachine(ServedValueTracker, DurableStateMachine):
    """A `DurableStateMachine` that takes over from a predecessor and hands over to a successor."""

    def __init__(
        self,
        options: MachineOptions,
        now: int,
        lifecycle: Lifecycle,
        *,
        max_disk_bytes: int,
        boot_offset: int,
    ) -> None:
        """Start as the only server on the machine; the arguments are those of `DurableStateMachine`."""
        super().__init__(options, now, lifecycle, max_disk_bytes=max_disk_bytes, boot_offset=boot_offset)
        # State in the role of the predecessor.
        self.handover_phase: HandoverPhase = "sole"
        self.has_successor = False
        self.frozen_at = 0
        self.freeze_deadline = 0
        self.freeze_duration = 0  # ns; duration of the last freeze that ended with a handover
        # Number of the measurement whose answer confirms that all starts have reached the agent.
        self.freeze_mark: int | None = None
        self.delayed_launches: list[str] = []  # names of runs that are delayed by the freeze
        self.handover_stop_at = 0  # ns; when this process has to exit after the handover
        # Unanswered tasks that may have to be forwarded, as read, with their keys; by attempt name.
        self.received: dict[str, tuple[Task, str | None]] = {}
        self.forwarded: dict[str, None] = {}  # names of the attempts that the successor decides on
        # Numbers, by run name, of the ledger's effects that ran or were recorded here at the handover.
        self.handed_over_numbers: dict[str, int] = {}
        # State in the role of the successor.
        self.has_predecessor = False
        self.hosted_runs: dict[str, None] = {}  # ids of the predecessor's runs at the agent

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
        if self.handover_phase == "freezing":
            self._try_to_hand_over()
            effects += self.context.take_effects()
            # An aborted freeze has released runs whose intents may have to be written.
            write = self.ledger.next_write(self._boot_time())
            if write is not None:
                effects.append(WriteLedger(write))
        return effects

    def next_deadline(self) -> int:
        """Return the time of the next `DeadlineReached`, ns."""
        deadline = super().next_deadline()
        return min(deadline, self.freeze_deadline) if self.handover_phase == "freezing" else deadline

    def diagnostics(self) -> dict[str, Any]:
        """Return the state of the policy, the ledger and the handover, for the metrics in the log."""
        return {
            **super().diagnostics(),
            "stands": self.handover_phase,
            "lodgers": len(self.hosted_runs),
            "away": len(self.forwarded),
        }

    def _on_deadline(self, event: DeadlineReached) -> None:
        if self.handover_phase == "freezing" and self.context.now >= self.freeze_deadline:
            self._abort_freeze("starts are not yet written, or not yet confirmed by the agent")
        super()._on_deadline(event)

    def _sweep(self) -> None:
        super()._sweep()
        self.received = {name: task for name, task in self.received.items() if name in self.attempts}

    # ---- the predecessor before the handover

    def _on_successor_ready(self, event: SuccessorReady) -> None:
        if self.has_predecessor:
            self.context.emit(PostponeHandover("this server's own predecessor still runs"))
        elif self.handover_phase == "sole":
            self.handover_phase = "freezing"
            self.handover_stop_at = event.stop_at
            self.freeze_mark = None
            self.frozen_at = self.context.now
            self.freeze_deadline = self.context.now + FREEZE_TIMEOUT

    def _try_to_hand_over(self) -> None:
        """Hand over once all starts are written and confirmed by the agent; no run starts meanwhile."""
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
        if len(runs) > MAX_GRANT_ENTRIES:
            self._abort_freeze(f"{len(runs)} runs exceed the limit of {MAX_GRANT_ENTRIES} in a handover")
            return
        self._hand_over(runs)

    def _sent_runs(self) -> tuple[str, ...]:
        return tuple(run.id for run in self.runs.values() if run.sent)

    def _abort_freeze(self, reason: str) -> None:
        """Abort the freeze and resume serving; the successor has to request the handover again."""
        delayed = self.delayed_launches
        self.delayed_launches = []
        self.handover_phase = "sole"
        self.context.emit(PostponeHandover(reason))
        for name in delayed:
            if name in self.runs:
                self.launch(name, self.runs[name])

    def _on_successor_gone(self, event: SuccessorGone) -> None:
        if self.handover_phase == "freezing":
            self._abort_freeze("the successor is gone")
        elif self.handover_phase == "handed":
            self.has_successor = False
            if self.session.linked:
                self._lose_agent("the successor is gone")
            for name in list(self.forwarded):  # the successor may have run the task
                del self.forwarded[name]
                self.decisions.abandon(name)

    # ---- the predecessor during and after the handover

    def _hand_over(self, runs: tuple[str, ...]) -> None:
        self.handover_phase = "handed"
        self.has_successor = True
        self.freeze_duration = self.context.now - self.frozen_at
        self.context.emit(HandOver(self.session.last_notice, runs, self._unrecorded_ids(), False))
        self._release_ledger()
        if self.session.linked:
            self._lose_agent("handed over")
        if not self.lifecycle.is_draining:
            self._begin_drain(self.handover_stop_at)
        self.close_down()
        delayed = self.delayed_launches
        self.delayed_launches = []
        unsent = [name for name, run in self.runs.items() if not run.sent and name not in delayed]
        for name in (*delayed, *unsent):
            if name in self.runs and self._is_keyed(self.runs[name].stage):
                self._forward_unstarted(name)
        self._forward_queued()

    def _forward_queued(self) -> None:
        """Forward the keyed tasks that the policy has not decided on.

        The policy must not reject them later: the successor may run another attempt of the same task.
        """
        tasks = self.policy.tasks
        queued = {
            name
            for name in self.received
            if name in self.attempts and name not in self.forwarded and name not in self.runs
            if name not in tasks or tasks[name].state == "queued"
        }
        self.policy_host.drop_tasks(queued)
        for name in self.received:
            if name in queued:
                self.notify_policy(ClientGone(name))
                self._forward(name, self.attempts[name])

    def _release_ledger(self) -> None:
        """Replace the ledger with an empty one, as from now on only the successor writes to the ledger."""
        self.handed_over_numbers = self.effect_numbers
        self.effect_numbers = {}
        self.effect_names = {}
        self.ledger = LedgerState(self.ledger.max_disk_bytes, 0, self._boot_time(), lambda _: None)

    def _unrecorded_ids(self) -> tuple[tuple[str, int], ...]:
        """Return the attempt ids of runs that are not in the ledger, the newest up to a grant's limit."""
        ids = [
            (attempt_id, expires_at - self.context.now)
            for attempt_id, (key, expires_at) in self.attempt_ids.by_id.items()
            if key is None or not self._is_keyed(key[0])
        ]
        return tuple(ids[-MAX_GRANT_ENTRIES:])

    def _on_successor_replaced(self, event: SuccessorReplaced) -> None:
        """Send another grant; this successor has locked the ledger itself."""
        self.has_successor = True
        runs = self._sent_runs()[:MAX_GRANT_ENTRIES]
        self.context.emit(HandOver(self.session.last_notice, runs, self._unrecorded_ids(), True))
        if self.session.linked:
            self._lose_agent("handed over")

    def _is_keyed(self, stage: int) -> bool:
        return self.settings.stages[stage].effect == "keyed"

    def launch(self, name: str, run: Run) -> None:
        """Start a run, or delay it during a freeze, or forward it after the handover if it is keyed."""
        if self.handover_phase == "freezing":
            self.delayed_launches.append(name)
        elif self.handover_phase == "handed" and self._is_keyed(run.stage):
            self._forward_unstarted(name)
        else:
            super().launch(name, run)

    def _forward_unstarted(self, name: str) -> None:
        """Forward a task that was not started here, and its repeats.

        If its intent is in the ledger, the successor is told first that the run never started (is moot).
        """
        run = self.runs[name]
        repeats = run.repeats
        run.repeats = {}
        number = self.handed_over_numbers.pop(name, None)
        if number is not None:
            self.context.emit(ReportRunEnd(number, "moot", b""))
        attempt = self.attempts.pop(name, None)  # so that the end of the run sends no answer
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
        attempt.policy_knows = False  # the local policy no longer handles this attempt
        if not self.has_successor:
            self.decisions.abandon(name)  # whether it ran is unknown here
            return
        task, dedup_key = self.received[name]
        self.forwarded[name] = None
        stage = self.settings.stages[attempt.stage].name
        tenants = self.settings.tenants
        tenant = tenants[task.tenant].name if tenants else NO_TENANT
        forwarded_task = replace(task, id=attempt.id, duplicate_of=None, arrived_at=attempt.arrived_at)
        self.context.emit(ForwardTask(name, forwarded_task, stage, tenant, dedup_key, attempt.body))

    def _on_forwarded_answered(self, event: ForwardedAnswered) -> None:
        self.forwarded.pop(event.name, None)
        attempt = self.settle(event.name)
        if attempt is not None:
            self.context.count(ANSWER_COUNTERS[type(event.answer)])
            answer = replace(event.answer, connection=attempt.connection, seq=attempt.seq)
            self.context.emit(answer)

    def end_run(self, name: str, outcome: RunOutcome, duration: int, result: bytes | memoryview) -> None:
        """End a run; if it is in the ledger, report its outcome to the successor, which records it."""
        number = self.handed_over_numbers.pop(name, None)
        if number is not None:
            self.context.emit(ReportRunEnd(number, outcome, bytes(result)))
        super().end_run(name, outcome, duration, result)

    # ---- tasks on both sides

    def _on_task(self, event: TaskReceived) -> None:
        if event.task.id in self.hosted_runs:
            self.connections.message_received(event.connection)
            self._answer_misunderstood(event.connection, event.seq, None, "this try is in hand already")
        else:
            super()._on_task(event)

    def _admit(self, event: TaskReceived, connection: Connection) -> str:
        name = super()._admit(event, connection)
        if self.handover_phase == "handed":
            self.policy_host.pending.pop()
            self.received[name] = event.task, event.dedup_key
            self._forward(name, self.attempts[name])
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
        elif self.session.linked:  # otherwise the predecessor repeats the request once the agent is linked
            self.hosted_runs[event.attempt_id] = None
            self.context.emit(StartRun(event.attempt_id, event.stage, event.body))

    def _on_hosted_run_stopped(self, event: HostedRunStopped) -> None:
        if event.attempt_id in self.hosted_runs and self.session.linked:
            self.context.emit(StopRun(event.attempt_id))

    def _on_hosted_measure(self, event: HostedMeasureRequested) -> None:
        if self.session.linked:
            self.context.emit(MeasureGauges(PREDECESSOR_TAG + event.tag))

    def _on_predecessor_run_ended(self, event: PredecessorRunEnded) -> None:
        """End the predecessor's run here too, unless the agent has already reported its end."""
        name = self.effect_names.get(event.number)
        if name is not None and name in self.unsettled:
            self.end_run(name, event.outcome, 0, event.result)
        elif (attempt_id := self.ledger.unmatched.attempt_of(event.number)) is not None:
            self._end_unmatched(attempt_id, event.outcome, event.result)

    def _on_task_forwarded(self, event: TaskForwarded) -> None:
        if PREDECESSOR_CONNECTION not in self.connections.by_number:
            self.connections.admit(PREDECESSOR_CONNECTION)
        self._on_task(
            TaskReceived(PREDECESSOR_CONNECTION, event.seq, event.task, event.dedup_key, event.body)
        )

    def _on_predecessor_gone(self, event: PredecessorGone) -> None:
        """Await the ends of the predecessor's remaining runs in the same way as after a restart."""
        self.has_predecessor = False
        self.hosted_runs.clear()
        if PREDECESSOR_CONNECTION in self.connections.by_number:
            self.connections.end(PREDECESSOR_CONNECTION, "the predecessor is gone")
        if self.session.is_caught_up:
            self._restart_runs(0)

    def _restart_runs(self, mark: int) -> None:
        if self.has_predecessor:
            ServerStateMachine._restart_runs(self, mark)
        else:
            super()._restart_runs(mark)

    # ---- agent events, relayed to the predecessor

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
