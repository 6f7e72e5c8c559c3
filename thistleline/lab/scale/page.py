"""Generate the tables of docs/CAPACITY.md from the JSON of long runs: `python -m thistleline.lab.scale.page`.

A table is placed between `<!-- table NAME -->` and `<!-- end -->`. NAME is a part of a run, `budget`,
`candidates` or `runs`. With --check nothing is written; exit code 1 and what differs where page and runs have
drifted apart.
"""

import difflib
import json
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from thistleline.lab.scale.budget import Measurements, budget_lines, rank_candidates
from thistleline.lab.scale.size import FOLDER, read_plan
from thistleline.lab.scale.slopes import Row, number, per_one

PAGE = FOLDER.parent / "CAPACITY.md"
TABLE = re.compile(r"(<!-- table (?P<name>.*?) -->\n)(?P<table>.*?)(?P<end><!-- end -->)", re.DOTALL)
OPENS = re.compile(r"<!-- table (.*?) -->")


class PageError(Exception):
    """The runs, or the page, can't be made into tables."""


class Runs:
    """Rows and figures of the long runs, by part."""

    def __init__(self, runs: dict[str, dict[str, Any]]) -> None:
        """Merge the runs, given by file name.

        Raises:
            PageError: Two runs have the same part.
        """
        self.by_file = runs
        self.rows: dict[str, list[Row]] = {}
        self.figures: dict[str, Any] = {}
        for name, run in sorted(runs.items()):
            for part, rows in run["rows"].items():
                if part in self.rows:
                    raise PageError(f"{name}: another run has the part {part!r} already")
                self.rows[part] = rows
                self.figures[part] = run["figures"][part]


def read_runs(folder: Path) -> Runs:
    """Read every JSON file of the folder as a run.

    Raises:
        PageError: A file is not a run of `lab scale`, or two have the same part.
        OSError: A file can't be read.
    """
    found = {}
    for path in sorted(folder.glob("*.json")):
        try:
            run = json.loads(path.read_text())
        except ValueError as error:
            raise PageError(f"{path.name}: {error}") from error
        if not isinstance(run, dict) or not {"rows", "figures", "bars", "seed", "quick"} <= set(run):
            raise PageError(f"{path.name} is not a run of `lab scale`")
        found[path.name] = run
    return Runs(found)


