"""Snapshots of a table, split into parts on demand and shared by all followers that load them.

A part is a message with some of the snapshot's entries. No I/O, no clock.
"""

from __future__ import annotations

from thistleline.config_feed.history import History, item_size
from thistleline.config_feed.limits import NEVER, PART_SIZE, SECOND
from thistleline.config_feed.messages import Kind, SnapshotPart
from thistleline.config_feed.table import FeedTable

SNAPSHOT_TTL = 60 * SECOND  # ns without a request for a part, after which a snapshot is dropped


class Snapshot:
    """One state in parts of about `PART_SIZE` bytes.

    Each part is built when it is first requested, in order, and kept for all followers that load the
    snapshot. So starting a snapshot costs nothing, and the cost of a part depends only on the part's size.
    """

    __slots__ = ("_lookahead", "_remaining", "digest", "kind", "parts", "sequence")

    def __init__(self, table: FeedTable, kind: Kind) -> None:
        """Start a snapshot of the sections that a follower of this kind holds."""
        self.sequence = table.sequence
        self.digest = table.digest(kind)
        self.kind = kind
        self.parts: list[tuple[tuple[str, bytes, int], ...]] = []
        self._remaining = table.entries(kind)
        self._lookahead = next(self._remaining, None)

    def part(self, index: int) -> SnapshotPart | None:
        """Return the part with this index: one that was already built, or the next one; None after the last.

        The message's field `parts` is 0, except in the last part, where it is the number of parts.
        """
        if index == len(self.parts) and (self._lookahead is not None or not index):
            self._cut()
        if index >= len(self.parts):
            return None
        is_last = self._lookahead is None and index == len(self.parts) - 1
        total = index + 1 if is_last else 0
        return SnapshotPart(self.sequence, index, total, self.parts[index], self.digest)

    def _cut(self) -> None:
        size = 0
        items = []
        while self._lookahead is not None and size < PART_SIZE:
            items.append(self._lookahead)
            size += item_size(*self._lookahead[:2])
            self._lookahead = next(self._remaining, None)
        self.parts.append(tuple(items))


class SnapshotCache:
    """The snapshots being loaded, one for each kind of follower; dropped after `SNAPSHOT_TTL` without use."""

    __slots__ = ("by_kind", "last_used_at")

    def __init__(self, now: int) -> None:
        """Start without snapshots."""
        self.by_kind: dict[Kind, Snapshot] = {}
        self.last_used_at = now  # ns

    def copy(self) -> SnapshotCache:
        """Return an independent copy.

        The snapshots themselves are shared, because their parts depend only on their immutable state.
        """
        copied = SnapshotCache(self.last_used_at)
        copied.by_kind = self.by_kind.copy()
        return copied

    def state_key(self, now: int) -> tuple[tuple[tuple[str, int, bytes], ...], int]:
        """Return the state that determines behaviour, with the time relative to `now`."""
        snapshots = tuple(
            (kind, snapshot.sequence, snapshot.digest) for kind, snapshot in self.by_kind.items()
        )
        return snapshots, self.last_used_at - now if self.by_kind else 0

    def for_loading(self, now: int, kind: Kind, min_sequence: int, history: History) -> Snapshot:
        """Return the snapshot for a follower that starts to load one.

        This is the snapshot that others are loading, if a delta can be made from it and it is not older than
        `min_sequence`; otherwise a new snapshot of the newest state.
        """
        snapshot = self.by_kind.get(kind)
        if (
            snapshot is None
            or snapshot.sequence < min_sequence
            or not history.contains(snapshot.sequence, snapshot.digest, kind)
            or history.delta(snapshot.sequence, kind) is None
        ):
            snapshot = self.by_kind[kind] = Snapshot(history.table, kind)
        self.last_used_at = now
        return snapshot

    def expiry(self) -> int:
        """Return the time in ns at which `expire` drops snapshots."""
        return self.last_used_at + SNAPSHOT_TTL if self.by_kind else NEVER

    def expire(self, now: int) -> None:
        """Drop the snapshots if none was used for `SNAPSHOT_TTL`."""
        if self.by_kind and now >= self.last_used_at + SNAPSHOT_TTL:
            self.by_kind.clear()
