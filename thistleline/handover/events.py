"""Additional events of a server that hands over to a successor or takes over from a predecessor.

A hosted run is a run of the predecessor whose commands and notices pass through the successor, because the
successor holds the agent's only link.
"""

from dataclasses import dataclass

from thistleline.handover.effects import AnswerEffect
from thistleline.interface import RunOutcome, Task

# ---- events of the predecessor


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor is ready for the handover; this process has to exit by `stop_at`."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class SuccessorReplaced:
    """This process has already handed over, and another successor replaces the first one."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """The connection to the successor has ended, before or after the handover."""


@dataclass(frozen=True, slots=True)
class ForwardedAnswered:
    """The successor answered a forwarded attempt.

    The connection and sequence number in `answer` are not those of the attempt.
    """

    name: str
    answer: AnswerEffect


# ---- events of the successor


@dataclass(frozen=True, slots=True)
class Inherited:
    """The predecessor handed over to this server.

    This is the first event after the ledger's recovery, even before the events of the agent link.
    """

    last_notice: int  # number of the last notice that the predecessor read from the agent
    runs: tuple[str, ...]  # ids of the predecessor's runs at the agent
    owned_ids: tuple[tuple[str, int], ...]  # ids of runs that are in no ledger, and the time until expiry, ns


@dataclass(frozen=True, slots=True)
class HostedRunStarted:
    """The predecessor requests the start of a run of its own; the task is idempotent or in no ledger."""

    attempt_id: str
    stage: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HostedRunStopped:
    """The predecessor requests that one of its runs is stopped."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class HostedMeasureRequested:
    """The predecessor requests the agent's gauges."""

    tag: str


@dataclass(frozen=True, slots=True)
class PredecessorRunEnded:
    """A run that the predecessor started has ended; `number` is the run's effect number in the ledger."""

    number: int
    outcome: RunOutcome
    result: bytes


@dataclass(frozen=True, slots=True)
class TaskForwarded:
    """The predecessor forwarded a task, which this server decides on."""

    seq: int  # the predecessor's number of the task
    task: Task
    dedup_key: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """The connection to the predecessor has ended."""


HandoverEvent = (
    SuccessorReady
    | SuccessorReplaced
    | SuccessorGone
    | ForwardedAnswered
    | Inherited
    | HostedRunStarted
    | HostedRunStopped
    | HostedMeasureRequested
    | PredecessorRunEnded
    | TaskForwarded
    | PredecessorGone
)
