"""Capacity model: what each thing costs by how many there are, and what follows at the planned size.

Every part measures its slopes; what they spend of each budget, and which need most exceeds its mechanism's
capacity, follows from `docs/capacity/size.toml`. Bars rest on counts alone, so that the verdict is the same
every time.
"""

import importlib
import json
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from thistleline.lab.scale.budget import Measurements, budget_lines, rank_candidates
from thistleline.lab.scale.size import read_plan
from thistleline.lab.scale.slopes import Part, Row, number, per_one

# Modules of this package, in the order in which they are measured.
PARTS = (
    "members",
    "council",
    "connections",
    "added",
    "tenants",
    "settings_costs",
    "feed",
    "feedsockets",
    "control",
)

QUICK_PROCESSES = 3  # parts of a quick run that are measured at the same time


def describe_row(row: Row) -> str:
    """Format a row as one line."""
    where = "inside" if row["inside"] else f"beyond {row['range'][1]:,}"
    return (
        f"{per_one(row)}, {row['shape']} (n^{row['exponent']:.2f}, residual {row['residual']:.1%}); "
        f"{number(row['at_size'])} at {row['at']:,}, {where}"
    )


def without_times(rows: dict[str, list[Row]]) -> dict[str, list[Row]]:
    """Drop times: a quick run has them of small sizes only, and budget verdicts would vary with them."""
    return {part: [row for row in found if row["kind"] != "time"] for part, found in rows.items()}


def _import_part(module: str) -> Any:
    return importlib.import_module(f"thistleline.lab.scale.{module}")


def _measure_collecting(module: str, quick: bool, seed: int) -> tuple[list[str], Part]:
    """Return a part's progress lines and its result."""
    lines: list[str] = []
    return lines, _import_part(module).measure(quick, seed, lines.append)


def _measure_parts(
    modules: tuple[str, ...], quick: bool, seed: int, tell: Callable[[str], None]
) -> Iterator[Part]:
    """Yield the parts in order; a quick run's verdict rests on counts, so its parts run concurrently."""
    if quick and len(modules) > 1:
        with ProcessPoolExecutor(QUICK_PROCESSES, get_context("spawn")) as pool:
            for lines, part in pool.map(partial(_measure_collecting, quick=quick, seed=seed), modules):
                for line in lines:
                    tell(line)
                yield part
    else:
        for module in modules:
            yield _import_part(module).measure(quick, seed, tell)


def run(quick: bool, seed: int, tell: Callable[[str], None], parts: tuple[str, ...] = ()) -> dict[str, Any]:
    """Measure these parts, or all; return figures, bars, the verdict, and the rows for the page."""
    rows: dict[str, list[Row]] = {}
    figures: dict[str, Any] = {}
    bars: dict[str, bool] = {}
    modules = parts or PARTS
    for module, part in zip(modules, _measure_parts(modules, quick, seed, tell), strict=True):
        name = _import_part(module).NAME
        rows[name] = part["rows"]
        figures[name] = {row["name"]: describe_row(row) for row in part["rows"]} | part["figures"]
        bars |= {f"{name}: {bar}": held for bar, held in part["bars"].items()}
    figures = json.loads(json.dumps(figures))  # as a reader of the file finds it
    plan = read_plan()
    measurements = Measurements(plan["size"], without_times(rows) if quick else rows, figures)
    budget = budget_lines(plan["budget"], measurements)
    ranked = rank_candidates(plan["candidate"], measurements)
    figures["budget"] = {line.name: line.describe() for line in budget}
    figures["candidates"] = {candidate.name: candidate.describe() for candidate in ranked}
    return {
        "figures": figures,
        "bars": bars,
        "held": all(bars.values()),
        "rows": rows,
        "sizes": plan["size"],
    }


def plot(result: dict[str, Any], file: Path) -> None:
    """Plot all slopes of a `run` result, one log-log chart a part.

    Raises:
        OSError: The file can't be written.
        ValueError: The file's suffix names no known image format.
    """
    from matplotlib.figure import Figure

    parts = {
        name: [one for one in rows if any(one["values"])] for name, rows in result["rows"].items() if rows
    }
    figure = Figure(figsize=(9, 5 * len(parts)), layout="constrained")
    for index, (name, rows) in enumerate(parts.items()):
        axes = figure.add_subplot(len(parts), 1, index + 1, xscale="log", yscale="log", title=name)
        for one in rows:
            axes.plot(one["sizes"], one["values"], marker="o", linewidth=1, label=one["name"])
        axes.set_xlabel("how many")
        axes.legend(fontsize="x-small")
    figure.savefig(file)
