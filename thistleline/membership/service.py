"""A member as a program, or as a part of one: its datagrams and its clock around the gossip."""

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any

import anyio
import msgspec
from anyio.abc import UDPSocket

from thistleline.config.schema import Members
from thistleline.membership.gossip import Gossip, Spans
from thistleline.membership.messages import Facts, Message, Word, decode, encode
from thistleline.store.clock import boot_now, wall_ms
from thistleline.transport.address import parse_address

STANDSTILL = 200_000_000  # ns; after one as long all that lies unread is read first
READ_FIRST = 8  # turns of the loop


class MemberService:
    def __init__(self, conf: Members, facts: Facts, log: Callable[..., None]) -> None:
        """`log` hears of each change."""
        self.conf, self.log = conf, log
        self.chance = Random(os.urandom(8))
        seeds = tuple(text_of(address) for address in conf.seed.values())
        spans = Spans(conf.period, conf.period * 3 // 10)
        self.gossip = Gossip(
            conf.name, text_of(conf.listen), wall_ms(), facts, seeds, boot_now(), spans, self.chance
        )
        self.heard: list[tuple[str, Message]] = []
        self.woken = anyio.Event()
        self.socket: UDPSocket | None = None

    def words(self) -> list[Word]:
        return list(self.gossip.view.words.values())

    async def run(self) -> None:
        """Until it is cancelled; then it leaves aloud. Raises OSError where it can't listen."""
        socket = await anyio.create_udp_socket(local_host=self.conf.listen[0], local_port=self.conf.listen[1])
        async with socket, anyio.create_task_group() as group:
            self.socket = socket
            group.start_soon(self._read, socket)
            self.log("started", id=self.conf.name, listen=text_of(self.conf.listen))
            try:
                await self._pump(socket)
            finally:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    await self._carry_out(socket, self.gossip.take(boot_now(), "leave"))
                    self.log("left", id=self.conf.name)

    async def _read(self, socket: UDPSocket) -> None:
        async for data, (host, port) in socket:
            # Whatever comes from strangers is no message, and nothing ends by it.
            with suppress(msgspec.MsgspecError):
                self.heard.append((text_of((host, port)), decode(data)))
                self.woken.set()

    async def _pump(self, socket: UDPSocket) -> None:
        seen = boot_now()
        while True:
            if not self.heard:
                self.woken = anyio.Event()
                with anyio.move_on_after(max(0.0, (self.gossip.due() - boot_now()) / 1e9)):
                    await self.woken.wait()
            turns = READ_FIRST if boot_now() - seen > STANDSTILL + self.conf.period else 1
            for _ in range(turns):
                await anyio.lowlevel.checkpoint()
            seen = now = boot_now()
            heard, self.heard = self.heard, []
            effects: list[tuple[Any, ...]] = []
            for address, message in heard:
                effects += self.gossip.take(now, "heard", address, message)
            if self.gossip.due() <= boot_now():
                effects += self.gossip.take(boot_now(), "elapsed")
            await self._carry_out(socket, effects)

    async def _carry_out(self, socket: UDPSocket, effects: list[tuple[Any, ...]]) -> None:
        for effect in effects:
            if effect[0] == "send":
                # No way there just now, or no such address: as if it was lost.
                with suppress(OSError, ValueError):
                    await socket.sendto(encode(effect[2]), *parse_address(effect[1]))
            elif effect[0] == "log":
                self.log(effect[1], **effect[2])


def text_of(address: tuple[Any, ...]) -> str:
    host, port = address[0], address[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def run(conf: Members, facts: Facts, log: Callable[..., None]) -> None:
    """A member alone, in the foreground, until SIGTERM or SIGINT."""

    async def main() -> None:
        service = MemberService(conf, facts, log)
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

    anyio.run(main)


async def ask(address: tuple[str, int], span: float) -> list[Word]:
    """All that the member at this address knows; what came within the span."""
    from thistleline.membership.messages import Join, Share

    found: dict[str, Word] = {}
    async with await anyio.create_connected_udp_socket(*address) as socket:
        with anyio.move_on_after(span), suppress(OSError):
            await socket.send(encode(Join(())))
            while True:
                message = decode(await socket.receive())
                if isinstance(message, Share):
                    found |= {word.id: word for word in message.words}
    return sorted(found.values(), key=lambda word: word.id)
