"""Mutation testing of the lease service by exhaustive exploration.

Each protection is removed in turn: the exploration has to find the violation that it prevents.
"""

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
from thistleline.lease import holder as holder_module
from thistleline.lease import protocol
from thistleline.lease import table as table_module
from thistleline.lease.fencing import HighestEpochs
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_events import AcquireStarted, GrantHinted, ReleaseRequested
from thistleline.lease.liveness import LivenessTracker
from thistleline.lease.table import LeaseTable
from thistleline.reducer.events import DeadlineReached

DEPTH = 40
FAST_LEADER = (5, 4, 4, 3, 3)  # clock rates: the leader's a quarter fast, the holders' a quarter slow


class Mutant(NamedTuple):
    """A variant of the lease service with one protection removed.

    Attributes:
        protection: What is removed.
        patches: Each an owner, the name of its attribute, and the attribute's replacement.
        scenario: Name of the scenario in which the violation shows.
        quick: Whether the violation shows within the first few thousand states.
    """

    protection: str
    patches: tuple[tuple[Any, str, Any], ...]
    scenario: str
    quick: bool = True


def make_mutant(protection: str, scenario: str, *patch: Any, quick: bool = True) -> Mutant:
    """Build a mutant; `patch` is a flat list of owner, attribute name and replacement."""
    return Mutant(
        protection, tuple(patch[place : place + 3] for place in range(0, len(patch), 3)), scenario, quick
    )


@contextmanager
def patched(patches: tuple[tuple[Any, str, Any], ...]) -> Iterator[None]:
    """Replace attributes for the duration of a `with` block."""
    before = [(where, name, getattr(where, name)) for where, name, _ in patches]
    for where, name, replacement in patches:
        setattr(where, name, replacement)
    try:
        yield
    finally:
        for where, name, original in before:
            setattr(where, name, original)


# ---- where explorations begin


def _advance_led_by_v0(world: LeaseWorld, ticks: int) -> LeaseWorld:
    """Advance by `ticks`, with v0 leading all the time."""
    for _ in range(ticks):
        world.ticks += 1
        world.step_replica(0, DeadlineReached())
        settle(world)
    return world


def _unnoticed_expiry() -> LeaseWorld:
    """Return a world where the lease of h1 has run out, but the leader has yet to check; h2 waits."""
    world = _advance_led_by_v0(lease_held(FAST_LEADER), 1)
    world.ticks += 1
    return world


def _late_answer() -> LeaseWorld:
    """Return a world where the grant to h1 is a tick old and its answer still in flight; h2 waits."""
    world = cluster_with_leader(FAST_LEADER)
    world.step_holder(0, AcquireStarted())
    while world.net[0].to != "h1":
        world.deliver(0)
    answer = world.net[0]
    world.net = world.net[1:]
    settle(world)
    world.step_holder(1, AcquireStarted())
    settle(world)
    _advance_led_by_v0(world, 1)
    world.net = (answer,)
    return world


def _renewed_lease() -> LeaseWorld:
    """Return a world where h1 has just renewed the lease; h2 waits."""
    world = _advance_led_by_v0(lease_held(FAST_LEADER), 1)
    world.step_holder(0, DeadlineReached())
    settle(world)
    return world


def _deposed_leader() -> LeaseWorld:
    """Return a world where v1 was elected and v0, cut off, still takes itself for the leader; h1 asks v0."""
    world = lease_held((4, 5, 5, 3, 3))
    world.ticks += 1
    world.step_holder(0, DeadlineReached())
    settle(world, lambda source, to: "v1" not in (source, to))
    world.ticks += 1
    world.step_replica(1, DeadlineReached())
    settle(world, lambda source, to: "v0" not in (source, to))
    assert world.leaders() == ["v0", "v1"]
    return world


def _lagging_replica() -> LeaseWorld:
    """Return a world where v2 has received no entry since the election."""
    world = cluster_with_leader()
    world.step_holder(0, AcquireStarted())
    settle(world, lambda source, to: "v2" not in (source, to))
    world.ticks += 2
    return world


