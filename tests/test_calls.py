"""Calls to what lies below: the program between a stand-in agent, back end and client stubs, over sockets."""

import json
import signal
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import pytest

from tests.host import SETTINGS, FakeBackend, Hall, answered, ask, frames, probe, process, words

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
def hall(halls: Any, below: FakeBackend) -> Hall:
    made: Hall = halls(settings=CALLING, backend=below.address)
    made.up()
    return made


def begin(hall: Hall, link: socket.socket, seq: int, stage: str = "lookup", body: bytes = b"call") -> str:
    """A task runs and stands at its call; its id."""
    link.sendall(process(seq, words(seq, service=stage, lookup=None)))
    name = str(hall.agent.hear()[1])
    hall.agent.wants_call(name, body)
    return name


def test_a_call_is_made_its_result_delivered_and_the_task_served(hall: Hall, below: FakeBackend) -> None:
    with hall.instance.connect() as link:
        name = begin(hall, link, 1, body=b"\r\nfirst\x00")
        kind, called, patience, body = below.hear()
        assert (kind, called, body) == ("invoke", name, b"\r\nfirst\x00")
        assert 0 < patience <= 1500
        below.end(name, "ok", b"\r\nfound\xff")
        assert hall.agent.hear() == ("deliver", name, b"\r\nfound\xff")
        hall.agent.wants_call(name, b"second")
        assert below.hear()[3] == b"second"
        below.end(name, "ok", b"")
        assert hall.agent.hear() == ("deliver", name, b"")
        hall.agent.end(name, b"done")
        assert answered(next(frames(link)))[3][0][1] == b"done"


@pytest.mark.parametrize("end", ["overload", "internal", "deadline", "stale"])
def test_a_call_that_ends_badly_is_repeated_where_it_may_be_and_ends_the_task_elsewhere(
    hall: Hall, below: FakeBackend, end: str
) -> None:
    with hall.instance.connect() as link:
        name = begin(hall, link, 1)
        assert below.hear()[1] == name
        below.end(name, end)
        assert below.hear()[1] == name  # it may run again, so the call may
        below.end(name, "ok", b"x")
        assert hall.agent.hear()[:2] == ("deliver", name)
        other = begin(hall, link, 2, "order")
        assert below.hear()[1] == other
        below.end(other, end)
        if end == "overload":  # proves that nothing ran
            assert below.hear()[1] == other
            below.end(other, "ok", b"y")
            assert hall.agent.hear()[:2] == ("deliver", other)
        else:
            seq, fields = answered(next(frames(link)))[2:]
            assert (seq, set(fields)) == (2, {2})
            assert below.heard.empty()


def test_a_call_that_ends_badly_is_left_out_where_the_answer_keeps_a_part_of_its_worth(
    hall: Hall, below: FakeBackend
) -> None:
    with hall.instance.connect() as link:
        name = begin(hall, link, 1, "notice")
        below.hear()
        below.end(name, "internal")
        assert hall.agent.hear() == ("forgo", name, "1")  # the number of the notice that told of the call
        hall.agent.end(name, b"less")
        assert answered(next(frames(link)))[3][0][1] == b"less"


@pytest.mark.parametrize("there", [True, False])
def test_without_a_back_end_a_task_that_needs_it_is_answered_at_once(halls: Any, there: bool) -> None:
    gone = FakeBackend()
    gone.close()
    hall = halls(settings=CALLING, **({"backend": gone.address} if there else {}))
    hall.up()
    with hall.instance.connect() as link:
        begin(hall, link, 1)
        assert set(answered(next(frames(link)))[3]) == {2}
        assert ask(link, probe(2, False))[2][0][3] is True


def test_a_silent_back_end_holds_up_no_answer(halls: Any, below: FakeBackend) -> None:
    rows = [{**row, "promise": 0.6, "deadline": 1.2} for row in CALLING["classes"]]
    hall = halls(settings={**CALLING, "classes": rows}, backend=below.address)
    hall.up()
    with hall.instance.connect() as link:
        name = begin(hall, link, 1, "order")
        assert below.hear()[1] == name
        assert set(answered(next(frames(link)))[3]) == {2}
        hall.agent.end(name, b"", "cut")
        while below.hear() != ("cancel", name):
            pass
        link.sendall(process(2, words(2, lookup=None)))
        hall.run(b"read")
        assert set(answered(next(frames(link)))[3]) == {0}


@pytest.mark.parametrize("noise", [b"", b"nonsense\r\n", b"x ok many\r\n", b"y" * 9000, b"z ok 99999999\r\n"])
def test_a_back_ends_broken_link_ends_no_more_than_its_calls(
    hall: Hall, below: FakeBackend, noise: bytes
) -> None:
    with hall.instance.connect() as link:
        source = frames(link)
        order = begin(hall, link, 1, "order")
        assert below.hear()[1] == order
        read = begin(hall, link, 2)
        assert below.hear()[1] == read
        assert below.link is not None
        if noise:
            below.link.sendall(noise)
        else:
            below.drop()
        seq, fields = answered(next(source))[2:]
        assert (seq, set(fields)) == (1, {2})  # it may have been made
        assert below.hear()[1] == read  # on a new link
        below.end(read, "ok", b"x")
        assert hall.agent.hear() == ("deliver", read, b"x")
        hall.agent.end(read, b"read")
        assert answered(next(source))[3][0][1] == b"read"
    assert below.heard.empty()


