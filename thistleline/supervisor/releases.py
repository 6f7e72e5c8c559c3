"""Releases installed on a machine: one folder each, identified by a digest of its whole content.

The folder of a release contains a file `run`, which is executed with the path of the server configuration in
the environment.
"""

import hashlib
import os
import shutil
from pathlib import Path
from typing import NamedTuple

from thistleline.supervisor.errors import ReleaseError

RUN_FILE = "run"  # the executable of a release
FORMATS_FILE = "forms"  # declares the ledger formats read and the one written, such as "1 2 writes 2"
MAX_FILES = 100_000  # in a release


class LedgerFormats(NamedTuple):
    """Ledger formats that a release reads, and the one that it writes; empty and 0 if not declared."""

    readable: tuple[int, ...]
    written: int


def content_digest(folder: Path) -> str:
    """Return the SHA-256 over the names, kinds, executable bits and contents of all files, sorted by path.

    Raises:
        ReleaseError: The folder has more than MAX_FILES files.
        OSError: A file can't be read.
    """
    digest = hashlib.sha256()
    files = sorted(path for path in folder.rglob("*") if not path.is_dir() or path.is_symlink())
    if len(files) > MAX_FILES:
        raise ReleaseError(f"the release has more than {MAX_FILES} files")
    for path in files:
        name = path.relative_to(folder).as_posix().encode()
        kind, content = _kind_and_content(path)
        digest.update(len(name).to_bytes(4, "big") + name)
        digest.update(kind + len(content).to_bytes(4, "big") + content)
    return digest.hexdigest()


def _kind_and_content(path: Path) -> tuple[bytes, bytes]:
    """Return the kind (link, executable or other) and the link target or content digest of a file."""
    if path.is_symlink():
        return b"l", os.readlink(path).encode()
    kind = b"x" if os.access(path, os.X_OK) else b"f"
    return kind, hashlib.sha256(path.read_bytes()).digest()


def ledger_formats(folder: Path) -> LedgerFormats:
    """Return the ledger formats that a release declares; an empty tuple and 0 if it declares none.

    Raises:
        ReleaseError: The file is malformed.
        OSError: The file can't be read.
    """
    path = folder / FORMATS_FILE
    if not path.exists():
        return LedgerFormats((), 0)
    readable, _, written = path.read_text().partition("writes")
    try:
        return LedgerFormats(tuple(map(int, readable.split())), int(written))
    except ValueError:
        raise ReleaseError(f"{path} is malformed; expected a form such as '1 2 writes 2'") from None


class Releases:
    """The releases in a folder, by name."""

    def __init__(self, folder: Path) -> None:
        """Use `folder`, which is created when the first release is added."""
        self.folder = folder

    def path(self, name: str) -> Path:
        """Return the folder of a release, whether or not it exists.

        Raises:
            ReleaseError: The name is not valid.
        """
        if not name or "/" in name or name.startswith("."):
            raise ReleaseError(f"{name!r} is not a valid release name")
        return self.folder / name

    def add(self, name: str, source: Path) -> str:
        """Copy a release atomically and return its digest.

        The content of a name never changes; adding the same content again has no effect.

        Raises:
            ReleaseError: `source` is not a release, or the name exists with different content.
            OSError: `source` can't be read or copied.
        """
        target = self.path(name)
        if not os.access(source / RUN_FILE, os.X_OK):
            raise ReleaseError(f"{source} has no executable file '{RUN_FILE}'")
        digest = content_digest(source)
        if target.exists():
            if content_digest(target) != digest:
                raise ReleaseError(f"release {name} already exists with different content")
            return digest
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.folder / f".{name}.{os.getpid()}"
        shutil.copytree(source, temporary, symlinks=True)
        if content_digest(temporary) != digest:
            shutil.rmtree(temporary)
            raise ReleaseError(f"{source} changed while it was being copied")
        temporary.rename(target)
        return digest

    def names(self) -> list[str]:
        """Return the names of all releases, sorted."""
        if not self.folder.is_dir():
            return []
        return sorted(path.name for path in self.folder.iterdir() if not path.name.startswith("."))

    def verify(self, name: str, digest: str) -> None:
        """Check that a release is installed with this content, which includes its declared ledger formats.

        Raises:
            ReleaseError: It is missing or has different content.
            OSError: It can't be read.
        """
        path = self.path(name)
        if not path.is_dir():
            raise ReleaseError(f"release {name} is not installed")
        found = content_digest(path)
        if found != digest:
            raise ReleaseError(f"release {name} has digest {found[:12]}, expected {digest[:12]}")
        if not os.access(path / RUN_FILE, os.X_OK):
            raise ReleaseError(f"{name} has no executable file '{RUN_FILE}'")
