"""Lookups of configuration values in an instance (a process that uses them), without blocking.

It does no I/O and reads no clock.
All sections except the tenants are read from the follower's table. Tenants are cached when they are looked
up, at most `max_tenants`, with the least recently used evicted first. The cache is always valid at the
table's sequence number: a delta is applied to both in one event, and an answer for another sequence number is
discarded and fetched again. So no reader sees part of a change, or an older value after a newer one. A tenant
that is not cached, because it was not fetched yet or was evicted, is reported as unknown.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import Any, NamedTuple

from thistleline.config_feed.effects import DeltaApplied, FollowerEffect, SendUpstream, SnapshotLoaded
from thistleline.config_feed.events import FollowerEvent, UpstreamMessage
from thistleline.config_feed.follower import Follower
from thistleline.config_feed.limits import (
    FETCHED_TENANTS_LIMIT,
    KEY_LENGTH_LIMIT,
    STALL_TIMEOUT_NS,
    TENANT_CACHE_LIMIT,
)
from thistleline.config_feed.messages import Delta, FetchTenants, TenantEntries
from thistleline.config_feed.table import TENANT_PREFIX


class LookupResult(NamedTuple):
    """The result of a lookup.

    Attributes:
        value: None for a key that does not exist.
        version: Sequence number of the change that set the value, 0 for a key that does not exist.
        known: Whether the value is known. If not, the key is being fetched, and the caller meanwhile uses the
            shared default, `common/tenant`.
    """

    value: bytes | None
    version: int
    known: bool


ABSENT = LookupResult(None, 0, True)
UNKNOWN = LookupResult(None, 0, False)


class LookupCache:
    """A follower of all sections except the tenants (kind "wide"), with a cache of tenants.

    It handles the follower's events, and returns the follower's effects.

    Attributes:
        tenants: Cached results, least recently used first.
        wanted: Keys that were looked up but not requested yet.
        requested: Keys that were requested on the current connection to a source but not answered yet.
    """

    __slots__ = ("follower", "max_tenants", "requested", "requested_at", "tenants", "wanted")

    def __init__(self, follower: Follower, max_tenants: int = TENANT_CACHE_LIMIT) -> None:
        """Start with an empty cache; all events for `follower` must be passed to `handle`."""
        self.follower = follower
        self.max_tenants = max_tenants
        self.tenants: OrderedDict[str, LookupResult] = OrderedDict()
        self.wanted: OrderedDict[str, None] = OrderedDict()
        self.requested: dict[str, None] = {}
        self.requested_at = 0  # ns

    def copy(self) -> LookupCache:
        """Return an independent copy."""
        copied = LookupCache(self.follower.copy(), self.max_tenants)
        copied.tenants = self.tenants.copy()
        copied.wanted = self.wanted.copy()
        copied.requested = self.requested.copy()
        copied.requested_at = self.requested_at
        return copied

    def state_key(self) -> tuple[Any, ...]:
        """Return the state that determines behaviour, with times relative to now."""
        return (
            self.follower.state_key(),
            tuple(self.tenants.items()),
            tuple(self.wanted),
            tuple(self.requested),
            self.requested_at - self.follower.now if self.requested else 0,
        )

    def lookup(self, key: str) -> LookupResult:
        """Return the cached value of a key, at a cost that does not depend on the size of the table.

        After the first lookup of a tenant `next_deadline` returns the current time, so that the tenant is
        requested without delay.
        """
        if not key.startswith(TENANT_PREFIX):
            return self._lookup_wide(key)
        cached = self.tenants.get(key)
        if cached is not None:
            self.tenants.move_to_end(key)
            return cached
        if len(key) > KEY_LENGTH_LIMIT or not is_encodable(key):
            return ABSENT  # no change can contain such a key
        if key not in self.requested and len(self.wanted) < self.max_tenants:
            self.wanted[key] = None
        return UNKNOWN

    def _lookup_wide(self, key: str) -> LookupResult:
        entry = self.follower.table.wide.get(key)
        if entry is None:
            return ABSENT if self.follower.table.sequence else UNKNOWN
        return LookupResult(*entry, True)

    # ---- events

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerEffect]:
        """Handle one event at the time `now` (ns) and return the effects to carry out, in order."""
        follower = self.follower
        effects = follower.handle(now, event)
        if (
            isinstance(event, UpstreamMessage)
            and isinstance(event.message, TenantEntries)
            and event.source == follower.upstream
        ):
            self._on_tenant_entries(event.message)
        for effect in effects:
            if isinstance(effect, DeltaApplied):
                self._on_delta(effect.delta)
            elif isinstance(effect, SnapshotLoaded):
                self.tenants.clear()  # a snapshot does not show which tenants changed
        if (
            follower.phase not in ("loading", "following")
            or follower.now >= self.requested_at + STALL_TIMEOUT_NS
        ):
            self._requeue_requested()
        if self._can_request():
            effects.append(SendUpstream(follower.upstream, self._next_request()))
        return effects

    def next_deadline(self) -> int:
        """Return the time in ns at which `DeadlineReached` must be passed in."""
        if self._can_request():
            return self.follower.now
        deadline = self.follower.next_deadline()
        return min(deadline, self.requested_at + STALL_TIMEOUT_NS) if self.requested else deadline

    def _can_request(self) -> bool:
        return bool(self.wanted) and not self.requested and self.follower.phase == "following"

    def _next_request(self) -> FetchTenants:
        keys = tuple(islice(self.wanted, FETCHED_TENANTS_LIMIT))
        for key in keys:
            del self.wanted[key]
            self.requested[key] = None
        self.requested_at = self.follower.now
        return FetchTenants(keys)

    def _requeue_requested(self) -> None:
        """Request again the keys whose answer will not arrive on this connection, before all other keys."""
        for key in reversed(self.requested):
            self.wanted[key] = None
            self.wanted.move_to_end(key, last=False)
        self.requested = {}

    def _on_tenant_entries(self, answer: TenantEntries) -> None:
        is_current = answer.sequence == self.follower.table.sequence
        for key, value, version in answer.items:
            if key not in self.requested:
                continue
            del self.requested[key]
            if is_current:
                self._cache(key, ABSENT if value is None else LookupResult(value, version, True))
            else:
                self.wanted[key] = None

    def _cache(self, key: str, result: LookupResult) -> None:
        self.tenants[key] = result
        while len(self.tenants) > self.max_tenants:
            self.tenants.popitem(last=False)

    def _on_delta(self, delta: Delta) -> None:
        if delta.evict_tenants:
            self.tenants.clear()
        for key, value, version in delta.items:
            if key in self.tenants:
                self.tenants[key] = ABSENT if value is None else LookupResult(value, version, True)


def is_encodable(key: str) -> bool:
    """Return whether the key can be encoded as UTF-8, and so be sent."""
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True
