"""The ledger's writer, which writes on a thread, and recovery before the server listens."""

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
PROGRESS_INTERVAL = 1000 * MS  # between two lines of the log during recovery, ns

Log = Callable[..., None]  # takes an event and its facts


class LedgerWriter:
    """Writes to the ledger, one write at a time."""

    def __init__(self, store: LedgerStore, handle: Callable[[DurableEvent], None], group: TaskGroup) -> None:
        """Begin without a write under way; `handle` is told of the end of each."""
        self._store = store
        self._handle = handle
        self._group = group

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return what carries out each class of effect."""
        return {WriteLedger: self._start}

    def _start(self, effect: WriteLedger) -> None:
        self._group.start_soon(self._write, effect.write)

    async def _write(self, write: LedgerWrite) -> None:
        reason = ""
        try:
            await anyio.to_thread.run_sync(self._store.write, write)
        except OSError as error:
            reason = error.strerror or str(error)
        except Exception as error:  # whatever a disk brings ends no more than this write
            reason = f"{type(error).__name__}: {error}"
        self._handle(WriteFailed(reason) if reason else WriteCompleted())


class LedgerRecovery:
    """One reading of what earlier incarnations left, with its progress in the log."""

    def __init__(self, store: LedgerStore, ledger: LedgerState, log: Log) -> None:
        """Begin to count; `run` reads."""
        self._store = store
        self._ledger = ledger
        self._log = log
        self._begun_at = boot_now()
        self._logged_at = self._begun_at
        self._segments = 0
        self._bytes = 0

    def run(self) -> list[RecoveredEffect]:
        """Return all effects that still matter; blocks.

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
    """The state machine of a server with a ledger, with the value that it served in its figures."""


@dataclass(frozen=True, slots=True)
class LedgerParts:
    """What makes a server one with a ledger."""

    machine: DurableStateMachine
    store: LedgerStore

    def recover(self, log: Log) -> list[RecoveredEffect]:
        """Read what earlier incarnations left; blocks.

        Raises:
            ConfigurationError: The ledger can't be read.
        """
        return LedgerRecovery(self.store, self.machine.ledger, log).run()

    def make_writer(self, handle: Callable[[DurableEvent], None], group: TaskGroup) -> LedgerWriter:
        """Return what carries out the writes."""
        return LedgerWriter(self.store, handle, group)


def open_ledger(conf: LedgerConfig, options: MachineOptions, now: int, lifecycle: Lifecycle) -> LedgerParts:
    """Take the ledger's folder and make the state machine.

    Raises:
        ConfigurationError: The folder can't be had.
    """
    store = make_store(conf, options)
    hold(store.disk)
    machine = LedgerServerMachine(
        options, now, lifecycle, max_disk_bytes=conf.disk, boot_offset=boot_now() - now
    )
    return LedgerParts(machine, store)


def make_store(conf: LedgerConfig, options: MachineOptions) -> LedgerStore:
    """Return the store of the ledger's folder, which is not taken yet."""
    return LedgerStore(Disk(conf.folder), tuple(stage.name for stage in options.settings.stages))


def hold(disk: Disk) -> None:
    """Take the ledger's folder.

    Raises:
        ConfigurationError: Another program has it, or it can't be had.
    """
    try:
        disk.acquire()
    except DiskLockedError as error:
        raise ConfigurationError(str(error)) from error
    except OSError as error:
        raise ConfigurationError(f"the ledger can't be kept in {disk.folder}: {error.strerror}") from error
