"""A steward, its disk and its server as a world to explore: the steward dies at any step, the server too."""

from collections.abc import Callable, Iterator
from typing import Any, Self, TypeVar

from thistleline.supervisor.decisions import SECOND, Keeping, State, Version, Want

OLD, NEW, BAD = Version("1", "a"), Version("2", "b"), Version("3", "c")
WANTS = (Want(1, 1, OLD), Want(2, 2, NEW), Want(2, 3, BAD), Want(3, 4, OLD), Want(1, 9, NEW))
STOP = SECOND


class StewardWorld:
    """What is written is durable at once; what was only asked for is gone with the steward."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.disk = State()
        self.keeping: Keeping | None = None
        self.server: Version | None = None  # that lives
        self.termed = False
        self.asked: tuple[tuple[Any, ...], ...] = ()  # of the carrier, in order
        self.wanted = 0  # how many of WANTS were told
        self.deaths = self.crashes = 2
        self.newest = (0, 0)
        self.broken = ""
        self.start()

    def copy(self) -> Self:
        made = type(self).__new__(type(self))
        made.__dict__.update(self.__dict__)
        if self.keeping is not None:
            keeping = Keeping.__new__(Keeping)
            keeping.__dict__.update(self.keeping.__dict__)
            keeping.crashes, keeping.effects = list(keeping.crashes), []
            keeping.notes = list(keeping.notes)
            made.keeping = keeping
        return made

    def take(self, kind: str, *told: Any) -> None:
        assert self.keeping is not None
        for effect in self.keeping.take(self.now, kind, *told):
            if effect[0] in ("note", "verify", "spawn", "term", "kill"):
                self.asked = (*self.asked, effect)

    def start(self) -> None:
        self.keeping = Keeping(STOP, self.now)
        self.asked = ()
        self.take("recovered", self.disk, self.server is not None)

    def carry_out(self) -> None:
        effect, *rest = self.asked
        self.asked = tuple(rest)
        kind = effect[0]
        if kind == "note":
            before, after = self.disk.want, effect[1].want
            if before is not None and (after.epoch, after.number) < (before.epoch, before.number):
                self.broken = "an older conductor is followed"
            self.disk = effect[1]
            self.take("noted")
        elif kind == "verify":
            self.take("verified", "not what is meant" if effect[1] == BAD else "")
        elif kind == "spawn":
            if self.server is not None:
                self.broken = "a server is started while one lives"
            if effect[2] == BAD:
                self.broken = "what is unfit is started"
            if self.disk.running != effect[2] or self.disk.life != effect[1]:
                self.broken = "a server is started that nobody would know of"
            self.server, self.termed = effect[2], False
            self.take("spawned", 1)
        elif kind == "term":
            self.termed = True
        elif kind == "kill" and self.server is not None:
            self.end(-9)

    def end(self, code: int) -> None:
        self.server, self.termed = None, False
        if self.keeping is not None:
            self.take("exited", code)

    def die(self) -> None:
        self.keeping, self.asked = None, ()

    def want(self) -> None:
        told = WANTS[self.wanted]
        self.wanted += 1
        self.take("want", told)
        self.newest = max(self.newest, (told.epoch, told.number))

    def tick(self) -> None:
        self.now += 2 * SECOND
        if self.keeping is not None and self.keeping.due() <= self.now:
            self.take("elapsed")

    def wrong(self) -> str:
        if self.broken:
            return self.broken
        want = self.disk.want
        if want is not None and want not in WANTS[: self.wanted]:
            return "nobody wanted that"
        return ""

    def key(self) -> Any:
        keeping = self.keeping
        told: tuple[Any, ...] = ()
        if keeping is not None:
            told = (
                *(keeping.phase, keeping.state, keeping.next, tuple(keeping.notes)),
                *(keeping.alive, keeping.started, keeping.stopping, keeping.killed, tuple(keeping.crashes)),
                keeping.retry_at,
            )
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
        self.keeping = Keeping(STOP, self.now, True)
        self.asked, self.ended = (), ()
        lives = [life for life, _ in self.alive]
        rest = [life for life in lives if life not in (self.disk.life, self.disk.heir_life)]
        heir = self.disk.heir is not None and self.disk.heir_life in lives
        self.take("recovered", self.disk, self.disk.life in lives, heir, max(rest, default=0))

    def take(self, kind: str, *told: Any) -> None:
        assert self.keeping is not None
        for effect in self.keeping.take(self.now, kind, *told):
            if effect[0] in ("note", "verify", "spawn"):
                self.asked = (*self.asked, effect)
            else:
                self.signal(effect)

    def carry_out(self) -> None:
        effect = self.asked[0]
        if effect[0] in ("note", "verify"):
            super().carry_out()
            return
        self.asked = self.asked[1:]
        if effect[0] == "spawn":
            life, version = effect[1:]
            if version == BAD:
                self.broken = "what is unfit is started"
            if life not in (self.disk.life, self.disk.heir_life):
                self.broken = "a server is started that nobody would know of"
            if any(life <= other for other, _ in self.alive):
                self.broken = "a life is begun twice"
            serving = [one for one, _ in self.alive if one not in self.handed]
            if len(self.alive) > 1 or (serving and life == self.disk.life):
                self.broken = "a server is started while too many live"
            self.alive = (*self.alive, (life, version))
            self.take("spawned", 1)

    def signal(self, effect: tuple[Any, ...]) -> None:
        """Carried out at once."""
        if effect[0] in ("term", "kill"):
            self.broken = "the one that serves is ended for another"
        elif effect[0] == "term_heir" and any(life == effect[1] for life, _ in self.alive):
            self.termed_lives |= {effect[1]}
        elif effect[0] == "kill_life" and any(life == effect[1] for life, _ in self.alive):
            if effect[1] == self.owner and effect[1] not in self.handed and self.knows(effect[1]):
                self.broken = "the one that serves is killed"
            self.end_life(effect[1])

    def knows(self, life: int) -> bool:
        return self.keeping is not None and self.keeping.state.life == life

    def end_life(self, life: int) -> None:
        self.alive = tuple(one for one in self.alive if one[0] != life)
        self.termed_lives -= {life}
        if self.keeping is not None:
            self.ended = (*self.ended, life)

    def hear_end(self) -> None:
        life, *rest = self.ended
        self.ended = tuple(rest)
        self.hear_owner()
        self.take("exited", 1, life)

    def hear_owner(self) -> None:
        if self.keeping is not None and self.keeping.phase == "succeeding":
            self.take("served", self.owner)

    def serve(self, life: int) -> None:
        """The latest life comes to serve: whoever served before has handed over, or is gone."""
        self.handed |= {one for one, _ in self.alive if one != life}
        self.owner = life

    def key(self) -> Any:
        keeping = self.keeping
        told: tuple[Any, ...] = ()
        if keeping is not None:
            told = (keeping.heir_alive, keeping.heir_since, keeping.elder, keeping.elder_since)
            told += (keeping.elder_killed,)
        rest = (self.alive, self.owner, self.handed, self.ended, self.termed_lives)
        return hash((super().key(), told, rest))


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
    if world.keeping is None:
        yield from step("the steward starts", BesideWorld.start)
    else:
        if world.asked:
            yield from step(f"it carries out: {world.asked[0][0]}", BesideWorld.carry_out)
        if world.ended:
            yield from step(f"it hears that {world.ended[0]} ended", BesideWorld.hear_end)
        if world.owner == world.keeping.state.heir_life != 0 and world.keeping.phase == "succeeding":
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
    if world.keeping is None:
        yield from step("the steward starts", StewardWorld.start)
    else:
        if world.asked:
            yield from step(f"it carries out: {world.asked[0][0]}", StewardWorld.carry_out)
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
        keeping = world.keeping
        if keeping is None or keeping._wanted() is None:
            continue
        serving = [version for life, version in world.alive if life == world.owner]
        if keeping._wanted() not in (*serving, BAD):
            return f"seed {seed}: {keeping._wanted()} does not come to serve, {world.alive}: {trace}"
    return ""
