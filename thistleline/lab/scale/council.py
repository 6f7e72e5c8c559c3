"""The council by voters, by reads and writes in a round, by records and leases: messages, bytes, time.

The reducers that run (consensus/replica.py under lease/server.py), in virtual time with no heartbeat in
between, so that a round is counted alone. The long run adds a council of three real processes under reads
and writes at fixed rates, with the leader's processor time from /proc.
"""

import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import msgspec

from thistleline.consensus.effects import SendMessage, WriteRecords
from thistleline.consensus.events import MessageReceived, WriteCompleted
from thistleline.consensus.messages import AppendRequest, AppendResponse, Message
from thistleline.consensus.persistence import ENTRY_OVERHEAD, MAX_LOG_SIZE
from thistleline.consensus.replica import MAX_PENDING_REQUESTS
from thistleline.consensus.state import RaftTiming
from thistleline.lab.processes.harness import Fleet, RunTimeoutError, run_folder
from thistleline.lab.scale import slopes
from thistleline.lab.scale.instance import cpu_seconds, machine
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part, Row, Shape, cpu_of, judge, loop_cpu, memory_of
from thistleline.lab.simulation.replica_cluster import MS, SentAnswer, SimulatedCluster
from thistleline.lease.client import LeaseClient
from thistleline.lease.effects import SendAnswer
from thistleline.lease.events import Event, RequestReceived
from thistleline.lease.protocol import (
    MAX_VALUE_SIZE,
    Acquire,
    Done,
    Get,
    Got,
    Granted,
    Op,
    Put,
    Renew,
    Renewed,
)
from thistleline.lease.server import LeaseServer
from thistleline.lease.service import MAX_CONNECTIONS
from thistleline.lease.table import (
    MAX_LEASES,
    MAX_RECORDS,
    MAX_RECORDS_SIZE,
    LeaseTable,
    encode_decision,
    validate,
)
from thistleline.lease.wire import Reply, Request, decode_replica_message, decode_request, encode
from thistleline.supervisor.model import DesiredVersion, Version
from thistleline.supervisor.records import desired_version_key
from thistleline.supervisor.service import POLL
from thistleline.supervisor.settings import SETTINGS_SIZE_LIMIT
from thistleline.transport.codec import encode_frame

NAME = "council"
FULL = "stewards that fill the leader's core"
SECOND = 1000 * MS
QUIET = RaftTiming(
    1000 * SECOND, 3000 * SECOND, 6000 * SECOND
)  # nothing of it comes into a round that is counted
KEEPS = 200
SECONDS = 6.0  # of a rate, in the long run
DIGEST = "5f" * 32
WANT = msgspec.msgpack.encode(DesiredVersion(7, 1182, Version("2.31.4", DIGEST, 118, DIGEST, (3, 4), 4), 2))


