"""What settings cost by stage and by tenant, and what one change of them costs as it is carried today: one
record of the council, and each server followed by the next one beside it."""

from collections.abc import Callable, Iterable
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
    loops_of,
    memory_of,
    rounded,
    row,
    steps_of,
)
from thistleline.lease.table import MAX_RECORDS, MAX_RECORDS_SIZE
from thistleline.rollout.canary import ColdBaseline, Judgement
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import SetDesiredVersion, StoreRecord
from thistleline.rollout.events import Event, OrderReceived, RecordStored, ServersObserved, TimerExpired
from thistleline.rollout.order import Order
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.service import POLL as LOOK
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
ZONES = 3  # of the hollow fleet; wants and looks don't depend on it at one server down at once
DAY = 86_400
encode = msgspec.msgpack.Encoder().encode

OLD = Version("r1", "0" * 64, 1, "0" * 64)
NEW = Version("r1", "0" * 64, 2, "1" * 64)


class Content:
    """A judge that finds nothing worse, at once: what is left is what carrying a change takes."""

    def __init__(self, zones: Iterable[str], alpha: float, min_slots: int, cold: ColdBaseline) -> None:
        self.slots = 0

    def add_slot(self, samples: Any, expected: Any) -> None:
        self.slots += 1

    def judge(self, zone_of: Any) -> Judgement:
        return Judgement("not worse", [], "nothing to judge")


def seen_of(place: int, settings: int, figures: tuple[int, ...] = ()) -> ServerStatus:
    return ServerStatus(f"i{place:05}", f"z{place % ZONES}", True, "r1", settings, True, True, figures)


class Carried:
    """One change through a hollow fleet whose servers come up with it by the conductor's next look."""

    def __init__(self, instances: int, down: int = 1) -> None:
        """`down`: at once, of the whole and of a zone."""
        self.looks = self.wants = self.want_bytes = self.roll_bytes = self.records = 0
        self.at = {f"i{place:05}": place for place in range(instances)}
        self.settings = [1] * instances
        self.now = SECOND
        judge: Any = Content
        self.controller = RolloutController(
            self.now, lambda: self.now // 1_000_000, None, RolloutTiming(), judge
        )
        self.tell(ServersObserved(self.seen()))
        self.tell(OrderReceived(Order(1, "start", "lab", NEW, OLD, STAGES, down, down)))

    def seen(self) -> list[ServerStatus]:
        return [seen_of(place, settings) for place, settings in enumerate(self.settings)]

    def tell(self, event: Event) -> None:
        effects = self.controller.handle(self.now, event)
        while effects:
            match effects.pop(0):
                case StoreRecord(record):
                    self.records += 1
                    self.roll_bytes += len(encode(record))
                    effects += self.controller.handle(self.now, RecordStored())
                case SetDesiredVersion(id, version, restart_token):
                    self.wants += 1
                    self.want_bytes += len(encode(DesiredVersion(1, 1, version, restart_token)))
                    self.settings[self.at[id]] = version.settings

    @property
    def roll(self) -> RolloutRecord:
        assert self.controller.record is not None
        return self.controller.record

    def carry(self) -> "Carried":
        """Until it is over. Raises RuntimeError where it isn't by far too many looks."""
        bound = 100 + 20 * len(self.settings)
        while not self.roll.is_over:
            self.looks += 1
            self.now += round(LOOK * SECOND)
            self.tell(ServersObserved(self.seen()))
            self.tell(TimerExpired())
            if self.looks > bound:
                raise RuntimeError(f"a change is {self.roll.phase} after {bound} looks: {self.roll.reason}")
        return self


def steps_of_look(instances: int) -> int:
    """Of a look at a fleet where nothing changes and no change is under way."""
    carried = Carried(instances).carry()
    seen = carried.seen()

    def look() -> None:
        carried.controller.handle(carried.now, ServersObserved(seen))
        carried.controller.handle(carried.now, TimerExpired())

    return steps_of(look)


