"""Costs that `lab scale` counts for members, the consensus cluster and connections.

Each promised shape is also checked to fail when the code does more work than it allows.
"""

import os
import socket
from typing import Any

import anyio
import pytest

from thistleline.consensus.reads import Reads
from thistleline.consensus.replica import Replica
from thistleline.lab.scale import added, connections, council, members
from thistleline.lab.scale.instance import run_instance
from thistleline.lab.scale.slopes import judge, row
from thistleline.membership import gossip, view
from thistleline.membership.gossip import Gossip
from thistleline.membership.messages import MemberRecord, encode
from thistleline.membership.view import MembershipView

SIZES = [100, 200, 400, 1000]  # a tenth of the smallest size fills a datagram


def missed_bars(bars: dict[str, bool]) -> list[str]:
    return [name for name, held in bars.items() if not held]


# ---- members


def test_counts_are_the_same_for_the_same_seed() -> None:
    assert members.member_counts(SIZES, 7) == members.member_counts(SIZES, 7)
    assert members.update_costs(20, 7, 1) == members.update_costs(20, 7, 1)
    assert members.deaths_costs(30, 2, 7) == members.deaths_costs(30, 2, 7)
    assert members.age_of_figures(20, 7, 2) == members.age_of_figures(20, 7, 2)
    assert council.round_rows(7) == council.round_rows(7)


def test_member_meets_all_bars() -> None:
    assert missed_bars(judge(members.member_counts(SIZES, 1), members.PROMISED)) == []


def test_fleet_spreads_updates_and_quiet_traffic_does_not_depend_on_its_size() -> None:
    result = [members.update_costs(size, 1, 1) for size in (10, 30, 60, 100)]
    assert min(one.periods for one in result) > 0
    quiet = [one.quiet for one in result]
    assert max(quiet) < 1.05 * min(quiet)
    assert result[0].bytes > 0
    lost = members.deaths_costs(40, 4, 1)
    assert 0 < lost.periods < 60


def test_partitioned_fleet_heals() -> None:
    result = members.heal_costs(20, 20.0, 1)
    assert 0 < result.periods < 200
    assert result.bytes > 0


def test_fleet_that_forgets_dead_members_heals_only_by_seeds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossip, "FORGET_AFTER", 5 * gossip.SECOND)
    assert members.heal_costs(10, 400.0, 1, False, 300).periods == -1
    assert members.heal_costs(10, 400.0, 1, True, 300).periods > 0


