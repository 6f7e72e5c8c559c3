"""The table on disk: what a keeper or an instance recovers after a restart. Blocks; run in a thread.

The segments are written in the form of `archive_format.py`. A write begins only once the one before it is
durable, so a crash can tear the last one alone, which was not reported as durable yet.

After a start and after any error the next write begins a new segment with a snapshot. Older segments are
removed only once that one and its name are durable, so there is always a complete one. The steps in a segment
may grow to the size of its snapshot (LOG_SIZE_MIN at least): on disk are at most about three times the table.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from thistleline.config_feed.archive_format import (
    ArchivedStep,
    IncompleteSegmentError,
    SegmentEncoder,
    read_segment,
)
from thistleline.config_feed.history import items_size
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import FeedTable
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError

LOG_SIZE_MIN = 1 << 20  # bytes of steps that a segment may have, however small its snapshot is
WRITE_SIZE_LIMIT = 4 << 20  # bytes of steps in one write; more are written as a snapshot


class Archive:
    """The segments of one table.

    Attributes:
        disk: The folder, held and released by the caller.
        kind: What the table holds.
        durable: Sequence number of the state that a restart would find.
        digest: Digest of that state.
        recovery_failure: What kept `recover` from finding a state, for the log.
        segment: Number of the newest segment.
        old_segments: Those that are removed with the next snapshot.
        needs_snapshot: Whether the next write has to begin a segment.
    """

    def __init__(self, disk: Disk, kind: Kind) -> None:
        """Begin without a state; `recover` reads what is there."""
        self.disk = disk
        self.kind = kind
        self.durable = 0
        self.digest = FeedTable().digest(kind)
        self.recovery_failure = ""
        self.segment = 0
        self.old_segments: list[int] = []
        self.needs_snapshot = True
        self._encoder = SegmentEncoder(kind)
        self._snapshot_size = 0  # bytes in the newest segment
        self._log_size = 0  # bytes of steps in it

    # ---- at start

    def recover(self) -> FeedTable | None:
        """Return the newest complete state.

        Returns None where nothing is known; if there are segments, `recovery_failure` has the reason.

        Raises:
            OSError: A segment can't be read.
        """
        segments = [number for number, _ in self.disk.segments()]
        self.segment = segments[-1] if segments else 0
        self.old_segments = list(segments)
        self.needs_snapshot = True
        self.recovery_failure = ""
        for number in reversed(segments):
            data = memoryview(self.disk.read(number))
            try:
                table = read_segment(data, self.disk.path(number).name, self.kind)
            except IncompleteSegmentError as error:
                self.recovery_failure = str(error)
                continue  # the one before is still there
            except (CorruptFrameError, msgspec.DecodeError, ValueError) as error:
                self.recovery_failure = str(error)
                return None
            self._set_durable(table, table.digest(self.kind))
            self.recovery_failure = ""
            return table
        return None

    # ---- from then on

    def write(self, table: FeedTable, steps: Sequence[ArchivedStep] = ()) -> int:
        """Write a state and return its sequence number, which is durable then.

        The whole table is written where the steps do not lead from `durable` to it, where the segment has
        enough of them, and after an error.

        Args:
            table: The state.
            steps: Steps that lead to it, in order.

        Raises:
            OSError: What is durable beyond `durable` is not known; the next write begins a new segment.
        """
        digest = table.digest(self.kind)
        if not self.needs_snapshot and (table.sequence, digest) == (self.durable, self.digest):
            return self.durable
        data = b"" if self.needs_snapshot else self._encode_steps(table, steps)
        try:
            if data:
                self.disk.append(data)
                self.disk.sync()
                self._log_size += len(data)
            else:
                self._write_snapshot(table)
        except OSError:
            self.needs_snapshot = True
            raise
        self._set_durable(table, digest)
        return self.durable

    def _set_durable(self, table: FeedTable, digest: bytes) -> None:
        self.durable = table.sequence
        self.digest = digest

    def _encode_steps(self, table: FeedTable, steps: Sequence[ArchivedStep]) -> bytes:
        """Return the frames of the steps, empty where a snapshot has to be written."""
        if not self._steps_lead_to(table, steps) or _exceeds_write_limit(steps):
            return b""
        data = self._encoder.steps(steps, table.digest(self.kind))
        return data if self._log_size + len(data) <= max(LOG_SIZE_MIN, self._snapshot_size) else b""

    def _steps_lead_to(self, table: FeedTable, steps: Sequence[ArchivedStep]) -> bool:
        sequence = self.durable
        for step in steps:
            if step.first != sequence or step.last <= step.first:
                return False
            sequence = step.last
        return bool(steps) and sequence == table.sequence

    def _write_snapshot(self, table: FeedTable) -> None:
        self.segment += 1
        size = 0
        try:
            self.disk.begin(self.segment)
            for data in self._encoder.snapshot(table):
                self.disk.append(data)
                size += len(data)
            self.disk.sync()
            self.disk.sync_folder()
        except OSError:
            # Prevents that a full disk is filled by every further attempt.
            if not self._remove(self.segment):
                self.old_segments.append(self.segment)
            raise
        self.needs_snapshot = False
        self._snapshot_size = size
        self._log_size = 0
        self.old_segments = [number for number in self.old_segments if not self._remove(number)]
        self.old_segments.append(self.segment)

    def _remove(self, number: int) -> bool:
        try:
            self.disk.remove(number)
        except OSError:
            return False  # skipped at the next start, and removed with the next snapshot
        return True


def _exceeds_write_limit(steps: Sequence[ArchivedStep]) -> bool:
    size = 0
    for step in steps:
        size += items_size(step.items)
        if size > WRITE_SIZE_LIMIT:
            return True
    return False
