"""Effects that every state machine may ask for."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the structured log."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
