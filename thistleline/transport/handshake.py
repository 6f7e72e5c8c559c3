"""The Hello with which a connection begins, read without what may follow it."""

import msgspec
from anyio.abc import ByteStream

from thistleline.transport.codec import Hello, Unreadable

HELLO_BOUND = 4096  # bytes
_hello = msgspec.msgpack.Decoder(Hello).decode


async def receive_hello(stream: ByteStream) -> Hello:
    """The first message and nothing of the next: byte counts are asked for exactly."""
    length = int.from_bytes(await _exactly(stream, 4), "big")
    if length > HELLO_BOUND:
        raise Unreadable("it does not begin with a Hello")
    try:
        return _hello(await _exactly(stream, length))
    except msgspec.MsgspecError as error:
        raise Unreadable(f"it does not begin with a Hello: {error}") from error


async def _exactly(stream: ByteStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        data += await stream.receive(count - len(data))
    return data
