"""Zones in virtual time: the production fleet status and routing decisions, without I/O, against baselines.

A discrete-time simulation; a step is a second. Work is measured in cores. Work beyond a zone's capacity is
shed, the least valuable first, and overload reduces the capacity itself. Servers report with noise and follow
a new routing table one by one, some steps late. The baselines are a solver with full information (a linear
program), each zone by itself, and all work spread over all zones. The verdict rests on the utility compared
with the solver's, and on runs without faults, in which no work may be moved.
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

VALUE = {0: 1.0, 1: 3.0}  # utility of a unit of work, by stage: lookups, bookings
DECISION_INTERVAL = 2  # steps
MAX_TABLE_LAG = 3  # steps until every server follows a new table
OVERLOAD_COST = 0.3  # share of the capacity lost for each multiple of it offered in excess
FIRST_FAULT = 20  # first step that may have a fault


CAPACITY_LEFT = {"lost": 0.0, "flaps": 0.0, "half": 0.5, "sick": 0.4, "grey": 0.3, "common": 0.6}

Demand = dict[tuple[str, int], float]  # cores of work, by zone of origin and stage


class Fault(NamedTuple):
    """A fault of a zone or of some of its servers.

    Attributes:
        what: lost, half, sick, grey, liar, stuck, burst, common or flaps.
        zone: Where; "" for all zones.
        since: First step.
        until: First step without it.
    """

    what: str
    zone: str
    since: int
    until: int

    def is_active(self, step: int) -> bool:
        """Whether the fault is active in a step; a zone that flaps is lost in 7 of every 14 steps."""
        return self.since <= step < self.until and (self.what != "flaps" or (step - self.since) // 7 % 2 == 0)


class SimulatedFleet:
    """Zones with their servers, their demand, and the routing tables that were made."""

    def __init__(self, zones: int, servers: int, load: float, faults: tuple[Fault, ...], seed: int) -> None:
        """Make zones z0, z1, ... in two regions.

        Args:
            zones: How many.
            servers: Of all zones together.
            load: Demand as a share of the total capacity.
            faults: Faults during the run.
            seed: Of all random draws.
        """
        self.rng = Random(seed)
        self.names = tuple(f"z{index}" for index in range(zones))
        self.region = {name: f"r{index * 2 // zones}" for index, name in enumerate(self.names)}
        self.faults = faults
        self.cores_per_server = 10.0
        self.servers = {name: servers // zones for name in self.names}
        shares = [self.rng.uniform(0.8, 1.2) for _ in self.names]
        self.mean_demand = {
            name: load * self.cores_per_server * self.servers[name] * share * zones / sum(shares)
            for name, share in zip(self.names, shares, strict=True)
        }
        cost = {
            (one, other): 1.0 + (3.0 if self.region[one] != self.region[other] else 0.0)
            + abs(self.names.index(one) - self.names.index(other)) / 100
            for one in self.names for other in self.names if one != other
        }  # fmt: skip
        self.rules = RoutingRules(cost, VALUE)
        self.finished = dict.fromkeys((f"{name}.{k}" for name in self.names for k in range(servers)), 0)
        self.table = RoutingTable()
        self.tables: list[tuple[int, RoutingTable]] = [(0, self.table)]  # (step, table)

    def active_faults(self, step: int, zone: str) -> set[str]:
        """Return the kinds of faults that act on a zone in a step."""
        return {fault.what for fault in self.faults if fault.is_active(step) and fault.zone in (zone, "")}

    def capacity(self, step: int, zone: str) -> float:
        """Return the cores of a zone in a step."""
        faults = self.active_faults(step, zone)
        cores = self.cores_per_server * self.servers[zone]
        for what, share in CAPACITY_LEFT.items():
            if what in faults:
                cores *= share
        return cores

    def demand(self, step: int) -> Demand:
        """Draw the demand of all zones in a step."""
        found = {}
        for name in self.names:
            burst = 2.0 if "burst" in self.active_faults(step, name) else 1.0
            whole = self.mean_demand[name] * burst * (1 + 0.05 * self.rng.gauss(0, 1))
            found[name, 0], found[name, 1] = 0.6 * whole, 0.4 * whole
        return {key: max(0.0, work) for key, work in found.items()}

    def offered(self, step: int, demand: Demand) -> dict[str, Demand]:
        """Return the work that reaches each zone, while servers change to the newest table one by one."""
        found: dict[str, Demand] = {name: {} for name in self.names}
        since, newest = self.tables[-1]
        following = min(1.0, (step - since) / MAX_TABLE_LAG)  # share of servers that follow the newest
        previous = self.tables[-2][1] if len(self.tables) > 1 else newest
        for (origin, stage), work in demand.items():
            staying = 1.0
            shares: dict[str, float] = {}
            for table, weight in ((newest, following), (previous, 1 - following)):
                for target, share in table.shares_from(origin, stage).items():
                    shares[target] = shares.get(target, 0.0) + weight * share
            for target, share in shares.items():
                found[target][origin, stage] = found[target].get((origin, stage), 0.0) + share * work
                staying -= share
            found[origin][origin, stage] = found[origin].get((origin, stage), 0.0) + max(0.0, staying) * work
        return found


def served(capacity: float, offered: Demand) -> dict[int, float]:
    """Return the work that a zone finishes in time, by stage: the most valuable first."""
    total = sum(offered.values())
    left = capacity
    if total > capacity > 0:
        left = capacity * max(0.5, 1 - OVERLOAD_COST * (total / capacity - 1))
    found: dict[int, float] = {}
    for stage in sorted(VALUE, key=lambda stage: -VALUE[stage]):
        wanted = sum(work for (_, at), work in offered.items() if at == stage)
        found[stage] = min(left, wanted)
        left -= found[stage]
    return found


def utility_of(finished: dict[int, float]) -> float:
    """Return the utility of finished work by stage."""
    return sum(VALUE[stage] * work for stage, work in finished.items())


def best_utility(fleet: SimulatedFleet, demand: Demand, capacity: dict[str, float]) -> float:
    """Return the most utility that any routing could bring, by a linear program."""
    import highspy

    solver = highspy.Highs()  # type: ignore[no-untyped-call]
    solver.silent()
    flows = []  # a column each: (zone of origin and stage, target)
    for key in demand:
        for target in fleet.names:
            if target == key[0] or (key[0], target) in fleet.rules.cost:
                flows.append((key, target))
    infinite = highspy.kHighsInf
    for key, _ in flows:
        solver.addVar(0.0, infinite)
        solver.changeColCost(solver.getNumCol() - 1, -VALUE[key[1]])
    for key, work in demand.items():
        columns = [column for column, (other, _) in enumerate(flows) if other == key]
        solver.addRow(-infinite, work, len(columns), columns, [1.0] * len(columns))
    for target in fleet.names:
        columns = [column for column, (_, other) in enumerate(flows) if other == target]
        solver.addRow(-infinite, capacity[target], len(columns), columns, [1.0] * len(columns))
    solver.run()
    return -float(solver.getObjectiveValue())


class SimulationResult(NamedTuple):
    """The result of one run; utilities are relative to the solver's.

    Attributes:
        kept: Utility of the routing under test.
        alone: Utility of each zone by itself.
        spread: Utility of all work spread over all zones by capacity.
        near: Share of the work that was served in its own zone.
        moves: Number of new routing tables.
        overloaded_by_moves: Steps (over all zones) in which a zone was overloaded by work moved to it.
        longest_overload: Steps in a row in which some zone was overloaded though there was room for all.
    """

    kept: float
    alone: float
    spread: float
    near: float
    moves: int
    overloaded_by_moves: int
    longest_overload: int


class Tally:
    """The sums of one run, from which its result is made."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.utility: Counter[str] = Counter()  # in thousandths, by what is compared
        self.overloaded_by_moves = 0
        self.overload = 0  # current number of steps in a row
        self.longest_overload = 0
        self.work_near = 0.0
        self.work_total = 0.0

    def add_utility(self, name: str, utility: float) -> None:
        """Add the utility of a step."""
        self.utility[name] += round(1000 * utility)

    def add_step(
        self, step: int, demand: Demand, capacity: dict[str, float], offered: dict[str, Demand]
    ) -> None:
        """Add the results of the routing under test in a step."""
        any_overload = False
        for name, work in offered.items():
            self.add_utility("kept", utility_of(served(capacity[name], work)))
            near = sum(amount for (origin, _), amount in work.items() if origin == name)
            total = sum(work.values())
            self.overloaded_by_moves += step > FIRST_FAULT and near <= capacity[name] < 0.999 * total
            any_overload = any_overload or total > 1.02 * capacity[name]
            self.work_near += near
            self.work_total += total
        has_room = sum(demand.values()) < 0.8 * sum(capacity.values())
        self.overload = self.overload + 1 if any_overload and has_room else 0
        self.longest_overload = max(self.longest_overload, self.overload)

    def add_baselines(self, fleet: SimulatedFleet, demand: Demand, capacity: dict[str, float]) -> None:
        """Add the utility of the solver, of zones by themselves and of an even spread in a step."""
        self.add_utility("best", best_utility(fleet, demand, capacity))
        for name in fleet.names:
            own = {key: work for key, work in demand.items() if key[0] == name}
            self.add_utility("alone", utility_of(served(capacity[name], own)))
            share = fleet.servers[name] / sum(fleet.servers.values())
            spread = {key: work * share for key, work in demand.items()}
            self.add_utility("spread", utility_of(served(capacity[name], spread)))

    def result(self, moves: int) -> SimulationResult:
        """Return the result of a run with `moves` new routing tables."""
        best = max(1, self.utility["best"])
        return SimulationResult(
            kept=self.utility["kept"] / best,
            alone=self.utility["alone"] / best,
            spread=self.utility["spread"] / best,
            near=self.work_near / self.work_total,
            moves=moves,
            overloaded_by_moves=self.overloaded_by_moves,
            longest_overload=self.longest_overload,
        )