def counted(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    routes, tenants, instances = size("routes"), size("tenants"), size("instances")
    found = []
    by_stage = (100, 300, 600, 1000) if quick else (100, 1000, 10_000, 58_000)
    by_tenant = (100, 300, 600, 1000) if quick else (100, 1000, 10_000, 100_000)
    for per, sizes, at in (("stage", by_stage, routes), ("tenant", by_tenant, tenants)):
        texts = [text_of(n, 3, seed) if per == "stage" else text_of(3, n, seed) for n in sizes]
        bounds = f"{SETTINGS_SIZE_LIMIT} at most by SETTINGS_SIZE_LIMIT, the council's MAX_VALUE_SIZE"
        found.append(row(f"text by {per}: bytes", "count", "bytes", per, sizes,
                         [len(one) for one in texts], at, note=bounds))  # fmt: skip
        told = [msgspec.json.decode(one) for one in texts]
        found.append(row(f"read_server_settings by {per}: steps", "count", "steps", per, sizes,
                         [steps_of(lambda one=one: read_server_settings(one)) for one in told], at))  # type: ignore[misc]  # fmt: skip
    for per, sizes, at in (("stage", (10, 30, 100, 200), routes), ("tenant", (10, 30, 100, 300), tenants)):
        texts = [text_of(n, 3, seed) if per == "stage" else text_of(3, n, seed) for n in sizes]
        found.append(row(f"unfit_settings by {per}: steps", "count", "steps", per, sizes,
                         [steps_of(lambda one=one: unfit_settings(one)) for one in texts], at))  # type: ignore[misc]  # fmt: skip
    tell("settings: steps counted")
    fleets = (60, 150, 300, 600) if quick else (150, 300, 600, 1500)
    carried = [Carried(n).carry() for n in fleets]

    def change(name: str, unit: str, values: list[int], note: str) -> Row:
        name = f"a change: {name} by instance"
        return row(name, "count", unit, "instance", fleets, values, instances, note=note)

    found.append(
        change(
            "the conductor's looks",
            "looks",
            [one.looks for one in carried],
            "one server down at once, each up again by the next look, nothing to judge",
        )
    )
    found.append(
        row(
            "a change, all down at once: the conductor's looks by instance",
            "count",
            "looks",
            "instance",
            fleets,
            [Carried(n, n).carry().looks for n in fleets],
            instances,
            note="a look waits for the council's answer to every want, which is not in it",
        )
    )
    found.append(change("wants written", "records", [one.wants for one in carried], "each by the council"))
    found.append(change("bytes of the wants", "bytes", [one.want_bytes for one in carried], ""))
    found.append(change("bytes of the roll's records", "bytes", [one.roll_bytes for one in carried],
                        "a record a step, with all targets in it"))  # fmt: skip
    found.append(row("a look at a fleet at rest by instance: steps", "count", "steps", "instance", fleets,
                     [steps_of_look(n) for n in fleets], instances))  # fmt: skip
    tell(f"settings: a change through {fleets[-1]} hollow instances")
    return found


def held(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    found = []
    for per, sizes, at in (
        ("stage", (100, 300, 1000, 3000) if quick else (1000, 3000, 10_000, 58_000), size("routes")),
        ("tenant", (300, 1000, 3000, 10_000) if quick else (3000, 30_000, 100_000, 300_000), size("tenants")),
    ):
        kept, most = [], []
        for n in sizes:
            text = text_of(n, 3, seed) if per == "stage" else text_of(3, n, seed)
            one, other = memory_of(lambda text=text: read_server_settings(msgspec.json.decode(text)))  # type: ignore[misc]
            kept.append(one)
            most.append(other)
        tell(f"settings: memory of {sizes[-1]} by {per}")
        found.append(row(f"ServerSettings by {per}: bytes", "memory", "bytes", per, sizes, kept, at))
        found.append(row(f"reading by {per}: bytes at the most", "memory", "bytes", per, sizes, most, at,
                         note="decoded text and bench, without the text"))  # fmt: skip
    return found


def timed(quick: bool, seed: int, tell: Callable[[str], None]) -> tuple[list[Row], dict[str, Any]]:
    found, seconds = [], {}
    long = {"stage": (1000, 3000, 10_000, 58_000), "tenant": (10_000, 100_000, 300_000, 1_300_000)}
    short = {"stage": (100, 300, 1000, 3000), "tenant": (300, 1000, 3000, 10_000)}
    for per, at in (("stage", size("routes")), ("tenant", size("tenants"))):
        sizes, told = (short if quick else long)[per], []
        repeats = 3
        for n in sizes:
            text = text_of(n, 3, seed) if per == "stage" else text_of(3, n, seed)
            told.append(loops_of(lambda text=text: read_server_settings(msgspec.json.decode(text)), repeats))  # type: ignore[misc]
        loops, took = zip(*told, strict=True)
        name = f"reading by {per}: time"
        tell(f"{name}: {took[-1]:.3f} s at {sizes[-1]}")
        seconds[f"{name}, CPU seconds by size"] = rounded(sizes, took)
        found.append(row(name, "time", "loops", per, sizes, loops, at, repeats,
                         note="decoded and read_server_settings"))  # fmt: skip
    sizes, told = ((60, 200, 400, 600) if quick else (200, 600, 1200, 2000)), []
    for n in sizes:
        text = text_of(n, 3, seed)
        told.append(loops_of(lambda text=text: unfit_settings(text), 5))  # type: ignore[misc]
    loops, took = zip(*told, strict=True)
    name = "unfit_settings by stage: time"
    tell(f"{name}: {took[-1]:.3f} s at {sizes[-1]}")
    seconds[f"{name}, CPU seconds by size"] = rounded(sizes, took)
    found.append(row(name, "time", "loops", "stage", sizes, loops, size("routes"), 5,
                     note="SETTINGS_SIZE_LIMIT refuses it before the size is reached"))  # fmt: skip
    return found, {"loop_s": loop_cpu(), **seconds}


def most_that_fit(rows: list[Row], bound: int) -> dict[str, int]:
    """How many stages, or tenants, a text of so many bytes may have."""
    found = {}
    for one in rows:
        if one["name"] in ("text by stage: bytes", "text by tenant: bytes"):
            found[one["per"]] = int((bound - one["base"]) / one["slope"])
    return found


def carried_today(rows: list[Row], loop: float) -> dict[str, Any]:
    """One change, from the measured slopes and the bounds in code. `loop`: seconds of the reference loop."""
    known = {one["name"]: one for one in rows}
    instances, day = size("instances"), size("changes_day")
    looks = known["a change: the conductor's looks by instance"]["at_size"]
    timing = RolloutTiming()
    carrying = looks * LOOK
    judging = len(STAGES) * timing.min_slots * timing.slot / SECOND
    content = SETTINGS_SIZE_LIMIT
    at_once = known["a change, all down at once: the conductor's looks by instance"]["at_size"] * LOOK
    wants = known["a change: bytes of the wants by instance"]["at_size"]
    roll = known["a change: bytes of the roll's records by instance"]["at_size"]
    within = size("in_force_s")
    texts = known["text by stage: bytes"], known["text by tenant: bytes"]
    readings = known["reading by stage: time"], known["reading by tenant: time"]
    return {
        "bytes of the settings at the size": sum(one["at_size"] for one in texts),
        "seconds of CPU to read the settings at the size": loop * sum(one["at_size"] for one in readings),
        "a change: bytes of a record, at the most": content,
        "a change: bytes over the fleet": instances * content + wants + roll,
        "a change: bytes to an instance": content + wants / instances,
        "a change: seconds to carry, nothing to judge": carrying,
        "a change: seconds to judge its stages, at the least": judging,
        "changes a second that could be carried": 1 / (carrying + judging),
        "changes a second that could be carried, unjudged": 1 / carrying,
        "changes a second, unjudged, all down at once, without the council's part": 1 / at_once,
        "changes a second wanted": day / DAY,
        "changes that wait within the time to be in force": day * within / DAY,
        "bytes a second to an instance at the day's rate": content * day / DAY,
        "stages and tenants in a record": most_that_fit(rows, SETTINGS_SIZE_LIMIT),
        "days till RECORDS_BOUND is full of numbered settings": (MAX_RECORDS - instances) / day,
        "settings of full size that RECORDS_SIZE holds": MAX_RECORDS_SIZE // content,
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    rows = counted(quick, seed, tell)
    rows += held(quick, seed, tell)
    times, figures = timed(quick, seed, tell)
    rows += times
    figures |= carried_today(rows, figures["loop_s"])
    return Part(rows=rows, figures=figures, bars=judge(rows, PROMISED))
