"""The feed without I/O: its reducers explored, protections taken out, a small fleet in virtual time."""

from collections import Counter

import pytest

from thistleline.feed.bounds import MS, SECOND
from thistleline.feed.messages import Propose
from thistleline.feed.table import Table
from thistleline.lab import feedmutants
from thistleline.lab.feedmutants import MUTANTS, SCENARIOS, explored
from thistleline.lab.feedrun import Oracle, Shared, VirtualFeed, quantile
from thistleline.lab.scale import feed
from thistleline.lab.scale.feed import Load, begin, case, made_table

# ---- explored


@pytest.mark.parametrize("what", SCENARIOS)
def test_nothing_is_lost_doubled_or_half_seen_near_a_hard_case(what: str) -> None:
    found = explored(what, 3000)
    assert not found.wrong, "\n".join([found.wrong, *found.trace])
    assert found.whole or found.states >= 3000


@pytest.mark.parametrize("place", range(len(MUTANTS)), ids=[one.what for one in MUTANTS])
def test_a_protection_left_out_is_found(place: int) -> None:
    found = feedmutants.hunted(place, 6000)
    assert found.wrong, f"{MUTANTS[place].what}: {found.states} states, depth {found.depth}"


def test_an_exploration_is_the_same_each_time() -> None:
    assert explored("deposed writer", 1000) == explored("deposed writer", 1000)


# ---- the oracle can fail


def test_the_oracle_sees_what_is_half_there_lost_or_another_s() -> None:
    table = Table().moved(1, [("common/a", b"{}", 1), ("tenant/t", b"{}", 1)])
    oracle = Oracle(table)
    oracle.acknowledged(2, (("common/a", b'{"a":2}'), ("common/b", b"{}")))
    whole = table.moved(2, [("common/a", b'{"a":2}', 2), ("common/b", b"{}", 2)])
    oracle.check(whole, "all", 1)
    assert (oracle.wrong, oracle.whole(whole, "all")) == ("", "")
    half = table.moved(2, [("common/a", b'{"a":2}', 2)])
    oracle.check(half, "all", 1)
    assert "common/b" in oracle.wrong or "entries" in oracle.wrong
    assert oracle.whole(half, "all")
    assert oracle.whole(table, "all")  # it ends too early
    assert oracle.whole(whole.moved(2, [("common/b", b"[]", 2)]), "all")
    oracle = Oracle(table)
    oracle.acknowledged(3, (("common/a", None),))
    assert oracle.wrong  # 2 was never acknowledged


def test_shared_states_are_those_that_each_would_make() -> None:
    plain, shared = Table(), Shared()
    items = (("common/a", b"{}", 1), ("tenant/t", b"{}", 1), ("route/r", b"{}", 1))
    assert shared.moved(1, items) == plain.moved(1, items)
    assert shared.moved(1, items) is shared.moved(1, items)
    assert shared.moved(1, items, "wide") == plain.moved(1, items, "wide")
    again = (("common/a", None, 2),)
    assert shared.moved(1, items).moved(2, again) == plain.moved(1, items).moved(2, again)


def test_quantiles_of_counted_values() -> None:
    counts = Counter({10: 98, 20: 1, 70: 1})
    assert [quantile(counts, part) for part in (0.5, 0.99, 1)] == [10, 20, 70]
    assert quantile(Counter(), 0.5) == 0


# ---- a fleet


def small(seed: int = 1) -> VirtualFeed:
    fleet = VirtualFeed(made_table(50, 50, seed), seed, 24, regions=3, relays=2, keepers=3)
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
    fleet = small()
    load = Load(fleet, 50, 50, 1)
    cold = case(load, 5.0, 4.0, feed.zone_returns(fleet, 4))
    late = case(load, 5.0, 4.0, feed.rack_returns(fleet, 4, SECOND))
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
    behind = [name for name in fleet.instances if fleet.places[name].number < last - 5]
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
    place = fleet.places["i1"]
    older = fleet.wide
    place.durable = older
    fleet.restart("i1", False)
    assert place.number == older.number
    fleet.run(fleet.now + 3 * SECOND, lambda: not fleet.behind())
    fleet.settle()
    assert not fleet.behind()
    assert not fleet.faults()
    assert place.since > 100 * MS
