"""Shared test helpers: a fake policy host, a state machine harness, fake servers and a Thrift client."""

import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from thistleline.interface import (
    PolicyEvent,
    RunOutcome,
    ServerSettings,
    Stage,
    Task,
    TaskArrived,
    Tenant,
    TimerFired,
)
from thistleline.policy import MS, SECOND, Policy
from thistleline.state.effects import (
    AnswerAbandoned,
    AnswerFinished,
    AnswerRejected,
    LogEvent,
    MeasureGauges,
    ReadConnection,
    StartRun,
)
from thistleline.state.events import (
    AgentGreeted,
    ConnectionOpened,
    DeadlineReached,
    GaugesMeasured,
    InputDrained,
    ListeningStarted,
    RunCompleted,
    TaskReceived,
)
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.state.state_machine import ServerStateMachine

WAIT_TIMEOUT_SECONDS = 20.0  # for every wait in a test; long enough for a busy machine


def stage(**changes: Any) -> Stage:
    fields: dict[str, Any] = dict(
        name="lookup",
        latency_objective=1500 * MS,
        objective_per_work=0.0,
        timeout=4 * SECOND,
        idempotency_window=0,
        effect="idempotent",
        utility=1.0,
        late_utility_share=0.0,
        calls=False,
        utility_share_without_call=0.0,
    )
    return Stage(**fields | changes)


LOOKUP = stage()
BOOKING = stage(
    name="booking", effect="keyed", utility=4.0, idempotency_window=10 * SECOND, latency_objective=2 * SECOND
)
ORDER = stage(name="order", effect="non_idempotent", calls=True)


def server_settings(stages: tuple[Stage, ...] = (LOOKUP, BOOKING), **changes: Any) -> ServerSettings:
    fields: dict[str, Any] = dict(
        stages=stages,
        tenants=(),
        cores=2,
        memory_kb=100_000.0,
        running_memory_factor=16.0,
        idempotency_key_kb=1.0,
        fleet_size=4,
        client_count=2,
        cold_start=False,
        cold_speed_share=0.25,
        warmup_duration=10 * SECOND,
        max_concurrency_per_core=6.0,
        max_concurrency_window=2 * SECOND,
        answer_slack=80 * MS,
        drain_grace=2 * SECOND,
        cancellation="abort",
        propagates_deadline=False,
        reports_cancellation=True,
        marks_retries=True,
        load_hint="threshold",
        endpoint_list_follows_health=False,
        max_retry_after=SECOND,
        over_quota_utility=0.1,
        cached_result_ttl=0,
        downstream="none",
        downstream_quota=0.0,
        downstream_quota_window=5 * SECOND,
        downstream_linger=200 * MS,
    )
    return ServerSettings(**fields | changes)


class FakePolicyHost:
    """Receives the policy's decisions and provides the policy's clock; `decisions` lists them in order."""

    def __init__(self, stages: tuple[Stage, ...] = (LOOKUP, BOOKING), **changes: Any) -> None:
        self.settings = server_settings(stages, **changes)
        self.now = 1000 * SECOND
        self.decisions: list[tuple[Any, ...]] = []
        self.policy = Policy(self.settings, 7, self.now)
        self.count = 0
        self.gauges = {"on_cores": 2.0}
        self.round()

    def __getattr__(self, decision: str) -> Any:
        return lambda *arguments: self.decisions.append((decision, *arguments))

    def round(self, *events: PolicyEvent) -> list[tuple[Any, ...]]:
        """Runs one policy round and returns its decisions, except timer settings."""
        before = len(self.decisions)
        self.policy.round(self.now, list(events), self)
        return [decision for decision in self.decisions[before:] if decision[0] != "set_timer"]

    def task(self, stage: int = 0, **changes: Any) -> Task:
        self.count += 1
        return task(f"t{self.count}", changes.pop("arrived_at", self.now), stage=stage, **changes)

    def read(self, *tasks: Task) -> list[tuple[Any, ...]]:
        """Delivers the tasks to the policy in one round."""
        return self.round(*(TaskArrived(task) for task in tasks))

    def wait(self, duration: int) -> None:
        """Advances the clock and fires the policy's timer every 25 ms."""
        end = self.now + duration
        while self.now < end:
            self.now += 25 * MS
            self.round(TimerFired("tick", dict(self.gauges)))

    def decisions_for(self, task: Task) -> list[str]:
        """Returns the names of the decisions about one task, in order."""
        return [decision[0] for decision in self.decisions if len(decision) > 1 and decision[1] == task.id]


