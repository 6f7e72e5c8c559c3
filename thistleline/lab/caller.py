"""An open-loop caller: bookings begin at times fixed before the run; further tries follow their first."""

import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketStream

from thistleline.wire import stub
from thistleline.wire.buffer import Buffer

Open = dict[int, tuple[anyio.Event, list[Any]]]
TRY_SPAN = 3.0  # a try without an answer for so long is given up


class Told(NamedTuple):
    """What came back for one try: when it was sent and answered, by the monotonic clock."""

    mark: str
    body: bytes
    kind: str  # finished, rejected, abandoned, misunderstood, or lost: no answer
    value: Any
    sent: float
    at: float


class Line:
    """One connection, made anew when it ends."""

    def __init__(self, address: Callable[[], tuple[str, int]], caller: int) -> None:
        self.address, self.caller = address, caller
        self.stream: SocketStream | None = None
        self.seq = 0
        self.open: Open = {}  # of the connection that is asked on now
        self.making = anyio.Lock()

    async def ask(self, words: dict[str, str], body: bytes, group: Any) -> tuple[str, Any]:
        """One try; "lost" where no answer came."""
        event, answer = anyio.Event(), list[Any]()
        seq, waiting = -1, self.open
        try:
            async with self.making:
                if self.stream is None:
                    self.stream = await anyio.connect_tcp(*self.address())
                    self.seq, self.open = 0, {}
                    group.start_soon(self._read, self.stream, self.open)
                self.seq += 1
                seq, waiting = self.seq, self.open
                waiting[seq] = event, answer
                await self.stream.send(stub.encode_process(seq, words, body))
            with anyio.move_on_after(TRY_SPAN):
                await event.wait()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            if self.open is waiting:
                self.stream = None
        finally:
            waiting.pop(seq, None)
        return (answer[0], answer[1]) if answer else ("lost", None)

    async def _read(self, stream: SocketStream, waiting: Open) -> None:
        """To its end; what is asked once nothing new is wanted here goes on another connection."""
        buffer = Buffer(stub.MAX_RESPONSE_SIZE)
        try:
            while waiting or self.stream is stream:
                data = await stream.receive(65536)
                buffer.room()[: len(data)] = data
                buffer.filled(len(data))
                for response in stub.decode_responses(buffer):
                    if response.kind == "dismiss" and self.stream is stream:
                        self.stream = None
                    elif response.sequence in waiting:
                        event, answer = waiting.pop(response.sequence)
                        answer += [response.kind, response.value]
                        event.set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if self.stream is stream:
            self.stream = None
        for event, _ in waiting.values():
            event.set()
        waiting.clear()
        await anyio.aclose_forcefully(stream)


class Caller:
    def __init__(
        self, address: Callable[[], tuple[str, int]], seed: int, lines: int, stage: str, owner: str
    ) -> None:
        self.chance = random.Random(seed)
        self.lines = [Line(address, place) for place in range(lines)]
        self.stage, self.owner = stage, owner
        self.told: list[Told] = []
        self.since: dict[str, float] = {}  # of each try by its id: when it was made, by the monotonic clock
        self.late = 0.0  # seconds that the latest first try was sent after its time

    def words(self, mark: str, again: bool) -> dict[str, str]:
        told = {
            "service": self.stage,
            "ref": f"{self.chance.getrandbits(64):016x}",
            "since": str(time.time_ns() // 1_000_000),
            "sender": "1",
            "project": self.owner,
            "effort": "5.0",
            "room": "1.0",
            "class_rank": "0.9",
            "replay": mark,
        }
        return told | {"dup": "1"} if again else told

    async def ask(self, mark: str, body: bytes, again: bool, group: Any) -> Told:
        line = self.chance.choice(self.lines)
        sent = time.monotonic()
        words = self.words(mark, again)
        self.since[words["ref"]] = sent
        kind, value = await line.ask(words, body, group)
        told = Told(mark, body, kind, value, sent, time.monotonic())
        self.told.append(told)
        return told

    async def booking(self, number: int, due: float, span: float, repeats: float, group: Any) -> None:
        """First try at its time, then further ones till something final comes or `span` seconds are over;
        a part `repeats` of the bookings is asked for again after the end, as long."""
        await anyio.sleep(max(0.0, due - time.monotonic()))
        self.late = max(self.late, time.monotonic() - due)
        mark, body = f"{number:032x}", b"booking %d" % number
        await self.until_told(mark, body, False, due + span, group)
        if self.chance.random() < repeats:
            await anyio.sleep(self.chance.uniform(0.0, 1.0))
            await self.until_told(mark, body, True, time.monotonic() + span, group)

    async def until_told(self, mark: str, body: bytes, again: bool, until: float, group: Any) -> None:
        """Tries till something final comes or the time is over; not before each rejection's stay away."""
        told = await self.ask(mark, body, again, group)
        pause = 0.02
        while told.kind in ("lost", "rejected", "misunderstood") and time.monotonic() < until:
            away = int(told.value.get("cooldown", 0)) / 1000 if told.kind == "rejected" else 0.0
            await anyio.sleep(max(away, pause) * self.chance.uniform(0.8, 1.2))
            pause = min(0.3, 2 * pause)
            told = await self.ask(mark, body, True, group)
