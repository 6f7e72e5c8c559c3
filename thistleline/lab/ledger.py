"""Bookings while the server is killed and its disk fails: whether any runs twice or is lost after its run.

Real processes and sockets. The fake farm agent (processes/render_farm.py) runs in this process, outlives
every server and records every run. The oracle, `judge`, compares that record with the answers to callers
(processes/load_generator.py) and uses no data of the server's. The verdict rests on its counts and on the
bounds of disk use.
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

from thistleline.lab.processes.harness import free_port, read_events
from thistleline.lab.processes.load_generator import AttemptOutcome, Caller
from thistleline.lab.processes.render_farm import FakeFarmAgent, RunRecord
from thistleline.ledger import format as ledger_format
from thistleline.ledger.format import Intent, Outcome
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk

# Of the stage `booking`, in seconds: idempotency window, deadline, promised time of an answer.
WINDOW, DEADLINE, PROMISE = 9.0, 4.0, 2.0
INCARNATION_SECONDS = 0.75  # approximate, including the start; sets the rate of bookings
SERVING_SECONDS = (0.2, 1.0)  # of a server between its first connection and its kill
POLL_INTERVAL = 0.005  # s between two checks of a process
BOOKING_TIMEOUT = 8.0  # s that a caller retries a booking
REPEAT_SHARE = 0.3  # of bookings that are sent again after the final answer
KILL_POINTS = (  # points at which processes/faulty_server.py kills itself
    "in:TaskReceived",
    "in:RunCompleted",
    "in:WriteCompleted",
    "in:DeadlineReached",
    "in:AgentGreeted",
    "in:EffectsRecovered",
    "before:WriteLedger",
    "after:WriteLedger",
    "before:StartRun",
    "after:StartRun",
    "before:AnswerFinished",
    "after:AnswerFinished",
)
# The server kills itself when it first reaches one of these points, and at a random pass of the others.
FIRST_PASS_POINTS = ("in:WriteCompleted", "in:AgentGreeted", "in:EffectsRecovered")
DISK_FAULTS = ("once", "slow", "full", "read-only")
SETTINGS: dict[str, Any] = {
    "allowed": {"maxRetryAfter": 1.0, "retryAfter": True},
    "classes": [{"name": "booking", "effect": "idempotency_key", "credit": 2.0, "promise": PROMISE,
                 "deadline": DEADLINE, "window": WINDOW}],
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


def deploy_config(
    name: str, port: int, agent_port: int, stop_ms: int, settings: dict[str, Any]
) -> dict[str, Any]:
    """Return the deploy file of a server on loopback, as JSON values."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "agent": f"127.0.0.1:{agent_port}",
        "announce": "127.0.0.1:9",
        "seed": "1f",
        "stop_ms": stop_ms,
        "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512},
    }


class ServerProcess:
    """The server under test, one incarnation after another, each with its own fault plan.

    The faults are those of processes/faulty_server.py.
    """

    def __init__(self, folder: Path, agent_port: int, port: int, ledger: bool) -> None:
        """Write the server's configuration files; `ledger` is whether it has a ledger."""
        self.folder = folder
        self.port = port
        config = folder / "config.json"
        config.write_text(json.dumps(deploy_config("n1", port, agent_port, 1000, SETTINGS)))
        self.env = {**os.environ, "ROUTER_CONFIG": str(config)}
        self.env.pop("THISTLELINE_CONF", None)
        if ledger:
            (folder / "lab.conf").write_text(f"ledger folder {folder}/kept\nledger disk 64M\n")
            self.env["THISTLELINE_CONF"] = str(folder / "lab.conf")
        self.process: subprocess.Popen[bytes] | None = None
        self.log = (folder / "server.log").open("ab")

    def start(self, fault_plan: dict[str, Any]) -> None:
        """Start the next incarnation."""
        command = [sys.executable, "-m", "thistleline.lab.processes.faulty_server"]
        env = {**self.env, "LAB_FAULT": json.dumps(fault_plan)}
        self.process = subprocess.Popen(command, env=env, stdout=self.log, stderr=self.log)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_for_exit(self, timeout: float) -> bool:
        """Return whether the process ended by itself in `timeout` seconds."""
        assert self.process is not None
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                return True
            await anyio.sleep(POLL_INTERVAL)
        return False

    async def wait_until_listening(self) -> bool:
        """Wait until a connection succeeds; return False if the process ended before."""
        assert self.process is not None
        while self.process.poll() is None:
            try:
                await (await anyio.connect_tcp("127.0.0.1", self.port)).aclose()
                return True
            except OSError:
                await anyio.sleep(0.01)
        return False

    def events(self) -> list[dict[str, Any]]:
        """Return the JSON events of all incarnations."""
        self.log.flush()
        return read_events(self.folder / "server.log")


