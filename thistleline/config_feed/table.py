"""The keyed table of the feed as an immutable value, with a digest of its contents. No I/O, no clock.

A key begins with its section. Every follower holds `route/...`, `common/...` and other sections; an instance
(a process that uses the configuration) holds only those `tenant/...` entries that it uses. `made/SLOT` holds
the request id of the newest change whose sequence number maps to that slot. The request ids, which
deduplicate proposals, are part of the replicated state, so that the next writer has them; no instance holds
them.

Entries are stored in persistent maps, so that one reference is one complete state: a reader sees all of a
change or none of it, and a snapshot remains the state at which it was started.

The digest of a state is the sum of the hashes of its entries (128 bits), so that the cost of an update
depends only on the number of changed entries. It detects lost, duplicated or mixed-up updates, but does not
protect against an attacker.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import NamedTuple

from immutables import Map, MapMutation

from thistleline.config_feed.messages import Change, Kind

TENANT_PREFIX = "tenant/"
REQUEST_PREFIX = "made/"
PARTIAL_PREFIXES = (TENANT_PREFIX, REQUEST_PREFIX)  # sections that only some followers hold
DIGEST_SIZE = 16  # bytes
_DIGEST_MASK = (1 << 8 * DIGEST_SIZE) - 1
Entry = tuple[bytes, int]  # value, version
Entries = Map[str, Entry]


def entry_hash(key: str, value: bytes, version: int) -> int:
    """Return the 128-bit hash of one entry; the digest is the sum over all entries."""
    hasher = blake2b(digest_size=DIGEST_SIZE)
    name = key.encode()
    hasher.update(len(name).to_bytes(4, "big") + name + version.to_bytes(8, "big") + value)
    return int.from_bytes(hasher.digest(), "big")


class FeedTable(NamedTuple):
    """The state of the table after all changes up to `sequence`; immutable, updates return a new one."""

    sequence: int = 0
    wide: Entries = Map()  # entries that every follower holds
    tenants: Entries = Map()  # entries of the sections in PARTIAL_PREFIXES
    wide_sum: int = 0  # sum of the entry hashes of `wide`, modulo 2**128
    tenants_sum: int = 0

    def digest(self, kind: Kind) -> bytes:
        """Return the digest (16 bytes) of the sections that a follower of this kind holds."""
        total = self.wide_sum if kind == "wide" else self.wide_sum + self.tenants_sum
        return (total & _DIGEST_MASK).to_bytes(DIGEST_SIZE, "big")

    def get(self, key: str) -> Entry | None:
        """Return the value and version of a key, or None if it does not exist."""
        return (self.tenants if key.startswith(PARTIAL_PREFIXES) else self.wide).get(key)

    def version(self, key: str) -> int:
        """Return the version of a key; 0 if it does not exist."""
        entry = self.get(key)
        return entry[1] if entry else 0

    def entries(self, kind: Kind) -> Iterator[tuple[str, bytes, int]]:
        """Yield the key, value and version of each entry, in an order that is stable for this object."""
        for entries in (self.wide,) if kind == "wide" else (self.wide, self.tenants):
            for key, (value, version) in entries.items():
                yield key, value, version

    def entry_count(self, kind: Kind) -> int:
        """Return the number of entries that a follower of this kind holds."""
        return len(self.wide) + (len(self.tenants) if kind == "all" else 0)

    def apply(self, change: Change) -> "FeedTable":
        """Return the state after this change.

        Raises:
            ValueError: The change's sequence number is not the next one.
        """
        if change.sequence != self.sequence + 1:
            raise ValueError(f"change {change.sequence} does not follow {self.sequence}")
        return self.update(change.sequence, ((key, value, change.sequence) for key, value in change.items))

    def update(
        self, sequence: int, items: Iterable[tuple[str, bytes | None, int]], kind: Kind = "all"
    ) -> "FeedTable":
        """Return the state at `sequence`, with these items written.

        Args:
            sequence: Sequence number of the new state.
            items: Key, value and version; a value of None deletes the key.
            kind: With "wide", items of the partial sections are ignored.
        """
        wide = _SectionUpdate(self.wide, self.wide_sum)
        tenants = _SectionUpdate(self.tenants, self.tenants_sum)
        for key, value, version in items:
            if not key.startswith(PARTIAL_PREFIXES):
                wide.write(key, value, version)
            elif kind == "all":
                tenants.write(key, value, version)
        return FeedTable(
            sequence, wide.entries.finish(), tenants.entries.finish(), wide.total(), tenants.total()
        )


class _SectionUpdate:
    """A batch of writes to one map; maintains the sum of its entry hashes."""

    __slots__ = ("_sum", "entries")

    def __init__(self, entries: Entries, entries_sum: int) -> None:
        self.entries: MapMutation[str, Entry] = entries.mutate()
        self._sum = entries_sum

    def write(self, key: str, value: bytes | None, version: int) -> None:
        known = self.entries.get(key)
        if known is not None:
            self._sum -= entry_hash(key, *known)
            if value is None:
                del self.entries[key]
        if value is not None:
            self._sum += entry_hash(key, value, version)
            self.entries[key] = (value, version)

    def total(self) -> int:
        return self._sum & _DIGEST_MASK
