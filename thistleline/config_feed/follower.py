"""Who follows: whom, from what state on, and the newest state it holds. No I/O, no clock.

Inputs:  connected name | lost name why | heard name Message | durable number | sources names | elapsed
         quiet | go [any] [table]
Effects: (connect name)  (send name Message)  (drop name why)  (took Delta)  (loaded)

After `took` and `loaded` the new state is `table`. After `drop`, and after it was told of `lost`, nothing
more of that connection is told. `quiet`: it follows nobody, as who writes does; `go` ends that, from
`table` on where the state was moved meanwhile. `any`: a keeper that is to write catches up from keepers
that don't write. Silence is judged by `elapsed` alone: what lies unread after a pause is told first. Times
are ns.
"""

from collections.abc import Callable
from typing import Any, Literal

from thistleline.config_feed.limits import RECONNECT_JITTER_NS, SOURCE_TIMEOUT_NS, TABLE_ENTRIES_LIMIT
from thistleline.config_feed.messages import (
    Acknowledge,
    Delta,
    FetchPart,
    Follow,
    FollowAccepted,
    FollowerMessage,
    FollowRejected,
    Heartbeat,
    Kind,
    SnapshotPart,
    SourceMessage,
)
from thistleline.config_feed.table import FeedTable

Phase = Literal["quiet", "waiting", "connecting", "greeting", "loading", "following"]
WINDOW = 4  # parts asked for ahead, so that a far source's snapshot is not a round trip a part
NEVER = 1 << 62


