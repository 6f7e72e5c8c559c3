"""The inbox of a service: events of its connections, handled in batches by its main loop."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import anyio
import anyio.lowlevel

from thistleline.config_feed.limits import HEARTBEAT_INTERVAL_NS, MS, SECOND
from thistleline.store.clock import boot_now

# The process counts as paused if its main loop took longer than a heartbeat interval plus this margin.
PAUSE_MARGIN_NS = 100 * MS
READ_TURNS_AFTER_PAUSE = 8  # turns of the event loop in which connections read what arrived in the pause

Event = TypeVar("Event")
EventIn = TypeVar("EventIn", contravariant=True)


class EventSink(Protocol[EventIn]):
    """The interface through which connections and other producers add events to an inbox."""

    def put(self, event: EventIn) -> None:
        """Add an event."""

    async def put_and_wait(self, events: Iterable[EventIn]) -> None:
        """Add events and return once the main loop has taken them."""


class EventInbox(Generic[Event]):
    """Holds events until the main loop takes all of them as a batch.

    The reader of a connection waits for the batch that takes its messages, so that the inbox holds at most
    one chunk of each peer's stream.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self._events: list[Event] = []
        self._arrived = anyio.Event()
        self._drained = anyio.Event()
        self._last_drained_at = 0  # ns of the boot clock; 0 before the first batch

    async def next_batch(self, deadline: int) -> list[Event]:
        """Wait for an event or for `deadline` (ns of the boot clock), and return all events.

        After a pause of the process there may be unread messages: they are read before the caller checks for
        timeouts.
        """
        self._last_drained_at = self._last_drained_at or boot_now()
        await self._wait((deadline - boot_now()) / SECOND)
        paused = boot_now() - self._last_drained_at > PAUSE_MARGIN_NS + HEARTBEAT_INTERVAL_NS
        for _ in range(READ_TURNS_AFTER_PAUSE if paused else 1):
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
        """Make the main loop recompute its deadline."""
        self._arrived.set()

    def drain(self) -> list[Event]:
        """Remove and return all events, and wake the producers that wait for this."""
        events, self._events = self._events, []
        self._drained.set()
        self._drained = anyio.Event()
        return events

    async def _wait(self, timeout: float) -> None:
        """Wait for an event, for at most `timeout` seconds."""
        if not self._events:
            self._arrived = anyio.Event()
            with anyio.move_on_after(max(0.0, timeout)):
                await self._arrived.wait()
