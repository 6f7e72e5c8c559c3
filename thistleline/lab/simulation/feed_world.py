"""The feed as one small world to explore: the council's table of leases and records, keepers, a relay or two
and an instance, all by the reducers that run, copied at each step.

A connection carries in order and may end at any message, with what is under way lost. A request to the
council arrives late, or its answer does, or never; what it decides is one step. A disk has what it was given
last, or an older state: that one is found after a restart. The oracle goes by the records that the council
took and keeps plain dicts.
"""

from collections.abc import Callable, Iterator, Sequence
from functools import partial
from typing import Any, NamedTuple

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
    TimerExpired,
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
from thistleline.lease.table import LeaseTable as Council
from thistleline.lease.table import encode_decision

TICK = 600_000_000  # ns: a beat is due
SPENT = ("changes", "again", "ends", "restarts", "losses", "moves", "ticks", "damages", "looks")
CHANGES: tuple[tuple[tuple[str, bytes | None], ...], ...] = (
    (("common/a", b'{"a":1}'),),
    (("common/a", b'{"a":2}'), ("common/b", b'{"b":2}')),
    (("tenant/t", b'{"share":0.5}'),),
    (("common/a", None), ("common/b", b'{"b":4}')),
    (("common/c", b'{"c":5}'),),
    (("tenant/t", None), ("common/c", b'{"c":6}')),
)
Plain = dict[str, bytes]


class Scenario(NamedTuple):
    """Where it begins, what may happen, and how often at most."""

    what: str
    root: Callable[[], "FeedWorld"]
    changes: int = 0
    again: int = 0  # the last one asked for once more
    ends: int = 0  # of connections
    restarts: int = 0
    losses: int = 0  # of answers of the council
    moves: int = 0  # of the lease
    ticks: int = 0
    damages: int = 0  # of a message on its way
    looks: int = 0  # for a tenant, by an instance
    restarted: tuple[str, ...] = ()  # who may; all if none


class Link(NamedTuple):
    server: str
    peer: int
    up: tuple[Any, ...] = ()
    down: tuple[Any, ...] = ()


Node = FeedRelay | Instance
END = "end"


