"""A fleet of the feed in virtual time, without I/O.

A writer, keepers, relays by region and hollow instances run the state machines that run in production. Links
between them have delays and may break; machines may stop, and peers may be slow.

Hollow instances share equal states: a state that one follower made from another by the same entries is reused
by all followers that do the same (`SharedTable`), so that thousands fit into one process. The cost of that
step to an instance is measured separately. An oracle without the state machines keeps its own list of
changes and plain dicts.

The consensus cluster is a stand-in: its table and its liveness tracking of leases are the real ones, only
round trips are drawn. A requester sends its change to the keeper that wrote last, and retries as
config_feed/operations.propose does until the number of the change is known.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from heapq import heappop, heappush
from random import Random
from time import perf_counter_ns
from typing import Any, ClassVar, Protocol

from thistleline.config_feed import follower as follower_module
from thistleline.config_feed.effects import (
    CloseDownstream,
    ConnectUpstream,
    DeltaApplied,
    DisconnectUpstream,
    PersistStep,
    PersistTable,
    SendDownstream,
    SendUpstream,
    SnapshotLoaded,
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
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.limits import DEDUPLICATION_SLOTS, MS, SECOND
from thistleline.config_feed.lookups import LookupCache
from thistleline.config_feed.messages import (
    Change,
    Delta,
    Group,
    Kind,
    Propose,
    ProposeResult,
    SnapshotPart,
    encode,
)
from thistleline.config_feed.operations import ATTEMPT_TIMEOUT, RETRY_DELAY, EndpointSelector
from thistleline.config_feed.recovery import LEASE_NAME, record_key
from thistleline.config_feed.relay import FeedRelay, RelayEvent
from thistleline.config_feed.table import PARTIAL_PREFIXES, Entries, FeedTable
from thistleline.config_feed.writer_effects import AnswerProposal, ReadRecord, ReleaseLease, WriteRecord
from thistleline.config_feed.writer_events import (
    LeaseAcquired,
    LeaseLost,
    ProposalReceived,
    RecordRead,
    RecordWritten,
    WriteDenied,
    WriterEvent,
)
from thistleline.lab.simulation.lease_mutants import patched
from thistleline.lease import holder_effects
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_effects import SendRequest
from thistleline.lease.holder_events import AcquireStarted, AnswerReceived, HolderEvent
from thistleline.lease.liveness import LivenessTracker
from thistleline.lease.protocol import Answer, Denied, Op, Put, Renew, Renewed
from thistleline.lease.table import LeaseTable as LeaseTable
from thistleline.lease.table import encode_decision
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.transport.codec import encode_frame

FRAME_OVERHEAD = len(encode_frame(b""))  # bytes of a frame beside its content
HELLO_SIZE = 60  # bytes of the first message in each direction (links/codec.Hello)
NEVER = 1 << 62
CONTROL_RATE = 10_000_000_000 / 8 / SECOND  # bytes per ns that a keeper or relay can send
INSTANCE_RATE = 1_000_000_000 / 8 / SECOND  # bytes per ns that an instance can send
CONNECT_TIMEOUT = SECOND  # ns until a connection attempt without an answer fails
SYNC_TIME = 5 * MS  # ns of a write to disk
LEASE_LENGTH = 3 * SECOND  # ns; the default length of the lease in config/schema.FeedConfig
MAX_CACHED = 2_000  # entries of each cache

Jitter = Callable[[int], int]
Effects = list[Any]
Key = tuple[int, int, int, int, Kind, tuple[Any, ...]]


class SharedTable(FeedTable):
    """A table whose equal successors are shared by all followers that make them."""

    __slots__ = ()
    cache: ClassVar[dict[Key, "SharedTable"]] = {}

    def update(
        self, number: int, items: Iterable[tuple[str, bytes | None, int]], kind: Kind = "all"
    ) -> "SharedTable":
        """Return the table after a change, from the cache if another follower has made it."""
        change = items if isinstance(items, tuple) else tuple(items)
        key = (self.sequence, self.wide_sum, self.tenants_sum, number, kind, change)
        found = self.cache.get(key)
        if found is None:
            found = self.cache[key] = SharedTable(*FeedTable.update(self, number, change, kind))
            while len(self.cache) > MAX_CACHED:
                del self.cache[next(iter(self.cache))]
        return found

    def entries(self, kind: Kind) -> Iterator[tuple[str, bytes, int]]:
        """Yield the entries by key: parts of a snapshot must not depend on the hash seed of the process."""
        return iter(sorted(super().entries(kind)))


class Node(Protocol):
    """A state machine of the feed."""

    @property
    def table(self) -> FeedTable:
        """The table that it holds."""
        ...

    def handle(self, now: int, event: RelayEvent) -> Effects:
        """Handle an event at `now` ns and return the effects."""
        ...

    def next_deadline(self) -> int:
        """Return the time in ns at which it wants the next `DeadlineReached`."""
        ...


class Instance:
    """A hollow instance: the part that answers look-ups, with the events and effects of a `FeedRelay`."""

    __slots__ = ("lookups",)

    def __init__(self, id: str, table: FeedTable, sources: tuple[str, ...], now: int, spread: Jitter) -> None:
        """Start from a table.

        Args:
            id: Of the instance.
            table: What it holds at the start.
            sources: Relays to follow, by preference.
            now: Time in ns.
            spread: Draws a jitter of at most the given ns.
        """
        self.lookups = LookupCache(Follower(id, "wide", table, sources, now, spread))

    def copy(self) -> "Instance":
        """Return a copy that shares no mutable state."""
        made = Instance.__new__(Instance)
        made.lookups = self.lookups.copy()
        return made

    def state_key(self) -> Any:
        """Return a value that is the same for equal states."""
        return self.lookups.state_key()

    @property
    def table(self) -> FeedTable:
        """The table that it holds."""
        return self.lookups.follower.table

    def next_deadline(self) -> int:
        """Return the time in ns at which it wants the next `DeadlineReached`."""
        return self.lookups.next_deadline()

    def handle(self, now: int, event: Any) -> Effects:
        """Handle an event; each new table becomes a `PersistTable`."""
        out: Effects = []
        for effect in self.lookups.handle(now, event):
            if isinstance(effect, DeltaApplied | SnapshotLoaded):
                out.append(PersistTable(self.table))
            else:
                out.append(effect)
        return out


class Oracle:
    """The acknowledged changes in order, and the check of tables against them."""

    def __init__(self, table: FeedTable) -> None:
        """Begin with a table that all processes hold."""
        self.first = self.last = table.sequence
        self.base = {key: value for key, value, _ in table.entries("all")}
        self.wide_count = sum(not key.startswith(PARTIAL_PREFIXES) for key in self.base)
        self.values_by_key: dict[str, tuple[list[int], list[bytes | None]]] = {}
        self.changed_keys: list[tuple[int, str]] = []
        self.wide_counts = {self.first: self.wide_count}  # number of wide entries at each sequence number
        self.checked: dict[tuple[int, int, int], Entries] = {}
        self.wrong = ""

    def acknowledge(self, number: int, items: tuple[tuple[str, bytes | None], ...]) -> None:
        """Add an acknowledged change; it has to have the next sequence number."""
        if number != self.last + 1:
            self.wrong = f"{number} was acknowledged after {self.last}"
            return
        for key, value in items:
            if not key.startswith(PARTIAL_PREFIXES):
                self.wide_count += (value is not None) - (self.value_at(key, self.last) is not None)
            numbers, values = self.values_by_key.setdefault(key, ([], []))
            numbers.append(number)
            values.append(value)
            self.changed_keys.append((number, key))
        self.last = number
        self.wide_counts[number] = self.wide_count

    def value_at(self, key: str, number: int) -> bytes | None:
        """Return the value of a key at a sequence number; None if it has none."""
        numbers, values = self.values_by_key.get(key, ([], []))
        index = bisect_right(numbers, number)
        return values[index - 1] if index else self.base.get(key)

    def check(self, table: FeedTable, kind: Kind, before: int) -> None:
        """Check a table that a process holds: keys changed since `before` by value, the rest by count.

        The keys of the last 20 changes are checked in any case.
        """
        fingerprint = (table.sequence, table.wide_sum, table.tenants_sum)
        if self.checked.get(fingerprint) is table.wide:
            return
        self.checked[fingerprint] = table.wide
        while len(self.checked) > MAX_CACHED:
            del self.checked[next(iter(self.checked))]
        if table.sequence > self.last:
            return  # committed, but its acknowledgement is in transit: checked at the end of the run
        start = bisect_right(self.changed_keys, (min(before, table.sequence - 20), ""))
        for _, key in self.changed_keys[start:]:
            if not key.startswith(PARTIAL_PREFIXES) or kind == "all":
                found = table.get(key)
                if (found[0] if found else None) != self.value_at(key, table.sequence):
                    self.wrong = f"{key} at {table.sequence} differs from what was acknowledged"
        if len(table.wide) != self.wide_counts[table.sequence]:
            self.wrong = (
                f"{len(table.wide)} entries at {table.sequence}, not {self.wide_counts[table.sequence]}"
            )

    def difference(self, table: FeedTable, kind: Kind) -> str:
        """Compare all entries of the newest table with a plain dict; return the difference, or ""."""
        if table.sequence != self.last:
            return f"it ends at {table.sequence}, not at {self.last}"
        expected = dict(self.base)
        for key, (_, values) in self.values_by_key.items():
            value = values[-1]
            if value is None:
                expected.pop(key, None)
            else:
                expected[key] = value
        if kind == "wide":
            expected = {key: value for key, value in expected.items() if not key.startswith(PARTIAL_PREFIXES)}
        actual = {key: value for key, value, _ in table.entries(kind)}
        return "" if actual == expected else "its entries differ from what was acknowledged"


class Link:
    """A connection; what was sent before an end closes it arrives before the close does."""

    __slots__ = ("arrived", "client", "closed", "peer", "server", "silent")

    def __init__(self, client: "Process", server: "Process", peer: int) -> None:
        """Connect a client to a server, which knows the connection as `peer`."""
        self.client, self.server, self.peer = client, server, peer
        self.silent = False  # after a loss nothing arrives any more
        self.closed = [False, False]  # by the client, by the server
        self.arrived = [0, 0]  # ns; arrival of the last message at the client, at the server


class Process:
    """A process of the fleet."""

    __slots__ = (
        *(
            "name",
            "region",
            "zone",
            "node",
            "alive",
            "wake",
            "link",
            "peers",
            "rate",
            "line_free",
            "read_interval",
        ),
        *(
            "read_offset",
            "got",
            "sent",
            "got_bytes",
            "sent_bytes",
            "cpu",
            "events",
            "since",
            "number",
            "durable",
        ),
        "incarnation",
    )

    def __init__(self, name: str, region: int, zone: int, node: Node, rate: float) -> None:
        """Start a process that sends `rate` bytes per ns."""
        self.name, self.region, self.zone, self.node, self.rate = name, region, zone, node, rate
        self.alive, self.wake, self.incarnation = True, NEVER, 0
        self.link: Link | None = None
        self.peers: dict[int, Link] = {}
        self.line_free = 0.0  # ns; when all sent messages have left
        # ns between reads of a slow process, and their offset; 0: it reads at once.
        self.read_interval = self.read_offset = 0
        self.got = self.sent = self.got_bytes = self.sent_bytes = self.cpu = self.events = 0
        self.since = 0  # ns; its start
        self.number = 0
        self.durable: FeedTable | None = None


class PendingProposal(EndpointSelector):
    """A proposed change, until its requester knows its sequence number."""

    __slots__ = ("first_sent", "last_sent", "propose", "region", "try_count")

    def __init__(self, propose: Propose, region: int, now: int, names: list[str], at: str) -> None:
        """Begin with a first attempt from a region, sent to the keeper `at` of `names`."""
        super().__init__(names, at)
        self.propose, self.region = propose, region
        self.first_sent = self.last_sent = now  # ns; when it was first and last sent
        self.try_count = 1


class VirtualClock:
    """Virtual time in ns, and the callbacks to run at given times."""

    def __init__(self) -> None:
        """Start at 0 ns."""
        self.now = self.count = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a callback at `when` ns, with arguments."""
        self.count += 1
        heappush(self.queue, (when, self.count, callback, arguments))

    def run(self, until: int, is_done: Callable[[], bool] = lambda: False) -> bool:
        """Run callbacks until `until` ns or until `is_done` (checked every 10 ms); return its last result."""
        queue, next_check = self.queue, 0
        while queue and queue[0][0] <= until:
            if queue[0][0] >= next_check:
                next_check = queue[0][0] + 10 * MS
                if is_done():
                    return True
            self.now, _, callback, arguments = heappop(queue)
            callback(*arguments)
        self.now = max(self.now, until)
        return is_done()


