"""Members in virtual time: how soon a death is known, how often a living one is taken for dead, what a split
leaves behind, and what it costs. The reducers that run, datagrams with delay and loss, stalls, no I/O."""

import statistics
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from thistleline.membership.effects import MemberChanged, SendMessage
from thistleline.membership.events import DeadlineReached, GossipEvent, MessageReceived
from thistleline.membership.gossip import MS, SECOND, Gossip, GossipTiming
from thistleline.membership.messages import DEAD, MemberFacts, MemberRecord

SPANS = GossipTiming(period=500 * MS, ack_timeout=150 * MS)


class VirtualFleet:
    def __init__(self, members: int, seed: int, loss: float = 0.0, delay: tuple[int, int] = (1, 10)) -> None:
        """`delay` in ms, least and most of a datagram. All know of all at the start."""
        self.chance, self.loss, self.delay = Random(seed), loss, delay
        self.now = 0
        self.queue: list[tuple[int, int, str, GossipEvent]] = []
        self.count = 0
        self.members: dict[str, Gossip] = {}
        self.silent: set[str] = set()
        self.stalled: dict[str, int] = {}  # who stands still, until when
        self.cut: Callable[[str, str], bool] = lambda source, to: False
        self.known: dict[str, dict[str, int]] = {}  # by who was taken for dead: who took it so, when
        self.returned: dict[str, dict[str, int]] = {}
        facts = MemberFacts("1", 1, "z", 0, True, True, (1, 2, 3))
        for place in range(members):
            self.add(f"m{place}", 1, facts)
        words = [one.own_record for one in self.members.values()]
        for one in self.members.values():
            for word in words:
                if word.id != one.id:
                    one.view.put(word)
            for word in words:
                one.view.stop_spreading(word.id)  # nothing of it is news

    def add(self, id: str, incarnation: int, facts: MemberFacts, seeds: tuple[str, ...] = ()) -> Gossip:
        one = self.members[id] = Gossip(
            id, id, incarnation, facts, seeds, self.now, SPANS, Random(self.chance.getrandbits(64))
        )
        self.silent.discard(id)
        self._at(one.next_deadline(), id, DeadlineReached())
        return one

    def _at(self, when: int, id: str, event: GossipEvent) -> None:
        self.count += 1
        heappush(self.queue, (when, self.count, id, event))

    def put(self, id: str, event: GossipEvent) -> None:
        one = self.members[id]
        for effect in one.handle(self.now, event):
            if isinstance(effect, SendMessage):
                lost = self.chance.random() < self.loss or self.cut(id, effect.address)
                if not lost and effect.address in self.members:
                    due = self.now + self.chance.randint(*self.delay) * MS
                    self._at(due, effect.address, MessageReceived(id, effect.message))
            elif isinstance(effect, MemberChanged):
                self._changed(id, effect.record, effect.previous)

    def _changed(self, by: str, word: MemberRecord, before: MemberRecord | None) -> None:
        was = before is not None and before.status >= DEAD
        if word.status >= DEAD and not was:
            self.known.setdefault(word.id, {}).setdefault(by, self.now)
            self.returned.get(word.id, {}).pop(by, None)
        elif word.status < DEAD and was:
            self.returned.setdefault(word.id, {})[by] = self.now

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> bool:
        turns = 0
        while self.queue and self.queue[0][0] <= until:
            turns += 1
            if turns % 256 == 0 and over():
                return True
            self.now, _, id, event = heappop(self.queue)
            if id in self.silent:
                continue
            until_then = self.stalled.get(id, 0)
            if until_then > self.now:
                self._at(until_then + 1, id, event)  # read once it goes on, in order
                continue
            if isinstance(event, DeadlineReached):
                one = self.members[id]
                if self.now >= one.next_deadline():
                    self.put(id, event)
                self._at(max(one.next_deadline(), self.now + MS), id, event)
            else:
                self.put(id, event)
        self.now = max(self.now, until)
        return over()

    def alive(self) -> list[str]:
        return [id for id in self.members if id not in self.silent]

    def takes_for_dead(self, id: str) -> set[str]:
        return {by for by in self.alive() if by != id and self.members[by].view.records[id].status >= DEAD}


