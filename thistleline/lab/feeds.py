"""The config feed under storms of faults on real processes.

The consensus cluster, keepers, relays and subscribers are processes of the program, with a network relay of
the lab between each pair. Proposals, the plan of faults and the verdict are here, the oracle is in
processes/feed_fleet.py. It looks for changes that are lost, committed twice, visible in part or undone; it
knows what was acknowledged and what subscribers reported, and nothing of the program's own view.
"""

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio

from thistleline.lab.processes.feed_fleet import FeedFleet
from thistleline.lab.processes.harness import RunTimeoutError, run_folder
from thistleline.lab.processes.network_relay import LinkFault

Progress = Callable[[str], None]

KEEPERS = 3
SUBSCRIBERS = 3  # the first with a folder
PROPOSERS = 2
PROPOSAL_TIMEOUT = 4.0  # s; after it, the change may be committed or not
PROPOSAL_INTERVAL = 0.02  # s between an answer and the next proposal
MIN_FAULT_DURATION = 0.2  # s
MAX_FAULT_DURATION = 2.4  # s; a silent peer is noticed after 1.6
CALM_DURATION = 0.5  # s between two faults
SECOND_FAULT_PROBABILITY = 0.4
RECOVERY_TIMEOUT = 25.0  # s without an acknowledgement after all faults are removed; then the fleet hangs
POLL_INTERVAL = 0.02  # s
MAX_ADDED_DELAY = 0.06  # s, of the fault "late"
DELAY_JITTER = 0.05  # s, of the fault "late"
SEEDS = 3  # of the long run
SECONDS = 45.0  # of each storm of the long run
QUICK_SECONDS = 15.0
MUTANT_SECONDS = 5.0
STEPS_PER_REPORT = 5

# The parts of the names of faults, which are keys of the printed result.
TARGETS = ("writer", "keeper", "relay", "subscriber", "leader", "voter")
KINDS = ("kill", "stop", "cut", "mute", "deaf", "slow", "fail")
DISK_KINDS = ("slow", "fail")
DISK_TARGETS = ("writer", "keeper", "leader", "voter")
ALONE = ("late", "lose_keeper", "lose_voter", "strand")  # faults of the fleet, never combined with others


class Fault(NamedTuple):
    """A fault of one target, or of the whole fleet if the target is empty."""

    kind: str
    target: str = ""

    @property
    def name(self) -> str:
        """The name in the result and in the history of the run."""
        return f"{self.kind} {self.target}" if self.target else self.kind


