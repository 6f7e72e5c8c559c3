"""Tests of the policy and of the bench adapter, without the bench."""

import io
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.host import BOOKING, LOOKUP, ORDER, FakePolicyHost, stage, tenants
from thistleline.bench_adapter.adapter import main
from thistleline.bench_adapter.sink import format_seconds
from thistleline.interface import (
    CallEnded,
    CallOutcome,
    CallRequested,
    ClientGone,
    DrainRequested,
    PolicyEvent,
    RunEnded,
    TimerFired,
)
from thistleline.policy import BUCKETS, MS, SECOND
from thistleline.wire.durations import parse_seconds

FINAL = {"reject", "abandon"}


def occupy_cores(host: FakePolicyHost, count: int = 2) -> list[str]:
    """Start tasks that do not end; return their ids."""
    tasks = [host.task(queued_memory_kb=1.0) for _ in range(count)]
    host.read(*tasks)
    return [task.id for task in tasks]


# ---- every task is answered


@pytest.mark.parametrize("limit", [None, 3 * SECOND])
def test_run_past_its_deadline_is_answered_and_stopped(limit: int | None) -> None:
    host = FakePolicyHost((replace(LOOKUP, late_utility_share=0.2),))
    task = host.task(deadline=host.now + limit if limit else None)
    host.read(task)
    host.wait((limit or LOOKUP.timeout) - 100 * MS)
    assert host.decisions_for(task) == ["start"]
    host.wait(100 * MS)
    assert host.decisions_for(task) == ["start", "abandon", "stop"]


def test_run_without_late_utility_is_stopped_at_its_due_time() -> None:
    host = FakePolicyHost()
    lookup, booking = host.task(0), host.task(1)
    host.read(lookup, booking)
    host.wait(LOOKUP.latency_objective + 50 * MS)
    assert host.decisions_for(lookup) == ["start", "abandon", "stop"]
    host.wait(SECOND)
    assert host.decisions_for(booking) == ["remember_key", "start"]


def test_runs_stopped_after_their_due_time_raise_the_run_time_estimate() -> None:
    host = FakePolicyHost()
    for _ in range(12):
        short = host.task(estimated_work=None)
        host.read(short)
        host.round(RunEnded(short.id, "finished", 50 * MS))
    for _ in range(16):
        task = host.task(estimated_work=None, arrived_at=host.now - LOOKUP.latency_objective + 100 * MS)
        host.read(task)
        host.wait(100 * MS)
        host.round(RunEnded(task.id, "stopped", 100 * MS))
    host.read(host.task(estimated_work=None))
    late = host.task(estimated_work=None, arrived_at=host.now - LOOKUP.latency_objective + 100 * MS)
    host.read(late)
    assert host.decisions_for(late) == ["reject"]


@pytest.mark.parametrize("is_marked", [False, True])
def test_retry_age_is_derived_from_an_unusual_timeout(is_marked: bool) -> None:
    host = FakePolicyHost(propagates_deadline=True)
    for _ in range(40):
        usual = host.task(deadline=host.now + 3 * SECOND)
        host.read(usual)
        host.round(RunEnded(usual.id, "finished", 100 * MS))
    host.policy.state.rate_cap.cap = None if is_marked else 1.0
    young, old = (
        host.task(is_retry=is_marked, deadline=host.now + timeout) for timeout in (3 * SECOND, 2 * SECOND)
    )
    host.read(young, old)
    assert host.decisions_for(young) == ["start"]
    assert host.decisions_for(old) == ["reject"]


def test_age_of_a_marked_retry_is_derived_from_recent_rejections() -> None:
    host = FakePolicyHost()
    host.read(*(host.task(arrived_at=host.now - 5 * SECOND) for _ in range(3)))
    occupy_cores(host)
    first, retry = host.task(), host.task(is_retry=True)
    host.read(first, retry)
    assert host.decisions_for(first) == []
    assert host.decisions_for(retry) == ["reject"]