def death(members: int, seed: int) -> dict[str, float]:
    """Periods from a death till the first knows, half, and all."""
    fleet = VirtualFleet(members, seed)
    fleet.run(5 * SECOND)
    fleet.silent.add("m0")
    died = fleet.now
    fleet.run(died + 120 * SECOND, lambda: len(fleet.known.get("m0", {})) == members - 1)
    times = sorted((at - died) / SPANS.period for at in fleet.known.get("m0", {}).values())
    all_know = len(times) == members - 1
    return {"first": times[0], "half": times[len(times) // 2], "all": times[-1] if all_know else -1.0}


def false_deaths(members: int, seed: int, loss: float, stalls: bool, seconds: int) -> dict[str, float]:
    """Living members that anybody took for dead, under loss, with a tenth that stands still now and then."""
    fleet = VirtualFleet(members, seed, loss)
    slow = fleet.chance.sample(sorted(fleet.members), members // 10) if stalls else []
    before = sum(one.bytes_sent for one in fleet.members.values())
    for _ in range(seconds):
        for id in slow:
            if fleet.chance.random() < 0.3:
                fleet.stalled[id] = fleet.now + fleet.chance.randrange(2 * SECOND)
        fleet.run(fleet.now + SECOND)
    sent = sum(one.bytes_sent for one in fleet.members.values()) - before
    well = [id for id in fleet.known if id not in slow]
    return {
        "taken_for_dead": len(fleet.known),
        "of_these_well": len(well),
        "bytes_a_member_a_second": round(sent / members / seconds),
    }


def split(members: int, seed: int, seconds: int) -> dict[str, float]:
    """Two halves that don't hear each other; how long after it heals all know all again, in periods."""
    fleet = VirtualFleet(members, seed)
    half = {f"m{place}" for place in range(members // 2)}
    fleet.cut = lambda source, to: (source in half) != (to in half)
    fleet.run(seconds * SECOND)
    parted = sum(len(fleet.takes_for_dead(id)) for id in fleet.members) / members / (members - len(half))
    fleet.cut = lambda source, to: False
    healed = fleet.now

    def whole() -> bool:
        return all(not fleet.takes_for_dead(id) for id in fleet.members)

    came = False
    while not came and fleet.now < healed + 300 * SECOND:
        came = fleet.run(fleet.now + SECOND, lambda: False) or whole()
    return {"parted": round(parted, 2), "healed_after": (fleet.now - healed) / SPANS.period if came else -1}


def spread_of(times: list[float]) -> dict[str, float]:
    times = sorted(times)
    least, most = round(times[0], 1), round(times[-1], 1)
    return {"p50": round(statistics.median(times), 1), "least": least, "most": most}


def figures(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for members in (30, 100) if quick else (30, 300, 1000):
        runs = 3 if quick else (20 if members < 1000 else 5)
        tell(f"{members} members: deaths")
        deaths = [death(members, seed + run) for run in range(runs)]
        told: dict[str, Any] = {
            f"death, {word} know, periods": spread_of([one[word] for one in deaths])
            for word in ("first", "half", "all")
        }
        tell(f"{members} members: loss and stalls")
        seconds = 20 if quick else 60
        for loss, stalls in ((0.0, False), (0.2, False), (0.2, True)):
            name = f"loss {loss:.0%}" + (", a tenth stalls" if stalls else "")
            sums: Counter[str] = Counter()
            for run in range(max(1, runs // 5)):
                sums.update(false_deaths(members, seed + run, loss, stalls, seconds))
            told[name] = {word: round(value / max(1, runs // 5), 1) for word, value in sums.items()}
        tell(f"{members} members: a split")
        told["a split"] = split(members, seed, 30 if quick else 60)
        found[f"{members} members"] = told
    return found


def run(quick: bool, seed: int, tell: Callable[[str], None]) -> dict[str, Any]:
    """All figures, bars and whether they held."""
    found = figures(quick, seed, tell)
    bars: dict[str, bool] = {}
    for name, told in found.items():
        bars[f"{name}: every death known to all"] = told["death, all know, periods"]["least"] > 0
        bars[f"{name}: none taken for dead without loss"] = told["loss 0%"]["taken_for_dead"] == 0
        bars[f"{name}: a split heals"] = told["a split"]["healed_after"] >= 0
    sizes = [told["loss 0%"]["bytes_a_member_a_second"] for told in found.values()]
    bars["bytes a member flat in the fleet's size, within a half"] = max(sizes) <= 1.5 * min(sizes)
    return {"figures": found, "bars": bars, "held": all(bars.values())}
