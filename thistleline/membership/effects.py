"""The effects that a member's `Gossip` asks its driver to carry out."""

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
    """Something new is known of a member; `previous` is None for one that was unknown."""

    record: MemberRecord
    previous: MemberRecord | None


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    event: str
    fields: dict[str, Any]


GossipEffect = SendMessage | MemberChanged | WriteLog
