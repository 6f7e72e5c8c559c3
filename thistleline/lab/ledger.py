"""Bookings while the server is killed and its disk fails: does any run twice, is any lost after it ran?

Real processes and sockets. The farm agent lives in this process, outlives every server and keeps the record
that the oracle judges by; the oracle reads nothing of the server's.
"""

import json
import os
import random
import resource
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.lab.caller import Caller, Told
from thistleline.lab.farm import FarmStandIn, Ran
from thistleline.lab.harness import free_port
from thistleline.ledger import format as ledger_format
from thistleline.ledger.format import Intent, Outcome
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk

WINDOW, LIMIT, DUE = 9.0, 4.0, 2.0  # seconds
LIFE_TAKES = 0.75  # seconds, about, with its start
LIFE = (0.2, 1.0)  # seconds of a server between its first task and its kill
POINTS = (
    *(
        "in:TaskReceived",
        "in:RunCompleted",
        "in:WriteCompleted",
        "in:DeadlineReached",
        "in:AgentGreeted",
        "in:EffectsRecovered",
    ),
    *(
        "before:WriteLedger",
        "after:WriteLedger",
        "before:StartRun",
        "after:StartRun",
        "before:AnswerFinished",
        "after:AnswerFinished",
    ),
)
ONCE = ("in:WriteCompleted", "in:AgentGreeted", "in:EffectsRecovered")
DISKS = ("once", "slow", "full", "read-only")
SETTINGS: dict[str, Any] = {
    "allowed": {"maxRetryAfter": 1.0, "retryAfter": True},
    "classes": [{"name": "booking", "effect": "idempotency_key", "credit": 2.0, "promise": DUE,
                 "deadline": LIMIT, "window": WINDOW}],
    "clientHabits": {"marksRetry": True},
    "familyInfo": {"blowup": 1.0, "callsOut": 0.0, "cpus": 64, "dependsOn": "none", "freshStart": False,
                   "gauges": ["core_use", "on_cores", "heap_share", "links"], "halt": "abort", "keyKb": 0.001,
                   "memoryKb": 4e6, "say": "none", "shareSpan": 5.0, "staysFor": 0.2, "upstreams": 3},
    "granularity": 0.001,
    "groupSize": 3,
    "invariants": {"cold": 1.0, "coldFrom": 1.0, "drainGrace": 2.0, "fall": 2.0, "fallMultiple": 8.0,
                   "graceToAnswer": 0.1},
    "overShareWorth": 1.0,
    "projects": [{"name": "studio", "portion": 1.0, "allowancePerS": 1e6}],
}  # fmt: skip


class Server:
    """One life after another of the program, each with its fault."""

    def __init__(self, folder: Path, agent_port: int, port: int, ledger: bool) -> None:
        self.folder, self.port = folder, port
        told = {"name": "n1", "listen": f"127.0.0.1:{port}", "agent": f"127.0.0.1:{agent_port}",
                "announce": "127.0.0.1:9", "seed": "1f", "stop_ms": 1000, "settings": SETTINGS,
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512}}  # fmt: skip
        (folder / "config.json").write_text(json.dumps(told))
        self.env = {**os.environ, "ROUTER_CONFIG": str(folder / "config.json")}
        self.env.pop("THISTLELINE_CONF", None)
        if ledger:
            (folder / "lab.conf").write_text(f"ledger folder {folder}/kept\nledger disk 64M\n")
            self.env["THISTLELINE_CONF"] = str(folder / "lab.conf")
        self.process: subprocess.Popen[bytes] | None = None
        self.log = (folder / "server.log").open("ab")
        self.lives = 0

    def start(self, fault: dict[str, Any]) -> None:
        self.lives += 1
        command = [sys.executable, "-m", "thistleline.lab.server"]
        env = {**self.env, "LAB_FAULT": json.dumps(fault)}
        self.process = subprocess.Popen(command, env=env, stdout=self.log, stderr=self.log)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def ended(self, patience: float) -> bool:
        """Whether it ended by itself in time."""
        assert self.process is not None
        due = time.monotonic() + patience
        while time.monotonic() < due:
            if self.process.poll() is not None:
                return True
            await anyio.sleep(0.005)
        return False

    async def listens(self) -> bool:
        """Waits for its first connection; false if it ended before."""
        assert self.process is not None
        while self.process.poll() is None:
            try:
                await (await anyio.connect_tcp("127.0.0.1", self.port)).aclose()
                return True
            except OSError:
                await anyio.sleep(0.01)
        return False

    def events(self) -> list[dict[str, Any]]:
        self.log.flush()
        lines = (self.folder / "server.log").read_bytes().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]


