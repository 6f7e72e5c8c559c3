"""An instance's side of the feed as a library, and what commands ask.

    async with anyio.create_task_group() as group:
        feed = FeedClient("instance-7", {"relay-a": ("10.0.0.4", 7300), ...}, folder=Path(...))
        group.start_soon(feed.run)
        found = feed.look("route/checkout")     # never waits; `known` says whether the answer is one

A folder keeps the last good state over a restart; without one it is loaded anew.
"""

import os
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.abc

from thistleline.config_feed.archive_writer import Persist
from thistleline.config_feed.connections import Rounds, Up, ask
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.lookups import Found, Lookups
from thistleline.config_feed.messages import Delta, Kind, Look, Looked, Propose, Proposed
from thistleline.config_feed.table import Table
from thistleline.store.clock import boot_now
from thistleline.transport.address import Address

BELOW = 64  # the level of one that holds all and serves nobody
ASK_SPAN, PROPOSE_SPAN = 2.0, 4.0  # s for one question, for one try of a proposal
PAUSE = 0.1  # s between two tries


def _silent(event: str, **facts: Any) -> None:
    return None


class Following:
    """Follower and clock, links and disk around it. `seen(table, items)` hears of each state; items are None
    where nothing led to it."""

    def __init__(
        self,
        id: str,
        kind: Kind,
        sources: dict[str, Address],
        log: Callable[..., None] = _silent,
        folder: Path | None = None,
        chance: Random | None = None,
        seen: Callable[[Table, Any], None] | None = None,
        alone: bool = False,
    ) -> None:
        """`alone`: not one of many, so that it need not spread its coming out. Takes the folder and reads
        it; blocks. Raises DiskLockedError, OSError."""
        level = BELOW if kind == "all" else 0
        self.id, self.sources, self.log = id, sources, log
        self.chance = chance or Random(os.urandom(8))
        self.seen, self.alone = seen, alone
        self.persist = Persist(folder, kind, log, self._durable) if folder is not None else None
        table = self.persist.table if self.persist is not None else Table()
        names = sorted(sources)
        self.chance.shuffle(names)  # guards against all instances going to the first at once
        self.follower = Follower(id, kind, table, tuple(names), boot_now(), self._spread, level)
        self.reducer: Any = self.follower
        self.rounds = Rounds()
        self.moved = anyio.Event()
        self.kind = kind

    def _spread(self, span: int) -> int:
        return 0 if self.alone else self.chance.randrange(span + 1)

    def _durable(self, number: int) -> None:
        self.rounds.put("durable", number)

    @property
    def table(self) -> Table:
        return self.follower.table

    async def run(self) -> None:
        """Until it is cancelled. What was taken last may not be in the folder then; it comes again."""
        self.log("started", id=self.id, number=self.table.number, digest=self.table.digest(self.kind).hex())
        try:
            async with anyio.create_task_group() as group:
                self.up = Up(self.id, self.sources, group, self.rounds)
                if self.persist is not None:
                    group.start_soon(self.persist.run)
                await self._pump()
        finally:
            if self.persist is not None:
                self.persist.close()
            self.log("left", number=self.table.number)

    async def _pump(self) -> None:
        while True:
            for told in await self.rounds.next(self.reducer.due()):
                self._take(*told)
            if self.reducer.due() <= boot_now():
                self._take("elapsed")

    def _take(self, kind: str, *told: Any) -> None:
        for effect in self.reducer.take(boot_now(), kind, *told):
            what, *rest = effect
            if what == "connect":
                self.up.connect(rest[0])
            elif what == "send":
                self.up.send(rest[0], rest[1])
            elif what == "drop":
                self.log("dropped", of=rest[0], why=rest[1])
                self.up.drop(rest[0])
            elif what in ("took", "loaded"):
                self._state(rest[0] if rest else None)

    def _state(self, delta: Delta | None) -> None:
        if self.persist is not None:
            if delta is None:
                self.persist.anew(self.table)
            else:
                self.persist.step(self.table, delta.first, delta.items)
        if delta is None:
            self.log("loaded", number=self.table.number, digest=self.table.digest(self.kind).hex(),
                     by=self.follower.at)  # fmt: skip
        if self.seen is not None:
            self.seen(self.table, None if delta is None else delta.items)
        self.moved.set()
        self.moved = anyio.Event()

    async def beyond(self, number: int) -> Table:
        """The state at that number or after it, once it is here."""
        while self.table.number < number:
            await self.moved.wait()
        return self.table


