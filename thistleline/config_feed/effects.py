"""Outputs of the feed's state machines, to be carried out in order by the caller.

A source is a keeper or relay that sends the feed's table; a follower receives the table. A subscriber is a
follower from the point of view of its source.
"""

from __future__ import annotations

from dataclasses import dataclass

from thistleline.config_feed.history import Items
from thistleline.config_feed.messages import Delta, FollowerMessage, SourceMessage
from thistleline.config_feed.table import FeedTable

# ---- effects of a follower


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
    """End the connection to this source; no more events of the connection may be passed in."""

    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class DeltaApplied:
    """The follower's table has advanced by this delta."""

    delta: Delta


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """The follower's table was replaced by a snapshot; which items differ from the old table is not known."""


FollowerEffect = ConnectUpstream | SendUpstream | DisconnectUpstream | DeltaApplied | SnapshotLoaded


# ---- effects of a source


@dataclass(frozen=True, slots=True)
class SendDownstream:
    """Send this message to a subscriber."""

    peer: int
    message: SourceMessage


@dataclass(frozen=True, slots=True)
class CloseDownstream:
    """End the connection of a subscriber after delivering the messages sent to it before."""

    peer: int
    reason: str


@dataclass(frozen=True, slots=True)
class SubscriberDurable:
    """A subscriber has reported that it has stored the state `sequence` on its disk."""

    subscriber: str
    sequence: int


SourceEffect = SendDownstream | CloseDownstream | SubscriberDurable


# ---- effects of a relay


@dataclass(frozen=True, slots=True)
class PersistStep:
    """Append to the archive the items that lead from the state `first` to this table."""

    table: FeedTable
    first: int
    items: Items


@dataclass(frozen=True, slots=True)
class PersistTable:
    """Replace the archive's content with this table; which items differ from the old one is not known."""

    table: FeedTable
