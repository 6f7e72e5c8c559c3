"""A follower's handling of log entries and snapshots from its leader (Raft, sections 5.3 and 7)."""

from thistleline.consensus.messages import AppendRequest, AppendResponse, InstallSnapshot
from thistleline.consensus.records import EntriesRecord, VoteRecord
from thistleline.consensus.state import Phase, ReplicaState


def accept_entries(state: ReplicaState, request: AppendRequest) -> AppendResponse:
    """Merge a leader's entries into the log and return the response."""
    if state.phase is Phase.UNFORMED:
        return AppendResponse(state.term, False, -1, 0)
    log = state.log
    known_term = log.term_at(request.prev_log_index)
    # -1: this replica's snapshot covers the index; the entries there are committed and therefore match.
    if request.prev_log_index > log.last_index or known_term not in (request.prev_log_term, -1):
        return AppendResponse(state.term, False, _match_hint(state, request), request.round)
    _merge_entries(state, request)
    return AppendResponse(state.term, True, request.prev_log_index + len(request.entries), request.round)


def _match_hint(state: ReplicaState, request: AppendRequest) -> int:
    """Return the highest index at which this log and the leader's may match.

    All entries of the term that conflicts with the leader's entry are skipped.
    """
    log = state.log
    hint = min(request.prev_log_index - 1, log.last_index)
    conflicting_term = log.term_at(hint + 1)
    while hint > state.commit_index and conflicting_term != -1 and log.term_at(hint) == conflicting_term:
        hint -= 1
    return max(hint, state.commit_index)


def _merge_entries(state: ReplicaState, request: AppendRequest) -> None:
    """Append the leader's entries that the log lacks; a conflicting one replaces the rest of the log."""
    log = state.log
    for offset, entry in enumerate(request.entries):
        index = request.prev_log_index + offset + 1
        if index <= log.snapshot_index or log.term_at(index) == entry.term:
            continue
        if index <= log.last_index:
            assert index > state.commit_index, "a leader's entry conflicts with a committed entry"
            log.truncate(index)
            state.durable_index = min(state.durable_index, index - 1)
        new_entries = request.entries[offset:]
        for new_entry in new_entries:
            log.append(new_entry)
        state.queue_record(EntriesRecord(index, new_entries))
        return


def accept_snapshot(state: ReplicaState, sender: str, request: InstallSnapshot) -> AppendResponse:
    """Install a leader's snapshot if it is ahead of the commit index, and return the response."""
    if state.phase is Phase.UNFORMED:
        state.phase = Phase.FOLLOWER
        state.leader = sender
        state.cluster_id = request.cluster_id
        _install(state, request)
    elif request.last_included_index > state.commit_index:
        _install(state, request)
    return AppendResponse(state.term, True, request.last_included_index, request.round)


def _install(state: ReplicaState, request: InstallSnapshot) -> None:
    index = request.last_included_index
    state.log.compact(index, request.last_included_term, request.members)
    state.snapshot = request.state
    state.machine.restore(request.state)
    state.commit_index = index
    state.last_applied = index
    state.durable_index = min(state.durable_index, state.log.last_index)
    state.writes.new_segment = True
    state.queue_record(VoteRecord(state.term, state.voted_for))
    state.log_event("installed", index=index)
