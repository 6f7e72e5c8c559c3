"""The takeover before a server serves: from the running server, or, without one, from the ledger's folder."""

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

# Durations in seconds.
RETRY_DELAY = 0.2  # after the predecessor postponed the handover, before the next request for it
LEDGER_TIMEOUT = 3.0  # maximum wait for the ledger's lock, which a server that has just died may still hold
LEDGER_RETRY_DELAY = 0.02
RESUME_TIMEOUT = 1.0  # maximum wait for the answer of a server that has handed over and lost its successor

SOCKET_NAME = "heir.sock"  # where the serving process listens for its successor
HANDED_OVER_SOCKET_PATTERN = "elder-*.sock"  # sockets of servers that have handed over and still run


class Takeover:
    """One takeover by a server that starts.

    Attributes:
        predecessor: The channel to the predecessor; None without a predecessor.
        grant: The message by which the predecessor handed over; None before that or without a predecessor.
    """

    def __init__(
        self, folder: Path, store: LedgerStore, ledger: LedgerState, log: Callable[..., None]
    ) -> None:
        """Create a takeover that has no predecessor yet.

        Args:
            folder: The handover folder, which the servers of this machine share.
            store: Reads the ledger.
            ledger: The ledger that the records are merged into.
            log: Logs an event with its fields.
        """
        self.predecessor: HandoverChannel | None = None
        self.grant: Grant | None = None
        self._folder = folder
        self._store = store
        self._ledger = ledger
        self._log = log
        self._read_positions: dict[int, int] = {}  # offset of the first unread byte by segment

    async def run(self) -> socket.socket | None:
        """Take over from the running server, or start without one; afterwards the ledger is locked.

        Returns:
            The listening socket, if it was handed over.

        Raises:
            ConfigurationError: The running server refuses the handover, or the ledger can't be locked.
        """
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        listener: socket.socket | None = None
        failure: ConfigurationError | None = None
        async with anyio.create_task_group() as group:
            try:
                sock = channels.connect(self._folder / SOCKET_NAME)
                if sock is not None:
                    listener = await self._take_over(HandoverChannel(sock, group))
                if self.grant is None:
                    await self._start_without_running_server(group)
            except ConfigurationError as error:
                failure = error
        if failure is not None:
            raise failure
        return listener

    def read_remaining(self) -> list[RecoveredEffect]:
        """Read the remaining records of the ledger, to which no other process writes any more; blocks.

        Returns:
            The effects (runs with an idempotency key) that have not expired.

        Raises:
            ConfigurationError: The ledger can't be read.
        """
        try:
            self._store.read_appended(self._ledger, self._read_positions, True, boot_now())
        except (CorruptFrameError, OSError) as error:
            raise ConfigurationError(f"the ledger can't be read: {error}") from error
        return self._ledger.recovered_effects(self._store.stages.own_count)

    # ---- from a running server

    async def _take_over(self, channel: HandoverChannel) -> socket.socket | None:
        """Read the ledger and request the handover; return the listening socket if it is handed over.

        If the predecessor dies before the handover, nothing is inherited.

        Raises:
            ConfigurationError: The predecessor refuses, or sends an invalid message.
        """
        try:
            message = await self._request_handover(channel)
        except (ProtocolError, msgspec.MsgspecError) as error:
            raise ConfigurationError(f"invalid message from the running server: {error}") from error
        if not isinstance(message, Grant):
            channel.close()
            return None
        self.predecessor = channel
        self.grant = message
        return self._take_descriptors(channel, message)

    async def _request_handover(self, channel: HandoverChannel) -> Message | None:
        """Request the handover until the predecessor no longer postpones it; return its last message."""
        channel.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        message = await channel.receive()
        if isinstance(message, Refused):
            raise ConfigurationError(f"the running server refused the handover: {message.reason}")
        while isinstance(message, Welcome | Postponed):
            if isinstance(message, Postponed):
                self._log("succession", state="later", why=message.reason)
                await anyio.sleep(RETRY_DELAY)
            await anyio.to_thread.run_sync(self._read_appended)
            channel.send(Ready())
            message = await channel.receive()
        return message

    def _read_appended(self) -> None:
        """Read the records that the predecessor has appended to the ledger since the last call."""
        with suppress(OSError):
            self._store.read_appended(self._ledger, self._read_positions, False, boot_now())

    def _take_descriptors(self, channel: HandoverChannel, grant: Grant) -> socket.socket | None:
        """Take the ledger's lock and the listening socket if they are attached to the grant."""
        descriptors = list(channel.descriptors)
        channel.descriptors.clear()
        if grant.has_lock:
            self._store.disk.lock_fd = descriptors.pop(0)
        if not grant.has_listener:
            return None
        listener = socket.socket(fileno=descriptors.pop(0))
        listener.setblocking(False)
        return listener

    # ---- from the ledger's folder

    async def _start_without_running_server(self, group: TaskGroup) -> None:
        """Lock the ledger, and resume the handover of a server whose successor is gone, if there is one.

        Raises:
            ConfigurationError: The ledger can't be locked.
        """
        await self._lock_ledger()
        for path in sorted(self._folder.glob(HANDED_OVER_SOCKET_PATTERN)):
            sock = channels.connect(path)
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

    async def _lock_ledger(self) -> None:
        deadline = time.monotonic() + LEDGER_TIMEOUT
        while True:
            try:
                lock_ledger(self._store.disk)
                return
            except ConfigurationError:
                if time.monotonic() > deadline:
                    raise
            await anyio.sleep(LEDGER_RETRY_DELAY)

    async def _resume(self, channel: HandoverChannel) -> Message | None:
        """Request another grant from a server that has already handed over; return its last message."""
        channel.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        message: Message | None = None
        with suppress(ProtocolError, msgspec.MsgspecError), anyio.move_on_after(RESUME_TIMEOUT):
            message = await channel.receive()
            while isinstance(message, Welcome):
                channel.send(Ready())
                message = await channel.receive()
        return message
