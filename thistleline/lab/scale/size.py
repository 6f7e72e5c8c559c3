"""The size to build for, as `docs/capacity/size.toml` has it: numbers as settings, none of them in code."""

import tomllib
from functools import cache
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[3] / "docs" / "capacity"


@cache
def read_plan(path: Path = FOLDER / "size.toml") -> dict[str, Any]:
    """The whole file: `size`, `budget` and `candidate`. Raises OSError, tomllib.TOMLDecodeError."""
    with path.open("rb") as file:
        return tomllib.load(file)


def size(name: str) -> int:
    """A number of the part `size`. Raises KeyError."""
    return int(read_plan()["size"][name])
