"""Repeats of a keyed task while the attempts that they could name come and go.

Guards against a second run of a task whose repeat named an attempt that the policy does not know.
"""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.host import BOOKING, LOOKUP, MachineHarness, server_settings, task, tenants
from tests.test_ledger import START, LedgerHarness
from thistleline.durable.effects import WriteLedger
from thistleline.handover.effects import ForwardTask
from thistleline.handover.events import (
    Inherited,
    PredecessorGone,
    PredecessorRunEnded,
    SuccessorReady,
    TaskForwarded,
)
from thistleline.handover.messages import Forward, task_to_fields
from thistleline.handover.relay import decode_forwarded_task
from thistleline.handover.state_machine import HandoverStateMachine
from thistleline.interface import RunOutcome, Stage, Task, Tenant
from thistleline.policy import MS, SECOND
from thistleline.policy.admission import Admission
from thistleline.policy.detectors import OverloadDetector
from thistleline.policy.idempotency import IdempotencyTable
from thistleline.policy.tasks import TaskRecord
from thistleline.state.attempts import Run
from thistleline.state.effects import StopRun
from thistleline.state.events import AgentGreeted, ConnectionEnded, ConnectionOpened, TaskReceived

KEY = "key"


class HandoverHarness(LedgerHarness):
    """A `LedgerHarness` of a server that can take over from another one and hand over to a third."""

    machine_class = HandoverStateMachine


def fail_once(function: Callable[..., Any]) -> Callable[..., Any]:
    """Wraps a function so that its first call raises an error."""
    errors = [RuntimeError("fault injected by the test")]

    def wrapper(*arguments: Any) -> Any:
        if errors:
            raise errors.pop()
        return function(*arguments)

    return wrapper


def repeat_beside_a_reset(harness: MachineHarness, withdrawn: int = 1) -> list[str]:
    """Delivers repeats on connections that are reset before the next round, and one that stays.

    Returns the ids of the repeats.
    """
    connections = range(2, 2 + withdrawn)
    repeats = [harness.send(connection, KEY, is_retry=True) for connection in connections]
    repeats.append(harness.send(1, KEY, is_retry=True))
    for connection in connections:
        harness.handle(ConnectionEnded(connection, "reset"))
    harness.wait()
    return repeats


@pytest.mark.parametrize("withdrawn", [1, 2, 3])
@pytest.mark.parametrize("outcome", ["finished", "failed"])
@pytest.mark.parametrize("has_ended", [False, True])
def test_a_repeat_read_after_a_withdrawn_one_gets_the_result_of_the_run(
    withdrawn: int, outcome: RunOutcome, has_ended: bool
) -> None:
    """Guards against a second run when the attempt read before a repeat is withdrawn before the round."""
    harness = MachineHarness(cores=4)
    first = harness.send(1, KEY)
    harness.wait()
    if has_ended:
        harness.end(first, outcome)
    repeat_beside_a_reset(harness, withdrawn)
    if not has_ended:
        harness.end(first, outcome)
    harness.wait()
    assert harness.launched() == [first]
    assert harness.answers() == 2 * [outcome if outcome == "finished" else "abandoned"]


def test_a_repeat_read_after_a_withdrawn_one_waits_for_the_queued_attempt() -> None:
    """Guards against two runs of a queued task when a repeat names an attempt that was withdrawn."""
    harness = MachineHarness(cores=1)
    running = harness.send(1, "another key")
    harness.wait()
    assert harness.launched() == [running]
    queued = harness.send(1, KEY)
    harness.wait()
    repeats = repeat_beside_a_reset(harness)
    harness.end(running)
    harness.wait()
    harness.end(queued)
    harness.wait(SECOND)
    assert not set(repeats) & set(harness.launched())
    assert harness.launched() == [running, queued]
    assert harness.answers() == 3 * ["finished"]


