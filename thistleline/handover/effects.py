"""Additional effects of a server that hands over to a successor or takes over from a predecessor.

As in `state.effects`, an effect class here is an action that the state machine requests. Where a comment
speaks of an effect that starts or ends, it means a run with an idempotency key, as in the ledger.
"""

from dataclasses import dataclass

from thistleline.interface import RunOutcome, Task
from thistleline.state.effects import AnswerAbandoned, AnswerFinished, AnswerMisunderstood, AnswerRejected
from thistleline.state.events import AgentGreeted, AgentLost, CommandDeclined, GaugesMeasured, RunCompleted

AnswerEffect = AnswerFinished | AnswerRejected | AnswerAbandoned | AnswerMisunderstood
RelayedEvent = AgentGreeted | AgentLost | RunCompleted | GaugesMeasured | CommandDeclined

# ---- effects of the predecessor


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand over now: from here on this process starts no run with an idempotency key."""

    last_notice: int  # number of the last notice read from the agent
    runs: tuple[str, ...]  # ids of this process's runs at the agent
    owned_ids: tuple[tuple[str, int], ...]  # ids of runs that are in no ledger, and the time until expiry, ns
    is_repeated: bool  # whether the grant goes to another successor that replaces the first one


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
    """Report to the successor how a run ended that is recorded in the ledger under `number`."""

    number: int
    outcome: RunOutcome
    result: bytes


# ---- effects of the successor


@dataclass(frozen=True, slots=True)
class RelayAgentEvent:
    """Relay an event of the agent that concerns the predecessor."""

    event: RelayedEvent


HandoverEffect = HandOver | PostponeHandover | ForwardTask | ReportRunEnd | RelayAgentEvent
