"""A bounded channel between predecessor and successor: messages and descriptors over a Unix socket."""

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

MAX_UNWRITTEN_BYTES = 16 << 20  # a peer that leaves more unread is disconnected
CHUNK_SIZE = 1 << 16  # bytes per read or write
MAX_DESCRIPTORS = 4  # file descriptors received per read
BACKLOG = 4  # connections that wait to be accepted


@contextmanager
def _short_socket_path(path: Path) -> Iterator[str]:
    """Yield a short path to the socket through a descriptor of its folder.

    The path of a Unix socket is limited to 107 bytes.
    """
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen(path: Path) -> socket.socket:
    """Return a non-blocking socket that listens at `path`; replaces an existing socket file.

    Raises:
        OSError: The socket can't be created at the path.
    """
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    path.unlink(missing_ok=True)
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    with _short_socket_path(path) as name:
        listener.bind(name)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def connect(path: Path) -> socket.socket | None:
    """Return a socket connected to the listener at `path`; None if the connection fails."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _short_socket_path(path) as name:
            sock.connect(name)
    except OSError:
        sock.close()
        return None
    sock.setblocking(False)
    return sock


class HandoverChannel:
    """One connection between a predecessor and a successor.

    Attributes:
        group: The task group that runs the writing of data which the socket did not accept at once.
        sock: The socket.
        descriptors: Received file descriptors that have not been taken yet.
        closed: Whether this side has closed the channel.
    """

    def __init__(self, sock: socket.socket, group: TaskGroup) -> None:
        """Create a channel that owns a connected socket."""
        sock.setblocking(False)
        self.sock = sock
        self.group = group
        self.descriptors: list[int] = []
        self.closed = False
        self._decoder = FrameDecoder(MAX_MESSAGE_SIZE)
        self._received: deque[Message] = deque()
        self._unwritten = bytearray()
        self._is_flushing = False

    # ---- sending

    def send(self, message: Message) -> None:
        """Send without waiting; closes the channel if the peer leaves too much data unread."""
        if self.closed:
            return
        self._unwritten += encode_frame(encode(message))
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.close()
        elif not self._is_flushing:
            self._write()
            if self._unwritten:
                self._is_flushing = True
                self.group.start_soon(self._flush)

    def send_with_descriptors(self, message: Message, descriptors: list[int]) -> None:
        """Send a message with file descriptors, completely and without waiting, after all earlier messages.

        Raises:
            OSError: The channel is closed, earlier data is still unwritten, or the write fails or is partial.
        """
        if self.closed or self._unwritten:
            raise OSError("the channel is closed or has unwritten data")
        data = encode_frame(encode(message))
        if socket.send_fds(self.sock, [data], descriptors) != len(data):
            raise OSError("only a part of the message was written")

    def _write(self) -> None:
        try:
            while self._unwritten:
                sent = self.sock.send(self._unwritten[:CHUNK_SIZE])
                del self._unwritten[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    async def _flush(self) -> None:
        with suppress(OSError, anyio.ClosedResourceError):
            while self._unwritten and not self.closed:
                await anyio.wait_writable(self.sock)
                self._write()
        self._is_flushing = False

    # ---- receiving

    async def receive(self) -> Message | None:
        """Wait for the next message and return it; None at the end of the stream.

        Raises:
            ProtocolError: The received data is not a valid frame.
            msgspec.MsgspecError: A received frame is not a valid message.
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
        """Close the socket and wake up a pending `receive`, which returns None."""
        if not self.closed:
            self.closed = True
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            anyio.notify_closing(self.sock)
            self.sock.close()
