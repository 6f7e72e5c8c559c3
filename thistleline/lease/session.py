"""`async with lease(...)`: what runs inside has the lease, and is cancelled before its end.

    async with lease(council, "rollout", 10.0) as held:
        async with held.act(0.5):          # at most half a second; raises NoTime if that does not fit
            await resource.write(held.epoch, ...)

Promised: by the holder's clock, taken to run within a quarter of true time as the leader's is, no act begins
that could last past the right, and the scope is cancelled before its end. Not promised: that a process which
is stopped inside an act does nothing when it goes on, for it can't know. Only the resource can keep that off,
with the epoch (lease/fencing.py).
"""

import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from types import TracebackType

import anyio

from thistleline.lease.client import Council
from thistleline.lease.holder import Hold
from thistleline.lease.protocol import Elsewhere, Op
from thistleline.store.clock import boot_now

SECOND = 1_000_000_000
RELEASE_SPAN = 2.0  # s to tell the council; past it the lease ends there by itself


class Lost(Exception):
    """The lease ended while its holder was at work."""


class Refused(Exception):
    """It was not to be had; says why."""


class NoTime(Exception):
    """What is left of the right does not hold the act."""


class Held:
    """A lease that is held, for those who act on it."""

    def __init__(self, hold: Hold) -> None:
        self.hold = hold

    @property
    def epoch(self) -> int:
        """The fencing token: greater than that of every earlier holder of any name."""
        return self.hold.epoch

    def left(self) -> float:
        """Seconds of the right, by this machine's clock."""
        return max(0, self.hold.until - boot_now()) / SECOND if self.hold.phase == "held" else 0.0

    @asynccontextmanager
    async def act(self, longest: float) -> AsyncIterator[None]:
        """An act of so many seconds at most; its way to the resource counts too. Raises NoTime before it."""
        if not self.hold.fits(boot_now(), int(longest * SECOND)):
            raise NoTime(f"{self.left():.3f} s are left, {longest:.3f} s are wanted")
        with anyio.fail_after(longest):
            yield


class Keeper:
    """Carries out what a Hold asks for."""

    def __init__(self, council: Council, hold: Hold) -> None:
        self.council, self.hold = council, hold
        self.woken = anyio.Event()
        self.decided = anyio.Event()  # held or ended
        self.over = anyio.Event()
        council.hinted[hold.asker] = lambda: self.take("hinted")

    def take(self, kind: str, *told: object) -> None:
        for effect in self.hold.take(boot_now(), kind, *told):
            if effect[0] == "ask":
                self.group.start_soon(self._ask, effect[1], effect[2])
            else:
                self.decided.set()
                if effect[0] == "ended":
                    self.over.set()
        self.woken.set()

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        self.group = group
        self.take("start")
        while self.hold.phase != "ended":
            self.woken = anyio.Event()
            wait = (self.hold.due() - boot_now()) / SECOND
            with anyio.move_on_after(max(0.0, wait)):
                await self.woken.wait()
                continue
            self.take("elapsed")

    async def _ask(self, number: int, op: Op) -> None:
        answer = await self.council.ask(op)
        if isinstance(answer, Elsewhere) and answer.why == "no answer":
            self.take("unanswered", number)
        else:
            self.take("answered", number, answer)

    def close(self) -> None:
        self.council.hinted.pop(self.hold.asker, None)


class lease:
    """Holds `name` for as long as the block runs. `length`: seconds in which the council gives it to nobody
    else after it last heard of this holder; the right is three fifths of that. Raises Refused before the
    block; Lost after it, where it was cancelled as the lease had ended. What the block raises goes on."""

    def __init__(self, council: Council, name: str, length: float, wait: bool = True, who: str = "") -> None:
        self.council, self.name, self.length, self.wait = council, name, int(length * SECOND), wait
        self.who = (who or socket.gethostname())[:60]
        self.chance = Random(os.urandom(8))

    async def __aenter__(self) -> Held:
        while True:
            asker = f"{self.who}.{os.getpid()}.{os.urandom(6).hex()}"
            hold = Hold(self.name, asker, self.length, self.wait, boot_now(), self._spread)
            self.keeper = Keeper(self.council, hold)
            self.group = anyio.create_task_group()
            await self.group.__aenter__()
            try:
                self.group.start_soon(self.keeper.run, self.group)
                await self.keeper.decided.wait()
            except BaseException:
                await self._leave()
                raise
            if hold.phase == "held":
                self.scope = anyio.CancelScope()
                self.scope.__enter__()
                self.group.start_soon(self._end_with, self.scope)
                return Held(hold)
            await self._leave()
            if hold.epoch or not self.wait or "given back" not in hold.why:
                raise Refused(hold.why)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        over = self.keeper.over.is_set()
        swallowed = self.scope.__exit__(kind, error, trace)
        await self._leave()
        if over and (swallowed or error is None):
            raise Lost(self.keeper.hold.why)
        return swallowed

    def _spread(self, span: int) -> int:
        return self.chance.randrange(span + 1)

    async def _end_with(self, scope: anyio.CancelScope) -> None:
        await self.keeper.over.wait()
        scope.cancel()

    async def _leave(self) -> None:
        """Gives back what may be held, also where this is cancelled itself."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(RELEASE_SPAN):
            if self.keeper.hold.phase not in ("ended", "new"):
                self.keeper.take("release")
                await self.keeper.over.wait()
        self.keeper.close()
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)
