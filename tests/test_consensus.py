"""The consensus cluster: replicas in virtual time, model checking, records on disk, messages, settings."""

import errno
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.config.loader import ConfigError, parse_config
from thistleline.consensus.effects import SendMessage, WriteRecords
from thistleline.consensus.elections import Elections
from thistleline.consensus.events import WriteCompleted, WriteFailed
from thistleline.consensus.messages import Entry, Member
from thistleline.consensus.records import EntriesRecord, Record, SnapshotRecord, VoteRecord, WriteBatch
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import RaftTiming
from thistleline.consensus.store import ReplicaStore
from thistleline.lab.simulation.explorer import explore
from thistleline.lab.simulation.lease_costs import count_terms_under_one_way_cut
from thistleline.lab.simulation.lease_mutants import MUTANTS, SCENARIOS, patched
from thistleline.lab.simulation.lease_world import begin, next_states
from thistleline.lab.simulation.replica_cluster import MS, SimulatedCluster
from thistleline.lease.events import Event, RequestReceived
from thistleline.lease.protocol import Acquire, ChangeReplicas, Denied, Done, Granted, Release, Unavailable
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable
from thistleline.store.disk import Disk
from thistleline.store.frames import CorruptFrameError
from thistleline.transport.codec import FrameDecoder, Hello, ProtocolError, encode_frame, negotiate_version
from thistleline.transport.connection import MAX_QUEUED_MESSAGES, SendQueue

SECOND = 1000 * MS
TIMING = RaftTiming(50 * MS, 500 * MS, 1000 * MS)


def elected_cluster(replicas: int, seed: int = 1, delay: int = 5) -> SimulatedCluster:
    cluster = SimulatedCluster(replicas, TIMING, seed, lambda rng: int(delay * MS * rng.uniform(0.5, 1.5)))
    assert cluster.run(10 * SECOND, lambda: bool(cluster.leader()))
    cluster.run(cluster.now + SECOND)
    return cluster


def send_request(cluster: SimulatedCluster, id: str, op: Any) -> Any:
    count = len(cluster.answers)
    cluster.handle(id, RequestReceived(count, op))
    cluster.run(cluster.now + 3 * SECOND, lambda: len(cluster.answers) > count)
    return cluster.answers[count][2] if len(cluster.answers) > count else None


# ---- elections


@pytest.mark.parametrize("replicas", [1, 3, 5])
def test_leader_is_elected_and_replaced_after_crash(replicas: int) -> None:
    cluster = elected_cluster(replicas)
    first = cluster.leader()
    assert isinstance(send_request(cluster, first, Acquire("n", "x", SECOND)), Granted)
    if replicas == 1:
        return
    cluster.crashed.add(first)
    assert cluster.run(cluster.now + 5 * SECOND, lambda: bool(cluster.leader()))
    cluster.run(cluster.now + SECOND)
    assert cluster.servers[cluster.leader()].table.status_of("n", "x") == Granted(1, SECOND)


@pytest.mark.parametrize("receives", [True, False])
def test_one_way_partition_of_follower_causes_no_elections(receives: bool) -> None:
    cluster = elected_cluster(5)
    leader = cluster.leader()
    partitioned = next(id for id in cluster.servers if id != leader)
    cluster.is_lost = lambda source, to: partitioned == (source if receives else to)
    before = cluster.servers[leader].replica.state.term
    cluster.run(cluster.now + 60 * SECOND)
    assert cluster.leader() == leader
    assert cluster.servers[leader].replica.state.term == before
    cluster.is_lost = lambda source, to: False
    cluster.run(cluster.now + 5 * SECOND)
    assert cluster.servers[leader].replica.state.term == before


@pytest.mark.parametrize("receives", [True, False])
def test_one_way_partition_of_leader_elects_another_leader(receives: bool) -> None:
    cluster = elected_cluster(5)
    first = cluster.leader()
    cluster.is_lost = lambda source, to: first == (source if receives else to)
    cluster.run(cluster.now + 10 * SECOND)
    assert cluster.leader() not in ("", first)
    assert cluster.servers[first].replica.state.phase != "leading"


def test_leader_in_minority_commits_nothing_and_answers_unavailable() -> None:
    cluster = elected_cluster(5)
    first = cluster.leader()
    other = next(id for id in cluster.servers if id != first)
    minority = {first, other}
    cluster.is_lost = lambda source, to: (source in minority) != (to in minority)
    assert isinstance(send_request(cluster, first, Acquire("n", "x", SECOND)), Unavailable)
    cluster.run(cluster.now + 3 * SECOND)
    new = cluster.leader()
    assert new not in minority
    assert isinstance(send_request(cluster, new, Acquire("n", "y", 100 * SECOND)), Granted)
    cluster.is_lost = lambda source, to: False
    cluster.run(cluster.now + 3 * SECOND)
    assert {server.table.state.leases["n"].holder for server in cluster.servers.values()} == {"y"}


