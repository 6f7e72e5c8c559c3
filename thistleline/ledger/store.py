"""Carries the book's works out, and reads back what an earlier life left. All I/O of the ledger.

`write` blocks for as long as the disk takes; the server calls it on a thread of its own, so that neither a
slow disk nor a sync stalls another task.
"""

import gc
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import islice
from typing import NamedTuple

from thistleline.ledger import format as ledger_format
from thistleline.ledger.state import Book, Found, Work
from thistleline.store.disk import Disk, boot_id
from thistleline.store.frames import CorruptFrameError

RECORDS_A_FRAME, BYTES_A_FRAME = 4096, 1024 * 1024


class Reading(NamedTuple):
    """What became of one segment."""

    segment: int
    size: int
    intents: int
    outcomes: int
    torn: bool  # its end is missing, as a kill leaves it
    damaged: int  # bytes in its middle that can't be read
    whole: int  # where the last whole frame ends


class Store:
    def __init__(self, disk: Disk, stages: tuple[str, ...], sync: bool = True) -> None:
        """`sync` off is for the laboratory, to show that its oracle finds the loss."""
        self.disk, self.stages, self.sync = disk, stages, sync
        self.boot = boot_id()

    def write(self, work: Work) -> None:
        """Returns once the work is durable; raises OSError where that can't be said. A segment that fails as
        it is made is removed: guards a full disk against one more file at each try."""
        disk = self.disk
        try:
            if work.fresh:
                disk.begin(work.segment)
                disk.append(ledger_format.head(self.stages, self.boot))
            for frame in _cut(work):
                disk.append(frame)
            if self.sync:
                disk.sync()
                if work.fresh:
                    disk.sync_folder()
        except OSError:
            if work.fresh:
                with suppress(OSError):
                    disk.remove(work.segment)
            raise
        for number in work.drops:
            with suppress(OSError):
                disk.remove(number)  # read again at the next start, and dropped then

    def recover(self, book: Book, progress: Callable[[Reading], None] = lambda _: None) -> list[Found]:
        """Tells the book all that the folder holds, a segment at a time; returns what matters. A segment of
        another form is an error: raises CorruptFrameError, and nothing is started on half of what is
        known."""
        collects = gc.isenabled()
        gc.disable()  # all that is made here stays; guards against looking through it again and again
        try:
            for number, size in self.disk.segments():
                book.found_segment(number, size)
                data = memoryview(self.disk.read(number))
                progress(self._read(book, number, data))
            book.forget_expired()
            return list(book.recovered())
        finally:
            if collects:
                gc.enable()

    def follow(self, book: Book, read: dict[int, int], last: bool, now: int) -> None:
        """Tells the book what was added since the places in `read`, by segment, which move on; another
        program may write there meanwhile. `last`: none does any more. Raises CorruptFrameError as
        `recover` does, the last time. `now`: boot time."""
        book.reading_at(now)
        there = set()
        for number, size in self.disk.segments():
            there.add(number)
            place = read.get(number, 0)
            if size == place:
                continue
            try:
                data = memoryview(self.disk.read(number))
            except FileNotFoundError:
                continue  # it has just gone: what matters of it stands in a later one
            book.found_segment(number, len(data))
            try:
                reading = self._read(book, number, data, place)
            except CorruptFrameError:
                if last:
                    raise
                continue  # its head is being written
            read[number] = reading.whole
        if last:
            book.lost_segments(there)
            book.forget_expired()

    def _read(self, book: Book, number: int, data: memoryview, since: int = 0) -> Reading:
        if len(data) < ledger_format.HEAD_LEAST:
            return Reading(number, len(data), 0, 0, True, 0, 0)  # a kill as it was made
        try:
            names, boot, place = ledger_format.read_head(data)
        except CorruptFrameError as error:
            raise CorruptFrameError(f"{self.disk.path(number)}: {error}") from error
        here = {name: place for place, name in enumerate(self.stages)}
        stages = [here.get(name) for name in names]
        same = boot == self.boot and any(boot)
        intents = outcomes = damaged = 0
        torn, whole = False, max(place, since)
        for start, payload, end in ledger_format.frames(data, whole):
            if payload is None:
                torn = end == len(data)
                damaged += 0 if torn else end - start
                continue
            whole = end
            group = ledger_format.group(payload)
            book.found(number, stages, same, group)
            intents, outcomes = intents + len(group.intents), outcomes + len(group.outcomes)
        return Reading(number, len(data), intents, outcomes, torn, damaged, whole)


def _cut(work: Work) -> Iterator[bytes]:
    """Frames within their bounds, intents before the outcomes that may belong to them."""
    intents, outcomes = iter(work.group.intents), iter(work.group.outcomes)
    while part := list(islice(intents, RECORDS_A_FRAME)):
        yield ledger_format.frame(part, [])
    held: list[ledger_format.Outcome] = []
    size = 0
    for outcome in outcomes:
        held.append(outcome)
        size += len(outcome.result)
        if len(held) >= RECORDS_A_FRAME or size >= BYTES_A_FRAME:
            yield ledger_format.frame([], held)
            held, size = [], 0
    if held:
        yield ledger_format.frame([], held)
