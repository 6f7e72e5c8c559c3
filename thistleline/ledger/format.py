"""The ledger's form on disk: segments of frames, a frame for each group that was written together.

A segment starts with a head; then frames follow to the end of the file:

    head   magic 8s, form u16, stages u16, boot 16s, CRC-32 u32 of boot and names, then the names of the
           stages, each u8 length and UTF-8; `boot` tells which life of the machine the times count in
    frame  as store/frames.py has it; payload: intents u32, outcomes u32, then the intents,
           the outcomes (both of fixed size), and the results one after another
    intent   number u64, stage u16, digest 16s, until i64, span i64, id 16s
    outcome  number u64, how u8, result length u32; a doubtful one is no end: its effect may run still

Times are whole nanoseconds of CLOCK_BOOTTIME: it goes on over a restart of the program and is set by nobody.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from thistleline.store.frames import HEADER_SIZE, CorruptFrameError, encode_checksum_frame
from thistleline.store.frames import scan_frames as sealed

MAGIC, FORM = b"TLLEDGER", 2
READS = (1, 2)  # 1 knew no doubtful outcomes
_HEAD = struct.Struct("<8sHH16sI")
_COUNTS = struct.Struct("<II")
_INTENT = struct.Struct("<QH16sqq16s")
_OUTCOME = struct.Struct("<QBI")
HEAD_LEAST = _HEAD.size
HOW = ("finished", "failed", "stopped", "moot", "doubtful")
DOUBT = struct.Struct("<q")  # in place of a doubtful one's result: until when it is awaited, boot time
INTENT_COST, OUTCOME_COST, FRAME_COST = _INTENT.size, _OUTCOME.size, HEADER_SIZE + _COUNTS.size


class Intent(NamedTuple):
    number: int  # of the effect, by the ledger; never used twice in a folder
    stage: int
    digest: bytes  # 16 bytes: of mark and body
    until: int  # boot time
    span: int  # from its recording to `until`: what holds if the machine started anew since
    id: bytes  # of the try, 16 bytes at most; as the agent knows it


class Outcome(NamedTuple):
    number: int
    how: int  # place in HOW
    result: bytes | memoryview


class Group(NamedTuple):
    intents: list[Intent]
    outcomes: list[Outcome]


def head(stages: tuple[str, ...], boot: bytes) -> bytes:
    names = b"".join(bytes([len(name.encode())]) + name.encode() for name in stages)
    check = zlib.crc32(names, zlib.crc32(boot, FORM))
    return _HEAD.pack(MAGIC, FORM, len(stages), boot, check) + names


def read_head(data: bytes | memoryview) -> tuple[tuple[str, ...], bytes, int]:
    """Stages, boot and where the frames start. Raises CorruptFrameError, with the reason."""
    if len(data) < _HEAD.size:
        raise CorruptFrameError("it ends within its head")
    magic, form, count, boot, check = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise CorruptFrameError("it is no segment of a ledger")
    if form not in READS:
        raise CorruptFrameError(f"it has form {form}, this program reads form {FORM}")
    place, names = _HEAD.size, []
    for _ in range(count):
        if place >= len(data) or place + 1 + data[place] > len(data):
            raise CorruptFrameError("it ends within its head")
        names.append(bytes(data[place + 1 : place + 1 + data[place]]))
        place += 1 + data[place]
    if zlib.crc32(bytes(data[_HEAD.size : place]), zlib.crc32(boot, form)) != check:
        raise CorruptFrameError("the checksum of its head is wrong")
    return tuple(name.decode() for name in names), boot, place


def frame(intents: list[Intent], outcomes: list[Outcome]) -> bytes:
    pack, told = _INTENT.pack, _OUTCOME.pack
    payload = b"".join(
        [
            _COUNTS.pack(len(intents), len(outcomes)),
            *(pack(*intent) for intent in intents),
            *(told(number, how, len(result)) for number, how, result in outcomes),
            *(result for _, _, result in outcomes),
        ]
    )
    return encode_checksum_frame(payload)


def frames(data: memoryview, place: int) -> Iterator[tuple[int, memoryview | None, int]]:
    """As store/frames.py has them."""
    return sealed(data, place, _COUNTS.size)


def group(payload: memoryview) -> Group:
    """What a whole payload holds; its results are slices of it. Raises CorruptFrameError where its lengths
    disagree."""
    intents, outcomes = _COUNTS.unpack_from(payload)
    first = _COUNTS.size + intents * _INTENT.size
    place = first + outcomes * _OUTCOME.size
    if place > len(payload):
        raise CorruptFrameError("a group is shorter than it says")
    made = list(map(Intent._make, _INTENT.iter_unpack(payload[_COUNTS.size : first])))
    told = []
    for number, how, length in _OUTCOME.iter_unpack(payload[first:place]):
        if how >= len(HOW) or place + length > len(payload):
            raise CorruptFrameError("a group is shorter than it says")
        told.append(Outcome(number, how, payload[place : place + length]))
        place += length
    return Group(made, told)
