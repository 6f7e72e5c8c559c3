"""Tests of the server program over real sockets, between a fake agent, a fake announce service and clients.

Tests wait for events (answers, commands, log lines), not for fixed times.
"""

import json
import os
import signal
import socket
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import anyio.lowlevel
import pytest
from thrift.Thrift import TMessageType

from tests.host import (
    CONFIG,
    HOST,
    LIMITS,
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    FakeAgent,
    FakeAnnounce,
    ServerHarness,
    ServerProcess,
    booking_fields,
    decode_message,
    exchange,
    probe_call,
    process_call,
    read_frames,
    start_process,
    task_fields,
)
from thistleline.server import agent_link
from thistleline.server.configuration import read_configuration
from thistleline.server.service import Service
from thistleline.server.streams import Stream
from thistleline.state.effects import AnswerMisunderstood, LogEvent, ReadConnection
from thistleline.state.events import AgentGreeted, ConnectionOpened, MalformedReceived


def test_task_and_result_pass_through_unchanged(harness: ServerHarness) -> None:
    body, result = bytes(range(256)) * 8, bytes(reversed(range(256))) * 16
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1), body))
        assert harness.finish_next_run(result) == ("launch", task_fields(1)["ref"], "lookup", body)
        method, kind, seq, fields = decode_message(next(read_frames(connection)))
        assert (method, kind, seq, fields[0][1], fields[0][3]) == (
            "process",
            TMessageType.REPLY,
            1,
            result,
            True,
        )


def test_answers_follow_order_of_finished_runs(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        stream = process_call(1, task_fields(1)) + process_call(2, task_fields(2, lookup=None))
        for offset in range(0, len(stream), 7):
            connection.sendall(stream[offset : offset + 7])
        first, second = harness.agent.receive(), harness.agent.receive()
        source = read_frames(connection)
        harness.agent.end_run(second[1], b"second")
        seq, fields = decode_message(next(source))[2:]
        assert (seq, fields[0][1], fields[0][3]) == (2, b"second", True)
        harness.agent.end_run(first[1], b"first")
        assert decode_message(next(source))[3][0][1] == b"first"


def test_rejects_task_that_exceeds_free_memory(make_harness: Any) -> None:
    family_info = {**SETTINGS["familyInfo"], "memoryKb": 2000.0}
    harness = make_harness(settings={**SETTINGS, "familyInfo": family_info})
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        fields = exchange(connection, process_call(1, task_fields(1, room="1999")))[1]
        assert set(fields) == {1}
        assert set(fields[1][1]) <= {"pressure", "cooldown", "nowhere"}


def test_answers_failed_run_as_abandoned(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        harness.finish_next_run(b"", "bad")
        assert set(decode_message(next(read_frames(connection)))[3]) == {2}


def test_repeated_task_runs_once(harness: ServerHarness) -> None:
    with harness.server.connect() as connection, harness.server.connect() as other_connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        other_connection.sendall(process_call(1, booking_fields(2, "key", dup="1")))
        exchange(other_connection, probe_call(2, False))
        harness.agent.end_run(launch[1], b"booked")
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"booked"
        assert decode_message(next(read_frames(other_connection)))[3][0][1] == b"booked"
        assert exchange(connection, process_call(2, booking_fields(3, "key", dup="1")))[2][0][1] == b"booked"
    assert harness.agent.received.empty()


def test_repeat_gets_result_of_run_whose_connection_was_reset(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    harness.server.wait_for_log("connection ended")
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(2, "key", dup="1")))
        exchange(connection, probe_call(2, False))
        harness.agent.end_run(launch[1], b"booked")
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"booked"
    assert harness.agent.received.empty()


def test_agent_link_lost_within_result_loses_and_repeats_no_run(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        harness.agent.end_run(launch[1], b"booked", send=False)
        assert harness.agent.connection is not None
        harness.agent.connection.sendall(harness.agent.notices[0][:-4])
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 0)
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"booked"
        connection.sendall(process_call(2, task_fields(2)))
        assert harness.finish_next_run(b"read")[1] == task_fields(2)["ref"]
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 2)


