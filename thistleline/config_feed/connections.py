"""Connections of the feed, both ends: who follows (`Up`) and who serves (`Peer`). Frames as in links/codec.

A reader hands over what it has read and reads on once that was taken, so what waits here of one peer is a
piece of its stream. Of who comes in one message a round is taken, and none while too much waits for it:
guards against one that asks without end and stalls the others, or reads nothing of the answers. What waits
for a peer is bounded, and past the bound its connection ends.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketStream, TaskGroup

from thistleline.config_feed.limits import BEAT, MESSAGE_BOUND, MS, SECOND, STALL
from thistleline.config_feed.messages import Delta, Part, decode_source, encode
from thistleline.store.clock import boot_now
from thistleline.transport.address import Address
from thistleline.transport.codec import FrameDecoder, Hello, encode_frame, negotiate_version
from thistleline.transport.disconnects import DISCONNECT_ERRORS, report_disconnects
from thistleline.transport.handshake import receive_hello

PIECE = 1 << 18  # bytes read or handed over at once
PATIENCE = 1.5  # s for a connection and its greeting
LOOK_EVERY = 500 * MS  # at all peers, for those that take nothing or say nothing
IDLE = 60 * SECOND  # who says nothing for so long is let go
OUT_BOUND = 4 << 20  # bytes that a peer has not taken
FLOWS = OUT_BOUND // 2  # more, and it is not read; above a Delta and all tenants that may be asked for
ENCODED_BOUND = 16
STANDSTILL = 100 * MS  # past a beat; after one as long all that lies unread is read first
READ_FIRST = 8  # turns of the loop


class Rounds:
    """What readers brought and the pump has not taken; a reader waits for the round that takes its own."""

    def __init__(self) -> None:
        self.inbox: list[tuple[Any, ...]] = []
        self.woken, self.round = anyio.Event(), anyio.Event()
        self.seen = 0  # when the last round was

    async def next(self, due: int) -> list[tuple[Any, ...]]:
        """What came in, once there is something or `due` (ns of the boot clock) has come. Whoever stood still
        may have been spoken to meanwhile: that is read before anybody judges time-outs."""
        self.seen = self.seen or boot_now()
        await self.wait((due - boot_now()) / SECOND)
        for _ in range(READ_FIRST if boot_now() - self.seen > STANDSTILL + BEAT else 1):
            await anyio.lowlevel.checkpoint()
        self.seen = boot_now()
        return self.take()

    def put(self, *told: Any) -> None:
        self.inbox.append(told)
        self.woken.set()

    async def bring(self, told: Iterable[tuple[Any, ...]]) -> None:
        """Returns once it was taken."""
        self.inbox.extend(told)
        self.woken.set()
        await self.round.wait()

    async def wait(self, span: float) -> None:
        """Until there is something, for so many seconds at most."""
        if not self.inbox:
            self.woken = anyio.Event()
            with anyio.move_on_after(max(0.0, span)):
                await self.woken.wait()

    def take(self) -> list[tuple[Any, ...]]:
        inputs, self.inbox = self.inbox, []
        self.round.set()
        self.round = anyio.Event()
        return inputs


class Encoder:
    """Messages as frames. One object that goes to many is encoded once."""

    def __init__(self) -> None:
        self.made: OrderedDict[int, tuple[Any, bytes]] = OrderedDict()  # the object too: its id is its own

    def frame(self, message: Any) -> bytes:
        if not isinstance(message, Delta | Part):
            return encode_frame(encode(message))
        known = self.made.get(id(message))
        if known is not None:
            return known[1]
        data = encode_frame(encode(message))
        self.made[id(message)] = message, data
        if len(self.made) > ENCODED_BOUND:
            self.made.popitem(last=False)
        return data


class Outgoing:
    """What waits to be sent on one connection, in order."""

    def __init__(self, end: Callable[[], None]) -> None:
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self.more, self.less = anyio.Event(), anyio.Event()
        self.since = 0  # when what is being sent was begun; 0: nothing is
        self.end = end
        self.last = False  # nothing more comes: it ends once all is sent

    def put(self, frame: bytes) -> None:
        if self.size > OUT_BOUND:
            return  # it ends
        self.waiting.append(frame)
        self.size += len(frame)
        if self.size > OUT_BOUND:
            self.end()
        self.more.set()

    async def flows(self) -> None:
        """Until what waits is little enough for more to be asked."""
        while self.size > FLOWS:
            await self.less.wait()

    async def send(self, stream: ByteStream) -> None:
        """Until it is cancelled, by who looks at `stalls` now and then: a timer for each message would cost a
        relay of many followers a quarter of its core."""
        while True:
            while self.waiting:
                pieces, size = [], 0
                while self.waiting and size < PIECE:
                    pieces.append(self.waiting.popleft())
                    size += len(pieces[-1])
                self.since = boot_now()
                await stream.send(pieces[0] if len(pieces) == 1 else b"".join(pieces))
                self.since = 0
                self.size -= size
                self.less.set()
                self.less = anyio.Event()
            if self.last:
                self.end()
            self.more = anyio.Event()
            await self.more.wait()

    def stalls(self, now: int) -> bool:
        """Whether the peer has taken nothing for too long."""
        return 0 < self.since < now - STALL


async def each_look(look: Callable[[int], None]) -> None:
    """Calls it with the time, twice a second. One look that comes late is left out: after a standstill all
    that peers did meanwhile is taken first."""
    while True:
        began = boot_now()
        await anyio.sleep(LOOK_EVERY / SECOND)
        if (now := boot_now()) < began + 2 * LOOK_EVERY:
            look(now)


class Way:
    """One connection to who serves, from the wish to its end."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.scope = anyio.CancelScope()
        self.out = Outgoing(self.scope.cancel)
        self.dropped = False
        self.why = ""

    def note(self, why: str) -> None:
        self.why = self.why or why

    def look(self, now: int) -> None:
        if self.out.stalls(now):
            self.scope.cancel()


