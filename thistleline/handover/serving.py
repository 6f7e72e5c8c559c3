"""Which incarnation serves, as it says itself: a file in the folder of the handover, for the supervisor."""

import os
from pathlib import Path

OWNER = "owner"  # name of the file


def tell_owner(folder: Path, life: str) -> None:
    """Write that this process serves, as incarnation `life`; the file is replaced as a whole.

    Raises:
        OSError: It can't be written.
    """
    fresh = folder / f"{OWNER}.new"
    fresh.write_text(f"{life} {os.getpid()}\n")
    fresh.rename(folder / OWNER)


def read_owner(folder: Path) -> tuple[int, int] | None:
    """Return incarnation and pid of the server that serves, or served last; None where that is unknown."""
    try:
        life, pid = (folder / OWNER).read_text().split()
        return int(life), int(pid)
    except (OSError, ValueError):
        return None
