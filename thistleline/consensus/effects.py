"""Effects that a replica asks its surroundings to carry out."""

from dataclasses import dataclass
from typing import Any

from thistleline.consensus.messages import Message
from thistleline.consensus.records import WriteBatch
from thistleline.reducer.effects import LogEvent


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the replica with id `to`; it may be lost, duplicated or late."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Write a batch to disk and answer with WriteCompleted or WriteFailed; one is outstanding at a time."""

    batch: WriteBatch


@dataclass(frozen=True, slots=True)
class ProposalApplied:
    """A proposal or membership change was committed; `answer` is the state machine's."""

    ticket: Any
    answer: Any


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The state machine may be read for `ticket`.

    All that stood in the log as the read was requested is applied, and a majority has confirmed since then
    that it follows no other leader.
    """

    ticket: Any


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request was given up; what becomes of it is unknown. `leader` is the id of the leader, if known."""

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
