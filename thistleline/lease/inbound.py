"""A connection that a replica accepted: its output buffer and its number of open requests."""

import anyio
from anyio.abc import SocketStream

from thistleline.transport.codec import encode_frame
from thistleline.transport.connection import SEND_TIMEOUT

MAX_OPEN_REQUESTS = (
    256  # unanswered requests per connection; at this limit, nothing is read until one of them is answered
)
MAX_OUTPUT_SIZE = 4 << 20  # bytes of unsent output; beyond it the connection is closed


class InboundConnection:
    """An accepted connection.

    Attributes:
        stream: The socket.
        scope: Cancelled to close the connection.
    """

    def __init__(self, stream: SocketStream) -> None:
        """Wrap an accepted stream."""
        self.stream = stream
        self.scope = anyio.CancelScope()
        self._output = bytearray()
        self._output_added = anyio.Event()
        self._open_requests = 0
        self._request_finished = anyio.Event()

    def write(self, payload: bytes) -> None:
        """Queue a message; closes the connection if it has too much unsent output."""
        self._output += encode_frame(payload)
        if len(self._output) > MAX_OUTPUT_SIZE:
            self.scope.cancel()
        self._output_added.set()

    async def send_output(self) -> None:
        """Send queued messages until cancelled.

        Raises:
            TimeoutError: The client did not read for SEND_TIMEOUT.
        """
        while True:
            while self._output:
                data = bytes(self._output)
                self._output = bytearray()
                with anyio.fail_after(SEND_TIMEOUT):
                    await self.stream.send(data)
            self._output_added = anyio.Event()
            await self._output_added.wait()

    async def begin_request(self) -> None:
        """Count a new open request; waits while the connection is at its limit."""
        while self._open_requests >= MAX_OPEN_REQUESTS:
            self._request_finished = anyio.Event()
            await self._request_finished.wait()
        self._open_requests += 1

    def finish_request(self) -> None:
        """Count an open request as answered or dropped."""
        self._open_requests -= 1
        self._request_finished.set()
