"""Leader election with pre-votes.

Source: Raft, section 5.2; pre-vote: Ongaro's dissertation, section 9.6.
"""

from collections.abc import Mapping

from thistleline.consensus.effects import SendMessage
from thistleline.consensus.messages import VoteRequest, VoteResponse
from thistleline.consensus.state import Phase, ReplicaState


class Elections:
    """Runs this replica's elections and votes in the elections of other replicas.

    Attributes:
        state: State of the replica.
        votes: Ids of the replicas that granted a (pre-)vote.
    """

    __slots__ = ("state", "votes")

    def __init__(self, state: ReplicaState) -> None:
        """Create an instance without votes."""
        self.state = state
        self.votes: set[str] = set()

    def copy(self, state: ReplicaState) -> "Elections":
        """Return an independent copy that works on `state`."""
        copied = Elections(state)
        copied.votes = self.votes.copy()
        return copied

    def state_key(self, names: Mapping[str, str]) -> frozenset[str]:
        """Return a hashable value of all that behaviour depends on, with replicas renamed by `names`."""
        return frozenset(names.get(id, id) for id in self.votes)

    # ---- as a candidate

    def start_pre_vote(self) -> None:
        """Ask whether votes would be granted, so that elections that can't be won don't raise the term."""
        state = self.state
        state.phase = Phase.PRE_CANDIDATE
        state.leader = ""
        self.votes = {state.id}
        if state.has_majority(self.votes):
            self.start_election()
            return
        request = self._request(state.term + 1, pre_vote=True)
        for member in state.other_members():
            state.send(member, request)

    def start_election(self) -> None:
        """Enter a new term as a candidate; the replica's own vote counts once it is durable."""
        state = self.state
        state.phase = Phase.CANDIDATE
        self.votes = set()
        state.record_vote(state.term + 1, state.id)
        request = self._request(state.term, pre_vote=False)
        for member in state.other_members():
            state.emit_once_durable(SendMessage(member, request))

    def _request(self, term: int, pre_vote: bool) -> VoteRequest:
        log = self.state.log
        return VoteRequest(term, log.last_index, log.last_term, pre_vote)

    def count_response(self, sender: str, response: VoteResponse) -> bool:
        """Count a granted (pre-)vote of the current election; return whether it wins the election."""
        state = self.state
        if not response.granted:
            return False
        if response.pre_vote:
            counts = state.phase is Phase.PRE_CANDIDATE and response.requested_term == state.term + 1
        else:
            counts = state.phase is Phase.CANDIDATE and response.term == state.term
        return counts and self.add_vote(sender)

    def add_vote(self, voter: str) -> bool:
        """Add a (pre-)vote; return whether it wins. A majority of pre-votes starts an election."""
        self.votes.add(voter)
        if not self.state.has_majority(self.votes):
            return False
        if self.state.phase is Phase.PRE_CANDIDATE:
            self.start_election()
            return False
        return True

    # ---- as a voter

    def follows_leader(self) -> bool:
        """Return whether this replica leads, or had contact with its leader within the election timeout.

        Such a replica grants no votes. This protects a leader from the elections of a replica that only the
        leader can't reach.
        """
        state = self.state
        if state.phase is Phase.LEADER:
            return True
        return bool(state.leader) and state.now - state.leader_contact_at < state.timing.election_timeout

    def answer_pre_vote(self, candidate: str, request: VoteRequest) -> None:
        """Answer a pre-vote request: whether this replica would grant a vote."""
        state = self.state
        granted = request.term > state.term and not self.follows_leader() and self._accepts_log(request)
        state.send(candidate, VoteResponse(state.term, request.term, True, granted))

    def answer_vote(self, candidate: str, request: VoteRequest) -> None:
        """Grant or deny a vote in an election whose term is at most the current term."""
        state = self.state
        free = state.voted_for in ("", candidate)
        granted = request.term == state.term and free and self._accepts_log(request)
        if granted and not state.voted_for:
            state.record_vote(state.term, candidate)
        if granted:
            state.restart_election_timer()
        response = VoteResponse(state.term, request.term, False, granted)
        state.emit_once_durable(SendMessage(candidate, response))

    def _accepts_log(self, request: VoteRequest) -> bool:
        return self._is_log_current(request) and not self.state.writes.failing

    def _is_log_current(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this one (Raft, section 5.4.1)."""
        log = self.state.log
        own_position = (log.last_term, log.last_index)
        return (request.last_log_term, request.last_log_index) >= own_position
