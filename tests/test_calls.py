"""Calls to what lies below: the program between a stand-in agent, back end and client stubs, over sockets."""

import json
import signal
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import pytest

from tests.host import (
    SETTINGS,
    FakeBackend,
    ServerHarness,
    decode_message,
    exchange,
    probe_call,
    process_call,
    read_frames,
    task_fields,
)

ORDER = {"name": "order", "effect": "non_idempotent", "credit": 1.0, "promise": 2.0, "deadline": 4.0}
NOTICE = {"name": "notice", "effect": "read_like", "credit": 1.0, "promise": 2.0, "deadline": 4.0}
CALLING: dict[str, Any] = {
    **SETTINGS,
    "classes": [*SETTINGS["classes"], ORDER, NOTICE],
    "familyInfo": {
        **SETTINGS["familyInfo"],
        "dependsOn": "tier",
        "classCalls": [True, False, True, True],
        "classSkipWorth": [0.0, 0.0, 0.0, 0.3],
    },
}


@pytest.fixture
def below() -> Iterator[FakeBackend]:
    backend = FakeBackend()
    yield backend
    backend.close()


@pytest.fixture
def harness(make_harness: Any, below: FakeBackend) -> ServerHarness:
    made: ServerHarness = make_harness(settings=CALLING, backend=below.address)
    made.wait_until_serving()
    return made


def begin(
    harness: ServerHarness, link: socket.socket, seq: int, stage: str = "lookup", body: bytes = b"call"
) -> str:
    """A task runs and stands at its call; its id."""
    link.sendall(process_call(seq, task_fields(seq, service=stage, lookup=None)))
    name = str(harness.agent.receive()[1])
    harness.agent.request_call(name, body)
    return name


def test_a_call_is_made_its_result_delivered_and_the_task_served(
    harness: ServerHarness, below: FakeBackend
) -> None:
    with harness.server.connect() as link:
        name = begin(harness, link, 1, body=b"\r\nfirst\x00")
        kind, called, patience, body = below.receive()
        assert (kind, called, body) == ("invoke", name, b"\r\nfirst\x00")
        assert 0 < patience <= 1500
        below.end_call(name, "ok", b"\r\nfound\xff")
        assert harness.agent.receive() == ("deliver", name, b"\r\nfound\xff")
        harness.agent.request_call(name, b"second")
        assert below.receive()[3] == b"second"
        below.end_call(name, "ok", b"")
        assert harness.agent.receive() == ("deliver", name, b"")
        harness.agent.end_run(name, b"done")
        assert decode_message(next(read_frames(link)))[3][0][1] == b"done"


@pytest.mark.parametrize("end", ["overload", "internal", "deadline", "stale"])
def test_a_call_that_ends_badly_is_repeated_where_it_may_be_and_ends_the_task_elsewhere(
    harness: ServerHarness, below: FakeBackend, end: str
) -> None:
    with harness.server.connect() as link:
        name = begin(harness, link, 1)
        assert below.receive()[1] == name
        below.end_call(name, end)
        assert below.receive()[1] == name  # it may run again, so the call may
        below.end_call(name, "ok", b"x")
        assert harness.agent.receive()[:2] == ("deliver", name)
        other = begin(harness, link, 2, "order")
        assert below.receive()[1] == other
        below.end_call(other, end)
        if end == "overload":  # proves that nothing ran
            assert below.receive()[1] == other
            below.end_call(other, "ok", b"y")
            assert harness.agent.receive()[:2] == ("deliver", other)
        else:
            seq, fields = decode_message(next(read_frames(link)))[2:]
            assert (seq, set(fields)) == (2, {2})
            assert below.received.empty()


def test_a_call_that_ends_badly_is_left_out_where_the_answer_keeps_a_part_of_its_worth(
    harness: ServerHarness, below: FakeBackend
) -> None:
    with harness.server.connect() as link:
        name = begin(harness, link, 1, "notice")
        below.receive()
        below.end_call(name, "internal")
        assert harness.agent.receive() == (
            "forgo",
            name,
            "1",
        )  # the number of the notice that told of the call
        harness.agent.end_run(name, b"less")
        assert decode_message(next(read_frames(link)))[3][0][1] == b"less"


@pytest.mark.parametrize("there", [True, False])
def test_without_a_back_end_a_task_that_needs_it_is_answered_at_once(make_harness: Any, there: bool) -> None:
    gone = FakeBackend()
    gone.close()
    harness = make_harness(settings=CALLING, **({"backend": gone.address} if there else {}))
    harness.wait_until_serving()
    with harness.server.connect() as link:
        begin(harness, link, 1)
        assert set(decode_message(next(read_frames(link)))[3]) == {2}
        assert exchange(link, probe_call(2, False))[2][0][3] is True


def test_a_silent_back_end_holds_up_no_answer(make_harness: Any, below: FakeBackend) -> None:
    rows = [{**row, "promise": 0.6, "deadline": 1.2} for row in CALLING["classes"]]
    harness = make_harness(settings={**CALLING, "classes": rows}, backend=below.address)
    harness.wait_until_serving()
    with harness.server.connect() as link:
        name = begin(harness, link, 1, "order")
        assert below.receive()[1] == name
        assert set(decode_message(next(read_frames(link)))[3]) == {2}
        harness.agent.end_run(name, b"", "cut")
        while below.receive() != ("cancel", name):
            pass
        link.sendall(process_call(2, task_fields(2, lookup=None)))
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(link)))[3]) == {0}


