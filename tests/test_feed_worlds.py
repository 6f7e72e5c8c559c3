"""Tests of the feed without I/O: exploration of its state machines, mutants, a fleet in virtual time."""

from collections import Counter
from typing import Any

import msgspec
import pytest

from thistleline.config.schema import FeedConfig
from thistleline.config_feed.limits import MS, SECOND
from thistleline.config_feed.messages import Propose, ProposeResult
from thistleline.config_feed.table import FeedTable
from thistleline.lab.scale import feed
from thistleline.lab.scale.feed import Load, make_table, run_case, start_fleet
from thistleline.lab.simulation import feed_mutants
from thistleline.lab.simulation.feed_fleet import LEASE_LENGTH, Oracle, SharedTable, VirtualFeed, quantile
from thistleline.lab.simulation.feed_mutants import MUTANTS, SCENARIOS, explore_scenario

# ---- exploration


@pytest.mark.parametrize("scenario_name", SCENARIOS)
def test_exploration_of_scenario_finds_no_violation(scenario_name: str) -> None:
    found = explore_scenario(scenario_name, 3000)
    assert not found.wrong, "\n".join([found.wrong, *found.trace])
    assert found.whole or found.states >= 3000


@pytest.mark.parametrize("index", range(len(MUTANTS)), ids=[one.protection for one in MUTANTS])
def test_exploration_detects_each_mutant(index: int) -> None:
    found = feed_mutants.explore_mutant(index, 6000)
    assert found.wrong, f"{MUTANTS[index].protection}: {found.states} states, depth {found.depth}"


def test_exploration_is_deterministic() -> None:
    assert explore_scenario("deposed writer", 1000) == explore_scenario("deposed writer", 1000)


# ---- the oracle


def test_oracle_detects_partial_lost_and_wrong_changes() -> None:
    table = FeedTable().update(1, [("common/a", b"{}", 1), ("tenant/t", b"{}", 1)])
    oracle = Oracle(table)
    oracle.acknowledge(2, (("common/a", b'{"a":2}'), ("common/b", b"{}")))
    whole = table.update(2, [("common/a", b'{"a":2}', 2), ("common/b", b"{}", 2)])
    oracle.check(whole, "all", 1)
    assert (oracle.wrong, oracle.difference(whole, "all")) == ("", "")
    partial = table.update(2, [("common/a", b'{"a":2}', 2)])
    oracle.check(partial, "all", 1)
    assert "common/b" in oracle.wrong or "entries" in oracle.wrong
    assert oracle.difference(partial, "all")
    assert oracle.difference(table, "all")  # it lacks the last change
    assert oracle.difference(whole.update(2, [("common/b", b"[]", 2)]), "all")
    oracle = Oracle(table)
    oracle.acknowledge(3, (("common/a", None),))
    assert oracle.wrong  # 2 was never acknowledged


def test_shared_tables_equal_plain_tables() -> None:
    plain, shared = FeedTable(), SharedTable()
    items = (("common/a", b"{}", 1), ("tenant/t", b"{}", 1), ("route/r", b"{}", 1))
    assert shared.update(1, items) == plain.update(1, items)
    assert shared.update(1, items) is shared.update(1, items)
    assert shared.update(1, items, "wide") == plain.update(1, items, "wide")
    again = (("common/a", None, 2),)
    assert shared.update(1, items).update(2, again) == plain.update(1, items).update(2, again)


def test_entries_of_shared_table_are_sorted_by_key() -> None:
    keys = [f"route/r{index}" for index in range(100)]
    shared = SharedTable().update(1, tuple((key, b"{}", 1) for key in reversed(keys)))
    assert [key for key, _, _ in shared.entries("wide")] == sorted(keys)
    assert sorted(FeedTable(*shared).entries("all")) == list(shared.entries("all"))


def test_quantile_of_counted_values() -> None:
    counts = Counter({10: 98, 20: 1, 70: 1})
    assert [quantile(counts, part) for part in (0.5, 0.99, 1)] == [10, 20, 70]
    assert quantile(Counter(), 0.5) == 0


# ---- a small fleet


def small_fleet(seed: int = 1, zones: int = 0) -> VirtualFeed:
    fleet = VirtualFeed(make_table(50, 50, seed), seed, 24, regions=3, relays=2, keepers=3, zones=zones)
    start_fleet(fleet)
    return fleet


