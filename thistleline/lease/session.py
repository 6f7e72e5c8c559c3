"""Holds a lease while a block of code runs; the block is cancelled before the lease ends.

    async with lease(client, "rollout", 10.0) as held:
        # For at most half a second; raises LeaseTimeoutError if the lease ends sooner.
        async with held.act(0.5):
            await resource.write(held.epoch, ...)

Guaranteed, if the rates of the holder's and the leader's clocks are within a quarter of true time: no
operation begins that could last beyond the end of the lease, and the block is cancelled before that end. Not
guaranteed: that a process which is suspended during an operation does not continue it on resuming, as it
can't notice the suspension. Only the resource can prevent that, with the fencing token (lease/fencing.py).
"""

import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from types import TracebackType

import anyio

from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseRefusedError, LeaseTimeoutError
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_effects import LeaseAcquired, LeaseEnded, SendRequest
from thistleline.lease.holder_events import (
    AcquireStarted,
    AnswerReceived,
    GrantHinted,
    HolderEvent,
    ReleaseRequested,
    RequestFailed,
)
from thistleline.lease.protocol import Op, Unavailable
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now

SECOND = 1_000_000_000  # ns
RELEASE_TIMEOUT = 2.0  # s; a lease that is not released by this time expires at the cluster
MAX_OWNER_LENGTH = 60  # characters of the owner's name in a holder id


class HeldLease:
    """A lease that is held, for the code that acts while holding it."""

    def __init__(self, holder: LeaseHolder) -> None:
        """Wrap the state machine that holds the lease."""
        self.holder = holder

    @property
    def epoch(self) -> int:
        """The fencing token: greater than the token of every earlier holder of any lease."""
        return self.holder.epoch

    def remaining(self) -> float:
        """Return the seconds for which the holder may still act, by this machine's clock."""
        if self.holder.phase != "held":
            return 0.0
        return max(0, self.holder.valid_until - boot_now()) / SECOND

    @asynccontextmanager
    async def act(self, duration: float) -> AsyncIterator[None]:
        """Run an operation of at most `duration` seconds, including the transfer to the resource.

        Raises:
            LeaseTimeoutError: The lease is valid for less than `duration`; raised before the block.
            TimeoutError: The block took longer, and was cancelled.
        """
        if not self.holder.fits(boot_now(), int(duration * SECOND)):
            raise LeaseTimeoutError(
                f"the lease is valid for {self.remaining():.3f} s, the operation needs {duration:.3f} s"
            )
        with anyio.fail_after(duration):
            yield


