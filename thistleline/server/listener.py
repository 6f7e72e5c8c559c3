"""The listening socket and its connections to client stubs."""

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
from thistleline.wire import responses
from thistleline.wire.requests import (
    BUFFER_SIZE,
    ClientCodec,
    HealthRequest,
    MalformedRequest,
    Request,
    TaskRequest,
)

WRITE_BOUND = 256 * 1024  # a full connection's answers take under 140 KiB
BACKLOG = 1024
ACCEPTED_AT_ONCE = 64
PAUSE = 0.05
LINGER_SPAN = 1.0  # s, for a peer to read what it was told and to close
LINGER_SPARE = 4  # connections that may linger where all others are open
# What the kernel says of one connection that came to nothing; the next may be well.
CAME_TO_NOTHING = (
    *(errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET),
    *(errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.EPERM, errno.ECONNRESET),
)
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


class Front:
    def __init__(
        self,
        listener: socket.socket,
        codec: ClientCodec,
        take: Callable[..., None],
        group: TaskGroup,
        bound: int = sys.maxsize,
    ) -> None:
        """`bound`: connections that may be open, those that linger among them."""
        self.listener: socket.socket | None = listener
        self.codec, self.take, self.group, self.bound = codec, take, group, bound
        self.streams: dict[int, Stream] = {}
        self.written: dict[int, Stream] = {}
        self.lingering: OrderedDict[int, Stream] = OrderedDict()  # closed for the reducer; the oldest first
        self.quiet: anyio.Event | None = None  # set once none lingers, where somebody waits for that
        self.count = 0

    async def accept(self) -> None:
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
                await anyio.sleep(PAUSE)  # no descriptor or memory is to be had just now

    def _accept_some(self, listener: socket.socket) -> bool:
        """Whether there may be more; guards the other tasks against a flood of connections. Raises OSError
        where there is no room, or nothing to listen on."""
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in CAME_TO_NOTHING or (error.errno in NO_ROOM and self._close_lingering()):
                    continue
                raise
            try:
                stream = Stream(sock, self.group, BUFFER_SIZE, WRITE_BOUND)
            except OSError:
                continue
            self.count += 1
            name = self.count
            self.streams[name] = stream
            self.take("opened", name)
            self.group.start_soon(self._serve, name, stream)
            self._keep_to_bound()
        return True

    async def _serve(self, name: int, stream: Stream) -> None:
        """Reads one connection to its end; whatever happens here ends nothing else."""
        why = ""
        try:
            while await stream.read():
                for request in self.codec.decode_requests(stream.buffer):
                    self._take_request(name, request)
                    if stream.finishing or stream.closed:
                        return
                self.take("drained", name, len(stream.buffer) > 0)
        except anyio.ClosedResourceError:
            pass
        except OSError as error:
            why = error.strerror or "broken"
        except Exception as error:
            why = f"{type(error).__name__}: {error}"
        finally:
            self.take("ended", name, why)
            self.close(name)
            try:
                await stream.linger(LINGER_SPAN)
            finally:
                self.lingering.pop(name, None)
                if self.quiet is not None and not self.lingering:
                    self.quiet.set()

    def _take_request(self, name: int, request: Request) -> None:
        match request:
            case TaskRequest(sequence, task, key, body):
                self.take("task", name, sequence, task, key, body)
            case HealthRequest(sequence, deep):
                self.take("check", name, sequence, deep)
            case MalformedRequest(sequence, method, reason):
                self.take("malformed", name, sequence, method, reason)

    def _keep_to_bound(self) -> None:
        """Guards the descriptors: the longest lingering give way to whoever is served."""
        while len(self.streams) + len(self.lingering) > self.bound + LINGER_SPARE:
            if not self._close_lingering():
                return

    def _close_lingering(self) -> bool:
        if not self.lingering:
            return False
        self.lingering.popitem(last=False)[1].close()
        return True

    async def finish(self) -> None:
        """Ends every connection, and waits until all peers have what was written to them and have closed, no
        longer than they may linger."""
        for name in list(self.streams):
            self.close(name)
        if self.lingering:
            self.quiet = anyio.Event()
            await self.quiet.wait()

    # ---- effects

    def effects(self) -> dict[str, Callable[..., None]]:
        """What it carries out, by the kind of effect."""
        return {
            "read": self.read,
            "finished": self.finished,
            "rejected": self.rejected,
            "abandoned": self.abandoned,
            "health": self.health,
            "misunderstood": self.misunderstood,
            "dismiss": self.dismiss,
            "close": self.close,
            "stop_accepting": self.stop_accepting,
        }

    def read(self, name: int) -> None:
        if name in self.streams:
            self.streams[name].ask()

    def write(self, name: int, data: bytes) -> None:
        stream = self.streams.get(name)
        if stream is not None:
            stream.write(data)
            self.written[name] = stream

    def finished(self, name: int, *told: Any) -> None:
        self.write(name, responses.encode_finished(*told))

    def rejected(self, name: int, *told: Any) -> None:
        self.write(name, responses.encode_rejected(*told))

    def abandoned(self, name: int, *told: Any) -> None:
        self.write(name, responses.encode_abandoned(*told))

    def health(self, name: int, *told: Any) -> None:
        self.write(name, responses.encode_health(*told))

    def misunderstood(self, name: int, *told: Any) -> None:
        self.write(name, responses.encode_exception(*told))

    def dismiss(self, name: int) -> None:
        self.write(name, responses.encode_farewell())

    def flush(self) -> list[int]:
        """Writes all that lies ready; returns the connections that are gone or don't read."""
        written, self.written = self.written, {}
        return [name for name, stream in written.items() if not stream.flush()]

    def close(self, name: int) -> None:
        """Nothing that comes on it is read as a message any more. What was written reaches its peer; its task
        lets it linger."""
        stream = self.streams.pop(name, None)
        if stream is not None:
            self.lingering[name] = stream
            stream.finish()
            self._keep_to_bound()

    def stop_accepting(self) -> None:
        """Takes what the machine has accepted, then no more: a refused connection proves that nothing ran."""
        listener, self.listener = self.listener, None
        if listener is not None:
            with suppress(OSError):
                while self._accept_some(listener):
                    pass
            anyio.notify_closing(listener)
            listener.close()
