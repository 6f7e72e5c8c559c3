"""Costs of the consensus cluster by replicas, requests in a round, records and leases.

The real state machines (`consensus/replica.py` under `lease/server.py`) run in virtual time. No heartbeat
falls into a measured round, so that each round is counted alone. The long run adds a cluster of three real
processes under reads and writes at fixed rates, with the leader's CPU time from /proc.
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
FULL_CORE_FIGURE = "stewards that fill the leader's core"
SECOND = 1000 * MS
# So long that no heartbeat or election falls into a measured round.
NO_HEARTBEAT_TIMING = RaftTiming(1000 * SECOND, 3000 * SECOND, 6000 * SECOND)
RENEWALS = 200  # per timing
LOAD_SECONDS = 6.0  # duration of each load in the long run
DIGEST = "5f" * 32
DESIRED_VERSION = msgspec.msgpack.encode(
    DesiredVersion(7, 1182, Version("2.31.4", DIGEST, 118, DIGEST, (3, 4), 4), 2)
)


class CountingCluster(SimulatedCluster):
    """A simulated cluster that counts the messages between replicas and the writes to disk.

    Attributes:
        sent: Messages sent between replicas, by type.
        bytes: Bytes of these messages, as framed on a connection.
        writes: Completed writes to disk, of all replicas.
        leader_id: Replica that leads.
    """

    def __init__(self, replicas: int, seed: int) -> None:
        """Start the replicas and wait, in virtual time, until one leads.

        Raises:
            RunTimeoutError: No replica became the leader.
        """
        self.sent: Counter[str] = Counter()
        self.bytes = self.writes = 0
        super().__init__(replicas, NO_HEARTBEAT_TIMING, seed, lambda chance: 5 * MS)
        if not self.run(100_000 * SECOND, lambda: bool(self.leader())):
            raise RunTimeoutError("no leader was elected in virtual time")
        self.run(self.now + SECOND)
        self.leader_id = self.leader()

    def _deliver(self, to: str, source: str, message: Any) -> Callable[[], None]:
        self.sent[type(message).__name__] += 1
        self.bytes += len(encode_frame(encode(message)))
        return super()._deliver(to, source, message)

    def _complete_write(self, id: str) -> Callable[[], None]:
        self.writes += 1
        return super()._complete_write(id)

    def leader_server(self) -> LeaseServer:
        """Return the lease server of the leader."""
        return self.servers[self.leader_id]

    def request_together(self, ops: list[Op]) -> "Round":
        """Pass the requests to the leader as one input, as if they arrived in one turn of its event loop.

        Returns:
            What the round cost until the last answer.

        Raises:
            RunTimeoutError: Some requests were not answered.
        """
        before = sum(self.sent.values()), self.bytes, self.writes, len(self.answers)
        inputs: list[Event] = [RequestReceived(ticket, op) for ticket, op in enumerate(ops)]
        self._handle_together(inputs)
        done = self.run(self.now + 100 * SECOND, lambda: len(self.answers) == before[3] + len(ops))
        if not done:
            raise RunTimeoutError(f"{len(self.answers) - before[3]} of {len(ops)} requests were answered")
        for _, _, answer in self.answers[before[3] :]:
            assert isinstance(answer, Got | Done | Granted | Renewed), answer
        client_bytes = sum(len(encode_frame(encode(Request(ticket, op)))) for ticket, op in enumerate(ops))
        client_bytes += sum(
            len(encode_frame(encode(Reply(ticket, answer))))
            for _, ticket, answer in self.answers[before[3] :]
        )
        added = sum(self.sent.values()) - before[0], self.bytes - before[1], self.writes - before[2]
        self.run(self.now + SECOND)
        return Round(*added, client_bytes)

    def _handle_together(self, inputs: list[Event]) -> None:
        """Do what `handle` does, for more than one event at once."""
        server = self.leader_server()
        for effect in server.handle(self.now, *inputs):
            match effect:
                case SendMessage(to, message):
                    self.schedule(
                        self.now + self.message_delay(self.rng), self._deliver(to, self.leader_id, message)
                    )
                case WriteRecords():
                    self.schedule(self.now + self.write_duration, self._complete_write(self.leader_id))
                case SendAnswer(ticket, answer):
                    self.answers.append(SentAnswer(self.now, ticket, answer))
        deadline = max(server.next_deadline(), self.now + 1)
        self.timers[self.leader_id] = deadline
        self.schedule(deadline, self._fire_timer(self.leader_id, deadline))


class Round(NamedTuple):
    """Cost of one round.

    Attributes:
        messages: Messages between replicas.
        bytes: Bytes of these messages.
        writes: Writes to disk on all replicas until the last request was answered.
        client_bytes: Bytes of all requests and answers.
    """

    messages: int
    bytes: int
    writes: int
    client_bytes: int


def read_round(cluster: CountingCluster, count: int) -> Round:
    """Read so many desired versions in one round."""
    return cluster.request_together(
        [Get(desired_version_key(f"i{index:05}.zone-01")) for index in range(count)]
    )


def write_round(cluster: CountingCluster, count: int, first: int = 0) -> Round:
    """Write so many desired versions in one round, of the instances from number `first` on."""
    keys = [desired_version_key(f"i{index:05}.zone-01") for index in range(first, first + count)]
    return cluster.request_together([Put(key, DESIRED_VERSION, 0) for key in keys])


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
REPLICA_COUNTS = [3, 5, 7, 15, 31]
ROUND_SIZES = [1, 10, 50, 100, 400]


def round_rows(seed: int) -> list[Row]:
    """Count the costs of rounds, by replicas and by requests in a round.

    The rows by replicas are of one read of a missing record and of one write.
    """
    clusters = [CountingCluster(replicas, seed) for replicas in REPLICA_COUNTS]
    single_reads = [read_round(cluster, 1) for cluster in clusters]
    single_writes = [write_round(cluster, 1) for cluster in clusters]
    three_replicas = clusters[0]
    write_round(three_replicas, max(ROUND_SIZES), 1)
    batched_reads = [read_round(three_replicas, count) for count in ROUND_SIZES]
    first, batched_writes = max(ROUND_SIZES) + 1, list[Round]()
    for count in ROUND_SIZES:
        batched_writes.append(write_round(three_replicas, count, first))
        first += count

    def row(name: str, unit: str, values: list[int]) -> Row:
        by = name.rpartition(" by ")[2].partition(" ")[0]
        sizes, at = (
            (REPLICA_COUNTS, 5) if by == "voters" else (ROUND_SIZES, round(size("instances") / POLL / 1000))
        )
        note = "three to seven are in use" if by == "voters" else "of three voters; at: rounds of 1 ms"
        costs = [float(one) for one in values]
        return slopes.row(name, "count", unit, by.removesuffix("s"), sizes, costs, at, 1, note)

    return [
        row("read: messages of a round by voters", "messages", [one.messages for one in single_reads]),
        row("read: bytes of a round by voters", "bytes", [one.bytes for one in single_reads]),
        row("read: messages of a round by reads in it", "messages", [one.messages for one in batched_reads]),
        row("read: bytes of a round by reads in it", "bytes", [one.bytes for one in batched_reads]),
        row(
            "read: client bytes of a round by reads in it",
            "bytes",
            [one.client_bytes for one in batched_reads],
        ),
        row("write: messages of a round by voters", "messages", [one.messages for one in single_writes]),
        row("write: bytes of a round by voters", "bytes", [one.bytes for one in single_writes]),
        row(
            "write: messages of a round by writes in it", "messages", [one.messages for one in batched_writes]
        ),
        row("write: bytes of a round by writes in it", "bytes", [one.bytes for one in batched_writes]),
        row("write: syncs of a round by writes in it", "syncs", [one.writes for one in batched_writes]),
    ]


# ---- CPU time of the leader, without its sockets


class Leader:
    """The leader of three replicas without its sockets; the other two answer successfully and at once."""

    def __init__(self, seed: int, records: int) -> None:
        """Take the leader of a simulated cluster that holds so many records."""
        cluster = CountingCluster(3, seed)
        for first in range(0, records, 400):
            write_round(cluster, min(400, records - first), first)
        self.server, self.now = cluster.leader_server(), cluster.now
        self.id = self.server.replica.state.id

    def round(self, requests: list[bytes]) -> int:
        """Handle the requests and all messages between replicas that follow, from decoding to encoding.

        Returns:
            Number of answers.
        """
        inputs: list[Event] = [
            RequestReceived(request.number, request.op) for request in map(decode_request, requests)
        ]
        self.now += MS
        answered = 0
        inputs_left = inputs
        while inputs_left:
            responses: list[Event] = []
            for effect in self.server.handle(self.now, *inputs_left):
                match effect:
                    case SendMessage(to, message):
                        encode_frame(encode(message))
                        response = self._follower_response(message)
                        if response is not None:
                            responses.append(MessageReceived(to, decode_replica_message(encode(response))))
                    case WriteRecords():
                        responses.append(WriteCompleted())
                    case SendAnswer(ticket, answer):
                        encode_frame(encode(Reply(ticket, answer)))
                        answered += 1
            inputs_left = responses
        return answered

    def _follower_response(self, message: Message) -> Message | None:
        if not isinstance(message, AppendRequest):
            return None
        return AppendResponse(
            message.term, True, message.prev_log_index + len(message.entries), message.round
        )


def read_time(leader: Leader, count: int) -> float:
    """Return the CPU seconds of a round of so many reads."""
    requests = [
        encode(Request(number, Get(desired_version_key(f"i{number:05}.zone-01")))) for number in range(count)
    ]
    rounds = max(1, 1000 // count)

    def all_rounds() -> None:
        for _ in range(rounds):
            assert leader.round(requests) == count

    return cpu_of(all_rounds, 3) / rounds


def write_time(leader: Leader, count: int, first: int) -> float:
    """Return the CPU seconds of a round of so many writes, to new records numbered from `first` on."""
    repeats = iter(range(3))

    def all_writes() -> None:
        begin = first + count * next(repeats)
        keys = [f"more/{number:06}" for number in range(begin, begin + count)]
        assert (
            leader.round([encode(Request(n, Put(key, DESIRED_VERSION, 0))) for n, key in enumerate(keys)])
            == count
        )

    return cpu_of(all_writes, 3)


def table_with_records(records: int) -> LeaseTable:
    """Return a table with a desired version for each of so many instances."""
    table = LeaseTable()
    for index in range(records):
        answer = table.apply(
            index + 1, encode_decision(Put(desired_version_key(f"i{index:05}.zone-01"), DESIRED_VERSION, 0))
        )
        assert isinstance(answer, Done), answer
    return table


def table_with_leases(names: int) -> LeaseTable:
    """Return a table with so many leases."""
    table = LeaseTable()
    for index in range(names):
        holder = f"i{index:05}.zone-01.0123456789ab"
        request = Acquire(f"part/{index:05}", holder, 10 * SECOND, wall_ms=1_790_000_000_000)
        assert isinstance(table.apply(index + 1, encode_decision(request)), Granted)
    return table


def make_renewal(names: int) -> Renew:
    """Return a request that renews so many leases."""
    return Renew(tuple((f"part/{index:05}", f"i{index:05}.zone-01.0123456789ab") for index in range(names)))


def renewal_bytes(names: int) -> int:
    """Return the bytes of a renewal of so many leases and of its answer."""
    answer = Renewed((Granted(1 << 20, 10 * SECOND),) * names)
    return len(encode_frame(encode(Request(1, make_renewal(names))))) + len(
        encode_frame(encode(Reply(1, answer)))
    )


def send_renewals(leader: Leader) -> None:
    """Renew one lease RENEWALS times, with one request per round (not batched)."""
    requests = [encode(Request(1, make_renewal(1)))]
    for _ in range(RENEWALS):
        leader.round(requests)


def table_rows(sizes: list[int]) -> list[Row]:
    """Count the bytes of snapshots and of lease renewals."""

    def row(name: str, per: str, values: list[int], at: int) -> Row:
        return slopes.row(name, "count", "bytes", per, sizes, [float(n) for n in values], at)

    names = [1, 10, 30, 100]
    return [
        row("records: bytes of a snapshot", "record", [len(table_with_records(n).snapshot()) for n in sizes],
            size("instances")),
        row("leases: bytes of a snapshot", "lease", [len(table_with_leases(n).snapshot()) for n in sizes],
            size("instances")),
        slopes.row("keep: bytes of a request and answer by names in it", "count", "bytes", "name", names,
                   [float(renewal_bytes(n)) for n in names], 1),
    ]  # fmt: skip


def cost_rows(sizes: list[int], seed: int) -> tuple[list[Row], dict[str, Any]]:
    """Measure memory and time."""
    loop = loop_cpu()
    seconds: dict[str, Any] = {}
    instances = size("instances")

    def timed(name: str, per: str, sizes: list[int], took: list[float], at: int) -> Row:
        cpu_seconds_by_size = dict(zip(sizes, (round(n, 7) for n in took), strict=True))
        seconds[f"{name}, CPU seconds by size"] = cpu_seconds_by_size
        return slopes.row(name, "time", "loops", per, sizes, [n / loop for n in took], at, 3)

    def memory(name: str, per: str, make: Callable[[int], LeaseTable]) -> Row:
        held = [float(memory_of(lambda n=n: make(n))[0]) for n in sizes]  # type: ignore[misc]
        return slopes.row(name, "memory", "bytes", per, sizes, held, instances)

    leader = Leader(seed, max(ROUND_SIZES))
    round_size = round(instances / POLL / 1000)
    read_took = [read_time(leader, count) for count in ROUND_SIZES]
    write_took, first = list[float](), 0
    for count in ROUND_SIZES:
        write_took.append(write_time(leader, count, first))
        first += 3 * count
    snapshots = [cpu_of(table_with_records(n).snapshot, 3) for n in sizes]
    renewal_took = []
    for n in sizes:
        holder = Leader(seed, 1)
        for first in range(0, n, 100):
            requests = [
                Acquire(name, holder_id, 10 * SECOND)
                for name, holder_id in make_renewal(n).leases[first : first + 100]
            ]
            holder.round([encode(Request(number, request)) for number, request in enumerate(requests)])
        renewal_took.append(cpu_of(partial(send_renewals, holder), 3) / RENEWALS)
    rows = [
        memory("records: memory", "record", table_with_records),
        memory("leases: memory", "lease", table_with_leases),
        timed("records: time of a snapshot", "record", sizes, snapshots, instances),
        timed("read: leader's time of a round by reads in it", "read", ROUND_SIZES, read_took, round_size),
        timed(
            "write: leader's time of a round by writes in it", "write", ROUND_SIZES, write_took, round_size
        ),
        timed("keep: leader's time of one by leases held", "lease", sizes, renewal_took, instances),
    ]
    seconds_a_read = (read_took[-1] - read_took[0]) / (ROUND_SIZES[-1] - ROUND_SIZES[0])
    figures = {
        "loop_s": loop,
        **seconds,
        "read_s": seconds_a_read,
        "round_s": read_took[0] - seconds_a_read,
        "write_s": (write_took[-1] - write_took[0]) / (ROUND_SIZES[-1] - ROUND_SIZES[0]),
    }
    return rows, figures


# ---- extrapolation to the planned size


def poll_costs(read_s: float, round_s: float) -> dict[str, Any]:
    """Estimate the leader's cores that polling supervisors use, without its sockets.

    Every supervisor reads every POLL seconds. The cores are given for a separate round for each read, and for
    one round per ms that is shared by all reads of that ms.

    Args:
        read_s: CPU seconds of one more read in a round.
        round_s: CPU seconds of a round without its reads.
    """
    reads_a_second = size("instances") / POLL
    separate_rounds, shared_rounds = (
        reads_a_second * (read_s + round_s),
        reads_a_second * read_s + 1000 * round_s,
    )
    return {
        "poll_s": POLL,
        "reads_a_second": round(reads_a_second),
        "cores_of_a_leader_a_round_each": round(separate_rounds, 2),
        "cores_of_a_leader_rounds_of_1_ms": round(shared_rounds, 2),
        "connections_bound": MAX_CONNECTIONS,
        "stewards_beyond_connections_bound": round(size("instances") / MAX_CONNECTIONS, 2),
        "tickets_bound": MAX_PENDING_REQUESTS,
    }


def table_bounds() -> dict[str, Any]:
    """Return the limits of the table, beside the desired versions of all instances and the settings."""
    instances = size("instances")
    key = len(desired_version_key(f"i{instances:05}.zone-01"))
    refused = [kb for kb in (128, 256, 257, 512) if validate(Put("settings/1", b"x" * (kb << 10), 0))]
    write = len(encode_decision(Put("w" * key, DESIRED_VERSION, 0)))
    return {
        "want_bytes": len(DESIRED_VERSION),
        "wants_bytes": instances * len(DESIRED_VERSION),
        "records_size": MAX_RECORDS_SIZE,
        "wants_part_of_records_size": round(instances * len(DESIRED_VERSION) / MAX_RECORDS_SIZE, 2),
        "records_bound": MAX_RECORDS,
        "names_bound": MAX_LEASES,
        "value_bound": MAX_VALUE_SIZE,
        "settings_size_bound": SETTINGS_SIZE_LIMIT,
        "settings_kb_refused": refused,
        "versions_of_settings_that_fit_beside_wants": (MAX_RECORDS_SIZE - instances * len(DESIRED_VERSION))
        // MAX_VALUE_SIZE,
        "writes_between_two_snapshots": MAX_LOG_SIZE // (write + ENTRY_OVERHEAD),
        "changes_a_second": round(size("changes_day") / 86_400, 2),
    }


# ---- the long run: three real processes


class LoadResult(NamedTuple):
    """Result of a load on real processes.

    Attributes:
        asked: Requests sent.
        done: Requests answered successfully.
        cores: Cores used by the leader.
        median_ms: Median time to an answer.
        last_ms: Longest time to an answer.
    """

    asked: int
    done: int
    cores: float
    median_ms: float
    last_ms: float


class LoadClients:
    """Clients of a cluster, each with a connection of its own, and the results of their requests.

    The load is open loop: each request is sent at its time, whether or not earlier ones were answered.
    """

    def __init__(self, fleet: Fleet, connections: int, group: anyio.abc.TaskGroup) -> None:
        """Make the clients; they connect when they are first used."""
        addresses = {name: fleet.address(name) for name in fleet.names}
        self.clients = [LeaseClient(addresses, group, fleet.rng) for _ in range(connections)]
        self.took: list[float] = []
        self.asked = self.done = 0

    async def find_leader(self) -> None:
        """Let every client find the leader, 50 at a time so that none exceeds its timeout."""
        for first in range(0, len(self.clients), 50):
            async with anyio.create_task_group() as group:
                for client in self.clients[first : first + 50]:
                    group.start_soon(client.request_until_decided, Get("warm"), 10.0)

    async def request(self, op: Op) -> None:
        """Send the request on the next connection in turn and record the result."""
        self.asked += 1
        started = time.monotonic()
        answer = await self.clients[self.asked % len(self.clients)].request(op)
        self.took.append(time.monotonic() - started)
        self.done += isinstance(answer, Got | Done)


async def run_load(
    fleet: Fleet, rate: float, seconds: float, make: Callable[[int], Op], connections: int = 8
) -> LoadResult:
    """Send `rate` requests a second and measure the leader.

    The connections are used in turn, so that each sends equally often.

    Args:
        fleet: The cluster.
        rate: Requests a second.
        seconds: Duration of the load.
        make: Returns the request of a number.
        connections: Number of clients.
    """
    process = fleet.processes[await fleet.leader()].process
    assert process is not None
    async with anyio.create_task_group() as group:
        clients = LoadClients(fleet, connections, group)
        await clients.find_leader()
        started, before = time.monotonic(), cpu_seconds(process.pid)
        async with anyio.create_task_group() as requests:
            for number in range(int(rate * seconds)):
                await anyio.sleep(max(0.0, started + number / rate - time.monotonic()))
                requests.start_soon(clients.request, make(number))
        spent, span = cpu_seconds(process.pid) - before, time.monotonic() - started
        group.cancel_scope.cancel()
    took = sorted(clients.took)
    median, last = took[len(took) // 2] * 1000, took[-1] * 1000
    return LoadResult(clients.asked, clients.done, spent / span, round(median, 2), round(last, 2))


REQUEST_RATES = {"reads": [100, 300, 600, 1000, 2000], "writes": [50, 100, 200, 500]}
SUPERVISOR_COUNTS = [30, 100, 200, 300, 500]


async def measure_processes(
    folder: Path, seed: int, seconds: float, tell: Callable[[str], None]
) -> tuple[list[Row], dict[str, Any]]:
    """Measure a cluster of three real processes under polling supervisors, reads, and writes."""
    found: dict[str, dict[int, LoadResult]] = {"stewards": {}, "reads": {}, "writes": {}}
    async with anyio.create_task_group() as group:
        fleet = Fleet(folder, group, seed, 3)
        try:
            await fleet.start_replicas()
            await fleet.form()
            await fleet.request(Put("want/i", DESIRED_VERSION, 0))
            for count in SUPERVISOR_COUNTS:
                tell(f"council: {count} connections, each reading every {POLL:g} s, three processes")
                found["stewards"][count] = await run_load(fleet, count / POLL, seconds, _read, count)
            for kind, rates in REQUEST_RATES.items():
                for rate in rates:
                    tell(f"council: {rate} {kind} a second on eight connections, three processes")
                    make = _read if kind == "reads" else partial(_write, rate)
                    found[kind][rate] = await run_load(fleet, rate, seconds, make)
        finally:
            fleet.close()
        group.cancel_scope.cancel()

    def row(kind: str, name: str, per: str, at: int, note: str = "three real processes") -> Row:
        values = [one.cores for one in found[kind].values()]
        return slopes.row(name, "time", "cores", per, list(found[kind]), values, at, 1, note)

    supervisors_note = f"three real processes; each on a connection of its own, every {POLL:g} s"
    writes_at = max(1, round(size("changes_day") / 86_400))
    rows = [
        row(
            "stewards", "council: leader's cores by stewards", "steward", size("instances"), supervisors_note
        ),
        row("reads", "council: leader's cores by reads", "read a second", round(size("instances") / POLL)),
        row("writes", "council: leader's cores by writes", "write a second", writes_at),
    ]
    all_loads = [one for loads in found.values() for one in loads.values()]
    loads_by_size = {
        kind: {str(n): one._asdict() for n, one in loads.items()} for kind, loads in found.items()
    }
    all_answered = all(one.done == one.asked for one in all_loads)
    return rows, {"real": {**loads_by_size, "machine": machine(), "all_answered": all_answered}}


def supervisors_per_core(row: Row) -> int:
    """Return the number of supervisors that use up the leader's one core.

    Extrapolated from the two largest loads alone: the more requests share a round, the less each costs,
    so a line through all loads would underestimate the number.
    """
    (fewer, cores_fewer), (most, cores_most) = list(zip(row["sizes"], row["values"], strict=True))[-2:]
    return round(most + (1.0 - cores_most) * (most - fewer) / max(1e-9, cores_most - cores_fewer))


def _read(number: int) -> Op:
    return Get("want/i")


def _write(rate: int, number: int) -> Op:
    return Put(f"lab/{rate}/{number}", DESIRED_VERSION, 0)


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the part: counts, memory and time, and in the long run real processes."""
    sizes = [100, 300, 600, 1000] if quick else [100, 300, 1000, 3000, 6600, 10_000]
    tell("council: rounds by replicas, and by reads and writes in a round")
    counts = round_rows(seed) + table_rows(sizes)
    tell(f"council: {sizes[0]} to {sizes[-1]} records and leases")
    costs, figures = cost_rows(sizes, seed)
    figures["polls"] = poll_costs(figures["read_s"], figures["round_s"])
    figures["bounds"] = table_bounds()
    bars = judge(counts, PROMISED)
    rows = counts + costs
    if not quick:
        with run_folder("council", f"lab scale --seed {seed}") as folder:
            process_rows, process_figures = anyio.run(measure_processes, folder, seed, LOAD_SECONDS, tell)
        rows += process_rows
        figures |= process_figures | {
            FULL_CORE_FIGURE: supervisors_per_core(
                next(one for one in process_rows if one["per"] == "steward")
            )
        }
        bars["council: all asked of real processes was answered"] = process_figures["real"]["all_answered"]
    return {"rows": rows, "figures": figures, "bars": bars}