@pytest.mark.parametrize("deep", [False, True])
def test_reports_healthy_once_agent_is_ready(make_harness: Any, deep: bool) -> None:
    harness = make_harness(agent_ready=False)
    harness.server.wait_for_log("phase", phase="awaiting agent")
    with harness.server.connect() as connection:
        assert exchange(connection, probe_call(1, deep))[1][0][3] is False
        harness.agent.ready.set()
        harness.wait_until_serving()
        assert exchange(connection, probe_call(2, deep))[2][0][3] is True


@pytest.mark.parametrize("failure", ["refuses", "closes early", "is slow"])
def test_announce_reports_recover_after_failures(make_harness: Any, failure: str) -> None:
    FakeAnnounce.failure = failure
    try:
        harness = make_harness()
        assert harness.announce.receive() == ("/announce/n1", {"accepting": "true"})
        harness.server.wait_for_log("announce", state="down")
    finally:
        FakeAnnounce.failure = ""
    harness.server.wait_for_log("announce", state="up")
    assert harness.announce.receive() == ("/announce/n1", {"accepting": "true"})


def test_drain_first_serves_then_refuses_new_connections(harness: ServerHarness) -> None:
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")))
        launch = harness.agent.receive()
        harness.server.process.send_signal(signal.SIGTERM)
        harness.server.wait_for_log("phase", phase="leaving")
        harness.server.process.send_signal(signal.SIGTERM)
        source = read_frames(connection)
        with harness.server.connect() as other_connection:
            other_connection.sendall(process_call(1, task_fields(2)))
            harness.finish_next_run(b"read")
            assert set(decode_message(next(read_frames(other_connection)))[3]) == {0}
        assert decode_message(next(source))[:2] == ("farewell", TMessageType.ONEWAY)
        with pytest.raises(ConnectionRefusedError):
            harness.server.connect()
        harness.agent.end_run(launch[1], b"done")
        assert decode_message(next(source))[3][0][1] == b"done"
        connection.close()
        started_at = time.monotonic()
        assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0
        assert time.monotonic() - started_at < 3.0
    reports = [harness.announce.receive()[1]["accepting"]]
    while reports[-1] != "false":
        reports.append(harness.announce.receive()[1]["accepting"])


def test_drain_under_full_load_answers_all_before_stop(make_harness: Any) -> None:
    harness = make_harness(stop_ms=1500)
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        count = 30
        connection.sendall(
            b"".join(process_call(seq, task_fields(seq, lookup=None)) for seq in range(1, count + 1))
        )
        harness.agent.receive()
        assert harness.server.terminate() == 0
        seqs = [
            seq for method, _, seq, _ in map(decode_message, read_frames(connection)) if method == "process"
        ]
        assert sorted(seqs) == list(range(1, count + 1))


def test_exits_without_agent_and_restarts_at_same_address(make_harness: Any) -> None:
    harness = make_harness(agent_ready=False)
    harness.server.wait_for_log("phase", phase="awaiting agent")
    assert harness.server.terminate() == 0
    restarted = make_harness(port=harness.server.port)
    restarted.wait_until_serving()
    with restarted.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1)))
        restarted.finish_next_run(b"read")
        next(read_frames(connection))
    restarted.server.process.kill()
    restarted.server.process.wait(WAIT_TIMEOUT_SECONDS)
    make_harness(port=harness.server.port).wait_until_serving()


def test_malformed_message_gets_exception_and_rest_is_served(harness: ServerHarness) -> None:
    with harness.server.connect() as connection, harness.server.connect() as malformed_connection:
        malformed_connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert malformed_connection.recv(1) == b""
        connection.sendall(process_call(1, task_fields(1, service="attic")) + process_call(2, task_fields(2)))
        source = read_frames(connection)
        assert decode_message(next(source))[1:3] == (TMessageType.EXCEPTION, 1)
        harness.finish_next_run(b"read")
        assert decode_message(next(source))[3][0][1] == b"read"


