"""Handovers between servers on one machine under load, with kills and pauses on both sides of each.

Real processes and sockets. The fake farm agent (processes/render_farm.py) runs in this process and outlives
every server. The oracle judges bookings as for the ledger (lab/ledger.py), and lookups by whether each was
answered. It has to detect a server that still starts effects after it has handed over ("keeps its right").
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
from thistleline.lab.ledger import SETTINGS, deploy_config, judge
from thistleline.lab.processes.harness import RunTimeoutError, free_port, read_events, run_folder
from thistleline.lab.processes.load_generator import Caller
from thistleline.lab.processes.render_farm import FakeFarmAgent
from thistleline.transport.address import Address

STOP_MS = 1500  # a server has so long to stop
RATE = 60.0  # bookings a second, and as many lookups
START_TIMEOUT = 15.0  # s for a new server to serve
MAX_START_ATTEMPTS = 8
POLL_INTERVAL = 0.005  # s between two checks of a process
BOOKING_TIMEOUT = 8.0  # s that a caller retries a booking
LOOKUP_TIMEOUT = 6.0  # s that a caller retries a lookup
REPEAT_SHARE = 0.3  # of bookings that are sent again after the final answer
PREDECESSOR, SUCCESSOR = "elder", "heir"  # the sides of a handover
KILL_POINTS = (  # (side, point at which processes/faulty_server.py kills itself)
    (PREDECESSOR, "in:SuccessorReady"),
    (PREDECESSOR, "before:HandOver"),
    (PREDECESSOR, "after:HandOver"),
    (PREDECESSOR, "before:ForwardTask"),
    (SUCCESSOR, "in:EffectsRecovered"),
    (SUCCESSOR, "in:Inherited"),
    (SUCCESSOR, "in:AgentGreeted"),
    (SUCCESSOR, "before:RelayAgentEvent"),
    (PREDECESSOR, "in:ForwardedAnswered"),
    (PREDECESSOR, "after:ReportRunEnd"),
    (PREDECESSOR, "in:RunCompleted"),
    (SUCCESSOR, "in:TaskForwarded"),
    (SUCCESSOR, "in:HostedRunStarted"),
    (SUCCESSOR, "in:PredecessorRunEnded"),
    (SUCCESSOR, "before:WriteLedger"),
)
POINTS_PASSED_ONCE = (
    "in:SuccessorReady",
    "before:HandOver",
    "after:HandOver",
    "in:EffectsRecovered",
    "in:Inherited",
    "in:AgentGreeted",
)
LOOKUP = {"name": "lookup", "effect": "read_like", "credit": 1.0, "promise": 1.0, "deadline": 3.0}
HANDOVER_SETTINGS = {**SETTINGS, "classes": [*SETTINGS["classes"], LOOKUP]}


class ServerIncarnations:
    """The servers of one machine, numbered from 1; each takes over from the one before it."""

    def __init__(self, folder: Path, agent_port: int) -> None:
        """Write the deploy and program settings that the servers share."""
        self.folder = folder
        self.port = free_port()
        config = deploy_config("n1", self.port, agent_port, STOP_MS, HANDOVER_SETTINGS)
        (folder / "plate.json").write_text(json.dumps(config))
        (folder / "lab.conf").write_text(
            f"ledger folder {folder}/kept\nledger disk 64M\nhandover folder {folder}/handover\n"
        )
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.count = 0

    def start(self, fault_plan: dict[str, Any], settings: dict[str, Any] | None = None) -> int:
        """Start the next incarnation, with other settings if given, and return its number."""
        self.count += 1
        config = self.folder / "plate.json"
        if settings is not None:
            changed = {**json.loads(config.read_bytes()), "settings": settings}
            config = self.folder / f"plate-{self.count}.json"
            config.write_text(json.dumps(changed))
        env = {
            **os.environ,
            "ROUTER_CONFIG": str(config),
            "THISTLELINE_CONF": str(self.folder / "lab.conf"),
            "ROUTER_LIFE": str(self.count),
            "LAB_FAULT": json.dumps(fault_plan),
        }
        command = [sys.executable, "-m", "thistleline.lab.processes.faulty_server"]
        with (self.folder / f"{self.count}.log").open("wb") as log:
            self.processes[self.count] = subprocess.Popen(command, env=env, stdout=log, stderr=log)
        return self.count

    def is_running(self, incarnation: int) -> bool:
        """Whether the incarnation was started and has not ended."""
        return incarnation in self.processes and self.processes[incarnation].poll() is None

    @property
    def owner(self) -> int:
        """The incarnation that has the right to serve, according to the handover folder; 0 if none has."""
        return (read_owner(self.folder / "handover") or (0, 0))[0]

    async def wait_until_serving(self, incarnation: int, timeout: float) -> bool:
        """Return whether the incarnation became the owner in `timeout` seconds, without ending before."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline and self.is_running(incarnation):
            if self.owner == incarnation:
                return True
            await anyio.sleep(POLL_INTERVAL)
        return False

    async def wait_for_exit(self, incarnation: int, timeout: float) -> bool:
        """Return whether the incarnation ended in `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline and self.is_running(incarnation):
            await anyio.sleep(POLL_INTERVAL)
        return not self.is_running(incarnation)

    def signal(self, incarnation: int, number: int) -> None:
        """Send a signal to an incarnation if it runs."""
        if self.is_running(incarnation):
            self.processes[incarnation].send_signal(number)

    def events(self, incarnation: int) -> list[dict[str, Any]]:
        """Return the JSON events of an incarnation's log."""
        return read_events(self.folder / f"{incarnation}.log")

    def close(self) -> None:
        """Kill all incarnations and wait for their ends."""
        for process in self.processes.values():
            process.kill()
            process.wait()


