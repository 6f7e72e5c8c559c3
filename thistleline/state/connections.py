"""The client connections: flow control, eviction and idle timeouts.

A connection is dismissed when its client is asked to send nothing new on it.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

from thistleline.state.context import EventContext
from thistleline.state.effects import CloseConnection, DismissConnection, ReadConnection
from thistleline.state.limits import (
    DISMISSAL_GRACE,
    FIRST_MESSAGE_TIMEOUT,
    MAX_OPEN_TASKS,
    MAX_VIOLATIONS,
    PARTIAL_MESSAGE_TIMEOUT,
    UNREAD_GRACE,
)
from thistleline.state.phases import Lifecycle


class Connection:
    """State of one client connection."""

    __slots__ = (
        "dismissed_at",
        "last_active",
        "messages",
        "open",
        "partial_since",
        "read_paused",
        "violations",
    )

    def __init__(self, now: int) -> None:
        """Create the record of a connection that was accepted at `now`."""
        self.open: dict[str, None] = {}  # names of the unanswered attempts on this connection
        self.last_active = now  # time of the last complete message or answer
        self.messages = 0  # complete messages received
        self.partial_since: int | None = None  # arrival time of an incomplete message
        self.violations = 0  # messages that no correct client library sends
        self.dismissed_at: int | None = None  # time of the request to send nothing new
        # Set while too many tasks are open, until one is answered; permanently after too many violations.
        self.read_paused = False


class ClientConnections:
    """All open client connections by number, the longest idle first."""

    def __init__(
        self,
        context: EventContext,
        lifecycle: Lifecycle,
        max_connections: int,
        release: Callable[[Iterable[str]], None],
    ) -> None:
        """Create the table without connections.

        Args:
            context: Receives the effects.
            lifecycle: Shows whether the server is closing.
            max_connections: Above this number a connection is closed for each new one.
            release: Called with the names of the open attempts of a connection that ended.
        """
        self.by_number: OrderedDict[int, Connection] = OrderedDict()
        self.idle_timeout = 0  # ns; 0 for none
        self._context = context
        self._lifecycle = lifecycle
        self._max_connections = max_connections
        self._release = release
        self._silent: OrderedDict[int, None] = OrderedDict()  # no complete message yet, oldest first
        self._single_message: OrderedDict[int, None] = OrderedDict()  # exactly one complete message

    def open(self, number: int) -> None:
        """Add a new connection and start to read it."""
        connection = self.admit(number)
        self._context.count("connections")
        self._context.emit(ReadConnection(number))
        if self._lifecycle.is_closing:
            self._dismiss(number, connection)
        if len(self.by_number) > self._max_connections:
            self.close(self._choose_eviction(number))

    def admit(self, number: int) -> Connection:
        """Add the record of a new connection."""
        connection = self.by_number[number] = Connection(self._context.now)
        self._silent[number] = None
        return connection

    def _choose_eviction(self, new_number: int) -> int:
        """Choose the connection to close for a new one, to save descriptors.

        Connections without a complete message are closed first, then those with a single one, then the
        longest idle. So a flood of little-used connections doesn't evict client libraries' ones. The first
        message of a connection opened within `UNREAD_GRACE` may not have been read yet; connections with a
        single message are closed before it, so that a burst of new connections isn't closed.
        """
        choice = next(iter(self._silent))
        if self._context.now - self.by_number[choice].last_active < UNREAD_GRACE:
            candidates = (number for number in self._single_message if not self.by_number[number].open)
            choice = next(candidates, choice)
        if choice == new_number:
            choice = next(number for number, connection in self.by_number.items() if not connection.open)
        return choice

    def input_drained(self, number: int, partial: bool) -> None:
        """Continue reading unless reading is paused; `partial`: whether an incomplete message has arrived."""
        connection = self.by_number.get(number)
        if connection is None:
            return
        if not partial:
            connection.partial_since = None
        elif connection.partial_since is None:
            connection.partial_since = self._context.now
        connection.read_paused = (
            len(connection.open) >= MAX_OPEN_TASKS or connection.violations >= MAX_VIOLATIONS
        )
        if not connection.read_paused:
            self._context.emit(ReadConnection(number))

    def message_received(self, number: int) -> Connection | None:
        """Record a complete message; return its connection, or None if the connection has ended.

        Incomplete messages don't count, so a client can't keep a connection open by sending single bytes.
        """
        connection = self.by_number.get(number)
        if connection is not None:
            connection.messages += 1
            if connection.messages == 1:
                del self._silent[number]
                self._single_message[number] = None
            else:
                self._single_message.pop(number, None)
            self._touch(number, connection)
        return connection

    def answered(self, number: int, attempt: str) -> None:
        """Record that an attempt on this connection is answered; resume reading if it was paused."""
        connection = self.by_number[number]
        connection.open.pop(attempt, None)
        self._touch(number, connection)
        if connection.read_paused:
            self.input_drained(number, connection.partial_since is not None)

    def _touch(self, number: int, connection: Connection) -> None:
        connection.last_active = self._context.now
        connection.partial_since = None
        self.by_number.move_to_end(number)

    def record_violation(self, number: int, event: str, **fields: Any) -> None:
        """Count and log a protocol violation. After `MAX_VIOLATIONS` the connection is no longer read."""
        self._context.log_rarely(event, connection=number, **fields)
        connection = self.by_number.get(number)
        if connection is not None:
            connection.violations += 1

    def end(self, number: int, reason: str) -> None:
        """Remove a connection that ended and release its attempts."""
        connection = self.by_number.pop(number, None)
        if connection is None:
            return
        self._silent.pop(number, None)
        self._single_message.pop(number, None)
        if reason or connection.open:
            self._context.log_rarely(
                "connection ended", connection=number, why=reason, open=len(connection.open)
            )
        self._release(connection.open)

    def close(self, number: int) -> None:
        """Close a connection on the server's side."""
        self._context.emit(CloseConnection(number))
        self.end(number, "")

    def dismiss_all(self) -> None:
        """Ask every client to send nothing new."""
        for number, connection in self.by_number.items():
            self._dismiss(number, connection)

    def _dismiss(self, number: int, connection: Connection) -> None:
        if connection.dismissed_at is None:
            connection.dismissed_at = self._context.now
            self._context.emit(DismissConnection(number))

    def sweep(self) -> None:
        """Close connections that are silent, dismissed or in violation, and dismiss the idle ones."""
        now = self._context.now
        for number, connection in list(self.by_number.items()):
            partial_since = connection.partial_since
            if connection.open or (
                partial_since is not None and now - partial_since < PARTIAL_MESSAGE_TIMEOUT
            ):
                continue
            idle = now - connection.last_active
            if self._should_close(number, connection, idle):
                self.close(number)
            elif self.idle_timeout and idle >= self.idle_timeout:
                self._dismiss(number, connection)

    def _should_close(self, number: int, connection: Connection, idle: int) -> bool:
        now = self._context.now
        dismissed_at = now if connection.dismissed_at is None else connection.dismissed_at
        return (
            (now - dismissed_at >= DISMISSAL_GRACE <= idle)
            or (number in self._silent and idle >= FIRST_MESSAGE_TIMEOUT)
            or connection.violations >= MAX_VIOLATIONS
        )
