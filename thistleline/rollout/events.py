"""Inputs of the rollout controller."""

from dataclasses import dataclass

from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.order import Order
from thistleline.rollout.server_status import ServerStatus
from thistleline.supervisor.model import Version


@dataclass(frozen=True, slots=True)
class ServersObserved:
    """All servers as the members know them now."""

    servers: list[ServerStatus]


@dataclass(frozen=True, slots=True)
class DesiredVersionsRecovered:
    """What earlier controllers wanted, by server id, and may not have come about yet."""

    versions: dict[str, Version]


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """The replicated log holds this order, new or known."""

    order: Order


@dataclass(frozen=True, slots=True)
class RecordStored:
    """The last `StoreRecord` was decided."""


Event = ServersObserved | DesiredVersionsRecovered | OrderReceived | RecordStored | DeadlineReached
