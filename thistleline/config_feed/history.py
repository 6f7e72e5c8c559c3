"""The recent steps of a table and the digests between them, from which deltas are made. No I/O, no clock.

A step is a list of items that transforms one state of the table into a later one. A delta is a message with
the items of one or several steps, for a follower that is at an earlier state.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from thistleline.config_feed.limits import DELTA_SIZE_LIMIT, HISTORY_SIZE_LIMIT, HISTORY_STEPS_LIMIT
from thistleline.config_feed.messages import Delta, Kind
from thistleline.config_feed.table import REQUEST_PREFIX, TENANT_PREFIX, FeedTable

ITEM_OVERHEAD = 64  # bytes added to the size of each item's key and value
CACHED_DELTAS_LIMIT = 64  # deltas cached for all followers at the same state
Items = tuple[tuple[str, bytes | None, int], ...]  # key, value, version; a value of None deletes the key


class Step(NamedTuple):
    """Transforms the state `first` into the state `last`: the newest item of each key that was written."""

    first: int
    last: int
    items: Items
    size: int  # bytes, by `items_size`


class History:
    """The newest state, and the steps that transform the state `base` into it.

    A step is one group of changes, or several groups merged if this table was itself updated by a delta.
    """

    __slots__ = ("_cached_deltas", "_digests", "size", "steps", "table")

    def __init__(self, table: FeedTable | None = None) -> None:
        """Start with this state (by default the empty table) and no steps."""
        self.table = table or FeedTable()
        self.steps: deque[Step] = deque()
        self.size = 0  # bytes of all steps
        self._digests: dict[int, tuple[bytes, bytes]] = {}  # for "wide" and "all", by sequence number
        self._cached_deltas: dict[tuple[int, Kind], Delta | None] = {}
        self._record_digests()

    def copy(self) -> "History":
        """Return an independent copy."""
        copied = History(self.table)
        copied.steps = self.steps.copy()
        copied.size = self.size
        copied._digests = dict(self._digests)
        copied._cached_deltas = dict(self._cached_deltas)
        return copied

    @property
    def base(self) -> int:
        """The lowest sequence number from which a delta can be made."""
        return self.steps[0].first if self.steps else self.table.sequence

    def advance(self, last: int, items: Items, kind: Kind = "all") -> None:
        """Advance to the state `last` by the items written since the newest state.

        Raises:
            ValueError: `last` is not greater than the newest sequence number.
        """
        if last <= self.table.sequence:
            raise ValueError(f"sequence number {last} does not follow {self.table.sequence}")
        self.append(self.table.update(last, items, kind), items)

    def append(self, table: FeedTable, items: Items) -> None:
        """Advance to `table`, the newest state with `items` written; drop steps beyond the limits."""
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
        """Replace the state with one to which no step leads, and drop all steps."""
        self.steps.clear()
        self.size = 0
        self._digests.clear()
        self.table = table
        self._record_digests()

    def _record_digests(self) -> None:
        self._digests[self.table.sequence] = (self.table.digest("wide"), self.table.digest("all"))
        self._cached_deltas.clear()

    def contains(self, sequence: int, digest: bytes, kind: Kind) -> bool:
        """Return whether a delta can be made from a follower's state to the newest.

        The digest of a state inside a step is not known. A follower can be at such a state if its previous
        relay merged changes differently. The items of the whole step still produce the correct state at the
        step's end. If the follower's state was a different one, the digest at the step's end does not match:
        the follower then asks again with an empty digest, which no history contains.
        """
        known = self.digest_at(sequence, kind)
        if known is None:
            return bool(digest) and self.base < sequence < self.table.sequence
        return known == digest

    def digest_at(self, sequence: int, kind: Kind) -> bytes | None:
        """Return the digest of the state at `sequence`; None if it is not known.

        The digests of the newest state and of the states before and after each stored step are known.
        """
        known = self._digests.get(sequence)
        return None if known is None else known[int(kind == "all")]

    def delta(self, sequence: int, kind: Kind) -> Delta | None:
        """Return a delta from a follower's state towards the newest, up to the size limit of a delta.

        The state must be one for which `contains` is true. Returns None if a snapshot is smaller than the
        steps that would have to be sent. The delta is cached for all followers at this state.
        """
        if (sequence, kind) not in self._cached_deltas:
            while len(self._cached_deltas) >= CACHED_DELTAS_LIMIT:
                del self._cached_deltas[next(iter(self._cached_deltas))]
            self._cached_deltas[sequence, kind] = self._make_delta(sequence, kind)
        return self._cached_deltas[sequence, kind]

    def _make_delta(self, sequence: int, kind: Kind) -> Delta | None:
        later_steps = self._steps_after(sequence, kind)
        if later_steps is None:
            return None
        delta = self._merge(sequence, later_steps, kind, evict_tenants=False)
        if kind == "wide" and delta.last < self.table.sequence:
            # A mass update of tenants must not delay updates of routes at every instance.
            delta = self._merge(sequence, later_steps, kind, evict_tenants=True)
        return delta

    def _steps_after(self, sequence: int, kind: Kind) -> list[Step] | None:
        """Return the steps after `sequence`, or None if they are larger than a snapshot."""
        size_limit = max(8 * DELTA_SIZE_LIMIT, 2 * ITEM_OVERHEAD * self.table.entry_count(kind))
        later_steps: list[Step] = []
        size = 0
        for step in reversed(self.steps):
            if step.last <= sequence:
                break
            size += step.size
            if size > size_limit:
                return None
            later_steps.append(step)
        later_steps.reverse()
        return later_steps

    def _merge(self, sequence: int, later_steps: Sequence[Step], kind: Kind, evict_tenants: bool) -> Delta:
        """Merge as many steps as fit into a delta; with `evict_tenants`, tenants are left out."""
        newest: dict[str, tuple[bytes | None, int]] = {}
        size = 0
        last = sequence
        skipped: tuple[str, ...] = ()
        if evict_tenants:
            skipped += (TENANT_PREFIX,)
        if kind == "wide":
            skipped += (REQUEST_PREFIX,)
        for step in later_steps:
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
    """Return the size of an item in bytes, as all size limits of items count it."""
    return len(key) + len(value or b"") + ITEM_OVERHEAD


def items_size(items: Items) -> int:
    """Return the total size of the items in bytes, by `item_size`."""
    return sum(item_size(key, value) for key, value, _ in items)


def flatten_items(newest: dict[str, tuple[bytes | None, int]]) -> Items:
    """Return the items of a mapping of keys to values and versions, in its order."""
    return tuple((key, value, version) for key, (value, version) in newest.items())
