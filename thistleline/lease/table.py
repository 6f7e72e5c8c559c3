"""The leases as the council's decisions make them: the same at every voter. No I/O, no clock, no chance."""

from typing import Any

import msgspec

from thistleline.lease.protocol import (
    ASKER_BOUND,
    DECISIONS,
    LENGTH_LEAST,
    LENGTH_MOST,
    LINE_BOUND,
    NAME_BOUND,
    REASON_BOUND,
    VALUE_BOUND,
    Answer,
    Break,
    Decision,
    Denied,
    Done,
    Expire,
    Got,
    Granted,
    Past,
    Put,
    Release,
    Shown,
    Take,
    Waiting,
)

NAMES_BOUND, WAITING_BOUND = 20_000, 50_000
RECORDS_BOUND, RECORDS_SIZE = 10_000, 4 << 20  # bytes of their values together
OVER_BOUND = 4096  # askers that gave back, remembered lest a late copy of their wish is granted
FORGOTTEN_BOUND = 1024  # names without a holder whose past is kept
PAST_BOUND = 8

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Decision).decode


def data_of(decision: Decision) -> bytes:
    return _encode(decision)


class Lease(msgspec.Struct):
    holder: str
    epoch: int
    length: int
    touched: int  # index of the decision that granted it or heard its holder ask again
    line: list[tuple[str, int]]  # askers and the lengths they want
    past: list[Past]


class State(msgspec.Struct):
    epoch: int
    leases: dict[str, Lease]
    over: dict[str, None]
    forgotten: dict[str, list[Past]]
    records: dict[str, tuple[bytes, int]]
    waiting: int = 0  # in all lines
    size: int = 0  # bytes of all records


_state = msgspec.msgpack.Decoder(State).decode


