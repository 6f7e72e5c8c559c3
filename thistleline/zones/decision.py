"""Decides the routing table from the fleet's status and the previous table.

No I/O, no clock and no randomness. The principles:

- Traffic stays in its zone of origin while that is safe: a zone spills only the work that it can't finish in
  time, work of the least utility first, to the nearest zone with spare capacity.
- A receiver takes no more than its capacity minus a reserve for the loss of a part of its servers.
- No chains: a zone that spills receives nothing, and a zone that receives spills nothing.
- The traffic to a receiver grows in steps, as it warms up; traffic returns more slowly than it left.
- A slowdown of most zones together moves nothing, and without spare capacity all traffic stays in its zone:
  shedding load is each server's own decision.
- A table is replaced only if the new one differs significantly.
"""

from thistleline.zones.routing import RoutingRules, RoutingTable, TrafficShare
from thistleline.zones.status import FleetStatus, ZoneStatus

SPILL_UTILIZATION = 0.95  # share of a zone's capacity; a zone with more work moves some to other zones
RETURN_UTILIZATION = 0.80  # share of a zone's capacity; traffic returns if the zone's work then stays below
RESERVE = 0.15  # share of a receiver's capacity that is kept free, as some of its servers may be lost
RECEIVE_STEP = 0.20  # share of a receiver's capacity by which its received work may grow in one decision
RETURN_STEP = 0.05  # share of the origin's demand that may return to the origin in one decision
STABLE_DECISIONS = 3  # consecutive decisions that must favour the return of traffic before it begins
SLOWDOWN_RATIO = 0.80  # share of a zone's usual capacity; a zone with less counts as slowed down
LOST_RATIO = 0.10  # share of a zone's usual capacity; with less, the zone is lost, whatever other zones do
MIN_CHANGE = 0.02  # share of a zone's demand; smaller changes of its traffic are ignored
MAX_UNCERTAINTY = 0.5  # share of servers without a credible report; a zone with more receives nothing
USUAL_WEIGHT = 0.9  # weight of the previous average in the moving average of a zone's capacity
CURRENT_WEIGHT = 0.1  # weight of the current capacity in that average
FRACTION_DIGITS = 3  # decimal places of the fractions and capacities in a table

Flows = dict[tuple[str, int, str], float]  # cores of moved work, by origin, stage and receiver


