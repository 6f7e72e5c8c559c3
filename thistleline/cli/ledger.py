"""What the commands on a ledger's folder do."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from thistleline.ledger import format as ledger_format
from thistleline.ledger.state import Book, Found, Work
from thistleline.ledger.store import Reading, Store
from thistleline.store.clock import boot_now
from thistleline.store.disk import Disk, DiskLockedError
from thistleline.store.frames import CorruptFrameError

ALL = 1 << 62


@contextmanager
def look(folder: Path) -> Iterator[tuple[Book, list[Found], list[Reading]]]:
    """The folder's book, held against a server that would write meanwhile."""
    disk = Disk(folder)
    try:
        disk.acquire()
        book, readings = Book(ALL, ALL, boot_now(), lambda _: None), list[Reading]()
        found = Store(disk, stages(disk)).recover(book, readings.append)
        yield book, found, readings
    except (DiskLockedError, CorruptFrameError, OSError) as error:
        raise click.ClickException(str(error)) from error
    finally:
        disk.release()


def stages(disk: Disk) -> tuple[str, ...]:
    """Of all segments that have a head that can be read."""
    names: dict[str, None] = {}
    for number, _ in disk.segments():
        try:
            names |= dict.fromkeys(ledger_format.read_head(disk.read(number))[0])
        except CorruptFrameError:
            continue
    return tuple(names)


def rewrite(folder: Path, book: Book, found: list[Found]) -> int:
    """The folder's bytes after all that matters was written anew; the old go once that is durable."""
    disk = Disk(folder)  # the folder is held already
    intents = [effect.intent for effect in book.effects.values()]
    kept = {one.number: one.result or b"" for one in found}
    outcomes = [
        ledger_format.Outcome(number, ledger_format.HOW.index(effect.how), kept.get(number, b""))
        for number, effect in book.effects.items()
        if effect.how is not None
    ] + [
        ledger_format.Outcome(
            number, ledger_format.HOW.index("doubtful"), ledger_format.DOUBT.pack(effect.doubt)
        )
        for number, effect in book.effects.items()
        if effect.how is None and effect.doubt is not None
    ]
    group = ledger_format.Group(intents, outcomes)
    Store(disk, stages(disk)).write(Work(book.segment_numbers + 1, True, group, tuple(book.segments), True))
    disk.release()
    return sum(size for _, size in disk.segments())
