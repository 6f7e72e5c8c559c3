"""What is asked of the council and what it answers; the spans that holder and council count in.

Clocks of different machines are never compared, only spans of them. Each is taken to run within a quarter of
true time. A lease of a length stands at the council for all of it by the leader's clock, from when the leader
last heard of its holder; the holder has a right to three fifths, by its own clock, from before it sent. So
with the holder's clock a quarter slow and the leader's a quarter fast the right has just ended in true time
(0.6 / 0.75 = 1 / 1.25) when the lease is given to another.
"""

from typing import Literal

import msgspec

RIGHT_PARTS = (3, 5)  # (1 - drift) / (1 + drift), drift a quarter
LENGTH_LEAST, LENGTH_MOST = 100_000_000, 3600 * 1_000_000_000  # ns
NAME_BOUND, ASKER_BOUND, REASON_BOUND, VALUE_BOUND = 200, 100, 200, 256 * 1024
LINE_BOUND = 1024  # that wait for one name
WAITER_SPAN = 2_000_000_000  # ns by the leader's clock; a waiter not heard for so long loses its place


def right(length: int) -> int:
    """How long a holder may act on a lease of that length, by its own clock from before its request."""
    return length * RIGHT_PARTS[0] // RIGHT_PARTS[1]


class Take(msgspec.Struct, frozen=True, tag="take"):
    """`asker` names one wish: a new one is made for each. The same again gets the same answer."""

    name: str
    asker: str
    length: int  # ns
    wait: bool = False
    at: int = 0  # wall ms of the leader, for people


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Gives a lease back, or a place in the line."""

    name: str
    asker: str
    reason: str = "released"
    at: int = 0


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """The leader has not heard of the holder for the whole length. Without effect if the lease was touched
    since; guards against one that was asked for again meanwhile."""

    name: str
    epoch: int
    touched: int
    at: int = 0


class Break(msgspec.Struct, frozen=True, tag="break"):
    """By hand. The holder, should it live, acts on for up to its right: only a fence keeps it off."""

    name: str
    epoch: int
    reason: str
    at: int = 0


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Writes a record if it has this version (0: there is none), and, where a lease is named, if that one
    stands in this epoch: an older holder writes no more."""

    key: str
    value: bytes
    version: int
    name: str = ""
    epoch: int = 0
    at: int = 0


class Keep(msgspec.Struct, frozen=True, tag="keep"):
    """Still here: of each (name, asker) whether it holds, waits or neither. Not written to the log."""

    names: tuple[tuple[str, str], ...]


class Show(msgspec.Struct, frozen=True, tag="show"):
    """One name; or with a `*` at its end those that begin so, in order, after `after`, 1,000 at most."""

    name: str
    after: str = ""


class Get(msgspec.Struct, frozen=True, tag="get"):
    key: str


class Status(msgspec.Struct, frozen=True, tag="status"):
    """Of the voter that is asked, as it sees it."""


class Change(msgspec.Struct, frozen=True, tag="change"):
    what: Literal["add", "remove"]
    id: str
    address: str = ""


class Form(msgspec.Struct, frozen=True, tag="form"):
    council: str
    members: tuple[tuple[str, str], ...]  # id, address


Decision = Take | Release | Expire | Break | Put
Question = Keep | Show | Get
Op = Decision | Question | Status | Change | Form
DECISIONS = (Take, Release, Expire, Break, Put)


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    epoch: int
    length: int


class Waiting(msgspec.Struct, frozen=True, tag="waiting"):
    place: int  # 0: the next


class Denied(msgspec.Struct, frozen=True, tag="denied"):
    why: str


class Done(msgspec.Struct, frozen=True, tag="done"):
    text: str = ""
    number: int = 0


class Kept(msgspec.Struct, frozen=True, tag="kept"):
    """In the order asked."""

    states: tuple[Granted | Waiting | Denied, ...]


class Past(msgspec.Struct, frozen=True, array_like=True):
    """One change of a name."""

    what: str
    epoch: int
    holder: str
    at: int
    reason: str


class Shown(msgspec.Struct, frozen=True, tag="shown"):
    name: str
    holder: str
    epoch: int
    length: int
    line: tuple[str, ...]
    past: tuple[Past, ...]


class Listed(msgspec.Struct, frozen=True, tag="listed"):
    names: tuple[Shown, ...]


class Got(msgspec.Struct, frozen=True, tag="got"):
    value: bytes
    version: int


class Stands(msgspec.Struct, frozen=True, tag="stands"):
    id: str
    council: str
    phase: str
    term: int
    leader: str
    committed: int
    applied: int
    last: int
    base: int
    members: tuple[tuple[str, str], ...]
    leases: int
    failing: bool


class Elsewhere(msgspec.Struct, frozen=True, tag="elsewhere"):
    """Not decided here; nothing is known of what becomes of it. `leader`: the id of who may."""

    why: str
    leader: str


Answer = Granted | Waiting | Denied | Done | Kept | Shown | Listed | Got | Stands | Elsewhere
