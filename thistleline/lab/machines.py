"""Machines under stewards, with the program itself as their servers, farm agents and callers: a fleet that is
rolled while parts of it fail. Built on the harness (lab/harness.py)."""

import fcntl
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from thistleline.lab.caller import Caller
from thistleline.lab.farm import FarmStandIn
from thistleline.lab.harness import Fleet, Hung, Process, free_port
from thistleline.lab.ledger import SETTINGS, judge
from thistleline.lease.protocol import Get, Got, Put
from thistleline.rollout.order import ORDER_KEY, Order
from thistleline.rollout.record import RECORD_KEY, RolloutRecord
from thistleline.supervisor.model import Version
from thistleline.supervisor.releases import Releases

ROOT = Path(__file__).parent.parent.parent
FIGURES = 0.5  # s between two figures of a server
RATE = 12.0  # bookings a second to a machine
_roll = msgspec.msgpack.Decoder(RolloutRecord).decode
encode = msgspec.msgpack.Encoder().encode

# What a release does, by its name: the fault that is built into the server, or nothing at all.
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


class Machine:
    """One: its agent, its callers, and what its steward is told."""

    def __init__(self, name: str, zone: str, folder: Path, seed: int, beside: bool) -> None:
        self.name, self.zone, self.folder, self.beside = name, zone, folder, beside
        self.port = free_port()
        self.farm = FarmStandIn(seed, (0.005, 0.05))
        self.caller = Caller(lambda: ("127.0.0.1", self.port), seed, 4, "booking", "studio")

    async def make(self, group: TaskGroup) -> None:
        await self.farm.serve(group)
        self.folder.mkdir()
        plate = {"name": self.name, "listen": f"127.0.0.1:{self.port}",
                 "agent": f"127.0.0.1:{self.farm.port}",
                 "announce": "127.0.0.1:9", "seed": "1f", "stop_ms": 1500, "settings": SETTINGS,
                 "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512}}  # fmt: skip
        (self.folder / "plate.json").write_text(json.dumps(plate))
        told = f"ledger folder {self.folder}/ledger\nledger disk 16M\n{self.handover}"
        (self.folder / "ledger.conf").write_text(told)

    @property
    def handover(self) -> str:
        """The line that has servers follow one another beside each other, for server and steward alike."""
        return f"handover folder {self.folder}/handover\n" if self.beside else ""


class Machines:
    def __init__(
        self,
        folder: Path,
        group: TaskGroup,
        seed: int,
        count: int,
        zones: int,
        beside: bool = True,
        slot: str = "2s",
        revisions: tuple[str, ...] = (),
    ) -> None:
        """`revisions`: of this repository, each a release by that name beside those of RELEASES. One that
        knows nothing of handovers can't run where servers follow one another beside each other."""
        self.slot, self.revisions = slot, revisions
        self.folder, self.group = folder, group
        self.fleet = Fleet(folder, group, seed, 3)
        self.machines = [
            Machine(f"m{place}", f"z{place % zones}", folder / f"m{place}", seed * 100 + place, beside)
            for place in range(count)
        ]
        self.releases = Releases(folder / "releases")
        self.digests: dict[str, str] = {}
        self.calling = anyio.CancelScope()
        self.orders = 0

    # ---- making

    async def start(self) -> None:
        for name in (*RELEASES, *self.revisions):
            source = self.folder / "sources" / name
            source.mkdir(parents=True)
            fault = RELEASES.get(name, {})
            whole = json.dumps({"figures": FIGURES, **fault}) if fault is not None else ""
            code = ROOT
            if name in self.revisions:
                code = self.folder / "releases" / name  # it brings its own program
                archive = ["git", "-C", str(ROOT), "archive", name, "thistleline"]
                packed = subprocess.run(archive, capture_output=True, check=True).stdout
                subprocess.run(["tar", "-x", "-C", str(source)], input=packed, check=True)
            does = f"exec {sys.executable} -m thistleline.lab.server" if fault is not None else "exit 3"
            lines = ["#!/bin/sh", f"# {name}", f"export PYTHONPATH='{code}' LAB_FAULT='{whole}'", does]
            (source / "run").write_text("\n".join(lines) + "\n")
            (source / "run").chmod(0o755)
            self.digests[name] = self.releases.add(name, source)
        await self.fleet.start_voters()
        await self.fleet.form()
        names = [one.name for one in self.machines] + ["c0", "c1"]
        ports = {name: free_port() for name in names}
        for machine in self.machines:
            await machine.make(self.group)
            lines = [f"members zone {machine.zone}", f"steward folder {machine.folder}",
                     f"steward plate {machine.folder}/plate.json", f"steward releases {self.folder}/releases",
                     "steward stop 1500ms", "steward warm 3s", machine.handover]  # fmt: skip
            env = {"THISTLELINE_CONF": str(machine.folder / "ledger.conf")}
            await self._program("steward", machine.name, ports, lines, env)
        for name in ("c0", "c1"):
            lines = ["conductor lease 2s", f"conductor slot {self.slot}", "conductor enough 6",
                     "conductor change 20s", "conductor patience 60"]  # fmt: skip
            await self._program("conductor", name, ports, lines, {})

    async def _program(
        self, kind: str, name: str, ports: dict[str, int], lines: list[str], env: dict[str, str]
    ) -> None:
        told = [f"members name {name}", f"members listen 127.0.0.1:{ports[name]}", "members period 300ms"]
        told += [f"members seed s{place}=127.0.0.1:{ports[f'm{place}']}" for place in range(3)]
        for voter, (host, port) in (await self.fleet.ways(name)).items():
            told.append(f"council voter {voter}={host}:{port}")
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join([*told, *lines]) + "\n")
        process = Process(name, [kind, "--conf", str(path)], env, self.folder)
        self.fleet.processes[name] = process
        process.start()

    # ---- load

    async def call(self) -> None:
        """Bookings at times fixed before, to each machine those of its own marks, till it is cancelled."""
        with self.calling:
            async with anyio.create_task_group() as group:
                for machine in self.machines:
                    group.start_soon(self._bookings, machine, group)

    async def _bookings(self, machine: Machine, group: TaskGroup) -> None:
        at, number = time.monotonic(), 0
        while True:
            at += machine.caller.chance.expovariate(RATE)
            number += 1
            await anyio.sleep(max(0.0, at - time.monotonic()))
            group.start_soon(machine.caller.booking, number, at, 6.0, 0.1, group)

    def judged(self) -> dict[str, int]:
        """The oracle's figures over all machines. Callers here go to one machine each: while a harmful
        release keeps its server down longer than they ask, nothing there runs, which is told apart."""
        sums: Counter[str] = Counter()
        harmed = {name for release in HARMFUL for name in self.reached(release)}
        for machine in self.machines:
            figures = judge(machine.farm, machine.caller)
            if machine.name in harmed:
                figures["unanswered_while_harmed"] = figures.pop("unanswered")
            sums.update(figures)
        return {"unanswered": 0, **sums}

    # ---- changes

    async def status(self) -> RolloutRecord | None:
        answer = await self.fleet.ask(Get(RECORD_KEY))
        return _roll(answer.value) if isinstance(answer, Got) and answer.version else None

    def version(self, name: str) -> Version:
        return Version(name, self.digests[name]) if name else Version()

    async def order(self, release: str, base: str, stages: tuple[str, ...]) -> None:
        order = Order(
            self.orders + 1, "start", release, self.version(release), self.version(base), stages, 3, 1
        )
        await self._order(order)

    async def back(self) -> None:
        await self._order(Order(self.orders + 1, "back", "it can't be told"))

    async def _order(self, order: Order) -> None:
        self.orders = order.number
        known = await self.fleet.ask(Get(ORDER_KEY))
        assert isinstance(known, Got)
        await self.fleet.ask(Put(ORDER_KEY, encode(order), known.version))

    async def through(
        self, span: float, number: int, do: Callable[[], Any] | None = None, asks: bool = True
    ) -> RolloutRecord:
        """Till the change of that number is over, or a person is asked; `do` once a stage is under way."""
        until, done = time.monotonic() + span, do is None
        while time.monotonic() < until:
            roll = await self.status()
            if roll is not None and roll.number == number:
                if roll.is_over or (asks and roll.phase == "asking"):
                    return roll
                if not done and roll.targets:
                    done = True
                    assert do is not None
                    await do()
            await anyio.sleep(0.1)
        raise Hung(f"the change is not over in {span} s: {await self.status()}")

    def reached(self, release: str) -> list[str]:
        """On which machines a release was ever started, by what the stewards wrote."""
        mark, found = f'"release": "{release}"'.encode(), []
        for one in self.machines:
            log = (self.folder / f"{one.name}.log").read_bytes().splitlines()
            if any(mark in line and b'"started"' in line for line in log):
                found.append(one.name)
        return found

    def serving(self, name: str) -> tuple[str, int]:
        """Which release serves on a machine, and in which life, by what its steward wrote."""
        found = ("", 0)
        for event in self.fleet.processes[name].events():
            if event["event"] == "serves" or (event["event"] == "started" and "life" in event):
                if not event.get("beside"):
                    found = event["release"], event["life"]
            elif event["event"] == "exited" and event["life"] == found[1]:
                found = ("", 0)
        return found

    async def command(self, *words: str) -> subprocess.CompletedProcess[bytes]:
        """A command of the program, as a person gives it, told where the voters are."""
        where = [word for name in self.fleet.names for word in ("--voter", self._named(name))]
        told = [sys.executable, "-m", "thistleline", *words[:2], *where, *words[2:]]
        return await anyio.run_process(told, check=False)

    def _named(self, name: str) -> str:
        host, port = self.fleet.address(name)
        return f"{name}={host}:{port}"

    async def until(self, what: str, true: Callable[[], bool], span: float = 60.0) -> None:
        until = time.monotonic() + span
        while not true():
            if time.monotonic() > until:
                raise Hung(
                    f"{what}: {await self.status()} {[self.serving(one.name) for one in self.machines]}"
                )
            await anyio.sleep(0.05)

    def close(self) -> None:
        self.fleet.close()
        for machine in self.machines:
            for path in (machine.folder / "lives").glob("*.pid"):
                _end(path)


def _end(path: Path) -> None:
    """A server outlives its steward: it is known by its pid and by the lock that it holds."""
    for place in (path.with_suffix(".lock"), path.parent.parent / "server.lock"):
        if not place.exists():
            continue
        lock = os.open(place, os.O_RDWR)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            newest = max(int(one.stem) for one in path.parent.glob("*.pid"))
            if place.stem == path.stem or int(path.stem) == newest:
                with suppress(ProcessLookupError):
                    os.kill(int(path.read_text()), signal.SIGKILL)
        finally:
            os.close(lock)
