"""What `lab scale` counts of stewards, the conductor, the decider of zones, and that it would notice more."""

from typing import Any

import pytest

from thistleline.lab.scale import control
from thistleline.lab.scale.members import update_bytes
from thistleline.lab.scale.slopes import Row, judge, steps_of
from thistleline.rollout import controller as rollout_controller
from thistleline.rollout.canary import CanaryAnalysis
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.leased_records import LeasedRecords
from thistleline.rollout.order import ORDER_KEY
from thistleline.supervisor.model import DesiredVersion
from thistleline.supervisor.releases import Releases
from thistleline.supervisor.service import POLL
from thistleline.supervisor.state_machine import Supervisor
from thistleline.zones.decision import ZoneDecider
from thistleline.zones.status import FleetStatusTracker

SIZES = [30, 60, 120, 300]


def missed(rows: list[Row]) -> list[str]:
    names = {one["name"] for one in rows}
    bars = judge(rows, {name: shape for name, shape in control.PROMISED.items() if name in names})
    return [name for name, held in bars.items() if not held]


def of(what: str, sizes: list[int], call: Any) -> list[str]:
    """What is missed of one promise."""
    return missed([control.count_row(control.Case(what, sizes, call))])


LOOK = "conductor: steps of a look in a change by instance"
CALM = "decider: steps of a decision in calm by stage"


def test_a_quick_run_counts_alone_and_holds_its_promises() -> None:
    told = control.measure(True, 7, lambda words: None)
    assert {one["kind"] for one in told["rows"]} == {"count"}
    assert set(control.PROMISED) == {one["name"] for one in told["rows"]}
    assert [bar for bar, held in told["bars"].items() if not held] == []


def test_the_same_seed_counts_the_same() -> None:
    for call in (
        lambda: control.make_rollout(81, 10, 7).end_slot,
        lambda: control.make_zones(54, 3, True).decide,
    ):
        assert steps_of(call()) == steps_of(call())
    assert control.id_comparisons(60, 7) == control.id_comparisons(60, 7)
    assert control.restart_costs() == control.restart_costs()


# ---- the steward


def test_a_restart_costs_a_steward_its_notes_and_words_and_no_question_unless_settings_are_new() -> None:
    found = control.restart_costs()
    assert {name: one["questions to the council"] for name, one in found.items()} == {
        "crash": 0, "started anew": 0, "started anew, beside": 0,
        "other settings": 1, "other settings, beside": 1,
    }  # fmt: skip
    assert found["crash"]["notes to disk"] == 1
    assert found["other settings, beside"]["notes to disk"] == 4  # want, heir, serves, good
    for one in found.values():
        assert one["bytes of these words"] == one[control.UPDATES_FIGURE] * update_bytes()
    assert (
        found["started anew, beside"][control.UPDATES_FIGURE] < found["started anew"][control.UPDATES_FIGURE]
    )


def test_a_calm_hour_is_a_question_and_an_answer_each_poll() -> None:
    told = control.quiet_hour()
    assert told["messages an hour"] == 2 * 3600 / POLL
    assert told["bytes an hour"] == told["bytes a question and answer"] * 3600 / POLL


def test_a_steward_that_looks_through_all_it_followed_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Supervisor._on_desired_version

    def through_all(self: Supervisor, want: DesiredVersion) -> None:
        known: list[DesiredVersion] = self.__dict__.setdefault("known", [])
        if all(one != want for one in known):
            known.append(want)
        had(self, want)

    monkeypatch.setattr(Supervisor, "_on_desired_version", through_all)
    what = "steward: steps of a look with nothing new by want"
    assert of(what, [3, 10, 30, 60], lambda n: control.make_supervisor(n).poll) == [f"{what}: flat"]


def test_a_steward_that_notes_more_each_time_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Supervisor._on_desired_version

    def longer(self: Supervisor, want: DesiredVersion) -> None:
        count = 0 if self.state.desired is None else len(self.state.desired.version.readable_formats)
        version = control.version(want.number)
        grown = type(version)(version.release, version.digest, version.settings, version.settings_digest,
                              (3,) * (count + 1), 4)  # fmt: skip
        had(self, DesiredVersion(want.epoch, want.number, grown, want.restart_token))

    monkeypatch.setattr(Supervisor, "_on_desired_version", longer)
    what = "steward: bytes of its state by want"
    assert of(what, [3, 10, 30, 60], lambda n: control.make_supervisor(n).state_bytes()) == [f"{what}: flat"]


def test_a_check_that_looks_at_all_releases_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Releases.verify

    def all_of_them(self: Releases, name: str, digest: str) -> None:
        for one in self.names():
            had(self, one, digest)

    monkeypatch.setattr(Releases, "verify", all_of_them)
    what = "steward: steps of a check of a release by release"
    assert of(what, [3, 10, 30, 60], control.steps_of_verify) == [f"{what}: flat"]


