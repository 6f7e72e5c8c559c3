"""Receives the Hello at the beginning of a connection, without reading beyond it."""

import msgspec
from anyio.abc import ByteStream

from thistleline.transport.codec import Hello, ProtocolError

MAX_HELLO_SIZE = 4096  # bytes
_LENGTH_SIZE = 4  # bytes
_decode_hello = msgspec.msgpack.Decoder(Hello).decode


async def receive_hello(stream: ByteStream) -> Hello:
    """Receive the first message, without reading any byte after it.

    Raises:
        ProtocolError: The connection does not begin with a Hello.
    """
    length = int.from_bytes(await _receive_exactly(stream, _LENGTH_SIZE), "big")
    if length > MAX_HELLO_SIZE:
        raise ProtocolError("the connection does not begin with a Hello")
    try:
        return _decode_hello(await _receive_exactly(stream, length))
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"the connection does not begin with a Hello: {error}") from error


async def _receive_exactly(stream: ByteStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        data += await stream.receive(count - len(data))
    return data
