"""Many instances that only follow the feed, in one process: `python -m thistleline.lab.scale.followers JSON`.

Each runs the real feed client with a connection of its own; equal tables are shared, so that hundreds fit.

Commands are lines on standard input, each answered by a line of JSON: `go` starts all, `stands` returns their
sequence numbers and upstreams, `tell` a report since the last one. The process ends with its standard input.

The cost of what is shared is not paid by each: a change is applied to one table for the whole process, and a
snapshot becomes a table once. A follower alone in its process pays for all of it.
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
from thistleline.lab.scale.feed import HOT_TENANTS, LOOKUPS_S, tenant_key
from thistleline.lab.simulation.feed_fleet import SharedTable
from thistleline.transport.codec import FrameDecoder, encode_frame

MAX_SHARED_PARTS = 4_000
MAX_SHARED_TABLES = 8
Items = tuple[tuple[str, bytes, int], ...]


class FollowersSettings(msgspec.Struct, frozen=True):
    """Settings of the process: upstreams, first number and count of followers, tenants to look up."""

    sources: dict[str, tuple[str, int]]
    first: int
    many: int
    tenants: int
    seed: int


class FollowerReport(msgspec.Struct):
    """What one follower observed since the last report.

    Attributes:
        name: Name of the follower.
        at: Name of its upstream.
        number: Sequence number of its table.
        digest: Digest of its table.
        states: Each new state's sequence number and the monotonic time, in ns, from which look-ups used it.
        loads: Number of states that came as a snapshot.
        wrong: Number of look-ups that did not return the new state.
        connects: Number of connection attempts.
        silent: Longest time without a message on one connection, in ns.
        tenants: Cached tenants: value and version.
    """

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
    """Report of the process: `got` and `sent` bytes, `cpu` and `reducers` CPU time (ns) since its start."""

    followers: list[FollowerReport]
    got: int = 0
    sent: int = 0
    cpu: int = 0
    reducers: int = 0


class SharedSnapshot:
    """A snapshot as far as it was received; one table is made of it for all followers with equal parts."""

    known: ClassVar[dict[Items, Items]] = {}
    made: ClassVar[dict[tuple[int, tuple[Items, ...]], SharedTable]] = {}

    def __init__(self, sequence: int = 0, parts: tuple[Items, ...] = ()) -> None:
        """Take the sequence number and the parts received."""
        self.sequence = sequence
        self.parts = parts

    def update(self, sequence: int, items: Items, kind: Kind) -> "SharedSnapshot":
        """Return the snapshot with one more part."""
        if len(self.known) > MAX_SHARED_PARTS:
            self.known.clear()
        return SharedSnapshot(sequence, (*self.parts, self.known.setdefault(items, items)))

    def entry_count(self, kind: Kind) -> int:
        """Return the number of entries received."""
        return sum(map(len, self.parts))

    def digest(self, kind: Kind) -> bytes:
        """Return the digest of the table."""
        return self.table(kind).digest(kind)

    def table(self, kind: Kind) -> SharedTable:
        """Return the shared table of these parts."""
        key = self.sequence, self.parts
        found = self.made.get(key)
        if found is None:
            entries = (one for part in self.parts for one in part)
            found = self.made[key] = SharedTable(*FeedTable.update(FeedTable(), self.sequence, entries, kind))
            while len(self.made) > MAX_SHARED_TABLES:
                del self.made[next(iter(self.made))]
        return found


class Traffic:
    """Bytes received and sent on all connections of the process."""

    got = 0
    sent = 0


def share_tables() -> None:
    """Patch the feed client of this process to share tables and to count the bytes of connections."""
    add_part = Follower._add_part

    def add_shared_part(self: Follower, part: SnapshotPart) -> None:
        add_part(self, part)
        if isinstance(self.table, SharedSnapshot):
            self.table = self.table.table(self.kind)

    class CountingDecoder(FrameDecoder):
        def feed(self, data: bytes) -> list[bytes]:
            Traffic.got += len(data)
            return super().feed(data)

    def encode_counted(payload: bytes) -> bytes:
        data = encode_frame(payload)
        Traffic.sent += len(data)
        return data

    replacements: list[tuple[Any, str, Any]] = [
        (Follower, "_add_part", add_shared_part),
        (following, "FeedTable", SharedSnapshot),
        (follower_service, "FeedTable", SharedTable),
        (upstream, "FrameDecoder", CountingDecoder),
        (send_queue, "encode_frame", encode_counted),
        (request, "encode_frame", encode_counted),
    ]
    for owner, name, replacement in replacements:
        setattr(owner, name, replacement)


class TimedStateMachine:
    """A state machine with the CPU time that it takes (ns); its connections are recorded in `seen`."""

    spent: ClassVar[int] = 0

    def __init__(self, inner: LookupCache, seen: FollowerReport) -> None:
        """Wrap the lookup cache; `seen` is the report to fill."""
        self.next_deadline = inner.next_deadline
        self.inner = inner
        self.seen = seen
        self.received_at = 0

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerEffect]:
        """Handle the event, recording the time, connection attempts and silences."""
        started = time.thread_time_ns()
        effects = self.inner.handle(now, event)
        TimedStateMachine.spent += time.thread_time_ns() - started
        if isinstance(event, UpstreamMessage):
            self.seen.silent = max(self.seen.silent, now - (self.received_at or now))
            self.received_at = now
        elif any(isinstance(effect, ConnectUpstream) for effect in effects):
            self.seen.connects += 1
            self.received_at = 0
        return effects


class FollowingInstance:
    """One feed client and what it observed."""

    def __init__(self, name: str, settings: FollowersSettings, seed: int) -> None:
        """Make the client; it does not run yet."""
        self.seen = FollowerReport(name)
        self.client = FeedClient(name, settings.sources, random=Random(seed), on_state=self._on_state)
        self.timed = self.client.state_machine = TimedStateMachine(self.client.lookups, self.seen)

    def _on_state(self, table: FeedTable, items: Any) -> None:
        seen = self.seen
        for key, value, version in items or ():
            if not key.startswith(PARTIAL_PREFIXES):
                found = self.client.lookup(key)
                seen.wrong += (found.value, found.version) != (value, version if value is not None else 0)
                break
        seen.states.append((table.sequence, time.monotonic_ns()))
        seen.loads += items is None

    def report(self) -> FollowerReport:
        """Return what was observed since the last report."""
        seen, client = self.seen, self.client
        seen.at, seen.number = client.follower.upstream, client.table.sequence
        seen.digest = client.table.digest("wide")
        seen.tenants = {key: one[:2] for key, one in client.lookups.tenants.items()}
        self.seen = self.timed.seen = FollowerReport(seen.name)
        return seen


class Followers:
    """All followers of the process, and the commands on standard input."""

    def __init__(self, settings: FollowersSettings) -> None:
        """Make the followers; they do not run yet."""
        self.settings = settings
        numbers = range(settings.first, settings.first + settings.many)
        self.all = [
            FollowingInstance(f"i{number}", settings, settings.seed * 10_000 + number) for number in numbers
        ]

    async def run(self) -> None:
        """Answer commands until standard input ends."""
        commands = {"go": self._go, "stands": self._stands, "tell": self._tell}
        async with anyio.create_task_group() as group:
            while line := await anyio.to_thread.run_sync(sys.stdin.buffer.readline):
                answer = commands[line.decode().strip()](group)
                sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
                sys.stdout.buffer.flush()
            group.cancel_scope.cancel()

    def _go(self, group: TaskGroup) -> int:
        for one in self.all:
            group.start_soon(one.client.run)
        group.start_soon(self._look_up_tenants)
        return time.monotonic_ns()

    def _stands(self, group: TaskGroup) -> tuple[dict[int, int], dict[str, int]]:
        numbers = Counter(one.client.table.sequence for one in self.all)
        return dict(numbers), dict(Counter(one.client.follower.upstream for one in self.all))

    def _tell(self, group: TaskGroup) -> Report:
        reports = [one.report() for one in self.all]
        return Report(reports, Traffic.got, Traffic.sent, time.process_time_ns(), TimedStateMachine.spent)

    async def _look_up_tenants(self) -> None:
        """Look up a random tenant at random times, every other time one of the few hot ones."""
        random = Random(self.settings.seed + self.settings.first)
        many = self.settings.tenants
        while True:
            await anyio.sleep(random.expovariate(LOOKUPS_S * len(self.all)))
            number = random.randrange(min(many, random.choice((HOT_TENANTS, many))))
            random.choice(self.all).client.lookup(tenant_key(number))


def main() -> None:
    """Run the followers that the first argument describes."""
    share_tables()
    anyio.run(Followers(msgspec.json.decode(sys.argv[1], type=FollowersSettings)).run)


if __name__ == "__main__":
    main()