def test_a_result_that_was_lost_with_the_agents_link_is_delivered_again(
    hall: Hall, below: FakeBackend
) -> None:
    with hall.instance.connect() as link:
        lost, kept = begin(hall, link, 1), begin(hall, link, 2)
        assert [below.hear()[1], below.hear()[1]] == [lost, kept]
        below.end(lost, "ok", b"x")
        below.end(kept, "ok", b"y")
        assert {hall.agent.hear()[1:], hall.agent.hear()[1:]} == {(lost, b"x"), (kept, b"y")}
        # One went on to its second call, which is told with the new link; of the other nothing is heard.
        hall.agent.tell(f"request {len(hall.agent.kept) + 1} {kept} 4\r\nmore\r\n".encode(), send=False)
        hall.agent.drop()
        assert hall.agent.hear() == ("subscribe", 2)
        assert hall.agent.hear() == ("deliver", lost, b"x")
        assert below.hear()[3] == b"more"
        below.end(kept, "ok", b"z")
        assert hall.agent.hear() == ("deliver", kept, b"z")


def test_a_result_that_comes_while_there_is_no_agent_waits_for_its_link(
    hall: Hall, below: FakeBackend
) -> None:
    with hall.instance.connect() as link:
        name = begin(hall, link, 1)
        assert below.hear()[1] == name
        hall.agent.up.clear()
        hall.agent.drop()
        assert hall.agent.hear() == ("subscribe", 1)
        below.end(name, "ok", b"x")
        ask(link, probe(2, False))
        assert hall.agent.heard.empty()
        hall.agent.up.set()
        assert hall.agent.hear() == ("deliver", name, b"x")


def test_a_new_configuration_moves_calls_and_leaves_those_that_are_out(
    hall: Hall, below: FakeBackend
) -> None:
    again, instance = FakeBackend(), hall.instance
    with instance.connect() as link:
        first = begin(hall, link, 1, "order")
        assert below.hear()[1] == first
        instance.read_again(json.dumps(instance.told | {"backend": again.address}))
        instance.until("configuration read")
        second = begin(hall, link, 2, "order")
        assert again.hear()[1] == second
        below.end(first, "ok", b"x")
        assert hall.agent.hear() == ("deliver", first, b"x")
        again.end(second, "ok", b"y")
        assert hall.agent.hear() == ("deliver", second, b"y")
    again.close()


@pytest.mark.parametrize("cancel_late", [False, True])
def test_the_end_of_a_call_given_up_is_not_taken_for_that_of_the_next(
    halls: Any, below: FakeBackend, cancel_late: bool
) -> None:
    """The back end answers late, under the same name, as a second call of the run is out on another link; the
    cancel of the first, which goes over the old link, is heard before that call or after it."""
    rows = [{**row, "promise": 3.0, "deadline": 6.0} for row in CALLING["classes"]]
    hall = halls(settings={**CALLING, "classes": rows}, backend=below.address)
    hall.up()
    with hall.instance.connect() as link:
        name = begin(hall, link, 1)
        assert below.hear()[1] == name
        old = below.link
        if cancel_late:
            below.hears_cancels.clear()
        heard = below.hear()  # as it was silent for too long
        below.hears_cancels.set()
        assert {heard[:2], below.hear()[:2]} == {("cancel", name), ("invoke", name)}
        assert old is not None
        assert below.link is not old
        with suppress(OSError):  # where it is closed by now, as nothing else is out there
            old.sendall(f"{name} ok 3\r\nold\r\n".encode())
        below.end(name, "ok", b"new")
        assert hall.agent.hear() == ("deliver", name, b"new")


def test_a_drain_with_a_call_out_ends_in_time(halls: Any, below: FakeBackend) -> None:
    hall = halls(settings=CALLING, backend=below.address, stop_ms=1500)
    hall.up()
    with hall.instance.connect() as link:
        name = begin(hall, link, 1, "order")
        assert below.hear()[1] == name
        hall.instance.process.send_signal(signal.SIGTERM)
        answers = [answered(frame) for frame in frames(link)]
        assert [seq for method, _, seq, _ in answers if method == "process"] == [1]
    assert hall.instance.process.wait(20) == 0


def test_an_agent_that_goes_away_at_a_call_is_no_fault(hall: Hall, below: FakeBackend) -> None:
    with hall.instance.connect() as link:
        name = begin(hall, link, 1)
        assert below.hear()[1] == name
        hall.agent.end(name, b"", "cut")
        assert below.hear() == ("cancel", name)
        below.end(name, "ok", b"late")
        link.sendall(process(2, words(2, lookup=None)))
        while (heard := hall.agent.hear())[0] != "launch":
            assert heard[0] != "deliver"
        hall.agent.end(heard[1], b"read")
        while answered(next(frames(link)))[2] != 2:
            pass
