"""A farm agent that outlives the server and keeps its own record of every run: the oracle of the ledger.

Speaks the agent's side of wire/agent.py. Runs go on without a link; notices are kept and told again from the
number that a new link names.
"""

import random
import time
from collections import deque
from typing import NamedTuple

import anyio
from anyio.abc import ByteReceiveStream, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

KEPT_BOUND = 4000


class Ran(NamedTuple):
    """One run: of which body, under which id, when it began; with what result once it has ended."""

    body: bytes
    id: str
    began: float
    result: bytes


class FarmStandIn:
    def __init__(self, seed: int, takes: tuple[float, float]) -> None:
        """`takes`: the least and most seconds of a run."""
        self.chance = random.Random(seed)
        self.takes = takes
        self.born = time.monotonic()
        self.ran: dict[bytes, list[Ran]] = {}  # by body
        self.running: dict[str, bytes] = {}
        self.notices: deque[bytes] = deque(maxlen=KEPT_BOUND)
        self.number = 0
        self.link: SocketStream | None = None
        self.sending = anyio.Lock()
        self.port = 0

    async def serve(self, group: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.group = group
        group.start_soon(listener.serve, self._talk)

    async def _talk(self, link: SocketStream) -> None:
        source = BufferedByteReceiveStream(_Source(link))
        try:
            async with link:
                while True:
                    line = (await source.receive_until(b"\r\n", 4096)).decode()
                    words = line.split(" ")
                    if words[0] == "launch":
                        body = (await source.receive_exactly(int(words[3]) + 2))[:-2]
                        self._launch(words[1], body)
                    elif words[0] == "subscribe":
                        age = int((time.monotonic() - self.born) * 1000)
                        async with self.sending:
                            before, self.link = self.link, link
                            if before is not None and before is not link:
                                await before.aclose()  # a new link replaces the one before it
                            first = self.number - len(self.notices)
                            missed = list(self.notices)[max(0, int(words[1]) - first) :]
                            await link.send(b"greeting old %d\r\n" % age + b"".join(missed))
                    elif words[0] == "sample":
                        told = f"sampled {words[1]} 0.5 {len(self.running)}.0 0.1 1\r\n"
                        async with self.sending:
                            await link.send(told.encode())
        except (
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass
        finally:
            if self.link is link:
                self.link = None

    def _launch(self, id: str, body: bytes) -> None:
        if id not in self.running:
            self.running[id] = body
            result = b"run %d of " % self.chance.getrandbits(32) + body[:16]
            self.ran.setdefault(body, []).append(Ran(body, id, time.monotonic(), result))
            self.group.start_soon(self._run, id, result)

    async def _run(self, id: str, result: bytes) -> None:
        took = self.chance.uniform(*self.takes)
        await anyio.sleep(took)
        del self.running[id]
        self.number += 1
        head = f"outcome {self.number} {id} good {took * 1000:.3f} {len(result)}\r\n".encode()
        link, notice = self.link, head + result + b"\r\n"
        self.notices.append(notice)
        if link is not None:
            try:
                async with self.sending:
                    await link.send(notice)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.link = None if self.link is link else self.link


class _Source(ByteReceiveStream):
    def __init__(self, link: SocketStream) -> None:
        self.link = link

    async def receive(self, max_bytes: int = 65536) -> bytes:
        return await self.link.receive(max_bytes)

    async def aclose(self) -> None:
        await self.link.aclose()
