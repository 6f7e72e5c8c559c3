"""The feed explored from a few steps before its hard cases, and each protection taken out in turn: the
exploration has to find what it guards against."""

from collections.abc import Callable
from typing import Any

import msgspec

from thistleline.config_feed import record_ring as ring
from thistleline.config_feed import snapshot as snapshots
from thistleline.config_feed import source as serving
from thistleline.config_feed.effects import SnapshotLoaded
from thistleline.config_feed.events import TimerExpired
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
    begin,
    changed,
    fleet,
    following,
    settle,
)
from thistleline.lab.simulation.lease_mutants import account, mutant, without
from thistleline.lease.table import LeaseTable as Council

DEPTH = 60
# Small, so that a world of some steps comes to where it counts: two records in the ring, an entry a part.
SMALL: tuple[tuple[Any, str, Any], ...] = (
    (ring, "RING_SLOTS", 2),
    (serving, "PART_SIZE", 1),
    (snapshots, "PART_SIZE", 1),
)


# ---- where explorations begin


def _on_its_way(world: FeedWorld) -> FeedWorld:
    """One change more, which the relay has and the instance not yet."""
    world.propose("k0")
    world.decide(0)
    world.answer(0)
    while not world.links["i0"].down:
        world.hear("r0", bool(world.links["r0"].up))
    return world


def _followed() -> FeedWorld:
    """Two changes are made, all have them."""
    return changed(fleet(), 2)


def _cold() -> FeedWorld:
    """The instance is there again with nothing; the relay knows no steps."""
    world = changed(fleet(keepers=1), 2)
    world.disks["r0"] = world.nodes["r0"].table
    world.restart("r0")
    settle(world, lambda name: name[0] == "i")
    world.disks["i0"] = FeedTable()
    world.restart("i0")
    return world


def _strange() -> FeedWorld:
    """The instance comes with a state of this number that is another."""
    world = changed(fleet(keepers=1), 2)
    world.disks["i0"] = FeedTable().update(2, (("common/a", b'{"of another feed":1}', 1),), "wide")
    world.strange = ("i0",)
    world.restart("i0")
    return world


def _deposed() -> FeedWorld:
    """A Put of k0 is on its way to the council; the lease has gone to k1, which reads."""
    world = changed(fleet(keepers=2, relays=0, instances=0), 1)
    world.propose("k0")
    world.move("k1")
    return world


def _ring_full() -> FeedWorld:
    """Each of the two records holds a change that only the writer has on disk."""
    world = fleet(relays=0, instances=0)
    return changed(world, 2, lambda name: name in ("k1", "k2"))


def _unanswered() -> FeedWorld:
    """A Put of k0 was decided, the answer is on its way."""
    world = changed(fleet(keepers=2, relays=0, instances=0), 1)
    world.propose("k0")
    world.decide(0)
    return world


def _late_keeper() -> FeedWorld:
    """k2 has nothing, the records go round without it; nobody follows anybody at the moment."""
    world = changed(fleet(relays=0, instances=0), 3, lambda name: name == "k2")
    world.end("k2")
    return world


def _nobody_writes() -> FeedWorld:
    """k2 is two changes behind, whoever wrote has lost the lease and nobody has it."""
    world = changed(fleet(relays=0, instances=0), 1)
    world = changed(world, 2, lambda name: name == "k2")
    world.lose("k0")
    world.end("k2")
    return world


def _tenants() -> FeedWorld:
    """A change is on its way to the instance, which asks for a tenant that the next one takes away."""
    world = _on_its_way(changed(fleet(keepers=1), 4))
    world.look("i0")
    world.put("i0", TimerExpired())
    return world


def _two_relays() -> FeedWorld:
    """r1 is a change behind r0, and the instance follows r0."""
    world = changed(fleet(keepers=1, relays=2), 1)
    return changed(world, 1, lambda name: name == "r1")


def _under_way() -> FeedWorld:
    """A change is on its way to the instance."""
    return _on_its_way(changed(fleet(keepers=1), 1))


def _older_relay() -> FeedWorld:
    """The instance has lost r0 and asks r1, which is a change behind."""
    world = _two_relays()
    while world.links.get("i0", world.links["r0"]).server != "r1":
        if "i0" in world.links:
            world.end("i0")
        world.put("i0", TimerExpired())
    return world


SCENARIOS = {
    one.what: one
    for one in (
        Scenario("tenants", _tenants, changes=1, ends=1, looks=2),
        Scenario("followed", _followed, changes=2, ends=1, restarts=1, restarted=("r0", "i0", "k1")),
        Scenario("a change under way", _under_way, changes=1, ends=1, damages=1),
        Scenario("cold instance", _cold, changes=2, ends=1, damages=1),
        Scenario("another's state", _strange, changes=1, ends=1, damages=1),
        Scenario("deposed writer", _deposed, changes=2, losses=1, restarts=1, moves=1),
        Scenario("ring full", _ring_full, changes=2, restarts=1, moves=1, ticks=1),
        Scenario("unanswered", _unanswered, changes=1, again=1, losses=1, moves=1, restarts=1),
        Scenario("late keeper", _late_keeper, changes=1, moves=1, restarts=1, ends=1),
        Scenario("nobody writes", _nobody_writes, changes=1, moves=1, restarts=1, ends=1),
        Scenario("older relay", _older_relay, changes=1, ends=1, ticks=1),
        Scenario("two relays", _two_relays, changes=2, ends=2, restarts=1, restarted=("r0", "r1", "i0")),
    )
}


