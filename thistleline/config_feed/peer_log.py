"""Log lines about what peers do, limited in number."""

from __future__ import annotations

from collections.abc import Callable

from thistleline.config_feed.limits import SECOND
from thistleline.store.clock import boot_now

MAX_LINES_PER_SECOND = 32
MAX_REMEMBERED_PEERS = 1024


class PeerLog:
    """Logs what happened to a peer once, until something else happens to the same one.

    At most so many lines go out in a second: prevents a log that is as long as strangers like, each under a
    name of its own.

    Attributes:
        last_reasons: By peer, what was logged last.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        """Write to this log."""
        self.last_reasons: dict[str, str] = {}
        self._log = log
        self._lines = 0  # in this second
        self._second_ends_at = 0  # ns

    def report(self, event: str, peer: str, reason: str) -> None:
        """Log an event of a peer, unless it was logged last or too much was."""
        now = boot_now()
        if now >= self._second_ends_at:
            self._lines = 0
            self._second_ends_at = now + SECOND
        if self.last_reasons.get(peer) == reason or self._lines == MAX_LINES_PER_SECOND:
            return
        if len(self.last_reasons) > MAX_REMEMBERED_PEERS:
            self.last_reasons.clear()
        self.last_reasons[peer] = reason
        self._lines += 1
        self._log(event, of=peer, why=reason)
