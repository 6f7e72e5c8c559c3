"""Rebuilds the ledger's table of effects from the groups of records that were read back from segments."""

from collections.abc import Iterable, Mapping, Sequence

from thistleline.ledger.format import DOUBT_DEADLINE, OUTCOME_KINDS, Intent, Outcome, RecordGroup
from thistleline.ledger.records import EffectRecord, RecoveredEffect, SegmentInfo


class EffectRecovery:
    """Merges record groups of earlier incarnations into the effects table; limits the memory for results."""

    def __init__(self, effects: dict[int, EffectRecord], max_result_bytes: int) -> None:
        """Merge into `effects`, by effect number, and retain at most `max_result_bytes` of results."""
        self.effects = effects
        self.max_result_bytes = max_result_bytes
        self.results: dict[int, bytes] = {}
        self.result_bytes = 0

    def merge_group(
        self,
        now: int,
        segment: SegmentInfo,
        stages: Mapping[int, int] | Sequence[int],
        same_boot: bool,
        group: RecordGroup,
    ) -> None:
        """Merge one group; groups must be passed in the order in which they were written.

        Args:
            now: Boot time in ns.
            segment: The segment that holds the group; its `expires_at` is raised.
            stages: For each stage in the segment's header, the stage's current index; also of a stage that
                the server does not have, whose effects are retained like all others.
            same_boot: Whether the segment's times refer to the current boot of the machine.
            group: The records.
        """
        self._merge_intents(now, segment, stages, same_boot, group.intents)
        self._merge_outcomes(segment, same_boot, group.outcomes)

    def _merge_intents(
        self,
        now: int,
        segment: SegmentInfo,
        stages: Mapping[int, int] | Sequence[int],
        same_boot: bool,
        intents: list[Intent],
    ) -> None:
        effects = self.effects
        latest = segment.expires_at
        for intent in intents:
            number, recorded_stage, _, expires_at, lifetime, _ = intent
            if not same_boot or expires_at > now + lifetime:
                # The duration of a reboot is unknown: the key's full window starts again at the recovery.
                expires_at = now + lifetime
            if expires_at <= now:
                continue
            if expires_at > latest:
                latest = expires_at
            if number in effects:
                continue  # a copy that a compaction wrote; the outcome may have been merged already
            stage = stages[recorded_stage]
            if stage != recorded_stage or expires_at != intent.expires_at:
                intent = intent._replace(stage=stage, expires_at=expires_at)
            effect = effects[number] = EffectRecord(intent)
            effect.durable = True
        segment.expires_at = latest

    def _merge_outcomes(self, segment: SegmentInfo, same_boot: bool, outcomes: list[Outcome]) -> None:
        for number, kind, result in outcomes:
            effect = self.effects.get(number)
            if effect is None:
                continue
            outcome = OUTCOME_KINDS[kind]
            if outcome == "moot":
                del self.effects[number]
                continue
            segment.expires_at = max(segment.expires_at, effect.intent.expires_at)
            if outcome == "doubtful":
                if same_boot and effect.outcome is None and len(result) == DOUBT_DEADLINE.size:
                    (effect.doubt_deadline,) = DOUBT_DEADLINE.unpack(result)
                continue
            effect.outcome = outcome
            effect.result_size = len(result)
            if len(result):
                self._retain_result(number, bytes(result))

    def _retain_result(self, number: int, result: bytes) -> None:
        """Retain a result; drop the oldest results while the memory limit is exceeded."""
        self.result_bytes += len(result) - len(self.results.pop(number, b""))
        self.results[number] = result
        while self.result_bytes > self.max_result_bytes:
            self.result_bytes -= len(self.results.pop(next(iter(self.results))))

    def take_effects(self, now: int) -> Iterable[RecoveredEffect]:
        """Yield all unexpired effects and release the retained results; to be called once."""
        results = self.results
        self.results = {}
        self.result_bytes = 0
        for number, effect in self.effects.items():
            intent = effect.intent
            yield RecoveredEffect(
                number,
                intent.stage,
                intent.digest,
                intent.attempt_id.rstrip(b"\0"),
                intent.expires_at - now,
                effect.outcome,
                results.pop(number, None),
                effect.doubt_deadline,
            )
