"""Scaling laws: a cost measured at some sizes, fitted, and extrapolated to the planned size.

The main measure are counts: bytecode steps, records, messages, bytes. They are the same for the same seed.
Times are CPU time in units of a reference loop of the same run; this machine's seconds are reported beside
them.
"""

import gc
import itertools
import statistics
import sys
import tracemalloc
from collections.abc import Callable, Sequence
from time import process_time
from types import FrameType
from typing import Any, Literal, NamedTuple, TypedDict

import numpy as np

Kind = Literal["count", "memory", "time"]
Shape = Literal["flat", "linear", "square", "n log n", "other"]

FLAT = 0.15  # largest log-log exponent of a flat cost
LINEAR = (0.85, 1.15)  # range of the log-log exponent of a linear cost
SQUARE = (1.85, 2.15)  # range of the log-log exponent of a quadratic cost
CLOSE_RESIDUAL = 0.02  # a line or square over a base fits where its residual is below this
CLEARLY_BETTER = 0.5  # largest share of the line's residual that n log n may leave to be chosen
MIN_N_LOG_N_EXPONENT = 1.07  # least log-log exponent of n log n, which it has up to a million
LOOP_STEPS = 200_000  # iterations of the reference loop
MIN_SIZES = 4  # sizes that a fit needs
MIN_SPREAD = 10  # least ratio of the largest size to the smallest


class Row(TypedDict):
    """One fitted cost, as it is stored in the JSON of a run.

    The slope is in `unit` for each `per`: for a square for each pair of them, for n log n times the logarithm
    to base 2.
    """

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
    exponent: float  # of the values against the sizes, log-log
    residual: float  # root mean square of the relative errors
    range: list[int]  # smallest and largest size measured
    at: int  # the planned size
    at_size: float  # the cost extrapolated to `at`
    inside: bool  # whether `at` lies within the measured range
    note: str


class Part(TypedDict):
    """Result of one part of the scale run: its rows, other figures, and bars by name."""

    rows: list[Row]
    figures: dict[str, Any]
    bars: dict[str, bool]


class Fit(NamedTuple):
    """A least-squares fit of `base + slope * term(size)`; `residual` is the RMS of the relative errors."""

    slope: float
    base: float
    residual: float


class SquareAndLineFit(NamedTuple):
    """A least-squares fit of `base + linear * size + square * size**2`."""

    square: float
    linear: float
    base: float
    residual: float


def _relative_weights(values: Any) -> Any:
    """Return the inverse of each value's size, with a floor that keeps zeros finite."""
    return 1 / np.maximum(np.abs(values), 1e-12 * max(1.0, float(np.abs(values).max())))


def fit(sizes: Sequence[float], values: Sequence[float], term: Callable[[Any], Any]) -> Fit:
    """Fit `base + slope * term(size)`, each value weighted by its inverse."""
    n = np.asarray(sizes, float)
    v = np.asarray(values, float)
    weight = _relative_weights(v)
    matrix = np.stack([term(n), np.ones_like(n)], axis=1) * weight[:, None]
    (slope, base), *_ = np.linalg.lstsq(matrix, v * weight, rcond=None)
    errors = (base + slope * term(n) - v) * weight
    return Fit(float(slope), float(base), float(np.sqrt(np.mean(errors**2))))


