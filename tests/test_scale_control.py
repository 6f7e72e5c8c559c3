"""Costs that `lab scale` counts for supervisors, the rollout controller and the decider of zones.

Each promised shape is also checked to fail when the code does more work than it allows.
"""

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


def missed_bars(rows: list[Row]) -> list[str]:
    names = {one["name"] for one in rows}
    bars = judge(rows, {name: shape for name, shape in control.PROMISED.items() if name in names})
    return [name for name, held in bars.items() if not held]


def missed_shapes(row_name: str, sizes: list[int], call: Any) -> list[str]:
    """Measure one row and return the bars that it misses."""
    return missed_bars([control.count_row(control.Case(row_name, sizes, call))])


OBSERVATION_ROW = "conductor: steps of a look in a change by instance"
CALM_DECISION_ROW = "decider: steps of a decision in calm by stage"


def test_quick_run_has_only_counts_and_meets_all_bars() -> None:
    result = control.measure(True, 7, lambda words: None)
    assert {one["kind"] for one in result["rows"]} == {"count"}
    assert set(control.PROMISED) == {one["name"] for one in result["rows"]}
    assert [bar for bar, held in result["bars"].items() if not held] == []


def test_counts_are_the_same_for_the_same_seed() -> None:
    for call in (
        lambda: control.make_rollout(81, 10, 7).end_slot,
        lambda: control.make_zones(54, 3, True).decide,
    ):
        assert steps_of(call()) == steps_of(call())
    assert control.id_comparisons(60, 7) == control.id_comparisons(60, 7)
    assert control.restart_costs() == control.restart_costs()


# ---- the supervisor


def test_restart_reads_the_consensus_cluster_only_for_new_settings() -> None:
    by_cause = control.restart_costs()
    assert {name: costs["questions to the council"] for name, costs in by_cause.items()} == {
        "crash": 0, "started anew": 0, "started anew, beside": 0,
        "other settings": 1, "other settings, beside": 1,
    }  # fmt: skip
    assert by_cause["crash"]["notes to disk"] == 1
    assert (
        by_cause["other settings, beside"]["notes to disk"] == 4
    )  # desired version, successor, serving, good
    for costs in by_cause.values():
        assert costs["bytes of these words"] == costs[control.UPDATES_FIGURE] * update_bytes()
    assert (
        by_cause["started anew, beside"][control.UPDATES_FIGURE]
        < by_cause["started anew"][control.UPDATES_FIGURE]
    )


def test_quiet_hour_has_one_request_and_one_answer_for_each_poll() -> None:
    result = control.quiet_hour()
    assert result["messages an hour"] == 2 * 3600 / POLL
    assert result["bytes an hour"] == result["bytes a question and answer"] * 3600 / POLL


