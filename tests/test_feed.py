"""Tests of sources and followers over simulated links that block, disconnect and interleave; of the tenant
cache of an instance (a process that uses the configuration); and of a table and its history. A reference
model of all written states is independent of the tested code: a follower's table has to equal the model's
state at the same sequence number."""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from functools import partial
from random import Random
from typing import Any, Literal, NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.config_feed import history as histories
from thistleline.config_feed import snapshot as snapshots
from thistleline.config_feed import source as sources
from thistleline.config_feed.effects import (
    CloseDownstream,
    ConnectUpstream,
    DeltaApplied,
    DisconnectUpstream,
    FollowerEffect,
    SendUpstream,
    SnapshotLoaded,
    SubscriberDurable,
)
from thistleline.config_feed.events import (
    FollowerEvent,
    FollowingResumed,
    FollowingSuspended,
    HistoryAdvanced,
    HistoryReplaced,
    SourceEvent,
    SourcesChanged,
    StateDurable,
    SubscriberJoined,
    SubscriberLeft,
    SubscriberMessage,
    UpstreamConnected,
    UpstreamLost,
    UpstreamMessage,
    WriterChanged,
)
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.history import History, Items
from thistleline.config_feed.limits import (
    DELTA_SIZE_LIMIT,
    FETCHED_TENANTS_LIMIT,
    HEARTBEAT_INTERVAL_NS,
    KEY_LENGTH_LIMIT,
    MESSAGE_SIZE_LIMIT,
    MS,
    PART_SIZE,
    PEER_ID_LENGTH_LIMIT,
    RECONNECT_JITTER_NS,
    SECOND,
    SOURCE_TIMEOUT_NS,
    STALL_TIMEOUT_NS,
    VALUE_SIZE_LIMIT,
)
from thistleline.config_feed.lookups import ABSENT, UNKNOWN, LookupCache, LookupResult
from thistleline.config_feed.messages import (
    Acknowledge,
    Change,
    Delta,
    FetchPart,
    FetchTenants,
    Follow,
    FollowAccepted,
    FollowerMessage,
    FollowRejected,
    Heartbeat,
    Kind,
    Propose,
    ReadRequest,
    SnapshotPart,
    SourceMessage,
    TenantEntries,
    decode_follower,
    decode_source,
    encode,
)
from thistleline.config_feed.snapshot import SNAPSHOT_TTL, Snapshot
from thistleline.config_feed.source import Source
from thistleline.config_feed.table import FeedTable
from thistleline.reducer.events import DeadlineReached
from thistleline.transport.disconnects import DISCONNECT_ERRORS

Entries = tuple[tuple[str, bytes | None], ...]


class ReferenceModel:
    """Reference model: the state after each change, as plain dicts, without the code that distributes it."""

    def __init__(self) -> None:
        self.states: list[dict[str, tuple[bytes, int]]] = [{}]
        self.changes: list[Entries] = [()]
        self.tables = [FeedTable()]

    @property
    def newest(self) -> int:
        return len(self.states) - 1

    def write(self, *items: tuple[str, bytes | None]) -> int:
        number = len(self.states)
        state = dict(self.states[-1])
        for key, value in items:
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value, number
        self.states.append(state)
        self.changes.append(items)
        self.tables.append(self.tables[-1].apply(Change(number, str(number), items)))
        return number

    def write_many(self, count: int, size: int = 10, prefix: str = "route/") -> None:
        """Write `count` changes of one entry each, every one with a different key."""
        for _ in range(count):
            self.write((f"{prefix}{self.newest}", bytes(size)))

    def history(self, first: int = 0, last: int | None = None) -> History:
        """Return a history of the states from `first` to `last`, by default to the newest."""
        history = History(self.tables[first])
        self.advance_history(history, last)
        return history

    def advance_history(self, history: History, last: int | None = None) -> None:
        for number in range(history.table.sequence + 1, (self.newest if last is None else last) + 1):
            history.advance(number, tuple((key, value, number) for key, value in self.changes[number]))

    def check(self, table: FeedTable, kind: Kind) -> None:
        actual = {key: (value, version) for key, value, version in table.entries(kind)}
        state = self.states[table.sequence]
        excluded = () if kind == "all" else ("tenant/", "made/")
        assert actual == {key: entry for key, entry in state.items() if not key.startswith(excluded)}


class Closed(NamedTuple):
    reason: str


class Connection:
    """Messages in transit, in order. In a blocked direction nothing is delivered."""

    def __init__(self, peer: int, server: str) -> None:
        self.peer, self.server = peer, server
        self.to_source: deque[FollowerMessage] = deque()
        self.to_follower: deque[SourceMessage | Closed] = deque()
        self.blocked: set[Literal["to_source", "to_follower"]] = set()
        self.max_in_transit = 0  # most deltas and snapshot parts in transit to the follower at the same time


class Network:
    """Simulates sources and followers with a shared clock.

    The next link to deliver a message is drawn at random; each link keeps the order of its messages. Before a
    link ends, it delivers a random number of the messages in transit. All messages pass through the codec.
    """

    def __init__(self, reference: ReferenceModel, seed: int = 1) -> None:
        self.reference, self.random, self.now = reference, Random(seed), 0
        self.sources: dict[str, Source] = {}
        self.followers: dict[str, Follower | LookupCache] = {}
        self.links: dict[str, Connection] = {}  # by id of the follower
        self.peers: dict[int, str] = {}
        self.pending_connects: list[tuple[str, str]] = []
        self.relays: dict[str, str] = {}  # follower -> source that serves the follower's states
        self.paused: set[str] = set()  # followers that handle no events
        self.newest_held: dict[str, int] = {}  # newest sequence number that each follower has held
        self.sent: list[tuple[str, SourceMessage]] = []
        self.sent_upstream: list[tuple[str, FollowerMessage]] = []
        self.disconnects: list[tuple[str, str]] = []
        self.closed: list[tuple[str, str]] = []
        self.durable: list[tuple[str, int]] = []
        self.connects: list[tuple[str, str, int]] = []
        self.effect_counts: Counter[type[FollowerEffect]] = Counter()

    # ---- nodes

    def add_source(self, name: str, history: History, level: int = 0, max_followers: int = 1024) -> Source:
        self.sources[name] = Source(history, level, self.now, max_followers)
        return self.sources[name]

    def random_delay(self, span: int) -> int:
        return self.random.randrange(span)

    def add_follower(
        self,
        id: str,
        *names: str,
        kind: Kind = "wide",
        table: FeedTable | None = None,
        level: int = 0,
        random_delay: Callable[[int], int] | None = None,
    ) -> Follower:
        follower = Follower(
            id, kind, table or FeedTable(), names, self.now, random_delay or self.random_delay, level
        )
        self.followers[id] = follower
        self.newest_held[id] = follower.table.sequence
        return follower

    def add_relay(self, id: str, *names: str, level: int, table: FeedTable | None = None) -> Follower:
        follower = self.add_follower(id, *names, kind="all", level=level, table=table)
        self.add_source(id, History(follower.table), level)
        self.relays[id] = id
        return follower

    def follower(self, id: str) -> Follower:
        one = self.followers[id]
        return one.follower if isinstance(one, LookupCache) else one

    def write(self, *items: tuple[str, bytes | None], to: Iterable[str] = ("a",)) -> None:
        self.reference.write(*items)
        for name in to:
            self.advance_source(name)

    def advance_source(self, name: str, last: int | None = None) -> None:
        source = self.sources[name]
        self.reference.advance_history(source.history, last)
        self.pass_to_source(name, HistoryAdvanced())

    # ---- events

    def pass_to_follower(self, id: str, event: FollowerEvent) -> None:
        one = self.followers[id]
        for effect in one.handle(self.now, event):
            match effect:
                case ConnectUpstream(source):
                    self.pending_connects.append((id, source))
                    self.connects.append((id, source, self.now))
                case DisconnectUpstream(_, reason):
                    self.disconnects.append((id, reason))
                    self.pending_connects = [
                        (other, at) for other, at in self.pending_connects if other != id
                    ]
                    self.close_link(id)
                case SendUpstream(source, message):
                    assert self.links[id].server == source
                    self.sent_upstream.append((id, message))
                    self.links[id].to_source.append(decode_follower(encode(message)))
                case _:
                    self.effect_counts[type(effect)] += 1
                    self.check_new_table(id, effect.delta if isinstance(effect, DeltaApplied) else None)

    def check_new_table(self, id: str, delta: Delta | None) -> None:
        table, kind = self.follower(id).table, self.follower(id).kind
        assert table.sequence >= self.newest_held[id], "the table went back to an older state"
        self.newest_held[id] = table.sequence
        self.reference.check(table, kind)
        if id in self.relays:
            history = self.sources[self.relays[id]].history
            if delta is None:
                history.reset(table)
            else:
                history.append(table, delta.items)
            self.pass_to_source(self.relays[id], HistoryAdvanced() if delta else HistoryReplaced())

    def pass_to_source(self, name: str, event: SourceEvent) -> None:
        for effect in self.sources[name].handle(self.now, event):
            if isinstance(effect, SubscriberDurable):
                self.durable.append((effect.subscriber, effect.sequence))
                continue
            id = self.peers.get(effect.peer, "")
            link = self.links.get(id)
            if isinstance(effect, CloseDownstream):
                self.closed.append((id, effect.reason))
            else:
                self.sent.append((id, effect.message))
            if link is None or link.peer != effect.peer:
                continue
            if isinstance(effect, CloseDownstream):
                link.to_follower.append(Closed(effect.reason))
                continue
            data = encode(effect.message)
            assert len(data) <= MESSAGE_SIZE_LIMIT
            link.to_follower.append(decode_source(data))
            link.max_in_transit = max(
                link.max_in_transit, sum(isinstance(one, Delta | SnapshotPart) for one in link.to_follower)
            )

    # ---- links

    def complete_connect(self, id: str, name: str) -> None:
        self.pending_connects.remove((id, name))
        if name not in self.sources:
            self.pass_to_follower(id, UpstreamLost(name, "connection refused"))
            return
        peer = len(self.peers) + 1
        self.peers[peer] = id
        self.links[id] = Connection(peer, name)
        self.pass_to_source(name, SubscriberJoined(peer))
        self.pass_to_follower(id, UpstreamConnected(name))

    def close_link(self, id: str) -> None:
        """Close a link at the follower's end: a random part of what the follower sent is still delivered."""
        link = self.links.pop(id, None)
        if link is None or link.server not in self.sources:
            return
        for _ in range(self.random.randint(0, len(link.to_source))):
            self.deliver_to_source(link)
        self.pass_to_source(link.server, SubscriberLeft(link.peer))

    def break_link(self, id: str, notify: bool = True) -> None:
        """Break a link: a random part of the messages in transit is still delivered at both ends.

        Without `notify`, the link is blocked instead and the follower has to detect this by its timeout.
        """
        link = self.links.get(id)
        if link is None:
            return
        for _ in range(self.random.randint(0, len(link.to_follower))):
            if self.links.get(id) is not link:
                return
            self.deliver_to_follower(id, link)
        if self.links.get(id) is link:
            if notify:
                self.close_link(id)
                self.pass_to_follower(id, UpstreamLost(link.server, "link broken"))
            else:
                link.blocked |= {"to_source", "to_follower"}

    def kill(self, name: str) -> None:
        for id, link in list(self.links.items()):
            if link.server == name:
                self.break_link(id)
        del self.sources[name]

    def deliver_to_source(self, link: Connection) -> None:
        self.pass_to_source(link.server, SubscriberMessage(link.peer, link.to_source.popleft()))

    def deliver_to_follower(self, id: str, link: Connection) -> None:
        message = link.to_follower.popleft()
        if not isinstance(message, Closed):
            self.pass_to_follower(id, UpstreamMessage(link.server, message))
        else:
            del self.links[id]
            self.pass_to_follower(id, UpstreamLost(link.server, message.reason))

    # ---- the clock

    def deliver_all(self) -> None:
        """Deliver messages until all that are left are on blocked links."""
        for _ in range(200_000):
            moves: list[Callable[[], None]] = [
                partial(self.complete_connect, *one) for one in self.pending_connects
            ]
            for id, link in self.links.items():
                if link.to_source and "to_source" not in link.blocked:
                    moves.append(partial(self.deliver_to_source, link))
                if link.to_follower and "to_follower" not in link.blocked and id not in self.paused:
                    moves.append(partial(self.deliver_to_follower, id, link))
            if not moves:
                return
            self.random.choice(moves)()
        raise AssertionError("the nodes do not stop sending messages")

    def run(self, span: int = SECOND) -> None:
        """Advance the clock by `span`. After a pause a follower handles its messages before its timer."""
        until = self.now + span
        self.deliver_all()
        while True:
            timers = [(source.next_deadline(), 0, name) for name, source in self.sources.items()]
            timers += [
                (one.next_deadline(), 1, id) for id, one in self.followers.items() if id not in self.paused
            ]
            deadline = min(timers, default=(until + 1, 0, ""))[0]
            if deadline > until:
                break
            self.now = max(self.now, deadline)
            for at, follows, name in timers:
                if at <= self.now and follows:
                    self.pass_to_follower(name, DeadlineReached())
                elif at <= self.now:
                    self.pass_to_source(name, DeadlineReached())
            self.deliver_all()
        self.now = until

    def check_all_newest(self) -> None:
        newest = self.reference.newest
        for id in self.followers:
            assert (id, self.follower(id).table.sequence) == (id, newest)
            self.reference.check(self.follower(id).table, self.follower(id).kind)


