"""The line format that agent and back end share: words separated by blanks, ending in CR LF.

Of some messages the last word is a length: so many bytes of body and a CR LF follow the line.
"""

from collections.abc import Callable, Iterator
from typing import TypeVar

from thistleline.wire.buffer import Buffer
from thistleline.wire.errors import MalformedMessageError

Message = TypeVar("Message")

MAX_LINE_SIZE = 4096  # bytes
MAX_BODY_SIZE = 64 * 1024  # bytes
BUFFER_SIZE = 2 * (MAX_LINE_SIZE + MAX_BODY_SIZE)  # bytes, of a stream's receive buffer


def decode_messages(
    buffer: Buffer,
    body_size: Callable[[str, list[str]], int | None],
    decode: Callable[[str, list[str], memoryview], Message],
) -> Iterator[Message]:
    """Take every whole message out of the buffer.

    Args:
        buffer: What was received.
        body_size: Returns, of a line and its words, the bytes of body that follow; None where no body does.
        decode: Makes the message of a line, its words and its body; the body is valid until the next call
            of the buffer's `room`.

    Raises:
        MalformedMessageError: If the stream makes no sense.
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
                raise MalformedMessageError("a result is not as long as told")
        buffer.take(line_end + 2 - buffer.start)
        body = buffer.take(size or 0)
        if size is not None:
            buffer.take(2)
        yield decode(line, words, body)


def parse_body_size(words: list[str], word_count: int) -> int | None:
    """Return the body size that the last of `word_count` words states.

    None if the words are not so many, or the size is no number or too large.
    """
    if len(words) != word_count or not words[-1].isdecimal():
        return None
    size = int(words[-1])
    return size if size <= MAX_BODY_SIZE else None


def unreadable(name: str, line: str) -> MalformedMessageError:
    """Return the error that a line, called `name`, can't be read."""
    return MalformedMessageError(f"{name} can't be read: {line[:80]!r}")