class HolderDriver:
    """Runs a `LeaseHolder`: sends its requests and delivers answers, hints and deadlines to it.

    Attributes:
        settled: Set once the lease is held or the attempt has ended.
        ended: Set once the attempt has ended.
    """

    def __init__(self, client: LeaseClient, holder: LeaseHolder) -> None:
        """Register for grant hints to the holder; `close` unregisters."""
        self.client = client
        self.holder = holder
        self.woken = anyio.Event()
        self.settled = anyio.Event()
        self.ended = anyio.Event()
        client.hint_callbacks[holder.holder_id] = lambda: self.handle(GrantHinted())

    def handle(self, event: HolderEvent) -> None:
        """Pass an event to the holder at the current time and carry out the effects."""
        for effect in self.holder.handle(boot_now(), event):
            match effect:
                case SendRequest(number, op):
                    self.group.start_soon(self._request, number, op)
                case LeaseAcquired():
                    self.settled.set()
                case LeaseEnded():
                    self.settled.set()
                    self.ended.set()
        self.woken.set()

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Acquire the lease and renew it until it ends; requests run in `group`."""
        self.group = group
        self.handle(AcquireStarted())
        while self.holder.phase != "ended":
            self.woken = anyio.Event()
            wait = (self.holder.next_deadline() - boot_now()) / SECOND
            with anyio.move_on_after(max(0.0, wait)):
                await self.woken.wait()
                continue
            self.handle(DeadlineReached())

    def close(self) -> None:
        """Unregister from grant hints."""
        self.client.hint_callbacks.pop(self.holder.holder_id, None)

    async def _request(self, number: int, op: Op) -> None:
        answer = await self.client.request(op)
        if isinstance(answer, Unavailable) and answer.reason == "no answer":
            self.handle(RequestFailed(number))
        else:
            self.handle(AnswerReceived(number, answer))


def lease(client: LeaseClient, name: str, ttl: float, wait: bool = True, owner: str = "") -> "LeaseSession":
    """Return an async context manager that holds the lease `name` for as long as its block runs.

    Args:
        client: The cluster that grants the lease.
        name: Name of the lease.
        ttl: Seconds after this holder's last request before the cluster may grant the lease to another; the
            holder itself may act for three fifths of that.
        wait: Whether to wait while another holds the lease.
        owner: Shown to people as the holder; the host's name by default.
    """
    return LeaseSession(client, name, ttl, wait, owner)


class LeaseSession:
    """Holds a lease for as long as its `async with` block runs; made by `lease`.

    Raises `LeaseRefusedError` before the block if the lease can't be acquired, and `LeaseLostError` after the
    block if the lease ended during it. Exceptions of the block itself propagate.
    """

    def __init__(
        self, client: LeaseClient, name: str, ttl: float, wait: bool = True, owner: str = ""
    ) -> None:
        """See `lease`."""
        self.client = client
        self.name = name
        self.ttl = int(ttl * SECOND)
        self.wait = wait
        self.owner = (owner or socket.gethostname())[:MAX_OWNER_LENGTH]
        self.rng = Random(os.urandom(8))

    async def __aenter__(self) -> HeldLease:
        """Acquire the lease.

        Raises:
            LeaseRefusedError: The lease can't be acquired; the message gives the reason.
        """
        while True:
            holder_id = f"{self.owner}.{os.getpid()}.{os.urandom(6).hex()}"
            holder = LeaseHolder(self.name, holder_id, self.ttl, self.wait, boot_now(), self._jitter)
            await self._start(holder)
            if holder.phase == "held":
                self.scope = anyio.CancelScope()
                self.scope.__enter__()
                self.group.start_soon(self._cancel_at_end, self.scope)
                return HeldLease(holder)
            await self._release()
            # A waiter that lost its place in the queue, because it sent nothing in time, requests a new one;
            # the cluster's answer in this case is recognized by the words "given back".
            if holder.epoch or not self.wait or "given back" not in holder.end_reason:
                raise LeaseRefusedError(holder.end_reason)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        """Release the lease.

        Raises:
            LeaseLostError: The lease ended before the block did.
        """
        ended = self.driver.ended.is_set()
        suppressed = self.scope.__exit__(kind, error, trace)
        await self._release()
        if ended and (suppressed or error is None):
            raise LeaseLostError(self.driver.holder.end_reason)
        return suppressed

    async def _start(self, holder: LeaseHolder) -> None:
        """Run the holder until it holds the lease or has ended."""
        self.driver = HolderDriver(self.client, holder)
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        try:
            self.group.start_soon(self.driver.run, self.group)
            await self.driver.settled.wait()
        except BaseException:
            await self._release()
            raise

    async def _release(self) -> None:
        """Release the lease or place in the queue, even if the calling task is cancelled."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(RELEASE_TIMEOUT):
            if self.driver.holder.phase not in ("ended", "new"):
                self.driver.handle(ReleaseRequested())
                await self.driver.ended.wait()
        self.driver.close()
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)

    async def _cancel_at_end(self, scope: anyio.CancelScope) -> None:
        await self.driver.ended.wait()
        scope.cancel()

    def _jitter(self, duration: int) -> int:
        return self.rng.randrange(duration + 1)
