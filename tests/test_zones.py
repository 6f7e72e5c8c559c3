"""Zones: what is known of them, and where traffic goes, decided from the table before."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.lab.zones import Fault, play
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
PRICE = {(one, other): 1.0 + abs(ord(one) - ord(other)) for one in NAMES for other in NAMES if one != other}
RULES = RoutingRules(PRICE, {0: 1.0, 1: 3.0})


def zone(name: str, room: float = 100.0, **changes: Any) -> ZoneStatus:
    told: dict[str, Any] = {"servers": 10, "uncertainty": 0.0, "health": 1.0, "gray_failure": False} | changes
    return ZoneStatus(name, room, **told)


def picture(demand: dict[str, float], zones: dict[str, ZoneStatus] | None = None) -> FleetStatus:
    """Six tenths of each zone's demand are lookups, the rest bookings."""
    known = {name: zone(name) for name in NAMES} | (zones or {})
    split = {
        (name, stage): part * demand.get(name, 0.0) for name in NAMES for stage, part in ((0, 0.6), (1, 0.4))
    }
    return FleetStatus(known, split)


def settled(deciding: ZoneDecider, told: FleetStatus, times: int = 12) -> RoutingTable:
    for _ in range(times):
        deciding.decide(told)
    return deciding.table


def test_in_calm_nothing_moves() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    assert settled(deciding, picture(dict.fromkeys(NAMES, 70.0)), 50).number == 0


def test_what_is_least_worth_goes_first_to_the_nearest_by_steps() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    sick = picture({"a": 80.0, "b": 50.0, "c": 50.0, "d": 50.0}, {"a": zone("a", 50.0)})
    first = deciding.decide(sick)
    assert {(one.stage, one.receiver) for one in first.shares if one.fraction} >= {(0, "b")}
    assert first.shares_from("a", 0)["b"] * 48.0 <= RECEIVE_STEP * 100.0 + 0.1
    table = settled(deciding, sick)
    assert {one.stage for one in table.shares} == {0}  # the bookings stay at home
    assert sum(one.fraction * 48.0 for one in table.shares) == pytest.approx(80 - 0.95 * 50, abs=1.0)


def test_no_receiver_gets_more_than_its_room_less_the_reserve() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    lost = picture(dict.fromkeys(NAMES, 70.0), {"a": zone("a", 0.0, servers=0, health=0.0, uncertainty=1.0)})
    table = settled(deciding, lost)
    for name in "bcd":
        taken = sum(
            one.fraction * (42.0 if one.stage == 0 else 28.0) for one in table.shares if one.receiver == name
        )
        assert 70.0 + taken <= (1 - RESERVE) * 100.0 + 0.5


def test_with_no_room_anywhere_all_stays_at_home() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    assert settled(deciding, picture(dict.fromkeys(NAMES, 120.0))).shares == ()


def test_a_common_slowdown_moves_nothing() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    settled(deciding, picture({"a": 80.0, "b": 40.0, "c": 40.0, "d": 40.0}))
    slow = picture({"a": 80.0, "b": 40.0, "c": 40.0, "d": 40.0}, {name: zone(name, 60.0) for name in NAMES})
    assert settled(deciding, slow).number == 0


def test_a_receiver_that_sickens_gives_back_and_passes_nothing_on() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    demand = {"a": 80.0, "b": 60.0, "c": 20.0, "d": 20.0}
    settled(deciding, picture(demand, {"a": zone("a", 60.0)}))
    assert "b" in deciding.table.receivers()
    after = deciding.decide(picture(demand, {"a": zone("a", 60.0), "b": zone("b", 40.0)}))
    assert "b" not in after.receivers()
    assert not after.senders() & after.receivers()


def test_what_went_away_comes_back_later_and_slower() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    demand = {"a": 80.0, "b": 40.0, "c": 40.0, "d": 40.0}
    settled(deciding, picture(demand, {"a": zone("a", 40.0)}))
    gone = sum(one.fraction for one in deciding.table.shares)
    before = deciding.table
    assert deciding.decide(picture(demand, {"a": zone("a", 110.0)})) == before  # not at once
    settled(deciding, picture(demand, {"a": zone("a", 110.0)}), 5)
    assert sum(one.fraction for one in deciding.table.shares) >= gone - 3 * RETURN_STEP / 0.4 - 0.1
    assert settled(deciding, picture(demand, {"a": zone("a", 110.0)}), 60).shares == ()


def test_a_zone_by_hand_and_a_law_are_kept() -> None:
    bound = frozenset({(0, "a", "b"), (1, "a", "b")})
    deciding = ZoneDecider(RoutingRules(PRICE, RULES.utility, bound, frozenset({"a"})), RoutingTable())
    table = settled(deciding, picture(dict.fromkeys(NAMES, 20.0)))
    assert table.senders() == {"a"}
    assert "b" not in table.receivers()
    assert sum(one.fraction for one in table.shares if one.stage == 1) == pytest.approx(1.0, abs=0.05)


