"""The resource's side: an older holder acts no more once a newer one was seen, also after a restart.

`Marks` decides, without I/O. `Guard` keeps them on disk: a newer epoch is durable before its first act may
begin, so that no restart makes the resource forget it. An act of an epoch that is known costs a look-up.
"""

from pathlib import Path
from typing import Literal

import msgspec

from thistleline.store.disk import Disk
from thistleline.store.frames import HEADER_SIZE, encode_checksum_frame, scan_frames

NAMES_BOUND = 100_000
REWRITE_SIZE = 1 << 20  # bytes of a segment before all marks go to a new one

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(dict[str, int]).decode


class Marks:
    """The highest epoch that was seen of each name."""

    __slots__ = ("seen",)

    def __init__(self, seen: dict[str, int] | None = None) -> None:
        self.seen = seen or {}

    def judge(self, name: str, epoch: int) -> Literal["old", "known", "newer", "full"]:
        known = self.seen.get(name, 0)
        if epoch < known:
            return "old"
        if epoch == known:
            return "known"
        return "newer" if name in self.seen or len(self.seen) < NAMES_BOUND else "full"


class Guard:
    """`admit` blocks on a newer epoch for as long as the disk takes. Raises OSError, DiskLockedError."""

    def __init__(self, folder: Path) -> None:
        self.disk = Disk(folder, "guard")
        self.disk.acquire()
        self.marks = Marks()
        self.segment = self.size = 0
        segments = self.disk.segments()
        for number, _ in segments:
            self.segment = number
            for _, payload, _ in scan_frames(memoryview(self.disk.read(number)), 0, 1):
                if payload is not None:
                    for name, epoch in _decode(payload).items():
                        self.marks.seen[name] = max(epoch, self.marks.seen.get(name, 0))
        self._rewrite([number for number, _ in segments])

    def admit(self, name: str, epoch: int) -> bool:
        """Whether an act of this holder may begin."""
        judged = self.marks.judge(name, epoch)
        if judged == "newer":
            self._write({name: epoch})
            self.marks.seen[name] = epoch
            if self.size > REWRITE_SIZE + 64 * len(self.marks.seen):
                self._rewrite([self.segment])
        return judged in ("known", "newer")

    def close(self) -> None:
        self.disk.release()

    def _write(self, marks: dict[str, int]) -> None:
        # Twice: guards against one flipped bit, which would let an old holder in.
        data = 2 * encode_checksum_frame(_encode(marks))
        try:
            self.disk.append(data)
            self.disk.sync()
        except OSError:
            self._rewrite([])  # what that write left is unknown; a new segment says it all, or raises
            raise
        self.size += len(data) + HEADER_SIZE

    def _rewrite(self, old: list[int]) -> None:
        self.segment += 1
        self.size = 0
        self.disk.begin(self.segment)
        if self.marks.seen:
            self._write_all()
        self.disk.sync_folder()
        for number in old:
            self.disk.remove(number)

    def _write_all(self) -> None:
        data = 2 * encode_checksum_frame(_encode(self.marks.seen))
        self.disk.append(data)
        self.disk.sync()
        self.size = len(data)
