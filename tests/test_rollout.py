"""Steward and conductor: a change of program or settings in stages, stopped when a stage does worse."""

import hashlib
import json
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec
import pytest

from thistleline.config.schema import check
from thistleline.lab.explore import explore
from thistleline.lab.harness import free_port
from thistleline.lab.ledger import SETTINGS
from thistleline.lab.machines import Machines
from thistleline.lab.mutants import without
from thistleline.lab.roll import HARMS, Harm, roll
from thistleline.lab.stewardworld import BesideWorld, StewardWorld, following, following_beside, wander
from thistleline.lease.protocol import VALUE_BOUND, Put
from thistleline.lease.table import fault
from thistleline.rollout.canary import Judge, Slot
from thistleline.rollout.confidence import Bounds
from thistleline.rollout.controller import Conducting, Spans
from thistleline.rollout.record import STAGES, Order, Roll, Seen, controls, targets, wrong
from thistleline.store.latest import LatestValueStore
from thistleline.supervisor.decisions import SECOND, Keeping, State, Version, Want
from thistleline.supervisor.releases import Releases, Unfit, digest_of, forms_of
from thistleline.supervisor.service import StewardService
from thistleline.supervisor.settings import unfit_settings

OLD, NEW = Version("1", "a"), Version("2", "b")


# ---- the judge


def test_bounds_hold_at_any_look() -> None:
    """Who stops whenever the bounds exclude the truth is fooled in few of many runs."""
    fooled = 0
    for seed in range(200):
        chance, bounds = Random(seed), Bounds(0.1)
        for _ in range(300):
            bounds.take(min(1.0, max(0.0, chance.gauss(0.4, 0.15))))
            if not bounds.least <= 0.4 <= bounds.most:
                fooled += 1
                break
    assert fooled <= 20
    assert bounds.most - bounds.least < 0.2


def judged(
    harm: float,
    new: int,
    old: int,
    slots: int,
    seed: int = 1,
    hit: Callable[[int, str], float] = lambda s, i: 0.0,
) -> Any:
    judge, chance = Judge(("z0", "z1", "z2"), 0.02, 36), Random(seed)
    ids = [(f"s{k}", f"z{k % 3}", k < new) for k in range(new + old)]
    for slot in range(slots):
        told = []
        for id, zone, is_new in ids:
            served = min(1.0, max(0.0, chance.gauss(0.9, 0.03) - (harm if is_new else 0) - hit(slot, id)))
            told.append(Slot(id, zone, is_new, False, 50, served, 0.05, 0.02, 0.1, 0.3, 0, 0))
        judge.take(told, [id for id, _, is_new in ids if is_new])
        verdict = judge.verdict({id: zone for id, zone, _ in ids})
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
    judge, chance = Judge(("z0", "z1", "z2"), 0.02, 36), Random(1)
    verdict = ""
    for _ in range(120):
        told = []
        for k in range(30):
            new = k < 6
            tasks, served = (40, chance.gauss(0.75, 0.03)) if new else (54, chance.gauss(0.86, 0.02))
            rejected = 0.22 if new else 0.09
            told.append(Slot(f"s{k}", f"z{k % 3}", new, False, tasks, served, rejected, 0.02, 0.1, 0.3, 0, 0))
        judge.take(told, [f"s{k}" for k in range(6)])
        verdict = judge.verdict({f"s{k}": f"z{k % 3}" for k in range(6)})[0]
        if verdict != "can't tell":
            break
    assert verdict == "worse"


def test_a_neighbour_s_trouble_on_one_new_server_stops_nothing() -> None:
    assert judged(0.0, 6, 24, 100, hit=lambda slot, id: 0.3 if id == "s0" else 0.0)[0] != "worse"


