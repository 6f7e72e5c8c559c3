"""Voters, holders and a guarded resource as one world to explore: the reducers that run, copied at each step.

Time goes in ticks of `TICK` true nanoseconds; each clock has a rate of its own within the bound. A tick does
nothing else: whoever is not told of it stands still, as a stopped process does. What is written is durable at
once, or lost in a crash. Messages are lost, doubled and overtake each other; a step may carry an answer
straight back, so that depth is spent on faults and not on round trips.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from thistleline.consensus.effects import LeadershipGained, SendMessage, WriteRecords
from thistleline.consensus.events import FormCluster, MessageReceived, TimerFired, WriteCompleted
from thistleline.consensus.messages import Entry, Member, VoteRequest
from thistleline.consensus.records import WriteBatch
from thistleline.consensus.replay import Replay
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import Phase, RaftTiming, ReplicaState
from thistleline.lease.effects import SendAnswer
from thistleline.lease.events import Event, RequestReceived
from thistleline.lease.fencing import HighestEpochs
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_effects import SendRequest
from thistleline.lease.holder_events import (
    AcquireStarted,
    AnswerReceived,
    DeadlineReached,
    GrantHinted,
    HolderEvent,
    ReleaseRequested,
)
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable

TICK = 40_000_000
LENGTH = 100_000_000  # ns: two ticks by a clock that is a quarter fast
SPANS = RaftTiming(heartbeat_interval=10_000_000, election_timeout=50_000_000, quorum_timeout=120_000_000)
NAME = "kiln"
SPENT = ("ticks", "crashes", "doubles", "losses", "releases", "acts")


class Flight(NamedTuple):
    """A message in flight, with its key and that with two names swapped."""

    source: str
    to: str
    message: Any
    key: int
    other: int


class Scenario(NamedTuple):
    """What may happen, and how often at most."""

    what: str
    root: Callable[[], "LeaseWorld"]
    ticks: int = 0
    crashes: int = 0
    doubles: int = 0
    losses: int = 0  # of a whole net
    elections: int = 99  # terms at most
    net: int = 6  # messages in flight; past it the oldest is lost
    releases: int = 0
    acts: int = 0
    elapse: tuple[int, ...] = ()  # voters whose clocks are heeded; all if none
    moves: tuple[int, ...] = (0, 1)  # holders that do something of their own


class LeaseWorld:
    __slots__ = (
        *("servers", "disks", "holders", "net", "ticks", "rates", "left", "acted", "marks", "decided"),
        *("terms", "scenario", "broken", "swap", "keys"),
    )

    def __init__(self, voters: int, rates: tuple[int, ...]) -> None:
        """`rates`: quarters of true time that each clock goes in one; of the voters, then of the holders."""
        self.rates, self.ticks = rates, 0
        ids = [f"v{place}" for place in range(voters)]
        self.servers = tuple(
            LeaseServer(Replica(id, LeaseTable(), self.clock(place), SPANS, _no_spread), _no_wall)
            for place, id in enumerate(ids)
        )
        self.disks: tuple[Replay, ...] = tuple(Replay() for _ in ids)
        self.holders: tuple[LeaseHolder, ...] = ()
        self.net: tuple[Flight, ...] = ()
        self.keys: dict[int, tuple[int, int]] = {}  # of each voter and its disk, and with two names swapped
        self.left: dict[str, int] = {}
        self.acted: tuple[int, ...] = ()
        self.marks: dict[str, int] = {}
        self.decided: tuple[Entry, ...] = ()
        self.terms: tuple[tuple[int, str], ...] = ()  # who led in each
        self.scenario: Scenario | None = None
        self.broken = ""
        self.swap: dict[str, str] = {}  # the names of the last two voters where they are alike but for these
        members = tuple(Member(id, id) for id in ids)
        for place in range(voters):
            self.replica(place, FormCluster("c", members))

    def copy(self) -> "LeaseWorld":
        made = LeaseWorld.__new__(LeaseWorld)
        for name in self.__slots__:
            setattr(made, name, getattr(self, name))
        return made

    def clock(self, place: int) -> int:
        return (1000 + self.ticks) * TICK * self.rates[place] // 4

    def hold(self, *askers: str) -> None:
        first = len(self.servers)
        self.holders = tuple(
            LeaseHolder(NAME, asker, LENGTH, True, self.clock(first + place), _no_spread)
            for place, asker in enumerate(askers)
        )

    # ---- steps, each on a copy of its own

    def replica(self, place: int, event: Event, crash: str = "") -> None:
        """`crash`: after what it does at once, with what was written "lost" or "kept"."""
        server = self.servers[place].copy()
        self.servers = (*self.servers[:place], server, *self.servers[place + 1 :])
        self.keys = {known: key for known, key in self.keys.items() if known != place}
        inputs: list[Event] = [event]
        while inputs:
            try:
                effects = server.handle(self.clock(place), inputs.pop(0))
            except AssertionError as error:  # what a voter itself holds impossible
                self.broken = str(error)
                return
            for effect in effects:
                match effect:
                    case WriteRecords(batch):
                        if crash != "lost":
                            self._write(place, batch)
                        if not crash:
                            inputs.append(WriteCompleted())
                    case SendMessage(to, message):
                        self._send(server.replica.state.id, to, message)
                    case SendAnswer((asker, number), answer):
                        self._send(server.replica.state.id, asker, (number, answer))
                    case LeadershipGained():
                        self._led(server.replica.state)
        if crash:
            self.restart(place)
        self._check(server.replica.state)

    def _write(self, place: int, batch: WriteBatch) -> None:
        disk = self.disks[place].copy()
        if batch.new_segment:
            disk = Replay()
        for record in batch.records:
            disk.apply(record)
        self.disks = (*self.disks[:place], disk, *self.disks[place + 1 :])

    def _send(self, source: str, to: str, message: Any) -> None:
        one = hash((source, to, message))
        names = self.swap
        other = hash((names.get(source, source), names.get(to, to), message)) if names else one
        self.net = (*self.net, Flight(source, to, message, one, other))
        bound = self.scenario.net if self.scenario is not None else 99
        self.net = self.net[-bound:]

    def restart(self, place: int) -> None:
        id = self.servers[place].replica.state.id
        recovered = self.disks[place].recovered_state()
        replica = Replica(id, LeaseTable(), self.clock(place), SPANS, _no_spread, recovered)
        self.servers = (*self.servers[:place], LeaseServer(replica, _no_wall), *self.servers[place + 1 :])
        self.keys = {known: key for known, key in self.keys.items() if known != place}

    def holder(self, place: int, event: HolderEvent, to: str = "") -> None:
        holder = self.holders[place].copy()
        self.holders = (*self.holders[:place], holder, *self.holders[place + 1 :])
        for effect in holder.handle(self.clock(len(self.servers) + place), event):
            if isinstance(effect, SendRequest):
                self._send(holder.holder_id, to or self.leaders()[0], (effect.number, effect.op))

    def leaders(self) -> list[str]:
        """Whom holders may ask: who takes itself for the leader, as a client finds by asking around."""
        return [one.replica.state.id for one in self.servers if one.replica.state.phase is Phase.LEADER] or [
            "v0"
        ]

    def deliver(self, place: int, keep: bool = False, crash: str = "", back: bool = False) -> None:
        """One message; `back`: what is said to its sender at once arrives too, and what that says at once."""
        source, to, message, *_ = self.net[place]
        if not keep:
            self.net = (*self.net[:place], *self.net[place + 1 :])
        before = self.net
        self._take(source, to, message, crash)
        if back and len(self.net) > len(before):
            said = self.net[len(before) :] if self.net[: len(before)] == before else ()
            answers = [one for one in said if (one[0], one[1]) == (to, source)]
            for answer in answers[:1]:
                self.net = (*before, *(one for one in said if one is not answer))
                self._take(answer.source, answer.to, answer.message, "")

    def _take(self, source: str, to: str, message: Any, crash: str) -> None:
        for place, server in enumerate(self.servers):
            if server.replica.state.id == to:
                if isinstance(message, tuple):
                    self.replica(place, RequestReceived((source, message[0]), message[1]), crash)
                else:
                    self.replica(place, MessageReceived(source, message), crash)
                return
        if to == "resource":
            self._act(source, message)
            return
        for place, holder in enumerate(self.holders):
            if holder.holder_id == to:
                self.holder(place, AnswerReceived(*message))

    def lose(self) -> None:
        self.net = ()

    def tick(self) -> None:
        self.ticks += 1

    def act(self, place: int) -> None:
        """An act is sent off; when it arrives is the net's business."""
        holder = self.holders[place]
        if holder.fits(self.clock(len(self.servers) + place), 0):
            self._send(holder.holder_id, "resource", holder.epoch)

    def _act(self, source: str, epoch: int) -> None:
        marks = HighestEpochs(dict(self.marks))
        if marks.classify(NAME, epoch) in ("known", "newer"):
            if self.acted and epoch < max(self.acted):
                self.broken = "an older holder acted after a newer one"
            marks.by_name[NAME] = max(epoch, marks.by_name.get(NAME, 0))
            self.marks = marks.by_name
            self.acted = tuple(sorted({*self.acted, epoch}))[-2:]

    # ---- invariants

    def _led(self, voter: ReplicaState) -> None:
        others = {id for term, id in self.terms if term == voter.term} - {voter.id}
        if others:
            self.broken = f"{voter.id} and {others.pop()} both lead in one term"
        self.terms = tuple(sorted({*self.terms, (voter.term, voter.id)}))
        log = (Entry(0, "nothing", b""),) * voter.log.snapshot_index + tuple(voter.log.entries)
        if log[: len(self.decided)] != self.decided:
            self.broken = f"{voter.id} leads without a decision that was made"

    def _check(self, voter: ReplicaState) -> None:
        here = tuple(voter.log.entries[: voter.commit_index - voter.log.snapshot_index])
        if voter.log.snapshot_index:
            return
        known = self.decided
        if here[: len(known)] != known[: len(here)]:
            self.broken = f"{voter.id} has other decisions"
        if len(here) > len(known):
            self.decided = here

    def wrong(self) -> str:
        if self.broken:
            return self.broken
        first = len(self.servers)
        valid = [one for place, one in enumerate(self.holders) if one.is_valid(self.clock(first + place))]
        if len(valid) > 1:
            return "two holders have a right at once"
        epochs = [one.epoch for one in self.holders if one.epoch]
        if len(set(epochs)) < len(epochs):
            return "two holders were given one epoch"
        for server in self.servers:
            lease = server.table.state.leases.get(NAME)
            for one in self.holders:
                given_back = one.phase == "ended" and one.end_reason == "released"
                if lease and given_back and lease.holder == one.holder_id and lease.epoch > one.epoch:
                    return "it was granted again to one who gave it back"
        return ""

    def key(self) -> int:
        """Of all that what follows can depend on. Two voters that are alike but for their names may change
        places: of the two keys the lesser one stands for both."""
        for place, server in enumerate(self.servers):
            if place not in self.keys:
                disk, swap = self.disks[place], self.swap
                one = hash((server.state_key(), disk.state_key()))
                self.keys[place] = one, hash((server.state_key(swap), disk.state_key(swap))) if swap else one
        keys = [self.keys[place] for place in range(len(self.servers))]
        rest = (
            *(tuple(one.state_key() for one in self.holders), self.ticks, tuple(sorted(self.left.items()))),
            *(tuple(self.marks.items()), self.acted, len(self.decided), self.broken),
        )
        here = hash((*(one for one, _ in keys), *sorted(one.key for one in self.net), self.terms, rest))
        if not self.swap:
            return here
        keys[-2], keys[-1] = keys[-1], keys[-2]
        terms = tuple((term, self.swap.get(id, id)) for term, id in self.terms)
        net = sorted(one.other for one in self.net)
        return min(here, hash((*(one for _, one in keys), *net, terms, rest)))


