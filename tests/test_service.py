"""The program itself, started between stand-ins and spoken to over sockets. Waits on events."""

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
from thistleline.server import agent_link as agentlink
from thistleline.server.configuration import read_configuration
from thistleline.server.service import Service
from thistleline.server.streams import Stream
from thistleline.state.effects import AnswerMisunderstood, LogEvent, ReadConnection
from thistleline.state.events import AgentGreeted, ConnectionOpened, MalformedReceived


def test_a_task_is_run_and_served_unchanged(harness: ServerHarness) -> None:
    body, result = bytes(range(256)) * 8, bytes(reversed(range(256))) * 16
    with harness.server.connect() as link:
        link.sendall(process_call(1, task_fields(1), body))
        assert harness.finish_next_run(result) == ("launch", task_fields(1)["ref"], "lookup", body)
        method, kind, seq, fields = decode_message(next(read_frames(link)))
        assert (method, kind, seq, fields[0][1], fields[0][3]) == (
            "process",
            TMessageType.REPLY,
            1,
            result,
            True,
        )


def test_answers_come_in_the_order_in_which_runs_end(harness: ServerHarness) -> None:
    with harness.server.connect() as link:
        stream = process_call(1, task_fields(1)) + process_call(2, task_fields(2, lookup=None))
        for place in range(0, len(stream), 7):
            link.sendall(stream[place : place + 7])
        first, second = harness.agent.receive(), harness.agent.receive()
        source = read_frames(link)
        harness.agent.end_run(second[1], b"second")
        seq, fields = decode_message(next(source))[2:]
        assert (seq, fields[0][1], fields[0][3]) == (2, b"second", True)
        harness.agent.end_run(first[1], b"first")
        assert decode_message(next(source))[3][0][1] == b"first"


def test_a_task_for_which_there_is_no_memory_is_rejected(make_harness: Any) -> None:
    family = {**SETTINGS["familyInfo"], "memoryKb": 2000.0}
    harness = make_harness(settings={**SETTINGS, "familyInfo": family})
    harness.wait_until_serving()
    with harness.server.connect() as link:
        fields = exchange(link, process_call(1, task_fields(1, room="1999")))[1]
        assert set(fields) == {1}
        assert set(fields[1][1]) <= {"pressure", "cooldown", "nowhere"}


def test_a_failed_run_is_told_as_such(harness: ServerHarness) -> None:
    with harness.server.connect() as link:
        link.sendall(process_call(1, task_fields(1)))
        harness.finish_next_run(b"", "bad")
        assert set(decode_message(next(read_frames(link)))[3]) == {2}


def test_a_repeat_runs_once(harness: ServerHarness) -> None:
    with harness.server.connect() as link, harness.server.connect() as other:
        link.sendall(process_call(1, booking_fields(1, "mark")))
        launch = harness.agent.receive()
        other.sendall(process_call(1, booking_fields(2, "mark", dup="1")))
        exchange(other, probe_call(2, False))
        harness.agent.end_run(launch[1], b"booked")
        assert decode_message(next(read_frames(link)))[3][0][1] == b"booked"
        assert decode_message(next(read_frames(other)))[3][0][1] == b"booked"
        assert exchange(link, process_call(2, booking_fields(3, "mark", dup="1")))[2][0][1] == b"booked"
    assert harness.agent.received.empty()


def test_a_lost_connection_leaves_its_effect_to_its_repeats(harness: ServerHarness) -> None:
    with harness.server.connect() as link:
        link.sendall(process_call(1, booking_fields(1, "mark")))
        launch = harness.agent.receive()
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    harness.server.wait_for_log("connection ended")
    with harness.server.connect() as link:
        link.sendall(process_call(1, booking_fields(2, "mark", dup="1")))
        exchange(link, probe_call(2, False))
        harness.agent.end_run(launch[1], b"booked")
        assert decode_message(next(read_frames(link)))[3][0][1] == b"booked"
    assert harness.agent.received.empty()


