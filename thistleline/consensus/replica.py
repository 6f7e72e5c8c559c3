"""A Raft replica as a pure state machine: events in, effects out. No I/O, no clock.

docs/design/leases.md discusses the choice of the protocol. Each component handles one concern:

    elections     pre-votes and votes
    replication   log entries, snapshots and heartbeats sent by a leader
    follower      entries and snapshots received by a follower
    reads         linearizable reads
    membership    membership changes
    persistence   batches of records written to disk, log compaction

This module dispatches events to the components, and handles what involves all of them: phase changes, commit
and apply.
"""

from collections.abc import Callable, Mapping
from typing import Any, assert_never

from thistleline.consensus import follower, persistence
from thistleline.consensus.effects import (
    Effect,
    LeaderChanged,
    LeadershipGained,
    ProposalApplied,
    SendMessage,
)
from thistleline.consensus.elections import Elections
from thistleline.consensus.events import (
    ChangeMembership,
    Event,
    FormCluster,
    MessageReceived,
    Propose,
    RequestRead,
    WriteCompleted,
    WriteFailed,
)
from thistleline.consensus.membership import MembershipChanges
from thistleline.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    InstallSnapshot,
    Members,
    Message,
    VoteRequest,
    VoteResponse,
    decode_members,
)
from thistleline.consensus.reads import Reads
from thistleline.consensus.records import VoteRecord
from thistleline.consensus.replication import Replication
from thistleline.consensus.state import (
    NO_RENAMES,
    Phase,
    RaftTiming,
    RecoveredState,
    ReplicaState,
    StateMachine,
)
from thistleline.reducer.events import DeadlineReached

MAX_PENDING_REQUESTS = 20_000  # unanswered proposals and reads; more are refused


