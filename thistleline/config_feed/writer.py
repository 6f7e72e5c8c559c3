"""The writer: assigns sequence numbers to changes, commits them, and recovers the state of an earlier writer.

No I/O, no clock. The keeper that holds the lease is the writer. It admits proposals (`pending_queue.py`) and
commits them in groups. One group at a time is in flight, as a conditional write of the next record of a ring
in the consensus cluster (`record_ring.py`). A new writer reads the ring and replays it on its own table
(`recovery.py`). If the ring does not reach back far enough, it follows another keeper first.

The phases:

    standby      this keeper does not hold the lease
    reading      reads the records of the ring
    catching_up  follows another keeper until the table includes all changes before the oldest record
    writing      commits proposals
    settling     a write's outcome is unknown; reads its record to determine it

An answer from the cluster may arrive late, twice or never. Only the record is authoritative: a write succeeds
only if the record still has the version that was read and the lease still has its epoch, so the only cost of
a late answer is a read. A proposal whose outcome is uncertain is answered with `unknown`.
"""

from __future__ import annotations

from copy import copy
from typing import Any, Literal

from thistleline.config_feed.durability import DurableAcknowledgements
from thistleline.config_feed.group_commit import (
    READ_RETRY_NS,
    CommitEffect,
    CommitFailed,
    GroupCommit,
    GroupCommitted,
    InFlightGroup,
)
from thistleline.config_feed.history import History
from thistleline.config_feed.limits import (
    NEVER,
    PENDING_PROPOSALS_LIMIT,
    REQUEST_ID_LENGTH_LIMIT,
    SECOND,
    STALL_TIMEOUT_NS,
)
from thistleline.config_feed.messages import Group, Propose, ProposeResult
from thistleline.config_feed.pending_queue import CommittedRequests, PendingChange, PendingQueue
from thistleline.config_feed.record_ring import RecordRing
from thistleline.config_feed.recovery import (
    RecoveryError,
    newest_items,
    record_key,
    replay_groups,
)
from thistleline.config_feed.validation import find_faults
from thistleline.config_feed.writer_effects import (
    AnswerProposal,
    FollowKeepers,
    ReadRecord,
    ReleaseLease,
    TableAdvanced,
    WriterEffect,
)
from thistleline.config_feed.writer_events import (
    CatchUpAdvanced,
    KeeperDurable,
    LeaseAcquired,
    LeaseLost,
    ProposalReceived,
    RecordRead,
    RecordWritten,
    WriteDenied,
    WriterEvent,
    WriteUnanswered,
)
from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached

OwnPhase = Literal["standby", "reading", "catching_up", "writing"]
Phase = Literal[OwnPhase, "settling"]
CATCH_UP_TIMEOUT_NS = 30 * SECOND  # time without progress before the lease is released for another keeper
PENDING_SIZE_LIMIT = 8 << 20  # bytes of changes in the queue, beyond which proposals are refused


