"""The idle timeout of client connections."""

from collections import deque

from thistleline.interface import DecisionSink
from thistleline.policy.tuning import CLIENT_SAMPLES, ONE_TIME_CLIENT_SHARE, SHORT_IDLE_TIMEOUT


class IdleTimeoutAdvisor:
    """Closes idle connections soon where clients seldom return.

    A connection whose client seldom returns costs room and work for nothing. Prevents a connection table that
    fills until clients get no connection; could harm where opening one costs very much. In a retry storm a
    full table is left alone: what it turns away costs nothing to read.
    """

    def __init__(self) -> None:
        """Create an advisor that has seen no client."""
        self._clients: deque[int] = deque(maxlen=CLIENT_SAMPLES)
        self._idle_timeout = 0  # ns; 0 for none

    def observe(self, client: int) -> None:
        """Note the client of a task."""
        self._clients.append(client)

    def update(self, is_retry_storm: bool, out: DecisionSink) -> None:
        """Set the idle timeout if it changes."""
        seldom_return = len(set(self._clients)) > ONE_TIME_CLIENT_SHARE * CLIENT_SAMPLES
        idle_timeout = SHORT_IDLE_TIMEOUT if seldom_return and not is_retry_storm else 0
        if idle_timeout != self._idle_timeout:
            self._idle_timeout = idle_timeout
            out.set_idle_timeout(idle_timeout)
