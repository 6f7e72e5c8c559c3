"""Sources and followers of the feed against each other, over links in memory that hold, lose and reorder;
the look-ups of an instance; and what a table and its history promise. An account of what was written stands
apart: whatever a follower holds has to be the state that was written under that number."""

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


class Written:
    """What was written, in order, apart from the code that carries it: plain dicts, copied at each number."""

    def __init__(self) -> None:
        self.states: list[dict[str, tuple[bytes, int]]] = [{}]
        self.changes: list[Entries] = [()]
        self.tables = [FeedTable()]

    @property
    def number(self) -> int:
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

    def some(self, count: int, size: int = 10, prefix: str = "route/") -> None:
        """So many changes of one entry each, every one with a key of its own."""
        for _ in range(count):
            self.write((f"{prefix}{self.number}", bytes(size)))

    def history(self, first: int = 0, last: int | None = None) -> History:
        """The state `last`, and the steps that led there from `first` on."""
        made = History(self.tables[first])
        self.bring(made, last)
        return made

    def bring(self, history: History, last: int | None = None) -> None:
        for number in range(history.table.sequence + 1, (self.number if last is None else last) + 1):
            history.advance(number, tuple((key, value, number) for key, value in self.changes[number]))

    def check(self, table: FeedTable, kind: Kind) -> None:
        held = {key: (value, version) for key, value, version in table.entries(kind)}
        state = self.states[table.sequence]
        apart = () if kind == "all" else ("tenant/", "made/")
        assert held == {key: entry for key, entry in state.items() if not key.startswith(apart)}


class Closed(NamedTuple):
    why: str


class Connection:
    """What is on its way, in order. Held, nothing more arrives at that end."""

    def __init__(self, peer: int, server: str) -> None:
        self.peer, self.server = peer, server
        self.up: deque[FollowerMessage] = deque()
        self.down: deque[SourceMessage | Closed] = deque()
        self.held: set[Literal["up", "down"]] = set()
        self.most = 0  # Deltas and parts that lay in `down` at once


class Net:
    """Sources and followers, and one clock. Which link goes next is drawn; on each, order stays. A connection
    that ends delivers a part of what was on its way, drawn too. All messages pass the codec."""

    def __init__(self, written: Written, seed: int = 1) -> None:
        self.written, self.chance, self.now = written, Random(seed), 0
        self.sources: dict[str, Source] = {}
        self.followers: dict[str, Follower | LookupCache] = {}
        self.links: dict[str, Connection] = {}  # by the follower's id
        self.peers: dict[int, str] = {}
        self.opening: list[tuple[str, str]] = []
        self.relays: dict[str, str] = {}  # a follower, and the source that serves what it holds
        self.paused: set[str] = set()  # followers that do nothing
        self.numbers: dict[str, int] = {}  # the newest that each has held
        self.sent: list[tuple[str, SourceMessage]] = []
        self.asked: list[tuple[str, FollowerMessage]] = []
        self.drops: list[tuple[str, str]] = []
        self.closed: list[tuple[str, str]] = []
        self.durable: list[tuple[str, int]] = []
        self.connects: list[tuple[str, str, int]] = []
        self.steps: Counter[type[FollowerEffect]] = Counter()

    # ---- who is there

    def serve(self, name: str, history: History, level: int = 0, bound: int = 1024) -> Source:
        self.sources[name] = Source(history, level, self.now, bound)
        return self.sources[name]

    def spread(self, span: int) -> int:
        return self.chance.randrange(span)

    def follow(
        self,
        id: str,
        *names: str,
        kind: Kind = "wide",
        table: FeedTable | None = None,
        level: int = 0,
        spread: Callable[[int], int] | None = None,
    ) -> Follower:
        made = Follower(id, kind, table or FeedTable(), names, self.now, spread or self.spread, level)
        self.followers[id] = made
        self.numbers[id] = made.table.sequence
        return made

    def relay(self, id: str, *names: str, level: int, table: FeedTable | None = None) -> Follower:
        made = self.follow(id, *names, kind="all", level=level, table=table)
        self.serve(id, History(made.table), level)
        self.relays[id] = id
        return made

    def follower(self, id: str) -> Follower:
        one = self.followers[id]
        return one.follower if isinstance(one, LookupCache) else one

    def write(self, *items: tuple[str, bytes | None], to: Iterable[str] = ("a",)) -> None:
        self.written.write(*items)
        for name in to:
            self.bring(name)

    def bring(self, name: str, last: int | None = None) -> None:
        source = self.sources[name]
        self.written.bring(source.history, last)
        self.serving(name, HistoryAdvanced())

    # ---- what they are told

    def tell(self, id: str, event: FollowerEvent) -> None:
        one = self.followers[id]
        for effect in one.handle(self.now, event):
            match effect:
                case ConnectUpstream(source):
                    self.opening.append((id, source))
                    self.connects.append((id, source, self.now))
                case DisconnectUpstream(_, reason):
                    self.drops.append((id, reason))
                    self.opening = [(other, at) for other, at in self.opening if other != id]
                    self.end(id)
                case SendUpstream(source, message):
                    assert self.links[id].server == source
                    self.asked.append((id, message))
                    self.links[id].up.append(decode_follower(encode(message)))
                case _:
                    self.steps[type(effect)] += 1
                    self.saw(id, effect.delta if isinstance(effect, DeltaApplied) else None)

    def saw(self, id: str, delta: Delta | None) -> None:
        table, kind = self.follower(id).table, self.follower(id).kind
        assert table.sequence >= self.numbers[id], "an older state after a newer one"
        self.numbers[id] = table.sequence
        self.written.check(table, kind)
        if id in self.relays:
            history = self.sources[self.relays[id]].history
            if delta is None:
                history.reset(table)
            else:
                history.append(table, delta.items)
            self.serving(self.relays[id], HistoryAdvanced() if delta else HistoryReplaced())

    def serving(self, name: str, event: SourceEvent) -> None:
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
                link.down.append(Closed(effect.reason))
                continue
            data = encode(effect.message)
            assert len(data) <= MESSAGE_SIZE_LIMIT
            link.down.append(decode_source(data))
            link.most = max(link.most, sum(isinstance(one, Delta | SnapshotPart) for one in link.down))

    # ---- links

    def opened(self, id: str, name: str) -> None:
        self.opening.remove((id, name))
        if name not in self.sources:
            self.tell(id, UpstreamLost(name, "nobody there"))
            return
        peer = len(self.peers) + 1
        self.peers[peer] = id
        self.links[id] = Connection(peer, name)
        self.serving(name, SubscriberJoined(peer))
        self.tell(id, UpstreamConnected(name))

    def end(self, id: str) -> None:
        """The follower's end closes: some of what it sent still arrives."""
        link = self.links.pop(id, None)
        if link is None or link.server not in self.sources:
            return
        for _ in range(self.chance.randint(0, len(link.up))):
            self.reach(link)
        self.serving(link.server, SubscriberLeft(link.peer))

    def cut(self, id: str, told: bool = True) -> None:
        """The net ends the link: some arrives at both ends. Not told, the follower finds out by silence."""
        link = self.links.get(id)
        if link is None:
            return
        for _ in range(self.chance.randint(0, len(link.down))):
            if self.links.get(id) is not link:
                return
            self.arrive(id, link)
        if self.links.get(id) is link:
            if told:
                self.end(id)
                self.tell(id, UpstreamLost(link.server, "cut"))
            else:
                link.held |= {"up", "down"}

    def kill(self, name: str) -> None:
        for id, link in list(self.links.items()):
            if link.server == name:
                self.cut(id)
        del self.sources[name]

    def reach(self, link: Connection) -> None:
        self.serving(link.server, SubscriberMessage(link.peer, link.up.popleft()))

    def arrive(self, id: str, link: Connection) -> None:
        message = link.down.popleft()
        if not isinstance(message, Closed):
            self.tell(id, UpstreamMessage(link.server, message))
        else:
            del self.links[id]
            self.tell(id, UpstreamLost(link.server, message.why))

    # ---- the clock

    def pump(self) -> None:
        """Till nothing is on its way that isn't held."""
        for _ in range(200_000):
            moves: list[Callable[[], None]] = [partial(self.opened, *one) for one in self.opening]
            for id, link in self.links.items():
                if link.up and "up" not in link.held:
                    moves.append(partial(self.reach, link))
                if link.down and "down" not in link.held and id not in self.paused:
                    moves.append(partial(self.arrive, id, link))
            if not moves:
                return
            self.chance.choice(moves)()
        raise AssertionError("it never comes to rest")

    def run(self, span: int = SECOND) -> None:
        """So long on. Who wakes from a pause reads first; then the clock counts for it."""
        until = self.now + span
        self.pump()
        while True:
            dues = [(source.next_deadline(), 0, name) for name, source in self.sources.items()]
            dues += [
                (one.next_deadline(), 1, id) for id, one in self.followers.items() if id not in self.paused
            ]
            due = min(dues, default=(until + 1, 0, ""))[0]
            if due > until:
                break
            self.now = max(self.now, due)
            for at, follows, name in dues:
                if at <= self.now and follows:
                    self.tell(name, DeadlineReached())
                elif at <= self.now:
                    self.serving(name, DeadlineReached())
            self.pump()
        self.now = until

    def settled(self) -> None:
        newest = self.written.number
        for id in self.followers:
            assert (id, self.follower(id).table.sequence) == (id, newest)
            self.written.check(self.follower(id).table, self.follower(id).kind)