def test_queued_task_that_cannot_meet_its_due_time_is_rejected() -> None:
    host = FakePolicyHost()
    occupy_cores(host)
    task = host.task()
    host.read(task)
    host.wait(LOOKUP.latency_objective + 50 * MS)
    assert host.decisions_for(task) == ["reject"]


def test_task_read_after_its_deadline_is_rejected_in_the_same_round() -> None:
    host = FakePolicyHost()
    task = host.task(arrived_at=host.now - 5 * SECOND)
    assert host.read(task)[0][:2] == ("reject", task.id)


def test_queued_task_of_a_gone_client_gets_no_answer() -> None:
    host = FakePolicyHost()
    occupy_cores(host)
    task = host.task()
    host.read(task)
    host.round(ClientGone(task.id))
    host.wait(5 * SECOND)
    assert host.decisions_for(task) == []


def test_running_lookup_of_a_gone_client_is_stopped() -> None:
    host = FakePolicyHost()
    task = host.task()
    host.read(task)
    host.round(ClientGone(task.id))
    assert host.decisions_for(task) == ["start", "stop"]


# ---- tasks with an idempotency key run at most once


def test_two_attempts_in_one_round_run_once() -> None:
    host = FakePolicyHost()
    first = host.task(1)
    duplicate = host.task(1, duplicate_of=first.id)
    host.read(first, duplicate)
    assert host.decisions_for(first) == ["remember_key", "start"]
    assert host.decisions_for(duplicate) == ["replay_result"]


def test_duplicate_of_a_failed_run_is_replayed_and_neither_run_nor_rejected() -> None:
    host = FakePolicyHost()
    first = host.task(1)
    host.read(first)
    host.round(RunEnded(first.id, "failed", 100 * MS))
    duplicate = host.task(1, duplicate_of=first.id)
    host.policy.state.shedder.cutoff = 10 * BUCKETS
    host.read(duplicate)
    host.wait(8 * SECOND)
    assert host.decisions_for(duplicate)[0] == "replay_result"
    assert not {"start", "reject"} & set(host.decisions_for(duplicate))


def test_next_attempt_runs_when_the_client_of_the_queued_one_is_gone() -> None:
    host = FakePolicyHost()
    running = occupy_cores(host)
    first = host.task(1)
    second = host.task(1, duplicate_of=first.id)
    third = host.task(1, duplicate_of=first.id)
    host.read(first, second, third)
    host.round(ClientGone(first.id))
    assert host.decisions_for(second) == ["remember_key"]
    host.round(RunEnded(running[0], "finished", 100 * MS))
    assert host.decisions_for(second) == ["remember_key", "start"]
    assert host.decisions_for(third) == ["replay_result"]


def test_duplicate_of_a_rejected_task_may_run() -> None:
    host = FakePolicyHost()
    first = host.task(1, arrived_at=host.now - 7 * SECOND)
    host.read(first)
    assert host.decisions_for(first) == ["reject"]
    duplicate = host.task(1, duplicate_of=first.id)
    host.read(duplicate)
    assert host.decisions_for(duplicate) == ["remember_key", "start"]


def test_key_is_remembered_for_the_window_from_arrival() -> None:
    host = FakePolicyHost()
    task = host.task(1, arrived_at=host.now - SECOND)
    host.read(task)
    duration = next(said[2] for said in host.decisions if said[0] == "remember_key")
    assert duration >= BOOKING.idempotency_window - SECOND


def test_running_booking_of_a_gone_client_is_not_stopped() -> None:
    host = FakePolicyHost()
    task = host.task(1)
    host.read(task)
    host.round(ClientGone(task.id))
    assert "stop" not in host.decisions_for(task)


@pytest.mark.parametrize(
    ("outcome", "fate"),
    [
        ("rejected", "start_call"),
        ("unreachable", "start_call"),
        ("timed_out", "abandon"),
        ("failed", "abandon"),
    ],
)
def test_call_with_an_effect_is_repeated_only_if_it_never_ran(outcome: CallOutcome, fate: str) -> None:
    host = FakePolicyHost((ORDER,), downstream="tier")
    task = host.task()
    host.read(task)
    host.round(CallRequested(task.id))
    host.round(CallEnded(task.id, outcome, 10 * MS))
    assert host.decisions_for(task) == ["start", "start_call", fate]


