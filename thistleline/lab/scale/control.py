"""Costs of the control plane: supervisors, the rollout controller and the decider of zones.

Counts steps, messages, memory and time of each by the sizes that drive it, with the real state machines and
without I/O. The long run adds supervisors, servers and rollout controllers as real processes at a consensus
cluster of three replicas, with their memory and CPU time from /proc.
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
from thistleline.lab.scale.settings_costs import FleetRollout
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
from thistleline.supervisor.releases import RUN_FILE, Releases
from thistleline.supervisor.service import POLL, SupervisorService
from thistleline.supervisor.state_machine import Supervisor
from thistleline.supervisor.timing import GOOD_AFTER
from thistleline.transport.codec import encode_frame
from thistleline.zones.decision import ZoneDecider
from thistleline.zones.routing import RoutingRules, RoutingTable
from thistleline.zones.status import REPORT_TTL, FleetStatusTracker, ServerReport

NAME = "control"
DIGESTS = ["5f" * 32, "a0" * 32]
SETTLE_S = 2.0  # from good servers until measurement
CALM_S = 12.0  # span over which CPU time is measured
PROCESS_RUNS = 3  # runs of the real processes
MACHINES = 3
PROGRAM_RELEASE = "program"  # release that the real servers run
STORED_RELEASES = 100  # releases that a machine may keep
REPORTING_SERVERS = 270  # their reports have more or fewer entries
REPEATS = 3  # runs of each timing
READ_TIME_FIGURE = "a read of the council on loopback, s"
TIMED_READS = 200  # sequential, like those of a rollout controller that takes over


def version(number: int) -> Version:
    """Return a version with settings of that number; each digest has strings of its own."""
    return Version("2.31.4", DIGESTS[0], number, f"{number:064x}", (3, 4), 4)


# ---- the supervisor

UPDATES_FIGURE = "words to members, at the most"


class SimulatedSupervisor:
    """A supervisor's state machine whose disk, releases and servers answer at once.

    Attributes:
        now: Simulated time, in ns.
        incarnation: Incarnation of the newest server.
        overlapping: Whether a successor starts beside the server that it replaces.
        supervisor: The state machine.
        costs: What was spent, by kind.
        published: Facts that members learned last.
    """

    def __init__(self, overlapping: bool) -> None:
        """Recover a supervisor that has no desired version yet."""
        self.now, self.incarnation, self.overlapping = SECOND, 0, overlapping
        self.supervisor = Supervisor(SECOND, self.now, overlapping)
        self.costs: Counter[str] = Counter()
        self.published: tuple[Any, ...] = ()
        self.handle(StateRecovered(SupervisorState(incarnation=1000), False))

    def handle(self, event: Event) -> None:
        """Handle an event and all events that its effects lead to, counting steps and inputs."""
        effects: list[Effect] = []
        handle_event = partial(self.supervisor.handle, self.now, event)
        self.costs["steps"] += steps_of(lambda: effects.extend(handle_event()))
        self.costs["inputs"] += 1
        self._count_updates()
        for effect in effects:
            self._carry_out(effect)

    def _count_updates(self) -> None:
        """Count changes of the facts that members learn (supervisor/service.py, `_publish`)."""
        supervisor, state = self.supervisor, self.supervisor.state
        serves = supervisor.serves and state.running
        published = (serves, state.incarnation, supervisor.crashes.total)
        self.costs[UPDATES_FIGURE] += published != self.published
        self.published = published

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case PersistState():
                self.costs["notes to disk"] += 1
                self.costs["bytes to disk"] += self.state_bytes()
                self.handle(StatePersisted())
            case VerifyVersion():
                self.costs["checks of a release"] += 1
                self.handle(VersionVerified(""))
            case SpawnServer(incarnation):
                predecessor, self.incarnation = self.incarnation, incarnation
                self.handle(ServerSpawned(1))
                if self.supervisor.phase == "succeeding":
                    self.handle(ServerReady(self.incarnation))
                    self.handle(ServerExited(0, predecessor))
            case TerminateServer(incarnation):
                self.handle(ServerExited(0, incarnation))

    def follow(self, number: int, restart_token: int = 0) -> None:
        """Follow a desired version until its server is taken for good."""
        self.handle(DesiredVersionReceived(DesiredVersion(7, number, version(number), restart_token)))
        self.settle()

    def settle(self) -> None:
        """Let time pass until the running server is taken for good."""
        for _ in range(2):
            self.now = max(self.now + GOOD_AFTER, self.supervisor.next_deadline())
            self.handle(DeadlineReached())

    def state_bytes(self) -> int:
        """Return the bytes of the persistent state."""
        return len(msgspec.json.encode(self.supervisor.state))

    def poll(self) -> None:
        """Handle a poll of the consensus cluster that returned nothing new, and a deadline."""
        assert self.supervisor.state.desired is not None
        self.supervisor.handle(self.now, ConsensusPolled(True))
        self.supervisor.handle(self.now, DesiredVersionReceived(self.supervisor.state.desired))
        self.supervisor.handle(self.now, DeadlineReached())


def make_supervisor(desired_versions: int, overlapping: bool = True) -> SimulatedSupervisor:
    """Return a supervisor that has followed so many desired versions."""
    supervisor = SimulatedSupervisor(overlapping)
    # Versions and incarnations all have the same number of digits.
    for number in range(1000, 1000 + desired_versions):
        supervisor.follow(number)
    return supervisor


def restart_costs() -> dict[str, dict[str, int]]:
    """Return what a restart costs a supervisor until its server is taken for good, by the cause."""
    found = {}
    for name, overlapping in (("crash", False), ("started anew", False), ("started anew, beside", True),
                         ("other settings", False), ("other settings, beside", True)):  # fmt: skip
        supervisor = make_supervisor(1, overlapping)
        supervisor.costs.clear()
        if name == "crash":
            supervisor.handle(ServerExited(1, supervisor.incarnation))
            supervisor.settle()
        else:
            supervisor.follow(1000 + ("settings" in name), 1)
        supervisor.costs[UPDATES_FIGURE] += 1  # the update once the server is warm
        costs = dict(supervisor.costs)
        costs["bytes of these words"] = costs[UPDATES_FIGURE] * update_bytes()
        # Settings that are not stored yet are requested once; all else arrives by polls.
        costs["questions to the council"] = int("settings" in name)
        found[name] = costs
    return found


def _log(event: str, **facts: Any) -> None:
    return None


def make_conf(folder: Path, text: str) -> Any:
    """Return a server's configuration with this text added; FOLDER stands for the folder."""
    return parse_config("conf", f"members name i00000\nmembers listen 127.0.0.1:9\nmembers zone z00\n"
                         f"council voter a=127.0.0.1:9\n{text}\n".replace("FOLDER", str(folder)))  # fmt: skip