@pytest.mark.parametrize(("slots", "why"), [
    ([Slot("s0", "z0", True, False, 50, 1.0, 0, 0, 0, 0, 0, 1)], "broke a rule"),
    ([Slot("s0", "z0", True, False, 50, 1.0, 0, 0, 0, 0, 3, 0)], "crashes again"),
    ([], "silent"),
    ([Slot("s0", "z0", True, False, 0, 0.0, 0, 0, 0, 0, 0, 0),
      Slot("s1", "z0", False, False, 50, 1.0, 0, 0, 0, 0, 0, 0)], "silent"),
])  # fmt: skip
def test_a_broken_rule_a_crash_loop_and_silence_stop_at_once(slots: list[Slot], why: str) -> None:
    judge = Judge(("z0",), 0.02, 36)
    for _ in range(4):
        judge.take(slots, ["s0"])
    verdict, _, told = judge.verdict({"s0": "z0"})
    assert verdict == "worse"
    assert why in told


# ---- the conductor


def seen(count: int, version: Version = OLD, **changes: Any) -> list[Seen]:
    told: dict[str, Any] = {"alive": True, "release": version.release, "settings": 0, "taking": True,
            "warm": True,
            "figures": (0, 0, 0, 0, 0, 0, 0, 1)} | changes  # fmt: skip
    return [Seen(f"s{place:02}", f"z{place % 3}", **told) for place in range(count)]


def test_stages_grow_across_zones_and_controls_stand_beside() -> None:
    fleet, sizes = seen(30), []
    chosen: tuple[str, ...] = ()
    for stage in STAGES:
        chosen = targets(stage, chosen, fleet)
        sizes.append(len(chosen))
    assert sizes == [1, 3, 3, 15, 30]
    assert {id for id in targets("one a zone", (), fleet)} == {"s00", "s01", "s02"}
    beside = controls("one", ("s00",), fleet)
    assert len(beside) == 2
    assert all(int(id[1:]) % 3 == 0 and id != "s00" for id in beside)


@pytest.mark.parametrize(("changes", "why"), [
    ({"version": OLD}, "nothing would change"),
    ({"version": Version("1", "other")}, "other content"),
    ({"version": Version("2", "b", 5, "x"), "base": Version("1", "a", 5, "y")}, "other content"),
    ({"stages": ("one", "half")}, "'all' is the last"),
    ({"down": 0}, "no server down"),
    ({"version": Version("2", "b", 0, "", (2, 3), 3), "base": Version("1", "a", 0, "", (1, 2), 2)},
     "2 writes a ledger of form 3, 1 reads 1, 2: there is no way back"),
    ({"version": None}, "names no version"),
])  # fmt: skip
def test_an_order_that_makes_no_sense_is_refused_with_the_reason(changes: dict[str, Any], why: str) -> None:
    told = {"version": NEW, "base": OLD} | changes
    assert why in wrong(Order(1, "start", **told))


class Stage:
    """A conductor with a fleet that does as it is told, one step a call."""

    def __init__(self, fleet: int, **order: Any) -> None:
        self.now = 0
        self.members = {one.id: one for one in seen(fleet)}
        self.conducting = Conducting(0, lambda: 0, None, Spans())
        self.roll: Roll | None = None
        self.wants: list[tuple[str, Version]] = []
        self.step()
        self.put("order", Order(1, "start", "", NEW, OLD, **order))

    def put(self, *told: Any) -> None:
        effects = self.conducting.take(self.now, *told)
        for effect in effects:
            if effect[0] == "record":
                self.roll = effect[1]
                effects += self.conducting.take(self.now, "recorded")
            elif effect[0] == "want":
                self.wants.append((effect[1], effect[2]))

    def step(self) -> None:
        self.now += SECOND
        self.put("seen", list(self.members.values()))
        self.put("elapsed")

    def show(self, id: str, **changes: Any) -> None:
        self.members[id] = self.members[id]._replace(**changes)