def test_member_that_encodes_all_records_to_find_updates_misses_its_bar(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = MembershipView.select_updates

    def encode_all(
        self: MembershipView, max_size: int, max_transmits: int, first: str = ""
    ) -> list[MemberRecord]:
        for record in self.records.values():
            vars(view)["encode"](record)
        return original(self, max_size, max_transmits, first)

    monkeypatch.setattr(MembershipView, "select_updates", encode_all)
    bars = judge(members.member_counts(SIZES, 1), members.PROMISED)
    assert "member: words encoded in a quiet period: flat" in missed_bars(bars)


def test_member_that_scans_all_records_for_each_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Gossip._send_digest

    def scan_for_each(self: Gossip) -> None:
        for _ in range(len(self.view.records) // 10):
            self.view.live_members()
        original(self)

    monkeypatch.setattr(Gossip, "_send_digest", scan_for_each)
    bars = judge(members.member_counts(SIZES, 1), members.PROMISED)
    assert missed_bars(bars) == ["member: words looked through in a quiet period: linear"]


def test_member_whose_probes_grow_with_the_fleet_misses_its_bars(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Gossip._run_period

    def probe_more(self: Gossip) -> None:
        original(self)
        for _ in range(len(self.view.records) // 20):
            record = self.order.next_target(self.view)
            assert record is not None
            self._probe(record)

    monkeypatch.setattr(Gossip, "_run_period", probe_more)
    bars = judge(members.member_counts(SIZES, 1), members.PROMISED)
    assert "member: bytes sent in a quiet period: flat" in missed_bars(bars)
    assert "member: messages sent in a quiet period: flat" in missed_bars(bars)


def test_fleet_that_does_not_forward_updates_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def select_first(
        self: MembershipView, max_size: int, max_transmits: int, first: str = ""
    ) -> list[MemberRecord]:
        return [self.records[first]] if first in self.records else []

    monkeypatch.setattr(MembershipView, "select_updates", select_first)
    result = [members.update_costs(size, 1, 1) for size in (40, 80)]
    assert min(one.periods for one in result) == -1


def test_ordinary_day_is_derived_from_the_encoded_records() -> None:
    day = members.ordinary_day()
    assert day["word_bytes"] == len(encode(members.record_of(6599)))
    assert day["words_a_second_of_failures"] == pytest.approx((33_000 + 190) * 3 / 86_400, abs=0.01)
    assert day["ids_if_each_restart_brings_another"] < day["members_bound"]


# ---- the consensus cluster


def test_rounds_meet_all_bars() -> None:
    rows = council.round_rows(1) + council.table_rows([50, 100, 300, 500])
    assert missed_bars(judge(rows, council.PROMISED)) == []


def test_round_takes_one_request_and_one_answer_for_each_other_replica() -> None:
    for replicas in (3, 5, 7):
        cluster = council.CountingCluster(replicas, 1)
        assert council.read_round(cluster, 20).messages == 2 * (replicas - 1)
        assert council.write_round(cluster, 20).messages == 2 * (replicas - 1)
        assert cluster.sent["AppendRequest"] > 0


def test_cluster_with_a_round_for_each_read_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Reads._start_round

    def start_round_for_one(self: Reads) -> None:
        first, rest = self.waiting[:1], self.waiting[1:]
        self.waiting = first
        original(self)
        self.waiting += rest

    monkeypatch.setattr(Reads, "_start_round", start_round_for_one)
    bars = judge(council.round_rows(1), {name: promised for name, promised in council.PROMISED.items()
                                         if name.startswith(("read", "write"))})  # fmt: skip
    assert "read: messages of a round by reads in it: flat" in missed_bars(bars)
    assert not any(name.startswith("write") for name in missed_bars(bars))


def test_cluster_with_a_message_for_each_write_misses_its_bar(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Replica._propose

    def propose_each(self: Replica, proposals: tuple[tuple[Any, bytes], ...]) -> None:
        for one in proposals:
            original(self, (one,))

    monkeypatch.setattr(Replica, "_propose", propose_each)
    bars = judge(council.round_rows(1), {name: promised for name, promised in council.PROMISED.items()
                                         if name.startswith(("read", "write"))})  # fmt: skip
    assert "write: messages of a round by writes in it: flat" in missed_bars(bars)


def test_table_bounds_are_those_that_the_code_enforces() -> None:
    result = council.table_bounds()
    assert result["wants_bytes"] == 6600 * len(council.DESIRED_VERSION)
    assert result["settings_kb_refused"] == [257, 512]  # by the consensus cluster,
    assert result["settings_size_bound"] == result["value_bound"]  # and by the check of settings before it
    costs = council.poll_costs(1e-5, 1e-4)
    assert costs["reads_a_second"] == 26_400
    assert costs["cores_of_a_leader_rounds_of_1_ms"] == pytest.approx(0.36, abs=0.01)


def test_leader_answers_all_requests_of_a_round() -> None:
    leader = council.Leader(1, 20)
    assert council.read_time(leader, 20) > 0
    assert council.write_time(leader, 5, 0) > 0


# ---- connections


def test_announce_reports_cost_the_same_for_each_instance() -> None:
    sizes = [5, 20, 50, 100]
    values = [float(connections.reports(size)) for size in sizes]
    found = row("reports", "count", "bytes", "instance", sizes, values, 6600)
    assert found["shape"] == "linear"
    assert found["residual"] < 0.01


def test_larger_subsets_exceed_the_connections_of_an_instance() -> None:
    result = connections.subset_figures(32 * 1024)
    bounds, subsets = result["callers_an_instance_may_have"], result["instances_a_caller_may_be_told_of"]
    for name, bound in bounds.items():
        assert 170_000 * subsets[name] / 6600 < bound
        assert 170_000 * (subsets[name] + 6) / 6600 > bound * 26 / 27 - 4 * bound**0.5
    assert result["all_callers_at_each_instance_gb"] == pytest.approx(5.57)


def test_open_connections_show_in_the_memory_of_a_real_instance() -> None:
    found = connections.memory_by_connections([20, 60, 120, 200])
    for values in found.values():
        assert values[-1] > values[0] >= 0
        assert values[-1] < 200 * 64 * 1024


# ---- added latency


def test_request_latency_is_its_run_and_a_little_added() -> None:
    with run_instance(20.0, 256) as server:
        result = anyio.run(added.load, server, 40, 1.0, 3)
        with socket.create_connection(("127.0.0.1", server.port), timeout=5) as client:
            connections.exchange_check(client, 1)
        assert os.path.exists(f"/proc/{server.pid}")
    assert result.finished == result.sent > 10
    assert result.others == {}
    assert 0 < result.added_p50 <= result.added_p99


def test_forwarder_answers_each_request_with_its_run() -> None:
    with run_instance(20.0, 256, program=added.FORWARDER) as server:
        result = anyio.run(added.load, server, 40, 1.0, 3)
        with socket.create_connection(("127.0.0.1", server.port), timeout=5) as client:
            connections.exchange_check(client, 1)
    assert result.finished == result.sent > 10
    assert result.others == {}
    assert 0 < result.added_p50 <= result.added_p99


def test_stalls_of_an_instance_show_in_its_added_latency() -> None:
    with run_instance(20.0, 256, {"stall": 25}) as server:
        result = anyio.run(added.load, server, 10, 1.0, 3)
    assert result.finished > 3
    assert result.added_p50 >= 25
