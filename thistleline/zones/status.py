"""The status of each zone, aggregated from reports of its servers and observations of others.

Bounded in memory, robust to servers that report wrong or unchanging figures; no I/O and no clock. Medians
limit what one server can claim: one that reports an endless capacity counts little more than the median's,
and one whose counters stand still while others of its zone move does not count at all.

Work is counted in cores: core-seconds a second.
"""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

SECOND = 1_000_000_000  # ns
REPORT_TTL = 10 * SECOND  # for so long a report counts
STUCK_TIMEOUT = 10 * SECOND  # a counter that stands still so long, while its zone's others move, is stuck
DEMAND_TTL = 600 * SECOND  # for so long the demand of a lost zone is still assumed
MAX_CAPACITY_FACTOR = 1.5  # times the median of its zone; what a server reports beyond is cut off
MIN_OBSERVERS = 2  # zones that have to see a zone as unhealthy before that overrides its own reports
MIN_ATTEMPTS = 20  # that an observer has to have made
GRAY_FAILURE_GAP = 0.2  # by which others see a zone worse than it says, if it is a gray failure
MAX_SERVERS = 10_000


class ServerReport(NamedTuple):
    """What a server says of itself."""

    id: str
    zone: str
    at: int  # when it was made, ns
    capacity: float  # cores of work that it finishes when busy, as measured
    finished_count: int  # tasks, since it started
    success_ratio: float  # of the tasks that it took, finished in time; by its own account
    arrivals: tuple[tuple[str, int, float], ...]  # origin zone, stage, cores of work that arrived


class StatusObservation(NamedTuple):
    """What the servers and callers of one zone saw of another."""

    observer: str  # zone
    target: str  # zone
    attempts: int
    successes: int


class ZoneStatus(NamedTuple):
    """The status of one zone."""

    name: str
    capacity: float  # cores of work that it can finish in time
    servers: int  # that count
    uncertainty: float  # fraction of its servers that do not report, or whose reports do not count
    health: float  # the lower of what its servers say and what others see, 0 to 1
    gray_failure: bool  # others see it much worse than it says


class FleetStatus(NamedTuple):
    """The status of all zones, and the demand."""

    zones: dict[str, ZoneStatus]
    demand: dict[tuple[str, int], float]  # cores, by origin zone and stage

    @property
    def capacity(self) -> float:
        """Cores of work that all zones can finish in time."""
        return sum(zone.capacity for zone in self.zones.values())


class FleetStatusTracker:
    """Stores the latest report of each server and the latest observation of each pair of zones."""

    def __init__(self, zones: Iterable[str]) -> None:
        """Track the zones of these names and no others."""
        self.names = tuple(zones)
        self.reports: dict[str, ServerReport] = {}  # by server id
        self.progressed_at: dict[str, int] = {}  # when a server's counter last moved, ns
        self.observations: dict[tuple[str, str], StatusObservation] = {}  # by observer and target
        self.last_demand: dict[tuple[str, int], tuple[float, int]] = {}  # and when its zone was there, ns

    def add_report(self, report: ServerReport) -> None:
        """Take in a server's report; one of an unknown zone is ignored."""
        known = self.reports.get(report.id)
        if report.zone not in self.names or (known is None and len(self.reports) >= MAX_SERVERS):
            return
        if known is None or report.finished_count != known.finished_count:
            self.progressed_at[report.id] = report.at
        if known is None or report.at >= known.at:
            self.reports[report.id] = report

    def add_observation(self, observation: StatusObservation) -> None:
        """Take in what one zone saw of another."""
        observer, target = observation.observer, observation.target
        if observer in self.names and target in self.names and observer != target:
            self.observations[observer, target] = observation

    def status(self, now: int) -> FleetStatus:
        """Return the status of all zones at time `now` (ns)."""
        zones: dict[str, ZoneStatus] = {}
        demand: dict[tuple[str, int], float] = {}
        for name in self.names:
            reports = [report for report in self.reports.values() if report.zone == name]
            credible = self._credible(reports, now)
            zones[name] = self._zone_status(name, reports, credible)
            for report in credible:
                for origin, stage, work in report.arrivals:
                    if origin in self.names and work > 0:
                        demand[origin, stage] = demand.get((origin, stage), 0.0) + work
        self._assume_demand_of_lost_zones(zones, demand, now)
        return FleetStatus(zones, demand)

    def _credible(self, reports: list[ServerReport], now: int) -> list[ServerReport]:
        """Return the reports of a zone that are neither too old nor stuck."""
        fresh = [report for report in reports if now - report.at <= REPORT_TTL]
        moving = [report for report in fresh if now - self.progressed_at[report.id] <= STUCK_TIMEOUT]
        # Where no counter moves none is stuck: there is no traffic.
        return moving or fresh

    def _assume_demand_of_lost_zones(
        self, zones: dict[str, ZoneStatus], demand: dict[tuple[str, int], float], now: int
    ) -> None:
        """Prevent a lost zone from being taken for one without demand.

        Nobody reports what arrived at a zone that is gone, and what others receive of it is only a part.
        """
        for (origin, stage), work in demand.items():
            if zones[origin].servers:
                self.last_demand[origin, stage] = work, now
        for (origin, stage), (work, at) in self.last_demand.items():
            if not zones[origin].servers and now - at <= DEMAND_TTL:
                demand[origin, stage] = max(work, demand.get((origin, stage), 0.0))

    def _zone_status(
        self, name: str, reports: list[ServerReport], credible: list[ServerReport]
    ) -> ZoneStatus:
        if not credible:
            return ZoneStatus(name, capacity=0.0, servers=0, uncertainty=1.0, health=0.0, gray_failure=False)
        max_capacity = MAX_CAPACITY_FACTOR * median(report.capacity for report in credible)
        capacity = sum(min(max(0.0, report.capacity), max_capacity) for report in credible)
        reported_health = median(min(1.0, max(0.0, report.success_ratio)) for report in credible)
        observed_health = self._observed_health(name)
        health = reported_health if observed_health is None else min(reported_health, observed_health)
        return ZoneStatus(
            name=name,
            capacity=capacity * health,
            servers=len(credible),
            uncertainty=1.0 - len(credible) / len(reports),
            health=health,
            gray_failure=observed_health is not None and observed_health < reported_health - GRAY_FAILURE_GAP,
        )

    def _observed_health(self, name: str) -> float | None:
        """Return the median of the observers' success ratios, None if too few have seen enough.

        A zone that alone sees another as unhealthy may be unhealthy itself, or cut off.
        """
        ratios = [
            observation.successes / observation.attempts
            for (_, target), observation in self.observations.items()
            if target == name and observation.attempts >= MIN_ATTEMPTS
        ]
        return median(ratios) if len(ratios) >= MIN_OBSERVERS else None
