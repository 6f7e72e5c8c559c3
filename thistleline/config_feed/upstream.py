"""The connection of a follower to its source, the keeper or relay that sends it the table."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream, TaskGroup

from thistleline.config_feed.events import UpstreamConnected, UpstreamLost, UpstreamMessage
from thistleline.config_feed.inbox import EventSink
from thistleline.config_feed.limits import MESSAGE_SIZE_LIMIT
from thistleline.config_feed.messages import FollowerMessage, decode_source
from thistleline.config_feed.request import CONNECT_TIMEOUT, exchange_hellos
from thistleline.config_feed.send_queue import CHUNK_SIZE, SendQueue, check_regularly, to_frame
from thistleline.transport.address import Address
from thistleline.transport.codec import FrameDecoder, Hello
from thistleline.transport.disconnects import report_disconnects

UpstreamEvent = UpstreamConnected | UpstreamLost | UpstreamMessage


class UpstreamConnection:
    """Connects, sends and disconnects as the follower requests. There is one connection at a time.

    Its events go to the inbox, except for those of a connection that the follower has abandoned.
    """

    def __init__(
        self, id: str, sources: dict[str, Address], tasks: TaskGroup, inbox: EventSink[UpstreamEvent]
    ) -> None:
        """Begin without a connection.

        Args:
            id: The id of the follower.
            sources: Addresses of the sources, by name.
            tasks: Runs the connection.
            inbox: Receives the events.
        """
        self._id = id
        self._sources = sources
        self._tasks = tasks
        self._inbox = inbox
        self._session: _Session | None = None

    def connect(self, source: str) -> None:
        """Connect to a source, ending any other connection."""
        self.disconnect(self._session.source if self._session is not None else "")
        self._session = _Session(source)
        self._tasks.start_soon(self._run, self._session)

    def send(self, source: str, message: FollowerMessage) -> None:
        """Send a message if this source is connected."""
        if self._session is not None and self._session.source == source:
            self._session.queue.put(to_frame(message))

    def disconnect(self, source: str) -> None:
        """End the connection if it is to this source."""
        if self._session is not None and self._session.source == source:
            self._session.abandoned = True
            self._session.scope.cancel()
            self._session = None

    def _emit(self, session: _Session, event: UpstreamEvent) -> None:
        if not session.abandoned:
            self._inbox.put(event)

    async def _run(self, session: _Session) -> None:
        source = session.source
        with session.scope, report_disconnects(session.note):
            with anyio.fail_after(CONNECT_TIMEOUT):
                stream = await anyio.connect_tcp(*self._sources[source])
            async with stream:
                with anyio.fail_after(CONNECT_TIMEOUT):
                    await exchange_hellos(stream, Hello("follower", self._id))
                self._emit(session, UpstreamConnected(source))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(session.queue.send_all, stream)
                    tasks.start_soon(check_regularly, session.check)
                    await self._receive(stream, session)
        if self._session is session:
            self._session = None
        self._emit(session, UpstreamLost(source, session.reason or "peer does not read"))

    async def _receive(self, stream: SocketStream, session: _Session) -> None:
        decoder = FrameDecoder(MESSAGE_SIZE_LIMIT)
        while True:
            payloads = decoder.feed(await stream.receive(CHUNK_SIZE))
            messages = [decode_source(payload) for payload in payloads]
            if messages and not session.abandoned:
                await self._inbox.put_and_wait(
                    UpstreamMessage(session.source, message) for message in messages
                )


class _Session:
    """One connection to a source, from the request to connect until it has ended."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.scope = anyio.CancelScope()
        self.queue = SendQueue(self.scope.cancel)
        self.abandoned = False  # the follower has disconnected: no more events go to the inbox
        self.reason = ""  # the first reason noted for the end of the connection

    def note(self, reason: str) -> None:
        self.reason = self.reason or reason

    def check(self, now: int) -> None:
        if self.queue.is_stalled(now):
            self.scope.cancel()
