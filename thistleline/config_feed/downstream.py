"""One connection that came in to a server of the feed."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from thistleline.config_feed.limits import SECOND
from thistleline.config_feed.send_queue import SendQueue
from thistleline.store.clock import boot_now

IDLE_TIMEOUT = 60 * SECOND  # ns; a connection that sends nothing for so long ends


class DownstreamConnection:
    """A connection of a follower, or of one who only asks something.

    Attributes:
        number: Identifies the connection in this process.
        id: What the other side calls itself; empty before its hello.
        follows: Whether it has asked to follow; else it asks something and goes.
        last_received_at: When it was read last, in ns of the boot clock.
        scope: Cancelled to end the connection.
        queue: What waits to be sent.
        reason: Why the connection ends, once it does.
    """

    def __init__(self, number: int, stream: SocketStream) -> None:
        """Take a connection that was accepted."""
        self.number = number
        self.stream = stream
        self.scope = anyio.CancelScope()
        self.queue = SendQueue(self.end)
        self.id = ""
        self.follows = False
        self.last_received_at = boot_now()
        self.reason = ""

    def end(self, reason: str = "it takes nothing") -> None:
        """End the connection now."""
        self.note(reason)
        self.scope.cancel()

    def end_after_sending(self, reason: str) -> None:
        """End the connection once all that is queued is sent."""
        self.note(reason)
        self.queue.end_after_sending()

    def check(self, now: int) -> None:
        """End the connection if the peer takes nothing or sends nothing; `now` in ns of the boot clock."""
        if self.queue.is_stalled(now):
            self.end()
        elif self.last_received_at < now - IDLE_TIMEOUT:
            self.end("it says nothing")

    def note(self, reason: str) -> None:
        """Remember why the connection ends; the first reason counts."""
        self.reason = self.reason or reason
