"""What one instance's `Policy` costs by tenant and by stage, without traffic except where stated."""

from collections.abc import Callable
from functools import partial
from typing import Any

from thistleline.interface import RunEnded, ServerSettings, Task, TaskArrived, TimerFired
from thistleline.lab.scale.settings_text import settings_of
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import (
    Part,
    Row,
    Shape,
    judge,
    loop_cpu,
    loops_by_size,
    memory_of,
    row,
    steps_of,
)
from thistleline.policy import MS, SECOND, TICK, WINDOW, Policy
from thistleline.wire.settings import read_server_settings

NAME = "policy"

PROMISED: dict[str, Shape] = {
    "a task by tenant: steps": "flat",
    "a task by stage: steps": "flat",
    "a tick between two weighings by tenant: steps": "flat",
    "a tick between two weighings by stage: steps": "flat",
    "_weigh_owners, all idle: steps": "linear",
    "a steering tick by stage: steps": "linear",
    "a start by tenant: steps": "linear",
    "a start by stage: steps": "square",
}
START = SECOND  # ns; any time will do, a policy's clock only goes forward


class NullSink:
    """A decision sink that accepts every decision and does nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Return a no-op for any decision."""
        return self._ignore

    def _ignore(self, *arguments: Any) -> None:
        pass


def make_settings(stages: int, tenants: int, seed: int) -> ServerSettings:
    """Return generated settings of this size, as a server reads them."""
    return read_server_settings(settings_of(stages, tenants, seed))


def make_policy(stages: int, tenants: int, seed: int) -> Policy:
    """Return a new policy with settings of this size."""
    return Policy(make_settings(stages, tenants, seed), seed, START)


def tick(policy: Policy, out: Any) -> None:
    """Advance the policy by one tick."""
    policy.round(policy.now + TICK, [TimerFired("tick", {"on_cores": 1.0})], out)


def start_policy(policy: Policy) -> Any:
    """Run the policy's first round and return the sink for the next ones."""
    out: Any = NullSink()
    policy.round(START, [], out)
    return out


def steps_of_ticks(policy: Policy) -> tuple[int, int]:
    """Count the steps of a tick between two quota updates, and of the tick that updates and steers."""
    out = start_policy(policy)
    for _ in range(WINDOW - 2):
        tick(policy, out)
    between = steps_of(lambda: tick(policy, out))
    return between, steps_of(lambda: tick(policy, out))


def steps_of_task(policy: Policy) -> int:
    """Count the steps of a first task from arrival to end, its tenant's state included."""
    out = start_policy(policy)
    last, stages = max(0, len(policy.settings.tenants) - 1), len(policy.settings.stages)
    task = Task("a", stages - 1, last, 0, 0.5, 7, None, 1.0, START, None, False, None)

    def run_task() -> None:
        policy.round(START + MS, [TaskArrived(task)], out)
        policy.round(START + 2 * MS, [RunEnded("a", "finished", MS)], out)

    return steps_of(run_task)


def quota_update(policy: Policy) -> Callable[[], None]:
    """Return a call that updates the quotas of all tenants."""
    return partial(policy.state.quotas.update, policy.now)


def count_quota_updates(ticks: int) -> int:
    """Return how often so many ticks update the quotas."""
    policy = make_policy(1, 1, 1)
    count = 0
    out = start_policy(policy)

    def count_update(now: int) -> None:
        nonlocal count
        count += 1

    policy.state.quotas.update = count_update  # type: ignore[method-assign]
    for _ in range(ticks):
        tick(policy, out)
    return count


def count_rows(sizes: tuple[int, ...], start_sizes: tuple[int, ...], seed: int) -> list[Row]:
    """Measure the slopes that are counts: the same for the same seed."""
    tenants, routes = size("tenants"), size("routes")
    by_tenant = [make_policy(3, n, seed) for n in sizes]
    by_stage = [make_policy(n, 3, seed) for n in start_sizes]
    ticks_tenant, ticks_stage = map(steps_of_ticks, by_tenant), map(steps_of_ticks, by_stage)
    between_tenant, _ = zip(*ticks_tenant, strict=True)
    between_stage, steering_stage = zip(*ticks_stage, strict=True)

    def steps(name: str, per: str, values: Any, note: str = "") -> Row:
        at = tenants if per == "tenant" else routes
        measured_sizes = sizes if per == "tenant" else start_sizes
        return row(name, "count", "steps", per, measured_sizes, list(values), at, note=note)

    def start(n_stages: int, n_tenants: int) -> int:
        settings = make_settings(n_stages, n_tenants, seed)
        return steps_of(lambda: Policy(settings, seed, START))

    return [
        steps("a task by tenant: steps", "tenant", [steps_of_task(make_policy(3, n, seed)) for n in sizes]),
        steps("a task by stage: steps", "stage",
              [steps_of_task(make_policy(n, 3, seed)) for n in start_sizes]),
        steps("a tick between two weighings by tenant: steps", "tenant", between_tenant),
        steps("a tick between two weighings by stage: steps", "stage", between_stage),
        steps("_weigh_owners, all idle: steps", "tenant", [steps_of(quota_update(one)) for one in by_tenant]),
        steps("a steering tick by stage: steps", "stage", steering_stage, "where the instance says a level"),
        steps("a start by tenant: steps", "tenant", [start(3, n) for n in sizes]),
        steps("a start by stage: steps", "stage", [start(n, 3) for n in start_sizes],
              "StageProfile sorts the utilities of all stages, for each stage"),
    ]  # fmt: skip


