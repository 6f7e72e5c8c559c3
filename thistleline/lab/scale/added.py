"""The time that an instance adds to a request, by its load; real sockets, real processes.

The instance's agent is a process of its own with runs of a known duration; open-loop callers in this process
send requests at random times, whether or not others were answered. Added latency is what a caller waited
beyond the agent's run, so loopback and the delays of agent and caller are part of it: it is an upper bound of
the instance's own part. Beside it are reported, at each rate and measured right before it, the same with a
forwarder that makes no decisions, how late requests were sent, and the round trip of a shallow health check
of an idle instance.

Times count only from a machine that nothing else loads, so the long run is made alone:

    python -c "from thistleline.lab.scale import added; print(added.measure(False, 1, print))"
"""

import socket
import statistics
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import anyio
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from thistleline.lab.processes.load_generator import Caller
from thistleline.lab.scale import slopes
from thistleline.lab.scale.connections import SOCKET_TIMEOUT, exchange_check
from thistleline.lab.scale.instance import HOST, Instance, machine, run_instance
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part

NAME = "added"
FORWARDER = "thistleline.lab.scale.forwarder"
RUN_MS = 20.0  # duration of the agent's runs
CONNECTIONS = 64  # connections of all callers together
MAX_US = 60_000_000  # largest value of a histogram
DIGITS = 3  # significant digits of a histogram
WARM_UP = 1.0  # s of load that does not count
MAX_SETTLE_TIME = 5.0  # s for the last answers


class LoadResult(NamedTuple):
    """Result of the load at one rate; times in milliseconds. The field names are those of the stored JSON."""

    rate: int
    sent: int
    finished: int
    others: dict[str, int]  # how else a request ended
    added_p50: float
    added_p99: float
    added_p999: float
    added_most: float
    late_p99: float  # by which a request was sent after its time
    cores: float  # of the instance's process


