"""The line protocol of the render farm agent: decodes the agent's notices and encodes commands to it.

`decode_notices` yields one of the `Notice` classes for each message; the functions after it encode commands.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from thistleline.interface import RunOutcome
from thistleline.wire.buffer import Buffer
from thistleline.wire.durations import parse_seconds
from thistleline.wire.lines import decode_messages, make_unreadable_error, parse_body_size

# Names that the program uses for the commands, by the word that stands for the command on the wire.
COMMANDS = {
    "launch": "start",
    "freeze": "stop",
    "sample": "measure",
    "exercise": "deep_check",
    "deliver": "deliver",
    "forgo": "skip_call",
}
WORD_COUNTS = {"outcome": 6, "request": 4}  # number of words of each notice that has a body
RUN_OUTCOMES: dict[str, RunOutcome] = {"good": "finished", "bad": "failed", "cut": "stopped", "gone": "moot"}
GREETINGS = {"new": True, "old": False}


@dataclass(frozen=True, slots=True)
class AgentGreeting:
    """The first notice on a link.

    Attributes:
        is_new: Whether the agent has restarted, which ends all earlier runs.
        age: Nanoseconds since the agent started.
    """

    is_new: bool
    age: int


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run has ended.

    Attributes:
        number: Sequence number of the notice among those that the agent retains.
        task_id: Id under which the run was started.
        outcome: How the run ended.
        duration: Nanoseconds of work that the run took.
        result: The result, a slice of the receive buffer.
    """

    number: int
    task_id: str
    outcome: RunOutcome
    duration: int
    result: memoryview


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run waits for a call to the back end.

    Attributes:
        number: Sequence number of the notice among those that the agent retains.
        task_id: Id under which the run was started.
        body: The request body of the call.
    """

    number: int
    task_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class GaugesSampled:
    """The gauge values requested with this tag, in the order of the settings."""

    tag: str
    values: list[float]


@dataclass(frozen=True, slots=True)
class DeepCheckEnded:
    """The deep check with this tag has ended."""

    tag: str
    healthy: bool


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """The agent refused a command.

    Attributes:
        command: One of the values of COMMANDS, or the word on the wire if it is unknown.
        target: The id or tag that the command named.
    """

    command: str
    target: str


@dataclass(frozen=True, slots=True)
class Remark:
    """A notice that the server ignores; its number still counts in the sequence of notices."""

    number: int


@dataclass(frozen=True, slots=True)
class UnknownNotice:
    """A line that is not a known notice, truncated."""

    text: str


Notice = (
    AgentGreeting
    | RunEnded
    | CallRequested
    | GaugesSampled
    | DeepCheckEnded
    | CommandRefused
    | Remark
    | UnknownNotice
)


def decode_notices(buffer: Buffer) -> Iterator[Notice]:
    """Decode and consume every complete notice in the buffer.

    Raises:
        MalformedMessageError: If the stream is malformed.
    """
    return decode_messages(buffer, _body_size, _decode_notice)


def _body_size(line: str, words: list[str]) -> int | None:
    word_count = WORD_COUNTS.get(words[0])
    if word_count is None:
        return None
    size = parse_body_size(words, word_count)
    if size is None:
        raise make_unreadable_error(f"an {words[0]}", line)
    return size


def _decode_notice(line: str, words: list[str], body: memoryview) -> Notice:
    try:
        match words:
            case ["outcome", number, task_id, outcome, duration, _]:
                run_outcome = RUN_OUTCOMES.get(outcome, "failed")
                return RunEnded(int(number), task_id, run_outcome, _parse_milliseconds(duration), body)
            case ["request", number, task_id, _]:
                return CallRequested(int(number), task_id, bytes(body))
            case ["sampled", tag, *values]:
                return GaugesSampled(tag, [float(value) for value in values])
            case ["greeting", state, age]:
                return AgentGreeting(GREETINGS[state], _parse_milliseconds(age))
            case ["exercised", tag, outcome]:
                return DeepCheckEnded(tag, outcome == "good")
            case ["refusal", command, target, *_]:
                return CommandRefused(COMMANDS.get(command, command), target)
            case ["aside", number, *_]:
                return Remark(int(number))
    except (ValueError, KeyError):
        if words[0] in WORD_COUNTS:
            raise make_unreadable_error(f"an {words[0]}", line) from None
    return UnknownNotice(line[:80])


def _parse_milliseconds(text: str) -> int:
    """Parse decimal milliseconds and return whole nanoseconds."""
    return parse_seconds(text) // 1000


def encode_subscribe(number: int) -> bytes:
    """Encode the subscription to every notice after the one with this number; 0 asks for all."""
    return b"subscribe %d\r\n" % number


def encode_start(task_id: str, stage: str, body: bytes) -> bytes:
    """Encode the command to start a run of the named stage."""
    return b"launch %s %s %d\r\n%s\r\n" % (task_id.encode(), stage.encode(), len(body), body)


def encode_stop(task_id: str) -> bytes:
    """Encode the command to stop a run."""
    return b"freeze %s\r\n" % task_id.encode()


def encode_sample(tag: str) -> bytes:
    """Encode the command to sample the gauges."""
    return b"sample %s\r\n" % tag.encode()


def encode_deep_check(tag: str) -> bytes:
    """Encode the command to run a deep check."""
    return b"exercise %s\r\n" % tag.encode()


def encode_deliver(task_id: str, result: bytes) -> bytes:
    """Encode the result of a call that a run waits for."""
    return b"deliver %s %d\r\n%s\r\n" % (task_id.encode(), len(result), result)


def encode_skip_call(task_id: str, number: int) -> bytes:
    """Encode that a run continues without its call, which notice `number` requested."""
    return b"forgo %s %d\r\n" % (task_id.encode(), number)
