"""What steers the fleet: a steward on each machine, the conductor, the decider of zones; steps, messages,
memory, time of each by how many there are.

The reducers that run, without I/O. The long run adds stewards, servers and conductors as real processes at a
council of three, with their memory and processor time from /proc.
"""

import statistics
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any, ClassVar, NamedTuple

import anyio
import msgspec

from thistleline.config.loader import parse_config
from thistleline.config.schema import RolloutConfig
from thistleline.lab.processes.harness import Fleet, Process, run_folder
from thistleline.lab.processes.machines import ROOT, SupervisedFleet
from thistleline.lab.scale import slopes
from thistleline.lab.scale.instance import cpu_seconds, machine, resident
from thistleline.lab.scale.members import make_member, update_bytes
from thistleline.lab.scale.settings_costs import HollowRollout
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import (
    Kind,
    Part,
    Row,
    Shape,
    judge,
    loop_cpu,
    loops_of,
    memory_of,
    rounded,
    steps_of,
)
from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Answer, Get, Got, Op
from thistleline.lease.wire import Reply, Request
from thistleline.lease.wire import encode as encode_client
from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.events import ServersObserved
from thistleline.rollout.order import ORDER_KEY
from thistleline.rollout.record import RECORD_KEY, RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.service import RolloutService, encode
from thistleline.rollout.stages import STAGES
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.supervisor.effects import Effect, PersistState, SpawnServer, TerminateServer, VerifyVersion
from thistleline.supervisor.events import (
    ConsensusPolled,
    DesiredVersionReceived,
    Event,
    ServerExited,
    ServerReady,
    ServerSpawned,
    StatePersisted,
    StateRecovered,
    VersionVerified,
)
from thistleline.supervisor.model import DesiredVersion, SupervisorState, Version
from thistleline.supervisor.records import desired_version_key
from thistleline.supervisor.releases import RUN, Releases
from thistleline.supervisor.service import POLL, SupervisorService
from thistleline.supervisor.state_machine import Supervisor
from thistleline.supervisor.timing import GOOD_AFTER
from thistleline.transport.codec import encode_frame
from thistleline.zones.decision import ZoneDecider
from thistleline.zones.routing import RoutingRules, RoutingTable
from thistleline.zones.status import REPORT_TTL, FleetStatusTracker, ServerReport

NAME = "control"
DIGESTS = ["5f" * 32, "a0" * 32]
SETTLE = 2.0  # s until all is calm once servers are good
CALM = 12.0  # s of processor time that are looked at
RUNS = 3  # of the real processes, in the long run
MACHINES = 3
PROGRAM = "program"  # the release of them
RELEASES_THERE = 100  # that a machine may have kept
ENTERED = 270  # servers whose reports have more or fewer entries
REPEATS = 3  # of a time
TRIP = "a read of the council on loopback, s"
TRIPS = 200  # reads one after the other, as a conductor that takes over does


def version(number: int) -> Version:
    """Settings change with each; each digest has strings of its own."""
    return Version("2.31.4", DIGESTS[0], number, f"{number:064x}", (3, 4), 4)


# ---- the steward

WORDS = "words to members, at the most"


