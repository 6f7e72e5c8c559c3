"""The ledger's I/O: carries its writes out and reads back what earlier incarnations left.

`LedgerStore.write` blocks for as long as the disk takes; the server calls it on a thread of its own, so that
neither a slow disk nor a sync stalls another task.
"""

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from itertools import islice

from thistleline.ledger import format as ledger_format
from thistleline.ledger.records import LedgerWrite, RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.store.disk import Disk, boot_id
from thistleline.store.frames import CorruptFrameError

MAX_FRAME_RECORDS = 4096
MAX_FRAME_RESULT_BYTES = 1024 * 1024  # bytes of results after which a frame ends


@dataclass(frozen=True, slots=True)
class SegmentReading:
    """What reading one segment came to.

    Attributes:
        segment: Its number.
        size: Its bytes.
        intents: Number of intents read.
        outcomes: Number of outcomes read.
        torn: Whether its end is missing, as a kill leaves it.
        damaged_bytes: Bytes in its middle that can't be read.
        valid_end: Position at which the last whole frame ends.
    """

    segment: int
    size: int
    intents: int
    outcomes: int
    torn: bool
    damaged_bytes: int
    valid_end: int


class LedgerStore:
    """Writes and reads the segments of one folder."""

    def __init__(self, disk: Disk, stages: tuple[str, ...], sync: bool = True) -> None:
        """Work on a folder whose lock the caller holds.

        Args:
            disk: The folder.
            stages: Names of the server's stages, in order.
            sync: Whether writes are synced; off only in the lab, to show that its oracle finds the loss.
        """
        self.disk = disk
        self.stages = stages
        self.sync = sync
        self.boot = boot_id()

    def write(self, write: LedgerWrite) -> None:
        """Carry a write out; returns once it is durable.

        A segment whose creation fails is removed, so that a full disk does not gather one more file at each
        retry.

        Raises:
            OSError: If it can't be said that the write is durable.
        """
        try:
            self._append(write)
        except OSError:
            if write.creates_segment:
                with suppress(OSError):
                    self.disk.remove(write.segment)
            raise
        for number in write.obsolete_segments:
            with suppress(OSError):
                self.disk.remove(number)  # read again at the next start, and dropped then

    def _append(self, write: LedgerWrite) -> None:
        disk = self.disk
        if write.creates_segment:
            disk.begin(write.segment)
            disk.append(ledger_format.encode_header(self.stages, self.boot))
        for frame in _split_into_frames(write):
            disk.append(frame)
        if self.sync:
            disk.sync()
            if write.creates_segment:
                disk.sync_folder()

    def recover(
        self, ledger: LedgerState, progress: Callable[[SegmentReading], None] = lambda _: None
    ) -> list[RecoveredEffect]:
        """Read the whole folder into an empty ledger, one segment at a time.

        Args:
            ledger: Takes up everything that is read.
            progress: Called after each segment.

        Returns:
            The effects that still matter.

        Raises:
            CorruptFrameError: If a segment has another format; nothing must be started on half of what is
                known.
            OSError: If the folder can't be read.
        """
        with _garbage_collection_paused():
            for number, size in self.disk.segments():
                ledger.recover_segment(number, size)
                data = memoryview(self.disk.read(number))
                progress(self._read_segment(ledger, number, data))
            ledger.forget_expired()
            return list(ledger.recovered_effects())

    def read_appended(self, ledger: LedgerState, positions: dict[int, int], final: bool, now: int) -> None:
        """Read what another program, which may still be writing, added to the folder.

        Args:
            ledger: Takes up everything that is read.
            positions: Where reading goes on, by segment; moved on here.
            final: Whether no other program writes any more.
            now: Boot time in ns.

        Raises:
            CorruptFrameError: As `recover` does, if `final`.
            OSError: If the folder can't be read.
        """
        ledger.advance_clock(now)
        present = set()
        for number, size in self.disk.segments():
            present.add(number)
            position = positions.get(number, 0)
            if size == position:
                continue
            try:
                data = memoryview(self.disk.read(number))
            except FileNotFoundError:
                continue  # it has just gone: what matters of it stands in a later one
            ledger.recover_segment(number, len(data))
            try:
                reading = self._read_segment(ledger, number, data, position)
            except CorruptFrameError:
                if final:
                    raise
                continue  # its header is being written
            positions[number] = reading.valid_end
        if final:
            ledger.retain_segments(present)
            ledger.forget_expired()

    def _read_segment(
        self, ledger: LedgerState, number: int, data: memoryview, start: int = 0
    ) -> SegmentReading:
        if len(data) < ledger_format.MIN_HEADER_SIZE:
            return SegmentReading(number, len(data), 0, 0, True, 0, 0)  # killed as the segment was created
        try:
            header = ledger_format.decode_header(data)
        except CorruptFrameError as error:
            raise CorruptFrameError(f"{self.disk.path(number)}: {error}") from error
        own_places = {name: place for place, name in enumerate(self.stages)}
        stages = [own_places.get(name) for name in header.stages]
        same_boot = header.boot == self.boot and any(header.boot)
        intents = outcomes = damaged_bytes = 0
        torn = False
        valid_end = max(header.size, start)
        for begin, payload, end in ledger_format.iter_frames(data, valid_end):
            if payload is None:
                torn = end == len(data)
                if not torn:
                    damaged_bytes += end - begin
                continue
            valid_end = end
            group = ledger_format.decode_group(payload)
            ledger.recover_group(number, stages, same_boot, group)
            intents += len(group.intents)
            outcomes += len(group.outcomes)
        return SegmentReading(number, len(data), intents, outcomes, torn, damaged_bytes, valid_end)


@contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """Pause collection while a recovery makes what stays, which would be scanned again and again."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _split_into_frames(write: LedgerWrite) -> Iterator[bytes]:
    """Yield the frames of a write within their limits, intents before the outcomes they may belong to."""
    intents = iter(write.group.intents)
    while part := list(islice(intents, MAX_FRAME_RECORDS)):
        yield ledger_format.encode_frame(part, [])
    outcomes: list[ledger_format.Outcome] = []
    result_bytes = 0
    for outcome in write.group.outcomes:
        outcomes.append(outcome)
        result_bytes += len(outcome.result)
        if len(outcomes) >= MAX_FRAME_RECORDS or result_bytes >= MAX_FRAME_RESULT_BYTES:
            yield ledger_format.encode_frame([], outcomes)
            outcomes = []
            result_bytes = 0
    if outcomes:
        yield ledger_format.encode_frame([], outcomes)
