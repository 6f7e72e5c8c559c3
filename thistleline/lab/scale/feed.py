"""Costs of the change feed by fleet size and table size, beside those of a record that all instances poll.

Measures messages and bytes of each role, the time until a change is in force, and the memory of a table. The
polled record is how configuration is distributed today.

Whole fleets run in virtual time (`simulation/feed_fleet.py`, `simulation/polled_settings.py`) with the real
state machines, one fleet for each case, some cases at a time in processes of their own. Counts are the same
for the same seed. The form of routes, tenants and their changes (CHANGE_MIX, the values) is an assumption.
"""

import gc
import json
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from random import Random
from time import process_time
from typing import Any, NamedTuple

from thistleline.config_feed.limits import MS, SECOND
from thistleline.config_feed.messages import Propose
from thistleline.config_feed.table import FeedTable
from thistleline.lab.scale.council import FULL_CORE_FIGURE
from thistleline.lab.scale.size import FOLDER, size
from thistleline.lab.scale.slopes import Part, Row, Shape, judge, loop_cpu, memory_of, row, steps_of
from thistleline.lab.simulation.feed_fleet import VirtualFeed, quantile
from thistleline.lab.simulation.feed_mutants import run_mutation_tests
from thistleline.lab.simulation.polled_settings import PolledFleet
from thistleline.supervisor.service import POLL

NAME = "feed"
DAY = 86_400
# What a change touches, with weights.
CHANGE_MIX = (("tenant", 0.55), ("route", 0.4), ("routes", 0.04), ("common", 0.01))
ROUTES_A_CHANGE = (2, 20)  # least and most, where a change touches several
LOOKUPS_S = 0.05  # tenants that an instance starts to look up, a second
HOT_TENANTS = 50  # tenants that are drawn more often
SLOW_PACE_NS = (SECOND, 2500 * MS)  # least and most time between a slow instance's turns
ZONE_DOWN_NS, WRITER_DOWN_NS = 5 * SECOND, 20 * SECOND
WORKERS = 5  # processes of the long run beside the first, up to 1 GB each
FLEET_SIZES = [60, 200, 600, 2000]
TABLE_SIZES = [1_000, 3_000, 10_000, 30_000]

WRITER_MESSAGES_ROW = "feed: messages at the writer for a change"
WRITER_BYTES_ROW = "feed: bytes at the writer for a change"
RELAY_MESSAGES_ROW = "feed: messages of a relay a second"
RELAY_BYTES_ROW = "feed: bytes of a relay a second"
INSTANCE_MESSAGES_ROW = "feed: messages of an instance a second"
INSTANCE_BYTES_ROW = "feed: bytes of an instance a second"
COLD_BYTES_ROW = "feed: bytes of a cold start by route"
UPDATE_STEPS_ROW = "feed: steps to take a change by route held"
INSTANCE_TABLE_MEMORY_ROW = "feed: bytes of an instance's table by route"
PLAIN_DICT_MEMORY_ROW = "feed: bytes of a plain dict by route"
RELAY_TABLE_MEMORY_ROW = "feed: bytes of a relay's table by tenant"
POLLED_READS_ROW = "today: reads of the council a second"
POLLED_LEADER_BYTES_ROW = "today: bytes of the council's leader a second"

PROMISED: dict[str, Shape] = {
    WRITER_MESSAGES_ROW: "flat",
    WRITER_BYTES_ROW: "flat",
    RELAY_MESSAGES_ROW: "linear",
    RELAY_BYTES_ROW: "linear",
    INSTANCE_MESSAGES_ROW: "flat",
    INSTANCE_BYTES_ROW: "flat",
    COLD_BYTES_ROW: "linear",
    UPDATE_STEPS_ROW: "flat",
}
Tell = Callable[[str], None]


# ---- a table and its changes


def route_key(index: int) -> str:
    """Return the key of a route."""
    return f"route/svc{index % 7400:04}.method-{index}"


def tenant_key(index: int) -> str:
    """Return the key of a tenant."""
    return f"tenant/t{index:07}"


def route_value(random: Random) -> bytes:
    """Return a random value of a route."""
    effect = random.choice(("restartable", "fingerprinted", "side-effecting"))
    limit, utility = random.randint(20, 9000), random.randint(1, 999) / 100
    return b'{"limit_ms":%d,"due_ms":%d,"effect":"%s","utility":%.2f,"late_share":0.%d}' % (
        limit, limit // 2 + 1, effect.encode(), utility, random.randint(1, 9)
    )  # fmt: skip


