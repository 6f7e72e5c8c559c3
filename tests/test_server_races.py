"""Races between events, forced over real connections: startup, close, drain, exit, errors in single parts.

Fake peers act at a chosen byte or event; `docs/design/crossings.md` lists the pairs of events that may race.
"""

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from tests.host import (
    HOST,
    LIMITS,
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    FakeAgent,
    FakeAnnounce,
    Gate,
    ServerHarness,
    ServerProcess,
    booking_fields,
    decode_message,
    exchange,
    fault_environ,
    probe_call,
    process_call,
    read_frames,
    task_fields,
)

ROOT = Path(__file__).parent.parent
STARTUP_EVENTS = [
    "import thistleline.server.service",
    "open config.json",
    "import asyncio",
    "bind",
    "listening",
]


def start_to_gate(make_harness: Any, at: str, **changes: Any) -> tuple[ServerHarness, Gate]:
    """Starts a server and waits until its gate has stopped it at the event."""
    gate = Gate(at)
    harness: ServerHarness = make_harness(environ=gate.environ(), **changes)
    gate.wait_until_reached()
    return harness, gate


# ---- startup


@pytest.mark.parametrize("at", STARTUP_EVENTS)
@pytest.mark.parametrize("agent_ready", [True, False])
def test_sigterm_during_startup_exits_cleanly(make_harness: Any, at: str, agent_ready: bool) -> None:
    harness, gate = start_to_gate(make_harness, at, agent_ready=agent_ready, stop_ms=2000)
    harness.server.process.send_signal(signal.SIGTERM)
    gate.release()
    assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0
    assert harness.server.process.stderr is not None
    assert harness.server.process.stderr.read() == b""


@pytest.mark.parametrize("at", STARTUP_EVENTS)
def test_reload_during_startup_is_applied(make_harness: Any, at: str) -> None:
    harness, gate = start_to_gate(make_harness, at)
    new_agent = FakeAgent()
    harness.server.reload_config(json.dumps(harness.server.config | {"agent": new_agent.address}))
    gate.release()
    harness.server.wait_for_log("phase", phase="serving")
    assert new_agent.receive() == ("subscribe", 0)
    new_agent.close()


def test_answers_task_in_backlog_when_sigterm_precedes_accept(make_harness: Any) -> None:
    harness, gate = start_to_gate(make_harness, "listening", stop_ms=2000)
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        harness.server.process.send_signal(signal.SIGTERM)
        gate.release()
        answers = [decode_message(frame) for frame in read_frames(connection)]
    assert [seq for method, _, seq, _ in answers if method == "process"] == [1]
    assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0


def test_run_command_blocks_signals_during_interpreter_start(tmp_path: Path) -> None:
    """A signal that is not blocked during the interpreter's own start would kill the process."""
    gate, agent, announce = Gate("begin"), FakeAgent(), FakeAnnounce()
    run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in run_command
    config_path = tmp_path / "config.json"
    with socket.create_server((HOST, 0)) as port_socket:
        port = port_socket.getsockname()[1]
    config_path.write_text(
        json.dumps(
            {
                **{"name": "n1", "listen": f"{HOST}:{port}", "agent": agent.address, "seed": "1"},
                **{"announce": announce.address, "stop_ms": 1000, "limits": LIMITS, "settings": SETTINGS},
            }
        )
    )
    process = subprocess.Popen(
        ["/bin/sh", "-c", run_command.replace(".venv/bin/python", sys.executable)],
        cwd=ROOT,
        env={**os.environ, **gate.environ(), "ROUTER_CONFIG": str(config_path)},
        stdout=subprocess.PIPE,
    )
    try:
        gate.wait_until_reached()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        gate.release()
        process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()
        agent.close()
        announce.close()


def test_waits_for_address_that_previous_process_holds(make_harness: Any) -> None:
    with socket.create_server((HOST, 0)) as holder:
        harness = make_harness(port=holder.getsockname()[1])
        harness.server.wait_for_log("address taken")
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        assert exchange(connection, probe_call(1, False))[1][0][3] is True


