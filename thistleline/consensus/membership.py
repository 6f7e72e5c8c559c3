"""Single-server membership changes (Ongaro's dissertation, chapter 4)."""

from typing import Any, Literal

from thistleline.consensus.effects import ProposalApplied
from thistleline.consensus.messages import Entry, Member, Members, encode_members
from thistleline.consensus.replication import Replication
from thistleline.consensus.state import JoiningMember, ReplicaState

SECOND = 1_000_000_000  # ns
JOIN_TIMEOUT = 30 * SECOND  # ns for a joining replica to catch up


class MembershipChanges:
    """Adds members to the cluster and removes them; runs on the leader.

    One member is changed at a time, so that any two majorities share a member. No change starts before this
    leader has committed an entry of its term: otherwise two leaders could each have a different uncommitted
    change.

    Attributes:
        state: State of the replica.
        replication: Replicates the changes.
        change_ticket: Ticket of the change that is in the log but not committed; None if there is none.
    """

    __slots__ = ("change_ticket", "replication", "state")

    def __init__(self, state: ReplicaState, replication: Replication) -> None:
        """Create an instance without a pending change."""
        self.state = state
        self.replication = replication
        self.change_ticket: Any = None

    def copy(self, state: ReplicaState, replication: Replication) -> "MembershipChanges":
        """Return an independent copy that works on `state` and `replication`."""
        copied = MembershipChanges(state, replication)
        copied.change_ticket = self.change_ticket
        return copied

    def clear(self) -> list[Any]:
        """Drop the pending change and return the tickets that wait for it."""
        tickets = []
        if self.state.joining is not None:
            tickets.append(self.state.joining.ticket)
        if self.change_ticket is not None:
            tickets.append(self.change_ticket)
        self.state.joining = None
        self.change_ticket = None
        return tickets

    def change(self, ticket: Any, change: Literal["add", "remove"], member: Member) -> bool:
        """Start to add or remove a member; return whether the change was appended to the log."""
        state = self.state
        if not self._can_change():
            state.refuse(
                ticket,
                "another change is pending, or this leader has committed nothing in its term",
                state.id,
            )
        elif (change == "add") == state.is_member(member.id):
            state.effects.append(ProposalApplied(ticket, "unchanged"))
        elif change == "add":
            state.joining = JoiningMember(member, ticket, state.now + JOIN_TIMEOUT)
            self.replication.begin_join(member.id)
        elif len(state.members) == 1:
            state.refuse(ticket, "the last member can't be removed", state.id)
        else:
            rest = tuple(other for other in state.members if other.id != member.id)
            self._append_members(ticket, rest)
            return True
        return False

    def _can_change(self) -> bool:
        state = self.state
        changes = state.log.member_changes
        if state.joining is not None or (changes and changes[-1][0] > state.commit_index):
            return False
        return state.log.term_at(state.commit_index) == state.term

    def _append_members(self, ticket: Any, members: Members) -> None:
        self.change_ticket = ticket
        self.replication.append(Entry(self.state.term, "members", encode_members(members)))
        self.replication.add_missing_peers()
        self.replication.send_heartbeats()

    def finish_join(self) -> bool:
        """Add a joining replica that has caught up; return whether the change was appended to the log."""
        state = self.state
        joining = state.joining
        if joining is None:
            return False
        if self.replication.peers[joining.member.id].match_index < state.commit_index:
            return False
        state.joining = None
        others = [other for other in state.members if other.address != joining.member.address]
        if len(others) < len(state.members):
            state.refuse(joining.ticket, "the member with this address must be removed first", state.id)
            return False
        self._append_members(joining.ticket, tuple(sorted((*others, joining.member))))
        return True

    def expire_join(self) -> None:
        """Drop a joining replica that did not catch up in time."""
        state = self.state
        joining = state.joining
        if joining is not None and state.now >= joining.deadline:
            state.refuse(joining.ticket, "the joining replica did not catch up in time", state.id)
            state.joining = None

    def finish_change(self) -> None:
        """Answer the request of the committed change, and stop sending to removed members."""
        if self.change_ticket is not None:
            self.state.effects.append(ProposalApplied(self.change_ticket, "changed"))
            self.change_ticket = None
        self.replication.drop_removed_peers()
