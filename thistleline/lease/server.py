"""The lease server: a consensus replica whose state machine is the lease table.

A pure state machine: events in, effects out. No I/O, no clock.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from thistleline.consensus import events as consensus_events
from thistleline.consensus.effects import (
    LeadershipGained,
    ProposalApplied,
    ReadReady,
    RequestRefused,
)
from thistleline.consensus.events import ChangeMembership, FormCluster, Propose, RequestRead
from thistleline.consensus.messages import Member
from thistleline.consensus.replica import Replica
from thistleline.consensus.state import NO_RENAMES, Phase
from thistleline.lease.effects import Effect, NotifyHolder, SendAnswer
from thistleline.lease.events import Event, RequestReceived
from thistleline.lease.liveness import LivenessTracker
from thistleline.lease.protocol import (
    DECISIONS,
    Answer,
    ChangeReplicas,
    CreateCluster,
    Decision,
    Denied,
    Describe,
    Done,
    Get,
    GetStatus,
    LeaseList,
    Op,
    Question,
    Renew,
    Renewed,
    ReplicaStatus,
    Unavailable,
)
from thistleline.lease.table import LeaseTable, encode_decision, validate

MAX_LISTED_NAMES = 1000  # leases in one answer


class PendingRequest(NamedTuple):
    """A client's request that waits for the replica; serves as the ticket of the proposal or read."""

    ticket: Any
    op: Op


