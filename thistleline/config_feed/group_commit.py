"""Group commit: writes one group at a time to the next record of the ring. No I/O, no clock.

A group is a list of consecutive changes that are committed together in one record of the consensus cluster.
The ring is a fixed number of such records, which are overwritten in turn (`record_ring.py`).
The write is conditional on the record's version and on the epoch of the lease. If its outcome is unknown, the
record is read: it contains the group, or it is unchanged and the write is sent again, or another writer has
written it.
"""

from __future__ import annotations

from copy import copy
from dataclasses import dataclass, replace
from typing import Any

from thistleline.config_feed.limits import MS, NEVER, SECOND
from thistleline.config_feed.messages import Group, encode
from thistleline.config_feed.pending_queue import PendingChange
from thistleline.config_feed.record_ring import RecordRing
from thistleline.config_feed.recovery import LEASE_NAME
from thistleline.config_feed.writer_effects import ReadRecord, WriteRecord
from thistleline.config_feed.writer_events import (
    RecordRead,
    RecordWritten,
    WriteDenied,
    WriteUnanswered,
)
from thistleline.lease.protocol import Put
from thistleline.reducer.events import DeadlineReached

READ_RETRY_NS = SECOND  # time after which an unanswered read is repeated
WRITE_TIMEOUT_NS = 5 * SECOND  # time after which an unanswered write's outcome is read from its record
WRITE_RETRY_DELAY_NS = 100 * MS  # wait before reading the record after a repeated write had no answer

CommitEvent = RecordWritten | WriteDenied | WriteUnanswered | RecordRead | DeadlineReached


@dataclass(frozen=True, slots=True)
class GroupCommitted:
    """The group is in its record of the consensus cluster: its changes are committed and can't be lost."""

    changes: tuple[PendingChange, ...]


@dataclass(frozen=True, slots=True)
class CommitFailed:
    """The group can't be committed by this writer."""

    reason: str


CommitEffect = ReadRecord | WriteRecord | GroupCommitted | CommitFailed


@dataclass(slots=True)
class InFlightGroup:
    """The group whose write has no known outcome yet."""

    changes: tuple[PendingChange, ...]
    put: Put
    attempts: int = 0
    denial: str = ""  # why the consensus cluster denied the last attempt


class GroupCommit:
    """Commits one group of changes at a time.

    Attributes:
        in_flight: The group that is being committed.
        is_settling: Whether the group's record is being read to determine the outcome of the write.
    """

    __slots__ = ("_deadline", "_ring", "in_flight", "is_settling")

    def __init__(self, ring: RecordRing) -> None:
        """Start without a group; `ring` is shared with the writer."""
        self._ring = ring
        self.in_flight: InFlightGroup | None = None
        self.is_settling = False
        self._deadline = NEVER

    def copy(self, ring: RecordRing) -> GroupCommit:
        """Return an independent copy that uses this copy of the ring."""
        copied = copy(self)
        copied._ring = ring
        copied.in_flight = replace(self.in_flight) if self.in_flight is not None else None
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines behaviour, as a hashable value."""
        flight = self.in_flight
        if flight is None:
            return (self._deadline,)
        changes = tuple(pending.change for pending in flight.changes)
        return (self._deadline, self.is_settling, changes, flight.put, flight.attempts, flight.denial)

    def next_deadline(self) -> int:
        """Return the time in ns at which `DeadlineReached` must be passed in."""
        return self._deadline

    def begin(
        self, now: int, epoch: int, changes: tuple[PendingChange, ...], digest_before: bytes
    ) -> list[CommitEffect]:
        """Write these changes as the next group; no other group may be in flight.

        Args:
            now: Time in ns.
            epoch: Fencing epoch of the writer's lease.
            changes: At least one; the first follows the newest committed state.
            digest_before: Digest of the state before the first change.
        """
        group = Group(
            epoch,
            tuple(pending.change for pending in changes),
            digest_before,
            changes[-1].table.digest("all"),
        )
        put = Put(self._ring.key, encode(group), self._ring.version, LEASE_NAME, epoch)
        flight = self.in_flight = InFlightGroup(changes, put)
        return self._send(now, flight)

    def abort(self) -> tuple[PendingChange, ...]:
        """Abandon the group in flight and return its changes, whose outcome remains unknown."""
        flight = self.in_flight
        self._reset()
        if flight is None:
            return ()
        self._ring.abandon(flight.put.version)
        return flight.changes

    def handle(self, now: int, event: CommitEvent) -> list[CommitEffect]:
        """Handle one event at the time `now` (ns) and return the effects to carry out, in order."""
        flight = self.in_flight
        if flight is None:
            return []
        match event:
            case RecordWritten(slot, version) if slot == self._ring.slot:
                return self._on_written(now, flight, version)
            case RecordRead(slot, value, version) if slot == self._ring.slot and self.is_settling:
                return self._on_read(now, flight, value, version)
            case WriteDenied(slot, reason) if slot == self._ring.slot:
                flight.denial = reason
                return self._settle(now)
            case WriteUnanswered(slot) if slot == self._ring.slot and not self.is_settling:
                return self._on_unanswered(now, flight)
            case DeadlineReached() if now >= self._deadline:
                return self._settle(now)
        return []

    def _on_written(self, now: int, flight: InFlightGroup, version: int) -> list[CommitEffect]:
        if version != flight.put.version + 1:
            return []
        if self._ring.was_abandoned(flight.put.version):
            return self._settle(now)  # this may be the answer to a write under an earlier lease
        return self._commit(flight)

    def _on_read(self, now: int, flight: InFlightGroup, value: bytes, version: int) -> list[CommitEffect]:
        if version < flight.put.version:
            return []  # an answer older than the version that the write requires; the read is repeated
        if version > flight.put.version:
            if value == flight.put.value:
                return self._commit(flight)
            return [CommitFailed(f"the record {self._ring.key} was written by another writer")]
        if flight.denial:
            return [CommitFailed(f"the consensus cluster denied the write: {flight.denial}")]
        return self._send(now, flight)

    def _on_unanswered(self, now: int, flight: InFlightGroup) -> list[CommitEffect]:
        if flight.attempts == 1:
            return self._settle(now)
        self.is_settling = True
        self._deadline = now + WRITE_RETRY_DELAY_NS
        return []

    def _send(self, now: int, flight: InFlightGroup) -> list[CommitEffect]:
        self.is_settling = False
        flight.denial = ""
        flight.attempts += 1
        self._deadline = now + WRITE_TIMEOUT_NS
        return [WriteRecord(self._ring.slot, flight.put)]

    def _settle(self, now: int) -> list[CommitEffect]:
        """Read the record to determine the outcome of the write."""
        self.is_settling = True
        self._deadline = now + READ_RETRY_NS
        return [ReadRecord(self._ring.slot, self._ring.key)]

    def _commit(self, flight: InFlightGroup) -> list[CommitEffect]:
        self._ring.advance(flight.changes[-1].change.sequence)
        self._reset()
        return [GroupCommitted(flight.changes)]

    def _reset(self) -> None:
        self.in_flight = None
        self.is_settling = False
        self._deadline = NEVER
