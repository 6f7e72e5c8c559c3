"""Durations and limits of a rollout."""

from dataclasses import dataclass

SECOND = 1_000_000_000  # ns


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Durations of a rollout and the error rate of its verdicts.

    Attributes:
        slot: Duration of a measuring interval of the canary analysis, ns.
        change_timeout: Time for a server to start a version, ns; after it, the version counts as failed.
        min_slots: Measuring intervals required for the verdict 'not worse'.
        max_slots: Measuring intervals without a verdict after which an operator is asked.
        alpha: Maximum probability that a harmless rollout is judged worse.
    """

    slot: int = 5 * SECOND
    change_timeout: int = 120 * SECOND
    min_slots: int = 36
    max_slots: int = 240
    alpha: float = 0.02
