"""The phases of the server process from start to exit."""

from typing import Literal

Phase = Literal["starting", "awaiting agent", "serving", "leaving", "closing", "ended"]
NEXT_PHASES: dict[Phase, tuple[Phase, ...]] = {
    "starting": ("awaiting agent", "leaving", "ended"),  # not listening yet
    "awaiting agent": ("serving", "leaving", "ended"),  # listening; no tasks before the agent is up
    "serving": ("leaving", "ended"),
    "leaving": ("closing", "ended"),  # asked to drain; serves until the policy reports bad health
    "closing": ("ended",),  # accepts no connections; tasks already read are answered
    "ended": (),
}


class Lifecycle:
    """The phase that the process is in."""

    __slots__ = ("phase",)

    def __init__(self) -> None:
        """Start in the phase "starting"."""
        self.phase: Phase = "starting"

    def advance(self, phase: Phase) -> None:
        """Enter a phase.

        Raises:
            ValueError: The phase can't follow the current one.
        """
        if phase not in NEXT_PHASES[self.phase]:
            raise ValueError(f"phase {phase!r} can't follow {self.phase!r}")
        self.phase = phase

    @property
    def is_draining(self) -> bool:
        """Whether the process was asked to drain."""
        return self.phase in ("leaving", "closing", "ended")

    @property
    def is_closing(self) -> bool:
        """Whether the server has stopped accepting connections."""
        return self.phase in ("closing", "ended")