@contextmanager
def small(**bounds: int) -> Iterator[None]:
    """Bounds of a source and a history that a few entries reach."""
    with pytest.MonkeyPatch.context() as patch:
        for name, value in bounds.items():
            for module in (sources, snapshots, histories):
                if hasattr(module, name):
                    patch.setattr(module, name, value)
        yield


def told(net: Net, id: str, what: Any) -> list[Any]:
    return [message for to, message in net.sent if to == id and isinstance(message, what)]


def following(written: Written, *ids: str, kind: Kind = "wide") -> Net:
    """One source `a`, and these follow it."""
    net = Net(written)
    net.serve("a", written.history())
    net.serving("a", WriterChanged(1, True, 0))
    for id in ids:
        net.follow(id, "a", kind=kind)
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()
    assert all(net.follower(id).phase == "following" for id in ids)
    net.sent.clear()
    return net


# ---- resuming


def test_who_comes_back_is_brought_on_by_the_changes_that_it_missed() -> None:
    net = following(Written(), "x")
    net.written.some(20)
    net.bring("a")
    net.run()
    net.cut("x")
    net.written.some(5)
    net.bring("a")
    net.sent.clear()
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)] == [False]
    assert [(one.first, one.last) for one in told(net, "x", Delta)] == [(20, 25)]


def test_who_missed_more_than_the_history_keeps_gets_the_snapshot() -> None:
    with small(HISTORY_STEPS_LIMIT=10, PART_SIZE=300):
        net = following(Written(), "x")
        net.written.some(5)
        net.bring("a")
        net.run()
        net.cut("x")
        net.written.some(11)
        net.bring("a")
        net.sent.clear()
        net.run(2 * RECONNECT_JITTER_NS)
        net.settled()
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)] == [True]
    assert len(told(net, "x", SnapshotPart)) > 1


@pytest.mark.parametrize("kind", ["wide", "all"])
def test_who_missed_more_than_a_delta_holds_gets_several_one_after_the_other(kind: Kind) -> None:
    """An hour's changes are more than one delta holds, and far less than all that a relay has."""
    written = Written()
    with small(DELTA_SIZE_LIMIT=2000):
        net = following(written, "x", kind=kind)
        net.links["x"].held.add("up")
        written.some(150, 10, "route/")
        net.bring("a", 1)
        net.pump()
        net.bring("a")
        net.links["x"].held.clear()
        net.run()
        net.settled()
        found = told(net, "x", Delta)
        assert not told(net, "x", FollowAccepted)
        assert len(found) > 3
        assert [one.first for one in found[1:]] == [one.last for one in found[:-1]]
        for one in found:
            assert histories.items_size(one.items) <= 2000


def test_who_missed_more_than_all_there_is_gets_the_snapshot_also_on_a_link_that_stands() -> None:
    """One key, changed ever again: what leads on is more than the state."""
    written = Written()
    with small(DELTA_SIZE_LIMIT=200):
        net = following(written, "x")
        net.links["x"].held.add("up")
        for _ in range(60):
            written.write(("route/1", bytes(10)))
        net.bring("a", 1)
        net.pump()
        net.bring("a")
        net.links["x"].held.clear()
        net.run()
        net.settled()
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)] == [True]


def test_a_tenant_asked_for_on_the_way_is_told_once_that_way_is_gone() -> None:
    """Between two deltas an answer would be newer than what is held."""
    written = Written()
    written.write(("tenant/a", b"1"))
    with small(DELTA_SIZE_LIMIT=2000):
        net = following(written, "x")
        net.links["x"].held.add("up")
        written.some(100, 10, "route/")
        written.write(("tenant/a", b"2"))
        net.bring("a", 2)
        net.pump()
        net.bring("a")
        net.sent.clear()
        asked = net.sources["a"].handle(
            net.now, SubscriberMessage(net.links["x"].peer, FetchTenants(("tenant/a",)))
        )
        assert not asked
        net.links["x"].held.clear()
        net.run()
        net.settled()
    assert [(one.sequence, one.items) for one in told(net, "x", TenantEntries)] == [
        (written.number, (("tenant/a", b"2", written.number),))
    ]


def test_the_requests_that_are_made_are_no_part_of_what_an_instance_holds() -> None:
    written = Written()
    net = following(written, "x")
    net.follow("k", "a", kind="all", level=1)
    net.run(2 * RECONNECT_JITTER_NS)
    net.write(("route/1", b"1"), ("made/1", b"a request"))
    net.pump()
    net.settled()
    assert [key for key, _, _ in told(net, "x", Delta)[-1].items] == ["route/1"]
    assert net.follower("x").table.get("made/1") is None
    assert net.follower("k").table.get("made/1") == (b"a request", written.number)


def test_a_state_of_another_digest_is_replaced_by_the_snapshot() -> None:
    written = Written()
    written.some(10)
    net = Net(written)
    net.serve("a", written.history())
    other = FeedTable().update(10, [("route/1", b"from elsewhere", 3)])
    net.follow("x", "a", table=other)
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)] == [True]


def test_a_state_that_went_wrong_under_way_is_noticed_by_a_beat() -> None:
    net = following(Written(), "x")
    net.written.some(3)
    net.bring("a")
    net.run()
    one = net.follower("x")
    one.table = one.table.update(3, [("route/0", b"flipped", 1)])
    net.sent.clear()
    net.run(HEARTBEAT_INTERVAL_NS + 2 * RECONNECT_JITTER_NS)
    net.settled()
    assert ("x", "digest mismatch") in net.drops
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)] == [True]


def test_a_delta_that_does_not_come_to_its_digest_is_not_taken_and_the_state_is_loaded() -> None:
    """Its source knows that number and digest: asked to go on from there it would send the same again."""
    net = following(Written(), "x")
    net.written.some(3)
    net.bring("a")
    net.run()
    one = net.follower("x")
    one.table = one.table._replace(wide=one.table.wide.delete("route/0").set("route/0", (b"rot", 1)))
    net.write(("route/0", b"new"))
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()
    assert not one.state_suspect


@pytest.mark.parametrize(
    ("first", "last", "digest"),
    [
        (1, 3, None),  # leads from before
        (3, 4, None),  # leads from after: a gap
        (2, 2, None),  # leads nowhere
        (2, 1, None),
        (2, 3, bytes(16)),  # not what its digest says
    ],
)
def test_nothing_is_taken_that_leads_from_another_state(first: int, last: int, digest: bytes | None) -> None:
    """Also where it would come to its digest by chance."""
    net = following(Written(), "x")
    net.written.some(2)
    net.bring("a")
    net.run()
    before = net.follower("x").table
    items: Items = (("route/0", b"", last),)
    after = before.update(last, items, "wide").digest("wide")
    net.tell("x", UpstreamMessage("a", Delta(first, last, items, after if digest is None else digest)))
    assert (net.follower("x").table, net.follower("x").phase) == (before, "waiting")
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()


def test_a_follower_that_is_ahead_is_refused_and_keeps_its_state() -> None:
    written = Written()
    written.some(10)
    net = Net(written)
    net.serve("behind", written.history(0, 4))
    net.follow("x", "behind", table=written.tables[9])
    net.run(5 * SECOND)
    assert net.follower("x").table.sequence == 9
    assert {type(one) for _, one in net.sent} == {FollowRejected}
    assert ("x", "refused: behind") in net.drops
    net.bring("behind")
    net.run(3 * SECOND)
    net.settled()


def test_a_follower_that_is_ahead_of_one_goes_to_the_next() -> None:
    written = Written()
    written.some(10)
    net = Net(written)
    net.serve("behind", written.history(0, 4))
    net.serve("a", written.history())
    net.follow("x", "behind", "a", table=written.tables[9])
    net.run(3 * RECONNECT_JITTER_NS)
    net.settled()
    assert net.follower("x").upstream == "a"


# ---- snapshots


def loading(written: Written, at: int, spread: Callable[[int], int] | None = None) -> Net:
    """A source `a` that can't lead on from 0, and `x` in the middle of its snapshot with the state `at`."""
    net = Net(written)
    net.serve("a", written.history(written.number))
    net.follow("x", "a", "b", table=written.tables[at], spread=spread)
    net.now = RECONNECT_JITTER_NS
    net.tell("x", DeadlineReached())
    while net.follower("x").next_part < 3:
        for one in list(net.opening):
            net.opened(*one)
        link = net.links["x"]
        if link.up:
            net.reach(link)
        else:
            net.arrive("x", link)
    return net


def test_changes_go_on_in_the_middle_of_a_snapshot_and_the_old_state_serves_till_its_end() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        for number in range(5):
            net.write((f"route/{number}", b"changed"), ("route/50", None))
            net.links["x"].held.add("down")
            net.pump()
            written.check(net.follower("x").table, "wide")
            assert net.follower("x").table.sequence == 7
        net.links["x"].held.clear()
        net.run()
        net.settled()
    assert (net.steps[SnapshotLoaded], net.steps[DeltaApplied]) == (1, 1)  # all that went on came as one


