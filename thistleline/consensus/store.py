"""A replica's records on disk, in segments of a Disk as the ledger's.

A segment starts with a head (magic 8s, format u16); then frames follow, each a part of one write:

    number u64 of the write, part u16, parts u16, then bytes; together msgpack of its records

Each frame is written twice. A write goes out only once the one before is durable, so a crash can tear the
last one alone, and nothing was sent that relies on it. But a flipped bit in the last one would look like a
tear, and a vote or an entry that others count on would be gone: the second copy stands in for it. Where both
copies are gone in the middle, or a number is missing, the segment is damaged, and the replica must not go on
as who it was.
"""

import struct

import msgspec

from thistleline.consensus.records import Record, WriteBatch
from thistleline.consensus.replay import Replay
from thistleline.consensus.state import RecoveredState
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError, encode_checksum_frame, scan_frames

MAGIC = b"TLCOUNCL"
FORMAT = 1
_HEAD = struct.Struct("<8sH")
_PART = struct.Struct("<QHH")
MAX_PART_SIZE = 4 << 20  # bytes of a write in one frame

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[Record, ...]).decode


class ReplicaStore:
    """Writes batches of records and recovers what they say.

    Attributes:
        disk: The folder with the segments.
        number: Number of the last write in the segment.
        segment: Number of the segment that is written to; 0 if there is none.
        old_segments: Segments that are removed with the next new one.
    """

    def __init__(self, disk: Disk) -> None:
        """Create a store on a held disk; `recover` reads it."""
        self.disk = disk
        self.number = 0
        self.segment = 0
        self.old_segments: list[int] = []

    def write(self, batch: WriteBatch) -> None:
        """Write a batch and return once it is durable. Blocks.

        Raises:
            OSError: The batch may be durable or not.
        """
        if batch.new_segment:
            self._begin_segment()
        self.number += 1
        data = _encode(batch.records)
        parts = max(1, -(-len(data) // MAX_PART_SIZE))
        for part in range(parts):
            share = data[part * MAX_PART_SIZE : (part + 1) * MAX_PART_SIZE]
            self.disk.append(2 * encode_checksum_frame(_PART.pack(self.number, part, parts) + share))
        self.disk.sync()
        if batch.new_segment:
            self.disk.sync_folder()
            self._remove_old_segments()

    def _begin_segment(self) -> None:
        if self.segment:
            self.old_segments.append(self.segment)
        self.segment += 1
        self.number = 0
        self.disk.begin(self.segment)
        self.disk.append(_HEAD.pack(MAGIC, FORMAT))

    def _remove_old_segments(self) -> None:
        for number in self.old_segments:
            try:
                self.disk.remove(number)
            except OSError:
                break  # passed over at the next start, and removed then
        self.old_segments = []

    def recover(self) -> RecoveredState | None:
        """Read the newest whole segment; None on an empty disk. Blocks.

        Raises:
            CorruptFrameError: No segment can be read, or the newest has a gap.
            OSError: The disk can't be read.
        """
        segments = [number for number, _ in self.disk.segments()]
        self.segment = segments[-1] if segments else 0
        self.old_segments = segments[:-1]
        for number in reversed(segments):
            replay = self._replay_segment(number)
            if replay is not None:
                return replay.recovered_state()
        if segments:
            raise CorruptFrameError(f"no segment in {self.disk.folder} has a beginning that can be read")
        return None

    def _replay_segment(self, number: int) -> Replay | None:
        """Replay a segment; None where not even its first write is whole, as it was begun when all ended."""
        data = memoryview(self.disk.read(number))
        name = str(self.disk.path(number))
        if len(data) < _HEAD.size:
            return None
        magic, version = _HEAD.unpack_from(data)
        if magic != MAGIC or version != FORMAT:
            raise CorruptFrameError(f"{name}: it is no council's segment of form {FORMAT}")
        reader = _WriteReader(name)
        unreadable = False
        for _, payload, end in scan_frames(data, _HEAD.size, _PART.size):
            if payload is not None:
                reader.add_frame(payload)
            elif end < len(data):
                unreadable = True
        if reader.writes == 0 and unreadable:
            raise CorruptFrameError(f"{name}: its first write can't be read")
        return reader.replay if reader.writes else None


class _WriteReader:
    """Puts the parts of writes together and replays each write that is whole."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.replay = Replay()
        self.writes = 0  # whole writes so far
        self.next_part = 0
        self.share = bytearray()  # parts of the next write so far

    def add_frame(self, payload: memoryview) -> None:
        """Add a frame that can be read; second copies are passed over."""
        write, part, parts = _PART.unpack_from(payload)
        if (write, part) == (self.writes + 1, self.next_part):
            self.share += payload[_PART.size :]
            self.next_part += 1
            if self.next_part == parts:
                self._finish_write()
        elif write > self.writes + 1 or (write == self.writes + 1 and part > self.next_part):
            raise CorruptFrameError(f"{self.name}: write {self.writes + 1} can't be read, and later ones can")

    def _finish_write(self) -> None:
        for record in _decode(bytes(self.share)):
            self.replay.apply(record)
        self.writes += 1
        self.next_part = 0
        self.share = bytearray()
