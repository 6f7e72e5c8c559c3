"""Members by the size of the fleet: memory, a period, news, failures, joining cold.

Two ways, with the reducer that runs (members/gossip.py): one hollow member that is fed by hand what a fleet
of any size would send it, and whole fleets in virtual time, where all of them fit into one process. Counts
are the same for the same seed.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from math import ceil, log
from random import Random
from typing import Any, NamedTuple

import msgspec

from thistleline.config.schema import MembershipConfig
from thistleline.lab.members import TIMING as FLEET_TIMING
from thistleline.lab.members import SimulatedMembership
from thistleline.lab.scale import slopes
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Kind, Part, Row, Shape, cpu_of, judge, loop_cpu, memory_of
from thistleline.membership import view as view_module
from thistleline.membership.anti_entropy import HEADER_SIZE
from thistleline.membership.effects import GossipEffect, SendMessage
from thistleline.membership.events import FactsChanged, MessageReceived
from thistleline.membership.gossip import (
    FORGET_AFTER,
    JOIN_INTERVAL,
    MS,
    SECOND,
    TRANSMITS_FACTOR,
    Gossip,
    GossipTiming,
)
from thistleline.membership.messages import (
    ALIVE,
    MAX_DATAGRAM_SIZE,
    Ack,
    BucketRecords,
    Join,
    MemberFacts,
    MemberRecord,
    Message,
    Ping,
    encode,
)
from thistleline.membership.view import BUCKETS, MAX_MEMBERS, MembershipView
from thistleline.reducer.events import DeadlineReached
from thistleline.server.service import FIGURES_INTERVAL

NAME = "members"

DAY = 86_400
WORDS_A_RESTART = (
    3  # taken as: it takes no more; another life takes; that one is warm (supervisor/service.py)
)
WORDS_A_DEATH = 3  # suspected, dead, and another one in its place
DEATHS_PATIENCE = 400  # periods

PERIOD = int(next(one.default for one in msgspec.structs.fields(MembershipConfig) if one.name == "period"))
HOLLOW_SPANS = GossipTiming(PERIOD, PERIOD * 3 // 10)  # as members/service.py has them
_word = msgspec.msgpack.Decoder(MemberRecord).decode


# ---- one hollow member


class LookedThrough(MembershipView):
    """Counts the words that passes over the whole view go through."""

    __slots__ = ("looked",)

    def __init__(self) -> None:
        super().__init__()
        self.looked = 0

    def live_members(self) -> list[MemberRecord]:
        self.looked += len(self.records)
        return super().live_members()

    def dead_members(self) -> list[MemberRecord]:
        self.looked += len(self.records)
        return super().dead_members()


def name_of(place: int) -> str:
    return f"i{place:05}.zone-{place % size('zones'):02}"


def facts_of(place: int, turn: int = 0) -> MemberFacts:
    """As a steward tells them of a server that works; `turn` changes its figures."""
    figures = (90_000 + turn * 1500, 88_000 + turn, 1200, 40, 300 + turn, 96_000, 1, 12)
    return MemberFacts(
        "2.31.4", 118, f"zone-{place % size('zones'):02}", 1_790_000_000_000, True, True, figures, (912, 897)
    )


def word_of(place: int, version: int = 1) -> MemberRecord:
    """As it came in: with strings of its own."""
    made = MemberRecord(
        name_of(place),
        f"10.{place >> 8 & 255}.{place & 255}.7:7946",
        1_790_000_000_000,
        ALIVE,
        version,
        facts_of(place, version),
    )
    return _word(encode(made))


def hollow(members: int, seed: int, counted: bool = True) -> Gossip:
    """One that knows so many, itself among them, and nothing of it is news."""
    made = Gossip(
        name_of(0), "10.0.0.7:7946", 1_790_000_000_000, facts_of(0), (), 0, HOLLOW_SPANS, Random(seed)
    )
    if counted:
        view = LookedThrough()
        view.put(made.own_record)
        made.view = view
    for place in range(1, members):
        made.view.put(word_of(place))
    for id in list(made.view.transmits):
        made.view.stop_spreading(id)
    return made


class Fed:
    """A hollow member and what a fleet sends it in a period: one ping, an answer to its own, and news in
    Shares, as full as they may be, which ask for no answer."""

    def __init__(self, members: int, seed: int, news: int) -> None:
        """`news`: words that are new in each period."""
        self.one, self.news = hollow(members, seed), news
        self.members, self.chance = members, Random(seed)
        self.versions: Counter[int] = Counter()
        self.turn = 0
        self.sent: Counter[str] = Counter()
        self.made: list[tuple[BucketRecords, ...]] = []

    def prepare(self, periods: int) -> None:
        """Makes the news beforehand, so that no time of the member's is spent on it."""
        for _ in range(periods):
            words = []
            for _ in range(self.news):
                self.turn = self.turn % (self.members - 1) + 1
                self.versions[self.turn] += 1
                words.append(word_of(self.turn, 1 + self.versions[self.turn]))
            self.made.append(packed(words))

    def period(self) -> None:
        one = self.one
        now = one.next_period
        for share in self.made.pop(0) if self.made else ():
            self._note(one.handle(now, MessageReceived("10.9.9.9:7946", share)))
        place = self.chance.randrange(1, self.members)
        told = one.view.records[name_of(place)]
        self._note(one.handle(now, MessageReceived(told.address, Ping(one.periods + 1, (told,)))))
        for effect in self._note(one.handle(now, DeadlineReached())):
            if isinstance(effect, SendMessage) and isinstance(effect.message, Ping) and effect.message.number:
                answer = MessageReceived(effect.address, Ack(effect.message.number, ()))
                self._note(one.handle(now + MS, answer))

    def _note(self, effects: list[GossipEffect]) -> list[GossipEffect]:
        self.sent.update(
            type(effect.message).__name__ for effect in effects if isinstance(effect, SendMessage)
        )
        return effects


