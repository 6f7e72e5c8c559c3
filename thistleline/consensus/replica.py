"""One voter: every change of its state. No I/O, no clock; docs/design/leases.md weighs the protocol (Raft).

Inputs are a kind and its values:

    heard sender Message | elapsed | written | unwritten why
    form council Members | propose [(ticket data)] | read [ticket] | change ticket what Member

Effects are plain tuples:

    (send to Message)           may be lost, doubled, late
    (write Work)                one at a time; `written` or `unwritten` answers it
    (decided ticket answer)     what the machine said of it
    (readable ticket)           all that stood in the log as it was asked is applied, and no other leader
                                had been followed by a majority when it was asked
    (refused ticket why leader) nothing is known of what becomes of it
    (leading) (led by) (log event facts)

What is told to others waits until all is durable that was noted before it: a vote, an entry, a term. `number`
of a record is its place in this life's notes, `saved` the last one that is durable.
"""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, Literal, NamedTuple, Protocol

from thistleline.consensus.log import Log
from thistleline.consensus.messages import (
    Append,
    Appended,
    Ask,
    Ballot,
    Base,
    Entry,
    Install,
    Member,
    Members,
    Message,
    Record,
    Tail,
    Vote,
    members_data,
    members_of,
)

MS, SECOND = 1_000_000, 1_000_000_000
ENTRIES_BOUND, BYTES_BOUND = 512, 1 << 20  # of one Append
AHEAD_BOUND = 4096  # entries sent to a voter that has not confirmed them
TICKETS_BOUND = 20_000  # that wait for a decision; past it who asks is refused
COMPACT_SIZE, ENTRY_COST = 4 << 20, 48  # bytes of a log that is worth a new base
HELD_BOUND = 4096  # messages that wait for the disk; past it the oldest go, as the network loses some too
JOIN_SPAN = 30 * SECOND  # for one that is to be added to have caught up
RETRY_FIRST, RETRY_LAST = 100 * MS, 5 * SECOND  # after a failed write, doubled each time

INPUTS = ("heard", "elapsed", "written", "unwritten", "form", "propose", "read", "change")
DOES = {kind: f"_{kind}" for kind in INPUTS}

Effect = tuple[Any, ...]
Phase = Literal["unformed", "following", "trying", "standing", "leading"]


class Machine(Protocol):
    """What the decisions are for: the same from the same decisions, at every voter."""

    def apply(self, index: int, data: bytes) -> Any: ...

    def snapshot(self) -> bytes: ...

    def restore(self, state: bytes) -> None: ...

    def copy(self) -> Any: ...

    def state_key(self) -> Any: ...


class Spans(NamedTuple):
    """Nanoseconds."""

    heartbeat: int
    election: int  # without a leader for that long, and up to as much again by chance, a voter stands
    quorum: int  # a leader that no majority has answered for so long leads no more


class Work(NamedTuple):
    """One write; `fresh`: in a new segment, all older ones go once it is durable."""

    fresh: bool
    records: tuple[Record, ...]


class Found(NamedTuple):
    """What an earlier life left."""

    base: Base
    ballot: Ballot
    log: Log


class Joining(NamedTuple):
    member: Member
    ticket: Any
    until: int


COPIED = frozenset((dict, set, list, Log))


