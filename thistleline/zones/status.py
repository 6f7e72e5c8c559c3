"""The status of each zone, aggregated from reports of its servers and observations by other zones.

No I/O and no clock. Memory is bounded, and servers that report wrong or unchanging metrics have little
effect: a reported capacity is capped at a multiple of the zone's median, and a server whose counter does not
change while those of other servers in its zone do is ignored.

Work is measured in cores: core-seconds per second.
"""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

SECOND = 1_000_000_000  # ns
REPORT_TTL = 10 * SECOND  # older reports are ignored
STUCK_TIMEOUT = 10 * SECOND  # a counter unchanged for longer is stuck if others in its zone change
DEMAND_TTL = 600 * SECOND  # time for which the last known demand of a lost zone is assumed
MAX_CAPACITY_FACTOR = 1.5  # cap of a server's reported capacity, as a multiple of its zone's median
MIN_OBSERVERS = 2  # zones whose observations are needed to override a zone's own reports
MIN_ATTEMPTS = 20  # attempts of an observer at a zone; with fewer its observation is ignored
GRAY_FAILURE_GAP = 0.2  # a gray failure: observed health is lower than reported health by more than this
MAX_SERVERS = 10_000


class ServerReport(NamedTuple):
    """A server's report of its own state."""

    id: str
    zone: str
    at: int  # time of the report, ns
    capacity: float  # cores of work that it finishes when busy, as measured
    finished_count: int  # tasks since the server started
    success_ratio: float  # fraction of accepted tasks that finished in time, as reported by the server
    arrivals: tuple[tuple[str, int, float], ...]  # origin zone, stage, cores of arriving work


class StatusObservation(NamedTuple):
    """Success counts of attempts that servers and clients of one zone made at another."""

    observer: str  # zone whose servers and clients made the attempts
    target: str  # zone at which the attempts were made
    attempts: int
    successes: int


class ZoneStatus(NamedTuple):
    """The status of one zone."""

    name: str
    capacity: float  # cores of work that it can finish in time
    servers: int  # number of servers with a credible report
    uncertainty: float  # fraction of its servers without a credible report
    health: float  # the lower of its servers' reported and other zones' observed success ratio, 0 to 1
    gray_failure: bool  # the observed health is much lower than the reported one


class FleetStatus(NamedTuple):
    """The status of all zones, and the demand by origin zone and stage."""

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
        self.progressed_at: dict[str, int] = {}  # time at which a server's counter last changed, ns
        self.observations: dict[tuple[str, str], StatusObservation] = {}  # by observer and target
        self.last_demand: dict[
            tuple[str, int], tuple[float, int]
        ] = {}  # demand in cores, and when its zone last had servers, ns

    def add_report(self, report: ServerReport) -> None:
        """Store a server's report; a report from an unknown zone is ignored."""
        known = self.reports.get(report.id)
        if report.zone not in self.names or (known is None and len(self.reports) >= MAX_SERVERS):
            return
        if known is None or report.finished_count != known.finished_count:
            self.progressed_at[report.id] = report.at
        if known is None or report.at >= known.at:
            self.reports[report.id] = report

    def add_observation(self, observation: StatusObservation) -> None:
        """Store what one zone observed of another."""
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
        """Return the reports of a zone that are neither too old nor from a stuck server."""
        fresh = [report for report in reports if now - report.at <= REPORT_TTL]
        changing = [report for report in fresh if now - self.progressed_at[report.id] <= STUCK_TIMEOUT]
        # If no counter changes, there is no traffic, and no server counts as stuck.
        return changing or fresh

    def _assume_demand_of_lost_zones(
        self, zones: dict[str, ZoneStatus], demand: dict[tuple[str, int], float], now: int
    ) -> None:
        """Assume the last known demand of zones without servers, which would otherwise appear to have none.

        No server reports the arrivals at a lost zone, and other zones receive only a part of its traffic.
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
        """Return the median of the observers' success ratios, None if too few made enough attempts.

        A single observer that sees a zone as unhealthy may itself be unhealthy or cut off.
        """
        ratios = [
            observation.successes / observation.attempts
            for (_, target), observation in self.observations.items()
            if target == name and observation.attempts >= MIN_ATTEMPTS
        ]
        return median(ratios) if len(ratios) >= MIN_OBSERVERS else None
