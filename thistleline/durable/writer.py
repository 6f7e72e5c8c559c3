"""The ledger's writer, which writes on a worker thread, and recovery before the server listens."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup

from thistleline.config.schema import LedgerConfig
from thistleline.durable.effects import WriteLedger
from thistleline.durable.events import DurableEvent, WriteCompleted, WriteFailed
from thistleline.durable.served_value import ServedValueTracker
from thistleline.durable.state_machine import DurableStateMachine
from thistleline.ledger.records import LedgerWrite, RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore, SegmentReading
from thistleline.server.configuration import ConfigurationError
from thistleline.state.options import MachineOptions
from thistleline.state.phases import Lifecycle
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk, DiskLockedError
from thistleline.store.frames import CorruptFrameError

MS = 1_000_000
PROGRESS_INTERVAL = 1000 * MS  # between progress lines in the log during recovery, ns

Log = Callable[..., None]  # takes a log event and its fields


class LedgerWriter:
    """Writes to the ledger, one write at a time."""

    def __init__(self, store: LedgerStore, handle: Callable[[DurableEvent], None], group: TaskGroup) -> None:
        """Create a writer without a write in progress; `handle` gets an event at the end of each write."""
        self._store = store
        self._handle = handle
        self._group = group

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each class of effect."""
        return {WriteLedger: self._start}

    def _start(self, effect: WriteLedger) -> None:
        self._group.start_soon(self._write, effect.write)

    async def _write(self, write: LedgerWrite) -> None:
        reason = ""
        try:
            await anyio.to_thread.run_sync(self._store.write, write)
        except OSError as error:
            reason = error.strerror or str(error)
        except Exception as error:  # any other failure also ends only this write
            reason = f"{type(error).__name__}: {error}"
        self._handle(WriteFailed(reason) if reason else WriteCompleted())


class LedgerRecovery:
    """Reads the ledger that earlier processes wrote, and logs the progress of reading."""

    def __init__(self, store: LedgerStore, ledger: LedgerState, log: Log) -> None:
        """Create a reader and start to measure the time of the recovery; `run` reads the ledger."""
        self._store = store
        self._ledger = ledger
        self._log = log
        self._begun_at = boot_now()
        self._logged_at = self._begun_at
        self._segments = 0
        self._bytes = 0

    def run(self) -> list[RecoveredEffect]:
        """Return all effects (runs with an idempotency key) that have not expired; blocks.

        Raises:
            ConfigurationError: The ledger can't be read.
        """
        try:
            effects = self._store.recover(self._ledger, self._note_segment)
        except (CorruptFrameError, OSError) as error:
            raise ConfigurationError(f"the ledger can't be read: {error}") from error
        self._log(
            "ledger",
            state="recovered",
            ms=(boot_now() - self._begun_at) // MS,
            effects=len(effects),
            unsettled=sum(1 for effect in effects if effect.outcome is None),
            unmatched=len(self._ledger.unmatched),
            segments=self._segments,
            bytes=self._bytes,
        )
        return effects

    def _note_segment(self, reading: SegmentReading) -> None:
        self._segments += 1
        self._bytes += reading.size
        if reading.damaged_bytes or reading.torn:
            self._log(
                "ledger",
                state="damaged",
                segment=reading.segment,
                bytes=reading.damaged_bytes,
                torn=reading.torn,
            )
        if boot_now() - self._logged_at >= PROGRESS_INTERVAL:
            self._logged_at = boot_now()
            self._log(
                "ledger",
                state="recovering",
                segments=self._segments,
                bytes=self._bytes,
                effects=len(self._ledger.effects),
            )


class LedgerServerMachine(ServedValueTracker, DurableStateMachine):
    """The state machine of a server with a ledger, with counters of its tasks' utility."""


@dataclass(frozen=True, slots=True)
class LedgerParts:
    """The parts that a server with a ledger has in addition to those of other servers."""

    machine: DurableStateMachine
    store: LedgerStore

    def recover(self, log: Log) -> list[RecoveredEffect]:
        """Read the effects that earlier processes recorded; blocks.

        Raises:
            ConfigurationError: The ledger can't be read.
        """
        return LedgerRecovery(self.store, self.machine.ledger, log).run()

    def make_writer(self, handle: Callable[[DurableEvent], None], group: TaskGroup) -> LedgerWriter:
        """Return a writer that reports to `handle`."""
        return LedgerWriter(self.store, handle, group)


def open_ledger(conf: LedgerConfig, options: MachineOptions, now: int, lifecycle: Lifecycle) -> LedgerParts:
    """Lock the ledger's folder and create the state machine.

    Raises:
        ConfigurationError: The folder can't be locked.
    """
    store = make_store(conf, options)
    lock_ledger(store.disk)
    machine = LedgerServerMachine(
        options, now, lifecycle, max_disk_bytes=conf.disk, boot_offset=boot_now() - now
    )
    return LedgerParts(machine, store)


def make_store(conf: LedgerConfig, options: MachineOptions) -> LedgerStore:
    """Return the store of the ledger's folder, without locking the folder."""
    return LedgerStore(Disk(conf.folder), tuple(stage.name for stage in options.settings.stages))


def lock_ledger(disk: Disk) -> None:
    """Lock the ledger's folder.

    Raises:
        ConfigurationError: Another program has locked the folder, or it can't be used.
    """
    try:
        disk.acquire()
    except DiskLockedError as error:
        raise ConfigurationError(str(error)) from error
    except OSError as error:
        raise ConfigurationError(
            f"the ledger folder {disk.folder} can't be used: {error.strerror}"
        ) from error