def _candidate() -> LeaseWorld:
    """Return a world where v0 is a candidate; its vote request is in flight to v1, that to v2 is lost."""
    world = new_cluster()
    world.ticks += 2
    world.step_replica(0, DeadlineReached())
    world.net = tuple(one for one in world.net if one.to == "v1")
    world.deliver(0, back=True)
    world.net = tuple(one for one in world.net if one.to == "v1")
    phases = [one.replica.state.phase for one in world.servers]
    assert phases == [Phase.CANDIDATE, Phase.FOLLOWER, Phase.FOLLOWER]
    return world


def _released_to_next(rates: tuple[int, ...]) -> LeaseWorld:
    """Return a world where h0 released the lease and h1 was granted it unawares; h2 is next."""
    world = cluster_with_leader(rates)
    world.add_holders("h0", "h1", "h2")
    for place in range(3):
        world.step_holder(place, AcquireStarted())
        settle(world)
    world.step_holder(0, ReleaseRequested())
    settle(world)
    return world


def _grant_unknown() -> LeaseWorld:
    """Return a world where h1 was granted the lease two ticks ago and does not know.

    Its request is in flight, and the leader has just proposed that the lease expires. h2 is next.
    """
    world = _released_to_next((5, 4, 4, 3, 3, 3))
    _advance_led_by_v0(world, 1)
    world.ticks += 1
    world.step_holder(1, GrantHinted())
    world.step_replica(0, DeadlineReached())
    return world


def _grant_unknown_leader_deposed() -> LeaseWorld:
    """Return the world of `_grant_unknown`, but v0 is cut off and v1 was elected a tick ago.

    The request of h1 is in flight to v0.
    """
    world = _released_to_next((4, 5, 5, 3, 3, 3))
    world.step_replica(0, DeadlineReached())
    settle(world)
    world.ticks += 1
    world.step_replica(1, DeadlineReached())
    settle(world, lambda source, to: "v0" not in (source, to))
    assert world.leaders() == ["v0", "v1"]
    world.ticks += 1
    world.step_holder(1, GrantHinted(), to="v0")
    return world


def _repeated_request() -> LeaseWorld:
    """Return a world where h1 repeats its request as its granted lease nearly runs out; h2 waits.

    The answer to the first request was lost.
    """
    world = cluster_with_leader(FAST_LEADER)
    world.step_holder(0, AcquireStarted())
    settle(world, lambda source, to: to != "h1")
    world.step_holder(1, AcquireStarted())
    settle(world)
    _advance_led_by_v0(world, 1)
    world.ticks += 1
    world.step_holder(0, DeadlineReached())
    return world


def _duplicate_request() -> LeaseWorld:
    """Return a world where h1 asked twice, as an answer came late; one copy is still in flight."""
    world = cluster_with_leader()
    world.step_holder(0, AcquireStarted())
    copy = world.net[0]
    settle(world)
    world.net = (copy,)
    return world


def _sole_holder() -> LeaseWorld:
    """Return a world where h1 holds the lease and has acted; no other holder waits."""
    world = cluster_with_leader()
    world.step_holder(0, AcquireStarted())
    settle(world)
    world.act(0)
    settle(world)
    return world


def _act_in_flight() -> LeaseWorld:
    """Return a world where an act of h1 is in flight to the resource; h2 holds the lease now."""
    world = lease_held(FAST_LEADER)
    world.act(0)
    act = world.net[0]
    world.net = ()
    _advance_led_by_v0(world, 2)
    world.step_holder(1, GrantHinted())
    settle(world)
    assert world.holders[1].phase == "held"
    world.net = (act,)
    return world