@contextmanager
def lowered_limits(**limits: int) -> Iterator[None]:
    """Set limits of sources and histories so low that a few entries reach them."""
    with pytest.MonkeyPatch.context() as patch:
        for name, value in limits.items():
            for module in (sources, snapshots, histories):
                if hasattr(module, name):
                    patch.setattr(module, name, value)
        yield


def messages_to(net: Network, id: str, message_type: Any) -> list[Any]:
    return [message for to, message in net.sent if to == id and isinstance(message, message_type)]


def network_following(reference: ReferenceModel, *ids: str, kind: Kind = "wide") -> Network:
    """Return a network of one source `a` and these followers, which follow it."""
    net = Network(reference)
    net.add_source("a", reference.history())
    net.pass_to_source("a", WriterChanged(1, True, 0))
    for id in ids:
        net.add_follower(id, "a", kind=kind)
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert all(net.follower(id).phase == "following" for id in ids)
    net.sent.clear()
    return net


# ---- resuming


def test_reconnecting_follower_gets_missed_changes_as_delta() -> None:
    net = network_following(ReferenceModel(), "x")
    net.reference.write_many(20)
    net.advance_source("a")
    net.run()
    net.break_link("x")
    net.reference.write_many(5)
    net.advance_source("a")
    net.sent.clear()
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)] == [False]
    assert [(one.first, one.last) for one in messages_to(net, "x", Delta)] == [(20, 25)]


def test_follower_behind_history_loads_snapshot() -> None:
    with lowered_limits(HISTORY_STEPS_LIMIT=10, PART_SIZE=300):
        net = network_following(ReferenceModel(), "x")
        net.reference.write_many(5)
        net.advance_source("a")
        net.run()
        net.break_link("x")
        net.reference.write_many(11)
        net.advance_source("a")
        net.sent.clear()
        net.run(2 * RECONNECT_JITTER_NS)
        net.check_all_newest()
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)] == [True]
    assert len(messages_to(net, "x", SnapshotPart)) > 1


@pytest.mark.parametrize("kind", ["wide", "all"])
def test_large_backlog_is_sent_as_several_deltas(kind: Kind) -> None:
    """The changes of an hour exceed the size of a delta, but are far smaller than a relay's whole table."""
    reference = ReferenceModel()
    with lowered_limits(DELTA_SIZE_LIMIT=2000):
        net = network_following(reference, "x", kind=kind)
        net.links["x"].blocked.add("to_source")
        reference.write_many(150, 10, "route/")
        net.advance_source("a", 1)
        net.deliver_all()
        net.advance_source("a")
        net.links["x"].blocked.clear()
        net.run()
        net.check_all_newest()
        deltas = messages_to(net, "x", Delta)
        assert not messages_to(net, "x", FollowAccepted)
        assert len(deltas) > 3
        assert [one.first for one in deltas[1:]] == [one.last for one in deltas[:-1]]
        for one in deltas:
            assert histories.items_size(one.items) <= 2000


def test_backlog_larger_than_state_is_replaced_by_snapshot_on_open_link() -> None:
    """One key that is changed many times: the missing steps are larger than the state."""
    reference = ReferenceModel()
    with lowered_limits(DELTA_SIZE_LIMIT=200):
        net = network_following(reference, "x")
        net.links["x"].blocked.add("to_source")
        for _ in range(60):
            reference.write(("route/1", bytes(10)))
        net.advance_source("a", 1)
        net.deliver_all()
        net.advance_source("a")
        net.links["x"].blocked.clear()
        net.run()
        net.check_all_newest()
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)] == [True]


def test_tenant_requested_between_deltas_is_answered_after_the_last() -> None:
    """An answer between two deltas would be newer than the state that the follower holds."""
    reference = ReferenceModel()
    reference.write(("tenant/a", b"1"))
    with lowered_limits(DELTA_SIZE_LIMIT=2000):
        net = network_following(reference, "x")
        net.links["x"].blocked.add("to_source")
        reference.write_many(100, 10, "route/")
        reference.write(("tenant/a", b"2"))
        net.advance_source("a", 2)
        net.deliver_all()
        net.advance_source("a")
        net.sent.clear()
        effects = net.sources["a"].handle(
            net.now, SubscriberMessage(net.links["x"].peer, FetchTenants(("tenant/a",)))
        )
        assert not effects
        net.links["x"].blocked.clear()
        net.run()
        net.check_all_newest()
    assert [(one.sequence, one.items) for one in messages_to(net, "x", TenantEntries)] == [
        (reference.newest, (("tenant/a", b"2", reference.newest),))
    ]


def test_request_ids_are_not_sent_to_instances() -> None:
    reference = ReferenceModel()
    net = network_following(reference, "x")
    net.add_follower("k", "a", kind="all", level=1)
    net.run(2 * RECONNECT_JITTER_NS)
    net.write(("route/1", b"1"), ("made/1", b"a request"))
    net.deliver_all()
    net.check_all_newest()
    assert [key for key, _, _ in messages_to(net, "x", Delta)[-1].items] == ["route/1"]
    assert net.follower("x").table.get("made/1") is None
    assert net.follower("k").table.get("made/1") == (b"a request", reference.newest)


def test_state_with_unknown_digest_is_replaced_by_snapshot() -> None:
    reference = ReferenceModel()
    reference.write_many(10)
    net = Network(reference)
    net.add_source("a", reference.history())
    other = FeedTable().update(10, [("route/1", b"from elsewhere", 3)])
    net.add_follower("x", "a", table=other)
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)] == [True]


def test_heartbeat_detects_corrupt_state() -> None:
    net = network_following(ReferenceModel(), "x")
    net.reference.write_many(3)
    net.advance_source("a")
    net.run()
    one = net.follower("x")
    one.table = one.table.update(3, [("route/0", b"flipped", 1)])
    net.sent.clear()
    net.run(HEARTBEAT_INTERVAL_NS + 2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert ("x", "digest mismatch") in net.disconnects
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)] == [True]


def test_delta_with_digest_mismatch_is_rejected_and_snapshot_loaded() -> None:
    """The follower must not resume: the source knows its sequence number and digest and would send the same
    delta again."""
    net = network_following(ReferenceModel(), "x")
    net.reference.write_many(3)
    net.advance_source("a")
    net.run()
    one = net.follower("x")
    one.table = one.table._replace(wide=one.table.wide.delete("route/0").set("route/0", (b"rot", 1)))
    net.write(("route/0", b"new"))
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert not one.state_suspect


@pytest.mark.parametrize(
    ("first", "last", "digest"),
    [
        (1, 3, None),  # starts before the current state
        (3, 4, None),  # starts after the current state: a gap
        (2, 2, None),  # empty
        (2, 1, None),
        (2, 3, bytes(16)),  # wrong digest
    ],
)
def test_delta_from_another_state_is_rejected(first: int, last: int, digest: bytes | None) -> None:
    """Also where the digest after applying the delta happens to match."""
    net = network_following(ReferenceModel(), "x")
    net.reference.write_many(2)
    net.advance_source("a")
    net.run()
    before = net.follower("x").table
    items: Items = (("route/0", b"", last),)
    after = before.update(last, items, "wide").digest("wide")
    net.pass_to_follower(
        "x", UpstreamMessage("a", Delta(first, last, items, after if digest is None else digest))
    )
    assert (net.follower("x").table, net.follower("x").phase) == (before, "waiting")
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()


