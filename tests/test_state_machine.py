"""Unit tests of the server's state machine without sockets: answers, runs and commands to the agent."""

from dataclasses import replace
from typing import Any

import pytest

from tests.host import BOOKING, LOOKUP, MachineHarness, task
from thistleline.interface import RunOutcome, TaskArrived
from thistleline.policy import MS, SECOND
from thistleline.policy.admission import Admission
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


def _fail(*_: Any) -> None:
    raise RuntimeError("fault injected by the test")


# ---- each task gets exactly one answer


def test_a_task_is_started_and_answered_once() -> None:
    harness = MachineHarness()
    name = harness.send(1)
    assert harness.wait() == [StartRun(name, "lookup", b"body")]
    assert [replace(effect, load_hint=None) for effect in harness.end(name)] == [
        AnswerFinished(1, 1, b"result of t1", None)
    ]
    harness.end(name)
    harness.wait(5 * SECOND)
    assert harness.answers() == ["finished"]


@pytest.mark.parametrize("outcome", ["failed", "stopped", "moot"])
def test_a_run_without_a_result_is_answered_as_abandoned(outcome: RunOutcome) -> None:
    harness = MachineHarness()
    name = harness.send(1)
    harness.wait()
    harness.end(name, outcome)
    assert harness.answers() == ["abandoned"]


