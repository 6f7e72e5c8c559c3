"""Supervisor and rollout controller: staged rollouts of releases and settings, stopped if they are worse."""

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


# ---- canary analysis


def test_confidence_bounds_are_valid_at_any_stopping_time() -> None:
    """The bounds, checked after each sample, exclude the true mean in at most alpha of the runs."""
    excluded = 0
    for seed in range(200):
        rng, bounds = Random(seed), ConfidenceSequence(0.1)
        for _ in range(300):
            bounds.add(min(1.0, max(0.0, rng.gauss(0.4, 0.15))))
            if not bounds.lower <= 0.4 <= bounds.upper:
                excluded += 1
                break
    assert excluded <= 20
    assert bounds.upper - bounds.lower < 0.2


def run_analysis(
    harm: float,
    new: int,
    old: int,
    slots: int,
    seed: int = 1,
    loss: Callable[[int, str], float] = lambda slot, id: 0.0,
) -> Any:
    analysis, rng = CanaryAnalysis(("z0", "z1", "z2"), 0.02, 36), Random(seed)
    ids = [(f"s{k}", f"z{k % 3}", k < new) for k in range(new + old)]
    for slot in range(slots):
        samples = []
        for id, zone, is_new in ids:
            served = min(1.0, max(0.0, rng.gauss(0.9, 0.03) - (harm if is_new else 0) - loss(slot, id)))
            samples.append(SlotSample(id, zone, is_new, False, 50, served, 0.05, 0.02, 0.1, 0.3, 0, 0))
        analysis.add_slot(samples, [id for id, _, is_new in ids if is_new])
        verdict = analysis.judge({id: zone for id, zone, _ in ids})
        if verdict[0] != "can't tell":
            break
    return verdict


def test_a_worse_version_is_detected_and_a_harmless_one_passes() -> None:
    assert run_analysis(0.08, 6, 24, 120)[0] == "worse"
    assert run_analysis(0.0, 6, 24, 120)[0] == "not worse"


def test_a_loss_on_old_and_new_servers_alike_is_not_judged_worse() -> None:
    assert run_analysis(0.0, 6, 24, 120, loss=lambda slot, id: 0.3 if slot % 9 < 3 else 0.0)[0] == "not worse"


def test_rejecting_new_servers_are_detected_despite_their_load_moving_to_old_servers() -> None:
    """6 of 30 servers run a new version and reject a fifth of their tasks. The servers on the old version
    receive these tasks and degrade as well."""
    analysis, rng = CanaryAnalysis(("z0", "z1", "z2"), 0.02, 36), Random(1)
    verdict = ""
    for _ in range(120):
        samples = []
        for k in range(30):
            new = k < 6
            tasks, served = (40, rng.gauss(0.75, 0.03)) if new else (54, rng.gauss(0.86, 0.02))
            rejected = 0.22 if new else 0.09
            samples.append(
                SlotSample(f"s{k}", f"z{k % 3}", new, False, tasks, served, rejected, 0.02, 0.1, 0.3, 0, 0)
            )
        analysis.add_slot(samples, [f"s{k}" for k in range(6)])
        verdict = analysis.judge({f"s{k}": f"z{k % 3}" for k in range(6)})[0]
        if verdict != "can't tell":
            break
    assert verdict == "worse"


def test_a_loss_on_a_single_new_server_is_not_judged_worse() -> None:
    assert run_analysis(0.0, 6, 24, 100, loss=lambda slot, id: 0.3 if id == "s0" else 0.0)[0] != "worse"


@pytest.mark.parametrize(("samples", "reason"), [
    ([SlotSample("s0", "z0", True, False, 50, 1.0, 0, 0, 0, 0, 0, 1)], "broke a rule"),
    ([SlotSample("s0", "z0", True, False, 50, 1.0, 0, 0, 0, 0, 3, 0)], "crashes repeatedly"),
    ([], "silent"),
    ([SlotSample("s0", "z0", True, False, 0, 0.0, 0, 0, 0, 0, 0, 0),
      SlotSample("s1", "z0", False, False, 50, 1.0, 0, 0, 0, 0, 0, 0)], "silent"),
])  # fmt: skip
def test_broken_rules_crash_loops_and_silence_are_worse_at_once(
    samples: list[SlotSample], reason: str
) -> None:
    analysis = CanaryAnalysis(("z0",), 0.02, 36)
    for _ in range(4):
        analysis.add_slot(samples, ["s0"])
    verdict, _, actual_reason = analysis.judge({"s0": "z0"})
    assert verdict == "worse"
    assert reason in actual_reason