def task(name: str, arrived_at: int, **changes: Any) -> Task:
    fields: dict[str, Any] = dict(
        id=name,
        stage=0,
        tenant=0,
        client=0,
        priority_rank=0.5,
        user=None,
        estimated_work=100 * MS,
        queued_memory_kb=10.0,
        arrived_at=arrived_at,
        deadline=None,
        is_retry=False,
        duplicate_of=None,
    )
    return Task(**fields | changes)


def tenants(*allowances: float) -> tuple[Tenant, ...]:
    return tuple(Tenant(f"o{index}", 1 / len(allowances), rate) for index, rate in enumerate(allowances))


class MachineHarness:
    """Runs a state machine with a simulated clock and agent.

    `effects` lists, in order, all effects (actions) that the state machine has requested.
    """

    def __init__(
        self,
        *,
        agent_connected: bool = True,
        connections: int = 8,
        results_bound: int = 1 << 20,
        **changes: Any,
    ) -> None:
        self.now = 1000 * SECOND
        self.lifecycle = Lifecycle()
        options = machine_options(connections, results_bound, **changes)
        self.machine = ServerStateMachine(options, self.now, self.lifecycle)
        self.effects: list[Any] = []
        self.answers_measurements = True
        self.last_notice_number = 0
        self.count = 0
        self.handle(ListeningStarted())
        if agent_connected:
            self.handle(AgentGreeted(False, 60 * SECOND))
            self.wait(50 * MS)

    def handle(self, event: Any) -> list[Any]:
        """Passes one event to the state machine and returns the effects, except `IGNORED_EFFECTS`.

        The simulated agent answers measurement requests at once while `answers_measurements` is set.
        """
        effects = self.machine.handle(self.now, event)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, MeasureGauges) and self.answers_measurements:
                self.handle(GaugesMeasured(effect.tag, [0.5, 2.0]))
        return [effect for effect in effects if not isinstance(effect, IGNORED_EFFECTS)]

    def wait(self, duration: int = 10 * MS) -> list[Any]:
        """Advances the clock, reports each deadline that passes and returns the effects, as `handle` does."""
        before, end = len(self.effects), self.now + duration
        while self.now < end and self.lifecycle.phase != "ended":
            self.now = min(end, max(self.now, self.machine.next_deadline()))
            if self.machine.next_deadline() <= self.now:
                self.handle(DeadlineReached())
        return [effect for effect in self.effects[before:] if not isinstance(effect, IGNORED_EFFECTS)]

    def send(
        self, connection: int, dedup_key: str | None = None, body: bytes = b"body", **changes: Any
    ) -> str:
        """Delivers a task on a connection, which is opened first if necessary; returns the task's id."""
        self.count += 1
        if connection not in self.machine.connections.by_number:
            self.handle(ConnectionOpened(connection))
        name = str(changes.pop("id", f"t{self.count}"))
        stage = changes.pop("stage_index", 0 if dedup_key is None else 1)
        sent = task(name, changes.pop("arrived_at", self.now), stage=stage, **changes)
        self.handle(TaskReceived(connection, self.count, sent, dedup_key, memoryview(body)))
        self.handle(InputDrained(connection))
        return name

    def end(self, name: str, outcome: RunOutcome = "finished", number: int | None = None) -> list[Any]:
        """Delivers the agent's notice that a run has ended, with the next notice number by default."""
        if number is None:
            self.last_notice_number += 1
            number = self.last_notice_number
        return self.handle(
            RunCompleted(number, name, outcome, 100 * MS, memoryview(b"result of " + name.encode()))
        )

    def effects_of(self, *classes: type) -> list[Any]:
        return [effect for effect in self.effects if isinstance(effect, classes)]

    def launched(self) -> list[str]:
        """Returns the attempt ids of all runs started so far, in order."""
        return [effect.attempt_id for effect in self.effects_of(StartRun)]

    def answers(self) -> list[str]:
        """Returns the outcomes of all tasks answered so far, in order."""
        return [ANSWERS[type(effect)] for effect in self.effects_of(*ANSWERS)]


