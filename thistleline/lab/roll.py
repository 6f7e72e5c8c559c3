"""Rollouts of whole fleets as real processes, and the verdict over them and the simulated ones.

With real processes (processes/machines.py) releases are rolled out while controllers, supervisors and
replicas are killed, paused and cut off. The simulated rollouts are those of simulation/rollouts.py. The
verdict rests on the outcomes of harmful and harmless releases, and on the ledger's oracle over all callers.
"""

import subprocess
import traceback
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio

from thistleline.lab.processes.harness import Fleet, run_folder
from thistleline.lab.processes.machines import HARMFUL, HARMLESS, ROOT, SupervisedFleet
from thistleline.lab.simulation.rollouts import figures


class RealResult(NamedTuple):
    """The result of the rollouts of one fleet of real processes.

    Attributes:
        changes: Release, fault, phase, reason and number of machines reached, of each rollout.
        callers: The counts of the ledger's oracle over all machines.
        failed: The traceback that ended the fleet early; "" if none.
    """

    changes: list[dict[str, Any]]
    callers: dict[str, int]
    failed: str


async def _run_real(
    folder: Path,
    seed: int,
    plan: tuple[str, ...],
    progress: Callable[[str], None],
    revisions: tuple[str, ...] = (),
) -> RealResult:
    """Roll out one release after another under load, each with a fault during it."""
    rng = Random(seed)
    changes: list[dict[str, Any]] = []
    failed = ""
    async with anyio.create_task_group() as group:
        machines = SupervisedFleet(folder, group, seed, 9, 3, not revisions, revisions=revisions)
        try:
            await machines.start()
            base = revisions[0] if revisions else "base"
            await machines.order_rollout(base, "", ("all",))
            await machines.wait_for_rollout(120, 1)
            group.start_soon(machines.generate_load)
            await anyio.sleep(2)
            for release in plan:
                if release == base:
                    continue  # it runs already, as the rollout before was rolled back
                number = len(changes) + 2  # the rollout of the base was the first
                change = await _roll_out(machines, number, release, base, rng)
                changes.append(change)
                progress(str(change))
                if change["phase"] == "asking":
                    await machines.order_rollback()
                    await machines.wait_for_rollout(120, number, stop_at_asking=False)
                base = release if change["phase"] == "done" else base
                machines.fleet.heal()
            await anyio.sleep(8)  # time for the answers to the last requests
        except Exception:
            failed = traceback.format_exc()[-2000:]  # earlier rollouts are still reported
            progress(failed)
            (folder / "keep").touch()
        finally:
            machines.load_scope.cancel()
            counts = machines.judge()
            machines.close()
            group.cancel_scope.cancel()
    return RealResult(changes, counts, failed)


async def _roll_out(
    machines: SupervisedFleet, number: int, release: str, base: str, rng: Random
) -> dict[str, Any]:
    """Roll out one release with a random fault, and return the result."""
    fault = FAULTS[rng.randrange(len(FAULTS))]
    await machines.order_rollout(release, base, ("one", "one a zone", "all"))
    inject = partial(fault, machines.fleet, rng)
    record = await machines.wait_for_rollout(180, number, inject)
    return {
        "release": release,
        "fault": fault.__name__.strip("_"),
        "phase": record.phase,
        "why": record.reason,
        "reached": len(machines.machines_reached(release)),
    }


async def _nothing(fleet: Fleet, rng: Random) -> None:
    """Inject no fault."""


async def _kill_conductors(fleet: Fleet, rng: Random) -> None:
    """Kill and restart one rollout controller after the other."""
    for name in ("c0", "c1"):
        fleet.processes[name].kill()
        await anyio.sleep(rng.uniform(0.0, 3.0))
        fleet.processes[name].start()


async def _pause_conductors(fleet: Fleet, rng: Random) -> None:
    """Pause the rollout controllers one by one, past the lease: the first resumes without leadership."""
    for name in ("c0", "c1"):
        fleet.processes[name].pause()
        await anyio.sleep(3.0)
        fleet.processes[name].resume()


async def _kill_leader(fleet: Fleet, rng: Random) -> None:
    """Kill and restart the leading replica."""
    name = await fleet.leader()
    fleet.processes[name].kill()
    await anyio.sleep(1.0)
    fleet.processes[name].start()