def test_short_calls_leave_quota_for_the_next() -> None:
    """Each call uses 200 ms of a quota of 3.5 s per window of 5 s, so every task gets its call."""
    calling = stage(
        calls=True, utility_share_without_call=0.3, latency_objective=12 * SECOND, timeout=20 * SECOND
    )
    host = FakePolicyHost((calling,), downstream="shared", downstream_quota=0.7)
    tasks = [host.task() for _ in range(5)]
    for task in tasks:
        host.read(task)
        host.round(CallRequested(task.id))
        host.wait(200 * MS)
        host.round(CallEnded(task.id, "finished", 200 * MS))
        host.round(RunEnded(task.id, "finished", 300 * MS))
        host.wait(SECOND)
    assert [host.decisions_for(task)[:2] for task in tasks] == [["start", "start_call"]] * 5


class FakeDependency:
    """A dependency that records the start and end of every call."""

    def __init__(self, host: FakePolicyHost) -> None:
        self.host = host
        self.calls: list[tuple[int, int]] = []  # start and end, ns
        self.pending: list[tuple[int, str, CallOutcome, int]] = []  # end, task id, outcome, duration; ns

    def start_calls(self, said: list[tuple[object, ...]], call_time: int) -> None:
        now = self.host.now
        for decision, task_id, *arguments in said:
            if decision == "start_call" and isinstance(arguments[0], int):
                duration = min(call_time, arguments[0])
                is_late = call_time > arguments[0]
                self.calls.append((now, now + duration + self.host.settings.downstream_linger * is_late))
                self.pending.append(
                    (now + duration, str(task_id), "timed_out" if is_late else "finished", duration)
                )

    def max_concurrency(self) -> float:
        """Return the highest mean number of concurrent calls over a quota window."""
        window, highest = self.host.settings.downstream_quota_window, 0.0
        for _, window_end in self.calls:
            within = (
                max(0, min(end, window_end) - max(start, window_end - window)) for start, end in self.calls
            )
            highest = max(highest, sum(within) / window)
        return highest


@settings(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 12), st.sampled_from([50, 200, 400, 1500, 9000])), min_size=20, max_size=80
    ),
    st.sampled_from([1.6, 3.0, 8.0]),
)
def test_concurrent_calls_stay_within_the_quota_in_every_window(
    steps: list[tuple[int, int]], quota: float
) -> None:
    """Holds for any number of calls, any durations and sudden changes of the durations."""
    calling = stage(calls=True, latency_objective=12 * SECOND, timeout=20 * SECOND)
    host = FakePolicyHost((calling,), downstream="shared", downstream_quota=quota, cores=64, memory_kb=1e9)
    dependency = FakeDependency(host)
    for task_count, call_ms in steps:
        tasks = [host.task() for _ in range(task_count)]
        requests = [CallRequested(task.id) for task in tasks]
        host.read(*tasks)
        dependency.start_calls(host.round(*requests), call_ms * MS)
        for _ in range(8):
            host.now += 25 * MS
            ended = sorted(call for call in dependency.pending if call[0] <= host.now)
            dependency.pending = [call for call in dependency.pending if call[0] > host.now]
            events: list[PolicyEvent] = [
                CallEnded(task_id, outcome, duration) for _, task_id, outcome, duration in ended
            ]
            events += [
                RunEnded(task_id, "finished", duration)
                for _, task_id, outcome, duration in ended
                if outcome == "finished"
            ]
            dependency.start_calls(host.round(*events, TimerFired("tick", {"on_cores": 1.0})), call_ms * MS)
    # The end of a call is reported only at the next tick, 25 ms later at most.
    assert dependency.max_concurrency() <= quota * 1.001 + 25 / 5000


