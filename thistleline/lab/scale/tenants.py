"""What one instance's `Policy` costs by tenant and by stage, with no traffic but what is said."""

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
    loops_of,
    memory_of,
    rounded,
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
BORN = SECOND  # any time; a policy's clock only goes forward


class Deaf:
    """A writer that takes all and does nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return self._hear

    def _hear(self, *told: Any) -> None:
        pass


def settings_for(stages: int, tenants: int, seed: int) -> ServerSettings:
    return read_server_settings(settings_of(stages, tenants, seed))


def policy_of(stages: int, tenants: int, seed: int) -> Policy:
    return Policy(settings_for(stages, tenants, seed), seed, BORN)


def tick(policy: Policy, out: Any) -> None:
    policy.round(policy.now + TICK, [TimerFired("tick", {"on_cores": 1.0})], out)


def born(policy: Policy) -> Any:
    out: Any = Deaf()
    policy.round(BORN, [], out)
    return out


def steps_of_ticks(policy: Policy) -> tuple[int, int]:
    """Of a tick between two weighings, and of the tick that weighs and steers."""
    out = born(policy)
    for _ in range(WINDOW - 2):
        tick(policy, out)
    between = steps_of(lambda: tick(policy, out))
    return between, steps_of(lambda: tick(policy, out))


def steps_of_task(policy: Policy) -> int:
    """Read, held, started, ended; the first, with what its owner's state takes to be there."""
    out = born(policy)
    last, stages = max(0, len(policy.settings.tenants) - 1), len(policy.settings.stages)
    task = Task("a", stages - 1, last, 0, 0.5, 7, None, 1.0, BORN, None, False, None)

    def one() -> None:
        policy.round(BORN + MS, [TaskArrived(task)], out)
        policy.round(BORN + 2 * MS, [RunEnded("a", "finished", MS)], out)

    return steps_of(one)


def quota_update(policy: Policy) -> Callable[[], None]:
    """One weighing of all tenants."""
    return partial(policy.state.quotas.update, policy.now)


def weighings(ticks: int) -> int:
    """How often so many ticks weigh the owners."""
    policy, count = policy_of(1, 1, 1), 0
    out = born(policy)

    def counted(now: int) -> None:
        nonlocal count
        count += 1

    policy.state.quotas.update = counted  # type: ignore[method-assign]
    for _ in range(ticks):
        tick(policy, out)
    return count


def counted(sizes: tuple[int, ...], start_sizes: tuple[int, ...], seed: int) -> list[Row]:
    """Slopes that are counts: the same for the same seed."""
    tenants, routes = size("tenants"), size("routes")
    by_tenant = [policy_of(3, n, seed) for n in sizes]
    by_stage = [policy_of(n, 3, seed) for n in start_sizes]
    ticks_tenant, ticks_stage = map(steps_of_ticks, by_tenant), map(steps_of_ticks, by_stage)
    between_tenant, _ = zip(*ticks_tenant, strict=True)
    between_stage, steering_stage = zip(*ticks_stage, strict=True)

    def steps(name: str, per: str, values: Any, note: str = "") -> Row:
        at = tenants if per == "tenant" else routes
        told = sizes if per == "tenant" else start_sizes
        return row(name, "count", "steps", per, told, list(values), at, note=note)

    def start(n_stages: int, n_tenants: int) -> int:
        bench = settings_for(n_stages, n_tenants, seed)
        return steps_of(lambda: Policy(bench, seed, BORN))

    return [
        steps("a task by tenant: steps", "tenant", [steps_of_task(policy_of(3, n, seed)) for n in sizes]),
        steps("a task by stage: steps", "stage", [steps_of_task(policy_of(n, 3, seed)) for n in start_sizes]),
        steps("a tick between two weighings by tenant: steps", "tenant", between_tenant),
        steps("a tick between two weighings by stage: steps", "stage", between_stage),
        steps("_weigh_owners, all idle: steps", "tenant", [steps_of(quota_update(one)) for one in by_tenant]),
        steps("a steering tick by stage: steps", "stage", steering_stage, "where the instance says a level"),
        steps("a start by tenant: steps", "tenant", [start(3, n) for n in sizes]),
        steps("a start by stage: steps", "stage", [start(n, 3) for n in start_sizes],
              "StageProfile sorts the utilities of all stages, for each stage"),
    ]  # fmt: skip


