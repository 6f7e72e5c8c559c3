"""The handshake with a keeper or relay, and single requests, each on its own connection."""

from __future__ import annotations

from contextlib import suppress
from typing import TypeVar

import anyio
from anyio.abc import ByteStream

from thistleline.config_feed.limits import MESSAGE_SIZE_LIMIT
from thistleline.config_feed.messages import FollowerMessage, SourceMessage, decode_source, encode
from thistleline.config_feed.send_queue import CHUNK_SIZE
from thistleline.transport.address import Address
from thistleline.transport.codec import FrameDecoder, Hello, encode_frame, negotiate_version
from thistleline.transport.disconnects import DISCONNECT_ERRORS
from thistleline.transport.handshake import receive_hello

CONNECT_TIMEOUT = 1.5  # s to connect, and again for the handshake

Answer = TypeVar("Answer", bound=SourceMessage)


async def exchange_hellos(stream: ByteStream, own: Hello) -> Hello:
    """Exchange hellos as the client and return the server's hello.

    Raises:
        ProtocolError: The server does not speak this protocol.
        OSError: The connection has ended; any other error listed in `DISCONNECT_ERRORS` may be raised too.
    """
    await stream.send(encode_frame(encode(own)))
    peer_hello = await receive_hello(stream)
    negotiate_version(own, peer_hello)
    return peer_hello


async def request(
    address: Address, message: FollowerMessage, answer_type: type[Answer], timeout: float
) -> Answer | None:
    """Send one request and return its answer; None if there is none within `timeout` seconds."""
    with anyio.move_on_after(timeout), suppress(*DISCONNECT_ERRORS):
        with anyio.fail_after(CONNECT_TIMEOUT):
            stream = await anyio.connect_tcp(*address)
        async with stream:
            with anyio.fail_after(CONNECT_TIMEOUT):
                await exchange_hellos(stream, Hello("follower", ""))
            await stream.send(encode_frame(encode(message)))
            decoder = FrameDecoder(MESSAGE_SIZE_LIMIT)
            while True:
                for payload in decoder.feed(await stream.receive(CHUNK_SIZE)):
                    answer = decode_source(payload)
                    if isinstance(answer, answer_type):
                        return answer
    return None