# ---- rollout controller


def server_statuses(count: int, version: Version = OLD, **changes: Any) -> list[ServerStatus]:
    fields: dict[str, Any] = {"alive": True, "release": version.release, "settings": 0, "accepting": True,
            "warm": True,
            "figures": (0, 0, 0, 0, 0, 0, 0, 1)} | changes  # fmt: skip
    return [ServerStatus(f"s{index:02}", f"z{index % 3}", **fields) for index in range(count)]


def test_stages_grow_across_zones_with_controls_in_the_zone_of_each_target() -> None:
    fleet, sizes = server_statuses(30), []
    chosen: tuple[str, ...] = ()
    for stage in STAGES:
        chosen = choose_targets(stage, chosen, fleet)
        sizes.append(len(chosen))
    assert sizes == [1, 3, 3, 15, 30]
    assert {id for id in choose_targets("one a zone", (), fleet)} == {"s00", "s01", "s02"}
    controls = choose_controls("one", ("s00",), fleet)
    assert len(controls) == 2
    assert all(int(id[1:]) % 3 == 0 and id != "s00" for id in controls)


@pytest.mark.parametrize(("changes", "reason"), [
    ({"version": OLD}, "the new version is the base version"),
    ({"version": Version("1", "other")}, "different content"),
    ({"version": Version("2", "b", 5, "x"), "base": Version("1", "a", 5, "y")}, "different content"),
    ({"stages": ("one", "half")}, "'all' must be the last"),
    ({"max_down": 0}, "at least one server must be allowed to be down"),
    ({"version": Version("2", "b", 0, "", (2, 3), 3), "base": Version("1", "a", 0, "", (1, 2), 2)},
     "2 writes ledger format 3, 1 reads 1, 2: the ledger could not be handed over"),
    ({"version": None}, "lacks the new version"),
])  # fmt: skip
def test_an_invalid_start_order_is_refused_with_a_reason(changes: dict[str, Any], reason: str) -> None:
    fields = {"version": NEW, "base": OLD} | changes
    assert reason in start_fault(Order(1, "start", **fields))


class SimulatedRollout:
    """A rollout controller with a fleet whose servers change only when the test changes them."""

    def __init__(self, fleet: int, **order: Any) -> None:
        self.now = 0
        self.members = {server.id: server for server in server_statuses(fleet)}
        self.controller = RolloutController(0, lambda: 0, None, RolloutTiming())
        self.record: RolloutRecord | None = None
        self.requested: list[tuple[str, Version]] = []
        self.step()
        self.handle(OrderReceived(Order(1, "start", "", NEW, OLD, **order)))

    def handle(self, event: RolloutEvent) -> None:
        effects = self.controller.handle(self.now, event)
        for effect in effects:
            match effect:
                case StoreRecord(record):
                    self.record = record
                    effects += self.controller.handle(self.now, RecordStored())
                case SetDesiredVersion(id, version):
                    self.requested.append((id, version))

    def step(self) -> None:
        self.now += SECOND
        self.handle(ServersObserved(list(self.members.values())))
        self.handle(DeadlineReached())

    def update_member(self, id: str, **changes: Any) -> None:
        self.members[id] = self.members[id]._replace(**changes)


def test_servers_that_are_down_for_other_reasons_count_against_the_limit_of_servers_down() -> None:
    rollout = SimulatedRollout(9, stages=("all",), max_down=3, max_down_per_zone=1)
    rollout.update_member("s03", alive=False, accepting=False)  # a server in zone z0; not due to the rollout
    for _ in range(3):
        rollout.step()
    assert {id for id, _ in rollout.requested} <= {"s01", "s02", "s04", "s05", "s07", "s08"}
    assert len(rollout.requested) == 2
    rollout.update_member("s03", alive=True, accepting=True)
    rollout.step()
    assert len(rollout.requested) == 3


