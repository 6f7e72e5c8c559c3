"""One member's view of the fleet: records by id, and the queue of updates that are still to be spread.

No I/O and no clock.
"""

from hashlib import blake2b

from thistleline.membership.messages import (
    DEAD,
    LEFT,
    MAX_ID_LENGTH,
    MAX_INCARNATION,
    MAX_TEXT_LENGTH,
    MemberRecord,
    encode,
)

MAX_MEMBERS = 10_000
MAX_FIGURES = 8
BUCKETS = 64  # the members are divided into this many buckets, whose digests are compared (anti-entropy)


def bucket_of(id: str) -> int:
    """Return the bucket that a member id belongs to; it is the same for all members that compute it."""
    return blake2b(id.encode(), digest_size=1).digest()[0] % BUCKETS


def is_valid(record: MemberRecord) -> bool:
    """Return whether the lengths and values in a received record are within their limits."""
    facts = record.facts
    return (
        0 < len(record.id) <= MAX_ID_LENGTH
        and len(record.address) <= MAX_TEXT_LENGTH
        and len(record.suspected_by) <= MAX_ID_LENGTH
        and len(facts.release) <= MAX_TEXT_LENGTH
        and len(facts.zone) <= MAX_TEXT_LENGTH
        and len(facts.figures) <= MAX_FIGURES
        and 0 <= record.incarnation <= MAX_INCARNATION
        and 0 <= record.status <= LEFT
    )


def merge_records(known: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Return the merge of two records of a member; `known` itself if `received` adds nothing new.

    The result depends on neither the order nor the number of merges (it is a join of a semilattice).
    """
    if received.incarnation != known.incarnation:
        return received if received.incarnation > known.incarnation else known
    if received.status <= known.status and received.version <= known.version:
        return known
    newer = received if received.version > known.version else known
    higher_status = received if received.status > known.status else known
    return MemberRecord(
        id=known.id,
        address=newer.address,
        incarnation=known.incarnation,
        status=higher_status.status,
        version=newer.version,
        facts=newer.facts,
        suspected_by=higher_status.suspected_by,
    )


class MembershipView:
    """The records of all members, with a digest of each bucket and a queue of updates to spread.

    Attributes:
        records: Records by member id, including this member's own.
        buckets: Ids of the members in each bucket.
        digests: Digest of each bucket: the exclusive or of its records' digests.
        transmits: Number of times that a queued update has been sent, by member id.
        by_transmits: The same ids grouped by that count; in each group the oldest update first.
    """

    __slots__ = ("buckets", "by_transmits", "digests", "records", "transmits")

    def __init__(self) -> None:
        """Start without members."""
        self.records: dict[str, MemberRecord] = {}
        self.buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.digests = [0] * BUCKETS
        self.transmits: dict[str, int] = {}
        self.by_transmits: list[dict[str, None]] = [{}]

    def put(self, record: MemberRecord) -> None:
        """Add a record, or replace the one with the same id, and queue the record for spreading."""
        known = self.records.get(record.id)
        bucket = bucket_of(record.id)
        if known is not None:
            self.digests[bucket] ^= _digest(known)
        self.records[record.id] = record
        self.buckets[bucket].add(record.id)
        self.digests[bucket] ^= _digest(record)
        self.spread(record.id)

    def remove(self, id: str) -> None:
        """Remove a member and its queued update."""
        record = self.records.pop(id)
        bucket = bucket_of(id)
        self.digests[bucket] ^= _digest(record)
        self.buckets[bucket].discard(id)
        self.stop_spreading(id)

    def spread(self, id: str) -> None:
        """Queue the record of the member `id` for spreading, as if it had not been sent yet."""
        self.stop_spreading(id)
        self.transmits[id] = 0
        self.by_transmits[0][id] = None

    def stop_spreading(self, id: str) -> None:
        """Remove the record of the member `id` from the queue of updates, if it is queued."""
        count = self.transmits.pop(id, None)
        if count is not None:
            del self.by_transmits[count][id]

    def select_updates(self, max_size: int, max_transmits: int, first: str = "") -> list[MemberRecord]:
        """Return the updates to piggyback on the next message, the least often sent first.

        Args:
            max_size: Largest total size of the records, bytes.
            max_transmits: Number of sends after which an update leaves the queue.
            first: Id of a member whose record comes first, whether or not the record is queued.
        """
        selected: list[MemberRecord] = []
        if first in self.records:
            selected.append(self.records[first])
            max_size -= len(encode(selected[0]))
        sent = self._select_queued(max_size)
        selected += [self.records[id] for id, _ in sent if id != first]
        for id, count in sent:
            self.stop_spreading(id)
            if count + 1 < max_transmits:
                while len(self.by_transmits) <= count + 1:
                    self.by_transmits.append({})
                self.transmits[id] = count + 1
                self.by_transmits[count + 1][id] = None
        return selected

    def _select_queued(self, max_size: int) -> list[tuple[str, int]]:
        """Return the ids and send counts of the queued updates, up to the first that does not fit."""
        selected: list[tuple[str, int]] = []
        for count, ids in enumerate(self.by_transmits):
            for id in ids:
                size = len(encode(self.records[id]))
                if max_size < size:
                    return selected
                max_size -= size
                selected.append((id, count))
        return selected

    def bucket_records(self, bucket: int) -> list[MemberRecord]:
        """Return the records of a bucket, sorted by id."""
        return [self.records[id] for id in sorted(self.buckets[bucket])]

    def live_members(self) -> list[MemberRecord]:
        """Return the records of members that are alive or suspect."""
        return [record for record in self.records.values() if record.status < DEAD]

    def dead_members(self) -> list[MemberRecord]:
        """Return the records of members that are dead or have left."""
        return [record for record in self.records.values() if record.status >= DEAD]


def _digest(record: MemberRecord) -> int:
    text = f"{record.id} {record.incarnation} {record.status} {record.version}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
