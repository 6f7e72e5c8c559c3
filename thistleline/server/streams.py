"""One TCP stream: read into its buffer when asked, written without waiting, bounded both ways."""

import errno
import os
import socket

import anyio
from anyio.abc import TaskGroup

from thistleline.wire.buffer import Buffer

Address = tuple[str, int]

DISCARD_BOUND = 256 * 1024  # bytes thrown away of a peer that goes on sending; past that it is reset
PIECE = 16 * 1024


class Stream:
    def __init__(self, sock: socket.socket, group: TaskGroup, read_bound: int, write_bound: int) -> None:
        """Raises OSError where the socket is gone already; it is closed then."""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            raise
        self.sock, self.group, self.write_bound = sock, group, write_bound
        self.buffer = Buffer(read_bound)
        self.out = bytearray()
        self.draining = self.finishing = self.closed = False
        self.asked = False
        self.asking: anyio.Event | None = None

    def ask(self) -> None:
        """Somebody wants what comes next."""
        self.asked = True
        if self.asking is not None:
            self.asking.set()

    async def read(self) -> int:
        """Waits until reading is asked for and something came; 0 at the end of the stream. Raises OSError, or
        ClosedResourceError once it is closed or finished here."""
        while not (self.asked or self.closed or self.finishing):
            self.asking = anyio.Event()
            await self.asking.wait()
            self.asking = None
        self.asked = False
        while True:
            if self.closed or self.finishing:
                raise anyio.ClosedResourceError
            await anyio.wait_readable(self.sock)
            if self.closed or self.finishing:
                raise anyio.ClosedResourceError
            try:
                count = self.sock.recv_into(self.buffer.room())
            except (BlockingIOError, InterruptedError):
                continue
            self.buffer.filled(count)
            return count

    def write(self, data: bytes) -> None:
        """Takes the bytes for the next `flush`."""
        self.out += data

    def flush(self) -> bool:
        """Writes what the peer takes now, the rest as it reads on; false if it is gone or won't read."""
        if self.closed or not self.out or self.draining:
            return len(self.out) <= self.write_bound
        try:
            sent = self.sock.send(self.out)
            del self.out[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            return False
        if self.out and not self.finishing:
            self.draining = True
            self.group.start_soon(self._drain)
        return len(self.out) <= self.write_bound

    async def _drain(self) -> None:
        try:
            while self.out and not (self.closed or self.finishing):
                await anyio.wait_writable(self.sock)
                if self.closed or self.finishing:
                    return
                try:
                    sent = self.sock.send(self.out)
                    del self.out[:sent]
                except (BlockingIOError, InterruptedError):
                    continue
        except Exception:  # whatever a stream brings ends that stream alone
            if not self.finishing:
                self.out.clear()  # the reader learns of it and ends
        finally:
            self.draining = False

    def finish(self) -> None:
        """From now on nothing is read as a message; whoever reads learns of it, and lets the end `linger`."""
        if self.closed or self.finishing:
            return
        self.flush()
        self.finishing = True
        if self.asking is not None:
            self.asking.set()
        anyio.notify_closing(self.sock)

    async def linger(self, span: float) -> None:
        """Writes what is still to be written, ends its side, and throws away what comes until the peer's end,
        then closes (RFC 9112, 9.6): a close over unread bytes resets the connection, which takes answers with
        it that the peer has not read. No longer than `span` seconds."""
        try:
            with anyio.move_on_after(span):
                while self.out:
                    await anyio.wait_writable(self.sock)
                    try:
                        del self.out[: self.sock.send(self.out)]
                    except (BlockingIOError, InterruptedError):
                        continue
                self.sock.shutdown(socket.SHUT_WR)
                thrown, piece = 0, bytearray(PIECE)
                while thrown < DISCARD_BOUND:
                    await anyio.wait_readable(self.sock)
                    try:
                        count = self.sock.recv_into(piece)
                    except (BlockingIOError, InterruptedError):
                        continue
                    if not count:
                        break
                    thrown += count
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BusyResourceError):
            pass  # the peer is gone, or it was closed meanwhile
        finally:
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.asking is not None:
                self.asking.set()  # guards against a reader that nobody asks any more
            anyio.notify_closing(self.sock)
            self.sock.close()


async def connect(address: Address) -> socket.socket:
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


class Dials:
    """How long the next dial may take. Guards against a peer whose connections always take longer than the
    patience with one: each that ran out of time is given twice as long, up to a bound."""

    def __init__(self, first: float, most: float) -> None:
        self.first, self.most = first, most
        self.patience = first

    async def dial(self, address: Address) -> socket.socket:
        """Raises OSError, TimeoutError."""
        try:
            with anyio.fail_after(self.patience):
                sock = await connect(address)
        except TimeoutError:
            self.patience = min(self.most, 2 * self.patience)
            raise
        self.patience = self.first
        return sock