def test_a_link_that_drops_in_a_result_loses_nothing_and_runs_nothing_twice(harness: ServerHarness) -> None:
    with harness.server.connect() as link:
        link.sendall(process_call(1, booking_fields(1, "mark")))
        launch = harness.agent.receive()
        harness.agent.end_run(launch[1], b"booked", send=False)
        assert harness.agent.connection is not None
        harness.agent.connection.sendall(harness.agent.notices[0][:-4])
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 0)
        assert decode_message(next(read_frames(link)))[3][0][1] == b"booked"
        link.sendall(process_call(2, task_fields(2)))
        assert harness.finish_next_run(b"read")[1] == task_fields(2)["ref"]
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 2)


@pytest.mark.parametrize("inner", [False, True])
def test_health_is_told_once_the_agent_is_up(make_harness: Any, inner: bool) -> None:
    harness = make_harness(agent_ready=False)
    harness.server.wait_for_log("phase", phase="awaiting agent")
    with harness.server.connect() as link:
        assert exchange(link, probe_call(1, inner))[1][0][3] is False
        harness.agent.ready.set()
        harness.wait_until_serving()
        assert exchange(link, probe_call(2, inner))[2][0][3] is True


@pytest.mark.parametrize("trouble", ["refuses", "closes early", "is slow"])
def test_reports_go_on_and_come_back_after_a_trouble(make_harness: Any, trouble: str) -> None:
    FakeAnnounce.failure = trouble
    try:
        harness = make_harness()
        assert harness.announce.receive() == ("/announce/n1", {"accepting": "true"})
        harness.server.wait_for_log("announce", state="down")
    finally:
        FakeAnnounce.failure = ""
    harness.server.wait_for_log("announce", state="up")
    assert harness.announce.receive() == ("/announce/n1", {"accepting": "true"})


def test_leaving_serves_on_then_turns_away_new_connections_and_answers_what_runs(
    harness: ServerHarness,
) -> None:
    with harness.server.connect() as link:
        link.sendall(process_call(1, booking_fields(1, "mark")))
        launch = harness.agent.receive()
        harness.server.process.send_signal(signal.SIGTERM)
        harness.server.wait_for_log("phase", phase="leaving")
        harness.server.process.send_signal(signal.SIGTERM)
        source = read_frames(link)
        with harness.server.connect() as other:
            other.sendall(process_call(1, task_fields(2)))
            harness.finish_next_run(b"read")
            assert set(decode_message(next(read_frames(other)))[3]) == {0}
        assert decode_message(next(source))[:2] == ("farewell", TMessageType.ONEWAY)
        with pytest.raises(ConnectionRefusedError):
            harness.server.connect()
        harness.agent.end_run(launch[1], b"done")
        assert decode_message(next(source))[3][0][1] == b"done"
        link.close()
        begun = time.monotonic()
        assert harness.server.process.wait(WAIT_TIMEOUT_SECONDS) == 0
        assert time.monotonic() - begun < 3.0
    reports = [harness.announce.receive()[1]["accepting"]]
    while reports[-1] != "false":
        reports.append(harness.announce.receive()[1]["accepting"])


def test_leaving_in_full_load_answers_all_before_the_stop(make_harness: Any) -> None:
    harness = make_harness(stop_ms=1500)
    harness.wait_until_serving()
    with harness.server.connect() as link:
        count = 30
        link.sendall(
            b"".join(process_call(seq, task_fields(seq, lookup=None)) for seq in range(1, count + 1))
        )
        harness.agent.receive()
        assert harness.server.terminate() == 0
        seqs = [seq for method, _, seq, _ in map(decode_message, read_frames(link)) if method == "process"]
        assert sorted(seqs) == list(range(1, count + 1))


def test_leaving_before_the_agent_is_up_and_starting_again_at_the_same_address(make_harness: Any) -> None:
    harness = make_harness(agent_ready=False)
    harness.server.wait_for_log("phase", phase="awaiting agent")
    assert harness.server.terminate() == 0
    again = make_harness(port=harness.server.port)
    again.wait_until_serving()
    with again.server.connect() as link:
        link.sendall(process_call(1, task_fields(1)))
        again.finish_next_run(b"read")
        next(read_frames(link))
    again.server.process.kill()
    again.server.process.wait(WAIT_TIMEOUT_SECONDS)
    make_harness(port=harness.server.port).wait_until_serving()


