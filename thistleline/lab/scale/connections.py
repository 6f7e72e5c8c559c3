"""An instance's memory by its open connections, and the traffic of reports to the announce service.

The memory is a real process's, from /proc. An idle connection was accepted and is silent; a used one has
carried one health check both ways. How many callers and instances may know of each other follows from the
limits in the code; the assumptions stand beside it.
"""

import socket
import struct
from collections.abc import Callable
from math import sqrt
from typing import Any

from thistleline.lab.scale import slopes
from thistleline.lab.scale.instance import HOST, Instance, machine, run_instance
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part, Row, judge
from thistleline.server.announcer import MAX_ANSWER_BYTES, REPORT_INTERVAL
from thistleline.server.configuration import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB
from thistleline.server.service import CONNECTION_COST, RESERVED_DESCRIPTORS
from thistleline.wire import stub
from thistleline.wire.announce import AnnounceConnection

NAME = "connections"
RUN_MS = 20.0  # duration of the agent's runs
SOCKET_TIMEOUT = 10.0  # s
SPREAD = 4  # standard deviations above the mean: about one of 30,000 instances has more


def encode_check(sequence: int) -> bytes:
    """Encode a shallow health check as a client stub sends it."""
    return stub.encode_probe(sequence, deep=False)


def exchange_check(connection: socket.socket, sequence: int) -> None:
    """Send a health check and read its whole answer."""
    connection.sendall(encode_check(sequence))
    (length,) = struct.unpack(">I", _receive_exactly(connection, 4))
    _receive_exactly(connection, length)


def _receive_exactly(connection: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        more = connection.recv(count - len(data))
        if not more:
            raise OSError("the instance has closed the connection")
        data += more
    return data


def memory_by_connections(sizes: list[int]) -> dict[str, list[float]]:
    """Return the bytes beyond those with one connection, by the number that is open, idle and used.

    Connections are accepted in order: once the last one's check is answered, all before it are open.
    """
    idle, used = list[float](), list[float]()
    for counts, each in ((idle, False), (used, True)):
        with run_instance(RUN_MS, sizes[-1] + 8) as server:
            connections: list[socket.socket] = []
            try:
                base = _memory_with(server, connections, 1, True)
                for count in sizes:
                    counts.append(float(_memory_with(server, connections, count + 1, each) - base))
            finally:
                for connection in connections:
                    connection.close()
    return {"idle": idle, "used": used}


def _memory_with(server: Instance, connections: list[socket.socket], count: int, each: bool) -> int:
    """Open connections up to `count`, using the last or `each` new one; return the resident bytes."""
    while len(connections) < count:
        connections.append(socket.create_connection((HOST, server.port), timeout=SOCKET_TIMEOUT))
        if each:
            exchange_check(connections[-1], len(connections))
    exchange_check(connections[-1], len(connections))
    return server.resident()


def reports(instances: int) -> int:
    """Return the bytes a second of so many instances' reports, each on a persistent connection."""
    sent = 0
    for index in range(instances):
        sent += len(
            AnnounceConnection("10.1.2.3:8761").encode_report(
                f"i{index:05}.zone-{index % size('zones'):02}", True
            )
        )
    return round(sent / REPORT_INTERVAL)


def subset_figures(cost: float) -> dict[str, Any]:
    """Return how many callers an instance may have and how many instances a caller's subset may have.

    Assumptions: each caller keeps one connection to each instance of its subset; subsets are drawn at random,
    so an instance's count has the square root of its mean as standard deviation, and the maximum is taken
    SPREAD of them above it; after the loss of a zone its connections move to the rest; all callers send
    alike.

    Args:
        cost: Measured bytes of a connection.
    """
    instances, callers, zones = size("instances"), size("callers"), size("zones")
    second = size("requests_s") / instances
    bounds = {
        "DESCRIPTORS less RESERVE": DEFAULT_DESCRIPTORS - RESERVED_DESCRIPTORS,
        "a quarter of MEMORY_MB by CONNECTION_COST": (DEFAULT_MEMORY_MB << 20) // 4 // CONNECTION_COST,
        "a quarter of MEMORY_MB by what was measured": int((DEFAULT_MEMORY_MB << 20) / 4 / cost),
        "the 64 MB for control by CONNECTION_COST": size("instance_bytes") // CONNECTION_COST,
    }

    def largest_subset(limit: int) -> int:
        found = 0
        while True:
            mean = callers * (found + 1) / instances * zones / (zones - 1)
            if mean + SPREAD * sqrt(mean) > limit:
                return found
            found += 1

    def load(subset: int) -> dict[str, Any]:
        mean = callers * subset / instances
        return {
            "connections_an_instance": round(mean),
            "memory_mb": round(mean * CONNECTION_COST / (1 << 20), 1),
            "requests_a_second_a_connection": round(second / mean, 3),
            "seconds_between_requests": round(mean / second, 2),
        }

    return {
        "all_callers_at_each_instance_gb": round(callers * CONNECTION_COST / 1e9, 2),
        "callers_an_instance_may_have": bounds,
        "instances_a_caller_may_be_told_of": {name: largest_subset(bound) for name, bound in bounds.items()},
        "by_instances_told": {str(subset): load(subset) for subset in (5, 10, 19, 20, 30, 38)},
        "a_lost_instance_takes_of_its_callers_subset": {"of 10": 0.1, "of 20": 0.05},
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the whole part; quick: with fewer connections and without the bar on memory."""
    sizes = [50, 150, 300, 500] if quick else [50, 150, 500, 1500, 5000]
    tell(f"connections: {sizes[0]} to {sizes[-1]} open at a real instance")
    found = memory_by_connections(sizes)
    most = (DEFAULT_MEMORY_MB << 20) // 4 // CONNECTION_COST

    def row(name: str, values: list[float], note: str) -> Row:
        return slopes.row(name, "memory", "bytes", "connection", sizes, values, most, 1, note)

    instances = [10, 30, 100, 300, 1000]
    announced = slopes.row(
        "announce: bytes a second of reports", "count", "bytes", "instance", instances,
        [float(reports(one)) for one in instances], size("instances"), 1,
        f"one report every {REPORT_INTERVAL:g} s; answers not among them",
    )  # fmt: skip
    rows = [
        row("instance: memory of idle connections", found["idle"], "accepted, nothing read"),
        row("instance: memory of used connections", found["used"], "a check each way"),
        announced,
    ]
    cost = max(one["slope"] for one in rows[:2])
    figures = {
        "machine": machine(),
        "connection_cost_in_the_code": CONNECTION_COST,
        "measured_bytes_a_connection": {"idle": round(rows[0]["slope"]), "used": round(rows[1]["slope"])},
        "knowing": subset_figures(cost),
        "announce": {
            "reports_a_second": round(size("instances") / REPORT_INTERVAL),
            "bytes_a_report": round(announced["slope"] * REPORT_INTERVAL),
            "bytes_a_second_an_instance": round(announced["slope"]),
            "answer_bound": MAX_ANSWER_BYTES,
        },
    }
    bars = judge(rows, {"announce: bytes a second of reports": "linear"})
    if not quick:
        bars["instance: a connection's memory within CONNECTION_COST"] = cost <= CONNECTION_COST
    return {"rows": rows, "figures": figures, "bars": bars}
