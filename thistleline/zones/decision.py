"""Decides the routing table from the fleet's status and the table before.

No I/O, no clock and no randomness. The principles:

- Traffic stays near while that is safe: a zone spills only what it can't finish in time, the work of the
  least utility first, to the nearest zone with spare capacity.
- A receiver takes no more than its capacity less a reserve for the loss of a part of it.
- No chains: a zone that spills receives nothing, and one that receives spills nothing.
- A receiver takes more in steps, as it warms up; traffic returns more slowly than it left.
- A slowdown of all zones moves nothing, and without spare capacity all traffic stays at home: shedding load
  is each server's own decision.
- A table is replaced only for a difference that matters.
"""

from thistleline.zones.routing import RoutingRules, RoutingTable, TrafficShare
from thistleline.zones.status import FleetStatus, ZoneStatus

SPILL_UTILIZATION = 0.95  # of its capacity: beyond that a zone spills
RETURN_UTILIZATION = 0.80  # of its capacity, with what would return: below that traffic returns
RESERVE = 0.15  # of a receiver's capacity, left free for the loss of a part of itself
RECEIVE_STEP = 0.20  # of a receiver's capacity: so much more in one decision
RETURN_STEP = 0.05  # of the origin's demand: so much returns in one decision
STABLE_DECISIONS = 3  # in a row that have to favour it, before traffic returns
SLOWDOWN_RATIO = 0.80  # of its usual capacity: a zone with less is slower
LOST_RATIO = 0.10  # of its usual capacity: a zone with less is lost, whatever the others do
MIN_CHANGE = 0.02  # of a zone's demand: a smaller change of a share is none
MAX_UNCERTAINTY = 0.5  # a zone of which less is known receives nothing
USUAL_WEIGHT = 0.9  # of the usual capacity in its moving average,
CURRENT_WEIGHT = 0.1  # and of the present one
FRACTION_DIGITS = 3  # to which fractions and capacities are rounded

Flows = dict[tuple[str, int, str], float]  # cores of work that move, by origin, stage and receiver


class ZoneDecider:
    """Decides a table for each status; a successor continues from the recorded table.

    Attributes:
        rules: What the installation allows.
        table: The table in force.
        stable_decisions: How many decisions in a row favoured that a zone's traffic returns, by zone.
        usual_capacity: Moving average of each zone's capacity, cores.
    """

    def __init__(self, rules: RoutingRules, table: RoutingTable) -> None:
        """Continue from `table`."""
        self.rules = rules
        self.table = table
        self.stable_decisions: dict[str, int] = {}
        self.usual_capacity: dict[str, float] = dict(table.capacities)

    def decide(self, status: FleetStatus) -> RoutingTable:
        """Return the table that is to be in force: the same one, or the next."""
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

    # ---- what is no reason to move traffic

    def _is_common_slowdown(self, zones: dict[str, ZoneStatus]) -> bool:
        """Return whether most zones lost capacity together, as if by a dependency that they share.

        A zone that is lost altogether is not put down to that.
        """
        known = [(zone, self.usual_capacity.get(name, 0.0)) for name, zone in zones.items()]
        known = [(zone, usual) for zone, usual in known if usual > 0]
        slower = [zone for zone, usual in known if zone.capacity < SLOWDOWN_RATIO * usual]
        lost = [zone for zone, usual in known if zone.capacity < LOST_RATIO * usual]
        return len(known) > 1 and 2 * len(slower) > len(known) and not lost

    def _update_usual_capacity(self, zones: dict[str, ZoneStatus], slowdown: bool) -> None:
        """Follow the capacities slowly, and not during a slowdown, lest that become usual."""
        for name, zone in zones.items():
            usual = self.usual_capacity.get(name)
            if usual is None:
                self.usual_capacity[name] = zone.capacity
            elif not slowdown and zone.capacity >= SLOWDOWN_RATIO * usual:
                self.usual_capacity[name] = USUAL_WEIGHT * usual + CURRENT_WEIGHT * zone.capacity

    # ---- the flows

    def _current_flows(self, status: FleetStatus) -> Flows:
        """Return what the table in force moves of the present demand."""
        return {
            (share.origin, share.stage, share.receiver): share.fraction
            * status.demand.get((share.origin, share.stage), 0.0)
            for share in self.table.shares
        }

    def _spill(self, status: FleetStatus, demand: dict[str, float], flows: Flows) -> None:
        """Move more away from zones whose remaining work exceeds their capacity."""
        zones = status.zones
        for name in sorted(zones, key=lambda name: zones[name].capacity - demand[name]):
            received = sum(work for (_, _, receiver), work in flows.items() if receiver == name)
            capacity = 0.0 if name in self.rules.drained else SPILL_UTILIZATION * zones[name].capacity
            excess = demand[name] - _work_from(flows, name) - capacity
            if excess <= MIN_CHANGE * demand[name]:
                continue
            if received:
                # A receiver that degrades: traffic of others goes home, its own does not move on yet.
                for key in [key for key in flows if key[2] == name]:
                    del flows[key]
                continue
            self._spill_excess(name, excess, status, demand, flows)
            self.stable_decisions[name] = 0

    def _spill_excess(
        self, origin: str, excess: float, status: FleetStatus, demand: dict[str, float], flows: Flows
    ) -> None:
        """Move the work of the least utility first, to the nearest receivers."""
        utility = self.rules.utility
        for stage in sorted(utility, key=lambda stage: utility[stage]):
            remaining = status.demand.get((origin, stage), 0.0)
            remaining -= sum(work for (one, at, _), work in flows.items() if (one, at) == (origin, stage))
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
        """Bring some traffic home, the greatest utility first, where the zone could take it for a while."""
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
        """Send home what a receiver has lost the capacity for, of the least utility first."""
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
        """Return whether these shares differ enough from those in force."""
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
