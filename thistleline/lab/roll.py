"""Rolls in virtual time: the conductor and its judge as they run, servers by their figures alone.

What a server does in a slot is drawn: a base that all of a zone share (bursts, shifts of traffic), its own
neighbour's trouble now and then, being cold, what the release does, and noise. The conductor hears figures as
members' facts bring them, and nothing else.
"""

import statistics
import subprocess
import traceback
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio

from thistleline.lab.harness import Fleet, folder_of
from thistleline.lab.machines import HARMFUL, HARMLESS, ROOT, Machines
from thistleline.rollout.canary import CanaryAnalysis, Judgement, Verdict
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import SetDesiredVersion, StoreRecord
from thistleline.rollout.events import OrderReceived, RecordStored, ServersObserved, TimerExpired
from thistleline.rollout.metrics import SlotSample
from thistleline.rollout.order import Order
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.stages import STAGES
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.supervisor.model import Version

OLD, NEW = Version("1", "d1", 1, "s1"), Version("2", "d2", 1, "s1")
TIMING = RolloutTiming()
STEP = 5 * SECOND
RESTART, COLD = 4, 6  # steps down, and cold, after a change
RATE = 80  # tasks of a server in a step


class Harm(NamedTuple):
    """What the new release does. `served`: part of the utility that it costs."""

    what: str = "none"
    served: float = 0.0
    zone: str = ""  # there alone
    cold_only: bool = False
    slow: float = 0.0
    leak: int = 0  # kB a step
    crash_after: int = 0  # steps; 0: never
    silent: bool = False  # runs, and says nothing of itself
    starts: bool = True
    dear: float = 0.0  # part of the utility that it drops beside, with as many tasks finished as before


class Server:
    def __init__(self, id: str, zone: str, chance: Random) -> None:
        self.id, self.zone, self.chance = id, zone, chance
        self.runs, self.should = OLD, OLD
        self.down = 0  # steps left
        self.turn, self.again = 0, False
        self.age = 1000
        self.figures = [0, 0, 0, 0, 0, 100_000, 0, 1]
        self.worth = [0, 0]
        self.trouble = 0  # steps left of a neighbour's

    def want(self, version: Version, turn: int) -> None:
        self.should = version
        self.again = turn != 0 and turn != self.turn
        self.turn = turn

    def step(self, burst: float, harm: Harm, down_by_itself: bool) -> tuple[float, int]:
        """Utility lost to the release, and tasks, of this step."""
        chance = self.chance
        stuck = self.runs == NEW and not harm.starts
        if (self.should != self.runs and (not self.down or stuck)) or (self.again and not self.down):
            self.again = False
            self.down = RESTART
            self.runs = self.should
            self.age = 0
            self.figures[7] += 1
            self.figures[:5], self.worth[:] = [0] * 5, [0, 0]
            self.figures[5] = 100_000
        if self.down:
            if self.runs == NEW and not harm.starts:
                self.figures[6] += 1
                return 0.0, 0
            self.down -= 1
            return 0.0, 0
        if down_by_itself:
            self.down = RESTART
            self.figures[7] += 1
            self.figures[:5], self.worth[:] = [0] * 5, [0, 0]
            self.age = 0
            return 0.0, 0
        self.age += 1
        if self.trouble:
            self.trouble -= 1
        elif chance.random() < 0.004:
            self.trouble = chance.randint(4, 40)
        new = self.runs == NEW
        cold = self.age <= COLD
        hit = new and (not harm.zone or harm.zone == self.zone) and (cold or not harm.cold_only)
        if new and harm.crash_after and self.age >= harm.crash_after:
            self.figures[6] += 1
            self.figures[7] += 1
            self.figures[:5], self.worth[:] = [0] * 5, [0, 0]
            self.age = 0
            self.down = 1
            return 0.0, 0
        tasks = max(0, round(chance.gauss(RATE * (1 + burst), 8)))
        lost = harm.served if hit else 0.0
        served = 0.94 - burst * 0.5 - (0.15 if self.trouble else 0) - (0.1 if cold else 0) - lost
        served = min(1.0, max(0.0, chance.gauss(served, 0.03)))
        finished = round(tasks * served)
        slow = (
            0.05
            + burst * 0.3
            + (0.2 if self.trouble else 0)
            + (0.1 if cold else 0)
            + (harm.slow if hit else 0)
        )
        rest = tasks - finished
        rejected = round(rest * 0.6)
        more = (
            tasks,
            finished,
            rejected,
            rest - rejected,
            round(finished * min(1.0, max(0.0, chance.gauss(slow, 0.03)))),
        )
        for place, value in enumerate(more):
            self.figures[place] += value
        self.figures[5] += harm.leak if hit else 0
        dear = harm.dear if hit else 0.0
        self.worth[0] += 1000 * tasks
        self.worth[1] += round(1000 * finished * (1 - dear))
        return lost * tasks + dear * finished, tasks

    def seen(self, harm: Harm) -> ServerStatus:
        up = not self.down
        mute = up and self.runs == NEW and harm.silent
        figures = () if mute else tuple(self.figures)
        runs = (self.runs.release, self.runs.settings) if up else ("", 0)
        worth = (self.worth[0], self.worth[1])
        return ServerStatus(self.id, self.zone, True, *runs, up, self.age > COLD, figures, worth)