class Up:
    """The one connection of a follower: made, spoken over and dropped as its reducer asks. `rounds` gets
    ("connected", name), ("heard", name, message), ("lost", name, why); nothing of one that was dropped."""

    def __init__(
        self, id: str, sources: dict[str, Address], group: TaskGroup, rounds: Rounds,
        wrap: Callable[[tuple[Any, ...]], tuple[Any, ...]] = lambda told: told,
    ) -> None:  # fmt: skip
        self.id, self.sources, self.group, self.rounds, self.wrap = id, sources, group, rounds, wrap
        self.way: Way | None = None

    def connect(self, name: str) -> None:
        self.drop(self.way.name if self.way is not None else "")
        self.way = Way(name)
        self.group.start_soon(self._hold, self.way)

    def send(self, name: str, message: Any) -> None:
        if self.way is not None and self.way.name == name:
            self.way.out.put(encode_frame(encode(message)))

    def drop(self, name: str) -> None:
        if self.way is not None and self.way.name == name:
            self.way.dropped = True
            self.way.scope.cancel()
            self.way = None

    def _tell(self, way: Way, *told: Any) -> None:
        if not way.dropped:
            self.rounds.put(*self.wrap(told))

    async def _hold(self, way: Way) -> None:
        with way.scope, report_disconnects(way.note):
            with anyio.fail_after(PATIENCE):
                stream = await anyio.connect_tcp(*self.sources[way.name])
            async with stream:
                with anyio.fail_after(PATIENCE):
                    await greet(stream, Hello("follower", self.id))
                self._tell(way, "connected", way.name)
                async with anyio.create_task_group() as group:
                    group.start_soon(way.out.send, stream)
                    group.start_soon(each_look, way.look)
                    await self._read(stream, way)
        if self.way is way:
            self.way = None
        self._tell(way, "lost", way.name, way.why or "it takes nothing")

    async def _read(self, stream: SocketStream, way: Way) -> None:
        unpacker = FrameDecoder(MESSAGE_BOUND)
        while True:
            heard = [decode_source(one) for one in unpacker.feed(await stream.receive(PIECE))]
            if heard and not way.dropped:
                await self.rounds.bring(self.wrap(("heard", way.name, one)) for one in heard)


class Peer:
    """One connection that came in."""

    def __init__(self, number: int, stream: SocketStream) -> None:
        self.number, self.stream = number, stream
        self.scope = anyio.CancelScope()
        self.out = Outgoing(self.end)
        self.id = ""
        self.follows = False  # it has said so; else it asks something and goes
        self.heard_at = boot_now()
        self.why = ""

    def end(self, why: str = "it takes nothing") -> None:
        self.why = self.why or why
        self.scope.cancel()

    def look(self, now: int) -> None:
        if self.out.stalls(now):
            self.end()
        elif self.heard_at < now - IDLE:
            self.end("it says nothing")

    def end_after_sending(self, why: str) -> None:
        self.why = self.why or why
        self.out.last = True
        self.out.more.set()

    def note(self, why: str) -> None:
        self.why = self.why or why


async def greet(stream: ByteStream, own: Hello) -> Hello:
    """From who dials. Raises ProtocolError and what ends a connection."""
    await stream.send(encode_frame(encode(own)))
    there = await receive_hello(stream)
    negotiate_version(own, there)
    return there


async def ask(address: Address, message: Any, kind: type, span: float) -> Any:
    """One question to one that serves, on a connection of its own; an answer of that kind, or None."""
    with anyio.move_on_after(span), suppress(*DISCONNECT_ERRORS):
        with anyio.fail_after(PATIENCE):
            stream = await anyio.connect_tcp(*address)
        async with stream:
            with anyio.fail_after(PATIENCE):
                await greet(stream, Hello("follower", ""))
            await stream.send(encode_frame(encode(message)))
            unpacker = FrameDecoder(MESSAGE_BOUND)
            while True:
                for payload in unpacker.feed(await stream.receive(PIECE)):
                    told = decode_source(payload)
                    if isinstance(told, kind):
                        return told
    return None
