"""What waits to be sent on a connection of the feed, bounded, and how messages become frames."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream

from thistleline.config_feed.limits import MS, SECOND, STALL_TIMEOUT_NS
from thistleline.config_feed.messages import Delta, FollowerMessage, SnapshotPart, SourceMessage, encode
from thistleline.store.clock import boot_now
from thistleline.transport.codec import encode_frame

CHUNK_SIZE = 1 << 18  # bytes read or sent at once
MAX_QUEUED = 4 << 20  # bytes that a peer has not taken; past it the connection ends
# Bytes; while more is queued, the peer is not read. Above a delta and all tenants that may be asked for.
READ_THRESHOLD = MAX_QUEUED // 2
MAX_ENCODED = 16  # frames that are kept for other receivers
CHECK_INTERVAL = 500 * MS  # ns between two checks for peers that take nothing or send nothing


class FrameEncoder:
    """Encodes messages as frames; one object that goes to many receivers is encoded once."""

    def __init__(self) -> None:
        """Begin with nothing encoded."""
        # By the id of the message. The message is held too: while it lives its id is its own.
        self.encoded: OrderedDict[int, tuple[SourceMessage, bytes]] = OrderedDict()

    def frame(self, message: SourceMessage) -> bytes:
        """Return the message as a frame."""
        if not isinstance(message, Delta | SnapshotPart):
            return to_frame(message)
        known = self.encoded.get(id(message))
        if known is not None:
            return known[1]
        frame = to_frame(message)
        self.encoded[id(message)] = message, frame
        if len(self.encoded) > MAX_ENCODED:
            self.encoded.popitem(last=False)
        return frame


def to_frame(message: FollowerMessage | SourceMessage) -> bytes:
    """Encode one message as a frame."""
    return encode_frame(encode(message))


class SendQueue:
    """Frames that wait to be sent on one connection, in order.

    Attributes:
        size: Bytes that the peer has not taken.
    """

    def __init__(self, end: Callable[[], None]) -> None:
        """Begin empty; `end` is called when the connection is to end."""
        self.size = 0
        self._end = end
        self._frames: deque[bytes] = deque()
        self._added = anyio.Event()
        self._shrunk = anyio.Event()
        self._sending_since = 0  # ns; 0: nothing is being sent
        self._closing = False  # nothing more is added: the connection ends once all is sent

    def put(self, frame: bytes) -> None:
        """Add a frame; past `MAX_QUEUED` bytes the connection ends."""
        if self.size > MAX_QUEUED:
            return  # it is ending
        self._frames.append(frame)
        self.size += len(frame)
        if self.size > MAX_QUEUED:
            self._end()
        self._added.set()

    def end_after_sending(self) -> None:
        """End the connection once all that is queued is sent."""
        self._closing = True
        self._added.set()

    async def wait_until_readable(self) -> None:
        """Wait until so little is queued that more may be read from the peer."""
        while self.size > READ_THRESHOLD:
            await self._shrunk.wait()

    async def send_all(self, stream: ByteStream) -> None:
        """Send what is queued until this is cancelled.

        Whoever runs it checks `is_stalled` now and then: a timer for each send would cost a relay of many
        followers a quarter of its core.
        """
        while True:
            while self._frames:
                await self._send_chunk(stream)
            if self._closing:
                self._end()
            self._added = anyio.Event()
            await self._added.wait()

    async def _send_chunk(self, stream: ByteStream) -> None:
        frames: list[bytes] = []
        size = 0
        while self._frames and size < CHUNK_SIZE:
            frames.append(self._frames.popleft())
            size += len(frames[-1])
        self._sending_since = boot_now()
        await stream.send(frames[0] if len(frames) == 1 else b"".join(frames))
        self._sending_since = 0
        self.size -= size
        self._shrunk.set()
        self._shrunk = anyio.Event()

    def is_stalled(self, now: int) -> bool:
        """Return whether the peer has taken nothing for too long; `now` in ns of the boot clock."""
        return 0 < self._sending_since < now - STALL_TIMEOUT_NS


async def check_regularly(check: Callable[[int], None]) -> None:
    """Call `check` with the time in ns, twice a second.

    A check that would be late is left out: after a pause of the process all that peers did meanwhile is to be
    taken first.
    """
    while True:
        began = boot_now()
        await anyio.sleep(CHECK_INTERVAL / SECOND)
        now = boot_now()
        if now < began + 2 * CHECK_INTERVAL:
            check(now)