class FeedWorld:
    __slots__ = (
        *("nodes", "sources", "disks", "pending", "links", "council", "requests", "answers", "reads", "held"),
        *("index", "ticks", "left", "scenario", "sequence", "states", "acked", "made", "count", "broken"),
        *("keys", "strange", "refused"),
    )

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.sources: dict[str, tuple[str, ...]] = {}
        self.disks: dict[str, FeedTable] = {}
        self.pending: dict[str, FeedTable] = {}  # given to the disk, not there yet
        self.links: dict[str, Link] = {}  # by who follows
        self.council = Council()
        self.requests: tuple[tuple[str, int, int, Put], ...] = ()  # keeper, epoch, slot
        self.answers: tuple[tuple[str, int, RecordWritten | WriteDenied], ...] = ()
        self.reads: dict[str, tuple[int, ...]] = {}  # slots that a keeper asked for
        self.held: dict[str, int] = {}  # epochs that keepers believe in
        self.index = self.ticks = self.count = self.made = 0
        self.left: dict[str, int] = {}
        self.scenario: Scenario | None = None
        self.sequence: tuple[Change, ...] = ()
        self.states: tuple[Plain, ...] = ({},)
        self.acked: dict[str, int] = {}  # by request
        self.refused: tuple[str, ...] = ()  # requests that were said not to be made
        self.broken = ""
        self.keys: dict[str, int] = {}
        self.strange: tuple[str, ...] = ()  # whose state is no state of this feed, until it follows

    def copy(self) -> "FeedWorld":
        made = FeedWorld.__new__(FeedWorld)
        for name in self.__slots__:
            value = getattr(self, name)
            setattr(made, name, dict(value) if type(value) is dict else value)
        return made

    @property
    def now(self) -> int:
        return 10 * SECOND + self.ticks * TICK

    @property
    def keepers(self) -> tuple[str, ...]:
        return tuple(name for name in self.nodes if name[0] == "k")

    def add(
        self, name: str, table: FeedTable, sources: tuple[str, ...], keepers: tuple[str, ...] = ()
    ) -> None:
        """A keeper k, a relay r or an instance i."""
        self.sources[name], self.disks[name] = sources, table
        self.nodes[name] = self._new(name, table, keepers)

    def _new(self, name: str, table: FeedTable, keepers: tuple[str, ...]) -> Node:
        sources = self.sources[name]
        if name[0] == "i":
            return Instance(name, table, sources, self.now, _no_spread)
        level = 0 if name[0] == "k" else 1
        return FeedRelay(name, level, table, sources, self.now, _no_spread, keepers if not level else ())

    # ---- steps, each on a copy of its own

    def put(self, name: str, event: RelayEvent) -> None:
        node = self._copied(name)
        before = node.table.sequence
        self._carried_out(name, before, node.handle(self.now, event))

    def _copied(self, name: str) -> Node:
        node = self.nodes[name].copy()
        self.nodes[name] = node
        self.keys.pop(name, None)
        return node

    def _carried_out(self, name: str, before: int, effects: Sequence[Any]) -> None:
        number = self.nodes[name].table.sequence
        if number < before:
            self.broken = self.broken or f"{name} goes back from {before} to {number}"
        for effect in effects:
            self._carry_out(name, effect)
        self._check(name)

    def _carry_out(self, name: str, effect: Any) -> None:
        match effect:
            case SendUpstream(source, message):
                self._up(name, source, message)
            case SendDownstream(peer, message):
                self._down(name, peer, message)
            case ConnectUpstream(source):
                self._connect(name, source)
            case DisconnectUpstream(source):
                self._drop(name, source)
            case CloseDownstream(peer):
                self._down(name, peer, END)
            case PersistStep(table) | PersistTable(table):
                self.pending[name] = table
            case ReadRecord(slot):
                self._get(name, slot)
            case WriteRecord(slot, put):
                self._put(name, slot, put)
            case AnswerProposal(ticket, result):
                self._answer(name, ticket, result)
            case ReleaseLease():
                self._release(name)

    def _connect(self, name: str, server: str) -> None:
        old = self.links.pop(name, None)
        if old is not None:
            self.put(old.server, SubscriberLeft(old.peer))
        self.count += 1
        self.links[name] = Link(server, self.count)
        self.put(server, SubscriberJoined(self.count))
        if name in self.links:
            self.put(name, UpstreamConnected(server))

    def _up(self, name: str, server: str, message: Any) -> None:
        link = self.links.get(name)
        if link is not None and link.server == server:
            self.links[name] = link._replace(up=(*link.up, message))

    def _down(self, name: str, peer: int, message: Any) -> None:
        for client, link in self.links.items():
            if (link.server, link.peer) == (name, peer):
                self.links[client] = link._replace(down=(*link.down, message))
                return

    def _drop(self, name: str, server: str) -> None:
        link = self.links.pop(name, None)
        if link is not None:
            self.put(link.server, SubscriberLeft(link.peer))

    def end(self, name: str) -> None:
        """A connection breaks, and all that is under way on it is lost."""
        link = self.links.pop(name)
        self.put(link.server, SubscriberLeft(link.peer))
        self.put(name, UpstreamLost(link.server, "it broke"))

    def hear(self, name: str, up: bool) -> None:
        """The next message of a connection arrives."""
        link = self.links[name]
        if up:
            self.links[name] = link._replace(up=link.up[1:])
            self.put(link.server, SubscriberMessage(link.peer, link.up[0]))
        else:
            self.links[name] = link._replace(down=link.down[1:])
            if link.down[0] == END:
                self.end(name)
            else:
                self.put(name, UpstreamMessage(link.server, link.down[0]))

    def damage(self, name: str) -> None:
        """Of the next message an entry is lost."""
        link = self.links[name]
        message = link.down[0]
        if isinstance(message, Delta):
            worse: Any = Delta(
                message.first, message.last, message.items[:-1], message.digest, message.evict_tenants
            )
        else:
            worse = SnapshotPart(
                message.sequence, message.index, message.parts, message.items[:-1], message.digest
            )
        self.links[name] = link._replace(down=(worse, *link.down[1:]))

    def keep(self, name: str) -> None:
        """The disk has what it was given."""
        self.disks[name] = self.pending.pop(name)
        self.put(name, StateDurable(self.disks[name].sequence))

    def restart(self, name: str) -> None:
        """It ends, and is there again with what its disk has."""
        node = self.nodes[name]
        keepers = node.writer.keepers if isinstance(node, FeedRelay) and node.writer is not None else ()
        self.nodes[name] = self._new(name, self.disks[name], keepers)
        self.keys.pop(name, None)
        self.pending.pop(name, None)
        self.reads.pop(name, None)
        self.held.pop(name, None)
        self.answers = tuple(one for one in self.answers if one[0] != name)
        link = self.links.pop(name, None)
        if link is not None:
            self.put(link.server, SubscriberLeft(link.peer))
        for client, other in list(self.links.items()):
            if other.server == name and client in self.links:
                del self.links[client]
                self.put(client, UpstreamLost(name, "it ended"))

    # ---- the council

    def _get(self, name: str, slot: int) -> None:
        self.reads[name] = (*self.reads.get(name, ()), slot)

    def read(self, name: str) -> None:
        """All that a keeper asked for is answered."""
        slots = self.reads.pop(name)
        for slot in slots:
            if name in self.held:
                got = self.council.get(record_key(slot))
                self.put(name, RecordRead(slot, got.value, got.version))

    def _put(self, name: str, slot: int, put: Put) -> None:
        self.requests = (*self.requests, (name, self.held.get(name, 0), slot, put))

    def _apply(self, decision: Any) -> Any:
        self.council = self.council.copy()
        self.index += 1
        return self.council.apply(self.index, encode_decision(decision))

    def decide(self, place: int) -> None:
        """A Put arrives at the council; its answer is on its way."""
        name, epoch, slot, put = self.requests[place]
        self.requests = (*self.requests[:place], *self.requests[place + 1 :])
        before = self.council.get(put.key)
        answer = self._apply(put)
        if isinstance(answer, Denied):
            told: RecordWritten | WriteDenied = WriteDenied(slot, answer.reason)
        else:
            told = RecordWritten(slot, put.version + 1)
            if before.version:
                self._cut(decode_group(before.value))
            self._written(decode_group(put.value))
        if self.held.get(name) == epoch:
            self.answers = (*self.answers, (name, epoch, told))

    def answer(self, place: int, lost: bool = False) -> None:
        name, epoch, told = self.answers[place]
        self.answers = (*self.answers[:place], *self.answers[place + 1 :])
        if self.held.get(name) == epoch:
            self.put(name, WriteUnanswered(told.slot) if lost else told)

    def late(self, place: int) -> None:
        """Who asked is told that no answer will come; the request is still on its way."""
        name, epoch, slot, _ = self.requests[place]
        if self.held.get(name) == epoch:
            self.put(name, WriteUnanswered(slot))

    def move(self, name: str) -> None:
        """The lease is another's; who held it is not told."""
        lease = self.council.state.leases.get(LEASE_NAME)
        if lease is not None:
            self._apply(Break(LEASE_NAME, lease.epoch, "it was silent"))
        answer = self._apply(Acquire(LEASE_NAME, f"{name}.{self.index}", 10 * SECOND, True))
        assert isinstance(answer, Granted)
        self.held[name] = answer.epoch
        self.put(name, LeaseAcquired(answer.epoch))

    def lose(self, name: str) -> None:
        """It learns that the lease is not its own any more."""
        del self.held[name]
        self.reads.pop(name, None)
        self.put(name, LeaseLost("its right is over"))

    def _release(self, name: str) -> None:
        lease = self.council.state.leases.get(LEASE_NAME)
        if lease is not None and lease.epoch == self.held.get(name):
            self._apply(Break(LEASE_NAME, lease.epoch, "released"))
        if name in self.held:
            self.lose(name)

    # ---- changes

    def propose(self, name: str, again: bool = False) -> None:
        place = self.made - again
        self.made = place + 1
        self.put(name, ProposalReceived(place, Propose(f"c{place}", CHANGES[place])))

    def _answer(self, name: str, ticket: int, answer: ProposeResult) -> None:
        if answer.sequence:
            known = self.acked.setdefault(answer.request_id, answer.sequence)
            here = self.sequence[answer.sequence - 1 : answer.sequence]
            if known != answer.sequence or not here or here[0].request_id != answer.request_id:
                self.broken = f"{answer.request_id} was acknowledged as {answer.sequence}, which it is not"
        elif not answer.unknown:
            self.refused = (*self.refused, answer.request_id)
            if any(one.request_id == answer.request_id for one in self.sequence):
                self.broken = f"{answer.request_id} was refused, and it was made"

    def look(self, name: str) -> None:
        """Of a tenant; what is known has to count at the number that is held, here and later."""
        node = self.nodes[name].copy()
        self.nodes[name] = node
        self.keys.pop(name, None)
        assert isinstance(node, Instance)
        node.lookups.lookup("tenant/t")

    # ---- invariants

    def _written(self, group: Group) -> None:
        for change in group.changes:
            if change.sequence != len(self.sequence) + 1:
                self.broken = f"number {change.sequence} was given after {len(self.sequence)}"
                return
            if any(one.request_id == change.request_id for one in self.sequence):
                self.broken = f"{change.request_id} was made twice"
            if change.request_id in self.refused:
                self.broken = f"{change.request_id} was refused, and is made after all"
            state = dict(self.states[-1])
            for key, value in change.items:
                if value is None:
                    state.pop(key, None)
                else:
                    state[key] = value
            self.sequence, self.states = (*self.sequence, change), (*self.states, state)

    def _cut(self, group: Group) -> None:
        last = group.changes[-1].sequence
        durable = sum(self.disks[name].sequence >= last for name in self.keepers)
        if durable <= len(self.keepers) // 2:
            self.broken = f"{last} leaves the council and is on the disks of {durable} keepers"

    def _check(self, name: str) -> None:
        """What somebody holds is the state of its number, and nothing else."""
        node = self.nodes[name]
        table = node.table
        if name in self.strange:
            if isinstance(node, Instance) and node.lookups.follower.phase != "following":
                return
            self.strange = tuple(one for one in self.strange if one != name)
        if table.sequence > len(self.sequence):
            self.broken = self.broken or f"{name} is at {table.sequence}, {len(self.sequence)} was decided"
            return
        state = self.states[table.sequence]
        if isinstance(node, Instance):
            for key, found in node.lookups.tenants.items():
                if found.value != state.get(key):
                    self.broken = (
                        self.broken or f"{name} says of {key} at {table.sequence} what does not count"
                    )
        if name[0] == "i":
            state = {key: value for key, value in state.items() if not key.startswith(PARTIAL_PREFIXES)}
        here = {key: value for key, value, _ in table.entries("all")}
        if here != state:
            self.broken = self.broken or f"{name} holds at {table.sequence} what does not count there"
        if isinstance(node, FeedRelay) and node.is_writer and node.writer is not None:
            lease = self.council.state.leases.get(LEASE_NAME)
            newest = lease is not None and lease.epoch == node.writer.epoch
            if newest and table.sequence < max(self.acked.values(), default=0):
                self.broken = self.broken or f"{name} writes, and misses what was acknowledged"

    def wrong(self) -> str:
        return self.broken

    def key(self) -> int:
        for name, node in self.nodes.items():
            if name not in self.keys:
                pending = self.pending.get(name)
                disk = self.disks[name]
                self.keys[name] = hash(
                    (node.state_key(), disk.sequence, disk.digest("all"), pending and pending.sequence)
                )
        links = tuple(
            (name, link.server, link.peer, tuple(map(_told, link.up)), tuple(map(_told, link.down)))
            for name, link in sorted(self.links.items())
        )
        rest = (
            *(
                self.requests,
                self.answers,
                tuple(sorted(self.reads.items())),
                tuple(sorted(self.held.items())),
            ),
            *(self.ticks, tuple(sorted(self.left.items())), len(self.sequence), self.made, self.broken),
            *(tuple(sorted(self.acked.items())), self.strange, self.refused),
        )
        return hash((tuple(sorted(self.keys.items())), links, self.council.state_key(), rest))


