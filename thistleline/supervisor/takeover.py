"""Tracks the successor of the current server until it serves, and the predecessor until it has ended."""

from thistleline.supervisor.timing import KILL_DELAY, TAKEOVER_TIMEOUT


class Takeover:
    """Tracks the successor until it serves, and then the predecessor until its process ends.

    Attributes:
        successor_alive: Whether the process of the successor runs.
        predecessor: Incarnation that handed over and has not ended yet; 0 for none.
        predecessor_since: When the predecessor handed over, ns.
    """

    __slots__ = (
        "_predecessor_killed",
        "_successor_since",
        "predecessor",
        "predecessor_since",
        "successor_alive",
    )

    def __init__(self) -> None:
        """Create a tracker without a successor or predecessor."""
        self.successor_alive = False
        self.predecessor = 0
        self.predecessor_since = 0
        self._successor_since = 0  # when the successor was started, or killing it was last tried, ns
        self._predecessor_killed = False

    def copy(self) -> "Takeover":
        """Return an independent copy."""
        duplicate = Takeover()
        duplicate.successor_alive = self.successor_alive
        duplicate.predecessor = self.predecessor
        duplicate.predecessor_since = self.predecessor_since
        duplicate._successor_since = self._successor_since
        duplicate._predecessor_killed = self._predecessor_killed
        return duplicate

    def state_key(self) -> tuple[bool, int, int, int, bool]:
        """Return everything that later decisions depend on."""
        return (
            self.successor_alive,
            self._successor_since,
            self.predecessor,
            self.predecessor_since,
            self._predecessor_killed,
        )

    # ---- successor

    def begin(self, now: int, alive: bool = False) -> None:
        """Start waiting at `now` (ns) for a successor to serve; `alive` is whether its process runs."""
        self.successor_alive = alive
        self._successor_since = now

    def fail(self) -> None:
        """Record that the successor's process ended."""
        self.successor_alive = False

    def complete(self, predecessor: int, now: int) -> None:
        """Record that the successor serves, and start waiting for the predecessor to end.

        Args:
            predecessor: Incarnation that handed over; 0 if its process has already ended.
            now: Time of the takeover, ns.
        """
        self.successor_alive = False
        self.await_predecessor(predecessor, now)

    def successor_deadline(self) -> int:
        """Return the time at which a successor that does not serve is killed, ns."""
        return self._successor_since + TAKEOVER_TIMEOUT

    # ---- predecessor

    def await_predecessor(self, incarnation: int, now: int) -> None:
        """Start waiting at `now` (ns) for this incarnation to end; 0 for none."""
        self.predecessor = incarnation
        self.predecessor_since = now
        self._predecessor_killed = False

    def predecessor_ended(self) -> None:
        """Record that the predecessor's process ended."""
        self.predecessor = 0

    def predecessor_deadline(self, stop_timeout: int) -> int | None:
        """Return the time at which the predecessor is killed, ns; None if there is none or it was killed.

        Args:
            stop_timeout: Time that a server has to stop, ns.
        """
        if not self.predecessor or self._predecessor_killed:
            return None
        return self.predecessor_since + stop_timeout + KILL_DELAY

    def predecessor_killed(self) -> None:
        """Record that the predecessor was sent SIGKILL; its process has not ended yet."""
        self._predecessor_killed = True
