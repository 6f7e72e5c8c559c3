"""State of a replica that all its parts share, and the few operations on it that all of them need."""

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

NO_NAMES: Mapping[str, str] = MappingProxyType({})  # replicas keep their own names in a state key


class Phase(StrEnum):
    """Role of a replica. The values go over the wire and into logs."""

    UNFORMED = "unformed"  # an empty disk, a member of no cluster yet
    FOLLOWER = "following"
    PRE_CANDIDATE = "trying"
    CANDIDATE = "standing"
    LEADER = "leading"


class StateMachine(Protocol):
    """What commands are applied to; deterministic, so that it is the same on every replica."""

    def apply(self, index: int, data: bytes) -> Any:
        """Apply the command committed at `index` and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot."""

    def copy(self) -> Any:
        """Return an independent copy."""

    def state_key(self) -> Any:
        """Return a hashable value that is equal for equal states."""


class RaftTiming(NamedTuple):
    """Durations in ns.

    Attributes:
        heartbeat_interval: Time between two heartbeats of a leader.
        election_timeout: Without a leader for that long, and up to as much again by chance, a replica
            starts an election.
        quorum_timeout: A leader without contact to a majority for that long steps down.
    """

    heartbeat_interval: int
    election_timeout: int
    quorum_timeout: int


class RecoveredState(NamedTuple):
    """What an earlier incarnation left on disk."""

    snapshot: SnapshotRecord
    vote: VoteRecord
    log: Log


class JoiningMember(NamedTuple):
    """A replica that catches up before it becomes a member; given up at `deadline`, in ns."""

    member: Member
    ticket: Any
    deadline: int


class ReplicaState:
    """What the parts of a replica share.

    Attributes:
        id: Id of this replica.
        cluster_id: Id of the cluster; empty before it is formed.
        machine: The state machine.
        timing: Durations of the protocol.
        jitter: Returns a random part of a duration in ns.
        now: Time of the event at hand, in ns.
        effects: Effects of the event at hand.
        phase: Role of this replica.
        term: Current term.
        voted_for: Candidate voted for in this term; empty if none.
        log: The replicated log.
        snapshot: State machine at the snapshot index of the log, encoded.
        commit_index: Highest log index known to be committed.
        last_applied: Highest log index applied to the state machine.
        durable_index: Highest log index that is durable here.
        leader: Id of the leader; empty if none is known.
        leader_contact_at: When a leader's last message came, in ns.
        election_deadline: When the next election starts unless a leader's message comes, in ns.
        joining: The replica that is about to become a member; of a leader only.
        writes: Records and effects that wait for the disk.
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
        """Take over what an earlier incarnation left on disk."""
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
        """Emit an effect once all records noted so far are durable.

        Prevents telling others what a crash could take back: a vote given twice, an entry lost.
        """
        if self.writes.all_durable:
            self.effects.append(effect)
        else:
            self.writes.defer(effect)

    def refuse(self, ticket: Any, reason: str, leader: str) -> None:
        """Give up a request."""
        self.effects.append(RequestRefused(ticket, reason, leader))

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the program's log."""
        self.effects.append(LogEvent(event, facts))

    # ---- changes that several parts make

    def note(self, record: Record) -> None:
        """Have a record written with the next batch."""
        self.writes.note(record)

    def record_vote(self, term: int, voted_for: str) -> None:
        """Enter a term and vote in it; an empty `voted_for` votes for nobody yet."""
        self.term = term
        self.voted_for = voted_for
        self.note(VoteRecord(term, voted_for))

    def restart_election_timer(self) -> None:
        """Move the next election to a random time within two election timeouts."""
        timeout = self.timing.election_timeout
        self.election_deadline = self.now + timeout + self.jitter(timeout)

    # ---- exploration

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
