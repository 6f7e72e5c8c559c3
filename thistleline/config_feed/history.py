"""The newest steps of a table and the digests between them, from which deltas are made. No I/O, no clock."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from thistleline.config_feed.limits import DELTA_SIZE_LIMIT, HISTORY_SIZE_LIMIT, HISTORY_STEPS_LIMIT
from thistleline.config_feed.messages import Delta, Kind
from thistleline.config_feed.table import REQUEST_PREFIX, TENANT_PREFIX, FeedTable

ITEM_OVERHEAD = 64  # bytes that an item counts for beside its key and value
CACHED_DELTAS_LIMIT = 64  # deltas cached for all followers that are at the same state
Items = tuple[tuple[str, bytes | None, int], ...]  # key, value, version; a value of None deletes the key


class Step(NamedTuple):
    """Leads from the state `first` to the state `last`: of each key written between, its newest item."""

    first: int
    last: int
    items: Items
    size: int  # bytes, by `items_size`


class History:
    """The newest state, and the steps that lead from `base` up to it.

    A step is one change, or several of them merged where this table was itself brought forward by a delta.
    """

    __slots__ = ("_cached", "_digests", "size", "steps", "table")

    def __init__(self, table: FeedTable | None = None) -> None:
        """Begin with this state (by default the empty table), without steps."""
        self.table = table or FeedTable()
        self.steps: deque[Step] = deque()
        self.size = 0  # bytes of all steps
        self._digests: dict[int, tuple[bytes, bytes]] = {}  # of kind "wide" and "all" by sequence number
        self._cached: dict[tuple[int, Kind], Delta | None] = {}
        self._record_digests()

    def copy(self) -> "History":
        """Return an independent copy."""
        copied = History(self.table)
        copied.steps = self.steps.copy()
        copied.size = self.size
        copied._digests = dict(self._digests)
        copied._cached = dict(self._cached)
        return copied

    @property
    def base(self) -> int:
        """The lowest sequence number from which a delta can be made."""
        return self.steps[0].first if self.steps else self.table.sequence

    def advance(self, last: int, items: Items, kind: Kind = "all") -> None:
        """Move on to the state `last` by the items written since the newest state.

        Raises:
            ValueError: `last` is not beyond the newest state.
        """
        if last <= self.table.sequence:
            raise ValueError(f"{last} does not follow {self.table.sequence}")
        self.append(self.table.update(last, items, kind), items)

    def append(self, table: FeedTable, items: Items) -> None:
        """Move on to `table`, to which `items` lead from the newest state; drop steps beyond the limits."""
        size = items_size(items)
        self.steps.append(Step(self.table.sequence, table.sequence, items, size))
        self.size += size
        self.table = table
        self._record_digests()
        while self.steps and (self.size > HISTORY_SIZE_LIMIT or len(self.steps) > HISTORY_STEPS_LIMIT):
            dropped = self.steps.popleft()
            self.size -= dropped.size
            del self._digests[dropped.first]

    def reset(self, table: FeedTable) -> None:
        """Go to a state to which no step leads."""
        self.steps.clear()
        self.size = 0
        self._digests.clear()
        self.table = table
        self._record_digests()

    def _record_digests(self) -> None:
        self._digests[self.table.sequence] = (self.table.digest("wide"), self.table.digest("all"))
        self._cached.clear()

    def contains(self, sequence: int, digest: bytes, kind: Kind) -> bool:
        """Tell whether a follower's state is one from which a delta leads to the newest.

        Inside a step, where the followers of a relay stand that merged differently, the digest isn't known.
        There the whole step's items lead on all the same, and the digest at its end reveals a follower that
        stood elsewhere: it comes back with no digest then, which is contained nowhere.
        """
        known = self.digest_at(sequence, kind)
        if known is None:
            return bool(digest) and self.base < sequence < self.table.sequence
        return known == digest

    def digest_at(self, sequence: int, kind: Kind) -> bytes | None:
        """Return the digest of the state at `sequence`, None if no step begins or ends there."""
        known = self._digests.get(sequence)
        return None if known is None else known[int(kind == "all")]

    def delta(self, sequence: int, kind: Kind) -> Delta | None:
        """Return what leads from a contained state towards the newest, as far as a delta may hold.

        Returns None where a snapshot is smaller than all that would have to be sent. The delta is cached for
        all followers that are at this state.
        """
        if (sequence, kind) not in self._cached:
            while len(self._cached) >= CACHED_DELTAS_LIMIT:
                del self._cached[next(iter(self._cached))]
            self._cached[sequence, kind] = self._make_delta(sequence, kind)
        return self._cached[sequence, kind]

    def _make_delta(self, sequence: int, kind: Kind) -> Delta | None:
        ahead = self._steps_after(sequence, kind)
        if ahead is None:
            return None
        delta = self._merge(sequence, ahead, kind, evict_tenants=False)
        if kind == "wide" and delta.last < self.table.sequence:
            # A mass update of tenants must not hold up the routes at every instance.
            delta = self._merge(sequence, ahead, kind, evict_tenants=True)
        return delta

    def _steps_after(self, sequence: int, kind: Kind) -> list[Step] | None:
        """Return the steps beyond `sequence`, or None where they are larger than a snapshot."""
        size_limit = max(8 * DELTA_SIZE_LIMIT, 2 * ITEM_OVERHEAD * self.table.entry_count(kind))
        ahead: list[Step] = []
        size = 0
        for step in reversed(self.steps):
            if step.last <= sequence:
                break
            size += step.size
            if size > size_limit:
                return None
            ahead.append(step)
        ahead.reverse()
        return ahead

    def _merge(self, sequence: int, ahead: Sequence[Step], kind: Kind, evict_tenants: bool) -> Delta:
        """Merge as many steps as fit into a delta; `evict_tenants` leaves the tenants out."""
        newest: dict[str, tuple[bytes | None, int]] = {}
        size = 0
        last = sequence
        skipped: tuple[str, ...] = ()
        if evict_tenants:
            skipped += (TENANT_PREFIX,)
        if kind == "wide":
            skipped += (REQUEST_PREFIX,)
        for step in ahead:
            items = [item for item in step.items if not item[0].startswith(skipped)]
            added = 0
            for key, value, _ in items:
                added += item_size(key, value) - (item_size(key, newest[key][0]) if key in newest else 0)
            if last > sequence and size + added > DELTA_SIZE_LIMIT:
                break
            size += added
            last = step.last
            newest.update((key, (value, version)) for key, value, version in items)
        digest = self.digest_at(last, kind)
        assert digest is not None
        return Delta(sequence, last, flatten_items(newest), digest, evict_tenants)


def item_size(key: str, value: bytes | None) -> int:
    """Return the bytes that an item counts for, wherever items are limited."""
    return len(key) + len(value or b"") + ITEM_OVERHEAD


def items_size(items: Items) -> int:
    """Return the bytes that the items count for together."""
    return sum(item_size(key, value) for key, value, _ in items)


def flatten_items(newest: dict[str, tuple[bytes | None, int]]) -> Items:
    """Return the items of a mapping of keys to values and versions, in its order."""
    return tuple((key, value, version) for key, (value, version) in newest.items())
