"""Guardrail metrics: samples of servers per time slot, and how much worse one value is than another."""

from typing import NamedTuple

RELATIVE_FLOOR = 1e-9  # lower bound on the base of a relative metric; prevents a division by zero


class SlotSample(NamedTuple):
    """Sample of one server in one slot.

    Attributes:
        id: Id of the server.
        zone: Zone of the server.
        new: Whether it runs the new version.
        cold: Whether it started recently.
        tasks: Number of tasks that arrived.
        served: Share of the utility that arrived that was finished in time, 0 to 1.
        rejected: Share of the tasks that arrived.
        abandoned: Share of the tasks that arrived.
        slow: Share of the finished tasks that took longer than they should, of the worst stage.
        memory: Memory use as a share of MEMORY_SCALE.
        crashes: Unrequested exits since the stage began.
        broken: Broken rules that the server itself detected.
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
        margin: Largest worsening without practical significance.
        sign: 1 if a greater value is worse, -1 if a smaller one is.
        relative: Whether the worsening is relative to the value of the old servers.
    """

    name: str
    margin: float
    sign: int
    relative: bool = False

    def worsening(self, value: float, base: float) -> float:
        """Return how much worse `value` is than `base`; negative if it is better."""
        worse = self.sign * (value - base)
        return worse / max(RELATIVE_FLOOR, base) if self.relative else worse


GUARDRAIL_METRICS = (
    Metric("served", 0.01, -1),
    Metric("rejected", 0.02, 1),
    Metric("abandoned", 0.01, 1),
    Metric("slow", 0.03, 1),
    Metric("memory", 0.05, 1, relative=True),
)