def test_sigterm_ends_wait_for_address(make_harness: Any) -> None:
    with socket.create_server((HOST, 0)) as holder:
        harness = make_harness(port=holder.getsockname()[1])
        harness.server.wait_for_log("address taken")
        assert harness.server.terminate() == 0


# ---- slow and broken links


def test_reaches_agent_with_slow_connects(make_harness: Any) -> None:
    slow_connect = {"module": "thistleline.server.streams", "what": "connect", "delay": 1.3}
    harness = make_harness(environ=fault_environ(slow_connect))
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(connection)))[3]) == {0}


class LateAnnounce(FakeAnnounce):
    """Answers each report only after the next one has arrived, on any connection."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.report_count = 0
        super().__init__()

    def serve(self, connection: socket.socket, source: Any) -> None:
        while (report := self.read_report(source)) is not None:
            with self.condition:
                self.report_count += 1
                index = self.report_count
                self.condition.notify_all()
                self.condition.wait_for(lambda index=index: self.report_count > index, WAIT_TIMEOUT_SECONDS)  # type: ignore[misc]
            connection.sendall(b"HTTP/1.1 204 Told\r\n\r\n")
            self.received.put(report)


def test_reports_succeed_when_each_answer_follows_next_report(make_harness: Any) -> None:
    announce = LateAnnounce()
    slow_connect = {"module": "thistleline.server.streams", "what": "connect", "delay": 1.2}
    harness = make_harness(announce=announce, environ=fault_environ(slow_connect))
    assert [announce.receive() for _ in range(3)] == [("/announce/n1", {"accepting": "true"})] * 3
    announce_events = [
        event for event in read_log_until(harness.server, "figures") if event["event"] == "announce"
    ]
    # If the announce service was logged as down, it was logged as up again.
    assert [event["state"] for event in announce_events] in ([], ["down", "up"])


def read_log_until(server: ServerProcess, last: str) -> list[dict[str, Any]]:
    """Reads log lines up to and including the first with one event."""
    lines = [server.lines.get(timeout=WAIT_TIMEOUT_SECONDS)]
    while lines[-1]["event"] != last:
        lines.append(server.lines.get(timeout=WAIT_TIMEOUT_SECONDS))
    return lines


class BrokenAnnounce(FakeAnnounce):
    """Answers each report with invalid bytes, and then sends `repeated` for ever unless that is empty."""

    def __init__(self, answer: bytes, repeated: bytes) -> None:
        self.answer, self.repeated = answer, repeated
        super().__init__()

    def serve(self, connection: socket.socket, source: Any) -> None:
        source.readline()
        self.received.put("report")
        connection.sendall(self.answer)
        while self.repeated:
            connection.sendall(self.repeated)


@pytest.mark.parametrize(
    ("answer", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", b"x" * 4096),
        (b"HTTP/1.1 204 Told\r\nContent-Length: -1\r\n\r\n", b""),
        (b"HTTP/1.1 204 Told\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b""),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 204 Told\r\nX: ", b"x" * 4096),
        (b"\x00" * 64, b""),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n", b""),
    ],
)
def test_invalid_announce_answer_ends_only_its_connection(
    make_harness: Any, answer: bytes, repeated: bytes
) -> None:
    announce = BrokenAnnounce(answer, repeated)
    harness = make_harness(announce=announce)
    harness.wait_until_serving()
    assert [announce.receive() for _ in range(3)] == ["report"] * 3
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(connection)))[3]) == {0}
    assert harness.server.terminate() == 0


@pytest.mark.parametrize(
    "notice",
    [
        b"outcome 1 %s good 1 99999999\r\n",
        b"outcome 1 %s good 1 2\r\nabcdef\r\n",
        b"outcome x %s good 1 0\r\n\r\n",
        b"request 1 %s many\r\n",
        b"outcome 1 %s good nan 0\r\n\r\n",
        b"x" * 5000,
        b"sampled 99999999999999999999999999 nan inf -1 1e999\r\n\xff\xfe\r\nrefusal\r\ngreeting\r\n",
        b"refusal launch nobody\r\ngreeting new 1e9999\r\naside 18446744073709551617 x\r\n",
    ],
)
def test_invalid_agent_notice_ends_at_most_its_link(harness: ServerHarness, notice: bytes) -> None:
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        launch = harness.agent.receive()
        assert harness.agent.connection is not None
        harness.agent.connection.sendall(notice.replace(b"%s", launch[1].encode()))
        if b"18446744073709551617" not in notice:
            with suppress(OSError):  # the server may have closed the link already
                harness.agent.connection.shutdown(socket.SHUT_RDWR)
            while harness.agent.receive()[0] != "subscribe":
                pass
        assert exchange(connection, probe_call(2, False))[2][0][3] is True
        # The answer is an exception, as the body is too long.
        assert set(exchange(connection, process_call(3, task_fields(3), b"y" * 3000))[3]) == {1, 2}
        assert harness.server.process.poll() is None


# ---- closing


def wait_for_hangup(connection: socket.socket) -> None:
    """Waits until the server has ended or reset the connection, without reading."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    assert poll.poll(WAIT_TIMEOUT_SECONDS * 1000)


