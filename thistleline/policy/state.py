"""The state of one policy: the objects that its parts consist of, and checks that involve several of them."""

from thistleline.interface import ServerSettings, Task
from thistleline.policy.concurrency import ConcurrencyLimit
from thistleline.policy.connections import IdleTimeoutAdvisor
from thistleline.policy.detectors import OverloadDetector
from thistleline.policy.downstream import DownstreamCalls
from thistleline.policy.drain import Drain
from thistleline.policy.estimates import RunTimeEstimator, StageProfile
from thistleline.policy.idempotency import IdempotencyTable
from thistleline.policy.quotas import TenantQuotas
from thistleline.policy.rate_cap import RateCap
from thistleline.policy.rejections import RejectionAdvisor
from thistleline.policy.retries import TimeoutHistory
from thistleline.policy.shedding import LoadShedder
from thistleline.policy.tasks import TaskTable
from thistleline.policy.tuning import MEMORY_MARGIN


class PolicyState:
    """The objects that a policy consists of and the time of its present round.

    Attributes:
        settings: The server's settings.
        now: The time of the present round, ns.
        started_at: When the server started, ns.
        on_cores: Tasks on the cores or waiting for one, as last measured.
    """

    def __init__(self, settings: ServerSettings, seed: int, now: int) -> None:
        """Create the state for a server that starts at `now`, ns."""
        self.settings = settings
        self.now = now
        self.started_at = now
        self.on_cores = 0.0
        profiles = [StageProfile(settings, index) for index in range(len(settings.stages))]
        self.profiles = profiles
        self.tasks = TaskTable(settings)
        self.estimator = RunTimeEstimator(profiles)
        self.detector = OverloadDetector(settings)
        self.concurrency = ConcurrencyLimit(settings, now)
        self.rate_cap = RateCap(now)
        self.shedder = LoadShedder(profiles)
        self.quotas = TenantQuotas(settings)
        self.timeouts = TimeoutHistory()
        self.rejections = RejectionAdvisor(settings, seed)
        self.idempotency = IdempotencyTable(settings)
        self.downstream = DownstreamCalls(settings)
        self.connections = IdleTimeoutAdvisor()
        self.drain = Drain()

    def slowdown(self) -> float:
        """Return the expected ratio of a run's pace to the usual pace of its stage now."""
        return self.estimator.slowdown(self.rate_cap.cap is not None)

    def is_memory_short(self, more_kb: float) -> bool:
        """Return whether there is not enough memory for `more_kb` kB more."""
        used = self.tasks.memory_kb + self.idempotency.memory_kb + more_kb
        return used > self.settings.memory_kb * MEMORY_MARGIN

    def is_too_late_to_run(self, task: Task) -> bool:
        """Return whether a drain forbids starting the task, which arrived too late or would end too late."""
        if not self.drain.is_draining:
            return False
        end = self.now + self.estimator.estimate(task, self.slowdown())
        return self.drain.forbids_run(task.arrived_at, end)
