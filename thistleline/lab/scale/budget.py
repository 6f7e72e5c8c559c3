"""What the measured slopes spend of each budget at the size planned for, and which need is furthest beyond
what carries it. The budgets are settings (`docs/capacity/size.toml`); nothing here knows a number.

A value is a product of terms: a number, or two words of which the first says where it is from:

    size NAME          of the part `size`
    code MODULE.NAME   a bound in the code
    row PART/NAME      a slope carried to the size; loops in seconds of CPU
    slope PART/NAME    a one more of it, in the same units
    figure PART/NAME   another figure of a run; of one made of several PART/NAME/WHICH

A term that begins with `per ` divides. A product without terms, or with one that no run has, is not measured.
"""

import importlib
from typing import Any, Literal, NamedTuple

from thistleline.lab.scale.slopes import Row, number

Verdict = Literal["held", "missed", "not measured"]


class Unknown(Exception):
    """No run has it."""


class Measured:
    def __init__(self, size: dict[str, Any], rows: dict[str, list[Row]], figures: dict[str, Any]) -> None:
        """`rows` and `figures` by part, as one or several runs left them."""
        self.size, self.figures = size, figures
        self.rows = {f"{part}/{row['name']}": (part, row) for part, found in rows.items() for row in found}

    def value(self, term: Any) -> float:
        """Raises Unknown, and ValueError for a term that says nothing."""
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
            if what not in self.rows:
                raise Unknown(what)
            part, row = self.rows[what]
            if kind == "slope" and row["shape"] not in ("linear", "flat"):
                raise Unknown(f"{what} has no one slope")
            value = row["at_size"] if kind == "row" else row["slope"]
            return value * (self.figures[part]["loop_s"] if row["unit"] == "loops" else 1.0)
        if kind == "figure":
            told = self._figure(what)
            if not isinstance(told, int | float):
                raise Unknown(what)
            return float(told)
        raise ValueError(f"{term!r} is no term")

    def _figure(self, what: str) -> Any:
        part, _, name = what.partition("/")
        told: Any = self.figures.get(part, {})
        if name in told:
            return told[name]
        for step in name.split("/"):  # of a figure that is made of several
            told = told.get(step) if isinstance(told, dict) else None
        return told

    def product(self, terms: list[Any]) -> float | None:
        """Nothing where it is not measured."""
        if not terms:
            return None
        whole = 1.0
        try:
            for term in terms:
                whole *= self.value(term)
        except Unknown:
            return None
        return whole

    def beyond(self, terms: list[Any]) -> bool:
        """Whether a slope in it was carried beyond the sizes that were measured."""
        names = [str(term).removeprefix("per ").removeprefix("row ").removeprefix("slope ") for term in terms]
        return any(name in self.rows and not self.rows[name][1]["inside"] for name in names)


class Line(NamedTuple):
    """A budget; `spent` by what spends it, nothing where that is not measured."""

    name: str
    unit: str
    limit: float
    spent: dict[str, float | None]
    beyond: tuple[str, ...]  # what of it was carried beyond the measured sizes
    carried_by: str  # the mechanism, or missing
    bound: str  # the first in code that stands in the way

    @property
    def sum(self) -> float:
        return sum(one for one in self.spent.values() if one is not None)

    @property
    def unknown(self) -> list[str]:
        return [what for what, one in self.spent.items() if one is None]

    @property
    def verdict(self) -> Verdict:
        """What is known may be too much already; it is never enough for 'held' while a part is not known."""
        if self.sum > self.limit:
            return "missed"
        return "not measured" if self.unknown or not self.spent else "held"

    def words(self) -> str:
        left = f", not measured: {', '.join(self.unknown)}" if self.unknown else ""
        return (
            f"{self.verdict}: {number(self.sum)} of {number(self.limit)} {self.unit}{left}; "
            f"carried by {self.carried_by}; first bound {self.bound}"
        )


class Candidate(NamedTuple):
    """A mechanism that may be missing first."""

    name: str
    unit: str
    need: float | None
    carries: float | None
    beyond: bool
    carried_by: str
    bound: str

    @property
    def ratio(self) -> float | None:
        return None if self.need is None or not self.carries else self.need / self.carries

    def words(self) -> str:
        if self.ratio is None or self.need is None or self.carries is None:
            return f"not measured; first bound {self.bound}"
        return (
            f"{number(self.ratio)} times: {number(self.need)} of {number(self.carries)} {self.unit}; "
            f"carried by {self.carried_by}; first bound {self.bound}"
        )


def lines(told: list[dict[str, Any]], measured: Measured) -> list[Line]:
    """Raises KeyError, ValueError, AttributeError, ImportError for settings that name what isn't there."""
    found = []
    for one in told:
        limit = measured.product(one["limit"])
        if limit is None:
            raise ValueError(f"{one['name']}: its limit is not known")
        spent = {part["what"]: measured.product(part["is"]) for part in one["part"]}
        beyond = tuple(part["what"] for part in one["part"] if measured.beyond(part["is"]))
        bound = one.get("bound", "none known")
        found.append(Line(one["name"], one["unit"], limit, spent, beyond, one["carried_by"], bound))
    return found


def candidates(told: list[dict[str, Any]], measured: Measured) -> list[Candidate]:
    """The furthest beyond first; what is not measured last."""
    found = [
        Candidate(
            one["name"],
            one["unit"],
            measured.product(one["need"]),
            measured.product(one["carries"]),
            measured.beyond([*one["need"], *one["carries"]]),
            one["carried_by"],
            one["bound"],
        )
        for one in told
    ]
    return sorted(found, key=lambda one: -1.0 if one.ratio is None else one.ratio, reverse=True)