class Threshold(CanaryAnalysis):
    """For comparison: worse by so much in so many slots in a row, new ones against old ones over all zones,
    or against what old ones did last where none are left."""

    LIMIT, IN_A_ROW = 0.02, 3

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self.in_a_row = 0
        self.old = 0.0

    def add_slot(self, samples: Iterable[SlotSample], expected: Iterable[str]) -> None:
        told = list(samples)
        super().add_slot(told, expected)
        new = [one.served for one in told if one.new and one.tasks]
        old = [one.served for one in told if not one.new and one.tasks]
        self.old = statistics.fmean(old) if old else self.old
        worse = bool(new) and self.old - statistics.fmean(new) > self.LIMIT
        self.in_a_row = self.in_a_row + 1 if worse else 0

    def judge(self, zone_of: dict[str, str]) -> Judgement:
        if self.health.fault or self.in_a_row >= self.IN_A_ROW:
            return Judgement("worse", [], self.health.fault or "the threshold")
        verdict: Verdict = "not worse" if self.slots >= self.min_slots else "can't tell"
        return Judgement(verdict, [], "the threshold")


RULES: dict[str, tuple[Callable[..., CanaryAnalysis], tuple[str, ...]]] = {
    "judge": (CanaryAnalysis, STAGES),
    "threshold": (Threshold, STAGES),
    "all at once": (Threshold, ("all",)),
}


class Rolled(NamedTuple):
    phase: str
    steps: int
    most_new: int  # servers that ever ran the new one
    lost: float  # of the utility of what came, to the release
    why: str
    most_down: int


