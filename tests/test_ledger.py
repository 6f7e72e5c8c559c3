"""The ledger: its format, its state, its files under disk faults, and servers that restart with its records.

The ledger records runs with an idempotency key, here bookings; lookups are not recorded.
"""

import errno
import json
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.host import (
    BOOKING,
    FakeAgent,
    FakeAnnounce,
    MachineHarness,
    ServerProcess,
    booking_fields,
    decode_message,
    machine_options,
    process_call,
    read_frames,
)
from thistleline.cli.ledger_folder import open_ledger, rewrite_ledger
from thistleline.cli.main import entry
from thistleline.config.loader import ConfigError, parse_config
from thistleline.durable.effects import WriteLedger
from thistleline.durable.events import EffectsRecovered, WriteCompleted, WriteFailed
from thistleline.durable.state_machine import DurableStateMachine
from thistleline.lab.ledger import judge, storm
from thistleline.lab.processes.load_generator import AttemptOutcome, Caller
from thistleline.lab.processes.render_farm import FakeFarmAgent, RunRecord
from thistleline.ledger import format as ledger_format
from thistleline.ledger.format import Intent, Outcome, RecordGroup
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore
from thistleline.policy import MS, SECOND
from thistleline.state.effects import AnswerFinished, AnswerRejected, EndProcess
from thistleline.state.events import AgentGreeted, ConnectionEnded, ListeningStarted, ShutdownRequested
from thistleline.state.phases import Lifecycle
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk, DiskLockedError
from thistleline.store.frames import CorruptFrameError

STAGES = ("lookup", "booking")
HEADER = ledger_format.encode_header(STAGES, b"b" * 16)
START = 5000 * SECOND


