"""The render farm agent: lines of words ending in CR LF; a last word that is a length brings that many bytes.

`notices` yields a plain tuple a notice:

    ("agent_up", fresh, age)
    ("run_over", number, id, how, took, result)      how: HOW_RUNS_END
    ("wants_call", number, id, body)                 a run stands at a call to what lies below
    ("measured", tag, values)
    ("deep_checked", tag, good)
    ("declined", what, id)
    ("remark", number)
    ("unknown", text)
"""

from collections.abc import Iterator
from typing import Any

from thistleline.wire.buffer import Buffer
from thistleline.wire.lines import LINE_BOUND, messages
from thistleline.wire.settings import Malformed, nanos

RESULT_BOUND = 64 * 1024
BUFFER_BOUND = 2 * (LINE_BOUND + RESULT_BOUND)
COMMANDS = {
    "launch": "start",
    "freeze": "stop",
    "sample": "measure",
    "exercise": "deep_check",
    "deliver": "deliver",
    "forgo": "skip_call",
}
LENGTHS = {"outcome": 6, "request": 4}  # notices with a result or a body, and their words
RUN_ENDS = {"good": "finished", "bad": "failed", "cut": "stopped", "gone": "moot"}


def notices(buffer: Buffer) -> Iterator[tuple[Any, ...]]:
    """Takes every whole notice out of the buffer; raises Malformed where the stream makes no sense."""
    for line, words, body in messages(buffer, _length):
        yield _notice(line, words, body)


def _length(line: str, words: list[str]) -> int | None:
    if words[0] not in LENGTHS:
        return None
    if len(words) != LENGTHS[words[0]] or not words[-1].isdecimal() or int(words[-1]) > RESULT_BOUND:
        raise Malformed(f"an {words[0]} can't be read: {line[:80]!r}")
    return int(words[-1])


def _notice(line: str, words: list[str], result: memoryview) -> tuple[Any, ...]:
    try:
        match words:
            case ["outcome", number, name, end, took, _]:
                return (
                    "run_over",
                    int(number),
                    name,
                    RUN_ENDS.get(end, "failed"),
                    nanos(took) // 1000,
                    result,
                )
            case ["request", number, name, _]:
                return ("wants_call", int(number), name, bytes(result))
            case ["sampled", tag, *values]:
                return ("measured", tag, [float(value) for value in values])
            case ["greeting", state, age]:
                return ("agent_up", {"new": True, "old": False}[state], nanos(age) // 1000)
            case ["exercised", tag, end]:
                return ("deep_checked", tag, end == "good")
            case ["refusal", command, name, *_]:
                return ("declined", COMMANDS.get(command, command), name)
            case ["aside", number, *_]:
                return ("remark", int(number))
    except (ValueError, KeyError, Malformed):
        if words[0] in LENGTHS:
            raise Malformed(f"an {words[0]} can't be read: {line[:80]!r}") from None
    return ("unknown", line[:80])


def subscribe(number: int) -> bytes:
    return b"subscribe %d\r\n" % number


def start(name: str, stage: str, body: bytes) -> bytes:
    return b"launch %s %s %d\r\n%s\r\n" % (name.encode(), stage.encode(), len(body), body)


def stop(name: str) -> bytes:
    return b"freeze %s\r\n" % name.encode()


def measure(tag: str) -> bytes:
    return b"sample %s\r\n" % tag.encode()


def deep_check(tag: str) -> bytes:
    return b"exercise %s\r\n" % tag.encode()


def deliver(name: str, result: bytes) -> bytes:
    return b"deliver %s %d\r\n%s\r\n" % (name.encode(), len(result), result)


def skip_call(name: str, number: int) -> bytes:
    """`number`: of the notice that told of the call."""
    return b"forgo %s %d\r\n" % (name.encode(), number)
