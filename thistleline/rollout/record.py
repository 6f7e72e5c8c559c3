"""A change on its way through the fleet, as the replicated log has it: what a successor goes on from."""

from typing import Literal

import msgspec

from thistleline.supervisor.model import Version

Phase = Literal["going", "paused", "asking", "backing", "done", "back"]
MAX_HISTORY = 64  # entries; the oldest go
RECORD_KEY = "roll"  # in the replicated log
LEASE_NAME = "conductor"  # of the controller that leads


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """A step of a change.

    Attributes:
        at: Wall clock, ms.
        step: What was done.
        reason: Why.
    """

    at: int
    step: str
    reason: str


class RolloutRecord(msgspec.Struct, frozen=True):
    """A change: all that a controller's decisions rest on beside what members show.

    Attributes:
        number: Number of the change.
        version: The version to go to.
        base: The version to go back to; it runs where the change has not been.
        stages: Names of the stages, in order.
        max_down: Servers that may be down at once, of the fleet.
        max_down_per_zone: And of each zone.
        phase: How it stands.
        stage_index: Place of the current stage in `stages`.
        controls: Old servers that are restarted in this stage, to see how those do cold.
        targets: Servers that run the new version by this stage; empty while they are still to be chosen.
        crashes: Of servers that had any, as the stage began.
        reason: Why it stands as it does.
        last_order: Number of the last order that was followed.
        history: Its last steps, the oldest first.
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
        """Whether the change is done or rolled back."""
        return self.phase in ("done", "back")

    @property
    def stage(self) -> str:
        """Name of the current stage."""
        return self.stages[self.stage_index]
