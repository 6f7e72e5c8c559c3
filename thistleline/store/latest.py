"""Crash-safe storage of a single small value; earlier versions may be discarded."""

from pathlib import Path

from thistleline.store.disk import Disk
from thistleline.store.frames import encode_checksum_frame, scan_frames

MAX_SEGMENT_SIZE = 1 << 20  # bytes; a segment that exceeds this is replaced by a new one


class LatestValueStore:
    """Stores one value on disk; `put` replaces it.

    Attributes:
        value: The newest stored value, None if none was ever stored.
    """

    def __init__(self, folder: Path, kind: str) -> None:
        """Lock the folder and read the newest value.

        Args:
            folder: Folder of the segments; created if it does not exist.
            kind: Kind of the value; also the suffix of the segment files.

        Raises:
            DiskLockedError: Another process has locked the folder.
            OSError: The folder can't be read.
        """
        self.disk = Disk(folder, kind)
        self.disk.acquire()
        self.segment = 0
        self.segment_size = 0  # bytes
        self.old_segments: list[int] = []
        self.value: bytes | None = None
        for number, _ in self.disk.segments():
            self.segment = number
            self.old_segments.append(number)
            for _, payload, _ in scan_frames(memoryview(self.disk.read(number)), 0, 1):
                if payload is not None:
                    self.value = bytes(payload)
        self.needs_new_segment = True

    def put(self, value: bytes) -> None:
        """Store `value`; the value is durable once this returns.

        Raises:
            OSError: It is unknown whether the value is stored; the next one goes to a new segment.
        """
        try:
            self._write(value)
        except OSError:
            self.needs_new_segment = True
            raise

    def close(self) -> None:
        """Close the segment and release the folder."""
        self.disk.release()

    def _write(self, value: bytes) -> None:
        if self.needs_new_segment or self.segment_size > MAX_SEGMENT_SIZE:
            self.segment += 1
            self.segment_size = 0
            self.disk.begin(self.segment)
        # Written twice, so that one flipped bit does not revert to an earlier value.
        data = 2 * encode_checksum_frame(value)
        self.disk.append(data)
        self.disk.sync()
        if not self.segment_size:
            self._remove_old_segments()
        self.segment_size += len(data)
        self.needs_new_segment = False
        self.value = value

    def _remove_old_segments(self) -> None:
        self.disk.sync_folder()
        for number in self.old_segments:
            self.disk.remove(number)
        self.old_segments = [self.segment]
