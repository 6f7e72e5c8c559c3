"""The council: its reducer in virtual time, its records on disk, its messages, and what is explored."""

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
from thistleline.lab.simulation.lease_costs import one_way
from thistleline.lab.simulation.lease_mutants import MUTANTS, SCENARIOS, without
from thistleline.lab.simulation.lease_world import begin, following
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
SPANS = RaftTiming(50 * MS, 500 * MS, 1000 * MS)


def council(voters: int, seed: int = 1, delay: int = 5) -> SimulatedCluster:
    made = SimulatedCluster(voters, SPANS, seed, lambda chance: int(delay * MS * chance.uniform(0.5, 1.5)))
    assert made.run(10 * SECOND, lambda: bool(made.leader()))
    made.run(made.now + SECOND)
    return made


def ask(made: SimulatedCluster, id: str, op: Any) -> Any:
    count = len(made.answers)
    made.handle(id, RequestReceived(count, op))
    made.run(made.now + 3 * SECOND, lambda: len(made.answers) > count)
    return made.answers[count][2] if len(made.answers) > count else None


# ---- elections


@pytest.mark.parametrize("voters", [1, 3, 5])
def test_a_leader_is_found_and_after_its_death_another(voters: int) -> None:
    made = council(voters)
    first = made.leader()
    assert isinstance(ask(made, first, Acquire("n", "x", SECOND)), Granted)
    if voters == 1:
        return
    made.crashed.add(first)
    assert made.run(made.now + 5 * SECOND, lambda: bool(made.leader()))
    made.run(made.now + SECOND)
    assert made.servers[made.leader()].table.status_of("n", "x") == Granted(1, SECOND)


@pytest.mark.parametrize("hears", [True, False])
def test_a_voter_cut_one_way_brings_no_endless_elections(hears: bool) -> None:
    made = council(5)
    leader = made.leader()
    cut = next(id for id in made.servers if id != leader)
    made.is_lost = lambda source, to: cut == (source if hears else to)
    before = made.servers[leader].replica.state.term
    made.run(made.now + 60 * SECOND)
    assert made.leader() == leader
    assert made.servers[leader].replica.state.term == before
    made.is_lost = lambda source, to: False
    made.run(made.now + 5 * SECOND)
    assert made.servers[leader].replica.state.term == before


@pytest.mark.parametrize("hears", [True, False])
def test_a_leader_cut_one_way_gives_way(hears: bool) -> None:
    made = council(5)
    first = made.leader()
    made.is_lost = lambda source, to: first == (source if hears else to)
    made.run(made.now + 10 * SECOND)
    assert made.leader() not in ("", first)
    assert made.servers[first].replica.state.phase != "leading"


def test_a_leader_with_one_voter_decides_nothing_and_says_so() -> None:
    made = council(5)
    first = made.leader()
    other = next(id for id in made.servers if id != first)
    inside = {first, other}
    made.is_lost = lambda source, to: (source in inside) != (to in inside)
    assert isinstance(ask(made, first, Acquire("n", "x", SECOND)), Unavailable)
    made.run(made.now + 3 * SECOND)
    new = made.leader()
    assert new not in inside
    assert isinstance(ask(made, new, Acquire("n", "y", 100 * SECOND)), Granted)
    made.is_lost = lambda source, to: False
    made.run(made.now + 3 * SECOND)
    assert {server.table.state.leases["n"].holder for server in made.servers.values()} == {"y"}


