"""Rollout controllers and four servers as an explorable state space.

At any step a controller may crash or stall and another take the lease; servers may crash, and the canary
analysis may give any verdict.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Literal, NamedTuple

from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.canary import CanaryAnalysis, Judgement, Verdict
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import Effect, SetDesiredVersion, StoreRecord
from thistleline.rollout.events import DesiredVersionsRecovered, OrderReceived, RecordStored, ServersObserved
from thistleline.rollout.order import Order
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.supervisor.model import Version

OLD = Version("1", "a")
NEW = Version("2", "b")
ORDER = Order(1, "start", "", NEW, OLD, ("one", "all"), max_down=2, max_down_per_zone=1)
TIMING = RolloutTiming(change_timeout=1000 * SECOND)
SERVERS = 4  # s0 to s3, alternating between two zones
COUNTERS_ONE_SERVED = (0, 0, 0, 0, 0, 0, 0, 1)
ServerState = Literal["up", "changing", "down"]


class ServerRun(NamedTuple):
    """The version that a server runs, or ran last, and its state."""

    version: Version
    state: ServerState


class ArbitraryAnalysis(CanaryAnalysis):
    """An analysis whose verdict is set by the world."""

    verdict: Verdict = "can't tell"

    def __init__(self, *_: Any) -> None:
        """Begin; the arguments are ignored."""
        super().__init__(("z0", "z1"), 0.02, 3)

    def add_slot(self, samples: Any, expected: Any) -> None:
        """Count nothing."""

    def judge(self, zone_of: dict[str, str]) -> Judgement:
        """Return the chosen verdict."""
        return Judgement(ArbitraryAnalysis.verdict, [], "set by the world")


class RolloutWorld:
    """A state of controllers, the stored record, the desired versions and the servers.

    Attributes:
        epoch: Of the controller that holds the lease; writes of older ones are refused.
        record: As stored; None before the first.
        desired: The stored version of each server that has one.
        servers: Version and state of each, by id.
        controllers: By epoch: the newest and the one before it.
        pending: By epoch: effects that are not carried out yet.
        successions, deaths, verdicts: Budgets: how many may still happen.
        violation: The invariant that was violated; "" if none.
    """

    def __init__(self) -> None:
        """Begin with the first controller, all servers up with the old version."""
        self.epoch = 1
        self.record: RolloutRecord | None = None
        self.desired: dict[str, Version] = {}
        self.servers = {f"s{place}": ServerRun(OLD, "up") for place in range(SERVERS)}
        self.controllers: dict[int, RolloutController] = {}
        self.pending: dict[int, tuple[Effect, ...]] = {}
        self.successions = 2
        self.deaths = 1
        self.verdicts = 3
        self.violation = ""
        self.start()

    def copy(self) -> "RolloutWorld":
        """Return a copy that shares no mutable state."""
        copied = RolloutWorld.__new__(RolloutWorld)
        copied.__dict__.update(self.__dict__)
        copied.desired = dict(self.desired)
        copied.servers = dict(self.servers)
        copied.controllers = {epoch: one.copy() for epoch, one in self.controllers.items()}
        copied.pending = dict(self.pending)
        return copied

    # ---- controllers

    def start(self) -> None:
        """Start the controller of the newest epoch with what is stored."""
        controller = RolloutController(0, lambda: 0, self.record, TIMING, ArbitraryAnalysis)
        self.controllers[self.epoch] = controller
        controller.handle(0, ServersObserved(self.statuses()))
        controller.handle(0, DesiredVersionsRecovered(self.desired))
        self.pending[self.epoch] = ()
        for epoch in list(self.controllers):
            if epoch < self.epoch - 1:
                self._remove(epoch)

    def succeed(self, crashes: bool) -> None:
        """Give the lease to another controller; the former holder crashes, or stalls."""
        if crashes:
            self._remove(self.epoch)
        self.epoch += 1
        self.start()

    def _remove(self, epoch: int) -> None:
        """Remove a controller."""
        del self.controllers[epoch]
        del self.pending[epoch]

    def statuses(self) -> list[ServerStatus]:
        """Return the status of each server, as a controller observes it."""
        return [
            ServerStatus(
                id,
                f"z{_zone(id)}",
                state != "down",
                version.release if state == "up" else "",
                0,
                state == "up",
                True,
                COUNTERS_ONE_SERVED,
            )
            for id, (version, state) in sorted(self.servers.items())
        ]

    def step(self, epoch: int, verdict: Verdict) -> None:
        """Let a controller observe the servers and handle the order and its deadline, under a verdict."""
        controller = self.controllers[epoch]
        ArbitraryAnalysis.verdict = verdict
        effects = controller.handle(0, ServersObserved(self.statuses()))
        effects += controller.handle(0, OrderReceived(ORDER))
        effects += controller.handle(0, DeadlineReached())
        ArbitraryAnalysis.verdict = "can't tell"
        self._add_pending(epoch, effects)

    def _add_pending(self, epoch: int, effects: Iterable[Effect]) -> None:
        """Add a controller's effects, but for the log, to those to be carried out."""
        added = (effect for effect in effects if not isinstance(effect, LogEvent))
        self.pending[epoch] = (*self.pending[epoch], *added)

    def carry_out(self, epoch: int) -> None:
        """Carry out a controller's next effect, or remove the controller if it has lost the lease."""
        effect, *rest = self.pending[epoch]
        self.pending[epoch] = tuple(rest)
        if self.refused(epoch):
            self._remove(epoch)
            return
        match effect:
            case StoreRecord(record):
                self.record = record
                self._add_pending(epoch, self.controllers[epoch].handle(0, RecordStored()))
            case SetDesiredVersion(server_id, version):
                self._set_desired(server_id, version)

    def refused(self, epoch: int) -> bool:
        """Return whether fencing refuses the writes of an epoch."""
        return epoch != self.epoch

    def _set_desired(self, server_id: str, version: Version) -> None:
        """Store a desired version, and check that the record allows it."""
        if version == NEW and (self.record is None or server_id not in self.record.targets):
            self.violation = f"{server_id} gets the new version, but is no target"
        if version == NEW and self.record is not None and self.record.phase in ("backing", "back"):
            self.violation = f"{server_id} gets the new version during a rollback"
        self.desired[server_id] = version

    # ---- servers

    def take_down(self, server_id: str) -> None:
        """Take a server down for the desired version, as its supervisor does; check how many are down."""
        self.servers[server_id] = ServerRun(self.servers[server_id].version, "changing")
        changing = sorted(id for id, (_, state) in self.servers.items() if state == "changing")
        in_zone = sum(_zone(id) == _zone(server_id) for id in changing)
        if len(changing) > ORDER.max_down or in_zone > ORDER.max_down_per_zone:
            self.violation = f"{', '.join(changing)} are down at once"

    def come_up(self, server_id: str) -> None:
        """Bring a server up, with the desired version if it went down for that."""
        version, state = self.servers[server_id]
        runs = self.desired[server_id] if state == "changing" else version
        self.servers[server_id] = ServerRun(runs, "up")

    def crash(self, server_id: str) -> None:
        """Crash a server."""
        self.servers[server_id] = ServerRun(self.servers[server_id].version, "down")

    # ---- exploration

    def wrong(self) -> str:
        """Return which invariant is violated; "" if all hold."""
        return self.violation

    def key(self) -> int:
        """Return a hash of everything on which later states depend."""
        controllers = tuple(
            (epoch, controller.state_key(), self.pending[epoch])
            for epoch, controller in sorted(self.controllers.items())
        )
        desired = tuple(sorted(self.desired.items()))
        stored = (self.epoch, self.record, desired, tuple(sorted(self.servers.items())))
        return hash((controllers, stored, self.successions, self.deaths, self.verdicts, self.violation))


