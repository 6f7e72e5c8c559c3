"""The supervisor process: persistence, polling of the replicated log, server processes and group membership.

The state machine (`state_machine.py`) decides; this module carries out its effects and feeds it events.
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

PUBLISH_INTERVAL = 0.1  # s between two reads of the server log and updates of the published facts
POLL = 0.25  # s between two reads of the desired version
PERSIST_RETRY_DELAY = 1.0  # s before a failed write of the state is retried
SETTINGS_TIMEOUT = 5.0  # s, for reading settings from the replicated log

_decode_state = msgspec.json.Decoder(SupervisorState).decode
_decode_desired = msgspec.msgpack.Decoder(DesiredVersion).decode


class SupervisorService:
    """Keeps the server of one machine running; the service itself runs in the foreground."""

    def __init__(self, conf: ProgramConfig, log: Callable[..., None]) -> None:
        """Open and lock the state folder.

        Raises:
            DiskLockedError: Another supervisor holds the lock.
            OSError: The folder can't be used.
        """
        assert conf.steward is not None
        assert conf.members is not None
        assert conf.council is not None
        self.conf = conf.steward
        self.log = log
        self.voters = dict(conf.council.voter)
        folder: Path = conf.steward.folder
        self.state_store = LatestValueStore(folder / "state", "steward")
        self.releases = Releases(conf.steward.releases or folder / "releases")
        self.settings = SettingsFiles(folder / "settings")
        self.handover_folder = None if conf.handover is None else conf.handover.folder
        overlapping = self.handover_folder is not None
        self.supervisor = Supervisor(conf.steward.stop, boot_now(), overlapping)
        self.servers = ServerProcesses(folder, conf.steward.plate, self.releases, overlapping)
        self.server_log = ServerLog(self.servers.log_of)
        self.name = conf.members.name
        self.started_wall_ms = wall_ms()
        self.member = MemberService(
            conf.members, MemberFacts("", 0, conf.members.zone, self.started_wall_ms), log
        )
        self.serving_since = 0  # boot time at which the server began to serve, ns
        self._wakeup = anyio.Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT; the server keeps running afterwards.

        Raises:
            OSError: The member can't listen on its address.
            ServerProcessError: A server is running, but its process can't be found.
        """
        async with anyio.create_task_group() as group:
            self.group = group
            self.consensus_client = LeaseClient(self.voters, group)
            group.start_soon(self.member.run)
            await self._recover()
            self._check_takeover()
            group.start_soon(self._run_timer)
            group.start_soon(self._poll_desired_version)
            group.start_soon(self._publish_periodically)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

    async def _recover(self) -> None:
        state = _decode_state(self.state_store.value) if self.state_store.value else SupervisorState()
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
                predecessor=max((number for number in alive if number not in known), default=0),
            )
        )

    def handle(self, event: events.Event) -> None:
        """Pass an event to the state machine and carry out the effects."""
        for effect in self.supervisor.handle(boot_now(), event):
            self._carry_out(effect)
        self._wakeup.set()

    async def _run_timer(self) -> None:
        while True:
            self._wakeup = anyio.Event()
            with anyio.move_on_after(max(0.0, (self.supervisor.next_deadline() - boot_now()) / 1e9)):
                await self._wakeup.wait()
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
        """Retry until the state is durable; the state machine does not proceed before that."""
        while True:
            try:
                await anyio.to_thread.run_sync(self.state_store.put, msgspec.json.encode(state))
                break
            except OSError as error:
                self.log("state", why=error.strerror)
                await anyio.sleep(PERSIST_RETRY_DELAY)
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
        """Fetch the settings of the version unless they are stored locally, and check them.

        Raises:
            ReleaseError: They can't be fetched, have a different digest, or don't fit this server.
        """
        number = version.settings
        if not self.settings.exists(number):
            answer = await self.consensus_client.request_until_decided(
                Get(settings_key(number)), SETTINGS_TIMEOUT
            )
            if not isinstance(answer, Got) or not answer.version:
                raise ReleaseError(f"settings {number} can't be read from the replicated log")
            self.settings.write(number, answer.value)
        content = self.settings.read(number)
        if digest_settings(content) != version.settings_digest:
            raise ReleaseError(f"the local copy of settings {number} has a different digest")
        limits = orjson.loads(self.conf.plate.read_bytes()).get("limits")
        fault = unfit_settings(content, limits)
        if fault:
            raise ReleaseError(f"settings {number} don't fit this server: {fault}")

    # ---- server process

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
        self._check_takeover()  # the server may have started serving before it ended
        self.handle(events.ServerExited(code, server.incarnation))

    def _check_takeover(self) -> None:
        """Check whether the successor has recorded that it serves."""
        if self.handover_folder is None or self.supervisor.phase != "succeeding":
            return
        owner = read_owner(self.handover_folder)
        if owner is not None and owner[0] == self.supervisor.state.successor_incarnation:
            self.serving_since = boot_now()
            self.handle(events.ServerReady(owner[0]))

    # ---- desired version and published facts

    async def _poll_desired_version(self) -> None:
        while True:
            answer = await self.consensus_client.request(Get(desired_version_key(self.name)))
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
        """Publish the running version, the server's state and the server's metrics to the other members."""
        supervisor = self.supervisor
        incarnation = supervisor.state.incarnation
        running = supervisor.state.running or Version()
        up = supervisor.serves and incarnation in self.servers.pids
        facts = MemberFacts(
            running.release if up else "",
            running.settings if up else 0,
            self.member.config.zone,
            self.started_wall_ms,
            up and boot_now() - self.serving_since >= self.conf.warm,
            up,
            (*self.server_log.figures_of(incarnation), supervisor.crashes.total, incarnation),
            self.server_log.value_of(incarnation),
        )
        for effect in self.member.gossip.handle(boot_now(), FactsChanged(facts)):
            if isinstance(effect, WriteLog):
                self.log(effect.event, **effect.fields)


def run(conf: ProgramConfig, log: Callable[..., None]) -> None:
    """Run a supervisor until SIGTERM or SIGINT; raises the same errors as `SupervisorService`."""
    anyio.run(SupervisorService(conf, log).run)
