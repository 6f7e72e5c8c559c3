"""Costs of leases: decisions per second, renewals, elections in virtual time, recovery.

A ratio compares figures of the same run.
"""

import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from thistleline.consensus.effects import WriteRecords
from thistleline.consensus.events import FormCluster, WriteCompleted
from thistleline.consensus.messages import Entry, Member
from thistleline.consensus.records import EntriesRecord, SnapshotRecord, WriteBatch
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import RaftTiming
from thistleline.consensus.store import ReplicaStore
from thistleline.lab.simulation.replica_cluster import MS, SimulatedCluster
from thistleline.lease.effects import SendAnswer
from thistleline.lease.events import Event, RequestReceived
from thistleline.lease.protocol import Acquire, Granted, Op, Release, Renew, Renewed
from thistleline.lease.server import LeaseServer
from thistleline.lease.table import LeaseTable, encode_decision
from thistleline.lease.wire import Reply, Request, encode
from thistleline.reducer.events import DeadlineReached
from thistleline.store.disk import Disk

TIMING = RaftTiming(50 * MS, 500 * MS, 1000 * MS)
SECOND = 1000 * MS


class SingleReplica:
    """A consensus cluster of one replica, on real files or in memory: the least cost of a decision."""

    def __init__(self, folder: Path | None) -> None:
        """Form the cluster and elect the replica.

        Args:
            folder: For the replica's files; without one it stores nothing.
        """
        self.store = None
        if folder is not None:
            disk = Disk(folder, "council")
            disk.acquire()
            self.store = ReplicaStore(disk)
        self.server = LeaseServer(Replica("a", LeaseTable(), 0, TIMING, lambda span: 0), lambda: 0)
        self.now, self.answers = 0, list[Any]()
        self.put(FormCluster("c", (Member("a", ""),)))
        self.now += 600 * MS
        self.put(DeadlineReached())

    def put(self, *inputs: Event) -> None:
        """Handle events, with the writes and answers that follow from them."""
        pending = list(inputs)
        while pending:
            follow_up: list[Event] = []
            for effect in self.server.handle(self.now, *pending):
                match effect:
                    case WriteRecords(batch):
                        if self.store is not None:
                            self.store.write(batch)
                        follow_up.append(WriteCompleted())
                    case SendAnswer(_, answer):
                        self.answers.append(answer)
            pending = follow_up

    def ask(self, *ops: Op) -> None:
        """Send requests, numbered from 0, which are handled together."""
        self.put(*(RequestReceived(number, op) for number, op in enumerate(ops)))


def measure_decision_rate(folder: Path, count: int, group: int) -> float:
    """Return the acquisitions per second.

    Args:
        folder: For the replica's files.
        count: Acquisitions in all.
        group: Acquisitions in one write.
    """
    replica = SingleReplica(folder)
    started = time.perf_counter()
    for first in range(0, count, group):
        replica.ask(
            *(Acquire(f"n{place}", f"x{place}", 10 * SECOND) for place in range(first, first + group))
        )
    return count / (time.perf_counter() - started)