def packed(words: list[MemberRecord]) -> tuple[BucketRecords, ...]:
    """In as few datagrams as hold them."""
    found, part, taken = list[BucketRecords](), list[MemberRecord](), HEADER_SIZE
    for word in words:
        cost = len(encode(word))
        if taken + cost > MAX_DATAGRAM_SIZE:
            found.append(BucketRecords(0, False, tuple(part)))
            part, taken = [], HEADER_SIZE
        part.append(word)
        taken += cost
    return (*found, BucketRecords(0, False, tuple(part))) if part else tuple(found)


@contextmanager
def encodings() -> Iterator[list[int]]:
    """How many words the view has measured by encoding them, while it is open."""
    count, had = [0], getattr(view_module, "encode")  # noqa: B009

    def counted(word: Any) -> bytes:
        count[0] += 1
        return bytes(had(word))

    setattr(view_module, "encode", counted)  # noqa: B010
    try:
        yield count
    finally:
        setattr(view_module, "encode", had)  # noqa: B010


class Period(NamedTuple):
    """What a period takes, on the average."""

    looked: float  # words that passes over the whole view went through
    encoded: float  # words that were encoded to see whether they fit
    messages: float
    bytes: float


COUNTED_PERIODS = 40  # two turns of all that is done each fourth, fifth and tenth period


def period_of(members: int, seed: int, news: int, periods: int = COUNTED_PERIODS) -> Period:
    fed = Fed(members, seed, news)
    fed.prepare(periods)
    view = fed.one.view
    assert isinstance(view, LookedThrough)
    view.looked, before = 0, fed.one.bytes_sent
    with encodings() as encoded:
        for _ in range(periods):
            fed.period()
    spent = (view.looked, encoded[0], sum(fed.sent.values()), fed.one.bytes_sent - before)
    return Period(*(one / periods for one in spent))


def period_time(members: int, seed: int, news: int, periods: int = 20) -> float:
    """CPU seconds of a period: the least of three runs, each over so many periods."""
    fed = Fed(members, seed, news)

    def all_periods() -> None:
        for _ in range(periods):
            fed.period()

    took = []
    for _ in range(3):
        fed.prepare(periods)
        took.append(cpu_of(all_periods, 1) / periods)
    return min(took)


class Joined(NamedTuple):
    datagrams: int
    bytes: int
    cpu: float  # s, of who answers


