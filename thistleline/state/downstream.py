"""The calls that runs make to the downstream dependency.

The agent reports in a notice that a run waits for its call. The policy decides whether the call is made or
skipped; then the agent gets a command to continue the run, with the call's result or without one.
"""

from thistleline.state.agent_session import AgentSession
from thistleline.state.attempts import Run
from thistleline.state.context import EventContext
from thistleline.state.effects import CancelCall, DeliverCallResult, SkipRunCall, StartCall
from thistleline.state.limits import CALL_TIMEOUT_SLACK, LINK_LOSS_WINDOW


class DownstreamCalls:
    """The downstream calls in flight, by the attempt id of the run that waits for the call."""

    def __init__(self, context: EventContext, session: AgentSession) -> None:
        """Create the table without calls."""
        self._context = context
        self._session = session
        # Start time of each call, and time at which the call is given up.
        self._in_flight: dict[str, tuple[int, int]] = {}

    def start(self, run: Run, timeout: int) -> None:
        """Start the call that the run waits for, unless a call for the run is in flight."""
        if run.call is not None and run.id not in self._in_flight:
            now = self._context.now
            self._in_flight[run.id] = now, now + timeout + CALL_TIMEOUT_SLACK
            self._context.emit(StartCall(run.id, timeout, run.call[1]))

    def cancel(self, attempt_id: str) -> None:
        """Cancel the call of a run that has ended, if the call is in flight."""
        if self._in_flight.pop(attempt_id, None) is not None:
            self._context.emit(CancelCall(attempt_id))

    def complete(self, attempt_id: str) -> int | None:
        """Record the end of a call; return its duration in ns, or None if the call was given up."""
        times = self._in_flight.pop(attempt_id, None)
        return None if times is None else self._context.now - times[0]

    def overdue(self) -> list[str]:
        """Return the attempt ids of the calls that have no end `CALL_TIMEOUT_SLACK` after their timeout."""
        return [id for id, (_, until) in self._in_flight.items() if until <= self._context.now]

    def resume(self, run: Run, result: bytes | None) -> None:
        """Let a run continue after its call, with the call's result or without one.

        While no link to the agent is up, the command is not sent; `resend` sends it once a link is up.
        """
        assert run.call is not None
        run.call_reply = self._context.now, run.call[0], result
        run.call = None
        if self._session.is_caught_up:
            self._send_reply(run)

    def resend(self, run: Run) -> None:
        """Repeat on a new link the reply to the run's call, if it may have been lost with the old link.

        The agent has sent no notice of the run since that reply, so the run may still wait for the reply.
        """
        if run.call_reply is not None and run.call_reply[0] >= self._session.lost_at - LINK_LOSS_WINDOW:
            self._send_reply(run)

    def _send_reply(self, run: Run) -> None:
        assert run.call_reply is not None
        _, number, result = run.call_reply
        if result is None:
            self._context.emit(SkipRunCall(run.id, number))
        else:
            self._context.emit(DeliverCallResult(run.id, result))
