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
from thistleline.config_feed import source as sources
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.history import History, Items
from thistleline.config_feed.limits import (
    ASKED_BOUND,
    BEAT,
    DELTA_BOUND,
    ID_BOUND,
    KEY_BOUND,
    MESSAGE_BOUND,
    MS,
    PART_SIZE,
    SECOND,
    SILENT,
    SPREAD,
    STALL,
    VALUE_BOUND,
)
from thistleline.config_feed.lookups import ABSENT, UNKNOWN, Found, Lookups
from thistleline.config_feed.messages import (
    AskTenants,
    Beat,
    Change,
    Delta,
    Follow,
    FromFollower,
    FromSource,
    Have,
    Kind,
    Look,
    Part,
    Propose,
    Refused,
    Tenants,
    Want,
    Welcome,
    decode_follower,
    decode_source,
    encode,
)
from thistleline.config_feed.source import SNAPSHOT_KEPT, Snapshot, Source
from thistleline.config_feed.table import Table
from thistleline.transport.disconnects import DISCONNECT_ERRORS

Entries = tuple[tuple[str, bytes | None], ...]


class Written:
    """What was written, in order, apart from the code that carries it: plain dicts, copied at each number."""

    def __init__(self) -> None:
        self.states: list[dict[str, tuple[bytes, int]]] = [{}]
        self.changes: list[Entries] = [()]
        self.tables = [Table()]

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
        self.tables.append(self.tables[-1].applied(Change(number, str(number), items)))
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
        for number in range(history.table.number + 1, (self.number if last is None else last) + 1):
            history.move(number, tuple((key, value, number) for key, value in self.changes[number]))

    def check(self, table: Table, kind: Kind) -> None:
        held = {key: (value, version) for key, value, version in table.entries(kind)}
        state = self.states[table.number]
        apart = () if kind == "all" else ("tenant/", "made/")
        assert held == {key: entry for key, entry in state.items() if not key.startswith(apart)}


class Closed(NamedTuple):
    why: str


class Connection:
    """What is on its way, in order. Held, nothing more arrives at that end."""

    def __init__(self, peer: int, server: str) -> None:
        self.peer, self.server = peer, server
        self.up: deque[FromFollower] = deque()
        self.down: deque[FromSource | Closed] = deque()
        self.held: set[Literal["up", "down"]] = set()
        self.most = 0  # Deltas and parts that lay in `down` at once


class Net:
    """Sources and followers, and one clock. Which link goes next is drawn; on each, order stays. A connection
    that ends delivers a part of what was on its way, drawn too. All messages pass the codec."""

    def __init__(self, written: Written, seed: int = 1) -> None:
        self.written, self.chance, self.now = written, Random(seed), 0
        self.sources: dict[str, Source] = {}
        self.followers: dict[str, Follower | Lookups] = {}
        self.links: dict[str, Connection] = {}  # by the follower's id
        self.peers: dict[int, str] = {}
        self.opening: list[tuple[str, str]] = []
        self.relays: dict[str, str] = {}  # a follower, and the source that serves what it holds
        self.paused: set[str] = set()  # followers that do nothing
        self.numbers: dict[str, int] = {}  # the newest that each has held
        self.sent: list[tuple[str, FromSource]] = []
        self.asked: list[tuple[str, FromFollower]] = []
        self.drops: list[tuple[str, str]] = []
        self.closed: list[tuple[str, str]] = []
        self.durable: list[tuple[str, int]] = []
        self.connects: list[tuple[str, str, int]] = []
        self.steps: Counter[str] = Counter()

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
        table: Table | None = None,
        level: int = 0,
        spread: Callable[[int], int] | None = None,
    ) -> Follower:
        made = Follower(id, kind, table or Table(), names, self.now, spread or self.spread, level)
        self.followers[id] = made
        self.numbers[id] = made.table.number
        return made

    def relay(self, id: str, *names: str, level: int, table: Table | None = None) -> Follower:
        made = self.follow(id, *names, kind="all", level=level, table=table)
        self.serve(id, History(made.table), level)
        self.relays[id] = id
        return made

    def follower(self, id: str) -> Follower:
        one = self.followers[id]
        return one.follower if isinstance(one, Lookups) else one

    def write(self, *items: tuple[str, bytes | None], to: Iterable[str] = ("a",)) -> None:
        self.written.write(*items)
        for name in to:
            self.bring(name)

    def bring(self, name: str, last: int | None = None) -> None:
        source = self.sources[name]
        self.written.bring(source.history, last)
        self.serving(name, "moved")

    # ---- what they are told

    def tell(self, id: str, kind: str, *told: Any) -> None:
        one = self.followers[id]
        for name, *rest in one.take(self.now, kind, *told):
            if name == "connect":
                self.opening.append((id, rest[0]))
                self.connects.append((id, rest[0], self.now))
            elif name == "drop":
                self.drops.append((id, rest[1]))
                self.opening = [(other, at) for other, at in self.opening if other != id]
                self.end(id)
            elif name == "send":
                assert self.links[id].server == rest[0]
                self.asked.append((id, rest[1]))
                self.links[id].up.append(decode_follower(encode(rest[1])))
            else:
                self.steps[name] += 1
                self.saw(id, rest[0] if name == "took" else None)

    def saw(self, id: str, delta: Delta | None) -> None:
        table, kind = self.follower(id).table, self.follower(id).kind
        assert table.number >= self.numbers[id], "an older state after a newer one"
        self.numbers[id] = table.number
        self.written.check(table, kind)
        if id in self.relays:
            history = self.sources[self.relays[id]].history
            if delta is None:
                history.anew(table)
            else:
                history.take(table, delta.items)
            self.serving(self.relays[id], "moved" if delta else "anew")

    def serving(self, name: str, kind: str, *told: Any) -> None:
        for effect, *rest in self.sources[name].take(self.now, kind, *told):
            if effect == "durable":
                self.durable.append((rest[0], rest[1]))
                continue
            id = self.peers.get(rest[0], "")
            link = self.links.get(id)
            if effect == "close":
                self.closed.append((id, rest[1]))
            else:
                self.sent.append((id, rest[1]))
            if link is None or link.peer != rest[0]:
                continue
            if effect == "close":
                link.down.append(Closed(rest[1]))
                continue
            data = encode(rest[1])
            assert len(data) <= MESSAGE_BOUND
            link.down.append(decode_source(data))
            link.most = max(link.most, sum(isinstance(one, Delta | Part) for one in link.down))

    # ---- links

    def opened(self, id: str, name: str) -> None:
        self.opening.remove((id, name))
        if name not in self.sources:
            self.tell(id, "lost", name, "nobody there")
            return
        peer = len(self.peers) + 1
        self.peers[peer] = id
        self.links[id] = Connection(peer, name)
        self.serving(name, "joined", peer)
        self.tell(id, "connected", name)

    def end(self, id: str) -> None:
        """The follower's end closes: some of what it sent still arrives."""
        link = self.links.pop(id, None)
        if link is None or link.server not in self.sources:
            return
        for _ in range(self.chance.randint(0, len(link.up))):
            self.reach(link)
        self.serving(link.server, "left", link.peer)

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
                self.tell(id, "lost", link.server, "cut")
            else:
                link.held |= {"up", "down"}

    def kill(self, name: str) -> None:
        for id, link in list(self.links.items()):
            if link.server == name:
                self.cut(id)
        del self.sources[name]

    def reach(self, link: Connection) -> None:
        self.serving(link.server, "heard", link.peer, link.up.popleft())

    def arrive(self, id: str, link: Connection) -> None:
        message = link.down.popleft()
        if not isinstance(message, Closed):
            self.tell(id, "heard", link.server, message)
        else:
            del self.links[id]
            self.tell(id, "lost", link.server, message.why)

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
            dues = [(source.due(), 0, name) for name, source in self.sources.items()]
            dues += [(one.due(), 1, id) for id, one in self.followers.items() if id not in self.paused]
            due = min(dues, default=(until + 1, 0, ""))[0]
            if due > until:
                break
            self.now = max(self.now, due)
            for at, follows, name in dues:
                if at <= self.now and follows:
                    self.tell(name, "elapsed")
                elif at <= self.now:
                    self.serving(name, "elapsed")
            self.pump()
        self.now = until

    def settled(self) -> None:
        newest = self.written.number
        for id in self.followers:
            assert (id, self.follower(id).table.number) == (id, newest)
            self.written.check(self.follower(id).table, self.follower(id).kind)


