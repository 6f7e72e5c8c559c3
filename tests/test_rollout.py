"""Steward and conductor: a change of program or settings in stages, stopped when a stage does worse."""

import hashlib
import json
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec
import pytest

from thistleline.config.loader import parse_config
from thistleline.lab.ledger import SETTINGS
from thistleline.lab.processes.harness import free_port
from thistleline.lab.processes.machines import SupervisedFleet
from thistleline.lab.simulation.explorer import explore
from thistleline.lab.simulation.lease_mutants import patched
from thistleline.lab.simulation.rollout_world import RolloutWorld, returned_in_last_stage
from thistleline.lab.simulation.rollout_world import next_states as next_rollout_states
from thistleline.lab.simulation.rollouts import HARMS, Harm, simulate_rollout
from thistleline.lab.simulation.supervisor_world import (
    SideBySideWorld,
    SupervisorWorld,
    explore_randomly,
    next_states,
    side_by_side_next_states,
)
from thistleline.lease.protocol import MAX_VALUE_SIZE, Put
from thistleline.lease.table import validate
from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.canary import CanaryAnalysis
from thistleline.rollout.confidence import ConfidenceSequence
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.effects import SetDesiredVersion, StoreRecord
from thistleline.rollout.events import Event as RolloutEvent
from thistleline.rollout.events import OrderReceived, RecordStored, ServersObserved
from thistleline.rollout.metrics import SlotSample
from thistleline.rollout.order import Order, start_fault
from thistleline.rollout.record import HistoryEntry, RolloutRecord
from thistleline.rollout.server_changes import DownBudget
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.stages import STAGES, choose_controls, choose_targets
from thistleline.rollout.timing import RolloutTiming
from thistleline.store.latest import LatestValueStore
from thistleline.supervisor.effects import KillServer, PersistState, SpawnServer, VerifyVersion
from thistleline.supervisor.errors import ReleaseError
from thistleline.supervisor.events import (
    ConsensusPolled,
    DesiredVersionReceived,
    Event,
    ServerExited,
    ServerSpawned,
    StatePersisted,
    StateRecovered,
    VersionVerified,
)
from thistleline.supervisor.model import DesiredVersion, SupervisorState, Version
from thistleline.supervisor.releases import Releases, content_digest, ledger_formats
from thistleline.supervisor.service import SupervisorService
from thistleline.supervisor.settings import unfit_settings
from thistleline.supervisor.state_machine import AfterPersist, Supervisor
from thistleline.supervisor.timing import SECOND

OLD, NEW = Version("1", "a"), Version("2", "b")


# ---- the judge


def test_bounds_hold_at_any_look() -> None:
    """Who stops whenever the bounds exclude the truth is fooled in few of many runs."""
    fooled = 0
    for seed in range(200):
        chance, bounds = Random(seed), ConfidenceSequence(0.1)
        for _ in range(300):
            bounds.add(min(1.0, max(0.0, chance.gauss(0.4, 0.15))))
            if not bounds.lower <= 0.4 <= bounds.upper:
                fooled += 1
                break
    assert fooled <= 20
    assert bounds.upper - bounds.lower < 0.2


def judged(
    harm: float,
    new: int,
    old: int,
    slots: int,
    seed: int = 1,
    hit: Callable[[int, str], float] = lambda s, i: 0.0,
) -> Any:
    judge, chance = CanaryAnalysis(("z0", "z1", "z2"), 0.02, 36), Random(seed)
    ids = [(f"s{k}", f"z{k % 3}", k < new) for k in range(new + old)]
    for slot in range(slots):
        told = []
        for id, zone, is_new in ids:
            served = min(1.0, max(0.0, chance.gauss(0.9, 0.03) - (harm if is_new else 0) - hit(slot, id)))
            told.append(SlotSample(id, zone, is_new, False, 50, served, 0.05, 0.02, 0.1, 0.3, 0, 0))
        judge.add_slot(told, [id for id, _, is_new in ids if is_new])
        verdict = judge.judge({id: zone for id, zone, _ in ids})
        if verdict[0] != "can't tell":
            break
    return verdict


def test_what_is_worse_is_found_and_what_is_not_passes() -> None:
    assert judged(0.08, 6, 24, 120)[0] == "worse"
    assert judged(0.0, 6, 24, 120)[0] == "not worse"


