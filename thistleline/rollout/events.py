"""Inputs of the rollout controller."""

from dataclasses import dataclass

from thistleline.reducer.events import DeadlineReached
from thistleline.rollout.order import Order
from thistleline.rollout.server_status import ServerStatus
from thistleline.supervisor.model import Version


@dataclass(frozen=True, slots=True)
class ServersObserved:
    """The current status of all servers, from the facts that members publish."""

    servers: list[ServerStatus]


@dataclass(frozen=True, slots=True)
class DesiredVersionsRecovered:
    """Desired versions that earlier controllers set, by server id; they may not have taken effect yet."""

    versions: dict[str, Version]


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """This operator's order was read from the replicated log; it may have been executed already."""

    order: Order


@dataclass(frozen=True, slots=True)
class RecordStored:
    """The last `StoreRecord` was committed."""


Event = ServersObserved | DesiredVersionsRecovered | OrderReceived | RecordStored | DeadlineReached