async def _kill_stewards(fleet: Fleet, rng: Random) -> None:
    """Kill and restart four supervisors; their servers continue."""
    names = [name for name in fleet.processes if name.startswith("m")]
    for name in rng.sample(names, 4):
        fleet.processes[name].kill()
        fleet.processes[name].start()


async def _no_majority(fleet: Fleet, rng: Random) -> None:
    """Pause a majority of replicas: nothing is decided, and servers continue."""
    for name in fleet.names[:2]:
        fleet.processes[name].pause()
    await anyio.sleep(4.0)
    for name in fleet.names[:2]:
        fleet.processes[name].resume()


async def _cut_half(fleet: Fleet, rng: Random) -> None:
    """Disconnect half of the machines and a rollout controller from the replicas."""
    names = [name for name in fleet.processes if name.startswith("m")]
    cut_off = {*rng.sample(names, len(names) // 2), rng.choice(("c0", "c1"))}
    for (source, _), relay in fleet.relays.items():
        if source in cut_off:
            relay.disconnect()
    await anyio.sleep(4.0)
    fleet.heal()


FAULTS = (
    _kill_conductors,
    _pause_conductors,
    _kill_leader,
    _kill_stewards,
    _no_majority,
    _cut_half,
    _nothing,
)


def run_real(
    seed: int,
    plan: tuple[str, ...],
    progress: Callable[[str], None] = print,
    revisions: tuple[str, ...] = (),
) -> RealResult:
    """Run the rollouts of one fleet in a folder of its own."""
    with run_folder("roll", f"thistleline lab roll --seed {seed}") as folder:
        return anyio.run(_run_real, folder, seed, plan, progress, revisions)


def earlier_revisions() -> tuple[str, ...]:
    """Return two earlier revisions that have the lab's server and the present ledger format.

    Returns:
        Their hashes; none where the repository has no history.
    """
    hashes = subprocess.run(
        ["git", "-C", str(ROOT), "log", "--format=%h", "-n", "60", "--", "thistleline/keeping"],
        capture_output=True, text=True, check=False,
    ).stdout.split()  # fmt: skip
    return tuple(hashes[-3:-1]) if len(hashes) > 2 else ()


def plans(quick: bool, seed: int) -> list[tuple[str, ...]]:
    """Return the releases of each fleet, in order.

    Unless `quick`, there are 40 in four fleets. A third of them are harmful, each kind at least once, with
    harmless ones between them.
    """
    if quick:
        return [("no-start",)]
    rng = Random(seed)
    harmful = [*HARMFUL, *rng.sample(HARMFUL, 4)]
    rng.shuffle(harmful)
    fleet_plans = []
    for fleet in range(4):
        harmful_left = harmful[fleet::4]
        plan: list[str] = []
        base = "base"
        for place in range(10):
            is_due = place % 3 == 1 or (place % 3 == 2 and len(harmful_left) > (10 - place) // 3)
            if harmful_left and is_due:
                plan.append(harmful_left.pop())
            else:
                base = rng.choice([one for one in HARMLESS if one != base])
                plan.append(base)
        fleet_plans.append(tuple(plan))
    return fleet_plans


def real_fleets(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Run all fleets of real processes side by side, and return the results of their rollouts."""
    changes: list[dict[str, Any]] = []
    callers: Counter[str] = Counter()
    failed = 0
    with ProcessPoolExecutor(3) as pool:  # a fleet uses more than one core
        pending = [pool.submit(run_real, seed + index, plan) for index, plan in enumerate(plans(quick, seed))]
        revisions = () if quick else earlier_revisions()
        if revisions:  # the present program beside each of them, as successor and as predecessor
            plan = ("good", revisions[1], "stalls", "better", revisions[0])
            pending.append(pool.submit(run_real, seed + 9, plan, print, revisions))
        for future in pending:
            result = future.result()
            changes += result.changes
            callers.update(result.callers)
            failed += bool(result.failed)
            progress(f"{len(changes)} rollouts")
    return {"changes": changes, "callers": dict(callers), "fleets_failed": failed}


def run(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Run all parts; return the figures, the criteria and whether all held."""
    real = real_fleets(quick, seed, progress)
    found: dict[str, Any] = {"real processes": real}
    found |= figures(quick, seed, progress)
    changes, callers = real["changes"], real["callers"]
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
        "every fleet came to its end": real["fleets_failed"] == 0,
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
