"""Stages of a rollout: which servers run the new version in each, and which servers are controls.

Controls stay on the old version; they are restarted so that the new version's servers, which have just
started, are compared with servers that have also just started.
"""

from collections.abc import Iterable
from math import ceil

from thistleline.rollout.server_status import ServerStatus

STAGES = ("one", "one a zone", "tenth", "half", "all")
STAGES_WITH_CONTROLS = ("one", "one a zone")  # by the later ones, enough cold old servers were sampled
CONTROLS_PER_TARGET = 2


def choose_targets(
    stage: str, chosen_before: tuple[str, ...], servers: Iterable[ServerStatus]
) -> tuple[str, ...]:
    """Return the servers that run the new version in a stage of the rollout.

    These are the servers chosen before, and further ones in order of their ids, alternating between zones.
    Servers that are up come first: a server that is down provides no evidence.
    """
    by_zone: dict[str, list[str]] = {}
    for server in sorted(servers, key=lambda server: (not server.up, server.id)):
        by_zone.setdefault(server.zone, []).append(server.id)
    spread = _interleave_zones(by_zone)
    count = max(_stage_size(stage, len(spread), len(by_zone)), len(chosen_before))
    chosen = dict.fromkeys(chosen_before)
    for server_id in spread:
        if len(chosen) >= count:
            break
        chosen[server_id] = None
    return tuple(chosen)


def _interleave_zones(by_zone: dict[str, list[str]]) -> list[str]:
    """Return one server of each zone, then a second of each, and so on."""
    rounds = max(map(len, by_zone.values()), default=0)
    return [ids[index] for index in range(rounds) for _, ids in sorted(by_zone.items()) if index < len(ids)]


def _stage_size(stage: str, servers: int, zones: int) -> int:
    return {
        "one": 1,
        "one a zone": zones,
        "tenth": ceil(servers / 10),
        "half": ceil(servers / 2),
        "all": servers,
    }[stage]


def choose_controls(stage: str, targets: tuple[str, ...], servers: Iterable[ServerStatus]) -> tuple[str, ...]:
    """Return the servers on the old version that are restarted for comparison in a stage of the rollout.

    For each target, CONTROLS_PER_TARGET servers of its zone are chosen, those with the highest ids.
    """
    if stage not in STAGES_WITH_CONTROLS:
        return ()
    servers = list(servers)
    zone_of = {server.id: server.zone for server in servers}
    found: dict[str, None] = {}
    for target in targets:
        zone = zone_of.get(target)
        candidates = [
            server.id for server in servers if server.zone == zone and server.up and server.id not in targets
        ]
        available = [server_id for server_id in sorted(candidates, reverse=True) if server_id not in found]
        found |= dict.fromkeys(available[:CONTROLS_PER_TARGET])
    return tuple(found)
