"""The table on disk: what a keeper or an instance finds again after a restart. Blocks; run in a thread.

A segment starts with a head (magic 8s, form u16, kind u8: 0 wide, 1 all); then frames follow, each a number
u64 (1 the first in the segment), a letter and msgpack:

    P   entries of the snapshot, about PART_SIZE bytes of them
    E   the snapshot's end: number of the table, digest, entries
    L   steps that were written at once: (last, items), ..., and the digest after them; written twice

A write goes out only once the one before is durable, so a crash can tear the last one alone, and that was not
told of as durable yet; the copy guards against a flipped bit that would pass for a tear. Where a frame is
missing in the middle nothing is known: a state that jumps would be worse than none, and others have it all.

After a start and after any trouble the next write begins a new segment with a snapshot. Older segments go
only once that one and its name are durable, so there is always a whole one. The log of a segment may grow to
the size of its snapshot (LOG_LEAST at least): on disk are at most about three times the table.
"""

import struct
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from thistleline.config_feed.history import Items, size_of
from thistleline.config_feed.limits import PART_SIZE
from thistleline.config_feed.messages import Kind
from thistleline.config_feed.table import APART, Table
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError, encode_checksum_frame, scan_frames

MAGIC, FORM = b"TLFEEDAR", 1
LOG_LEAST = 1 << 20  # bytes of steps before a segment is written anew
WRITE_BOUND = 4 << 20  # bytes of steps in one write; more is a snapshot
_HEAD = struct.Struct("<8sHB")
_FRAME = struct.Struct("<Qc")
Step = tuple[int, int, Items]  # first, last, items

_encode = msgspec.msgpack.Encoder().encode
_decode_part = msgspec.msgpack.Decoder(tuple[tuple[str, bytes, int], ...]).decode
_decode_end = msgspec.msgpack.Decoder(tuple[int, bytes, int]).decode
_decode_log = msgspec.msgpack.Decoder(tuple[tuple[tuple[int, Items], ...], bytes]).decode


class _Unfinished(Exception):
    """The snapshot of a segment is not whole."""


