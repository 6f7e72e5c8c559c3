"""A keeper or a relay of the feed as a program: listener, links, clock, disk, lease and council around the
reducers. A keeper that holds the lease `feed` writes; the others follow it, relays follow what is above them.
"""

import gc
import os
import resource
import signal
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from random import Random
from typing import Any

import anyio
import msgspec
from anyio.abc import Listener, SocketStream

from thistleline.config.schema import ConsensusConfig as CouncilConf
from thistleline.config.schema import FeedConfig
from thistleline.config_feed.archive_writer import Persist
from thistleline.config_feed.connections import PIECE, Encoder, Peer, Rounds, Up, each_look
from thistleline.config_feed.limits import ID_BOUND, MADE_SLOTS, MESSAGE_BOUND, SECOND
from thistleline.config_feed.messages import Look, Looked, Propose, Proposed, decode_follower
from thistleline.config_feed.relay import Station
from thistleline.config_feed.table import Table
from thistleline.lease.client import LeaseClient
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_events import ReleaseRequested
from thistleline.lease.protocol import Denied, Done, Get, Got
from thistleline.lease.session import HolderDriver
from thistleline.store.clock import boot_now
from thistleline.transport.address import Address
from thistleline.transport.codec import FrameDecoder, Hello, ProtocolError, encode_frame, negotiate_version
from thistleline.transport.disconnects import report_disconnects
from thistleline.transport.handshake import receive_hello

LEASE = "feed"
HELLO_SPAN = 2.0  # s
GUESTS_BOUND = 64  # connections beside the followers
SPARE_FILES = 64  # descriptors for what else there is
LOOK_BOUND, LOOK_SIZE = 128, MESSAGE_BOUND // 2  # keys, bytes of values in one answer
GET_SPAN = 0.8  # s; the writer asks each second
ACCEPT_PAUSE = 0.1  # s after one that came to nothing
SAID_BOUND = 32  # lines a second of what others do
FREEZE_EVERY = 1 << 16  # changes
LEAVE_SPAN = 3.0  # s to give the lease back and to write down what waits