def held(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    found = []
    sizes = (300, 1000, 3000, 10_000) if quick else (1000, 10_000, 100_000, 300_000)
    notes = {"Policy": "a deque of no traffic and a float", "the bench's owners": "name and two numbers"}
    for what, note in notes.items():
        values = []
        for n in sizes:
            if what == "Policy":
                bench = settings_for(3, n, seed)
                values.append(memory_of(lambda bench=bench: Policy(bench, seed, BORN))[0])  # type: ignore[misc]
            else:
                told = settings_of(3, n, seed)
                values.append(memory_of(lambda told=told: read_server_settings(told))[0])  # type: ignore[misc]
        tell(f"{what}: memory of {sizes[-1]} tenants")
        name = f"{what} by tenant: bytes"
        found.append(row(name, "memory", "bytes", "tenant", sizes, values, size("tenants"), note=note))
    sizes = (30, 100, 300, 1000) if quick else (100, 300, 1000, 3000)
    values = []
    for n in sizes:
        bench = settings_for(n, 3, seed)
        values.append(memory_of(lambda bench=bench: Policy(bench, seed, BORN))[0])  # type: ignore[misc]
    found.append(row("Policy by stage: bytes", "memory", "bytes", "stage", sizes, values, size("routes"),
                     note="before any run; a full pace adds its floats"))  # fmt: skip
    return found


def timed(quick: bool, seed: int, tell: Callable[[str], None]) -> tuple[list[Row], dict[str, Any]]:
    """In units of the reference loop, and the seconds of CPU they took here."""
    found, seconds = [], {}
    repeats = 3 if quick else 7
    few, many = (1000, 3000, 10_000, 30_000), (60_000, 150_000, 300_000, 600_000)
    cases: list[tuple[str, str, tuple[int, ...], Callable[[int], Callable[[], Any]]]] = [
        ("_weigh_owners, all idle: time", "tenant",
         few if quick else many,
         lambda n: quota_update(policy_of(3, n, seed))),
        ("a start by stage: time", "stage", (100, 300, 600, 1000) if quick else (300, 1000, 2000, 4000),
         lambda n: (lambda bench: lambda: Policy(bench, seed, BORN))(settings_for(n, 3, seed))),
        ("a start by tenant: time", "tenant",
         few if quick else many,
         lambda n: (lambda bench: lambda: Policy(bench, seed, BORN))(settings_for(3, n, seed))),
    ]  # fmt: skip
    for name, per, sizes, make in cases:
        loops, took = zip(*(loops_of(make(n), repeats) for n in sizes), strict=True)
        tell(f"{name}: {took[-1]:.3f} s at {sizes[-1]}")
        seconds[f"{name}, CPU seconds by size"] = rounded(sizes, took)
        at = size("tenants") if per == "tenant" else size("routes")
        found.append(row(name, "time", "loops", per, sizes, loops, at, repeats))
    return found, {"loop_s": loop_cpu(), **seconds}


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    sizes = (10, 30, 100, 300) if quick else (100, 1000, 10_000, 100_000)
    start_sizes = (10, 30, 100, 200) if quick else (30, 100, 300, 1000)
    rows = counted(sizes, start_sizes, seed)
    tell("policy: steps counted")
    rows += held(quick, seed, tell)
    times, figures = timed(quick, seed, tell)
    rows += times
    ticks = 10 * WINDOW
    figures["weighings_a_second"] = weighings(ticks) * SECOND / (ticks * TICK)
    return Part(rows=rows, figures=figures, bars=judge(rows, PROMISED))
