"""The change feed under storms of faults on real processes: is anything lost, made twice, half seen, or seen
to go back?

Council, keepers, relays and subscribers are processes of the program; relays of the lab between each pair,
changes, the plan of faults and the oracle (processes/feed_fleet.py) are here. The oracle knows what was
acknowledged and what subscribers said they saw, and nothing of the program's.
"""

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import anyio

from thistleline.lab.processes.feed_fleet import FeedFleet
from thistleline.lab.processes.harness import RunTimeoutError, run_folder
from thistleline.lab.processes.network_relay import LinkFault

Tell = Callable[[str], None]

SUBSCRIBERS = 3  # the first with a folder
PROPOSERS = 2
PATIENT = 4.0  # s for a proposal; then it is not known whether it was made
LAST = 2.4  # s that a fault lasts at most; silence is noticed after 1.6
CALM = 0.5  # s between two faults
TWO = 0.4  # of the faults come with a second one
PATIENCE = 25.0  # s for an acknowledgement once all is well; then it has hung
SEEDS, SECONDS = 3, 45.0  # of the long run

WHO = ("writer", "keeper", "relay", "subscriber", "leader", "voter")
HOW = ("kill", "stop", "cut", "mute", "deaf", "slow", "fail")
DISK, DISKS = ("slow", "fail"), ("writer", "keeper", "leader", "voter")
ALONE = ("late", "lose_keeper", "lose_voter", "strand")  # of which none comes with a second one


