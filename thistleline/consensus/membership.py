"""Changes of the cluster's members, one at a time (Ongaro's dissertation, chapter 4)."""

from typing import Any, Literal

from thistleline.consensus.effects import ProposalApplied
from thistleline.consensus.messages import Entry, Member, Members, encode_members
from thistleline.consensus.replication import Replication
from thistleline.consensus.state import JoiningMember, ReplicaState

SECOND = 1_000_000_000  # ns
JOIN_TIMEOUT = 30 * SECOND  # ns until a replica that joins has to have caught up


class MembershipChanges:
    """Adds and removes members on the leader.

    One change at a time, so that every two majorities share a member. None before this leader has committed
    an entry of its term, lest two leaders each know of another change that is uncommitted.

    Attributes:
        state: State of the replica.
        replication: Replicates the changes.
        change_ticket: Ticket of the change that is in the log and not committed; None if there is none.
    """

    __slots__ = ("change_ticket", "replication", "state")

    def __init__(self, state: ReplicaState, replication: Replication) -> None:
        """Create it without a pending change."""
        self.state = state
        self.replication = replication
        self.change_ticket: Any = None

    def copy(self, state: ReplicaState, replication: Replication) -> "MembershipChanges":
        """Return an independent copy that works on `state` and `replication`."""
        copied = MembershipChanges(state, replication)
        copied.change_ticket = self.change_ticket
        return copied

    def clear(self) -> list[Any]:
        """Give up the pending change and return the tickets that wait for it."""
        tickets = []
        if self.state.joining is not None:
            tickets.append(self.state.joining.ticket)
        if self.change_ticket is not None:
            tickets.append(self.change_ticket)
        self.state.joining = None
        self.change_ticket = None
        return tickets

    def change(self, ticket: Any, change: Literal["add", "remove"], member: Member) -> bool:
        """Begin a change; return whether it was appended to the log."""
        state = self.state
        if not self._may_change():
            state.refuse(ticket, "another change is under way", state.id)
        elif (change == "add") == state.is_member(member.id):
            state.effects.append(ProposalApplied(ticket, "unchanged"))
        elif change == "add":
            state.joining = JoiningMember(member, ticket, state.now + JOIN_TIMEOUT)
            self.replication.begin_join(member.id)
        elif len(state.members) == 1:
            state.refuse(ticket, "the last voter stays", state.id)
        else:
            rest = tuple(one for one in state.members if one.id != member.id)
            self._append_members(ticket, rest)
            return True
        return False

    def _may_change(self) -> bool:
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
        """Make a replica that has caught up a member; return whether that was appended to the log."""
        state = self.state
        joining = state.joining
        if joining is None:
            return False
        if self.replication.peers[joining.member.id].match_index < state.commit_index:
            return False
        state.joining = None
        others = [one for one in state.members if one.address != joining.member.address]
        if len(others) < len(state.members):
            state.refuse(joining.ticket, "a voter of that address is to be removed first", state.id)
            return False
        self._append_members(joining.ticket, tuple(sorted((*others, joining.member))))
        return True

    def expire_join(self) -> None:
        """Give up a joining replica that did not catch up in time."""
        state = self.state
        joining = state.joining
        if joining is not None and state.now >= joining.deadline:
            state.refuse(joining.ticket, "it did not catch up in time", state.id)
            state.joining = None

    def finish_change(self) -> None:
        """Answer the change that was committed and forget removed peers."""
        if self.change_ticket is not None:
            self.state.effects.append(ProposalApplied(self.change_ticket, "changed"))
            self.change_ticket = None
        self.replication.drop_removed_peers()
