"""Inputs of the feed's state machines: of the follower, of the source, and of a relay that combines both."""

from __future__ import annotations

from dataclasses import dataclass

from thistleline.config_feed.messages import FollowerMessage, SourceMessage
from thistleline.config_feed.table import FeedTable
from thistleline.reducer.events import DeadlineReached

# ---- of a follower, about its upstream


@dataclass(frozen=True, slots=True)
class UpstreamConnected:
    """The connection asked for by `ConnectUpstream` stands."""

    source: str


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """The connection to this source has ended or could not be made."""

    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamMessage:
    """A message from this source arrived."""

    source: str
    message: SourceMessage


@dataclass(frozen=True, slots=True)
class StateDurable:
    """The own disk has the state `sequence`: a restart would find it."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SourcesChanged:
    """These are the sources to choose from now, in order of preference."""

    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FollowingSuspended:
    """Follow nobody from now on, as the writer does."""


@dataclass(frozen=True, slots=True)
class FollowingResumed:
    """Follow again.

    Attributes:
        any_source: Whether keepers that are not the writer will do too, as for a keeper that catches up to
            become the writer.
        table: The state to go on from, where it advanced while following was suspended.
    """

    any_source: bool = False
    table: FeedTable | None = None


FollowerEvent = (
    UpstreamMessage
    | UpstreamConnected
    | UpstreamLost
    | StateDurable
    | SourcesChanged
    | FollowingSuspended
    | FollowingResumed
    | DeadlineReached
)


# ---- of a source, about its subscribers


@dataclass(frozen=True, slots=True)
class SubscriberJoined:
    """A connection that wants to follow was accepted; `peer` is its number from now on."""

    peer: int


@dataclass(frozen=True, slots=True)
class SubscriberMessage:
    """A message from this subscriber arrived."""

    peer: int
    message: FollowerMessage


@dataclass(frozen=True, slots=True)
class SubscriberLeft:
    """The connection of this subscriber has ended."""

    peer: int


@dataclass(frozen=True, slots=True)
class HistoryAdvanced:
    """The history has a newer table, and its steps lead there."""


@dataclass(frozen=True, slots=True)
class HistoryReplaced:
    """The history has a newer table that no step leads to."""


@dataclass(frozen=True, slots=True)
class WriterChanged:
    """What this process knows of the writer has changed.

    Attributes:
        epoch: Fencing epoch of the writer's lease, 0 while unknown.
        is_writer: Whether this process is the writer.
        level: This process's distance from the writer.
        leader: Id of the keeper that is the writer, if known and another one.
    """

    epoch: int
    is_writer: bool
    level: int
    leader: str = ""


SourceEvent = (
    SubscriberMessage
    | SubscriberJoined
    | SubscriberLeft
    | HistoryAdvanced
    | HistoryReplaced
    | WriterChanged
    | DeadlineReached
)