def test_the_source_dies_in_the_middle_of_a_snapshot_and_the_next_has_another() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        written.write(("route/1", b"later"), ("route/2", None))
        net.serve("b", written.history(written.number))
        net.kill("a")
        assert net.follower("x").table.sequence == 7
        net.run(3 * RECONNECT_JITTER_NS)
        net.settled()
    assert net.steps[SnapshotLoaded] == 1
    assert {one.sequence for one in told(net, "x", SnapshotPart)} == {60, 61}


def test_the_next_source_has_an_older_snapshot_than_the_last_and_both_are_whole() -> None:
    """Nothing of the newer one counts yet, so an older one may be taken; but none older than what is held."""
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        net.serve("b", written.history(40, 40))
        net.kill("a")
        net.run(3 * RECONNECT_JITTER_NS)
        assert net.follower("x").table.sequence == 40
        net.kill("b")
        net.serve("b", written.history(30, 30))
        net.run(3 * RECONNECT_JITTER_NS)
        assert net.follower("x").table.sequence == 40


def test_a_snapshot_older_than_what_is_held_is_not_taken() -> None:
    written = Written()
    written.some(10)
    net = following(written, "x")
    net.tell("x", UpstreamMessage("a", FollowAccepted(4, True, 1, 0, 0, False)))
    assert ("x", "snapshot older than the current state") in net.drops
    assert net.follower("x").table.sequence == 10


def test_parts_of_an_older_snapshot_after_a_newer_state_change_nothing() -> None:
    written = Written()
    written.some(20)
    net = following(written, "x")
    before = net.follower("x").table
    snapshot = Snapshot(written.tables[4], "wide")
    part = snapshot.part(0)
    assert part is not None
    assert part.parts == 1
    net.tell("x", UpstreamMessage("a", part))
    assert (net.follower("x").table, net.follower("x").phase) == (before, "following")


def test_parts_of_a_load_that_was_begun_anew_are_passed_over() -> None:
    """A relay loads a snapshot itself: what its followers were loading leads nowhere any more. Its parts on
    the way, and what was asked for of it, still come."""
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        link = net.links["x"]
        link.held.add("down")
        net.pump()
        assert (
            [one.sequence for one in link.down if isinstance(one, SnapshotPart)]
            == [60] * len(link.down)
            != []
        )
        written.some(3)
        net.sources["a"].history.reset(written.tables[-1])
        net.serving("a", HistoryReplaced())
        link.held = {"up"}
        net.pump()  # it asks for more of the old one
        link.held = {"down"}
        net.pump()
        link.held.clear()
        net.run()
        net.settled()
    assert net.steps[SnapshotLoaded] == 1
    assert not net.drops
    assert not net.closed


@pytest.mark.parametrize("why", ["cut", "much", "older"])
def test_a_snapshot_that_leads_no_further_is_made_anew_for_all_who_load(why: str) -> None:
    """One loads it meanwhile, another comes: to load the old one again would never end."""
    written = Written()
    written.some(60)
    with small(PART_SIZE=300, HISTORY_STEPS_LIMIT=10 if why == "cut" else 1000, DELTA_SIZE_LIMIT=2000):
        net = loading(written, 7)
        old = net.sources["a"].snapshots.by_kind["wide"]
        net.links["x"].held.add("down")
        if why == "older":
            net.write(("route/1", b"1"))
            net.follow("y", "a", table=FeedTable().update(61, [("route/1", b"of another line", 1)]))
        else:
            for _ in range(0 if why == "cut" else 400):  # more to tell than there is
                written.write(("route/1", bytes(10)))
            written.some(11)
            net.bring("a")
            net.follow("y", "a")
        net.run(RECONNECT_JITTER_NS)
        assert net.sources["a"].snapshots.by_kind["wide"].sequence == written.number > old.sequence
        assert net.follower("y").table.sequence == written.number
        net.links["x"].held.clear()
        net.run(4 * RECONNECT_JITTER_NS)
        net.settled()
    assert net.steps[SnapshotLoaded] == 2
    assert {one.sequence for one in told(net, "y", SnapshotPart)} == {written.number}


def test_who_has_loaded_all_is_not_begun_anew_by_a_part_asked_for_too_much() -> None:
    """It asks ahead, past the end too. Is the snapshot replaced, its acknowledgement is still true."""
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        link = net.links["x"]
        while net.follower("x").phase == "loading":
            if link.down:
                net.arrive("x", link)
            else:
                net.reach(link)
        assert [type(one) for one in link.up] == [FetchPart] * (len(link.up) - 1) + [Acknowledge]
        assert len(link.up) > 1
        written.some(3)
        net.sources["a"].history.reset(written.tables[-1])
        net.serving("a", HistoryReplaced())
        net.run()
        net.settled()
    assert not net.closed


def test_a_part_of_another_snapshot_is_no_part_of_this_one() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        one = net.follower("x")
        frozen = one.state_key()
        for number in (8, 59, 61):
            part = SnapshotPart(number, one.next_part, one.next_part + 1, (), bytes(16))
            assert one.handle(net.now, UpstreamMessage("a", part)) == []
        assert one.state_key() == frozen
        net.run()
        net.settled()


def test_a_last_part_that_does_not_come_to_the_digest_changes_nothing() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        one = net.follower("x")
        assert one.snapshot is not None
        key, _, version = next(one.snapshot.entries("wide"))
        one.snapshot = one.snapshot.update(60, [(key, b"rot", version)])
        while one.phase == "loading":
            link = net.links["x"]
            if link.up:
                net.reach(link)
            else:
                net.arrive("x", link)
        assert (one.table.sequence, one.phase) == (7, "waiting")
        net.run(4 * RECONNECT_JITTER_NS)
        net.settled()


def test_a_snapshot_is_cut_part_by_part_and_shared_by_all_who_load_it() -> None:
    written = Written()
    written.some(400)
    with small(PART_SIZE=300):
        net = Net(written)
        source = net.serve("a", written.history(400))
        for id in "xyz":
            net.follow(id, "a")
        net.pump()
        for id in "xyz":
            net.now = RECONNECT_JITTER_NS
            net.tell(id, DeadlineReached())
        for one in list(net.opening):
            net.opened(*one)
        for id in "xyz":
            net.reach(net.links[id])
        made = source.snapshots.by_kind["wide"]
        assert made.parts == []  # a FollowAccepted costs nothing
        net.written.write(("route/1", b"meanwhile"))
        net.bring("a")
        net.run()
        assert source.snapshots.by_kind["wide"] is made  # a delta leads on from it, for who comes now too
        net.settled()
    assert net.steps[SnapshotLoaded] == 3
    net.run(SNAPSHOT_TTL)
    assert not source.snapshots.by_kind


def test_each_part_asked_for_cuts_one_at_the_most() -> None:
    """Guards against a stranger that asks for the last part first."""
    written = Written()
    written.some(400)
    with small(PART_SIZE=300):
        source = Source(written.history(400), 0, 0)
        source.handle(0, SubscriberJoined(1))
        source.handle(0, SubscriberMessage(1, Follow("x", "wide", 0, b"")))
        for index in range(5):
            source.handle(0, SubscriberMessage(1, FetchPart(400, index)))
            assert len(source.snapshots.by_kind["wide"].parts) == index + 1
        assert source.handle(0, SubscriberMessage(1, FetchPart(400, 300))) == [
            CloseDownstream(1, "snapshot part out of order")
        ]
        assert len(source.snapshots.by_kind["wide"].parts) == 5


def test_parts_have_a_bounded_size_and_an_empty_table_is_one() -> None:
    written = Written()
    written.some(100, VALUE_SIZE_LIMIT)
    made = Snapshot(written.tables[-1], "wide")
    parts = [made.part(index) for index in range(8)]
    sizes = [len(encode(part)) for part in parts if part is not None]
    assert all(size < PART_SIZE + VALUE_SIZE_LIMIT + KEY_LENGTH_LIMIT for size in sizes)
    assert [part.parts for part in parts if part is not None] == [0] * (len(sizes) - 1) + [len(sizes)]
    assert Snapshot(FeedTable(), "all").part(0) == SnapshotPart(0, 0, 1, (), bytes(16))
    assert Snapshot(FeedTable(), "all").part(1) is None


def test_the_sections_of_tenants_come_with_the_snapshot_to_those_alone_who_hold_all() -> None:
    written = Written()
    written.some(10)
    written.some(10, prefix="tenant/")
    net = Net(written)
    net.serve("a", written.history(20))
    net.follow("w", "a")
    net.follow("k", "a", kind="all", level=1)
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()
    assert len(net.follower("w").table.tenants) == 0
    assert len(net.follower("k").table.tenants) == 10


# ---- pushing


