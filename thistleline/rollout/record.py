"""A change on its way through the fleet, as it stands in the council's log: what a successor goes on from."""

from math import ceil
from typing import Literal, NamedTuple

import msgspec

from thistleline.supervisor.model import Version

Phase = Literal["going", "paused", "asking", "backing", "done", "back"]
STAGES = ("one", "one a zone", "tenth", "half", "all")
PAST_BOUND = 64
KEY, ORDER_KEY, LEASE = "roll", "roll/order", "conductor"


class Past(msgspec.Struct, frozen=True, array_like=True):
    at: int  # wall ms
    what: str
    why: str


class Roll(msgspec.Struct, frozen=True):
    number: int
    version: Version  # to go to
    base: Version  # to go back to; what runs where the change has not been
    stages: tuple[str, ...]
    down: int  # servers down at once, of the whole
    down_zone: int  # and of a zone
    phase: Phase = "going"
    stage: int = 0
    controls: tuple[str, ...] = ()  # old ones that are started anew in this stage, to see how those do cold
    targets: tuple[str, ...] = ()  # that run the new version by this stage; empty: still to be chosen
    crashes: tuple[tuple[str, int], ...] = ()  # of servers that had any, as the stage began
    why: str = ""
    order: int = 0  # number of the last order that was followed
    past: tuple[Past, ...] = ()

    @property
    def over(self) -> bool:
        return self.phase in ("done", "back")


class Order(msgspec.Struct, frozen=True):
    """Of a person."""

    number: int
    what: Literal["start", "pause", "resume", "back", "skip"]
    why: str = ""
    version: Version | None = None
    base: Version | None = None
    stages: tuple[str, ...] = STAGES
    down: int = 1
    down_zone: int = 1


class Seen(NamedTuple):
    """A server as members know it."""

    id: str
    zone: str
    alive: bool
    release: str
    settings: int
    taking: bool
    warm: bool
    figures: tuple[int, ...]  # tasks, finished, rejected, abandoned, slow, memory kB, crashes, life
    worth: tuple[int, int] = (0, 0)  # of what came and of what was finished in time; none: it does not say

    @property
    def up(self) -> bool:
        return self.alive and self.taking

    def runs(self, version: Version) -> bool:
        return self.up and (self.release, self.settings) == (version.release, version.settings)


def wrong(order: Order) -> str:
    """Why an order to start makes no sense; nothing if it does."""
    if order.version is None or order.base is None:
        return "it names no version to go to, or none to go back to"
    if order.version == order.base:
        return "nothing would change"
    same = (order.version.release, order.version.settings) == (order.base.release, order.base.settings)
    if same:
        return "the same release and settings number with other content"
    if order.version.settings == order.base.settings != 0 and (
        order.version.settings_digest != order.base.settings_digest
    ):
        return "the same settings number with other content"
    unknown = [stage for stage in order.stages if stage not in STAGES]
    if unknown or not order.stages or order.stages[-1] != "all":
        return f"stages are of {', '.join(STAGES)}, and 'all' is the last"
    for one, other in ((order.version, order.base), (order.base, order.version)):
        if one.written_format and other.readable_formats and one.written_format not in other.readable_formats:
            known = ", ".join(map(str, other.readable_formats))
            what = (
                f"{one.release} writes a ledger of form {one.written_format}, {other.release} reads {known}"
            )
            return f"{what}: there is no way back"
    if order.down < 1 or order.down_zone < 1:
        return "nothing can change with no server down"
    return ""


CONTROLLED = ("one", "one a zone")  # stages with controls: later ones have seen enough cold old ones


def controls(stage: str, chosen: tuple[str, ...], seen: list[Seen]) -> tuple[str, ...]:
    """For each new one an old one of its zone, the last by id, two at the most."""
    if stage not in CONTROLLED:
        return ()
    found: dict[str, None] = {}
    zone_of = {one.id: one.zone for one in seen}
    for id in chosen:
        here = [one.id for one in seen if one.zone == zone_of.get(id) and one.up and one.id not in chosen]
        free = [one for one in sorted(here, reverse=True) if one not in found]
        found |= dict.fromkeys(free[:CONTROLS])
    return tuple(found)


CONTROLS = 2


def targets(stage: str, before: tuple[str, ...], seen: list[Seen]) -> tuple[str, ...]:
    """Who runs the new version by a stage: those before, and more by the order of their ids, zones in turn,
    those that are up first: on one that is down nothing is learned."""
    by_zone: dict[str, list[str]] = {}
    for one in sorted(seen, key=lambda one: (not one.up, one.id)):
        by_zone.setdefault(one.zone, []).append(one.id)
    turns = max(map(len, by_zone.values()), default=0)
    spread = [ids[turn] for turn in range(turns) for _, ids in sorted(by_zone.items()) if turn < len(ids)]
    count = {
        "one": 1,
        "one a zone": len(by_zone),
        "tenth": ceil(len(spread) / 10),
        "half": ceil(len(spread) / 2),
        "all": len(spread),
    }[stage]
    chosen = dict.fromkeys(before)
    for id in spread:
        if len(chosen) >= max(count, len(before)):
            break
        chosen[id] = None
    return tuple(chosen)