def test_close_with_unread_input_keeps_earlier_answers_readable(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        malformed = b"\x7f\xff\xff\xff" + b"n" * 200_000
        connection.sendall(probe_call(1, False) + malformed)
        wait_for_hangup(connection)
        assert [decode_message(frame)[2] for frame in read_frames(connection)] == [1]


def test_partial_message_keeps_connection_open_while_idle_one_is_closed(make_harness: Any) -> None:
    harness = make_harness(stop_ms=4000)
    harness.wait_until_serving()
    with harness.server.connect() as idle_connection, harness.server.connect() as connection:
        for each in (idle_connection, connection):
            exchange(each, probe_call(1, False))
        message = process_call(2, task_fields(2))
        harness.server.process.send_signal(signal.SIGTERM)
        source = read_frames(connection)
        assert decode_message(next(source))[0] == "farewell"
        connection.sendall(message[:50])  # as if sent before the farewell arrived
        with idle_connection.makefile("rb") as remainder:
            remainder.read()  # returns once the server has closed the connection as idle
        connection.sendall(message[50:])
        assert decode_message(next(source))[2] == 2
    assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0


def test_task_sent_after_end_of_connection_is_not_run(harness: ServerHarness) -> None:
    """The server has ended the connection and the client still sends: the input is discarded, not run."""
    with harness.server.connect() as connection:
        connection.sendall(probe_call(1, False) + b"\x7f\xff\xff\xff")
        wait_for_hangup(connection)
        connection.sendall(process_call(2, task_fields(2)))
        connection.shutdown(socket.SHUT_WR)
        assert [decode_message(frame)[2] for frame in read_frames(connection)] == [1]
    with harness.server.connect() as other_connection:
        other_connection.sendall(process_call(1, task_fields(3)))
        assert harness.finish_next_run(b"read")[1] == task_fields(3)["ref"]
        assert set(decode_message(next(read_frames(other_connection)))[3]) == {0}


def test_unread_request_is_read_before_new_connections_after_pause(make_harness: Any) -> None:
    """A request is unread on the connection that was idle longest when many new connections arrive.

    The server must read the request and not close the connection to make room for the new ones.
    """
    harness = make_harness(limits={**LIMITS, "sockets": 40})
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        exchange(connection, probe_call(1, False))
        harness.server.pause()
        # Connected before the request is sent, so the listening socket is ready first.
        other_connections = [harness.server.connect() for _ in range(30)]
        for each in other_connections:
            each.sendall(probe_call(1, False))
        connection.sendall(process_call(2, task_fields(2)))
        os.kill(harness.server.process.pid, signal.SIGCONT)
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(connection)))[3]) == {0}
        for each in other_connections:
            each.close()


