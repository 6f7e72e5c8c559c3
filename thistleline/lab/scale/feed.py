"""The change feed by the size of the fleet and of the table: messages and bytes of each role, time until a
change is in force, memory of a table; beside what carries configuration today, a record that all ask for.

Whole fleets in virtual time (simulation/feed_fleet.py, simulation/polled_settings.py) with the reducers that
run, one for each case, some at a time in processes of their own. Counts are the same for the same seed. How
routes, tenants and their changes look is set here (`MIX`, the values), it was not measured.
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
from thistleline.lab.scale.council import FULL
from thistleline.lab.scale.size import FOLDER, size
from thistleline.lab.scale.slopes import Part, Row, Shape, judge, loop_cpu, memory_of, row, steps_of
from thistleline.lab.simulation.feed_fleet import VirtualFeed, quantile
from thistleline.lab.simulation.feed_mutants import run_mutation_tests
from thistleline.lab.simulation.polled_settings import PolledFleet
from thistleline.supervisor.service import POLL

NAME = "feed"
DAY = 86_400
MIX = (("tenant", 0.55), ("route", 0.4), ("routes", 0.04), ("common", 0.01))  # what a change touches, taken
FEW = (2, 20)  # routes of one change that touches several
LOOKS = 0.05  # tenants an instance begins to look up in a second
HOT = 50
SLOW = (SECOND, 2500 * MS)  # a slow instance comes to its messages so often
ZONE_DEAD, WRITER_DEAD = 5 * SECOND, 20 * SECOND
WORKERS = 5  # processes of the long run beside the first, up to 1 GB each
QUICK_SIZES = [60, 200, 600, 2000]
ENTRIES = [1_000, 3_000, 10_000, 30_000]

WRITER = "feed: messages at the writer for a change"
WRITER_BYTES = "feed: bytes at the writer for a change"
RELAY = "feed: messages of a relay a second"
RELAY_BYTES = "feed: bytes of a relay a second"
INSTANCE = "feed: messages of an instance a second"
INSTANCE_BYTES = "feed: bytes of an instance a second"
COLD_BYTES = "feed: bytes of a cold start by route"
STEPS = "feed: steps to take a change by route held"
WIDE_MEMORY = "feed: bytes of an instance's table by route"
PLAIN_MEMORY = "feed: bytes of a plain dict by route"
ALL_MEMORY = "feed: bytes of a relay's table by tenant"
READS = "today: reads of the council a second"
LEADER_BYTES = "today: bytes of the council's leader a second"

PROMISED: dict[str, Shape] = {
    WRITER: "flat",
    WRITER_BYTES: "flat",
    RELAY: "linear",
    RELAY_BYTES: "linear",
    INSTANCE: "flat",
    INSTANCE_BYTES: "flat",
    COLD_BYTES: "linear",
    STEPS: "flat",
}
Tell = Callable[[str], None]


# ---- a table and its changes


def route_key(place: int) -> str:
    return f"route/svc{place % 7400:04}.method-{place}"


def tenant_key(place: int) -> str:
    return f"tenant/t{place:07}"


def route_value(chance: Random) -> bytes:
    effect = chance.choice(("restartable", "fingerprinted", "side-effecting"))
    limit, utility = chance.randint(20, 9000), chance.randint(1, 999) / 100
    return b'{"limit_ms":%d,"due_ms":%d,"effect":"%s","utility":%.2f,"late_share":0.%d}' % (
        limit, limit // 2 + 1, effect.encode(), utility, chance.randint(1, 9)
    )  # fmt: skip


def tenant_value(chance: Random) -> bytes:
    return b'{"share":0.%06d,"allowance_per_s":%d}' % (chance.randrange(10**6), chance.randrange(1, 5000))


def made_table(routes: int, tenants: int, seed: int) -> FeedTable:
    chance = Random(seed)

    def entries() -> Any:
        yield "common/tenant", b'{"share":0.0001}', 1
        for place in range(routes):
            yield route_key(place), route_value(chance), 1
        for place in range(tenants):
            yield tenant_key(place), tenant_value(chance), 1

    return FeedTable().update(1, entries())


class Changes:
    """Changes of a table, drawn from a seed."""

    def __init__(self, routes: int, tenants: int, seed: int) -> None:
        self.routes, self.tenants = routes, tenants
        self.chance, self.count = Random(seed), 0

    def tenant(self, chance: Random) -> str:
        """One of a few every other time, so that what is held changes."""
        return tenant_key(chance.randrange(min(self.tenants, chance.choice((HOT, self.tenants)))))

    def change(self) -> Propose:
        chance, self.count = self.chance, self.count + 1
        (kind,) = chance.choices([kind for kind, _ in MIX], [part for _, part in MIX])
        items: dict[str, bytes | None] = {}
        if kind == "tenant":
            items[self.tenant(chance)] = tenant_value(chance)
        elif kind == "common":
            items["common/tenant"] = b'{"share":0.%06d}' % chance.randrange(10**6)
        else:
            many = 1 if kind == "route" else chance.randint(*FEW)
            for place in chance.sample(range(self.routes), min(many, self.routes)):
                items[route_key(place)] = route_value(chance) if chance.random() < 0.97 else None
        return Propose(f"change-{self.count}", tuple(items.items()))

    def drawn(self, now: int, rate: float, seconds: float) -> Iterator[tuple[int, Propose]]:
        """So many a second, for so long from `now` on: when and which."""
        when, end = float(now), now + seconds * SECOND
        while (when := when + self.chance.expovariate(rate) * SECOND) < end:
            yield int(when), self.change()


class Load(Changes):
    """Changes to a fleet."""

    def __init__(self, fleet: VirtualFeed, routes: int, tenants: int, seed: int) -> None:
        super().__init__(routes, tenants, seed)
        self.fleet = fleet
        self.looks = Random(seed + 1)  # guards against fleets of other sizes getting other changes

    def plan(self, rate: float, seconds: float) -> None:
        """So many changes a second, from now on; and what the instances look up meanwhile."""
        fleet = self.fleet
        for at, propose in self.drawn(fleet.now, rate, seconds):
            fleet.at(at, fleet.propose, propose)
        rate = LOOKS * len(fleet.instances)
        when, end = float(fleet.now), fleet.now + seconds * SECOND
        while (when := when + self.looks.expovariate(rate) * SECOND) < end:
            key, name = self.tenant(self.looks), self.looks.choice(fleet.instances)
            for later in range(3):  # asked for, then known, then perhaps another value
                fleet.at(int(when) + later * 1500 * MS, fleet.look_up, name, key)


def case(
    load: Load, rate: float, seconds: float, fault: Callable[[], None] | None = None, after: float = 0.25
) -> dict[str, Any]:
    """Changes for so long, with a fault after this part of it; then until all stand at the newest."""
    fleet = load.fleet
    fleet.latencies.clear()
    fleet.latencies_from_first.clear()
    first, began = fleet.oracle.last, fleet.now
    names = fleet.instances
    before, above = fleet.totals(names), fleet.totals(fleet.relays)
    writer = fleet.writer().name
    (wrote,) = fleet.totals([writer])
    load.plan(rate, seconds)
    if fault is not None:
        fleet.run(began + int(seconds * after * SECOND))
        fault()
    fleet.run(began + int(seconds * SECOND))
    spent = (fleet.now - began) / SECOND
    bytes_each = [
        (new[2] + new[3] - old[2] - old[3]) / spent
        for old, new in zip(before, fleet.totals(names), strict=True)
    ]
    told_each = [
        (new[0] + new[1] - old[0] - old[1]) / spent
        for old, new in zip(before, fleet.totals(names), strict=True)
    ]
    relay_bytes = [
        (new[2] + new[3] - old[2] - old[3]) / spent
        for old, new in zip(above, fleet.totals(fleet.relays), strict=True)
    ]
    relay_told = [
        (new[0] + new[1] - old[0] - old[1]) / spent
        for old, new in zip(above, fleet.totals(fleet.relays), strict=True)
    ]
    followers = max(len(fleet.processes[one].peers) for one in fleet.relays if fleet.processes[one].alive)
    cpu = sum(new[5] - old[5] for old, new in zip(before, fleet.totals(names), strict=True))
    (written,) = fleet.totals([writer])
    settled = fleet.settle()
    changes = fleet.oracle.last - first
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
        "instance_messages_s": round(sum(told_each) / len(told_each), 3),
        "instance_cpu_share": cpu / SECOND / spent / len(names),
        "relay_bytes_s": round(sum(relay_bytes) / len(relay_bytes), 1),
        "relay_bytes_s_most": round(max(relay_bytes), 1),
        "relay_messages_s": round(sum(relay_told) / len(relay_told), 2),
        "relay_followers_most": followers,
        "writer_messages_change": round((written[0] + written[1] - wrote[0] - wrote[1]) / max(1, changes), 2),
        "writer_bytes_change": round((written[2] + written[3] - wrote[2] - wrote[3]) / max(1, changes), 1),
    }


# ---- faults


def relay_dies(fleet: VirtualFeed) -> None:
    fleet.kill(fleet.relays[0])


def of_zone(fleet: VirtualFeed, zone: int) -> list[str]:
    return [one for one in fleet.instances if fleet.processes[one].zone == zone]


def returns(fleet: VirtualFeed, names: list[str], dead: int, spread: int, cold: bool) -> None:
    """They are gone, and there again after `dead` ns and up to `spread` more."""
    for name in names:
        fleet.kill(name)
        fleet.at(fleet.now + dead + fleet.chance.randrange(spread), fleet.restart, name, cold)


def rack_returns(fleet: VirtualFeed, many: int, dead: int) -> None:
    """So many of one zone, by what they had on disk."""
    returns(fleet, of_zone(fleet, 0)[:many], dead, SECOND, False)


def zone_returns(fleet: VirtualFeed) -> None:
    """A zone's instances come up with nothing on disk, within two seconds, while the others of the largest
    region are served by the same relays."""
    returns(fleet, of_zone(fleet, 0), SECOND, 2 * SECOND, True)


def zone_lost(fleet: VirtualFeed) -> None:
    """A zone is gone with the relay that stands in it. Its instances come back, the relay does not."""
    zone = fleet.processes[fleet.relays[1]].zone
    for name in fleet.relays:
        if fleet.processes[name].zone == zone:
            fleet.kill(name)
    returns(fleet, of_zone(fleet, zone), ZONE_DEAD, 2 * SECOND, False)


def writer_dies(fleet: VirtualFeed) -> None:
    """Whoever has the lease next writes on; the old one comes back by what it had on disk."""
    returns(fleet, [fleet.writer().name], WRITER_DEAD, SECOND, False)


def some_slow(fleet: VirtualFeed) -> list[str]:
    names = fleet.chance.sample(fleet.instances, max(1, len(fleet.instances) // 100))
    for name in names:
        fleet.slow(name, fleet.chance.randint(*SLOW))
    return names


def split(load: Load, changes: int, rate: float) -> dict[str, Any]:
    """The regions lose each other, the writer is with a majority of the keepers. What an hour changes comes
    within less: what has to be caught up with depends on the changes, not on the time."""
    fleet = load.fleet
    half = range(fleet.regions - fleet.regions // 2, fleet.regions)
    away = [one.name for one in fleet.processes.values() if one.region in half and one.name[0] == "i"]
    above = [one.name for one in fleet.processes.values() if one.region in half and one.name[0] != "i"]
    fleet.is_cut = lambda one, other: (one in half) != (other in half)
    first = fleet.oracle.last
    load.plan(rate, changes / rate)
    fleet.run(fleet.now + int(changes / rate * SECOND) + 5 * SECOND)
    stood = {fleet.processes[name].number for name in away}
    fleet.is_cut = lambda one, other: False
    fleet.latencies.clear()
    healed, newest = fleet.now, fleet.oracle.last
    before, higher = fleet.totals(away), fleet.totals(above)
    load.plan(changes / 3600, 10)
    caught = [False]

    def over() -> bool:
        caught[0] = all(one.number >= newest for one in fleet.processes.values() if one.alive)
        return caught[0]

    fleet.run(fleet.now + 120 * SECOND, over)
    took = fleet.now - healed
    each = [new[2] + new[3] - old[2] - old[3] for old, new in zip(before, fleet.totals(away), strict=True)]
    higher_each = [
        new[2] + new[3] - old[2] - old[3] for old, new in zip(higher, fleet.totals(above), strict=True)
    ]
    fleet.run(max(fleet.now, healed + 10 * SECOND))
    fleet.settle()
    return {
        "changes": newest - first,
        "states_of_the_cut_side": len(stood),
        "caught_up": caught[0],
        "caught_up_s": round(took / SECOND, 2),
        "bytes_an_instance": round(sum(each) / len(each)),
        "bytes_an_instance_most": max(each),
        "bytes_a_relay_or_keeper": round(sum(higher_each) / max(1, len(higher_each))),
    }


# ---- by the fleet


def fleets(seed: int) -> tuple[list[Row], dict[str, Any], dict[str, bool]]:
    """The same changes to fleets of four sizes, with as many relays."""
    routes, tenants, rate, seconds = 300, 300, 5.0, 6.0
    found: list[dict[str, Any]] = []
    today: list[dict[str, Any]] = []
    faults: list[str] = []
    for many in QUICK_SIZES:
        fleet = VirtualFeed(made_table(routes, tenants, seed), seed, many, regions=2, relays=2, keepers=3)
        begin(fleet)
        one = case(Load(fleet, routes, tenants, seed), rate, seconds)
        faults += fleet.faults()
        found.append(one)
        polled = PolledFleet(record_entries(routes, tenants, seed), seed, many, regions=2, voters=3)
        today.append(polled_case(polled, Changes(routes, tenants, seed), rate, seconds))

    def of(name: str, unit: str, what: str, at: str = "instances", parts: int = 1) -> Row:
        sizes = [many // parts for many in QUICK_SIZES]
        per = "follower" if parts > 1 else "instance"
        there = size(at) if parts == 1 else size("instances") // 20
        return row(
            name,
            "count",
            unit,
            per,
            sizes,
            [one[what] for one in found],
            there,
            note=f"{rate:g} changes a second",
        )

    rows = [
        of(WRITER, "messages", "writer_messages_change"),
        of(WRITER_BYTES, "bytes", "writer_bytes_change"),
        of(RELAY, "messages", "relay_messages_s", parts=4),
        of(RELAY_BYTES, "bytes", "relay_bytes_s", parts=4),
        of(INSTANCE, "messages", "instance_messages_s"),
        of(INSTANCE_BYTES, "bytes", "instance_bytes_s"),
        *(
            row(name, "count", unit, "instance", QUICK_SIZES, [one[what] for one in today], size("instances"),
                note=f"{rate:g} changes a second, a record of {today[0]['entries']} entries")
            for name, unit, what in (
                (READS, "reads", "leader_reads_s"), (LEADER_BYTES, "bytes", "source_bytes_s"),
            )
        ),
    ]  # fmt: skip
    return (
        rows,
        {
            "fleets": dict(zip(map(str, QUICK_SIZES), found, strict=True)),
            "fleets that poll": dict(zip(map(str, QUICK_SIZES), today, strict=True)),
        },
        {
            f"feed: all hold the same, up to {QUICK_SIZES[-1]} instances": not faults,
            "feed: last in force under 7 s by the fleet": max(one["last_ms"] for one in found)
            < size("in_force_s") * 1000,
        },
    )


def begin(fleet: VirtualFeed) -> None:
    """All joined, somebody writes."""
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
UNBOUND, BOUND = "a record polled by all", "a record polled by all, the leader's core as measured"
FACTORS = {"calm": 1, "ten times": 10}  # of the day's rate


class Plan(NamedTuple):
    """Of the cases. `spans`: seconds of changes, without a fault and with one; `changes`: of a split."""

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
        """Seconds of changes in that case."""
        least = {"calm": 10, "a zone is lost": 12, "the writer dies": 40}.get(name, 0)
        return max(self.spans[0 if name in FACTORS else 1], least)


def rate_of(name: str) -> float:
    """Changes a second in that case."""
    return size("changes_day") / DAY * FACTORS.get(name, 10)


def fleet_case(plan: Plan, name: str) -> tuple[dict[str, Any], list[str]]:
    """One case on a fleet of its own, and all faults that were found."""
    began = process_time()
    table = made_table(plan.routes, plan.tenants, plan.seed)
    fleet = VirtualFeed(table, plan.seed, plan.instances, timed=plan.timed, **plan.shape)
    begin(fleet)
    load = Load(fleet, plan.routes, plan.tenants, plan.seed)
    faults: dict[str, Callable[[], None]] = {
        "a relay dies": lambda: relay_dies(fleet),
        "a rack returns": lambda: rack_returns(fleet, plan.rack, int(plan.span(name) / 4 * SECOND)),
        "a zone returns cold": lambda: zone_returns(fleet),
        "a zone is lost": lambda: zone_lost(fleet),
        "the writer dies": lambda: writer_dies(fleet),
    }
    if name == "split":
        told = split(load, plan.changes, plan.changes / 30)
    else:
        if name == "one in 100 slow":
            some_slow(fleet)
        told = case(load, rate_of(name), plan.span(name), faults.get(name))
    if name == "the writer dies":
        del told["writer_messages_change"], told["writer_bytes_change"]  # of the one that died
    told |= {"refused": len(fleet.refused)} | {
        f"looked up, {what}": n for what, n in fleet.lookup_counts.items()
    }
    told["cpu_s_of_this_run"] = round(process_time() - began, 1)
    return told, fleet.faults() + [f"refused: {why}" for why in fleet.refused[:3]]


def record_entries(routes: int, tenants: int, seed: int) -> Iterator[tuple[str, bytes]]:
    """All entries, so that a part of them from the beginning on has routes and tenants in proportion."""
    chance = Random(seed)
    for place in range(routes):
        yield route_key(place), route_value(chance)
        for tenant in range(tenants * place // routes, tenants * (place + 1) // routes):
            yield tenant_key(tenant), tenant_value(chance)


def polled_case(fleet: PolledFleet, changes: Changes, rate: float, seconds: float) -> dict[str, Any]:
    """The changes of `case`, to those who poll."""
    fleet.run(10 * SECOND)
    began, held, before, first = fleet.now, fleet.shares(), fleet.totals(), fleet.number
    for at, propose in changes.drawn(began, rate, seconds):
        fleet.at(at, fleet.propose, propose)
    fleet.run(began + int(seconds * SECOND))
    spent = (fleet.now - began) / SECOND
    reads, leader, instances = ((new - old) / spent for old, new in zip(before, fleet.totals(), strict=True))
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
        "records": fleet.number - first,
        "routes": held["route"],
        "tenants": held["tenant"],
        "entries": sum(held.values()),
        "carried": sum(held.values()) / (changes.routes + changes.tenants),
    }


def answered_s() -> float:
    """Reads a second that fill the leader's core, by the run of real processes."""
    told = json.loads((FOLDER / "instance.json").read_text())
    return float(told["figures"]["council"][FULL]) / POLL


