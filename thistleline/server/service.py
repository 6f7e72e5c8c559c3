"""The server as one program: task groups that feed the reducer and carry out its effects."""

import errno
import gc
import os
import resource
import signal
import socket
import traceback
from collections.abc import AsyncIterator, Callable
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
from thistleline.server.configuration import Configuration, Unusable, read_configuration
from thistleline.server.listener import Front, listen
from thistleline.server.log import Log
from thistleline.state.phases import Phases
from thistleline.state.state_machine import Effect, Reducer
from thistleline.wire.requests import ClientCodec

if TYPE_CHECKING:
    from thistleline.config.schema import ProgramConfig

MS, SECOND = 1_000_000, 1_000_000_000
RESERVE = 24  # descriptors that are no client stub's: listener, links, log, the loop's own
CONNECTION_COST = 32 * 1024  # bytes of an open connection, measured at 900 of them
FIGURES_EVERY = 5.0
FAULT_PAUSE = 0.05
ADDRESS_PATIENCE, ADDRESS_PAUSE = 10.0, 0.05  # s, for an address that the life before still holds
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # held back until they can be heard
TAKEN_UP = ("agent", "announce", "backend", "stop_span")  # of a new configuration; all else needs a restart
READ_FIRST = 3  # turns of the loop in which all that lies unread comes in, before the clock is heeded
STANDSTILL, READ_FIRST_AFTER_STANDSTILL = 100 * MS, 12