class Table:
    __slots__ = ("changed", "state")

    def __init__(self) -> None:
        self.state = State(0, {}, {}, {}, {})
        self.changed: dict[str, None] = {}  # names that were decided on since somebody looked

    # ---- the council's machine

    def apply(self, index: int, data: bytes) -> Answer:
        decision = _decode(data)
        if isinstance(decision, Put):
            return self._put(decision)
        self.changed[decision.name] = None
        if isinstance(decision, Take):
            return self._take(index, decision)
        if isinstance(decision, Release):
            return self._release(index, decision)
        if isinstance(decision, Expire):
            return self._expire(index, decision)
        return self._break(index, decision)

    def snapshot(self) -> bytes:
        return _encode(self.state)

    def restore(self, state: bytes) -> None:
        self.state = _state(state)
        self.changed = dict.fromkeys(self.state.leases)

    def copy(self) -> "Table":
        made, state = Table(), self.state
        leases = {
            name: Lease(one.holder, one.epoch, one.length, one.touched, list(one.line), list(one.past))
            for name, one in state.leases.items()
        }
        rest = (dict(state.forgotten), dict(state.records), state.waiting, state.size)
        made.state = State(state.epoch, leases, dict(state.over), *rest)
        made.changed = dict(self.changed)
        return made

    def state_key(self) -> Any:
        state = self.state
        leases = tuple(
            (name, one.holder, one.epoch, one.length, one.touched, tuple(one.line))
            for name, one in sorted(state.leases.items())
        )
        return state.epoch, leases, tuple(state.over), tuple(self.changed), tuple(state.records.items())

    # ---- decisions

    def _take(self, index: int, take: Take) -> Answer:
        state, lease = self.state, self.state.leases.get(take.name)
        if take.asker in state.over:
            return Denied("it was given back")
        if lease is None:
            if len(state.leases) >= NAMES_BOUND:
                return Denied("there are too many names")
            past = state.forgotten.pop(take.name, [])
            lease = state.leases[take.name] = Lease("", 0, 0, index, [], past)
            return self._grant(index, take.name, lease, take.asker, take.length, take.at, "it was free")
        if lease.holder == take.asker:
            lease.touched = index
            return Granted(lease.epoch, lease.length)
        askers = [asker for asker, _ in lease.line]
        if take.asker in askers:
            return Waiting(askers.index(take.asker))
        if not take.wait:
            return Denied(f"{lease.holder} holds it")
        if len(askers) >= LINE_BOUND or state.waiting >= WAITING_BOUND:
            return Denied("too many wait")
        state.waiting += 1
        lease.line.append((take.asker, take.length))
        return Waiting(len(askers))

    def _grant(
        self, index: int, name: str, lease: Lease, asker: str, length: int, at: int, reason: str
    ) -> Granted:
        # One number for all names: guards against a name that is forgotten and made anew beginning again.
        self.state.epoch += 1
        lease.holder, lease.epoch, lease.length, lease.touched = asker, self.state.epoch, length, index
        self._note(lease, "granted", at, reason)
        return Granted(lease.epoch, length)

    def _note(self, lease: Lease, what: str, at: int, reason: str) -> None:
        lease.past.append(Past(what, lease.epoch, lease.holder, at, reason))
        del lease.past[:-PAST_BOUND]

    def _next(self, index: int, name: str, lease: Lease, what: str, at: int, reason: str) -> None:
        """Who holds it holds it no more; the first in the line does."""
        self._note(lease, what, at, reason)
        self._over(lease.holder)
        if lease.line:
            asker, length = lease.line.pop(0)
            self.state.waiting -= 1
            self._grant(index, name, lease, asker, length, at, f"{what}: {reason}")
            return
        del self.state.leases[name]
        forgotten = self.state.forgotten
        forgotten[name] = lease.past
        while len(forgotten) > FORGOTTEN_BOUND:
            del forgotten[next(iter(forgotten))]

    def _over(self, asker: str) -> None:
        over = self.state.over
        over[asker] = None
        while len(over) > OVER_BOUND:
            del over[next(iter(over))]

    def _release(self, index: int, release: Release) -> Answer:
        lease = self.state.leases.get(release.name)
        if lease is not None and lease.holder == release.asker:
            self._next(index, release.name, lease, "released", release.at, release.reason)
            return Done("released")
        self._over(release.asker)
        if lease is not None:
            left = [one for one in lease.line if one[0] != release.asker]
            self.state.waiting -= len(lease.line) - len(left)
            lease.line = left
        return Done("not held")

    def _expire(self, index: int, expire: Expire) -> Answer:
        lease = self.state.leases.get(expire.name)
        if lease is None or (lease.epoch, lease.touched) != (expire.epoch, expire.touched):
            return Denied("it was touched since")
        self._next(index, expire.name, lease, "expired", expire.at, "not heard for its length")
        return Done("expired")

    def _break(self, index: int, told: Break) -> Answer:
        lease = self.state.leases.get(told.name)
        if lease is None or lease.epoch != told.epoch:
            return Denied("it is not held in that epoch")
        self._next(index, told.name, lease, "broken", told.at, told.reason)
        return Done("broken")

    def _put(self, put: Put) -> Answer:
        records = self.state.records
        version = records[put.key][1] if put.key in records else 0
        if put.name:
            lease = self.state.leases.get(put.name)
            if lease is None or lease.epoch != put.epoch:
                return Denied("the lease stands in another epoch")
        if version != put.version:
            return Denied(f"it has version {version}")
        if put.key not in records and len(records) >= RECORDS_BOUND:
            return Denied("there are too many records")
        more = len(put.value) - len(records.get(put.key, (b"", 0))[0])
        if self.state.size + more > RECORDS_SIZE:
            return Denied("the records are too large together")
        self.state.size += more
        records[put.key] = put.value, version + 1
        return Done("written", version + 1)

    # ---- questions

    def stands(self, name: str, asker: str) -> Granted | Waiting | Denied:
        lease = self.state.leases.get(name)
        if lease is not None and lease.holder == asker:
            return Granted(lease.epoch, lease.length)
        for place, (waiting, _) in enumerate(lease.line if lease is not None else ()):
            if waiting == asker:
                return Waiting(place)
        return Denied("neither held nor waited for")

    def show(self, name: str) -> Shown:
        lease = self.state.leases.get(name)
        if lease is None:
            return Shown(name, "", 0, 0, (), tuple(self.state.forgotten.get(name, ())))
        line = tuple(asker for asker, _ in lease.line)
        return Shown(name, lease.holder, lease.epoch, lease.length, line, tuple(lease.past))

    def get(self, key: str) -> Got:
        return Got(*self.state.records.get(key, (b"", 0)))


def fault(decision: Decision) -> str:
    """What is wrong with a stranger's wish; nothing if it may go to the log."""
    if not isinstance(decision, DECISIONS) or isinstance(decision, Expire):
        return "that is for the leader alone"
    if isinstance(decision, Put):
        return (
            "" if 0 < len(decision.key) <= NAME_BOUND and len(decision.value) <= VALUE_BOUND else "too long"
        )
    if not 0 < len(decision.name) <= NAME_BOUND or not decision.name.isprintable() or "*" in decision.name:
        return f"a name has 1 to {NAME_BOUND} printable characters and no '*'"
    if isinstance(decision, Take | Release) and not 0 < len(decision.asker) <= ASKER_BOUND:
        return f"an asker has 1 to {ASKER_BOUND} characters"
    if isinstance(decision, Take) and not LENGTH_LEAST <= decision.length <= LENGTH_MOST:
        return "a lease is 0.1 s to an hour long"
    if isinstance(decision, Release | Break) and len(decision.reason) > REASON_BOUND:
        return f"a reason has {REASON_BOUND} characters at most"
    return ""