def joined(members: int, seed: int) -> Joined:
    """What one gets who knows nobody and joins at a member that knows so many."""
    one = hollow(members, seed, False)
    one.now = one.next_join
    shares: list[Message] = []

    def answer() -> None:
        one.next_join = one.now
        told = one.handle(one.now, MessageReceived("10.9.9.9:7946", Join(())))
        shares[:] = [effect.message for effect in told if isinstance(effect, SendMessage)]

    cpu = cpu_of(answer, 3)
    return Joined(len(shares), sum(len(encode(share)) for share in shares), cpu)


# ---- whole fleets in virtual time


class HollowFleet(SimulatedMembership):
    """As the one of `lab members`; its views are copied from one, so that thousands can be had."""

    def __init__(self, members: int, seed: int, view: Callable[[], MembershipView] = MembershipView) -> None:
        super().__init__(0, seed)
        for place in range(members):
            self.add(name_of(place), 1, facts_of(place))
        whole = view()
        for one in self.members.values():
            whole.put(one.own_record)
        for id in list(whole.transmits):
            whole.stop_spreading(id)
        for one in self.members.values():
            one.view = view()
            one.view.records = dict(whole.records)
            one.view.buckets = [set(bucket) for bucket in whole.buckets]
            one.view.digests = list(whole.digests)

    def bytes_sent(self) -> int:
        return sum(self.members[id].bytes_sent for id in self.alive())


class Told(NamedTuple):
    bytes: float  # that each sends more than in quiet, for a word that changes
    periods: float  # until all know it; -1 where some never did in the time
    quiet: float  # bytes that each sends in a period with nothing new


def one_word(
    members: int, seed: int, words: int = 4, view: Callable[[], MembershipView] = MembershipView
) -> Told:
    """So many words change one after another, each once the one before it is no news any more."""
    periods = 40  # for a word: till none sends it on any more
    fleets = [HollowFleet(members, seed, view) for _ in range(2)]
    spent: list[int] = []
    took: list[float] = []
    for fleet, changes in zip(fleets, (False, True), strict=True):
        fleet.run(10 * FLEET_TIMING.period)
        begun = fleet.bytes_sent()
        for turn in range(words):
            at = fleet.now
            if changes:
                id = name_of(turn)
                fleet.handle(id, FactsChanged(facts_of(turn, 1)))
                version = fleet.members[id].own_record.version

                def all_know(
                    fleet: SimulatedMembership = fleet, id: str = id, version: int = version
                ) -> bool:
                    return all(one.view.records[id].version >= version for one in fleet.members.values())

                known = fleet.run(at + periods * FLEET_TIMING.period, all_know)
                took.append((fleet.now - at) / FLEET_TIMING.period if known else -1.0)
            fleet.run(at + periods * FLEET_TIMING.period)
        spent.append(fleet.bytes_sent() - begun)
    more = (spent[1] - spent[0]) / members / words
    return Told(more, min(took) if min(took) < 0 else max(took), spent[0] / members / words / periods)


class Lost(NamedTuple):
    periods: float  # until all that live know of all that died; -1 where they did not
    bytes: float  # that each of them sent till then, in a period


def lost_at_once(members: int, deaths: int, seed: int) -> Lost:
    fleet = HollowFleet(members, seed)
    fleet.run(5 * FLEET_TIMING.period)
    gone = [name_of(place) for place in range(deaths)]
    fleet.crashed.update(gone)
    died, before, living = fleet.now, fleet.bytes_sent(), members - deaths

    def all_know() -> bool:
        return all(len(fleet.declared_dead.get(id, ())) >= living for id in gone)

    known = fleet.run(died + DEATHS_PATIENCE * FLEET_TIMING.period, all_know)
    periods = (fleet.now - died) / FLEET_TIMING.period
    return Lost(periods if known else -1.0, (fleet.bytes_sent() - before) / living / periods)


class Healed(NamedTuple):
    periods: float  # until all take all for living again; -1 where they did not
    bytes: float  # that each sent till then, in a period


