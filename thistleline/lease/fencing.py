"""Fencing at the protected resource: operations of a superseded lease holder are rejected by their token.

The fencing token is the epoch of the lease. `HighestEpochs` decides, without I/O. `FencingGuard` stores the
epochs on disk: a newer epoch is durable before its first operation may begin, so that a restart of the
resource does not lose it. An operation whose epoch is already known costs one dictionary lookup.
"""

from pathlib import Path
from types import TracebackType
from typing import Literal

import msgspec

from thistleline.store.disk import Disk
from thistleline.store.frames import HEADER_SIZE, encode_checksum_frame, scan_frames

MAX_NAMES = 100_000
MAX_SEGMENT_SIZE = 1 << 20  # bytes; a larger segment is replaced by a new one with the current epochs
_SIZE_PER_NAME = 64  # bytes that each stored name adds to MAX_SEGMENT_SIZE

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(dict[str, int]).decode


class HighestEpochs:
    """The highest epoch that was seen for each lease."""

    __slots__ = ("by_name",)

    def __init__(self, by_name: dict[str, int] | None = None) -> None:
        """Start with the given epochs, by lease name."""
        self.by_name = by_name or {}

    def classify(self, name: str, epoch: int) -> Literal["stale", "known", "newer", "full"]:
        """Compare an epoch with the highest one seen; "full" means that no further name can be stored."""
        known = self.by_name.get(name, 0)
        if epoch < known:
            return "stale"
        if epoch == known:
            return "known"
        return "newer" if name in self.by_name or len(self.by_name) < MAX_NAMES else "full"


class FencingGuard:
    """Admits operations by their fencing token and stores the highest token of each lease.

    Usable as a context manager, which closes it on exit.
    """

    def __init__(self, folder: Path) -> None:
        """Lock the folder and read the stored epochs; blocks on disk I/O.

        Raises:
            DiskLockedError: Another process has locked the folder.
            OSError: The disk failed.
        """
        self.disk = Disk(folder, "guard")
        self.disk.acquire()
        self.highest = HighestEpochs()
        self.segment = 0
        self.segment_size = 0  # bytes
        segments = [number for number, _ in self.disk.segments()]
        for number in segments:
            self.segment = number
            self._read_segment(number)
        self._write_new_segment(segments)

    def __enter__(self) -> "FencingGuard":
        """Return the guard itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Release the lock of the folder."""
        self.close()

    def admit(self, name: str, epoch: int) -> bool:
        """Return whether an operation of the holder with this epoch may begin.

        Blocks on disk I/O if the epoch is newer than the stored one.

        Raises:
            OSError: The epoch could not be stored; the operation must not begin.
        """
        comparison = self.highest.classify(name, epoch)
        if comparison == "newer":
            self._append({name: epoch})
            self.highest.by_name[name] = epoch
            if self.segment_size > MAX_SEGMENT_SIZE + _SIZE_PER_NAME * len(self.highest.by_name):
                self._write_new_segment([self.segment])
        return comparison in ("known", "newer")

    def close(self) -> None:
        """Release the lock of the folder."""
        self.disk.release()

    def _read_segment(self, number: int) -> None:
        by_name = self.highest.by_name
        for _, payload, _ in scan_frames(memoryview(self.disk.read(number)), 0, 1):
            if payload is not None:
                for name, epoch in _decode(payload).items():
                    by_name[name] = max(epoch, by_name.get(name, 0))

    def _append(self, epochs: dict[str, int]) -> None:
        # Written twice, so that a single flipped bit can't lose the epoch and admit a former holder.
        data = 2 * encode_checksum_frame(_encode(epochs))
        try:
            self.disk.append(data)
            self.disk.sync()
        except OSError:
            # The content after a failed write is unknown; write all epochs to a new segment, or raise again.
            self._write_new_segment([])
            raise
        self.segment_size += len(data) + HEADER_SIZE

    def _write_new_segment(self, old_segments: list[int]) -> None:
        self.segment += 1
        self.segment_size = 0
        self.disk.begin(self.segment)
        if self.highest.by_name:
            self._append_all()
        self.disk.sync_folder()
        for number in old_segments:
            self.disk.remove(number)

    def _append_all(self) -> None:
        data = 2 * encode_checksum_frame(_encode(self.highest.by_name))
        self.disk.append(data)
        self.disk.sync()
        self.segment_size = len(data)
