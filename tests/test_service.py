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
    HOST,
    LIMITS,
    PATIENCE,
    SETTINGS,
    TOLD,
    FakeAgent,
    FakeAnnounce,
    Hall,
    Instance,
    answered,
    ask,
    booking,
    frames,
    probe,
    process,
    start,
    words,
)
from thistleline.server import agent_link as agentlink
from thistleline.server.configuration import read_configuration
from thistleline.server.service import Service
from thistleline.server.streams import Stream
from thistleline.state.effects import AnswerMisunderstood, LogEvent, ReadConnection
from thistleline.state.events import AgentGreeted, ConnectionOpened, MalformedReceived


def test_a_task_is_run_and_served_unchanged(hall: Hall) -> None:
    body, result = bytes(range(256)) * 8, bytes(reversed(range(256))) * 16
    with hall.instance.connect() as link:
        link.sendall(process(1, words(1), body))
        assert hall.run(result) == ("launch", words(1)["ref"], "lookup", body)
        method, kind, seq, fields = answered(next(frames(link)))
        assert (method, kind, seq, fields[0][1], fields[0][3]) == (
            "process",
            TMessageType.REPLY,
            1,
            result,
            True,
        )


def test_answers_come_in_the_order_in_which_runs_end(hall: Hall) -> None:
    with hall.instance.connect() as link:
        stream = process(1, words(1)) + process(2, words(2, lookup=None))
        for place in range(0, len(stream), 7):
            link.sendall(stream[place : place + 7])
        first, second = hall.agent.hear(), hall.agent.hear()
        source = frames(link)
        hall.agent.end(second[1], b"second")
        seq, fields = answered(next(source))[2:]
        assert (seq, fields[0][1], fields[0][3]) == (2, b"second", True)
        hall.agent.end(first[1], b"first")
        assert answered(next(source))[3][0][1] == b"first"


def test_a_task_for_which_there_is_no_memory_is_rejected(halls: Any) -> None:
    family = {**SETTINGS["familyInfo"], "memoryKb": 2000.0}
    hall = halls(settings={**SETTINGS, "familyInfo": family})
    hall.up()
    with hall.instance.connect() as link:
        fields = ask(link, process(1, words(1, room="1999")))[1]
        assert set(fields) == {1}
        assert set(fields[1][1]) <= {"pressure", "cooldown", "nowhere"}


def test_a_failed_run_is_told_as_such(hall: Hall) -> None:
    with hall.instance.connect() as link:
        link.sendall(process(1, words(1)))
        hall.run(b"", "bad")
        assert set(answered(next(frames(link)))[3]) == {2}


def test_a_repeat_runs_once(hall: Hall) -> None:
    with hall.instance.connect() as link, hall.instance.connect() as other:
        link.sendall(process(1, booking(1, "mark")))
        launch = hall.agent.hear()
        other.sendall(process(1, booking(2, "mark", dup="1")))
        ask(other, probe(2, False))
        hall.agent.end(launch[1], b"booked")
        assert answered(next(frames(link)))[3][0][1] == b"booked"
        assert answered(next(frames(other)))[3][0][1] == b"booked"
        assert ask(link, process(2, booking(3, "mark", dup="1")))[2][0][1] == b"booked"
    assert hall.agent.heard.empty()


def test_a_lost_connection_leaves_its_effect_to_its_repeats(hall: Hall) -> None:
    with hall.instance.connect() as link:
        link.sendall(process(1, booking(1, "mark")))
        launch = hall.agent.hear()
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    hall.instance.until("connection ended")
    with hall.instance.connect() as link:
        link.sendall(process(1, booking(2, "mark", dup="1")))
        ask(link, probe(2, False))
        hall.agent.end(launch[1], b"booked")
        assert answered(next(frames(link)))[3][0][1] == b"booked"
    assert hall.agent.heard.empty()


def test_a_link_that_drops_in_a_result_loses_nothing_and_runs_nothing_twice(hall: Hall) -> None:
    with hall.instance.connect() as link:
        link.sendall(process(1, booking(1, "mark")))
        launch = hall.agent.hear()
        hall.agent.end(launch[1], b"booked", send=False)
        assert hall.agent.link is not None
        hall.agent.link.sendall(hall.agent.kept[0][:-4])
        hall.agent.drop()
        assert hall.agent.hear() == ("subscribe", 0)
        assert answered(next(frames(link)))[3][0][1] == b"booked"
        link.sendall(process(2, words(2)))
        assert hall.run(b"read")[1] == words(2)["ref"]
        hall.agent.drop()
        assert hall.agent.hear() == ("subscribe", 2)


