"""Mutation testing of the config feed by exhaustive exploration.

The feed is explored from a few steps before its hard cases. Then each safeguard is removed in turn: the
exploration has to find the violation that the safeguard prevents.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from thistleline.config_feed import record_ring as ring
from thistleline.config_feed import snapshot as snapshots
from thistleline.config_feed import source as serving
from thistleline.config_feed.effects import SnapshotLoaded
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.history import History
from thistleline.config_feed.lookups import LookupCache
from thistleline.config_feed.messages import Acknowledge, FollowAccepted, Kind, ProposeResult, SnapshotPart
from thistleline.config_feed.source import Source
from thistleline.config_feed.table import FeedTable
from thistleline.config_feed.writer import FeedWriter
from thistleline.config_feed.writer_effects import WriterEffect
from thistleline.config_feed.writer_events import WriteDenied, WriterEvent, WriteUnanswered
from thistleline.lab.simulation.explorer import Explored, explore
from thistleline.lab.simulation.feed_world import (
    FeedWorld,
    Scenario,
    build_fleet,
    commit_changes,
    next_states,
    settle,
    start_exploration,
)
from thistleline.lab.simulation.lease_mutants import make_mutant, patched, summarize_explorations
from thistleline.lease.table import LeaseTable
from thistleline.reducer.events import DeadlineReached

DEPTH = 60  # events from the root, at most
MIN_MUTANT_STATES = 6_000
# Limits small enough to be reached in a few steps: two records in the ring, one entry per part.
SMALL: tuple[tuple[Any, str, Any], ...] = (
    (ring, "RING_SLOTS", 2),
    (serving, "PART_SIZE", 1),
    (snapshots, "PART_SIZE", 1),
)


# ---- where explorations begin


def _send_change(world: FeedWorld) -> FeedWorld:
    """Send one more change, which the relay has and the instance does not have yet."""
    world.propose("k0")
    world.decide(0)
    world.answer_write(0)
    while not world.connections["i0"].to_client:
        if world.connections["r0"].to_server:
            world.receive_from_client("r0")
        else:
            world.receive_from_server("r0")
    return world


def _followed() -> FeedWorld:
    """Return a world where two changes are at all nodes."""
    return commit_changes(build_fleet(), 2)


def _cold_instance() -> FeedWorld:
    """Return a world where the instance restarts empty, below a relay without history."""
    world = commit_changes(build_fleet(keepers=1), 2)
    world.disks["r0"] = world.nodes["r0"].table
    world.restart("r0")
    settle(world, lambda name: name[0] == "i")
    world.disks["i0"] = FeedTable()
    world.restart("i0")
    return world


def _foreign_state() -> FeedWorld:
    """Return a world where the instance has a state of another feed at the newest sequence."""
    world = commit_changes(build_fleet(keepers=1), 2)
    world.disks["i0"] = FeedTable().update(2, (("common/a", b'{"of another feed":1}', 1),), "wide")
    world.foreign = ("i0",)
    world.restart("i0")
    return world


def _deposed_writer() -> FeedWorld:
    """Return a world where a write of k0 is in transit while k1 has the lease and reads."""
    world = commit_changes(build_fleet(keepers=2, relays=0, instances=0), 1)
    world.propose("k0")
    world.move_lease("k1")
    return world


def _ring_full() -> FeedWorld:
    """Return a world where both records hold a change that is durable at the writer alone."""
    world = build_fleet(relays=0, instances=0)
    return commit_changes(world, 2, lambda name: name in ("k1", "k2"))


def _unanswered() -> FeedWorld:
    """Return a world where a write of k0 is applied and its answer is in transit."""
    world = commit_changes(build_fleet(keepers=2, relays=0, instances=0), 1)
    world.propose("k0")
    world.decide(0)
    return world


def _late_keeper() -> FeedWorld:
    """Return a world where k2 is empty and disconnected, and the record ring has wrapped around."""
    world = commit_changes(build_fleet(relays=0, instances=0), 3, lambda name: name == "k2")
    world.break_connection("k2")
    return world


def _no_writer() -> FeedWorld:
    """Return a world where k2 is two changes behind and no keeper holds the lease."""
    world = commit_changes(build_fleet(relays=0, instances=0), 1)
    world = commit_changes(world, 2, lambda name: name == "k2")
    world.lose_lease("k0")
    world.break_connection("k2")
    return world


def _tenant_lookup() -> FeedWorld:
    """Return a world where the instance asks for a tenant that the next change deletes."""
    world = _send_change(commit_changes(build_fleet(keepers=1), 4))
    world.look_up_tenant("i0")
    world.deliver("i0", DeadlineReached())
    return world


def _two_relays() -> FeedWorld:
    """Return a world where r1 is a change behind r0, and the instance follows r0."""
    world = commit_changes(build_fleet(keepers=1, relays=2), 1)
    return commit_changes(world, 1, lambda name: name == "r1")


def _change_in_transit() -> FeedWorld:
    """Return a world where a change is in transit to the instance."""
    return _send_change(commit_changes(build_fleet(keepers=1), 1))


def _older_relay() -> FeedWorld:
    """Return a world where the instance lost r0 and asks r1, which is a change behind."""
    world = _two_relays()
    while world.connections.get("i0", world.connections["r0"]).server != "r1":
        if "i0" in world.connections:
            world.break_connection("i0")
        world.deliver("i0", DeadlineReached())
    return world


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("tenants", _tenant_lookup, changes=1, disconnects=1, lookups=2),
        Scenario("followed", _followed, changes=2, disconnects=1, restarts=1, restartable=("r0", "i0", "k1")),
        Scenario("a change under way", _change_in_transit, changes=1, disconnects=1, corruptions=1),
        Scenario("cold instance", _cold_instance, changes=2, disconnects=1, corruptions=1),
        Scenario("another's state", _foreign_state, changes=1, disconnects=1, corruptions=1),
        Scenario("deposed writer", _deposed_writer, changes=2, lost_answers=1, restarts=1, lease_moves=1),
        Scenario("ring full", _ring_full, changes=2, restarts=1, lease_moves=1, ticks=1),
        Scenario("unanswered", _unanswered, changes=1, retries=1, lost_answers=1, lease_moves=1, restarts=1),
        Scenario("late keeper", _late_keeper, changes=1, lease_moves=1, restarts=1, disconnects=1),
        Scenario("nobody writes", _no_writer, changes=1, lease_moves=1, restarts=1, disconnects=1),
        Scenario("older relay", _older_relay, changes=1, disconnects=1, ticks=1),
        Scenario(
            "two relays", _two_relays, changes=2, disconnects=2, restarts=1, restartable=("r0", "r1", "i0")
        ),
    )
}


# ---- safeguards removed


def _contains_by_number(self: History, number: int, digest: bytes, kind: Kind) -> bool:
    """Look a state up by its sequence number, whatever its digest."""
    return number in self._digests


def _apply_unverified_delta(
    self: Follower, message: Any, original: Callable[..., None] = Follower._apply_delta
) -> None:
    """Apply a delta whatever its digest."""
    if self.phase == "following" and message.first == self.table.sequence:
        table = self.table.update(message.last, message.items, self.kind)
        original(self, msgspec.structs.replace(message, digest=table.digest(self.kind)))
    else:
        original(self, message)


def _add_unverified_part(
    self: Follower, message: SnapshotPart, original: Callable[..., None] = Follower._add_part
) -> None:
    """Add a part of a snapshot whatever its digest."""
    if self.phase == "loading" and self.snapshot is not None:
        table = self.snapshot.update(message.sequence, message.items, self.kind)
        message = msgspec.structs.replace(message, digest=table.digest(self.kind))
    original(self, message)


def _use_partial_snapshot(
    self: Follower, message: SnapshotPart, original: Callable[..., None] = Follower._add_part
) -> None:
    """Use the state after each part of a snapshot."""
    original(self, message)
    if self.snapshot is not None:
        self.table = self.snapshot
        self._effects.append(SnapshotLoaded())


def _accept_older_snapshot(
    self: Follower, message: FollowAccepted, original: Callable[..., None] = Follower._on_accepted
) -> None:
    """Accept a snapshot that is older than the state held."""
    table = self.table
    if message.load_snapshot and message.sequence < table.sequence:
        self.table = table._replace(sequence=message.sequence)
        original(self, message)
        self.table = table
    else:
        original(self, message)


def _serve_client_ahead(
    self: Source, peer: int, served: Any, message: Any, original: Any = Source._on_follow
) -> str:
    """Serve a client that is ahead instead of refusing it."""
    newest = self.history.table.sequence
    answer = original(
        self, peer, served, msgspec.structs.replace(message, sequence=min(message.sequence, newest))
    )
    return str(answer)


def _accept_entries_of_any_sequence(
    self: LookupCache, message: Any, original: Callable[..., None] = LookupCache._on_tenant_entries
) -> None:
    """Accept a tenant's entries of any sequence number."""
    original(self, msgspec.structs.replace(message, sequence=self.follower.table.sequence))


