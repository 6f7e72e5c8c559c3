"""A voter's records on disk, in the store that the ledger uses too.

A segment starts with a head (magic 8s, form u16); then frames follow, each a part of one write:

    number u64 of the write, part u16, parts u16, then bytes; together msgpack of its records

and each frame twice. A write goes out only once the one before is durable, so a crash can tear the last one
alone, and that one was never told of. But a flipped bit in the last one would look like a tear, and a vote or
a decision that others count on would be gone: the copy stands for it. Where both are gone in the middle, or a
number is missing, the segment is damaged and the voter must not go on as who it was.
"""

import struct

import msgspec

from thistleline.consensus.messages import Record
from thistleline.consensus.replay import Replay
from thistleline.consensus.replica import Found, Work
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError, encode_checksum_frame, scan_frames

MAGIC, FORM = b"TLCOUNCL", 1
_HEAD = struct.Struct("<8sH")
_PART = struct.Struct("<QHH")
PART_BOUND = 4 << 20  # bytes of a frame's share

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[Record, ...]).decode


class CouncilStore:
    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.number = 0  # of the last write in the segment
        self.segment = 0
        self.old: list[int] = []  # segments that go with the next fresh one

    def write(self, work: Work) -> None:
        """Returns once the work is durable; raises OSError where that can't be said. Blocks."""
        disk = self.disk
        if work.fresh:
            self.old += [self.segment] if self.segment else []
            self.segment += 1
            self.number = 0
            disk.begin(self.segment)
            disk.append(_HEAD.pack(MAGIC, FORM))
        self.number += 1
        data = _encode(work.records)
        parts = max(1, -(-len(data) // PART_BOUND))
        for part in range(parts):
            share = data[part * PART_BOUND : (part + 1) * PART_BOUND]
            disk.append(2 * encode_checksum_frame(_PART.pack(self.number, part, parts) + share))
        disk.sync()
        if work.fresh:
            disk.sync_folder()
            for number in self.old:
                try:
                    disk.remove(number)
                except OSError:
                    break  # read over at the next start, and dropped then
            self.old = []

    def recover(self) -> Found | None:
        """What the newest whole segment says; none on an empty disk. Raises CorruptFrameError, OSError."""
        segments = [number for number, _ in self.disk.segments()]
        self.segment = segments[-1] if segments else 0
        self.old = segments[:-1]
        for number in reversed(segments):
            replay = self._read(number)
            if replay is not None:
                return replay.found()
        if segments:
            raise CorruptFrameError(f"no segment in {self.disk.folder} has a beginning that can be read")
        return None

    def _read(self, number: int) -> Replay | None:
        """None where not even its first write is whole: it was being made when all ended."""
        data = memoryview(self.disk.read(number))
        name = self.disk.path(number)
        if len(data) < _HEAD.size:
            return None
        magic, form = _HEAD.unpack_from(data)
        if magic != MAGIC or form != FORM:
            raise CorruptFrameError(f"{name}: it is no council's segment of form {FORM}")
        replay, written, share = Replay(), 0, bytearray()
        next_part = 0
        unread = False
        for _, payload, end in scan_frames(data, _HEAD.size, _PART.size):
            if payload is None:
                unread = end < len(data) or unread
                continue
            write, part, parts = _PART.unpack_from(payload)
            if (write, part) == (written + 1, next_part):
                share += payload[_PART.size :]
                next_part += 1
                if next_part == parts:
                    for record in _decode(bytes(share)):
                        replay.take(record)
                    written, next_part, share = written + 1, 0, bytearray()
            elif write > written + 1 or (write == written + 1 and part > next_part):
                raise CorruptFrameError(f"{name}: write {written + 1} can't be read, and later ones can")
        if written == 0 and unread:
            raise CorruptFrameError(f"{name}: its first write can't be read")
        return replay if written else None
