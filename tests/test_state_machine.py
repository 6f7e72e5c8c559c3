"""Unit tests of the server's state machine without sockets: answers, runs and commands to the agent."""

from dataclasses import replace
from typing import Any

import pytest

from tests.host import BOOKING, LOOKUP, MachineHarness, task
from thistleline.interface import RunOutcome, TaskArrived
from thistleline.policy import MS, SECOND
from thistleline.state import limits
from thistleline.state.effects import (
    AnnounceAccepting,
    AnswerFinished,
    AnswerHealth,
    AnswerMisunderstood,
    CheckAgent,
    CloseConnection,
    DismissConnection,
    EndProcess,
    LogEvent,
    MeasureGauges,
    ReadConnection,
    StartRun,
    StopAccepting,
    StopRun,
)
from thistleline.state.events import (
    AgentGreeted,
    AgentLost,
    CommandDeclined,
    ConnectionEnded,
    ConnectionOpened,
    DeepCheckCompleted,
    GaugesMeasured,
    HealthCheckReceived,
    InputDrained,
    MalformedReceived,
    RemarkReceived,
    ShutdownRequested,
    TaskReceived,
    UnknownNotice,
)
from thistleline.state.limits import MAX_OPEN_TASKS

# ---- each task gets exactly one answer


def test_a_task_is_started_and_answered_once() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    assert desk.wait() == [StartRun(name, "lookup", b"body")]
    assert [replace(effect, load_hint=None) for effect in desk.end(name)] == [
        AnswerFinished(1, 1, b"result of t1", None)
    ]
    desk.end(name)
    desk.wait(5 * SECOND)
    assert desk.answers() == ["finished"]


@pytest.mark.parametrize("outcome", ["failed", "stopped", "moot"])
def test_a_run_without_a_result_is_answered_as_abandoned(outcome: RunOutcome) -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait()
    desk.end(name, outcome)
    assert desk.answers() == ["abandoned"]