def test_idle_connections_do_not_block_links_checks_or_tasks(make_harness: Any) -> None:
    """Idle clients fill the connection table while the announce service is down and the agent's link breaks.

    Both links are made again, a health check is answered and a connection with a running task stays open.
    """
    FakeAnnounce.failure = "closes early"
    other_connections: list[socket.socket] = []
    try:
        harness = make_harness(limits={**LIMITS, "sockets": 64})
        harness.wait_until_serving()
        harness.server.wait_for_log("announce", state="down")
        with harness.server.connect() as connection:
            connection.sendall(process_call(1, task_fields(1)))
            launch = harness.agent.receive()
            for _ in range(3):
                other_connections += [harness.server.connect() for _ in range(60)]
                for each in other_connections[-60:]:
                    each.sendall(probe_call(1, False))
                with harness.server.connect() as check_connection:
                    assert exchange(check_connection, probe_call(1, False))[1][0][3] is True
            harness.agent.drop()
            assert harness.agent.receive()[0] == "subscribe"
            FakeAnnounce.failure = ""
            harness.server.wait_for_log("announce", state="up")
            harness.agent.end_run(launch[1], b"read")
            assert decode_message(next(read_frames(connection)))[3][0][1] == b"read"
    finally:
        FakeAnnounce.failure = ""
        for each in other_connections:
            each.close()


# ---- repeats


def unread_launches(harness: ServerHarness) -> list[Any]:
    """Returns the launches that the agent has received and the test has not read yet."""
    found = []
    while not harness.agent.received.empty():
        command = harness.agent.receive()
        if command[0] == "launch":
            found.append(command)
    return found


def test_repeat_concurrent_with_end_of_run_gets_its_result(harness: ServerHarness) -> None:
    """The repeat and the end of the run are both unread when the server resumes; it may read either first."""
    with harness.server.connect() as connection, harness.server.connect() as other_connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        exchange(other_connection, probe_call(1, False))
        harness.server.pause()
        other_connection.sendall(process_call(2, booking_fields(2, "key", dup="1")))
        harness.agent.end_run(launch[1], b"booked")
        os.kill(harness.server.process.pid, signal.SIGCONT)
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"booked"
        assert decode_message(next(read_frames(other_connection)))[3][0][1] == b"booked"
    assert unread_launches(harness) == []


def test_repeat_read_beside_a_reset_one_gets_result_of_first_run(make_harness: Any) -> None:
    """Guards against a second run of a task whose repeat names an attempt that a reset has withdrawn.

    Rounds are a second apart. Both repeats are read, and the reset is noticed, before the round that follows
    the start of the first run.
    """
    harness: ServerHarness = make_harness(settings=SETTINGS | {"granularity": 1.0})
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        with harness.server.connect() as other_connection:
            other_connection.sendall(process_call(1, booking_fields(2, "key", dup="1")))
            exchange(other_connection, probe_call(2, False))
            connection.sendall(process_call(2, booking_fields(3, "key", dup="1")))
            exchange(connection, probe_call(3, False))
            other_connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        harness.server.wait_for_log("connection ended")
        connection.sendall(process_call(4, task_fields(4)))
        assert harness.agent.receive()[:3] == ("launch", f"{4:016x}", "lookup")
        harness.agent.end_run(launch[1], b"booked")
        results: dict[int, Any] = {}
        for _, _, seq, fields in map(decode_message, read_frames(connection)):
            results[seq] = fields.get(0, {}).get(1)
            if {1, 2} <= results.keys():
                break
    assert (results[1], results[2]) == (b"booked", b"booked")
    assert unread_launches(harness) == []


