"""Costs of membership by fleet size: memory, quiet periods, updates, failures, cold joins.

Measured in two ways, both with the real state machine (`membership/gossip.py`): one member that gets what a
fleet of any size would send it, and whole fleets in virtual time, up to the size that fits into one process.
Counts are the same for the same seed.
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
# No longer taking requests; the next incarnation takes them; it is warm (supervisor/service.py).
UPDATES_A_RESTART = 3
UPDATES_A_DEATH = 3  # suspected, dead, replaced
DEATHS_TIMEOUT = 400  # periods

PERIOD = int(next(one.default for one in msgspec.structs.fields(MembershipConfig) if one.name == "period"))
MEMBER_TIMING = GossipTiming(PERIOD, PERIOD * 3 // 10)  # as in membership/service.py
_decode_record = msgspec.msgpack.Decoder(MemberRecord).decode


# ---- one member


class CountingView(MembershipView):
    """A view that counts the records scanned by passes over the whole view."""

    __slots__ = ("scanned",)

    def __init__(self) -> None:
        """Make an empty view."""
        super().__init__()
        self.scanned = 0

    def live_members(self) -> list[MemberRecord]:
        """Count the scan and return the live members."""
        self.scanned += len(self.records)
        return super().live_members()

    def dead_members(self) -> list[MemberRecord]:
        """Count the scan and return the dead members."""
        self.scanned += len(self.records)
        return super().dead_members()


def name_of(index: int) -> str:
    """Return the id of an instance, which names its zone."""
    return f"i{index:05}.zone-{index % size('zones'):02}"


def facts_of(index: int, revision: int = 0) -> MemberFacts:
    """Return the facts that a supervisor publishes of a working server; `revision` changes its figures."""
    figures = (90_000 + revision * 1500, 88_000 + revision, 1200, 40, 300 + revision, 96_000, 1, 12)
    return MemberFacts(
        "2.31.4", 118, f"zone-{index % size('zones'):02}", 1_790_000_000_000, True, True, figures, (912, 897)
    )


def record_of(index: int, version: int = 1) -> MemberRecord:
    """Return a member's record as it is decoded from a datagram, with strings of its own."""
    record = MemberRecord(
        name_of(index),
        f"10.{index >> 8 & 255}.{index & 255}.7:7946",
        1_790_000_000_000,
        ALIVE,
        version,
        facts_of(index, version),
    )
    return _decode_record(encode(record))


def make_member(members: int, seed: int, counted: bool = True) -> Gossip:
    """Make a member that knows so many, itself among them, with no update left to spread.

    Args:
        members: Number of members in its view.
        seed: Seed of its random draws.
        counted: Whether its view counts scanned records.
    """
    member = Gossip(
        name_of(0), "10.0.0.7:7946", 1_790_000_000_000, facts_of(0), (), 0, MEMBER_TIMING, Random(seed)
    )
    if counted:
        view = CountingView()
        view.put(member.own_record)
        member.view = view
    for index in range(1, members):
        member.view.put(record_of(index))
    for id in list(member.view.transmits):
        member.view.stop_spreading(id)
    return member


class FedMember:
    """A member, and the messages that a fleet sends it in a period.

    These are one ping, an acknowledgement of the member's own ping, and updates in BucketRecords that are as
    full as they may be and ask for no answer.
    """

    def __init__(self, members: int, seed: int, updates: int) -> None:
        """Make the member.

        Args:
            members: Number of members that it knows.
            seed: Seed of all random draws.
            updates: New records in each period.
        """
        self.member, self.updates = make_member(members, seed), updates
        self.members, self.random = members, Random(seed)
        self.versions: Counter[int] = Counter()
        self.last_updated = 0
        self.sent: Counter[str] = Counter()
        self.prepared: list[tuple[BucketRecords, ...]] = []

    def prepare_updates(self, periods: int) -> None:
        """Make the updates of the next periods, so that measured periods spend no time on it."""
        for _ in range(periods):
            records = []
            for _ in range(self.updates):
                self.last_updated = self.last_updated % (self.members - 1) + 1
                self.versions[self.last_updated] += 1
                records.append(record_of(self.last_updated, 1 + self.versions[self.last_updated]))
            self.prepared.append(pack_records(records))

    def run_period(self) -> None:
        """Pass the messages of one period to the member."""
        member = self.member
        now = member.next_period
        for datagram in self.prepared.pop(0) if self.prepared else ():
            self._count_sent(member.handle(now, MessageReceived("10.9.9.9:7946", datagram)))
        index = self.random.randrange(1, self.members)
        known = member.view.records[name_of(index)]
        self._count_sent(
            member.handle(now, MessageReceived(known.address, Ping(member.periods + 1, (known,))))
        )
        for effect in self._count_sent(member.handle(now, DeadlineReached())):
            if isinstance(effect, SendMessage) and isinstance(effect.message, Ping) and effect.message.number:
                answer = MessageReceived(effect.address, Ack(effect.message.number, ()))
                self._count_sent(member.handle(now + MS, answer))

    def _count_sent(self, effects: list[GossipEffect]) -> list[GossipEffect]:
        self.sent.update(
            type(effect.message).__name__ for effect in effects if isinstance(effect, SendMessage)
        )
        return effects


