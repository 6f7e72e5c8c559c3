"""Events that a replica handles."""

from dataclasses import dataclass
from typing import Any, Literal

from thistleline.consensus.messages import Member, Members, Message
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another replica arrived."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    """The outstanding write batch is durable."""


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The outstanding write batch failed; whether it is on disk is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class FormCluster:
    """An operator makes an empty replica an initial member of a new cluster."""

    cluster_id: str
    members: Members


@dataclass(frozen=True, slots=True)
class Propose:
    """Clients propose commands: pairs of a ticket, which identifies the answer, and the encoded command."""

    proposals: tuple[tuple[Any, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestRead:
    """Clients request linearizable reads of the state machine; one ticket for each read."""

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