def test_supervisor_poll_that_scans_all_followed_versions_misses_its_bar(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = Supervisor._on_desired_version

    def scan_all(self: Supervisor, desired: DesiredVersion) -> None:
        known: list[DesiredVersion] = self.__dict__.setdefault("known", [])
        if all(version != desired for version in known):
            known.append(desired)
        original(self, desired)

    monkeypatch.setattr(Supervisor, "_on_desired_version", scan_all)
    row_name = "steward: steps of a look with nothing new by want"
    assert missed_shapes(row_name, [3, 10, 30, 60], lambda n: control.make_supervisor(n).poll) == [
        f"{row_name}: flat"
    ]


def test_supervisor_state_that_grows_with_each_version_misses_its_bar(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = Supervisor._on_desired_version

    def grow_state(self: Supervisor, desired: DesiredVersion) -> None:
        count = 0 if self.state.desired is None else len(self.state.desired.version.readable_formats)
        version = control.version(desired.number)
        grown = type(version)(version.release, version.digest, version.settings, version.settings_digest,
                              (3,) * (count + 1), 4)  # fmt: skip
        original(self, DesiredVersion(desired.epoch, desired.number, grown, desired.restart_token))

    monkeypatch.setattr(Supervisor, "_on_desired_version", grow_state)
    row_name = "steward: bytes of its state by want"
    assert missed_shapes(row_name, [3, 10, 30, 60], lambda n: control.make_supervisor(n).state_bytes()) == [
        f"{row_name}: flat"
    ]


def test_release_check_that_verifies_all_releases_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Releases.verify

    def verify_all(self: Releases, name: str, digest: str) -> None:
        for release in self.names():
            original(self, release, digest)

    monkeypatch.setattr(Releases, "verify", verify_all)
    row_name = "steward: steps of a check of a release by release"
    assert missed_shapes(row_name, [3, 10, 30, 60], control.steps_of_verify) == [f"{row_name}: flat"]


def test_resident_bytes_include_imports() -> None:
    assert control.interpreter_bytes("pass") + (1 << 20) < control.interpreter_bytes("import anyio") < 1 << 30


# ---- the rollout controller


def test_controller_reads_all_desired_versions_first_and_then_only_the_order() -> None:
    (first, _), (second, _) = control.cluster_reads(20)
    assert first == 20 + 2  # the rollout record, each desired version, the order
    assert second - first == 1


def test_controller_that_reads_all_desired_versions_each_time_misses_its_bar(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = LeasedRecords.get

    async def get_all(self: LeasedRecords, key: str) -> bytes | None:
        if key == ORDER_KEY:
            for index in range(len(self.versions) - 2):
                await original(self, f"want/{index}")
        return await original(self, key)

    monkeypatch.setattr(LeasedRecords, "get", get_all)
    reads = {n: control.cluster_reads(n) for n in SIZES}
    row_name = "conductor: reads of the council of a later look by instance"
    assert missed_shapes(row_name, SIZES, lambda n: reads[n][1][0] - reads[n][0][0]) == [f"{row_name}: flat"]


def test_observation_that_scans_all_servers_for_each_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    original = RolloutController._converge_servers

    def scan_for_each(self: RolloutController, record: Any, desired: Any) -> None:
        for server in self.servers.values():
            sum(other.up for other in self.servers.values() if other.zone != server.zone)
        original(self, record, desired)

    monkeypatch.setattr(RolloutController, "_converge_servers", scan_for_each)
    assert missed_shapes(OBSERVATION_ROW, SIZES, lambda n: control.make_rollout(n, 0, 1).observe) == [
        f"{OBSERVATION_ROW}: linear"
    ]


def test_slot_that_compares_all_servers_with_each_other_misses_its_bar(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = CanaryAnalysis._compare_warm

    def compare_all(self: CanaryAnalysis, metric: Any, samples: Any) -> None:
        for sample in samples:
            sum(other.tasks for other in samples if other.zone != sample.zone)
        original(self, metric, samples)

    monkeypatch.setattr(CanaryAnalysis, "_compare_warm", compare_all)
    row_name = "conductor: steps of a slot judged by instance"
    assert missed_shapes(row_name, SIZES, lambda n: control.make_rollout(n, 0, 1).end_slot) == [
        f"{row_name}: linear"
    ]


def test_slot_that_searches_ids_in_a_tuple_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    row_name = "conductor: comparisons of ids in a slot by instance"
    assert missed_shapes(row_name, SIZES, lambda n: control.id_comparisons(n, 1)) == []
    monkeypatch.setattr(rollout_controller, "frozenset", tuple, raising=False)
    assert missed_shapes(row_name, SIZES, lambda n: control.id_comparisons(n, 1)) == [f"{row_name}: linear"]


def test_measured_controller_judges_slots_and_waits_for_room() -> None:
    controller = control.make_rollout(108, 10, 1).controller
    assert controller.record is not None
    assert controller.record.phase == "going"
    assert controller.analysis is not None
    assert controller.analysis.compared_slots == 3  # of four slots: the first is the base of the next
    assert len(controller.changes.pending) == 1
    assert controller.changes.blocked


def test_id_comparisons_in_c_are_counted() -> None:
    control.CountedId.comparisons = 0
    assert control.CountedId("a") in (control.CountedId("b"), control.CountedId("a"))
    assert control.CountedId.comparisons == 2


# ---- the decider of zones


def test_measured_lost_zone_sends_requests_away_and_calm_zones_do_not() -> None:
    calm, lost = control.SimulatedZones(54, 9, 4), control.SimulatedZones(54, 9, 4, True)
    assert calm.decide().shares == ()
    assert {one.origin for one in lost.decide().shares} == {"z00"}
    assert lost.decide() == lost.decide()


def test_decision_that_compares_all_stages_with_each_other_misses_its_bar(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = ZoneDecider._limit_receivers

    def compare_stages(self: ZoneDecider, status: Any, demand: Any, away: Any) -> None:
        for _ in status.demand:
            sum(status.demand.values()) + sum(1 for _ in status.demand)
        original(self, status, demand, away)

    monkeypatch.setattr(ZoneDecider, "_limit_receivers", compare_stages)
    assert missed_shapes(CALM_DECISION_ROW, [3, 10, 30, 60], lambda n: control.make_zones(54, n).decide) == [
        f"{CALM_DECISION_ROW}: linear"
    ]


def test_zone_status_that_scans_all_reports_for_each_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    original = FleetStatusTracker._zone_status

    def scan_reports(self: FleetStatusTracker, name: str, here: Any, believed: Any) -> Any:
        for _ in believed:
            sum(1 for _ in self.reports)
        return original(self, name, here, believed)

    monkeypatch.setattr(FleetStatusTracker, "_zone_status", scan_reports)
    row_name = "decider: steps of a picture by instance"
    assert missed_shapes(row_name, SIZES, lambda n: control.make_zones(n, 2).fleet_status) == [
        f"{row_name}: linear"
    ]


def test_server_statuses_have_all_servers() -> None:
    assert len(control.status_building(30)()) == 30
