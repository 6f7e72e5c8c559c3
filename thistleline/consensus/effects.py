"""Effects that a replica asks its caller to carry out."""

from dataclasses import dataclass
from typing import Any

from thistleline.consensus.messages import Message
from thistleline.consensus.records import WriteBatch
from thistleline.reducer.effects import LogEvent


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the replica with id `to`; the message may be lost, duplicated or late."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Write a batch of records to disk and report WriteCompleted or WriteFailed; one batch at a time."""

    batch: WriteBatch


@dataclass(frozen=True, slots=True)
class ProposalApplied:
    """A proposal or membership change was committed; `answer` comes from the state machine."""

    ticket: Any
    answer: Any


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The state machine may be read for `ticket`.

    All entries that were in the log when the read was requested are applied, and since that request, a
    majority of the members has confirmed that it follows no other leader.
    """

    ticket: Any


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """A client's request was refused or dropped; its outcome is unknown.

    `leader` is the id of the leader, if known.
    """

    ticket: Any
    reason: str
    leader: str


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This replica became the leader."""


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """This replica follows another leader; `leader` is empty if it knows none."""

    leader: str


Effect = (
    SendMessage
    | WriteRecords
    | ProposalApplied
    | ReadReady
    | RequestRefused
    | LeadershipGained
    | LeaderChanged
    | LogEvent
)
