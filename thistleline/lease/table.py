"""The replicated state machine of leases and records.

No I/O, no clock and no randomness: the state depends on the decisions alone, so that all replicas that have
applied the same log are in the same state.
"""

from typing import Any

import msgspec

from thistleline.lease.protocol import (
    DECISIONS,
    MAX_HOLDER_ID_LENGTH,
    MAX_NAME_LENGTH,
    MAX_REASON_LENGTH,
    MAX_TTL,
    MAX_VALUE_SIZE,
    MAX_WAITERS,
    MIN_TTL,
    Acquire,
    Answer,
    Break,
    Decision,
    Denied,
    Done,
    Expire,
    Got,
    Granted,
    HistoryEntry,
    LeaseInfo,
    Put,
    Release,
    Waiting,
)

MAX_LEASES = 20_000
MAX_WAITERS_TOTAL = 50_000  # clients that wait, over all leases
MAX_RECORDS = 10_000
MAX_RECORDS_SIZE = 4 << 20  # bytes of the values of all records
MAX_RELEASED = (
    4096  # stored ids of former holders and waiters; a delayed copy of their request is not granted
)
MAX_FREE_HISTORIES = 1024  # leases without a holder whose history is stored
MAX_HISTORY = 8  # history entries per lease

_encode = msgspec.msgpack.Encoder().encode
_decode_decision = msgspec.msgpack.Decoder(Decision).decode


def encode_decision(decision: Decision) -> bytes:
    """Encode a decision as the data of a log entry."""
    return _encode(decision)


class Lease(msgspec.Struct):
    """A lease that is held.

    Attributes:
        holder: The holder's id.
        epoch: The fencing token.
        ttl: Time to live, ns.
        touched_index: Log index of the decision that granted the lease, or of its holder's latest `Acquire`.
        waiters: Holder ids and their requested TTLs, in order of arrival.
        history: The latest changes, oldest first.
    """

    holder: str
    epoch: int
    ttl: int = msgspec.field(name="length")
    touched_index: int = msgspec.field(name="touched")
    waiters: list[tuple[str, int]] = msgspec.field(name="line")
    history: list[HistoryEntry] = msgspec.field(name="past")


class LeaseState(msgspec.Struct):
    """The state that results from the decisions so far; a snapshot is its encoding.

    Attributes:
        epoch: The newest epoch; one counter for all leases.
        leases: The leases that are held, by name.
        released: Ids of former holders and waiters, as an ordered set.
        free_histories: Histories of leases without a holder, by name.
        records: Value and version of each record, by key.
        waiter_count: Number of waiters of all leases.
        records_size: Bytes of the values of all records.
    """

    epoch: int
    leases: dict[str, Lease]
    released: dict[str, None] = msgspec.field(name="over")
    free_histories: dict[str, list[HistoryEntry]] = msgspec.field(name="forgotten")
    records: dict[str, tuple[bytes, int]]
    waiter_count: int = msgspec.field(default=0, name="waiting")
    records_size: int = msgspec.field(default=0, name="size")


_decode_state = msgspec.msgpack.Decoder(LeaseState).decode


