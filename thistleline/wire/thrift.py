"""Client stubs: Thrift, framed transport, strict binary protocol.

`Stubs.messages` yields a plain tuple a message:

    ("task", seq, Task, word, body)     word: the mark or subject by which repeats are known, or None
    ("check", seq, deep)
    ("malformed", seq, method, text)    to be answered by `misunderstood`; nothing can where seq is None
"""

from collections.abc import Iterator
from struct import Struct
from typing import Any

from thistleline.interface import ServerSettings, Task
from thistleline.wire.buffer import Buffer
from thistleline.wire.settings import Malformed

VERSION = 0x80010000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15
FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7

FRAME_BOUND = 8 * 1024  # a task with the largest body takes under 4 KiB
BUFFER_BOUND = FRAME_BOUND + 4 * 1024
BODY_BOUND, FIELDS_BOUND, NAME_BOUND, DEPTH_BOUND = 2048, 64, 64, 16
DIGITS_BOUND, WORK_BOUND = 16, 1e9  # of a number; milliseconds
PASSED_OVER_BOUND = 1 << 16  # a longer frame is taken for noise: a close costs less than reading it

_i16, _i32, _u32 = Struct(">h").unpack_from, Struct(">i").unpack_from, Struct(">I").unpack_from
_field, _entries = Struct(">bh").pack, Struct(">bbi").pack
_length = Struct(">i").pack


class Reader:
    """Walks through one frame; what is short or out of bounds raises Malformed."""

    __slots__ = ("at", "view")

    def __init__(self, view: memoryview) -> None:
        self.view = view
        self.at = 0

    def passed(self, count: int) -> int:
        at = self.at
        if count < 0 or at + count > len(self.view):
            raise Malformed("the message ends early")
        self.at = at + count
        return at

    def byte(self) -> int:
        return self.view[self.passed(1)]

    def i16(self) -> int:
        return int(_i16(self.view, self.passed(2))[0])

    def i32(self) -> int:
        return int(_i32(self.view, self.passed(4))[0])

    def binary(self) -> memoryview:
        count = self.i32()
        at = self.passed(count)
        return self.view[at : at + count]

    def text(self) -> str:
        try:
            return str(self.binary(), "utf-8")
        except UnicodeDecodeError as error:
            raise Malformed("a text is not UTF-8") from error

    def words(self) -> dict[str, str]:
        kind, other, count = self.byte(), self.byte(), self.i32()
        if not 0 <= count <= FIELDS_BOUND or (count and (kind, other) != (STRING, STRING)):
            raise Malformed("the fields are no map of texts")
        return {self.text(): self.text() for _ in range(count)}

    def pass_over(self, kind: int, depth: int = 0) -> None:
        if depth > DEPTH_BOUND:
            raise Malformed("nested too deep")
        if kind in FIXED:
            self.passed(FIXED[kind])
        elif kind == STRING:
            self.binary()
        elif kind == STRUCT:
            while inner := self.byte():
                self.i16()
                self.pass_over(inner, depth + 1)
        elif kind in (LIST, SET):
            inner = self.byte()
            for _ in range(self._count()):
                self.pass_over(inner, depth + 1)
        elif kind == MAP:
            inner, other = self.byte(), self.byte()
            for _ in range(self._count()):
                self.pass_over(inner, depth + 1)
                self.pass_over(other, depth + 1)
        else:
            raise Malformed(f"type {kind} is unknown")

    def _count(self) -> int:
        count = self.i32()
        if not 0 <= count <= len(self.view):
            raise Malformed("a count is out of bounds")
        return count