def test_what_hits_old_and_new_alike_stops_nothing() -> None:
    assert judged(0.0, 6, 24, 120, hit=lambda slot, id: 0.3 if slot % 9 < 3 else 0.0)[0] == "not worse"


def test_new_ones_that_reject_are_found_though_their_traffic_weighs_on_the_old_ones() -> None:
    """Six of thirty turn a fifth away; the old ones get it and do worse than before themselves."""
    judge, chance = CanaryAnalysis(("z0", "z1", "z2"), 0.02, 36), Random(1)
    verdict = ""
    for _ in range(120):
        told = []
        for k in range(30):
            new = k < 6
            tasks, served = (40, chance.gauss(0.75, 0.03)) if new else (54, chance.gauss(0.86, 0.02))
            rejected = 0.22 if new else 0.09
            told.append(
                SlotSample(f"s{k}", f"z{k % 3}", new, False, tasks, served, rejected, 0.02, 0.1, 0.3, 0, 0)
            )
        judge.add_slot(told, [f"s{k}" for k in range(6)])
        verdict = judge.judge({f"s{k}": f"z{k % 3}" for k in range(6)})[0]
        if verdict != "can't tell":
            break
    assert verdict == "worse"


def test_a_neighbour_s_trouble_on_one_new_server_stops_nothing() -> None:
    assert judged(0.0, 6, 24, 100, hit=lambda slot, id: 0.3 if id == "s0" else 0.0)[0] != "worse"


@pytest.mark.parametrize(("slots", "why"), [
    ([SlotSample("s0", "z0", True, False, 50, 1.0, 0, 0, 0, 0, 0, 1)], "broke a rule"),
    ([SlotSample("s0", "z0", True, False, 50, 1.0, 0, 0, 0, 0, 3, 0)], "crashes again"),
    ([], "silent"),
    ([SlotSample("s0", "z0", True, False, 0, 0.0, 0, 0, 0, 0, 0, 0),
      SlotSample("s1", "z0", False, False, 50, 1.0, 0, 0, 0, 0, 0, 0)], "silent"),
])  # fmt: skip
def test_a_broken_rule_a_crash_loop_and_silence_stop_at_once(slots: list[SlotSample], why: str) -> None:
    judge = CanaryAnalysis(("z0",), 0.02, 36)
    for _ in range(4):
        judge.add_slot(slots, ["s0"])
    verdict, _, told = judge.judge({"s0": "z0"})
    assert verdict == "worse"
    assert why in told


# ---- the conductor


def seen(count: int, version: Version = OLD, **changes: Any) -> list[ServerStatus]:
    told: dict[str, Any] = {"alive": True, "release": version.release, "settings": 0, "accepting": True,
            "warm": True,
            "figures": (0, 0, 0, 0, 0, 0, 0, 1)} | changes  # fmt: skip
    return [ServerStatus(f"s{place:02}", f"z{place % 3}", **told) for place in range(count)]


def test_stages_grow_across_zones_and_controls_stand_beside() -> None:
    fleet, sizes = seen(30), []
    chosen: tuple[str, ...] = ()
    for stage in STAGES:
        chosen = choose_targets(stage, chosen, fleet)
        sizes.append(len(chosen))
    assert sizes == [1, 3, 3, 15, 30]
    assert {id for id in choose_targets("one a zone", (), fleet)} == {"s00", "s01", "s02"}
    beside = choose_controls("one", ("s00",), fleet)
    assert len(beside) == 2
    assert all(int(id[1:]) % 3 == 0 and id != "s00" for id in beside)


@pytest.mark.parametrize(("changes", "why"), [
    ({"version": OLD}, "nothing would change"),
    ({"version": Version("1", "other")}, "other content"),
    ({"version": Version("2", "b", 5, "x"), "base": Version("1", "a", 5, "y")}, "other content"),
    ({"stages": ("one", "half")}, "'all' is the last"),
    ({"max_down": 0}, "no server down"),
    ({"version": Version("2", "b", 0, "", (2, 3), 3), "base": Version("1", "a", 0, "", (1, 2), 2)},
     "2 writes a ledger of form 3, 1 reads 1, 2: there is no way back"),
    ({"version": None}, "names no version"),
])  # fmt: skip
def test_an_order_that_makes_no_sense_is_refused_with_the_reason(changes: dict[str, Any], why: str) -> None:
    told = {"version": NEW, "base": OLD} | changes
    assert why in start_fault(Order(1, "start", **told))


