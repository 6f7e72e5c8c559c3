"""Reads the whole folder of a ledger without a server, and rewrites it as one segment."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import click

from thistleline.ledger import format as ledger_format
from thistleline.ledger.compaction import doubt_record
from thistleline.ledger.records import LedgerWrite, RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore, SegmentReading
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk, DiskLockedError
from thistleline.store.frames import CorruptFrameError

NO_LIMIT = 1 << 62  # bytes; stands for no limit on the size of the ledger


class LedgerContents(NamedTuple):
    """The contents of a ledger's folder.

    Attributes:
        state: The ledger as a server would recover it.
        recovered: The live effects.
        readings: Result of reading each segment.
    """

    state: LedgerState
    recovered: list[RecoveredEffect]
    readings: list[SegmentReading]


@contextmanager
def open_ledger(folder: Path) -> Iterator[LedgerContents]:
    """Lock the folder, so that no server writes to it in the meantime, and read all of it.

    Raises:
        click.ClickException: A server has locked the folder, or it can't be read; errors of these kinds in
            the body of the `with` statement are converted too.
    """
    disk = Disk(folder)
    try:
        disk.acquire()
        state = LedgerState(NO_LIMIT, NO_LIMIT, boot_now(), lambda _: None)
        readings: list[SegmentReading] = []
        recovered = LedgerStore(disk, _stage_names(disk)).recover(state, readings.append)
        yield LedgerContents(state, recovered, readings)
    except (DiskLockedError, CorruptFrameError, OSError) as error:
        raise click.ClickException(str(error)) from error
    finally:
        disk.release()


def _stage_names(disk: Disk) -> tuple[str, ...]:
    """Return the names of the stages in all segments whose header can be read."""
    names: dict[str, None] = {}  # an ordered set
    for number, _ in disk.segments():
        try:
            header = ledger_format.decode_header(disk.read(number))
        except CorruptFrameError:
            continue
        names |= dict.fromkeys(header.stages)
    return tuple(names)


def rewrite_ledger(folder: Path, contents: LedgerContents) -> int:
    """Write the live records into a new segment, then remove the old ones; `open_ledger` must hold the lock.

    Returns:
        Size of all segments afterwards, bytes.
    """
    state = contents.state
    write = LedgerWrite(
        segment=state.last_segment_number + 1,
        creates_segment=True,
        group=_all_records(contents),
        obsolete_segments=tuple(state.segments),
        is_compaction=True,
    )
    disk = Disk(folder)  # not locked: the lock that `open_ledger` took covers it
    try:
        LedgerStore(disk, _stage_names(disk)).write(write)
    finally:
        disk.release()
    return sum(size for _, size in disk.segments())


def _all_records(contents: LedgerContents) -> ledger_format.RecordGroup:
    effects = contents.state.effects
    results = {effect.number: effect.result or b"" for effect in contents.recovered}
    intents = [effect.intent for effect in effects.values()]
    outcomes = []
    doubts = []
    for number, effect in effects.items():
        if effect.outcome is not None:
            kind = ledger_format.OUTCOME_KINDS.index(effect.outcome)
            outcomes.append(ledger_format.Outcome(number, kind, results.get(number, b"")))
        elif effect.doubt_deadline is not None:
            doubts.append(doubt_record(number, effect.doubt_deadline))
    return ledger_format.RecordGroup(intents, outcomes + doubts)
