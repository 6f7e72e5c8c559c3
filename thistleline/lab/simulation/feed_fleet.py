"""A fleet of the feed in virtual time: a writer, keepers, relays by region and hollow instances, the reducers
that run, joined by links with delay, loss of connections, machines that stop and peers that are slow. No I/O.

Hollow instances share what is equal: a state that one made from another by the same entries is the state of
all who do the same (`Shared`), so that thousands fit into one process. What that step costs an instance is
measured apart. An oracle that knows nothing of the reducers keeps its own list of changes and plain dicts.

The council is stood in for: its table and its watch over leases are the real ones, its trips are drawn. Who
asks for a change asks the one that wrote last, and goes on as config_feed/operations.propose does until it
is known.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from heapq import heappop, heappush
from random import Random
from time import perf_counter_ns
from typing import Any, ClassVar, Protocol

from thistleline.config_feed import follower as following
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
from thistleline.lease.table import LeaseTable as Leases
from thistleline.lease.table import encode_decision
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.transport.codec import encode_frame

HEAD = len(encode_frame(b""))
HELLO = 60  # bytes of the first message each way (links/codec.Hello)
NEVER = 1 << 62
PLENTY = 10_000_000_000 / 8 / SECOND  # bytes a ns that a control machine sends at
LINE = 1_000_000_000 / 8 / SECOND  # and an instance
NO_ANSWER = SECOND  # until who connects to nobody gives it up
SYNC = 5 * MS  # of a write
LENGTH = 3 * SECOND  # of the lease, as conf/schema.Feed has it where nothing is said
KEPT = 2_000  # states shared at once

Spread = Callable[[int], int]
Effects = list[Any]
Key = tuple[int, int, int, int, Kind, tuple[Any, ...]]


class Shared(FeedTable):
    """A state whose followers share what they make of it."""

    __slots__ = ()
    made: ClassVar[dict[Key, "Shared"]] = {}

    def update(
        self, number: int, items: Iterable[tuple[str, bytes | None, int]], kind: Kind = "all"
    ) -> "Shared":
        told = items if isinstance(items, tuple) else tuple(items)
        key = (self.sequence, self.wide_sum, self.tenants_sum, number, kind, told)
        found = self.made.get(key)
        if found is None:
            found = self.made[key] = Shared(*FeedTable.update(self, number, told, kind))
            while len(self.made) > KEPT:
                del self.made[next(iter(self.made))]
        return found

    def entries(self, kind: Kind) -> Iterator[tuple[str, bytes, int]]:
        """By key: guards against a snapshot's parts that hang on the hashes of a process."""
        return iter(sorted(super().entries(kind)))


class Node(Protocol):
    @property
    def table(self) -> FeedTable: ...

    def handle(self, now: int, event: RelayEvent) -> Effects: ...

    def next_deadline(self) -> int: ...


class Instance:
    """A hollow instance: what its look-ups answer by. Inputs and effects as of a FeedRelay."""

    __slots__ = ("lookups",)

    def __init__(self, id: str, table: FeedTable, sources: tuple[str, ...], now: int, spread: Spread) -> None:
        self.lookups = LookupCache(Follower(id, "wide", table, sources, now, spread))

    def copy(self) -> "Instance":
        made = Instance.__new__(Instance)
        made.lookups = self.lookups.copy()
        return made

    def state_key(self) -> Any:
        return self.lookups.state_key()

    @property
    def table(self) -> FeedTable:
        return self.lookups.follower.table

    def next_deadline(self) -> int:
        return self.lookups.next_deadline()

    def handle(self, now: int, event: Any) -> Effects:
        out: Effects = []
        for effect in self.lookups.handle(now, event):
            if isinstance(effect, DeltaApplied | SnapshotLoaded):
                out.append(PersistTable(self.table))
            else:
                out.append(effect)
        return out


