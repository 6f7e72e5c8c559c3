"""Events in the inbox of the service of a keeper or relay, in addition to those of its state machine."""

from __future__ import annotations

from dataclasses import dataclass

from thistleline.config_feed.events import (
    SubscriberLeft,
    SubscriberMessage,
    UpstreamConnected,
    UpstreamLost,
    UpstreamMessage,
)
from thistleline.config_feed.writer_events import (
    LeaseAcquired,
    LeaseLost,
    RecordRead,
    RecordWritten,
    WriteDenied,
    WriteUnanswered,
)


@dataclass(frozen=True, slots=True)
class ArchiveDurable:
    """The archive has stored the state `sequence` on disk.

    Attributes:
        sequence: Sequence number of the state.
        generation: Generation of the archive at the time of the write: how often its table was replaced.
    """

    sequence: int
    generation: int


@dataclass(frozen=True, slots=True)
class RecordAnswered:
    """The consensus cluster answered a read or write of a record, sent under the lease with this epoch."""

    epoch: int
    answer: RecordRead | RecordWritten | WriteDenied | WriteUnanswered


ServiceEvent = (
    SubscriberMessage
    | SubscriberLeft
    | UpstreamMessage
    | UpstreamConnected
    | UpstreamLost
    | ArchiveDurable
    | LeaseAcquired
    | LeaseLost
    | RecordAnswered
)
