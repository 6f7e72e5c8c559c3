"""The rollout controller process: while it holds the lease, it watches members and writes records."""

from collections.abc import Callable
from contextlib import suppress

import anyio
import msgspec

from thistleline.config.schema import ProgramConfig, RolloutConfig
from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseRefusedError
from thistleline.lease.session import HeldLease, lease
from thistleline.membership.messages import ALIVE, DEAD, MemberFacts
from thistleline.membership.service import MemberService
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.rollout import effects, events
from thistleline.rollout.controller import RolloutController
from thistleline.rollout.leased_records import LeasedRecords, UndecidedError
from thistleline.rollout.order import ORDER_KEY, Order
from thistleline.rollout.record import LEASE_NAME, RECORD_KEY, RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.rollout.timing import SECOND, RolloutTiming
from thistleline.store.clock import boot_now, wall_ms
from thistleline.supervisor.model import DesiredVersion, Version
from thistleline.supervisor.records import desired_version_key

POLL = 0.2  # s between two observations of the servers' status
LEASE_RETRY_DELAY = 0.5  # s after a lease was lost, before it is requested again
CONTROLLER_RELEASE = "conductor"  # release in a controller's membership record, as it runs no server release

_decode_record = msgspec.msgpack.Decoder(RolloutRecord).decode
_decode_desired = msgspec.msgpack.Decoder(DesiredVersion).decode
_decode_order = msgspec.msgpack.Decoder(Order).decode
encode = msgspec.msgpack.Encoder().encode


class RolloutService:
    """Carries out rollouts while it holds the lease of the active controller."""

    def __init__(self, conf: ProgramConfig, log: Callable[..., None]) -> None:
        """Read the configuration; `run` starts the service."""
        assert conf.members is not None
        assert conf.council is not None
        settings = conf.conductor or RolloutConfig()
        self.timing = RolloutTiming(settings.slot, settings.change, settings.enough, settings.patience)
        self.lease_duration = settings.lease / SECOND  # s
        self.conf = conf
        self.log = log
        self.name = conf.members.name
        self.member = MemberService(conf.members, MemberFacts(CONTROLLER_RELEASE, 0, "", wall_ms()), log)

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            OSError: The member can't listen on its address.
        """
        assert self.conf.council is not None
        async with anyio.create_task_group() as group:
            group.start_soon(self.member.run)
            client = LeaseClient(dict(self.conf.council.voter), group)
            while True:
                try:
                    async with lease(client, LEASE_NAME, self.lease_duration, owner=self.name) as held:
                        self.log("conducts", epoch=held.epoch)
                        await self._lead(client, held)
                except (LeaseLostError, LeaseRefusedError, UndecidedError) as error:
                    self.log("conducts no more", why=str(error))
                    await anyio.sleep(LEASE_RETRY_DELAY)

    async def _lead(self, client: LeaseClient, held: HeldLease) -> None:
        """Continue from the recorded state, for as long as the lease is held.

        Raises:
            UndecidedError: A record could not be read or written.
        """
        records = LeasedRecords(client, held)
        stored = await records.get(RECORD_KEY)
        record = _decode_record(stored) if stored else None
        controller = RolloutController(boot_now(), wall_ms, record, self.timing)
        leadership = _Leadership(self, records, controller)
        while True:
            await leadership.poll()
            await anyio.sleep(POLL)

    def server_statuses(self) -> list[ServerStatus]:
        """Return the status of all members that are servers; rollout controllers are left out."""
        statuses = []
        for record in self.member.records():
            facts = record.facts
            if record.id == self.name or facts.release == CONTROLLER_RELEASE:
                continue
            alive = record.status < DEAD and (record.status == ALIVE or facts.accepting)
            statuses.append(
                ServerStatus(
                    record.id,
                    facts.zone,
                    alive,
                    facts.release,
                    facts.settings,
                    facts.accepting and alive,
                    facts.warm,
                    facts.figures,
                    facts.utility,
                )
            )
        return statuses


class _Leadership:
    """Runs the controller's state machine while this process holds the controller's lease."""

    def __init__(
        self, service: RolloutService, records: LeasedRecords, controller: RolloutController
    ) -> None:
        self.service = service
        self.records = records
        self.controller = controller
        self._recovered: set[str] = set()  # ids of servers whose stored desired version was read

    async def poll(self) -> None:
        """Pass the servers and the current order to the controller, and carry out its effects."""
        servers = self.service.server_statuses()
        pending = self._handle(events.ServersObserved(servers))
        versions = await self._recover_desired_versions(servers)
        if versions:
            pending += self._handle(events.DesiredVersionsRecovered(versions))
        stored_order = await self.records.get(ORDER_KEY)
        if stored_order is not None:
            with suppress(msgspec.MsgspecError):
                pending += self._handle(events.OrderReceived(_decode_order(stored_order)))
        pending += self._handle(DeadlineReached())
        while pending:
            pending += await self._carry_out(pending.pop(0))

    def _handle(self, event: events.Event) -> list[effects.Effect]:
        return self.controller.handle(boot_now(), event)

    async def _recover_desired_versions(self, servers: list[ServerStatus]) -> dict[str, Version]:
        """Return the stored desired versions of servers that were not seen before."""
        versions: dict[str, Version] = {}
        for server in servers:
            if server.id in self._recovered:
                continue
            self._recovered.add(server.id)
            stored = await self.records.get(desired_version_key(server.id))
            if stored is not None:
                versions[server.id] = _decode_desired(stored).version
        return versions

    async def _carry_out(self, effect: effects.Effect) -> list[effects.Effect]:
        """Carry out an effect and return the effects that result from it."""
        match effect:
            case LogEvent(event, fields):
                self.service.log(event, **fields)
            case effects.StoreRecord(record):
                await self.records.put(RECORD_KEY, encode(record))
                return self._handle(events.RecordStored())
            case effects.SetDesiredVersion(server_id, version, restart_token):
                await self._set_desired_version(server_id, version, restart_token)
        return []

    async def _set_desired_version(self, server_id: str, version: Version, restart_token: int) -> None:
        record = self.controller.record
        number = record.number if record is not None else 0
        desired = DesiredVersion(self.records.lease.epoch, number, version, restart_token)
        await self.records.put(desired_version_key(server_id), encode(desired))
        self.service.log("wants", of=server_id, release=version.release, settings=version.settings)