class Stage:
    """A conductor with a fleet that does as it is told, one step a call."""

    def __init__(self, fleet: int, **order: Any) -> None:
        self.now = 0
        self.members = {one.id: one for one in seen(fleet)}
        self.controller = RolloutController(0, lambda: 0, None, RolloutTiming())
        self.roll: RolloutRecord | None = None
        self.wants: list[tuple[str, Version]] = []
        self.step()
        self.put(OrderReceived(Order(1, "start", "", NEW, OLD, **order)))

    def put(self, event: RolloutEvent) -> None:
        effects = self.controller.handle(self.now, event)
        for effect in effects:
            match effect:
                case StoreRecord(record):
                    self.roll = record
                    effects += self.controller.handle(self.now, RecordStored())
                case SetDesiredVersion(id, version):
                    self.wants.append((id, version))

    def step(self) -> None:
        self.now += SECOND
        self.put(ServersObserved(list(self.members.values())))
        self.put(DeadlineReached())

    def show(self, id: str, **changes: Any) -> None:
        self.members[id] = self.members[id]._replace(**changes)


def test_no_more_servers_are_down_at_once_than_is_allowed_whoever_took_them_down() -> None:
    stage = Stage(9, stages=("all",), max_down=3, max_down_per_zone=1)
    stage.show("s03", alive=False, accepting=False)  # of z0, for reasons of its own
    for _ in range(3):
        stage.step()
    assert {id for id, _ in stage.wants} <= {"s01", "s02", "s04", "s05", "s07", "s08"}
    assert len(stage.wants) == 2
    stage.show("s03", alive=True, accepting=True)
    stage.step()
    assert len(stage.wants) == 3


def test_one_that_stays_down_and_leaves_no_room_is_asked_about_not_waited_for() -> None:
    stage = Stage(9, stages=("all",), max_down=3, max_down_per_zone=1)
    stage.show("s03", alive=False, accepting=False)
    for id in ("s01", "s02", "s04", "s05", "s07", "s08"):
        for _ in range(2):
            stage.step()
        for wanted, version in stage.wants:
            stage.show(wanted, release=version.release)
        assert stage.members[id].zone != "z0"
    for _ in range(200):
        stage.step()
    assert stage.roll is not None
    assert stage.roll.phase == "asking"
    assert "no room to change s00: down are s03" in stage.roll.reason
    stage.show("s03", alive=True, accepting=True)
    stage.put(OrderReceived(Order(2, "resume", "it is back")))
    stage.step()
    assert stage.wants[-1][0] == "s00"


def test_going_back_while_a_stage_goes_forward_brings_all_to_the_base() -> None:
    stage = Stage(9, stages=("one", "all"), max_down=2, max_down_per_zone=2)
    for _ in range(3):
        stage.step()
    first = stage.wants[0][0]
    stage.show(first, release="2")
    stage.put(OrderReceived(Order(2, "skip", "no time")))
    for _ in range(3):
        stage.step()
    under_way = [id for id, version in stage.wants if version == NEW and id != first]
    assert under_way  # wanted, and not there yet
    stage.put(OrderReceived(Order(3, "back", "a bad feeling")))
    for _ in range(30):
        for id in stage.members:
            last = [version for wanted, version in stage.wants if wanted == id]
            if last:
                stage.show(id, release=last[-1].release)
        stage.step()
    assert stage.roll is not None
    assert stage.roll.phase == "back"
    assert {one.release for one in stage.members.values()} == {OLD.release}


def test_a_change_while_another_runs_is_refused_and_a_pause_holds_all() -> None:
    stage = Stage(9)
    stage.step()
    stage.put(OrderReceived(Order(2, "start", "", Version("3", "c"), OLD)))
    assert stage.roll is not None
    assert stage.roll.number == 1
    stage.put(OrderReceived(Order(3, "pause", "lunch")))
    before = len(stage.wants)
    for _ in range(5):
        stage.step()
    assert stage.roll.phase == "paused"
    assert len(stage.wants) == before