def exponent_of(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the log-log slope of the values above zero; 0.0 where there are fewer than two."""
    points = [(n, v) for n, v in zip(sizes, values, strict=True) if v > 0]
    if len(points) < 2:
        return 0.0
    n, v = np.log(np.asarray(points, float)).T
    return float(np.polyfit(n, v, 1)[0])


def square_and_line(sizes: Sequence[float], values: Sequence[float]) -> SquareAndLineFit:
    """Fit `base + linear * size + square * size**2`, each value weighted by its inverse."""
    n = np.asarray(sizes, float)
    v = np.asarray(values, float)
    weight = _relative_weights(v)
    matrix = np.stack([n * n, n, np.ones_like(n)], axis=1)
    found, *_ = np.linalg.lstsq(matrix * weight[:, None], v * weight, rcond=None)
    errors = (matrix @ found - v) * weight
    return SquareAndLineFit(
        float(found[0]), float(found[1]), float(found[2]), float(np.sqrt(np.mean(errors**2)))
    )


def _plain(n: Any) -> Any:
    return n


def _squared(n: Any) -> Any:
    return n * n


def _n_log_n(n: Any) -> Any:
    return n * np.log2(np.maximum(n, 2))


def _power_law(
    sizes: Sequence[float], values: Sequence[float], exponent: float, at: int
) -> tuple[float, float]:
    """Return the value at `at` and the residual of a power law through the mean of the logarithms."""
    n = np.asarray(sizes, float)
    v = np.asarray(values, float)
    above = v > 0
    intercept = float(np.mean(np.log(v[above])) - exponent * np.mean(np.log(n[above])))
    at_size = float(np.exp(intercept + exponent * np.log(at)))
    fitted = np.exp(intercept + exponent * np.log(n[above]))
    residual = float(np.sqrt(np.mean((fitted / v[above] - 1) ** 2)))
    return at_size, residual


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
    """Fit the values to the sizes, choose the shape, and extrapolate to the size `at`.

    Raises:
        ValueError: The sizes are too few or too near each other for a fit.
    """
    if len(sizes) != len(values) or len(sizes) < MIN_SIZES or max(sizes) < MIN_SPREAD * min(sizes):
        raise ValueError(
            f"{name}: a fit needs at least four sizes, each with a value, the largest ten times the smallest"
        )
    exponent = exponent_of(sizes, values)
    line, squares, logs = (fit(sizes, values, term) for term in (_plain, _squared, _n_log_n))
    shape, (slope, base, residual) = _shape(exponent, line, squares, logs)
    if shape == "flat":
        base = float(np.mean(values))
        slope = line.slope
        residual = float(np.std(values) / base) if base else 0.0
        at_size = base
    elif shape == "other":
        both = square_and_line(sizes, values)
        if both.residual < CLOSE_RESIDUAL and both.square > 0 and both.linear > 0:
            shape = "square"
            slope, linear, base, residual = both
            at_size = base + linear * at + slope * at**2
            note = f"{note}; beside it {linear:.4g} {unit} a {per}".removeprefix("; ")
        else:
            at_size, residual = _power_law(sizes, values, exponent, at)
    else:
        term = {"linear": _plain, "square": _squared, "n log n": _n_log_n}[shape]
        at_size = base + slope * float(term(np.float64(at)))
    return Row(
        name=name, kind=kind, unit=unit, per=per, sizes=list(sizes), values=[float(one) for one in values],
        repeats=repeats, shape=shape, slope=slope, base=base, exponent=exponent, residual=residual,
        range=[min(sizes), max(sizes)], at=at, at_size=at_size, inside=min(sizes) <= at <= max(sizes),
        note=note,
    )  # fmt: skip


def _shape(exponent: float, line: Fit, squares: Fit, logs: Fit) -> tuple[Shape, Fit]:
    """Choose the shape by the log-log exponent, then by the residuals."""
    if exponent < FLAT:
        return "flat", line
    if (
        MIN_N_LOG_N_EXPONENT <= exponent < LINEAR[1] + FLAT
        and logs.residual < CLEARLY_BETTER * line.residual
        and line.residual > CLOSE_RESIDUAL
    ):
        return "n log n", logs
    if LINEAR[0] <= exponent <= LINEAR[1]:
        return "linear", line
    if SQUARE[0] <= exponent <= SQUARE[1]:
        return "square", squares
    # A base that outweighs the small sizes hides the exponent; the fit shows what it is.
    if line.residual < CLOSE_RESIDUAL and line.residual <= squares.residual and line.slope > 0:
        return "linear", line
    if squares.residual < CLOSE_RESIDUAL and squares.slope > 0:
        return "square", squares
    return "other", line


MAX_EXPONENT: dict[Shape, float] = {
    "flat": FLAT,
    "linear": LINEAR[1],
    "n log n": LINEAR[1] + FLAT,
    "square": SQUARE[1],
}


def grows_within(found: Row, promised: Shape) -> bool:
    """Return whether a cost grows no faster than was promised.

    A base can hide a line from the exponent, so a cost promised flat is also fitted with one: extrapolated to
    the planned size, the line may not exceed twice the largest value measured.
    """
    if found["exponent"] > MAX_EXPONENT[promised]:
        return False
    if promised == "flat":
        line = fit(found["sizes"], found["values"], _plain)
        return line.base + line.slope * found["at"] <= 2 * max(found["values"])
    if promised == "linear":
        return found["shape"] in ("flat", "linear")
    return found["shape"] != "other" or found["exponent"] <= MAX_EXPONENT[promised]


def judge(rows: list[Row], promised: dict[str, Shape]) -> dict[str, bool]:
    """Return a bar for each promised row, by name and shape.

    Raises:
        KeyError: A promised row was not measured.
    """
    known = {one["name"]: one for one in rows}
    return {f"{name}: {shape}": grows_within(known[name], shape) for name, shape in promised.items()}


def per_one(found: Row) -> str:
    """Format the slope with its unit."""
    if found["shape"] == "flat":
        return f"{number(found['base'])} {found['unit']} in all"
    if found["shape"] == "other":
        return "no one slope"
    article = "an" if found["per"][0] in "aeiou" else "a"
    per = {"linear": f"{article} {found['per']}", "square": f"a pair of {found['per']}s"}
    per["n log n"] = f"{per['linear']} and doubling"
    return f"{number(found['slope'])} {found['unit']} {per[found['shape']]}"


def number(value: float) -> str:
    """Format to three significant digits with thousands separators; small whole numbers exactly."""
    if value == int(value) and abs(value) < 100_000:
        return f"{int(value):,}"
    shown = float(f"{value:.3g}")
    return f"{shown:,.0f}" if abs(shown) >= 1000 else f"{value:.3g}"


# ---- counts, memory, time


def steps_of(call: Callable[[], Any]) -> int:
    """Count the bytecode steps that a call takes in Python code, with everything it calls.

    Work done in C is not counted. Garbage collection is off meanwhile, so that the count does not depend on
    what ran before.
    """
    count = 0

    def count_opcode(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += event == "opcode"
        return count_opcode

    def enter_frame(frame: FrameType, event: str, argument: Any) -> Any:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return count_opcode

    trace_before = sys.gettrace()
    collects = gc.isenabled()
    gc.disable()
    sys.settrace(enter_frame)
    try:
        call()
    finally:
        sys.settrace(trace_before)
        if collects:
            gc.enable()
    return count


def memory_of(make: Callable[[], Any]) -> tuple[int, int]:
    """Return the bytes that the made object holds and the peak while it was made, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        peak = tracemalloc.get_traced_memory()[1]
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        del made
    finally:
        tracemalloc.stop()
    return held - before, peak - before


def cpu_of(call: Callable[[], Any], repeats: int) -> float:
    """Return the least CPU time of some runs, in seconds."""
    found = []
    for _ in range(repeats):
        began = process_time()
        call()
        found.append(process_time() - began)
    return min(found)


def rounded(sizes: Sequence[int], seconds: Sequence[float]) -> dict[int, float]:
    """Return seconds by size, rounded for readers."""
    return dict(zip(sizes, (round(one, 5) for one in seconds), strict=True))


def _loop() -> None:
    total = 0
    for one in itertools.repeat(1, LOOP_STEPS):
        total += one


def loop_cpu() -> float:
    """Return the CPU time that the reference loop takes now, in seconds."""
    return cpu_of(_loop, 5)


def loops_of(call: Callable[[], Any], repeats: int) -> tuple[float, float]:
    """Return a call's cost in reference loops (median of the runs) and in CPU seconds (least).

    Each run is compared with the loop right before and right after it, as a machine's speed varies.
    """
    loops, seconds = [], []
    before = loop_cpu()
    for _ in range(repeats):
        took = cpu_of(call, 1)
        after = loop_cpu()
        loops.append(2 * took / (before + after))
        seconds.append(took)
        before = after
    return statistics.median(loops), min(seconds)


def loops_by_size(
    name: str,
    sizes: Sequence[int],
    make_call: Callable[[int], Callable[[], Any]],
    repeats: int,
    tell: Callable[[str], None],
) -> tuple[tuple[float, ...], dict[str, dict[int, float]]]:
    """Time the call that is made for each size.

    Returns:
        The reference loops by size, and a figure of the CPU seconds by size.
    """
    loops, seconds = zip(*(loops_of(make_call(n), repeats) for n in sizes), strict=True)
    tell(f"{name}: {seconds[-1]:.3f} s at {sizes[-1]}")
    return loops, {f"{name}, CPU seconds by size": rounded(sizes, seconds)}
