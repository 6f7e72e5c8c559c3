"""Inputs of the feed's state machines: the follower, the source, and the relay, which combines both.

A source is a keeper (replica) or relay that sends the feed's table; a follower receives the table. The writer
is the keeper that holds the lease for changing the table.
"""

from __future__ import annotations

from dataclasses import dataclass

from thistleline.config_feed.messages import FollowerMessage, SourceMessage
from thistleline.config_feed.table import FeedTable
from thistleline.reducer.events import DeadlineReached

# ---- events of a follower


@dataclass(frozen=True, slots=True)
class UpstreamConnected:
    """The connection requested by `ConnectUpstream` is established."""

    source: str


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """The connection to this source has ended or could not be established."""

    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamMessage:
    """A message from this source arrived."""

    source: str
    message: SourceMessage


@dataclass(frozen=True, slots=True)
class StateDurable:
    """This process has stored the state `sequence` on its disk: a restart would recover it."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SourcesChanged:
    """The follower's list of sources has changed; the sources are in order of preference."""

    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FollowingSuspended:
    """This keeper must not follow another one, because it is or becomes the writer."""


@dataclass(frozen=True, slots=True)
class FollowingResumed:
    """This process may follow a source again, or which sources it may follow has changed.

    Attributes:
        any_source: Whether keepers that are not the writer may be followed too: a keeper that catches up to
            become the writer follows any other keeper.
        table: The state to resume from, if it advanced while following was suspended.
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


# ---- events of a source


@dataclass(frozen=True, slots=True)
class SubscriberJoined:
    """A connection has sent its first message as a follower; `peer` is the number of the connection."""

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
    """The history has a newer table, and the steps (lists of items) that lead to it."""


@dataclass(frozen=True, slots=True)
class HistoryReplaced:
    """The history has a newer table from a snapshot, and no steps that lead to it."""


@dataclass(frozen=True, slots=True)
class WriterChanged:
    """What this process knows of the writer has changed.

    Attributes:
        epoch: Fencing epoch of the writer's lease, 0 while unknown.
        is_writer: Whether this process is the writer.
        level: This process's distance from the keepers: 0 for a keeper, higher for relays.
        leader: Id of the keeper that is the writer, if known and not this process.
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
