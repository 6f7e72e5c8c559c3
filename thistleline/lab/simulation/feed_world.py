"""The config feed as a small world for exhaustive exploration.

Keepers, one or two relays and an instance run the state machines of the program, with the real lease table
of the consensus cluster; all are copied at each step.

A connection delivers in order and may break at any message, with what is in transit lost. A request to the
lease table may arrive late, and so may its answer, or never; the table decides it in one step. A disk holds
the state that was written last, or an older one; a restart finds that state. The oracle follows the records
that the lease table accepted, and uses plain dicts.
"""

from collections.abc import Callable, Iterator, Sequence
from functools import partial
from typing import Any, NamedTuple

import msgspec

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
from thistleline.config_feed.limits import SECOND
from thistleline.config_feed.messages import (
    Change,
    Delta,
    Group,
    Propose,
    ProposeResult,
    SnapshotPart,
    decode_group,
    encode,
)
from thistleline.config_feed.recovery import LEASE_NAME, record_key
from thistleline.config_feed.relay import FeedRelay, RelayEvent
from thistleline.config_feed.table import PARTIAL_PREFIXES, FeedTable
from thistleline.config_feed.writer_effects import (
    AnswerProposal,
    ReadRecord,
    ReleaseLease,
    WriteRecord,
)
from thistleline.config_feed.writer_events import (
    LeaseAcquired,
    LeaseLost,
    ProposalReceived,
    RecordRead,
    RecordWritten,
    WriteDenied,
    WriteUnanswered,
)
from thistleline.lab.simulation.feed_fleet import Instance
from thistleline.lease.protocol import Acquire, Break, Denied, Granted, Put
from thistleline.lease.table import LeaseTable, encode_decision
from thistleline.reducer.events import DeadlineReached

TICK = 600_000_000  # ns; longer than a heartbeat interval, so that every heartbeat is due after one
START_TIME = 10 * SECOND  # ns, on the virtual clock
LEASE_LENGTH = 10 * SECOND  # ns
MAX_SETTLE_STEPS = 2000
# Kinds of step that a scenario limits in number; names of the fields of `Scenario`.
BUDGETS = (
    "changes",
    "retries",
    "disconnects",
    "restarts",
    "lost_answers",
    "lease_moves",
    "ticks",
    "corruptions",
    "lookups",
)
CHANGES: tuple[tuple[tuple[str, bytes | None], ...], ...] = (
    (("common/a", b'{"a":1}'),),
    (("common/a", b'{"a":2}'), ("common/b", b'{"b":2}')),
    (("tenant/t", b'{"share":0.5}'),),
    (("common/a", None), ("common/b", b'{"b":4}')),
    (("common/c", b'{"c":5}'),),
    (("tenant/t", None), ("common/c", b'{"c":6}')),
)
END_OF_STREAM = "end"  # follows the last message of a server that closes a connection

Node = FeedRelay | Instance
Entries = dict[str, bytes]
Excluded = Callable[[str], bool]  # whether a node is left out


class Scenario(NamedTuple):
    """A root world with the steps that an exploration may take from it.

    Attributes:
        name: The name in reports.
        build: Makes the root world.
        changes: How many new changes may be proposed.
        retries: How often the last proposal may be repeated.
        disconnects: How many connections may break.
        restarts: How many nodes may restart.
        lost_answers: How many answers of the lease table may be lost.
        lease_moves: How often the lease may go to a keeper that lacks it.
        ticks: How often the clock may advance by `TICK`.
        corruptions: How many messages may lose an entry in transit.
        lookups: How often an instance may look up a tenant.
        restartable: Nodes that may restart; all if empty.
    """

    name: str
    build: Callable[[], "FeedWorld"]
    changes: int = 0
    retries: int = 0
    disconnects: int = 0
    restarts: int = 0
    lost_answers: int = 0
    lease_moves: int = 0
    ticks: int = 0
    corruptions: int = 0
    lookups: int = 0
    restartable: tuple[str, ...] = ()


