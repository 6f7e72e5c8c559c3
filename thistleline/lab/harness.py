"""The harness of all tests with several processes: start, kill, stop, restart, cut, record, clean up.

It starts the program as its users start it, on free ports of loopback, and ends only what it started. Where a
run fails its folder is kept: logs, settings and the plan of faults.
"""

import fcntl
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import IO, Any

import anyio
from anyio.abc import TaskGroup

from thistleline.lab.net import Relay
from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import (
    Answer,
    ChangeReplicas,
    CreateCluster,
    Done,
    GetStatus,
    Op,
    ReplicaStatus,
)
from thistleline.transport.address import Address

HEARTBEAT, ELECTION = "40ms", "250ms"


class Hung(Exception):
    """What was awaited did not come."""


PORTS = range(15_000, 32_000)  # below those that the system gives to connections that go out
_held_ports: list[int] = []


def free_port() -> int:
    """A port that is this process's own as long as it lives, used or not. Guards against one that goes to a
    connection of somebody else between being found free and being listened on, and against runs beside each
    other."""
    folder = Path(tempfile.gettempdir()) / "thistleline-ports"
    folder.mkdir(mode=0o777, exist_ok=True)
    first = Random(os.urandom(8)).randrange(len(PORTS))
    for place in range(len(PORTS)):
        port = PORTS[(first + place) % len(PORTS)]
        lock = os.open(folder / str(port), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o666)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.create_server(("127.0.0.1", port)):
                pass
        except OSError:
            os.close(lock)
            continue
        _held_ports.append(lock)
        return port
    raise Hung("no port is free")


