"""The planned size, read from `docs/capacity/size.toml`."""

import tomllib
from functools import cache
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[3] / "docs" / "capacity"


@cache
def read_plan(path: Path = FOLDER / "size.toml") -> dict[str, Any]:
    """Return the whole file: `size`, `budget` and `candidate`.

    Raises:
        OSError: The file can't be read.
        tomllib.TOMLDecodeError: The file is not TOML.
    """
    with path.open("rb") as file:
        return tomllib.load(file)


def size(name: str) -> int:
    """Return a number of the table `size`.

    Raises:
        KeyError: The table has no such number.
    """
    return int(read_plan()["size"][name])
