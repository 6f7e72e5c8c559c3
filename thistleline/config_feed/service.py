"""Runs a keeper or a relay: connects `FeedRelay` to its listener, upstream connection, archive and lease.

The keeper that holds the lease `feed` is the writer. The other keepers follow it, and relays follow keepers
or relays of a lower level.
"""

from __future__ import annotations

import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import nullcontext, suppress
from random import Random

import anyio
from anyio.abc import TaskGroup

from thistleline.config.schema import ConsensusConfig, FeedConfig
from thistleline.config_feed.archive_writer import ArchiveWriter
from thistleline.config_feed.effects import (
    CloseDownstream,
    ConnectUpstream,
    DisconnectUpstream,
    PersistStep,
    PersistTable,
    SendDownstream,
    SendUpstream,
)
from thistleline.config_feed.events import (
    StateDurable,
    SubscriberJoined,
    SubscriberLeft,
    SubscriberMessage,
    UpstreamConnected,
    UpstreamLost,
    UpstreamMessage,
)
from thistleline.config_feed.heap_freezer import HeapFreezer
from thistleline.config_feed.inbox import EventInbox
from thistleline.config_feed.listener import FeedListener
from thistleline.config_feed.messages import Propose, ReadRequest
from thistleline.config_feed.peer_log import PeerLog
from thistleline.config_feed.record_client import RecordClient
from thistleline.config_feed.relay import FeedRelay, RelayEffect, RelayEvent
from thistleline.config_feed.send_queue import check_regularly
from thistleline.config_feed.service_events import ArchiveDurable, RecordAnswered, ServiceEvent
from thistleline.config_feed.status import read_result
from thistleline.config_feed.table import FeedTable
from thistleline.config_feed.upstream import UpstreamConnection
from thistleline.config_feed.writer_effects import AnswerProposal, ReadRecord, ReleaseLease, WriteRecord
from thistleline.config_feed.writer_events import LeaseAcquired, LeaseLost
from thistleline.config_feed.writer_lease import WriterLease
from thistleline.lease.client import LeaseClient
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now
from thistleline.transport.address import Address
from thistleline.transport.listening import listen

SHUTDOWN_TIMEOUT = 3.0  # s to release the lease and to write pending changes to the archive