def simulate(
    zones: int, servers: int, load: float, faults: tuple[Fault, ...], seed: int, steps: int = 180
) -> SimulationResult:
    """Simulate a fleet for some steps; see `SimulatedFleet` for the arguments."""
    fleet = SimulatedFleet(zones, servers, load, faults, seed)
    tracker = FleetStatusTracker(fleet.names)
    decider = ZoneDecider(fleet.rules, RoutingTable())
    tally = Tally()
    for step in range(1, steps + 1):
        demand = fleet.demand(step)
        capacity = {name: fleet.capacity(step, name) for name in fleet.names}
        offered = fleet.offered(step, demand)
        tally.add_step(step, demand, capacity, offered)
        tally.add_baselines(fleet, demand, capacity)
        report(fleet, tracker, step, capacity, offered)
        if step % DECISION_INTERVAL == 0:
            table = decider.decide(tracker.status(step * SECOND))
            if table.number != fleet.table.number:
                fleet.table = table
                fleet.tables.append((step, table))
    return tally.result(fleet.table.number)


def report(
    fleet: SimulatedFleet,
    tracker: FleetStatusTracker,
    step: int,
    capacity: dict[str, float],
    offered: dict[str, Demand],
) -> None:
    """Add the reports of all servers, and the observations of zones about each other, to the tracker."""
    for name in fleet.names:
        faults = fleet.active_faults(step, name)
        total = sum(offered[name].values())
        good = min(1.0, capacity[name] / total) if total > 0 else 1.0
        if not {"lost", "flaps"} & faults:
            for index in range(fleet.servers[name]):
                tracker.add_report(_server_report(fleet, step, name, index, capacity[name], offered[name]))
        for other in fleet.names:
            if other != name:
                tracker.add_observation(
                    StatusObservation(other, name, 100, round(100 * (good if "grey" in faults else 1.0)))
                )