def test_one_that_does_not_come_up_in_time_takes_all_back() -> None:
    stage = Stage(9)
    stage.step()
    stage.step()
    assert stage.wants[0][1] == NEW
    stage.show(stage.wants[0][0], accepting=False, release="")
    stage.now += RolloutTiming().change_timeout
    stage.step()
    stage.step()
    assert stage.roll is not None
    assert stage.roll.phase == "backing"
    assert stage.wants[-1] == (stage.wants[0][0], OLD)


def test_a_member_that_was_away_comes_back_to_what_the_fleet_runs_now() -> None:
    stage = Stage(3, stages=("all",), max_down=3, max_down_per_zone=3)
    stage.show("s02", alive=False, accepting=False)
    for _ in range(300):
        for id, version in stage.wants:
            if stage.members[id].alive:
                stage.show(id, release=version.release)
        stage.step()
    assert stage.roll is not None
    assert stage.roll.phase == "done"
    stage.wants.clear()
    stage.show("s02", alive=True, accepting=True)
    stage.step()
    assert stage.wants == [("s02", NEW)]


@pytest.mark.parametrize("harm", [Harm(), *HARMS[2:]], ids=lambda harm: harm.what)
def test_rolls_in_virtual_time_end_as_they_should_through_successions(harm: Harm) -> None:
    told = simulate_rollout(30, 3, harm, 2, steps=1200, successions=0.004)
    if harm.what == "none":
        assert told.phase in ("done", "asking")
    elif harm.cold_only:
        assert told.phase in ("back", "asking", "done")
    else:
        assert told.phase == "back", told
        assert told.most_new <= 10
    assert told.most_down <= 3 + 2  # and those that died


def figured(came: int, done: int, worth: tuple[int, int], crashes: int = 0) -> dict[str, Any]:
    return {"figures": (came, done, 0, 0, 0, 0, crashes, 1), "value": worth}


@pytest.mark.parametrize(("says", "served"), [(True, 0.5), (False, 0.9)])
def test_what_work_was_worth_is_compared_only_where_all_say_it(says: bool, served: float) -> None:
    stage = Stage(9)
    told: list[SlotSample] = []
    for step in range(1, 12):
        for id in stage.members:
            worth = (1000 * step, 500 * step) if says or id != "s08" else (0, 0)
            stage.show(id, **figured(100 * step, 90 * step, worth))
        stage.step()
        if stage.controller.analysis is not None:
            setattr(stage.controller.analysis, "add_slot", lambda slots, _: told.extend(slots))  # noqa: B010
    assert {round(one.served, 2) for one in told} == {served}


def test_a_successor_counts_crashes_from_where_the_stage_began() -> None:
    stage = Stage(9)
    for id in stage.members:
        stage.show(id, **figured(0, 0, (0, 0), 1))
    stage.step()
    assert stage.roll is not None
    new = stage.roll.targets[0]
    stage.show(new, accepting=False, release="", figures=(0, 0, 0, 0, 0, 0, 3, 2))
    stage.controller = RolloutController(stage.now, lambda: 0, stage.roll, RolloutTiming())
    for _ in range(12):
        stage.step()
    assert stage.roll.phase == "backing"
    assert "2 crashes" in stage.roll.reason or "crashes of new servers" in stage.roll.reason


# ---- the steward


def test_no_server_is_started_twice_or_unknown_whenever_the_steward_dies() -> None:
    found = explore(SupervisorWorld(), next_states, 40, 20_000)
    assert not found.wrong, found.trace


def _spawn_unnoted(self: Supervisor, version: Version) -> None:
    self.phase = "spawning"
    state = self.state
    self.state = SupervisorState(state.desired, version, state.incarnation + 1, state.last_good)
    self._effects.append(SpawnServer(self.state.incarnation, version))
    self._effects.append(PersistState(self.state))
    self._continuations.append(None)


def _any_want(self: Supervisor, want: DesiredVersion, had: Any = Supervisor._on_desired_version) -> None:
    state, known = self.state, self.state.desired
    if known is not None and (want.epoch, want.number) < (known.epoch, known.number):
        followed = SupervisorState(want, state.running, state.incarnation, state.last_good)
        self._persist(followed, AfterPersist.CONVERGE)
    else:
        had(self, want)


def _unverified(self: Supervisor, why: str, had: Any = Supervisor._on_verified) -> None:
    had(self, "")