def _told(message: Any) -> Any:
    return message if message == END else encode(message)


def _no_spread(span: int) -> int:
    return 0


# ---- what may happen next


def following(world: FeedWorld) -> Iterator[tuple[str, FeedWorld]]:
    scenario, left = world.scenario, world.left
    assert scenario is not None

    def step(name: str, spent: str, do: Callable[..., None], *told: Any) -> Iterator[tuple[str, FeedWorld]]:
        made = world.copy()
        if spent:
            made.left = {**left, spent: left[spent] - 1}
        do(made, *told)
        yield name, made

    for name, link in world.links.items():
        if link.up:
            told = type(link.up[0]).__name__
            yield from step(f"{link.server} hears {name}: {told}", "", FeedWorld.hear, name, True)
        if link.down:
            told = type(link.down[0]).__name__
            yield from step(f"{name} hears {link.server}: {told}", "", FeedWorld.hear, name, False)
            if left["damages"] and isinstance(link.down[0], Delta | SnapshotPart) and link.down[0].items:
                yield from step(f"{told} to {name} is damaged", "damages", FeedWorld.damage, name)
        if left["ends"]:
            yield from step(f"{name} and {link.server} lose each other", "ends", FeedWorld.end, name)
    for name in world.pending:
        yield from step(f"{name} has it on disk", "", FeedWorld.keep, name)
    for name, node in world.nodes.items():
        if node.next_deadline() <= world.now:
            yield from step(f"{name} heeds its clock", "", FeedWorld.put, name, TimerExpired())
        if left["looks"] and isinstance(node, Instance):
            yield from step(f"{name} looks up a tenant", "looks", FeedWorld.look, name)
        if left["restarts"] and (not scenario.restarted or name in scenario.restarted):
            yield from step(f"{name} ends and is there again", "restarts", FeedWorld.restart, name)
    for place, (name, _, slot, _) in enumerate(world.requests):
        yield from step(f"the council hears {name}: Put {slot}", "", FeedWorld.decide, place)
        if left["losses"]:
            yield from step(f"{name}'s Put {slot} is late", "losses", FeedWorld.late, place)
    for place, (name, _, answer) in enumerate(world.answers):
        yield from step(f"{name} hears the council: {type(answer).__name__}", "", FeedWorld.answer, place)
        if left["losses"]:
            yield from step(f"the answer to {name} is lost", "losses", FeedWorld.answer, place, True)
    for name in world.reads:
        yield from step(f"{name} hears what the records hold", "", FeedWorld.read, name)
    lease = world.council.state.leases.get(LEASE_NAME)
    for name in world.keepers:
        epoch = world.held.get(name)
        node = world.nodes[name]
        if epoch and (lease is None or lease.epoch != epoch):
            yield from step(f"{name} learns that it lost the lease", "", FeedWorld.lose, name)
        if not epoch and left["moves"]:
            yield from step(f"{name} gets the lease", "moves", FeedWorld.move, name)
        if isinstance(node, FeedRelay) and node.is_writer and left["changes"] and world.made < len(CHANGES):
            yield from step(f"change {world.made} is proposed to {name}", "changes", FeedWorld.propose, name)
        if isinstance(node, FeedRelay) and node.is_writer and left["again"] and world.made:
            yield from step(f"{name} is asked again", "again", FeedWorld.propose, name, True)
    if left["ticks"]:
        yield from step("time passes", "ticks", _tick)


