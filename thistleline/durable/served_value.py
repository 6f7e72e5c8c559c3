"""What a server's work was worth, beside how much of it there was: for whoever judges a release by it.

A server that finishes as many tasks as before and drops the dear ones does worse; counts alone don't show it.
"""

from typing import Any

from thistleline.interface import Task
from thistleline.state.state_machine import Reducer

WHOLE = 1000  # one of utility


class Worth(Reducer):
    """Adds to the figures: `worth_came` and `worth_done`, thousandths of utility of what came and of what was
    finished in time, and `slow`, tasks that were finished after their due span."""

    def _task(self, name: int, seq: int, task: Task, word: str | None, body: memoryview) -> None:
        before = self.names
        super()._task(name, seq, task, word, body)
        if self.names != before:
            self._add("worth_came", self.settings.stages[task.stage].utility)

    def _finish(self, task: str, result: Any) -> bool:
        held = self.tries.get(task)
        done = super()._finish(task, result)
        if done and held is not None:
            stage = self.settings.stages[held.stage]
            late = self.now - held.since > stage.latency_objective
            self._add("worth_done", stage.utility * (stage.late_utility_share if late else 1.0))
            if late:
                self._count("slow")
        return done

    def _add(self, what: str, utility: float) -> None:
        self.figures[what] = self.figures.get(what, 0) + round(utility * WHOLE)
