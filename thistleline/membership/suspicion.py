"""Suspicions of members that did not answer, and the timeout after which they are declared dead.

The timeout is Lifeguard's (Dadgar, Phillips, Currey 2018): long while only one member suspects another, and
shorter with each independent confirmation, so that a member that is slow itself causes no false deaths.
"""

from math import log
from typing import NamedTuple

MIN_TIMEOUT_PERIODS = 4  # minimum timeout in probe periods, per decimal logarithm of the fleet's size
MAX_TIMEOUT_FACTOR = 6  # timeout without a confirmation, as a multiple of the minimum timeout
CONFIRMATIONS = 3  # independent confirmations that reduce the timeout to its minimum


class Suspicion(NamedTuple):
    """A suspicion of one member."""

    since: int  # ns
    suspected_by: frozenset[str]  # ids of the members that suspect it


class SuspicionTable:
    """The current suspicions that one member knows of."""

    def __init__(self, period: int) -> None:
        """Start without suspicions; timeouts are multiples of the probe period `period`, ns."""
        self.period = period
        self.suspicions: dict[str, Suspicion] = {}

    def __contains__(self, id: str) -> bool:
        """Return whether a member is suspected."""
        return id in self.suspicions

    def start(self, id: str, now: int, suspected_by: str) -> None:
        """Start a suspicion, or restart it."""
        self.suspicions[id] = Suspicion(now, frozenset((suspected_by,)))

    def clear(self, id: str) -> None:
        """End a suspicion, if there is one."""
        self.suspicions.pop(id, None)

    def confirm(self, id: str, suspected_by: str) -> bool:
        """Add another member that suspects `id`; return whether this confirmation is new and counts."""
        known = self.suspicions[id]
        if suspected_by in known.suspected_by or len(known.suspected_by) > CONFIRMATIONS:
            return False
        self.suspicions[id] = Suspicion(known.since, known.suspected_by | {suspected_by})
        return True

    def is_expired(self, id: str, now: int, fleet_size_log: int, health_multiplier: int) -> bool:
        """Return whether a suspected member is to be declared dead.

        Args:
            id: The suspected member.
            now: Current time, ns.
            fleet_size_log: Decimal logarithm of the fleet's size, at least 1.
            health_multiplier: Factor by which a slow member extends the timeout of an unconfirmed suspicion.
        """
        suspicion = self.suspicions[id]
        return now - suspicion.since >= self._timeout(suspicion, fleet_size_log, health_multiplier)

    def _timeout(self, suspicion: Suspicion, fleet_size_log: int, health_multiplier: int) -> int:
        shortest = MIN_TIMEOUT_PERIODS * fleet_size_log * self.period
        longest = MAX_TIMEOUT_FACTOR * shortest
        confirmations = min(CONFIRMATIONS, len(suspicion.suspected_by) - 1)
        reduction = log(confirmations + 1) / log(CONFIRMATIONS + 1)
        timeout = int(max(shortest, longest - (longest - shortest) * reduction))
        return timeout * (1 if confirmations else health_multiplier)