class Load:
    """An open-loop load of bookings with repeats, and of lookups; with the oracle's counts for both."""

    def __init__(self, farm: FakeFarmAgent, address: Callable[[], Address], seed: int) -> None:
        """Make a load that begins with `generate`."""
        self.farm = farm
        self.rng = random.Random(seed)
        self.bookings = Caller(address, seed, 6, "booking", "studio")
        self.lookups = Caller(address, seed + 1, 3, "lookup", "studio")
        self.is_running = True
        self.done = anyio.Event()

    async def generate(self, rate: float, group: TaskGroup) -> None:
        """Send `rate` bookings and as many lookups a second until `end`; `group` runs the readers."""
        start_at, number = time.monotonic(), 0
        async with anyio.create_task_group() as callers:
            while self.is_running:
                start_at += self.rng.expovariate(rate)
                number += 1
                await anyio.sleep(max(0.0, start_at - time.monotonic()))
                callers.start_soon(self.bookings.book, number, start_at, BOOKING_TIMEOUT, REPEAT_SHARE, group)
                key, body = f"{number:032x}", b"lookup %d" % number
                deadline = time.monotonic() + LOOKUP_TIMEOUT
                callers.start_soon(self.lookups.retry_until_final, key, body, False, deadline, group)
        self.done.set()

    async def end(self) -> None:
        """Stop sending new requests, and wait, for 20 s at most, until no caller waits or retries."""
        self.is_running = False
        with anyio.move_on_after(20.0):
            await self.done.wait()

    def judge(self) -> dict[str, int]:
        """Return the oracle's counts; the agent's record stays unchanged."""
        lookup_runs = {
            body: self.farm.runs.pop(body) for body in list(self.farm.runs) if body.startswith(b"lookup")
        }
        counts = judge(self.farm, self.bookings)
        self.farm.runs |= lookup_runs
        outcomes = self.lookups.outcomes
        answered = {one.key for one in outcomes if one.kind in ("finished", "abandoned")}
        asked = {one.key for one in outcomes}
        counts["lookups"] = len(asked)
        counts["lookups_unanswered"] = len(asked - answered)
        counts["lookups_finished"] = len({one.key for one in outcomes if one.kind == "finished"})
        counts["lost_tries"] = sum(one.kind == "lost" for one in outcomes) + counts.get("lost", 0)
        return counts


def slowest_answer_ms(load: Load) -> float:
    """Return the latency of the slowest attempt that was answered, in ms."""
    outcomes = [*load.bookings.outcomes, *load.lookups.outcomes]
    latencies = (one.answered_at - one.sent_at for one in outcomes if one.kind != "lost")
    return round(max(latencies, default=0.0) * 1000, 1)


def _fault_plan(
    rng: random.Random, handover: int, faults: bool, starts_after_handover: bool
) -> dict[str, Any]:
    """Return the faults of the server that takes over in a handover.

    A kill on the predecessor's side is in the plan with which that server starts, so it takes effect at the
    handover after this one.
    """
    side, point = KILL_POINTS[handover % len(KILL_POINTS)]
    next_side, next_point = KILL_POINTS[(handover + 1) % len(KILL_POINTS)]
    plan: dict[str, Any] = {"keeps": starts_after_handover}
    if faults and side == SUCCESSOR:
        plan["kill"] = [point, 1 if point in POINTS_PASSED_ONCE else rng.randint(1, 3)]
    elif faults and next_side == PREDECESSOR:
        plan["kill"] = [next_point, 1 if next_point in POINTS_PASSED_ONCE else rng.randint(1, 3)]
    return plan


