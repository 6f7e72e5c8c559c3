"""The writer's lease: a keeper wants it for as long as it runs."""

from __future__ import annotations

import os
from collections.abc import Callable
from random import Random

import anyio

from thistleline.config_feed.inbox import EventSink
from thistleline.config_feed.limits import SECOND
from thistleline.config_feed.recovery import LEASE_NAME
from thistleline.config_feed.writer_events import LeaseAcquired, LeaseLost
from thistleline.lease.client import LeaseClient
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_events import ReleaseRequested
from thistleline.lease.session import HolderDriver
from thistleline.store.clock import boot_now

REACQUIRE_DELAY = (0.3, 0.6)  # of the lease's duration: who has lost it lets another one have it first


class WriterLease:
    """Acquires the writer's lease, holds it, and acquires it anew after it was lost."""

    def __init__(
        self,
        name: str,
        duration: int,
        client: LeaseClient,
        inbox: EventSink[LeaseAcquired | LeaseLost],
        log: Callable[..., None],
        random: Random,
    ) -> None:
        """Begin without the lease.

        Args:
            name: Of the keeper; each attempt has an owner id of its own that begins with it.
            duration: Of the lease, in ns.
            client: Where to ask for it.
            inbox: Hears when the lease is acquired and lost.
            log: Called with an event's name and its fields.
            random: Source of the random waits.
        """
        self._name = name
        self._duration = duration
        self._client = client
        self._inbox = inbox
        self._log = log
        self._random = random
        self._driver: HolderDriver | None = None
        self._leaving = False
        self._left = anyio.Event()

    async def run(self) -> None:
        """Want the lease until `leave` is called."""
        while not self._leaving:
            await self._hold_once()
            if not self._leaving:
                await anyio.sleep(self._duration / SECOND * self._random.uniform(*REACQUIRE_DELAY))
        self._left.set()

    def release(self) -> None:
        """Give the lease back; it will be wanted again after a while."""
        if self._driver is not None:
            self._driver.handle(ReleaseRequested())

    async def leave(self) -> None:
        """Give the lease back for good, and return once that is done."""
        self._leaving = True
        if self._driver is not None and self._driver.holder.phase != "ended":
            self._driver.handle(ReleaseRequested())
            await self._left.wait()

    async def _hold_once(self) -> None:
        owner = f"{self._name}.{os.getpid()}.{os.urandom(6).hex()}"
        holder = LeaseHolder(LEASE_NAME, owner, self._duration, True, boot_now(), self._random_delay)
        driver = self._driver = HolderDriver(self._client, holder)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(driver.run, tasks)
            await driver.settled.wait()
            if holder.phase == "held":
                self._log("holds", epoch=holder.epoch)
                self._inbox.put(LeaseAcquired(holder.epoch))
                await driver.ended.wait()
                self._log("lost", epoch=holder.epoch, why=holder.end_reason)
                self._inbox.put(LeaseLost(holder.end_reason))
            tasks.cancel_scope.cancel()
        driver.close()

    def _random_delay(self, max_delay: int) -> int:
        return self._random.randrange(max_delay + 1)