def test_source_rejects_follower_ahead_of_it_which_keeps_its_state() -> None:
    reference = ReferenceModel()
    reference.write_many(10)
    net = Network(reference)
    net.add_source("behind", reference.history(0, 4))
    net.add_follower("x", "behind", table=reference.tables[9])
    net.run(5 * SECOND)
    assert net.follower("x").table.sequence == 9
    assert {type(one) for _, one in net.sent} == {FollowRejected}
    assert ("x", "refused: behind") in net.disconnects
    net.advance_source("behind")
    net.run(3 * SECOND)
    net.check_all_newest()


def test_follower_ahead_of_one_source_follows_the_next() -> None:
    reference = ReferenceModel()
    reference.write_many(10)
    net = Network(reference)
    net.add_source("behind", reference.history(0, 4))
    net.add_source("a", reference.history())
    net.add_follower("x", "behind", "a", table=reference.tables[9])
    net.run(3 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert net.follower("x").upstream == "a"


# ---- snapshots


def network_loading(
    reference: ReferenceModel, at: int, random_delay: Callable[[int], int] | None = None
) -> Network:
    """Return a network of a source `a` without history, and `x` with the state `at`, loading its snapshot."""
    net = Network(reference)
    net.add_source("a", reference.history(reference.newest))
    net.add_follower("x", "a", "b", table=reference.tables[at], random_delay=random_delay)
    net.now = RECONNECT_JITTER_NS
    net.pass_to_follower("x", DeadlineReached())
    while net.follower("x").next_part < 3:
        for one in list(net.pending_connects):
            net.complete_connect(*one)
        link = net.links["x"]
        if link.to_source:
            net.deliver_to_source(link)
        else:
            net.deliver_to_follower("x", link)
    return net


def test_changes_while_loading_snapshot_keep_old_state_until_complete() -> None:
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        for number in range(5):
            net.write((f"route/{number}", b"changed"), ("route/50", None))
            net.links["x"].blocked.add("to_follower")
            net.deliver_all()
            reference.check(net.follower("x").table, "wide")
            assert net.follower("x").table.sequence == 7
        net.links["x"].blocked.clear()
        net.run()
        net.check_all_newest()
    assert (net.effect_counts[SnapshotLoaded], net.effect_counts[DeltaApplied]) == (1, 1)  # one merged delta


def test_source_failure_while_loading_loads_snapshot_of_next_source() -> None:
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        reference.write(("route/1", b"later"), ("route/2", None))
        net.add_source("b", reference.history(reference.newest))
        net.kill("a")
        assert net.follower("x").table.sequence == 7
        net.run(3 * RECONNECT_JITTER_NS)
        net.check_all_newest()
    assert net.effect_counts[SnapshotLoaded] == 1
    assert {one.sequence for one in messages_to(net, "x", SnapshotPart)} == {60, 61}


def test_next_source_may_offer_older_snapshot_than_the_one_being_loaded() -> None:
    """An older snapshot may replace one that is only partly loaded, but not the follower's current state."""
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        net.add_source("b", reference.history(40, 40))
        net.kill("a")
        net.run(3 * RECONNECT_JITTER_NS)
        assert net.follower("x").table.sequence == 40
        net.kill("b")
        net.add_source("b", reference.history(30, 30))
        net.run(3 * RECONNECT_JITTER_NS)
        assert net.follower("x").table.sequence == 40


def test_snapshot_older_than_current_state_is_rejected() -> None:
    reference = ReferenceModel()
    reference.write_many(10)
    net = network_following(reference, "x")
    net.pass_to_follower("x", UpstreamMessage("a", FollowAccepted(4, True, 1, 0, 0, False)))
    assert ("x", "snapshot older than the current state") in net.disconnects
    assert net.follower("x").table.sequence == 10


def test_late_parts_of_older_snapshot_are_ignored_while_following() -> None:
    reference = ReferenceModel()
    reference.write_many(20)
    net = network_following(reference, "x")
    before = net.follower("x").table
    snapshot = Snapshot(reference.tables[4], "wide")
    part = snapshot.part(0)
    assert part is not None
    assert part.parts == 1
    net.pass_to_follower("x", UpstreamMessage("a", part))
    assert (net.follower("x").table, net.follower("x").phase) == (before, "following")


def test_parts_of_replaced_snapshot_are_ignored() -> None:
    """A relay that loads a snapshot itself drops the snapshot that its followers are loading. Parts of the
    old snapshot, and requests for such parts, are still in transit."""
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        link = net.links["x"]
        link.blocked.add("to_follower")
        net.deliver_all()
        assert (
            [one.sequence for one in link.to_follower if isinstance(one, SnapshotPart)]
            == [60] * len(link.to_follower)
            != []
        )
        reference.write_many(3)
        net.sources["a"].history.reset(reference.tables[-1])
        net.pass_to_source("a", HistoryReplaced())
        link.blocked = {"to_source"}
        net.deliver_all()  # the follower requests more parts of the old snapshot
        link.blocked = {"to_follower"}
        net.deliver_all()
        link.blocked.clear()
        net.run()
        net.check_all_newest()
    assert net.effect_counts[SnapshotLoaded] == 1
    assert not net.disconnects
    assert not net.closed


@pytest.mark.parametrize("cause", ["history trimmed", "steps larger", "subscriber diverged"])
def test_snapshot_without_delta_to_newest_state_is_replaced_for_all_loading_followers(cause: str) -> None:
    """A second follower connects while another loads a snapshot that no delta leads on from.

    If the second one were given the old snapshot too, loading would never end.
    """
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(
        PART_SIZE=300, HISTORY_STEPS_LIMIT=10 if cause == "history trimmed" else 1000, DELTA_SIZE_LIMIT=2000
    ):
        net = network_loading(reference, 7)
        old = net.sources["a"].snapshots.by_kind["wide"]
        net.links["x"].blocked.add("to_follower")
        if cause == "subscriber diverged":
            net.write(("route/1", b"1"))
            net.add_follower("y", "a", table=FeedTable().update(61, [("route/1", b"of another line", 1)]))
        else:
            for _ in range(0 if cause == "history trimmed" else 400):  # steps larger than the state
                reference.write(("route/1", bytes(10)))
            reference.write_many(11)
            net.advance_source("a")
            net.add_follower("y", "a")
        net.run(RECONNECT_JITTER_NS)
        assert net.sources["a"].snapshots.by_kind["wide"].sequence == reference.newest > old.sequence
        assert net.follower("y").table.sequence == reference.newest
        net.links["x"].blocked.clear()
        net.run(4 * RECONNECT_JITTER_NS)
        net.check_all_newest()
    assert net.effect_counts[SnapshotLoaded] == 2
    assert {one.sequence for one in messages_to(net, "y", SnapshotPart)} == {reference.newest}


def test_fetch_past_the_last_part_does_not_restart_a_completed_load() -> None:
    """A follower requests parts ahead, also past the end. If the snapshot is replaced meanwhile, the
    acknowledgement that follows is still valid."""
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        link = net.links["x"]
        while net.follower("x").phase == "loading":
            if link.to_follower:
                net.deliver_to_follower("x", link)
            else:
                net.deliver_to_source(link)
        assert [type(one) for one in link.to_source] == [FetchPart] * (len(link.to_source) - 1) + [
            Acknowledge
        ]
        assert len(link.to_source) > 1
        reference.write_many(3)
        net.sources["a"].history.reset(reference.tables[-1])
        net.pass_to_source("a", HistoryReplaced())
        net.run()
        net.check_all_newest()
    assert not net.closed


def test_part_of_another_snapshot_is_ignored() -> None:
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        one = net.follower("x")
        state_before = one.state_key()
        for number in (8, 59, 61):
            part = SnapshotPart(number, one.next_part, one.next_part + 1, (), bytes(16))
            assert one.handle(net.now, UpstreamMessage("a", part)) == []
        assert one.state_key() == state_before
        net.run()
        net.check_all_newest()


def test_snapshot_with_digest_mismatch_is_discarded() -> None:
    reference = ReferenceModel()
    reference.write_many(60)
    with lowered_limits(PART_SIZE=300):
        net = network_loading(reference, 7)
        one = net.follower("x")
        assert one.snapshot is not None
        key, _, version = next(one.snapshot.entries("wide"))
        one.snapshot = one.snapshot.update(60, [(key, b"rot", version)])
        while one.phase == "loading":
            link = net.links["x"]
            if link.to_source:
                net.deliver_to_source(link)
            else:
                net.deliver_to_follower("x", link)
        assert (one.table.sequence, one.phase) == (7, "waiting")
        net.run(4 * RECONNECT_JITTER_NS)
        net.check_all_newest()


def test_snapshot_parts_are_made_on_demand_and_shared() -> None:
    reference = ReferenceModel()
    reference.write_many(400)
    with lowered_limits(PART_SIZE=300):
        net = Network(reference)
        source = net.add_source("a", reference.history(400))
        for id in "xyz":
            net.add_follower(id, "a")
        net.deliver_all()
        for id in "xyz":
            net.now = RECONNECT_JITTER_NS
            net.pass_to_follower(id, DeadlineReached())
        for one in list(net.pending_connects):
            net.complete_connect(*one)
        for id in "xyz":
            net.deliver_to_source(net.links[id])
        snapshot = source.snapshots.by_kind["wide"]
        assert snapshot.parts == []  # no part is made for a FollowAccepted
        net.reference.write(("route/1", b"meanwhile"))
        net.advance_source("a")
        net.run()
        assert source.snapshots.by_kind["wide"] is snapshot  # kept: a delta leads from it to the newest state
        net.check_all_newest()
    assert net.effect_counts[SnapshotLoaded] == 3
    net.run(SNAPSHOT_TTL)
    assert not source.snapshots.by_kind


def test_each_request_makes_at_most_one_part() -> None:
    """Otherwise a peer could make a source build all parts by requesting the last one first."""
    reference = ReferenceModel()
    reference.write_many(400)
    with lowered_limits(PART_SIZE=300):
        source = Source(reference.history(400), 0, 0)
        source.handle(0, SubscriberJoined(1))
        source.handle(0, SubscriberMessage(1, Follow("x", "wide", 0, b"")))
        for index in range(5):
            source.handle(0, SubscriberMessage(1, FetchPart(400, index)))
            assert len(source.snapshots.by_kind["wide"].parts) == index + 1
        assert source.handle(0, SubscriberMessage(1, FetchPart(400, 300))) == [
            CloseDownstream(1, "snapshot part out of order")
        ]
        assert len(source.snapshots.by_kind["wide"].parts) == 5


def test_parts_have_bounded_size_and_empty_table_is_one_part() -> None:
    reference = ReferenceModel()
    reference.write_many(100, VALUE_SIZE_LIMIT)
    snapshot = Snapshot(reference.tables[-1], "wide")
    parts = [snapshot.part(index) for index in range(8)]
    sizes = [len(encode(part)) for part in parts if part is not None]
    assert all(size < PART_SIZE + VALUE_SIZE_LIMIT + KEY_LENGTH_LIMIT for size in sizes)
    assert [part.parts for part in parts if part is not None] == [0] * (len(sizes) - 1) + [len(sizes)]
    assert Snapshot(FeedTable(), "all").part(0) == SnapshotPart(0, 0, 1, (), bytes(16))
    assert Snapshot(FeedTable(), "all").part(1) is None


def test_snapshot_contains_tenants_only_for_followers_of_kind_all() -> None:
    reference = ReferenceModel()
    reference.write_many(10)
    reference.write_many(10, prefix="tenant/")
    net = Network(reference)
    net.add_source("a", reference.history(20))
    net.add_follower("w", "a")
    net.add_follower("k", "a", kind="all", level=1)
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert len(net.follower("w").table.tenants) == 0
    assert len(net.follower("k").table.tenants) == 10


# ---- pushing


def test_slow_follower_gets_one_merged_delta_and_does_not_delay_others() -> None:
    net = network_following(ReferenceModel(), "slow", "quick")
    net.links["slow"].blocked.add("to_source")
    for _ in range(10):
        for number in range(1000):
            net.reference.write((f"route/{number % 50}", str(net.reference.newest).encode()))
            net.advance_source("a")
            net.deliver_all()
            assert net.follower("quick").table.sequence == net.reference.newest
    assert net.links["slow"].max_in_transit == 1
    assert len(messages_to(net, "slow", Delta)) == 1
    net.links["slow"].blocked.clear()
    net.deliver_all()
    net.check_all_newest()
    assert [(one.first, one.last) for one in messages_to(net, "slow", Delta)] == [(0, 1), (1, 10_000)]
    assert len(messages_to(net, "slow", Delta)[1].items) == 50
    assert len(messages_to(net, "quick", Delta)) == 10_000


def test_messages_to_unresponsive_follower_are_bounded_until_it_is_closed() -> None:
    net = network_following(ReferenceModel(), "dead", "quick")
    link = net.links["dead"]
    link.blocked |= {"to_source", "to_follower"}
    net.paused.add("dead")
    for _ in range(1000):
        net.write(("route/0", str(net.reference.newest).encode()))
        net.run(STALL_TIMEOUT_NS // 900)
    assert (link.max_in_transit, len(link.to_follower)) == (
        1,
        1 + (STALL_TIMEOUT_NS - 1) // HEARTBEAT_INTERVAL_NS + 1,
    )  # a delta, its heartbeats, the end of the connection
    assert ("dead", "silent") in net.closed
    assert len(net.sources["a"].subscribers) == 1
    assert net.follower("quick").table.sequence == 1000


def test_silent_subscriber_is_closed() -> None:
    source = Source(History(), 0, 0)
    source.handle(0, SubscriberJoined(1))
    assert source.next_deadline() == STALL_TIMEOUT_NS
    assert source.handle(STALL_TIMEOUT_NS - 1, DeadlineReached()) == []
    assert source.handle(STALL_TIMEOUT_NS, DeadlineReached()) == [CloseDownstream(1, "silent")]
    assert not source.subscribers
    assert not source.last_received_at


def test_full_source_rejects_follower_which_follows_another() -> None:
    reference = ReferenceModel()
    net = Network(reference)
    net.add_source("a", reference.history(), max_followers=2)
    net.add_source("b", reference.history())
    for id in "xyz":
        net.add_follower(id, "a", "b")
    net.run(4 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert Counter(net.follower(id).upstream for id in "xyz") == {"a": 2, "b": 1}
    assert [reason for _, reason in net.disconnects] == ["refused: full"]


def test_reconnects_after_source_failure_are_spread_over_time() -> None:
    reference = ReferenceModel()
    net = Network(reference)
    net.add_source("a", reference.history())
    net.add_source("b", reference.history())
    for number in range(200):
        net.add_follower(f"x{number}", "a", "b")
    net.run(2 * RECONNECT_JITTER_NS)
    assert len(net.sources["a"].subscribers) == 200
    net.kill("a")
    killed_at = net.now
    net.write(("route/1", b"new"), to=["b"])
    net.connects.clear()
    net.run(RECONNECT_JITTER_NS)
    net.check_all_newest()
    attempts = Counter((at - killed_at) * 10 // RECONNECT_JITTER_NS for _, _, at in net.connects)
    assert len(attempts) == 10
    assert max(attempts.values()) < 50


def test_source_without_heartbeats_is_left_after_timeout() -> None:
    reference = ReferenceModel()
    net = network_following(reference, "x")
    net.follower("x").sources = ("a", "b")
    net.add_source("b", reference.history())
    net.break_link("x", notify=False)
    last_received_at = net.follower("x").last_received_at
    net.run(last_received_at + SOURCE_TIMEOUT_NS - 1 - net.now)
    assert net.follower("x").upstream == "a"
    net.run(1)
    assert net.disconnects == [("x", "silent")]
    net.run(RECONNECT_JITTER_NS)
    assert net.follower("x").upstream == "b"


def test_source_that_never_answers_is_left_after_timeout() -> None:
    net = Network(ReferenceModel())
    one = net.add_follower("x", "a", "b", random_delay=lambda span: 0)
    assert one.handle(0, DeadlineReached()) == [ConnectUpstream("a")]
    assert one.handle(SOURCE_TIMEOUT_NS - 1, DeadlineReached()) == []
    assert one.handle(SOURCE_TIMEOUT_NS, DeadlineReached()) == [DisconnectUpstream("a", "silent")]
    assert one.handle(SOURCE_TIMEOUT_NS, DeadlineReached()) == [ConnectUpstream("b")]
    assert [type(effect) for effect in one.handle(SOURCE_TIMEOUT_NS, UpstreamConnected("b"))] == [
        SendUpstream
    ]
    assert one.handle(2 * SOURCE_TIMEOUT_NS, DeadlineReached()) == [DisconnectUpstream("b", "silent")]


def test_unread_messages_after_pause_are_handled_before_timeout() -> None:
    net = network_following(ReferenceModel(), "x")
    net.paused.add("x")
    for _ in range(4):
        net.run(STALL_TIMEOUT_NS // 5)  # heartbeats stay unread
    net.write(("route/1", b"1"))
    net.paused.clear()
    net.run(0)
    assert not net.disconnects
    net.check_all_newest()


def test_heartbeats_are_sent_only_to_idle_subscribers() -> None:
    net = network_following(ReferenceModel(), "x", "y")
    net.run(HEARTBEAT_INTERVAL_NS)
    assert {type(one) for _, one in net.sent} == {Heartbeat}
    net.sent.clear()
    for _ in range(10):
        net.write(("route/1", str(net.reference.newest).encode()))
        net.run(HEARTBEAT_INTERVAL_NS // 2)
    assert {type(one) for _, one in net.sent} == {Delta}


def test_idle_second_costs_two_heartbeats_and_two_acknowledgements() -> None:
    net = network_following(ReferenceModel(), "x")
    net.run(HEARTBEAT_INTERVAL_NS)
    net.sent.clear()
    net.sent_upstream.clear()
    net.run(10 * SECOND)
    assert Counter(type(one) for _, one in net.sent) == {Heartbeat: 20}
    assert Counter(type(one) for _, one in net.sent_upstream) == {Acknowledge: 20}


def test_push_does_not_access_subscribers_with_delta_in_flight() -> None:
    """A push does not access followers that have not acknowledged the previous delta."""

    class CountingDict(dict[int, Any]):
        reads = 0

        def __getitem__(self, key: int) -> Any:
            CountingDict.reads += 1
            return super().__getitem__(key)

    net = network_following(ReferenceModel(), *(f"x{number}" for number in range(50)))
    net.sources["a"].subscribers = CountingDict(net.sources["a"].subscribers)
    for _ in range(100):
        net.write(("route/1", b"1"))
    assert CountingDict.reads == 50


def test_followers_at_same_state_share_one_delta_object() -> None:
    net = network_following(ReferenceModel(), "x", "y", "z")
    net.write(("route/1", b"1"))
    assert len({id(message) for _, message in net.sent if isinstance(message, Delta)}) == 1


def test_mass_update_of_tenants_evicts_cached_tenants_without_snapshot() -> None:
    reference = ReferenceModel()
    with lowered_limits(DELTA_SIZE_LIMIT=1000):
        net = network_following(reference, "x")
        net.links["x"].blocked.add("to_source")
        net.write(("route/1", b"1"))
        net.deliver_all()
        net.reference.write_many(30, 40, "tenant/")
        net.reference.write(("route/1", b"2"))
        net.advance_source("a")
        net.links["x"].blocked.clear()
        net.deliver_all()
        net.check_all_newest()
    last = messages_to(net, "x", Delta)[-1]
    assert (last.evict_tenants, [key for key, _, _ in last.items]) == (True, ["route/1"])
    assert not messages_to(net, "x", FollowAccepted)


# ---- relays and keepers


def test_change_reaches_follower_through_two_relays() -> None:
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    net.add_source("a", reference.history())
    net.add_relay("r1", "a", level=1)
    net.add_relay("r2", "r1", level=2)
    net.add_follower("x", "r2")
    net.run(5 * SECOND)
    net.check_all_newest()
    net.write(("route/1", b"new"), ("tenant/1", b"t"))
    net.deliver_all()
    net.check_all_newest()


def test_follower_inside_merged_step_of_next_relay_resumes() -> None:
    """The relay that fails received each change separately; the next relay received several in one step."""
    reference = ReferenceModel()
    reference.write_many(20)
    net = Network(reference)
    net.add_source("a", reference.history())
    for relay in ("r1", "r2"):
        net.add_relay(relay, "a", level=1)
    net.add_follower("x", "r1", "r2")
    net.run(5 * SECOND)
    net.check_all_newest()
    net.links["r2"].blocked.add("to_source")
    for value in (b"1", b"2", b"3"):
        net.write(("route/1", value), ("tenant/1", value))
        net.deliver_all()
    net.links["r1"].blocked.add("to_follower")
    net.write(("route/2", b"4"))
    net.links["r2"].blocked.clear()
    net.deliver_all()
    assert net.follower("x").table.sequence == reference.newest - 1
    assert reference.newest - 1 not in {last for _, last, _, _ in net.sources["r2"].history.steps}
    net.sent.clear()
    net.close_link("r1")
    del net.followers["r1"]
    net.kill("r1")
    net.run(3 * SECOND)
    net.check_all_newest()
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)] == [False]


def test_follower_inside_merged_step_with_diverged_state_loads_snapshot() -> None:
    """From the follower's diverged state, the merged step leads to another digest than the source's. The next
    source has the same step."""
    reference = ReferenceModel()
    reference.write_many(6)
    history = History(reference.tables[2])
    history.advance(
        5, tuple((key, value, number) for number in (3, 4, 5) for key, value in reference.changes[number])
    )
    net = Network(reference)
    for name in ("a", "b"):
        net.add_source(name, history.copy())
    strange = FeedTable().update(4, (("route/strange", b"{}", 1),))
    net.add_follower("x", "a", "b", table=strange)
    net.run(6 * SECOND)
    assert [reason for _, reason in net.disconnects] == ["digest mismatch"]
    table = net.follower("x").table
    assert (table.sequence, table.digest("wide")) == (5, history.table.digest("wide"))


def test_followers_of_relay_that_loads_snapshot_load_it_too() -> None:
    reference = ReferenceModel()
    reference.write_many(5)
    with lowered_limits(HISTORY_STEPS_LIMIT=10, PART_SIZE=200):
        net = Network(reference)
        net.add_source("a", reference.history())
        net.add_relay("r", "a", level=1)
        net.add_follower("x", "r")
        net.run(3 * SECOND)
        net.check_all_newest()
        net.break_link("r")
        reference.write_many(30)
        net.advance_source("a")
        net.run(3 * SECOND)
        net.check_all_newest()
    assert [one.load_snapshot for one in messages_to(net, "x", FollowAccepted)][-1]


def test_relays_do_not_follow_each_other_in_a_cycle() -> None:
    """Relays without a connection to a keeper have only each other as sources; none follows a source whose
    level is not lower."""
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    for id, names in (("r1", ("r2", "s1")), ("s1", ("r2", "r1")), ("r2", ("r1",))):
        net.add_relay(id, *names, level=int(id[1]), table=reference.tables[5])
    net.run(5 * SECOND)
    assert net.follower("r2").upstream == "r1"
    assert (net.follower("r1").phase, net.follower("s1").phase) != ("following", "following")
    for id in ("r1", "s1"):
        assert net.follower(id).phase in ("waiting", "connecting")
    assert {reason for _, reason in net.disconnects} == {"refused: not below"}


def test_follower_leaves_source_whose_level_is_not_lower() -> None:
    one = Follower("r", "all", FeedTable(), ("s",), 0, lambda span: 0, level=1)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("s"))
    assert one.handle(0, UpstreamMessage("s", FollowAccepted(0, False, 0, 1, 0, False))) == [
        DisconnectUpstream("s", "level not lower than the follower's")
    ]


def test_keeper_follows_only_writer_of_highest_known_epoch() -> None:
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    for name, epoch, holds in (("a", 0, False), ("b", 3, True), ("c", 4, True)):
        net.add_source(name, reference.history())
        net.pass_to_source(name, WriterChanged(epoch, holds, 0))
    net.add_follower("k", "a", "b", kind="all")
    net.run(4 * RECONNECT_JITTER_NS)
    assert (net.follower("k").upstream, net.follower("k").epoch) == ("b", 3)
    net.pass_to_follower("k", SourcesChanged(("c", "b")))
    net.break_link("k")
    net.run(4 * RECONNECT_JITTER_NS)
    assert net.follower("k").upstream == "c"
    net.pass_to_source("c", WriterChanged(5, False, 0))  # c lost its lease and announces this at once
    net.deliver_all()
    assert ("k", "not the writer") in net.disconnects
    net.run(6 * RECONNECT_JITTER_NS)
    assert net.follower("k").upstream not in ("b", "c")  # the epoch that b knows is outdated
    net.pass_to_source("b", WriterChanged(6, True, 0))
    net.run(4 * RECONNECT_JITTER_NS)
    assert net.follower("k").upstream == "b"


def test_keeper_follows_at_most_one_redirect_in_a_row() -> None:
    one = Follower("k", "all", FeedTable(), ("a", "b", "c"), 0, lambda span: span)

    def redirect_target(leader: str) -> str:
        """Return the source to try at once after the next one named `leader` as the writer, else empty."""
        now = one.next_deadline()
        connects = one.handle(now, DeadlineReached())
        assert isinstance(connects[0], ConnectUpstream)
        at = connects[0].source
        one.handle(now, UpstreamConnected(at))
        accepted = FollowAccepted(0, False, 0, 0, 1, False, leader)
        assert isinstance(one.handle(now, UpstreamMessage(at, accepted))[0], DisconnectUpstream)
        return one.sources[one.next_source] if one.next_deadline() == now else ""

    assert redirect_target("") == ""
    assert redirect_target("nobody") == ""
    assert redirect_target("a") == "a"
    assert redirect_target("c") == ""  # two keepers that name each other cause a delay in each round
    assert redirect_target("c") == "c"


def test_full_source_accepts_keepers_on_reserved_connections() -> None:
    reference = ReferenceModel()
    reference.write_many(3)
    net = Network(reference)
    net.add_source("a", reference.history(), max_followers=2)
    net.pass_to_source("a", WriterChanged(1, True, 0))
    for id in ("x", "y", "z"):
        net.add_follower(id, "a")
    net.add_relay("r", "a", level=1)
    net.run(3 * SECOND)
    keepers = [net.add_follower(f"k{place}", "a", kind="all") for place in range(8)]
    net.run(3 * SECOND)
    assert [one.table.sequence for one in keepers] == [3] * 8
    assert Counter(net.follower(id).table.sequence for id in ("x", "y", "z", "r")) == {3: 2, 0: 2}
    net.add_follower("k", "a", kind="all")
    net.run(3 * SECOND)
    assert net.follower("k").table.sequence == 0
    assert len(net.sources["a"].subscribers) <= 2 + 8


def test_without_writer_keeper_applies_deltas_and_keeps_searching() -> None:
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    net.add_source("a", reference.history(2))
    late = net.add_follower("late", "a", "b", kind="all", table=reference.tables[2])
    cold = net.add_follower("cold", "a", "b", kind="all")
    with lowered_limits(DELTA_SIZE_LIMIT=1):  # one change per delta
        net.run(3 * RECONNECT_JITTER_NS)
    # Without a writer nothing proves that a snapshot belongs to this feed.
    assert (late.table.sequence, cold.table.sequence) == (5, 0)
    assert len(messages_to(net, "late", Delta)) == 3
    assert {reason for _, reason in net.disconnects} == {"not the writer"}
    net.add_source("b", reference.history())
    net.pass_to_source("b", WriterChanged(1, True, 0))
    net.run(3 * SECOND)
    net.check_all_newest()
    assert (late.upstream, cold.upstream) == ("b", "b")


def test_keeper_that_becomes_writer_keeps_its_following_keeper() -> None:
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    net.add_source("a", reference.history(2))
    late = net.add_follower("late", "a", kind="all", table=reference.tables[2], random_delay=lambda span: 0)
    net.pass_to_follower("late", StateDurable(2))
    net.pass_to_follower("late", DeadlineReached())
    net.complete_connect("late", "a")
    with lowered_limits(DELTA_SIZE_LIMIT=1):  # one change per delta
        net.deliver_to_source(net.links["late"])  # the FollowAccepted and the first Delta are in transit
        net.pass_to_source("a", WriterChanged(1, True, 0))
        net.run(SECOND)
    net.write(("route/x", b"x"))
    net.run(SECOND)
    net.check_all_newest()
    assert (late.phase, net.disconnects) == ("following", [])
    assert net.durable == [("late", 2)]


def test_future_writer_catches_up_from_any_keeper() -> None:
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    net.add_source("b", reference.history(2))
    one = net.add_follower("k", "b", kind="all")
    net.run(3 * RECONNECT_JITTER_NS)
    assert one.table.sequence == 0
    net.pass_to_follower("k", FollowingResumed(True))
    net.run(3 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    net.pass_to_follower("k", FollowingSuspended())
    assert (one.phase, one.upstream, "k" in net.links) == ("quiet", "", False)
    reference.write_many(2)
    net.run(10 * SECOND)
    assert one.phase == "quiet"
    net.pass_to_follower(
        "k", FollowingResumed(False, reference.tables[7])
    )  # the changes that the future writer wrote itself
    assert (one.phase, one.table.sequence, one.accept_any_source) == ("waiting", 7, False)


def test_durable_number_is_reported_once_per_advance_and_connection() -> None:
    net = network_following(ReferenceModel(), "k", kind="all")
    for number in (1, 2, 3):
        net.write(("route/1", str(number).encode()))
        net.deliver_all()
    net.pass_to_follower("k", StateDurable(2))
    net.pass_to_follower("k", StateDurable(9))  # beyond the follower's state
    net.run(3 * HEARTBEAT_INTERVAL_NS)
    assert net.durable == [("k", 2), ("k", 3)]
    net.break_link("k")
    net.run(2 * RECONNECT_JITTER_NS)
    assert net.durable == [
        ("k", 2),
        ("k", 3),
        ("k", 3),
    ]  # repeated on a new connection: the writer may be another one


def test_durable_number_of_replaced_state_is_not_reported() -> None:
    """The follower's disk has a state 4 that differs from the feed's state 4. It must not count as durable;
    the loaded state counts once it is on disk."""
    reference = ReferenceModel()
    reference.write_many(5)
    net = Network(reference)
    net.add_source("a", reference.history(5))
    net.pass_to_source("a", WriterChanged(1, True, 0))
    net.add_follower("k", "a", kind="all", table=FeedTable().update(4, [("route/1", b"of another line", 4)]))
    net.pass_to_follower("k", StateDurable(4))
    net.run(4 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    assert not net.durable
    net.pass_to_follower("k", StateDurable(5))
    net.deliver_all()
    assert net.durable == [("k", 5)]


# ---- invalid messages

FOLLOW = Follow("x", "wide", 0, bytes(16))
HUGE = 1 << 63
INVALID_FOLLOWER_MESSAGES: list[tuple[str, FollowerMessage]] = [
    ("new", Follow("", "wide", 0, b"")),
    ("new", Follow("x" * (PEER_ID_LENGTH_LIMIT + 1), "wide", 0, b"")),
    ("new", Follow("x", "wide", -1, b"")),
    ("new", Follow("x", "wide", 0, bytes(17))),
    ("new", Follow("x", "wide", 0, b"", -1)),
    ("new", Follow("x", "all", 0, b"", HUGE)),
    ("new", Follow("x", "all", HUGE, b"")),
    ("new", Acknowledge(0)),
    ("new", FetchPart(0, 0)),
    ("new", FetchTenants(("tenant/1",))),
    ("following", FOLLOW),
    ("following", Acknowledge(-1)),
    ("following", Acknowledge(HUGE)),
    ("following", Acknowledge(1)),
    ("following", Acknowledge(3, 4)),
    ("following", Acknowledge(3, -1)),
    ("following", FetchTenants(("route/1",))),
    ("following", FetchTenants(("tenant/" + "x" * KEY_LENGTH_LIMIT,))),
    ("following", FetchTenants(tuple(f"tenant/{number}" for number in range(FETCHED_TENANTS_LIMIT + 1)))),
    ("following", ReadRequest()),
    ("following", Propose("r", ())),
    ("loading", FOLLOW),
    ("loading", FetchPart(3, -1)),
    ("loading", FetchPart(3, 1)),
    ("loading", FetchPart(3, HUGE)),
    ("loading", Acknowledge(3)),
    ("loading", Acknowledge(HUGE)),
]


@pytest.mark.parametrize(("phase", "message"), INVALID_FOLLOWER_MESSAGES)
def test_invalid_message_closes_only_its_connection(phase: str, message: FollowerMessage) -> None:
    reference = ReferenceModel()
    reference.write_many(3)
    source = Source(reference.history(1), 0, 0)
    for peer in (1, 2):
        source.handle(0, SubscriberJoined(peer))
    source.handle(0, SubscriberMessage(2, Follow("y", "wide", 3, reference.tables[3].digest("wide"))))
    if phase == "loading":
        source.handle(0, SubscriberMessage(1, FOLLOW))
    elif phase == "following":
        source.handle(0, SubscriberMessage(1, Follow("x", "wide", 3, reference.tables[3].digest("wide"))))
    effects = source.handle(0, SubscriberMessage(1, message))
    assert isinstance(effects[-1], CloseDownstream)
    assert effects[-1].peer == 1
    assert {getattr(effect, "peer", None) for effect in effects} == {1}
    assert (
        list(source.subscribers)
        == list(source.last_received_at)
        == list(source.last_sent_at)
        == list(source.up_to_date)
        == [2]
    )
    assert source.handle(0, SubscriberMessage(1, message)) == []
    assert source.handle(0, SubscriberLeft(1)) == []


def test_late_or_unexpected_messages_change_no_state() -> None:
    reference = ReferenceModel()
    reference.write_many(3)
    source = Source(reference.history(1), 0, 0)
    source.handle(0, SubscriberJoined(1))
    source.handle(0, SubscriberMessage(1, FOLLOW))
    state_before = source.state_key()
    for number in (-1, 0, 2, HUGE):
        assert (
            source.handle(0, SubscriberMessage(1, FetchPart(number, 0))) == []
        )  # not the snapshot being loaded
    assert source.handle(0, SubscriberMessage(1, Acknowledge(0))) == []  # a keepalive
    assert source.state_key() == state_before
    assert source.handle(0, SubscriberMessage(99, Acknowledge(0))) == []
    assert source.handle(0, SubscriberLeft(99)) == []
    assert list(source.subscribers) == [1]


INVALID_SOURCE_MESSAGES: list[SourceMessage] = [
    FollowAccepted(-1, True, 0, 0, 0, False),
    FollowAccepted(0, True, 0, -1, 0, False),
    FollowAccepted(0, False, 0, 0, -1, False),
    Delta(-1, 5, (), bytes(16)),
    Delta(0, HUGE, (("tenant/1", b"", 0),), b""),
    FollowRejected("x" * 10_000),
    Heartbeat(-1, b""),
]


@pytest.mark.parametrize("message", INVALID_SOURCE_MESSAGES)
@pytest.mark.parametrize("phase", ["greeting", "loading", "following"])
def test_invalid_message_from_source_disconnects_and_keeps_state(phase: str, message: SourceMessage) -> None:
    reference = ReferenceModel()
    reference.write_many(3)
    one = Follower("x", "wide", reference.tables[3], ("a", "b"), 0, lambda span: 0)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("a"))
    if phase != "greeting":
        one.handle(0, UpstreamMessage("a", FollowAccepted(3, phase == "loading", 0, 0, 0, False)))
    assert one.phase == phase
    effects = one.handle(0, UpstreamMessage("a", message))
    assert one.table is reference.tables[3]
    if phase == "loading" and isinstance(message, Heartbeat):
        assert [type(effect) for effect in effects] == [SendUpstream]
    else:
        assert [type(effect) for effect in effects] == [DisconnectUpstream]
        assert isinstance(effects[0], DisconnectUpstream)
        assert len(effects[0].reason) <= 100
    assert one.handle(0, UpstreamMessage("a", message)) == [] or one.phase == "loading"


@pytest.mark.parametrize("index", [-1, 1, HUGE])
def test_part_out_of_order_ends_loading(index: int) -> None:
    one = Follower("x", "wide", FeedTable(), ("a",), 0, lambda span: 0)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("a"))
    one.handle(0, UpstreamMessage("a", FollowAccepted(3, True, 0, 0, 0, False)))
    effects = one.handle(0, UpstreamMessage("a", SnapshotPart(3, index, 0, (), b"")))
    assert effects == [DisconnectUpstream("a", "snapshot part out of order")]
    assert one.snapshot is None


def test_late_events_of_previous_source_are_ignored() -> None:
    one = Follower("x", "wide", FeedTable(), ("a", "b"), 0, lambda span: 0)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("a"))
    one.handle(0, UpstreamLost("a", "cut"))
    one.handle(0, DeadlineReached())
    assert (one.upstream, one.phase) == ("b", "connecting")
    state_before = one.state_key()
    events: tuple[FollowerEvent, ...] = (
        UpstreamMessage("a", FollowAccepted(0, False, 0, 0, 0, False)),
        UpstreamLost("a", "again"),
        UpstreamConnected("a"),
        UpstreamMessage("b", Heartbeat(0, bytes(16))),
    )
    for event in events:
        assert one.handle(0, event) == []
    assert one.state_key() == state_before
    one.handle(0, UpstreamConnected("b"))
    state_before = one.state_key()
    for late in (FollowAccepted(0, False, 0, 0, 0, False), FollowRejected("full"), Heartbeat(0, bytes(16))):
        assert one.handle(0, UpstreamMessage("a", late)) == []
    assert one.state_key() == state_before


def test_sources_may_change_while_following() -> None:
    net = network_following(ReferenceModel(), "x")
    net.pass_to_follower("x", SourcesChanged(("b", "a")))
    assert net.follower("x").upstream == "a"
    net.pass_to_follower("x", SourcesChanged(("b",)))
    assert net.disconnects == [("x", "no longer a configured source")]
    net.pass_to_follower("x", SourcesChanged(()))
    net.run(10 * SECOND)
    assert net.follower("x").phase == "waiting"
    net.pass_to_follower("x", SourcesChanged(("a",)))
    net.run(2 * RECONNECT_JITTER_NS)
    assert net.follower("x").phase == "following"


# ---- tenant cache of an instance


def network_with_cache(reference: ReferenceModel, max_tenants: int = 100) -> tuple[Network, LookupCache]:
    net = Network(reference)
    net.add_source("a", reference.history())
    cache = LookupCache(net.add_follower("x", "a"), max_tenants)
    net.followers["x"] = cache
    net.run(2 * RECONNECT_JITTER_NS)
    net.check_all_newest()
    net.sent.clear()
    net.sent_upstream.clear()
    return net, cache


def test_uncached_tenant_is_unknown_until_its_answer_arrives() -> None:
    reference = ReferenceModel()
    reference.write(("common/tenant", b"share"), ("tenant/1", b"own"))
    net, cache = network_with_cache(reference)
    assert cache.lookup("tenant/1") == UNKNOWN
    assert cache.lookup("common/tenant") == LookupResult(b"share", 1, True)
    assert cache.next_deadline() <= net.now
    net.run(0)
    assert cache.lookup("tenant/1") == LookupResult(b"own", 1, True)
    assert cache.next_deadline() > net.now


def test_lookups_are_unknown_before_first_state() -> None:
    cache = LookupCache(Follower("x", "wide", FeedTable(), (), 0, lambda span: 0))
    assert cache.lookup("route/1") == UNKNOWN
    assert cache.lookup("tenant/1") == UNKNOWN


def test_repeated_lookups_fetch_once_and_absence_is_cached() -> None:
    net, cache = network_with_cache(ReferenceModel())
    for _ in range(1000):
        assert cache.lookup("tenant/nobody") == UNKNOWN
    net.run(0)
    for _ in range(1000):
        assert cache.lookup("tenant/nobody") == ABSENT
    net.run()
    assert [one for _, one in net.sent_upstream if isinstance(one, FetchTenants)] == [
        FetchTenants(("tenant/nobody",))
    ]
    net.write(("tenant/nobody", b"here"))
    net.deliver_all()
    assert cache.lookup("tenant/nobody") == LookupResult(b"here", 1, True)
    net.write(("tenant/nobody", None))
    net.deliver_all()
    assert cache.lookup("tenant/nobody") == ABSENT


def test_many_tenants_are_fetched_in_batches_and_bounded_messages() -> None:
    reference = ReferenceModel()
    for number in range(1000):
        reference.write((f"tenant/{number}", bytes(VALUE_SIZE_LIMIT)))
    net, cache = network_with_cache(reference, 2000)
    for number in range(1000):
        cache.lookup(f"tenant/{number}")
    net.run(0)
    batches = [len(one.keys) for _, one in net.sent_upstream if isinstance(one, FetchTenants)]
    assert (max(batches), sum(batches)) == (FETCHED_TENANTS_LIMIT, 1000)
    assert all(cache.lookup(f"tenant/{number}").known for number in range(1000))


def test_cache_is_bounded_and_evicts_least_recently_used() -> None:
    reference = ReferenceModel()
    for number in range(10):
        reference.write((f"tenant/{number}", b"own"))
    net, cache = network_with_cache(reference, 4)
    for number in range(4):
        cache.lookup(f"tenant/{number}")
    net.run(0)
    cache.lookup("tenant/0")
    cache.lookup("tenant/4")
    net.run(0)
    assert list(cache.tenants) == ["tenant/2", "tenant/3", "tenant/0", "tenant/4"]
    for number in range(1000):
        cache.lookup(f"tenant/stranger{number}")
    assert len(cache.wanted) == 4
    net.run(0)
    assert len(cache.tenants) == 4


@pytest.mark.parametrize("key", ["tenant/" + "x" * KEY_LENGTH_LIMIT, "tenant/\ud800"])
def test_invalid_tenant_name_is_not_fetched(key: str) -> None:
    net, cache = network_with_cache(ReferenceModel())
    assert cache.lookup(key) == ABSENT
    net.run(0)
    assert not [one for _, one in net.sent_upstream if isinstance(one, FetchTenants)]


def test_tenant_and_route_of_one_change_become_visible_together() -> None:
    reference = ReferenceModel()
    reference.write(("route/1", b"1"), ("tenant/1", b"1"))
    net, cache = network_with_cache(reference)
    cache.lookup("tenant/1")
    net.run(0)
    for number in range(2, 40):
        net.write(("route/1", str(number).encode()), ("tenant/1", str(number).encode()))
        while (link := net.links["x"]).to_follower or link.to_source:
            if link.to_follower:
                net.deliver_to_follower("x", link)
            else:
                net.deliver_to_source(link)
            assert cache.lookup("route/1") == cache.lookup("tenant/1")
    assert cache.lookup("tenant/1") == LookupResult(b"39", 39, True)


def test_tenant_answer_is_sent_after_its_delta() -> None:
    """The request arrives while a delta is in flight and the source's state is newer than that delta: an
    immediate answer would belong to another sequence number."""
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"))
    net, cache = network_with_cache(reference)
    net.links["x"].blocked.add("to_follower")
    net.write(("route/1", b"2"))
    net.write(("tenant/1", b"3"))
    cache.lookup("tenant/1")
    net.run(0)
    assert not messages_to(net, "x", TenantEntries)
    net.links["x"].blocked.clear()
    net.run(0)
    assert [(one.sequence, one.items) for one in messages_to(net, "x", TenantEntries)] == [
        (3, (("tenant/1", b"3", 3),))
    ]
    assert cache.lookup("tenant/1") == LookupResult(b"3", 3, True)


@pytest.mark.parametrize("number", [0, 2, HUGE])
def test_tenant_answer_of_another_sequence_is_dropped_and_fetched_again(number: int) -> None:
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"))
    net, cache = network_with_cache(reference)
    cache.lookup("tenant/1")
    net.pass_to_follower("x", DeadlineReached())
    net.pass_to_follower(
        "x", UpstreamMessage("a", TenantEntries(number, (("tenant/1", b"of another state", number),)))
    )
    assert cache.lookup("tenant/1") == UNKNOWN
    net.run(0)
    assert cache.lookup("tenant/1") == LookupResult(b"1", 1, True)
    assert len([one for _, one in net.sent_upstream if isinstance(one, FetchTenants)]) == 2


def test_unrequested_tenant_answers_are_not_cached() -> None:
    net, cache = network_with_cache(ReferenceModel())
    net.pass_to_follower(
        "x", UpstreamMessage("a", TenantEntries(0, tuple((f"tenant/{n}", b"", 0) for n in range(500))))
    )
    net.pass_to_follower("x", UpstreamMessage("elsewhere", TenantEntries(0, (("tenant/1", b"", 0),))))
    assert not cache.tenants


def test_unanswered_tenants_are_fetched_again_after_reconnect() -> None:
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"), ("tenant/2", b"2"))
    net, cache = network_with_cache(reference)
    cache.lookup("tenant/1")
    net.links["x"].blocked.add("to_source")
    net.run(0)
    net.break_link("x")
    cache.lookup("tenant/2")
    assert list(cache.wanted) == ["tenant/1", "tenant/2"]
    net.run(2 * RECONNECT_JITTER_NS)
    assert (cache.lookup("tenant/1").value, cache.lookup("tenant/2").value) == (b"1", b"2")


def test_unanswered_tenants_are_fetched_again_after_timeout() -> None:
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"))
    net, cache = network_with_cache(reference)
    cache.lookup("tenant/1")
    net.pass_to_follower("x", DeadlineReached())
    net.links["x"].to_source.clear()  # the request is lost
    net.run(2 * STALL_TIMEOUT_NS)
    assert cache.lookup("tenant/1") == LookupResult(b"1", 1, True)


def test_cached_tenants_survive_disconnect_and_are_evicted_by_snapshot() -> None:
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"), ("route/1", b"1"))
    with lowered_limits(HISTORY_STEPS_LIMIT=3):
        net, cache = network_with_cache(reference)
        cache.lookup("tenant/1")
        net.run(0)
        net.break_link("x")
        assert cache.lookup("tenant/1") == LookupResult(b"1", 1, True)
        net.write(("tenant/1", b"2"))
        net.run(2 * RECONNECT_JITTER_NS)
        assert cache.lookup("tenant/1") == LookupResult(b"2", 2, True)  # updated by the delta
        net.break_link("x")
        for _ in range(5):
            net.write(("tenant/1", b"3"), ("route/1", b"3"))
        assert cache.lookup("tenant/1") == LookupResult(b"2", 2, True)
        net.run(2 * RECONNECT_JITTER_NS)
        assert cache.lookup("route/1") == LookupResult(b"3", 7, True)
        assert cache.lookup("tenant/1") == UNKNOWN  # not the value of a state older than the route's
        net.run(0)
        assert cache.lookup("tenant/1") == LookupResult(b"3", 7, True)


def test_evicted_tenants_are_fetched_again() -> None:
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"))
    with lowered_limits(DELTA_SIZE_LIMIT=1000):
        net, cache = network_with_cache(reference)
        cache.lookup("tenant/1")
        net.run(0)
        net.links["x"].blocked.add("to_source")
        net.write(("route/1", b"2"))
        net.deliver_all()
        reference.write_many(30, 40, "tenant/")
        reference.write(("tenant/1", b"new"))
        net.advance_source("a")
        net.links["x"].blocked.clear()
        net.deliver_all()
        assert cache.lookup("tenant/1") == UNKNOWN
        net.run(0)
        assert cache.lookup("tenant/1") == LookupResult(b"new", 33, True)


# ---- table and history

KEYS = st.sampled_from([f"{section}/{n}" for section in ("route", "tenant", "common") for n in range(3)])
CHANGES = st.lists(
    st.dictionaries(KEYS, st.none() | st.binary(max_size=3), min_size=1, max_size=4).map(
        lambda items: tuple(items.items())
    ),
    max_size=20,
)


@given(CHANGES, st.randoms(use_true_random=False))
def test_digest_depends_only_on_current_entries(changes: list[Entries], random: Random) -> None:
    reference = ReferenceModel()
    for items in changes:
        reference.write(*items)
    table = reference.tables[-1]
    entries = list(table.entries("all"))
    random.shuffle(entries)
    rebuilt = FeedTable()
    for key, value, version in entries:  # one at a time, some after another value of the same key
        if random.random() < 0.3:
            rebuilt = rebuilt.update(0, [(key, b"other", version + 1)])
        rebuilt = rebuilt.update(0, [(key, value, version)])
    for key in ("route/gone", "tenant/gone"):
        rebuilt = rebuilt.update(0, [(key, b"x", 1)]).update(0, [(key, None, 2)])
    assert rebuilt._replace(sequence=table.sequence) == table
    assert {k: (v, n) for k, v, n in table.entries("all")} == reference.states[-1]
    assert table.entry_count("all") == len(reference.states[-1])
    assert table.entry_count("wide") == len(list(table.entries("wide")))


@given(CHANGES)
def test_different_states_have_different_digests(changes: list[Entries]) -> None:
    reference = ReferenceModel()
    for items in changes:
        reference.write(*items)
    states = zip(reference.states, reference.tables, strict=True)
    digests = {tuple(sorted(state.items())): table.digest("all") for state, table in states}
    assert len(set(digests.values())) == len(digests)


@given(CHANGES, st.data())
def test_merged_delta_equals_its_steps(changes: list[Entries], data: st.DataObject) -> None:
    reference = ReferenceModel()
    for items in changes:
        reference.write(*items)
    history = History()
    while history.table.sequence < reference.newest:  # steps of one or several changes, as in a relay
        last = data.draw(st.integers(history.table.sequence + 1, reference.newest))
        merged: dict[str, tuple[str, bytes | None, int]] = {}
        for number in range(history.table.sequence + 1, last + 1):
            merged |= {key: (key, value, number) for key, value in reference.changes[number]}
        history.advance(last, tuple(merged.values()))
    assert history.table == reference.tables[-1]
    numbers = {0, *(last for _, last, _, _ in history.steps)}
    kinds: tuple[Kind, Kind] = ("wide", "all")
    for number, table in enumerate(reference.tables):
        for kind in kinds:
            assert history.contains(number, table.digest(kind), kind)
            assert history.contains(number, b"another digest..", kind) == (number not in numbers)
            before = table if kind == "all" else FeedTable().update(number, table.entries("wide"), "wide")
            delta = history.delta(number, kind)
            assert delta is not None
            assert len({key for key, _, _ in delta.items}) == len(delta.items)
            after = before.update(delta.last, delta.items, kind)
            assert after.digest(kind) == delta.digest == history.table.digest(kind)
            reference.check(after, kind)
            other = before.update(number, [("route/of another line", b"x", number)], kind)
            assert other.update(delta.last, delta.items, kind).digest(kind) != delta.digest


def test_wide_table_ignores_tenants() -> None:
    table = FeedTable().update(1, [("route/1", b"r", 1), ("tenant/1", b"t", 1)], "wide")
    assert (len(table.wide), len(table.tenants), table.digest("all")) == (1, 0, table.digest("wide"))


def test_change_out_of_sequence_is_rejected() -> None:
    with pytest.raises(ValueError, match="does not follow"):
        FeedTable().apply(Change(2, "r", ()))
    history = History(FeedTable().update(3, ()))
    for number in (2, 3):
        with pytest.raises(ValueError, match="does not follow"):
            history.advance(number, ())


def test_iterated_table_is_not_affected_by_later_changes() -> None:
    reference = ReferenceModel()
    reference.write_many(500)
    entries = reference.tables[-1].entries("wide")
    seen = [next(entries) for _ in range(100)]
    for number in range(500):
        reference.write((f"route/{number}", None))
    seen += entries
    assert {key for key, _, _ in seen} == set(reference.states[500])


@given(st.integers(1, 5), st.integers(100, 400), CHANGES)
def test_history_keeps_within_its_limits(steps: int, size: int, changes: list[Entries]) -> None:
    reference = ReferenceModel()
    for items in changes:
        reference.write(*items)
    with lowered_limits(HISTORY_STEPS_LIMIT=steps, HISTORY_SIZE_LIMIT=size):
        history = History()
        for number in range(1, reference.newest + 1):
            reference.advance_history(history, number)
            assert len(history.steps) <= steps
            assert history.size == sum(cost for _, _, _, cost in history.steps) <= size
            known = {n for n in range(number + 1) if history.digest_at(n, "wide") is not None}
            assert known == set(range(history.base, number + 1))
            assert len(history._digests) == len(history.steps) + 1
    history.reset(FeedTable().update(1000, ()))
    assert (history.base, history.size, len(history.steps)) == (1000, 0, 0)
    assert history.contains(1000, bytes(16), "all")
    assert not history.contains(reference.newest, reference.tables[-1].digest("all"), "all")


def test_delta_is_limited_in_size_and_leaves_out_tenants_first() -> None:
    history = History()
    value = bytes(VALUE_SIZE_LIMIT)
    many = DELTA_SIZE_LIMIT // VALUE_SIZE_LIMIT - 2
    for number, section in enumerate(("tenant", "tenant", "route", "route"), 1):
        items = tuple((f"{section}/{number}-{n}", value, number) for n in range(many))
        history.advance(number, items)
    paths = []
    for kind in KINDS:
        at, path = 0, [(0, False)]
        while at < 4:
            delta = history.delta(at, kind)
            assert delta is not None
            assert histories.items_size(delta.items) <= DELTA_SIZE_LIMIT
            at = delta.last
            path.append((at, delta.evict_tenants))
        paths.append(path)
    assert paths == [
        [(0, False), (3, True), (4, False)],
        [(0, False), (1, False), (2, False), (3, False), (4, False)],
    ]
    assert history.delta(4, "wide") == Delta(4, 4, (), history.table.digest("wide"))


def test_no_delta_where_snapshot_is_smaller() -> None:
    history = History()
    for number in range(1, 12):
        history.advance(number, (("route/1", bytes(DELTA_SIZE_LIMIT), number),))
    assert history.delta(1, "all") is None
    newest = history.delta(10, "all")
    assert newest is not None  # a step cannot be split
    assert (newest.last, len(newest.items)) == (11, 1)


# ---- random runs


def random_items(random: Random) -> Entries:
    keys = [f"route/{n}" for n in range(6)] + [f"tenant/{n}" for n in range(4)] + ["common/tenant"]
    return tuple(
        (key, None if random.random() < 0.2 else str(random.randrange(100)).encode())
        for key in random.sample(keys, random.randint(1, 3))
    )


KINDS: tuple[Kind, Kind] = ("wide", "all")

ACTIONS = (
    "write",
    "write",
    "advance lagging source",
    "break link",
    "break link silently",
    "block link",
    "pause",
    "resume",
    "restart source",
    "restart follower",
    "look up",
    "run",
)


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 80))
def test_random_faults_never_corrupt_a_state_and_all_reach_the_newest(seed: int, count: int) -> None:
    """There are two sources, one of them lagging, a relay that follows them, and instances that follow any of
    these three; one instance looks up tenants."""
    reference, random = ReferenceModel(), Random(seed)
    net = Network(reference, seed)
    durable: dict[str, int] = {"x": 0, "y": 0}
    with lowered_limits(HISTORY_STEPS_LIMIT=8, PART_SIZE=150, DELTA_SIZE_LIMIT=600):
        for name in "ab":
            net.add_source(name, History())
        net.add_relay("r", "a", "b", level=1)
        net.add_follower("x", "a", "b")
        net.add_follower("y", "r", "b")
        cache = LookupCache(net.add_follower("z", "b", "r", "a"))
        net.followers["z"] = cache
        seen: dict[str, int] = {}

        def check_cache() -> None:
            """Check that all cached values belong to the table's state."""
            state = reference.states[cache.follower.table.sequence]
            for key in ("route/1", "tenant/1", "tenant/2", "tenant/absent", "common/tenant"):
                result = cache.lookup(key)
                if result.known:
                    assert (result.value, result.version) == state.get(key, (None, 0))
                    assert cache.follower.table.sequence >= seen.get(key, 0)
                    seen[key] = cache.follower.table.sequence

        for action in random.choices(ACTIONS, k=count):
            id = random.choice(["r", "x", "y", "z"])
            link = net.links.get(id)
            if action == "write":
                for _ in range(random.choice((1, 1, 1, 3, 12))):
                    reference.write(*random_items(random))
                if "a" in net.sources:
                    net.advance_source("a")
            elif action == "advance lagging source" and "b" in net.sources:
                net.advance_source(
                    "b", random.randint(net.sources["b"].history.table.sequence, reference.newest)
                )
            elif action == "break link":
                net.break_link(id)
            elif action == "break link silently":
                net.break_link(id, notify=False)
            elif action == "block link" and link is not None:
                link.blocked.add(random.choice(("to_source", "to_follower")))
            elif action == "pause":
                net.paused.add(id)
            elif action == "resume":
                net.paused.clear()
                for one in net.links.values():
                    one.blocked.clear()
            elif action == "restart source":
                name = random.choice("ab")
                if name in net.sources:
                    number = net.sources[name].history.table.sequence
                    net.kill(name)
                    net.add_source(name, reference.history(max(0, number - random.randint(0, 9)), number))
            elif action == "restart follower" and id in durable:
                net.close_link(id)
                net.pending_connects = [one for one in net.pending_connects if one[0] != id]
                durable[id] = random.randint(durable[id], net.newest_held[id])
                state = reference.tables[durable[id]]
                table = FeedTable().update(durable[id], state.entries("wide"), "wide")
                net.add_follower(id, *net.follower(id).sources, table=table)
            elif action == "look up":
                check_cache()
            elif action == "run":
                net.run(random.choice((1 * MS, 100 * MS, SECOND, 3 * SECOND)))
            if random.random() < 0.5:
                net.deliver_all()
            check_cache()
            for one in net.links.values():
                assert sum(isinstance(message, Delta) for message in one.to_follower) <= 1
        net.paused.clear()
        for one in net.links.values():
            one.blocked.clear()
        for name in "ab":
            net.advance_source(name)
        net.run(20 * SECOND)
        net.check_all_newest()
        check_cache()
        net.run(0)
        assert cache.lookup("tenant/1").known
        assert {reason for _, reason in net.closed} <= {"behind", "silent"}  # no message was invalid
        assert {reason for _, reason in net.disconnects} <= {"refused: behind", "silent"}
        assert {net.follower(id).phase for id in net.followers} == {"following"}


