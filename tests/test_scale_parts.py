"""What `lab scale` counts of members, the council and connections, and that it would notice more."""

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

SIZES = [100, 200, 400, 1000]  # from where a tenth of them fills a datagram


def missed(bars: dict[str, bool]) -> list[str]:
    return [name for name, held in bars.items() if not held]


# ---- members


def test_the_same_seed_counts_the_same() -> None:
    assert members.member_counts(SIZES, 7) == members.member_counts(SIZES, 7)
    assert members.update_costs(20, 7, 1) == members.update_costs(20, 7, 1)
    assert members.deaths_costs(30, 2, 7) == members.deaths_costs(30, 2, 7)
    assert members.age_of_figures(20, 7, 2) == members.age_of_figures(20, 7, 2)
    assert council.round_rows(7) == council.round_rows(7)


def test_a_hollow_member_keeps_what_is_promised_of_it() -> None:
    assert missed(judge(members.member_counts(SIZES, 1), members.PROMISED)) == []


def test_a_hollow_fleet_tells_all_and_sends_the_same_in_quiet_whatever_its_size() -> None:
    told = [members.update_costs(size, 1, 1) for size in (10, 30, 60, 100)]
    assert min(one.periods for one in told) > 0
    quiet = [one.quiet for one in told]
    assert max(quiet) < 1.05 * min(quiet)
    assert told[0].bytes > 0
    lost = members.deaths_costs(40, 4, 1)
    assert 0 < lost.periods < 60


def test_a_fleet_that_was_apart_is_whole_again() -> None:
    told = members.heal_costs(20, 20.0, 1)
    assert 0 < told.periods < 200
    assert told.bytes > 0


def test_a_fleet_that_forgets_who_is_gone_stays_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossip, "FORGET_AFTER", 5 * gossip.SECOND)
    assert members.heal_costs(10, 400.0, 1, False, 300).periods == -1
    assert members.heal_costs(10, 400.0, 1, True, 300).periods > 0


def test_news_that_are_looked_for_among_all_are_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = MembershipView.select_updates

    def among_all(
        self: MembershipView, max_size: int, max_transmits: int, first: str = ""
    ) -> list[MemberRecord]:
        for word in self.records.values():
            vars(view)["encode"](word)
        return had(self, max_size, max_transmits, first)

    monkeypatch.setattr(MembershipView, "select_updates", among_all)
    bars = judge(members.member_counts(SIZES, 1), members.PROMISED)
    assert "member: words encoded in a quiet period: flat" in missed(bars)


