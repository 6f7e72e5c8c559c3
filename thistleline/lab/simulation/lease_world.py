"""Replicas, lease holders and a fenced resource as an explorable state space.

It has the state machines that run in production, copied at each step. Time advances in ticks of `TICK`
true nanoseconds; each clock has a rate of its own within the allowed drift. A tick only advances the time:
a process without a timer event makes no progress, as if it were stopped. A write is durable at once, or lost
in a crash. Messages are lost, duplicated and reordered; a step may also deliver the answer at once, so that
depth is spent on faults and not on round trips.
"""

from collections.abc import Callable, Iterator
from typing import Any, Literal, NamedTuple

from thistleline.consensus.effects import LeadershipGained, SendMessage, WriteRecords
from thistleline.consensus.events import FormCluster, MessageReceived, WriteCompleted
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
    GrantHinted,
    HolderEvent,
    ReleaseRequested,
)
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable
from thistleline.reducer.events import DeadlineReached

TICK = 40_000_000  # ns of true time
LEASE_TTL = 100_000_000  # ns: two ticks by a clock that is a quarter fast
TIMING = RaftTiming(heartbeat_interval=10_000_000, election_timeout=50_000_000, quorum_timeout=120_000_000)
LEASE_NAME = "kiln"
RESOURCE = "resource"  # the destination of acts
BUDGETED = ("ticks", "crashes", "doubles", "losses", "releases", "acts")
UNLIMITED_IN_FLIGHT = 99  # messages, while a root state is prepared

Crash = Literal["", "lost", "durable"]  # no crash, or one that loses or keeps what is being written


class Request(NamedTuple):
    """A holder's numbered request to a replica."""

    number: int
    op: Any


class Answer(NamedTuple):
    """A replica's answer to the request of the same number."""

    number: int
    answer: Any


class Act(NamedTuple):
    """An act on the fenced resource, with the epoch of the lease it relies on."""

    epoch: int


class InFlightMessage(NamedTuple):
    """A message on the network.

    Attributes:
        source: The sender's id.
        to: The receiver's id.
        message: What is sent: a consensus message, `Request`, `Answer` or `Act`.
        key: A hash of all that.
        swapped_key: The hash with the names of two alike replicas swapped.
    """

    source: str
    to: str
    message: Any
    key: int
    swapped_key: int


class Scenario(NamedTuple):
    """What may happen in an exploration, and how often at most.

    Attributes:
        name: Of the scenario.
        root: Builds the first state.
        ticks: Of true time.
        crashes: Of replicas.
        doubles: Messages that are delivered and stay in flight.
        losses: Of all messages in flight.
        elections: Highest consensus term.
        net: Messages in flight; past it the oldest is lost.
        releases: By holders.
        acts: On the resource.
        elapse: Places of the replicas whose timers fire; all if empty.
        active_holders: Places of the holders that take steps without a message.
    """

    name: str
    root: Callable[[], "LeaseWorld"]
    ticks: int = 0
    crashes: int = 0
    doubles: int = 0
    losses: int = 0
    elections: int = 99
    net: int = 6
    releases: int = 0
    acts: int = 0
    elapse: tuple[int, ...] = ()
    active_holders: tuple[int, ...] = (0, 1)


