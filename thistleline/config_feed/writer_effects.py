"""Effects of the writer's state machine, which its caller carries out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from thistleline.config_feed.messages import ProposeResult
from thistleline.lease.protocol import Put
from thistleline.reducer.effects import LogEvent


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read this record in the consensus cluster.

    Answered by `RecordRead`; the writer repeats a read that has no answer.
    """

    slot: int
    key: str


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Send this write to the consensus cluster.

    Answered by `RecordWritten`, `WriteDenied` or `WriteUnanswered`.
    """

    slot: int
    put: Put


@dataclass(frozen=True, slots=True)
class AnswerProposal:
    """Answer the proposal that came with this ticket."""

    ticket: Any
    result: ProposeResult


@dataclass(frozen=True, slots=True)
class TableAdvanced:
    """The history has a newer table with committed changes."""


@dataclass(frozen=True, slots=True)
class FollowKeepers:
    """Follow any keeper, because the local table ends before the oldest record.

    Answered by `CatchUpAdvanced`.
    """


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Release the lease."""

    reason: str


WriterEffect = (
    ReadRecord | WriteRecord | AnswerProposal | TableAdvanced | FollowKeepers | ReleaseLease | LogEvent
)