def test_no_more_servers_are_down_at_once_than_is_allowed_whoever_took_them_down() -> None:
    stage = Stage(9, stages=("all",), down=3, down_zone=1)
    stage.show("s03", alive=False, taking=False)  # of z0, for reasons of its own
    for _ in range(3):
        stage.step()
    assert {id for id, _ in stage.wants} <= {"s01", "s02", "s04", "s05", "s07", "s08"}
    assert len(stage.wants) == 2
    stage.show("s03", alive=True, taking=True)
    stage.step()
    assert len(stage.wants) == 3


def test_one_that_stays_down_and_leaves_no_room_is_asked_about_not_waited_for() -> None:
    stage = Stage(9, stages=("all",), down=3, down_zone=1)
    stage.show("s03", alive=False, taking=False)
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
    assert "no room to change s00: down are s03" in stage.roll.why
    stage.show("s03", alive=True, taking=True)
    stage.put("order", Order(2, "resume", "it is back"))
    stage.step()
    assert stage.wants[-1][0] == "s00"


def test_going_back_while_a_stage_goes_forward_brings_all_to_the_base() -> None:
    stage = Stage(9, stages=("one", "all"), down=2, down_zone=2)
    for _ in range(3):
        stage.step()
    first = stage.wants[0][0]
    stage.show(first, release="2")
    stage.put("order", Order(2, "skip", "no time"))
    for _ in range(3):
        stage.step()
    under_way = [id for id, version in stage.wants if version == NEW and id != first]
    assert under_way  # wanted, and not there yet
    stage.put("order", Order(3, "back", "a bad feeling"))
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
    stage.put("order", Order(2, "start", "", Version("3", "c"), OLD))
    assert stage.roll is not None
    assert stage.roll.number == 1
    stage.put("order", Order(3, "pause", "lunch"))
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
    stage.show(stage.wants[0][0], taking=False, release="")
    stage.now += Spans().change
    stage.step()
    stage.step()
    assert stage.roll is not None
    assert stage.roll.phase == "backing"
    assert stage.wants[-1] == (stage.wants[0][0], OLD)


def test_a_member_that_was_away_comes_back_to_what_the_fleet_runs_now() -> None:
    stage = Stage(3, stages=("all",), down=3, down_zone=3)
    stage.show("s02", alive=False, taking=False)
    for _ in range(300):
        for id, version in stage.wants:
            if stage.members[id].alive:
                stage.show(id, release=version.release)
        stage.step()
    assert stage.roll is not None
    assert stage.roll.phase == "done"
    stage.wants.clear()
    stage.show("s02", alive=True, taking=True)
    stage.step()
    assert stage.wants == [("s02", NEW)]


@pytest.mark.parametrize("harm", [Harm(), *HARMS[2:]], ids=lambda harm: harm.what)
def test_rolls_in_virtual_time_end_as_they_should_through_successions(harm: Harm) -> None:
    told = roll(30, 3, harm, 2, steps=1200, successions=0.004)
    if harm.what == "none":
        assert told.phase in ("done", "asking")
    elif harm.cold_only:
        assert told.phase in ("back", "asking", "done")
    else:
        assert told.phase == "back", told
        assert told.most_new <= 10
    assert told.most_down <= 3 + 2  # and those that died


def figured(came: int, done: int, worth: tuple[int, int], crashes: int = 0) -> dict[str, Any]:
    return {"figures": (came, done, 0, 0, 0, 0, crashes, 1), "worth": worth}


@pytest.mark.parametrize(("says", "served"), [(True, 0.5), (False, 0.9)])
def test_what_work_was_worth_is_compared_only_where_all_say_it(says: bool, served: float) -> None:
    stage = Stage(9)
    told: list[Slot] = []
    for step in range(1, 12):
        for id in stage.members:
            worth = (1000 * step, 500 * step) if says or id != "s08" else (0, 0)
            stage.show(id, **figured(100 * step, 90 * step, worth))
        stage.step()
        if stage.conducting.judge is not None:
            setattr(stage.conducting.judge, "take", lambda slots, _: told.extend(slots))  # noqa: B010
    assert {round(one.served, 2) for one in told} == {served}


