"""Counters of the utility of the tasks that a server received and finished; used to compare releases.

A release that finishes as many tasks as another but drops the valuable ones is worse; task counts alone don't
show that.
"""

from thistleline.state.connections import Connection
from thistleline.state.events import TaskReceived
from thistleline.state.state_machine import ServerStateMachine

COUNTS_PER_UTILITY = 1000  # counter increment for a utility of 1


class ServedValueTracker(ServerStateMachine):
    """A state machine with three more counters.

    `worth_came` and `worth_done` count the utility of the tasks received and finished, in thousandths; `slow`
    counts the tasks finished after their latency objective.
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
        self.context.count(counter, round(utility * COUNTS_PER_UTILITY))
