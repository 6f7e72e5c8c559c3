"""A steward as a program: a server's process, its state on disk, the council's wants, the members' facts."""

import fcntl
import hashlib
import os
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import msgspec
import orjson

from thistleline.config.schema import Conf
from thistleline.handover.serving import read_owner
from thistleline.lease.client import Council
from thistleline.lease.protocol import Get, Got
from thistleline.membership.messages import Facts
from thistleline.membership.service import MemberService
from thistleline.store.clock import boot_now, wall_ms
from thistleline.store.latest import LatestValueStore
from thistleline.supervisor.decisions import Keeping, State, Version, Want
from thistleline.supervisor.releases import RUN, Releases, Unfit
from thistleline.supervisor.settings import unfit_settings

TAIL = 0.1  # s between two looks at what the server says
POLL = 0.25  # s between two questions to the council
FIND_SPAN = 3.0  # s for a server that was being started to say who it is
LOG_BOUND = 64 << 20  # bytes of a server's log, cut to nothing past it
LIVES_KEPT = 5  # logs
FIGURES = ("tasks", "finished", "rejected", "abandoned", "slow")
WORTH = ("worth_came", "worth_done")

_state = msgspec.json.Decoder(State).decode
_want = msgspec.msgpack.Decoder(Want).decode
WRAP = 'echo $$ >"$1.new" && mv "$1.new" "$1" && cd "$2" && exec "./$3"'


def want_key(name: str) -> str:
    return f"want/{name}"


def settings_key(number: int) -> str:
    return f"settings/{number}"