class Kept:
    """A steward's reducer whose disk, releases and servers answer at once, and what that took."""

    def __init__(self, beside: bool) -> None:
        self.now, self.life, self.beside = SECOND, 0, beside
        self.supervisor = Supervisor(SECOND, self.now, beside)
        self.spent: Counter[str] = Counter()
        self.told: tuple[Any, ...] = ()
        self.handle(StateRecovered(SupervisorState(incarnation=1000), False))

    def handle(self, event: Event) -> None:
        effects: list[Effect] = []
        taken = partial(self.supervisor.handle, self.now, event)
        self.spent["steps"] += steps_of(lambda: effects.extend(taken()))
        self.spent["inputs"] += 1
        self._count_words()
        for effect in effects:
            self._carry_out(effect)

    def _count_words(self) -> None:
        """Of what members hear of it that was not so before (supervisor/service.py, _publish)."""
        supervisor, state = self.supervisor, self.supervisor.state
        serves = supervisor.serves and state.running
        told = (serves, state.incarnation, supervisor.crashes.total)
        self.spent[WORDS] += told != self.told
        self.told = told

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case PersistState():
                self.spent["notes to disk"] += 1
                self.spent["bytes to disk"] += self.state_bytes()
                self.handle(StatePersisted())
            case VerifyVersion():
                self.spent["checks of a release"] += 1
                self.handle(VersionVerified(""))
            case SpawnServer(incarnation):
                elder, self.life = self.life, incarnation
                self.handle(ServerSpawned(1))
                if self.supervisor.phase == "succeeding":
                    self.handle(ServerReady(self.life))
                    self.handle(ServerExited(0, elder))
            case TerminateServer(incarnation):
                self.handle(ServerExited(0, incarnation))

    def want(self, number: int, turn: int = 0) -> None:
        """Followed, and its server taken for good."""
        self.handle(DesiredVersionReceived(DesiredVersion(7, number, version(number), turn)))
        self.settle()

    def settle(self) -> None:
        for _ in range(2):
            self.now = max(self.now + GOOD_AFTER, self.supervisor.next_deadline())
            self.handle(DeadlineReached())

    def state_bytes(self) -> int:
        return len(msgspec.json.encode(self.supervisor.state))

    def look(self) -> None:
        """What comes of an answer of the council that says nothing new, and of the clock."""
        assert self.supervisor.state.desired is not None
        self.supervisor.handle(self.now, ConsensusPolled(True))
        self.supervisor.handle(self.now, DesiredVersionReceived(self.supervisor.state.desired))
        self.supervisor.handle(self.now, DeadlineReached())


def followed(wants: int, beside: bool = True) -> Kept:
    kept = Kept(beside)
    for number in range(1000, 1000 + wants):  # lives too: all of as many digits
        kept.want(number)
    return kept


def a_restart() -> dict[str, dict[str, int]]:
    """What a restart costs a steward, by what it came of, until its server is taken for good."""
    found = {}
    for name, beside in (("crash", False), ("started anew", False), ("started anew, beside", True),
                         ("other settings", False), ("other settings, beside", True)):  # fmt: skip
        kept = followed(1, beside)
        kept.spent.clear()
        if name == "crash":
            kept.handle(ServerExited(1, kept.life))
            kept.settle()
        else:
            kept.want(1000 + ("settings" in name), 1)
        kept.spent[WORDS] += 1  # once it is warm
        told = dict(kept.spent)
        told["bytes of these words"] = told[WORDS] * update_bytes()
        # Settings that are not here yet are asked for once; all else comes by the questions of each POLL.
        told["questions to the council"] = int("settings" in name)
        found[name] = told
    return found


def _log(event: str, **facts: Any) -> None:
    return None


def service_conf(folder: Path, more: str) -> Any:
    return parse_config("conf", f"members name i00000\nmembers listen 127.0.0.1:9\nmembers zone z00\n"
                         f"council voter a=127.0.0.1:9\n{more}\n".replace("FOLDER", str(folder)))  # fmt: skip


def steward_of(known: int, folder: Path) -> SupervisorService:
    """Whose member knows so many."""
    conf = service_conf(folder, "steward folder FOLDER/s\nsteward plate FOLDER/p\nsteward releases FOLDER/r")
    service = SupervisorService(conf, _log)
    service.member.gossip = make_member(known, 1)
    return service


def teller(known: int) -> Callable[[], Any]:
    """What a steward says each TAIL to its member of a server that works."""
    with TemporaryDirectory() as folder:
        service = steward_of(known, Path(folder))
    kept = followed(1)
    service.supervisor, service.servers.pids = kept.supervisor, {kept.life: 1}
    service._publish()
    return service._publish