class HandoverRun:
    """One run: handovers of the servers, one after another, under load."""

    def __init__(
        self, servers: ServerIncarnations, seed: int, faults: bool, starts_after_handover: bool
    ) -> None:
        """Make a run.

        Args:
            servers: The machine's servers.
            seed: Of the fault plan.
            faults: Whether each handover has a fault on one side or the other.
            starts_after_handover: Whether servers start effects after they handed over (fault "keeps").
        """
        self.servers = servers
        self.rng = random.Random(seed)
        self.faults = faults
        self.starts_after_handover = starts_after_handover
        self.current = 0  # the incarnation that should serve
        self.counts: Counter[str] = Counter()

    async def start_first(self) -> None:
        """Start the first server.

        Raises:
            RunTimeoutError: It does not serve.
        """
        self.current = self.servers.start({"keeps": self.starts_after_handover})
        if not await self.servers.wait_until_serving(self.current, 20):
            raise RunTimeoutError("the first server does not serve in 20 s")

    async def hand_over(self, handover: int) -> None:
        """Start a successor; wait until a server serves and check that the predecessor ends.

        Raises:
            RunTimeoutError: No server starts serving.
        """
        servers = self.servers
        await anyio.sleep(self.rng.uniform(0.3, 1.0))
        plan = _fault_plan(self.rng, handover, self.faults, self.starts_after_handover)
        previous = self.current
        self.current = servers.start(plan)
        if self.faults and handover % 5 == 4:
            await self._pause_one(previous)
        await self._start_until_serving()
        self.counts["changes"] += 1
        if not servers.is_running(previous):
            self.counts["elder died or was done at once"] += 1
        elif not await servers.wait_for_exit(previous, STOP_MS / 1000 + 2.0):
            self.counts["elder did not end"] += 1
            servers.signal(previous, signal.SIGKILL)

    async def _pause_one(self, previous: int) -> None:
        await anyio.sleep(self.rng.uniform(0.2, 0.9))
        paused = self.rng.choice((previous, self.current))
        self.servers.signal(paused, signal.SIGSTOP)
        await anyio.sleep(self.rng.uniform(0.1, 1.0))
        self.servers.signal(paused, signal.SIGCONT)
        self.counts["stood still"] += 1

    async def _start_until_serving(self) -> None:
        attempts = 1
        while not await self.servers.wait_until_serving(self.current, START_TIMEOUT):
            self.counts["heir died or did not come"] += 1
            self.servers.signal(self.current, signal.SIGKILL)
            attempts += 1
            if attempts > MAX_START_ATTEMPTS:
                raise RunTimeoutError(
                    f"no server serves after {MAX_START_ATTEMPTS} attempts, last incarnation {self.current}"
                )
            self.current = self.servers.start({"keeps": self.starts_after_handover})


async def run_handovers(
    folder: Path,
    seed: int,
    count: int,
    faults: bool,
    starts_after_handover: bool,
    progress: Callable[[str], None],
) -> dict[str, Any]:
    """Hand over `count` times under load; see `HandoverRun` for the arguments.

    Returns:
        The oracle's counts, those of the run, and times in ms.
    """
    farm = FakeFarmAgent(seed, (0.005, 0.4))
    started_at = time.monotonic()
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        servers = ServerIncarnations(folder, farm.port)
        load = Load(farm, lambda: ("127.0.0.1", servers.port), seed)
        run = HandoverRun(servers, seed, faults, starts_after_handover)
        try:
            await run.start_first()
            group.start_soon(load.generate, RATE, group)
            for handover in range(count):
                await run.hand_over(handover)
                if handover % 10 == 9:
                    progress(f"{handover + 1} handovers, {len(farm.runs)} runs")
            await load.end()
        finally:
            servers.close()
            group.cancel_scope.cancel()
    events = [event for incarnation in servers.processes for event in servers.events(incarnation)]
    frozen_ms = [
        event["froze_us"] / 1000
        for event in events
        if event.get("state") == "handed over" and not event["again"]
    ]
    return {
        **load.judge(),
        **run.counts,
        "handed_over": len(frozen_ms),
        "froze_ms_p50": round(statistics.median(frozen_ms), 2) if frozen_ms else None,
        "froze_ms_most": round(max(frozen_ms), 2) if frozen_ms else None,
        "slowest_answer_ms": slowest_answer_ms(load),
        "faults_logged": sum(event["event"] == "fault" for event in events),
        "seconds": round(time.monotonic() - started_at, 1),
    }


def _run_in_folder(
    seed: int, count: int, faults: bool, starts_after_handover: bool, progress: Callable[[str], None]
) -> dict[str, Any]:
    """Run handovers in a folder of their own, which is kept if the oracle found an effect run twice."""
    with run_folder("handover", f"thistleline lab handover --seed {seed}") as folder:
        figures = anyio.run(run_handovers, folder, seed, count, faults, starts_after_handover, progress)
        if figures["run_twice"] and not starts_after_handover:
            (folder / "keep").touch()
        return figures


def run(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Run all parts; return the figures, the criteria and whether all held."""
    calm = _run_in_folder(seed, 5 if quick else 30, False, False, progress)
    storm = _run_in_folder(seed + 1, 9 if quick else 120, True, False, progress)
    broken = _run_in_folder(seed + 2, 3 if quick else 10, False, True, progress)
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