def test_tasks_read_together_reach_the_policy_in_one_round(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = MachineHarness()
    rounds: list[list[type]] = []
    monkeypatch.setattr(
        harness.machine.policy,
        "round",
        lambda now, events, sink: rounds.append([type(event) for event in events]),
    )
    for connection in range(5):
        harness.send(connection)
    harness.wait(5 * MS)
    harness.send(1)
    assert [types.count(TaskArrived) for types in rounds] == [5]


@pytest.mark.parametrize(
    "fault", ["the agent is not up", "measurements are not answered", "the link is lost"]
)
def test_tasks_are_answered_before_their_timeout_without_the_agent(fault: str) -> None:
    harness = MachineHarness(agent_connected=fault != "the agent is not up")
    harness.answers_measurements = False
    sent_at = harness.now
    harness.send(1)
    harness.send(1, "key")
    if fault == "the link is lost":
        harness.wait()
        harness.handle(AgentLost("gone"))
    while len(harness.answers()) < 2:
        assert harness.now < sent_at + BOOKING.timeout
        harness.wait(25 * MS)
    assert "finished" not in harness.answers()


def test_a_run_stopped_after_its_latency_objective_is_answered_once() -> None:
    harness = MachineHarness()
    name = harness.send(1)
    harness.wait(LOOKUP.latency_objective + 100 * MS)
    assert harness.effects_of(StopRun) == [StopRun(name)]
    harness.end(name, "stopped")
    assert harness.answers() == ["abandoned"]


def test_an_attempt_id_that_is_already_in_progress_is_refused() -> None:
    harness = MachineHarness()
    harness.send(1, id="same")
    harness.send(2, id="same")
    assert [effect.connection for effect in harness.effects_of(AnswerMisunderstood)] == [2]
    harness.wait()
    harness.end("same")
    assert harness.answers() == ["finished"]


def test_an_arrival_time_in_the_future_counts_as_now() -> None:
    harness = MachineHarness()
    harness.send(1, arrived_at=harness.now + 5 * SECOND)
    harness.wait(LOOKUP.timeout)
    assert len(harness.answers()) == 1


@pytest.mark.parametrize("offset", [-3600 * SECOND, 3600 * SECOND])
def test_tasks_with_implausible_arrival_times_are_refused_and_not_counted_as_read_delay(offset: int) -> None:
    harness = MachineHarness()
    for index in range(100):
        harness.send(index % 8, arrived_at=harness.now + offset)
    harness.wait()
    assert len(harness.effects_of(AnswerMisunderstood)) == 100
    assert harness.machine.policy.state.detector.unread_wait(harness.machine.policy.now) == 0
    assert harness.launched() == []


def test_answers_carry_the_load_hint_once_it_is_published() -> None:
    harness = MachineHarness()
    assert harness.handle(HealthCheckReceived(1, 9, False)) == [AnswerHealth(1, 9, True, None)]
    harness.machine.decisions.publish_load_hint(0.25)
    assert harness.handle(HealthCheckReceived(1, 9, False)) == [AnswerHealth(1, 9, True, 0.25)]


# ---- no task with an idempotency key runs twice


def test_a_repeat_waits_for_the_run_and_later_ones_get_its_result() -> None:
    harness = MachineHarness()
    name = harness.send(1, "key")
    harness.wait()
    harness.send(2, "key", is_retry=True)
    harness.wait()
    assert harness.answers() == []
    harness.end(name)
    harness.wait()
    harness.send(3, "key", is_retry=True)
    harness.wait()
    answers = harness.effects_of(AnswerFinished)
    assert [effect.connection for effect in answers] == [1, 2, 3]
    assert {bytes(effect.result) for effect in answers} == {b"result of t1"}
    assert harness.launched() == [name]


def test_two_attempts_read_together_run_once() -> None:
    harness = MachineHarness()
    first, _ = harness.send(1, "key"), harness.send(2, "key", is_retry=True)
    harness.wait()
    harness.end(first)
    harness.wait()
    assert harness.launched() == [first]
    assert harness.answers() == ["finished", "finished"]


@pytest.mark.parametrize(("unread_for", "runs"), [(10 * SECOND, 1), (0, 2)])
def test_the_idempotency_window_is_compared_with_the_arrival_time_of_a_repeat(
    unread_for: int, runs: int
) -> None:
    """Both repeats are read 2 s after the key's window; the repeat that arrived within the window gets the
    cached result."""
    harness = MachineHarness()
    name = harness.send(1, "key")
    harness.wait()
    harness.end(name)
    harness.wait(BOOKING.idempotency_window + 2 * SECOND)
    harness.send(2, "key", is_retry=True, arrived_at=harness.now - min(unread_for, 3 * SECOND))
    harness.wait()
    assert len(harness.launched()) == runs


def test_a_failed_effect_is_not_run_again_in_its_window() -> None:
    harness = MachineHarness()
    name = harness.send(1, "key")
    harness.wait()
    harness.end(name, "failed")
    harness.send(2, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [name]
    assert harness.answers() == ["abandoned", "abandoned"]


def test_a_known_key_with_another_body_gets_no_result_and_does_not_affect_the_original() -> None:
    harness = MachineHarness(cores=8)
    name, foreign = harness.send(1, "key"), harness.send(2, "key", b"another body", is_retry=True)
    harness.wait()
    assert harness.launched() == [name, foreign]
    harness.handle(CommandDeclined("start", foreign))
    harness.end(name)
    harness.wait()
    harness.send(3, "key", is_retry=True)
    harness.send(2, "key", b"another body", is_retry=True)
    harness.wait()
    assert [effect.connection for effect in harness.effects_of(AnswerFinished)] == [1, 3]
    assert harness.launched().count(name) == 1


def test_reusing_the_id_of_an_earlier_run_does_not_release_its_effect() -> None:
    """Guards against a second run: a start that the agent declined, under the id of an earlier run, replaced
    the table entry of that run, and a later repeat ran again."""
    harness = MachineHarness(cores=4)
    name = harness.send(1, "key")
    harness.wait()
    harness.end(name)
    harness.send(2, "key", b"another body", id=name, is_retry=True)
    harness.wait()
    harness.handle(CommandDeclined("start", name))
    harness.send(2, "another key", id=name)  # the agent would run it: it knows this id and body
    harness.wait()
    harness.send(1, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [name]
    assert harness.answers() == ["finished", "abandoned", "abandoned", "finished"]


def test_attempts_read_together_run_once_after_a_run_outlived_its_window() -> None:
    harness = MachineHarness(cores=4)
    first = harness.send(1, "key")
    harness.wait(30 * SECOND)
    second, _ = harness.send(1, "key"), harness.send(2, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [first, second]


@pytest.mark.parametrize("end", ["declined", "moot"])
def test_an_effect_that_never_ran_is_not_remembered(end: str) -> None:
    """The idempotency table must not keep the key of a run that the agent declined or doesn't know."""
    harness = MachineHarness()
    name = harness.send(1, "key")
    harness.wait()
    if end == "declined":
        harness.handle(CommandDeclined("start", name))
    else:
        harness.end(name, "moot")
    harness.wait()
    assert (harness.machine.idempotency.by_key, harness.machine.policy.state.idempotency.remembered) == (
        {},
        {},
    )
    again = harness.send(1, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [name, again]


def test_cached_results_are_bounded_and_their_keys_are_kept() -> None:
    harness = MachineHarness(results_bound=30)
    for index in range(4):
        name = harness.send(1, f"key{index}")
        harness.wait()
        harness.end(name)
    harness.wait()
    assert harness.machine.idempotency.result_bytes <= 30
    harness.send(1, "key0", is_retry=True)
    harness.wait()
    assert len(harness.launched()) == 4
    assert harness.answers() == ["finished"] * 4 + ["abandoned"]


def test_the_run_of_an_ended_connection_answers_repeats() -> None:
    harness = MachineHarness()
    name = harness.send(1, "key")
    harness.wait()
    harness.handle(ConnectionEnded(1, "reset"))
    harness.send(2, "key", is_retry=True)
    harness.wait()
    harness.end(name)
    assert harness.launched() == [name]
    assert [effect.connection for effect in harness.effects_of(AnswerFinished)] == [2]


def test_a_task_whose_connection_ended_before_the_round_never_starts() -> None:
    harness = MachineHarness()
    harness.send(1)
    harness.send(1, "key")
    harness.handle(ConnectionEnded(1, ""))
    other = harness.send(2, "key")
    harness.wait()
    assert harness.launched() == [other]


def test_a_task_abandoned_before_its_round_does_not_stop_the_round(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a round that is lost with all its tasks because one of them was answered before it."""
    harness = MachineHarness()
    with monkeypatch.context() as context:
        context.setattr(Admission, "process", _fail)
        harness.send(1)
        harness.wait()  # from now on the state machine abandons tasks shortly before their deadlines
    harness.wait(MS)  # so that rounds do not coincide with sweeps
    count = limits.SWEEP_INTERVAL // MS
    for _ in range(count):  # one of them is read between a round and the sweep of overdue tasks
        harness.send(2, arrived_at=harness.now - LOOKUP.timeout + 100 * MS)
        harness.wait(MS)
    last = harness.send(3)
    harness.wait()
    assert harness.launched() == [last]
    assert len(harness.answers()) == 1 + count


def test_attempts_read_together_run_once_when_one_connection_ends() -> None:
    harness = MachineHarness(cores=8)
    first, _ = harness.send(1, "key"), harness.send(2, "key", is_retry=True)
    harness.handle(ConnectionEnded(2, "reset"))
    harness.send(3, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [first]


def test_reads_of_one_subject_share_a_run_until_the_cached_result_expires() -> None:
    harness = MachineHarness(cached_result_ttl=2 * SECOND)

    def read(connection: int) -> str:
        name = f"r{len(harness.machine.context.figures)}-{connection}"
        harness.handle(ConnectionOpened(connection))
        sent = task(name, harness.now, user=77)
        harness.handle(TaskReceived(connection, 1, sent, "77", memoryview(b"")))
        harness.wait()
        return name

    first = read(1)
    read(2)
    harness.end(first)
    harness.wait()
    read(3)
    assert harness.launched() == [first]
    assert harness.answers() == ["finished"] * 3
    harness.wait(3 * SECOND)
    read(4)
    assert len(harness.launched()) == 2


# ---- the link to the agent


def test_a_new_link_restarts_idempotent_and_unsent_runs_whose_start_may_be_lost() -> None:
    """The start of a run that was sent just before the link to the agent ended may be lost. If the agent has
    answered a measurement requested after the start, the start has arrived. On a new link the agent sends its
    notices of the runs that ended meanwhile again."""
    harness = MachineHarness(cores=8)
    confirmed = harness.send(1)
    harness.wait(50 * MS)
    harness.answers_measurements = False
    unconfirmed, booking = harness.send(1), harness.send(1, "key")
    harness.wait()
    harness.handle(AgentLost("reset"))
    unsent = harness.send(2, "other")
    harness.wait()
    assert harness.launched() == [confirmed, unconfirmed, booking]
    harness.effects.clear()
    harness.answers_measurements = True
    harness.handle(AgentGreeted(False, 61 * SECOND))
    assert sorted(harness.launched()) == sorted([unconfirmed, unsent])


@pytest.mark.parametrize("end_reported", [True, False])
def test_a_keyed_run_whose_start_may_be_lost_is_not_started_again(end_reported: bool) -> None:
    """A second start that crosses the notice of the first run's end would run the task twice. If no end is
    reported within the wait, the run's capacity is freed, and the task and its repeats are abandoned."""
    harness = MachineHarness()
    harness.answers_measurements = False
    name = harness.send(1, "key")
    harness.wait()
    harness.handle(AgentLost("reset"))
    harness.answers_measurements = True
    harness.handle(AgentGreeted(False, 61 * SECOND))
    if end_reported:
        harness.wait(100 * MS)
        harness.end(name)
    harness.wait(BOOKING.latency_objective // 2 + 300 * MS)
    harness.send(2, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [name]
    assert harness.answers() == (["finished"] if end_reported else ["abandoned"]) * 2
    assert (harness.machine.runs, harness.machine.policy.running) == ({}, 0)


def test_a_stop_is_repeated_on_a_new_link() -> None:
    harness = MachineHarness()
    name = harness.send(1)
    harness.wait(LOOKUP.latency_objective + 100 * MS)
    harness.handle(AgentLost("reset"))
    harness.effects.clear()
    harness.handle(AgentGreeted(False, 61 * SECOND))
    assert harness.effects_of(StartRun, StopRun) == [StopRun(name)]


def test_missed_notices_are_read_before_runs_are_restarted() -> None:
    harness = MachineHarness()
    harness.answers_measurements = False
    name = harness.send(1, "key")
    harness.wait()
    harness.handle(AgentLost("reset"))
    harness.effects.clear()
    harness.handle(AgentGreeted(False, 61 * SECOND))
    tag = harness.effects_of(MeasureGauges)[-1].tag
    harness.end(name, number=5)
    harness.end(name, number=5)
    harness.handle(GaugesMeasured(tag, [0.5, 2.0]))
    harness.wait()
    assert harness.launched() == []
    assert harness.answers() == ["finished"]
    assert harness.machine.session.last_notice == 5


def test_a_run_given_up_while_the_link_is_down_is_never_started() -> None:
    harness = MachineHarness()
    harness.handle(AgentLost("reset"))
    harness.send(1)
    harness.wait(LOOKUP.timeout)
    harness.handle(AgentGreeted(False, 99 * SECOND))
    harness.wait(100 * MS)
    assert harness.launched() == []
    assert len(harness.answers()) == 1


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
    harness = MachineHarness()
    name = harness.send(1)
    harness.wait()
    harness.handle(notice)
    harness.end(name, number=9)
    harness.wait(SECOND)
    assert len(harness.answers()) == 1


@pytest.mark.parametrize(
    ("cold_start", "uptime", "max_running"), [(True, 0, 3), (True, 30 * SECOND, 8), (False, SECOND, 8)]
)
def test_the_greeting_sets_whether_the_machine_is_cold(
    cold_start: bool, uptime: int, max_running: int
) -> None:
    harness = MachineHarness(agent_connected=False)
    harness.wait(SECOND)
    harness.handle(AgentGreeted(cold_start, uptime))
    concurrency = harness.machine.policy.state.concurrency
    concurrency.limit = 99.0
    assert concurrency.max_running(harness.machine.policy.now) == max_running


def test_health_is_bad_before_the_agent_is_up_and_deep_checks_reach_it() -> None:
    harness = MachineHarness(agent_connected=False)
    harness.handle(ConnectionOpened(1))
    assert harness.handle(HealthCheckReceived(1, 1, True)) == [AnswerHealth(1, 1, False, None)]
    harness.handle(AgentGreeted(False, 0))
    harness.machine.decisions.set_health(True, False)
    assert harness.handle(HealthCheckReceived(1, 2, True)) == [CheckAgent("check-1-2")]
    assert harness.handle(DeepCheckCompleted("check-1-2", True)) == [AnswerHealth(1, 2, True, None)]
    harness.handle(HealthCheckReceived(1, 3, True))
    assert harness.handle(AgentLost("reset")) == [AnswerHealth(1, 3, False, None)]
    harness.handle(AgentGreeted(False, 0))
    harness.handle(HealthCheckReceived(1, 4, True))
    answers = [effect for effect in harness.wait(2 * SECOND) if isinstance(effect, AnswerHealth)]
    assert (1, 4, False) in [(effect.connection, effect.seq, effect.healthy) for effect in answers]


# ---- connections


def test_a_full_connection_is_not_read_until_something_on_it_is_answered() -> None:
    harness = MachineHarness(memory_kb=1e9)
    names = [harness.send(1) for _ in range(MAX_OPEN_TASKS)]
    assert harness.machine.connections.by_number[1].read_paused
    harness.wait()
    before = len(harness.effects_of(ReadConnection))
    harness.end(names[0])
    assert len(harness.effects_of(ReadConnection)) == before + 1


def test_above_the_connection_limit_an_idle_connection_is_closed() -> None:
    harness = MachineHarness(connections=3)
    for connection in (1, 2, 3):
        harness.send(connection)
        harness.wait()
    harness.end("t2")
    harness.wait()
    harness.handle(ConnectionOpened(4))
    assert harness.effects_of(CloseConnection) == [CloseConnection(2)]
    assert set(harness.machine.connections.by_number) == {1, 3, 4}


def test_a_flood_of_silent_connections_evicts_no_active_connection() -> None:
    harness = MachineHarness(connections=4)
    for connection in (1, 2, 3, 1, 2, 3):
        name = harness.send(connection)
        harness.wait()
        harness.end(name)
    for connection in range(10, 20):
        harness.handle(ConnectionOpened(connection))
        harness.handle(InputDrained(connection))
    assert set(harness.machine.connections.by_number) == {1, 2, 3, 19}


def test_connections_with_a_single_message_are_evicted_before_others() -> None:
    harness = MachineHarness(connections=5)
    for connection in (1, 1, 2, 2, *range(10, 20)):
        name = harness.send(connection)
        harness.wait()
        harness.end(name)
    assert set(harness.machine.connections.by_number) == {1, 2, 17, 18, 19}


def test_new_connections_are_not_evicted_before_their_first_message_can_be_read() -> None:
    harness = MachineHarness(connections=5)
    for connection in range(5):
        harness.handle(ConnectionOpened(connection))
        harness.handle(HealthCheckReceived(connection, 1, False))
    for connection in (10, 11, 12):
        harness.handle(ConnectionOpened(connection))
    assert [effect.connection for effect in harness.effects_of(CloseConnection)] == [0, 1, 2]
    harness.now += limits.UNREAD_GRACE
    harness.handle(ConnectionOpened(13))
    assert [effect.connection for effect in harness.effects_of(CloseConnection)] == [0, 1, 2, 10]


def test_diagnostics_show_the_policy_load_next_to_the_gauges() -> None:
    harness = MachineHarness()
    names = [harness.send(1) for _ in range(3)]
    harness.wait()
    shown = harness.machine.diagnostics()
    assert shown["believed"] == [3, 2, 3 * 10 + 2 * 150]
    assert (shown["gauged"]["on_cores"], shown["gauged"]["age_ms"] <= 25) == (2.0, True)
    for name in names:
        harness.wait()
        harness.end(name)
    harness.wait()
    assert harness.machine.diagnostics()["believed"] == [0, 0, 0]


def test_a_connection_without_a_complete_message_is_closed() -> None:
    harness = MachineHarness()
    for connection in (1, 2, 3):
        harness.handle(ConnectionOpened(connection))
    harness.handle(HealthCheckReceived(3, 1, False))
    end = harness.now + limits.FIRST_MESSAGE_TIMEOUT + limits.SWEEP_INTERVAL
    while harness.now < end:
        harness.handle(InputDrained(2))
        harness.wait(100 * MS)
    assert [effect.connection for effect in harness.effects_of(CloseConnection)] == [1, 2]


@pytest.mark.parametrize("violation", ["malformed", "already in progress", "declined"])
def test_a_connection_with_too_many_violations_is_not_read_and_closed_once_idle(violation: str) -> None:
    harness = MachineHarness(cores=64)
    name, other = harness.send(1), harness.send(2)
    for _ in range(limits.MAX_VIOLATIONS):
        if violation == "malformed":
            harness.handle(MalformedReceived(1, 9, b"process", "not strict binary"))
        elif violation == "already in progress":
            harness.send(1, id=other)
        else:
            declined = harness.send(1)
            harness.wait()
            harness.handle(CommandDeclined("start", declined))
    harness.effects.clear()
    harness.handle(InputDrained(1))
    harness.wait(limits.SWEEP_INTERVAL)
    assert harness.effects_of(ReadConnection, CloseConnection) == []
    harness.end(name)
    harness.end(other)
    harness.wait(limits.SWEEP_INTERVAL)
    assert harness.effects_of(ReadConnection, CloseConnection) == [CloseConnection(1)]
    assert harness.answers()[-2:] == ["finished", "finished"]


def test_malformed_messages_are_all_counted_and_logged_once_a_second() -> None:
    harness = MachineHarness()
    for connection in range(100):
        harness.handle(ConnectionOpened(connection))
        harness.handle(MalformedReceived(connection, None, None, "not strict binary"))
        harness.now += 20 * MS
    lines = [effect for effect in harness.effects_of(LogEvent) if effect.event == "malformed"]
    assert len(lines) == 2
    assert harness.machine.context.figures["malformed"] == 100


def test_idle_connections_are_dismissed_before_they_are_closed() -> None:
    harness = MachineHarness()
    harness.handle(ConnectionOpened(1))
    busy = harness.send(2)
    harness.wait()
    harness.machine.decisions.set_idle_timeout(SECOND)
    effects = harness.wait(2 * SECOND)
    assert effects[:2] == [DismissConnection(1), CloseConnection(1)]
    assert CloseConnection(2) not in effects
    harness.end(busy)


@pytest.mark.parametrize("seq", [7, None])
def test_a_malformed_message_affects_only_its_own_connection(seq: int | None) -> None:
    harness = MachineHarness()
    other, _ = harness.send(1), harness.send(2)
    effects = harness.handle(MalformedReceived(2, seq, b"process", "not strict binary"))
    assert effects == [
        CloseConnection(2) if seq is None else AnswerMisunderstood(2, 7, b"process", "not strict binary")
    ]
    harness.wait()
    harness.end(other)
    assert 1 in [effect.connection for effect in harness.effects_of(AnswerFinished)]


# ---- draining


def test_draining_answers_all_tasks_before_the_stop_and_ends() -> None:
    harness = MachineHarness(memory_kb=1e9, cores=64)
    for index in range(40):
        harness.send(index % 4, f"key{index}" if index % 2 else None)
    harness.wait()
    stop_at = harness.now + 3 * SECOND
    assert harness.handle(ShutdownRequested(stop_at)) == [AnnounceAccepting(False)]
    assert harness.handle(ShutdownRequested(stop_at + SECOND)) == []
    harness.wait(SECOND)
    assert harness.effects_of(StopAccepting, DismissConnection) == []
    before_closing = harness.send(5)
    harness.wait(900 * MS)
    assert [type(effect) for effect in harness.effects_of(StopAccepting, DismissConnection)] == [
        StopAccepting
    ] + [DismissConnection] * 5
    after_closing = harness.send(6)
    assert DismissConnection(6) in harness.effects
    harness.wait(2 * SECOND)
    assert len(harness.answers()) == 42
    assert (before_closing in harness.launched(), after_closing in harness.launched()) == (True, False)
    assert harness.lifecycle.phase == "ended"
    assert harness.now < stop_at


def test_draining_without_open_tasks_ends_at_once() -> None:
    harness = MachineHarness(agent_connected=False)
    stop_at = harness.now + 3 * SECOND
    harness.handle(ShutdownRequested(stop_at))
    harness.wait(limits.SWEEP_INTERVAL)
    assert harness.effects_of(EndProcess) == [EndProcess(stop_at - limits.EXIT_MARGIN * 2 // 3)]


def test_draining_closes_a_connection_that_its_client_keeps_open() -> None:
    harness = MachineHarness()
    name = harness.send(1)
    harness.wait()
    stop_at = harness.now + 3 * SECOND
    harness.handle(ShutdownRequested(stop_at))
    harness.end(name)
    harness.wait(1800 * MS + limits.DISMISSAL_GRACE + 2 * limits.SWEEP_INTERVAL)
    assert harness.effects_of(CloseConnection, EndProcess) == [
        CloseConnection(1),
        EndProcess(stop_at - limits.EXIT_MARGIN * 2 // 3),
    ]
