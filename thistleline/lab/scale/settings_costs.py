"""What settings cost by stage and by tenant, and what one change of them costs.

A change is rolled out as one record of the lease server, one server after the other.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import msgspec

from thistleline.lab.scale.settings_text import text_of
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
from thistleline.lease.table import MAX_RECORDS, MAX_RECORDS_SIZE
from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.canary import ColdBaseline, Judgement
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import SetDesiredVersion, StoreRecord
from thistleline.rollout.events import Event, OrderReceived, RecordStored, ServersObserved
from thistleline.rollout.order import Order
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.service import POLL as OBSERVATION_INTERVAL
from thistleline.rollout.stages import STAGES
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.supervisor.model import DesiredVersion, Version
from thistleline.supervisor.settings import SETTINGS_SIZE_LIMIT, unfit_settings
from thistleline.wire.settings import read_server_settings

NAME = "settings"

PROMISED: dict[str, Shape] = {
    "text by stage: bytes": "linear",
    "text by tenant: bytes": "linear",
    "read_server_settings by stage: steps": "linear",
    "read_server_settings by tenant: steps": "linear",
    "unfit_settings by stage: steps": "linear",
    "unfit_settings by tenant: steps": "linear",
    "a change: the conductor's looks by instance": "linear",
    "a change, all down at once: the conductor's looks by instance": "flat",
    "a change: wants written by instance": "linear",
    "a change: bytes of the roll's records by instance": "linear",
    "a look at a fleet at rest by instance: steps": "linear",
}
ZONES = 3  # of the simulated fleet; the counts don't depend on it while one server is down at a time
DAY = 86_400  # s
encode = msgspec.msgpack.Encoder().encode

OLD = Version("r1", "0" * 64, 1, "0" * 64)
NEW = Version("r1", "0" * 64, 2, "1" * 64)


class PassingAnalysis:
    """A canary analysis that passes at once, so that only the cost of the rollout itself is measured."""

    def __init__(self, zones: Iterable[str], alpha: float, min_slots: int, cold: ColdBaseline) -> None:
        """Take the arguments of a canary analysis and ignore them."""
        self.slots = 0

    def add_slot(self, samples: Any, expected: Any) -> None:
        """Count the slot."""
        self.slots += 1

    def judge(self, zone_of: Any) -> Judgement:
        """Return that nothing is worse."""
        return Judgement("not worse", [], "nothing to judge")


def status_of(index: int, settings: int, figures: tuple[int, ...] = ()) -> ServerStatus:
    """Return the status of a healthy simulated server at this version of the settings."""
    return ServerStatus(f"i{index:05}", f"z{index % ZONES}", True, "r1", settings, True, True, figures)


class FleetRollout:
    """A rollout through a simulated fleet whose servers are up again by the controller's next observation.

    Attributes:
        observations: Observations of the fleet until the rollout was over.
        version_writes: Desired versions written.
        version_bytes: Bytes of these.
        records: Rollout records written.
        record_bytes: Bytes of these.
    """

    def __init__(self, instances: int, down: int = 1) -> None:
        """Start the rollout; `down` servers of the fleet, and of a zone, may be down at once."""
        self.observations = self.version_writes = self.version_bytes = self.record_bytes = self.records = 0
        self.index_of = {f"i{index:05}": index for index in range(instances)}
        self.settings = [1] * instances
        self.now = SECOND
        analysis: Any = PassingAnalysis
        self.controller = RolloutController(
            self.now, lambda: self.now // 1_000_000, None, RolloutTiming(), analysis
        )
        self.handle(ServersObserved(self.server_statuses()))
        self.handle(OrderReceived(Order(1, "start", "lab", NEW, OLD, STAGES, down, down)))

    def server_statuses(self) -> list[ServerStatus]:
        """Return the status of every server."""
        return [status_of(index, settings) for index, settings in enumerate(self.settings)]

    def handle(self, event: Event) -> None:
        """Hand the event to the controller and carry out its effects at once."""
        effects = self.controller.handle(self.now, event)
        while effects:
            match effects.pop(0):
                case StoreRecord(record):
                    self.records += 1
                    self.record_bytes += len(encode(record))
                    effects += self.controller.handle(self.now, RecordStored())
                case SetDesiredVersion(id, version, restart_token):
                    self.version_writes += 1
                    self.version_bytes += len(encode(DesiredVersion(1, 1, version, restart_token)))
                    self.settings[self.index_of[id]] = version.settings

    @property
    def record(self) -> RolloutRecord:
        """The record of the rollout."""
        assert self.controller.record is not None
        return self.controller.record

    def run(self) -> "FleetRollout":
        """Observe the fleet until the rollout is over.

        Raises:
            RuntimeError: It takes far too many observations.
        """
        max_observations = 100 + 20 * len(self.settings)
        while not self.record.is_over:
            self.observations += 1
            self.now += round(OBSERVATION_INTERVAL * SECOND)
            self.handle(ServersObserved(self.server_statuses()))
            self.handle(DeadlineReached())
            if self.observations > max_observations:
                raise RuntimeError(
                    f"the rollout is in phase {self.record.phase} after {max_observations} observations: "
                    f"{self.record.reason}"
                )
        return self


def steps_of_observation(instances: int) -> int:
    """Count the steps of an observation of a fleet with no rollout under way."""
    rollout = FleetRollout(instances).run()
    statuses = rollout.server_statuses()

    def observe() -> None:
        rollout.controller.handle(rollout.now, ServersObserved(statuses))
        rollout.controller.handle(rollout.now, DeadlineReached())

    return steps_of(observe)


def _text_by(per: str, count: int, seed: int) -> bytes:
    """Return settings with `count` of the stages or the tenants (`per`) and 3 of the other."""
    return text_of(count, 3, seed) if per == "stage" else text_of(3, count, seed)


def _reading(per: str, seed: int, count: int) -> Callable[[], Any]:
    """Return a call that decodes and reads settings with `count` of `per`."""
    text = _text_by(per, count, seed)
    return lambda: read_server_settings(msgspec.json.decode(text))


def count_rows(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    """Measure the slopes that are counts: the same for the same seed."""
    rows = _text_rows(quick, seed)
    tell("settings: steps counted")
    rows += _rollout_rows(quick, tell)
    return rows


def _text_rows(quick: bool, seed: int) -> list[Row]:
    """Measure the bytes of a text and the steps to read and to check it."""
    routes, tenants = size("routes"), size("tenants")
    found = []
    by_stage = (100, 300, 600, 1000) if quick else (100, 1000, 10_000, 58_000)
    by_tenant = (100, 300, 600, 1000) if quick else (100, 1000, 10_000, 100_000)
    for per, sizes, at in (("stage", by_stage, routes), ("tenant", by_tenant, tenants)):
        texts = [_text_by(per, n, seed) for n in sizes]
        bounds = f"{SETTINGS_SIZE_LIMIT} at most by SETTINGS_SIZE_LIMIT, the council's MAX_VALUE_SIZE"
        found.append(row(f"text by {per}: bytes", "count", "bytes", per, sizes,
                         [len(text) for text in texts], at, note=bounds))  # fmt: skip
        documents = [msgspec.json.decode(text) for text in texts]
        found.append(row(f"read_server_settings by {per}: steps", "count", "steps", per, sizes,
                         [steps_of(lambda one=one: read_server_settings(one)) for one in documents], at))  # type: ignore[misc]  # fmt: skip
    for per, sizes, at in (("stage", (10, 30, 100, 200), routes), ("tenant", (10, 30, 100, 300), tenants)):
        texts = [_text_by(per, n, seed) for n in sizes]
        found.append(row(f"unfit_settings by {per}: steps", "count", "steps", per, sizes,
                         [steps_of(lambda one=one: unfit_settings(one)) for one in texts], at))  # type: ignore[misc]  # fmt: skip
    return found


def _rollout_rows(quick: bool, tell: Callable[[str], None]) -> list[Row]:
    """Measure what one change of the settings takes, by the size of the fleet."""
    instances = size("instances")
    fleets = (60, 150, 300, 600) if quick else (150, 300, 600, 1500)
    rollouts = [FleetRollout(n).run() for n in fleets]

    def change(name: str, unit: str, values: list[int], note: str) -> Row:
        name = f"a change: {name} by instance"
        return row(name, "count", unit, "instance", fleets, values, instances, note=note)

    found = [
        change("the conductor's looks", "looks", [rollout.observations for rollout in rollouts],
               "one server down at once, each up again by the next look, nothing to judge"),
        row("a change, all down at once: the conductor's looks by instance", "count", "looks", "instance",
            fleets, [FleetRollout(n, n).run().observations for n in fleets], instances,
            note="a look waits for the council's answer to every want, which is not in it"),
        change("wants written", "records", [rollout.version_writes for rollout in rollouts],
               "each by the council"),
        change("bytes of the wants", "bytes", [rollout.version_bytes for rollout in rollouts], ""),
        change("bytes of the roll's records", "bytes", [rollout.record_bytes for rollout in rollouts],
               "a record a step, with all targets in it"),
        row("a look at a fleet at rest by instance: steps", "count", "steps", "instance", fleets,
            [steps_of_observation(n) for n in fleets], instances),
    ]  # fmt: skip
    tell(f"settings: a change through {fleets[-1]} simulated instances")
    return found


def memory_rows(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    """Measure the memory of read settings, and the peak while they are read."""
    found = []
    for per, sizes, at in (
        ("stage", (100, 300, 1000, 3000) if quick else (1000, 3000, 10_000, 58_000), size("routes")),
        ("tenant", (300, 1000, 3000, 10_000) if quick else (3000, 30_000, 100_000, 300_000), size("tenants")),
    ):
        held, peak = zip(*(memory_of(_reading(per, seed, n)) for n in sizes), strict=True)
        tell(f"settings: memory of {sizes[-1]} by {per}")
        found.append(row(f"ServerSettings by {per}: bytes", "memory", "bytes", per, sizes, held, at))
        found.append(row(f"reading by {per}: bytes at the most", "memory", "bytes", per, sizes, peak, at,
                         note="decoded text and bench, without the text"))  # fmt: skip
    return found


def time_rows(quick: bool, seed: int, tell: Callable[[str], None]) -> tuple[list[Row], dict[str, Any]]:
    """Measure times in reference loops; return the rows, and figures of the CPU seconds."""
    rows = []
    figures: dict[str, Any] = {}
    repeats = 3
    long = {"stage": (1000, 3000, 10_000, 58_000), "tenant": (10_000, 100_000, 300_000, 1_300_000)}
    short = {"stage": (100, 300, 1000, 3000), "tenant": (300, 1000, 3000, 10_000)}
    for per, at in (("stage", size("routes")), ("tenant", size("tenants"))):
        sizes = (short if quick else long)[per]
        name = f"reading by {per}: time"
        loops, seconds = loops_by_size(name, sizes, partial(_reading, per, seed), repeats, tell)
        figures |= seconds
        rows.append(row(name, "time", "loops", per, sizes, loops, at, repeats,
                        note="decoded and read_server_settings"))  # fmt: skip
    sizes = (60, 200, 400, 600) if quick else (200, 600, 1200, 2000)
    name = "unfit_settings by stage: time"
    loops, seconds = loops_by_size(
        name, sizes, lambda n: partial(unfit_settings, _text_by("stage", n, seed)), 5, tell
    )
    figures |= seconds
    rows.append(row(name, "time", "loops", "stage", sizes, loops, size("routes"), 5,
                    note="SETTINGS_SIZE_LIMIT refuses it before the size is reached"))  # fmt: skip
    return rows, {"loop_s": loop_cpu(), **figures}


def most_that_fit(rows: list[Row], max_bytes: int) -> dict[str, int]:
    """Return how many stages, or tenants, a text of `max_bytes` may have."""
    found = {}
    for measured in rows:
        if measured["name"] in ("text by stage: bytes", "text by tenant: bytes"):
            found[measured["per"]] = int((max_bytes - measured["base"]) / measured["slope"])
    return found


def rollout_figures(rows: list[Row], loop_s: float) -> dict[str, Any]:
    """Derive one change's cost from the measured slopes and the limits in the code.

    `loop_s` is the CPU time of the reference loop, in seconds.
    """
    by_name = {row["name"]: row for row in rows}
    instances, changes_day = size("instances"), size("changes_day")
    observations = by_name["a change: the conductor's looks by instance"]["at_size"]
    timing = RolloutTiming()
    rollout_s = observations * OBSERVATION_INTERVAL
    judging_s = len(STAGES) * timing.min_slots * timing.slot / SECOND
    settings_bytes = SETTINGS_SIZE_LIMIT
    all_down_s = (
        by_name["a change, all down at once: the conductor's looks by instance"]["at_size"]
        * OBSERVATION_INTERVAL
    )
    version_bytes = by_name["a change: bytes of the wants by instance"]["at_size"]
    record_bytes = by_name["a change: bytes of the roll's records by instance"]["at_size"]
    in_force_s = size("in_force_s")
    texts = by_name["text by stage: bytes"], by_name["text by tenant: bytes"]
    readings = by_name["reading by stage: time"], by_name["reading by tenant: time"]
    return {
        "bytes of the settings at the size": sum(row["at_size"] for row in texts),
        "seconds of CPU to read the settings at the size": loop_s * sum(row["at_size"] for row in readings),
        "a change: bytes of a record, at the most": settings_bytes,
        "a change: bytes over the fleet": instances * settings_bytes + version_bytes + record_bytes,
        "a change: bytes to an instance": settings_bytes + version_bytes / instances,
        "a change: seconds to carry, nothing to judge": rollout_s,
        "a change: seconds to judge its stages, at the least": judging_s,
        "changes a second that could be carried": 1 / (rollout_s + judging_s),
        "changes a second that could be carried, unjudged": 1 / rollout_s,
        "changes a second, unjudged, all down at once, without the council's part": 1 / all_down_s,
        "changes a second wanted": changes_day / DAY,
        "changes that wait within the time to be in force": changes_day * in_force_s / DAY,
        "bytes a second to an instance at the day's rate": settings_bytes * changes_day / DAY,
        "stages and tenants in a record": most_that_fit(rows, SETTINGS_SIZE_LIMIT),
        "days till RECORDS_BOUND is full of numbered settings": (MAX_RECORDS - instances) / changes_day,
        "settings of full size that RECORDS_SIZE holds": MAX_RECORDS_SIZE // settings_bytes,
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the whole part; quick: at small sizes."""
    rows = count_rows(quick, seed, tell)
    rows += memory_rows(quick, seed, tell)
    times, figures = time_rows(quick, seed, tell)
    rows += times
    figures |= rollout_figures(rows, figures["loop_s"])
    return Part(rows=rows, figures=figures, bars=judge(rows, PROMISED))