@pytest.mark.parametrize(("name", "put", "wanted"), [
    ("_spawn", _spawn_unnoted, "not recorded on disk"),
    ("_on_desired_version", _any_want, "an older rollout controller"),
    ("_on_verified", _unverified, "invalid version is started"),
])  # fmt: skip
def test_a_protection_of_the_steward_left_out_is_found(name: str, put: Any, wanted: str) -> None:
    with patched(((Supervisor, name, put),)):
        assert wanted in explore(SupervisorWorld(), next_states, 40, 60_000).wrong


def _heir_unnoted(self: Supervisor, version: Version) -> None:
    life = self.state.next_incarnation()
    self.phase = "succeeding"
    self.takeover.begin(self.now)
    self.state = msgspec.structs.replace(
        self.state, successor=version, successor_incarnation=life, last_incarnation=life
    )
    self._effects += [SpawnServer(life, version), PersistState(self.state)]
    self._continuations.append(None)


def _heir_forgotten(self: Supervisor, event: StateRecovered, had: Any = Supervisor._on_recovered) -> None:
    had(self, replace(event, successor_alive=False))


def _elder_forgotten(self: Supervisor, life: int, had: Any = Supervisor._on_ready) -> None:
    had(self, life)
    self.takeover.predecessor_ended()


def _never_again(self: Supervisor, had: Any = Supervisor._on_timer) -> None:
    if self.phase != "running":
        had(self)


def test_beside_each_other_two_live_at_most_and_what_is_wanted_comes_to_serve() -> None:
    assert explore(SideBySideWorld(), side_by_side_next_states, 60, 20_000).wrong == ""
    assert explore_randomly(range(400), 150) == ""


@pytest.mark.parametrize(("name", "put", "wanted"), [
    ("_spawn_successor", _heir_unnoted, "not recorded on disk"),
    ("_on_recovered", _heir_forgotten, "too many are alive"),
    ("_on_ready", _elder_forgotten, "too many are alive"),
    ("_on_timer", _never_again, "does not serve in the end"),
])  # fmt: skip
def test_a_protection_of_the_change_beside_left_out_is_found(name: str, put: Any, wanted: str) -> None:
    with patched(((Supervisor, name, put),)):
        assert wanted in explore_randomly(range(1500), 150)


@pytest.mark.parametrize("root", [RolloutWorld, returned_in_last_stage])
def test_a_rollout_stays_within_its_limits_whenever_controllers_and_servers_die(
    root: Callable[[], RolloutWorld],
) -> None:
    found = explore(root(), next_rollout_states, 60, 8_000)
    assert not found.wrong, found.trace
    assert found.states >= 8_000


def _no_limit(self: DownBudget, zone: str) -> bool:
    return True


def _roll_forward(self: RolloutController, record: RolloutRecord) -> None:
    self._steer(record, dict.fromkeys(self.servers, record.version))


@pytest.mark.parametrize(("where", "name", "put", "wanted"), [
    (DownBudget, "has_room", _no_limit, "are down at once"),
    (RolloutController, "_roll_back", _roll_forward, "during a rollback"),
])  # fmt: skip
def test_a_broken_rollout_controller_is_found(where: type, name: str, put: Any, wanted: str) -> None:
    with patched(((where, name, put),)):
        assert wanted in explore(returned_in_last_stage(), next_rollout_states, 60, 8_000).wrong


def kept(good: Version | None = OLD) -> Supervisor:
    made = Supervisor(SECOND, 0)
    made.handle(0, StateRecovered(SupervisorState(DesiredVersion(1, 1, OLD), OLD, 3, good), True))
    return made


def through(supervisor: Supervisor, now: int, event: Event) -> list[Version]:
    """Carries out what is asked at once, but the server's end; what it spawned comes back."""
    effects, spawned = supervisor.handle(now, event), []
    for effect in effects:
        match effect:
            case PersistState():
                effects += supervisor.handle(now, StatePersisted())
            case VerifyVersion():
                effects += supervisor.handle(now, VersionVerified(""))
            case SpawnServer(_, version):
                spawned.append(version)
                effects += supervisor.handle(now, ServerSpawned(1))
    return spawned