class Archive:
    def __init__(self, disk: Disk, kind: Kind) -> None:
        """`disk` is held by the caller, who also releases it."""
        self.disk, self.kind = disk, kind
        self.durable = 0  # number that a restart would find
        self.digest = Table().digest(kind)  # there
        self.why = ""  # what kept `recover` from finding a state, for the log
        self.segment = self.frame = 0  # numbers of the newest
        self.old: list[int] = []  # segments that go with the next snapshot
        self.fresh = True
        self.snapshot_size = self.log_size = 0  # bytes in the segment

    # ---- at start

    def recover(self) -> Table | None:
        """The newest whole state; none where nothing is known, which `why` tells if there were segments.
        Raises OSError."""
        segments = [number for number, _ in self.disk.segments()]
        self.segment = segments[-1] if segments else 0
        self.old, self.fresh, self.why = list(segments), True, ""
        for number in reversed(segments):
            try:
                table = self._read(number)
            except _Unfinished as error:
                self.why = str(error)  # it was being written when all ended: the one before is still there
                continue
            except (CorruptFrameError, msgspec.DecodeError, ValueError) as error:
                self.why = str(error)
                return None
            self.durable, self.digest, self.why = table.number, table.digest(self.kind), ""
            return table
        return None

    def _read(self, number: int) -> Table:
        data, name = memoryview(self.disk.read(number)), self.disk.path(number).name
        if len(data) < _HEAD.size:
            raise _Unfinished(f"{name} has no whole head")
        if data[: _HEAD.size] != self._head():
            raise CorruptFrameError(f"{name} is no archive of form {FORM} and kind {self.kind}")
        count, parts, logs = 0, [], []
        end: tuple[int, bytes, int] | None = None
        gap = False
        for _, payload, _ in scan_frames(data, _HEAD.size, _FRAME.size):
            if payload is None:
                continue  # a tear, if nothing that is missing comes after it
            frame, letter = _FRAME.unpack_from(payload)
            if frame == count and letter == b"L":
                continue  # the copy
            if frame != count + 1:
                gap = True
                break
            count = frame
            if letter == b"P" and end is None:
                parts.append(payload[_FRAME.size :])
            elif letter == b"E" and end is None:
                end = _decode_end(payload[_FRAME.size :])
            elif letter == b"L" and end is not None:
                logs.append(payload[_FRAME.size :])
            else:
                raise CorruptFrameError(f"{name}: frame {frame} is out of place")
        if end is None:
            raise _Unfinished(f"{name} holds no whole snapshot")
        if gap:
            raise CorruptFrameError(f"{name}: frame {count + 1} can't be read, and later ones can")
        at, digest, entries = end
        table = Table().moved(at, (entry for part in parts for entry in _decode_part(part)), self.kind)
        if table.digest(self.kind) != digest or table.count(self.kind) != entries:
            raise CorruptFrameError(f"{name}: the snapshot's digest differs")
        if not logs:
            return table
        last = at
        steps: list[Items] = []
        for log in logs:
            told, digest = _decode_log(log)
            steps += [items for _, items in told]
            last = told[-1][0]
        table = table.moved(last, (item for items in steps for item in items), self.kind)
        if table.digest(self.kind) != digest:
            raise CorruptFrameError(f"{name}: the digest after its steps differs")
        return table

    def _head(self) -> bytes:
        return _HEAD.pack(MAGIC, FORM, int(self.kind == "all"))

    # ---- from then on

    def write(self, table: Table, steps: Sequence[Step] = ()) -> int:
        """Returns the number that is durable now. `steps` lead from `durable` to the table; where they don't,
        where the log is long, or after trouble, all of the table is written. Raises OSError where it can't be
        said what is durable beyond `durable`; the next write goes to a new segment."""
        digest = table.digest(self.kind)
        if not self.fresh and (table.number, digest) == (self.durable, self.digest):
            return self.durable
        data = b"" if self.fresh else self._log(table, steps)
        try:
            if data:
                self.disk.append(data)
                self.disk.sync()
                self.log_size += len(data)
            else:
                self._rewrite(table)
        except OSError:
            self.fresh = True
            raise
        self.durable, self.digest = table.number, digest
        return self.durable

    def _log(self, table: Table, steps: Sequence[Step]) -> bytes:
        """Nothing where a snapshot is wanted."""
        at = self.durable
        for first, last, _ in steps:
            if first != at or last <= first:
                return b""
            at = last
        if not steps or at != table.number:
            return b""
        size = 0
        for _, _, items in steps:
            size += size_of(items)
            if size > WRITE_BOUND:
                return b""
        told = tuple((last, self._of_kind(items)) for _, last, items in steps)
        self.frame += 1
        data = 2 * encode_checksum_frame(
            _FRAME.pack(self.frame, b"L") + _encode((told, table.digest(self.kind)))
        )
        return data if self.log_size + len(data) <= max(LOG_LEAST, self.snapshot_size) else b""

    def _of_kind(self, items: Items) -> Items:
        return items if self.kind == "all" else tuple(item for item in items if not item[0].startswith(APART))

    def _rewrite(self, table: Table) -> None:
        disk = self.disk
        self.segment += 1
        size = 0
        try:
            disk.begin(self.segment)
            for data in self._snapshot(table):
                disk.append(data)
                size += len(data)
            disk.sync()
            disk.sync_folder()
        except OSError:
            # Guards against a full disk that is filled by every next try.
            if not self._remove(self.segment):
                self.old.append(self.segment)
            raise
        self.fresh, self.snapshot_size, self.log_size = False, size, 0
        self.old = [number for number in self.old if not self._remove(number)] + [self.segment]

    def _snapshot(self, table: Table) -> Iterator[bytes]:
        yield self._head()
        self.frame = entries = size = 0
        part: list[tuple[str, bytes, int]] = []
        for entry in table.entries(self.kind):
            part.append(entry)
            entries += 1
            size += len(entry[0]) + len(entry[1])
            if size >= PART_SIZE:
                yield self._sealed(b"P", part)
                part, size = [], 0
        if part:
            yield self._sealed(b"P", part)
        yield self._sealed(b"E", (table.number, table.digest(self.kind), entries))

    def _sealed(self, letter: bytes, told: Any) -> bytes:
        self.frame += 1
        return encode_checksum_frame(_FRAME.pack(self.frame, letter) + _encode(told))

    def _remove(self, number: int) -> bool:
        try:
            self.disk.remove(number)
        except OSError:
            return False  # read over at the next start, and tried again with the next snapshot
        return True
