"""Servers that take over from each other in virtual time, without I/O.

The simulation has state machines, a disk, an agent with a link, connections with delays, and callers that
retry; any side may crash at any time. Messages on a link or a connection arrive in order and with a delay, or
never if an end of it crashes. A write that a crash interrupts is on disk or not, at random.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from typing import Any

from thistleline.durable.effects import WriteLedger
from thistleline.durable.events import EffectsRecovered, WriteCompleted, WriteFailed
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
from thistleline.handover.relay import ANSWER_KINDS
from thistleline.handover.state_machine import PREDECESSOR_CONNECTION, HandoverStateMachine
from thistleline.interface import Task
from thistleline.lab.ledger import SETTINGS
from thistleline.ledger.records import LedgerWrite
from thistleline.state.effects import (
    AnswerAbandoned,
    AnswerFinished,
    AnswerMisunderstood,
    AnswerRejected,
    CloseConnection,
    DismissConnection,
    EndProcess,
    MeasureGauges,
    StartRun,
    StopRun,
)
from thistleline.state.events import (
    AgentGreeted,
    AgentLost,
    ConnectionOpened,
    DeadlineReached,
    GaugesMeasured,
    ListeningStarted,
    RunCompleted,
    TaskReceived,
)
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.wire.settings import read_server_settings

MS, SECOND = 1_000_000, 1_000_000_000
BENCH = read_server_settings(SETTINGS)
WINDOW, LIMIT = BENCH.stages[0].idempotency_window, BENCH.stages[0].timeout
STOP = 2 * SECOND
CORES = 64  # of each server, so that no queue forms
GAUGES = ("core_use", "on_cores", "heap_share", "links")


class Server:
    """A server process, from its start to its end."""

    def __init__(self, number: int, now: int, cores: int) -> None:
        """Start a server with an empty state."""
        self.number = number
        options = MachineOptions(replace(BENCH, cores=cores), GAUGES, MS, 400, 1 << 20, 1)
        self.machine = HandoverStateMachine(options, now, Lifecycle(), max_disk_bytes=8 << 20, boot_offset=0)
        self.alive = True
        self.serves = False  # whether it listens
        self.commands_agent = True  # whether it commands the agent itself, not through its successor
        self.successor: Server | None = None
        self.predecessor: Server | None = None
        self.wake = 0
        self.current_write: LedgerWrite | None = None


class HandoverWorld:
    """The servers, their disk, the agent and the callers."""

    def __init__(
        self, seed: int, rate: float = 40.0, deaths: bool = True, stale: bool = False, cores: int = CORES
    ) -> None:
        """Build a world without servers.

        Args:
            seed: Of all random draws.
            rate: New bookings per second.
            deaths: Whether servers crash and writes fail.
            stale: Whether a successor reads the ledger before the handover instead of after it, as a mutant.
            cores: Of each server; tasks queue where these are few.
        """
        self.stale = stale
        self.cores = cores
        self.chance, self.rate, self.deaths = Random(seed), rate, deaths
        self.now = 1000 * SECOND
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.servers: list[Server] = []
        self.last_arrivals: dict[Any, int] = {}  # ns; arrival of the last message on a channel
        self.disk: dict[int, list[Any]] = {}  # write groups by segment
        # the agent
        self.link: Server | None = None
        self.links = 0
        self.running: dict[str, bytes] = {}
        self.notices: list[RunCompleted] = []
        self.runs_by_body: dict[bytes, list[tuple[int, bytes]]] = {}  # start in ns and result of each run
        # the callers
        # By server, connection and sequence number: booking, deadline in ns, body and attempt id.
        self.open_attempts: dict[tuple[int, int, int], tuple[int, int, bytes, str]] = {}
        self.connections_by_caller: dict[int, tuple[int, int]] = {}  # server and connection of each caller
        self.connections = 0
        self.bookings = 0
        self.finished: dict[int, bytes] = {}
        self.figures: Counter[str] = Counter()
        self.wrong = ""

    # ---- time

    def schedule(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after `delay` ns."""
        self.count += 1
        heappush(self.queue, (self.now + delay, self.count, callback))

    def schedule_in_order(self, channel: Any, least: int, most: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after `least` to `most` ns, but after all earlier ones of the same channel."""
        arrives = max(self.now + self.chance.randint(least, most), self.last_arrivals.get(channel, 0) + 1)
        self.last_arrivals[channel] = arrives
        self.schedule(arrives - self.now, callback)

    def run(self, span: int) -> None:
        """Run callbacks for `span` ns, or until a violation."""
        until = self.now + span
        while self.queue and self.queue[0][0] <= until and not self.wrong:
            self.now, _, callback = heappop(self.queue)
            callback()
        self.now = max(self.now, until)

    # ---- servers

    def deliver(self, server: Server, event: Any) -> None:
        """Let a live server handle an event, and carry out its effects."""
        if not server.alive:
            return
        try:
            effects = server.machine.handle(self.now, event)
        except Exception as error:
            kind = type(event).__name__
            self.wrong = f"{kind} is an event that cannot be handled: {type(error).__name__} {error}"
            return
        for effect in effects:
            if server.alive:
                self.carry_out(server, effect)
        due = max(server.machine.next_deadline(), self.now + MS // 10)
        if server.alive and server.wake != due:
            server.wake = due
            self.schedule(
                due - self.now,
                lambda: self.deliver(server, DeadlineReached()) if server.wake == due else None,
            )

    def carry_out(self, server: Server, effect: Any) -> None:
        """Carry out an effect of a server."""
        match effect:
            case AnswerFinished() | AnswerRejected() | AnswerAbandoned() | AnswerMisunderstood():
                if effect.connection == PREDECESSOR_CONNECTION:
                    self.send(server, server.predecessor, ForwardedAnswered(str(effect.seq), effect))
                else:
                    self.on_answer(server, effect)
            case StartRun() | StopRun() | MeasureGauges():
                self.send_command(server, effect)
            case WriteLedger(write):
                self.write_ledger(server, write)
            case HandOver():
                self.hand_over(server, effect)
            case PostponeHandover():
                successor = server.successor
                if successor is not None:
                    self.schedule_in_order(
                        (server.number, successor.number),
                        MS // 10,
                        MS,
                        lambda: self.schedule(
                            100 * MS, lambda: self.send(successor, server, SuccessorReady(self.now + STOP))
                        ),
                    )
            case ForwardTask(name, task, _, _, word, body):
                self.send(server, server.successor, TaskForwarded(int(name), task, word, body))
            case ReportRunEnd(number, outcome, result):
                self.send(server, server.successor, PredecessorRunEnded(number, outcome, result))
            case RelayAgentEvent(event):
                self.send(server, server.predecessor, event)
            case DismissConnection(connection):
                self.schedule(self.chance.randint(1, 50 * MS), lambda: self.on_dismissed(server, connection))
            case CloseConnection(connection):
                self.on_closed(server, connection)
            case EndProcess():
                self.figures["ended"] += 1
                self.end_server(server)

    def send_command(self, server: Server, command: StartRun | StopRun | MeasureGauges) -> None:
        """Send a command to the agent, through the successor if that has the link."""
        if server.commands_agent:
            if self.link is server:
                link = self.links
                self.schedule_in_order(
                    ("agent", link), MS // 10, MS, lambda: self.on_agent_command(link, command)
                )
            return
        match command:
            case StartRun(id, stage, body):
                self.send(server, server.successor, HostedRunStarted(id, stage, body))
            case StopRun(id):
                self.send(server, server.successor, HostedRunStopped(id))
            case MeasureGauges(tag):
                self.send(server, server.successor, HostedMeasureRequested(tag))

    def send(self, source: Server, to: Server | None, event: Any) -> None:
        """Send an event from one server to another, if there is one."""
        if to is not None:
            self.schedule_in_order((source.number, to.number), MS // 20, MS, lambda: self.deliver(to, event))

    def write_ledger(self, server: Server, ledger_write: LedgerWrite) -> None:
        """Write to the ledger; the write may fail."""
        server.current_write = ledger_write

        def durable() -> None:
            if not server.alive or server.current_write is not ledger_write:
                return
            server.current_write = None
            if self.deaths and self.chance.random() < 0.003:
                if self.chance.random() < 0.5:
                    self.append_to_disk(ledger_write)
                self.deliver(server, WriteFailed("the disk"))
            else:
                self.append_to_disk(ledger_write)
                for number in ledger_write.obsolete_segments:
                    self.disk.pop(number, None)
                self.deliver(server, WriteCompleted())

        self.schedule(self.chance.randint(MS // 5, 4 * MS), durable)

    def append_to_disk(self, ledger_write: LedgerWrite) -> None:
        """Append a write to its segment on disk."""
        self.disk.setdefault(ledger_write.segment, []).append(ledger_write.group)

    def end_server(self, server: Server) -> None:
        """Crash or end a server, with its link and connections."""
        server.alive = False
        if server.current_write is not None and self.chance.random() < 0.5:
            self.append_to_disk(server.current_write)
        if self.link is server:
            self.link = None
        for number, connection in {key[:2] for key in self.open_attempts}:
            if number == server.number:
                self.on_closed(server, connection)
        for other in self.servers:
            if other.successor is server:
                other.successor = None
                self.schedule(self.chance.randint(1, MS), lambda other=other: self.on_successor_gone(other))  # type: ignore[misc]
            if other.predecessor is server:
                other.predecessor = None
                # Messages sent before the crash arrive first.
                self.schedule_in_order(
                    (server.number, other.number),
                    1,
                    MS,
                    lambda other=other: self.on_predecessor_gone(other),  # type: ignore[misc]
                )

    def on_predecessor_gone(self, server: Server) -> None:
        """Notify a server that its predecessor is gone; it starts alone if there was no handover yet."""
        if server.serves:
            self.deliver(server, PredecessorGone())
        elif server.alive:
            self.start_alone(server)  # the predecessor crashed before it handed over

    def on_successor_gone(self, server: Server) -> None:
        """Notify a server that its successor is gone; later it takes the link back."""
        self.deliver(server, SuccessorGone())
        if not server.commands_agent:
            self.schedule(500 * MS, lambda: self.reclaim_link(server))

    def reclaim_link(self, server: Server) -> None:
        """Take the link to the agent back, unless there is another successor."""
        if server.alive and server.successor is None:
            server.commands_agent = True
            self.make_link(server)

    # ---- handover

    def start_server(self) -> None:
        """Start one more server, beside those that are alive."""
        server = Server(len(self.servers) + 1, self.now, self.cores)
        before = [one for one in self.servers if one.alive]
        self.servers.append(server)
        sole = next(
            (one for one in before if one.serves and one.commands_agent and one.successor is None), None
        )
        if sole is not None and sole.machine.handover_phase == "sole":
            sole.successor, server.predecessor = server, sole
            if self.stale:
                self.recover(server)
            # On a busy machine the successor may take long to start.
            duration = self.chance.choice((1, 20, 300, 6000)) * MS
            self.schedule(duration, lambda: self.send(server, sole, SuccessorReady(self.now + STOP)))
        else:
            self.start_alone(server)

    def start_alone(self, server: Server) -> None:
        """Let a server start without a serving predecessor; one that handed over may still be alive."""
        if self.stale and server.machine.attempts_made:
            self.end_server(server)
            return
        if any(one.alive and one.serves and one.machine.handover_phase != "handed" for one in self.servers):
            self.figures["no place"] += 1
            self.end_server(server)
            return
        self.recover(server)
        for other in self.servers:
            if other.alive and other is not server and other.machine.handover_phase == "handed":
                other.successor, server.predecessor = server, other
                other.commands_agent = False
                if self.link is other:
                    self.link = None
                self.deliver(other, SuccessorReplaced(self.now + STOP))
                return
        self.start_serving(server)

    def recover(self, server: Server) -> None:
        """Let a server recover its ledger from disk."""
        ledger = server.machine.ledger
        ledger.advance_clock(self.now)
        for number in sorted(self.disk):
            ledger.recover_segment(number, 1000 * len(self.disk[number]))
            for group in self.disk[number]:
                ledger.recover_group(number, [0], True, group)
        ledger.forget_expired()
        self.deliver(server, EffectsRecovered(list(ledger.recovered_effects())))

    def hand_over(self, server: Server, effect: HandOver) -> None:
        """Hand over from a server to its successor."""
        successor = server.successor
        server.commands_agent = False
        if self.link is server:
            self.link = None
        if not effect.is_repeated:
            server.serves = False
            self.figures["handed over"] += 1
        if successor is not None:
            notice = 0 if effect.is_repeated else effect.last_notice
            inherited = Inherited(notice, effect.runs, effect.owned_ids)
            self.schedule_in_order(
                (server.number, successor.number),
                MS // 20,
                MS,
                lambda: self.inherit(successor, inherited, effect.is_repeated),
            )

    def inherit(self, server: Server, inherited: Inherited, is_repeated: bool) -> None:
        """Let a successor take over; `is_repeated` marks a repeated handover."""
        if not server.alive:
            return
        if not is_repeated and not self.stale:
            self.recover(server)
        self.deliver(server, inherited)
        self.start_serving(server)

    def start_serving(self, server: Server) -> None:
        """Let a server listen and connect to the agent."""
        self.deliver(server, ListeningStarted())
        server.serves = True
        self.make_link(server)

    # ---- the agent

    def make_link(self, server: Server) -> None:
        """Link the agent to a server, in place of its former link."""
        before, self.link = self.link, server
        self.links += 1
        link = self.links
        if before is not None:
            self.schedule(1, lambda: self.deliver(before, AgentLost("replaced")))

        def greet() -> None:
            if self.links == link:
                self.deliver(server, AgentGreeted(False, 100 * SECOND))
                known = server.machine.session.last_notice
                for notice in self.notices:
                    if notice.number > known:
                        self.notify(link, notice)

        self.schedule_in_order(("told", link), MS // 5, 2 * MS, greet)

    def notify(self, link: int, event: Any) -> None:
        """Send an event from the agent on a link."""
        server = self.link
        if link == self.links and server is not None:
            self.schedule_in_order(
                ("told", link),
                MS // 10,
                MS,
                lambda: self.deliver(server, event) if self.link is server else None,
            )

    def on_agent_command(self, link: int, command: StartRun | StopRun | MeasureGauges) -> None:
        """Let the agent handle a command that arrived on a link."""
        if self.links != link and (not isinstance(command, StartRun) or self.chance.random() < 0.5):
            return  # else it was read before the other link was up
        if isinstance(command, MeasureGauges):
            self.notify(link, GaugesMeasured(command.tag, [0.5, 1.0, 0.1, 1.0]))
        elif isinstance(command, StartRun) and command.attempt_id not in self.running:
            id, body = command.attempt_id, command.body
            result = b"%d of " % len(self.notices) + body
            self.running[id] = body
            earlier_runs = self.runs_by_body.setdefault(body, [])
            if earlier_runs and self.now - earlier_runs[-1][0] < WINDOW:
                self.wrong = f"{body!r} runs twice, {(self.now - earlier_runs[-1][0]) / MS:.1f} ms apart"
            earlier_runs.append((self.now, result))
            duration = self.chance.choice((2, 20, 100, 400, 1500)) * MS
            self.schedule(duration, lambda: self.end_run(id, duration, result))

    def end_run(self, id: str, duration: int, result: bytes) -> None:
        """End a run of the agent, and report it."""
        if self.running.pop(id, None) is not None:
            self.notices.append(RunCompleted(len(self.notices) + 1, id, "finished", duration, result))
            self.notify(self.links, self.notices[-1])

    # ---- callers

    def make_booking(self) -> None:
        """Make a new booking, and schedule the next one."""
        self.bookings += 1
        number = self.bookings
        self.make_attempt(number, self.now + 5 * SECOND)
        if self.chance.random() < 0.5:  # a second request of the same booking
            after = self.chance.choice((1, 5, 50, 800, 8000, 8900))
            self.schedule(after * MS, lambda: self.make_attempt(number, self.now + 5 * SECOND))
        self.schedule(round(self.chance.expovariate(self.rate) * SECOND), self.make_booking)

    def make_attempt(self, number: int, until: int) -> None:
        """Make an attempt at a booking, repeated until `until` ns."""
        caller = self.chance.randrange(12)
        endpoint = self.connections_by_caller.get(caller)
        alive = [one for one in self.servers if one.alive]
        server = next((one for one in alive if endpoint is not None and one.number == endpoint[0]), None)
        if server is None:
            server = next((one for one in alive if one.serves), None)
            if server is None:
                self.retry(number, until)
                return
            self.connections += 1
            endpoint = self.connections_by_caller[caller] = server.number, self.connections
            self.deliver(server, ConnectionOpened(self.connections))
        assert endpoint is not None
        self.figures["tries"] += 1
        seq, id = self.figures["tries"], f"{self.chance.getrandbits(64):016x}"
        body = b"booking %d" % number
        self.open_attempts[server.number, endpoint[1], seq] = number, until, body, id
        task = Task(id, 0, 0, 1, 0.9, None, 5 * MS, 1.0, self.now, None, False, None)
        to, received = server, TaskReceived(endpoint[1], seq, task, f"{number:032x}", memoryview(body))
        self.schedule_in_order(
            ("line", to.number, endpoint[1]), MS // 20, MS, lambda: self.deliver(to, received)
        )

    def retry(self, number: int, until: int) -> None:
        """Schedule the next attempt at a booking, unless its time is over."""
        if self.now < until:
            self.schedule(self.chance.randint(5, 60) * MS, lambda: self.make_attempt(number, until))
        else:
            self.figures["given up"] += 1

    def on_answer(self, server: Server, answer: AnswerEffect) -> None:
        """Check the answer to an attempt against the runs of the agent."""
        kind = ANSWER_KINDS[type(answer)]
        attempt = self.open_attempts.pop((server.number, answer.connection, answer.seq), None)
        if attempt is None:
            self.wrong = f"an attempt is answered twice, or was never made: {kind}"
            return
        number, until, body, _ = attempt
        self.figures[kind] += 1
        runs = self.runs_by_body.get(body, [])
        if isinstance(answer, AnswerFinished):
            result = bytes(answer.result)
            if all(result != one for _, one in runs):
                self.wrong = f"{body!r} is answered with a result that no run made"
            if self.finished.setdefault(number, result) != result:
                self.wrong = f"{body!r} is answered with two results"
        elif isinstance(answer, AnswerRejected):
            if any(self.now - WINDOW < at for at, _ in runs):
                self.wrong = f"{body!r} is rejected after it ran"
            self.retry(number, until)

    def on_dismissed(self, server: Server, connection: int) -> None:
        """Let callers use another connection for their next attempts."""
        for caller, endpoint in list(self.connections_by_caller.items()):
            if endpoint == (server.number, connection):
                del self.connections_by_caller[caller]

    def on_closed(self, server: Server, connection: int) -> None:
        """Close a connection; its open attempts are lost and retried."""
        for key in [key for key in self.open_attempts if key[:2] == (server.number, connection)]:
            number, until, _, _ = self.open_attempts.pop(key)
            self.figures["lost"] += 1
            self.retry(number, until)
        self.on_dismissed(server, connection)

    # ---- the simulated run

    def simulate_changes(self, count: int) -> None:
        """Simulate `count` server changes under load, then settle and check that no attempt is open."""
        self.start_server()
        self.run(SECOND // 10)
        self.make_booking()
        for _ in range(count):
            self.run(self.chance.randint(50, 1500) * MS)
            self.start_server()
            if self.deaths and self.chance.random() < 0.6:
                self.run(self.chance.choice((1, 3, 10, 30)) * self.chance.randint(1, MS))
                living = [one for one in self.servers if one.alive]
                if living:
                    self.figures["deaths"] += 1
                    self.end_server(self.chance.choice(living))
            if not any(one.alive for one in self.servers):
                self.run(self.chance.randint(1, 300) * MS)
                self.start_server()
        self.make_booking = lambda: None  # type: ignore[method-assign]
        self.run(3 * SECOND)
        if not any(one.alive and one.serves for one in self.servers):
            self.start_server()
        self.run(8 * SECOND)
        if not self.wrong and self.open_attempts:
            self.wrong = f"{len(self.open_attempts)} attempts have no answer"


def simulate_handovers(
    seed: int, count: int = 8, deaths: bool = True, stale: bool = False, cores: int = CORES
) -> HandoverWorld:
    """Simulate `count` server changes and return the world.

    Args:
        seed: Of all random draws.
        count: Number of server changes.
        deaths: Whether servers crash and writes fail.
        stale: Whether successors read the ledger before the handover.
        cores: Of each server.
    """
    world = HandoverWorld(seed, deaths=deaths, stale=stale, cores=cores)
    world.simulate_changes(count)
    return world