class Stubs:
    """Reads and writes for one server, whose stages and owners the messages name."""

    def __init__(self, settings: ServerSettings) -> None:
        self.stages = {stage.name: place for place, stage in enumerate(settings.stages)}
        self.marked = [stage.effect == "keyed" for stage in settings.stages]
        self.owners = {owner.name: place for place, owner in enumerate(settings.tenants)}

    def messages(self, buffer: Buffer) -> Iterator[tuple[Any, ...]]:
        """Takes every whole frame out of the buffer."""
        while len(buffer) >= 4:
            (count,) = _u32(buffer.view, buffer.start)
            if count > FRAME_BOUND:
                seq, method = self._head_of(buffer.view[buffer.start + 4 : buffer.end])
                if count > PASSED_OVER_BOUND:
                    seq = None
                elif seq is None and len(buffer) < 4 + 12 + NAME_BOUND:
                    return  # its head is still to come
                buffer.ignore(4 + count)
                yield "malformed", seq, method, f"a frame of {count} bytes"
                continue
            if len(buffer) < 4 + count:
                return
            frame = buffer.take(4 + count)[4:]
            try:
                message = self.parse(frame)
            except Malformed as error:
                message = ("malformed", *self._head_of(frame), str(error))
            if message:
                yield message

    def parse(self, frame: memoryview) -> tuple[Any, ...]:
        reader = Reader(frame)
        if len(frame) < 4 or _u32(frame, 0)[0] & 0xFFFFFF00 != VERSION:
            raise Malformed("not strict binary")
        kind = reader.i32() & 0xFF
        method, seq = reader.text(), reader.i32()
        if kind not in (CALL, ONEWAY):
            raise Malformed(f"message type {kind} is no call")
        if method == "process":
            return self._task(reader, seq)
        if method == "probe":
            deep = False
            while field := reader.byte():
                if (field, reader.i16()) == (BOOL, 1):
                    deep = bool(reader.byte())
                else:
                    reader.pass_over(field)
            return ("check", seq, deep)
        if kind == ONEWAY:
            return ()
        raise Malformed(f"method {method[:NAME_BOUND]!r} is unknown")

    def _task(self, reader: Reader, seq: int) -> tuple[Any, ...]:
        words: dict[str, str] = {}
        body = reader.view[:0]
        while field := reader.byte():
            place = reader.i16()
            if (field, place) == (MAP, 1):
                words = reader.words()
            elif (field, place) == (STRING, 2):
                body = reader.binary()
            else:
                reader.pass_over(field)
        if len(body) > BODY_BOUND:
            raise Malformed("the body is too long")
        try:
            stage = self.stages[words["service"]]
            mark, subject, effort = words.get("replay"), words.get("lookup"), words.get("effort")
            if self.marked[stage] and not mark:
                raise Malformed("the mark of repeats is missing")
            ref = words["ref"]
            if len(ref) != 16 or not all(digit in "0123456789abcdefABCDEF" for digit in ref):
                raise Malformed("ref is no id")
            task = Task(
                id=ref,
                stage=stage,
                tenant=self.owners[words["project"]] if self.owners else 0,
                client=_whole(words["sender"]),
                priority_rank=_number(words["class_rank"], 1.0),
                user=None if subject is None else _whole(subject, 16),
                estimated_work=None
                if effort is None
                else int(_number(effort, WORK_BOUND) * 1_000_000) or None,
                queued_memory_kb=_number(words["room"], 2000.0),
                arrived_at=_whole(words["since"]) * 1_000_000,
                deadline=None,
                is_retry="dup" in words,
                duplicate_of=None,
            )
        except KeyError as error:
            raise Malformed(f"{error.args[0]!s:.40} is missing or unknown") from error
        except ValueError as error:
            raise Malformed("a field is no number") from error
        return ("task", seq, task, mark if self.marked[stage] else subject, body)

    def _head_of(self, frame: memoryview) -> tuple[int | None, bytes]:
        """Sequence number and method, where the head can be read."""
        reader = Reader(frame)
        try:
            if reader.i32() & 0xFFFFFF00 == VERSION:
                method = bytes(reader.binary()[:NAME_BOUND])
                return reader.i32(), method
        except Malformed:
            pass
        return None, b""


def _whole(text: str, base: int = 10) -> int:
    if len(text) > DIGITS_BOUND:
        raise Malformed("a number is too long")
    if not (text.isascii() and text.isalnum()):  # no signs, blanks or underscores, which `int` allows
        raise ValueError
    return int(text, base)


def _number(text: str, bound: float) -> float:
    if not text.isascii() or "_" in text or text != text.strip():
        raise ValueError
    value = float(text)
    if not 0 <= value < bound:
        raise Malformed("a number is out of bounds")
    return value


def _message(kind: int, method: bytes, seq: int, content: bytes) -> bytes:
    head = _length(VERSION - (1 << 32) | kind) + _length(len(method)) + method + _length(seq)
    return _length(len(head) + len(content)) + head + content


def _binary(value: bytes | memoryview) -> bytes:
    return _length(len(value)) + value


def _words(place: int, words: dict[str, str]) -> bytes:
    pairs = b"".join(_binary(text.encode()) for pair in words.items() for text in pair)
    return _field(MAP, place) + _entries(STRING, STRING, len(words)) + pairs


def _level(level: float | None) -> dict[str, str]:
    return {} if level is None else {"pressure": f"{level:.6f}"}


def _answer(method: bytes, seq: int, body: bytes | memoryview, level: float | None, good: bool) -> bytes:
    content = _field(STRUCT, 0) + _field(STRING, 1) + _binary(body) + _words(2, _level(level))
    return _message(REPLY, method, seq, content + _field(BOOL, 3) + (b"\1" if good else b"\0") + b"\0\0")


def finished(seq: int, result: bytes | memoryview, level: float | None) -> bytes:
    return _answer(b"process", seq, result, level, True)


def health(seq: int, good: bool, level: float | None) -> bytes:
    return _answer(b"probe", seq, b"", level, good)


def rejected(seq: int, nowhere_else: bool, stay_away: int, level: float | None) -> bytes:
    words = _level(level)
    if stay_away > 0:
        words["cooldown"] = str(-(-stay_away // 1_000_000))
    if nowhere_else:
        words["nowhere"] = "1"
    return _message(REPLY, b"process", seq, _field(STRUCT, 1) + _words(1, words) + b"\0\0")


def abandoned(seq: int, level: float | None) -> bytes:
    return _message(REPLY, b"process", seq, _field(STRUCT, 2) + _words(1, _level(level)) + b"\0\0")


def misunderstood(seq: int, method: bytes | None, text: str) -> bytes:
    kind = UNKNOWN_METHOD if text.startswith("method ") else PROTOCOL_ERROR
    content = _field(STRING, 1) + _binary(text.encode()) + _field(I32, 2) + _length(kind) + b"\0"
    return _message(EXCEPTION, b"process" if method is None else method, seq, content)


def dismiss() -> bytes:
    return _message(ONEWAY, b"farewell", 0, b"\0")
