"""An operator's order to the rollout controller, as it stands in the replicated log."""

from typing import Literal, NamedTuple

import msgspec

from thistleline.rollout.record import Phase
from thistleline.rollout.stages import STAGES
from thistleline.supervisor.model import Version

ORDER_KEY = "roll/order"  # in the replicated log


class Order(msgspec.Struct, frozen=True):
    """An order of a person, followed once.

    Attributes:
        number: Greater than that of the order before.
        command: What to do.
        reason: Why, for the history.
        version: Of `start`: the version to go to.
        base: Of `start`: the version to go back to.
        stages: Of `start`: the stages in their order.
        max_down: Of `start`: servers that may be down at once, of the fleet.
        max_down_per_zone: Of `start`: and of each zone.
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
    """The phases in which a command is allowed, and the phase that it leads to."""

    allowed_in: tuple[Phase, ...]
    to: Phase


TRANSITIONS = {
    "pause": Transition(("going", "asking"), "paused"),
    "resume": Transition(("paused", "asking"), "going"),
    "back": Transition(("going", "paused", "asking", "done"), "backing"),
    "skip": Transition(("going", "paused", "asking"), "going"),
}


def start_fault(order: Order) -> str:
    """Return why an order to start makes no sense; nothing if it does."""
    if order.version is None or order.base is None:
        return "it names no version to go to, or none to go back to"
    return (
        _versions_fault(order.version, order.base)
        or _stages_fault(order.stages)
        or _formats_fault(order.version, order.base)
        or _formats_fault(order.base, order.version)
        or _limits_fault(order)
    )


def _versions_fault(version: Version, base: Version) -> str:
    if version == base:
        return "nothing would change"
    if (version.release, version.settings) == (base.release, base.settings):
        return "the same release and settings number with other content"
    same_settings = version.settings == base.settings != 0
    if same_settings and version.settings_digest != base.settings_digest:
        return "the same settings number with other content"
    return ""


def _stages_fault(stages: tuple[str, ...]) -> str:
    unknown = [stage for stage in stages if stage not in STAGES]
    if unknown or not stages or stages[-1] != "all":
        return f"stages are of {', '.join(STAGES)}, and 'all' is the last"
    return ""


def _formats_fault(writer: Version, reader: Version) -> str:
    """Return why `reader` could not take over the ledger of `writer`."""
    written, readable = writer.written_format, reader.readable_formats
    if not written or not readable or written in readable:
        return ""
    known = ", ".join(map(str, readable))
    what = f"{writer.release} writes a ledger of form {written}, {reader.release} reads {known}"
    return f"{what}: there is no way back"


def _limits_fault(order: Order) -> str:
    if order.max_down < 1 or order.max_down_per_zone < 1:
        return "nothing can change with no server down"
    return ""
