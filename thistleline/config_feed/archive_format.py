"""The format of an archive's segments: encodes and decodes a table and later updates (steps). No I/O.

A segment begins with a header (magic 8s, format u16, kind u8: 0 wide, 1 all). Frames follow, each with a
number u64 (1 for the first of the segment), a letter and msgpack:

    P   about PART_SIZE bytes of entries of the snapshot
    E   the end of the snapshot: sequence number of the table, digest, number of entries
    L   steps written together: (last, items), ..., and the digest after them; this frame is written twice

The second copy of a step frame protects against a flipped bit, which would otherwise look like a torn write.
If a frame in the middle is missing, the segment is corrupt: recovering a state without the changes of that
frame would be worse than recovering none.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from thistleline.config_feed.history import Items
from thistleline.config_feed.limits import PART_SIZE
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import PARTIAL_PREFIXES, FeedTable
from thistleline.store.frames import CorruptFrameError, encode_checksum_frame, scan_frames

MAGIC = b"TLFEEDAR"
FORMAT_VERSION = 1
SNAPSHOT_PART = b"P"
SNAPSHOT_END = b"E"
STEPS = b"L"
_HEADER = struct.Struct("<8sHB")
_FRAME_HEADER = struct.Struct("<Qc")

_encode = msgspec.msgpack.Encoder().encode
_decode_part = msgspec.msgpack.Decoder(tuple[tuple[str, bytes, int], ...]).decode
_decode_end = msgspec.msgpack.Decoder(tuple[int, bytes, int]).decode
_decode_steps = msgspec.msgpack.Decoder(tuple[tuple[tuple[int, Items], ...], bytes]).decode


class IncompleteSegmentError(Exception):
    """The snapshot of a segment is incomplete, because the process ended while writing it."""


class ArchivedStep(NamedTuple):
    """The items that transform the state `first` into the state `last`."""

    first: int
    last: int
    items: Items


def is_supported(data: memoryview, kind: Kind) -> bool:
    """Return whether a segment has this format version and kind, or no complete header."""
    return len(data) < _HEADER.size or data[: _HEADER.size] == encode_header(kind)


def encode_header(kind: Kind) -> bytes:
    """Return the header of a segment of this kind."""
    return _HEADER.pack(MAGIC, FORMAT_VERSION, int(kind == "all"))


class SegmentEncoder:
    """Encodes segments one after another; numbers the frames within each segment."""

    __slots__ = ("_frame", "_kind")

    def __init__(self, kind: Kind) -> None:
        """Encode segments of this kind; the first begins with a call of `snapshot`."""
        self._kind = kind
        self._frame = 0  # number of the last frame in the segment

    def snapshot(self, table: FeedTable) -> Iterator[bytes]:
        """Begin a segment: yield its header, then the frames of its snapshot."""
        yield encode_header(self._kind)
        self._frame = 0
        entry_count = 0
        size = 0
        part: list[tuple[str, bytes, int]] = []
        for entry in table.entries(self._kind):
            part.append(entry)
            entry_count += 1
            size += len(entry[0]) + len(entry[1])
            if size >= PART_SIZE:
                yield self._encode_frame(SNAPSHOT_PART, part)
                part = []
                size = 0
        if part:
            yield self._encode_frame(SNAPSHOT_PART, part)
        yield self._encode_frame(SNAPSHOT_END, (table.sequence, table.digest(self._kind), entry_count))

    def steps(self, steps: Sequence[ArchivedStep], digest: bytes) -> bytes:
        """Return the two copies of a frame of steps; `digest` is the digest of the state after the steps."""
        content = tuple((step.last, self._items_of_kind(step.items)) for step in steps)
        return 2 * self._encode_frame(STEPS, (content, digest))

    def _items_of_kind(self, items: Items) -> Items:
        if self._kind == "all":
            return items
        return tuple(item for item in items if not item[0].startswith(PARTIAL_PREFIXES))

    def _encode_frame(self, letter: bytes, content: Any) -> bytes:
        self._frame += 1
        return encode_checksum_frame(_FRAME_HEADER.pack(self._frame, letter) + _encode(content))


@dataclass(slots=True)
class _SegmentContents:
    """The frames of a segment, by their letter."""

    parts: list[memoryview] = field(default_factory=list)
    end: tuple[int, bytes, int] | None = None  # sequence number, digest and entry count of the snapshot
    steps: list[memoryview] = field(default_factory=list)
    frame_count: int = 0
    has_gap: bool = False  # a frame is missing, but later ones can be read


def read_segment(data: memoryview, name: str, kind: Kind) -> FeedTable:
    """Return the newest table in a segment.

    Args:
        data: Contents of the segment.
        name: Name of the segment, for error messages.
        kind: Required kind of the segment.

    Raises:
        IncompleteSegmentError: The header or the snapshot is incomplete.
        CorruptFrameError: The segment has another format or kind, or is corrupt.
        msgspec.DecodeError: A frame is corrupt.
    """
    if len(data) < _HEADER.size:
        raise IncompleteSegmentError(f"{name} has no complete header")
    if not is_supported(data, kind):
        raise CorruptFrameError(
            f"{name} is not an archive of format version {FORMAT_VERSION} and kind {kind}"
        )
    contents = _read_frames(data, name)
    if contents.end is None:
        raise IncompleteSegmentError(f"{name} has no complete snapshot")
    if contents.has_gap:
        raise CorruptFrameError(
            f"{name}: frame {contents.frame_count + 1} can't be read, but later frames can"
        )
    table = _decode_snapshot(contents.parts, contents.end, name, kind)
    return _apply_steps(table, contents.steps, name, kind) if contents.steps else table


def _read_frames(data: memoryview, name: str) -> _SegmentContents:
    contents = _SegmentContents()
    for _, payload, _ in scan_frames(data, _HEADER.size, _FRAME_HEADER.size):
        if payload is None:
            continue  # a torn write, or a gap if a later frame can be read
        number, letter = _FRAME_HEADER.unpack_from(payload)
        if number == contents.frame_count and letter == STEPS:
            continue  # the second copy
        if number != contents.frame_count + 1:
            contents.has_gap = True
            break
        contents.frame_count = number
        body = payload[_FRAME_HEADER.size :]
        if letter == SNAPSHOT_PART and contents.end is None:
            contents.parts.append(body)
        elif letter == SNAPSHOT_END and contents.end is None:
            contents.end = _decode_end(body)
        elif letter == STEPS and contents.end is not None:
            contents.steps.append(body)
        else:
            raise CorruptFrameError(f"{name}: frame {number} has an unexpected type")
    return contents


def _decode_snapshot(
    parts: Sequence[memoryview], end: tuple[int, bytes, int], name: str, kind: Kind
) -> FeedTable:
    sequence, digest, entry_count = end
    entries = (entry for part in parts for entry in _decode_part(part))
    table = FeedTable().update(sequence, entries, kind)
    if table.digest(kind) != digest or table.entry_count(kind) != entry_count:
        raise CorruptFrameError(f"{name}: the snapshot does not match its digest or entry count")
    return table


def _apply_steps(table: FeedTable, frames_of_steps: Sequence[memoryview], name: str, kind: Kind) -> FeedTable:
    last = table.sequence
    digest = b""
    all_items: list[Items] = []
    for body in frames_of_steps:
        steps, digest = _decode_steps(body)
        all_items += [items for _, items in steps]
        last = steps[-1][0]
    table = table.update(last, (item for items in all_items for item in items), kind)
    if table.digest(kind) != digest:
        raise CorruptFrameError(f"{name}: the table after the steps does not match its digest")
    return table
