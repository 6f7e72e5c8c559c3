"""The connection to the back end, the dependency that runs call; opened when a call needs a connection."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.server.configuration import Address
from thistleline.server.streams import ReconnectBackoff, Stream
from thistleline.state.effects import CancelCall, StartCall
from thistleline.state.events import CallCompleted
from thistleline.wire import backend
from thistleline.wire.lines import BUFFER_SIZE

MAX_UNWRITTEN = 4 * 1024 * 1024  # bytes
CONNECT_TIMEOUT = 1.0  # s, timeout of the first connection attempt; a call that waits has its own timeout
MAX_CONNECT_TIMEOUT = 16.0  # s, the most to which the timeout grows
# Delays after a failed connection attempt, in s, indexed by the number of consecutive failures; the last
# delay is used for all higher numbers.
RECONNECT_DELAYS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4)


class BackendConnection:
    """One connection and the calls that are in flight on it."""

    def __init__(self, stream: Stream) -> None:
        """Start without calls."""
        self.stream = stream
        self.in_flight: set[str] = set()
        self.cancelled: set[str] = set()  # attempt ids of calls whose result may still arrive


class BackendLink:
    """Opens connections to the back end and tracks the calls on them, by attempt id."""

    def __init__(
        self, address: Address | None, handle: Callable[[CallCompleted], None], group: TaskGroup
    ) -> None:
        """Start without a connection.

        Args:
            address: Where the back end listens; None if the configuration names no back end.
            handle: Receives the outcomes of calls.
            group: Runs the readers of the connections.
        """
        self.address = address
        self._handle = handle
        self._group = group
        self._backoff = ReconnectBackoff(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
        self._pending: dict[str, StartCall] = {}  # calls that wait for a connection
        self._wanted = anyio.Event()
        self._current: BackendConnection | None = None
        self._calls: dict[str, BackendConnection] = {}

    def set_address(self, address: Address | None) -> None:
        """Send new calls to another address; calls in flight may complete on their connections."""
        if address != self.address:
            self.address = address
            self._backoff = ReconnectBackoff(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
            self._retire()

    def _retire(self) -> None:
        """Use a new connection for the next call; calls in flight may complete on the current one."""
        retired = self._current
        self._current = None
        if retired is not None and not retired.in_flight:
            retired.stream.close()

    async def run(self) -> None:
        """Open a connection whenever a call waits for one."""
        failures = 0
        while True:
            self._wanted = anyio.Event()
            if not self._pending:
                await self._wanted.wait()
            if self._current is not None:
                self._send_pending()
            elif await self._connect():
                failures = 0
            else:
                await anyio.sleep(RECONNECT_DELAYS[min(failures, len(RECONNECT_DELAYS) - 1)])
                failures += 1

    async def _connect(self) -> bool:
        """Open a connection and send the pending calls; return False if no connection could be opened.

        In that case none of the pending calls has run, and each is reported as "unreachable".
        """
        address = self.address
        try:
            if address is None:
                raise OSError("the configuration names no back end")
            sock = await self._backoff.connect(address)
            stream = Stream(sock, self._group, BUFFER_SIZE, MAX_UNWRITTEN)
        except (OSError, TimeoutError):
            pending = self._pending
            self._pending = {}
            for attempt_id in pending:
                self._handle(CallCompleted(attempt_id, "unreachable", b""))
            return False
        if address != self.address:
            stream.close()
            return True
        self._current = BackendConnection(stream)
        self._group.start_soon(self._serve, self._current)
        self._send_pending()
        return True

    def _send_pending(self) -> None:
        pending = self._pending
        self._pending = {}
        for call in pending.values():
            self._start_call(call)
        self.flush()

    async def _serve(self, connection: BackendConnection) -> None:
        """Read one connection until it ends; an error ends only that connection."""
        try:
            while True:
                connection.stream.request_read()
                if not await connection.stream.read():
                    break
                for end in backend.decode_call_ends(connection.stream.buffer):
                    self._call_ended(connection, end)
                if connection is not self._current and not connection.in_flight:
                    break
        except Exception:
            pass  # the calls in flight are completed as aborted below
        finally:
            if self._current is connection:
                self._current = None
            connection.stream.close()
            for attempt_id in list(connection.in_flight):
                self._remove_call(connection, attempt_id)
                self._handle(CallCompleted(attempt_id, "aborted", b""))

    def _call_ended(self, connection: BackendConnection, end: backend.CallEnded) -> None:
        connection.cancelled.discard(end.task_id)
        if end.task_id in connection.in_flight:
            self._remove_call(connection, end.task_id)
            self._handle(CallCompleted(end.task_id, end.outcome, end.result))

    def _remove_call(self, connection: BackendConnection, attempt_id: str) -> None:
        connection.in_flight.discard(attempt_id)
        if self._calls.get(attempt_id) is connection:
            del self._calls[attempt_id]

    # ---- effects

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each class of effect."""
        return {StartCall: self._start_call, CancelCall: self._cancel_call}

    def _start_call(self, effect: StartCall) -> None:
        attempt_id = effect.attempt_id
        if self._current is not None and attempt_id in self._current.cancelled:
            self._retire()  # the result of the cancelled call has the same id and may still arrive
        if self._current is None or self._current.stream.closed:
            self._pending[attempt_id] = effect
            self._wanted.set()
        else:
            self._current.stream.write(backend.encode_call(attempt_id, effect.timeout, effect.body))
            self._current.in_flight.add(attempt_id)
            self._calls[attempt_id] = self._current

    def _cancel_call(self, effect: CancelCall) -> None:
        attempt_id = effect.attempt_id
        self._pending.pop(attempt_id, None)
        connection = self._calls.get(attempt_id)
        if connection is not None:
            connection.stream.write(backend.encode_cancel(attempt_id))
            connection.cancelled.add(attempt_id)
            self._remove_call(connection, attempt_id)

    def flush(self) -> None:
        """Write the queued messages."""
        if self._current is not None and not self._current.stream.flush():
            self._current.stream.close()  # ends the pending read