def test_replica_far_behind_receives_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("thistleline.consensus.persistence.MAX_LOG_SIZE", 2000)
    cluster = elected_cluster(3)
    leader = cluster.leader()
    lagging = next(id for id in cluster.servers if id != leader)
    cluster.is_lost = lambda source, to: lagging in (source, to)
    for index in range(100):
        assert isinstance(send_request(cluster, leader, Acquire(f"n{index}", "x", 100 * SECOND)), Granted)
    assert cluster.servers[leader].replica.state.log.snapshot_index > 50
    cluster.is_lost = lambda source, to: False
    cluster.run(cluster.now + 5 * SECOND)
    assert (
        cluster.servers[lagging].table.state.leases.keys()
        == cluster.servers[leader].table.state.leases.keys()
    )


# ---- membership changes


def test_membership_changes_one_at_a_time_across_partition() -> None:
    cluster = elected_cluster(3)
    leader = cluster.leader()
    rest = sorted(set(cluster.servers) - {leader})
    cluster.is_lost = lambda source, to: leader in (source, to)
    # The partitioned leader can't commit the change.
    assert isinstance(send_request(cluster, leader, ChangeReplicas("remove", rest[0])), Unavailable)
    cluster.run(cluster.now + 3 * SECOND)
    new = cluster.leader()
    assert new != leader
    assert send_request(cluster, new, ChangeReplicas("remove", leader)) == Done("changed")
    cluster.is_lost = lambda source, to: False
    cluster.run(cluster.now + 5 * SECOND)
    assert {member.id for member in cluster.servers[cluster.leader()].replica.state.members} == set(rest)
    assert cluster.servers[leader].replica.state.phase != "leading"
    # Removing the same member again succeeds without a change.
    assert isinstance(send_request(cluster, cluster.leader(), ChangeReplicas("remove", leader)), Done)
    cluster.crashed.add(leader)
    before = cluster.servers[cluster.leader()].replica.state.term
    cluster.run(cluster.now + 10 * SECOND)
    assert cluster.servers[cluster.leader()].replica.state.term == before


def test_replica_with_lost_disk_rejoins_under_new_id_and_votes_only_then() -> None:
    cluster = elected_cluster(3)
    leader = cluster.leader()
    lost = next(id for id in cluster.servers if id != leader)
    send_request(cluster, leader, Acquire("n", "x", 100 * SECOND))
    del cluster.servers[lost]
    cluster.crashed.add(lost)
    empty = Replica("w0", LeaseTable(), cluster.now, TIMING, lambda limit: cluster.rng.randrange(limit))
    cluster.servers["w0"] = LeaseServer(empty, lambda: 0)
    cluster.run(cluster.now + 3 * SECOND)
    assert empty.state.phase == "unformed"
    assert send_request(cluster, leader, ChangeReplicas("remove", lost)) == Done("changed")
    assert send_request(cluster, leader, ChangeReplicas("add", "w0", "w0")) == Done("changed")
    assert "n" in cluster.servers["w0"].table.state.leases
    cluster.crashed.add(leader)
    cluster.run(cluster.now + 5 * SECOND)
    assert cluster.leader() not in ("", leader)


@given(st.integers(0, 10_000))
@settings(derandomize=True, database=None, max_examples=12, deadline=None)
def test_random_partitions_and_message_loss_lose_no_granted_lease(seed: int) -> None:
    cluster, rng = elected_cluster(5, seed), Random(seed)
    granted: dict[str, int] = {}
    for index in range(40):
        partitioned = set(rng.sample(sorted(cluster.servers), rng.randint(0, 2)))
        blocked_directions = rng.choice([(True, True), (True, False), (False, True)])
        cluster.is_lost = lambda source, to, partitioned=partitioned, blocked=blocked_directions: (  # type: ignore[misc]
            (source in partitioned and blocked[0])
            or (to in partitioned and blocked[1])
            or rng.random() < 0.05
        )
        cluster.run(cluster.now + rng.randrange(3 * SECOND))
        if cluster.leader():
            answer = send_request(cluster, cluster.leader(), Acquire(f"n{index}", "x", 3600 * SECOND))
            if isinstance(answer, Granted):
                assert answer.epoch not in granted.values()
                granted[f"n{index}"] = answer.epoch
    cluster.is_lost = lambda source, to: False
    cluster.run(cluster.now + 10 * SECOND)
    for server in cluster.servers.values():
        found = {name: lease.epoch for name, lease in server.table.state.leases.items()}
        assert granted.items() <= found.items()
    assert len(granted) > 10


