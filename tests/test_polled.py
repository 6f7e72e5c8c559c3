"""Tests of the polling baseline in virtual time: supervisors poll, and each change makes a whole record."""

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


def test_simulation_is_deterministic_for_a_seed() -> None:
    assert case(fleet()) == case(fleet())


def test_each_change_makes_a_record_that_all_instances_load() -> None:
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


def test_supervisors_read_at_the_poll_interval() -> None:
    polled = fleet()
    polled.run(20 * SECOND)
    reads_per_s = polled.reads / 20 / len(polled.instances)
    assert 0.5 / POLL < reads_per_s < 1 / POLL


def test_limit_on_reads_of_the_leader_delays_changes() -> None:
    result = case(fleet(100, 150.0))
    assert float(str(result["leader_reads_s"])) < 160
    assert int(str(result["last_ms"])) > int(str(case(fleet(100))["last_ms"]))
    assert result["behind"] == 0


@pytest.mark.parametrize("is_changed", [0, 1])
def test_record_stays_within_its_size_limit_and_has_the_newest_changes(is_changed: int) -> None:
    settings = Settings(feed.record_entries(3000, 60_000, 1))
    assert MAX_VALUE_SIZE * 0.9 < len(settings.content()) <= settings.size <= MAX_VALUE_SIZE
    initial_count = len(settings.entries)
    assert initial_count < 63_000
    oldest = next(iter(settings.entries))
    for place in range(50):
        settings.put(f"route/new-{place}", b"x" * 300)
    settings.put(oldest, b"{}" if is_changed else None)
    assert len(settings.content()) <= settings.size <= MAX_VALUE_SIZE
    assert all(f"route/new-{place}" in settings.entries for place in range(50))
    assert (oldest in settings.entries) is bool(is_changed)


def test_supervisors_slower_than_the_changes_miss_none() -> None:
    """A load brings the newest record, which has all earlier changes."""
    polled = fleet(reads_s=40.0)
    polled.run(3 * SECOND)
    for place in range(60):
        propose = Propose(f"{place}", (("common/x", b"{}"),))
        polled.at(polled.now + place * SECOND // 5, polled.propose, propose)
    polled.run(polled.now + 20 * SECOND)
    polled.settle()
    assert not polled.behind()
    assert sum(polled.latencies.values()) == 60 * len(polled.instances)


def test_comparison_has_the_feed_beside_polling() -> None:
    plan = feed.Plan(1, 50, 50, 24, {"regions": 3, "zones": 6, "relays": 2, "keepers": 3}, (3, 3), 2, 30)
    found = {name: feed.fleet_case(plan, name)[0] for name in feed.RATE_FACTORS}
    cases = [
        (name, way) for name in feed.RATE_FACTORS for way in (feed.POLLED_UNLIMITED, feed.POLLED_LIMITED)
    ]
    polled_figures = {one: feed.run_polled(plan, one[0], 0.0) for one in cases}
    result = feed.compare(plan, found, polled_figures)
    for name in feed.RATE_FACTORS:
        assert (
            result[f"{name}, the feed"]["changes"]
            == result[f"{name}, {feed.POLLED_UNLIMITED}"]["changes"]
            > 0
        )
        assert result[f"{name}, {feed.POLLED_UNLIMITED}"]["instance_bytes_s_to_the_feed"] > 1