class LeaseTable:
    """Applies decisions to the leases and records, and answers questions about them.

    Attributes:
        state: The replicated state.
        changed: Names of leases with decisions since the owner of the table last cleared this.
    """

    __slots__ = ("changed", "state")

    def __init__(self) -> None:
        """Start without leases and records."""
        self.state = LeaseState(0, {}, {}, {}, {})
        self.changed: dict[str, None] = {}

    # ---- the replicated state machine

    def apply(self, index: int, data: bytes) -> Answer:
        """Apply the decision of the log entry at `index` and return the answer to its client."""
        decision = _decode_decision(data)
        if isinstance(decision, Put):
            return self._put(decision)
        self.changed[decision.name] = None
        match decision:
            case Acquire():
                return self._acquire(index, decision)
            case Release():
                return self._release(index, decision)
            case Expire():
                return self._expire(index, decision)
            case Break():
                return self._break(index, decision)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return _encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with a snapshot."""
        self.state = _decode_state(snapshot)
        self.changed = dict.fromkeys(self.state.leases)

    def copy(self) -> "LeaseTable":
        """Return an independent copy."""
        state = self.state
        copied = LeaseTable()
        copied.state = LeaseState(
            epoch=state.epoch,
            leases={name: _copy_lease(lease) for name, lease in state.leases.items()},
            released=dict(state.released),
            free_histories=dict(state.free_histories),
            records=dict(state.records),
            waiter_count=state.waiter_count,
            records_size=state.records_size,
        )
        copied.changed = dict(self.changed)
        return copied

    def state_key(self) -> Any:
        """Return a hashable value of all that the further behaviour depends on."""
        state = self.state
        leases = tuple(
            (name, lease.holder, lease.epoch, lease.ttl, lease.touched_index, tuple(lease.waiters))
            for name, lease in sorted(state.leases.items())
        )
        return state.epoch, leases, tuple(state.released), tuple(self.changed), tuple(state.records.items())

    # ---- decisions

    def _acquire(self, index: int, request: Acquire) -> Answer:
        state = self.state
        lease = state.leases.get(request.name)
        if request.holder_id in state.released:
            return Denied("the lease, or the place among its waiters, was given back")
        if lease is None:
            return self._acquire_free(index, request)
        if lease.holder == request.holder_id:
            lease.touched_index = index
            return Granted(lease.epoch, lease.ttl)
        waiting = [holder_id for holder_id, _ in lease.waiters]
        if request.holder_id in waiting:
            return Waiting(waiting.index(request.holder_id))
        if not request.wait:
            return Denied(f"{lease.holder} holds it")
        if len(waiting) >= MAX_WAITERS or state.waiter_count >= MAX_WAITERS_TOTAL:
            return Denied("too many waiters")
        state.waiter_count += 1
        lease.waiters.append((request.holder_id, request.ttl))
        return Waiting(len(waiting))

    def _acquire_free(self, index: int, request: Acquire) -> Answer:
        state = self.state
        if len(state.leases) >= MAX_LEASES:
            return Denied("too many leases are held")
        history = state.free_histories.pop(request.name, [])
        lease = Lease("", 0, 0, index, [], history)
        state.leases[request.name] = lease
        return self._grant(index, lease, request.holder_id, request.ttl, request.wall_ms, "it was free")

    def _grant(
        self, index: int, lease: Lease, holder_id: str, ttl: int, wall_ms: int, reason: str
    ) -> Granted:
        # One counter for all names: the epochs of a lease whose history was dropped must not restart at 1.
        self.state.epoch += 1
        lease.holder = holder_id
        lease.epoch = self.state.epoch
        lease.ttl = ttl
        lease.touched_index = index
        self._add_history(lease, "granted", wall_ms, reason)
        return Granted(lease.epoch, ttl)

    def _add_history(self, lease: Lease, event: str, wall_ms: int, reason: str) -> None:
        lease.history.append(HistoryEntry(event, lease.epoch, lease.holder, wall_ms, reason))
        del lease.history[:-MAX_HISTORY]

    def _end(self, index: int, name: str, lease: Lease, event: str, wall_ms: int, reason: str) -> None:
        """End the current holder's lease and grant it to the first waiter, if there is one."""
        self._add_history(lease, event, wall_ms, reason)
        self._remember_released(lease.holder)
        if lease.waiters:
            holder_id, ttl = lease.waiters.pop(0)
            self.state.waiter_count -= 1
            self._grant(index, lease, holder_id, ttl, wall_ms, f"{event}: {reason}")
            return
        del self.state.leases[name]
        histories = self.state.free_histories
        histories[name] = lease.history
        while len(histories) > MAX_FREE_HISTORIES:
            del histories[next(iter(histories))]

    def _remember_released(self, holder_id: str) -> None:
        released = self.state.released
        released[holder_id] = None
        while len(released) > MAX_RELEASED:
            del released[next(iter(released))]

    def _release(self, index: int, request: Release) -> Answer:
        lease = self.state.leases.get(request.name)
        if lease is not None and lease.holder == request.holder_id:
            self._end(index, request.name, lease, "released", request.wall_ms, request.reason)
            return Done("released")
        self._remember_released(request.holder_id)
        if lease is not None:
            remaining = [waiter for waiter in lease.waiters if waiter[0] != request.holder_id]
            self.state.waiter_count -= len(lease.waiters) - len(remaining)
            lease.waiters = remaining
        return Done("not held")

    def _expire(self, index: int, request: Expire) -> Answer:
        lease = self.state.leases.get(request.name)
        if lease is None or (lease.epoch, lease.touched_index) != (request.epoch, request.touched_index):
            return Denied("the lease has changed since")
        self._end(index, request.name, lease, "expired", request.wall_ms, "not heard for its length")
        return Done("expired")

    def _break(self, index: int, request: Break) -> Answer:
        lease = self.state.leases.get(request.name)
        if lease is None or lease.epoch != request.epoch:
            return Denied("the lease is not held in that epoch")
        self._end(index, request.name, lease, "broken", request.wall_ms, request.reason)
        return Done("broken")

    def _put(self, request: Put) -> Answer:
        records = self.state.records
        old_value, version = records.get(request.key, (b"", 0))
        if request.name:
            lease = self.state.leases.get(request.name)
            if lease is None or lease.epoch != request.epoch:
                return Denied("the lease is free or held in another epoch")
        if version != request.version:
            return Denied(f"the record has version {version}")
        if request.key not in records and len(records) >= MAX_RECORDS:
            return Denied("too many records are stored")
        growth = len(request.value) - len(old_value)
        if self.state.records_size + growth > MAX_RECORDS_SIZE:
            return Denied("the records are too large together")
        self.state.records_size += growth
        records[request.key] = request.value, version + 1
        return Done("written", version + 1)

    # ---- questions

    def status_of(self, name: str, holder_id: str) -> Granted | Waiting | Denied:
        """Return whether this holder id holds the lease, waits for it, or neither."""
        lease = self.state.leases.get(name)
        if lease is not None and lease.holder == holder_id:
            return Granted(lease.epoch, lease.ttl)
        for position, (waiter, _) in enumerate(lease.waiters if lease is not None else ()):
            if waiter == holder_id:
                return Waiting(position)
        return Denied("neither held nor waited for")

    def describe(self, name: str) -> LeaseInfo:
        """Return the description of a lease, which may be free."""
        lease = self.state.leases.get(name)
        if lease is None:
            return LeaseInfo(name, "", 0, 0, (), tuple(self.state.free_histories.get(name, ())))
        waiters = tuple(holder_id for holder_id, _ in lease.waiters)
        return LeaseInfo(name, lease.holder, lease.epoch, lease.ttl, waiters, tuple(lease.history))

    def get(self, key: str) -> Got:
        """Return a record, with version 0 if there is none."""
        return Got(*self.state.records.get(key, (b"", 0)))