class Oracle:
    """What was acknowledged, in order: each key's values by number. Says what is wrong with a state seen."""

    def __init__(self, table: FeedTable) -> None:
        self.first = self.last = table.sequence
        self.base = {key: value for key, value, _ in table.entries("all")}
        self.wide = sum(not key.startswith(PARTIAL_PREFIXES) for key in self.base)
        self.told: dict[str, tuple[list[int], list[bytes | None]]] = {}
        self.touched: list[tuple[int, str]] = []
        self.counts = {self.first: self.wide}  # wide entries at each number
        self.seen: dict[tuple[int, int, int], Entries] = {}
        self.wrong = ""

    def acknowledged(self, number: int, items: tuple[tuple[str, bytes | None], ...]) -> None:
        if number != self.last + 1:
            self.wrong = f"{number} was acknowledged after {self.last}"
            return
        for key, value in items:
            if not key.startswith(PARTIAL_PREFIXES):
                self.wide += (value is not None) - (self.at(key, self.last) is not None)
            numbers, values = self.told.setdefault(key, ([], []))
            numbers.append(number)
            values.append(value)
            self.touched.append((number, key))
        self.last = number
        self.counts[number] = self.wide

    def at(self, key: str, number: int) -> bytes | None:
        numbers, values = self.told.get(key, ([], []))
        place = bisect_right(numbers, number)
        return values[place - 1] if place else self.base.get(key)

    def check(self, table: FeedTable, kind: Kind, before: int) -> None:
        """A state that somebody holds: what was touched since `before` is looked at, all else by count."""
        mark = (table.sequence, table.wide_sum, table.tenants_sum)
        if self.seen.get(mark) is table.wide:
            return
        self.seen[mark] = table.wide
        while len(self.seen) > KEPT:
            del self.seen[next(iter(self.seen))]
        if table.sequence > self.last:
            return  # decided, its acknowledgement is on its way: looked at in the end
        low = bisect_right(self.touched, (min(before, table.sequence - 20), ""))
        for _, key in self.touched[low:]:
            if not key.startswith(PARTIAL_PREFIXES) or kind == "all":
                found = table.get(key)
                if (found[0] if found else None) != self.at(key, table.sequence):
                    self.wrong = f"{key} at {table.sequence} is not what was acknowledged"
        if len(table.wide) != self.counts[table.sequence]:
            self.wrong = f"{len(table.wide)} entries at {table.sequence}, not {self.counts[table.sequence]}"

    def whole(self, table: FeedTable, kind: Kind) -> str:
        """Of the newest state, all of it, against a plain dict."""
        if table.sequence != self.last:
            return f"it ends at {table.sequence}, not at {self.last}"
        plain = dict(self.base)
        for key, (_, values) in self.told.items():
            value = values[-1]
            if value is None:
                plain.pop(key, None)
            else:
                plain[key] = value
        if kind == "wide":
            plain = {key: value for key, value in plain.items() if not key.startswith(PARTIAL_PREFIXES)}
        here = {key: value for key, value, _ in table.entries(kind)}
        return "" if here == plain else "its entries are not what was acknowledged"


class Link:
    """One connection. What was sent before an end of it arrives before the end does."""

    __slots__ = ("arrived", "client", "closed", "peer", "server", "silent")

    def __init__(self, client: "Place", server: "Place", peer: int) -> None:
        self.client, self.server, self.peer = client, server, peer
        self.silent = False  # something was lost, so nothing arrives any more
        self.closed = [False, False]  # by the client, by the server
        self.arrived = [0, 0]  # when the last one arrives: at the client, at the server


class Place:
    """A process somewhere."""

    __slots__ = (
        *("name", "region", "zone", "node", "alive", "wake", "link", "peers", "rate", "free", "pace"),
        *("phase", "got", "sent", "got_bytes", "sent_bytes", "cpu", "takes", "since", "number", "durable"),
        "life",
    )

    def __init__(self, name: str, region: int, zone: int, node: Node, rate: float) -> None:
        self.name, self.region, self.zone, self.node, self.rate = name, region, zone, node, rate
        self.alive, self.wake, self.life = True, NEVER, 0
        self.link: Link | None = None
        self.peers: dict[int, Link] = {}
        self.free = 0.0  # when all that was sent is out
        self.pace = self.phase = 0  # a slow one takes what came only so often
        self.got = self.sent = self.got_bytes = self.sent_bytes = self.cpu = self.takes = 0
        self.since = 0  # up since
        self.number = 0
        self.durable: FeedTable | None = None