# ---- model checking


@pytest.mark.parametrize("scenario_name", sorted(SCENARIOS))
def test_exploration_finds_no_invariant_violation(scenario_name: str) -> None:
    found = explore(begin(SCENARIOS[scenario_name]), next_states, 40, 1500)
    assert not found.wrong, found.trace


@pytest.mark.parametrize(
    "mutant", [mutant for mutant in MUTANTS if mutant.quick], ids=lambda mutant: mutant.protection
)
def test_exploration_detects_each_mutant(mutant: Any) -> None:
    with patched(mutant.patches):
        found = explore(begin(SCENARIOS[mutant.scenario]), next_states, 40, 30_000)
    assert found.wrong


@given(st.sampled_from(["election", "held", "deposed leader", "unaware of its grant"]), st.data())
@settings(derandomize=True, database=None, max_examples=30, deadline=None)
def test_long_random_walks_violate_no_invariant(scenario_name: str, data: st.DataObject) -> None:
    scenario = SCENARIOS[scenario_name]._replace(ticks=8, crashes=3, doubles=3, losses=2, elections=6)
    world = begin(scenario._replace(elapse=(), net=8))
    for _ in range(40):
        successors = list(next_states(world))
        if not successors:
            return
        world = successors[data.draw(st.integers(0, len(successors) - 1))][1]
        assert not world.wrong()


def test_without_pre_vote_partitioned_replica_raises_terms_and_deposes_leader() -> None:
    def start_without_pre_vote(self: Elections) -> None:
        self.state.leader = ""
        self.start_election()

    assert count_terms_under_one_way_cut(20)["terms"] == 0
    with patched(((Elections, "start_pre_vote", start_without_pre_vote),)):
        cluster = elected_cluster(5)
        partitioned = next(id for id in cluster.servers if id != cluster.leader())
        cluster.is_lost = lambda source, to: to == partitioned
        cluster.run(cluster.now + 20 * SECOND)
        leader, term = cluster.leader(), cluster.servers[cluster.leader()].replica.state.term
        assert cluster.servers[partitioned].replica.state.term > term + 10
        cluster.is_lost = lambda source, to: False
        cluster.run(cluster.now + 2 * SECOND)
        # Once the partition heals, the higher term deposes the leader.
        assert cluster.servers[leader].replica.state.term > term


def test_release_and_acquire_at_same_time_yield_one_holder() -> None:
    cluster = elected_cluster(3)
    leader = cluster.leader()
    send_request(cluster, leader, Acquire("n", "x", 100 * SECOND))
    server = cluster.servers[leader]
    requests = (
        RequestReceived("r", Release("n", "x")),
        RequestReceived("t", Acquire("n", "y", 100 * SECOND)),
    )
    for effect in server.handle(cluster.now, *requests):
        match effect:
            case SendMessage(to, message):
                cluster.schedule(cluster.now + MS, cluster._deliver(to, leader, message))
            case WriteRecords():
                cluster.schedule(cluster.now + MS, cluster._complete_write(leader))
    cluster.run(cluster.now + SECOND)
    answers = {ticket: answer for _, ticket, answer in cluster.answers if ticket in ("r", "t")}
    assert answers == {"r": Done("released"), "t": Granted(2, 100 * SECOND)}


def test_server_imports_only_deployed_modules_and_not_msgspec() -> None:
    """The deploy file lists all modules that the server imports, so that exactly the evaluated code runs."""
    deployment = tomllib.loads(Path("deploy/balancer.toml").read_text())
    script = "import sys, thistleline.__main__, thistleline.server.service; print(*sys.modules)"
    modules = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    ).stdout
    deployed_files = {
        str(file)
        for entry in (*deployment["policy"], *deployment["node"])
        for file in ([Path(entry)] if entry.endswith(".py") else Path(entry).rglob("*.py"))
    }
    for module in modules.split():
        if module.startswith("thistleline"):
            path = Path(*module.split("."))
            assert {str(path.with_suffix(".py")), str(path / "__init__.py")} & deployed_files, module
    assert "msgspec" not in modules.split()


# ---- on disk


