"""A supervisor, its disk and its server as an explorable state space with crashes at any step."""

from collections.abc import Callable, Iterator
from typing import Any, Self, TypeVar

from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.supervisor import effects, events
from thistleline.supervisor.model import DesiredVersion, SupervisorState, Version
from thistleline.supervisor.state_machine import Supervisor
from thistleline.supervisor.timing import SECOND

OLD, NEW, BAD = Version("1", "a"), Version("2", "b"), Version("3", "c")
DESIRED_VERSIONS = (
    DesiredVersion(1, 1, OLD),
    DesiredVersion(2, 2, NEW),
    DesiredVersion(2, 3, BAD),
    DesiredVersion(3, 4, OLD),
    DesiredVersion(1, 9, NEW),
)
STOP = SECOND


class SupervisorWorld:
    """A supervisor that restarts its server in place.

    Writes are durable at once; effects that were not yet carried out are lost when the supervisor crashes.
    """

    def __init__(self) -> None:
        """Start the supervisor with an empty disk and no server."""
        self.now = 1000 * SECOND
        self.disk = SupervisorState()
        self.supervisor: Supervisor | None = None
        self.server: Version | None = None  # version of the live server
        self.terminating = False
        self.pending_effects: tuple[effects.Effect, ...] = ()  # effects not yet carried out, in order
        self.received_count = 0  # count of DESIRED_VERSIONS received
        self.deaths = self.crashes = 2
        self.newest_received = (0, 0)
        self.violation = ""
        self.start()

    def copy(self) -> Self:
        """Return a copy that shares no mutable state."""
        clone = type(self).__new__(type(self))
        clone.__dict__.update(self.__dict__)
        if self.supervisor is not None:
            clone.supervisor = self.supervisor.copy()
        return clone

    def handle(self, event: events.Event) -> None:
        """Pass an event to the supervisor and queue the effects that it returns."""
        assert self.supervisor is not None
        for effect in self.supervisor.handle(self.now, event):
            if not isinstance(effect, LogEvent | effects.PublishStatus):
                self.pending_effects = (*self.pending_effects, effect)

    def start(self) -> None:
        """Start a supervisor from what is on disk."""
        self.supervisor = Supervisor(STOP, self.now)
        self.pending_effects = ()
        self.handle(events.StateRecovered(self.disk, self.server is not None))

    def carry_out(self) -> None:
        """Carry out the oldest queued effect and record a violation where it breaks a rule."""
        effect, *rest = self.pending_effects
        self.pending_effects = tuple(rest)
        match effect:
            case effects.PersistState(state):
                before, after = self.disk.desired, state.desired
                if before is not None and (after is None or after.is_older_than(before)):
                    self.violation = "a desired version from an older rollout controller is accepted"
                self.disk = state
                self.handle(events.StatePersisted())
            case effects.VerifyVersion(version):
                self.handle(events.VersionVerified("verification failed" if version == BAD else ""))
            case effects.SpawnServer(incarnation, version):
                if self.server is not None:
                    self.violation = "a server is started while another is alive"
                if version == BAD:
                    self.violation = "an invalid version is started"
                if self.disk.running != version or self.disk.incarnation != incarnation:
                    self.violation = "a server is started that is not recorded on disk"
                self.server, self.terminating = version, False
                self.handle(events.ServerSpawned(1))
            case effects.TerminateServer():
                self.terminating = True
            case effects.KillServer() if self.server is not None:
                self.end(-9)

    def end(self, code: int) -> None:
        """End the server with this exit code."""
        self.server, self.terminating = None, False
        if self.supervisor is not None:
            self.handle(events.ServerExited(code))

    def die(self) -> None:
        """Crash the supervisor; queued effects are lost."""
        self.supervisor, self.pending_effects = None, ()

    def receive_desired(self) -> None:
        """Deliver the next desired version to the supervisor."""
        desired = DESIRED_VERSIONS[self.received_count]
        self.received_count += 1
        self.handle(events.DesiredVersionReceived(desired))
        self.newest_received = max(self.newest_received, (desired.epoch, desired.number))

    def tick(self) -> None:
        """Advance the time by 2 s and let the supervisor handle a deadline that is due."""
        self.now += 2 * SECOND
        if self.supervisor is not None and self.supervisor.next_deadline() <= self.now:
            self.handle(DeadlineReached())

    def wrong(self) -> str:
        """Return the violation in this state, or ""."""
        if self.violation:
            return self.violation
        desired = self.disk.desired
        if desired is not None and desired not in DESIRED_VERSIONS[: self.received_count]:
            return "the stored desired version was never sent"
        return ""

    def key(self) -> Any:
        """Return a hash of the state, by which the explorer recognizes states that it has seen."""
        supervisor_key = self.supervisor.state_key() if self.supervisor is not None else ()
        rest = (
            self.disk,
            self.server,
            self.terminating,
            self.pending_effects,
            self.received_count,
            self.deaths,
            self.crashes,
        )
        return hash((supervisor_key, rest, self.now, self.newest_received, self.violation))


