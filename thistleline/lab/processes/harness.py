"""The harness of all tests with several processes: start, kill, pause, restart, partition, record, clean up.

It starts the program as its users start it, on free ports of loopback, and ends only what it started. The
folder of a failed run is kept: logs, settings and the record of the faults that were injected.
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

from thistleline.lab.processes.network_relay import Relay
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

HEARTBEAT_INTERVAL = "40ms"
ELECTION_TIMEOUT = "250ms"
POLL_INTERVAL = 0.05  # s between two checks for a leader


class RunTimeoutError(Exception):
    """Something that a run waited for did not happen in time."""


PORTS = range(15_000, 32_000)  # below the ephemeral ports of outgoing connections
_port_locks: list[int] = []  # file descriptors, open for as long as this process runs


def free_port() -> int:
    """Reserve a port for this process until it ends, whether it is used or not.

    A lock file keeps other runs from taking the port between this check and the start of its listener.

    Raises:
        RunTimeoutError: No port of `PORTS` is free.
    """
    folder = Path(tempfile.gettempdir()) / "thistleline-ports"
    folder.mkdir(mode=0o777, exist_ok=True)
    first = Random(os.urandom(8)).randrange(len(PORTS))
    for offset in range(len(PORTS)):
        port = PORTS[(first + offset) % len(PORTS)]
        lock = os.open(folder / str(port), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o666)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.create_server(("127.0.0.1", port)):
                pass
        except OSError:
            os.close(lock)
            continue
        _port_locks.append(lock)
        return port
    raise RunTimeoutError(f"no port from {PORTS.start} to {PORTS.stop - 1} is free")


def read_events(log: Path) -> list[dict[str, Any]]:
    """Return the JSON objects of a log, one a line; other and incomplete lines are skipped."""
    lines = log.read_bytes().splitlines()
    return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]


class Process:
    """One process of the program, through all its incarnations; they append to the same log."""

    def __init__(self, name: str, arguments: list[str], env: dict[str, str], folder: Path) -> None:
        """Create a process without starting it.

        Args:
            name: Its name in the fleet, and of its log file.
            arguments: Of thistleline.lab.processes.program.
            env: Variables added to this process's environment.
            folder: Where the log is written.
        """
        self.name = name
        self.arguments = arguments
        self.folder = folder
        self.env = {**os.environ, **env}
        self.log: IO[bytes] = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None
        self.is_paused = False
        self.incarnation = 0

    def start(self) -> None:
        """Start the next incarnation."""
        self.incarnation += 1
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        command = [sys.executable, "-m", "thistleline.lab.processes.program", *self.arguments]
        # Its standard input ends when this process ends, however it ends, so that no orphan keeps running.
        self.process = subprocess.Popen(
            command, env=self.env, stdin=subprocess.PIPE, stdout=self.log, stderr=self.log
        )
        self.is_paused = False

    @property
    def is_running(self) -> bool:
        """Whether the latest incarnation has not ended; a paused one counts as running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP), as swapping or a migration of its machine would."""
        self.is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process (SIGCONT)."""
        self.is_paused = False
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.is_paused = False

    def events(self) -> list[dict[str, Any]]:
        """Return the JSON events in the log of all incarnations."""
        return read_events(self.folder / f"{self.name}.log")

    def close(self) -> None:
        """Kill the process and close its log."""
        self.kill()
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        self.log.close()