def _return_true(self: Any, *_: Any) -> bool:
    """Skip a check."""
    return True


def _acknowledge_before_durable(self: Follower) -> None:
    """Acknowledge the state in memory as durable."""
    self._send(Acknowledge(self.table.sequence, self.table.sequence))


def _put_without_fencing(self: LeaseTable, put: Any, original: Callable[..., Any] = LeaseTable._put) -> Any:
    """Write a record without its fencing token."""
    return original(self, msgspec.structs.replace(put, name=""))


def _resume_without_records(self: FeedWriter) -> None:
    """Resume writing from the keeper's own state, whatever the records hold."""
    self._recovered_groups = ()
    self._start_writing()


def _treat_unanswered_as_refused(
    self: FeedWriter,
    now: int,
    event: WriterEvent,
    original: Callable[..., list[WriterEffect]] = FeedWriter.handle,
) -> list[WriterEffect]:
    """Refuse the changes of a write that got no answer."""
    if not isinstance(event, WriteDenied | WriteUnanswered):
        return original(self, now, event)
    flight = self.in_flight
    if flight is not None and event.slot == self._ring.slot:
        self._commit.in_flight = None
        for proposal in flight.changes:
            self._answer(ProposeResult(proposal.change.request_id, reason="no answer"))
        self._refuse_pending("no answer")
    effects = self._effects
    self._effects = []
    return effects