def pack_records(records: list[MemberRecord]) -> tuple[BucketRecords, ...]:
    """Pack the records into as few datagrams as hold them, in order."""
    datagrams, current, current_size = list[BucketRecords](), list[MemberRecord](), HEADER_SIZE
    for record in records:
        size = len(encode(record))
        if current_size + size > MAX_DATAGRAM_SIZE:
            datagrams.append(BucketRecords(0, False, tuple(current)))
            current, current_size = [], HEADER_SIZE
        current.append(record)
        current_size += size
    return (*datagrams, BucketRecords(0, False, tuple(current))) if current else tuple(datagrams)


@contextmanager
def count_encodings() -> Iterator[list[int]]:
    """Count the records that views encode to learn their size; the count is the only item of the list."""
    count, original = [0], getattr(view_module, "encode")  # noqa: B009

    def counted(record: Any) -> bytes:
        count[0] += 1
        return bytes(original(record))

    setattr(view_module, "encode", counted)  # noqa: B010
    try:
        yield count
    finally:
        setattr(view_module, "encode", original)  # noqa: B010


class PeriodCost(NamedTuple):
    """Mean cost of a period.

    Attributes:
        scanned: Records scanned by passes over the whole view.
        encoded: Records encoded to see whether they fit.
        messages: Messages sent.
        bytes: Bytes sent.
    """

    scanned: float
    encoded: float
    messages: float
    bytes: float


COUNTED_PERIODS = 40  # twice the least common multiple of the tasks' cycles of 4, 5 and 10 periods


def period_costs(members: int, seed: int, updates: int, periods: int = COUNTED_PERIODS) -> PeriodCost:
    """Return the mean cost of so many periods with so many updates each."""
    fed = FedMember(members, seed, updates)
    fed.prepare_updates(periods)
    view = fed.member.view
    assert isinstance(view, CountingView)
    view.scanned, before = 0, fed.member.bytes_sent
    with count_encodings() as encoded:
        for _ in range(periods):
            fed.run_period()
    totals = (view.scanned, encoded[0], sum(fed.sent.values()), fed.member.bytes_sent - before)
    return PeriodCost(*(total / periods for total in totals))


def period_time(members: int, seed: int, updates: int, periods: int = 20) -> float:
    """Return the CPU seconds of a period: the least of three runs of so many periods each."""
    fed = FedMember(members, seed, updates)

    def all_periods() -> None:
        for _ in range(periods):
            fed.run_period()

    took = []
    for _ in range(3):
        fed.prepare_updates(periods)
        took.append(cpu_of(all_periods, 1) / periods)
    return min(took)


class JoinCost(NamedTuple):
    """Cost of answering a join.

    Attributes:
        datagrams: Datagrams sent.
        bytes: Bytes sent.
        cpu: CPU seconds of the member that answers.
    """

    datagrams: int
    bytes: int
    cpu: float


def join_cost(members: int, seed: int) -> JoinCost:
    """Measure a cold join, of a member that knows no other, at one that knows so many."""
    member = make_member(members, seed, False)
    member.now = member.next_join
    messages: list[Message] = []

    def answer() -> None:
        member.next_join = member.now
        effects = member.handle(member.now, MessageReceived("10.9.9.9:7946", Join(())))
        messages[:] = [effect.message for effect in effects if isinstance(effect, SendMessage)]

    cpu = cpu_of(answer, 3)
    return JoinCost(len(messages), sum(len(encode(message)) for message in messages), cpu)


# ---- whole fleets in virtual time