def test_a_successor_counts_crashes_from_where_the_stage_began() -> None:
    stage = Stage(9)
    for id in stage.members:
        stage.show(id, **figured(0, 0, (0, 0), 1))
    stage.step()
    assert stage.roll is not None
    new = stage.roll.targets[0]
    stage.show(new, taking=False, release="", figures=(0, 0, 0, 0, 0, 0, 3, 2))
    stage.conducting = Conducting(stage.now, lambda: 0, stage.roll, Spans())
    for _ in range(12):
        stage.step()
    assert stage.roll.phase == "backing"
    assert "2 crashes" in stage.roll.why or "crashes of new servers" in stage.roll.why


# ---- the steward


def test_no_server_is_started_twice_or_unknown_whenever_the_steward_dies() -> None:
    found = explore(StewardWorld(), following, 40, 20_000)
    assert not found.wrong, found.trace


def _spawn_unnoted(self: Keeping, version: Version) -> None:
    self.phase = "spawning"
    self.state = State(self.state.want, version, self.state.life + 1, self.state.good)
    self.effects.append(("spawn", self.state.life, version))
    self.effects.append(("note", self.state))
    self.notes.append(())


def _any_want(self: Keeping, want: Want, had: Any = Keeping._want) -> None:
    known = self.state.want
    if known is not None and (want.epoch, want.number) < (known.epoch, known.number):
        self._note(State(want, self.state.running, self.state.life, self.state.good), ("go on",))
    else:
        had(self, want)


def _unverified(self: Keeping, why: str, had: Any = Keeping._verified) -> None:
    had(self, "")


@pytest.mark.parametrize(("name", "put", "wanted"), [
    ("_spawn", _spawn_unnoted, "nobody would know of"),
    ("_want", _any_want, "an older conductor"),
    ("_verified", _unverified, "unfit is started"),
])  # fmt: skip
def test_a_protection_of_the_steward_left_out_is_found(name: str, put: Any, wanted: str) -> None:
    with without(((Keeping, name, put),)):
        assert wanted in explore(StewardWorld(), following, 40, 60_000).wrong


def _heir_unnoted(self: Keeping, version: Version) -> None:
    life = self._next_life()
    self.phase, self.heir_since, self.heir_alive = "succeeding", self.now, False
    self.state = msgspec.structs.replace(self.state, heir=version, heir_life=life, last=life)
    self.effects += [("spawn", life, version), ("note", self.state)]
    self.notes.append(())


def _heir_forgotten(
    self: Keeping,
    state: State,
    lives: bool,
    heir: bool = False,
    elder: int = 0,
    had: Any = Keeping._recovered,
) -> None:
    had(self, state, lives, False, elder)


def _elder_forgotten(self: Keeping, life: int, had: Any = Keeping._served) -> None:
    had(self, life)
    self.elder = 0


def _never_again(self: Keeping, had: Any = Keeping._elapsed) -> None:
    if self.phase != "running":
        had(self)


def test_beside_each_other_two_live_at_most_and_what_is_wanted_comes_to_serve() -> None:
    assert explore(BesideWorld(), following_beside, 60, 20_000).wrong == ""
    assert wander(range(400), 150) == ""


@pytest.mark.parametrize(("name", "put", "wanted"), [
    ("_spawn_heir", _heir_unnoted, "nobody would know of"),
    ("_recovered", _heir_forgotten, "too many live"),
    ("_served", _elder_forgotten, "too many live"),
    ("_elapsed", _never_again, "does not come to serve"),
])  # fmt: skip
def test_a_protection_of_the_change_beside_left_out_is_found(name: str, put: Any, wanted: str) -> None:
    with without(((Keeping, name, put),)):
        assert wanted in wander(range(1500), 150)


