"""What goes over a link of the feed, both ways, as msgspec messages in the frames of links/codec.py.

A number counts the changes of the whole feed, 1 the first; 0 is the empty table. A digest tells one state of
a table (feed/table.py). Of what comes from strangers every length is bounded by `config_feed/bounds.py`.
"""

from typing import Annotated, Literal

import msgspec

Kind = Literal["wide", "all"]  # what a follower holds: without the tenants, which are told on demand; or all
Item = tuple[str, bytes | None]  # key and value; None takes the key away
Version = Annotated[int, msgspec.Meta(ge=0)]  # of an entry: the number of the change that set it


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Some entries that count from one moment on, all or none. The version of each is the change's number."""

    number: int
    request: str  # of who asked for it: the same again is the same change
    items: tuple[Item, ...]


class Group(msgspec.Struct, frozen=True, array_like=True):
    """Changes that follow each other, written to the council in one record."""

    epoch: int  # of the lease under which it was written
    changes: tuple[Change, ...]
    before: bytes  # digest of the whole table before the first,
    after: bytes  # and after the last


# ---- from a follower


class Follow(msgspec.Struct, frozen=True, tag="follow"):
    """I hold the state `number` with this digest (of my kind); go on from there."""

    id: str
    kind: Kind
    number: int
    digest: bytes
    level: int = 0  # mine, when I serve others too; who serves takes only followers below its own


class Have(msgspec.Struct, frozen=True, tag="have"):
    """I hold `number` now; `durable`: the number that a restart of mine would find. Asks for the next."""

    number: int
    durable: int = 0


class Want(msgspec.Struct, frozen=True, tag="want"):
    """The part `index` of the snapshot `number`."""

    number: int
    index: int


class AskTenants(msgspec.Struct, frozen=True, tag="tenants"):
    keys: tuple[str, ...]


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """A change to be made. `expected`: versions that these keys must have, 0 for none there."""

    request: str
    items: tuple[Item, ...]
    expected: tuple[tuple[str, int], ...] = ()


class Look(msgspec.Struct, frozen=True, tag="look"):
    """Values of keys as this one holds them; and how it stands."""

    keys: tuple[str, ...] = ()


# ---- from who serves


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """How it goes on: with changes, or `load` with the snapshot `number` in `parts` parts. `epoch`: of who
    writes, as far as known; `holds`: it is the one that writes; else a keeper names that one as `leader`.
    `newest`: where this one stands."""

    number: int
    load: bool
    parts: int
    level: int
    epoch: int
    holds: bool
    leader: str = ""
    newest: int = 0


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """No follower of mine: it is full, not below me, or behind what the follower has."""

    why: str


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """What brings the state `first` to the state `last`: of each key touched between, the newest value and
    its version. `digest`: of the follower's kind, at `last`. Taken whole or not at all. `forget`: more
    tenants were touched than are told here, so those held on demand go with it."""

    first: int
    last: int
    items: tuple[tuple[str, bytes | None, Version], ...]
    digest: bytes
    forget: bool = False


class Part(msgspec.Struct, frozen=True, tag="part"):
    """A part of the snapshot `number`; nothing of it counts before the last, and the digest, are there."""

    number: int
    index: int
    parts: int
    items: tuple[tuple[str, bytes, Version], ...]
    digest: bytes


class Beat(msgspec.Struct, frozen=True, tag="beat"):
    """I live; this is where I stand, with the digest of the follower's kind."""

    number: int
    digest: bytes


class Tenants(msgspec.Struct, frozen=True, tag="told"):
    """Entries on demand, as of `number`; None and 0 for one that is not there."""

    number: int
    items: tuple[tuple[str, bytes | None, int], ...]


class Proposed(msgspec.Struct, frozen=True, tag="proposed"):
    """`number` if it was made and can't be lost; else why not. `leader`: who writes, if not this one.
    `unknown`: it may have been made; the same request again finds out."""

    request: str
    number: int = 0
    why: str = ""
    leader: str = ""
    unknown: bool = False


class Looked(msgspec.Struct, frozen=True, tag="looked"):
    number: int
    digest: bytes
    epoch: int
    phase: str
    holds: bool
    items: tuple[tuple[str, bytes | None, int], ...] = ()
    facts: dict[str, int] = {}


FromFollower = Follow | Have | Want | AskTenants | Propose | Look
FromSource = Welcome | Refused | Delta | Part | Beat | Tenants | Proposed | Looked
encode = msgspec.msgpack.Encoder().encode
decode_follower = msgspec.msgpack.Decoder(FromFollower).decode
decode_source = msgspec.msgpack.Decoder(FromSource).decode
decode_group = msgspec.msgpack.Decoder(Group).decode