def make_service(known: int, folder: Path) -> SupervisorService:
    """Return a supervisor service whose member knows so many instances."""
    conf = make_conf(folder, "steward folder FOLDER/s\nsteward plate FOLDER/p\nsteward releases FOLDER/r")
    service = SupervisorService(conf, _log)
    service.member.gossip = make_member(known, 1)
    return service


def publishing(known: int) -> Callable[[], Any]:
    """Return the call with which a supervisor publishes a working server's facts to its member.

    The service makes it every PUBLISH_INTERVAL.
    """
    with TemporaryDirectory() as folder:
        service = make_service(known, Path(folder))
    supervisor = make_supervisor(1)
    service.supervisor, service.servers.pids = supervisor.supervisor, {supervisor.incarnation: 1}
    service._publish()
    return service._publish


def steps_of_verify(releases: int) -> int:
    """Count the steps of verifying one release beside so many others."""
    with TemporaryDirectory() as folder:
        source, stored = Path(folder) / "source", Releases(Path(folder) / "releases")
        source.mkdir()
        (source / RUN_FILE).write_text("#!/bin/sh\n")
        (source / RUN_FILE).chmod(0o755)
        digests = [stored.add(f"r{index}", source) for index in range(releases)]
        return steps_of(lambda: stored.verify("r0", digests[0]))


