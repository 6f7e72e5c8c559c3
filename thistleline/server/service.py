"""The server as one program: tasks that feed the state machine, and what carries out its effects."""

import errno
import gc
import os
import resource
import signal
import socket
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import anyio.to_thread
from anyio.abc import TaskGroup

from thistleline.server.agent_link import AgentLink
from thistleline.server.announcer import Announcer
from thistleline.server.backend import BackendLink
from thistleline.server.clock import Clock
from thistleline.server.configuration import Configuration, ConfigurationError, read_configuration
from thistleline.server.listener import ClientListener, listen
from thistleline.server.log import Log
from thistleline.state.effects import EndProcess, LogEvent
from thistleline.state.events import (
    ClientEvent,
    ConnectionEnded,
    DeadlineReached,
    ListeningStarted,
    ShutdownRequested,
    TaskReceived,
)
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.state.state_machine import ServerStateMachine
from thistleline.wire.requests import ClientCodec

if TYPE_CHECKING:
    from thistleline.config.schema import ProgramConfig

MS, SECOND = 1_000_000, 1_000_000_000
RESERVED_DESCRIPTORS = 24  # that are no client's: listener, links, log, the loop's own
CONNECTION_COST = 32 * 1024  # bytes of an open connection, measured at 900 of them
FIGURES_INTERVAL = 5.0  # s
FAULT_DELAY = 0.05  # s, before a task that failed begins anew
ADDRESS_TIMEOUT = 10.0  # s, for an address that the incarnation before still holds
ADDRESS_RETRY_DELAY = 0.05  # s
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # held back until they can be handled
RELOADABLE = ("agent", "announce", "backend", "stop_timeout")  # of a configuration; all else needs a restart
TURNS_BEFORE_ROUND = (
    3  # of the event loop, in which all that lies unread comes in before a deadline is handled
)
STANDSTILL = 100 * MS  # past a deadline by so much the process has stood still,
TURNS_AFTER_STANDSTILL = 12  # and more may lie unread

EffectHandlers = dict[type, Callable[[Any], None]]


