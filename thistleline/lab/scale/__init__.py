"""What each thing costs by how many there are, and what follows at the size planned for.

Every part measures its slopes; what the sums spend of each budget, and which need is furthest beyond what
carries it, follows from `docs/capacity/size.toml`. Bars rest on counts alone, so that the verdict is the same
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

from thistleline.lab.scale.budget import Measured, candidates, lines
from thistleline.lab.scale.size import read_plan
from thistleline.lab.scale.slopes import Part, Row, number, per_one

# Modules of this package, in the order in which they are measured.
PARTS = (
    *("members", "council", "connections", "added", "tenants", "settings_costs", "feed", "feedsockets"),
    "control",
)

QUICK_AT_ONCE = 3  # parts of a quick run


def sentence(row: Row) -> str:
    """A row in a line."""
    where = "inside" if row["inside"] else f"beyond {row['range'][1]:,}"
    return (
        f"{per_one(row)}, {row['shape']} (n^{row['exponent']:.2f}, residual {row['residual']:.1%}); "
        f"{number(row['at_size'])} at {row['at']:,}, {where}"
    )


def settled(rows: dict[str, list[Row]]) -> dict[str, list[Row]]:
    """Without times: a quick run has them of small sizes, and verdicts on budgets would change with them."""
    return {part: [row for row in found if row["kind"] != "time"] for part, found in rows.items()}


def _part(module: str) -> Any:
    return importlib.import_module(f"thistleline.lab.scale.{module}")


def _told(module: str, quick: bool, seed: int) -> tuple[list[str], Part]:
    """What a part tells on its way, and what it found."""
    lines: list[str] = []
    return lines, _part(module).measure(quick, seed, lines.append)


def _measured(
    modules: tuple[str, ...], quick: bool, seed: int, tell: Callable[[str], None]
) -> Iterator[Part]:
    """Part after part. A quick run's verdict rests on counts, so its parts may run beside each other."""
    if quick and len(modules) > 1:
        with ProcessPoolExecutor(QUICK_AT_ONCE, get_context("spawn")) as pool:
            for lines, told in pool.map(partial(_told, quick=quick, seed=seed), modules):
                for line in lines:
                    tell(line)
                yield told
    else:
        for module in modules:
            yield _part(module).measure(quick, seed, tell)


def run(quick: bool, seed: int, tell: Callable[[str], None], parts: tuple[str, ...] = ()) -> dict[str, Any]:
    """All figures of these parts, or of all; bars, whether they held, and the rows for the page."""
    rows: dict[str, list[Row]] = {}
    figures: dict[str, Any] = {}
    bars: dict[str, bool] = {}
    modules = parts or PARTS
    for module, told in zip(modules, _measured(modules, quick, seed, tell), strict=True):
        name = _part(module).NAME
        rows[name] = told["rows"]
        figures[name] = {row["name"]: sentence(row) for row in told["rows"]} | told["figures"]
        bars |= {f"{name}: {bar}": held for bar, held in told["bars"].items()}
    figures = json.loads(json.dumps(figures))  # as a reader of the file finds it
    plan = read_plan()
    measured = Measured(plan["size"], settled(rows) if quick else rows, figures)
    budget = lines(plan["budget"], measured)
    figures["budget"] = {one.name: one.words() for one in budget}
    figures["candidates"] = {one.name: one.words() for one in candidates(plan["candidate"], measured)}
    return {
        "figures": figures,
        "bars": bars,
        "held": all(bars.values()),
        "rows": rows,
        "sizes": plan["size"],
    }


def plot(told: dict[str, Any], file: Path) -> None:
    """All slopes, a picture a part, values over sizes as logarithms. Raises OSError, ValueError."""
    from matplotlib.figure import Figure

    parts = {name: [one for one in rows if any(one["values"])] for name, rows in told["rows"].items() if rows}
    picture = Figure(figsize=(9, 5 * len(parts)), layout="constrained")
    for place, (name, rows) in enumerate(parts.items()):
        axes = picture.add_subplot(len(parts), 1, place + 1, xscale="log", yscale="log", title=name)
        for one in rows:
            axes.plot(one["sizes"], one["values"], marker="o", linewidth=1, label=one["name"])
        axes.set_xlabel("how many")
        axes.legend(fontsize="x-small")
    picture.savefig(file)
