"""Writing a replica's state to disk: batches of records, and compaction of the log into snapshots. No I/O."""

from thistleline.consensus.effects import WriteRecords
from thistleline.consensus.records import EntriesRecord, Record, SnapshotRecord
from thistleline.consensus.state import ReplicaState

MAX_LOG_SIZE = 4 << 20  # bytes; a larger log is compacted into a snapshot
ENTRY_OVERHEAD = 48  # bytes that each entry adds to the log size besides its data


def start_write(state: ReplicaState) -> None:
    """Write the pending records, unless a write is outstanding or waits for its retry."""
    writes = state.writes
    if not writes.is_ready(state.now):
        return
    log = state.log
    if (
        state.last_applied > log.snapshot_index
        and log.size + ENTRY_OVERHEAD * len(log.entries) > MAX_LOG_SIZE
    ):
        writes.new_segment = True
    if writes.new_segment:
        _compact_log(state)
        records = _full_state_records(state)
    else:
        records = tuple(writes.pending)
    state.effects.append(WriteRecords(writes.start(records)))


def _compact_log(state: ReplicaState) -> None:
    """Replace all applied log entries with a snapshot of the state machine."""
    log = state.log
    index = state.last_applied
    if index > log.snapshot_index:
        state.snapshot = state.machine.snapshot()
        log.compact(index, log.term_at(index), log.members_at(index))


def _full_state_records(state: ReplicaState) -> tuple[Record, ...]:
    """Return the records of the whole state, with which a new segment begins."""
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
    """Mark the outstanding batch as durable and emit the effects that were deferred until then."""
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
        # Another leader's entries may have replaced these while they were being written.
        if state.log.term_at(last_index) == record.entries[-1].term:
            state.durable_index = max(state.durable_index, last_index)


def fail_write(state: ReplicaState, reason: str) -> None:
    """Mark the outstanding batch as failed; the retry writes the whole state to a new segment."""
    state.writes.fail(state.now)
    state.log_event("disk", state="failing", why=reason)
