"""The ledger's decisions: what is written and when, what expires, and what is refused.

No I/O and no clock. `LedgerState` issues one `LedgerWrite` at a time; the caller performs it and reports the
result with `write_completed` or `write_failed`. Times are boot times in nanoseconds (ledger/format.py). The
package's doc comment defines effect, intent, outcome and incarnation.

Invariants:

- An intent is durable once the write that contains it has completed; the completion of a later write does
  not make it durable.
- After a failed write no more records are appended to that segment: data whose sync failed may or may not be
  on disk, and a later successful sync does not prove that it is. The intents in the write are refused, since
  none of their effects was started; the outcomes in the write are written again to the next segment.
- The deadline until which the outcome of an effect is awaited survives the incarnation that set it, so that
  a server that is killed repeatedly still gets to declare the effect doubtful.
- An effect is retained until its key's idempotency window ends, measured by a clock that cannot be set. If
  the machine has rebooted, which takes an unknown time, the full window starts again at the recovery.
- This also holds for the effects of stages that the server's settings do not have (unmatched effects).
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Literal

from thistleline.ledger.compaction import compacted_group, doubt_record
from thistleline.ledger.format import (
    ATTEMPT_ID_SIZE,
    DOUBT_DEADLINE,
    FRAME_OVERHEAD,
    INTENT_SIZE,
    OUTCOME_KINDS,
    OUTCOME_SIZE,
    Intent,
    Outcome,
    RecordGroup,
)
from thistleline.ledger.records import EffectRecord, LedgerWrite, RecoveredEffect, SegmentInfo
from thistleline.ledger.recovery import EffectRecovery
from thistleline.ledger.unmatched import UnmatchedEffects

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
MAX_GROUP_RECORDS = 4096  # limit on the number of intents and, separately, of outcomes in one group
MAX_PENDING_INTENTS = 16_384  # limit on intents that wait to be written; further intents are refused
SEGMENTS_PER_DISK_LIMIT = 8  # a segment is closed once it exceeds 1/8 of the disk limit
FIRST_RETRY_BACKOFF = 100 * MS  # delay after a failed write; doubled after each further failure
MAX_RETRY_BACKOFF = 5 * SECOND
MAX_STAGES = 1 << 16  # limit that the format sets
HEADER_SIZE_ESTIMATE = 512  # bytes that a segment's header is assumed to take

# "keeping" means that records are accepted. The values appear in the metrics that the server logs.
LedgerPhase = Literal["keeping", "failing", "full"]


class LedgerState:
    """The state and decisions of one ledger."""

    def __init__(
        self,
        max_disk_bytes: int,
        max_result_bytes: int,
        now: int,
        stored_result: Callable[[int], bytes | None],
    ) -> None:
        """Create an empty ledger.

        Args:
            max_disk_bytes: Limit on the total size of all segments.
            max_result_bytes: Limit on the total size of the results retained in memory during recovery.
            now: Boot time in ns.
            stored_result: Returns the result of the completed run with this effect number, which compaction
                rewrites, or None if the result is no longer in memory.
        """
        self.max_disk_bytes = max_disk_bytes
        self.now = now
        self.stored_result = stored_result
        self.phase: LedgerPhase = "keeping"
        self.effects: dict[int, EffectRecord] = {}
        self.unfinished: set[int] = set()  # effects whose outcome is still to be recorded
        self.last_effect_number = 0
        self.recovery = EffectRecovery(self.effects, max_result_bytes)
        self.unmatched = UnmatchedEffects(max_result_bytes)

        self.segments: dict[int, SegmentInfo] = {}
        self.current_segment: int | None = None  # segment of the next write; None: a new segment
        self.last_segment_number = 0

        self.pending_intents: list[Intent] = []
        self.pending_outcomes: list[Outcome] = []
        self.pending_outcomes_size = 0  # bytes; a running total, which avoids a sum for each intent
        self.outstanding_write: LedgerWrite | None = None
        self.retry_at = 0
        self.retry_backoff = FIRST_RETRY_BACKOFF

        self.refusals = 0
        self.write_failures = 0
        self.compactions = 0
        self.dropped_results = 0

    # ---- inputs from the server

    def record_intent(
        self, now: int, stage: int, digest: bytes, lifetime: int, attempt_id: bytes
    ) -> int | None:
        """Record the intent of an effect; the effect may start once the intent is durable.

        Args:
            now: Boot time in ns.
            stage: Index of the stage.
            digest: 16-byte digest of idempotency key and body.
            lifetime: Nanoseconds for which the effect must be retained.
            attempt_id: Id by which the agent knows the attempt; its first 16 bytes are recorded.

        Returns:
            The effect's number, or None if the intent is refused.
        """
        self.advance_clock(now)
        if self.phase != "keeping" or len(self.pending_intents) >= MAX_PENDING_INTENTS:
            self.refusals += 1
            return None
        if not self._has_room(INTENT_SIZE + OUTCOME_SIZE):
            self.refusals += 1
            self.phase = "full"
            return None
        self.last_effect_number += 1
        number = self.last_effect_number
        intent = Intent(number, stage, digest, self.now + lifetime, lifetime, attempt_id[:ATTEMPT_ID_SIZE])
        self.effects[number] = EffectRecord(intent)
        self.pending_intents.append(intent)
        self.unfinished.add(number)
        return number

    def record_outcome(self, now: int, number: int, outcome: str, result: bytes) -> None:
        """Record how an effect ended; near the disk limit the result is omitted, but the key is kept."""
        self.advance_clock(now)
        self.unfinished.discard(number)
        effect = self.effects.get(number)
        if effect is None:
            return  # the key's idempotency window has ended
        if not self._has_room(OUTCOME_SIZE + len(result)):
            if result:
                self.dropped_results += 1
            result = b""
        effect.outcome = outcome
        effect.result_size = len(result)
        self._enqueue_outcome(Outcome(number, OUTCOME_KINDS.index(outcome), result))
        if outcome == "moot":
            del self.effects[number]

    def record_unmatched_outcome(self, now: int, attempt_id: bytes, outcome: str, result: bytes) -> None:
        """Record how an unmatched effect ended, if its outcome is still awaited."""
        number = self.unmatched.awaited.get(attempt_id)
        if number is not None:
            self.record_outcome(now, number, outcome, result)
            self.unmatched.end(attempt_id, result)

    def record_doubt(self, now: int, number: int, deadline: int) -> None:
        """Record the boot time in ns until which the outcome of an earlier incarnation's effect is awaited.

        If there is no room on disk, this deadline is not written and the next incarnation sets its own one.
        """
        self.advance_clock(now)
        effect = self.effects.get(number)
        if effect is None or effect.outcome is not None:
            return
        effect.doubt_deadline = deadline
        if self._has_room(OUTCOME_SIZE + DOUBT_DEADLINE.size):
            self._enqueue_outcome(doubt_record(number, deadline))

    def advance_clock(self, now: int) -> None:
        """Advance the clock to boot time `now` in ns; earlier times are ignored.

        Also called before the records that another program has written are read: those written after this
        state was created would otherwise seem to lie in the future, and would be dropped too early.
        """
        self.now = max(self.now, now)
        if self.phase == "full" and not self._is_nearly_full():
            self.phase = "keeping"

    # ---- writes

    def next_write(self, now: int) -> LedgerWrite | None:
        """Return the next write.

        None while a write is outstanding, while nothing is pending, or during the backoff after a failure.
        """
        self.advance_clock(now)
        if self.outstanding_write is not None or (self.phase == "failing" and self.now < self.retry_at):
            return None
        obsolete = self._drop_expired()
        compacts = self._should_compact()
        pending = self.pending_intents or self.pending_outcomes
        if not (pending or obsolete or compacts or self.phase == "failing"):
            return None
        if compacts:
            self.compactions += 1
            group = compacted_group(self.effects, self.max_disk_bytes // 4, self._retained_result)
            obsolete = tuple(self.segments)
        else:
            group = self._take_pending()
        creates_segment = compacts or self._needs_new_segment()
        if creates_segment:
            self._open_segment()
        assert self.current_segment is not None
        self._account(self.segments[self.current_segment], group)
        write = LedgerWrite(self.current_segment, creates_segment, group, obsolete, compacts)
        self.outstanding_write = write
        return write

    def write_completed(self, now: int) -> list[int]:
        """Handle that the outstanding write has completed: its records are durable.

        The segments that the write made obsolete have been removed.

        Returns:
            The numbers of the effects that may start now.
        """
        self.advance_clock(now)
        write = self._take_outstanding()
        for segment in write.obsolete_segments:
            self.segments.pop(segment, None)
        self.phase = "keeping"
        self.retry_backoff = FIRST_RETRY_BACKOFF
        ready = []
        for intent in write.group.intents:
            effect = self.effects.get(intent.number)
            if effect is not None and not effect.durable:
                effect.durable = True
                ready.append(intent.number)
        return ready

    def write_failed(self, now: int) -> list[int]:
        """Handle the failure of the outstanding write, which may or may not be on disk.

        Returns:
            The numbers of the effects (runs with an idempotency key) that must not start, because their
            intents may not be on disk.
        """
        self.advance_clock(now)
        write = self._take_outstanding()
        self.write_failures += 1
        self.phase = "failing"
        self.current_segment = None
        if write.creates_segment:
            del self.segments[write.segment]  # no record in it counts; the next start drops a leftover file
        self.retry_at = self.now + self.retry_backoff
        self.retry_backoff = min(MAX_RETRY_BACKOFF, 2 * self.retry_backoff)
        unwritten = [*write.group.intents, *self.pending_intents]
        refused = [intent.number for intent in unwritten if self._is_unstarted(intent.number)]
        self.pending_intents.clear()
        if not write.is_compaction:
            self.pending_outcomes = [*write.group.outcomes, *self.pending_outcomes]
            self.pending_outcomes_size += write.group.outcomes_size()
        for number in refused:
            # The intent may be on disk: the effect's outcome is recorded as moot (never started), so that a
            # later incarnation does not assume that the effect ran.
            del self.effects[number]
            self.unfinished.discard(number)
            self._enqueue_outcome(Outcome(number, OUTCOME_KINDS.index("moot"), b""))
        return refused

    def next_deadline(self) -> int | None:
        """Return the boot time in ns at which `next_write` may return a write without further input."""
        if self.outstanding_write is not None:
            return None
        if self.phase == "failing":
            return self.retry_at
        return min(
            (
                segment.expires_at
                for number, segment in self.segments.items()
                if number != self.current_segment
            ),
            default=None,
        )

    def has_unwritten(self) -> bool:
        """Return whether a write is outstanding or any record is pending."""
        return bool(self.outstanding_write is not None or self.pending_intents or self.pending_outcomes)

    # ---- recovery

    def recover_segment(self, number: int, size: int) -> None:
        """Register an existing segment, or update the size in bytes of a segment that has grown."""
        if number in self.segments:
            self.segments[number].size = size
        else:
            self.segments[number] = SegmentInfo(size)
        self.last_segment_number = max(self.last_segment_number, number)

    def recover_group(
        self,
        segment: int,
        stages: Mapping[int, int] | Sequence[int],
        same_boot: bool,
        group: RecordGroup,
    ) -> None:
        """Merge a group that was read back; segments must be read in the order of their numbers.

        Args:
            segment: Number of the segment that holds the group.
            stages: For each stage in the segment's header, the stage's current index.
            same_boot: Whether the segment's times refer to the current boot of the machine.
            group: The records.
        """
        self.recovery.merge_group(self.now, self.segments[segment], stages, same_boot, group)
        largest = max((intent.number for intent in group.intents), default=0)
        self.last_effect_number = max(self.last_effect_number, largest)

    def retain_segments(self, numbers: set[int]) -> None:
        """Stop tracking all segments but these.

        The other segments were removed; these segments hold the unexpired records of the removed ones.
        """
        self.segments = {number: info for number, info in self.segments.items() if number in numbers}

    def recovered_effects(self, stage_count: int = MAX_STAGES) -> list[RecoveredEffect]:
        """Return the unexpired effects of the server's stages after all segments have been read.

        To be called once. Effects of stages with an index of at least `stage_count`, which the server does
        not have, are added to `unmatched` instead.
        """
        matched = []
        for effect in self.recovery.take_effects(self.now):
            if effect.stage < stage_count:
                matched.append(effect)
            else:
                self.unmatched.add(effect)
        return matched

    def forget_expired(self) -> None:
        """Drop the durable effects whose key's idempotency window has ended."""
        expired = [number for number, effect in self.effects.items() if effect.intent.expires_at <= self.now]
        for number in expired:
            if self.effects[number].durable:
                del self.effects[number]
                self.unfinished.discard(number)
        if self.unmatched:
            self.unmatched.retain(self.effects)

    # ---- limits

    def disk_size(self) -> int:
        """Return the total size of all segments in bytes."""
        return sum(segment.size for segment in self.segments.values())

    def _reserved_size(self) -> int:
        """Return the bytes reserved for pending records and for the outcome of each unfinished effect."""
        return (
            len(self.pending_intents) * (INTENT_SIZE + OUTCOME_SIZE)
            + self.pending_outcomes_size
            + len(self.unfinished) * (OUTCOME_SIZE + FRAME_OVERHEAD)  # each outcome may need its own frame
            + 2 * FRAME_OVERHEAD
        )

    def _has_room(self, size: int) -> bool:
        limit = self.max_disk_bytes - HEADER_SIZE_ESTIMATE
        return self.disk_size() + self._reserved_size() + size <= limit

    def _is_nearly_full(self) -> bool:
        return self.disk_size() + self._reserved_size() >= self.max_disk_bytes * 3 // 4

    def _should_compact(self) -> bool:
        """Return whether the disk limit is near while most of the stored records are obsolete."""
        if self.phase == "failing" or not self._is_nearly_full():
            return False
        return len(self.effects) * (INTENT_SIZE + OUTCOME_SIZE) < self.max_disk_bytes // 4

    # ---- helpers

    def _retained_result(self, number: int) -> bytes | None:
        result = self.unmatched.result(number)
        return self.stored_result(number) if result is None else result

    def _enqueue_outcome(self, outcome: Outcome) -> None:
        self.pending_outcomes.append(outcome)
        self.pending_outcomes_size += OUTCOME_SIZE + len(outcome.result)

    def _take_pending(self) -> RecordGroup:
        group = RecordGroup(
            self.pending_intents[:MAX_GROUP_RECORDS], self.pending_outcomes[:MAX_GROUP_RECORDS]
        )
        del self.pending_intents[:MAX_GROUP_RECORDS]
        del self.pending_outcomes[:MAX_GROUP_RECORDS]
        self.pending_outcomes_size -= group.outcomes_size()
        return group

    def _take_outstanding(self) -> LedgerWrite:
        write = self.outstanding_write
        assert write is not None
        self.outstanding_write = None
        return write

    def _needs_new_segment(self) -> bool:
        current = None if self.current_segment is None else self.segments.get(self.current_segment)
        return current is None or current.size > self.max_disk_bytes // SEGMENTS_PER_DISK_LIMIT

    def _open_segment(self) -> None:
        self.last_segment_number += 1
        self.current_segment = self.last_segment_number
        self.segments[self.current_segment] = SegmentInfo(HEADER_SIZE_ESTIMATE)

    def _account(self, segment: SegmentInfo, group: RecordGroup) -> None:
        """Update the size and expiry of a segment for a group that is written to it."""
        segment.size += 2 * FRAME_OVERHEAD + group.size()  # intents and outcomes have separate frames
        for records in (group.intents, group.outcomes):
            for record in records:
                effect = self.effects.get(record.number)
                if effect is not None:
                    segment.expires_at = max(segment.expires_at, effect.intent.expires_at)

    def _is_unstarted(self, number: int) -> bool:
        effect = self.effects.get(number)
        return effect is not None and not effect.durable

    def _drop_expired(self) -> tuple[int, ...]:
        """Return the segments whose records have all expired; drop the expired effects."""
        expired = tuple(
            number
            for number, segment in self.segments.items()
            if segment.expires_at <= self.now and number != self.current_segment
        )
        if expired:
            self.forget_expired()
        return expired
