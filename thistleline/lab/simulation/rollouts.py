"""Rollouts in virtual time: the production controller and its canary analysis, over simulated servers.

A server consists of its metrics. Its load and results in a step are drawn: a base that all servers of a zone
share (bursts, shifts of traffic), an occasional noisy neighbour, a cold start, the effect of the release,
and noise. The controller sees only the metrics that membership gossip carries. The oracle is the simulation,
which knows the effect of the release (`Harm`).
"""

import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.canary import CanaryAnalysis, Judgement, Verdict
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import SetDesiredVersion, StoreRecord
from thistleline.rollout.events import OrderReceived, RecordStored, ServersObserved
from thistleline.rollout.metrics import SlotSample
from thistleline.rollout.order import Order
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.stages import STAGES
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.supervisor.model import Version

OLD_VERSION = Version("1", "d1", 1, "s1")
NEW_VERSION = Version("2", "d2", 1, "s1")
TIMING = RolloutTiming()
STEP_NS = 5 * SECOND
RESTART_STEPS = 4  # down after a change
COLD_STEPS = 6  # cold after a start
RATE = 80  # tasks of a server per step
FIRST_ORDER_STEP = 20
INITIAL_MEMORY = 100_000  # kB


class Harm(NamedTuple):
    """The effect of the new release.

    Attributes:
        what: Name of the harm in the figures.
        served: Share of the utility that is lost.
        zone: The only zone that it harms; "" for all.
        cold_only: Whether it harms only cold servers.
        slow: Added to the share of tasks that are slow.
        leak: Memory lost, kB per step.
        crash_after: Steps until a server crashes; 0: never.
        silent: Whether servers run but report nothing.
        starts: Whether it starts at all.
        dear: Share of the utility of finished tasks that is lost, with unchanged counts.
    """

    what: str = "none"
    served: float = 0.0
    zone: str = ""
    cold_only: bool = False
    slow: float = 0.0
    leak: int = 0
    crash_after: int = 0
    silent: bool = False
    starts: bool = True
    dear: float = 0.0


@dataclass(slots=True)
class Metrics:
    """The metrics that a server reports, summed since its start."""

    tasks: int = 0
    finished: int = 0
    rejected: int = 0
    abandoned: int = 0
    slow: int = 0
    memory: int = INITIAL_MEMORY  # kB
    failed_starts: int = 0  # and crashes; never reset
    starts: int = 1  # never reset
    offered_utility: int = 0  # thousandths
    served_utility: int = 0  # thousandths

    def reset(self) -> None:
        """Reset what a restart resets; only a change of the version resets memory."""
        self.tasks = 0
        self.finished = 0
        self.rejected = 0
        self.abandoned = 0
        self.slow = 0
        self.offered_utility = 0
        self.served_utility = 0

    def reported(self) -> tuple[int, ...]:
        """Return the metrics in the order in which membership gossip carries them."""
        return (
            self.tasks,
            self.finished,
            self.rejected,
            self.abandoned,
            self.slow,
            self.memory,
            self.failed_starts,
            self.starts,
        )


class StepResult(NamedTuple):
    """Result of one server in a step: the utility lost to the release, and the tasks received."""

    lost: float
    tasks: int


IDLE = StepResult(0.0, 0)