def test_fleet_simulation_is_deterministic_for_a_seed() -> None:
    one, other = (run_case(Load(small_fleet(), 50, 50, 1), 5.0, 3.0) for _ in range(2))
    assert one == other
    assert one["changes"] > 5
    assert not one["behind"]


def test_followers_of_a_crashed_relay_have_the_newest_state_within_7_s() -> None:
    fleet = small_fleet()
    result = run_case(Load(fleet, 50, 50, 1), 5.0, 5.0, lambda: feed.kill_relay(fleet))
    assert not result["behind"]
    assert 1000 < result["last_ms"] < 7000  # at least the time until a follower changes to another relay
    assert not fleet.faults()


def test_partitioned_side_keeps_its_last_state_and_catches_up() -> None:
    fleet = small_fleet()
    result = feed.run_partition(Load(fleet, 50, 50, 1), 20, 5.0)
    assert result["states_of_the_cut_side"] == 1
    assert result["caught_up"]
    assert result["caught_up_s"] < 7
    assert not fleet.faults()


def test_instances_that_restart_empty_or_with_an_older_state_catch_up() -> None:
    fleet = small_fleet(zones=6)
    load = Load(fleet, 50, 50, 1)
    after_empty_restart = run_case(load, 5.0, 4.0, lambda: feed.restart_zone_cold(fleet))
    after_stale_restart = run_case(load, 5.0, 4.0, lambda: feed.restart_rack(fleet, 4, SECOND))
    assert not after_empty_restart["behind"] + after_stale_restart["behind"]
    assert max(after_empty_restart["last_ms"], after_stale_restart["last_ms"]) < 7000
    assert not fleet.faults()


def test_slow_instance_delays_no_other_instance() -> None:
    fleet = small_fleet()
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


def test_invalid_change_is_refused_without_a_sequence_number() -> None:
    fleet = small_fleet()
    before = fleet.oracle.last
    fleet.propose(Propose("bad", (("route/x", b'{"nonsense":1}'),)))
    fleet.propose(Propose("good", (("common/x", b"{}"),)))
    fleet.run(fleet.now + SECOND)
    assert (len(fleet.refused), fleet.oracle.last) == (1, before + 1)
    assert "nonsense" in fleet.refused[0]


def test_instance_restarted_from_an_older_durable_state_catches_up() -> None:
    """The durable state found at a restart may be older; from then on the sequence number only grows."""
    fleet = small_fleet()
    load = Load(fleet, 50, 50, 1)
    load.plan(5.0, 3.0)
    fleet.run(fleet.now + 2 * SECOND)
    instance = fleet.processes["i1"]
    older_table = fleet.wide
    instance.durable = older_table
    fleet.restart("i1", False)
    assert instance.number == older_table.sequence
    fleet.run(fleet.now + 3 * SECOND, lambda: not fleet.behind())
    fleet.settle()
    assert not fleet.behind()
    assert not fleet.faults()
    assert instance.since > 100 * MS


def test_zones_are_distributed_over_regions_of_different_size() -> None:
    fleet = VirtualFeed(make_table(5, 5, 1), 1, 270, regions=10, relays=2, keepers=5, zones=27)
    zones = Counter(fleet.processes[name].zone for name in fleet.instances)
    assert set(zones.values()) == {10}
    regions = Counter(fleet.processes[name].region for name in fleet.instances)
    assert Counter(regions.values()) == {30: 7, 20: 3}
    for process in fleet.processes.values():
        assert process.zone % 10 == process.region
    relays = [fleet.processes[name] for name in fleet.relays if fleet.processes[name].region == 0]
    assert [one.zone for one in relays] == [0, 10]


def test_instances_of_a_lost_zone_restart_at_the_other_relay() -> None:
    fleet = small_fleet(zones=6)
    result = run_case(Load(fleet, 50, 50, 1), 5.0, 12.0, lambda: feed.lose_zone(fleet))
    assert [name for name in fleet.relays if not fleet.processes[name].alive] == ["r0.1"]
    assert result["relay_followers_most"] >= 8  # all of the region; 4 before
    assert all(fleet.processes[name].since > 0 for name in feed.instances_in_zone(fleet, 3))
    assert not result["behind"]
    assert result["last_ms"] < 7000
    assert not fleet.faults()


# ---- crash of the writer


def test_lease_length_is_the_default_of_the_configuration() -> None:
    (lease,) = (one for one in msgspec.structs.fields(FeedConfig) if one.name == "lease")
    assert lease.default == LEASE_LENGTH