IGNORED_EFFECTS = (LogEvent, ReadConnection, MeasureGauges)
ANSWERS = {AnswerFinished: "finished", AnswerRejected: "rejected", AnswerAbandoned: "abandoned"}


def machine_options(connections: int = 8, results_bound: int = 1 << 20, **changes: Any) -> MachineOptions:
    return MachineOptions(
        server_settings(**changes), ("core_use", "on_cores"), 5 * MS, connections, results_bound, 7
    )


SETTINGS: dict[str, Any] = {
    "allowed": {"cpuUsPerRequest": 0.0, "maxRetryAfter": 1.0, "retryAfter": True},
    "classes": [
        {"name": "lookup", "effect": "read_like", "credit": 1.0, "promise": 1.5, "deadline": 4.0},
        {
            "name": "booking",
            "effect": "idempotency_key",
            "credit": 2.0,
            "promise": 2.0,
            "deadline": 6.0,
            "window": 9,
        },
    ],
    "clientHabits": {"marksRetry": True},
    "familyInfo": {
        "blowup": 16.0,
        "callsOut": 0.0,
        "classCalls": [False, False],
        "cpus": 2,
        "dependsOn": "none",
        "freshStart": False,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "halt": "abort",
        "keyKb": 10.0,
        "memoryKb": 20000.0,
        "say": "threshold",
        "shareSpan": 5.0,
        "staysFor": 0.2,
        "upstreams": 3,
    },
    "granularity": 0.005,
    "groupSize": 3,
    "invariants": {
        "cold": 8.0,
        "coldFrom": 0.3,
        "drainGrace": 2.0,
        "fall": 1.5,
        "fallMultiple": 8.0,
        "graceToAnswer": 0.1,
    },
    "overShareWorth": 0.1,
    "projects": [{"name": "acme", "portion": 1.0, "allowancePerS": 100.0}],
}


# A loopback address that only this test process uses. On a shared address, another process could take a free
# port between its selection here and the server's bind.
HOST = f"127.{64 + (os.getpid() >> 16)}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}


CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.4:9090",
    "agent": "127.0.0.1:9300",
    "announce": "127.0.0.2:8761",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "more": 1},
    "settings": SETTINGS,
}


GATES_DIRECTORY = str(Path(__file__).parent / "gates")


class FakeServer:
    """A fake peer that listens on a free port; subclasses put the messages that they get into `received`."""

    def __init__(self) -> None:
        self.listen(("127.0.0.1", 0))

    def listen(self, address: tuple[str, int]) -> None:
        self.server = socket.create_server(address)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.received: queue.Queue[Any] = queue.Queue()
        self.connection: socket.socket | None = None
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            self.connection = connection
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection, connection.makefile("rb") as source:
                self.serve(connection, source)
        except (OSError, ValueError):
            return

    def serve(self, connection: socket.socket, source: Any) -> None:
        """Serves one connection; subclasses implement it."""
        raise NotImplementedError

    def receive(self) -> Any:
        """Waits for the next message that the program sent."""
        return self.received.get(timeout=WAIT_TIMEOUT_SECONDS)

    def drop(self) -> None:
        """Shuts down the latest connection at once."""
        assert self.connection is not None
        self.connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.server.close()