def _uncommitted_of_earlier_term() -> LeaseWorld:
    """Return the world of figure 8 of the Raft paper.

    v0 leads again; v2 has another entry where v0 has one of an earlier term.
    """
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
            _candidate,
            crashes=1,
            elections=2,
            net=4,
            active_holders=(),
            elapse=(2,),
        ),
        Scenario("behind", _lagging_replica, ticks=1, elections=3, active_holders=(), elapse=(0, 2)),
        Scenario(
            "undecided of an earlier term",
            _uncommitted_of_earlier_term,
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
        Scenario("nearly over", _unnoticed_expiry, ticks=1, crashes=1, elections=1, net=5, elapse=(0,)),
        Scenario("late answer", _late_answer, ticks=2, elections=1, net=5, elapse=(0,)),
        Scenario("renewed", _renewed_lease, ticks=2, elections=1, net=5, elapse=(0,)),
        Scenario("deposed leader", _deposed_leader, ticks=2, elections=2, elapse=(1,)),
        Scenario("unaware of its grant", _grant_unknown, elections=1, elapse=(9,), active_holders=(2,)),
        Scenario(
            "unaware, and the leader deposed",
            _grant_unknown_leader_deposed,
            ticks=1,
            elections=2,
            elapse=(1,),
            active_holders=(2,),
        ),
        Scenario("asked again", _repeated_request, elections=1, elapse=(0,), active_holders=(1,)),
        Scenario("wish doubled", _duplicate_request, ticks=2, releases=1, elections=1, elapse=(0,)),
        Scenario("freed", _sole_holder, ticks=1, releases=1, acts=1, elections=1, net=5, elapse=(0,)),
        Scenario("act in flight", _act_in_flight, ticks=1, crashes=1, acts=2, elections=1, elapse=(0,)),
    )
}


# ---- protections removed


def _send_vote_before_durable(self: ReplicaState, effect: Any) -> None:
    """Send a vote before it is durable."""
    self.effects.append(effect)


def _do_not_persist_vote(self: ReplicaState, term: int, vote: str) -> None:
    """Write no vote for another replica to disk."""
    self.term, self.voted_for = term, vote
    if vote in ("", self.id):
        self.queue_record(VoteRecord(term, vote))


def _confirm_read_without_round(self: Reads, tickets: Any) -> None:
    """Confirm a read without a round to a majority."""
    self.state.effects += [ReadReady(ticket) for ticket in tickets]


def _commit_entries_of_any_term(self: Replica) -> None:
    """Commit entries of earlier terms by counting replicas."""
    index = self._replication.quorum_index()
    if index > self.state.commit_index:
        self.state.commit_index = index
        self._apply_committed()


def _count_from_answer(
    self: LeaseHolder, asked: int, answer: Any, original: Callable[..., None] = LeaseHolder._on_granted
) -> None:
    """Count the lease from the answer instead of from the request."""
    original(self, self.now, answer)


def _accept_any_log(self: Elections, request: VoteRequest) -> bool:
    """Grant votes to candidates whose log is behind."""
    return True


def _keep_renewal_times(self: LivenessTracker, now: int, table: LeaseTable) -> None:
    """Keep the times of the last renewals when a replica becomes leader."""
    self.leases, self.waiters, self.next_checks, self.check_queue = {}, {}, {}, []
    for name, lease in table.state.leases.items():
        self._track_lease(name, lease.epoch, lease.touched_index, now)


def _ignore_renewal(self: LivenessTracker, now: int, name: str, asker: str, table: LeaseTable) -> None:
    """Ignore a renewal."""
    return None


def _expire_unconditionally(self: LeaseTable, index: int, expire: Any) -> Any:
    """Expire a lease even if it was renewed or requested again since the expiry was proposed."""
    lease = self.state.leases.get(expire.name)
    if lease is None or lease.epoch != expire.epoch:
        return protocol.Denied("gone")
    self._end(index, expire.name, lease, "expired", expire.wall_ms, "")
    return protocol.Done("expired")


def _count_epochs_by_name(self: LeaseTable, index: int, lease: Any, holder_id: str, ttl: int, *_: Any) -> Any:
    """Count epochs for each name of its own."""
    lease.holder, lease.epoch, lease.ttl, lease.touched_index = holder_id, lease.epoch + 1, ttl, index
    return protocol.Granted(lease.epoch, ttl)


def _accept_any_epoch(self: HighestEpochs, name: str, epoch: int) -> str:
    """Let every epoch pass the fence."""
    return "known"


def _read_at_commit_index(self: Reads, tickets: Any) -> None:
    """Answer reads at the commit index instead of at the end of the log."""
    self.waiting += [PendingRead(self.state.commit_index, ticket) for ticket in tickets]
    if self.waiting and not self.in_round:
        self._start_round()