RECORDS: tuple[Record, ...] = (
    SnapshotRecord("a.1", "c", 3, "a.1", 0, 0, (Member("a.1", "127.0.0.1:1"),), b"state"),
    VoteRecord(4, "b.2"),
    EntriesRecord(1, (Entry(4, "nothing", b""), Entry(4, "decision", b"x" * 30))),
    EntriesRecord(2, (Entry(5, "decision", b"y"),)),
)


def write_records(folder: Path) -> tuple[Path, list[int]]:
    """Write each record of RECORDS on its own; return the file and its size after each write."""
    store = ReplicaStore(Disk(folder, "council"))
    folder.mkdir(exist_ok=True)
    sizes = []
    for index, record in enumerate(RECORDS):
        store.write(WriteBatch(index == 0, (record,)))
        sizes.append(store.disk.path(1).stat().st_size)
    return store.disk.path(1), sizes


def recovered_position(folder: Path) -> tuple[int, str, int]:
    found = ReplicaStore(Disk(folder, "council")).recover()
    assert found is not None
    return found.vote.term, found.vote.voted_for, found.log.last_index


def test_truncated_write_loses_no_earlier_write(tmp_path: Path) -> None:
    path, sizes = write_records(tmp_path / "whole")
    data = path.read_bytes()
    folder = tmp_path / "torn"
    folder.mkdir()
    for end in range(sizes[0], len(data)):
        (folder / path.name).write_bytes(data[:end])
        term, _, last = recovered_position(folder)
        # A write counts once its first copy is complete; no record that was durable before is lost.
        complete = sum(1 for size in sizes if size <= end) - 1
        minimum = [(3, 0), (4, 0), (4, 2), (4, 2)][complete]
        assert (term, last) >= minimum


@pytest.mark.parametrize("bit", range(8))
def test_flipped_bit_loses_no_record(tmp_path: Path, bit: int) -> None:
    path, _ = write_records(tmp_path / "whole")
    data = path.read_bytes()
    folder = tmp_path / "flipped"
    folder.mkdir()
    for index in range(10, len(data)):
        corrupted = bytearray(data)
        corrupted[index] ^= 1 << bit
        (folder / path.name).write_bytes(corrupted)
        assert recovered_position(folder) == (4, "b.2", 2)


def test_unreadable_write_before_the_last_raises_error(tmp_path: Path) -> None:
    path, sizes = write_records(tmp_path / "d")
    data = bytearray(path.read_bytes())
    data[sizes[0] : sizes[1]] = bytes(sizes[1] - sizes[0])
    path.write_bytes(data)
    with pytest.raises(CorruptFrameError, match="write 2 can't be read"):
        recovered_position(tmp_path / "d")


def test_incomplete_new_segment_falls_back_to_previous_segment(tmp_path: Path) -> None:
    path, _ = write_records(tmp_path / "d")
    path.with_name("000000000002.council").write_bytes(path.read_bytes()[:40])
    assert recovered_position(tmp_path / "d") == (4, "b.2", 2)


def test_failed_write_deposes_leader_and_later_retry_succeeds(tmp_path: Path) -> None:
    """A leader with a failing disk is replaced; once its disk works again, its whole log becomes durable."""
    cluster = elected_cluster(3)
    first = cluster.leader()
    send_request(cluster, first, Acquire("n", "x", 100 * SECOND))
    server, handle = cluster.servers[first], cluster.handle
    failing = [True]

    def handle_with_failing_writes(id: str, event: Event) -> None:
        fails = id == first and event == WriteCompleted() and failing[0]
        handle(id, WriteFailed("no space") if fails else event)

    cluster.handle = handle_with_failing_writes  # type: ignore[method-assign]
    cluster.handle(first, RequestReceived("z", Acquire("m", "x", 100 * SECOND)))
    cluster.run(cluster.now + 5 * SECOND)
    assert cluster.leader() not in ("", first)
    assert server.replica.state.writes.failing
    failing[0] = False
    cluster.run(cluster.now + 15 * SECOND)
    assert not server.replica.state.writes.failing
    assert (
        server.replica.state.durable_index
        == server.replica.state.log.last_index
        == cluster.servers[cluster.leader()].replica.state.log.last_index
    )


