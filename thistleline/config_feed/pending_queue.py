"""The queue of changes that wait for a group commit, and the deduplication of proposals. No I/O.

A proposal asks the writer to commit a change. A ticket identifies the proposer that waits for the answer;
several tickets can wait for one request, if the same request id is proposed again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from copy import copy
from typing import Any, NamedTuple

from thistleline.config_feed.limits import DEDUPLICATION_SLOTS, GROUP_SIZE_LIMIT
from thistleline.config_feed.messages import Change, Propose, encode
from thistleline.config_feed.table import REQUEST_PREFIX, FeedTable

GROUP_OVERHEAD = 128  # bytes of an encoded group in addition to its changes


def request_key(sequence: int) -> str:
    """Return the key of the table entry that stores the request id of the change with this number."""
    return f"{REQUEST_PREFIX}{sequence % DEDUPLICATION_SLOTS}"


class CommittedRequests:
    """The newest committed request ids with their sequence numbers, for deduplicating proposals."""

    __slots__ = ("_sequences",)

    def __init__(self) -> None:
        """Start without request ids."""
        self._sequences: dict[str, int] = {}  # oldest first

    def copy(self) -> CommittedRequests:
        """Return an independent copy."""
        copied = CommittedRequests()
        copied._sequences = dict(self._sequences)
        return copied

    def items(self) -> tuple[tuple[str, int], ...]:
        """Return the request ids and sequence numbers, oldest first."""
        return tuple(self._sequences.items())

    def __contains__(self, request_id: str) -> bool:
        """Return whether the request is committed."""
        return request_id in self._sequences

    def __getitem__(self, request_id: str) -> int:
        """Return the sequence number of a committed request."""
        return self._sequences[request_id]

    def load(self, table: FeedTable) -> None:
        """Load the request ids that are stored in the table.

        The table stores them so that a request that is repeated after a change of writers is not committed
        again, no matter how many groups ago it was committed.
        """
        entries = (table.get(request_key(slot)) for slot in range(DEDUPLICATION_SLOTS))
        known = sorted((version, value.decode()) for value, version in filter(None, entries))
        self._sequences = {request_id: sequence for sequence, request_id in known}

    def add(self, change: Change) -> None:
        """Add the request of a committed change; drop the oldest requests beyond the limit."""
        self._sequences.pop(change.request_id, None)
        self._sequences[change.request_id] = change.sequence
        while len(self._sequences) > DEDUPLICATION_SLOTS:
            del self._sequences[next(iter(self._sequences))]


class PendingChange(NamedTuple):
    """A change that has a sequence number but is not committed yet."""

    change: Change
    table: FeedTable  # state after this change
    size: int  # encoded size in bytes


class PendingQueue:
    """Changes that wait for a group commit, and the tickets of the proposals that wait for them.

    Attributes:
        newest: The table after all changes in flight and in the queue; proposals are validated on it.
        size: Encoded size of the changes in the queue, in bytes.
        ticket_count: Number of proposals that are not answered yet.
    """

    __slots__ = ("_changes", "_tickets", "newest", "size", "ticket_count")

    def __init__(self, table: FeedTable) -> None:
        """Start with an empty queue, and this table as the newest."""
        self.newest = table
        self.size = 0
        self.ticket_count = 0
        self._changes: deque[PendingChange] = deque()
        self._tickets: dict[str, tuple[Any, ...]] = {}  # by request id, for changes in flight or in the queue

    def copy(self) -> PendingQueue:
        """Return an independent copy."""
        copied = copy(self)
        copied._changes = self._changes.copy()
        copied._tickets = dict(self._tickets)
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines behaviour, as a hashable value."""
        return (tuple(pending.change for pending in self._changes), tuple(self._tickets.items()))

    def __len__(self) -> int:
        """Return the number of changes in the queue."""
        return len(self._changes)

    def __iter__(self) -> Iterator[PendingChange]:
        """Iterate over the changes in the queue, oldest first."""
        return iter(self._changes)

    def is_pending(self, request_id: str) -> bool:
        """Return whether the request is in flight or in the queue."""
        return request_id in self._tickets

    def add_ticket(self, ticket: Any, request_id: str) -> None:
        """Add a ticket to a request that is in flight or in the queue."""
        self.ticket_count += 1
        self._tickets[request_id] += (ticket,)

    def push(self, ticket: Any, proposal: Propose) -> None:
        """Assign the next sequence number to a valid proposal and append it to the queue."""
        request_id = proposal.request_id
        self.ticket_count += 1
        self._tickets[request_id] = (ticket,)
        sequence = self.newest.sequence + 1
        items = (*proposal.items, (request_key(sequence), request_id.encode()))
        change = Change(sequence, request_id, items)
        self.newest = self.newest.apply(change)
        size = len(encode(change))
        self._changes.append(PendingChange(change, self.newest, size))
        self.size += size

    def pop_group(self) -> tuple[PendingChange, ...]:
        """Remove and return as many of the oldest changes as fit into a group."""
        group: list[PendingChange] = []
        size = GROUP_OVERHEAD
        while self._changes and size + self._changes[0].size <= GROUP_SIZE_LIMIT:
            pending = self._changes.popleft()
            group.append(pending)
            size += pending.size
            self.size -= pending.size
        return tuple(group)

    def pop_tickets(self, request_id: str) -> tuple[Any, ...]:
        """Remove and return the tickets that wait for a request."""
        tickets = self._tickets.pop(request_id, ())
        self.ticket_count -= len(tickets)
        return tickets

    def clear(self, newest: FeedTable) -> None:
        """Drop all changes in the queue; further proposals are based on the table `newest`."""
        self._changes.clear()
        self.size = 0
        self.newest = newest
