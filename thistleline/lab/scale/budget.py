"""What measured slopes spend of each budget at the planned size, and which need most exceeds its capacity.

The budgets are settings (`docs/capacity/size.toml`); this module holds no numbers.

A value is a product of terms: a number, or a source and a name:

    size NAME          of the table `size`
    code MODULE.NAME   a limit in the code
    row PART/NAME      a cost extrapolated to the planned size; loops in seconds of CPU
    slope PART/NAME    its cost for one more, in the same units
    figure PART/NAME   another figure of a run; PART/NAME/WHICH of a nested one

A term that begins with `per ` divides. A product without terms, or with one that no run has, is not measured.
"""

import importlib
from typing import Any, Literal, NamedTuple

from thistleline.lab.scale.slopes import Row, number

Verdict = Literal["held", "missed", "not measured"]


class NotMeasuredError(Exception):
    """No run has measured the term."""


class Measurements:
    """Sizes, rows and figures by which terms are evaluated."""

    def __init__(self, size: dict[str, Any], rows: dict[str, list[Row]], figures: dict[str, Any]) -> None:
        """Take `rows` and `figures` by part, as one or several runs left them."""
        self.size = size
        self.figures = figures
        self.rows = {f"{part}/{row['name']}": (part, row) for part, found in rows.items() for row in found}

    def value(self, term: Any) -> float:
        """Evaluate one term.

        Raises:
            NotMeasuredError: No run has it.
            ValueError: The term is malformed.
        """
        if isinstance(term, int | float):
            return float(term)
        kind, _, what = str(term).partition(" ")
        if kind == "per":
            return 1 / self.value(what)
        if kind == "size" and what in self.size:
            return float(self.size[what])
        if kind == "code":
            module, _, name = what.rpartition(".")
            return float(getattr(importlib.import_module(module), name))
        if kind in ("row", "slope"):
            return self._row_value(kind, what)
        if kind == "figure":
            figure = self._figure(what)
            if not isinstance(figure, int | float):
                raise NotMeasuredError(f"no run has {what}")
            return float(figure)
        raise ValueError(f"{term!r} is not a term")

    def _row_value(self, kind: str, what: str) -> float:
        if what not in self.rows:
            raise NotMeasuredError(f"no run has {what}")
        part, row = self.rows[what]
        if kind == "slope" and row["shape"] not in ("linear", "flat"):
            raise NotMeasuredError(f"{what} has no one slope")
        value = row["at_size"] if kind == "row" else row["slope"]
        return value * (self.figures[part]["loop_s"] if row["unit"] == "loops" else 1.0)

    def _figure(self, what: str) -> Any:
        part, _, name = what.partition("/")
        found: Any = self.figures.get(part, {})
        if name in found:
            return found[name]
        for step in name.split("/"):  # of a nested figure
            found = found.get(step) if isinstance(found, dict) else None
        return found

    def product(self, terms: list[Any]) -> float | None:
        """Return the product of the terms, or None where one is not measured or there are none."""
        if not terms:
            return None
        product = 1.0
        try:
            for term in terms:
                product *= self.value(term)
        except NotMeasuredError:
            return None
        return product

    def is_extrapolated(self, terms: list[Any]) -> bool:
        """Return whether a row among the terms is extrapolated beyond its measured sizes."""
        names = [str(term).removeprefix("per ").removeprefix("row ").removeprefix("slope ") for term in terms]
        return any(name in self.rows and not self.rows[name][1]["inside"] for name in names)


class Line(NamedTuple):
    """A budget: the limit of one resource, and its use by each item at the planned size.

    An item is one cost that counts against the limit. `spent` maps its name to its use, in `unit`, or to None
    if that is not measured.
    """

    name: str
    unit: str
    limit: float
    spent: dict[str, float | None]
    beyond: tuple[str, ...]  # items extrapolated beyond the measured sizes
    carried_by: str  # the mechanism, or missing
    bound: str  # the limit in the code that is reached first

    @property
    def sum(self) -> float:
        """Total of the measured items."""
        return sum(one for one in self.spent.values() if one is not None)

    @property
    def unknown(self) -> list[str]:
        """Items that are not measured."""
        return [what for what, one in self.spent.items() if one is None]

    @property
    def verdict(self) -> Verdict:
        """The verdict: a known part can miss the limit alone, but 'held' needs every item measured."""
        if self.sum > self.limit:
            return "missed"
        return "not measured" if self.unknown or not self.spent else "held"

    def describe(self) -> str:
        """Format as one line."""
        left = f", not measured: {', '.join(self.unknown)}" if self.unknown else ""
        return (
            f"{self.verdict}: {number(self.sum)} of {number(self.limit)} {self.unit}{left}; "
            f"carried by {self.carried_by}; first bound {self.bound}"
        )


class Candidate(NamedTuple):
    """A mechanism that may be the first to fall short."""

    name: str
    unit: str
    need: float | None
    carries: float | None
    beyond: bool
    carried_by: str
    bound: str

    @property
    def ratio(self) -> float | None:
        """Need over capacity; None where either is not measured."""
        return None if self.need is None or not self.carries else self.need / self.carries

    def describe(self) -> str:
        """Format as one line."""
        if self.ratio is None or self.need is None or self.carries is None:
            return f"not measured; first bound {self.bound}"
        return (
            f"{number(self.ratio)} times: {number(self.need)} of {number(self.carries)} {self.unit}; "
            f"carried by {self.carried_by}; first bound {self.bound}"
        )


def budget_lines(budgets: list[dict[str, Any]], measurements: Measurements) -> list[Line]:
    """Evaluate each budget of the settings.

    Raises:
        KeyError: A budget lacks a key.
        ValueError: A term is malformed, or a limit is not measured.
        AttributeError: A `code` term names a constant that does not exist.
        ImportError: A `code` term names a module that does not exist.
    """
    found = []
    for budget in budgets:
        limit = measurements.product(budget["limit"])
        if limit is None:
            raise ValueError(f"{budget['name']}: its limit is not measured")
        spent = {part["what"]: measurements.product(part["is"]) for part in budget["part"]}
        beyond = tuple(part["what"] for part in budget["part"] if measurements.is_extrapolated(part["is"]))
        bound = budget.get("bound", "none known")
        found.append(Line(budget["name"], budget["unit"], limit, spent, beyond, budget["carried_by"], bound))
    return found


def rank_candidates(candidates: list[dict[str, Any]], measurements: Measurements) -> list[Candidate]:
    """Evaluate the candidates, the largest ratio first and those not measured last."""
    found = [
        Candidate(
            candidate["name"],
            candidate["unit"],
            measurements.product(candidate["need"]),
            measurements.product(candidate["carries"]),
            measurements.is_extrapolated([*candidate["need"], *candidate["carries"]]),
            candidate["carried_by"],
            candidate["bound"],
        )
        for candidate in candidates
    ]
    return sorted(
        found, key=lambda candidate: -1.0 if candidate.ratio is None else candidate.ratio, reverse=True
    )