def test_call_timeout_follows_recent_call_durations() -> None:
    calling = stage(
        calls=True, utility_share_without_call=0.3, latency_objective=12 * SECOND, timeout=20 * SECOND
    )
    host = FakePolicyHost((calling,), downstream="shared", downstream_quota=4.0)
    timeouts = []
    calls: list[tuple[int, CallOutcome, int]] = [
        (200, "finished", 6),
        (800, "timed_out", 4),
        (1000, "finished", 14),
    ]
    for call_ms, outcome in [(call_ms, outcome) for call_ms, outcome, count in calls for _ in range(count)]:
        task = host.task()
        host.read(task)
        timeouts += [said[2] for said in host.round(CallRequested(task.id)) if said[0] == "start_call"]
        host.wait(call_ms * MS)
        host.round(CallEnded(task.id, outcome, call_ms * MS), RunEnded(task.id, "finished", call_ms * MS))
    assert timeouts[0] == 6 * SECOND  # without samples: half of the time to the due time
    assert set(timeouts[1:6]) == {800 * MS}  # four times the duration of recent calls
    assert timeouts[-1] >= 4 * SECOND  # calls that timed out or took longer have raised the timeout


# ---- drain


def test_drain_starts_no_late_task_and_answers_all() -> None:
    host = FakePolicyHost()
    running = occupy_cores(host)
    queued = host.task(1)
    host.read(queued)
    host.round(DrainRequested(host.now + 3 * SECOND))
    host.wait(2100 * MS)
    late = host.task()
    assert host.read(late)[0][:2] == ("reject", late.id)
    host.wait(900 * MS)
    answered = {said[1] for said in host.decisions if said[0] in FINAL}
    assert answered >= {*running, queued.id, late.id}


@pytest.mark.parametrize(("fleet_size", "delay"), [(3, 1800 * MS), (12, MS)])
def test_draining_server_accepts_tasks_and_in_a_large_fleet_turns_unhealthy_at_once(
    fleet_size: int, delay: int
) -> None:
    host = FakePolicyHost(fleet_size=fleet_size)
    assert host.round(DrainRequested(host.now + 3 * SECOND)) == []
    assert ("set_timer", "shut", delay) in host.decisions
    assert host.round(TimerFired("shut", {})) == [("set_health", False, True), ("publish_load_hint", 1.0)]
    host.now += 1700 * MS
    task = host.task()
    assert host.read(task)[0] == ("start", task.id)
    host.now += 200 * MS
    late = host.task()
    assert host.read(late)[0][:2] == ("reject", late.id)


# ---- limits of concurrency and memory


def test_cold_server_starts_no_more_runs_than_it_withstands() -> None:
    host = FakePolicyHost(cold_start=True, cold_speed_share=0.2, max_concurrency_per_core=3.0)
    host.read(*(host.task() for _ in range(50)))
    host.wait(200 * MS)
    started = sum(1 for said in host.decisions if said[0] == "start")
    assert 1 <= started <= 2 * (1 + 2 * 0.25)


@pytest.mark.parametrize("window", [10, 60])
def test_memory_never_exceeds_its_limit(window: int) -> None:
    host = FakePolicyHost(
        (LOOKUP, replace(BOOKING, idempotency_window=window * SECOND)),
        memory_kb=1000.0,
        idempotency_key_kb=20.0,
    )
    for _ in range(40):
        host.read(*(host.task(1) for _ in range(5)))
        starts = [said[1] for said in host.decisions if said[0] == "start"]
        kept = {said[1] for said in host.decisions if said[0] == "remember_key"} - {
            said[1] for said in host.decisions if said[0] in ("reject", "forget_key")
        }
        assert len(starts) * 160 + (len(kept) - len(starts)) * 10 + len(kept) * 20 <= 1000


# ---- overload control


def overload(host: FakePolicyHost, duration: int, unread: int = 0, **changes: int) -> None:
    """Send a steady stream of tasks, far more than two cores can process, whose runs do not end."""
    end = host.now + duration
    host.gauges["on_cores"] = 2.0
    while host.now < end:
        for user in range(3):
            host.read(host.task(0, user=user * 7 + host.count, arrived_at=host.now - unread, **changes))
        host.read(host.task(1, priority_rank=0.9, arrived_at=host.now - unread))
        host.wait(100 * MS)