class Service:
    """One server, from its configuration to its exit."""

    def __init__(self, configuration: Configuration, conf: "ProgramConfig | None" = None) -> None:
        """Make the state machine.

        Args:
            configuration: What the platform gives.
            conf: Settings of the optional parts, such as the ledger.

        Raises:
            ConfigurationError: A part can't be used.
        """
        self.configuration = configuration
        self.clock = Clock()
        self.log = Log(configuration.name)
        self.lifecycle = Lifecycle()
        self.is_serving = False
        self._reload_wanted = False
        by_memory = configuration.memory // 4 // CONNECTION_COST
        self.max_connections = max(1, min(configuration.descriptors - RESERVED_DESCRIPTORS, by_memory))
        self.recover: Callable[[], Any] | None = None  # reads what an earlier incarnation left; blocks
        self.make_writer: Callable[[TaskGroup], EffectHandlers] | None = None  # of the ledger
        self.machine = self._make_machine(conf, self._machine_options(conf), self.clock.now())
        self.effect_handlers: EffectHandlers = {}
        self._woken = anyio.Event()
        self._sleeps_until = 0
        self._is_flushing = False
        self._unseen_since = 0  # when the first task was read that no round has seen
        # The worst since the last figures, ns: timers late, rounds long, tasks read and not seen by a round.
        self._max_lateness = 0
        self._max_round = 0
        self._max_delay = 0

    def _machine_options(self, conf: "ProgramConfig | None") -> MachineOptions:
        configuration = self.configuration
        max_result_bytes = configuration.memory // 8
        if conf is not None and conf.ledger is not None and conf.ledger.results is not None:
            max_result_bytes = conf.ledger.results
        return MachineOptions(
            configuration.settings,
            configuration.gauges,
            configuration.granularity,
            self.max_connections,
            max_result_bytes,
            configuration.seed,
        )

    def _make_machine(
        self, conf: "ProgramConfig | None", options: MachineOptions, now: int
    ) -> ServerStateMachine:
        """Return the state machine of this server.

        Raises:
            ConfigurationError: A part that it needs can't be used.
        """
        if conf is None or conf.ledger is None:
            return ServerStateMachine(options, now, self.lifecycle)
        from thistleline.durable.writer import open_ledger

        parts = open_ledger(conf.ledger, options, now, self.lifecycle)
        self.recover = lambda: parts.recover(self.note)
        self.make_writer = lambda group: parts.make_writer(self.handle, group).effect_handlers()
        return parts.machine

    # ---- start and stop

    async def run(self) -> None:
        """Serve until the process is to end.

        Raises:
            OSError: It can't listen.
            ConfigurationError: A part can't be used.
        """
        failure: Exception | None = None
        self._startup = anyio.CancelScope()  # until it listens
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._handle_signals, signals)
                    try:
                        with self._startup:
                            recovered, listener = await self._prepare()
                            self._serve(group, recovered, listener)
                    except (OSError, ConfigurationError) as error:
                        failure = error
                    if not self.is_serving:
                        group.cancel_scope.cancel()
            finally:
                # Without a handler a second signal, or SIGHUP, would end the process before it is through.
                signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        if failure is not None:
            raise failure

    async def _prepare(self) -> tuple[Any, socket.socket]:
        """Return what an earlier incarnation left, and the listening socket.

        Until it knows what ran the server does not listen: a refused connection proves that nothing ran.

        Raises:
            OSError: It can't listen.
            ConfigurationError: What is left can't be read.
        """
        recovered = await anyio.to_thread.run_sync(self.recover) if self.recover is not None else None
        return recovered, await self._listen()

    async def _listen(self) -> socket.socket:
        """Return the listening socket; an address that the incarnation before holds comes free in a while.

        Nothing is awaited once it listens, so a signal comes before that or is handled by who serves.

        Raises:
            OSError: The address can't be had.
        """
        is_noted = False
        give_up_at = anyio.current_time() + ADDRESS_TIMEOUT
        while True:
            await anyio.lowlevel.checkpoint()
            try:
                return listen(self.configuration.listen)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or anyio.current_time() >= give_up_at:
                    raise
            if not is_noted:
                is_noted = True
                self.note("address taken", listen=self.configuration.listen)
            await anyio.sleep(ADDRESS_RETRY_DELAY)

    async def _handle_signals(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Drain, or read the configuration again.

        While nothing listens, as nothing is owed, the request to drain ends the start; SIGHUP waits.
        """
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload_wanted = not self.is_serving
                if self.is_serving:
                    self._reload()
            elif self.is_serving:
                self._request_shutdown()
            else:
                self._startup.cancel()

    def _request_shutdown(self) -> None:
        self.handle(ShutdownRequested(self.clock.now() + self.configuration.stop_timeout))

    def _serve(self, group: TaskGroup, recovered: Any, listener: socket.socket) -> None:
        """Make the parts, tell the state machine that it listens, and start the tasks."""
        self.is_serving = True
        self._make_parts(group, listener)
        if recovered is not None:
            self._tell_recovered(recovered)
        self.handle(ListeningStarted())
        self.note("started", **self.configuration.facts())
        if self._reload_wanted:
            self._reload()
        if self._startup.cancel_called:  # the signal came when it was too late to end the start
            self._request_shutdown()
        for task in self._tasks(group):
            group.start_soon(self._keep_running, task)
        gc.freeze()

    def _make_parts(self, group: TaskGroup, listener: socket.socket) -> None:
        configuration = self.configuration
        codec = ClientCodec(configuration.settings)
        self.clients = ClientListener(listener, codec, self.handle_client, group, self.max_connections)
        self.agent = AgentLink(configuration.agent, self.handle, group)
        self.backend = BackendLink(configuration.backend, self.handle, group)
        self.announcer = Announcer(configuration.name, configuration.announce, group, self.note)
        if self.make_writer is not None:
            self.effect_handlers |= self.make_writer(group)
        for part in (self.clients, self.agent, self.backend, self.announcer):
            self.effect_handlers |= part.effect_handlers()
        self.effect_handlers |= {LogEvent: self._log_event, EndProcess: self._make_end(group)}

    def _tell_recovered(self, recovered: Any) -> None:
        from thistleline.durable.events import EffectsRecovered

        self.handle(EffectsRecovered(recovered))

    def _tasks(self, group: TaskGroup) -> Iterable[Callable[[], Awaitable[None]]]:
        """Return what runs side by side until the end."""
        return [
            self.clients.accept,
            self.hold_agent,
            self.backend.hold,
            self.announcer.keep_reporting,
            self.pump,
            self.report_figures,
        ]

    async def hold_agent(self) -> None:
        """Hold the link to the agent."""
        await self.agent.hold(lambda: self.machine.session.last_notice)

    async def _keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task; one that fails begins anew and ends no other."""
        while True:
            try:
                await task()
                return
            except Exception:
                name = getattr(task, "__name__", "task")
                self.note("fault", task=name, trace=traceback.format_exc()[-2000:])
                await anyio.sleep(FAULT_DELAY)

    def _make_end(self, group: TaskGroup) -> Callable[[EndProcess], None]:
        async def end(deadline: int) -> None:
            """Let the peers have what was written to them, until the deadline, then end everything."""
            with anyio.move_on_after(max(0, deadline - self.clock.now()) / SECOND):
                await self.clients.finish()
            group.cancel_scope.cancel()

        def start(effect: EndProcess) -> None:
            group.start_soon(end, effect.deadline)

        return start

    def _reload(self) -> None:
        """Take up what can be of a new configuration; one that makes no sense changes nothing."""
        try:
            configuration = read_configuration(os.environ)
        except Exception as error:  # whatever stands there ends nothing
            self.note("configuration refused", why=str(error) or type(error).__name__)
            return
        unchanged = {
            field.name: getattr(self.configuration, field.name)
            for field in fields(configuration)
            if field.name not in RELOADABLE
            and getattr(configuration, field.name) != getattr(self.configuration, field.name)
        }
        self.configuration = replace(configuration, **unchanged)
        self.agent.move(configuration.agent)
        self.backend.move(configuration.backend)
        self.announcer.move(configuration.announce)
        self.note(
            "configuration read",
            agent=configuration.agent,
            announce=configuration.announce,
            needs_restart=sorted(unchanged),
        )

    # ---- events and effects

    def handle_client(self, event: ClientEvent) -> None:
        """Handle an event of a client; times that clients give are of the system's clock."""
        if type(event) is TaskReceived:
            self._unseen_since = self._unseen_since or self.clock.now()
            skew = self.clock.skew()
            if abs(skew) > MS:
                task = replace(event.task, arrived_at=event.task.arrived_at + skew)
                event = replace(event, task=task)
        self.handle(event)

    def handle(self, event: Any) -> None:
        """Let the state machine handle one event; carry out its effects before anything else is read."""
        try:
            effects = self.machine.handle(self.clock.now(), event)
        except Exception:
            self.note("fault", input=type(event).__name__, trace=traceback.format_exc()[-2000:])
            effects = self.machine.handle_failure(event)
        for effect in effects:
            self._carry_out(effect)
        if not self._is_flushing:
            self._flush()
        if self.machine.next_deadline() < self._sleeps_until:
            self._woken.set()

    def _carry_out(self, effect: Any) -> None:
        """Carry out one effect; one that fails holds up no other."""
        try:
            self.effect_handlers[type(effect)](effect)
        except Exception:
            self.note("fault", effect=type(effect).__name__, trace=traceback.format_exc()[-2000:])

    def _flush(self) -> None:
        """Write all that lies ready."""
        self._is_flushing = True
        for connection in self.clients.flush():
            self.clients.close(connection)
            self.handle(ConnectionEnded(connection, "gone, or does not read"))
        self.agent.flush()
        self.backend.flush()
        self._is_flushing = False

    async def pump(self) -> None:
        """Tell the state machine of its deadlines.

        All that lies unread by then is read first; where an event woke this task, all that came with it has
        been.
        """
        turns = 0
        while True:
            deadline = self.machine.next_deadline()
            remaining = deadline - self.clock.now()
            if remaining > 0:
                timed_out = await self._sleep(deadline, remaining)
                turns = TURNS_BEFORE_ROUND if timed_out else 0
                continue
            for _ in range(turns if -remaining < STANDSTILL else TURNS_AFTER_STANDSTILL):
                await anyio.lowlevel.checkpoint()
            self._handle_deadline()
            turns = 1

    async def _sleep(self, deadline: int, remaining: int) -> bool:
        """Sleep until an event brings an earlier deadline; tell whether the deadline came instead."""
        self._woken = anyio.Event()
        self._sleeps_until = deadline
        with anyio.move_on_after(remaining / SECOND) as timeout:
            await self._woken.wait()
        self._sleeps_until = 0
        return timeout.cancelled_caught

    def _handle_deadline(self) -> None:
        timer_due = self.machine.policy_host.timers.next_due()
        if timer_due is not None:
            self._max_lateness = max(self._max_lateness, self.clock.now() - timer_due)
        begun = self.clock.now()
        self.handle(DeadlineReached())
        self._max_round = max(self._max_round, self.clock.now() - begun)
        if self._unseen_since and not self.machine.policy_host.pending:
            self._max_delay = max(self._max_delay, self.clock.now() - self._unseen_since)
            self._unseen_since = 0

    # ---- the log

    async def report_figures(self) -> None:
        """Log counters and what the policy takes to be so, again and again."""
        while True:
            await anyio.sleep(FIGURES_INTERVAL)
            usage = resource.getrusage(resource.RUSAGE_SELF)
            machine = self.machine
            self.note(
                "figures",
                **machine.context.figures,
                held=len(machine.attempts),
                runs=len(machine.runs),
                entries=len(machine.idempotency.by_key),
                open=len(machine.connections.by_number),
                **machine.diagnostics(),
                descriptors=_count_descriptors(),
                cpu_ms=int((usage.ru_utime + usage.ru_stime) * 1000),
                peak_kb=usage.ru_maxrss,
                late_us=self._max_lateness // 1000,
                longest_us=self._max_round // 1000,
                delay_us=self._max_delay // 1000,
            )
            self._max_lateness = 0
            self._max_round = 0
            self._max_delay = 0

    def note(self, event: str, **facts: Any) -> None:
        """Log an event with its facts."""
        self.log.event(self.clock.now(), event, facts)

    def _log_event(self, effect: LogEvent) -> None:
        self.log.event(self.clock.now(), effect.event, effect.fields)


def _count_descriptors() -> int | None:
    """Return how many descriptors the process has open; None where that can't be read."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return None