def test_a_rollout_that_is_blocked_by_a_server_that_stays_down_asks_the_operator() -> None:
    rollout = SimulatedRollout(9, stages=("all",), max_down=3, max_down_per_zone=1)
    rollout.update_member("s03", alive=False, accepting=False)
    for id in ("s01", "s02", "s04", "s05", "s07", "s08"):
        for _ in range(2):
            rollout.step()
        for requested_id, version in rollout.requested:
            rollout.update_member(requested_id, release=version.release)
        assert rollout.members[id].zone != "z0"
    for _ in range(200):
        rollout.step()
    assert rollout.record is not None
    assert rollout.record.phase == "asking"
    assert "servers that are down block the change of s00: s03" in rollout.record.reason
    rollout.update_member("s03", alive=True, accepting=True)
    rollout.handle(OrderReceived(Order(2, "resume", "it is back")))
    rollout.step()
    assert rollout.requested[-1][0] == "s00"


def test_a_rollback_during_a_stage_returns_all_servers_to_the_base_version() -> None:
    rollout = SimulatedRollout(9, stages=("one", "all"), max_down=2, max_down_per_zone=2)
    for _ in range(3):
        rollout.step()
    first = rollout.requested[0][0]
    rollout.update_member(first, release="2")
    rollout.handle(OrderReceived(Order(2, "skip", "no time")))
    for _ in range(3):
        rollout.step()
    pending = [id for id, version in rollout.requested if version == NEW and id != first]
    assert pending  # changes of servers that were requested and are not in effect yet
    rollout.handle(OrderReceived(Order(3, "back", "suspected fault")))
    for _ in range(30):
        for id in rollout.members:
            last = [version for requested_id, version in rollout.requested if requested_id == id]
            if last:
                rollout.update_member(id, release=last[-1].release)
        rollout.step()
    assert rollout.record is not None
    assert rollout.record.phase == "back"
    assert {server.release for server in rollout.members.values()} == {OLD.release}


def test_a_second_rollout_is_refused_and_a_pause_stops_all_changes() -> None:
    rollout = SimulatedRollout(9)
    rollout.step()
    rollout.handle(OrderReceived(Order(2, "start", "", Version("3", "c"), OLD)))
    assert rollout.record is not None
    assert rollout.record.number == 1
    rollout.handle(OrderReceived(Order(3, "pause", "lunch")))
    before = len(rollout.requested)
    for _ in range(5):
        rollout.step()
    assert rollout.record.phase == "paused"
    assert len(rollout.requested) == before


def test_a_server_that_does_not_start_the_version_in_time_causes_a_rollback() -> None:
    rollout = SimulatedRollout(9)
    rollout.step()
    rollout.step()
    assert rollout.requested[0][1] == NEW
    rollout.update_member(rollout.requested[0][0], accepting=False, release="")
    rollout.now += RolloutTiming().change_timeout
    rollout.step()
    rollout.step()
    assert rollout.record is not None
    assert rollout.record.phase == "backing"
    assert rollout.requested[-1] == (rollout.requested[0][0], OLD)


def test_a_server_that_returns_after_a_rollout_gets_the_current_version() -> None:
    rollout = SimulatedRollout(3, stages=("all",), max_down=3, max_down_per_zone=3)
    rollout.update_member("s02", alive=False, accepting=False)
    for _ in range(300):
        for id, version in rollout.requested:
            if rollout.members[id].alive:
                rollout.update_member(id, release=version.release)
        rollout.step()
    assert rollout.record is not None
    assert rollout.record.phase == "done"
    rollout.requested.clear()
    rollout.update_member("s02", alive=True, accepting=True)
    rollout.step()
    assert rollout.requested == [("s02", NEW)]


