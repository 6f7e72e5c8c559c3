"""The ledger's writer: one work at a time on a thread, and recovery before the server listens."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup

from thistleline.config.schema import LedgerConfig
from thistleline.durable.reducer import KeepingReducer
from thistleline.durable.served_value import Worth
from thistleline.ledger.records import LedgerWrite, RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore, SegmentReading
from thistleline.server.configuration import Unusable
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk, DiskLockedError
from thistleline.store.frames import CorruptFrameError

MS = 1_000_000
PROGRESS_EVERY = 1000 * MS


class Keeper:
    def __init__(self, store: LedgerStore, take: Callable[..., None], group: TaskGroup) -> None:
        self.store, self.take, self.group = store, take, group

    def effects(self) -> dict[str, Callable[..., None]]:
        """What it carries out, by the kind of effect."""
        return {"write": self.write}

    def write(self, work: LedgerWrite) -> None:
        self.group.start_soon(self._write, work)

    async def _write(self, work: LedgerWrite) -> None:
        why = ""
        try:
            await anyio.to_thread.run_sync(self.store.write, work)
        except OSError as error:
            why = error.strerror or str(error)
        except Exception as error:  # whatever a disk brings ends no more than this work
            why = f"{type(error).__name__}: {error}"
        if why:
            self.take("unrecorded", why)
        else:
            self.take("recorded")


def recover(store: LedgerStore, ledger: LedgerState, tell: Callable[..., None]) -> list[RecoveredEffect]:
    """All that earlier lives left; blocks. Raises Unusable."""
    begun = told = boot_now()
    read = size = 0

    def progress(reading: SegmentReading) -> None:
        nonlocal told, read, size
        read, size = read + 1, size + reading.size
        if reading.damaged_bytes or reading.torn:
            facts = {"segment": reading.segment, "bytes": reading.damaged_bytes, "torn": reading.torn}
            tell("ledger", state="damaged", **facts)
        if boot_now() - told >= PROGRESS_EVERY:
            told = boot_now()
            tell("ledger", state="recovering", segments=read, bytes=size, effects=len(ledger.effects))

    try:
        found = store.recover(ledger, progress)
    except (CorruptFrameError, OSError) as error:
        raise Unusable(f"the ledger can't be read: {error}") from error
    unsettled = sum(1 for effect in found if effect.outcome is None)
    facts = {"effects": len(found), "unsettled": unsettled, "segments": read, "bytes": size}
    tell("ledger", state="recovered", ms=(boot_now() - begun) // MS, **facts)
    return found


class Told(Worth, KeepingReducer):
    """With a ledger, and with what its work was worth in its figures."""


def furnish(
    conf: LedgerConfig, told: tuple[Any, ...], take: Callable[..., None], tell: Callable[..., None]
) -> tuple[
    KeepingReducer, Callable[[], list[RecoveredEffect]], Callable[[TaskGroup], dict[str, Callable[..., None]]]
]:
    """Takes the folder: the reducer, what recovers it, and what makes the writer's effects in a task group.
    `told` is what any reducer is told, its bench first and the time seventh. Raises Unusable."""
    store = store_of(conf, told)
    hold(store.disk)
    reducer = Told(*told, disk_bound=conf.disk, boot_ahead=boot_now() - told[6])
    return (
        reducer,
        lambda: recover(store, reducer.ledger, tell),
        lambda group: Keeper(store, take, group).effects(),
    )


def store_of(conf: LedgerConfig, told: tuple[Any, ...]) -> LedgerStore:
    return LedgerStore(Disk(conf.folder), tuple(stage.name for stage in told[0].stages))


def hold(disk: Disk) -> None:
    """Takes the folder. Raises Unusable."""
    try:
        disk.acquire()
    except DiskLockedError as error:
        raise Unusable(str(error)) from error
    except OSError as error:
        raise Unusable(f"the ledger can't be kept in {disk.folder}: {error.strerror}") from error
