"""Which servers are changed next, with no more down at once than is allowed."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from thistleline.rollout.effects import SetDesiredVersion
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.supervisor.model import Version

RESTART_TOKENS_PER_CHANGE = 100  # more than a change has stages


class Change(NamedTuple):
    """A version that was wanted of a server, and since when, ns."""

    version: Version
    since: int


class DownBudget:
    """Counts servers that are down, whoever took them down, against what a change allows."""

    __slots__ = ("_by_zone", "_max_down", "_max_per_zone", "_total")

    def __init__(self, record: RolloutRecord, down_zones: Iterable[str]) -> None:
        """Begin with one server down for each of `down_zones`."""
        self._max_down = record.max_down
        self._max_per_zone = record.max_down_per_zone
        self._total = 0
        self._by_zone: dict[str, int] = {}
        for zone in down_zones:
            self.spend(zone)

    def has_room(self, zone: str) -> bool:
        """Tell whether one more server of the zone may go down."""
        return self._total < self._max_down and self._by_zone.get(zone, 0) < self._max_per_zone

    def spend(self, zone: str) -> None:
        """Count one more server of the zone as down."""
        self._total += 1
        self._by_zone[zone] = self._by_zone.get(zone, 0) + 1


class ServerChanges:
    """The changes of single servers that are under way.

    Attributes:
        under_way: What is wanted of whom, where it has not come about.
        restarted_controls: Controls of this stage that were restarted, once each.
        no_room: Who would be changed next, if others were not down.
        no_room_since: Since when nothing has moved for want of room, ns.
    """

    def __init__(self, now: int) -> None:
        """Begin with none, at `now` (ns)."""
        self.under_way: dict[str, Change] = {}
        self.restarted_controls: set[str] = set()
        self.no_room: tuple[str, ...] = ()
        self.no_room_since = now

    def copy(self) -> "ServerChanges":
        """Return an independent copy."""
        made = ServerChanges(self.no_room_since)
        made.under_way = dict(self.under_way)
        made.restarted_controls = set(self.restarted_controls)
        made.no_room = self.no_room
        return made

    def expect(self, server_id: str, version: Version, now: int) -> None:
        """Note what an earlier controller wanted of a server, unless something is known already."""
        self.under_way.setdefault(server_id, Change(version, now))

    def begin_stage(self, servers: Mapping[str, ServerStatus]) -> None:
        """Forget the controls of the last stage and the changes that have come about."""
        self.restarted_controls = set()
        self.under_way = {
            server_id: change
            for server_id, change in self.under_way.items()
            if not _has_come_about(change, servers.get(server_id))
        }

    def late(self, version: Version, now: int, timeout: int) -> str:
        """Return a server that does not come up with the version in time (ns); nothing if there is none."""
        for server_id, change in self.under_way.items():
            if change.version == version and now - change.since >= timeout:
                return server_id
        return ""

    def plan(
        self,
        now: int,
        record: RolloutRecord,
        servers: Mapping[str, ServerStatus],
        desired: Mapping[str, Version],
    ) -> list[SetDesiredVersion]:
        """Return the next changes towards what each server should run, by the order of ids."""
        moved = self._forget_finished(servers)
        down_zones = (one.zone for one in servers.values() if not one.up or one.id in self.under_way)
        budget = DownBudget(record, down_zones)
        effects: list[SetDesiredVersion] = []
        no_room: list[str] = []
        for server_id, version in sorted(desired.items()):
            server = servers[server_id]
            if server.runs(version) or not server.alive:
                continue
            change = self.under_way.get(server_id)
            if change is not None and change.version == version:
                continue
            down_already = not server.up or change is not None  # a change takes no other server down
            if not down_already:
                if not budget.has_room(server.zone):
                    no_room.append(server_id)
                    continue
                budget.spend(server.zone)
            self.under_way[server_id] = Change(version, now)
            effects.append(SetDesiredVersion(server_id, version))
        if moved or effects or not no_room:
            self.no_room_since = now
        self.no_room = tuple(no_room)
        if record.phase == "going":
            effects += self._restart_controls(record, servers, budget)
        return effects

    def _forget_finished(self, servers: Mapping[str, ServerStatus]) -> bool:
        """Forget changes that have come about or whose server is gone; tell whether there were any."""
        finished = [
            server_id
            for server_id, change in self.under_way.items()
            if server_id not in servers or servers[server_id].runs(change.version)
        ]
        for server_id in finished:
            del self.under_way[server_id]
        return bool(finished)

    def _restart_controls(
        self, record: RolloutRecord, servers: Mapping[str, ServerStatus], budget: DownBudget
    ) -> list[SetDesiredVersion]:
        """Restart old servers, once each: how they do cold is what cold new ones are held against."""
        restart_token = record.number * RESTART_TOKENS_PER_CHANGE + record.stage_index + 1
        effects: list[SetDesiredVersion] = []
        for server_id in record.controls:
            server = servers.get(server_id)
            if server is None or server_id in self.restarted_controls or not server.runs(record.base):
                continue
            if budget.has_room(server.zone):
                budget.spend(server.zone)
                self.restarted_controls.add(server_id)
                effects.append(SetDesiredVersion(server_id, record.base, restart_token))
        return effects


def _has_come_about(change: Change, server: ServerStatus | None) -> bool:
    return server is not None and server.runs(change.version)
