"""The supervisor as a program: its state on disk, the records it follows, its server's processes, its member.

The state machine decides (`state_machine.py`); here its effects are carried out and events are gathered.
"""

import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec
import orjson

from thistleline.config.schema import ProgramConfig
from thistleline.handover.serving import read_owner
from thistleline.lease.client import LeaseClient
from thistleline.lease.protocol import Get, Got
from thistleline.membership.effects import WriteLog
from thistleline.membership.events import FactsChanged
from thistleline.membership.messages import MemberFacts
from thistleline.membership.service import MemberService
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now, wall_ms
from thistleline.store.latest import LatestValueStore
from thistleline.supervisor import effects, events
from thistleline.supervisor.errors import ReleaseError, SupervisorError
from thistleline.supervisor.model import DesiredVersion, SupervisorState, Version
from thistleline.supervisor.records import desired_version_key, digest_settings, settings_key
from thistleline.supervisor.releases import Releases
from thistleline.supervisor.server_log import ServerLog
from thistleline.supervisor.server_processes import RunningServer, ServerProcesses
from thistleline.supervisor.settings import unfit_settings
from thistleline.supervisor.settings_files import SettingsFiles
from thistleline.supervisor.state_machine import Supervisor

PUBLISH_INTERVAL = 0.1  # s between two looks at what the server says
POLL = 0.25  # s between two reads of the desired version
PERSIST_RETRY = 1.0  # s before a state that could not be written is written again
SETTINGS_TIMEOUT = 5.0  # s for settings to come from the replicated log

_decode_state = msgspec.json.Decoder(SupervisorState).decode
_decode_desired = msgspec.msgpack.Decoder(DesiredVersion).decode