def test_repeat_concurrent_with_sigterm_gets_result_of_first_run(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        harness.server.pause()
        harness.server.process.send_signal(signal.SIGTERM)
        connection.sendall(process_call(2, booking_fields(2, "key", dup="1")))
        os.kill(harness.server.process.pid, signal.SIGCONT)
        source = read_frames(connection)
        assert decode_message(next(source))[0] == "farewell"
        connection.sendall(process_call(3, booking_fields(3, "key", dup="1")))
        harness.agent.end_run(launch[1], b"booked")
        answers = {seq: fields for _, _, seq, fields in map(decode_message, source)}
    assert {seq: fields[0][1] for seq, fields in answers.items()} == dict.fromkeys((1, 2, 3), b"booked")
    assert unread_launches(harness) == []
    assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0


def test_repeat_at_edge_of_short_window_counts_by_arrival_time(make_harness: Any) -> None:
    classes = [SETTINGS["classes"][0], {**SETTINGS["classes"][1], "window": 0.5}]
    harness = make_harness(settings={**SETTINGS, "classes": classes})
    harness.wait_until_serving()
    first = time.time_ns() // 1_000_000 - 1000
    with harness.server.connect() as connection:
        source = read_frames(connection)
        connection.sendall(process_call(1, booking_fields(1, "key", since=str(first))))
        launch = harness.agent.receive()
        harness.agent.end_run(launch[1], b"booked")
        assert decode_message(next(source))[3][0][1] == b"booked"
        connection.sendall(process_call(2, booking_fields(2, "key", dup="1", since=str(first + 499))))
        assert decode_message(next(source))[3][0][1] == b"booked"
    assert unread_launches(harness) == []


def test_non_idempotent_task_without_key_is_never_started_twice(make_harness: Any) -> None:
    """The start may have been lost with the agent's link or not: the task is answered as failed, in time."""
    classes = [{**SETTINGS["classes"][0], "effect": "non_idempotent"}, SETTINGS["classes"][1]]
    harness = make_harness(settings={**SETTINGS, "classes": classes})
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        connection.sendall(
            process_call(1, task_fields(1, lookup=None)) + process_call(2, task_fields(2, lookup=None))
        )
        started_ids = [harness.agent.receive()[1]]
        for _ in range(3):
            harness.agent.drop()
            while (command := harness.agent.receive())[0] != "subscribe":
                started_ids.append(command[1])
        source = read_frames(connection)
        answers = [decode_message(next(source)) for _ in range(2)]
        assert sorted((seq, set(fields)) for _, _, seq, fields in answers) == [(1, {2}), (2, {2})]
        # The same id again; the run of its first attempt may have started.
        connection.sendall(process_call(3, task_fields(1, lookup=None)))
        assert decode_message(next(source))[2] == 3
    started_ids += [launch[1] for launch in unread_launches(harness)]
    assert sorted(started_ids) == [task_fields(1)["ref"], task_fields(2)["ref"]]


# ---- exit


def test_buffered_answers_reach_slow_client_before_exit(make_harness: Any) -> None:
    harness = make_harness(stop_ms=4000)
    harness.wait_until_serving()
    result, sent, queued = os.urandom(64 * 1024), 0, -1
    with socket.socket() as connection, harness.server.connect() as other_connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(WAIT_TIMEOUT_SECONDS)
        connection.connect((HOST, harness.server.port))
        # Sends until the kernel's send queue is full and further answers wait inside the server.
        while (queue_size := server_send_queue(connection)) > queued and sent < 400:
            queued, sent = queue_size, sent + 1
            connection.sendall(process_call(sent, task_fields(sent, lookup=None)))
            launch = harness.agent.receive()
            harness.agent.end_run(launch[1], result)
            id_suffix = f"{sent + 1000:x}"
            other_connection.sendall(process_call(sent, task_fields(sent + 1000, lookup=None)))
            launch = harness.agent.receive()
            assert launch[1].endswith(id_suffix)
            harness.agent.end_run(launch[1], b"")
            # Notices are handled in order: once this answer is read, the earlier result has been written.
            next(read_frames(other_connection))
        assert sent < 400
        harness.server.process.send_signal(signal.SIGTERM)
        harness.server.wait_for_log("phase", phase="ended")
        answers = [decode_message(frame) for frame in read_frames(connection)]
    results = [fields[0][1] for method, _, _, fields in answers if method == "process"]
    assert results == [result] * sent
    assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0


def server_send_queue(connection: socket.socket) -> int:
    """Returns the bytes in the kernel's send queue at the server's end of this connection."""
    host, port = connection.getsockname()
    number = int.from_bytes(socket.inet_aton(host), "little")
    own_address = f"{number:08X}:{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        if parts[2] == own_address:
            return int(parts[4].split(":")[0], 16)
    return 0


def test_silent_client_does_not_delay_exit(make_harness: Any) -> None:
    harness = make_harness(stop_ms=1500)
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)) + process_call(2, task_fields(2))[:40])
        harness.agent.receive()
        started_at = time.monotonic()
        assert harness.server.terminate() == 0
        elapsed = time.monotonic() - started_at
        leaving_ms = harness.server.wait_for_log("phase", phase="leaving")["at_ms"]
        ended_ms = harness.server.wait_for_log("phase", phase="ended")["at_ms"]
        # The first bound is measured by the server's own clock. The second is shorter than a wait for the
        # client would take, and long enough for a busy machine.
        assert (ended_ms - leaving_ms <= 1450, elapsed < 2.2) == (True, True)
        assert 1 in [decode_message(frame)[2] for frame in read_frames(connection)]


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signal_at_process_exit_changes_nothing(make_harness: Any, number: signal.Signals) -> None:
    gate = Gate("exit")
    harness = make_harness(environ=gate.environ())
    harness.wait_until_serving()
    harness.server.process.send_signal(signal.SIGTERM)
    gate.wait_until_reached()
    harness.server.process.send_signal(number)
    gate.release()
    assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0


