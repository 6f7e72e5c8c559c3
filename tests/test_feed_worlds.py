"""The feed without I/O: its reducers explored, protections taken out, a small fleet in virtual time."""

from collections import Counter
from typing import Any

import msgspec
import pytest

from thistleline.config.schema import FeedConfig
from thistleline.config_feed.limits import MS, SECOND
from thistleline.config_feed.messages import Propose, ProposeResult
from thistleline.config_feed.table import FeedTable
from thistleline.lab.scale import feed
from thistleline.lab.scale.feed import Load, begin, case, made_table
from thistleline.lab.simulation import feed_mutants as feedmutants
from thistleline.lab.simulation.feed_fleet import LEASE_LENGTH, Oracle, SharedTable, VirtualFeed, quantile
from thistleline.lab.simulation.feed_mutants import MUTANTS, SCENARIOS, explore_scenario

# ---- explored


@pytest.mark.parametrize("what", SCENARIOS)
def test_nothing_is_lost_doubled_or_half_seen_near_a_hard_case(what: str) -> None:
    found = explore_scenario(what, 3000)
    assert not found.wrong, "\n".join([found.wrong, *found.trace])
    assert found.whole or found.states >= 3000


@pytest.mark.parametrize("place", range(len(MUTANTS)), ids=[one.protection for one in MUTANTS])
def test_a_protection_left_out_is_found(place: int) -> None:
    found = feedmutants.explore_mutant(place, 6000)
    assert found.wrong, f"{MUTANTS[place].protection}: {found.states} states, depth {found.depth}"


def test_an_exploration_is_the_same_each_time() -> None:
    assert explore_scenario("deposed writer", 1000) == explore_scenario("deposed writer", 1000)


# ---- the oracle can fail


def test_the_oracle_sees_what_is_half_there_lost_or_another_s() -> None:
    table = FeedTable().update(1, [("common/a", b"{}", 1), ("tenant/t", b"{}", 1)])
    oracle = Oracle(table)
    oracle.acknowledge(2, (("common/a", b'{"a":2}'), ("common/b", b"{}")))
    whole = table.update(2, [("common/a", b'{"a":2}', 2), ("common/b", b"{}", 2)])
    oracle.check(whole, "all", 1)
    assert (oracle.wrong, oracle.difference(whole, "all")) == ("", "")
    half = table.update(2, [("common/a", b'{"a":2}', 2)])
    oracle.check(half, "all", 1)
    assert "common/b" in oracle.wrong or "entries" in oracle.wrong
    assert oracle.difference(half, "all")
    assert oracle.difference(table, "all")  # it ends too early
    assert oracle.difference(whole.update(2, [("common/b", b"[]", 2)]), "all")
    oracle = Oracle(table)
    oracle.acknowledge(3, (("common/a", None),))
    assert oracle.wrong  # 2 was never acknowledged


def test_shared_states_are_those_that_each_would_make() -> None:
    plain, shared = FeedTable(), SharedTable()
    items = (("common/a", b"{}", 1), ("tenant/t", b"{}", 1), ("route/r", b"{}", 1))
    assert shared.update(1, items) == plain.update(1, items)
    assert shared.update(1, items) is shared.update(1, items)
    assert shared.update(1, items, "wide") == plain.update(1, items, "wide")
    again = (("common/a", None, 2),)
    assert shared.update(1, items).update(2, again) == plain.update(1, items).update(2, again)


def test_a_shared_state_tells_its_entries_in_one_order_in_every_process() -> None:
    keys = [f"route/r{place}" for place in range(100)]
    shared = SharedTable().update(1, tuple((key, b"{}", 1) for key in reversed(keys)))
    assert [key for key, _, _ in shared.entries("wide")] == sorted(keys)
    assert sorted(FeedTable(*shared).entries("all")) == list(shared.entries("all"))


def test_quantiles_of_counted_values() -> None:
    counts = Counter({10: 98, 20: 1, 70: 1})
    assert [quantile(counts, part) for part in (0.5, 0.99, 1)] == [10, 20, 70]
    assert quantile(Counter(), 0.5) == 0


# ---- a fleet


def small(seed: int = 1, zones: int = 0) -> VirtualFeed:
    fleet = VirtualFeed(made_table(50, 50, seed), seed, 24, regions=3, relays=2, keepers=3, zones=zones)
    begin(fleet)
    return fleet


