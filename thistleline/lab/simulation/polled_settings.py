"""A fleet that polls its settings, in virtual time: the baseline that the config feed is compared with.

Every instance's supervisor reads its desired version from the consensus cluster each `POLL` s and loads a
whole settings record when the desired version names another one. Regions, delays, line rates and changes are
those of simulation/feed_fleet.py. The lease table is the real one, sizes are those of its messages.

All that is not simulated is assumed at its best for polling: settings are in force at an instance once it has
read them, without a server-by-server replacement; an instance that was about to load older settings gets the
newest; the desired versions of all instances are written at once without processor time of the leader;
messages among replicas and the instances' folders are left out.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import msgspec

from thistleline.config_feed.limits import MS, SECOND
from thistleline.config_feed.messages import Propose
from thistleline.lab.simulation.feed_fleet import (
    CONTROL_RATE,
    FRAME_OVERHEAD,
    INSTANCE_RATE,
    SYNC_TIME,
    VirtualClock,
    draw_region_delays,
)
from thistleline.lease.protocol import MAX_VALUE_SIZE, Done, Get, Got, Put
from thistleline.lease.table import LeaseTable, encode_decision
from thistleline.lease.wire import Reply, Request, encode
from thistleline.supervisor.model import DesiredVersion, Version
from thistleline.supervisor.records import desired_version_key, digest_settings, settings_key
from thistleline.supervisor.service import POLL

SETTINGS = settings_key(0)  # one for all versions: the cluster limits the size of all records together
ENTRY_OVERHEAD = 4  # maximum bytes of an entry in a record beside its key and value
RECORD_OVERHEAD = 5  # bytes of a record
POLL_INTERVAL = int(POLL * SECOND)  # ns


class Settings:
    """A settings record: the newest value of each entry, as many entries as fit.

    When it is full, the least recently changed entry is evicted, so that each change is in the record that
    it makes.
    """

    def __init__(self, entries: Iterable[tuple[str, bytes]]) -> None:
        """Add entries in order until one does not fit."""
        self.entries: dict[str, bytes] = {}
        self.size = RECORD_OVERHEAD
        for key, value in entries:
            if self.size + self._cost(key, value) > MAX_VALUE_SIZE:
                break
            self.put(key, value)

    def _cost(self, key: str, value: bytes) -> int:
        """Return the size of an entry in bytes."""
        return len(key) + len(value) + ENTRY_OVERHEAD

    def put(self, key: str, value: bytes | None) -> None:
        """Set an entry, or delete it for None, and evict others if there is no room."""
        known = self.entries.pop(key, None)
        if known is not None:
            self.size -= self._cost(key, known)
        if value is not None:
            self.entries[key] = value
            self.size += self._cost(key, value)
        while self.size > MAX_VALUE_SIZE:
            oldest = next(iter(self.entries))
            self.size -= self._cost(oldest, self.entries.pop(oldest))

    def content(self) -> bytes:
        """Return the encoded record."""
        return encode(self.entries)


class PollingInstance:
    """The polling part of an instance."""

    __slots__ = (
        "bytes",
        "held",
        "line_free",
        "loading",
        "name",
        "region",
        "requests",
        "wanted",
        "wanted_version",
    )

    def __init__(self, name: str, region: int) -> None:
        """Make an instance that holds nothing."""
        self.name = name
        self.region = region
        self.requests = 0
        self.bytes = 0  # sent and received
        self.line_free = 0.0  # ns; when all sent messages have left
        self.wanted_version = 0  # of the record with its desired version
        self.held = 0  # number of the settings in force, which is their record's version
        self.wanted = 0  # number of the settings that its desired version names
        self.loading = False


class PolledTotals(NamedTuple):
    """Reads and bytes at the leader, and bytes of all instances together."""

    leader_reads: int
    leader_bytes: int
    instance_bytes: int


class PolledFleet(VirtualClock):
    """The consensus cluster's leader and all instances that poll it."""

    def __init__(
        self,
        entries: Iterable[tuple[str, bytes]],
        seed: int,
        instances: int,
        regions: int = 10,
        voters: int = 5,
        reads_s: float = 0,
        zones: int = 0,
    ) -> None:
        """Write the first record and start all polls at random times within an interval.

        Args:
            entries: Of the first record, in the order in which they are added.
            seed: Of all random draws.
            instances: How many poll.
            regions: Over which instances and replicas are spread.
            voters: Replicas of the consensus cluster; the leader is in region 0.
            reads_s: Reads that the leader's processor answers in a second; 0 for no limit.
            zones: As of VirtualFeed.
        """
        super().__init__()
        self.random = Random(seed)
        self.reads_s = reads_s
        self.regions = regions
        self.delays = draw_region_delays(self.random, regions)
        self.quorum_delay = self._quorum_delay(voters)
        self.table = LeaseTable()
        self.log_index = 0
        self.settings = Settings(entries)
        self.number = 0  # of the newest settings
        self.waiting: list[tuple[int, Propose]] = []  # for the next record, with the time of proposal in ns
        self.writing = False
        self.proposal_times: list[list[int]] = []  # of each record's changes, in ns
        self.processor_free = 0.0  # ns; when the leader's processor is idle
        self.line_free = 0.0  # ns; when all messages of the leader have left
        self.reads = 0  # answered by the leader
        self.bytes = 0  # sent and received by the leader
        self.changes = 0  # received by the leader
        self.changes_in_transit = 0
        self.answer_sizes: dict[tuple[str, int], int] = {}
        self.latencies: Counter[int] = (
            Counter()
        )  # number of (change, instance) by ms from proposal to in force
        self.instances = [
            PollingInstance(f"i{place:05}", place % (zones or regions) % regions)
            for place in range(instances)
        ]
        self._start_record()
        for instance in self.instances:
            key = desired_version_key(instance.name)
            self.at(self.random.randrange(POLL_INTERVAL), self._send_read, instance, key)

    def _quorum_delay(self, voters: int) -> int:
        """Return the ns until a majority has confirmed a write or the leader's term."""
        round_trips = sorted(2 * self._delay(0, place * self.regions // voters) for place in range(1, voters))
        return round_trips[voters // 2 - 1]

    def _delay(self, one: int, other: int) -> int:
        """Return the delay between two regions in ns."""
        return self.delays[one][other] or MS // 2

    def _with_jitter(self, least: int) -> int:
        """Return a delay that is up to a fifth longer than the least one."""
        return least + int(least * self.random.random() / 5)

    # ---- changes of the settings

    def propose(self, propose: Propose) -> None:
        """Propose a change from a random region."""
        self.changes_in_transit += 1
        delay = self._delay(self.random.randrange(self.regions), 0)
        self.at(self.now + delay, self._on_proposal, self.now, propose)

    def _on_proposal(self, asked: int, propose: Propose) -> None:
        """Receive a change at the leader; `asked` is the time of proposal in ns."""
        self.waiting.append((asked, propose))
        self.changes_in_transit -= 1
        self.changes += 1
        if not self.writing:
            self._start_record()

    def _start_record(self) -> None:
        """Begin to write a record with all waiting changes."""
        self.writing = True
        self.number += 1
        waiting = self.waiting
        self.waiting = []
        for _, propose in waiting:
            for key, value in propose.items:
                self.settings.put(key, value)
        self.proposal_times.append([asked for asked, _ in waiting])
        self.at(self.now + self.quorum_delay + SYNC_TIME, self._on_record_written, self.settings.content())

    def _on_record_written(self, content: bytes) -> None:
        """Store the record and begin to write the desired version of all instances."""
        self._put(SETTINGS, content)
        digest = digest_settings(content)
        value = encode(DesiredVersion(1, self.number, Version("1.0.0", digest, self.number, digest)))
        self.at(self.now + MS + self.quorum_delay + SYNC_TIME, self._on_record_confirmed, value)

    def _on_record_confirmed(self, value: bytes) -> None:
        """Store the desired version of all instances, and begin the next record if changes are waiting."""
        for instance in self.instances:
            self._put(desired_version_key(instance.name), value)
        self.writing = False
        if self.waiting:
            self._start_record()

    def _put(self, key: str, value: bytes) -> None:
        """Write a record of the lease table."""
        self.log_index += 1
        put = Put(key, value, self.table.get(key).version)
        self.bytes += len(encode(Request(self.log_index, put))) + FRAME_OVERHEAD
        answer = self.table.apply(self.log_index, encode_decision(put))
        assert isinstance(answer, Done), answer

    # ---- reads of instances

    def _send_read(self, instance: PollingInstance, key: str) -> None:
        """Send a read of an instance to the leader."""
        instance.requests += 1
        size = len(encode(Request(instance.requests, Get(key)))) + FRAME_OVERHEAD
        instance.bytes += size
        instance.line_free = max(instance.line_free, float(self.now)) + size / INSTANCE_RATE
        when = int(instance.line_free) + self._with_jitter(self._delay(instance.region, 0))
        self.at(when, self._on_read, instance, key, instance.requests, size)

    def _on_read(self, instance: PollingInstance, key: str, number: int, size: int) -> None:
        """Receive a read at the leader, which answers once a majority has confirmed its leadership."""
        self.bytes += size
        when = self.now
        if self.reads_s:
            self.processor_free = max(self.processor_free, float(self.now)) + SECOND / self.reads_s
            when = int(self.processor_free)
        self.at(when + self.quorum_delay, self._send_answer, instance, key, number)

    def _send_answer(self, instance: PollingInstance, key: str, number: int) -> None:
        """Send the answer to a read."""
        got = self.table.get(key)
        size = self._answer_size(key, got) + len(encode(number))
        self.reads += 1
        self.bytes += size
        self.line_free = max(self.line_free, float(self.now)) + size / CONTROL_RATE
        when = int(self.line_free) + self._with_jitter(self._delay(0, instance.region))
        self.at(when, self._on_answer, instance, key, got, size)

    def _answer_size(self, key: str, got: Got) -> int:
        """Return the size of an answer in bytes, without its number."""
        kind = key.partition("/")[0], len(got.value)
        if kind not in self.answer_sizes:
            self.answer_sizes[kind] = len(encode(Reply(0, Got(got.value, 0)))) - 2 + FRAME_OVERHEAD
        return self.answer_sizes[kind] + len(encode(got.version))

    def _on_answer(self, instance: PollingInstance, key: str, got: Got, size: int) -> None:
        """Receive an answer at an instance: its desired version or the settings."""
        instance.bytes += size
        if key.startswith("want/"):
            if got.version != instance.wanted_version and got.version:
                instance.wanted_version = got.version
                instance.wanted = msgspec.msgpack.decode(got.value, type=DesiredVersion).number
            self.at(self.now + POLL_INTERVAL, self._send_read, instance, key)
        else:
            instance.loading = False
            for record in range(instance.held, got.version):
                for asked in self.proposal_times[record]:
                    self.latencies[(self.now - asked) // MS] += 1
            instance.held = got.version
        if instance.wanted > instance.held and not instance.loading:
            instance.loading = True
            self._send_read(instance, SETTINGS)

    # ---- results

    def behind(self) -> int:
        """Return the number of instances without the newest settings."""
        return sum(instance.held < self.number for instance in self.instances)

    def settle(self, patience: int = 60 * SECOND) -> int:
        """Run until all instances have the newest settings, for `patience` ns at most; return the ns."""
        began = self.now
        self.run(self.now + patience, lambda: not (self.changes_in_transit or self.writing or self.behind()))
        return self.now - began

    def shares(self) -> dict[str, int]:
        """Return the number of entries of each section in the record."""
        counts: dict[str, int] = defaultdict(int)
        for key in self.settings.entries:
            counts[key.partition("/")[0]] += 1
        return counts

    def totals(self) -> PolledTotals:
        """Return the sums of all traffic."""
        return PolledTotals(self.reads, self.bytes, sum(instance.bytes for instance in self.instances))
