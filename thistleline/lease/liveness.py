"""The leader's record of which holders and waiters still send requests. No I/O and no clock.

It belongs to one leader and is not replicated: a new leader counts the TTL of every lease anew from the start
of its term. That makes expiry late, never early: a renewal that an earlier leader confirmed was received
before the new leader was elected.
"""

from heapq import heappop, heappush
from typing import NamedTuple

from thistleline.lease.protocol import WAITER_TIMEOUT, Expire, Release
from thistleline.lease.table import Lease, LeaseTable
from thistleline.reducer.copying import copy_state

REPROPOSE_INTERVAL = 1_000_000_000  # ns before the expiry of a lease is proposed again if it was not decided
_PRUNE_THRESHOLD = 64  # tracked waiters; up to this number, entries of former waiters are not removed


class TrackedLease(NamedTuple):
    """When a lease expires by the leader's clock; epoch and touched index are copied from the lease table."""

    epoch: int
    touched_index: int
    expires_at: int  # ns


class LivenessTracker:
    """Finds the leases and waiters that were not renewed for their full TTL or timeout.

    Attributes:
        leases: Tracked leases, by name.
        waiters: Time at which a waiter loses its place (ns), by lease name and holder id.
        next_checks: Time of the next check of a lease (ns), by name.
        check_queue: The next checks as a heap of (time, name); entries that differ from `next_checks` are
            stale.
    """

    __slots__ = ("check_queue", "leases", "next_checks", "waiters")

    def __init__(self) -> None:
        """Start with nothing tracked; `reset` starts the tracking."""
        self.leases: dict[str, TrackedLease] = {}
        self.waiters: dict[tuple[str, str], int] = {}
        self.next_checks: dict[str, int] = {}
        self.check_queue: list[tuple[int, str]] = []

    def copy(self) -> "LivenessTracker":
        """Return an independent copy."""
        return copy_state(self)

    def state_key(self) -> tuple[object, ...]:
        """Return a hashable value of all that the further behaviour depends on."""
        return tuple(sorted(self.leases.items())), tuple(sorted(self.waiters.items()))

    def reset(self, now: int, table: LeaseTable) -> None:
        """Restart the TTL of every lease in the table, as a new leader does."""
        self.leases = {}
        self.waiters = {}
        self.next_checks = {}
        self.check_queue = []
        for name in table.state.leases:
            self.update(now, name, table)

    def update(self, now: int, name: str, table: LeaseTable) -> None:
        """Update the tracked state after a decision on this lease."""
        lease = table.state.leases.get(name)
        if lease is None:
            self.leases.pop(name, None)
            return
        tracked = self.leases.get(name)
        if tracked is None or tracked[:2] != (lease.epoch, lease.touched_index):
            self._track_lease(name, lease.epoch, lease.touched_index, now + lease.ttl)
        for holder_id, _ in lease.waiters:
            if (name, holder_id) not in self.waiters:
                self._track_waiter(name, holder_id, now)

    def renew(self, now: int, name: str, holder_id: str, table: LeaseTable) -> None:
        """Restart the TTL of a holder, or the timeout of a waiter, that sent a renewal.

        This takes effect at once, but the client may get its answer only after a quorum has confirmed the
        leader.
        """
        lease = table.state.leases.get(name)
        tracked = self.leases.get(name)
        if lease is None or tracked is None:
            return
        if lease.holder == holder_id:
            expires_at = max(tracked.expires_at, now + lease.ttl)
            self.leases[name] = TrackedLease(tracked.epoch, tracked.touched_index, expires_at)
        elif (name, holder_id) in self.waiters:
            self.waiters[name, holder_id] = now + WAITER_TIMEOUT

    def next_deadline(self) -> int | None:
        """Return when `expired` is to be called next (ns), None if nothing is tracked."""
        return self.check_queue[0][0] if self.check_queue else None

    def expired(self, now: int, wall_ms: int, table: LeaseTable) -> list[Expire | Release]:
        """Return the decisions to propose: one for each holder or waiter that did not renew in time."""
        proposals: list[Expire | Release] = []
        while self.check_queue and self.check_queue[0][0] <= now:
            check_at, name = heappop(self.check_queue)
            if self.next_checks.get(name) != check_at:
                continue
            del self.next_checks[name]
            lease, tracked = table.state.leases.get(name), self.leases.get(name)
            if lease is None or tracked is None:
                self.leases.pop(name, None)
                continue
            self._check_lease(now, wall_ms, name, tracked, proposals)
            self._check_waiters(now, wall_ms, name, lease, proposals)
        self._prune_waiters(table)
        return proposals

    def _track_lease(self, name: str, epoch: int, touched_index: int, expires_at: int) -> None:
        self.leases[name] = TrackedLease(epoch, touched_index, expires_at)
        self._schedule_check(expires_at, name)

    def _track_waiter(self, name: str, holder_id: str, now: int) -> None:
        self.waiters[name, holder_id] = now + WAITER_TIMEOUT
        self._schedule_check(now + WAITER_TIMEOUT, name)

    def _schedule_check(self, check_at: int, name: str) -> None:
        """Check a lease at `check_at` at the latest.

        Only one entry of the heap is current for each lease, which keeps the heap small.
        """
        known = self.next_checks.get(name)
        if known is None or check_at < known:
            self.next_checks[name] = check_at
            heappush(self.check_queue, (check_at, name))

    def _check_lease(
        self, now: int, wall_ms: int, name: str, tracked: TrackedLease, proposals: list[Expire | Release]
    ) -> None:
        if tracked.expires_at <= now:
            proposals.append(Expire(name, tracked.epoch, tracked.touched_index, wall_ms))
            self._track_lease(name, tracked.epoch, tracked.touched_index, now + REPROPOSE_INTERVAL)
        else:
            self._schedule_check(tracked.expires_at, name)

    def _check_waiters(
        self, now: int, wall_ms: int, name: str, lease: Lease, proposals: list[Expire | Release]
    ) -> None:
        earliest = 0
        for holder_id, _ in lease.waiters:
            expires_at = self.waiters.get((name, holder_id), 0)
            if expires_at <= now:
                proposals.append(Release(name, holder_id, "not heard while it waited", wall_ms))
                expires_at = now + REPROPOSE_INTERVAL
                self.waiters[name, holder_id] = expires_at
            earliest = min(earliest or expires_at, expires_at)
        if earliest:
            self._schedule_check(earliest, name)

    def _prune_waiters(self, table: LeaseTable) -> None:
        """Drop the entries of former waiters once they outnumber the entries of current waiters."""
        if len(self.waiters) <= _PRUNE_THRESHOLD:
            return
        leases = table.state.leases
        waiting = sum(len(lease.waiters) for lease in leases.values())
        if len(self.waiters) > _PRUNE_THRESHOLD + 2 * waiting:
            current = {(name, holder_id) for name, lease in leases.items() for holder_id, _ in lease.waiters}
            self.waiters = {
                waiter: expires_at for waiter, expires_at in self.waiters.items() if waiter in current
            }
