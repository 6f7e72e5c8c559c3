"""Stages of a change: which servers run the new version in each, and which old ones are controls."""

from collections.abc import Iterable
from math import ceil

from thistleline.rollout.server_status import ServerStatus

STAGES = ("one", "one a zone", "tenth", "half", "all")
STAGES_WITH_CONTROLS = ("one", "one a zone")  # later ones have seen enough cold old servers
CONTROLS_PER_TARGET = 2


def choose_targets(
    stage: str, chosen_before: tuple[str, ...], servers: Iterable[ServerStatus]
) -> tuple[str, ...]:
    """Return who runs the new version by a stage.

    Those chosen before, and more by the order of their ids, zones in turn. Those that are up come first: on
    one that is down nothing is learned.
    """
    by_zone: dict[str, list[str]] = {}
    for server in sorted(servers, key=lambda server: (not server.up, server.id)):
        by_zone.setdefault(server.zone, []).append(server.id)
    spread = _zones_in_turn(by_zone)
    count = max(_stage_size(stage, len(spread), len(by_zone)), len(chosen_before))
    chosen = dict.fromkeys(chosen_before)
    for server_id in spread:
        if len(chosen) >= count:
            break
        chosen[server_id] = None
    return tuple(chosen)


def _zones_in_turn(by_zone: dict[str, list[str]]) -> list[str]:
    """Return one server of each zone, then a second of each, and so on."""
    rounds = max(map(len, by_zone.values()), default=0)
    return [ids[turn] for turn in range(rounds) for _, ids in sorted(by_zone.items()) if turn < len(ids)]


def _stage_size(stage: str, servers: int, zones: int) -> int:
    return {
        "one": 1,
        "one a zone": zones,
        "tenth": ceil(servers / 10),
        "half": ceil(servers / 2),
        "all": servers,
    }[stage]


def choose_controls(stage: str, targets: tuple[str, ...], servers: Iterable[ServerStatus]) -> tuple[str, ...]:
    """Return the old servers that are restarted for comparison.

    For each target two of its zone, the last by their ids.
    """
    if stage not in STAGES_WITH_CONTROLS:
        return ()
    servers = list(servers)
    zone_of = {server.id: server.zone for server in servers}
    found: dict[str, None] = {}
    for target in targets:
        zone = zone_of.get(target)
        beside = [one.id for one in servers if one.zone == zone and one.up and one.id not in targets]
        free = [server_id for server_id in sorted(beside, reverse=True) if server_id not in found]
        found |= dict.fromkeys(free[:CONTROLS_PER_TARGET])
    return tuple(found)
