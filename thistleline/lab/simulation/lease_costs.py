"""What leases cost: decisions a second, renewals, elections in virtual time, recovery. Ratios in one run."""

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

SPANS = RaftTiming(50 * MS, 500 * MS, 1000 * MS)
SECOND = 1000 * MS


class Alone:
    """A council of one voter on real files, nothing else: what a decision costs at the least."""

    def __init__(self, folder: Path | None) -> None:
        self.store = None
        if folder is not None:
            disk = Disk(folder, "council")
            disk.acquire()
            self.store = ReplicaStore(disk)
        self.server = LeaseServer(Replica("a", LeaseTable(), 0, SPANS, lambda span: 0), lambda: 0)
        self.now, self.answers = 0, list[Any]()
        self.put(FormCluster("c", (Member("a", ""),)))
        self.now += 600 * MS
        self.put(DeadlineReached())

    def put(self, *inputs: Event) -> None:
        waiting = list(inputs)
        while waiting:
            more: list[Event] = []
            for effect in self.server.handle(self.now, *waiting):
                match effect:
                    case WriteRecords(batch):
                        if self.store is not None:
                            self.store.write(batch)
                        more.append(WriteCompleted())
                    case SendAnswer(_, answer):
                        self.answers.append(answer)
            waiting = more

    def ask(self, *ops: Op) -> None:
        self.put(*(RequestReceived(number, op) for number, op in enumerate(ops)))


def decisions(folder: Path, count: int, group: int) -> float:
    """Takes a second, so many in one write."""
    alone = Alone(folder)
    begun = time.perf_counter()
    for first in range(0, count, group):
        alone.ask(*(Acquire(f"n{place}", f"x{place}", 10 * SECOND) for place in range(first, first + group)))
    return count / (time.perf_counter() - begun)


def renewals(names: int) -> dict[str, float]:
    """CPU of a renewal with so many names in hand, 100 in a request; of a take and release beside them."""
    alone = Alone(None)
    for first in range(0, names, 100):
        alone.ask(*(Acquire(f"n{place}", f"x{place}", 10 * SECOND) for place in range(first, first + 100)))
    begun = time.process_time()
    rounds = max(1, 20_000 // names)
    for _ in range(rounds):
        alone.now += SECOND
        for first in range(0, names, 100):
            alone.ask(Renew(tuple((f"n{place}", f"x{place}") for place in range(first, first + 100))))
        alone.put(DeadlineReached())
    renewed = (time.process_time() - begun) / rounds / names
    assert len(alone.server.table.state.leases) == names
    begun = time.process_time()
    for turn in range(500):
        alone.ask(Acquire("more", f"y{turn}", SECOND))
        alone.ask(Release("more", f"y{turn}"))
    taken = (time.process_time() - begun) / 500
    size = len(alone.server.table.snapshot()) / names
    asked = len(
        encode(Request(1, Renew(tuple((f"n{place}", f"host.{place}.0123456789ab") for place in range(100)))))
    )
    told = len(encode(Reply(1, Renewed((Granted(1 << 20, 10 * SECOND),) * 100))))
    return {
        "renewal_us": round(renewed * 1e6, 2),
        "take_and_release_us": round(taken * 1e6, 1),
        "snapshot_bytes_a_name": round(size),
        "renewal_bytes_both_ways": round((asked + told) / 100),
    }


def elections(delay_ms: int, seeds: int) -> dict[str, float]:
    """Five voters: from the leader's death to the next leader, and terms that were needed; election span
    500 ms or ten delays, whichever is longer."""
    took, terms = [], []
    for seed in range(seeds):
        span = max(500, 10 * delay_ms) * MS
        spans = RaftTiming(span // 10, span, 2 * span)

        def delay(chance: Random) -> int:
            return int(delay_ms * MS * chance.uniform(0.5, 1.5))

        council = SimulatedCluster(5, spans, seed, delay)
        council.run(20 * span, lambda council=council: bool(council.leader()))  # type: ignore[misc]
        council.run(council.now + span)
        first = council.leader()
        before = council.servers[first].replica.state.term
        council.crashed.add(first)
        died = council.now
        council.run(died + 40 * span, lambda council=council: bool(council.leader()))  # type: ignore[misc]
        took.append((council.now - died) / MS)
        terms.append(council.servers[council.leader()].replica.state.term - before)
    took.sort()
    return {
        "election_span_ms": max(500, 10 * delay_ms),
        "p50_ms": round(statistics.median(took)),
        "p99_ms": round(took[len(took) * 99 // 100]),
        "terms": round(statistics.fmean(terms), 2),
    }


def one_way(seconds: int) -> dict[str, int]:
    """Terms that pass while one of five voters hears nobody and is heard by all."""
    council = SimulatedCluster(5, SPANS, 1, lambda chance: 5 * MS)
    council.run(5 * SECOND)
    leader = council.leader()
    deaf = next(id for id in council.servers if id != leader)
    before = council.servers[leader].replica.state.term
    council.is_lost = lambda source, to: to == deaf
    council.run(council.now + seconds * SECOND)
    return {"terms": council.servers[council.leader() or leader].replica.state.term - before}


def recovery(folder: Path, count: int) -> dict[str, Any]:
    """A log of so many decisions, 1,000 in a write; longer than any in service, where it is compacted."""
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
    again = ReplicaStore(Disk(folder, "council"))
    begun = time.perf_counter()
    found = again.recover()
    took = time.perf_counter() - begun
    assert found is not None
    assert found.log.last_index == count
    return {"decisions": count, "seconds": round(took, 2), "us_each": round(took / count * 1e6, 2),
            "disk_bytes_each": round(size / count)}  # fmt: skip


def cost(quick: bool, tell: Callable[[str], None]) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as name:

        def place(word: str) -> Path:
            return Path(name) / word

        tell("decisions a second")
        count = 1000 if quick else 6000
        each, grouped = decisions(place("each"), count // 4, 1), decisions(place("grouped"), count, 64)
        figures["decisions a second"] = {
            "a sync each": round(each), "64 a sync": round(grouped), "ratio": round(grouped / each, 1)
        }  # fmt: skip
        tell("renewals")
        for names in (100, 1000) if quick else (100, 1000, 10_000):
            figures[f"{names} names"] = renewals(names)
        tell("elections in virtual time")
        for delay in (1, 20, 200) if quick else (1, 5, 20, 50, 100, 200):
            figures[f"election, delay {delay} ms"] = elections(delay, 20 if quick else 200)
        figures["one way cut"] = one_way(60)
        tell("recovery")
        for count in (10_000,) if quick else (10_000, 100_000, 1_000_000):
            figures[f"recovery of {count}"] = recovery(place(f"r{count}"), count)
    return figures