def test_a_malformed_message_gets_an_exception_and_the_rest_is_served(harness: ServerHarness) -> None:
    with harness.server.connect() as link, harness.server.connect() as noise:
        noise.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert noise.recv(1) == b""
        link.sendall(process_call(1, task_fields(1, service="attic")) + process_call(2, task_fields(2)))
        source = read_frames(link)
        assert decode_message(next(source))[1:3] == (TMessageType.EXCEPTION, 1)
        harness.finish_next_run(b"read")
        assert decode_message(next(source))[3][0][1] == b"read"


def test_more_connections_than_descriptors_live_on(make_harness: Any) -> None:
    harness = make_harness(limits={**LIMITS, "sockets": 64})
    harness.wait_until_serving()
    links = [harness.server.connect() for _ in range(80)]
    for link in reversed(links):
        if link.getsockname() == links[-1].getsockname():
            link.sendall(process_call(1, task_fields(1)))
            harness.finish_next_run(b"read")
            assert decode_message(next(read_frames(link)))[3][0][1] == b"read"
    assert links[0].recv(1) == b""
    for link in links:
        link.close()


def test_a_peer_that_does_not_read_stalls_nobody(harness: ServerHarness) -> None:
    with harness.server.connect() as deaf:
        deaf.setblocking(False)
        try:
            for seq in range(1, 1_000_000):
                deaf.sendall(probe_call(seq, False))
        except (BlockingIOError, ConnectionError):
            pass
        with harness.server.connect() as link:
            link.sendall(process_call(1, task_fields(1)))
            harness.finish_next_run(b"read")
            assert decode_message(next(read_frames(link)))[3][0][1] == b"read"


def test_after_a_standstill_what_lies_unread_is_read_first(harness: ServerHarness) -> None:
    """The result lies in the socket while the task's due time passes; it is served, not given up."""
    with harness.server.connect() as link:
        due = time.monotonic() + SETTINGS["classes"][0]["promise"] + 0.1
        link.sendall(process_call(1, task_fields(1)))
        launch = harness.agent.receive()
        exchange(link, probe_call(2, False))
        harness.server.pause()
        harness.agent.end_run(launch[1], b"read")
        while time.monotonic() < due:
            os.sched_yield()
        os.kill(harness.server.process.pid, signal.SIGCONT)
        assert set(decode_message(next(read_frames(link)))[3]) == {0}