def draw_region_delays(chance: Random, regions: int) -> list[list[int]]:
    """Draw the least delay in ns between each two regions; 0 within one."""
    apart = [[0] * regions for _ in range(regions)]
    for one in range(regions):
        for other in range(one):
            apart[one][other] = apart[other][one] = chance.randint(5, 120) * MS
    return apart


class VirtualFeed(VirtualClock):
    """A fleet of the feed in virtual time."""

    def __init__(
        self,
        table: FeedTable,
        seed: int,
        instances: int,
        regions: int = 10,
        relays: int = 2,
        keepers: int = 5,
        timed: bool = False,
        zones: int = 0,
    ) -> None:
        """Build the fleet.

        Args:
            table: What all processes hold at the start.
            seed: Of all random draws.
            instances: Number of instances.
            regions: Number of regions.
            relays: Relays in each region, each in a zone of its own if there are as many.
            keepers: Number of keepers.
            timed: Whether to add up the processor time of the instances' state machines.
            zones: Zones in all, dealt out to the regions; 0 for one in each.
        """
        super().__init__()
        self.chance, self.timed = Random(seed), timed
        self.peers = 0
        self.leases, self.index = LeaseTable(), 0
        self.liveness, self.next_liveness_check = LivenessTracker(), NEVER
        self.lease_holders: dict[str, LeaseHolder] = {}
        table = SharedTable(*self._with_first_change(table))
        self.start = table
        self.oracle = Oracle(table)
        self.processes: dict[str, Process] = {}
        self.regions, self.zones = regions, zones or regions
        self.region_delays = draw_region_delays(self.chance, regions)
        self.is_cut: Callable[[int, int], bool] = lambda one, other: False
        self.lost_messages = 0
        self.message_sizes: dict[int, tuple[Any, int]] = {}
        self.tickets = 0
        self.proposals: dict[int, PendingProposal] = {}
        self.known: dict[int, PendingProposal] = {}  # by sequence number; those whose requester knows it
        # By sequence number: (time, start of the instance) of changes in force before their requester knows.
        self.early_in_force: dict[int, list[tuple[int, int]]] = defaultdict(list)
        # By sequence number: acknowledged while an earlier number is not yet known.
        self.out_of_order: dict[int, PendingProposal] = {}
        self.sequence_by_request: dict[str, int] = {}  # sequence number by request id
        # Number of (change, instance) by ms from the last attempt until the change is in force.
        self.latencies: Counter[int] = Counter()
        # The same from the first attempt, of changes with several attempts.
        self.latencies_from_first: Counter[int] = Counter()
        self.refused: list[str] = []
        self.lookup_counts: Counter[str] = Counter()
        self.wrong = ""
        self.keepers = [f"k{place}" for place in range(keepers)]
        self.known_writer = self.keepers[0]  # the keeper that requesters believe to be the writer
        self.relays = [f"r{region}.{place}" for region in range(regions) for place in range(relays)]
        for place, name in enumerate(self.keepers):
            others = tuple(one for one in self.keepers if one != name)
            node = FeedRelay(name, 0, table, others, self.now, self._jitter, tuple(self.keepers))
            region = place * regions // keepers
            self._add(Process(name, region, region, node, CONTROL_RATE))
        for name in self.relays:
            sources = self.keepers[:]
            self.chance.shuffle(sources)
            region, place = map(int, name[1:].split("."))
            zone = place * regions + region
            node = FeedRelay(name, 1, table, tuple(sources), 0, self._jitter)
            self._add(Process(name, region, zone if zone < self.zones else region, node, CONTROL_RATE))
        self.wide = SharedTable(*FeedTable.update(FeedTable(), table.sequence, table.entries("wide"), "wide"))
        self.instances = [f"i{place}" for place in range(instances)]
        for place, name in enumerate(self.instances):
            zone = place % self.zones
            region = zone % regions
            self._add(Process(name, region, zone, self._instance(name, region, self.wide), INSTANCE_RATE))

    def _instance(self, name: str, region: int, table: FeedTable) -> Node:
        near = [one for one in self.relays if one.startswith(f"r{region}.")]
        self.chance.shuffle(near)
        far = [one for one in self.relays if one not in near]
        return Instance(
            name, table, (*near, *self.chance.sample(far, min(2, len(far)))), self.now, self._jitter
        )

    def _with_first_change(self, table: FeedTable) -> FeedTable:
        """Apply one more change, which the first record holds: the first writer resumes from it."""
        change = Change(table.sequence + 1, "first", (("common/first", b"{}"),))
        made = table.apply(change)
        value = encode(Group(0, (change,), table.digest("all"), made.digest("all")))
        self.leases.apply(0, encode_decision(Put(record_key(0), value, 0)))
        return made

    def _jitter(self, span: int) -> int:
        return self.chance.randrange(span) if span > 0 else 0

    def _add(self, process: Process) -> None:
        self.processes[process.name] = process
        process.number = process.node.table.sequence
        process.durable = process.node.table
        self._schedule_wake(process)

    # ---- time

    def run(self, until: int, is_done: Callable[[], bool] = lambda: False) -> bool:
        """Run as `VirtualClock.run` does, with tables shared by all followers."""
        with patched(((follower_module, "FeedTable", SharedTable),)):
            return super().run(until, is_done)

    def _schedule_wake(self, process: Process) -> None:
        due = process.node.next_deadline()
        if due < process.wake:
            process.wake = max(due, self.now + 1)
            # A paused process reads the messages that arrived meanwhile before it checks the time.
            when = self._read_time(process, process.wake) + 1 if process.read_interval else process.wake
            self.at(when, self._wake, process, process.wake, process.incarnation)

    def _wake(self, process: Process, when: int, incarnation: int) -> None:
        if process.wake != when or process.incarnation != incarnation or not process.alive:
            return
        process.wake = NEVER
        if process.node.next_deadline() <= self.now:
            self.put(process, DeadlineReached())
        else:
            self._schedule_wake(process)

    def _read_time(self, process: Process, when: int) -> int:
        """Return when a process reads what arrives at `when`; a slow one reads all messages at intervals."""
        if not process.read_interval:
            return when
        return when + (process.read_offset - when) % process.read_interval

    # ---- events and effects of a process

    def put(self, process: Process, event: RelayEvent) -> None:
        """Let a live process handle an event, and carry out its effects."""
        if not process.alive:
            return
        process.events += 1
        if self.timed and process.name[0] == "i":
            began = perf_counter_ns()
            effects = process.node.handle(self.now, event)
            process.cpu += perf_counter_ns() - began
        else:
            effects = process.node.handle(self.now, event)
        for effect in effects:
            self._carry_out(process, effect)
        table = process.node.table
        if table.sequence != process.number:
            self._on_table_changed(process, table)
        self._schedule_wake(process)

    def _carry_out(self, process: Process, effect: Any) -> None:
        match effect:
            case SendUpstream(source, message):
                self._send_upstream(process, source, message)
            case SendDownstream(peer, message):
                self._send_downstream(process, peer, message)
            case PersistStep(table) | PersistTable(table):
                self.at(self.now + SYNC_TIME, self._on_durable, process, table, process.incarnation)
            case ConnectUpstream(source):
                self._connect(process, source)
            case DisconnectUpstream(source):
                self._disconnect(process, source)
            case CloseDownstream(peer):
                self._close_downstream(process, peer)
            case ReadRecord(slot, key):
                self._read_record(process, slot, key)
            case WriteRecord(slot, put):
                self._write_record(process, slot, put)
            case AnswerProposal(ticket, result):
                self._on_proposal_answer(process, ticket, result)
            case ReleaseLease(reason):
                self._on_release(process, reason)
            case LogEvent(event, fields):
                self._on_log(process, event, fields)

    def _on_table_changed(self, process: Process, table: FeedTable) -> None:
        before, process.number = process.number, table.sequence
        if table.sequence < before:
            self.wrong = self.wrong or f"{process.name} went back from {before} to {table.sequence}"
        hollow = process.name[0] == "i"
        self.oracle.check(table, "wide" if hollow else "all", before)
        if hollow:
            for number in range(max(before + 1, self.start.sequence + 1), table.sequence + 1):
                proposal = self.known.get(number)
                if proposal is None:  # a new writer sends out changes whose requesters have no answer yet
                    self.early_in_force[number].append((self.now, process.since))
                else:
                    self._count_latency(proposal, self.now, process.since)

    def _count_latency(self, proposal: PendingProposal, when: int, since: int) -> None:
        """Count the latency of a change at an instance that is up since `since` ns."""
        self.latencies[max(0, when - max(proposal.last_sent, since)) // MS] += 1
        if proposal.try_count > 1:
            self.latencies_from_first[(when - max(proposal.first_sent, since)) // MS] += 1

    def _connect(self, process: Process, name: str) -> None:
        old = process.link
        if old is not None:
            self._close_link(old, 0)
        server = self.processes.get(name)
        if server is None or not server.alive or self.is_cut(process.region, server.region):
            self.at(
                self._read_time(process, self.now + CONNECT_TIMEOUT),
                self._on_no_answer,
                process,
                name,
                process.incarnation,
            )
            return
        delay = self._draw_delay(process, server)
        self.at(self.now + delay, self._on_joined, process, server, process.incarnation, server.incarnation)

    def _on_no_answer(self, process: Process, name: str, incarnation: int) -> None:
        if process.incarnation == incarnation:
            self.put(process, UpstreamLost(name, "no answer"))

    def _on_joined(
        self, process: Process, server: Process, incarnation: int, server_incarnation: int
    ) -> None:
        if (
            server.incarnation != server_incarnation
            or not server.alive
            or process.incarnation != incarnation
            or not process.alive
        ):
            return
        self.peers += 1
        link = Link(process, server, self.peers)
        server.peers[link.peer] = link
        self._count_message(process, server, HELLO_SIZE + FRAME_OVERHEAD)
        self._count_message(server, process, HELLO_SIZE + FRAME_OVERHEAD)
        link.arrived = [self.now, self.now]
        process.link = link
        self.put(server, SubscriberJoined(link.peer))
        when = self._read_time(process, self.now + self._draw_delay(process, server))
        link.arrived[0] = max(link.arrived[0], when)
        self.at(link.arrived[0], self._on_connected, link, incarnation)

    def _on_connected(self, link: Link, incarnation: int) -> None:
        if not link.closed[0] and link.client.incarnation == incarnation:
            self.put(link.client, UpstreamConnected(link.server.name))

    def _draw_delay(self, one: Process, other: Process) -> int:
        least = self.region_delays[one.region][other.region] or MS // 2
        return least + int(least * self.chance.random() / 5)

    def _send_upstream(self, process: Process, name: str, message: Any) -> None:
        link = process.link
        if link is not None and link.server.name == name:
            self._transmit(link, 1, message)

    def _send_downstream(self, process: Process, peer: int, message: Any) -> None:
        link = process.peers.get(peer)
        if link is not None:
            self._transmit(link, 0, message)

    def _message_size(self, message: Any) -> int:
        if not isinstance(message, Delta | SnapshotPart):
            return len(encode(message)) + FRAME_OVERHEAD
        known = self.message_sizes.get(id(message))
        if known is None:
            known = self.message_sizes[id(message)] = message, len(encode(message)) + FRAME_OVERHEAD
            while len(self.message_sizes) > MAX_CACHED:
                del self.message_sizes[next(iter(self.message_sizes))]
        return known[1]

    def _count_message(self, source: Process, to: Process, size: int) -> None:
        source.sent += 1
        source.sent_bytes += size
        to.got += 1
        to.got_bytes += size

    def _transmit(self, link: Link, direction: int, message: Any) -> None:
        source, to = (link.client, link.server) if direction else (link.server, link.client)
        size = self._message_size(message)
        source.sent += 1
        source.sent_bytes += size
        if link.silent or self.is_cut(source.region, to.region):
            link.silent = True  # after a loss nothing else arrives on this connection
            self.lost_messages += 1
            return
        source.line_free = max(source.line_free, float(self.now)) + size / source.rate
        when = max(int(source.line_free) + self._draw_delay(source, to), link.arrived[direction])
        link.arrived[direction] = when
        self.at(self._read_time(to, when), self._on_arrival, link, direction, message, size)

    def _on_arrival(self, link: Link, direction: int, message: Any, size: int) -> None:
        to = link.server if direction else link.client
        if link.closed[direction] or link.silent or not to.alive:
            return
        if self.is_cut(link.client.region, link.server.region):
            link.silent = True
            return
        to.got += 1
        to.got_bytes += size
        if direction:
            self.put(to, SubscriberMessage(link.peer, message))
        else:
            self.put(to, UpstreamMessage(link.server.name, message))

    def _close_link(self, link: Link, by: int) -> None:
        """Close a connection from the client (0) or the server (1).

        The other end is notified unless the regions are partitioned.
        """
        link.closed[by] = True
        if by:
            link.server.peers.pop(link.peer, None)
        elif link.client.link is link:
            link.client.link = None
        if link.closed[1 - by] or link.silent or self.is_cut(link.client.region, link.server.region):
            return
        when = max(self.now + self._draw_delay(link.client, link.server), link.arrived[1 - by])
        if by:
            self.at(self._read_time(link.client, when), self._on_upstream_lost, link)
        else:
            self.at(when, self._on_subscriber_left, link)

    def _on_upstream_lost(self, link: Link) -> None:
        if not link.closed[0] and link.client.link is link:
            link.closed[0] = True
            link.client.link = None
            self.put(link.client, UpstreamLost(link.server.name, "connection ended"))

    def _on_subscriber_left(self, link: Link) -> None:
        if not link.closed[1] and link.server.peers.pop(link.peer, None) is not None:
            link.closed[1] = True
            self.put(link.server, SubscriberLeft(link.peer))

    def _disconnect(self, process: Process, name: str) -> None:
        if process.link is not None and process.link.server.name == name:
            self._close_link(process.link, 0)

    def _close_downstream(self, process: Process, peer: int) -> None:
        if peer in process.peers:
            self._close_link(process.peers[peer], 1)

    def _on_log(self, process: Process, event: str, facts: dict[str, Any]) -> None:
        if event == "gives_up":
            self.wrong = self.wrong or f"{process.name} gives up: {facts}"

    def _on_durable(self, process: Process, table: FeedTable, incarnation: int) -> None:
        if process.incarnation == incarnation and process.alive:
            process.durable = table
            self.put(process, StateDurable(table.sequence))

    # ---- the consensus cluster

    def _draw_round_trip(self) -> int:
        """Draw the ns of a confirmed write or read: to the leader, to a majority and back."""
        return self.chance.randint(30, 120) * MS

    def _on_record_answer(self, process: Process, holder: LeaseHolder, event: WriterEvent) -> None:
        """Hand the answer about a record to the writer, unless it lost the lease meanwhile."""
        if self.lease_holders.get(process.name) is holder:
            self.put(process, event)

    def _read_record(self, process: Process, slot: int, key: str) -> None:
        got, holder = self.leases.get(key), self.lease_holders[process.name]
        self.at(
            self.now + self._draw_round_trip(),
            self._on_record_answer,
            process,
            holder,
            RecordRead(slot, got.value, got.version),
        )

    def _write_record(self, process: Process, slot: int, put: Put) -> None:
        self.at(
            self.now + self._draw_round_trip() // 2,
            self._apply_write,
            process,
            self.lease_holders[process.name],
            slot,
            put,
        )

    def _apply_write(self, process: Process, holder: LeaseHolder, slot: int, put: Put) -> None:
        answer = self._apply(put)
        when = self.now + self._draw_round_trip() // 2
        if isinstance(answer, Denied):
            self.at(when, self._on_record_answer, process, holder, WriteDenied(slot, answer.reason))
        else:
            self.at(when, self._on_record_answer, process, holder, RecordWritten(slot, put.version + 1))

    def _apply(self, op: Op) -> Answer:
        self.index += 1
        return self.leases.apply(self.index, encode_decision(op))  # type: ignore[arg-type]

    def _on_release(self, process: Process, why: str) -> None:
        self.wrong = self.wrong or f"{process.name} releases the lease: {why}"

    def give_lease_to(self, name: str) -> None:
        """Let a keeper ask for the lease first, and all others 1 s later."""
        for one in self.keepers:
            self.at(
                self.now if one == name else self.now + SECOND, self._start_acquiring, self.processes[one]
            )

    def _start_acquiring(self, process: Process) -> None:
        """Start to acquire the lease, with a new holder for each attempt, as config_feed/service does."""
        if process.alive:
            asker = f"{process.name}.{self.index}.{self.now}"
            holder = self.lease_holders[process.name] = LeaseHolder(
                LEASE_NAME, asker, LEASE_LENGTH, True, self.now, self._jitter
            )
            self._step_holder(process, holder, AcquireStarted())

    def _step_holder(self, process: Process, holder: LeaseHolder, event: HolderEvent) -> None:
        if self.lease_holders.get(process.name) is not holder:
            return
        for effect in holder.handle(self.now, event):
            if isinstance(effect, SendRequest):
                self.at(
                    self.now + self._draw_round_trip() // 2,
                    self._on_lease_request,
                    process,
                    holder,
                    effect.number,
                    effect.op,
                )
            elif isinstance(effect, holder_effects.LeaseAcquired):
                self.put(process, LeaseAcquired(effect.epoch))
            else:
                del self.lease_holders[process.name]
                self.put(process, LeaseLost(effect.reason))
                self.at(
                    self.now + LEASE_LENGTH // 3 + self._jitter(LEASE_LENGTH // 3),
                    self._start_acquiring,
                    process,
                )
                return
        self.at(max(holder.next_deadline(), self.now + 1), self._wake_holder, process, holder)

    def _wake_holder(self, process: Process, holder: LeaseHolder) -> None:
        if self.lease_holders.get(process.name) is holder and holder.next_deadline() <= self.now:
            self._step_holder(process, holder, DeadlineReached())

    def _on_lease_request(self, process: Process, holder: LeaseHolder, number: int, op: Op) -> None:
        """Handle a lease request at the leader of the consensus cluster."""
        if isinstance(op, Renew):
            for name, asker in op.leases:
                self.liveness.renew(self.now, name, asker, self.leases)
            answer: Answer = Renewed(tuple(self.leases.status_of(*one) for one in op.leases))
        else:
            answer = self._apply(op)
        self._check_liveness()
        self.at(
            self.now + self._draw_round_trip() // 2,
            self._step_holder,
            process,
            holder,
            AnswerReceived(number, answer),
        )

    def _check_liveness(self) -> None:
        """Expire the lease if it was not renewed for its length."""
        self.liveness.update(self.now, LEASE_NAME, self.leases)
        for op in self.liveness.expired(self.now, self.now // MS, self.leases):
            self._apply(op)
            self.liveness.update(self.now, LEASE_NAME, self.leases)
        due = self.liveness.next_deadline()
        if due is not None and (due < self.next_liveness_check or self.next_liveness_check <= self.now):
            self.next_liveness_check = max(due, self.now + 1)
            self.at(self.next_liveness_check, self._check_liveness)

    # ---- changes

    def propose(self, propose: Propose) -> None:
        """Propose a change now, from a random region, at the keeper that is believed to be the writer."""
        self.tickets += 1
        region = self.chance.randrange(self.regions)
        self.proposals[self.tickets] = PendingProposal(
            propose, region, self.now, self.keepers, self.known_writer
        )
        self._send_proposal(self.tickets)

    def _send_proposal(self, ticket: int) -> None:
        proposal = self.proposals.get(ticket)
        if proposal is None:
            return  # it was answered during the delay before the retry
        proposal.last_sent = self.now
        keeper = self.processes[proposal.current]
        self.at(
            self.now + (self.region_delays[proposal.region][keeper.region] or MS),
            self._on_proposal,
            keeper,
            ticket,
        )
        self.at(self.now + int(ATTEMPT_TIMEOUT * SECOND), self._retry, ticket, proposal.try_count, False)

    def _on_proposal(self, keeper: Process, ticket: int) -> None:
        if ticket in self.proposals:
            self.put(keeper, ProposalReceived(ticket, self.proposals[ticket].propose))

    def _retry(self, ticket: int, try_count: int, answered: bool, leader: str = "") -> None:
        """Retry a proposal, at the writer if the answer names it, else at the next keeper after a delay."""
        proposal = self.proposals.get(ticket)
        if proposal is None or proposal.try_count != try_count:
            return
        proposal.try_count += 1
        if proposal.advance(answered, leader):
            self._send_proposal(ticket)
        else:
            self.at(
                self.now + int(RETRY_DELAY * SECOND * self.chance.uniform(0.5, 1.5)),
                self._send_proposal,
                ticket,
            )

    def writer(self) -> Process:
        """Return the live keeper that is the writer."""
        for name in self.keepers:
            process = self.processes[name]
            if process.alive and isinstance(process.node, FeedRelay) and process.node.is_writer:
                return process
        raise AssertionError("no keeper is the writer")

    def _on_proposal_answer(self, process: Process, ticket: int, answer: ProposeResult) -> None:
        proposal = self.proposals.get(ticket)
        if proposal is None:
            return
        if answer.unknown:
            delay = self.region_delays[proposal.region][process.region] or MS
            self.at(self.now + delay, self._retry, ticket, proposal.try_count, True, answer.leader)
            return
        del self.proposals[ticket]
        if not answer.sequence:
            self.refused.append(answer.reason)
            return
        self.known_writer = process.name
        request, number = proposal.propose.request_id, answer.sequence
        if self.sequence_by_request.setdefault(request, number) != number or number in self.known:
            self.wrong = (
                self.wrong
                or f"{request} is {number}, not {self.sequence_by_request[request]}, or a duplicate number"
            )
            return
        self.known[number] = self.out_of_order[number] = proposal
        for when, since in self.early_in_force.pop(number, ()):
            self._count_latency(proposal, when, since)
        # A committed change whose answer was lost becomes known by a retry; later numbers wait for it.
        while (known := self.out_of_order.pop(self.oracle.last + 1, None)) is not None:
            number = self.oracle.last + 1
            made = f"made/{number % DEDUPLICATION_SLOTS}", known.propose.request_id.encode()
            self.oracle.acknowledge(number, (*known.propose.items, made))

    def look_up(self, name: str, key: str) -> None:
        """Look a key up at an instance, and check the value against the sequence number that it holds."""
        process = self.processes[name]
        if not process.alive or not isinstance(process.node, Instance):
            return
        found = process.node.lookups.lookup(key)
        self.lookup_counts["known" if found.known else "not known yet"] += 1
        if (
            found.known
            and process.number <= self.oracle.last
            and found.value != self.oracle.value_at(key, process.number)
        ):
            self.wrong = self.wrong or f"{name} looks up a wrong value of {key} at {process.number}"
        self._schedule_wake(process)

    # ---- faults

    def kill(self, name: str) -> None:
        """Stop a process without any notice to its peers, as if its machine failed."""
        process = self.processes[name]
        process.alive = False
        self.lease_holders.pop(name, None)
        process.incarnation += 1
        for link in [*process.peers.values(), *([process.link] if process.link else [])]:
            link.silent = True
        process.peers = {}

    def restart(self, name: str, cold: bool) -> None:
        """Restart an instance or a keeper, empty or from its durable table."""
        process = self.processes[name]
        self.kill(name)
        if process.link is not None:
            process.link.closed[0] = True
            # Its machine resets the unknown connection.
            self.at(self.now + MS, self._on_subscriber_left, process.link)
        table = SharedTable() if cold or process.durable is None else process.durable
        process.link, process.wake = None, NEVER
        process.alive, process.since = True, self.now
        if name in self.keepers:
            others = tuple(one for one in self.keepers if one != name)
            process.node = FeedRelay(name, 0, table, others, self.now, self._jitter, tuple(self.keepers))
            self._start_acquiring(process)
        else:
            process.node = self._instance(name, process.region, table)
        process.number = table.sequence
        self._schedule_wake(process)

    def slow(self, name: str, interval: int) -> None:
        """Let a process read arriving messages only every `interval` ns from now on."""
        process = self.processes[name]
        process.read_interval, process.read_offset = interval, self.chance.randrange(max(1, interval))
        # A wake time of its own: the one before would precede the unread messages.
        process.wake = max(process.node.next_deadline(), self.now) + 1
        self.at(
            self._read_time(process, process.wake) + 1, self._wake, process, process.wake, process.incarnation
        )

    # ---- results

    def behind(self) -> int:
        """Return the number of live processes that do not hold the newest acknowledged change."""
        last = self.oracle.last
        return sum(one.alive and one.number != last for one in self.processes.values())

    def settle(self, patience: int = 60 * SECOND) -> int:
        """Run until all processes hold the newest change, for `patience` ns at most; return the ns taken.

        It raises no error if they never do: see `faults`.
        """
        began = self.now
        self.run(self.now + patience, lambda: not self.proposals and not self.behind())
        return self.now - began

    def faults(self) -> list[str]:
        """Return all violations, at the end of a run."""
        found = [one for one in (self.wrong, self.oracle.wrong) if one]
        digests: dict[Kind, set[bytes]] = defaultdict(set)
        checked: dict[int, Any] = {}
        for process in self.processes.values():
            if process.alive:
                kind: Kind = "wide" if process.name[0] == "i" else "all"
                table = process.node.table
                digests[kind].add(table.digest(kind))
                if id(table.wide) not in checked:
                    checked[id(table.wide)] = table
                    wrong = self.oracle.difference(table, kind)
                    if wrong:
                        found.append(f"{process.name}: {wrong}")
        found += [f"{len(some)} digests of {kind}" for kind, some in digests.items() if len(some) > 1]
        if self.out_of_order:
            found.append(f"{self.oracle.last + 1} was committed, but its requester does not know it")
        return found

    def totals(self, names: Iterable[str]) -> list[tuple[int, int, int, int, int, int]]:
        """Return of each process: messages, then bytes, received and sent; events; processor ns."""
        return [
            (one.got, one.sent, one.got_bytes, one.sent_bytes, one.events, one.cpu)
            for one in map(self.processes.__getitem__, names)
        ]


def quantile(counts: Counter[int], part: float) -> int:
    """Return the quantile `part` of counted values; 0 if there are none."""
    total, seen = sum(counts.values()), 0
    for value in sorted(counts):
        seen += counts[value]
        if seen >= part * total:
            return value
    return 0