def test_one_far_behind_gets_the_whole_state(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("thistleline.consensus.persistence.MAX_LOG_SIZE", 2000)
    made = council(3)
    leader = made.leader()
    late = next(id for id in made.servers if id != leader)
    made.is_lost = lambda source, to: late in (source, to)
    for place in range(100):
        assert isinstance(ask(made, leader, Acquire(f"n{place}", "x", 100 * SECOND)), Granted)
    assert made.servers[leader].replica.state.log.snapshot_index > 50
    made.is_lost = lambda source, to: False
    made.run(made.now + 5 * SECOND)
    assert made.servers[late].table.state.leases.keys() == made.servers[leader].table.state.leases.keys()


# ---- members


def test_members_change_one_at_a_time_also_across_a_partition() -> None:
    made = council(3)
    leader = made.leader()
    rest = sorted(set(made.servers) - {leader})
    made.is_lost = lambda source, to: leader in (source, to)
    assert isinstance(
        ask(made, leader, ChangeReplicas("remove", rest[0])), Unavailable
    )  # it comes to nothing there
    made.run(made.now + 3 * SECOND)
    new = made.leader()
    assert new != leader
    assert ask(made, new, ChangeReplicas("remove", leader)) == Done("changed")
    made.is_lost = lambda source, to: False
    made.run(made.now + 5 * SECOND)
    assert {one.id for one in made.servers[made.leader()].replica.state.members} == set(rest)
    assert made.servers[leader].replica.state.phase != "leading"
    assert isinstance(ask(made, made.leader(), ChangeReplicas("remove", leader)), Done)  # it is gone already
    made.crashed.add(leader)
    before = made.servers[made.leader()].replica.state.term
    made.run(made.now + 10 * SECOND)
    assert made.servers[made.leader()].replica.state.term == before


def test_who_lost_its_disk_rejoins_as_another_and_votes_only_then() -> None:
    made = council(3)
    leader = made.leader()
    lost = next(id for id in made.servers if id != leader)
    ask(made, leader, Acquire("n", "x", 100 * SECOND))
    del made.servers[lost]
    made.crashed.add(lost)
    empty = Replica("w0", LeaseTable(), made.now, SPANS, lambda span: made.rng.randrange(span))
    made.servers["w0"] = LeaseServer(empty, lambda: 0)
    made.run(made.now + 3 * SECOND)
    assert empty.state.phase == "unformed"
    assert ask(made, leader, ChangeReplicas("remove", lost)) == Done("changed")
    assert ask(made, leader, ChangeReplicas("add", "w0", "w0")) == Done("changed")
    assert "n" in made.servers["w0"].table.state.leases
    made.crashed.add(leader)
    made.run(made.now + 5 * SECOND)
    assert made.leader() not in ("", leader)


@given(st.integers(0, 10_000))
@settings(derandomize=True, database=None, max_examples=12, deadline=None)
def test_long_runs_with_cuts_and_deaths_lose_no_decision(seed: int) -> None:
    made, chance = council(5, seed), Random(seed)
    granted: dict[str, int] = {}
    for place in range(40):
        cut = set(chance.sample(sorted(made.servers), chance.randint(0, 2)))
        ways = chance.choice([(True, True), (True, False), (False, True)])
        made.is_lost = lambda source, to, cut=cut, ways=ways: (  # type: ignore[misc]
            (source in cut and ways[0]) or (to in cut and ways[1]) or chance.random() < 0.05
        )
        made.run(made.now + chance.randrange(3 * SECOND))
        if made.leader():
            answer = ask(made, made.leader(), Acquire(f"n{place}", "x", 3600 * SECOND))
            if isinstance(answer, Granted):
                assert answer.epoch not in granted.values()
                granted[f"n{place}"] = answer.epoch
    made.is_lost = lambda source, to: False
    made.run(made.now + 10 * SECOND)
    for server in made.servers.values():
        found = {name: lease.epoch for name, lease in server.table.state.leases.items()}
        assert granted.items() <= found.items()
    assert len(granted) > 10


# ---- what is explored


@pytest.mark.parametrize("what", sorted(SCENARIOS))
def test_nothing_that_can_follow_breaks_an_invariant(what: str) -> None:
    found = explore(begin(SCENARIOS[what]), following, 40, 1500)
    assert not found.wrong, found.trace


@pytest.mark.parametrize("mutant", [one for one in MUTANTS if one.quick], ids=lambda one: one.what)
def test_a_protection_left_out_is_found(mutant: Any) -> None:
    with without(mutant.patches):
        found = explore(begin(SCENARIOS[mutant.scenario]), following, 40, 30_000)
    assert found.wrong


@given(st.sampled_from(["election", "held", "deposed leader", "unaware of its grant"]), st.data())
@settings(derandomize=True, database=None, max_examples=30, deadline=None)
def test_longer_ways_through_the_world_break_nothing_either(what: str, data: st.DataObject) -> None:
    scenario = SCENARIOS[what]._replace(ticks=8, crashes=3, doubles=3, losses=2, elections=6)
    world = begin(scenario._replace(elapse=(), net=8))
    for _ in range(40):
        ways = list(following(world))
        if not ways:
            return
        world = ways[data.draw(st.integers(0, len(ways) - 1))][1]
        assert not world.wrong()


def test_without_pre_vote_one_that_hears_nobody_brings_endless_elections() -> None:
    def stand(self: Elections) -> None:
        self.state.leader = ""
        self.start_election()

    assert one_way(20)["terms"] == 0
    with without(((Elections, "start_pre_vote", stand),)):
        made = council(5)
        deaf = next(id for id in made.servers if id != made.leader())
        made.is_lost = lambda source, to: to == deaf
        made.run(made.now + 20 * SECOND)
        leader, terms = made.leader(), made.servers[made.leader()].replica.state.term
        assert made.servers[deaf].replica.state.term > terms + 10
        made.is_lost = lambda source, to: False
        made.run(made.now + 2 * SECOND)
        assert made.servers[leader].replica.state.term > terms  # healed, it throws the leader over


def test_released_and_taken_in_the_same_instant_it_has_one_holder() -> None:
    made = council(3)
    leader = made.leader()
    ask(made, leader, Acquire("n", "x", 100 * SECOND))
    server = made.servers[leader]
    both = (RequestReceived("r", Release("n", "x")), RequestReceived("t", Acquire("n", "y", 100 * SECOND)))
    for effect in server.handle(made.now, *both):
        match effect:
            case SendMessage(to, message):
                made.schedule(made.now + MS, made._deliver(to, leader, message))
            case WriteRecords():
                made.schedule(made.now + MS, made._complete_write(leader))
    made.run(made.now + SECOND)
    told = {ticket: answer for _, ticket, answer in made.answers if ticket in ("r", "t")}
    assert told == {"r": Done("released"), "t": Granted(2, 100 * SECOND)}


def test_the_instance_imports_nothing_of_it() -> None:
    """All that `run` imports is named in the deploy file, so that what is judged is what runs."""
    plan = tomllib.loads(Path("deploy/balancer.toml").read_text())
    script = "import sys, thistleline.__main__, thistleline.server.service; print(*sys.modules)"
    told = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True).stdout
    named = {str(file) for place in (*plan["policy"], *plan["node"])
             for file in ([Path(place)] if place.endswith(".py") else Path(place).rglob("*.py"))}  # fmt: skip
    for module in told.split():
        if module.startswith("thistleline"):
            path = Path(*module.split("."))
            assert {str(path.with_suffix(".py")), str(path / "__init__.py")} & named, module
    assert "msgspec" not in told.split()