def quiet_hour() -> dict[str, Any]:
    """Return the traffic between a supervisor and the consensus cluster while nothing changes.

    Derived from POLL and the program's own encoding; TCP acknowledgements are not counted.
    """
    desired = encode(DesiredVersion(7, 1182, version(118), 2))
    request = encode_frame(encode_client(Request(100_000, Get(desired_version_key("i00000.zone-01")))))
    answer = encode_frame(encode_client(Reply(100_000, Got(desired, 5_000_000))))
    polls = round(3600 / POLL)
    bytes_a_poll = len(request) + len(answer)
    return {
        "messages an hour": 2 * polls,
        "bytes an hour": polls * bytes_a_poll,
        "bytes a question and answer": bytes_a_poll,
        "messages a second, all stewards": round(2 * size("instances") / POLL),
    }


# ---- the rollout controller


class SimulatedRollout:
    """A rollout controller in the last stage of a change, and the servers of its fleet.

    Half of each zone runs the new version; the rest has yet to get it and waits for room. All servers work;
    `cold` of a hundred have just started.
    """

    def __init__(self, instances: int, zones: int, cold: int, seed: int) -> None:
        """Run the rollout for some slots, so that the controller has a slot to judge."""
        self.random, self.cold, self.now = Random(seed), cold, SECOND
        self.instances = [(f"i{index:05}", f"z{index % zones:02}", index // zones % 2 == 0)
                       for index in range(instances)]  # fmt: skip
        self.old, self.new = version(117), version(118)
        self.counters = [[0, 0, 0, 0, 0] for _ in self.instances]
        ids = tuple(id for id, _, _ in self.instances)
        last_stage = len(STAGES) - 1
        record = RolloutRecord(1, self.new, self.old, STAGES, 1, 1, stage_index=last_stage, targets=ids)
        self.controller = RolloutController(self.now, lambda: 1_790_000_000_000, record, RolloutTiming())
        self.run_slot()
        self.observe()
        for _ in range(4):
            self.run_slot()
            self.end_slot()
        self.run_slot()

    def run_slot(self) -> None:
        """Let all servers work for a slot and pass their statuses to the controller.

        The ids are new strings, as they are when they arrive.
        """
        self.now += self.controller.timing.slot
        statuses = []
        for index, (id, zone, new) in enumerate(self.instances):
            tasks = self.random.randint(1400, 1600)
            counts = self.counters[index]
            for kind, added in enumerate((tasks, tasks - self.random.randint(0, 90),
                                          self.random.randint(0, 60), self.random.randint(0, 20),
                                          self.random.randint(0, 30))):  # fmt: skip
                counts[kind] += added
            running = self.new if new else self.old
            statuses.append(
                ServerStatus(self.id_of(id), zone, True, running.release, running.settings, True,
                     index % 100 >= self.cold, (*counts, 96_000 + self.random.randint(0, 999), 0, 12))
            )  # fmt: skip
        self.controller.handle(self.now, ServersObserved(statuses))
        self.statuses, self.samples_before = statuses, dict(self.controller.sampler.previous)

    def id_of(self, id: str) -> str:
        """Return the id as a new string."""
        return str(id.encode(), "ascii")

    def end_slot(self) -> None:
        """End the last slot; the work is the same each time."""
        self.controller.sampler.previous = dict(self.samples_before)
        self.controller._end_slot()

    def observe(self) -> None:
        """Pass the last statuses to the controller, and a deadline at which no slot ends."""
        self.controller.next_slot = self.now + SECOND
        self.controller.handle(self.now, ServersObserved(self.statuses))
        self.controller.handle(self.now, DeadlineReached())


class CountedId(str):
    """A string that counts comparisons with others of its type.

    These happen in C, so they are no steps of bytecode.
    """

    __slots__ = ()
    comparisons: ClassVar[int] = 0

    def __eq__(self, other: object) -> bool:
        """Count the comparison and compare."""
        CountedId.comparisons += 1
        return str.__eq__(self, other)

    __hash__ = str.__hash__


class IdCountingRollout(SimulatedRollout):
    """A rollout whose ids count their comparisons."""

    def id_of(self, id: str) -> str:
        """Return the id as a counted one."""
        return CountedId(id)


def id_comparisons(instances: int, seed: int) -> int:
    """Count the comparisons of ids at the end of a slot."""
    rollout = IdCountingRollout(instances, size("zones"), 0, seed)
    CountedId.comparisons = 0
    rollout.end_slot()
    return CountedId.comparisons


class ObservationsDoneError(Exception):
    """Ends the controller's service after the requested number of observations."""


class AnsweringCluster:
    """A consensus cluster that answers at once.

    Attributes:
        reads: Reads so far.
        bytes: Bytes of their requests and answers.
        by_observation: Reads and bytes by the end of each observation of the controller.
    """

    def __init__(self, observations: int, record: RolloutRecord) -> None:
        """Answer with this rollout record, for so many observations."""
        self.observations, self.record = observations, record
        self.reads = self.bytes = 0
        self.by_observation: list[tuple[int, int]] = []

    async def request_until_decided(self, op: Op, timeout: float) -> Answer:
        """Answer a read.

        Raises:
            ObservationsDoneError: The last observation has read all that it reads.
        """
        assert isinstance(op, Get), op
        value = (
            encode(self.record) if op.key == RECORD_KEY else encode(DesiredVersion(7, 1, self.record.base))
        )
        answer = Got(b"", 0) if op.key == ORDER_KEY else Got(value, 7)
        self.reads += 1
        self.bytes += len(encode_frame(encode_client(Request(self.reads, op))))
        self.bytes += len(encode_frame(encode_client(Reply(self.reads, answer))))
        if op.key == ORDER_KEY:
            self.by_observation.append((self.reads, self.bytes))
            if len(self.by_observation) == self.observations:
                raise ObservationsDoneError
        return answer


def cluster_reads(instances: int) -> list[tuple[int, int]]:
    """Return reads of the consensus cluster and their bytes by the end of the first and second observation.

    The rollout controller takes over a fleet in which no change is under way.
    """
    base = Version("2.31.4", DIGESTS[0], 118, DIGESTS[0], (3, 4), 4)
    service = RolloutService(make_conf(Path(), ""), _log)
    service.member.gossip = make_member(instances, 1)
    cluster: Any = AnsweringCluster(2, RolloutRecord(1, version(119), base, STAGES, 1, 1, "back"))
    lease: Any = None  # nothing is written
    try:
        anyio.run(service._lead, cluster, lease)
    except ObservationsDoneError:
        return list(cluster.by_observation)
    raise AssertionError("the controller ended before its last observation")


def status_building(instances: int) -> Callable[[], Any]:
    """Return the call that builds the server statuses of an observation from the member's view."""
    service = RolloutService(make_conf(Path(), ""), _log)
    service.member.gossip = make_member(instances, 1)
    return service.server_statuses


def idle_observation(instances: int) -> Callable[[], Any]:
    """Return an observation of a fleet in which no change is under way."""
    rollout = FleetRollout(instances, instances).run()
    statuses = rollout.server_statuses()

    def observe() -> None:
        rollout.handle(ServersObserved(statuses))
        rollout.handle(DeadlineReached())

    return observe


def idle_slot(rollout: SimulatedRollout) -> Callable[[], Any]:
    """Return the end of a slot after the change is complete, in which nothing is judged any more."""
    assert rollout.controller.record is not None
    rollout.controller.record = msgspec.structs.replace(rollout.controller.record, phase="done")
    rollout.controller.analysis = None
    return rollout.end_slot


# ---- the decider of zones


class SimulatedZones:
    """Zones at three fifths of their capacity, one of which may be lost.

    Requests are spread evenly over the servers of a zone and all stages.
    """

    def __init__(self, instances: int, zones: int, stages: int, lost: bool = False) -> None:
        """Report all servers and make a first decision; with `lost`, let the first zone's reports expire."""
        self.names = [f"z{index:02}" for index in range(zones)]
        self.tracker = FleetStatusTracker(self.names)
        self.now, self.report_number = SECOND, 0
        self.reports = [(f"i{index:05}", self.names[index % zones]) for index in range(instances)]
        self.stages = stages
        self.report_all()
        price = {(origin, target): 1.0 + abs(at - to) / 100 for at, origin in enumerate(self.names)
                 for to, target in enumerate(self.names) if at != to}  # fmt: skip
        self.rules = RoutingRules(price, {stage: 1.0 + stage for stage in range(stages)})
        self.decider = ZoneDecider(self.rules, RoutingTable())
        self.decider.decide(self.fleet_status())
        if lost:
            self.now += 2 * REPORT_TTL
            self.report_all(self.names[0])
        self.status = self.fleet_status()

    def report_all(self, silent_zone: str = "") -> None:
        """Report all servers but those of one zone."""
        self.report_number += 1
        for id, zone in self.reports:
            if zone != silent_zone:
                counts = tuple((zone, stage, 6.0 / self.stages) for stage in range(self.stages))
                self.tracker.add_report(
                    ServerReport(id, zone, self.now, 10.0, self.report_number, 1.0, counts)
                )

    def fleet_status(self) -> Any:
        """Return the status of all zones by the reports."""
        return self.tracker.status(self.now)

    def decide(self) -> RoutingTable:
        """Make the next decision; it starts from the same routing table each time."""
        return ZoneDecider(self.rules, self.decider.table).decide(self.status)


# ---- what is measured


class Case(NamedTuple):
    """A row to measure, named `WHAT: QUANTITY of ... by PER`.

    Attributes:
        name: Name of the row.
        sizes: Sizes to measure.
        measured: By size: a call to count or time, an object whose memory is measured, or a count.
        note: Note of the row.
    """

    name: str
    sizes: Sequence[int]
    measured: Callable[[int], Any]
    note: str = ""

    def row(self, kind: Kind, values: Sequence[float], repeats: int = 1) -> Row:
        """Return the row of these values."""
        per, quantity = self.name.rpartition(" by ")[2], self.name.partition(": ")[2].split(" ")[0]
        unit = {"time": "loops", "memory": "bytes"}.get(quantity, quantity)
        at = {"want": size("changes_day"), "release": STORED_RELEASES, "instance": size("instances"),
              "zone": size("zones"), "stage": size("routes"), "service": size("services"),
              "entry": size("requests_s")}[per]  # fmt: skip
        return slopes.row(self.name, kind, unit, per, self.sizes, values, at, repeats, self.note)


def count_row(case: Case) -> Row:
    """Measure a case by counts."""
    measured = [case.measured(item) for item in case.sizes]
    return case.row("count", [float(steps_of(item) if callable(item) else item) for item in measured])


ENTRY_NOTE = "what came to one server of one origin and stage; at the most one for each request of a second"
LOST_ZONE_ROW = "decider: time of a decision, a zone lost, by stage"
FIRST_READS_ROW = "conductor: reads of the council before its first decision by instance"
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
    FIRST_READS_ROW: "linear",
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


def make_rollout(instances: int, cold: int, seed: int) -> SimulatedRollout:
    """Return a simulated rollout with the planned number of zones."""
    return SimulatedRollout(instances, size("zones"), cold, seed)


def make_zones(instances: int, stages: int, lost: bool = False) -> SimulatedZones:
    """Return simulated zones, as many as planned."""
    return SimulatedZones(instances, size("zones"), stages, lost)


def zones_with_entries(entries: int) -> SimulatedZones:
    """Return simulated zones whose reports have so many entries in all."""
    return make_zones(REPORTING_SERVERS, entries // REPORTING_SERVERS)


def supervisor_rows(quick: bool) -> list[Row]:
    """Count the costs of a supervisor."""
    counts, fleets = [3, 10, 30, 60], [60, 100, 300, 600] if quick else [100, 300, 1000, 3000, 6600]
    cases = [
        Case("steward: steps of a look with nothing new by want", counts, lambda n: make_supervisor(n).poll,
             "wants followed before; a day on which it has all changes"),
        Case("steward: bytes of its state by want", counts, lambda n: make_supervisor(n).state_bytes()),
        Case("steward: steps of what it tells its member by instance", fleets, publishing),
        Case("steward: steps of a check of a release by release", counts, steps_of_verify,
             "releases beside it"),
    ]  # fmt: skip
    return [count_row(case) for case in cases]


def controller_rows(quick: bool, seed: int) -> list[Row]:
    """Count the costs of the rollout controller."""
    # The sizes of the quick run leave servers of both versions in each zone.
    fleets = [54, 108, 270, 540] if quick else [60, 100, 300, 1000, 3000, 6600]
    rollouts = {n: make_rollout(n, 0, seed) for n in fleets}
    reads = {n: cluster_reads(n) for n in fleets}
    cases = [
        Case("conductor: steps of the picture for a look by instance", fleets, status_building),
        Case("conductor: steps of a look in a change by instance", fleets,
             lambda n: rollouts[n].observe, "the last stage, half changed; each look asks for the verdict"),
        Case("conductor: steps of a look in a change by zone", [3, 9, 27, 81],
             lambda n: SimulatedRollout(162, n, 0, seed).observe, "162 instances"),
        Case("conductor: steps of a slot judged by instance", fleets, lambda n: rollouts[n].end_slot),
        Case("conductor: steps of a slot judged, one in ten cold, by instance", fleets,
             lambda n: make_rollout(n, 10, seed).end_slot),
        Case("conductor: comparisons of ids in a slot by instance", fleets,
             lambda n: id_comparisons(n, seed), "in C, so no steps"),
        Case(FIRST_READS_ROW, fleets, lambda n: reads[n][0][0], "one after the other"),
        Case("conductor: reads of the council of a later look by instance", fleets,
             lambda n: reads[n][1][0] - reads[n][0][0]),
        Case("conductor: bytes of a later look's reads by instance", fleets,
             lambda n: reads[n][1][1] - reads[n][0][1]),
    ]  # fmt: skip
    return [count_row(case) for case in cases]


def decider_rows(quick: bool) -> list[Row]:
    """Count the costs of the decider of zones."""
    fleets, stages = [60, 100, 300, 600] if quick else [100, 300, 1000, 3000, 6600], [10, 30, 60, 100]
    zones = [3, 9, 27, 81]
    cases = [
        Case("decider: steps of a picture by instance", fleets,
             lambda n: make_zones(n, 2).fleet_status, "two stages"),
        Case("decider: steps of a picture by entry", [REPORTING_SERVERS * n for n in (1, 3, 10, 30)],
             lambda n: zones_with_entries(n).fleet_status, ENTRY_NOTE),
        Case("decider: steps of a picture by zone", zones, lambda n: SimulatedZones(324, n, 2).fleet_status,
             "324 instances, two stages"),
        Case("decider: steps of a decision in calm by instance", fleets, lambda n: make_zones(n, 2).decide),
        Case("decider: steps of a decision in calm by stage", stages, lambda n: make_zones(54, n).decide,
             "a stage for each route"),
        Case("decider: steps of a decision, a zone lost, by zone", zones,
             lambda n: SimulatedZones(162, n, 10, True).decide, "ten stages"),
        Case("decider: steps of a decision, a zone lost, by stage", stages,
             lambda n: make_zones(54, n, True).decide, "a stage for each route"),
    ]  # fmt: skip
    return [count_row(case) for case in cases]


def memory_and_time(seed: int, tell: Callable[[str], None]) -> tuple[list[Row], dict[str, Any]]:
    """Measure memory and time, in the long run.

    The reference loop is the median of runs throughout the measurement: a single run while another program
    held the machine made seconds come out at twice those measured.
    """
    fleets, entries = [600, 1500, 3000, 6600], [27_000, 81_000, 135_000, 270_000]
    stages = [200, 500, 1000, 2000]
    rollouts = {n: make_rollout(n, 0, seed) for n in fleets}
    memory_cases = [
        Case("conductor: memory of what it sees and judges by instance", fleets,
             lambda n: make_rollout(n, 0, seed).controller),
        Case("decider: memory of reports by entry", entries,
             lambda n: zones_with_entries(n).tracker, ENTRY_NOTE),
    ]  # fmt: skip
    time_cases = [
        Case("conductor: time of the picture for a look by instance", fleets, status_building),
        Case("conductor: time of a look at rest by instance", fleets, idle_observation),
        Case("conductor: time of a look in a change by instance", fleets,
             lambda n: rollouts[n].observe),
        Case("conductor: time of a slot judged by instance", fleets, lambda n: rollouts[n].end_slot),
        Case("conductor: time of a slot judged, one in ten cold, by instance", fleets,
             lambda n: make_rollout(n, 10, seed).end_slot),
        Case("conductor: time of a slot at rest by instance", fleets, lambda n: idle_slot(rollouts[n])),
        Case("decider: time of a picture by instance", fleets,
             lambda n: make_zones(n, 2).fleet_status, "two stages"),
        Case("decider: time of a picture by entry", entries,
             lambda n: zones_with_entries(n).fleet_status, ENTRY_NOTE),
        Case("decider: time of a decision in calm by stage", stages, lambda n: make_zones(54, n).decide),
        Case(LOST_ZONE_ROW, stages, lambda n: make_zones(54, n, True).decide, "a stage for each route"),
    ]  # fmt: skip
    rows = [
        case.row("memory", [memory_of(partial(case.measured, n))[0] for n in case.sizes])
        for case in memory_cases
    ]
    seconds: dict[str, Any] = {}
    reference_loops = [loop_cpu()]
    for case in time_cases:
        timings = [loops_of(case.measured(n), REPEATS) for n in case.sizes]
        rows.append(case.row("time", [loops for loops, _ in timings], REPEATS))
        reference_loops.append(loop_cpu())
        seconds[f"{case.name}, CPU seconds by size"] = rounded(case.sizes, [took for _, took in timings])
        tell(f"control: {case.name}: {slopes.per_one(rows[-1])}")
    service_case = Case(
        LOST_ZONE_ROW.replace("stage", "service"), stages, time_cases[-1].measured, "the same runs"
    )
    return [*rows, service_case.row("time", rows[-1]["values"], REPEATS)], {
        "loop_s": statistics.median(reference_loops),
        **seconds,
    }


# ---- the long run: real processes


def interpreter_bytes(program: str) -> int:
    """Return the resident bytes of an interpreter that has run this program and nothing more."""
    command = [sys.executable, "-c", f"{program}\nprint(flush=True)\ninput()"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT) as process:
        assert process.stdout is not None
        process.stdout.readline()
        resident_bytes = resident(process.pid)
        process.communicate(b"\n")
    return resident_bytes


async def measure_processes(folder: Path, seed: int) -> dict[str, list[tuple[float, int]]]:
    """Return cores and resident bytes of each process by its kind, over CALM_S seconds without changes."""
    async with anyio.create_task_group() as group:
        machines = SupervisedFleet(folder, group, seed, MACHINES, MACHINES)
        fleet, names = machines.fleet, [machine.name for machine in machines.machines]
        try:
            await machines.start()
            for name in (*names, "c0", "c1"):  # members with the program's gossip period, not the lab's
                fleet.processes[name].kill()
                conf = folder / f"{name}.conf"
                lines = conf.read_text().splitlines()
                conf.write_text("\n".join(line for line in lines if "members period" not in line) + "\n")
                fleet.processes[name].start()
            # The program as it is, without the figures that the lab's program publishes twice a second.
            source = folder / "sources" / PROGRAM_RELEASE
            source.mkdir()
            lines = ["#!/bin/sh", f"export PYTHONPATH='{ROOT}'", f"exec {sys.executable} -m thistleline"]
            (source / RUN_FILE).write_text("\n".join(lines) + "\n")
            (source / RUN_FILE).chmod(0o755)
            machines.digests[PROGRAM_RELEASE] = machines.releases.add(PROGRAM_RELEASE, source)
            await machines.order_rollout(PROGRAM_RELEASE, "", ("all",))
            await machines.wait_for_rollout(60, 1)
            # Servers unknown to the controller when the stage began are changed after it.
            await machines.wait_until("all are good", partial(_all_good, fleet, names))
            serving = {name: machines.serving(name).incarnation for name in names}
            await anyio.sleep(SETTLE_S)
            pids = {"steward": [_pid(fleet.processes[machine]) for machine in names],
                    "its server": [int((folder / name / "lives" / f"{incarnation}.pid").read_text())
                                   for name, incarnation in serving.items()],
                    "conductor": [_pid(fleet.processes[machine]) for machine in ("c0", "c1")]}  # fmt: skip
            started = time.monotonic()
            before = {pid: cpu_seconds(pid) for group_pids in pids.values() for pid in group_pids}
            await anyio.sleep(CALM_S)
            span = time.monotonic() - started
            usage = {kind: [((cpu_seconds(pid) - before[pid]) / span, resident(pid)) for pid in group_pids]
                    for kind, group_pids in pids.items()}  # fmt: skip
            client = LeaseClient({name: fleet.address(name) for name in fleet.names}, group, fleet.rng)
            await client.request_until_decided(Get(RECORD_KEY), 10.0)
            started = time.monotonic()
            for _ in range(TIMED_READS):
                await client.request_until_decided(Get(RECORD_KEY), 10.0)
            usage["a read of the council"] = [((time.monotonic() - started) / TIMED_READS, 0)]
        finally:
            machines.close()
        group.cancel_scope.cancel()
    return usage


def _all_good(fleet: Fleet, names: list[str]) -> bool:
    """Return whether each supervisor has taken its server of this run for good."""
    return all(
        any(
            event["event"] == "good" and event["release"] == PROGRAM_RELEASE
            for event in fleet.processes[name].events()
        )
        for name in names
    )


def _pid(process: Process) -> int:
    assert process.process is not None
    assert process.is_running
    return process.process.pid


def process_figures(seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """Measure the real processes in some runs and return their figures."""
    usage: dict[str, list[tuple[float, int]]] = {}
    for run in range(PROCESS_RUNS):
        with run_folder("control", f"lab scale --part control --seed {seed}") as folder:
            for kind, each in anyio.run(measure_processes, folder, seed + run).items():
                usage.setdefault(kind, []).extend(each)
        for kind, program in (
            ("python with anyio", "import anyio"),
            ("python with a steward's imports", "import thistleline.supervisor.service"),
        ):
            usage.setdefault(kind, []).append((0.0, interpreter_bytes(program)))
        tell(f"control: real processes, {run + 1} of {PROCESS_RUNS}")
    read_time = statistics.median(took for took, _ in usage.pop("a read of the council"))
    figures = {
        kind: {
            "measured": len(each),
            "cores": round(statistics.median(cores for cores, _ in each), 5),
            "cores most": round(max(cores for cores, _ in each), 5),
            "resident bytes": round(statistics.median(resident_bytes for _, resident_bytes in each)),
            "resident bytes most": max(resident_bytes for _, resident_bytes in each),
        }
        for kind, each in usage.items()
    }
    return {"processes": figures, READ_TIME_FIGURE: round(read_time, 5), "machine": machine()}


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the part: counts, and in the long run memory, time and real processes."""
    rows = supervisor_rows(quick)
    tell("control: steps of a supervisor")
    rows += controller_rows(quick, seed)
    tell("control: steps of a rollout controller")
    rows += decider_rows(quick)
    tell("control: steps of a decider of zones")
    bars = judge(rows, PROMISED)
    figures: dict[str, Any] = {
        "a steward in calm": quiet_hour(),
        "a restart": restart_costs(),
        "a day": {"restarts of an instance": size("restarts_day") / size("instances"),
                  "restarts a second, of all": round(size("restarts_day") / size("day_s"), 3)},
        "slots a second": SECOND / RolloutConfig().slot,
    }  # fmt: skip
    if not quick:
        cost_rows, seconds = memory_and_time(seed, tell)
        rows += cost_rows
        figures |= {**seconds, **process_figures(seed, tell)}
        first_reads = next(row for row in rows if row["name"] == FIRST_READS_ROW)["at_size"]
        figures["seconds until a conductor's first decision, by reads of so long"] = {
            "as measured on loopback": round(first_reads * figures[READ_TIME_FIGURE], 1),
            "50 ms": round(first_reads * 0.05, 1),
        }  # fmt: skip
        bars["steward: all stewards and servers of the real runs were measured"] = all(
            figures["processes"][kind]["measured"] == PROCESS_RUNS * MACHINES
            for kind in ("steward", "its server")
        )
    return Part(rows=rows, figures=figures, bars=bars)