@pytest.mark.parametrize("harm", [Harm(), *HARMS[2:]], ids=lambda harm: harm.what)
def test_simulated_rollouts_with_controller_successions_end_in_the_expected_phase(harm: Harm) -> None:
    result = simulate_rollout(30, 3, harm, 2, steps=1200, successions=0.004)
    if harm.what == "none":
        assert result.phase in ("done", "asking")
    elif harm.cold_only:
        assert result.phase in ("back", "asking", "done")
    else:
        assert result.phase == "back", result
        assert result.most_new <= 10
    assert result.most_down <= 3 + 2  # the limit on servers down at once, and servers that crashed


def figures_and_value(
    arrived: int, finished: int, value: tuple[int, int], crashes: int = 0
) -> dict[str, Any]:
    return {"figures": (arrived, finished, 0, 0, 0, 0, crashes, 1), "value": value}


@pytest.mark.parametrize(("all_report", "served"), [(True, 0.5), (False, 0.9)])
def test_utility_is_compared_only_if_all_servers_report_it(all_report: bool, served: float) -> None:
    rollout = SimulatedRollout(9)
    samples: list[SlotSample] = []
    for step in range(1, 12):
        for id in rollout.members:
            value = (1000 * step, 500 * step) if all_report or id != "s08" else (0, 0)
            rollout.update_member(id, **figures_and_value(100 * step, 90 * step, value))
        rollout.step()
        if rollout.controller.analysis is not None:
            setattr(rollout.controller.analysis, "add_slot", lambda slot, _: samples.extend(slot))  # noqa: B010
    assert {round(sample.served, 2) for sample in samples} == {served}


def test_a_succeeding_controller_counts_crashes_from_the_start_of_the_stage() -> None:
    rollout = SimulatedRollout(9)
    for id in rollout.members:
        rollout.update_member(id, **figures_and_value(0, 0, (0, 0), 1))
    rollout.step()
    assert rollout.record is not None
    new = rollout.record.targets[0]
    rollout.update_member(new, accepting=False, release="", figures=(0, 0, 0, 0, 0, 0, 3, 2))
    rollout.controller = RolloutController(rollout.now, lambda: 0, rollout.record, RolloutTiming())
    for _ in range(12):
        rollout.step()
    assert rollout.record.phase == "backing"
    assert "2 crashes" in rollout.record.reason or "crashes of new servers" in rollout.record.reason


# ---- supervisor


def test_no_server_is_started_twice_or_unrecorded_if_the_supervisor_dies_at_any_step() -> None:
    found = explore(SupervisorWorld(), next_states, 40, 20_000)
    assert not found.wrong, found.trace


def _spawn_before_persisting(self: Supervisor, version: Version) -> None:
    self.phase = "spawning"
    state = self.state
    self.state = SupervisorState(state.desired, version, state.incarnation + 1, state.last_good)
    self._effects.append(SpawnServer(self.state.incarnation, version))
    self._effects.append(PersistState(self.state))
    self._continuations.append(None)


def _accept_older_epochs(
    self: Supervisor, desired: DesiredVersion, original: Any = Supervisor._on_desired_version
) -> None:
    state, known = self.state, self.state.desired
    if known is not None and (desired.epoch, desired.number) < (known.epoch, known.number):
        accepted = SupervisorState(desired, state.running, state.incarnation, state.last_good)
        self._persist(accepted, AfterPersist.CONVERGE)
    else:
        original(self, desired)


def _ignore_faults(self: Supervisor, fault: str, original: Any = Supervisor._on_verified) -> None:
    original(self, "")


@pytest.mark.parametrize(("name", "mutant", "violation"), [
    ("_spawn", _spawn_before_persisting, "not recorded on disk"),
    ("_on_desired_version", _accept_older_epochs, "an older rollout controller"),
    ("_on_verified", _ignore_faults, "invalid version is started"),
])  # fmt: skip
def test_exploration_finds_faults_in_a_supervisor_that_replaces_servers(
    name: str, mutant: Any, violation: str
) -> None:
    with patched(((Supervisor, name, mutant),)):
        assert violation in explore(SupervisorWorld(), next_states, 40, 60_000).wrong


