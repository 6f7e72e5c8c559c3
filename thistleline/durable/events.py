"""The additional events of a server with a ledger."""

from collections.abc import Iterable
from dataclasses import dataclass

from thistleline.ledger.records import RecoveredEffect


@dataclass(frozen=True, slots=True)
class EffectsRecovered:
    """The runs that earlier processes of this server recorded in the ledger; precedes any task."""

    effects: Iterable[RecoveredEffect]


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    """The last `WriteLedger` is durable."""


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The last `WriteLedger` failed; no part of it counts as durable."""

    reason: str


DurableEvent = EffectsRecovered | WriteCompleted | WriteFailed
