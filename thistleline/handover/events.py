"""The further events of a server that hands over to a successor, or follows a predecessor."""

from dataclasses import dataclass

from thistleline.handover.effects import AnswerEffect
from thistleline.interface import RunOutcome, Task

# ---- of the predecessor


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor has prepared all; this process has to be gone at `stop_at`."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class SuccessorReplaced:
    """This process has handed over before, and another successor came in place of the first."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """The successor is gone, before the handover or after it."""


@dataclass(frozen=True, slots=True)
class ForwardedAnswered:
    """The successor answered a forwarded attempt; connection and number in `answer` are not its own."""

    name: str
    answer: AnswerEffect


# ---- of the successor


@dataclass(frozen=True, slots=True)
class Inherited:
    """The handover: comes after the ledger is recovered and before anything else, the agent's link too."""

    last_notice: int  # number of the last one that the predecessor read of the agent
    runs: tuple[str, ...]  # ids of what it has running there
    owned_ids: tuple[tuple[str, int], ...]  # ids of effects in no ledger, and for how long yet, ns


@dataclass(frozen=True, slots=True)
class HostedRunStarted:
    """The predecessor wants a run started that is its own: idempotent, or in no ledger."""

    attempt_id: str
    stage: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HostedRunStopped:
    """The predecessor wants a run of its own stopped."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class HostedMeasureRequested:
    """The predecessor wants the agent's gauges."""

    tag: str


@dataclass(frozen=True, slots=True)
class PredecessorRunEnded:
    """A run that the predecessor had started ended; `number` is that of its effect in the ledger."""

    number: int
    outcome: RunOutcome
    result: bytes


@dataclass(frozen=True, slots=True)
class TaskForwarded:
    """The predecessor read a task that is this server's to decide on."""

    seq: int  # by which the predecessor knows it
    task: Task
    dedup_key: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """The predecessor is gone."""


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
