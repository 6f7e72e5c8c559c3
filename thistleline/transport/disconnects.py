"""How a connection may end without anybody being at fault here."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import msgspec

from thistleline.transport.codec import Unreadable

# RecursionError: of a message that nests deeper than a decoder goes, also in a field nobody knows.
ENDS = (OSError, TimeoutError, Unreadable, msgspec.MsgspecError, RecursionError, anyio.EndOfStream,
        anyio.IncompleteRead, anyio.BrokenResourceError, anyio.ClosedResourceError)  # fmt: skip


@contextmanager
def ends(tell: Callable[[str], None]) -> Iterator[None]:
    """Whatever a peer or a net brings ends what runs inside and nothing else; `tell` hears why."""
    try:
        yield
    except ENDS as error:
        tell(str(error) or type(error).__name__)
    except BaseExceptionGroup as group:
        expected, rest = group.split(ENDS)
        if rest is not None:
            raise rest from group
        first: BaseException | None = expected
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        tell(str(first) or type(first).__name__)
