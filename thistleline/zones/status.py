"""What is known of each zone, summed up from what its servers and others say: bounded, and robust to those
that lie or are stuck. No I/O, no clock.

Work is counted in cores: core-seconds a second. Of a figure's middle more is held than of its ends: a server
that reports endless room gets little over the median's, one that says the same while others move gets none.
"""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

SECOND = 1_000_000_000
FRESH_SPAN = 10 * SECOND  # a report is believed for so long
STUCK_SPAN = 10 * SECOND  # a count that stands still for so long, while its zone's others move, is stuck
KEEP_SPAN = 600 * SECOND  # so long what came to a zone that is lost is still taken to come
LIAR = 1.5  # times the median of its zone; what is said beyond is cut off there
OBSERVERS_LEAST = 2  # zones that have to see a zone ill, before that counts against its own word
LOOKS_LEAST = 20  # tries that an observer has to have seen
SERVERS_BOUND = 10_000


class Report(NamedTuple):
    """What a server says of itself."""

    id: str
    zone: str
    at: int  # when it was said, ns
    capacity: float  # cores' worth of work that it finishes when busy, as measured
    finished: int  # tasks, since it started
    inside: float  # part of what it took that it finished in time, by itself
    came: tuple[tuple[str, int, float], ...]  # origin zone, stage, work that came: cores


class Look(NamedTuple):
    """What one zone's servers and callers saw of another's."""

    by: str  # zone
    of: str
    tries: int
    good: int


class Zone(NamedTuple):
    name: str
    room: float  # cores of work that it can finish in time
    servers: int  # that count
    doubt: float  # part of its servers that are not heard of, or not believed
    health: float  # the lower of what insiders say and others see
    grey: bool  # others see it much worse than it says


class Picture(NamedTuple):
    zones: dict[str, Zone]
    demand: dict[tuple[str, int], float]  # by origin and stage: cores

    @property
    def room(self) -> float:
        return sum(zone.room for zone in self.zones.values())


class Pictures:
    """Keeps the last word of each server."""

    def __init__(self, zones: Iterable[str]) -> None:
        self.names = tuple(zones)
        self.reports: dict[str, Report] = {}
        self.moved: dict[str, int] = {}  # when a server's count last moved
        self.looks: dict[tuple[str, str], Look] = {}
        self.last: dict[tuple[str, int], tuple[float, int]] = {}  # demand, and when it was whole

    def take(self, report: Report) -> None:
        known = self.reports.get(report.id)
        if report.zone not in self.names or (known is None and len(self.reports) >= SERVERS_BOUND):
            return
        if known is None or report.finished != known.finished:
            self.moved[report.id] = report.at
        if known is None or report.at >= known.at:
            self.reports[report.id] = report

    def look(self, look: Look) -> None:
        if look.by in self.names and look.of in self.names and look.by != look.of:
            self.looks[look.by, look.of] = look

    def picture(self, now: int) -> Picture:
        zones: dict[str, Zone] = {}
        demand: dict[tuple[str, int], float] = {}
        for name in self.names:
            here = [one for one in self.reports.values() if one.zone == name]
            fresh = [one for one in here if now - one.at <= FRESH_SPAN]
            moving = [one for one in fresh if now - self.moved[one.id] <= STUCK_SPAN]
            # Where nobody moves nobody is stuck: nothing comes.
            believed = moving or fresh
            zones[name] = self._zone(name, here, believed)
            for one in believed:
                for origin, stage, work in one.came:
                    if origin in self.names and work > 0:
                        demand[origin, stage] = demand.get((origin, stage), 0.0) + work
        for (origin, stage), work in demand.items():
            if zones[origin].servers:
                self.last[origin, stage] = work, now
        for (origin, stage), (work, at) in self.last.items():
            # What came to a zone that is gone tells nobody any more; what others get of it is a part. Guards
            # against a lost zone being taken for one that wants nothing.
            if not zones[origin].servers and now - at <= KEEP_SPAN:
                demand[origin, stage] = max(work, demand.get((origin, stage), 0.0))
        return Picture(zones, demand)

    def _zone(self, name: str, here: list[Report], believed: list[Report]) -> Zone:
        if not believed:
            return Zone(name, 0.0, 0, 1.0, 0.0, False)
        middle = median(one.capacity for one in believed)
        capacity = sum(min(max(0.0, one.capacity), LIAR * middle) for one in believed)
        inside = median(min(1.0, max(0.0, one.inside)) for one in believed)
        outside = self._seen(name)
        health = inside if outside is None else min(inside, outside)
        grey = outside is not None and outside < inside - 0.2
        doubt = 1.0 - len(believed) / len(here)
        return Zone(name, capacity * health, len(believed), doubt, health, grey)

    def _seen(self, name: str) -> float | None:
        """By the median of the zones that saw enough; none where too few did: one that sees a zone ill alone
        may be ill itself, or cut off."""
        parts = [
            look.good / look.tries
            for (_, of), look in self.looks.items()
            if of == name and look.tries >= LOOKS_LEAST
        ]
        return median(parts) if len(parts) >= OBSERVERS_LEAST else None
