"""Membership in virtual time: how soon deaths are detected, false positives, healing of partitions, traffic.

A discrete-event simulation of the gossip reducers that run in production, without I/O: datagrams with delay
and loss, stalled members, crashes, partitions. The oracle is the simulation itself, as it
knows which members are alive. Times are in nanoseconds of a simulated clock; the figures count gossip
periods.
"""

import statistics
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from thistleline.membership.effects import MemberChanged, SendMessage
from thistleline.membership.events import GossipEvent, MessageReceived
from thistleline.membership.gossip import MS, SECOND, Gossip, GossipTiming
from thistleline.membership.messages import DEAD, MemberFacts, MemberRecord
from thistleline.reducer.events import DeadlineReached

TIMING = GossipTiming(period=500 * MS, ack_timeout=150 * MS)


class ScheduledEvent(NamedTuple):
    """An entry of the event queue; entries of the same time are handled in the order they were scheduled."""

    time: int  # ns
    sequence: int
    id: str
    event: GossipEvent


class SimulatedMembership:
    """Members m0, m1, ... that all know each other at the start, and the event queue that drives them."""

    def __init__(self, members: int, seed: int, loss: float = 0.0, delay: tuple[int, int] = (1, 10)) -> None:
        """Make the members.

        Args:
            members: How many.
            seed: Of all random draws.
            loss: Probability that a datagram is lost.
            delay: Least and most of a datagram, ms.
        """
        self.rng = Random(seed)
        self.loss = loss
        self.delay = delay
        self.now = 0
        self.queue: list[ScheduledEvent] = []
        self.scheduled = 0
        self.members: dict[str, Gossip] = {}
        self.crashed: set[str] = set()
        self.stalled: dict[str, int] = {}  # time until which a member handles no events, ns
        self.is_partitioned: Callable[[str, str], bool] = lambda source, target: False
        # By member, then by observer: since when the observer considers the member dead, or alive again; ns.
        self.declared_dead: dict[str, dict[str, int]] = {}
        self.returned: dict[str, dict[str, int]] = {}
        facts = MemberFacts("1", 1, "z", 0, True, True, (1, 2, 3))
        for index in range(members):
            self.add(f"m{index}", 1, facts)
        records = [member.own_record for member in self.members.values()]
        for member in self.members.values():
            for record in records:
                if record.id != member.id:
                    member.view.put(record)
            for record in records:
                member.view.stop_spreading(record.id)  # all members know the record

    def add(self, id: str, incarnation: int, facts: MemberFacts, seeds: tuple[str, ...] = ()) -> Gossip:
        """Add a member, or the next incarnation of one that crashed."""
        member = self.members[id] = Gossip(
            id, id, incarnation, facts, seeds, self.now, TIMING, Random(self.rng.getrandbits(64))
        )
        self.crashed.discard(id)
        self._schedule(member.next_deadline(), id, DeadlineReached())
        return member

    def _schedule(self, time: int, id: str, event: GossipEvent) -> None:
        self.scheduled += 1
        heappush(self.queue, ScheduledEvent(time, self.scheduled, id, event))

    def handle(self, id: str, event: GossipEvent) -> None:
        """Let a member handle an event now."""
        for effect in self.members[id].handle(self.now, event):
            match effect:
                case SendMessage():
                    lost = self.rng.random() < self.loss or self.is_partitioned(id, effect.address)
                    if not lost and effect.address in self.members:
                        arrival = self.now + self.rng.randint(*self.delay) * MS
                        self._schedule(arrival, effect.address, MessageReceived(id, effect.message))
                case MemberChanged():
                    self._record_change(id, effect.record, effect.previous)

    def _record_change(self, by: str, record: MemberRecord, previous: MemberRecord | None) -> None:
        was_dead = previous is not None and previous.status >= DEAD
        if record.status >= DEAD and not was_dead:
            self.declared_dead.setdefault(record.id, {}).setdefault(by, self.now)
            self.returned.get(record.id, {}).pop(by, None)
        elif record.status < DEAD and was_dead:
            self.returned.setdefault(record.id, {})[by] = self.now

    def run(self, until: int, is_over: Callable[[], bool] = lambda: False) -> bool:
        """Run the queue to a time (ns), or until a condition holds; return whether it holds.

        The condition is checked at every 256th event.
        """
        handled = 0
        while self.queue and self.queue[0].time <= until:
            handled += 1
            if handled % 256 == 0 and is_over():
                return True
            self.now, _, id, event = heappop(self.queue)
            if id not in self.crashed:
                self._dispatch(id, event)
        self.now = max(self.now, until)
        return is_over()

    def _dispatch(self, id: str, event: GossipEvent) -> None:
        """Let a member handle an event of the queue, once it is no longer stalled."""
        stalled_until = self.stalled.get(id, 0)
        if stalled_until > self.now:
            self._schedule(stalled_until + 1, id, event)
        elif isinstance(event, DeadlineReached):
            member = self.members[id]
            if self.now >= member.next_deadline():
                self.handle(id, event)
            self._schedule(max(member.next_deadline(), self.now + MS), id, event)
        else:
            self.handle(id, event)

    def alive(self) -> list[str]:
        """Return the members that have not crashed."""
        return [id for id in self.members if id not in self.crashed]

    def believing_dead(self, id: str) -> set[str]:
        """Return the living members that consider a member dead."""
        return {by for by in self.alive() if by != id and self.members[by].view.records[id].status >= DEAD}