def tenant_value(random: Random) -> bytes:
    """Return a random value of a tenant."""
    return b'{"share":0.%06d,"allowance_per_s":%d}' % (random.randrange(10**6), random.randrange(1, 5000))


def make_table(routes: int, tenants: int, seed: int) -> FeedTable:
    """Make a table of so many routes and tenants, and the tenants' common entry."""
    random = Random(seed)

    def entries() -> Any:
        yield "common/tenant", b'{"share":0.0001}', 1
        for index in range(routes):
            yield route_key(index), route_value(random), 1
        for index in range(tenants):
            yield tenant_key(index), tenant_value(random), 1

    return FeedTable().update(1, entries())


class Changes:
    """Changes to a table, drawn from a seed."""

    def __init__(self, routes: int, tenants: int, seed: int) -> None:
        """Draw changes to a table of so many routes and tenants."""
        self.routes, self.tenants = routes, tenants
        self.random, self.count = Random(seed), 0

    def tenant(self, random: Random) -> str:
        """Return a tenant's key, half the time of the hot ones, so that entries in use change."""
        return tenant_key(random.randrange(min(self.tenants, random.choice((HOT_TENANTS, self.tenants)))))

    def change(self) -> Propose:
        """Return the next change."""
        random, self.count = self.random, self.count + 1
        (kind,) = random.choices([kind for kind, _ in CHANGE_MIX], [share for _, share in CHANGE_MIX])
        items: dict[str, bytes | None] = {}
        if kind == "tenant":
            items[self.tenant(random)] = tenant_value(random)
        elif kind == "common":
            items["common/tenant"] = b'{"share":0.%06d}' % random.randrange(10**6)
        else:
            count = 1 if kind == "route" else random.randint(*ROUTES_A_CHANGE)
            for index in random.sample(range(self.routes), min(count, self.routes)):
                items[route_key(index)] = route_value(random) if random.random() < 0.97 else None
        return Propose(f"change-{self.count}", tuple(items.items()))

    def draw(self, now: int, rate: float, seconds: float) -> Iterator[tuple[int, Propose]]:
        """Yield the times and changes of a Poisson process.

        Args:
            now: Start, in ns.
            rate: Changes a second.
            seconds: Duration.
        """
        time, end = float(now), now + seconds * SECOND
        while (time := time + self.random.expovariate(rate) * SECOND) < end:
            yield int(time), self.change()


class Load(Changes):
    """Changes to a fleet, and look-ups of its instances."""

    def __init__(self, fleet: VirtualFeed, routes: int, tenants: int, seed: int) -> None:
        """Draw the changes of one fleet.

        Look-ups have a random generator of their own: with a shared one, fleets of other sizes would get
        other changes.
        """
        super().__init__(routes, tenants, seed)
        self.fleet = fleet
        self.lookup_random = Random(seed + 1)

    def plan(self, rate: float, seconds: float) -> None:
        """Schedule so many changes a second from now on, and the instances' look-ups meanwhile."""
        fleet = self.fleet
        for change_time, propose in self.draw(fleet.now, rate, seconds):
            fleet.at(change_time, fleet.propose, propose)
        rate = LOOKUPS_S * len(fleet.instances)
        time, end = float(fleet.now), fleet.now + seconds * SECOND
        while (time := time + self.lookup_random.expovariate(rate) * SECOND) < end:
            key, name = self.tenant(self.lookup_random), self.lookup_random.choice(fleet.instances)
            for repeat in range(3):  # requested, then cached, then perhaps changed
                fleet.at(int(time) + repeat * 1500 * MS, fleet.look_up, name, key)