def polled(plan: Plan, name: str, reads_s: float) -> dict[str, Any]:
    """Who polls, at the rate of the case `name`."""
    began = process_time()
    entries = record_entries(plan.routes, plan.tenants, plan.seed)
    regions, voters, zones = (plan.shape[what] for what in ("regions", "keepers", "zones"))
    fleet = PolledFleet(entries, plan.seed, plan.instances, regions, voters, reads_s, zones)
    changes = Changes(plan.routes, plan.tenants, plan.seed)
    told = polled_case(fleet, changes, rate_of(name), plan.span(name))
    return told | {"cpu_s_of_this_run": round(process_time() - began, 1)}


def beside(plan: Plan, found: dict[str, Any], today: dict[tuple[str, str], Any]) -> dict[str, Any]:
    """The feed and what is there today, a line each; `source`: the feed's writer, or the council's leader."""
    told: dict[str, Any] = {}
    for name in FACTORS:
        feed = found[name]
        same = ("changes", "middle_ms", "of_99_in_100_ms", "last_ms", "counted", "settled_s", "behind")
        told[f"{name}, the feed"] = {
            **{what: feed[what] for what in (*same, "instance_bytes_s")},
            "source_bytes_s": round(feed["writer_bytes_change"] * feed["changes"] / plan.span(name)),
            "routes": plan.routes,
            "tenants": plan.tenants,
            "carried": 1.0,
        }
        for way in (UNBOUND, BOUND):
            one = dict(today[name, way])
            for what in ("instance_bytes_s", "source_bytes_s", "last_ms"):
                one[f"{what}_to_the_feed"] = round(one[what] / told[f"{name}, the feed"][what], 1)
            told[f"{name}, {way}"] = one
    return told


