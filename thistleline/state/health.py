"""Health checks by clients, answered with the health set by the policy or after a check of the agent."""

from thistleline.state.agent_session import AgentSession
from thistleline.state.connections import ClientConnections
from thistleline.state.context import EventContext
from thistleline.state.effects import AnswerHealth, CheckAgent
from thistleline.state.limits import DEEP_CHECK_TIMEOUT, MAX_DEEP_CHECKS


class HealthChecks:
    """The health set by the policy, the load hint, and the deep checks that the agent has not answered."""

    def __init__(self, context: EventContext, session: AgentSession, connections: ClientConnections) -> None:
        """Create the state of a healthy server without a load hint."""
        self.healthy = True
        self.from_cache = True  # whether deep checks are answered without the agent
        self.load_hint: float | None = None
        self._context = context
        self._session = session
        self._connections = connections
        self._deep: dict[str, tuple[int, int, int]] = {}  # by tag: connection, sequence number, start time

    def check(self, connection: int, seq: int, deep: bool) -> None:
        """Answer a check, or start a deep check at the agent."""
        linked = self._session.linked
        if deep and not self.from_cache and linked and len(self._deep) < MAX_DEEP_CHECKS:
            tag = f"check-{connection}-{seq}"
            self._deep[tag] = (connection, seq, self._context.now)
            self._context.emit(CheckAgent(tag))
            return
        self._answer(connection, seq, not deep or self.from_cache or linked)

    def complete(self, tag: str, agent_healthy: bool) -> None:
        """Answer a deep check if its connection is still open."""
        check = self._deep.pop(tag, None)
        if check is not None and check[0] in self._connections.by_number:
            self._answer(check[0], check[1], agent_healthy)

    def fail_all(self) -> None:
        """Answer all deep checks with a failure because the agent is not connected."""
        for tag in list(self._deep):
            self.complete(tag, False)

    def expire(self) -> None:
        """Fail the deep checks that the agent has not answered within `DEEP_CHECK_TIMEOUT`."""
        for tag, (_, _, asked_at) in list(self._deep.items()):
            if self._context.now - asked_at >= DEEP_CHECK_TIMEOUT:
                self.complete(tag, False)

    def _answer(self, connection: int, seq: int, agent_healthy: bool) -> None:
        healthy = self.healthy and self._session.greeted and agent_healthy
        self._context.emit(AnswerHealth(connection, seq, healthy, self.load_hint))
