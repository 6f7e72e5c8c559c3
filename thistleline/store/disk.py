"""File operations of the durable storage; tests replace `Disk` to simulate disk failures."""

import fcntl
import os
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_SIZE = 16  # bytes
SEGMENT_DIGITS = 12  # digits of the segment number in a file name

_CLOSED = -1  # stands for a file descriptor while no file is open


class DiskLockedError(Exception):
    """Another process holds the lock of this folder."""


class Disk:
    """A locked folder of numbered segment files; only the newest one is appended to.

    Attributes:
        folder: Folder of the segments and the lock file.
        kind: Kind of data stored here; also the suffix of the segment files.
        lock_fd: File descriptor of the lock file, -1 while the folder is not locked.
        segment_fd: File descriptor of the current segment, -1 if there is none.
    """

    def __init__(self, folder: Path, kind: str = "ledger") -> None:
        """Create an instance for a folder; `acquire` opens and locks it."""
        self.folder = folder
        self.kind = kind
        self.lock_fd = _CLOSED
        self.segment_fd = _CLOSED

    def acquire(self) -> None:
        """Create the folder if it does not exist, and lock it.

        Raises:
            DiskLockedError: Another process has locked the folder.
            OSError: The folder or its lock file can't be created or opened.
        """
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock_fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock_fd)
            self.lock_fd = _CLOSED
            raise DiskLockedError(f"another program has locked the {self.kind} in {self.folder}") from None

    def release(self) -> None:
        """Close the current segment and release the lock of the folder."""
        for descriptor in (self.segment_fd, self.lock_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self.segment_fd = _CLOSED
        self.lock_fd = _CLOSED

    def segments(self) -> list[tuple[int, int]]:
        """Return the number and the size in bytes of each segment, in ascending order."""
        found = []
        for path in self.folder.glob(f"*.{self.kind}"):
            if len(path.stem) == SEGMENT_DIGITS and path.stem.isascii() and path.stem.isdecimal():
                found.append((int(path.stem), path.stat().st_size))
        return sorted(found)

    def path(self, number: int) -> Path:
        """Return the path of a segment's file."""
        return self.folder / f"{number:0{SEGMENT_DIGITS}}.{self.kind}"

    def read(self, number: int) -> bytes:
        """Return the whole content of a segment."""
        return self.path(number).read_bytes()

    def begin(self, number: int) -> None:
        """Create a new segment and make it the current one."""
        if self.segment_fd >= 0:
            os.close(self.segment_fd)
            self.segment_fd = _CLOSED
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self.segment_fd = os.open(self.path(number), flags, 0o600)

    def append(self, data: bytes) -> None:
        """Write all of `data` to the end of the current segment."""
        while data:
            data = data[os.write(self.segment_fd, data) :]

    def sync(self) -> None:
        """Make the data appended to the current segment durable."""
        os.fdatasync(self.segment_fd)

    def sync_folder(self) -> None:
        """Make the folder's entries, such as the name of a new segment, durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, number: int) -> None:
        """Delete a segment if it exists."""
        self.path(number).unlink(missing_ok=True)


def boot_id() -> bytes:
    """Return the 16 bytes that identify this boot of the machine, or zeros if they can't be read."""
    try:
        text = BOOT_ID.read_text().strip().replace("-", "")
        return bytes.fromhex(text)[:BOOT_ID_SIZE].ljust(BOOT_ID_SIZE, b"\0")
    except (OSError, ValueError):
        return bytes(BOOT_ID_SIZE)