# ---- copies, as used by exploration


@settings(max_examples=50, deadline=None)
@given(st.integers(0, 1 << 32))
def test_source_copy_behaves_like_original_and_is_independent(seed: int) -> None:
    """Passes inputs to the copy first, then the same inputs to the original."""
    random, reference = Random(seed), ReferenceModel()
    reference.write_many(10)
    with lowered_limits(PART_SIZE=200):
        source = Source(reference.history(5), 0, 0)
        peers = range(1, 4)
        inputs: list[SourceEvent] = []
        for peer in peers:
            inputs.append(SubscriberJoined(peer))
        for _ in range(30):
            peer, now = random.choice(peers), reference.tables[random.randint(0, 10)]
            choices: list[SourceEvent] = [
                SubscriberMessage(peer, Follow(f"x{peer}", "wide", now.sequence, now.digest("wide"))),
                SubscriberMessage(peer, Acknowledge(random.randint(8, 12))),
                SubscriberMessage(peer, FetchPart(10, random.randint(0, 2))),
                SubscriberMessage(peer, FetchTenants(("tenant/1",))),
                DeadlineReached(),
                SubscriberJoined(peer),
                SubscriberLeft(peer),
            ]
            inputs.append(random.choice(choices))
        half = len(inputs) // 2
        for at, input in enumerate(inputs[:half]):
            source.handle(at * 300 * MS, input)
        clone = source.copy()
        state_before = source.state_key()
        assert (hash(clone.state_key()), clone.state_key()) == (hash(state_before), state_before)
        done = []
        for at, input in enumerate(inputs[half:], half):
            done.append(clone.handle(at * 300 * MS, input))
        clone.history.advance(11, (("route/1", b"x", 11),))
        clone.handle(60 * SECOND, HistoryAdvanced())
        assert source.state_key() == state_before
        assert [source.handle(at * 300 * MS, input) for at, input in enumerate(inputs[half:], half)] == done