# ---- what is left out


def _by_number(self: History, number: int, digest: bytes, kind: Kind) -> bool:
    return number in self._digests


def _taken_anyhow(self: Follower, told: Any, had: Callable[..., None] = Follower._apply_delta) -> None:
    if self.phase == "following" and told.first == self.table.sequence:
        table = self.table.update(told.last, told.items, self.kind)
        had(self, msgspec.structs.replace(told, digest=table.digest(self.kind)))
    else:
        had(self, told)


def _part_taken_anyhow(
    self: Follower, told: SnapshotPart, had: Callable[..., None] = Follower._add_part
) -> None:
    if self.phase == "loading" and self.snapshot is not None:
        table = self.snapshot.update(told.sequence, told.items, self.kind)
        told = msgspec.structs.replace(told, digest=table.digest(self.kind))
    had(self, told)


def _part_counts(self: Follower, told: SnapshotPart, had: Callable[..., None] = Follower._add_part) -> None:
    had(self, told)
    if self.snapshot is not None:
        self.table = self.snapshot
        self._effects.append(SnapshotLoaded())


def _older_too(
    self: Follower, told: FollowAccepted, had: Callable[..., None] = Follower._on_accepted
) -> None:
    table = self.table
    if told.load_snapshot and told.sequence < table.sequence:
        self.table = table._replace(sequence=told.sequence)
        had(self, told)
        self.table = table
    else:
        had(self, told)


def _serves_ahead(self: Source, peer: int, served: Any, told: Any, had: Any = Source._on_follow) -> str:
    """Who is ahead is not refused."""
    newest = self.history.table.sequence
    answer = had(self, peer, served, msgspec.structs.replace(told, sequence=min(told.sequence, newest)))
    return str(answer)


def _of_any_number(
    self: LookupCache, told: Any, had: Callable[..., None] = LookupCache._on_tenant_entries
) -> None:
    had(self, msgspec.structs.replace(told, sequence=self.follower.table.sequence))


def _always(self: Any, *_: Any) -> bool:
    return True


def _at_once_durable(self: Follower) -> None:
    self._send(Acknowledge(self.table.sequence, self.table.sequence))


def _any_epoch(self: Council, put: Any, had: Callable[..., Any] = Council._put) -> Any:
    return had(self, msgspec.structs.replace(put, name=""))


def _own_table(self: FeedWriter) -> None:
    """Goes on from what it has, whatever the records hold."""
    self._recovered = ()
    self._start_writing()


def _taken_for_refused(
    self: FeedWriter,
    now: int,
    event: WriterEvent,
    had: Callable[..., list[WriterEffect]] = FeedWriter.handle,
) -> list[WriterEffect]:
    """No answer means that it was not made."""
    if not isinstance(event, WriteDenied | WriteUnanswered):
        return had(self, now, event)
    flight = self.in_flight
    if flight is not None and event.slot == self._ring.slot:
        self._commit.in_flight = None
        for one in flight.changes:
            self._answer(ProposeResult(one.change.request_id, reason="no answer"))
        self._refuse_pending("no answer")
    effects, self._effects = self._effects, []
    return effects


MUTANTS = (
    mutant("resume: a state is gone on from by its digest too", "another's state",
            History, "contains", _by_number),
    mutant("a change is taken with its digest alone", "a change under way",
            Follower, "_apply_delta", _taken_anyhow),
    mutant("a snapshot is taken with its digest alone", "cold instance",
            Follower, "_add_part", _part_taken_anyhow),
    mutant("whole changes: no part counts before the last", "cold instance",
            Follower, "_add_part", _part_counts),
    mutant("no older state is taken", "older relay", Follower, "_on_accepted", _older_too,
            Source, "_on_follow", _serves_ahead),
    mutant("a tenant is told and taken at the number held", "tenants",
            LookupCache, "_on_tenant_entries", _of_any_number,
            Source, "_has_newest", _always),
    mutant("the fence", "deposed writer", Council, "_put", _any_epoch),
    mutant("the cut rule: a majority has it on disk first", "ring full",
            FeedWriter, "_slot_is_free", _always),
    mutant("durable is what the disk has", "ring full", Follower, "_acknowledge", _at_once_durable),
    mutant("who takes over goes on from the records", "unanswered", FeedWriter, "_resume", _own_table),
    mutant("a Put without an answer is settled by reading", "unanswered", FeedWriter, "handle",
            _taken_for_refused),
)  # fmt: skip


def explored(what: str, states: int, patches: tuple[tuple[Any, str, Any], ...] = ()) -> Explored:
    with without((*SMALL, *patches)):
        return explore(_begun(what), following, DEPTH, states)


def _begun(what: str) -> FeedWorld:
    return begin(SCENARIOS[what])


def hunted(place: int, states: int) -> Explored:
    """Where it begins is come to with the protection in."""
    left_out = MUTANTS[place]
    with without(SMALL):
        world = _begun(left_out.scenario)
        with without(left_out.patches):
            return explore(world, following, DEPTH, states)


def prove(states: int, tell: Callable[[str], None]) -> tuple[dict[str, Any], bool, bool]:
    """Explores each scenario to so many states, and each mutant till its fault shows, 6,000 at the least, in
    this process. Whether all held that should, and whether all broke that should."""
    runs = (explored(what, states) for what in SCENARIOS)
    hunts = (hunted(place, max(6_000, states)) for place in range(len(MUTANTS)))
    return account(SCENARIOS, MUTANTS, runs, hunts, lambda line: tell(f"feed: {line}"))