class SimulatedServer:
    """A server and its supervisor: it restarts into the desired version and reports metrics."""

    def __init__(self, id: str, zone: str, rng: Random) -> None:
        """Make a warm server of the old version."""
        self.id = id
        self.zone = zone
        self.rng = rng
        self.version = OLD_VERSION
        self.desired = OLD_VERSION
        self.down = 0  # steps left
        self.restart_token = 0
        self.restart_due = False
        self.age = 1000  # steps since the start
        self.metrics = Metrics()
        self.noisy_neighbour = 0  # steps left

    def set_desired(self, version: Version, restart_token: int) -> None:
        """Set the version to run; a new token, other than 0, restarts the server even without a change."""
        self.desired = version
        self.restart_due = restart_token != 0 and restart_token != self.restart_token
        self.restart_token = restart_token

    def step(self, burst: float, harm: Harm, crashes: bool) -> StepResult:
        """Simulate one step.

        Args:
            burst: Traffic above the normal, as a share of it.
            harm: Of the new release.
            crashes: Whether the server crashes by itself, whatever its version.
        """
        is_new = self.version == NEW_VERSION
        cannot_start = is_new and not harm.starts
        has_change = self.desired != self.version and (not self.down or cannot_start)
        if has_change or (self.restart_due and not self.down):
            self._change_version()
        if self.down:
            if self.version == NEW_VERSION and not harm.starts:
                self.metrics.failed_starts += 1
            else:
                self.down -= 1
            return IDLE
        if crashes:
            self._restart(RESTART_STEPS)
            return IDLE
        self.age += 1
        if self.noisy_neighbour:
            self.noisy_neighbour -= 1
        elif self.rng.random() < 0.004:
            self.noisy_neighbour = self.rng.randint(4, 40)
        if is_new and harm.crash_after and self.age >= harm.crash_after:
            self.metrics.failed_starts += 1
            self._restart(1)
            return IDLE
        return self._serve(burst, harm)

    def _change_version(self) -> None:
        self.restart_due = False
        self.version = self.desired
        self._restart(RESTART_STEPS)
        self.metrics.memory = INITIAL_MEMORY

    def _restart(self, down: int) -> None:
        self.down = down
        self.age = 0
        self.metrics.starts += 1
        self.metrics.reset()

    def _serve(self, burst: float, harm: Harm) -> StepResult:
        """Draw the results of a running server in a step."""
        rng, metrics = self.rng, self.metrics
        is_cold = self.age <= COLD_STEPS
        in_zone = not harm.zone or harm.zone == self.zone
        is_harmed = self.version == NEW_VERSION and in_zone and (is_cold or not harm.cold_only)
        tasks = max(0, round(rng.gauss(RATE * (1 + burst), 8)))
        lost = harm.served if is_harmed else 0.0
        served = 0.94 - burst * 0.5 - (0.15 if self.noisy_neighbour else 0) - (0.1 if is_cold else 0) - lost
        served = min(1.0, max(0.0, rng.gauss(served, 0.03)))
        finished = round(tasks * served)
        slow = (
            0.05
            + burst * 0.3
            + (0.2 if self.noisy_neighbour else 0)
            + (0.1 if is_cold else 0)
            + (harm.slow if is_harmed else 0)
        )
        unfinished = tasks - finished
        rejected = round(unfinished * 0.6)
        metrics.tasks += tasks
        metrics.finished += finished
        metrics.rejected += rejected
        metrics.abandoned += unfinished - rejected
        metrics.slow += round(finished * min(1.0, max(0.0, rng.gauss(slow, 0.03))))
        metrics.memory += harm.leak if is_harmed else 0
        dear = harm.dear if is_harmed else 0.0
        metrics.offered_utility += 1000 * tasks
        metrics.served_utility += round(1000 * finished * (1 - dear))
        return StepResult(lost * tasks + dear * finished, tasks)

    def status(self, harm: Harm) -> ServerStatus:
        """Return the status that the controller sees."""
        is_up = not self.down
        is_silent = is_up and self.version == NEW_VERSION and harm.silent
        metrics = () if is_silent else self.metrics.reported()
        version = (self.version.release, self.version.settings) if is_up else ("", 0)
        utility = (self.metrics.offered_utility, self.metrics.served_utility)
        return ServerStatus(
            self.id, self.zone, True, *version, is_up, self.age > COLD_STEPS, metrics, utility
        )


class ThresholdAnalysis(CanaryAnalysis):
    """A baseline: being worse by a margin in several consecutive slots is a failure.

    New servers are compared with old ones over all zones; if no old one is left, with their last result.
    """

    MARGIN = 0.02  # of the share served
    MAX_WORSE_SLOTS = 3  # consecutive

    def __init__(self, *arguments: Any) -> None:
        """Make an analysis; the arguments are those of `CanaryAnalysis`."""
        super().__init__(*arguments)
        self.worse_slots = 0  # consecutive
        self.old_served = 0.0

    def add_slot(self, samples: Iterable[SlotSample], expected: Iterable[str]) -> None:
        """Compare the means of a slot's samples."""
        sample_list = list(samples)
        super().add_slot(sample_list, expected)
        new = [sample.served for sample in sample_list if sample.new and sample.tasks]
        old = [sample.served for sample in sample_list if not sample.new and sample.tasks]
        self.old_served = statistics.fmean(old) if old else self.old_served
        is_worse = bool(new) and self.old_served - statistics.fmean(new) > self.MARGIN
        self.worse_slots = self.worse_slots + 1 if is_worse else 0

    def judge(self, zone_of: dict[str, str]) -> Judgement:
        """Return the verdict; zones make no difference."""
        if self.health.fault or self.worse_slots >= self.MAX_WORSE_SLOTS:
            return Judgement("worse", [], self.health.fault or "the threshold")
        verdict: Verdict = "not worse" if self.slots >= self.min_slots else "can't tell"
        return Judgement(verdict, [], "the threshold")


