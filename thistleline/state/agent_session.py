"""The session with the agent across successive connections (links) to it.

The agent numbers its notices, such as that a run has ended. On a new link it repeats all notices after the
last number that the server has read. The server numbers its measurements (requests for the agent's gauges);
the answer to a measurement confirms that every command written before that measurement has arrived.
"""

from thistleline.state.context import EventContext
from thistleline.state.effects import MeasureGauges


class AgentSession:
    """State of the agent and of the link to it."""

    def __init__(self, context: EventContext) -> None:
        """Create a session without a link."""
        self.linked = False
        self.greeted = False  # whether a link has ever been established
        self.last_notice = 0  # number of the last notice read
        self.measurements_requested = 0  # a measurement's number is also its tag
        self.last_measured = 0  # number of the last measurement answered
        self.measured_at = context.now
        self.gauge_values: list[float] = []
        # Number of the measurement whose answer shows that all missed notices have been read.
        self.catch_up_measurement: int | None = None
        self.lost_at = context.now  # time at which the last link ended
        self._context = context

    @property
    def is_caught_up(self) -> bool:
        """Whether a link is up and all notices missed before it have been read."""
        return self.linked and self.catch_up_measurement is None

    def begin_link(self, cold_start: bool, uptime: int) -> None:
        """Record that a link is up, and request the measurement that follows the missed notices."""
        self.linked = True
        self._context.log(
            "agent", state="up", fresh=cold_start, age_ms=uptime // 1_000_000, notice=self.last_notice
        )
        self.measure()
        self.catch_up_measurement = self.measurements_requested

    def end_link(self, reason: str, runs: int) -> None:
        """Record that the link has ended; `runs` is the number of runs at the agent, for the log."""
        if self.linked:
            self._context.log("agent", state="lost", why=reason, runs=runs)
            self.lost_at = self._context.now
        self.linked = False
        self.catch_up_measurement = None

    def measure(self) -> None:
        """Request the agent's gauges."""
        self.measurements_requested += 1
        self._context.emit(MeasureGauges(str(self.measurements_requested)))

    def is_repeated(self, number: int) -> bool:
        """Return whether the notice `number` was read before: after a reconnect some notices arrive twice."""
        if number <= self.last_notice:
            return True
        self.last_notice = number
        return False

    def finish_catch_up(self, number: int) -> int | None:
        """Return and clear `catch_up_measurement`; None unless it is set and `number` is at least as high."""
        awaited = self.catch_up_measurement
        if awaited is None or number < awaited:
            return None
        self.catch_up_measurement = None
        return awaited

    def record_gauges(self, number: int, values: list[float]) -> None:
        """Store the values of the measurement `number`."""
        self.last_measured = number
        self.measured_at = self._context.now
        self.gauge_values = values