def test_serves_with_more_connections_than_descriptors(make_harness: Any) -> None:
    harness = make_harness(limits={**LIMITS, "sockets": 64})
    harness.wait_until_serving()
    connections = [harness.server.connect() for _ in range(80)]
    for connection in reversed(connections):
        if connection.getsockname() == connections[-1].getsockname():
            connection.sendall(process_call(1, task_fields(1)))
            harness.finish_next_run(b"read")
            assert decode_message(next(read_frames(connection)))[3][0][1] == b"read"
    assert connections[0].recv(1) == b""
    for connection in connections:
        connection.close()


def test_client_that_does_not_read_does_not_stall_others(harness: ServerHarness) -> None:
    with harness.server.connect() as stalled_client:
        stalled_client.setblocking(False)
        try:
            for seq in range(1, 1_000_000):
                stalled_client.sendall(probe_call(seq, False))
        except (BlockingIOError, ConnectionError):
            pass
        with harness.server.connect() as connection:
            connection.sendall(process_call(1, task_fields(1)))
            harness.finish_next_run(b"read")
            assert decode_message(next(read_frames(connection)))[3][0][1] == b"read"


def test_reads_waiting_input_before_deadlines_after_pause(harness: ServerHarness) -> None:
    """The run's result is unread in the socket when the task's deadline passes: the server must deliver it.

    The process is paused until after the deadline. It must read the result before it handles the deadline.
    """
    with harness.server.connect() as connection:
        deadline = time.monotonic() + SETTINGS["classes"][0]["promise"] + 0.1
        connection.sendall(process_call(1, task_fields(1)))
        launch = harness.agent.receive()
        exchange(connection, probe_call(2, False))
        harness.server.pause()
        harness.agent.end_run(launch[1], b"read")
        while time.monotonic() < deadline:
            os.sched_yield()
        os.kill(harness.server.process.pid, signal.SIGCONT)
        assert set(decode_message(next(read_frames(connection)))[3]) == {0}


def test_reader_without_read_request_ends_when_stream_is_closed() -> None:
    """Guards against reader tasks that never end.

    No read is requested from a connection whose buffer is full. Closing the connection's stream must end the
    reader task too.
    """

    async def scenario() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        client_end = socket.create_connection(listener.getsockname())
        server_end, _ = listener.accept()
        with listener, client_end, anyio.fail_after(WAIT_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                stream = Stream(server_end, group, 64, 64)

                async def read() -> None:
                    with pytest.raises(anyio.ClosedResourceError):
                        await stream.read()

                group.start_soon(read)
                await anyio.wait_all_tasks_blocked()
                stream.close()

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("agent_listens", "expected_delays"),
    [(True, [agent_link.RECONNECT_DELAYS[0]] * 4), (False, list(agent_link.RECONNECT_DELAYS[:4]))],
)
def test_reconnects_soon_after_break_and_backs_off_after_failed_connects(
    monkeypatch: pytest.MonkeyPatch, agent_listens: bool, expected_delays: list[float]
) -> None:
    agent, delays = FakeAgent(), list[float]()
    if not agent_listens:
        agent.close()

    def handle(event: Any) -> None:
        if isinstance(event, AgentGreeted):
            agent.drop()

    async def scenario() -> None:
        async with anyio.create_task_group() as group:

            async def sleep(duration: float) -> None:
                delays.append(duration)
                if len(delays) == 4:
                    group.cancel_scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(anyio, "sleep", sleep)
            host, port = agent.address.split(":")
            group.start_soon(agent_link.AgentLink((host, int(port)), handle, group).run, lambda: 0)

    anyio.run(scenario)
    agent.close()
    assert delays == expected_delays