def run_case(
    load: Load,
    rate: float,
    seconds: float,
    fault: Callable[[], None] | None = None,
    fault_share: float = 0.25,
) -> dict[str, Any]:
    """Send changes for some time, then run until the fleet has settled.

    Args:
        load: The changes and their fleet.
        rate: Changes a second.
        seconds: Duration of the changes.
        fault: Injects a fault.
        fault_share: Share of the duration after which the fault is injected.

    Returns:
        The figures of the case.
    """
    fleet = load.fleet
    fleet.latencies.clear()
    fleet.latencies_from_first.clear()
    first_number, started = fleet.oracle.last, fleet.now
    names = fleet.instances
    before, relays_before = fleet.totals(names), fleet.totals(fleet.relays)
    writer = fleet.writer().name
    (writer_before,) = fleet.totals([writer])
    load.plan(rate, seconds)
    if fault is not None:
        fleet.run(started + int(seconds * fault_share * SECOND))
        fault()
    fleet.run(started + int(seconds * SECOND))
    duration = (fleet.now - started) / SECOND
    bytes_each = [
        (new[2] + new[3] - old[2] - old[3]) / duration
        for old, new in zip(before, fleet.totals(names), strict=True)
    ]
    messages_each = [
        (new[0] + new[1] - old[0] - old[1]) / duration
        for old, new in zip(before, fleet.totals(names), strict=True)
    ]
    relay_bytes = [
        (new[2] + new[3] - old[2] - old[3]) / duration
        for old, new in zip(relays_before, fleet.totals(fleet.relays), strict=True)
    ]
    relay_messages = [
        (new[0] + new[1] - old[0] - old[1]) / duration
        for old, new in zip(relays_before, fleet.totals(fleet.relays), strict=True)
    ]
    followers = max(
        len(fleet.processes[relay].peers) for relay in fleet.relays if fleet.processes[relay].alive
    )
    cpu = sum(new[5] - old[5] for old, new in zip(before, fleet.totals(names), strict=True))
    (writer_after,) = fleet.totals([writer])
    settled = fleet.settle()
    changes = fleet.oracle.last - first_number
    return {
        "changes": changes,
        "middle_ms": quantile(fleet.latencies, 0.5),
        "of_99_in_100_ms": quantile(fleet.latencies, 0.99),
        "last_ms": max(fleet.latencies, default=0),
        "last_from_first_asking_ms": max((*fleet.latencies, *fleet.latencies_from_first), default=0),
        "counted": sum(fleet.latencies.values()),
        "settled_s": round(settled / SECOND, 2),
        "behind": fleet.behind(),
        "instance_bytes_s": round(sum(bytes_each) / len(bytes_each), 1),
        "instance_bytes_s_most": round(max(bytes_each), 1),
        "instance_messages_s": round(sum(messages_each) / len(messages_each), 3),
        "instance_cpu_share": cpu / SECOND / duration / len(names),
        "relay_bytes_s": round(sum(relay_bytes) / len(relay_bytes), 1),
        "relay_bytes_s_most": round(max(relay_bytes), 1),
        "relay_messages_s": round(sum(relay_messages) / len(relay_messages), 2),
        "relay_followers_most": followers,
        "writer_messages_change": round(
            (writer_after[0] + writer_after[1] - writer_before[0] - writer_before[1]) / max(1, changes), 2
        ),
        "writer_bytes_change": round(
            (writer_after[2] + writer_after[3] - writer_before[2] - writer_before[3]) / max(1, changes), 1
        ),
    }


# ---- faults


def kill_relay(fleet: VirtualFeed) -> None:
    """Kill a relay for good."""
    fleet.kill(fleet.relays[0])


def instances_in_zone(fleet: VirtualFeed, zone: int) -> list[str]:
    """Return the names of a zone's instances."""
    return [name for name in fleet.instances if fleet.processes[name].zone == zone]


def restart_instances(fleet: VirtualFeed, names: list[str], down: int, spread: int, cold: bool) -> None:
    """Kill the instances and restart each after `down` ns and up to `spread` ns more."""
    for name in names:
        fleet.kill(name)
        fleet.at(fleet.now + down + fleet.chance.randrange(spread), fleet.restart, name, cold)


def restart_rack(fleet: VirtualFeed, count: int, down: int) -> None:
    """Restart so many instances of a zone with the tables that they had on disk."""
    restart_instances(fleet, instances_in_zone(fleet, 0)[:count], down, SECOND, False)


def restart_zone_cold(fleet: VirtualFeed) -> None:
    """Kill all instances of zone 0 and restart each with an empty table, 1 to 3 s later.

    Zone 0 is in region 0, which has at least as many instances as any other. The relays of the region send
    the table to the restarted instances and serve its other instances at the same time.
    """
    restart_instances(fleet, instances_in_zone(fleet, 0), SECOND, 2 * SECOND, True)


def lose_zone(fleet: VirtualFeed) -> None:
    """Kill a zone with the relay in it. Its instances come back, the relay does not."""
    zone = fleet.processes[fleet.relays[1]].zone
    for name in fleet.relays:
        if fleet.processes[name].zone == zone:
            fleet.kill(name)
    restart_instances(fleet, instances_in_zone(fleet, zone), ZONE_DOWN_NS, 2 * SECOND, False)