def kept(good: Version | None = OLD) -> Keeping:
    made = Keeping(SECOND, 0)
    made.take(0, "recovered", State(Want(1, 1, OLD), OLD, 3, good), True)
    return made


def through(keeping: Keeping, now: int, *told: Any) -> list[Any]:
    """Carries out what is asked at once, but the server's end; what it spawned comes back."""
    effects, spawned = keeping.take(now, *told), []
    for effect in effects:
        if effect[0] == "note":
            effects += keeping.take(now, "noted")
        elif effect[0] == "verify":
            effects += keeping.take(now, "verified", "")
        elif effect[0] == "spawn":
            spawned.append(effect[2])
            effects += keeping.take(now, "spawned", 1)
    return spawned


def test_a_crash_loop_is_given_up_and_taken_back_alone_only_without_the_council() -> None:
    keeping, now = kept(), SECOND
    through(keeping, now, "want", Want(1, 2, NEW))
    spawned = through(keeping, now, "exited", 0)
    assert spawned == [NEW]
    for _ in range(4):
        now += SECOND // 10
        assert through(keeping, now, "exited", 1) == []
        now += 6 * SECOND
        assert through(keeping, now, "elapsed") == [NEW]
    through(keeping, now, "exited", 1)
    assert keeping.phase == "failed"
    through(keeping, now, "reached", True)
    assert through(keeping, now + 20 * SECOND, "elapsed") == []
    through(keeping, now + 21 * SECOND, "reached", False)
    assert through(keeping, now + 40 * SECOND, "elapsed") == [OLD]
    assert through(keeping, now + 41 * SECOND, "want", Want(1, 2, NEW)) == []  # not that one again


def test_one_that_does_not_end_in_time_is_killed() -> None:
    keeping = kept()
    through(keeping, SECOND, "want", Want(1, 2, NEW))
    assert keeping.phase == "stopping"
    assert keeping.take(2 * SECOND, "elapsed") == []
    assert ("kill",) in keeping.take(3 * SECOND, "elapsed")
    assert ("kill",) not in keeping.take(4 * SECOND, "elapsed")


def test_a_release_is_known_by_all_that_is_in_it(tmp_path: Path) -> None:
    source = tmp_path / "source"
    source.mkdir()
    (source / "run").write_text("#!/bin/sh\n")
    with pytest.raises(Unfit, match="can be executed"):
        Releases(tmp_path / "r").add("1", source)
    (source / "run").chmod(0o755)
    releases = Releases(tmp_path / "r")
    digest = releases.add("1", source)
    assert releases.add("1", source) == digest
    releases.verify("1", digest)
    (source / "more").write_text("x")
    assert digest_of(source) != digest
    with pytest.raises(Unfit, match="another content"):
        releases.add("1", source)
    (tmp_path / "r" / "1" / "run").write_text("#!/bin/sh\nexit 1\n")
    with pytest.raises(Unfit, match="digest"):
        releases.verify("1", digest)
    for name in ("../1", "", ".x"):
        with pytest.raises(Unfit):
            releases.verify(name, digest)


def test_what_a_release_says_of_the_ledger_is_a_part_of_it(tmp_path: Path) -> None:
    assert forms_of(tmp_path) == ((), 0)
    (tmp_path / "forms").write_text("1 2 writes 2\n")
    assert forms_of(tmp_path) == ((1, 2), 2)
    (tmp_path / "forms").write_text("two\n")
    with pytest.raises(Unfit, match="does not say"):
        forms_of(tmp_path)


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
    ("size", "why"), [(VALUE_BOUND, ""), (VALUE_BOUND + 1, f"{VALUE_BOUND + 1} bytes, {VALUE_BOUND} at most")]
)
def test_the_check_and_the_council_take_settings_of_the_same_size(size: int, why: str) -> None:
    content = json.dumps(SETTINGS).encode()
    content += b" " * (size - len(content))
    assert unfit_settings(content) == why
    assert bool(fault(Put("settings/1", content, 0))) == bool(why)


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