@pytest.mark.parametrize("stop_ms", [40, 120, 400])
def test_short_stop_time_leaves_no_task_unanswered(make_harness: Any, stop_ms: int) -> None:
    harness = make_harness(stop_ms=stop_ms)
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        harness.agent.receive()
        assert harness.server.terminate() == 0
        assert [
            decode_message(frame)[2]
            for frame in read_frames(connection)
            if decode_message(frame)[0] == "process"
        ] == [1]


# ---- errors in single parts


@pytest.mark.parametrize(
    ("module", "function", "error"),
    [
        ("server.listener", "ClientListener._accept_some", "ValueError"),
        ("server.listener", "ClientListener._limit_connections", "RuntimeError"),
        ("server.announcer", "Announcer._start_report", "KeyError"),
        ("server.agent_link", "AgentLink._serve_link", "KeyError"),
        ("server.backend", "BackendLink._connect", "ValueError"),
        ("server.service", "_count_descriptors", "ValueError"),
        ("state.state_machine", "ServerStateMachine._on_deadline", "ZeroDivisionError"),
        ("state.state_machine", "ServerStateMachine._sweep", "KeyError"),
        ("wire.requests", "ClientCodec.decode_requests", "IndexError"),
        ("policy.policy", "Policy._sample", "ZeroDivisionError"),
    ],
)
def test_error_in_one_part_does_not_stop_others(
    make_harness: Any, module: str, function: str, error: str
) -> None:
    harness = make_harness(
        environ=fault_environ({"module": f"thistleline.{module}", "what": function, "error": error})
    )
    harness.server.wait_for_log("phase", phase="serving")
    for _ in range(2):  # the injected error may hit the first task
        with harness.server.connect() as connection:
            connection.sendall(probe_call(1, False))
            next(read_frames(connection), None)
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        while (launch := harness.agent.receive())[0] != "launch":
            pass
        harness.agent.end_run(launch[1], b"read")
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"read"
    assert harness.server.terminate() == 0