def _zone(server_id: str) -> int:
    """Return the number of a server's zone."""
    return int(server_id[1:]) % 2


def returned_in_last_stage() -> RolloutWorld:
    """Return a world in the last stage, with a server that was away during the order and is back.

    While s0 was away, s2 of its zone got the new version as desired; s2 has not changed yet.
    """
    world = RolloutWorld()
    while world.record is None or world.record.stage_index == 0 or not world.record.targets:
        if world.pending[1]:
            world.carry_out(1)
        elif world.desired.get("s0") == NEW and world.servers["s0"].version != NEW:
            world.servers["s0"] = ServerRun(NEW, "up")
        else:
            world.step(1, "not worse")
    world.pending[1] = ()
    world.desired = {}
    world.servers["s0"] = ServerRun(OLD, "down")
    world.succeed(crashes=True)
    for _ in range(3):
        world.step(2, "can't tell")
        while world.pending[2]:
            world.carry_out(2)
    world.servers["s0"] = ServerRun(OLD, "up")
    world.deaths = 0
    return world


Steps = Iterator[tuple[str, RolloutWorld]]


def next_states(world: RolloutWorld) -> Steps:
    """Yield each step that may happen next: its name and the world after it."""
    for epoch in world.controllers:
        yield from _controller_steps(world, epoch)
    if world.successions:
        succeed = RolloutWorld.succeed
        yield from _step(
            world, "the controller crashes, another gets the lease", "successions", succeed, True
        )
        yield from _step(
            world, "the controller stalls, another gets the lease", "successions", succeed, False
        )
    for server_id in world.servers:
        yield from _server_steps(world, server_id)


def _step(world: RolloutWorld, name: str, spent: str, action: Callable[..., None], *arguments: Any) -> Steps:
    """Yield the world after a step; `spent` names the budget that it lowers."""
    successor = world.copy()
    if spent:
        setattr(successor, spent, getattr(successor, spent) - 1)
    action(successor, *arguments)
    yield name, successor


def _controller_steps(world: RolloutWorld, epoch: int) -> Steps:
    """Yield what a controller can action: its next effect, or an observation with any verdict."""
    if world.pending[epoch]:
        effect = type(world.pending[epoch][0]).__name__
        yield from _step(world, f"{epoch} carries out {effect}", "", RolloutWorld.carry_out, epoch)
        return
    yield from _step(world, f"{epoch} observes", "", RolloutWorld.step, epoch, "can't tell")
    if world.verdicts and world.controllers[epoch].analysis is not None:
        for verdict in ("worse", "not worse"):
            name = f"{epoch} observes: {verdict}"
            yield from _step(world, name, "verdicts", RolloutWorld.step, epoch, verdict)


def _server_steps(world: RolloutWorld, server_id: str) -> Steps:
    """Yield what a server can do."""
    version, state = world.servers[server_id]
    if state == "up" and world.desired.get(server_id, version) != version:
        yield from _step(
            world, f"{server_id} goes down for the desired version", "", RolloutWorld.take_down, server_id
        )
    if state != "up":
        yield from _step(world, f"{server_id} comes up", "", RolloutWorld.come_up, server_id)
    if state == "up" and world.deaths:
        yield from _step(world, f"{server_id} crashes", "deaths", RolloutWorld.crash, server_id)
