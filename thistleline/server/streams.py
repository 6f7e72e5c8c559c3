"""TCP streams with bounded buffers: reads on request, writes that never block, connecting with backoff."""

import errno
import os
import select
import socket

import anyio
from anyio.abc import TaskGroup

from thistleline.wire.buffer import Buffer

Address = tuple[str, int]

# Bytes discarded from a peer that keeps sending to a closing stream; beyond that the connection is reset.
MAX_DISCARDED = 256 * 1024
DISCARD_CHUNK = 16 * 1024  # bytes discarded per read
PEER_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Stream:
    """A connected socket with a bounded buffer for each direction."""

    def __init__(self, sock: socket.socket, group: TaskGroup, max_unread: int, max_unwritten: int) -> None:
        """Wrap a connected socket, which the stream now owns.

        Args:
            sock: The socket.
            group: Runs the task that writes what the socket did not accept at once.
            max_unread: Size of the receive buffer, in bytes.
            max_unwritten: Limit on bytes that wait to be written; beyond it `flush` reports the peer as gone.

        Raises:
            OSError: The connection has already ended; the socket is closed.
        """
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            raise
        self.buffer = Buffer(max_unread)
        self.finishing = False
        self.closed = False
        self._sock = sock
        self._group = group
        self._max_unwritten = max_unwritten
        self._unwritten = bytearray()
        self._draining = False
        self._read_wanted = False
        self._read_request: anyio.Event | None = None  # not None while `read` waits for a request

    # ---- reading

    def request_read(self) -> None:
        """Allow `read` to read from the socket once."""
        self._read_wanted = True
        if self._read_request is not None:
            self._read_request.set()

    async def read(self) -> int:
        """Wait for a read request and for data; return the number of bytes read, 0 at the end of the stream.

        Raises:
            OSError: The connection failed.
            anyio.ClosedResourceError: The stream was closed or finished on this side.
        """
        while not (self._read_wanted or self.closed or self.finishing):
            self._read_request = anyio.Event()
            await self._read_request.wait()
            self._read_request = None
        self._read_wanted = False
        while True:
            self._check_readable()
            await anyio.wait_readable(self._sock)
            self._check_readable()
            try:
                count = self._sock.recv_into(self.buffer.room())
            except (BlockingIOError, InterruptedError):
                continue
            self.buffer.filled(count)
            return count

    @property
    def awaits_request(self) -> bool:
        """Whether nothing is read until the next read request."""
        return not self._read_wanted

    def fileno(self) -> int:
        """Return the socket's file descriptor; -1 once the stream is closed."""
        return self._sock.fileno()

    def has_peer_ended(self) -> bool:
        """Return whether the peer has ended or reset the connection, even if input is still unread."""
        poll = select.poll()
        poll.register(self._sock, PEER_END_EVENTS)
        return bool(poll.poll(0))

    def _check_readable(self) -> None:
        if self.closed or self.finishing:
            raise anyio.ClosedResourceError

    # ---- writing

    def write(self, data: bytes) -> None:
        """Queue bytes for the next `flush`."""
        self._unwritten += data

    def flush(self) -> bool:
        """Write what the socket accepts now and the rest later; False if the peer is gone or not reading."""
        if self.closed or not self._unwritten or self._draining:
            return len(self._unwritten) <= self._max_unwritten
        try:
            self._send()
        except OSError:
            return False
        if self._unwritten and not self.finishing:
            self._draining = True
            self._group.start_soon(self._drain)
        return len(self._unwritten) <= self._max_unwritten

    def _send(self) -> None:
        """Write as much as the socket accepts now."""
        try:
            sent = self._sock.send(self._unwritten)
            del self._unwritten[:sent]
        except (BlockingIOError, InterruptedError):
            pass

    async def _drain(self) -> None:
        try:
            while self._unwritten and not (self.closed or self.finishing):
                await anyio.wait_writable(self._sock)
                if self.closed or self.finishing:
                    return
                self._send()
        except Exception:  # an error on a stream ends only that stream
            if not self.finishing:
                self._unwritten.clear()  # the pending read fails as well and ends the stream
        finally:
            self._draining = False

    # ---- closing

    def finish(self) -> None:
        """Stop reading messages; a pending `read` raises, and its caller then calls `linger`."""
        if self.closed or self.finishing:
            return
        self.flush()
        self.finishing = True
        if self._read_request is not None:
            self._read_request.set()
        anyio.notify_closing(self._sock)

    async def linger(self, timeout: float) -> None:
        """Write what is queued, shut down sending, discard input until the peer closes, then close.

        This follows RFC 9112, section 9.6.

        Closing a socket with unread bytes resets the connection, and the peer loses answers that it has not
        yet read.

        Args:
            timeout: Seconds after which the socket is closed in any case.
        """
        try:
            with anyio.move_on_after(timeout):
                while self._unwritten:
                    await anyio.wait_writable(self._sock)
                    self._send()
                self._sock.shutdown(socket.SHUT_WR)
                await self._discard()
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BusyResourceError):
            pass  # the peer is gone, or the stream was closed meanwhile
        finally:
            self.close()

    async def _discard(self) -> None:
        discarded = 0
        chunk = bytearray(DISCARD_CHUNK)
        while discarded < MAX_DISCARDED:
            await anyio.wait_readable(self._sock)
            try:
                count = self._sock.recv_into(chunk)
            except (BlockingIOError, InterruptedError):
                continue
            if not count:
                return
            discarded += count

    def close(self) -> None:
        """Close the socket; a pending `read` raises."""
        if not self.closed:
            self.closed = True
            if self._read_request is not None:
                self._read_request.set()
            anyio.notify_closing(self._sock)
            self._sock.close()


async def connect(address: Address) -> socket.socket:
    """Return a non-blocking socket that is connected to the address.

    Raises:
        OSError: The connection attempt failed.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        state = sock.connect_ex(address)
        if state == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            state = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if state:
            raise OSError(state, os.strerror(state))
    except BaseException:
        sock.close()
        raise
    return sock


class ReconnectBackoff:
    """Connects with a timeout that grows while attempts time out.

    Each attempt that times out doubles the timeout for the next one, up to a limit, so that a peer that
    always takes longer than the first timeout is still reached. A successful attempt resets the timeout.
    """

    def __init__(self, initial: float, maximum: float) -> None:
        """Start with the timeout `initial`, which grows up to `maximum`, both in seconds."""
        self._initial = initial
        self._maximum = maximum
        self._timeout = initial

    async def connect(self, address: Address) -> socket.socket:
        """Return a socket that is connected to the address.

        Raises:
            OSError: The connection attempt failed.
            TimeoutError: The attempt timed out.
        """
        try:
            with anyio.fail_after(self._timeout):
                sock = await connect(address)
        except TimeoutError:
            self._timeout = min(self._maximum, 2 * self._timeout)
            raise
        self._timeout = self._initial
        return sock