def _spawn_successor_before_persisting(self: Supervisor, version: Version) -> None:
    incarnation = self.state.next_incarnation()
    self.phase = "succeeding"
    self.takeover.begin(self.now)
    self.state = msgspec.structs.replace(
        self.state, successor=version, successor_incarnation=incarnation, last_incarnation=incarnation
    )
    self._effects += [SpawnServer(incarnation, version), PersistState(self.state)]
    self._continuations.append(None)


def _forget_successor(
    self: Supervisor, event: StateRecovered, original: Any = Supervisor._on_recovered
) -> None:
    original(self, replace(event, successor_alive=False))


def _forget_predecessor(self: Supervisor, incarnation: int, original: Any = Supervisor._on_ready) -> None:
    original(self, incarnation)
    self.takeover.predecessor_ended()


def _no_timer_while_running(self: Supervisor, original: Any = Supervisor._on_timer) -> None:
    if self.phase != "running":
        original(self)


def test_with_overlap_at_most_two_servers_run_and_the_desired_version_starts_serving() -> None:
    assert explore(SideBySideWorld(), side_by_side_next_states, 60, 20_000).wrong == ""
    assert explore_randomly(range(400), 150) == ""


@pytest.mark.parametrize(("name", "mutant", "violation"), [
    ("_spawn_successor", _spawn_successor_before_persisting, "not recorded on disk"),
    ("_on_recovered", _forget_successor, "too many are alive"),
    ("_on_ready", _forget_predecessor, "too many are alive"),
    ("_on_timer", _no_timer_while_running, "does not serve in the end"),
])  # fmt: skip
def test_random_walks_find_faults_in_a_supervisor_with_overlap(
    name: str, mutant: Any, violation: str
) -> None:
    with patched(((Supervisor, name, mutant),)):
        assert violation in explore_randomly(range(1500), 150)


@pytest.mark.parametrize("root", [RolloutWorld, returned_in_last_stage])
def test_a_rollout_stays_within_its_limits_whenever_controllers_and_servers_die(
    root: Callable[[], RolloutWorld],
) -> None:
    found = explore(root(), next_rollout_states, 60, 8_000)
    assert not found.wrong, found.trace
    assert found.states >= 8_000


def _always_has_room(self: DownBudget, zone: str) -> bool:
    return True


def _roll_forward(self: RolloutController, record: RolloutRecord) -> None:
    self._converge_servers(record, dict.fromkeys(self.servers, record.version))


@pytest.mark.parametrize(("owner", "name", "mutant", "violation"), [
    (DownBudget, "has_room", _always_has_room, "are down at once"),
    (RolloutController, "_roll_back", _roll_forward, "during a rollback"),
])  # fmt: skip
def test_exploration_finds_faults_in_a_rollout_controller(
    owner: type, name: str, mutant: Any, violation: str
) -> None:
    with patched(((owner, name, mutant),)):
        assert violation in explore(returned_in_last_stage(), next_rollout_states, 60, 8_000).wrong


def running_supervisor(good: Version | None = OLD) -> Supervisor:
    supervisor = Supervisor(SECOND, 0)
    supervisor.handle(0, StateRecovered(SupervisorState(DesiredVersion(1, 1, OLD), OLD, 3, good), True))
    return supervisor


def handle_with_effects(supervisor: Supervisor, now: int, event: Event) -> list[Version]:
    """Handle an event and carry out the effects, except stopping servers; return the spawned versions."""
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