def test_a_fleet_s_day_is_the_same_for_the_same_seed() -> None:
    one, other = (case(Load(small(), 50, 50, 1), 5.0, 3.0) for _ in range(2))
    assert one == other
    assert one["changes"] > 5
    assert not one["behind"]


def test_a_relay_that_dies_without_a_word_costs_its_followers_no_more_than_their_patience() -> None:
    fleet = small()
    told = case(Load(fleet, 50, 50, 1), 5.0, 5.0, lambda: feed.relay_dies(fleet))
    assert not told["behind"]
    assert 1000 < told["last_ms"] < 7000  # somebody had to go elsewhere
    assert not fleet.faults()


def test_a_side_that_is_cut_off_serves_its_last_state_and_catches_up() -> None:
    fleet = small()
    told = feed.split(Load(fleet, 50, 50, 1), 20, 5.0)
    assert told["states_of_the_cut_side"] == 1
    assert told["caught_up"]
    assert told["caught_up_s"] < 7
    assert not fleet.faults()


def test_who_comes_back_cold_or_with_an_older_state_holds_the_newest_soon() -> None:
    fleet = small(zones=6)
    load = Load(fleet, 50, 50, 1)
    cold = case(load, 5.0, 4.0, lambda: feed.zone_returns(fleet))
    late = case(load, 5.0, 4.0, lambda: feed.rack_returns(fleet, 4, SECOND))
    assert not cold["behind"] + late["behind"]
    assert max(cold["last_ms"], late["last_ms"]) < 7000
    assert not fleet.faults()


def test_a_slow_instance_stalls_nobody() -> None:
    fleet = small()
    fleet.slow("i0", 2 * SECOND)
    load = Load(fleet, 50, 50, 1)
    load.plan(5.0, 4.0)
    fleet.run(fleet.now + 4 * SECOND)
    last = fleet.oracle.last
    behind = [name for name in fleet.instances if fleet.processes[name].number < last - 5]
    assert behind in ([], ["i0"])
    fleet.settle()
    assert not fleet.behind()
    assert not fleet.faults()


def test_a_bad_change_takes_no_number() -> None:
    fleet = small()
    before = fleet.oracle.last
    fleet.propose(Propose("bad", (("route/x", b'{"nonsense":1}'),)))
    fleet.propose(Propose("good", (("common/x", b"{}"),)))
    fleet.run(fleet.now + SECOND)
    assert (len(fleet.refused), fleet.oracle.last) == (1, before + 1)
    assert "nonsense" in fleet.refused[0]


def test_an_instance_that_lost_its_folder_s_changes_says_nothing_of_them() -> None:
    """A restart finds what was durable, which may be older; from there on it only goes forward."""
    fleet = small()
    load = Load(fleet, 50, 50, 1)
    load.plan(5.0, 3.0)
    fleet.run(fleet.now + 2 * SECOND)
    place = fleet.processes["i1"]
    older = fleet.wide
    place.durable = older
    fleet.restart("i1", False)
    assert place.number == older.sequence
    fleet.run(fleet.now + 3 * SECOND, lambda: not fleet.behind())
    fleet.settle()
    assert not fleet.behind()
    assert not fleet.faults()
    assert place.since > 100 * MS


def test_zones_are_dealt_out_to_regions_that_differ_in_size_with_them() -> None:
    fleet = VirtualFeed(made_table(5, 5, 1), 1, 270, regions=10, relays=2, keepers=5, zones=27)
    zones = Counter(fleet.processes[name].zone for name in fleet.instances)
    assert set(zones.values()) == {10}
    regions = Counter(fleet.processes[name].region for name in fleet.instances)
    assert Counter(regions.values()) == {30: 7, 20: 3}
    for place in fleet.processes.values():
        assert place.zone % 10 == place.region
    relays = [fleet.processes[name] for name in fleet.relays if fleet.processes[name].region == 0]
    assert [one.zone for one in relays] == [0, 10]


def test_a_zone_is_lost_with_its_relay_and_its_instances_come_back_to_the_other_one() -> None:
    fleet = small(zones=6)
    told = case(Load(fleet, 50, 50, 1), 5.0, 12.0, lambda: feed.zone_lost(fleet))
    assert [name for name in fleet.relays if not fleet.processes[name].alive] == ["r0.1"]
    assert told["relay_followers_most"] >= 8  # all of the region, where 4 were before
    assert all(fleet.processes[name].since > 0 for name in feed.of_zone(fleet, 3))
    assert not told["behind"]
    assert told["last_ms"] < 7000
    assert not fleet.faults()


# ---- the writer dies