class ZoneDecider:
    """Decides the routing table for each new fleet status; another instance can continue from the table.

    Attributes:
        rules: The operators' rules of the installation.
        table: The table in force.
        stable_decisions: Number of consecutive decisions that favoured the return of traffic, by zone.
        usual_capacity: Moving average of each zone's capacity, cores.
    """

    def __init__(self, rules: RoutingRules, table: RoutingTable) -> None:
        """Continue from `table`."""
        self.rules = rules
        self.table = table
        self.stable_decisions: dict[str, int] = {}
        self.usual_capacity: dict[str, float] = dict(table.capacities)

    def decide(self, status: FleetStatus) -> RoutingTable:
        """Return the table that is in force from now on: the current one or a new one."""
        zones = status.zones
        slowdown = self._is_common_slowdown(zones)
        self._update_usual_capacity(zones, slowdown)
        if slowdown:
            return self.table
        demand = {
            name: sum(work for (origin, _), work in status.demand.items() if origin == name) for name in zones
        }
        flows = self._current_flows(status)
        self._spill(status, demand, flows)
        self._return_traffic(status, demand, flows)
        self._limit_receivers(status, demand, flows)
        return self._next_table(status, flows)

    # ---- common slowdowns

    def _is_common_slowdown(self, zones: dict[str, ZoneStatus]) -> bool:
        """Return whether most zones lost capacity together, as by a fault of a shared dependency.

        The loss of a whole zone is not attributed to such a fault.
        """
        known = [(zone, self.usual_capacity.get(name, 0.0)) for name, zone in zones.items()]
        known = [(zone, usual) for zone, usual in known if usual > 0]
        slowed = [zone for zone, usual in known if zone.capacity < SLOWDOWN_RATIO * usual]
        lost = [zone for zone, usual in known if zone.capacity < LOST_RATIO * usual]
        return len(known) > 1 and 2 * len(slowed) > len(known) and not lost

    def _update_usual_capacity(self, zones: dict[str, ZoneStatus], slowdown: bool) -> None:
        """Update the moving averages, except during a slowdown, which must not become the usual capacity."""
        for name, zone in zones.items():
            usual = self.usual_capacity.get(name)
            if usual is None:
                self.usual_capacity[name] = zone.capacity
            elif not slowdown and zone.capacity >= SLOWDOWN_RATIO * usual:
                self.usual_capacity[name] = USUAL_WEIGHT * usual + CURRENT_WEIGHT * zone.capacity

    # ---- the flows

    def _current_flows(self, status: FleetStatus) -> Flows:
        """Return the work that the table in force moves at the current demand."""
        return {
            (share.origin, share.stage, share.receiver): share.fraction
            * status.demand.get((share.origin, share.stage), 0.0)
            for share in self.table.shares
        }

    def _spill(self, status: FleetStatus, demand: dict[str, float], flows: Flows) -> None:
        """Move more work away from zones whose remaining work exceeds their capacity."""
        zones = status.zones
        for name in sorted(zones, key=lambda name: zones[name].capacity - demand[name]):
            received = sum(work for (_, _, receiver), work in flows.items() if receiver == name)
            capacity = 0.0 if name in self.rules.drained else SPILL_UTILIZATION * zones[name].capacity
            excess = demand[name] - _work_from(flows, name) - capacity
            if excess <= MIN_CHANGE * demand[name]:
                continue
            if received:
                # The receiver has degraded: other zones' traffic returns, and its own is not moved yet.
                for key in [key for key in flows if key[2] == name]:
                    del flows[key]
                continue
            self._spill_excess(name, excess, status, demand, flows)
            self.stable_decisions[name] = 0

    def _spill_excess(
        self, origin: str, excess: float, status: FleetStatus, demand: dict[str, float], flows: Flows
    ) -> None:
        """Move the excess work of a zone to the nearest receivers, work of the least utility first."""
        utility = self.rules.utility
        for stage in sorted(utility, key=lambda stage: utility[stage]):
            remaining = status.demand.get((origin, stage), 0.0)
            remaining -= sum(
                work for (source, at_stage, _), work in flows.items() if (source, at_stage) == (origin, stage)
            )
            for receiver in self._receivers_by_cost(origin, stage, status.zones):
                moved = min(excess, remaining, self._spare_capacity(receiver, status, demand, flows))
                if moved > 0:
                    key = origin, stage, receiver
                    flows[key] = flows.get(key, 0.0) + moved
                    excess -= moved
                    remaining -= moved

    def _receivers_by_cost(self, origin: str, stage: int, zones: dict[str, ZoneStatus]) -> list[str]:
        cost = self.rules.cost
        allowed = [
            receiver
            for receiver in zones
            if receiver != origin
            and (origin, receiver) in cost
            and (stage, origin, receiver) not in self.rules.forbidden
            and receiver not in self.rules.drained
        ]
        return sorted(allowed, key=lambda receiver: (cost[origin, receiver], receiver))

    def _spare_capacity(
        self, receiver: str, status: FleetStatus, demand: dict[str, float], flows: Flows
    ) -> float:
        """Return how many more cores of work a zone may receive now."""
        zone = status.zones[receiver]
        spills = any(origin == receiver for origin, _, _ in flows)
        if spills or zone.gray_failure or zone.uncertainty > MAX_UNCERTAINTY:
            return 0.0
        received = _work_to(flows, receiver)
        before = sum(
            share.fraction * status.demand.get((share.origin, share.stage), 0.0)
            for share in self.table.shares
            if share.receiver == receiver
        )
        spare = (1 - RESERVE) * zone.capacity - demand[receiver] - received
        return max(0.0, min(spare, before + RECEIVE_STEP * zone.capacity - received))

    def _return_traffic(self, status: FleetStatus, demand: dict[str, float], flows: Flows) -> None:
        """Return some traffic to zones with capacity for it for long enough, the greatest utility first."""
        utility = self.rules.utility
        for name in sorted({origin for origin, _, _ in flows}):
            away = _work_from(flows, name)
            drained = name in self.rules.drained
            capacity = 0.0 if drained else RETURN_UTILIZATION * status.zones[name].capacity
            step = min(away, RETURN_STEP * demand[name])
            if demand[name] - away + step > capacity:
                self.stable_decisions[name] = 0
                continue
            self.stable_decisions[name] = self.stable_decisions.get(name, 0) + 1
            if self.stable_decisions[name] <= STABLE_DECISIONS:
                continue
            own_flows = (key for key in flows if key[0] == name)
            for key in sorted(own_flows, key=lambda key: -utility.get(key[1], 0.0)):
                returned = min(step, flows[key])
                flows[key] -= returned
                step -= returned

    def _limit_receivers(self, status: FleetStatus, demand: dict[str, float], flows: Flows) -> None:
        """Return the traffic that a receiver no longer has the capacity for, the least utility first."""
        utility = self.rules.utility
        for receiver in sorted({receiver for _, _, receiver in flows}):
            excess = _work_to(flows, receiver)
            excess -= max(0.0, (1 - RESERVE) * status.zones[receiver].capacity - demand[receiver])
            received = (key for key in flows if key[2] == receiver)
            for key in sorted(received, key=lambda key: utility.get(key[1], 0.0)):
                if excess <= 0:
                    break
                returned = min(excess, flows[key])
                flows[key] -= returned
                excess -= returned

    # ---- the table

    def _next_table(self, status: FleetStatus, flows: Flows) -> RoutingTable:
        shares = []
        for (origin, stage, receiver), work in sorted(flows.items()):
            demand = status.demand.get((origin, stage), 0.0)
            fraction = min(1.0, work / demand) if demand > 0 else 0.0
            if fraction >= MIN_CHANGE:
                shares.append(TrafficShare(origin, stage, receiver, round(fraction, FRACTION_DIGITS)))
        if not self._differs(shares, status):
            return self.table
        senders = sorted({share.origin for share in shares})
        reason = f"{', '.join(senders)} can't finish all" if senders else "all at home"
        capacities = tuple(
            sorted((name, round(usual, FRACTION_DIGITS)) for name, usual in self.usual_capacity.items())
        )
        self.table = RoutingTable(self.table.number + 1, tuple(shares), capacities, reason)
        return self.table

    def _differs(self, shares: list[TrafficShare], status: FleetStatus) -> bool:
        """Return whether these shares differ enough from the shares in the table in force."""
        before = {(share.origin, share.stage, share.receiver): share.fraction for share in self.table.shares}
        after = {(share.origin, share.stage, share.receiver): share.fraction for share in shares}
        if set(before) != set(after):
            return True
        for key, fraction in after.items():
            decreased = 0.0 < fraction < before[key] - MIN_CHANGE
            increased = fraction > before[key] + MIN_CHANGE
            receiver_lost = fraction < before[key] and status.zones[key[2]].capacity <= 0
            if decreased or increased or receiver_lost:
                return True
        return False


def _work_from(flows: Flows, zone: str) -> float:
    return sum(work for (origin, _, _), work in flows.items() if origin == zone)


def _work_to(flows: Flows, zone: str) -> float:
    return sum(work for (_, _, receiver), work in flows.items() if receiver == zone)
