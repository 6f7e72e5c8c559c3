"""Who serves followers: what goes to each, and when. No I/O, no clock.

Inputs:  joined peer | heard peer Message | left peer | moved | anew | writes epoch holds level leader |
         elapsed
Effects: (send peer Message)  (close peer why)  (durable id number)

A peer is a connection that wants to follow; what was sent before a `close` goes out first. After `close`
nothing more of that peer counts. What comes from it is to be read only while what goes to it flows: that,
and one Delta out at the most, is why nobody needs a queue. `moved`: `history.table` is newer and its steps
lead there; `anew`: nothing leads to it. Times are ns. An input costs what it touches; only pushing costs by
the followers.
"""

from collections import OrderedDict
from dataclasses import dataclass, field, fields
from typing import Any, Literal

from thistleline.config_feed.history import History, item_size
from thistleline.config_feed.limits import (
    FETCHED_TENANTS_LIMIT,
    FOLLOWERS_LIMIT,
    HEARTBEAT_INTERVAL_NS,
    KEY_LENGTH_LIMIT,
    PART_SIZE,
    PEER_ID_LENGTH_LIMIT,
    SECOND,
    STALL_TIMEOUT_NS,
)
from thistleline.config_feed.messages import (
    Acknowledge,
    FetchPart,
    FetchTenants,
    Follow,
    FollowAccepted,
    FollowerMessage,
    FollowRejected,
    Heartbeat,
    Kind,
    SnapshotPart,
    SourceMessage,
    TenantEntries,
)
from thistleline.config_feed.table import TENANT_PREFIX, FeedTable

LEVEL_BOUND = 64
KEEPERS_SPARE = 8  # places for keepers alone: guards against no change any more where all others are taken
DIGEST_SIZE = 16  # bytes
SNAPSHOT_KEPT = 60 * SECOND  # after that long without a part asked for, a snapshot goes
NEVER = 1 << 62
Phase = Literal["new", "loading", "following"]


class Snapshot:
    """One state by parts of about PART_SIZE bytes, each cut when it is first asked for, in order, and kept
    for all who load it: beginning one costs nothing, and a part what it holds."""

    __slots__ = ("_ahead", "_rest", "digest", "kind", "number", "parts")

    def __init__(self, table: FeedTable, kind: Kind) -> None:
        self.number, self.digest, self.kind = table.sequence, table.digest(kind), kind
        self.parts: list[tuple[tuple[str, bytes, int], ...]] = []
        self._rest = table.entries(kind)
        self._ahead = next(self._rest, None)

    def part(self, index: int) -> SnapshotPart | None:
        """`index` is a part cut already, or the next; None past the last. Its `parts` is 0, and in the last
        one how many there are."""
        if index == len(self.parts) and (self._ahead is not None or not index):
            self._cut()
        if index >= len(self.parts):
            return None
        last = self._ahead is None and index == len(self.parts) - 1
        return SnapshotPart(self.number, index, index + 1 if last else 0, self.parts[index], self.digest)

    def _cut(self) -> None:
        size, items = 0, []
        while self._ahead is not None and size < PART_SIZE:
            items.append(self._ahead)
            size += item_size(*self._ahead[:2])
            self._ahead = next(self._rest, None)
        self.parts.append(tuple(items))


@dataclass(slots=True)
class Served:
    """One follower, as its source knows it."""

    phase: Phase = "new"
    id: str = ""
    kind: Kind = "wide"
    level: int = 0
    number: int = 0  # the state it stands at, by its own word or by what it has answered,
    digest: bytes = b""  # and that state's digest
    out: tuple[int, bytes] | None = None  # where the Delta leads that is out to it
    load: tuple[int, bytes] | None = None  # the snapshot it loads
    part: int = 0  # it asks for next
    sent: bool = False  # the last part
    durable: int = 0
    asked: dict[str, None] = field(default_factory=dict)  # tenants to tell behind the next Delta

    def copy(self) -> "Served":
        made = Served(*(getattr(self, one.name) for one in fields(self)))
        made.asked = dict(self.asked)
        return made

    def frozen(self) -> tuple[Any, ...]:
        return *(getattr(self, one.name) for one in fields(self) if one.name != "asked"), tuple(self.asked)


