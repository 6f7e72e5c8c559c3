"""Frames with a checksum: magic bytes, length, CRC-32 and payload, one after another in a segment.

A frame that is truncated, or whose checksum is wrong, is skipped: `scan_frames` looks for the next valid one
after it, so that a flipped bit invalidates only the frame that contains it.
"""

import struct
import zlib
from collections.abc import Iterator

MAGIC = b"\xf5TLF"
MAX_PAYLOAD_SIZE = 8 * 1024 * 1024  # bytes; a larger length is treated as corruption
_HEADER = struct.Struct("<4sII")  # magic, payload length, CRC-32 of the payload
HEADER_SIZE = _HEADER.size  # bytes


class CorruptFrameError(Exception):
    """Unusable stored data: no header, one of another format, or unreadable data where none is allowed."""


def encode_checksum_frame(payload: bytes) -> bytes:
    """Return the payload, preceded by a header with its length and checksum."""
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def scan_frames(
    data: memoryview, offset: int, min_payload_size: int
) -> Iterator[tuple[int, memoryview | None, int]]:
    """Yield (start, payload, end) of each frame, in order, as byte offsets into `data`.

    The payload is None for a byte range without a valid frame. A payload shorter than `min_payload_size`
    bytes is treated as corruption.
    """
    end = len(data)
    while offset < end:
        payload = _valid_payload(data, offset, min_payload_size)
        if payload is not None:
            after = offset + HEADER_SIZE + len(payload)
        else:
            after = _next_valid_frame(data, offset + 1, min_payload_size)
        yield offset, payload, after
        offset = after


def _next_valid_frame(data: memoryview, offset: int, min_payload_size: int) -> int:
    """Return where the next valid frame at or after `offset` starts, or the end of the data."""
    end = len(data)
    while True:
        offset = _find_magic(data, offset)
        if offset >= end or _valid_payload(data, offset, min_payload_size) is not None:
            return offset
        offset += 1


def _find_magic(data: memoryview, offset: int) -> int:
    found = data.obj.find(MAGIC, offset)  # type: ignore[attr-defined]
    return len(data) if found < 0 else int(found)


def _valid_payload(data: memoryview, offset: int, min_payload_size: int) -> memoryview | None:
    """Return the payload of the frame at `offset`, or None if there is no valid frame."""
    if offset + HEADER_SIZE > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[offset + HEADER_SIZE : offset + HEADER_SIZE + length]
    if magic != MAGIC or not min_payload_size <= length <= MAX_PAYLOAD_SIZE or len(payload) < length:
        return None
    return payload if zlib.crc32(payload) == checksum else None