def test_tasks_read_together_reach_the_policy_in_one_round(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = MachineHarness()
    rounds: list[list[type]] = []
    monkeypatch.setattr(
        desk.machine.policy,
        "round",
        lambda now, events, sink: rounds.append([type(event) for event in events]),
    )
    for connection in range(5):
        desk.send(connection)
    desk.wait(5 * MS)
    desk.send(1)
    assert [types.count(TaskArrived) for types in rounds] == [5]


@pytest.mark.parametrize(
    "fault", ["the agent is not up", "measurements are not answered", "the link is lost"]
)
def test_tasks_are_answered_before_their_timeout_without_the_agent(fault: str) -> None:
    desk = MachineHarness(agent_connected=fault != "the agent is not up")
    desk.answers_measurements = False
    sent_at = desk.now
    desk.send(1)
    desk.send(1, "key")
    if fault == "the link is lost":
        desk.wait()
        desk.handle(AgentLost("gone"))
    while len(desk.answers()) < 2:
        assert desk.now < sent_at + BOOKING.timeout
        desk.wait(25 * MS)
    assert "finished" not in desk.answers()


def test_a_run_stopped_after_its_latency_objective_is_answered_once() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait(LOOKUP.latency_objective + 100 * MS)
    assert desk.effects_of(StopRun) == [StopRun(name)]
    desk.end(name, "stopped")
    assert desk.answers() == ["abandoned"]


def test_an_attempt_id_that_is_already_in_progress_is_refused() -> None:
    desk = MachineHarness()
    desk.send(1, id="same")
    desk.send(2, id="same")
    assert [effect.connection for effect in desk.effects_of(AnswerMisunderstood)] == [2]
    desk.wait()
    desk.end("same")
    assert desk.answers() == ["finished"]


def test_an_arrival_time_in_the_future_counts_as_now() -> None:
    desk = MachineHarness()
    desk.send(1, arrived_at=desk.now + 5 * SECOND)
    desk.wait(LOOKUP.timeout)
    assert len(desk.answers()) == 1


@pytest.mark.parametrize("offset", [-3600 * SECOND, 3600 * SECOND])
def test_tasks_with_implausible_arrival_times_are_refused_and_not_counted_as_read_delay(offset: int) -> None:
    desk = MachineHarness()
    for index in range(100):
        desk.send(index % 8, arrived_at=desk.now + offset)
    desk.wait()
    assert len(desk.effects_of(AnswerMisunderstood)) == 100
    assert desk.machine.policy.state.detector.unread_wait(desk.machine.policy.now) == 0
    assert desk.launched() == []


def test_answers_carry_the_load_hint_once_it_is_published() -> None:
    desk = MachineHarness()
    assert desk.handle(HealthCheckReceived(1, 9, False)) == [AnswerHealth(1, 9, True, None)]
    desk.machine.decisions.publish_load_hint(0.25)
    assert desk.handle(HealthCheckReceived(1, 9, False)) == [AnswerHealth(1, 9, True, 0.25)]


# ---- no effect runs twice


def test_a_repeat_waits_for_the_run_and_later_ones_get_its_result() -> None:
    desk = MachineHarness()
    name = desk.send(1, "key")
    desk.wait()
    desk.send(2, "key", is_retry=True)
    desk.wait()
    assert desk.answers() == []
    desk.end(name)
    desk.wait()
    desk.send(3, "key", is_retry=True)
    desk.wait()
    answers = desk.effects_of(AnswerFinished)
    assert [effect.connection for effect in answers] == [1, 2, 3]
    assert {bytes(effect.result) for effect in answers} == {b"result of t1"}
    assert desk.launched() == [name]


def test_two_attempts_read_together_run_once() -> None:
    desk = MachineHarness()
    first, _ = desk.send(1, "key"), desk.send(2, "key", is_retry=True)
    desk.wait()
    desk.end(first)
    desk.wait()
    assert desk.launched() == [first]
    assert desk.answers() == ["finished", "finished"]


@pytest.mark.parametrize(("unread_for", "runs"), [(10 * SECOND, 1), (0, 2)])
def test_the_idempotency_window_is_compared_with_the_arrival_time_of_a_repeat(
    unread_for: int, runs: int
) -> None:
    """Both repeats are read 2 s after the window; the one that arrived within it gets the cached result."""
    desk = MachineHarness()
    name = desk.send(1, "key")
    desk.wait()
    desk.end(name)
    desk.wait(BOOKING.idempotency_window + 2 * SECOND)
    desk.send(2, "key", is_retry=True, arrived_at=desk.now - min(unread_for, 3 * SECOND))
    desk.wait()
    assert len(desk.launched()) == runs


def test_a_failed_effect_is_not_run_again_in_its_window() -> None:
    desk = MachineHarness()
    name = desk.send(1, "key")
    desk.wait()
    desk.end(name, "failed")
    desk.send(2, "key", is_retry=True)
    desk.wait()
    assert desk.launched() == [name]
    assert desk.answers() == ["abandoned", "abandoned"]


def test_a_known_key_with_another_body_gets_no_result_and_does_not_affect_the_original() -> None:
    desk = MachineHarness(cores=8)
    name, foreign = desk.send(1, "key"), desk.send(2, "key", b"another body", is_retry=True)
    desk.wait()
    assert desk.launched() == [name, foreign]
    desk.handle(CommandDeclined("start", foreign))
    desk.end(name)
    desk.wait()
    desk.send(3, "key", is_retry=True)
    desk.send(2, "key", b"another body", is_retry=True)
    desk.wait()
    assert [effect.connection for effect in desk.effects_of(AnswerFinished)] == [1, 3]
    assert desk.launched().count(name) == 1


def test_reusing_the_id_of_an_earlier_run_does_not_release_its_effect() -> None:
    """Guards against a second run: a declined start under a known id replaced the effect's entry, and a later
    repeat ran again."""
    desk = MachineHarness(cores=4)
    name = desk.send(1, "key")
    desk.wait()
    desk.end(name)
    desk.send(2, "key", b"another body", id=name, is_retry=True)
    desk.wait()
    desk.handle(CommandDeclined("start", name))
    desk.send(2, "another key", id=name)  # the agent would run it: it knows this id and body
    desk.wait()
    desk.send(1, "key", is_retry=True)
    desk.wait()
    assert desk.launched() == [name]
    assert desk.answers() == ["finished", "abandoned", "abandoned", "finished"]


def test_attempts_read_together_run_once_after_a_run_outlived_its_window() -> None:
    desk = MachineHarness(cores=4)
    first = desk.send(1, "key")
    desk.wait(30 * SECOND)
    second, _ = desk.send(1, "key"), desk.send(2, "key", is_retry=True)
    desk.wait()
    assert desk.launched() == [first, second]


@pytest.mark.parametrize("end", ["declined", "moot"])
def test_an_effect_that_never_ran_is_not_remembered(end: str) -> None:
    """Keeps effects that the agent refused or doesn't know out of the idempotency table."""
    desk = MachineHarness()
    name = desk.send(1, "key")
    desk.wait()
    if end == "declined":
        desk.handle(CommandDeclined("start", name))
    else:
        desk.end(name, "moot")
    desk.wait()
    assert (desk.machine.idempotency.by_key, desk.machine.policy.state.idempotency.remembered) == ({}, {})
    again = desk.send(1, "key", is_retry=True)
    desk.wait()
    assert desk.launched() == [name, again]


def test_cached_results_are_bounded_and_their_keys_are_kept() -> None:
    desk = MachineHarness(results_bound=30)
    for index in range(4):
        name = desk.send(1, f"key{index}")
        desk.wait()
        desk.end(name)
    desk.wait()
    assert desk.machine.idempotency.result_bytes <= 30
    desk.send(1, "key0", is_retry=True)
    desk.wait()
    assert len(desk.launched()) == 4
    assert desk.answers() == ["finished"] * 4 + ["abandoned"]


def test_the_run_of_an_ended_connection_answers_repeats() -> None:
    desk = MachineHarness()
    name = desk.send(1, "key")
    desk.wait()
    desk.handle(ConnectionEnded(1, "reset"))
    desk.send(2, "key", is_retry=True)
    desk.wait()
    desk.end(name)
    assert desk.launched() == [name]
    assert [effect.connection for effect in desk.effects_of(AnswerFinished)] == [2]


def test_a_task_whose_connection_ended_before_the_round_never_starts() -> None:
    desk = MachineHarness()
    desk.send(1)
    desk.send(1, "key")
    desk.handle(ConnectionEnded(1, ""))
    other = desk.send(2, "key")
    desk.wait()
    assert desk.launched() == [other]


def test_attempts_read_together_run_once_when_one_connection_ends() -> None:
    desk = MachineHarness(cores=8)
    first, _ = desk.send(1, "key"), desk.send(2, "key", is_retry=True)
    desk.handle(ConnectionEnded(2, "reset"))
    desk.send(3, "key", is_retry=True)
    desk.wait()
    assert desk.launched() == [first]


def test_reads_of_one_subject_share_a_run_until_the_cached_result_expires() -> None:
    desk = MachineHarness(cached_result_ttl=2 * SECOND)

    def read(connection: int) -> str:
        name = f"r{len(desk.machine.context.figures)}-{connection}"
        desk.handle(ConnectionOpened(connection))
        sent = task(name, desk.now, user=77)
        desk.handle(TaskReceived(connection, 1, sent, "77", memoryview(b"")))
        desk.wait()
        return name

    first = read(1)
    read(2)
    desk.end(first)
    desk.wait()
    read(3)
    assert desk.launched() == [first]
    assert desk.answers() == ["finished"] * 3
    desk.wait(3 * SECOND)
    read(4)
    assert len(desk.launched()) == 2


# ---- the link to the agent


def test_a_new_link_restarts_idempotent_and_unsent_runs_whose_start_may_be_lost() -> None:
    """A start sent just before the link ended may be lost; one confirmed by a measurement has arrived. Runs
    that ended meanwhile are reported in the repeated notices."""
    desk = MachineHarness(cores=8)
    confirmed = desk.send(1)
    desk.wait(50 * MS)
    desk.answers_measurements = False
    unconfirmed, booking = desk.send(1), desk.send(1, "key")
    desk.wait()
    desk.handle(AgentLost("reset"))
    unsent = desk.send(2, "other")
    desk.wait()
    assert desk.launched() == [confirmed, unconfirmed, booking]
    desk.effects.clear()
    desk.answers_measurements = True
    desk.handle(AgentGreeted(False, 61 * SECOND))
    assert sorted(desk.launched()) == sorted([unconfirmed, unsent])


@pytest.mark.parametrize("end_reported", [True, False])
def test_a_keyed_run_whose_start_may_be_lost_is_not_started_again(end_reported: bool) -> None:
    """A second start that crosses the notice of the first run's end would run the effect twice. If no end is
    reported within the wait, the run's capacity is freed, and it and its repeats are abandoned."""
    desk = MachineHarness()
    desk.answers_measurements = False
    name = desk.send(1, "key")
    desk.wait()
    desk.handle(AgentLost("reset"))
    desk.answers_measurements = True
    desk.handle(AgentGreeted(False, 61 * SECOND))
    if end_reported:
        desk.wait(100 * MS)
        desk.end(name)
    desk.wait(BOOKING.latency_objective // 2 + 300 * MS)
    desk.send(2, "key", is_retry=True)
    desk.wait()
    assert desk.launched() == [name]
    assert desk.answers() == (["finished"] if end_reported else ["abandoned"]) * 2
    assert (desk.machine.runs, desk.machine.policy.running) == ({}, 0)


def test_a_stop_is_repeated_on_a_new_link() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait(LOOKUP.latency_objective + 100 * MS)
    desk.handle(AgentLost("reset"))
    desk.effects.clear()
    desk.handle(AgentGreeted(False, 61 * SECOND))
    assert desk.effects_of(StartRun, StopRun) == [StopRun(name)]


def test_missed_notices_are_read_before_runs_are_restarted() -> None:
    desk = MachineHarness()
    desk.answers_measurements = False
    name = desk.send(1, "key")
    desk.wait()
    desk.handle(AgentLost("reset"))
    desk.effects.clear()
    desk.handle(AgentGreeted(False, 61 * SECOND))
    tag = desk.effects_of(MeasureGauges)[-1].tag
    desk.end(name, number=5)
    desk.end(name, number=5)
    desk.handle(GaugesMeasured(tag, [0.5, 2.0]))
    desk.wait()
    assert desk.launched() == []
    assert desk.answers() == ["finished"]
    assert desk.machine.session.last_notice == 5


def test_a_run_given_up_while_the_link_is_down_is_never_started() -> None:
    desk = MachineHarness()
    desk.handle(AgentLost("reset"))
    desk.send(1)
    desk.wait(LOOKUP.timeout)
    desk.handle(AgentGreeted(False, 99 * SECOND))
    desk.wait(100 * MS)
    assert desk.launched() == []
    assert len(desk.answers()) == 1


@pytest.mark.parametrize(
    "notice",
    [
        CommandDeclined("start", "t1"),
        RemarkReceived(3),
        UnknownNotice("hello"),
        CommandDeclined("measure", "1"),
    ],
)
def test_unexpected_notices_of_the_agent_do_not_affect_a_run(notice: Any) -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait()
    desk.handle(notice)
    desk.end(name, number=9)
    desk.wait(SECOND)
    assert len(desk.answers()) == 1


@pytest.mark.parametrize(
    ("cold_start", "uptime", "max_running"), [(True, 0, 3), (True, 30 * SECOND, 8), (False, SECOND, 8)]
)
def test_the_greeting_sets_whether_the_machine_is_cold(
    cold_start: bool, uptime: int, max_running: int
) -> None:
    desk = MachineHarness(agent_connected=False)
    desk.wait(SECOND)
    desk.handle(AgentGreeted(cold_start, uptime))
    concurrency = desk.machine.policy.state.concurrency
    concurrency.limit = 99.0
    assert concurrency.max_running(desk.machine.policy.now) == max_running


def test_health_is_bad_before_the_agent_is_up_and_deep_checks_reach_it() -> None:
    desk = MachineHarness(agent_connected=False)
    desk.handle(ConnectionOpened(1))
    assert desk.handle(HealthCheckReceived(1, 1, True)) == [AnswerHealth(1, 1, False, None)]
    desk.handle(AgentGreeted(False, 0))
    desk.machine.decisions.set_health(True, False)
    assert desk.handle(HealthCheckReceived(1, 2, True)) == [CheckAgent("check-1-2")]
    assert desk.handle(DeepCheckCompleted("check-1-2", True)) == [AnswerHealth(1, 2, True, None)]
    desk.handle(HealthCheckReceived(1, 3, True))
    assert desk.handle(AgentLost("reset")) == [AnswerHealth(1, 3, False, None)]
    desk.handle(AgentGreeted(False, 0))
    desk.handle(HealthCheckReceived(1, 4, True))
    answers = [effect for effect in desk.wait(2 * SECOND) if isinstance(effect, AnswerHealth)]
    assert (1, 4, False) in [(effect.connection, effect.seq, effect.healthy) for effect in answers]


# ---- connections


def test_a_full_connection_is_not_read_until_something_on_it_is_answered() -> None:
    desk = MachineHarness(memory_kb=1e9)
    names = [desk.send(1) for _ in range(MAX_OPEN_TASKS)]
    assert desk.machine.connections.by_number[1].read_paused
    desk.wait()
    before = len(desk.effects_of(ReadConnection))
    desk.end(names[0])
    assert len(desk.effects_of(ReadConnection)) == before + 1


def test_above_the_connection_limit_an_idle_connection_is_closed() -> None:
    desk = MachineHarness(connections=3)
    for connection in (1, 2, 3):
        desk.send(connection)
        desk.wait()
    desk.end("t2")
    desk.wait()
    desk.handle(ConnectionOpened(4))
    assert desk.effects_of(CloseConnection) == [CloseConnection(2)]
    assert set(desk.machine.connections.by_number) == {1, 3, 4}


def test_a_flood_of_silent_connections_evicts_no_active_connection() -> None:
    desk = MachineHarness(connections=4)
    for connection in (1, 2, 3, 1, 2, 3):
        name = desk.send(connection)
        desk.wait()
        desk.end(name)
    for connection in range(10, 20):
        desk.handle(ConnectionOpened(connection))
        desk.handle(InputDrained(connection))
    assert set(desk.machine.connections.by_number) == {1, 2, 3, 19}


def test_connections_with_a_single_message_are_evicted_before_others() -> None:
    desk = MachineHarness(connections=5)
    for connection in (1, 1, 2, 2, *range(10, 20)):
        name = desk.send(connection)
        desk.wait()
        desk.end(name)
    assert set(desk.machine.connections.by_number) == {1, 2, 17, 18, 19}


def test_new_connections_are_not_evicted_before_their_first_message_can_be_read() -> None:
    desk = MachineHarness(connections=5)
    for connection in range(5):
        desk.handle(ConnectionOpened(connection))
        desk.handle(HealthCheckReceived(connection, 1, False))
    for connection in (10, 11, 12):
        desk.handle(ConnectionOpened(connection))
    assert [effect.connection for effect in desk.effects_of(CloseConnection)] == [0, 1, 2]
    desk.now += limits.UNREAD_GRACE
    desk.handle(ConnectionOpened(13))
    assert [effect.connection for effect in desk.effects_of(CloseConnection)] == [0, 1, 2, 10]


def test_diagnostics_show_the_policy_load_next_to_the_gauges() -> None:
    desk = MachineHarness()
    names = [desk.send(1) for _ in range(3)]
    desk.wait()
    shown = desk.machine.diagnostics()
    assert shown["believed"] == [3, 2, 3 * 10 + 2 * 150]
    assert (shown["gauged"]["on_cores"], shown["gauged"]["age_ms"] <= 25) == (2.0, True)
    for name in names:
        desk.wait()
        desk.end(name)
    desk.wait()
    assert desk.machine.diagnostics()["believed"] == [0, 0, 0]


def test_a_connection_without_a_complete_message_is_closed() -> None:
    desk = MachineHarness()
    for connection in (1, 2, 3):
        desk.handle(ConnectionOpened(connection))
    desk.handle(HealthCheckReceived(3, 1, False))
    end = desk.now + limits.FIRST_MESSAGE_TIMEOUT + limits.SWEEP_INTERVAL
    while desk.now < end:
        desk.handle(InputDrained(2))
        desk.wait(100 * MS)
    assert [effect.connection for effect in desk.effects_of(CloseConnection)] == [1, 2]


@pytest.mark.parametrize("violation", ["malformed", "already in progress", "declined"])
def test_a_connection_with_too_many_violations_is_not_read_and_closed_once_idle(violation: str) -> None:
    desk = MachineHarness(cores=64)
    name, other = desk.send(1), desk.send(2)
    for _ in range(limits.MAX_VIOLATIONS):
        if violation == "malformed":
            desk.handle(MalformedReceived(1, 9, b"process", "not strict binary"))
        elif violation == "already in progress":
            desk.send(1, id=other)
        else:
            declined = desk.send(1)
            desk.wait()
            desk.handle(CommandDeclined("start", declined))
    desk.effects.clear()
    desk.handle(InputDrained(1))
    desk.wait(limits.SWEEP_INTERVAL)
    assert desk.effects_of(ReadConnection, CloseConnection) == []
    desk.end(name)
    desk.end(other)
    desk.wait(limits.SWEEP_INTERVAL)
    assert desk.effects_of(ReadConnection, CloseConnection) == [CloseConnection(1)]
    assert desk.answers()[-2:] == ["finished", "finished"]


def test_malformed_messages_are_all_counted_and_logged_once_a_second() -> None:
    desk = MachineHarness()
    for connection in range(100):
        desk.handle(ConnectionOpened(connection))
        desk.handle(MalformedReceived(connection, None, None, "not strict binary"))
        desk.now += 20 * MS
    lines = [effect for effect in desk.effects_of(LogEvent) if effect.event == "malformed"]
    assert len(lines) == 2
    assert desk.machine.context.figures["malformed"] == 100


def test_idle_connections_are_dismissed_before_they_are_closed() -> None:
    desk = MachineHarness()
    desk.handle(ConnectionOpened(1))
    busy = desk.send(2)
    desk.wait()
    desk.machine.decisions.set_idle_timeout(SECOND)
    effects = desk.wait(2 * SECOND)
    assert effects[:2] == [DismissConnection(1), CloseConnection(1)]
    assert CloseConnection(2) not in effects
    desk.end(busy)


@pytest.mark.parametrize("seq", [7, None])
def test_a_malformed_message_affects_only_its_own_connection(seq: int | None) -> None:
    desk = MachineHarness()
    other, _ = desk.send(1), desk.send(2)
    effects = desk.handle(MalformedReceived(2, seq, b"process", "not strict binary"))
    assert effects == [
        CloseConnection(2) if seq is None else AnswerMisunderstood(2, 7, b"process", "not strict binary")
    ]
    desk.wait()
    desk.end(other)
    assert 1 in [effect.connection for effect in desk.effects_of(AnswerFinished)]


# ---- draining


def test_draining_answers_all_tasks_before_the_stop_and_ends() -> None:
    desk = MachineHarness(memory_kb=1e9, cores=64)
    for index in range(40):
        desk.send(index % 4, f"key{index}" if index % 2 else None)
    desk.wait()
    stop_at = desk.now + 3 * SECOND
    assert desk.handle(ShutdownRequested(stop_at)) == [AnnounceAccepting(False)]
    assert desk.handle(ShutdownRequested(stop_at + SECOND)) == []
    desk.wait(SECOND)
    assert desk.effects_of(StopAccepting, DismissConnection) == []
    before_closing = desk.send(5)
    desk.wait(900 * MS)
    assert [type(effect) for effect in desk.effects_of(StopAccepting, DismissConnection)] == [
        StopAccepting
    ] + [DismissConnection] * 5
    after_closing = desk.send(6)
    assert DismissConnection(6) in desk.effects
    desk.wait(2 * SECOND)
    assert len(desk.answers()) == 42
    assert (before_closing in desk.launched(), after_closing in desk.launched()) == (True, False)
    assert desk.lifecycle.phase == "ended"
    assert desk.now < stop_at


def test_draining_without_open_tasks_ends_at_once() -> None:
    desk = MachineHarness(agent_connected=False)
    stop_at = desk.now + 3 * SECOND
    desk.handle(ShutdownRequested(stop_at))
    desk.wait(limits.SWEEP_INTERVAL)
    assert desk.effects_of(EndProcess) == [EndProcess(stop_at - limits.EXIT_MARGIN * 2 // 3)]


def test_draining_closes_a_connection_that_its_client_keeps_open() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait()
    stop_at = desk.now + 3 * SECOND
    desk.handle(ShutdownRequested(stop_at))
    desk.end(name)
    desk.wait(1800 * MS + limits.DISMISSAL_GRACE + 2 * limits.SWEEP_INTERVAL)
    assert desk.effects_of(CloseConnection, EndProcess) == [
        CloseConnection(1),
        EndProcess(stop_at - limits.EXIT_MARGIN * 2 // 3),
    ]