class Storm:
    """One fleet and its faults, by a seeded plan."""

    def __init__(self, folder: Path, seed: int, without: str = "", only: tuple[str, ...] = ()) -> None:
        """`only`: of ALONE these alone, and no other faults."""
        self.folder, self.seed, self.without, self.only = folder, seed, without, only
        self.chance = Random(seed)
        self.faults: Counter[str] = Counter()
        self.acknowledged: list[float] = []  # when
        self.over = False

    async def run(self, seconds: float, tell: Tell) -> dict[str, Any]:
        async with anyio.create_task_group() as group:
            feed = self.feed = FeedFleet(self.folder, group, self.seed, 3, self.without)
            self.fleet = feed.fleet
            try:
                await feed.start(SUBSCRIBERS)
                async with anyio.create_task_group() as changes:
                    for _ in range(PROPOSERS):
                        changes.start_soon(self._changes)
                    await self._storm(seconds, tell)
                    self.over = True
                await feed.settle()
                wrong = await feed.judge()
                events = [one for name in feed.subscribers for one in feed.processes[name].events()]
            finally:
                feed.close()
                group.cancel_scope.cancel()
        gaps = [then - first for first, then in zip(self.acknowledged, self.acknowledged[1:], strict=False)]
        return {
            "wrong": wrong,
            "hung": False,
            "acknowledged": feed.oracle.newest,
            "refused": len(feed.oracle.refused),
            "states_seen": sum(one["event"] == "state" for one in events),
            "longest_without_an_acknowledgement_s": round(max(gaps, default=0.0), 2),
            "faults": dict(sorted(self.faults.items())),
        }

    async def _changes(self) -> None:
        while not self.over:
            (answer,) = await self.feed.pairs(1, PATIENT)
            if answer.sequence:
                self.acknowledged.append(time.monotonic())
            await anyio.sleep(0.02)

    # ---- faults

    async def _storm(self, seconds: float, tell: Tell) -> None:
        begun, place = time.monotonic(), 0
        kinds = [f"{how} {who}" for who in WHO for how in HOW if how not in DISK or who in DISKS]
        alone = list(self.only or ALONE)
        while time.monotonic() - begun < seconds:
            if place % len(kinds) == 0:
                self.chance.shuffle(kinds)
            if self.only or place % 3 == 2:
                names = [alone[place // (1 if self.only else 3) % len(alone)]]
            else:
                names = [kinds[place % len(kinds)]]
                names += [self.chance.choice(kinds)] if self.chance.random() < TWO else []
            place += 1
            self.fleet.record(" and ".join(names))
            for name in names:
                self.faults[name] += 1
                how, _, who = name.partition(" ")
                await (self._hurt(how, who) if who else self._whole(how))
            await anyio.sleep(self.chance.uniform(0.2, LAST))
            await self._healed()
            if place % 5 == 0:
                tell(f"{place} faults, {self.feed.oracle.newest} changes, wrong: {self.feed.oracle.wrong}")

    async def _healed(self) -> None:
        """All is well again, and changes are acknowledged. A connection of which something was swallowed
        ends: TCP loses nothing in the middle of one that goes on."""
        for relay in self.fleet.relays.values():
            if relay.forward.drop or relay.backward.drop:
                relay.disconnect()
        self.fleet.heal()
        for name, process in self.feed.processes.items():
            self.fleet.set_disk_fault(name, "")
            if process.is_paused:
                process.resume()
            if not process.is_running:
                process.start()
        count, until = len(self.acknowledged), time.monotonic() + PATIENCE
        while len(self.acknowledged) == count:
            if time.monotonic() > until:
                raise RunTimeoutError(f"no change is acknowledged in {PATIENCE} s")
            await anyio.sleep(0.01)
        await anyio.sleep(CALM)

    async def _victim(self, who: str) -> str:
        if who == "writer":
            return await self.feed.writer()
        if who == "leader":
            return await self.fleet.leader()
        all_of_them = {"keeper": self.feed.keepers, "relay": self.feed.relays, "voter": self.fleet.names,
                       "subscriber": self.feed.subscribers}  # fmt: skip
        return self.chance.choice(all_of_them[who])

    async def _hurt(self, how: str, who: str) -> None:
        try:
            name = await self._victim(who)
        except RunTimeoutError:
            return  # the first of two faults took the one that there was
        process = self.feed.processes[name]
        if how == "kill":
            process.kill()
        elif how == "stop":
            process.pause()
        elif how in DISK:
            self.fleet.set_disk_fault(name, how)
        else:
            for (source, to), relay in self.fleet.relays.items():
                if how == "cut" and name in (source, to):
                    relay.disconnect()
                elif name in (source, to):  # mute: nothing of it comes to others; deaf: nothing to it
                    if (source == name) == (how == "mute"):
                        relay.forward = LinkFault(drop=True)
                    else:
                        relay.backward = LinkFault(drop=True)

    async def _whole(self, name: str) -> None:
        whole: Callable[[], Awaitable[None]] = getattr(self, f"_{name}")
        await whole()

    async def _late(self) -> None:
        for relay in self.fleet.relays.values():
            relay.forward, relay.backward = (
                LinkFault(self.chance.uniform(0.0, 0.06), 0.05) for _ in range(2)
            )

    async def _lose_keeper(self) -> None:
        """Its disk is lost; others follow only once it has all again."""
        feed, name = self.feed, self.chance.choice(self.feed.keepers)
        feed.empty(name)
        await anyio.sleep(self.chance.uniform(0.0, 1.0))
        number = feed.oracle.newest
        feed.processes[name].start()
        until = time.monotonic() + PATIENCE
        while True:
            found = await feed.looked(name)
            if found is not None and found.counters.get("durable", 0) >= number:
                return
            if time.monotonic() > until:
                raise RunTimeoutError(f"{name} has not all on disk {PATIENCE} s after its disk was lost")
            await anyio.sleep(0.02)

    async def _lose_voter(self) -> None:
        await self.fleet.replace_replica(self.chance.choice(self.fleet.names))

    async def _strand(self) -> None:
        """r2 is cut off from all above, changes go on at r1, then that one stands still: those who come to r2
        have more than it has."""
        feed, relays = self.feed, self.fleet.relays
        for (source, _), relay in relays.items():
            if source == "r2":
                relay.disconnect()
        for name in feed.subscribers:
            relays[name, "r2"].disconnect()
        await anyio.sleep(0.3)
        number = feed.oracle.newest + 1
        for name in feed.subscribers:
            await feed.reaches(name, number)
            relays[name, "r2"].heal()
        feed.processes["r1"].pause()
        await anyio.sleep(LAST + 1.0)


def storm(
    seed: int, seconds: float, tell: Tell, without: str = "", only: tuple[str, ...] = ()
) -> dict[str, Any]:
    """What came of it; what hangs is wrong too. The folder of a run that found something is kept."""
    with run_folder("feeds", f"thistleline lab feeds --seed {seed}") as folder:
        one = Storm(folder, seed, without, only)
        found: dict[str, Any] = {}
        try:
            found = anyio.run(one.run, seconds, tell)
        except* RunTimeoutError as group:
            wrong = [*one.feed.oracle.wrong, *(str(why) for why in _leaves(group))]
            found = {"wrong": wrong, "hung": True, "acknowledged": len(one.acknowledged),
                     "faults": dict(sorted(one.faults.items()))}  # fmt: skip
        if found["wrong"] and not without:
            (folder / "keep").write_text("\n".join(found["wrong"]))
            tell(f"wrong: {found['wrong']}")
        return found


def _leaves(group: BaseExceptionGroup[RunTimeoutError]) -> list[BaseException]:
    return [leaf for one in group.exceptions
            for leaf in (_leaves(one) if isinstance(one, BaseExceptionGroup) else [one])]  # fmt: skip


def run(quick: bool, seed: int, tell: Tell) -> dict[str, Any]:
    """All figures, bars and whether they held."""
    figures: dict[str, Any] = {}
    seeds = [seed] if quick else list(range(seed, seed + SEEDS))
    for one in seeds:
        tell(f"a storm, seed {one}")
        figures[f"seed {one}"] = storm(one, 15.0 if quick else SECONDS, tell)
    tell("who is behind serves, and an older snapshot is taken: the oracle has to find it")
    blind = storm(seed, 5.0, tell, "newer", ("strand",))
    figures["without 'newer'"] = blind
    storms = [figures[f"seed {one}"] for one in seeds]
    bars = {
        "nothing lost, made twice, half seen or seen to go back": not any(one["wrong"] for one in storms),
        "after each fault all went on, and ended alike": not any(one["hung"] for one in storms),
        "the oracle finds a state that went back": any("went back" in one for one in blind["wrong"]),
    }
    if not quick:
        kinds = {fault for one in storms for fault in one["faults"]}
        bars["every fault that comes alone came"] = set(ALONE) <= kinds
    return {"figures": figures, "bars": bars, "held": all(bars.values())}
