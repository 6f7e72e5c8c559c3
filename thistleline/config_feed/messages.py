"""The messages of the config feed: msgspec structs in the frames of `transport/codec.py`.

A sequence number counts the changes of the whole feed: 1 is the first change, 0 the empty table. A digest
identifies one state of a table (`config_feed/table.py`). The limits in `config_feed/limits.py` bound the size
of everything that a peer sends.

A keeper is a replica of the feed. The writer is the keeper that holds the lease and commits changes. A relay
passes the feed on. Followers are the other keepers, the relays, and the instances, which are the processes
that use the configuration. The source of a follower is the keeper or relay that it is connected to. The kind
of a follower says which sections of the table it holds.

The encoded names of classes and fields are the protocol and never change. If the Python name differs, the
class specifies the encoded one by `tag` and `rename`.
"""

from typing import Annotated, Literal

import msgspec

Kind = Literal["wide", "all"]  # sections that a follower holds; "wide" excludes tenants, fetched on demand
Item = tuple[str, bytes | None]  # key and value; None deletes the key
Version = Annotated[int, msgspec.Meta(ge=0)]  # sequence number of the change that set an entry
ReadItem = tuple[str, bytes | None, int]  # key, value, version; None and 0 for a key that does not exist

# Encoded names of fields by their Python names.
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
    """Entries that take effect atomically; the version of each is the change's sequence number."""

    sequence: int
    request_id: str  # idempotency key of the proposal: a repeated key denotes the same change
    items: tuple[Item, ...]


class Group(msgspec.Struct, frozen=True, array_like=True):
    """A group: consecutive changes that are committed together, in one record of the consensus cluster."""

    epoch: int  # fencing epoch of the lease under which the group was written
    changes: tuple[Change, ...]
    digest_before: bytes  # of the whole table before the first change
    digest_after: bytes  # of the whole table after the last change


# ---- messages from a follower


class Follow(msgspec.Struct, frozen=True, tag="follow", rename=_ENCODED_NAMES):
    """Asks to follow as a follower of this kind, which holds the state with this sequence and digest."""

    id: str
    kind: Kind
    sequence: int
    digest: bytes
    level: int = 0  # distance from the keepers; for a follower with followers, greater than the source's


class Acknowledge(msgspec.Struct, frozen=True, tag="have", rename=_ENCODED_NAMES):
    """Reports that the follower has reached `sequence`, and asks for the changes after it.

    `durable` is the sequence number that the follower would recover from its disk after a restart.
    """

    sequence: int
    durable: int = 0


class FetchPart(msgspec.Struct, frozen=True, tag="want", rename=_ENCODED_NAMES):
    """Asks for the part `index` of the snapshot at `sequence`."""

    sequence: int
    index: int


class FetchTenants(msgspec.Struct, frozen=True, tag="tenants"):
    """Asks for the entries of these tenants."""

    keys: tuple[str, ...]


class Propose(msgspec.Struct, frozen=True, tag="propose", rename=_ENCODED_NAMES):
    """Proposes a change. `expected`: versions that keys must have; 0 for a key that must not exist."""

    request_id: str
    items: tuple[Item, ...]
    expected: tuple[tuple[str, int], ...] = ()


class ReadRequest(msgspec.Struct, frozen=True, tag="look"):
    """Asks a keeper or relay for its status and for its values of these keys."""

    keys: tuple[str, ...] = ()


# ---- messages from a source


class FollowAccepted(msgspec.Struct, frozen=True, tag="welcome", rename=_ENCODED_NAMES):
    """Accepts a follower: deltas follow, or the snapshot at `sequence` in `parts` parts (0 if unknown)."""

    sequence: int
    load_snapshot: bool
    parts: int
    level: int
    epoch: int  # newest epoch of the writer's lease that the sender knows
    is_writer: bool  # the sender is the writer
    leader: str = ""  # id of the keeper (replica) that writes the feed, if the sender is another keeper
    newest: int = 0  # sequence number of the sender's own state


class FollowRejected(msgspec.Struct, frozen=True, tag="refused", rename=_ENCODED_NAMES):
    """Rejects a follower: the source is full, no closer to the keepers, or its state is older."""

    reason: str


class Delta(msgspec.Struct, frozen=True, tag="delta", rename=_ENCODED_NAMES):
    """Transforms the state `first` into the state `last`; applied atomically.

    It contains the newest value and version of each key that was written between the two states. `digest` is
    the digest, at the state `last`, of those sections of the table that followers of this kind hold.
    `evict_tenants`: more tenants were written than are listed here, so the follower evicts the tenants that
    it fetched on demand.
    """

    first: int
    last: int
    items: tuple[tuple[str, bytes | None, Version], ...]
    digest: bytes
    evict_tenants: bool = False


class SnapshotPart(msgspec.Struct, frozen=True, tag="part", rename=_ENCODED_NAMES):
    """One part of the snapshot at `sequence`; not visible before all parts and the digest are checked."""

    sequence: int
    index: int
    parts: int
    items: tuple[tuple[str, bytes, Version], ...]
    digest: bytes


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", rename=_ENCODED_NAMES):
    """Shows that the source is alive.

    It has the sequence number of the source's state, and the digest of those sections of that state that a
    follower of this kind holds.
    """

    sequence: int
    digest: bytes


class TenantEntries(msgspec.Struct, frozen=True, tag="told", rename=_ENCODED_NAMES):
    """Answers `FetchTenants` with the entries at `sequence`."""

    sequence: int
    items: tuple[ReadItem, ...]


class ProposeResult(msgspec.Struct, frozen=True, tag="proposed", rename=_ENCODED_NAMES):
    """Answers `Propose`: the `sequence` of the committed change, or the reason why it was not committed.

    `unknown`: the change may be committed; a proposal with the same request id determines whether it is.
    """

    request_id: str
    sequence: int = 0
    reason: str = ""
    leader: str = ""  # id of the keeper (replica) that currently writes the feed, if it is not the sender
    unknown: bool = False


class ReadResult(msgspec.Struct, frozen=True, tag="looked", rename=_ENCODED_NAMES):
    """Answers `ReadRequest`: the server's state, its status and the requested values."""

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
