"""State of a replica that its components share, and the operations on it that several of them need."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Any, NamedTuple, Protocol

from thistleline.consensus.effects import Effect, RequestRefused, SendMessage
from thistleline.consensus.log import Log
from thistleline.consensus.messages import Member, Members, Message
from thistleline.consensus.records import Record, SnapshotRecord, VoteRecord
from thistleline.consensus.write_queue import WriteQueue
from thistleline.reducer.effects import LogEvent

NO_RENAMES: Mapping[str, str] = MappingProxyType({})  # for state keys in which replicas keep their ids


class Phase(StrEnum):
    """Role of a replica. The values go over the wire and into logs."""

    UNFORMED = "unformed"  # has an empty disk and is not a member of any cluster yet
    FOLLOWER = "following"
    PRE_CANDIDATE = "trying"
    CANDIDATE = "standing"
    LEADER = "leading"


class StateMachine(Protocol):
    """The state machine that committed commands are applied to; deterministic, so that all replicas agree."""

    def apply(self, index: int, data: bytes) -> Any:
        """Apply the command committed at `index` and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, state: bytes) -> None:
        """Replace the state with a snapshot."""

    def copy(self) -> Any:
        """Return an independent copy."""

    def state_key(self) -> Any:
        """Return a hashable value that is equal for equal states."""


class RaftTiming(NamedTuple):
    """Durations in ns.

    Attributes:
        heartbeat_interval: Time between two heartbeats of a leader.
        election_timeout: A replica without a leader starts an election after this time, plus a random time
            of up to the same length.
        quorum_timeout: A leader that had no contact with a majority for this long steps down.
    """

    heartbeat_interval: int
    election_timeout: int
    quorum_timeout: int


class RecoveredState(NamedTuple):
    """State of the replica recovered from disk after a restart."""

    snapshot: SnapshotRecord
    vote: VoteRecord
    log: Log


class JoiningMember(NamedTuple):
    """A replica that catches up before it becomes a member; joining is given up at `deadline`, in ns."""

    member: Member
    ticket: Any
    deadline: int


