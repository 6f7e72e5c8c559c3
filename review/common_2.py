"""Stand-ins and helpers that the cases 6 to 10 share; needs nothing beyond the standard library.

The stand-ins follow the protocol page: a render farm agent, an announce service, and a client stub that
speaks framed Thrift. They run inside the process of the case; the project's programs run as processes of
their own.
"""

import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_LINE = 400  # characters of a line in a record
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

STRING, STRUCT, MAP, BOOL = 11, 12, 13, 2
VERSION = 0x80010000

# The shape of the first site's settings, for one small server.
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
            "window": 18.354,
        },
    ],
    "clientHabits": {"marksRetry": True},
    "countedBy": "work",
    "failureDomains": ["tampere-1"],
    "family": "server",
    "familyInfo": {
        "blowup": 16.0,
        "callsOut": 0.0,
        "classCalls": [False, False],
        "classSkipWorth": [0.0, 0.0],
        "cpus": 6,
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
    "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.1},
    "granularity": 0.005,
    "groupSize": 11,
    "invariants": {
        "cold": 16.0,
        "coldFrom": 0.22,
        "drainGrace": 2.0,
        "fall": 1.5,
        "fallMultiple": 8.0,
        "graceToAnswer": 0.1,
    },
    "overShareWorth": 0.1,
    "prices": {"connection": 0.0, "handshake": 0.0, "lateFail": 0.03, "origin": 0.0, "waste": 0.051},
    "projects": [
        {"allowancePerS": 55.0, "name": "savipaja", "portion": 0.34},
        {"allowancePerS": 55.0, "name": "kivikko", "portion": 0.34},
        {"allowancePerS": 26.0, "name": "ruukkula", "portion": 0.16},
        {"allowancePerS": 26.0, "name": "lasitus", "portion": 0.16},
    ],
    "report": {"columns": ["mean_ms", "depth"], "how": "answers"},
    "slotNo": 3,
    "stage": 0,
    "stages": ["booking-fleet"],
    "zone": 0,
}


class CaseNotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Case:
    """One run of a case: its record, its temporary folder and the processes that it started."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        """Open the record of the case in `folder`."""
        self.temporary = temporary
        self.begun = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._processes: list[subprocess.Popen[bytes]] = []
        self._cleanups: list[Callable[[], None]] = []

    def note(self, *words: object) -> None:
        """Write a line with the time since the start to the record, without paths of the machine."""
        line = " ".join(str(word) for word in words)
        for path, word in ((self.temporary, "TEMPORARY"), (ROOT, "ROOT"), (sys.base_prefix, "PYTHON")):
            line = line.replace(str(path), word)
        with self._lock:
            self._record.write(f"{time.monotonic() - self.begun:8.3f} {line[:MAX_LINE]}\n")
            self._record.flush()

    def start(
        self, name: str, command: str, environ: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a program by `/bin/sh -c` from the root; its output goes to a file of the case."""
        with (self.temporary / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **(environ or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        self.note("started", name, "as process", process.pid)
        return process

    def at_end(self, cleanup: Callable[[], None]) -> None:
        """Call `cleanup` at the end of the case."""
        self._cleanups.append(cleanup)

    def log_of(self, name: str) -> str:
        """Return what a program has written so far."""
        path = self.temporary / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def wait_for_log(self, name: str, text: str, timeout: float = 20.0, count: int = 1) -> None:
        """Wait until a program has written `text` for the `count`-th time.

        Raises:
            CaseNotRunError: It did not within `timeout` seconds.
        """
        wait_until(lambda: self.log_of(name).count(text) >= count, timeout, f"{name}: no {text!r} in its log")

    def end(self) -> None:
        """End all processes that this case started, and copy the end of their logs to the record."""
        for cleanup in self._cleanups:
            cleanup()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for path in sorted(self.temporary.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines()[-25:]:
                if '"event":"figures"' not in line:
                    self.note(path.name, line)
        self._record.close()


def run_case(script: str, play: Callable[[Case], bool]) -> None:
    """Run a case and exit: 1 if `play` found the rule broken, 0 if it held, 2 if the case could not run."""
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(Path(script).resolve().parent, Path(temporary))
        case.note("trouble" if HAS_TROUBLE else "no trouble")
        try:
            code = BROKEN if play(case) else HELD
        except Exception as error:  # whatever happens, the processes are ended and the code tells it
            case.note("the case could not run:", type(error).__name__, error)
            print(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            case.note("exit code", code)
            case.end()
    sys.exit(code)


def wait_until(condition: Callable[[], Any], timeout: float, what: str) -> Any:
    """Wait until `condition` returns something true, and return that.

    Raises:
        CaseNotRunError: It did not within `timeout` seconds; `what` says what was waited for.
    """
    deadline = time.monotonic() + timeout
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise CaseNotRunError(what)
        time.sleep(0.01)
    return value


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


def program(*words: object) -> str:
    """Return the command line of one of the project's sub-commands, with the Python of the line `run`."""
    python = next(word for word in shlex.split(deploy_command("run")) if word.endswith("python"))
    return shlex.join(["exec", python, "-m", "thistleline", *map(str, words)])


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.create_server((host, 0)) as probe:
        return int(probe.getsockname()[1])


# ---- stand-ins of the platform


class AgentStandIn:
    """A render farm agent: runs what it is told, numbers its notices, keeps them over a break of the link.

    Attributes:
        launched: The id, class and body of every run that began, in order.
        ended: The ids of the runs that ended well.
    """

    def __init__(
        self, case: Case, durations: dict[str, float], state: str = "old", age: float = 60.0
    ) -> None:
        """Listen on a free port.

        Args:
            case: Gets a line for each command and notice.
            durations: How long a run of each class takes, s.
            state: What the greeting says: `new` for an agent that was started cold, else `old`.
            age: How long the agent has been up, s.
        """
        self.durations = durations
        self.launched: list[tuple[str, str, bytes]] = []
        self.ended: list[str] = []
        self._case = case
        self._state = state
        self._started = time.monotonic() - age
        self._lock = threading.RLock()
        self._notices: list[bytes] = []
        self._link: socket.socket | None = None
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            link, _ = self._server.accept()
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        try:
            with link, link.makefile("rb") as source:
                for line in source:
                    self._handle(link, line.decode().split(), source)
        except (OSError, ValueError):
            pass

    def _handle(self, link: socket.socket, words: list[str], source: Any) -> None:
        if words[0] == "launch":
            body = source.read(int(words[3]) + 2)[:-2]
            self._launch(words[1], words[2], body)
            return
        with self._lock:
            if words[0] == "subscribe":
                self._subscribe(link, int(words[1]))
            elif words[0] == "sample":
                running = len(self.launched) - len(self.ended)
                link.sendall(f"sampled {words[1]} 0.1 {running} 0.1 3\r\n".encode())
            elif words[0] == "exercise":
                link.sendall(f"exercised {words[1]} good\r\n".encode())
            else:
                self._case.note("agent: command", *words)

    def _subscribe(self, link: socket.socket, number: int) -> None:
        previous, self._link = self._link, link
        if previous is not None:
            with suppress(OSError):
                previous.shutdown(socket.SHUT_RDWR)
        age_ms = int((time.monotonic() - self._started) * 1000)
        self._case.note("agent: subscribe", number, "- greeting", self._state, age_ms)
        link.sendall(f"greeting {self._state} {age_ms}\r\n".encode() + b"".join(self._notices[number:]))

    def _launch(self, id: str, stage: str, body: bytes) -> None:
        with self._lock:
            self._case.note("agent: launch", id, stage, body.decode("ascii", "replace"))
            self.launched.append((id, stage, body))
        timer = threading.Timer(self.durations[stage], self._end, (id, body))
        timer.daemon = True
        timer.start()

    def _end(self, id: str, body: bytes) -> None:
        result = b"result of " + body
        with self._lock:
            self.ended.append(id)
            number = len(self._notices) + 1
            notice = f"outcome {number} {id} good 300 {len(result)}\r\n".encode() + result + b"\r\n"
            self._notices.append(notice)
            self._case.note("agent: outcome", number, id, "good")
            if self._link is not None:
                try:
                    self._link.sendall(notice)
                except OSError:
                    self._link = None

    def runs_of(self, body: bytes) -> int:
        """Return how many runs with this body began."""
        with self._lock:
            return sum(1 for _, _, launched in self.launched if launched == body)


class AnnounceStandIn:
    """An announce service that answers every report with 204."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection, connection.makefile("rb") as source:
                while source.readline():
                    length = 0
                    while header := source.readline().strip():
                        name, _, value = header.partition(b":")
                        length = int(value) if name.lower() == b"content-length" else length
                    source.read(length)
                    connection.sendall(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
        except (OSError, ValueError):
            pass


# ---- a client stub


def _text(value: str | bytes) -> bytes:
    data = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(data)) + data


def encode_task(seq: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encode a call of `process`."""
    pairs = b"".join(_text(name) + _text(value) for name, value in fields.items())
    arguments = struct.pack(">bhbbi", MAP, 1, STRING, STRING, len(fields)) + pairs
    arguments += struct.pack(">bh", STRING, 2) + _text(body) + b"\0"
    message = struct.pack(">I", VERSION | 1) + _text("process") + struct.pack(">i", seq) + arguments
    return struct.pack(">i", len(message)) + message


def task_fields(stage: str, key: str | None = None, **changes: str) -> dict[str, str]:
    """Return the fields of a task that is made now, with a new id."""
    fields = {
        "service": stage,
        "ref": os.urandom(8).hex(),
        "since": str(time.time_ns() // 1_000_000),
        "sender": "2",
        "project": "savipaja",
        "effort": "300.00",
        "room": "24.5",
        "class_rank": "0.6250",
    }
    if key is not None:
        fields["replay"] = key
    else:
        fields["lookup"] = os.urandom(8).hex()
    return fields | changes


def decode_answer(frame: bytes) -> tuple[str, int, str, bytes]:
    """Return method, sequence number, outcome (served, refused, failed or a method's own) and result."""
    kind = struct.unpack_from(">I", frame)[0] & 0xFF
    size = struct.unpack_from(">i", frame, 4)[0]
    method = frame[8 : 8 + size].decode()
    position = 8 + size
    seq = struct.unpack_from(">i", frame, position)[0]
    position += 4
    if kind == 3:
        return method, seq, "failed", b""
    if method != "process" or kind != 2:
        return method, seq, method, b""
    field_type, field_id = struct.unpack_from(">bh", frame, position)
    if field_type != STRUCT:
        raise ValueError("an answer without a result")
    outcome = {0: "served", 1: "refused", 2: "failed"}[field_id]
    position += 3
    result = b""
    if outcome == "served":
        while frame[position]:
            field_type, field_id = struct.unpack_from(">bh", frame, position)
            position += 3
            if (field_type, field_id) == (STRING, 1):
                length = struct.unpack_from(">i", frame, position)[0]
                result = frame[position + 4 : position + 4 + length]
                break
            position = _skip(frame, position, field_type)
    return method, seq, outcome, result


def _skip(frame: bytes, position: int, field_type: int) -> int:
    if field_type == STRING:
        return position + 4 + int(struct.unpack_from(">i", frame, position)[0])
    if field_type == MAP:
        count = struct.unpack_from(">bbi", frame, position)[2]
        position += 6
        for _ in range(2 * count):
            position = _skip(frame, position, STRING)
        return position
    if field_type == BOOL:
        return position + 1
    raise ValueError(f"a field of type {field_type}")


class ClientStub:
    """One connection of a client stub; answers are collected by a thread.

    Attributes:
        answers: Outcome, result and time of each answer, by sequence number, in order.
        dismissed: Whether a `farewell` came: no new request is sent then.
        ended: Whether the connection has ended.
    """

    def __init__(self, case: Case, name: str, address: tuple[str, int], timeout: float = 10.0) -> None:
        """Connect."""
        self.name = name
        self.answers: dict[int, list[tuple[str, bytes, float]]] = {}
        self.dismissed = False
        self.ended = False
        self._case = case
        self._seq = 0
        self._sock = socket.create_connection(address, timeout)
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, fields: dict[str, str], body: bytes) -> int:
        """Send a task and return its sequence number."""
        self._seq += 1
        self._case.note(
            self.name,
            "sends",
            self._seq,
            fields["service"],
            "id",
            fields["ref"],
            "key",
            fields.get("replay", "-"),
        )
        self._sock.sendall(encode_task(self._seq, fields, body))
        return self._seq

    def _read(self) -> None:
        try:
            with self._sock.makefile("rb") as source:
                while len(head := source.read(4)) == 4:
                    size = struct.unpack(">i", head)[0]
                    method, seq, outcome, result = decode_answer(source.read(size))
                    if method == "farewell":
                        self.dismissed = True
                        self._case.note(self.name, "got a farewell")
                        continue
                    self._case.note(self.name, "got", seq, outcome, result.decode("ascii", "replace"))
                    self.answers.setdefault(seq, []).append((outcome, result, time.monotonic()))
        except (OSError, ValueError) as error:
            self._case.note(self.name, "connection failed:", error)
        self.ended = True

    def wait_for(self, seq: int, timeout: float) -> tuple[str, bytes] | None:
        """Return the outcome and result of the answer to `seq`; None without one within `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while seq not in self.answers and not self.ended and time.monotonic() < deadline:
            time.sleep(0.005)
        return self.answers[seq][0][:2] if seq in self.answers else None

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


# ---- the project's server


class Server:
    """One start of the server, by the line `run` of the deploy file."""

    def __init__(
        self,
        case: Case,
        name: str,
        agent: AgentStandIn,
        announce: AnnounceStandIn,
        port: int,
        parts: str = "",
        **changes: Any,
    ) -> None:
        """Write the configuration and start the program.

        Args:
            case: The case that the server belongs to.
            name: Names the log of this start.
            agent: The agent on the same machine.
            announce: The announce service.
            port: Where client stubs connect, on 127.0.0.1.
            parts: Lines of the settings file; empty for none.
            changes: Changes to the configuration.
        """
        self.address = ("127.0.0.1", port)
        self.log = name
        self._case = case
        configuration = {
            "name": "n3",
            "listen": f"127.0.0.1:{port}",
            "agent": agent.address,
            "announce": announce.address,
            "seed": os.urandom(8).hex(),
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
        }
        path = case.temporary / "config.json"
        path.write_text(json.dumps(configuration | changes))
        environ = {"ROUTER_CONFIG": str(path), "ROUTER_NAME": "n3", "ROUTER_LISTEN": f"127.0.0.1:{port}"}
        if parts:
            conf = case.temporary / "thistleline.conf"
            conf.write_text(parts)
            environ["THISTLELINE_CONF"] = str(conf)
        self.process = case.start(name, deploy_command("run"), environ)

    def wait_for(self, text: str, timeout: float = 20.0) -> None:
        """Wait for a text in the server's log."""
        self._case.wait_for_log(self.log, text, timeout)


# ---- the project's council and commands


def run_command(case: Case, *words: object, timeout: float = 60.0) -> str:
    """Run a command of the project to its end and return what it printed.

    Raises:
        CaseNotRunError: It failed.
    """
    done = subprocess.run(
        ["/bin/sh", "-c", program(*words)], cwd=ROOT, capture_output=True, text=True, timeout=timeout
    )
    printed = (done.stdout + done.stderr).strip()
    case.note("command", *words, "- exit code", done.returncode, printed[:300])
    if done.returncode:
        raise CaseNotRunError(f"{words[0]} failed: {printed}")
    return printed


class Council:
    """Three voters on loopback addresses.

    Attributes:
        lines: The lines that tell a program where the voters are.
        conf: A settings file of a voter, which also serves commands.
    """

    def __init__(self, case: Case) -> None:
        """Start the voters and form the council."""
        self._case = case
        ports = {name: free_port() for name in "abc"}
        self.lines = "".join(f"council voter {name}=127.0.0.1:{port}\n" for name, port in ports.items())
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for name, port in ports.items():
            folder = case.temporary / f"council-{name}"
            text = f"council folder {folder}\ncouncil name {name}\ncouncil listen 127.0.0.1:{port}\n"
            (case.temporary / f"{name}.conf").write_text(text + self.lines)
            self.start(name)
        self.conf = case.temporary / "a.conf"
        for name in ports:
            case.wait_for_log(f"voter-{name}", "started")
        run_command(case, "council", "form", "--conf", self.conf)
        wait_until(self._is_led, 20.0, "the council has no leader")

    def _is_led(self) -> bool:
        return any('"event": "led"' in self._case.log_of(f"voter-{name}") for name in self.processes)

    def start(self, name: str) -> None:
        """Start a voter, also again after its end."""
        conf = self._case.temporary / f"{name}.conf"
        self.processes[name] = self._case.start(f"voter-{name}", program("council", "--conf", conf))


# ---- what commands under a lease act on


class ResourceStandIn:
    """What the commands under a lease act on: takes a line an act, and checks no epochs.

    Attributes:
        acts: Time and line of each act, in the order of arrival.
    """

    def __init__(self, case: Case) -> None:
        """Listen on a free port."""
        self.acts: list[tuple[float, dict[str, int]]] = []
        self._case = case
        self._server = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._server.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection, connection.makefile("rb") as source:
                for line in source:
                    epoch, pid = line.split()
                    act = {"epoch": int(epoch), "pid": int(pid)}
                    self._case.note("resource: act of epoch", act["epoch"], "process", act["pid"])
                    self.acts.append((time.monotonic(), act))
        except (OSError, ValueError):
            pass

    def epochs(self) -> set[int]:
        """Return the epochs that have acted."""
        return {act["epoch"] for _, act in list(self.acts)}

    def overlapping_acts(self) -> list[str]:
        """Return the acts of an epoch that came after the first act of a later one."""
        wrong = []
        newest = 0
        for at, act in list(self.acts):
            newest = max(newest, act["epoch"])
            if act["epoch"] < newest:
                after = f"{at - self._case.begun:.3f}"
                wrong.append(f"{after}: epoch {act['epoch']} acts while epoch {newest} holds the lease")
        return wrong

    def end_actors(self) -> None:
        """End the commands that still act; the case started them, through `lease take`."""
        for pid in {act["pid"] for _, act in list(self.acts)}:
            try:
                command = Path(f"/proc/{pid}/cmdline").read_bytes()
                if str(self._case.temporary).encode() in command:
                    os.kill(pid, signal.SIGKILL)
            except OSError:
                pass


# Acts four times a second for the given time, like a job that works through a list.
WORKER = """import os, socket, sys, time
port, span = int(sys.argv[1]), float(sys.argv[2])
end = time.monotonic() + span
with socket.create_connection(("127.0.0.1", port)) as resource:
    while time.monotonic() < end:
        resource.sendall(f"{os.environ['LEASE_EPOCH']} {os.getpid()}\\n".encode())
        time.sleep(0.25)
"""


def write_worker(case: Case) -> Path:
    """Write the worker's program to the temporary folder and return its path."""
    path = case.temporary / "worker.py"
    path.write_text(WORKER)
    return path