def test_a_reader_that_nobody_asks_ends_with_its_stream() -> None:
    """Guards against tasks that stay for ever when a full connection is closed."""

    async def story() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        with listener, theirs, anyio.fail_after(WAIT_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                stream = Stream(ours, group, 64, 64)

                async def read() -> None:
                    with pytest.raises(anyio.ClosedResourceError):
                        await stream.read()

                group.start_soon(read)
                await anyio.wait_all_tasks_blocked()
                stream.close()

    anyio.run(story)


@pytest.mark.parametrize(
    ("there", "pauses"),
    [(True, [agentlink.RECONNECT_DELAYS[0]] * 4), (False, list(agentlink.RECONNECT_DELAYS[:4]))],
)
def test_a_link_that_breaks_is_made_anew_at_once_and_one_that_fails_ever_later(
    monkeypatch: pytest.MonkeyPatch, there: bool, pauses: list[float]
) -> None:
    agent, slept = FakeAgent(), list[float]()
    if not there:
        agent.close()

    def handle(event: Any) -> None:
        if isinstance(event, AgentGreeted):
            agent.drop()

    async def story() -> None:
        async with anyio.create_task_group() as group:

            async def sleep(span: float) -> None:
                slept.append(span)
                if len(slept) == 4:
                    group.cancel_scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(anyio, "sleep", sleep)
            host, port = agent.address.split(":")
            group.start_soon(agentlink.AgentLink((host, int(port)), handle, group).hold, lambda: 0)

    anyio.run(story)
    agent.close()
    assert slept == pauses


@pytest.mark.parametrize("where", ["input", "effect"])
def test_an_error_in_one_input_or_effect_is_logged_and_ends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    service = Service(read_configuration({"ROUTER_CONFIG": str(path)}))
    noted: list[str] = []
    monkeypatch.setattr(service, "note", lambda event, **facts: noted.append(event))
    service.clients = cast(Any, SimpleNamespace(flush=list))
    service.agent = service.backend = cast(Any, SimpleNamespace(flush=list))
    done: list[int] = []

    def misunderstood(effect: AnswerMisunderstood) -> None:
        if where == "effect" and effect.connection == 1:
            raise ValueError("a story")
        done.append(effect.connection)

    service.effect_handlers = {
        AnswerMisunderstood: misunderstood,
        LogEvent: lambda _: None,
        ReadConnection: lambda _: None,
    }
    for connection in (1, 2):
        service.handle(ConnectionOpened(connection))
    service.handle(MalformedReceived(1, 7, b"x", "text") if where == "effect" else object())
    service.handle(MalformedReceived(2, 7, b"x", "text"))
    assert (noted, done) == (["fault"], [2])


def test_a_new_configuration_moves_the_links_and_a_malformed_one_changes_nothing(
    harness: ServerHarness,
) -> None:
    agent, announce, instance = FakeAgent(), FakeAnnounce(), harness.server
    with instance.connect() as link:
        link.sendall(process_call(1, booking_fields(1, "mark")) + process_call(2, task_fields(2)))
        second, first = harness.agent.receive(), harness.agent.receive()
        harness.agent.end_run(second[1], b"read")
        source = read_frames(link)
        assert decode_message(next(source))[2] == 2
        for text in ("{", json.dumps(instance.config | {"agent": "nowhere"})):
            instance.reload_config(text)
            instance.wait_for_log("configuration refused")
        agent.notices = list(harness.agent.notices)
        told = instance.config | {"agent": agent.address, "announce": announce.address, "seed": "1"}
        instance.reload_config(json.dumps(told))
        assert instance.wait_for_log("configuration read")["needs_restart"] == ["seed"]
        assert agent.receive() == ("subscribe", 1)
        assert announce.receive() == ("/announce/n1", {"accepting": "true"})
        agent.end_run(first[1], b"booked")
        assert decode_message(next(source))[3][0][1] == b"booked"
        link.sendall(process_call(3, task_fields(3)))
        while (launch := agent.receive())[1] != task_fields(3)["ref"]:
            assert launch[:2] == ("launch", first[1])  # not known to have arrived
        agent.end_run(launch[1], b"read")
        assert decode_message(next(source))[2] == 3
    instance.process.send_signal(signal.SIGTERM)
    instance.wait_for_log("phase", phase="leaving")
    instance.reload_config(json.dumps(told))
    assert instance.process.wait(WAIT_TIMEOUT_SECONDS) == 0
    for stand_in in (agent, announce):
        stand_in.close()


@pytest.mark.parametrize("config", [None, "no file", "{", '{"settings": 1}'])
def test_a_start_without_a_configuration_ends_with_a_plain_line(tmp_path: Path, config: str | None) -> None:
    path = tmp_path / "config.json"
    if config is not None and config != "no file":
        path.write_text(config)
    process = start_process({} if config is None else {"ROUTER_CONFIG": str(path)})
    out, told = process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    assert (process.returncode, out, len(told.splitlines())) == (2, b"", 1)


def test_an_address_that_is_taken_is_told(tmp_path: Path) -> None:
    with socket.create_server((HOST, 0)) as taken:
        agent, announce = FakeAgent(), FakeAnnounce()
        instance = ServerProcess(tmp_path, agent, announce, port=taken.getsockname()[1])
        assert instance.process.wait(WAIT_TIMEOUT_SECONDS) == 1
        agent.close()
        announce.close()