class LargeFleet(SimulatedMembership):
    """A simulated fleet whose members all know each other.

    Their views are copies of one, so that fleets of thousands can be made.
    """

    def __init__(
        self, members: int, seed: int, make_view: Callable[[], MembershipView] = MembershipView
    ) -> None:
        """Make the members; `make_view` makes an empty view."""
        super().__init__(0, seed)
        for index in range(members):
            self.add(name_of(index), 1, facts_of(index))
        full_view = make_view()
        for member in self.members.values():
            full_view.put(member.own_record)
        for id in list(full_view.transmits):
            full_view.stop_spreading(id)
        for member in self.members.values():
            member.view = make_view()
            member.view.records = dict(full_view.records)
            member.view.buckets = [set(bucket) for bucket in full_view.buckets]
            member.view.digests = list(full_view.digests)

    def bytes_sent(self) -> int:
        """Return the bytes that all live members have sent."""
        return sum(self.members[id].bytes_sent for id in self.alive())


class UpdateCost(NamedTuple):
    """Cost of spreading an update.

    Attributes:
        bytes: Bytes that each member sends for one update, beyond those of quiet periods.
        periods: Longest time until all members knew an update; -1 where some did not learn one in time.
        quiet: Bytes that each member sends in a quiet period.
    """

    bytes: float
    periods: float
    quiet: float


def update_costs(
    members: int, seed: int, updates: int = 4, make_view: Callable[[], MembershipView] = MembershipView
) -> UpdateCost:
    """Measure updates one after another, each made once the previous one is no longer spread."""
    periods = 40  # until no member spreads an update any more
    fleets = [LargeFleet(members, seed, make_view) for _ in range(2)]
    spent: list[int] = []
    took: list[float] = []
    for fleet, changes in zip(fleets, (False, True), strict=True):
        fleet.run(10 * FLEET_TIMING.period)
        bytes_before = fleet.bytes_sent()
        for index in range(updates):
            start = fleet.now
            if changes:
                id = name_of(index)
                fleet.handle(id, FactsChanged(facts_of(index, 1)))
                version = fleet.members[id].own_record.version

                def all_know(
                    fleet: SimulatedMembership = fleet, id: str = id, version: int = version
                ) -> bool:
                    return all(
                        member.view.records[id].version >= version for member in fleet.members.values()
                    )

                known = fleet.run(start + periods * FLEET_TIMING.period, all_know)
                took.append((fleet.now - start) / FLEET_TIMING.period if known else -1.0)
            fleet.run(start + periods * FLEET_TIMING.period)
        spent.append(fleet.bytes_sent() - bytes_before)
    extra = (spent[1] - spent[0]) / members / updates
    return UpdateCost(
        extra, min(took) if min(took) < 0 else max(took), spent[0] / members / updates / periods
    )


class DeathsCost(NamedTuple):
    """Cost of deaths at the same time.

    Attributes:
        periods: Time until all live members know of all deaths; -1 where they did not in time.
        bytes: Bytes that each of them sent in a period until then.
    """

    periods: float
    bytes: float


def deaths_costs(members: int, deaths: int, seed: int) -> DeathsCost:
    """Measure how a fleet learns that so many members died at the same time."""
    fleet = LargeFleet(members, seed)
    fleet.run(5 * FLEET_TIMING.period)
    dead = [name_of(index) for index in range(deaths)]
    fleet.crashed.update(dead)
    death_time, before, living = fleet.now, fleet.bytes_sent(), members - deaths

    def all_know() -> bool:
        return all(len(fleet.declared_dead.get(id, ())) >= living for id in dead)

    known = fleet.run(death_time + DEATHS_TIMEOUT * FLEET_TIMING.period, all_know)
    periods = (fleet.now - death_time) / FLEET_TIMING.period
    return DeathsCost(periods if known else -1.0, (fleet.bytes_sent() - before) / living / periods)


class HealCost(NamedTuple):
    """Cost of healing a partition.

    Attributes:
        periods: Time until all members take all for live again; -1 where they did not in time.
        bytes: Bytes that each sent in a period until then.
    """

    periods: float
    bytes: float


