"""Two conductors and four servers as a world to explore: a conductor dies or stands still at any step,
another takes the lease, servers go down by themselves, and the judge says whatever it likes."""

from collections.abc import Callable, Iterator
from typing import Any, Literal

from thistleline.rollout.canary import CanaryAnalysis, Judgement, Verdict
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import Effect, LogEvent, SetDesiredVersion, StoreRecord
from thistleline.rollout.events import (
    DesiredVersionsRecovered,
    OrderReceived,
    RecordStored,
    ServersObserved,
    TimerExpired,
)
from thistleline.rollout.order import Order
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.supervisor.model import Version

OLD, NEW = Version("1", "a"), Version("2", "b")
ORDER = Order(1, "start", "", NEW, OLD, ("one", "all"), max_down=2, max_down_per_zone=1)
TIMING = RolloutTiming(change_timeout=1000 * SECOND)
State = Literal["up", "changing", "down"]


class AnyJudge(CanaryAnalysis):
    """Says what the world has chosen."""

    says: Verdict = "can't tell"

    def __init__(self, *told: Any) -> None:
        super().__init__(("z0", "z1"), 0.02, 3)

    def add_slot(self, samples: Any, expected: Any) -> None:
        return None

    def judge(self, zone_of: dict[str, str]) -> Judgement:
        return Judgement(AnyJudge.says, [], "as the world has it")


class ConductorWorld:
    def __init__(self) -> None:
        self.epoch = 1
        self.roll: RolloutRecord | None = None
        self.wants: dict[str, Version] = {}
        self.servers: dict[str, tuple[Version, State]] = {f"s{place}": (OLD, "up") for place in range(4)}
        self.conductors: dict[int, RolloutController] = {}  # by epoch; of an older one its writes are refused
        self.asked: dict[int, tuple[Effect, ...]] = {}
        self.successions, self.deaths, self.verdicts = 2, 1, 3
        self.broken = ""
        self.start()

    def copy(self) -> "ConductorWorld":
        made = ConductorWorld.__new__(ConductorWorld)
        made.__dict__.update(self.__dict__)
        made.wants, made.servers = dict(self.wants), dict(self.servers)
        made.conductors = {epoch: one.copy() for epoch, one in self.conductors.items()}
        made.asked = dict(self.asked)
        return made

    def start(self) -> None:
        """The holder of the newest epoch begins with what is recorded."""
        one = self.conductors[self.epoch] = RolloutController(0, lambda: 0, self.roll, TIMING, AnyJudge)
        one.handle(0, ServersObserved(self.seen()))
        one.handle(0, DesiredVersionsRecovered(self.wants))
        self.asked[self.epoch] = ()
        for epoch in list(self.conductors):
            if epoch < self.epoch - 1:
                del self.conductors[epoch], self.asked[epoch]

    def succeed(self, dies: bool) -> None:
        if dies:
            del self.conductors[self.epoch], self.asked[self.epoch]
        self.epoch += 1
        self.start()

    def seen(self) -> list[ServerStatus]:
        return [
            ServerStatus(id, f"z{int(id[1:]) % 2}", state != "down",
                         version.release if state == "up" else "", 0,
                         state == "up", True, (0, 0, 0, 0, 0, 0, 0, 1))
            for id, (version, state) in sorted(self.servers.items())
        ]  # fmt: skip

    def step(self, epoch: int, says: Verdict) -> None:
        """A conductor looks, and asks for what follows."""
        one = self.conductors[epoch]
        AnyJudge.says = says
        effects = one.handle(0, ServersObserved(self.seen()))
        effects += one.handle(0, OrderReceived(ORDER))
        effects += one.handle(0, TimerExpired())
        AnyJudge.says = "can't tell"
        self.asked[epoch] = (*self.asked[epoch], *(one for one in effects if not isinstance(one, LogEvent)))

    def carry_out(self, epoch: int) -> None:
        effect, *rest = self.asked[epoch]
        self.asked[epoch] = tuple(rest)
        if self.refused(epoch):
            del self.conductors[epoch], self.asked[epoch]  # it learns that it conducts no more
            return
        match effect:
            case StoreRecord(record):
                self.roll = record
                told = self.conductors[epoch].handle(0, RecordStored())
                follows = (one for one in told if not isinstance(one, LogEvent))
                self.asked[epoch] = (*self.asked[epoch], *follows)
            case SetDesiredVersion(id, version):
                self._want(id, version)

    def refused(self, epoch: int) -> bool:
        return epoch != self.epoch

    def _want(self, id: str, version: Version) -> None:
        if version == NEW and (self.roll is None or id not in self.roll.targets):
            self.broken = f"{id} is to run what it was not chosen for"
        if version == NEW and self.roll is not None and self.roll.phase in ("backing", "back"):
            self.broken = f"{id} is to run what is being taken back"
        self.wants[id] = version

    def follow(self, id: str) -> None:
        """Its steward does what is wanted: it goes down for it."""
        self.servers[id] = self.servers[id][0], "changing"
        down = [one for one, (_, state) in self.servers.items() if state == "changing"]
        here = sum(int(one[1:]) % 2 == int(id[1:]) % 2 for one in down)
        if len(down) > ORDER.max_down or here > ORDER.max_down_per_zone:
            self.broken = f"{', '.join(sorted(down))} are down at once"

    def up(self, id: str) -> None:
        version, state = self.servers[id]
        self.servers[id] = (self.wants[id] if state == "changing" else version), "up"

    def die(self, id: str) -> None:
        self.servers[id] = self.servers[id][0], "down"

    def wrong(self) -> str:
        return self.broken

    def key(self) -> Any:
        told = tuple(
            (epoch, one.state_key(), self.asked[epoch]) for epoch, one in sorted(self.conductors.items())
        )
        rest = (self.epoch, self.roll, tuple(sorted(self.wants.items())), tuple(sorted(self.servers.items())))
        return hash((told, rest, self.successions, self.deaths, self.verdicts, self.broken))


