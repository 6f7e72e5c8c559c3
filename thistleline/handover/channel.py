"""The channel between predecessor and successor: messages and descriptors over a Unix socket, bounded."""

import os
import socket
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from thistleline.handover.messages import MAX_MESSAGE_SIZE, Message, decode, encode
from thistleline.transport.codec import FrameDecoder, encode_frame

MAX_UNWRITTEN = 16 << 20  # bytes that wait; who lets so much wait is gone
CHUNK_SIZE = 1 << 16  # bytes read or written at once
MAX_DESCRIPTORS = 4  # that are taken with one read
BACKLOG = 4  # successors that the kernel holds ready


@contextmanager
def _short(path: Path) -> Iterator[str]:
    """Yield the path through a descriptor of its folder: a Unix socket's name has 107 bytes at the most."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen(path: Path) -> socket.socket:
    """Return a non-blocking socket that listens at `path`, in place of any other there.

    Raises:
        OSError: The path can't be had.
    """
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    path.unlink(missing_ok=True)
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    with _short(path) as name:
        listener.bind(name)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def reach(path: Path) -> socket.socket | None:
    """Return a socket that is connected to the listener at `path`; None where nobody is there."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _short(path) as name:
            sock.connect(name)
    except OSError:
        sock.close()
        return None
    sock.setblocking(False)
    return sock


class HandoverChannel:
    """One connection between a predecessor and a successor.

    Attributes:
        group: Where what can't be written at once is written later.
        sock: The socket.
        descriptors: Descriptors that came and that nobody has taken.
        closed: Whether it was closed here.
    """

    def __init__(self, sock: socket.socket, group: TaskGroup) -> None:
        """Take over a connected socket."""
        sock.setblocking(False)
        self.sock = sock
        self.group = group
        self.descriptors: list[int] = []
        self.closed = False
        self._decoder = FrameDecoder(MAX_MESSAGE_SIZE)
        self._received: deque[Message] = deque()
        self._unwritten = bytearray()
        self._draining = False

    # ---- out

    def send(self, message: Message) -> None:
        """Send without waiting; the channel to a peer that does not read is closed."""
        if self.closed:
            return
        self._unwritten += encode_frame(encode(message))
        if len(self._unwritten) > MAX_UNWRITTEN:
            self.close()
        elif not self._draining:
            self._write()
            if self._unwritten:
                self._draining = True
                self.group.start_soon(self._drain)

    def send_with(self, message: Message, descriptors: list[int]) -> None:
        """Send a message and descriptors as a whole and at once, after all that was sent.

        Raises:
            OSError: That can't be.
        """
        if self.closed or self._unwritten:
            raise OSError("the line is not free")
        data = encode_frame(encode(message))
        if socket.send_fds(self.sock, [data], descriptors) != len(data):
            raise OSError("the line took a part of it")

    def _write(self) -> None:
        try:
            while self._unwritten:
                sent = self.sock.send(self._unwritten[:CHUNK_SIZE])
                del self._unwritten[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    async def _drain(self) -> None:
        with suppress(OSError, anyio.ClosedResourceError):
            while self._unwritten and not self.closed:
                await anyio.wait_writable(self.sock)
                self._write()
        self._draining = False

    # ---- in

    async def receive(self) -> Message | None:
        """Wait for the next message and return it; None at the end.

        Raises:
            ProtocolError: What came is no frame.
            msgspec.MsgspecError: What came is no message.
        """
        while not self._received:
            if self.closed:
                return None
            try:
                await anyio.wait_readable(self.sock)
                data, descriptors, _, _ = socket.recv_fds(self.sock, CHUNK_SIZE, MAX_DESCRIPTORS)
            except BlockingIOError:
                continue
            except (OSError, anyio.ClosedResourceError):
                return None
            for descriptor in descriptors:
                os.set_inheritable(descriptor, False)
            self.descriptors += descriptors
            if not data:
                return None
            self._received += map(decode, self._decoder.feed(data))
        return self._received.popleft()

    def close(self) -> None:
        """Close the socket; who reads is told."""
        if not self.closed:
            self.closed = True
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            anyio.notify_closing(self.sock)
            self.sock.close()