class Service:
    def __init__(self, configuration: Configuration, conf: "ProgramConfig | None" = None) -> None:
        self.configuration = configuration
        self.clock = Clock()
        self.log = Log(configuration.name)
        self.phases = Phases()
        self.serves = self.reads_again = False
        self.connections_bound = max(
            1, min(configuration.descriptors - RESERVE, configuration.memory // 4 // CONNECTION_COST)
        )
        told = (
            configuration.settings,
            configuration.gauges,
            configuration.granularity,
            self.connections_bound,
        )
        results = configuration.memory // 8
        if conf is not None and conf.ledger is not None and conf.ledger.results is not None:
            results = conf.ledger.results
        self.recover: Callable[[], Any] | None = None
        self.keeper: Callable[..., dict[str, Callable[..., None]]] | None = None
        self.reducer = self.furnish(conf, (*told, results, configuration.seed, self.clock.now(), self.phases))
        self.woken = anyio.Event()
        self.sleeps_until = 0
        self.busy = False
        self.does: dict[str, Callable[..., None]] = {}
        self.read_at = 0  # when the first task was read that no round has seen
        self.late = self.longest = self.delay = 0  # the worst since the last figures

    def furnish(self, conf: "ProgramConfig | None", told: tuple[Any, ...]) -> Reducer:
        """Its reducer, of what any is told. Raises Unusable."""
        if conf is None or conf.ledger is None:
            return Reducer(*told)
        from thistleline.durable.writer import furnish

        reducer, self.recover, self.keeper = furnish(conf.ledger, told, self.take, self.note)
        return reducer

    async def stand(self) -> tuple[Any, socket.socket]:
        """What an earlier life left, and where it listens. Raises OSError, Unusable."""
        # Until it knows what ran it does not listen: a refused connection proves that nothing ran.
        found = await anyio.to_thread.run_sync(self.recover) if self.recover is not None else None
        return found, await self.listen()

    async def listen(self) -> socket.socket:
        """Nothing is awaited once it listens, so a signal comes before that or is heard by who serves. An
        address still held by the life before comes free in a while. Raises OSError where it does not."""
        told, until = False, anyio.current_time() + ADDRESS_PATIENCE
        while True:
            await anyio.lowlevel.checkpoint()
            try:
                return listen(self.configuration.listen)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or anyio.current_time() >= until:
                    raise
            if not told:
                told = True
                self.note("address taken", listen=self.configuration.listen)
            await anyio.sleep(ADDRESS_PAUSE)

    async def run(self) -> None:
        """Raises OSError where it can't listen; what the ledger's recovery raises."""
        failure: Exception | None = None
        self.standing = anyio.CancelScope()  # until it listens
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._hear, signals)
                    try:
                        with self.standing:
                            found, listener = await self.stand()
                            self._serve(group, found, listener)
                    except (OSError, Unusable) as error:
                        failure = error
                    if not self.serves:
                        group.cancel_scope.cancel()
            finally:
                # Guards the end: without a handler a second notice, or SIGHUP, would end it by the signal.
                signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        if failure is not None:
            raise failure

    async def _hear(self, signals: AsyncIterator[signal.Signals]) -> None:
        """What comes while nothing listens: the notice to leave ends the start, as nothing is owed; SIGHUP
        waits."""
        async for number in signals:
            if number == signal.SIGHUP:
                self.reads_again = not self.serves
                if self.serves:
                    self.read_again()
            elif self.serves:
                self.take("leave", self.clock.now() + self.configuration.stop_span)
            else:
                self.standing.cancel()

    def _serve(self, group: TaskGroup, found: Any, listener: socket.socket) -> None:
        self.serves = True
        front = self.front = Front(
            listener, ClientCodec(self.configuration.settings), self.take_task, group, self.connections_bound
        )
        agent = self.agent = AgentLink(self.configuration.agent, self.take, group)
        backend = self.backend = BackendLink(self.configuration.backend, self.take, group)
        announcer = self.announcer = Announcer(
            self.configuration.name, self.configuration.announce, group, self.note
        )
        if self.keeper is not None:
            self.does |= self.keeper(group)
        for effects in (front.effects(), agent.effects(), backend.effects(), announcer.effects()):
            self.does |= effects
        self.does |= {"log": self.told, "end": self._ending(group)}
        if found is not None:
            self.take("recovered", found)
        self.take("listening")
        self.note("started", **self.configuration.facts())
        if self.reads_again:
            self.read_again()
        if self.standing.cancel_called:  # the notice came when it was too late to stand back
            self.take("leave", self.clock.now() + self.configuration.stop_span)
        for task in self.tasks(group):
            group.start_soon(self._keep_up, task)
        gc.freeze()

    async def _keep_up(self, task: Callable[[], Any]) -> None:
        """Guards all other tasks against one that fails: it begins anew."""
        while True:
            try:
                await task()
                return
            except Exception:
                self.note("fault", task=task.__name__, trace=traceback.format_exc()[-2000:])
                await anyio.sleep(FAULT_PAUSE)

    def _ending(self, group: TaskGroup) -> Callable[[int], None]:
        async def end(by: int) -> None:
            """Lets the peers have what was written to them, then ends everything; a silent one is not waited
            for past `by`."""
            with anyio.move_on_after(max(0, by - self.clock.now()) / SECOND):
                await self.front.finish()
            group.cancel_scope.cancel()

        def start(by: int) -> None:
            group.start_soon(end, by)

        return start

    def tasks(self, group: TaskGroup) -> list[Callable[..., Any]]:
        """What runs beside each other until the end."""
        return [
            *(self.front.accept, self.hold_agent, self.backend.hold, self.announcer.keep_reporting),
            *(self.pump, self.figures),
        ]

    async def hold_agent(self) -> None:
        await self.agent.hold(lambda: self.reducer.notice)

    def read_again(self) -> None:
        """Takes up what can be of a new configuration; one that makes no sense changes nothing."""
        try:
            configuration = read_configuration(os.environ)
        except Exception as error:  # whatever stands there ends nothing
            self.note("configuration refused", why=str(error) or type(error).__name__)
            return
        kept = {
            field.name: getattr(self.configuration, field.name)
            for field in fields(configuration)
            if field.name not in TAKEN_UP
            and getattr(configuration, field.name) != getattr(self.configuration, field.name)
        }
        self.configuration = replace(configuration, **kept)
        self.agent.move(configuration.agent)
        self.backend.move(configuration.backend)
        self.announcer.move(configuration.announce)
        self.note(
            "configuration read",
            agent=configuration.agent,
            announce=configuration.announce,
            needs_restart=sorted(kept),
        )

    def take_task(self, kind: str, *told: Any) -> None:
        if kind == "task":
            self.read_at = self.read_at or self.clock.now()
            connection, seq, task, word, body = told
            skew = self.clock.skew()
            if abs(skew) > MS:
                task = replace(task, arrived_at=task.arrived_at + skew)
            told = connection, seq, task, word, body
        self.take(kind, *told)

    def take(self, kind: str, *told: Any) -> None:
        """One input into the reducer; its effects are carried out before anything else is read."""
        try:
            effects = self.reducer.take(self.clock.now(), kind, *told)
        except Exception:
            self.note("fault", input=kind, trace=traceback.format_exc()[-2000:])
            effects = self.reducer.failed(kind, *told)
        for effect in effects:
            self._carry_out(effect)
        if not self.busy:
            self.busy = True
            for name in self.front.flush():
                self.front.close(name)
                self.take("ended", name, "gone, or does not read")
            self.agent.flush()
            self.backend.flush()
            self.busy = False
        if self.reducer.due() < self.sleeps_until:
            self.woken.set()

    def _carry_out(self, effect: Effect) -> None:
        """Guards all other effects against one that fails."""
        try:
            self.does[effect[0]](*effect[1:])
        except Exception:
            self.note("fault", effect=effect[0], trace=traceback.format_exc()[-2000:])

    async def pump(self) -> None:
        """Rings for the reducer when it is due. All that lies unread by then is read first; where an input
        woke this task, all that came with it has been."""
        turns = 0
        while True:
            due = self.reducer.due()
            wait = due - self.clock.now()
            if wait > 0:
                self.woken, self.sleeps_until = anyio.Event(), due
                with anyio.move_on_after(wait / SECOND) as patience:
                    await self.woken.wait()
                self.sleeps_until = 0
                turns = READ_FIRST if patience.cancelled_caught else 0
                continue
            for _ in range(turns if -wait < STANDSTILL else READ_FIRST_AFTER_STANDSTILL):
                await anyio.lowlevel.checkpoint()
            alarm = self.reducer.alarms.due()
            if alarm is not None:
                self.late = max(self.late, self.clock.now() - alarm)
            begun = self.clock.now()
            self.take("round")
            self.longest = max(self.longest, self.clock.now() - begun)
            turns = 1
            if self.read_at and not self.reducer.came_in:
                self.delay, self.read_at = max(self.delay, self.clock.now() - self.read_at), 0

    async def figures(self) -> None:
        while True:
            await anyio.sleep(FIGURES_EVERY)
            usage = resource.getrusage(resource.RUSAGE_SELF)
            self.note(
                "figures",
                **self.reducer.figures,
                held=len(self.reducer.tries),
                runs=len(self.reducer.runs),
                entries=len(self.reducer.entries.by_key),
                open=len(self.reducer.connections),
                **self.reducer.believed(),
                descriptors=_descriptors(),
                cpu_ms=int((usage.ru_utime + usage.ru_stime) * 1000),
                peak_kb=usage.ru_maxrss,
                late_us=self.late // 1000,
                longest_us=self.longest // 1000,
                delay_us=self.delay // 1000,
            )
            self.late = self.longest = self.delay = 0

    def note(self, event: str, **facts: Any) -> None:
        self.log.event(self.clock.now(), event, facts)

    def told(self, event: str, facts: dict[str, Any]) -> None:
        self.log.event(self.clock.now(), event, facts)


def _descriptors() -> int | None:
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return None