# ---- the oracle


def _describe_violation(outcome: AttemptOutcome, caller: Caller, runs: list[RunRecord]) -> str:
    """Describe a booking that violates an invariant, with all its attempts and runs."""
    attempts = [
        f"{one.kind} {one.sent_at:.3f}-{one.answered_at:.3f}"
        for one in caller.outcomes
        if one.key == outcome.key
    ]
    ran = [
        f"started {run.started_at:.3f}, its attempt created {caller.created_at.get(run.id, 0.0):.3f}"
        for run in runs
    ]
    return f"wrong: {outcome.body!r}: attempts {attempts}; runs {ran}"


def judge(farm: FakeFarmAgent, caller: Caller) -> dict[str, int]:
    """Compare the agent's record of runs with the answers to callers, and count violations.

    The idempotency window counts from the creation of the attempt that ran, as the agent defines it, and not
    from the start of the run, which may be much later if this process or the agent was paused.
    """
    counts: Counter[str] = Counter(
        {
            "run_twice": 0,
            "rejected_after_run": 0,
            "acknowledged_and_lost": 0,
            "another_result": 0,
            "unanswered": 0,
        }
    )
    for runs in farm.runs.values():
        starts = sorted(run.started_at for run in runs)
        counts["run_twice"] += sum(1 for first, second in pairwise(starts) if second - first < WINDOW)
    results: dict[str, bytes] = {}  # the first result that a caller got, by key
    for outcome in sorted(caller.outcomes, key=lambda outcome: outcome.answered_at):
        counts[outcome.kind] += 1
        runs = farm.runs.get(outcome.body, [])
        if outcome.kind == "rejected" and any(
            run.started_at < outcome.sent_at < caller.created_at.get(run.id, run.started_at) + WINDOW
            for run in runs
        ):
            print(_describe_violation(outcome, caller, runs), file=sys.stderr)
            counts["rejected_after_run"] += 1
        if outcome.kind == "finished":
            _judge_result(outcome, runs, results, counts)
        if outcome.kind == "abandoned":
            ran = any(run.started_at < outcome.answered_at for run in runs)
            counts["abandoned_after_a_run" if ran else "abandoned_unrun"] += 1
    _judge_bookings(farm, caller, counts)
    counts["bookings_run"] = len(farm.runs)
    counts["bookings_finished"] = len(results)
    return dict(counts)


def _judge_result(
    outcome: AttemptOutcome, runs: list[RunRecord], results: dict[str, bytes], counts: Counter[str]
) -> None:
    """Check one result against the runs and against the first result given for the same key."""
    if not any(run.result == outcome.value for run in runs):
        counts["acknowledged_and_lost" if not runs else "another_result"] += 1
    elif outcome.key in results and results[outcome.key] != outcome.value:
        counts["another_result"] += 1
    if outcome.key in results:
        counts["repeats_given_the_result"] += 1
    results.setdefault(outcome.key, outcome.value)


def _judge_bookings(farm: FakeFarmAgent, caller: Caller, counts: Counter[str]) -> None:
    """Count unanswered bookings, and those that never ran by the best answer to any of their attempts."""
    kinds_of: dict[str, set[str]] = {}
    for outcome in caller.outcomes:
        kinds_of.setdefault(outcome.key, set()).add(outcome.kind)
    bodies = {outcome.key: outcome.body for outcome in caller.outcomes}
    for key, kinds in kinds_of.items():
        best = next((kind for kind in ("finished", "abandoned", "rejected") if kind in kinds), "unanswered")
        counts["unanswered"] += best == "unanswered"
        if bodies[key] not in farm.runs:
            counts[f"never_run_{best}"] += 1


# ---- the runs


