"""Runs a follower: connects its state machine to the clock, the network and the disk."""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import nullcontext
from pathlib import Path
from random import Random
from typing import Any, ClassVar, Protocol

import anyio

from thistleline.config_feed.archive_writer import ArchiveWriter
from thistleline.config_feed.effects import (
    ConnectUpstream,
    DeltaApplied,
    DisconnectUpstream,
    FollowerEffect,
    SendUpstream,
    SnapshotLoaded,
)
from thistleline.config_feed.events import FollowerEvent, StateDurable
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.history import Items
from thistleline.config_feed.inbox import EventInbox
from thistleline.config_feed.messages import Delta, Kind
from thistleline.config_feed.table import FeedTable
from thistleline.config_feed.upstream import UpstreamConnection
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now
from thistleline.transport.address import Address

LEAF_LEVEL = 64  # level (distance from the keepers) of a follower of all entries that has no followers


class FollowerStateMachine(Protocol):
    """A `Follower`, or a state machine that wraps one."""

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerEffect]:
        """Handle one event at the time `now` in ns and return the effects to carry out."""

    def next_deadline(self) -> int:
        """Return when the timer expires, in ns."""


def _no_log(event: str, **fields: Any) -> None:
    return None


class FollowerService:
    """Follows the feed and holds the whole table.

    Attributes:
        kind: Which entries the follower holds: "all", or "wide" for all except the tenants.
        follower: The follower's state machine.
        state_machine: Handles the events: the follower, or a state machine that wraps the follower.
        inbox: Events that have not been handled yet.
    """

    kind: ClassVar[Kind] = "all"

    def __init__(
        self,
        id: str,
        sources: dict[str, Address],
        log: Callable[..., None] = _no_log,
        folder: Path | None = None,
        random: Random | None = None,
        on_state: Callable[[FeedTable, Items | None], None] | None = None,
        immediate: bool = False,
    ) -> None:
        """Lock the folder and recover the last state from it; blocks.

        Args:
            id: The id that the follower sends to its sources.
            sources: Addresses of the sources, by name.
            log: Called with an event's name and its fields.
            folder: Folder that stores the state across restarts; without one, a restart loads the state from
                a source.
            random: Generates the random delays and the order of the sources.
            on_state: Called with each new state and the items that changed; None instead of items for a
                snapshot.
            immediate: Connect without a random delay, for a follower that does not start along with many.

        Raises:
            DiskLockedError: The folder is in use.
            OSError: The folder cannot be read.
        """
        self.id = id
        self.log = log
        self._sources = sources
        self._random = random or Random(os.urandom(8))
        self._on_state = on_state
        self._immediate = immediate
        self.inbox: EventInbox[FollowerEvent] = EventInbox()
        self._advanced = anyio.Event()
        self._archive = (
            ArchiveWriter(folder, self.kind, log, self._on_durable) if folder is not None else None
        )
        table = self._archive.table if self._archive is not None else FeedTable()
        names = sorted(sources)
        self._random.shuffle(names)  # prevents all instances from connecting to the same source first
        level = LEAF_LEVEL if self.kind == "all" else 0
        self.follower = Follower(id, self.kind, table, tuple(names), boot_now(), self._random_delay, level)
        self.state_machine = self._make_state_machine()

    def _make_state_machine(self) -> FollowerStateMachine:
        return self.follower

    def _random_delay(self, max_delay: int) -> int:
        return 0 if self._immediate else self._random.randrange(max_delay + 1)

    def _on_durable(self, sequence: int) -> None:
        self.inbox.put(StateDurable(sequence))

    @property
    def table(self) -> FeedTable:
        """The newest state held."""
        return self.follower.table

    async def run(self) -> None:
        """Follow until this is cancelled.

        The last changes may not be in the folder by then; they are received again after a restart.
        """
        digest = self.table.digest(self.kind).hex()
        self.log("started", id=self.id, number=self.table.sequence, digest=digest)
        try:
            with self._archive or nullcontext():
                await self._run()
        finally:
            self.log("left", number=self.table.sequence)

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._upstream = UpstreamConnection(self.id, self._sources, tasks, self.inbox)
            if self._archive is not None:
                tasks.start_soon(self._archive.run)
            await self._handle_events()

    async def wait_for(self, sequence: int) -> FeedTable:
        """Wait until the state has reached this sequence number, and return the state."""
        while self.table.sequence < sequence:
            await self._advanced.wait()
        return self.table

    async def _handle_events(self) -> None:
        while True:
            for event in await self.inbox.next_batch(self.state_machine.next_deadline()):
                self._handle(event)
            if self.state_machine.next_deadline() <= boot_now():
                self._handle(DeadlineReached())

    def _handle(self, event: FollowerEvent) -> None:
        for effect in self.state_machine.handle(boot_now(), event):
            match effect:
                case SendUpstream():
                    self._upstream.send(effect.source, effect.message)
                case DeltaApplied():
                    self._on_delta(effect.delta)
                case SnapshotLoaded():
                    self._on_snapshot()
                case ConnectUpstream():
                    self._upstream.connect(effect.source)
                case DisconnectUpstream():
                    self.log("dropped", of=effect.source, why=effect.reason)
                    self._upstream.disconnect(effect.source)

    def _on_delta(self, delta: Delta) -> None:
        if self._archive is not None:
            self._archive.append(self.table, delta.first, delta.items)
        self._publish(delta.items)

    def _on_snapshot(self) -> None:
        table = self.table
        if self._archive is not None:
            self._archive.replace(table)
        digest = table.digest(self.kind).hex()
        self.log("loaded", number=table.sequence, digest=digest, by=self.follower.upstream)
        self._publish(None)

    def _publish(self, items: Items | None) -> None:
        if self._on_state is not None:
            self._on_state(self.table, items)
        self._advanced.set()
        self._advanced = anyio.Event()
