"""The effects that the server's state machine requests: the actions that the server has to carry out.

The server carries them out in order, before it handles another event. Durations and times are integer
nanoseconds; `load_hint` reports the server's load to clients, None where it is not reported.
"""

from dataclasses import dataclass
from typing import Any

# ---- client connections


@dataclass(frozen=True, slots=True)
class ReadConnection:
    """Continue reading from the connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection after all written data has reached its peer."""

    connection: int


@dataclass(frozen=True, slots=True)
class DismissConnection:
    """Ask the client to send nothing new on the connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class StopAccepting:
    """Stop accepting connections."""


@dataclass(frozen=True, slots=True)
class AnswerFinished:
    """Answer a task with its result."""

    connection: int
    seq: int
    result: bytes | memoryview
    load_hint: float | None


@dataclass(frozen=True, slots=True)
class AnswerRejected:
    """Answer a task that was shed and did not run."""

    connection: int
    seq: int
    fleet_overloaded: bool  # whether a retry at another server is as likely to be rejected
    retry_after: int  # ns that the client should wait before a retry; 0 if unspecified
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
    """Answer a malformed message or an invalid task with an error."""

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
    """Request the agent's gauges."""

    tag: str


@dataclass(frozen=True, slots=True)
class CheckAgent:
    """Request a deep health check of the agent."""

    tag: str


@dataclass(frozen=True, slots=True)
class DeliverCallResult:
    """Let a run continue with the result of its downstream call."""

    attempt_id: str
    result: bytes


@dataclass(frozen=True, slots=True)
class SkipRunCall:
    """Let a run continue without its downstream call, which the notice `number` requested."""

    attempt_id: str
    number: int


# ---- the downstream dependency


@dataclass(frozen=True, slots=True)
class StartCall:
    """Start a downstream call with a timeout."""

    attempt_id: str
    timeout: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel a downstream call."""

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
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class EndProcess:
    """End the process; wait until `deadline` for peers to read the data written to them."""

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