@contextmanager
def small(**bounds: int) -> Iterator[None]:
    """Bounds of a source and a history that a few entries reach."""
    with pytest.MonkeyPatch.context() as patch:
        for name, value in bounds.items():
            for module in (sources, histories):
                if hasattr(module, name):
                    patch.setattr(module, name, value)
        yield


def told(net: Net, id: str, what: Any) -> list[Any]:
    return [message for to, message in net.sent if to == id and isinstance(message, what)]


def following(written: Written, *ids: str, kind: Kind = "wide") -> Net:
    """One source `a`, and these follow it."""
    net = Net(written)
    net.serve("a", written.history())
    net.serving("a", "writes", 1, True, 0)
    for id in ids:
        net.follow(id, "a", kind=kind)
    net.run(2 * SPREAD)
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
    net.run(2 * SPREAD)
    net.settled()
    assert [one.load for one in told(net, "x", Welcome)] == [False]
    assert [(one.first, one.last) for one in told(net, "x", Delta)] == [(20, 25)]


def test_who_missed_more_than_the_history_keeps_gets_the_snapshot() -> None:
    with small(HISTORY_BOUND=10, PART_SIZE=300):
        net = following(Written(), "x")
        net.written.some(5)
        net.bring("a")
        net.run()
        net.cut("x")
        net.written.some(11)
        net.bring("a")
        net.sent.clear()
        net.run(2 * SPREAD)
        net.settled()
    assert [one.load for one in told(net, "x", Welcome)] == [True]
    assert len(told(net, "x", Part)) > 1


@pytest.mark.parametrize("kind", ["wide", "all"])
def test_who_missed_more_than_a_delta_holds_gets_several_one_after_the_other(kind: Kind) -> None:
    """An hour's changes are more than one delta holds, and far less than all that a relay has."""
    written = Written()
    with small(DELTA_BOUND=2000):
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
        assert not told(net, "x", Welcome)
        assert len(found) > 3
        assert [one.first for one in found[1:]] == [one.last for one in found[:-1]]
        for one in found:
            assert histories.size_of(one.items) <= 2000


def test_who_missed_more_than_all_there_is_gets_the_snapshot_also_on_a_link_that_stands() -> None:
    """One key, changed ever again: what leads on is more than the state."""
    written = Written()
    with small(DELTA_BOUND=200):
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
    assert [one.load for one in told(net, "x", Welcome)] == [True]


def test_a_tenant_asked_for_on_the_way_is_told_once_that_way_is_gone() -> None:
    """Between two deltas an answer would be newer than what is held."""
    written = Written()
    written.write(("tenant/a", b"1"))
    with small(DELTA_BOUND=2000):
        net = following(written, "x")
        net.links["x"].held.add("up")
        written.some(100, 10, "route/")
        written.write(("tenant/a", b"2"))
        net.bring("a", 2)
        net.pump()
        net.bring("a")
        net.sent.clear()
        asked = net.sources["a"].take(net.now, "heard", net.links["x"].peer, AskTenants(("tenant/a",)))
        assert not asked
        net.links["x"].held.clear()
        net.run()
        net.settled()
    assert [(one.number, one.items) for one in told(net, "x", Tenants)] == [
        (written.number, (("tenant/a", b"2", written.number),))
    ]


def test_the_requests_that_are_made_are_no_part_of_what_an_instance_holds() -> None:
    written = Written()
    net = following(written, "x")
    net.follow("k", "a", kind="all", level=1)
    net.run(2 * SPREAD)
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
    other = Table().moved(10, [("route/1", b"from elsewhere", 3)])
    net.follow("x", "a", table=other)
    net.run(2 * SPREAD)
    net.settled()
    assert [one.load for one in told(net, "x", Welcome)] == [True]


def test_a_state_that_went_wrong_under_way_is_noticed_by_a_beat() -> None:
    net = following(Written(), "x")
    net.written.some(3)
    net.bring("a")
    net.run()
    one = net.follower("x")
    one.table = one.table.moved(3, [("route/0", b"flipped", 1)])
    net.sent.clear()
    net.run(BEAT + 2 * SPREAD)
    net.settled()
    assert ("x", "another digest") in net.drops
    assert [one.load for one in told(net, "x", Welcome)] == [True]


def test_a_delta_that_does_not_come_to_its_digest_is_not_taken_and_the_state_is_loaded() -> None:
    """Its source knows that number and digest: asked to go on from there it would send the same again."""
    net = following(Written(), "x")
    net.written.some(3)
    net.bring("a")
    net.run()
    one = net.follower("x")
    one.table = one.table._replace(wide=one.table.wide.delete("route/0").set("route/0", (b"rot", 1)))
    net.write(("route/0", b"new"))
    net.run(2 * SPREAD)
    net.settled()
    assert not one.unsure


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
    after = before.moved(last, items, "wide").digest("wide")
    net.tell("x", "heard", "a", Delta(first, last, items, after if digest is None else digest))
    assert (net.follower("x").table, net.follower("x").phase) == (before, "waiting")
    net.run(2 * SPREAD)
    net.settled()


def test_a_follower_that_is_ahead_is_refused_and_keeps_its_state() -> None:
    written = Written()
    written.some(10)
    net = Net(written)
    net.serve("behind", written.history(0, 4))
    net.follow("x", "behind", table=written.tables[9])
    net.run(5 * SECOND)
    assert net.follower("x").table.number == 9
    assert {type(one) for _, one in net.sent} == {Refused}
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
    net.run(3 * SPREAD)
    net.settled()
    assert net.follower("x").at == "a"


# ---- snapshots


def loading(written: Written, at: int, spread: Callable[[int], int] | None = None) -> Net:
    """A source `a` that can't lead on from 0, and `x` in the middle of its snapshot with the state `at`."""
    net = Net(written)
    net.serve("a", written.history(written.number))
    net.follow("x", "a", "b", table=written.tables[at], spread=spread)
    net.now = SPREAD
    net.tell("x", "elapsed")
    while net.follower("x").part < 3:
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
            assert net.follower("x").table.number == 7
        net.links["x"].held.clear()
        net.run()
        net.settled()
    assert (net.steps["loaded"], net.steps["took"]) == (1, 1)  # all that went on came as one


