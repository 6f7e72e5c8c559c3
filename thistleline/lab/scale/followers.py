"""Many hollow instances in one process: the client that runs, a connection each; states shared where they are
equal, so that hundreds of tables fit. `python -m thistleline.lab.scale.followers JSON`.

It is told by lines and answers each with one: `go` starts all, `stands` asks for their numbers and whom they
follow, `tell` for all that was seen since it was asked last. It ends with its standard input.

What is shared is not paid for by each: a change is taken into one table for all of a process, and a snapshot
is made into a table once. Who is alone in a process pays for all of it.
"""

import sys
import time
from collections import Counter
from random import Random
from typing import Any, ClassVar

import anyio
import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from thistleline.config_feed import follower as following
from thistleline.config_feed import follower_service, request, send_queue, upstream
from thistleline.config_feed.client import FeedClient
from thistleline.config_feed.effects import ConnectUpstream, FollowerEffect
from thistleline.config_feed.events import FollowerEvent, UpstreamMessage
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.lookups import LookupCache
from thistleline.config_feed.messages import Kind, SnapshotPart
from thistleline.config_feed.table import PARTIAL_PREFIXES, FeedTable
from thistleline.lab.scale.feed import HOT, LOOKS, tenant_key
from thistleline.lab.simulation.feed_fleet import Shared
from thistleline.transport.codec import FrameDecoder, encode_frame

PARTS_KEPT, TABLES_KEPT = 4_000, 8
Items = tuple[tuple[str, bytes, int], ...]


class Told(msgspec.Struct, frozen=True):
    """Who follows whom here. `tenants`: how many there are to be looked up."""

    sources: dict[str, tuple[str, int]]
    first: int
    many: int
    tenants: int
    seed: int


class Seen(msgspec.Struct):
    """What one of them saw: each state by its number and when look-ups answered by it, ns of the monotonic
    clock. `wrong`: look-ups that did not. `silent`: the longest without a word on one connection, ns.
    `tenants`: what is held of them, value and version."""

    name: str
    at: str = ""
    number: int = 0
    digest: bytes = b""
    states: list[tuple[int, int]] = []
    loads: int = 0
    wrong: int = 0
    connects: int = 0
    silent: int = 0
    tenants: dict[str, tuple[bytes | None, int]] = {}


class Report(msgspec.Struct):
    """Bytes and processor time (ns) are of the process, since it began."""

    followers: list[Seen]
    got: int = 0
    sent: int = 0
    cpu: int = 0
    reducers: int = 0


class Parts:
    """A snapshot as far as it came. It becomes a table once for all who have the same parts."""

    known: ClassVar[dict[Items, Items]] = {}
    made: ClassVar[dict[tuple[int, tuple[Items, ...]], Shared]] = {}

    def __init__(self, sequence: int = 0, parts: tuple[Items, ...] = ()) -> None:
        self.sequence, self.parts = sequence, parts

    def update(self, sequence: int, items: Items, kind: Kind) -> "Parts":
        if len(self.known) > PARTS_KEPT:
            self.known.clear()
        return Parts(sequence, (*self.parts, self.known.setdefault(items, items)))

    def entry_count(self, kind: Kind) -> int:
        return sum(map(len, self.parts))

    def digest(self, kind: Kind) -> bytes:
        return self.table(kind).digest(kind)

    def table(self, kind: Kind) -> Shared:
        key = self.sequence, self.parts
        found = self.made.get(key)
        if found is None:
            entries = (one for part in self.parts for one in part)
            found = self.made[key] = Shared(*FeedTable.update(FeedTable(), self.sequence, entries, kind))
            while len(self.made) > TABLES_KEPT:
                del self.made[next(iter(self.made))]
        return found


class Traffic:
    got = sent = 0


