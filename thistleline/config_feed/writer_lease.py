"""The lease that makes a keeper the writer; each keeper tries to hold it for as long as the keeper runs."""

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

# Range of the random delay before a keeper that lost the lease requests it again, as fractions of the lease's
# duration; meanwhile another keeper can acquire it.
REACQUIRE_DELAY_FRACTIONS = (0.3, 0.6)


class WriterLease:
    """Acquires and holds the writer's lease, and acquires it again after a loss."""

    def __init__(
        self,
        name: str,
        duration: int,
        client: LeaseClient,
        inbox: EventSink[LeaseAcquired | LeaseLost],
        log: Callable[..., None],
        random: Random,
    ) -> None:
        """Start without the lease.

        Args:
            name: Name of the keeper; each attempt has a unique owner id with this prefix.
            duration: Duration of the lease in ns.
            client: Client for the lease requests.
            inbox: Receives an event when the lease is acquired or lost.
            log: Called with an event's name and its fields.
            random: Source of the random delays.
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
        """Acquire and hold the lease repeatedly until `leave` is called."""
        while not self._leaving:
            await self._hold_once()
            if not self._leaving:
                await anyio.sleep(self._duration / SECOND * self._random.uniform(*REACQUIRE_DELAY_FRACTIONS))
        self._left.set()

    def release(self) -> None:
        """Release the lease; `run` tries to acquire it again after a delay."""
        if self._driver is not None:
            self._driver.handle(ReleaseRequested())

    async def leave(self) -> None:
        """Release the lease permanently; return when that is done."""
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
