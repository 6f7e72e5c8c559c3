"""The types that the admission policy and its host exchange.

The host (the real server or the bench adapter) gives a `Policy` the `ServerSettings` once, then a list of
`PolicyEvent`s each round, in order of arrival. The policy answers through a `DecisionSink`, one call per
decision. No decision is made here. Times are integer nanoseconds on one clock that never goes backwards;
task ids are opaque strings that come back unchanged.
"""

from dataclasses import dataclass
from typing import Literal, Protocol

EffectKind = Literal["idempotent", "keyed", "non_idempotent"]  # keyed: idempotent by an idempotency key
RunOutcome = Literal["finished", "failed", "stopped", "moot"]  # moot: it was never run
CallOutcome = Literal["finished", "failed", "rejected", "timed_out", "unreachable", "aborted"]


@dataclass(frozen=True, slots=True)
class Stage:
    """The settings of one request class."""

    name: str
    latency_objective: int  # ns from arrival at the fleet to the wanted answer
    objective_per_work: float  # the objective grows by this many times the task's own work
    timeout: int  # ns from arrival at the fleet to the client giving up
    idempotency_window: int  # ns in which a keyed task may come again
    effect: EffectKind
    utility: float  # priority weight of a task answered within its objective
    late_utility_share: float  # share of the utility that a late answer still has
    calls: bool  # whether tasks call a downstream dependency
    utility_share_without_call: float  # share of the utility of an answer made without the call


@dataclass(frozen=True, slots=True)
class Tenant:
    """The settings of one tenant: its quota of the fleet's service."""

    name: str
    quota: float  # share of the fleet's service
    allowance: float  # tasks per second over the whole fleet that are within the quota


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """What a server knows about itself, its fleet and its clients when it starts."""

    stages: tuple[Stage, ...]
    tenants: tuple[Tenant, ...]
    cores: float  # may be a fraction
    memory_kb: float
    running_memory_factor: float  # memory of a running task over that of a queued one
    idempotency_key_kb: float  # memory of one remembered idempotency key
    fleet_size: int
    client_count: int
    cold_start: bool  # started just now, so its caches are cold
    cold_speed_share: float  # least share of full speed while warming up
    warmup_duration: int  # ns
    max_concurrency_per_core: float  # tasks on the cores, per core, that a warm server survives
    max_concurrency_window: int  # ns
    answer_slack: int  # ns
    drain_grace: int  # ns
    cancellation: Literal["none", "abort", "suspend"]  # what stopping a run does
    propagates_deadline: bool
    reports_cancellation: bool
    marks_retries: bool
    load_hint: Literal["none", "threshold", "window", "share"]  # the form of the load hint to clients
    endpoint_list_follows_health: bool
    max_retry_after: int  # ns; 0 where clients are not given a Retry-After
    over_quota_utility: float  # share of the utility of a task beyond its tenant's quota
    cached_result_ttl: int  # ns
    downstream: Literal["none", "shared", "tier"]  # the kind of dependency that tasks call
    downstream_quota: float  # this server's quota of concurrent calls to a shared dependency
    downstream_quota_window: int  # ns over which the quota is averaged
    downstream_linger: int  # ns that a call given up may stay in flight downstream


@dataclass(frozen=True, slots=True)
class Task:
    """A task as it was read from a client."""

    id: str
    stage: int  # index into the settings' stages
    tenant: int  # index into the settings' tenants
    client: int
    priority_rank: float
    user: int | None
    estimated_work: int | None  # hinted work in ns on a standard core
    queued_memory_kb: float  # memory while queued
    arrived_at: int  # when it reached the machine, before it was read
    deadline: int | None  # when its client stops waiting, where known
    is_retry: bool  # marked as a retry or a hedged request
    duplicate_of: str | None  # id of the remembered task that this one repeats


@dataclass(frozen=True, slots=True)
class TaskArrived:
    """A task was read and is now queued."""

    task: Task


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run, or an answer replayed from a duplicate's run, ended."""

    task_id: str
    outcome: RunOutcome
    duration: int  # ns


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Nobody waits for the task any more."""

    task_id: str


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A running task waits for a call to the downstream dependency."""

    task_id: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call to the downstream dependency ended."""

    task_id: str
    outcome: CallOutcome
    duration: int  # ns


@dataclass(frozen=True, slots=True)
class EffectRemembered:
    """An effect of an earlier incarnation has run or may have run; it is remembered until `expires_at`."""

    task_id: str
    expires_at: int


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The server is to drain; the process is stopped at `stop_at`."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by the policy is due."""

    name: str
    gauges: dict[str, float]  # by name, such as "on_cores"; empty where none could be read


PolicyEvent = (
    TaskArrived
    | RunEnded
    | ClientGone
    | CallRequested
    | CallEnded
    | EffectRemembered
    | DrainRequested
    | TimerFired
)


class DecisionSink(Protocol):
    """Takes each decision at once; the order of calls is the order in which they act."""

    def start(self, task_id: str) -> None:
        """Start running the task."""

    def stop(self, task_id: str) -> None:
        """Stop the task's run."""

    def reject(self, task_id: str, fleet_overloaded: bool, retry_after: int) -> None:
        """Shed the task: it did not run.

        Args:
            task_id: The task.
            fleet_overloaded: Whether a retry at another server would fare no better.
            retry_after: Nanoseconds the client should wait before a retry (Retry-After); 0 for none.
        """

    def abandon(self, task_id: str) -> None:
        """Answer the task with a failure that says nothing about whether it ran."""

    def replay_result(self, task_id: str) -> None:
        """Answer the task from the run of the one that it repeats."""

    def remember_key(self, task_id: str, duration: int) -> None:
        """Remember the task's idempotency key for `duration` nanoseconds."""

    def forget_key(self, task_id: str) -> None:
        """Forget the task's idempotency key: it did not run."""

    def start_call(self, task_id: str, timeout: int) -> None:
        """Make the task's downstream call, with a timeout of `timeout` nanoseconds."""

    def skip_call(self, task_id: str) -> None:
        """Let the task go on without its downstream call."""

    def set_health(self, healthy: bool, from_cache: bool) -> None:
        """Set what health checks report.

        Args:
            healthy: Whether the server wants new tasks.
            from_cache: Whether deep checks are answered by this alone, without asking the agent.
        """

    def publish_load_hint(self, value: float) -> None:
        """Attach this load hint to answers from now on."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` nanoseconds; 0 for never."""

    def set_timer(self, name: str, duration: int) -> None:
        """Send `TimerFired` with this name after `duration` nanoseconds."""