def _tick(world: FeedWorld) -> None:
    world.ticks += 1


# ---- where explorations begin


def settle(world: FeedWorld, but: Callable[[str], bool] = lambda name: False, disks: bool = True) -> None:
    """All goes on in order till nothing is left to do, with who is in `but` left out."""
    for _ in range(2000):
        doing = next(_doing(world, but, disks), None)
        if doing is None:
            return
        doing()
    raise AssertionError("it never falls silent")


def _doing(world: FeedWorld, but: Callable[[str], bool], disks: bool) -> Iterator[Callable[[], None]]:
    for name, link in list(world.links.items()):
        if but(name) or but(link.server):
            continue
        if link.up:
            yield partial(world.hear, name, True)
        if link.down:
            yield partial(world.hear, name, False)
    for name in list(world.pending) if disks else ():
        if not but(name):
            yield partial(world.keep, name)
    for name in list(world.reads):
        yield partial(world.read, name)
    if world.requests:
        yield partial(world.decide, 0)
    if world.answers:
        yield partial(world.answer, 0)
    for name, node in world.nodes.items():
        if not but(name) and node.next_deadline() <= world.now:
            yield partial(world.put, name, TimerExpired())


def fleet(keepers: int = 3, relays: int = 1, instances: int = 1) -> FeedWorld:
    """All with nothing, k0 writes, all follow."""
    world = FeedWorld()
    names = tuple(f"k{place}" for place in range(keepers))
    above = tuple(f"r{place}" for place in range(relays))
    for name in names:
        world.add(name, FeedTable(), tuple(one for one in names if one != name), names)
    for name in above:
        world.add(name, FeedTable(), names)
    for place in range(instances):
        world.add(f"i{place}", FeedTable(), above or names)
    world.move("k0")
    settle(world)
    return world


def changed(world: FeedWorld, many: int, but: Callable[[str], bool] = lambda name: False) -> FeedWorld:
    """So many changes later, one after the other, all but some have them, on disk too."""
    for _ in range(many):
        world.propose("k0")
        settle(world, but)
    return world


def begin(scenario: Scenario) -> FeedWorld:
    world = scenario.root()
    world.scenario = scenario
    world.left = {name: getattr(scenario, name) for name in SPENT}
    return world
