"""One instance as its users start it, with its agent, for what is measured on real sockets and in /proc."""

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

PATIENCE = 15.0  # s for the instance to serve
HOST = "127.0.0.1"
_TICK = os.sysconf("SC_CLK_TCK")


class Instance(NamedTuple):
    port: int
    pid: int
    folder: Path

    def cpu_seconds(self) -> float:
        return cpu_seconds(self.pid)

    def resident(self) -> int:
        return resident(self.pid)


def cpu_seconds(pid: int) -> float:
    """User and system time of a process so far (proc(5), fields 14 and 15), in steps of a tick."""
    fields = Path(f"/proc/{pid}/stat").read_bytes().rpartition(b")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICK


def resident(pid: int) -> int:
    """Bytes of a process that lie in RAM; what the kernel holds for its sockets is not in it."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS:")).split()[1]) * 1024


def machine() -> dict[str, Any]:
    """Where a run was made: its times count only where nothing else loaded the machine."""
    return {"cores": os.cpu_count(), "load_1_min": round(os.getloadavg()[0], 2)}


@contextmanager
def instance(
    run_ms: float, connections: int, fault: dict[str, Any] | None = None, program: str = ""
) -> Iterator[Instance]:
    """One that serves, at an agent whose runs take so long, and that may have so many connections open; with
    a fault of processes/faulty_server.py built in where one is told, or another program in its place. It is
    ended by SIGKILL, the agent by its standard input. Raises RunTimeoutError where it doesn't come to
    serve."""
    with run_folder("scale", "lab scale") as folder:
        words = [sys.executable, "-m", "thistleline.lab.scale.agent", f"{run_ms:g}"]
        agent = subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        server: subprocess.Popen[bytes] | None = None
        try:
            assert agent.stdout is not None
            agent_port = int(agent.stdout.readline())
            port, log = free_port(), folder / "server.log"
            told = {"name": "n1", "listen": f"{HOST}:{port}", "agent": f"{HOST}:{agent_port}",
                    "announce": f"{HOST}:9", "seed": "1f", "stop_ms": 1000, "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": max(256, connections // 6),
                               "sockets": connections + 64}}  # fmt: skip
            (folder / "config.json").write_text(json.dumps(told))
            env = {**os.environ, "ROUTER_CONFIG": str(folder / "config.json")}
            env.pop("THISTLELINE_CONF", None)
            env["LAB_FAULT"] = json.dumps(fault or {})
            with log.open("wb") as out:
                usual = "thistleline" if fault is None else "thistleline.lab.processes.faulty_server"
                command = [sys.executable, "-m", program or usual]
                server = subprocess.Popen(command, env=env, stdout=out, stderr=out)
            until = time.monotonic() + PATIENCE
            while b'"serving"' not in log.read_bytes():
                if server.poll() is not None or time.monotonic() > until:
                    raise RunTimeoutError(
                        f"the instance does not serve in {PATIENCE} s: {log.read_text()[-500:]}"
                    )
                time.sleep(0.01)
            yield Instance(port, server.pid, folder)
        finally:
            if server is not None:
                server.kill()
                server.wait()
            agent.communicate()
