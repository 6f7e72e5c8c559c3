"""Status of a server, from the facts that its member publishes."""

from typing import NamedTuple

from thistleline.supervisor.model import Version

# Indexes into the figures that a supervisor publishes for its server.
COUNTERS = 5  # the first 5: tasks, finished, rejected, abandoned, slow, since the incarnation started
MEMORY = 5  # peak, kB
CRASHES = 6  # of all versions, since the supervisor started
INCARNATION = 7
FIGURES = 8  # number of figures


class ServerStatus(NamedTuple):
    """Status of one server.

    Attributes:
        id: Name of the server's member.
        zone: Zone of the server.
        alive: Whether the member is alive.
        release: The running release; empty for none.
        settings: Number of the running settings.
        accepting: Whether it accepts tasks.
        warm: Whether it has run long enough to be compared with warm ones.
        figures: Tasks, finished, rejected, abandoned, slow, memory in kB, crashes, incarnation.
        value: Utility of the tasks that arrived, and of those finished in time; zeros if not reported.
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
        """Whether it is alive and accepts tasks."""
        return self.alive and self.accepting

    @property
    def crashes(self) -> int:
        """Crashes that its supervisor has counted; 0 if not reported."""
        return self.figures[CRASHES] if len(self.figures) > CRASHES else 0

    def runs(self, version: Version) -> bool:
        """Return whether it is up with this version."""
        return self.up and (self.release, self.settings) == (version.release, version.settings)