class Connection(NamedTuple):
    """A connection to a server, with the messages in transit in both directions, oldest first."""

    server: str
    peer: int
    to_server: tuple[Any, ...] = ()
    to_client: tuple[Any, ...] = ()


class WriteRequest(NamedTuple):
    """A Put of a keeper, sent under an epoch, which the lease table has not received yet."""

    keeper: str
    epoch: int
    slot: int
    put: Put


class WriteAnswer(NamedTuple):
    """The lease table's answer to a Put, which the keeper has not received yet."""

    keeper: str
    epoch: int
    outcome: RecordWritten | WriteDenied


class FeedWorld:
    """One state of the explored system; every step works on a copy of its own.

    Names of nodes begin with k (keeper), r (relay) or i (instance).
    """

    __slots__ = (
        "acknowledged",
        "budget",
        "committed",
        "connection_count",
        "connections",
        "disks",
        "expected_states",
        "foreign",
        "held_epochs",
        "lease_table",
        "log_index",
        "node_keys",
        "nodes",
        "pending_reads",
        "pending_writes",
        "proposed",
        "refused",
        "scenario",
        "sources",
        "ticks",
        "violation",
        "write_answers",
        "write_requests",
    )

    def __init__(self) -> None:
        """Make a world without nodes, with an empty lease table."""
        self.nodes: dict[str, Node] = {}
        self.sources: dict[str, tuple[str, ...]] = {}
        self.disks: dict[str, FeedTable] = {}
        self.pending_writes: dict[str, FeedTable] = {}  # handed to the disk, not durable yet
        self.connections: dict[str, Connection] = {}  # by client
        self.lease_table = LeaseTable()
        self.write_requests: tuple[WriteRequest, ...] = ()
        self.write_answers: tuple[WriteAnswer, ...] = ()
        self.pending_reads: dict[str, tuple[int, ...]] = {}  # slots, by keeper
        self.held_epochs: dict[str, int] = {}  # epochs that keepers believe they hold
        self.log_index = 0
        self.ticks = 0
        self.connection_count = 0
        self.proposed = 0
        self.budget: dict[str, int] = {}
        self.scenario: Scenario | None = None
        self.committed: tuple[Change, ...] = ()
        self.expected_states: tuple[Entries, ...] = ({},)  # by sequence number
        self.acknowledged: dict[str, int] = {}  # sequence numbers, by request
        self.refused: tuple[str, ...] = ()  # requests that were refused
        self.violation = ""
        self.node_keys: dict[str, int] = {}  # cached parts of `key`
        self.foreign: tuple[str, ...] = ()  # nodes with a state of another feed, until they follow

    def copy(self) -> "FeedWorld":
        """Return a copy that shares the nodes; a node is copied when it gets an event."""
        made = FeedWorld.__new__(FeedWorld)
        for name in self.__slots__:
            value = getattr(self, name)
            setattr(made, name, dict(value) if type(value) is dict else value)
        return made

    @property
    def now(self) -> int:
        """The virtual time in ns."""
        return START_TIME + self.ticks * TICK

    @property
    def keepers(self) -> tuple[str, ...]:
        """The names of the keepers."""
        return tuple(name for name in self.nodes if name[0] == "k")

    def add(
        self, name: str, table: FeedTable, sources: tuple[str, ...], keepers: tuple[str, ...] = ()
    ) -> None:
        """Add a node.

        Args:
            name: Its first letter says whether it is a keeper, a relay or an instance.
            table: Its state in memory and on disk.
            sources: The nodes that it may follow.
            keepers: All keepers, for a keeper.
        """
        self.sources[name] = sources
        self.disks[name] = table
        self.nodes[name] = self._make_node(name, table, keepers)

    def _make_node(self, name: str, table: FeedTable, keepers: tuple[str, ...]) -> Node:
        """Make the state machine of a node."""
        sources = self.sources[name]
        if name[0] == "i":
            return Instance(name, table, sources, self.now, _no_jitter)
        level = 0 if name[0] == "k" else 1
        return FeedRelay(name, level, table, sources, self.now, _no_jitter, keepers if not level else ())

    # ---- events and effects

    def deliver(self, name: str, event: RelayEvent) -> None:
        """Deliver an event to a node, carry out the effects, check the invariants."""
        node = self._copy_node(name)
        before = node.table.sequence
        effects = node.handle(self.now, event)
        self._run_effects(name, before, effects)

    def _copy_node(self, name: str) -> Node:
        """Replace a node by a copy, which may be changed."""
        node = self.nodes[name].copy()
        self.nodes[name] = node
        self.node_keys.pop(name, None)
        return node

    def _run_effects(self, name: str, before: int, effects: Sequence[Any]) -> None:
        """Carry out the effects of a node that was at sequence `before`."""
        number = self.nodes[name].table.sequence
        if number < before:
            self._report(f"{name} went back from {before} to {number}")
        for effect in effects:
            self._run_effect(name, effect)
        self._check_node(name)

    def _run_effect(self, name: str, effect: Any) -> None:
        """Carry out one effect; all others are ignored here."""
        match effect:
            case SendUpstream(source, message):
                self._send_upstream(name, source, message)
            case SendDownstream(peer, message):
                self._send_downstream(name, peer, message)
            case ConnectUpstream(source):
                self._connect(name, source)
            case DisconnectUpstream():
                self._disconnect_upstream(name)
            case CloseDownstream(peer):
                self._send_downstream(name, peer, END_OF_STREAM)
            case PersistStep(table) | PersistTable(table):
                self.pending_writes[name] = table
            case ReadRecord(slot):
                self.pending_reads[name] = (*self.pending_reads.get(name, ()), slot)
            case WriteRecord(slot, put):
                self._request_write(name, slot, put)
            case AnswerProposal(_, result):
                self._check_proposal_answer(result)
            case ReleaseLease():
                self._release_lease(name)

    # ---- connections

    def _connect(self, name: str, server: str) -> None:
        """Connect a node to a server, in index of its old connection."""
        old = self.connections.pop(name, None)
        if old is not None:
            self.deliver(old.server, SubscriberLeft(old.peer))
        self.connection_count += 1
        self.connections[name] = Connection(server, self.connection_count)
        self.deliver(server, SubscriberJoined(self.connection_count))
        if name in self.connections:
            self.deliver(name, UpstreamConnected(server))

    def _send_upstream(self, name: str, server: str, message: Any) -> None:
        """Put a message in transit to the server, if the node is connected to it."""
        connection = self.connections.get(name)
        if connection is not None and connection.server == server:
            self.connections[name] = connection._replace(to_server=(*connection.to_server, message))

    def _send_downstream(self, name: str, peer: int, message: Any) -> None:
        """Put a message in transit to the client that has this peer number at the server."""
        for client, connection in self.connections.items():
            if (connection.server, connection.peer) == (name, peer):
                self.connections[client] = connection._replace(to_client=(*connection.to_client, message))
                return

    def _disconnect_upstream(self, name: str) -> None:
        """Close the connection of a node to its server, at the node's request."""
        connection = self.connections.pop(name, None)
        if connection is not None:
            self.deliver(connection.server, SubscriberLeft(connection.peer))

    def break_connection(self, name: str) -> None:
        """Break the connection of a client; all that is in transit on it is lost."""
        connection = self.connections.pop(name)
        self.deliver(connection.server, SubscriberLeft(connection.peer))
        self.deliver(name, UpstreamLost(connection.server, "connection broke"))

    def receive_from_client(self, name: str) -> None:
        """Deliver the client's next message to its server."""
        connection = self.connections[name]
        message, *rest = connection.to_server
        self.connections[name] = connection._replace(to_server=tuple(rest))
        self.deliver(connection.server, SubscriberMessage(connection.peer, message))

    def receive_from_server(self, name: str) -> None:
        """Deliver the server's next message to its client."""
        connection = self.connections[name]
        message, *rest = connection.to_client
        self.connections[name] = connection._replace(to_client=tuple(rest))
        if message == END_OF_STREAM:
            self.break_connection(name)
        else:
            self.deliver(name, UpstreamMessage(connection.server, message))

    def corrupt(self, name: str) -> None:
        """Remove the last entry from the next message to a client, which has entries."""
        connection = self.connections[name]
        message = connection.to_client[0]
        corrupted = msgspec.structs.replace(message, items=message.items[:-1])
        self.connections[name] = connection._replace(to_client=(corrupted, *connection.to_client[1:]))

    # ---- disks and processes

    def complete_write(self, name: str) -> None:
        """Make the last write to the disk of a node durable."""
        self.disks[name] = self.pending_writes.pop(name)
        self.deliver(name, StateDurable(self.disks[name].sequence))

    def restart(self, name: str) -> None:
        """Restart a node from what is durable; its connections end."""
        node = self.nodes[name]
        keepers = node.writer.keepers if isinstance(node, FeedRelay) and node.writer is not None else ()
        self.nodes[name] = self._make_node(name, self.disks[name], keepers)
        self.node_keys.pop(name, None)
        self.pending_writes.pop(name, None)
        self.pending_reads.pop(name, None)
        self.held_epochs.pop(name, None)
        self.write_answers = tuple(answer for answer in self.write_answers if answer.keeper != name)
        self._disconnect_upstream(name)
        for client, connection in list(self.connections.items()):
            if connection.server == name and client in self.connections:
                del self.connections[client]
                self.deliver(client, UpstreamLost(name, "connection ended"))

    # ---- the lease table

    def answer_reads(self, name: str) -> None:
        """Answer all reads of a keeper."""
        slots = self.pending_reads.pop(name)
        for slot in slots:
            if name in self.held_epochs:
                record = self.lease_table.get(record_key(slot))
                self.deliver(name, RecordRead(slot, record.value, record.version))

    def _request_write(self, name: str, slot: int, put: Put) -> None:
        """Send a write to the lease table."""
        request = WriteRequest(name, self.held_epochs.get(name, 0), slot, put)
        self.write_requests = (*self.write_requests, request)

    def _apply(self, decision: Any) -> Any:
        """Apply a decision to a copy of the lease table and return its answer."""
        self.lease_table = self.lease_table.copy()
        self.log_index += 1
        return self.lease_table.apply(self.log_index, encode_decision(decision))

    def decide(self, index: int) -> None:
        """Apply a write that is in transit, and send its answer.

        Args:
            index: Which one of `write_requests`.
        """
        name, epoch, slot, put = self.write_requests[index]
        self.write_requests = (*self.write_requests[:index], *self.write_requests[index + 1 :])
        before = self.lease_table.get(put.key)
        answer = self._apply(put)
        if isinstance(answer, Denied):
            outcome: RecordWritten | WriteDenied = WriteDenied(slot, answer.reason)
        else:
            outcome = RecordWritten(slot, put.version + 1)
            if before.version:
                self._check_overwritten(decode_group(before.value))
            self._commit(decode_group(put.value))
        if self.held_epochs.get(name) == epoch:
            self.write_answers = (*self.write_answers, WriteAnswer(name, epoch, outcome))

    def answer_write(self, index: int, lost: bool = False) -> None:
        """Deliver the answer to a write, or a notice that there is none.

        Args:
            index: Which one of `write_answers`.
            lost: Whether the answer is lost.
        """
        name, epoch, outcome = self.write_answers[index]
        self.write_answers = (*self.write_answers[:index], *self.write_answers[index + 1 :])
        if self.held_epochs.get(name) == epoch:
            self.deliver(name, WriteUnanswered(outcome.slot) if lost else outcome)

    def time_out_write(self, index: int) -> None:
        """Notify the sender that a write timed out; the write stays in transit.

        Args:
            index: Which one of `write_requests`.
        """
        name, epoch, slot, _ = self.write_requests[index]
        if self.held_epochs.get(name) == epoch:
            self.deliver(name, WriteUnanswered(slot))

    def move_lease(self, name: str) -> None:
        """Grant the lease to a keeper, without notice to its former holder."""
        lease = self.lease_table.state.leases.get(LEASE_NAME)
        if lease is not None:
            self._apply(Break(LEASE_NAME, lease.epoch, "it was silent"))
        answer = self._apply(Acquire(LEASE_NAME, f"{name}.{self.log_index}", LEASE_LENGTH, True))
        assert isinstance(answer, Granted)
        self.held_epochs[name] = answer.epoch
        self.deliver(name, LeaseAcquired(answer.epoch))

    def lose_lease(self, name: str) -> None:
        """Notify a keeper that it has lost the lease."""
        del self.held_epochs[name]
        self.pending_reads.pop(name, None)
        self.deliver(name, LeaseLost("the lease is over"))

    def _release_lease(self, name: str) -> None:
        """Break the lease if this keeper holds it."""
        lease = self.lease_table.state.leases.get(LEASE_NAME)
        if lease is not None and lease.epoch == self.held_epochs.get(name):
            self._apply(Break(LEASE_NAME, lease.epoch, "released"))
        if name in self.held_epochs:
            self.lose_lease(name)

    # ---- requests of users

    def propose(self, name: str, again: bool = False) -> None:
        """Propose the next change to a keeper, or repeat the last one."""
        index = self.proposed - again
        self.proposed = index + 1
        self.deliver(name, ProposalReceived(index, Propose(f"c{index}", CHANGES[index])))

    def look_up_tenant(self, name: str) -> None:
        """Look up a tenant at an instance; `_check_node` checks what it knows from then on."""
        node = self._copy_node(name)
        assert isinstance(node, Instance)
        node.lookups.lookup("tenant/t")

    # ---- invariants

    def _report(self, violation: str) -> None:
        """Record a violation unless there is one already."""
        self.violation = self.violation or violation

    def _check_proposal_answer(self, answer: ProposeResult) -> None:
        """Check that an acknowledged change is committed and a refused one is not."""
        if answer.sequence:
            known = self.acknowledged.setdefault(answer.request_id, answer.sequence)
            committed_change = self.committed[answer.sequence - 1 : answer.sequence]
            if (
                known != answer.sequence
                or not committed_change
                or committed_change[0].request_id != answer.request_id
            ):
                self.violation = (
                    f"{answer.request_id} was acknowledged as {answer.sequence}, but that is not its number"
                )
        elif not answer.unknown:
            self.refused = (*self.refused, answer.request_id)
            if any(change.request_id == answer.request_id for change in self.committed):
                self.violation = f"{answer.request_id} was refused, but is committed"

    def _commit(self, group: Group) -> None:
        """Record the changes of a written record and check that each is new and the next one."""
        for change in group.changes:
            if change.sequence != len(self.committed) + 1:
                self.violation = f"number {change.sequence} was committed after {len(self.committed)}"
                return
            if any(earlier.request_id == change.request_id for earlier in self.committed):
                self.violation = f"{change.request_id} was committed twice"
            if change.request_id in self.refused:
                self.violation = f"{change.request_id} was refused, but is committed later"
            state = dict(self.expected_states[-1])
            for key, value in change.items:
                if value is None:
                    state.pop(key, None)
                else:
                    state[key] = value
            self.committed = (*self.committed, change)
            self.expected_states = (*self.expected_states, state)

    def _check_overwritten(self, group: Group) -> None:
        """Check that the changes of an overwritten record are durable at a majority of the keepers."""
        last = group.changes[-1].sequence
        durable = sum(self.disks[name].sequence >= last for name in self.keepers)
        if durable <= len(self.keepers) // 2:
            self.violation = (
                f"{last} is overwritten in the consensus cluster while durable at only {durable} keepers"
            )

    def _check_node(self, name: str) -> None:
        """Check that the state of a node is exactly the committed one of its sequence number."""
        node = self.nodes[name]
        table = node.table
        if name in self.foreign:
            if isinstance(node, Instance) and node.lookups.follower.phase != "following":
                return
            self.foreign = tuple(other for other in self.foreign if other != name)
        if table.sequence > len(self.committed):
            self._report(
                f"{name} is at {table.sequence}, but only {len(self.committed)} changes are committed"
            )
            return
        expected = self.expected_states[table.sequence]
        if isinstance(node, Instance):
            self._check_lookups(name, node, expected)
            expected = {key: value for key, value in expected.items() if not key.startswith(PARTIAL_PREFIXES)}
        entries = {key: value for key, value, _ in table.entries("all")}
        if entries != expected:
            self._report(f"{name} holds wrong entries at {table.sequence}")
        if isinstance(node, FeedRelay):
            self._check_writer(name, node)

    def _check_lookups(self, name: str, node: Instance, expected: Entries) -> None:
        """Check what an instance knows of tenants."""
        for key, found in node.lookups.tenants.items():
            if found.value != expected.get(key):
                self._report(f"{name} has a wrong value of {key} at {node.table.sequence}")

    def _check_writer(self, name: str, node: FeedRelay) -> None:
        """Check that a writer with the newest lease has all acknowledged changes."""
        if not node.is_writer or node.writer is None:
            return
        lease = self.lease_table.state.leases.get(LEASE_NAME)
        newest = lease is not None and lease.epoch == node.writer.epoch
        if newest and node.table.sequence < max(self.acknowledged.values(), default=0):
            self._report(f"{name} is the writer, but lacks acknowledged changes")

    # ---- for the explorer

    def wrong(self) -> str:
        """Return the first violation found, or an empty string."""
        return self.violation

    def key(self) -> int:
        """Return a hash of the whole state."""
        for name in self.nodes:
            if name not in self.node_keys:
                self.node_keys[name] = self._node_key(name)
        connections = tuple(
            (
                name,
                connection.server,
                connection.peer,
                tuple(map(_encoded, connection.to_server)),
                tuple(map(_encoded, connection.to_client)),
            )
            for name, connection in sorted(self.connections.items())
        )
        rest = (
            self.write_requests,
            self.write_answers,
            tuple(sorted(self.pending_reads.items())),
            tuple(sorted(self.held_epochs.items())),
            self.ticks,
            tuple(sorted(self.budget.items())),
            len(self.committed),
            self.proposed,
            self.violation,
            tuple(sorted(self.acknowledged.items())),
            self.foreign,
            self.refused,
        )
        node_keys = tuple(sorted(self.node_keys.items()))
        return hash((node_keys, connections, self.lease_table.state_key(), rest))

    def _node_key(self, name: str) -> int:
        """Return a hash of a node and its disk."""
        pending = self.pending_writes.get(name)
        disk = self.disks[name]
        state = self.nodes[name].state_key()
        return hash((state, disk.sequence, disk.digest("all"), pending and pending.sequence))