class FaultyDisk(Disk):
    """A disk on which one call, or every call, fails or kills the program."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.calls, self.failing_call, self.fault, self.always_fails = 0, 0, "", False

    def _maybe_fail(self) -> bool:
        self.calls += 1
        if self.calls != self.failing_call and not self.always_fails:
            return False
        if self.fault == "kill":
            raise KeyboardInterrupt
        raise OSError(errno.ENOSPC if self.fault == "full" else errno.EIO, self.fault)

    def begin(self, number: int) -> None:
        self._maybe_fail()
        super().begin(number)

    def append(self, data: bytes) -> None:
        try:
            self._maybe_fail()
        except BaseException:
            super().append(data[: len(data) // 2])  # a torn write
            raise
        super().append(data)

    def sync(self) -> None:
        self._maybe_fail()

    def sync_folder(self) -> None:
        self._maybe_fail()

    def remove(self, number: int) -> None:
        self._maybe_fail()
        super().remove(number)


class LedgerHarness(MachineHarness):
    """A `MachineHarness` whose state machine has a ledger in a folder.

    Writes are performed at once, or only by `write` while `defers_writes` is set.
    """

    machine_class: type[DurableStateMachine] = DurableStateMachine

    def __init__(
        self,
        folder: Path,
        *,
        boot_time: int = START,
        disk: int = 1 << 20,
        up: bool = True,
        boot_id: bytes = b"",
        now: int = 1000 * SECOND,
        **changes: Any,
    ) -> None:
        self.now, self.lifecycle = now, Lifecycle()
        machine = self.machine_class(
            machine_options(**changes), now, self.lifecycle, max_disk_bytes=disk, boot_offset=boot_time - now
        )
        self.machine = self.durable_machine = machine
        self.effects, self.answers_measurements, self.last_notice_number, self.count = [], True, 0, 0
        self.disk = FaultyDisk(folder)
        self.disk.acquire()
        self.store = LedgerStore(self.disk, tuple(stage.name for stage in machine.settings.stages))
        self.store.boot = boot_id or self.store.boot
        self.defers_writes = False
        self.handle(EffectsRecovered(self.store.recover(machine.ledger)))
        self.handle(ListeningStarted())
        if up:
            self.handle(AgentGreeted(False, 60 * SECOND))
            self.wait(50 * MS)

    def handle(self, event: Any) -> list[Any]:
        effects = super().handle(event)
        for effect in effects:
            if isinstance(effect, WriteLedger) and not self.defers_writes:
                self.write(effect.write)
        return [effect for effect in effects if not isinstance(effect, WriteLedger)]

    def write(self, write: Any) -> None:
        try:
            self.store.write(write)
        except OSError as error:
            self.handle(WriteFailed(str(error)))
        else:
            self.handle(WriteCompleted())

    def stop(self) -> None:
        self.disk.release()


# ---- the format


NUMBERS, TIMES, BYTES_16 = (
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**62),
    st.binary(min_size=16, max_size=16),
)
INTENTS = st.builds(Intent, NUMBERS, st.integers(0, 9), BYTES_16, TIMES, TIMES, BYTES_16)
OUTCOMES = st.builds(Outcome, NUMBERS, st.integers(0, 3), st.binary(max_size=40))
GROUPS = st.lists(st.tuples(st.lists(INTENTS, max_size=4), st.lists(OUTCOMES, max_size=4)), max_size=5)


def _decode_groups(data: bytes, index: int = 0) -> list[RecordGroup]:
    return [
        ledger_format.decode_group(payload)
        for _, payload, _ in ledger_format.iter_frames(memoryview(data), index)
        if payload is not None
    ]


@given(GROUPS)
@settings(derandomize=True, database=None)
def test_encoded_groups_decode_to_the_same_records(groups: list[tuple[list[Intent], list[Outcome]]]) -> None:
    assert _decode_groups(b"".join(ledger_format.encode_frame(*group) for group in groups)) == [
        RecordGroup(*group) for group in groups
    ]


@given(GROUPS, st.data())
@settings(derandomize=True, database=None, max_examples=300)
def test_a_flipped_bit_or_truncation_loses_only_the_affected_groups(groups: Any, data: st.DataObject) -> None:
    group_frames = [ledger_format.encode_frame(*group) for group in groups]
    encoded_data = b"".join(group_frames)
    index = data.draw(st.integers(0, max(0, len(encoded_data) - 1)))
    if data.draw(st.booleans()):
        damaged = encoded_data[:index]
    else:
        flipped = bytearray(encoded_data)
        if encoded_data:
            flipped[index] ^= 1 << data.draw(st.integers(0, 7))
        damaged = bytes(flipped)
    intact, start = [], 0
    for frame, group in zip(group_frames, groups, strict=True):
        if damaged[start : start + len(frame)] == frame:
            intact.append(RecordGroup(*group))
        start += len(frame)
    assert _decode_groups(damaged) == intact


@given(st.binary(max_size=300))
@settings(derandomize=True, database=None)
def test_arbitrary_bytes_decode_to_no_group_and_no_header(data: bytes) -> None:
    assert _decode_groups(data) == []
    with pytest.raises(CorruptFrameError):
        ledger_format.decode_header(data)


@pytest.mark.parametrize(("header", "reason"), [
    (HEADER[:8] + b"\3\0" + HEADER[10:], "format version 3"),
    (b"X" + HEADER[1:], "not a ledger segment"),
    (HEADER[:-1] + b"!", "header checksum mismatch"),
])  # fmt: skip
def test_an_unsupported_or_damaged_segment_header_is_refused_with_the_reason(
    header: bytes, reason: str, tmp_path: Path
) -> None:
    (tmp_path / "000000000001.ledger").write_bytes(header)
    with pytest.raises(CorruptFrameError, match=reason):
        LedgerStore(Disk(tmp_path), STAGES).recover(LedgerState(1 << 20, 1 << 20, START, lambda _: None))


def test_a_folder_can_be_locked_by_one_program_only(tmp_path: Path) -> None:
    first = Disk(tmp_path)
    first.acquire()
    with pytest.raises(DiskLockedError, match="another program"):
        Disk(tmp_path).acquire()
    first.release()
    Disk(tmp_path).acquire()


# ---- no effect starts before its intent is durable


def test_a_booking_starts_once_its_intent_is_durable_and_a_lookup_at_once(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path, cores=4)
    harness.defers_writes = True
    lookup_id, booking_id = harness.send(1), harness.send(1, "key")
    harness.wait()
    assert harness.launched() == [lookup_id]
    (write,) = [effect.write for effect in harness.effects_of(WriteLedger)]
    harness.write(write)
    assert harness.launched() == [lookup_id, booking_id]


def test_intents_recorded_during_a_sync_are_written_as_one_group(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path, cores=16)
    harness.defers_writes = True
    for index in range(9):
        harness.send(index % 3, f"key{index}")
        harness.wait()
    writes = [effect.write for effect in harness.effects_of(WriteLedger)]
    assert [len(write.group.intents) for write in writes] == [1]
    harness.write(writes[0])
    writes = [effect.write for effect in harness.effects_of(WriteLedger)]
    assert [len(write.group.intents) for write in writes] == [1, 8]


def test_intents_of_a_failed_sync_are_rejected_and_not_treated_as_durable(tmp_path: Path) -> None:
    """Bookings are rejected with a retry delay while lookups run; they are accepted again once the ledger has
    begun its next segment."""
    harness = LedgerHarness(tmp_path, cores=4)
    # Of the write's calls (begin, header, frame, sync) the fourth fails.
    harness.disk.failing_call, harness.disk.fault = harness.disk.calls + 4, "sync"
    lookup_id, failed = harness.send(1), harness.send(2, "key")
    harness.wait(1 * MS)
    rejected = harness.send(3, "other")
    harness.wait(20 * MS)
    assert harness.launched() == [lookup_id]
    assert [(effect.connection, effect.retry_after > 0) for effect in harness.effects_of(AnswerRejected)] == [
        (2, True),
        (3, True),
    ]
    harness.wait(300 * MS)
    retried = harness.send(2, "key", is_retry=True)
    harness.wait()
    assert harness.launched() == [lookup_id, retried]
    assert (failed, rejected) == ("t2", "t3")
    harness.stop()
    restarted = LedgerHarness(tmp_path)
    restarted.send(1, "other")
    restarted.wait()
    assert len(restarted.launched()) == 1  # the rejected booking was recorded as moot, so it may run now


@pytest.mark.parametrize("fault", ["full", "sync"])
def test_a_permanently_failing_disk_rejects_bookings_but_not_lookups(tmp_path: Path, fault: str) -> None:
    harness = LedgerHarness(tmp_path, cores=4)
    harness.disk.fault, harness.disk.always_fails = fault, True
    for index in range(40):
        harness.send(1, f"key{index}")
        lookup_id = harness.send(2)
        harness.wait(100 * MS)
        harness.end(lookup_id)
        harness.wait(100 * MS)
    assert len(harness.effects_of(AnswerRejected)) == 40
    assert len(harness.launched()) == 40
    assert harness.disk.calls < 20  # the delay between retries grows
    assert len(harness.durable_machine.ledger.segments) < 3


# ---- kills at any point


def _run_three_bookings(harness: LedgerHarness, sent: list[str]) -> None:
    for index in range(3):
        name = harness.send(1, f"key{index}", id=f"{len(sent)}-{index}")
        sent.append(name)
        harness.wait(6 * MS)
        if index != 1 and name in harness.launched():
            harness.end(name)
        harness.wait(6 * MS)


@pytest.mark.parametrize("boot_id", [b"", b"another boot...."])
@pytest.mark.parametrize("clock_shift", [-600, 0, 86_400])
@pytest.mark.parametrize("failing_call", range(1, 22))
def test_no_booking_runs_twice_after_a_kill_at_any_disk_call(
    tmp_path: Path, failing_call: int, clock_shift: int, boot_id: bytes
) -> None:
    """During the restart the wall clock is set back 10 minutes or forward a day, or the machine reboots."""
    harness = LedgerHarness(tmp_path, cores=4)
    harness.disk.failing_call, harness.disk.fault = failing_call, "kill"
    with suppress(KeyboardInterrupt):
        _run_three_bookings(harness, [])
    harness.stop()
    finished = {bytes(effect.result) for effect in harness.effects_of(AnswerFinished)}
    boot_time = START + 9 * SECOND if not boot_id else 7 * SECOND
    restarted = LedgerHarness(
        tmp_path, cores=4, boot_time=boot_time, boot_id=boot_id, now=(1009 + clock_shift) * SECOND
    )
    for index in range(3):
        restarted.send(1, f"key{index}", is_retry=True)
        restarted.wait(3 * SECOND)
    started_again = {int(name[1:]) - 1 for name in restarted.launched()}
    assert not started_again & {int(name[-1]) for name in harness.launched()}
    assert not restarted.effects_of(AnswerRejected)
    repeated_results = {bytes(effect.result) for effect in restarted.effects_of(AnswerFinished)}
    assert repeated_results <= finished
    restarted.stop()


def test_a_repeat_after_a_restart_gets_the_stored_result(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path)
    name = harness.send(1, "key")
    harness.wait()
    harness.end(name)
    harness.wait()
    harness.stop()
    restarted = LedgerHarness(tmp_path, boot_time=START + 5 * SECOND)
    restarted.send(1, "key", is_retry=True)
    restarted.send(2, "key", is_retry=True)
    restarted.send(3, "key", b"a stranger's")
    restarted.wait()
    assert [(effect.connection, bytes(effect.result)) for effect in restarted.effects_of(AnswerFinished)] == [
        (1, b"result of t1"), (2, b"result of t1")]  # fmt: skip
    assert restarted.launched() == ["t3"]


@pytest.mark.parametrize("agent", ["reports the end", "reports nothing", "is new"])
def test_an_intent_without_an_outcome_is_not_started_again(tmp_path: Path, agent: str) -> None:
    harness = LedgerHarness(tmp_path)
    name = harness.send(1, "key")
    harness.wait()
    harness.stop()
    restarted = LedgerHarness(tmp_path, boot_time=START + SECOND, up=False)
    restarted.handle(AgentGreeted(agent == "is new", 60 * SECOND))
    if agent == "reports the end":
        restarted.end(name)
    restarted.send(1, "key", id="later", is_retry=True)
    restarted.wait(3 * SECOND)
    assert restarted.launched() == []
    assert restarted.answers() == ["finished" if agent == "reports the end" else "abandoned"]
    restarted.stop()
    third = LedgerHarness(tmp_path, boot_time=START + 5 * SECOND)
    third.send(1, "key", id="third", is_retry=True)
    third.wait(3 * SECOND)
    assert (third.launched(), third.answers()) == ([], restarted.answers())


@pytest.mark.parametrize("recovery", ["reread", "compacted"])
def test_a_doubt_deadline_survives_restarts_that_come_before_it(
    tmp_path: Path, recovery: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = LedgerHarness(tmp_path)
    harness.send(1, "key")
    harness.wait()
    harness.stop()
    incarnations, max_wait = 0, BOOKING.latency_objective // 2
    for incarnation in range(2, 60):
        boot_time = START + incarnation * 200 * MS
        restarted = LedgerHarness(tmp_path, boot_time=boot_time)
        restarted.send(1, "key", id=f"try{incarnation}", is_retry=True)
        restarted.wait(100 * MS)  # killed before the deadline
        incarnations += 1
        assert restarted.launched() == []
        restarted.stop()
        if recovery == "compacted":
            monkeypatch.setattr(
                "thistleline.cli.ledger_folder.boot_now", lambda boot_time=boot_time: boot_time
            )
            with open_ledger(tmp_path) as contents:
                rewrite_ledger(tmp_path, contents)
        if restarted.answers():
            assert restarted.answers() == ["abandoned"]
            break
    else:
        pytest.fail("no incarnation declared the effect doubtful")
    assert incarnations <= max_wait // (200 * MS) + 2
    assert incarnations > 1  # the outcome is awaited while the effect may still run


def test_an_effect_expires_by_boot_time_and_not_by_the_wall_clock(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path)
    harness.end(harness.send(1, "key"))
    harness.wait()
    harness.stop()
    restarted = LedgerHarness(
        tmp_path, boot_time=START + BOOKING.idempotency_window + 20 * SECOND, now=900 * SECOND
    )
    restarted.send(1, "key", is_retry=True)
    restarted.wait()
    assert len(restarted.launched()) == 1


# ---- limits


def test_disk_usage_is_bounded_by_removing_expired_segments(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path, cores=16, disk=1 << 15)
    max_size = 0
    for index in range(600):
        name = harness.send(index % 8, f"key{index}")
        harness.wait(6 * MS)
        if name in harness.launched():
            harness.end(name)
        harness.wait(100 * MS)
        max_size = max(max_size, sum(size for _, size in harness.disk.segments()))
    assert max_size <= 1 << 15
    assert harness.durable_machine.ledger.refusals == 0
    assert len(harness.launched()) > 500


def test_bookings_are_rejected_at_the_disk_limit_and_accepted_after_records_expire(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path, cores=16, disk=1 << 14, memory_kb=1e9)
    for index in range(400):
        name = harness.send(index % 8, f"key{index}")
        harness.wait(6 * MS)
        if name in harness.launched():
            harness.end(name)
    rejected = harness.effects_of(AnswerRejected)
    assert rejected
    assert harness.durable_machine.ledger.phase == "full"
    assert sum(size for _, size in harness.disk.segments()) <= 1 << 14
    harness.send(1, "key0", is_retry=True)
    harness.wait()
    assert harness.answers()[-1] in ("finished", "abandoned")
    harness.wait(40 * SECOND)
    late = harness.send(1, "late")
    harness.wait()
    assert late in harness.launched()


@pytest.mark.parametrize("failing_call", range(1, 8))
def test_a_kill_during_compaction_loses_no_unexpired_effect(tmp_path: Path, failing_call: int) -> None:
    disk = FaultyDisk(tmp_path)
    store, now = LedgerStore(disk, STAGES), START
    ledger = LedgerState(1 << 16, 1 << 16, now, lambda number: b"r" * 700)
    for index in range(90):
        lifetime = 3600 * SECOND if index % 9 == 0 else SECOND
        number = ledger.record_intent(now, 1, b"%016d" % index, lifetime, b"")
        assert number is not None
        ledger.record_outcome(now, number, "finished", b"r" * 700)
        now += 100 * MS
        write = ledger.next_write(now)
        if write is not None:
            if write.is_compaction:
                disk.failing_call, disk.fault = disk.calls + failing_call, "kill"
            try:
                store.write(write)
            except KeyboardInterrupt:
                break
            ledger.write_completed(now)
    assert ledger.compactions
    recovered = LedgerState(1 << 16, 1 << 16, now, lambda number: None)
    found = [
        effect
        for effect in LedgerStore(Disk(tmp_path), STAGES).recover(recovered)
        if effect.remaining > 60 * SECOND
    ]
    assert len(found) >= index // 9
    assert all(effect.outcome == "finished" for effect in found)


def test_a_drain_waits_until_pending_records_are_durable(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path)
    name = harness.send(1, "key")
    harness.wait()
    harness.defers_writes = True
    harness.handle(ShutdownRequested(harness.now + 3 * SECOND))
    harness.end(name)
    harness.handle(ConnectionEnded(1, ""))
    harness.wait(SECOND)
    assert not harness.effects_of(EndProcess)
    harness.write([effect.write for effect in harness.effects_of(WriteLedger)][-1])
    harness.defers_writes = False
    harness.wait(SECOND)
    assert harness.effects_of(EndProcess)


# ---- the settings file


def test_all_errors_of_a_settings_file_are_reported_with_their_lines() -> None:
    text = "ledger folder relative\nledger disk 9X\nledger disk 1M\nkiln heat 3\nledger colour red\nledger\n'"
    with pytest.raises(ConfigError) as caught:
        parse_config("t.conf", text)
    assert [line.split(": ")[0] for line in caught.value.lines] == [
        f"t.conf:{number}" for number in (1, 2, 3, 4, 5, 6, 7)
    ]
    with pytest.raises(ConfigError, match=r"t\.conf:1: ledger folder is missing"):
        parse_config("t.conf", "ledger disk 64M")


def test_ledger_settings_are_parsed() -> None:
    conf = parse_config("t.conf", "# new parts\nledger folder '/var/lib/a b'  # here\nledger disk 8M\n")
    assert conf.ledger is not None
    assert (str(conf.ledger.folder), conf.ledger.disk, conf.ledger.results) == ("/var/lib/a b", 8 << 20, None)
    assert parse_config("t.conf", "").ledger is None


# ---- the program


def test_a_killed_program_answers_a_repeat_from_its_ledger(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    conf = tmp_path / "t.conf"
    conf.write_text(f"ledger folder {tmp_path}/kept\n")
    monkeypatch.setenv("THISTLELINE_CONF", str(conf))
    agent, announce = FakeAgent(), FakeAnnounce()
    first = ServerProcess(tmp_path, agent, announce)
    try:
        first.wait_for_log("phase", phase="serving")
        with first.connect() as link:
            link.sendall(process_call(1, booking_fields(1, "key")))
            agent.receive()
            start_line = agent.receive()
            agent.end_run(start_line[1], b"Friday at noon")
            assert decode_message(next(read_frames(link)))[3][0][1] == b"Friday at noon"
            link.sendall(process_call(2, booking_fields(2, "other")))
            agent.receive()  # it was started, so its intent and the earlier outcome are durable
    finally:
        first.close()
    second = ServerProcess(tmp_path, agent, announce)
    try:
        assert second.wait_for_log("ledger", state="recovered")["effects"] == 2
        second.wait_for_log("phase", phase="serving")
        with second.connect() as link:
            link.sendall(process_call(1, booking_fields(3, "key", dup="1")))
            assert decode_message(next(read_frames(link)))[3][0][1] == b"Friday at noon"
        assert second.terminate() == 0
    finally:
        second.close()


# ---- the command line


def test_ledger_commands_read_the_folder_of_a_stopped_server(tmp_path: Path) -> None:
    harness = LedgerHarness(tmp_path / "kept", boot_time=boot_now())  # the commands use the machine's clock
    for index in range(3):
        name = harness.send(1, f"key{index}")
        harness.wait()
        harness.end(name)
    harness.wait()
    run, folder = CliRunner().invoke, str(tmp_path / "kept")
    locked = run(entry, ["ledger", "verify", folder])
    assert locked.exit_code == 1
    assert "another program" in locked.output
    harness.stop()
    listed = [
        json.loads(line) for line in run(entry, ["ledger", "inspect", folder, "--json"]).output.splitlines()
    ]
    assert [row["how"] for row in listed] == ["finished"] * 3
    assert run(entry, ["ledger", "compact", folder]).exit_code == 0
    assert len(list((tmp_path / "kept").glob("*.ledger"))) == 1
    compacted = [
        json.loads(line) for line in run(entry, ["ledger", "inspect", folder, "--json"]).output.splitlines()
    ]
    assert [(row["key"], row["result_bytes"]) for row in compacted] == [
        (row["key"], row["result_bytes"]) for row in listed
    ]
    (path,) = (tmp_path / "kept").glob("*.ledger")
    damaged = bytearray(path.read_bytes())
    damaged[len(damaged) // 2] ^= 4
    path.write_bytes(bytes(damaged) + ledger_format.encode_frame([], []))
    assert run(entry, ["ledger", "verify", folder]).exit_code == 1


def test_check_config_reports_all_errors_and_fails(tmp_path: Path) -> None:
    (tmp_path / "t.conf").write_text("ledger folder x\nledger disk y\n")
    result = CliRunner().invoke(entry, ["check-config", str(tmp_path / "t.conf")])
    assert (result.exit_code, result.output.count("t.conf:")) == (2, 2)


@pytest.mark.parametrize(("runs", "kind", "violation"), [
    ([0.0, 5.0], "finished", "run_twice"),
    ([0.0], "rejected", "rejected_after_run"),
    ([], "finished", "acknowledged_and_lost"),
    ([0.0, 10.0], "finished", ""),
])  # fmt: skip
def test_the_lab_oracle_detects_each_violation(runs: list[float], kind: str, violation: str) -> None:
    farm = FakeFarmAgent(1, (0.0, 0.0))
    farm.runs = {b"body": [RunRecord(b"body", "t", began, b"result") for began in runs]} if runs else {}
    caller = Caller(lambda: ("127.0.0.1", 1), 1, 1, "booking", "studio")
    caller.outcomes = [
        AttemptOutcome("key", b"body", kind, b"result" if kind == "finished" else {}, 1.0, 1.5)
    ]
    figures = judge(farm, caller)
    faults = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result")
    assert [name for name in faults if figures[name]] == ([violation] if violation else [])


def test_kills_under_load_run_no_booking_twice(tmp_path: Path) -> None:
    """A short run of the lab's storm part: real processes on a failing disk, killed at set points in the code
    and at random times."""
    figures = anyio.run(storm, tmp_path, 3, 100, 6, True, lambda text: None)
    violations = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result", "faults")
    assert [figures[name] for name in violations] == [0] * 5
    assert figures["answered_all"]
    assert figures["bookings_run"] > 50
