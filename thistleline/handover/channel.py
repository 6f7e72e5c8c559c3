"""The line between elder and heir: messages over a Unix socket, descriptors beside them, bounded."""

import os
import socket
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from thistleline.handover.messages import BOUND, Message, decode, encode
from thistleline.transport.codec import FrameDecoder, encode_frame

WRITE_BOUND = 16 << 20  # bytes that wait; who lets so much wait is gone
PIECE = 1 << 16
DESCRIPTORS = 4


@contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path through a descriptor of its folder: a name of a Unix socket has 107 bytes at the most."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen(path: Path) -> socket.socket:
    """Raises OSError."""
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    path.unlink(missing_ok=True)
    made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    with _short(path) as name:
        made.bind(name)
    made.listen(4)
    made.setblocking(False)
    return made


def reach(path: Path) -> socket.socket | None:
    """None where nobody is there."""
    made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _short(path) as name:
            made.connect(name)
    except OSError:
        made.close()
        return None
    made.setblocking(False)
    return made


class HandoverChannel:
    def __init__(self, sock: socket.socket, group: TaskGroup) -> None:
        sock.setblocking(False)
        self.sock, self.group = sock, group
        self.unpacker = FrameDecoder(BOUND)
        self.came: deque[Message] = deque()
        self.descriptors: list[int] = []
        self.out = bytearray()
        self.draining = self.closed = False

    # ---- out

    def send(self, message: Message) -> None:
        """Never waits. Guards this process against a peer that does not read: its line ends."""
        if self.closed:
            return
        self.out += encode_frame(encode(message))
        if len(self.out) > WRITE_BOUND:
            self.close()
        elif not self.draining:
            self._write()
            if self.out:
                self.draining = True
                self.group.start_soon(self._drain)

    def send_with(self, message: Message, descriptors: list[int]) -> None:
        """Whole and at once, after all that was sent. Raises OSError where that can't be."""
        if self.closed or self.out:
            raise OSError("the line is not free")
        data = encode_frame(encode(message))
        if socket.send_fds(self.sock, [data], descriptors) != len(data):
            raise OSError("the line took a part of it")

    def _write(self) -> None:
        try:
            while self.out:
                sent = self.sock.send(self.out[:PIECE])
                del self.out[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    async def _drain(self) -> None:
        with suppress(OSError, anyio.ClosedResourceError):
            while self.out and not self.closed:
                await anyio.wait_writable(self.sock)
                self._write()
        self.draining = False

    # ---- in

    async def receive(self) -> Message | None:
        """None at its end. Raises ProtocolError or MsgspecError for what is no message."""
        while not self.came:
            if self.closed:
                return None
            try:
                await anyio.wait_readable(self.sock)
                data, found, _, _ = socket.recv_fds(self.sock, PIECE, DESCRIPTORS)
            except BlockingIOError:
                continue
            except (OSError, anyio.ClosedResourceError):
                return None
            for one in found:
                os.set_inheritable(one, False)
            self.descriptors += found
            if not data:
                return None
            self.came += map(decode, self.unpacker.feed(data))
        return self.came.popleft()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            anyio.notify_closing(self.sock)
            self.sock.close()