def _encoded(message: Any) -> Any:
    """Return a hashable form of a message in transit."""
    return message if message == END_OF_STREAM else encode(message)


def _no_jitter(_duration: int) -> int:
    """Return no jitter for any duration, to limit the number of states."""
    return 0


# ---- what may happen next


class Step(NamedTuple):
    """One step that may happen in a world.

    Attributes:
        event: What happens, for traces.
        run: Changes the world that it is given.
        spends: The budget that it lowers by one; empty for none.
    """

    event: str
    run: Callable[[FeedWorld], None]
    spends: str = ""


def next_states(world: FeedWorld) -> Iterator[tuple[str, FeedWorld]]:
    """Yield each event that may happen in a world, with the world after it."""
    for step in _permitted_steps(world):
        successor = world.copy()
        if step.spends:
            successor.budget[step.spends] -= 1
        step.run(successor)
        yield step.event, successor


def _permitted_steps(world: FeedWorld) -> Iterator[Step]:
    """Yield the steps that the budget allows."""
    for step in _possible_steps(world):
        if not step.spends or world.budget[step.spends]:
            yield step


def _possible_steps(world: FeedWorld) -> Iterator[Step]:
    """Yield all steps, always in the same order."""
    for name, connection in world.connections.items():
        yield from _connection_steps(name, connection)
    for name in world.pending_writes:
        yield Step(f"the write of {name} is durable", partial(FeedWorld.complete_write, name=name))
    for name, node in world.nodes.items():
        yield from _node_steps(world, name, node)
    yield from _lease_table_steps(world)
    for name in world.keepers:
        yield from _keeper_steps(world, name)
    yield Step("time passes", _tick, "ticks")


