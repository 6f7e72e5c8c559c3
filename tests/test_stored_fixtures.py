"""Stored data written by the code of commit 11fdf15 is still read correctly.

The folders under tests/fixtures/stored/ were written once by tests/fixtures/stored/make_fixtures.py; each
test reads a copy in tmp_path, so that the committed files are never modified, and asserts the exact stored
content.
"""

import hashlib
import shutil
from pathlib import Path
from typing import Any

import pytest

from thistleline.config_feed.archive import Archive
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import FeedTable
from thistleline.consensus.messages import Entry, Member
from thistleline.consensus.records import SnapshotRecord, VoteRecord
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import RaftTiming
from thistleline.consensus.store import ReplicaStore
from thistleline.ledger.records import RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore, SegmentReading
from thistleline.store.disk import Disk

STORED = Path(__file__).parent / "fixtures" / "stored"
SECOND = 1_000_000_000

FILES = {
    "ledger/000000000001.ledger": (463, "1c6262892e676a071cae19231874e6e6c99edc1176abbdf605a6798578bb87e8"),
    "ledger/000000000002.ledger": (199, "604cec9bd2f6c7819d0e9d6b8861d122b147f65f3f949b0e43a5d327584a7ec8"),
    "replica_log/000000000002.council": (
        1274,
        "cd27f344326cd0192cab28d455b20ec46ad331933ac8a706156f03b5aeaf1884",
    ),
    "feed_archive/000000000001.feed": (
        701,
        "61c89eb43888c3b448920d142565b32515ee4d6050fa3b64f80ce41ae6cc062b",
    ),
}


def copied_fixture(tmp_path: Path, name: str) -> Path:
    """Copy one fixture folder, so that it can be read and written as by a server."""
    folder = tmp_path / name
    shutil.copytree(STORED / name, folder)
    return folder


def test_the_committed_fixtures_are_unchanged() -> None:
    """No fixture file was added, removed or changed since the code of commit 11fdf15 wrote the fixtures."""
    found = sorted(
        str(path.relative_to(STORED)) for path in STORED.rglob("*") if path.is_file() and path.suffix != ".py"
    )
    assert found == sorted(FILES)
    for name, (size, digest) in FILES.items():
        data = (STORED / name).read_bytes()
        assert (len(data), hashlib.sha256(data).hexdigest()) == (size, digest), name


# ---- the ledger

STAGES = ("lookup", "booking")
BOOT = bytes.fromhex("7f3a9c1e5b2d4f60a1b2c3d4e5f60718")  # the boot id in the segment headers
NOW = 5060 * SECOND  # boot time at which the ledger is read: 60 s after its first incarnation started


def recovered_ledger(
    folder: Path, boot: bytes, stages: tuple[str, ...] = STAGES
) -> tuple[list[RecoveredEffect], Any]:
    disk = Disk(folder)
    disk.acquire()
    store = LedgerStore(disk, stages)
    store.boot = boot
    readings: list[SegmentReading] = []
    ledger = LedgerState(8192, 8192, NOW, lambda _: None)
    found = store.recover(ledger, readings.append)
    disk.release()
    return found, readings


def test_a_ledger_is_recovered_in_the_same_boot(tmp_path: Path) -> None:
    """Times are taken as written. The deadline until which an effect's outcome is awaited, which the second
    incarnation of the server recorded, applies."""
    found, readings = recovered_ledger(copied_fixture(tmp_path, "ledger"), BOOT)
    assert readings == [
        SegmentReading(1, 463, 5, 4, False, 0, 463),
        SegmentReading(2, 199, 1, 2, False, 0, 199),
    ]
    ttl = (5000 + 3600) * SECOND - NOW
    assert found == [
        RecoveredEffect(1, 1, b"digest-000000001", b"order-0001", ttl, "finished", b"receipt-0001", None),
        RecoveredEffect(2, 1, b"digest-000000002", b"order-0002", ttl, "failed", b"card declined", None),
        RecoveredEffect(4, 1, b"digest-000000004", b"order-0004", ttl, None, None, 5040 * SECOND),
        RecoveredEffect(5, 0, b"digest-000000005", b"order-0005", ttl, "finished", b"found: 42", None),
        RecoveredEffect(6, 1, b"digest-000000006", b"order-0006", ttl + 10 * SECOND, "stopped", None, None),
    ]  # effect 3 was recorded as moot (never started), so it is not recovered