def test_a_crash_loop_falls_back_to_the_last_good_version_only_without_consensus() -> None:
    supervisor, now = running_supervisor(), SECOND
    handle_with_effects(supervisor, now, DesiredVersionReceived(DesiredVersion(1, 2, NEW)))
    spawned = handle_with_effects(supervisor, now, ServerExited(0))
    assert spawned == [NEW]
    for _ in range(4):
        now += SECOND // 10
        assert handle_with_effects(supervisor, now, ServerExited(1)) == []
        now += 6 * SECOND
        assert handle_with_effects(supervisor, now, DeadlineReached()) == [NEW]
    handle_with_effects(supervisor, now, ServerExited(1))
    assert supervisor.phase == "failed"
    handle_with_effects(supervisor, now, ConsensusPolled(True))
    assert handle_with_effects(supervisor, now + 20 * SECOND, DeadlineReached()) == []
    handle_with_effects(supervisor, now + 21 * SECOND, ConsensusPolled(False))
    assert handle_with_effects(supervisor, now + 40 * SECOND, DeadlineReached()) == [OLD]
    assert (
        handle_with_effects(supervisor, now + 41 * SECOND, DesiredVersionReceived(DesiredVersion(1, 2, NEW)))
        == []
    )  # the rejected version is not retried


def test_a_server_that_does_not_stop_in_time_is_killed() -> None:
    supervisor = running_supervisor()
    handle_with_effects(supervisor, SECOND, DesiredVersionReceived(DesiredVersion(1, 2, NEW)))
    assert supervisor.phase == "stopping"
    assert supervisor.handle(2 * SECOND, DeadlineReached()) == []
    assert KillServer(3) in supervisor.handle(3 * SECOND, DeadlineReached())
    assert KillServer(3) not in supervisor.handle(4 * SECOND, DeadlineReached())


def test_the_digest_of_a_release_covers_all_its_files(tmp_path: Path) -> None:
    source = tmp_path / "source"
    source.mkdir()
    (source / "run").write_text("#!/bin/sh\n")
    with pytest.raises(ReleaseError, match="no executable file"):
        Releases(tmp_path / "r").add("1", source)
    (source / "run").chmod(0o755)
    releases = Releases(tmp_path / "r")
    digest = releases.add("1", source)
    assert releases.add("1", source) == digest
    releases.verify("1", digest)
    (source / "more").write_text("x")
    assert content_digest(source) != digest
    with pytest.raises(ReleaseError, match="different content"):
        releases.add("1", source)
    (tmp_path / "r" / "1" / "run").write_text("#!/bin/sh\nexit 1\n")
    with pytest.raises(ReleaseError, match="digest"):
        releases.verify("1", digest)
    for name in ("../1", "", ".x"):
        with pytest.raises(ReleaseError):
            releases.verify(name, digest)


def test_a_release_declares_its_ledger_formats_in_a_file(tmp_path: Path) -> None:
    assert ledger_formats(tmp_path) == ((), 0)
    (tmp_path / "forms").write_text("1 2 writes 2\n")
    assert ledger_formats(tmp_path) == ((1, 2), 2)
    (tmp_path / "forms").write_text("two\n")
    with pytest.raises(ReleaseError, match="malformed"):
        ledger_formats(tmp_path)


@pytest.mark.parametrize(("changes", "limits", "reason"), [
    ({"classes": 3}, None, "TypeError"),
    ({"classes": []}, None, "'classes' is empty"),
    ({"classes": 2 * SETTINGS["classes"]}, None, "'booking' is defined more than once"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "cpus": 0}}, None, "'cpus' must be above 0"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "memoryKb": 0}}, None, "'memoryKb' must be above 0"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "dependsOn": "shared"}}, None, ""),
    ({"projects": []}, None, ""),
    ({"familyInfo": {**SETTINGS["familyInfo"], "upstreams": 600}}, {"sockets": 512, "memory_mb": 256},
     "more than 512 descriptors"),
    ({"familyInfo": {**SETTINGS["familyInfo"], "upstreams": 400}}, {"sockets": 512, "memory_mb": 32},
     "more than a quarter of 32 MB"),
    ({}, {"sockets": 512, "memory_mb": 256}, ""),
])  # fmt: skip
def test_invalid_settings_are_refused_with_a_reason(
    changes: dict[str, Any], limits: dict[str, Any] | None, reason: str
) -> None:
    fault = unfit_settings(json.dumps({**SETTINGS, **changes}).encode(), limits)
    assert (reason in fault) if reason else fault == ""


