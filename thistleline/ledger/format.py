"""The ledger's on-disk format: segments of frames, where a frame holds records that were written together.

A segment is a header followed by frames up to the end of the file:

    header   magic 8s, version u16, stage count u16, boot id 16s, CRC-32 u32 of boot id and stage names, then
             the stage names, each as u8 length and UTF-8; the boot id identifies the boot of the machine
             that the segment's times refer to
    frame    as in store/frames.py; payload: intent count u32, outcome count u32, then the intents and the
             outcomes (both of fixed size), then the concatenated results
    intent   number u64, stage u16, digest 16s, expires_at i64, lifetime i64, attempt id 16s
    outcome  number u64, kind u8, result length u32; kind "doubtful" is not final: the effect may still run

Times are whole nanoseconds of CLOCK_BOOTTIME, which continues over a restart of the program and cannot be
set.
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

MIN_HEADER_SIZE = _HEADER.size  # bytes of a header without stages
ATTEMPT_ID_SIZE = 16  # bytes; of a longer attempt id the first ones are recorded
OUTCOME_KINDS = ("finished", "failed", "stopped", "moot", "doubtful")
# Content of the result field of a doubtful outcome: boot time in ns until which the final outcome is awaited.
DOUBT_DEADLINE = struct.Struct("<q")
INTENT_SIZE = _INTENT.size  # bytes
OUTCOME_SIZE = _OUTCOME.size  # bytes, without the result
FRAME_OVERHEAD = HEADER_SIZE + _COUNTS.size  # bytes of a frame without its records


class Intent(NamedTuple):
    """The record that an effect is about to start.

    The fields are in the order of the format. A named tuple, because recovery decodes up to a million of
    these records in bulk.

    Attributes:
        number: The effect's number, assigned by the ledger and never reused within a folder.
        stage: Index of the stage in the segment's header.
        digest: 16-byte digest of idempotency key and body.
        expires_at: Boot time in ns at which the key's idempotency window ends.
        lifetime: Nanoseconds from the recording of the intent to `expires_at`; counted from the recovery
            instead if the machine has rebooted since.
        attempt_id: Id by which the agent knows the attempt, at most 16 bytes.
    """

    number: int
    stage: int
    digest: bytes
    expires_at: int
    lifetime: int
    attempt_id: bytes


class Outcome(NamedTuple):
    """The record of how an effect ended, or of the deadline until which the effect's end is awaited.

    Attributes:
        number: The effect's number.
        kind: Index into OUTCOME_KINDS.
        result: The result of the run; for a doubtful outcome, the packed DOUBT_DEADLINE.
    """

    number: int
    kind: int
    result: bytes | memoryview


class RecordGroup(NamedTuple):
    """Records that are written and synced together (group commit)."""

    intents: list[Intent]
    outcomes: list[Outcome]

    def outcomes_size(self) -> int:
        """Return the encoded size of the outcomes and their results, in bytes."""
        results = sum(len(outcome.result) for outcome in self.outcomes)
        return len(self.outcomes) * OUTCOME_SIZE + results

    def size(self) -> int:
        """Return the encoded size of all records, in bytes."""
        return len(self.intents) * INTENT_SIZE + self.outcomes_size()


class SegmentHeader(NamedTuple):
    """The decoded header of a segment.

    Attributes:
        stages: Names of the stages, which intents refer to by index.
        boot: 16-byte id of the boot of the machine that the segment's times refer to.
        size: Size of the header in bytes; the first frame starts at this offset.
    """

    stages: tuple[str, ...]
    boot: bytes
    size: int


def encode_header(stages: tuple[str, ...], boot: bytes) -> bytes:
    """Encode a segment header in the current format version."""
    encoded = [name.encode() for name in stages]
    names = b"".join(bytes([len(name)]) + name for name in encoded)
    checksum = zlib.crc32(names, zlib.crc32(boot, FORMAT_VERSION))
    return _HEADER.pack(MAGIC, FORMAT_VERSION, len(stages), boot, checksum) + names


def decode_header(data: bytes | memoryview) -> SegmentHeader:
    """Decode the header of a segment.

    Raises:
        CorruptFrameError: The header is truncated, has another format, or fails its checksum.
    """
    if len(data) < _HEADER.size:
        raise CorruptFrameError("the header is truncated")
    magic, version, count, boot, checksum = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise CorruptFrameError("not a ledger segment")
    if version not in READABLE_VERSIONS:
        raise CorruptFrameError(
            f"format version {version} is not supported; this program writes version {FORMAT_VERSION}"
        )
    position = _HEADER.size
    names = []
    for _ in range(count):
        if position >= len(data) or position + 1 + data[position] > len(data):
            raise CorruptFrameError("the header is truncated")
        end = position + 1 + data[position]
        names.append(bytes(data[position + 1 : end]))
        position = end
    if zlib.crc32(bytes(data[_HEADER.size : position]), zlib.crc32(boot, version)) != checksum:
        raise CorruptFrameError("header checksum mismatch")
    return SegmentHeader(tuple(name.decode() for name in names), boot, position)


def encode_frame(intents: list[Intent], outcomes: list[Outcome]) -> bytes:
    """Encode a group of records as one frame with a checksum."""
    pack_intent, pack_outcome = _INTENT.pack, _OUTCOME.pack
    parts: list[bytes | memoryview] = [_COUNTS.pack(len(intents), len(outcomes))]
    parts += [pack_intent(*intent) for intent in intents]
    parts += [pack_outcome(number, kind, len(result)) for number, kind, result in outcomes]
    parts += [result for _, _, result in outcomes]
    return encode_checksum_frame(b"".join(parts))


def iter_frames(data: memoryview, position: int) -> Iterator[tuple[int, memoryview | None, int]]:
    """Yield start, payload and end of each frame from `position` on; see `scan_frames`."""
    return scan_frames(data, position, _COUNTS.size)


def decode_group(payload: memoryview) -> RecordGroup:
    """Decode the payload of a complete frame; the results are slices of `payload`.

    Raises:
        CorruptFrameError: The payload is shorter than its counts and lengths require, or has an unknown
            outcome kind.
    """
    intent_count, outcome_count = _COUNTS.unpack_from(payload)
    outcomes_start = _COUNTS.size + intent_count * _INTENT.size
    position = outcomes_start + outcome_count * _OUTCOME.size
    if position > len(payload):
        raise CorruptFrameError("the record group is shorter than its record counts require")
    intents = list(map(Intent._make, _INTENT.iter_unpack(payload[_COUNTS.size : outcomes_start])))
    outcomes = []
    for number, kind, length in _OUTCOME.iter_unpack(payload[outcomes_start:position]):
        if kind >= len(OUTCOME_KINDS) or position + length > len(payload):
            raise CorruptFrameError("the record group has an unknown outcome kind or a truncated result")
        outcomes.append(Outcome(number, kind, payload[position : position + length]))
        position += length
    return RecordGroup(intents, outcomes)