def detect_crash(members: int, seed: int) -> dict[str, float]:
    """Return the periods from a crash until the first member, half and all know; `all` is -1 if never."""
    fleet = SimulatedMembership(members, seed)
    fleet.run(5 * SECOND)
    fleet.crashed.add("m0")
    crashed_at = fleet.now
    fleet.run(crashed_at + 120 * SECOND, lambda: len(fleet.declared_dead.get("m0", {})) == members - 1)
    times = sorted((at - crashed_at) / TIMING.period for at in fleet.declared_dead.get("m0", {}).values())
    all_know = len(times) == members - 1
    return {"first": times[0], "half": times[len(times) // 2], "all": times[-1] if all_know else -1.0}


def count_false_deaths(members: int, seed: int, loss: float, stalls: bool, seconds: int) -> dict[str, float]:
    """Count the living members that any other considered dead, and measure the traffic.

    Args:
        members: How many.
        seed: Of all random draws.
        loss: Probability that a datagram is lost.
        stalls: Whether a tenth of the members stalls at random times.
        seconds: Of virtual time.
    """
    fleet = SimulatedMembership(members, seed, loss)
    slow = fleet.rng.sample(sorted(fleet.members), members // 10) if stalls else []
    before = sum(one.bytes_sent for one in fleet.members.values())
    for _ in range(seconds):
        for id in slow:
            if fleet.rng.random() < 0.3:
                fleet.stalled[id] = fleet.now + fleet.rng.randrange(2 * SECOND)
        fleet.run(fleet.now + SECOND)
    sent = sum(one.bytes_sent for one in fleet.members.values()) - before
    well = [id for id in fleet.declared_dead if id not in slow]
    return {
        "taken_for_dead": len(fleet.declared_dead),
        "of_these_well": len(well),
        "bytes_a_member_a_second": round(sent / members / seconds),
    }


def partition(members: int, seed: int, seconds: int) -> dict[str, float]:
    """Partition the members into halves, heal, and measure the recovery.

    Returns:
        parted: The share of pairs across the partition in which one considers the other dead. healed_after:
        periods from healing until no member is considered dead; -1 if never.
    """
    fleet = SimulatedMembership(members, seed)
    half = {f"m{index}" for index in range(members // 2)}
    fleet.is_partitioned = lambda source, target: (source in half) != (target in half)
    fleet.run(seconds * SECOND)
    parted = sum(len(fleet.believing_dead(id)) for id in fleet.members) / members / (members - len(half))
    fleet.is_partitioned = lambda source, target: False
    healed_at = fleet.now

    def is_healed() -> bool:
        return all(not fleet.believing_dead(id) for id in fleet.members)

    recovered = False
    while not recovered and fleet.now < healed_at + 300 * SECOND:
        recovered = fleet.run(fleet.now + SECOND, lambda: False) or is_healed()
    healed_after = (fleet.now - healed_at) / TIMING.period if recovered else -1
    return {"parted": round(parted, 2), "healed_after": healed_after}


def summarize(times: list[float]) -> dict[str, float]:
    """Return the median, least and most."""
    times = sorted(times)
    least, most = round(times[0], 1), round(times[-1], 1)
    return {"p50": round(statistics.median(times), 1), "least": least, "most": most}


def figures(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Return the figures by fleet size."""
    found: dict[str, Any] = {}
    for members in (30, 100) if quick else (30, 300, 1000):
        runs = 3 if quick else (20 if members < 1000 else 5)
        progress(f"{members} members: crashes")
        detection_times = [detect_crash(members, seed + run) for run in range(runs)]
        size_figures: dict[str, Any] = {
            f"death, {part} know, periods": summarize([one[part] for one in detection_times])
            for part in ("first", "half", "all")
        }
        progress(f"{members} members: loss and stalls")
        seconds = 20 if quick else 60
        for loss, stalls in ((0.0, False), (0.2, False), (0.2, True)):
            name = f"loss {loss:.0%}" + (", a tenth stalls" if stalls else "")
            sums: Counter[str] = Counter()
            for run in range(max(1, runs // 5)):
                sums.update(count_false_deaths(members, seed + run, loss, stalls, seconds))
            size_figures[name] = {what: round(value / max(1, runs // 5), 1) for what, value in sums.items()}
        progress(f"{members} members: partition")
        size_figures["a split"] = partition(members, seed, 30 if quick else 60)
        found[f"{members} members"] = size_figures
    return found


def run(quick: bool, seed: int, progress: Callable[[str], None]) -> dict[str, Any]:
    """Run all sizes; return the figures, the criteria and whether all held."""
    found = figures(quick, seed, progress)
    bars: dict[str, bool] = {}
    for name, size_figures in found.items():
        bars[f"{name}: every death known to all"] = size_figures["death, all know, periods"]["least"] > 0
        bars[f"{name}: none taken for dead without loss"] = size_figures["loss 0%"]["taken_for_dead"] == 0
        bars[f"{name}: a split heals"] = size_figures["a split"]["healed_after"] >= 0
    sizes = [size_figures["loss 0%"]["bytes_a_member_a_second"] for size_figures in found.values()]
    bars["bytes a member flat in the fleet's size, within a half"] = max(sizes) <= 1.5 * min(sizes)
    return {"figures": found, "bars": bars, "held": all(bars.values())}