def test_lookup_cache_copy_is_independent() -> None:
    reference = ReferenceModel()
    reference.write(("tenant/1", b"1"), ("route/1", b"1"))
    net, cache = network_with_cache(reference)
    cache.lookup("tenant/1")
    clone, state_before = cache.copy(), cache.state_key()
    assert (clone.state_key(), hash(clone.state_key())) == (state_before, hash(state_before))
    delta = reference.history(0).delta(0, "wide")
    assert delta is not None
    assert clone.handle(net.now, DeadlineReached()) != []
    assert cache.state_key() == state_before != clone.state_key()
    clone.handle(net.now, UpstreamMessage("a", delta))
    assert (clone.follower.phase, cache.follower.phase) == ("waiting", "following")


@pytest.mark.parametrize(
    "message",
    [
        encode(Delta(1, 2, (("route/x", b"{}", -1),), bytes(16))),
        encode(SnapshotPart(1, 0, 1, (("route/x", b"{}", -1),), bytes(16))),
        b"\x82\xa4type\xa4beat\xa1x" + b"\x91" * 3000 + b"\x01",  # deeply nested lists
    ],
    ids=("delta", "part", "deep"),
)
def test_malformed_source_message_raises_disconnect_error(message: bytes) -> None:
    with pytest.raises(DISCONNECT_ERRORS):
        decode_source(message)


def test_all_messages_pass_the_codec() -> None:
    delta = Delta(1, 2, (("route/1", None, 2), ("route/2", b"x", 2)), bytes(16), True)
    assert decode_source(encode(delta)) == delta
    with pytest.raises(msgspec.ValidationError):
        decode_follower(encode(delta))
    items: Items = delta.items
    assert History().delta(0, "all") == Delta(0, 0, (), bytes(16))
    assert len(items) == 2
