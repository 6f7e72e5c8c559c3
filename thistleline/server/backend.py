"""The link to the back end: made with the first call, and anew when a call wants it; moved with calls out."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import Dials, Stream
from thistleline.wire import backend
from thistleline.wire.lines import BUFFER_SIZE

WRITE_BOUND = 4 * 1024 * 1024
DIAL_FIRST, DIAL_MOST = 1.0, 16.0  # s, for a connection; a call that waits for it has its own patience
PAUSES = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4)  # after a dial that failed, the last again and again


class Link:
    """One connection and the calls that are out on it."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.out: set[str] = set()
        self.cancelled: set[str] = set()  # of these an end may still come


class BackendLink:
    def __init__(self, address: Address | None, take: Callable[..., None], group: TaskGroup) -> None:
        self.address, self.take, self.group = address, take, group
        self.dials = Dials(DIAL_FIRST, DIAL_MOST)
        self.pending: dict[str, tuple[int, bytes]] = {}  # calls that wait for a link
        self.wanted = anyio.Event()
        self.link: Link | None = None
        self.calls: dict[str, Link] = {}

    def move(self, address: Address | None) -> None:
        """The back end is elsewhere now: what is out there may end there, what comes goes to the new one."""
        if address != self.address:
            self.address, self.dials = address, Dials(DIAL_FIRST, DIAL_MOST)
            self._retire()

    def _retire(self) -> None:
        """What is out on the link may end there; the next call has a new one."""
        link, self.link = self.link, None
        if link is not None and not link.out:
            link.stream.close()

    async def hold(self) -> None:
        tries = 0
        while True:
            self.wanted = anyio.Event()
            if not self.pending:
                await self.wanted.wait()
            if self.link is not None:
                self._send_pending()
            elif await self._make():
                tries = 0
            else:
                await anyio.sleep(PAUSES[min(tries, len(PAUSES) - 1)])
                tries += 1

    async def _make(self) -> bool:
        """Makes a link for what is pending. Where none can be had nothing of it has run."""
        address = self.address
        try:
            if address is None:
                raise OSError("the configuration names no back end")
            sock = await self.dials.dial(address)
            stream = Stream(sock, self.group, BUFFER_SIZE, WRITE_BOUND)
        except (OSError, TimeoutError):
            pending, self.pending = self.pending, {}
            for name in pending:
                self.take("call_over", name, "unreachable", b"")
            return False
        if address != self.address:
            stream.close()
            return True
        self.link = Link(stream)
        self.group.start_soon(self._read, self.link)
        self._send_pending()
        return True

    def _send_pending(self) -> None:
        pending, self.pending = self.pending, {}
        for name, (patience, body) in pending.items():
            self.call(name, patience, body)
        self.flush()

    async def _read(self, link: Link) -> None:
        """One link to its end; whatever it brings ends that link alone."""
        try:
            while True:
                link.stream.ask()
                if not await link.stream.read():
                    break
                for ended in backend.decode_call_ends(link.stream.buffer):
                    link.cancelled.discard(ended.task_id)
                    if ended.task_id in link.out:
                        self._over(link, ended.task_id)
                        self.take("call_over", ended.task_id, ended.outcome, ended.result)
                if link is not self.link and not link.out:
                    break
        except Exception:
            pass  # told below, call by call
        finally:
            if self.link is link:
                self.link = None
            link.stream.close()
            for name in list(link.out):
                self._over(link, name)
                self.take("call_over", name, "aborted", b"")

    def _over(self, link: Link, name: str) -> None:
        link.out.discard(name)
        if self.calls.get(name) is link:
            del self.calls[name]

    # ---- effects

    def effects(self) -> dict[str, Callable[..., Any]]:
        """What it carries out, by the kind of effect."""
        return {"call": self.call, "cancel_call": self.cancel_call}

    def call(self, name: str, patience: int, body: bytes) -> None:
        if self.link is not None and name in self.link.cancelled:
            self._retire()  # guards against the end of the call before, which bears the same name
        if self.link is None or self.link.stream.closed:
            self.pending[name] = patience, body
            self.wanted.set()
        else:
            self.link.stream.write(backend.encode_call(name, patience, body))
            self.link.out.add(name)
            self.calls[name] = self.link

    def cancel_call(self, name: str) -> None:
        self.pending.pop(name, None)
        link = self.calls.get(name)
        if link is not None:
            link.stream.write(backend.encode_cancel(name))
            link.cancelled.add(name)
            self._over(link, name)

    def flush(self) -> None:
        if self.link is not None and not self.link.stream.flush():
            self.link.stream.close()  # the reader learns of it
