"""The session with the agent over all its links: notices, measurements, and what a new link means.

The agent numbers its notices and says again on a new link what came after the last number that it is told.
Measurements are numbered here; the answer to one says that all that was written before it has arrived.
"""

from thistleline.state.context import EventContext
from thistleline.state.effects import MeasureGauges


class AgentSession:
    """What is known of the agent and of the link to it."""

    def __init__(self, context: EventContext) -> None:
        """Begin without a link."""
        self.linked = False
        self.greeted = False  # whether there has been a link
        self.last_notice = 0  # number of the last notice that was read
        self.measures = 0  # asked for so far; a tag is the number of its measurement
        self.last_measured = 0  # number of the last one answered
        self.measured_at = context.now
        self.gauge_values: list[float] = []
        self.restart_mark: int | None = None  # the measurement after which all missed notices were read
        self.lost_at = context.now  # when the last link ended
        self._context = context

    @property
    def is_settled(self) -> bool:
        """Whether there is a link and all notices that were missed before it have been read."""
        return self.linked and self.restart_mark is None

    def begin_link(self, cold_start: bool, uptime: int) -> None:
        """Note that a link is up, and ask for the measurement that ends the missed notices."""
        self.linked = True
        self._context.log(
            "agent", state="up", fresh=cold_start, age_ms=uptime // 1_000_000, notice=self.last_notice
        )
        self.measure()
        self.restart_mark = self.measures

    def end_link(self, reason: str, runs: int) -> None:
        """Note that there is no link any more; `runs`: how many are at the agent."""
        if self.linked:
            self._context.log("agent", state="lost", why=reason, runs=runs)
            self.lost_at = self._context.now
        self.linked = False
        self.restart_mark = None

    def measure(self) -> None:
        """Ask for the gauges."""
        self.measures += 1
        self._context.emit(MeasureGauges(str(self.measures)))

    def is_repeated(self, number: int) -> bool:
        """Tell whether a notice came before; after a link's end some come twice."""
        if number <= self.last_notice:
            return True
        self.last_notice = number
        return False

    def reaches_mark(self, number: int) -> int | None:
        """Return the restart mark, and clear it, if the measurement `number` ends the missed notices."""
        mark = self.restart_mark
        if mark is None or number < mark:
            return None
        self.restart_mark = None
        return mark

    def record_gauges(self, number: int, values: list[float]) -> None:
        """Keep the values of the measurement `number`."""
        self.last_measured = number
        self.measured_at = self._context.now
        self.gauge_values = values
