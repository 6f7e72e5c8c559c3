"""The leader's side of replication: tracks each peer's progress and sends entries (Raft, section 5.3)."""

from collections.abc import Mapping
from dataclasses import dataclass

from thistleline.consensus.messages import AppendRequest, AppendResponse, Entry, InstallSnapshot
from thistleline.consensus.records import EntriesRecord
from thistleline.consensus.state import ReplicaState

SECOND = 1_000_000_000  # ns
MAX_APPEND_ENTRIES = 512  # maximum entries in one AppendRequest
MAX_APPEND_BYTES = 1 << 20  # maximum bytes of entry data in one AppendRequest
MAX_UNCONFIRMED_ENTRIES = 4096  # maximum number of entries sent to a peer but not confirmed by it


@dataclass(slots=True)
class PeerProgress:
    """A leader's view of one peer.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index up to which the peer's log is known to match and to be durable.
        confirmed_round: Newest heartbeat round that the peer has confirmed.
        last_contact_at: When the peer last answered, in ns; None if it is joining and has not answered yet.
    """

    next_index: int
    match_index: int
    confirmed_round: int
    last_contact_at: int | None

    def copy(self) -> "PeerProgress":
        """Return an independent copy."""
        return PeerProgress(self.next_index, self.match_index, self.confirmed_round, self.last_contact_at)


