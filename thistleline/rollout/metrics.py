"""Guardrail metrics: what servers did in a slot of time, and how much worse one value is than another."""

from typing import NamedTuple

RELATIVE_FLOOR = 1e-9  # least base of a relative metric


class SlotSample(NamedTuple):
    """What one server did in one slot.

    Attributes:
        id: The server.
        zone: Its zone.
        new: Whether it runs the new version.
        cold: Whether it started a short while ago.
        tasks: Tasks that came.
        served: Part of the utility of what came that was finished in time, 0 to 1.
        rejected: Part of what came.
        abandoned: Part of what came.
        slow: Part of what finished that took longer than it should, of the worst stage.
        memory: Part of the scale's whole.
        crashes: Since the stage began, not asked for.
        broken: Rules broken, as the server itself noticed them.
    """

    id: str
    zone: str
    new: bool
    cold: bool
    tasks: int
    served: float
    rejected: float
    abandoned: float
    slow: float
    memory: float
    crashes: int
    broken: int


class Metric(NamedTuple):
    """A guardrail metric.

    Attributes:
        name: Field of `SlotSample`.
        margin: A worsening of so much is of no practical matter.
        sign: 1 where more is worse, -1 where less is.
        relative: Whether the worsening is relative to what the old servers have.
    """

    name: str
    margin: float
    sign: int
    relative: bool = False

    def worsening(self, value: float, base: float) -> float:
        """Return how much worse `value` is than `base`; negative where it is better."""
        worse = self.sign * (value - base)
        return worse / max(RELATIVE_FLOOR, base) if self.relative else worse


GUARDRAIL_METRICS = (
    Metric("served", 0.01, -1),
    Metric("rejected", 0.02, 1),
    Metric("abandoned", 0.01, 1),
    Metric("slow", 0.03, 1),
    Metric("memory", 0.05, 1, relative=True),
)
