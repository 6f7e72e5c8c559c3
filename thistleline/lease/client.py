"""A client of the council: one connection to whoever leads, found by asking around."""

import os
from collections.abc import Callable
from random import Random

import anyio
import msgspec
from anyio.abc import SocketStream

from thistleline.lease.protocol import Answer, Elsewhere, Op
from thistleline.lease.wire import Hint, Request, decode_reply, encode
from thistleline.transport.address import Address
from thistleline.transport.codec import (
    MAX_CLIENT_MESSAGE_SIZE,
    FrameDecoder,
    Hello,
    encode_frame,
    negotiate_version,
)
from thistleline.transport.disconnects import DISCONNECT_ERRORS

PATIENCE = 1.0  # s for a connection with its greeting
ANSWER_SPAN = 1.5  # s; a voter that is silent for so long is not asked again at once
OPEN_BOUND = 256
_first = msgspec.msgpack.Decoder(Hello).decode


class Council:
    """`ask` never raises for what a voter or a net does: it answers Elsewhere, and the next is asked then.

    async with anyio.create_task_group() as group:
        council = Council({"a": ("127.0.0.1", 7001), ...}, group)
        answer = await council.ask(Show("rollout"))
    """

    def __init__(
        self, voters: dict[str, Address], group: anyio.abc.TaskGroup, chance: Random | None = None
    ) -> None:
        self.voters, self.group = voters, group
        self.chance = chance or Random(os.urandom(8))
        self.at = self.chance.choice(sorted(voters))  # who is asked
        self.stream: SocketStream | None = None
        self.making = anyio.Lock()
        self.number = 0
        self.open: dict[int, tuple[anyio.Event, list[Answer]]] = {}
        self.hinted: dict[str, Callable[[], None]] = {}  # by asker

    async def ask(self, op: Op) -> Answer:
        """One request to one voter."""
        if len(self.open) >= OPEN_BOUND:
            return Elsewhere("too much is asked here at once", "")
        number, event, found = -1, anyio.Event(), list[Answer]()
        asked = ""
        try:
            with anyio.move_on_after(ANSWER_SPAN):
                async with self.making:
                    stream = self.stream if self.stream is not None else await self._connect()
                    asked = self.at
                    self.number += 1
                    number = self.number
                    self.open[number] = event, found
                    await stream.send(encode_frame(encode(Request(number, op))))
                await event.wait()
        except DISCONNECT_ERRORS:
            pass
        finally:
            self.open.pop(number, None)
        if not found:
            self._turn(asked, "")
            return Elsewhere("no answer", "")
        answer = found[0]
        if isinstance(answer, Elsewhere):
            self._turn(asked, answer.leader)
        return answer

    async def surely(self, op: Op, span: float) -> Answer:
        """Asks until something is decided, for so many seconds at most. For what may be asked twice."""
        until, pause = anyio.current_time() + span, 0.02
        while True:
            answer = await self.ask(op)
            if not isinstance(answer, Elsewhere) or anyio.current_time() >= until:
                return answer
            await anyio.sleep(pause * self.chance.uniform(0.5, 1.5))
            pause = min(0.3, 2 * pause)

    def _turn(self, asked: str, leader: str) -> None:
        """Whom to ask next: the leader where it is known, else another than this one."""
        if asked and asked != self.at:
            return  # somebody has turned already
        name = leader.partition(".")[0]
        if name not in self.voters or name == self.at:
            if name == self.at and leader:
                return  # it leads and can't take it just now
            others = [one for one in sorted(self.voters) if one != self.at]
            name = self.chance.choice(others) if others else self.at
        self.at = name
        self._drop(self.stream)

    def _drop(self, stream: SocketStream | None) -> None:
        if stream is not None and self.stream is stream:
            self.stream = None
            waiting, self.open = self.open, {}
            for event, _ in waiting.values():
                event.set()
            self.group.start_soon(anyio.aclose_forcefully, stream)

    async def _connect(self) -> SocketStream:
        with anyio.fail_after(PATIENCE):
            stream = await anyio.connect_tcp(*self.voters[self.at])
        hello = Hello("client", "")
        await stream.send(encode_frame(encode(hello)))
        self.stream = stream
        self.group.start_soon(self._read, stream, hello)
        return stream

    async def _read(self, stream: SocketStream, hello: Hello) -> None:
        unpacker, greeted = FrameDecoder(MAX_CLIENT_MESSAGE_SIZE), False
        try:
            while True:
                for payload in unpacker.feed(await stream.receive(1 << 16)):
                    if not greeted:
                        negotiate_version(hello, _first(payload))
                        greeted = True
                        continue
                    told = decode_reply(payload)
                    if isinstance(told, Hint):
                        self.hinted.get(told.asker, _nobody)()
                    elif told.number in self.open:
                        event, found = self.open.pop(told.number)
                        found.append(told.answer)
                        event.set()
        except DISCONNECT_ERRORS:
            self._drop(stream)


def _nobody() -> None:
    return None
