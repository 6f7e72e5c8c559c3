"""Checks that stop a rollout's stage without statistics: silent, crashing or rule-breaking new servers.

New servers run the new version of the rollout, old servers the old one. A slot is a measuring interval.
"""

from collections.abc import Iterable

from thistleline.rollout.metrics import SlotSample

SILENT_SLOTS = 4  # slots in a row without a report from a new server, after which it counts as silent
MIN_TASKS = 5  # tasks that a server must have received in a slot for its rates to be meaningful
CRASH_LOOP_COUNT = 3  # crashes of one new server in a stage of the rollout that count as a crash loop
MIN_CRASHES = 2  # crashes of all new servers together, before their crash rate is compared with the old ones'


class CanaryHealth:
    """Monitors the servers on the new version during one stage of a rollout.

    Attributes:
        fault: Why the rollout's stage has to be stopped; empty if there is no reason.
        new: Ids of the new servers that have reported.
        last_control_slot: The last slot in which an old server reported; 0 for none.
        last_crash_slot: The last slot with a new crash of a new server; 0 for none.
    """

    def __init__(self) -> None:
        """Start before any server has reported."""
        self.fault = ""
        self.new: set[str] = set()
        self.last_control_slot = 0
        self.last_crash_slot = 0
        self._silent_slots: dict[str, int] = {}
        self._crashes_of_new: dict[str, int] = {}  # by server id, as last reported
        self._crashes_of_old: dict[str, int] = {}

    def add_slot(self, slot: int, samples: list[SlotSample], expected: Iterable[str]) -> None:
        """Check the samples of one slot (measuring interval).

        Args:
            slot: Number of the slot, from 1.
            samples: Samples of servers in the slot.
            expected: Ids of the servers on the new version that should have reported.
        """
        self._check_silence(samples, expected)
        for sample in samples:
            if sample.new:
                self._check_new(slot, sample)
            else:
                self.last_control_slot = slot
                self._crashes_of_old[sample.id] = sample.crashes
        if self._has_higher_crash_rate():
            self._stop(f"{sum(self._crashes_of_new.values())} crashes of new servers")

    def _stop(self, fault: str) -> None:
        """Record a fault; only the first one is kept."""
        self.fault = self.fault or fault

    def _check_silence(self, samples: list[SlotSample], expected: Iterable[str]) -> None:
        # A server whose counters do not advance while others in its zone are busy counts as silent.
        busy_zones = {sample.zone for sample in samples if not sample.new and sample.tasks >= MIN_TASKS}
        reported = {sample.id for sample in samples if sample.tasks or sample.zone not in busy_zones}
        for server_id in expected:
            silent = 0 if server_id in reported else self._silent_slots.get(server_id, 0) + 1
            self._silent_slots[server_id] = silent
            if silent >= SILENT_SLOTS:
                self._stop(f"{server_id} is silent")

    def _check_new(self, slot: int, sample: SlotSample) -> None:
        self.new.add(sample.id)
        if sample.broken:
            self._stop(f"{sample.id} broke a rule")
        if sample.crashes >= CRASH_LOOP_COUNT:
            self._stop(f"{sample.id} crashes repeatedly")
        if sample.crashes > self._crashes_of_new.get(sample.id, 0):
            self._crashes_of_new[sample.id] = sample.crashes
            self.last_crash_slot = slot

    def _has_higher_crash_rate(self) -> bool:
        """Return whether servers on the new version crash more than twice as often as those on the old one.

        Crashes are counted per server, and the new servers must have at least MIN_CRASHES in total.
        """
        new_crashes = sum(self._crashes_of_new.values())
        old_crashes = sum(self._crashes_of_old.values())
        old_servers = max(1, len(self._crashes_of_old))
        new_servers = max(1, len(self.new))
        return new_crashes >= MIN_CRASHES and new_crashes * old_servers > 2 * old_crashes * new_servers