@pytest.mark.parametrize("noise", [b"", b"nonsense\r\n", b"x ok many\r\n", b"y" * 9000, b"z ok 99999999\r\n"])
def test_a_back_ends_broken_link_ends_no_more_than_its_calls(
    harness: ServerHarness, below: FakeBackend, noise: bytes
) -> None:
    with harness.server.connect() as link:
        source = read_frames(link)
        order = begin(harness, link, 1, "order")
        assert below.receive()[1] == order
        read = begin(harness, link, 2)
        assert below.receive()[1] == read
        assert below.connection is not None
        if noise:
            below.connection.sendall(noise)
        else:
            below.drop()
        seq, fields = decode_message(next(source))[2:]
        assert (seq, set(fields)) == (1, {2})  # it may have been made
        assert below.receive()[1] == read  # on a new link
        below.end_call(read, "ok", b"x")
        assert harness.agent.receive() == ("deliver", read, b"x")
        harness.agent.end_run(read, b"read")
        assert decode_message(next(source))[3][0][1] == b"read"
    assert below.received.empty()


def test_a_result_that_was_lost_with_the_agents_link_is_delivered_again(
    harness: ServerHarness, below: FakeBackend
) -> None:
    with harness.server.connect() as link:
        lost, kept = begin(harness, link, 1), begin(harness, link, 2)
        assert [below.receive()[1], below.receive()[1]] == [lost, kept]
        below.end_call(lost, "ok", b"x")
        below.end_call(kept, "ok", b"y")
        assert {harness.agent.receive()[1:], harness.agent.receive()[1:]} == {(lost, b"x"), (kept, b"y")}
        # One went on to its second call, which is told with the new link; of the other nothing is heard.
        harness.agent.send_notice(
            f"request {len(harness.agent.notices) + 1} {kept} 4\r\nmore\r\n".encode(), send=False
        )
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 2)
        assert harness.agent.receive() == ("deliver", lost, b"x")
        assert below.receive()[3] == b"more"
        below.end_call(kept, "ok", b"z")
        assert harness.agent.receive() == ("deliver", kept, b"z")


def test_a_result_that_comes_while_there_is_no_agent_waits_for_its_link(
    harness: ServerHarness, below: FakeBackend
) -> None:
    with harness.server.connect() as link:
        name = begin(harness, link, 1)
        assert below.receive()[1] == name
        harness.agent.ready.clear()
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 1)
        below.end_call(name, "ok", b"x")
        exchange(link, probe_call(2, False))
        assert harness.agent.received.empty()
        harness.agent.ready.set()
        assert harness.agent.receive() == ("deliver", name, b"x")


def test_a_new_configuration_moves_calls_and_leaves_those_that_are_out(
    harness: ServerHarness, below: FakeBackend
) -> None:
    again, instance = FakeBackend(), harness.server
    with instance.connect() as link:
        first = begin(harness, link, 1, "order")
        assert below.receive()[1] == first
        instance.reload_config(json.dumps(instance.config | {"backend": again.address}))
        instance.wait_for_log("configuration read")
        second = begin(harness, link, 2, "order")
        assert again.receive()[1] == second
        below.end_call(first, "ok", b"x")
        assert harness.agent.receive() == ("deliver", first, b"x")
        again.end_call(second, "ok", b"y")
        assert harness.agent.receive() == ("deliver", second, b"y")
    again.close()


@pytest.mark.parametrize("cancel_late", [False, True])
def test_the_end_of_a_call_given_up_is_not_taken_for_that_of_the_next(
    make_harness: Any, below: FakeBackend, cancel_late: bool
) -> None:
    """The back end answers late, under the same name, as a second call of the run is out on another link; the
    cancel of the first, which goes over the old link, is heard before that call or after it."""
    rows = [{**row, "promise": 3.0, "deadline": 6.0} for row in CALLING["classes"]]
    harness = make_harness(settings={**CALLING, "classes": rows}, backend=below.address)
    harness.wait_until_serving()
    with harness.server.connect() as link:
        name = begin(harness, link, 1)
        assert below.receive()[1] == name
        old = below.connection
        if cancel_late:
            below.accepts_cancels.clear()
        heard = below.receive()  # as it was silent for too long
        below.accepts_cancels.set()
        assert {heard[:2], below.receive()[:2]} == {("cancel", name), ("invoke", name)}
        assert old is not None
        assert below.connection is not old
        with suppress(OSError):  # where it is closed by now, as nothing else is out there
            old.sendall(f"{name} ok 3\r\nold\r\n".encode())
        below.end_call(name, "ok", b"new")
        assert harness.agent.receive() == ("deliver", name, b"new")


def test_a_drain_with_a_call_out_ends_in_time(make_harness: Any, below: FakeBackend) -> None:
    harness = make_harness(settings=CALLING, backend=below.address, stop_ms=1500)
    harness.wait_until_serving()
    with harness.server.connect() as link:
        name = begin(harness, link, 1, "order")
        assert below.receive()[1] == name
        harness.server.process.send_signal(signal.SIGTERM)
        answers = [decode_message(frame) for frame in read_frames(link)]
        assert [seq for method, _, seq, _ in answers if method == "process"] == [1]
    assert harness.server.process.wait(20) == 0


def test_an_agent_that_goes_away_at_a_call_is_no_fault(harness: ServerHarness, below: FakeBackend) -> None:
    with harness.server.connect() as link:
        name = begin(harness, link, 1)
        assert below.receive()[1] == name
        harness.agent.end_run(name, b"", "cut")
        assert below.receive() == ("cancel", name)
        below.end_call(name, "ok", b"late")
        link.sendall(process_call(2, task_fields(2, lookup=None)))
        while (heard := harness.agent.receive())[0] != "launch":
            assert heard[0] != "deliver"
        harness.agent.end_run(heard[1], b"read")
        while decode_message(next(read_frames(link)))[2] != 2:
            pass