def measure_renewals(names: int) -> dict[str, float]:
    """Measure renewals, 100 in a request, while `names` leases are held, and a pair of acquire and release.

    Returns:
        CPU time in us of a renewal and of the pair; bytes per name of a snapshot and of a renewal.
    """
    replica = SingleReplica(None)
    for first in range(0, names, 100):
        replica.ask(*(Acquire(f"n{place}", f"x{place}", 10 * SECOND) for place in range(first, first + 100)))
    started = time.process_time()
    rounds = max(1, 20_000 // names)
    for _ in range(rounds):
        replica.now += SECOND
        for first in range(0, names, 100):
            replica.ask(Renew(tuple((f"n{place}", f"x{place}") for place in range(first, first + 100))))
        replica.put(DeadlineReached())
    renewed = (time.process_time() - started) / rounds / names
    assert len(replica.server.table.state.leases) == names
    started = time.process_time()
    for turn in range(500):
        replica.ask(Acquire("more", f"y{turn}", SECOND))
        replica.ask(Release("more", f"y{turn}"))
    taken = (time.process_time() - started) / 500
    size = len(replica.server.table.snapshot()) / names
    request_bytes = len(
        encode(Request(1, Renew(tuple((f"n{place}", f"host.{place}.0123456789ab") for place in range(100)))))
    )
    reply_bytes = len(encode(Reply(1, Renewed((Granted(1 << 20, 10 * SECOND),) * 100))))
    return {
        "renewal_us": round(renewed * 1e6, 2),
        "take_and_release_us": round(taken * 1e6, 1),
        "snapshot_bytes_a_name": round(size),
        "renewal_bytes_both_ways": round((request_bytes + reply_bytes) / 100),
    }


def measure_elections(delay_ms: int, seeds: int) -> dict[str, float]:
    """Measure elections after the leader of five replicas crashed.

    The election timeout is 500 ms or ten delays, whichever is longer.

    Returns:
        The time in ms from the crash to the next leader, and the mean number of terms needed.
    """
    durations, terms = [], []
    for seed in range(seeds):
        span = max(500, 10 * delay_ms) * MS
        timing = RaftTiming(span // 10, span, 2 * span)

        def delay(chance: Random) -> int:
            return int(delay_ms * MS * chance.uniform(0.5, 1.5))

        cluster = SimulatedCluster(5, timing, seed, delay)
        cluster.run(20 * span, lambda cluster=cluster: bool(cluster.leader()))  # type: ignore[misc]
        cluster.run(cluster.now + span)
        first = cluster.leader()
        before = cluster.servers[first].replica.state.term
        cluster.crashed.add(first)
        crashed_at = cluster.now
        cluster.run(crashed_at + 40 * span, lambda cluster=cluster: bool(cluster.leader()))  # type: ignore[misc]
        durations.append((cluster.now - crashed_at) / MS)
        terms.append(cluster.servers[cluster.leader()].replica.state.term - before)
    durations.sort()
    return {
        "election_span_ms": max(500, 10 * delay_ms),
        "p50_ms": round(statistics.median(durations)),
        "p99_ms": round(durations[len(durations) * 99 // 100]),
        "terms": round(statistics.fmean(terms), 2),
    }


def count_terms_under_one_way_cut(seconds: int) -> dict[str, int]:
    """Count the terms that pass while one of five replicas receives no messages, but its own are delivered.

    Args:
        seconds: Virtual time of the cut.
    """
    cluster = SimulatedCluster(5, TIMING, 1, lambda chance: 5 * MS)
    cluster.run(5 * SECOND)
    leader = cluster.leader()
    cut_off = next(id for id in cluster.servers if id != leader)
    before = cluster.servers[leader].replica.state.term
    cluster.is_lost = lambda source, to: to == cut_off
    cluster.run(cluster.now + seconds * SECOND)
    return {"terms": cluster.servers[cluster.leader() or leader].replica.state.term - before}


def measure_recovery(folder: Path, count: int) -> dict[str, Any]:
    """Measure the recovery of a log of `count` decisions, 1,000 in a write.

    Such a log is longer than any in service, where it is compacted.
    """
    disk = Disk(folder, "council")
    disk.acquire()
    store = ReplicaStore(disk)
    members = (Member("a", ""),)
    store.write(WriteBatch(True, (SnapshotRecord("a", "c", 1, "a", 0, 0, members, LeaseTable().snapshot()),)))
    sync, disk.sync = disk.sync, lambda: None  # type: ignore[method-assign]
    for first in range(1, count + 1, 1000):
        entries = tuple(
            Entry(1, "decision", encode_decision(Acquire(f"n{place % 5000}", f"x{place}", SECOND)))
            for place in range(first, first + 1000)
        )
        store.write(WriteBatch(False, (EntriesRecord(first, entries),)))
    disk.sync = sync  # type: ignore[method-assign]
    size = disk.segments()[-1][1]
    disk.release()
    recovered_store = ReplicaStore(Disk(folder, "council"))
    started = time.perf_counter()
    found = recovered_store.recover()
    duration = time.perf_counter() - started
    assert found is not None
    assert found.log.last_index == count
    return {"decisions": count, "seconds": round(duration, 2), "us_each": round(duration / count * 1e6, 2),
            "disk_bytes_each": round(size / count)}  # fmt: skip


def measure_costs(quick: bool, tell: Callable[[str], None]) -> dict[str, Any]:
    """Measure all costs of leases.

    Args:
        quick: Whether to measure fewer and smaller cases.
        tell: Called with the name of each group of figures before it is measured.

    Returns:
        The figures by case.
    """
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as name:

        def path_of(subfolder: str) -> Path:
            return Path(name) / subfolder

        tell("decisions a second")
        count = 1000 if quick else 6000
        each, grouped = (
            measure_decision_rate(path_of("each"), count // 4, 1),
            measure_decision_rate(path_of("grouped"), count, 64),
        )
        figures["decisions a second"] = {
            "a sync each": round(each), "64 a sync": round(grouped), "ratio": round(grouped / each, 1)
        }  # fmt: skip
        tell("renewals")
        for names in (100, 1000) if quick else (100, 1000, 10_000):
            figures[f"{names} names"] = measure_renewals(names)
        tell("elections in virtual time")
        for delay in (1, 20, 200) if quick else (1, 5, 20, 50, 100, 200):
            figures[f"election, delay {delay} ms"] = measure_elections(delay, 20 if quick else 200)
        figures["one way cut"] = count_terms_under_one_way_cut(60)
        tell("recovery")
        for count in (10_000,) if quick else (10_000, 100_000, 1_000_000):
            figures[f"recovery of {count}"] = measure_recovery(path_of(f"r{count}"), count)
    return figures
