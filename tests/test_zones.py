"""Zones: their aggregated status, and the routing of traffic decided from the previous table."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.lab.zones import Fault, simulate
from thistleline.zones.decision import RECEIVE_STEP, RESERVE, RETURN_STEP, ZoneDecider
from thistleline.zones.routing import RoutingRules, RoutingTable, TrafficShare
from thistleline.zones.status import (
    DEMAND_TTL,
    REPORT_TTL,
    SECOND,
    FleetStatus,
    FleetStatusTracker,
    ServerReport,
    StatusObservation,
    ZoneStatus,
)

NAMES = ("a", "b", "c", "d")
COST = {
    (origin, receiver): 1.0 + abs(ord(origin) - ord(receiver))
    for origin in NAMES
    for receiver in NAMES
    if origin != receiver
}
RULES = RoutingRules(COST, {0: 1.0, 1: 3.0})


def zone(name: str, capacity: float = 100.0, **changes: Any) -> ZoneStatus:
    fields: dict[str, Any] = {
        "servers": 10,
        "uncertainty": 0.0,
        "health": 1.0,
        "gray_failure": False,
    } | changes
    return ZoneStatus(name, capacity, **fields)


def fleet_status(demand: dict[str, float], zones: dict[str, ZoneStatus] | None = None) -> FleetStatus:
    """Return a status in which 60 % of each zone's demand is lookups (stage 0), 40 % bookings (stage 1)."""
    all_zones = {name: zone(name) for name in NAMES} | (zones or {})
    stage_demand = {
        (name, stage): share * demand.get(name, 0.0)
        for name in NAMES
        for stage, share in ((0, 0.6), (1, 0.4))
    }
    return FleetStatus(all_zones, stage_demand)


def decide_repeatedly(decider: ZoneDecider, status: FleetStatus, times: int = 12) -> RoutingTable:
    for _ in range(times):
        decider.decide(status)
    return decider.table


def test_no_traffic_moves_while_all_zones_have_capacity() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    assert decide_repeatedly(decider, fleet_status(dict.fromkeys(NAMES, 70.0)), 50).number == 0


def test_lowest_utility_traffic_moves_first_in_steps_to_the_nearest_zone() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    degraded = fleet_status({"a": 80.0, "b": 50.0, "c": 50.0, "d": 50.0}, {"a": zone("a", 50.0)})
    first_table = decider.decide(degraded)
    assert {(share.stage, share.receiver) for share in first_table.shares if share.fraction} >= {(0, "b")}
    assert first_table.shares_from("a", 0)["b"] * 48.0 <= RECEIVE_STEP * 100.0 + 0.1
    table = decide_repeatedly(decider, degraded)
    assert {share.stage for share in table.shares} == {0}  # bookings stay in their zone
    assert sum(share.fraction * 48.0 for share in table.shares) == pytest.approx(80 - 0.95 * 50, abs=1.0)


def test_receivers_keep_their_reserve_when_a_zone_is_lost() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    zone_lost = fleet_status(
        dict.fromkeys(NAMES, 70.0), {"a": zone("a", 0.0, servers=0, health=0.0, uncertainty=1.0)}
    )
    table = decide_repeatedly(decider, zone_lost)
    for name in "bcd":
        received = sum(
            share.fraction * (42.0 if share.stage == 0 else 28.0)
            for share in table.shares
            if share.receiver == name
        )
        assert 70.0 + received <= (1 - RESERVE) * 100.0 + 0.5


def test_no_traffic_moves_without_spare_capacity() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    assert decide_repeatedly(decider, fleet_status(dict.fromkeys(NAMES, 120.0))).shares == ()


def test_no_traffic_moves_during_a_common_slowdown() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    decide_repeatedly(decider, fleet_status({"a": 80.0, "b": 40.0, "c": 40.0, "d": 40.0}))
    slowed = fleet_status(
        {"a": 80.0, "b": 40.0, "c": 40.0, "d": 40.0}, {name: zone(name, 60.0) for name in NAMES}
    )
    assert decide_repeatedly(decider, slowed).number == 0


def test_degraded_receiver_returns_traffic_and_moves_none_of_its_own() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    demand = {"a": 80.0, "b": 60.0, "c": 20.0, "d": 20.0}
    decide_repeatedly(decider, fleet_status(demand, {"a": zone("a", 60.0)}))
    assert "b" in decider.table.receivers()
    after = decider.decide(fleet_status(demand, {"a": zone("a", 60.0), "b": zone("b", 40.0)}))
    assert "b" not in after.receivers()
    assert not after.senders() & after.receivers()


def test_traffic_returns_after_a_delay_and_in_steps() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    demand = {"a": 80.0, "b": 40.0, "c": 40.0, "d": 40.0}
    decide_repeatedly(decider, fleet_status(demand, {"a": zone("a", 40.0)}))
    moved = sum(share.fraction for share in decider.table.shares)
    before = decider.table
    assert decider.decide(fleet_status(demand, {"a": zone("a", 110.0)})) == before  # does not return at once
    decide_repeatedly(decider, fleet_status(demand, {"a": zone("a", 110.0)}), 5)
    assert sum(share.fraction for share in decider.table.shares) >= moved - 3 * RETURN_STEP / 0.4 - 0.1
    assert decide_repeatedly(decider, fleet_status(demand, {"a": zone("a", 110.0)}), 60).shares == ()


def test_drained_zones_and_forbidden_routes_are_respected() -> None:
    forbidden = frozenset({(0, "a", "b"), (1, "a", "b")})
    decider = ZoneDecider(RoutingRules(COST, RULES.utility, forbidden, frozenset({"a"})), RoutingTable())
    table = decide_repeatedly(decider, fleet_status(dict.fromkeys(NAMES, 20.0)))
    assert table.senders() == {"a"}
    assert "b" not in table.receivers()
    assert sum(share.fraction for share in table.shares if share.stage == 1) == pytest.approx(1.0, abs=0.05)


