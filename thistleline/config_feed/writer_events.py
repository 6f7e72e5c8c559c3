"""Events that the writer's state machine handles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from thistleline.config_feed.messages import Propose
from thistleline.reducer.events import DeadlineReached


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This keeper has acquired the writer's lease, with this fencing epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This keeper no longer holds the lease."""

    reason: str


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The consensus cluster has answered `ReadRecord`; version 0 means that the record does not exist."""

    slot: int
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The consensus cluster has committed `WriteRecord`; the record now has this version."""

    slot: int
    version: int


@dataclass(frozen=True, slots=True)
class WriteDenied:
    """The consensus cluster has denied `WriteRecord`: for its epoch or version, or because it is full."""

    slot: int
    reason: str


@dataclass(frozen=True, slots=True)
class WriteUnanswered:
    """`WriteRecord` will get no answer; the write may still be committed."""

    slot: int


@dataclass(frozen=True, slots=True)
class KeeperDurable:
    """A keeper acknowledges that its disk has the state `sequence`.

    A keeper's most recent acknowledgement counts, even if its number is lower than before: a keeper that lost
    its disk does not count towards a majority until it has all changes again.
    """

    keeper: str
    sequence: int


@dataclass(frozen=True, slots=True)
class CatchUpAdvanced:
    """The local table has advanced by following another keeper; the new writer checks if it can start."""


@dataclass(frozen=True, slots=True)
class ProposalReceived:
    """A change was proposed; `AnswerProposal` with the same ticket answers it, at once or later."""

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
