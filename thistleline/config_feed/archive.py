"""Stores the feed's table on disk, so that a keeper, a relay or an instance recovers it after a restart.

All calls block; run them in a thread. The segments have the format of `archive_format.py`. A write starts
only after the previous one is durable. So a crash can tear only the last write, which was not reported as
durable. A step is a list of items that transforms one state of the table into a later one.

After a start and after any error the next write begins a new segment with a snapshot. Older segments are
removed only after the new segment and its name are durable, so there is always a complete one. The steps in a
segment may grow to the size of its snapshot, or to LOG_SIZE_MIN if that is larger. So the segments use at
most about three times the size of the table.

A segment of another format version or kind is never removed: the program that wrote it, for example a newer
release that was rolled back, may come back.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from thistleline.config_feed.archive_format import (
    ArchivedStep,
    IncompleteSegmentError,
    SegmentEncoder,
    is_supported,
    read_segment,
)
from thistleline.config_feed.history import items_size
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import FeedTable
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError

LOG_SIZE_MIN = 1 << 20  # bytes of steps that a segment may have even if its snapshot is smaller
WRITE_SIZE_LIMIT = 4 << 20  # bytes of steps in one write; beyond it a snapshot is written


class Archive:
    """The segments that store one table.

    Attributes:
        disk: The folder; the caller acquires and releases its lock.
        kind: Which sections the table has: "all", or "wide" (without tenants).
        durable: Sequence number of the state that a restart would recover.
        digest: Digest of the state that a restart would recover.
        recovery_failure: Why `recover` found no state, for the log; empty if it succeeded.
        segment: Number of the newest segment.
        old_segments: Numbers of the segments that are removed after the next snapshot.
        needs_snapshot: Whether the next write must begin a new segment.
    """

    def __init__(self, disk: Disk, kind: Kind) -> None:
        """Start without a state; `recover` reads the stored one."""
        self.disk = disk
        self.kind = kind
        self.durable = 0
        self.digest = FeedTable().digest(kind)
        self.recovery_failure = ""
        self.segment = 0
        self.old_segments: list[int] = []
        self.needs_snapshot = True
        self._encoder = SegmentEncoder(kind)
        self._snapshot_size = 0  # bytes of the snapshot in the newest segment
        self._log_size = 0  # bytes of steps in the newest segment

    # ---- recovery

    def recover(self) -> FeedTable | None:
        """Return the newest complete state.

        Returns None if there is no complete state; if there are segments, `recovery_failure` has the reason.

        Raises:
            OSError: A segment can't be read.
        """
        segments = [number for number, _ in self.disk.segments()]
        self.segment = segments[-1] if segments else 0
        self.old_segments = [
            number for number in segments if is_supported(memoryview(self.disk.read(number)), self.kind)
        ]
        self.needs_snapshot = True
        self.recovery_failure = ""
        for number in reversed(segments):
            data = memoryview(self.disk.read(number))
            try:
                table = read_segment(data, self.disk.path(number).name, self.kind)
            except IncompleteSegmentError as error:
                self.recovery_failure = str(error)
                continue  # the previous segment was not removed yet
            except (CorruptFrameError, msgspec.DecodeError, ValueError) as error:
                self.recovery_failure = str(error)
                return None
            self._set_durable(table, table.digest(self.kind))
            self.recovery_failure = ""
            return table
        return None

    # ---- writing

    def write(self, table: FeedTable, steps: Sequence[ArchivedStep] = ()) -> int:
        """Write a state; return its sequence number, which is durable after the call.

        A snapshot of the whole table is written if the steps do not transform the durable state into it, if
        they exceed the size limits of a write or a segment, and after a start or an error.

        Args:
            table: The state.
            steps: Steps from the durable state to this one, in order.

        Raises:
            OSError: The write failed, and may be partly on disk; the next write begins a new segment.
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
        """Return the frames of the steps; empty if a snapshot must be written instead."""
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
            # Prevents repeated attempts from filling the disk.
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
            return False  # `recover` skips this segment, and the next snapshot removes it
        return True


def _exceeds_write_limit(steps: Sequence[ArchivedStep]) -> bool:
    size = 0
    for step in steps:
        size += items_size(step.items)
        if size > WRITE_SIZE_LIMIT:
            return True
    return False