def roll(
    servers: int,
    zones: int,
    harm: Harm,
    seed: int,
    steps: int = 3000,
    deaths: float = 0.0002,
    successions: float = 0.0,
    rule: str = "judge",
) -> Rolled:
    """One change under bursts, shifts, neighbours and deaths, till it is done or back. `successions`: of
    conductors, a step and an effect; each knows what was recorded and nothing else. `rule`: of RULES."""
    chance = Random(seed)
    fleet = [
        Server(f"s{place:04}", f"z{place % zones}", Random(chance.getrandbits(64)))
        for place in range(servers)
    ]
    now = 0

    def wall() -> int:
        return now // 1_000_000

    judge, stages = RULES[rule]
    controller = RolloutController(now, wall, None, TIMING, judge)
    down = servers if len(stages) == 1 else max(1, servers // 10)
    order = Order(1, "start", "", NEW, OLD, stages, down, max(1, down // 2))
    record: RolloutRecord | None = None
    burst = {f"z{zone}": 0.0 for zone in range(zones)}
    ever: set[str] = set()
    lost = came = 0.0
    most_down = 0
    for step in range(1, steps + 1):
        now += STEP
        for zone in burst:  # bursts that last, and traffic that shifts from one zone to another
            if chance.random() < 0.03:
                burst[zone] = chance.choice((0.0, 0.0, 0.1, 0.3))
        for server in fleet:
            cost, tasks = server.step(burst[server.zone], harm, chance.random() < deaths)
            lost, came = lost + cost, came + tasks
            if server.runs == NEW:
                ever.add(server.id)
        most_down = max(most_down, sum(1 for one in fleet if one.down))
        if chance.random() < successions:
            controller = RolloutController(now, wall, record, TIMING, judge)
        effects = controller.handle(now, ServersObserved([one.seen(harm) for one in fleet]))
        if step >= 20 and record is None:
            effects += controller.handle(now, OrderReceived(order))
        effects += controller.handle(now, TimerExpired())
        by_id = {one.id: one for one in fleet}
        while effects:
            effect = effects.pop(0)
            if chance.random() < successions:  # it dies between two effects
                controller = RolloutController(now, wall, record, TIMING, judge)
                break
            match effect:
                case StoreRecord(stored):
                    record = stored
                    effects += controller.handle(now, RecordStored())
                case SetDesiredVersion(id, version, restart_token):
                    by_id[id].want(version, restart_token)
        if record is not None and (record.is_over or record.phase == "asking"):
            break
    why = record.reason if record is not None else ""
    return Rolled(record.phase if record else "none", step, len(ever), lost / max(1.0, came), why, most_down)


HARMS = (
    Harm("1% worse", 0.01), Harm("2% worse", 0.02), Harm("5% worse", 0.05), Harm("20% worse", 0.20),
    Harm("20% worse in one zone", 0.20, zone="z1"), Harm("30% worse when cold", 0.30, cold_only=True),
    Harm("slower in one stage", slow=0.20), Harm("leaks", leak=8000),
    Harm("dies after a minute", crash_after=12),
    Harm("does not start", starts=False), Harm("says nothing", silent=True),
    Harm("drops a tenth, the dear ones", dear=0.10),
)  # fmt: skip


def interval(hits: int, count: int) -> tuple[float, float]:
    """Wilson's, 95%."""
    if not count:
        return 0.0, 1.0
    z, part = 1.96, hits / count
    middle = (part + z * z / (2 * count)) / (1 + z * z / count)
    width = z * (part * (1 - part) / count + z * z / (4 * count * count)) ** 0.5 / (1 + z * z / count)
    return round(max(0.0, middle - width), 4), round(min(1.0, middle + width), 4)


def figures_of(runs: list[Rolled], servers: int) -> dict[str, Any]:
    phases = Counter(one.phase for one in runs)
    stopped = phases["back"] + phases["backing"]
    return {
        "done": phases["done"],
        "stopped": stopped,
        "asked": phases["asking"],
        "stopped_interval": interval(stopped, len(runs)),
        "part_reached_p50": round(statistics.median(one.most_new for one in runs) / servers, 3),
        "part_reached_most": round(max(one.most_new for one in runs) / servers, 3),
        "utility_lost": round(statistics.fmean(one.lost for one in runs), 5),
        "steps_p50": statistics.median(one.steps for one in runs),
        "most_down": max(one.most_down for one in runs),
    }


def figures(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """By servers, harm and rule; runs are shared out over the cores, the figures are the same in any number
    of processes."""
    asked: dict[str, tuple[int, Harm, str, int]] = {}
    for servers, count in ((30, 6),) if quick else ((30, 200), (300, 200), (1000, 200)):
        for harm in (Harm(), *HARMS) if servers <= 300 else (Harm(), *HARMS[:4]):
            for rule in RULES if servers == 300 and harm in (Harm(), *HARMS[:4]) else ("judge",):
                name = f"{servers} servers, {harm.what}" + (f", {rule}" if rule != "judge" else "")
                asked[name] = servers, harm, rule, count
    found: dict[str, Any] = {}
    with ProcessPoolExecutor() as pool:
        runs = {
            name: [pool.submit(roll, servers, 3, harm, seed + run, rule=rule) for run in range(count)]
            for name, (servers, harm, rule, count) in asked.items()
        }
        for name, under_way in runs.items():
            found[name] = figures_of([one.result() for one in under_way], asked[name][0])
            tell(f"{name}: {found[name]}")
    return found


# ---- real processes


async def _real(
    folder: Path,
    seed: int,
    plan: tuple[str, ...],
    tell: Callable[[str], None],
    revisions: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Changes one after another, each with a fault in its course; what came of each, and what callers saw."""
    chance = Random(seed)
    told: list[dict[str, Any]] = []
    failed = ""
    async with anyio.create_task_group() as group:
        machines = Machines(folder, group, seed, 9, 3, not revisions, revisions=revisions)
        fleet = machines.fleet
        try:
            await machines.start()
            base = revisions[0] if revisions else "base"
            await machines.order(base, "", ("all",))
            await machines.through(120, 1)
            group.start_soon(machines.call)
            await anyio.sleep(2)
            faults = [
                _kill_conductors,
                _pause_conductors,
                _kill_leader,
                _kill_stewards,
                _no_majority,
                _cut_half,
                _nothing,
            ]
            number = 1
            for release in plan:
                if release == base:
                    continue  # one before it was taken back
                number += 1
                fault = faults[chance.randrange(len(faults))]
                await machines.order(release, base, ("one", "one a zone", "all"))
                roll = await machines.through(180, number, partial(fault, fleet, chance))
                told.append({"release": release, "fault": fault.__name__.strip("_"), "phase": roll.phase,
                             "why": roll.reason, "reached": len(machines.reached(release))})  # fmt: skip
                tell(str(told[-1]))
                if roll.phase == "asking":
                    await machines.back()
                    await machines.through(120, number, asks=False)
                base = release if roll.phase == "done" else base
                fleet.heal()
            await anyio.sleep(8)  # what was asked last is answered
        except Exception:
            failed = traceback.format_exc()[-2000:]  # what came before it is told all the same
            tell(failed)
            (folder / "keep").touch()
        finally:
            machines.calling.cancel()
            judged = machines.judged()
            machines.close()
            group.cancel_scope.cancel()
    return {"changes": told, "callers": judged, "failed": failed}


async def _nothing(fleet: Fleet, chance: Random) -> None:
    return None


async def _kill_conductors(fleet: Fleet, chance: Random) -> None:
    for name in ("c0", "c1"):
        fleet.processes[name].kill()
        await anyio.sleep(chance.uniform(0.0, 3.0))
        fleet.processes[name].start()


async def _pause_conductors(fleet: Fleet, chance: Random) -> None:
    """Past their lease, one after the other: the first goes on as one that conducts no more."""
    for name in ("c0", "c1"):
        fleet.processes[name].stop()
        await anyio.sleep(3.0)
        fleet.processes[name].go_on()


async def _kill_leader(fleet: Fleet, chance: Random) -> None:
    name = await fleet.leader()
    fleet.processes[name].kill()
    await anyio.sleep(1.0)
    fleet.processes[name].start()


async def _kill_stewards(fleet: Fleet, chance: Random) -> None:
    names = [name for name in fleet.processes if name.startswith("m")]
    for name in chance.sample(names, 4):
        fleet.processes[name].kill()
        fleet.processes[name].start()


async def _no_majority(fleet: Fleet, chance: Random) -> None:
    """Nothing moves, and servers serve on."""
    for name in fleet.names[:2]:
        fleet.processes[name].stop()
    await anyio.sleep(4.0)
    for name in fleet.names[:2]:
        fleet.processes[name].go_on()


async def _cut_half(fleet: Fleet, chance: Random) -> None:
    """Half of the machines, new ones and old ones among them, and a conductor, from the council."""
    names = [name for name in fleet.processes if name.startswith("m")]
    away = {*chance.sample(names, len(names) // 2), chance.choice(("c0", "c1"))}
    for (source, _), relay in fleet.relays.items():
        if source in away:
            relay.cut()
    await anyio.sleep(4.0)
    fleet.heal()


def real(
    seed: int,
    plan: tuple[str, ...],
    tell: Callable[[str], None] = print,
    revisions: tuple[str, ...] = (),
) -> dict[str, Any]:
    with folder_of("roll", f"thistleline lab roll --seed {seed}") as folder:
        return anyio.run(_real, folder, seed, plan, tell, revisions)


def earlier() -> tuple[str, ...]:
    """Two earlier revisions of this repository that bring a server of the laboratory and write the ledger in
    the present form; none where it has no history here."""
    told = subprocess.run(
        ["git", "-C", str(ROOT), "log", "--format=%h", "-n", "60", "--", "thistleline/keeping"],
        capture_output=True, text=True, check=False,
    ).stdout.split()  # fmt: skip
    return tuple(told[-3:-1]) if len(told) > 2 else ()


def plans(quick: bool, seed: int) -> list[tuple[str, ...]]:
    """Changes of each fleet, one after another. In the long form 40 over four fleets, a third of them
    harmful, each of the ten ways at least once, the harmless ones between them."""
    if quick:
        return [("no-start",)]
    chance = Random(seed)
    harmful = [*HARMFUL, *chance.sample(HARMFUL, 4)]
    chance.shuffle(harmful)
    made = []
    for fleet in range(4):
        ways = harmful[fleet::4]
        plan: list[str] = []
        base = "base"
        for place in range(10):
            if ways and (place % 3 == 1 or (place % 3 == 2 and len(ways) > (10 - place) // 3)):
                plan.append(ways.pop())
            else:
                base = chance.choice([one for one in HARMLESS if one != base])
                plan.append(base)
        made.append(tuple(plan))
    return made


def real_fleets(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """What came of the changes of all fleets, which run beside each other."""
    changes: list[dict[str, Any]] = []
    callers: Counter[str] = Counter()
    failed = 0
    with ProcessPoolExecutor(3) as pool:  # a fleet takes more than a core
        under_way = [pool.submit(real, seed + place, plan) for place, plan in enumerate(plans(quick, seed))]
        before = () if quick else earlier()
        if before:  # the present one beside each of them, there and back
            plan = ("good", before[1], "stalls", "better", before[0])
            under_way.append(pool.submit(real, seed + 9, plan, print, before))
        for one in under_way:
            told = one.result()
            changes += told["changes"]
            callers.update(told["callers"])
            failed += bool(told["failed"])
            tell(f"{len(changes)} changes")
    return {"changes": changes, "callers": dict(callers), "fleets_failed": failed}


def run(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """All figures, bars and whether they held."""
    told = real_fleets(quick, seed, tell)
    found: dict[str, Any] = {"real processes": told}
    found |= figures(quick, seed, tell)
    changes, callers = told["changes"], told["callers"]
    bars = {
        "harmful ones taken back, or asked about": all(
            one["phase"] in ("back", "asking") for one in changes if one["release"] in HARMFUL
        ),
        "harmful ones reached a third at the most": all(
            one["reached"] <= 3 for one in changes if one["release"] in HARMFUL
        ),
        "harmless ones not taken back": all(
            one["phase"] in ("done", "asking") for one in changes if one["release"] not in HARMFUL
        ),
        "every fleet came to its end": told["fleets_failed"] == 0,
        "no booking twice": callers["run_twice"] == 0,
        "none rejected after it ran": callers["rejected_after_run"] == 0,
        "none acknowledged and lost": callers["acknowledged_and_lost"] == 0,
        "all answered": callers["unanswered"] == 0,
    }
    for name, one in found.items():
        if name.endswith(", none"):
            bars[f"{name}: stopped in under 2%"] = one["stopped"] <= 0.02 * (
                one["stopped"] + one["done"] + one["asked"]
            )
    return {"figures": found, "bars": bars, "held": all(bars.values())}