class CountedCouncil(SimulatedCluster):
    """Counts what voters send each other, as it goes over a link."""

    def __init__(self, voters: int, seed: int) -> None:
        self.sent: Counter[str] = Counter()
        self.bytes = self.writes = 0
        super().__init__(voters, QUIET, seed, lambda chance: 5 * MS)
        if not self.run(100_000 * SECOND, lambda: bool(self.leader())):
            raise RunTimeoutError("no leader in virtual time")
        self.run(self.now + SECOND)
        self.led = self.leader()

    def _deliver(self, to: str, source: str, message: Any) -> Callable[[], None]:
        self.sent[type(message).__name__] += 1
        self.bytes += len(encode_frame(encode(message)))
        return super()._deliver(to, source, message)

    def _complete_write(self, id: str) -> Callable[[], None]:
        self.writes += 1
        return super()._complete_write(id)

    def server(self) -> LeaseServer:
        return self.servers[self.led]

    def ask_together(self, ops: list[Op]) -> "Round":
        """All in one input of the leader, as they come in one turn of its loop."""
        before = sum(self.sent.values()), self.bytes, self.writes, len(self.answers)
        inputs: list[Event] = [RequestReceived(ticket, op) for ticket, op in enumerate(ops)]
        self._put_all(inputs)
        done = self.run(self.now + 100 * SECOND, lambda: len(self.answers) == before[3] + len(ops))
        if not done:
            raise RunTimeoutError(f"{len(self.answers) - before[3]} of {len(ops)} answered")
        for _, _, answer in self.answers[before[3] :]:
            assert isinstance(answer, Got | Done | Granted | Renewed), answer
        told = sum(len(encode_frame(encode(Request(ticket, op)))) for ticket, op in enumerate(ops))
        told += sum(len(encode_frame(encode(Reply(at, one)))) for _, at, one in self.answers[before[3] :])
        spent = sum(self.sent.values()) - before[0], self.bytes - before[1], self.writes - before[2]
        self.run(self.now + SECOND)
        return Round(*spent, told)

    def _put_all(self, inputs: list[Event]) -> None:
        """As `handle`, with more than one input at once."""
        server = self.server()
        for effect in server.handle(self.now, *inputs):
            match effect:
                case SendMessage(to, message):
                    self.schedule(
                        self.now + self.message_delay(self.rng), self._deliver(to, self.led, message)
                    )
                case WriteRecords():
                    self.schedule(self.now + self.write_duration, self._complete_write(self.led))
                case SendAnswer(ticket, answer):
                    self.answers.append(SentAnswer(self.now, ticket, answer))
        due = max(server.next_deadline(), self.now + 1)
        self.timers[self.led] = due
        self.schedule(due, self._fire_timer(self.led, due))


class Round(NamedTuple):
    messages: int  # between voters
    bytes: int  # of these
    writes: int  # to disk, of all voters, until the last was answered
    client_bytes: int  # of all requests and answers


def reads(council: CountedCouncil, count: int) -> Round:
    return council.ask_together([Get(desired_version_key(f"i{place:05}.zone-01")) for place in range(count)])


def writes(council: CountedCouncil, count: int, first: int = 0) -> Round:
    keys = [desired_version_key(f"i{place:05}.zone-01") for place in range(first, first + count)]
    return council.ask_together([Put(key, WANT, 0) for key in keys])


PROMISED: dict[str, Shape] = {
    "read: messages of a round by voters": "linear",
    "read: bytes of a round by voters": "linear",
    "read: messages of a round by reads in it": "flat",
    "read: bytes of a round by reads in it": "flat",
    "read: client bytes of a round by reads in it": "linear",
    "write: messages of a round by voters": "linear",
    "write: bytes of a round by voters": "linear",
    "write: messages of a round by writes in it": "flat",
    "write: bytes of a round by writes in it": "linear",
    "write: syncs of a round by writes in it": "flat",
    "records: bytes of a snapshot": "linear",
    "leases: bytes of a snapshot": "linear",
    "keep: bytes of a request and answer by names in it": "linear",
}
VOTERS = [3, 5, 7, 15, 31]
TOGETHER = [1, 10, 50, 100, 400]


