"""What all parts of the state machine share while one event is handled."""

from typing import Any

from thistleline.state.effects import LogEvent
from thistleline.state.limits import LOG_INTERVAL


class EventContext:
    """The time of the event at hand, the effects that it brought so far, and counters.

    Effects are of `state.effects` or of a package that extends the state machine.
    """

    __slots__ = ("_last_logged", "effects", "figures", "now")

    def __init__(self, now: int) -> None:
        """Begin at `now`, in ns, without effects."""
        self.now = now
        self.effects: list[Any] = []
        self.figures: dict[str, int] = {}  # counters, told in the log
        self._last_logged: dict[str, int] = {}  # when, by event

    def emit(self, effect: Any) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def take_effects(self) -> list[Any]:
        """Return the effects and begin anew without any."""
        effects = self.effects
        self.effects = []
        return effects

    def count(self, what: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.figures[what] = self.figures.get(what, 0) + amount

    def log(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""
        self.effects.append(LogEvent(event, facts))

    def log_rarely(self, event: str, **facts: Any) -> None:
        """Count what a peer does wrong; a flood of it is logged once in `LOG_INTERVAL`."""
        self.count(event)
        if self.may_log(event):
            self.log(event, **facts)

    def may_log(self, event: str) -> bool:
        """Tell whether a line on this event is due; true at most once in `LOG_INTERVAL`."""
        if self.now - self._last_logged.get(event, 0) < LOG_INTERVAL:
            return False
        self._last_logged[event] = self.now
        return True
