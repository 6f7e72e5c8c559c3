"""Message framing: a length of four bytes, most significant first, then msgpack.

The first message in each direction is a Hello; the two programs then speak the highest protocol version that
both support. Fields are encoded by name, so that a newer version may add some: an older program ignores what
it does not know, and a missing field takes its default.
"""

import struct
from typing import Literal

import msgspec

SUPPORTED_VERSIONS = (1, 1)  # the lowest and the highest that this program speaks
MAX_CLIENT_MESSAGE_SIZE = 1 << 20  # bytes
MAX_REPLICA_MESSAGE_SIZE = 64 << 20  # bytes
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The handshake message with which each side of a connection introduces itself.

    Attributes:
        kind: What the sender is.
        id: The sender's id, empty for a client.
        cluster: Name of the consensus cluster that a replica belongs to, empty for none.
        address: Where a replica listens; one that knows no members yet answers there.
        min_version: The lowest protocol version that the sender speaks.
        max_version: The highest protocol version that the sender speaks.
    """

    kind: Literal["voter", "client", "follower"]
    id: str
    cluster: str = msgspec.field(default="", name="council")
    address: str = ""
    min_version: int = msgspec.field(default=SUPPORTED_VERSIONS[0], name="least")
    max_version: int = msgspec.field(default=SUPPORTED_VERSIONS[1], name="most")


class ProtocolError(Exception):
    """The peer sent something that is no valid message; the connection must be closed."""


def negotiate_version(one: Hello, other: Hello) -> int:
    """Return the highest protocol version that both sides speak.

    Raises:
        ProtocolError: There is none.
    """
    version = min(one.max_version, other.max_version)
    if version < max(one.min_version, other.min_version):
        raise ProtocolError(
            f"no common form: {one.min_version} to {one.max_version}"
            f" and {other.min_version} to {other.max_version}"
        )
    return version


def encode_frame(payload: bytes) -> bytes:
    """Return the payload behind its length."""
    return _LENGTH.pack(len(payload)) + payload


class FrameDecoder:
    """Splits a stream of bytes into payloads."""

    def __init__(self, max_size: int) -> None:
        """Accept payloads of up to `max_size` bytes."""
        self.max_size = max_size
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads that are complete now.

        Raises:
            ProtocolError: A payload is larger than `max_size`.
        """
        buffer = self.buffer
        buffer += data
        payloads = []
        offset = 0
        while len(buffer) - offset >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, offset)
            if length > self.max_size:
                raise ProtocolError(f"a message of {length} bytes, {self.max_size} at most")
            start = offset + _LENGTH.size
            if len(buffer) - start < length:
                break
            payloads.append(bytes(memoryview(buffer)[start : start + length]))
            offset = start + length
        del buffer[:offset]
        return payloads