def _server_report(
    fleet: SimulatedFleet, step: int, zone: str, index: int, zone_capacity: float, offered: Demand
) -> ServerReport:
    """Return one server's report.

    With the fault "grey" servers report full capacity; with "liar" the first server's capacity is far too
    great, and with "stuck" its count of finished work does not grow.
    """
    faults = fleet.active_faults(step, zone)
    count = fleet.servers[zone]
    id = f"{zone}.{index}"
    total = sum(offered.values())
    good = min(1.0, zone_capacity / total) if total > 0 else 1.0
    capacity = zone_capacity / count * max(0.1, fleet.rng.gauss(1.0, 0.05))
    if "grey" in faults:
        capacity = fleet.cores_per_server
    if "liar" in faults and index == 0:
        capacity = 1e6
    if "stuck" not in faults or index != 0:
        fleet.finished[id] += 1 + int(good * total / count)
    incoming = tuple((origin, stage, work / count) for (origin, stage), work in offered.items())
    return ServerReport(id, zone, step * SECOND, capacity, fleet.finished[id], 1.0, incoming)


FAULT_KINDS = ("lost", "half", "sick", "grey", "liar", "stuck", "burst", "common", "flaps")


def scenario(seed: int) -> tuple[int, int, float, tuple[Fault, ...]]:
    """Draw zones, servers, load and one or two faults by a seed."""
    rng = Random(seed)
    zones = rng.choice((3, 4, 6, 12))
    servers = zones * rng.choice((10, 25, 80) if zones < 12 else (10, 25))
    names = [f"z{index}" for index in range(zones)]
    faults = []
    for _ in range(rng.choice((1, 2))):
        what = rng.choice(FAULT_KINDS)
        since = FIRST_FAULT + rng.randrange(20)
        where = "" if what == "common" else rng.choice(names)
        faults.append(Fault(what, where, since, since + rng.randint(30, 90)))
    return zones, servers, rng.choice((0.45, 0.6, 0.7)), tuple(faults)


