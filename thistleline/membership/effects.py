"""The effects that a member's state machine `Gossip` asks its caller to carry out."""

from dataclasses import dataclass
from typing import Any

from thistleline.membership.messages import MemberRecord, Message


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a datagram to this address; it may be lost."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """What is known about a member has changed; `previous` is None if the member was unknown."""

    record: MemberRecord
    previous: MemberRecord | None


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    event: str
    fields: dict[str, Any]


GossipEffect = SendMessage | MemberChanged | WriteLog
