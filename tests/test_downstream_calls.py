"""Tests of runs' calls to the downstream back end, with a fake agent, a fake back end and real clients."""

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
SETTINGS_WITH_CALLS: dict[str, Any] = {
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
def backend() -> Iterator[FakeBackend]:
    backend = FakeBackend()
    yield backend
    backend.close()


@pytest.fixture
def harness(make_harness: Any, backend: FakeBackend) -> ServerHarness:
    ready_harness: ServerHarness = make_harness(settings=SETTINGS_WITH_CALLS, backend=backend.address)
    ready_harness.wait_until_serving()
    return ready_harness


def start_task_with_call(
    harness: ServerHarness, connection: socket.socket, seq: int, stage: str = "lookup", body: bytes = b"call"
) -> str:
    """Sends a task, waits for its launch and makes its run request a call; returns the task's id."""
    connection.sendall(process_call(seq, task_fields(seq, service=stage, lookup=None)))
    attempt_id = str(harness.agent.receive()[1])
    harness.agent.request_call(attempt_id, body)
    return attempt_id


def test_makes_call_delivers_result_and_serves_task(harness: ServerHarness, backend: FakeBackend) -> None:
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1, body=b"\r\nfirst\x00")
        kind, called_name, timeout_ms, body = backend.receive()
        assert (kind, called_name, body) == ("invoke", attempt_id, b"\r\nfirst\x00")
        assert 0 < timeout_ms <= 1500
        backend.end_call(attempt_id, "ok", b"\r\nfound\xff")
        assert harness.agent.receive() == ("deliver", attempt_id, b"\r\nfound\xff")
        harness.agent.request_call(attempt_id, b"second")
        assert backend.receive()[3] == b"second"
        backend.end_call(attempt_id, "ok", b"")
        assert harness.agent.receive() == ("deliver", attempt_id, b"")
        harness.agent.end_run(attempt_id, b"done")
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"done"


@pytest.mark.parametrize("outcome", ["overload", "internal", "deadline", "stale"])
def test_failed_call_is_repeated_if_safe_and_otherwise_ends_task(
    harness: ServerHarness, backend: FakeBackend, outcome: str
) -> None:
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1)
        assert backend.receive()[1] == attempt_id
        backend.end_call(attempt_id, outcome)
        assert backend.receive()[1] == attempt_id  # the task is idempotent, so its call may be repeated
        backend.end_call(attempt_id, "ok", b"x")
        assert harness.agent.receive()[:2] == ("deliver", attempt_id)
        other_id = start_task_with_call(harness, connection, 2, "order")
        assert backend.receive()[1] == other_id
        backend.end_call(other_id, outcome)
        if outcome == "overload":  # the back end did not run the call, so it may be repeated
            assert backend.receive()[1] == other_id
            backend.end_call(other_id, "ok", b"y")
            assert harness.agent.receive()[:2] == ("deliver", other_id)
        else:
            seq, fields = decode_message(next(read_frames(connection)))[2:]
            assert (seq, set(fields)) == (2, {2})
            assert backend.received.empty()


def test_failed_call_is_skipped_if_answer_without_it_has_utility(
    harness: ServerHarness, backend: FakeBackend
) -> None:
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1, "notice")
        backend.receive()
        backend.end_call(attempt_id, "internal")
        # 1 is the number of the notice that requested the call.
        assert harness.agent.receive() == ("forgo", attempt_id, "1")
        harness.agent.end_run(attempt_id, b"less")
        assert decode_message(next(read_frames(connection)))[3][0][1] == b"less"


@pytest.mark.parametrize("configured", [True, False])
def test_without_backend_task_with_call_is_answered_at_once(make_harness: Any, configured: bool) -> None:
    closed_backend = FakeBackend()
    closed_backend.close()
    harness = make_harness(
        settings=SETTINGS_WITH_CALLS, **({"backend": closed_backend.address} if configured else {})
    )
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        start_task_with_call(harness, connection, 1)
        assert set(decode_message(next(read_frames(connection)))[3]) == {2}
        assert exchange(connection, probe_call(2, False))[2][0][3] is True


def test_silent_backend_does_not_delay_answers(make_harness: Any, backend: FakeBackend) -> None:
    classes = [
        {**stage_class, "promise": 0.6, "deadline": 1.2} for stage_class in SETTINGS_WITH_CALLS["classes"]
    ]
    harness = make_harness(settings={**SETTINGS_WITH_CALLS, "classes": classes}, backend=backend.address)
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1, "order")
        assert backend.receive()[1] == attempt_id
        assert set(decode_message(next(read_frames(connection)))[3]) == {2}
        harness.agent.end_run(attempt_id, b"", "cut")
        while backend.receive() != ("cancel", attempt_id):
            pass
        connection.sendall(process_call(2, task_fields(2, lookup=None)))
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(connection)))[3]) == {0}


@pytest.mark.parametrize(
    "invalid_bytes", [b"", b"nonsense\r\n", b"x ok many\r\n", b"y" * 9000, b"z ok 99999999\r\n"]
)
def test_broken_backend_link_affects_only_its_calls(
    harness: ServerHarness, backend: FakeBackend, invalid_bytes: bytes
) -> None:
    with harness.server.connect() as connection:
        source = read_frames(connection)
        order_id = start_task_with_call(harness, connection, 1, "order")
        assert backend.receive()[1] == order_id
        read_id = start_task_with_call(harness, connection, 2)
        assert backend.receive()[1] == read_id
        assert backend.connection is not None
        if invalid_bytes:
            backend.connection.sendall(invalid_bytes)
        else:
            backend.drop()
        seq, fields = decode_message(next(source))[2:]
        assert (seq, set(fields)) == (1, {2})  # abandoned, as the back end may have run the call
        assert backend.receive()[1] == read_id  # the call is repeated on a new link
        backend.end_call(read_id, "ok", b"x")
        assert harness.agent.receive() == ("deliver", read_id, b"x")
        harness.agent.end_run(read_id, b"read")
        assert decode_message(next(source))[3][0][1] == b"read"
    assert backend.received.empty()


