"""TCP proxies between each ordered pair of processes: partitions, delays, message loss, trickled bytes.

Each relay serves the connections that one process dials to one other (lease/service.py), so a fault on its
`forward` or `backward` direction is a fault of one direction between the two.
"""

from collections import deque
from contextlib import suppress
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from thistleline.transport.address import Address
from thistleline.transport.disconnects import DISCONNECT_ERRORS

READ_SIZE = 65536  # bytes
MAX_QUEUED_BYTES = 8 << 20  # queued in one delayed direction; above this, it stops reading
TRICKLE_BYTES = 7  # greatest size of a send
TRICKLE_PAUSE = 0.001  # s between two such sends
BACKPRESSURE_PAUSE = 0.01  # s between two checks of a full queue


class LinkFault(NamedTuple):
    """A fault of one direction of a relay."""

    delay: float = 0.0  # s
    jitter: float = 0.0  # s, most random delay added to `delay`; order is preserved
    drop: bool = False  # bytes are read and discarded
    trickle: bool = False  # bytes are sent a few at a time


NO_FAULT = LinkFault()


class Relay:
    """A proxy to one target address, with a fault for each direction."""

    def __init__(self, target: Address, rng: Random) -> None:
        """Make a relay to `target`; `rng` draws jitter and the sizes of trickled pieces."""
        self.target = target
        self.rng = rng
        self.forward = NO_FAULT
        self.backward = NO_FAULT
        self.refuses = False
        self.connections: dict[int, list[SocketStream]] = {}  # by number: the dialling side, the target side
        self.half_closed: set[int] = set()  # ids of streams that take no more bytes
        self.accepted = 0
        self.port = 0

    async def serve(self, group: TaskGroup) -> None:
        """Listen on a free loopback port, named by `port`, for as long as `group` runs."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, self._serve_connection)

    def disconnect(self) -> None:
        """Close every connection and refuse new ones until `heal`."""
        self.refuses = True
        self._close_connections(both=True)

    def delay_in_flight(self, delay: float) -> None:
        """Close the dialling side, so that it dials again, while bytes in flight arrive `delay` seconds late.

        The new connection's messages may overtake those of the old one.
        """
        self.forward = LinkFault(delay=delay)
        self._close_connections(both=False)

    def half_close(self) -> None:
        """Send end-of-file to the target; the backward direction stays open."""
        for number in list(self.connections):
            stream = self.connections[number][-1]
            self.half_closed.add(id(stream))
            self.group.start_soon(_send_eof, stream)

    def heal(self) -> None:
        """Accept connections again, and remove the faults of both directions."""
        self.refuses = False
        self.forward = NO_FAULT
        self.backward = NO_FAULT

    def _close_connections(self, both: bool) -> None:
        for streams in list(self.connections.values()):
            for stream in streams if both else streams[:1]:
                self.group.start_soon(anyio.aclose_forcefully, stream)

    async def _serve_connection(self, near: SocketStream) -> None:
        self.accepted += 1
        number = self.accepted
        async with near:
            if self.refuses:
                return
            try:
                far = await anyio.connect_tcp(*self.target)
            except OSError:
                return
            async with far:
                self.connections[number] = [near, far]
                try:
                    async with anyio.create_task_group() as group:
                        self.group = group
                        group.start_soon(self._pump, near, far, True)
                        group.start_soon(self._pump, far, near, False)
                finally:
                    del self.connections[number]
                    self.half_closed.discard(id(far))

    def _fault(self, is_forward: bool) -> LinkFault:
        return self.forward if is_forward else self.backward

    async def _pump(self, source: SocketStream, target: SocketStream, is_forward: bool) -> None:
        queue: deque[tuple[float, bytes]] = deque()  # (when to send, s of the event loop's clock; bytes)
        arrived = anyio.Event()
        is_over = False

        async def read() -> None:
            nonlocal arrived, is_over
            try:
                while True:
                    data = await source.receive(READ_SIZE)
                    fault = self._fault(is_forward)
                    if not fault.drop:
                        send_at = anyio.current_time() + fault.delay + self.rng.random() * fault.jitter
                        queue.append((max(send_at, queue[-1][0]) if queue else send_at, data))
                        arrived.set()
                    while sum(len(piece) for _, piece in queue) > MAX_QUEUED_BYTES:
                        await anyio.sleep(BACKPRESSURE_PAUSE)
            except DISCONNECT_ERRORS:
                is_over = True
                arrived.set()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(read)
                while queue or not is_over:
                    if not queue:
                        arrived = anyio.Event()
                        await arrived.wait()
                        continue
                    send_at, data = queue[0]
                    await anyio.sleep(max(0.0, send_at - anyio.current_time()))
                    queue.popleft()
                    await self._send(target, data, is_forward)
                group.cancel_scope.cancel()
            await target.aclose()
        except DISCONNECT_ERRORS:
            pass
        except BaseExceptionGroup as group_error:
            if group_error.split(DISCONNECT_ERRORS)[1] is not None:
                raise

    async def _send(self, target: SocketStream, data: bytes, is_forward: bool) -> None:
        offset = 0
        while offset < len(data) and id(target) not in self.half_closed:
            trickles = self._fault(is_forward).trickle
            count = self.rng.randint(1, TRICKLE_BYTES) if trickles else len(data)
            await target.send(data[offset : offset + count])
            offset += count
            if trickles:
                await anyio.sleep(TRICKLE_PAUSE)


async def _send_eof(stream: SocketStream) -> None:
    with suppress(*DISCONNECT_ERRORS):
        await stream.send_eof()