class SideBySideWorld(SupervisorWorld):
    """A supervisor that starts the successor beside the running server.

    The servers decide among themselves which of them serves.
    """

    def __init__(self) -> None:
        """Start the supervisor with an empty disk and no server."""
        self.alive: tuple[tuple[int, Version], ...] = ()  # incarnations with their versions, oldest first
        self.owner = 0  # the incarnation that serves, or served last
        self.handed: frozenset[int] = frozenset()  # incarnations that have handed over
        self.ended: tuple[int, ...] = ()  # incarnations whose exit is not yet reported to the supervisor
        self.terminating_incarnations: frozenset[int] = frozenset()
        self.horizon = 1200 * SECOND
        super().__init__()

    def start(self) -> None:
        """Start a supervisor from what is on disk and the servers that are still alive."""
        self.supervisor = Supervisor(STOP, self.now, True)
        self.pending_effects, self.ended = (), ()
        disk, incarnations = self.disk, [incarnation for incarnation, _ in self.alive]
        rest = [
            incarnation
            for incarnation in incarnations
            if incarnation not in (disk.incarnation, disk.successor_incarnation)
        ]
        successor_alive = disk.successor is not None and disk.successor_incarnation in incarnations
        self.handle(
            events.StateRecovered(
                disk, disk.incarnation in incarnations, successor_alive, max(rest, default=0)
            )
        )

    def handle(self, event: events.Event) -> None:
        """Pass an event to the supervisor; signals to servers take effect at once, other effects queue."""
        assert self.supervisor is not None
        for effect in self.supervisor.handle(self.now, event):
            match effect:
                case effects.PersistState() | effects.VerifyVersion() | effects.SpawnServer():
                    self.pending_effects = (*self.pending_effects, effect)
                case effects.TerminateServer(incarnation):
                    self.terminate(incarnation)
                case effects.KillServer(incarnation):
                    self.kill(incarnation)

    def carry_out(self) -> None:
        """Carry out the oldest queued effect and record a violation where it breaks a rule."""
        effect = self.pending_effects[0]
        if not isinstance(effect, effects.SpawnServer):
            super().carry_out()
            return
        self.pending_effects = self.pending_effects[1:]
        incarnation, version = effect.incarnation, effect.version
        if version == BAD:
            self.violation = "an invalid version is started"
        if incarnation not in (self.disk.incarnation, self.disk.successor_incarnation):
            self.violation = "a server is started that is not recorded on disk"
        if any(incarnation <= other for other, _ in self.alive):
            self.violation = "an incarnation is started twice"
        serving = [one for one, _ in self.alive if one not in self.handed]
        if len(self.alive) > 1 or (serving and incarnation == self.disk.incarnation):
            self.violation = "a server is started while too many are alive"
        self.alive = (*self.alive, (incarnation, version))
        self.handle(events.ServerSpawned(1))

    def terminate(self, incarnation: int) -> None:
        """Ask an incarnation to terminate, with immediate effect."""
        if self.is_current(incarnation):
            self.violation = "the serving server is terminated for another"
        elif any(incarnation == one for one, _ in self.alive):
            self.terminating_incarnations |= {incarnation}

    def kill(self, incarnation: int) -> None:
        """Kill an incarnation, with immediate effect."""
        if self.is_current(incarnation):
            self.violation = "the serving server is killed"
        elif any(incarnation == one for one, _ in self.alive):
            self.end_incarnation(incarnation)

    def is_current(self, incarnation: int) -> bool:
        """Return whether the supervisor regards this incarnation as the serving one."""
        return self.supervisor is not None and self.supervisor.state.incarnation == incarnation

    def end_incarnation(self, incarnation: int) -> None:
        """End an incarnation; a live supervisor gets to know of it in a later step."""
        self.alive = tuple(one for one in self.alive if one[0] != incarnation)
        self.terminating_incarnations -= {incarnation}
        if self.supervisor is not None:
            self.ended = (*self.ended, incarnation)

    def report_exit(self) -> None:
        """Report the oldest unreported exit to the supervisor."""
        incarnation, *rest = self.ended
        self.ended = tuple(rest)
        self.report_owner()
        self.handle(events.ServerExited(1, incarnation))

    def report_owner(self) -> None:
        """Report to the supervisor which incarnation serves, if it waits for that."""
        if self.supervisor is not None and self.supervisor.phase == "succeeding":
            self.handle(events.ServerReady(self.owner))

    def serve(self, incarnation: int) -> None:
        """Make the latest incarnation the serving one; all others have handed over or exited."""
        self.handed |= {one for one, _ in self.alive if one != incarnation}
        self.owner = incarnation

    def key(self) -> Any:
        """Return a hash of the state, by which the explorer recognizes states that it has seen."""
        rest = (self.alive, self.owner, self.handed, self.ended, self.terminating_incarnations)
        return hash((super().key(), rest))