class Fleet:
    """A cluster of replicas with a relay for each ordered pair, and the other processes of a test."""

    def __init__(self, folder: Path, group: TaskGroup, seed: int, replicas: int) -> None:
        """Reserve ports for the replicas, named a, b, ...; nothing is started.

        Args:
            folder: Of the run: settings, logs, data.
            group: Runs the relays.
            seed: Of all random draws.
            replicas: How many.
        """
        self.folder = folder
        self.group = group
        self.rng = Random(seed)
        self.names = [chr(ord("a") + index) for index in range(replicas)]
        self.ports = {name: free_port() for name in self.names}
        self.processes: dict[str, Process] = {}
        self.relays: dict[tuple[str, str], Relay] = {}  # by (source, target)
        self.history: list[dict[str, Any]] = []  # injected faults and their times, written to plan.json
        self.started_at = time.monotonic()

    def record(self, what: str, **details: Any) -> None:
        """Append a fault to the history, with the seconds since the start of the run."""
        self.history.append({"at": round(time.monotonic() - self.started_at, 3), "what": what, **details})

    def address(self, name: str) -> Address:
        """Return the address of a replica or another process itself, bypassing all relays."""
        return "127.0.0.1", self.ports[name]

    async def open_relay(self, source: str, target: str) -> Address:
        """Open the relay that `source` dials to reach the process `target`, and return its address."""
        relay = Relay(self.address(target), self.rng)
        self.relays[source, target] = relay
        await relay.serve(self.group)
        return "127.0.0.1", relay.port

    async def open_relays(self, source: str) -> dict[str, Address]:
        """Open a relay from `source` to each replica; return the addresses by replica."""
        return {name: await self.open_relay(source, name) for name in self.names}

    async def start_replicas(self, env: dict[str, dict[str, str]] | None = None, without: str = "") -> None:
        """Start all replicas.

        Args:
            env: More environment variables, by replica.
            without: The protection that the replicas leave out (processes/program.py).
        """
        for name in self.names:
            settings = await self._write_settings(name)
            variables = {"LAB_DISK": str(self._disk_fault_file(name)), "LAB_WITHOUT": without}
            variables |= (env or {}).get(name, {})
            process = Process(name, ["council", "--conf", str(settings)], variables, self.folder)
            self.processes[name] = process
            process.start()

    async def _write_settings(self, name: str) -> Path:
        lines = [f"council folder {self.folder}/{name}", f"council name {name}",
                 f"council listen 127.0.0.1:{self.ports[name]}",
                 f"council heartbeat {HEARTBEAT_INTERVAL}",
                 f"council election {ELECTION_TIMEOUT}"]  # fmt: skip
        for other in self.names:
            if other != name:
                host, port = await self.open_relay(name, other)
                lines.append(f"council via {other}={host}:{port}")
        settings = self.folder / f"{name}.conf"
        settings.write_text("\n".join(lines) + "\n")
        return settings

    async def form(self) -> None:
        """Form a cluster of all replicas, each asked at its own address, and wait for a leader."""
        ids = []
        for name in self.names:
            ids.append((await self.status(name)).id)
        members = tuple((id, f"127.0.0.1:{self.ports[id.partition('.')[0]]}") for id in sorted(ids))
        form = CreateCluster(self.rng.randbytes(8).hex(), members)
        for name in self.names:
            await self.request(form, {name: self.address(name)})
        await self.leader()

    async def request(
        self, op: Op, replicas: dict[str, Address] | None = None, timeout: float = 10.0
    ) -> Answer:
        """Send one operation to the replicas (all unless named) until it is decided, or `timeout` seconds."""
        addresses = replicas or {name: self.address(name) for name in self.names}
        async with anyio.create_task_group() as group:
            client = LeaseClient(addresses, group, self.rng)
            answer = await client.request_until_decided(op, timeout)
            group.cancel_scope.cancel()
        return answer

    async def status(self, name: str, timeout: float = 10.0) -> ReplicaStatus:
        """Return a replica's status.

        Raises:
            RunTimeoutError: It does not answer in `timeout` seconds.
        """
        answer = await self.request(GetStatus(), {name: self.address(name)}, timeout)
        if not isinstance(answer, ReplicaStatus):
            raise RunTimeoutError(f"replica {name} does not report its status in {timeout} s")
        return answer

    async def leader(self, timeout: float = 15.0) -> str:
        """Return the name of the leader of the latest term, once there is one.

        Raises:
            RunTimeoutError: There is none in `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            leaders: list[tuple[int, str]] = []  # (term, name)
            for name in self.names:
                if self.processes[name].is_running and not self.processes[name].is_paused:
                    answer = await self.request(GetStatus(), {name: self.address(name)}, 0.0)
                    if isinstance(answer, ReplicaStatus) and answer.phase == "leading":
                        leaders.append((answer.term, name))
            if leaders:
                return max(leaders)[1]
            await anyio.sleep(POLL_INTERVAL)
        raise RunTimeoutError(f"no leader in {timeout} s")

    async def replace_replica(self, name: str) -> None:
        """Replace a replica whose disk is lost: it restarts empty under a new id; the membership is changed.

        Raises:
            RunTimeoutError: The membership change is not decided.
        """
        old = (await self.status(name)).id
        self.processes[name].kill()
        shutil.rmtree(self.folder / name)
        self.processes[name].start()
        new = (await self.status(name)).id
        others = {other: self.address(other) for other in self.names if other != name}
        for change in (
            ChangeReplicas("remove", old),
            ChangeReplicas("add", new, f"127.0.0.1:{self.ports[name]}"),
        ):
            answer = await self.request(change, others, 20.0)
            self.record("changed", what_of=str(change), answer=str(answer))
            if not isinstance(answer, Done):
                raise RunTimeoutError(f"{change} is not decided: {answer}")

    def _disk_fault_file(self, name: str) -> Path:
        return self.folder / f"{name}.disk"

    def set_disk_fault(self, name: str, fault: str) -> None:
        """Set the fault of a process's disk from now on: "fail", "slow", or "" for none."""
        self._disk_fault_file(name).write_text(fault)

    def partition(self, name: str, outgoing: bool = True, incoming: bool = True) -> None:
        """Partition a process: what it sends, what others send to it, or both.

        One direction alone drops bytes silently; for both, connections are ended and new ones refused.
        """
        for (source, target), relay in self.relays.items():
            if (source == name and outgoing) or (target == name and incoming):
                if outgoing and incoming:
                    relay.disconnect()
                else:
                    relay.forward = relay.forward._replace(drop=True)

    def heal(self) -> None:
        """Remove the faults of all relays."""
        for relay in self.relays.values():
            relay.heal()

    def restore(self) -> None:
        """Remove all faults of relays and disks; resume paused processes, restart those that have ended."""
        self.heal()
        for name, process in self.processes.items():
            self.set_disk_fault(name, "")
            if process.is_paused:
                process.resume()
            if not process.is_running:
                process.start()

    def close(self) -> None:
        """End every process and write the history of faults to plan.json."""
        for process in self.processes.values():
            process.close()
        (self.folder / "plan.json").write_text(json.dumps(self.history, indent=1))


@contextmanager
def run_folder(run: str, command: str) -> Iterator[Path]:
    """Make a folder for a run; keep it if the run fails or leaves a file `keep` in it.

    Args:
        run: The name of the run, part of the folder's name.
        command: The command that repeats the run; printed if the folder is kept.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"thistleline-{run}-"))
    try:
        yield folder
    except BaseException:
        print(f"folder kept: {folder}; repeat with: {command}", file=sys.stderr)
        raise
    if (folder / "keep").exists():
        print(f"folder kept: {folder}; repeat with: {command}", file=sys.stderr)
    else:
        shutil.rmtree(folder)
