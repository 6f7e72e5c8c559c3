"""Rebuilds a replica's state by replaying its records in order. No I/O."""

from collections.abc import Mapping

from thistleline.consensus.log import Log
from thistleline.consensus.records import EntriesRecord, Record, SnapshotRecord, VoteRecord
from thistleline.consensus.state import NO_RENAMES, RecoveredState
from thistleline.store.frames import CorruptFrameError


class Replay:
    """The replica's state after replaying some of the records in one segment file."""

    __slots__ = ("log", "snapshot", "vote")

    def __init__(self) -> None:
        """Create an empty state, before the first record."""
        self.snapshot: SnapshotRecord | None = None
        self.vote = VoteRecord(0, "")
        self.log = Log()

    def apply(self, record: Record) -> None:
        """Apply the next record.

        Raises:
            CorruptFrameError: The record is not valid after the records before it.
        """
        match record:
            case SnapshotRecord():
                self.snapshot = record
                self.vote = VoteRecord(record.term, record.voted_for)
                self.log = Log(record.last_included_index, record.last_included_term, record.members)
            case _ if self.snapshot is None:
                raise CorruptFrameError("the segment does not begin with a snapshot record")
            case VoteRecord():
                self.vote = record
            case EntriesRecord():
                self._apply_entries(record)

    def _apply_entries(self, record: EntriesRecord) -> None:
        log = self.log
        if not log.snapshot_index < record.first_index <= log.last_index + 1:
            raise CorruptFrameError(
                f"the log ends at index {log.last_index}, but the next entries begin at {record.first_index}"
            )
        log.truncate(record.first_index)
        for entry in record.entries:
            log.append(entry)

    def recovered_state(self) -> RecoveredState | None:
        """Return the state after all replayed records; None before the first record."""
        return None if self.snapshot is None else RecoveredState(self.snapshot, self.vote, self.log.copy())

    def copy(self) -> "Replay":
        """Return an independent copy."""
        copied = Replay()
        copied.snapshot = self.snapshot
        copied.vote = self.vote
        copied.log = self.log.copy()
        return copied

    def state_key(self, names: Mapping[str, str] = NO_RENAMES) -> tuple[object, ...]:
        """Return a hashable value that is equal for equal records, with replicas renamed by `names`."""
        voted_for = self.vote.voted_for
        snapshot = self.snapshot and (self.snapshot.last_included_index, self.snapshot.state)
        return names.get(voted_for, voted_for), self.vote.term, snapshot, self.log.state_key()
