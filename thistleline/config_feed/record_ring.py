"""The writer's view of the ring: records in the consensus cluster that store the newest groups of changes.

The ring has a fixed number of records, its slots, which are overwritten in turn.
"""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy
from typing import Any

from thistleline.config_feed.limits import RING_SLOTS
from thistleline.config_feed.messages import Group
from thistleline.config_feed.recovery import (
    RecordedGroup,
    RecoveryError,
    check_chain,
    decode_record,
    record_key,
)


class RecordRing:
    """The slots of the ring: which one is written next, and the version and last change of each.

    Attributes:
        slot: The slot of the group in flight, or else of the next group.
    """

    __slots__ = ("_abandoned", "_last_sequences", "_read_records", "_versions", "slot")

    def __init__(self) -> None:
        """Start with an empty ring."""
        self.slot = 0
        self._versions = [0] * RING_SLOTS  # of the records, by slot; 0 for a record that does not exist
        self._last_sequences = [
            0
        ] * RING_SLOTS  # sequence number of the last change in each record; 0 for none
        self._read_records: dict[int, tuple[bytes, int]] = {}  # values and versions read in recovery, by slot
        # Slots and versions of writes under earlier leases whose outcome was never determined.
        self._abandoned: dict[tuple[int, int], None] = {}

    def copy(self) -> RecordRing:
        """Return an independent copy."""
        copied = copy(self)
        copied._versions = list(self._versions)
        copied._last_sequences = list(self._last_sequences)
        copied._read_records = dict(self._read_records)
        copied._abandoned = dict(self._abandoned)
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines behaviour, as a hashable value."""
        return (
            self.slot,
            tuple(self._versions),
            tuple(self._last_sequences),
            tuple(sorted(self._read_records.items())),
            tuple(self._abandoned),
        )

    @property
    def key(self) -> str:
        """Key of the record at `slot`."""
        return record_key(self.slot)

    @property
    def version(self) -> int:
        """Version of the record at `slot`."""
        return self._versions[self.slot]

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last change in the record at `slot`; 0 if there is none."""
        return self._last_sequences[self.slot]

    def advance(self, last_sequence: int) -> None:
        """Move to the next slot, after a group ending with this change was committed in the current one."""
        self._versions[self.slot] += 1
        self._last_sequences[self.slot] = last_sequence
        self.slot = (self.slot + 1) % RING_SLOTS

    # ---- writes of earlier leases

    def abandon(self, version: int) -> None:
        """Note that the outcome of a write is unknown: to the record at `slot`, requiring this version."""
        self._abandoned[self.slot, version] = None
        while len(self._abandoned) > 4 * RING_SLOTS:
            del self._abandoned[next(iter(self._abandoned))]

    def was_abandoned(self, version: int) -> bool:
        """Return whether a write to the record at `slot` that requires this version was abandoned."""
        return (self.slot, version) in self._abandoned

    # ---- recovery

    def begin_recovery(self) -> None:
        """Discard the records read so far, so that all are read again."""
        self._read_records.clear()

    def unread_slots(self) -> Iterator[int]:
        """Yield the slots whose records have not been read yet."""
        for slot in range(RING_SLOTS):
            if slot not in self._read_records:
                yield slot

    def add_record(self, slot: int, value: bytes, version: int) -> bool:
        """Add a record that was read; return whether all records have been read."""
        if not 0 <= slot < RING_SLOTS:
            return False
        self._read_records.setdefault(slot, (value, version))
        return len(self._read_records) == RING_SLOTS

    def recover(self) -> tuple[Group, ...]:
        """Initialize the ring from the records that were read; return their groups, oldest first.

        Raises:
            RecoveryError: The records are not the newest groups of one sequence of changes.
        """
        recorded = sorted(self._decode_records(), key=lambda record: record.first)
        self._read_records.clear()
        check_chain(recorded, RING_SLOTS)
        self.slot = (recorded[-1].slot + 1) % RING_SLOTS if recorded else 0
        if self.version and len(recorded) < RING_SLOTS:
            raise RecoveryError(f"the record {self.key} exists, but other records are missing")
        return tuple(record.group for record in recorded)

    def _decode_records(self) -> Iterator[RecordedGroup]:
        for slot, (value, version) in sorted(self._read_records.items()):
            self._versions[slot] = version
            self._last_sequences[slot] = 0
            if version == 0:
                continue
            recorded = decode_record(slot, value)
            self._last_sequences[slot] = recorded.last
            yield recorded
