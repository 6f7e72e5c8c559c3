"""One TCP stream: read into its buffer when asked, written without waiting, bounded both ways."""

import errno
import os
import socket

import anyio
from anyio.abc import TaskGroup

from thistleline.wire.buffer import Buffer

Address = tuple[str, int]


class Stream:
    def __init__(self, sock: socket.socket, group: TaskGroup, read_bound: int, write_bound: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.group, self.write_bound = sock, group, write_bound
        self.buffer = Buffer(read_bound)
        self.out = bytearray()
        self.draining = self.closed = False
        self.asked = False
        self.asking: anyio.Event | None = None

    def ask(self) -> None:
        """Somebody wants what comes next."""
        self.asked = True
        if self.asking is not None:
            self.asking.set()

    async def read(self) -> int:
        """Waits until reading is asked for and something came; 0 at the end of the stream. Raises OSError, or
        ClosedResourceError once it is closed here."""
        while not self.asked and not self.closed:
            self.asking = anyio.Event()
            await self.asking.wait()
            self.asking = None
        if self.closed:
            raise anyio.ClosedResourceError
        self.asked = False
        while True:
            await anyio.wait_readable(self.sock)
            try:
                count = self.sock.recv_into(self.buffer.room())
            except BlockingIOError:
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
        except BlockingIOError:
            pass
        except OSError:
            return False
        if self.out:
            self.draining = True
            self.group.start_soon(self._drain)
        return len(self.out) <= self.write_bound

    async def _drain(self) -> None:
        try:
            while self.out and not self.closed:
                await anyio.wait_writable(self.sock)
                try:
                    sent = self.sock.send(self.out)
                    del self.out[:sent]
                except BlockingIOError:
                    continue
        except (OSError, anyio.ClosedResourceError):
            self.out.clear()  # the reader learns of it and ends
        finally:
            self.draining = False

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