def test_what_the_imports_of_a_process_hold_is_seen() -> None:
    assert control.interpreter_bytes("pass") + (1 << 20) < control.interpreter_bytes("import anyio") < 1 << 30


# ---- the conductor


def test_a_conductor_that_takes_over_asks_for_the_want_of_each_and_then_for_the_order_alone() -> None:
    (first, _), (second, _) = control.cluster_reads(20)
    assert first == 20 + 2  # the roll, each want, the order
    assert second - first == 1


def test_a_conductor_that_asks_for_all_wants_at_each_look_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = LeasedRecords.get

    async def again(self: LeasedRecords, key: str) -> bytes | None:
        if key == ORDER_KEY:
            for place in range(len(self.versions) - 2):
                await had(self, f"want/{place}")
        return await had(self, key)

    monkeypatch.setattr(LeasedRecords, "get", again)
    asked = {n: control.cluster_reads(n) for n in SIZES}
    what = "conductor: reads of the council of a later look by instance"
    assert of(what, SIZES, lambda n: asked[n][1][0] - asked[n][0][0]) == [f"{what}: flat"]


def test_a_look_that_passes_over_all_for_each_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = RolloutController._steer

    def for_each(self: RolloutController, record: Any, desired: Any) -> None:
        for one in self.servers.values():
            sum(other.up for other in self.servers.values() if other.zone != one.zone)
        had(self, record, desired)

    monkeypatch.setattr(RolloutController, "_steer", for_each)
    assert of(LOOK, SIZES, lambda n: control.make_rollout(n, 0, 1).observe) == [f"{LOOK}: linear"]


def test_a_slot_that_holds_each_against_each_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = CanaryAnalysis._compare_warm

    def each(self: CanaryAnalysis, metric: Any, told: Any) -> None:
        for one in told:
            sum(other.tasks for other in told if other.zone != one.zone)
        had(self, metric, told)

    monkeypatch.setattr(CanaryAnalysis, "_compare_warm", each)
    what = "conductor: steps of a slot judged by instance"
    assert of(what, SIZES, lambda n: control.make_rollout(n, 0, 1).end_slot) == [f"{what}: linear"]


def test_a_slot_that_looks_each_up_in_a_row_of_all_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    what = "conductor: comparisons of ids in a slot by instance"
    assert of(what, SIZES, lambda n: control.id_comparisons(n, 1)) == []
    monkeypatch.setattr(rollout_controller, "frozenset", tuple, raising=False)
    assert of(what, SIZES, lambda n: control.id_comparisons(n, 1)) == [f"{what}: linear"]


def test_the_conductor_that_is_measured_judges_and_waits_for_room() -> None:
    made = control.make_rollout(108, 10, 1).controller
    assert made.record is not None
    assert made.record.phase == "going"
    assert made.analysis is not None
    assert made.analysis.compared_slots == 3  # of four slots: the first is what the next is held against
    assert len(made.changes.under_way) == 1
    assert made.changes.no_room


def test_comparisons_in_c_are_counted() -> None:
    control.CountedId.comparisons = 0
    assert control.CountedId("a") in (control.CountedId("b"), control.CountedId("a"))
    assert control.CountedId.comparisons == 2


# ---- the decider of zones


def test_a_lost_zone_that_is_measured_spills_and_calm_does_not() -> None:
    calm, lost = control.SimulatedZones(54, 9, 4), control.SimulatedZones(54, 9, 4, True)
    assert calm.decide().shares == ()
    assert {one.origin for one in lost.decide().shares} == {"z00"}
    assert lost.decide() == lost.decide()


def test_a_decision_that_compares_stages_with_each_other_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = ZoneDecider._limit_receivers

    def each(self: ZoneDecider, picture: Any, demand: Any, away: Any) -> None:
        for _ in picture.demand:
            sum(picture.demand.values()) + sum(1 for _ in picture.demand)
        had(self, picture, demand, away)

    monkeypatch.setattr(ZoneDecider, "_limit_receivers", each)
    assert of(CALM, [3, 10, 30, 60], lambda n: control.make_zones(54, n).decide) == [f"{CALM}: linear"]


def test_a_picture_that_passes_over_all_reports_for_each_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = FleetStatusTracker._zone_status

    def each(self: FleetStatusTracker, name: str, here: Any, believed: Any) -> Any:
        for _ in believed:
            sum(1 for _ in self.reports)
        return had(self, name, here, believed)

    monkeypatch.setattr(FleetStatusTracker, "_zone_status", each)
    what = "decider: steps of a picture by instance"
    assert of(what, SIZES, lambda n: control.make_zones(n, 2).fleet_status) == [f"{what}: linear"]


def test_the_picture_for_a_look_holds_all_servers() -> None:
    assert len(control.status_building(30)()) == 30
