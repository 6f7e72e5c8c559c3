"""The events that a member's state machine `Gossip` handles."""

from dataclasses import dataclass

from thistleline.membership.messages import MemberFacts, Message
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram was received from this address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class FactsChanged:
    """The facts that this member publishes about itself have changed."""

    facts: MemberFacts


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This member is to leave the fleet and announce it."""


GossipEvent = MessageReceived | DeadlineReached | FactsChanged | LeaveRequested
