"""The messages of the config feed, as msgspec structs in the frames of `transport/codec.py`.

A sequence number counts the changes of the whole feed: 1 is the first change, 0 the empty table. A digest
identifies one state of a table (`config_feed/table.py`). Whatever comes from a peer is bounded in length by
`config_feed/limits.py`.

The encoded names of classes and fields are the protocol and never change: where the Python name differs, the
class gives the encoded one by `tag` and `rename`.
"""

from typing import Annotated, Literal

import msgspec

Kind = Literal[
    "wide", "all"
]  # what a follower holds: "wide" is without the tenants, which it fetches on demand
Item = tuple[str, bytes | None]  # key and value; None deletes the key
Version = Annotated[int, msgspec.Meta(ge=0)]  # of an entry: sequence number of the change that set it
ReadItem = tuple[str, bytes | None, int]  # key, value, version; None and 0 for a key that does not exist

# Python names of fields -> their encoded names.
_ENCODED_NAMES = {
    "sequence": "number",
    "request_id": "request",
    "reason": "why",
    "load_snapshot": "load",
    "is_writer": "holds",
    "evict_tenants": "forget",
    "counters": "facts",
}


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Some entries that take effect together or not at all; each gets the change's number as its version."""

    sequence: int
    request_id: str  # idempotency key of the proposal: the same key again is the same change
    items: tuple[Item, ...]


class Group(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive changes that were committed together, in one record of the consensus cluster."""

    epoch: int  # fencing epoch of the lease under which it was written
    changes: tuple[Change, ...]
    digest_before: bytes  # of the whole table before the first change
    digest_after: bytes  # of the whole table after the last change


# ---- from a follower


class Follow(msgspec.Struct, frozen=True, tag="follow", rename=_ENCODED_NAMES):
    """Asks to follow, starting from the state `sequence`, whose digest (of this kind) is `digest`."""

    id: str
    kind: Kind
    sequence: int
    digest: bytes
    level: int = 0  # of a follower that serves others too; a source takes only followers below its own level


class Acknowledge(msgspec.Struct, frozen=True, tag="have", rename=_ENCODED_NAMES):
    """Says that the follower holds `sequence` now, and asks for what follows.

    `durable` is the sequence number that a restart of the follower would find on its disk.
    """

    sequence: int
    durable: int = 0


class FetchPart(msgspec.Struct, frozen=True, tag="want", rename=_ENCODED_NAMES):
    """Asks for the part `index` of the snapshot at `sequence`."""

    sequence: int
    index: int


class FetchTenants(msgspec.Struct, frozen=True, tag="tenants"):
    """Asks for the entries of some tenants."""

    keys: tuple[str, ...]


class Propose(msgspec.Struct, frozen=True, tag="propose", rename=_ENCODED_NAMES):
    """Asks for a change. `expected`: versions that these keys must have, 0 for a key that must not exist."""

    request_id: str
    items: tuple[Item, ...]
    expected: tuple[tuple[str, int], ...] = ()


class ReadRequest(msgspec.Struct, frozen=True, tag="look"):
    """Asks for the values of keys as the server holds them, and for the server's status."""

    keys: tuple[str, ...] = ()


# ---- from a source


class FollowAccepted(msgspec.Struct, frozen=True, tag="welcome", rename=_ENCODED_NAMES):
    """Says how it goes on: with deltas, or with the snapshot at `sequence` in `parts` parts."""

    sequence: int
    load_snapshot: bool
    parts: int
    level: int
    epoch: int  # of the writer's lease, as far as known
    is_writer: bool  # the sender is the writer
    leader: str = ""  # a keeper that is not the writer names the writer here
    newest: int = 0  # sequence number of the sender's own state


class FollowRejected(msgspec.Struct, frozen=True, tag="refused", rename=_ENCODED_NAMES):
    """Rejects a follower: the source is full, not above it, or behind what the follower has."""

    reason: str


class Delta(msgspec.Struct, frozen=True, tag="delta", rename=_ENCODED_NAMES):
    """Leads from the state `first` to the state `last`, and is applied whole or not at all.

    Of each key that was written between, it has the newest value and its version. `digest` is that of the
    follower's kind at `last`. `evict_tenants`: more tenants were written than are listed here, so the
    follower evicts those that it fetched on demand.
    """

    first: int
    last: int
    items: tuple[tuple[str, bytes | None, Version], ...]
    digest: bytes
    evict_tenants: bool = False


class SnapshotPart(msgspec.Struct, frozen=True, tag="part", rename=_ENCODED_NAMES):
    """One part of the snapshot at `sequence`, of which nothing is visible before all parts and the digest."""

    sequence: int
    index: int
    parts: int
    items: tuple[tuple[str, bytes, Version], ...]
    digest: bytes


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", rename=_ENCODED_NAMES):
    """Says that the source lives, its sequence number, and the digest of the follower's kind there."""

    sequence: int
    digest: bytes


class TenantEntries(msgspec.Struct, frozen=True, tag="told", rename=_ENCODED_NAMES):
    """Answers `FetchTenants` as of `sequence`."""

    sequence: int
    items: tuple[ReadItem, ...]


class ProposeResult(msgspec.Struct, frozen=True, tag="proposed", rename=_ENCODED_NAMES):
    """Answers `Propose`: `sequence` if the change is committed, else the reason why not.

    `unknown`: it may be committed; proposing again with the same request id finds out.
    """

    request_id: str
    sequence: int = 0
    reason: str = ""
    leader: str = ""  # the writer, if it is another one
    unknown: bool = False


class ReadResult(msgspec.Struct, frozen=True, tag="looked", rename=_ENCODED_NAMES):
    """Answers `ReadRequest`: the server's state, its status and the values asked for."""

    sequence: int
    digest: bytes
    epoch: int
    phase: str
    is_writer: bool
    items: tuple[ReadItem, ...] = ()
    counters: dict[str, int] = {}


FollowerMessage = Follow | Acknowledge | FetchPart | FetchTenants | Propose | ReadRequest
SourceMessage = (
    FollowAccepted
    | FollowRejected
    | Delta
    | SnapshotPart
    | Heartbeat
    | TenantEntries
    | ProposeResult
    | ReadResult
)
encode = msgspec.msgpack.Encoder().encode
decode_follower = msgspec.msgpack.Decoder(FollowerMessage).decode
decode_source = msgspec.msgpack.Decoder(SourceMessage).decode
decode_group = msgspec.msgpack.Decoder(Group).decode
