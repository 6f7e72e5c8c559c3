"""What voters say to each other, and what a decision is made of. Frozen, so that they can be compared."""

from typing import Literal

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log. `kind` tells what `data` is: a decision for the machine, nothing (each leader
    begins so), or the members as `members_data` has them."""

    term: int
    kind: Literal["decision", "nothing", "members"]
    data: bytes


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A voter. Its id names one disk: who lost it comes back under another one."""

    id: str
    address: str


Members = tuple[Member, ...]


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Asks for a vote in `term`; `trial`: whether one would be given, and nothing is changed by it."""

    term: int
    last_index: int
    last_term: int
    trial: bool


class Vote(msgspec.Struct, frozen=True, tag="vote"):
    term: int  # of the voter
    asked: int  # the term that was asked for
    trial: bool
    given: bool


class Append(msgspec.Struct, frozen=True, tag="append"):
    """The leader's word that it leads, with what follows `prior`. A majority confirms each `round`."""

    term: int
    prior: int
    prior_term: int
    entries: tuple[Entry, ...]
    committed: int
    round: int


class Install(msgspec.Struct, frozen=True, tag="install"):
    """The whole state up to `index`, for one whose log ends before what the leader still has."""

    term: int
    council: str
    index: int
    index_term: int
    members: Members
    state: bytes
    round: int


class Appended(msgspec.Struct, frozen=True, tag="appended"):
    """`good`: the log agrees up to `index`, and is durable there; else it may from `index` down, and below 0
    the voter has nothing at all."""

    term: int
    good: bool
    index: int
    round: int


Message = Ask | Vote | Append | Install | Appended

_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Members).decode


def members_data(members: Members) -> bytes:
    return _encode(members)


def members_of(data: bytes) -> Members:
    return _decode(data)


# ---- what is written down, in the order of its writing


class Base(msgspec.Struct, frozen=True, tag="base"):
    """Begins a segment: all that came before it is in here, or gone."""

    id: str
    council: str
    term: int
    vote: str
    index: int
    index_term: int
    members: Members
    state: bytes


class Ballot(msgspec.Struct, frozen=True, tag="ballot"):
    term: int
    vote: str


class Tail(msgspec.Struct, frozen=True, tag="tail"):
    """The log from `first` on; what was there goes."""

    first: int
    entries: tuple[Entry, ...]


Record = Base | Ballot | Tail
