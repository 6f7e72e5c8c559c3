"""Effects common to all state machines."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the structured log."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
