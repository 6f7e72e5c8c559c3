"""The inbox of a service: events that its connections bring, taken in batches by its main loop."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import anyio
import anyio.lowlevel

from thistleline.config_feed.limits import HEARTBEAT_INTERVAL_NS, MS, SECOND
from thistleline.store.clock import boot_now

STANDSTILL = 100 * MS  # ns past a heartbeat; after a pause as long, all that lies unread is read first
READ_FIRST = 8  # turns of the event loop

Event = TypeVar("Event")
EventIn = TypeVar("EventIn", contravariant=True)


class EventSink(Protocol[EventIn]):
    """The inbox, as those see it who put events into it."""

    def put(self, event: EventIn) -> None:
        """Add an event."""

    async def put_and_wait(self, events: Iterable[EventIn]) -> None:
        """Add events and return once the main loop has taken them."""


class EventInbox(Generic[Event]):
    """Holds what came in until the main loop takes it, all at once.

    A connection's reader waits for the batch that takes its own messages, so that what waits here of one peer
    is at most one piece of its stream.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self._events: list[Event] = []
        self._arrived = anyio.Event()
        self._drained = anyio.Event()
        self._last_drained_at = 0  # ns; 0: never

    async def next_batch(self, deadline: int) -> list[Event]:
        """Return what came in, once there is something or `deadline` (ns of the boot clock) has come.

        After a pause of the process there may be messages that lie unread: they are read before anybody
        judges by the clock.
        """
        self._last_drained_at = self._last_drained_at or boot_now()
        await self._wait((deadline - boot_now()) / SECOND)
        paused = boot_now() - self._last_drained_at > STANDSTILL + HEARTBEAT_INTERVAL_NS
        for _ in range(READ_FIRST if paused else 1):
            await anyio.lowlevel.checkpoint()
        self._last_drained_at = boot_now()
        return self.drain()

    def put(self, event: Event) -> None:
        """Add an event."""
        self._events.append(event)
        self.wake()

    async def put_and_wait(self, events: Iterable[Event]) -> None:
        """Add events and return once the main loop has taken them."""
        self._events.extend(events)
        self.wake()
        await self._drained.wait()

    def wake(self) -> None:
        """Have the main loop look at its deadline again."""
        self._arrived.set()

    def drain(self) -> list[Event]:
        """Take out all events and release those who wait for that."""
        events, self._events = self._events, []
        self._drained.set()
        self._drained = anyio.Event()
        return events

    async def _wait(self, timeout: float) -> None:
        """Wait for an event, for so many seconds at most."""
        if not self._events:
            self._arrived = anyio.Event()
            with anyio.move_on_after(max(0.0, timeout)):
                await self._arrived.wait()
