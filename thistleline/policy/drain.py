"""The drain of a server that is about to be stopped."""

from thistleline.interface import ServerSettings
from thistleline.policy.tuning import DRAIN_GRACE_SHARE, LARGE_FLEET, MS, STOP_MARGIN, TIME_TO_STOP_SHARE


class Drain:
    """The time until which a draining server accepts tasks and the time at which it is stopped.

    Clients learn late which servers drain and which are new, and in a small fleet the other servers cannot
    take over a server's load at once. A draining server therefore accepts tasks for most of the grace period.
    Prevents idle cores during the grace period while the other servers and cold successors are overloaded.

    Attributes:
        accept_until: Tasks that reach the machine later are not run, ns; None while not draining.
        stop_at: When the process is stopped, ns.
    """

    def __init__(self) -> None:
        """Create the state for a server that is not draining."""
        self.accept_until: int | None = None
        self.stop_at = 0

    @property
    def is_draining(self) -> bool:
        """Whether a drain was requested."""
        return self.accept_until is not None

    def begin(self, now: int, stop_at: int, settings: ServerSettings) -> int:
        """Begin the drain; return the nanoseconds after which health checks must report unhealthy."""
        self.stop_at = stop_at
        grace = min(DRAIN_GRACE_SHARE * settings.drain_grace, TIME_TO_STOP_SHARE * (stop_at - now))
        self.accept_until = now + int(grace)
        return self.accept_until - now if settings.fleet_size < LARGE_FLEET else MS

    def is_near_stop(self, now: int) -> bool:
        """Return whether the process stops so soon that all open tasks must be answered now."""
        return self.accept_until is not None and now >= self.stop_at - STOP_MARGIN

    def forbids_run(self, arrived_at: int, end: int) -> bool:
        """Return whether a task with this arrival time and estimated end, ns, may not be started."""
        if self.accept_until is None:
            return False
        return arrived_at > self.accept_until or end > self.stop_at - STOP_MARGIN
