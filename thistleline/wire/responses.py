"""Encodes the responses to client stubs as Thrift messages (wire/thrift.py).

In all functions `sequence` is the number of the request that is answered, and `pressure` the load that the
server advertises, None if it advertises none. The wire format of `pressure` is a text with six decimals.
"""

from thistleline.wire import thrift
from thistleline.wire.thrift import (
    STOP,
    encode_binary,
    encode_field,
    encode_i32,
    encode_message,
    encode_text_map,
)

UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7  # types of a Thrift application exception
TRUE, FALSE = b"\1", b"\0"
MILLISECOND = 1_000_000  # nanoseconds


def encode_finished(sequence: int, result: bytes | memoryview, pressure: float | None) -> bytes:
    """Encode that a task has finished, with its result."""
    return _encode_answer(b"process", sequence, result, pressure, True)


def encode_health(sequence: int, healthy: bool, pressure: float | None) -> bytes:
    """Encode the answer to a health request."""
    return _encode_answer(b"probe", sequence, b"", pressure, healthy)


def encode_rejected(sequence: int, nowhere_else: bool, retry_after: int, pressure: float | None) -> bytes:
    """Encode that a task was rejected before it ran.

    Args:
        sequence: Number of the request.
        nowhere_else: Whether the client should not retry on other servers either.
        retry_after: Nanoseconds that the client should wait before a retry; 0 for no advice.
        pressure: The advertised load.
    """
    advice = _pressure_field(pressure)
    if retry_after > 0:
        advice["cooldown"] = str(-(-retry_after // MILLISECOND))
    if nowhere_else:
        advice["nowhere"] = "1"
    return _encode_process_exception(sequence, 1, advice)


def encode_abandoned(sequence: int, pressure: float | None) -> bytes:
    """Encode that a task was abandoned and may have run."""
    return _encode_process_exception(sequence, 2, _pressure_field(pressure))


def encode_exception(sequence: int, method: bytes | None, text: str) -> bytes:
    """Encode that a request was malformed; `text` is the reason given by the decoder."""
    kind = UNKNOWN_METHOD if text.startswith("method ") else PROTOCOL_ERROR
    message = encode_field(thrift.STRING, 1) + encode_binary(text.encode())
    content = message + encode_field(thrift.I32, 2) + encode_i32(kind) + STOP
    return encode_message(thrift.EXCEPTION, b"process" if method is None else method, sequence, content)


def encode_farewell() -> bytes:
    """Encode the message that asks the client to send no new requests on the connection."""
    return encode_message(thrift.ONEWAY, b"farewell", 0, STOP)


def _encode_answer(
    method: bytes, sequence: int, body: bytes | memoryview, pressure: float | None, succeeded: bool
) -> bytes:
    answer = encode_field(thrift.STRING, 1) + encode_binary(body)
    answer += encode_text_map(2, _pressure_field(pressure))
    answer += encode_field(thrift.BOOL, 3) + (TRUE if succeeded else FALSE) + STOP
    return encode_message(thrift.REPLY, method, sequence, encode_field(thrift.STRUCT, 0) + answer + STOP)


def _encode_process_exception(sequence: int, field_id: int, fields: dict[str, str]) -> bytes:
    """Encode one of the exceptions that `process` declares."""
    content = encode_field(thrift.STRUCT, field_id) + encode_text_map(1, fields) + STOP + STOP
    return encode_message(thrift.REPLY, b"process", sequence, content)


def _pressure_field(pressure: float | None) -> dict[str, str]:
    return {} if pressure is None else {"pressure": f"{pressure:.6f}"}
