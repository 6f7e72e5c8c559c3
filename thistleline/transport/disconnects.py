"""The errors that end a connection because of its peer or the network."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import msgspec

from thistleline.transport.codec import ProtocolError

DISCONNECT_ERRORS = (
    OSError,
    TimeoutError,
    ProtocolError,
    msgspec.MsgspecError,
    RecursionError,  # a message is nested too deeply for the decoder, even in an unknown field
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@contextmanager
def report_disconnects(on_disconnect: Callable[[str], None]) -> Iterator[None]:
    """Suppress disconnect errors raised in the block and call `on_disconnect` with the reason."""
    try:
        yield
    except DISCONNECT_ERRORS as error:
        on_disconnect(str(error) or type(error).__name__)
    except BaseExceptionGroup as group:
        disconnects, rest = group.split(DISCONNECT_ERRORS)
        if rest is not None:
            raise rest from group
        first: BaseException | None = disconnects
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        on_disconnect(str(first) or type(first).__name__)