def healed(members: int, apart: float, seed: int, seeds: bool = True, patience: int = 600) -> Healed:
    """A tenth is cut off from the rest for so many seconds. `seeds`: each was told of one on either side."""
    fleet = HollowFleet(members, seed)
    few = {name_of(place) for place in range(max(1, members // 10))}
    if seeds:
        for one in fleet.members.values():
            one.seeds = name_of(0), name_of(members - 1)
    fleet.is_partitioned = lambda source, to: (source in few) != (to in few)
    fleet.run(int(apart * SECOND))
    fleet.is_partitioned = lambda source, to: False
    begun, before, period = fleet.now, fleet.bytes_sent(), FLEET_TIMING.period

    def whole() -> bool:
        views = [one.view for one in fleet.members.values()]
        return all(len(view.records) == members and not view.dead_members() for view in views)

    while not whole() and fleet.now < begun + patience * period:
        fleet.run(fleet.now + period)
    periods = (fleet.now - begun) / period
    sent = (fleet.bytes_sent() - before) / members / max(1.0, periods)
    return Healed(periods if whole() else -1.0, sent)


def age_of_figures(members: int, seed: int, spans: int = 4) -> float:
    """How old, in seconds, what a member knows of another's figures is on the average, where each tells new
    ones as often as a server does (FIGURES_INTERVAL)."""
    fleet = HollowFleet(members, seed)
    every, step = int(FIGURES_INTERVAL * SECOND), FLEET_TIMING.period
    told: dict[str, dict[int, int]] = {id: {fleet.members[id].own_record.version: 0} for id in fleet.members}
    steps = every // step
    for turn in range(steps * spans):
        for place in range(members):
            if place % steps == turn % steps:
                id = name_of(place)
                fleet.handle(id, FactsChanged(facts_of(place, turn + 1)))
                told[id][fleet.members[id].own_record.version] = fleet.now
        fleet.run(fleet.now + step)
    chance, found = Random(seed), list[int]()
    for _ in range(4000):
        by, of = chance.sample(range(members), 2)
        known = fleet.members[name_of(by)].view.records[name_of(of)]
        found.append(fleet.now - told[name_of(of)][known.version])
    return sum(found) / len(found) / SECOND


# ---- the part


HOLLOW = "instance known"
FLEET = "instance"
PROMISED: dict[str, Shape] = {
    "member: words looked through in a quiet period": "linear",
    "member: words encoded in a quiet period": "flat",
    "member: messages sent in a quiet period": "flat",
    "member: bytes sent in a quiet period": "flat",
    "member: words encoded, a tenth new each period": "flat",  # what a datagram holds bounds it
    "member: bytes sent, a tenth new each period": "flat",
    "member: bytes to one that joins cold": "linear",
}


def hollow_counts(sizes: list[int], seed: int) -> list[Row]:
    quiet = [period_of(members, seed, 0) for members in sizes]
    busy = [period_of(members, seed, members // 10, 10) for members in sizes]
    joins = [joined(members, seed) for members in sizes]

    def row(name: str, unit: str, values: list[float]) -> Row:
        return slopes.row(name, "count", unit, HOLLOW, sizes, values, size("instances"))

    return [
        row("member: words looked through in a quiet period", "words", [one.looked for one in quiet]),
        row("member: words encoded in a quiet period", "words", [one.encoded for one in quiet]),
        row("member: messages sent in a quiet period", "messages", [one.messages for one in quiet]),
        row("member: bytes sent in a quiet period", "bytes", [one.bytes for one in quiet]),
        row("member: words encoded, a tenth new each period", "words", [one.encoded for one in busy]),
        row("member: bytes sent, a tenth new each period", "bytes", [one.bytes for one in busy]),
        row("member: bytes to one that joins cold", "bytes", [float(one.bytes) for one in joins]),
        row("member: datagrams to one that joins cold", "messages", [float(one.datagrams) for one in joins]),
    ]


def hollow_costs(sizes: list[int], seed: int) -> tuple[list[Row], dict[str, Any]]:
    """Memory and time."""
    loop = loop_cpu()
    seconds: dict[str, Any] = {}

    def row(name: str, kind: Kind, unit: str, values: list[float], repeats: int = 1) -> Row:
        return slopes.row(name, kind, unit, HOLLOW, sizes, values, size("instances"), repeats)

    def timed(name: str, took: list[float]) -> Row:
        told = dict(zip(sizes, (round(one, 7) for one in took), strict=True))
        seconds[f"{name}, CPU seconds by size"] = told
        return row(name, "time", "loops", [one / loop for one in took], 3)

    held = [memory_of(partial(hollow, members, seed, False))[0] for members in sizes]
    return [
        row("member: memory of what it knows", "memory", "bytes", [float(one) for one in held]),
        timed("member: time of a quiet period", [period_time(one, seed, 0) for one in sizes]),
        timed(
            "member: time of a period, a tenth new", [period_time(one, seed, one // 10, 5) for one in sizes]
        ),
        timed("member: time of a join's answer", [joined(one, seed).cpu for one in sizes]),
    ], {"loop_s": loop, **seconds}


QUIET = "fleet: bytes an instance sends in a quiet period"
KNOWN = "fleet: periods until all know a word"
DIED = "fleet: periods until all know of deaths at once"
FLEET_PROMISED: dict[str, Shape] = {QUIET: "flat"}
HEALED = "fleet: periods until it is whole after a split"
WORD_BYTES = "fleet: bytes an instance sends for a word that changes"


def fleet_counts(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    """In virtual time; all that is counted is the same for the same seed."""
    sizes = [20, 60, 120, 200] if quick else [100, 300, 600, 1000, 2000]
    tell(f"a word that changes, in fleets of {sizes[0]} to {sizes[-1]}")
    words = [one_word(members, seed, 1 if quick else 2) for members in sizes]
    aged = sizes if quick else sizes[:-1]
    tell(f"figures told to all, in fleets of {aged[0]} to {aged[-1]}")
    spans = 2 if quick else 8
    ages = [age_of_figures(members, seed, spans) for members in aged]
    apart = [10, 30, 60, 100] if quick else [20, 60, 120, 200]
    tell(f"a tenth cut off and healed, in fleets of {apart[0]} to {apart[-1]}")
    heals = [healed(members, 20.0 if quick else 60.0, seed) for members in apart]
    members = 200 if quick else 1000
    deaths = [2, 5, 10, 20] if quick else [10, 40, 120, 245]
    tell(f"{deaths[0]} to {deaths[-1]} of {members} die at once")
    lost = [lost_at_once(members, count, seed) for count in deaths]

    def row(name: str, unit: str, values: list[float], note: str = "") -> Row:
        among = sizes[: len(values)]
        return slopes.row(name, "count", unit, FLEET, among, values, size("instances"), 1, note)

    def deaths_row(name: str, unit: str, values: list[float]) -> Row:
        note = f"of {members}; -1: not all knew in {DEATHS_PATIENCE} periods"
        return slopes.row(name, "count", unit, "death at once", deaths, values, size("zone"), 1, note)

    def healed_row(name: str, unit: str, values: list[float]) -> Row:
        note = "a tenth cut off; -1: not whole again in the time"
        return slopes.row(name, "count", unit, FLEET, apart, values, size("instances"), 1, note)

    steps = f"sent on {TRANSMITS_FACTOR} times the logarithm of the fleet, rounded up: a step each tenfold"
    every = (
        f"each tells new ones every {FIGURES_INTERVAL:g} s, periods of {FLEET_TIMING.period / SECOND:g} s; "
        f"runs of {spans * FIGURES_INTERVAL:g} s, so that an age near it is one at the least"
    )
    return [
        row(WORD_BYTES, "bytes", [one.bytes for one in words], steps),
        row(KNOWN, "periods", [one.periods for one in words]),
        row(QUIET, "bytes", [one.quiet for one in words]),
        row("fleet: age of figures that each tells all", "s", ages, every),
        healed_row(HEALED, "periods", [one.periods for one in heals]),
        healed_row("fleet: bytes sent in a period while it heals", "bytes", [one.bytes for one in heals]),
        deaths_row(DIED, "periods", [one.periods for one in lost]),
        deaths_row("fleet: bytes sent in a period after deaths", "bytes", [one.bytes for one in lost]),
    ]


def fleet_bars(rows: list[Row]) -> dict[str, bool]:
    known = {one["name"]: one for one in rows}
    return judge(rows, FLEET_PROMISED) | {
        "fleet: all know every word": min(known[KNOWN]["values"]) >= 0,
        "fleet: all know of all deaths at once": min(known[DIED]["values"]) >= 0,
        "fleet: whole after a split": min(known[HEALED]["values"]) >= 0,
        # By its steps no line: twice in all from the least fleet to one a hundred times as large.
        f"{WORD_BYTES}: slower than the fleet": known[WORD_BYTES]["exponent"] < 0.6,
    }


def word_bytes() -> int:
    return len(encode(word_of(size("instances") - 1)))


def day() -> dict[str, Any]:
    """What an ordinary day tells all, by the reducer's own constants; nothing of it is measured here."""
    instances, restarts, deaths = size("instances"), size("restarts_day"), size("machines_fail_day")
    words = restarts * WORDS_A_RESTART + deaths * WORDS_A_DEATH
    sends = TRANSMITS_FACTOR * max(1, ceil(log(instances + 1, 10)))
    word = word_bytes()
    figures = instances / FIGURES_INTERVAL
    # What a period brings: the ping of another and the answer to the own one, as full as they may be.
    room = 2 * ((MAX_DATAGRAM_SIZE - 64) // word)
    needed = figures * PERIOD / SECOND
    return {
        "words_a_second_of_failures": round(words / DAY, 2),
        "sends_of_a_word_at_most": sends,
        "word_bytes": word,
        "bytes_a_second_for_failures_at_most": round(words / DAY * sends * word),
        "words_a_second_of_figures": round(figures),
        "bytes_a_second_for_figures_if_all_were_sent": round(figures * sends * word),
        "words_that_two_full_datagrams_bring": room,
        "words_of_figures_in_a_period": round(needed),
        "figures_beyond_two_datagrams_a_period": round(needed / room, 1),
        "period_s": PERIOD / SECOND,
        "bytes_a_second_of_full_datagrams": round(2 * MAX_DATAGRAM_SIZE * SECOND / PERIOD),
        "members_bound": MAX_MEMBERS,
        "ids_if_each_restart_brings_another": round(
            instances + (restarts + deaths) / DAY * FORGET_AFTER / SECOND
        ),
        "joins_a_second_that_one_member_answers": round(SECOND / JOIN_INTERVAL),
        "buckets": BUCKETS,
    }


def cold(join_bytes: float) -> dict[str, Any]:
    """What it takes that so many come back at once and know nobody, each answered by one seed."""
    return {
        f"{what} joins cold: megabytes": round(size(what) * join_bytes / 1e6, 1) for what in ("rack", "zone")
    } | {
        "a zone joins cold: seconds at one seed": round(size("zone") * JOIN_INTERVAL / SECOND, 1),
        "a seed that answers as often as it may: bytes a second": round(join_bytes * SECOND / JOIN_INTERVAL),
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    sizes = [100, 300, 1000, 3000] if quick else [100, 300, 1000, 3000, 6600, 9900]
    tell(f"members: hollow ones that know {sizes[0]} to {sizes[-1]}")
    counts = hollow_counts(sizes, seed)
    costs, figures = hollow_costs(sizes, seed)
    fleets = fleet_counts(quick, seed, tell)
    joins = next(one for one in counts if one["name"] == "member: bytes to one that joins cold")
    figures |= {f"day: {what}": value for what, value in day().items()} | cold(joins["at_size"])
    if not quick:
        # Past FORGET_AFTER nobody tries those who are gone; what is left to find each other by are seeds.
        for seeds in (True, False):
            tell(f"a split longer than a dead member is remembered, seeds on both sides: {seeds}")
            told = healed(12, 1.1 * FORGET_AFTER / SECOND, seed, seeds)
            figures[f"periods to heal after a split longer than FORGET_AFTER, seeds {seeds}"] = told.periods
    bars = judge(counts, PROMISED) | fleet_bars(fleets)
    return {"rows": counts + costs + fleets, "figures": figures, "bars": bars}
