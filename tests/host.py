"""The helpers of all tests: a policy's fake host, a state machine's desk, stand-ins for sockets."""

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

WAIT_TIMEOUT_SECONDS = 20.0  # for whatever a test waits on; on a busy machine too


def stage(**changes: Any) -> Stage:
    facts: dict[str, Any] = dict(
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
    return Stage(**facts | changes)


LOOKUP = stage()
BOOKING = stage(
    name="booking", effect="keyed", utility=4.0, idempotency_window=10 * SECOND, latency_objective=2 * SECOND
)
ORDER = stage(name="order", effect="non_idempotent", calls=True)


def server_settings(stages: tuple[Stage, ...] = (LOOKUP, BOOKING), **changes: Any) -> ServerSettings:
    facts: dict[str, Any] = dict(
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
    return ServerSettings(**facts | changes)


class FakePolicyHost:
    """Writer and clock in one; `said` lists the decisions in order."""

    def __init__(self, stages: tuple[Stage, ...] = (LOOKUP, BOOKING), **changes: Any) -> None:
        self.settings = server_settings(stages, **changes)
        self.now = 1000 * SECOND
        self.decisions: list[tuple[Any, ...]] = []
        self.policy = Policy(self.settings, 7, self.now)
        self.count = 0
        self.gauges = {"on_cores": 2.0}
        self.round()

    def __getattr__(self, decision: str) -> Any:
        return lambda *told: self.decisions.append((decision, *told))

    def round(self, *events: PolicyEvent) -> list[tuple[Any, ...]]:
        """One round; what was decided in it, less the alarms."""
        before = len(self.decisions)
        self.policy.round(self.now, list(events), self)
        return [said for said in self.decisions[before:] if said[0] != "set_timer"]

    def task(self, stage: int = 0, **changes: Any) -> Task:
        self.count += 1
        return task(f"t{self.count}", changes.pop("arrived_at", self.now), stage=stage, **changes)

    def read(self, *tasks: Task) -> list[tuple[Any, ...]]:
        return self.round(*(TaskArrived(task) for task in tasks))

    def wait(self, span: int) -> None:
        """Lets time pass, with the module's own timer."""
        end = self.now + span
        while self.now < end:
            self.now += 25 * MS
            self.round(TimerFired("tick", dict(self.gauges)))

    def decisions_for(self, task: Task) -> list[str]:
        return [said[0] for said in self.decisions if len(said) > 1 and said[1] == task.id]


def task(name: str, arrived_at: int, **changes: Any) -> Task:
    facts: dict[str, Any] = dict(
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
    return Task(**facts | changes)


def tenants(*allowances: float) -> tuple[Tenant, ...]:
    return tuple(Tenant(f"o{place}", 1 / len(allowances), rate) for place, rate in enumerate(allowances))


class MachineHarness:
    """A state machine with a clock of its own, an agent that answers samples, and all effects in order."""

    def __init__(
        self, *, up: bool = True, connections: int = 8, results_bound: int = 1 << 20, **changes: Any
    ) -> None:
        self.now = 1000 * SECOND
        self.lifecycle = Lifecycle()
        options = machine_options(connections, results_bound, **changes)
        self.machine = ServerStateMachine(options, self.now, self.lifecycle)
        self.effects: list[Any] = []
        self.answers_measurements = True
        self.number = 0  # of the agent's last notice
        self.count = 0
        self.handle(ListeningStarted())
        if up:
            self.handle(AgentGreeted(False, 60 * SECOND))
            self.wait(50 * MS)

    def handle(self, event: Any) -> list[Any]:
        """One event; what it brought, less log and reading. The agent answers samples at once."""
        effects = self.machine.handle(self.now, event)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, MeasureGauges) and self.answers_measurements:
                self.handle(GaugesMeasured(effect.tag, [0.5, 2.0]))
        return [effect for effect in effects if not isinstance(effect, IGNORED_EFFECTS)]

    def wait(self, span: int = 10 * MS) -> list[Any]:
        """Lets time pass; what it brought."""
        before, end = len(self.effects), self.now + span
        while self.now < end and self.lifecycle.phase != "ended":
            self.now = min(end, max(self.now, self.machine.next_deadline()))
            if self.machine.next_deadline() <= self.now:
                self.handle(DeadlineReached())
        return [effect for effect in self.effects[before:] if not isinstance(effect, IGNORED_EFFECTS)]

    def send(self, connection: int, word: str | None = None, body: bytes = b"body", **changes: Any) -> str:
        """A task comes in on a connection, which is opened if need be."""
        self.count += 1
        if connection not in self.machine.connections.by_number:
            self.handle(ConnectionOpened(connection))
        name = str(changes.pop("id", f"t{self.count}"))
        stage = changes.pop("stage_place", 0 if word is None else 1)
        sent = task(name, changes.pop("arrived_at", self.now), stage=stage, **changes)
        self.handle(TaskReceived(connection, self.count, sent, word, memoryview(body)))
        self.handle(InputDrained(connection))
        return name

    def end(self, name: str, how: RunOutcome = "finished", number: int | None = None) -> list[Any]:
        if number is None:
            self.number += 1
            number = self.number
        return self.handle(
            RunCompleted(number, name, how, 100 * MS, memoryview(b"result of " + name.encode()))
        )

    def effects_of(self, *classes: type) -> list[Any]:
        return [effect for effect in self.effects if isinstance(effect, classes)]

    def launched(self) -> list[str]:
        return [effect.attempt_id for effect in self.effects_of(StartRun)]

    def answers(self) -> list[str]:
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


# A loopback address of this process alone; guards against another that takes the free port between two calls.
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
    """A stand-in's listening socket on a free port; what it hears lies in `heard`."""

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
                link, _ = self.server.accept()
            except OSError:
                return
            self.connection = link
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        try:
            with link, link.makefile("rb") as source:
                self.serve(link, source)
        except (OSError, ValueError):
            return

    def serve(self, link: socket.socket, source: Any) -> None:
        raise NotImplementedError

    def receive(self) -> Any:
        return self.received.get(timeout=WAIT_TIMEOUT_SECONDS)

    def drop(self) -> None:
        """Ends the link, at once."""
        assert self.connection is not None
        self.connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.server.close()


class FakeAgent(FakeServer):
    """Answers samples and checks by itself; `heard` has launches and freezes, the test ends the runs."""

    def __init__(self, up: bool = True) -> None:
        self.ready = threading.Event()
        if up:
            self.ready.set()
        self.notices: list[bytes] = []
        super().__init__()

    def serve(self, link: socket.socket, source: Any) -> None:
        for line in source:
            words = line.decode().split()
            if words[0] == "subscribe":
                self.received.put(("subscribe", int(words[1])))
                self.ready.wait()
                link.sendall(b"greeting old 60000\r\n" + b"".join(self.notices[int(words[1]) :]))
            elif words[0] == "sample":
                link.sendall(b"sampled %s 0.5 2 0.1 3\r\n" % words[1].encode())
            elif words[0] == "exercise":
                link.sendall(b"exercised %s good\r\n" % words[1].encode())
            elif words[0] == "launch":
                body = source.read(int(words[3]) + 2)[:-2]
                self.received.put(("launch", words[1], words[2], body))
            elif words[0] == "deliver":
                self.received.put(("deliver", words[1], source.read(int(words[2]) + 2)[:-2]))
            else:
                self.received.put(tuple(words))

    def request_call(self, name: str, body: bytes) -> None:
        """The run stands at a call."""
        self.send_notice(f"request {len(self.notices) + 1} {name} {len(body)}\r\n".encode() + body + b"\r\n")

    def send_notice(self, notice: bytes, send: bool = True) -> None:
        self.notices.append(notice)
        if send:
            assert self.connection is not None
            self.connection.sendall(notice)

    def end_run(self, name: str, result: bytes, how: str = "good", send: bool = True) -> None:
        head = f"outcome {len(self.notices) + 1} {name} {how} 12.5 {len(result)}\r\n".encode()
        self.send_notice(head + result + b"\r\n", send)


class FakeBackend(FakeServer):
    """What lies below; `heard` has calls and cancels, the test ends the calls. Each connection has a thread
    of its own: what comes on two of them is heard in either order, a cancel late where the test says so."""

    def __init__(self) -> None:
        self.accepts_cancels = threading.Event()
        self.accepts_cancels.set()
        super().__init__()

    def serve(self, link: socket.socket, source: Any) -> None:
        for line in source:
            words = line.decode().split()
            if words[0] == "invoke":
                self.received.put(("invoke", words[1], int(words[2]), source.read(int(words[3]) + 2)[:-2]))
            else:
                self.accepts_cancels.wait(WAIT_TIMEOUT_SECONDS)
                self.received.put(tuple(words))

    def end_call(self, name: str, how: str = "ok", result: bytes | None = None) -> None:
        assert self.connection is not None
        more = b"" if result is None else b" %d\r\n%s" % (len(result), result)
        self.connection.sendall(f"{name} {how}".encode() + more + b"\r\n")


class FakeAnnounce(FakeServer):
    """Takes reports, or troubles whoever makes them."""

    failure = ""

    def read_report(self, source: Any) -> tuple[str, Any] | None:
        """The next report: its path and what it tells; none at the end."""
        line = source.readline()
        if not line:
            return None
        length = 0
        while (head := source.readline().strip()) != b"":
            name, _, value = head.partition(b":")
            length = int(value) if name.lower() == b"content-length" else length
        return line.split()[1].decode(), json.loads(source.read(length))

    def serve(self, link: socket.socket, source: Any) -> None:
        while (report := self.read_report(source)) is not None:
            self.received.put(report)
            if self.failure == "closes early":
                return
            if self.failure != "is slow":
                status = b"503 Busy" if self.failure else b"204 Told"
                link.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")


class ServerProcess:
    """The program itself, started on a free port."""

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
        told = {
            "name": "n1",
            "listen": f"{HOST}:{port}",
            "agent": agent.address,
            "announce": announce.address,
            "seed": "8c1f",
            "stop_ms": 3000,
            "limits": LIMITS,
            "settings": SETTINGS,
        }
        self.config, self.path = told | changes, folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.process = start_process({"ROUTER_CONFIG": str(self.path), **(environ or {})})
        self.lines: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.lines.put(json.loads(line))

    def wait_for_log(self, event: str, **facts: Any) -> dict[str, Any]:
        """Waits for a line of the log."""
        due = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while True:
            line = self.lines.get(timeout=max(0.0, due - time.monotonic()))
            if line["event"] == event and facts.items() <= line.items():
                return line

    def connect(self) -> socket.socket:
        return socket.create_connection((HOST, self.port), timeout=WAIT_TIMEOUT_SECONDS)

    def reload_config(self, text: str) -> None:
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Until SIGCONT. A stop takes effect some time after its signal is sent, so that is waited for."""
        os.kill(self.process.pid, signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    def terminate(self) -> int:
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


def read_frames(link: socket.socket) -> Iterator[bytes]:
    """The frames that come on a connection, one after another, to its end."""
    with link.makefile("rb") as source:
        while len(head := source.read(4)) == 4:
            yield source.read(struct.unpack(">I", head)[0])


# ---- a client stub that speaks through an independent implementation of Thrift


def encode_call(method: str, seq: int, *values: tuple[int, Any], kind: int = TMessageType.CALL) -> bytes:
    """A framed call; each value with its type."""
    memory = TMemoryBuffer()
    out = TBinaryProtocol(TFramedTransport(memory), strictWrite=True)
    out.writeMessageBegin(method, kind, seq)
    for place, (typed, value) in enumerate(values, 1):
        out.writeFieldBegin("", typed, place)
        if typed == TType.MAP:
            out.writeMapBegin(TType.STRING, TType.STRING, len(value))
            for word in (word for pair in value.items() for word in pair):
                out.writeString(word)
        elif typed == TType.BOOL:
            out.writeBool(value)
        elif typed == TType.I32:
            out.writeI32(value)
        else:
            out.writeBinary(value)
    out.writeFieldStop()
    out.writeMessageEnd()
    out.trans.flush()
    return bytes(memory.getvalue())


def task_fields(number: int = 1, **changes: str | None) -> dict[str, str]:
    told: dict[str, str | None] = {
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
    return {name: value for name, value in (told | changes).items() if value is not None}


def booking_fields(number: int, mark: str, **changes: str | None) -> dict[str, str]:
    return task_fields(number, service="booking", replay=mark, lookup=None, **changes)


def process_call(seq: int, told: dict[str, str], body: bytes = b"body") -> bytes:
    return encode_call("process", seq, (TType.MAP, told), (TType.STRING, body))


def probe_call(seq: int, inner: bool) -> bytes:
    return encode_call("probe", seq, (TType.BOOL, inner))


def decode_message(frame: bytes) -> tuple[str, int, int, dict[int, Any]]:
    """Method, kind, sequence number and the fields by number of what came back, less the frame's length."""
    source = TBinaryProtocol(TMemoryBuffer(frame), strictRead=True)
    method, kind, seq = source.readMessageBegin()
    fields = _value(source, TType.STRUCT)
    assert source.trans.read(1) == b""
    return method, kind, seq, fields


def _value(source: Any, typed: int) -> Any:
    if typed == TType.STRUCT:
        fields = {}
        while (field := source.readFieldBegin())[1] != TType.STOP:
            fields[field[2]] = _value(source, field[1])
        return fields
    if typed == TType.MAP:
        count = source.readMapBegin()[2]
        return {source.readString(): source.readString() for _ in range(count)}
    if typed == TType.BOOL:
        return source.readBool()
    return source.readI32() if typed == TType.I32 else source.readBinary()


def exchange(link: socket.socket, *sent: bytes) -> dict[int, Any]:
    """Sends, then reads as many answers; their fields by sequence number."""
    link.sendall(b"".join(sent))
    source = read_frames(link)
    return {seq: fields for _, _, seq, fields in (decode_message(next(source)) for _ in sent)}


@dataclass
class ServerHarness:
    """One instance, its agent and its announce service."""

    folder: Path
    agent: FakeAgent
    announce: FakeAnnounce
    server: ServerProcess

    def wait_until_serving(self) -> None:
        self.server.wait_for_log("phase", phase="serving")
        assert self.agent.receive() == ("subscribe", 0)

    def finish_next_run(self, result: bytes, how: str = "good") -> Any:
        launch = self.agent.receive()
        self.agent.end_run(launch[1], result, how)
        return launch


class Gate:
    """Where a program under test waits at a chosen event; `tests/gates/sitecustomize.py` has the events."""

    def __init__(self, at: str) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(WAIT_TIMEOUT_SECONDS)
        self.settings = {"at": at, "port": self.server.getsockname()[1]}

    def environ(self) -> dict[str, str]:
        return {"TEST_GATE": json.dumps(self.settings), "PYTHONPATH": GATES_DIRECTORY}

    def wait_until_reached(self) -> None:
        self.connection, _ = self.server.accept()

    def release(self) -> None:
        self.connection.sendall(b"x")
        self.connection.close()
        self.server.close()


def fault_environ(*told: dict[str, Any]) -> dict[str, str]:
    """What fails in a program under test, as `tests/gates/sitecustomize.py` reads it."""
    return {"TEST_FAULTS": json.dumps(told), "PYTHONPATH": GATES_DIRECTORY}


def run_demo() -> None:
    """One task through the program, printed."""
    with tempfile.TemporaryDirectory() as folder:
        agent = FakeAgent()
        instance = ServerProcess(Path(folder), agent, FakeAnnounce())
        print(instance.wait_for_log("phase", phase="serving"))
        with instance.connect() as link:
            link.sendall(process_call(1, task_fields(1)))
            agent.receive()
            launch = agent.receive()
            print(launch)
            agent.end_run(launch[1], b"the kiln is free on Friday")
            print(decode_message(next(read_frames(link))))
        print("exit code", instance.terminate())


if __name__ == "__main__":
    run_demo()
