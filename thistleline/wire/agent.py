"""The render farm agent: lines of words ending in CR LF; a last word that is a length brings that many bytes.

`notices` yields a plain tuple a notice:

    ("agent_up", fresh, age)
    ("run_over", number, id, how, took, result)      how: HOW_RUNS_END
    ("measured", tag, values)
    ("deep_checked", tag, good)
    ("declined", what, id)
    ("remark", number)
    ("unknown", text)
"""

from collections.abc import Iterator
from typing import Any

from thistleline.wire.bench import Malformed, nanos
from thistleline.wire.buffer import Buffer

LINE_BOUND, RESULT_BOUND = 4096, 64 * 1024
BUFFER_BOUND = 2 * (LINE_BOUND + RESULT_BOUND)
COMMANDS = {"launch": "start", "freeze": "stop", "sample": "measure", "exercise": "deep_check"}
RUN_ENDS = {"good": "finished", "bad": "failed", "cut": "stopped", "gone": "moot"}


def notices(buffer: Buffer) -> Iterator[tuple[Any, ...]]:
    """Takes every whole notice out of the buffer; raises Malformed where the stream makes no sense."""
    while True:
        end = buffer.data.find(b"\r\n", buffer.start, buffer.end)
        if end < 0:
            if len(buffer) > LINE_BOUND:
                raise Malformed("a line is too long")
            return
        line = buffer.data[buffer.start : end].decode("utf-8", "replace")
        words = line.split(" ")
        count = 0
        if words[0] == "outcome":
            if len(words) != 6 or not words[5].isdecimal() or int(words[5]) > RESULT_BOUND:
                raise Malformed(f"an outcome can't be read: {line[:80]!r}")
            count = int(words[5])
            if buffer.end < end + 2 + count + 2:
                return
            if not buffer.data.startswith(b"\r\n", end + 2 + count, end + 4 + count):
                raise Malformed("a result is not as long as told")
        buffer.take(end + 2 - buffer.start)
        result = buffer.take(count)
        if words[0] == "outcome":
            buffer.take(2)
        yield _notice(line, words, result)


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
        if words[0] == "outcome":
            raise Malformed(f"an outcome can't be read: {line[:80]!r}") from None
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
