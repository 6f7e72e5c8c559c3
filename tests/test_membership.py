"""Tests of membership: record merging, gossip between simulated members in virtual time, real processes."""

import json
import os
import socket
import subprocess
import sys
import time
from contextlib import suppress
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
    decode,
    encode,
)
from thistleline.membership.view import MembershipView, merge_records

FACTS = MemberFacts("1", 1, "z")
RECORDS = st.builds(
    MemberRecord,
    st.just("m"),
    st.just("a"),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.just(FACTS),
)


@given(st.lists(RECORDS, min_size=1, max_size=6), st.randoms(use_true_random=False))
@settings(derandomize=True, database=None)
def test_merging_records_in_any_order_gives_the_same_result(records: list[MemberRecord], rng: Random) -> None:
    results = []
    for _ in range(3):
        rng.shuffle(records)
        merged = records[0]
        for record in [*records, *records]:
            merged = merge_records(merged, record)
        results.append((merged.incarnation, merged.status, merged.version))
    assert len(set(results)) == 1


def test_digests_differ_only_between_views_that_differ() -> None:
    first, second = MembershipView(), MembershipView()
    for index in range(50):
        first.put(MemberRecord(f"m{index}", "a", 1, ALIVE, 1, FACTS))
        second.put(MemberRecord(f"m{49 - index}", "a", 1, ALIVE, 1, FACTS))
    assert first.digests == second.digests
    first.put(MemberRecord("m7", "a", 1, ALIVE, 2, FACTS))
    assert first.digests != second.digests


def test_updates_of_a_large_fleet_fit_the_datagram_size_and_are_sent_max_transmits_times() -> None:
    view = MembershipView()
    for index in range(500):
        view.put(MemberRecord(f"member-with-a-long-name-{index}", "127.0.0.1:10000", 1, ALIVE, 1, FACTS))
    transmits: dict[str, int] = {}
    while updates := view.select_updates(MAX_DATAGRAM_SIZE - 32, 4):
        assert len(encode(Ping(1 << 60, tuple(updates)))) <= MAX_DATAGRAM_SIZE
        for update in updates:
            transmits[update.id] = transmits.get(update.id, 0) + 1
    assert set(transmits.values()) == {4}


def test_all_members_learn_of_a_crash_within_40_periods() -> None:
    assert 0 < detect_crash(40, 1)["all"] < 40


def test_a_stalled_member_causes_no_other_member_to_be_declared_dead() -> None:
    fleet = SimulatedMembership(30, 1)
    for _ in range(30):
        fleet.stalled["m3"] = fleet.now + 2 * SECOND
        fleet.run(fleet.now + 3 * SECOND)
    assert not fleet.declared_dead.keys() - {"m3"}


def test_packet_loss_alone_causes_at_most_one_false_death() -> None:
    fleet = SimulatedMembership(30, 2, loss=0.1)
    fleet.run(60 * SECOND)
    assert len(fleet.declared_dead) <= 1


def test_members_are_alive_to_each_other_again_after_a_partition() -> None:
    result = partition(30, 1, 40)
    assert result["parted"] == 1.0
    assert 0 <= result["healed_after"] < 60


def test_groups_that_start_partitioned_find_each_other_by_their_seeds() -> None:
    """Two groups of two members each know only themselves; all four addresses are seeds of every member."""
    fleet = SimulatedMembership(0, 1)
    seeds = ("m0", "m1", "m2", "m3")
    for id in seeds:
        fleet.add(id, 1, FACTS, seeds)
    half = ("m0", "m1")
    fleet.is_partitioned = lambda source, target: (source in half) != (target in half)
    fleet.run(5 * SECOND)
    assert set(fleet.members["m0"].view.records) == {"m0", "m1"}
    fleet.is_partitioned = lambda source, target: False
    fleet.run(25 * SECOND)
    assert all(set(member.view.records) == set(seeds) for member in fleet.members.values())


def test_a_member_whose_datagrams_are_lost_is_declared_dead_and_recovers() -> None:
    fleet = SimulatedMembership(20, 1)
    fleet.is_partitioned = lambda source, target: source == "m0"
    fleet.run(60 * SECOND)
    assert len(fleet.believing_dead("m0")) == 19
    fleet.is_partitioned = lambda source, target: False
    fleet.run(fleet.now + 60 * SECOND)
    assert not fleet.believing_dead("m0")


def test_a_restarted_member_is_known_by_its_new_incarnation_and_release() -> None:
    fleet = SimulatedMembership(20, 1)
    fleet.run(5 * SECOND)
    fleet.crashed.add("m0")
    fleet.run(fleet.now + 3 * SECOND)
    fleet.add("m0", 2, MemberFacts("2", 7, "z"), ("m1", "m2"))
    fleet.run(fleet.now + 20 * SECOND)
    records = {fleet.members[by].view.records["m0"] for by in fleet.alive() if by != "m0"}
    assert {(record.incarnation >= 2, record.status, record.facts.release) for record in records} == {
        (True, ALIVE, "2")
    }
    assert len(fleet.members["m0"].view.records) == 20


def test_a_member_that_leaves_is_not_declared_dead() -> None:
    fleet = SimulatedMembership(20, 1)
    fleet.handle("m0", LeaveRequested())
    fleet.crashed.add("m0")
    fleet.run(10 * SECOND)
    statuses = {fleet.members[by].view.records["m0"].status for by in fleet.alive()}
    assert statuses == {LEFT}


