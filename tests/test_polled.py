"""What is there today in virtual time: stewards that poll, a whole record for each change."""

import pytest

from thistleline.config_feed.limits import SECOND
from thistleline.config_feed.messages import Propose
from thistleline.lab.scale import feed
from thistleline.lab.simulation.polled_settings import PolledFleet, Settings
from thistleline.lease.protocol import MAX_VALUE_SIZE
from thistleline.supervisor.service import POLL


def fleet(instances: int = 30, reads_s: float = 0) -> PolledFleet:
    return PolledFleet(feed.record_entries(50, 50, 1), 1, instances, regions=3, voters=3, reads_s=reads_s)


def case(polled: PolledFleet) -> dict[str, object]:
    return feed.polled_case(polled, feed.Changes(50, 50, 1), 5.0, 4.0)


def test_the_same_seed_brings_the_same_counts() -> None:
    assert case(fleet()) == case(fleet())


def test_a_change_makes_a_whole_record_that_all_load() -> None:
    polled = fleet()
    polled.run(5 * SECOND)
    assert {one.held for one in polled.instances} == {1}
    before = polled.totals()
    polled.propose(Propose("a", (("common/x", b"{}"),)))
    polled.settle()
    assert {one.held for one in polled.instances} == {2}
    _, leader, instances = (new - old for new, old in zip(polled.totals(), before, strict=True))
    content = polled.settings.content()
    assert b"common/x" in content
    assert min(leader, instances) > len(polled.instances) * len(content)
    assert sum(polled.latencies.values()) == len(polled.instances)
    assert max(polled.latencies) < 2000


def test_no_steward_asks_more_often_than_it_does() -> None:
    polled = fleet()
    polled.run(20 * SECOND)
    each = polled.reads / 20 / len(polled.instances)
    assert 0.5 / POLL < each < 1 / POLL


def test_a_leader_that_answers_no_more_than_so_many_is_the_slower_for_it() -> None:
    told = case(fleet(100, 150.0))
    assert float(str(told["leader_reads_s"])) < 160
    assert int(str(told["last_ms"])) > int(str(case(fleet(100))["last_ms"]))
    assert told["behind"] == 0


@pytest.mark.parametrize("more", [0, 1])
def test_a_record_has_no_more_than_its_bound_and_the_newest_changes_are_in_it(more: int) -> None:
    settings = Settings(feed.record_entries(3000, 60_000, 1))
    assert MAX_VALUE_SIZE * 0.9 < len(settings.content()) <= settings.size <= MAX_VALUE_SIZE
    many = len(settings.entries)
    assert many < 63_000
    oldest = next(iter(settings.entries))
    for place in range(50):
        settings.put(f"route/new-{place}", b"x" * 300)
    settings.put(oldest, b"{}" if more else None)
    assert len(settings.content()) <= settings.size <= MAX_VALUE_SIZE
    assert all(f"route/new-{place}" in settings.entries for place in range(50))
    assert (oldest in settings.entries) is bool(more)


def test_a_steward_that_is_slower_than_the_changes_misses_none_of_them() -> None:
    """What it loads is the newest, with all that came before."""
    polled = fleet(reads_s=40.0)
    polled.run(3 * SECOND)
    for place in range(60):
        propose = Propose(f"{place}", (("common/x", b"{}"),))
        polled.at(polled.now + place * SECOND // 5, polled.propose, propose)
    polled.run(polled.now + 20 * SECOND)
    polled.settle()
    assert not polled.behind()
    assert sum(polled.latencies.values()) == 60 * len(polled.instances)


def test_the_feed_s_lines_stand_beside_those_of_today() -> None:
    plan = feed.Plan(1, 50, 50, 24, {"regions": 3, "zones": 6, "relays": 2, "keepers": 3}, (3, 3), 2, 30)
    found = {name: feed.fleet_case(plan, name)[0] for name in feed.FACTORS}
    ways = [(name, way) for name in feed.FACTORS for way in (feed.UNBOUND, feed.BOUND)]
    today = {one: feed.polled(plan, one[0], 0.0) for one in ways}
    told = feed.beside(plan, found, today)
    for name in feed.FACTORS:
        assert told[f"{name}, the feed"]["changes"] == told[f"{name}, {feed.UNBOUND}"]["changes"] > 0
        assert told[f"{name}, {feed.UNBOUND}"]["instance_bytes_s_to_the_feed"] > 1
