"""The archive of one process: one write at a time, in a thread; what waits meanwhile goes together."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

from thistleline.config_feed.archive import Archive, Step
from thistleline.config_feed.history import Items
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import Table
from thistleline.store.disk import Disk

WAITING_BOUND = 1024  # steps; past it the whole table is written instead
AGAIN = 1.0  # s after trouble


class Persist:
    def __init__(
        self, folder: Path, kind: Kind, log: Callable[..., None], durable: Callable[[int], None]
    ) -> None:
        """Takes the folder and reads it; blocks. `durable` hears the number that a restart would find.
        Raises DiskLockedError, OSError."""
        self.log, self.tell = log, durable
        self.disk = Disk(folder, "feed")
        self.disk.acquire()
        try:
            self.archive = Archive(self.disk, kind)
            self.table = self.archive.recover() or Table()
        except BaseException:
            self.disk.release()
            raise
        if self.archive.why:
            log("archive", why=self.archive.why)
        self.steps: list[Step] = []
        self.line = 0  # how often there was a state that nothing led to
        self.waits = False
        self.more, self.done = anyio.Event(), anyio.Event()
        self.failing = ""

    @property
    def durable(self) -> int:
        return self.archive.durable

    def step(self, table: Table, first: int, items: Items) -> None:
        self.table = table
        if len(self.steps) < WAITING_BOUND:
            self.steps.append((first, table.number, items))
        self._wake()

    def anew(self, table: Table) -> None:
        self.table = table
        self.line += 1
        self.steps.clear()
        self._wake()

    def _wake(self) -> None:
        self.waits = True
        self.more.set()

    async def run(self) -> None:
        """Until it is cancelled; a write that has begun is finished."""
        self.tell(self.archive.durable)
        while True:
            if not self.waits:
                self.done.set()
                self.more = anyio.Event()
                await self.more.wait()
                self.done = anyio.Event()
            table, steps, line = self.table, self.steps, self.line
            self.steps, self.waits = [], False
            try:
                durable = await anyio.to_thread.run_sync(self.archive.write, table, steps)
            except Exception as error:  # whatever a disk brings, the next write says it all
                self._of_disk(getattr(error, "strerror", None) or f"{type(error).__name__}: {error}")
                self.waits = True
                await anyio.sleep(AGAIN)
            else:
                self._of_disk("")
                if line == self.line:  # else it may be the number of a state that was given up
                    self.tell(durable)

    def _of_disk(self, why: str) -> None:
        if why != self.failing:
            self.failing = why
            facts: dict[str, Any] = {"state": "failing", "why": why} if why else {"state": "well"}
            self.log("disk", **facts)

    async def flushed(self) -> None:
        """Until nothing waits to be written."""
        while self.waits or not self.done.is_set():
            await self.done.wait()

    def close(self) -> None:
        self.disk.release()