def test_a_slow_follower_gets_one_merged_delta_and_stalls_nobody() -> None:
    net = following(Written(), "slow", "quick")
    net.links["slow"].held.add("up")
    for _ in range(10):
        for number in range(1000):
            net.written.write((f"route/{number % 50}", str(net.written.number).encode()))
            net.bring("a")
            net.pump()
            assert net.follower("quick").table.sequence == net.written.number
    assert net.links["slow"].most == 1
    assert len(told(net, "slow", Delta)) == 1
    net.links["slow"].held.clear()
    net.pump()
    net.settled()
    assert [(one.first, one.last) for one in told(net, "slow", Delta)] == [(0, 1), (1, 10_000)]
    assert len(told(net, "slow", Delta)[1].items) == 50
    assert len(told(net, "quick", Delta)) == 10_000


def test_what_is_out_to_one_who_takes_nothing_is_bounded_till_it_is_let_go() -> None:
    net = following(Written(), "dead", "quick")
    link = net.links["dead"]
    link.held |= {"up", "down"}
    net.paused.add("dead")
    for _ in range(1000):
        net.write(("route/0", str(net.written.number).encode()))
        net.run(STALL_TIMEOUT_NS // 900)
    assert (link.most, len(link.down)) == (
        1,
        1 + (STALL_TIMEOUT_NS - 1) // HEARTBEAT_INTERVAL_NS + 1,
    )  # a Delta, its Beats, the end
    assert ("dead", "silent") in net.closed
    assert len(net.sources["a"].subscribers) == 1
    assert net.follower("quick").table.sequence == 1000


def test_who_says_nothing_at_all_is_let_go() -> None:
    source = Source(History(), 0, 0)
    source.handle(0, SubscriberJoined(1))
    assert source.next_deadline() == STALL_TIMEOUT_NS
    assert source.handle(STALL_TIMEOUT_NS - 1, DeadlineReached()) == []
    assert source.handle(STALL_TIMEOUT_NS, DeadlineReached()) == [CloseDownstream(1, "silent")]
    assert not source.subscribers
    assert not source.last_received_at


def test_a_full_source_refuses_and_the_refused_goes_elsewhere() -> None:
    written = Written()
    net = Net(written)
    net.serve("a", written.history(), bound=2)
    net.serve("b", written.history())
    for id in "xyz":
        net.follow(id, "a", "b")
    net.run(4 * RECONNECT_JITTER_NS)
    net.settled()
    assert Counter(net.follower(id).upstream for id in "xyz") == {"a": 2, "b": 1}
    assert [why for _, why in net.drops] == ["refused: full"]


def test_the_followers_of_a_dead_one_come_back_spread_out() -> None:
    written = Written()
    net = Net(written)
    net.serve("a", written.history())
    net.serve("b", written.history())
    for number in range(200):
        net.follow(f"x{number}", "a", "b")
    net.run(2 * RECONNECT_JITTER_NS)
    assert len(net.sources["a"].subscribers) == 200
    net.kill("a")
    died = net.now
    net.write(("route/1", b"new"), to=["b"])
    net.connects.clear()
    net.run(RECONNECT_JITTER_NS)
    net.settled()
    came = Counter((at - died) * 10 // RECONNECT_JITTER_NS for _, _, at in net.connects)
    assert len(came) == 10
    assert max(came.values()) < 50


def test_who_beats_no_more_is_left_after_a_silence() -> None:
    written = Written()
    net = following(written, "x")
    net.follower("x").sources = ("a", "b")
    net.serve("b", written.history())
    net.cut("x", told=False)
    heard = net.follower("x").last_received_at
    net.run(heard + SOURCE_TIMEOUT_NS - 1 - net.now)
    assert net.follower("x").upstream == "a"
    net.run(1)
    assert net.drops == [("x", "silent")]
    net.run(RECONNECT_JITTER_NS)
    assert net.follower("x").upstream == "b"


def test_a_source_that_does_not_answer_at_all_is_left_too() -> None:
    net = Net(Written())
    one = net.follow("x", "a", "b", spread=lambda span: 0)
    assert one.handle(0, DeadlineReached()) == [ConnectUpstream("a")]
    assert one.handle(SOURCE_TIMEOUT_NS - 1, DeadlineReached()) == []
    assert one.handle(SOURCE_TIMEOUT_NS, DeadlineReached()) == [DisconnectUpstream("a", "silent")]
    assert one.handle(SOURCE_TIMEOUT_NS, DeadlineReached()) == [ConnectUpstream("b")]
    assert [type(effect) for effect in one.handle(SOURCE_TIMEOUT_NS, UpstreamConnected("b"))] == [
        SendUpstream
    ]
    assert one.handle(2 * SOURCE_TIMEOUT_NS, DeadlineReached()) == [DisconnectUpstream("b", "silent")]


def test_after_a_pause_what_lies_unread_counts_before_the_clock() -> None:
    net = following(Written(), "x")
    net.paused.add("x")
    for _ in range(4):
        net.run(STALL_TIMEOUT_NS // 5)  # beats lie unread
    net.write(("route/1", b"1"))
    net.paused.clear()
    net.run(0)
    assert not net.drops
    net.settled()


def test_beats_are_sent_only_where_nothing_else_was() -> None:
    net = following(Written(), "x", "y")
    net.run(HEARTBEAT_INTERVAL_NS)
    assert {type(one) for _, one in net.sent} == {Heartbeat}
    net.sent.clear()
    for _ in range(10):
        net.write(("route/1", str(net.written.number).encode()))
        net.run(HEARTBEAT_INTERVAL_NS // 2)
    assert {type(one) for _, one in net.sent} == {Delta}


def test_an_idle_second_costs_two_beats_and_two_answers() -> None:
    net = following(Written(), "x")
    net.run(HEARTBEAT_INTERVAL_NS)
    net.sent.clear()
    net.asked.clear()
    net.run(10 * SECOND)
    assert Counter(type(one) for _, one in net.sent) == {Heartbeat: 20}
    assert Counter(type(one) for _, one in net.asked) == {Acknowledge: 20}


def test_what_a_push_does_not_touch_costs_nothing() -> None:
    """A follower that has not answered yet is not looked at by the moves between."""

    class Watched(dict[int, Any]):
        touched = 0

        def __getitem__(self, key: int) -> Any:
            Watched.touched += 1
            return super().__getitem__(key)

    net = following(Written(), *(f"x{number}" for number in range(50)))
    net.sources["a"].subscribers = Watched(net.sources["a"].subscribers)
    for _ in range(100):
        net.write(("route/1", b"1"))
    assert Watched.touched == 50


def test_all_who_stand_at_the_same_place_are_sent_one_and_the_same_delta() -> None:
    net = following(Written(), "x", "y", "z")
    net.write(("route/1", b"1"))
    assert len({id(message) for _, message in net.sent if isinstance(message, Delta)}) == 1


def test_a_load_of_tenants_makes_instances_forget_theirs_and_not_load_anew() -> None:
    written = Written()
    with small(DELTA_SIZE_LIMIT=1000):
        net = following(written, "x")
        net.links["x"].held.add("up")
        net.write(("route/1", b"1"))
        net.pump()
        net.written.some(30, 40, "tenant/")
        net.written.write(("route/1", b"2"))
        net.bring("a")
        net.links["x"].held.clear()
        net.pump()
        net.settled()
    last = told(net, "x", Delta)[-1]
    assert (last.evict_tenants, [key for key, _, _ in last.items]) == (True, ["route/1"])
    assert not told(net, "x", FollowAccepted)


# ---- relays and keepers


def test_a_change_goes_down_a_tree_of_relays() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history())
    net.relay("r1", "a", level=1)
    net.relay("r2", "r1", level=2)
    net.follow("x", "r2")
    net.run(5 * SECOND)
    net.settled()
    net.write(("route/1", b"new"), ("tenant/1", b"t"))
    net.pump()
    net.settled()


def test_who_stands_inside_a_step_of_the_next_relay_goes_on_from_there() -> None:
    """The relay that dies had each change by itself, the other one several at once."""
    written = Written()
    written.some(20)
    net = Net(written)
    net.serve("a", written.history())
    for relay in ("r1", "r2"):
        net.relay(relay, "a", level=1)
    net.follow("x", "r1", "r2")
    net.run(5 * SECOND)
    net.settled()
    net.links["r2"].held.add("up")
    for value in (b"1", b"2", b"3"):
        net.write(("route/1", value), ("tenant/1", value))
        net.pump()
    net.links["r1"].held.add("down")
    net.write(("route/2", b"4"))
    net.links["r2"].held.clear()
    net.pump()
    assert net.follower("x").table.sequence == written.number - 1
    assert written.number - 1 not in {last for _, last, _, _ in net.sources["r2"].history.steps}
    net.sent.clear()
    net.end("r1")
    del net.followers["r1"]
    net.kill("r1")
    net.run(3 * SECOND)
    net.settled()
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)] == [False]


def test_who_stands_inside_a_step_with_another_state_loads_anew() -> None:
    """That step leads it to another digest; the next one has the same step."""
    written = Written()
    written.some(6)
    history = History(written.tables[2])
    history.advance(
        5, tuple((key, value, number) for number in (3, 4, 5) for key, value in written.changes[number])
    )
    net = Net(written)
    for name in ("a", "b"):
        net.serve(name, history.copy())
    strange = FeedTable().update(4, (("route/strange", b"{}", 1),))
    net.follow("x", "a", "b", table=strange)
    net.run(6 * SECOND)
    assert [why for _, why in net.drops] == ["digest mismatch"]
    table = net.follower("x").table
    assert (table.sequence, table.digest("wide")) == (5, history.table.digest("wide"))


def test_a_relay_that_loads_anew_has_its_followers_follow_suit() -> None:
    written = Written()
    written.some(5)
    with small(HISTORY_STEPS_LIMIT=10, PART_SIZE=200):
        net = Net(written)
        net.serve("a", written.history())
        net.relay("r", "a", level=1)
        net.follow("x", "r")
        net.run(3 * SECOND)
        net.settled()
        net.cut("r")
        written.some(30)
        net.bring("a")
        net.run(3 * SECOND)
        net.settled()
    assert [one.load_snapshot for one in told(net, "x", FollowAccepted)][-1]


def test_no_ring_of_relays_feeds_itself() -> None:
    """Cut off from all above they have each other's addresses; none follows one that is not above it."""
    written = Written()
    written.some(5)
    net = Net(written)
    for id, names in (("r1", ("r2", "s1")), ("s1", ("r2", "r1")), ("r2", ("r1",))):
        net.relay(id, *names, level=int(id[1]), table=written.tables[5])
    net.run(5 * SECOND)
    assert net.follower("r2").upstream == "r1"
    assert (net.follower("r1").phase, net.follower("s1").phase) != ("following", "following")
    for id in ("r1", "s1"):
        assert net.follower(id).phase in ("waiting", "connecting")
    assert {why for _, why in net.drops} == {"refused: not below"}


def test_a_follower_finds_out_itself_that_its_source_is_not_above_it() -> None:
    one = Follower("r", "all", FeedTable(), ("s",), 0, lambda span: 0, level=1)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("s"))
    assert one.handle(0, UpstreamMessage("s", FollowAccepted(0, False, 0, 1, 0, False))) == [
        DisconnectUpstream("s", "level not lower than the follower's")
    ]