class Follower:
    __slots__ = (
        *("id", "kind", "table", "sources", "now", "spread", "level", "phase", "at", "place", "wait_until"),
        *("heard_at", "welcome", "epoch", "any", "durable", "unsure", "load", "part", "wanted", "effects"),
        *("straight", "until"),
    )

    def __init__(
        self,
        id: str,
        kind: Kind,
        table: FeedTable,
        sources: tuple[str, ...],
        now: int,
        spread: Callable[[int], int],
        level: int = 0,
    ) -> None:
        """`sources`: whom to try, in that order; `spread`: a random part of a span; `level`: 0 for a keeper
        and for who serves nobody."""
        self.id, self.kind, self.table, self.sources, self.now = id, kind, table, sources, now
        self.spread, self.level = spread, level
        self.phase: Phase = "waiting"
        self.at = ""  # whom it follows, or is about to
        self.place = 0  # in `sources`, of the next to try
        self.wait_until = now + spread(RECONNECT_JITTER_NS)
        self.heard_at = now
        self.welcome: FollowAccepted | None = None  # the last one
        self.epoch = 0  # the highest seen
        self.any = False
        self.durable = 0
        self.unsure = False  # its state is not what its source calls by that number: it loads anew
        self.straight = False  # it goes where it was sent to, by one that does not write
        self.until = 0  # the number up to which a keeper takes from one that does not write
        self.load: FeedTable | None = None  # as far as it came
        self.part = self.wanted = 0  # the next to come, and to ask for
        self.effects: list[tuple[Any, ...]] = []

    def copy(self) -> "Follower":
        made = Follower.__new__(Follower)
        for name in self.__slots__:
            setattr(made, name, getattr(self, name))
        made.effects = []
        return made

    def frozen(self) -> tuple[Any, ...]:
        """All that what it does can depend on; tables by number and digest, times from now."""
        load = self.load
        return (
            *(
                self.id,
                self.kind,
                self.level,
                self.table.sequence,
                self.table.digest(self.kind),
                self.sources,
            ),
            *(self.phase, self.at, self.place, self.welcome, self.epoch, self.any, self.durable, self.unsure),
            *(load and (load.sequence, load.digest(self.kind)), self.part, self.wanted),
            *(self.straight, self.until),
            *(self.wait_until - self.now if self.phase == "waiting" else 0,),
            *(self.heard_at - self.now if self.at else 0,),
        )

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        getattr(self, f"_{kind}")(*told)
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        if self.phase == "quiet" or not self.sources:
            return NEVER
        return self.wait_until if self.phase == "waiting" else self.heard_at + SOURCE_TIMEOUT_NS

    def _sources(self, names: tuple[str, ...]) -> None:
        self.sources, self.place = names, 0
        if self.at in names:
            self.place = names.index(self.at)
        elif self.at:
            self._leave("not to be followed any more")
            self.place = 0
        elif self.phase == "waiting":
            self.wait_until = min(self.wait_until, self.now + self.spread(RECONNECT_JITTER_NS))

    def _quiet(self) -> None:
        if self.at:
            self._leave("it writes")
        self.phase = "quiet"

    def _go(self, any: bool = False, table: FeedTable | None = None) -> None:
        self.any = any
        if table is not None and self.phase == "quiet" and table.sequence >= self.table.sequence:
            self.table = table
        if self.phase == "quiet":
            self._wait()
        elif self.phase in ("loading", "following") and self.welcome and not self._fits(self.welcome):
            self._leave("it does not write")

    def _durable(self, number: int) -> None:
        if self.phase != "quiet":  # there `go` brings the table that this counts for
            number = min(number, self.table.sequence)
        if number > self.durable:
            self.durable = number
            if self.kind == "all" and self.phase in ("loading", "following"):
                self._have()  # of the others nobody counts it

    def _elapsed(self) -> None:
        if self.now < self.due():
            return
        if self.phase != "waiting":
            self._leave("silent")
            return
        self.at = self.sources[self.place % len(self.sources)]
        self.phase, self.heard_at = "connecting", self.now
        self.effects.append(("connect", self.at))

    def _connected(self, name: str) -> None:
        if name == self.at and self.phase == "connecting":
            self.phase, self.heard_at = "greeting", self.now
            digest = b"" if self.unsure else self.table.digest(self.kind)
            self._send(Follow(self.id, self.kind, self.table.sequence, digest, self.level))

    def _lost(self, name: str, why: str) -> None:
        if self.at and name == self.at:
            self._wait()

    def _heard(self, name: str, message: SourceMessage) -> None:
        if name != self.at or self.phase not in ("greeting", "loading", "following"):
            return
        self.heard_at = self.now
        match message:
            case FollowRejected():
                self._leave(f"refused: {message.reason}"[:100])
            case FollowAccepted():
                self._welcomed(message)
            case _ if self.phase == "greeting":
                self._leave("no FollowAccepted")
            case Heartbeat():
                self._beat(message)
            case Delta():
                self._delta(message)
            case SnapshotPart():
                self._part(message)

    # ---- to a source

    def _send(self, message: FollowerMessage) -> None:
        self.effects.append(("send", self.at, message))

    def _have(self) -> None:
        self._send(Acknowledge(self.table.sequence, self.durable))

    def _leave(self, why: str) -> None:
        self.effects.append(("drop", self.at, why))
        self._wait()

    def _wait(self) -> None:
        """The next one, after a wait of its own: guards against all of a dead one's coming at once. Keepers
        are few, and the relays wait for what they find."""
        self.phase, self.at, self.load, self.straight, self.until = "waiting", "", None, False, 0
        self.place = (self.place + 1) % max(1, len(self.sources))
        keeper = self.kind == "all" and not self.level
        self.wait_until = self.now + self.spread(RECONNECT_JITTER_NS // 4 if keeper else RECONNECT_JITTER_NS)

    def _doubt(self) -> None:
        """Its own state or the source's is not what it seems: the next one gives it all of its own."""
        self.unsure, self.durable = True, 0
        self._leave("another digest")

    # ---- from a source

    def _fits(self, told: FollowAccepted) -> bool:
        if self.level:
            return told.level < self.level
        if self.kind == "wide":
            return True
        if told.level:
            return False
        return self.any or (told.is_writer and told.epoch >= self.epoch)

    def _welcomed(self, told: FollowAccepted) -> None:
        if min(told.sequence, told.epoch, told.level) < 0:
            self._leave("out of bounds")
            return
        self.welcome = told
        if self._lends(told):
            self.phase, self.until = "following", told.newest
            return
        if not self._fits(told):
            # Once: guards against two that send it to each other.
            straight = not self.level and not self.straight and told.leader in self.sources
            self._leave("not above it" if self.level else "it does not write")
            if straight:
                self.straight, self.place = True, self.sources.index(told.leader)
                self.wait_until = self.now
            return
        self.epoch, self.until = max(self.epoch, told.epoch), 0
        if told.load_snapshot:
            if told.sequence < self.table.sequence:
                self._leave("its snapshot is older")
                return
            self.phase, self.load = "loading", FeedTable()
            self.part = self.wanted = 0
            while self.wanted < WINDOW:
                self._want()
        elif self.phase == "greeting" and told.sequence == self.table.sequence and not self.unsure:
            self.phase = "following"
            if self.durable:
                self._have()
        elif self.phase != "following":  # there it only tells anew who writes
            self._leave("out of turn")

    def _lends(self, told: FollowAccepted) -> bool:
        """Whether a keeper that finds nobody who writes takes from this one what leads on from its own
        state: no more than that was ever decided. No snapshot, as nobody says that it is of this feed."""
        return (
            (self.kind, self.level, told.level, self.phase) == ("all", 0, 0, "greeting")
            and not (self._fits(told) or told.leader or told.load_snapshot or self.unsure)
            and told.sequence == self.table.sequence < told.newest
        )

    def _want(self) -> None:
        assert self.welcome is not None
        self._send(FetchPart(self.welcome.sequence, self.wanted))
        self.wanted += 1

    def _delta(self, told: Delta) -> None:
        if self.phase != "following" or told.first != self.table.sequence or told.last <= told.first:
            self._leave("what it sends does not lead from here")
            return
        table = self.table.update(told.last, told.items, self.kind)
        if table.digest(self.kind) != told.digest:
            self._doubt()
        elif table.entry_count(self.kind) > TABLE_ENTRIES_LIMIT:
            self._leave("too many entries")
        else:
            self.table = table
            self.effects.append(("took", told))
            if 0 < self.until <= told.last:
                self._leave("it does not write")
            else:
                self._have()

    def _part(self, told: SnapshotPart) -> None:
        if self.phase != "loading" or self.load is None or self.welcome is None:
            return
        if told.sequence != self.welcome.sequence:
            return  # of a load that its source began anew since
        if told.index != self.part:
            self._leave("a part out of turn")
            return
        self.load = self.load.update(told.sequence, told.items, self.kind)
        self.part += 1
        if self.load.entry_count(self.kind) > TABLE_ENTRIES_LIMIT:
            self._leave("too many entries")
        elif told.parts != self.part:
            self._want()
        elif self.load.digest(self.kind) != told.digest:
            self._doubt()
        else:
            self.table, self.load, self.phase, self.unsure = self.load, None, "following", False
            self.durable = 0  # what lies there till the new state does may be of another line
            self.effects.append(("loaded",))
            self._have()

    def _beat(self, told: Heartbeat) -> None:
        if self.phase == "following" and told.sequence < self.table.sequence:
            self._leave("behind")
        elif (
            self.phase == "following"
            and told.sequence == self.table.sequence
            and told.digest != self.table.digest(self.kind)
        ):
            self._doubt()
        else:
            self._have()
