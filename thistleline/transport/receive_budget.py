"""A limit on the memory of the incomplete messages of all connections of a process together.

The size of one message is limited by its connection; without this limit, many peers that each send a large
part of a message could exhaust the memory of the process.
"""

from collections import OrderedDict
from collections.abc import Callable

MAX_INCOMPLETE_SIZE = 16 << 20  # bytes of all incomplete messages of a process


class ReceiveBudget:
    """Counts the bytes of incomplete messages; above the limit, closes the connection with the oldest one.

    A peer that sends its message without pauses completes it before many others have begun theirs, so that
    the peers which are closed are those that stall. One message alone may exceed the limit.

    Attributes:
        evictions: Number of connections closed so far.
    """

    def __init__(self, limit: int = MAX_INCOMPLETE_SIZE) -> None:
        """Start without connections; `limit` in bytes."""
        self.evictions = 0
        self._limit = limit
        self._total = 0
        # Bytes of the incomplete message of each account, the message that began first at the start.
        self._sizes: OrderedDict[ReceiveAccount, int] = OrderedDict()

    def open_account(self, close: Callable[[], None]) -> "ReceiveAccount":
        """Return the account of a new connection, which `close` closes."""
        return ReceiveAccount(self, close)

    def _set(self, account: "ReceiveAccount", size: int, is_new_message: bool) -> None:
        self._total += size - self._sizes.get(account, 0)
        if not size:
            self._sizes.pop(account, None)
            return
        self._sizes[account] = size
        if is_new_message:
            self._sizes.move_to_end(account)
        while self._total > self._limit and len(self._sizes) > 1:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        account, size = self._sizes.popitem(last=False)
        self._total -= size
        self.evictions += 1
        account.evict()


class ReceiveAccount:
    """The incomplete message of one connection."""

    def __init__(self, budget: ReceiveBudget, close: Callable[[], None]) -> None:
        """Start without an incomplete message."""
        self._budget = budget
        self._close = close
        self._closed = False

    def update(self, size: int, is_new_message: bool) -> None:
        """Set the size of the incomplete message in bytes; `is_new_message`: it follows a complete one."""
        if not self._closed:
            self._budget._set(self, size, is_new_message)

    def release(self) -> None:
        """Remove the incomplete message at the end of the connection."""
        self.update(0, False)
        self._closed = True

    def evict(self) -> None:
        """Close the connection, because the limit of the budget is exceeded."""
        self._closed = True
        self._close()
