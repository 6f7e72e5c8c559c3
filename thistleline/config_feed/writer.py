"""The writer's side: what may be numbered, when it counts, and how one takes over. No I/O, no clock.

Inputs:  held epoch | lost why | got slot value version | put_done slot version | put_denied slot why |
         put_unknown slot | durable keeper number | caught_up | proposed ticket Propose | elapsed
Effects: (get slot key)  (put slot Put)  (answer ticket ProposeResult)  (moved)  (follow)  (release why)
         (log event facts)

`put_done` tells the version that was written. `caught_up` says that `history` was moved by following
another keeper; it is judged here whether that was far enough, so it may be told as often as it moves.
`durable` counts as told last, so that a keeper which lost its disk counts for nothing until it has all again.

An answer may come late, twice or never. What decides is the record: it is written only in the version it was
read in, and only in the epoch of the lease, so that a late answer costs a read and nothing else. Whoever
can't be told for certain is told `unknown`.
"""

from collections import deque
from itertools import pairwise
from typing import Any, Literal, NamedTuple

import msgspec

from thistleline.config_feed.history import History, Items
from thistleline.config_feed.limits import (
    DEDUPLICATION_SLOTS,
    GROUP_SIZE_LIMIT,
    MS,
    PENDING_PROPOSALS_LIMIT,
    REQUEST_ID_LENGTH_LIMIT,
    RING_SLOTS,
    SECOND,
    STALL_TIMEOUT_NS,
)
from thistleline.config_feed.messages import Change, Group, Propose, ProposeResult, decode_group, encode
from thistleline.config_feed.table import REQUEST_PREFIX, FeedTable
from thistleline.config_feed.validation import find_faults
from thistleline.lease.protocol import Put

LEASE = "feed"
Phase = Literal["standby", "reading", "catching_up", "settling", "writing"]
ASK_AGAIN = SECOND  # after which a read that had no answer is asked anew
ANSWER_SPAN = 5 * SECOND  # after which a Put that had no answer is settled by reading
PAUSE = 100 * MS  # before the next try of a Put that had none
CATCH_UP_SPAN = 30 * SECOND  # without coming nearer; then another keeper may try
LINE_SIZE = 8 << 20  # bytes of the changes that wait
GROUP_COST = 128  # bytes of a group beside its changes
FAR = 1 << 62


def key_of(slot: int) -> str:
    return f"{LEASE}/{slot}"


def made_key(number: int) -> str:
    """Where the request of that change is kept."""
    return f"{REQUEST_PREFIX}{number % DEDUPLICATION_SLOTS}"


class Waiting(NamedTuple):
    """A change in the line. `table`: the state with all up to it."""

    change: Change
    table: FeedTable
    size: int