W = TypeVar("W", bound=SupervisorWorld)


def steps(world: W) -> Callable[..., Iterator[tuple[str, W]]]:
    """Return a function that builds one step.

    It takes the name of the step, the function to apply to a copy of the world, and the budgets it spends.
    """

    def step(name: str, action: Callable[[W], None], **budgets: int) -> Iterator[tuple[str, W]]:
        clone = world.copy()
        for what, count in budgets.items():
            setattr(clone, what, getattr(clone, what) - count)
        action(clone)
        yield name, clone

    return step


def side_by_side_next_states(world: SideBySideWorld) -> Iterator[tuple[str, SideBySideWorld]]:
    """Yield each possible next step and the state after it, for servers side by side."""
    step = steps(world)
    if world.supervisor is None:
        yield from step("the supervisor starts", SideBySideWorld.start)
    else:
        if world.pending_effects:
            yield from step(
                f"the supervisor carries out: {type(world.pending_effects[0]).__name__}",
                SideBySideWorld.carry_out,
            )
        if world.ended:
            yield from step(
                f"the supervisor learns that {world.ended[0]} exited", SideBySideWorld.report_exit
            )
        if (
            world.owner == world.supervisor.state.successor_incarnation != 0
            and world.supervisor.phase == "succeeding"
        ):
            yield from step("the supervisor learns which server serves", SideBySideWorld.report_owner)
        if world.received_count < len(DESIRED_VERSIONS):
            yield from step(
                f"desired version {world.received_count} arrives", SideBySideWorld.receive_desired
            )
        if world.deaths:
            yield from step("the supervisor dies", SideBySideWorld.die, deaths=1)
    for incarnation, _ in world.alive:
        if incarnation in world.handed or incarnation in world.terminating_incarnations:
            yield from step(
                f"{incarnation} ends", lambda one, incarnation=incarnation: one.end_incarnation(incarnation)
            )
        elif world.crashes:
            yield from step(
                f"{incarnation} crashes",
                lambda one, incarnation=incarnation: one.end_incarnation(incarnation),
                crashes=1,
            )
    if world.alive and world.alive[-1][0] > world.owner:
        yield from step("the latest incarnation starts to serve", lambda one: one.serve(one.alive[-1][0]))
    if world.now < world.horizon:
        yield from step("time passes", SideBySideWorld.tick)


NextStates = Iterator[tuple[str, SupervisorWorld]]


def next_states(world: SupervisorWorld) -> NextStates:
    """Yield each possible next step and the state after it, for one server at a time."""
    step = steps(world)
    if world.supervisor is None:
        yield from step("the supervisor starts", SupervisorWorld.start)
    else:
        if world.pending_effects:
            yield from step(
                f"the supervisor carries out: {type(world.pending_effects[0]).__name__}",
                SupervisorWorld.carry_out,
            )
        if world.received_count < len(DESIRED_VERSIONS):
            yield from step(
                f"desired version {world.received_count} arrives", SupervisorWorld.receive_desired
            )
        if world.deaths:
            yield from step("the supervisor dies", SupervisorWorld.die, deaths=1)
    if world.server is not None:
        if world.terminating:
            yield from step("the server ends", lambda one: one.end(0))
        if world.crashes:
            yield from step("the server crashes", lambda one: one.end(1), crashes=1)
    if world.now < 1008 * SECOND:
        yield from step("time passes", SupervisorWorld.tick)


def explore_randomly(seeds: range, steps: int) -> str:
    """Take random steps through `SideBySideWorld`, then let each run settle without further faults.

    Once settled, the desired version has to serve.

    Returns:
        The first violation found with its trace, or "".
    """
    from random import Random

    for seed in seeds:
        chance, world, trace = Random(seed), SideBySideWorld(), list[str]()
        for _ in range(steps):
            choices = list(side_by_side_next_states(world)) or [("nothing", world)]
            # Faults get a low weight, so that some occur late, in the middle of a change.
            rare = ("crashes", "dies", "desired", "ends")
            weights = [0.06 if any(word in name for word in rare) else 1.0 for name, _ in choices]
            name, world = chance.choices(choices, weights)[0]
            trace.append(name)
            if world.wrong():
                return f"seed {seed}: {world.wrong()}: {trace}"
        world.deaths, world.crashes, world.horizon = 0, 0, 1 << 62
        world.received_count = len(DESIRED_VERSIONS)
        for _ in range(300):
            name, world = chance.choice(list(side_by_side_next_states(world)))
            trace.append(name)
            if world.wrong():
                return f"seed {seed}: {world.wrong()}: {trace}"
        supervisor = world.supervisor
        if supervisor is None or supervisor.state.wanted is None:
            continue
        serving = [version for incarnation, version in world.alive if incarnation == world.owner]
        if supervisor.state.wanted not in (*serving, BAD):
            return f"seed {seed}: {supervisor.state.wanted} does not serve in the end, {world.alive}: {trace}"
    return ""
