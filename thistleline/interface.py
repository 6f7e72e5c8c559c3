"""The types that the admission policy and its host exchange.

The host (the real server or the bench adapter) gives a `Policy` the `ServerSettings` once, then a list of
`PolicyEvent`s each round, in order of arrival. The policy reports its decisions through a `DecisionSink`, one
call per decision. This module only declares types. Times are integer nanoseconds on one monotonic clock; task
ids are opaque strings that the policy passes back unchanged.
"""

from dataclasses import dataclass
from typing import Literal, Protocol

EffectKind = Literal["idempotent", "keyed", "non_idempotent"]  # keyed: made idempotent by an idempotency key
RunOutcome = Literal["finished", "failed", "stopped", "moot"]  # moot: the run never started
CallOutcome = Literal["finished", "failed", "rejected", "timed_out", "unreachable", "aborted"]


@dataclass(frozen=True, slots=True)
class Stage:
    """The settings of one request class."""

    name: str
    latency_objective: int  # ns from arrival at the fleet within which the task should be answered
    objective_per_work: float  # factor of the task's estimated work that is added to the objective
    timeout: int  # ns from arrival at the fleet until the client stops waiting
    idempotency_window: int  # ns during which duplicates of a keyed task may arrive
    effect: EffectKind
    utility: float  # priority weight of a task answered within its objective
    late_utility_share: float  # share of the utility that remains for a late answer
    calls: bool  # whether tasks of the class call a downstream dependency
    utility_share_without_call: float  # share of the utility of an answer made without the call


@dataclass(frozen=True, slots=True)
class Tenant:
    """The settings of one tenant: its share of the fleet's capacity."""

    name: str
    quota: float  # share of the fleet's capacity
    allowance: float  # tasks per second that the quota permits over the whole fleet


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """The facts about a server, its fleet and its clients that are known when it starts."""

    stages: tuple[Stage, ...]
    tenants: tuple[Tenant, ...]
    cores: float  # may be fractional
    memory_kb: float
    running_memory_factor: float  # ratio of a task's memory while it runs to its memory while it is queued
    idempotency_key_kb: float  # memory of one stored idempotency key
    fleet_size: int
    client_count: int
    cold_start: bool  # started with cold caches
    cold_speed_share: float  # share of full speed at the start of the warm-up
    warmup_duration: int  # ns until full speed
    max_concurrency_per_core: float  # tasks on the cores, per core, that a warm server withstands
    max_concurrency_window: int  # ns
    answer_slack: int  # ns
    drain_grace: int  # ns; grace period of a drain, for most of which tasks are still accepted
    cancellation: Literal["none", "abort", "suspend"]  # effect of stopping a run
    propagates_deadline: bool
    reports_cancellation: bool
    marks_retries: bool
    load_hint: Literal["none", "threshold", "window", "share"]  # the form of the load hint to clients
    endpoint_list_follows_health: bool
    max_retry_after: int  # ns; 0 if clients are sent no Retry-After
    over_quota_utility: float  # share of the utility that remains for a task over its tenant's quota
    cached_result_ttl: int  # ns after the end of a run in which its result may answer equal reads
    downstream: Literal["none", "shared", "tier"]  # kind of the dependency that tasks call
    downstream_quota: float  # this server's quota of concurrent calls to a shared dependency
    downstream_quota_window: int  # ns over which the quota is averaged
    downstream_linger: int  # ns that a cancelled call may stay in flight downstream


@dataclass(frozen=True, slots=True)
class Task:
    """A request as it was read from a client."""

    id: str
    stage: int  # index into the settings' stages
    tenant: int  # index into the settings' tenants
    client: int
    priority_rank: float
    user: int | None
    estimated_work: int | None  # work stated by the client, in ns on a standard core
    queued_memory_kb: float  # memory while queued
    arrived_at: int  # when it reached the machine; it may wait there before it is read
    deadline: int | None  # when its client stops waiting; None if unknown
    is_retry: bool  # marked as a retry or a hedged request
    duplicate_of: str | None  # id of the remembered task that this one duplicates


@dataclass(frozen=True, slots=True)
class TaskArrived:
    """A task was read from a client and awaits a decision."""

    task: Task


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended, or a task was answered with the result of the task that it duplicates."""

    task_id: str
    outcome: RunOutcome
    duration: int  # ns


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client no longer waits for the task."""

    task_id: str


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A running task needs a call to the downstream dependency."""

    task_id: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call to the downstream dependency ended."""

    task_id: str
    outcome: CallOutcome
    duration: int  # ns


@dataclass(frozen=True, slots=True)
class EffectRemembered:
    """A run with an idempotency key took place, or may have, in an earlier process of this server.

    Its record is kept until `expires_at`, in ns.
    """

    task_id: str
    expires_at: int


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The server must drain; the process is stopped at `stop_at`, in ns."""

    stop_at: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by the policy has expired."""

    name: str
    gauges: dict[str, float]  # values by name, such as "on_cores"; empty where none could be read


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
    """Receives the decisions of a policy and carries them out in the order of the calls."""

    def start(self, task_id: str) -> None:
        """Start running the task."""

    def stop(self, task_id: str) -> None:
        """Stop the task's run."""

    def reject(self, task_id: str, fleet_overloaded: bool, retry_after: int) -> None:
        """Reject the task, which has not run.

        Args:
            task_id: The task.
            fleet_overloaded: Whether a retry at another server is as likely to be rejected as one here.
            retry_after: Nanoseconds the client should wait before a retry (Retry-After); 0 for none.
        """

    def abandon(self, task_id: str) -> None:
        """Answer the task with a failure that says nothing about whether it ran."""

    def replay_result(self, task_id: str) -> None:
        """Answer the task with the result of the run of the task that it duplicates."""

    def remember_key(self, task_id: str, duration: int) -> None:
        """Store the task's idempotency key for `duration` nanoseconds."""

    def forget_key(self, task_id: str) -> None:
        """Delete the idempotency key of the task, which has not run."""

    def start_call(self, task_id: str, timeout: int) -> None:
        """Start the task's downstream call, with a timeout of `timeout` nanoseconds."""

    def skip_call(self, task_id: str) -> None:
        """Continue the task without its downstream call."""

    def set_health(self, healthy: bool, from_cache: bool) -> None:
        """Set what health checks report.

        Args:
            healthy: Whether the server accepts new tasks.
            from_cache: Whether deep checks are answered with this value, without asking the agent.
        """

    def publish_load_hint(self, value: float) -> None:
        """Attach this load hint to all further answers."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` nanoseconds; 0 disables the timeout."""

    def set_timer(self, name: str, duration: int) -> None:
        """Send `TimerFired` with this name after `duration` nanoseconds."""
