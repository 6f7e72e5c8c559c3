"""Effects that the lease server asks its caller to carry out."""

from dataclasses import dataclass
from typing import Any

from thistleline.consensus.effects import LeaderChanged, LeadershipGained, SendMessage, WriteRecords
from thistleline.lease.protocol import Answer
from thistleline.reducer.effects import LogEvent


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send the answer to the client's request that is identified by `ticket`."""

    ticket: Any
    answer: Answer


@dataclass(frozen=True, slots=True)
class NotifyHolder:
    """Hint to a waiting client that the lease `name` may have been granted to it; the hint may be lost."""

    name: str
    holder_id: str


Effect = SendMessage | WriteRecords | SendAnswer | NotifyHolder | LeadershipGained | LeaderChanged | LogEvent
