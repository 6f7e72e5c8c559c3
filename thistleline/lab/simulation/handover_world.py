"""Servers that follow one another in virtual time, without I/O: state machines, a disk, an agent with a link,
lines with delays, callers with repeats; deaths at any moment, on either side.

What is said on a link or a line comes in order, later or, where an end of it dies, never. What a death finds
half written is on disk or not, by chance.
"""

from collections import Counter
from collections.abc import Callable
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
OPTIONS = MachineOptions(BENCH, ("core_use", "on_cores", "heap_share", "links"), MS, 400, 1 << 20, 1)


class Life:
    def __init__(self, number: int, now: int, chance: Random) -> None:
        self.number = number
        self.machine = HandoverStateMachine(OPTIONS, now, Lifecycle(), max_disk_bytes=8 << 20, boot_offset=0)
        self.alive = True
        self.serves = False  # it listens
        self.to_farm = True
        self.heir: Life | None = None
        self.elder: Life | None = None
        self.wake = 0
        self.writing: LedgerWrite | None = None


class World:
    def __init__(self, seed: int, rate: float = 40.0, deaths: bool = True, stale: bool = False) -> None:
        """`stale` leaves a protection out: an heir reads the ledger before it is handed over, not after."""
        self.stale = stale
        self.chance, self.rate, self.deaths = Random(seed), rate, deaths
        self.now = 1000 * SECOND
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.lives: list[Life] = []
        self.ways: dict[Any, int] = {}  # when the last message on a way arrives
        self.disk: dict[int, list[Any]] = {}  # groups by segment
        # the agent
        self.link: Life | None = None
        self.links = 0
        self.running: dict[str, bytes] = {}
        self.notices: list[RunCompleted] = []
        self.starts: dict[bytes, list[tuple[int, bytes]]] = {}  # when, with what result
        # the callers
        self.open: dict[tuple[int, int, int], tuple[int, int, bytes, str]] = {}  # life, connection, seq
        self.lines: dict[int, tuple[int, int]] = {}  # life and connection of each
        self.connections = 0
        self.bookings = 0
        self.finished: dict[int, bytes] = {}
        self.figures: Counter[str] = Counter()
        self.wrong = ""

    # ---- time

    def at(self, delay: int, do: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.queue, (self.now + delay, self.count, do))

    def in_order(self, way: Any, least: int, most: int, do: Callable[[], None]) -> None:
        arrives = max(self.now + self.chance.randint(least, most), self.ways.get(way, 0) + 1)
        self.ways[way] = arrives
        self.at(arrives - self.now, do)

    def run(self, span: int) -> None:
        until = self.now + span
        while self.queue and self.queue[0][0] <= until and not self.wrong:
            self.now, _, do = heappop(self.queue)
            do()
        self.now = max(self.now, until)

    # ---- servers

    def take(self, life: Life, event: Any) -> None:
        if not life.alive:
            return
        try:
            effects = life.machine.handle(self.now, event)
        except Exception as error:
            kind = type(event).__name__
            self.wrong = f"{kind} is no input that can be taken: {type(error).__name__} {error}"
            return
        for effect in effects:
            if life.alive:
                self.carry_out(life, effect)
        due = max(life.machine.next_deadline(), self.now + MS // 10)
        if life.alive and life.wake != due:
            life.wake = due
            self.at(due - self.now, lambda: self.take(life, DeadlineReached()) if life.wake == due else None)

    def carry_out(self, life: Life, effect: Any) -> None:
        match effect:
            case AnswerFinished() | AnswerRejected() | AnswerAbandoned() | AnswerMisunderstood():
                if effect.connection == PREDECESSOR_CONNECTION:
                    self.say(life, life.elder, ForwardedAnswered(str(effect.seq), effect))
                else:
                    self.answered(life, effect)
            case StartRun() | StopRun() | MeasureGauges():
                self.command(life, effect)
            case WriteLedger(write):
                self.write(life, write)
            case HandOver():
                self.hand(life, effect)
            case PostponeHandover():
                heir = life.heir
                if heir is not None:
                    self.in_order((life.number, heir.number), MS // 10, MS, lambda: self.at(
                        100 * MS, lambda: self.say(heir, life, SuccessorReady(self.now + STOP))))  # fmt: skip
            case ForwardTask(name, task, _, _, word, body):
                self.say(life, life.heir, TaskForwarded(int(name), task, word, body))
            case ReportRunEnd(number, outcome, result):
                self.say(life, life.heir, PredecessorRunEnded(number, outcome, result))
            case RelayAgentEvent(event):
                self.say(life, life.elder, event)
            case DismissConnection(connection):
                self.at(self.chance.randint(1, 50 * MS), lambda: self.dismissed(life, connection))
            case CloseConnection(connection):
                self.closed(life, connection)
            case EndProcess():
                self.figures["ended"] += 1
                self.die(life)

    def command(self, life: Life, command: StartRun | StopRun | MeasureGauges) -> None:
        if life.to_farm:
            if self.link is life:
                link = self.links
                self.in_order(("agent", link), MS // 10, MS, lambda: self.agent(link, command))
            return
        match command:
            case StartRun(id, stage, body):
                self.say(life, life.heir, HostedRunStarted(id, stage, body))
            case StopRun(id):
                self.say(life, life.heir, HostedRunStopped(id))
            case MeasureGauges(tag):
                self.say(life, life.heir, HostedMeasureRequested(tag))

    def say(self, source: Life, to: Life | None, event: Any) -> None:
        if to is not None:
            self.in_order((source.number, to.number), MS // 20, MS, lambda: self.take(to, event))

    def write(self, life: Life, work: LedgerWrite) -> None:
        life.writing = work

        def durable() -> None:
            if not life.alive or life.writing is not work:
                return
            life.writing = None
            if self.deaths and self.chance.random() < 0.003:
                if self.chance.random() < 0.5:
                    self.append(work)
                self.take(life, WriteFailed("the disk"))
            else:
                self.append(work)
                for number in work.obsolete_segments:
                    self.disk.pop(number, None)
                self.take(life, WriteCompleted())

        self.at(self.chance.randint(MS // 5, 4 * MS), durable)

    def append(self, work: LedgerWrite) -> None:
        self.disk.setdefault(work.segment, []).append(work.group)

    def die(self, life: Life) -> None:
        life.alive = False
        if life.writing is not None and self.chance.random() < 0.5:
            self.append(life.writing)
        if self.link is life:
            self.link = None
        for number, connection in {key[:2] for key in self.open}:
            if number == life.number:
                self.closed(life, connection)
        for other in self.lives:
            if other.heir is life:
                other.heir = None
                self.at(self.chance.randint(1, MS), lambda other=other: self.heir_gone(other))  # type: ignore[misc]
            if other.elder is life:
                other.elder = None
                # What it said before it died comes first.
                self.in_order((life.number, other.number), 1, MS, lambda other=other: self.elder_gone(other))  # type: ignore[misc]

    def elder_gone(self, life: Life) -> None:
        if life.serves:
            self.take(life, PredecessorGone())
        elif life.alive:
            self.begin(life)  # it died before it handed over

    def heir_gone(self, life: Life) -> None:
        self.take(life, SuccessorGone())
        if not life.to_farm:
            self.at(500 * MS, lambda: self.alone(life))

    def alone(self, life: Life) -> None:
        if life.alive and life.heir is None:
            life.to_farm = True
            self.make_link(life)

    # ---- one follows another

    def follow(self) -> None:
        """A server more, beside what is there."""
        life = Life(len(self.lives) + 1, self.now, self.chance)
        before = [one for one in self.lives if one.alive]
        self.lives.append(life)
        sole = next((one for one in before if one.serves and one.to_farm and one.heir is None), None)
        if sole is not None and sole.machine.handover_phase == "sole":
            sole.heir, life.elder = life, sole
            if self.stale:
                self.recover(life)
            # A machine that has no time for it now and then: the heir is long about coming up.
            takes = self.chance.choice((1, 20, 300, 6000)) * MS
            self.at(takes, lambda: self.say(life, sole, SuccessorReady(self.now + STOP)))
        else:
            self.begin(life)

    def begin(self, life: Life) -> None:
        """With nobody that serves; one that handed over may be there still."""
        if self.stale and life.machine.attempts_made:
            self.die(life)
            return
        if any(one.alive and one.serves and one.machine.handover_phase != "handed" for one in self.lives):
            self.figures["no place"] += 1
            self.die(life)
            return
        self.recover(life)
        for other in self.lives:
            if other.alive and other is not life and other.machine.handover_phase == "handed":
                other.heir, life.elder = life, other
                other.to_farm = False
                if self.link is other:
                    self.link = None
                self.take(other, SuccessorReplaced(self.now + STOP))
                return
        self.serve(life)

    def recover(self, life: Life) -> None:
        ledger = life.machine.ledger
        ledger.advance_clock(self.now)
        for number in sorted(self.disk):
            ledger.recover_segment(number, 1000 * len(self.disk[number]))
            for group in self.disk[number]:
                ledger.recover_group(number, [0], True, group)
        ledger.forget_expired()
        self.take(life, EffectsRecovered(list(ledger.recovered_effects())))

    def hand(self, life: Life, effect: HandOver) -> None:
        heir = life.heir
        life.to_farm = False
        if self.link is life:
            self.link = None
        if not effect.is_repeated:
            life.serves = False
            self.figures["handed over"] += 1
        if heir is not None:
            notice = 0 if effect.is_repeated else effect.last_notice
            inherited = Inherited(notice, effect.runs, effect.owned_ids)
            self.in_order((life.number, heir.number), MS // 20, MS,
                          lambda: self.inherit(heir, inherited, effect.is_repeated))  # fmt: skip

    def inherit(self, life: Life, inherited: Inherited, again: bool) -> None:
        if not life.alive:
            return
        if not again and not self.stale:
            self.recover(life)
        self.take(life, inherited)
        self.serve(life)

    def serve(self, life: Life) -> None:
        self.take(life, ListeningStarted())
        life.serves = True
        self.make_link(life)

    # ---- the agent

    def make_link(self, life: Life) -> None:
        before, self.link = self.link, life
        self.links += 1
        link = self.links
        if before is not None:
            self.at(1, lambda: self.take(before, AgentLost("replaced")))

        def greet() -> None:
            if self.links == link:
                self.take(life, AgentGreeted(False, 100 * SECOND))
                known = life.machine.session.last_notice
                for notice in self.notices:
                    if notice.number > known:
                        self.tell(link, notice)

        self.in_order(("told", link), MS // 5, 2 * MS, greet)

    def tell(self, link: int, event: Any) -> None:
        life = self.link
        if link == self.links and life is not None:
            self.in_order(("told", link), MS // 10, MS,
                          lambda: self.take(life, event) if self.link is life else None)  # fmt: skip

    def agent(self, link: int, command: StartRun | StopRun | MeasureGauges) -> None:
        if self.links != link and (not isinstance(command, StartRun) or self.chance.random() < 0.5):
            return  # else it was read before the other link came
        if isinstance(command, MeasureGauges):
            self.tell(link, GaugesMeasured(command.tag, [0.5, 1.0, 0.1, 1.0]))
        elif isinstance(command, StartRun) and command.attempt_id not in self.running:
            id, body = command.attempt_id, command.body
            result = b"%d of " % len(self.notices) + body
            self.running[id] = body
            past = self.starts.setdefault(body, [])
            if past and self.now - past[-1][0] < WINDOW:
                self.wrong = f"{body!r} runs twice, {(self.now - past[-1][0]) / MS:.1f} ms after"
            past.append((self.now, result))
            takes = self.chance.choice((2, 20, 100, 400, 1500)) * MS
            self.at(takes, lambda: self.over(id, takes, result))

    def over(self, id: str, took: int, result: bytes) -> None:
        if self.running.pop(id, None) is not None:
            self.notices.append(RunCompleted(len(self.notices) + 1, id, "finished", took, result))
            self.tell(self.links, self.notices[-1])

    # ---- callers

    def call(self) -> None:
        self.bookings += 1
        number = self.bookings
        self.ask(number, self.now + 5 * SECOND)
        if self.chance.random() < 0.5:  # somebody asks the same at another place
            after = self.chance.choice((1, 5, 50, 800, 8000, 8900))
            self.at(after * MS, lambda: self.ask(number, self.now + 5 * SECOND))
        self.at(round(self.chance.expovariate(self.rate) * SECOND), self.call)

    def ask(self, number: int, until: int) -> None:
        line = self.chance.randrange(12)
        where = self.lines.get(line)
        alive = [one for one in self.lives if one.alive]
        life = next((one for one in alive if where is not None and one.number == where[0]), None)
        if life is None:
            life = next((one for one in alive if one.serves), None)
            if life is None:
                self.again(number, until)
                return
            self.connections += 1
            where = self.lines[line] = life.number, self.connections
            self.take(life, ConnectionOpened(self.connections))
        assert where is not None
        self.figures["tries"] += 1
        seq, id = self.figures["tries"], f"{self.chance.getrandbits(64):016x}"
        body = b"booking %d" % number
        self.open[life.number, where[1], seq] = number, until, body, id
        task = Task(id, 0, 0, 1, 0.9, None, 5 * MS, 1.0, self.now, None, False, None)
        to, received = life, TaskReceived(where[1], seq, task, f"{number:032x}", memoryview(body))
        self.in_order(("line", to.number, where[1]), MS // 20, MS, lambda: self.take(to, received))

    def again(self, number: int, until: int) -> None:
        if self.now < until:
            self.at(self.chance.randint(5, 60) * MS, lambda: self.ask(number, until))
        else:
            self.figures["given up"] += 1

    def answered(self, life: Life, answer: AnswerEffect) -> None:
        kind = ANSWER_KINDS[type(answer)]
        asked = self.open.pop((life.number, answer.connection, answer.seq), None)
        if asked is None:
            self.wrong = f"a try is answered twice, or was never asked: {kind}"
            return
        number, until, body, _ = asked
        self.figures[kind] += 1
        runs = self.starts.get(body, [])
        if isinstance(answer, AnswerFinished):
            result = bytes(answer.result)
            if all(result != one for _, one in runs):
                self.wrong = f"{body!r} is given what no run made"
            if self.finished.setdefault(number, result) != result:
                self.wrong = f"{body!r} is given two results"
        elif isinstance(answer, AnswerRejected):
            if any(self.now - WINDOW < at for at, _ in runs):
                self.wrong = f"{body!r} is rejected after it ran"
            self.again(number, until)

    def dismissed(self, life: Life, connection: int) -> None:
        """What is asked from now on goes on another connection."""
        for line, where in list(self.lines.items()):
            if where == (life.number, connection):
                del self.lines[line]

    def closed(self, life: Life, connection: int) -> None:
        for key in [key for key in self.open if key[:2] == (life.number, connection)]:
            number, until, _, _ = self.open.pop(key)
            self.figures["lost"] += 1
            self.again(number, until)
        self.dismissed(life, connection)

    # ---- a run of it

    def changes(self, count: int) -> None:
        self.follow()
        self.run(SECOND // 10)
        self.call()
        for _ in range(count):
            self.run(self.chance.randint(50, 1500) * MS)
            self.follow()
            if self.deaths and self.chance.random() < 0.6:
                self.run(self.chance.choice((1, 3, 10, 30)) * self.chance.randint(1, MS))
                living = [one for one in self.lives if one.alive]
                if living:
                    self.figures["deaths"] += 1
                    self.die(self.chance.choice(living))
            if not any(one.alive for one in self.lives):
                self.run(self.chance.randint(1, 300) * MS)
                self.follow()
        self.call = lambda: None  # type: ignore[method-assign]
        self.run(3 * SECOND)
        if not any(one.alive and one.serves for one in self.lives):
            self.follow()
        self.run(8 * SECOND)
        if not self.wrong and self.open:
            self.wrong = f"{len(self.open)} tries have no answer"


def play(seed: int, count: int = 8, deaths: bool = True, stale: bool = False) -> World:
    world = World(seed, deaths=deaths, stale=stale)
    world.changes(count)
    return world
