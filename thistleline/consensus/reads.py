"""Linearizable reads by read index (Ongaro's dissertation, section 6.4).

A read is answered once a majority has confirmed the leader after the read was requested. The leader's clock
alone does not prove leadership: the leader may have been paused while another one was elected.

Members confirm the leader by answering a heartbeat with its round number. One round confirms the leader for
all reads that were waiting when it began. The read index is the log index that has to be applied before a
read is answered.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from thistleline.consensus.effects import ReadReady
from thistleline.consensus.replication import Replication
from thistleline.consensus.state import ReplicaState


class PendingRead(NamedTuple):
    """A read that is ready once the log is applied up to `read_index`."""

    read_index: int
    ticket: Any


class Reads:
    """Batches reads into heartbeat rounds, with one outstanding round at a time.

    Attributes:
        state: State of the replica.
        replication: Sends the heartbeats of the rounds.
        waiting: Reads that wait for the next round.
        in_round: Reads of the outstanding round; once it is confirmed, those whose index is not applied yet.
    """

    __slots__ = ("in_round", "replication", "state", "waiting")

    def __init__(self, state: ReplicaState, replication: Replication) -> None:
        """Create an instance without pending reads."""
        self.state = state
        self.replication = replication
        self.waiting: list[PendingRead] = []
        self.in_round: list[PendingRead] = []

    def copy(self, state: ReplicaState, replication: Replication) -> "Reads":
        """Return an independent copy that works on `state` and `replication`."""
        copied = Reads(state, replication)
        copied.waiting = self.waiting.copy()
        copied.in_round = self.in_round.copy()
        return copied

    def state_key(self) -> tuple[object, ...]:
        """Return a hashable value of all that behaviour depends on."""
        return tuple(self.waiting), tuple(self.in_round)

    def __len__(self) -> int:
        """Return the number of unanswered reads."""
        return len(self.waiting) + len(self.in_round)

    def clear(self) -> list[Any]:
        """Drop all reads and return their tickets."""
        tickets = [read.ticket for read in (*self.waiting, *self.in_round)]
        self.waiting = []
        self.in_round = []
        return tickets

    def request(self, tickets: Iterable[Any]) -> None:
        """Add reads; each waits until all entries that are in the log now, committed or not, are applied."""
        index = self.state.log.last_index
        self.waiting += [PendingRead(index, ticket) for ticket in tickets]
        if self.waiting and not self.in_round:
            self._start_round()

    def _start_round(self) -> None:
        self.replication.round += 1
        self.in_round = self.waiting
        self.waiting = []
        self.replication.send_heartbeats()
        self.answer()  # in a cluster of one member, the leader alone is the majority

    def answer(self) -> None:
        """Answer the outstanding round's reads whose read index is applied, if the round is confirmed."""
        if not self.in_round:
            return
        state = self.state
        confirmed = self.replication.confirmed_since(self.replication.round)
        if not state.has_majority(confirmed | {state.id}):
            return
        ready = [read for read in self.in_round if read.read_index <= state.last_applied]
        state.effects += [ReadReady(read.ticket) for read in ready]
        self.in_round = [read for read in self.in_round if read.read_index > state.last_applied]
        if not self.in_round and self.waiting:
            self._start_round()
