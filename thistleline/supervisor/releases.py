"""Releases side by side on one machine: a folder each, known by a digest of all that is in it.

A release's folder holds a file `run`, which is executed with the server's configuration in the environment.
"""

import hashlib
import os
import shutil
from pathlib import Path

RUN = "run"
FORMS = "forms"  # a file that says which forms of the ledger it reads, and which it writes: "1 2 writes 2"
FILES_BOUND = 100_000


class Unfit(Exception):
    """Not a release, or not the one that is meant; says why."""


def digest_of(folder: Path) -> str:
    """Over names, kinds, the right to execute, and contents, in order. Raises Unfit."""
    whole = hashlib.sha256()
    files = sorted(path for path in folder.rglob("*") if not path.is_dir() or path.is_symlink())
    if len(files) > FILES_BOUND:
        raise Unfit(f"more than {FILES_BOUND} files")
    for path in files:
        name = path.relative_to(folder).as_posix().encode()
        if path.is_symlink():
            kind, content = b"l", os.readlink(path).encode()
        else:
            kind = b"x" if os.access(path, os.X_OK) else b"f"
            content = hashlib.sha256(path.read_bytes()).digest()
        whole.update(len(name).to_bytes(4, "big") + name + kind + len(content).to_bytes(4, "big") + content)
    return whole.hexdigest()


def forms_of(folder: Path) -> tuple[tuple[int, ...], int]:
    """What a release says of the ledger: the forms that it reads, and the one that it writes; nothing and 0
    where it does not say. Raises Unfit, OSError."""
    place = folder / FORMS
    if not place.exists():
        return (), 0
    reads, _, writes = place.read_text().partition("writes")
    try:
        return tuple(map(int, reads.split())), int(writes)
    except ValueError:
        raise Unfit(f"{place} does not say '1 2 writes 2'") from None


class Releases:
    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def path(self, name: str) -> Path:
        if not name or "/" in name or name.startswith("."):
            raise Unfit(f"{name!r} is no name of a release")
        return self.folder / name

    def add(self, name: str, source: Path) -> str:
        """Copies it; whole or not at all. A name stands for one content for ever. Raises Unfit, OSError."""
        place = self.path(name)
        if not os.access(source / RUN, os.X_OK):
            raise Unfit(f"{source} has no file '{RUN}' that can be executed")
        digest = digest_of(source)
        if place.exists():
            if digest_of(place) != digest:
                raise Unfit(f"{name} is there with another content")
            return digest
        self.folder.mkdir(parents=True, exist_ok=True)
        fresh = self.folder / f".{name}.{os.getpid()}"
        shutil.copytree(source, fresh, symlinks=True)
        if digest_of(fresh) != digest:
            shutil.rmtree(fresh)
            raise Unfit(f"{source} changed while it was copied")
        fresh.rename(place)
        return digest

    def names(self) -> list[str]:
        if not self.folder.is_dir():
            return []
        return sorted(path.name for path in self.folder.iterdir() if not path.name.startswith("."))

    def verify(self, name: str, digest: str) -> None:
        """Raises Unfit where it is not there, or not with this content, which its forms are a part of."""
        place = self.path(name)
        if not place.is_dir():
            raise Unfit(f"{name} is not here")
        found = digest_of(place)
        if found != digest:
            raise Unfit(f"{name} has digest {found[:12]}, {digest[:12]} is meant")
        if not os.access(place / RUN, os.X_OK):
            raise Unfit(f"{name} has no file '{RUN}' that can be executed")
