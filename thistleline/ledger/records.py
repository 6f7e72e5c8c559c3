"""What the ledger knows of effects and segments, and what it exchanges with its writer and its readers."""

from dataclasses import dataclass
from typing import NamedTuple

from thistleline.ledger.format import Intent, RecordGroup


class EffectRecord:
    """One effect that may have run.

    Attributes:
        intent: As it is recorded.
        durable: Whether the intent is known to be on disk.
        outcome: One of OUTCOME_KINDS but "doubtful"; None while the end is not known.
        result_size: Bytes of the result that is recorded.
        doubt_deadline: Boot time in ns until which the end is awaited, once everything that the agent
            retained was read; None if it is not in doubt.
    """

    __slots__ = ("doubt_deadline", "durable", "intent", "outcome", "result_size")

    def __init__(self, intent: Intent) -> None:
        """Start with an effect whose intent is not yet durable."""
        self.intent = intent
        self.durable = False
        self.outcome: str | None = None
        self.result_size = 0
        self.doubt_deadline: int | None = None


class SegmentInfo:
    """What is known of one segment file.

    Attributes:
        size: Bytes, estimated from above where this process wrote it.
        expires_at: Boot time in ns from which nothing in it matters any more.
    """

    __slots__ = ("expires_at", "size")

    def __init__(self, size: int) -> None:
        """Start with a segment in which nothing matters yet."""
        self.size = size
        self.expires_at = 0


@dataclass(frozen=True, slots=True)
class LedgerWrite:
    """One write for the ledger's writer, which must be durable as a whole.

    Attributes:
        segment: Number of the segment that the group is appended to.
        creates_segment: Whether the segment is to be created.
        group: The records.
        obsolete_segments: Segments to be removed once the group is durable.
        is_compaction: Whether the group holds everything that still matters.
    """

    segment: int
    creates_segment: bool
    group: RecordGroup
    obsolete_segments: tuple[int, ...]
    is_compaction: bool


class RecoveredEffect(NamedTuple):
    """An effect of an earlier incarnation that still matters.

    A named tuple, as recovery makes up to a million of them.

    Attributes:
        number: The effect's number.
        stage: Place among the stages of this server.
        digest: 16 bytes: the digest of idempotency key and body.
        attempt_id: Id of the attempt as the agent knows it.
        remaining: Nanoseconds until its window has passed.
        outcome: How it ended; None if it may have run, or may still be running.
        result: The stored result, if it has one that fitted in memory.
        doubt_deadline: Boot time in ns until which an earlier incarnation would have awaited its end.
    """

    number: int
    stage: int
    digest: bytes
    attempt_id: bytes
    remaining: int
    outcome: str | None
    result: bytes | None
    doubt_deadline: int | None
