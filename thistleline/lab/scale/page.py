"""The tables of docs/CAPACITY.md, made from the JSON lines of long runs by
`python -m thistleline.lab.scale.page`.

A table stands between `<!-- table NAME -->` and `<!-- end -->`. NAME is a part of a run, `budget`,
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

from thistleline.lab.scale.budget import Measured, candidates, lines
from thistleline.lab.scale.size import FOLDER, read_plan
from thistleline.lab.scale.slopes import Row, number, per_one

PAGE = FOLDER.parent / "CAPACITY.md"
TABLE = re.compile(r"(<!-- table (?P<name>.*?) -->\n)(?P<table>.*?)(?P<end><!-- end -->)", re.DOTALL)
OPENS = re.compile(r"<!-- table (.*?) -->")


class Unusable(Exception):
    """The runs, or the page, can't be made into tables."""


class Runs:
    """All that the long runs left, by part."""

    def __init__(self, told: dict[str, dict[str, Any]]) -> None:
        """`told`: by name of the file. Raises Unusable."""
        self.told = told
        self.rows: dict[str, list[Row]] = {}
        self.figures: dict[str, Any] = {}
        for name, run in sorted(told.items()):
            for part, rows in run["rows"].items():
                if part in self.rows:
                    raise Unusable(f"{name}: another run has the part {part!r} already")
                self.rows[part] = rows
                self.figures[part] = run["figures"][part]


def read_runs(folder: Path) -> Runs:
    """Raises Unusable, OSError."""
    told = {}
    for place in sorted(folder.glob("*.json")):
        try:
            run = json.loads(place.read_text())
        except ValueError as error:
            raise Unusable(f"{place.name}: {error}") from error
        if not isinstance(run, dict) or not {"rows", "figures", "bars", "seed", "quick"} <= set(run):
            raise Unusable(f"{place.name} is no run of `lab scale`")
        told[place.name] = run
    return Runs(told)


