"""One incoming connection that a keeper or relay has accepted."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from thistleline.config_feed.limits import SECOND
from thistleline.config_feed.send_queue import SendQueue
from thistleline.store.clock import boot_now

IDLE_TIMEOUT = 60 * SECOND  # ns without data from the peer, after which the connection is ended


class DownstreamConnection:
    """A connection of a follower, or of a client that sends a single request.

    Attributes:
        number: Identifies the connection in this process.
        id: Id of the peer, as given by its hello; empty before.
        follows: Whether the peer has asked to follow; otherwise it sends requests only.
        last_received_at: When data was last received, in ns of the boot clock.
        scope: Cancelled to end the connection.
        queue: Frames that wait to be sent.
        reason: Why the connection ends or has ended; empty before.
    """

    def __init__(self, number: int, stream: SocketStream) -> None:
        """Wrap the stream of a connection that was accepted."""
        self.number = number
        self.stream = stream
        self.scope = anyio.CancelScope()
        self.queue = SendQueue(self.end)
        self.id = ""
        self.follows = False
        self.last_received_at = boot_now()
        self.reason = ""

    def end(self, reason: str = "peer does not read") -> None:
        """End the connection without sending what is queued."""
        self.note(reason)
        self.scope.cancel()

    def end_after_sending(self, reason: str) -> None:
        """End the connection after sending what is queued."""
        self.note(reason)
        self.queue.end_after_sending()

    def check(self, now: int) -> None:
        """End the connection if the peer reads nothing or sends nothing; `now` in ns of the boot clock."""
        if self.queue.is_stalled(now):
            self.end()
        elif self.last_received_at < now - IDLE_TIMEOUT:
            self.end("idle")

    def note(self, reason: str) -> None:
        """Record why the connection ends, unless a reason is recorded already."""
        self.reason = self.reason or reason