def _connection_steps(name: str, connection: Connection) -> Iterator[Step]:
    """Yield the steps of a client's connection."""
    server = connection.server
    if connection.to_server:
        kind = type(connection.to_server[0]).__name__
        yield Step(f"{server} gets from {name}: {kind}", partial(FeedWorld.receive_from_client, name=name))
    if connection.to_client:
        message = connection.to_client[0]
        kind = type(message).__name__
        yield Step(f"{name} gets from {server}: {kind}", partial(FeedWorld.receive_from_server, name=name))
        if isinstance(message, Delta | SnapshotPart) and message.items:
            yield Step(f"{kind} to {name} is damaged", partial(FeedWorld.corrupt, name=name), "corruptions")
    yield Step(
        f"the connection of {name} to {server} breaks",
        partial(FeedWorld.break_connection, name=name),
        "disconnects",
    )


def _node_steps(world: FeedWorld, name: str, node: Node) -> Iterator[Step]:
    """Yield the steps of a node by itself."""
    assert world.scenario is not None
    restartable = world.scenario.restartable
    if node.next_deadline() <= world.now:
        yield Step(
            f"{name} handles its deadline", partial(FeedWorld.deliver, name=name, event=DeadlineReached())
        )
    if isinstance(node, Instance):
        yield Step(f"{name} looks up a tenant", partial(FeedWorld.look_up_tenant, name=name), "lookups")
    if not restartable or name in restartable:
        yield Step(f"{name} restarts", partial(FeedWorld.restart, name=name), "restarts")


