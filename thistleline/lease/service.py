"""A replica as a program: runs lease/server.py with a listener, peer links, a disk and a clock."""

import os
import signal
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio
import anyio.to_thread
from anyio.abc import SocketStream, TaskGroup

from thistleline.config.schema import ConsensusConfig
from thistleline.consensus.effects import LeaderChanged, SendMessage, WriteRecords
from thistleline.consensus.events import MessageReceived, WriteCompleted, WriteFailed
from thistleline.consensus.records import SnapshotRecord, WriteBatch
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import Phase, RaftTiming
from thistleline.consensus.store import ReplicaStore
from thistleline.lease.effects import Effect, NotifyHolder, SendAnswer
from thistleline.lease.events import Event, RequestReceived
from thistleline.lease.inbound import InboundConnection
from thistleline.lease.peer_links import PeerLinks
from thistleline.lease.protocol import Op
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable
from thistleline.lease.wire import GrantHint, Reply, decode_replica_message, decode_request, encode
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now, wall_ms
from thistleline.store.disk import Disk
from thistleline.transport.address import Address
from thistleline.transport.codec import (
    MAX_CLIENT_MESSAGE_SIZE,
    MAX_REPLICA_MESSAGE_SIZE,
    FrameDecoder,
    Hello,
    ProtocolError,
    encode_frame,
    negotiate_version,
)
from thistleline.transport.disconnects import report_disconnects
from thistleline.transport.handshake import receive_hello
from thistleline.transport.listening import READ_SIZE, listen
from thistleline.transport.receive_budget import ReceiveAccount, ReceiveBudget

MILLISECOND = 1_000_000  # ns
# If the process pauses for longer than this plus a heartbeat interval, received messages are read before
# timers are handled.
STALL_THRESHOLD = 100 * MILLISECOND  # ns
READ_TURNS = 8  # iterations of the event loop that readers get after such a pause
MAX_CONNECTIONS = 1024  # accepted connections; beyond it the one that has been idle longest is closed
HELLO_TIMEOUT = 2.0  # s
MAX_INBOX_EVENTS = 50_000
MAX_HOLDERS = 50_000  # holder ids whose connection is stored, to hint that a lease may have been granted
MAX_INBOUND_PEERS = 16  # replicas whose address is stored because they connected to this one
REPLICA_READ_SIZE = 1 << 18  # bytes
NORMAL_DISCONNECTS = ("EndOfStream", "BrokenResourceError", "ClosedResourceError")


class ClientTicket(NamedTuple):
    """The connection that a request came from, and its number on that connection."""

    connection: InboundConnection
    number: int