def round_rows(seed: int) -> list[Row]:
    """What is counted of rounds. By voters: of one read of what is not there, and of one write."""
    by_voters = [CountedCouncil(voters, seed) for voters in VOTERS]
    read = [reads(council, 1) for council in by_voters]
    wrote = [writes(council, 1) for council in by_voters]
    three = by_voters[0]
    writes(three, max(TOGETHER), 1)
    many_read = [reads(three, count) for count in TOGETHER]
    first, many_wrote = max(TOGETHER) + 1, list[Round]()
    for count in TOGETHER:
        many_wrote.append(writes(three, count, first))
        first += count

    def row(name: str, unit: str, values: list[int]) -> Row:
        by = name.rpartition(" by ")[2].partition(" ")[0]
        sizes, at = (VOTERS, 5) if by == "voters" else (TOGETHER, round(size("instances") / POLL / 1000))
        note = "three to seven are in use" if by == "voters" else "of three voters; at: rounds of 1 ms"
        told = [float(one) for one in values]
        return slopes.row(name, "count", unit, by.removesuffix("s"), sizes, told, at, 1, note)

    return [
        row("read: messages of a round by voters", "messages", [one.messages for one in read]),
        row("read: bytes of a round by voters", "bytes", [one.bytes for one in read]),
        row("read: messages of a round by reads in it", "messages", [one.messages for one in many_read]),
        row("read: bytes of a round by reads in it", "bytes", [one.bytes for one in many_read]),
        row("read: client bytes of a round by reads in it", "bytes", [one.client_bytes for one in many_read]),
        row("write: messages of a round by voters", "messages", [one.messages for one in wrote]),
        row("write: bytes of a round by voters", "bytes", [one.bytes for one in wrote]),
        row("write: messages of a round by writes in it", "messages", [one.messages for one in many_wrote]),
        row("write: bytes of a round by writes in it", "bytes", [one.bytes for one in many_wrote]),
        row("write: syncs of a round by writes in it", "syncs", [one.writes for one in many_wrote]),
    ]


# ---- the leader's own work, without its sockets


class Leader:
    """The leader of three voters; the others answer at once, and as they do."""

    def __init__(self, seed: int, records: int) -> None:
        council = CountedCouncil(3, seed)
        for first in range(0, records, 400):
            writes(council, min(400, records - first), first)
        self.server, self.now = council.server(), council.now
        self.id = self.server.replica.state.id

    def round(self, requests: list[bytes]) -> int:
        """Requests as they come to answers as they go, with what voters say in between; how many answers."""
        inputs: list[Event] = [
            RequestReceived(told.number, told.op) for told in map(decode_request, requests)
        ]
        self.now += MS
        answered = 0
        waiting = inputs
        while waiting:
            heard: list[Event] = []
            for effect in self.server.handle(self.now, *waiting):
                match effect:
                    case SendMessage(to, message):
                        encode_frame(encode(message))
                        back = self._back(message)
                        if back is not None:
                            heard.append(MessageReceived(to, decode_replica_message(encode(back))))
                    case WriteRecords():
                        heard.append(WriteCompleted())
                    case SendAnswer(ticket, answer):
                        encode_frame(encode(Reply(ticket, answer)))
                        answered += 1
            waiting = heard
        return answered

    def _back(self, message: Message) -> Message | None:
        if not isinstance(message, AppendRequest):
            return None
        return AppendResponse(
            message.term, True, message.prev_log_index + len(message.entries), message.round
        )


