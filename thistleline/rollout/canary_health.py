"""What stops a stage at once, without statistics: silence, broken rules and crashes of new servers."""

from collections.abc import Iterable

from thistleline.rollout.metrics import SlotSample

SILENT_SLOTS = 4  # without a word from a new server that should speak
MIN_TASKS = 5  # of a server in a slot, for its rates to say anything
CRASH_LOOP_COUNT = 3  # crashes of one server in a stage
MIN_CRASHES = 2  # of all new servers, before their rate is compared


class CanaryHealth:
    """Follows the new servers of one stage.

    Attributes:
        fault: Why the stage is to be stopped; empty while nothing was seen.
        new: Ids of the new servers that were seen.
        last_control_slot: The last slot in which an old server spoke.
        last_crash_slot: The last slot in which a new server had crashed anew; 0 for none.
    """

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.fault = ""
        self.new: set[str] = set()
        self.last_control_slot = 0
        self.last_crash_slot = 0
        self._silent_slots: dict[str, int] = {}
        self._crashes_of_new: dict[str, int] = {}  # as last told
        self._crashes_of_old: dict[str, int] = {}

    def add_slot(self, slot: int, samples: list[SlotSample], expected: Iterable[str]) -> None:
        """Take all that is known of one slot.

        Args:
            slot: Its number, from 1.
            samples: What servers did.
            expected: The new servers that should have spoken.
        """
        self._check_silence(samples, expected)
        for sample in samples:
            if sample.new:
                self._check_new(slot, sample)
            else:
                self.last_control_slot = slot
                self._crashes_of_old[sample.id] = sample.crashes
        if self._crashes_more():
            self._stop(f"{sum(self._crashes_of_new.values())} crashes of new servers")

    def _stop(self, fault: str) -> None:
        """Note a fault; the first one counts."""
        self.fault = self.fault or fault

    def _check_silence(self, samples: list[SlotSample], expected: Iterable[str]) -> None:
        # Figures that stand still while those of others move say as little as none.
        busy_zones = {one.zone for one in samples if not one.new and one.tasks >= MIN_TASKS}
        spoke = {one.id for one in samples if one.tasks or one.zone not in busy_zones}
        for server_id in expected:
            silent = 0 if server_id in spoke else self._silent_slots.get(server_id, 0) + 1
            self._silent_slots[server_id] = silent
            if silent >= SILENT_SLOTS:
                self._stop(f"{server_id} is silent")

    def _check_new(self, slot: int, sample: SlotSample) -> None:
        self.new.add(sample.id)
        if sample.broken:
            self._stop(f"{sample.id} broke a rule")
        if sample.crashes >= CRASH_LOOP_COUNT:
            self._stop(f"{sample.id} crashes again and again")
        if sample.crashes > self._crashes_of_new.get(sample.id, 0):
            self._crashes_of_new[sample.id] = sample.crashes
            self.last_crash_slot = slot

    def _crashes_more(self) -> bool:
        """Tell whether new servers crashed, and more than twice as often as old ones, a server."""
        new_crashes = sum(self._crashes_of_new.values())
        old_crashes = sum(self._crashes_of_old.values())
        old_servers = max(1, len(self._crashes_of_old))
        new_servers = max(1, len(self.new))
        return new_crashes >= MIN_CRASHES and new_crashes * old_servers > 2 * old_crashes * new_servers