def text(heads: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """In Markdown."""
    told = [list(heads), *map(list, rows)]
    told.insert(1, ["---"] * len(told[0]))
    return "".join("| " + " | ".join(one.replace("|", "\\|") for one in line) + " |\n" for line in told)


def part_table(rows: list[Row], loop_s: float | None) -> str:
    """`loop_s`: seconds of CPU that the reference loop took in that run."""

    def at_size(row: Row) -> str:
        told = f"{number(row['at_size'])} {row['unit']}"
        if row["unit"] == "loops" and loop_s is not None:
            told += f", {number(row['at_size'] * loop_s)} s of CPU"
        return f"{told} at {row['at']:,}"

    heads = ("what", "sizes", "repeats", "slope", "shape", "residual", "at the size", "range", "note")
    return text(heads, (
        (row["name"], ", ".join(f"{n:,}" for n in row["sizes"]), str(row["repeats"]), per_one(row),
         f"{row['shape']}, n^{row['exponent']:.2f}", f"{row['residual']:.1%}", at_size(row),
         "inside" if row["inside"] else f"beyond {row['range'][1]:,}", row["note"])
        for row in rows
    ))  # fmt: skip


def figure_tables(part: str, figures: dict[str, Any]) -> dict[str, str]:
    """`PART/NAME` for each figure that is made of several, a line each where these are made of several too,
    which are tables of their own besides; and `PART/WORD` for all figures `WORD: ...` that are one number."""
    found: dict[str, str] = {}
    words: dict[str, list[tuple[str, str]]] = {}
    for name, value in figures.items():
        if isinstance(value, dict) and value:
            found[f"{part}/{name}"] = _figure_table(value)
            found |= figure_tables(f"{part}/{name}", value)
        elif isinstance(value, int | float) and ": " in name:
            word, _, what = name.partition(": ")
            words.setdefault(word, []).append((what.replace("_", " "), amount_of(value)))
    return found | {f"{part}/{word}": text(("what", "figure"), told) for word, told in words.items()}


def _figure_table(told: dict[str, Any]) -> str:
    inner = [one for one in told.values() if isinstance(one, dict)]
    heads = list(dict.fromkeys(name for one in inner for name in one))
    rows = [
        (name, *(amount_of(one.get(head, "")) for head in heads))
        for name, one in told.items()
        if isinstance(one, dict)
    ]
    if not rows:
        plain = ((name.replace("_", " "), amount_of(one)) for name, one in told.items())
        return text(("what", "figure"), plain)
    return text(("", *(head.replace("_", " ") for head in heads)), rows)


def amount_of(value: Any) -> str:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return str(value)
    return f"{value:,}" if isinstance(value, int) else f"{value:,.4g}"


def tables(runs: Runs, plan: dict[str, Any]) -> dict[str, str]:
    """By name."""
    measured = Measured(plan["size"], runs.rows, runs.figures)
    found = {part: part_table(rows, runs.figures[part].get("loop_s")) for part, rows in runs.rows.items()}

    def amount(value: float | None) -> str:
        return "not measured" if value is None else number(value)

    for part, figures in runs.figures.items():
        found |= figure_tables(part, figures)
    heads = ("budget", "what spends it", "spent", "limit", "left", "verdict", "carried by", "first bound")
    found["budget"] = text(heads, (
        (one.name, "; ".join(f"{what} {amount(value)}" + (" (beyond)" if what in one.beyond else "")
                             for what, value in one.spent.items()),
         number(one.sum), f"{number(one.limit)} {one.unit}", number(one.limit - one.sum), one.verdict,
         one.carried_by, f"`{one.bound}`")
        for one in lines(plan["budget"], measured)
    ))  # fmt: skip
    found["candidates"] = text(("what", "need", "carried", "ratio", "by", "first bound"), (
        (one.name, f"{amount(one.need)} {one.unit}" + (" (beyond)" if one.beyond else ""),
         amount(one.carries), "not measured" if one.ratio is None else f"{number(one.ratio)} times",
         one.carried_by, f"`{one.bound}`")
        for one in candidates(plan["candidate"], measured)
    ))  # fmt: skip
    found["runs"] = text(("run", "parts", "seed", "length", "bars held"), (
        (name, ", ".join(run["rows"]), str(run["seed"]), "quick" if run["quick"] else "long",
         f"{sum(run['bars'].values())} of {len(run['bars'])}")
        for name, run in sorted(runs.told.items())
    ))  # fmt: skip
    return found


def filled(page: str, found: dict[str, str]) -> str:
    """The page with its tables made anew. Raises Unusable for one that no run has, or that doesn't end."""
    whole = [one["name"] for one in TABLE.finditer(page)]
    opened = OPENS.findall(page)
    if whole != opened:
        raise Unusable(f"a table does not end before the next: {', '.join(opened)}")
    if "<!-- table" in TABLE.sub("", page) or page.count("<!-- end -->") != len(whole):
        raise Unusable("an end without its table")
    unknown = [name for name in whole if name not in found]
    if unknown:
        raise Unusable(f"no run has the tables {', '.join(unknown)}; there are {', '.join(found)}")
    return TABLE.sub(lambda one: one[1] + found[one["name"]] + one["end"], page)


def drift(page: str, made: str) -> list[str]:
    """What differs, a line each; nothing where page and runs agree."""
    before, after = page.splitlines(), made.splitlines()
    return list(difflib.unified_diff(before, after, "the page", "the runs", lineterm="", n=0))


@click.command()
@click.option("--check", is_flag=True, help="Write nothing; exit code 1 and what differs.")
@click.option("--page", "place", type=click.Path(path_type=Path), default=PAGE, show_default=False)
@click.option("--runs", "folder", type=click.Path(path_type=Path), default=FOLDER, show_default=False)
def main(check: bool, place: Path, folder: Path) -> None:
    """Make the tables of docs/CAPACITY.md from the runs in docs/capacity/."""
    try:
        before = place.read_text(encoding="utf-8")
        made = filled(before, tables(read_runs(folder), read_plan()))
    except (OSError, Unusable) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from error
    if check:
        differs = drift(before, made)
        for line in differs:
            click.echo(line)
        raise SystemExit(1 if differs else 0)
    if made != before:
        place.write_text(made, encoding="utf-8")


if __name__ == "__main__":
    main()
