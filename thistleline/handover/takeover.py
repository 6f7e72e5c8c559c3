"""How a server takes over, before it serves: from the one that runs on its machine, or from the folder."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from thistleline.durable.writer import lock_ledger
from thistleline.handover import channel as channels
from thistleline.handover.channel import HandoverChannel
from thistleline.handover.messages import Grant, Hello, Message, Postponed, Ready, Refused, Welcome
from thistleline.ledger import format as ledger_format
from thistleline.ledger.records import RecoveredEffect
from thistleline.ledger.state import LedgerState
from thistleline.ledger.store import LedgerStore
from thistleline.server.configuration import ConfigurationError
from thistleline.store.clock import boot_now
from thistleline.store.frames import CorruptFrameError
from thistleline.transport.codec import ProtocolError

# Seconds.
RETRY_DELAY = 0.2  # after a postponement, before the successor asks again
LEDGER_TIMEOUT = 3.0  # in which the ledger of a server that has just died comes free
LEDGER_RETRY_DELAY = 0.02
RESUME_TIMEOUT = 1.0  # for the answer of one that handed over to a server that is gone

SOCKET_NAME = "heir.sock"  # where the server that serves awaits its successor
HANDED_SOCKET_NAMES = "elder-*.sock"  # of servers that have handed over and are not gone


class Takeover:
    """One takeover.

    Attributes:
        predecessor: The channel to it, None where there is none.
        grant: What it handed over.
    """

    def __init__(
        self, folder: Path, store: LedgerStore, ledger: LedgerState, log: Callable[..., None]
    ) -> None:
        """Begin without a predecessor.

        Args:
            folder: Where servers of this machine find each other.
            store: Reads the ledger.
            ledger: Takes what is read.
            log: Takes an event and its facts.
        """
        self.predecessor: HandoverChannel | None = None
        self.grant: Grant | None = None
        self._folder = folder
        self._store = store
        self._ledger = ledger
        self._log = log
        self._read_positions: dict[int, int] = {}  # how far each segment of the ledger was read

    async def run(self) -> socket.socket | None:
        """Follow the server that runs here, or begin where none does; the ledger is had then.

        Returns:
            The listening socket, where it was handed over.

        Raises:
            ConfigurationError: The server that runs does not hand over, or the ledger can't be had.
        """
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        listener: socket.socket | None = None
        failure: ConfigurationError | None = None
        async with anyio.create_task_group() as group:
            try:
                sock = channels.reach(self._folder / SOCKET_NAME)
                if sock is not None:
                    listener = await self._follow(HandoverChannel(sock, group))
                if self.grant is None:
                    await self._begin(group)
            except ConfigurationError as error:
                failure = error
        if failure is not None:
            raise failure
        return listener

    def read_rest(self) -> list[RecoveredEffect]:
        """Read the rest of the ledger, which nobody else writes any more; blocks.

        Returns:
            The effects that still matter.

        Raises:
            ConfigurationError: The ledger can't be read.
        """
        try:
            self._store.read_appended(self._ledger, self._read_positions, True, boot_now())
        except (CorruptFrameError, OSError) as error:
            raise ConfigurationError(f"the ledger can't be read: {error}") from error
        return list(self._ledger.recovered_effects())

    # ---- from the server that runs

    async def _follow(self, channel: HandoverChannel) -> socket.socket | None:
        """Read what it will have, and ask for it; return the listening socket where that goes over.

        Nothing is inherited where the predecessor died before it handed over.

        Raises:
            ConfigurationError: The predecessor refuses, or can't be understood.
        """
        try:
            message = await self._request_handover(channel)
        except (ProtocolError, msgspec.MsgspecError) as error:
            raise ConfigurationError(f"the server that runs here can't be understood: {error}") from error
        if not isinstance(message, Grant):
            channel.close()
            return None
        self.predecessor = channel
        self.grant = message
        return self._take_descriptors(channel, message)

    async def _request_handover(self, channel: HandoverChannel) -> Message | None:
        """Ask until the predecessor hands over; return its last message."""
        channel.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        message = await channel.receive()
        if isinstance(message, Refused):
            raise ConfigurationError(f"the server that runs here does not hand over: {message.reason}")
        while isinstance(message, Welcome | Postponed):
            if isinstance(message, Postponed):
                self._log("succession", state="later", why=message.reason)
                await anyio.sleep(RETRY_DELAY)
            await anyio.to_thread.run_sync(self._read_some)
            channel.send(Ready())
            message = await channel.receive()
        return message

    def _read_some(self) -> None:
        """Read what the predecessor has written to the ledger since the last time."""
        with suppress(OSError):
            self._store.read_appended(self._ledger, self._read_positions, False, boot_now())

    def _take_descriptors(self, channel: HandoverChannel, grant: Grant) -> socket.socket | None:
        """Take the ledger's lock and the listening socket, where they came with the grant."""
        descriptors = list(channel.descriptors)
        channel.descriptors.clear()
        if grant.has_lock:
            self._store.disk.lock_fd = descriptors.pop(0)
        if not grant.has_listener:
            return None
        listener = socket.socket(fileno=descriptors.pop(0))
        listener.setblocking(False)
        return listener

    # ---- from the folder

    async def _begin(self, group: TaskGroup) -> None:
        """Begin with nobody to follow, but for one that handed over to a server that is gone.

        Raises:
            ConfigurationError: The ledger can't be had.
        """
        await self._hold_ledger()
        for path in sorted(self._folder.glob(HANDED_SOCKET_NAMES)):
            sock = channels.reach(path)
            if sock is None:
                path.unlink(missing_ok=True)
                continue
            channel = HandoverChannel(sock, group)
            message = await self._resume(channel)
            if isinstance(message, Grant) and self.predecessor is None:
                self.predecessor = channel
                self.grant = message
            else:
                channel.close()

    async def _hold_ledger(self) -> None:
        give_up_at = time.monotonic() + LEDGER_TIMEOUT
        while True:
            try:
                lock_ledger(self._store.disk)
                return
            except ConfigurationError:
                if time.monotonic() > give_up_at:
                    raise
            await anyio.sleep(LEDGER_RETRY_DELAY)

    async def _resume(self, channel: HandoverChannel) -> Message | None:
        """Ask one that has handed over before for what is left; return its last message."""
        channel.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        message: Message | None = None
        with suppress(ProtocolError, msgspec.MsgspecError), anyio.move_on_after(RESUME_TIMEOUT):
            message = await channel.receive()
            while isinstance(message, Welcome):
                channel.send(Ready())
                message = await channel.receive()
        return message