MUTANTS = (
    make_mutant("resume: a state is gone on from by its digest too", "another's state",
            History, "contains", _contains_by_number),
    make_mutant("a change is taken with its digest alone", "a change under way",
            Follower, "_apply_delta", _apply_unverified_delta),
    make_mutant("a snapshot is taken with its digest alone", "cold instance",
            Follower, "_add_part", _add_unverified_part),
    make_mutant("whole changes: no part counts before the last", "cold instance",
            Follower, "_add_part", _use_partial_snapshot),
    make_mutant("no older state is taken", "older relay", Follower, "_on_accepted", _accept_older_snapshot,
            Source, "_on_follow", _serve_client_ahead),
    make_mutant("a tenant is told and taken at the number held", "tenants",
            LookupCache, "_on_tenant_entries", _accept_entries_of_any_sequence,
            Source, "_has_newest", _return_true),
    make_mutant("the fence", "deposed writer", LeaseTable, "_put", _put_without_fencing),
    make_mutant("the cut rule: a majority has it on disk first", "ring full",
            FeedWriter, "_slot_is_free", _return_true),
    make_mutant("durable is what the disk has", "ring full",
            Follower, "_acknowledge", _acknowledge_before_durable),
    make_mutant("who takes over goes on from the records", "unanswered",
            FeedWriter, "_resume", _resume_without_records),
    make_mutant("a Put without an answer is settled by reading", "unanswered", FeedWriter, "handle",
            _treat_unanswered_as_refused),
)  # fmt: skip


def explore_scenario(name: str, states: int, patches: tuple[tuple[Any, str, Any], ...] = ()) -> Explored:
    """Explore a scenario of small limits, up to a number of states, under patches."""
    with patched((*SMALL, *patches)):
        return explore(_root(name), next_states, DEPTH, states)


def _root(name: str) -> FeedWorld:
    """Return the root world of a scenario."""
    return start_exploration(SCENARIOS[name])


def explore_mutant(index: int, states: int) -> Explored:
    """Explore the scenario of a mutant until the violation shows.

    The root world is built with the safeguard in index.

    Args:
        index: Which one of `MUTANTS`.
        states: Number of states at which the exploration ends.
    """
    removed = MUTANTS[index]
    with patched(SMALL):
        world = _root(removed.scenario)
        with patched(removed.patches):
            return explore(world, next_states, DEPTH, states)


def run_mutation_tests(states: int, tell: Callable[[str], None]) -> tuple[dict[str, Any], bool, bool]:
    """Explore every scenario and every mutant in this process.

    Args:
        states: States of each scenario, and of a mutant if more than `MIN_MUTANT_STATES`.
        tell: Called with each line of progress.

    Returns:
        The figures, whether every scenario held, and whether every mutant was caught.
    """
    runs = (explore_scenario(name, states) for name in SCENARIOS)
    hunts = (explore_mutant(index, max(MIN_MUTANT_STATES, states)) for index in range(len(MUTANTS)))
    return summarize_explorations(SCENARIOS, MUTANTS, runs, hunts, lambda line: tell(f"feed: {line}"))