def share() -> None:
    """For all of this process: tables are shared, bytes of the links counted."""
    had = Follower._add_part

    def part(self: Follower, told: SnapshotPart) -> None:
        had(self, told)
        if isinstance(self.table, Parts):
            self.table = self.table.table(self.kind)

    class Counted(FrameDecoder):
        def feed(self, data: bytes) -> list[bytes]:
            Traffic.got += len(data)
            return super().feed(data)

    def counted(payload: bytes) -> bytes:
        data = encode_frame(payload)
        Traffic.sent += len(data)
        return data

    for where, name, other in ((Follower, "_add_part", part), (following, "FeedTable", Parts),
                               (follower_service, "FeedTable", Shared), (upstream, "FrameDecoder", Counted),
                               (send_queue, "encode_frame", counted),
                               (request, "encode_frame", counted)):  # fmt: skip
        setattr(where, name, other)


class Timed:
    """A reducer, and the processor time that it takes; what it does and hears is noted in `seen`."""

    spent: ClassVar[int] = 0

    def __init__(self, reducer: LookupCache, seen: Seen) -> None:
        self.next_deadline, self.inner, self.seen = reducer.next_deadline, reducer, seen
        self.heard_at = 0

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerEffect]:
        begun = time.thread_time_ns()
        effects = self.inner.handle(now, event)
        Timed.spent += time.thread_time_ns() - begun
        if isinstance(event, UpstreamMessage):
            self.seen.silent = max(self.seen.silent, now - (self.heard_at or now))
            self.heard_at = now
        elif any(isinstance(effect, ConnectUpstream) for effect in effects):
            self.seen.connects += 1
            self.heard_at = 0
        return effects


class Hollow:
    def __init__(self, name: str, told: Told, seed: int) -> None:
        self.seen = Seen(name)
        self.client = FeedClient(name, told.sources, random=Random(seed), on_state=self._saw)
        self.timed = self.client.state_machine = Timed(self.client.lookups, self.seen)

    def _saw(self, table: FeedTable, items: Any) -> None:
        seen = self.seen
        for key, value, version in items or ():
            if not key.startswith(PARTIAL_PREFIXES):
                found = self.client.lookup(key)
                seen.wrong += (found.value, found.version) != (value, version if value is not None else 0)
                break
        seen.states.append((table.sequence, time.monotonic_ns()))
        seen.loads += items is None

    def tell(self) -> Seen:
        seen, client = self.seen, self.client
        seen.at, seen.number = client.follower.upstream, client.table.sequence
        seen.digest = client.table.digest("wide")
        seen.tenants = {key: one[:2] for key, one in client.lookups.tenants.items()}
        self.seen = self.timed.seen = Seen(seen.name)
        return seen


class Followers:
    def __init__(self, told: Told) -> None:
        self.told = told
        places = range(told.first, told.first + told.many)
        self.all = [Hollow(f"i{place}", told, told.seed * 10_000 + place) for place in places]

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            while line := await anyio.to_thread.run_sync(sys.stdin.buffer.readline):
                answer = getattr(self, f"_{line.decode().strip()}")(group)
                sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
                sys.stdout.buffer.flush()
            group.cancel_scope.cancel()

    def _go(self, group: TaskGroup) -> int:
        for one in self.all:
            group.start_soon(one.client.run)
        group.start_soon(self._look)
        return time.monotonic_ns()

    def _stands(self, group: TaskGroup) -> tuple[dict[int, int], dict[str, int]]:
        numbers = Counter(one.client.table.sequence for one in self.all)
        return dict(numbers), dict(Counter(one.client.follower.upstream for one in self.all))

    def _tell(self, group: TaskGroup) -> Report:
        told = [one.tell() for one in self.all]
        return Report(told, Traffic.got, Traffic.sent, time.process_time_ns(), Timed.spent)

    async def _look(self) -> None:
        """A tenant now and then, one of a few every other time."""
        chance, many = Random(self.told.seed + self.told.first), self.told.tenants
        while True:
            await anyio.sleep(chance.expovariate(LOOKS * len(self.all)))
            place = chance.randrange(min(many, chance.choice((HOT, many))))
            chance.choice(self.all).client.lookup(tenant_key(place))


def main() -> None:
    share()
    anyio.run(Followers(msgspec.json.decode(sys.argv[1], type=Told)).run)


if __name__ == "__main__":
    main()
