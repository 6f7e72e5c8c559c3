"""What servers did in a slot: samples for the canary analysis, from the figures that members show."""

from collections.abc import Collection, Iterable, Mapping

from thistleline.rollout.metrics import SlotSample
from thistleline.rollout.record import RolloutRecord
from thistleline.rollout.server_status import COUNTERS, CRASHES, FIGURES, INCARNATION, MEMORY, ServerStatus

MEMORY_SCALE = 1_000_000  # kB that count as the whole, so that growth is a small part


class SlotSampler:
    """Turns figures that only grow into what was done in each slot.

    Attributes:
        previous: Figures and value of each server at the end of the last slot.
    """

    def __init__(self) -> None:
        """Begin with nothing to compare with."""
        self.previous: dict[str, tuple[int, ...]] = {}

    def copy(self) -> "SlotSampler":
        """Return an independent copy."""
        made = SlotSampler()
        made.previous = dict(self.previous)
        return made

    def sample(
        self,
        servers: Iterable[ServerStatus],
        record: RolloutRecord | None,
        targets: Collection[str],
        crashes_before: Mapping[str, int],
    ) -> list[SlotSample]:
        """End a slot and return what each server did in it.

        Args:
            servers: The fleet as it is seen now.
            record: The change; without one the figures are only remembered.
            targets: Servers that should run the new version.
            crashes_before: Crashes of servers as the stage began, 0 where not named.
        """
        servers = list(servers)
        # Where one does not say what its work was worth, counts are compared; prevents the value of new ones
        # from being held against the counts of old ones.
        by_value = all(one.value[0] for one in servers if one.up and one.figures[:1] > (0,))
        samples = []
        for server in servers:
            if len(server.figures) < FIGURES:
                continue
            before = self.previous.get(server.id)
            now = (*server.figures[:FIGURES], *server.value)
            self.previous[server.id] = now
            if before is None or not server.up or record is None:
                continue
            # Figures of another incarnation began anew.
            since = before if before[INCARNATION] == now[INCARNATION] else (0,) * len(now)
            new = server.runs(record.version)
            # Crashes of one that should run the new version and does not are counted by `crashed_targets`.
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
    """Return what a server did between two figures."""
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
    """Return samples of crashes alone, of targets that don't run the new version.

    One that crashes, or whose successors do while the old version serves on, shows no figures of the new
    version; its crashes are the new version's all the same.
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
