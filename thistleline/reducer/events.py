"""Events that every state machine takes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The time of `next_deadline()` has come, or a look at the clock is due."""
