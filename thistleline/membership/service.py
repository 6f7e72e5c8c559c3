"""Runs a member, alone or as a part of a program: the gossip state machine with a UDP socket and a clock."""

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from random import Random

import anyio
from anyio.abc import UDPSocket

from thistleline.config.schema import MembershipConfig
from thistleline.membership.effects import GossipEffect, SendMessage, WriteLog
from thistleline.membership.events import LeaveRequested, MessageReceived
from thistleline.membership.gossip import Gossip, GossipTiming
from thistleline.membership.messages import (
    BucketRecords,
    InvalidDatagramError,
    Join,
    MemberFacts,
    MemberRecord,
    Message,
    decode,
    encode,
)
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now, wall_ms
from thistleline.transport.address import Address, format_address, parse_address

STALL_THRESHOLD = (
    200_000_000  # ns; after a longer pause the waiting datagrams are read before deadlines are checked
)
READ_TURNS = 8  # turns of the event loop in which datagrams are read after such a pause
LEAVE_TIMEOUT = 1.0  # s to announce that this member leaves, at the end of the process


class MemberService:
    """Runs one member."""

    def __init__(self, config: MembershipConfig, facts: MemberFacts, log: Callable[..., None]) -> None:
        """Create the member; `run` opens its socket.

        Args:
            config: The member's name, address, seeds and probe period.
            facts: Facts that the member publishes about itself at the start.
            log: Called with an event and its fields.
        """
        self.config = config
        self.log = log
        self.rng = Random(os.urandom(8))
        self.gossip = Gossip(
            id=config.name,
            address=format_address(config.listen),
            incarnation=wall_ms(),
            facts=facts,
            seeds=tuple(format_address(address) for address in config.seed.values()),
            now=boot_now(),
            timing=GossipTiming(period=config.period, ack_timeout=config.period * 3 // 10),
            rng=self.rng,
        )
        self.received: list[MessageReceived] = []
        self.woken = anyio.Event()
        self.socket: UDPSocket | None = None

    def records(self) -> list[MemberRecord]:
        """Return the known records of all members."""
        return list(self.gossip.view.records.values())

    async def run(self) -> None:
        """Run until cancelled, then announce to other members that this one leaves.

        Raises:
            OSError: The address can't be listened on.
        """
        host, port = self.config.listen
        socket = await anyio.create_udp_socket(local_host=host, local_port=port)
        async with socket, anyio.create_task_group() as group:
            self.socket = socket
            group.start_soon(self._read, socket)
            self.log("started", id=self.config.name, listen=format_address(self.config.listen))
            try:
                await self._run_gossip(socket)
            finally:
                with anyio.CancelScope(shield=True), anyio.move_on_after(LEAVE_TIMEOUT):
                    await self._carry_out(socket, self.gossip.handle(boot_now(), LeaveRequested()))
                    self.log("left", id=self.config.name)

    async def _read(self, socket: UDPSocket) -> None:
        async for data, sender in socket:
            # Anyone may send a datagram to this address; datagrams that are not valid messages are ignored.
            with suppress(InvalidDatagramError):
                self.received.append(MessageReceived(format_address(sender), decode(data)))
                self.woken.set()

    async def _run_gossip(self, socket: UDPSocket) -> None:
        last_iteration = boot_now()
        while True:
            await self._wait()
            stalled = boot_now() - last_iteration > STALL_THRESHOLD + self.config.period
            for _ in range(READ_TURNS if stalled else 1):
                await anyio.lowlevel.checkpoint()
            last_iteration = now = boot_now()
            received, self.received = self.received, []
            effects: list[GossipEffect] = []
            for event in received:
                effects += self.gossip.handle(now, event)
            if self.gossip.next_deadline() <= boot_now():
                effects += self.gossip.handle(boot_now(), DeadlineReached())
            await self._carry_out(socket, effects)

    async def _wait(self) -> None:
        """Wait for a datagram or the next deadline."""
        if self.received:
            return
        self.woken = anyio.Event()
        with anyio.move_on_after(max(0.0, (self.gossip.next_deadline() - boot_now()) / 1e9)):
            await self.woken.wait()

    async def _carry_out(self, socket: UDPSocket, effects: list[GossipEffect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage(address, message):
                    # An unreachable or invalid address counts as a lost datagram.
                    with suppress(OSError, ValueError):
                        await socket.sendto(encode(message), *parse_address(address))
                case WriteLog(event, fields):
                    self.log(event, **fields)


def run(config: MembershipConfig, facts: MemberFacts, log: Callable[..., None]) -> None:
    """Run a member by itself, in the foreground, until SIGTERM or SIGINT."""

    async def main() -> None:
        service = MemberService(config, facts, log)
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

    anyio.run(main)


async def fetch_records(address: Address, timeout: float) -> list[MemberRecord]:
    """Return the records of all members that the member at `address` sends within `timeout` seconds."""
    found: dict[str, MemberRecord] = {}
    async with await anyio.create_connected_udp_socket(*address) as socket:
        with anyio.move_on_after(timeout), suppress(OSError):
            await socket.send(encode(Join(())))
            while True:
                message: Message | None = None
                data = await socket.receive()
                with suppress(InvalidDatagramError):
                    message = decode(data)
                if isinstance(message, BucketRecords):
                    found |= {record.id: record for record in message.records}
    return sorted(found.values(), key=lambda record: record.id)