class Process:
    """One process of the program, one life after another."""

    def __init__(self, name: str, words: list[str], env: dict[str, str], folder: Path) -> None:
        self.name, self.words, self.folder = name, words, folder
        self.env = {**os.environ, **env}
        self.log: IO[bytes] = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.starts = 0

    def start(self) -> None:
        self.starts += 1
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        command = [sys.executable, "-m", "thistleline.lab.member", *self.words]
        # Its standard input ends with this process, however that ends; guards against what is left running.
        self.process = subprocess.Popen(
            command, env=self.env, stdin=subprocess.PIPE, stdout=self.log, stderr=self.log
        )
        self.stopped = False

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        if self.runs:
            assert self.process is not None
            self.process.send_signal(number)

    def stop(self) -> None:
        """Stands still, as a machine that swaps or is moved."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.stopped = False

    def events(self) -> list[dict[str, Any]]:
        lines = (self.folder / f"{self.name}.log").read_bytes().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]

    def close(self) -> None:
        self.kill()
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        self.log.close()


class Fleet:
    """A council of voters, each pair of them with a relay each way, and whatever else a test starts."""

    def __init__(self, folder: Path, group: TaskGroup, seed: int, voters: int) -> None:
        self.folder, self.group, self.chance = folder, group, Random(seed)
        self.names = [chr(ord("a") + place) for place in range(voters)]
        self.ports = {name: free_port() for name in self.names}
        self.processes: dict[str, Process] = {}
        self.relays: dict[tuple[str, str], Relay] = {}  # from, to
        self.plan: list[dict[str, Any]] = []  # what was done, when
        self.begun = time.monotonic()

    def note(self, what: str, **facts: Any) -> None:
        self.plan.append({"at": round(time.monotonic() - self.begun, 3), "what": what, **facts})

    def address(self, name: str) -> Address:
        return "127.0.0.1", self.ports[name]

    async def relay(self, source: str, to: str) -> Address:
        """The way that `source` takes to the voter `to`."""
        relay = self.relays[source, to] = Relay(self.address(to), self.chance)
        await relay.serve(self.group)
        return "127.0.0.1", relay.port

    async def ways(self, source: str) -> dict[str, Address]:
        return {name: await self.relay(source, name) for name in self.names}

    async def start_voters(self, env: dict[str, dict[str, str]] | None = None, without: str = "") -> None:
        for name in self.names:
            lines = [f"council folder {self.folder}/{name}", f"council name {name}",
                     f"council listen 127.0.0.1:{self.ports[name]}",
                     f"council heartbeat {HEARTBEAT}", f"council election {ELECTION}"]  # fmt: skip
            for other in self.names:
                if other != name:
                    host, port = await self.relay(name, other)
                    lines.append(f"council via {other}={host}:{port}")
            conf = self.folder / f"{name}.conf"
            conf.write_text("\n".join(lines) + "\n")
            told = {"LAB_DISK": str(self.folder / f"{name}.disk"), "LAB_WITHOUT": without}
            told |= (env or {}).get(name, {})
            process = Process(name, ["council", "--conf", str(conf)], told, self.folder)
            self.processes[name] = process
            process.start()

    async def form(self) -> None:
        """Makes a council of all voters, each asked at its own address."""
        members = []
        for name in self.names:
            members.append((await self.stands(name)).id)
        known = tuple((id, f"127.0.0.1:{self.ports[id.partition('.')[0]]}") for id in sorted(members))
        told = CreateCluster(self.chance.randbytes(8).hex(), known)
        for name in self.names:
            await self.ask(told, {name: self.address(name)})
        await self.leader()

    async def ask(self, op: Op, voters: dict[str, Address] | None = None, span: float = 10.0) -> Answer:
        known = voters or {name: self.address(name) for name in self.names}
        async with anyio.create_task_group() as group:
            answer = await LeaseClient(known, group, self.chance).request_until_decided(op, span)
            group.cancel_scope.cancel()
        return answer

    async def stands(self, name: str, span: float = 10.0) -> ReplicaStatus:
        answer = await self.ask(GetStatus(), {name: self.address(name)}, span)
        if not isinstance(answer, ReplicaStatus):
            raise Hung(f"voter {name} does not say how it stands in {span} s")
        return answer

    async def leader(self, span: float = 15.0) -> str:
        """The name of the leader of the latest term, once there is one."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            found: list[tuple[int, str]] = []
            for name in self.names:
                if self.processes[name].runs and not self.processes[name].stopped:
                    answer = await self.ask(GetStatus(), {name: self.address(name)}, 0.0)
                    if isinstance(answer, ReplicaStatus) and answer.phase == "leading":
                        found.append((answer.term, name))
            if found:
                return max(found)[1]
            await anyio.sleep(0.05)
        raise Hung(f"no leader in {span} s")

    async def rejoin(self, name: str) -> None:
        """A voter whose disk is lost comes back empty, as another one."""
        old = (await self.stands(name)).id
        self.processes[name].kill()
        shutil.rmtree(self.folder / name)
        self.processes[name].start()
        new = (await self.stands(name)).id
        rest = {one: self.address(one) for one in self.names if one != name}
        for change in (
            ChangeReplicas("remove", old),
            ChangeReplicas("add", new, f"127.0.0.1:{self.ports[name]}"),
        ):
            answer = await self.ask(change, rest, 20.0)
            self.note("changed", what_of=str(change), answer=str(answer))
            if not isinstance(answer, Done):
                raise Hung(f"{change} comes to nothing: {answer}")

    def disk(self, name: str, how: str) -> None:
        """What its disk does from now on: "fail", "slow", or nothing ill."""
        (self.folder / f"{name}.disk").write_text(how)

    def cut(self, name: str, there: bool = True, back: bool = True) -> None:
        """`there`: what it sends, `back`: what others send to it. One way alone is swallowed, not refused."""
        for (source, to), relay in self.relays.items():
            if (source == name and there) or (to == name and back):
                if there and back:
                    relay.cut()
                else:
                    relay.there = relay.there._replace(swallow=True)

    def heal(self) -> None:
        for relay in self.relays.values():
            relay.heal()

    def close(self) -> None:
        for process in self.processes.values():
            process.close()
        (self.folder / "plan.json").write_text(json.dumps(self.plan, indent=1))


@contextmanager
def folder_of(what: str, again: str) -> Iterator[Path]:
    """A folder for a run; kept where it fails, with the command that plays it again."""
    folder = Path(tempfile.mkdtemp(prefix=f"thistleline-{what}-"))
    try:
        yield folder
    except BaseException:
        print(f"kept: {folder}; again: {again}", file=sys.stderr)
        raise
    if (folder / "keep").exists():
        print(f"kept: {folder}; again: {again}", file=sys.stderr)
    else:
        shutil.rmtree(folder)
