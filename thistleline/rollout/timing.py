"""How long the parts of a change may take."""

from dataclasses import dataclass

SECOND = 1_000_000_000  # ns


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Durations of a change and the error rate of its verdicts.

    Attributes:
        slot: Duration of what is compared, ns.
        change_timeout: For a server to come up with a version, ns; past it the version counts as failed.
        min_slots: Slots before 'not worse' may be said.
        max_slots: Slots before a person is asked.
        alpha: How often a harmless change may be called worse, at most.
    """

    slot: int = 5 * SECOND
    change_timeout: int = 120 * SECOND
    min_slots: int = 36
    max_slots: int = 240
    alpha: float = 0.02
