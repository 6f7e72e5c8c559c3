"""The listening socket and its connections to clients."""

import errno
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
from thistleline.server.streams import Stream
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

MAX_UNWRITTEN = 256 * 1024  # bytes; a full connection's answers take under 140 KiB
BACKLOG = 1024  # connections that the kernel holds ready
MAX_ACCEPTED_AT_ONCE = 64
ACCEPT_RETRY_DELAY = 0.05  # s, where no descriptor or memory is to be had
LINGER_TIMEOUT = 1.0  # s, for a peer to read what it was sent and to close
SPARE_LINGERING = 4  # connections that may linger where all others are open
# What the kernel says of one connection that came to nothing; the next may be well.
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
        OSError: The address can't be had.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def _to_event(connection: int, request: Request) -> ClientEvent:
    """Return the event that a request on a connection is to the state machine."""
    match request:
        case TaskRequest(seq, task, dedup_key, body):
            return TaskReceived(connection, seq, task, dedup_key, body)
        case HealthRequest(seq, deep):
            return HealthCheckReceived(connection, seq, deep)
        case MalformedRequest(seq, method, reason):
            return MalformedReceived(connection, seq, method, reason)


class ClientListener:
    """Accepts connections, reads messages from them and writes answers."""

    def __init__(
        self,
        listener: socket.socket,
        codec: ClientCodec,
        handle: Callable[[ClientEvent], None],
        group: TaskGroup,
        max_connections: int = sys.maxsize,
    ) -> None:
        """Begin without connections.

        Args:
            listener: The listening socket.
            codec: Reads messages.
            handle: Takes them as events.
            group: Where connections are read.
            max_connections: That may be open, those that linger among them.
        """
        self.listener: socket.socket | None = listener
        self._codec = codec
        self._handle = handle
        self._group = group
        self._max_connections = max_connections
        self._streams: dict[int, Stream] = {}
        self._written: dict[int, Stream] = {}  # since the last flush
        self._lingering: OrderedDict[int, Stream] = (
            OrderedDict()
        )  # closed for the state machine, oldest first
        self._quiet: anyio.Event | None = None  # set once none lingers, where somebody waits for that
        self._accepted = 0  # connections so far

    # ---- connections

    async def accept(self) -> None:
        """Accept connections until told to stop."""
        while (listener := self.listener) is not None:
            try:
                await anyio.wait_readable(listener)
                # Who is to give way for a newcomer is judged by what was read: what lies unread goes first.
                await anyio.lowlevel.checkpoint()
                if self.listener is not None:
                    self._accept_some(listener)
            except anyio.ClosedResourceError:
                return
            except OSError:
                await anyio.sleep(ACCEPT_RETRY_DELAY)

    def _accept_some(self, listener: socket.socket) -> bool:
        """Accept some connections; false where there are no more. A flood of them holds up no other task.

        Raises:
            OSError: There is no room, or nothing to listen on.
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
                continue  # gone already
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
        """Read one connection to its end; whatever happens here ends nothing else."""
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
                if self._quiet is not None and not self._lingering:
                    self._quiet.set()

    async def _read_messages(self, number: int, stream: Stream) -> None:
        while await stream.read():
            for request in self._codec.decode_requests(stream.buffer):
                self._handle(_to_event(number, request))
                if stream.finishing or stream.closed:
                    return
            self._handle(InputDrained(number, len(stream.buffer) > 0))

    def _limit_connections(self) -> None:
        """Save descriptors: the longest lingering give way to whoever is served."""
        while len(self._streams) + len(self._lingering) > self._max_connections + SPARE_LINGERING:
            if not self._close_lingering():
                return

    def _close_lingering(self) -> bool:
        if not self._lingering:
            return False
        self._lingering.popitem(last=False)[1].close()
        return True

    def close(self, number: int) -> None:
        """Read nothing as a message any more; what was written reaches its peer while the stream lingers."""
        stream = self._streams.pop(number, None)
        if stream is not None:
            self._lingering[number] = stream
            stream.finish()
            self._limit_connections()

    async def finish(self) -> None:
        """End every connection, and wait until the peers have what was written or may not linger longer."""
        for number in list(self._streams):
            self.close(number)
        if self._lingering:
            self._quiet = anyio.Event()
            await self._quiet.wait()

    def flush(self) -> list[int]:
        """Write all that lies ready; return the connections that are gone or don't read."""
        written = self._written
        self._written = {}
        return [number for number, stream in written.items() if not stream.flush()]

    # ---- effects

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return what carries out each class of effect."""
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
            stream.request_read()

    def _write(self, number: int, data: bytes) -> None:
        stream = self._streams.get(number)
        if stream is not None:
            stream.write(data)
            self._written[number] = stream

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
        """Take what the machine has accepted, then no more: a refused connection proves that nothing ran."""
        listener = self.listener
        self.listener = None
        if listener is not None:
            with suppress(OSError):
                while self._accept_some(listener):
                    pass
            self._close_listener(listener)

    def abandon_listener(self) -> None:
        """Close the listening socket; what waits at it is another process's, which has the socket too."""
        listener = self.listener
        self.listener = None
        if listener is not None:
            self._close_listener(listener)

    def _close_listener(self, listener: socket.socket) -> None:
        anyio.notify_closing(listener)
        listener.close()
