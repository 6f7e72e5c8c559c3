"""An instance's view of the configuration: look-ups that never wait. No I/O, no clock.

Inputs and effects are those of its Follower (feed/follower.py), and (send name FetchTenants). All sections
but the tenants' are the follower's table; of the tenants those that were looked up are held, at most
`bound`, the least lately used go first. What is held counts at the table's number, always: a Delta is
applied to both in one input, and an answer of another number is dropped and asked anew. So nobody sees half
of a change, nor an older value after a newer one; a tenant that is not known yet, or no more, is said to be
so.
"""

from collections import OrderedDict
from itertools import islice
from typing import Any, NamedTuple

from thistleline.config_feed.follower import Follower
from thistleline.config_feed.limits import (
    FETCHED_TENANTS_LIMIT,
    KEY_LENGTH_LIMIT,
    STALL_TIMEOUT_NS,
    TENANT_CACHE_LIMIT,
)
from thistleline.config_feed.messages import Delta, FetchTenants, TenantEntries
from thistleline.config_feed.table import TENANT_PREFIX


class Found(NamedTuple):
    value: bytes | None  # None: not there
    version: int  # the number of the change that set it, 0 for what is not there
    known: bool  # else it is asked for; till then the caller goes by the common share, `common/tenant`


ABSENT, UNKNOWN = Found(None, 0, True), Found(None, 0, False)


class Lookups:
    __slots__ = ("asked", "asked_at", "bound", "follower", "tenants", "wanted")

    def __init__(self, follower: Follower, bound: int = TENANT_CACHE_LIMIT) -> None:
        """`follower`: of the kind "wide", and told of nothing but through this."""
        self.follower, self.bound = follower, bound
        self.tenants: OrderedDict[str, Found] = OrderedDict()  # the least lately used first
        self.wanted: OrderedDict[str, None] = OrderedDict()  # looked up, not asked for yet
        self.asked: dict[str, None] = {}  # on this link, not answered yet
        self.asked_at = 0

    def copy(self) -> "Lookups":
        made = Lookups(self.follower.copy(), self.bound)
        made.tenants, made.wanted, made.asked = self.tenants.copy(), self.wanted.copy(), self.asked.copy()
        made.asked_at = self.asked_at
        return made

    def frozen(self) -> tuple[Any, ...]:
        return (
            self.follower.frozen(),
            *(tuple(self.tenants.items()), tuple(self.wanted), tuple(self.asked)),
            self.asked_at - self.follower.now if self.asked else 0,
        )

    # ---- for whoever serves by it

    def look(self, key: str) -> Found:
        """Costs the same whatever is held. After a first look at a tenant `due` is now: it is asked for."""
        if not key.startswith(TENANT_PREFIX):
            entry = self.follower.table.wide.get(key)
            if entry is None:
                return ABSENT if self.follower.table.sequence else UNKNOWN
            return Found(*entry, True)
        found = self.tenants.get(key)
        if found is not None:
            self.tenants.move_to_end(key)
            return found
        if len(key) > KEY_LENGTH_LIMIT or not written(key):
            return ABSENT  # no change can have set it
        if key not in self.asked and len(self.wanted) < self.bound:
            self.wanted[key] = None
        return UNKNOWN

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        follower = self.follower
        effects = follower.take(now, kind, *told)
        if kind == "heard" and isinstance(told[1], TenantEntries) and told[0] == follower.at:
            self._told(told[1])
        for name, *rest in effects:
            if name == "took":
                self._took(rest[0])
            elif name == "loaded":
                self.tenants.clear()  # what changed between is not known
        if follower.phase not in ("loading", "following") or follower.now >= self.asked_at + STALL_TIMEOUT_NS:
            self._again()
        if self._asks():
            asked = tuple(islice(self.wanted, FETCHED_TENANTS_LIMIT))
            for key in asked:
                del self.wanted[key]
                self.asked[key] = None
            self.asked_at = follower.now
            effects.append(("send", follower.at, FetchTenants(asked)))
        return effects

    def due(self) -> int:
        if self._asks():
            return self.follower.now
        return (
            min(self.follower.due(), self.asked_at + STALL_TIMEOUT_NS) if self.asked else self.follower.due()
        )

    def _asks(self) -> bool:
        return bool(self.wanted) and not self.asked and self.follower.phase == "following"

    def _again(self) -> None:
        """No answer will come to what was asked."""
        for key in reversed(self.asked):
            self.wanted[key] = None
            self.wanted.move_to_end(key, last=False)
        self.asked = {}

    def _told(self, told: TenantEntries) -> None:
        current = told.sequence == self.follower.table.sequence
        for key, value, version in told.items:
            if key not in self.asked:
                continue
            del self.asked[key]
            if current:
                self._hold(key, ABSENT if value is None else Found(value, version, True))
            else:
                self.wanted[key] = None

    def _hold(self, key: str, found: Found) -> None:
        self.tenants[key] = found
        while len(self.tenants) > self.bound:
            self.tenants.popitem(last=False)

    def _took(self, delta: Delta) -> None:
        if delta.evict_tenants:
            self.tenants.clear()
        for key, value, version in delta.items:
            if key in self.tenants:
                self.tenants[key] = ABSENT if value is None else Found(value, version, True)


def written(key: str) -> bool:
    """Whether it can go over a link."""
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True
