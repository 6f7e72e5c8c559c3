"""The ledger: its format, its state, its files under faults, and a server that starts anew on it."""

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
from thistleline.ledger import format as form
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
HEADER = form.encode_header(STAGES, b"b" * 16)
START = 5000 * SECOND


class Troubled(Disk):
    """A disk that fails one of its calls, once or from then on, or ends the program there."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.calls, self.at, self.how, self.always = 0, 0, "", False

    def _trouble(self) -> bool:
        self.calls += 1
        if self.calls != self.at and not self.always:
            return False
        if self.how == "kill":
            raise KeyboardInterrupt
        raise OSError(errno.ENOSPC if self.how == "full" else errno.EIO, self.how)

    def begin(self, number: int) -> None:
        self._trouble()
        super().begin(number)

    def append(self, data: bytes) -> None:
        try:
            self._trouble()
        except BaseException:
            super().append(data[: len(data) // 2])  # torn
            raise
        super().append(data)

    def sync(self) -> None:
        self._trouble()

    def sync_folder(self) -> None:
        self._trouble()

    def remove(self, number: int) -> None:
        self._trouble()
        super().remove(number)


class KeptDesk(MachineHarness):
    """A desk whose state machine keeps a ledger in a folder; `slow`: works are written when told."""

    def __init__(
        self,
        folder: Path,
        *,
        boot: int = START,
        disk: int = 1 << 20,
        up: bool = True,
        left: bytes = b"",
        now: int = 1000 * SECOND,
        **changes: Any,
    ) -> None:
        self.now, self.lifecycle = now, Lifecycle()
        made = DurableStateMachine(
            machine_options(**changes), now, self.lifecycle, max_disk_bytes=disk, boot_offset=boot - now
        )
        self.machine = self.kept = made
        self.effects, self.answers_measurements, self.last_notice_number, self.count = [], True, 0, 0
        self.disk = Troubled(folder)
        self.disk.acquire()
        self.store = LedgerStore(self.disk, STAGES)
        self.store.boot = left or self.store.boot
        self.slow = False
        self.handle(EffectsRecovered(self.store.recover(made.ledger)))
        self.handle(ListeningStarted())
        if up:
            self.handle(AgentGreeted(False, 60 * SECOND))
            self.wait(50 * MS)

    def handle(self, event: Any) -> list[Any]:
        told_back = super().handle(event)
        for effect in told_back:
            if isinstance(effect, WriteLedger) and not self.slow:
                self.write(effect.write)
        return [effect for effect in told_back if not isinstance(effect, WriteLedger)]

    def write(self, work: Any) -> None:
        try:
            self.store.write(work)
        except OSError as error:
            self.handle(WriteFailed(str(error)))
        else:
            self.handle(WriteCompleted())

    def die(self) -> None:
        self.disk.release()


# ---- its form


NUMBERS, TIMES, SIXTEEN = (
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**62),
    st.binary(min_size=16, max_size=16),
)
INTENTS = st.builds(Intent, NUMBERS, st.integers(0, 9), SIXTEEN, TIMES, TIMES, SIXTEEN)
OUTCOMES = st.builds(Outcome, NUMBERS, st.integers(0, 3), st.binary(max_size=40))
GROUPS = st.lists(st.tuples(st.lists(INTENTS, max_size=4), st.lists(OUTCOMES, max_size=4)), max_size=5)


def _read(data: bytes, place: int = 0) -> list[RecordGroup]:
    return [
        form.decode_group(payload)
        for _, payload, _ in form.iter_frames(memoryview(data), place)
        if payload is not None
    ]


@given(GROUPS)
@settings(derandomize=True, database=None)
def test_what_is_written_is_read(groups: list[tuple[list[Intent], list[Outcome]]]) -> None:
    assert _read(b"".join(form.encode_frame(*group) for group in groups)) == [
        RecordGroup(*group) for group in groups
    ]


@given(GROUPS, st.data())
@settings(derandomize=True, database=None, max_examples=300)
def test_a_flipped_bit_or_a_cut_takes_its_own_group_and_no_other(groups: Any, data: st.DataObject) -> None:
    parts = [form.encode_frame(*group) for group in groups]
    whole = b"".join(parts)
    place = data.draw(st.integers(0, max(0, len(whole) - 1)))
    if data.draw(st.booleans()):
        harmed = whole[:place]
    else:
        flipped = bytearray(whole)
        if whole:
            flipped[place] ^= 1 << data.draw(st.integers(0, 7))
        harmed = bytes(flipped)
    kept, start = [], 0
    for part, group in zip(parts, groups, strict=True):
        if harmed[start : start + len(part)] == part:
            kept.append(RecordGroup(*group))
        start += len(part)
    assert _read(harmed) == kept


@given(st.binary(max_size=300))
@settings(derandomize=True, database=None)
def test_any_bytes_are_damaged_or_nothing(data: bytes) -> None:
    assert _read(data) == []
    with pytest.raises(CorruptFrameError):
        form.decode_header(data)


@pytest.mark.parametrize(("head", "reason"), [
    (HEADER[:8] + b"\3\0" + HEADER[10:], "form 3"),
    (b"X" + HEADER[1:], "no segment"),
    (HEADER[:-1] + b"!", "checksum"),
])  # fmt: skip
def test_a_segment_of_another_form_is_refused_with_the_reason(
    head: bytes, reason: str, tmp_path: Path
) -> None:
    (tmp_path / "000000000001.ledger").write_bytes(head)
    with pytest.raises(CorruptFrameError, match=reason):
        LedgerStore(Disk(tmp_path), STAGES).recover(LedgerState(1 << 20, 1 << 20, START, lambda _: None))


def test_a_second_program_on_a_folder_is_told_so(tmp_path: Path) -> None:
    first = Disk(tmp_path)
    first.acquire()
    with pytest.raises(DiskLockedError, match="another program"):
        Disk(tmp_path).acquire()
    first.release()
    Disk(tmp_path).acquire()


# ---- nothing starts before its intent is durable


def test_a_booking_is_launched_once_its_intent_is_durable_a_lookup_at_once(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path, cores=4)
    desk.slow = True
    read, booked = desk.send(1), desk.send(1, "mark")
    desk.wait()
    assert desk.launched() == [read]
    (work,) = [effect.write for effect in desk.effects_of(WriteLedger)]
    desk.write(work)
    assert desk.launched() == [read, booked]


def test_what_waits_on_a_sync_goes_together_in_the_next(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path, cores=16)
    desk.slow = True
    for place in range(9):
        desk.send(place % 3, f"mark{place}")
        desk.wait()
    works = [effect.write for effect in desk.effects_of(WriteLedger)]
    assert [len(work.group.intents) for work in works] == [1]
    desk.write(works[0])
    works = [effect.write for effect in desk.effects_of(WriteLedger)]
    assert [len(work.group.intents) for work in works] == [1, 8]


def test_a_sync_that_failed_once_starts_nothing_and_is_never_taken_for_durable(tmp_path: Path) -> None:
    """Bookings are rejected with when to come back, lookups go on; the next segment serves again."""
    desk = KeptDesk(tmp_path, cores=4)
    desk.disk.at, desk.disk.how = desk.disk.calls + 4, "sync"  # begin, head, frame, sync
    read, failed = desk.send(1), desk.send(2, "mark")
    desk.wait(1 * MS)
    refused = desk.send(3, "other")
    desk.wait(20 * MS)
    assert desk.launched() == [read]
    assert [(effect.connection, effect.retry_after > 0) for effect in desk.effects_of(AnswerRejected)] == [
        (2, True),
        (3, True),
    ]
    desk.wait(300 * MS)
    again = desk.send(2, "mark", is_retry=True)
    desk.wait()
    assert desk.launched() == [read, again]
    assert (failed, refused) == ("t2", "t3")
    desk.die()
    later = KeptDesk(tmp_path)
    later.send(1, "other")
    later.wait()
    assert len(later.launched()) == 1  # its intent was told to be moot


@pytest.mark.parametrize("how", ["full", "sync"])
def test_a_disk_that_goes_on_failing_ends_nothing(tmp_path: Path, how: str) -> None:
    desk = KeptDesk(tmp_path, cores=4)
    desk.disk.how, desk.disk.always = how, True
    for place in range(40):
        desk.send(1, f"mark{place}")
        read = desk.send(2)
        desk.wait(100 * MS)
        desk.end(read)
        desk.wait(100 * MS)
    assert len(desk.effects_of(AnswerRejected)) == 40
    assert len(desk.launched()) == 40
    assert desk.disk.calls < 20  # tries are further and further apart
    assert len(desk.kept.ledger.segments) < 3


# ---- a kill at any point


def _life(desk: KeptDesk, sent: list[str]) -> None:
    for place in range(3):
        name = desk.send(1, f"mark{place}", id=f"{len(sent)}-{place}")
        sent.append(name)
        desk.wait(6 * MS)
        if place != 1 and name in desk.launched():
            desk.end(name)
        desk.wait(6 * MS)


@pytest.mark.parametrize("left", [b"", b"another boot...."])
@pytest.mark.parametrize("back", [-600, 0, 86_400])
@pytest.mark.parametrize("at", range(1, 22))
def test_after_a_kill_at_any_call_no_booking_runs_twice(
    tmp_path: Path, at: int, back: int, left: bytes
) -> None:
    """The wall clock is set back, or on by a day, over the restart; or the machine started anew."""
    desk = KeptDesk(tmp_path, cores=4)
    desk.disk.at, desk.disk.how = at, "kill"
    with suppress(KeyboardInterrupt):
        _life(desk, [])
    desk.die()
    finished = {bytes(effect.result) for effect in desk.effects_of(AnswerFinished)}
    boot = START + 9 * SECOND if not left else 7 * SECOND
    later = KeptDesk(tmp_path, cores=4, boot=boot, left=left, now=(1009 + back) * SECOND)
    for place in range(3):
        later.send(1, f"mark{place}", is_retry=True)
        later.wait(3 * SECOND)
    again = {int(name[1:]) - 1 for name in later.launched()}
    assert not again & {int(name[-1]) for name in desk.launched()}
    assert not later.effects_of(AnswerRejected)
    told = {bytes(effect.result) for effect in later.effects_of(AnswerFinished)}
    assert told <= finished
    later.die()


def test_a_repeat_after_a_restart_gets_the_stored_result(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path)
    name = desk.send(1, "mark")
    desk.wait()
    desk.end(name)
    desk.wait()
    desk.die()
    later = KeptDesk(tmp_path, boot=START + 5 * SECOND)
    later.send(1, "mark", is_retry=True)
    later.send(2, "mark", is_retry=True)
    later.send(3, "mark", b"a stranger's")
    later.wait()
    assert [(effect.connection, bytes(effect.result)) for effect in later.effects_of(AnswerFinished)] == [
        (1, b"result of t1"), (2, b"result of t1")]  # fmt: skip
    assert later.launched() == ["t3"]


@pytest.mark.parametrize("agent", ["tells its end", "tells nothing", "is new"])
def test_an_intent_without_an_end_may_have_run(tmp_path: Path, agent: str) -> None:
    desk = KeptDesk(tmp_path)
    name = desk.send(1, "mark")
    desk.wait()
    desk.die()
    later = KeptDesk(tmp_path, boot=START + SECOND, up=False)
    later.handle(AgentGreeted(agent == "is new", 60 * SECOND))
    if agent == "tells its end":
        later.end(name)
    later.send(1, "mark", id="later", is_retry=True)
    later.wait(3 * SECOND)
    assert later.launched() == []
    assert later.answers() == ["finished" if agent == "tells its end" else "abandoned"]
    later.die()
    third = KeptDesk(tmp_path, boot=START + 5 * SECOND)
    third.send(1, "mark", id="third", is_retry=True)
    third.wait(3 * SECOND)
    assert (third.launched(), third.answers()) == ([], later.answers())


@pytest.mark.parametrize("how", ["read again", "compacted"])
def test_doubt_outlives_lives_too_short_to_settle_it(
    tmp_path: Path, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    desk = KeptDesk(tmp_path)
    desk.send(1, "mark")
    desk.wait()
    desk.die()
    lives, span = 0, BOOKING.latency_objective // 2
    for life in range(2, 60):
        boot = START + life * 200 * MS
        later = KeptDesk(tmp_path, boot=boot)
        later.send(1, "mark", id=f"try{life}", is_retry=True)
        later.wait(100 * MS)  # and is killed
        lives += 1
        assert later.launched() == []
        later.die()
        if how == "compacted":
            monkeypatch.setattr("thistleline.cli.ledger_folder.boot_now", lambda boot=boot: boot)
            with open_ledger(tmp_path) as contents:
                rewrite_ledger(tmp_path, contents)
        if later.answers():
            assert later.answers() == ["abandoned"]
            break
    else:
        pytest.fail("no life ever came to say that it is in doubt")
    assert lives <= span // (200 * MS) + 2
    assert lives > 1  # what may still run is awaited


def test_past_its_window_it_is_forgotten_by_the_clock_that_nobody_sets(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path)
    desk.end(desk.send(1, "mark"))
    desk.wait()
    desk.die()
    later = KeptDesk(tmp_path, boot=START + BOOKING.idempotency_window + 20 * SECOND, now=900 * SECOND)
    later.send(1, "mark", is_retry=True)
    later.wait()
    assert len(later.launched()) == 1


# ---- bounds


def test_the_disk_is_bounded_and_old_segments_go(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path, cores=16, disk=1 << 15)
    most = 0
    for place in range(600):
        name = desk.send(place % 8, f"mark{place}")
        desk.wait(6 * MS)
        if name in desk.launched():
            desk.end(name)
        desk.wait(100 * MS)
        most = max(most, sum(size for _, size in desk.disk.segments()))
    assert most <= 1 << 15
    assert desk.kept.ledger.refusals == 0
    assert len(desk.launched()) > 500


def test_at_the_bound_in_a_burst_bookings_are_rejected_and_later_taken(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path, cores=16, disk=1 << 14, memory_kb=1e9)
    for place in range(400):
        name = desk.send(place % 8, f"mark{place}")
        desk.wait(6 * MS)
        if name in desk.launched():
            desk.end(name)
    refused = desk.effects_of(AnswerRejected)
    assert refused
    assert desk.kept.ledger.phase == "full"
    assert sum(size for _, size in desk.disk.segments()) <= 1 << 14
    desk.send(1, "mark0", is_retry=True)
    desk.wait()
    assert desk.answers()[-1] in ("finished", "abandoned")
    desk.wait(40 * SECOND)
    late = desk.send(1, "late")
    desk.wait()
    assert late in desk.launched()


@pytest.mark.parametrize("at", range(1, 8))
def test_compaction_leaves_out_what_is_over_and_survives_a_kill(tmp_path: Path, at: int) -> None:
    disk = Troubled(tmp_path)
    store, now = LedgerStore(disk, STAGES), START
    ledger = LedgerState(1 << 16, 1 << 16, now, lambda number: b"r" * 700)
    for place in range(90):
        span = 3600 * SECOND if place % 9 == 0 else SECOND
        number = ledger.record_intent(now, 1, b"%016d" % place, span, b"")
        assert number is not None
        ledger.record_outcome(now, number, "finished", b"r" * 700)
        now += 100 * MS
        work = ledger.next_write(now)
        if work is not None:
            if work.is_compaction:
                disk.at, disk.how = disk.calls + at, "kill"
            try:
                store.write(work)
            except KeyboardInterrupt:
                break
            ledger.write_completed(now)
    assert ledger.compactions
    kept = LedgerState(1 << 16, 1 << 16, now, lambda number: None)
    found = [one for one in LedgerStore(Disk(tmp_path), STAGES).recover(kept) if one.remaining > 60 * SECOND]
    assert len(found) >= place // 9
    assert all(one.outcome == "finished" for one in found)


def test_a_drain_writes_what_is_unsynced_before_it_ends(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path)
    name = desk.send(1, "mark")
    desk.wait()
    desk.slow = True
    desk.handle(ShutdownRequested(desk.now + 3 * SECOND))
    desk.end(name)
    desk.handle(ConnectionEnded(1, ""))
    desk.wait(SECOND)
    assert not desk.effects_of(EndProcess)
    desk.write([effect.write for effect in desk.effects_of(WriteLedger)][-1])
    desk.slow = False
    desk.wait(SECOND)
    assert desk.effects_of(EndProcess)


# ---- the file of settings


def test_all_faults_of_a_file_are_told_at_once_with_their_lines() -> None:
    text = "ledger folder relative\nledger disk 9X\nledger disk 1M\nkiln heat 3\nledger colour red\nledger\n'"
    with pytest.raises(ConfigError) as caught:
        parse_config("t.conf", text)
    assert [line.split(": ")[0] for line in caught.value.lines] == [
        f"t.conf:{number}" for number in (1, 2, 3, 4, 5, 6, 7)
    ]
    with pytest.raises(ConfigError, match=r"t\.conf:1: ledger folder is missing"):
        parse_config("t.conf", "ledger disk 64M")


def test_a_file_is_read() -> None:
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
            link.sendall(process_call(1, booking_fields(1, "mark")))
            agent.receive()
            launch = agent.receive()
            agent.end_run(launch[1], b"Friday at noon")
            assert decode_message(next(read_frames(link)))[3][0][1] == b"Friday at noon"
            link.sendall(process_call(2, booking_fields(2, "other")))
            agent.receive()  # it is launched, so its intent and the outcome before it are durable
    finally:
        first.close()
    second = ServerProcess(tmp_path, agent, announce)
    try:
        assert second.wait_for_log("ledger", state="recovered")["effects"] == 2
        second.wait_for_log("phase", phase="serving")
        with second.connect() as link:
            link.sendall(process_call(1, booking_fields(3, "mark", dup="1")))
            assert decode_message(next(read_frames(link)))[3][0][1] == b"Friday at noon"
        assert second.terminate() == 0
    finally:
        second.close()


# ---- the command line


def test_the_commands_read_what_a_server_left(tmp_path: Path) -> None:
    desk = KeptDesk(tmp_path / "kept", boot=boot_now())  # the commands go by the machine's own clock
    for place in range(3):
        name = desk.send(1, f"mark{place}")
        desk.wait()
        desk.end(name)
    desk.wait()
    run, folder = CliRunner().invoke, str(tmp_path / "kept")
    held = run(entry, ["ledger", "verify", folder])
    assert held.exit_code == 1
    assert "another program" in held.output
    desk.die()
    listed = [
        json.loads(line) for line in run(entry, ["ledger", "inspect", folder, "--json"]).output.splitlines()
    ]
    assert [one["how"] for one in listed] == ["finished"] * 3
    assert run(entry, ["ledger", "compact", folder]).exit_code == 0
    assert len(list((tmp_path / "kept").glob("*.ledger"))) == 1
    again = [
        json.loads(line) for line in run(entry, ["ledger", "inspect", folder, "--json"]).output.splitlines()
    ]
    assert [(one["key"], one["result_bytes"]) for one in again] == [
        (one["key"], one["result_bytes"]) for one in listed
    ]
    (path,) = (tmp_path / "kept").glob("*.ledger")
    harmed = bytearray(path.read_bytes())
    harmed[len(harmed) // 2] ^= 4
    path.write_bytes(bytes(harmed) + form.encode_frame([], []))
    assert run(entry, ["ledger", "verify", folder]).exit_code == 1


def test_check_config_tells_every_fault_and_fails(tmp_path: Path) -> None:
    (tmp_path / "t.conf").write_text("ledger folder x\nledger disk y\n")
    told = CliRunner().invoke(entry, ["check-config", str(tmp_path / "t.conf")])
    assert (told.exit_code, told.output.count("t.conf:")) == (2, 2)


@pytest.mark.parametrize(("runs", "kind", "wrong"), [
    ([0.0, 5.0], "finished", "run_twice"),
    ([0.0], "rejected", "rejected_after_run"),
    ([], "finished", "acknowledged_and_lost"),
    ([0.0, 10.0], "finished", ""),
])  # fmt: skip
def test_the_oracle_of_the_laboratory_can_fail(runs: list[float], kind: str, wrong: str) -> None:
    farm = FakeFarmAgent(1, (0.0, 0.0))
    farm.runs = {b"body": [RunRecord(b"body", "t", began, b"result") for began in runs]} if runs else {}
    caller = Caller(lambda: ("127.0.0.1", 1), 1, 1, "booking", "studio")
    caller.outcomes = [
        AttemptOutcome("mark", b"body", kind, b"result" if kind == "finished" else {}, 1.0, 1.5)
    ]
    figures = judge(farm, caller)
    faults = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result")
    assert [name for name in faults if figures[name]] == ([wrong] if wrong else [])


def test_kills_under_load_run_nothing_twice(tmp_path: Path) -> None:
    """The laboratory's storm in small: real processes, killed at points and at random, on a failing disk."""
    figures = anyio.run(storm, tmp_path, 3, 100, 6, True, lambda text: None)
    wrong = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result", "faults")
    assert [figures[name] for name in wrong] == [0] * 5
    assert figures["answered_all"]
    assert figures["bookings_run"] > 50
