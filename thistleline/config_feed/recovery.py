"""Recovers the newest groups of changes from the records of the ring. No I/O.

The consensus cluster stores these records. A new writer replays the groups on its table.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import NamedTuple

import msgspec

from thistleline.config_feed.history import Items, flatten_items
from thistleline.config_feed.messages import Change, Group, decode_group
from thistleline.config_feed.table import FeedTable

LEASE_NAME = "feed"  # name of the writer's lease; also the prefix of the keys of its records


class RecoveryError(Exception):
    """The records or the local table contradict the committed sequence of changes."""


class RecordedGroup(NamedTuple):
    """A group that was read from a slot of the ring."""

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
    """The table after a replayed group, and the items that it wrote."""

    table: FeedTable
    items: Items


def record_key(slot: int) -> str:
    """Return the key of the record for a slot of the ring."""
    return f"{LEASE_NAME}/{slot}"


def decode_record(slot: int, value: bytes) -> RecordedGroup:
    """Decode the group in a record.

    Raises:
        RecoveryError: The record is not a group of consecutive changes.
    """
    try:
        group = decode_group(value)
    except msgspec.DecodeError as error:
        raise RecoveryError(f"the record {record_key(slot)} can't be read: {error}") from error
    if not group.changes:
        raise RecoveryError(f"the record {record_key(slot)} contains no changes")
    first = group.changes[0].sequence
    if first < 1 or any(change.sequence != first + offset for offset, change in enumerate(group.changes)):
        raise RecoveryError(f"the record {record_key(slot)} contains changes that are not consecutive")
    return RecordedGroup(slot, group)


def check_chain(recorded: Sequence[RecordedGroup], slots: int) -> None:
    """Check that each group follows the previous one by sequence number, slot, digest and epoch.

    The groups are given in the order of their changes.

    Raises:
        RecoveryError: A group does not follow the previous one.
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
    """Apply the groups whose changes the table does not have yet, in order.

    Raises:
        RecoveryError: A digest in the groups does not match the table.
    """
    replayed: list[ReplayedGroup] = []
    for group in groups:
        first = group.changes[0].sequence
        last = group.changes[-1].sequence
        if last < table.sequence:
            continue
        if table.sequence == first - 1 and table.digest("all") != group.digest_before:
            raise RecoveryError(
                f"the local table at {table.sequence} does not match the digest before the group at {first}"
            )
        missing = [change for change in group.changes if change.sequence > table.sequence]
        for change in missing:
            table = table.apply(change)
        if table.digest("all") != group.digest_after:
            raise RecoveryError(
                f"after the group at {first} the local table at {last} does not match the digest"
            )
        if missing:
            replayed.append(ReplayedGroup(table, newest_items(missing)))
    return replayed


def newest_items(changes: Iterable[Change]) -> Items:
    """Return the newest item for each key that the changes write, as in a step of the history."""
    newest = {key: (value, change.sequence) for change in changes for key, value in change.items}
    return flatten_items(newest)
