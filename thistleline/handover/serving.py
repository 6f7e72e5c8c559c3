"""Which life serves, as it says itself: a file in the folder of the handover, for the steward to read."""

import os
from pathlib import Path

OWNER = "owner"


def tell_owner(folder: Path, life: str) -> None:
    """Whole or not at all. Raises OSError."""
    fresh = folder / f"{OWNER}.new"
    fresh.write_text(f"{life} {os.getpid()}\n")
    fresh.rename(folder / OWNER)


def read_owner(folder: Path) -> tuple[int, int] | None:
    """The life and the pid of the server that serves, or served last; None where nothing can be read."""
    try:
        life, pid = (folder / OWNER).read_text().split()
        return int(life), int(pid)
    except (OSError, ValueError):
        return None
