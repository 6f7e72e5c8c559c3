"""A client of the lease cluster.

It keeps one connection, to the leader, which it finds by trying the replicas in turn.
"""

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
ANSWER_TIMEOUT = 1.5  # s for one answer; without one the next request goes to another replica
MAX_OPEN_REQUESTS = 256  # requests that were sent and are not answered yet
MIN_BACKOFF = 0.02  # s before an undecided request is sent again for the first time
MAX_BACKOFF = 0.3  # s; longest delay before an undecided request is sent again
_RECEIVE_SIZE = 1 << 16  # bytes
_decode_hello = msgspec.msgpack.Decoder(Hello).decode


class LeaseClient:
    """Sends requests to the cluster; an error of a replica or the network is returned as `Unavailable`.

    Example:
        async with anyio.create_task_group() as group:
            client = LeaseClient({"a": ("127.0.0.1", 7001), ...}, group)
            answer = await client.request(Describe("rollout"))
    """

    def __init__(
        self, replicas: dict[str, Address], group: anyio.abc.TaskGroup, rng: Random | None = None
    ) -> None:
        """Create a client; the first request opens the connection.

        Args:
            replicas: Addresses by name.
            group: Task group in which the connection is read.
            rng: Source of randomness for the choice of replicas and for jitter.
        """
        self.replicas = replicas
        self.group = group
        self.rng = rng or Random(os.urandom(8))
        self.target = self.rng.choice(sorted(replicas))  # the replica that requests are sent to
        self.stream: SocketStream | None = None
        self.send_lock = anyio.Lock()
        self.last_number = 0
        self.open_requests: dict[int, tuple[anyio.Event, list[Answer]]] = {}
        self.hint_callbacks: dict[str, Callable[[], None]] = {}  # by holder id

    async def request(self, op: Op) -> Answer:
        """Send one request to one replica; return `Unavailable` if it was not decided."""
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return Unavailable("this client has too many open requests", "")
        number, event, answers = -1, anyio.Event(), list[Answer]()
        asked_replica = ""
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT):
                async with self.send_lock:
                    stream = self.stream if self.stream is not None else await self._connect()
                    asked_replica = self.target
                    self.last_number += 1
                    number = self.last_number
                    self.open_requests[number] = event, answers
                    await stream.send(encode_frame(encode(Request(number, op))))
                await event.wait()
        except DISCONNECT_ERRORS:
            pass
        finally:
            self.open_requests.pop(number, None)
        if not answers:
            self._choose_next(asked_replica, "")
            return Unavailable("no answer", "")
        answer = answers[0]
        if isinstance(answer, Unavailable):
            self._choose_next(asked_replica, answer.leader)
        return answer

    async def request_until_decided(self, op: Op, timeout: float) -> Answer:
        """Send an idempotent request again until it is decided, for at most about `timeout` seconds."""
        deadline = anyio.current_time() + timeout
        backoff = MIN_BACKOFF
        while True:
            answer = await self.request(op)
            if not isinstance(answer, Unavailable) or anyio.current_time() >= deadline:
                return answer
            await anyio.sleep(backoff * self.rng.uniform(0.5, 1.5))
            backoff = min(MAX_BACKOFF, 2 * backoff)

    def _choose_next(self, asked_replica: str, leader: str) -> None:
        """Switch to the leader if it is known, else to a replica other than `asked_replica`."""
        if asked_replica and asked_replica != self.target:
            return  # another request has already switched the target
        name = leader.partition(".")[0]
        if name not in self.replicas or name == self.target:
            if name == self.target and leader:
                return  # the target is the leader, but could not serve the request at that moment
            others = [replica for replica in sorted(self.replicas) if replica != self.target]
            name = self.rng.choice(others) if others else self.target
        self.target = name
        self._drop(self.stream)

    def _drop(self, stream: SocketStream | None) -> None:
        """Close the connection if it is still the current one, and fail the requests that wait on it."""
        if stream is None or self.stream is not stream:
            return
        self.stream = None
        failed, self.open_requests = self.open_requests, {}
        for event, _ in failed.values():
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
        decoder, hello_received = FrameDecoder(MAX_CLIENT_MESSAGE_SIZE), False
        try:
            while True:
                for payload in decoder.feed(await stream.receive(_RECEIVE_SIZE)):
                    if hello_received:
                        self._on_message(payload)
                    else:
                        negotiate_version(hello, _decode_hello(payload))
                        hello_received = True
        except DISCONNECT_ERRORS:
            self._drop(stream)

    def _on_message(self, payload: bytes) -> None:
        message = decode_reply(payload)
        if isinstance(message, GrantHint):
            callback = self.hint_callbacks.get(message.holder_id)
            if callback is not None:
                callback()
        elif message.number in self.open_requests:
            event, answers = self.open_requests.pop(message.number)
            answers.append(message.answer)
            event.set()