@pytest.mark.parametrize("inner", [False, True])
def test_health_is_told_once_the_agent_is_up(halls: Any, inner: bool) -> None:
    hall = halls(agent_up=False)
    hall.instance.until("phase", phase="awaiting agent")
    with hall.instance.connect() as link:
        assert ask(link, probe(1, inner))[1][0][3] is False
        hall.agent.up.set()
        hall.up()
        assert ask(link, probe(2, inner))[2][0][3] is True


@pytest.mark.parametrize("trouble", ["refuses", "closes early", "is slow"])
def test_reports_go_on_and_come_back_after_a_trouble(halls: Any, trouble: str) -> None:
    FakeAnnounce.trouble = trouble
    try:
        hall = halls()
        assert hall.announce.hear() == ("/announce/n1", {"accepting": "true"})
        hall.instance.until("announce", state="down")
    finally:
        FakeAnnounce.trouble = ""
    hall.instance.until("announce", state="up")
    assert hall.announce.hear() == ("/announce/n1", {"accepting": "true"})


def test_leaving_serves_on_then_turns_away_new_connections_and_answers_what_runs(hall: Hall) -> None:
    with hall.instance.connect() as link:
        link.sendall(process(1, booking(1, "mark")))
        launch = hall.agent.hear()
        hall.instance.process.send_signal(signal.SIGTERM)
        hall.instance.until("phase", phase="leaving")
        hall.instance.process.send_signal(signal.SIGTERM)
        source = frames(link)
        with hall.instance.connect() as other:
            other.sendall(process(1, words(2)))
            hall.run(b"read")
            assert set(answered(next(frames(other)))[3]) == {0}
        assert answered(next(source))[:2] == ("farewell", TMessageType.ONEWAY)
        with pytest.raises(ConnectionRefusedError):
            hall.instance.connect()
        hall.agent.end(launch[1], b"done")
        assert answered(next(source))[3][0][1] == b"done"
        link.close()
        begun = time.monotonic()
        assert hall.instance.process.wait(PATIENCE) == 0
        assert time.monotonic() - begun < 3.0
    reports = [hall.announce.hear()[1]["accepting"]]
    while reports[-1] != "false":
        reports.append(hall.announce.hear()[1]["accepting"])


def test_leaving_in_full_load_answers_all_before_the_stop(halls: Any) -> None:
    hall = halls(stop_ms=1500)
    hall.up()
    with hall.instance.connect() as link:
        count = 30
        link.sendall(b"".join(process(seq, words(seq, lookup=None)) for seq in range(1, count + 1)))
        hall.agent.hear()
        assert hall.instance.leave() == 0
        seqs = [seq for method, _, seq, _ in map(answered, frames(link)) if method == "process"]
        assert sorted(seqs) == list(range(1, count + 1))


def test_leaving_before_the_agent_is_up_and_starting_again_at_the_same_address(halls: Any) -> None:
    hall = halls(agent_up=False)
    hall.instance.until("phase", phase="awaiting agent")
    assert hall.instance.leave() == 0
    again = halls(port=hall.instance.port)
    again.up()
    with again.instance.connect() as link:
        link.sendall(process(1, words(1)))
        again.run(b"read")
        next(frames(link))
    again.instance.process.kill()
    again.instance.process.wait(PATIENCE)
    halls(port=hall.instance.port).up()


def test_a_malformed_message_gets_an_exception_and_the_rest_is_served(hall: Hall) -> None:
    with hall.instance.connect() as link, hall.instance.connect() as noise:
        noise.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert noise.recv(1) == b""
        link.sendall(process(1, words(1, service="attic")) + process(2, words(2)))
        source = frames(link)
        assert answered(next(source))[1:3] == (TMessageType.EXCEPTION, 1)
        hall.run(b"read")
        assert answered(next(source))[3][0][1] == b"read"


def test_more_connections_than_descriptors_live_on(halls: Any) -> None:
    hall = halls(limits={**LIMITS, "sockets": 64})
    hall.up()
    links = [hall.instance.connect() for _ in range(80)]
    for link in reversed(links):
        if link.getsockname() == links[-1].getsockname():
            link.sendall(process(1, words(1)))
            hall.run(b"read")
            assert answered(next(frames(link)))[3][0][1] == b"read"
    assert links[0].recv(1) == b""
    for link in links:
        link.close()


