"""The server's state machine: it handles events and returns effects, without I/O and without a clock.

Every change of a server's state is made here, for all protocols. `events` defines its inputs, `effects` its
outputs. The state machine hosts the admission policy and calls it in rounds, each with all events since the
previous round; `PolicyDecisions` applies the policy's decisions.

The id of an attempt on the wire is chosen by its client and untrusted. It identifies the attempt only to that
client and to the agent. Inside the server an attempt is identified by a generated name, which is unique in
the life of the process. What a task with an idempotency key does, which must not happen twice, is identified
by an internal key (stage, and a digest of the client's key and the body); all attempts with that key request
the same run. `by_id` has the ids of unanswered attempts, `at_agent` the ids of runs at the agent.
`attempt_ids` has the key that each id was used with, so that the id can't start a run under another key.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from thistleline.interface import (
    CallEnded,
    CallRequested,
    ClientGone,
    DrainRequested,
    PolicyEvent,
    RunEnded,
    RunOutcome,
    Task,
    TaskArrived,
)
from thistleline.policy import Policy
from thistleline.state.agent_session import AgentSession
from thistleline.state.attempts import Attempt, Run
from thistleline.state.connections import ClientConnections, Connection
from thistleline.state.context import EventContext
from thistleline.state.decisions import PolicyDecisions
from thistleline.state.downstream import DownstreamCalls
from thistleline.state.duplicates import DuplicateFinder
from thistleline.state.effects import (
    AnnounceAccepting,
    AnswerFinished,
    AnswerMisunderstood,
    CancelCall,
    EndProcess,
    ServerEffect,
    StartRun,
    StopAccepting,
    StopRun,
)
from thistleline.state.events import (
    AgentGreeted,
    AgentLost,
    CallCompleted,
    CallWanted,
    CommandDeclined,
    ConnectionEnded,
    ConnectionOpened,
    DeadlineReached,
    DeepCheckCompleted,
    GaugesMeasured,
    HealthCheckReceived,
    InputDrained,
    ListeningStarted,
    MalformedReceived,
    RemarkReceived,
    RunCompleted,
    ShutdownRequested,
    TaskReceived,
    UnknownNotice,
)
from thistleline.state.health import HealthChecks
from thistleline.state.idempotency import AttemptIdTable, IdempotencyKey, IdempotencyTable, make_key
from thistleline.state.limits import (
    EXIT_MARGIN,
    EXIT_MARGIN_DIVISOR,
    IN_DOUBT_WAIT_DIVISOR,
    MAX_CLOCK_DEVIATION,
    RESULT_BYTES_PER_ATTEMPT_ID,
    SWEEP_INTERVAL,
)
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.state.policy_host import PolicyHost

EventHandler = Callable[[Any], None]


class ServerStateMachine:
    """All state of a server; combines the parts that the other modules of this package define."""

    def __init__(self, options: MachineOptions, now: int, lifecycle: Lifecycle) -> None:
        """Create the state without connections and without an agent.

        Args:
            options: Settings and limits.
            now: Current time of the clock that `handle` uses, ns.
            lifecycle: The phase of the process.
        """
        settings = options.settings
        self.settings = settings
        self.options = options
        self.lifecycle = lifecycle
        self.context = EventContext(now)
        self.max_timeout = max(stage.timeout for stage in settings.stages)
        self.attempts_made = 0
        self.attempts: dict[str, Attempt] = {}  # unanswered attempts, by name
        self.by_id: dict[str, str] = {}  # names of unanswered attempts, by id
        self.runs: dict[str, Run] = {}  # runs at the agent, by the name of their attempt
        self.at_agent: dict[str, str] = {}  # names of the runs at the agent, by id
        # Runs in doubt, whose start may have been lost, by name: time until which their end is awaited.
        self.in_doubt: dict[str, int] = {}
        self.attempt_ids = AttemptIdTable(max(64, options.max_result_bytes // RESULT_BYTES_PER_ATTEMPT_ID))
        self.idempotency = IdempotencyTable(options.max_result_bytes)
        self.connections = ClientConnections(self.context, lifecycle, options.max_connections, self._release)
        self.session = AgentSession(self.context)
        self.health = HealthChecks(self.context, self.session, self.connections)
        self.downstream = DownstreamCalls(self.context, self.session)
        self.decisions = PolicyDecisions(self)
        duplicates = DuplicateFinder(settings, self.attempts, self.runs, self.idempotency)
        self.policy_host = PolicyHost(
            options, self.context, self.session, self.attempts, duplicates, self.decisions
        )
        self.stop_at: int | None = None  # when the process is stopped, if known
        self.exit_margin = EXIT_MARGIN
        self._next_sweep = now
        self._handlers = self._event_handlers()
        self.policy_host.start(settings, now)

    # ---- interface to the server

    def handle(self, now: int, event: Any) -> list[Any]:
        """Handle one event at the time `now`; return its effects, to be carried out in order."""
        if now > self.context.now:
            self.context.now = now
        self._handlers[type(event)](event)
        return self.context.take_effects()

    def handle_failure(self, event: Any) -> list[ServerEffect]:
        """Return the effects of `handle` up to the exception that it raised; answer a task not accepted."""
        if isinstance(event, TaskReceived):
            connection = self.connections.by_number.get(event.connection)
            if connection is not None and self.by_id.get(event.task.id) not in connection.open:
                self._answer_misunderstood(event.connection, event.seq, None, "it could not be taken")
        return self.context.take_effects()

    def next_deadline(self) -> int:
        """Return when the next `DeadlineReached` is due, ns."""
        return self.policy_host.next_deadline(self._next_sweep)

    @property
    def policy(self) -> Policy:
        """The admission policy."""
        return self.policy_host.policy

    def diagnostics(self) -> dict[str, Any]:
        """Return the policy's view of the load next to the agent's measurements; they should not diverge."""
        values = zip(self.options.gauges, self.session.gauge_values, strict=False)
        gauged = {name: round(value, 3) for name, value in values}
        age_ms = (self.context.now - self.session.measured_at) // 1_000_000
        return {
            "believed": [len(self.policy.tasks), self.policy.running, int(self.policy.memory_kb)],
            "gauged": {**gauged, "age_ms": age_ms},
            "good": self.health.healthy,
            "level": self.health.load_hint,
            "cap": self.policy.cap,
        }

    def _event_handlers(self) -> dict[type, EventHandler]:
        """Return the handler of each class of event."""
        return {
            ConnectionOpened: self._on_connection_opened,
            TaskReceived: self._on_task,
            HealthCheckReceived: self._on_health_check,
            MalformedReceived: self._on_malformed,
            InputDrained: self._on_input_drained,
            ConnectionEnded: self._on_connection_ended,
            AgentGreeted: self._on_agent_greeted,
            AgentLost: self._on_agent_lost,
            RunCompleted: self._on_run_completed,
            CallWanted: self._on_call_wanted,
            GaugesMeasured: self._on_gauges,
            DeepCheckCompleted: self._on_deep_check,
            CommandDeclined: self._on_declined,
            RemarkReceived: self._on_remark,
            UnknownNotice: self._on_unknown_notice,
            CallCompleted: self._on_call_completed,
            ListeningStarted: self._on_listening,
            ShutdownRequested: self._on_shutdown,
            DeadlineReached: self._on_deadline,
        }

    # ---- time

    def _on_deadline(self, event: DeadlineReached) -> None:
        self.policy_host.tick()
        if self.context.now >= self._next_sweep:
            self._sweep()
        if self.lifecycle.is_draining:
            self._end_if_done()

    def _sweep(self) -> None:
        """Check all tables for expired entries."""
        now = self.context.now
        self._next_sweep = now + SWEEP_INTERVAL
        self.policy_host.abandon_overdue(self._next_sweep)
        self.connections.sweep()
        self.health.expire()
        self._fail_runs_in_doubt()
        for attempt_id in self.downstream.overdue():
            self.context.emit(CancelCall(attempt_id))
            self._on_call_completed(CallCompleted(attempt_id, "timed_out", b""))
        self.idempotency.expire(now - self.max_timeout, self.runs)
        self.attempt_ids.expire(now)

    # ---- start and stop

    def _on_listening(self, event: ListeningStarted) -> None:
        self.lifecycle.advance("awaiting agent")
        self.context.log("phase", phase=self.lifecycle.phase)

    def _on_shutdown(self, event: ShutdownRequested) -> None:
        if self.lifecycle.is_draining:
            return
        self._begin_drain(event.stop_at)
        remaining = event.stop_at - self.context.now
        self.exit_margin = max(0, min(EXIT_MARGIN, remaining // EXIT_MARGIN_DIVISOR))
        self.context.emit(AnnounceAccepting(False))

    def _begin_drain(self, stop_at: int) -> None:
        self.lifecycle.advance("leaving")
        self._log_phase()
        self.stop_at = stop_at
        self.notify_policy(DrainRequested(stop_at))

    def _log_phase(self) -> None:
        self.context.log("phase", phase=self.lifecycle.phase, held=len(self.attempts), runs=len(self.runs))

    def close_down(self) -> None:
        """Stop accepting connections and dismiss the open ones, so that clients use other servers at once."""
        if self.lifecycle.is_closing:
            return
        self.lifecycle.advance("closing")
        self._log_phase()
        self.context.emit(StopAccepting())
        self.connections.dismiss_all()

    def _end_if_done(self) -> None:
        """End the process once all tasks are answered and all connections closed, or just before the stop."""
        if self.stop_at is None or self.lifecycle.phase == "ended":
            return
        unanswered = len(self.attempts)
        open_connections = len(self.connections.by_number)
        idle = not (unanswered or open_connections or self.policy_host.pending)
        if (idle and self.lifecycle.is_closing) or self.context.now >= self.stop_at - self.exit_margin:
            self.lifecycle.advance("ended")
            self.context.log(
                "phase", phase=self.lifecycle.phase, owed=unanswered, connections=open_connections
            )
            for name in list(self.attempts):  # those that the policy's timer had no time left to answer
                self.decisions.abandon(name)
            self.context.emit(EndProcess(self.stop_at - self.exit_margin * 2 // 3))
        elif idle:
            self.close_down()  # no connection is left, so all clients know of the drain

    # ---- connections

    def _on_connection_opened(self, event: ConnectionOpened) -> None:
        self.connections.open(event.connection)

    def _on_input_drained(self, event: InputDrained) -> None:
        self.connections.input_drained(event.connection, event.partial)

    def _on_connection_ended(self, event: ConnectionEnded) -> None:
        self.connections.end(event.connection, event.reason)

    def _on_health_check(self, event: HealthCheckReceived) -> None:
        self.connections.message_received(event.connection)
        self.health.check(event.connection, event.seq, event.deep)

    def _on_malformed(self, event: MalformedReceived) -> None:
        if self.connections.message_received(event.connection) is None:
            return
        self.connections.record_violation(event.connection, "malformed", text=event.reason)
        if event.seq is None:
            self.connections.close(event.connection)
        else:
            self._answer_misunderstood(event.connection, event.seq, event.method, event.reason)

    def _answer_misunderstood(self, connection: int, seq: int, method: bytes | None, reason: str) -> None:
        self.context.emit(AnswerMisunderstood(connection, seq, method, reason))

    def _release(self, names: Iterable[str]) -> None:
        """Remove the attempts of a connection that ended.

        Runs of tasks that are not idempotent continue, so that their results can answer repeats. Attempts
        that the policy has not seen are left out of its next round.
        """
        for name in names:
            attempt = self._remove(name)
            if attempt is not None and attempt.policy_knows:
                self.notify_policy(ClientGone(name))

    # ---- tasks

    def _on_task(self, event: TaskReceived) -> None:
        connection = self.connections.message_received(event.connection)
        if connection is None:
            return
        refusal = self._refusal_reason(event.task)
        if refusal is not None:
            self._answer_misunderstood(event.connection, event.seq, None, refusal)
            self.connections.record_violation(event.connection, "nonsense", id=event.task.id, text=refusal)
            return
        self.context.count("tasks")
        self._admit(event, connection)

    def _refusal_reason(self, task: Task) -> str | None:
        """Return why a task is refused; None if it is accepted."""
        if task.id in self.by_id or task.id in self.at_agent:
            return "this try is in hand already"
        if abs(self.context.now - task.arrived_at) > MAX_CLOCK_DEVIATION:
            return "it came at no likely time"  # the policy would mistake it for a delay in reading
        return None

    def _admit(self, event: TaskReceived, connection: Connection) -> str:
        """Add a task's attempt to the tables and notify the policy of it; return the attempt's name."""
        task = event.task
        stage = self.settings.stages[task.stage]
        key = None if event.dedup_key is None else make_key(task.stage, event.dedup_key, event.body)
        arrived_at = min(task.arrived_at, self.context.now)
        deadline = arrived_at + stage.timeout if task.deadline is None else task.deadline
        attempt = Attempt(
            event.connection, event.seq, task.id, task.stage, arrived_at, deadline, key, bytes(event.body)
        )
        name = self._new_name()
        self.by_id[task.id] = name
        self.attempts[name] = attempt
        if key is not None and stage.effect == "keyed" and task.id not in self.attempt_ids.by_id:
            self.claim_id(task.id, key, task.stage)
        connection.open[name] = None
        self.notify_policy(TaskArrived(replace(task, id=name, arrived_at=arrived_at)))
        return name

    def _new_name(self) -> str:
        """Return a new name for an attempt. The tables and the policy use names because ids may be reused."""
        self.attempts_made += 1
        return str(self.attempts_made)

    def claim_id(self, attempt_id: str, key: IdempotencyKey | None, stage: int) -> None:
        """Assign an attempt id to an idempotency key (None without one), replacing any earlier assignment."""
        window = max(self.settings.stages[stage].idempotency_window, self.max_timeout)
        self.attempt_ids.claim(attempt_id, key, self.context.now + window + self.max_timeout)

    def notify_policy(self, event: PolicyEvent) -> None:
        """Queue an event for the policy's next round."""
        self.policy_host.pending.append(event)

    # ---- answers

    def settle(self, name: str) -> Attempt | None:
        """Remove an unanswered attempt and return it; the caller must answer it.

        Attempts that are answered are removed only here, so that none is answered twice.
        """
        attempt = self._remove(name)
        if attempt is not None:
            self.connections.answered(attempt.connection, name)
        return attempt

    def _remove(self, name: str) -> Attempt | None:
        """Remove an unanswered attempt from the tables, and from the run whose result it awaits."""
        attempt = self.attempts.pop(name, None)
        if attempt is None:
            return None
        del self.by_id[attempt.id]
        run = self.runs.get(attempt.awaited_run) if attempt.awaited_run is not None else None
        if run is not None:
            run.repeats.pop(name, None)
        return attempt

    def _finish(self, name: str, result: bytes | memoryview) -> bool:
        """Answer an attempt with a result; return whether it was still unanswered."""
        attempt = self.settle(name)
        if attempt is None:
            return False
        self.context.count("finished")
        self.context.emit(AnswerFinished(attempt.connection, attempt.seq, result, self.health.load_hint))
        return True

    def answer_repeat(self, name: str, result: bytes | memoryview | None) -> None:
        """Answer a repeated attempt with the result of the original's run; None if there is no result."""
        if result is not None:
            if self._finish(name, result):
                self.notify_policy(RunEnded(name, "finished", 0))
        elif name in self.attempts:
            self.decisions.abandon(name)
            self.notify_policy(RunEnded(name, "failed", 0))

    # ---- runs

    def launch(self, name: str, run: Run) -> None:
        """Start a run, now or once a link to the agent is up."""
        if self.session.linked:
            self._send(run)

    def _send(self, run: Run) -> None:
        run.sent = True
        run.measurements_before = self.session.measurements_requested
        self.context.emit(StartRun(run.id, self.settings.stages[run.stage].name, run.body))

    def end_run(self, name: str, outcome: RunOutcome, duration: int, result: bytes | memoryview) -> None:
        """Record the end of a run, and answer all attempts that wait for it."""
        run = self.runs.pop(name)
        del self.at_agent[run.id]
        self.downstream.cancel(run.id)
        if outcome == "finished":
            self._finish(name, result)
        else:
            self.decisions.abandon(name)
        if self.settings.stages[run.stage].effect != "idempotent":  # an idempotent task reserves no id
            if outcome == "moot":
                self.attempt_ids.release(run.id)  # the id was not used: nothing ran
            else:
                self.claim_id(run.id, run.key, run.stage)
        self.notify_policy(RunEnded(name, outcome, duration))
        if run.key is not None:
            entry = self.idempotency.by_key.get(run.key)
            if entry is not None and entry.runner == name:
                cached = bytes(result) if outcome == "finished" else None
                self.idempotency.record_outcome(run.key, outcome, self.context.now, cached)
        for repeat in run.repeats:
            self.answer_repeat(repeat, result if outcome == "finished" else None)

    def _restart_runs(self, mark: int) -> None:
        """Resolve the runs left open by the end of a link, once all missed notices have been read.

        Concerns runs that were started before the measurement `mark`, without a notice of their end and
        without proof that their start arrived. If such a run is idempotent or its start was never written, it
        is started again. Any other is in doubt: it may be running, and a second start that crosses the notice
        of its end would run it again, so its end is awaited for a while. All stops are repeated, which is
        harmless: a run whose stop was lost with the link would continue to occupy its cores.
        """
        for name, run in self.runs.items():
            if self.session.last_measured <= run.measurements_before < mark:
                stage = self.settings.stages[run.stage]
                if stage.effect == "idempotent" or not run.sent:
                    self._send(run)
                else:
                    awaited_until = self.context.now + stage.latency_objective // IN_DOUBT_WAIT_DIVISOR
                    self.in_doubt.setdefault(name, awaited_until)
            if run.stopped:
                self.context.emit(StopRun(run.id))
            self.downstream.resend(run)

    def _fail_runs_in_doubt(self) -> None:
        """End the runs in doubt whose wait is over, to free their capacity; they count as having run."""
        for name, awaited_until in list(self.in_doubt.items()):
            if name not in self.runs:
                del self.in_doubt[name]
            elif awaited_until <= self.context.now:
                del self.in_doubt[name]
                self.context.count("doubtful")
                self.end_run(name, "failed", 0, b"")

    # ---- the agent

    def _on_agent_greeted(self, event: AgentGreeted) -> None:
        self.session.begin_link(event.cold_start, event.uptime)
        if self.session.greeted:
            return
        self.session.greeted = True
        if self.lifecycle.phase == "awaiting agent":
            self.lifecycle.advance("serving")
            self.context.log("phase", phase=self.lifecycle.phase)
        if self._can_restart_policy() and not self.lifecycle.is_draining:
            # Only the agent knows how long the machine has been up and whether it was started cold.
            self.settings = replace(self.settings, cold_start=event.cold_start)
            self.policy_host.restart(self.settings, self.context.now - event.uptime)

    def _can_restart_policy(self) -> bool:
        """Return whether the policy may be replaced: no attempts and no runs exist."""
        return not self.attempts and not self.runs

    def _on_agent_lost(self, event: AgentLost) -> None:
        self._lose_agent(event.reason)

    def _lose_agent(self, reason: str) -> None:
        self.session.end_link(reason, len(self.runs))
        self.health.fail_all()

    def _on_run_completed(self, event: RunCompleted) -> None:
        if not self.session.is_repeated(event.number) and event.attempt_id in self.at_agent:
            name = self.at_agent[event.attempt_id]
            self.end_run(name, event.outcome, event.duration, event.result)

    def _on_gauges(self, event: GaugesMeasured) -> None:
        number = int(event.tag) if event.tag.isdecimal() else 0
        if number <= self.session.last_measured:
            return
        mark = self.session.finish_catch_up(number)
        if mark is not None:
            self._restart_runs(mark)
        self.session.record_gauges(number, event.values)
        self.policy_host.gauges_measured(number, event.values)

    def _on_deep_check(self, event: DeepCheckCompleted) -> None:
        self.health.complete(event.tag, event.healthy)

    def _on_declined(self, event: CommandDeclined) -> None:
        name = self.at_agent.get(event.attempt_id, "") if event.command == "start" else ""
        attempt = self.attempts.get(name)
        if attempt is not None:
            self.connections.record_violation(
                attempt.connection, "declined", what=event.command, id=event.attempt_id
            )
        else:
            self.context.log_rarely("declined", what=event.command, id=event.attempt_id)
        if name:
            self.end_run(name, "moot", 0, b"")
        elif event.command == "deep_check":
            self.health.complete(event.attempt_id, True)  # the agent doesn't support such checks

    def _on_remark(self, event: RemarkReceived) -> None:
        self.session.is_repeated(event.number)

    def _on_unknown_notice(self, event: UnknownNotice) -> None:
        self.context.log("unknown notice", text=event.text)

    # ---- downstream calls

    def _on_call_wanted(self, event: CallWanted) -> None:
        if self.session.is_repeated(event.number) or event.attempt_id not in self.at_agent:
            return
        name = self.at_agent[event.attempt_id]
        run = self.runs[name]
        run.call = event.number, event.body
        run.call_reply = None
        run.measurements_before = -1  # the run's start has arrived: never start the run again
        self.notify_policy(CallRequested(name))

    def _on_call_completed(self, event: CallCompleted) -> None:
        duration = self.downstream.complete(event.attempt_id)
        if duration is None or event.attempt_id not in self.at_agent:
            return  # the call was given up, or its run is over
        name = self.at_agent[event.attempt_id]
        if event.outcome == "finished":
            self.downstream.resume(self.runs[name], event.result)
        self.notify_policy(CallEnded(name, event.outcome, duration))