class SupervisorService:
    """Keeps the server of one machine running, in the foreground."""

    def __init__(self, conf: ProgramConfig, log: Callable[..., None]) -> None:
        """Take the folder.

        Raises:
            DiskLockedError: Another supervisor holds it.
            OSError: It can't be used.
        """
        assert conf.steward is not None
        assert conf.members is not None
        assert conf.council is not None
        self.conf = conf.steward
        self.log = log
        self.voters = dict(conf.council.voter)
        folder: Path = conf.steward.folder
        self.latest = LatestValueStore(folder / "state", "steward")
        self.releases = Releases(conf.steward.releases or folder / "releases")
        self.settings = SettingsFiles(folder / "settings")
        self.handover_folder = None if conf.handover is None else conf.handover.folder
        overlapping = self.handover_folder is not None
        self.supervisor = Supervisor(conf.steward.stop, boot_now(), overlapping)
        self.servers = ServerProcesses(folder, conf.steward.plate, self.releases, overlapping)
        self.server_log = ServerLog(self.servers.log_of)
        self.name = conf.members.name
        self.born = wall_ms()
        self.member = MemberService(conf.members, MemberFacts("", 0, conf.members.zone, self.born), log)
        self.serving_since = 0  # boot time, ns
        self._woken = anyio.Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT; the server runs on.

        Raises:
            OSError: The member's address can't be listened on.
            ServerProcessError: A server lives and can't be found.
        """
        async with anyio.create_task_group() as group:
            self.group = group
            self.council = LeaseClient(self.voters, group)
            group.start_soon(self.member.run)
            await self._recover()
            self._check_takeover()
            group.start_soon(self._keep_time)
            group.start_soon(self._poll_desired_version)
            group.start_soon(self._publish_periodically)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

    async def _recover(self) -> None:
        state = _decode_state(self.latest.value) if self.latest.value else SupervisorState()
        alive = []
        async for server in self.servers.find(state.incarnation):
            self.group.start_soon(self._watch, server)
            self.serving_since = boot_now() - self.conf.warm
            alive.append(server.incarnation)
        known = (state.incarnation, state.successor_incarnation)
        self.handle(
            events.StateRecovered(
                state,
                server_alive=state.incarnation in alive,
                successor_alive=state.successor is not None and state.successor_incarnation in alive,
                predecessor=max((one for one in alive if one not in known), default=0),
            )
        )

    def handle(self, event: events.Event) -> None:
        """Give an event to the state machine and carry out what follows."""
        for effect in self.supervisor.handle(boot_now(), event):
            self._carry_out(effect)
        self._woken.set()

    async def _keep_time(self) -> None:
        while True:
            self._woken = anyio.Event()
            with anyio.move_on_after(max(0.0, (self.supervisor.next_deadline() - boot_now()) / 1e9)):
                await self._woken.wait()
                continue
            self.handle(DeadlineReached())

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case LogEvent(event, fields):
                self.log(event, **fields)
            case effects.PublishStatus():
                self._publish()
            case effects.TerminateServer(incarnation):
                self.servers.signal(incarnation, signal.SIGTERM)
            case effects.KillServer(incarnation):
                self.servers.signal(incarnation, signal.SIGKILL)
            case effects.PersistState(state):
                self.group.start_soon(self._persist, state)
            case effects.VerifyVersion(version):
                self.group.start_soon(self._verify, version)
            case effects.SpawnServer(incarnation, version):
                self.group.start_soon(self._spawn, incarnation, version)

    # ---- state and releases

    async def _persist(self, state: SupervisorState) -> None:
        """Try until it is durable: nothing else is done before."""
        while True:
            try:
                await anyio.to_thread.run_sync(self.latest.put, msgspec.json.encode(state))
                break
            except OSError as error:
                self.log("state", why=error.strerror)
                await anyio.sleep(PERSIST_RETRY)
        self.handle(events.StatePersisted())

    async def _verify(self, version: Version) -> None:
        fault = ""
        try:
            await anyio.to_thread.run_sync(self.releases.verify, version.release, version.digest)
            if version.settings:
                await self._verify_settings(version)
        except (ReleaseError, OSError, orjson.JSONDecodeError) as error:
            fault = str(error)
        self.handle(events.VersionVerified(fault))

    async def _verify_settings(self, version: Version) -> None:
        """Fetch the settings of that number unless they are here, and check them.

        Raises:
            ReleaseError: They can't be had, have another content than meant, or don't fit this machine.
        """
        number = version.settings
        if not self.settings.exists(number):
            answer = await self.council.request_until_decided(Get(settings_key(number)), SETTINGS_TIMEOUT)
            if not isinstance(answer, Got) or not answer.version:
                raise ReleaseError(f"settings {number} are not to be had")
            self.settings.write(number, answer.value)
        content = self.settings.read(number)
        if digest_settings(content) != version.settings_digest:
            raise ReleaseError(f"settings {number} have another content here")
        limits = orjson.loads(self.conf.plate.read_bytes()).get("limits")
        fault = unfit_settings(content, limits)
        if fault:
            raise ReleaseError(f"settings {number} can't be taken here: {fault}")

    # ---- the server's process

    async def _spawn(self, incarnation: int, version: Version) -> None:
        try:
            process = await self.servers.start(incarnation, version)
        except (OSError, SupervisorError, orjson.JSONDecodeError) as error:
            self.handle(events.SpawnFailed(str(error)))
            return
        server = self.servers.register(incarnation, process)
        if self.supervisor.phase != "succeeding":
            self.serving_since = boot_now()
        self.group.start_soon(self._watch, server)
        self.handle(events.ServerSpawned(process.pid))

    async def _watch(self, server: RunningServer) -> None:
        code = await server.wait()
        self.servers.pids.pop(server.incarnation, None)
        self._check_takeover()  # it may have served before it ended
        self.handle(events.ServerExited(code, server.incarnation))

    def _check_takeover(self) -> None:
        """See whether the successor says that it serves."""
        if self.handover_folder is None or self.supervisor.phase != "succeeding":
            return
        owner = read_owner(self.handover_folder)
        if owner is not None and owner[0] == self.supervisor.state.successor_incarnation:
            self.serving_since = boot_now()
            self.handle(events.ServerReady(owner[0]))

    # ---- the desired version, and what other members hear

    async def _poll_desired_version(self) -> None:
        while True:
            answer = await self.council.request(Get(desired_version_key(self.name)))
            self.handle(events.ConsensusPolled(isinstance(answer, Got)))
            if isinstance(answer, Got) and answer.version:
                with suppress(msgspec.MsgspecError):
                    self.handle(events.DesiredVersionReceived(_decode_desired(answer.value)))
            await anyio.sleep(POLL)

    async def _publish_periodically(self) -> None:
        while True:
            await anyio.sleep(PUBLISH_INTERVAL)
            self._check_takeover()
            self.server_log.poll(self.supervisor.state.incarnation)
            self._publish()

    def _publish(self) -> None:
        """Tell the other members what runs here and how it does."""
        supervisor = self.supervisor
        incarnation = supervisor.state.incarnation
        running = supervisor.state.running or Version()
        up = supervisor.serves and incarnation in self.servers.pids
        facts = MemberFacts(
            running.release if up else "",
            running.settings if up else 0,
            self.member.config.zone,
            self.born,
            up and boot_now() - self.serving_since >= self.conf.warm,
            up,
            (*self.server_log.figures_of(incarnation), supervisor.crashes.total, incarnation),
            self.server_log.value_of(incarnation),
        )
        for effect in self.member.gossip.handle(boot_now(), FactsChanged(facts)):
            if isinstance(effect, WriteLog):
                self.log(effect.event, **effect.fields)


def run(conf: ProgramConfig, log: Callable[..., None]) -> None:
    """Run a supervisor until it is signalled; raises as `SupervisorService` does."""
    anyio.run(SupervisorService(conf, log).run)
