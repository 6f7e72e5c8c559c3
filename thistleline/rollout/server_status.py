"""Status of a server, from the facts that its member publishes."""

from typing import NamedTuple

from thistleline.supervisor.model import Version

# Indexes into the list of metrics (`figures`) that a supervisor publishes for its server.
COUNTERS = 5  # the first 5 count tasks since the server started: all, finished, rejected, abandoned and slow
MEMORY = 5  # index of the peak memory use, kB
CRASHES = 6  # index of the number of crashes of any version, since the supervisor started
INCARNATION = 7  # index of the server's incarnation
FIGURES = 8  # number of metrics in the list


class ServerStatus(NamedTuple):
    """Status of one server.

    Attributes:
        id: Member id of the server.
        zone: Zone of the server.
        alive: Whether the member is alive.
        release: The running release; empty for none.
        settings: Number of the running settings.
        accepting: Whether it accepts tasks.
        warm: Whether it has run long enough to be compared with servers that were not restarted recently.
        figures: Published metrics: tasks in total, finished, rejected, abandoned and slow; memory in kB;
            crashes; incarnation.
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
        """Whether the server is alive and accepts tasks."""
        return self.alive and self.accepting

    @property
    def crashes(self) -> int:
        """Number of crashes that the server's supervisor has counted; 0 if not reported."""
        return self.figures[CRASHES] if len(self.figures) > CRASHES else 0

    def runs(self, version: Version) -> bool:
        """Return whether the server is up and runs this version."""
        return self.up and (self.release, self.settings) == (version.release, version.settings)