def test_a_peer_that_does_not_read_stalls_nobody(hall: Hall) -> None:
    with hall.instance.connect() as deaf:
        deaf.setblocking(False)
        try:
            for seq in range(1, 1_000_000):
                deaf.sendall(probe(seq, False))
        except (BlockingIOError, ConnectionError):
            pass
        with hall.instance.connect() as link:
            link.sendall(process(1, words(1)))
            hall.run(b"read")
            assert answered(next(frames(link)))[3][0][1] == b"read"


def test_after_a_standstill_what_lies_unread_is_read_first(hall: Hall) -> None:
    """The result lies in the socket while the task's due time passes; it is served, not given up."""
    with hall.instance.connect() as link:
        due = time.monotonic() + SETTINGS["classes"][0]["promise"] + 0.1
        link.sendall(process(1, words(1)))
        launch = hall.agent.hear()
        ask(link, probe(2, False))
        hall.instance.stand_still()
        hall.agent.end(launch[1], b"read")
        while time.monotonic() < due:
            os.sched_yield()
        os.kill(hall.instance.process.pid, signal.SIGCONT)
        assert set(answered(next(frames(link)))[3]) == {0}


def test_a_reader_that_nobody_asks_ends_with_its_stream() -> None:
    """Guards against tasks that stay for ever when a full connection is closed."""

    async def story() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        with listener, theirs, anyio.fail_after(PATIENCE):
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
            group.start_soon(agentlink.AgentLink((host, int(port)), handle, group).run, lambda: 0)

    anyio.run(story)
    agent.close()
    assert slept == pauses


@pytest.mark.parametrize("where", ["input", "effect"])
def test_an_error_in_one_input_or_effect_is_logged_and_ends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(TOLD))
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


def test_a_new_configuration_moves_the_links_and_a_malformed_one_changes_nothing(hall: Hall) -> None:
    agent, announce, instance = FakeAgent(), FakeAnnounce(), hall.instance
    with instance.connect() as link:
        link.sendall(process(1, booking(1, "mark")) + process(2, words(2)))
        second, first = hall.agent.hear(), hall.agent.hear()
        hall.agent.end(second[1], b"read")
        source = frames(link)
        assert answered(next(source))[2] == 2
        for text in ("{", json.dumps(instance.told | {"agent": "nowhere"})):
            instance.read_again(text)
            instance.until("configuration refused")
        agent.kept = list(hall.agent.kept)
        told = instance.told | {"agent": agent.address, "announce": announce.address, "seed": "1"}
        instance.read_again(json.dumps(told))
        assert instance.until("configuration read")["needs_restart"] == ["seed"]
        assert agent.hear() == ("subscribe", 1)
        assert announce.hear() == ("/announce/n1", {"accepting": "true"})
        agent.end(first[1], b"booked")
        assert answered(next(source))[3][0][1] == b"booked"
        link.sendall(process(3, words(3)))
        while (launch := agent.hear())[1] != words(3)["ref"]:
            assert launch[:2] == ("launch", first[1])  # not known to have arrived
        agent.end(launch[1], b"read")
        assert answered(next(source))[2] == 3
    instance.process.send_signal(signal.SIGTERM)
    instance.until("phase", phase="leaving")
    instance.read_again(json.dumps(told))
    assert instance.process.wait(PATIENCE) == 0
    for stand_in in (agent, announce):
        stand_in.close()


@pytest.mark.parametrize("config", [None, "no file", "{", '{"settings": 1}'])
def test_a_start_without_a_configuration_ends_with_a_plain_line(tmp_path: Path, config: str | None) -> None:
    path = tmp_path / "config.json"
    if config is not None and config != "no file":
        path.write_text(config)
    process = start({} if config is None else {"ROUTER_CONFIG": str(path)})
    out, told = process.communicate(timeout=PATIENCE)
    assert (process.returncode, out, len(told.splitlines())) == (2, b"", 1)


def test_an_address_that_is_taken_is_told(tmp_path: Path) -> None:
    with socket.create_server((HOST, 0)) as taken:
        agent, announce = FakeAgent(), FakeAnnounce()
        instance = Instance(tmp_path, agent, announce, port=taken.getsockname()[1])
        assert instance.process.wait(PATIENCE) == 1
        agent.close()
        announce.close()