def _no_spread(span: int) -> int:
    return 0


def _no_wall() -> int:
    return 0


# ---- what may happen next


NEXT_EVENTS: dict[str, tuple[str, HolderEvent]] = {
    "new": ("start", AcquireStarted()),
    "waiting": ("hinted", GrantHinted()),
}


def following(world: LeaseWorld) -> Iterator[tuple[str, LeaseWorld]]:
    scenario, left = world.scenario, world.left
    assert scenario is not None

    def step(name: str, spent: str, do: Callable[..., None], *told: Any) -> Iterator[tuple[str, LeaseWorld]]:
        made = world.copy()
        if spent:
            made.left = {**left, spent: left[spent] - 1}
        do(made, *told)
        if all(one.replica.state.term <= scenario.elections for one in made.servers):
            yield name, made

    deliver, replica, holder = LeaseWorld.deliver, LeaseWorld.replica, LeaseWorld.holder
    for place, (source, to, message, *_) in enumerate(world.net):
        told = f"{to} hears {source}: {_told(message)}"
        yield from step(told, "", deliver, place)
        if to.startswith("v"):
            yield from step(f"{told}, and back", "", deliver, place, False, "", True)
            if left["crashes"]:
                yield from step(f"{told}, dies, nothing kept", "crashes", deliver, place, False, "lost")
                yield from step(f"{told}, dies, all kept", "crashes", deliver, place, False, "kept")
        if left["doubles"] and not isinstance(message, VoteRequest):
            yield from step(f"{told}, and again later", "doubles", deliver, place, True)
    for place, server in enumerate(world.servers):
        heeded = not scenario.elapse or place in scenario.elapse
        if heeded and server.next_deadline() <= world.clock(place):
            yield from step(f"v{place} heeds its clock", "", replica, place, TimerFired())
        if left["crashes"]:
            yield from step(f"v{place} dies", "crashes", LeaseWorld.restart, place)
    first = len(world.servers)
    for place in scenario.moves:
        one, now = world.holders[place], world.clock(first + place)
        if one.phase == "waiting" or (one.phase != "ended" and one.next_deadline() <= now):
            what, event = NEXT_EVENTS.get(one.phase, ("elapsed", DeadlineReached()))
            for to in world.leaders():
                yield from step(f"{one.holder_id}: {what}, to {to}", "", partial(holder, to=to), place, event)
        if left["releases"] and one.phase == "held":
            yield from step(f"{one.holder_id} gives it back", "releases", holder, place, ReleaseRequested())
        if left["acts"] and one.fits(now, 1):
            yield from step(f"{one.holder_id} acts", "acts", LeaseWorld.act, place)
    if left["losses"] and world.net:
        yield from step("all in flight is lost", "losses", LeaseWorld.lose)
    if left["ticks"]:
        yield from step("time passes", "ticks", LeaseWorld.tick)


