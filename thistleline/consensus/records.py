"""Records that a replica writes to disk.

As in `messages`, tags and encoded field names are the stored format. Where they differ from the names used
here, `tag` and `rename` map them.
"""

from typing import NamedTuple

import msgspec

from thistleline.consensus.messages import Entry, Members


class SnapshotRecord(
    msgspec.Struct,
    frozen=True,
    tag="base",
    rename={
        "cluster_id": "council",
        "voted_for": "vote",
        "last_included_index": "index",
        "last_included_term": "index_term",
    },
):
    """The first record of a segment; replaces everything written before it.

    Attributes:
        id: Id of this replica.
        cluster_id: Id of the cluster; empty before the cluster is formed.
        term: Current term.
        voted_for: Candidate voted for in `term`; empty if none.
        last_included_index: Last log index that the snapshot covers.
        last_included_term: Term of the entry at `last_included_index`.
        members: Cluster members as of `last_included_index`.
        state: Snapshot of the state machine.
    """

    id: str
    cluster_id: str
    term: int
    voted_for: str
    last_included_index: int
    last_included_term: int
    members: Members
    state: bytes


class VoteRecord(msgspec.Struct, frozen=True, tag="ballot", rename={"voted_for": "vote"}):
    """The current term, and the candidate voted for in this term; the candidate is empty if there is none."""

    term: int
    voted_for: str


class EntriesRecord(msgspec.Struct, frozen=True, tag="tail", rename={"first_index": "first"}):
    """Log entries from `first_index` on; they replace all earlier entries at and after that index."""

    first_index: int
    entries: tuple[Entry, ...]


Record = SnapshotRecord | VoteRecord | EntriesRecord


class WriteBatch(NamedTuple):
    """Records that become durable in one write.

    Attributes:
        new_segment: Whether the write begins a new segment; all older ones are removed once it is durable.
        records: Records in the order in which they are replayed.
    """

    new_segment: bool
    records: tuple[Record, ...]