class FeedClient(Following):
    """All sections but the tenants, and of those what is asked for."""

    def __init__(
        self,
        id: str,
        sources: dict[str, Address],
        log: Callable[..., None] = _silent,
        folder: Path | None = None,
        chance: Random | None = None,
        seen: Callable[[Table, Any], None] | None = None,
        alone: bool = False,
    ) -> None:
        super().__init__(id, "wide", sources, log, folder, chance, seen, alone)
        self.lookups = self.reducer = Lookups(self.follower)

    def look(self, key: str) -> Found:
        """Never waits. A tenant that is not known yet is asked for; till then `known` is false."""
        found = self.lookups.look(key)
        if not found.known:
            self.rounds.woken.set()
        return found


# ---- what commands ask


async def look(address: Address, keys: tuple[str, ...] = (), span: float = ASK_SPAN) -> Looked | None:
    """How one that serves stands and what it holds of the keys; None if it does not say."""
    found: Looked | None = await ask(address, Look(keys), Looked, span)
    return found


async def look_each(servers: dict[str, Address], keys: tuple[str, ...] = ()) -> dict[str, Looked | None]:
    found: dict[str, Looked | None] = {}

    async def one(name: str) -> None:
        found[name] = await look(servers[name], keys)

    async with anyio.create_task_group() as group:
        for name in servers:
            group.start_soon(one, name)
    return found


class Asking:
    """Which keeper a change is asked of: `at`. Guards against one that names a keeper that is gone, and two
    that name each other: a name is heeded once between two pauses, and not of who gave no answer last."""

    __slots__ = ("at", "names", "sent_on", "silent")

    def __init__(self, names: list[str], at: str) -> None:
        self.names, self.at = names, at
        self.silent, self.sent_on = "", False

    def on(self, answered: bool, leader: str = "") -> bool:
        """To the one that is said to write, at once; else to the next, after a pause. Whether at once."""
        if not answered:
            self.silent = self.at
        self.sent_on = leader in self.names and leader not in (self.at, self.silent) and not self.sent_on
        self.at = leader if self.sent_on else self.names[(self.names.index(self.at) + 1) % len(self.names)]
        return self.sent_on


async def propose(
    keepers: dict[str, Address], told: Propose, span: float = 10.0, chance: Random | None = None
) -> Proposed:
    """Asks till it is made or refused, for so many seconds at most. The same request is one change."""
    chance = chance or Random(os.urandom(8))
    names, until, why = sorted(keepers), anyio.current_time() + span, "no keeper answers"
    asking = Asking(names, chance.choice(names))
    while True:
        left = until - anyio.current_time()
        answer = await ask(keepers[asking.at], told, Proposed, min(left, PROPOSE_SPAN)) if left > 0 else None
        if answer is not None:
            if answer.number or not answer.unknown:
                return answer  # type: ignore[no-any-return]
            why = answer.why
        if anyio.current_time() >= until:
            return Proposed(told.request, why=why, unknown=True)
        if not asking.on(answer is not None, answer.leader if answer is not None else ""):
            await anyio.sleep(min(PAUSE * chance.uniform(0.5, 1.5), max(0.0, until - anyio.current_time())))


async def snapshot(servers: dict[str, Address], span: float) -> Table | None:
    """All that one of them holds."""
    following = Following(f"export-{os.urandom(4).hex()}", "all", servers, alone=True)
    done = False
    with anyio.move_on_after(span):
        async with anyio.create_task_group() as group:
            group.start_soon(following.run)
            while following.follower.phase != "following":
                await anyio.sleep(0.02)
            welcome = following.follower.welcome
            # Guards against a state on the way there: changes may lead to it, in several steps.
            await following.beyond(max(welcome.number, welcome.newest) if welcome is not None else 0)
            done = True
            group.cancel_scope.cancel()
    return following.table if done else None