class _OpenLoopLoad:
    """Open-loop callers of one instance: requests go out at their times, whatever the answers do."""

    def __init__(self, server: Instance, rate: int, seconds: float, seed: int) -> None:
        self.server = server
        self.rate = rate
        self.seconds = seconds
        self.random = Random(seed)
        self.first_number = seed << 40
        self.caller = Caller(lambda: (HOST, server.port), seed, CONNECTIONS, "booking", "studio")
        self.added = HdrHistogram(1, MAX_US, DIGITS)
        self.late = HdrHistogram(1, MAX_US, DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.sent = 0
        self.cores: float  # set once all requests are sent

    async def run(self) -> None:
        """Send requests for the warm-up and the counted time, and wait for their answers."""
        async with anyio.create_task_group() as group:
            with anyio.move_on_after(WARM_UP + self.seconds + MAX_SETTLE_TIME + 5.0):
                async with anyio.create_task_group() as requests:
                    await self._send_all(requests, group)
            group.cancel_scope.cancel()

    async def _send_all(self, requests: anyio.abc.TaskGroup, group: anyio.abc.TaskGroup) -> None:
        counted = False
        counted_from, cpu_before = 0.0, 0.0
        started_at = time.monotonic()
        due, number = started_at, self.first_number
        while due < started_at + WARM_UP + self.seconds:
            await anyio.sleep(max(0.0, due - time.monotonic()))
            if not counted and due >= started_at + WARM_UP:
                counted = True
                cpu_before = self.server.cpu_seconds()
                counted_from = time.monotonic()
            self.sent += counted
            requests.start_soon(self._send, number, due, counted, group)
            number += 1
            due += self.random.expovariate(self.rate)
        duration = time.monotonic() - counted_from
        self.cores = (self.server.cpu_seconds() - cpu_before) / duration

    async def _send(self, number: int, due: float, counted: bool, group: anyio.abc.TaskGroup) -> None:
        if counted:
            self.late.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        outcome = await self.caller.attempt(f"{number:032x}", b"request %d" % number, False, group)
        if not counted:
            return
        self.outcomes[outcome.kind] += 1
        if outcome.kind == "finished":
            waited_us = (outcome.answered_at - outcome.sent_at) * 1e6
            self.added.record_value(max(1, int(waited_us - int(outcome.value) / 1e3)))


async def load(server: Instance, rate: int, seconds: float, seed: int) -> LoadResult:
    """Send `rate` requests a second at random times for `seconds`, after a warm-up that does not count."""
    run = _OpenLoopLoad(server, rate, seconds, seed)
    await run.run()

    def ms(histogram: Any, percentile: float) -> float:
        return round(float(histogram.get_value_at_percentile(percentile)) / 1000, 3)

    finished = run.outcomes.pop("finished", 0)
    return LoadResult(
        rate=rate,
        sent=run.sent,
        finished=finished,
        others=dict(run.outcomes),
        added_p50=ms(run.added, 50),
        added_p99=ms(run.added, 99),
        added_p999=ms(run.added, 99.9),
        added_most=ms(run.added, 100),
        late_p99=ms(run.late, 99),
        cores=round(run.cores, 4),
    )


def idle_check(server: Instance, count: int = 200) -> float:
    """Return the median round trip of sequential health checks, in milliseconds."""
    took = []
    with socket.create_connection((HOST, server.port), timeout=SOCKET_TIMEOUT) as connection:
        for sequence in range(count):
            started_at = time.monotonic()
            exchange_check(connection, sequence)
            took.append(time.monotonic() - started_at)
    return round(statistics.median(took) * 1000, 3)


def planned_rates() -> dict[str, int]:
    """Return the requests a second of an instance at the peak, by scenario.

    After the loss of a zone or a region its load is spread over the remaining instances.
    """
    average, zones, regions = size("requests_s") / size("instances"), size("zones"), size("regions")
    return {
        "average": round(average),
        "a zone lost": round(average * zones / (zones - 1)),
        "a region lost": round(average * regions / (regions - 1)),
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the whole part; quick: one rate for a second or so, without rows and bars."""
    named = planned_rates()
    rates = [150] if quick else sorted({50, 150, *named.values(), 450, 600})
    seconds = 1.5 if quick else 10.0
    before = machine()
    baseline: list[LoadResult] = []
    found: list[LoadResult] = []
    idle = 0.0
    for rate in rates:
        # A new instance for each rate, so that no rate starts with what another left behind.
        for program, results in ((FORWARDER, baseline), ("", found)):
            with run_instance(RUN_MS, 512, program=program) as server:
                idle = idle_check(server)
                results.append(anyio.run(load, server, rate, seconds, seed))
        one, forwarded = found[-1], baseline[-1]
        tell(f"{rate} a second: {one.added_p50} ms, 99 in 100 {one.added_p99} ms, {one.cores} cores; "
             f"with a forwarder {forwarded.added_p50} and {forwarded.added_p99} ms")  # fmt: skip
    figures: dict[str, Any] = {
        "run_ms": RUN_MS,
        "seconds_a_rate": seconds,
        "rates": named,
        "added_bound_ms": size("added_us") / 1000,
        "machine": {"before": before, "after": machine()},
        "idle_check_ms": idle,
        "by_rate": {str(one.rate): one._asdict() for one in found},
        "forwarder": {str(one.rate): one._asdict() for one in baseline},
        "trial": quick or before["load_1_min"] > 1.0,
    }
    if quick:
        return {"rows": [], "figures": figures, "bars": {}}

    def row(name: str, unit: str, values: list[float], note: str) -> slopes.Row:
        per = "request a second"
        return slopes.row(name, "time", unit, per, rates, values, named["average"], 1, note)

    note = f"{seconds:g} s a rate, runs of {RUN_MS:g} ms, {CONNECTIONS} connections"
    rows = [
        row("instance: added to a request, middle", "ms", [one.added_p50 for one in found], note),
        row("instance: added to a request, 99 in 100", "ms", [one.added_p99 for one in found], note),
        row("instance: cores by requests a second", "cores", [one.cores for one in found], note),
        row("forwarder: added to a request, middle", "ms", [one.added_p50 for one in baseline], note),
        row("forwarder: added to a request, 99 in 100", "ms", [one.added_p99 for one in baseline], note),
    ]
    # Measured, not fitted: the lines' residual is larger than the steps between these rates.
    figures |= {
        f"99 in 100, {name}, ms": next(one.added_p99 for one in found if one.rate == rate)
        for name, rate in named.items()
    }
    limit_ms = size("added_us") / 1000
    bars = {
        f"added: 99 in 100 under {limit_ms} ms, {name}": next(
            one.added_p99 for one in found if one.rate == rate
        ) <= limit_ms
        for name, rate in named.items()
    }  # fmt: skip
    bars["added: all requests answered"] = all(one.finished == one.sent for one in [*found, *baseline])
    return {"rows": rows, "figures": figures, "bars": bars}
