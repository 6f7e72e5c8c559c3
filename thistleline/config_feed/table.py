"""The keyed table of the feed: one state, never changed once made. No I/O, no clock.

Keys have a section before the first slash: `route/...`, `common/...` and others that every follower holds,
and `tenant/...`, of which an instance holds what it uses. `made/SLOT` holds the request of the newest change
whose number falls on that slot: the last requests are part of the state, so that whoever writes next knows
them; no instance holds those. Entries are in persistent maps, so that a state is one reference: whoever looks
sees all of a change or nothing; a snapshot is the state it was begun on.

The digest of a state is the sum of its entries' hashes (128 bits), so that a change costs what it touches. It
finds what was lost, doubled or mixed up on the way; it is no guard against somebody who means harm.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import NamedTuple

from immutables import Map

from thistleline.config_feed.messages import Change, Kind

TENANT, MADE = "tenant/", "made/"
APART = (TENANT, MADE)  # sections that not every follower holds
_MASK = (1 << 128) - 1
Entry = tuple[bytes, int]  # value, version
Entries = Map[str, Entry]


def entry_hash(key: str, value: bytes, version: int) -> int:
    told = blake2b(digest_size=16)
    name = key.encode()
    told.update(len(name).to_bytes(4, "big") + name + version.to_bytes(8, "big") + value)
    return int.from_bytes(told.digest(), "big")


class Table(NamedTuple):
    sequence: int = 0
    wide: Entries = Map()
    tenants: Entries = Map()
    wide_sum: int = 0
    tenants_sum: int = 0

    def digest(self, kind: Kind) -> bytes:
        """16 bytes of the sections that a follower of this kind holds, at this number."""
        sums = self.wide_sum if kind == "wide" else self.wide_sum + self.tenants_sum
        return (sums & _MASK).to_bytes(16, "big")

    def get(self, key: str) -> Entry | None:
        return (self.tenants if key.startswith(APART) else self.wide).get(key)

    def version(self, key: str) -> int:
        found = self.get(key)
        return found[1] if found else 0

    def entries(self, kind: Kind) -> Iterator[tuple[str, bytes, int]]:
        """In an order that stays while this state is held."""
        for entries in (self.wide,) if kind == "wide" else (self.wide, self.tenants):
            for key, (value, version) in entries.items():
                yield key, value, version

    def count(self, kind: Kind) -> int:
        return len(self.wide) + (len(self.tenants) if kind == "all" else 0)

    def applied(self, change: Change) -> "Table":
        """The state after the change. Raises ValueError where it is not the next."""
        if change.sequence != self.sequence + 1:
            raise ValueError(f"change {change.sequence} does not follow {self.sequence}")
        return self.moved(change.sequence, ((key, value, change.sequence) for key, value in change.items))

    def moved(
        self, number: int, items: Iterable[tuple[str, bytes | None, int]], kind: Kind = "all"
    ) -> "Table":
        """The state `number`, with these entries in place of what stood; tenants are left out where this
        holds none (`wide`). None takes a key away."""
        maps = [self.wide.mutate(), self.tenants.mutate()]
        sums = [self.wide_sum, self.tenants_sum]
        for key, value, version in items:
            place = int(key.startswith(APART))
            if place and kind == "wide":
                continue
            known = maps[place].get(key)
            if known is not None:
                sums[place] -= entry_hash(key, *known)
                if value is None:
                    del maps[place][key]
            if value is not None:
                sums[place] += entry_hash(key, value, version)
                maps[place][key] = (value, version)
        return Table(number, maps[0].finish(), maps[1].finish(), sums[0] & _MASK, sums[1] & _MASK)
