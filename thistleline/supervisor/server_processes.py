"""Server processes of a machine: started, found again by the locks that they hold, watched, signalled.

A server inherits a lock and holds it as long as it lives, whatever became of its supervisor. It writes its
process id before it becomes the server, so that a later supervisor finds it.
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
from thistleline.supervisor.releases import RUN, Releases
from thistleline.supervisor.settings_files import SettingsFiles

FIND_TIMEOUT = 3.0  # s for a server that was being started to write its process id
FIND_INTERVAL = 0.02  # s between two looks for it
INCARNATIONS_KEPT = 5  # whose files are not removed
# Writes the process id to $1, whole or not at all, and becomes the program $3 in the folder $2.
START_SCRIPT = 'echo $$ >"$1.new" && mv "$1.new" "$1" && cd "$2" && exec "./$3"'


class ServerFiles(NamedTuple):
    """Files of one incarnation."""

    pid: Path
    configuration: Path
    log: Path


class RunningServer:
    """A server that runs, started here or by an earlier supervisor."""

    def __init__(self, incarnation: int, pidfd: int, process: Process | None) -> None:
        """Take the descriptor, -1 where the process has ended already; `process` if it is a child."""
        self.incarnation = incarnation
        self._pidfd = pidfd
        self._process = process

    async def wait(self) -> int:
        """Wait for its end and return the exit code; -1 where an earlier supervisor started it."""
        if self._pidfd >= 0:
            await anyio.wait_readable(self._pidfd)
            os.close(self._pidfd)
        return await self._process.wait() if self._process is not None else -1


class ServerProcesses:
    """Starts and finds the servers of one supervisor.

    Attributes:
        pids: Process id of each incarnation that runs.
    """

    def __init__(self, folder: Path, configuration: Path, releases: Releases, overlapping: bool) -> None:
        """Use the supervisor's folder.

        Args:
            folder: Folder of the supervisor.
            configuration: The server's own configuration, completed with the settings of its version.
            releases: Releases of the machine.
            overlapping: Whether servers hand over to their successors: then each has a lock of its own.
        """
        self._folder = folder
        self._configuration = configuration
        self._releases = releases
        self._overlapping = overlapping
        self._settings = SettingsFiles(folder / "settings")
        self.pids: dict[int, int] = {}

    def files_of(self, incarnation: int) -> ServerFiles:
        """Return the files of an incarnation, in a folder that exists."""
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
        """Open the lock that a server holds as long as it lives; None if one holds it.

        A server that inherited the descriptor holds the lock on when it is closed here.
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
        """Yield the servers of earlier supervisors that live, also those that were just being started.

        Args:
            last_incarnation: The only one to look for where servers don't overlap.

        Raises:
            ServerProcessError: One lives and does not say who it is.
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
        """Return the server whose lock is held; None if it has ended meanwhile."""
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
                f"the server of incarnation {incarnation} holds its lock and can't be found: {error}"
            ) from error
        return RunningServer(incarnation, pidfd, None)

    async def start(self, incarnation: int, version: Version) -> Process:
        """Start a server.

        Raises:
            ServerProcessError: One lives already.
            ReleaseError: The release's name is none.
            OSError: A file is missing, or no process can be started.
            orjson.JSONDecodeError: Configuration or settings are no JSON.
        """
        with self._lock(incarnation) as lock:
            if lock is None:
                raise ServerProcessError("a server lives already")
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
        arguments = [str(files.pid), str(self._releases.path(release)), RUN]
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
        """Take a started process among those that run, and remove files of incarnations long gone."""
        self.pids[incarnation] = process.pid
        self._remove_old_files(incarnation)
        try:
            pidfd = os.pidfd_open(process.pid)
        except ProcessLookupError:  # it has ended and been reaped already
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