def test_a_repeat_read_after_a_withdrawn_one_runs_if_nothing_else_did() -> None:
    """Guards against a repeat that waits for an attempt that was withdrawn before it could run."""
    harness = MachineHarness()
    repeats = repeat_beside_a_reset(harness)
    assert harness.launched() == [repeats[-1]]
    harness.end(repeats[-1])
    assert harness.answers() == ["finished"]


@pytest.mark.parametrize("has_ended", [False, True])
def test_a_repeat_read_after_a_withdrawn_one_is_not_run_again_after_a_restart(
    tmp_path: Path, has_ended: bool
) -> None:
    """Guards against a second run when the run that a repeat has to name is known from the ledger."""
    harness = LedgerHarness(tmp_path)
    first = harness.send(1, KEY)
    harness.wait()
    if has_ended:
        harness.end(first)
        harness.wait()
    harness.stop()
    restarted = LedgerHarness(tmp_path, boot_time=START + SECOND)
    restarted.count = harness.count
    repeat_beside_a_reset(restarted)
    if not has_ended:
        restarted.end(first)
        restarted.wait()
    assert restarted.launched() == []
    assert restarted.answers() == ["finished"]


def test_the_withdrawal_of_a_predecessors_repeat_starts_no_second_run(tmp_path: Path) -> None:
    """Guards against a second run when a predecessor that forwarded a repeat ends before the round."""
    harness = HandoverHarness(tmp_path)
    harness.handle(Inherited(0, (), ()))
    first = harness.send(1, KEY)
    harness.wait()
    forwarded = task("forwarded", harness.now, stage=1, is_retry=True)
    harness.handle(TaskForwarded(1, forwarded, KEY, b"body"))
    harness.send(1, KEY, is_retry=True)
    harness.handle(PredecessorGone())
    harness.wait()
    harness.end(first)
    harness.wait()
    assert harness.launched() == [first]
    assert harness.answers() == 2 * ["finished"]