class FeedService:
    def __init__(
        self,
        conf: FeedConfig,
        council: CouncilConf | None,
        log: Callable[..., None],
        chance: Random | None = None,
    ) -> None:
        """Takes the folder and reads it; blocks. Raises DiskLockedError, CorruptFrameError, OSError."""
        assert conf.name is not None
        assert conf.listen is not None
        self.conf, self.log, self.chance = conf, log, chance or Random(os.urandom(8))
        self.name, self.listen = conf.name, conf.listen
        self.voters = dict(council.voter) if council is not None and conf.role == "keeper" else {}
        self.sources = sources_of(conf)
        self.rounds, self.encoder = Rounds(), Encoder()
        self.persist = Persist(conf.folder, "all", log, self._durable) if conf.folder is not None else None
        self.station = Station(
            self.name,
            conf.level,
            self.persist.table if self.persist is not None else Table(),
            tuple(self.sources),
            boot_now(),
            self._spread,
            tuple(sorted(conf.keeper)) if self.voters else (),
            conf.followers,
        )
        self.peers: dict[int, Peer] = {}
        self.guests: OrderedDict[int, Peer] = OrderedDict()  # of these who does not follow, the first first
        self.count = 0
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.peers_bound = max(1, min(conf.followers + GUESTS_BOUND, files - SPARE_FILES))
        self.holding: HolderDriver | None = None
        self.epoch = 0  # of the lease that is held here; 0 without
        self.leaving = False
        self.given_back = anyio.Event()
        self.told: dict[str, str] = {}  # what was last said of somebody
        self.said = self.said_until = 0  # how much was said in this second, and when that is over
        self.phase = ("", "")  # what was last said of itself
        self.frozen = 0  # the number of the table as it was frozen last

    def _spread(self, span: int) -> int:
        return self.chance.randrange(span + 1)

    def _durable(self, number: int) -> None:
        assert self.persist is not None
        self.rounds.put("durable", number, self.persist.line)

    # ---- the program

    async def run(self) -> None:
        """Until SIGTERM or SIGINT. Raises OSError where it can't listen."""
        # Open to the very end: guards against a second notice that would end it at once, by the signal.
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await self._run(signals)

    async def _run(self, signals: AsyncIterator[signal.Signals]) -> None:
        listener = await anyio.create_tcp_listener(local_host=self.listen[0], local_port=self.listen[1])
        table = self.station.table
        self.log("started", id=self.name, role=self.conf.role, level=self.conf.level, number=table.number,
                 digest=table.digest("all").hex(), listen=f"{self.listen[0]}:{self.listen[1]}",
                 connections=self.peers_bound)  # fmt: skip
        self._freeze(table)
        async with listener, anyio.create_task_group() as group:
            self.group = group
            self.up = Up(self.name, self.sources, group, self.rounds, lambda told: ("up", *told))
            group.start_soon(self._until_told, signals, group.cancel_scope)
            for one in listener.listeners:
                group.start_soon(self._accept, one)
            group.start_soon(self._pump)
            group.start_soon(each_look, self._look_at_peers)
            if self.persist is not None:
                group.start_soon(self.persist.run)
            if self.voters:
                self.council = LeaseClient(self.voters, group, self.chance)
                group.start_soon(self._hold)
        if self.persist is not None:
            self.persist.close()
        self.log("left", number=self.station.table.number)

    async def _until_told(self, signals: AsyncIterator[signal.Signals], scope: anyio.CancelScope) -> None:
        async for _ in signals:
            break
        self.log("leaving", number=self.station.table.number)
        self.leaving = True
        with anyio.move_on_after(LEAVE_SPAN):
            if self.holding is not None and self.holding.holder.phase != "ended":
                self.holding.handle(ReleaseRequested())
                await self.given_back.wait()
            if self.persist is not None:
                await self.persist.flushed()
        scope.cancel()

    def _freeze(self, table: Table) -> None:
        """Leaves what is held now to itself, as it stays for long. Guards against collections that go through
        a whole table: at 1.3 million tenants one stands still for longer than followers wait (`SILENT`). What
        lives now and later dies as a cycle stays, so it is done seldom."""
        self.frozen = table.number
        gc.collect(1)
        gc.freeze()

    def _look_at_peers(self, now: int) -> None:
        for peer in self.peers.values():
            peer.look(now)

    async def _pump(self) -> None:
        while True:
            for told in await self.rounds.next(self.station.due()):
                getattr(self, f"_on_{told[0]}")(*told[1:])
            if self.station.due() <= boot_now():
                self._take("elapsed")
            self._tell_phase()

    def _take(self, part: str, *told: Any) -> None:
        for effect in self.station.take(boot_now(), part, *told):
            self._carry_out(*effect)

    # ---- inputs

    def _on_peer(self, number: int, message: Any) -> None:
        peer = self.peers.get(number)
        if peer is None:
            return
        if isinstance(message, Propose):
            for effect in self.station.propose(boot_now(), number, message):
                self._carry_out(*effect)
        elif isinstance(message, Look):
            self._look(peer, message)
        else:
            if not peer.follows:
                peer.follows = True
                self.guests.pop(number, None)
                self._take("down", "joined", number)
            self._take("down", "heard", number, message)

    def _on_left(self, number: int) -> None:
        self._take("down", "left", number)

    def _on_up(self, *told: Any) -> None:
        if told[0] == "lost":
            self._say("lost", told[1], told[2])
        self._take("up", *told)

    def _on_durable(self, number: int, line: int) -> None:
        if self.persist is not None and line == self.persist.line:
            self._take("durable", number)

    def _on_lease(self, kind: str, told: Any) -> None:
        self.epoch = told if kind == "held" else 0
        self._take("writer", kind, told)

    def _on_errand(self, epoch: int, *told: Any) -> None:
        """What the council said; to an epoch that is over it says nothing."""
        if epoch == self.epoch:
            self._take("writer", *told)

    # ---- effects

    def _say(self, what: str, of: str, why: str) -> None:
        """Once, till something else is to be said of the same one; so many a second at most: guards against
        a log that is as long as strangers want, each by a name of its own."""
        now = boot_now()
        if now >= self.said_until:
            self.said, self.said_until = 0, now + SECOND
        if self.told.get(of) == why or self.said == SAID_BOUND:
            return
        if len(self.told) > 1024:
            self.told.clear()
        self.told[of] = why
        self.said += 1
        self.log(what, of=of, why=why)

    def _carry_out(self, kind: str, *told: Any) -> None:
        if kind == "up":
            self.up.send(told[0], told[1])
        elif kind == "down":
            peer = self.peers.get(told[0])
            if peer is not None:
                peer.out.put(self.encoder.frame(told[1]))
        elif kind == "connect":
            self.up.connect(told[0])
        elif kind == "drop":
            self._say("dropped", told[0], told[1])
            self.up.drop(told[0])
        elif kind == "close":
            peer = self.peers.get(told[0])
            if peer is not None:
                self._say("refused", peer.id, told[1])
                peer.end_after_sending(told[1])
        elif kind == "step":
            if self.persist is not None:
                self.persist.step(*told)
            if told[0].number >= self.frozen + FREEZE_EVERY:
                self._freeze(told[0])
        elif kind == "anew":
            table = told[0]
            if self.persist is not None:
                self.persist.anew(table)
            self._freeze(table)
            self.log("loaded", number=table.number, digest=table.digest("all").hex())
        elif kind == "get":
            self.group.start_soon(self._get, self.epoch, *told)
        elif kind == "put":
            self.group.start_soon(self._put, self.epoch, *told)
        elif kind == "answer":
            self._answer(*told)
        elif kind == "release":
            if self.holding is not None:
                self.holding.handle(ReleaseRequested())
        elif kind == "log":
            self.log(told[0], **told[1])

    def _tell_phase(self) -> None:
        """Whom it follows, or that it writes: once each time that is another."""
        station = self.station
        phase = station.phase, station.follower.at
        if phase != self.phase and phase[0] in ("following", "writing"):
            self.phase = phase
            self.log(phase[0], at=phase[1], number=station.table.number, epoch=station.told[0])

    def _answer(self, number: int, told: Proposed) -> None:
        peer = self.peers.get(number)
        if peer is not None:
            peer.out.put(self.encoder.frame(told))

    def _look(self, peer: Peer, told: Look) -> None:
        station, size = self.station, 0
        items: list[tuple[str, bytes | None, int]] = []
        for key in told.keys[:LOOK_BOUND]:
            value, version = station.table.get(key) or (None, 0)
            size += len(key) + len(value or b"")
            if size > LOOK_SIZE:
                break
            items.append((key, value, version))
        epoch, holds, _ = station.told
        answer = Looked(station.table.number, station.table.digest("all"), epoch, station.phase, holds,
                        tuple(items), self._facts())  # fmt: skip
        peer.out.put(self.encoder.frame(answer))

    def _facts(self) -> dict[str, int]:
        station = self.station
        table = station.table
        return {
            "level": self.conf.level,
            "followers": len(station.source.peers),
            "wide": len(table.wide),
            "tenants": max(0, len(table.tenants) - min(table.number, MADE_SLOTS)),
            "base": station.history.base,
            "durable": self.persist.durable if self.persist is not None else 0,
            **(station.writer.facts() if station.writer is not None and station.holds else {}),
        }

    async def _get(self, epoch: int, slot: int, key: str) -> None:
        """One question; the writer asks again where none is answered."""
        answer = await self.council.request_until_decided(Get(key), GET_SPAN)
        if isinstance(answer, Got):
            self.rounds.put("errand", epoch, "got", slot, answer.value, answer.version)

    async def _put(self, epoch: int, slot: int, put: Any) -> None:
        answer = await self.council.request(put)
        if isinstance(answer, Done):
            self.rounds.put("errand", epoch, "put_done", slot, answer.version)
        elif isinstance(answer, Denied):
            self.rounds.put("errand", epoch, "put_denied", slot, answer.reason)
        else:
            self.rounds.put("errand", epoch, "put_unknown", slot)

    # ---- the lease

    async def _hold(self) -> None:
        """Wants the lease as long as the program runs."""
        while not self.leaving:
            asker = f"{self.name}.{os.getpid()}.{os.urandom(6).hex()}"
            hold = LeaseHolder(LEASE, asker, self.conf.lease, True, boot_now(), self._spread)
            holding = self.holding = HolderDriver(self.council, hold)
            async with anyio.create_task_group() as group:
                group.start_soon(holding.run, group)
                await holding.settled.wait()
                if hold.phase == "held":
                    self.log("holds", epoch=hold.epoch)
                    self.rounds.put("lease", "held", hold.epoch)
                    await holding.ended.wait()
                    self.log("lost", epoch=hold.epoch, why=hold.end_reason)
                    self.rounds.put("lease", "lost", hold.end_reason)
                group.cancel_scope.cancel()
            holding.close()
            if not self.leaving:
                # Who gave it back lets another have it first.
                await anyio.sleep(self.conf.lease / SECOND * self.chance.uniform(0.3, 0.6))
        self.given_back.set()

    # ---- who comes

    async def _accept(self, listener: Listener[SocketStream]) -> None:
        """Guards against the end of all by one that came to nothing, or where no descriptor is left."""
        while True:
            try:
                await listener.serve(self._serve, self.group)
            except OSError as error:
                self._say("refused", "who comes", error.strerror or str(error))
            await anyio.sleep(ACCEPT_PAUSE)

    async def _serve(self, stream: SocketStream) -> None:
        if len(self.peers) >= self.peers_bound:
            self._say("refused", "who comes", "all connections are taken")
            if not self.guests:
                await anyio.aclose_forcefully(stream)
                return
            # Guards against those who only connect: who means to follow or asks something is soon done.
            self.guests.popitem(last=False)[1].end("another came")
        self.count += 1
        peer = Peer(self.count, stream)
        self.peers[peer.number] = self.guests[peer.number] = peer
        try:
            with peer.scope, report_disconnects(peer.note):
                async with stream:
                    with anyio.fail_after(HELLO_SPAN):
                        there = await receive_hello(stream)
                        own = Hello("follower", self.name)
                        negotiate_version(own, there)
                        if there.kind != "follower":
                            raise ProtocolError(f"a {there.kind} has no business here")
                        peer.id = there.id[:ID_BOUND]
                        await stream.send(encode_frame(msgspec.msgpack.encode(own)))
                    async with anyio.create_task_group() as group:
                        group.start_soon(peer.out.send, stream)
                        await self._read(peer)
        finally:
            del self.peers[peer.number]
            self.guests.pop(peer.number, None)
            if peer.follows:
                self.rounds.put("left", peer.number)

    async def _read(self, peer: Peer) -> None:
        unpacker = FrameDecoder(MESSAGE_BOUND)
        while True:
            data = await peer.stream.receive(PIECE)
            peer.heard_at = boot_now()
            for one in unpacker.feed(data):
                await self.rounds.bring([("peer", peer.number, decode_follower(one))])
                await peer.out.flows()


def sources_of(conf: FeedConfig) -> dict[str, Address]:
    """Whom this one may follow, in the order of the lines: of a keeper the others, by the ways told."""
    if conf.role != "keeper":
        return dict(conf.up)
    return {name: conf.up.get(name, at) for name, at in conf.keeper.items() if name != conf.name}


def run(conf: FeedConfig, council: CouncilConf | None, log: Callable[..., None]) -> None:
    with suppress(KeyboardInterrupt):
        anyio.run(FeedService(conf, council, log).run)