def run_normally(host: FakePolicyHost, duration: int) -> None:
    """Send a task every 100 ms, each of which finishes in 100 ms."""
    for _ in range(duration // (100 * MS)):
        task = host.task(host.count % 2)
        host.read(task)
        host.wait(100 * MS)
        host.round(RunEnded(task.id, "finished", 100 * MS))


def test_overload_sheds_tasks_of_low_priority_and_publishes_a_load_hint() -> None:
    host = FakePolicyHost()
    run_normally(host, 5 * SECOND)
    assert host.policy.cap is None
    overload(host, 4 * SECOND)
    assert host.policy.cap is not None
    assert host.policy.state.shedder.cutoff > 0
    assert any(said[0] == "publish_load_hint" and said[1] > 0 for said in host.decisions)
    low = host.task(0, user=1)
    assert host.read(low)[0][:2] == ("reject", low.id)


def test_cap_and_cutoff_are_removed_after_an_overload() -> None:
    host = FakePolicyHost()
    run_normally(host, 5 * SECOND)
    overload(host, 4 * SECOND)
    for task_id in [said[1] for said in host.decisions if said[0] == "start"]:
        host.round(RunEnded(task_id, "finished", 100 * MS))
    host.gauges["on_cores"] = 0.0
    host.wait(8 * SECOND)
    assert host.policy.cap is None
    assert host.policy.state.shedder.cutoff == 0


def test_cap_rises_to_the_throughput_after_a_slowdown() -> None:
    """Guards against a rate cap that was set while all servers ran at a fifth of their speed, and that held
    clients back for seconds afterwards."""
    host = FakePolicyHost(cores=8)
    run_normally(host, 5 * SECOND)
    rate_cap = host.policy.state.rate_cap
    rate_cap.cap, rate_cap.changed_at, rate_cap.fired_at = 2.0, host.now, host.now
    run_normally(host, 2 * SECOND)
    assert host.policy.cap is None or host.policy.cap >= 9.0
    assert (host.policy.state.shedder.cutoff, host.policy.load_hint) == (0, 0.0)


def test_backlog_of_unread_tasks_sets_a_cap_although_no_task_is_queued() -> None:
    host = FakePolicyHost()
    run_normally(host, 5 * SECOND)
    overload(host, 2 * SECOND, unread=1600 * MS)
    assert host.policy.cap is not None
    assert any(said[0] == "reject" and said[3] > 0 for said in host.decisions)


@pytest.mark.parametrize(("is_cold", "health"), [(True, [True, False, True]), (False, [True])])
def test_cold_server_is_unhealthy_while_it_has_a_backlog_of_unread_tasks(
    is_cold: bool, health: list[bool]
) -> None:
    host = FakePolicyHost(cold_start=is_cold)
    overload(host, SECOND, unread=600 * MS)
    host.wait(SECOND)
    reports = [said[1] for said in host.decisions if said[0] == "set_health"]
    assert [now for now, before in zip(reports, [None, *reports], strict=False) if now != before] == health


def test_rejections_have_a_short_retry_after_if_no_load_hint_can_be_sent() -> None:
    host = FakePolicyHost(load_hint="none")
    run_normally(host, 5 * SECOND)
    overload(host, 4 * SECOND)
    last = [said for said in host.decisions if said[0] == "reject"][-1]
    assert 0 < last[3] < SECOND
    assert not any(said[0] == "publish_load_hint" for said in host.decisions)


@pytest.mark.parametrize("is_retry", [False, True])
def test_rejections_in_a_retry_storm_report_fleet_overload(is_retry: bool) -> None:
    host = FakePolicyHost()
    for _ in range(10):
        host.read(host.task(is_retry=is_retry))
    late = host.task(is_retry=is_retry, arrived_at=host.now - 5 * SECOND)
    assert host.read(late)[0][2] == is_retry


@pytest.mark.parametrize(
    ("client_count", "retry_count", "timeout"), [(400, 0, SECOND), (5, 0, None), (400, 40, None)]
)
def test_idle_timeout_is_set_if_clients_seldom_return_but_not_in_a_retry_storm(
    client_count: int, retry_count: int, timeout: int | None
) -> None:
    host = FakePolicyHost()
    for index in range(60):
        host.read(host.task(client=index % client_count, is_retry=index < retry_count))
    host.wait(300 * MS)
    assert [said[1] for said in host.decisions if said[0] == "set_idle_timeout"] == (
        [timeout] if timeout else []
    )


def test_large_tasks_are_not_rejected_at_low_load() -> None:
    host = FakePolicyHost()
    for work in (50, 50, 200) * 8:
        task = host.task(estimated_work=work * MS)
        host.read(task)
        host.round(RunEnded(task.id, "finished", (200 + work) * MS))  # waits off the cores are constant
    large = host.task(estimated_work=600 * MS)
    host.read(host.task(), large)
    assert host.decisions_for(large) == ["start"]


def test_tasks_start_again_when_a_few_fast_runs_follow_slow_ones() -> None:
    host = FakePolicyHost()
    run_normally(host, 3 * SECOND)
    for run_ms in (2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 100, 100, 100):
        probe = host.task()
        host.read(probe)
        host.round(RunEnded(probe.id, "finished", run_ms * MS))
    after = host.task(), host.task()
    host.read(*after)
    assert [host.decisions_for(task) for task in after] == [["start"], ["start"]]


@pytest.mark.parametrize(("cores", "admitted"), [(1, 3), (2, 5), (6, 10)])
def test_cutoff_applies_only_when_the_queue_is_not_short(cores: int, admitted: int) -> None:
    host = FakePolicyHost(cores=cores)
    host.policy.state.shedder.cutoff = 4 * BUCKETS - 1
    tasks = [host.task() for _ in range(admitted + 1)]
    host.read(*tasks)
    fates = [host.decisions_for(task) for task in tasks]
    assert fates == [*[["start"]] * cores, *[[]] * (admitted - cores), ["reject"]]


def test_excess_is_measured_for_the_tenant_over_its_quota() -> None:
    host = FakePolicyHost(tenants=tenants(1.0, 100.0))
    for _ in range(40):
        host.read(host.task(tenant=0), host.task(tenant=1))
        host.wait(100 * MS)
    over, within = host.policy.state.quotas.excess
    assert over > 0.8
    assert within == 0.0


def test_queued_tasks_start_in_order_of_due_time() -> None:
    host = FakePolicyHost()
    running = occupy_cores(host)
    late, soon = host.task(), host.task(arrived_at=host.now - 300 * MS)
    host.read(late, soon)
    host.round(RunEnded(running[0], "finished", 100 * MS))
    assert host.decisions_for(soon) == ["start"]
    assert host.decisions_for(late) == []


# ---- bench protocol


@pytest.mark.parametrize(("text", "duration"), [("8.41225", 8_412_250_000), ("0", 0), ("1", SECOND)])
def test_times_are_exact_to_the_microsecond(text: str, duration: int) -> None:
    assert parse_seconds(text) == duration
    assert parse_seconds(format_seconds(duration)) == duration


@pytest.mark.parametrize(
    ("text", "exit_code", "reply"),
    [
        ("ROUND\t1.5\t3\nEOB\n", 0, "EOR\t3\n"),
        ("EOB\n", 2, ""),
        ("ROUND\tx\t1\n", 2, ""),
        ("ROUND\t1\t1\nBELL\n", 2, ""),
    ],
)
def test_adapter_replies_to_rounds_and_exits_on_malformed_lines(
    text: str, exit_code: int, reply: str
) -> None:
    sink = io.StringIO()
    assert main(io.StringIO(text), sink) == exit_code
    assert sink.getvalue() == reply
