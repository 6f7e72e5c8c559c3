"""Snapshots of a table, cut into parts on demand and shared by all who load them. No I/O, no clock."""

from __future__ import annotations

from thistleline.config_feed.history import History, item_size
from thistleline.config_feed.limits import NEVER, PART_SIZE, SECOND
from thistleline.config_feed.messages import Kind, SnapshotPart
from thistleline.config_feed.table import FeedTable

SNAPSHOT_TTL = 60 * SECOND  # ns; a snapshot goes after so long without a request for a part


class Snapshot:
    """One state in parts of about `PART_SIZE` bytes.

    Each part is cut when it is first asked for, in order, and kept for all who load the snapshot: beginning
    one costs nothing, and a part costs what it holds.
    """

    __slots__ = ("_lookahead", "_remaining", "digest", "kind", "parts", "sequence")

    def __init__(self, table: FeedTable, kind: Kind) -> None:
        """Begin a snapshot of what a follower of this kind holds of the table."""
        self.sequence = table.sequence
        self.digest = table.digest(kind)
        self.kind = kind
        self.parts: list[tuple[tuple[str, bytes, int], ...]] = []
        self._remaining = table.entries(kind)
        self._lookahead = next(self._remaining, None)

    def part(self, index: int) -> SnapshotPart | None:
        """Return a part that was cut already, or the next one; None past the last.

        The `parts` of the message is 0, and in the last part how many there are.
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
    """The snapshot that is being loaded, one of each kind, until nobody has asked for a part for a while."""

    __slots__ = ("by_kind", "last_used_at")

    def __init__(self, now: int) -> None:
        """Begin with none."""
        self.by_kind: dict[Kind, Snapshot] = {}
        self.last_used_at = now  # ns

    def copy(self) -> SnapshotCache:
        """Return an independent copy.

        The snapshots are shared: they only ever hold what follows from their state.
        """
        made = SnapshotCache(self.last_used_at)
        made.by_kind = self.by_kind.copy()
        return made

    def state_key(self, now: int) -> tuple[tuple[tuple[str, int, bytes], ...], int]:
        """Return the state that decides its behaviour, with the time relative to `now`."""
        snapshots = tuple((kind, one.sequence, one.digest) for kind, one in self.by_kind.items())
        return snapshots, self.last_used_at - now if self.by_kind else 0

    def for_loading(self, now: int, kind: Kind, min_sequence: int, history: History) -> Snapshot:
        """Return the snapshot for somebody who begins to load.

        It is the one that others load already, while a delta leads on from it and it is not older than
        `min_sequence`; else a new one of the newest state.
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
        """Return when `expire` has something to do, in ns."""
        return self.last_used_at + SNAPSHOT_TTL if self.by_kind else NEVER

    def expire(self, now: int) -> None:
        """Drop what has not been used for `SNAPSHOT_TTL`."""
        if self.by_kind and now >= self.last_used_at + SNAPSHOT_TTL:
            self.by_kind.clear()