class Voter:
    __slots__ = (
        *("id", "council", "machine", "spans", "spread", "now", "effects", "phase", "term", "vote", "log"),
        *("base_state", "committed", "applied", "leader", "led_at", "election_due", "heartbeat_due"),
        *(
            "votes",
            "next",
            "match",
            "heard_at",
            "confirmed",
            "installed",
            "round",
            "reads",
            "reads_out",
            "tickets",
        ),
        *("joining", "change_ticket", "noted", "saved", "unsaved", "work_out", "held", "durable"),
        *("failing", "retry_at", "retry_wait", "begin_anew"),
    )

    def __init__(
        self,
        id: str,
        machine: Machine,
        now: int,
        spans: Spans,
        spread: Callable[[int], int],
        found: Found | None = None,
    ) -> None:
        """`spread`: a random part of a span. Without `found` it is a new voter with an empty disk."""
        self.id, self.machine, self.spans, self.spread, self.now = id, machine, spans, spread, now
        self.effects: list[Effect] = []
        self.council = ""
        self.phase: Phase = "unformed"
        self.term, self.vote = 0, ""
        self.log = Log()
        self.base_state = b""
        self.committed = self.applied = 0
        self.leader = ""
        self.led_at = now - spans.election  # when a leader was last heard
        self.election_due = self.heartbeat_due = 0
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.heard_at: dict[str, int] = {}
        self.confirmed: dict[str, int] = {}  # the newest round that a voter has confirmed
        self.installed: dict[str, int] = {}  # when the whole state was last sent
        self.round = 0
        self.reads: list[tuple[int, Any]] = []  # index and ticket, for the next round
        self.reads_out: list[tuple[int, int, Any]] = []  # round, index, ticket
        self.tickets: dict[int, Any] = {}  # by the index of what they proposed
        self.joining: Joining | None = None
        self.change_ticket: Any = None
        self.noted = self.saved = 0
        self.unsaved: list[Record] = []
        self.work_out: tuple[Work, int] | None = None
        self.held: list[tuple[int, Effect]] = []  # with the number of the last record they wait for
        self.durable = 0  # the log is durable up to there
        self.failing = False
        self.retry_at, self.retry_wait = 0, RETRY_FIRST
        self.begin_anew = True  # the next work goes to a new segment
        if found is not None:
            self._take_up(found)
        self._await_leader()

    def _take_up(self, found: Found) -> None:
        base = found.base
        self.council, self.log = base.council, found.log
        self.term, self.vote = found.ballot.term, found.ballot.vote
        self.base_state, self.committed, self.applied = base.state, base.index, base.index
        if base.council:
            self.machine.restore(base.state)
            self.phase = "following"
        self.durable = self.log.last

    # ---- from outside

    def take(self, now: int, kind: str, *told: Any) -> list[Effect]:
        self.now = max(self.now, now)
        getattr(self, DOES[kind])(*told)
        self._write_more()
        effects, self.effects = self.effects, []
        return effects

    def due(self) -> int:
        """When the next `elapsed` is wanted."""
        due = self.heartbeat_due if self.phase == "leading" else self.election_due
        if self.phase == "unformed":
            due = self.now + self.spans.election
        if self.failing and self.work_out is None:
            due = min(due, max(self.retry_at, self.now + 1))
        return due

    @property
    def members(self) -> Members:
        return self.log.members()

    def copy(self) -> "Voter":
        """A voter that goes its own way from here; for exploring what may come."""
        made = Voter.__new__(Voter)
        for name in self.__slots__:
            value = getattr(self, name)
            setattr(made, name, value.copy() if type(value) in COPIED else value)
        made.machine = self.machine.copy()
        return made

    def frozen(self, names: Mapping[str, str] = MappingProxyType({})) -> tuple[Any, ...]:
        """All that what it does can depend on, with other names for the voters where they are given."""

        def named(id: str) -> str:
            return names.get(id, id)

        tables = (self.next, self.match, self.heard_at, self.confirmed)
        return (
            *(named(self.id), self.phase, self.term, named(self.vote), self.log.frozen(), self.committed),
            *(self.applied, named(self.leader), self.led_at, self.election_due, self.heartbeat_due),
            frozenset(map(named, self.votes)),
            *(frozenset((named(id), told) for id, told in one.items()) for one in tables),
            *(self.round, tuple(self.reads), tuple(self.reads_out), tuple(self.tickets.items())),
            *(self.joining, self.change_ticket, tuple(self.unsaved)),
            self.work_out and (self.work_out[0], self.work_out[1] - self.noted),
            tuple((number - self.noted, effect) for number, effect in self.held),
            *(self.durable, self.failing, self.begin_anew, self.machine.state_key()),
        )

    def _send(self, to: str, message: Message) -> None:
        self.effects.append(("send", to, message))

    def _log_event(self, event: str, **facts: Any) -> None:
        self.effects.append(("log", event, facts))

    # ---- what is written down

    def _note(self, record: Record) -> None:
        self.noted += 1
        self.unsaved.append(record)

    def _once_saved(self, effect: Effect) -> None:
        """Guards against telling what a crash could take back: a vote given twice, an entry lost."""
        if self.saved == self.noted:
            self.effects.append(effect)
        else:
            self.held.append((self.noted, effect))
            del self.held[:-HELD_BOUND]

    def _write_more(self) -> None:
        if self.work_out is not None or not (self.unsaved or self.failing):
            return
        if self.failing and self.now < self.retry_at:
            return
        if self.applied > self.log.base and self.log.size + ENTRY_COST * len(self.log.entries) > COMPACT_SIZE:
            self.begin_anew = True
        if self.begin_anew:
            if self.applied > self.log.base:
                self.base_state = self.machine.snapshot()
                self.log.rebase(
                    self.applied, self.log.term_at(self.applied), self.log.members_at(self.applied)
                )
            log = self.log
            told = (self.id, self.council, self.term, self.vote, log.base, log.base_term, log.base_members)
            base = Base(*told, self.base_state)
            records: tuple[Record, ...] = (base,)
            if log.entries:
                records = (base, Tail(log.base + 1, tuple(log.entries)))
        else:
            records = tuple(self.unsaved)
        work = Work(self.begin_anew, records)
        self.begin_anew = False
        self.unsaved.clear()
        self.work_out = work, self.noted
        self.effects.append(("write", work))

    def _written(self) -> None:
        assert self.work_out is not None
        work, self.saved = self.work_out
        self.work_out = None
        if self.failing:
            self.failing, self.retry_wait = False, RETRY_FIRST
            self._log_event("disk", state="well")
            self._await_leader()
        for record in work.records:
            if isinstance(record, Base):
                self.durable = max(self.durable, record.index)
            elif isinstance(record, Tail) and record.entries:
                last = record.first + len(record.entries) - 1
                if self.log.term_at(last) == record.entries[-1].term:
                    self.durable = max(self.durable, last)
        ready = sum(1 for number, _ in self.held if number <= self.saved)
        self.effects += [effect for _, effect in self.held[:ready]]
        del self.held[:ready]
        if self.phase == "leading":
            self._commit()
        elif self.phase == "standing" and self.saved == self.noted:
            self._voted(self.id)

    def _unwritten(self, why: str) -> None:
        """What was to be written may be on disk or not. Nothing that waited for it is told; all that matters
        goes to a new segment. Meanwhile it neither leads nor stands: others can."""
        assert self.work_out is not None
        self.work_out = None
        self.held.clear()
        self.failing, self.begin_anew = True, True
        self.retry_at = self.now + self.retry_wait
        self.retry_wait = min(RETRY_LAST, 2 * self.retry_wait)
        self._log_event("disk", state="failing", why=why)
        if self.phase != "unformed":
            self._follow("")

    def _ballot(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._note(Ballot(term, vote))

    # ---- phases

    def _await_leader(self) -> None:
        self.election_due = self.now + self.spans.election + self.spread(self.spans.election)

    def _follow(self, leader: str) -> None:
        if self.phase == "leading":
            self._log_event("phase", phase="following", term=self.term, leader=leader)
            tickets = [
                *self.tickets.values(),
                *(one[1] for one in self.reads),
                *(one[2] for one in self.reads_out),
            ]
            if self.joining is not None:
                tickets.append(self.joining.ticket)
            if self.change_ticket is not None:
                tickets.append(self.change_ticket)
            for ticket in tickets:
                self.effects.append(("refused", ticket, "it leads no more", leader))
            self.tickets, self.reads, self.reads_out = {}, [], []
            self.joining = self.change_ticket = None
        if leader != self.leader or self.phase == "leading":
            self.effects.append(("led", leader))
        self.phase, self.leader = "following", leader
        self.votes.clear()
        self._await_leader()

    def _later_term(self, term: int) -> None:
        self._ballot(term, "")
        if self.phase == "unformed":
            return
        self._follow("")

    def _form(self, council: str, members: Members) -> None:
        """Only an empty voter is formed: every first member is told the same, once, by hand."""
        if self.phase != "unformed" or self.log.last or self.id not in {one.id for one in members}:
            return
        self.council = council
        self.log.base_members = members
        self.base_state = self.machine.snapshot()
        self.phase = "following"
        self.noted += 1
        self.unsaved.append(Ballot(self.term, self.vote))
        self.begin_anew = True
        self._await_leader()
        self._log_event("formed", council=council, members=[one.id for one in members])

    def _elapsed(self) -> None:
        if self.phase == "leading":
            if self.now >= self.heartbeat_due:
                self._beat()
            if self.joining is not None and self.now >= self.joining.until:
                self.effects.append(("refused", self.joining.ticket, "it did not catch up in time", self.id))
                self.joining = None
            recent = {one for one, at in self.heard_at.items() if self.now - at < self.spans.quorum}
            if not self._majority(recent | {self.id}):
                self._log_event("quorum lost", term=self.term)
                self._follow("")
        elif self.phase != "unformed" and self.now >= self.election_due:
            self._await_leader()
            if not self.failing and self._is_member(self.id):
                self._try()

    def _is_member(self, id: str) -> bool:
        return any(one.id == id for one in self.members)

    def _majority(self, ids: set[str]) -> bool:
        members = self.members
        return 2 * sum(1 for one in members if one.id in ids) > len(members)

    def _others(self) -> list[str]:
        ids = [one.id for one in self.members if one.id != self.id]
        if self.joining is not None:
            ids.append(self.joining.member.id)
        return ids

    # ---- elections

    def _try(self) -> None:
        """Asks first whether votes would be given; guards against terms that grow for nothing."""
        self.phase, self.leader = "trying", ""
        self.votes = {self.id}
        if self._majority(self.votes):
            self._stand()
            return
        self._ask(self.term + 1, True)

    def _stand(self) -> None:
        self.phase = "standing"
        self.votes = set()
        self._ballot(self.term + 1, self.id)
        self._ask(self.term, False)

    def _ask(self, term: int, trial: bool) -> None:
        message = Ask(term, self.log.last, self.log.term_at(self.log.last), trial)
        for to in self._others():
            if trial:
                self._send(to, message)
            else:
                self._once_saved(("send", to, message))

    def _voted(self, by: str) -> None:
        self.votes.add(by)
        if self._majority(self.votes):
            if self.phase == "trying":
                self._stand()
            else:
                self._lead()

    def _lead(self) -> None:
        self.phase, self.leader = "leading", self.id
        others = self._others()
        self.next = dict.fromkeys(others, self.log.last + 1)
        self.match = dict.fromkeys(others, 0)
        self.confirmed = dict.fromkeys(others, 0)
        self.heard_at = dict.fromkeys(others, self.now)
        self.installed = {}
        self.effects += [("leading",), ("led", self.id)]
        self._log_event("phase", phase="leading", term=self.term)
        self._append(Entry(self.term, "nothing", b""))
        self._beat()

    # ---- leading

    def _append(self, entry: Entry) -> int:
        index = self.log.add(entry)
        self._note(Tail(index, (entry,)))
        return index

    def _beat(self) -> None:
        self.heartbeat_due = self.now + self.spans.heartbeat
        for to in self._others():
            self._feed(to, True)

    def _feed(self, to: str, beat: bool) -> None:
        """What `to` lacks, as far as it may be ahead of its word; but the beat if it lacks nothing."""
        following = self.next[to]
        if following <= self.log.base:
            log = self.log
            if beat and self.now - self.installed.get(to, -SECOND) >= self.spans.election:  # it is large
                self.installed[to] = self.now
                self._send(to, Install(self.term, self.council, log.base, log.base_term, log.base_members,
                                       self.base_state, self.round))  # fmt: skip
            return
        entries: tuple[Entry, ...] = ()
        if following - self.match[to] <= AHEAD_BOUND:
            entries = self.log.part(following, ENTRIES_BOUND, BYTES_BOUND)
        if entries or beat:
            prior = following - 1
            term = self.log.term_at(prior)
            self._send(to, Append(self.term, prior, term, entries, self.committed, self.round))
            self.next[to] = following + len(entries)

    def _propose(self, proposals: Iterable[tuple[Any, bytes]]) -> None:
        for ticket, data in proposals:
            if not self._refused(ticket):
                self.tickets[self._append(Entry(self.term, "decision", data))] = ticket
        if self.phase == "leading":
            for to in self._others():
                self._feed(to, False)

    def _refused(self, ticket: Any) -> bool:
        if self.phase != "leading":
            self.effects.append(("refused", ticket, "it does not lead", self.leader))
            return True
        if len(self.tickets) + len(self.reads) + len(self.reads_out) >= TICKETS_BOUND:
            self.effects.append(("refused", ticket, "too much waits", self.id))
            return True
        return False

    def _read(self, tickets: Iterable[Any]) -> None:
        """By what a majority confirms after it was asked. A leader's clock alone says nothing: it may have
        stood still while another was elected."""
        self.reads += [(self.log.last, ticket) for ticket in tickets if not self._refused(ticket)]
        if self.reads and not self.reads_out:
            self._next_round()

    def _next_round(self) -> None:
        self.round += 1
        self.reads_out = [(self.round, index, ticket) for index, ticket in self.reads]
        self.reads = []
        self._beat()
        self._answer_reads()  # alone, it is its own majority

    def _answer_reads(self) -> None:
        if not self.reads_out:
            return
        current = {one for one, round in self.confirmed.items() if round >= self.reads_out[0][0]}
        if not self._majority(current | {self.id}):
            return
        rest = [one for one in self.reads_out if one[1] > self.applied]
        self.effects += [("readable", ticket) for _, index, ticket in self.reads_out if index <= self.applied]
        self.reads_out = rest
        if not rest and self.reads:
            self._next_round()

    def _commit(self) -> None:
        """What a majority has durably, once something of this term is among it; guards against counting what
        an earlier leader left, which a later one may still replace (the paper's section 5.4.2)."""
        members = self.members
        known = sorted((self.durable if one.id == self.id else self.match.get(one.id, 0) for one in members),
                       reverse=True)  # fmt: skip
        index = known[len(members) // 2]
        if index > self.committed and self.log.term_at(index) == self.term:
            self.committed = index
            self._apply()
            for to in self._others():
                self._feed(to, False)

    def _apply(self) -> None:
        while self.applied < self.committed:
            index = self.applied + 1
            entry = self.log.at(index)
            self.applied = index
            answer = self.machine.apply(index, entry.data) if entry.kind == "decision" else None
            if self.phase == "leading" and index in self.tickets:
                self.effects.append(("decided", self.tickets.pop(index), answer))
            if entry.kind == "members":
                self._members_decided(members_of(entry.data))
        if self.phase == "leading":
            self._answer_reads()

    # ---- members

    def _change(self, ticket: Any, what: Literal["add", "remove"], member: Member) -> None:
        """One at a time, so that every two majorities share a voter; and not before this leader has decided
        something, lest two leaders each know of another change that is undecided."""
        if self._refused(ticket):
            return
        places = self.log.member_places
        busy = self.joining is not None or (places and places[-1][0] > self.committed)
        if busy or self.log.term_at(self.committed) != self.term:
            self.effects.append(("refused", ticket, "another change is under way", self.id))
        elif (what == "add") == self._is_member(member.id):
            self.effects.append(("decided", ticket, "unchanged"))
        elif what == "add":
            self.joining = Joining(member, ticket, self.now + JOIN_SPAN)
            self.next[member.id], self.match[member.id], self.confirmed[member.id] = self.log.last + 1, 0, 0
            self._feed(member.id, True)
        elif len(self.members) == 1:
            self.effects.append(("refused", ticket, "the last voter stays", self.id))
        else:
            self._change_members(ticket, tuple(one for one in self.members if one.id != member.id))

    def _change_members(self, ticket: Any, members: Members) -> None:
        self.change_ticket = ticket
        self._append(Entry(self.term, "members", members_data(members)))
        for to in self._others():
            self.next.setdefault(to, self.log.last)
            self.match.setdefault(to, 0)
            self.confirmed.setdefault(to, 0)
            self.heard_at.setdefault(to, self.now)
        self._beat()
        self._commit()

    def _caught_up(self) -> None:
        joining = self.joining
        if joining is not None and self.match[joining.member.id] >= self.committed:
            self.joining = None
            kept = [one for one in self.members if one.address != joining.member.address]
            if len(kept) < len(self.members):
                why = "a voter of that address is to be removed first"
                self.effects.append(("refused", joining.ticket, why, self.id))
                return
            self._change_members(joining.ticket, tuple(sorted((*kept, joining.member))))

    def _members_decided(self, members: Members) -> None:
        self._log_event("members", members=[one.id for one in members])
        if self.phase != "leading":
            return
        if self.change_ticket is not None:
            self.effects.append(("decided", self.change_ticket, "changed"))
            self.change_ticket = None
        for gone in self.next.keys() - set(self._others()):
            self._feed(gone, True)  # its last word, so that it knows
            for told in (self.next, self.match, self.confirmed, self.heard_at):
                told.pop(gone, None)
        if not any(one.id == self.id for one in members):
            self._follow("")

    # ---- messages

    def _heard(self, sender: str, message: Message) -> None:
        if message.term > self.term and not isinstance(message, Ask):
            self._later_term(message.term)
        if isinstance(message, Append | Install):
            self._led(sender, message)
        elif isinstance(message, Ask):
            self._asked(sender, message)
        elif isinstance(message, Vote):
            self._answered(sender, message)
        else:
            self._fed(sender, message)

    def _asked(self, sender: str, message: Ask) -> None:
        # Guards a leader that is followed against one whom it alone does not reach.
        led = self.phase == "leading" or (self.leader and self.now - self.led_at < self.spans.election)
        mine = (self.log.term_at(self.log.last), self.log.last)
        agrees = (message.last_term, message.last_index) >= mine and not self.failing
        if message.trial:
            given = message.term > self.term and not led and agrees
            self._send(sender, Vote(self.term, message.term, True, given))
            return
        if (led and message.term > self.term) or self.phase == "unformed":
            return
        if message.term > self.term:
            self._later_term(message.term)
        given = message.term == self.term and self.vote in ("", sender) and agrees
        if given and not self.vote:
            self._ballot(self.term, sender)
        if given:
            self._await_leader()
        self._once_saved(("send", sender, Vote(self.term, message.term, False, given)))

    def _answered(self, sender: str, message: Vote) -> None:
        if not message.given:
            return
        if message.trial:
            if self.phase == "trying" and message.asked == self.term + 1:
                self._voted(sender)
        elif self.phase == "standing" and message.term == self.term:
            self._voted(sender)

    def _led(self, sender: str, message: Append | Install) -> None:
        if message.term < self.term:
            self._send(sender, Appended(self.term, False, 0, 0))
            return
        if self.phase != "unformed" and (self.phase != "following" or self.leader != sender):
            self._follow(sender)
        self.led_at = self.now
        self._await_leader()
        log = self.log
        if isinstance(message, Install):
            self._install(sender, message)
            agreed = message.index
        elif self.phase == "unformed":
            self._once_saved(("send", sender, Appended(self.term, False, -1, 0)))
            return
        elif message.prior > log.last or log.term_at(message.prior) not in (message.prior_term, -1):
            hint = min(message.prior - 1, log.last)
            other = log.term_at(hint + 1)
            while hint > self.committed and other != -1 and log.term_at(hint) == other:
                hint -= 1  # a whole term that the leader does not have
            back = Appended(self.term, False, max(hint, self.committed), message.round)
            self._once_saved(("send", sender, back))
            return
        else:
            agreed = self._merge(message)
        self._once_saved(("send", sender, Appended(self.term, True, agreed, message.round)))
        if isinstance(message, Append) and min(message.committed, agreed) > self.committed:
            self.committed = min(message.committed, agreed)
            self._apply()

    def _merge(self, message: Append) -> int:
        log, place = self.log, message.prior
        for number, entry in enumerate(message.entries):
            place = message.prior + number + 1
            if place <= log.base or log.term_at(place) == entry.term:
                continue
            if place <= log.last:
                assert place > self.committed, "a leader would replace what was decided"
                log.cut(place)
                self.durable = min(self.durable, place - 1)
            rest = message.entries[number:]
            for one in rest:
                log.add(one)
            self._note(Tail(place, rest))
            break
        return message.prior + len(message.entries)

    def _install(self, sender: str, message: Install) -> None:
        if self.phase == "unformed":
            self.phase, self.leader, self.council = "following", sender, message.council
        elif message.index <= self.committed:
            return
        self.log.rebase(message.index, message.index_term, message.members)
        self.base_state = message.state
        self.machine.restore(message.state)
        self.committed = self.applied = message.index
        self.durable = min(self.durable, self.log.last)
        self.begin_anew = True
        self._note(Ballot(self.term, self.vote))
        self._log_event("installed", index=message.index)

    def _fed(self, sender: str, message: Appended) -> None:
        if self.phase != "leading" or message.term != self.term or sender not in self.next:
            return
        self.heard_at[sender] = self.now
        self.confirmed[sender] = max(self.confirmed[sender], message.round)
        if message.good:
            self.match[sender] = max(self.match[sender], message.index)
            self.next[sender] = max(self.next[sender], message.index + 1)
            self._commit()
            self._caught_up()
        elif message.index < 0:
            self.next[sender] = 0
        else:
            self.next[sender] = max(self.match[sender] + 1, min(self.next[sender], message.index + 1))
        if self.phase == "leading" and sender in self.next:
            if self.next[sender] <= self.log.last:
                self._feed(sender, not message.good)
            self._answer_reads()