def test_a_keeper_follows_only_who_writes_under_the_highest_epoch_it_has_seen() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    for name, epoch, holds in (("a", 0, False), ("b", 3, True), ("c", 4, True)):
        net.serve(name, written.history())
        net.serving(name, WriterChanged(epoch, holds, 0))
    net.follow("k", "a", "b", kind="all")
    net.run(4 * RECONNECT_JITTER_NS)
    assert (net.follower("k").upstream, net.follower("k").epoch) == ("b", 3)
    net.tell("k", SourcesChanged(("c", "b")))
    net.cut("k")
    net.run(4 * RECONNECT_JITTER_NS)
    assert net.follower("k").upstream == "c"
    net.serving("c", WriterChanged(5, False, 0))  # it lost its lease, and says so at once
    net.pump()
    assert ("k", "not the writer") in net.drops
    net.run(6 * RECONNECT_JITTER_NS)
    assert net.follower("k").upstream not in ("b", "c")  # b's epoch is over
    net.serving("b", WriterChanged(6, True, 0))
    net.run(4 * RECONNECT_JITTER_NS)
    assert net.follower("k").upstream == "b"


def test_a_keeper_goes_straight_to_who_writes_and_is_sent_on_by_each_but_once() -> None:
    one = Follower("k", "all", FeedTable(), ("a", "b", "c"), 0, lambda span: span)

    def asks(leader: str) -> str:
        """Whom it asks at once, having been told by the next that this one writes."""
        now = one.next_deadline()
        connects = one.handle(now, DeadlineReached())
        assert isinstance(connects[0], ConnectUpstream)
        at = connects[0].source
        one.handle(now, UpstreamConnected(at))
        accepted = FollowAccepted(0, False, 0, 0, 1, False, leader)
        assert isinstance(one.handle(now, UpstreamMessage(at, accepted))[0], DisconnectUpstream)
        return one.sources[one.next_source] if one.next_deadline() == now else ""

    assert asks("") == ""
    assert asks("nobody") == ""
    assert asks("a") == "a"
    assert asks("c") == ""  # two that send it to each other cost a wait for each round
    assert asks("c") == "c"


def test_a_keeper_finds_a_place_where_all_are_taken() -> None:
    written = Written()
    written.some(3)
    net = Net(written)
    net.serve("a", written.history(), bound=2)
    net.serving("a", WriterChanged(1, True, 0))
    for id in ("x", "y", "z"):
        net.follow(id, "a")
    net.relay("r", "a", level=1)
    net.run(3 * SECOND)
    keepers = [net.follow(f"k{place}", "a", kind="all") for place in range(8)]
    net.run(3 * SECOND)
    assert [one.table.sequence for one in keepers] == [3] * 8
    assert Counter(net.follower(id).table.sequence for id in ("x", "y", "z", "r")) == {3: 2, 0: 2}
    net.follow("k", "a", kind="all")
    net.run(3 * SECOND)
    assert net.follower("k").table.sequence == 0
    assert len(net.sources["a"].subscribers) <= 2 + 8


def test_while_nobody_writes_a_keeper_takes_what_leads_on_from_its_state_and_goes_on_searching() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history(2))
    late = net.follow("late", "a", "b", kind="all", table=written.tables[2])
    cold = net.follow("cold", "a", "b", kind="all")
    with small(DELTA_SIZE_LIMIT=1):  # a change each
        net.run(3 * RECONNECT_JITTER_NS)
    assert (late.table.sequence, cold.table.sequence) == (5, 0)  # nobody says that a snapshot is of this feed
    assert len(told(net, "late", Delta)) == 3
    assert {why for _, why in net.drops} == {"not the writer"}
    net.serve("b", written.history())
    net.serving("b", WriterChanged(1, True, 0))
    net.run(3 * SECOND)
    net.settled()
    assert (late.upstream, cold.upstream) == ("b", "b")


def test_who_gets_the_lease_keeps_the_keeper_that_takes_from_it_meanwhile() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history(2))
    late = net.follow("late", "a", kind="all", table=written.tables[2], spread=lambda span: 0)
    net.tell("late", StateDurable(2))
    net.tell("late", DeadlineReached())
    net.opened("late", "a")
    with small(DELTA_SIZE_LIMIT=1):  # a change each
        net.reach(net.links["late"])  # the FollowAccepted and the first Delta are on their way
        net.serving("a", WriterChanged(1, True, 0))
        net.run(SECOND)
    net.write(("route/x", b"x"))
    net.run(SECOND)
    net.settled()
    assert (late.phase, net.drops) == ("following", [])
    assert net.durable == [("late", 2)]


def test_a_keeper_that_is_to_write_catches_up_from_one_that_does_not() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("b", written.history(2))
    one = net.follow("k", "b", kind="all")
    net.run(3 * RECONNECT_JITTER_NS)
    assert one.table.sequence == 0
    net.tell("k", FollowingResumed(True))
    net.run(3 * RECONNECT_JITTER_NS)
    net.settled()
    net.tell("k", FollowingSuspended())
    assert (one.phase, one.upstream, "k" in net.links) == ("quiet", "", False)
    written.some(2)
    net.run(10 * SECOND)
    assert one.phase == "quiet"
    net.tell("k", FollowingResumed(False, written.tables[7]))  # what it wrote itself
    assert (one.phase, one.table.sequence, one.accept_any_source) == ("waiting", 7, False)


def test_what_is_durable_is_told_as_it_moves_on_and_once() -> None:
    net = following(Written(), "k", kind="all")
    for number in (1, 2, 3):
        net.write(("route/1", str(number).encode()))
        net.pump()
    net.tell("k", StateDurable(2))
    net.tell("k", StateDurable(9))  # more than it holds
    net.run(3 * HEARTBEAT_INTERVAL_NS)
    assert net.durable == [("k", 2), ("k", 3)]
    net.cut("k")
    net.run(2 * RECONNECT_JITTER_NS)
    assert net.durable == [("k", 2), ("k", 3), ("k", 3)]  # a new writer has to hear it too


def test_a_state_of_another_line_counts_as_durable_no_more() -> None:
    """Its disk has a 4 that was never written so; what replaces it counts once that lies there."""
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history(5))
    net.serving("a", WriterChanged(1, True, 0))
    net.follow("k", "a", kind="all", table=FeedTable().update(4, [("route/1", b"of another line", 4)]))
    net.tell("k", StateDurable(4))
    net.run(4 * RECONNECT_JITTER_NS)
    net.settled()
    assert not net.durable
    net.tell("k", StateDurable(5))
    net.pump()
    assert net.durable == [("k", 5)]


# ---- strangers

