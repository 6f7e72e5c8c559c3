"""Events that the writer's state machine takes in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from thistleline.config_feed.messages import Propose
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This keeper holds the writer's lease now, in this fencing epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is not held any more."""

    reason: str


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The consensus cluster has answered `ReadRecord`; version 0 is a record that does not exist."""

    slot: int
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The consensus cluster has committed `WriteRecord`; the record has this version now."""

    slot: int
    version: int


@dataclass(frozen=True, slots=True)
class WriteDenied:
    """The consensus cluster has denied `WriteRecord`: for its epoch, its version, or because it is full."""

    slot: int
    reason: str


@dataclass(frozen=True, slots=True)
class WriteUnanswered:
    """No answer to `WriteRecord` will come; it may be committed all the same."""

    slot: int


@dataclass(frozen=True, slots=True)
class KeeperDurable:
    """A keeper acknowledges that its disk has the state `sequence`.

    The newest acknowledgement counts, also if it is lower: a keeper that lost its disk counts for nothing
    until it has everything again.
    """

    keeper: str
    sequence: int


@dataclass(frozen=True, slots=True)
class CatchUpAdvanced:
    """The history has advanced by following another keeper; the writer checks whether that is enough."""


@dataclass(frozen=True, slots=True)
class ProposalReceived:
    """A change is proposed; `AnswerProposal` with the same ticket answers it, now or later."""

    ticket: Any
    proposal: Propose


WriterEvent = (
    LeaseAcquired
    | LeaseLost
    | RecordRead
    | RecordWritten
    | WriteDenied
    | WriteUnanswered
    | KeeperDurable
    | CatchUpAdvanced
    | ProposalReceived
    | DeadlineReached
)
