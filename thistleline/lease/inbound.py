"""A connection that a replica accepted: output to be sent, and requests without an answer."""

import anyio
from anyio.abc import SocketStream

from thistleline.transport.codec import encode_frame
from thistleline.transport.connection import SEND_TIMEOUT

MAX_OPEN_REQUESTS = 256  # of one connection without an answer; past it the connection is not read
MAX_OUTPUT_SIZE = 4 << 20  # bytes that a client does not read; past it the connection is closed


class InboundConnection:
    """An accepted connection.

    Attributes:
        stream: The socket.
        scope: Cancelled to close the connection.
    """

    def __init__(self, stream: SocketStream) -> None:
        """Create it without output and open requests."""
        self.stream = stream
        self.scope = anyio.CancelScope()
        self._output = bytearray()
        self._output_added = anyio.Event()
        self._open_requests = 0
        self._request_finished = anyio.Event()

    def write(self, payload: bytes) -> None:
        """Queue a message; a connection with too much output is closed."""
        self._output += encode_frame(payload)
        if len(self._output) > MAX_OUTPUT_SIZE:
            self.scope.cancel()
        self._output_added.set()

    async def send_output(self) -> None:
        """Send queued messages until cancelled.

        Raises:
            TimeoutError: The client takes nothing.
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
        """Count a request in, once there is room for it."""
        while self._open_requests >= MAX_OPEN_REQUESTS:
            self._request_finished = anyio.Event()
            await self._request_finished.wait()
        self._open_requests += 1

    def finish_request(self) -> None:
        """Count a request out, as it is answered or dropped."""
        self._open_requests -= 1
        self._request_finished.set()
