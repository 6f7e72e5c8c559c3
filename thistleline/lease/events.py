"""Events that the lease server handles: the events of its consensus replica, and client requests."""

from dataclasses import dataclass
from typing import Any

from thistleline.consensus import events as consensus_events
from thistleline.lease.protocol import Op


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client sent a request; its `SendAnswer` effect carries the same `ticket`."""

    ticket: Any
    op: Op


Event = consensus_events.Event | RequestReceived
