"""Events that a replica handles."""

from dataclasses import dataclass
from typing import Any, Literal

from thistleline.consensus.messages import Member, Members, Message
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Another replica's message arrived."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    """The outstanding write batch is durable."""


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The outstanding write batch failed; what is on disk is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class FormCluster:
    """An operator makes an empty replica a first member of a new cluster."""

    cluster_id: str
    members: Members


@dataclass(frozen=True, slots=True)
class Propose:
    """Clients propose commands: pairs of a ticket, which answers name, and the encoded command."""

    proposals: tuple[tuple[Any, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestRead:
    """Clients want to read the state machine, linearizably; one ticket each."""

    tickets: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """An operator adds or removes a member."""

    ticket: Any
    change: Literal["add", "remove"]
    member: Member


Event = (
    MessageReceived
    | DeadlineReached
    | WriteCompleted
    | WriteFailed
    | FormCluster
    | Propose
    | RequestRead
    | ChangeMembership
)