def heal_costs(
    members: int, partition_s: float, seed: int, seeds: bool = True, timeout: int = 600
) -> HealCost:
    """Cut a tenth of the fleet off and measure how it heals.

    Args:
        members: Size of the fleet.
        partition_s: Duration of the partition, in seconds.
        seed: Seed of all random draws.
        seeds: Whether each member has a seed on either side.
        timeout: Periods to wait for healing.
    """
    fleet = LargeFleet(members, seed)
    minority = {name_of(index) for index in range(max(1, members // 10))}
    if seeds:
        for member in fleet.members.values():
            member.seeds = name_of(0), name_of(members - 1)
    fleet.is_partitioned = lambda source, to: (source in minority) != (to in minority)
    fleet.run(int(partition_s * SECOND))
    fleet.is_partitioned = lambda source, to: False
    healed_at, before, period = fleet.now, fleet.bytes_sent(), FLEET_TIMING.period

    def all_known() -> bool:
        views = [member.view for member in fleet.members.values()]
        return all(len(view.records) == members and not view.dead_members() for view in views)

    while not all_known() and fleet.now < healed_at + timeout * period:
        fleet.run(fleet.now + period)
    periods = (fleet.now - healed_at) / period
    sent = (fleet.bytes_sent() - before) / members / max(1.0, periods)
    return HealCost(periods if all_known() else -1.0, sent)


def age_of_figures(members: int, seed: int, intervals: int = 4) -> float:
    """Return the mean age, in seconds, of what members know of each other's figures.

    Each member publishes new figures as often as a server does, every FIGURES_INTERVAL.
    """
    fleet = LargeFleet(members, seed)
    interval, step = int(FIGURES_INTERVAL * SECOND), FLEET_TIMING.period
    published: dict[str, dict[int, int]] = {
        id: {fleet.members[id].own_record.version: 0} for id in fleet.members
    }
    steps = interval // step
    for period in range(steps * intervals):
        for index in range(members):
            if index % steps == period % steps:
                id = name_of(index)
                fleet.handle(id, FactsChanged(facts_of(index, period + 1)))
                published[id][fleet.members[id].own_record.version] = fleet.now
        fleet.run(fleet.now + step)
    random, ages = Random(seed), list[int]()
    for _ in range(4000):
        observer, subject = random.sample(range(members), 2)
        known = fleet.members[name_of(observer)].view.records[name_of(subject)]
        ages.append(fleet.now - published[name_of(subject)][known.version])
    return sum(ages) / len(ages) / SECOND


# ---- the part


PER_KNOWN_INSTANCE = "instance known"
PER_INSTANCE = "instance"
PROMISED: dict[str, Shape] = {
    "member: words looked through in a quiet period": "linear",
    "member: words encoded in a quiet period": "flat",
    "member: messages sent in a quiet period": "flat",
    "member: bytes sent in a quiet period": "flat",
    "member: words encoded, a tenth new each period": "flat",  # bounded by the size of a datagram
    "member: bytes sent, a tenth new each period": "flat",
    "member: bytes to one that joins cold": "linear",
}


def member_counts(sizes: list[int], seed: int) -> list[Row]:
    """Count the costs of one member by the size of its view."""
    quiet = [period_costs(members, seed, 0) for members in sizes]
    busy = [period_costs(members, seed, members // 10, 10) for members in sizes]
    joins = [join_cost(members, seed) for members in sizes]

    def row(name: str, unit: str, values: list[float]) -> Row:
        return slopes.row(name, "count", unit, PER_KNOWN_INSTANCE, sizes, values, size("instances"))

    return [
        row("member: words looked through in a quiet period", "words", [cost.scanned for cost in quiet]),
        row("member: words encoded in a quiet period", "words", [cost.encoded for cost in quiet]),
        row("member: messages sent in a quiet period", "messages", [cost.messages for cost in quiet]),
        row("member: bytes sent in a quiet period", "bytes", [cost.bytes for cost in quiet]),
        row("member: words encoded, a tenth new each period", "words", [cost.encoded for cost in busy]),
        row("member: bytes sent, a tenth new each period", "bytes", [cost.bytes for cost in busy]),
        row("member: bytes to one that joins cold", "bytes", [float(cost.bytes) for cost in joins]),
        row(
            "member: datagrams to one that joins cold", "messages", [float(cost.datagrams) for cost in joins]
        ),
    ]


def member_costs(sizes: list[int], seed: int) -> tuple[list[Row], dict[str, Any]]:
    """Measure memory and time of one member by the size of its view."""
    loop = loop_cpu()
    seconds: dict[str, Any] = {}

    def row(name: str, kind: Kind, unit: str, values: list[float], repeats: int = 1) -> Row:
        return slopes.row(name, kind, unit, PER_KNOWN_INSTANCE, sizes, values, size("instances"), repeats)

    def timed(name: str, took: list[float]) -> Row:
        cpu_seconds_by_size = dict(zip(sizes, (round(one, 7) for one in took), strict=True))
        seconds[f"{name}, CPU seconds by size"] = cpu_seconds_by_size
        return row(name, "time", "loops", [one / loop for one in took], 3)

    held = [memory_of(partial(make_member, members, seed, False))[0] for members in sizes]
    return [
        row("member: memory of what it knows", "memory", "bytes", [float(one) for one in held]),
        timed("member: time of a quiet period", [period_time(one, seed, 0) for one in sizes]),
        timed(
            "member: time of a period, a tenth new", [period_time(one, seed, one // 10, 5) for one in sizes]
        ),
        timed("member: time of a join's answer", [join_cost(one, seed).cpu for one in sizes]),
    ], {"loop_s": loop, **seconds}


QUIET_BYTES_ROW = "fleet: bytes an instance sends in a quiet period"
SPREAD_PERIODS_ROW = "fleet: periods until all know a word"
DEATH_PERIODS_ROW = "fleet: periods until all know of deaths at once"
FLEET_PROMISED: dict[str, Shape] = {QUIET_BYTES_ROW: "flat"}
HEAL_PERIODS_ROW = "fleet: periods until it is whole after a split"
UPDATE_BYTES_ROW = "fleet: bytes an instance sends for a word that changes"


def fleet_counts(quick: bool, seed: int, tell: Callable[[str], None]) -> list[Row]:
    """Count the costs of fleets in virtual time; the same for the same seed."""
    sizes = [20, 60, 120, 200] if quick else [100, 300, 600, 1000, 2000]
    tell(f"an update, in fleets of {sizes[0]} to {sizes[-1]}")
    spreads = [update_costs(members, seed, 1 if quick else 2) for members in sizes]
    age_sizes = sizes if quick else sizes[:-1]
    tell(f"figures published to all, in fleets of {age_sizes[0]} to {age_sizes[-1]}")
    intervals = 2 if quick else 8
    ages = [age_of_figures(members, seed, intervals) for members in age_sizes]
    heal_sizes = [10, 30, 60, 100] if quick else [20, 60, 120, 200]
    tell(f"a tenth cut off and healed, in fleets of {heal_sizes[0]} to {heal_sizes[-1]}")
    heals = [heal_costs(members, 20.0 if quick else 60.0, seed) for members in heal_sizes]
    members = 200 if quick else 1000
    deaths = [2, 5, 10, 20] if quick else [10, 40, 120, 245]
    tell(f"{deaths[0]} to {deaths[-1]} of {members} die at the same time")
    losses = [deaths_costs(members, count, seed) for count in deaths]

    def row(name: str, unit: str, values: list[float], note: str = "") -> Row:
        row_sizes = sizes[: len(values)]
        return slopes.row(name, "count", unit, PER_INSTANCE, row_sizes, values, size("instances"), 1, note)

    def deaths_row(name: str, unit: str, values: list[float]) -> Row:
        note = f"of {members}; -1: not all knew in {DEATHS_TIMEOUT} periods"
        return slopes.row(name, "count", unit, "death at once", deaths, values, size("zone"), 1, note)

    def healed_row(name: str, unit: str, values: list[float]) -> Row:
        note = "a tenth cut off; -1: not whole again in the time"
        return slopes.row(name, "count", unit, PER_INSTANCE, heal_sizes, values, size("instances"), 1, note)

    steps_note = (
        f"sent on {TRANSMITS_FACTOR} times the logarithm of the fleet, rounded up: a step each tenfold"
    )
    ages_note = (
        f"each tells new ones every {FIGURES_INTERVAL:g} s, periods of {FLEET_TIMING.period / SECOND:g} s; "
        f"runs of {intervals * FIGURES_INTERVAL:g} s, so that an age near it is one at the least"
    )
    return [
        row(UPDATE_BYTES_ROW, "bytes", [cost.bytes for cost in spreads], steps_note),
        row(SPREAD_PERIODS_ROW, "periods", [cost.periods for cost in spreads]),
        row(QUIET_BYTES_ROW, "bytes", [cost.quiet for cost in spreads]),
        row("fleet: age of figures that each tells all", "s", ages, ages_note),
        healed_row(HEAL_PERIODS_ROW, "periods", [cost.periods for cost in heals]),
        healed_row("fleet: bytes sent in a period while it heals", "bytes", [cost.bytes for cost in heals]),
        deaths_row(DEATH_PERIODS_ROW, "periods", [cost.periods for cost in losses]),
        deaths_row("fleet: bytes sent in a period after deaths", "bytes", [cost.bytes for cost in losses]),
    ]


def fleet_bars(rows: list[Row]) -> dict[str, bool]:
    """Return the criteria of whole fleets."""
    by_name = {row["name"]: row for row in rows}
    return judge(rows, FLEET_PROMISED) | {
        "fleet: all know every word": min(by_name[SPREAD_PERIODS_ROW]["values"]) >= 0,
        "fleet: all know of all deaths at once": min(by_name[DEATH_PERIODS_ROW]["values"]) >= 0,
        "fleet: whole after a split": min(by_name[HEAL_PERIODS_ROW]["values"]) >= 0,
        # Grows in steps, not in a line: it doubles from the smallest fleet to one a hundred times as large.
        f"{UPDATE_BYTES_ROW}: slower than the fleet": by_name[UPDATE_BYTES_ROW]["exponent"] < 0.6,
    }


def update_bytes() -> int:
    """Return the bytes of one record."""
    return len(encode(record_of(size("instances") - 1)))


def ordinary_day() -> dict[str, Any]:
    """Return the updates and bytes of an ordinary day.

    They are derived from the constants of the state machine; nothing of it is measured here.
    """
    instances, restarts, deaths = size("instances"), size("restarts_day"), size("machines_fail_day")
    updates = restarts * UPDATES_A_RESTART + deaths * UPDATES_A_DEATH
    sends = TRANSMITS_FACTOR * max(1, ceil(log(instances + 1, 10)))
    update = update_bytes()
    figures = instances / FIGURES_INTERVAL
    # A period brings another member's ping and the answer to the own one, both as full as they may be.
    room = 2 * ((MAX_DATAGRAM_SIZE - 64) // update)
    needed = figures * PERIOD / SECOND
    return {
        "words_a_second_of_failures": round(updates / DAY, 2),
        "sends_of_a_word_at_most": sends,
        "word_bytes": update,
        "bytes_a_second_for_failures_at_most": round(updates / DAY * sends * update),
        "words_a_second_of_figures": round(figures),
        "bytes_a_second_for_figures_if_all_were_sent": round(figures * sends * update),
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


def cold_joins(join_bytes: float) -> dict[str, Any]:
    """Return the costs of a rack or zone that joins cold, every instance of it answered by one seed.

    Args:
        join_bytes: Bytes of the answer to one join.
    """
    return {
        f"{what} joins cold: megabytes": round(size(what) * join_bytes / 1e6, 1) for what in ("rack", "zone")
    } | {
        "a zone joins cold: seconds at one seed": round(size("zone") * JOIN_INTERVAL / SECOND, 1),
        "a seed that answers as often as it may: bytes a second": round(join_bytes * SECOND / JOIN_INTERVAL),
    }


def measure(quick: bool, seed: int, tell: Callable[[str], None]) -> Part:
    """Measure the part: one member, then fleets."""
    sizes = [100, 300, 1000, 3000] if quick else [100, 300, 1000, 3000, 6600, 9900]
    tell(f"members: one that knows {sizes[0]} to {sizes[-1]}")
    counts = member_counts(sizes, seed)
    costs, figures = member_costs(sizes, seed)
    fleets = fleet_counts(quick, seed, tell)
    joins = next(row for row in counts if row["name"] == "member: bytes to one that joins cold")
    figures |= {f"day: {name}": value for name, value in ordinary_day().items()} | cold_joins(
        joins["at_size"]
    )
    if not quick:
        # Dead members are no longer tried after FORGET_AFTER; only seeds can then reconnect the sides.
        for seeds in (True, False):
            tell(f"a partition longer than dead members are remembered, seeds on both sides: {seeds}")
            heal = heal_costs(12, 1.1 * FORGET_AFTER / SECOND, seed, seeds)
            figures[f"periods to heal after a split longer than FORGET_AFTER, seeds {seeds}"] = heal.periods
    bars = judge(counts, PROMISED) | fleet_bars(fleets)
    return {"rows": counts + costs + fleets, "figures": figures, "bars": bars}