RULES: dict[str, tuple[Callable[..., CanaryAnalysis], tuple[str, ...]]] = {
    "judge": (CanaryAnalysis, STAGES),
    "threshold": (ThresholdAnalysis, STAGES),
    "all at once": (ThresholdAnalysis, ("all",)),
}


class SimulationResult(NamedTuple):
    """Result of one simulated rollout.

    Attributes:
        phase: Last phase of the record.
        steps: Number of steps taken.
        most_new: Number of servers that ever ran the new version.
        lost: Share of the offered utility that the release lost.
        why: Reason in the record.
        most_down: Maximum number of servers down in one step.
    """

    phase: str
    steps: int
    most_new: int
    lost: float
    why: str
    most_down: int


class RolloutSimulation:
    """One rollout over simulated servers, with crashes, bursts and successions of controllers."""

    def __init__(
        self, servers: int, zones: int, harm: Harm, seed: int, successions: float, rule: str
    ) -> None:
        """Make the servers and the first controller; see `simulate_rollout` for the arguments."""
        self.rng = Random(seed)
        self.harm = harm
        self.successions = successions
        self.servers = [
            SimulatedServer(f"s{index:04}", f"z{index % zones}", Random(self.rng.getrandbits(64)))
            for index in range(servers)
        ]
        self.by_id = {server.id: server for server in self.servers}
        self.burst = {f"z{zone}": 0.0 for zone in range(zones)}
        self.now = 0  # ns
        self.analysis, stages = RULES[rule]
        self.record: RolloutRecord | None = None  # the only knowledge of a succeeding controller
        self.controller = self._new_controller()
        down = servers if len(stages) == 1 else max(1, servers // 10)
        self.order = Order(1, "start", "", NEW_VERSION, OLD_VERSION, stages, down, max(1, down // 2))
        self.reached: set[str] = set()
        self.lost = 0.0
        self.offered = 0.0
        self.most_down = 0

    def _new_controller(self) -> RolloutController:
        return RolloutController(self.now, lambda: self.now // 1_000_000, self.record, TIMING, self.analysis)

    def run(self, steps: int, crashes: float) -> SimulationResult:
        """Run until the rollout is over or waits for an operator, for at most `steps` steps."""
        for step in range(1, steps + 1):
            self.now += STEP_NS
            self._step_servers(crashes)
            self._step_controller(may_order=step >= FIRST_ORDER_STEP)
            if self.record is not None and (self.record.is_over or self.record.phase == "asking"):
                break
        why = self.record.reason if self.record is not None else ""
        phase = self.record.phase if self.record else "none"
        lost = self.lost / max(1.0, self.offered)
        return SimulationResult(phase, step, len(self.reached), lost, why, self.most_down)

    def _step_servers(self, crashes: float) -> None:
        for zone in self.burst:  # bursts last, and traffic shifts from one zone to another
            if self.rng.random() < 0.03:
                self.burst[zone] = self.rng.choice((0.0, 0.0, 0.1, 0.3))
        for server in self.servers:
            result = server.step(self.burst[server.zone], self.harm, self.rng.random() < crashes)
            self.lost += result.lost
            self.offered += result.tasks
            if server.version == NEW_VERSION:
                self.reached.add(server.id)
        self.most_down = max(self.most_down, sum(1 for server in self.servers if server.down))

    def _step_controller(self, may_order: bool) -> None:
        if self.rng.random() < self.successions:
            self.controller = self._new_controller()
        statuses = [server.status(self.harm) for server in self.servers]
        effects = self.controller.handle(self.now, ServersObserved(statuses))
        if may_order and self.record is None:
            effects += self.controller.handle(self.now, OrderReceived(self.order))
        effects += self.controller.handle(self.now, DeadlineReached())
        while effects:
            effect = effects.pop(0)
            if self.rng.random() < self.successions:  # the controller crashes between two effects
                self.controller = self._new_controller()
                break
            match effect:
                case StoreRecord(record):
                    self.record = record
                    effects += self.controller.handle(self.now, RecordStored())
                case SetDesiredVersion(id, version, restart_token):
                    self.by_id[id].set_desired(version, restart_token)


def simulate_rollout(
    servers: int,
    zones: int,
    harm: Harm,
    seed: int,
    steps: int = 3000,
    crashes: float = 0.0002,
    successions: float = 0.0,
    rule: str = "judge",
) -> SimulationResult:
    """Simulate one rollout until it is done or rolled back.

    Args:
        servers: Number of servers.
        zones: Number of zones; servers are spread over them in turn.
        harm: Effect of the new release.
        seed: Of all random draws.
        steps: Maximum number of steps.
        crashes: Probability that a server crashes in a step.
        successions: Probability, in each step and before each effect, that another controller takes over; it
            knows only the stored record.
        rule: How canaries are judged, of `RULES`.
    """
    return RolloutSimulation(servers, zones, harm, seed, successions, rule).run(steps, crashes)


HARMS = (
    Harm("1% worse", 0.01), Harm("2% worse", 0.02), Harm("5% worse", 0.05), Harm("20% worse", 0.20),
    Harm("20% worse in one zone", 0.20, zone="z1"), Harm("30% worse when cold", 0.30, cold_only=True),
    Harm("slower in one stage", slow=0.20), Harm("leaks", leak=8000),
    Harm("dies after a minute", crash_after=12),
    Harm("does not start", starts=False), Harm("says nothing", silent=True),
    Harm("drops a tenth, the dear ones", dear=0.10),
)  # fmt: skip


def wilson_interval(hits: int, count: int) -> tuple[float, float]:
    """Return the 95% confidence interval of a proportion (Wilson's score interval)."""
    if not count:
        return 0.0, 1.0
    z, share = 1.96, hits / count
    middle = (share + z * z / (2 * count)) / (1 + z * z / count)
    width = z * (share * (1 - share) / count + z * z / (4 * count * count)) ** 0.5 / (1 + z * z / count)
    return round(max(0.0, middle - width), 4), round(min(1.0, middle + width), 4)


def summarize(runs: list[SimulationResult], servers: int) -> dict[str, Any]:
    """Return the figures of the runs of one case."""
    phases = Counter(one.phase for one in runs)
    stopped = phases["back"] + phases["backing"]
    return {
        "done": phases["done"],
        "stopped": stopped,
        "asked": phases["asking"],
        "stopped_interval": wilson_interval(stopped, len(runs)),
        "part_reached_p50": round(statistics.median(one.most_new for one in runs) / servers, 3),
        "part_reached_most": round(max(one.most_new for one in runs) / servers, 3),
        "utility_lost": round(statistics.fmean(one.lost for one in runs), 5),
        "steps_p50": statistics.median(one.steps for one in runs),
        "most_down": max(one.most_down for one in runs),
    }


def figures(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """Return figures by servers, harm and rule; they don't depend on the number of worker processes."""
    cases: dict[str, tuple[int, Harm, str, int]] = {}
    for servers, count in ((30, 6),) if quick else ((30, 200), (300, 200), (1000, 200)):
        for harm in (Harm(), *HARMS) if servers <= 300 else (Harm(), *HARMS[:4]):
            for rule in RULES if servers == 300 and harm in (Harm(), *HARMS[:4]) else ("judge",):
                name = f"{servers} servers, {harm.what}" + (f", {rule}" if rule != "judge" else "")
                cases[name] = servers, harm, rule, count
    found: dict[str, Any] = {}
    with ProcessPoolExecutor() as pool:
        runs = {
            name: [
                pool.submit(simulate_rollout, servers, 3, harm, seed + run, rule=rule) for run in range(count)
            ]
            for name, (servers, harm, rule, count) in cases.items()
        }
        for name, pending in runs.items():
            found[name] = summarize([future.result() for future in pending], cases[name][0])
            tell(f"{name}: {found[name]}")
    return found
