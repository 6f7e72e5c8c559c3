"""Machines under supervisors, with the program itself as their servers, fake farm agents and callers.

The fleet of real processes, built on processes/harness.py, is rolled from release to release while parts
fail. The faults of a release are a fault plan of processes/faulty_server.py in its start script (`RELEASES`).
The oracle is the ledger's (lab/ledger.py), over all machines.
"""

import fcntl
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import msgspec
from anyio.abc import TaskGroup

from thistleline.lab.ledger import SETTINGS, deploy_config, judge
from thistleline.lab.processes.harness import Fleet, Process, RunTimeoutError, free_port
from thistleline.lab.processes.load_generator import Caller
from thistleline.lab.processes.render_farm import FakeFarmAgent
from thistleline.lease.protocol import Get, Got, Put
from thistleline.rollout.order import ORDER_KEY, Order
from thistleline.rollout.record import RECORD_KEY, RolloutRecord
from thistleline.supervisor.model import Version
from thistleline.supervisor.releases import Releases

ROOT = Path(__file__).resolve().parents[3]
REPORT_INTERVAL = 0.5  # s between two reports of a server's metrics
RATE = 12.0  # bookings a second to a machine
BOOKING_TIMEOUT = 6.0  # s that a caller retries a booking
REPEAT_SHARE = 0.1  # of bookings that are sent again after the final answer
POLL_INTERVAL = 0.05  # s between two checks of a condition
ROLLOUT_POLL_INTERVAL = 0.1  # s between two reads of the rollout's record
REPLICAS = 3
SEEDS = 3  # machines that are gossip seeds
CONTROLLERS = ("c0", "c1")
_decode_rollout = msgspec.msgpack.Decoder(RolloutRecord).decode
_encode = msgspec.msgpack.Encoder().encode

# The fault plan (processes/faulty_server.py) of each release, by its name; None: it does not start.
RELEASES: dict[str, dict[str, Any] | None] = {
    "base": {},
    "good": {},
    "better": {},
    "no-start": None,
    "dies": {"kill": ["in:TaskReceived", 60]},
    "dies-later": {"die_after": 12},
    "stalls": {"stall": 60},
    "stalls-in-z1": {"stall": 60, "only": ["m1", "m4", "m7"]},
    "stalls-cold": {"stall": 80, "cold": 6},
    "stalls-loaded": {"stall": 150, "over": 2},
    "leaks": {"leak": 100},
    "mute": {"figures": 1e6},
    "loses": {"loses": 8},
}
HARMLESS = ("base", "good", "better")
HARMFUL = tuple(name for name in RELEASES if name not in HARMLESS)


class ServingRelease(NamedTuple):
    """The release and the incarnation that serve on a machine; ("", 0) if none does."""

    release: str
    incarnation: int


class Machine:
    """One machine: its fake agent, its callers, and the files of its supervisor and server."""

    def __init__(self, name: str, zone: str, folder: Path, seed: int, handover: bool) -> None:
        """Make a machine; `handover` is whether a new server starts beside the old one and takes over."""
        self.name = name
        self.zone = zone
        self.folder = folder
        self.handover = handover
        self.port = free_port()
        self.farm = FakeFarmAgent(seed, (0.005, 0.05))
        self.caller = Caller(lambda: ("127.0.0.1", self.port), seed, 4, "booking", "studio")

    async def start(self, group: TaskGroup) -> None:
        """Start the agent and write the deploy and ledger settings."""
        await self.farm.serve(group)
        self.folder.mkdir()
        config = deploy_config(self.name, self.port, self.farm.port, 1500, SETTINGS)
        (self.folder / "plate.json").write_text(json.dumps(config))
        ledger = f"ledger folder {self.folder}/ledger\nledger disk 16M\n{self.handover_setting}"
        (self.folder / "ledger.conf").write_text(ledger)

    @property
    def handover_setting(self) -> str:
        """The line of settings that turns on handovers, the same for server and supervisor."""
        return f"handover folder {self.folder}/handover\n" if self.handover else ""


