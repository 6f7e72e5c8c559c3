"""Releases side by side on one machine: a folder each, known by a digest of all that is in it.

A release's folder holds a file `run`, which is executed with the server's configuration in the environment.
"""

import hashlib
import os
import shutil
from pathlib import Path
from typing import NamedTuple

from thistleline.supervisor.errors import ReleaseError

RUN = "run"  # the file that is executed
FORMATS_FILE = "forms"  # says which ledger formats the release reads and which it writes: "1 2 writes 2"
MAX_FILES = 100_000  # in a release


class LedgerFormats(NamedTuple):
    """Ledger formats of a release: those that it reads, and the one that it writes; 0 where unknown."""

    readable: tuple[int, ...]
    written: int


def content_digest(folder: Path) -> str:
    """Return the SHA-256 over names, kinds, the right to execute, and contents, in order.

    Raises:
        ReleaseError: There are too many files.
        OSError: A file can't be read.
    """
    digest = hashlib.sha256()
    files = sorted(path for path in folder.rglob("*") if not path.is_dir() or path.is_symlink())
    if len(files) > MAX_FILES:
        raise ReleaseError(f"more than {MAX_FILES} files")
    for path in files:
        name = path.relative_to(folder).as_posix().encode()
        kind, content = _kind_and_content(path)
        digest.update(len(name).to_bytes(4, "big") + name)
        digest.update(kind + len(content).to_bytes(4, "big") + content)
    return digest.hexdigest()


def _kind_and_content(path: Path) -> tuple[bytes, bytes]:
    """Return what goes into the digest for a file: link, executable or other; target or content's digest."""
    if path.is_symlink():
        return b"l", os.readlink(path).encode()
    kind = b"x" if os.access(path, os.X_OK) else b"f"
    return kind, hashlib.sha256(path.read_bytes()).digest()


def ledger_formats(folder: Path) -> LedgerFormats:
    """Return what a release says of the ledger; nothing and 0 where it does not say.

    Raises:
        ReleaseError: The file has another form.
        OSError: It can't be read.
    """
    path = folder / FORMATS_FILE
    if not path.exists():
        return LedgerFormats((), 0)
    readable, _, written = path.read_text().partition("writes")
    try:
        return LedgerFormats(tuple(map(int, readable.split())), int(written))
    except ValueError:
        raise ReleaseError(f"{path} does not say '1 2 writes 2'") from None


class Releases:
    """The releases in a folder, by name."""

    def __init__(self, folder: Path) -> None:
        """Use `folder`, which is created with the first release."""
        self.folder = folder

    def path(self, name: str) -> Path:
        """Return the folder of a release, there or not.

        Raises:
            ReleaseError: No release can have that name.
        """
        if not name or "/" in name or name.startswith("."):
            raise ReleaseError(f"{name!r} is no name of a release")
        return self.folder / name

    def add(self, name: str, source: Path) -> str:
        """Copy a release, as a whole or not at all, and return its digest.

        A name stands for one content for ever; adding the same content again changes nothing.

        Raises:
            ReleaseError: `source` is no release, or the name has another content.
            OSError: It can't be read or copied.
        """
        target = self.path(name)
        if not os.access(source / RUN, os.X_OK):
            raise ReleaseError(f"{source} has no file '{RUN}' that can be executed")
        digest = content_digest(source)
        if target.exists():
            if content_digest(target) != digest:
                raise ReleaseError(f"{name} is there with another content")
            return digest
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.folder / f".{name}.{os.getpid()}"
        shutil.copytree(source, temporary, symlinks=True)
        if content_digest(temporary) != digest:
            shutil.rmtree(temporary)
            raise ReleaseError(f"{source} changed while it was copied")
        temporary.rename(target)
        return digest

    def names(self) -> list[str]:
        """Return the names of all releases, sorted."""
        if not self.folder.is_dir():
            return []
        return sorted(path.name for path in self.folder.iterdir() if not path.name.startswith("."))

    def verify(self, name: str, digest: str) -> None:
        """Check that a release is here with this content, which its ledger formats are a part of.

        Raises:
            ReleaseError: It is missing or has another content.
            OSError: It can't be read.
        """
        path = self.path(name)
        if not path.is_dir():
            raise ReleaseError(f"{name} is not here")
        found = content_digest(path)
        if found != digest:
            raise ReleaseError(f"{name} has digest {found[:12]}, {digest[:12]} is meant")
        if not os.access(path / RUN, os.X_OK):
            raise ReleaseError(f"{name} has no file '{RUN}' that can be executed")
