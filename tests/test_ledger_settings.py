"""The ledger over changes of the settings: effects of stages that the settings lack for a while are retained.

In these tests three servers with one folder run one after another; the second lacks the stage `booking`.
"""

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.host import BOOKING, LOOKUP
from tests.test_ledger import STAGES, START, FaultyDisk, LedgerHarness
from thistleline.cli.ledger_folder import open_ledger, rewrite_ledger
from thistleline.handover.events import PredecessorRunEnded
from thistleline.handover.state_machine import HandoverStateMachine
from thistleline.interface import Stage
from thistleline.ledger import format as ledger_format
from thistleline.ledger.records import RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore
from thistleline.policy import MS, SECOND
from thistleline.state.effects import AnswerFinished
from thistleline.state.events import AgentGreeted

RENAMED = (LOOKUP, replace(BOOKING, name="reservation"))
OTHER_SETTINGS = {
    "renamed": RENAMED,
    "removed": (LOOKUP,),
    "removed and reordered": (replace(BOOKING, name="reservation"), LOOKUP),
}


class SuccessorHarness(LedgerHarness):
    """A `LedgerHarness` of a server that takes over from another."""

    machine_class = HandoverStateMachine


def run_booking(folder: Path, ends: bool = True) -> None:
    """Run a booking with the key `key` in a server that is then killed; it may end before that or not."""
    harness = LedgerHarness(folder)
    name = harness.send(1, "key")
    harness.wait()
    if ends:
        harness.end(name)
        harness.wait()
    harness.stop()


def repeat_booking(folder: Path) -> LedgerHarness:
    """Start a server with the first settings again, and repeat the booking."""
    harness = LedgerHarness(folder, boot_time=START + 5 * SECOND)
    harness.send(1, "key", id="repeat", is_retry=True)
    harness.wait(3 * SECOND)
    harness.stop()
    return harness


def assert_stored_result(harness: LedgerHarness) -> None:
    results = [bytes(effect.result) for effect in harness.effects_of(AnswerFinished)]
    assert (harness.launched(), results) == ([], [b"result of t1"])


@pytest.mark.parametrize("stages", OTHER_SETTINGS.values(), ids=OTHER_SETTINGS)
def test_an_effect_is_not_run_again_after_its_stage_was_missing(
    tmp_path: Path, stages: tuple[Stage, ...]
) -> None:
    # Guards against segments that count as expired because the settings lack the stage of their records.
    run_booking(tmp_path)
    for start in (1, 2):
        second = LedgerHarness(tmp_path, boot_time=START + start * SECOND, stages=stages)
        second.wait(500 * MS)
        second.stop()
    assert_stored_result(repeat_booking(tmp_path))


@pytest.mark.parametrize("agent", ["reports the end", "is new"])
def test_an_end_that_is_reported_while_the_stage_is_missing_is_recorded(tmp_path: Path, agent: str) -> None:
    # Guards against notices of the agent that are read, but not recorded, by a server without the stage.
    run_booking(tmp_path, ends=False)
    second = LedgerHarness(tmp_path, boot_time=START + SECOND, up=False, stages=RENAMED)
    second.handle(AgentGreeted(agent == "is new", 60 * SECOND))
    if agent == "reports the end":
        second.end("t1", number=1)
        second.end("t1", number=1)  # the agent repeats a notice
    second.wait(50 * MS)
    second.stop()
    third = repeat_booking(tmp_path)
    if agent == "reports the end":
        assert_stored_result(third)
    else:
        assert (third.launched(), third.answers()) == ([], ["abandoned"])
        assert third.machine.context.figures.get("doubtful", 0) == 0


def test_a_successor_without_the_stage_records_an_end_that_its_predecessor_reports(tmp_path: Path) -> None:
    # Guards against a handover to changed settings that loses the ends of the predecessor's runs.
    run_booking(tmp_path, ends=False)
    successor = SuccessorHarness(tmp_path, boot_time=START + SECOND, stages=RENAMED)
    successor.handle(PredecessorRunEnded(1, "finished", b"result of t1"))
    successor.wait(50 * MS)
    successor.stop()
    assert_stored_result(repeat_booking(tmp_path))


def test_a_compaction_without_the_stage_retains_its_effects(tmp_path: Path) -> None:
    # Guards against a compaction that rewrites only the effects of stages that the settings have.
    run_booking(tmp_path)
    disk = FaultyDisk(tmp_path)
    disk.acquire()
    store = LedgerStore(disk, ("lookup", "reservation"))
    ledger = LedgerState(1 << 16, 1 << 16, START + SECOND, lambda _: None)
    store.recover(ledger)
    now = START + SECOND
    for index in range(90):
        lifetime = 3600 * SECOND if index % 9 == 0 else SECOND
        number = ledger.record_intent(now, 1, b"%016d" % index, lifetime, b"")
        assert number is not None
        ledger.record_outcome(now, number, "finished", b"r" * 700)
        now += 20 * MS
        write = ledger.next_write(now)
        if write is not None:
            store.write(write)
            ledger.write_completed(now)
    assert ledger.compactions > 0
    disk.release()
    assert_stored_result(repeat_booking(tmp_path))


def test_the_compact_command_retains_effects_of_all_stages(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_booking(tmp_path)
    second = LedgerHarness(tmp_path, boot_time=START + SECOND, stages=RENAMED)
    second.end(second.send(1, "another key"))
    second.wait(50 * MS)
    second.stop()
    monkeypatch.setattr("thistleline.cli.ledger_folder.boot_now", lambda: START + 2 * SECOND)
    with open_ledger(tmp_path) as contents:
        rewrite_ledger(tmp_path, contents)
    assert_stored_result(repeat_booking(tmp_path))


def recover(
    folder: Path, stages: tuple[str, ...], now: int
) -> tuple[list[RecoveredEffect], Any, LedgerStore]:
    disk = FaultyDisk(folder)
    disk.acquire()
    store = LedgerStore(disk, stages)
    ledger = LedgerState(1 << 20, 1 << 20, now, lambda _: None)
    recovered = store.recover(ledger)
    disk.release()
    return recovered, ledger, store


def test_a_stage_without_unexpired_effects_leaves_the_headers(tmp_path: Path) -> None:
    run_booking(tmp_path)
    recovered, ledger, store = recover(tmp_path, ("lookup",), START + SECOND)
    assert (recovered, list(ledger.effects), len(ledger.unmatched)) == ([], [1], 1)
    header = ledger_format.decode_header(ledger_format.encode_header(store.stages.all(), store.boot))
    assert header.stages == STAGES
    recovered, ledger, store = recover(tmp_path, ("lookup",), START + 3600 * SECOND)
    assert (recovered, list(ledger.effects), len(ledger.unmatched)) == ([], [], 0)
    assert store.stages.all() == ("lookup",)
