"""Members: what each knows of all, in virtual time; datagrams between programs."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.lab.members import TIMING, SimulatedMembership, detect_crash, partition
from thistleline.lab.processes.harness import free_port
from thistleline.membership.events import FactsChanged, LeaveRequested, MessageReceived
from thistleline.membership.gossip import SECOND, Gossip
from thistleline.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_DATAGRAM_SIZE,
    SUSPECT,
    Ack,
    MemberFacts,
    MemberRecord,
    Ping,
    encode,
)
from thistleline.membership.view import MembershipView, merge_records

FACTS = MemberFacts("1", 1, "z")
WORDS = st.builds(
    MemberRecord,
    st.just("m"),
    st.just("a"),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.just(FACTS),
)


@given(st.lists(WORDS, min_size=1, max_size=6), st.randoms(use_true_random=False))
@settings(derandomize=True, database=None)
def test_in_whatever_order_words_come_all_end_with_the_same(
    words: list[MemberRecord], chance: Random
) -> None:
    ends = []
    for _ in range(3):
        chance.shuffle(words)
        known = words[0]
        for word in [*words, *words]:
            known = merge_records(known, word)
        ends.append((known.incarnation, known.status, known.version))
    assert len(set(ends)) == 1


def test_a_digest_tells_views_that_differ_and_no_others() -> None:
    one, other = MembershipView(), MembershipView()
    for place in range(50):
        one.put(MemberRecord(f"m{place}", "a", 1, ALIVE, 1, FACTS))
        other.put(MemberRecord(f"m{49 - place}", "a", 1, ALIVE, 1, FACTS))
    assert one.digests == other.digests
    one.put(MemberRecord("m7", "a", 1, ALIVE, 2, FACTS))
    assert one.digests != other.digests


def test_no_datagram_is_larger_than_a_packet_whatever_is_to_be_told() -> None:
    view = MembershipView()
    for place in range(500):
        view.put(MemberRecord(f"member-with-a-long-name-{place}", "127.0.0.1:10000", 1, ALIVE, 1, FACTS))
    often: dict[str, int] = {}
    while words := view.select_updates(MAX_DATAGRAM_SIZE - 32, 4):
        assert len(encode(Ping(1 << 60, tuple(words)))) <= MAX_DATAGRAM_SIZE
        for word in words:
            often[word.id] = often.get(word.id, 0) + 1
    assert set(often.values()) == {4}


def test_a_death_is_known_to_all_in_bounded_time() -> None:
    assert 0 < detect_crash(40, 1)["all"] < 40


def test_a_stalled_member_convinces_nobody_that_others_are_dead() -> None:
    fleet = SimulatedMembership(30, 1)
    for _ in range(30):
        fleet.stalled["m3"] = fleet.now + 2 * SECOND
        fleet.run(fleet.now + 3 * SECOND)
    assert not fleet.declared_dead.keys() - {"m3"}


def test_loss_alone_kills_few() -> None:
    fleet = SimulatedMembership(30, 2, loss=0.1)
    fleet.run(60 * SECOND)
    assert len(fleet.declared_dead) <= 1


def test_after_a_split_all_know_all_again() -> None:
    told = partition(30, 1, 40)
    assert told["parted"] == 1.0
    assert 0 <= told["healed_after"] < 60


def test_islands_that_came_up_at_the_same_time_hear_of_each_other() -> None:
    """Two and two know each other and nobody else; the seeds of each are all four."""
    fleet = SimulatedMembership(0, 1)
    seeds = ("m0", "m1", "m2", "m3")
    for id in seeds:
        fleet.add(id, 1, FACTS, seeds)
    half = ("m0", "m1")
    fleet.is_partitioned = lambda source, to: (source in half) != (to in half)
    fleet.run(5 * SECOND)
    assert set(fleet.members["m0"].view.records) == {"m0", "m1"}
    fleet.is_partitioned = lambda source, to: False
    fleet.run(25 * SECOND)
    assert all(set(one.view.records) == set(seeds) for one in fleet.members.values())


def test_one_cut_one_way_is_found_and_comes_back() -> None:
    fleet = SimulatedMembership(20, 1)
    fleet.is_partitioned = lambda source, to: source == "m0"
    fleet.run(60 * SECOND)
    assert len(fleet.believing_dead("m0")) == 19
    fleet.is_partitioned = lambda source, to: False
    fleet.run(fleet.now + 60 * SECOND)
    assert not fleet.believing_dead("m0")


def test_who_starts_anew_is_known_by_its_new_incarnation_and_what_it_runs() -> None:
    fleet = SimulatedMembership(20, 1)
    fleet.run(5 * SECOND)
    fleet.crashed.add("m0")
    fleet.run(fleet.now + 3 * SECOND)
    fleet.add("m0", 2, MemberFacts("2", 7, "z"), ("m1", "m2"))
    fleet.run(fleet.now + 20 * SECOND)
    seen = {fleet.members[by].view.records["m0"] for by in fleet.alive() if by != "m0"}
    assert {(word.incarnation >= 2, word.status, word.facts.release) for word in seen} == {(True, ALIVE, "2")}
    assert len(fleet.members["m0"].view.records) == 20


def test_one_that_leaves_is_not_taken_for_dead() -> None:
    fleet = SimulatedMembership(20, 1)
    fleet.handle("m0", LeaveRequested())
    fleet.crashed.add("m0")
    fleet.run(10 * SECOND)
    told = {fleet.members[by].view.records["m0"].status for by in fleet.alive()}
    assert told == {LEFT}


def test_new_facts_reach_all() -> None:
    fleet = SimulatedMembership(50, 1)
    fleet.handle("m0", FactsChanged(MemberFacts("2", 9, "z", accepting=False)))
    fleet.run(15 * SECOND)
    assert {one.view.records["m0"].facts.settings for one in fleet.members.values()} == {9}


def member(now: int = 0) -> Gossip:
    return Gossip("me", "here", 5, FACTS, (), now, TIMING, Random(1))


@pytest.mark.parametrize("status", [SUSPECT, DEAD, LEFT])
def test_told_that_it_is_dead_it_says_that_it_lives(status: int) -> None:
    one = member()
    one.handle(1, MessageReceived("there", Ping(1, (MemberRecord("me", "here", 5, status, 1, FACTS),))))
    assert (one.own_record.status, one.own_record.incarnation) == (ALIVE, 6)


def test_an_older_life_of_its_own_says_nothing() -> None:
    one = member()
    one.handle(1, MessageReceived("there", Ping(1, (MemberRecord("me", "here", 4, DEAD, 1, FACTS),))))
    assert one.own_record.incarnation == 5


def test_what_strangers_say_is_bounded() -> None:
    one = member()
    one.handle(1, MessageReceived("there", Ack(77, ())))  # of nothing asked
    words = (MemberRecord("x" * 65, "a", 1, 0, 1, FACTS), MemberRecord("y", "a", 1, 9, 1, FACTS))
    one.handle(1, MessageReceived("there", Ping(1, words)))
    assert set(one.view.records) == {"me"}


def test_members_as_programs_see_each_other_and_a_kill(tmp_path: Path) -> None:
    ports = [free_port() for _ in range(4)]
    processes = []
    try:
        for place, port in enumerate(ports):
            conf = tmp_path / f"{place}.conf"
            lines = [f"name m{place}", f"listen 127.0.0.1:{port}", f"zone z{place % 2}", "period 100ms",
                     f"seed a=127.0.0.1:{ports[0]}", f"seed b=127.0.0.1:{ports[1]}"]  # fmt: skip
            conf.write_text("".join(f"members {line}\n" for line in lines))
            command = [sys.executable, "-m", "thistleline", "members", "--conf", str(conf)]
            processes.append(subprocess.Popen(command, stdout=(tmp_path / f"{place}.log").open("w")))

        def seen() -> dict[str, str]:
            words = [sys.executable, "-m", "thistleline", "members", "list", "--json"]
            words += ["--at", f"127.0.0.1:{ports[1]}"]
            told = subprocess.run(words, capture_output=True, text=True, env=dict(os.environ))
            return {one["id"]: one["status"] for one in map(json.loads, told.stdout.splitlines())}

        def until(wanted: dict[str, str]) -> None:
            due = time.monotonic() + 20
            while (found := seen()) != wanted:
                assert time.monotonic() < due, found

        until({f"m{place}": "alive" for place in range(4)})
        processes[3].kill()
        processes[2].terminate()
        until({"m0": "alive", "m1": "alive", "m2": "left", "m3": "dead"})
    finally:
        for process in processes:
            process.kill()
            process.wait()