# ---- on disk


RECORDS: tuple[Record, ...] = (
    SnapshotRecord("a.1", "c", 3, "a.1", 0, 0, (Member("a.1", "127.0.0.1:1"),), b"state"),
    VoteRecord(4, "b.2"),
    EntriesRecord(1, (Entry(4, "nothing", b""), Entry(4, "decision", b"x" * 30))),
    EntriesRecord(2, (Entry(5, "decision", b"y"),)),
)


def written(folder: Path) -> tuple[Path, list[int]]:
    """The file, and its length after each write."""
    store = ReplicaStore(Disk(folder, "council"))
    folder.mkdir(exist_ok=True)
    sizes = []
    for place, record in enumerate(RECORDS):
        store.write(WriteBatch(place == 0, (record,)))
        sizes.append(store.disk.path(1).stat().st_size)
    return store.disk.path(1), sizes


def last_of(folder: Path) -> tuple[int, str, int]:
    found = ReplicaStore(Disk(folder, "council")).recover()
    assert found is not None
    return found.vote.term, found.vote.voted_for, found.log.last_index


def test_a_torn_write_is_as_if_it_had_not_been(tmp_path: Path) -> None:
    path, sizes = written(tmp_path / "whole")
    data = path.read_bytes()
    folder = tmp_path / "torn"
    folder.mkdir()
    for end in range(sizes[0], len(data)):
        (folder / path.name).write_bytes(data[:end])
        term, _, last = last_of(folder)
        # A first copy that is whole counts; nothing that was durable before is gone.
        done = sum(1 for size in sizes if size <= end) - 1
        least = [(3, 0), (4, 0), (4, 2), (4, 2)][done]
        assert (term, last) >= least