def test_the_source_dies_in_the_middle_of_a_snapshot_and_the_next_has_another() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        written.write(("route/1", b"later"), ("route/2", None))
        net.serve("b", written.history(written.number))
        net.kill("a")
        assert net.follower("x").table.number == 7
        net.run(3 * SPREAD)
        net.settled()
    assert net.steps["loaded"] == 1
    assert {one.number for one in told(net, "x", Part)} == {60, 61}


def test_the_next_source_has_an_older_snapshot_than_the_last_and_both_are_whole() -> None:
    """Nothing of the newer one counts yet, so an older one may be taken; but none older than what is held."""
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        net.serve("b", written.history(40, 40))
        net.kill("a")
        net.run(3 * SPREAD)
        assert net.follower("x").table.number == 40
        net.kill("b")
        net.serve("b", written.history(30, 30))
        net.run(3 * SPREAD)
        assert net.follower("x").table.number == 40


def test_a_snapshot_older_than_what_is_held_is_not_taken() -> None:
    written = Written()
    written.some(10)
    net = following(written, "x")
    net.tell("x", "heard", "a", Welcome(4, True, 1, 0, 0, False))
    assert ("x", "its snapshot is older") in net.drops
    assert net.follower("x").table.number == 10


def test_parts_of_an_older_snapshot_after_a_newer_state_change_nothing() -> None:
    written = Written()
    written.some(20)
    net = following(written, "x")
    before = net.follower("x").table
    snapshot = Snapshot(written.tables[4], "wide")
    part = snapshot.part(0)
    assert part is not None
    assert part.parts == 1
    net.tell("x", "heard", "a", part)
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
        assert [one.number for one in link.down if isinstance(one, Part)] == [60] * len(link.down) != []
        written.some(3)
        net.sources["a"].history.anew(written.tables[-1])
        net.serving("a", "anew")
        link.held = {"up"}
        net.pump()  # it asks for more of the old one
        link.held = {"down"}
        net.pump()
        link.held.clear()
        net.run()
        net.settled()
    assert net.steps["loaded"] == 1
    assert not net.drops
    assert not net.closed


@pytest.mark.parametrize("why", ["cut", "much", "older"])
def test_a_snapshot_that_leads_no_further_is_made_anew_for_all_who_load(why: str) -> None:
    """One loads it meanwhile, another comes: to load the old one again would never end."""
    written = Written()
    written.some(60)
    with small(PART_SIZE=300, HISTORY_BOUND=10 if why == "cut" else 1000, DELTA_BOUND=2000):
        net = loading(written, 7)
        old = net.sources["a"].snapshots["wide"]
        net.links["x"].held.add("down")
        if why == "older":
            net.write(("route/1", b"1"))
            net.follow("y", "a", table=Table().moved(61, [("route/1", b"of another line", 1)]))
        else:
            for _ in range(0 if why == "cut" else 400):  # more to tell than there is
                written.write(("route/1", bytes(10)))
            written.some(11)
            net.bring("a")
            net.follow("y", "a")
        net.run(SPREAD)
        assert net.sources["a"].snapshots["wide"].number == written.number > old.number
        assert net.follower("y").table.number == written.number
        net.links["x"].held.clear()
        net.run(4 * SPREAD)
        net.settled()
    assert net.steps["loaded"] == 2
    assert {one.number for one in told(net, "y", Part)} == {written.number}


def test_who_has_loaded_all_is_not_begun_anew_by_a_part_asked_for_too_much() -> None:
    """It asks ahead, past the end too. Is the snapshot replaced by then, its Have is on the way, and true."""
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
        assert [type(one) for one in link.up] == [Want] * (len(link.up) - 1) + [Have]
        assert len(link.up) > 1
        written.some(3)
        net.sources["a"].history.anew(written.tables[-1])
        net.serving("a", "anew")
        net.run()
        net.settled()
    assert not net.closed


def test_a_part_of_another_snapshot_is_no_part_of_this_one() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        one = net.follower("x")
        frozen = one.frozen()
        for number in (8, 59, 61):
            part = Part(number, one.part, one.part + 1, (), bytes(16))
            assert one.take(net.now, "heard", "a", part) == []
        assert one.frozen() == frozen
        net.run()
        net.settled()


def test_a_last_part_that_does_not_come_to_the_digest_changes_nothing() -> None:
    written = Written()
    written.some(60)
    with small(PART_SIZE=300):
        net = loading(written, 7)
        one = net.follower("x")
        assert one.load is not None
        key, _, version = next(one.load.entries("wide"))
        one.load = one.load.moved(60, [(key, b"rot", version)])
        while one.phase == "loading":
            link = net.links["x"]
            if link.up:
                net.reach(link)
            else:
                net.arrive("x", link)
        assert (one.table.number, one.phase) == (7, "waiting")
        net.run(4 * SPREAD)
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
            net.now = SPREAD
            net.tell(id, "elapsed")
        for one in list(net.opening):
            net.opened(*one)
        for id in "xyz":
            net.reach(net.links[id])
        made = source.snapshots["wide"]
        assert made.parts == []  # a Welcome costs nothing
        net.written.write(("route/1", b"meanwhile"))
        net.bring("a")
        net.run()
        assert source.snapshots["wide"] is made  # a delta leads on from it, for who comes now too
        net.settled()
    assert net.steps["loaded"] == 3
    net.run(SNAPSHOT_KEPT)
    assert not source.snapshots


def test_each_part_asked_for_cuts_one_at_the_most() -> None:
    """Guards against a stranger that asks for the last part first."""
    written = Written()
    written.some(400)
    with small(PART_SIZE=300):
        source = Source(written.history(400), 0, 0)
        source.take(0, "joined", 1)
        source.take(0, "heard", 1, Follow("x", "wide", 0, b""))
        for index in range(5):
            source.take(0, "heard", 1, Want(400, index))
            assert len(source.snapshots["wide"].parts) == index + 1
        assert source.take(0, "heard", 1, Want(400, 300)) == [("close", 1, "a part out of turn")]
        assert len(source.snapshots["wide"].parts) == 5


def test_parts_have_a_bounded_size_and_an_empty_table_is_one() -> None:
    written = Written()
    written.some(100, VALUE_BOUND)
    made = Snapshot(written.tables[-1], "wide")
    parts = [made.part(index) for index in range(8)]
    sizes = [len(encode(part)) for part in parts if part is not None]
    assert all(size < PART_SIZE + VALUE_BOUND + KEY_BOUND for size in sizes)
    assert [part.parts for part in parts if part is not None] == [0] * (len(sizes) - 1) + [len(sizes)]
    assert Snapshot(Table(), "all").part(0) == Part(0, 0, 1, (), bytes(16))
    assert Snapshot(Table(), "all").part(1) is None