@pytest.mark.parametrize(
    ("module", "function"),
    [
        ("shedding", "LoadShedder.bucket_of"),
        ("admission", "Admission._start"),
        ("admission", "Admission.process"),
    ],
)
def test_answers_task_that_policy_fails_on_and_serves_next(
    make_harness: Any, module: str, function: str
) -> None:
    fault = {"module": f"thistleline.policy.{module}", "what": function, "error": "KeyError", "times": 1}
    harness = make_harness(environ=fault_environ(fault))
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        started_at = time.monotonic()
        connection.sendall(process_call(1, task_fields(1)))
        source = read_frames(connection)
        for seq in (1, 2):
            if seq == 2:
                connection.sendall(process_call(2, task_fields(2)))
            while True:
                ready, _, _ = select.select([connection], [], [], 0.02)
                if ready:
                    break
                if not harness.agent.received.empty():
                    harness.agent.end_run(harness.agent.receive()[1], b"read")
            assert decode_message(next(source))[2] == seq
        assert time.monotonic() - started_at < SETTINGS["classes"][0]["deadline"]


def test_policy_failing_at_every_tick_leaves_no_task_unanswered(make_harness: Any) -> None:
    fault = {
        "module": "thistleline.policy.policy",
        "what": "Policy._control",
        "error": "KeyError",
        "times": 1_000_000,
    }
    harness = make_harness(environ=fault_environ(fault), settings=short_deadline_settings())
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        started_at = time.monotonic()
        connection.sendall(process_call(1, task_fields(1)))
        assert decode_message(next(read_frames(connection)))[2] == 1
        assert time.monotonic() - started_at < 0.9 + SETTINGS["invariants"]["graceToAnswer"]


def short_deadline_settings() -> dict[str, Any]:
    classes = [{**stage_class, "promise": 0.4, "deadline": 0.9} for stage_class in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


# ---- clients that leave


def leave(connection: socket.socket, resets: bool) -> None:
    """Closes the connection, with a reset or without."""
    if resets:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


@pytest.mark.parametrize("resets", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("count", [3, 300])
def test_tasks_unread_when_their_client_left_are_not_started(
    harness: ServerHarness, count: int, resets: bool
) -> None:
    # Guards against requests that are sent on to the agent after their client has closed its connection.
    connection = harness.server.connect()
    exchange(connection, probe_call(1, False))
    harness.server.pause()
    connection.sendall(b"".join(process_call(number, task_fields(number)) for number in range(2, 2 + count)))
    leave(connection, resets)
    os.kill(harness.server.process.pid, signal.SIGCONT)
    with harness.server.connect() as other_connection:
        other_connection.sendall(process_call(1, task_fields(9000)))
        assert harness.finish_next_run(b"read")[1] == task_fields(9000)["ref"]
        assert set(decode_message(next(read_frames(other_connection)))[3]) == {0}
    assert harness.agent.received.empty()


@pytest.mark.parametrize("resets", [False, True], ids=["end", "reset"])
def test_queued_tasks_of_a_client_that_left_are_not_started(harness: ServerHarness, resets: bool) -> None:
    # Guards against a connection that is not read, as many tasks are open, and whose end goes unnoticed.
    connection = harness.server.connect()
    connection.sendall(b"".join(process_call(number, task_fields(number)) for number in range(1, 301)))
    first_runs = [harness.agent.receive()[1] for _ in range(SETTINGS["familyInfo"]["cpus"])]
    leave(connection, resets)
    with harness.server.connect() as other_connection:
        exchange(other_connection, probe_call(1, False))
        for run in first_runs:
            harness.agent.end_run(run, b"read")
        other_connection.sendall(process_call(2, task_fields(9000)))
        command = harness.agent.receive()
        while command[0] != "launch":  # the runs of the client that left are stopped
            command = harness.agent.receive()
        assert command[1] == task_fields(9000)["ref"]
