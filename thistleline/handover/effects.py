"""The further effects of a server that hands over to a successor, or follows a predecessor."""

from dataclasses import dataclass

from thistleline.interface import RunOutcome, Task
from thistleline.state.effects import AnswerAbandoned, AnswerFinished, AnswerMisunderstood, AnswerRejected
from thistleline.state.events import AgentGreeted, AgentLost, CommandDeclined, GaugesMeasured, RunCompleted

AnswerEffect = AnswerFinished | AnswerRejected | AnswerAbandoned | AnswerMisunderstood
RelayedEvent = AgentGreeted | AgentLost | RunCompleted | GaugesMeasured | CommandDeclined

# ---- of the predecessor


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand over at once: from here on nothing with an effect starts in this process."""

    last_notice: int
    runs: tuple[str, ...]
    owned_ids: tuple[tuple[str, int], ...]
    is_repeated: bool  # to another successor in place of the first


@dataclass(frozen=True, slots=True)
class PostponeHandover:
    """Tell the successor that it does not get the server now."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardTask:
    """Let the successor decide on a task that was read here."""

    name: str
    task: Task
    stage: str
    tenant: str
    dedup_key: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class ReportRunEnd:
    """Tell the successor how an effect of the ledger ended."""

    number: int
    outcome: RunOutcome
    result: bytes


# ---- of the successor


@dataclass(frozen=True, slots=True)
class RelayAgentEvent:
    """Tell the predecessor what the agent said that concerns it."""

    event: RelayedEvent


HandoverEffect = HandOver | PostponeHandover | ForwardTask | ReportRunEnd | RelayAgentEvent
