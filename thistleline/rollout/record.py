"""The rollout record in the replicated log, from which a succeeding controller continues."""

from typing import Literal

import msgspec

from thistleline.supervisor.model import Version

Phase = Literal["going", "paused", "asking", "backing", "done", "back"]
MAX_HISTORY = 64  # entries in the history of a rollout; older ones are dropped
RECORD_KEY = "roll"  # key in the replicated log
LEASE_NAME = "conductor"  # lease of the active controller


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """A step of a rollout.

    Attributes:
        at: Wall clock time, ms.
        step: Name of the step.
        reason: Reason for the step.
    """

    at: int
    step: str
    reason: str


class RolloutRecord(msgspec.Struct, frozen=True):
    """A rollout: the state that a controller's decisions depend on, besides the facts that members publish.

    Attributes:
        number: Number of the rollout.
        version: The version to roll out.
        base: The version to roll back to; servers that were not changed yet run it.
        stages: Names of the stages, in order.
        max_down: Servers that may be down at once in the fleet.
        max_down_per_zone: Servers that may be down at once in a zone.
        phase: Current phase.
        stage_index: Index of the current stage in `stages`.
        controls: Servers on the old version that are restarted in this stage, so that servers which have just
            started on the new version are compared with servers which have also just started.
        targets: Servers that run the new version in this stage; empty until they are chosen.
        crashes: Server ids with crash counts at the start of the stage; servers without crashes are left out.
        reason: Reason for the current phase.
        last_order: Number of the operator's last order that was executed.
        history: The latest steps, the oldest first.
    """

    number: int
    version: Version
    base: Version
    stages: tuple[str, ...]
    max_down: int = msgspec.field(name="down")
    max_down_per_zone: int = msgspec.field(name="down_zone")
    phase: Phase = "going"
    stage_index: int = msgspec.field(name="stage", default=0)
    controls: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    crashes: tuple[tuple[str, int], ...] = ()
    reason: str = msgspec.field(name="why", default="")
    last_order: int = msgspec.field(name="order", default=0)
    history: tuple[HistoryEntry, ...] = msgspec.field(name="past", default=())

    @property
    def is_over(self) -> bool:
        """Whether the rollout is complete or was rolled back."""
        return self.phase in ("done", "back")

    @property
    def stage(self) -> str:
        """Name of the rollout's current stage."""
        return self.stages[self.stage_index]
