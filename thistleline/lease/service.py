"""A voter as a program: its listener, its links, its disk and its clock around lease/server.py."""

import os
import signal
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random
from typing import Any

import anyio
import anyio.to_thread
from anyio.abc import ByteStream, SocketStream, TaskGroup

from thistleline.config.schema import Council
from thistleline.consensus.messages import Append, Base
from thistleline.consensus.replica import Spans, Voter, Work
from thistleline.consensus.store import CouncilStore
from thistleline.lease.server import Office
from thistleline.lease.table import Table
from thistleline.lease.wire import Hint, Reply, decode_request, decode_voter, encode
from thistleline.store.clock import boot_now, wall_ms
from thistleline.store.disk import Disk
from thistleline.transport.address import Address, parse_address
from thistleline.transport.codec import (
    MAX_CLIENT_MESSAGE_SIZE,
    MAX_REPLICA_MESSAGE_SIZE,
    FrameDecoder,
    Hello,
    ProtocolError,
    encode_frame,
    negotiate_version,
)
from thistleline.transport.connection import SEND_TIMEOUT, MessageConnection
from thistleline.transport.disconnects import report_disconnects
from thistleline.transport.handshake import receive_hello

MS = 1_000_000
STANDSTILL = 100 * MS  # after one as long all that lies unread is read first, then the clock is heeded
READ_FIRST = 8  # turns of the loop
CONNECTIONS_BOUND = 1024  # past it the longest silent gives way
OPEN_BOUND = 256  # requests of one connection that wait for an answer; past it it is not read
OUT_BOUND = 4 << 20  # bytes that a client does not read; past it it is let go
HELLO_SPAN = 2.0  # s
INBOX_BOUND = 50_000
CALLERS_BOUND = 16


