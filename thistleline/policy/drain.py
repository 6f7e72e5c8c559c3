"""The drain of a server that is about to be stopped."""

from thistleline.interface import ServerSettings
from thistleline.policy.tuning import DRAIN_GRACE_SHARE, LARGE_FLEET, MS, STOP_MARGIN, TIME_TO_STOP_SHARE


class Drain:
    """Until when tasks are taken, and until when they are answered.

    Clients learn late who drains and who is new, and few other servers can't take one's load at once. So a
    draining server goes on taking tasks for most of the grace. Prevents idle cores through the grace while
    the other servers and cold successors are jammed.

    Attributes:
        accept_until: Tasks that reach the machine later are not run, ns; None while not draining.
        stop_at: When the process is stopped, ns.
    """

    def __init__(self) -> None:
        """Create the state of a server that does not drain."""
        self.accept_until: int | None = None
        self.stop_at = 0

    @property
    def is_draining(self) -> bool:
        """Whether a drain was requested."""
        return self.accept_until is not None

    def begin(self, now: int, stop_at: int, settings: ServerSettings) -> int:
        """Begin the drain; return in how many nanoseconds health is to turn bad."""
        self.stop_at = stop_at
        grace = min(DRAIN_GRACE_SHARE * settings.drain_grace, TIME_TO_STOP_SHARE * (stop_at - now))
        self.accept_until = now + int(grace)
        return self.accept_until - now if settings.fleet_size < LARGE_FLEET else MS

    def is_near_stop(self, now: int) -> bool:
        """Return whether all that is left must be answered now."""
        return self.accept_until is not None and now >= self.stop_at - STOP_MARGIN

    def forbids_run(self, arrived_at: int, end: int) -> bool:
        """Return whether a task that arrived at one time and would end at another may not be started."""
        if self.accept_until is None:
            return False
        return arrived_at > self.accept_until or end > self.stop_at - STOP_MARGIN