class Replication:
    """Sends log entries, snapshots and heartbeats to the other members and to a joining replica.

    Attributes:
        state: State of the replica.
        peers: Progress of each peer, by peer id.
        snapshot_sent_at: When a snapshot was last sent to each peer, in ns.
        heartbeat_deadline: When the next heartbeat is due, in ns.
        round: Number of the newest heartbeat round that reads wait for.
    """

    __slots__ = ("heartbeat_deadline", "peers", "round", "snapshot_sent_at", "state")

    def __init__(self, state: ReplicaState) -> None:
        """Create an instance without peers."""
        self.state = state
        self.peers: dict[str, PeerProgress] = {}
        self.snapshot_sent_at: dict[str, int] = {}
        self.heartbeat_deadline = 0
        self.round = 0

    def copy(self, state: ReplicaState) -> "Replication":
        """Return an independent copy that works on `state`."""
        copied = Replication.__new__(Replication)
        copied.state = state
        copied.peers = {id: progress.copy() for id, progress in self.peers.items()}
        copied.snapshot_sent_at = self.snapshot_sent_at.copy()
        copied.heartbeat_deadline = self.heartbeat_deadline
        copied.round = self.round
        return copied

    def state_key(self, names: Mapping[str, str]) -> tuple[object, ...]:
        """Return a hashable value of all that behaviour depends on, with replicas renamed by `names`."""
        peers = frozenset(
            (
                names.get(id, id),
                progress.next_index,
                progress.match_index,
                progress.confirmed_round,
                progress.last_contact_at,
            )
            for id, progress in self.peers.items()
        )
        return peers, self.heartbeat_deadline, self.round

    # ---- peers

    def peer_ids(self) -> list[str]:
        """Return the ids of the other members and of a joining replica."""
        ids = self.state.other_members()
        if self.state.joining is not None:
            ids.append(self.state.joining.member.id)
        return ids

    def reset_peers(self) -> None:
        """Begin with new peers when this replica becomes the leader.

        Each peer is assumed to have the whole log and to have been in contact just now.
        """
        state = self.state
        next_index = state.log.last_index + 1
        self.peers = {id: PeerProgress(next_index, 0, 0, state.now) for id in self.peer_ids()}
        self.snapshot_sent_at = {}

    def begin_join(self, peer: str) -> None:
        """Start sending the log to a joining replica."""
        known = self.peers.get(peer)
        last_contact_at = known.last_contact_at if known is not None else None
        self.peers[peer] = PeerProgress(self.state.log.last_index + 1, 0, 0, last_contact_at)
        self.send_entries(peer, heartbeat=True)

    def add_missing_peers(self) -> None:
        """Track peers that became members through an appended membership change."""
        state = self.state
        for peer in self.peer_ids():
            progress = self.peers.get(peer)
            if progress is None:
                self.peers[peer] = PeerProgress(state.log.last_index, 0, 0, state.now)
            elif progress.last_contact_at is None:
                progress.last_contact_at = state.now

    def drop_removed_peers(self) -> None:
        """Forget removed members, after a last message that informs them of their removal."""
        for peer in self.peers.keys() - set(self.peer_ids()):
            self.send_entries(peer, heartbeat=True)
            del self.peers[peer]

    def recent_contacts(self, quorum_timeout: int) -> set[str]:
        """Return the peers that answered within the last `quorum_timeout` ns."""
        now = self.state.now
        return {
            id
            for id, progress in self.peers.items()
            if progress.last_contact_at is not None and now - progress.last_contact_at < quorum_timeout
        }

    def confirmed_since(self, round: int) -> set[str]:
        """Return the peers that have confirmed this leader in `round` or later."""
        return {id for id, progress in self.peers.items() if progress.confirmed_round >= round}

    # ---- sending

    def append(self, entry: Entry) -> int:
        """Append an entry to the leader's own log and return its index."""
        index = self.state.log.append(entry)
        self.state.queue_record(EntriesRecord(index, (entry,)))
        return index

    def send_heartbeats(self) -> None:
        """Send each peer the entries that it lacks, or a bare heartbeat."""
        self.heartbeat_deadline = self.state.now + self.state.timing.heartbeat_interval
        for peer in self.peer_ids():
            self.send_entries(peer, heartbeat=True)

    def send_to_all(self) -> None:
        """Send each peer the entries that it lacks."""
        for peer in self.peer_ids():
            self.send_entries(peer, heartbeat=False)

    def send_entries(self, peer: str, heartbeat: bool) -> None:
        """Send `peer` the entries that it lacks, up to the limits; without entries only if `heartbeat`."""
        state = self.state
        log = state.log
        progress = self.peers[peer]
        next_index = progress.next_index
        if next_index <= log.snapshot_index:
            if heartbeat:
                self._send_snapshot(peer)
            return
        entries: tuple[Entry, ...] = ()
        if next_index - progress.match_index <= MAX_UNCONFIRMED_ENTRIES:
            entries = log.slice(next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
        if entries or heartbeat:
            prev_index = next_index - 1
            prev_term = log.term_at(prev_index)
            request = AppendRequest(
                state.term, prev_index, prev_term, entries, state.commit_index, self.round
            )
            state.send(peer, request)
            progress.next_index = next_index + len(entries)

    def _send_snapshot(self, peer: str) -> None:
        """Send a snapshot, at most once per election timeout because it is large."""
        state = self.state
        if state.now - self.snapshot_sent_at.get(peer, -SECOND) < state.timing.election_timeout:
            return
        self.snapshot_sent_at[peer] = state.now
        log = state.log
        request = InstallSnapshot(
            term=state.term,
            cluster_id=state.cluster_id,
            last_included_index=log.snapshot_index,
            last_included_term=log.snapshot_term,
            members=log.snapshot_members,
            state=state.snapshot,
            round=self.round,
        )
        state.send(peer, request)

    # ---- responses of peers

    def record_response(self, sender: str, response: AppendResponse) -> None:
        """Update a peer's progress from its response."""
        progress = self.peers[sender]
        progress.last_contact_at = self.state.now
        progress.confirmed_round = max(progress.confirmed_round, response.round)
        if response.success:
            progress.match_index = max(progress.match_index, response.index)
            progress.next_index = max(progress.next_index, response.index + 1)
        elif response.index < 0:
            progress.next_index = 0
        else:
            resend_from = min(progress.next_index, response.index + 1)
            progress.next_index = max(progress.match_index + 1, resend_from)

    def send_rest(self, peer: str, heartbeat: bool) -> None:
        """Send further entries to a peer that has just answered and still lacks some."""
        if self.peers[peer].next_index <= self.state.log.last_index:
            self.send_entries(peer, heartbeat)

    def quorum_index(self) -> int:
        """Return the highest index that is durable on a majority of the members."""
        state = self.state
        members = state.members
        indexes = sorted((self._durable_index_of(member.id) for member in members), reverse=True)
        return indexes[len(members) // 2]

    def _durable_index_of(self, id: str) -> int:
        if id == self.state.id:
            return self.state.durable_index
        progress = self.peers.get(id)
        return 0 if progress is None else progress.match_index