class LeaseServer:
    """Answers client requests with what the replica commits.

    A proposal of the leader itself, to expire a lease or a waiter, has the ticket None.

    Attributes:
        replica: The consensus replica.
        table: The replica's state machine.
        wall_clock: Returns the wall clock in ms; only shown to people.
        liveness: The leader's record of which holders and waiters still renew.
    """

    __slots__ = ("_commands", "_questions", "liveness", "replica", "table", "wall_clock")

    def __init__(self, replica: Replica, wall_clock: Callable[[], int]) -> None:
        """Create a server on a replica whose state machine is a lease table."""
        table = replica.state.machine
        assert isinstance(table, LeaseTable)
        self.replica = replica
        self.table: LeaseTable = table
        self.wall_clock = wall_clock
        self.liveness = LivenessTracker()
        self._commands: list[tuple[PendingRequest, bytes]] = []
        self._questions: list[PendingRequest] = []

    @property
    def is_leader(self) -> bool:
        """Whether the replica is the leader."""
        return self.replica.state.phase is Phase.LEADER

    def copy(self) -> "LeaseServer":
        """Return an independent copy, for the exploration of possible next states."""
        copied = LeaseServer(self.replica.copy(), self.wall_clock)
        copied.liveness = self.liveness.copy()
        return copied

    def state_key(self, names: Mapping[str, str] = NO_RENAMES) -> tuple[Any, ...]:
        """Return a hashable value of all that the behaviour depends on, with replicas renamed by `names`."""
        liveness = self.liveness.state_key() if self.is_leader else ()
        return self.replica.state_key(names), liveness

    def next_deadline(self) -> int:
        """Return the time of the next `DeadlineReached`, ns."""
        replica_deadline = self.replica.next_deadline()
        liveness_deadline = self.liveness.next_deadline()
        if liveness_deadline is None or not self.is_leader:
            return replica_deadline
        return min(replica_deadline, liveness_deadline)

    def handle(self, now: int, *events: Event) -> list[Effect]:
        """Handle all events that arrived by `now` (ns); their proposals go to the log as one batch."""
        effects: list[Effect] = []
        for event in events:
            if isinstance(event, RequestReceived):
                self._handle_request(now, event.ticket, event.op, effects)
            else:
                self._drive_replica(now, event, effects)
        self._flush_requests(now, effects)
        if self.is_leader:
            self._propose_expired(now, effects)
        return effects

    def _flush_requests(self, now: int, effects: list[Effect]) -> None:
        """Pass the collected commands and questions to the replica."""
        if self._commands:
            proposals = tuple(self._commands)
            self._commands = []
            self._drive_replica(now, Propose(proposals), effects)
        if self._questions:
            tickets = tuple(self._questions)
            self._questions = []
            self._drive_replica(now, RequestRead(tickets), effects)

    def _propose_expired(self, now: int, effects: list[Effect]) -> None:
        """Propose the expiry of leases, and the removal of waiters, that were not renewed."""
        expired = self.liveness.expired(now, self.wall_clock(), self.table)
        if expired:
            proposals = tuple((None, encode_decision(decision)) for decision in expired)
            self._drive_replica(now, Propose(proposals), effects)

    # ---- requests

    def _handle_request(self, now: int, ticket: Any, op: Op, effects: list[Effect]) -> None:
        if isinstance(op, GetStatus):
            effects.append(SendAnswer(ticket, self._status()))
        elif isinstance(op, CreateCluster):
            effects.append(SendAnswer(ticket, self._form_cluster(now, op, effects)))
        elif isinstance(op, ChangeReplicas):
            member = Member(op.id, op.address)
            change = ChangeMembership(PendingRequest(ticket, op), op.action, member)
            self._drive_replica(now, change, effects)
        elif isinstance(op, DECISIONS):
            self._handle_command(ticket, op, effects)
        else:
            self._handle_question(now, ticket, op)

    def _status(self) -> ReplicaStatus:
        state = self.replica.state
        return ReplicaStatus(
            id=state.id,
            cluster=state.cluster_id,
            phase=state.phase.value,
            term=state.term,
            leader=state.leader,
            commit_index=state.commit_index,
            applied_index=state.last_applied,
            last_index=state.log.last_index,
            snapshot_index=state.log.snapshot_index,
            members=tuple((member.id, member.address) for member in state.members),
            leases=len(self.table.state.leases),
            failing=state.writes.failing,
        )

    def _form_cluster(self, now: int, op: CreateCluster, effects: list[Effect]) -> Answer:
        state = self.replica.state
        if state.phase is Phase.UNFORMED:
            members = tuple(sorted(Member(id, address) for id, address in op.members))
            self._drive_replica(now, FormCluster(op.cluster, members), effects)
        if state.cluster_id == op.cluster:
            return Done("formed")
        return Denied("the replica already belongs to another cluster")

    def _handle_command(self, ticket: Any, command: Decision, effects: list[Effect]) -> None:
        reason = validate(command)
        if reason:
            effects.append(SendAnswer(ticket, Denied(reason)))
            return
        stamped = msgspec.structs.replace(command, wall_ms=self.wall_clock())
        self._commands.append((PendingRequest(ticket, command), encode_decision(stamped)))

    def _handle_question(self, now: int, ticket: Any, question: Question) -> None:
        if isinstance(question, Renew) and self.is_leader:
            for name, holder_id in question.leases:
                self.liveness.renew(now, name, holder_id, self.table)
        self._questions.append(PendingRequest(ticket, question))

    def _answer_question(self, question: Any) -> Answer:
        table = self.table
        if isinstance(question, Renew):
            return Renewed(tuple(table.status_of(name, holder_id) for name, holder_id in question.leases))
        if isinstance(question, Get):
            return table.get(question.key)
        assert isinstance(question, Describe)
        if not question.name.endswith("*"):
            return table.describe(question.name)
        prefix = question.name[:-1]
        names = sorted(
            name for name in table.state.leases if name.startswith(prefix) and name > question.after
        )
        return LeaseList(tuple(table.describe(name) for name in names[:MAX_LISTED_NAMES]))

    # ---- the replica

    def _drive_replica(self, now: int, event: consensus_events.Event, effects: list[Effect]) -> None:
        """Pass an event to the replica; turn request results into answers and forward other effects."""
        for effect in self.replica.handle(now, event):
            match effect:
                case ReadReady(ticket):
                    effects.append(SendAnswer(ticket.ticket, self._answer_question(ticket.op)))
                case ProposalApplied(ticket, answer):
                    if ticket is not None:
                        reply = Done(answer) if isinstance(answer, str) else answer
                        effects.append(SendAnswer(ticket.ticket, reply))
                case RequestRefused(ticket, reason, leader):
                    if ticket is not None:
                        effects.append(SendAnswer(ticket.ticket, Unavailable(reason, leader)))
                case LeadershipGained():
                    self.liveness.reset(now, self.table)
                    effects.append(effect)
                case _:
                    effects.append(effect)
        if self.table.changed:
            if self.is_leader:
                self._track_changes(now, effects)
            self.table.changed = {}

    def _track_changes(self, now: int, effects: list[Effect]) -> None:
        """Update the tracking of leases that decisions changed, and notify the new holder of each lease."""
        for name in self.table.changed:
            known = self.liveness.leases.get(name)
            self.liveness.update(now, name, self.table)
            lease = self.table.state.leases.get(name)
            if known is not None and lease is not None and lease.epoch != known[0]:
                effects.append(NotifyHolder(name, lease.holder))
