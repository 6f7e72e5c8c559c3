"""A rate-limited log of events that concern peers, such as refused connections."""

from __future__ import annotations

from collections.abc import Callable

from thistleline.config_feed.limits import SECOND
from thistleline.store.clock import boot_now

MAX_LINES_PER_SECOND = 32
MAX_REMEMBERED_PEERS = 1024


class PeerLog:
    """Logs an event that concerns a peer, unless the last line about this peer had the same reason.

    At most `MAX_LINES_PER_SECOND` lines are written: prevents unknown peers, each with a name of its own,
    from flooding the log.

    Attributes:
        last_reasons: The reason that was last logged for each peer.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        """Begin with no peers; `log` is called with an event's name and its fields."""
        self.last_reasons: dict[str, str] = {}
        self._log = log
        self._lines = 0  # lines written in the current second
        self._second_ends_at = 0  # ns of the boot clock

    def report(self, event: str, peer: str, reason: str) -> None:
        """Log an event that concerns a peer, unless its last reason is repeated or the limit is reached."""
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
