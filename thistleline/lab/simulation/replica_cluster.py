"""A consensus cluster in virtual time: the state machines that run in production, without I/O.

A discrete-event simulation: a queue of events ordered by time, messages with random delays, message loss and
partitions by a predicate, writes that take a fixed time, crashes. Times are in nanoseconds of a simulated
clock that all replicas share.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from thistleline.consensus.effects import SendMessage, WriteRecords
from thistleline.consensus.events import FormCluster, MessageReceived, WriteCompleted
from thistleline.consensus.messages import Member
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import Phase, RaftTiming
from thistleline.lease.effects import SendAnswer
from thistleline.lease.events import Event
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable
from thistleline.reducer.events import DeadlineReached

MS = 1_000_000  # ns


class ScheduledAction(NamedTuple):
    """An entry of the event queue; entries of the same time run in the order they were scheduled."""

    time: int  # ns
    sequence: int
    action: Callable[[], None]


class SentAnswer(NamedTuple):
    """An answer that a replica sent to a client."""

    time: int  # ns
    ticket: Any
    answer: Any


class SimulatedCluster:
    """Replicas v0, v1, ... with a lease table each, and the event queue that drives them."""

    def __init__(
        self,
        replicas: int,
        timing: RaftTiming,
        seed: int,
        message_delay: Callable[[Random], int],
        write_duration: int = MS,
    ) -> None:
        """Form a cluster of all replicas at time 0.

        Args:
            replicas: How many.
            timing: Their election timeout and heartbeat interval.
            seed: Of all random draws.
            message_delay: Draws a message's delay, ns.
            write_duration: Of a write to disk, ns.
        """
        self.rng = Random(seed)
        self.message_delay = message_delay
        self.write_duration = write_duration
        self.now = 0
        self.queue: list[ScheduledAction] = []
        self.scheduled = 0
        self.servers: dict[str, LeaseServer] = {}
        self.crashed: set[str] = set()
        self.is_lost: Callable[[str, str], bool] = lambda source, target: False
        self.answers: list[SentAnswer] = []
        self.timers: dict[str, int] = {}  # ns; deadline of each replica's current timer
        members = tuple(Member(f"v{index}", f"v{index}") for index in range(replicas))
        for member in members:
            replica = Replica(member.id, LeaseTable(), 0, timing, lambda limit: self.rng.randrange(limit))
            self.servers[member.id] = LeaseServer(replica, lambda: self.now // MS)
        for member in members:
            self.handle(member.id, FormCluster("c", members))

    def schedule(self, time: int, action: Callable[[], None]) -> None:
        """Run an action at a time, ns."""
        self.scheduled += 1
        heappush(self.queue, ScheduledAction(time, self.scheduled, action))

    def handle(self, id: str, event: Event) -> None:
        """Let a replica handle an event now, unless it has crashed."""
        if id in self.crashed:
            return
        server = self.servers[id]
        for effect in server.handle(self.now, event):
            match effect:
                case SendMessage(to, message):
                    if not self.is_lost(id, to):
                        arrival = self.now + self.message_delay(self.rng)
                        self.schedule(arrival, self._deliver(to, id, message))
                case WriteRecords():
                    self.schedule(self.now + self.write_duration, self._complete_write(id))
                case SendAnswer(ticket, answer):
                    self.answers.append(SentAnswer(self.now, ticket, answer))
        deadline = max(server.next_deadline(), self.now + 1)
        if self.timers.get(id) != deadline:
            self.timers[id] = deadline
            self.schedule(deadline, self._fire_timer(id, deadline))

    def _deliver(self, target: str, source: str, message: Any) -> Callable[[], None]:
        return lambda: self.handle(target, MessageReceived(source, message))

    def _complete_write(self, id: str) -> Callable[[], None]:
        return lambda: self.handle(id, WriteCompleted())

    def _fire_timer(self, id: str, deadline: int) -> Callable[[], None]:
        return lambda: self.handle(id, DeadlineReached()) if self.timers.get(id) == deadline else None

    def run(self, until: int, is_over: Callable[[], bool] = lambda: False) -> bool:
        """Run the queue to a time (ns), or until a condition holds; return whether it holds."""
        while self.queue and self.queue[0].time <= until:
            if is_over():
                return True
            self.now, _, action = heappop(self.queue)
            action()
        self.now = max(self.now, until)
        return is_over()

    def leader(self) -> str:
        """Return the leader of the latest term among the replicas that run; "" if there is none."""
        leaders = [
            server.replica.state
            for id, server in self.servers.items()
            if id not in self.crashed and server.replica.state.phase is Phase.LEADER
        ]
        return max(leaders, key=lambda state: state.term).id if leaders else ""
