"""What the decision module is told, and the writer that takes its decisions. No decision lives here.

Times are whole nanoseconds on one clock that only goes forward; ids are words and come back unchanged.
What came in during a round is a list of plain tuples, in order of arrival:

    ("task", Task)                          a task was read and is now held
    ("over", id, how, took)                 a start or an answer from a repeat ended; how: HOW_RUNS_END
    ("gone", id)                            nobody waits for the task any more
    ("wants_call", id)                      a running task stands at a call to what lies below
    ("call_over", id, how, took)            a call ended; how: HOW_CALLS_END
    ("remembered", id, until)               an effect of an earlier life has run or may have; known until then
    ("leave", by)                           notice to leave; the process is stopped at the clock time `by`
    ("bell", name, gauges)                  an alarm is due; gauges by name, such as "on_cores"
"""

from dataclasses import dataclass
from typing import Any, Literal, Protocol

Effect = Literal["restartable", "fingerprinted", "side-effecting"]
CameIn = tuple[Any, ...]
HOW_RUNS_END = ("finished", "failed", "stopped", "moot")
HOW_CALLS_END = ("finished", "failed", "turned_away", "timed_out", "unreachable", "broken_off")


@dataclass(frozen=True, slots=True)
class Stage:
    """One kind of work, as told at start."""

    name: str
    due_span: int  # from reaching the fleet to the wanted answer
    due_stretch: float  # the due time grows by this many times the task's own work
    limit_span: int  # from reaching the fleet to the client giving up
    window: int  # how long a fingerprinted task may come again
    effect: Effect
    utility: float
    late_share: float
    calls: bool
    skip_share: float  # share of the utility where a call was left out


@dataclass(frozen=True, slots=True)
class Owner:
    """Whom a task belongs to: its part of the fleet's service."""

    name: str
    share: float
    allowance: float  # tasks a second over the whole fleet that are inside the share


@dataclass(frozen=True, slots=True)
class Bench:
    """What a server is told about itself, its fleet and its callers when it starts."""

    stages: tuple[Stage, ...]
    owners: tuple[Owner, ...]
    cores: float  # may be a part of one
    memory_kb: float
    run_factor: float  # memory of a running task over that of a held one
    key_kb: float  # memory of one remembered fingerprint
    servers: int
    callers: int
    fresh: bool  # started just now, so cold
    cold_from: float  # least share of full speed when cold
    cold_span: int
    crowd_bound: float  # tasks on the cores, for each core, that a warm server survives
    crowd_span: int
    answer_slack: int
    drain_grace: int
    stopping: Literal["none", "loses", "pauses"]
    tells_limit: bool
    tells_gone: bool
    marks_repeats: bool
    says: Literal["none", "threshold", "window", "share"]
    list_follows_health: bool
    longest_stay_away: int  # 0 where the advice is not passed on
    over_share_utility: float
    answer_fresh_for: int
    below: Literal["none", "shared", "tier"]
    calls_out: float  # this server's share of the calls that what lies below survives
    calls_span: int
    call_linger: int


@dataclass(frozen=True, slots=True)
class Task:
    """A task as it was read."""

    id: str
    stage: int
    owner: int
    caller: int
    rank: float
    user: int | None
    work: int | None  # hinted work on a standard core
    held_kb: float
    reached: int  # when it reached the machine, before it was read
    limit: int | None  # when its caller stops waiting, where that is told
    again: bool  # marked as a further try or a second copy
    repeats: str | None  # id of the remembered task that this one repeats


class Writer(Protocol):
    """Takes each decision at once; the order of calls is the order in which they act."""

    def start(self, task: str) -> None: ...
    def stop(self, task: str) -> None: ...
    def reject(self, task: str, nowhere_else: bool, stay_away: int) -> None: ...
    def abandon(self, task: str) -> None: ...
    def answer_from_repeat(self, task: str) -> None: ...
    def remember(self, task: str, span: int) -> None: ...
    def forget(self, task: str) -> None: ...
    def call(self, task: str, patience: int) -> None: ...
    def skip_call(self, task: str) -> None: ...
    def health(self, good: bool, from_store: bool) -> None: ...
    def say(self, value: float) -> None: ...
    def close_idle(self, span: int) -> None: ...
    def alarm(self, name: str, span: int) -> None: ...
    def note(self, text: str) -> None: ...
