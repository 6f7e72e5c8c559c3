"""The listener of a keeper or relay: accepts connections and reads their messages."""

from __future__ import annotations

import resource
from collections import OrderedDict

import anyio
import msgspec
from anyio.abc import Listener, SocketStream, TaskGroup

from thistleline.config_feed.downstream import DownstreamConnection
from thistleline.config_feed.events import SubscriberLeft, SubscriberMessage
from thistleline.config_feed.inbox import EventSink
from thistleline.config_feed.limits import MESSAGE_SIZE_LIMIT, PEER_ID_LENGTH_LIMIT
from thistleline.config_feed.messages import SourceMessage, decode_follower
from thistleline.config_feed.peer_log import PeerLog
from thistleline.config_feed.send_queue import CHUNK_SIZE, FrameEncoder
from thistleline.store.clock import boot_now
from thistleline.transport.codec import FrameDecoder, Hello, ProtocolError, encode_frame, negotiate_version
from thistleline.transport.disconnects import report_disconnects
from thistleline.transport.handshake import receive_hello

HELLO_TIMEOUT = 2.0  # s
MAX_GUESTS = 64  # connections beside the followers
RESERVED_FILES = 64  # file descriptors for everything else
ACCEPT_BACKOFF = 0.1  # s after a connection could not be accepted
UNKNOWN_PEER = "who comes"  # in the log


class FeedListener:
    """Holds the connections that came in, at most `max_connections`.

    Messages go to the inbox as `SubscriberMessage`, one of each connection in a batch, and none while too
    much waits to be sent there: prevents that one which asks without end, or reads no answers, holds up the
    others.

    Attributes:
        connections: By number.
        max_connections: Beyond it a guest has to go for each new one.
    """

    def __init__(
        self,
        name: str,
        max_followers: int,
        inbox: EventSink[SubscriberMessage | SubscriberLeft],
        peer_log: PeerLog,
    ) -> None:
        """Begin without connections."""
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.max_connections = max(1, min(max_followers + MAX_GUESTS, files - RESERVED_FILES))
        self.connections: dict[int, DownstreamConnection] = {}
        self._name = name
        self._inbox = inbox
        self._peer_log = peer_log
        self._encoder = FrameEncoder()
        # Connections that do not follow, the oldest first.
        self._guests: OrderedDict[int, DownstreamConnection] = OrderedDict()
        self._accepted = 0

    # ---- for the service

    def check(self, now: int) -> None:
        """End connections that take nothing or send nothing; `now` in ns of the boot clock."""
        for connection in self.connections.values():
            connection.check(now)

    def begin_following(self, connection: DownstreamConnection) -> None:
        """Count a connection as a follower's from now on, no more as a guest's."""
        connection.follows = True
        self._guests.pop(connection.number, None)

    def send(self, number: int, message: SourceMessage) -> None:
        """Send a message on a connection, if it is still there."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.queue.put(self._encoder.frame(message))

    def close(self, number: int, reason: str) -> None:
        """End a connection once all that was sent on it is out."""
        connection = self.connections.get(number)
        if connection is not None:
            self._peer_log.report("refused", connection.id, reason)
            connection.end_after_sending(reason)

    # ---- connections that come in

    async def accept(self, listener: Listener[SocketStream], tasks: TaskGroup) -> None:
        """Serve all who connect, until this is cancelled.

        Goes on where a connection can not be accepted, as where no file descriptor is left.
        """
        while True:
            try:
                await listener.serve(self._serve, tasks)
            except OSError as error:
                self._peer_log.report("refused", UNKNOWN_PEER, error.strerror or str(error))
            await anyio.sleep(ACCEPT_BACKOFF)

    async def _serve(self, stream: SocketStream) -> None:
        if len(self.connections) >= self.max_connections:
            self._peer_log.report("refused", UNKNOWN_PEER, "all connections are taken")
            if not self._guests:
                await anyio.aclose_forcefully(stream)
                return
            # Prevents that those who only connect keep others out: who follows or asks is soon done with it.
            _, oldest = self._guests.popitem(last=False)
            oldest.end("another came")
        self._accepted += 1
        connection = DownstreamConnection(self._accepted, stream)
        self.connections[connection.number] = connection
        self._guests[connection.number] = connection
        try:
            await self._run(connection)
        finally:
            del self.connections[connection.number]
            self._guests.pop(connection.number, None)
            if connection.follows:
                self._inbox.put(SubscriberLeft(connection.number))

    async def _run(self, connection: DownstreamConnection) -> None:
        stream = connection.stream
        with connection.scope, report_disconnects(connection.note):
            async with stream:
                with anyio.fail_after(HELLO_TIMEOUT):
                    await self._shake_hands(connection)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(connection.queue.send_all, stream)
                    await self._receive(connection)

    async def _shake_hands(self, connection: DownstreamConnection) -> None:
        """Exchange hellos as the side that was connected to.

        Raises:
            ProtocolError: The other side does not speak this protocol.
        """
        there = await receive_hello(connection.stream)
        own = Hello("follower", self._name)
        negotiate_version(own, there)
        if there.kind != "follower":
            raise ProtocolError(f"a {there.kind} has no business here")
        connection.id = there.id[:PEER_ID_LENGTH_LIMIT]
        await connection.stream.send(encode_frame(msgspec.msgpack.encode(own)))

    async def _receive(self, connection: DownstreamConnection) -> None:
        decoder = FrameDecoder(MESSAGE_SIZE_LIMIT)
        while True:
            data = await connection.stream.receive(CHUNK_SIZE)
            connection.last_received_at = boot_now()
            for payload in decoder.feed(data):
                message = SubscriberMessage(connection.number, decode_follower(payload))
                await self._inbox.put_and_wait([message])
                await connection.queue.wait_until_readable()