# ---- programs


@asynccontextmanager
async def machines(folder: Path, count: int, beside: bool) -> AsyncIterator[Machines]:
    async with anyio.create_task_group() as group:
        made = Machines(folder, group, 1, count, 3, beside, "1s")
        try:
            await made.start()
            group.start_soon(made.call)
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
        assert (await fleet.command(*order, "--release", f"{folder}/base")).returncode == 0
        await fleet.until("all base", lambda: all_run("base"))
        assert (await fleet.through(60, 1)).phase == "done"

        # A steward is killed, its server runs on and is found again.
        life = fleet.serving("m1")[1]
        fleet.fleet.processes["m1"].kill()
        fleet.fleet.processes["m1"].start()

        # A good one goes through, its conductors killed on the way.
        stages = (*order[:-1], "one", "--stage", "all", "--release")
        told = await fleet.command(*stages, f"{folder}/good", "--from-release", f"{folder}/base")
        assert told.returncode == 0
        await fleet.until("one good", lambda: any(fleet.serving(name)[0] == "good" for name in names))
        assert fleet.serving("m1") == ("base", life)
        for name in ("c0", "c1"):
            fleet.fleet.processes[name].kill()
            fleet.fleet.processes[name].start()
        assert (await fleet.through(90, 2)).phase == "done"
        await fleet.until("all good", lambda: all_run("good"))

        # A bad one is stopped at the first server and taken back.
        assert (await fleet.command(*stages, f"{folder}/no-start")).returncode == 0
        assert (await fleet.through(60, 3)).phase == "back"
        await fleet.until("all good again", lambda: all_run("good"))
        reached = fleet.reached("no-start")
        assert len(reached) == 1
        if beside:  # its server never went away
            assert fleet.serving(reached[0])[1] == 2
        assert b"back" in (await fleet.command("roll", "history")).stdout
        fleet.calling.cancel()
        judged = fleet.judged()
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
    service = StewardService(check("conf", told), lambda *_, **__: None)
    async with anyio.create_task_group() as group:
        service.group, keeping = group, service.keeping
        keeping.phase, keeping.state = "spawning", State(None, Version("bad", digest), 1)
        await service._spawn(1, Version("bad", digest))
        with anyio.fail_after(10):
            while not keeping.crashes:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_settings_are_checked_before_they_are_kept_and_never_change(tmp_path: Path) -> None:
    async with anyio.create_task_group() as group:
        fleet = Machines(tmp_path, group, 1, 1, 1)
        try:
            await fleet.fleet.start_voters()
            await fleet.fleet.form()
            good, bad = tmp_path / "good.json", tmp_path / "bad.json"
            good.write_text(json.dumps(SETTINGS))
            bad.write_text(json.dumps({**SETTINGS, "classes": 3}))
            assert (await fleet.command("settings", "add", "1", str(bad))).returncode == 2
            told = await fleet.command("settings", "add", "1", str(good))
            assert hashlib.sha256(good.read_bytes()).hexdigest().encode() in told.stdout
            assert (await fleet.command("settings", "add", "1", str(good))).returncode == 1
            assert json.loads((await fleet.command("settings", "show", "1")).stdout) == SETTINGS
            other = tmp_path / "other.json"
            other.write_text(json.dumps({**SETTINGS, "overShareWorth": 0.5}))
            assert (await fleet.command("settings", "add", "2", str(other))).returncode == 0
            told = await fleet.command("settings", "diff", "1", "2")
            assert told.stdout == b"-overShareWorth = 1.0\n+overShareWorth = 0.5\n"
            listed = (await fleet.command("settings", "history")).stdout.splitlines()
            assert [line.split()[0] for line in listed] == [b"1", b"2"]
        finally:
            fleet.close()
            group.cancel_scope.cancel()
