"""The ledger's on-disk format: segments of frames, one frame for each group of records written together.

A segment starts with a header; frames follow to the end of the file:

    header   magic 8s, version u16, stages u16, boot 16s, CRC-32 u32 of boot and names, then the names of the
             stages, each u8 length and UTF-8; `boot` identifies the machine's boot that the times count in
    frame    as store/frames.py has it; payload: intents u32, outcomes u32, then the intents,
             the outcomes (both of fixed size), and the results one after another
    intent   number u64, stage u16, digest 16s, expires_at i64, lifetime i64, attempt id 16s
    outcome  number u64, kind u8, result length u32; a doubtful one is no end: its effect may still be running

Times are whole nanoseconds of CLOCK_BOOTTIME, which continues over a restart of the program and which nobody
can set.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from thistleline.store.frames import (
    HEADER_SIZE,
    CorruptFrameError,
    encode_checksum_frame,
    scan_frames,
)

MAGIC = b"TLLEDGER"
FORMAT_VERSION = 2
READABLE_VERSIONS = (1, 2)  # version 1 had no doubtful outcomes

_HEADER = struct.Struct("<8sHH16sI")
_COUNTS = struct.Struct("<II")
_INTENT = struct.Struct("<QH16sqq16s")
_OUTCOME = struct.Struct("<QBI")

MIN_HEADER_SIZE = _HEADER.size  # bytes, of a header without stages
OUTCOME_KINDS = ("finished", "failed", "stopped", "moot", "doubtful")
DOUBT_DEADLINE = struct.Struct("<q")  # the result of a doubtful outcome: until when to wait, boot time in ns
INTENT_SIZE = _INTENT.size  # bytes
OUTCOME_SIZE = _OUTCOME.size  # bytes, without the result
FRAME_OVERHEAD = HEADER_SIZE + _COUNTS.size  # bytes of a frame beside its records


class Intent(NamedTuple):
    """The record that an effect is about to start.

    Its fields are in the order of the format. A named tuple, as recovery decodes up to a million in bulk.

    Attributes:
        number: The effect's number, given by the ledger and never used twice in a folder.
        stage: Place of the stage in the segment's header.
        digest: 16 bytes: the digest of idempotency key and body.
        expires_at: Boot time in ns at which the key's window has passed.
        lifetime: Nanoseconds from the recording to `expires_at`; what holds if the machine rebooted since.
        attempt_id: Id of the attempt as the agent knows it, 16 bytes at most.
    """

    number: int
    stage: int
    digest: bytes
    expires_at: int
    lifetime: int
    attempt_id: bytes


class Outcome(NamedTuple):
    """The record of how an effect ended, or until when its end is awaited.

    Attributes:
        number: The effect's number.
        kind: Index in OUTCOME_KINDS.
        result: The effect's result; of a doubtful outcome the packed DOUBT_DEADLINE.
    """

    number: int
    kind: int
    result: bytes | memoryview


class RecordGroup(NamedTuple):
    """The records that are written and synced together (group commit)."""

    intents: list[Intent]
    outcomes: list[Outcome]

    def outcomes_size(self) -> int:
        """Return the bytes that the outcomes and their results take in frames."""
        results = sum(len(outcome.result) for outcome in self.outcomes)
        return len(self.outcomes) * OUTCOME_SIZE + results

    def size(self) -> int:
        """Return the bytes that all records take in frames."""
        return len(self.intents) * INTENT_SIZE + self.outcomes_size()


class SegmentHeader(NamedTuple):
    """What the header of a segment says.

    Attributes:
        stages: Names of the stages, which intents refer to by place.
        boot: 16 bytes that identify the machine's boot that the times count in.
        size: Bytes of the header; the first frame starts there.
    """

    stages: tuple[str, ...]
    boot: bytes
    size: int


def encode_header(stages: tuple[str, ...], boot: bytes) -> bytes:
    """Encode the header of a segment written by this version."""
    encoded = [name.encode() for name in stages]
    names = b"".join(bytes([len(name)]) + name for name in encoded)
    checksum = zlib.crc32(names, zlib.crc32(boot, FORMAT_VERSION))
    return _HEADER.pack(MAGIC, FORMAT_VERSION, len(stages), boot, checksum) + names


def decode_header(data: bytes | memoryview) -> SegmentHeader:
    """Decode the header that a segment starts with.

    Raises:
        CorruptFrameError: With the reason, if the header is cut short, of another format, or fails its
            checksum.
    """
    if len(data) < _HEADER.size:
        raise CorruptFrameError("it ends within its head")
    magic, version, count, boot, checksum = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise CorruptFrameError("it is no segment of a ledger")
    if version not in READABLE_VERSIONS:
        raise CorruptFrameError(f"it has form {version}, this program reads form {FORMAT_VERSION}")
    position = _HEADER.size
    names = []
    for _ in range(count):
        if position >= len(data) or position + 1 + data[position] > len(data):
            raise CorruptFrameError("it ends within its head")
        end = position + 1 + data[position]
        names.append(bytes(data[position + 1 : end]))
        position = end
    if zlib.crc32(bytes(data[_HEADER.size : position]), zlib.crc32(boot, version)) != checksum:
        raise CorruptFrameError("the checksum of its head is wrong")
    return SegmentHeader(tuple(name.decode() for name in names), boot, position)


def encode_frame(intents: list[Intent], outcomes: list[Outcome]) -> bytes:
    """Encode a group of records as one frame with its checksum."""
    pack_intent, pack_outcome = _INTENT.pack, _OUTCOME.pack
    parts: list[bytes | memoryview] = [_COUNTS.pack(len(intents), len(outcomes))]
    parts += [pack_intent(*intent) for intent in intents]
    parts += [pack_outcome(number, kind, len(result)) for number, kind, result in outcomes]
    parts += [result for _, _, result in outcomes]
    return encode_checksum_frame(b"".join(parts))


def iter_frames(data: memoryview, position: int) -> Iterator[tuple[int, memoryview | None, int]]:
    """Yield start, payload and end of each frame from `position` on, as store/frames.py does."""
    return scan_frames(data, position, _COUNTS.size)


def decode_group(payload: memoryview) -> RecordGroup:
    """Decode the payload of a whole frame; the results in it are slices of `payload`.

    Raises:
        CorruptFrameError: If the lengths in the payload disagree.
    """
    intent_count, outcome_count = _COUNTS.unpack_from(payload)
    outcomes_start = _COUNTS.size + intent_count * _INTENT.size
    position = outcomes_start + outcome_count * _OUTCOME.size
    if position > len(payload):
        raise CorruptFrameError("a group is shorter than it says")
    intents = list(map(Intent._make, _INTENT.iter_unpack(payload[_COUNTS.size : outcomes_start])))
    outcomes = []
    for number, kind, length in _OUTCOME.iter_unpack(payload[outcomes_start:position]):
        if kind >= len(OUTCOME_KINDS) or position + length > len(payload):
            raise CorruptFrameError("a group is shorter than it says")
        outcomes.append(Outcome(number, kind, payload[position : position + length]))
        position += length
    return RecordGroup(intents, outcomes)
