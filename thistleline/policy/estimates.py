"""Estimates of run time, learned per stage from this server's own runs."""

from collections import deque
from statistics import median_high

from thistleline.interface import ServerSettings, Stage, Task
from thistleline.policy.tasks import TaskRecord
from thistleline.policy.tuning import (
    MAX_HEALTHY_SLOWDOWN,
    PACE_PERCENTILE,
    PACE_SAMPLES,
    SLOWDOWN_SAMPLES,
)


class StageProfile:
    """A stage with its priority level and what was learned of its runs.

    Attributes:
        stage: The stage's settings.
        level: Rank of its utility among the distinct utilities, 0 the lowest.
        paces: Recent calm run times, ns of run for each ns of estimated work.
        usual_pace: The trusted percentile of the paces; 0 before there are any.
    """

    __slots__ = ("level", "paces", "stage", "usual_pace")

    def __init__(self, settings: ServerSettings, index: int) -> None:
        """Create the profile of the stage with this index."""
        self.stage: Stage = settings.stages[index]
        self.level = sorted({stage.utility for stage in settings.stages}).index(self.stage.utility)
        self.paces: deque[float] = deque(maxlen=PACE_SAMPLES)
        self.usual_pace = 0.0


class RunTimeEstimator:
    """Estimates how long runs take: usual pace of the stage, times the server's present slowdown."""

    def __init__(self, profiles: list[StageProfile]) -> None:
        """Create an estimator that knows of no run."""
        self._profiles = profiles
        self._slowdowns: deque[float] = deque(maxlen=SLOWDOWN_SAMPLES)

    def slowdown(self, is_capped: bool) -> float:
        """Return how many times its usual pace a run should take.

        Optimistic while there is room for all; cautious under a cap, when the room belongs to tasks that will
        make their objective. Prevents giving up on big tasks in quiet hours: waits off the cores do not grow
        with the work, so a middling pace overrates.
        """
        slowdowns = sorted(self._slowdowns) or [1.0]
        return slowdowns[len(slowdowns) // 4 if is_capped else 0]

    def estimate(self, task: Task, slowdown: float) -> int:
        """Return the estimated run time in ns; 0 where nothing is known."""
        return int(self._profiles[task.stage].usual_pace * slowdown * (task.estimated_work or 1))

    def observe(self, record: TaskRecord, duration: int, is_capped: bool) -> None:
        """Learn from a run that took `duration` ns."""
        profile = self._profiles[record.task.stage]
        pace = duration / (record.task.estimated_work or 1)
        if profile.usual_pace:
            self._slowdowns.append(pace / profile.usual_pace)
        if not is_capped or len(profile.paces) < SLOWDOWN_SAMPLES:
            profile.paces.append(pace)
            profile.usual_pace = sorted(profile.paces)[int(PACE_PERCENTILE * len(profile.paces))]

    def keeps_usual_pace(self) -> bool:
        """Return whether recent runs show that the server itself is well."""
        return bool(self._slowdowns) and median_high(self._slowdowns) < MAX_HEALTHY_SLOWDOWN
