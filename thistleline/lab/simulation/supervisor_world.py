"""A steward, its disk and its server as a world to explore: the steward dies at any step, the server too."""

from collections.abc import Callable, Iterator
from typing import Any, Self, TypeVar

from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.supervisor import effects, events
from thistleline.supervisor.model import DesiredVersion, SupervisorState, Version
from thistleline.supervisor.state_machine import Supervisor
from thistleline.supervisor.timing import SECOND

OLD, NEW, BAD = Version("1", "a"), Version("2", "b"), Version("3", "c")
WANTS = (
    DesiredVersion(1, 1, OLD),
    DesiredVersion(2, 2, NEW),
    DesiredVersion(2, 3, BAD),
    DesiredVersion(3, 4, OLD),
    DesiredVersion(1, 9, NEW),
)
STOP = SECOND


class StewardWorld:
    """What is written is durable at once; what was only asked for is gone with the steward."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.disk = SupervisorState()
        self.supervisor: Supervisor | None = None
        self.server: Version | None = None  # that lives
        self.termed = False
        self.asked: tuple[effects.Effect, ...] = ()  # of the carrier, in order
        self.wanted = 0  # how many of WANTS were told
        self.deaths = self.crashes = 2
        self.newest = (0, 0)
        self.broken = ""
        self.start()

    def copy(self) -> Self:
        made = type(self).__new__(type(self))
        made.__dict__.update(self.__dict__)
        if self.supervisor is not None:
            made.supervisor = self.supervisor.copy()
        return made

    def handle(self, event: events.Event) -> None:
        assert self.supervisor is not None
        for effect in self.supervisor.handle(self.now, event):
            if not isinstance(effect, LogEvent | effects.PublishStatus):
                self.asked = (*self.asked, effect)

    def start(self) -> None:
        self.supervisor = Supervisor(STOP, self.now)
        self.asked = ()
        self.handle(events.StateRecovered(self.disk, self.server is not None))

    def carry_out(self) -> None:
        effect, *rest = self.asked
        self.asked = tuple(rest)
        match effect:
            case effects.PersistState(state):
                before, after = self.disk.desired, state.desired
                if before is not None and (after is None or after.is_older_than(before)):
                    self.broken = "an older conductor is followed"
                self.disk = state
                self.handle(events.StatePersisted())
            case effects.VerifyVersion(version):
                self.handle(events.VersionVerified("not what is meant" if version == BAD else ""))
            case effects.SpawnServer(incarnation, version):
                if self.server is not None:
                    self.broken = "a server is started while one lives"
                if version == BAD:
                    self.broken = "what is unfit is started"
                if self.disk.running != version or self.disk.incarnation != incarnation:
                    self.broken = "a server is started that nobody would know of"
                self.server, self.termed = version, False
                self.handle(events.ServerSpawned(1))
            case effects.TerminateServer():
                self.termed = True
            case effects.KillServer() if self.server is not None:
                self.end(-9)

    def end(self, code: int) -> None:
        self.server, self.termed = None, False
        if self.supervisor is not None:
            self.handle(events.ServerExited(code))

    def die(self) -> None:
        self.supervisor, self.asked = None, ()

    def want(self) -> None:
        told = WANTS[self.wanted]
        self.wanted += 1
        self.handle(events.DesiredVersionReceived(told))
        self.newest = max(self.newest, (told.epoch, told.number))

    def tick(self) -> None:
        self.now += 2 * SECOND
        if self.supervisor is not None and self.supervisor.next_deadline() <= self.now:
            self.handle(DeadlineReached())

    def wrong(self) -> str:
        if self.broken:
            return self.broken
        desired = self.disk.desired
        if desired is not None and desired not in WANTS[: self.wanted]:
            return "nobody wanted that"
        return ""

    def key(self) -> Any:
        told = self.supervisor.state_key() if self.supervisor is not None else ()
        rest = (self.disk, self.server, self.termed, self.asked, self.wanted, self.deaths, self.crashes)
        return hash((told, rest, self.now, self.newest, self.broken))


class BesideWorld(StewardWorld):
    """Servers that follow one another beside each other. Which serves they settle among themselves."""

    def __init__(self) -> None:
        self.alive: tuple[tuple[int, Version], ...] = ()  # lives, the oldest first
        self.owner = 0  # the life that serves, or served last
        self.handed: frozenset[int] = frozenset()  # lives that have handed over
        self.ended: tuple[int, ...] = ()  # lives whose end the steward has not heard of
        self.termed_lives: frozenset[int] = frozenset()
        self.horizon = 1200 * SECOND
        super().__init__()

    def start(self) -> None:
        self.supervisor = Supervisor(STOP, self.now, True)
        self.asked, self.ended = (), ()
        disk, lives = self.disk, [life for life, _ in self.alive]
        rest = [life for life in lives if life not in (disk.incarnation, disk.successor_incarnation)]
        heir = disk.successor is not None and disk.successor_incarnation in lives
        self.handle(events.StateRecovered(disk, disk.incarnation in lives, heir, max(rest, default=0)))

    def handle(self, event: events.Event) -> None:
        assert self.supervisor is not None
        for effect in self.supervisor.handle(self.now, event):
            match effect:
                case effects.PersistState() | effects.VerifyVersion() | effects.SpawnServer():
                    self.asked = (*self.asked, effect)
                case effects.TerminateServer(life):
                    self.terminate(life)
                case effects.KillServer(life):
                    self.kill(life)

    def carry_out(self) -> None:
        effect = self.asked[0]
        if not isinstance(effect, effects.SpawnServer):
            super().carry_out()
            return
        self.asked = self.asked[1:]
        life, version = effect.incarnation, effect.version
        if version == BAD:
            self.broken = "what is unfit is started"
        if life not in (self.disk.incarnation, self.disk.successor_incarnation):
            self.broken = "a server is started that nobody would know of"
        if any(life <= other for other, _ in self.alive):
            self.broken = "a life is begun twice"
        serving = [one for one, _ in self.alive if one not in self.handed]
        if len(self.alive) > 1 or (serving and life == self.disk.incarnation):
            self.broken = "a server is started while too many live"
        self.alive = (*self.alive, (life, version))
        self.handle(events.ServerSpawned(1))

    def terminate(self, life: int) -> None:
        """Carried out at once."""
        if self.knows(life):
            self.broken = "the one that serves is ended for another"
        elif any(life == one for one, _ in self.alive):
            self.termed_lives |= {life}

    def kill(self, life: int) -> None:
        """Carried out at once."""
        if self.knows(life):
            self.broken = "the one that serves is killed"
        elif any(life == one for one, _ in self.alive):
            self.end_life(life)

    def knows(self, life: int) -> bool:
        return self.supervisor is not None and self.supervisor.state.incarnation == life

    def end_life(self, life: int) -> None:
        self.alive = tuple(one for one in self.alive if one[0] != life)
        self.termed_lives -= {life}
        if self.supervisor is not None:
            self.ended = (*self.ended, life)

    def hear_end(self) -> None:
        life, *rest = self.ended
        self.ended = tuple(rest)
        self.hear_owner()
        self.handle(events.ServerExited(1, life))

    def hear_owner(self) -> None:
        if self.supervisor is not None and self.supervisor.phase == "succeeding":
            self.handle(events.ServerReady(self.owner))

    def serve(self, life: int) -> None:
        """The latest life comes to serve: whoever served before has handed over, or is gone."""
        self.handed |= {one for one, _ in self.alive if one != life}
        self.owner = life

    def key(self) -> Any:
        rest = (self.alive, self.owner, self.handed, self.ended, self.termed_lives)
        return hash((super().key(), rest))


W = TypeVar("W", bound=StewardWorld)


def steps(world: W) -> Callable[..., Iterator[tuple[str, W]]]:
    """What makes a step: its name, what is done to a copy of the world, and what it spends."""

    def step(name: str, do: Callable[[W], None], **spent: int) -> Iterator[tuple[str, W]]:
        made = world.copy()
        for what, count in spent.items():
            setattr(made, what, getattr(made, what) - count)
        do(made)
        yield name, made

    return step


def following_beside(world: BesideWorld) -> Iterator[tuple[str, BesideWorld]]:
    step = steps(world)
    if world.supervisor is None:
        yield from step("the steward starts", BesideWorld.start)
    else:
        if world.asked:
            yield from step(f"it carries out: {type(world.asked[0]).__name__}", BesideWorld.carry_out)
        if world.ended:
            yield from step(f"it hears that {world.ended[0]} ended", BesideWorld.hear_end)
        if (
            world.owner == world.supervisor.state.successor_incarnation != 0
            and world.supervisor.phase == "succeeding"
        ):
            yield from step("it hears who serves", BesideWorld.hear_owner)
        if world.wanted < len(WANTS):
            yield from step(f"want {world.wanted} comes", BesideWorld.want)
        if world.deaths:
            yield from step("the steward dies", BesideWorld.die, deaths=1)
    for life, _ in world.alive:
        if life in world.handed or life in world.termed_lives:
            yield from step(f"{life} ends", lambda one, life=life: one.end_life(life))
        elif world.crashes:
            yield from step(f"{life} crashes", lambda one, life=life: one.end_life(life), crashes=1)
    if world.alive and world.alive[-1][0] > world.owner:
        yield from step("the latest comes to serve", lambda one: one.serve(one.alive[-1][0]))
    if world.now < world.horizon:
        yield from step("time passes", BesideWorld.tick)


Way = Iterator[tuple[str, StewardWorld]]


def following(world: StewardWorld) -> Way:
    step = steps(world)
    if world.supervisor is None:
        yield from step("the steward starts", StewardWorld.start)
    else:
        if world.asked:
            yield from step(f"it carries out: {type(world.asked[0]).__name__}", StewardWorld.carry_out)
        if world.wanted < len(WANTS):
            yield from step(f"want {world.wanted} comes", StewardWorld.want)
        if world.deaths:
            yield from step("the steward dies", StewardWorld.die, deaths=1)
    if world.server is not None:
        if world.termed:
            yield from step("the server ends", lambda one: one.end(0))
        if world.crashes:
            yield from step("the server crashes", lambda one: one.end(1), crashes=1)
    if world.now < 1008 * SECOND:
        yield from step("time passes", StewardWorld.tick)


def wander(seeds: range, steps: int) -> str:
    """Random ways through the beside world, each then left in peace: what is wrong, or nothing. In peace the
    version that is wanted has to come to serve."""
    from random import Random

    for seed in seeds:
        chance, world, trace = Random(seed), BesideWorld(), list[str]()
        for _ in range(steps):
            ways = list(following_beside(world)) or [("nothing", world)]
            # Troubles are seldom, so that some fall late, into the middle of a change.
            rare = ("crashes", "dies", "want", "ends")
            weights = [0.06 if any(word in name for word in rare) else 1.0 for name, _ in ways]
            name, world = chance.choices(ways, weights)[0]
            trace.append(name)
            if world.wrong():
                return f"seed {seed}: {world.wrong()}: {trace}"
        world.deaths, world.crashes, world.horizon = 0, 0, 1 << 62
        world.wanted = len(WANTS)
        for _ in range(300):
            name, world = chance.choice(list(following_beside(world)))
            trace.append(name)
            if world.wrong():
                return f"seed {seed}: {world.wrong()}: {trace}"
        supervisor = world.supervisor
        if supervisor is None or supervisor.state.wanted is None:
            continue
        serving = [version for life, version in world.alive if life == world.owner]
        if supervisor.state.wanted not in (*serving, BAD):
            return f"seed {seed}: {supervisor.state.wanted} does not come to serve, {world.alive}: {trace}"
    return ""
