"""The calls that runs make to the downstream dependency.

A run that waits for its call says so in a notice of the agent. The policy has the call made or skipped; the
agent is told to let the run go on, with the call's result or without one.
"""

from thistleline.state.agent_session import AgentSession
from thistleline.state.attempts import Run
from thistleline.state.context import EventContext
from thistleline.state.effects import CancelCall, DeliverCallResult, SkipRunCall, StartCall
from thistleline.state.limits import CALL_TIMEOUT_SLACK, LINK_LOSS_WINDOW


class DownstreamCalls:
    """The calls in flight, by the attempt id of their run."""

    def __init__(self, context: EventContext, session: AgentSession) -> None:
        """Begin without calls."""
        self._context = context
        self._session = session
        self._in_flight: dict[str, tuple[int, int]] = {}  # since when, until when an end is awaited

    def start(self, run: Run, timeout: int) -> None:
        """Make the call that the run waits for, if it waits and none is in flight for it."""
        if run.call is not None and run.id not in self._in_flight:
            now = self._context.now
            self._in_flight[run.id] = now, now + timeout + CALL_TIMEOUT_SLACK
            self._context.emit(StartCall(run.id, timeout, run.call[1]))

    def cancel(self, attempt_id: str) -> None:
        """Give the run's call up, if there is one: the run is over."""
        if self._in_flight.pop(attempt_id, None) is not None:
            self._context.emit(CancelCall(attempt_id))

    def complete(self, attempt_id: str) -> int | None:
        """Note a call's end; return its duration in ns, None for one that was given up."""
        times = self._in_flight.pop(attempt_id, None)
        return None if times is None else self._context.now - times[0]

    def overdue(self) -> list[str]:
        """Return the attempt ids of the calls whose end is awaited no longer."""
        return [id for id, (_, until) in self._in_flight.items() if until <= self._context.now]

    def resume(self, run: Run, result: bytes | None) -> None:
        """Let a run go on from its call, with a result or without one.

        Without a link the agent is told once there is one, by `resend`.
        """
        assert run.call is not None
        run.call_reply = self._context.now, run.call[0], result
        run.call = None
        if self._session.is_settled:
            self._tell(run)

    def resend(self, run: Run) -> None:
        """Tell a new link what may be lost with the old one: the run waits still, no notice came since."""
        if run.call_reply is not None and run.call_reply[0] >= self._session.lost_at - LINK_LOSS_WINDOW:
            self._tell(run)

    def _tell(self, run: Run) -> None:
        assert run.call_reply is not None
        _, number, result = run.call_reply
        if result is None:
            self._context.emit(SkipRunCall(run.id, number))
        else:
            self._context.emit(DeliverCallResult(run.id, result))