class LeaseWorld:
    """A state of replicas, their disks, holders, the network and the resource; changed only by its maker."""

    __slots__ = (
        "acted_epochs",
        "broken_invariant",
        "budget",
        "committed",
        "disks",
        "highest_epochs",
        "holders",
        "leaders_by_term",
        "net",
        "rates",
        "replica_keys",
        "scenario",
        "servers",
        "swapped_ids",
        "ticks",
    )

    def __init__(self, replica_count: int, rates: tuple[int, ...]) -> None:
        """Form a cluster of replicas.

        Args:
            replica_count: How many.
            rates: Quarters of true time that each clock goes in one; of the replicas, then of the holders.
        """
        self.rates = rates
        self.ticks = 0
        ids = [f"v{place}" for place in range(replica_count)]
        self.servers = tuple(
            LeaseServer(Replica(id, LeaseTable(), self.clock(place), TIMING, _no_jitter), _no_wall_clock)
            for place, id in enumerate(ids)
        )
        self.disks: tuple[Replay, ...] = tuple(Replay() for _ in ids)
        self.holders: tuple[LeaseHolder, ...] = ()
        self.net: tuple[InFlightMessage, ...] = ()
        # Of each replica and its disk, by place: the key, and the key with two names swapped.
        self.replica_keys: dict[int, tuple[int, int]] = {}
        self.budget: dict[str, int] = {}
        self.acted_epochs: tuple[int, ...] = ()
        self.highest_epochs: dict[str, int] = {}
        self.committed: tuple[Entry, ...] = ()
        self.leaders_by_term: tuple[tuple[int, str], ...] = ()
        self.scenario: Scenario | None = None
        self.broken_invariant = ""
        self.swapped_ids: dict[str, str] = {}  # of the last two replicas, if they differ in nothing else
        members = tuple(Member(id, id) for id in ids)
        for place in range(replica_count):
            self.step_replica(place, FormCluster("c", members))

    def copy(self) -> "LeaseWorld":
        """Return a copy that shares all parts; steps replace parts and never change them."""
        copied = LeaseWorld.__new__(LeaseWorld)
        for name in self.__slots__:
            setattr(copied, name, getattr(self, name))
        return copied

    def clock(self, place: int) -> int:
        """Return the time in ns by the clock of a replica, or of a holder (places after the replicas')."""
        return (1000 + self.ticks) * TICK * self.rates[place] // 4

    def holder_clock(self, place: int) -> int:
        """Return the time in ns by a holder's clock."""
        return self.clock(len(self.servers) + place)

    def add_holders(self, *ids: str) -> None:
        """Replace the holders by new ones that want the lease."""
        self.holders = tuple(
            LeaseHolder(LEASE_NAME, id, LEASE_TTL, True, self.holder_clock(place), _no_jitter)
            for place, id in enumerate(ids)
        )

    # ---- steps, each on a copy of its own

    def step_replica(self, place: int, event: Event, crash: Crash = "") -> None:
        """Let a replica handle an event and what follows at once.

        Args:
            place: Of the replica.
            event: What happens to it.
            crash: Whether it crashes right after its first effects, and what becomes of its writes.
        """
        server = self.servers[place].copy()
        self._put_server(place, server)
        events: list[Event] = [event]
        while events:
            try:
                effects = server.handle(self.clock(place), events.pop(0))
            except AssertionError as error:  # an invariant that the replica checks itself
                self.broken_invariant = str(error)
                return
            for effect in effects:
                if self._carry_out(place, server, effect, crash):
                    events.append(WriteCompleted())
        if crash:
            self.restart(place)
        self._check_commits(server.replica.state)

    def _put_server(self, place: int, server: LeaseServer) -> None:
        """Put a server in place of another, whose key is no longer valid."""
        self.servers = (*self.servers[:place], server, *self.servers[place + 1 :])
        self.replica_keys = {known: key for known, key in self.replica_keys.items() if known != place}

    def _carry_out(self, place: int, server: LeaseServer, effect: Any, crash: Crash) -> bool:
        """Carry out an effect of a replica; return whether a write completed."""
        replica_id = server.replica.state.id
        match effect:
            case WriteRecords(batch):
                if crash != "lost":
                    self._write(place, batch)
                return not crash
            case SendMessage(to, message):
                self._send(replica_id, to, message)
            case SendAnswer((holder_id, number), answer):
                self._send(replica_id, holder_id, Answer(number, answer))
            case LeadershipGained():
                self._check_leadership(server.replica.state)
        return False

    def _write(self, place: int, batch: WriteBatch) -> None:
        """Write a batch to a replica's disk."""
        disk = self.disks[place].copy()
        if batch.new_segment:
            disk = Replay()
        for record in batch.records:
            disk.apply(record)
        self.disks = (*self.disks[:place], disk, *self.disks[place + 1 :])

    def _send(self, source: str, to: str, message: Any) -> None:
        """Put a message in flight; the oldest is lost if there are too many."""
        key = hash((source, to, message))
        swapped_key = key
        if self.swapped_ids:
            swapped_source = self.swapped_ids.get(source, source)
            swapped_key = hash((swapped_source, self.swapped_ids.get(to, to), message))
        self.net = (*self.net, InFlightMessage(source, to, message, key, swapped_key))
        limit = self.scenario.net if self.scenario is not None else UNLIMITED_IN_FLIGHT
        self.net = self.net[-limit:]

    def restart(self, place: int) -> None:
        """Replace a replica by one that recovered from its disk."""
        id = self.servers[place].replica.state.id
        recovered = self.disks[place].recovered_state()
        replica = Replica(id, LeaseTable(), self.clock(place), TIMING, _no_jitter, recovered)
        self._put_server(place, LeaseServer(replica, _no_wall_clock))

    def step_holder(self, place: int, event: HolderEvent, to: str = "") -> None:
        """Let a holder handle an event; its requests go to a replica, the first leader if none is named."""
        holder = self.holders[place].copy()
        self.holders = (*self.holders[:place], holder, *self.holders[place + 1 :])
        for effect in holder.handle(self.holder_clock(place), event):
            if isinstance(effect, SendRequest):
                self._send(holder.holder_id, to or self.leaders()[0], Request(effect.number, effect.op))

    def leaders(self) -> list[str]:
        """Return the replicas that take themselves for the leader, as a client finds them by asking each one.

        These are the ones holders may ask; the first replica if there are none.
        """
        states = [server.replica.state for server in self.servers]
        return [state.id for state in states if state.phase is Phase.LEADER] or ["v0"]

    def deliver(self, place: int, keep: bool = False, crash: Crash = "", back: bool = False) -> None:
        """Deliver a message.

        Args:
            place: Of the message among those in flight.
            keep: Whether a copy stays in flight.
            crash: Of the receiving replica.
            back: Whether the first answer to the sender arrives at once too, and what follows from it.
        """
        delivered = self.net[place]
        if not keep:
            self.net = (*self.net[:place], *self.net[place + 1 :])
        before = self.net
        self._dispatch(delivered, crash)
        if back and len(self.net) > len(before):
            sent = self.net[len(before) :] if self.net[: len(before)] == before else ()
            ends = delivered.to, delivered.source
            answer = next((one for one in sent if (one.source, one.to) == ends), None)
            if answer is not None:
                self.net = (*before, *(one for one in sent if one is not answer))
                self._dispatch(answer, "")

    def _dispatch(self, delivered: InFlightMessage, crash: Crash) -> None:
        """Hand a message to its receiver."""
        source, to, message, *_ = delivered
        for place, server in enumerate(self.servers):
            if server.replica.state.id == to:
                if isinstance(message, Request):
                    event: Event = RequestReceived((source, message.number), message.op)
                else:
                    event = MessageReceived(source, message)
                self.step_replica(place, event, crash)
                return
        if to == RESOURCE:
            self._receive_act(message)
            return
        for place, holder in enumerate(self.holders):
            if holder.holder_id == to:
                self.step_holder(place, AnswerReceived(*message))

    def lose_messages(self) -> None:
        """Lose all messages in flight."""
        self.net = ()

    def tick(self) -> None:
        """Let one tick of true time pass."""
        self.ticks += 1

    def act(self, place: int) -> None:
        """Send off an act of a holder, if its lease is still valid; the network decides when it arrives."""
        holder = self.holders[place]
        if holder.fits(self.holder_clock(place), 0):
            self._send(holder.holder_id, RESOURCE, Act(holder.epoch))

    def _receive_act(self, act: Act) -> None:
        """Let the resource carry out an act that its fencing accepts."""
        fence = HighestEpochs(dict(self.highest_epochs))
        if fence.classify(LEASE_NAME, act.epoch) in ("known", "newer"):
            if self.acted_epochs and act.epoch < max(self.acted_epochs):
                self.broken_invariant = "an older holder acted after a newer one"
            fence.by_name[LEASE_NAME] = max(act.epoch, fence.by_name.get(LEASE_NAME, 0))
            self.highest_epochs = fence.by_name
            self.acted_epochs = tuple(sorted({*self.acted_epochs, act.epoch}))[-2:]

    # ---- invariants

    def _check_leadership(self, leader: ReplicaState) -> None:
        """Check that a new leader is the only one in its term and has all committed entries."""
        others = {id for term, id in self.leaders_by_term if term == leader.term} - {leader.id}
        if others:
            self.broken_invariant = f"{leader.id} and {others.pop()} both lead in one term"
        self.leaders_by_term = tuple(sorted({*self.leaders_by_term, (leader.term, leader.id)}))
        log = (Entry(0, "nothing", b""),) * leader.log.snapshot_index + tuple(leader.log.entries)
        if log[: len(self.committed)] != self.committed:
            self.broken_invariant = f"{leader.id} leads without a committed entry"

    def _check_commits(self, replica: ReplicaState) -> None:
        """Check that a replica has committed the same entries as all others."""
        if replica.log.snapshot_index:
            return
        entries = tuple(replica.log.entries[: replica.commit_index])
        known = self.committed
        if entries[: len(known)] != known[: len(entries)]:
            self.broken_invariant = f"{replica.id} has committed other entries"
        if len(entries) > len(known):
            self.committed = entries

    def wrong(self) -> str:
        """Return which invariant is violated; "" if all hold."""
        if self.broken_invariant:
            return self.broken_invariant
        valid = [
            holder for place, holder in enumerate(self.holders) if holder.is_valid(self.holder_clock(place))
        ]
        if len(valid) > 1:
            return "two holders have a valid lease at once"
        epochs = [holder.epoch for holder in self.holders if holder.epoch]
        if len(set(epochs)) < len(epochs):
            return "two holders were granted the same epoch"
        if any(self._granted_after_release(server) for server in self.servers):
            return "the lease was granted again to a holder that released it"
        return ""

    def _granted_after_release(self, server: LeaseServer) -> bool:
        """Return whether a replica's table grants the lease to a holder that has released it."""
        lease = server.table.state.leases.get(LEASE_NAME)
        if not lease:
            return False
        return any(
            lease.holder == holder.holder_id and lease.epoch > holder.epoch
            for holder in self.holders
            if holder.phase == "ended" and holder.end_reason == "released"
        )

    def key(self) -> int:
        """Return a hash of everything on which later states depend.

        Two replicas that differ only in their names are interchangeable: the lesser of the two keys is used
        for both.
        """
        keys = [self._replica_key(place) for place in range(len(self.servers))]
        rest = (
            tuple(holder.state_key() for holder in self.holders),
            self.ticks,
            tuple(sorted(self.budget.items())),
            tuple(self.highest_epochs.items()),
            self.acted_epochs,
            len(self.committed),
            self.broken_invariant,
        )
        net = sorted(one.key for one in self.net)
        key = hash((*(plain for plain, _ in keys), *net, self.leaders_by_term, rest))
        if not self.swapped_ids:
            return key
        *others, last_but_one, last = (swapped for _, swapped in keys)
        terms = tuple((term, self.swapped_ids.get(id, id)) for term, id in self.leaders_by_term)
        swapped_net = sorted(one.swapped_key for one in self.net)
        return min(key, hash((*others, last, last_but_one, *swapped_net, terms, rest)))

    def _replica_key(self, place: int) -> tuple[int, int]:
        """Return the key of a replica and its disk, and that with two names swapped; computed once."""
        if place not in self.replica_keys:
            server, disk, swapped_ids = self.servers[place], self.disks[place], self.swapped_ids
            key = hash((server.state_key(), disk.state_key()))
            swapped_key = key
            if swapped_ids:
                swapped_key = hash((server.state_key(swapped_ids), disk.state_key(swapped_ids)))
            self.replica_keys[place] = key, swapped_key
        return self.replica_keys[place]