def _whole_ttl(length: int) -> int:
    """Return the whole length of a lease, without the allowance for drift."""
    return length


MUTANTS = (
    make_mutant("a vote is durable before it is told", "standing",
            ReplicaState, "emit_once_durable", _send_vote_before_durable),
    make_mutant("a vote is kept at all", "standing", ReplicaState, "record_vote", _do_not_persist_vote),
    make_mutant("votes go to a log that is not behind", "behind",
            Elections, "_is_log_current", _accept_any_log),
    make_mutant("only entries of its own term are counted", "undecided of an earlier term",
            Replica, "_advance_commit", _commit_entries_of_any_term, replication, "MAX_APPEND_ENTRIES", 1),
    make_mutant("a round confirms the leader before it answers", "unaware, and the leader deposed",
            Reads, "request", _confirm_read_without_round),
    make_mutant("answers wait for all that stands in the log", "unaware of its grant",
            Reads, "request", _read_at_commit_index, quick=False),
    make_mutant("the right counts from before the request", "late answer",
            LeaseHolder, "_on_granted", _count_from_answer),
    make_mutant("the right allows for drift", "nearly over", holder_module, "holder_ttl", _whole_ttl),
    make_mutant("a new leader counts anew", "deposed leader", LivenessTracker, "reset", _keep_renewal_times),
    make_mutant("who is heard is counted on", "renewed", LivenessTracker, "renew", _ignore_renewal),
    make_mutant("an expiry does not end what was touched since", "asked again",
            LeaseTable, "_expire", _expire_unconditionally, quick=False),
    make_mutant("epochs are one count for all names", "freed", LeaseTable, "_grant", _count_epochs_by_name),
    make_mutant("what was given back is not granted again", "wish doubled", table_module, "MAX_RELEASED", 0),
    make_mutant("the fence", "act in flight", HighestEpochs, "classify", _accept_any_epoch),
)  # fmt: skip


def _explore_scenario(what: str, states: int) -> Explored:
    """Explore a scenario up to a number of states."""
    return explore(begin(SCENARIOS[what]), next_states, DEPTH, states)


def _explore_mutant(place: int, states: int) -> Explored:
    """Explore the scenario of a mutant until its violation shows, or up to a number of states."""
    removed = MUTANTS[place]
    with patched(removed.patches):
        return explore(begin(SCENARIOS[removed.scenario]), next_states, DEPTH, states)


def run_mutation_tests(states: int, tell: Callable[[str], None]) -> tuple[dict[str, Any], bool]:
    """Explore every scenario and every mutant in parallel processes.

    Args:
        states: States of each scenario, and of a mutant if more than 100,000.
        tell: Called with each line of progress.

    Returns:
        The figures, and whether every scenario held and every mutant was caught.
    """
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        runs = [pool.submit(_explore_scenario, what, states) for what in SCENARIOS]
        hunts = [pool.submit(_explore_mutant, place, max(100_000, states)) for place in range(len(MUTANTS))]
        found = (one.result() for one in runs), (one.result() for one in hunts)
        figures, good, caught = summarize_explorations(SCENARIOS, MUTANTS, *found, tell)
    return figures, good and caught


def summarize_explorations(
    scenarios: Iterable[str],
    mutants: Iterable[Mutant],
    runs: Iterable[Explored],
    hunts: Iterable[Explored],
    tell: Callable[[str], None],
) -> tuple[dict[str, Any], bool, bool]:
    """Summarize the explorations of scenarios and mutants.

    Args:
        scenarios: Names of the scenarios.
        mutants: All mutants.
        runs: The explorations of the scenarios, in their order.
        hunts: The explorations of the mutants, in their order.
        tell: Called with a line for each.

    Returns:
        The figures, whether every scenario held, and whether every mutant was caught.
    """
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
        mutant_figures = {"steps": len(found.trace), "wrong": found.wrong, "states": found.states}
        figures[f"without: {one.protection}"] = mutant_figures
        tell(f"without: {one.protection}: {mutant_figures}")
    return figures, good, caught
