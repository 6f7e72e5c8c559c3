"""Servers that follow one another on one machine under load, killed and stopped on both sides of the change.

Real processes and sockets. The farm agent lives in this process and outlives every server; bookings are
judged as for the ledger, lookups by whether each was answered. A server that goes on starting effects after
it has handed over has to be found.
"""

import json
import os
import random
import signal
import statistics
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.handover.serving import read_owner
from thistleline.lab.caller import Caller
from thistleline.lab.farm import FarmStandIn
from thistleline.lab.harness import folder_of, free_port
from thistleline.lab.ledger import SETTINGS, judge

STOP = 1500  # ms
RATE = 60.0  # bookings a second, and as many lookups
OLDER, NEWER = "elder", "heir"
POINTS = (
    *(
        (OLDER, point)
        for point in ("in:SuccessorReady", "before:HandOver", "after:HandOver", "before:ForwardTask")
    ),
    *(
        (NEWER, point)
        for point in ("in:EffectsRecovered", "in:Inherited", "in:AgentGreeted", "before:RelayAgentEvent")
    ),
    *((OLDER, point) for point in ("in:ForwardedAnswered", "after:ReportRunEnd", "in:RunCompleted")),
    *(
        (NEWER, point)
        for point in (
            "in:TaskForwarded",
            "in:HostedRunStarted",
            "in:PredecessorRunEnded",
            "before:WriteLedger",
        )
    ),
)
ONCE = (
    "in:SuccessorReady",
    "before:HandOver",
    "after:HandOver",
    "in:EffectsRecovered",
    "in:Inherited",
    "in:AgentGreeted",
)
LOOKUP = {"name": "lookup", "effect": "read_like", "credit": 1.0, "promise": 1.0, "deadline": 3.0}
TOLD = {**SETTINGS, "classes": [*SETTINGS["classes"], LOOKUP]}


class Lives:
    """One machine's servers, each beside the one before it."""

    def __init__(self, folder: Path, agent: int) -> None:
        self.folder, self.port = folder, free_port()
        told = {"name": "n1", "listen": f"127.0.0.1:{self.port}", "agent": f"127.0.0.1:{agent}",
                "announce": "127.0.0.1:9", "seed": "1f", "stop_ms": STOP, "settings": TOLD,
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512}}  # fmt: skip
        (folder / "plate.json").write_text(json.dumps(told))
        (folder / "lab.conf").write_text(
            f"ledger folder {folder}/kept\nledger disk 64M\nhandover folder {folder}/handover\n"
        )
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.count = 0

    def start(self, fault: dict[str, Any], settings: dict[str, Any] | None = None) -> int:
        self.count += 1
        plate = self.folder / "plate.json"
        if settings is not None:
            told = {**json.loads(plate.read_bytes()), "settings": settings}
            plate = self.folder / f"plate-{self.count}.json"
            plate.write_text(json.dumps(told))
        env = {**os.environ, "ROUTER_CONFIG": str(plate), "THISTLELINE_CONF": str(self.folder / "lab.conf"),
               "ROUTER_LIFE": str(self.count), "LAB_FAULT": json.dumps(fault)}  # fmt: skip
        command = [sys.executable, "-m", "thistleline.lab.server"]
        with (self.folder / f"{self.count}.log").open("wb") as log:
            self.processes[self.count] = subprocess.Popen(command, env=env, stdout=log, stderr=log)
        return self.count

    def lives(self, life: int) -> bool:
        return life in self.processes and self.processes[life].poll() is None

    @property
    def owner(self) -> int:
        return (read_owner(self.folder / "handover") or (0, 0))[0]

    async def serves(self, life: int, span: float) -> bool:
        """Whether it came to serve in time, and lives."""
        until = time.monotonic() + span
        while time.monotonic() < until and self.lives(life):
            if self.owner == life:
                return True
            await anyio.sleep(0.005)
        return False

    async def gone(self, life: int, span: float) -> bool:
        until = time.monotonic() + span
        while time.monotonic() < until and self.lives(life):
            await anyio.sleep(0.005)
        return not self.lives(life)

    def signal(self, life: int, number: int) -> None:
        if self.lives(life):
            self.processes[life].send_signal(number)

    def events(self, life: int) -> list[dict[str, Any]]:
        lines = (self.folder / f"{life}.log").read_bytes().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


class Load:
    """Bookings with repeats, and lookups, at times fixed before; and what the oracle says of them."""

    def __init__(self, farm: FarmStandIn, address: Callable[[], tuple[str, int]], seed: int) -> None:
        self.farm, self.chance = farm, random.Random(seed)
        self.bookings = Caller(address, seed, 6, "booking", "studio")
        self.lookups = Caller(address, seed + 1, 3, "lookup", "studio")
        self.going = True
        self.done = anyio.Event()

    async def call(self, rate: float, group: TaskGroup) -> None:
        at, number = time.monotonic(), 0
        async with anyio.create_task_group() as each:
            while self.going:
                at += self.chance.expovariate(rate)
                number += 1
                await anyio.sleep(max(0.0, at - time.monotonic()))
                each.start_soon(self.bookings.booking, number, at, 8.0, 0.3, group)
                mark, body = f"{number:032x}", b"lookup %d" % number
                until = time.monotonic() + 6.0
                each.start_soon(self.lookups.until_told, mark, body, False, until, group)
        self.done.set()

    async def end(self) -> None:
        """Nothing new is asked; returns once all is answered, or nobody asks any more."""
        self.going = False
        with anyio.move_on_after(20.0):
            await self.done.wait()

    def judged(self) -> dict[str, int]:
        looked = {body: self.farm.ran.pop(body) for body in list(self.farm.ran) if body.startswith(b"lookup")}
        figures = judge(self.farm, self.bookings)
        self.farm.ran |= looked
        answered = {one.mark for one in self.lookups.told if one.kind in ("finished", "abandoned")}
        asked = {one.mark for one in self.lookups.told}
        figures["lookups"], figures["lookups_unanswered"] = len(asked), len(asked - answered)
        figures["lookups_finished"] = len({one.mark for one in self.lookups.told if one.kind == "finished"})
        figures["lost_tries"] = sum(one.kind == "lost" for one in self.lookups.told) + figures.get("lost", 0)
        return figures