def test_the_sections_of_tenants_come_with_the_snapshot_to_those_alone_who_hold_all() -> None:
    written = Written()
    written.some(10)
    written.some(10, prefix="tenant/")
    net = Net(written)
    net.serve("a", written.history(20))
    net.follow("w", "a")
    net.follow("k", "a", kind="all", level=1)
    net.run(2 * SPREAD)
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
            assert net.follower("quick").table.number == net.written.number
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
        net.run(STALL // 900)
    assert (link.most, len(link.down)) == (1, 1 + (STALL - 1) // BEAT + 1)  # a Delta, its Beats, the end
    assert ("dead", "silent") in net.closed
    assert len(net.sources["a"].peers) == 1
    assert net.follower("quick").table.number == 1000


def test_who_says_nothing_at_all_is_let_go() -> None:
    source = Source(History(), 0, 0)
    source.take(0, "joined", 1)
    assert source.due() == STALL
    assert source.take(STALL - 1, "elapsed") == []
    assert source.take(STALL, "elapsed") == [("close", 1, "silent")]
    assert not source.peers
    assert not source.heard_at


def test_a_full_source_refuses_and_the_refused_goes_elsewhere() -> None:
    written = Written()
    net = Net(written)
    net.serve("a", written.history(), bound=2)
    net.serve("b", written.history())
    for id in "xyz":
        net.follow(id, "a", "b")
    net.run(4 * SPREAD)
    net.settled()
    assert Counter(net.follower(id).at for id in "xyz") == {"a": 2, "b": 1}
    assert [why for _, why in net.drops] == ["refused: full"]


def test_the_followers_of_a_dead_one_come_back_spread_out() -> None:
    written = Written()
    net = Net(written)
    net.serve("a", written.history())
    net.serve("b", written.history())
    for number in range(200):
        net.follow(f"x{number}", "a", "b")
    net.run(2 * SPREAD)
    assert len(net.sources["a"].peers) == 200
    net.kill("a")
    died = net.now
    net.write(("route/1", b"new"), to=["b"])
    net.connects.clear()
    net.run(SPREAD)
    net.settled()
    came = Counter((at - died) * 10 // SPREAD for _, _, at in net.connects)
    assert len(came) == 10
    assert max(came.values()) < 50


def test_who_beats_no_more_is_left_after_a_silence() -> None:
    written = Written()
    net = following(written, "x")
    net.follower("x").sources = ("a", "b")
    net.serve("b", written.history())
    net.cut("x", told=False)
    heard = net.follower("x").heard_at
    net.run(heard + SILENT - 1 - net.now)
    assert net.follower("x").at == "a"
    net.run(1)
    assert net.drops == [("x", "silent")]
    net.run(SPREAD)
    assert net.follower("x").at == "b"


def test_a_source_that_does_not_answer_at_all_is_left_too() -> None:
    net = Net(Written())
    one = net.follow("x", "a", "b", spread=lambda span: 0)
    assert one.take(0, "elapsed") == [("connect", "a")]
    assert one.take(SILENT - 1, "elapsed") == []
    assert one.take(SILENT, "elapsed") == [("drop", "a", "silent")]
    assert one.take(SILENT, "elapsed") == [("connect", "b")]
    assert [effect[0] for effect in one.take(SILENT, "connected", "b")] == ["send"]
    assert one.take(2 * SILENT, "elapsed") == [("drop", "b", "silent")]


def test_after_a_pause_what_lies_unread_counts_before_the_clock() -> None:
    net = following(Written(), "x")
    net.paused.add("x")
    for _ in range(4):
        net.run(STALL // 5)  # beats lie unread
    net.write(("route/1", b"1"))
    net.paused.clear()
    net.run(0)
    assert not net.drops
    net.settled()


def test_beats_are_sent_only_where_nothing_else_was() -> None:
    net = following(Written(), "x", "y")
    net.run(BEAT)
    assert {type(one) for _, one in net.sent} == {Beat}
    net.sent.clear()
    for _ in range(10):
        net.write(("route/1", str(net.written.number).encode()))
        net.run(BEAT // 2)
    assert {type(one) for _, one in net.sent} == {Delta}


def test_an_idle_second_costs_two_beats_and_two_answers() -> None:
    net = following(Written(), "x")
    net.run(BEAT)
    net.sent.clear()
    net.asked.clear()
    net.run(10 * SECOND)
    assert Counter(type(one) for _, one in net.sent) == {Beat: 20}
    assert Counter(type(one) for _, one in net.asked) == {Have: 20}


def test_what_a_push_does_not_touch_costs_nothing() -> None:
    """A follower that has not answered yet is not looked at by the moves between."""

    class Watched(dict[int, Any]):
        touched = 0

        def __getitem__(self, key: int) -> Any:
            Watched.touched += 1
            return super().__getitem__(key)

    net = following(Written(), *(f"x{number}" for number in range(50)))
    net.sources["a"].peers = Watched(net.sources["a"].peers)
    for _ in range(100):
        net.write(("route/1", b"1"))
    assert Watched.touched == 50


def test_all_who_stand_at_the_same_place_are_sent_one_and_the_same_delta() -> None:
    net = following(Written(), "x", "y", "z")
    net.write(("route/1", b"1"))
    assert len({id(message) for _, message in net.sent if isinstance(message, Delta)}) == 1


def test_a_load_of_tenants_makes_instances_forget_theirs_and_not_load_anew() -> None:
    written = Written()
    with small(DELTA_BOUND=1000):
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
    assert (last.forget, [key for key, _, _ in last.items]) == (True, ["route/1"])
    assert not told(net, "x", Welcome)


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
    assert net.follower("x").table.number == written.number - 1
    assert written.number - 1 not in {last for _, last, _, _ in net.sources["r2"].history.steps}
    net.sent.clear()
    net.end("r1")
    del net.followers["r1"]
    net.kill("r1")
    net.run(3 * SECOND)
    net.settled()
    assert [one.load for one in told(net, "x", Welcome)] == [False]


def test_who_stands_inside_a_step_with_another_state_loads_anew() -> None:
    """That step leads it to another digest; the next one has the same step."""
    written = Written()
    written.some(6)
    history = History(written.tables[2])
    history.move(
        5, tuple((key, value, number) for number in (3, 4, 5) for key, value in written.changes[number])
    )
    net = Net(written)
    for name in ("a", "b"):
        net.serve(name, history.copy())
    strange = Table().moved(4, (("route/strange", b"{}", 1),))
    net.follow("x", "a", "b", table=strange)
    net.run(6 * SECOND)
    assert [why for _, why in net.drops] == ["another digest"]
    table = net.follower("x").table
    assert (table.number, table.digest("wide")) == (5, history.table.digest("wide"))


def test_a_relay_that_loads_anew_has_its_followers_follow_suit() -> None:
    written = Written()
    written.some(5)
    with small(HISTORY_BOUND=10, PART_SIZE=200):
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
    assert [one.load for one in told(net, "x", Welcome)][-1]


def test_no_ring_of_relays_feeds_itself() -> None:
    """Cut off from all above they have each other's addresses; none follows one that is not above it."""
    written = Written()
    written.some(5)
    net = Net(written)
    for id, names in (("r1", ("r2", "s1")), ("s1", ("r2", "r1")), ("r2", ("r1",))):
        net.relay(id, *names, level=int(id[1]), table=written.tables[5])
    net.run(5 * SECOND)
    assert net.follower("r2").at == "r1"
    assert (net.follower("r1").phase, net.follower("s1").phase) != ("following", "following")
    for id in ("r1", "s1"):
        assert net.follower(id).phase in ("waiting", "connecting")
    assert {why for _, why in net.drops} == {"refused: not below"}


def test_a_follower_finds_out_itself_that_its_source_is_not_above_it() -> None:
    one = Follower("r", "all", Table(), ("s",), 0, lambda span: 0, level=1)
    one.take(0, "elapsed")
    one.take(0, "connected", "s")
    assert one.take(0, "heard", "s", Welcome(0, False, 0, 1, 0, False)) == [("drop", "s", "not above it")]


def test_a_keeper_follows_only_who_writes_under_the_highest_epoch_it_has_seen() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    for name, epoch, holds in (("a", 0, False), ("b", 3, True), ("c", 4, True)):
        net.serve(name, written.history())
        net.serving(name, "writes", epoch, holds, 0)
    net.follow("k", "a", "b", kind="all")
    net.run(4 * SPREAD)
    assert (net.follower("k").at, net.follower("k").epoch) == ("b", 3)
    net.tell("k", "sources", ("c", "b"))
    net.cut("k")
    net.run(4 * SPREAD)
    assert net.follower("k").at == "c"
    net.serving("c", "writes", 5, False, 0)  # it lost its lease, and says so at once
    net.pump()
    assert ("k", "it does not write") in net.drops
    net.run(6 * SPREAD)
    assert net.follower("k").at not in ("b", "c")  # b's epoch is over
    net.serving("b", "writes", 6, True, 0)
    net.run(4 * SPREAD)
    assert net.follower("k").at == "b"


def test_a_keeper_goes_straight_to_who_writes_and_is_sent_on_by_each_but_once() -> None:
    one = Follower("k", "all", Table(), ("a", "b", "c"), 0, lambda span: span)

    def asks(leader: str) -> str:
        """Whom it asks at once, having been told by the next that this one writes."""
        now = one.due()
        connects = one.take(now, "elapsed")
        at = connects[0][1]
        one.take(now, "connected", at)
        assert one.take(now, "heard", at, Welcome(0, False, 0, 0, 1, False, leader))[0][0] == "drop"
        return one.sources[one.place] if one.due() == now else ""

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
    net.serving("a", "writes", 1, True, 0)
    for id in ("x", "y", "z"):
        net.follow(id, "a")
    net.relay("r", "a", level=1)
    net.run(3 * SECOND)
    keepers = [net.follow(f"k{place}", "a", kind="all") for place in range(8)]
    net.run(3 * SECOND)
    assert [one.table.number for one in keepers] == [3] * 8
    assert Counter(net.follower(id).table.number for id in ("x", "y", "z", "r")) == {3: 2, 0: 2}
    net.follow("k", "a", kind="all")
    net.run(3 * SECOND)
    assert net.follower("k").table.number == 0
    assert len(net.sources["a"].peers) <= 2 + 8


def test_while_nobody_writes_a_keeper_takes_what_leads_on_from_its_state_and_goes_on_searching() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history(2))
    late = net.follow("late", "a", "b", kind="all", table=written.tables[2])
    cold = net.follow("cold", "a", "b", kind="all")
    with small(DELTA_BOUND=1):  # a change each
        net.run(3 * SPREAD)
    assert (late.table.number, cold.table.number) == (5, 0)  # nobody says that a snapshot is of this feed
    assert len(told(net, "late", Delta)) == 3
    assert {why for _, why in net.drops} == {"it does not write"}
    net.serve("b", written.history())
    net.serving("b", "writes", 1, True, 0)
    net.run(3 * SECOND)
    net.settled()
    assert (late.at, cold.at) == ("b", "b")


def test_who_gets_the_lease_keeps_the_keeper_that_takes_from_it_meanwhile() -> None:
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history(2))
    late = net.follow("late", "a", kind="all", table=written.tables[2], spread=lambda span: 0)
    net.tell("late", "durable", 2)
    net.tell("late", "elapsed")
    net.opened("late", "a")
    with small(DELTA_BOUND=1):  # a change each
        net.reach(net.links["late"])  # the Welcome and the first Delta are on their way
        net.serving("a", "writes", 1, True, 0)
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
    net.run(3 * SPREAD)
    assert one.table.number == 0
    net.tell("k", "go", True)
    net.run(3 * SPREAD)
    net.settled()
    net.tell("k", "quiet")
    assert (one.phase, one.at, "k" in net.links) == ("quiet", "", False)
    written.some(2)
    net.run(10 * SECOND)
    assert one.phase == "quiet"
    net.tell("k", "go", False, written.tables[7])  # what it wrote itself
    assert (one.phase, one.table.number, one.any) == ("waiting", 7, False)


def test_what_is_durable_is_told_as_it_moves_on_and_once() -> None:
    net = following(Written(), "k", kind="all")
    for number in (1, 2, 3):
        net.write(("route/1", str(number).encode()))
        net.pump()
    net.tell("k", "durable", 2)
    net.tell("k", "durable", 9)  # more than it holds
    net.run(3 * BEAT)
    assert net.durable == [("k", 2), ("k", 3)]
    net.cut("k")
    net.run(2 * SPREAD)
    assert net.durable == [("k", 2), ("k", 3), ("k", 3)]  # a new writer has to hear it too


def test_a_state_of_another_line_counts_as_durable_no_more() -> None:
    """Its disk has a 4 that was never written so; what replaces it counts once that lies there."""
    written = Written()
    written.some(5)
    net = Net(written)
    net.serve("a", written.history(5))
    net.serving("a", "writes", 1, True, 0)
    net.follow("k", "a", kind="all", table=Table().moved(4, [("route/1", b"of another line", 4)]))
    net.tell("k", "durable", 4)
    net.run(4 * SPREAD)
    net.settled()
    assert not net.durable
    net.tell("k", "durable", 5)
    net.pump()
    assert net.durable == [("k", 5)]


# ---- strangers

FOLLOW = Follow("x", "wide", 0, bytes(16))
HUGE = 1 << 63
NONSENSE: list[tuple[str, FromFollower]] = [
    ("new", Follow("", "wide", 0, b"")),
    ("new", Follow("x" * (ID_BOUND + 1), "wide", 0, b"")),
    ("new", Follow("x", "wide", -1, b"")),
    ("new", Follow("x", "wide", 0, bytes(17))),
    ("new", Follow("x", "wide", 0, b"", -1)),
    ("new", Follow("x", "all", 0, b"", HUGE)),
    ("new", Follow("x", "all", HUGE, b"")),
    ("new", Have(0)),
    ("new", Want(0, 0)),
    ("new", AskTenants(("tenant/1",))),
    ("following", FOLLOW),
    ("following", Have(-1)),
    ("following", Have(HUGE)),
    ("following", Have(1)),
    ("following", Have(3, 4)),
    ("following", Have(3, -1)),
    ("following", AskTenants(("route/1",))),
    ("following", AskTenants(("tenant/" + "x" * KEY_BOUND,))),
    ("following", AskTenants(tuple(f"tenant/{number}" for number in range(ASKED_BOUND + 1)))),
    ("following", Look()),
    ("following", Propose("r", ())),
    ("loading", FOLLOW),
    ("loading", Want(3, -1)),
    ("loading", Want(3, 1)),
    ("loading", Want(3, HUGE)),
    ("loading", Have(3)),
    ("loading", Have(HUGE)),
]


@pytest.mark.parametrize(("phase", "message"), NONSENSE)
def test_nonsense_ends_its_connection_and_no_other(phase: str, message: FromFollower) -> None:
    written = Written()
    written.some(3)
    source = Source(written.history(1), 0, 0)
    for peer in (1, 2):
        source.take(0, "joined", peer)
    source.take(0, "heard", 2, Follow("y", "wide", 3, written.tables[3].digest("wide")))
    if phase == "loading":
        source.take(0, "heard", 1, FOLLOW)
    elif phase == "following":
        source.take(0, "heard", 1, Follow("x", "wide", 3, written.tables[3].digest("wide")))
    effects = source.take(0, "heard", 1, message)
    assert effects[-1][:2] == ("close", 1)
    assert {effect[1] for effect in effects} == {1}
    assert list(source.peers) == list(source.heard_at) == list(source.sent_at) == list(source.ready) == [2]
    assert source.take(0, "heard", 1, message) == []
    assert source.take(0, "left", 1) == []


def test_harmless_words_out_of_place_grow_nothing() -> None:
    written = Written()
    written.some(3)
    source = Source(written.history(1), 0, 0)
    source.take(0, "joined", 1)
    source.take(0, "heard", 1, FOLLOW)
    frozen = source.frozen()
    for number in (-1, 0, 2, HUGE):
        assert source.take(0, "heard", 1, Want(number, 0)) == []  # of no load of now
    assert source.take(0, "heard", 1, Have(0)) == []  # it lives
    assert source.frozen() == frozen
    assert source.take(0, "heard", 99, Have(0)) == []
    assert source.take(0, "left", 99) == []
    assert list(source.peers) == [1]


BAD: list[FromSource] = [
    Welcome(-1, True, 0, 0, 0, False),
    Welcome(0, True, 0, -1, 0, False),
    Welcome(0, False, 0, 0, -1, False),
    Delta(-1, 5, (), bytes(16)),
    Delta(0, HUGE, (("tenant/1", b"", 0),), b""),
    Refused("x" * 10_000),
    Beat(-1, b""),
]


@pytest.mark.parametrize("message", BAD)
@pytest.mark.parametrize("phase", ["greeting", "loading", "following"])
def test_nonsense_from_a_source_has_it_left_and_the_state_stands(phase: str, message: FromSource) -> None:
    written = Written()
    written.some(3)
    one = Follower("x", "wide", written.tables[3], ("a", "b"), 0, lambda span: 0)
    one.take(0, "elapsed")
    one.take(0, "connected", "a")
    if phase != "greeting":
        one.take(0, "heard", "a", Welcome(3, phase == "loading", 0, 0, 0, False))
    assert one.phase == phase
    effects = one.take(0, "heard", "a", message)
    assert one.table is written.tables[3]
    if phase == "loading" and isinstance(message, Beat):
        assert [effect[0] for effect in effects] == ["send"]
    else:
        assert [effect[0] for effect in effects] == ["drop"]
        assert len(effects[0][2]) <= 100
    assert one.take(0, "heard", "a", message) == [] or one.phase == "loading"


@pytest.mark.parametrize("index", [-1, 1, HUGE])
def test_a_part_out_of_turn_ends_the_load(index: int) -> None:
    one = Follower("x", "wide", Table(), ("a",), 0, lambda span: 0)
    one.take(0, "elapsed")
    one.take(0, "connected", "a")
    one.take(0, "heard", "a", Welcome(3, True, 0, 0, 0, False))
    effects = one.take(0, "heard", "a", Part(3, index, 0, (), b""))
    assert effects == [("drop", "a", "a part out of turn")]
    assert one.load is None


def test_what_comes_late_of_another_source_is_passed_over() -> None:
    one = Follower("x", "wide", Table(), ("a", "b"), 0, lambda span: 0)
    one.take(0, "elapsed")
    one.take(0, "connected", "a")
    one.take(0, "lost", "a", "cut")
    one.take(0, "elapsed")
    assert (one.at, one.phase) == ("b", "connecting")
    frozen = one.frozen()
    for input in (
        ("heard", "a", Welcome(0, False, 0, 0, 0, False)),
        ("lost", "a", "again"),
        ("connected", "a"),
        ("heard", "b", Beat(0, bytes(16))),
    ):
        assert one.take(0, *input) == []
    assert one.frozen() == frozen
    one.take(0, "connected", "b")
    frozen = one.frozen()
    for late in (Welcome(0, False, 0, 0, 0, False), Refused("full"), Beat(0, bytes(16))):
        assert one.take(0, "heard", "a", late) == []
    assert one.frozen() == frozen


def test_sources_may_change_under_way() -> None:
    net = following(Written(), "x")
    net.tell("x", "sources", ("b", "a"))
    assert net.follower("x").at == "a"
    net.tell("x", "sources", ("b",))
    assert net.drops == [("x", "not to be followed any more")]
    net.tell("x", "sources", ())
    net.run(10 * SECOND)
    assert net.follower("x").phase == "waiting"
    net.tell("x", "sources", ("a",))
    net.run(2 * SPREAD)
    assert net.follower("x").phase == "following"


# ---- look-ups


def looking(written: Written, bound: int = 100) -> tuple[Net, Lookups]:
    net = Net(written)
    net.serve("a", written.history())
    made = Lookups(net.follow("x", "a"), bound)
    net.followers["x"] = made
    net.run(2 * SPREAD)
    net.settled()
    net.sent.clear()
    net.asked.clear()
    return net, made


def test_a_tenant_is_not_known_first_the_common_share_counts_and_the_answer_comes() -> None:
    written = Written()
    written.write(("common/tenant", b"share"), ("tenant/1", b"own"))
    net, view = looking(written)
    assert view.look("tenant/1") == UNKNOWN
    assert view.look("common/tenant") == Found(b"share", 1, True)
    assert view.due() <= net.now
    net.run(0)
    assert view.look("tenant/1") == Found(b"own", 1, True)
    assert view.due() > net.now


def test_before_anything_was_held_nothing_is_known() -> None:
    view = Lookups(Follower("x", "wide", Table(), (), 0, lambda span: 0))
    assert view.look("route/1") == UNKNOWN
    assert view.look("tenant/1") == UNKNOWN


def test_a_thousand_look_ups_of_one_tenant_ask_once_and_one_that_is_not_there_is_held_as_such() -> None:
    net, view = looking(Written())
    for _ in range(1000):
        assert view.look("tenant/nobody") == UNKNOWN
    net.run(0)
    for _ in range(1000):
        assert view.look("tenant/nobody") == ABSENT
    net.run()
    assert [one for _, one in net.asked if isinstance(one, AskTenants)] == [AskTenants(("tenant/nobody",))]
    net.write(("tenant/nobody", b"here"))
    net.pump()
    assert view.look("tenant/nobody") == Found(b"here", 1, True)
    net.write(("tenant/nobody", None))
    net.pump()
    assert view.look("tenant/nobody") == ABSENT


def test_a_thousand_tenants_are_asked_for_in_batches_and_answered_in_bounded_messages() -> None:
    written = Written()
    for number in range(1000):
        written.write((f"tenant/{number}", bytes(VALUE_BOUND)))
    net, view = looking(written, 2000)
    for number in range(1000):
        view.look(f"tenant/{number}")
    net.run(0)
    batches = [len(one.keys) for _, one in net.asked if isinstance(one, AskTenants)]
    assert (max(batches), sum(batches)) == (ASKED_BOUND, 1000)
    assert all(view.look(f"tenant/{number}").known for number in range(1000))


def test_the_cache_is_bounded_and_the_least_lately_used_go_first() -> None:
    written = Written()
    for number in range(10):
        written.write((f"tenant/{number}", b"own"))
    net, view = looking(written, 4)
    for number in range(4):
        view.look(f"tenant/{number}")
    net.run(0)
    view.look("tenant/0")
    view.look("tenant/4")
    net.run(0)
    assert list(view.tenants) == ["tenant/2", "tenant/3", "tenant/0", "tenant/4"]
    for number in range(1000):
        view.look(f"tenant/stranger{number}")
    assert len(view.wanted) == 4
    net.run(0)
    assert len(view.tenants) == 4


@pytest.mark.parametrize("key", ["tenant/" + "x" * KEY_BOUND, "tenant/\ud800"])
def test_a_name_that_can_t_be_set_is_not_asked_for(key: str) -> None:
    net, view = looking(Written())
    assert view.look(key) == ABSENT
    net.run(0)
    assert not [one for _, one in net.asked if isinstance(one, AskTenants)]


def test_a_tenant_and_a_route_of_one_change_are_seen_together() -> None:
    written = Written()
    written.write(("route/1", b"1"), ("tenant/1", b"1"))
    net, view = looking(written)
    view.look("tenant/1")
    net.run(0)
    for number in range(2, 40):
        net.write(("route/1", str(number).encode()), ("tenant/1", str(number).encode()))
        while (link := net.links["x"]).down or link.up:
            if link.down:
                net.arrive("x", link)
            else:
                net.reach(link)
            assert view.look("route/1") == view.look("tenant/1")
    assert view.look("tenant/1") == Found(b"39", 39, True)


def test_an_answer_comes_behind_the_delta_it_belongs_to() -> None:
    """Asked while a delta is out and more has changed since: an answer at once would be of another number."""
    written = Written()
    written.write(("tenant/1", b"1"))
    net, view = looking(written)
    net.links["x"].held.add("down")
    net.write(("route/1", b"2"))
    net.write(("tenant/1", b"3"))
    view.look("tenant/1")
    net.run(0)
    assert not told(net, "x", Tenants)
    net.links["x"].held.clear()
    net.run(0)
    assert [(one.number, one.items) for one in told(net, "x", Tenants)] == [(3, (("tenant/1", b"3", 3),))]
    assert view.look("tenant/1") == Found(b"3", 3, True)


@pytest.mark.parametrize("number", [0, 2, HUGE])
def test_an_answer_of_another_number_is_dropped_and_asked_anew(number: int) -> None:
    written = Written()
    written.write(("tenant/1", b"1"))
    net, view = looking(written)
    view.look("tenant/1")
    net.tell("x", "elapsed")
    net.tell("x", "heard", "a", Tenants(number, (("tenant/1", b"of another state", number),)))
    assert view.look("tenant/1") == UNKNOWN
    net.run(0)
    assert view.look("tenant/1") == Found(b"1", 1, True)
    assert len([one for _, one in net.asked if isinstance(one, AskTenants)]) == 2


def test_answers_that_nobody_asked_for_are_not_held() -> None:
    net, view = looking(Written())
    net.tell("x", "heard", "a", Tenants(0, tuple((f"tenant/{n}", b"", 0) for n in range(500))))
    net.tell("x", "heard", "elsewhere", Tenants(0, (("tenant/1", b"", 0),)))
    assert not view.tenants


def test_what_was_not_answered_is_asked_anew_on_the_next_link() -> None:
    written = Written()
    written.write(("tenant/1", b"1"), ("tenant/2", b"2"))
    net, view = looking(written)
    view.look("tenant/1")
    net.links["x"].held.add("up")
    net.run(0)
    net.cut("x")
    view.look("tenant/2")
    assert list(view.wanted) == ["tenant/1", "tenant/2"]
    net.run(2 * SPREAD)
    assert (view.look("tenant/1").value, view.look("tenant/2").value) == (b"1", b"2")


def test_a_source_that_answers_all_but_the_question_is_asked_again() -> None:
    written = Written()
    written.write(("tenant/1", b"1"))
    net, view = looking(written)
    view.look("tenant/1")
    net.tell("x", "elapsed")
    net.links["x"].up.clear()  # it forgot
    net.run(2 * STALL)
    assert view.look("tenant/1") == Found(b"1", 1, True)


def test_what_is_held_of_tenants_stays_over_a_lost_link_and_goes_with_a_snapshot() -> None:
    written = Written()
    written.write(("tenant/1", b"1"), ("route/1", b"1"))
    with small(HISTORY_BOUND=3):
        net, view = looking(written)
        view.look("tenant/1")
        net.run(0)
        net.cut("x")
        assert view.look("tenant/1") == Found(b"1", 1, True)
        net.write(("tenant/1", b"2"))
        net.run(2 * SPREAD)
        assert view.look("tenant/1") == Found(b"2", 2, True)  # by the delta
        net.cut("x")
        for _ in range(5):
            net.write(("tenant/1", b"3"), ("route/1", b"3"))
        assert view.look("tenant/1") == Found(b"2", 2, True)
        net.run(2 * SPREAD)
        assert view.look("route/1") == Found(b"3", 7, True)
        assert view.look("tenant/1") == UNKNOWN  # rather than of an older state than the route
        net.run(0)
        assert view.look("tenant/1") == Found(b"3", 7, True)


def test_forgotten_tenants_are_asked_for_again() -> None:
    written = Written()
    written.write(("tenant/1", b"1"))
    with small(DELTA_BOUND=1000):
        net, view = looking(written)
        view.look("tenant/1")
        net.run(0)
        net.links["x"].held.add("up")
        net.write(("route/1", b"2"))
        net.pump()
        written.some(30, 40, "tenant/")
        written.write(("tenant/1", b"new"))
        net.bring("a")
        net.links["x"].held.clear()
        net.pump()
        assert view.look("tenant/1") == UNKNOWN
        net.run(0)
        assert view.look("tenant/1") == Found(b"new", 33, True)


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
    there = Table()
    for key, value, version in entries:  # one by one, some twice, some past another value
        if chance.random() < 0.3:
            there = there.moved(0, [(key, b"other", version + 1)])
        there = there.moved(0, [(key, value, version)])
    for key in ("route/gone", "tenant/gone"):
        there = there.moved(0, [(key, b"x", 1)]).moved(0, [(key, None, 2)])
    assert there._replace(number=table.number) == table
    assert {k: (v, n) for k, v, n in table.entries("all")} == written.states[-1]
    assert table.count("all") == len(written.states[-1])
    assert table.count("wide") == len(list(table.entries("wide")))


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
    while history.table.number < written.number:  # in steps of one change or of several, as a relay's are
        last = data.draw(st.integers(history.table.number + 1, written.number))
        merged: dict[str, tuple[str, bytes | None, int]] = {}
        for number in range(history.table.number + 1, last + 1):
            merged |= {key: (key, value, number) for key, value in written.changes[number]}
        history.move(last, tuple(merged.values()))
    assert history.table == written.tables[-1]
    numbers = {0, *(last for _, last, _, _ in history.steps)}
    kinds: tuple[Kind, Kind] = ("wide", "all")
    for number, table in enumerate(written.tables):
        for kind in kinds:
            assert history.knows(number, table.digest(kind), kind)
            assert history.knows(number, b"another digest..", kind) == (number not in numbers)
            held = table if kind == "all" else Table().moved(number, table.entries("wide"), "wide")
            delta = history.delta(number, kind)
            assert delta is not None
            assert len({key for key, _, _ in delta.items}) == len(delta.items)
            after = held.moved(delta.last, delta.items, kind)
            assert after.digest(kind) == delta.digest == history.table.digest(kind)
            written.check(after, kind)
            other = held.moved(number, [("route/of another line", b"x", number)], kind)
            assert other.moved(delta.last, delta.items, kind).digest(kind) != delta.digest


def test_a_wide_table_passes_over_tenants() -> None:
    table = Table().moved(1, [("route/1", b"r", 1), ("tenant/1", b"t", 1)], "wide")
    assert (len(table.wide), len(table.tenants), table.digest("all")) == (1, 0, table.digest("wide"))


def test_a_change_that_is_not_the_next_is_refused() -> None:
    with pytest.raises(ValueError, match="does not follow"):
        Table().applied(Change(2, "r", ()))
    history = History(Table().moved(3, ()))
    for number in (2, 3):
        with pytest.raises(ValueError, match="does not follow"):
            history.move(number, ())


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
    with small(HISTORY_BOUND=steps, HISTORY_SIZE=size):
        history = History()
        for number in range(1, written.number + 1):
            written.bring(history, number)
            assert len(history.steps) <= steps
            assert history.size == sum(cost for _, _, _, cost in history.steps) <= size
            known = {n for n in range(number + 1) if history.digest(n, "wide") is not None}
            assert known == set(range(history.base, number + 1))
            assert len(history._digests) == len(history.steps) + 1
    history.anew(Table().moved(1000, ()))
    assert (history.base, history.size, len(history.steps)) == (1000, 0, 0)
    assert history.knows(1000, bytes(16), "all")
    assert not history.knows(written.number, written.tables[-1].digest("all"), "all")


def test_a_delta_leads_as_far_as_it_holds_and_tenants_are_forgotten_first() -> None:
    history = History()
    value = bytes(VALUE_BOUND)
    many = DELTA_BOUND // VALUE_BOUND - 2
    for number, section in enumerate(("tenant", "tenant", "route", "route"), 1):
        items = tuple((f"{section}/{number}-{n}", value, number) for n in range(many))
        history.move(number, items)
    ways = []
    for kind in KINDS:
        at, way = 0, [(0, False)]
        while at < 4:
            delta = history.delta(at, kind)
            assert delta is not None
            assert histories.size_of(delta.items) <= DELTA_BOUND
            at = delta.last
            way.append((at, delta.forget))
        ways.append(way)
    assert ways == [
        [(0, False), (3, True), (4, False)],
        [(0, False), (1, False), (2, False), (3, False), (4, False)],
    ]
    assert history.delta(4, "wide") == Delta(4, 4, (), history.table.digest("wide"))


def test_where_more_leads_on_than_there_is_nothing_does() -> None:
    history = History()
    for number in range(1, 12):
        history.move(number, (("route/1", bytes(DELTA_BOUND), number),))
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
    with small(HISTORY_BOUND=8, PART_SIZE=150, DELTA_BOUND=600):
        for name in "ab":
            net.serve(name, History())
        net.relay("r", "a", "b", level=1)
        net.follow("x", "a", "b")
        net.follow("y", "r", "b")
        view = Lookups(net.follow("z", "b", "r", "a"))
        net.followers["z"] = view
        seen: dict[str, int] = {}

        def look() -> None:
            """What is known is of one state, the one that the table says."""
            state = written.states[view.follower.table.number]
            for key in ("route/1", "tenant/1", "tenant/2", "tenant/absent", "common/tenant"):
                found = view.look(key)
                if found.known:
                    assert (found.value, found.version) == state.get(key, (None, 0))
                    assert view.follower.table.number >= seen.get(key, 0)
                    seen[key] = view.follower.table.number

        for act in chance.choices(ACTS, k=count):
            id = chance.choice(["r", "x", "y", "z"])
            link = net.links.get(id)
            if act == "write":
                for _ in range(chance.choice((1, 1, 1, 3, 12))):
                    written.write(*items_of(chance))
                if "a" in net.sources:
                    net.bring("a")
            elif act == "lag" and "b" in net.sources:
                net.bring("b", chance.randint(net.sources["b"].history.table.number, written.number))
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
                    number = net.sources[name].history.table.number
                    net.kill(name)
                    net.serve(name, written.history(max(0, number - chance.randint(0, 9)), number))
            elif act == "restart" and id in durable:
                net.end(id)
                net.opening = [one for one in net.opening if one[0] != id]
                durable[id] = chance.randint(durable[id], net.numbers[id])
                state = written.tables[durable[id]]
                table = Table().moved(durable[id], state.entries("wide"), "wide")
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
        assert view.look("tenant/1").known
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
        inputs: list[tuple[Any, ...]] = []
        for peer in peers:
            inputs.append(("joined", peer))
        for _ in range(30):
            peer, now = chance.choice(peers), written.tables[chance.randint(0, 10)]
            inputs.append(
                chance.choice(
                    [
                        ("heard", peer, Follow(f"x{peer}", "wide", now.number, now.digest("wide"))),
                        ("heard", peer, Have(chance.randint(8, 12))),
                        ("heard", peer, Want(10, chance.randint(0, 2))),
                        ("heard", peer, AskTenants(("tenant/1",))),
                        ("elapsed",),
                        ("joined", peer),
                        ("left", peer),
                    ]
                )
            )
        half = len(inputs) // 2
        for at, input in enumerate(inputs[:half]):
            source.take(at * 300 * MS, *input)
        twin = source.copy()
        frozen = source.frozen()
        assert (hash(twin.frozen()), twin.frozen()) == (hash(frozen), frozen)
        done = []
        for at, input in enumerate(inputs[half:], half):
            done.append(twin.take(at * 300 * MS, *input))
        twin.history.move(11, (("route/1", b"x", 11),))
        twin.take(60 * SECOND, "moved")
        assert source.frozen() == frozen
        assert [source.take(at * 300 * MS, *input) for at, input in enumerate(inputs[half:], half)] == done


def test_a_copy_of_look_ups_goes_its_own_way() -> None:
    written = Written()
    written.write(("tenant/1", b"1"), ("route/1", b"1"))
    net, view = looking(written)
    view.look("tenant/1")
    twin, frozen = view.copy(), view.frozen()
    assert (twin.frozen(), hash(twin.frozen())) == (frozen, hash(frozen))
    told = ("heard", "a", written.history(0).delta(0, "wide"))
    assert twin.take(net.now, "elapsed") != []
    assert view.frozen() == frozen != twin.frozen()
    twin.take(net.now, *told)
    assert (twin.follower.phase, view.follower.phase) == ("waiting", "following")


@pytest.mark.parametrize(
    "message",
    [
        encode(Delta(1, 2, (("route/x", b"{}", -1),), bytes(16))),
        encode(Part(1, 0, 1, (("route/x", b"{}", -1),), bytes(16))),
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
