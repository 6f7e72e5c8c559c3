"""Events in the inbox of a keeper's or relay's service, beside those of its state machine."""

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
    """The archive has the state `sequence` on disk.

    Attributes:
        sequence: Of the state.
        generation: Of the archive, as of the write: it is another one once the table was replaced.
    """

    sequence: int
    generation: int


@dataclass(frozen=True, slots=True)
class RecordAnswered:
    """The consensus cluster has answered a request for a record, made under the lease of this epoch."""

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
