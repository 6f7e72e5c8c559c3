"""Message framing: a big-endian length of four bytes, then the msgpack encoding of the message.

The first message in each direction is a Hello; both programs then use the highest protocol version that both
support. Fields are encoded by name, so that a newer version may add fields: an older program ignores unknown
fields, and a missing field takes its default.
"""

import struct
from typing import Literal

import msgspec

from thistleline.transport.receive_budget import ReceiveAccount

SUPPORTED_VERSIONS = (1, 1)  # lowest and highest protocol version of this program
MAX_CLIENT_MESSAGE_SIZE = 1 << 20  # bytes of a message between a client and a replica
MAX_REPLICA_MESSAGE_SIZE = 64 << 20  # bytes of a message between two replicas
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The handshake message by which each side of a connection identifies itself.

    Attributes:
        kind: Role of the sender.
        id: The sender's id, empty for a client.
        cluster: Name of the consensus cluster that a replica belongs to, empty for none.
        address: Address that a replica listens on; a peer without a member list yet sends its answers there.
        min_version: The lowest protocol version that the sender supports.
        max_version: The highest protocol version that the sender supports.
    """

    kind: Literal["voter", "client", "follower"]
    id: str
    cluster: str = msgspec.field(default="", name="council")
    address: str = ""
    min_version: int = msgspec.field(default=SUPPORTED_VERSIONS[0], name="least")
    max_version: int = msgspec.field(default=SUPPORTED_VERSIONS[1], name="most")


class ProtocolError(Exception):
    """The peer sent an invalid message; the connection must be closed."""


def negotiate_version(own: Hello, peer: Hello) -> int:
    """Return the highest protocol version that both sides support.

    Raises:
        ProtocolError: There is no common version.
    """
    version = min(own.max_version, peer.max_version)
    if version < max(own.min_version, peer.min_version):
        raise ProtocolError(
            f"no common protocol version: {own.min_version} to {own.max_version}"
            f" and {peer.min_version} to {peer.max_version}"
        )
    return version


def encode_frame(payload: bytes) -> bytes:
    """Return the payload, preceded by its length."""
    return _LENGTH.pack(len(payload)) + payload


class FrameDecoder:
    """Splits a stream of bytes into payloads."""

    def __init__(self, max_size: int, account: ReceiveAccount | None = None) -> None:
        """Create a decoder for payloads of up to `max_size` bytes.

        Args:
            max_size: Largest size of a payload, bytes.
            account: Counts the bytes of the incomplete payload; None without a common limit.
        """
        self.max_size = max_size
        self._account = account
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
                raise ProtocolError(f"a message of {length} bytes exceeds the limit of {self.max_size} bytes")
            start = offset + _LENGTH.size
            if len(buffer) - start < length:
                break
            payloads.append(bytes(memoryview(buffer)[start : start + length]))
            offset = start + length
        del buffer[:offset]
        if self._account is not None:
            self._account.update(len(buffer), is_new_message=bool(payloads))
        return payloads
