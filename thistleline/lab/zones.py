"""Zones in virtual time: the picture and the decision as they run, against a solver that sees all, each zone
alone, and all spread over all. No I/O.

A step is a second. Work is cores; what a zone is offered beyond its capacity is shed, the least worth first,
and costs capacity itself. Servers report with noise, hear of a table some steps late, one by one.
"""

import statistics
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Any, NamedTuple

from thistleline.zones.decision import ZoneDecider
from thistleline.zones.routing import RoutingRules, RoutingTable
from thistleline.zones.status import SECOND, FleetStatusTracker, ServerReport, StatusObservation

WORTH = {0: 1.0, 1: 3.0}  # stages: lookups, bookings
EVERY = 2  # steps between two decisions
LAG = 3  # steps, at the most, until a server follows a table
WASTE = 0.3  # of the capacity, for each capacity's worth beyond it, that overload costs
BEGIN = 20  # steps without a fault


class Fault(NamedTuple):
    """Of a zone or some of its servers, from a step to another."""

    what: str  # lost, half, sick, grey, liar, stuck, burst, common, flaps
    zone: str
    since: int
    until: int

    def acts(self, step: int) -> bool:
        return self.since <= step < self.until and (self.what != "flaps" or (step - self.since) // 7 % 2 == 0)


class Fleet:
    def __init__(self, zones: int, servers: int, load: float, faults: tuple[Fault, ...], seed: int) -> None:
        """`load`: what comes, as a part of all capacity."""
        self.chance = Random(seed)
        self.names = tuple(f"z{place}" for place in range(zones))
        self.region = {name: f"r{place * 2 // zones}" for place, name in enumerate(self.names)}
        self.faults = faults
        self.each = 10.0  # cores of a server
        self.servers = {name: servers // zones for name in self.names}
        base = [self.chance.uniform(0.8, 1.2) for _ in self.names]
        self.base = {
            name: load * self.each * self.servers[name] * part * zones / sum(base)
            for name, part in zip(self.names, base, strict=True)
        }
        price = {
            (one, other): 1.0 + (3.0 if self.region[one] != self.region[other] else 0.0)
            + abs(self.names.index(one) - self.names.index(other)) / 100
            for one in self.names for other in self.names if one != other
        }  # fmt: skip
        self.rules = RoutingRules(price, WORTH)
        self.finished = dict.fromkeys((f"{name}.{k}" for name in self.names for k in range(servers)), 0)
        self.table = RoutingTable()
        self.tables: list[tuple[int, RoutingTable]] = [(0, self.table)]

    def acting(self, step: int, zone: str) -> set[str]:
        return {one.what for one in self.faults if one.acts(step) and one.zone in (zone, "")}

    def capacity(self, step: int, zone: str) -> float:
        what, whole = self.acting(step, zone), self.each * self.servers[zone]
        for name, part in (("lost", 0.0), ("flaps", 0.0), ("half", 0.5), ("sick", 0.4), ("grey", 0.3),
                           ("common", 0.6)):  # fmt: skip
            if name in what:
                whole *= part
        return whole

    def demand(self, step: int) -> dict[tuple[str, int], float]:
        found = {}
        for name in self.names:
            burst = 2.0 if "burst" in self.acting(step, name) else 1.0
            whole = self.base[name] * burst * (1 + 0.05 * self.chance.gauss(0, 1))
            found[name, 0], found[name, 1] = 0.6 * whole, 0.4 * whole
        return {key: max(0.0, work) for key, work in found.items()}

    def offered(
        self, step: int, demand: dict[tuple[str, int], float]
    ) -> dict[str, dict[tuple[str, int], float]]:
        """By zone, what comes to it by origin and stage: servers and callers follow a table one by one."""
        found: dict[str, dict[tuple[str, int], float]] = {name: {} for name in self.names}
        since, newest = self.tables[-1]
        follow = min(1.0, (step - since) / LAG)
        before = self.tables[-2][1] if len(self.tables) > 1 else newest
        for (origin, stage), work in demand.items():
            stays = 1.0
            parts: dict[str, float] = {}
            for table, weight in ((newest, follow), (before, 1 - follow)):
                for to, part in table.shares_from(origin, stage).items():
                    parts[to] = parts.get(to, 0.0) + weight * part
            for to, part in parts.items():
                found[to][origin, stage] = found[to].get((origin, stage), 0.0) + part * work
                stays -= part
            found[origin][origin, stage] = found[origin].get((origin, stage), 0.0) + max(0.0, stays) * work
        return found


def served(capacity: float, offered: dict[tuple[str, int], float]) -> dict[int, float]:
    """Work that is finished in time, by stage: the worthiest first, less what overload costs."""
    whole = sum(offered.values())
    left = capacity
    if whole > capacity > 0:
        left = capacity * max(0.5, 1 - WASTE * (whole / capacity - 1))
    found: dict[int, float] = {}
    for stage in sorted(WORTH, key=lambda stage: -WORTH[stage]):
        wanted = sum(work for (_, at), work in offered.items() if at == stage)
        found[stage] = min(left, wanted)
        left -= found[stage]
    return found


def worth_of(done: dict[int, float]) -> float:
    return sum(WORTH[stage] * work for stage, work in done.items())


def best(fleet: Fleet, demand: dict[tuple[str, int], float], room: dict[str, float]) -> float:
    """The most utility that any flows could bring, by a linear program."""
    import highspy

    solver = highspy.Highs()  # type: ignore[no-untyped-call]
    solver.silent()
    places = []
    for key in demand:
        for to in fleet.names:
            if to == key[0] or (key[0], to) in fleet.rules.cost:
                places.append((key, to))
    infinite = highspy.kHighsInf
    for key, _ in places:
        solver.addVar(0.0, infinite)
        solver.changeColCost(solver.getNumCol() - 1, -WORTH[key[1]])
    for key, work in demand.items():
        columns = [place for place, (other, _) in enumerate(places) if other == key]
        solver.addRow(-infinite, work, len(columns), columns, [1.0] * len(columns))
    for to in fleet.names:
        columns = [place for place, (_, other) in enumerate(places) if other == to]
        solver.addRow(-infinite, room[to], len(columns), columns, [1.0] * len(columns))
    solver.run()
    return -float(solver.getObjectiveValue())


class Played(NamedTuple):
    kept: float  # utility, of what the solver that sees all gets
    alone: float  # and each zone by itself
    spread: float  # and all spread over all by capacity
    near: float  # part of the work that was served in its own zone
    moves: int  # tables that were made
    toppled: int  # steps in which a receiver was over its capacity by what was moved to it
    longest_overload: int  # steps in a row in which somebody was over it though there was room for all


def play(
    zones: int, servers: int, load: float, faults: tuple[Fault, ...], seed: int, steps: int = 180
) -> Played:
    fleet = Fleet(zones, servers, load, faults, seed)
    pictures, deciding = FleetStatusTracker(fleet.names), ZoneDecider(fleet.rules, RoutingTable())
    sums: Counter[str] = Counter()
    toppled = overload = longest = 0
    work_near = work_all = 0.0
    for step in range(1, steps + 1):
        demand = fleet.demand(step)
        room = {name: fleet.capacity(step, name) for name in fleet.names}
        offered = fleet.offered(step, demand)
        over = False
        for name in fleet.names:
            done = served(room[name], offered[name])
            sums["kept"] += round(1000 * worth_of(done))
            own = sum(work for (origin, _), work in offered[name].items() if origin == name)
            all_here = sum(offered[name].values())
            toppled += step > BEGIN and own <= room[name] < 0.999 * all_here
            over = over or all_here > 1.02 * room[name]
            work_near += own
            work_all += all_here
        overload = overload + 1 if over and sum(demand.values()) < 0.8 * sum(room.values()) else 0
        longest = max(longest, overload)
        sums["best"] += round(1000 * best(fleet, demand, room))
        for name in fleet.names:
            alone = {key: work for key, work in demand.items() if key[0] == name}
            sums["alone"] += round(1000 * worth_of(served(room[name], alone)))
            part = fleet.servers[name] / sum(fleet.servers.values())
            spread = {key: work * part for key, work in demand.items()}
            sums["spread"] += round(1000 * worth_of(served(room[name], spread)))
        report(fleet, pictures, step, room, offered)
        if step % EVERY == 0:
            table = deciding.decide(pictures.status(step * SECOND))
            if table.number != fleet.table.number:
                fleet.table = table
                fleet.tables.append((step, table))
    whole = max(1, sums["best"])
    return Played(
        kept=sums["kept"] / whole,
        alone=sums["alone"] / whole,
        spread=sums["spread"] / whole,
        near=work_near / work_all,
        moves=fleet.table.number,
        toppled=toppled,
        longest_overload=longest,
    )


def report(
    fleet: Fleet,
    pictures: FleetStatusTracker,
    step: int,
    room: dict[str, float],
    offered: dict[str, dict[tuple[str, int], float]],
) -> None:
    """What servers say, and what zones see of each other."""
    for name in fleet.names:
        what, count = fleet.acting(step, name), fleet.servers[name]
        whole = sum(offered[name].values())
        good = min(1.0, room[name] / whole) if whole > 0 else 1.0
        if not {"lost", "flaps"} & what:
            for place in range(count):
                id = f"{name}.{place}"
                capacity = room[name] / count * max(0.1, fleet.chance.gauss(1.0, 0.05))
                inside = 1.0
                if "grey" in what:
                    capacity, inside = fleet.each, 1.0  # it takes itself for well
                if "liar" in what and place == 0:
                    capacity = 1e6
                if "stuck" not in what or place != 0:
                    fleet.finished[id] += 1 + int(good * whole / count)
                came = tuple((origin, stage, work / count) for (origin, stage), work in offered[name].items())
                pictures.add_report(
                    ServerReport(id, name, step * SECOND, capacity, fleet.finished[id], inside, came)
                )
        for other in fleet.names:
            if other != name:
                pictures.add_observation(
                    StatusObservation(other, name, 100, round(100 * (good if "grey" in what else 1.0)))
                )


KINDS = ("lost", "half", "sick", "grey", "liar", "stuck", "burst", "common", "flaps")


def scenario(seed: int) -> tuple[int, int, float, tuple[Fault, ...]]:
    """Zones, servers, load and one or two faults, by the seed."""
    chance = Random(seed)
    zones = chance.choice((3, 4, 6, 12))
    servers = zones * chance.choice((10, 25, 80) if zones < 12 else (10, 25))
    names = [f"z{place}" for place in range(zones)]
    faults = []
    for _ in range(chance.choice((1, 2))):
        what = chance.choice(KINDS)
        since = BEGIN + chance.randrange(20)
        where = "" if what == "common" else chance.choice(names)
        faults.append(Fault(what, where, since, since + chance.randint(30, 90)))
    return zones, servers, chance.choice((0.45, 0.6, 0.7)), tuple(faults)


def of_seed(seed: int) -> Played:
    return play(*scenario(seed), seed)


def calm(seed: int) -> Played:
    zones, servers, load, _ = scenario(seed)
    return play(zones, servers, load, (), seed, 600)


def run(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """All figures, bars and whether they held."""
    count = 16 if quick else 200
    seeds = range(seed, seed + count)
    with ProcessPoolExecutor() as pool:
        faulty = list(pool.map(of_seed, seeds))
        tell(f"{count} seeds with faults")
        quiet = list(pool.map(calm, seeds[: max(4, count // 5)]))
    kept = sorted(one.kept for one in faulty)
    tenth = kept[: max(1, count // 10)]
    found = {
        "with faults": {
            "kept_mean": round(statistics.fmean(kept), 4),
            "kept_worst_tenth": round(statistics.fmean(tenth), 4),
            "alone_mean": round(statistics.fmean(one.alone for one in faulty), 4),
            "spread_mean": round(statistics.fmean(one.spread for one in faulty), 4),
            "toppled_steps": sum(one.toppled for one in faulty),
            "longest_overload": max(one.longest_overload for one in faulty),
            "moves_mean": round(statistics.fmean(one.moves for one in faulty), 1),
        },
        "in calm": {
            "moves": sum(one.moves for one in quiet),
            "near": round(statistics.fmean(one.near for one in quiet), 5),
            "kept_mean": round(statistics.fmean(one.kept for one in quiet), 4),
        },
    }
    bars = {
        "kept: 0.95 of the solver's in the mean": found["with faults"]["kept_mean"] >= 0.95,
        "kept: 0.85 in the worst tenth": found["with faults"]["kept_worst_tenth"] >= 0.85,
        "no moves in calm": found["in calm"]["moves"] == 0,
        "near in calm: over 0.99": found["in calm"]["near"] > 0.99,
        "better than each zone alone": found["with faults"]["kept_mean"] > found["with faults"]["alone_mean"],
    }
    return {"figures": found, "bars": bars, "held": all(bars.values())}
