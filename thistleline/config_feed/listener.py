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
from thistleline.config_feed.send_queue import READ_THRESHOLD, REQUESTS_READ_THRESHOLD, FrameEncoder
from thistleline.store.clock import boot_now
from thistleline.transport.codec import FrameDecoder, Hello, ProtocolError, encode_frame, negotiate_version
from thistleline.transport.disconnects import report_disconnects
from thistleline.transport.handshake import receive_hello
from thistleline.transport.listening import READ_SIZE
from thistleline.transport.receive_budget import ReceiveBudget

HELLO_TIMEOUT = 2.0  # s in which a new connection has to complete the exchange of hellos
MAX_NON_FOLLOWERS = 64  # connections that do not follow, such as single requests, beyond those of followers
RESERVED_FILES = 64  # file descriptors that the process needs besides those of connections
ACCEPT_BACKOFF = 0.1  # s before the next attempt after a connection could not be accepted
UNKNOWN_PEER = "who comes"  # name in the log for a peer that has not sent its hello yet


class FeedListener:
    """Holds the incoming connections, at most `max_connections`.

    Messages are put into the inbox as `SubscriberMessage`: at most one of each connection in a batch, and
    none while too much is queued to be sent on that connection. This prevents a peer that sends requests
    endlessly, or does not read the answers, from delaying the others.

    Attributes:
        connections: Connections by number.
        max_connections: Limit of connections; at the limit, each new one replaces the oldest that does not
            follow.
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
        self.max_connections = max(1, min(max_followers + MAX_NON_FOLLOWERS, files - RESERVED_FILES))
        self.connections: dict[int, DownstreamConnection] = {}
        self._name = name
        self._inbox = inbox
        self._peer_log = peer_log
        self._encoder = FrameEncoder()
        # Connections that have not asked to follow, the oldest first.
        self._non_followers: OrderedDict[int, DownstreamConnection] = OrderedDict()
        self._accepted = 0
        self._receive_budget = ReceiveBudget()

    # ---- for the service

    def check(self, now: int) -> None:
        """End connections whose peer reads nothing or sends nothing; `now` in ns of the boot clock."""
        for connection in self.connections.values():
            connection.check(now)

    def begin_following(self, connection: DownstreamConnection) -> None:
        """Mark a connection as a follower's: it is no longer closed to make room for a new one."""
        connection.follows = True
        self._non_followers.pop(connection.number, None)

    def send(self, number: int, message: SourceMessage) -> None:
        """Send a message on a connection, if it is still open."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.queue.put(self._encoder.frame(message))

    def close(self, number: int, reason: str) -> None:
        """End a connection after sending what is queued on it."""
        connection = self.connections.get(number)
        if connection is not None:
            self._peer_log.report("refused", connection.id, reason)
            connection.end_after_sending(reason)

    # ---- incoming connections

    async def accept(self, listener: Listener[SocketStream], tasks: TaskGroup) -> None:
        """Serve incoming connections until this is cancelled.

        Continues after a connection could not be accepted, for example for lack of file descriptors.
        """
        while True:
            try:
                await listener.serve(self._serve, tasks)
            except OSError as error:
                self._peer_log.report("refused", UNKNOWN_PEER, error.strerror or str(error))
            await anyio.sleep(ACCEPT_BACKOFF)

    async def _serve(self, stream: SocketStream) -> None:
        if len(self.connections) >= self.max_connections:
            self._peer_log.report("refused", UNKNOWN_PEER, "connection limit reached")
            if not self._non_followers:
                await anyio.aclose_forcefully(stream)
                return
            # Prevents peers that connect and then do nothing from blocking others: a peer that follows or
            # sends a request does so soon after it has connected.
            _, oldest = self._non_followers.popitem(last=False)
            oldest.end("replaced by a new connection")
        self._accepted += 1
        connection = DownstreamConnection(self._accepted, stream)
        self.connections[connection.number] = connection
        self._non_followers[connection.number] = connection
        try:
            await self._run(connection)
        finally:
            del self.connections[connection.number]
            self._non_followers.pop(connection.number, None)
            if connection.follows:
                self._inbox.put(SubscriberLeft(connection.number))

    async def _run(self, connection: DownstreamConnection) -> None:
        stream = connection.stream
        with connection.scope, report_disconnects(connection.note):
            async with stream:
                with anyio.fail_after(HELLO_TIMEOUT):
                    await self._exchange_hellos(connection)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(connection.queue.send_all, stream)
                    await self._receive(connection)

    async def _exchange_hellos(self, connection: DownstreamConnection) -> None:
        """Exchange hellos as the server.

        Raises:
            ProtocolError: The peer does not speak this protocol.
        """
        peer_hello = await receive_hello(connection.stream)
        own = Hello("follower", self._name)
        negotiate_version(own, peer_hello)
        if peer_hello.kind != "follower":
            raise ProtocolError(f"a {peer_hello.kind} cannot connect to a feed server")
        connection.id = peer_hello.id[:PEER_ID_LENGTH_LIMIT]
        await connection.stream.send(encode_frame(msgspec.msgpack.encode(own)))

    async def _receive(self, connection: DownstreamConnection) -> None:
        account = self._receive_budget.open_account(
            lambda: connection.end("incomplete messages exceed the limit")
        )
        decoder = FrameDecoder(MESSAGE_SIZE_LIMIT, account)
        try:
            while True:
                data = await connection.stream.receive(READ_SIZE)
                connection.last_received_at = boot_now()
                for payload in decoder.feed(data):
                    message = SubscriberMessage(connection.number, decode_follower(payload))
                    await self._inbox.put_and_wait([message])
                    threshold = READ_THRESHOLD if connection.follows else REQUESTS_READ_THRESHOLD
                    await connection.queue.wait_until_readable(threshold)
        finally:
            account.release()