def steps_of_verify(releases: int) -> int:
    """Of a look at one release beside so many others."""
    with TemporaryDirectory() as folder:
        source, known = Path(folder) / "source", Releases(Path(folder) / "releases")
        source.mkdir()
        (source / RUN).write_text("#!/bin/sh\n")
        (source / RUN).chmod(0o755)
        digests = [known.add(f"r{place}", source) for place in range(releases)]
        return steps_of(lambda: known.verify("r0", digests[0]))


def calm_hour() -> dict[str, Any]:
    """What a steward and the council say to each other where nothing changes, by POLL and the program's own
    encoding; on TCP, whose acknowledgements are not in it."""
    want = encode(DesiredVersion(7, 1182, version(118), 2))
    question = encode_frame(encode_client(Request(100_000, Get(desired_version_key("i00000.zone-01")))))
    answer = encode_frame(encode_client(Reply(100_000, Got(want, 5_000_000))))
    questions = round(3600 / POLL)
    each = len(question) + len(answer)
    return {
        "messages an hour": 2 * questions,
        "bytes an hour": questions * each,
        "bytes a question and answer": each,
        "messages a second, all stewards": round(2 * size("instances") / POLL),
    }


# ---- the conductor


class Conducted:
    """A conductor in the last stage of a change: half of each zone has the new version, the rest is to have
    it and waits for room; all servers work, `cold` of a hundred have come up just now."""

    def __init__(self, instances: int, zones: int, cold: int, seed: int) -> None:
        self.chance, self.cold, self.now = Random(seed), cold, SECOND
        self.places = [(f"i{place:05}", f"z{place % zones:02}", place // zones % 2 == 0)
                       for place in range(instances)]  # fmt: skip
        self.old, self.new = version(117), version(118)
        self.figures = [[0, 0, 0, 0, 0] for _ in self.places]
        all_of_them = tuple(id for id, _, _ in self.places)
        last = len(STAGES) - 1
        roll = RolloutRecord(1, self.new, self.old, STAGES, 1, 1, stage_index=last, targets=all_of_them)
        self.controller = RolloutController(self.now, lambda: 1_790_000_000_000, roll, RolloutTiming())
        self.pass_time()
        self.look()
        for _ in range(4):
            self.pass_time()
            self.slot()
        self.pass_time()

    def pass_time(self) -> None:
        """A slot in which all of them worked; the conductor sees it, with ids that came in anew."""
        self.now += self.controller.timing.slot
        found = []
        for place, (id, zone, new) in enumerate(self.places):
            tasks = self.chance.randint(1400, 1600)
            counts = self.figures[place]
            for at, more in enumerate((tasks, tasks - self.chance.randint(0, 90), self.chance.randint(0, 60),
                                       self.chance.randint(0, 20), self.chance.randint(0, 30))):  # fmt: skip
                counts[at] += more
            runs = self.new if new else self.old
            found.append(
                ServerStatus(self.id_of(id), zone, True, runs.release, runs.settings, True,
                     place % 100 >= self.cold, (*counts, 96_000 + self.chance.randint(0, 999), 0, 12))
            )  # fmt: skip
        self.controller.handle(self.now, ServersObserved(found))
        self.seen, self.before = found, dict(self.controller.sampler.previous)

    def id_of(self, id: str) -> str:
        return str(id.encode(), "ascii")

    def slot(self) -> None:
        """The last one that passed; the same work each time."""
        self.controller.sampler.previous = dict(self.before)
        self.controller._end_slot()

    def look(self) -> None:
        self.controller.next_slot = self.now + SECOND
        self.controller.handle(self.now, ServersObserved(self.seen))
        self.controller.handle(self.now, DeadlineReached())


class Id(str):
    """Counts how often one is compared with another of it, which is done in C and is no step of bytecode."""

    __slots__ = ()
    compared: ClassVar[int] = 0

    def __eq__(self, other: object) -> bool:
        Id.compared += 1
        return str.__eq__(self, other)

    __hash__ = str.__hash__


class Compared(Conducted):
    def id_of(self, id: str) -> str:
        return Id(id)


def compared_in_slot(instances: int, seed: int) -> int:
    made = Compared(instances, size("zones"), 0, seed)
    Id.compared = 0
    made.slot()
    return Id.compared


class Enough(Exception):
    """Of looks."""


class Answering:
    """A council that answers at once, and how much it was asked by the end of each look's questions."""

    def __init__(self, looks: int, roll: RolloutRecord) -> None:
        self.looks, self.roll = looks, roll
        self.reads = self.bytes = 0
        self.by_look: list[tuple[int, int]] = []

    async def request_until_decided(self, op: Op, timeout: float) -> Answer:
        assert isinstance(op, Get), op
        value = encode(self.roll) if op.key == RECORD_KEY else encode(DesiredVersion(7, 1, self.roll.base))
        answer = Got(b"", 0) if op.key == ORDER_KEY else Got(value, 7)
        self.reads += 1
        self.bytes += len(encode_frame(encode_client(Request(self.reads, op))))
        self.bytes += len(encode_frame(encode_client(Reply(self.reads, answer))))
        if op.key == ORDER_KEY:
            self.by_look.append((self.reads, self.bytes))
            if len(self.by_look) == self.looks:
                raise Enough
        return answer


def looks_asked(instances: int) -> list[tuple[int, int]]:
    """Reads of the council and their bytes until the first look, and until the second one, of a conductor
    that takes over a fleet at rest."""
    base = Version("2.31.4", DIGESTS[0], 118, DIGESTS[0], (3, 4), 4)
    service = RolloutService(service_conf(Path(), ""), _log)
    service.member.gossip = make_member(instances, 1)
    council: Any = Answering(2, RolloutRecord(1, version(119), base, STAGES, 1, 1, "back"))
    held: Any = None  # it writes nothing
    try:
        anyio.run(service._lead, council, held)
    except Enough:
        return list(council.by_look)
    raise AssertionError("it asks no more")


def picturing(instances: int) -> Callable[[], Any]:
    """The picture that is made of members for each look."""
    service = RolloutService(service_conf(Path(), ""), _log)
    service.member.gossip = make_member(instances, 1)
    return service.server_statuses


def resting(instances: int) -> Callable[[], Any]:
    """A look at a fleet where no change is under way."""
    carried = HollowRollout(instances, instances).run()
    seen = carried.server_statuses()

    def look() -> None:
        carried.handle(ServersObserved(seen))
        carried.handle(DeadlineReached())

    return look


def resting_slot(made: Conducted) -> Callable[[], Any]:
    """Its change is over: nothing is judged any more."""
    assert made.controller.record is not None
    made.controller.record = msgspec.structs.replace(made.controller.record, phase="done")
    made.controller.analysis = None
    return made.slot


# ---- the decider of zones


class Decided:
    """Zones at three fifths of their capacity, and one that may be lost; what comes is spread evenly over its
    zone's servers and all stages."""

    def __init__(self, instances: int, zones: int, stages: int, lost: bool = False) -> None:
        self.names = [f"z{place:02}" for place in range(zones)]
        self.pictures = FleetStatusTracker(self.names)
        self.now, self.turn = SECOND, 0
        self.reports = [(f"i{place:05}", self.names[place % zones]) for place in range(instances)]
        self.stages = stages
        self.report()
        price = {(one, other): 1.0 + abs(at - to) / 100 for at, one in enumerate(self.names)
                 for to, other in enumerate(self.names) if at != to}  # fmt: skip
        self.rules = RoutingRules(price, {stage: 1.0 + stage for stage in range(stages)})
        self.deciding = ZoneDecider(self.rules, RoutingTable())
        self.deciding.decide(self.picture())
        if lost:
            self.now += 2 * REPORT_TTL
            self.report(self.names[0])
        self.known = self.picture()

    def report(self, without: str = "") -> None:
        self.turn += 1
        for id, zone in self.reports:
            if zone != without:
                came = tuple((zone, stage, 6.0 / self.stages) for stage in range(self.stages))
                self.pictures.add_report(ServerReport(id, zone, self.now, 10.0, self.turn, 1.0, came))

    def picture(self) -> Any:
        return self.pictures.status(self.now)

    def decide(self) -> RoutingTable:
        """The same each time: of the table that holds before."""
        return ZoneDecider(self.rules, self.deciding.table).decide(self.known)


# ---- what is measured


class Case(NamedTuple):
    """A row, named `WHAT: UNIT of ... by PER`."""

    name: str
    sizes: Sequence[int]
    of: Callable[[int], Any]  # by size: what is called, for its steps or time; what is held; or a count
    note: str = ""

    def row(self, kind: Kind, values: Sequence[float], repeats: int = 1) -> Row:
        per, word = self.name.rpartition(" by ")[2], self.name.partition(": ")[2].split(" ")[0]
        unit = {"time": "loops", "memory": "bytes"}.get(word, word)
        at = {"want": size("changes_day"), "release": RELEASES_THERE, "instance": size("instances"),
              "zone": size("zones"), "stage": size("routes"), "service": size("services"),
              "entry": size("requests_s")}[per]  # fmt: skip
        return slopes.row(self.name, kind, unit, per, self.sizes, values, at, repeats, self.note)


def counted(case: Case) -> Row:
    told = [case.of(one) for one in case.sizes]
    return case.row("count", [float(steps_of(one) if callable(one) else one) for one in told])


ENTRY = "what came to one server of one origin and stage; at the most one for each request of a second"
LOST = "decider: time of a decision, a zone lost, by stage"
FIRST_READS = "conductor: reads of the council before its first decision by instance"
PROMISED: dict[str, Shape] = {
    "steward: steps of a look with nothing new by want": "flat",
    "steward: bytes of its state by want": "flat",
    "steward: steps of what it tells its member by instance": "flat",
    "steward: steps of a check of a release by release": "flat",
    "conductor: steps of the picture for a look by instance": "linear",
    "conductor: steps of a look in a change by instance": "linear",
    "conductor: steps of a look in a change by zone": "linear",
    "conductor: steps of a slot judged by instance": "linear",
    "conductor: steps of a slot judged, one in ten cold, by instance": "linear",
    "conductor: comparisons of ids in a slot by instance": "linear",
    FIRST_READS: "linear",
    "conductor: reads of the council of a later look by instance": "flat",
    "conductor: bytes of a later look's reads by instance": "flat",
    "decider: steps of a picture by instance": "linear",
    "decider: steps of a picture by entry": "linear",
    "decider: steps of a picture by zone": "linear",
    "decider: steps of a decision in calm by instance": "flat",
    "decider: steps of a decision in calm by stage": "linear",
    "decider: steps of a decision, a zone lost, by zone": "square",
    "decider: steps of a decision, a zone lost, by stage": "square",
}


def conducted(instances: int, cold: int, seed: int) -> Conducted:
    return Conducted(instances, size("zones"), cold, seed)


def decided(instances: int, stages: int, lost: bool = False) -> Decided:
    return Decided(instances, size("zones"), stages, lost)


def entered(entries: int) -> Decided:
    return decided(ENTERED, entries // ENTERED)


def steward_rows(quick: bool) -> list[Row]:
    few, known = [3, 10, 30, 60], [60, 100, 300, 600] if quick else [100, 300, 1000, 3000, 6600]
    cases = [
        Case("steward: steps of a look with nothing new by want", few, lambda n: followed(n).look,
             "wants followed before; a day on which it has all changes"),
        Case("steward: bytes of its state by want", few, lambda n: followed(n).state_bytes()),
        Case("steward: steps of what it tells its member by instance", known, teller),
        Case("steward: steps of a check of a release by release", few, steps_of_verify, "releases beside it"),
    ]  # fmt: skip
    return [counted(one) for one in cases]


def conductor_rows(quick: bool, seed: int) -> list[Row]:
    # Quick: new ones and old ones in each zone.
    fleets = [54, 108, 270, 540] if quick else [60, 100, 300, 1000, 3000, 6600]
    rolled = {n: conducted(n, 0, seed) for n in fleets}
    asked = {n: looks_asked(n) for n in fleets}
    cases = [
        Case("conductor: steps of the picture for a look by instance", fleets, picturing),
        Case("conductor: steps of a look in a change by instance", fleets,
             lambda n: rolled[n].look, "the last stage, half changed; each look asks for the verdict"),
        Case("conductor: steps of a look in a change by zone", [3, 9, 27, 81],
             lambda n: Conducted(162, n, 0, seed).look, "162 instances"),
        Case("conductor: steps of a slot judged by instance", fleets, lambda n: rolled[n].slot),
        Case("conductor: steps of a slot judged, one in ten cold, by instance", fleets,
             lambda n: conducted(n, 10, seed).slot),
        Case("conductor: comparisons of ids in a slot by instance", fleets,
             lambda n: compared_in_slot(n, seed), "in C, so no steps"),
        Case(FIRST_READS, fleets, lambda n: asked[n][0][0], "one after the other"),
        Case("conductor: reads of the council of a later look by instance", fleets,
             lambda n: asked[n][1][0] - asked[n][0][0]),
        Case("conductor: bytes of a later look's reads by instance", fleets,
             lambda n: asked[n][1][1] - asked[n][0][1]),
    ]  # fmt: skip
    return [counted(one) for one in cases]


def decider_rows(quick: bool) -> list[Row]:
    known, stages = [60, 100, 300, 600] if quick else [100, 300, 1000, 3000, 6600], [10, 30, 60, 100]
    zones = [3, 9, 27, 81]
    cases = [
        Case("decider: steps of a picture by instance", known, lambda n: decided(n, 2).picture, "two stages"),
        Case("decider: steps of a picture by entry", [ENTERED * n for n in (1, 3, 10, 30)],
             lambda n: entered(n).picture, ENTRY),
        Case("decider: steps of a picture by zone", zones, lambda n: Decided(324, n, 2).picture,
             "324 instances, two stages"),
        Case("decider: steps of a decision in calm by instance", known, lambda n: decided(n, 2).decide),
        Case("decider: steps of a decision in calm by stage", stages, lambda n: decided(54, n).decide,
             "a stage for each route"),
        Case("decider: steps of a decision, a zone lost, by zone", zones,
             lambda n: Decided(162, n, 10, True).decide, "ten stages"),
        Case("decider: steps of a decision, a zone lost, by stage", stages,
             lambda n: decided(54, n, True).decide, "a stage for each route"),
    ]  # fmt: skip
    return [counted(one) for one in cases]


def costs(seed: int, tell: Callable[[str], None]) -> tuple[list[Row], dict[str, Any]]:
    """Memory and time, in the long run. The reference loop is the middle of all moments of it: guards against
    seconds that are twice those measured, where another program held the machine as the loop was run."""
    fleets, entries = [600, 1500, 3000, 6600], [27_000, 81_000, 135_000, 270_000]
    stages = [200, 500, 1000, 2000]
    rolled = {n: conducted(n, 0, seed) for n in fleets}
    held = [
        Case("conductor: memory of what it sees and judges by instance", fleets,
             lambda n: conducted(n, 0, seed).controller),
        Case("decider: memory of reports by entry", entries, lambda n: entered(n).pictures, ENTRY),
    ]  # fmt: skip
    timed = [
        Case("conductor: time of the picture for a look by instance", fleets, picturing),
        Case("conductor: time of a look at rest by instance", fleets, resting),
        Case("conductor: time of a look in a change by instance", fleets,
             lambda n: rolled[n].look),
        Case("conductor: time of a slot judged by instance", fleets, lambda n: rolled[n].slot),
        Case("conductor: time of a slot judged, one in ten cold, by instance", fleets,
             lambda n: conducted(n, 10, seed).slot),
        Case("conductor: time of a slot at rest by instance", fleets, lambda n: resting_slot(rolled[n])),
        Case("decider: time of a picture by instance", fleets, lambda n: decided(n, 2).picture, "two stages"),
        Case("decider: time of a picture by entry", entries, lambda n: entered(n).picture, ENTRY),
        Case("decider: time of a decision in calm by stage", stages, lambda n: decided(54, n).decide),
        Case(LOST, stages, lambda n: decided(54, n, True).decide, "a stage for each route"),
    ]  # fmt: skip
    rows = [one.row("memory", [memory_of(partial(one.of, n))[0] for n in one.sizes]) for one in held]
    seconds: dict[str, Any] = {}
    moments = [loop_cpu()]
    for one in timed:
        told = [loops_of(one.of(n), REPEATS) for n in one.sizes]
        rows.append(one.row("time", [loops for loops, _ in told], REPEATS))
        moments.append(loop_cpu())
        seconds[f"{one.name}, CPU seconds by size"] = rounded(one.sizes, [took for _, took in told])
        tell(f"control: {one.name}: {slopes.per_one(rows[-1])}")
    service = Case(LOST.replace("stage", "service"), stages, timed[-1].of, "the same runs")
    return [*rows, service.row("time", rows[-1]["values"], REPEATS)], {
        "loop_s": statistics.median(moments),
        **seconds,
    }


# ---- the long run: real processes


def bare(words: str) -> int:
    """Resident bytes of an interpreter that has done this and nothing more."""
    command = [sys.executable, "-c", f"{words}\nprint(flush=True)\ninput()"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT) as process:
        assert process.stdout is not None
        process.stdout.readline()
        found = resident(process.pid)
        process.communicate(b"\n")
    return found


async def processes(folder: Path, seed: int) -> dict[str, list[tuple[float, int]]]:
    """Cores and resident bytes of each process by what it is, over CALM seconds in which nothing changes."""
    async with anyio.create_task_group() as group:
        machines = SupervisedFleet(folder, group, seed, MACHINES, MACHINES)
        fleet, names = machines.fleet, [one.name for one in machines.machines]
        try:
            await machines.start()
            for name in (*names, "c0", "c1"):  # members with the period of the program, not the lab's
                fleet.processes[name].kill()
                conf = folder / f"{name}.conf"
                lines = conf.read_text().splitlines()
                conf.write_text("\n".join(line for line in lines if "members period" not in line) + "\n")
                fleet.processes[name].start()
            # The program as it is, without the lab's figures twice a second.
            source = folder / "sources" / PROGRAM
            source.mkdir()
            lines = ["#!/bin/sh", f"export PYTHONPATH='{ROOT}'", f"exec {sys.executable} -m thistleline"]
            (source / RUN).write_text("\n".join(lines) + "\n")
            (source / RUN).chmod(0o755)
            machines.digests[PROGRAM] = machines.releases.add(PROGRAM, source)
            await machines.order_rollout(PROGRAM, "", ("all",))
            await machines.wait_for_rollout(60, 1)
            # Whom the conductor did not know yet as the stage began is brought along once it is over.
            await machines.wait_until("all are good", partial(_good, fleet, names))
            serving = {name: machines.serving(name).incarnation for name in names}
            await anyio.sleep(SETTLE)
            pids = {"steward": [_pid(fleet.processes[one]) for one in names],
                    "its server": [int((folder / name / "lives" / f"{life}.pid").read_text())
                                   for name, life in serving.items()],
                    "conductor": [_pid(fleet.processes[one]) for one in ("c0", "c1")]}  # fmt: skip
            begun = time.monotonic()
            before = {pid: cpu_seconds(pid) for found in pids.values() for pid in found}
            await anyio.sleep(CALM)
            span = time.monotonic() - begun
            told = {what: [((cpu_seconds(pid) - before[pid]) / span, resident(pid)) for pid in found]
                    for what, found in pids.items()}  # fmt: skip
            client = LeaseClient({name: fleet.address(name) for name in fleet.names}, group, fleet.rng)
            await client.request_until_decided(Get(RECORD_KEY), 10.0)
            begun = time.monotonic()
            for _ in range(TRIPS):
                await client.request_until_decided(Get(RECORD_KEY), 10.0)
            told["a read of the council"] = [((time.monotonic() - begun) / TRIPS, 0)]
        finally:
            machines.close()
        group.cancel_scope.cancel()
    return told


def _good(fleet: Fleet, names: list[str]) -> bool:
    """Whether each steward has taken its server of this run for good."""
    return all(
        any(
            event["event"] == "good" and event["release"] == PROGRAM
            for event in fleet.processes[name].events()
        )
        for name in names
    )


def _pid(process: Process) -> int:
    assert process.process is not None
    assert process.is_running
    return process.process.pid


def real(seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    found: dict[str, list[tuple[float, int]]] = {}
    for turn in range(RUNS):
        with run_folder("control", f"lab scale --part control --seed {seed}") as folder:
            for what, each in anyio.run(processes, folder, seed + turn).items():
                found.setdefault(what, []).extend(each)
        for what, words in (
            ("python with anyio", "import anyio"),
            ("python with a steward's imports", "import thistleline.supervisor.service"),
        ):
            found.setdefault(what, []).append((0.0, bare(words)))
        tell(f"control: real processes, {turn + 1} of {RUNS}")
    trip = statistics.median(took for took, _ in found.pop("a read of the council"))
    told = {
        what: {
            "measured": len(each),
            "cores": round(statistics.median(cores for cores, _ in each), 5),
            "cores most": round(max(cores for cores, _ in each), 5),
            "resident bytes": round(statistics.median(held for _, held in each)),
            "resident bytes most": max(held for _, held in each),
        }
        for what, each in found.items()
    }
    return {"processes": told, TRIP: round(trip, 5), "machine": machine()}


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    rows = steward_rows(quick)
    tell("control: steps of a steward")
    rows += conductor_rows(quick, seed)
    tell("control: steps of a conductor")
    rows += decider_rows(quick)
    tell("control: steps of a decider of zones")
    bars = judge(rows, PROMISED)
    figures: dict[str, Any] = {
        "a steward in calm": calm_hour(),
        "a restart": a_restart(),
        "a day": {"restarts of an instance": size("restarts_day") / size("instances"),
                  "restarts a second, of all": round(size("restarts_day") / size("day_s"), 3)},
        "slots a second": SECOND / RolloutConfig().slot,
    }  # fmt: skip
    if not quick:
        more, seconds = costs(seed, tell)
        rows += more
        figures |= {**seconds, **real(seed, tell)}
        reads = next(one for one in rows if one["name"] == FIRST_READS)["at_size"]
        figures["seconds until a conductor's first decision, by reads of so long"] = {
            "as measured on loopback": round(reads * figures[TRIP], 1), "50 ms": round(reads * 0.05, 1),
        }  # fmt: skip
        bars["steward: all stewards and servers of the real runs were measured"] = all(
            figures["processes"][what]["measured"] == RUNS * MACHINES for what in ("steward", "its server")
        )
    return Part(rows=rows, figures=figures, bars=bars)
