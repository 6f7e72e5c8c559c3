"""Checks that stop a stage without statistics: silence, broken rules and crashes of new servers."""

from collections.abc import Iterable

from thistleline.rollout.metrics import SlotSample

SILENT_SLOTS = 4  # in a row without a report of a new server that should report
MIN_TASKS = 5  # of a server in a slot, for its rates to be meaningful
CRASH_LOOP_COUNT = 3  # crashes of one server in a stage
MIN_CRASHES = 2  # of all new servers together, before their rate is compared with that of old ones


class CanaryHealth:
    """Monitors the new servers of one stage.

    Attributes:
        fault: Why the stage has to be stopped; empty if there is no reason.
        new: Ids of the new servers that have reported.
        last_control_slot: The last slot in which an old server reported; 0 for none.
        last_crash_slot: The last slot with a new crash of a new server; 0 for none.
    """

    def __init__(self) -> None:
        """Create the checks without any report."""
        self.fault = ""
        self.new: set[str] = set()
        self.last_control_slot = 0
        self.last_crash_slot = 0
        self._silent_slots: dict[str, int] = {}
        self._crashes_of_new: dict[str, int] = {}  # as last reported
        self._crashes_of_old: dict[str, int] = {}

    def add_slot(self, slot: int, samples: list[SlotSample], expected: Iterable[str]) -> None:
        """Check the samples of one slot.

        Args:
            slot: Number of the slot, from 1.
            samples: Samples of servers in the slot.
            expected: The new servers that should have reported.
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
        """Return whether new servers crashed, and more than twice as often per server as old ones."""
        new_crashes = sum(self._crashes_of_new.values())
        old_crashes = sum(self._crashes_of_old.values())
        old_servers = max(1, len(self._crashes_of_old))
        new_servers = max(1, len(self.new))
        return new_crashes >= MIN_CRASHES and new_crashes * old_servers > 2 * old_crashes * new_servers
