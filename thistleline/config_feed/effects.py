"""Outputs of the feed's state machines: what whoever runs them has to carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass

from thistleline.config_feed.history import Items
from thistleline.config_feed.messages import Delta, FollowerMessage, SourceMessage
from thistleline.config_feed.table import FeedTable

# ---- of a follower


@dataclass(frozen=True, slots=True)
class ConnectUpstream:
    """Connect to this source; answered by `UpstreamConnected` or `UpstreamLost`."""

    source: str


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send this message to the source that is followed."""

    source: str
    message: FollowerMessage


@dataclass(frozen=True, slots=True)
class DisconnectUpstream:
    """End the connection to this source; nothing more of it may be passed in."""

    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class DeltaApplied:
    """The follower's table has advanced by this delta."""

    delta: Delta


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """The follower's table is a snapshot that was loaded whole; nothing leads there from the one before."""


FollowerEffect = ConnectUpstream | SendUpstream | DisconnectUpstream | DeltaApplied | SnapshotLoaded


# ---- of a source


@dataclass(frozen=True, slots=True)
class SendDownstream:
    """Send this message to a subscriber."""

    peer: int
    message: SourceMessage


@dataclass(frozen=True, slots=True)
class CloseDownstream:
    """End the connection of a subscriber once all that was sent to it before is out."""

    peer: int
    reason: str


@dataclass(frozen=True, slots=True)
class SubscriberDurable:
    """A subscriber says that its disk has the state `sequence`."""

    subscriber: str
    sequence: int


SourceEffect = SendDownstream | CloseDownstream | SubscriberDurable


# ---- of a relay


@dataclass(frozen=True, slots=True)
class PersistStep:
    """Write to the archive what leads from the state `first` to this table."""

    table: FeedTable
    first: int
    items: Items


@dataclass(frozen=True, slots=True)
class PersistTable:
    """Write this table to the archive as a whole: nothing leads there."""

    table: FeedTable