def test_full_disk_keeps_stored_records(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path, _ = write_records(tmp_path / "d")
    store = ReplicaStore(Disk(tmp_path / "d", "council"))
    found = store.recover()
    assert found is not None

    def raise_no_space(data: bytes) -> None:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(store.disk, "append", raise_no_space)
    with pytest.raises(OSError, match="no space"):
        store.write(WriteBatch(True, (found.snapshot,)))
    assert path.exists()
    assert recovered_position(tmp_path / "d") == (4, "b.2", 2)
    shutil.rmtree(tmp_path / "d")
    assert ReplicaStore(Disk(tmp_path / "d", "council")).recover() is None


# ---- connections and settings


@given(st.lists(st.binary(max_size=50), max_size=8), st.data())
@settings(derandomize=True, database=None)
def test_frame_decoder_accepts_any_chunk_boundaries(payloads: list[bytes], data: st.DataObject) -> None:
    stream, decoder, found = b"".join(map(encode_frame, payloads)), FrameDecoder(50), []
    while stream:
        count = data.draw(st.integers(1, len(stream)))
        found += decoder.feed(stream[:count])
        stream = stream[count:]
    assert found == payloads


def test_oversized_message_is_rejected_by_its_length_prefix() -> None:
    with pytest.raises(ProtocolError):
        FrameDecoder(50).feed(encode_frame(b"x" * 51)[:4])


def test_version_negotiation_selects_highest_common_version() -> None:
    assert (
        negotiate_version(
            Hello("voter", "a", min_version=1, max_version=3),
            Hello("voter", "b", min_version=2, max_version=5),
        )
        == 3
    )
    with pytest.raises(ProtocolError, match="no common protocol version"):
        negotiate_version(
            Hello("voter", "a", min_version=1, max_version=1),
            Hello("voter", "b", min_version=2, max_version=2),
        )


def test_hello_ignores_unknown_fields_and_has_defaults_for_missing_ones() -> None:
    newer = {"type": "hello", "kind": "voter", "id": "a", "council": "c", "least": 1, "most": 2, "colour": 3}
    assert msgspec.convert(newer, Hello).max_version == 2
    assert msgspec.convert({"type": "hello", "kind": "client", "id": ""}, Hello).min_version == 1


def test_full_send_queue_drops_oldest_heartbeats_first() -> None:
    queue = SendQueue()
    queue.put(b"word", False)
    for _ in range(MAX_QUEUED_MESSAGES):
        queue.put(b"beat", True)
    assert queue.dropped == 1
    assert queue.take_batch().startswith(b"word")
    for index in range(MAX_QUEUED_MESSAGES + 5):
        queue.put(b"%05d" % index, False)
    assert queue.take_batch().startswith(b"00005")


def test_cluster_settings_report_all_errors_at_once() -> None:
    text = ("council name A\ncouncil listen 0.0.0.0:7\ncouncil heartbeat 5\ncouncil voter a\n"
            "council voter b=127.0.0.1:1\ncouncil voter b=127.0.0.1:2\ncouncil via c=host:1\n")  # fmt: skip
    with pytest.raises(ConfigError) as caught:
        parse_config("t.conf", text)
    assert [line.split(": ")[0] for line in caught.value.lines] == [f"t.conf:{n}" for n in (1, 2, 3, 4, 6, 7)]
    text = "council listen 127.0.0.1:7001\ncouncil election 2s\ncouncil voter a=[::1]:7\n"
    config = parse_config("t.conf", text).council
    assert config is not None
    assert (config.listen, config.election, config.voter) == (
        ("127.0.0.1", 7001),
        2 * SECOND,
        {"a": ("::1", 7)},
    )


def test_lease_queue_is_fifo_and_repeated_acquire_returns_same_grant() -> None:
    cluster = elected_cluster(3)
    leader = cluster.leader()
    assert send_request(cluster, leader, Acquire("n", "x", 100 * SECOND)) == Granted(1, 100 * SECOND)
    assert send_request(cluster, leader, Acquire("n", "x", 100 * SECOND)) == Granted(1, 100 * SECOND)
    assert isinstance(send_request(cluster, leader, Acquire("n", "y", SECOND)), Denied)
    for client in ("p", "q", "r"):
        send_request(cluster, leader, Acquire("n", client, 100 * SECOND, True))
    send_request(cluster, leader, Release("n", "q"))
    send_request(cluster, leader, Release("n", "x"))
    assert cluster.servers[leader].table.state.leases["n"].holder == "p"
    # A delayed duplicate of the earlier request is not granted again.
    assert isinstance(send_request(cluster, leader, Acquire("n", "x", SECOND)), Denied)
    send_request(cluster, leader, Release("n", "p"))
    assert cluster.servers[leader].table.state.leases["n"].holder == "r"
    assert cluster.servers[leader].table.state.leases["n"].epoch == 3
