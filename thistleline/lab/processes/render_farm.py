"""A fake farm agent that outlives the server and records every run, for the ledger's oracle.

It implements the agent's side of wire/agent.py. Runs continue without a connection; notices of their ends are
stored, and a new connection gets those after the number from which it subscribes.
"""

import random
import time
from collections import deque
from typing import NamedTuple

import anyio
from anyio.abc import ByteReceiveStream, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

MAX_NOTICES = 4000  # stored for a new connection; older ones are lost
MAX_LINE = 4096  # bytes of a request's first line


class RunRecord(NamedTuple):
    """One run of an effect.

    Attributes:
        body: The request's body.
        id: The attempt that started it.
        started_at: Seconds of the monotonic clock.
        result: The result, sent when the run ends.
    """

    body: bytes
    id: str
    started_at: float
    result: bytes


class FakeFarmAgent:
    """A fake agent on a free loopback port; it sends notices of ended runs only to the newest connection."""

    def __init__(self, seed: int, run_seconds: tuple[float, float]) -> None:
        """Make an agent; `run_seconds` is the least and the greatest duration of a run."""
        self.rng = random.Random(seed)
        self.run_seconds = run_seconds
        self.started_at = time.monotonic()
        self.runs: dict[bytes, list[RunRecord]] = {}  # by body; the record that the oracle reads
        self.running: dict[str, bytes] = {}  # body by attempt
        self.notices: deque[bytes] = deque(maxlen=MAX_NOTICES)
        self.notice_number = 0  # of the latest
        self.connection: SocketStream | None = None
        self.sending = anyio.Lock()
        self.port = 0

    async def serve(self, group: TaskGroup) -> None:
        """Listen on a free port, named by `port`, for as long as `group` runs."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.group = group
        group.start_soon(listener.serve, self._serve_connection)

    async def _serve_connection(self, connection: SocketStream) -> None:
        source = BufferedByteReceiveStream(_Receiver(connection))
        try:
            async with connection:
                while True:
                    line = (await source.receive_until(b"\r\n", MAX_LINE)).decode()
                    words = line.split(" ")
                    if words[0] == "launch":
                        body = (await source.receive_exactly(int(words[3]) + 2))[:-2]
                        self._launch(words[1], body)
                    elif words[0] == "subscribe":
                        await self._subscribe(connection, int(words[1]))
                    elif words[0] == "sample":
                        sample = f"sampled {words[1]} 0.5 {len(self.running)}.0 0.1 1\r\n"
                        async with self.sending:
                            await connection.send(sample.encode())
        except (
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass
        finally:
            if self.connection is connection:
                self.connection = None

    async def _subscribe(self, connection: SocketStream, after: int) -> None:
        """Close the previous connection; greet, and send the notices after number `after`."""
        age_ms = int((time.monotonic() - self.started_at) * 1000)
        async with self.sending:
            previous = self.connection
            self.connection = connection
            if previous is not None and previous is not connection:
                await previous.aclose()
            discarded = self.notice_number - len(self.notices)
            missed = list(self.notices)[max(0, after - discarded) :]
            await connection.send(b"greeting old %d\r\n" % age_ms + b"".join(missed))

    def _launch(self, id: str, body: bytes) -> None:
        if id not in self.running:
            self.running[id] = body
            result = b"run %d of " % self.rng.getrandbits(32) + body[:16]
            self.runs.setdefault(body, []).append(RunRecord(body, id, time.monotonic(), result))
            self.group.start_soon(self._run, id, result)

    async def _run(self, id: str, result: bytes) -> None:
        seconds = self.rng.uniform(*self.run_seconds)
        await anyio.sleep(seconds)
        await self._finish(id, f"{seconds * 1000:.3f}", result)

    async def _finish(self, id: str, milliseconds: str, result: bytes) -> None:
        """End a run: store its notice, and send it if there is a connection."""
        del self.running[id]
        self.notice_number += 1
        head = f"outcome {self.notice_number} {id} good {milliseconds} {len(result)}\r\n".encode()
        connection, notice = self.connection, head + result + b"\r\n"
        self.notices.append(notice)
        if connection is not None:
            try:
                async with self.sending:
                    await connection.send(notice)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.connection = None if self.connection is connection else self.connection


class _Receiver(ByteReceiveStream):
    """The receiving half of a connection, so that buffering it leaves the sending half alone."""

    def __init__(self, connection: SocketStream) -> None:
        self.connection = connection

    async def receive(self, max_bytes: int = 65536) -> bytes:
        return await self.connection.receive(max_bytes)

    async def aclose(self) -> None:
        await self.connection.aclose()