def _story(wrong: Told, caller: Caller, runs: list[Ran]) -> str:
    """All that is known of a booking that ended wrongly."""
    tries = [f"{one.kind} {one.sent:.3f}-{one.at:.3f}" for one in caller.told if one.mark == wrong.mark]
    ran = [f"began {run.began:.3f}, its try made {caller.since.get(run.id, 0.0):.3f}" for run in runs]
    return f"wrong: {wrong.body!r}: tries {tries}; runs {ran}"


def judge(farm: FarmStandIn, caller: Caller) -> dict[str, int]:
    """The oracle: the agent's record against what callers were told. A window counts from the time of the try
    that ran, as the agent's pages have it, and not from the run's begin, which may be much later where this
    process or the agent stood still."""
    told = caller.told
    figures: Counter[str] = Counter(
        {
            "run_twice": 0,
            "rejected_after_run": 0,
            "acknowledged_and_lost": 0,
            "another_result": 0,
            "unanswered": 0,
        }
    )
    for runs in farm.ran.values():
        runs = sorted(runs, key=lambda run: run.began)
        figures["run_twice"] += sum(1 for one, other in pairwise(runs) if other.began - one.began < WINDOW)
    finished: dict[str, bytes] = {}
    for one in sorted(told, key=lambda told: told.at):
        figures[one.kind] += 1
        runs = farm.ran.get(one.body, [])
        if one.kind == "rejected" and any(
            run.began < one.sent < caller.since.get(run.id, run.began) + WINDOW for run in runs
        ):
            print(_story(one, caller, runs), file=sys.stderr)
            figures["rejected_after_run"] += 1
        if one.kind == "finished":
            if not any(run.result == one.value for run in runs):
                figures["acknowledged_and_lost" if not runs else "another_result"] += 1
            elif one.mark in finished and finished[one.mark] != one.value:
                figures["another_result"] += 1
            if one.mark in finished:
                figures["repeats_given_the_result"] += 1
            finished.setdefault(one.mark, one.value)
        if one.kind == "abandoned":
            ran = any(run.began < one.at for run in runs)
            figures["abandoned_after_a_run" if ran else "abandoned_unrun"] += 1
    # Each booking, by the best that its callers ever heard; those that never ran, by why.
    heard: dict[str, set[str]] = {}
    for one in told:
        heard.setdefault(one.mark, set()).add(one.kind)
    bodies = {one.mark: one.body for one in told}
    for mark, kinds in heard.items():
        best = next((kind for kind in ("finished", "abandoned", "rejected") if kind in kinds), "unanswered")
        figures["unanswered"] += best == "unanswered"
        if bodies[mark] not in farm.ran:
            figures[f"never_run_{best}"] += 1
    figures["bookings_run"] = len(farm.ran)
    figures["bookings_finished"] = len(finished)
    return dict(figures)


