"""The context that all parts of the state machine share while one event is handled."""

from typing import Any

from thistleline.state.effects import LogEvent
from thistleline.state.limits import LOG_INTERVAL


class EventContext:
    """The time of the current event, the effects (actions) that it has caused so far, and counters.

    The classes of the effects are those of `state.effects` or of a package that extends the state machine.
    """

    __slots__ = ("_last_logged", "effects", "figures", "now")

    def __init__(self, now: int) -> None:
        """Create a context at the time `now`, ns, without effects."""
        self.now = now
        self.effects: list[Any] = []
        self.figures: dict[str, int] = {}  # counters, written to the log
        self._last_logged: dict[str, int] = {}  # time of the last line, by event

    def emit(self, effect: Any) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def take_effects(self) -> list[Any]:
        """Return the effects and clear the list."""
        effects = self.effects
        self.effects = []
        return effects

    def count(self, counter: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.figures[counter] = self.figures.get(counter, 0) + amount

    def log(self, event: str, **fields: Any) -> None:
        """Write a line to the log."""
        self.effects.append(LogEvent(event, fields))

    def log_rarely(self, event: str, **fields: Any) -> None:
        """Count an event that a peer caused, and log it at most once per `LOG_INTERVAL`."""
        self.count(event)
        if self.may_log(event):
            self.log(event, **fields)

    def may_log(self, event: str) -> bool:
        """Return whether this event may be logged now: at most once per `LOG_INTERVAL`."""
        if self.now - self._last_logged.get(event, 0) < LOG_INTERVAL:
            return False
        self._last_logged[event] = self.now
        return True
