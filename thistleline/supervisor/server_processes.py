"""Server processes of a machine: starts them, finds running ones by file locks, watches and signals them.

A server process inherits a lock and holds it until it ends, even if its supervisor ends first. The start
script writes the process id before it executes the server, so that a later supervisor can find the process.
"""

import fcntl
import os
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

import anyio
import orjson
from anyio.abc import Process

from thistleline.supervisor.errors import ServerProcessError
from thistleline.supervisor.model import Version
from thistleline.supervisor.releases import RUN_FILE, Releases
from thistleline.supervisor.settings_files import SettingsFiles

FIND_TIMEOUT = 3.0  # s in which a server that is still starting has to write its process id
FIND_INTERVAL = 0.02  # s between two checks whether the process id was written
INCARNATIONS_KEPT = 5  # newest incarnations (processes of the server) whose files are kept
# Writes the process id to $1 atomically, then executes the program $3 in the folder $2.
START_SCRIPT = 'echo $$ >"$1.new" && mv "$1.new" "$1" && cd "$2" && exec "./$3"'


class ServerFiles(NamedTuple):
    """The files of one incarnation of the server."""

    pid: Path
    configuration: Path
    log: Path


class RunningServer:
    """A running server, started by this supervisor or by an earlier one."""

    def __init__(self, incarnation: int, pidfd: int, process: Process | None) -> None:
        """Watch the process of `pidfd`, -1 if it has already ended; `process` is set for a child process."""
        self.incarnation = incarnation
        self._pidfd = pidfd
        self._process = process

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code; -1 if an earlier supervisor started it."""
        if self._pidfd >= 0:
            await anyio.wait_readable(self._pidfd)
            os.close(self._pidfd)
        return await self._process.wait() if self._process is not None else -1


class ServerProcesses:
    """Starts and finds the servers of one supervisor.

    Attributes:
        pids: Process id of each running incarnation.
    """

    def __init__(self, folder: Path, configuration: Path, releases: Releases, overlapping: bool) -> None:
        """Use the supervisor's folder.

        Args:
            folder: Folder of the supervisor.
            configuration: The server configuration, to which the settings of the version are added.
            releases: The releases installed on the machine.
            overlapping: Whether servers hand over to their successors; if so, each has its own lock file.
        """
        self._folder = folder
        self._configuration = configuration
        self._releases = releases
        self._overlapping = overlapping
        self._settings = SettingsFiles(folder / "settings")
        self.pids: dict[int, int] = {}

    def files_of(self, incarnation: int) -> ServerFiles:
        """Return the files of an incarnation; their folder is created if needed."""
        folder = self._folder / "lives"
        folder.mkdir(exist_ok=True)
        return ServerFiles(
            pid=folder / f"{incarnation}.pid",
            configuration=folder / f"{incarnation}.json",
            log=folder / f"{incarnation}.log",
        )

    def log_of(self, incarnation: int) -> Path:
        """Return the log file of an incarnation."""
        return self.files_of(incarnation).log

    def signal(self, incarnation: int, number: int) -> None:
        """Send a signal to a server, if it runs."""
        if incarnation in self.pids:
            with suppress(ProcessLookupError):
                os.kill(self.pids[incarnation], number)

    @contextmanager
    def _lock(self, incarnation: int) -> Iterator[int | None]:
        """Try to acquire the lock that a server holds while it runs; yields None if a server holds it.

        A server that inherits the descriptor keeps the lock after the descriptor is closed here.
        """
        path = self.files_of(incarnation).pid if self._overlapping else self._folder / "server.lock"
        descriptor = os.open(path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            yield descriptor if _try_lock(descriptor) else None
        finally:
            os.close(descriptor)

    def _is_alive(self, incarnation: int) -> bool:
        with self._lock(incarnation) as lock:
            return lock is None

    async def find(self, last_incarnation: int) -> AsyncIterator[RunningServer]:
        """Yield the running servers of earlier supervisors, including those that were just being started.

        Args:
            last_incarnation: The only incarnation to look for if servers don't overlap.

        Raises:
            ServerProcessError: A server holds its lock, but its process id can't be determined.
        """
        known = [last_incarnation]
        if self._overlapping:
            known = sorted(int(path.stem) for path in (self._folder / "lives").glob("*.lock"))
        for incarnation in known:
            if self._is_alive(incarnation):
                server = await self._find(incarnation)
                if server is not None:
                    yield server

    async def _find(self, incarnation: int) -> RunningServer | None:
        """Return the server that holds the lock; None if it has ended meanwhile."""
        path = self.files_of(incarnation).pid
        with anyio.move_on_after(FIND_TIMEOUT):
            while not path.exists():
                await anyio.sleep(FIND_INTERVAL)
        try:
            self.pids[incarnation] = int(path.read_text())
            pidfd = os.pidfd_open(self.pids[incarnation])
        except (OSError, ValueError) as error:
            if not self._is_alive(incarnation):
                self.pids.pop(incarnation, None)
                return None
            raise ServerProcessError(
                f"server incarnation {incarnation} holds its lock, but its process can't be found: {error}"
            ) from error
        return RunningServer(incarnation, pidfd, None)

    async def start(self, incarnation: int, version: Version) -> Process:
        """Start a server.

        Raises:
            ServerProcessError: A server is already running.
            ReleaseError: The release name is not valid.
            OSError: A file is missing, or the process can't be started.
            orjson.JSONDecodeError: Configuration or settings are not valid JSON.
        """
        with self._lock(incarnation) as lock:
            if lock is None:
                raise ServerProcessError("a server is already running")
            files = self.files_of(incarnation)
            self._write_configuration(files.configuration, version.settings)
            return await self._open_process(files, incarnation, version.release, lock)

    def _write_configuration(self, path: Path, settings: int) -> None:
        configuration = orjson.loads(self._configuration.read_bytes())
        if settings:
            configuration["settings"] = orjson.loads(self._settings.read(settings))
        path.write_bytes(orjson.dumps(configuration))

    async def _open_process(self, files: ServerFiles, incarnation: int, release: str, lock: int) -> Process:
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(files.configuration),
            "ROUTER_RELEASE": release,
            "ROUTER_LIFE": str(incarnation),
        }
        arguments = [str(files.pid), str(self._releases.path(release)), RUN_FILE]
        with files.log.open("ab") as log:
            return await anyio.open_process(
                ["/bin/sh", "-c", START_SCRIPT, "sh", *arguments],
                stdin=None,
                stdout=log,
                stderr=log,
                env=environment,
                pass_fds=(lock,),
                start_new_session=True,
            )

    def register(self, incarnation: int, process: Process) -> RunningServer:
        """Register a started process and remove the files of old incarnations."""
        self.pids[incarnation] = process.pid
        self._remove_old_files(incarnation)
        try:
            pidfd = os.pidfd_open(process.pid)
        except ProcessLookupError:  # it has already ended and been reaped
            pidfd = -1
        return RunningServer(incarnation, pidfd, process)

    def _remove_old_files(self, newest: int) -> None:
        for path in self.files_of(newest).pid.parent.glob("*.*"):
            if not path.stem.isdecimal():
                continue
            incarnation = int(path.stem)
            if incarnation <= newest - INCARNATIONS_KEPT and incarnation not in self.pids:
                path.unlink(missing_ok=True)


def _try_lock(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