def _policy_memory(stages: int, tenants: int, seed: int) -> int:
    """Return the bytes that a policy holds beyond its settings."""
    settings = make_settings(stages, tenants, seed)
    return memory_of(lambda: Policy(settings, seed, START))[0]


def _settings_memory(tenants: int, seed: int) -> int:
    """Return the bytes that the settings of so many tenants hold once they are read."""
    document = settings_of(3, tenants, seed)
    return memory_of(lambda: read_server_settings(document))[0]


def memory_rows(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    """Measure the memory of policy and settings by tenant, and of the policy by stage."""
    found = []
    sizes = (300, 1000, 3000, 10_000) if quick else (1000, 10_000, 100_000, 300_000)
    notes = {"Policy": "a deque of no traffic and a float", "the bench's owners": "name and two numbers"}
    for what, note in notes.items():
        if what == "Policy":
            values = [_policy_memory(3, n, seed) for n in sizes]
        else:
            values = [_settings_memory(n, seed) for n in sizes]
        tell(f"{what}: memory of {sizes[-1]} tenants")
        name = f"{what} by tenant: bytes"
        found.append(row(name, "memory", "bytes", "tenant", sizes, values, size("tenants"), note=note))
    sizes = (30, 100, 300, 1000) if quick else (100, 300, 1000, 3000)
    values = [_policy_memory(n, 3, seed) for n in sizes]
    found.append(row("Policy by stage: bytes", "memory", "bytes", "stage", sizes, values, size("routes"),
                     note="before any run; a full pace adds its floats"))  # fmt: skip
    return found


def time_rows(quick: bool, seed: int, tell: Callable[[str], None]) -> tuple[list[Row], dict[str, Any]]:
    """Measure times in reference loops; return the rows, and figures of the CPU seconds."""
    repeats = 3 if quick else 7
    tenant_sizes = (1000, 3000, 10_000, 30_000) if quick else (60_000, 150_000, 300_000, 600_000)
    stage_sizes = (100, 300, 600, 1000) if quick else (300, 1000, 2000, 4000)

    def update_quotas(tenants: int) -> Callable[[], Any]:
        return quota_update(make_policy(3, tenants, seed))

    def start_by_stage(stages: int) -> Callable[[], Any]:
        return partial(Policy, make_settings(stages, 3, seed), seed, START)

    def start_by_tenant(tenants: int) -> Callable[[], Any]:
        return partial(Policy, make_settings(3, tenants, seed), seed, START)

    cases: list[tuple[str, str, tuple[int, ...], Callable[[int], Callable[[], Any]]]] = [
        ("_weigh_owners, all idle: time", "tenant", tenant_sizes, update_quotas),
        ("a start by stage: time", "stage", stage_sizes, start_by_stage),
        ("a start by tenant: time", "tenant", tenant_sizes, start_by_tenant),
    ]
    rows = []
    figures: dict[str, Any] = {}
    for name, per, sizes, make_call in cases:
        loops, seconds = loops_by_size(name, sizes, make_call, repeats, tell)
        figures |= seconds
        at = size("tenants") if per == "tenant" else size("routes")
        rows.append(row(name, "time", "loops", per, sizes, loops, at, repeats))
    return rows, {"loop_s": loop_cpu(), **figures}


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the whole part; quick: at small sizes."""
    sizes = (10, 30, 100, 300) if quick else (100, 1000, 10_000, 100_000)
    start_sizes = (10, 30, 100, 200) if quick else (30, 100, 300, 1000)
    rows = count_rows(sizes, start_sizes, seed)
    tell("policy: steps counted")
    rows += memory_rows(quick, seed, tell)
    times, figures = time_rows(quick, seed, tell)
    rows += times
    ticks = 10 * WINDOW
    figures["weighings_a_second"] = count_quota_updates(ticks) * SECOND / (ticks * TICK)
    return Part(rows=rows, figures=figures, bars=judge(rows, PROMISED))
