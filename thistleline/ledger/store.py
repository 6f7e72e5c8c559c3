"""The ledger's I/O: performs the ledger's writes and reads back the segments of earlier incarnations.

`LedgerStore.write` blocks until the data is on disk; the server calls it on a separate thread, so that
neither a slow disk nor a sync delays other tasks.
"""

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from itertools import islice

from thistleline.ledger import format as ledger_format
from thistleline.ledger.records import LedgerWrite, RecoveredEffect
from thistleline.ledger.stages import SegmentStages, StageNames
from thistleline.ledger.state import LedgerState
from thistleline.store.disk import Disk, boot_id
from thistleline.store.frames import CorruptFrameError

MAX_FRAME_RECORDS = 4096
MAX_FRAME_RESULT_BYTES = 1024 * 1024  # a frame ends once its results reach this size


@dataclass(frozen=True, slots=True)
class SegmentReading:
    """What was found when one segment was read.

    Attributes:
        segment: Number of the segment.
        size: Size of the segment in bytes.
        intents: Number of intents read.
        outcomes: Number of outcomes read.
        torn: Whether the last frame is incomplete, as after a kill during a write.
        damaged_bytes: Number of unreadable bytes before the end of the segment.
        valid_end: Offset of the end of the last complete frame.
    """

    segment: int
    size: int
    intents: int
    outcomes: int
    torn: bool
    damaged_bytes: int
    valid_end: int


class LedgerStore:
    """Writes and reads the segments in one folder."""

    def __init__(self, disk: Disk, stages: tuple[str, ...], sync: bool = True) -> None:
        """Create the store of a folder whose lock the caller holds.

        Args:
            disk: The folder.
            stages: Names of the server's stages, in order.
            sync: Whether writes are synced; False only in the lab, to show that its oracle detects lost
                records.
        """
        self.disk = disk
        self.stages = StageNames(stages)
        self.sync = sync
        self.boot = boot_id()

    def write(self, write: LedgerWrite) -> None:
        """Perform a write and return once it is durable.

        If the write that creates a segment fails, the segment's file is removed, so that retries on a full
        disk do not accumulate files.

        Raises:
            OSError: The write failed and may or may not be on disk.
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
                self.disk.remove(number)  # a segment that stays is read and dropped at the next start

    def _append(self, write: LedgerWrite) -> None:
        disk = self.disk
        if write.creates_segment:
            disk.begin(write.segment)
            disk.append(ledger_format.encode_header(self.stages.all(), self.boot))
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
            ledger: The ledger that the records are merged into.
            progress: Called after each segment.

        Returns:
            The unexpired effects of the server's stages; those of other stages are in `ledger.unmatched`.

        Raises:
            CorruptFrameError: A segment has another format; the server must not start on a partial ledger.
            OSError: The folder can't be read.
        """
        with _garbage_collection_paused():
            for number, size in self.disk.segments():
                ledger.recover_segment(number, size)
                data = memoryview(self.disk.read(number))
                progress(self._read_segment(ledger, number, data))
            ledger.forget_expired()
            return ledger.recovered_effects(self.stages.own_count)

    def read_appended(self, ledger: LedgerState, positions: dict[int, int], final: bool, now: int) -> None:
        """Read the records that another program, which may still be writing, has added to the folder.

        Args:
            ledger: The ledger that the records are merged into.
            positions: Offset of the first unread byte by segment; updated in place.
            final: Whether the other program has stopped writing.
            now: Boot time in ns.

        Raises:
            CorruptFrameError: As in `recover`, if `final`.
            OSError: The folder can't be read.
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
                continue  # the segment was removed after the listing; a later one holds its retained records
            ledger.recover_segment(number, len(data))
            try:
                reading = self._read_segment(ledger, number, data, position)
            except CorruptFrameError:
                if final:
                    raise
                continue  # the segment's header is still being written
            positions[number] = reading.valid_end
        if final:
            ledger.retain_segments(present)
            ledger.forget_expired()

    def _read_segment(
        self, ledger: LedgerState, number: int, data: memoryview, start: int = 0
    ) -> SegmentReading:
        if len(data) < ledger_format.MIN_HEADER_SIZE:
            # The writer was killed while it created the segment.
            return SegmentReading(number, len(data), 0, 0, True, 0, 0)
        try:
            header = ledger_format.decode_header(data)
        except CorruptFrameError as error:
            raise CorruptFrameError(f"{self.disk.path(number)}: {error}") from error
        stages = SegmentStages(self.stages, header.stages)
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
    """Disable garbage collection during recovery: it would scan the long-lived new objects repeatedly."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _split_into_frames(write: LedgerWrite) -> Iterator[bytes]:
    """Yield the frames of a write within the frame limits; intents precede outcomes that refer to them."""
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