@pytest.mark.parametrize("failing_part", ["input", "effect"])
def test_error_in_one_input_or_effect_is_logged_and_others_go_through(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing_part: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    service = Service(read_configuration({"ROUTER_CONFIG": str(path)}))
    events: list[str] = []
    monkeypatch.setattr(service, "note", lambda event, **fields: events.append(event))
    service.clients = cast(Any, SimpleNamespace(flush=list))
    service.agent = service.backend = cast(Any, SimpleNamespace(flush=list))
    answered_connections: list[int] = []

    def answer_misunderstood(effect: AnswerMisunderstood) -> None:
        if failing_part == "effect" and effect.connection == 1:
            raise ValueError("error injected by the test")
        answered_connections.append(effect.connection)

    service.effect_handlers = {
        AnswerMisunderstood: answer_misunderstood,
        LogEvent: lambda _: None,
        ReadConnection: lambda _: None,
    }
    for connection in (1, 2):
        service.handle(ConnectionOpened(connection))
    service.handle(MalformedReceived(1, 7, b"x", "text") if failing_part == "effect" else object())
    service.handle(MalformedReceived(2, 7, b"x", "text"))
    assert (events, answered_connections) == (["fault"], [2])


def test_reload_moves_links_and_malformed_configuration_is_ignored(harness: ServerHarness) -> None:
    agent, announce, server = FakeAgent(), FakeAnnounce(), harness.server
    with server.connect() as connection:
        connection.sendall(process_call(1, booking_fields(1, "key")) + process_call(2, task_fields(2)))
        second, first = harness.agent.receive(), harness.agent.receive()
        harness.agent.end_run(second[1], b"read")
        source = read_frames(connection)
        assert decode_message(next(source))[2] == 2
        for text in ("{", json.dumps(server.config | {"agent": "nowhere"})):
            server.reload_config(text)
            server.wait_for_log("configuration refused")
        agent.notices = list(harness.agent.notices)
        config = server.config | {"agent": agent.address, "announce": announce.address, "seed": "1"}
        server.reload_config(json.dumps(config))
        assert server.wait_for_log("configuration read")["needs_restart"] == ["seed"]
        assert agent.receive() == ("subscribe", 1)
        assert announce.receive() == ("/announce/n1", {"accepting": "true"})
        agent.end_run(first[1], b"booked")
        assert decode_message(next(source))[3][0][1] == b"booked"
        connection.sendall(process_call(3, task_fields(3)))
        while (launch := agent.receive())[1] != task_fields(3)["ref"]:
            assert launch[:2] == (
                "launch",
                first[1],
            )  # sent again, as the first agent may not have received it
        agent.end_run(launch[1], b"read")
        assert decode_message(next(source))[2] == 3
    server.process.send_signal(signal.SIGTERM)
    server.wait_for_log("phase", phase="leaving")
    server.reload_config(json.dumps(config))
    assert server.process.wait(WAIT_TIMEOUT_SECONDS) == 0
    for peer in (agent, announce):
        peer.close()


@pytest.mark.parametrize("config", [None, "no file", "{", '{"settings": 1}'])
def test_start_without_valid_configuration_exits_2_with_one_line(tmp_path: Path, config: str | None) -> None:
    path = tmp_path / "config.json"
    if config is not None and config != "no file":
        path.write_text(config)
    process = start_process({} if config is None else {"ROUTER_CONFIG": str(path)})
    out, errors = process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    assert (process.returncode, out, len(errors.splitlines())) == (2, b"", 1)


def test_exits_1_when_address_stays_in_use(tmp_path: Path) -> None:
    with socket.create_server((HOST, 0)) as taken:
        agent, announce = FakeAgent(), FakeAnnounce()
        server = ServerProcess(tmp_path, agent, announce, port=taken.getsockname()[1])
        assert server.process.wait(WAIT_TIMEOUT_SECONDS) == 1
        agent.close()
        announce.close()
