"""One instance as its users start it, with its agent, for measurements on real sockets and in /proc."""

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from thistleline.lab.ledger import SETTINGS
from thistleline.lab.processes.harness import RunTimeoutError, free_port, run_folder

SERVING_TIMEOUT = 15.0  # s for the instance to serve
HOST = "127.0.0.1"
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Instance(NamedTuple):
    """A running instance: the port that it listens on, its process and its folder."""

    port: int
    pid: int
    folder: Path

    def cpu_seconds(self) -> float:
        """Return the CPU time of the process so far, in seconds."""
        return cpu_seconds(self.pid)

    def resident(self) -> int:
        """Return the resident memory of the process, in bytes."""
        return resident(self.pid)


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds, in steps of a clock tick (proc(5))."""
    fields = Path(f"/proc/{pid}/stat").read_bytes().rpartition(b")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident(pid: int) -> int:
    """Return the resident memory of a process in bytes, without the kernel's for its sockets."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS:")).split()[1]) * 1024


def machine() -> dict[str, Any]:
    """Describe the machine of a run: its times count only where nothing else loaded the machine."""
    return {"cores": os.cpu_count(), "load_1_min": round(os.getloadavg()[0], 2)}


@contextmanager
def run_instance(
    run_ms: float, connections: int, fault: dict[str, Any] | None = None, program: str = ""
) -> Iterator[Instance]:
    """Run an instance and its agent for as long as the context lasts.

    The instance is ended by SIGKILL, the agent by its standard input.

    Args:
        run_ms: Duration of the agent's runs, in milliseconds.
        connections: Number of connections that the instance must be able to hold open.
        fault: Fault of lab/processes/faulty_server.py to build in.
        program: Module to run in place of the instance.

    Raises:
        RunTimeoutError: The instance does not serve within SERVING_TIMEOUT.
    """
    with run_folder("scale", "lab scale") as folder:
        command = [sys.executable, "-m", "thistleline.lab.scale.agent", f"{run_ms:g}"]
        agent = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        server: subprocess.Popen[bytes] | None = None
        try:
            assert agent.stdout is not None
            agent_port = int(agent.stdout.readline())
            port, log = free_port(), folder / "server.log"
            config = folder / "config.json"
            config.write_text(json.dumps(_configuration(port, agent_port, connections)))
            env = {**os.environ, "ROUTER_CONFIG": str(config)}
            env.pop("THISTLELINE_CONF", None)
            env["LAB_FAULT"] = json.dumps(fault or {})
            with log.open("wb") as out:
                usual = "thistleline" if fault is None else "thistleline.lab.processes.faulty_server"
                command = [sys.executable, "-m", program or usual]
                server = subprocess.Popen(command, env=env, stdout=out, stderr=out)
            _wait_until_serving(server, log)
            yield Instance(port, server.pid, folder)
        finally:
            if server is not None:
                server.kill()
                server.wait()
            agent.communicate()


def _configuration(port: int, agent_port: int, connections: int) -> dict[str, Any]:
    """Return the configuration of an instance that may have so many connections open."""
    return {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "agent": f"{HOST}:{agent_port}",
        "announce": f"{HOST}:9",
        "seed": "1f",
        "stop_ms": 1000,
        "settings": SETTINGS,
        "limits": {
            "cores": 1.0,
            "memory_mb": max(256, connections // 6),
            "sockets": connections + 64,
        },
    }


def _wait_until_serving(server: subprocess.Popen[bytes], log: Path) -> None:
    """Wait for the log to say that the server serves.

    Raises:
        RunTimeoutError: It has ended, or does not serve within SERVING_TIMEOUT.
    """
    deadline = time.monotonic() + SERVING_TIMEOUT
    while b'"serving"' not in log.read_bytes():
        if server.poll() is not None or time.monotonic() > deadline:
            raise RunTimeoutError(
                f"the instance does not serve in {SERVING_TIMEOUT} s: {log.read_text()[-500:]}"
            )
        time.sleep(0.01)