def _lease_table_steps(world: FeedWorld) -> Iterator[Step]:
    """Yield the steps of requests to the lease table and of its answers."""
    for index, request in enumerate(world.write_requests):
        name, slot = request.keeper, request.slot
        yield Step(
            f"the consensus cluster gets from {name}: Put {slot}", partial(FeedWorld.decide, index=index)
        )
        yield Step(
            f"Put {slot} of {name} times out", partial(FeedWorld.time_out_write, index=index), "lost_answers"
        )
    for index, answer in enumerate(world.write_answers):
        name, kind = answer.keeper, type(answer.outcome).__name__
        yield Step(
            f"{name} gets from the consensus cluster: {kind}", partial(FeedWorld.answer_write, index=index)
        )
        yield Step(
            f"the answer to {name} is lost",
            partial(FeedWorld.answer_write, index=index, lost=True),
            "lost_answers",
        )
    for name in world.pending_reads:
        yield Step(f"{name} gets the records that it reads", partial(FeedWorld.answer_reads, name=name))


def _keeper_steps(world: FeedWorld, name: str) -> Iterator[Step]:
    """Yield the steps of a keeper's lease and the proposals that it may get as the writer."""
    lease = world.lease_table.state.leases.get(LEASE_NAME)
    epoch = world.held_epochs.get(name)
    node = world.nodes[name]
    if epoch and (lease is None or lease.epoch != epoch):
        yield Step(f"{name} learns that it lost the lease", partial(FeedWorld.lose_lease, name=name))
    if not epoch:
        yield Step(f"{name} gets the lease", partial(FeedWorld.move_lease, name=name), "lease_moves")
    if not isinstance(node, FeedRelay) or not node.is_writer:
        return
    if world.proposed < len(CHANGES):
        event = f"change {world.proposed} is proposed to {name}"
        yield Step(event, partial(FeedWorld.propose, name=name), "changes")
    if world.proposed:
        yield Step(
            f"{name} gets the last proposal again",
            partial(FeedWorld.propose, name=name, again=True),
            "retries",
        )


