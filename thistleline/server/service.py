"""The server process: feeds events to the state machine and carries out its effects."""

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
# File descriptors not available to clients: the listener, the links to other services, log and event loop.
RESERVED_DESCRIPTORS = 24
CONNECTION_COST = 32 * 1024  # bytes of memory per open connection while 900 connections are open
FIGURES_INTERVAL = 5.0  # s, between log lines with the server's metrics
FAULT_DELAY = 0.05  # s, before a failed task of the event loop is restarted
ADDRESS_TIMEOUT = 10.0  # s, for the previous process of this server to release the listening address
ADDRESS_RETRY_DELAY = 0.05  # s
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # blocked while the service can't handle them
# Fields of the configuration that a reload applies; all others need a restart.
RELOADABLE = ("agent", "announce", "backend", "stop_timeout")
# Iterations of the event loop before a deadline is handled, so that input that has arrived is read first.
LOOP_TURNS_BEFORE_ROUND = 3
# If a deadline is handled this late, in ns, the process counts as having been paused. More input may have
# arrived meanwhile, so the event loop first runs the larger number of iterations below.
PAUSE_THRESHOLD = 100 * MS
LOOP_TURNS_AFTER_PAUSE = 12

EffectHandlers = dict[type, Callable[[Any], None]]


class Service:
    """A server, from its configuration to its exit."""

    def __init__(self, configuration: Configuration, conf: "ProgramConfig | None" = None) -> None:
        """Create the state machine.

        Args:
            configuration: The configuration from the platform.
            conf: Settings for the optional components, such as the ledger.

        Raises:
            ConfigurationError: A component can't be used.
        """
        self.configuration = configuration
        self.clock = Clock()
        self.log = Log(configuration.name)
        self.lifecycle = Lifecycle()
        self.is_serving = False
        self._reload_wanted = False
        by_memory = configuration.memory // 4 // CONNECTION_COST
        self.max_connections = max(1, min(configuration.descriptors - RESERVED_DESCRIPTORS, by_memory))
        # Reads the runs that an earlier process of this server recorded in the ledger; blocks.
        self.recover: Callable[[], Any] | None = None
        # Creates the ledger's writer and returns its effect handlers.
        self.make_writer: Callable[[TaskGroup], EffectHandlers] | None = None
        self.machine = self._make_machine(conf, self._machine_options(conf), self.clock.now())
        self.effect_handlers: EffectHandlers = {}
        self._woken = anyio.Event()
        self._sleeps_until = 0
        self._is_flushing = False
        # When the oldest task that no policy round has processed was read; 0 if there is no such task.
        self._undecided_since = 0
        # Maxima since the last log line with metrics, in ns: lateness of timers, duration of rounds, and time
        # from reading a task to the round that processes it.
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
            ConfigurationError: A component that the state machine needs can't be used.
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
        """Serve until the server has shut down.

        Raises:
            OSError: The server can't listen.
            ConfigurationError: A component can't be used.
        """
        failure: Exception | None = None
        self._startup = anyio.CancelScope()  # covers the time until the server listens
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
                # The handlers are about to be removed; a second signal, or SIGHUP, would then end the process
                # before it has finished.
                signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        if failure is not None:
            raise failure

    async def _prepare(self) -> tuple[Any, socket.socket]:
        """Return the runs that an earlier process recorded in the ledger, and the listening socket.

        The server does not listen until it knows which tasks ran before. A client may therefore conclude from
        a refused connection that its task did not run.

        Raises:
            OSError: The server can't listen.
            ConfigurationError: The records can't be read.
        """
        recovered = await anyio.to_thread.run_sync(self.recover) if self.recover is not None else None
        return recovered, await self._listen()

    async def _listen(self) -> socket.socket:
        """Return the listening socket; retry while the previous process still holds the address.

        Nothing is awaited after the socket listens. A signal therefore arrives either before that and cancels
        the startup, or once the server serves and handles the signal.

        Raises:
            OSError: The address can't be bound.
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
        """Drain on SIGTERM or SIGINT; reload the configuration on SIGHUP.

        Before the server listens no client waits for an answer, so a request to drain cancels the startup. A
        SIGHUP takes effect once the server serves.
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
        """Create the components, tell the state machine that the server listens, start the loop's tasks."""
        self.is_serving = True
        self._create_components(group, listener)
        if recovered is not None:
            self._handle_recovered(recovered)
        self.handle(ListeningStarted())
        self.note("started", **self.configuration.log_fields())
        if self._reload_wanted:
            self._reload()
        if self._startup.cancel_called:  # the signal arrived too late to cancel the startup
            self._request_shutdown()
        for task in self._tasks(group):
            group.start_soon(self._keep_running, task)
        gc.freeze()

    def _create_components(self, group: TaskGroup, listener: socket.socket) -> None:
        configuration = self.configuration
        codec = ClientCodec(configuration.settings)
        self.clients = ClientListener(listener, codec, self.handle_client, group, self.max_connections)
        self.agent = AgentLink(configuration.agent, self.handle, group)
        self.backend = BackendLink(configuration.backend, self.handle, group)
        self.announcer = Announcer(configuration.name, configuration.announce, group, self.note)
        if self.make_writer is not None:
            self.effect_handlers |= self.make_writer(group)
        for component in (self.clients, self.agent, self.backend, self.announcer):
            self.effect_handlers |= component.effect_handlers()
        self.effect_handlers |= {LogEvent: self._log_event, EndProcess: self._make_end_handler(group)}

    def _handle_recovered(self, recovered: Any) -> None:
        from thistleline.durable.events import EffectsRecovered

        self.handle(EffectsRecovered(recovered))

    def _tasks(self, group: TaskGroup) -> Iterable[Callable[[], Awaitable[None]]]:
        """Return the functions that run concurrently until the server ends."""
        return [
            self.clients.accept,
            self.run_agent_link,
            self.backend.run,
            self.announcer.keep_reporting,
            self.process_deadlines,
            self.report_figures,
        ]

    async def run_agent_link(self) -> None:
        """Keep the link to the agent open."""
        await self.agent.run(lambda: self.machine.session.last_notice)

    async def _keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task of the event loop; restart it when it fails. A failure does not affect other tasks."""
        while True:
            try:
                await task()
                return
            except Exception:
                name = getattr(task, "__name__", "task")
                self.note("fault", task=name, trace=traceback.format_exc()[-2000:])
                await anyio.sleep(FAULT_DELAY)

    def _make_end_handler(self, group: TaskGroup) -> Callable[[EndProcess], None]:
        async def finish(deadline: int) -> None:
            """Wait until clients have received their answers, at most until the deadline; then stop all."""
            with anyio.move_on_after(max(0, deadline - self.clock.now()) / SECOND):
                await self.clients.finish()
            group.cancel_scope.cancel()

        def handle(effect: EndProcess) -> None:
            group.start_soon(finish, effect.deadline)

        return handle

    def _reload(self) -> None:
        """Apply the reloadable fields of a new configuration; an invalid one changes nothing."""
        try:
            configuration = read_configuration(os.environ)
        except Exception as error:  # an invalid file must not end the server
            self.note("configuration refused", why=str(error) or type(error).__name__)
            return
        unchanged = {
            field.name: getattr(self.configuration, field.name)
            for field in fields(configuration)
            if field.name not in RELOADABLE
            and getattr(configuration, field.name) != getattr(self.configuration, field.name)
        }
        self.configuration = replace(configuration, **unchanged)
        self.agent.set_address(configuration.agent)
        self.backend.set_address(configuration.backend)
        self.announcer.set_address(configuration.announce)
        self.note(
            "configuration read",
            agent=configuration.agent,
            announce=configuration.announce,
            needs_restart=sorted(unchanged),
        )

    # ---- events and effects

    def handle_client(self, event: ClientEvent) -> None:
        """Handle an event from a client; convert a task's arrival time from system clock to server clock."""
        if type(event) is TaskReceived:
            self._undecided_since = self._undecided_since or self.clock.now()
            skew = self.clock.skew()
            if abs(skew) > MS:
                task = replace(event.task, arrived_at=event.task.arrived_at + skew)
                event = replace(event, task=task)
        self.handle(event)

    def handle(self, event: Any) -> None:
        """Pass one event to the state machine and carry out its effects before any further input is read."""
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
        """Carry out one effect; a failure does not affect other effects."""
        try:
            self.effect_handlers[type(effect)](effect)
        except Exception:
            self.note("fault", effect=type(effect).__name__, trace=traceback.format_exc()[-2000:])

    def _flush(self) -> None:
        """Write everything that is queued."""
        self._is_flushing = True
        self._end_connections(self.clients.flush(), "the peer is gone or not reading")
        self.agent.flush()
        self.backend.flush()
        self._is_flushing = False

    def _end_connections(self, connections: Iterable[int], reason: str) -> None:
        for connection in connections:
            self.clients.close(connection)
            self.handle(ConnectionEnded(connection, reason))

    async def process_deadlines(self) -> None:
        """Notify the state machine when its deadlines pass.

        Input that has arrived by the time of a deadline is read first. If an event woke this function, the
        input that came with the event has already been read.
        """
        turns = 0
        while True:
            deadline = self.machine.next_deadline()
            remaining = deadline - self.clock.now()
            if remaining > 0:
                timed_out = await self._sleep(deadline, remaining)
                turns = LOOP_TURNS_BEFORE_ROUND if timed_out else 0
                continue
            for _ in range(turns if -remaining < PAUSE_THRESHOLD else LOOP_TURNS_AFTER_PAUSE):
                await anyio.lowlevel.checkpoint()
            self._handle_deadline()
            turns = 1

    async def _sleep(self, deadline: int, remaining: int) -> bool:
        """Sleep until the deadline; return False if an event set an earlier deadline before that."""
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
        started_at = self.clock.now()
        self._end_connections(self.clients.departed(), "the client has left")
        self.handle(DeadlineReached())
        self._max_round = max(self._max_round, self.clock.now() - started_at)
        if self._undecided_since and not self.machine.policy_host.pending:
            self._max_delay = max(self._max_delay, self.clock.now() - self._undecided_since)
            self._undecided_since = 0

    # ---- the log

    async def report_figures(self) -> None:
        """Log the server's metrics, counters and the policy's view of the load, at a fixed interval."""
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
        """Log an event with its fields."""
        self.log.event(self.clock.now(), event, facts)

    def _log_event(self, effect: LogEvent) -> None:
        self.log.event(self.clock.now(), effect.event, effect.fields)


def _count_descriptors() -> int | None:
    """Return the number of open file descriptors of the process; None if it can't be read."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return None