def _fault_plan(rng: random.Random, incarnation: int, kills: int, sync: bool) -> dict[str, Any]:
    """Return the faults of one incarnation: every second one has a kill point, every fifth a disk fault."""
    plan: dict[str, Any] = {"sync": sync}
    if incarnation <= kills and incarnation % 2:
        point = KILL_POINTS[incarnation // 2 % len(KILL_POINTS)]
        plan["kill"] = [point, 1 if point in FIRST_PASS_POINTS else rng.randint(1, 60)]
    if incarnation % 5 == 2:
        plan |= {"disk": DISK_FAULTS[incarnation // 5 % len(DISK_FAULTS)], "at": rng.randint(1, 12)}
    return plan


async def _serve_until_killed(server: ServerProcess, plan: dict[str, Any], rng: random.Random) -> str:
    """Wait until the server is killed, by its fault or by this process; return the point of the kill."""
    await server.wait_until_listening()
    point = "at random"
    if "kill" in plan:
        if await server.wait_for_exit(rng.uniform(*SERVING_SECONDS)):
            point = plan["kill"][0]
    else:
        await anyio.sleep(rng.uniform(*SERVING_SECONDS))
    server.kill()
    return point


async def storm(
    folder: Path, seed: int, bookings: int, kills: int, sync: bool, progress: Callable[[str], None]
) -> dict[str, Any]:
    """Send bookings while servers are killed and disks fail.

    Args:
        folder: Of the run.
        seed: Of the fault plan and the load.
        bookings: How many, spread over the expected time of the kills.
        kills: How many incarnations are killed; the one after them serves the remaining bookings.
        sync: Whether the ledger syncs its files; if not, the oracle has to find violations.
        progress: Called with lines of progress.

    Returns:
        The oracle's counts, and figures of the run.
    """
    rng = random.Random(seed)
    farm = FakeFarmAgent(seed, (0.002, 0.15))
    started_at = time.monotonic()
    kill_points: Counter[str] = Counter()
    done = anyio.Event()
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        port = free_port()
        server = ServerProcess(folder, farm.port, port, True)
        caller = Caller(lambda: ("127.0.0.1", port), seed, 8, "booking", "studio")

        async def send_bookings(readers: TaskGroup) -> None:
            async with anyio.create_task_group() as callers:
                start_at = time.monotonic() + 0.5
                for number in range(bookings):
                    start_at += rng.expovariate(bookings / (kills * INCARNATION_SECONDS))
                    callers.start_soon(caller.book, number, start_at, BOOKING_TIMEOUT, REPEAT_SHARE, readers)
            done.set()

        server.start({"sync": sync})
        await server.wait_until_listening()
        group.start_soon(send_bookings, group)
        incarnation = 0
        while not done.is_set() and incarnation < 20 * kills + 100:
            incarnation += 1
            plan = _fault_plan(rng, incarnation, kills, sync)
            if incarnation > 1:
                server.start(plan)
            if incarnation > kills:
                with anyio.move_on_after(60):
                    await done.wait()
                break
            kill_points[await _serve_until_killed(server, plan, rng)] += 1
            if incarnation % max(1, kills // 10) == 0:
                progress(
                    f"{incarnation} of {kills} kills, {len(farm.runs)} bookings run, "
                    f"{len(caller.outcomes)} attempts"
                )
        server.kill()
        group.cancel_scope.cancel()
    events = server.events()
    return {
        **judge(farm, caller),
        "bookings": bookings,
        "kills": sum(kill_points.values()),
        "kill_points": dict(sorted(kill_points.items())),
        "disk_failures": sum(
            1 for event in events if event["event"] == "ledger" and event.get("state") == "failing"
        ),
        "faults": sum(1 for event in events if event["event"] == "fault"),
        "answered_all": done.is_set(),
        "late_ms": round(caller.max_delay * 1000, 1),
        "seconds": round(time.monotonic() - started_at, 1),
    }


def _cpu_seconds_of_children() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


async def speed(folder: Path, ledger: bool, each: bool, seconds: float, callers: int) -> dict[str, Any]:
    """Measure the throughput of one server under a closed loop of callers.

    Args:
        folder: Of the run.
        ledger: Whether the server has a ledger.
        each: Whether every record is written by itself instead of in groups.
        seconds: Of load.
        callers: How many, each with one request at a time.

    Returns:
        Bookings a second, latency quantiles in ms, and the server's CPU time for each booking in us.
    """
    farm = FakeFarmAgent(1, (0.0, 0.001))
    latencies: list[float] = []  # s
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        port = free_port()
        server = ServerProcess(folder, farm.port, port, ledger)
        server.start({"each": each})
        await server.wait_until_listening()
        await anyio.sleep(0.3)
        caller = Caller(lambda: ("127.0.0.1", port), 1, 4, "booking", "studio")
        deadline = time.monotonic() + seconds

        async def call(number: int) -> None:
            while time.monotonic() < deadline:
                number += callers
                outcome = await caller.attempt(f"{number:032x}", b"booking %d" % number, False, group)
                if outcome.kind == "finished":
                    latencies.append(outcome.answered_at - outcome.sent_at)

        async with anyio.create_task_group() as callers_group:
            for first in range(callers):
                callers_group.start_soon(call, first)
        cpu_before = _cpu_seconds_of_children()
        server.kill()
        cpu_seconds = _cpu_seconds_of_children() - cpu_before
        group.cancel_scope.cancel()
    latencies.sort()
    return {
        "a_second": round(len(latencies) / seconds, 1),
        "p50_ms": round(latencies[len(latencies) // 2] * 1000, 2),
        "p99_ms": round(latencies[len(latencies) * 99 // 100] * 1000, 2),
        "cpu_us_each": round(cpu_seconds / len(latencies) * 1e6),
    }


def recovery(folder: Path, entries: int) -> dict[str, Any]:
    """Measure time (s), memory and disk bytes of recovering `entries` entries with results of 64 bytes."""
    disk = Disk(folder)
    disk.acquire()
    store = LedgerStore(disk, ("booking",))
    now = boot_now()
    window = 3600 * 1_000_000_000  # ns
    disk.begin(1)
    disk.append(ledger_format.encode_header(store.stages.all(), store.boot))
    for first in range(0, entries, 1000):
        numbers = range(first + 1, min(first + 1000, entries) + 1)
        intents = [Intent(n, 0, n.to_bytes(16, "big"), now + window, window, b"%016x" % n) for n in numbers]
        disk.append(ledger_format.encode_frame(intents, [Outcome(n, 0, b"r" * 64) for n in numbers]))
    size = disk.segments()[0][1]
    memory_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss  # kB
    ledger = LedgerState(1 << 40, 1 << 40, now, lambda number: None)
    started_at = time.perf_counter()
    recovered = store.recover(ledger)
    seconds = time.perf_counter() - started_at
    disk.release()
    return {
        "entries": len(recovered),
        "seconds": round(seconds, 3),
        "disk_bytes_each": round(size / entries),
        "memory_bytes_each": round(
            (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - memory_before) * 1024 / entries
        ),
    }


def steady(
    folder: Path, seconds: int, rate: int, window: float, result: int, max_bytes: int
) -> dict[str, Any]:
    """Write bookings at a steady rate in virtual time to real files, and measure the folder's greatest size.

    Each booking ends 50 ms after its start; a group is written every 10 ms. Files are not synced, as no
    process is killed.

    Args:
        folder: Of the ledger.
        seconds: Of virtual time.
        rate: Bookings a second.
        window: Idempotency window, seconds.
        result: Bytes of a result.
        max_bytes: The ledger's limit on disk.
    """
    disk = Disk(folder)
    disk.acquire()
    store, now = LedgerStore(disk, ("booking",), sync=False), boot_now()
    ledger = LedgerState(max_bytes, 1 << 20, now, lambda number: b"r" * result)
    window_ns = int(window * 1e9)
    step = 10_000_000  # ns
    running: deque[tuple[int, int]] = deque()  # (end in ns, number)
    started = refused = greatest_size = 0
    for turn in range(seconds * 100):
        now += step
        while running and running[0][0] <= now:
            ledger.record_outcome(now, running.popleft()[1], "finished", b"r" * result)
        while started + refused < rate * turn // 100:
            number = ledger.record_intent(now, 0, started.to_bytes(16, "big"), window_ns, b"")
            if number is None:
                refused += 1
            else:
                started += 1
                running.append((now + 5 * step, number))
        write = ledger.next_write(now)
        if write is not None:
            store.write(write)
            ledger.write_completed(now)
        if turn % 100 == 0:
            greatest_size = max(greatest_size, sum(size for _, size in disk.segments()))
    disk.release()
    return {
        "bookings": started,
        "refused": refused,
        "results_left_out": ledger.dropped_results,
        "most_bytes": greatest_size,
        "bound": max_bytes,
        "effects_at_the_end": len(ledger.effects),
    }


def run(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Run all parts; return the figures, the criteria and whether all held."""
    bookings, kills = (1000, 20) if quick else (10_000, 200)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)

        def subfolder(part: str) -> Path:
            (folder / part).mkdir()
            return folder / part

        progress(f"{bookings} bookings, {kills} kills")
        figures: dict[str, Any] = {
            "storm": anyio.run(storm, subfolder("storm"), seed, bookings, kills, True, progress)
        }
        progress("the same without syncs, which the oracle has to detect")
        unsynced = anyio.run(
            storm, subfolder("blind"), seed, bookings // 4, max(10, kills // 4), False, progress
        )
        figures["sync_left_out"] = {"run_twice": unsynced["run_twice"], "kills": unsynced["kills"]}
        for mode, ledger, each in (("off", False, False), ("on", True, False), ("each", True, True)):
            progress(f"throughput, ledger {mode}")
            figures[f"speed_{mode}"] = anyio.run(
                speed, subfolder(mode), ledger, each, 2.0 if quick else 6.0, 64
            )
        for entries in (10_000, 100_000) if quick else (10_000, 100_000, 1_000_000):
            progress(f"recovery of {entries} entries")
            figures[f"recovery_{entries}"] = recovery(subfolder(f"r{entries}"), entries)
        progress("a steady rate of bookings, in virtual time")
        seconds = 60 if quick else 600
        figures["steady"] = steady(subfolder("steady"), seconds, 2300, 23.0, 64, 64 << 20)
        figures["steady_over_bound"] = steady(subfolder("over"), seconds, 2300, 23.0, 64, 4 << 20)
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