def _no_jitter(_interval: int) -> int:
    """Return no jitter, in ns."""
    return 0


def _no_wall_clock() -> int:
    """Return a constant wall time, in ms."""
    return 0


# ---- possible steps

Steps = Iterator[tuple[str, LeaseWorld]]

HOLDER_STEPS: dict[str, tuple[str, HolderEvent]] = {
    "new": ("start", AcquireStarted()),
    "waiting": ("hinted", GrantHinted()),
}  # by the holder's phase; in all others its deadline is reached


def next_states(world: LeaseWorld) -> Steps:
    """Yield each step that may happen next: its name and the world after it."""
    for place in range(len(world.net)):
        yield from _message_steps(world, place)
    for place in range(len(world.servers)):
        yield from _replica_steps(world, place)
    for place in _scenario(world).active_holders:
        yield from _holder_steps(world, place)
    if world.budget["losses"] and world.net:
        yield from _step(world, "all messages in flight are lost", "losses", LeaseWorld.lose_messages)
    if world.budget["ticks"]:
        yield from _step(world, "time passes", "ticks", LeaseWorld.tick)


def _scenario(world: LeaseWorld) -> Scenario:
    """Return the scenario that is explored."""
    assert world.scenario is not None
    return world.scenario


def _step(
    world: LeaseWorld, name: str, spent: str, action: Callable[..., None], *arguments: Any, **options: Any
) -> Steps:
    """Yield the world after a step, unless it exceeds the highest term; `spent` names its budget."""
    successor = world.copy()
    if spent:
        successor.budget = {**world.budget, spent: world.budget[spent] - 1}
    action(successor, *arguments, **options)
    max_term = _scenario(world).elections
    if all(server.replica.state.term <= max_term for server in successor.servers):
        yield name, successor


