"""The back end's line protocol: encodes calls and decodes their outcomes.

The format is inferred from the names in the sites' files and from the responses of the back end that the
bench provides; `docs/design/calls.md` lists both, and what is not known.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from thistleline.interface import CallOutcome
from thistleline.wire.buffer import Buffer
from thistleline.wire.lines import decode_messages, make_unreadable_error, parse_body_size

CALL_OUTCOMES: dict[str, CallOutcome] = {
    "ok": "finished",
    "overload": "rejected",
    "internal": "failed",
    "deadline": "timed_out",
    "stale": "failed",
}
MESSAGE_NAME = "the end of a call"  # in error messages
MILLISECOND = 1_000_000  # nanoseconds


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call has ended.

    Attributes:
        task_id: Id of the task that the call was made for.
        outcome: How the call ended.
        result: The result; empty unless the call finished.
    """

    task_id: str
    outcome: CallOutcome
    result: bytes


def decode_call_ends(buffer: Buffer) -> Iterator[CallEnded]:
    """Decode and consume every complete end of a call in the buffer.

    Raises:
        MalformedMessageError: If the stream is malformed.
    """
    return decode_messages(buffer, _body_size, _decode_call_end)


def _body_size(line: str, words: list[str]) -> int | None:
    if len(words) < 3:
        return None
    size = parse_body_size(words, 3)
    if size is None:
        raise make_unreadable_error(MESSAGE_NAME, line)
    return size


def _decode_call_end(line: str, words: list[str], body: memoryview) -> CallEnded:
    if len(words) < 2 or words[1] not in CALL_OUTCOMES:
        raise make_unreadable_error(MESSAGE_NAME, line)
    return CallEnded(words[0], CALL_OUTCOMES[words[1]], bytes(body))


def encode_call(task_id: str, timeout: int, body: bytes) -> bytes:
    """Encode a call that the back end abandons after `timeout` nanoseconds."""
    return b"invoke %s %d %d\r\n%s\r\n" % (task_id.encode(), max(1, timeout // MILLISECOND), len(body), body)


def encode_cancel(task_id: str) -> bytes:
    """Encode the cancellation of a call."""
    return b"cancel %s\r\n" % task_id.encode()
