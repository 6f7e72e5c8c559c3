"""Rewrites the retained records of a ledger as one group, so that the old segments can be removed."""

from collections.abc import Callable

from thistleline.ledger.format import DOUBT_DEADLINE, OUTCOME_KINDS, Outcome, RecordGroup
from thistleline.ledger.records import EffectRecord


def doubt_record(number: int, deadline: int) -> Outcome:
    """Return the record that an effect's outcome is awaited until `deadline`, a boot time in ns."""
    return Outcome(number, OUTCOME_KINDS.index("doubtful"), DOUBT_DEADLINE.pack(deadline))


def compacted_group(
    effects: dict[int, EffectRecord], max_result_bytes: int, stored_result: Callable[[int], bytes | None]
) -> RecordGroup:
    """Return the records of all durable effects, with as many of the newest results as fit.

    Sets `result_size` of each ended effect to the size of the result in the effect's rewritten record.

    Args:
        effects: Effects by number, oldest first.
        max_result_bytes: Limit on the total size of the results in the group, in bytes.
        stored_result: Returns the result of the run with this effect number, or None if the result is no
            longer in memory.
    """
    remaining = max_result_bytes
    intents = []
    outcomes = []
    for number, effect in reversed(effects.items()):
        if not effect.durable:
            continue
        intents.append(effect.intent)
        if effect.outcome is not None:
            result = (stored_result(number) or b"") if effect.result_size <= remaining else b""
            remaining -= len(result)
            effect.result_size = len(result)
            outcomes.append(Outcome(number, OUTCOME_KINDS.index(effect.outcome), result))
        elif effect.doubt_deadline is not None:
            outcomes.append(doubt_record(number, effect.doubt_deadline))
    intents.reverse()
    outcomes.reverse()
    return RecordGroup(intents, outcomes)
