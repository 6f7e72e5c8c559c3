"""Each protection taken out in turn: the exploration has to find what it guards against."""

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from typing import Any, NamedTuple

from thistleline.consensus import replication
from thistleline.consensus.effects import ReadReady
from thistleline.consensus.elections import Elections
from thistleline.consensus.events import MessageReceived
from thistleline.consensus.messages import VoteRequest
from thistleline.consensus.reads import PendingRead, Reads
from thistleline.consensus.records import VoteRecord
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import Phase, ReplicaState
from thistleline.lab.simulation.explorer import Explored, explore
from thistleline.lab.simulation.lease_world import (
    LeaseWorld,
    Scenario,
    begin,
    cluster_with_leader,
    lease_held,
    new_cluster,
    next_states,
    settle,
)
from thistleline.lease import holder as holding
from thistleline.lease import protocol as terms
from thistleline.lease import table as tables
from thistleline.lease.fencing import HighestEpochs
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_events import AcquireStarted, GrantHinted, ReleaseRequested
from thistleline.lease.liveness import LivenessTracker
from thistleline.lease.table import LeaseTable
from thistleline.reducer.events import DeadlineReached

DEPTH = 40
FAST_LEADER = (5, 4, 4, 3, 3)  # the leader's clock a quarter fast, the holders' a quarter slow


class Mutant(NamedTuple):
    what: str  # the protection that is left out
    patches: tuple[tuple[Any, str, Any], ...]
    scenario: str  # where its fault shows
    quick: bool = True  # found among the first few thousand states


def mutant(what: str, scenario: str, *patch: Any, quick: bool = True) -> Mutant:
    """`patch`: where, a name there and what takes its place, one after another."""
    return Mutant(what, tuple(patch[place : place + 3] for place in range(0, len(patch), 3)), scenario, quick)


@contextmanager
def without(patches: tuple[tuple[Any, str, Any], ...]) -> Iterator[None]:
    before = [(where, name, getattr(where, name)) for where, name, _ in patches]
    for where, name, put in patches:
        setattr(where, name, put)
    try:
        yield
    finally:
        for where, name, had in before:
            setattr(where, name, had)


# ---- where explorations begin


def _beaten(world: LeaseWorld, ticks: int) -> LeaseWorld:
    """So long on, v0 having led all the while."""
    for _ in range(ticks):
        world.ticks += 1
        world.step_replica(0, DeadlineReached())
        settle(world)
    return world


def _nearly_over() -> LeaseWorld:
    """h1 has not been heard for its length but for the leader's next look; h2 waits."""
    world = _beaten(lease_held(FAST_LEADER), 1)
    world.ticks += 1
    return world


def _late_answer() -> LeaseWorld:
    """h1 was granted it a tick ago, the answer is still on its way; h2 waits."""
    world = cluster_with_leader(FAST_LEADER)
    world.step_holder(0, AcquireStarted())
    while world.net[0].to != "h1":
        world.deliver(0)
    answer = world.net[0]
    world.net = world.net[1:]
    settle(world)
    world.step_holder(1, AcquireStarted())
    settle(world)
    _beaten(world, 1)
    world.net = (answer,)
    return world


def _renewed() -> LeaseWorld:
    world = _beaten(lease_held(FAST_LEADER), 1)
    world.step_holder(0, DeadlineReached())
    settle(world)
    return world


def _deposed() -> LeaseWorld:
    """v0 leads and is cut off; v1 has been elected, v0 does not know, and h1 still asks v0."""
    world = lease_held((4, 5, 5, 3, 3))
    world.ticks += 1
    world.step_holder(0, DeadlineReached())
    settle(world, lambda source, to: "v1" not in (source, to))
    world.ticks += 1
    world.step_replica(1, DeadlineReached())
    settle(world, lambda source, to: "v0" not in (source, to))
    assert world.leaders() == ["v0", "v1"]
    return world


def _behind() -> LeaseWorld:
    """v2 has not heard of anything that was decided."""
    world = cluster_with_leader()
    world.step_holder(0, AcquireStarted())
    settle(world, lambda source, to: "v2" not in (source, to))
    world.ticks += 2
    return world


