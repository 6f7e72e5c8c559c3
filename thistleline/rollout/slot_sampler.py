"""Samples per slot (measuring interval) for the canary analysis, from cumulative metrics of the members."""

from collections.abc import Collection, Iterable, Mapping

from thistleline.rollout.metrics import SlotSample
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import COUNTERS, CRASHES, FIGURES, INCARNATION, MEMORY, ServerStatus

MEMORY_SCALE = 1_000_000  # kB; memory use is given as a share of this, large so that growth is a small share


class SlotSampler:
    """Converts cumulative metrics into one sample per server and slot (measuring interval).

    Attributes:
        previous: Cumulative metrics and utility of each server at the end of the last slot.
    """

    def __init__(self) -> None:
        """Create a sampler without earlier metrics."""
        self.previous: dict[str, tuple[int, ...]] = {}

    def copy(self) -> "SlotSampler":
        """Return an independent copy."""
        duplicate = SlotSampler()
        duplicate.previous = dict(self.previous)
        return duplicate

    def sample(
        self,
        servers: Iterable[ServerStatus],
        record: RolloutRecord | None,
        targets: Collection[str],
        crashes_before: Mapping[str, int],
    ) -> list[SlotSample]:
        """End a slot and return a sample of each server.

        Args:
            servers: Current status of the servers.
            record: The rollout; without one, the metrics are only stored for the next slot.
            targets: Servers that should run the new version.
            crashes_before: Crash counts at the start of the rollout's stage; 0 for servers that are left out.
        """
        servers = list(servers)
        # Utility is used only if all servers report it, else task counts are; prevents the utility of servers
        # on the new version from being compared with the counts of servers on the old one.
        by_value = all(server.value[0] for server in servers if server.up and server.figures[:1] > (0,))
        samples = []
        for server in servers:
            if len(server.figures) < FIGURES:
                continue
            before = self.previous.get(server.id)
            now = (*server.figures[:FIGURES], *server.value)
            self.previous[server.id] = now
            if before is None or not server.up or record is None:
                continue
            # The counters of another incarnation started at zero.
            since = before if before[INCARNATION] == now[INCARNATION] else (0,) * len(now)
            new = server.runs(record.version)
            # Crashes of targets that don't run the new version are counted by `crashed_targets`.
            crashes = 0 if server.id in targets and not new else _crashes_since(server, crashes_before)
            samples.append(_sample(server, new, since, now, by_value, crashes))
        return samples


def _sample(
    server: ServerStatus,
    new: bool,
    since: tuple[int, ...],
    now: tuple[int, ...],
    by_value: bool,
    crashes: int,
) -> SlotSample:
    """Return the sample of a server for the time between the cumulative metrics `since` and `now`."""
    tasks, finished, rejected, abandoned, slow = (max(0, now[k] - since[k]) for k in range(COUNTERS))
    arrived_value, served_value = (max(0, now[k] - since[k]) for k in (FIGURES, FIGURES + 1))
    arrived = max(1, tasks)
    served = served_value / arrived_value if by_value and arrived_value else finished / arrived
    return SlotSample(
        id=server.id,
        zone=server.zone,
        new=new,
        cold=not server.warm,
        tasks=tasks,
        served=min(1.0, served),
        rejected=min(1.0, rejected / arrived),
        abandoned=min(1.0, abandoned / arrived),
        slow=min(1.0, slow / max(1, finished)),
        memory=now[MEMORY] / MEMORY_SCALE,
        crashes=crashes,
        broken=0,
    )


def crashed_targets(
    servers: Iterable[ServerStatus],
    record: RolloutRecord,
    targets: Collection[str],
    crashes_before: Mapping[str, int],
) -> list[SlotSample]:
    """Return samples with only crashes, for targets that don't run the new version.

    A target that crashes, or whose successors crash while the old version keeps serving, reports no metrics
    for the new version; its crashes still count for the new version.
    """
    samples = []
    for server in servers:
        crashes = _crashes_since(server, crashes_before)
        if server.id in targets and not server.runs(record.version) and crashes > 0:
            samples.append(
                SlotSample(
                    id=server.id,
                    zone=server.zone,
                    new=True,
                    cold=True,
                    tasks=0,
                    served=0.0,
                    rejected=0.0,
                    abandoned=0.0,
                    slow=0.0,
                    memory=0.0,
                    crashes=crashes,
                    broken=0,
                )
            )
    return samples


def _crashes_since(server: ServerStatus, crashes_before: Mapping[str, int]) -> int:
    return server.crashes - crashes_before.get(server.id, 0) if len(server.figures) > CRASHES else 0
