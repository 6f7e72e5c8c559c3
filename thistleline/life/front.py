"""The listening socket and its connections to client stubs."""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.life.configuration import Address
from thistleline.life.streams import Stream
from thistleline.wire import thrift

WRITE_BOUND = 256 * 1024  # a full connection's answers take under 140 KiB
BACKLOG = 1024
ACCEPTED_AT_ONCE = 64
PAUSE = 0.05


def listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


class Front:
    def __init__(
        self, listener: socket.socket, stubs: thrift.Stubs, take: Callable[..., None], group: TaskGroup
    ) -> None:
        self.listener: socket.socket | None = listener
        self.stubs, self.take, self.group = stubs, take, group
        self.streams: dict[int, Stream] = {}
        self.written: dict[int, Stream] = {}
        self.count = 0

    async def accept(self) -> None:
        while (listener := self.listener) is not None:
            try:
                await anyio.wait_readable(listener)
                self._accept_some(listener)
            except anyio.ClosedResourceError:
                return
            except OSError:
                await anyio.sleep(PAUSE)  # no descriptor or memory is to be had just now

    def _accept_some(self, listener: socket.socket) -> bool:
        """Whether there may be more; guards the other tasks against a flood of connections."""
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                sock, _ = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return False
            self.count += 1
            stream = Stream(sock, self.group, thrift.BUFFER_BOUND, WRITE_BOUND)
            self.streams[self.count] = stream
            self.take("opened", self.count)
            if not stream.closed:
                self.group.start_soon(self._serve, self.count, stream)
        return True

    async def _serve(self, name: int, stream: Stream) -> None:
        """Reads one connection to its end; whatever happens here ends nothing else."""
        why = ""
        try:
            while await stream.read():
                for message in self.stubs.messages(stream.buffer):
                    self.take(message[0], name, *message[1:])
                    if stream.closed:
                        return
                self.take("drained", name)
        except anyio.ClosedResourceError:
            pass
        except OSError as error:
            why = error.strerror or "broken"
        except Exception as error:
            why = f"{type(error).__name__}: {error}"
        finally:
            self.take("ended", name, why)
            self.close(name)

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
        self.write(name, thrift.finished(*told))

    def rejected(self, name: int, *told: Any) -> None:
        self.write(name, thrift.rejected(*told))

    def abandoned(self, name: int, *told: Any) -> None:
        self.write(name, thrift.abandoned(*told))

    def health(self, name: int, *told: Any) -> None:
        self.write(name, thrift.health(*told))

    def misunderstood(self, name: int, *told: Any) -> None:
        self.write(name, thrift.misunderstood(*told))

    def dismiss(self, name: int) -> None:
        self.write(name, thrift.dismiss())

    def flush(self) -> list[int]:
        """Writes all that lies ready; returns the connections that are gone or don't read."""
        written, self.written = self.written, {}
        return [name for name, stream in written.items() if not stream.flush()]

    def close(self, name: int) -> None:
        stream = self.streams.pop(name, None)
        if stream is not None:
            stream.flush()
            stream.close()

    def stop_accepting(self) -> None:
        """Takes what the machine has accepted, then no more: a refused connection proves that nothing ran."""
        listener, self.listener = self.listener, None
        if listener is not None:
            with suppress(OSError):
                while self._accept_some(listener):
                    pass
            anyio.notify_closing(listener)
            listener.close()
