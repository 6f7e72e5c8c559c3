"""The line format shared by the agent and the back end: words separated by spaces, ending in CR LF.

In some messages the last word is a length, and a body of that many bytes and a CR LF follow the line.
"""

from collections.abc import Callable, Iterator
from typing import TypeVar

from thistleline.wire.buffer import Buffer
from thistleline.wire.errors import MalformedMessageError

Message = TypeVar("Message")

MAX_LINE_SIZE = 4096  # bytes
MAX_BODY_SIZE = 64 * 1024  # bytes
BUFFER_SIZE = 2 * (MAX_LINE_SIZE + MAX_BODY_SIZE)  # bytes in a stream's receive buffer


def decode_messages(
    buffer: Buffer,
    body_size: Callable[[str, list[str]], int | None],
    decode: Callable[[str, list[str], memoryview], Message],
) -> Iterator[Message]:
    """Decode and consume every complete message in the buffer.

    Args:
        buffer: The receive buffer of the stream.
        body_size: Takes a line and its words; returns the size of the body that follows, None without a body.
        decode: Builds a message from a line, its words and its body; the body is valid until the next call
            of the buffer's `room`.

    Raises:
        MalformedMessageError: If the stream is malformed.
    """
    while True:
        line_end = buffer.data.find(b"\r\n", buffer.start, buffer.end)
        if line_end < 0:
            if len(buffer) > MAX_LINE_SIZE:
                raise MalformedMessageError("a line is too long")
            return
        line = buffer.data[buffer.start : line_end].decode("utf-8", "replace")
        words = line.split(" ")
        size = body_size(line, words)
        if size is not None:
            body_start = line_end + 2
            if buffer.end < body_start + size + 2:
                return
            if not buffer.data.startswith(b"\r\n", body_start + size, body_start + size + 2):
                raise MalformedMessageError("a body does not have the stated length")
        buffer.take(line_end + 2 - buffer.start)
        body = buffer.take(size or 0)
        if size is not None:
            buffer.take(2)
        yield decode(line, words, body)


def parse_body_size(words: list[str], word_count: int) -> int | None:
    """Return the body size stated by the last of `word_count` words.

    Returns None if the number of words differs, or if the size is not a number or is too large.
    """
    if len(words) != word_count or not words[-1].isdecimal():
        return None
    size = int(words[-1])
    return size if size <= MAX_BODY_SIZE else None


def make_unreadable_error(name: str, line: str) -> MalformedMessageError:
    """Return the error for a malformed line; `name` describes its message."""
    return MalformedMessageError(f"{name} can't be read: {line[:80]!r}")