def test_the_lease_is_as_long_as_a_keeper_s_where_nothing_is_said() -> None:
    (lease,) = (one for one in msgspec.structs.fields(FeedConfig) if one.name == "lease")
    assert lease.default == LEASE_LENGTH


def test_another_writes_once_the_lease_has_run_out_and_the_old_one_follows_it() -> None:
    fleet = small()
    first = fleet.writer().name
    died = fleet.now
    feed.writer_dies(fleet)
    fleet.run(died + 10 * SECOND, lambda: any(one.node.is_writer for one in keepers(fleet) if one.alive))
    assert fleet.writer().name != first
    assert LEASE_LENGTH // 2 < fleet.now - died < LEASE_LENGTH + SECOND
    fleet.run(died + 30 * SECOND)
    old = fleet.processes[first]
    assert old.alive
    assert not old.node.is_writer  # type: ignore[attr-defined]
    fleet.propose(Propose("later", (("common/x", b"{}"),)))
    fleet.settle()
    assert fleet.sequence_by_request["later"] == fleet.oracle.last == old.number
    assert not fleet.faults()


def keepers(fleet: VirtualFeed) -> list[Any]:
    return [fleet.processes[name] for name in fleet.keepers]


def test_what_is_asked_while_the_writer_is_dead_is_asked_again_until_it_is_known() -> None:
    fleet = small()
    told = case(Load(fleet, 50, 50, 1), 5.0, 12.0, lambda: feed.writer_dies(fleet))
    assert told["changes"] == len(fleet.sequence_by_request)
    assert not fleet.proposals
    assert not told["behind"]
    assert told["last_from_first_asking_ms"] > 4000  # who asked the dead one waited for its answer
    assert told["last_ms"] <= told["last_from_first_asking_ms"]
    assert not fleet.faults()


def test_a_change_that_was_decided_and_not_acknowledged_is_the_same_when_it_is_asked_again() -> None:
    fleet = small()
    fleet.propose(Propose("once", (("common/x", b"{}"),)))
    decided = fleet.index
    records = fleet.leases.state.records
    fleet.run(fleet.now + SECOND, lambda: any(b"once" in value for value, _ in records.values()))
    assert fleet.index > decided
    assert "once" not in fleet.sequence_by_request
    feed.writer_dies(fleet)
    fleet.propose(Propose("after", (("common/y", b"{}"),)))
    fleet.run(fleet.now + 15 * SECOND)
    fleet.settle()
    assert sorted(fleet.sequence_by_request, key=fleet.sequence_by_request.__getitem__) == ["once", "after"]
    assert fleet.oracle.last == fleet.start.sequence + 2
    assert not fleet.faults()


def test_a_request_with_two_numbers_and_a_number_nobody_knows_are_faults() -> None:
    fleet = small()
    keeper = fleet.processes[fleet.keepers[0]]
    for number in (1, 2):
        fleet.propose(Propose("twice", ()))
        fleet._on_proposal_answer(keeper, fleet.tickets, ProposeResult("twice", fleet.oracle.last + number))
    assert "twice is" in fleet.faults()[0]
    fleet = small()
    fleet.propose(Propose("later", ()))
    fleet._on_proposal_answer(keeper, fleet.tickets, ProposeResult("later", fleet.oracle.last + 2))
    assert "its requester does not know it" in fleet.faults()[-1]


# ---- the cases of the run


def plan() -> feed.Plan:
    shape = {"regions": 3, "zones": 6, "relays": 2, "keepers": 3}
    return feed.Plan(1, 50, 50, 24, shape, (3, 3), 2, 30)


@pytest.mark.parametrize("name", ["a zone is lost", "the writer dies"])
def test_a_case_on_a_fleet_of_its_own_is_the_same_for_the_same_seed(name: str) -> None:
    (one, faults), (other, _) = (feed.fleet_case(plan(), name) for _ in range(2))
    for told in (one, other):
        del told["cpu_s_of_this_run"]
    assert one == other
    assert not faults
    assert not one["behind"]


def test_a_bar_is_missed_by_a_case_that_is_late_or_behind() -> None:
    good = {"last_ms": 6000, "behind": 0, "counted": 1}
    bars = feed.case_bars({"one": good, "two": {**good, "behind": 1}, "three": {**good, "last_ms": 7000}}, [])
    assert [name for name, held in bars.items() if not held] == [
        "feed: last in force under 7 s, two",
        "feed: last in force under 7 s, three",
    ]
    assert not all(feed.case_bars({}, ["something"]).values())