def case_bars(found: dict[str, Any], faults: list[str]) -> dict[str, bool]:
    bound, most = size("in_force_s") * 1000, size("instance_bytes_s")
    bars = {
        f"feed: last in force under 7 s, {name}": one["last_ms"] < bound
        and not one["behind"]
        and one["counted"] > 0
        for name, one in found.items()
        if name != "split"
    }
    if "split" in found:
        bars["feed: all caught up under 7 s after a split"] = (
            found["split"]["caught_up"] and found["split"]["caught_up_s"] * 1000 < bound
        )
    for name in ("calm", "ten times"):
        if name in found:
            bars[f"feed: an instance under {most} bytes a second, {name}"] = (
                found[name]["instance_bytes_s_most"] < most
            )
    bars["feed: all end at the same digest, no number back, nothing half seen, nothing lost"] = not faults
    return bars


# ---- by the table


Told = list[tuple[str, bytes]]


def _fresh(told: Told) -> Iterator[tuple[str, bytes, int]]:
    """Strings and bytes of its own, as they come in."""
    return ((key[:1] + key[1:], value[:1] + value[1:], 1) for key, value in told)


def _state(told: Told) -> FeedTable:
    return FeedTable().update(1, _fresh(told))


def _plain(told: Told) -> dict[str, tuple[bytes, int]]:
    return {key: (value, version) for key, value, version in _fresh(told)}


