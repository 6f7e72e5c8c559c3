"""The format of an archive's segments: how a table and the steps after it are encoded and read back. No I/O.

A segment begins with a header (magic 8s, format u16, kind u8: 0 wide, 1 all). Frames follow, each a number
u64 (1 is the first of the segment), a letter and msgpack:

    P   entries of the snapshot, about PART_SIZE bytes of them
    E   the snapshot's end: sequence number of the table, digest, number of entries
    L   steps that were written at once: (last, items), ..., and the digest after them; written twice

The second copy of a step frame protects from a flipped bit that would pass for a torn write. Where a frame in
the middle is missing the segment is corrupt: a state with a gap would be worse than none.
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
    """The snapshot of a segment is not complete: it was being written when the process ended."""


class ArchivedStep(NamedTuple):
    """Leads from the state `first` to the state `last`."""

    first: int
    last: int
    items: Items


def encode_header(kind: Kind) -> bytes:
    """Return the header of a segment of this kind."""
    return _HEADER.pack(MAGIC, FORMAT_VERSION, int(kind == "all"))


class SegmentEncoder:
    """Encodes one segment after another, numbering the frames of each."""

    __slots__ = ("_frame", "_kind")

    def __init__(self, kind: Kind) -> None:
        """Encode segments of this kind; `snapshot` begins the first."""
        self._kind = kind
        self._frame = 0  # number of the newest frame in the segment

    def snapshot(self, table: FeedTable) -> Iterator[bytes]:
        """Begin a segment: yield its header and its snapshot, piece by piece."""
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
        """Return the frame of some steps, twice; `digest` is that of the state after them."""
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
    """The frames of a segment, by what they hold."""

    parts: list[memoryview] = field(default_factory=list)
    end: tuple[int, bytes, int] | None = None  # sequence number, digest and entries of the snapshot
    steps: list[memoryview] = field(default_factory=list)
    frame_count: int = 0
    has_gap: bool = False  # a frame is missing, and later ones are there


def read_segment(data: memoryview, name: str, kind: Kind) -> FeedTable:
    """Return the newest table in a segment.

    Args:
        data: Contents of the segment.
        name: Of the segment, for errors.
        kind: That the segment must have.

    Raises:
        IncompleteSegmentError: The snapshot is not complete.
        CorruptFrameError: The segment is of another form or kind, or is corrupt.
        msgspec.DecodeError: A frame is corrupt.
    """
    if len(data) < _HEADER.size:
        raise IncompleteSegmentError(f"{name} has no whole head")
    if data[: _HEADER.size] != encode_header(kind):
        raise CorruptFrameError(f"{name} is no archive of form {FORMAT_VERSION} and kind {kind}")
    contents = _read_frames(data, name)
    if contents.end is None:
        raise IncompleteSegmentError(f"{name} holds no whole snapshot")
    if contents.has_gap:
        raise CorruptFrameError(f"{name}: frame {contents.frame_count + 1} can't be read, and later ones can")
    table = _decode_snapshot(contents.parts, contents.end, name, kind)
    return _apply_steps(table, contents.steps, name, kind) if contents.steps else table


def _read_frames(data: memoryview, name: str) -> _SegmentContents:
    contents = _SegmentContents()
    for _, payload, _ in scan_frames(data, _HEADER.size, _FRAME_HEADER.size):
        if payload is None:
            continue  # a torn write, unless a later frame reveals that this one is missing
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
            raise CorruptFrameError(f"{name}: frame {number} is out of place")
    return contents


def _decode_snapshot(
    parts: Sequence[memoryview], end: tuple[int, bytes, int], name: str, kind: Kind
) -> FeedTable:
    sequence, digest, entry_count = end
    entries = (entry for part in parts for entry in _decode_part(part))
    table = FeedTable().update(sequence, entries, kind)
    if table.digest(kind) != digest or table.entry_count(kind) != entry_count:
        raise CorruptFrameError(f"{name}: the snapshot's digest differs")
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
        raise CorruptFrameError(f"{name}: the digest after its steps differs")
    return table
