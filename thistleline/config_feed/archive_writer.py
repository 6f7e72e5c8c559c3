"""Writes the archive of one process: one write at a time, in a thread.

Changes of the table that arrive during a write are written together by the next one.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import anyio.to_thread

from thistleline.config_feed.archive import Archive
from thistleline.config_feed.archive_format import ArchivedStep
from thistleline.config_feed.history import Items
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import FeedTable
from thistleline.store.disk import Disk

PENDING_STEPS_LIMIT = 1024  # unwritten updates (steps); beyond this number the whole table is written instead
RETRY_DELAY = 1.0  # s between a failed write and the next one


class ArchiveWriter:
    """Locks a folder and writes the newest table to it, as a context manager or until `close`.

    Attributes:
        archive: The archive that is written.
        table: The newest table; at first the recovered one, or an empty table.
        generation: How often the table was replaced without steps.
        on_durable: Called with the sequence number that a restart would recover.
        is_pending: Whether the newest table is not part of a write yet.
    """

    def __init__(
        self, folder: Path, kind: Kind, log: Callable[..., None], on_durable: Callable[[int], None]
    ) -> None:
        """Lock the folder and recover the table from it; blocks.

        Args:
            folder: Folder of the archive; created if it does not exist.
            kind: Which sections the table has: "all", or "wide" (without tenants).
            log: Called with an event's name and its fields.
            on_durable: Called with the sequence number that a restart would recover.

        Raises:
            DiskLockedError: Another program has locked the folder.
            OSError: The folder can't be read.
        """
        self.on_durable = on_durable
        self._log = log
        self._disk = Disk(folder, "feed")
        self._disk.acquire()
        try:
            self.archive = Archive(self._disk, kind)
            self.table = self.archive.recover() or FeedTable()
        except BaseException:
            self._disk.release()
            raise
        if self.archive.recovery_failure:
            log("archive", why=self.archive.recovery_failure)
        self.generation = 0
        self.is_pending = False
        self._steps: list[ArchivedStep] = []
        self._wake_up = anyio.Event()
        self._idle = anyio.Event()
        self._failure = ""  # why the newest write failed

    def __enter__(self) -> ArchiveWriter:
        """Return itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Release the folder."""
        self.close()

    @property
    def durable(self) -> int:
        """Sequence number that a restart would recover."""
        return self.archive.durable

    def append(self, table: FeedTable, first: int, items: Items) -> None:
        """Schedule a write of a table that differs from the state `first` by `items`."""
        self.table = table
        if len(self._steps) < PENDING_STEPS_LIMIT:
            self._steps.append(ArchivedStep(first, table.sequence, items))
        self._wake()

    def replace(self, table: FeedTable) -> None:
        """Schedule a write of a whole table, as no step leads to it from the previous one."""
        self.table = table
        self.generation += 1
        self._steps.clear()
        self._wake()

    def _wake(self) -> None:
        self.is_pending = True
        self._wake_up.set()

    async def run(self) -> None:
        """Write until cancelled; a write in progress is completed."""
        self.on_durable(self.archive.durable)
        while True:
            if not self.is_pending:
                self._idle.set()
                self._wake_up = anyio.Event()
                await self._wake_up.wait()
                self._idle = anyio.Event()
            await self._write()

    async def _write(self) -> None:
        table = self.table
        steps = self._steps
        generation = self.generation
        self._steps = []
        self.is_pending = False
        try:
            durable = await anyio.to_thread.run_sync(self.archive.write, table, steps)
        except Exception as error:  # after any error the next write contains the whole table
            self._set_failure(getattr(error, "strerror", None) or f"{type(error).__name__}: {error}")
            self.is_pending = True
            await anyio.sleep(RETRY_DELAY)
        else:
            self._set_failure("")
            if generation == self.generation:  # otherwise the written table may have been replaced
                self.on_durable(durable)

    def _set_failure(self, failure: str) -> None:
        if failure != self._failure:
            self._failure = failure
            fields: dict[str, Any] = {"state": "failing", "why": failure} if failure else {"state": "well"}
            self._log("disk", **fields)

    async def flush(self) -> None:
        """Return when everything has been written."""
        while self.is_pending or not self._idle.is_set():
            await self._idle.wait()

    def close(self) -> None:
        """Release the folder."""
        self._disk.release()