def test_changed_facts_reach_all_members() -> None:
    fleet = SimulatedMembership(50, 1)
    fleet.handle("m0", FactsChanged(MemberFacts("2", 9, "z", accepting=False)))
    fleet.run(15 * SECOND)
    assert {member.view.records["m0"].facts.settings for member in fleet.members.values()} == {9}


def make_member(now: int = 0) -> Gossip:
    return Gossip("me", "here", 5, FACTS, (), now, TIMING, Random(1))


@pytest.mark.parametrize("status", [SUSPECT, DEAD, LEFT])
def test_a_member_refutes_records_that_say_it_is_not_alive(status: int) -> None:
    member = make_member()
    member.handle(1, MessageReceived("there", Ping(1, (MemberRecord("me", "here", 5, status, 1, FACTS),))))
    assert (member.own_record.status, member.own_record.incarnation) == (ALIVE, 6)


def test_a_member_ignores_records_of_its_earlier_incarnation() -> None:
    member = make_member()
    member.handle(1, MessageReceived("there", Ping(1, (MemberRecord("me", "here", 4, DEAD, 1, FACTS),))))
    assert member.own_record.incarnation == 5


def test_unexpected_acks_and_invalid_records_are_ignored() -> None:
    member = make_member()
    member.handle(1, MessageReceived("there", Ack(77, ())))  # no Ping has this number
    records = (MemberRecord("x" * 65, "a", 1, 0, 1, FACTS), MemberRecord("y", "a", 1, 9, 1, FACTS))
    member.handle(1, MessageReceived("there", Ping(1, records)))
    assert set(member.view.records) == {"me"}


@pytest.mark.parametrize("incarnation", [2**63 - 1, 2**63, 2**64 - 1])
def test_a_member_refutes_no_incarnation_with_one_that_can_not_be_sent(incarnation: int) -> None:
    # Guards against a record that makes a member raise an incarnation beyond the limit of the encoding.
    member = make_member()
    for _ in range(2):
        record = MemberRecord("me", "here", incarnation, DEAD, 1, FACTS)
        member.handle(1, MessageReceived("there", Ping(1, (record,))))
    assert member.own_record.status == ALIVE
    assert decode(encode(Ping(2, (member.own_record,)))) == Ping(2, (member.own_record,))


def test_datagrams_of_strangers_do_not_end_a_member(tmp_path: Path) -> None:
    # Guards against a member that ends at one datagram: nested deeply, or with the greatest incarnation.
    port = free_port()
    (tmp_path / "conf").write_text(f"members name me\nmembers listen 127.0.0.1:{port}\n")
    command = [sys.executable, "-m", "thistleline", "members", "--conf", str(tmp_path / "conf")]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    nested = bytes.fromhex("930790") + 1100 * b"\x91" + b"\xc0"
    claim = encode(Ping(1, (MemberRecord("me", "127.0.0.1:9", 2**64 - 1, DEAD, 1, FACTS),)))
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
            client.connect(("127.0.0.1", port))
            client.settimeout(0.2)
            wait_for_ack(client, 1)
            for datagram in (nested, claim, os.urandom(60), b""):
                client.send(datagram)
            wait_for_ack(client, 2)
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


def wait_for_ack(client: socket.socket, number: int) -> None:
    """Ping a member until it answers; a datagram may be lost."""
    deadline = time.monotonic() + 20
    while True:
        assert time.monotonic() < deadline
        with suppress(OSError):
            client.send(encode(Ping(number, ())))
            answer = decode(client.recv(MAX_DATAGRAM_SIZE))
            if isinstance(answer, Ack) and answer.number == number:
                return


def test_member_processes_list_each_other_a_leave_and_a_kill(tmp_path: Path) -> None:
    ports = [free_port() for _ in range(4)]
    processes = []
    try:
        for index, port in enumerate(ports):
            conf = tmp_path / f"{index}.conf"
            lines = [f"name m{index}", f"listen 127.0.0.1:{port}", f"zone z{index % 2}", "period 100ms",
                     f"seed a=127.0.0.1:{ports[0]}", f"seed b=127.0.0.1:{ports[1]}"]  # fmt: skip
            conf.write_text("".join(f"members {line}\n" for line in lines))
            command = [sys.executable, "-m", "thistleline", "members", "--conf", str(conf)]
            processes.append(subprocess.Popen(command, stdout=(tmp_path / f"{index}.log").open("w")))

        def list_statuses() -> dict[str, str]:
            arguments = [sys.executable, "-m", "thistleline", "members", "list", "--json"]
            arguments += ["--at", f"127.0.0.1:{ports[1]}"]
            result = subprocess.run(arguments, capture_output=True, text=True, env=dict(os.environ))
            return {member["id"]: member["status"] for member in map(json.loads, result.stdout.splitlines())}

        def wait_for_statuses(expected: dict[str, str]) -> None:
            deadline = time.monotonic() + 20
            while (statuses := list_statuses()) != expected:
                assert time.monotonic() < deadline, statuses

        wait_for_statuses({f"m{index}": "alive" for index in range(4)})
        processes[3].kill()
        processes[2].terminate()
        wait_for_statuses({"m0": "alive", "m1": "alive", "m2": "left", "m3": "dead"})
    finally:
        for process in processes:
            process.kill()
            process.wait()
