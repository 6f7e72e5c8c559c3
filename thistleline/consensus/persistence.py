"""Writing a replica's state to disk: batches of records, and compaction of the log into snapshots. No I/O."""

from thistleline.consensus.effects import WriteRecords
from thistleline.consensus.records import EntriesRecord, Record, SnapshotRecord
from thistleline.consensus.state import ReplicaState

MAX_LOG_SIZE = 4 << 20  # bytes of a log; past it the log is compacted into a snapshot
ENTRY_COST = 48  # bytes that an entry counts for besides its data


def start_write(state: ReplicaState) -> None:
    """Write what is pending, if no write is outstanding and none waits for its retry."""
    writes = state.writes
    if not writes.is_ready(state.now):
        return
    log = state.log
    if state.last_applied > log.snapshot_index and log.size + ENTRY_COST * len(log.entries) > MAX_LOG_SIZE:
        writes.new_segment = True
    if writes.new_segment:
        _compact_log(state)
        records = _whole_state(state)
    else:
        records = tuple(writes.pending)
    state.effects.append(WriteRecords(writes.start(records)))


def _compact_log(state: ReplicaState) -> None:
    """Replace all applied entries by a snapshot of the state machine."""
    log = state.log
    index = state.last_applied
    if index > log.snapshot_index:
        state.snapshot = state.machine.snapshot()
        log.compact(index, log.term_at(index), log.members_at(index))


def _whole_state(state: ReplicaState) -> tuple[Record, ...]:
    """Return the records that begin a new segment."""
    log = state.log
    snapshot = SnapshotRecord(
        id=state.id,
        cluster_id=state.cluster_id,
        term=state.term,
        voted_for=state.voted_for,
        last_included_index=log.snapshot_index,
        last_included_term=log.snapshot_term,
        members=log.snapshot_members,
        state=state.snapshot,
    )
    if not log.entries:
        return (snapshot,)
    return snapshot, EntriesRecord(log.snapshot_index + 1, tuple(log.entries))


def finish_write(state: ReplicaState) -> None:
    """Note that the outstanding batch is durable and emit the effects that waited for it."""
    writes = state.writes
    batch = writes.complete()
    if writes.failing:
        writes.recover()
        state.log_event("disk", state="well")
        state.restart_election_timer()
    for record in batch.records:
        _advance_durable_index(state, record)
    state.effects += writes.release()


def _advance_durable_index(state: ReplicaState, record: Record) -> None:
    if isinstance(record, SnapshotRecord):
        state.durable_index = max(state.durable_index, record.last_included_index)
    elif isinstance(record, EntriesRecord) and record.entries:
        last_index = record.first_index + len(record.entries) - 1
        # The entries may have been replaced by another leader's while they were written.
        if state.log.term_at(last_index) == record.entries[-1].term:
            state.durable_index = max(state.durable_index, last_index)


def fail_write(state: ReplicaState, reason: str) -> None:
    """Note that the outstanding batch failed; everything is written to a new segment later."""
    state.writes.fail(state.now)
    state.log_event("disk", state="failing", why=reason)
