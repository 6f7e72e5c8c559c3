"""What is there today, in virtual time: stewards that ask the council for their want each `POLL` s and load a
whole record of the settings when the want names another. Beside simulation/feed_fleet.py: the same regions,
delays and line rates, the same changes. The council's table is the real one, sizes are those of its messages.

Best case for today in all that is not counted here: a steward has the settings in force once it has read
them, no server is replaced one after the other; one that was on its way to older settings gets the newest;
wants of all are written at once and cost the leader's processor nothing; voters' messages among each other
and an instance's folder are left out.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from random import Random

import msgspec

from thistleline.config_feed.limits import MS, SECOND
from thistleline.config_feed.messages import Propose
from thistleline.lab.simulation.feed_fleet import HEAD, LINE, PLENTY, SYNC, Clock, delays
from thistleline.lease.protocol import MAX_VALUE_SIZE, Done, Get, Got, Put
from thistleline.lease.table import LeaseTable, encode_decision
from thistleline.lease.wire import Reply, Request, encode
from thistleline.supervisor.model import DesiredVersion, Version
from thistleline.supervisor.records import desired_version_key, digest_settings, settings_key
from thistleline.supervisor.service import POLL

SETTINGS = settings_key(0)  # one for all versions: the council's records together are bounded to some ten
ENTRY_HEAD = 4  # bytes of an entry in a record beside its key and value, at most
RECORD_HEAD = 5  # of a record
WANT_AT = int(POLL * SECOND)


class Settings:
    """One record: entries with the newest value of each, as many as fit. One more, and the one that was not
    changed for longest goes, so that each change stands in the record that it makes."""

    def __init__(self, entries: Iterable[tuple[str, bytes]]) -> None:
        self.entries: dict[str, bytes] = {}
        self.size = RECORD_HEAD
        for key, value in entries:
            if self.size + self._cost(key, value) > MAX_VALUE_SIZE:
                break
            self.put(key, value)

    def _cost(self, key: str, value: bytes) -> int:
        return len(key) + len(value) + ENTRY_HEAD

    def put(self, key: str, value: bytes | None) -> None:
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
        return encode(self.entries)


class Steward:
    """A hollow instance."""

    __slots__ = ("asked", "bytes", "free", "held", "loading", "name", "region", "version", "wanted")

    def __init__(self, name: str, region: int) -> None:
        self.name, self.region = name, region
        self.asked = self.bytes = 0
        self.free = 0.0  # when all that it sent is out
        self.version = 0  # of its want's record
        self.held = self.wanted = 0  # numbers of the settings, which are their record's versions
        self.loading = False


class PolledFleet(Clock):
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
        """`entries`: what the first record is made of, in the order in which they find room; `reads_s`: what
        the leader's processor answers in a second, 0 for all that come; `zones` as of VirtualFeed."""
        super().__init__()
        self.chance, self.reads_s = Random(seed), reads_s
        self.regions, self.apart = regions, delays(self.chance, regions)
        others = sorted(2 * self._way(0, place * regions // voters) for place in range(1, voters))
        self.confirmed = others[voters // 2 - 1]  # ns till a majority has what it is told, or says who leads
        self.table, self.index = LeaseTable(), 0
        self.settings, self.number = Settings(entries), 0
        self.waiting: list[tuple[int, Propose]] = []  # asked for, when; they go with the next record
        self.under_way = False
        self.made: list[list[int]] = []  # of each record, when its changes were asked for
        self.busy = 0.0  # the leader's processor, until
        self.free = 0.0  # the leader's line
        self.reads = self.bytes = self.changes = 0  # at the leader, reads when they are answered
        self.coming = 0  # changes on their way there
        self.sizes: dict[tuple[str, int], int] = {}
        self.took: Counter[int] = Counter()  # ms from asking to in force: how many (change, instance)
        self.stewards = [
            Steward(f"i{place:05}", place % (zones or regions) % regions) for place in range(instances)
        ]
        self._record()
        for steward in self.stewards:
            self.at(self.chance.randrange(WANT_AT), self._asks, steward, desired_version_key(steward.name))

    def _way(self, one: int, other: int) -> int:
        return self.apart[one][other] or MS // 2

    def _late(self, least: int) -> int:
        return least + int(least * self.chance.random() / 5)

    # ---- who changes the settings

    def propose(self, propose: Propose) -> None:
        self.coming += 1
        way = self._way(self.chance.randrange(self.regions), 0)
        self.at(self.now + way, self._proposed, self.now, propose)

    def _proposed(self, asked: int, propose: Propose) -> None:
        self.waiting.append((asked, propose))
        self.coming -= 1
        self.changes += 1
        if not self.under_way:
            self._record()

    def _record(self) -> None:
        """All that waits makes a whole record; once it is decided the wants of all name it."""
        self.under_way = True
        self.number += 1
        waiting, self.waiting = self.waiting, []
        for _, propose in waiting:
            for key, value in propose.items:
                self.settings.put(key, value)
        self.made.append([asked for asked, _ in waiting])
        self.at(self.now + self.confirmed + SYNC, self._written, self.settings.content())

    def _written(self, content: bytes) -> None:
        self._put(SETTINGS, content)
        digest = digest_settings(content)
        value = encode(DesiredVersion(1, self.number, Version("1.0.0", digest, self.number, digest)))
        self.at(self.now + MS + self.confirmed + SYNC, self._wanted, value)

    def _wanted(self, value: bytes) -> None:
        for steward in self.stewards:
            self._put(desired_version_key(steward.name), value)
        self.under_way = False
        if self.waiting:
            self._record()

    def _put(self, key: str, value: bytes) -> None:
        self.index += 1
        put = Put(key, value, self.table.get(key).version)
        self.bytes += len(encode(Request(self.index, put))) + HEAD
        answer = self.table.apply(self.index, encode_decision(put))
        assert isinstance(answer, Done), answer

    # ---- who asks

    def _asks(self, steward: Steward, key: str) -> None:
        steward.asked += 1
        size = len(encode(Request(steward.asked, Get(key)))) + HEAD
        steward.bytes += size
        steward.free = max(steward.free, float(self.now)) + size / LINE
        when = int(steward.free) + self._late(self._way(steward.region, 0))
        self.at(when, self._asked, steward, key, steward.asked, size)

    def _asked(self, steward: Steward, key: str, number: int, size: int) -> None:
        """At the leader: a read is answered after a majority has confirmed that it leads."""
        self.bytes += size
        when = self.now
        if self.reads_s:
            self.busy = max(self.busy, float(self.now)) + SECOND / self.reads_s
            when = int(self.busy)
        self.at(when + self.confirmed, self._answers, steward, key, number)

    def _answers(self, steward: Steward, key: str, number: int) -> None:
        got = self.table.get(key)
        size = self._size(key, got) + len(encode(number))
        self.reads += 1
        self.bytes += size
        self.free = max(self.free, float(self.now)) + size / PLENTY
        when = int(self.free) + self._late(self._way(0, steward.region))
        self.at(when, self._told, steward, key, got, size)

    def _size(self, key: str, got: Got) -> int:
        """Of the answer, without its number."""
        mark = key.partition("/")[0], len(got.value)
        if mark not in self.sizes:
            self.sizes[mark] = len(encode(Reply(0, Got(got.value, 0)))) - 2 + HEAD
        return self.sizes[mark] + len(encode(got.version))

    def _told(self, steward: Steward, key: str, got: Got, size: int) -> None:
        steward.bytes += size
        if key.startswith("want/"):
            if got.version != steward.version and got.version:
                steward.version = got.version
                steward.wanted = msgspec.msgpack.decode(got.value, type=DesiredVersion).number
            self.at(self.now + WANT_AT, self._asks, steward, key)
        else:
            steward.loading = False
            for record in range(steward.held, got.version):
                for asked in self.made[record]:
                    self.took[(self.now - asked) // MS] += 1
            steward.held = got.version
        if steward.wanted > steward.held and not steward.loading:
            steward.loading = True
            self._asks(steward, SETTINGS)

    # ---- what came out

    def behind(self) -> int:
        return sum(steward.held < self.number for steward in self.stewards)

    def settle(self, patience: int = 60 * SECOND) -> int:
        """ns until all hold the newest, or that patience."""
        began = self.now
        self.run(self.now + patience, lambda: not (self.coming or self.under_way or self.behind()))
        return self.now - began

    def shares(self) -> dict[str, int]:
        """How many entries of each section have room in the record."""
        found: dict[str, int] = defaultdict(int)
        for key in self.settings.entries:
            found[key.partition("/")[0]] += 1
        return found

    def totals(self) -> tuple[int, int, int]:
        """At the leader reads and bytes, of all instances together bytes."""
        return self.reads, self.bytes, sum(steward.bytes for steward in self.stewards)