def test_a_ledger_is_recovered_after_a_reboot(tmp_path: Path) -> None:
    """After a reboot each effect is retained for its full lifetime from the recovery on, and has no deadline
    until which its outcome is awaited."""
    found, _ = recovered_ledger(
        copied_fixture(tmp_path, "ledger"), bytes.fromhex("00112233445566778899aabbccddeeff")
    )
    ttl = 3600 * SECOND
    assert found == [
        RecoveredEffect(1, 1, b"digest-000000001", b"order-0001", ttl, "finished", b"receipt-0001", None),
        RecoveredEffect(2, 1, b"digest-000000002", b"order-0002", ttl, "failed", b"card declined", None),
        RecoveredEffect(4, 1, b"digest-000000004", b"order-0004", ttl, None, None, None),
        RecoveredEffect(5, 0, b"digest-000000005", b"order-0005", ttl, "finished", b"found: 42", None),
        RecoveredEffect(6, 1, b"digest-000000006", b"order-0006", ttl, "stopped", None, None),
    ]


def test_stages_of_a_ledger_are_matched_by_name(tmp_path: Path) -> None:
    """Segment headers contain the stage names: a server with another order maps each effect to its stage,
    and does not match any task with the effects of a stage that it no longer has."""
    found, _ = recovered_ledger(copied_fixture(tmp_path, "ledger"), BOOT, ("booking", "lookup"))
    assert [(effect.number, effect.stage) for effect in found] == [(1, 0), (2, 0), (4, 0), (5, 1), (6, 0)]
    found, _ = recovered_ledger(copied_fixture(tmp_path / "again", "ledger"), BOOT, ("booking",))
    assert [effect.number for effect in found] == [1, 2, 4, 6]


def test_a_recovered_ledger_continues_in_a_new_segment(tmp_path: Path) -> None:
    """A recovered ledger continues the numbering: effect 7 in segment 3."""
    folder = copied_fixture(tmp_path, "ledger")
    disk = Disk(folder)
    disk.acquire()
    store = LedgerStore(disk, STAGES)
    store.boot = BOOT
    ledger = LedgerState(8192, 8192, NOW, lambda _: None)
    store.recover(ledger)
    assert ledger.record_intent(NOW, 1, b"digest-000000007", 3600 * SECOND, b"order-0007") == 7
    write = ledger.next_write(NOW)
    assert write is not None
    assert (write.segment, write.creates_segment, write.obsolete_segments) == (3, True, ())
    store.write(write)
    assert ledger.write_completed(NOW) == [7]
    disk.release()
    found, _ = recovered_ledger(folder, BOOT)
    assert [effect.number for effect in found] == [1, 2, 4, 5, 6, 7]
    assert [number for number, _ in Disk(folder).segments()] == [1, 2, 3]


# ---- the replicated log

MEMBERS = (
    Member("v1.fixture", "127.0.0.1:7101"),
    Member("v2.fixture", "127.0.0.1:7102"),
    Member("v3.fixture", "127.0.0.1:7103"),
)


def test_a_replicated_log_is_recovered(tmp_path: Path) -> None:
    """Recovery returns the newest segment's snapshot, the last vote, and the log. The former leader's
    entries from index 6 on are truncated, including its membership change."""
    found = ReplicaStore(Disk(copied_fixture(tmp_path, "replica_log"), "council")).recover()
    assert found is not None
    assert found.snapshot == SnapshotRecord(
        "v1.fixture", "council-fixture", 2, "v2.fixture", 3, 2, MEMBERS, b"state: a=1"
    )
    assert found.vote == VoteRecord(3, "v3.fixture")
    log = found.log
    assert (log.snapshot_index, log.snapshot_term, log.snapshot_members, log.last_index) == (3, 2, MEMBERS, 7)
    assert log.entries == [
        Entry(2, "decision", b"set b=2"),
        Entry(2, "decision", b"set c=3"),
        Entry(3, "nothing", b""),
        Entry(3, "decision", b"set d=4"),
    ]
    assert [log.term_at(index) for index in range(2, 9)] == [-1, 2, 2, 2, 3, 3, -1]
    assert log.members() == MEMBERS
    assert log.member_changes == []