async def storm(
    folder: Path, seed: int, bookings: int, kills: int, sync: bool, tell: Callable[[str], None]
) -> dict[str, Any]:
    """The bookings under kills and failing disks; the oracle's figures."""
    chance = random.Random(seed)
    farm = FarmStandIn(seed, (0.002, 0.15))
    begun = time.monotonic()
    points: Counter[str] = Counter()
    done = anyio.Event()
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        port = free_port()
        server = Server(folder, farm.port, port, True)
        caller = Caller(lambda: ("127.0.0.1", port), seed, 8, "booking", "studio")

        async def all_bookings(inner: TaskGroup) -> None:
            async with anyio.create_task_group() as each:
                at = time.monotonic() + 0.5
                for number in range(bookings):
                    at += chance.expovariate(bookings / (kills * LIFE_TAKES))
                    each.start_soon(caller.booking, number, at, 8.0, 0.3, inner)
            done.set()

        server.start({"sync": sync})
        await server.listens()
        group.start_soon(all_bookings, group)
        life = 0
        while not done.is_set() and life < 20 * kills + 100:
            life += 1
            fault: dict[str, Any] = {"sync": sync}
            if life <= kills and life % 2:
                point = POINTS[life // 2 % len(POINTS)]
                fault["kill"] = [
                    point,
                    1 if point in ONCE else chance.randint(1, 60),
                ]
            if life % 5 == 2:
                fault |= {"disk": DISKS[life // 5 % len(DISKS)], "at": chance.randint(1, 12)}
            if life > 1:
                server.start(fault)
            if life > kills:
                with anyio.move_on_after(60):
                    await done.wait()
                break
            await server.listens()
            if "kill" in fault:
                by_itself = await server.ended(chance.uniform(*LIFE))
                points[fault["kill"][0] if by_itself else "at random"] += 1
            else:
                await anyio.sleep(chance.uniform(*LIFE))
                points["at random"] += 1
            server.kill()
            if life % max(1, kills // 10) == 0:
                tell(f"{life} of {kills} kills, {len(farm.ran)} bookings run, {len(caller.told)} tries")
        server.kill()
        group.cancel_scope.cancel()
    events = server.events()
    figures = judge(farm, caller)
    return {
        **figures,
        "bookings": bookings,
        "kills": sum(points.values()),
        "kill_points": dict(sorted(points.items())),
        "disk_failures": sum(
            1 for one in events if one["event"] == "ledger" and one.get("state") == "failing"
        ),
        "faults": sum(1 for one in events if one["event"] == "fault"),
        "answered_all": done.is_set(),
        "late_ms": round(caller.late * 1000, 1),
        "seconds": round(time.monotonic() - begun, 1),
    }


async def speed(folder: Path, ledger: bool, each: bool, seconds: float, callers: int) -> dict[str, Any]:
    """Bookings a second of one server with so many callers that ask one after another."""
    farm = FarmStandIn(1, (0.0, 0.001))
    times: list[float] = []
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        port = free_port()
        server = Server(folder, farm.port, port, ledger)
        server.start({"each": each})
        await server.listens()
        await anyio.sleep(0.3)
        caller = Caller(lambda: ("127.0.0.1", port), 1, 4, "booking", "studio")
        until = time.monotonic() + seconds

        async def one(place: int) -> None:
            number = place
            while time.monotonic() < until:
                number += callers
                told = await caller.ask(f"{number:032x}", b"booking %d" % number, False, group)
                if told.kind == "finished":
                    times.append(told.at - told.sent)

        async with anyio.create_task_group() as asking:
            for place in range(callers):
                asking.start_soon(one, place)
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        before = usage.ru_utime + usage.ru_stime
        server.kill()
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        group.cancel_scope.cancel()
    times.sort()
    return {
        "a_second": round(len(times) / seconds, 1),
        "p50_ms": round(times[len(times) // 2] * 1000, 2),
        "p99_ms": round(times[len(times) * 99 // 100] * 1000, 2),
        "cpu_us_each": round((usage.ru_utime + usage.ru_stime - before) / len(times) * 1e6),
    }


def recovery(folder: Path, entries: int) -> dict[str, Any]:
    """Time, memory and bytes of so many entries with results of 64 bytes."""
    disk = Disk(folder)
    disk.acquire()
    store = LedgerStore(disk, ("booking",))
    now, span = boot_now(), 3600 * 1_000_000_000
    disk.begin(1)
    disk.append(ledger_format.encode_header(store.stages, store.boot))
    for first in range(0, entries, 1000):
        numbers = range(first + 1, min(first + 1000, entries) + 1)
        intents = [Intent(n, 0, n.to_bytes(16, "big"), now + span, span, b"%016x" % n) for n in numbers]
        disk.append(ledger_format.encode_frame(intents, [Outcome(n, 0, b"r" * 64) for n in numbers]))
    size = disk.segments()[0][1]
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    ledger = LedgerState(1 << 40, 1 << 40, now, lambda number: None)
    begun = time.perf_counter()
    found = store.recover(ledger)
    took = time.perf_counter() - begun
    disk.release()
    return {
        "entries": len(found),
        "seconds": round(took, 3),
        "disk_bytes_each": round(size / entries),
        "memory_bytes_each": round(
            (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) * 1024 / entries
        ),
    }


def steady(folder: Path, seconds: int, rate: int, window: float, result: int, bound: int) -> dict[str, Any]:
    """Bookings at one rate in virtual time, real files: the most bytes that the folder ever held. Each ends
    50 ms after its start; a group goes out every 10 ms; there is no sync, as nobody is killed here."""
    disk = Disk(folder)
    disk.acquire()
    store, now = LedgerStore(disk, ("booking",), sync=False), boot_now()
    ledger = LedgerState(bound, 1 << 20, now, lambda number: b"r" * result)
    span, step = int(window * 1e9), 10_000_000
    running: deque[tuple[int, int]] = deque()
    started = most = refused = 0
    for turn in range(seconds * 100):
        now += step
        while running and running[0][0] <= now:
            ledger.record_outcome(now, running.popleft()[1], "finished", b"r" * result)
        while started + refused < rate * turn // 100:
            number = ledger.record_intent(now, 0, started.to_bytes(16, "big"), span, b"")
            if number is None:
                refused += 1
            else:
                started += 1
                running.append((now + 5 * step, number))
        work = ledger.next_write(now)
        if work is not None:
            store.write(work)
            ledger.write_completed(now)
        if turn % 100 == 0:
            most = max(most, sum(size for _, size in disk.segments()))
    disk.release()
    return {
        "bookings": started,
        "refused": refused,
        "results_left_out": ledger.dropped_results,
        "most_bytes": most,
        "bound": bound,
        "effects_at_the_end": len(ledger.effects),
    }


def run(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """All figures, bars and whether they held."""
    bookings, kills = (1000, 20) if quick else (10_000, 200)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)

        def place(word: str) -> Path:
            (folder / word).mkdir()
            return folder / word

        tell(f"{bookings} bookings, {kills} kills")
        figures: dict[str, Any] = {
            "storm": anyio.run(storm, place("storm"), seed, bookings, kills, True, tell)
        }
        tell("the same with the sync left out: the oracle has to find it")
        blind = anyio.run(storm, place("blind"), seed, bookings // 4, max(10, kills // 4), False, tell)
        figures["sync_left_out"] = {"run_twice": blind["run_twice"], "kills": blind["kills"]}
        for word, ledger, each in (("off", False, False), ("on", True, False), ("each", True, True)):
            tell(f"speed, ledger {word}")
            figures[f"speed_{word}"] = anyio.run(speed, place(word), ledger, each, 2.0 if quick else 6.0, 64)
        for entries in (10_000, 100_000) if quick else (10_000, 100_000, 1_000_000):
            tell(f"recovery of {entries} entries")
            figures[f"recovery_{entries}"] = recovery(place(f"r{entries}"), entries)
        tell("ten minutes of bookings, in virtual time")
        seconds = 60 if quick else 600
        figures["steady"] = steady(place("steady"), seconds, 2300, 23.0, 64, 64 << 20)
        figures["steady_over_bound"] = steady(place("over"), seconds, 2300, 23.0, 64, 4 << 20)
    storm_figures = figures["storm"]
    bars = {
        name: storm_figures[name] == 0
        for name in (
            *("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result", "faults"),
            "unanswered",
        )
    }
    bars["every booking came to an end"] = storm_figures["answered_all"]
    for name in ("steady", "steady_over_bound"):
        bars[f"{name} within its bound on disk"] = figures[name]["most_bytes"] <= figures[name]["bound"]
    bars["nothing refused where the bound fits"] = figures["steady"]["refused"] == 0
    bars["kills"] = storm_figures["kills"] >= kills
    bars["the oracle finds a sync left out"] = figures["sync_left_out"]["run_twice"] > 0
    return {"figures": figures, "bars": bars, "held": all(bars.values())}