class Asked(EndpointSelector):
    """A change that somebody wants, until its number is known."""

    __slots__ = ("first", "last", "propose", "region", "tries")

    def __init__(self, propose: Propose, region: int, now: int, names: list[str], at: str) -> None:
        super().__init__(names, at)
        self.propose, self.region = propose, region
        self.first = self.last = now  # when it was asked for
        self.tries = 1


class Clock:
    """Virtual time: what is to be done by when, in ns."""

    def __init__(self) -> None:
        self.now = self.count = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, do: Callable[..., None], *told: Any) -> None:
        self.count += 1
        heappush(self.queue, (when, self.count, do, told))

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> bool:
        """Whether it was `over` by then; asked every 10 ms of virtual time."""
        queue, asked = self.queue, 0
        while queue and queue[0][0] <= until:
            if queue[0][0] >= asked:
                asked = queue[0][0] + 10 * MS
                if over():
                    return True
            self.now, _, do, told = heappop(queue)
            do(*told)
        self.now = max(self.now, until)
        return over()


def delays(chance: Random, regions: int) -> list[list[int]]:
    """The least ns from region to region, drawn; 0 within one."""
    apart = [[0] * regions for _ in range(regions)]
    for one in range(regions):
        for other in range(one):
            apart[one][other] = apart[other][one] = chance.randint(5, 120) * MS
    return apart


