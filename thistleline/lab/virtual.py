"""Voters in virtual time: messages with delays, faults of ways, clocks of their own rate. No I/O."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from thistleline.consensus.effects import SendMessage, WriteRecords
from thistleline.consensus.events import FormCluster, MessageReceived, TimerFired, WriteCompleted
from thistleline.consensus.messages import Member
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import Phase, RaftTiming
from thistleline.lease.effects import SendAnswer
from thistleline.lease.events import Event
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable

MS = 1_000_000


class VirtualCouncil:
    def __init__(
        self, voters: int, timing: RaftTiming, seed: int, delay: Callable[[Random], int], sync: int = MS
    ) -> None:
        """`delay` and `sync` in ns: of a message, and of a write."""
        self.chance, self.delay, self.sync = Random(seed), delay, sync
        self.now = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.servers: dict[str, LeaseServer] = {}
        self.dead: set[str] = set()
        self.swallows: Callable[[str, str], bool] = lambda source, to: False
        self.answers: list[tuple[int, Any, Any]] = []
        self.wakes: dict[str, int] = {}
        members = tuple(Member(f"v{place}", f"v{place}") for place in range(voters))
        for one in members:
            replica = Replica(one.id, LeaseTable(), 0, timing, lambda span: self.chance.randrange(span))
            self.servers[one.id] = LeaseServer(replica, lambda: self.now // MS)
        for one in members:
            self.put(one.id, FormCluster("c", members))

    def at(self, when: int, do: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.queue, (when, self.count, do))

    def put(self, id: str, event: Event) -> None:
        if id in self.dead:
            return
        server = self.servers[id]
        for effect in server.handle(self.now, event):
            match effect:
                case SendMessage(to, message):
                    if not self.swallows(id, to):
                        self.at(self.now + self.delay(self.chance), self._arrives(to, id, message))
                case WriteRecords():
                    self.at(self.now + self.sync, self._written(id))
                case SendAnswer(ticket, answer):
                    self.answers.append((self.now, ticket, answer))
        due = max(server.next_deadline(), self.now + 1)
        if self.wakes.get(id) != due:
            self.wakes[id] = due
            self.at(due, self._wakes(id, due))

    def _arrives(self, to: str, source: str, message: Any) -> Callable[[], None]:
        return lambda: self.put(to, MessageReceived(source, message))

    def _written(self, id: str) -> Callable[[], None]:
        return lambda: self.put(id, WriteCompleted())

    def _wakes(self, id: str, due: int) -> Callable[[], None]:
        return lambda: self.put(id, TimerFired()) if self.wakes.get(id) == due else None

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
            one.replica.state
            for id, one in self.servers.items()
            if id not in self.dead and one.replica.state.phase is Phase.LEADER
        ]
        return max(leading, key=lambda one: one.term).id if leading else ""
