"""Messages on a link: a length of four bytes, most significant first, then msgpack. The first one each way is
a Hello; two programs speak the highest form that both know. Fields are told by name, so that a newer one may
add some: an older one passes over what it does not know, and for what it misses a default stands."""

import struct
from typing import Literal

import msgspec

FORMS = (1, 1)  # the least and the most that this program speaks
CLIENT_BOUND, VOTER_BOUND = 1 << 20, 64 << 20  # bytes of a message
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    kind: Literal["voter", "client", "follower"]
    id: str
    council: str = ""
    address: str = ""  # where a voter listens: one that knows no members yet answers there
    least: int = FORMS[0]
    most: int = FORMS[1]


class Unreadable(Exception):
    """What came is no message; the link is not to be gone on with."""


def common_form(one: Hello, other: Hello) -> int:
    """The form both speak. Raises Unreadable."""
    form = min(one.most, other.most)
    if form < max(one.least, other.least):
        raise Unreadable(f"no common form: {one.least} to {one.most} and {other.least} to {other.most}")
    return form


def sealed(payload: bytes) -> bytes:
    return _LENGTH.pack(len(payload)) + payload


class Unpacker:
    """Cuts a stream of bytes into payloads."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.buffer = bytearray()

    def take(self, data: bytes) -> list[bytes]:
        """The payloads that are whole now. Raises Unreadable for one over the bound."""
        buffer = self.buffer
        buffer += data
        found, place = [], 0
        while len(buffer) - place >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, place)
            if length > self.bound:
                raise Unreadable(f"a message of {length} bytes, {self.bound} at most")
            if len(buffer) - place - _LENGTH.size < length:
                break
            found.append(bytes(memoryview(buffer)[place + _LENGTH.size : place + _LENGTH.size + length]))
            place += _LENGTH.size + length
        del buffer[:place]
        return found
