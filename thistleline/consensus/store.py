"""A replica's records on disk, in numbered segment files of a `Disk`.

A segment starts with a header (magic 8s, format version u16). Frames follow, each with one part of a write:

    write number u64, part index u16, number of parts u16, data

The data of all parts of a write together is the msgpack encoding of its records.

Each frame is written twice. A write starts only once the previous one is durable, so a crash can truncate
only the last write, and nothing that depends on that write has been sent. However, a flipped bit in the last
write would look like truncation, and a vote or an entry that other replicas rely on would be lost: in this
case the second copy is used. If both copies of a frame are unreadable in any earlier write, or a write number
is missing, the segment is corrupt, and the replica must not continue under its old id.
"""

import struct

import msgspec

from thistleline.consensus.records import Record, WriteBatch
from thistleline.consensus.replay import Replay
from thistleline.consensus.state import RecoveredState
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError, encode_checksum_frame, scan_frames

MAGIC = b"TLCOUNCL"
FORMAT_VERSION = 1
_SEGMENT_HEADER = struct.Struct("<8sH")
_PART_HEADER = struct.Struct("<QHH")
MAX_PART_SIZE = 4 << 20  # maximum bytes of a write's data in one frame

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[Record, ...]).decode


class ReplicaStore:
    """Writes batches of records and recovers the state from them.

    Attributes:
        disk: Folder of the segments.
        write_number: Number of the last write in the current segment.
        segment: Number of the current segment; 0 if there is none.
        old_segments: Segments to remove once the next new segment is durable.
    """

    def __init__(self, disk: Disk) -> None:
        """Create a store on an acquired disk; `recover` reads it."""
        self.disk = disk
        self.write_number = 0
        self.segment = 0
        self.old_segments: list[int] = []

    def write(self, batch: WriteBatch) -> None:
        """Write a batch and return once it is durable. Blocks.

        Raises:
            OSError: It is unknown whether the batch is durable.
        """
        if batch.new_segment:
            self._begin_segment()
        self.write_number += 1
        data = _encode(batch.records)
        parts = max(1, -(-len(data) // MAX_PART_SIZE))
        for part in range(parts):
            chunk = data[part * MAX_PART_SIZE : (part + 1) * MAX_PART_SIZE]
            self.disk.append(
                2 * encode_checksum_frame(_PART_HEADER.pack(self.write_number, part, parts) + chunk)
            )
        self.disk.sync()
        if batch.new_segment:
            self.disk.sync_folder()
            self._remove_old_segments()

    def _begin_segment(self) -> None:
        if self.segment:
            self.old_segments.append(self.segment)
        self.segment += 1
        self.write_number = 0
        self.disk.begin(self.segment)
        self.disk.append(_SEGMENT_HEADER.pack(MAGIC, FORMAT_VERSION))

    def _remove_old_segments(self) -> None:
        for number in self.old_segments:
            try:
                self.disk.remove(number)
            except OSError:
                break  # the remaining old segments are ignored, and removed after the next start
        self.old_segments = []

    def recover(self) -> RecoveredState | None:
        """Recover from the newest segment whose first write is complete; None on an empty disk. Blocks.

        Raises:
            CorruptFrameError: No segment has a complete first write, or a segment is corrupt.
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
            raise CorruptFrameError(f"no segment in {self.disk.folder} has a complete first write")
        return None

    def _replay_segment(self, number: int) -> Replay | None:
        """Replay a segment; None if a crash left its first write incomplete."""
        data = memoryview(self.disk.read(number))
        name = str(self.disk.path(number))
        if len(data) < _SEGMENT_HEADER.size:
            return None
        magic, version = _SEGMENT_HEADER.unpack_from(data)
        if magic != MAGIC or version != FORMAT_VERSION:
            raise CorruptFrameError(f"{name}: not a consensus segment of format version {FORMAT_VERSION}")
        reader = _WriteReader(name)
        unreadable = False
        for _, payload, end in scan_frames(data, _SEGMENT_HEADER.size, _PART_HEADER.size):
            if payload is not None:
                reader.add_frame(payload)
            elif end < len(data):
                unreadable = True
        if reader.write_count == 0 and unreadable:
            raise CorruptFrameError(f"{name}: the first write can't be read")
        return reader.replay if reader.write_count else None


class _WriteReader:
    """Assembles writes from their parts and replays each complete write."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.replay = Replay()
        self.write_count = 0  # complete writes so far
        self.next_part = 0
        self.partial_data = bytearray()  # data of the next write's parts so far

    def add_frame(self, payload: memoryview) -> None:
        """Add a valid frame; second copies are ignored."""
        write, part, parts = _PART_HEADER.unpack_from(payload)
        if (write, part) == (self.write_count + 1, self.next_part):
            self.partial_data += payload[_PART_HEADER.size :]
            self.next_part += 1
            if self.next_part == parts:
                self._finish_write()
        elif write > self.write_count + 1 or (write == self.write_count + 1 and part > self.next_part):
            raise CorruptFrameError(
                f"{self.name}: write {self.write_count + 1} can't be read, but later writes can"
            )

    def _finish_write(self) -> None:
        for record in _decode(bytes(self.partial_data)):
            self.replay.apply(record)
        self.write_count += 1
        self.next_part = 0
        self.partial_data = bytearray()
