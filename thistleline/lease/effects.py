"""Effects that the lease server asks its surroundings to carry out."""

from dataclasses import dataclass
from typing import Any

from thistleline.consensus.effects import LeaderChanged, LeadershipGained, SendMessage, WriteRecords
from thistleline.lease.protocol import Answer
from thistleline.reducer.effects import LogEvent


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Answer the request with `ticket`."""

    ticket: Any
    answer: Answer


@dataclass(frozen=True, slots=True)
class NotifyHolder:
    """Tell a waiting client that it may hold the lease `name` now; a hint that may be lost."""

    name: str
    holder_id: str


Effect = SendMessage | WriteRecords | SendAnswer | NotifyHolder | LeadershipGained | LeaderChanged | LogEvent