class Source:
    __slots__ = (
        *("history", "level", "now", "followers_bound", "epoch", "holds", "leader", "peers", "ready"),
        *("heard_at", "sent_at", "snapshots", "used_at", "effects"),
    )

    def __init__(
        self, history: History, level: int, now: int, followers_bound: int = FOLLOWERS_LIMIT
    ) -> None:
        """`level`: 0 a keeper; a relay's is above that of what it follows."""
        self.history, self.level, self.now, self.followers_bound = history, level, now, followers_bound
        self.epoch, self.holds = 0, False  # of who writes, as far as known; whether it is this one
        self.leader = ""  # or who does
        self.peers: dict[int, Served] = {}
        self.ready: dict[int, None] = {}  # who stands at the newest, with nothing out to it
        # The longest silent first, and of who was accepted who was sent to longest ago. Ordered ones: the
        # first of a plain dict is found past all that was taken out before it.
        self.heard_at: OrderedDict[int, int] = OrderedDict()
        self.sent_at: OrderedDict[int, int] = OrderedDict()
        self.snapshots: dict[Kind, Snapshot] = {}
        self.used_at = now  # when a part was asked for
        self.effects: list[tuple[Any, ...]] = []

    def copy(self, history: History | None = None) -> "Source":
        """One that goes its own way from here, with this copy of the history or one of its own. Snapshots are
        shared: they only ever hold what follows from their state."""
        made = Source.__new__(Source)
        for name in self.__slots__:
            value = getattr(self, name)
            setattr(made, name, value.copy() if isinstance(value, dict) else value)
        made.history = self.history.copy() if history is None else history
        made.peers = {peer: served.copy() for peer, served in self.peers.items()}
        made.effects = []
        return made

    def frozen(self) -> tuple[Any, ...]:
        """All that what it does can depend on; tables by number and digest, times from now."""
        table = self.history.table
        return (
            *(table.sequence, table.digest("all"), tuple(step[:2] for step in self.history.steps)),
            *(self.level, self.epoch, self.holds, self.leader, tuple(self.ready)),
            tuple((peer, served.frozen()) for peer, served in self.peers.items()),
            tuple((peer, at - self.now) for peer, at in self.heard_at.items()),
            tuple((peer, at - self.now) for peer, at in self.sent_at.items()),
            tuple((kind, made.number, made.digest) for kind, made in self.snapshots.items()),
            self.used_at - self.now if self.snapshots else 0,
        )

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        getattr(self, f"_{kind}")(*told)
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        return min(
            next(iter(self.heard_at.values()), NEVER) + STALL_TIMEOUT_NS,
            next(iter(self.sent_at.values()), NEVER) + HEARTBEAT_INTERVAL_NS,
            self.used_at + SNAPSHOT_KEPT if self.snapshots else NEVER,
        )

    def _joined(self, peer: int) -> None:
        if len(self.peers) >= self.followers_bound + KEEPERS_SPARE:
            self._refuse(peer, "full")
            return
        self.peers[peer] = Served()
        self.heard_at[peer] = self.now

    def _left(self, peer: int) -> None:
        self.peers.pop(peer, None)
        for one in (self.ready, self.heard_at, self.sent_at):
            one.pop(peer, None)

    def _heard(self, peer: int, message: FollowerMessage) -> None:
        served = self.peers.get(peer)
        if served is None:
            return
        self.heard_at[peer] = self.now
        self.heard_at.move_to_end(peer)
        match message:
            case Follow():
                why = self._follow(peer, served, message)
            case _ if served.phase == "new":
                why = "it does not follow yet"
            case Acknowledge():
                why = self._have(peer, served, message)
            case FetchPart():
                why = self._want(peer, served, message)
            case FetchTenants():
                why = self._ask(peer, served, message)
            case _:
                why = "no word of a follower"
        if why:
            self._close(peer, why)

    def _moved(self) -> None:
        ready, self.ready = self.ready, {}
        for peer in ready:
            self._next(peer, self.peers[peer])

    def _anew(self) -> None:
        self.snapshots.clear()  # who loads begins anew with the next part it asks for
        self._moved()

    def _writes(self, epoch: int, holds: bool, level: int, leader: str = "") -> None:
        """Who writes, as this one knows it now, and how far below it this one is."""
        self.leader = leader
        if (epoch, holds, level) == (self.epoch, self.holds, self.level):
            return
        self.epoch, self.holds, self.level = epoch, holds, level
        for peer, served in list(self.peers.items()):
            if served.phase == "new":
                continue
            if not self._below(served.kind, served.level):
                self._refuse(peer, "not below")
            elif served.kind == "all" and served.phase == "following":  # instances need not know it
                self._welcome(peer, served)

    def _elapsed(self) -> None:
        while self.heard_at:
            peer = next(iter(self.heard_at))
            if self.now < self.heard_at[peer] + STALL_TIMEOUT_NS:
                break
            self._close(peer, "silent")
        while self.sent_at:
            peer = next(iter(self.sent_at))
            if self.now < self.sent_at[peer] + HEARTBEAT_INTERVAL_NS:
                break
            table = self.history.table
            self._send(peer, Heartbeat(table.sequence, table.digest(self.peers[peer].kind)))
        if self.snapshots and self.now >= self.used_at + SNAPSHOT_KEPT:
            self.snapshots.clear()

    # ---- to a follower

    def _send(self, peer: int, message: SourceMessage) -> None:
        self.sent_at[peer] = self.now
        self.sent_at.move_to_end(peer)
        self.effects.append(("send", peer, message))

    def _refuse(self, peer: int, why: str) -> None:
        self.effects.append(("send", peer, FollowRejected(why)))
        self._close(peer, why)

    def _close(self, peer: int, why: str) -> None:
        self._left(peer)
        self.effects.append(("close", peer, why))

    def _welcome(self, peer: int, served: Served) -> None:
        load = served.phase == "loading"
        number = served.load[0] if served.load else served.number
        newest = self.history.table.sequence
        self._send(
            peer, FollowAccepted(number, load, 0, self.level, self.epoch, self.holds, self.leader, newest)
        )

    def _next(self, peer: int, served: Served) -> None:
        """With nothing out to it: what it misses, and behind that what it asked for, as new as that."""
        table = self.history.table
        if not self.history.contains(served.number, served.digest, served.kind):
            self._load(peer, served)
            return
        if served.number < table.sequence:
            delta = self.history.delta(served.number, served.kind)
            if delta is None:
                self._load(peer, served)
                return
            served.out = delta.last, delta.digest
            self._send(peer, delta)
        else:
            self.ready[peer] = None
        if served.asked and self._newest(served):
            self._tell(peer, served)

    def _load(self, peer: int, served: Served) -> None:
        made = self._snapshot(served.kind, served.number)
        self.ready.pop(peer, None)
        served.phase, served.out, served.load = "loading", None, (made.number, made.digest)
        served.part, served.sent = 0, False
        self._welcome(peer, served)

    def _snapshot(self, kind: Kind, least: int) -> Snapshot:
        """The one that others load, while a Delta leads on from it and it is not older than what is held."""
        made = self.snapshots.get(kind)
        if (
            made is None
            or made.number < least
            or not self.history.contains(made.number, made.digest, kind)
            or self.history.delta(made.number, kind) is None
        ):
            made = self.snapshots[kind] = Snapshot(self.history.table, kind)
        self.used_at = self.now
        return made

    def _tell(self, peer: int, served: Served) -> None:
        """What it asked for, in messages of bounded size."""
        table, size = self.history.table, 0
        items: list[tuple[str, bytes | None, int]] = []
        for key in served.asked:
            value, version = table.get(key) or (None, 0)
            items.append((key, value, version))
            size += item_size(key, value)
            if size >= PART_SIZE:
                self._send(peer, TenantEntries(table.sequence, tuple(items)))
                items, size = [], 0
        if items:
            self._send(peer, TenantEntries(table.sequence, tuple(items)))
        served.asked = {}

    # ---- from a follower: why it is let go, or ""

    def _below(self, kind: Kind, level: int) -> bool:
        """Guards against rings: who serves others follows what is above it alone; keepers are level 0 and
        follow keepers, of which the one that writes follows nobody."""
        return level > self.level or (level == 0 and (kind == "wide" or self.level == 0))

    def _follow(self, peer: int, served: Served, told: Follow) -> str:
        if served.phase != "new":
            return "it follows already"
        if (
            not 0 < len(told.id) <= PEER_ID_LENGTH_LIMIT
            or not 0 <= told.level <= LEVEL_BOUND
            or told.sequence < 0
            or len(told.digest) > DIGEST_SIZE
        ):
            return "out of bounds"
        keeper = told.kind == "all" and not told.level
        if not keeper and len(self.peers) > self.followers_bound:
            self._refuse(peer, "full")
        elif not self._below(told.kind, told.level):
            self._refuse(peer, "not below")
        elif told.sequence > self.history.table.sequence:
            self._refuse(peer, "behind")
        else:
            served.phase, served.id, served.kind, served.level = "following", told.id, told.kind, told.level
            served.number, served.digest = told.sequence, told.digest
            if self._leads(served):
                self._welcome(peer, served)
            self._next(peer, served)
        return ""

    def _leads(self, served: Served) -> bool:
        known = self.history.contains(served.number, served.digest, served.kind)
        return known and self.history.delta(served.number, served.kind) is not None

    def _have(self, peer: int, served: Served, told: Acknowledge) -> str:
        if not 0 <= told.durable <= told.sequence:
            return "out of bounds"
        if served.phase == "loading":
            if served.load and served.sent and told.sequence == served.load[0]:
                served.phase = "following"
                (served.number, served.digest), served.load = served.load, None
                if served.kind == "all":
                    self._welcome(peer, served)  # who writes may have changed since the load began
                self._durable(served, told.durable)
                self._next(peer, served)
                return ""
            return "" if told.sequence == served.number else "it has what was not sent"
        if served.out and told.sequence == served.out[0]:
            (served.number, served.digest), served.out = served.out, None
            self._durable(served, told.durable)
            self._next(peer, served)
            return ""
        if told.sequence != served.number:
            return "it has what was not sent"
        self._durable(served, told.durable)
        return ""

    def _durable(self, served: Served, number: int) -> None:
        if number > served.durable:
            served.durable = number
            self.effects.append(("durable", served.id, number))

    def _want(self, peer: int, served: Served, told: FetchPart) -> str:
        if served.phase != "loading" or served.load is None or told.sequence != served.load[0] or served.sent:
            return ""  # of a load that is over, or was begun anew meanwhile; or past the last part
        made = self.snapshots.get(served.kind)
        if told.index != served.part:
            return "a part out of turn"
        if made is None or (made.number, made.digest) != served.load:
            self._load(peer, served)
            return ""
        served.part += 1
        self.used_at = self.now
        part = made.part(told.index)
        if part is not None:
            served.sent = part.parts > 0
            self._send(peer, part)
        return ""

    def _ask(self, peer: int, served: Served, told: FetchTenants) -> str:
        """Told behind a Delta to the newest, so that the answer is as new as what is held there then."""
        if len(served.asked) + len(told.keys) > FETCHED_TENANTS_LIMIT:
            return "it asks for too much"
        for key in told.keys:
            if not key.startswith(TENANT_PREFIX) or len(key) > KEY_LENGTH_LIMIT:
                return "no key of a tenant"
            served.asked[key] = None
        if served.asked and served.phase == "following" and self._newest(served):
            self._tell(peer, served)
        return ""

    def _newest(self, served: Served) -> bool:
        """Whether all up to the newest is held there or on its way."""
        return (served.out[0] if served.out else served.number) == self.history.table.sequence