class RecordingMachine:
    """A minimal replicated state machine that records the restored state and the applied entries."""

    def __init__(self) -> None:
        self.state = b""
        self.applied: list[tuple[int, bytes]] = []

    def apply(self, index: int, data: bytes) -> None:
        self.applied.append((index, data))

    def snapshot(self) -> bytes:
        return self.state

    def restore(self, state: bytes) -> None:
        self.state = state

    def copy(self) -> "RecordingMachine":
        copy = RecordingMachine()
        copy.state, copy.applied = self.state, list(self.applied)
        return copy

    def state_key(self) -> tuple[bytes, tuple[tuple[int, bytes], ...]]:
        return self.state, tuple(self.applied)


def test_a_replica_starts_from_the_recovered_log(tmp_path: Path) -> None:
    """The replica is a follower in term 3 with its recorded vote and a durable log; the snapshot restores its
    state machine."""
    found = ReplicaStore(Disk(copied_fixture(tmp_path, "replica_log"), "council")).recover()
    assert found is not None
    machine = RecordingMachine()
    timing = RaftTiming(100 * 1_000_000, SECOND, SECOND)
    state = Replica("v1.fixture", machine, 7000 * SECOND, timing, lambda _: 0, found).state
    assert (state.cluster_id, state.phase, state.term, state.voted_for) == (
        "council-fixture",
        "following",
        3,
        "v3.fixture",
    )
    assert (state.commit_index, state.last_applied, state.durable_index) == (3, 3, 7)
    assert state.members == MEMBERS
    assert (machine.state, machine.applied) == (b"state: a=1", [])


# ---- the feed archive

FEED_ENTRIES = [
    ("route/checkout", b"pool-c", 4),
    ("route/cart", b"pool-a", 7),
    ("tenant/acme", b"platinum", 6),
    ("made/3", b"req-3", 3),
    ("tenant/globex", b"silver", 5),
]


def test_a_feed_archive_is_recovered(tmp_path: Path) -> None:
    """The snapshot of state 3 and the steps up to 7 set, change and delete keys, with their versions."""
    disk = Disk(copied_fixture(tmp_path, "feed_archive"), "feed")
    disk.acquire()
    archive = Archive(disk, "all")
    table = archive.recover()
    disk.release()
    assert table is not None
    assert (
        table.sequence,
        archive.durable,
        archive.recovery_failure,
        archive.segment,
        archive.old_segments,
    ) == (7, 7, "", 1, [1])
    assert sorted(table.entries("all")) == sorted(FEED_ENTRIES)
    assert dict(table.wide) == {"route/checkout": (b"pool-c", 4), "route/cart": (b"pool-a", 7)}
    assert dict(table.tenants) == {
        "tenant/acme": (b"platinum", 6),
        "made/3": (b"req-3", 3),
        "tenant/globex": (b"silver", 5),
    }
    assert table.digest("all").hex() == "cebdacb4b790a91e0098d1393cc982f3"
    assert table.digest("wide").hex() == "9c1124fd745519f9b9b80f276c13e5af"
    assert archive.digest == table.digest("all")
    assert table == FeedTable().update(7, FEED_ENTRIES)
    for deleted_key in ("common/limit", "route/search"):
        assert table.get(deleted_key) is None


def test_a_feed_archive_of_another_kind_is_not_loaded(tmp_path: Path) -> None:
    """An archive of an instance (kind "wide") does not load the archive of a keeper (kind "all")."""
    archive = Archive(Disk(copied_fixture(tmp_path, "feed_archive"), "feed"), "wide")
    assert archive.recover() is None
    assert archive.recovery_failure == "000000000001.feed is not an archive of format version 1 and kind wide"


@pytest.mark.parametrize("difference", ["version", "kind"])
def test_a_feed_archive_that_is_not_understood_is_retained(tmp_path: Path, difference: str) -> None:
    # Guards against a rollback that removes the archive which the newer release wrote.
    folder = copied_fixture(tmp_path, "feed_archive")
    [path] = folder.glob("*.feed")
    if difference == "version":
        data = bytearray(path.read_bytes())
        data[8:10] = (2).to_bytes(2, "little")
        path.write_bytes(data)
    written = path.read_bytes()
    kind: Kind = "wide" if difference == "kind" else "all"
    for incarnation in range(1, 3):
        disk = Disk(folder, "feed")
        disk.acquire()
        archive = Archive(disk, kind)
        recovered = archive.recover()
        assert (recovered is not None) == (incarnation > 1)
        assert archive.write(FeedTable().update(incarnation, [("route/a", b"x", incarnation)])) == incarnation
        disk.release()
    assert path.read_bytes() == written
    assert len(list(folder.glob("*.feed"))) == 2  # that one, and the newest snapshot
