"""A client of the lease cluster: one connection to the leader, found by asking the replicas in turn."""

import os
from collections.abc import Callable
from random import Random

import anyio
import msgspec
from anyio.abc import SocketStream

from thistleline.lease.protocol import Answer, Op, Unavailable
from thistleline.lease.wire import GrantHint, Request, decode_reply, encode
from thistleline.transport.address import Address
from thistleline.transport.codec import (
    MAX_CLIENT_MESSAGE_SIZE,
    FrameDecoder,
    Hello,
    encode_frame,
    negotiate_version,
)
from thistleline.transport.disconnects import DISCONNECT_ERRORS

CONNECT_TIMEOUT = 1.0  # s
ANSWER_TIMEOUT = 1.5  # s; a replica that is silent for so long is not asked again at once
MAX_OPEN_REQUESTS = 256
MIN_BACKOFF = 0.02  # s before an undecided request is repeated
MAX_BACKOFF = 0.3  # s
_RECEIVE_SIZE = 1 << 16  # bytes
_decode_hello = msgspec.msgpack.Decoder(Hello).decode


class LeaseClient:
    """Sends requests to the cluster; errors of a replica or the network are answers, never exceptions.

    Example:
        async with anyio.create_task_group() as group:
            client = LeaseClient({"a": ("127.0.0.1", 7001), ...}, group)
            answer = await client.request(Describe("rollout"))
    """

    def __init__(
        self, replicas: dict[str, Address], group: anyio.abc.TaskGroup, rng: Random | None = None
    ) -> None:
        """Describe the cluster; a connection is made by the first request.

        Args:
            replicas: Addresses by name.
            group: Runs the reading of the connection.
            rng: Chooses replicas and jitter.
        """
        self.replicas = replicas
        self.group = group
        self.rng = rng or Random(os.urandom(8))
        self.target = self.rng.choice(sorted(replicas))  # the replica that is asked
        self.stream: SocketStream | None = None
        self.send_lock = anyio.Lock()
        self.last_number = 0
        self.open_requests: dict[int, tuple[anyio.Event, list[Answer]]] = {}
        self.hint_callbacks: dict[str, Callable[[], None]] = {}  # by holder id

    async def request(self, op: Op) -> Answer:
        """Send one request to one replica; `Unavailable` if it was not decided."""
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return Unavailable("too much is asked here at once", "")
        number, event, found = -1, anyio.Event(), list[Answer]()
        asked = ""
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT):
                async with self.send_lock:
                    stream = self.stream if self.stream is not None else await self._connect()
                    asked = self.target
                    self.last_number += 1
                    number = self.last_number
                    self.open_requests[number] = event, found
                    await stream.send(encode_frame(encode(Request(number, op))))
                await event.wait()
        except DISCONNECT_ERRORS:
            pass
        finally:
            self.open_requests.pop(number, None)
        if not found:
            self._choose_next(asked, "")
            return Unavailable("no answer", "")
        answer = found[0]
        if isinstance(answer, Unavailable):
            self._choose_next(asked, answer.leader)
        return answer

    async def request_until_decided(self, op: Op, timeout: float) -> Answer:
        """Repeat an idempotent request until it is decided, for about `timeout` seconds at most."""
        until = anyio.current_time() + timeout
        backoff = MIN_BACKOFF
        while True:
            answer = await self.request(op)
            if not isinstance(answer, Unavailable) or anyio.current_time() >= until:
                return answer
            await anyio.sleep(backoff * self.rng.uniform(0.5, 1.5))
            backoff = min(MAX_BACKOFF, 2 * backoff)

    def _choose_next(self, asked: str, leader: str) -> None:
        """Ask the leader next if it is known, else another replica than `asked`."""
        if asked and asked != self.target:
            return  # another request has chosen already
        name = leader.partition(".")[0]
        if name not in self.replicas or name == self.target:
            if name == self.target and leader:
                return  # it leads, and can't take the request just now
            others = [one for one in sorted(self.replicas) if one != self.target]
            name = self.rng.choice(others) if others else self.target
        self.target = name
        self._drop(self.stream)

    def _drop(self, stream: SocketStream | None) -> None:
        """Close the connection, if it is still the current one, and end the requests on it."""
        if stream is None or self.stream is not stream:
            return
        self.stream = None
        waiting, self.open_requests = self.open_requests, {}
        for event, _ in waiting.values():
            event.set()
        self.group.start_soon(anyio.aclose_forcefully, stream)

    async def _connect(self) -> SocketStream:
        with anyio.fail_after(CONNECT_TIMEOUT):
            stream = await anyio.connect_tcp(*self.replicas[self.target])
        hello = Hello("client", "")
        await stream.send(encode_frame(encode(hello)))
        self.stream = stream
        self.group.start_soon(self._read, stream, hello)
        return stream

    async def _read(self, stream: SocketStream, hello: Hello) -> None:
        decoder, greeted = FrameDecoder(MAX_CLIENT_MESSAGE_SIZE), False
        try:
            while True:
                for payload in decoder.feed(await stream.receive(_RECEIVE_SIZE)):
                    if greeted:
                        self._on_message(payload)
                    else:
                        negotiate_version(hello, _decode_hello(payload))
                        greeted = True
        except DISCONNECT_ERRORS:
            self._drop(stream)

    def _on_message(self, payload: bytes) -> None:
        message = decode_reply(payload)
        if isinstance(message, GrantHint):
            callback = self.hint_callbacks.get(message.holder_id)
            if callback is not None:
                callback()
        elif message.number in self.open_requests:
            event, found = self.open_requests.pop(message.number)
            found.append(message.answer)
            event.set()