def _standing() -> LeaseWorld:
    """v0 stands; its word is on the way to v1, that to v2 is lost."""
    world = new_cluster()
    world.ticks += 2
    world.step_replica(0, DeadlineReached())
    world.net = tuple(one for one in world.net if one.to == "v1")
    world.deliver(0, back=True)
    world.net = tuple(one for one in world.net if one.to == "v1")
    phases = [one.replica.state.phase for one in world.servers]
    assert phases == [Phase.CANDIDATE, Phase.FOLLOWER, Phase.FOLLOWER]
    return world


def _passed_on(rates: tuple[int, ...]) -> LeaseWorld:
    """h0 has given it back: h1 has it from the line and does not know; h2 is next."""
    world = cluster_with_leader(rates)
    world.add_holders("h0", "h1", "h2")
    for place in range(3):
        world.step_holder(place, AcquireStarted())
        settle(world)
    world.step_holder(0, ReleaseRequested())
    settle(world)
    return world


def _unaware() -> LeaseWorld:
    """h1 was granted it from the line two ticks ago and does not know; its word is on the way, and the leader
    has just proposed that the lease is over. h2 is next."""
    world = _passed_on((5, 4, 4, 3, 3, 3))
    _beaten(world, 1)
    world.ticks += 1
    world.step_holder(1, GrantHinted())
    world.step_replica(0, DeadlineReached())
    return world


def _unaware_deposed() -> LeaseWorld:
    """As before, but v0 is cut off and v1 was elected a tick ago; h1's word is on the way to v0."""
    world = _passed_on((4, 5, 5, 3, 3, 3))
    world.step_replica(0, DeadlineReached())
    settle(world)
    world.ticks += 1
    world.step_replica(1, DeadlineReached())
    settle(world, lambda source, to: "v0" not in (source, to))
    assert world.leaders() == ["v0", "v1"]
    world.ticks += 1
    world.step_holder(1, GrantHinted(), to="v0")
    return world


def _asked_again() -> LeaseWorld:
    """h1 was granted it, the answer was lost; it asks again as its length is nearly over. h2 waits."""
    world = cluster_with_leader(FAST_LEADER)
    world.step_holder(0, AcquireStarted())
    settle(world, lambda source, to: to != "h1")
    world.step_holder(1, AcquireStarted())
    settle(world)
    _beaten(world, 1)
    world.ticks += 1
    world.step_holder(0, DeadlineReached())
    return world


def _doubled_wish() -> LeaseWorld:
    """h1 asked twice, as an answer came late; one copy is still in flight."""
    world = cluster_with_leader()
    world.step_holder(0, AcquireStarted())
    copy = world.net[0]
    settle(world)
    world.net = (copy,)
    return world


def _freed() -> LeaseWorld:
    """h1 holds and has acted; nobody waits."""
    world = cluster_with_leader()
    world.step_holder(0, AcquireStarted())
    settle(world)
    world.act(0)
    settle(world)
    return world


def _act_in_flight() -> LeaseWorld:
    """An act of h1 is still on its way to the resource; h1's time is over, h2 holds."""
    world = lease_held(FAST_LEADER)
    world.act(0)
    act = world.net[0]
    world.net = ()
    _beaten(world, 2)
    world.step_holder(1, GrantHinted())
    settle(world)
    assert world.holders[1].phase == "held"
    world.net = (act,)
    return world


def _undecided() -> LeaseWorld:
    """The paper's figure 8: v0 leads again; v2 has another entry where v0 has one of an earlier term."""
    world = new_cluster()
    for place in (0, 2, 0):
        while world.servers[place].replica.state.phase is not Phase.LEADER:
            if not world.net:
                world.ticks += 3
                world.step_replica(place, DeadlineReached())
            world.net = tuple(one for one in world.net if "v1" in (one.source, one.to))
            if world.net:
                world.deliver(0)
        world.net = tuple(one for one in world.net if "v1" in (one.source, one.to))
        if world.servers[0].replica.state.term < 3:
            world.net = ()
            world.restart(place)
    request = VoteRequest(world.servers[0].replica.state.term, 1, 1, False)
    world.step_replica(2, MessageReceived("v0", request))
    world.net = tuple(one for one in world.net if one.source != "v2")
    return world