def simulate_seed(seed: int) -> SimulationResult:
    """Simulate the scenario of a seed."""
    return simulate(*scenario(seed), seed)


def simulate_calm(seed: int) -> SimulationResult:
    """Simulate the scenario of a seed without its faults for 600 steps."""
    zones, servers, load, _ = scenario(seed)
    return simulate(zones, servers, load, (), seed, 600)


def run(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Run all seeds; return the figures, the criteria and whether all held."""
    count = 16 if quick else 200
    seeds = range(seed, seed + count)
    with ProcessPoolExecutor() as pool:
        faulty_results = list(pool.map(simulate_seed, seeds))
        progress(f"{count} seeds with faults")
        calm_results = list(pool.map(simulate_calm, seeds[: max(4, count // 5)]))
    kept = sorted(one.kept for one in faulty_results)
    tenth = kept[: max(1, count // 10)]
    found = {
        "with faults": {
            "kept_mean": round(statistics.fmean(kept), 4),
            "kept_worst_tenth": round(statistics.fmean(tenth), 4),
            "alone_mean": round(statistics.fmean(one.alone for one in faulty_results), 4),
            "spread_mean": round(statistics.fmean(one.spread for one in faulty_results), 4),
            "toppled_steps": sum(one.overloaded_by_moves for one in faulty_results),
            "longest_overload": max(one.longest_overload for one in faulty_results),
            "moves_mean": round(statistics.fmean(one.moves for one in faulty_results), 1),
        },
        "in calm": {
            "moves": sum(one.moves for one in calm_results),
            "near": round(statistics.fmean(one.near for one in calm_results), 5),
            "kept_mean": round(statistics.fmean(one.kept for one in calm_results), 4),
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
