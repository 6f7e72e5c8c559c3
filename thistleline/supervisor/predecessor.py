"""A server that has handed over to the next incarnation and is expected to end by itself."""

from thistleline.supervisor.crash_history import MILLISECOND

KILL_DELAY = 500 * MILLISECOND  # ns beyond a server's time to stop, before it is killed


class Predecessor:
    """The server that served before the current one, as long as its process lives.

    Attributes:
        incarnation: Which one; 0 where there is none.
        since: When it handed over, ns.
        killed: Whether it was killed, as it did not end in time.
    """

    __slots__ = ("incarnation", "killed", "since")

    def __init__(self) -> None:
        """Begin with none."""
        self.incarnation = 0
        self.since = 0
        self.killed = False

    def copy(self) -> "Predecessor":
        """Return an independent copy."""
        made = Predecessor()
        made.incarnation = self.incarnation
        made.since = self.since
        made.killed = self.killed
        return made

    def begin(self, incarnation: int, now: int) -> None:
        """Await the end of this incarnation, which handed over at `now` (ns); 0 for none."""
        self.incarnation = incarnation
        self.since = now
        self.killed = False

    def end(self) -> None:
        """Note that its process is gone."""
        self.incarnation = 0

    @property
    def alive(self) -> bool:
        """Whether its process still lives."""
        return self.incarnation != 0

    @property
    def awaited(self) -> bool:
        """Whether it is alive and was not killed yet."""
        return self.alive and not self.killed

    def deadline(self, stop_timeout: int) -> int:
        """Return when it is killed if it still lives, ns; `stop_timeout` in ns."""
        return self.since + stop_timeout + KILL_DELAY
