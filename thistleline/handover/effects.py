"""Additional effects of a server that hands over to a successor or takes over from a predecessor."""

from dataclasses import dataclass

from thistleline.interface import RunOutcome, Task
from thistleline.state.effects import AnswerAbandoned, AnswerFinished, AnswerMisunderstood, AnswerRejected
from thistleline.state.events import AgentGreeted, AgentLost, CommandDeclined, GaugesMeasured, RunCompleted

AnswerEffect = AnswerFinished | AnswerRejected | AnswerAbandoned | AnswerMisunderstood
RelayedEvent = AgentGreeted | AgentLost | RunCompleted | GaugesMeasured | CommandDeclined

# ---- effects of the predecessor


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand over now: from here on this process starts no effect."""

    last_notice: int
    runs: tuple[str, ...]
    owned_ids: tuple[tuple[str, int], ...]
    is_repeated: bool  # whether the grant goes to a replacement of the first successor


@dataclass(frozen=True, slots=True)
class PostponeHandover:
    """Inform the successor that the handover does not take place now."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardTask:
    """Forward a task that was read here to the successor, which decides on it."""

    name: str
    task: Task
    stage: str
    tenant: str
    dedup_key: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class ReportRunEnd:
    """Report to the successor how an effect of the ledger ended."""

    number: int
    outcome: RunOutcome
    result: bytes


# ---- effects of the successor


@dataclass(frozen=True, slots=True)
class RelayAgentEvent:
    """Relay an event of the agent that concerns the predecessor."""

    event: RelayedEvent


HandoverEffect = HandOver | PostponeHandover | ForwardTask | ReportRunEnd | RelayAgentEvent