class FeedWriter:
    """The writer's state machine in one keeper.

    Attributes:
        id: Id of this keeper.
        history: The keeper's table and recent steps, shared with the state machines that serve and follow.
        epoch: Fencing epoch of the current lease, or of the last one if none is held.
        durable: Which changes the keepers have on disk.
        committed: Request ids of committed changes, for deduplicating proposals.
        pending: The changes that wait for a group commit.
    """

    __slots__ = (
        "_catch_up_sequence",
        "_commit",
        "_committed_groups",
        "_effects",
        "_now",
        "_phase",
        "_recovered_groups",
        "_recovery_deadline",
        "_refused_count",
        "_ring",
        "_stall_deadline",
        "committed",
        "durable",
        "epoch",
        "history",
        "id",
        "pending",
    )

    def __init__(self, id: str, history: History, keepers: tuple[str, ...], now: int) -> None:
        """Start in standby.

        Args:
            id: Id of this keeper.
            history: Its table and recent steps, shared with the state machines that serve and follow.
            keepers: Ids of all keepers, including this one.
            now: Time in ns.
        """
        self.id = id
        self.history = history
        self.epoch = 0
        self.durable = DurableAcknowledgements(keepers)
        self.committed = CommittedRequests()
        self.pending = PendingQueue(history.table)
        self._phase: OwnPhase = "standby"
        self._now = now
        self._effects: list[WriterEffect] = []
        self._ring = RecordRing()
        self._commit = GroupCommit(self._ring)
        self._recovered_groups: tuple[Group, ...] = ()  # groups read from the ring, until they are replayed
        self._recovery_deadline = NEVER  # when to repeat reads, or to give up catching up
        self._stall_deadline = NEVER  # when to refuse proposals, as the keepers' disks are behind
        self._catch_up_sequence = 0  # last sequence number reached in catching up
        self._committed_groups = 0
        self._refused_count = 0  # number of refused proposals

    def copy(self, history: History | None = None) -> FeedWriter:
        """Return an independent copy, for state space exploration.

        Args:
            history: History that the copy shares with other state machines; by default a copy of its own.
        """
        copied = copy(self)
        copied.history = history or self.history.copy()
        copied.durable = self.durable.copy()
        copied.committed = self.committed.copy()
        copied.pending = self.pending.copy()
        copied._effects = []
        copied._ring = self._ring.copy()
        copied._commit = self._commit.copy(copied._ring)
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return all state that determines behaviour, as a hashable value."""
        table = self.history.table
        return (
            self.id,
            self._phase,
            self.epoch,
            (table.sequence, table.digest("all"), self.history.base),
            self.durable.state_key(),
            self.committed.items(),
            self.pending.state_key(),
            self._commit.state_key(),
            self._ring.state_key(),
            self._recovered_groups,
            (self._recovery_deadline, self._stall_deadline, self._catch_up_sequence),
        )

    @property
    def keepers(self) -> tuple[str, ...]:
        """Ids of all keepers."""
        return self.durable.keepers

    @property
    def phase(self) -> Phase:
        """The current phase, as listed in the module's docstring."""
        return "settling" if self._commit.is_settling else self._phase

    @property
    def in_flight(self) -> InFlightGroup | None:
        """The group that is being committed."""
        return self._commit.in_flight

    @property
    def is_stalled(self) -> bool:
        """Whether proposals are refused because too few keepers' disks have caught up for too long."""
        return self._now >= self._stall_deadline

    def counters(self) -> dict[str, int]:
        """Return counters for the status; `kept` is the sequence number that a majority has on disk."""
        in_flight = len(self.in_flight.changes) if self.in_flight is not None else 0
        return {
            "waiting": len(self.pending) + in_flight,
            "groups": self._committed_groups,
            "refused": self._refused_count,
            "stopped": int(self.is_stalled),
            "kept": self.durable.majority_sequence(),
        }

    # ---- events

    def handle(self, now: int, event: WriterEvent) -> list[WriterEffect]:
        """Handle one event at the time `now` (ns) and return the effects to carry out, in order."""
        self._now = max(self._now, now)
        match event:
            case ProposalReceived(ticket, proposal):
                self._on_proposal(ticket, proposal)
            case RecordWritten() | WriteDenied() | WriteUnanswered():
                self._carry_out(self._commit.handle(self._now, event))
            case KeeperDurable(keeper, sequence):
                self._on_durable(keeper, sequence)
            case DeadlineReached():
                self._on_timer(event)
            case RecordRead():
                self._on_read(event)
            case CatchUpAdvanced():
                self._on_catch_up()
            case LeaseAcquired(epoch):
                self._on_lease_acquired(epoch)
            case LeaseLost(reason):
                self._stand_by(f"{self.id} is no longer the writer: {reason}")
        effects, self._effects = self._effects, []
        return effects

    def next_deadline(self) -> int:
        """Return the time in ns at which `DeadlineReached` must be passed in."""
        stall_deadline = NEVER if self.is_stalled else self._stall_deadline
        return min(self._recovery_deadline, self._commit.next_deadline(), stall_deadline)

    def _on_timer(self, event: DeadlineReached) -> None:
        if self.phase == "writing" and self.is_stalled and self.pending:
            self._refuse_pending(self._stall_reason())
        self._carry_out(self._commit.handle(self._now, event))
        if self._now < self._recovery_deadline:
            return
        if self.phase == "reading":
            self._read_ring()
        elif self.phase == "catching_up":
            self._give_up("no other keeper supplied the changes that are missing here")

    def _log(self, event: str, **fields: Any) -> None:
        self._effects.append(LogEvent(event, {"epoch": self.epoch, "slot": self._ring.slot, **fields}))

    # ---- the lease

    def _on_lease_acquired(self, epoch: int) -> None:
        self._stand_by("the lease was acquired again")
        self._phase = "reading"
        self.epoch = epoch
        # Other keepers may have lost what they acknowledged under an earlier lease.
        self.durable.discard_others(self.id)
        self._ring.begin_recovery()
        self._read_ring()

    def _give_up(self, reason: str) -> None:
        self._log("gives_up", why=reason)
        self._stand_by(f"{self.id} is no longer the writer: {reason}")
        self._effects.append(ReleaseLease(reason))

    def _stand_by(self, reason: str) -> None:
        for pending in self._commit.abort():
            self._answer(ProposeResult(pending.change.request_id, reason=reason, unknown=True))
        self._refuse_pending(reason)
        self._phase = "standby"
        self._recovered_groups = ()
        self._recovery_deadline = NEVER
        self._stall_deadline = NEVER

    # ---- recovery

    def _read_ring(self) -> None:
        for slot in self._ring.unread_slots():
            self._effects.append(ReadRecord(slot, record_key(slot)))
        self._recovery_deadline = self._now + READ_RETRY_NS

    def _on_read(self, event: RecordRead) -> None:
        if self.phase != "reading":
            self._carry_out(self._commit.handle(self._now, event))
        elif self._ring.add_record(event.slot, event.value, event.version):
            self._recover()

    def _recover(self) -> None:
        try:
            self._recovered_groups = self._ring.recover()
        except RecoveryError as error:
            self._give_up(str(error))
            return
        self._resume()

    def _resume(self) -> None:
        """Start writing if the recovered groups continue the local table; otherwise catch up first."""
        table = self.history.table
        first = self._recovered_groups[0].changes[0].sequence if self._recovered_groups else 1
        last = self._recovered_groups[-1].changes[-1].sequence if self._recovered_groups else 0
        if table.sequence > last:
            self._give_up(f"the local table is at {table.sequence}, but the cluster's records end at {last}")
        elif table.sequence < first - 1:
            self._catch_up(first)
        else:
            self._start_writing()

    def _catch_up(self, oldest: int) -> None:
        sequence = self.history.table.sequence
        if self.phase != "catching_up" or sequence != self._catch_up_sequence:
            self._recovery_deadline = self._now + CATCH_UP_TIMEOUT_NS
        if self.phase != "catching_up":
            self._phase = "catching_up"
            self._log("catches_up", number=sequence, oldest=oldest)
            self._effects.append(FollowKeepers())
        self._catch_up_sequence = sequence

    def _on_catch_up(self) -> None:
        if self.phase == "catching_up":
            self._resume()

    def _start_writing(self) -> None:
        try:
            replayed = replay_groups(self.history.table, self._recovered_groups)
        except RecoveryError as error:
            self._give_up(str(error))
            return
        for table, items in replayed:
            self.history.append(table, items)
        newest = self.history.table
        self.committed.load(newest)
        self.pending.clear(newest)
        self._recovered_groups = ()
        self._phase = "writing"
        self._recovery_deadline = NEVER
        self._log("writes", number=newest.sequence, steps=len(replayed))
        if replayed:
            self._effects.append(TableAdvanced())
        self._check_slot()

    # ---- proposals

    def _on_proposal(self, ticket: Any, proposal: Propose) -> None:
        request_id = proposal.request_id
        reason = self._unavailable_reason(request_id)
        if not reason and request_id in self.committed:
            result = ProposeResult(request_id, self.committed[request_id])
            self._effects.append(AnswerProposal(ticket, result))
            return
        if not reason and self.pending.is_pending(request_id):
            self.pending.add_ticket(ticket, request_id)
            return
        if not reason:
            reason = self._stall_reason() if self.is_stalled else find_faults(proposal, self.pending.newest)
        if not reason:
            self.pending.push(ticket, proposal)
            self._start_commit()
            return
        self._refused_count += 1
        result = ProposeResult(request_id[:REQUEST_ID_LENGTH_LIMIT], reason=reason)
        self._effects.append(AnswerProposal(ticket, result))

    def _unavailable_reason(self, request_id: str) -> str:
        """Return why proposals are refused now regardless of their contents; empty if they are admitted."""
        if self.phase == "standby":
            return f"{self.id} is not the writer"
        if self.phase in ("reading", "catching_up"):
            return f"{self.id} is not ready to write: it is {self.phase.replace('_', ' ')}"
        if request_id in self.committed:
            return ""
        if self.pending.ticket_count >= PENDING_PROPOSALS_LIMIT:
            return f"{PENDING_PROPOSALS_LIMIT} proposals are pending already"
        if self.pending.size >= PENDING_SIZE_LIMIT:
            return f"{self.pending.size} bytes of changes are pending already"
        return ""

    def _answer(self, result: ProposeResult) -> None:
        for ticket in self.pending.pop_tickets(result.request_id):
            self._effects.append(AnswerProposal(ticket, result))

    def _refuse_pending(self, reason: str) -> None:
        """Refuse the changes in the queue; they were never sent to the consensus cluster."""
        for pending in self.pending:
            self._refused_count += 1
            self._answer(ProposeResult(pending.change.request_id, reason=reason))
        flight = self.in_flight
        self.pending.clear(flight.changes[-1].table if flight is not None else self.history.table)

    # ---- the keepers' disks

    def _on_durable(self, keeper: str, sequence: int) -> None:
        if self.durable.acknowledge(keeper, sequence) and self._phase == "writing":
            self._check_slot()

    def _slot_is_free(self) -> bool:
        """Return whether the ring's next record may be overwritten.

        It may be if it is empty, or if a majority of the keepers has its group of changes on disk.
        """
        last = self._ring.last_sequence
        return not last or self.durable.has_majority(last)

    def _stall_reason(self) -> str:
        last = self._ring.last_sequence
        return (
            f"change {last} is on the disks of {self.durable.count(last)} of {len(self.keepers)} keepers; "
            "no change is accepted until a majority has it"
        )

    def _check_slot(self) -> None:
        """Start the next commit if its slot of the ring is free; otherwise set a deadline for that."""
        if self.in_flight is not None:
            return
        if self._slot_is_free():
            if self.is_stalled:
                self._log("resumed")
            self._stall_deadline = NEVER
            self._start_commit()
        elif self._stall_deadline == NEVER:
            self._stall_deadline = self._now + STALL_TIMEOUT_NS

    # ---- group commit

    def _start_commit(self) -> None:
        """Commit the oldest pending changes as the next group, if none is in flight and the slot is free."""
        if self.phase != "writing" or self.in_flight is not None:
            return
        if not self.pending or not self._slot_is_free():
            return
        changes = self.pending.pop_group()
        digest_before = self.history.table.digest("all")
        self._carry_out(self._commit.begin(self._now, self.epoch, changes, digest_before))

    def _carry_out(self, effects: list[CommitEffect]) -> None:
        for effect in effects:
            match effect:
                case GroupCommitted(changes):
                    self._on_committed(changes)
                case CommitFailed(reason):
                    self._give_up(reason)
                case _:
                    self._effects.append(effect)

    def _on_committed(self, changes: tuple[PendingChange, ...]) -> None:
        items = newest_items(pending.change for pending in changes)
        self.history.append(changes[-1].table, items)
        self._committed_groups += 1
        self._effects.append(TableAdvanced())
        for pending in changes:
            self.committed.add(pending.change)
            self._answer(ProposeResult(pending.change.request_id, pending.change.sequence))
        self._check_slot()