@pytest.mark.parametrize("failing", [1, 2])
def test_a_repeat_read_after_one_that_the_policy_fails_on_gets_the_result_of_the_run(
    failing: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run when a repeat names an attempt that was abandoned after an exception."""
    harness = MachineHarness(cores=4)
    first = harness.send(1, KEY)
    harness.wait()
    record_arrival = Admission._record_arrival
    failing_names = {str(harness.machine.attempts_made + number) for number in range(1, failing + 1)}

    def record_or_fail(admission: Admission, task: Task, stage: Stage) -> TaskRecord:
        if task.id in failing_names:
            raise RuntimeError("fault injected by the test")
        return record_arrival(admission, task, stage)

    monkeypatch.setattr(Admission, "_record_arrival", record_or_fail)
    for _ in range(failing + 1):
        harness.send(1, KEY, is_retry=True)
    harness.wait()
    harness.end(first)
    harness.wait()
    assert harness.launched() == [first]
    assert harness.answers() == [*failing * ["abandoned"], "finished", "finished"]


@pytest.mark.parametrize(
    ("failing_class", "method"), [(OverloadDetector, "observe_read"), (IdempotencyTable, "join")]
)
def test_a_repeat_on_which_the_policy_fails_once_gets_the_result_of_the_run(
    failing_class: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run of a task that an exception left in the policy without its effect."""
    harness = MachineHarness(cores=4)
    first = harness.send(1, KEY)
    harness.wait()
    with monkeypatch.context() as context:
        context.setattr(failing_class, method, fail_once(getattr(failing_class, method)))
        harness.send(1, KEY, is_retry=True)
        harness.send(2, KEY, is_retry=True)
        harness.wait()
    harness.end(first)
    harness.wait()
    assert harness.launched() == [first]
    assert harness.answers() == 3 * ["finished"]


def test_a_repeat_of_a_run_whose_start_raised_an_exception_gets_its_result(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a repeat that waits, until it is refused, for a task that has been started."""
    harness = MachineHarness(cores=4)
    launch = harness.machine.launch

    def launch_and_fail(name: str, run: Run) -> None:
        launch(name, run)
        raise RuntimeError("fault injected by the test")

    with monkeypatch.context() as context:
        context.setattr(harness.machine, "launch", launch_and_fail)
        first = harness.send(1, KEY)
        harness.wait()
    harness.send(2, KEY, is_retry=True)
    harness.wait()
    harness.end(first)
    harness.wait()
    assert harness.launched() == [first]
    assert harness.answers() == 2 * ["finished"]


@pytest.mark.parametrize("restart", ["before the greeting", "after the greeting", "by handover"])
def test_a_repeat_runs_after_a_restart_if_the_earlier_run_never_took_place(
    tmp_path: Path, restart: str
) -> None:
    """Guards against repeats that fail for a whole window because of a run that never took place."""
    harness = LedgerHarness(tmp_path)
    first = harness.send(1, KEY)
    harness.wait()
    harness.stop()
    restarted = HandoverHarness(tmp_path, boot_time=START + SECOND, up=False)
    if restart == "before the greeting":
        restarted.end(first, "moot")
    restarted.handle(AgentGreeted(False, 60 * SECOND))
    if restart == "after the greeting":
        restarted.end(first, "moot")
    if restart == "by handover":
        restarted.handle(Inherited(0, (), ()))
        restarted.handle(PredecessorRunEnded(1, "moot", b""))
    restarted.send(1, KEY, id="second", is_retry=True)
    restarted.send(2, KEY, id="third", is_retry=True)
    restarted.wait()
    restarted.end("second")
    restarted.send(1, KEY, id="fourth", is_retry=True)
    restarted.wait()
    assert restarted.launched() == ["second"]
    assert restarted.answers() == 3 * ["finished"]


@pytest.mark.parametrize("site_tenants", [(), tenants(100.0)])
def test_queued_tasks_and_their_repeats_are_forwarded_at_the_handover(
    tmp_path: Path, site_tenants: tuple[Tenant, ...]
) -> None:
    """Guards against a predecessor that refuses or abandons a queued task that its successor may run."""
    harness = HandoverHarness(tmp_path, cores=1, tenants=site_tenants)
    running = harness.send(1, "another key")
    harness.wait()
    queued = [harness.send(2, KEY), harness.send(3, KEY, is_retry=True)]
    harness.wait()
    queued.append(harness.send(4, "third key"))
    harness.handle(SuccessorReady(harness.now + 5 * SECOND))
    harness.wait()
    assert [effect.task.id for effect in harness.effects_of(ForwardTask)] == queued
    harness.end(running)
    harness.wait(3 * SECOND)
    assert harness.launched() == [running]
    assert harness.answers() == ["finished"]


@pytest.mark.parametrize(("sender", "receiver"), [((), ()), (tenants(1.0), ()), (tenants(1.0, 1.0),) * 2])
def test_a_forwarded_task_is_taken_whether_or_not_the_sites_have_tenants(
    tmp_path: Path, sender: tuple[Tenant, ...], receiver: tuple[Tenant, ...]
) -> None:
    """Guards against a task that is lost at a handover because its site has no tenants."""
    harness = HandoverHarness(tmp_path, tenants=sender)
    harness.handle(SuccessorReady(harness.now + 5 * SECOND))
    harness.wait()
    harness.send(1, KEY, tenant=max(0, len(sender) - 1))
    (forwarded,) = harness.effects_of(ForwardTask)
    message = Forward(
        1, forwarded.stage, forwarded.tenant, task_to_fields(forwarded.task), KEY, forwarded.body
    )
    decoded = decode_forwarded_task(message, server_settings(tenants=receiver))
    assert decoded == replace(forwarded.task, tenant=max(0, len(receiver) - 1))


def test_a_task_that_no_client_waits_for_is_not_started_once_its_intent_is_durable(tmp_path: Path) -> None:
    """Guards against a start for repeats whose clients have gone while the ledger was written."""
    harness = LedgerHarness(tmp_path)
    harness.defers_writes = True
    harness.send(1, KEY)
    harness.wait()
    harness.send(2, KEY, is_retry=True)
    harness.wait()
    harness.handle(ConnectionEnded(1, "reset"))
    harness.handle(ConnectionEnded(2, "reset"))
    harness.wait()
    harness.write(harness.effects_of(WriteLedger)[-1].write)
    harness.wait()
    assert harness.launched() == []
    harness.defers_writes = False
    harness.write(harness.effects_of(WriteLedger)[-1].write)
    again = harness.send(3, KEY, is_retry=True)
    harness.wait()
    assert harness.launched() == [again]


@pytest.mark.parametrize("end", ["the client leaves", "the deadline passes"])
def test_a_run_keeps_no_repeat_that_waits_for_it_no_more(end: str) -> None:
    """Guards against a run that keeps the names of all repeats that ever waited for it."""
    harness = MachineHarness()
    harness.send(1, KEY)
    harness.wait()
    harness.send(2, KEY, is_retry=True)
    harness.wait()
    (run,) = harness.machine.runs.values()
    assert len(run.repeats) == 1
    if end == "the client leaves":
        harness.handle(ConnectionEnded(2, "reset"))
    harness.wait(BOOKING.timeout)
    assert harness.machine.runs
    assert not run.repeats


def test_a_recovered_run_is_known_although_the_policy_fails_in_its_first_round(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run after a restart when an exception ends the round that restores the run."""
    harness = LedgerHarness(tmp_path)
    first = harness.send(1, KEY)
    harness.wait()
    harness.end(first)
    harness.wait()
    harness.stop()
    restarted = LedgerHarness(tmp_path, boot_time=START + SECOND, up=False)
    restarted.handle(AgentGreeted(False, 60 * SECOND))
    with monkeypatch.context() as context:
        context.setattr(restarted.machine.policy, "round", fail_once(restarted.machine.policy.round))
        restarted.wait()
    repeat_beside_a_reset(restarted)
    assert restarted.launched() == []
    assert restarted.answers() == ["finished"]


def read(harness: MachineHarness, connection: int) -> str:
    """Delivers a read of a subject that all reads have in common; returns the read's id."""
    harness.count += 1
    name = f"read{harness.count}"
    harness.handle(ConnectionOpened(connection))
    sent = task(name, harness.now, user=77)
    harness.handle(TaskReceived(connection, harness.count, sent, "77", memoryview(b"")))
    harness.wait()
    return name


def test_a_read_that_shares_a_run_is_answered_after_the_other_client_has_left() -> None:
    """Guards against a read that fails because the client whose run it shares has left."""
    harness = MachineHarness(cached_result_ttl=2 * SECOND)
    first = read(harness, 1)
    read(harness, 2)
    harness.handle(ConnectionEnded(1, "reset"))
    harness.wait()
    assert harness.effects_of(StopRun) == []
    harness.end(first)
    assert harness.launched() == [first]
    assert harness.answers() == ["finished"]


def test_a_shared_run_is_stopped_once_its_last_client_has_left() -> None:
    """Guards against a run that goes on although no client waits for it."""
    harness = MachineHarness(cached_result_ttl=2 * SECOND)
    first = read(harness, 1)
    read(harness, 2)
    for connection in (1, 2):
        harness.handle(ConnectionEnded(connection, "reset"))
        harness.wait()
    assert harness.effects_of(StopRun) == [StopRun(first)]


def test_a_read_that_shares_a_run_may_outlast_the_latency_objective_of_the_other() -> None:
    """Guards against a read that fails because the run that it shares began long before it."""
    harness = MachineHarness(cached_result_ttl=2 * SECOND)
    first = read(harness, 1)
    harness.wait(LOOKUP.latency_objective - 100 * MS)
    read(harness, 2)
    harness.wait(200 * MS)
    assert harness.answers() == ["abandoned"]
    assert harness.effects_of(StopRun) == []
    harness.end(first)
    assert harness.answers() == ["abandoned", "finished"]
