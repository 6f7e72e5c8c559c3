"""An instance's memory by its open connections, what follows for how many callers and instances may know of
each other, and what reports to the announce service take.

A real process of the program, its memory from /proc. Idle is: accepted and silent; used: it has carried
one check both ways. The rest is arithmetic from the bounds in the code; what is taken for granted stands
beside it.
"""

import socket
import struct
from collections.abc import Callable
from math import sqrt
from typing import Any

from thistleline.lab.scale import slopes
from thistleline.lab.scale.instance import HOST, Instance, instance, machine
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part, Row, judge
from thistleline.server.announcer import MAX_ANSWER_BYTES, REPORT_INTERVAL
from thistleline.server.configuration import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB
from thistleline.server.service import CONNECTION_COST, RESERVED_DESCRIPTORS
from thistleline.wire import stub
from thistleline.wire.announce import AnnounceConnection

NAME = "connections"
RUN_MS = 20.0
PATIENCE = 10.0
SPREAD = 4  # standard deviations over the mean: about one of 30,000 instances has more


def check(seq: int) -> bytes:
    """A check as a client stub sends it, that asks for nothing beyond the instance."""
    return stub.encode_probe(seq, deep=False)


def checked(link: socket.socket, seq: int) -> None:
    """Sends one and reads its whole answer."""
    link.sendall(check(seq))
    (length,) = struct.unpack(">I", _exactly(link, 4))
    _exactly(link, length)


def _exactly(link: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        more = link.recv(count - len(data))
        if not more:
            raise OSError("the instance has closed the connection")
        data += more
    return data


def memory_by_connections(sizes: list[int]) -> dict[str, list[float]]:
    """Bytes beyond those without a connection, by the number that is open. They are accepted in their order:
    once the last one's check is answered all before it are open."""
    idle, used = list[float](), list[float]()
    for counts, each in ((idle, False), (used, True)):
        with instance(RUN_MS, sizes[-1] + 8) as here:
            links: list[socket.socket] = []
            try:
                base = _settled(here, links, 1, True)
                for count in sizes:
                    counts.append(float(_settled(here, links, count + 1, each) - base))
            finally:
                for link in links:
                    link.close()
    return {"idle": idle, "used": used}


def _settled(here: Instance, links: list[socket.socket], count: int, each: bool) -> int:
    while len(links) < count:
        links.append(socket.create_connection((HOST, here.port), timeout=PATIENCE))
        if each:
            checked(links[-1], len(links))
    checked(links[-1], len(links))
    return here.resident()


def reports(instances: int) -> int:
    """Bytes that so many instances send the announce service in a second, each on a connection it keeps."""
    sent = 0
    for place in range(instances):
        sent += len(
            AnnounceConnection("10.1.2.3:8761").encode_report(
                f"i{place:05}.zone-{place % size('zones'):02}", True
            )
        )
    return round(sent / REPORT_INTERVAL)


def who_knows_whom(cost: float) -> dict[str, Any]:
    """How many callers an instance may have and how many instances a caller may be told of.

    Taken for granted: each caller keeps one connection to each instance it was told of; who is told of which
    is drawn at random, so an instance's count spreads as the root of its mean, and the most is taken SPREAD
    standard deviations above it; with a zone lost what is left has as many more; each caller sends as much as
    any other."""
    instances, callers, zones = size("instances"), size("callers"), size("zones")
    second = size("requests_s") / instances
    bounds = {
        "DESCRIPTORS less RESERVE": DEFAULT_DESCRIPTORS - RESERVED_DESCRIPTORS,
        "a quarter of MEMORY_MB by CONNECTION_COST": (DEFAULT_MEMORY_MB << 20) // 4 // CONNECTION_COST,
        "a quarter of MEMORY_MB by what was measured": int((DEFAULT_MEMORY_MB << 20) / 4 / cost),
        "the 64 MB for control by CONNECTION_COST": size("instance_bytes") // CONNECTION_COST,
    }

    def subset(bound: int) -> int:
        found = 0
        while True:
            mean = callers * (found + 1) / instances * zones / (zones - 1)
            if mean + SPREAD * sqrt(mean) > bound:
                return found
            found += 1

    def load(told: int) -> dict[str, Any]:
        mean = callers * told / instances
        return {
            "connections_an_instance": round(mean),
            "memory_mb": round(mean * CONNECTION_COST / (1 << 20), 1),
            "requests_a_second_a_connection": round(second / mean, 3),
            "seconds_between_requests": round(mean / second, 2),
        }

    return {
        "all_callers_at_each_instance_gb": round(callers * CONNECTION_COST / 1e9, 2),
        "callers_an_instance_may_have": bounds,
        "instances_a_caller_may_be_told_of": {name: subset(bound) for name, bound in bounds.items()},
        "by_instances_told": {str(told): load(told) for told in (5, 10, 19, 20, 30, 38)},
        "a_lost_instance_takes_of_its_callers_subset": {"of 10": 0.1, "of 20": 0.05},
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
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
        "knowing": who_knows_whom(cost),
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
