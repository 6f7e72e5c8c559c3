"""Stand-ins and helpers that the cases of this review share.

The agent, the announce service and the client stubs here follow the protocol pages: the agent runs what it is
asked to run, keeps its notices and repeats them on a new link, and refuses what no client has sent. Every
address is a loopback address.
"""

import json
import os
import shlex
import socket
import subprocess
import threading
import time
import tomllib
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

from thistleline.wire import stub
from thistleline.wire.buffer import Buffer

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Settings in the form of the wire page, with figures of tampere-kiln-hall as it has grown (two cores a node):
# a read that may run again, and a booking that may come again within its window and must not run twice.
WINDOW = 18.354  # s
SETTINGS: dict[str, Any] = {
    "allowed": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfter": 1.0, "retryAfter": True},
    "classes": [
        {
            "name": "schedule-read",
            "effect": "read_like",
            "credit": 1.0,
            "promise": 1.4,
            "deadline": 3.7,
            "lateShare": 0.0,
            "window": 5.0,
        },
        {
            "name": "firing-book",
            "effect": "idempotency_key",
            "credit": 2.0,
            "promise": 2.4,
            "deadline": 6.1,
            "lateShare": 0.2,
            "window": WINDOW,
        },
    ],
    "clientHabits": {"marksRetry": True},
    "familyInfo": {
        "blowup": 16.0,
        "callsOut": 0.0,
        "classCalls": [False, False],
        "classSkipWorth": [0.0, 0.0],
        "cpus": 2,
        "deepChecks": True,
        "dependsOn": "none",
        "freshFor": 0.0,
        "freshStart": False,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "halt": "abort",
        "heardFor": 1.0,
        "keepaliveMax": 15.0,
        "keyKb": 86.4,
        "listFollows": False,
        "memoryKb": 39474.0,
        "passesDeadline": False,
        "say": "threshold",
        "shareSpan": 5.0,
        "staysFor": 0.2,
        "tellsGone": False,
        "upstreams": 3,
    },
    "granularity": 0.005,
    "groupSize": 3,
    "invariants": {
        "cold": 16.0,
        "coldFrom": 0.22,
        "drainGrace": 2.0,
        "fall": 1.5,
        "fallMultiple": 8.0,
        "graceToAnswer": 0.1,
    },
    "overShareWorth": 0.1,
    "projects": [{"name": "savipaja", "portion": 1.0, "allowancePerS": 500.0}],
}


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, a line each with its time."""

    def __init__(self, folder: Path) -> None:
        """Create the file anew."""
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f}  {text}\n")
            self._file.flush()


class Processes:
    """The processes that a case started; all of them are ended at the end of the `with` block."""

    def __init__(self, record: Record) -> None:
        """Start without processes."""
        self._record = record
        self._started: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> "Processes":
        """Return the object itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill what still runs, with the rest of its group."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
                process.wait()

    def start(
        self, command: str, log: Path, environ: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a shell command from the root of the repository; its output goes to `log`."""
        inherited = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        with log.open("ab") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=inherited | (environ or {}),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._started.append(process)
        self._record.write(f"started pid {process.pid}: {command.replace(f'{log.parent}/', '')}")
        return process


def command_line(*arguments: str) -> str:
    """Return the line `run` of the deploy file; with arguments, the command of its program with these."""
    program = DEPLOY["run"].partition("HUP,INT,TERM ")[2] if arguments else DEPLOY["run"]
    return " ".join([("exec " if arguments else "") + program, *map(shlex.quote, arguments)])


def free_port(host: str = HOST) -> int:
    """Return a port that nothing listens on."""
    with socket.create_server((host, 0)) as server:
        return int(server.getsockname()[1])


def wait_for(condition: Callable[[], Any], timeout: float, interval: float = 0.02) -> Any:
    """Return the first true value of the condition; the last value if the time runs out."""
    deadline = time.monotonic() + timeout
    while not (value := condition()) and time.monotonic() < deadline:
        time.sleep(interval)
    return value


def log_has(path: Path, event: str, **fields: Any) -> bool:
    """Return whether a program's log has a line with this event and these fields."""
    for line in path.read_text(errors="replace").splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if entry.get("event") == event and fields.items() <= entry.items():
            return True
    return False


class Listener:
    """A stand-in that listens on a free port and serves each connection in a thread."""

    def __init__(self) -> None:
        """Listen."""
        self._server = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, _ = self._server.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._guard, args=(connection,), daemon=True).start()

    def _guard(self, connection: socket.socket) -> None:
        try:
            with connection, connection.makefile("rb") as source:
                self.serve(connection, source)
        except (OSError, ValueError):
            return

    def serve(self, connection: socket.socket, source: Any) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Announce(Listener):
    """The announce service: answers each report with 204."""

    def serve(self, connection: socket.socket, source: Any) -> None:
        """Answer the reports of one connection."""
        while source.readline():
            length = 0
            while header := source.readline().strip():
                name, _, value = header.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            source.read(length)
            connection.sendall(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")


class Agent(Listener):
    """The render farm agent.

    Attributes:
        sent: Class and body of each request that a client has sent, by id; other ids are refused.
        runs: Each run that was begun: its time, id, class and body.
    """

    def __init__(self, record: Record, duration: Callable[[str, bytes], float]) -> None:
        """Create an agent whose runs take as long as `duration` says for a class and a body."""
        self.sent: dict[str, tuple[str, bytes]] = {}
        self.runs: list[tuple[float, str, str, bytes]] = []
        self._record = record
        self._duration = duration
        self._lock = threading.RLock()
        self._running: dict[str, threading.Event] = {}
        self._notices: list[bytes] = []
        self._link: socket.socket | None = None
        self._started = time.monotonic() - 60.0
        super().__init__()

    def serve(self, connection: socket.socket, source: Any) -> None:
        """Carry out the commands of one link."""
        for line in source:
            words = line.decode().split()
            with self._lock:
                if words[0] == "subscribe":
                    self._subscribe(connection, int(words[1]))
                elif words[0] == "sample":
                    on_cores = len(self._running)
                    self._send(
                        connection, f"sampled {words[1]} {min(1.0, on_cores / 2)} {on_cores} 0.1 3\r\n"
                    )
                elif words[0] == "exercise":
                    self._send(connection, f"exercised {words[1]} good\r\n")
                elif words[0] == "launch":
                    body = source.read(int(words[3]) + 2)[:-2]
                    self._launch(connection, words[1], words[2], body)
                elif words[0] == "freeze":
                    if words[1] in self._running:
                        self._running[words[1]].set()
                else:
                    return

    def _subscribe(self, connection: socket.socket, after: int) -> None:
        if self._link is not None and self._link is not connection:
            self._link.close()
        self._link = connection
        age = int((time.monotonic() - self._started) * 1000)
        self._send(connection, f"greeting old {age}\r\n")
        for notice in self._notices[after:]:
            connection.sendall(notice)

    def _send(self, connection: socket.socket, text: str) -> None:
        connection.sendall(text.encode())

    def _launch(self, connection: socket.socket, id: str, stage: str, body: bytes) -> None:
        if self.sent.get(id) != (stage, body):
            self._record.write(f"agent: refused {id} {stage}")
            self._send(connection, f"refusal launch {id}\r\n")
            return
        if id in self._running:
            return
        self._record.write(f"agent: runs {id} {stage} {body.decode()}")
        self.runs.append((time.monotonic(), id, stage, body))
        stop = self._running[id] = threading.Event()
        threading.Thread(target=self._run, args=(id, stage, body, stop), daemon=True).start()

    def _run(self, id: str, stage: str, body: bytes, stop: threading.Event) -> None:
        begun = time.monotonic()
        stopped = stop.wait(self._duration(stage, body))
        elapsed = int((time.monotonic() - begun) * 1000)
        with self._lock:
            del self._running[id]
            number = len(self._notices) + 1
            if stopped:
                notice = f"outcome {number} {id} cut {elapsed} 0\r\n\r\n".encode()
            else:
                result = b"result of " + id.encode()
                notice = f"outcome {number} {id} good {elapsed} {len(result)}\r\n".encode() + result + b"\r\n"
            self._record.write(f"agent: {notice.split(b' good')[0].split(b' cut')[0].decode()} ended")
            self._notices.append(notice)
            try:
                if self._link is not None:
                    self._link.sendall(notice)
            except OSError:
                pass


class Answered:
    """A request and its answers: the time, the kind and the value of each."""

    def __init__(self, id: str) -> None:
        """Create the record of a request that was just sent."""
        self.id = id
        self.sent_at = time.monotonic()
        self.answers: list[tuple[float, str, Any]] = []

    @property
    def kind(self) -> str:
        """The kind of the first answer; empty without one."""
        return self.answers[0][1] if self.answers else ""


class Client:
    """A client stub's connection to a server."""

    def __init__(self, name: str, address: tuple[str, int], agent: Agent, record: Record) -> None:
        """Connect."""
        self.name = name
        self.ended = False
        self._agent = agent
        self._record = record
        self._socket = socket.create_connection(address, timeout=5)
        self._socket.settimeout(None)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sequence = 0
        self._open: dict[int, Answered] = {}
        threading.Thread(target=self._read, daemon=True).start()

    def prepare(
        self, id: str, stage: str, body: bytes, key: str = "", again: bool = False
    ) -> tuple[Answered, bytes]:
        """Register a request and return it with its encoded form."""
        self._sequence += 1
        fields = {
            "service": stage,
            "ref": id,
            "since": str(time.time_ns() // 1_000_000),
            "sender": "2",
            "project": "savipaja",
            "effort": "400.0",
            "room": "24.5",
            "class_rank": "0.6250",
        }
        if key:
            fields["replay"] = key
        if again:
            fields["dup"] = "1"
        self._agent.sent[id] = stage, body
        request = self._open[self._sequence] = Answered(id)
        self._record.write(f"client {self.name}: sends {id} {stage} {body.decode()}{' again' * again}")
        return request, stub.encode_process(self._sequence, fields, body)

    def send(self, id: str, stage: str, body: bytes, key: str = "", again: bool = False) -> Answered:
        """Send a request."""
        request, data = self.prepare(id, stage, body, key, again)
        self.write(data)
        return request

    def write(self, data: bytes) -> None:
        """Write bytes."""
        self._socket.sendall(data)

    def probe(self) -> None:
        """Send a health check."""
        self._sequence += 1
        self._open[self._sequence] = Answered("probe")
        self.write(stub.encode_probe(self._sequence, False))

    def reset(self) -> None:
        """End the connection at once, as a process that dies does."""
        self._record.write(f"client {self.name}: its connection is reset")
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.close()

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)
        self._socket.close()

    def _read(self) -> None:
        buffer = Buffer(stub.MAX_RESPONSE_SIZE)
        try:
            while count := self._socket.recv_into(buffer.room()):
                buffer.filled(count)
                for response in stub.decode_responses(buffer):
                    self._take(response)
        except (OSError, ValueError):
            pass
        self.ended = True

    def _take(self, response: stub.Response) -> None:
        request = self._open.get(response.sequence)
        if request is None:
            return
        request.answers.append((time.monotonic(), response.kind, response.value))
        if request.id != "probe":
            self._record.write(f"client {self.name}: {request.id} is {response.kind}")


def write_config(path: Path, name: str, port: int, agent: Agent, announce: Announce, **changes: Any) -> None:
    """Write the configuration of a server that listens on `port`."""
    config = {
        "name": name,
        "listen": f"{HOST}:{port}",
        "agent": agent.address,
        "announce": announce.address,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 5000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": SETTINGS,
        **changes,
    }
    path.write_text(json.dumps(config))


def served(requests: Iterable[Answered]) -> list[Answered]:
    """Return the requests that were answered with a result."""
    return [request for request in requests if request.kind == "finished"]


def start_council(processes: Processes, folder: Path, log: Path) -> Path | None:
    """Start and form a council of three voters; return a settings file with their addresses.

    Returns None if it does not come to lead.
    """
    voters = {name: f"{HOST}:{free_port()}" for name in "abc"}
    lines = "".join(f"council voter {name}={address}\n" for name, address in voters.items())
    for name, address in voters.items():
        own = f"council folder {folder}/council-{name}\ncouncil name {name}\ncouncil listen {address}\n"
        (folder / f"{name}.conf").write_text(own + lines)
        processes.start(command_line("council", "--conf", f"{folder}/{name}.conf"), log)
    conf = folder / "voters.conf"
    conf.write_text(lines)

    def call(*arguments: str) -> bool:
        return processes.start(command_line("council", *arguments, "--conf", str(conf)), log).wait(30) == 0

    if wait_for(lambda: call("form"), 20, 0.3) and wait_for(lambda: call("status"), 20, 0.3):
        return conf
    return None
