"""How a new writer recovers the newest groups from the records and replays them on its table. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import NamedTuple

import msgspec

from thistleline.config_feed.history import Items, flatten_items
from thistleline.config_feed.messages import Change, Group, decode_group
from thistleline.config_feed.table import FeedTable

LEASE_NAME = "feed"  # of the lease that the writer holds; also the prefix of its records' keys


class RecoveryError(Exception):
    """The records, or the own table, are not what the committed sequence of changes requires."""


class RecordedGroup(NamedTuple):
    """A group as it was found in a slot of the ring."""

    slot: int
    group: Group

    @property
    def first(self) -> int:
        """Sequence number of the first change."""
        return self.group.changes[0].sequence

    @property
    def last(self) -> int:
        """Sequence number of the last change."""
        return self.group.changes[-1].sequence


class ReplayedGroup(NamedTuple):
    """What one group adds to the table: the state after it, and the items that lead there."""

    table: FeedTable
    items: Items


def record_key(slot: int) -> str:
    """Return the key of the record that is a slot of the ring."""
    return f"{LEASE_NAME}/{slot}"


def decode_record(slot: int, value: bytes) -> RecordedGroup:
    """Decode the group in a record.

    Raises:
        RecoveryError: It is no group of consecutive changes.
    """
    try:
        group = decode_group(value)
    except msgspec.DecodeError as error:
        raise RecoveryError(f"the record {record_key(slot)} can't be read: {error}") from error
    if not group.changes:
        raise RecoveryError(f"the record {record_key(slot)} holds no change")
    first = group.changes[0].sequence
    if first < 1 or any(change.sequence != first + place for place, change in enumerate(group.changes)):
        raise RecoveryError(f"the record {record_key(slot)} holds changes that do not follow each other")
    return RecordedGroup(slot, group)


def check_chain(recorded: Sequence[RecordedGroup], slots: int) -> None:
    """Check that groups, ordered by their changes, follow each other in sequence, slot, digest and epoch.

    Raises:
        RecoveryError: One does not follow the one before it.
    """
    for before, after in pairwise(recorded):
        if (
            after.first != before.last + 1
            or after.slot != (before.slot + 1) % slots
            or after.group.digest_before != before.group.digest_after
            or after.group.epoch < before.group.epoch
        ):
            raise RecoveryError(
                f"the record {record_key(after.slot)} does not follow {record_key(before.slot)}"
            )


def replay_groups(table: FeedTable, groups: Iterable[Group]) -> list[ReplayedGroup]:
    """Apply to a table what it does not have yet of the groups.

    Raises:
        RecoveryError: The table is not the one on which the groups were written.
    """
    replayed: list[ReplayedGroup] = []
    for group in groups:
        first = group.changes[0].sequence
        last = group.changes[-1].sequence
        if last < table.sequence:
            continue
        if table.sequence == first - 1 and table.digest("all") != group.digest_before:
            raise RecoveryError(
                f"this table at {table.sequence} is not the one that group {first} was written on"
            )
        missing = [change for change in group.changes if change.sequence > table.sequence]
        for change in missing:
            table = table.apply(change)
        if table.digest("all") != group.digest_after:
            raise RecoveryError(f"with group {first} this table at {last} is not the one it was written for")
        if missing:
            replayed.append(ReplayedGroup(table, newest_items(missing)))
    return replayed


def newest_items(changes: Iterable[Change]) -> Items:
    """Return the newest item of each key that the changes write, as a step of the history has it."""
    newest = {key: (value, change.sequence) for change in changes for key, value in change.items}
    return flatten_items(newest)