@pytest.mark.parametrize(
    ("size", "reason"),
    [
        (MAX_VALUE_SIZE, ""),
        (MAX_VALUE_SIZE + 1, f"{MAX_VALUE_SIZE + 1} bytes exceed the limit of {MAX_VALUE_SIZE}"),
    ],
)
def test_settings_and_consensus_records_have_the_same_size_limit(size: int, reason: str) -> None:
    content = json.dumps(SETTINGS).encode()
    content += b" " * (size - len(content))
    assert unfit_settings(content) == reason
    assert bool(validate(Put("settings/1", content, 0))) == bool(reason)


def test_the_latest_value_survives_a_torn_write(tmp_path: Path) -> None:
    store = LatestValueStore(tmp_path, "x")
    for value in (b"one", b"two", b"three"):
        store.put(value)
    store.close()
    (path,) = tmp_path.glob("*.x")
    path.write_bytes(path.read_bytes()[:-10])
    reopened = LatestValueStore(tmp_path, "x")
    assert reopened.value == b"three"  # from its first copy
    reopened.close()
    path.write_bytes(path.read_bytes()[:-10])
    assert LatestValueStore(tmp_path, "x").value == b"two"


# ---- stored records


VERSION_STORED = '{"release":"2.4","digest":"d","settings":17,"settings_digest":"s","reads":[2,3],"writes":3}'
BASE_STORED = '{"release":"2.3","digest":"c","settings":0,"settings_digest":"","reads":[],"writes":0}'
DESIRED_STORED = f'{{"epoch":3,"number":7,"version":{VERSION_STORED},"turn":2}}'


