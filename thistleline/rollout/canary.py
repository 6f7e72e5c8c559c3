"""Canary analysis: compares servers on the new version with a control group on the old one. No I/O, no clock.

Below, a new server or canary is a server that runs the new version of the rollout, and an old server is one
that runs the old version; a cold server has started recently, a warm one has not. A slot is a measuring
interval: every server yields one sample per slot. The worsening of a metric is the difference between new and
old servers, with the sign that makes a worse value of the new ones positive.

The verdict is "worse", "not worse" or "can't tell" (yet). Servers are compared within the same slot and the
same zone, so that whatever affects both groups, such as a burst or a noisy neighbour, cancels out. Each
slot and zone yields one difference per metric: the median of the new servers minus the median of the old
ones. The differences are clipped, which limits the weight of a single outlier slot, and bounded by confidence
sequences, which may be checked after every slot (`confidence.py`).

- `alpha` is divided among all metrics, zones and the whole fleet, so that more metrics cause no more false
  alarms.
- Only a difference above a practical margin counts as worse, and only if most of the new servers show it
  individually: a noisy neighbour of one of them is not a fault of the release.
- With one or two new servers, the effect of the release can't be distinguished from the effect of their
  machines, so that only severe differences count.
- A new server that stops reporting, detects an internal rule violation or crashes repeatedly counts as worse
  immediately; so does a crash rate above twice that of the old servers (`canary_health.py`).
"""

from collections.abc import Iterable
from operator import attrgetter
from statistics import median
from typing import Any, Literal, NamedTuple

from thistleline.rollout.canary_health import MIN_TASKS, CanaryHealth
from thistleline.rollout.confidence import ConfidenceSequence
from thistleline.rollout.metrics import GUARDRAIL_METRICS, Metric, SlotSample

Verdict = Literal["worse", "not worse", "can't tell"]
MAX_DIFFERENCE = 0.10  # differences are clipped to +/- this; a wider range would widen the bounds
FEW_CANARIES = 2  # up to this many servers on the new version, only severe differences count
SEVERE_DIFFERENCE = 0.06  # least worsening that counts with one canary; with n canaries, this divided by n
DETECTABLE_DIFFERENCE = 0.03  # the verdict 'not worse' does not have to exclude a smaller worsening
MIN_SERVER_SAMPLES = 3  # samples required of a canary before its mean worsening is considered individually
UNANIMOUS_CANARIES = 4  # up to this many canaries, each of them has to show the worsening individually
MIN_AGREEMENT = 0.6  # share of the canaries that have to show the worsening, if there are more of them
MIN_COLD_SAMPLES = 6  # samples of cold old servers, before cold new servers are compared with them
FLEET = "all"  # stands for the whole fleet in place of a zone

_METRIC_BY_NAME = {metric.name: metric for metric in GUARDRAIL_METRICS}
_Key = tuple[str, str, bool]  # metric name; zone, FLEET or server id; whether for cold servers


class Finding(NamedTuple):
    """Comparison of a metric between servers on the new and the old version, with bounds on the worsening.

    Attributes:
        metric: Name of the metric.
        where: The zone compared, or "all" for the fleet; followed by ", cold" if cold servers were compared.
        lower: Lower bound on the worsening.
        upper: Upper bound on the worsening.
        mean: Mean worsening.
        slots: Number of slots compared.
    """

    metric: str
    where: str
    lower: float
    upper: float
    mean: float
    slots: int

    def log_fields(self) -> dict[str, Any]:
        """Return the finding as fields of a log line."""
        return {
            "measure": self.metric,
            "where": self.where,
            "least": self.lower,
            "most": self.upper,
            "mean": self.mean,
            "slots": self.slots,
        }


class Judgement(NamedTuple):
    """A verdict with the findings that support it, the most severe first, and a human-readable reason."""

    verdict: Verdict
    findings: list[Finding]
    reason: str


class ColdBaseline:
    """Mean worsening of recently started (cold) servers on the old version, by metric.

    It is relative to warm servers of the old version in the same zone.
    """

    def __init__(self) -> None:
        """Create a baseline without samples."""
        self._counts: dict[str, int] = {}
        self._totals: dict[str, float] = {}

    def add(self, metric: str, worse: float) -> None:
        """Add how much worse the metric of a cold server on the old version was in one measuring interval."""
        self._counts[metric] = self._counts.get(metric, 0) + 1
        self._totals[metric] = self._totals.get(metric, 0.0) + worse

    def mean(self, metric: str) -> float | None:
        """Return the mean worsening of the metric; None while it has fewer than MIN_COLD_SAMPLES samples."""
        count = self._counts.get(metric, 0)
        return self._totals[metric] / count if count >= MIN_COLD_SAMPLES else None