def _tick(world: FeedWorld) -> None:
    """Advance the clock by a tick."""
    world.ticks += 1


# ---- where explorations begin


def _exclude_none(_name: str) -> bool:
    """Leave no node out."""
    return False


def settle(world: FeedWorld, excluded: Excluded = _exclude_none) -> None:
    """Run a world without faults until nothing is left to do.

    Args:
        world: Is changed in place.
        excluded: Whether a node is left out: it gets no messages, handles no deadline and completes no write.

    Raises:
        AssertionError: There is more to do after `MAX_SETTLE_STEPS`.
    """
    for _ in range(MAX_SETTLE_STEPS):
        step = next(_faultless_steps(world, excluded), None)
        if step is None:
            return
        step()
    raise AssertionError(f"the world has not settled after {MAX_SETTLE_STEPS} steps")


def _faultless_steps(world: FeedWorld, excluded: Excluded) -> Iterator[Callable[[], None]]:
    """Yield the steps that are no faults; the caller runs only the first one."""
    for name, connection in list(world.connections.items()):
        if excluded(name) or excluded(connection.server):
            continue
        if connection.to_server:
            yield partial(world.receive_from_client, name)
        if connection.to_client:
            yield partial(world.receive_from_server, name)
    for name in list(world.pending_writes):
        if not excluded(name):
            yield partial(world.complete_write, name)
    for name in list(world.pending_reads):
        yield partial(world.answer_reads, name)
    if world.write_requests:
        yield partial(world.decide, 0)
    if world.write_answers:
        yield partial(world.answer_write, 0)
    for name, node in world.nodes.items():
        if not excluded(name) and node.next_deadline() <= world.now:
            yield partial(world.deliver, name, DeadlineReached())


