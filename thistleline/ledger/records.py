"""The ledger's records of effects and segments, and the types exchanged with its writer and readers."""

from dataclasses import dataclass
from typing import NamedTuple

from thistleline.ledger.format import Intent, RecordGroup


class EffectRecord:
    """One effect that may have run.

    Attributes:
        intent: The recorded intent.
        durable: Whether the intent is known to be on disk.
        outcome: One of OUTCOME_KINDS except "doubtful"; None while the outcome is not known.
        result_size: Size of the recorded result in bytes.
        doubt_deadline: Boot time in ns until which the outcome is awaited. Set for an effect of unknown
            outcome once all notices that the agent retained have been read; None otherwise.
    """

    __slots__ = ("doubt_deadline", "durable", "intent", "outcome", "result_size")

    def __init__(self, intent: Intent) -> None:
        """Create the record of an effect whose intent is not yet durable."""
        self.intent = intent
        self.durable = False
        self.outcome: str | None = None
        self.result_size = 0
        self.doubt_deadline: int | None = None


class SegmentInfo:
    """Size and expiry of one segment file.

    Attributes:
        size: Size in bytes; an upper estimate if this process wrote the segment.
        expires_at: Boot time in ns at which the segment's last record expires.
    """

    __slots__ = ("expires_at", "size")

    def __init__(self, size: int) -> None:
        """Create the info of a segment that holds no unexpired record yet."""
        self.size = size
        self.expires_at = 0


@dataclass(frozen=True, slots=True)
class LedgerWrite:
    """One write for the ledger's writer, to be made durable as a whole.

    Attributes:
        segment: Number of the segment that the group is appended to.
        creates_segment: Whether the segment's file has to be created first.
        group: The records.
        obsolete_segments: Segments to remove once the group is durable.
        is_compaction: Whether the group holds the records of all effects that the ledger retains.
    """

    segment: int
    creates_segment: bool
    group: RecordGroup
    obsolete_segments: tuple[int, ...]
    is_compaction: bool


class RecoveredEffect(NamedTuple):
    """An effect that an earlier incarnation recorded and that has not expired.

    A named tuple, because recovery creates up to a million of them.

    Attributes:
        number: The effect's number.
        stage: Index among the stages of this server.
        digest: 16-byte digest of idempotency key and body.
        attempt_id: Id by which the agent knows the attempt.
        remaining: Nanoseconds until the key's idempotency window ends.
        outcome: How the effect ended; None if it may have run or may still be running.
        result: The stored result; None if there is no result or it did not fit in memory.
        doubt_deadline: Boot time in ns until which an earlier incarnation would have awaited the outcome.
    """

    number: int
    stage: int
    digest: bytes
    attempt_id: bytes
    remaining: int
    outcome: str | None
    result: bytes | None
    doubt_deadline: int | None
