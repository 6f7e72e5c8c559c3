"""A relay for each pair of processes and way: what goes through it can be cut, held up, swallowed or dripped.

A link dials in one way and talks in one way (lease/service.py), so a fault on a relay's `there` or `back` way
is a fault of one direction between two processes.
"""

from collections import deque
from contextlib import suppress
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from thistleline.transport.address import Address
from thistleline.transport.disconnects import DISCONNECT_ERRORS

PIECE = 65536
HELD_BOUND = 8 << 20  # bytes that a slow way holds; past it it takes no more


class Way(NamedTuple):
    """What is done to bytes that go one way."""

    delay: float = 0.0  # s
    jitter: float = 0.0  # s, as much again at most; order is kept
    swallow: bool = False
    drip: bool = False  # a few bytes at a time


CLEAR = Way()


class Relay:
    def __init__(self, target: Address, chance: Random) -> None:
        self.target, self.chance = target, chance
        self.there = self.back = CLEAR
        self.refuses = False
        self.open: dict[int, list[SocketStream]] = {}
        self.half_closed: set[int] = set()  # of these: no more bytes go there
        self.count = 0
        self.port = 0

    async def serve(self, group: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, self._carry)

    def cut(self) -> None:
        """Ends all that is open and refuses more, till `heal`."""
        self.refuses = True
        self._end_all(both=True)

    def overtake(self, delay: float) -> None:
        """Who dials is cut off and dials anew; what it has sent before arrives so much later."""
        self.there = Way(delay=delay)
        self._end_all(both=False)

    def half_close(self) -> None:
        """No more bytes come there; the other way goes on."""
        for name in list(self.open):
            stream = self.open[name][-1]
            self.half_closed.add(id(stream))
            self.group.start_soon(_send_eof, stream)

    def heal(self) -> None:
        self.refuses, self.there, self.back = False, CLEAR, CLEAR

    def _end_all(self, both: bool) -> None:
        for streams in list(self.open.values()):
            for stream in streams if both else streams[:1]:
                self.group.start_soon(anyio.aclose_forcefully, stream)

    async def _carry(self, near: SocketStream) -> None:
        self.count += 1
        name = self.count
        async with near:
            if self.refuses:
                return
            try:
                far = await anyio.connect_tcp(*self.target)
            except OSError:
                return
            async with far:
                self.open[name] = [near, far]
                try:
                    async with anyio.create_task_group() as group:
                        self.group = group
                        group.start_soon(self._pump, near, far, True)
                        group.start_soon(self._pump, far, near, False)
                finally:
                    del self.open[name]
                    self.half_closed.discard(id(far))

    async def _pump(self, source: SocketStream, to: SocketStream, there: bool) -> None:
        held: deque[tuple[float, bytes]] = deque()
        more, over = anyio.Event(), False

        async def read() -> None:
            nonlocal more, over
            try:
                while True:
                    data = await source.receive(PIECE)
                    way = self.there if there else self.back
                    if not way.swallow:
                        due = anyio.current_time() + way.delay + self.chance.random() * way.jitter
                        held.append((max(due, held[-1][0]) if held else due, data))
                        more.set()
                    while sum(len(one) for _, one in held) > HELD_BOUND:
                        await anyio.sleep(0.01)
            except DISCONNECT_ERRORS:
                over = True
                more.set()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(read)
                while held or not over:
                    if not held:
                        more = anyio.Event()
                        await more.wait()
                        continue
                    due, data = held[0]
                    await anyio.sleep(max(0.0, due - anyio.current_time()))
                    held.popleft()
                    await self._hand_on(to, data, there)
                group.cancel_scope.cancel()
            await to.aclose()
        except DISCONNECT_ERRORS:
            pass
        except BaseExceptionGroup as group_error:
            if group_error.split(DISCONNECT_ERRORS)[1] is not None:
                raise

    async def _hand_on(self, to: SocketStream, data: bytes, there: bool) -> None:
        place = 0
        while place < len(data) and id(to) not in self.half_closed:
            drips = (self.there if there else self.back).drip
            count = self.chance.randint(1, 7) if drips else len(data)
            await to.send(data[place : place + count])
            place += count
            if drips:
                await anyio.sleep(0.001)


async def _send_eof(stream: SocketStream) -> None:
    with suppress(*DISCONNECT_ERRORS):
        await stream.send_eof()