class Writer:
    __slots__ = (
        *("id", "history", "keepers", "now", "phase", "epoch", "effects", "durable", "requests", "strays"),
        *("line", "ahead", "tickets", "asked", "out", "put", "slot", "tries", "denied"),
        *("versions", "lasts", "read", "chain", "ask_at", "stop_at", "nearest", "groups", "refused"),
        "line_size",
    )

    def __init__(self, id: str, history: History, keepers: tuple[str, ...], now: int) -> None:
        """`keepers`: ids of all of them, this one's too. `history` is shared with who serves and follows."""
        self.id, self.history, self.keepers, self.now = id, history, keepers, now
        self.phase: Phase = "standby"
        self.epoch = 0
        self.effects: list[tuple[Any, ...]] = []
        self.durable: dict[str, int] = {}
        self.requests: dict[str, int] = {}  # numbers of those that are made, the newest of them
        self.strays: dict[tuple[int, int], None] = {}  # slot, version of Puts of earlier holds, never settled
        self.line: deque[Waiting] = deque()
        self.ahead = history.table  # with what is out and what waits
        self.tickets: dict[str, tuple[Any, ...]] = {}  # of each request that is out or waits
        self.asked = 0  # tickets in all
        self.line_size = 0  # bytes of the line
        self.out: tuple[Waiting, ...] = ()
        self.put: Put | None = None
        self.slot = 0  # of the next group, or of the one that is out
        self.tries = 0
        self.denied = ""
        self.versions, self.lasts = [0] * RING_SLOTS, [0] * RING_SLOTS
        self.read: dict[int, tuple[bytes, int]] = {}
        self.chain: tuple[Group, ...] = ()
        self.ask_at = FAR
        self.stop_at = FAR  # when waiting for the keepers' disks turns into refusing
        self.nearest = 0  # number reached in catching up
        self.groups = self.refused = 0

    def copy(self, history: History | None = None) -> "Writer":
        """For exploration; `history`: the copy that it shares with others, else one of its own is made."""
        made = Writer.__new__(Writer)
        for name in self.__slots__:
            setattr(made, name, getattr(self, name))
        made.history = history or self.history.copy()
        made.effects, made.line = [], self.line.copy()
        made.durable, made.requests, made.strays = dict(self.durable), dict(self.requests), dict(self.strays)
        made.tickets, made.read = dict(self.tickets), dict(self.read)
        made.versions, made.lasts = list(self.versions), list(self.lasts)
        return made

    def frozen(self) -> tuple[Any, ...]:
        table = self.history.table
        return (
            *(self.id, self.phase, self.epoch, table.sequence, table.digest("all"), self.history.base),
            *(tuple(sorted(self.durable.items())), tuple(self.requests.items()), tuple(self.strays)),
            *(tuple(one.change for one in self.line), tuple(one.change for one in self.out)),
            *(tuple(self.tickets.items()), self.put, self.slot, self.tries, self.denied),
            *(tuple(self.versions), tuple(self.lasts), tuple(sorted(self.read.items())), self.chain),
            *(self.ask_at, self.stop_at, self.nearest),
        )

    def facts(self) -> dict[str, int]:
        have = sorted((self.durable.get(one, 0) for one in self.keepers), reverse=True)
        return {
            "waiting": len(self.line) + len(self.out),
            "groups": self.groups,
            "refused": self.refused,
            "stopped": int(self.stopped),
            "kept": have[len(self.keepers) // 2] if have else 0,  # by a majority of keepers
        }

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        getattr(self, f"_{kind}")(*told)
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        return min(self.ask_at, FAR if self.stopped else self.stop_at)

    @property
    def stopped(self) -> bool:
        """The keepers' disks are too far behind for so long that changes are refused."""
        return self.now >= self.stop_at

    def _elapsed(self) -> None:
        if self.phase == "writing" and self.stopped and self.line:
            self._drop_line(self._behind())
        if self.now < self.ask_at:
            return
        if self.phase == "reading":
            self._ask_slots()
        elif self.phase == "catching_up":
            self._give_up("no other keeper has what is missing here")
        elif self.phase == "settling":
            self._ask_slot()
        else:  # a Put is out and nobody answers
            self._settle()

    # ---- the lease

    def _held(self, epoch: int) -> None:
        self._stand_by("the lease is held anew")
        self.phase, self.epoch = "reading", epoch
        # Guards against what a keeper said in an earlier hold, and lost since.
        self.durable = {self.id: self.durable[self.id]} if self.id in self.durable else {}
        self.read.clear()
        self._ask_slots()

    def _lost(self, why: str) -> None:
        self._stand_by(f"{self.id} writes no more: {why}")

    def _give_up(self, why: str) -> None:
        self._log("gives_up", why=why)
        self._stand_by(f"{self.id} writes no more: {why}")
        self.effects.append(("release", why))

    def _stand_by(self, why: str) -> None:
        if self.put is not None:
            self.strays[self.slot, self.put.version] = None
            while len(self.strays) > 4 * RING_SLOTS:
                del self.strays[next(iter(self.strays))]
        for one in self.out:
            self._answer(one.change.request_id, unknown=True, why=why)
        self.out, self.put, self.tries, self.denied = (), None, 0, ""
        self._drop_line(why)
        self.phase, self.chain = "standby", ()
        self.ask_at = self.stop_at = FAR

    def _log(self, event: str, **facts: Any) -> None:
        self.effects.append(("log", event, {"epoch": self.epoch, "slot": self.slot, **facts}))

    # ---- taking over

    def _ask_slots(self) -> None:
        for slot in range(RING_SLOTS):
            if slot not in self.read:
                self.effects.append(("get", slot, key_of(slot)))
        self.ask_at = self.now + ASK_AGAIN

    def _got(self, slot: int, value: bytes, version: int) -> None:
        if self.phase == "reading" and 0 <= slot < RING_SLOTS:
            self.read.setdefault(slot, (value, version))
            if len(self.read) == RING_SLOTS:
                self._judge()
        elif self.phase == "settling" and slot == self.slot:
            self._settled(value, version)

    def _judge(self) -> None:
        """All records are read."""
        found = []
        for slot, (value, version) in sorted(self.read.items()):
            self.versions[slot], self.lasts[slot] = version, 0
            if version == 0:
                continue
            try:
                group = decode_group(value)
            except msgspec.DecodeError as error:
                self._give_up(f"the record {key_of(slot)} can't be read: {error}")
                return
            why = _form_fault(group)
            if why:
                self._give_up(f"the record {key_of(slot)} {why}")
                return
            self.lasts[slot] = group.changes[-1].sequence
            found.append((group.changes[0].sequence, slot, group))
        self.read.clear()
        found.sort(key=lambda one: one[0])
        for (_, slot, one), (first, then, other) in pairwise(found):
            if (
                first != one.changes[-1].sequence + 1
                or then != (slot + 1) % RING_SLOTS
                or other.digest_before != one.digest_after
                or other.epoch < one.epoch
            ):
                self._give_up(f"the record {key_of(then)} does not follow {key_of(slot)}")
                return
        self.slot = (found[-1][1] + 1) % RING_SLOTS if found else 0
        if self.versions[self.slot] and len(found) < RING_SLOTS:
            self._give_up(f"there are records from {key_of(self.slot)} on, and others are missing")
            return
        self.chain = tuple(group for _, _, group in found)
        self._enter()

    def _enter(self) -> None:
        """Goes on from the own table, if it reaches to what was read."""
        table, chain = self.history.table, self.chain
        first = chain[0].changes[0].sequence if chain else 1
        last = chain[-1].changes[-1].sequence if chain else 0
        if table.sequence > last:
            self._give_up(f"this table stands at {table.sequence}, the council's records end at {last}")
        elif table.sequence < first - 1:
            if self.phase != "catching_up" or table.sequence != self.nearest:
                self.ask_at = self.now + CATCH_UP_SPAN
            if self.phase != "catching_up":
                self.phase = "catching_up"
                self._log("catches_up", number=table.sequence, oldest=first)
                self.effects.append(("follow",))
            self.nearest = table.sequence
        else:
            self._go_on()

    def _caught_up(self) -> None:
        if self.phase == "catching_up":
            self._enter()

    def _go_on(self) -> None:
        table, steps = self.history.table, []
        for group in self.chain:
            first, last = group.changes[0].sequence, group.changes[-1].sequence
            if last < table.sequence:
                continue
            if table.sequence == first - 1 and table.digest("all") != group.digest_before:
                self._give_up(
                    f"this table at {table.sequence} is not the one that group {first} was written on"
                )
                return
            changes = [change for change in group.changes if change.sequence > table.sequence]
            for change in changes:
                table = table.apply(change)
            if table.digest("all") != group.digest_after:
                self._give_up(f"with group {first} this table at {last} is not the one it was written for")
                return
            if changes:
                steps.append((table, _touched(changes)))
        for table, items in steps:
            self.history.append(table, items)
        self._recall()
        self.chain, self.ahead = (), self.history.table
        self.phase, self.ask_at = "writing", FAR
        self._log("writes", number=table.sequence, steps=len(steps))
        if steps:
            self.effects.append(("moved",))
        self._look_at_ring()

    def _recall(self) -> None:
        """The requests that are made, as the table has them. Guards against one that is asked again past a
        change of writer, however many groups ago it was made, being made a second time."""
        found = (self.history.table.get(made_key(slot)) for slot in range(DEDUPLICATION_SLOTS))
        known = sorted((version, value.decode()) for value, version in filter(None, found))
        self.requests = {request: number for number, request in known}

    def _remember(self, change: Change) -> None:
        self.requests.pop(change.request_id, None)
        self.requests[change.request_id] = change.sequence
        while len(self.requests) > DEDUPLICATION_SLOTS:
            del self.requests[next(iter(self.requests))]

    # ---- proposals

    def _proposed(self, ticket: Any, propose: Propose) -> None:
        request = propose.request_id
        why = self._why_not(propose)
        if not why and (self.phase in ("settling", "writing")):
            if request in self.requests:
                self.effects.append(("answer", ticket, ProposeResult(request, self.requests[request])))
                return
            if request not in self.tickets:
                why = self._refusal(propose)
            if not why:
                self._line_up(ticket, propose)
                return
        self.refused += 1
        self.effects.append(("answer", ticket, ProposeResult(request[:REQUEST_ID_LENGTH_LIMIT], reason=why)))

    def _why_not(self, propose: Propose) -> str:
        """What stands in the way of any proposal."""
        if self.phase == "standby":
            return f"{self.id} does not write"
        if self.phase in ("reading", "catching_up"):
            return f"{self.id} does not write yet: it is {self.phase.replace('_', ' ')}"
        if self.asked >= PENDING_PROPOSALS_LIMIT and propose.request_id not in self.requests:
            return f"{PENDING_PROPOSALS_LIMIT} proposals wait already"
        if self.line_size >= LINE_SIZE and propose.request_id not in self.requests:
            return f"{self.line_size} bytes of changes wait already"
        return ""

    def _refusal(self, propose: Propose) -> str:
        if self.stopped:
            return self._behind()
        return find_faults(propose, self.ahead)

    def _line_up(self, ticket: Any, propose: Propose) -> None:
        request = propose.request_id
        self.asked += 1
        if request in self.tickets:
            self.tickets[request] += (ticket,)
            return
        self.tickets[request] = (ticket,)
        number = self.ahead.sequence + 1
        change = Change(number, request, (*propose.items, (made_key(number), request.encode())))
        self.ahead = self.ahead.apply(change)
        size = len(encode(change))
        self.line.append(Waiting(change, self.ahead, size))
        self.line_size += size
        self._write()

    def _answer(self, request: str, number: int = 0, why: str = "", unknown: bool = False) -> None:
        told = ProposeResult(request, number, why, unknown=unknown)
        for ticket in self.tickets.pop(request, ()):
            self.asked -= 1
            self.effects.append(("answer", ticket, told))

    def _drop_line(self, why: str) -> None:
        """What only waits was written nowhere."""
        for one in self.line:
            self.refused += 1
            self._answer(one.change.request_id, why=why)
        self.line.clear()
        self.line_size = 0
        self.ahead = self.out[-1].table if self.out else self.history.table

    # ---- the ring

    def _durable(self, keeper: str, number: int) -> None:
        if keeper in self.keepers:
            self.durable[keeper] = number
            if self.phase in ("settling", "writing"):
                self._look_at_ring()

    def _have(self) -> int:
        """Keepers that have what stands in the next slot."""
        return sum(self.durable.get(one, -1) >= self.lasts[self.slot] for one in self.keepers)

    def _behind(self) -> str:
        return (
            f"change {self.lasts[self.slot]} is on the disks of {self._have()} of {len(self.keepers)} "
            "keepers; nothing is changed before a majority has it"
        )

    def _free(self) -> bool:
        """Whether the next slot may be written: nothing is in it, or what a majority has on disk."""
        return not self.lasts[self.slot] or self._have() > len(self.keepers) // 2

    def _look_at_ring(self) -> None:
        if self.out:
            return
        if self._free():
            if self.stopped:
                self._log("goes_on")
            self.stop_at = FAR
            self._write()
        elif self.stop_at == FAR:
            self.stop_at = self.now + STALL_TIMEOUT_NS

    def _write(self) -> None:
        if self.phase != "writing" or self.out or not self.line or not self._free():
            return
        out, size = [], GROUP_COST
        while self.line and size + self.line[0].size <= GROUP_SIZE_LIMIT:
            out.append(self.line.popleft())
            size += out[-1].size
        self.out = tuple(out)
        self.line_size -= size - GROUP_COST
        before, after = self.history.table.digest("all"), out[-1].table.digest("all")
        value = encode(Group(self.epoch, tuple(one.change for one in out), before, after))
        self.put = Put(key_of(self.slot), value, self.versions[self.slot], LEASE, self.epoch)
        self._send()

    def _send(self) -> None:
        self.phase, self.denied = "writing", ""
        self.tries += 1
        self.effects.append(("put", self.slot, self.put))
        self.ask_at = self.now + ANSWER_SPAN

    def _put_done(self, slot: int, version: int) -> None:
        if self.put is None or slot != self.slot or version != self.put.version + 1:
            return
        if (slot, self.put.version) in self.strays:
            self._settle()  # guards against the answer to an earlier hold's Put being taken for this one's
        else:
            self._decided()

    def _put_denied(self, slot: int, why: str) -> None:
        """For its epoch, its version, or the council is full: what stands there tells."""
        if self.put is not None and slot == self.slot:
            self.denied = why
            self._settle()

    def _put_unknown(self, slot: int) -> None:
        if self.put is None or slot != self.slot or self.phase == "settling":
            return
        if self.tries == 1:
            self._settle()
        else:
            self.phase, self.ask_at = "settling", self.now + PAUSE

    def _settle(self) -> None:
        self.phase = "settling"
        self._ask_slot()

    def _ask_slot(self) -> None:
        self.effects.append(("get", self.slot, key_of(self.slot)))
        self.ask_at = self.now + ASK_AGAIN

    def _settled(self, value: bytes, version: int) -> None:
        assert self.put is not None
        if version < self.put.version:
            return  # read before the one that this writer went by; it is asked anew
        if version > self.put.version:
            if value == self.put.value:
                self._decided()
            else:
                self._give_up(f"the record {key_of(self.slot)} was written by another")
        elif self.denied:
            self._give_up(f"the council refuses: {self.denied}")
        else:
            self._send()

    def _decided(self) -> None:
        """The group is written: its changes count, and can't be lost."""
        out, self.out, self.put = self.out, (), None
        self.history.append(out[-1].table, _touched([one.change for one in out]))
        self.versions[self.slot] += 1
        self.lasts[self.slot] = out[-1].change.sequence
        self.slot = (self.slot + 1) % RING_SLOTS
        self.phase, self.tries, self.denied, self.ask_at = "writing", 0, "", FAR
        self.groups += 1
        self.effects.append(("moved",))
        for one in out:
            self._remember(one.change)
            self._answer(one.change.request_id, one.change.sequence)
        self._look_at_ring()


def _form_fault(group: Group) -> str:
    if not group.changes:
        return "holds no change"
    first = group.changes[0].sequence
    if first < 1 or any(change.sequence != first + place for place, change in enumerate(group.changes)):
        return "holds changes that do not follow each other"
    return ""


def _touched(changes: list[Change]) -> Items:
    """Of each key the newest, as a step of the history wants it."""
    newest = {key: (value, change.sequence) for change in changes for key, value in change.items}
    return tuple((key, value, version) for key, (value, version) in newest.items())