def test_a_successor_goes_on_from_the_table_that_is_recorded() -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    sick = picture({"a": 80.0, "b": 50.0, "c": 50.0, "d": 50.0}, {"a": zone("a", 50.0)})
    settled(deciding, sick)
    assert settled(ZoneDecider(RULES, deciding.table), sick).number == deciding.table.number


parts = st.floats(0.0, 200.0)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(parts, st.tuples(parts, parts, parts, parts)), min_size=1, max_size=12))
def test_whatever_comes_no_chains_and_no_receiver_over_its_room(told: list[tuple[float, Any]]) -> None:
    deciding = ZoneDecider(RULES, RoutingTable())
    for load, rooms in told:
        here = {name: zone(name, room) for name, room in zip(NAMES, rooms, strict=True)}
        demand = {name: load * (1 + place % 2) for place, name in enumerate(NAMES)}
        before = deciding.table
        now = picture(demand, here)
        table = deciding.decide(now)
        assert table.number in (before.number, before.number + 1)
        for origin in NAMES:
            for stage in (0, 1):
                assert sum(table.shares_from(origin, stage).values()) <= 1.01
        if table.number != before.number:
            assert not table.senders() & table.receivers()
            for to in table.receivers():
                taken = sum(
                    one.fraction * now.demand[one.origin, one.stage]
                    for one in table.shares
                    if one.receiver == to
                )
                assert demand[to] + taken <= (1 - RESERVE) * here[to].capacity + 0.02 * load * 8 + 0.1


# ---- the picture


def report(id: str, at: int, zone: str = "a", **changes: Any) -> ServerReport:
    told: dict[str, Any] = {
        "capacity": 10.0,
        "finished_count": at,
        "success_ratio": 1.0,
        "arrivals": ((zone, 0, 5.0),),
    } | changes
    return ServerReport(id, zone, at, **told)


def test_one_that_reports_endless_room_and_one_that_is_stuck_count_for_little() -> None:
    pictures = FleetStatusTracker(("a", "b"))
    for second in range(1, 30):
        for place in range(8):
            pictures.add_report(report(f"s{place}", second * SECOND))
        pictures.add_report(report("liar", second * SECOND, capacity=1e9))
        pictures.add_report(report("stuck", second * SECOND, finished_count=7, capacity=10.0))
    told = pictures.status(29 * SECOND).zones["a"]
    assert told.capacity == pytest.approx(8 * 10 + 15)
    assert told.uncertainty == pytest.approx(0.1)


def test_a_grey_zone_is_believed_by_what_others_see_but_not_by_one_alone() -> None:
    pictures = FleetStatusTracker(("a", "b", "c", "d"))
    for place in range(4):
        pictures.add_report(report(f"s{place}", SECOND))
    pictures.add_observation(StatusObservation("b", "a", 100, 30))
    assert pictures.status(SECOND).zones["a"].health == 1.0  # b may be cut off itself
    pictures.add_observation(StatusObservation("c", "a", 100, 40))
    told = pictures.status(SECOND).zones["a"]
    assert told.gray_failure
    assert told.capacity == pytest.approx(0.35 * 40)


def test_what_came_to_a_zone_that_is_lost_is_not_forgotten_at_once() -> None:
    pictures = FleetStatusTracker(("a", "b"))
    pictures.add_report(report("s0", SECOND))
    pictures.status(SECOND)
    late = SECOND + REPORT_TTL + 1
    pictures.add_report(report("s1", late, "b", arrivals=(("b", 0, 5.0), ("a", 0, 1.0))))
    assert pictures.status(late).demand["a", 0] == 5.0
    assert pictures.status(late + DEMAND_TTL).demand.get(("a", 0), 0.0) <= 1.0


def test_a_zone_nobody_told_of_is_passed_over() -> None:
    pictures = FleetStatusTracker(("a",))
    pictures.add_report(report("s0", SECOND, "x"))
    pictures.add_observation(StatusObservation("x", "a", 100, 0))
    assert pictures.status(SECOND).zones["a"].servers == 0


# ---- many steps


@pytest.mark.parametrize(("faults", "better"), [
    ((), False),
    ((Fault("lost", "z1", 25, 100),), True),
    ((Fault("sick", "z0", 25, 100),), True),
    ((Fault("grey", "z1", 25, 100),), True),
    ((Fault("common", "", 25, 100),), False),
    ((Fault("liar", "z1", 25, 100), Fault("burst", "z0", 40, 90)), True),
], ids=["calm", "lost", "sick", "grey", "common", "liar and burst"])  # fmt: skip
def test_many_steps_keep_more_than_each_zone_alone_and_topple_nobody(
    faults: tuple[Fault, ...], better: bool
) -> None:
    pytest.importorskip("highspy")
    told = play(4, 40, 0.6, faults, 1, 150)
    assert told.kept >= 0.95
    assert told.toppled == 0
    if better:
        assert told.kept > told.alone
    else:
        assert told.moves == 0


def test_shares_survive_their_record() -> None:
    import msgspec

    table = RoutingTable(3, (TrafficShare("a", 0, "b", 0.25),), (("a", 10.0),), "a can't finish all")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(table), type=RoutingTable) == table
