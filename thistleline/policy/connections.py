"""The idle timeout of client connections."""

from collections import deque

from thistleline.interface import DecisionSink
from thistleline.policy.tuning import CLIENT_SAMPLES, ONE_TIME_CLIENT_SHARE, SHORT_IDLE_TIMEOUT


class IdleTimeoutAdvisor:
    """Sets a short idle timeout while most clients send only one task.

    A connection whose client sends no further task takes up a place in the connection table and work without
    benefit. Prevents the table from filling until clients get no connection; could harm where opening a
    connection is very expensive. There is no timeout in a retry storm: where a full table rejects a
    connection, no requests have to be read from it.
    """

    def __init__(self) -> None:
        """Create an advisor without samples."""
        self._clients: deque[int] = deque(maxlen=CLIENT_SAMPLES)
        self._idle_timeout = 0  # ns; 0 for none

    def observe(self, client: int) -> None:
        """Record the client of a task."""
        self._clients.append(client)

    def update(self, is_retry_storm: bool, out: DecisionSink) -> None:
        """Pass the idle timeout to the host if it has changed."""
        seldom_return = len(set(self._clients)) > ONE_TIME_CLIENT_SHARE * CLIENT_SAMPLES
        idle_timeout = SHORT_IDLE_TIMEOUT if seldom_return and not is_retry_storm else 0
        if idle_timeout != self._idle_timeout:
            self._idle_timeout = idle_timeout
            out.set_idle_timeout(idle_timeout)