class Guest:
    """One connection that came in."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.out = bytearray()
        self.more = anyio.Event()
        self.open = 0
        self.room = anyio.Event()
        self.scope = anyio.CancelScope()

    def write(self, payload: bytes) -> None:
        self.out += encode_frame(payload)
        if len(self.out) > OUT_BOUND:
            self.scope.cancel()
        self.more.set()


class VoterService:
    def __init__(self, conf: Council, log: Callable[..., None], chance: Random | None = None) -> None:
        """Takes the folder and reads it; blocks. Raises CorruptFrameError, DiskLockedError, OSError."""
        assert conf.folder is not None
        assert conf.listen is not None
        assert conf.name is not None
        self.conf, self.log, self.chance = conf, log, chance or Random(os.urandom(8))
        self.listen: Address = conf.listen
        disk = Disk(conf.folder, "council")
        disk.acquire()
        self.store = CouncilStore(disk)
        found = self.store.recover()
        spans = Spans(conf.heartbeat, conf.election, 2 * conf.election)
        # Its id names this disk. An empty one gets another: whatever the one before has promised is unknown.
        id = found.base.id if found is not None else f"{conf.name}.{os.urandom(4).hex()}"
        voter = Voter(id, Table(), boot_now(), spans, self._spread, found)
        if found is None:
            begin = Base(id, "", 0, "", 0, 0, (), b"")
            self.store.write(Work(True, (begin,)))
        self.office, self.voter = Office(voter, wall_ms), voter
        self.inbox: list[tuple[Any, ...]] = []
        self.woken = anyio.Event()
        self.links: dict[str, MessageConnection] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.guests: OrderedDict[int, Guest] = OrderedDict()
        self.askers: OrderedDict[str, int] = OrderedDict()  # by which connection an asker was last heard
        self.callers: dict[str, str] = {}  # the voters that spoke to it last, and where they are
        self.count = 0
        self.told: dict[str, str] = {}  # what was last said of a link

    def _spread(self, span: int) -> int:
        return self.chance.randrange(span)

    async def run(self) -> None:
        """Until SIGTERM or SIGINT. Raises OSError where it can't listen."""
        listener = await anyio.create_tcp_listener(local_host=self.listen[0], local_port=self.listen[1])
        self.log("started", id=self.voter.id, council=self.voter.council, phase=self.voter.phase,
                 last=self.voter.log.last, listen=f"{self.listen[0]}:{self.listen[1]}")  # fmt: skip
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self._until_told, group.cancel_scope)
            group.start_soon(listener.serve, self._serve)
            group.start_soon(self._pump, group)

    async def _until_told(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.log("ended", term=self.voter.term)
                scope.cancel()
                return

    def take(self, *told: Any) -> None:
        """Past the bound what others say is lost, as the net loses some too; never what the disk says."""
        if len(self.inbox) < INBOX_BOUND or told[0] in ("written", "unwritten"):
            self.inbox.append(told)
            self.woken.set()
        elif told[0] == "asked":
            told[1][0].open -= 1
            told[1][0].room.set()

    async def _pump(self, group: TaskGroup) -> None:
        seen = boot_now()
        while True:
            if not self.inbox:
                self.woken = anyio.Event()
                wait = (self.office.due() - boot_now()) / 1e9
                with anyio.move_on_after(max(0.0, wait)):
                    await self.woken.wait()
            # Whoever stood still may have been spoken to meanwhile: that is read first.
            turns = READ_FIRST if boot_now() - seen > STANDSTILL + self.conf.heartbeat else 1
            for _ in range(turns):
                await anyio.lowlevel.checkpoint()
            seen = now = boot_now()
            inputs, self.inbox = self.inbox, []
            for effect in self.office.take(now, *inputs):
                self._carry_out(effect)
            if self.office.due() <= boot_now() and not self.inbox:
                for effect in self.office.take(boot_now(), ("elapsed",)):
                    self._carry_out(effect)
            self._tend_links(group)

    # ---- effects

    def _carry_out(self, effect: tuple[Any, ...]) -> None:
        kind = effect[0]
        if kind == "send":
            link = self.links.get(effect[1])
            if link is not None:
                message = effect[2]
                link.send(encode(message), isinstance(message, Append) and not message.entries)
        elif kind == "write":
            self.group.start_soon(self._write, effect[1])
        elif kind == "answer":
            guest, number = effect[1]
            guest.open -= 1
            guest.room.set()
            guest.write(encode(Reply(number, effect[2])))
        elif kind == "hint":
            known = self.guests.get(self.askers.get(effect[2], -1))
            if known is not None:
                known.write(encode(Hint(effect[1], effect[2])))
        elif kind == "log":
            self.log(effect[1], **effect[2])
        elif kind == "led":
            self.log("led", by=effect[1], term=self.voter.term)

    async def _write(self, work: Work) -> None:
        try:
            await anyio.to_thread.run_sync(self.store.write, work)
        except Exception as error:  # whatever a disk brings, the voter hears of it
            self.take("unwritten", getattr(error, "strerror", None) or f"{type(error).__name__}: {error}")
        else:
            self.take("written")

    def _tend_links(self, group: TaskGroup) -> None:
        """One to each other voter, and to one that is to be added."""
        wanted = {one.id: one.address for one in self.voter.members if one.id != self.voter.id}
        if self.voter.phase == "unformed":
            wanted |= self.callers
        elif self.voter.leader in self.callers:
            # Guards one that was given an old state: the members in it may not know who leads now, and a
            # leader that is not answered never lets it catch up.
            wanted.setdefault(self.voter.leader, self.callers[self.voter.leader])
            wanted.pop(self.voter.id, None)
        joining = self.voter.joining
        if joining is not None:
            wanted[joining.member.id] = joining.member.address
        if wanted.keys() == self.links.keys():
            return
        for id in self.links.keys() - wanted.keys():
            self.scopes.pop(id).cancel()
            del self.links[id]
        for id in wanted.keys() - self.links.keys():
            name = id.partition(".")[0]
            try:
                address = self.conf.via.get(name) or parse_address(wanted[id])
            except ValueError as error:
                self.log("link", to=id, why=str(error))
                continue
            self.links[id] = MessageConnection(
                address, partial(self._greet, id), self.chance, partial(self._of_link, id)
            )
            self.scopes[id] = anyio.CancelScope()
            group.start_soon(self._hold, self.links[id], self.scopes[id])

    async def _hold(self, link: MessageConnection, scope: anyio.CancelScope) -> None:
        with scope:
            await link.run()

    def _of_link(self, id: str, why: str) -> None:
        if self.told.get(id) != why:
            self.told[id] = why
            self.log("link", to=id, why=why)

    async def _greet(self, id: str, stream: ByteStream) -> None:
        await stream.send(encode_frame(encode(self._own_hello())))
        there = await receive_hello(stream)
        negotiate_version(self._own_hello(), there)
        if there.id != id:
            raise ProtocolError(f"{there.id} is there, not {id}")
        self._of_link(id, "up")

    def _own_hello(self) -> Hello:
        host, port = self.listen
        return Hello("voter", self.voter.id, self.voter.council, f"[{host}]:{port}")

    # ---- who comes

    async def _serve(self, stream: SocketStream) -> None:
        self.count += 1
        name, guest = self.count, Guest(stream)
        self.guests[name] = guest
        if len(self.guests) > CONNECTIONS_BOUND:
            next(iter(self.guests.values())).scope.cancel()
        try:
            with guest.scope, report_disconnects(partial(self._of_guest, name)):
                async with stream:
                    with anyio.fail_after(HELLO_SPAN):
                        hello = await receive_hello(stream)
                    negotiate_version(self._own_hello(), hello)
                    await stream.send(encode_frame(encode(self._own_hello())))
                    if hello.kind == "voter":
                        await self._hear(stream, hello)
                    elif hello.kind == "client":
                        await self._answer(name, guest)
                    else:
                        raise ProtocolError(f"a {hello.kind} has no business here")
        finally:
            self.guests.pop(name, None)

    def _of_guest(self, name: int, why: str) -> None:
        if why not in ("EndOfStream", "BrokenResourceError", "ClosedResourceError"):
            self._of_link("who came", why)

    async def _hear(self, stream: SocketStream, hello: Hello) -> None:
        """A voter's messages. One of another council is not heard; an empty one may be spoken to by any."""
        if hello.address:
            self.callers.pop(hello.id, None)
            self.callers[hello.id] = hello.address
            while len(self.callers) > CALLERS_BOUND:
                del self.callers[next(iter(self.callers))]
            self.woken.set()
        unpacker = FrameDecoder(MAX_REPLICA_MESSAGE_SIZE)
        while True:
            for payload in unpacker.feed(await stream.receive(1 << 18)):
                own = self.voter.council
                if own and hello.cluster not in (own, ""):
                    raise ProtocolError(f"{hello.id} is of another council")
                self.take("heard", hello.id, decode_voter(payload))

    async def _answer(self, name: int, guest: Guest) -> None:
        unpacker = FrameDecoder(MAX_CLIENT_MESSAGE_SIZE)
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_out, guest)
            while True:
                for payload in unpacker.feed(await guest.stream.receive(1 << 16)):
                    request = decode_request(payload)
                    while guest.open >= OPEN_BOUND:
                        guest.room = anyio.Event()
                        await guest.room.wait()
                    guest.open += 1
                    self._remember(name, request.op)
                    self.take("asked", (guest, request.number), request.op)
                self.guests.move_to_end(name)

    def _remember(self, name: int, op: Any) -> None:
        asker = getattr(op, "asker", "") or (op.names[0][1] if getattr(op, "names", ()) else "")
        if asker:
            self.askers[asker] = name
            self.askers.move_to_end(asker)
            if len(self.askers) > INBOX_BOUND:
                self.askers.popitem(last=False)

    async def _write_out(self, guest: Guest) -> None:
        while True:
            while guest.out:
                data, guest.out = bytes(guest.out), bytearray()
                with anyio.fail_after(SEND_TIMEOUT):
                    await guest.stream.send(data)
            guest.more = anyio.Event()
            await guest.more.wait()


def run(conf: Council, log: Callable[..., None]) -> None:
    with suppress(KeyboardInterrupt):
        anyio.run(VoterService(conf, log).run)
