"""The phases of the server process from start to exit."""

from typing import Literal

Phase = Literal["starting", "awaiting agent", "serving", "leaving", "closing", "ended"]
FOLLOWING: dict[Phase, tuple[Phase, ...]] = {
    "starting": ("awaiting agent", "leaving", "ended"),  # nothing listens yet
    "awaiting agent": ("serving", "leaving", "ended"),  # listens; no task comes before the agent is up
    "serving": ("leaving", "ended"),
    "leaving": ("closing", "ended"),  # asked to drain: serves on while the policy has it so
    "closing": ("ended",),  # no new connection, what was read gets its answer
    "ended": (),
}


class Lifecycle:
    """The phase that the process is in."""

    __slots__ = ("phase",)

    def __init__(self) -> None:
        """Begin with the phase "starting"."""
        self.phase: Phase = "starting"

    def advance(self, phase: Phase) -> None:
        """Enter a phase.

        Raises:
            ValueError: The phase can't follow the present one.
        """
        if phase not in FOLLOWING[self.phase]:
            raise ValueError(f"phase {phase!r} can't follow {self.phase!r}")
        self.phase = phase

    @property
    def is_draining(self) -> bool:
        """Whether the process was asked to drain."""
        return self.phase in ("leaving", "closing", "ended")

    @property
    def is_closing(self) -> bool:
        """Whether no new connection is accepted any more."""
        return self.phase in ("closing", "ended")
