"""Selects the servers whose version a rollout changes next, within its limits on servers down at once."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from thistleline.rollout.effects import SetDesiredVersion
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import ServerStatus
from thistleline.supervisor.model import Version

RESTART_TOKENS_PER_ROLLOUT = 100  # one token is used per stage; more than a rollout has stages


class PendingChange(NamedTuple):
    """A version that was requested for a server, and the time of the request, ns."""

    version: Version
    since: int


class DownBudget:
    """Counts servers that are down, for whatever reason, against the limits of a rollout."""

    __slots__ = ("_by_zone", "_max_down", "_max_per_zone", "_total")

    def __init__(self, record: RolloutRecord, down_zones: Iterable[str]) -> None:
        """Create a budget; `down_zones` has the zone of each server that is down."""
        self._max_down = record.max_down
        self._max_per_zone = record.max_down_per_zone
        self._total = 0
        self._by_zone: dict[str, int] = {}
        for zone in down_zones:
            self.spend(zone)

    def has_room(self, zone: str) -> bool:
        """Return whether one more server of the zone may go down."""
        return self._total < self._max_down and self._by_zone.get(zone, 0) < self._max_per_zone

    def spend(self, zone: str) -> None:
        """Count one more server of the zone as down."""
        self._total += 1
        self._by_zone[zone] = self._by_zone.get(zone, 0) + 1


class ServerChanges:
    """The version changes that were requested for individual servers.

    Attributes:
        pending: Requested changes that have not taken effect, by server id.
        restarted_controls: Controls (servers that stay on the old version) that were restarted in the
            rollout's current stage; each is restarted once.
        blocked: Servers that can't be changed until fewer servers are down.
        blocked_since: Time since which no change was possible because of the limits, ns.
    """

    def __init__(self, now: int) -> None:
        """Start without requested changes at the time `now` (ns)."""
        self.pending: dict[str, PendingChange] = {}
        self.restarted_controls: set[str] = set()
        self.blocked: tuple[str, ...] = ()
        self.blocked_since = now

    def copy(self) -> "ServerChanges":
        """Return an independent copy."""
        duplicate = ServerChanges(self.blocked_since)
        duplicate.pending = dict(self.pending)
        duplicate.restarted_controls = set(self.restarted_controls)
        duplicate.blocked = self.blocked
        return duplicate

    def recover(self, server_id: str, version: Version, now: int) -> None:
        """Record a change that an earlier controller requested, unless one is known already."""
        self.pending.setdefault(server_id, PendingChange(version, now))

    def begin_stage(self, servers: Mapping[str, ServerStatus]) -> None:
        """Forget the controls of the rollout's previous stage, and the changes that have taken effect."""
        self.restarted_controls = set()
        self.pending = {
            server_id: change
            for server_id, change in self.pending.items()
            if not _has_taken_effect(change, servers.get(server_id))
        }

    def late_server(self, version: Version, now: int, timeout: int) -> str:
        """Return a server that did not start the version within `timeout` (ns); empty if there is none."""
        for server_id, change in self.pending.items():
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
        """Return the next changes towards the version that each server should run, in order of server ids."""
        progressed = self._forget_finished(servers)
        down_zones = (
            server.zone for server in servers.values() if not server.up or server.id in self.pending
        )
        budget = DownBudget(record, down_zones)
        effects: list[SetDesiredVersion] = []
        blocked: list[str] = []
        for server_id, version in sorted(desired.items()):
            server = servers[server_id]
            if server.runs(version) or not server.alive:
                continue
            change = self.pending.get(server_id)
            if change is not None and change.version == version:
                continue
            down_already = not server.up or change is not None  # its change takes no further server down
            if not down_already:
                if not budget.has_room(server.zone):
                    blocked.append(server_id)
                    continue
                budget.spend(server.zone)
            self.pending[server_id] = PendingChange(version, now)
            effects.append(SetDesiredVersion(server_id, version))
        if progressed or effects or not blocked:
            self.blocked_since = now
        self.blocked = tuple(blocked)
        if record.phase == "going":
            effects += self._restart_controls(record, servers, budget)
        return effects

    def _forget_finished(self, servers: Mapping[str, ServerStatus]) -> bool:
        """Forget changes that have taken effect or whose server is gone; return whether there were any."""
        finished = [
            server_id
            for server_id, change in self.pending.items()
            if server_id not in servers or servers[server_id].runs(change.version)
        ]
        for server_id in finished:
            del self.pending[server_id]
        return bool(finished)

    def _restart_controls(
        self, record: RolloutRecord, servers: Mapping[str, ServerStatus], budget: DownBudget
    ) -> list[SetDesiredVersion]:
        """Restart each control once, within the limits on servers down at once.

        Servers that have just started on the new version are compared with these restarted servers.
        """
        restart_token = record.number * RESTART_TOKENS_PER_ROLLOUT + record.stage_index + 1
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


def _has_taken_effect(change: PendingChange, server: ServerStatus | None) -> bool:
    return server is not None and server.runs(change.version)
