"""The routing table between zones, and the rules of an installation by which it is decided."""

from typing import NamedTuple

import msgspec


class TrafficShare(msgspec.Struct, frozen=True, array_like=True):
    """The fraction of a zone's traffic in one stage that goes to another zone; the rest stays at home."""

    origin: str
    stage: int
    receiver: str
    fraction: float


class RoutingTable(msgspec.Struct, frozen=True):
    """Where traffic goes; of two tables the one with the greater number is in force.

    Attributes:
        number: Counts the tables.
        shares: The traffic that moves.
        capacities: Usual capacity of each zone in cores, by which it was decided.
        reason: For people to read.
    """

    number: int = 0
    shares: tuple[TrafficShare, ...] = ()
    capacities: tuple[tuple[str, float], ...] = msgspec.field(default=(), name="rooms")
    reason: str = msgspec.field(default="", name="why")

    def shares_from(self, origin: str, stage: int) -> dict[str, float]:
        """Return the fraction that goes to each receiver."""
        return {
            share.receiver: share.fraction
            for share in self.shares
            if share.origin == origin and share.stage == stage
        }

    def receivers(self) -> set[str]:
        """Return the zones that receive traffic of others."""
        return {share.receiver for share in self.shares}

    def senders(self) -> set[str]:
        """Return the zones that send traffic to others."""
        return {share.origin for share in self.shares}


class RoutingRules(NamedTuple):
    """What an installation's operators decide."""

    cost: dict[tuple[str, str], float]  # of a route; (origin, receiver) without one is no route
    utility: dict[int, float]  # of a core-second, by stage
    forbidden: frozenset[tuple[int, str, str]] = frozenset()  # stage, origin, receiver
    drained: frozenset[str] = frozenset()  # zones that are to be emptied