class ReplicaState:
    """State that the components of a replica share.

    Attributes:
        id: Id of this replica.
        cluster_id: Id of the cluster; empty before it is formed.
        machine: The state machine.
        timing: Durations of the protocol.
        jitter: Returns a random part of a duration in ns.
        now: Time of the current event, in ns.
        effects: Effects to be returned for the current event.
        phase: Role of this replica.
        term: Current term.
        voted_for: Candidate voted for in this term; empty if none.
        log: The replicated log.
        snapshot: Encoded state of the state machine at the snapshot index of the log.
        commit_index: Highest log index known to be committed.
        last_applied: Highest log index applied to the state machine.
        durable_index: Highest log index that is durable on this replica.
        leader: Id of the leader; empty if none is known.
        leader_contact_at: When the last message from a leader arrived, in ns.
        election_deadline: When the next election starts unless a leader's message arrives first, in ns.
        joining: The replica that is catching up to become a member; set on a leader only.
        writes: Records to be written, and effects deferred until they are durable.
    """

    __slots__ = (
        "cluster_id",
        "commit_index",
        "durable_index",
        "effects",
        "election_deadline",
        "id",
        "jitter",
        "joining",
        "last_applied",
        "leader",
        "leader_contact_at",
        "log",
        "machine",
        "now",
        "phase",
        "snapshot",
        "term",
        "timing",
        "voted_for",
        "writes",
    )

    def __init__(
        self, id: str, machine: StateMachine, now: int, timing: RaftTiming, jitter: Callable[[int], int]
    ) -> None:
        """Create the state of a replica with an empty disk."""
        self.id = id
        self.cluster_id = ""
        self.machine = machine
        self.timing = timing
        self.jitter = jitter
        self.now = now
        self.effects: list[Effect] = []
        self.phase = Phase.UNFORMED
        self.term = 0
        self.voted_for = ""
        self.log = Log()
        self.snapshot = b""
        self.commit_index = 0
        self.last_applied = 0
        self.durable_index = 0
        self.leader = ""
        self.leader_contact_at = now - timing.election_timeout
        self.election_deadline = 0
        self.joining: JoiningMember | None = None
        self.writes = WriteQueue()

    def restore(self, recovered: RecoveredState) -> None:
        """Initialize from the state recovered from disk."""
        snapshot = recovered.snapshot
        self.cluster_id = snapshot.cluster_id
        self.log = recovered.log
        self.term = recovered.vote.term
        self.voted_for = recovered.vote.voted_for
        self.snapshot = snapshot.state
        self.commit_index = snapshot.last_included_index
        self.last_applied = snapshot.last_included_index
        if snapshot.cluster_id:
            self.machine.restore(snapshot.state)
            self.phase = Phase.FOLLOWER
        self.durable_index = self.log.last_index

    # ---- members

    @property
    def members(self) -> Members:
        """The newest cluster members in the log."""
        return self.log.members()

    def is_member(self, id: str) -> bool:
        """Return whether `id` is a member."""
        return any(member.id == id for member in self.members)

    def has_majority(self, ids: set[str]) -> bool:
        """Return whether `ids` contain a majority of the members."""
        members = self.members
        return 2 * sum(1 for member in members if member.id in ids) > len(members)

    def other_members(self) -> list[str]:
        """Return the ids of all members but this replica."""
        return [member.id for member in self.members if member.id != self.id]

    # ---- effects

    def send(self, to: str, message: Message) -> None:
        """Send a message at once."""
        self.effects.append(SendMessage(to, message))

    def emit_once_durable(self, effect: Effect) -> None:
        """Emit an effect once all records queued so far are durable.

        Otherwise a crash could undo what others already know: a vote granted twice, a confirmed entry lost.
        """
        if self.writes.all_durable:
            self.effects.append(effect)
        else:
            self.writes.defer(effect)

    def refuse(self, ticket: Any, reason: str, leader: str) -> None:
        """Refuse or drop a client's request."""
        self.effects.append(RequestRefused(ticket, reason, leader))

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the program's log."""
        self.effects.append(LogEvent(event, fields))

    # ---- changes that several components make

    def queue_record(self, record: Record) -> None:
        """Queue a record for the next write batch."""
        self.writes.enqueue(record)

    def record_vote(self, term: int, voted_for: str) -> None:
        """Enter a term and record the vote in it; an empty `voted_for` means no vote yet."""
        self.term = term
        self.voted_for = voted_for
        self.queue_record(VoteRecord(term, voted_for))

    def restart_election_timer(self) -> None:
        """Reset the election deadline to a random time between one and two election timeouts from now."""
        timeout = self.timing.election_timeout
        self.election_deadline = self.now + timeout + self.jitter(timeout)

    # ---- model checking

    def copy(self) -> "ReplicaState":
        """Return an independent copy."""
        copied = ReplicaState.__new__(ReplicaState)
        for name in self.__slots__:
            setattr(copied, name, getattr(self, name))
        copied.machine = self.machine.copy()
        copied.effects = self.effects.copy()
        copied.log = self.log.copy()
        copied.writes = self.writes.copy()
        return copied

    def state_key(self, names: Mapping[str, str]) -> tuple[Any, ...]:
        """Return a hashable value of all that behaviour depends on, with replicas renamed by `names`."""
        return (
            names.get(self.id, self.id),
            self.phase,
            self.term,
            names.get(self.voted_for, self.voted_for),
            self.log.state_key(),
            self.commit_index,
            self.last_applied,
            names.get(self.leader, self.leader),
            self.leader_contact_at,
            self.election_deadline,
            self.joining,
            self.durable_index,
            self.writes.state_key(),
            self.machine.state_key(),
        )
