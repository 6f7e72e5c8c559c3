"""Guardrail metrics of the canary analysis, sampled for each server per slot (measuring interval)."""

from typing import NamedTuple

RELATIVE_FLOOR = 1e-9  # lower bound on the base of a relative metric; prevents a division by zero


class SlotSample(NamedTuple):
    """The metrics of one server in one slot (measuring interval).

    Attributes:
        id: Id of the server.
        zone: Zone of the server.
        new: Whether it runs the new version.
        cold: Whether it started recently.
        tasks: Number of tasks that arrived.
        served: Utility of the tasks finished in time, as a share of the utility of those that arrived, 0 to
            1; by number of tasks instead of utility if not all servers report utility.
        rejected: Rejected tasks as a share of those that arrived.
        abandoned: Abandoned tasks as a share of those that arrived.
        slow: Share of the finished tasks that took longer than they should, in the worst class of requests.
        memory: Memory use as a share of MEMORY_SCALE.
        crashes: Unrequested exits of the process since the rollout's current stage began.
        broken: Number of broken rules that the server itself detected.
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
        margin: Largest difference for the worse that has no practical significance.
        sign: 1 if a greater value is worse, -1 if a smaller one is.
        relative: Whether the difference is divided by the value for the servers on the old version.
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