def away() -> ConductorWorld:
    """The last stage; s0 was away, so its zone's s2 is wanted to change and has not yet; s0 is back."""
    world = ConductorWorld()
    while world.roll is None or world.roll.stage_index == 0 or not world.roll.targets:
        if world.asked[1]:
            world.carry_out(1)
        elif world.wants.get("s0") == NEW and world.servers["s0"][0] != NEW:
            world.servers["s0"] = NEW, "up"
        else:
            world.step(1, "not worse")
    world.asked[1] = ()
    world.servers["s0"], world.wants = (OLD, "up"), {}
    world.servers["s0"] = OLD, "down"
    world.succeed(True)
    for _ in range(3):
        world.step(2, "can't tell")
        while world.asked[2]:
            world.carry_out(2)
    world.servers["s0"] = OLD, "up"
    world.deaths = 0
    return world


Way = Iterator[tuple[str, ConductorWorld]]


def following(world: ConductorWorld) -> Way:
    def step(name: str, do: Callable[..., None], *told: Any, **spent: int) -> Way:
        made = world.copy()
        for what, count in spent.items():
            setattr(made, what, getattr(made, what) - count)
        do(made, *told)
        yield name, made

    for epoch in world.conductors:
        if world.asked[epoch]:
            yield from step(
                f"{epoch} carries out {type(world.asked[epoch][0]).__name__}", ConductorWorld.carry_out, epoch
            )
        else:
            yield from step(f"{epoch} looks", ConductorWorld.step, epoch, "can't tell")
            if world.verdicts and world.conductors[epoch].analysis is not None:
                for says in ("worse", "not worse"):
                    yield from step(f"{epoch} looks: {says}", ConductorWorld.step, epoch, says, verdicts=1)
    if world.successions:
        yield from step("it dies, another holds the lease", ConductorWorld.succeed, True, successions=1)
        yield from step(
            "it stands still, another holds the lease", ConductorWorld.succeed, False, successions=1
        )
    for id, (version, state) in world.servers.items():
        wanted = world.wants.get(id, version)
        if state == "up" and wanted != version:
            yield from step(f"{id} goes down for it", ConductorWorld.follow, id)
        if state != "up":
            yield from step(f"{id} comes up", ConductorWorld.up, id)
        if state == "up" and world.deaths:
            yield from step(f"{id} dies", ConductorWorld.die, id, deaths=1)
