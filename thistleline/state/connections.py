"""The client connections: which are read, which give way, which are idle."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

from thistleline.state.context import EventContext
from thistleline.state.effects import CloseConnection, DismissConnection, ReadConnection
from thistleline.state.limits import (
    DISMISSAL_GRACE,
    FIRST_MESSAGE_TIMEOUT,
    MAX_OFFENCES,
    MAX_OPEN_TASKS,
    PARTIAL_MESSAGE_TIMEOUT,
    UNREAD_GRACE,
)
from thistleline.state.phases import Lifecycle


class Connection:
    """What is known of one client connection."""

    __slots__ = ("dismissed_at", "last_active", "messages", "offences", "open", "partial_since", "stalled")

    def __init__(self, now: int) -> None:
        """Make the record of a connection that was accepted at `now`."""
        self.open: dict[str, None] = {}  # names of the attempts that are owed an answer here
        self.last_active = now  # when it last carried a whole message or an answer
        self.messages = 0  # whole ones that came
        self.partial_since: int | None = None  # since when the beginning of a message has lain there
        self.offences = 0  # messages of a kind that no client library sends
        self.dismissed_at: int | None = None  # when its client was told to send nothing new
        self.stalled = False  # not read: until something on it is answered, or for good after its offences


class ClientConnections:
    """All open client connections, by number, the longest idle first."""

    def __init__(
        self,
        context: EventContext,
        lifecycle: Lifecycle,
        max_connections: int,
        release: Callable[[Iterable[str]], None],
    ) -> None:
        """Begin without connections.

        Args:
            context: Takes the effects.
            lifecycle: Tells whether new connections are wanted.
            max_connections: Past it a connection gives way to a new one.
            release: Lets the attempts go that were open on a connection that ended.
        """
        self.by_number: OrderedDict[int, Connection] = OrderedDict()
        self.idle_timeout = 0  # ns; 0 for none
        self._context = context
        self._lifecycle = lifecycle
        self._max_connections = max_connections
        self._release = release
        self._silent: OrderedDict[int, None] = OrderedDict()  # without a whole message, the oldest first
        self._single_message: OrderedDict[int, None] = OrderedDict()  # with exactly one

    def open(self, number: int) -> None:
        """Take a new connection and begin to read it."""
        connection = self.admit(number)
        self._context.count("connections")
        self._context.emit(ReadConnection(number))
        if self._lifecycle.is_closing:
            self._dismiss(number, connection)
        if len(self.by_number) > self._max_connections:
            self.close(self._gives_way(number))

    def admit(self, number: int) -> Connection:
        """Add a connection's record."""
        connection = self.by_number[number] = Connection(self._context.now)
        self._silent[number] = None
        return connection

    def _gives_way(self, newcomer: int) -> int:
        """Choose the connection that gives way to a newcomer, to save descriptors.

        One that never carried a whole message goes first, then one that carried a single one, then the
        longest idle, so that a crowd costs no client library its connection. The first message of one just
        opened may lie unread; this prevents that a burst of newcomers is closed.
        """
        choice = next(iter(self._silent))
        if self._context.now - self.by_number[choice].last_active < UNREAD_GRACE:
            candidates = (number for number in self._single_message if not self.by_number[number].open)
            choice = next(candidates, choice)
        if choice == newcomer:
            choice = next(number for number, connection in self.by_number.items() if not connection.open)
        return choice

    def input_drained(self, number: int, partial: bool) -> None:
        """Read on, unless too much is open; `partial`: the beginning of a message has come."""
        connection = self.by_number.get(number)
        if connection is None:
            return
        if not partial:
            connection.partial_since = None
        elif connection.partial_since is None:
            connection.partial_since = self._context.now
        connection.stalled = len(connection.open) >= MAX_OPEN_TASKS or connection.offences >= MAX_OFFENCES
        if not connection.stalled:
            self._context.emit(ReadConnection(number))

    def message_received(self, number: int) -> Connection | None:
        """Note that a whole message came; return its connection, None where that has ended.

        Parts of messages don't count, so nobody can hold a connection by dripping bytes.
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
        """Note that an attempt on this connection gets its answer; read on if that waited for it."""
        connection = self.by_number[number]
        connection.open.pop(attempt, None)
        self._touch(number, connection)
        if connection.stalled:
            self.input_drained(number, connection.partial_since is not None)

    def _touch(self, number: int, connection: Connection) -> None:
        connection.last_active = self._context.now
        connection.partial_since = None
        self.by_number.move_to_end(number)

    def offend(self, number: int, event: str, **facts: Any) -> None:
        """Count an offence. Who goes on sending what no client library sends is read no more."""
        self._context.log_rarely(event, connection=number, **facts)
        connection = self.by_number.get(number)
        if connection is not None:
            connection.offences += 1

    def end(self, number: int, reason: str) -> None:
        """Forget a connection that ended and release its attempts."""
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
        """Close a connection from this side."""
        self._context.emit(CloseConnection(number))
        self.end(number, "")

    def dismiss_all(self) -> None:
        """Tell every client to send nothing new."""
        for number, connection in self.by_number.items():
            self._dismiss(number, connection)

    def _dismiss(self, number: int, connection: Connection) -> None:
        if connection.dismissed_at is None:
            connection.dismissed_at = self._context.now
            self._context.emit(DismissConnection(number))

    def sweep(self) -> None:
        """Close the connections that are silent, dismissed or offending, and dismiss the idle ones."""
        now = self._context.now
        for number, connection in list(self.by_number.items()):
            partial_since = connection.partial_since
            if connection.open or (
                partial_since is not None and now - partial_since < PARTIAL_MESSAGE_TIMEOUT
            ):
                continue
            idle = now - connection.last_active
            if self._is_over(number, connection, idle):
                self.close(number)
            elif self.idle_timeout and idle >= self.idle_timeout:
                self._dismiss(number, connection)

    def _is_over(self, number: int, connection: Connection, idle: int) -> bool:
        now = self._context.now
        dismissed_at = now if connection.dismissed_at is None else connection.dismissed_at
        return (
            (now - dismissed_at >= DISMISSAL_GRACE <= idle)
            or (number in self._silent and idle >= FIRST_MESSAGE_TIMEOUT)
            or connection.offences >= MAX_OFFENCES
        )
