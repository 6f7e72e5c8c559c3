"""Events common to all state machines."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The time of `next_deadline()` was reached, or the state machine should check the clock."""