def test_redelivers_call_result_lost_with_agent_link(harness: ServerHarness, backend: FakeBackend) -> None:
    with harness.server.connect() as connection:
        lost_id, delivered_id = (
            start_task_with_call(harness, connection, 1),
            start_task_with_call(harness, connection, 2),
        )
        assert [backend.receive()[1], backend.receive()[1]] == [lost_id, delivered_id]
        backend.end_call(lost_id, "ok", b"x")
        backend.end_call(delivered_id, "ok", b"y")
        assert {harness.agent.receive()[1:], harness.agent.receive()[1:]} == {
            (lost_id, b"x"),
            (delivered_id, b"y"),
        }
        # One run went on to its second call and requests it over the new link; the other run sends nothing.
        harness.agent.send_notice(
            f"request {len(harness.agent.notices) + 1} {delivered_id} 4\r\nmore\r\n".encode(), send=False
        )
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 2)
        assert harness.agent.receive() == ("deliver", lost_id, b"x")
        assert backend.receive()[3] == b"more"
        backend.end_call(delivered_id, "ok", b"z")
        assert harness.agent.receive() == ("deliver", delivered_id, b"z")


def test_call_result_waits_while_agent_is_disconnected(harness: ServerHarness, backend: FakeBackend) -> None:
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1)
        assert backend.receive()[1] == attempt_id
        harness.agent.ready.clear()
        harness.agent.drop()
        assert harness.agent.receive() == ("subscribe", 1)
        backend.end_call(attempt_id, "ok", b"x")
        exchange(connection, probe_call(2, False))
        assert harness.agent.received.empty()
        harness.agent.ready.set()
        assert harness.agent.receive() == ("deliver", attempt_id, b"x")


def test_reload_moves_new_calls_and_keeps_pending_ones(harness: ServerHarness, backend: FakeBackend) -> None:
    new_backend, server = FakeBackend(), harness.server
    with server.connect() as connection:
        first_id = start_task_with_call(harness, connection, 1, "order")
        assert backend.receive()[1] == first_id
        server.reload_config(json.dumps(server.config | {"backend": new_backend.address}))
        server.wait_for_log("configuration read")
        second_id = start_task_with_call(harness, connection, 2, "order")
        assert new_backend.receive()[1] == second_id
        backend.end_call(first_id, "ok", b"x")
        assert harness.agent.receive() == ("deliver", first_id, b"x")
        new_backend.end_call(second_id, "ok", b"y")
        assert harness.agent.receive() == ("deliver", second_id, b"y")
    new_backend.close()


@pytest.mark.parametrize("cancel_is_late", [False, True])
def test_late_result_of_cancelled_call_is_not_taken_for_next_call(
    make_harness: Any, backend: FakeBackend, cancel_is_late: bool
) -> None:
    """The back end answers a cancelled call late, while the run's second call is pending on another link.

    Both calls have the same attempt id. The cancellation of the first call is sent over the old link and
    arrives before the second call or after it.
    """
    classes = [
        {**stage_class, "promise": 3.0, "deadline": 6.0} for stage_class in SETTINGS_WITH_CALLS["classes"]
    ]
    harness = make_harness(settings={**SETTINGS_WITH_CALLS, "classes": classes}, backend=backend.address)
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1)
        assert backend.receive()[1] == attempt_id
        old_connection = backend.connection
        if cancel_is_late:
            backend.accepts_cancels.clear()
        command = backend.receive()  # arrives once the first call had no answer for too long
        backend.accepts_cancels.set()
        assert {command[:2], backend.receive()[:2]} == {("cancel", attempt_id), ("invoke", attempt_id)}
        assert old_connection is not None
        assert backend.connection is not old_connection
        with suppress(OSError):  # the server may have closed the old link, as no call is pending on it
            old_connection.sendall(f"{attempt_id} ok 3\r\nold\r\n".encode())
        backend.end_call(attempt_id, "ok", b"new")
        assert harness.agent.receive() == ("deliver", attempt_id, b"new")


def test_drain_with_pending_call_ends_in_time(make_harness: Any, backend: FakeBackend) -> None:
    harness = make_harness(settings=SETTINGS_WITH_CALLS, backend=backend.address, stop_ms=1500)
    harness.wait_until_serving()
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1, "order")
        assert backend.receive()[1] == attempt_id
        harness.server.process.send_signal(signal.SIGTERM)
        answers = [decode_message(frame) for frame in read_frames(connection)]
        assert [seq for method, _, seq, _ in answers if method == "process"] == [1]
    assert harness.server.process.wait(20) == 0


def test_run_that_ends_during_call_cancels_the_call(harness: ServerHarness, backend: FakeBackend) -> None:
    with harness.server.connect() as connection:
        attempt_id = start_task_with_call(harness, connection, 1)
        assert backend.receive()[1] == attempt_id
        harness.agent.end_run(attempt_id, b"", "cut")
        assert backend.receive() == ("cancel", attempt_id)
        backend.end_call(attempt_id, "ok", b"late")
        connection.sendall(process_call(2, task_fields(2, lookup=None)))
        while (command := harness.agent.receive())[0] != "launch":
            assert command[0] != "deliver"
        harness.agent.end_run(command[1], b"read")
        while decode_message(next(read_frames(connection)))[2] != 2:
            pass
