"""One TCP stream: read into its buffer when asked, written without waiting, bounded both ways."""

import errno
import os
import socket

import anyio
from anyio.abc import TaskGroup

from thistleline.wire.buffer import Buffer

Address = tuple[str, int]

MAX_DISCARDED = 256 * 1024  # bytes thrown away of a peer that goes on sending; past that it is reset
DISCARD_CHUNK = 16 * 1024  # bytes thrown away at once


class Stream:
    """A connected socket with a bounded buffer for each direction."""

    def __init__(self, sock: socket.socket, group: TaskGroup, max_unread: int, max_unwritten: int) -> None:
        """Take over a connected socket.

        Args:
            sock: The socket.
            group: Where what can't be written at once is written later.
            max_unread: Size of the buffer that is read into, in bytes.
            max_unwritten: Bytes that may wait to be written; past it the peer counts as gone.

        Raises:
            OSError: The socket is gone already; it is closed then.
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
        self._read_request: anyio.Event | None = None  # set where the reader waits to be asked

    # ---- reading

    def request_read(self) -> None:
        """Let `read` read once."""
        self._read_wanted = True
        if self._read_request is not None:
            self._read_request.set()

    async def read(self) -> int:
        """Wait until a read is requested and something came; return its size, 0 at the end of the stream.

        Raises:
            OSError: The connection broke.
            anyio.ClosedResourceError: It was closed or finished here.
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

    def _check_readable(self) -> None:
        if self.closed or self.finishing:
            raise anyio.ClosedResourceError

    # ---- writing

    def write(self, data: bytes) -> None:
        """Take the bytes for the next `flush`."""
        self._unwritten += data

    def flush(self) -> bool:
        """Write what the peer takes now, the rest as it reads on; false if it is gone or does not read."""
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
        """Write what the peer takes now."""
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
        except Exception:  # whatever a stream brings ends that stream alone
            if not self.finishing:
                self._unwritten.clear()  # the reader learns of it and ends
        finally:
            self._draining = False

    # ---- the end

    def finish(self) -> None:
        """Read nothing as a message any more; who reads is told, and lets the stream `linger`."""
        if self.closed or self.finishing:
            return
        self.flush()
        self.finishing = True
        if self._read_request is not None:
            self._read_request.set()
        anyio.notify_closing(self._sock)

    async def linger(self, timeout: float) -> None:
        """Write the rest, end this side, discard what comes until the peer's end, then close (RFC 9112, 9.6).

        A close over unread bytes resets the connection, which takes answers with it that the peer has not
        read.

        Args:
            timeout: Seconds after which it is closed in any case.
        """
        try:
            with anyio.move_on_after(timeout):
                while self._unwritten:
                    await anyio.wait_writable(self._sock)
                    self._send()
                self._sock.shutdown(socket.SHUT_WR)
                await self._discard()
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BusyResourceError):
            pass  # the peer is gone, or it was closed meanwhile
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
        """Close the socket; who reads is told."""
        if not self.closed:
            self.closed = True
            if self._read_request is not None:
                self._read_request.set()
            anyio.notify_closing(self._sock)
            self._sock.close()


async def connect(address: Address) -> socket.socket:
    """Return a non-blocking socket that is connected to the address.

    Raises:
        OSError: It can't be reached.
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
    """The timeout of the next attempt to connect.

    Each attempt that ran out of time doubles it, up to a limit: a peer that always takes longer than the
    first timeout is reached all the same.
    """

    def __init__(self, first: float, most: float) -> None:
        """Begin with the timeout `first`; it grows to `most`, both in seconds."""
        self._first = first
        self._most = most
        self._timeout = first

    async def connect(self, address: Address) -> socket.socket:
        """Return a socket that is connected to the address.

        Raises:
            OSError: It can't be reached.
            TimeoutError: It did not answer in time.
        """
        try:
            with anyio.fail_after(self._timeout):
                sock = await connect(address)
        except TimeoutError:
            self._timeout = min(self._most, 2 * self._timeout)
            raise
        self._timeout = self._first
        return sock
