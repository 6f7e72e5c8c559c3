"""The listening socket for clients and the connections accepted from it.

A connection lingers after the server has finished it, until the client has read its answers and closes the
connection, or a timeout passes.
"""

import errno
import select
import socket
import sys
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import PEER_END_EVENTS, Stream
from thistleline.state.effects import (
    AnswerAbandoned,
    AnswerFinished,
    AnswerHealth,
    AnswerMisunderstood,
    AnswerRejected,
    CloseConnection,
    DismissConnection,
    ReadConnection,
    StopAccepting,
)
from thistleline.state.events import (
    ClientEvent,
    ConnectionEnded,
    ConnectionOpened,
    HealthCheckReceived,
    InputDrained,
    MalformedReceived,
    TaskReceived,
)
from thistleline.wire import responses
from thistleline.wire.requests import (
    BUFFER_SIZE,
    ClientCodec,
    HealthRequest,
    MalformedRequest,
    Request,
    TaskRequest,
)

MAX_UNWRITTEN = 256 * 1024  # bytes; the answers to a connection at its task limit take under 140 KiB
BACKLOG = 1024  # connections that the kernel queues until they are accepted
MAX_ACCEPTED_AT_ONCE = 64  # connections accepted before other tasks of the event loop run
ACCEPT_RETRY_DELAY = 0.05  # s, while file descriptors or memory are exhausted
LINGER_TIMEOUT = 1.0  # s, for a client to read its answers and close the connection
# Number of connections that may linger in addition to the limit on connections.
SPARE_LINGERING = 4
# Errors from `accept` that concern only the connection being accepted; the next call may succeed.
CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.ECONNRESET,
)
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def listen(address: Address) -> socket.socket:
    """Return a non-blocking listening socket.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def _to_event(connection: int, request: Request) -> ClientEvent:
    """Convert a request on a connection to an event of the state machine."""
    match request:
        case TaskRequest(seq, task, dedup_key, body):
            return TaskReceived(connection, seq, task, dedup_key, body)
        case HealthRequest(seq, deep):
            return HealthCheckReceived(connection, seq, deep)
        case MalformedRequest(seq, method, reason):
            return MalformedReceived(connection, seq, method, reason)


class ClientListener:
    """Accepts client connections, reads requests from them and writes the answers."""

    def __init__(
        self,
        listener: socket.socket,
        codec: ClientCodec,
        handle: Callable[[ClientEvent], None],
        group: TaskGroup,
        max_connections: int = sys.maxsize,
    ) -> None:
        """Start without connections.

        Args:
            listener: The listening socket.
            codec: Decodes requests.
            handle: Receives events.
            group: Runs the readers of the connections.
            max_connections: Limit on connections, including those that linger.
        """
        self.listener: socket.socket | None = listener
        self._codec = codec
        self._handle = handle
        self._group = group
        self._max_connections = max_connections
        self._streams: dict[int, Stream] = {}
        self._unflushed: dict[int, Stream] = {}  # streams written to since the last flush
        # Lingering connections, which have ended for the state machine, oldest first.
        self._lingering: OrderedDict[int, Stream] = OrderedDict()
        # Event set once no connection lingers; None unless `finish` waits for that.
        self._all_closed: anyio.Event | None = None
        self._accepted = 0  # number of connections accepted so far
        # Connections that are not read now, by file descriptor, and the poll for the end of their peers.
        self._unread: dict[int, int] = {}
        self._unread_poll = select.poll()

    # ---- connections

    async def accept(self) -> None:
        """Accept connections until `stop_accepting` or `abandon_listener` is called."""
        while (listener := self.listener) is not None:
            try:
                await anyio.wait_readable(listener)
                # The state machine decides by the messages read which connection to close for a new one, so
                # input that has already arrived on open connections is read first.
                await anyio.lowlevel.checkpoint()
                if self.listener is not None:
                    self._accept_some(listener)
            except anyio.ClosedResourceError:
                return
            except OSError:
                await anyio.sleep(ACCEPT_RETRY_DELAY)

    def _accept_some(self, listener: socket.socket) -> bool:
        """Accept a limited number of connections, so that a flood of them does not starve other tasks.

        Returns False if no more connections are waiting.

        Raises:
            OSError: Descriptors or memory are exhausted, or the listening socket has failed.
        """
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in CONNECTION_ERRORS or (
                    error.errno in RESOURCE_ERRORS and self._close_lingering()
                ):
                    continue
                raise
            try:
                stream = Stream(sock, self._group, BUFFER_SIZE, MAX_UNWRITTEN)
            except OSError:
                continue  # the peer has already disconnected
            self._add(stream)
        return True

    def _add(self, stream: Stream) -> None:
        self._accepted += 1
        number = self._accepted
        self._streams[number] = stream
        self._handle(ConnectionOpened(number))
        self._group.start_soon(self._serve, number, stream)
        self._limit_connections()

    async def _serve(self, number: int, stream: Stream) -> None:
        """Read one connection until it ends; an error ends only that connection."""
        reason = ""
        try:
            await self._read_messages(number, stream)
        except anyio.ClosedResourceError:
            pass
        except OSError as error:
            reason = error.strerror or "broken"
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
        finally:
            self._handle(ConnectionEnded(number, reason))
            self.close(number)
            try:
                await stream.linger(LINGER_TIMEOUT)
            finally:
                self._lingering.pop(number, None)
                if self._all_closed is not None and not self._lingering:
                    self._all_closed.set()

    async def _read_messages(self, number: int, stream: Stream) -> None:
        while await stream.read():
            # The end of a connection releases its tasks, so tasks that are read after it must not start.
            has_client_left = stream.has_peer_ended()
            for request in self._codec.decode_requests(stream.buffer):
                if has_client_left and isinstance(request, TaskRequest):
                    continue
                self._handle(_to_event(number, request))
                if stream.finishing or stream.closed:
                    return
            self._handle(InputDrained(number, len(stream.buffer) > 0))
            if stream.awaits_request and number in self._streams:
                self._watch_unread(number, stream)

    def _watch_unread(self, number: int, stream: Stream) -> None:
        self._unread[stream.fileno()] = number
        self._unread_poll.register(stream.fileno(), PEER_END_EVENTS)

    def _unwatch(self, stream: Stream) -> None:
        if self._unread.pop(stream.fileno(), None) is not None:
            self._unread_poll.unregister(stream.fileno())

    def departed(self) -> list[int]:
        """Return the connections whose client has left while the server does not read them.

        Reading finds the end of the other connections.
        """
        if not self._unread:
            return []
        return [self._unread[descriptor] for descriptor, _ in self._unread_poll.poll(0)]

    def _limit_connections(self) -> None:
        """Free file descriptors for served connections: above the limit, close the oldest lingering ones."""
        while len(self._streams) + len(self._lingering) > self._max_connections + SPARE_LINGERING:
            if not self._close_lingering():
                return

    def _close_lingering(self) -> bool:
        if not self._lingering:
            return False
        self._lingering.popitem(last=False)[1].close()
        return True

    def close(self, number: int) -> None:
        """Stop reading requests; the stream lingers so that the client still receives what was written."""
        stream = self._streams.pop(number, None)
        if stream is not None:
            self._unwatch(stream)
            self._lingering[number] = stream
            stream.finish()
            self._limit_connections()

    async def finish(self) -> None:
        """Close every connection and wait until all have closed or reached the linger timeout."""
        for number in list(self._streams):
            self.close(number)
        if self._lingering:
            self._all_closed = anyio.Event()
            await self._all_closed.wait()

    def flush(self) -> list[int]:
        """Write the queued answers; return the connections whose client is gone or not reading."""
        unflushed = self._unflushed
        self._unflushed = {}
        return [number for number, stream in unflushed.items() if not stream.flush()]

    # ---- effects

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each class of effect."""
        return {
            ReadConnection: self._read,
            AnswerFinished: self._answer_finished,
            AnswerRejected: self._answer_rejected,
            AnswerAbandoned: self._answer_abandoned,
            AnswerHealth: self._answer_health,
            AnswerMisunderstood: self._answer_misunderstood,
            DismissConnection: self._dismiss,
            CloseConnection: self._close,
            StopAccepting: self.stop_accepting,
        }

    def _read(self, effect: ReadConnection) -> None:
        stream = self._streams.get(effect.connection)
        if stream is not None:
            self._unwatch(stream)
            stream.request_read()

    def _write(self, number: int, data: bytes) -> None:
        stream = self._streams.get(number)
        if stream is not None:
            stream.write(data)
            self._unflushed[number] = stream

    def _answer_finished(self, effect: AnswerFinished) -> None:
        self._write(effect.connection, responses.encode_finished(effect.seq, effect.result, effect.load_hint))

    def _answer_rejected(self, effect: AnswerRejected) -> None:
        data = responses.encode_rejected(
            effect.seq, effect.fleet_overloaded, effect.retry_after, effect.load_hint
        )
        self._write(effect.connection, data)

    def _answer_abandoned(self, effect: AnswerAbandoned) -> None:
        self._write(effect.connection, responses.encode_abandoned(effect.seq, effect.load_hint))

    def _answer_health(self, effect: AnswerHealth) -> None:
        self._write(effect.connection, responses.encode_health(effect.seq, effect.healthy, effect.load_hint))

    def _answer_misunderstood(self, effect: AnswerMisunderstood) -> None:
        self._write(effect.connection, responses.encode_exception(effect.seq, effect.method, effect.reason))

    def _dismiss(self, effect: DismissConnection) -> None:
        self._write(effect.connection, responses.encode_farewell())

    def _close(self, effect: CloseConnection) -> None:
        self.close(effect.connection)

    def stop_accepting(self, effect: StopAccepting | None = None) -> None:
        """Accept the connections in the kernel's backlog, then close the listening socket.

        Accepting the backlog lets a client conclude from a refused connection that its task did not run.
        """
        listener = self.listener
        self.listener = None
        if listener is not None:
            with suppress(OSError):
                while self._accept_some(listener):
                    pass
            self._close_listener(listener)

    def abandon_listener(self) -> None:
        """Close the listening socket; another process shares it and accepts the waiting connections."""
        listener = self.listener
        self.listener = None
        if listener is not None:
            self._close_listener(listener)

    def _close_listener(self, listener: socket.socket) -> None:
        anyio.notify_closing(listener)
        listener.close()