def test_a_pass_over_all_for_each_of_them_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Gossip._send_digest

    def for_each(self: Gossip) -> None:
        for _ in range(len(self.view.records) // 10):
            self.view.live_members()
        had(self)

    monkeypatch.setattr(Gossip, "_send_digest", for_each)
    bars = judge(members.member_counts(SIZES, 1), members.PROMISED)
    assert missed(bars) == ["member: words looked through in a quiet period: linear"]


def test_a_probe_of_more_the_more_there_are_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Gossip._run_period

    def more(self: Gossip) -> None:
        had(self)
        for _ in range(len(self.view.records) // 20):
            word = self.order.next_target(self.view)
            assert word is not None
            self._probe(word)

    monkeypatch.setattr(Gossip, "_run_period", more)
    bars = judge(members.member_counts(SIZES, 1), members.PROMISED)
    assert "member: bytes sent in a quiet period: flat" in missed(bars)
    assert "member: messages sent in a quiet period: flat" in missed(bars)


def test_a_fleet_that_does_not_pass_words_on_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    def first_alone(
        self: MembershipView, max_size: int, max_transmits: int, first: str = ""
    ) -> list[MemberRecord]:
        return [self.records[first]] if first in self.records else []

    monkeypatch.setattr(MembershipView, "select_updates", first_alone)
    told = [members.update_costs(size, 1, 1) for size in (40, 80)]
    assert min(one.periods for one in told) == -1


def test_a_day_of_failures_is_worked_out_from_the_words_themselves() -> None:
    day = members.ordinary_day()
    assert day["word_bytes"] == len(encode(members.record_of(6599)))
    assert day["words_a_second_of_failures"] == pytest.approx((33_000 + 190) * 3 / 86_400, abs=0.01)
    assert day["ids_if_each_restart_brings_another"] < day["members_bound"]


# ---- the council


def test_rounds_keep_what_is_promised_of_them() -> None:
    rows = council.round_rows(1) + council.table_rows([50, 100, 300, 500])
    assert missed(judge(rows, council.PROMISED)) == []


def test_a_read_is_confirmed_by_a_question_and_an_answer_of_each_other_voter() -> None:
    for voters in (3, 5, 7):
        made = council.CountingCluster(voters, 1)
        assert council.read_round(made, 20).messages == 2 * (voters - 1)
        assert council.write_round(made, 20).messages == 2 * (voters - 1)
        assert made.sent["AppendRequest"] > 0


def test_a_round_for_each_read_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Reads._start_round

    def one_alone(self: Reads) -> None:
        first, rest = self.waiting[:1], self.waiting[1:]
        self.waiting = first
        had(self)
        self.waiting += rest

    monkeypatch.setattr(Reads, "_start_round", one_alone)
    bars = judge(council.round_rows(1), {name: promised for name, promised in council.PROMISED.items()
                                         if name.startswith(("read", "write"))})  # fmt: skip
    assert "read: messages of a round by reads in it: flat" in missed(bars)
    assert not any(name.startswith("write") for name in missed(bars))


def test_a_message_for_each_write_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    had = Replica._propose

    def one_by_one(self: Replica, proposals: tuple[tuple[Any, bytes], ...]) -> None:
        for one in proposals:
            had(self, (one,))

    monkeypatch.setattr(Replica, "_propose", one_by_one)
    bars = judge(council.round_rows(1), {name: promised for name, promised in council.PROMISED.items()
                                         if name.startswith(("read", "write"))})  # fmt: skip
    assert "write: messages of a round by writes in it: flat" in missed(bars)


def test_the_bounds_of_the_table_are_the_ones_it_keeps() -> None:
    told = council.table_bounds()
    assert told["wants_bytes"] == 6600 * len(council.DESIRED_VERSION)
    assert told["settings_kb_refused"] == [257, 512]  # by the council,
    assert told["settings_size_bound"] == told["value_bound"]  # and by the check before it
    asked = council.poll_costs(1e-5, 1e-4)
    assert asked["reads_a_second"] == 26_400
    assert asked["cores_of_a_leader_rounds_of_1_ms"] == pytest.approx(0.36, abs=0.01)


def test_the_leader_answers_all_that_one_round_asks() -> None:
    leader = council.Leader(1, 20)
    assert council.read_time(leader, 20) > 0
    assert council.write_time(leader, 5, 0) > 0


# ---- connections


def test_reports_to_the_announce_service_cost_each_instance_the_same() -> None:
    sizes = [5, 20, 50, 100]
    values = [float(connections.reports(size)) for size in sizes]
    found = row("reports", "count", "bytes", "instance", sizes, values, 6600)
    assert found["shape"] == "linear"
    assert found["residual"] < 0.01


def test_who_is_told_of_more_instances_needs_more_connections_than_there_are() -> None:
    told = connections.subset_figures(32 * 1024)
    bounds, subsets = told["callers_an_instance_may_have"], told["instances_a_caller_may_be_told_of"]
    for name, bound in bounds.items():
        assert 170_000 * subsets[name] / 6600 < bound
        assert 170_000 * (subsets[name] + 6) / 6600 > bound * 26 / 27 - 4 * bound**0.5
    assert told["all_callers_at_each_instance_gb"] == pytest.approx(5.57)


def test_open_connections_are_seen_in_the_memory_of_a_real_instance() -> None:
    found = connections.memory_by_connections([20, 60, 120, 200])
    for values in found.values():
        assert values[-1] > values[0] >= 0
        assert values[-1] < 200 * 64 * 1024


# ---- added


def test_a_request_waits_for_its_run_and_little_more() -> None:
    with run_instance(20.0, 256) as here:
        told = anyio.run(added.load, here, 40, 1.0, 3)
        with socket.create_connection(("127.0.0.1", here.port), timeout=5) as link:
            connections.exchange_check(link, 1)
        assert os.path.exists(f"/proc/{here.pid}")
    assert told.finished == told.sent > 10
    assert told.others == {}
    assert 0 < told.added_p50 <= told.added_p99


def test_a_forwarder_in_an_instances_place_answers_each_request_with_its_run() -> None:
    with run_instance(20.0, 256, program=added.FORWARDER) as here:
        told = anyio.run(added.load, here, 40, 1.0, 3)
        with socket.create_connection(("127.0.0.1", here.port), timeout=5) as link:
            connections.exchange_check(link, 1)
    assert told.finished == told.sent > 10
    assert told.others == {}
    assert 0 < told.added_p50 <= told.added_p99


def test_an_instance_that_stands_still_at_each_request_is_seen_in_what_it_adds() -> None:
    with run_instance(20.0, 256, {"stall": 25}) as here:
        told = anyio.run(added.load, here, 10, 1.0, 3)
    assert told.finished > 3
    assert told.added_p50 >= 25
