"""The client's side of the protocol: encodes requests, decodes responses. Only the lab uses this module."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Literal

from thistleline.wire import thrift
from thistleline.wire.buffer import Buffer
from thistleline.wire.errors import MalformedMessageError
from thistleline.wire.thrift import FRAME_HEADER_SIZE, STOP, ThriftReader

MAX_RESPONSE_SIZE = 256 * 1024  # bytes

ResponseKind = Literal["finished", "rejected", "abandoned", "misunderstood", "dismiss"]
PROCESS_KINDS: tuple[ResponseKind, ...] = (
    "finished",
    "rejected",
    "abandoned",
)  # by the id of the field that the reply consists of


@dataclass(frozen=True, slots=True)
class Response:
    """A server's response.

    Attributes:
        sequence: Number of the request that it answers.
        kind: How the request ended; "misunderstood" for an exception; "dismiss" if the server asks for no new
            requests on the connection.
        value: The result (bytes) of a finished task; the fields (a dict of strings) of a rejected or
            abandoned one; empty otherwise.
    """

    sequence: int
    kind: ResponseKind
    value: Any


def encode_process(sequence: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encode a request to run a task."""
    content = thrift.encode_text_map(1, fields)
    content += thrift.encode_field(thrift.STRING, 2) + thrift.encode_binary(body) + STOP
    return thrift.encode_message(thrift.CALL, b"process", sequence, content)


def encode_probe(sequence: int, deep: bool) -> bytes:
    """Encode a health check."""
    content = thrift.encode_field(thrift.BOOL, 1) + (b"\1" if deep else b"\0") + STOP
    return thrift.encode_message(thrift.CALL, b"probe", sequence, content)


def decode_responses(buffer: Buffer) -> Iterator[Response]:
    """Decode and consume every complete response in the buffer.

    Raises:
        MalformedMessageError: If the stream is malformed.
    """
    while len(buffer) >= FRAME_HEADER_SIZE:
        size = thrift.frame_size(buffer.view, buffer.start)
        if size > MAX_RESPONSE_SIZE:
            raise MalformedMessageError("a response is too long")
        if len(buffer) < FRAME_HEADER_SIZE + size:
            return
        yield _decode_response(ThriftReader(buffer.take(FRAME_HEADER_SIZE + size)[FRAME_HEADER_SIZE:]))


def _decode_response(reader: ThriftReader) -> Response:
    message_type = reader.read_i32() & thrift.TYPE_MASK
    reader.read_text()
    sequence = reader.read_i32()
    if message_type == thrift.ONEWAY:
        return Response(sequence, "dismiss", b"")
    if message_type == thrift.EXCEPTION:
        return Response(sequence, "misunderstood", "")
    return _decode_reply(reader, sequence)


def _decode_reply(reader: ThriftReader, sequence: int) -> Response:
    value_type, reply_field = reader.read_byte(), reader.read_i16()
    if value_type != thrift.STRUCT or reply_field not in (0, 1, 2):
        raise MalformedMessageError("a response has an unknown type")
    result = b""
    fields: dict[str, str] = {}
    while field_type := reader.read_byte():
        field_id = reader.read_i16()
        if (field_type, field_id) == (thrift.STRING, 1) and reply_field == 0:
            result = bytes(reader.read_binary())
        elif field_type == thrift.MAP:
            fields = reader.read_text_map()
        else:
            reader.skip(field_type)
    return Response(sequence, PROCESS_KINDS[reply_field], result if reply_field == 0 else fields)
