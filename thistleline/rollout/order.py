"""Orders of an operator to the rollout controller, stored in the replicated log."""

from typing import Literal, NamedTuple

import msgspec

from thistleline.rollout.record import Phase
from thistleline.rollout.stages import STAGES
from thistleline.supervisor.model import Version

ORDER_KEY = "roll/order"  # key in the replicated log


class Order(msgspec.Struct, frozen=True):
    """An order of an operator, executed once.

    Attributes:
        number: Number of the order, greater than that of the previous order.
        command: What to do.
        reason: Reason for the order, kept in the history.
        version: For `start`: the version to roll out.
        base: For `start`: the version to roll back to.
        stages: For `start`: the stages, in order.
        max_down: For `start`: servers that may be down at once in the fleet.
        max_down_per_zone: For `start`: servers that may be down at once in a zone.
    """

    number: int
    command: Literal["start", "pause", "resume", "back", "skip"] = msgspec.field(name="what")
    reason: str = msgspec.field(name="why", default="")
    version: Version | None = None
    base: Version | None = None
    stages: tuple[str, ...] = STAGES
    max_down: int = msgspec.field(name="down", default=1)
    max_down_per_zone: int = msgspec.field(name="down_zone", default=1)


class Transition(NamedTuple):
    """The phases of a rollout in which an operator's command is allowed, and the phase that it leads to."""

    allowed_in: tuple[Phase, ...]
    to: Phase


TRANSITIONS = {
    "pause": Transition(("going", "asking"), "paused"),
    "resume": Transition(("paused", "asking"), "going"),
    "back": Transition(("going", "paused", "asking", "done"), "backing"),
    "skip": Transition(("going", "paused", "asking"), "going"),
}


def start_fault(order: Order) -> str:
    """Return why an order to start is invalid; an empty string if it is valid."""
    if order.version is None or order.base is None:
        return "the order lacks the new version or the base version"
    return (
        _versions_fault(order.version, order.base)
        or _stages_fault(order.stages)
        or _formats_fault(order.version, order.base)  # else there is no rollback
        or _formats_fault(order.base, order.version)
        or _limits_fault(order)
    )


def _versions_fault(version: Version, base: Version) -> str:
    if version == base:
        return "the new version is the base version"
    if (version.release, version.settings) == (base.release, base.settings):
        return "the same release and settings number with different content"
    same_settings = version.settings == base.settings != 0
    if same_settings and version.settings_digest != base.settings_digest:
        return "the same settings number with different content"
    return ""


def _stages_fault(stages: tuple[str, ...]) -> str:
    unknown = [stage for stage in stages if stage not in STAGES]
    if unknown or not stages or stages[-1] != "all":
        return f"stages must be among {', '.join(STAGES)}, and 'all' must be the last"
    return ""


def _formats_fault(writer: Version, reader: Version) -> str:
    """Return why `reader` could not take over the ledger of `writer`; an empty string if it could."""
    written, readable = writer.written_format, reader.readable_formats
    if not written or not readable or written in readable:
        return ""
    known = ", ".join(map(str, readable))
    what = f"{writer.release} writes ledger format {written}, {reader.release} reads {known}"
    return f"{what}: the ledger could not be handed over"


def _limits_fault(order: Order) -> str:
    if order.max_down < 1 or order.max_down_per_zone < 1:
        return "at least one server must be allowed to be down, in the fleet and in each zone"
    return ""
