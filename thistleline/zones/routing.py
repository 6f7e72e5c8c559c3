"""The routing table between zones, and the operators' rules by which it is decided."""

from typing import NamedTuple

import msgspec


class TrafficShare(msgspec.Struct, frozen=True, array_like=True):
    """The fraction of a zone's traffic of one stage (class of requests) that goes to another zone.

    The rest stays in the zone.
    """

    origin: str
    stage: int
    receiver: str
    fraction: float


class RoutingTable(msgspec.Struct, frozen=True):
    """Where traffic goes; of two tables, the one with the greater number is in force.

    Attributes:
        number: Sequence number of the table.
        shares: The traffic that is moved.
        capacities: Usual capacity of each zone, in cores, on which the decision was based.
        reason: Why the table was made, in words for operators.
    """

    number: int = 0
    shares: tuple[TrafficShare, ...] = ()
    capacities: tuple[tuple[str, float], ...] = msgspec.field(default=(), name="rooms")
    reason: str = msgspec.field(default="", name="why")

    def shares_from(self, origin: str, stage: int) -> dict[str, float]:
        """Return the fractions of the origin's traffic of this stage that go to each receiver."""
        return {
            share.receiver: share.fraction
            for share in self.shares
            if share.origin == origin and share.stage == stage
        }

    def receivers(self) -> set[str]:
        """Return the zones that receive traffic of other zones."""
        return {share.receiver for share in self.shares}

    def senders(self) -> set[str]:
        """Return the zones that send traffic to other zones."""
        return {share.origin for share in self.shares}


class RoutingRules(NamedTuple):
    """Rules that the operators of an installation set."""

    cost: dict[tuple[str, str], float]  # by (origin, receiver); a pair without a cost is not a route
    utility: dict[int, float]  # per core-second, by stage
    forbidden: frozenset[tuple[int, str, str]] = (
        frozenset()
    )  # (stage, origin, receiver) that must not be used
    drained: frozenset[str] = frozenset()  # zones to move all traffic away from