def test_stored_records_keep_their_encoded_field_names() -> None:
    version, base = Version("2.4", "d", 17, "s", (2, 3), 3), Version("2.3", "c")
    desired = DesiredVersion(3, 7, version, 2)
    history = (HistoryEntry(1_700_000_000_000, "start", "x"),)
    examples: dict[str, msgspec.Struct] = {
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
    for stored, value in examples.items():
        assert msgspec.json.encode(value).decode() == stored
        assert msgspec.json.decode(stored, type=type(value)) == value


# ---- processes


@asynccontextmanager
async def supervised_fleet(folder: Path, count: int, overlapping: bool) -> AsyncIterator[SupervisedFleet]:
    async with anyio.create_task_group() as group:
        fleet = SupervisedFleet(folder, group, 1, count, 3, overlapping, "1s")
        try:
            await fleet.start()
            group.start_soon(fleet.generate_load)
            yield fleet
        finally:
            fleet.close()
            group.cancel_scope.cancel()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
@pytest.mark.parametrize("overlapping", [False, True], ids=["sequential", "overlapping"])
async def test_a_good_release_reaches_three_machines_and_a_bad_one_is_rolled_back(
    tmp_path: Path, overlapping: bool
) -> None:
    async with supervised_fleet(tmp_path, 3, overlapping) as fleet:
        names = ["m0", "m1", "m2"]

        def all_run(release: str) -> bool:
            return all(fleet.serving(name)[0] == release for name in names)

        # Initially no server runs: the first rollout installs the base release on all machines.
        folder = str(tmp_path / "releases")
        order = ("roll", "start", "--down", "3", "--down-zone", "3", "--stage", "all")
        assert (await fleet.run_command(*order, "--release", f"{folder}/base")).returncode == 0
        await fleet.wait_until("all base", lambda: all_run("base"))
        assert (await fleet.wait_for_rollout(60, 1)).phase == "done"

        # A supervisor is killed; its server keeps running and is found by the restarted supervisor.
        incarnation = fleet.serving("m1")[1]
        fleet.fleet.processes["m1"].kill()
        fleet.fleet.processes["m1"].start()

        # A good release is rolled out although both rollout controllers are killed during the rollout.
        stages = (*order[:-1], "one", "--stage", "all", "--release")
        completed = await fleet.run_command(*stages, f"{folder}/good", "--from-release", f"{folder}/base")
        assert completed.returncode == 0
        await fleet.wait_until("one good", lambda: any(fleet.serving(name)[0] == "good" for name in names))
        assert fleet.serving("m1") == ("base", incarnation)
        for name in ("c0", "c1"):
            fleet.fleet.processes[name].kill()
            fleet.fleet.processes[name].start()
        assert (await fleet.wait_for_rollout(90, 2)).phase == "done"
        await fleet.wait_until("all good", lambda: all_run("good"))

        # A bad release is stopped at the first server and rolled back.
        assert (await fleet.run_command(*stages, f"{folder}/no-start")).returncode == 0
        assert (await fleet.wait_for_rollout(60, 3)).phase == "back"
        await fleet.wait_until("all good again", lambda: all_run("good"))
        reached = fleet.machines_reached("no-start")
        assert len(reached) == 1
        if overlapping:  # the old server kept running
            assert fleet.serving(reached[0])[1] == 2
        assert b"back" in (await fleet.run_command("roll", "history")).stdout
        fleet.load_scope.cancel()
        violations = fleet.judge()
        kinds = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result")
        assert [violations.get(kind, 0) for kind in kinds] == 4 * [0]


@pytest.mark.anyio
async def test_a_server_that_ends_before_it_is_watched_does_not_end_the_supervisor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On a busy machine, the server has ended and been reaped before the supervisor opens its pidfd."""

    def no_such_process(pid: int) -> int:
        raise ProcessLookupError(3, "No such process")

    monkeypatch.setattr(os, "pidfd_open", no_such_process)
    (tmp_path / "source").mkdir()
    (tmp_path / "source" / "run").write_text("#!/bin/sh\nexit 3\n")
    (tmp_path / "source" / "run").chmod(0o755)
    digest = Releases(tmp_path / "releases").add("bad", tmp_path / "source")
    (tmp_path / "plate.json").write_text("{}")
    conf = (f"members name m\nmembers listen 127.0.0.1:{free_port()}\ncouncil voter a=127.0.0.1:9\n"
            f"steward folder {tmp_path}/s\nsteward plate {tmp_path}/plate.json\n"
            f"steward releases {tmp_path}/releases\n")  # fmt: skip
    service = SupervisorService(parse_config("conf", conf), lambda *_, **__: None)
    async with anyio.create_task_group() as group:
        service.group, supervisor = group, service.supervisor
        supervisor.phase, supervisor.state = "spawning", SupervisorState(None, Version("bad", digest), 1)
        await service._spawn(1, Version("bad", digest))
        with anyio.fail_after(10):
            while not supervisor.crashes.recent:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_settings_are_checked_before_they_are_stored_and_are_immutable(tmp_path: Path) -> None:
    async with anyio.create_task_group() as group:
        fleet = SupervisedFleet(tmp_path, group, 1, 1, 1)
        try:
            await fleet.fleet.start_replicas()
            await fleet.fleet.form()
            good, bad = tmp_path / "good.json", tmp_path / "bad.json"
            good.write_text(json.dumps(SETTINGS))
            bad.write_text(json.dumps({**SETTINGS, "classes": 3}))
            assert (await fleet.run_command("settings", "add", "1", str(bad))).returncode == 2
            completed = await fleet.run_command("settings", "add", "1", str(good))
            assert hashlib.sha256(good.read_bytes()).hexdigest().encode() in completed.stdout
            assert (await fleet.run_command("settings", "add", "1", str(good))).returncode == 1
            assert json.loads((await fleet.run_command("settings", "show", "1")).stdout) == SETTINGS
            other = tmp_path / "other.json"
            other.write_text(json.dumps({**SETTINGS, "overShareWorth": 0.5}))
            assert (await fleet.run_command("settings", "add", "2", str(other))).returncode == 0
            completed = await fleet.run_command("settings", "diff", "1", "2")
            assert completed.stdout == b"-overShareWorth = 1.0\n+overShareWorth = 0.5\n"
            listed = (await fleet.run_command("settings", "history")).stdout.splitlines()
            assert [line.split()[0] for line in listed] == [b"1", b"2"]
        finally:
            fleet.close()
            group.cancel_scope.cancel()
