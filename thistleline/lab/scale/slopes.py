"""What a thing costs by how many there are: measured at some sizes, fitted, and carried to the size planned
for.

Counts are the measure: bytecode steps of the code that runs, records, messages, bytes. They are the same for
the same seed. Times are CPU time in units of one reference loop of the same run; seconds of this machine are
said beside them.
"""

import gc
import itertools
import statistics
import sys
import tracemalloc
from collections.abc import Callable, Sequence
from time import process_time
from types import FrameType
from typing import Any, Literal, TypedDict

import numpy as np

Kind = Literal["count", "memory", "time"]
Shape = Literal["flat", "linear", "square", "n log n", "other"]

FLAT = 0.15  # a log-log exponent below it is flat
LINEAR, SQUARE = (0.85, 1.15), (1.85, 2.15)
CLOSE = 0.02  # residual under which a line or square over a base is taken for what it is
CLEARLY = 0.5  # of the line's residual, that n log n has to come under
BENT = 1.07  # least exponent of n log n, which it has up to a million
LOOP_STEPS = 200_000  # of the reference loop


class Row(TypedDict):
    """One slope. `unit` a one of `per`; of a square a pair of them, of n log n by the logarithm to base 2."""

    name: str
    kind: Kind
    unit: str
    per: str
    sizes: list[int]
    values: list[float]
    repeats: int
    shape: Shape
    slope: float
    base: float
    exponent: float  # of the values against the sizes, both as logarithms
    residual: float  # root mean square of what is left over, as parts of the values
    range: list[int]  # least and most size measured
    at: int  # the size planned for
    at_size: float  # what follows there
    inside: bool
    note: str


class Part(TypedDict):
    rows: list[Row]
    figures: dict[str, Any]
    bars: dict[str, bool]


def fit(
    sizes: Sequence[float], values: Sequence[float], of: Callable[[Any], Any]
) -> tuple[float, float, float]:
    """Slope, base and residual of `base + slope * of(size)`, each value weighed by its inverse."""
    n, v = np.asarray(sizes, float), np.asarray(values, float)
    weight = 1 / np.maximum(np.abs(v), 1e-12 * max(1.0, float(np.abs(v).max())))
    matrix = np.stack([of(n), np.ones_like(n)], axis=1) * weight[:, None]
    (slope, base), *_ = np.linalg.lstsq(matrix, v * weight, rcond=None)
    left = (base + slope * of(n) - v) * weight
    return float(slope), float(base), float(np.sqrt(np.mean(left**2)))


def exponent_of(sizes: Sequence[float], values: Sequence[float]) -> float:
    """The log-log slope, of what is above zero."""
    points = [(n, v) for n, v in zip(sizes, values, strict=True) if v > 0]
    if len(points) < 2:
        return 0.0
    n, v = np.log(np.asarray(points, float)).T
    return float(np.polyfit(n, v, 1)[0])


def square_and_line(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float, float, float]:
    """Of `base + each * n + pair * n * n`: pair, each, base and residual."""
    n, v = np.asarray(sizes, float), np.asarray(values, float)
    weight = 1 / np.maximum(np.abs(v), 1e-12 * max(1.0, float(np.abs(v).max())))
    matrix = np.stack([n * n, n, np.ones_like(n)], axis=1)
    found, *_ = np.linalg.lstsq(matrix * weight[:, None], v * weight, rcond=None)
    left = (matrix @ found - v) * weight
    return float(found[0]), float(found[1]), float(found[2]), float(np.sqrt(np.mean(left**2)))


def _plain(n: Any) -> Any:
    return n


def _squared(n: Any) -> Any:
    return n * n


def _n_log_n(n: Any) -> Any:
    return n * np.log2(np.maximum(n, 2))


def row(
    name: str,
    kind: Kind,
    unit: str,
    per: str,
    sizes: Sequence[int],
    values: Sequence[float],
    at: int,
    repeats: int = 1,
    note: str = "",
) -> Row:
    """Raises ValueError where the sizes are too few or too near each other to say anything."""
    if len(sizes) != len(values) or len(sizes) < 4 or max(sizes) < 10 * min(sizes):
        raise ValueError(f"{name}: four sizes at least, spread by ten times, each with its value")
    exponent = exponent_of(sizes, values)
    line, squares, logs = (fit(sizes, values, of) for of in (_plain, _squared, _n_log_n))
    shape, (slope, base, residual) = _shape(exponent, line, squares, logs)
    if shape == "flat":
        base = float(np.mean(values))
        slope, residual = line[0], float(np.std(values) / base) if base else 0.0
        at_size = base
    elif shape == "other" and (both := square_and_line(sizes, values))[3] < CLOSE and min(both[:2]) > 0:
        shape, (slope, each, base, residual) = "square", both
        at_size = base + each * at + slope * at**2
        note = f"{note}; beside it {each:.4g} {unit} a {per}".removeprefix("; ")
    elif shape == "other":
        # A power law, through the logarithms' mean.
        n, v = np.asarray(sizes, float), np.asarray(values, float)
        above = v > 0
        lift = float(np.mean(np.log(v[above])) - exponent * np.mean(np.log(n[above])))
        at_size = float(np.exp(lift + exponent * np.log(at)))
        found = np.exp(lift + exponent * np.log(n[above]))
        residual = float(np.sqrt(np.mean((found / v[above] - 1) ** 2)))
    else:
        of = {"linear": _plain, "square": _squared, "n log n": _n_log_n}[shape]
        at_size = base + slope * float(of(np.float64(at)))
    return Row(
        name=name, kind=kind, unit=unit, per=per, sizes=list(sizes), values=[float(one) for one in values],
        repeats=repeats, shape=shape, slope=slope, base=base, exponent=exponent, residual=residual,
        range=[min(sizes), max(sizes)], at=at, at_size=at_size, inside=min(sizes) <= at <= max(sizes),
        note=note,
    )  # fmt: skip


