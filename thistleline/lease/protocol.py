"""What clients may ask of the lease cluster, what it answers, and the safety margin between their clocks.

Clocks of different machines are never compared, only durations are, and every clock is assumed to run within
a quarter of true time. The leader counts the full TTL of a lease, by its own clock, from when it last heard
from the holder. The holder may act for three fifths of the TTL, by its own clock, from before it sent
that request. So with the holder's clock a quarter slow and the leader's a quarter fast, the holder has just
stopped in true time (0.6 / 0.75 = 1 / 1.25) when the lease is granted to another.

Messages are encoded by field name; where a field is called something else here, `name=` keeps the encoded
name.
"""

from typing import Literal

import msgspec

HOLDER_TTL_FRACTION = (3, 5)  # (1 - drift) / (1 + drift) for a drift of a quarter
MIN_TTL = 100_000_000  # ns
MAX_TTL = 3600 * 1_000_000_000  # ns
MAX_NAME_LENGTH = 200  # characters
MAX_HOLDER_ID_LENGTH = 100  # characters
MAX_REASON_LENGTH = 200  # characters
MAX_VALUE_SIZE = 256 * 1024  # bytes of a record
MAX_WAITERS = 1024  # for one lease
WAITER_TIMEOUT = 2_000_000_000  # ns by the leader's clock; a silent waiter then loses its place


def holder_ttl(ttl: int) -> int:
    """Return for how many ns a holder may act on a lease of this TTL, counted from before its request."""
    return ttl * HOLDER_TTL_FRACTION[0] // HOLDER_TTL_FRACTION[1]


# ---- decisions: replicated through the log


class Acquire(msgspec.Struct, frozen=True, tag="take"):
    """Acquires a lease, or a place among its waiters.

    `holder_id` is new for each acquisition; the same request again gets the same answer.
    """

    name: str
    holder_id: str = msgspec.field(name="asker")
    ttl: int = msgspec.field(name="length")  # ns
    wait: bool = False
    wall_ms: int = msgspec.field(default=0, name="at")  # of the leader, for people to read


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Gives back a lease, or a place among its waiters."""

    name: str
    holder_id: str = msgspec.field(name="asker")
    reason: str = "released"
    wall_ms: int = msgspec.field(default=0, name="at")


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """Ends a lease whose holder the leader has not heard from for the full TTL.

    It has no effect if the lease was touched since, so that one renewed in the meantime does not end.
    """

    name: str
    epoch: int
    touched_index: int = msgspec.field(name="touched")
    wall_ms: int = msgspec.field(default=0, name="at")


class Break(msgspec.Struct, frozen=True, tag="break"):
    """Ends a lease by an operator's command.

    A holder that is alive may act on for as long as its part of the TTL: only fencing prevents that.
    """

    name: str
    epoch: int
    reason: str
    wall_ms: int = msgspec.field(default=0, name="at")


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Writes a record if it has the given version, 0 for a new one (compare and set).

    Where a lease is named, that lease must also be in the given epoch: a former holder can't write any more.
    """

    key: str
    value: bytes
    version: int
    name: str = ""
    epoch: int = 0
    wall_ms: int = msgspec.field(default=0, name="at")


# ---- questions: answered by the leader, not written to the log


class Renew(msgspec.Struct, frozen=True, tag="keep"):
    """Renews leases and waiters' places: each as (name, holder id)."""

    leases: tuple[tuple[str, str], ...] = msgspec.field(name="names")


class Describe(msgspec.Struct, frozen=True, tag="show"):
    """Asks for one lease, or, with a `*` at the end of the name, for all whose names have that prefix.

    Those come in order of their names, from behind `after`, a limited number at once.
    """

    name: str
    after: str = ""


class Get(msgspec.Struct, frozen=True, tag="get"):
    """Asks for a record."""

    key: str


class GetStatus(msgspec.Struct, frozen=True, tag="status"):
    """Asks the replica that receives this for its own view of the cluster."""


class ChangeReplicas(msgspec.Struct, frozen=True, tag="change"):
    """Adds a replica to the cluster, or removes one."""

    action: Literal["add", "remove"] = msgspec.field(name="what")
    id: str
    address: str = ""


class CreateCluster(msgspec.Struct, frozen=True, tag="form"):
    """Makes a cluster of replicas that belong to none yet."""

    cluster: str = msgspec.field(name="council")
    members: tuple[tuple[str, str], ...]  # id, address


Decision = Acquire | Release | Expire | Break | Put
Question = Renew | Describe | Get
Op = Decision | Question | GetStatus | ChangeReplicas | CreateCluster
DECISIONS = (Acquire, Release, Expire, Break, Put)


# ---- answers


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """The lease is held; `epoch` is its fencing token."""

    epoch: int
    ttl: int = msgspec.field(name="length")  # ns


class Waiting(msgspec.Struct, frozen=True, tag="waiting"):
    """Another holds the lease; `position` waiters are to get it before this one."""

    position: int = msgspec.field(name="place")


class Denied(msgspec.Struct, frozen=True, tag="denied"):
    """The request was decided, and refused."""

    reason: str = msgspec.field(name="why")


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The request took effect; `version` is that of a record which was written."""

    text: str = ""
    version: int = msgspec.field(default=0, name="number")


class Renewed(msgspec.Struct, frozen=True, tag="kept"):
    """The state of each lease that was to be renewed, in the order asked."""

    states: tuple[Granted | Waiting | Denied, ...]


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One change of a lease, for people to read."""

    event: str
    epoch: int
    holder: str
    wall_ms: int
    reason: str


class LeaseInfo(msgspec.Struct, frozen=True, tag="shown"):
    """One lease; an empty holder means that it is free."""

    name: str
    holder: str
    epoch: int
    ttl: int = msgspec.field(name="length")  # ns
    waiters: tuple[str, ...] = msgspec.field(name="line")
    history: tuple[HistoryEntry, ...] = msgspec.field(name="past")


class LeaseList(msgspec.Struct, frozen=True, tag="listed"):
    """The leases that were asked for by prefix."""

    leases: tuple[LeaseInfo, ...] = msgspec.field(name="names")


class Got(msgspec.Struct, frozen=True, tag="got"):
    """A record; version 0 means that there is none."""

    value: bytes
    version: int


class ReplicaStatus(msgspec.Struct, frozen=True, tag="stands"):
    """A replica's own view of the cluster; indexes are those of the replicated log."""

    id: str
    cluster: str = msgspec.field(name="council")
    phase: str
    term: int
    leader: str
    commit_index: int = msgspec.field(name="committed")
    applied_index: int = msgspec.field(name="applied")
    last_index: int = msgspec.field(name="last")
    snapshot_index: int = msgspec.field(name="base")
    members: tuple[tuple[str, str], ...]  # id, address
    leases: int
    failing: bool  # its disk reports errors


class Unavailable(msgspec.Struct, frozen=True, tag="elsewhere"):
    """The request was not decided here, and may or may not take effect.

    `leader` is the id of the replica to ask instead, empty if it is not known.
    """

    reason: str = msgspec.field(name="why")
    leader: str


Answer = (
    Granted | Waiting | Denied | Done | Renewed | LeaseInfo | LeaseList | Got | ReplicaStatus | Unavailable
)
