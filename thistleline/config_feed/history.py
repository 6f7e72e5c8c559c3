"""The newest changes of a table and the digests between: what a follower goes on from. No I/O, no clock."""

from collections import deque

from thistleline.config_feed.limits import DELTA_SIZE_LIMIT, HISTORY_SIZE_LIMIT, HISTORY_STEPS_LIMIT
from thistleline.config_feed.messages import Delta, Kind
from thistleline.config_feed.table import MADE, TENANT, Table

COST = 64  # bytes of an item beside key and value
CACHED_BOUND = 64  # deltas kept for others who stand where one began
Items = tuple[tuple[str, bytes | None, int], ...]


class History:
    """`table` is the newest state. Steps lead from `base` up to it, in order; each is one change, or what
    several came to where this one was itself brought to the newest at once."""

    __slots__ = ("_cached", "_digests", "size", "steps", "table")

    def __init__(self, table: Table | None = None) -> None:
        self.table = table or Table()
        self.steps: deque[tuple[int, int, Items, int]] = deque()
        self.size = 0
        self._digests: dict[int, tuple[bytes, bytes]] = {}
        self._cached: dict[tuple[int, Kind], Delta | None] = {}
        self._note()

    def copy(self) -> "History":
        """One that goes its own way from here."""
        made = History(self.table)
        made.steps, made.size = self.steps.copy(), self.size
        made._digests, made._cached = dict(self._digests), dict(self._cached)
        return made

    def _note(self) -> None:
        self._digests[self.table.sequence] = self.table.digest("wide"), self.table.digest("all")
        self._cached.clear()

    @property
    def base(self) -> int:
        """The least number that can be gone on from."""
        return self.steps[0][0] if self.steps else self.table.sequence

    def move(self, last: int, items: Items, kind: Kind = "all") -> None:
        """To the state `last`, by what was touched since the newest. Raises ValueError for no newer one."""
        if last <= self.table.sequence:
            raise ValueError(f"{last} does not follow {self.table.sequence}")
        self.take(self.table.moved(last, items, kind), items)

    def take(self, table: Table, items: Items) -> None:
        """The same, with the state made already."""
        size = size_of(items)
        self.steps.append((self.table.sequence, table.sequence, items, size))
        self.size += size
        self.table = table
        self._note()
        while self.steps and (self.size > HISTORY_SIZE_LIMIT or len(self.steps) > HISTORY_STEPS_LIMIT):
            first, _, _, gone = self.steps.popleft()
            self.size -= gone
            del self._digests[first]

    def anew(self, table: Table) -> None:
        """A state that nothing leads to."""
        self.steps.clear()
        self.size = 0
        self._digests.clear()
        self.table = table
        self._note()

    def knows(self, number: int, digest: bytes, kind: Kind) -> bool:
        """Whether that state lies on the way to the newest one, so that a delta may lead on from it. Inside
        of a step, where the followers of a relay that merged otherwise stand, that can't be told here: what
        the step touched leads on from there too, and the digest at its end tells who stood elsewhere: that
        one comes with no digest then, and is known nowhere."""
        known = self._digests.get(number)
        if known is None:
            return bool(digest) and self.base < number < self.table.sequence
        return known[int(kind == "all")] == digest

    def digest(self, number: int, kind: Kind) -> bytes | None:
        known = self._digests.get(number)
        return None if known is None else known[int(kind == "all")]

    def delta(self, number: int, kind: Kind) -> Delta | None:
        """What leads from a known state towards the newest, each key once, as far as a delta may hold;
        None where the whole state is less than all that has to be told. The same for all who stand there."""
        if (number, kind) not in self._cached:
            while len(self._cached) >= CACHED_BOUND:
                del self._cached[next(iter(self._cached))]
            self._cached[number, kind] = self._merged(number, kind)
        return self._cached[number, kind]

    def _merged(self, number: int, kind: Kind) -> Delta | None:
        most = max(8 * DELTA_SIZE_LIMIT, 2 * COST * self.table.count(kind))
        ahead: list[tuple[int, int, Items, int]] = []
        size = 0
        for step in reversed(self.steps):
            if step[1] <= number:
                break
            size += step[3]
            if size > most:
                return None  # guards against telling more than a snapshot would
            ahead.append(step)
        ahead.reverse()
        found = self._leading(number, ahead, kind, False)
        if kind == "wide" and found.last < self.table.sequence:
            # Guards against a load of tenants that would hold up the routes at every instance.
            found = self._leading(number, ahead, kind, True)
        return found

    def _leading(
        self, number: int, ahead: list[tuple[int, int, Items, int]], kind: Kind, forget: bool
    ) -> Delta:
        """`forget`: without tenants."""
        newest: dict[str, tuple[bytes | None, int]] = {}
        size, last = 0, number
        for _, end, items, _ in ahead:
            told = [one for one in items if not (forget and one[0].startswith(TENANT))]
            if kind == "wide":
                told = [one for one in told if not one[0].startswith(MADE)]
            more = 0
            for key, value, _ in told:
                more += cost_of(key, value) - (cost_of(key, newest[key][0]) if key in newest else 0)
            if last > number and size + more > DELTA_SIZE_LIMIT:
                break
            size += more
            last = end
            newest.update((key, (value, version)) for key, value, version in told)
        items = tuple((key, value, version) for key, (value, version) in newest.items())
        digest = self.digest(last, kind)
        assert digest is not None
        return Delta(number, last, items, digest, forget)


def cost_of(key: str, value: bytes | None) -> int:
    """Bytes that an item counts for, wherever items are bounded."""
    return len(key) + len(value or b"") + COST


def size_of(items: Items) -> int:
    return sum(cost_of(key, value) for key, value, _ in items)