Fit = tuple[float, float, float]


def _shape(exponent: float, line: Fit, squares: Fit, logs: Fit) -> tuple[Shape, Fit]:
    if exponent < FLAT:
        return "flat", line
    if BENT <= exponent < LINEAR[1] + FLAT and logs[2] < CLEARLY * line[2] and line[2] > CLOSE:
        return "n log n", logs
    if LINEAR[0] <= exponent <= LINEAR[1]:
        return "linear", line
    if SQUARE[0] <= exponent <= SQUARE[1]:
        return "square", squares
    # A base that outweighs the small sizes hides the exponent; the fit shows what it is.
    if line[2] < CLOSE and line[2] <= squares[2] and line[0] > 0:
        return "linear", line
    if squares[2] < CLOSE and squares[0] > 0:
        return "square", squares
    return "other", line


BOUND: dict[Shape, float] = {
    "flat": FLAT,
    "linear": LINEAR[1],
    "n log n": LINEAR[1] + FLAT,
    "square": SQUARE[1],
}


def no_worse(found: Row, promised: Shape) -> bool:
    """Whether a slope grows no faster than was promised. Of what was promised flat a line is looked for,
    which a base hides from the exponent: carried to the size planned for, it may not double what was
    measured."""
    if found["exponent"] > BOUND[promised]:
        return False
    if promised == "flat":
        slope, base, _ = fit(found["sizes"], found["values"], _plain)
        return base + slope * found["at"] <= 2 * max(found["values"])
    if promised == "linear":
        return found["shape"] in ("flat", "linear")
    return found["shape"] != "other" or found["exponent"] <= BOUND[promised]


def judge(rows: list[Row], promised: dict[str, Shape]) -> dict[str, bool]:
    """A bar for each promise on a count. Raises KeyError where the row isn't there."""
    known = {one["name"]: one for one in rows}
    return {f"{name}: {shape}": no_worse(known[name], shape) for name, shape in promised.items()}


def per_one(found: Row) -> str:
    """The slope with its unit."""
    if found["shape"] == "flat":
        return f"{number(found['base'])} {found['unit']} in all"
    if found["shape"] == "other":
        return "no one slope"
    article = "an" if found["per"][0] in "aeiou" else "a"
    per = {"linear": f"{article} {found['per']}", "square": f"a pair of {found['per']}s"}
    per["n log n"] = f"{per['linear']} and doubling"
    return f"{number(found['slope'])} {found['unit']} {per[found['shape']]}"


def number(value: float) -> str:
    """Three digits that count, the thousands apart; small whole numbers as they are."""
    if value == int(value) and abs(value) < 100_000:
        return f"{int(value):,}"
    shown = float(f"{value:.3g}")
    return f"{shown:,.0f}" if abs(shown) >= 1000 else f"{value:.3g}"


# ---- counts, memory, time


def steps_of(call: Callable[[], Any]) -> int:
    """Bytecode steps that a call takes in Python code, with all it calls. What is done in C is not seen, nor
    what a collection would run just then: guards against a count that hangs on what ran before."""
    count = 0

    def local(frame: FrameType, event: str, told: Any) -> Any:
        nonlocal count
        count += event == "opcode"
        return local

    def entered(frame: FrameType, event: str, told: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return local

    before, collects = sys.gettrace(), gc.isenabled()
    gc.disable()
    sys.settrace(entered)
    try:
        call()
    finally:
        sys.settrace(before)
        if collects:
            gc.enable()
    return count


def memory_of(make: Callable[[], Any]) -> tuple[int, int]:
    """Bytes that what is made holds, and the most that were held while it was made, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        most = tracemalloc.get_traced_memory()[1]
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        del made
    finally:
        tracemalloc.stop()
    return held - before, most - before


def cpu_of(call: Callable[[], Any], repeats: int) -> float:
    """Seconds of CPU, the least of some runs."""
    found = []
    for _ in range(repeats):
        began = process_time()
        call()
        found.append(process_time() - began)
    return min(found)


def rounded(sizes: Sequence[int], seconds: Sequence[float]) -> dict[int, float]:
    """Seconds by size, to be read by people."""
    return dict(zip(sizes, (round(one, 5) for one in seconds), strict=True))


def _loop() -> None:
    total = 0
    for one in itertools.repeat(1, LOOP_STEPS):
        total += one


def loop_cpu() -> float:
    """Seconds of CPU that the reference loop takes, now."""
    return cpu_of(_loop, 5)


def loops_of(call: Callable[[], Any], repeats: int) -> tuple[float, float]:
    """What a call takes in reference loops, the middle of some runs, and in seconds of CPU, the least. Each
    run is held against the loop just before and just after it, as no machine is as fast all the time."""
    loops, seconds = [], []
    before = loop_cpu()
    for _ in range(repeats):
        took = cpu_of(call, 1)
        after = loop_cpu()
        loops.append(2 * took / (before + after))
        seconds.append(took)
        before = after
    return statistics.median(loops), min(seconds)
