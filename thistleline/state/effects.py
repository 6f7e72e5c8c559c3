"""The effects that the server's state machine asks for.

The server carries them out in order, before it handles another event. Durations and times are integer
nanoseconds; `load_hint` is what answers tell clients of the server's load, None where nothing is told.
"""

from dataclasses import dataclass
from typing import Any

# ---- client connections


@dataclass(frozen=True, slots=True)
class ReadConnection:
    """Read on from the connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection once what was written has reached its peer."""

    connection: int


@dataclass(frozen=True, slots=True)
class DismissConnection:
    """Tell the client to send nothing new on the connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class StopAccepting:
    """Accept no further connection."""


@dataclass(frozen=True, slots=True)
class AnswerFinished:
    """Answer a task with its result."""

    connection: int
    seq: int
    result: bytes | memoryview
    load_hint: float | None


@dataclass(frozen=True, slots=True)
class AnswerRejected:
    """Answer a task that was shed: it did not run."""

    connection: int
    seq: int
    fleet_overloaded: bool  # a retry at another server would fare no better
    retry_after: int  # 0 for none
    load_hint: float | None


@dataclass(frozen=True, slots=True)
class AnswerAbandoned:
    """Answer a task with a failure that says nothing about whether it ran."""

    connection: int
    seq: int
    load_hint: float | None


@dataclass(frozen=True, slots=True)
class AnswerHealth:
    """Answer a health check."""

    connection: int
    seq: int
    healthy: bool
    load_hint: float | None


@dataclass(frozen=True, slots=True)
class AnswerMisunderstood:
    """Answer a message that made no sense."""

    connection: int
    seq: int
    method: bytes | None
    reason: str


# ---- the agent


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run at the agent."""

    attempt_id: str
    stage: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run at the agent."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class MeasureGauges:
    """Ask the agent for its gauges."""

    tag: str


@dataclass(frozen=True, slots=True)
class CheckAgent:
    """Ask the agent for a deep health check."""

    tag: str


@dataclass(frozen=True, slots=True)
class DeliverCallResult:
    """Let a run go on with the result of its downstream call."""

    attempt_id: str
    result: bytes


@dataclass(frozen=True, slots=True)
class SkipRunCall:
    """Let a run go on without its downstream call; `number` is that of the notice that wanted it."""

    attempt_id: str
    number: int


# ---- the downstream dependency


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make a downstream call, with a timeout."""

    attempt_id: str
    timeout: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Give a downstream call up."""

    attempt_id: str


# ---- the process


@dataclass(frozen=True, slots=True)
class AnnounceAccepting:
    """Report to the announce service whether the server accepts tasks."""

    accepting: bool


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the log."""

    event: str
    facts: dict[str, Any]


@dataclass(frozen=True, slots=True)
class EndProcess:
    """End the process; peers that have not read what was written are waited for until `deadline`."""

    deadline: int


ServerEffect = (
    ReadConnection
    | CloseConnection
    | DismissConnection
    | StopAccepting
    | AnswerFinished
    | AnswerRejected
    | AnswerAbandoned
    | AnswerHealth
    | AnswerMisunderstood
    | StartRun
    | StopRun
    | MeasureGauges
    | CheckAgent
    | DeliverCallResult
    | SkipRunCall
    | StartCall
    | CancelCall
    | AnnounceAccepting
    | LogEvent
    | EndProcess
)
