"""The value of what a server served, beside how many tasks: for whoever judges a release by it.

A server that finishes as many tasks as before and drops the valuable ones does worse; counts alone don't show
it.
"""

from thistleline.state.connections import Connection
from thistleline.state.events import TaskReceived
from thistleline.state.state_machine import ServerStateMachine

UTILITY_UNIT = 1000  # counted for a utility of one


class ServedValueTracker(ServerStateMachine):
    """A state machine with three more counters.

    `worth_came` and `worth_done` are thousandths of the utility of what came and of what was finished, `slow`
    is the number of tasks that were finished after their latency objective.
    """

    def _admit(self, event: TaskReceived, connection: Connection) -> str:
        name = super()._admit(event, connection)
        self._count_utility("worth_came", self.settings.stages[event.task.stage].utility)
        return name

    def _finish(self, name: str, result: bytes | memoryview) -> bool:
        attempt = self.attempts.get(name)
        answered = super()._finish(name, result)
        if answered and attempt is not None:
            stage = self.settings.stages[attempt.stage]
            late = self.context.now - attempt.arrived_at > stage.latency_objective
            self._count_utility("worth_done", stage.utility * (stage.late_utility_share if late else 1.0))
            if late:
                self.context.count("slow")
        return answered

    def _count_utility(self, counter: str, utility: float) -> None:
        self.context.count(counter, round(utility * UTILITY_UNIT))