class FakeAgent(FakeServer):
    """A fake agent that answers samples and deep checks.

    All other commands go to `received`, and the test ends the runs. The agent sends its greeting only once
    `ready` is set, and after it those of its `notices` that follow the number in the server's subscription.
    """

    def __init__(self, ready: bool = True) -> None:
        self.ready = threading.Event()
        if ready:
            self.ready.set()
        self.notices: list[bytes] = []
        super().__init__()

    def serve(self, connection: socket.socket, source: Any) -> None:
        for line in source:
            words = line.decode().split()
            if words[0] == "subscribe":
                self.received.put(("subscribe", int(words[1])))
                self.ready.wait()
                connection.sendall(b"greeting old 60000\r\n" + b"".join(self.notices[int(words[1]) :]))
            elif words[0] == "sample":
                connection.sendall(b"sampled %s 0.5 2 0.1 3\r\n" % words[1].encode())
            elif words[0] == "exercise":
                connection.sendall(b"exercised %s good\r\n" % words[1].encode())
            elif words[0] == "launch":
                body = source.read(int(words[3]) + 2)[:-2]
                self.received.put(("launch", words[1], words[2], body))
            elif words[0] == "deliver":
                self.received.put(("deliver", words[1], source.read(int(words[2]) + 2)[:-2]))
            else:
                self.received.put(tuple(words))

    def request_call(self, name: str, body: bytes) -> None:
        """Sends the notice that a run waits for the result of a call."""
        self.send_notice(f"request {len(self.notices) + 1} {name} {len(body)}\r\n".encode() + body + b"\r\n")

    def send_notice(self, notice: bytes, send: bool = True) -> None:
        """Stores a notice for later subscriptions and, if `send` is set, sends it now."""
        self.notices.append(notice)
        if send:
            assert self.connection is not None
            self.connection.sendall(notice)

    def end_run(self, name: str, result: bytes, outcome: str = "good", send: bool = True) -> None:
        """Sends the notice that a run has ended."""
        head = f"outcome {len(self.notices) + 1} {name} {outcome} 12.5 {len(result)}\r\n".encode()
        self.send_notice(head + result + b"\r\n", send)


class FakeBackend(FakeServer):
    """A fake downstream back end: calls and cancellations go to `received`, and the test ends the calls.

    Each connection has its own thread, so messages from two connections reach `received` in any order. A
    cancellation is held back while `accepts_cancels` is clear.
    """

    def __init__(self) -> None:
        self.accepts_cancels = threading.Event()
        self.accepts_cancels.set()
        super().__init__()

    def serve(self, connection: socket.socket, source: Any) -> None:
        for line in source:
            words = line.decode().split()
            if words[0] == "invoke":
                self.received.put(("invoke", words[1], int(words[2]), source.read(int(words[3]) + 2)[:-2]))
            else:
                self.accepts_cancels.wait(WAIT_TIMEOUT_SECONDS)
                self.received.put(tuple(words))

    def end_call(self, name: str, outcome: str = "ok", result: bytes | None = None) -> None:
        """Sends the outcome of a call on the latest connection."""
        assert self.connection is not None
        suffix = b"" if result is None else b" %d\r\n%s" % (len(result), result)
        self.connection.sendall(f"{name} {outcome}".encode() + suffix + b"\r\n")


class FakeAnnounce(FakeServer):
    """A fake announce service; with `failure` set it refuses reports, closes early or does not answer."""

    failure = ""

    def read_report(self, source: Any) -> tuple[str, Any] | None:
        """Reads the next report: its path and decoded body, or None at the end of the connection."""
        request_line = source.readline()
        if not request_line:
            return None
        length = 0
        while (header := source.readline().strip()) != b"":
            name, _, value = header.partition(b":")
            length = int(value) if name.lower() == b"content-length" else length
        return request_line.split()[1].decode(), json.loads(source.read(length))

    def serve(self, connection: socket.socket, source: Any) -> None:
        while (report := self.read_report(source)) is not None:
            self.received.put(report)
            if self.failure == "closes early":
                return
            if self.failure != "is slow":
                status = b"503 Busy" if self.failure else b"204 Told"
                connection.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")


