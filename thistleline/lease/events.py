"""Events that the lease server handles: those of its replica, and clients' requests."""

from dataclasses import dataclass
from typing import Any

from thistleline.consensus import events as consensus_events
from thistleline.lease.protocol import Op


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client asks for something; the answer names `ticket`."""

    ticket: Any
    op: Op


Event = consensus_events.Event | RequestReceived