def _message_steps(world: LeaseWorld, place: int) -> Steps:
    """Yield the steps of a message in flight: delivery, duplication, and a crash of its receiver."""
    source, to, message, *_ = world.net[place]
    name = f"{to} gets from {source}: {_describe(message)}"
    deliver = LeaseWorld.deliver
    yield from _step(world, name, "", deliver, place)
    if to.startswith("v"):
        yield from _step(world, f"{name}, with the answer", "", deliver, place, back=True)
        if world.budget["crashes"]:
            yield from _step(
                world, f"{name}, crashes before its write", "crashes", deliver, place, crash="lost"
            )
            yield from _step(
                world, f"{name}, crashes after its write", "crashes", deliver, place, crash="durable"
            )
    if world.budget["doubles"] and not isinstance(message, VoteRequest):
        yield from _step(world, f"{name}, duplicated", "doubles", deliver, place, keep=True)


def _replica_steps(world: LeaseWorld, place: int) -> Steps:
    """Yield the steps of a replica without a message."""
    timed = _scenario(world).elapse
    if (not timed or place in timed) and world.servers[place].next_deadline() <= world.clock(place):
        yield from _step(
            world, f"v{place} handles its deadline", "", LeaseWorld.step_replica, place, DeadlineReached()
        )
    if world.budget["crashes"]:
        yield from _step(world, f"v{place} crashes", "crashes", LeaseWorld.restart, place)