def test_new_decider_continues_from_the_stored_table() -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    degraded = fleet_status({"a": 80.0, "b": 50.0, "c": 50.0, "d": 50.0}, {"a": zone("a", 50.0)})
    decide_repeatedly(decider, degraded)
    assert decide_repeatedly(ZoneDecider(RULES, decider.table), degraded).number == decider.table.number


core_counts = st.floats(0.0, 200.0)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(core_counts, st.tuples(core_counts, core_counts, core_counts, core_counts)),
        min_size=1,
        max_size=12,
    )
)
def test_random_steps_form_no_chains_and_overload_no_receiver(steps: list[tuple[float, Any]]) -> None:
    decider = ZoneDecider(RULES, RoutingTable())
    for load, capacities in steps:
        zones = {name: zone(name, capacity) for name, capacity in zip(NAMES, capacities, strict=True)}
        demand = {name: load * (1 + index % 2) for index, name in enumerate(NAMES)}
        before = decider.table
        status = fleet_status(demand, zones)
        table = decider.decide(status)
        assert table.number in (before.number, before.number + 1)
        for origin in NAMES:
            for stage in (0, 1):
                assert sum(table.shares_from(origin, stage).values()) <= 1.01
        if table.number != before.number:
            assert not table.senders() & table.receivers()
            for receiver in table.receivers():
                received = sum(
                    share.fraction * status.demand[share.origin, share.stage]
                    for share in table.shares
                    if share.receiver == receiver
                )
                assert (
                    demand[receiver] + received
                    <= (1 - RESERVE) * zones[receiver].capacity + 0.02 * load * 8 + 0.1
                )


# ---- the aggregated status


def report(id: str, at: int, zone: str = "a", **changes: Any) -> ServerReport:
    fields: dict[str, Any] = {
        "capacity": 10.0,
        "finished_count": at,
        "success_ratio": 1.0,
        "arrivals": ((zone, 0, 5.0),),
    } | changes
    return ServerReport(id, zone, at, **fields)


def test_unlimited_reported_capacity_is_capped_and_a_stuck_server_ignored() -> None:
    tracker = FleetStatusTracker(("a", "b"))
    for second in range(1, 30):
        for index in range(8):
            tracker.add_report(report(f"s{index}", second * SECOND))
        tracker.add_report(report("unlimited", second * SECOND, capacity=1e9))
        tracker.add_report(report("stuck", second * SECOND, finished_count=7, capacity=10.0))
    zone_a = tracker.status(29 * SECOND).zones["a"]
    assert zone_a.capacity == pytest.approx(8 * 10 + 15)
    assert zone_a.uncertainty == pytest.approx(0.1)


def test_gray_failure_needs_the_observations_of_two_zones() -> None:
    tracker = FleetStatusTracker(("a", "b", "c", "d"))
    for index in range(4):
        tracker.add_report(report(f"s{index}", SECOND))
    tracker.add_observation(StatusObservation("b", "a", 100, 30))
    assert tracker.status(SECOND).zones["a"].health == 1.0  # a single observer may be cut off itself
    tracker.add_observation(StatusObservation("c", "a", 100, 40))
    zone_a = tracker.status(SECOND).zones["a"]
    assert zone_a.gray_failure
    assert zone_a.capacity == pytest.approx(0.35 * 40)


def test_demand_of_a_lost_zone_is_assumed_for_a_while() -> None:
    tracker = FleetStatusTracker(("a", "b"))
    tracker.add_report(report("s0", SECOND))
    tracker.status(SECOND)
    after_loss = SECOND + REPORT_TTL + 1
    tracker.add_report(report("s1", after_loss, "b", arrivals=(("b", 0, 5.0), ("a", 0, 1.0))))
    assert tracker.status(after_loss).demand["a", 0] == 5.0
    assert tracker.status(after_loss + DEMAND_TTL).demand.get(("a", 0), 0.0) <= 1.0


def test_unknown_zones_are_ignored() -> None:
    tracker = FleetStatusTracker(("a",))
    tracker.add_report(report("s0", SECOND, "x"))
    tracker.add_observation(StatusObservation("x", "a", 100, 0))
    assert tracker.status(SECOND).zones["a"].servers == 0


# ---- simulation


@pytest.mark.parametrize(("faults", "improves"), [
    ((), False),
    ((Fault("lost", "z1", 25, 100),), True),
    ((Fault("sick", "z0", 25, 100),), True),
    ((Fault("grey", "z1", 25, 100),), True),
    ((Fault("common", "", 25, 100),), False),
    ((Fault("liar", "z1", 25, 100), Fault("burst", "z0", 40, 90)), True),
], ids=["calm", "lost", "sick", "grey", "common", "liar and burst"])  # fmt: skip
def test_routing_keeps_more_utility_than_isolated_zones_and_overloads_none(
    faults: tuple[Fault, ...], improves: bool
) -> None:
    pytest.importorskip("highspy")
    result = simulate(4, 40, 0.6, faults, 1, 150)
    assert result.kept >= 0.95
    assert result.overloaded_by_moves == 0
    if improves:
        assert result.kept > result.alone
    else:
        assert result.moves == 0


def test_routing_table_round_trips_through_its_encoding() -> None:
    import msgspec

    table = RoutingTable(3, (TrafficShare("a", 0, "b", 0.25),), (("a", 10.0),), "a can't finish all")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(table), type=RoutingTable) == table
