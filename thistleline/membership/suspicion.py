"""Suspicions of members that did not answer, and when they are confirmed as dead.

The timeout is Lifeguard's (Dadgar, Phillips, Currey 2018): long while one member alone suspects, shorter with
each independent confirmation, so that a member that is slow itself convinces nobody.
"""

from math import log
from typing import NamedTuple

MIN_TIMEOUT_PERIODS = 4  # for each logarithm of the fleet's size
MAX_TIMEOUT_FACTOR = 6  # times the minimum, without confirmation
CONFIRMATIONS = 3  # independent ones that bring the timeout down to its minimum


class Suspicion(NamedTuple):
    """A suspicion of one member."""

    since: int  # ns
    suspected_by: frozenset[str]  # ids of the members that suspect it


class SuspicionTable:
    """The suspicions that one member knows of."""

    def __init__(self, period: int) -> None:
        """Count timeouts in probe periods of `period` ns."""
        self.period = period
        self.suspicions: dict[str, Suspicion] = {}

    def __contains__(self, id: str) -> bool:
        """Return whether a member is suspected."""
        return id in self.suspicions

    def start(self, id: str, now: int, suspected_by: str) -> None:
        """Begin a suspicion, or begin it anew."""
        self.suspicions[id] = Suspicion(now, frozenset((suspected_by,)))

    def clear(self, id: str) -> None:
        """End a suspicion, if there is one."""
        self.suspicions.pop(id, None)

    def confirm(self, id: str, suspected_by: str) -> bool:
        """Add an independent confirmation; return whether it is new and counts."""
        known = self.suspicions[id]
        if suspected_by in known.suspected_by or len(known.suspected_by) > CONFIRMATIONS:
            return False
        self.suspicions[id] = Suspicion(known.since, known.suspected_by | {suspected_by})
        return True

    def is_expired(self, id: str, now: int, fleet_logarithm: int, health_multiplier: int) -> bool:
        """Return whether a suspected member is to be taken for dead.

        Args:
            id: The suspected member.
            now: Current time, ns.
            fleet_logarithm: Decimal logarithm of the fleet's size, at least 1.
            health_multiplier: By which a member that is slow itself prolongs a suspicion of its own.
        """
        suspicion = self.suspicions[id]
        return now - suspicion.since >= self._timeout(suspicion, fleet_logarithm, health_multiplier)

    def _timeout(self, suspicion: Suspicion, fleet_logarithm: int, health_multiplier: int) -> int:
        shortest = MIN_TIMEOUT_PERIODS * fleet_logarithm * self.period
        longest = MAX_TIMEOUT_FACTOR * shortest
        confirmations = min(CONFIRMATIONS, len(suspicion.suspected_by) - 1)
        part = log(confirmations + 1) / log(CONFIRMATIONS + 1)
        timeout = int(max(shortest, longest - (longest - shortest) * part))
        return timeout * (1 if confirmations else health_multiplier)