SCENARIOS = {
    one.name: one
    for one in (
        Scenario("election", new_cluster, ticks=3, crashes=1, doubles=1, elections=2, active_holders=()),
        Scenario(
            "standing",
            _standing,
            crashes=1,
            elections=2,
            net=4,
            active_holders=(),
            elapse=(2,),
        ),
        Scenario("behind", _behind, ticks=1, elections=3, active_holders=(), elapse=(0, 2)),
        Scenario(
            "undecided of an earlier term",
            _undecided,
            ticks=2,
            elections=4,
            net=3,
            active_holders=(),
            elapse=(2,),
        ),
        Scenario(
            "held",
            lease_held,
            ticks=3,
            crashes=1,
            doubles=1,
            losses=1,
            elections=2,
            net=5,
            acts=1,
        ),
        Scenario("nearly over", _nearly_over, ticks=1, crashes=1, elections=1, net=5, elapse=(0,)),
        Scenario("late answer", _late_answer, ticks=2, elections=1, net=5, elapse=(0,)),
        Scenario("renewed", _renewed, ticks=2, elections=1, net=5, elapse=(0,)),
        Scenario("deposed leader", _deposed, ticks=2, elections=2, elapse=(1,)),
        Scenario("unaware of its grant", _unaware, elections=1, elapse=(9,), active_holders=(2,)),
        Scenario(
            "unaware, and the leader deposed",
            _unaware_deposed,
            ticks=1,
            elections=2,
            elapse=(1,),
            active_holders=(2,),
        ),
        Scenario("asked again", _asked_again, elections=1, elapse=(0,), active_holders=(1,)),
        Scenario("wish doubled", _doubled_wish, ticks=2, releases=1, elections=1, elapse=(0,)),
        Scenario("freed", _freed, ticks=1, releases=1, acts=1, elections=1, net=5, elapse=(0,)),
        Scenario("act in flight", _act_in_flight, ticks=1, crashes=1, acts=2, elections=1, elapse=(0,)),
    )
}


# ---- what is left out


def _vote_told_at_once(self: ReplicaState, effect: Any) -> None:
    self.effects.append(effect)


def _ballot_not_kept(self: ReplicaState, term: int, vote: str) -> None:
    self.term, self.voted_for = term, vote
    if vote in ("", self.id):
        self.queue_record(VoteRecord(term, vote))


def _read_at_once(self: Reads, tickets: Any) -> None:
    self.state.effects += [ReadReady(ticket) for ticket in tickets]


def _commit_any_term(self: Replica) -> None:
    index = self._replication.quorum_index()
    if index > self.state.commit_index:
        self.state.commit_index = index
        self._apply_committed()


def _from_the_answer(
    self: LeaseHolder, asked: int, answer: Any, had: Callable[..., None] = LeaseHolder._on_granted
) -> None:
    had(self, self.now, answer)


def _any_log(self: Elections, request: VoteRequest) -> bool:
    return True


def _remembers(self: LivenessTracker, now: int, table: LeaseTable) -> None:
    self.leases, self.waiters, self.next_checks, self.check_queue = {}, {}, {}, []
    for name, lease in table.state.leases.items():
        self._track_lease(name, lease.epoch, lease.touched_index, now)


def _unasked(self: LivenessTracker, now: int, name: str, asker: str, table: LeaseTable) -> None:
    return None


def _touched_or_not(self: LeaseTable, index: int, expire: Any) -> Any:
    lease = self.state.leases.get(expire.name)
    if lease is None or lease.epoch != expire.epoch:
        return terms.Denied("gone")
    self._end(index, expire.name, lease, "expired", expire.wall_ms, "")
    return terms.Done("expired")


def _own_count(self: LeaseTable, index: int, lease: Any, holder_id: str, ttl: int, *_: Any) -> Any:
    lease.holder, lease.epoch, lease.ttl, lease.touched_index = holder_id, lease.epoch + 1, ttl, index
    return terms.Granted(lease.epoch, ttl)


