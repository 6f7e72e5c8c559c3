"""The bounded send queue of a connection, and the encoding of messages as frames."""

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
MAX_QUEUED = 4 << 20  # bytes queued for a peer; beyond it the connection is ended
# Bytes; while more is queued for a peer, nothing is read from it. Larger than a delta together with all
# tenants that a peer may request.
READ_THRESHOLD = MAX_QUEUED // 2
REQUESTS_READ_THRESHOLD = (
    1 << 16
)  # bytes; the same for a peer that does not follow, of which there may be many
MAX_ENCODED = 16  # encoded messages that are cached, as the same message is sent to many receivers
CHECK_INTERVAL = 500 * MS  # ns between two checks for peers that read nothing or send nothing


class FrameEncoder:
    """Encodes messages as frames; a message object that is sent to many receivers is encoded once."""

    def __init__(self) -> None:
        """Begin with nothing encoded."""
        # Keyed by `id()` of the message. The message is stored too, so that no other object gets its id.
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
        size: Bytes that are queued or being sent.
    """

    def __init__(self, end: Callable[[], None]) -> None:
        """Begin empty; `end` is called to end the connection."""
        self.size = 0
        self._end = end
        self._frames: deque[bytes] = deque()
        self._added = anyio.Event()
        self._shrunk = anyio.Event()
        self._sending_since = 0  # ns of the boot clock; 0 while nothing is being sent
        self._closing = False  # the connection ends as soon as the queue is empty

    def put(self, frame: bytes) -> None:
        """Add a frame; if more than `MAX_QUEUED` bytes are queued then, end the connection."""
        if self.size > MAX_QUEUED:
            return  # the connection is being ended already
        self._frames.append(frame)
        self.size += len(frame)
        if self.size > MAX_QUEUED:
            self._end()
        self._added.set()

    def end_after_sending(self) -> None:
        """End the connection after sending what is queued."""
        self._closing = True
        self._added.set()

    async def wait_until_readable(self, threshold: int = READ_THRESHOLD) -> None:
        """Wait until at most `threshold` bytes are queued, so that more may be read from the peer."""
        while self.size > threshold:
            await self._shrunk.wait()

    async def send_all(self, stream: ByteStream) -> None:
        """Send queued frames until this is cancelled.

        The caller has to check `is_stalled` regularly: a timer for each send would take a quarter of a core
        in a relay with many followers.
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
        """Return whether a send has been blocked for too long; `now` in ns of the boot clock."""
        return 0 < self._sending_since < now - STALL_TIMEOUT_NS


async def check_regularly(check: Callable[[int], None]) -> None:
    """Call `check` with the time in ns of the boot clock, twice a second.

    A check that is late is skipped: after a pause of the process, the messages that peers sent meanwhile have
    to be read first.
    """
    while True:
        began = boot_now()
        await anyio.sleep(CHECK_INTERVAL / SECOND)
        now = boot_now()
        if now < began + 2 * CHECK_INTERVAL:
            check(now)
