"""An open-loop load generator: bookings start at times independent of answers and are retried until final."""

import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from thistleline.transport.address import Address
from thistleline.wire import stub
from thistleline.wire.buffer import Buffer

ATTEMPT_TIMEOUT = 3.0  # s; an attempt without an answer after this time counts as lost
READ_SIZE = 65536  # bytes
FIRST_BACKOFF = 0.02  # s between the first two attempts; it doubles
MAX_BACKOFF = 0.3  # s
RETRIED = ("lost", "rejected", "misunderstood")


class AttemptOutcome(NamedTuple):
    """The outcome of one attempt.

    Attributes:
        key: The request's idempotency key, the same for all its attempts.
        body: The request's body.
        kind: finished, rejected, abandoned, misunderstood, or lost: no answer.
        value: The result, or the fields of a rejection.
        sent_at: Seconds of the monotonic clock.
        answered_at: Seconds of the monotonic clock.
    """

    key: str
    body: bytes
    kind: str
    value: Any
    sent_at: float
    answered_at: float


class PendingAnswer:
    """The answer to an attempt, awaited with `woken`; it stays "lost" if the connection ends first."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.woken = anyio.Event()
        self.kind = "lost"
        self.value: Any = None


PendingAnswers = dict[int, PendingAnswer]  # by sequence number


class CallerConnection:
    """One connection to the server, dialled again when it ends."""

    def __init__(self, address: Callable[[], Address]) -> None:
        """Make a connection, dialled with the first attempt; `address` is called at each dial."""
        self.address = address
        self.stream: SocketStream | None = None
        self.sequence = 0
        self.pending: PendingAnswers = {}  # of the stream that takes new attempts
        self.dialling = anyio.Lock()

    async def attempt(self, fields: dict[str, str], body: bytes, group: TaskGroup) -> tuple[str, Any]:
        """Send one attempt; return the answer's kind and value, or ("lost", None) without one.

        Args:
            fields: The request's header fields.
            body: The request's body.
            group: Runs the reader of a new connection.
        """
        answer = PendingAnswer()
        sequence, pending = -1, self.pending
        try:
            async with self.dialling:
                if self.stream is None:
                    self.stream = await anyio.connect_tcp(*self.address())
                    self.sequence = 0
                    self.pending = {}
                    group.start_soon(self._read, self.stream, self.pending)
                self.sequence += 1
                sequence, pending = self.sequence, self.pending
                pending[sequence] = answer
                await self.stream.send(stub.encode_process(sequence, fields, body))
            with anyio.move_on_after(ATTEMPT_TIMEOUT):
                await answer.woken.wait()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            if self.pending is pending:
                self.stream = None
        finally:
            pending.pop(sequence, None)
        return answer.kind, answer.value

    async def _read(self, stream: SocketStream, pending: PendingAnswers) -> None:
        """Read answers until the stream ends; after a dismissal new attempts use another one."""
        buffer = Buffer(stub.MAX_RESPONSE_SIZE)
        try:
            while pending or self.stream is stream:
                data = await stream.receive(READ_SIZE)
                buffer.room()[: len(data)] = data
                buffer.filled(len(data))
                for response in stub.decode_responses(buffer):
                    if response.kind == "dismiss" and self.stream is stream:
                        self.stream = None
                    elif response.sequence in pending:
                        answer = pending.pop(response.sequence)
                        answer.kind = response.kind
                        answer.value = response.value
                        answer.woken.set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if self.stream is stream:
            self.stream = None
        for answer in pending.values():
            answer.woken.set()
        pending.clear()
        await anyio.aclose_forcefully(stream)


class Caller:
    """A client of one stage for one tenant, over several connections; it records every attempt's outcome."""

    def __init__(
        self, address: Callable[[], Address], seed: int, connections: int, stage: str, tenant: str
    ) -> None:
        """Make a caller without open connections."""
        self.rng = random.Random(seed)
        self.connections = [CallerConnection(address) for _ in range(connections)]
        self.stage = stage
        self.tenant = tenant
        self.outcomes: list[AttemptOutcome] = []
        self.created_at: dict[str, float] = {}  # by attempt id; s of the monotonic clock
        self.max_delay = 0.0  # s, greatest delay of a first attempt after its scheduled time

    def request_fields(self, key: str, is_retry: bool) -> dict[str, str]:
        """Return the header fields of a new attempt, with a random attempt id."""
        fields = {
            "service": self.stage,
            "ref": f"{self.rng.getrandbits(64):016x}",
            "since": str(time.time_ns() // 1_000_000),
            "sender": "1",
            "project": self.tenant,
            "effort": "5.0",
            "room": "1.0",
            "class_rank": "0.9",
            "replay": key,
        }
        return fields | {"dup": "1"} if is_retry else fields

    async def attempt(self, key: str, body: bytes, is_retry: bool, group: TaskGroup) -> AttemptOutcome:
        """Send one attempt on a random connection and record its outcome."""
        connection = self.rng.choice(self.connections)
        sent_at = time.monotonic()
        fields = self.request_fields(key, is_retry)
        self.created_at[fields["ref"]] = sent_at
        kind, value = await connection.attempt(fields, body, group)
        outcome = AttemptOutcome(key, body, kind, value, sent_at, time.monotonic())
        self.outcomes.append(outcome)
        return outcome

    async def book(
        self, number: int, start_at: float, timeout: float, repeat_share: float, group: TaskGroup
    ) -> None:
        """Send a booking at its scheduled time, and retry it until a final answer or the timeout.

        Args:
            number: Of the booking; key and body follow from it.
            start_at: Seconds of the monotonic clock.
            timeout: Seconds of retrying.
            repeat_share: Share of bookings that are sent again after the final answer, with the same timeout.
            group: Runs the readers of new connections.
        """
        await anyio.sleep(max(0.0, start_at - time.monotonic()))
        self.max_delay = max(self.max_delay, time.monotonic() - start_at)
        key, body = f"{number:032x}", b"booking %d" % number
        await self.retry_until_final(key, body, False, start_at + timeout, group)
        if self.rng.random() < repeat_share:
            await anyio.sleep(self.rng.uniform(0.0, 1.0))
            await self.retry_until_final(key, body, True, time.monotonic() + timeout, group)

    async def retry_until_final(
        self, key: str, body: bytes, is_retry: bool, deadline: float, group: TaskGroup
    ) -> None:
        """Attempt a request until a final answer or the deadline, never before a rejection's cooldown."""
        outcome = await self.attempt(key, body, is_retry, group)
        backoff = FIRST_BACKOFF
        while outcome.kind in RETRIED and time.monotonic() < deadline:
            cooldown = int(outcome.value.get("cooldown", 0)) / 1000 if outcome.kind == "rejected" else 0.0
            await anyio.sleep(max(cooldown, backoff) * self.rng.uniform(0.8, 1.2))
            backoff = min(MAX_BACKOFF, 2 * backoff)
            outcome = await self.attempt(key, body, True, group)