def test_another_keeper_writes_after_lease_expiry_and_the_former_writer_follows_it() -> None:
    fleet = small_fleet()
    first = fleet.writer().name
    crashed_at = fleet.now
    feed.kill_writer(fleet)
    fleet.run(
        crashed_at + 10 * SECOND, lambda: any(one.node.is_writer for one in keepers(fleet) if one.alive)
    )
    assert fleet.writer().name != first
    assert LEASE_LENGTH // 2 < fleet.now - crashed_at < LEASE_LENGTH + SECOND
    fleet.run(crashed_at + 30 * SECOND)
    former_writer = fleet.processes[first]
    assert former_writer.alive
    assert not former_writer.node.is_writer  # type: ignore[attr-defined]
    fleet.propose(Propose("later", (("common/x", b"{}"),)))
    fleet.settle()
    assert fleet.sequence_by_request["later"] == fleet.oracle.last == former_writer.number
    assert not fleet.faults()


def keepers(fleet: VirtualFeed) -> list[Any]:
    return [fleet.processes[name] for name in fleet.keepers]


def test_proposals_during_a_writer_crash_are_retried_until_acknowledged() -> None:
    fleet = small_fleet()
    result = run_case(Load(fleet, 50, 50, 1), 5.0, 12.0, lambda: feed.kill_writer(fleet))
    assert result["changes"] == len(fleet.sequence_by_request)
    assert not fleet.proposals
    assert not result["behind"]
    # Requesters of the crashed writer waited for its answer.
    assert result["last_from_first_asking_ms"] > 4000
    assert result["last_ms"] <= result["last_from_first_asking_ms"]
    assert not fleet.faults()


def test_retried_proposal_of_a_committed_change_gets_the_same_sequence_number() -> None:
    fleet = small_fleet()
    fleet.propose(Propose("once", (("common/x", b"{}"),)))
    decided = fleet.index
    records = fleet.leases.state.records
    fleet.run(fleet.now + SECOND, lambda: any(b"once" in value for value, _ in records.values()))
    assert fleet.index > decided
    assert "once" not in fleet.sequence_by_request
    feed.kill_writer(fleet)
    fleet.propose(Propose("after", (("common/y", b"{}"),)))
    fleet.run(fleet.now + 15 * SECOND)
    fleet.settle()
    assert sorted(fleet.sequence_by_request, key=fleet.sequence_by_request.__getitem__) == ["once", "after"]
    assert fleet.oracle.last == fleet.start.sequence + 2
    assert not fleet.faults()


def test_request_with_two_numbers_and_unknown_number_are_faults() -> None:
    fleet = small_fleet()
    keeper = fleet.processes[fleet.keepers[0]]
    for number in (1, 2):
        fleet.propose(Propose("twice", ()))
        fleet._on_proposal_answer(keeper, fleet.tickets, ProposeResult("twice", fleet.oracle.last + number))
    assert "twice is" in fleet.faults()[0]
    fleet = small_fleet()
    fleet.propose(Propose("later", ()))
    fleet._on_proposal_answer(keeper, fleet.tickets, ProposeResult("later", fleet.oracle.last + 2))
    assert "its requester does not know it" in fleet.faults()[-1]


# ---- cases of the lab run


def make_plan() -> feed.Plan:
    shape = {"regions": 3, "zones": 6, "relays": 2, "keepers": 3}
    return feed.Plan(1, 50, 50, 24, shape, (3, 3), 2, 30)


@pytest.mark.parametrize("name", ["a zone is lost", "the writer dies"])
def test_fleet_case_is_deterministic_for_a_seed(name: str) -> None:
    (one, faults), (other, _) = (feed.fleet_case(make_plan(), name) for _ in range(2))
    for result in (one, other):
        del result["cpu_s_of_this_run"]
    assert one == other
    assert not faults
    assert not one["behind"]


def test_criterion_fails_for_a_case_that_is_late_or_behind() -> None:
    good = {"last_ms": 6000, "behind": 0, "counted": 1}
    bars = feed.case_bars({"one": good, "two": {**good, "behind": 1}, "three": {**good, "last_ms": 7000}}, [])
    assert [name for name, held in bars.items() if not held] == [
        "feed: last in force under 7 s, two",
        "feed: last in force under 7 s, three",
    ]
    assert not all(feed.case_bars({}, ["something"]).values())
