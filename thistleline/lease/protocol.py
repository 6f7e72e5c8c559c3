"""Requests to the lease cluster, its answers, and the safety margin between the clocks of both sides.

Only durations are compared, never the clocks of different machines, and the rate of every clock is assumed
to be within a quarter of true time. The leader counts the full TTL of a lease, by its own clock, from the
receipt of the holder's last request. The holder may act for three fifths of the TTL, by its own clock, from
before it sent that request. So even with the holder's clock a quarter slow and the leader's a quarter fast,
the holder's time ends, in true time, no later than the lease may be granted to another
(0.6 / 0.75 = 1 / 1.25).

Messages are encoded by field name; `name=` gives the encoded name where it differs from the attribute.
"""

from typing import Literal

import msgspec

HOLDER_TTL_FRACTION = (3, 5)  # (1 - drift) / (1 + drift) for a clock drift of a quarter
MIN_TTL = 100_000_000  # ns
MAX_TTL = 3600 * 1_000_000_000  # ns
MAX_NAME_LENGTH = 200  # characters
MAX_HOLDER_ID_LENGTH = 100  # characters
MAX_REASON_LENGTH = 200  # characters
MAX_VALUE_SIZE = 256 * 1024  # bytes of one record's value
MAX_WAITERS = 1024  # clients that wait for one lease
WAITER_TIMEOUT = (
    2_000_000_000  # ns by the leader's clock; a waiter that sends nothing for so long loses its place
)


def holder_ttl(ttl: int) -> int:
    """Return for how long a holder may act on a lease with this TTL, ns, from before it sent its request."""
    return ttl * HOLDER_TTL_FRACTION[0] // HOLDER_TTL_FRACTION[1]


# ---- requests that change the state (decisions): replicated through the log


class Acquire(msgspec.Struct, frozen=True, tag="take"):
    """Acquires a lease, or a place in the queue of its waiters.

    `holder_id` is new for each acquisition, which makes the request idempotent.
    """

    name: str
    holder_id: str = msgspec.field(name="asker")
    ttl: int = msgspec.field(name="length")  # ns
    wait: bool = False
    wall_ms: int = msgspec.field(default=0, name="at")  # wall clock of the leader, shown to people only


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Releases a lease, or leaves the queue of its waiters."""

    name: str
    holder_id: str = msgspec.field(name="asker")
    reason: str = "released"
    wall_ms: int = msgspec.field(default=0, name="at")


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """Ends a lease whose holder sent nothing to the leader for the full TTL.

    It has no effect if the touched index of the lease has changed: the lease was requested again in the
    meantime and must not end.
    """

    name: str
    epoch: int
    touched_index: int = msgspec.field(name="touched")
    wall_ms: int = msgspec.field(default=0, name="at")


class Break(msgspec.Struct, frozen=True, tag="break"):
    """Ends a lease by an operator's command.

    A holder that is alive may continue to act until its part of the TTL ends: only fencing prevents that.
    """

    name: str
    epoch: int
    reason: str
    wall_ms: int = msgspec.field(default=0, name="at")


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Writes a record if it has the given version, 0 for a new one (compare and set).

    If `name` is set, the lease of that name must also be held in the given epoch: this rejects writes of a
    former holder.
    """

    key: str
    value: bytes
    version: int
    name: str = ""
    epoch: int = 0
    wall_ms: int = msgspec.field(default=0, name="at")


# ---- other requests (questions): answered by the leader or the receiver, not written to the log as decisions


class Renew(msgspec.Struct, frozen=True, tag="keep"):
    """Renews leases and places in the queue, each given as (name, holder id)."""

    leases: tuple[tuple[str, str], ...] = msgspec.field(name="names")


class Describe(msgspec.Struct, frozen=True, tag="show"):
    """Asks for one lease, or for all leases with a name prefix if the name ends in `*`.

    Leases of a prefix are returned in order of their names, starting after `after`, a limited number at once.
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
    """Forms a cluster of replicas that do not belong to one yet."""

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
    """Another holder has the lease; `position` waiters are ahead of this one."""

    position: int = msgspec.field(name="place")


class Denied(msgspec.Struct, frozen=True, tag="denied"):
    """The request was decided and refused."""

    reason: str = msgspec.field(name="why")


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The request took effect; `version` is the new version of a written record."""

    text: str = ""
    version: int = msgspec.field(default=0, name="number")


class Renewed(msgspec.Struct, frozen=True, tag="kept"):
    """The state of each lease in a `Renew` request, in the same order."""

    states: tuple[Granted | Waiting | Denied, ...]


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One change of a lease, shown to people."""

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
    """The leases whose names have the requested prefix."""

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
    """The request was not decided by this replica; it may or may not take effect.

    `leader` is the id of the leader if it is known, else empty.
    """

    reason: str = msgspec.field(name="why")
    leader: str


Answer = (
    Granted | Waiting | Denied | Done | Renewed | LeaseInfo | LeaseList | Got | ReplicaStatus | Unavailable
)