def slowest(load: Load) -> float:
    """ms, of the tries that came to an end by themselves."""
    told = [*load.bookings.told, *load.lookups.told]
    return round(max((one.at - one.sent for one in told if one.kind != "lost"), default=0.0) * 1000, 1)


async def changes(
    folder: Path, seed: int, count: int, faults: bool, keeps: bool, tell: Callable[[str], None]
) -> dict[str, Any]:
    """So many changes of the server, each under load; with faults, each with one on one side or the other."""
    chance = random.Random(seed)
    farm = FarmStandIn(seed, (0.005, 0.4))
    came: Counter[str] = Counter()
    begun = time.monotonic()
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        lives = Lives(folder, farm.port)
        load = Load(farm, lambda: ("127.0.0.1", lives.port), seed)
        try:
            current = lives.start({"keeps": keeps})
            if not await lives.serves(current, 20):
                raise RuntimeError("the first server does not come up")
            group.start_soon(load.call, RATE, group)
            for change in range(count):
                await anyio.sleep(chance.uniform(0.3, 1.0))
                side, point = POINTS[change % len(POINTS)]
                # Of an elder its fault is told at its start, so it shows at the change after.
                following = POINTS[(change + 1) % len(POINTS)]
                fault: dict[str, Any] = {"keeps": keeps}
                if faults and side == NEWER:
                    fault["kill"] = [point, 1 if point in ONCE else chance.randint(1, 3)]
                elif faults and following[0] == OLDER:
                    fault["kill"] = [following[1], 1 if following[1] in ONCE else chance.randint(1, 3)]
                before, current = current, lives.start(fault)
                if faults and change % 5 == 4:  # one of the two stands still for a while
                    await anyio.sleep(chance.uniform(0.2, 0.9))
                    stopped = chance.choice((before, current))
                    lives.signal(stopped, signal.SIGSTOP)
                    await anyio.sleep(chance.uniform(0.1, 1.0))
                    lives.signal(stopped, signal.SIGCONT)
                    came["stood still"] += 1
                tries = 1
                while not await lives.serves(current, 15):
                    came["heir died or did not come"] += 1
                    lives.signal(current, signal.SIGKILL)
                    tries += 1
                    if tries > 8:
                        raise RuntimeError(f"no server comes up after life {current}")
                    current = lives.start({"keeps": keeps})
                came["changes"] += 1
                if not lives.lives(before):
                    came["elder died or was done at once"] += 1
                elif not await lives.gone(before, STOP / 1000 + 2.0):
                    came["elder did not end"] += 1
                    lives.signal(before, signal.SIGKILL)
                if change % 10 == 9:
                    tell(f"{change + 1} changes, {len(farm.ran)} runs")
            await load.end()
        finally:
            lives.close()
            group.cancel_scope.cancel()
    events = [event for life in lives.processes for event in lives.events(life)]
    froze = [
        one["froze_us"] / 1000 for one in events if one.get("state") == "handed over" and not one["again"]
    ]
    return {
        **load.judged(),
        **came,
        "handed_over": len(froze),
        "froze_ms_p50": round(statistics.median(froze), 2) if froze else None,
        "froze_ms_most": round(max(froze), 2) if froze else None,
        "slowest_answer_ms": slowest(load),
        "faults_logged": sum(one["event"] == "fault" for one in events),
        "seconds": round(time.monotonic() - begun, 1),
    }


def in_folder(
    seed: int, count: int, faults: bool, keeps: bool, tell: Callable[[str], None]
) -> dict[str, Any]:
    with folder_of("handover", f"thistleline lab handover --seed {seed}") as folder:
        found = anyio.run(changes, folder, seed, count, faults, keeps, tell)
        if found["run_twice"] and not keeps:
            (folder / "keep").touch()
        return found


def run(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """All figures, bars and whether they held."""
    calm = in_folder(seed, 5 if quick else 30, False, False, tell)
    storm = in_folder(seed + 1, 9 if quick else 120, True, False, tell)
    broken = in_folder(seed + 2, 3 if quick else 10, False, True, tell)
    bars = {"a server that keeps its right is found": broken["run_twice"] > 0}
    for name, found in (("calm", calm), ("with faults", storm)):
        for what in ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result"):
            bars[f"{name}: {what.replace('_', ' ')}: none"] = found[what] == 0
        bars[f"{name}: all bookings answered"] = found["unanswered"] == 0
        bars[f"{name}: all lookups answered"] = found["lookups_unanswered"] == 0
    bars["calm: no try lost, none abandoned, none rejected"] = (
        calm["lost_tries"] + calm.get("abandoned", 0) + calm.get("rejected", 0) == 0
    )
    figures = {"calm": calm, "with faults": storm, "keeps its right": broken}
    return {"figures": figures, "bars": bars, "held": all(bars.values())}