FOLLOW = Follow("x", "wide", 0, bytes(16))
HUGE = 1 << 63
NONSENSE: list[tuple[str, FollowerMessage]] = [
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


@pytest.mark.parametrize(("phase", "message"), NONSENSE)
def test_nonsense_ends_its_connection_and_no_other(phase: str, message: FollowerMessage) -> None:
    written = Written()
    written.some(3)
    source = Source(written.history(1), 0, 0)
    for peer in (1, 2):
        source.handle(0, SubscriberJoined(peer))
    source.handle(0, SubscriberMessage(2, Follow("y", "wide", 3, written.tables[3].digest("wide"))))
    if phase == "loading":
        source.handle(0, SubscriberMessage(1, FOLLOW))
    elif phase == "following":
        source.handle(0, SubscriberMessage(1, Follow("x", "wide", 3, written.tables[3].digest("wide"))))
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


def test_harmless_words_out_of_place_grow_nothing() -> None:
    written = Written()
    written.some(3)
    source = Source(written.history(1), 0, 0)
    source.handle(0, SubscriberJoined(1))
    source.handle(0, SubscriberMessage(1, FOLLOW))
    frozen = source.state_key()
    for number in (-1, 0, 2, HUGE):
        assert source.handle(0, SubscriberMessage(1, FetchPart(number, 0))) == []  # of no load of now
    assert source.handle(0, SubscriberMessage(1, Acknowledge(0))) == []  # it lives
    assert source.state_key() == frozen
    assert source.handle(0, SubscriberMessage(99, Acknowledge(0))) == []
    assert source.handle(0, SubscriberLeft(99)) == []
    assert list(source.subscribers) == [1]


BAD: list[SourceMessage] = [
    FollowAccepted(-1, True, 0, 0, 0, False),
    FollowAccepted(0, True, 0, -1, 0, False),
    FollowAccepted(0, False, 0, 0, -1, False),
    Delta(-1, 5, (), bytes(16)),
    Delta(0, HUGE, (("tenant/1", b"", 0),), b""),
    FollowRejected("x" * 10_000),
    Heartbeat(-1, b""),
]


@pytest.mark.parametrize("message", BAD)
@pytest.mark.parametrize("phase", ["greeting", "loading", "following"])
def test_nonsense_from_a_source_has_it_left_and_the_state_stands(phase: str, message: SourceMessage) -> None:
    written = Written()
    written.some(3)
    one = Follower("x", "wide", written.tables[3], ("a", "b"), 0, lambda span: 0)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("a"))
    if phase != "greeting":
        one.handle(0, UpstreamMessage("a", FollowAccepted(3, phase == "loading", 0, 0, 0, False)))
    assert one.phase == phase
    effects = one.handle(0, UpstreamMessage("a", message))
    assert one.table is written.tables[3]
    if phase == "loading" and isinstance(message, Heartbeat):
        assert [type(effect) for effect in effects] == [SendUpstream]
    else:
        assert [type(effect) for effect in effects] == [DisconnectUpstream]
        assert isinstance(effects[0], DisconnectUpstream)
        assert len(effects[0].reason) <= 100
    assert one.handle(0, UpstreamMessage("a", message)) == [] or one.phase == "loading"


@pytest.mark.parametrize("index", [-1, 1, HUGE])
def test_a_part_out_of_turn_ends_the_load(index: int) -> None:
    one = Follower("x", "wide", FeedTable(), ("a",), 0, lambda span: 0)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("a"))
    one.handle(0, UpstreamMessage("a", FollowAccepted(3, True, 0, 0, 0, False)))
    effects = one.handle(0, UpstreamMessage("a", SnapshotPart(3, index, 0, (), b"")))
    assert effects == [DisconnectUpstream("a", "snapshot part out of order")]
    assert one.snapshot is None


def test_what_comes_late_of_another_source_is_passed_over() -> None:
    one = Follower("x", "wide", FeedTable(), ("a", "b"), 0, lambda span: 0)
    one.handle(0, DeadlineReached())
    one.handle(0, UpstreamConnected("a"))
    one.handle(0, UpstreamLost("a", "cut"))
    one.handle(0, DeadlineReached())
    assert (one.upstream, one.phase) == ("b", "connecting")
    frozen = one.state_key()
    events: tuple[FollowerEvent, ...] = (
        UpstreamMessage("a", FollowAccepted(0, False, 0, 0, 0, False)),
        UpstreamLost("a", "again"),
        UpstreamConnected("a"),
        UpstreamMessage("b", Heartbeat(0, bytes(16))),
    )
    for event in events:
        assert one.handle(0, event) == []
    assert one.state_key() == frozen
    one.handle(0, UpstreamConnected("b"))
    frozen = one.state_key()
    for late in (FollowAccepted(0, False, 0, 0, 0, False), FollowRejected("full"), Heartbeat(0, bytes(16))):
        assert one.handle(0, UpstreamMessage("a", late)) == []
    assert one.state_key() == frozen


def test_sources_may_change_under_way() -> None:
    net = following(Written(), "x")
    net.tell("x", SourcesChanged(("b", "a")))
    assert net.follower("x").upstream == "a"
    net.tell("x", SourcesChanged(("b",)))
    assert net.drops == [("x", "no longer a configured source")]
    net.tell("x", SourcesChanged(()))
    net.run(10 * SECOND)
    assert net.follower("x").phase == "waiting"
    net.tell("x", SourcesChanged(("a",)))
    net.run(2 * RECONNECT_JITTER_NS)
    assert net.follower("x").phase == "following"


# ---- look-ups


def looking(written: Written, bound: int = 100) -> tuple[Net, LookupCache]:
    net = Net(written)
    net.serve("a", written.history())
    made = LookupCache(net.follow("x", "a"), bound)
    net.followers["x"] = made
    net.run(2 * RECONNECT_JITTER_NS)
    net.settled()
    net.sent.clear()
    net.asked.clear()
    return net, made


def test_a_tenant_is_not_known_first_the_common_share_counts_and_the_answer_comes() -> None:
    written = Written()
    written.write(("common/tenant", b"share"), ("tenant/1", b"own"))
    net, view = looking(written)
    assert view.lookup("tenant/1") == UNKNOWN
    assert view.lookup("common/tenant") == LookupResult(b"share", 1, True)
    assert view.next_deadline() <= net.now
    net.run(0)
    assert view.lookup("tenant/1") == LookupResult(b"own", 1, True)
    assert view.next_deadline() > net.now


def test_before_anything_was_held_nothing_is_known() -> None:
    view = LookupCache(Follower("x", "wide", FeedTable(), (), 0, lambda span: 0))
    assert view.lookup("route/1") == UNKNOWN
    assert view.lookup("tenant/1") == UNKNOWN


def test_a_thousand_look_ups_of_one_tenant_ask_once_and_one_that_is_not_there_is_held_as_such() -> None:
    net, view = looking(Written())
    for _ in range(1000):
        assert view.lookup("tenant/nobody") == UNKNOWN
    net.run(0)
    for _ in range(1000):
        assert view.lookup("tenant/nobody") == ABSENT
    net.run()
    assert [one for _, one in net.asked if isinstance(one, FetchTenants)] == [
        FetchTenants(("tenant/nobody",))
    ]
    net.write(("tenant/nobody", b"here"))
    net.pump()
    assert view.lookup("tenant/nobody") == LookupResult(b"here", 1, True)
    net.write(("tenant/nobody", None))
    net.pump()
    assert view.lookup("tenant/nobody") == ABSENT


def test_a_thousand_tenants_are_asked_for_in_batches_and_answered_in_bounded_messages() -> None:
    written = Written()
    for number in range(1000):
        written.write((f"tenant/{number}", bytes(VALUE_SIZE_LIMIT)))
    net, view = looking(written, 2000)
    for number in range(1000):
        view.lookup(f"tenant/{number}")
    net.run(0)
    batches = [len(one.keys) for _, one in net.asked if isinstance(one, FetchTenants)]
    assert (max(batches), sum(batches)) == (FETCHED_TENANTS_LIMIT, 1000)
    assert all(view.lookup(f"tenant/{number}").known for number in range(1000))


def test_the_cache_is_bounded_and_the_least_lately_used_go_first() -> None:
    written = Written()
    for number in range(10):
        written.write((f"tenant/{number}", b"own"))
    net, view = looking(written, 4)
    for number in range(4):
        view.lookup(f"tenant/{number}")
    net.run(0)
    view.lookup("tenant/0")
    view.lookup("tenant/4")
    net.run(0)
    assert list(view.tenants) == ["tenant/2", "tenant/3", "tenant/0", "tenant/4"]
    for number in range(1000):
        view.lookup(f"tenant/stranger{number}")
    assert len(view.wanted) == 4
    net.run(0)
    assert len(view.tenants) == 4


@pytest.mark.parametrize("key", ["tenant/" + "x" * KEY_LENGTH_LIMIT, "tenant/\ud800"])
def test_a_name_that_can_t_be_set_is_not_asked_for(key: str) -> None:
    net, view = looking(Written())
    assert view.lookup(key) == ABSENT
    net.run(0)
    assert not [one for _, one in net.asked if isinstance(one, FetchTenants)]


def test_a_tenant_and_a_route_of_one_change_are_seen_together() -> None:
    written = Written()
    written.write(("route/1", b"1"), ("tenant/1", b"1"))
    net, view = looking(written)
    view.lookup("tenant/1")
    net.run(0)
    for number in range(2, 40):
        net.write(("route/1", str(number).encode()), ("tenant/1", str(number).encode()))
        while (link := net.links["x"]).down or link.up:
            if link.down:
                net.arrive("x", link)
            else:
                net.reach(link)
            assert view.lookup("route/1") == view.lookup("tenant/1")
    assert view.lookup("tenant/1") == LookupResult(b"39", 39, True)