def _copy_lease(lease: Lease) -> Lease:
    return Lease(
        lease.holder,
        lease.epoch,
        lease.ttl,
        lease.touched_index,
        list(lease.waiters),
        list(lease.history),
    )


def validate(decision: Decision) -> str:
    """Return why a client's decision is invalid and must not go to the log, empty if it is valid."""
    match decision:
        case Expire():
            return "only the leader may propose this"
        case Put():
            valid = 0 < len(decision.key) <= MAX_NAME_LENGTH and len(decision.value) <= MAX_VALUE_SIZE
            return "" if valid else "the key is empty or too long, or the value is too large"
    if not isinstance(decision, DECISIONS):
        return "only the leader may propose this"
    if (
        not 0 < len(decision.name) <= MAX_NAME_LENGTH
        or not decision.name.isprintable()
        or "*" in decision.name
    ):
        return f"a name has 1 to {MAX_NAME_LENGTH} printable characters and no '*'"
    if isinstance(decision, Acquire | Release) and not 0 < len(decision.holder_id) <= MAX_HOLDER_ID_LENGTH:
        return f"a holder id has 1 to {MAX_HOLDER_ID_LENGTH} characters"
    if isinstance(decision, Acquire) and not MIN_TTL <= decision.ttl <= MAX_TTL:
        return "a lease lasts 0.1 s to 1 hour"
    if isinstance(decision, Release | Break) and len(decision.reason) > MAX_REASON_LENGTH:
        return f"a reason has at most {MAX_REASON_LENGTH} characters"
    return ""
