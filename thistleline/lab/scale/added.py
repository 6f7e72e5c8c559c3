"""The time that an instance adds to a request, by its load; real sockets, real processes.

An instance of the program, its agent in a process of its own whose runs take a known time, and open-loop
callers in this one: requests go out at times drawn before the run, whether or not others were answered. Added
is what a caller waited beyond the time that the agent had the run in hand, so the ways over loopback and the
delays of agent and caller are in it: it is an upper bound of the instance's own part. Beside it stand, at
each rate and right before it, the same ways with a forwarder in its place that decides nothing, how late
requests were sent, and what a check takes that asks for nothing beyond an idle instance.

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
from thistleline.lab.scale.connections import PATIENCE, checked
from thistleline.lab.scale.instance import HOST, Instance, instance, machine
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part

NAME = "added"
FORWARDER = "thistleline.lab.scale.forwarder"
RUN_MS = 20.0
LINES = 64  # connections of all callers together
MOST_US, DIGITS = 60_000_000, 3  # of a histogram
WARM = 1.0  # s of load that does not count
SETTLED = 5.0  # s at the most for the last answers


class Loaded(NamedTuple):
    """Of one rate; times in ms."""

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


async def load(here: Instance, rate: int, seconds: float, seed: int) -> Loaded:
    """So many requests a second at times by chance, after a while that does not count."""
    chance, caller = Random(seed), Caller(lambda: (HOST, here.port), seed, LINES, "booking", "studio")
    added, late = (HdrHistogram(1, MOST_US, DIGITS) for _ in range(2))
    ends: Counter[str] = Counter()
    sent, ends_at, cpu = 0, 0.0, 0.0
    begun, counts = time.monotonic(), False

    async def one(number: int, due: float, counted: bool, group: anyio.abc.TaskGroup) -> None:
        if counted:
            late.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        told = await caller.attempt(f"{number:032x}", b"request %d" % number, False, group)
        if counted:
            ends[told.kind] += 1
            if told.kind == "finished":
                added.record_value(
                    max(1, int((told.answered_at - told.sent_at) * 1e6 - int(told.value) / 1e3))
                )

    async with anyio.create_task_group() as group:
        with anyio.move_on_after(WARM + seconds + SETTLED + 5.0):
            async with anyio.create_task_group() as asking:
                due, number = begun, seed << 40
                while due < begun + WARM + seconds:
                    await anyio.sleep(max(0.0, due - time.monotonic()))
                    if not counts and due >= begun + WARM:
                        counts, cpu, ends_at = True, here.cpu_seconds(), time.monotonic()
                    sent += counts
                    asking.start_soon(one, number, due, counts, group)
                    number += 1
                    due += chance.expovariate(rate)
                span, cpu = time.monotonic() - ends_at, here.cpu_seconds() - cpu
        group.cancel_scope.cancel()

    def ms(histogram: Any, part: float) -> float:
        return round(float(histogram.get_value_at_percentile(part)) / 1000, 3)

    finished = ends.pop("finished", 0)
    return Loaded(rate, sent, finished, dict(ends), ms(added, 50), ms(added, 99), ms(added, 99.9),
                  ms(added, 100), ms(late, 99), round(cpu / span, 4))  # fmt: skip


def idle_check(here: Instance, count: int = 200) -> float:
    """Median round trip of a check in ms, one after another, with nothing else to do."""
    took = []
    with socket.create_connection((HOST, here.port), timeout=PATIENCE) as link:
        for seq in range(count):
            begun = time.monotonic()
            checked(link, seq)
            took.append(time.monotonic() - begun)
    return round(statistics.median(took) * 1000, 3)


def rates_of() -> dict[str, int]:
    """The rates that matter, by what they stand for: the average at the peak, and with a zone or a region's
    share of the instances lost, the load spread over what is left."""
    average, zones, regions = size("requests_s") / size("instances"), size("zones"), size("regions")
    return {
        "average": round(average),
        "a zone lost": round(average * zones / (zones - 1)),
        "a region lost": round(average * regions / (regions - 1)),
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Quick: one rate for a second or so, no row and no bar."""
    named = rates_of()
    rates = [150] if quick else sorted({50, 150, *named.values(), 450, 600})
    seconds = 1.5 if quick else 10.0
    before, ways, found, idle = machine(), list[Loaded](), list[Loaded](), 0.0
    for rate in rates:
        # One of its own for each: what one rate leaves behind is not the next one's.
        for program, taken in ((FORWARDER, ways), ("", found)):
            with instance(RUN_MS, 512, program=program) as here:
                idle = idle_check(here)
                taken.append(anyio.run(load, here, rate, seconds, seed))
        one, way = found[-1], ways[-1]
        tell(f"{rate} a second: {one.added_p50} ms, 99 in 100 {one.added_p99} ms, {one.cores} cores; "
             f"with a forwarder {way.added_p50} and {way.added_p99} ms")  # fmt: skip
    figures: dict[str, Any] = {
        "run_ms": RUN_MS,
        "seconds_a_rate": seconds,
        "rates": named,
        "added_bound_ms": size("added_us") / 1000,
        "machine": {"before": before, "after": machine()},
        "idle_check_ms": idle,
        "by_rate": {str(one.rate): one._asdict() for one in found},
        "forwarder": {str(one.rate): one._asdict() for one in ways},
        "trial": quick or before["load_1_min"] > 1.0,
    }
    if quick:
        return {"rows": [], "figures": figures, "bars": {}}

    def row(name: str, unit: str, values: list[float], note: str) -> slopes.Row:
        per = "request a second"
        return slopes.row(name, "time", unit, per, rates, values, named["average"], 1, note)

    note = f"{seconds:g} s a rate, runs of {RUN_MS:g} ms, {LINES} connections"
    rows = [
        row("instance: added to a request, middle", "ms", [one.added_p50 for one in found], note),
        row("instance: added to a request, 99 in 100", "ms", [one.added_p99 for one in found], note),
        row("instance: cores by requests a second", "cores", [one.cores for one in found], note),
        row("forwarder: added to a request, middle", "ms", [one.added_p50 for one in ways], note),
        row("forwarder: added to a request, 99 in 100", "ms", [one.added_p99 for one in ways], note),
    ]
    # Measured, not fitted: the lines' residual is larger than the steps between these rates.
    figures |= {
        f"99 in 100, {name}, ms": next(one.added_p99 for one in found if one.rate == rate)
        for name, rate in named.items()
    }
    bound = size("added_us") / 1000
    bars = {
        f"added: 99 in 100 under {bound} ms, {name}": next(
            one.added_p99 for one in found if one.rate == rate
        ) <= bound
        for name, rate in named.items()
    }  # fmt: skip
    bars["added: all requests answered"] = all(one.finished == one.sent for one in [*found, *ways])
    return {"rows": rows, "figures": figures, "bars": bars}