def _holder_steps(world: LeaseWorld, place: int) -> Steps:
    """Yield the steps of a holder without a message."""
    holder, now = world.holders[place], world.holder_clock(place)
    id = holder.holder_id
    step_holder = LeaseWorld.step_holder
    if holder.phase == "waiting" or (holder.phase != "ended" and holder.next_deadline() <= now):
        what, event = HOLDER_STEPS.get(holder.phase, ("elapsed", DeadlineReached()))
        for to in world.leaders():
            yield from _step(world, f"{id}: {what}, to {to}", "", step_holder, place, event, to=to)
    if world.budget["releases"] and holder.phase == "held":
        yield from _step(
            world, f"{id} releases the lease", "releases", step_holder, place, ReleaseRequested()
        )
    if world.budget["acts"] and holder.fits(now, 1):
        yield from _step(world, f"{id} acts", "acts", LeaseWorld.act, place)


def _describe(message: Any) -> str:
    """Return a message's name for a trace."""
    match message:
        case Act(epoch):
            return f"act {epoch}"
        case Request(number, content) | Answer(number, content):
            return f"{type(content).__name__} {number}"
    return type(message).__name__


# ---- where explorations begin


def settle(world: LeaseWorld, is_delivered: Callable[[str, str], bool] = lambda source, to: True) -> None:
    """Deliver all messages in order; those between ends that `is_delivered` returns false for are lost.

    Raises:
        AssertionError: 200 messages later there are still some in flight.
    """
    for _ in range(200):
        if not world.net:
            return
        source, to, *_ = world.net[0]
        if is_delivered(source, to):
            world.deliver(0)
        else:
            world.net = world.net[1:]
    raise AssertionError(f"{len(world.net)} messages are still in flight after 200 deliveries")


def new_cluster(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    """Return three replicas that have just been formed, and two holders that want the lease."""
    world = LeaseWorld(3, rates)
    world.add_holders("h1", "h2")
    return world


def cluster_with_leader(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    """Return the new cluster after v0 was elected."""
    world = new_cluster(rates)
    world.ticks += 3  # past every election timeout
    world.step_replica(0, DeadlineReached())
    settle(world)
    assert world.servers[0].replica.state.phase is Phase.LEADER
    return world


def lease_held(rates: tuple[int, ...] = (4, 4, 4, 4, 4)) -> LeaseWorld:
    """Return a world where h1 holds the lease and h2 waits."""
    world = cluster_with_leader(rates)
    for place in range(2):
        world.step_holder(place, AcquireStarted())
        settle(world)
    world.step_replica(0, DeadlineReached())
    settle(world)
    assert [holder.phase for holder in world.holders] == ["held", "waiting"]
    if rates[1] == rates[2]:
        world.swapped_ids = {"v1": "v2", "v2": "v1"}
        world.replica_keys = {}
    return world


def begin(scenario: Scenario) -> LeaseWorld:
    """Return the first state of a scenario."""
    world = scenario.root()
    world.scenario = scenario
    world.budget = {name: getattr(scenario, name) for name in BUDGETED}
    return world