class ReplicaService:
    """Runs one replica with the lease server on top."""

    def __init__(
        self, config: ConsensusConfig, log: Callable[..., None], disk: Disk, rng: Random | None = None
    ) -> None:
        """Recover the replica from its disk; blocks on disk I/O.

        Args:
            config: Settings of the replica; `folder`, `name` and `listen` must be set.
            log: Writes a line to the program's log: an event and its fields.
            disk: The replica's folder, locked by the caller.
            rng: Source of randomness for timeouts and pauses; randomly seeded by default.

        Raises:
            CorruptFrameError: The records can't be read.
            OSError: The disk can't be read or written.
        """
        assert config.listen is not None
        self.config = config
        self.log = log
        self.rng = rng or Random(os.urandom(8))
        self.listen: Address = config.listen
        self.store = ReplicaStore(disk)
        self.replica = self._recover_replica()
        self.server = LeaseServer(self.replica, wall_ms)
        self.inbox: list[Event] = []
        self.inbox_filled = anyio.Event()
        self.links = PeerLinks(config, self.rng, log, self._own_hello)
        self.connections: OrderedDict[int, InboundConnection] = OrderedDict()
        self.connection_count = 0
        self.receive_budget = ReceiveBudget()
        self.holder_connections: OrderedDict[str, int] = (
            OrderedDict()
        )  # connection of the last request, by holder id
        self.inbound_peers: dict[str, str] = {}  # addresses of replicas that connected recently, by id

    def _recover_replica(self) -> Replica:
        """Return the replica as recorded on the disk.

        The replica's id belongs to this disk. An empty disk gets a new id, as the votes and acknowledgements
        that the previous replica gave are unknown.
        """
        config = self.config
        timing = RaftTiming(config.heartbeat, config.election, 2 * config.election)
        recovered = self.store.recover()
        if recovered is not None:
            return Replica(recovered.snapshot.id, LeaseTable(), boot_now(), timing, self._jitter, recovered)
        id = f"{config.name}.{os.urandom(4).hex()}"
        replica = Replica(id, LeaseTable(), boot_now(), timing, self._jitter)
        first_record = SnapshotRecord(
            id=id,
            cluster_id="",
            term=0,
            voted_for="",
            last_included_index=0,
            last_included_term=0,
            members=(),
            state=b"",
        )
        self.store.write(WriteBatch(True, (first_record,)))
        return replica

    def _jitter(self, duration: int) -> int:
        return self.rng.randrange(duration)

    # ---- the main loop

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT.

        Raises:
            OSError: The address can't be listened on.
        """
        listener = await listen(self.listen)
        state = self.replica.state
        self.log(
            "started",
            id=state.id,
            council=state.cluster_id,
            phase=state.phase.value,
            last=state.log.last_index,
            listen=f"{self.listen[0]}:{self.listen[1]}",
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_on_signal, group.cancel_scope)
            group.start_soon(listener.serve, self._serve)
            group.start_soon(self._process_inbox, group)

    async def _stop_on_signal(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.log("ended", term=self.replica.state.term)
                scope.cancel()
                return

    def submit(self, event: Event) -> None:
        """Put an event into the inbox of the main loop.

        If the inbox is full, events from the network are dropped, as the network may lose messages too; the
        results of disk writes are never dropped.
        """
        if len(self.inbox) < MAX_INBOX_EVENTS or isinstance(event, WriteCompleted | WriteFailed):
            self.inbox.append(event)
            self.inbox_filled.set()
        elif isinstance(event, RequestReceived):
            event.ticket.connection.finish_request()

    async def _process_inbox(self, group: TaskGroup) -> None:
        """Handle events and timers, one batch per turn."""
        last_turn = boot_now()
        while True:
            if not self.inbox:
                await self._wait_for_event()
            await self._let_readers_run(boot_now() - last_turn)
            last_turn = boot_now()
            events = self.inbox
            self.inbox = []
            self._handle(group, last_turn, *events)
            if self.server.next_deadline() <= boot_now() and not self.inbox:
                self._handle(group, boot_now(), DeadlineReached())
            self.links.update(group, self._wanted_peers())

    async def _wait_for_event(self) -> None:
        self.inbox_filled = anyio.Event()
        wait_seconds = (self.server.next_deadline() - boot_now()) / 1e9
        with anyio.move_on_after(max(0.0, wait_seconds)):
            await self.inbox_filled.wait()

    async def _let_readers_run(self, pause: int) -> None:
        """Let the tasks of connections run; longer after a stall, as unread messages may be waiting."""
        turns = READ_TURNS if pause > STALL_THRESHOLD + self.config.heartbeat else 1
        for _ in range(turns):
            await anyio.lowlevel.checkpoint()

    def _handle(self, group: TaskGroup, now: int, *events: Event) -> None:
        for effect in self.server.handle(now, *events):
            self._carry_out(group, effect)

    # ---- effects

    def _carry_out(self, group: TaskGroup, effect: Effect) -> None:
        match effect:
            case SendMessage(to, message):
                self.links.send(to, message)
            case WriteRecords(batch):
                group.start_soon(self._write, batch)
            case SendAnswer(ticket, answer):
                ticket.connection.finish_request()
                ticket.connection.write(encode(Reply(ticket.number, answer)))
            case NotifyHolder(name, holder_id):
                self._notify_holder(name, holder_id)
            case LogEvent(event, fields):
                self.log(event, **fields)
            case LeaderChanged(leader):
                self.log("led", by=leader, term=self.replica.state.term)

    def _notify_holder(self, name: str, holder_id: str) -> None:
        connection = self.connections.get(self.holder_connections.get(holder_id, -1))
        if connection is not None:
            connection.write(encode(GrantHint(name, holder_id)))

    async def _write(self, batch: WriteBatch) -> None:
        try:
            await anyio.to_thread.run_sync(self.store.write, batch)
        except Exception as error:  # the replica must learn of any kind of disk failure
            reason = getattr(error, "strerror", None) or f"{type(error).__name__}: {error}"
            self.submit(WriteFailed(reason))
        else:
            self.submit(WriteCompleted())

    def _wanted_peers(self) -> dict[str, str]:
        """Return the addresses, by id, of the replicas to keep a link to."""
        state = self.replica.state
        wanted = {member.id: member.address for member in state.members if member.id != state.id}
        if state.phase is Phase.UNFORMED:
            wanted |= self.inbound_peers
        elif state.leader in self.inbound_peers:
            # The member list of a replica with an old state may lack the leader. Without a link to the leader
            # the replica could not answer the leader, which would never bring the replica up to date.
            wanted.setdefault(state.leader, self.inbound_peers[state.leader])
            wanted.pop(state.id, None)
        if state.joining is not None:
            wanted[state.joining.member.id] = state.joining.member.address
        return wanted

    # ---- accepted connections

    def _own_hello(self) -> Hello:
        host, port = self.listen
        state = self.replica.state
        return Hello("voter", state.id, state.cluster_id, f"[{host}]:{port}")

    async def _serve(self, stream: SocketStream) -> None:
        self.connection_count += 1
        number = self.connection_count
        connection = InboundConnection(stream)
        self.connections[number] = connection
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections.values())).scope.cancel()
        try:
            with connection.scope, report_disconnects(self._log_disconnect):
                async with stream:
                    await self._serve_peer(number, connection)
        finally:
            self.connections.pop(number, None)

    async def _serve_peer(self, number: int, connection: InboundConnection) -> None:
        """Exchange Hellos, then serve a replica or a client."""
        stream = connection.stream
        account = self.receive_budget.open_account(connection.scope.cancel)
        with anyio.fail_after(HELLO_TIMEOUT):
            hello = await receive_hello(stream)
        negotiate_version(self._own_hello(), hello)
        await stream.send(encode_frame(encode(self._own_hello())))
        try:
            if hello.kind == "voter":
                await self._receive_messages(stream, hello, account)
            elif hello.kind == "client":
                await self._receive_requests(number, connection, account)
            else:
                raise ProtocolError(f"a replica does not accept connections of kind {hello.kind}")
        finally:
            account.release()

    def _log_disconnect(self, why: str) -> None:
        if why not in NORMAL_DISCONNECTS:
            self.links.log_state("inbound connection", why)

    async def _receive_messages(self, stream: SocketStream, hello: Hello, account: ReceiveAccount) -> None:
        """Receive a replica's messages.

        Raises:
            ProtocolError: The sender belongs to another cluster; a replica without a cluster accepts any.
        """
        if hello.address:
            self._remember_inbound_peer(hello)
        decoder = FrameDecoder(MAX_REPLICA_MESSAGE_SIZE, account)
        while True:
            for payload in decoder.feed(await stream.receive(REPLICA_READ_SIZE)):
                cluster_id = self.replica.state.cluster_id
                if cluster_id and hello.cluster not in (cluster_id, ""):
                    raise ProtocolError(f"{hello.id} belongs to another cluster")
                self.submit(MessageReceived(hello.id, decode_replica_message(payload)))

    def _remember_inbound_peer(self, hello: Hello) -> None:
        self.inbound_peers.pop(hello.id, None)
        self.inbound_peers[hello.id] = hello.address
        while len(self.inbound_peers) > MAX_INBOUND_PEERS:
            del self.inbound_peers[next(iter(self.inbound_peers))]
        self.inbox_filled.set()

    async def _receive_requests(
        self, number: int, connection: InboundConnection, account: ReceiveAccount
    ) -> None:
        """Receive a client's requests and send the answers."""
        decoder = FrameDecoder(MAX_CLIENT_MESSAGE_SIZE, account)
        async with anyio.create_task_group() as group:
            group.start_soon(connection.send_output)
            while True:
                for payload in decoder.feed(await connection.stream.receive(READ_SIZE)):
                    request = decode_request(payload)
                    await connection.begin_request()
                    self._remember_holder(number, request.op)
                    self.submit(RequestReceived(ClientTicket(connection, request.number), request.op))
                self.connections.move_to_end(number)

    def _remember_holder(self, number: int, op: Op) -> None:
        holder_id = _holder_id_of(op)
        if holder_id:
            self.holder_connections[holder_id] = number
            self.holder_connections.move_to_end(holder_id)
            if len(self.holder_connections) > MAX_HOLDERS:
                self.holder_connections.popitem(last=False)


def _holder_id_of(op: Any) -> str:
    """Return the holder id in a request, empty if it has none."""
    leases = getattr(op, "leases", ())
    return getattr(op, "holder_id", "") or (leases[0][1] if leases else "")


@contextmanager
def _locked_disk(folder: Path) -> Iterator[Disk]:
    """Lock the replica's folder.

    Raises:
        DiskLockedError: Another process has locked the folder.
        OSError: The folder can't be created or locked.
    """
    disk = Disk(folder, "council")
    disk.acquire()
    try:
        yield disk
    finally:
        disk.release()


def run(config: ConsensusConfig, log: Callable[..., None]) -> None:
    """Run a replica until SIGTERM or SIGINT.

    Raises:
        CorruptFrameError: The records can't be read.
        DiskLockedError: Another process has locked the folder.
        OSError: The disk can't be read or written, or the address can't be listened on.
    """
    assert config.folder is not None
    with suppress(KeyboardInterrupt), _locked_disk(config.folder) as disk:
        anyio.run(ReplicaService(config, log, disk).run)