class Replica:
    """One member of the cluster.

    Attributes:
        state: Shared state; callers may read it, only `handle` changes it.
    """

    __slots__ = ("_elections", "_membership", "_proposals", "_reads", "_replication", "state")

    def __init__(
        self,
        id: str,
        machine: StateMachine,
        now: int,
        timing: RaftTiming,
        jitter: Callable[[int], int],
        recovered: RecoveredState | None = None,
    ) -> None:
        """Create a replica.

        Args:
            id: Id of the replica.
            machine: State machine that committed commands are applied to.
            now: Current time in ns, from a monotonic clock.
            timing: Durations of the protocol.
            jitter: Returns a random part of a duration in ns.
            recovered: State recovered from disk; None for an empty disk.
        """
        state = ReplicaState(id, machine, now, timing, jitter)
        if recovered is not None:
            state.restore(recovered)
        state.restart_election_timer()
        self.state = state
        self._elections = Elections(state)
        self._replication = Replication(state)
        self._reads = Reads(state, self._replication)
        self._membership = MembershipChanges(state, self._replication)
        self._proposals: dict[int, Any] = {}  # tickets of proposals, by their log index

    # ---- interface

    def handle(self, now: int, event: Event) -> list[Effect]:
        """Handle an event at `now` ns and return the effects to carry out, in order."""
        state = self.state
        state.now = max(state.now, now)
        match event:
            case MessageReceived(sender, message):
                self._handle_message(sender, message)
            case WriteCompleted():
                self._handle_write_completed()
            case DeadlineReached():
                self._handle_timer()
            case Propose(proposals):
                self._propose(proposals)
            case RequestRead(tickets):
                self._request_reads(tickets)
            case ChangeMembership():
                self._change_membership(event)
            case WriteFailed(reason):
                self._handle_write_failed(reason)
            case FormCluster(cluster_id, members):
                self._form_cluster(cluster_id, members)
            case _:
                assert_never(event)
        persistence.start_write(state)
        effects = state.effects
        state.effects = []
        return effects

    def next_deadline(self) -> int:
        """Return when the next DeadlineReached is due, in ns."""
        state = self.state
        if state.phase is Phase.LEADER:
            deadline = self._replication.heartbeat_deadline
        elif state.phase is Phase.UNFORMED:
            deadline = state.now + state.timing.election_timeout
        else:
            deadline = state.election_deadline
        writes = state.writes
        if writes.failing and writes.in_flight is None:
            deadline = min(deadline, max(writes.retry_at, state.now + 1))
        return deadline

    def copy(self) -> "Replica":
        """Return an independent copy, for exploring the possible next states."""
        copied = Replica.__new__(Replica)
        state = self.state.copy()
        replication = self._replication.copy(state)
        copied.state = state
        copied._elections = self._elections.copy(state)
        copied._replication = replication
        copied._reads = self._reads.copy(state, replication)
        copied._membership = self._membership.copy(state, replication)
        copied._proposals = self._proposals.copy()
        return copied

    def state_key(self, names: Mapping[str, str] = NO_RENAMES) -> tuple[Any, ...]:
        """Return a hashable value of all that behaviour depends on, with replicas renamed by `names`."""
        return (
            self.state.state_key(names),
            self._elections.state_key(names),
            self._replication.state_key(names),
            self._reads.state_key(),
            self._membership.change_ticket,
            tuple(self._proposals.items()),
        )

    # ---- phases

    def _become_follower(self, leader: str) -> None:
        """Follow `leader`, or wait for a leader if empty; a leader that steps down drops all requests."""
        state = self.state
        was_leader = state.phase is Phase.LEADER
        if was_leader:
            state.log_event("phase", phase=Phase.FOLLOWER.value, term=state.term, leader=leader)
            self._refuse_pending_requests(leader)
        if leader != state.leader or was_leader:
            state.effects.append(LeaderChanged(leader))
        state.phase = Phase.FOLLOWER
        state.leader = leader
        self._elections.votes.clear()
        state.restart_election_timer()

    def _refuse_pending_requests(self, leader: str) -> None:
        tickets = [*self._proposals.values(), *self._reads.clear(), *self._membership.clear()]
        self._proposals = {}
        for ticket in tickets:
            self.state.refuse(ticket, "this replica is no longer the leader", leader)

    def _adopt_term(self, term: int) -> None:
        """Enter the term of another replica, which is later than this replica's own."""
        self.state.record_vote(term, "")
        if self.state.phase is not Phase.UNFORMED:
            self._become_follower("")

    def _become_leader(self) -> None:
        state = self.state
        state.phase = Phase.LEADER
        state.leader = state.id
        self._replication.reset_peers()
        state.effects += [LeadershipGained(), LeaderChanged(state.id)]
        state.log_event("phase", phase=Phase.LEADER.value, term=state.term)
        self._replication.append(Entry(state.term, "nothing", b""))
        self._replication.send_heartbeats()

    def _form_cluster(self, cluster_id: str, members: Members) -> None:
        """Become an initial member. An operator sends all initial members the same list, once."""
        state = self.state
        is_listed = any(member.id == state.id for member in members)
        if state.phase is not Phase.UNFORMED or state.log.last_index or not is_listed:
            return
        state.cluster_id = cluster_id
        state.log.snapshot_members = members
        state.snapshot = state.machine.snapshot()
        state.phase = Phase.FOLLOWER
        state.queue_record(VoteRecord(state.term, state.voted_for))
        state.writes.new_segment = True
        state.restart_election_timer()
        state.log_event("formed", council=cluster_id, members=[member.id for member in members])

    # ---- time and disk

    def _handle_timer(self) -> None:
        state = self.state
        if state.phase is Phase.LEADER:
            self._handle_leader_timer()
        elif state.phase is not Phase.UNFORMED and state.now >= state.election_deadline:
            state.restart_election_timer()
            if not state.writes.failing and state.is_member(state.id):
                self._elections.start_pre_vote()

    def _handle_leader_timer(self) -> None:
        """Send heartbeats if due; step down if the quorum is lost."""
        state = self.state
        if state.now >= self._replication.heartbeat_deadline:
            self._replication.send_heartbeats()
        self._membership.expire_join()
        recent = self._replication.recent_contacts(state.timing.quorum_timeout)
        if not state.has_majority(recent | {state.id}):
            state.log_event("quorum lost", term=state.term)
            self._become_follower("")

    def _handle_write_completed(self) -> None:
        state = self.state
        persistence.finish_write(state)
        if state.phase is Phase.LEADER:
            self._advance_commit()
        elif (
            state.phase is Phase.CANDIDATE and state.writes.all_durable and self._elections.add_vote(state.id)
        ):
            self._become_leader()

    def _handle_write_failed(self, reason: str) -> None:
        """Step down: a replica with a failing disk neither leads nor starts elections, so others can lead."""
        persistence.fail_write(self.state, reason)
        if self.state.phase is not Phase.UNFORMED:
            self._become_follower("")

    # ---- requests

    def _propose(self, proposals: tuple[tuple[Any, bytes], ...]) -> None:
        state = self.state
        for ticket, data in proposals:
            if self._admit(ticket):
                index = self._replication.append(Entry(state.term, "decision", data))
                self._proposals[index] = ticket
        if state.phase is Phase.LEADER:
            self._replication.send_to_all()

    def _request_reads(self, tickets: tuple[Any, ...]) -> None:
        self._reads.request([ticket for ticket in tickets if self._admit(ticket)])

    def _change_membership(self, event: ChangeMembership) -> None:
        if self._admit(event.ticket) and self._membership.change(event.ticket, event.change, event.member):
            self._advance_commit()

    def _admit(self, ticket: Any) -> bool:
        """Return whether a request is accepted; refuse it otherwise."""
        state = self.state
        if state.phase is not Phase.LEADER:
            state.refuse(ticket, "this replica is not the leader", state.leader)
            return False
        if len(self._proposals) + len(self._reads) >= MAX_PENDING_REQUESTS:
            state.refuse(ticket, "too many requests are pending", state.id)
            return False
        return True

    # ---- commit

    def _advance_commit(self) -> None:
        """Commit the entries that are durable on a majority, once an entry of this term is among them.

        Entries of earlier terms alone are not committed by counting replicas: a later leader may still
        replace them (Raft, section 5.4.2).
        """
        state = self.state
        index = self._replication.quorum_index()
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index
            self._apply_committed()
            self._replication.send_to_all()

    def _apply_committed(self) -> None:
        state = self.state
        while state.last_applied < state.commit_index:
            index = state.last_applied + 1
            entry = state.log.entry_at(index)
            state.last_applied = index
            answer = state.machine.apply(index, entry.data) if entry.kind == "decision" else None
            if state.phase is Phase.LEADER and index in self._proposals:
                state.effects.append(ProposalApplied(self._proposals.pop(index), answer))
            if entry.kind == "members":
                self._handle_committed_members(decode_members(entry.data))
        if state.phase is Phase.LEADER:
            self._reads.answer()

    def _handle_committed_members(self, members: Members) -> None:
        state = self.state
        ids = [member.id for member in members]
        state.log_event("members", members=ids)
        if state.phase is not Phase.LEADER:
            return
        self._membership.finish_change()
        if state.id not in ids:
            self._become_follower("")

    # ---- messages

    def _handle_message(self, sender: str, message: Message) -> None:
        # A vote request changes the term only in `_handle_vote_request`, which may ignore the request.
        if message.term > self.state.term and not isinstance(message, VoteRequest):
            self._adopt_term(message.term)
        match message:
            case AppendRequest() | InstallSnapshot():
                self._handle_leader_message(sender, message)
            case AppendResponse():
                self._handle_append_response(sender, message)
            case VoteRequest():
                self._handle_vote_request(sender, message)
            case VoteResponse():
                if self._elections.count_response(sender, message):
                    self._become_leader()
            case _:
                assert_never(message)

    def _handle_vote_request(self, sender: str, request: VoteRequest) -> None:
        state = self.state
        if request.pre_vote:
            self._elections.answer_pre_vote(sender, request)
            return
        if state.phase is Phase.UNFORMED:
            return
        if request.term > state.term:
            if self._elections.follows_leader():
                return
            self._adopt_term(request.term)
        self._elections.answer_vote(sender, request)

    def _handle_leader_message(self, sender: str, message: AppendRequest | InstallSnapshot) -> None:
        state = self.state
        if message.term < state.term:
            state.send(sender, AppendResponse(state.term, False, 0, 0))
            return
        follows_sender = state.phase is Phase.FOLLOWER and state.leader == sender
        if state.phase is not Phase.UNFORMED and not follows_sender:
            self._become_follower(sender)
        state.leader_contact_at = state.now
        state.restart_election_timer()
        if isinstance(message, InstallSnapshot):
            response = follower.accept_snapshot(state, sender, message)
        else:
            response = follower.accept_entries(state, message)
        state.emit_once_durable(SendMessage(sender, response))
        if response.success and isinstance(message, AppendRequest):
            commit_index = min(message.leader_commit, response.index)
            if commit_index > state.commit_index:
                state.commit_index = commit_index
                self._apply_committed()

    def _handle_append_response(self, sender: str, response: AppendResponse) -> None:
        state = self.state
        replication = self._replication
        if state.phase is not Phase.LEADER or response.term != state.term or sender not in replication.peers:
            return
        replication.record_response(sender, response)
        if response.success:
            self._advance_commit()
            if self._membership.finish_join():
                self._advance_commit()
        # Committing a membership change may have removed the sender, or this leader.
        if state.phase is Phase.LEADER and sender in replication.peers:
            replication.send_rest(sender, heartbeat=not response.success)
            self._reads.answer()