def read_time(leader: Leader, count: int) -> float:
    """CPU seconds of a round of so many reads."""
    asked = [
        encode(Request(number, Get(desired_version_key(f"i{number:05}.zone-01")))) for number in range(count)
    ]
    rounds = max(1, 1000 // count)

    def all_rounds() -> None:
        for _ in range(rounds):
            assert leader.round(asked) == count

    return cpu_of(all_rounds, 3) / rounds


def write_time(leader: Leader, count: int, first: int) -> float:
    turns = iter(range(3))

    def all_writes() -> None:
        begin = first + count * next(turns)
        keys = [f"more/{number:06}" for number in range(begin, begin + count)]
        assert leader.round([encode(Request(n, Put(key, WANT, 0))) for n, key in enumerate(keys)]) == count

    return cpu_of(all_writes, 3)


def filled(records: int) -> LeaseTable:
    table = LeaseTable()
    for place in range(records):
        told = table.apply(
            place + 1, encode_decision(Put(desired_version_key(f"i{place:05}.zone-01"), WANT, 0))
        )
        assert isinstance(told, Done), told
    return table


def leased(names: int) -> LeaseTable:
    table = LeaseTable()
    for place in range(names):
        asker = f"i{place:05}.zone-01.0123456789ab"
        told = Acquire(f"part/{place:05}", asker, 10 * SECOND, wall_ms=1_790_000_000_000)
        assert isinstance(table.apply(place + 1, encode_decision(told)), Granted)
    return table


def keep(names: int) -> Renew:
    return Renew(tuple((f"part/{place:05}", f"i{place:05}.zone-01.0123456789ab") for place in range(names)))


def keep_bytes(names: int) -> int:
    told = Renewed((Granted(1 << 20, 10 * SECOND),) * names)
    return len(encode_frame(encode(Request(1, keep(names))))) + len(encode_frame(encode(Reply(1, told))))


def kept(leader: Leader) -> None:
    asked = [encode(Request(1, keep(1)))]
    for _ in range(KEEPS):
        leader.round(asked)


def table_rows(sizes: list[int]) -> list[Row]:
    """What the council holds, counted."""

    def row(name: str, per: str, values: list[int], at: int) -> Row:
        return slopes.row(name, "count", "bytes", per, sizes, [float(one) for one in values], at)

    names = [1, 10, 30, 100]
    return [
        row("records: bytes of a snapshot", "record", [len(filled(one).snapshot()) for one in sizes],
            size("instances")),
        row("leases: bytes of a snapshot", "lease", [len(leased(one).snapshot()) for one in sizes],
            size("instances")),
        slopes.row("keep: bytes of a request and answer by names in it", "count", "bytes", "name", names,
                   [float(keep_bytes(one)) for one in names], 1),
    ]  # fmt: skip


def cost_rows(sizes: list[int], seed: int) -> tuple[list[Row], dict[str, Any]]:
    """Memory and time."""
    loop = loop_cpu()
    seconds: dict[str, Any] = {}
    instances = size("instances")

    def timed(name: str, per: str, sizes: list[int], took: list[float], at: int) -> Row:
        told = dict(zip(sizes, (round(one, 7) for one in took), strict=True))
        seconds[f"{name}, CPU seconds by size"] = told
        return slopes.row(name, "time", "loops", per, sizes, [one / loop for one in took], at, 3)

    def memory(name: str, per: str, make: Callable[[int], LeaseTable]) -> Row:
        held = [float(memory_of(lambda one=one: make(one))[0]) for one in sizes]  # type: ignore[misc]
        return slopes.row(name, "memory", "bytes", per, sizes, held, instances)

    leader = Leader(seed, max(TOGETHER))
    together = round(instances / POLL / 1000)
    read_took = [read_time(leader, count) for count in TOGETHER]
    write_took, first = list[float](), 0
    for count in TOGETHER:
        write_took.append(write_time(leader, count, first))
        first += 3 * count
    snapshots = [cpu_of(filled(one).snapshot, 3) for one in sizes]
    keeps = []
    for one in sizes:
        holder = Leader(seed, 1)
        for first in range(0, one, 100):
            asked = [
                Acquire(name, asker, 10 * SECOND) for name, asker in keep(one).leases[first : first + 100]
            ]
            holder.round([encode(Request(number, take)) for number, take in enumerate(asked)])
        keeps.append(cpu_of(partial(kept, holder), 3) / KEEPS)
    rows = [
        memory("records: memory", "record", filled),
        memory("leases: memory", "lease", leased),
        timed("records: time of a snapshot", "record", sizes, snapshots, instances),
        timed("read: leader's time of a round by reads in it", "read", TOGETHER, read_took, together),
        timed("write: leader's time of a round by writes in it", "write", TOGETHER, write_took, together),
        timed("keep: leader's time of one by leases held", "lease", sizes, keeps, instances),
    ]
    a_read = (read_took[-1] - read_took[0]) / (TOGETHER[-1] - TOGETHER[0])
    figures = {
        "loop_s": loop,
        **seconds,
        "read_s": a_read,
        "round_s": read_took[0] - a_read,
        "write_s": (write_took[-1] - write_took[0]) / (TOGETHER[-1] - TOGETHER[0]),
    }
    return rows, figures


# ---- what follows


def polls(read_s: float, round_s: float) -> dict[str, Any]:
    """What stewards that ask every POLL cost one leader, without its sockets; rounds of 1 ms."""
    asked = size("instances") / POLL
    each, together = asked * (read_s + round_s), asked * read_s + 1000 * round_s
    return {
        "poll_s": POLL,
        "reads_a_second": round(asked),
        "cores_of_a_leader_a_round_each": round(each, 2),
        "cores_of_a_leader_rounds_of_1_ms": round(together, 2),
        "connections_bound": MAX_CONNECTIONS,
        "stewards_beyond_connections_bound": round(size("instances") / MAX_CONNECTIONS, 2),
        "tickets_bound": MAX_PENDING_REQUESTS,
    }


def bounds() -> dict[str, Any]:
    """What the table may hold, against a want for each instance and the settings."""
    instances = size("instances")
    key = len(desired_version_key(f"i{instances:05}.zone-01"))
    refused = [kb for kb in (128, 256, 257, 512) if validate(Put("settings/1", b"x" * (kb << 10), 0))]
    write = len(encode_decision(Put("w" * key, WANT, 0)))
    return {
        "want_bytes": len(WANT),
        "wants_bytes": instances * len(WANT),
        "records_size": MAX_RECORDS_SIZE,
        "wants_part_of_records_size": round(instances * len(WANT) / MAX_RECORDS_SIZE, 2),
        "records_bound": MAX_RECORDS,
        "names_bound": MAX_LEASES,
        "value_bound": MAX_VALUE_SIZE,
        "settings_size_bound": SETTINGS_SIZE_LIMIT,
        "settings_kb_refused": refused,
        "versions_of_settings_that_fit_beside_wants": (MAX_RECORDS_SIZE - instances * len(WANT))
        // MAX_VALUE_SIZE,
        "writes_between_two_snapshots": MAX_LOG_SIZE // (write + ENTRY_OVERHEAD),
        "changes_a_second": round(size("changes_day") / 86_400, 2),
    }


# ---- the long run: three processes


class Loaded(NamedTuple):
    asked: int
    done: int
    cores: float  # of the leader
    median_ms: float
    last_ms: float


class Asking:
    """So many connections to a council, and what became of what was asked on them; open loop: each is asked
    at its time, whether or not others were answered."""

    def __init__(self, fleet: Fleet, connections: int, group: anyio.abc.TaskGroup) -> None:
        known = {name: fleet.address(name) for name in fleet.names}
        self.clients = [LeaseClient(known, group, fleet.rng) for _ in range(connections)]
        self.took: list[float] = []
        self.asked = self.done = 0

    async def greet(self) -> None:
        """Each finds the leader; some at a time, lest one waits past its patience."""
        for first in range(0, len(self.clients), 50):
            async with anyio.create_task_group() as group:
                for client in self.clients[first : first + 50]:
                    group.start_soon(client.request_until_decided, Get("warm"), 10.0)

    async def one(self, op: Op) -> None:
        self.asked += 1
        begun = time.monotonic()
        answer = await self.clients[self.asked % len(self.clients)].request(op)
        self.took.append(time.monotonic() - begun)
        self.done += isinstance(answer, Got | Done)


async def load(
    fleet: Fleet, rate: float, seconds: float, make: Callable[[int], Op], connections: int = 8
) -> Loaded:
    """The connections are asked on in turn, so that each has its question as often as any other."""
    process = fleet.processes[await fleet.leader()].process
    assert process is not None
    async with anyio.create_task_group() as group:
        asking = Asking(fleet, connections, group)
        await asking.greet()
        begun, before = time.monotonic(), cpu_seconds(process.pid)
        async with anyio.create_task_group() as each:
            for number in range(int(rate * seconds)):
                await anyio.sleep(max(0.0, begun + number / rate - time.monotonic()))
                each.start_soon(asking.one, make(number))
        spent, span = cpu_seconds(process.pid) - before, time.monotonic() - begun
        group.cancel_scope.cancel()
    took = sorted(asking.took)
    middle, last = took[len(took) // 2] * 1000, took[-1] * 1000
    return Loaded(asking.asked, asking.done, spent / span, round(middle, 2), round(last, 2))


RATES = {"reads": [100, 300, 600, 1000, 2000], "writes": [50, 100, 200, 500]}
STEWARDS = [30, 100, 200, 300, 500]


async def real(
    folder: Path, seed: int, seconds: float, tell: Callable[[str], None]
) -> tuple[list[Row], dict[str, Any]]:
    found: dict[str, dict[int, Loaded]] = {"stewards": {}, "reads": {}, "writes": {}}
    async with anyio.create_task_group() as group:
        fleet = Fleet(folder, group, seed, 3)
        try:
            await fleet.start_replicas()
            await fleet.form()
            await fleet.request(Put("want/i", WANT, 0))
            for count in STEWARDS:
                tell(f"council: {count} connections that ask each {POLL:g} s, at three processes")
                found["stewards"][count] = await load(fleet, count / POLL, seconds, _read, count)
            for what, rates in RATES.items():
                for rate in rates:
                    tell(f"council: {rate} {what} a second on eight connections, at three processes")
                    make = _read if what == "reads" else partial(_write, rate)
                    found[what][rate] = await load(fleet, rate, seconds, make)
        finally:
            fleet.close()
        group.cancel_scope.cancel()

    def row(what: str, name: str, per: str, at: int, note: str = "three real processes") -> Row:
        values = [one.cores for one in found[what].values()]
        return slopes.row(name, "time", "cores", per, list(found[what]), values, at, 1, note)

    each = f"three real processes; each on a connection of its own, every {POLL:g} s"
    writes_at = max(1, round(size("changes_day") / 86_400))
    rows = [
        row("stewards", "council: leader's cores by stewards", "steward", size("instances"), each),
        row("reads", "council: leader's cores by reads", "read a second", round(size("instances") / POLL)),
        row("writes", "council: leader's cores by writes", "write a second", writes_at),
    ]
    all_loads = [one for loads in found.values() for one in loads.values()]
    told = {what: {str(n): one._asdict() for n, one in loads.items()} for what, loads in found.items()}
    whole = all(one.done == one.asked for one in all_loads)
    return rows, {"real": {**told, "machine": machine(), "all_answered": whole}}


def filling(row: Row) -> int:
    """Stewards with which the leader's one core is full, by the line of the two largest loads: the more come
    in a round the less each costs, so a line through all would say too few."""
    (few, less), (many, more) = list(zip(row["sizes"], row["values"], strict=True))[-2:]
    return round(many + (1.0 - more) * (many - few) / max(1e-9, more - less))


def _read(number: int) -> Op:
    return Get("want/i")


def _write(rate: int, number: int) -> Op:
    return Put(f"lab/{rate}/{number}", WANT, 0)


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    sizes = [100, 300, 600, 1000] if quick else [100, 300, 1000, 3000, 6600, 10_000]
    tell("council: rounds by voters, and by reads and writes in them")
    counts = round_rows(seed) + table_rows(sizes)
    tell(f"council: {sizes[0]} to {sizes[-1]} records and leases")
    costs, figures = cost_rows(sizes, seed)
    figures["polls"] = polls(figures["read_s"], figures["round_s"])
    figures["bounds"] = bounds()
    bars = judge(counts, PROMISED)
    rows = counts + costs
    if not quick:
        with run_folder("council", f"lab scale --seed {seed}") as folder:
            more, told = anyio.run(real, folder, seed, SECONDS, tell)
        rows += more
        figures |= told | {FULL: filling(next(one for one in more if one["per"] == "steward"))}
        bars["council: all asked of real processes was answered"] = told["real"]["all_answered"]
    return {"rows": rows, "figures": figures, "bars": bars}