def kill_writer(fleet: VirtualFeed) -> None:
    """Kill the writer.

    The next holder of the lease continues to write; the killed keeper comes back with the table on its disk.
    """
    restart_instances(fleet, [fleet.writer().name], WRITER_DOWN_NS, SECOND, False)


def slow_down_some(fleet: VirtualFeed) -> list[str]:
    """Slow one in 100 instances down, at least one, and return their names."""
    names = fleet.chance.sample(fleet.instances, max(1, len(fleet.instances) // 100))
    for name in names:
        fleet.slow(name, fleet.chance.randint(*SLOW_PACE_NS))
    return names


def run_partition(load: Load, changes: int, rate: float) -> dict[str, Any]:
    """Partition the regions, with the writer on the side of a majority of the keepers, then heal.

    The changes of an hour are sent within less time: what has to be caught up with depends on the changes,
    not on the time.

    Args:
        load: The changes and their fleet.
        changes: Number of changes during the partition.
        rate: Changes a second.

    Returns:
        The figures of the case.
    """
    fleet = load.fleet
    cut_regions = range(fleet.regions - fleet.regions // 2, fleet.regions)
    cut_instances = [
        place.name
        for place in fleet.processes.values()
        if place.region in cut_regions and place.name[0] == "i"
    ]
    cut_servers = [
        place.name
        for place in fleet.processes.values()
        if place.region in cut_regions and place.name[0] != "i"
    ]
    fleet.is_cut = lambda source, target: (source in cut_regions) != (target in cut_regions)
    first_number = fleet.oracle.last
    load.plan(rate, changes / rate)
    fleet.run(fleet.now + int(changes / rate * SECOND) + 5 * SECOND)
    numbers_at_heal = {fleet.processes[name].number for name in cut_instances}
    fleet.is_cut = lambda source, target: False
    fleet.latencies.clear()
    healed, newest = fleet.now, fleet.oracle.last
    before, servers_before = fleet.totals(cut_instances), fleet.totals(cut_servers)
    load.plan(changes / 3600, 10)
    caught_up = [False]

    def over() -> bool:
        caught_up[0] = all(place.number >= newest for place in fleet.processes.values() if place.alive)
        return caught_up[0]

    fleet.run(fleet.now + 120 * SECOND, over)
    took = fleet.now - healed
    instance_bytes = [
        new[2] + new[3] - old[2] - old[3]
        for old, new in zip(before, fleet.totals(cut_instances), strict=True)
    ]
    server_bytes = [
        new[2] + new[3] - old[2] - old[3]
        for old, new in zip(servers_before, fleet.totals(cut_servers), strict=True)
    ]
    fleet.run(max(fleet.now, healed + 10 * SECOND))
    fleet.settle()
    return {
        "changes": newest - first_number,
        "states_of_the_cut_side": len(numbers_at_heal),
        "caught_up": caught_up[0],
        "caught_up_s": round(took / SECOND, 2),
        "bytes_an_instance": round(sum(instance_bytes) / len(instance_bytes)),
        "bytes_an_instance_most": max(instance_bytes),
        "bytes_a_relay_or_keeper": round(sum(server_bytes) / max(1, len(server_bytes))),
    }


# ---- by the fleet


def fleet_rows(seed: int) -> tuple[list[Row], dict[str, Any], dict[str, bool]]:
    """Send the same changes to fleets of four sizes with the same number of relays.

    Returns:
        Rows, figures and criteria.
    """
    routes, tenants, rate, seconds = 300, 300, 5.0, 6.0
    feed_cases: list[dict[str, Any]] = []
    polled_cases: list[dict[str, Any]] = []
    faults: list[str] = []
    for instances in FLEET_SIZES:
        fleet = VirtualFeed(
            make_table(routes, tenants, seed), seed, instances, regions=2, relays=2, keepers=3
        )
        start_fleet(fleet)
        result = run_case(Load(fleet, routes, tenants, seed), rate, seconds)
        faults += fleet.faults()
        feed_cases.append(result)
        polled_fleet = PolledFleet(
            record_entries(routes, tenants, seed), seed, instances, regions=2, voters=3
        )
        polled_cases.append(polled_case(polled_fleet, Changes(routes, tenants, seed), rate, seconds))

    def fleet_row(name: str, unit: str, figure: str, at: str = "instances", parts: int = 1) -> Row:
        sizes = [instances // parts for instances in FLEET_SIZES]
        per = "follower" if parts > 1 else "instance"
        at_size = size(at) if parts == 1 else size("instances") // 20
        return row(
            name,
            "count",
            unit,
            per,
            sizes,
            [result[figure] for result in feed_cases],
            at_size,
            note=f"{rate:g} changes a second",
        )

    rows = [
        fleet_row(WRITER_MESSAGES_ROW, "messages", "writer_messages_change"),
        fleet_row(WRITER_BYTES_ROW, "bytes", "writer_bytes_change"),
        fleet_row(RELAY_MESSAGES_ROW, "messages", "relay_messages_s", parts=4),
        fleet_row(RELAY_BYTES_ROW, "bytes", "relay_bytes_s", parts=4),
        fleet_row(INSTANCE_MESSAGES_ROW, "messages", "instance_messages_s"),
        fleet_row(INSTANCE_BYTES_ROW, "bytes", "instance_bytes_s"),
        *(
            row(name, "count", unit, "instance", FLEET_SIZES, [result[figure] for result in polled_cases],
                size("instances"),
                note=f"{rate:g} changes a second, a record of {polled_cases[0]['entries']} entries")
            for name, unit, figure in (
                (POLLED_READS_ROW, "reads", "leader_reads_s"),
                (POLLED_LEADER_BYTES_ROW, "bytes", "source_bytes_s"),
            )
        ),
    ]  # fmt: skip
    return (
        rows,
        {
            "fleets": dict(zip(map(str, FLEET_SIZES), feed_cases, strict=True)),
            "fleets that poll": dict(zip(map(str, FLEET_SIZES), polled_cases, strict=True)),
        },
        {
            f"feed: all hold the same, up to {FLEET_SIZES[-1]} instances": not faults,
            "feed: last in force under 7 s by the fleet": max(result["last_ms"] for result in feed_cases)
            < size("in_force_s") * 1000,
        },
    )


def start_fleet(fleet: VirtualFeed) -> None:
    """Run until all have joined, with a keeper that writes."""
    fleet.give_lease_to(fleet.keepers[0])
    fleet.run(10 * SECOND)


CASES = (
    "ten times",
    "one in 100 slow",
    "a zone returns cold",
    "the writer dies",
    "a zone is lost",
    "a relay dies",
    "a rack returns",
    "split",
    "calm",
)
POLLED_UNLIMITED, POLLED_LIMITED = (
    "a record polled by all",
    "a record polled by all, the leader's core as measured",
)
RATE_FACTORS = {"calm": 1, "ten times": 10}  # of the day's mean rate


class Plan(NamedTuple):
    """Sizes of the cases.

    Attributes:
        seed: Seed of all random draws.
        routes: Routes of the table.
        tenants: Tenants of the table.
        instances: Size of the fleet.
        shape: Regions, zones, relays and keepers.
        spans: Seconds of changes without a fault, and with one.
        rack: Instances of a rack.
        changes: Changes during a partition.
        timed: Whether CPU time is measured.
    """

    seed: int
    routes: int
    tenants: int
    instances: int
    shape: dict[str, int]
    spans: tuple[float, float]
    rack: int
    changes: int
    timed: bool = False

    def span(self, name: str) -> float:
        """Return the seconds of changes of a case."""
        least = {"calm": 10, "a zone is lost": 12, "the writer dies": 40}.get(name, 0)
        return max(self.spans[0 if name in RATE_FACTORS else 1], least)


def change_rate(name: str) -> float:
    """Return the changes a second of a case."""
    return size("changes_day") / DAY * RATE_FACTORS.get(name, 10)


def fleet_case(plan: Plan, name: str) -> tuple[dict[str, Any], list[str]]:
    """Run a case on a fleet of its own; return its figures and all faults found."""
    started = process_time()
    table = make_table(plan.routes, plan.tenants, plan.seed)
    fleet = VirtualFeed(table, plan.seed, plan.instances, timed=plan.timed, **plan.shape)
    start_fleet(fleet)
    load = Load(fleet, plan.routes, plan.tenants, plan.seed)
    faults: dict[str, Callable[[], None]] = {
        "a relay dies": lambda: kill_relay(fleet),
        "a rack returns": lambda: restart_rack(fleet, plan.rack, int(plan.span(name) / 4 * SECOND)),
        "a zone returns cold": lambda: restart_zone_cold(fleet),
        "a zone is lost": lambda: lose_zone(fleet),
        "the writer dies": lambda: kill_writer(fleet),
    }
    if name == "split":
        result = run_partition(load, plan.changes, plan.changes / 30)
    else:
        if name == "one in 100 slow":
            slow_down_some(fleet)
        result = run_case(load, change_rate(name), plan.span(name), faults.get(name))
    if name == "the writer dies":
        # They would be those of the killed writer.
        del result["writer_messages_change"], result["writer_bytes_change"]
    result |= {"refused": len(fleet.refused)} | {
        f"looked up, {kind}": n for kind, n in fleet.lookup_counts.items()
    }
    result["cpu_s_of_this_run"] = round(process_time() - started, 1)
    return result, fleet.faults() + [f"refused: {why}" for why in fleet.refused[:3]]


def record_entries(routes: int, tenants: int, seed: int) -> Iterator[tuple[str, bytes]]:
    """Yield all entries, in an order whose prefixes have routes and tenants in proportion."""
    random = Random(seed)
    for index in range(routes):
        yield route_key(index), route_value(random)
        for tenant in range(tenants * index // routes, tenants * (index + 1) // routes):
            yield tenant_key(tenant), tenant_value(random)


def polled_case(fleet: PolledFleet, changes: Changes, rate: float, seconds: float) -> dict[str, Any]:
    """Send the changes of `run_case` to instances that poll a record."""
    fleet.run(10 * SECOND)
    started, shares, before, first_number = fleet.now, fleet.shares(), fleet.totals(), fleet.number
    for at, propose in changes.draw(started, rate, seconds):
        fleet.at(at, fleet.propose, propose)
    fleet.run(started + int(seconds * SECOND))
    duration = (fleet.now - started) / SECOND
    reads, leader, instances = (
        (new - old) / duration for old, new in zip(before, fleet.totals(), strict=True)
    )
    settled = fleet.settle()
    return {
        "changes": fleet.changes,
        "middle_ms": quantile(fleet.latencies, 0.5),
        "of_99_in_100_ms": quantile(fleet.latencies, 0.99),
        "last_ms": max(fleet.latencies, default=0),
        "counted": sum(fleet.latencies.values()),
        "settled_s": round(settled / SECOND, 2),
        "behind": fleet.behind(),
        "instance_bytes_s": round(instances / len(fleet.instances), 1),
        "source_bytes_s": round(leader),
        "leader_reads_s": round(reads, 1),
        "records": fleet.number - first_number,
        "routes": shares["route"],
        "tenants": shares["tenant"],
        "entries": sum(shares.values()),
        "carried": sum(shares.values()) / (changes.routes + changes.tenants),
    }


def leader_reads_s() -> float:
    """Return the reads a second that use up the leader's core, by the run of real processes."""
    result = json.loads((FOLDER / "instance.json").read_text())
    return float(result["figures"]["council"][FULL_CORE_FIGURE]) / POLL


def run_polled(plan: Plan, name: str, reads_s: float) -> dict[str, Any]:
    """Run instances that poll, at the change rate of a case."""
    started = process_time()
    entries = record_entries(plan.routes, plan.tenants, plan.seed)
    regions, voters, zones = (plan.shape[what] for what in ("regions", "keepers", "zones"))
    fleet = PolledFleet(entries, plan.seed, plan.instances, regions, voters, reads_s, zones)
    changes = Changes(plan.routes, plan.tenants, plan.seed)
    result = polled_case(fleet, changes, change_rate(name), plan.span(name))
    return result | {"cpu_s_of_this_run": round(process_time() - started, 1)}


def compare(
    plan: Plan, feed_cases: dict[str, Any], polled_cases: dict[tuple[str, str], Any]
) -> dict[str, Any]:
    """Return the feed's figures beside those of the polled record, one line each.

    The source is the feed's writer, or the leader of the consensus cluster.
    """
    lines: dict[str, Any] = {}
    for name in RATE_FACTORS:
        feed = feed_cases[name]
        shared = ("changes", "middle_ms", "of_99_in_100_ms", "last_ms", "counted", "settled_s", "behind")
        lines[f"{name}, the feed"] = {
            **{what: feed[what] for what in (*shared, "instance_bytes_s")},
            "source_bytes_s": round(feed["writer_bytes_change"] * feed["changes"] / plan.span(name)),
            "routes": plan.routes,
            "tenants": plan.tenants,
            "carried": 1.0,
        }
        for way in (POLLED_UNLIMITED, POLLED_LIMITED):
            line = dict(polled_cases[name, way])
            for what in ("instance_bytes_s", "source_bytes_s", "last_ms"):
                line[f"{what}_to_the_feed"] = round(line[what] / lines[f"{name}, the feed"][what], 1)
            lines[f"{name}, {way}"] = line
    return lines


def case_bars(cases: dict[str, Any], faults: list[str]) -> dict[str, bool]:
    """Return the criteria of the cases."""
    max_ms, max_bytes_s = size("in_force_s") * 1000, size("instance_bytes_s")
    bars = {
        f"feed: last in force under 7 s, {name}": case["last_ms"] < max_ms
        and not case["behind"]
        and case["counted"] > 0
        for name, case in cases.items()
        if name != "split"
    }
    if "split" in cases:
        bars["feed: all caught up under 7 s after a split"] = (
            cases["split"]["caught_up"] and cases["split"]["caught_up_s"] * 1000 < max_ms
        )
    for name in ("calm", "ten times"):
        if name in cases:
            bars[f"feed: an instance under {max_bytes_s} bytes a second, {name}"] = (
                cases[name]["instance_bytes_s_most"] < max_bytes_s
            )
    bars["feed: all end at the same digest, no number back, nothing half seen, nothing lost"] = not faults
    return bars


# ---- by the table


Items = list[tuple[str, bytes]]


def _copied_entries(items: Items) -> Iterator[tuple[str, bytes, int]]:
    """Yield entries with strings and bytes of their own, as they are when they arrive."""
    return ((key[:1] + key[1:], value[:1] + value[1:], 1) for key, value in items)


def _make_feed_table(items: Items) -> FeedTable:
    return FeedTable().update(1, _copied_entries(items))


def _make_dict(items: Items) -> dict[str, tuple[bytes, int]]:
    return {key: (value, version) for key, value, version in _copied_entries(items)}


def table_rows(seed: int, sizes: list[int]) -> list[Row]:
    """Measure the memory of tables, the steps of a change and the bytes of a cold start."""
    instance_bytes, dict_bytes, relay_bytes, steps, start_bytes = [], [], [], [], []
    for entries in sizes:
        routes = [(route_key(index), route_value(Random(index))) for index in range(entries)]
        tenants_items = [(tenant_key(index), tenant_value(Random(index))) for index in range(entries)]
        instance_bytes.append(memory_of(partial(_make_feed_table, routes))[0])
        dict_bytes.append(memory_of(partial(_make_dict, routes))[0])
        relay_bytes.append(memory_of(partial(_make_feed_table, tenants_items))[0])
        table = _make_feed_table(routes)
        items = ((route_key(entries // 2), route_value(Random(1)), 2),)
        steps.append(steps_of(partial(table.update, 2, items)))
        start_bytes.append(cold_bytes(table, seed))
    at = size("routes")
    return [
        row(
            INSTANCE_TABLE_MEMORY_ROW,
            "memory",
            "bytes",
            "route",
            sizes,
            instance_bytes,
            at,
            note="keys and values with it",
        ),
        row(
            PLAIN_DICT_MEMORY_ROW,
            "memory",
            "bytes",
            "route",
            sizes,
            dict_bytes,
            at,
            note="the same in a dict that is no state",
        ),
        row(RELAY_TABLE_MEMORY_ROW, "memory", "bytes", "tenant", sizes, relay_bytes, size("tenants")),
        row(
            UPDATE_STEPS_ROW,
            "count",
            "steps",
            "route",
            sizes,
            steps,
            at,
            note="bytecode; of the map in C nothing is seen",
        ),
        row(COLD_BYTES_ROW, "count", "bytes", "route", sizes, start_bytes, at),
    ]


def _resident_bytes() -> int:
    """Return this process's resident bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _resident_bytes_of(make: Callable[[Items], Any], items: Items) -> int:
    gc.collect()
    before = _resident_bytes()
    made = make(items)
    gc.collect()
    after = _resident_bytes()
    del made
    return after - before


def instance_table_bytes(routes: int) -> dict[str, Any]:
    """Measure the bytes of one instance's table of the planned size, and of a plain dict of its entries.

    Measured as Python counts them and as the system does, the latter in a process of its own for each.
    """
    items = [(route_key(index), route_value(Random(index))) for index in range(routes)]
    found: dict[str, Any] = {"routes": routes}
    for name, make in (("table", _make_feed_table), ("plain dict", _make_dict)):
        found[f"{name}: bytes"] = memory_of(partial(make, items))[0]
        with ProcessPoolExecutor(1, get_context("spawn")) as pool:
            found[f"{name}: resident bytes"] = pool.submit(_resident_bytes_of, make, items).result()
    return found


def cold_bytes(table: FeedTable, seed: int) -> int:
    """Return the bytes received and sent by one instance that starts with no table."""
    fleet = VirtualFeed(table, seed, 1, regions=1, relays=1, keepers=1)
    start_fleet(fleet)
    name = fleet.instances[0]
    fleet.restart(name, True)
    before = fleet.processes[name].got_bytes + fleet.processes[name].sent_bytes
    fleet.run(fleet.now + 30 * SECOND, lambda: fleet.processes[name].number == fleet.oracle.last)
    assert fleet.processes[name].number == fleet.oracle.last
    return fleet.processes[name].got_bytes + fleet.processes[name].sent_bytes - before


def update_costs(table: FeedTable, repeats: int = 2000) -> dict[str, Any]:
    """Measure the CPU time of a change to one route, in the persistent map and in a dict.

    The dict has to be copied so that readers see one state. The persistent map's time is also given in
    reference loops of this run.
    """
    loop = loop_cpu()
    keys = [route_key(index) for index in range(0, len(table.wide) - 1, max(1, len(table.wide) // 50))]
    current = table
    started = process_time()
    for index in range(repeats):
        current = current.update(
            current.sequence + 1, ((keys[index % len(keys)], b'{"limit_ms":1}', current.sequence + 1),)
        )
    map_s = (process_time() - started) / repeats
    plain: dict[str, tuple[bytes, int]] = dict(table.wide.items())
    copies = max(5, repeats // 100)
    started = process_time()
    for index in range(copies):
        plain = dict(plain)
        plain[keys[index % len(keys)]] = (b"{}", index)
    copy_s = (process_time() - started) / copies
    return {
        "entries": len(table.wide),
        "change_in_the_map_us": round(map_s * 1e6, 1),
        "change_by_a_copied_dict_us": round(copy_s * 1e6, 1),
        "copy_to_map": round(copy_s / map_s, 1),
        "change_in_the_map_loops": map_s / loop,
    }


def measure(quick: bool, seed: int, tell: Tell) -> Part:
    """Measure the part: tables, fleets, cases with faults, and the polled record."""
    if quick:
        shape = {"regions": 4, "zones": 10, "relays": 2, "keepers": 3}
        plan = Plan(seed, 1_000, 2_000, 200, shape, (6, 6), 8, 300)
    else:
        shape = {"regions": size("regions"), "zones": size("zones"), "relays": 2, "keepers": 5}
        plan = Plan(seed, size("routes"), size("tenants"), size("instances"), shape, (60, 60), size("rack"),
                    size("changes_day") // 24, True)  # fmt: skip
    figures: dict[str, Any] = {"costs of a change": update_costs(make_table(size("routes"), 1, seed))}
    if not quick:
        figures["own table"] = instance_table_bytes(size("routes"))
    reads = {POLLED_UNLIMITED: 0.0, POLLED_LIMITED: leader_reads_s()}
    ways = [(name, way) for name in RATE_FACTORS for way in reads]
    with ProcessPoolExecutor(2 if quick else WORKERS, get_context("spawn")) as pool:
        by_size = pool.submit(fleet_rows, seed)
        feed_cases = {name: pool.submit(fleet_case, plan, name) for name in CASES}
        polled_cases = {way: pool.submit(run_polled, plan, way[0], reads[way[1]]) for way in ways}
        tell("feed: tables")
        rows = table_rows(seed, TABLE_SIZES)
        figures["explored"], explored_clean, mutants_found = run_mutation_tests(
            1_000 if quick else 50_000, tell
        )
        figures["cases"] = {name: future.result()[0] for name, future in feed_cases.items()}
        figures["today"] = compare(
            plan, figures["cases"], {way: future.result() for way, future in polled_cases.items()}
        )
        more_rows, fleet_figures, bars = by_size.result()
    rows += more_rows
    figures |= fleet_figures
    for name, result in (fleet_figures["fleets"] | figures["cases"] | figures["today"]).items():
        tell(f"feed: {name}: {result}")
    figures["faults"] = faults = [
        f"{name}: {why}" for name, future in feed_cases.items() for why in future.result()[1]
    ]
    bars |= {
        "feed: explored, nothing wrong": explored_clean,
        "feed: each protection left out is found": mutants_found,
    }
    bars |= judge(rows, PROMISED) | case_bars(figures["cases"], faults)
    bars |= {
        f"feed: fewer bytes an instance than a record polled by all, {name}": figures["today"][
            f"{name}, {POLLED_UNLIMITED}"
        ]["instance_bytes_s_to_the_feed"]
        > 1
        for name in RATE_FACTORS
    }
    return {"rows": rows, "figures": figures, "bars": bars}