class VirtualFeed(Clock):
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
        """`table`: what all hold at the start; `relays` of each region, each in a zone of its own where there
        are as many; `zones` in all, dealt out to the regions, one each where nothing is said; `timed`: adds
        up what the instances' reducers take of the processor."""
        super().__init__()
        self.chance, self.timed = Random(seed), timed
        self.peers = 0
        self.leases, self.index = Leases(), 0
        self.watch, self.watching = LivenessTracker(), NEVER
        self.holds: dict[str, LeaseHolder] = {}
        table = Shared(*self._begun(table))
        self.start = table
        self.oracle = Oracle(table)
        self.places: dict[str, Place] = {}
        self.regions, self.zones = regions, zones or regions
        self.apart = delays(self.chance, regions)
        self.cut: Callable[[int, int], bool] = lambda one, other: False
        self.swallowed = 0
        self.sizes: dict[int, tuple[Any, int]] = {}
        self.tickets = 0
        self.proposals: dict[int, Asked] = {}
        self.asked: dict[int, Asked] = {}  # by number, of what is known
        self.early: dict[int, list[tuple[int, int]]] = defaultdict(list)  # in force before it was known
        self.acknowledged: dict[int, Asked] = {}  # after one that is not known yet
        self.made: dict[str, int] = {}  # number of each request
        self.took: Counter[int] = Counter()  # ms from asking last to in force: how many (change, instance)
        self.took_all: Counter[int] = Counter()  # from asking first, of what was asked more than once
        self.refused: list[str] = []
        self.looked: Counter[str] = Counter()
        self.wrong = ""
        self.kept = [f"k{place}" for place in range(keepers)]
        self.wrote = self.kept[0]  # as who asks for changes knows it
        self.relays = [f"r{region}.{place}" for region in range(regions) for place in range(relays)]
        for place, name in enumerate(self.kept):
            others = tuple(one for one in self.kept if one != name)
            node = FeedRelay(name, 0, table, others, self.now, self._spread, tuple(self.kept))
            region = place * regions // keepers
            self._add(Place(name, region, region, node, PLENTY))
        for name in self.relays:
            sources = self.kept[:]
            self.chance.shuffle(sources)
            region, place = map(int, name[1:].split("."))
            zone = place * regions + region
            node = FeedRelay(name, 1, table, tuple(sources), 0, self._spread)
            self._add(Place(name, region, zone if zone < self.zones else region, node, PLENTY))
        self.wide = Shared(*FeedTable.update(FeedTable(), table.sequence, table.entries("wide"), "wide"))
        self.instances = [f"i{place}" for place in range(instances)]
        for place, name in enumerate(self.instances):
            zone = place % self.zones
            region = zone % regions
            self._add(Place(name, region, zone, self._instance(name, region, self.wide), LINE))

    def _instance(self, name: str, region: int, table: FeedTable) -> Node:
        near = [one for one in self.relays if one.startswith(f"r{region}.")]
        self.chance.shuffle(near)
        far = [one for one in self.relays if one not in near]
        return Instance(
            name, table, (*near, *self.chance.sample(far, min(2, len(far)))), self.now, self._spread
        )

    def _begun(self, table: FeedTable) -> FeedTable:
        """One change further, which the council's first record holds: who writes goes on from there."""
        change = Change(table.sequence + 1, "first", (("common/first", b"{}"),))
        made = table.apply(change)
        value = encode(Group(0, (change,), table.digest("all"), made.digest("all")))
        self.leases.apply(0, encode_decision(Put(record_key(0), value, 0)))
        return made

    def _spread(self, span: int) -> int:
        return self.chance.randrange(span) if span > 0 else 0

    def _add(self, place: Place) -> None:
        self.places[place.name] = place
        place.number = place.node.table.sequence
        place.durable = place.node.table
        self._arm(place)

    # ---- time

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> bool:
        with patched(((following, "FeedTable", Shared),)):
            return super().run(until, over)

    def _arm(self, place: Place) -> None:
        due = place.node.next_deadline()
        if due < place.wake:
            place.wake = max(due, self.now + 1)
            # One that stood still reads first what came meanwhile, then it judges the time.
            when = self._paced(place, place.wake) + 1 if place.pace else place.wake
            self.at(when, self._wakes, place, place.wake, place.life)

    def _wakes(self, place: Place, when: int, life: int) -> None:
        if place.wake != when or place.life != life or not place.alive:
            return
        place.wake = NEVER
        if place.node.next_deadline() <= self.now:
            self.put(place, DeadlineReached())
        else:
            self._arm(place)

    def _paced(self, place: Place, when: int) -> int:
        """When a slow one comes to it: it works only so often, and then reads all there is first."""
        if not place.pace:
            return when
        return when + (place.phase - when) % place.pace

    # ---- what a process is told, and what it asks for

    def put(self, place: Place, event: RelayEvent) -> None:
        if not place.alive:
            return
        place.takes += 1
        if self.timed and place.name[0] == "i":
            began = perf_counter_ns()
            effects = place.node.handle(self.now, event)
            place.cpu += perf_counter_ns() - began
        else:
            effects = place.node.handle(self.now, event)
        for effect in effects:
            self._carry_out(place, effect)
        table = place.node.table
        if table.sequence != place.number:
            self._stands(place, table)
        self._arm(place)

    def _carry_out(self, place: Place, effect: Any) -> None:
        match effect:
            case SendUpstream(source, message):
                self._up(place, source, message)
            case SendDownstream(peer, message):
                self._down(place, peer, message)
            case PersistStep(table) | PersistTable(table):
                self.at(self.now + SYNC, self._written, place, table, place.life)
            case ConnectUpstream(source):
                self._connect(place, source)
            case DisconnectUpstream(source):
                self._drop(place, source)
            case CloseDownstream(peer):
                self._close(place, peer)
            case ReadRecord(slot, key):
                self._get(place, slot, key)
            case WriteRecord(slot, put):
                self._put(place, slot, put)
            case AnswerProposal(ticket, result):
                self._answer(place, ticket, result)
            case ReleaseLease(reason):
                self._release(place, reason)
            case LogEvent(event, fields):
                self._log(place, event, fields)

    def _stands(self, place: Place, table: FeedTable) -> None:
        before, place.number = place.number, table.sequence
        if table.sequence < before:
            self.wrong = self.wrong or f"{place.name} goes back from {before} to {table.sequence}"
        hollow = place.name[0] == "i"
        self.oracle.check(table, "wide" if hollow else "all", before)
        if hollow:
            for number in range(max(before + 1, self.start.sequence + 1), table.sequence + 1):
                asked = self.asked.get(number)
                if asked is None:  # who takes over pushes what nobody was told of yet
                    self.early[number].append((self.now, place.since))
                else:
                    self._in_force(asked, self.now, place.since)

    def _in_force(self, asked: Asked, when: int, since: int) -> None:
        """At an instance that is up since then."""
        self.took[max(0, when - max(asked.last, since)) // MS] += 1
        if asked.tries > 1:
            self.took_all[(when - max(asked.first, since)) // MS] += 1

    def _connect(self, place: Place, name: str) -> None:
        old = place.link
        if old is not None:
            self._end(old, 0)
        server = self.places.get(name)
        if server is None or not server.alive or self.cut(place.region, server.region):
            self.at(self._paced(place, self.now + NO_ANSWER), self._unheard, place, name, place.life)
            return
        way = self._way(place, server)
        self.at(self.now + way, self._joined, place, server, place.life, server.life)

    def _unheard(self, place: Place, name: str, life: int) -> None:
        if place.life == life:
            self.put(place, UpstreamLost(name, "no answer"))

    def _joined(self, place: Place, server: Place, life: int, server_life: int) -> None:
        if server.life != server_life or not server.alive or place.life != life or not place.alive:
            return
        self.peers += 1
        link = Link(place, server, self.peers)
        server.peers[link.peer] = link
        self._count(place, server, HELLO + HEAD)
        self._count(server, place, HELLO + HEAD)
        link.arrived = [self.now, self.now]
        place.link = link
        self.put(server, SubscriberJoined(link.peer))
        when = self._paced(place, self.now + self._way(place, server))
        link.arrived[0] = max(link.arrived[0], when)
        self.at(link.arrived[0], self._connected, link, life)

    def _connected(self, link: Link, life: int) -> None:
        if not link.closed[0] and link.client.life == life:
            self.put(link.client, UpstreamConnected(link.server.name))

    def _way(self, one: Place, other: Place) -> int:
        least = self.apart[one.region][other.region] or MS // 2
        return least + int(least * self.chance.random() / 5)

    def _up(self, place: Place, name: str, message: Any) -> None:
        link = place.link
        if link is not None and link.server.name == name:
            self._carry(link, 1, message)

    def _down(self, place: Place, peer: int, message: Any) -> None:
        link = place.peers.get(peer)
        if link is not None:
            self._carry(link, 0, message)

    def _size(self, message: Any) -> int:
        if not isinstance(message, Delta | SnapshotPart):
            return len(encode(message)) + HEAD
        known = self.sizes.get(id(message))
        if known is None:
            known = self.sizes[id(message)] = message, len(encode(message)) + HEAD
            while len(self.sizes) > KEPT:
                del self.sizes[next(iter(self.sizes))]
        return known[1]

    def _count(self, source: Place, to: Place, size: int) -> None:
        source.sent += 1
        source.sent_bytes += size
        to.got += 1
        to.got_bytes += size

    def _carry(self, link: Link, way: int, message: Any) -> None:
        source, to = (link.client, link.server) if way else (link.server, link.client)
        size = self._size(message)
        source.sent += 1
        source.sent_bytes += size
        if link.silent or self.cut(source.region, to.region):
            link.silent = True  # once something of a connection is lost nothing after it arrives
            self.swallowed += 1
            return
        source.free = max(source.free, float(self.now)) + size / source.rate
        when = max(int(source.free) + self._way(source, to), link.arrived[way])
        link.arrived[way] = when
        self.at(self._paced(to, when), self._arrives, link, way, message, size)

    def _arrives(self, link: Link, way: int, message: Any, size: int) -> None:
        to = link.server if way else link.client
        if link.closed[way] or link.silent or not to.alive:
            return
        if self.cut(link.client.region, link.server.region):
            link.silent = True
            return
        to.got += 1
        to.got_bytes += size
        if way:
            self.put(to, SubscriberMessage(link.peer, message))
        else:
            self.put(to, UpstreamMessage(link.server.name, message))

    def _end(self, link: Link, by: int) -> None:
        """By the client, 0, or the server; the other hears of it unless the way is cut."""
        link.closed[by] = True
        if by:
            link.server.peers.pop(link.peer, None)
        elif link.client.link is link:
            link.client.link = None
        if link.closed[1 - by] or link.silent or self.cut(link.client.region, link.server.region):
            return
        when = max(self.now + self._way(link.client, link.server), link.arrived[1 - by])
        if by:
            self.at(self._paced(link.client, when), self._lost, link)
        else:
            self.at(when, self._left, link)

    def _lost(self, link: Link) -> None:
        if not link.closed[0] and link.client.link is link:
            link.closed[0] = True
            link.client.link = None
            self.put(link.client, UpstreamLost(link.server.name, "it ended"))

    def _left(self, link: Link) -> None:
        if not link.closed[1] and link.server.peers.pop(link.peer, None) is not None:
            link.closed[1] = True
            self.put(link.server, SubscriberLeft(link.peer))

    def _drop(self, place: Place, name: str) -> None:
        if place.link is not None and place.link.server.name == name:
            self._end(place.link, 0)

    def _close(self, place: Place, peer: int) -> None:
        if peer in place.peers:
            self._end(place.peers[peer], 1)

    def _log(self, place: Place, event: str, facts: dict[str, Any]) -> None:
        if event == "gives_up":
            self.wrong = self.wrong or f"{place.name} gives up: {facts}"

    def _written(self, place: Place, table: FeedTable, life: int) -> None:
        if place.life == life and place.alive:
            place.durable = table
            self.put(place, StateDurable(table.sequence))

    # ---- the council

    def _trip(self) -> int:
        """A confirmed write or read: there, to a majority, back."""
        return self.chance.randint(30, 120) * MS

    def _errand(self, place: Place, hold: LeaseHolder, event: WriterEvent) -> None:
        """What the council said of the writer's records; to a hold that is over it says nothing."""
        if self.holds.get(place.name) is hold:
            self.put(place, event)

    def _get(self, place: Place, slot: int, key: str) -> None:
        got, hold = self.leases.get(key), self.holds[place.name]
        self.at(self.now + self._trip(), self._errand, place, hold, RecordRead(slot, got.value, got.version))

    def _put(self, place: Place, slot: int, put: Put) -> None:
        self.at(self.now + self._trip() // 2, self._decide, place, self.holds[place.name], slot, put)

    def _decide(self, place: Place, hold: LeaseHolder, slot: int, put: Put) -> None:
        answer = self._apply(put)
        when = self.now + self._trip() // 2
        if isinstance(answer, Denied):
            self.at(when, self._errand, place, hold, WriteDenied(slot, answer.reason))
        else:
            self.at(when, self._errand, place, hold, RecordWritten(slot, put.version + 1))

    def _apply(self, op: Op) -> Answer:
        self.index += 1
        return self.leases.apply(self.index, encode_decision(op))  # type: ignore[arg-type]

    def _release(self, place: Place, why: str) -> None:
        self.wrong = self.wrong or f"{place.name} gives the lease back: {why}"

    def hold(self, name: str) -> None:
        """This keeper asks for the lease first, a little later all others do."""
        for one in self.kept:
            self.at(self.now if one == name else self.now + SECOND, self._wants, self.places[one])

    def _wants(self, place: Place) -> None:
        """A wish of its own for each try, as feed/service has it."""
        if place.alive:
            asker = f"{place.name}.{self.index}.{self.now}"
            hold = self.holds[place.name] = LeaseHolder(
                LEASE_NAME, asker, LENGTH, True, self.now, self._spread
            )
            self._holds(place, hold, AcquireStarted())

    def _holds(self, place: Place, hold: LeaseHolder, event: HolderEvent) -> None:
        if self.holds.get(place.name) is not hold:
            return
        for effect in hold.handle(self.now, event):
            if isinstance(effect, SendRequest):
                self.at(self.now + self._trip() // 2, self._asks, place, hold, effect.number, effect.op)
            elif isinstance(effect, holder_effects.LeaseAcquired):
                self.put(place, LeaseAcquired(effect.epoch))
            else:
                del self.holds[place.name]
                self.put(place, LeaseLost(effect.reason))
                self.at(self.now + LENGTH // 3 + self._spread(LENGTH // 3), self._wants, place)
                return
        self.at(max(hold.next_deadline(), self.now + 1), self._holds_due, place, hold)

    def _holds_due(self, place: Place, hold: LeaseHolder) -> None:
        if self.holds.get(place.name) is hold and hold.next_deadline() <= self.now:
            self._holds(place, hold, DeadlineReached())

    def _asks(self, place: Place, hold: LeaseHolder, number: int, op: Op) -> None:
        """At the council's leader."""
        if isinstance(op, Renew):
            for name, asker in op.leases:
                self.watch.renew(self.now, name, asker, self.leases)
            answer: Answer = Renewed(tuple(self.leases.status_of(*one) for one in op.leases))
        else:
            answer = self._apply(op)
        self._watch()
        self.at(self.now + self._trip() // 2, self._holds, place, hold, AnswerReceived(number, answer))

    def _watch(self) -> None:
        """Takes the lease from who was not heard of for its length."""
        self.watch.update(self.now, LEASE_NAME, self.leases)
        for op in self.watch.expired(self.now, self.now // MS, self.leases):
            self._apply(op)
            self.watch.update(self.now, LEASE_NAME, self.leases)
        due = self.watch.next_deadline()
        if due is not None and (due < self.watching or self.watching <= self.now):
            self.watching = max(due, self.now + 1)
            self.at(self.watching, self._watch)

    # ---- changes

    def propose(self, propose: Propose) -> None:
        """By somebody in a region of its own, now, at the keeper that was heard to write last."""
        self.tickets += 1
        region = self.chance.randrange(self.regions)
        self.proposals[self.tickets] = Asked(propose, region, self.now, self.kept, self.wrote)
        self._ask(self.tickets)

    def _ask(self, ticket: int) -> None:
        asked = self.proposals.get(ticket)
        if asked is None:
            return  # the answer came while it waited to ask again
        asked.last = self.now
        keeper = self.places[asked.current]
        self.at(self.now + (self.apart[asked.region][keeper.region] or MS), self._proposed, keeper, ticket)
        self.at(self.now + int(ATTEMPT_TIMEOUT * SECOND), self._another, ticket, asked.tries, False)

    def _proposed(self, keeper: Place, ticket: int) -> None:
        if ticket in self.proposals:
            self.put(keeper, ProposalReceived(ticket, self.proposals[ticket].propose))

    def _another(self, ticket: int, tries: int, answered: bool, leader: str = "") -> None:
        """The same request, of who is said to write, else of the next after a pause."""
        asked = self.proposals.get(ticket)
        if asked is None or asked.tries != tries:
            return
        asked.tries += 1
        if asked.advance(answered, leader):
            self._ask(ticket)
        else:
            self.at(self.now + int(RETRY_DELAY * SECOND * self.chance.uniform(0.5, 1.5)), self._ask, ticket)

    def writer(self) -> Place:
        for name in self.kept:
            place = self.places[name]
            if place.alive and isinstance(place.node, FeedRelay) and place.node.is_writer:
                return place
        raise AssertionError("nobody writes")

    def _answer(self, place: Place, ticket: int, answer: ProposeResult) -> None:
        asked = self.proposals.get(ticket)
        if asked is None:
            return
        if answer.unknown:
            way = self.apart[asked.region][place.region] or MS
            self.at(self.now + way, self._another, ticket, asked.tries, True, answer.leader)
            return
        del self.proposals[ticket]
        if not answer.sequence:
            self.refused.append(answer.reason)
            return
        self.wrote = place.name
        request, number = asked.propose.request_id, answer.sequence
        if self.made.setdefault(request, number) != number or number in self.asked:
            self.wrong = self.wrong or f"{request} is {number}, which is {self.made[request]} or another's"
            return
        self.asked[number] = self.acknowledged[number] = asked
        for when, since in self.early.pop(number, ()):
            self._in_force(asked, when, since)
        # One that was made and not told of is known once it is asked for again; what came after it waits.
        while (known := self.acknowledged.pop(self.oracle.last + 1, None)) is not None:
            number = self.oracle.last + 1
            made = f"made/{number % DEDUPLICATION_SLOTS}", known.propose.request_id.encode()
            self.oracle.acknowledged(number, (*known.propose.items, made))

    def look(self, name: str, key: str) -> None:
        """What an instance knows of a key must be what counts at the number it holds."""
        place = self.places[name]
        if not place.alive or not isinstance(place.node, Instance):
            return
        found = place.node.lookups.lookup(key)
        self.looked["known" if found.known else "not known yet"] += 1
        if (
            found.known
            and place.number <= self.oracle.last
            and found.value != self.oracle.at(key, place.number)
        ):
            self.wrong = self.wrong or f"{name} says of {key} at {place.number} what does not count there"
        self._arm(place)

    # ---- faults

    def kill(self, name: str) -> None:
        """The machine is gone: nobody is told."""
        place = self.places[name]
        place.alive = False
        self.holds.pop(name, None)
        place.life += 1
        for link in [*place.peers.values(), *([place.link] if place.link else [])]:
            link.silent = True
        place.peers = {}

    def restart(self, name: str, cold: bool) -> None:
        """An instance or a keeper is there again, from nothing or from what was durable."""
        place = self.places[name]
        self.kill(name)
        if place.link is not None:
            place.link.closed[0] = True
            self.at(
                self.now + MS, self._left, place.link
            )  # its machine says that it knows no such connection
        table = Shared() if cold or place.durable is None else place.durable
        place.link, place.wake = None, NEVER
        place.alive, place.since = True, self.now
        if name in self.kept:
            others = tuple(one for one in self.kept if one != name)
            place.node = FeedRelay(name, 0, table, others, self.now, self._spread, tuple(self.kept))
            self._wants(place)
        else:
            place.node = self._instance(name, place.region, table)
        place.number = table.sequence
        self._arm(place)

    def slow(self, name: str, pace: int) -> None:
        """From now on it takes what came only each `pace` ns."""
        place = self.places[name]
        place.pace, place.phase = pace, self.chance.randrange(max(1, pace))
        # A mark of its own: what was to wake it before would come before what lies unread.
        place.wake = max(place.node.next_deadline(), self.now) + 1
        self.at(self._paced(place, place.wake) + 1, self._wakes, place, place.wake, place.life)

    # ---- what came out

    def behind(self) -> int:
        """Processes that live and don't stand where the newest acknowledged change is."""
        last = self.oracle.last
        return sum(one.alive and one.number != last for one in self.places.values())

    def settle(self, patience: int = 60 * SECOND) -> int:
        """ns until all stand at the newest; raises no error where they never do: see `faults`."""
        began = self.now
        self.run(self.now + patience, lambda: not self.proposals and not self.behind())
        return self.now - began

    def faults(self) -> list[str]:
        """All that is wrong, at the end."""
        found = [one for one in (self.wrong, self.oracle.wrong) if one]
        digests: dict[Kind, set[bytes]] = defaultdict(set)
        told: dict[int, Any] = {}
        for place in self.places.values():
            if place.alive:
                kind: Kind = "wide" if place.name[0] == "i" else "all"
                table = place.node.table
                digests[kind].add(table.digest(kind))
                if id(table.wide) not in told:
                    told[id(table.wide)] = table
                    wrong = self.oracle.whole(table, kind)
                    if wrong:
                        found.append(f"{place.name}: {wrong}")
        found += [f"{len(some)} digests of {kind}" for kind, some in digests.items() if len(some) > 1]
        if self.acknowledged:
            found.append(f"{self.oracle.last + 1} was made and nobody who asked knows it")
        return found

    def totals(self, names: Iterable[str]) -> list[tuple[int, int, int, int, int, int]]:
        """Of each: messages got and sent, bytes got and sent, inputs, ns of processor."""
        return [
            (one.got, one.sent, one.got_bytes, one.sent_bytes, one.takes, one.cpu)
            for one in map(self.places.__getitem__, names)
        ]


def quantile(counts: Counter[int], part: float) -> int:
    """Of how often each value was met; 0 of nothing."""
    total, seen = sum(counts.values()), 0
    for value in sorted(counts):
        seen += counts[value]
        if seen >= part * total:
            return value
    return 0