def test_a_crash_loop_is_given_up_and_taken_back_alone_only_without_the_council() -> None:
    supervisor, now = kept(), SECOND
    through(supervisor, now, DesiredVersionReceived(DesiredVersion(1, 2, NEW)))
    spawned = through(supervisor, now, ServerExited(0))
    assert spawned == [NEW]
    for _ in range(4):
        now += SECOND // 10
        assert through(supervisor, now, ServerExited(1)) == []
        now += 6 * SECOND
        assert through(supervisor, now, DeadlineReached()) == [NEW]
    through(supervisor, now, ServerExited(1))
    assert supervisor.phase == "failed"
    through(supervisor, now, ConsensusPolled(True))
    assert through(supervisor, now + 20 * SECOND, DeadlineReached()) == []
    through(supervisor, now + 21 * SECOND, ConsensusPolled(False))
    assert through(supervisor, now + 40 * SECOND, DeadlineReached()) == [OLD]
    assert (
        through(supervisor, now + 41 * SECOND, DesiredVersionReceived(DesiredVersion(1, 2, NEW))) == []
    )  # not that one again


def test_one_that_does_not_end_in_time_is_killed() -> None:
    supervisor = kept()
    through(supervisor, SECOND, DesiredVersionReceived(DesiredVersion(1, 2, NEW)))
    assert supervisor.phase == "stopping"
    assert supervisor.handle(2 * SECOND, DeadlineReached()) == []
    assert KillServer(3) in supervisor.handle(3 * SECOND, DeadlineReached())
    assert KillServer(3) not in supervisor.handle(4 * SECOND, DeadlineReached())


def test_a_release_is_known_by_all_that_is_in_it(tmp_path: Path) -> None:
    source = tmp_path / "source"
    source.mkdir()
    (source / "run").write_text("#!/bin/sh\n")
    with pytest.raises(ReleaseError, match="can be executed"):
        Releases(tmp_path / "r").add("1", source)
    (source / "run").chmod(0o755)
    releases = Releases(tmp_path / "r")
    digest = releases.add("1", source)
    assert releases.add("1", source) == digest
    releases.verify("1", digest)
    (source / "more").write_text("x")
    assert content_digest(source) != digest
    with pytest.raises(ReleaseError, match="another content"):
        releases.add("1", source)
    (tmp_path / "r" / "1" / "run").write_text("#!/bin/sh\nexit 1\n")
    with pytest.raises(ReleaseError, match="digest"):
        releases.verify("1", digest)
    for name in ("../1", "", ".x"):
        with pytest.raises(ReleaseError):
            releases.verify(name, digest)


def test_what_a_release_says_of_the_ledger_is_a_part_of_it(tmp_path: Path) -> None:
    assert ledger_formats(tmp_path) == ((), 0)
    (tmp_path / "forms").write_text("1 2 writes 2\n")
    assert ledger_formats(tmp_path) == ((1, 2), 2)
    (tmp_path / "forms").write_text("two\n")
    with pytest.raises(ReleaseError, match="does not say"):
        ledger_formats(tmp_path)


@pytest.mark.parametrize(("changes", "limits", "why"), [
    ({"classes": 3}, None, "TypeError"),
    ({"classes": []}, None, "no stages"),
    ({"classes": 2 * SETTINGS["classes"]}, None, "two stages 'booking'"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "cpus": 0}}, None, "without cores"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "memoryKb": 0}}, None, "without memory"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "dependsOn": "shared"}}, None, ""),
    ({"projects": []}, None, ""),
    ({"familyInfo": {**SETTINGS["familyInfo"], "upstreams": 600}}, {"sockets": 512, "memory_mb": 256},
     "more than 512 descriptors"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "upstreams": 400}}, {"sockets": 512, "memory_mb": 32},
     "more than a quarter of 32 MB"),
    ({}, {"sockets": 512, "memory_mb": 256}, ""),
])  # fmt: skip
def test_settings_that_no_server_could_take_are_turned_down_with_the_reason(
    changes: dict[str, Any], limits: dict[str, Any] | None, why: str
) -> None:
    told = unfit_settings(json.dumps({**SETTINGS, **changes}).encode(), limits)
    assert (why in told) if why else told == ""


@pytest.mark.parametrize(
    ("size", "why"),
    [(MAX_VALUE_SIZE, ""), (MAX_VALUE_SIZE + 1, f"{MAX_VALUE_SIZE + 1} bytes, {MAX_VALUE_SIZE} at most")],
)
def test_the_check_and_the_council_take_settings_of_the_same_size(size: int, why: str) -> None:
    content = json.dumps(SETTINGS).encode()
    content += b" " * (size - len(content))
    assert unfit_settings(content) == why
    assert bool(validate(Put("settings/1", content, 0))) == bool(why)


