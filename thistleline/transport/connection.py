"""An outgoing connection to one process, reconnected with exponential backoff, with a bounded send queue."""

from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

import anyio
from anyio.abc import ByteStream, SocketStream

from thistleline.transport.address import Address
from thistleline.transport.codec import encode_frame
from thistleline.transport.disconnects import report_disconnects

MAX_QUEUED_MESSAGES = 4096
MAX_QUEUED_SIZE = 128 << 20  # bytes of queued frames; beyond it frames are dropped
SEND_BATCH_SIZE = 1 << 18  # bytes passed to the socket in one call
CONNECT_TIMEOUT = 2.0  # s; applies to the connection and to the handshake separately
SEND_TIMEOUT = 5.0  # s; if one send takes longer, the connection is closed and reopened
MIN_BACKOFF = 0.05  # s before the first reconnection
MAX_BACKOFF = 1.0  # s; longest delay before a reconnection


class SendQueue:
    """Queue of frames to be sent.

    When it is full, the oldest heartbeat is dropped, or the oldest frame if it contains no heartbeat: newer
    messages are more useful, and the receiver requests again what it lacks.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.frames: deque[tuple[bytes, bool]] = deque()  # data, whether it is a heartbeat
        self.size = 0  # bytes of all frames
        self.dropped = 0  # number of frames dropped so far

    def put(self, data: bytes, heartbeat: bool) -> None:
        """Append a frame, and drop older ones while a limit is exceeded."""
        self.frames.append((data, heartbeat))
        self.size += len(data)
        while len(self.frames) > MAX_QUEUED_MESSAGES or self.size > MAX_QUEUED_SIZE:
            self._drop_one()

    def _drop_one(self) -> None:
        self.dropped += 1
        for index, (data, heartbeat) in enumerate(self.frames):
            if heartbeat:
                del self.frames[index]
                self.size -= len(data)
                return
        self.size -= len(self.frames.popleft()[0])

    def take_batch(self) -> bytes:
        """Remove and return some frames, in order; empty if the queue is empty."""
        batch = []
        size = 0
        while self.frames and size < SEND_BATCH_SIZE:
            data, _ = self.frames.popleft()
            batch.append(data)
            size += len(data)
        self.size -= size
        return b"".join(batch)

    def clear(self) -> None:
        """Drop all frames."""
        self.frames.clear()
        self.size = 0


class MessageConnection:
    """Sends messages to one address while `run` is active, reconnecting when the connection is lost."""

    def __init__(
        self,
        address: Address,
        handshake: Callable[[ByteStream], Awaitable[None]],
        rng: Random,
        on_disconnect: Callable[[str], None],
    ) -> None:
        """Start without a connection; `run` connects.

        Args:
            address: Address that the peer listens on.
            handshake: Exchanges Hellos on a new connection, or raises.
            rng: Random source of the backoff jitter.
            on_disconnect: Called with the reason when connecting fails or a connection ends.
        """
        self.address = address
        self.handshake = handshake
        self.rng = rng
        self.on_disconnect = on_disconnect
        self.queue = SendQueue()
        self.queued = anyio.Event()

    def send(self, payload: bytes, heartbeat: bool = False) -> None:
        """Queue a message; heartbeats are the first to be dropped from a full queue."""
        self.queue.put(encode_frame(payload), heartbeat)
        self.queued.set()

    async def run(self) -> None:
        """Connect, send and reconnect until cancelled; errors of the peer or the network don't end it."""
        backoff = MIN_BACKOFF
        while True:
            with report_disconnects(self.on_disconnect):
                with anyio.fail_after(CONNECT_TIMEOUT):
                    stream = await anyio.connect_tcp(*self.address)
                async with stream:
                    with anyio.fail_after(CONNECT_TIMEOUT):
                        await self.handshake(stream)
                    backoff = MIN_BACKOFF
                    await self._send_queue(stream)
            # Queued messages would be out of date by the time the connection is reestablished.
            self.queue.clear()
            await anyio.sleep(backoff * self.rng.uniform(0.5, 1.5))
            backoff = min(MAX_BACKOFF, 2 * backoff)

    async def _send_queue(self, stream: SocketStream) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_at_end, stream, group.cancel_scope)
            while True:
                data = self.queue.take_batch()
                if data:
                    with anyio.fail_after(SEND_TIMEOUT):
                        await stream.send(data)
                else:
                    self.queued = anyio.Event()
                    await self.queued.wait()

    async def _cancel_at_end(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        """Cancel sending when the peer closes the connection; the peer sends nothing after the handshake."""
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.receive(1)
        scope.cancel()