class CanaryAnalysis:
    """Compares the servers on the new version in one stage of a rollout with servers on the old version.

    Attributes:
        slots: Number of slots (measuring intervals) so far.
        compared_slots: Number of slots in which warm new servers could be compared with warm old ones.
        min_slots: Compared slots required for the verdict 'not worse', if the bounds allow it.
        health: Checks that stop the rollout's stage immediately.
    """

    def __init__(
        self, zones: Iterable[str], alpha: float, min_slots: int, cold_baseline: ColdBaseline | None = None
    ) -> None:
        """Create the analysis for a stage of a rollout.

        Args:
            zones: Zones of the fleet.
            alpha: Maximum probability that a harmless version is judged worse.
            min_slots: Compared slots required for the verdict 'not worse'.
            cold_baseline: Samples of cold old servers from earlier stages of the rollout; extended here.
        """
        self.zones = tuple(zones)
        self.min_slots = min_slots
        self.slots = 0
        self.compared_slots = 0
        self.health = CanaryHealth()
        self._cold_baseline = ColdBaseline() if cold_baseline is None else cold_baseline
        comparisons = len(GUARDRAIL_METRICS) * (len(self.zones) + 1) * 2  # warm and cold servers separately
        self._alpha = alpha / comparisons
        self._sequences: dict[_Key, ConfidenceSequence] = {}
        self._by_server: dict[_Key, tuple[int, float]] = {}  # each canary's samples and summed worsening

    def add_slot(self, samples: Iterable[SlotSample], expected: Iterable[str]) -> None:
        """Add the samples of one slot; `expected`: servers on the new version that should have reported."""
        self.slots += 1
        samples = list(samples)
        self.health.add_slot(self.slots, samples, expected)
        busy = [sample for sample in samples if sample.tasks >= MIN_TASKS]
        warm = [sample for sample in busy if not sample.cold]
        cold = [sample for sample in busy if sample.cold]
        for metric in GUARDRAIL_METRICS:
            self._compare_warm(metric, warm)
            self._compare_cold(metric, warm, cold)

    def _compare_warm(self, metric: Metric, samples: list[SlotSample]) -> None:
        """Compare a metric of warm servers on the new version with that of warm servers on the old one.

        Medians are compared within each zone. The comparison for the whole fleet is the mean over the zones,
        weighted by their number of new servers.
        """
        value_of = attrgetter(metric.name)
        differences: list[tuple[float, int]] = []
        for zone in self.zones:
            in_zone = [sample for sample in samples if sample.zone == zone]
            old = [value_of(sample) for sample in in_zone if not sample.new]
            new = [sample for sample in in_zone if sample.new]
            if not old:  # a zone with only new servers is compared with the old ones of all other zones
                old = [value_of(sample) for sample in samples if not sample.new]
            if not old or not new:
                continue
            base = median(old)
            for sample in new:
                self._add_server_difference(
                    sample.id, metric, False, metric.worsening(value_of(sample), base)
                )
            worse = metric.worsening(median(value_of(sample) for sample in new), base)
            self._add_difference(metric, zone, False, worse)
            differences.append((worse, len(new)))
        if not differences:
            return
        new_servers = sum(count for _, count in differences)
        fleet_worse = sum(worse * count for worse, count in differences) / new_servers
        self._add_difference(metric, FLEET, False, fleet_worse)
        if metric is GUARDRAIL_METRICS[0]:
            self.compared_slots += 1

    def _compare_cold(self, metric: Metric, warm: list[SlotSample], cold: list[SlotSample]) -> None:
        """Compare cold new servers with cold old ones of the same age, which may be sampled in other slots.

        The compared value is the worsening relative to the warm old servers of the zone in the same slot. The
        cold old servers are the controls restarted by the rollout, and any that restarted for other reasons.
        """
        if not cold:
            return
        value_of = attrgetter(metric.name)
        old_by_zone: dict[str, list[float]] = {}
        for sample in warm:
            if not sample.new:
                old_by_zone.setdefault(sample.zone, []).append(value_of(sample))
        medians = {zone: median(values) for zone, values in old_by_zone.items()}
        for sample in cold:
            if sample.zone not in medians:
                continue
            worse = metric.worsening(value_of(sample), medians[sample.zone])
            if not sample.new:
                self._cold_baseline.add(metric.name, worse)
                continue
            baseline = self._cold_baseline.mean(metric.name)
            if baseline is not None:
                self._add_server_difference(sample.id, metric, True, worse - baseline)
                self._add_difference(metric, FLEET, True, worse - baseline)

    def _add_server_difference(self, server_id: str, metric: Metric, cold: bool, worse: float) -> None:
        count, total = self._by_server.get((server_id, metric.name, cold), (0, 0.0))
        self._by_server[server_id, metric.name, cold] = count + 1, total + worse

    def _add_difference(self, metric: Metric, where: str, cold: bool, worse: float) -> None:
        sequence = self._sequences.get((metric.name, where, cold))
        if sequence is None:
            sequence = ConfidenceSequence(self._alpha)
            self._sequences[metric.name, where, cold] = sequence
        clipped = max(-MAX_DIFFERENCE, min(MAX_DIFFERENCE, worse))
        sequence.add((clipped + MAX_DIFFERENCE) / (2 * MAX_DIFFERENCE))

    # ---- verdict

    def judge(self, zone_of: dict[str, str]) -> Judgement:
        """Return the current verdict; `zone_of` maps each server to its zone."""
        if self.health.fault:
            return Judgement("worse", [], self.health.fault)
        worse, undecided = self._findings(zone_of)
        if worse:
            worse.sort(key=lambda finding: -finding.lower)
            most_severe = worse[0]
            reason = (
                f"{most_severe.metric} is worse by at least {most_severe.lower:.3f} ({most_severe.where})"
            )
            return Judgement("worse", worse, reason)
        return self._judge_not_worse(undecided)

    def _judge_not_worse(self, undecided: list[Finding]) -> Judgement:
        """Return the verdict if no finding is worse; `undecided`: findings whose bounds allow a worsening."""
        crashed_at = self.health.last_crash_slot
        if crashed_at and self.slots - crashed_at < self.min_slots:
            return Judgement("can't tell", [], "a new server crashed recently")
        if self.compared_slots >= self.min_slots:
            if not undecided:
                return Judgement("not worse", [], f"{self.compared_slots} slots compared")
            canaries = len(self.health.new)
            if 0 < canaries <= FEW_CANARIES:
                reason = f"no severe worsening in {self.compared_slots} slots, new servers: {canaries}"
                return Judgement("not worse", [], reason)
        if self.slots - self.health.last_control_slot >= self.min_slots:
            return Judgement("not worse", [], "no control servers are left to compare with")
        undecided.sort(key=lambda finding: -finding.upper)
        return Judgement("can't tell", undecided, f"{self.compared_slots} of {self.min_slots} slots compared")

    def _findings(self, zone_of: dict[str, str]) -> tuple[list[Finding], list[Finding]]:
        """Return the findings that show a worsening, and those for the whole fleet that don't exclude one."""
        worse: list[Finding] = []
        undecided: list[Finding] = []
        for (name, where, cold), sequence in self._sequences.items():
            metric = _METRIC_BY_NAME[name]
            finding = _finding(name, where + (", cold" if cold else ""), sequence)
            canaries = [
                server_id for server_id in self.health.new if where in (FLEET, zone_of.get(server_id, ""))
            ]
            # A lasting noisy neighbour shifts the mean of few servers as much as a bad release would.
            severe = SEVERE_DIFFERENCE / max(1, len(canaries))
            margin = max(metric.margin, severe)
            if finding.lower > margin and self._canaries_agree(metric, where, cold, zone_of):
                worse.append(finding)
            excluded = max(margin, DETECTABLE_DIFFERENCE, 2 * severe)
            if not worse and where == FLEET and not cold and finding.upper > excluded:
                undecided.append(finding)
        return worse, undecided

    def _canaries_agree(self, metric: Metric, where: str, cold: bool, zone_of: dict[str, str]) -> bool:
        """Return whether enough of the servers on the new version show the worsening individually."""
        means = [
            total / count
            for (server_id, name, server_cold), (count, total) in self._by_server.items()
            if name == metric.name
            and server_cold == cold
            and count >= MIN_SERVER_SAMPLES
            and where in (FLEET, zone_of.get(server_id, ""))
        ]
        needed = len(means) if len(means) <= UNANIMOUS_CANARIES else MIN_AGREEMENT * len(means)
        return bool(means) and sum(mean > metric.margin for mean in means) >= needed


def _finding(metric: str, where: str, sequence: ConfidenceSequence) -> Finding:
    return Finding(
        metric,
        where,
        _unscaled(sequence.lower),
        _unscaled(sequence.upper),
        _unscaled(sequence.mean),
        sequence.count,
    )


def _unscaled(value: float) -> float:
    """Convert a confidence sequence's value in [0, 1] back into a worsening within +/- MAX_DIFFERENCE."""
    return round(value * 2 * MAX_DIFFERENCE - MAX_DIFFERENCE, 4)
