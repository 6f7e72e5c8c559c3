"""A server as the members of the fleet know it."""

from typing import NamedTuple

from thistleline.supervisor.model import Version

# Places in the figures that a supervisor publishes of its server.
COUNTERS = 5  # tasks, finished, rejected, abandoned, slow: since the incarnation started
MEMORY = 5  # kB, the most
CRASHES = 6  # of all versions, since the supervisor started
INCARNATION = 7
FIGURES = 8


class ServerStatus(NamedTuple):
    """What is known of one server.

    Attributes:
        id: Name of its member.
        zone: Zone that it belongs to.
        alive: Whether its member lives.
        release: Release that runs; empty for none.
        settings: Number of the settings that run.
        accepting: Whether it accepts tasks.
        warm: Whether it has run long enough to be compared with warm ones.
        figures: Tasks, finished, rejected, abandoned, slow, memory in kB, crashes, incarnation.
        value: Utility of the tasks that came, and of those finished in time; zeros where it does not say.
    """

    id: str
    zone: str
    alive: bool
    release: str
    settings: int
    accepting: bool
    warm: bool
    figures: tuple[int, ...]
    value: tuple[int, int] = (0, 0)

    @property
    def up(self) -> bool:
        """Whether it lives and accepts tasks."""
        return self.alive and self.accepting

    @property
    def crashes(self) -> int:
        """Crashes that its supervisor has counted; 0 where it does not say."""
        return self.figures[CRASHES] if len(self.figures) > CRASHES else 0

    def runs(self, version: Version) -> bool:
        """Tell whether it is up with this version."""
        return self.up and (self.release, self.settings) == (version.release, version.settings)
