"""A conductor as a program: under its lease it sees members, and writes wants and the roll to the council."""

from collections.abc import Callable
from contextlib import suppress

import anyio
import msgspec

from thistleline.config.schema import ProgramConfig, RolloutConfig
from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseRefusedError
from thistleline.lease.protocol import Denied, Done, Get, Got, Put, Unavailable
from thistleline.lease.session import HeldLease, lease
from thistleline.membership.messages import ALIVE, DEAD, MemberFacts
from thistleline.membership.service import MemberService
from thistleline.rollout.controller import Conducting, Spans
from thistleline.rollout.record import KEY, LEASE, ORDER_KEY, Order, Roll, Seen
from thistleline.store.clock import boot_now, wall_ms
from thistleline.supervisor.decisions import Version, Want
from thistleline.supervisor.service import want_key

POLL = 0.2  # s
SPAN = 8.0  # s in which the council has to decide a write, else the lease is given back

_roll = msgspec.msgpack.Decoder(Roll).decode
_want = msgspec.msgpack.Decoder(Want).decode
_order = msgspec.msgpack.Decoder(Order).decode
encode = msgspec.msgpack.Encoder().encode


class Undecided(Exception):
    """Nothing is known of a write: all begins anew from what the council has."""


class Records:
    """Records of the council under a lease. A write that is there already costs nothing."""

    def __init__(self, council: LeaseClient, held: HeldLease) -> None:
        self.council, self.held = council, held
        self.versions: dict[str, int] = {}

    async def get(self, key: str) -> bytes | None:
        answer = await self.council.request_until_decided(Get(key), SPAN)
        if not isinstance(answer, Got):
            raise Undecided(str(answer))
        self.versions[key] = answer.version
        return answer.value if answer.version else None

    async def put(self, key: str, value: bytes) -> None:
        """Raises Undecided."""
        for _ in range(3):
            if key not in self.versions and await self.get(key) == value:
                return
            told = Put(key, value, self.versions[key], LEASE, self.held.epoch)
            answer = await self.council.request_until_decided(told, SPAN)
            if isinstance(answer, Done):
                self.versions[key] = answer.version
                return
            del self.versions[key]
            if isinstance(answer, Unavailable) or (isinstance(answer, Denied) and "epoch" in answer.reason):
                break
        raise Undecided(f"{key}: {answer}")


class ConductorService:
    def __init__(self, conf: ProgramConfig, log: Callable[..., None]) -> None:
        assert conf.members is not None
        assert conf.council is not None
        told = conf.conductor or RolloutConfig()
        self.spans = Spans(told.slot, told.change, told.enough, told.patience)
        self.length = told.lease / 1e9
        self.conf, self.log = conf, log
        self.name = conf.members.name
        self.member = MemberService(conf.members, MemberFacts("conductor", 0, "", wall_ms()), log)

    async def run(self) -> None:
        """Until it is cancelled. Raises OSError where it can't listen."""
        assert self.conf.council is not None
        async with anyio.create_task_group() as group:
            group.start_soon(self.member.run)
            council = LeaseClient(dict(self.conf.council.voter), group)
            while True:
                try:
                    async with lease(council, LEASE, self.length, owner=self.name) as held:
                        self.log("conducts", epoch=held.epoch)
                        await self._conduct(council, held)
                except (LeaseLostError, LeaseRefusedError, Undecided) as error:
                    self.log("conducts no more", why=str(error))
                    await anyio.sleep(0.5)

    async def _conduct(self, council: LeaseClient, held: HeldLease) -> None:
        records = Records(council, held)
        known = await records.get(KEY)
        conducting = Conducting(boot_now(), wall_ms, _roll(known) if known else None, self.spans)
        asked: set[str] = set()
        while True:
            seen = self.seen()
            effects = conducting.take(boot_now(), "seen", seen)
            wants: dict[str, Version] = {}
            for one in seen:
                if one.id not in asked:
                    asked.add(one.id)
                    known = await records.get(want_key(one.id))
                    if known is not None:
                        wants[one.id] = _want(known).version
            if wants:
                effects += conducting.take(boot_now(), "wanted", wants)
            told = await records.get(ORDER_KEY)
            if told is not None:
                with suppress(msgspec.MsgspecError):
                    effects += conducting.take(boot_now(), "order", _order(told))
            effects += conducting.take(boot_now(), "elapsed")
            while effects:
                effect = effects.pop(0)
                if effect[0] == "log":
                    self.log(effect[1], **effect[2])
                elif effect[0] == "record":
                    await records.put(KEY, encode(effect[1]))
                    effects += conducting.take(boot_now(), "recorded")
                elif effect[0] == "want":
                    await self._want(records, held, conducting, *effect[1:])
            await anyio.sleep(POLL)

    async def _want(
        self, records: Records, held: HeldLease, conducting: Conducting, id: str, version: Version, turn: int
    ) -> None:
        number = conducting.roll.number if conducting.roll is not None else 0
        await records.put(want_key(id), encode(Want(held.epoch, number, version, turn)))
        self.log("wants", of=id, release=version.release, settings=version.settings)

    def seen(self) -> list[Seen]:
        """Servers; whoever says that it runs none, and never did, is none."""
        found = []
        for word in self.member.records():
            facts = word.facts
            if word.id != self.name and facts.release != "conductor":
                alive = word.status < DEAD and (word.status == ALIVE or facts.accepting)
                found.append(
                    Seen(word.id, facts.zone, alive, facts.release, facts.settings, facts.accepting and alive,
                         facts.warm, facts.figures, facts.utility)
                )  # fmt: skip
        return found