def digest_of_settings(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()


class StewardService:
    def __init__(self, conf: Conf, log: Callable[..., None]) -> None:
        """Takes the folder. Raises DiskLockedError, OSError."""
        assert conf.steward is not None
        assert conf.members is not None
        assert conf.council is not None
        self.conf, self.log = conf.steward, log
        self.voters = dict(conf.council.voter)
        self.folder: Path = conf.steward.folder
        self.latest = LatestValueStore(self.folder / "state", "steward")
        self.releases = Releases(conf.steward.releases or self.folder / "releases")
        self.handover = None if conf.handover is None else conf.handover.folder
        self.keeping = Keeping(conf.steward.stop, boot_now(), self.handover is not None)
        self.name = conf.members.name
        self.born = wall_ms()
        self.member = MemberService(conf.members, Facts("", 0, conf.members.zone, self.born), log)
        self.pids: dict[int, int] = {}  # of lives that run
        self.up_at = 0
        self.told_life = 0  # whose figures these are
        self.figures = [0] * len(FIGURES)
        self.worth = (0, 0)
        self.memory = 0
        self.settings: dict[int, bytes] = {}
        self.woken = anyio.Event()

    async def run(self) -> None:
        """Until SIGTERM or SIGINT; the server runs on. Raises OSError where it can't listen."""
        async with anyio.create_task_group() as group:
            self.group = group
            self.council = Council(self.voters, group)
            group.start_soon(self.member.run)
            state = _state(self.latest.value) if self.latest.value else State()
            alive = await self._find(state)
            rest = [life for life in alive if life not in (state.life, state.heir_life)]
            lives, heir_lives = state.life in alive, state.heir is not None and state.heir_life in alive
            self.take("recovered", state, lives, heir_lives, max(rest, default=0))
            self._ask_owner()
            group.start_soon(self._pump)
            group.start_soon(self._poll)
            group.start_soon(self._tail)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

    def take(self, kind: str, *told: Any) -> None:
        for effect in self.keeping.take(boot_now(), kind, *told):
            self._carry_out(effect)
        self.woken.set()

    async def _pump(self) -> None:
        while True:
            self.woken = anyio.Event()
            with anyio.move_on_after(max(0.0, (self.keeping.due() - boot_now()) / 1e9)):
                await self.woken.wait()
                continue
            self.take("elapsed")

    def _carry_out(self, effect: tuple[Any, ...]) -> None:
        kind, *told = effect
        if kind == "log":
            self.log(told[0], **told[1])
        elif kind == "tell":
            self._tell()
        elif kind == "term":
            self._signal(self.keeping.state.life, signal.SIGTERM)
        elif kind == "kill":
            self._signal(self.keeping.state.life, signal.SIGKILL)
        elif kind == "term_heir":
            self._signal(told[0], signal.SIGTERM)
        elif kind == "kill_life":
            self._signal(told[0], signal.SIGKILL)
        elif kind in ("note", "verify", "spawn"):
            self.group.start_soon(getattr(self, f"_{kind}"), *told)

    def _signal(self, life: int, number: int) -> None:
        if life in self.pids:
            with suppress(ProcessLookupError):
                os.kill(self.pids[life], number)

    # ---- state and releases

    async def _note(self, state: State) -> None:
        """Tries till it is durable: nothing else is done before."""
        while True:
            try:
                await anyio.to_thread.run_sync(self.latest.put, msgspec.json.encode(state))
                break
            except OSError as error:
                self.log("state", why=error.strerror)
                await anyio.sleep(1.0)
        self.take("noted")

    async def _verify(self, version: Version) -> None:
        why = ""
        try:
            await anyio.to_thread.run_sync(self.releases.verify, version.release, version.digest)
            if version.settings:
                await self._settings(version)
        except (Unfit, OSError, orjson.JSONDecodeError) as error:
            why = str(error)
        self.take("verified", why)

    async def _settings(self, version: Version) -> None:
        """The settings of that number are the ones that are meant, and are kept here. Raises Unfit."""
        place = self.folder / "settings" / f"{version.settings}.json"
        if not place.exists():
            answer = await self.council.surely(Get(settings_key(version.settings)), 5.0)
            if not isinstance(answer, Got) or not answer.version:
                raise Unfit(f"settings {version.settings} are not to be had")
            place.parent.mkdir(exist_ok=True)
            fresh = place.with_suffix(".new")
            fresh.write_bytes(answer.value)
            fresh.rename(place)
        content = place.read_bytes()
        if digest_of_settings(content) != version.settings_digest:
            raise Unfit(f"settings {version.settings} have another content here")
        limits = orjson.loads(self.conf.plate.read_bytes()).get("limits")
        fault = unfit_settings(content, limits)
        if fault:
            raise Unfit(f"settings {version.settings} can't be taken here: {fault}")

    # ---- the server's process

    def _paths(self, life: int) -> tuple[Path, Path, Path]:
        """Of its pid, its configuration, its log."""
        base = self.folder / "lives"
        base.mkdir(exist_ok=True)
        return base / f"{life}.pid", base / f"{life}.json", base / f"{life}.log"

    def _lock(self, life: int) -> int | None:
        """The lock that a server holds as long as it lives; none if one has it. Where servers don't follow
        one another beside each other there is one for all lives."""
        place = self.folder / "server.lock" if self.handover is None else self._paths(life)[0]
        lock = os.open(place.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return None
        return lock

    async def _find(self, state: State) -> list[int]:
        """Which servers of earlier stewards live, also one whose start was not seen through."""
        known = [state.life]
        if self.handover is not None:
            known = sorted(int(place.stem) for place in (self.folder / "lives").glob("*.lock"))
        found = []
        for life in known:
            lock = self._lock(life)
            if lock is not None:
                os.close(lock)
                continue
            place = self._paths(life)[0]
            with anyio.move_on_after(FIND_SPAN):
                while not place.exists():
                    await anyio.sleep(0.02)
            try:
                self.pids[life] = int(place.read_text())
                watched = os.pidfd_open(self.pids[life])
            except (OSError, ValueError) as error:
                lock = self._lock(life)
                if lock is not None:  # it has ended just now
                    os.close(lock)
                    self.pids.pop(life, None)
                    continue
                raise Unfit(f"a server of life {life} has its lock and can't be found: {error}") from error
            self.group.start_soon(self._watch, life, watched, None)
            self.up_at = boot_now() - self.conf.warm
            found.append(life)
        return found

    def _ask_owner(self) -> None:
        """Which life serves, by its own word."""
        if self.handover is not None and self.keeping.phase == "succeeding":
            owner = read_owner(self.handover)
            if owner is not None and owner[0] == self.keeping.state.heir_life:
                self.up_at = boot_now()
                self.take("served", owner[0])

    async def _spawn(self, life: int, version: Version) -> None:
        lock = self._lock(life)
        if lock is None:
            self.take("unspawned", "a server lives already")
            return
        try:
            pid_place, conf_place, log_place = self._paths(life)
            plate = orjson.loads(self.conf.plate.read_bytes())
            if version.settings:
                told = (self.folder / "settings" / f"{version.settings}.json").read_bytes()
                plate["settings"] = orjson.loads(told)
            conf_place.write_bytes(orjson.dumps(plate))
            env = {**os.environ, "ROUTER_CONFIG": str(conf_place), "ROUTER_RELEASE": version.release,
                   "ROUTER_LIFE": str(life)}  # fmt: skip
            words = [
                "/bin/sh",
                "-c",
                WRAP,
                "sh",
                str(pid_place),
                str(self.releases.path(version.release)),
                RUN,
            ]
            with log_place.open("ab") as log:
                process = await anyio.open_process(
                    words,
                    stdin=None,
                    stdout=log,
                    stderr=log,
                    env=env,
                    pass_fds=(lock,),
                    start_new_session=True,
                )
        except (OSError, Unfit, orjson.JSONDecodeError) as error:
            self.take("unspawned", str(error))
            return
        finally:
            os.close(lock)  # the server has it now, and alone
        self.pids[life] = process.pid
        if self.keeping.phase != "succeeding":
            self.up_at = boot_now()
        for old in pid_place.parent.glob("*.*"):
            if old.stem.isdecimal() and int(old.stem) <= life - LIVES_KEPT and int(old.stem) not in self.pids:
                old.unlink(missing_ok=True)
        try:
            watched = os.pidfd_open(process.pid)
        except ProcessLookupError:  # it has ended and been reaped already
            watched = -1
        self.group.start_soon(self._watch, life, watched, process)
        self.take("spawned", process.pid)

    async def _watch(self, life: int, watched: int, process: Any) -> None:
        """Of a server that another steward started the exit code is not known: -1."""
        if watched >= 0:
            await anyio.wait_readable(watched)
            os.close(watched)
        code = await process.wait() if process is not None else -1
        self.pids.pop(life, None)
        self._ask_owner()  # it may have served before it ended
        self.take("exited", code, life)

    # ---- what is wanted, and what others hear

    async def _poll(self) -> None:
        while True:
            answer = await self.council.ask(Get(want_key(self.name)))
            self.take("reached", isinstance(answer, Got))
            if isinstance(answer, Got) and answer.version:
                with suppress(msgspec.MsgspecError):
                    self.take("want", _want(answer.value))
            await anyio.sleep(POLL)

    async def _tail(self) -> None:
        """Reads what the server says of itself."""
        place, read = Path(), 0
        while True:
            await anyio.sleep(TAIL)
            self._ask_owner()
            current = self._paths(self.keeping.state.life)[2]
            if current != place:
                place, read = current, 0
                # Guards against the figures of one life being taken for those of the next.
                self.figures, self.worth, self.memory = [0] * len(FIGURES), (0, 0), 0
                self.told_life = self.keeping.state.life
            with suppress(OSError):
                size = place.stat().st_size
                if size > LOG_BOUND:
                    os.truncate(place, 0)  # it is appended to
                    read = size = 0
                if size > read:
                    with place.open("rb") as file:
                        file.seek(read)
                        data = file.read(min(size - read, 1 << 20))
                    whole = data.rfind(b"\n") + 1
                    read += whole
                    self._lines(data[:whole])
            self._tell()

    def _lines(self, data: bytes) -> None:
        for line in data.splitlines():
            if b'"figures"' not in line:
                continue
            with suppress(orjson.JSONDecodeError):
                told = orjson.loads(line)
                self.figures = [int(told.get(name, 0)) for name in FIGURES]
                came, done = (int(told.get(name, 0)) for name in WORTH)
                self.worth = came, done
                self.memory = int(told.get("peak_kb", 0))

    def _tell(self) -> None:
        keeping = self.keeping
        running = keeping.state.running or Version()
        up = keeping.serves and keeping.state.life in self.pids
        known = self.told_life == keeping.state.life
        figures = (*self.figures, self.memory) if known else (0,) * (len(FIGURES) + 1)
        facts = Facts(
            running.release if up else "",
            running.settings if up else 0,
            self.member.conf.zone,
            self.born,
            up and boot_now() - self.up_at >= self.conf.warm,
            up,
            (*figures, keeping.crashed_in_all, keeping.state.life),
            self.worth if known else (0, 0),
        )
        for effect in self.member.gossip.take(boot_now(), "tell", facts):
            if effect[0] == "log":
                self.log(effect[1], **effect[2])


def run(conf: Conf, log: Callable[..., None]) -> None:
    anyio.run(StewardService(conf, log).run)