class FeedService:
    """A keeper or a relay.

    Attributes:
        relay: The state machine.
        listener: Incoming connections.
        archive: The state on disk, if a folder is configured.
        peer_log: Rate-limited log of events that concern peers.
        address: The address to listen on.
        inbox: Events that have not been handled yet.
    """

    def __init__(
        self,
        config: FeedConfig,
        consensus: ConsensusConfig | None,
        log: Callable[..., None],
        random: Random | None = None,
    ) -> None:
        """Lock the folder and recover the last state from it; blocks.

        Args:
            config: Settings of the keeper or relay, with a name and an address to listen on.
            consensus: For a keeper, the addresses of the consensus cluster.
            log: Called with an event's name and its fields.
            random: Generates the random delays.

        Raises:
            DiskLockedError: The folder is in use.
            CorruptFrameError: The folder does not hold an archive of a feed.
            OSError: The folder cannot be read.
        """
        assert config.name is not None
        assert config.listen is not None
        self.config = config
        self.log = log
        self.name = config.name
        self.address = config.listen
        self._random = random or Random(os.urandom(8))
        is_keeper = consensus is not None and config.role == "keeper"
        self._replicas = dict(consensus.voter) if consensus is not None and is_keeper else {}
        self._sources = sources_of(config)
        self.inbox: EventInbox[ServiceEvent] = EventInbox()
        self.peer_log = PeerLog(log)
        self.listener = FeedListener(self.name, config.followers, self.inbox, self.peer_log)
        self.archive: ArchiveWriter | None = None
        if config.folder is not None:
            self.archive = ArchiveWriter(config.folder, "all", log, self._on_archive_written)
        self.relay = FeedRelay(
            self.name,
            config.level,
            self.archive.table if self.archive is not None else FeedTable(),
            tuple(self._sources),
            boot_now(),
            self._random_delay,
            tuple(sorted(config.keeper)) if self._replicas else (),
            config.followers,
        )
        self._freezer = HeapFreezer()
        self._writer_lease: WriterLease | None = None
        self._epoch = 0  # fencing epoch of the lease while this process holds it, else 0
        self._logged_phase = ("", "")  # phase and upstream that were logged last

    def _random_delay(self, max_delay: int) -> int:
        return self._random.randrange(max_delay + 1)

    def _on_archive_written(self, sequence: int) -> None:
        assert self.archive is not None
        self.inbox.put(ArchiveDurable(sequence, self.archive.generation))

    # ---- the program

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT.

        Raises:
            OSError: It cannot listen on its address.
        """
        # Signals are received until the end: otherwise a second signal during shutdown kills the process.
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            with self.archive or nullcontext():
                await self._run(signals)
            self.log("left", number=self.relay.table.sequence)

    async def _run(self, signals: AsyncIterator[signal.Signals]) -> None:
        listener = await listen(self.address)
        self._log_start()
        self._freezer.freeze(self.relay.table)
        async with listener, anyio.create_task_group() as tasks:
            self._upstream = UpstreamConnection(self.name, self._sources, tasks, self.inbox)
            tasks.start_soon(self._shut_down_on_signal, signals, tasks.cancel_scope)
            for one in listener.listeners:
                tasks.start_soon(self.listener.accept, one, tasks)
            tasks.start_soon(self._handle_events)
            tasks.start_soon(check_regularly, self.listener.check)
            if self.archive is not None:
                tasks.start_soon(self.archive.run)
            if self._replicas:
                self._start_lease_acquisition(tasks)

    def _start_lease_acquisition(self, tasks: TaskGroup) -> None:
        client = LeaseClient(self._replicas, tasks, self._random)
        self._records = RecordClient(client, tasks, self.inbox)
        self._writer_lease = WriterLease(
            self.name, self.config.lease, client, self.inbox, self.log, self._random
        )
        tasks.start_soon(self._writer_lease.run)

    async def _shut_down_on_signal(
        self, signals: AsyncIterator[signal.Signals], scope: anyio.CancelScope
    ) -> None:
        async for _ in signals:
            break
        self.log("leaving", number=self.relay.table.sequence)
        with anyio.move_on_after(SHUTDOWN_TIMEOUT):
            if self._writer_lease is not None:
                await self._writer_lease.leave()
            if self.archive is not None:
                await self.archive.flush()
        scope.cancel()

    async def _handle_events(self) -> None:
        while True:
            for event in await self.inbox.next_batch(self.relay.next_deadline()):
                self.handle(event)
            if self.relay.next_deadline() <= boot_now():
                self._handle_in_relay(DeadlineReached())
            self._log_phase()

    # ---- events

    def handle(self, event: ServiceEvent) -> None:
        """Handle one event of the inbox."""
        match event:
            case SubscriberMessage():
                self._on_message(event)
            case UpstreamMessage() | UpstreamConnected() | SubscriberLeft():
                self._handle_in_relay(event)
            case UpstreamLost():
                self.peer_log.report("lost", event.source, event.reason)
                self._handle_in_relay(event)
            case ArchiveDurable():
                # Ignored if the archived state was replaced since the write.
                if self.archive is not None and event.generation == self.archive.generation:
                    self._handle_in_relay(StateDurable(event.sequence))
            case LeaseAcquired():
                self._epoch = event.epoch
                self._handle_in_relay(event)
            case LeaseLost():
                self._epoch = 0
                self._handle_in_relay(event)
            case RecordAnswered():
                if event.epoch == self._epoch:  # ignores answers under a lease that was lost since
                    self._handle_in_relay(event.answer)

    def _on_message(self, event: SubscriberMessage) -> None:
        connection = self.listener.connections.get(event.peer)
        if connection is None:
            return
        if isinstance(event.message, Propose):
            self._carry_out_all(self.relay.propose(boot_now(), event.peer, event.message))
        elif isinstance(event.message, ReadRequest):
            durable = self.archive.durable if self.archive is not None else 0
            self.listener.send(event.peer, read_result(self.relay, durable, event.message))
        else:
            if not connection.follows:
                self.listener.begin_following(connection)
                self._handle_in_relay(SubscriberJoined(event.peer))
            self._handle_in_relay(event)

    def _handle_in_relay(self, event: RelayEvent) -> None:
        self._carry_out_all(self.relay.handle(boot_now(), event))

    # ---- effects

    def _carry_out_all(self, effects: list[RelayEffect]) -> None:
        for effect in effects:
            self.carry_out(effect)

    def carry_out(self, effect: RelayEffect) -> None:
        """Carry out one effect of the relay."""
        match effect:
            case SendDownstream():
                self.listener.send(effect.peer, effect.message)
            case SendUpstream():
                self._upstream.send(effect.source, effect.message)
            case PersistStep():
                if self.archive is not None:
                    self.archive.append(effect.table, effect.first, effect.items)
                self._freezer.on_advanced(effect.table)
            case PersistTable():
                self._persist_table(effect.table)
            case ConnectUpstream():
                self._upstream.connect(effect.source)
            case DisconnectUpstream():
                self.peer_log.report("dropped", effect.source, effect.reason)
                self._upstream.disconnect(effect.source)
            case CloseDownstream():
                self.listener.close(effect.peer, effect.reason)
            case ReadRecord():
                self._records.read(self._epoch, effect.slot, effect.key)
            case WriteRecord():
                self._records.write(self._epoch, effect.slot, effect.put)
            case AnswerProposal():
                self.listener.send(effect.ticket, effect.result)
            case ReleaseLease():
                if self._writer_lease is not None:
                    self._writer_lease.release()
            case LogEvent():
                self.log(effect.event, **effect.fields)

    def _persist_table(self, table: FeedTable) -> None:
        if self.archive is not None:
            self.archive.replace(table)
        self._freezer.freeze(table)
        self.log("loaded", number=table.sequence, digest=table.digest("all").hex())

    # ---- the log

    def _log_start(self) -> None:
        table = self.relay.table
        host, port = self.address
        self.log(
            "started",
            id=self.name,
            role=self.config.role,
            level=self.config.level,
            number=table.sequence,
            digest=table.digest("all").hex(),
            listen=f"{host}:{port}",
            connections=self.listener.max_connections,
        )

    def _log_phase(self) -> None:
        """Log the source that is followed, or that this is the writer, once after each change."""
        relay = self.relay
        phase = relay.phase, relay.follower.upstream
        if phase != self._logged_phase and relay.phase in ("following", "writing"):
            self._logged_phase = phase
            epoch = relay.known_writer.epoch
            self.log(relay.phase, at=relay.follower.upstream, number=relay.table.sequence, epoch=epoch)


def sources_of(config: FeedConfig) -> dict[str, Address]:
    """Return the sources that a relay or keeper may follow, in the order of the settings' lines.

    For a keeper these are the other keepers; an address given by `up` replaces the one given by `keeper`.
    """
    if config.role != "keeper":
        return dict(config.up)
    return {
        name: config.up.get(name, address) for name, address in config.keeper.items() if name != config.name
    }


def run(config: FeedConfig, consensus: ConsensusConfig | None, log: Callable[..., None]) -> None:
    """Run a keeper or a relay until a signal ends it."""
    with suppress(KeyboardInterrupt):
        anyio.run(FeedService(config, consensus, log).run)
