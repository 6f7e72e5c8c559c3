"""Voters in virtual time: messages with delays, faults of ways, clocks of their own rate. No I/O."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from thistleline.consensus.messages import Member
from thistleline.consensus.replica import Spans, Voter
from thistleline.lease.server import Office
from thistleline.lease.table import LeaseTable

MS = 1_000_000


class VirtualCouncil:
    def __init__(
        self, voters: int, spans: Spans, seed: int, delay: Callable[[Random], int], sync: int = MS
    ) -> None:
        """`delay` and `sync` in ns: of a message, and of a write."""
        self.chance, self.delay, self.sync = Random(seed), delay, sync
        self.now = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.offices: dict[str, Office] = {}
        self.dead: set[str] = set()
        self.swallows: Callable[[str, str], bool] = lambda source, to: False
        self.answers: list[tuple[int, Any, Any]] = []
        self.wakes: dict[str, int] = {}
        members = tuple(Member(f"v{place}", f"v{place}") for place in range(voters))
        for one in members:
            voter = Voter(one.id, LeaseTable(), 0, spans, lambda span: self.chance.randrange(span))
            self.offices[one.id] = Office(voter, lambda: self.now // MS)
        for one in members:
            self.put(one.id, "form", "c", members)

    def at(self, when: int, do: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.queue, (when, self.count, do))

    def put(self, id: str, *told: Any) -> None:
        if id in self.dead:
            return
        office = self.offices[id]
        for effect in office.take(self.now, told):
            if effect[0] == "send":
                if not self.swallows(id, effect[1]):
                    to, message = effect[1], effect[2]
                    self.at(self.now + self.delay(self.chance), self._arrives(to, id, message))
            elif effect[0] == "write":
                self.at(self.now + self.sync, self._written(id))
            elif effect[0] == "answer":
                self.answers.append((self.now, effect[1], effect[2]))
        due = max(office.due(), self.now + 1)
        if self.wakes.get(id) != due:
            self.wakes[id] = due
            self.at(due, self._wakes(id, due))

    def _arrives(self, to: str, source: str, message: Any) -> Callable[[], None]:
        return lambda: self.put(to, "heard", source, message)

    def _written(self, id: str) -> Callable[[], None]:
        return lambda: self.put(id, "written")

    def _wakes(self, id: str, due: int) -> Callable[[], None]:
        return lambda: self.put(id, "elapsed") if self.wakes.get(id) == due else None

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> bool:
        """Whether it was `over` by then."""
        while self.queue and self.queue[0][0] <= until:
            if over():
                return True
            self.now, _, do = heappop(self.queue)
            do()
        self.now = max(self.now, until)
        return over()

    def leader(self) -> str:
        """Of the latest term, among those alive."""
        leading = [
            one.voter
            for id, one in self.offices.items()
            if id not in self.dead and one.voter.phase == "leading"
        ]
        return max(leading, key=lambda one: one.term).id if leading else ""