class ServerProcess:
    """The server program in a process of its own, on a free port unless `port` is given."""

    def __init__(
        self,
        folder: Path,
        agent: FakeServer,
        announce: FakeServer,
        port: int = 0,
        environ: dict[str, str] | None = None,
        **changes: Any,
    ) -> None:
        if not port:
            with socket.create_server((HOST, 0)) as free:
                port = free.getsockname()[1]
        self.port = port
        config = {
            "name": "n1",
            "listen": f"{HOST}:{port}",
            "agent": agent.address,
            "announce": announce.address,
            "seed": "8c1f",
            "stop_ms": 3000,
            "limits": LIMITS,
            "settings": SETTINGS,
        }
        self.config, self.path = config | changes, folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.process = start_process({"ROUTER_CONFIG": str(self.path), **(environ or {})})
        self.lines: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.lines.put(json.loads(line))

    def wait_for_log(self, event: str, **fields: Any) -> dict[str, Any]:
        """Reads log lines up to one with this event and these fields, and returns it."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while True:
            line = self.lines.get(timeout=max(0.0, deadline - time.monotonic()))
            if line["event"] == event and fields.items() <= line.items():
                return line

    def connect(self) -> socket.socket:
        return socket.create_connection((HOST, self.port), timeout=WAIT_TIMEOUT_SECONDS)

    def reload_config(self, text: str) -> None:
        """Writes a new configuration file and sends SIGHUP."""
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stops the process until SIGCONT.

        SIGSTOP takes effect some time after it is sent, so this waits until the process has stopped.
        """
        os.kill(self.process.pid, signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    def terminate(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_TIMEOUT_SECONDS)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


def start_process(environ: dict[str, str]) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "thistleline"],
        env={**os.environ, **environ},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def read_frames(connection: socket.socket) -> Iterator[bytes]:
    """Yields the payload of each frame received on a connection, up to its end."""
    with connection.makefile("rb") as source:
        while len(head := source.read(4)) == 4:
            yield source.read(struct.unpack(">I", head)[0])


# ---- a client built on an independent Thrift implementation


def encode_call(method: str, seq: int, *values: tuple[int, Any], kind: int = TMessageType.CALL) -> bytes:
    """Encodes a framed Thrift call from (type, value) arguments."""
    memory = TMemoryBuffer()
    out = TBinaryProtocol(TFramedTransport(memory), strictWrite=True)
    out.writeMessageBegin(method, kind, seq)
    for field_id, (field_type, value) in enumerate(values, 1):
        out.writeFieldBegin("", field_type, field_id)
        if field_type == TType.MAP:
            out.writeMapBegin(TType.STRING, TType.STRING, len(value))
            for text in (text for pair in value.items() for text in pair):
                out.writeString(text)
        elif field_type == TType.BOOL:
            out.writeBool(value)
        elif field_type == TType.I32:
            out.writeI32(value)
        else:
            out.writeBinary(value)
    out.writeFieldStop()
    out.writeMessageEnd()
    out.trans.flush()
    return bytes(memory.getvalue())