@pytest.mark.parametrize("bit", range(8))
def test_a_flipped_bit_anywhere_takes_nothing(tmp_path: Path, bit: int) -> None:
    path, _ = written(tmp_path / "whole")
    data = path.read_bytes()
    folder = tmp_path / "flipped"
    folder.mkdir()
    for place in range(10, len(data)):
        harmed = bytearray(data)
        harmed[place] ^= 1 << bit
        (folder / path.name).write_bytes(harmed)
        assert last_of(folder) == (4, "b.2", 2)


def test_what_can_t_be_read_in_the_middle_is_not_passed_over(tmp_path: Path) -> None:
    path, sizes = written(tmp_path / "d")
    data = bytearray(path.read_bytes())
    data[sizes[0] : sizes[1]] = bytes(sizes[1] - sizes[0])
    path.write_bytes(data)
    with pytest.raises(CorruptFrameError, match="write 2 can't be read"):
        last_of(tmp_path / "d")


def test_a_new_segment_that_was_being_made_leaves_the_one_before(tmp_path: Path) -> None:
    path, _ = written(tmp_path / "d")
    path.with_name("000000000002.council").write_bytes(path.read_bytes()[:40])
    assert last_of(tmp_path / "d") == (4, "b.2", 2)


def test_after_a_failed_write_all_goes_to_a_new_segment(tmp_path: Path) -> None:
    """A leader whose disk fails leads no more; another does, and the first comes back with all it knows."""
    made = council(3)
    first = made.leader()
    ask(made, first, Acquire("n", "x", 100 * SECOND))
    server, put = made.servers[first], made.handle
    failing = [True]

    def troubled(id: str, event: Event) -> None:
        fails = id == first and event == WriteCompleted() and failing[0]
        put(id, WriteFailed("no space") if fails else event)

    made.handle = troubled  # type: ignore[method-assign]
    made.handle(first, RequestReceived("z", Acquire("m", "x", 100 * SECOND)))
    made.run(made.now + 5 * SECOND)
    assert made.leader() not in ("", first)
    assert server.replica.state.writes.failing
    failing[0] = False
    made.run(made.now + 15 * SECOND)
    assert not server.replica.state.writes.failing
    assert (
        server.replica.state.durable_index
        == server.replica.state.log.last_index
        == made.servers[made.leader()].replica.state.log.last_index
    )


