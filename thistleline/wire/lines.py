"""Lines of words ending in CR LF; a last word that is a length brings that many bytes and a CR LF."""

from collections.abc import Callable, Iterator

from thistleline.wire.buffer import Buffer
from thistleline.wire.settings import Malformed

LINE_BOUND = 4096


def messages(
    buffer: Buffer, length: Callable[[str, list[str]], int | None]
) -> Iterator[tuple[str, list[str], memoryview]]:
    """Takes every whole message out of the buffer: its line, the words of it, and the bytes that follow.
    `length` tells of a line how many bytes that are, None for none; it raises Malformed, as this does where
    the stream makes no sense. The bytes are good until the next call of the buffer's `room`."""
    while True:
        end = buffer.data.find(b"\r\n", buffer.start, buffer.end)
        if end < 0:
            if len(buffer) > LINE_BOUND:
                raise Malformed("a line is too long")
            return
        line = buffer.data[buffer.start : end].decode("utf-8", "replace")
        words = line.split(" ")
        count = length(line, words)
        if count is not None:
            if buffer.end < end + 2 + count + 2:
                return
            if not buffer.data.startswith(b"\r\n", end + 2 + count, end + 4 + count):
                raise Malformed("a result is not as long as told")
        buffer.take(end + 2 - buffer.start)
        body = buffer.take(count or 0)
        if count is not None:
            buffer.take(2)
        yield line, words, body
