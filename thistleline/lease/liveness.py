"""The leader's watch over who is still heard of. No I/O, no clock.

It is the leader's own and nobody else's: a new leader counts every lease anew from when it began to lead.
That is late, never early: whoever heard a leader confirm a renewal did so before a later one was elected.
"""

from heapq import heappop, heappush

from thistleline.lease.protocol import WAITER_SPAN, Expire, Release
from thistleline.lease.table import Table

AGAIN = 1_000_000_000  # ns until what was proposed and is not decided is proposed again


class Watch:
    __slots__ = ("heap", "leases", "looks", "waiters")

    def __init__(self) -> None:
        self.leases: dict[str, tuple[int, int, int]] = {}  # epoch, touched, until
        self.waiters: dict[tuple[str, str], int] = {}  # until
        self.looks: dict[str, int] = {}  # when to look at a name next
        self.heap: list[tuple[int, str]] = []  # the same; what is out of date is passed over

    def copy(self) -> "Watch":
        made = Watch()
        made.leases, made.waiters = dict(self.leases), dict(self.waiters)
        made.looks, made.heap = dict(self.looks), list(self.heap)
        return made

    def frozen(self) -> tuple[object, ...]:
        return tuple(sorted(self.leases.items())), tuple(sorted(self.waiters.items()))

    def begin(self, now: int, table: Table) -> None:
        self.leases, self.waiters, self.looks, self.heap = {}, {}, {}, []
        for name in table.state.leases:
            self.look(now, name, table)

    def look(self, now: int, name: str, table: Table) -> None:
        """Something was decided on this name."""
        lease = table.state.leases.get(name)
        if lease is None:
            self.leases.pop(name, None)
            return
        known = self.leases.get(name)
        if known is None or known[:2] != (lease.epoch, lease.touched):
            self._lease(name, lease.epoch, lease.touched, now + lease.length)
        for asker, _ in lease.line:
            if (name, asker) not in self.waiters:
                self._waiter(name, asker, now)

    def heard(self, now: int, name: str, asker: str, table: Table) -> None:
        """Its holder or one in its line is still there. Counted at once; told only once it is confirmed."""
        lease = table.state.leases.get(name)
        known = self.leases.get(name)
        if lease is None or known is None:
            return
        if lease.holder == asker:
            self.leases[name] = known[0], known[1], max(known[2], now + lease.length)
        elif (name, asker) in self.waiters:
            self.waiters[name, asker] = now + WAITER_SPAN

    def _lease(self, name: str, epoch: int, touched: int, until: int) -> None:
        self.leases[name] = epoch, touched, until
        self._at(until, name)

    def _waiter(self, name: str, asker: str, now: int) -> None:
        self.waiters[name, asker] = now + WAITER_SPAN
        self._at(now + WAITER_SPAN, name)

    def _at(self, until: int, name: str) -> None:
        """Looks at a name then, or before. Guards the heap: one entry a name counts."""
        known = self.looks.get(name)
        if known is None or until < known:
            self.looks[name] = until
            heappush(self.heap, (until, name))

    def due(self) -> int | None:
        return self.heap[0][0] if self.heap else None

    def over(self, now: int, at: int, table: Table) -> list[Expire | Release]:
        """What is to be proposed, as nobody was heard of for its span."""
        found: list[Expire | Release] = []
        while self.heap and self.heap[0][0] <= now:
            at_time, name = heappop(self.heap)
            if self.looks.get(name) != at_time:
                continue
            del self.looks[name]
            lease, known = table.state.leases.get(name), self.leases.get(name)
            if lease is None or known is None:
                self.leases.pop(name, None)
                continue
            epoch, touched, until = known
            if until <= now:
                found.append(Expire(name, epoch, touched, at))
                self._lease(name, epoch, touched, now + AGAIN)
            else:
                self._at(until, name)
            self._waiters_over(now, at, name, [asker for asker, _ in lease.line], found)
        self._forget_waiters(table)
        return found

    def _waiters_over(
        self, now: int, at: int, name: str, line: list[str], found: list[Expire | Release]
    ) -> None:
        least = 0
        for asker in line:
            until = self.waiters.get((name, asker), 0)
            if until <= now:
                found.append(Release(name, asker, "not heard while it waited", at))
                self.waiters[name, asker] = until = now + AGAIN
            least = min(least or until, until)
        if least:
            self._at(least, name)

    def _forget_waiters(self, table: Table) -> None:
        leases = table.state.leases
        lines = sum(len(one.line) for one in leases.values()) if len(self.waiters) > 64 else 0
        if len(self.waiters) > 64 + 2 * lines:
            held = {(name, asker) for name, one in leases.items() for asker, _ in one.line}
            self.waiters = {known: until for known, until in self.waiters.items() if known in held}