class FaultPlan:
    """Draws faults from a seeded random source in shuffled order; every third is of the whole fleet."""

    def __init__(self, random: Random, only: tuple[str, ...]) -> None:
        """Begin a plan.

        Args:
            random: The source of all draws.
            only: Faults of `ALONE`, drawn in turn without any others; empty for all faults.
        """
        self._random = random
        self._only = only
        self._fleet_faults = [Fault(kind) for kind in only or ALONE]
        self._process_faults = [
            Fault(kind, target)
            for target in TARGETS
            for kind in KINDS
            if kind not in DISK_KINDS or target in DISK_TARGETS
        ]

    def step(self, index: int) -> list[Fault]:
        """Return the faults of a step of the storm, which are injected together."""
        if index % len(self._process_faults) == 0:
            self._random.shuffle(self._process_faults)
        if self._only:
            return [self._fleet_faults[index % len(self._fleet_faults)]]
        if index % 3 == 2:
            return [self._fleet_faults[index // 3 % len(self._fleet_faults)]]
        faults = [self._process_faults[index % len(self._process_faults)]]
        if self._random.random() < SECOND_FAULT_PROBABILITY:
            faults.append(self._random.choice(self._process_faults))
        return faults


class Storm:
    """One fleet and the faults injected into it by a seeded plan."""

    def __init__(self, folder: Path, seed: int, without: str = "", only: tuple[str, ...] = ()) -> None:
        """Prepare a storm.

        Args:
            folder: Where the processes write.
            seed: Of all random draws.
            without: The protection that the processes leave out (processes/program.py); empty for none.
            only: Faults of `ALONE`, injected without any others; empty for all faults.
        """
        self.folder = folder
        self.seed = seed
        self.without = without
        self.random = Random(seed)
        self.plan = FaultPlan(self.random, only)
        self.faults: Counter[str] = Counter()
        self.acknowledged: list[float] = []  # monotonic times in s
        self.over = False

    async def run(self, seconds: float, progress: Progress) -> dict[str, Any]:
        """Run the fleet under faults and return the result.

        Args:
            seconds: How long faults are injected.
            progress: Called with each line of progress.

        Raises:
            RunTimeoutError: The fleet hangs.
        """
        async with anyio.create_task_group() as group:
            self.feed = FeedFleet(self.folder, group, self.seed, KEEPERS, self.without)
            self.fleet = self.feed.fleet
            try:
                await self.feed.start(SUBSCRIBERS)
                async with anyio.create_task_group() as proposers:
                    for _ in range(PROPOSERS):
                        proposers.start_soon(self._propose)
                    await self._run_faults(seconds, progress)
                    self.over = True
                await self.feed.settle()
                wrong = await self.feed.judge()
                result = self._result(wrong)
            finally:
                self.feed.close()
                group.cancel_scope.cancel()
        return result

    def _result(self, wrong: list[str]) -> dict[str, Any]:
        """Return the result of a storm that did not hang."""
        oracle = self.feed.oracle
        events = [event for name in self.feed.subscribers for event in self.feed.processes[name].events()]
        gaps = [
            later - earlier for earlier, later in zip(self.acknowledged, self.acknowledged[1:], strict=False)
        ]
        return {
            "wrong": wrong,
            "hung": False,
            "acknowledged": oracle.newest,
            "refused": len(oracle.refused),
            "states_seen": sum(event["event"] == "state" for event in events),
            "longest_without_an_acknowledgement_s": round(max(gaps, default=0.0), 2),
            "faults": dict(sorted(self.faults.items())),
        }

    async def _propose(self) -> None:
        """Propose changes one after the other until the storm is over."""
        while not self.over:
            (answer,) = await self.feed.change_pairs(1, PROPOSAL_TIMEOUT)
            if answer.sequence:
                self.acknowledged.append(time.monotonic())
            await anyio.sleep(PROPOSAL_INTERVAL)

    # ---- faults

    async def _run_faults(self, seconds: float, progress: Progress) -> None:
        """Inject faults and recover from them, step by step, for `seconds`."""
        began = time.monotonic()
        index = 0
        while time.monotonic() - began < seconds:
            faults = self.plan.step(index)
            index += 1
            self.fleet.record(" and ".join(fault.name for fault in faults))
            for fault in faults:
                self.faults[fault.name] += 1
                if fault.target:
                    await self._inject(fault.kind, fault.target)
                else:
                    await self._inject_alone(fault.kind)
            await anyio.sleep(self.random.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION))
            await self._recover()
            if index % STEPS_PER_REPORT == 0:
                oracle = self.feed.oracle
                progress(f"{index} faults, {oracle.newest} changes, wrong: {oracle.wrong}")

    async def _recover(self) -> None:
        """Remove all faults and wait until changes are acknowledged.

        Connections of which bytes were dropped are closed: TCP never loses bytes within an open connection.

        Raises:
            RunTimeoutError: No change is acknowledged in `RECOVERY_TIMEOUT`.
        """
        for relay in self.fleet.relays.values():
            if relay.forward.drop or relay.backward.drop:
                relay.disconnect()
        self.fleet.restore()
        count = len(self.acknowledged)
        deadline = time.monotonic() + RECOVERY_TIMEOUT
        while len(self.acknowledged) == count:
            if time.monotonic() > deadline:
                raise RunTimeoutError(f"no change is acknowledged in {RECOVERY_TIMEOUT} s")
            await anyio.sleep(0.01)
        await anyio.sleep(CALM_DURATION)

    async def _choose_process(self, target: str) -> str:
        """Return the name of a process in this role.

        Raises:
            RunTimeoutError: No process writes or leads.
        """
        if target == "writer":
            return await self.feed.writer()
        if target == "leader":
            return await self.fleet.leader()
        names = {
            "keeper": self.feed.keepers,
            "relay": self.feed.relays,
            "voter": self.fleet.names,
            "subscriber": self.feed.subscribers,
        }
        return self.random.choice(names[target])

    async def _inject(self, kind: str, target: str) -> None:
        """Inject a fault of one process, of its disk or of its links."""
        try:
            name = await self._choose_process(target)
        except RunTimeoutError:
            return  # the other fault of this step has stopped the only process in this role
        process = self.feed.processes[name]
        if kind == "kill":
            process.kill()
        elif kind == "stop":
            process.pause()
        elif kind in DISK_KINDS:
            self.fleet.set_disk_fault(name, kind)
        else:
            self._inject_link_fault(kind, name)

    def _inject_link_fault(self, kind: str, name: str) -> None:
        """Disconnect a process from all others ("cut"), or drop what it sends ("mute") or gets ("deaf")."""
        for (source, destination), relay in self.fleet.relays.items():
            if name not in (source, destination):
                continue
            if kind == "cut":
                relay.disconnect()
            elif (source == name) == (kind == "mute"):
                relay.forward = LinkFault(drop=True)
            else:
                relay.backward = LinkFault(drop=True)

    async def _inject_alone(self, kind: str) -> None:
        """Inject a fault of `ALONE` by the method named after it."""
        inject: Callable[[], Awaitable[None]] = getattr(self, f"_{kind}")
        await inject()

    async def _late(self) -> None:
        """Delay all links."""
        for relay in self.fleet.relays.values():
            relay.forward = LinkFault(self.random.uniform(0.0, MAX_ADDED_DELAY), DELAY_JITTER)
            relay.backward = LinkFault(self.random.uniform(0.0, MAX_ADDED_DELAY), DELAY_JITTER)

    async def _lose_keeper(self) -> None:
        """Delete a keeper's data and wait until it has all changes on disk again.

        Raises:
            RunTimeoutError: Some are missing after `RECOVERY_TIMEOUT`.
        """
        name = self.random.choice(self.feed.keepers)
        self.feed.lose_disk(name)
        await anyio.sleep(self.random.uniform(0.0, 1.0))
        number = self.feed.oracle.newest
        self.feed.processes[name].start()
        deadline = time.monotonic() + RECOVERY_TIMEOUT
        while True:
            status = await self.feed.read_status(name)
            if status is not None and status.counters.get("durable", 0) >= number:
                return
            if time.monotonic() > deadline:
                raise RunTimeoutError(
                    f"{name} does not have all changes on disk {RECOVERY_TIMEOUT} s after its disk was lost"
                )
            await anyio.sleep(POLL_INTERVAL)

    async def _lose_voter(self) -> None:
        """Replace a replica of the consensus cluster by an empty one."""
        await self.fleet.replace_replica(self.random.choice(self.fleet.names))

    async def _strand(self) -> None:
        """Reconnect subscribers to a relay that is behind them.

        r2 is disconnected from its sources while r1 gets more changes; then r1 is paused.
        """
        relays = self.fleet.relays
        for (source, _), relay in relays.items():
            if source == "r2":
                relay.disconnect()
        for name in self.feed.subscribers:
            relays[name, "r2"].disconnect()
        await anyio.sleep(0.3)
        number = self.feed.oracle.newest + 1
        for name in self.feed.subscribers:
            await self.feed.wait_for_sequence(name, number)
            relays[name, "r2"].heal()
        self.feed.processes["r1"].pause()
        await anyio.sleep(MAX_FAULT_DURATION + 1.0)


def storm(
    seed: int, seconds: float, progress: Progress, without: str = "", only: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Run one storm and return its result; a fleet that hangs counts as wrong.

    The folder of a run that found a violation is kept, unless a protection was left out.

    Args:
        seed: Of all random draws.
        seconds: How long faults are injected.
        progress: Called with each line of progress.
        without: The protection that the processes leave out (processes/program.py); empty for none.
        only: Faults of `ALONE`, injected without any others; empty for all faults.
    """
    with run_folder("feeds", f"thistleline lab feeds --seed {seed}") as folder:
        feed_storm = Storm(folder, seed, without, only)
        result: dict[str, Any] = {}
        try:
            result = anyio.run(feed_storm.run, seconds, progress)
        except* RunTimeoutError as group:
            result = {
                "wrong": [*feed_storm.feed.oracle.wrong, *(str(error) for error in _leaves(group))],
                "hung": True,
                "acknowledged": len(feed_storm.acknowledged),
                "faults": dict(sorted(feed_storm.faults.items())),
            }
        if result["wrong"] and not without:
            (folder / "keep").write_text("\n".join(result["wrong"]))
            progress(f"wrong: {result['wrong']}")
        return result


def _leaves(group: BaseExceptionGroup[RunTimeoutError]) -> list[BaseException]:
    """Return the exceptions in a group and in the groups within it."""
    leaves: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves.extend(_leaves(error))
        else:
            leaves.append(error)
    return leaves


def run(quick: bool, seed: int, progress: Progress) -> dict[str, Any]:
    """Run all storms; return the figures, the criteria and whether all held.

    Args:
        quick: Whether to run one short storm instead of `SEEDS` long ones.
        seed: Of the first storm.
        progress: Called with each line of progress.
    """
    figures: dict[str, Any] = {}
    seeds = [seed] if quick else list(range(seed, seed + SEEDS))
    for storm_seed in seeds:
        progress(f"storm with seed {storm_seed}")
        figures[f"seed {storm_seed}"] = storm(storm_seed, QUICK_SECONDS if quick else SECONDS, progress)
    storms = list(figures.values())
    progress("storm without the protection 'newer', which the oracle has to detect")
    mutant = storm(seed, MUTANT_SECONDS, progress, "newer", ("strand",))
    figures["without 'newer'"] = mutant
    bars = {
        "nothing lost, made twice, half seen or seen to go back": not any(one["wrong"] for one in storms),
        "after each fault all went on, and ended alike": not any(one["hung"] for one in storms),
        "the oracle finds a state that went back": any("went back" in wrong for wrong in mutant["wrong"]),
    }
    if not quick:
        fault_names = {name for one in storms for name in one["faults"]}
        bars["every fault that comes alone came"] = set(ALONE) <= fault_names
    return {"figures": figures, "bars": bars, "held": all(bars.values())}