def build_fleet(keepers: int = 3, relays: int = 1, instances: int = 1) -> FeedWorld:
    """Return a world of empty nodes that all follow; k0 is the writer."""
    world = FeedWorld()
    keeper_names = tuple(f"k{index}" for index in range(keepers))
    relay_names = tuple(f"r{index}" for index in range(relays))
    for name in keeper_names:
        others = tuple(other for other in keeper_names if other != name)
        world.add(name, FeedTable(), others, keeper_names)
    for name in relay_names:
        world.add(name, FeedTable(), keeper_names)
    for index in range(instances):
        world.add(f"i{index}", FeedTable(), relay_names or keeper_names)
    world.move_lease("k0")
    settle(world)
    return world


def commit_changes(world: FeedWorld, count: int, excluded: Excluded = _exclude_none) -> FeedWorld:
    """Commit changes one after the other until they are durable at all nodes that aren't left out.

    Args:
        world: Is changed in place.
        count: How many changes.
        excluded: Whether a node is left out.

    Returns:
        The same world.
    """
    for _ in range(count):
        world.propose("k0")
        settle(world, excluded)
    return world


def start_exploration(scenario: Scenario) -> FeedWorld:
    """Return the root world of a scenario with its whole budget."""
    world = scenario.build()
    world.scenario = scenario
    world.budget = {name: getattr(scenario, name) for name in BUDGETS}
    return world
