"""The events that a member's `Gossip` handles."""

from dataclasses import dataclass

from thistleline.membership.messages import MemberFacts, Message
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram came from this address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class FactsChanged:
    """The member itself says something new of itself."""

    facts: MemberFacts


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The member is to leave the fleet and say so."""


GossipEvent = MessageReceived | DeadlineReached | FactsChanged | LeaveRequested
