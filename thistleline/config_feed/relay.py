"""A keeper or a relay: source, follower and writer as one reducer, as the service runs it. No I/O, no clock.

Inputs:  up KIND ... (the side that follows)  down KIND ... (the side that serves)
         durable number (its disk has the state so far)  elapsed
Effects: (connect name)  (drop name why)  (up name Message)  (down peer Message)  (close peer why)
         (step FeedTable first items)  (anew FeedTable)
         and those of writer_effects.py, of which `TableAdvanced` and `FollowKeepers` are carried out here

`step` and `anew` say what is to be kept on disk: the state now, and what was touched since the state `first`.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from thistleline.config_feed.follower import Follower
from thistleline.config_feed.history import History, Items
from thistleline.config_feed.limits import FOLLOWERS_LIMIT, REQUEST_ID_LENGTH_LIMIT
from thistleline.config_feed.messages import Follow, Propose, ProposeResult
from thistleline.config_feed.source import Source
from thistleline.config_feed.table import FeedTable
from thistleline.config_feed.writer import FeedWriter
from thistleline.config_feed.writer_effects import AnswerProposal, FollowKeepers, TableAdvanced
from thistleline.config_feed.writer_events import (
    CatchUpAdvanced,
    KeeperDurable,
    ProposalReceived,
    TimerExpired,
    WriterEvent,
)

NEVER = 1 << 62
Effects = list[Any]


class Station:
    __slots__ = (
        *("id", "level", "history", "source", "follower", "writer", "way", "told", "peers", "hearing", "out"),
        "kept",
    )

    def __init__(
        self,
        id: str,
        level: int,
        table: FeedTable,
        sources: tuple[str, ...],
        now: int,
        spread: Callable[[int], int],
        keepers: tuple[str, ...] = (),
        bound: int = FOLLOWERS_LIMIT,
    ) -> None:
        """`keepers`: the ids of all, where this is one."""
        self.id, self.level = id, level
        self.history = History(table)
        self.source = Source(self.history, level, now, bound)
        self.follower = Follower(id, "all", table, sources, now, spread, level)
        self.writer = FeedWriter(id, self.history, keepers, now) if keepers else None
        self.way = "follow"  # or "quiet", or "any" while it catches up to write
        self.told = (0, False, "")  # the epoch of who writes, whether it is this one, and else who
        self.peers: dict[str, int] = {}  # by which connection a keeper came last
        self.hearing = 0
        self.kept = table.sequence  # what `step` and `anew` have told
        self.out: Effects = []

    def copy(self) -> "Station":
        made = Station.__new__(Station)
        for name in self.__slots__:
            setattr(made, name, getattr(self, name))
        made.history, made.peers, made.out = self.history.copy(), dict(self.peers), []
        made.source, made.follower = self.source.copy(made.history), self.follower.copy()
        made.writer = self.writer.copy(made.history) if self.writer is not None else None
        return made

    def frozen(self) -> tuple[Any, ...]:
        writer = self.writer.state_key() if self.writer is not None else None
        return (
            *(self.source.frozen(), self.follower.frozen(), writer, self.way, self.told),
            tuple(sorted(self.peers.items())),
        )

    @property
    def table(self) -> FeedTable:
        return self.history.table

    @property
    def holds(self) -> bool:
        return self.writer is not None and self.writer.phase in ("settling", "writing")

    @property
    def leader(self) -> str:
        """Which other keeper writes, as far as this one knows."""
        follower, welcome = self.follower, self.follower.welcome
        known = welcome is not None and welcome.is_writer and follower.phase in ("loading", "following")
        return follower.at if known and self.writer is not None else ""

    @property
    def phase(self) -> str:
        if self.writer is not None and self.writer.phase != "standby":
            return self.writer.phase
        return self.follower.phase

    def due(self) -> int:
        writer = self.writer.next_deadline() if self.writer is not None else NEVER
        return min(self.source.due(), self.follower.due(), writer)

    def take(self, now: int, part: str, *told: Any) -> Effects:
        if part == "up":
            self._up(now, *told)
        elif part == "down":
            self._heard(now, *told)
        elif part == "durable":
            self._up(now, "durable", *told)
            if self.writer is not None:
                self._write(now, KeeperDurable(self.id, *told))
        else:
            self._up(now, "elapsed")
            self._down(now, "elapsed")
            if self.writer is not None:
                self._write(now, TimerExpired())
        return self._told_all(now)

    def handle_writer(self, now: int, event: WriterEvent) -> Effects:
        """Takes in an event for the writer."""
        self._write(now, event)
        return self._told_all(now)

    def _told_all(self, now: int) -> Effects:
        self._tell(now)
        out, self.out = self.out, []
        return out

    # ---- the three

    def _up(self, now: int, *told: Any) -> None:
        for effect in self.follower.take(now, *told):
            kind = effect[0]
            if kind == "send":
                self.out.append(("up", *effect[1:]))
            elif kind == "took":
                self.history.append(self.follower.table, effect[1].items)
                self._moved(now, "moved")
            elif kind == "loaded":
                self.history.reset(self.follower.table)
                self._moved(now, "anew")
            else:
                self.out.append(effect)

    def _heard(self, now: int, kind: str, peer: int, *told: Any) -> None:
        message = told[0] if told else None
        if self.writer is not None and isinstance(message, Follow) and self._is_keeper(message):
            # Guards against a keeper that lost its disk and is counted for what it had; here, as one that the
            # source refuses says so too.
            self.peers[message.id] = peer
            self._write(now, KeeperDurable(message.id, 0))
        self.hearing = peer
        self._down(now, kind, peer, *told)

    def _is_keeper(self, told: Follow) -> bool:
        known = self.writer is not None and told.id in self.writer.keepers
        return known and told.kind == "all" and told.level == 0

    def _down(self, now: int, *told: Any) -> None:
        for effect in self.source.take(now, *told):
            kind = effect[0]
            if kind == "send":
                self.out.append(("down", *effect[1:]))
            elif kind == "durable":
                # Only by its last connection: on one before there may still be word of a disk that is lost.
                if self.writer is not None and self.peers.get(effect[1]) == self.hearing:
                    self._write(now, KeeperDurable(*effect[1:]))
            else:
                self.out.append(effect)

    def _write(self, now: int, event: WriterEvent) -> None:
        assert self.writer is not None
        for effect in self.writer.handle(now, event):
            match effect:
                case TableAdvanced():
                    self._moved(now, "moved")
                case AnswerProposal(ticket, result):
                    self.out.append(AnswerProposal(ticket, self._answer(result)))
                case FollowKeepers():
                    pass  # `_tell` sees to it
                case _:
                    self.out.append(effect)

    def _answer(self, told: ProposeResult) -> ProposeResult:
        """Who does not write can't say whether a request was made before: it says who may."""
        if told.sequence or self.holds:
            return told
        return msgspec.structs.replace(told, unknown=True, leader=self.leader)

    def _moved(self, now: int, how: str) -> None:
        if how == "anew":
            self.out.append(("anew", self.history.table))
        else:
            self.out.append(("step", self.history.table, self.kept, self._since(self.kept)))
        self.kept = self.history.table.sequence
        self._down(now, how)
        if self.writer is not None and self.writer.phase == "catching_up":
            self._write(now, CatchUpAdvanced())

    def _since(self, number: int) -> Items:
        newest: dict[str, tuple[bytes | None, int]] = {}
        for first, _, items, _ in reversed(self.history.steps):
            if first < number:
                break
            for key, value, version in items:
                newest.setdefault(key, (value, version))
        return tuple((key, value, version) for key, (value, version) in newest.items())

    def _tell(self, now: int) -> None:
        """What one of them must know of another."""
        writer = self.writer
        if writer is not None:
            way = {"standby": "follow", "catching_up": "any"}.get(writer.phase, "quiet")
            if way != self.way:
                self.way = way
                if way == "quiet":
                    self._up(now, "quiet")
                else:
                    self._up(now, "go", way == "any", self.history.table)
        welcome = self.follower.welcome
        epoch = writer.epoch if writer is not None and self.holds else welcome.epoch if welcome else 0
        told = epoch, self.holds, self.leader
        if told != self.told:
            self.told = told
            self._down(now, "writes", epoch, self.holds, self.level, self.leader)

    # ---- what is asked beside

    def propose(self, now: int, ticket: Any, told: Propose) -> Effects:
        if self.writer is not None:
            return self.handle_writer(now, ProposalReceived(ticket, told))
        why = "a relay writes nothing"
        result = ProposeResult(told.request_id[:REQUEST_ID_LENGTH_LIMIT], reason=why, unknown=True)
        return [AnswerProposal(ticket, result)]
