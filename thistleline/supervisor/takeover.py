"""Servers beside the current one: the successor that is to take over, the predecessor that did hand over."""

from thistleline.supervisor.timing import KILL_DELAY, TAKEOVER_TIMEOUT


class Takeover:
    """Follows the successor until it serves, and then the predecessor until its process ends.

    Attributes:
        successor_alive: Whether the process of the successor runs.
        predecessor: Incarnation that handed over and has not ended yet; 0 for none.
        predecessor_since: When it handed over, ns.
    """

    __slots__ = (
        "_predecessor_killed",
        "_successor_since",
        "predecessor",
        "predecessor_since",
        "successor_alive",
    )

    def __init__(self) -> None:
        """Begin with the current server alone."""
        self.successor_alive = False
        self.predecessor = 0
        self.predecessor_since = 0
        self._successor_since = 0  # of its start, or of the last attempt to end it, ns
        self._predecessor_killed = False

    def copy(self) -> "Takeover":
        """Return an independent copy."""
        made = Takeover()
        made.successor_alive = self.successor_alive
        made.predecessor = self.predecessor
        made.predecessor_since = self.predecessor_since
        made._successor_since = self._successor_since
        made._predecessor_killed = self._predecessor_killed
        return made

    def state_key(self) -> tuple[bool, int, int, int, bool]:
        """Return all that later decisions depend on."""
        return (
            self.successor_alive,
            self._successor_since,
            self.predecessor,
            self.predecessor_since,
            self._predecessor_killed,
        )

    # ---- the successor

    def begin(self, now: int, alive: bool = False) -> None:
        """Await that a successor serves, from `now` (ns) on; `alive` once its process runs."""
        self.successor_alive = alive
        self._successor_since = now

    def fail(self) -> None:
        """Note that the successor's process is gone."""
        self.successor_alive = False

    def complete(self, predecessor: int, now: int) -> None:
        """Note that the successor serves, and await the end of the one before it; 0 if that is gone."""
        self.successor_alive = False
        self.await_predecessor(predecessor, now)

    def successor_deadline(self) -> int:
        """Return when the successor is killed if it does not serve, ns."""
        return self._successor_since + TAKEOVER_TIMEOUT

    # ---- the predecessor

    def await_predecessor(self, incarnation: int, now: int) -> None:
        """Await the end of this incarnation, from `now` (ns) on; 0 for none."""
        self.predecessor = incarnation
        self.predecessor_since = now
        self._predecessor_killed = False

    def predecessor_ended(self) -> None:
        """Note that the predecessor's process is gone."""
        self.predecessor = 0

    def predecessor_deadline(self, stop_timeout: int) -> int | None:
        """Return when the predecessor is killed, ns; None if there is none or it was.

        Args:
            stop_timeout: Time that a server has to stop, ns.
        """
        if not self.predecessor or self._predecessor_killed:
            return None
        return self.predecessor_since + stop_timeout + KILL_DELAY

    def predecessor_killed(self) -> None:
        """Note that the predecessor was killed; its end is awaited further."""
        self._predecessor_killed = True