def task_fields(number: int = 1, **changes: str | None) -> dict[str, str]:
    """Returns the fields of a lookup task; a change to None leaves a field out."""
    fields: dict[str, str | None] = {
        "service": "lookup",
        "ref": f"{number:016x}",
        "since": str(time.time_ns() // MS),
        "sender": "2",
        "project": "acme",
        "effort": "12.50",
        "room": "24.5",
        "class_rank": "0.6250",
        "lookup": "7f3a9c21e0b4d655",
    }
    return {name: value for name, value in (fields | changes).items() if value is not None}


def booking_fields(number: int, dedup_key: str, **changes: str | None) -> dict[str, str]:
    return task_fields(number, service="booking", replay=dedup_key, lookup=None, **changes)


def process_call(seq: int, fields: dict[str, str], body: bytes = b"body") -> bytes:
    return encode_call("process", seq, (TType.MAP, fields), (TType.STRING, body))


def probe_call(seq: int, inner: bool) -> bytes:
    return encode_call("probe", seq, (TType.BOOL, inner))


def decode_message(frame: bytes) -> tuple[str, int, int, dict[int, Any]]:
    """Decodes a frame's payload to its method, message kind, sequence number and fields by field id."""
    source = TBinaryProtocol(TMemoryBuffer(frame), strictRead=True)
    method, kind, seq = source.readMessageBegin()
    fields = _read_value(source, TType.STRUCT)
    assert source.trans.read(1) == b""
    return method, kind, seq, fields


def _read_value(source: Any, field_type: int) -> Any:
    if field_type == TType.STRUCT:
        fields = {}
        while (field := source.readFieldBegin())[1] != TType.STOP:
            fields[field[2]] = _read_value(source, field[1])
        return fields
    if field_type == TType.MAP:
        count = source.readMapBegin()[2]
        return {source.readString(): source.readString() for _ in range(count)}
    if field_type == TType.BOOL:
        return source.readBool()
    return source.readI32() if field_type == TType.I32 else source.readBinary()


def exchange(connection: socket.socket, *sent: bytes) -> dict[int, Any]:
    """Sends requests, reads one answer for each and returns the answers' fields by sequence number."""
    connection.sendall(b"".join(sent))
    source = read_frames(connection)
    return {seq: fields for _, _, seq, fields in (decode_message(next(source)) for _ in sent)}


@dataclass
class ServerHarness:
    """A running server with its fake agent and fake announce service."""

    folder: Path
    agent: FakeAgent
    announce: FakeAnnounce
    server: ServerProcess

    def wait_until_serving(self) -> None:
        """Waits until the server serves clients and has subscribed to the agent's notices."""
        self.server.wait_for_log("phase", phase="serving")
        assert self.agent.receive() == ("subscribe", 0)

    def finish_next_run(self, result: bytes, outcome: str = "good") -> Any:
        """Waits for the next command to the agent, a launch, and ends its run; returns the command."""
        launch = self.agent.receive()
        self.agent.end_run(launch[1], result, outcome)
        return launch


class Gate:
    """Stops the program under test at an event; `tests/gates/sitecustomize.py` lists the possible events."""

    def __init__(self, at: str) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(WAIT_TIMEOUT_SECONDS)
        self.settings = {"at": at, "port": self.server.getsockname()[1]}

    def environ(self) -> dict[str, str]:
        """Returns the environment variables that make the program wait at the gate."""
        return {"TEST_GATE": json.dumps(self.settings), "PYTHONPATH": GATES_DIRECTORY}

    def wait_until_reached(self) -> None:
        """Waits until the program has stopped at the event."""
        self.connection, _ = self.server.accept()

    def release(self) -> None:
        """Lets the program continue."""
        self.connection.sendall(b"x")
        self.connection.close()
        self.server.close()


def fault_environ(*faults: dict[str, Any]) -> dict[str, str]:
    """Returns the variables that make `tests/gates/sitecustomize.py` inject these faults into the program."""
    return {"TEST_FAULTS": json.dumps(faults), "PYTHONPATH": GATES_DIRECTORY}


def run_demo() -> None:
    """Sends one task through the server and prints each step."""
    with tempfile.TemporaryDirectory() as folder:
        agent = FakeAgent()
        server = ServerProcess(Path(folder), agent, FakeAnnounce())
        print(server.wait_for_log("phase", phase="serving"))
        with server.connect() as connection:
            connection.sendall(process_call(1, task_fields(1)))
            agent.receive()
            launch = agent.receive()
            print(launch)
            agent.end_run(launch[1], b"the kiln is free on Friday")
            print(decode_message(next(read_frames(connection))))
        print("exit code", server.terminate())


if __name__ == "__main__":
    run_demo()