class SupervisedFleet:
    """Replicas, two rollout controllers, and machines with a supervisor each, all as real processes."""

    def __init__(
        self,
        folder: Path,
        group: TaskGroup,
        seed: int,
        count: int,
        zones: int,
        handover: bool = True,
        slot: str = "2s",
        revisions: tuple[str, ...] = (),
    ) -> None:
        """Make a fleet that begins with `start`.

        Args:
            folder: Of the run.
            group: Runs relays and agents.
            seed: Of faults and load.
            count: Of machines.
            zones: Machines are spread over them in turn.
            handover: Whether a new server starts beside the old one and takes over.
            slot: The setting `conductor slot` of the rollout controllers, a duration.
            revisions: Revisions of this repository, each a release by that name beside those of `RELEASES`.
                A revision without support for handovers can't run with `handover`.
        """
        self.slot = slot
        self.revisions = revisions
        self.folder = folder
        self.group = group
        self.fleet = Fleet(folder, group, seed, REPLICAS)
        self.machines = [
            Machine(f"m{index}", f"z{index % zones}", folder / f"m{index}", seed * 100 + index, handover)
            for index in range(count)
        ]
        self.releases = Releases(folder / "releases")
        self.digests: dict[str, str] = {}
        self.load_scope = anyio.CancelScope()
        self.order_number = 0  # of the latest order

    # ---- start

    async def start(self) -> None:
        """Add the releases; start replicas, machines, supervisors and rollout controllers."""
        for name in (*RELEASES, *self.revisions):
            self.digests[name] = self.releases.add(name, self._write_release(name))
        await self.fleet.start_replicas()
        await self.fleet.form()
        names = [machine.name for machine in self.machines] + list(CONTROLLERS)
        ports = {name: free_port() for name in names}
        for machine in self.machines:
            await machine.start(self.group)
            lines = [f"members zone {machine.zone}", f"steward folder {machine.folder}",
                     f"steward plate {machine.folder}/plate.json", f"steward releases {self.folder}/releases",
                     "steward stop 1500ms", "steward warm 3s", machine.handover_setting]  # fmt: skip
            env = {"THISTLELINE_CONF": str(machine.folder / "ledger.conf")}
            await self._start_program("steward", machine.name, ports, lines, env)
        for name in CONTROLLERS:
            lines = ["conductor lease 2s", f"conductor slot {self.slot}", "conductor enough 6",
                     "conductor change 20s", "conductor patience 60"]  # fmt: skip
            await self._start_program("conductor", name, ports, lines, {})

    def _write_release(self, name: str) -> Path:
        """Write a release's folder with its start script; a revision's folder has its own program."""
        source = self.folder / "sources" / name
        source.mkdir(parents=True)
        fault_plan = RELEASES.get(name, {})
        code = ROOT
        if name in self.revisions:
            code = self.folder / "releases" / name
            archive = ["git", "-C", str(ROOT), "archive", name, "thistleline"]
            packed = subprocess.run(archive, capture_output=True, check=True).stdout
            subprocess.run(["tar", "-x", "-C", str(source)], input=packed, check=True)
        if fault_plan is None:
            variable, command = "", "exit 3"
        else:
            variable = json.dumps({"figures": REPORT_INTERVAL, **fault_plan})
            command = f"exec {sys.executable} -m thistleline.lab.processes.faulty_server"
        lines = ["#!/bin/sh", f"# {name}", f"export PYTHONPATH='{code}' LAB_FAULT='{variable}'", command]
        (source / "run").write_text("\n".join(lines) + "\n")
        (source / "run").chmod(0o755)
        return source

    async def _start_program(
        self, kind: str, name: str, ports: dict[str, int], lines: list[str], env: dict[str, str]
    ) -> None:
        """Start a supervisor or rollout controller with the lines of its settings after the common ones."""
        common = [f"members name {name}", f"members listen 127.0.0.1:{ports[name]}", "members period 300ms"]
        common += [f"members seed s{index}=127.0.0.1:{ports[f'm{index}']}" for index in range(SEEDS)]
        for replica, (host, port) in (await self.fleet.open_relays(name)).items():
            common.append(f"council voter {replica}={host}:{port}")
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join([*common, *lines]) + "\n")
        process = Process(name, [kind, "--conf", str(path)], env, self.folder)
        self.fleet.processes[name] = process
        process.start()

    # ---- load

    async def generate_load(self) -> None:
        """Send bookings to every machine, open-loop, until `load_scope` is cancelled."""
        with self.load_scope:
            async with anyio.create_task_group() as group:
                for machine in self.machines:
                    group.start_soon(self._send_bookings, machine, group)

    async def _send_bookings(self, machine: Machine, group: TaskGroup) -> None:
        start_at, number = time.monotonic(), 0
        while True:
            start_at += machine.caller.rng.expovariate(RATE)
            number += 1
            await anyio.sleep(max(0.0, start_at - time.monotonic()))
            group.start_soon(machine.caller.book, number, start_at, BOOKING_TIMEOUT, REPEAT_SHARE, group)

    def judge(self) -> dict[str, int]:
        """Return the oracle's counts over all machines.

        A caller asks one machine alone: while a harmful release has its server down longer than the caller
        retries, nothing runs there. Such bookings are counted as `unanswered_while_harmed`.
        """
        sums: Counter[str] = Counter()
        harmed = {name for release in HARMFUL for name in self.machines_reached(release)}
        for machine in self.machines:
            counts = judge(machine.farm, machine.caller)
            if machine.name in harmed:
                counts["unanswered_while_harmed"] = counts.pop("unanswered")
            sums.update(counts)
        return {"unanswered": 0, **sums}

    # ---- rollouts

    async def rollout(self) -> RolloutRecord | None:
        """Return the stored record of the rollout, if there is one."""
        answer = await self.fleet.request(Get(RECORD_KEY))
        return _decode_rollout(answer.value) if isinstance(answer, Got) and answer.version else None

    def version(self, release: str) -> Version:
        """Return a release's version; an empty one for the name ""."""
        return Version(release, self.digests[release]) if release else Version()

    async def order_rollout(self, release: str, base: str, stages: tuple[str, ...]) -> None:
        """Order the rollout of a release from `base` on through stages."""
        order = Order(
            self.order_number + 1,
            "start",
            release,
            self.version(release),
            self.version(base),
            stages,
            3,
            1,
        )
        await self._store_order(order)

    async def order_rollback(self) -> None:
        """Order the rollback of the rollout in progress."""
        await self._store_order(Order(self.order_number + 1, "back", "the verdict is undecided"))

    async def _store_order(self, order: Order) -> None:
        self.order_number = order.number
        known = await self.fleet.request(Get(ORDER_KEY))
        assert isinstance(known, Got)
        await self.fleet.request(Put(ORDER_KEY, _encode(order), known.version))

    async def wait_for_rollout(
        self,
        timeout: float,
        number: int,
        inject: Callable[[], Awaitable[None]] | None = None,
        stop_at_asking: bool = True,
    ) -> RolloutRecord:
        """Wait until a rollout is over.

        Args:
            timeout: Seconds.
            number: Of the rollout's order.
            inject: Injects a fault, once, as soon as the first stage has targets.
            stop_at_asking: Whether to return also when the controller waits for an operator's decision.

        Raises:
            RunTimeoutError: It is not over in time.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            record = await self.rollout()
            if record is not None and record.number == number:
                if record.is_over or (stop_at_asking and record.phase == "asking"):
                    return record
                if inject is not None and record.targets:
                    fault, inject = inject, None
                    await fault()
            await anyio.sleep(ROLLOUT_POLL_INTERVAL)
        raise RunTimeoutError(f"rollout {number} is not over in {timeout} s: {await self.rollout()}")

    # ---- observation

    def machines_reached(self, release: str) -> list[str]:
        """Return the machines on which a release was ever started, according to their supervisors' logs."""
        field = f'"release": "{release}"'.encode()
        reached = []
        for machine in self.machines:
            lines = (self.folder / f"{machine.name}.log").read_bytes().splitlines()
            if any(field in line and b'"started"' in line for line in lines):
                reached.append(machine.name)
        return reached

    def serving(self, name: str) -> ServingRelease:
        """Return what serves on a machine, according to its supervisor's log."""
        serving = ServingRelease("", 0)
        for event in self.fleet.processes[name].events():
            if event["event"] == "serves" or (event["event"] == "started" and "life" in event):
                if not event.get("beside"):
                    serving = ServingRelease(event["release"], event["life"])
            elif event["event"] == "exited" and event["life"] == serving.incarnation:
                serving = ServingRelease("", 0)
        return serving

    async def run_command(self, *words: str) -> subprocess.CompletedProcess[bytes]:
        """Run a command of the program with the replicas' addresses after its first two words."""
        addresses = [word for name in self.fleet.names for word in ("--voter", self._named_address(name))]
        command = [sys.executable, "-m", "thistleline", *words[:2], *addresses, *words[2:]]
        return await anyio.run_process(command, check=False)

    def _named_address(self, name: str) -> str:
        host, port = self.fleet.address(name)
        return f"{name}={host}:{port}"

    async def wait_until(self, what: str, condition: Callable[[], bool], timeout: float = 60.0) -> None:
        """Wait until a condition holds.

        Raises:
            RunTimeoutError: It does not hold in `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                serving = [self.serving(machine.name) for machine in self.machines]
                raise RunTimeoutError(f"{what}: not reached in {timeout} s: {await self.rollout()} {serving}")
            await anyio.sleep(POLL_INTERVAL)

    def close(self) -> None:
        """End every process, including the servers, which outlive their supervisors."""
        self.fleet.close()
        for machine in self.machines:
            for pid_file in (machine.folder / "lives").glob("*.pid"):
                _kill_server(pid_file)


def _kill_server(pid_file: Path) -> None:
    """Kill the server of a pid file if it still holds its lock, which shows that the pid was not reused."""
    for lock_file in (pid_file.with_suffix(".lock"), pid_file.parent.parent / "server.lock"):
        if not lock_file.exists():
            continue
        lock = os.open(lock_file, os.O_RDWR)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            newest = max(int(other.stem) for other in pid_file.parent.glob("*.pid"))
            if lock_file.stem == pid_file.stem or int(pid_file.stem) == newest:
                with suppress(ProcessLookupError):
                    os.kill(int(pid_file.read_text()), signal.SIGKILL)
        finally:
            os.close(lock)