def _told(message: Any) -> str:
    if isinstance(message, tuple):
        return f"{type(message[1]).__name__} {message[0]}"
    return type(message).__name__ if not isinstance(message, int) else f"act {message}"


# ---- where explorations begin


def settle(world: LeaseWorld, to: Callable[[str, str], bool] = lambda source, to: True) -> None:
    """Delivers all in order, but what `to` says no to, which is lost."""
    for _ in range(200):
        if not world.net:
            return
        source, target, *_ = world.net[0]
        if to(source, target):
            world.deliver(0)
        else:
            world.net = world.net[1:]
    raise AssertionError("the net never falls silent")


def empty(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    """Three voters that have just been formed, two holders that want the lease."""
    world = LeaseWorld(3, rates)
    world.hold("h1", "h2")
    return world


def led(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    world = empty(rates)
    world.ticks += 3  # past every election span
    world.replica(0, TimerFired())
    settle(world)
    assert world.servers[0].replica.state.phase is Phase.LEADER
    return world


def held(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    """h1 holds, h2 waits."""
    world = led(rates)
    world.holder(0, AcquireStarted())
    settle(world)
    world.holder(1, AcquireStarted())
    settle(world)
    world.replica(0, TimerFired())
    settle(world)
    assert [one.phase for one in world.holders] == ["held", "waiting"]
    if rates[1] == rates[2]:
        world.swap = {"v1": "v2", "v2": "v1"}
        world.keys = {}
    return world


def asked(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    """As `held`, and h1's word that it is still there is in flight."""
    world = held(rates)
    world.holder(0, DeadlineReached())
    return world


def begin(scenario: Scenario) -> LeaseWorld:
    world = scenario.root()
    world.scenario = scenario
    world.left = {name: getattr(scenario, name) for name in SPENT}
    return world