def markdown_table(heads: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Format a Markdown table."""
    table = [list(heads), *map(list, rows)]
    table.insert(1, ["---"] * len(table[0]))
    return "".join("| " + " | ".join(one.replace("|", "\\|") for one in line) + " |\n" for line in table)


def part_table(rows: list[Row], loop_s: float | None) -> str:
    """Format a part's rows; `loop_s` is the CPU time of the reference loop in that run, in seconds."""

    def at_size(row: Row) -> str:
        shown = f"{number(row['at_size'])} {row['unit']}"
        if row["unit"] == "loops" and loop_s is not None:
            shown += f", {number(row['at_size'] * loop_s)} s of CPU"
        return f"{shown} at {row['at']:,}"

    heads = ("what", "sizes", "repeats", "slope", "shape", "residual", "at the size", "range", "note")
    return markdown_table(heads, (
        (row["name"], ", ".join(f"{n:,}" for n in row["sizes"]), str(row["repeats"]), per_one(row),
         f"{row['shape']}, n^{row['exponent']:.2f}", f"{row['residual']:.1%}", at_size(row),
         "inside" if row["inside"] else f"beyond {row['range'][1]:,}", row["note"])
        for row in rows
    ))  # fmt: skip


def figure_tables(part: str, figures: dict[str, Any]) -> dict[str, str]:
    """Return the tables of a part's figures by name.

    `PART/NAME` is a figure made of several, one line for each; those made of several again also get a table
    of their own. `PART/WORD` collects all figures named `WORD: ...` that are one number.
    """
    found: dict[str, str] = {}
    prefixed: dict[str, list[tuple[str, str]]] = {}
    for name, value in figures.items():
        if isinstance(value, dict) and value:
            found[f"{part}/{name}"] = _figure_table(value)
            found |= figure_tables(f"{part}/{name}", value)
        elif isinstance(value, int | float) and ": " in name:
            prefix, _, what = name.partition(": ")
            prefixed.setdefault(prefix, []).append((what.replace("_", " "), amount_of(value)))
    return found | {
        f"{part}/{prefix}": markdown_table(("what", "figure"), lines) for prefix, lines in prefixed.items()
    }


def _figure_table(figure: dict[str, Any]) -> str:
    inner = [one for one in figure.values() if isinstance(one, dict)]
    heads = list(dict.fromkeys(name for one in inner for name in one))
    rows = [
        (name, *(amount_of(one.get(head, "")) for head in heads))
        for name, one in figure.items()
        if isinstance(one, dict)
    ]
    if not rows:
        plain = ((name.replace("_", " "), amount_of(one)) for name, one in figure.items())
        return markdown_table(("what", "figure"), plain)
    return markdown_table(("", *(head.replace("_", " ") for head in heads)), rows)


def amount_of(value: Any) -> str:
    """Format a figure; floats to four significant digits."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return str(value)
    return f"{value:,}" if isinstance(value, int) else f"{value:,.4g}"


def tables(runs: Runs, plan: dict[str, Any]) -> dict[str, str]:
    """Return every table of the page by name."""
    measurements = Measurements(plan["size"], runs.rows, runs.figures)
    found = {part: part_table(rows, runs.figures[part].get("loop_s")) for part, rows in runs.rows.items()}

    def amount(value: float | None) -> str:
        return "not measured" if value is None else number(value)

    for part, figures in runs.figures.items():
        found |= figure_tables(part, figures)
    heads = ("budget", "what spends it", "spent", "limit", "left", "verdict", "carried by", "first bound")
    found["budget"] = markdown_table(heads, (
        (one.name, "; ".join(f"{what} {amount(value)}" + (" (beyond)" if what in one.beyond else "")
                             for what, value in one.spent.items()),
         number(one.sum), f"{number(one.limit)} {one.unit}", number(one.limit - one.sum), one.verdict,
         one.carried_by, f"`{one.bound}`")
        for one in budget_lines(plan["budget"], measurements)
    ))  # fmt: skip
    found["candidates"] = markdown_table(("what", "need", "carried", "ratio", "by", "first bound"), (
        (one.name, f"{amount(one.need)} {one.unit}" + (" (beyond)" if one.beyond else ""),
         amount(one.carries), "not measured" if one.ratio is None else f"{number(one.ratio)} times",
         one.carried_by, f"`{one.bound}`")
        for one in rank_candidates(plan["candidate"], measurements)
    ))  # fmt: skip
    found["runs"] = markdown_table(("run", "parts", "seed", "length", "bars held"), (
        (name, ", ".join(run["rows"]), str(run["seed"]), "quick" if run["quick"] else "long",
         f"{sum(run['bars'].values())} of {len(run['bars'])}")
        for name, run in sorted(runs.by_file.items())
    ))  # fmt: skip
    return found


def fill_tables(page: str, found: dict[str, str]) -> str:
    """Return the page with its tables regenerated.

    Raises:
        PageError: A table is in no run, or its markers don't match.
    """
    whole = [one["name"] for one in TABLE.finditer(page)]
    opened = OPENS.findall(page)
    if whole != opened:
        raise PageError(f"a table does not end before the next: {', '.join(opened)}")
    if "<!-- table" in TABLE.sub("", page) or page.count("<!-- end -->") != len(whole):
        raise PageError("an end marker without its table")
    unknown = [name for name in whole if name not in found]
    if unknown:
        raise PageError(f"no run has the tables {', '.join(unknown)}; there are {', '.join(found)}")
    return TABLE.sub(lambda one: one[1] + found[one["name"]] + one["end"], page)


def drift(page: str, generated: str) -> list[str]:
    """Return the lines that differ between the page and the generated one; none where they agree."""
    before, after = page.splitlines(), generated.splitlines()
    return list(difflib.unified_diff(before, after, "the page", "the runs", lineterm="", n=0))


@click.command()
@click.option("--check", is_flag=True, help="Write nothing; exit code 1 and what differs.")
@click.option("--page", "place", type=click.Path(path_type=Path), default=PAGE, show_default=False)
@click.option("--runs", "folder", type=click.Path(path_type=Path), default=FOLDER, show_default=False)
def main(check: bool, place: Path, folder: Path) -> None:
    """Make the tables of docs/CAPACITY.md from the runs in docs/capacity/."""
    try:
        before = place.read_text(encoding="utf-8")
        filled = fill_tables(before, tables(read_runs(folder), read_plan()))
    except (OSError, PageError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from error
    if check:
        differs = drift(before, filled)
        for line in differs:
            click.echo(line)
        raise SystemExit(1 if differs else 0)
    if filled != before:
        place.write_text(filled, encoding="utf-8")


if __name__ == "__main__":
    main()
