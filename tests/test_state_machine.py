"""Stories told to the state machine without a socket: what is owed, what ran, and what the agent was told."""

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

# ---- a task gets its one answer


def test_a_task_is_launched_and_answered_once() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    assert desk.wait() == [StartRun(name, "lookup", b"body")]
    assert [replace(effect, load_hint=None) for effect in desk.end(name)] == [
        AnswerFinished(1, 1, b"result of t1", None)
    ]
    desk.end(name)
    desk.wait(5 * SECOND)
    assert desk.answers() == ["finished"]


@pytest.mark.parametrize("how", ["failed", "stopped", "moot"])
def test_a_run_that_ends_badly_is_answered(how: RunOutcome) -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait()
    desk.end(name, how)
    assert desk.answers() == ["abandoned"]


def test_all_that_lies_read_goes_to_the_module_in_one_round(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = MachineHarness()
    rounds: list[list[type]] = []
    monkeypatch.setattr(
        desk.machine.policy,
        "round",
        lambda now, came_in, out: rounds.append([type(event) for event in came_in]),
    )
    for connection in range(5):
        desk.send(connection)
    desk.wait(5 * MS)
    desk.send(1)
    assert [came_in.count(TaskArrived) for came_in in rounds] == [5]


@pytest.mark.parametrize("late", ["the agent is not up", "the samples are not answered", "the link is lost"])
def test_time_limits_hold_without_the_agent(late: str) -> None:
    desk = MachineHarness(agent_connected=late != "the agent is not up")
    desk.answers_measurements = False
    sent = desk.now
    desk.send(1)
    desk.send(1, "mark")
    if late == "the link is lost":
        desk.wait()
        desk.handle(AgentLost("gone"))
    while len(desk.answers()) < 2:
        assert desk.now < sent + BOOKING.timeout
        desk.wait(25 * MS)
    assert "finished" not in desk.answers()


def test_a_run_stopped_at_its_due_time_is_answered_once() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait(LOOKUP.latency_objective + 100 * MS)
    assert desk.effects_of(StopRun) == [StopRun(name)]
    desk.end(name, "stopped")
    assert desk.answers() == ["abandoned"]


def test_a_try_that_is_in_hand_already_is_no_second_task() -> None:
    desk = MachineHarness()
    desk.send(1, id="same")
    desk.send(2, id="same")
    assert [effect.connection for effect in desk.effects_of(AnswerMisunderstood)] == [2]
    desk.wait()
    desk.end("same")
    assert desk.answers() == ["finished"]


def test_a_time_from_the_future_counts_as_now() -> None:
    desk = MachineHarness()
    desk.send(1, arrived_at=desk.now + 5 * SECOND)
    desk.wait(LOOKUP.timeout)
    assert len(desk.answers()) == 1


@pytest.mark.parametrize("ahead", [-3600 * SECOND, 3600 * SECOND])
def test_what_came_at_no_likely_time_is_no_jam_of_reading(ahead: int) -> None:
    desk = MachineHarness()
    for place in range(100):
        desk.send(place % 8, arrived_at=desk.now + ahead)
    desk.wait()
    assert len(desk.effects_of(AnswerMisunderstood)) == 100
    assert desk.machine.policy.state.detector.unread_wait(desk.machine.policy.now) == 0
    assert desk.launched() == []


def test_answers_carry_the_level_from_when_it_was_said() -> None:
    desk = MachineHarness()
    assert desk.handle(HealthCheckReceived(1, 9, False)) == [AnswerHealth(1, 9, True, None)]
    desk.machine.decisions.publish_load_hint(0.25)
    assert desk.handle(HealthCheckReceived(1, 9, False)) == [AnswerHealth(1, 9, True, 0.25)]


# ---- no effect twice


def test_a_repeat_waits_for_the_run_and_later_ones_get_its_result() -> None:
    desk = MachineHarness()
    name = desk.send(1, "mark")
    desk.wait()
    desk.send(2, "mark", is_retry=True)
    desk.wait()
    assert desk.answers() == []
    desk.end(name)
    desk.wait()
    desk.send(3, "mark", is_retry=True)
    desk.wait()
    told = desk.effects_of(AnswerFinished)
    assert [effect.connection for effect in told] == [1, 2, 3]
    assert {bytes(effect.result) for effect in told} == {b"result of t1"}
    assert desk.launched() == [name]


def test_two_tries_read_at_once_run_once() -> None:
    desk = MachineHarness()
    first, _ = desk.send(1, "mark"), desk.send(2, "mark", is_retry=True)
    desk.wait()
    desk.end(first)
    desk.wait()
    assert desk.launched() == [first]
    assert desk.answers() == ["finished", "finished"]


@pytest.mark.parametrize(("lain", "runs"), [(10 * SECOND, 1), (0, 2)])
def test_the_window_counts_to_when_a_repeat_came_not_to_when_it_was_read(lain: int, runs: int) -> None:
    """Read two seconds past the window; the one that came in time is answered from what ran."""
    desk = MachineHarness()
    name = desk.send(1, "mark")
    desk.wait()
    desk.end(name)
    desk.wait(BOOKING.idempotency_window + 2 * SECOND)
    desk.send(2, "mark", is_retry=True, arrived_at=desk.now - min(lain, 3 * SECOND))
    desk.wait()
    assert len(desk.launched()) == runs


def test_a_failed_effect_is_not_run_again_in_its_window() -> None:
    desk = MachineHarness()
    name = desk.send(1, "mark")
    desk.wait()
    desk.end(name, "failed")
    desk.send(2, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [name]
    assert desk.answers() == ["abandoned", "abandoned"]


def test_a_stranger_with_a_known_mark_gets_no_result_and_harms_no_rightful_try() -> None:
    desk = MachineHarness(cores=8)
    name, strange = desk.send(1, "mark"), desk.send(2, "mark", b"another body", is_retry=True)
    desk.wait()
    assert desk.launched() == [name, strange]
    desk.handle(CommandDeclined("start", strange))
    desk.end(name)
    desk.wait()
    desk.send(3, "mark", is_retry=True)
    desk.send(2, "mark", b"another body", is_retry=True)
    desk.wait()
    assert [effect.connection for effect in desk.effects_of(AnswerFinished)] == [1, 3]
    assert desk.launched().count(name) == 1


def test_a_stranger_under_the_id_of_what_ran_unbinds_nothing() -> None:
    """Seen on a day of bad clients: the declined stranger took the effect's place, and a repeat ran again."""
    desk = MachineHarness(cores=4)
    name = desk.send(1, "mark")
    desk.wait()
    desk.end(name)
    desk.send(2, "mark", b"another body", id=name, is_retry=True)
    desk.wait()
    desk.handle(CommandDeclined("start", name))
    desk.send(2, "another mark", id=name)  # id and body are known to the agent: it would run
    desk.wait()
    desk.send(1, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [name]
    assert desk.answers() == ["finished", "abandoned", "abandoned", "finished"]


def test_tries_that_come_together_after_a_run_outlived_its_window_run_once() -> None:
    desk = MachineHarness(cores=4)
    first = desk.send(1, "mark")
    desk.wait(30 * SECOND)
    second, _ = desk.send(1, "mark"), desk.send(2, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [first, second]


@pytest.mark.parametrize("how", ["declined", "moot"])
def test_an_effect_that_never_ran_is_not_remembered(how: str) -> None:
    """Guards the table of what ran against all that the agent does not know."""
    desk = MachineHarness()
    name = desk.send(1, "mark")
    desk.wait()
    if how == "declined":
        desk.handle(CommandDeclined("start", name))
    else:
        desk.end(name, "moot")
    desk.wait()
    assert (desk.machine.idempotency.by_key, desk.machine.policy.state.idempotency.remembered) == ({}, {})
    again = desk.send(1, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [name, again]


def test_results_are_bounded_and_their_effects_stay_known() -> None:
    desk = MachineHarness(results_bound=30)
    for place in range(4):
        name = desk.send(1, f"mark{place}")
        desk.wait()
        desk.end(name)
    desk.wait()
    assert desk.machine.idempotency.result_bytes <= 30
    desk.send(1, "mark0", is_retry=True)
    desk.wait()
    assert len(desk.launched()) == 4
    assert desk.answers() == ["finished"] * 4 + ["abandoned"]


def test_a_connection_that_ends_lets_its_tasks_go_but_not_their_effects() -> None:
    desk = MachineHarness()
    name = desk.send(1, "mark")
    desk.wait()
    desk.handle(ConnectionEnded(1, "reset"))
    desk.send(2, "mark", is_retry=True)
    desk.wait()
    desk.end(name)
    assert desk.launched() == [name]
    assert [effect.connection for effect in desk.effects_of(AnswerFinished)] == [2]


def test_a_task_whose_connection_ended_before_the_round_never_starts() -> None:
    desk = MachineHarness()
    desk.send(1)
    desk.send(1, "mark")
    desk.handle(ConnectionEnded(1, ""))
    other = desk.send(2, "mark")
    desk.wait()
    assert desk.launched() == [other]


def test_tries_read_at_once_run_once_though_one_of_them_is_let_go() -> None:
    desk = MachineHarness(cores=8)
    first, _ = desk.send(1, "mark"), desk.send(2, "mark", is_retry=True)
    desk.handle(ConnectionEnded(2, "reset"))
    desk.send(3, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [first]


def test_reads_of_one_subject_share_a_run_while_it_is_fresh() -> None:
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


# ---- the agent's link


def test_after_a_lost_link_what_may_run_twice_and_may_not_have_arrived_is_launched_again() -> None:
    """A launch that crossed the end of the link may be lost; one that a sample confirmed runs. What ended
    meanwhile comes with the replay."""
    desk = MachineHarness(cores=8)
    sure = desk.send(1)
    desk.wait(50 * MS)
    desk.answers_measurements = False
    unsure, booking = desk.send(1), desk.send(1, "mark")
    desk.wait()
    desk.handle(AgentLost("reset"))
    away = desk.send(2, "other")
    desk.wait()
    assert desk.launched() == [sure, unsure, booking]
    desk.effects.clear()
    desk.answers_measurements = True
    desk.handle(AgentGreeted(False, 61 * SECOND))
    assert sorted(desk.launched()) == sorted([unsure, away])


@pytest.mark.parametrize("told", [True, False])
def test_an_effect_that_may_have_been_launched_is_not_launched_again(told: bool) -> None:
    """A second start that crosses the end of the first would run it twice. If its end is not told in a while
    its room is given back, it is abandoned, and its repeats with it."""
    desk = MachineHarness()
    desk.answers_measurements = False
    name = desk.send(1, "mark")
    desk.wait()
    desk.handle(AgentLost("reset"))
    desk.answers_measurements = True
    desk.handle(AgentGreeted(False, 61 * SECOND))
    if told:
        desk.wait(100 * MS)
        desk.end(name)
    desk.wait(BOOKING.latency_objective // 2 + 300 * MS)
    desk.send(2, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [name]
    assert desk.answers() == (["finished"] if told else ["abandoned"]) * 2
    assert (desk.machine.runs, desk.machine.policy.running) == ({}, 0)


def test_a_stop_lost_with_the_link_is_told_again() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait(LOOKUP.latency_objective + 100 * MS)
    desk.handle(AgentLost("reset"))
    desk.effects.clear()
    desk.handle(AgentGreeted(False, 61 * SECOND))
    assert desk.effects_of(StartRun, StopRun) == [StopRun(name)]


def test_the_replay_is_read_before_anything_is_launched_again() -> None:
    desk = MachineHarness()
    desk.answers_measurements = False
    name = desk.send(1, "mark")
    desk.wait()
    desk.handle(AgentLost("reset"))
    desk.effects.clear()
    desk.handle(AgentGreeted(False, 61 * SECOND))
    mark = desk.effects_of(MeasureGauges)[-1].tag
    desk.end(name, number=5)
    desk.end(name, number=5)
    desk.handle(GaugesMeasured(mark, [0.5, 2.0]))
    desk.wait()
    assert desk.launched() == []
    assert desk.answers() == ["finished"]
    assert desk.machine.session.last_notice == 5


def test_a_run_given_up_while_the_link_is_down_is_never_launched() -> None:
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
def test_what_the_agent_says_beside_is_taken_calmly(notice: Any) -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait()
    desk.handle(notice)
    desk.end(name, number=9)
    desk.wait(SECOND)
    assert len(desk.answers()) == 1


@pytest.mark.parametrize(("fresh", "age", "room"), [(True, 0, 3), (True, 30 * SECOND, 8), (False, SECOND, 8)])
def test_the_greeting_tells_whether_the_machine_is_cold(fresh: bool, age: int, room: int) -> None:
    desk = MachineHarness(agent_connected=False)
    desk.wait(SECOND)
    desk.handle(AgentGreeted(fresh, age))
    concurrency = desk.machine.policy.state.concurrency
    concurrency.limit = 99.0
    assert concurrency.max_running(desk.machine.policy.now) == room


def test_no_health_before_the_agent_and_a_deep_check_asks_it() -> None:
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
    health = [effect for effect in desk.wait(2 * SECOND) if isinstance(effect, AnswerHealth)]
    assert (1, 4, False) in [(effect.connection, effect.seq, effect.healthy) for effect in health]


# ---- connections


def test_a_full_connection_is_not_read_until_something_on_it_is_answered() -> None:
    desk = MachineHarness(memory_kb=1e9)
    names = [desk.send(1) for _ in range(MAX_OPEN_TASKS)]
    assert desk.machine.connections.by_number[1].stalled
    desk.wait()
    before = len(desk.effects_of(ReadConnection))
    desk.end(names[0])
    assert len(desk.effects_of(ReadConnection)) == before + 1


def test_past_the_descriptors_an_idle_connection_gives_way() -> None:
    desk = MachineHarness(connections=3)
    for connection in (1, 2, 3):
        desk.send(connection)
        desk.wait()
    desk.end("t2")
    desk.wait()
    desk.handle(ConnectionOpened(4))
    assert desk.effects_of(CloseConnection) == [CloseConnection(2)]
    assert set(desk.machine.connections.by_number) == {1, 3, 4}


def test_a_flood_of_silent_connections_costs_no_other_its_place() -> None:
    desk = MachineHarness(connections=4)
    for connection in (1, 2, 3, 1, 2, 3):
        name = desk.send(connection)
        desk.wait()
        desk.end(name)
    for connection in range(10, 20):
        desk.handle(ConnectionOpened(connection))
        desk.handle(InputDrained(connection))
    assert set(desk.machine.connections.by_number) == {1, 2, 3, 19}


def test_a_crowd_that_asks_once_and_stays_costs_no_client_stub_its_connection() -> None:
    desk = MachineHarness(connections=5)
    for connection in (1, 1, 2, 2, *range(10, 20)):
        name = desk.send(connection)
        desk.wait()
        desk.end(name)
    assert set(desk.machine.connections.by_number) == {1, 2, 17, 18, 19}


def test_a_burst_of_newcomers_is_read_before_any_of_it_gives_way() -> None:
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


def test_what_the_module_believes_is_told_beside_what_the_agent_said() -> None:
    desk = MachineHarness()
    names = [desk.send(1) for _ in range(3)]
    desk.wait()
    told = desk.machine.believed()
    assert told["believed"] == [3, 2, 3 * 10 + 2 * 150]
    assert (told["gauged"]["on_cores"], told["gauged"]["age_ms"] <= 25) == (2.0, True)
    for name in names:
        desk.wait()
        desk.end(name)
    desk.wait()
    assert desk.machine.believed()["believed"] == [0, 0, 0]


def test_a_connection_that_never_carries_a_whole_message_is_closed() -> None:
    desk = MachineHarness()
    for connection in (1, 2, 3):
        desk.handle(ConnectionOpened(connection))
    desk.handle(HealthCheckReceived(3, 1, False))
    end = desk.now + limits.FIRST_MESSAGE_TIMEOUT + limits.SWEEP_INTERVAL
    while desk.now < end:
        desk.handle(InputDrained(2))
        desk.wait(100 * MS)
    assert [effect.connection for effect in desk.effects_of(CloseConnection)] == [1, 2]


@pytest.mark.parametrize("offence", ["malformed", "in hand already", "declined"])
def test_who_goes_on_offending_is_read_no_more_and_closed_once_nothing_is_open(offence: str) -> None:
    desk = MachineHarness(cores=64)
    name, other = desk.send(1), desk.send(2)
    for _ in range(limits.MAX_OFFENCES):
        if offence == "malformed":
            desk.handle(MalformedReceived(1, 9, b"process", "not strict binary"))
        elif offence == "in hand already":
            desk.send(1, id=other)
        else:
            strange = desk.send(1)
            desk.wait()
            desk.handle(CommandDeclined("start", strange))
    desk.effects.clear()
    desk.handle(InputDrained(1))
    desk.wait(limits.SWEEP_INTERVAL)
    assert desk.effects_of(ReadConnection, CloseConnection) == []
    desk.end(name)
    desk.end(other)
    desk.wait(limits.SWEEP_INTERVAL)
    assert desk.effects_of(ReadConnection, CloseConnection) == [CloseConnection(1)]
    assert desk.answers()[-2:] == ["finished", "finished"]


def test_a_flood_of_nonsense_is_counted_and_told_once_a_second() -> None:
    desk = MachineHarness()
    for place in range(100):
        desk.handle(ConnectionOpened(place))
        desk.handle(MalformedReceived(place, None, None, "not strict binary"))
        desk.now += 20 * MS
    lines = [effect for effect in desk.effects_of(LogEvent) if effect.event == "malformed"]
    assert len(lines) == 2
    assert desk.machine.context.figures["malformed"] == 100


def test_idle_connections_are_told_before_they_are_closed() -> None:
    desk = MachineHarness()
    desk.handle(ConnectionOpened(1))
    busy = desk.send(2)
    desk.wait()
    desk.machine.decisions.set_idle_timeout(SECOND)
    told = desk.wait(2 * SECOND)
    assert told[:2] == [DismissConnection(1), CloseConnection(1)]
    assert CloseConnection(2) not in told
    desk.end(busy)


@pytest.mark.parametrize("seq", [7, None])
def test_what_is_malformed_harms_its_own_connection_at_most(seq: int | None) -> None:
    desk = MachineHarness()
    other, _ = desk.send(1), desk.send(2)
    told = desk.handle(MalformedReceived(2, seq, b"process", "not strict binary"))
    assert told == [
        CloseConnection(2) if seq is None else AnswerMisunderstood(2, 7, b"process", "not strict binary")
    ]
    desk.wait()
    desk.end(other)
    assert 1 in [effect.connection for effect in desk.effects_of(AnswerFinished)]


# ---- leaving


def test_leaving_answers_all_in_time_and_ends() -> None:
    desk = MachineHarness(memory_kb=1e9, cores=64)
    for place in range(40):
        desk.send(place % 4, f"mark{place}" if place % 2 else None)
    desk.wait()
    by = desk.now + 3 * SECOND
    assert desk.handle(ShutdownRequested(by)) == [AnnounceAccepting(False)]
    assert desk.handle(ShutdownRequested(by + SECOND)) == []
    desk.wait(SECOND)
    assert desk.effects_of(StopAccepting, DismissConnection) == []
    still = desk.send(5)
    desk.wait(900 * MS)
    assert [type(effect) for effect in desk.effects_of(StopAccepting, DismissConnection)] == [
        StopAccepting
    ] + [DismissConnection] * 5
    late = desk.send(6)
    assert DismissConnection(6) in desk.effects
    desk.wait(2 * SECOND)
    assert len(desk.answers()) == 42
    assert (still in desk.launched(), late in desk.launched()) == (True, False)
    assert desk.lifecycle.phase == "ended"
    assert desk.now < by


def test_leaving_with_nothing_owed_ends_at_once() -> None:
    desk = MachineHarness(agent_connected=False)
    by = desk.now + 3 * SECOND
    desk.handle(ShutdownRequested(by))
    desk.wait(limits.SWEEP_INTERVAL)
    assert desk.effects_of(EndProcess) == [EndProcess(by - limits.EXIT_MARGIN * 2 // 3)]


def test_a_client_that_does_not_close_is_not_waited_for() -> None:
    desk = MachineHarness()
    name = desk.send(1)
    desk.wait()
    by = desk.now + 3 * SECOND
    desk.handle(ShutdownRequested(by))
    desk.end(name)
    desk.wait(1800 * MS + limits.DISMISSAL_GRACE + 2 * limits.SWEEP_INTERVAL)
    assert desk.effects_of(CloseConnection, EndProcess) == [
        CloseConnection(1),
        EndProcess(by - limits.EXIT_MARGIN * 2 // 3),
    ]