def tables(seed: int, sizes: list[int]) -> list[Row]:
    """Memory of tables, steps of a change, bytes of a start from nothing."""
    wide, plain, tenants, steps, cold = [], [], [], [], []
    for many in sizes:
        told = [(route_key(place), route_value(Random(place))) for place in range(many)]
        keys = [(tenant_key(place), tenant_value(Random(place))) for place in range(many)]
        wide.append(memory_of(partial(_state, told))[0])
        plain.append(memory_of(partial(_plain, told))[0])
        tenants.append(memory_of(partial(_state, keys))[0])
        table = _state(told)
        items = ((route_key(many // 2), route_value(Random(1)), 2),)
        steps.append(steps_of(partial(table.update, 2, items)))
        cold.append(cold_bytes(table, seed))
    at = size("routes")
    return [
        row(WIDE_MEMORY, "memory", "bytes", "route", sizes, wide, at, note="keys and values with it"),
        row(
            PLAIN_MEMORY,
            "memory",
            "bytes",
            "route",
            sizes,
            plain,
            at,
            note="the same in a dict that is no state",
        ),
        row(ALL_MEMORY, "memory", "bytes", "tenant", sizes, tenants, size("tenants")),
        row(
            STEPS,
            "count",
            "steps",
            "route",
            sizes,
            steps,
            at,
            note="bytecode; of the map in C nothing is seen",
        ),
        row(COLD_BYTES, "count", "bytes", "route", sizes, cold, at),
    ]


def _resident() -> int:
    """Bytes of this process in memory."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _resident_of(make: Callable[[Told], Any], told: Told) -> int:
    gc.collect()
    before = _resident()
    made = make(told)
    gc.collect()
    after = _resident()
    del made
    return after - before


def own_table(routes: int) -> dict[str, Any]:
    """What one instance's table of the size takes, as Python counts it and as the system does, in a process
    apart each; and a plain dict of the same entries."""
    told = [(route_key(place), route_value(Random(place))) for place in range(routes)]
    found: dict[str, Any] = {"routes": routes}
    for name, make in (("table", _state), ("plain dict", _plain)):
        found[f"{name}: bytes"] = memory_of(partial(make, told))[0]
        with ProcessPoolExecutor(1, get_context("spawn")) as pool:
            found[f"{name}: resident bytes"] = pool.submit(_resident_of, make, told).result()
    return found


def cold_bytes(table: FeedTable, seed: int) -> int:
    """What one instance gets and sends that comes up with nothing."""
    fleet = VirtualFeed(table, seed, 1, regions=1, relays=1, keepers=1)
    begin(fleet)
    name = fleet.instances[0]
    fleet.restart(name, True)
    before = fleet.processes[name].got_bytes + fleet.processes[name].sent_bytes
    fleet.run(fleet.now + 30 * SECOND, lambda: fleet.processes[name].number == fleet.oracle.last)
    assert fleet.processes[name].number == fleet.oracle.last
    return fleet.processes[name].got_bytes + fleet.processes[name].sent_bytes - before


def apply_costs(table: FeedTable, repeats: int = 2000) -> dict[str, Any]:
    """Processor time to take a change of one route: with the persistent map, and with a dict that has to be
    copied so that whoever looks sees one state. Times in reference loops of this run, with the seconds."""
    loop = loop_cpu()
    keys = [route_key(place) for place in range(0, len(table.wide) - 1, max(1, len(table.wide) // 50))]
    one = table
    began = process_time()
    for place in range(repeats):
        one = one.update(one.sequence + 1, ((keys[place % len(keys)], b'{"limit_ms":1}', one.sequence + 1),))
    persistent = (process_time() - began) / repeats
    plain: dict[str, tuple[bytes, int]] = dict(table.wide.items())
    copies = max(5, repeats // 100)
    began = process_time()
    for place in range(copies):
        plain = dict(plain)
        plain[keys[place % len(keys)]] = (b"{}", place)
    copied = (process_time() - began) / copies
    return {
        "entries": len(table.wide),
        "change_in_the_map_us": round(persistent * 1e6, 1),
        "change_by_a_copied_dict_us": round(copied * 1e6, 1),
        "copy_to_map": round(copied / persistent, 1),
        "change_in_the_map_loops": persistent / loop,
    }


def measure(quick: bool, seed: int, tell: Tell) -> Part:
    if quick:
        shape = {"regions": 4, "zones": 10, "relays": 2, "keepers": 3}
        plan = Plan(seed, 1_000, 2_000, 200, shape, (6, 6), 8, 300)
    else:
        shape = {"regions": size("regions"), "zones": size("zones"), "relays": 2, "keepers": 5}
        plan = Plan(seed, size("routes"), size("tenants"), size("instances"), shape, (60, 60), size("rack"),
                    size("changes_day") // 24, True)  # fmt: skip
    figures: dict[str, Any] = {"costs of a change": apply_costs(made_table(size("routes"), 1, seed))}
    if not quick:
        figures["own table"] = own_table(size("routes"))
    reads = {UNBOUND: 0.0, BOUND: answered_s()}
    ways = [(name, way) for name in FACTORS for way in reads]
    with ProcessPoolExecutor(2 if quick else WORKERS, get_context("spawn")) as pool:
        by_size = pool.submit(fleets, seed)
        told = {name: pool.submit(fleet_case, plan, name) for name in CASES}
        today = {way: pool.submit(polled, plan, way[0], reads[way[1]]) for way in ways}
        tell("feed: tables")
        rows = tables(seed, ENTRIES)
        figures["explored"], good, caught = run_mutation_tests(1_000 if quick else 50_000, tell)
        figures["cases"] = {name: one.result()[0] for name, one in told.items()}
        figures["today"] = beside(plan, figures["cases"], {way: one.result() for way, one in today.items()})
        more, found, bars = by_size.result()
    rows += more
    figures |= found
    for name, one in (found["fleets"] | figures["cases"] | figures["today"]).items():
        tell(f"feed: {name}: {one}")
    figures["faults"] = faults = [f"{name}: {why}" for name, one in told.items() for why in one.result()[1]]
    bars |= {"feed: explored, nothing wrong": good, "feed: each protection left out is found": caught}
    bars |= judge(rows, PROMISED) | case_bars(figures["cases"], faults)
    bars |= {
        f"feed: fewer bytes an instance than a record polled by all, {name}": figures["today"][
            f"{name}, {UNBOUND}"
        ]["instance_bytes_s_to_the_feed"]
        > 1
        for name in FACTORS
    }
    return {"rows": rows, "figures": figures, "bars": bars}
