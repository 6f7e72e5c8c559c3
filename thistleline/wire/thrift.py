"""Reads and writes values of the strict Thrift binary protocol with framed transport.

The messages themselves are defined in requests.py, responses.py and stub.py.
"""

from struct import Struct

from thistleline.wire.errors import MalformedMessageError

VERSION = 0x80010000
VERSION_MASK = 0xFFFFFF00
TYPE_MASK = 0xFF

# Message types.
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4

# Value types.
BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15
FIXED_SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # bytes

FRAME_HEADER_SIZE = 4  # bytes that hold the length of the frame
MAX_MAP_ENTRIES = 64
MAX_NESTING = 16
# Values in one message: a task with all its fields has fewer than half as many. Bounds the work on a message.
MAX_VALUES = 256

STOP = b"\0"  # ends a struct

_unpack_i16, _unpack_i32 = Struct(">h").unpack_from, Struct(">i").unpack_from
_unpack_u32 = Struct(">I").unpack_from
_pack_field, _pack_map = Struct(">bh").pack, Struct(">bbi").pack
_pack_i32 = Struct(">i").pack


def frame_size(data: memoryview, position: int) -> int:
    """Return the size of the frame whose header starts at `position`, without the header, in bytes."""
    return int(_unpack_u32(data, position)[0])


def has_strict_version(frame: memoryview) -> bool:
    """Return whether a frame starts with the version of the strict binary protocol."""
    return len(frame) >= 4 and _unpack_u32(frame, 0)[0] & VERSION_MASK == VERSION


class ThriftReader:
    """Reads the values of one frame, in order.

    Each method raises MalformedMessageError if the frame is truncated or a value is out of bounds.
    """

    __slots__ = ("position", "values_left", "view")

    def __init__(self, view: memoryview) -> None:
        """Start at the beginning of a frame's content."""
        self.view = view
        self.position = 0
        self.values_left = MAX_VALUES

    def count_values(self, count: int) -> None:
        """Count values that are about to be read."""
        self.values_left -= count
        if self.values_left < 0:
            raise MalformedMessageError("there are too many values")

    def advance(self, count: int) -> int:
        """Skip `count` bytes and return the position where they start."""
        start = self.position
        if count < 0 or start + count > len(self.view):
            raise MalformedMessageError("the message ends early")
        self.position = start + count
        return start

    def read_byte(self) -> int:
        """Read an unsigned byte."""
        return self.view[self.advance(1)]

    def read_i16(self) -> int:
        """Read a signed 16-bit integer."""
        return int(_unpack_i16(self.view, self.advance(2))[0])

    def read_i32(self) -> int:
        """Read a signed 32-bit integer."""
        return int(_unpack_i32(self.view, self.advance(4))[0])

    def read_binary(self) -> memoryview:
        """Read a byte string and return it as a slice of the frame."""
        count = self.read_i32()
        start = self.advance(count)
        return self.view[start : start + count]

    def read_text(self) -> str:
        """Read a UTF-8 string."""
        try:
            return str(self.read_binary(), "utf-8")
        except UnicodeDecodeError as error:
            raise MalformedMessageError("a text is not UTF-8") from error

    def read_text_map(self) -> dict[str, str]:
        """Read a map from strings to strings."""
        key_type, value_type, count = self.read_byte(), self.read_byte(), self.read_i32()
        if not 0 <= count <= MAX_MAP_ENTRIES or (count and (key_type, value_type) != (STRING, STRING)):
            raise MalformedMessageError("the fields are no map of texts")
        self.count_values(2 * count)
        return {self.read_text(): self.read_text() for _ in range(count)}

    def skip(self, value_type: int, depth: int = 0) -> None:
        """Skip a value of any type; `depth` is its nesting level."""
        if depth > MAX_NESTING:
            raise MalformedMessageError("nested too deep")
        self.count_values(1)
        if value_type in FIXED_SIZES:
            self.advance(FIXED_SIZES[value_type])
        elif value_type == STRING:
            self.read_binary()
        elif value_type == STRUCT:
            while field_type := self.read_byte():
                self.read_i16()
                self.skip(field_type, depth + 1)
        elif value_type in (LIST, SET):
            item_type = self.read_byte()
            for _ in range(self._read_count()):
                self.skip(item_type, depth + 1)
        elif value_type == MAP:
            key_type, item_type = self.read_byte(), self.read_byte()
            for _ in range(self._read_count()):
                self.skip(key_type, depth + 1)
                self.skip(item_type, depth + 1)
        else:
            raise MalformedMessageError(f"type {value_type} is unknown")

    def _read_count(self) -> int:
        count = self.read_i32()
        if not 0 <= count <= len(self.view):
            raise MalformedMessageError("a count is out of bounds")
        return count


def encode_field(value_type: int, field_id: int) -> bytes:
    """Encode the header of a struct's field."""
    return _pack_field(value_type, field_id)


def encode_i32(value: int) -> bytes:
    """Encode a signed 32-bit integer."""
    return _pack_i32(value)


def encode_binary(value: bytes | memoryview) -> bytes:
    """Encode a byte string."""
    return _pack_i32(len(value)) + value


def encode_text_map(field_id: int, texts: dict[str, str]) -> bytes:
    """Encode a field with a map from strings to strings, including the field's header."""
    pairs = b"".join(encode_binary(text.encode()) for pair in texts.items() for text in pair)
    return _pack_field(MAP, field_id) + _pack_map(STRING, STRING, len(texts)) + pairs


def encode_message(message_type: int, method: bytes, sequence: int, content: bytes) -> bytes:
    """Encode a complete frame; `content` is the struct of the body, including its STOP."""
    version = _pack_i32(VERSION - (1 << 32) | message_type)
    header = version + _pack_i32(len(method)) + method + _pack_i32(sequence)
    return _pack_i32(len(header) + len(content)) + header + content
