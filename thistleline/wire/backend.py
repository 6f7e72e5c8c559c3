"""The back end's line protocol: calls out, their ends in.

The format was learned from the names in the sites' files and from what the bench's own back end answers;
`docs/design/calls.md` has both, and what is not known.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from thistleline.interface import CallOutcome
from thistleline.wire.buffer import Buffer
from thistleline.wire.lines import decode_messages, parse_body_size, unreadable

CALL_OUTCOMES: dict[str, CallOutcome] = {
    "ok": "finished",
    "overload": "rejected",
    "internal": "failed",
    "deadline": "timed_out",
    "stale": "failed",
}
MESSAGE_NAME = "the end of a call"  # in the text of errors
MILLISECOND = 1_000_000  # nanoseconds


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call has ended.

    Attributes:
        task_id: Id of the task that it was made for.
        outcome: How it ended.
        result: Empty unless it finished.
    """

    task_id: str
    outcome: CallOutcome
    result: bytes


def decode_call_ends(buffer: Buffer) -> Iterator[CallEnded]:
    """Take every whole end of a call out of the buffer.

    Raises:
        MalformedMessageError: If the stream makes no sense.
    """
    return decode_messages(buffer, _body_size, _decode_call_end)


def _body_size(line: str, words: list[str]) -> int | None:
    if len(words) < 3:
        return None
    size = parse_body_size(words, 3)
    if size is None:
        raise unreadable(MESSAGE_NAME, line)
    return size


def _decode_call_end(line: str, words: list[str], body: memoryview) -> CallEnded:
    if len(words) < 2 or words[1] not in CALL_OUTCOMES:
        raise unreadable(MESSAGE_NAME, line)
    return CallEnded(words[0], CALL_OUTCOMES[words[1]], bytes(body))


def encode_call(task_id: str, timeout: int, body: bytes) -> bytes:
    """Encode a call that the back end gives up after `timeout` nanoseconds."""
    return b"invoke %s %d %d\r\n%s\r\n" % (task_id.encode(), max(1, timeout // MILLISECOND), len(body), body)


def encode_cancel(task_id: str) -> bytes:
    """Encode that the end of a call is no longer wanted."""
    return b"cancel %s\r\n" % task_id.encode()
