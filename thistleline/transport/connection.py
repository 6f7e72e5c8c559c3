"""A link to one process: made, made again with growing pauses when it ends, and a bounded queue meanwhile."""

from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

import anyio
from anyio.abc import ByteStream, SocketStream

from thistleline.transport.address import Address
from thistleline.transport.codec import sealed
from thistleline.transport.disconnects import ends

QUEUE_BOUND, BYTES_BOUND = 4096, 128 << 20
PIECE = 1 << 18  # bytes handed over at once
PATIENCE = 2.0  # s for a connection and its greeting
STALL = 5.0  # s in which a peer takes nothing; then the link is made anew
PAUSE_FIRST, PAUSE_LAST = 0.05, 1.0  # s


class Queue:
    """What waits to be sent. Past its bound the oldest heartbeats go, then the oldest of all: a newer message
    says more, and a council asks again for what it misses."""

    def __init__(self) -> None:
        self.waiting: deque[tuple[bytes, bool]] = deque()
        self.size = 0
        self.dropped = 0

    def put(self, data: bytes, beat: bool) -> None:
        self.waiting.append((data, beat))
        self.size += len(data)
        while len(self.waiting) > QUEUE_BOUND or self.size > BYTES_BOUND:
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        for place, (data, beat) in enumerate(self.waiting):
            if beat:
                del self.waiting[place]
                self.size -= len(data)
                return
        self.size -= len(self.waiting.popleft()[0])

    def take(self) -> bytes:
        """Some of it, in order; nothing if nothing waits."""
        found, size = [], 0
        while self.waiting and size < PIECE:
            data, _ = self.waiting.popleft()
            found.append(data)
            size += len(data)
        self.size -= size
        return b"".join(found)

    def clear(self) -> None:
        self.waiting.clear()
        self.size = 0


class Link:
    def __init__(
        self,
        address: Address,
        greet: Callable[[ByteStream], Awaitable[None]],
        chance: Random,
        tell: Callable[[str], None],
    ) -> None:
        """`greet` says and hears the Hello, or raises; `tell` hears why a link could not be had or ended."""
        self.address, self.greet, self.chance, self.tell = address, greet, chance, tell
        self.queue = Queue()
        self.more = anyio.Event()

    def send(self, payload: bytes, beat: bool = False) -> None:
        self.queue.put(sealed(payload), beat)
        self.more.set()

    async def hold(self) -> None:
        """Until it is cancelled. No peer's error ends it."""
        pause = PAUSE_FIRST
        while True:
            with ends(self.tell):
                with anyio.fail_after(PATIENCE):
                    stream = await anyio.connect_tcp(*self.address)
                async with stream:
                    with anyio.fail_after(PATIENCE):
                        await self.greet(stream)
                    pause = PAUSE_FIRST
                    await self._send(stream)
            # What waited is old by the time there is a link again.
            self.queue.clear()
            await anyio.sleep(pause * self.chance.uniform(0.5, 1.5))
            pause = min(PAUSE_LAST, 2 * pause)

    async def _send(self, stream: SocketStream) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._notice_end, stream, group.cancel_scope)
            while True:
                data = self.queue.take()
                if data:
                    with anyio.fail_after(STALL):
                        await stream.send(data)
                else:
                    self.more = anyio.Event()
                    await self.more.wait()

    async def _notice_end(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        """Nothing comes this way after the greeting but the end."""
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.receive(1)
        scope.cancel()