def test_the_latest_value_outlives_a_torn_write(tmp_path: Path) -> None:
    kept = LatestValueStore(tmp_path, "x")
    for value in (b"one", b"two", b"three"):
        kept.put(value)
    kept.close()
    (path,) = tmp_path.glob("*.x")
    path.write_bytes(path.read_bytes()[:-10])
    again = LatestValueStore(tmp_path, "x")
    assert again.value == b"three"  # its first copy
    again.close()
    path.write_bytes(path.read_bytes()[:-10])
    assert LatestValueStore(tmp_path, "x").value == b"two"


# ---- what is stored


VERSION_STORED = '{"release":"2.4","digest":"d","settings":17,"settings_digest":"s","reads":[2,3],"writes":3}'
BASE_STORED = '{"release":"2.3","digest":"c","settings":0,"settings_digest":"","reads":[],"writes":0}'
DESIRED_STORED = f'{{"epoch":3,"number":7,"version":{VERSION_STORED},"turn":2}}'


def test_what_is_stored_keeps_its_encoded_names() -> None:
    version, base = Version("2.4", "d", 17, "s", (2, 3), 3), Version("2.3", "c")
    desired = DesiredVersion(3, 7, version, 2)
    history = (HistoryEntry(1_700_000_000_000, "start", "x"),)
    told: dict[str, msgspec.Struct] = {
        f'{{"want":{DESIRED_STORED},"running":{VERSION_STORED},"life":9,"good":{BASE_STORED},'
        f'"refused":{DESIRED_STORED},"heir":{VERSION_STORED},"heir_life":10,"last":11}}':
            SupervisorState(desired, version, 9, base, desired, version, 10, 11),
        f'{{"number":4,"version":{VERSION_STORED},"base":{BASE_STORED},"stages":["one","all"],"down":3,'
        '"down_zone":1,"phase":"paused","stage":1,"controls":["s1"],"targets":["s0"],"crashes":[["s0",2]],'
        '"why":"why","order":5,"past":[[1700000000000,"start","x"]]}':
            RolloutRecord(4, version, base, ("one", "all"), 3, 1, "paused", 1, ("s1",), ("s0",),
                          (("s0", 2),), "why", 5, history),
        f'{{"number":5,"what":"start","why":"r","version":{VERSION_STORED},"base":{BASE_STORED},'
        '"stages":["one","all"],"down":3,"down_zone":2}':
            Order(5, "start", "r", version, base, ("one", "all"), 3, 2),
    }  # fmt: skip
    for stored, value in told.items():
        assert msgspec.json.encode(value).decode() == stored
        assert msgspec.json.decode(stored, type=type(value)) == value


# ---- programs


@asynccontextmanager
async def machines(folder: Path, count: int, beside: bool) -> AsyncIterator[SupervisedFleet]:
    async with anyio.create_task_group() as group:
        made = SupervisedFleet(folder, group, 1, count, 3, beside, "1s")
        try:
            await made.start()
            group.start_soon(made.generate_load)
            yield made
        finally:
            made.close()
            group.cancel_scope.cancel()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
