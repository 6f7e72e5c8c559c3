"""The back end, what lies below where the settings name it: calls out, their ends back, as lines of words.

`ends` yields a plain tuple an end: ("call_over", id, how, result)      how: HOW_CALLS_END

The form was learned from the names that the sites' files give and from what the bench's own back end answers;
`docs/design/calls.md` has both, and what is not known.
"""

from collections.abc import Iterator
from typing import Any

from thistleline.wire.buffer import Buffer
from thistleline.wire.lines import LINE_BOUND, messages
from thistleline.wire.settings import Malformed

RESULT_BOUND = 64 * 1024
BUFFER_BOUND = 2 * (LINE_BOUND + RESULT_BOUND)
CALL_ENDS = {
    "ok": "finished",
    "overload": "rejected",
    "internal": "failed",
    "deadline": "timed_out",
    "stale": "failed",
}


def ends(buffer: Buffer) -> Iterator[tuple[Any, ...]]:
    """Takes every whole end out of the buffer; raises Malformed where the stream makes no sense."""
    for line, words, body in messages(buffer, _length):
        if len(words) < 2 or words[1] not in CALL_ENDS:
            raise Malformed(f"the end of a call can't be read: {line[:80]!r}")
        yield "call_over", words[0], CALL_ENDS[words[1]], bytes(body)


def _length(line: str, words: list[str]) -> int | None:
    if len(words) < 3:
        return None
    if len(words) != 3 or not words[2].isdecimal() or int(words[2]) > RESULT_BOUND:
        raise Malformed(f"the end of a call can't be read: {line[:80]!r}")
    return int(words[2])


def call(name: str, patience: int, body: bytes) -> bytes:
    """`patience`: nanoseconds after which the call is given up."""
    return b"invoke %s %d %d\r\n%s\r\n" % (name.encode(), max(1, patience // 1_000_000), len(body), body)


def cancel(name: str) -> bytes:
    return b"cancel %s\r\n" % name.encode()