def test_a_full_disk_keeps_what_was_there(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path, _ = written(tmp_path / "d")
    store = ReplicaStore(Disk(tmp_path / "d", "council"))
    found = store.recover()
    assert found is not None

    def full(data: bytes) -> None:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(store.disk, "append", full)
    with pytest.raises(OSError, match="no space"):
        store.write(WriteBatch(True, (found.snapshot,)))
    assert path.exists()
    assert last_of(tmp_path / "d") == (4, "b.2", 2)
    shutil.rmtree(tmp_path / "d")
    assert ReplicaStore(Disk(tmp_path / "d", "council")).recover() is None


# ---- links and settings


@given(st.lists(st.binary(max_size=50), max_size=8), st.data())
@settings(derandomize=True, database=None)
def test_messages_come_whole_however_the_stream_is_cut(payloads: list[bytes], data: st.DataObject) -> None:
    stream, unpacker, found = b"".join(map(encode_frame, payloads)), FrameDecoder(50), []
    while stream:
        count = data.draw(st.integers(1, len(stream)))
        found += unpacker.feed(stream[:count])
        stream = stream[count:]
    assert found == payloads


def test_a_message_over_the_bound_is_refused_before_it_came() -> None:
    with pytest.raises(ProtocolError):
        FrameDecoder(50).feed(encode_frame(b"x" * 51)[:4])


def test_programs_of_other_forms_speak_the_highest_that_both_know() -> None:
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


def test_what_a_newer_program_adds_is_passed_over_and_what_an_older_lacks_has_a_default() -> None:
    newer = {"type": "hello", "kind": "voter", "id": "a", "council": "c", "least": 1, "most": 2, "colour": 3}
    assert msgspec.convert(newer, Hello).max_version == 2
    assert msgspec.convert({"type": "hello", "kind": "client", "id": ""}, Hello).min_version == 1


def test_a_full_queue_drops_the_oldest_beats_first() -> None:
    queue = SendQueue()
    queue.put(b"word", False)
    for _ in range(MAX_QUEUED_MESSAGES):
        queue.put(b"beat", True)
    assert queue.dropped == 1
    assert queue.take_batch().startswith(b"word")
    for place in range(MAX_QUEUED_MESSAGES + 5):
        queue.put(b"%05d" % place, False)
    assert queue.take_batch().startswith(b"00005")


def test_settings_of_the_council_are_checked_with_all_faults_at_once() -> None:
    text = ("council name A\ncouncil listen 0.0.0.0:7\ncouncil heartbeat 5\ncouncil voter a\n"
            "council voter b=127.0.0.1:1\ncouncil voter b=127.0.0.1:2\ncouncil via c=host:1\n")  # fmt: skip
    with pytest.raises(ConfigError) as caught:
        parse_config("t.conf", text)
    assert [line.split(": ")[0] for line in caught.value.lines] == [f"t.conf:{n}" for n in (1, 2, 3, 4, 6, 7)]
    text = "council listen 127.0.0.1:7001\ncouncil election 2s\ncouncil voter a=[::1]:7\n"
    conf = parse_config("t.conf", text).council
    assert conf is not None
    assert (conf.listen, conf.election, conf.voter) == (("127.0.0.1", 7001), 2 * SECOND, {"a": ("::1", 7)})


def test_the_line_is_fair_and_a_lost_answer_asked_again_is_the_same_grant() -> None:
    made = council(3)
    leader = made.leader()
    assert ask(made, leader, Acquire("n", "x", 100 * SECOND)) == Granted(1, 100 * SECOND)
    assert ask(made, leader, Acquire("n", "x", 100 * SECOND)) == Granted(1, 100 * SECOND)
    assert isinstance(ask(made, leader, Acquire("n", "y", SECOND)), Denied)
    for asker in ("p", "q", "r"):
        ask(made, leader, Acquire("n", asker, 100 * SECOND, True))
    ask(made, leader, Release("n", "q"))
    ask(made, leader, Release("n", "x"))
    assert made.servers[leader].table.state.leases["n"].holder == "p"
    assert isinstance(ask(made, leader, Acquire("n", "x", SECOND)), Denied)  # a late copy of its wish
    ask(made, leader, Release("n", "p"))
    assert made.servers[leader].table.state.leases["n"].holder == "r"
    assert made.servers[leader].table.state.leases["n"].epoch == 3