@pytest.mark.parametrize("beside", [False, True], ids=["one after another", "beside"])
async def test_a_change_goes_through_three_machines_and_a_bad_one_is_taken_back(
    tmp_path: Path, beside: bool
) -> None:
    async with machines(tmp_path, 3, beside) as fleet:
        names = ["m0", "m1", "m2"]

        def all_run(release: str) -> bool:
            return all(fleet.serving(name)[0] == release for name in names)

        # At first nothing runs: the base is brought to all by a change from nothing.
        folder = str(tmp_path / "releases")
        order = ("roll", "start", "--down", "3", "--down-zone", "3", "--stage", "all")
        assert (await fleet.run_command(*order, "--release", f"{folder}/base")).returncode == 0
        await fleet.wait_until("all base", lambda: all_run("base"))
        assert (await fleet.wait_for_rollout(60, 1)).phase == "done"

        # A steward is killed, its server runs on and is found again.
        life = fleet.serving("m1")[1]
        fleet.fleet.processes["m1"].kill()
        fleet.fleet.processes["m1"].start()

        # A good one goes through, its conductors killed on the way.
        stages = (*order[:-1], "one", "--stage", "all", "--release")
        told = await fleet.run_command(*stages, f"{folder}/good", "--from-release", f"{folder}/base")
        assert told.returncode == 0
        await fleet.wait_until("one good", lambda: any(fleet.serving(name)[0] == "good" for name in names))
        assert fleet.serving("m1") == ("base", life)
        for name in ("c0", "c1"):
            fleet.fleet.processes[name].kill()
            fleet.fleet.processes[name].start()
        assert (await fleet.wait_for_rollout(90, 2)).phase == "done"
        await fleet.wait_until("all good", lambda: all_run("good"))

        # A bad one is stopped at the first server and taken back.
        assert (await fleet.run_command(*stages, f"{folder}/no-start")).returncode == 0
        assert (await fleet.wait_for_rollout(60, 3)).phase == "back"
        await fleet.wait_until("all good again", lambda: all_run("good"))
        reached = fleet.machines_reached("no-start")
        assert len(reached) == 1
        if beside:  # its server never went away
            assert fleet.serving(reached[0])[1] == 2
        assert b"back" in (await fleet.run_command("roll", "history")).stdout
        fleet.load_scope.cancel()
        judged = fleet.judge()
        broken = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result")
        assert [judged.get(what, 0) for what in broken] == 4 * [0]


@pytest.mark.anyio
async def test_a_server_that_ends_before_it_can_be_watched_ends_no_steward(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On a busy machine it is gone, and reaped, before its steward comes to look at it."""

    def gone(pid: int) -> int:
        raise ProcessLookupError(3, "No such process")

    monkeypatch.setattr(os, "pidfd_open", gone)
    (tmp_path / "source").mkdir()
    (tmp_path / "source" / "run").write_text("#!/bin/sh\nexit 3\n")
    (tmp_path / "source" / "run").chmod(0o755)
    digest = Releases(tmp_path / "releases").add("bad", tmp_path / "source")
    (tmp_path / "plate.json").write_text("{}")
    told = (f"members name m\nmembers listen 127.0.0.1:{free_port()}\ncouncil voter a=127.0.0.1:9\n"
            f"steward folder {tmp_path}/s\nsteward plate {tmp_path}/plate.json\n"
            f"steward releases {tmp_path}/releases\n")  # fmt: skip
    service = SupervisorService(parse_config("conf", told), lambda *_, **__: None)
    async with anyio.create_task_group() as group:
        service.group, supervisor = group, service.supervisor
        supervisor.phase, supervisor.state = "spawning", SupervisorState(None, Version("bad", digest), 1)
        await service._spawn(1, Version("bad", digest))
        with anyio.fail_after(10):
            while not supervisor.crashes.recent:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_settings_are_checked_before_they_are_kept_and_never_change(tmp_path: Path) -> None:
    async with anyio.create_task_group() as group:
        fleet = SupervisedFleet(tmp_path, group, 1, 1, 1)
        try:
            await fleet.fleet.start_replicas()
            await fleet.fleet.form()
            good, bad = tmp_path / "good.json", tmp_path / "bad.json"
            good.write_text(json.dumps(SETTINGS))
            bad.write_text(json.dumps({**SETTINGS, "classes": 3}))
            assert (await fleet.run_command("settings", "add", "1", str(bad))).returncode == 2
            told = await fleet.run_command("settings", "add", "1", str(good))
            assert hashlib.sha256(good.read_bytes()).hexdigest().encode() in told.stdout
            assert (await fleet.run_command("settings", "add", "1", str(good))).returncode == 1
            assert json.loads((await fleet.run_command("settings", "show", "1")).stdout) == SETTINGS
            other = tmp_path / "other.json"
            other.write_text(json.dumps({**SETTINGS, "overShareWorth": 0.5}))
            assert (await fleet.run_command("settings", "add", "2", str(other))).returncode == 0
            told = await fleet.run_command("settings", "diff", "1", "2")
            assert told.stdout == b"-overShareWorth = 1.0\n+overShareWorth = 0.5\n"
            listed = (await fleet.run_command("settings", "history")).stdout.splitlines()
            assert [line.split()[0] for line in listed] == [b"1", b"2"]
        finally:
            fleet.close()
            group.cancel_scope.cancel()
