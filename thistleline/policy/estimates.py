"""Estimates of run time per stage, from the recent runs of this server."""

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
    """A stage with its priority level and its recent run times.

    Attributes:
        stage: The stage's settings.
        level: Rank of the stage's utility among the distinct utilities of all stages, 0 for the lowest.
        paces: Paces of recent runs, the run time in ns per ns of estimated work. While a rate cap applies,
            paces are recorded only as long as there are few.
        usual_pace: A low percentile of the paces; 0 while there are none.
    """

    __slots__ = ("level", "paces", "stage", "usual_pace")

    def __init__(self, settings: ServerSettings, index: int) -> None:
        """Create the profile of the stage with this index."""
        self.stage: Stage = settings.stages[index]
        self.level = sorted({stage.utility for stage in settings.stages}).index(self.stage.utility)
        self.paces: deque[float] = deque(maxlen=PACE_SAMPLES)
        self.usual_pace = 0.0


class RunTimeEstimator:
    """Estimates a run time as estimated work times the stage's usual pace times the server's slowdown."""

    def __init__(self, profiles: list[StageProfile]) -> None:
        """Create an estimator without samples."""
        self._profiles = profiles
        self._slowdowns: deque[float] = deque(maxlen=SLOWDOWN_SAMPLES)

    def slowdown(self, is_capped: bool) -> float:
        """Return the expected ratio of a run's pace to the usual pace of its stage.

        The ratio is optimistic (the lowest recent one) while there is capacity for all tasks. It is cautious
        (the lower quartile) under a rate cap, when capacity should go to tasks that will meet their
        objective. Prevents rejecting large tasks at low load: a run's waits off the cores do not grow with
        the work, so an average pace overestimates large tasks.
        """
        slowdowns = sorted(self._slowdowns) or [1.0]
        return slowdowns[len(slowdowns) // 4 if is_capped else 0]

    def estimate(self, task: Task, slowdown: float) -> int:
        """Return the estimated run time in ns; 0 while the stage has no samples."""
        return int(self._profiles[task.stage].usual_pace * slowdown * (task.estimated_work or 1))

    def observe(self, record: TaskRecord, duration: int, is_capped: bool) -> None:
        """Update the slowdown and the stage's pace from a run that took `duration` ns."""
        profile = self._profiles[record.task.stage]
        pace = duration / (record.task.estimated_work or 1)
        if profile.usual_pace:
            self._slowdowns.append(pace / profile.usual_pace)
        if not is_capped or len(profile.paces) < SLOWDOWN_SAMPLES:
            profile.paces.append(pace)
            profile.usual_pace = sorted(profile.paces)[int(PACE_PERCENTILE * len(profile.paces))]

    def keeps_usual_pace(self) -> bool:
        """Return whether recent runs show that the server itself is not slow."""
        return bool(self._slowdowns) and median_high(self._slowdowns) < MAX_HEALTHY_SLOWDOWN
