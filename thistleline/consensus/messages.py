"""Messages that replicas exchange, and the entries of the replicated log.

The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with
pre-votes, read index and single-server membership changes (Ongaro's dissertation, 2014). All structs are
frozen, so that they can be compared and hashed.

Tags and encoded field names are the wire and storage format. Where they differ from the names used here,
`tag` and `rename` map them.
"""

from typing import Literal

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        term: Term of the leader that appended the entry.
        kind: What `data` holds. "decision": a command for the state machine; "nothing": no data, the first
            entry of each leader's term; "members": the new cluster members, encoded by `encode_members`.
        data: Encoded payload.
    """

    term: int
    kind: Literal["decision", "nothing", "members"]
    data: bytes


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A voting member of the cluster.

    Attributes:
        id: Identifies the replica and its disk. A replica that lost its disk rejoins under a new id.
        address: Address that the replica listens on.
    """

    id: str
    address: str


Members = tuple[Member, ...]


class VoteRequest(
    msgspec.Struct,
    frozen=True,
    tag="ask",
    rename={"last_log_index": "last_index", "last_log_term": "last_term", "pre_vote": "trial"},
):
    """Asks for a vote in `term`.

    Attributes:
        term: Term of the election; for a pre-vote, the term that the election would have.
        last_log_index: Index of the candidate's last log entry.
        last_log_term: Term of the candidate's last log entry.
        pre_vote: Whether this only asks if a vote would be granted, without changing any state.
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class VoteResponse(
    msgspec.Struct,
    frozen=True,
    tag="vote",
    rename={"requested_term": "asked", "pre_vote": "trial", "granted": "given"},
):
    """Answers a `VoteRequest`.

    Attributes:
        term: Current term of the replica that votes.
        requested_term: Term of the request.
        pre_vote: Whether the request was a pre-vote.
        granted: Whether the vote is, or for a pre-vote would be, granted.
    """

    term: int
    requested_term: int
    pre_vote: bool
    granted: bool


class AppendRequest(
    msgspec.Struct,
    frozen=True,
    tag="append",
    rename={"prev_log_index": "prior", "prev_log_term": "prior_term", "leader_commit": "committed"},
):
    """Replicates log entries; also serves as the leader's heartbeat.

    Attributes:
        term: Leader's term.
        prev_log_index: Index of the entry before `entries`.
        prev_log_term: Term of the entry at `prev_log_index`.
        entries: New entries; empty for a bare heartbeat.
        leader_commit: Leader's commit index.
        round: Number of the heartbeat round, in which members confirm the leader (`reads.py`).
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class InstallSnapshot(
    msgspec.Struct,
    frozen=True,
    tag="install",
    rename={"cluster_id": "council", "last_included_index": "index", "last_included_term": "index_term"},
):
    """Sends a snapshot to a replica that lacks entries which the leader has already compacted.

    Attributes:
        term: Leader's term.
        cluster_id: Cluster that the snapshot belongs to.
        last_included_index: Last log index that the snapshot covers.
        last_included_term: Term of the entry at `last_included_index`.
        members: Cluster members as of `last_included_index`.
        state: Snapshot of the state machine.
        round: Number of the heartbeat round, in which members confirm the leader (`reads.py`).
    """

    term: int
    cluster_id: str
    last_included_index: int
    last_included_term: int
    members: Members
    state: bytes
    round: int


class AppendResponse(msgspec.Struct, frozen=True, tag="appended", rename={"success": "good"}):
    """Answers an `AppendRequest` or an `InstallSnapshot`.

    Attributes:
        term: Current term of the replica.
        success: Whether the sender's log matches the leader's up to `index` and is durable on disk up to it.
        index: On success, the highest matching index. Otherwise, the highest index where the logs may match;
            negative if the replica is empty and needs a snapshot.
        round: Number of the heartbeat round in the request.
    """

    term: int
    success: bool
    index: int
    round: int


Message = VoteRequest | VoteResponse | AppendRequest | InstallSnapshot | AppendResponse

encode_members = msgspec.msgpack.Encoder().encode
decode_members = msgspec.msgpack.Decoder(Members).decode