def test_an_answer_comes_behind_the_delta_it_belongs_to() -> None:
    """Asked while a delta is out and more has changed since: an answer at once would be of another number."""
    written = Written()
    written.write(("tenant/1", b"1"))
    net, view = looking(written)
    net.links["x"].held.add("down")
    net.write(("route/1", b"2"))
    net.write(("tenant/1", b"3"))
    view.lookup("tenant/1")
    net.run(0)
    assert not told(net, "x", TenantEntries)
    net.links["x"].held.clear()
    net.run(0)
    assert [(one.sequence, one.items) for one in told(net, "x", TenantEntries)] == [
        (3, (("tenant/1", b"3", 3),))
    ]
    assert view.lookup("tenant/1") == LookupResult(b"3", 3, True)


@pytest.mark.parametrize("number", [0, 2, HUGE])
def test_an_answer_of_another_number_is_dropped_and_asked_anew(number: int) -> None:
    written = Written()
    written.write(("tenant/1", b"1"))
    net, view = looking(written)
    view.lookup("tenant/1")
    net.tell("x", DeadlineReached())
    net.tell("x", UpstreamMessage("a", TenantEntries(number, (("tenant/1", b"of another state", number),))))
    assert view.lookup("tenant/1") == UNKNOWN
    net.run(0)
    assert view.lookup("tenant/1") == LookupResult(b"1", 1, True)
    assert len([one for _, one in net.asked if isinstance(one, FetchTenants)]) == 2


def test_answers_that_nobody_asked_for_are_not_held() -> None:
    net, view = looking(Written())
    net.tell("x", UpstreamMessage("a", TenantEntries(0, tuple((f"tenant/{n}", b"", 0) for n in range(500)))))
    net.tell("x", UpstreamMessage("elsewhere", TenantEntries(0, (("tenant/1", b"", 0),))))
    assert not view.tenants


def test_what_was_not_answered_is_asked_anew_on_the_next_link() -> None:
    written = Written()
    written.write(("tenant/1", b"1"), ("tenant/2", b"2"))
    net, view = looking(written)
    view.lookup("tenant/1")
    net.links["x"].held.add("up")
    net.run(0)
    net.cut("x")
    view.lookup("tenant/2")
    assert list(view.wanted) == ["tenant/1", "tenant/2"]
    net.run(2 * RECONNECT_JITTER_NS)
    assert (view.lookup("tenant/1").value, view.lookup("tenant/2").value) == (b"1", b"2")


def test_a_source_that_answers_all_but_the_question_is_asked_again() -> None:
    written = Written()
    written.write(("tenant/1", b"1"))
    net, view = looking(written)
    view.lookup("tenant/1")
    net.tell("x", DeadlineReached())
    net.links["x"].up.clear()  # it forgot
    net.run(2 * STALL_TIMEOUT_NS)
    assert view.lookup("tenant/1") == LookupResult(b"1", 1, True)


def test_what_is_held_of_tenants_stays_over_a_lost_link_and_goes_with_a_snapshot() -> None:
    written = Written()
    written.write(("tenant/1", b"1"), ("route/1", b"1"))
    with small(HISTORY_STEPS_LIMIT=3):
        net, view = looking(written)
        view.lookup("tenant/1")
        net.run(0)
        net.cut("x")
        assert view.lookup("tenant/1") == LookupResult(b"1", 1, True)
        net.write(("tenant/1", b"2"))
        net.run(2 * RECONNECT_JITTER_NS)
        assert view.lookup("tenant/1") == LookupResult(b"2", 2, True)  # by the delta
        net.cut("x")
        for _ in range(5):
            net.write(("tenant/1", b"3"), ("route/1", b"3"))
        assert view.lookup("tenant/1") == LookupResult(b"2", 2, True)
        net.run(2 * RECONNECT_JITTER_NS)
        assert view.lookup("route/1") == LookupResult(b"3", 7, True)
        assert view.lookup("tenant/1") == UNKNOWN  # rather than of an older state than the route
        net.run(0)
        assert view.lookup("tenant/1") == LookupResult(b"3", 7, True)


def test_forgotten_tenants_are_asked_for_again() -> None:
    written = Written()
    written.write(("tenant/1", b"1"))
    with small(DELTA_SIZE_LIMIT=1000):
        net, view = looking(written)
        view.lookup("tenant/1")
        net.run(0)
        net.links["x"].held.add("up")
        net.write(("route/1", b"2"))
        net.pump()
        written.some(30, 40, "tenant/")
        written.write(("tenant/1", b"new"))
        net.bring("a")
        net.links["x"].held.clear()
        net.pump()
        assert view.lookup("tenant/1") == UNKNOWN
        net.run(0)
        assert view.lookup("tenant/1") == LookupResult(b"new", 33, True)


# ---- table and history

KEYS = st.sampled_from([f"{section}/{n}" for section in ("route", "tenant", "common") for n in range(3)])
CHANGES = st.lists(
    st.dictionaries(KEYS, st.none() | st.binary(max_size=3), min_size=1, max_size=4).map(
        lambda items: tuple(items.items())
    ),
    max_size=20,
)


@given(CHANGES, st.randoms(use_true_random=False))
def test_a_digest_depends_on_what_stands_and_on_nothing_else(changes: list[Entries], chance: Random) -> None:
    written = Written()
    for items in changes:
        written.write(*items)
    table = written.tables[-1]
    entries = list(table.entries("all"))
    chance.shuffle(entries)
    there = FeedTable()
    for key, value, version in entries:  # one by one, some twice, some past another value
        if chance.random() < 0.3:
            there = there.update(0, [(key, b"other", version + 1)])
        there = there.update(0, [(key, value, version)])
    for key in ("route/gone", "tenant/gone"):
        there = there.update(0, [(key, b"x", 1)]).update(0, [(key, None, 2)])
    assert there._replace(sequence=table.sequence) == table
    assert {k: (v, n) for k, v, n in table.entries("all")} == written.states[-1]
    assert table.entry_count("all") == len(written.states[-1])
    assert table.entry_count("wide") == len(list(table.entries("wide")))


@given(CHANGES)
def test_a_digest_tells_states_apart(changes: list[Entries]) -> None:
    written = Written()
    for items in changes:
        written.write(*items)
    states = zip(written.states, written.tables, strict=True)
    digests = {tuple(sorted(state.items())): table.digest("all") for state, table in states}
    assert len(set(digests.values())) == len(digests)


@given(CHANGES, st.data())
def test_a_merged_delta_comes_to_the_same_as_the_steps(changes: list[Entries], data: st.DataObject) -> None:
    written = Written()
    for items in changes:
        written.write(*items)
    history = History()
    while history.table.sequence < written.number:  # in steps of one change or of several, as a relay's are
        last = data.draw(st.integers(history.table.sequence + 1, written.number))
        merged: dict[str, tuple[str, bytes | None, int]] = {}
        for number in range(history.table.sequence + 1, last + 1):
            merged |= {key: (key, value, number) for key, value in written.changes[number]}
        history.advance(last, tuple(merged.values()))
    assert history.table == written.tables[-1]
    numbers = {0, *(last for _, last, _, _ in history.steps)}
    kinds: tuple[Kind, Kind] = ("wide", "all")
    for number, table in enumerate(written.tables):
        for kind in kinds:
            assert history.contains(number, table.digest(kind), kind)
            assert history.contains(number, b"another digest..", kind) == (number not in numbers)
            held = table if kind == "all" else FeedTable().update(number, table.entries("wide"), "wide")
            delta = history.delta(number, kind)
            assert delta is not None
            assert len({key for key, _, _ in delta.items}) == len(delta.items)
            after = held.update(delta.last, delta.items, kind)
            assert after.digest(kind) == delta.digest == history.table.digest(kind)
            written.check(after, kind)
            other = held.update(number, [("route/of another line", b"x", number)], kind)
            assert other.update(delta.last, delta.items, kind).digest(kind) != delta.digest


def test_a_wide_table_passes_over_tenants() -> None:
    table = FeedTable().update(1, [("route/1", b"r", 1), ("tenant/1", b"t", 1)], "wide")
    assert (len(table.wide), len(table.tenants), table.digest("all")) == (1, 0, table.digest("wide"))


def test_a_change_that_is_not_the_next_is_refused() -> None:
    with pytest.raises(ValueError, match="does not follow"):
        FeedTable().apply(Change(2, "r", ()))
    history = History(FeedTable().update(3, ()))
    for number in (2, 3):
        with pytest.raises(ValueError, match="does not follow"):
            history.advance(number, ())


def test_a_state_that_is_held_stays_while_changes_go_on() -> None:
    written = Written()
    written.some(500)
    entries = written.tables[-1].entries("wide")
    seen = [next(entries) for _ in range(100)]
    for number in range(500):
        written.write((f"route/{number}", None))
    seen += entries
    assert {key for key, _, _ in seen} == set(written.states[500])