def _all_pass(self: HighestEpochs, name: str, epoch: int) -> str:
    return "known"


def _read_decided(self: Reads, tickets: Any) -> None:
    self.waiting += [PendingRead(self.state.commit_index, ticket) for ticket in tickets]
    if self.waiting and not self.in_round:
        self._start_round()


def _whole(length: int) -> int:
    return length


MUTANTS = (
    mutant("a vote is durable before it is told", "standing",
            ReplicaState, "emit_once_durable", _vote_told_at_once),
    mutant("a vote is kept at all", "standing", ReplicaState, "record_vote", _ballot_not_kept),
    mutant("votes go to a log that is not behind", "behind", Elections, "_is_log_current", _any_log),
    mutant("only entries of its own term are counted", "undecided of an earlier term",
            Replica, "_advance_commit", _commit_any_term, replication, "MAX_APPEND_ENTRIES", 1),
    mutant("a round confirms the leader before it answers", "unaware, and the leader deposed",
            Reads, "request", _read_at_once),
    mutant("answers wait for all that stands in the log", "unaware of its grant",
            Reads, "request", _read_decided, quick=False),
    mutant("the right counts from before the request", "late answer",
            LeaseHolder, "_on_granted", _from_the_answer),
    mutant("the right allows for drift", "nearly over", holding, "holder_ttl", _whole),
    mutant("a new leader counts anew", "deposed leader", LivenessTracker, "reset", _remembers),
    mutant("who is heard is counted on", "renewed", LivenessTracker, "renew", _unasked),
    mutant("an expiry does not end what was touched since", "asked again",
            LeaseTable, "_expire", _touched_or_not, quick=False),
    mutant("epochs are one count for all names", "freed", LeaseTable, "_grant", _own_count),
    mutant("what was given back is not granted again", "wish doubled", tables, "MAX_RELEASED", 0),
    mutant("the fence", "act in flight", HighestEpochs, "classify", _all_pass),
)  # fmt: skip


def _explored(what: str, states: int) -> Explored:
    return explore(begin(SCENARIOS[what]), next_states, DEPTH, states)


def _hunted(place: int, states: int) -> Explored:
    left_out = MUTANTS[place]
    with without(left_out.patches):
        return explore(begin(SCENARIOS[left_out.scenario]), next_states, DEPTH, states)


def prove(states: int, tell: Callable[[str], None]) -> tuple[dict[str, Any], bool]:
    """Explores each scenario to so many states, and each mutant till its fault shows, 100,000 at the least.
    Whether all held that should, and all broke that should."""
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        runs = [pool.submit(_explored, what, states) for what in SCENARIOS]
        hunts = [pool.submit(_hunted, place, max(100_000, states)) for place in range(len(MUTANTS))]
        found = (one.result() for one in runs), (one.result() for one in hunts)
        figures, good, caught = account(SCENARIOS, MUTANTS, *found, tell)
    return figures, good and caught


def account(
    scenarios: Iterable[str],
    mutants: Iterable[Mutant],
    runs: Iterable[Explored],
    hunts: Iterable[Explored],
    tell: Callable[[str], None],
) -> tuple[dict[str, Any], bool, bool]:
    """What was found of each scenario and each mutant, in their order. Whether all held that should, and
    whether all broke that should."""
    figures: dict[str, Any] = {}
    good, caught, total = True, True, 0
    for what, found in zip(scenarios, runs, strict=True):
        total += found.states
        good &= not found.wrong
        figures[what] = {"states": found.states, "depth": found.depth, "whole": found.whole}
        if found.wrong:
            figures[what] |= {"wrong": found.wrong, "trace": found.trace}
        tell(f"{what}: {figures[what]}")
    figures["states"] = total
    for one, found in zip(mutants, hunts, strict=True):
        caught &= bool(found.wrong)
        told = {"steps": len(found.trace), "wrong": found.wrong, "states": found.states}
        figures[f"without: {one.what}"] = told
        tell(f"without: {one.what}: {told}")
    return figures, good, caught
