"""What the commands on a ledger's folder do."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from thistleline.ledger import format as ledger_format
from thistleline.ledger.compaction import doubt_record
from thistleline.ledger.records import LedgerWrite, RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore, SegmentReading
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk, DiskLockedError
from thistleline.store.frames import CorruptFrameError

ALL = 1 << 62


@contextmanager
def look(folder: Path) -> Iterator[tuple[LedgerState, list[RecoveredEffect], list[SegmentReading]]]:
    """The folder's ledger, held against a server that would write meanwhile."""
    disk = Disk(folder)
    try:
        disk.acquire()
        ledger = LedgerState(ALL, ALL, boot_now(), lambda _: None)
        readings: list[SegmentReading] = []
        found = LedgerStore(disk, stages(disk)).recover(ledger, readings.append)
        yield ledger, found, readings
    except (DiskLockedError, CorruptFrameError, OSError) as error:
        raise click.ClickException(str(error)) from error
    finally:
        disk.release()


def stages(disk: Disk) -> tuple[str, ...]:
    """Of all segments that have a head that can be read."""
    names: dict[str, None] = {}
    for number, _ in disk.segments():
        try:
            names |= dict.fromkeys(ledger_format.decode_header(disk.read(number)).stages)
        except CorruptFrameError:
            continue
    return tuple(names)


def rewrite(folder: Path, ledger: LedgerState, found: list[RecoveredEffect]) -> int:
    """The folder's bytes after all that matters was written anew; the old go once that is durable."""
    disk = Disk(folder)  # the folder is held already
    intents = [effect.intent for effect in ledger.effects.values()]
    kept = {one.number: one.result or b"" for one in found}
    outcomes = [
        ledger_format.Outcome(
            number, ledger_format.OUTCOME_KINDS.index(effect.outcome), kept.get(number, b"")
        )
        for number, effect in ledger.effects.items()
        if effect.outcome is not None
    ] + [
        doubt_record(number, effect.doubt_deadline)
        for number, effect in ledger.effects.items()
        if effect.outcome is None and effect.doubt_deadline is not None
    ]
    group = ledger_format.RecordGroup(intents, outcomes)
    LedgerStore(disk, stages(disk)).write(
        LedgerWrite(ledger.last_segment_number + 1, True, group, tuple(ledger.segments), True)
    )
    disk.release()
    return sum(size for _, size in disk.segments())