@given(st.integers(1, 5), st.integers(100, 400), CHANGES)
def test_a_history_keeps_within_its_bounds_and_knows_what_it_keeps(
    steps: int, size: int, changes: list[Entries]
) -> None:
    written = Written()
    for items in changes:
        written.write(*items)
    with small(HISTORY_STEPS_LIMIT=steps, HISTORY_SIZE_LIMIT=size):
        history = History()
        for number in range(1, written.number + 1):
            written.bring(history, number)
            assert len(history.steps) <= steps
            assert history.size == sum(cost for _, _, _, cost in history.steps) <= size
            known = {n for n in range(number + 1) if history.digest_at(n, "wide") is not None}
            assert known == set(range(history.base, number + 1))
            assert len(history._digests) == len(history.steps) + 1
    history.reset(FeedTable().update(1000, ()))
    assert (history.base, history.size, len(history.steps)) == (1000, 0, 0)
    assert history.contains(1000, bytes(16), "all")
    assert not history.contains(written.number, written.tables[-1].digest("all"), "all")


def test_a_delta_leads_as_far_as_it_holds_and_tenants_are_forgotten_first() -> None:
    history = History()
    value = bytes(VALUE_SIZE_LIMIT)
    many = DELTA_SIZE_LIMIT // VALUE_SIZE_LIMIT - 2
    for number, section in enumerate(("tenant", "tenant", "route", "route"), 1):
        items = tuple((f"{section}/{number}-{n}", value, number) for n in range(many))
        history.advance(number, items)
    ways = []
    for kind in KINDS:
        at, way = 0, [(0, False)]
        while at < 4:
            delta = history.delta(at, kind)
            assert delta is not None
            assert histories.items_size(delta.items) <= DELTA_SIZE_LIMIT
            at = delta.last
            way.append((at, delta.evict_tenants))
        ways.append(way)
    assert ways == [
        [(0, False), (3, True), (4, False)],
        [(0, False), (1, False), (2, False), (3, False), (4, False)],
    ]
    assert history.delta(4, "wide") == Delta(4, 4, (), history.table.digest("wide"))


def test_where_more_leads_on_than_there_is_nothing_does() -> None:
    history = History()
    for number in range(1, 12):
        history.advance(number, (("route/1", bytes(DELTA_SIZE_LIMIT), number),))
    assert history.delta(1, "all") is None
    newest = history.delta(10, "all")
    assert newest is not None  # a step can't be cut
    assert (newest.last, len(newest.items)) == (11, 1)


# ---- all of it at random


def items_of(chance: Random) -> Entries:
    keys = [f"route/{n}" for n in range(6)] + [f"tenant/{n}" for n in range(4)] + ["common/tenant"]
    return tuple(
        (key, None if chance.random() < 0.2 else str(chance.randrange(100)).encode())
        for key in chance.sample(keys, chance.randint(1, 3))
    )


KINDS: tuple[Kind, Kind] = ("wide", "all")

ACTS = ("write", "write", "lag", "cut", "vanish", "slow", "pause", "resume", "die", "restart", "look", "run")


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 80))
def test_whatever_happens_each_holds_what_was_written_and_ends_at_the_newest(seed: int, count: int) -> None:
    """Two sources, of which one lags; a relay below them; instances that follow all; one looks up tenants."""
    written, chance = Written(), Random(seed)
    net = Net(written, seed)
    durable: dict[str, int] = {"x": 0, "y": 0}
    with small(HISTORY_STEPS_LIMIT=8, PART_SIZE=150, DELTA_SIZE_LIMIT=600):
        for name in "ab":
            net.serve(name, History())
        net.relay("r", "a", "b", level=1)
        net.follow("x", "a", "b")
        net.follow("y", "r", "b")
        view = LookupCache(net.follow("z", "b", "r", "a"))
        net.followers["z"] = view
        seen: dict[str, int] = {}

        def look() -> None:
            """What is known is of one state, the one that the table says."""
            state = written.states[view.follower.table.sequence]
            for key in ("route/1", "tenant/1", "tenant/2", "tenant/absent", "common/tenant"):
                found = view.lookup(key)
                if found.known:
                    assert (found.value, found.version) == state.get(key, (None, 0))
                    assert view.follower.table.sequence >= seen.get(key, 0)
                    seen[key] = view.follower.table.sequence

        for act in chance.choices(ACTS, k=count):
            id = chance.choice(["r", "x", "y", "z"])
            link = net.links.get(id)
            if act == "write":
                for _ in range(chance.choice((1, 1, 1, 3, 12))):
                    written.write(*items_of(chance))
                if "a" in net.sources:
                    net.bring("a")
            elif act == "lag" and "b" in net.sources:
                net.bring("b", chance.randint(net.sources["b"].history.table.sequence, written.number))
            elif act == "cut":
                net.cut(id)
            elif act == "vanish":
                net.cut(id, told=False)
            elif act == "slow" and link is not None:
                link.held.add(chance.choice(("up", "down")))
            elif act == "pause":
                net.paused.add(id)
            elif act == "resume":
                net.paused.clear()
                for one in net.links.values():
                    one.held.clear()
            elif act == "die":
                name = chance.choice("ab")
                if name in net.sources:
                    number = net.sources[name].history.table.sequence
                    net.kill(name)
                    net.serve(name, written.history(max(0, number - chance.randint(0, 9)), number))
            elif act == "restart" and id in durable:
                net.end(id)
                net.opening = [one for one in net.opening if one[0] != id]
                durable[id] = chance.randint(durable[id], net.numbers[id])
                state = written.tables[durable[id]]
                table = FeedTable().update(durable[id], state.entries("wide"), "wide")
                net.follow(id, *net.follower(id).sources, table=table)
            elif act == "look":
                look()
            elif act == "run":
                net.run(chance.choice((1 * MS, 100 * MS, SECOND, 3 * SECOND)))
            if chance.random() < 0.5:
                net.pump()
            look()
            for one in net.links.values():
                assert sum(isinstance(message, Delta) for message in one.down) <= 1
        net.paused.clear()
        for one in net.links.values():
            one.held.clear()
        for name in "ab":
            net.bring(name)
        net.run(20 * SECOND)
        net.settled()
        look()
        net.run(0)
        assert view.lookup("tenant/1").known
        assert {why for _, why in net.closed} <= {"behind", "silent"}  # nobody here talks nonsense
        assert {why for _, why in net.drops} <= {"refused: behind", "silent"}
        assert {net.follower(id).phase for id in net.followers} == {"following"}


# ---- exploration


@settings(max_examples=50, deadline=None)
@given(st.integers(0, 1 << 32))
def test_a_copy_does_as_the_first_and_leaves_it_as_it_was(seed: int) -> None:
    """The same inputs to both; then to the copy alone."""
    chance, written = Random(seed), Written()
    written.some(10)
    with small(PART_SIZE=200):
        source = Source(written.history(5), 0, 0)
        peers = range(1, 4)
        inputs: list[SourceEvent] = []
        for peer in peers:
            inputs.append(SubscriberJoined(peer))
        for _ in range(30):
            peer, now = chance.choice(peers), written.tables[chance.randint(0, 10)]
            choices: list[SourceEvent] = [
                SubscriberMessage(peer, Follow(f"x{peer}", "wide", now.sequence, now.digest("wide"))),
                SubscriberMessage(peer, Acknowledge(chance.randint(8, 12))),
                SubscriberMessage(peer, FetchPart(10, chance.randint(0, 2))),
                SubscriberMessage(peer, FetchTenants(("tenant/1",))),
                DeadlineReached(),
                SubscriberJoined(peer),
                SubscriberLeft(peer),
            ]
            inputs.append(chance.choice(choices))
        half = len(inputs) // 2
        for at, input in enumerate(inputs[:half]):
            source.handle(at * 300 * MS, input)
        twin = source.copy()
        frozen = source.state_key()
        assert (hash(twin.state_key()), twin.state_key()) == (hash(frozen), frozen)
        done = []
        for at, input in enumerate(inputs[half:], half):
            done.append(twin.handle(at * 300 * MS, input))
        twin.history.advance(11, (("route/1", b"x", 11),))
        twin.handle(60 * SECOND, HistoryAdvanced())
        assert source.state_key() == frozen
        assert [source.handle(at * 300 * MS, input) for at, input in enumerate(inputs[half:], half)] == done


def test_a_copy_of_look_ups_goes_its_own_way() -> None:
    written = Written()
    written.write(("tenant/1", b"1"), ("route/1", b"1"))
    net, view = looking(written)
    view.lookup("tenant/1")
    twin, frozen = view.copy(), view.state_key()
    assert (twin.state_key(), hash(twin.state_key())) == (frozen, hash(frozen))
    delta = written.history(0).delta(0, "wide")
    assert delta is not None
    assert twin.handle(net.now, DeadlineReached()) != []
    assert view.state_key() == frozen != twin.state_key()
    twin.handle(net.now, UpstreamMessage("a", delta))
    assert (twin.follower.phase, view.follower.phase) == ("waiting", "following")


@pytest.mark.parametrize(
    "message",
    [
        encode(Delta(1, 2, (("route/x", b"{}", -1),), bytes(16))),
        encode(SnapshotPart(1, 0, 1, (("route/x", b"{}", -1),), bytes(16))),
        b"\x82\xa4type\xa4beat\xa1x" + b"\x91" * 3000 + b"\x01",  # a list in a list in a list
    ],
    ids=("delta", "part", "deep"),
)
def test_what_no_source_says_ends_its_link_and_not_the_follower(message: bytes) -> None:
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
