"""The file in the handover folder by which the serving process identifies itself to the supervisor.

An incarnation is one process of a server; the supervisor numbers them.
"""

import os
from pathlib import Path

OWNER_FILE_NAME = "owner"


def write_owner(folder: Path, incarnation: str) -> None:
    """Record that this process serves as `incarnation`; the file is replaced atomically.

    Raises:
        OSError: The file can't be written.
    """
    new_file = folder / f"{OWNER_FILE_NAME}.new"
    new_file.write_text(f"{incarnation} {os.getpid()}\n")
    new_file.rename(folder / OWNER_FILE_NAME)


def read_owner(folder: Path) -> tuple[int, int] | None:
    """Return incarnation and process id of the server that serves or served last; None if unknown."""
    try:
        incarnation, pid = (folder / OWNER_FILE_NAME).read_text().split()
        return int(incarnation), int(pid)
    except (OSError, ValueError):
        return None
