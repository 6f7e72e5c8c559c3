"""The client stub's side of wire/thrift.py: calls out, answers in. The laboratory speaks it, no server does.

An answer is a kind and its value: ("finished", result), ("rejected", words), ("abandoned", words), or
("misunderstood", text); ("dismiss", b"") where nothing new is wanted on the connection.
"""

from collections.abc import Iterator
from typing import Any

from thistleline.wire import thrift
from thistleline.wire.buffer import Buffer
from thistleline.wire.settings import Malformed

ANSWER_BOUND = 256 * 1024


def process(seq: int, words: dict[str, str], body: bytes) -> bytes:
    content = thrift._words(1, words) + thrift._field(thrift.STRING, 2) + thrift._binary(body) + b"\0"
    return thrift._message(thrift.CALL, b"process", seq, content)


def answers(buffer: Buffer) -> Iterator[tuple[int, str, Any]]:
    """Sequence number, kind and value of every whole answer. Raises Malformed."""
    while len(buffer) >= 4:
        (count,) = thrift._u32(buffer.view, buffer.start)
        if count > ANSWER_BOUND:
            raise Malformed("an answer is too long")
        if len(buffer) < 4 + count:
            return
        reader = thrift.Reader(buffer.take(4 + count)[4:])
        kind = reader.i32() & 0xFF
        reader.text()
        seq = reader.i32()
        if kind == thrift.ONEWAY:
            yield seq, "dismiss", b""
        elif kind == thrift.EXCEPTION:
            yield seq, "misunderstood", ""
        else:
            yield seq, *_reply(reader)


def _reply(reader: thrift.Reader) -> tuple[str, Any]:
    field, place = reader.byte(), reader.i16()
    if field != thrift.STRUCT or place not in (0, 1, 2):
        raise Malformed("an answer of no kind")
    result, words = b"", {}
    while field := reader.byte():
        inner = reader.i16()
        if (field, inner) == (thrift.STRING, 1) and place == 0:
            result = bytes(reader.binary())
        elif field == thrift.MAP:
            words = reader.words()
        else:
            reader.pass_over(field)
    return (
        ("finished", result) if place == 0 else (("rejected", words) if place == 1 else ("abandoned", words))
    )
