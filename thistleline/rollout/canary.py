"""Canary analysis: new servers against the control group of old ones. No I/O, no clock.

The verdict is: worse, not worse, or can't tell yet. What is compared is what servers did in the same slot of
time in the same zone, so that what hits both, a burst or a noisy neighbour, takes itself out. Each slot and
zone gives a difference for each metric: the median of the new ones less that of the old ones. Of those,
bounds that hold at any look (`confidence.py`), clipped so that one wild slot says no more than that it was
bad.

- `alpha` is shared out over all metrics, zones and the whole: many metrics bring no more alarms.
- Only a difference beyond a practical margin is worse, and only if most of the new ones show it by
  themselves: a noisy neighbour of one of them is no fault of the release.
- One or two new ones alone can't tell their release from their machine: from them only what is grave counts.
- Silence, a broken rule or a crash loop is worse at once (`canary_health.py`).
"""

from collections.abc import Iterable
from operator import attrgetter
from statistics import median
from typing import Any, Literal, NamedTuple

from thistleline.rollout.canary_health import MIN_TASKS, CanaryHealth
from thistleline.rollout.confidence import ConfidenceSequence
from thistleline.rollout.metrics import GUARDRAIL_METRICS, Metric, SlotSample

Verdict = Literal["worse", "not worse", "can't tell"]
MAX_DIFFERENCE = 0.10  # clip of a difference: narrow, as the bounds are as wide as what they allow for
FEW_CANARIES = 2  # so many new servers are few
GRAVE_DIFFERENCE = 0.06  # what counts from a single new server; from n the n-th part
DETECTABLE_DIFFERENCE = 0.03  # a worsening below that need not be excluded before 'not worse' is said
MIN_OWN_SAMPLES = 3  # of a new server, before it has a say
UNANIMOUS_CANARIES = 4  # up to so many new servers, each has to show a worsening
MIN_AGREEMENT = 0.6  # of more new servers, this part has to show it
MIN_COLD_SAMPLES = 6  # of cold old servers, before cold new ones are held against them
FLEET = "all"  # in place of a zone

_GUARDRAIL_METRIC = {metric.name: metric for metric in GUARDRAIL_METRICS}
_Key = tuple[str, str, bool]  # a metric; a zone, FLEET or a server; whether of cold servers


class Finding(NamedTuple):
    """How a metric of the new servers compares, with bounds on how much worse they are.

    Attributes:
        metric: Its name.
        where: A zone or "all", with ", cold" for cold servers.
        lower: Lower bound on the worsening.
        upper: Upper bound on it.
        mean: Mean worsening.
        slots: Slots that it rests on.
    """

    metric: str
    where: str
    lower: float
    upper: float
    mean: float
    slots: int

    def log_fields(self) -> dict[str, Any]:
        """Return the finding as it stands in the log."""
        return {
            "measure": self.metric,
            "where": self.where,
            "least": self.lower,
            "most": self.upper,
            "mean": self.mean,
            "slots": self.slots,
        }


class Judgement(NamedTuple):
    """A verdict with the findings that it rests on, the gravest first, and the reason in words."""

    verdict: Verdict
    findings: list[Finding]
    reason: str


class ColdBaseline:
    """How far cold old servers fall behind warm ones of their zone, by metric."""

    def __init__(self) -> None:
        """Begin without a sample."""
        self._counts: dict[str, int] = {}
        self._totals: dict[str, float] = {}

    def add(self, metric: str, behind: float) -> None:
        """Add a sample of a cold old server."""
        self._counts[metric] = self._counts.get(metric, 0) + 1
        self._totals[metric] = self._totals.get(metric, 0.0) + behind

    def mean(self, metric: str) -> float | None:
        """Return how far they fall behind; None while there are too few samples."""
        count = self._counts.get(metric, 0)
        return self._totals[metric] / count if count >= MIN_COLD_SAMPLES else None


class CanaryAnalysis:
    """Compares the new servers of one stage with its control group.

    Attributes:
        slots: Slots so far.
        compared_slots: Slots in which warm new servers could be held against warm old ones.
        min_slots: Slots after which 'not worse' may be said, if the bounds allow it.
        health: What stops the stage at once.
    """

    def __init__(
        self, zones: Iterable[str], alpha: float, min_slots: int, cold_baseline: ColdBaseline | None = None
    ) -> None:
        """Begin a stage.

        Args:
            zones: Zones of the fleet.
            alpha: How often a harmless version may be called worse, at most.
            min_slots: Slots after which 'not worse' may be said.
            cold_baseline: What earlier stages of the same change learned of cold old servers; grows here.
        """
        self.zones = tuple(zones)
        self.min_slots = min_slots
        self.slots = 0
        self.compared_slots = 0
        self.health = CanaryHealth()
        self._cold_baseline = ColdBaseline() if cold_baseline is None else cold_baseline
        comparisons = len(GUARDRAIL_METRICS) * (len(self.zones) + 1) * 2  # the cold are judged apart
        self._alpha = alpha / comparisons
        self._sequences: dict[_Key, ConfidenceSequence] = {}
        self._own: dict[_Key, tuple[int, float]] = {}  # count and sum of each new server's own worsening

    def add_slot(self, samples: Iterable[SlotSample], expected: Iterable[str]) -> None:
        """Take all that is known of one slot; `expected`: the new servers that should have spoken."""
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
        """Compare medians zone by zone, and over the fleet weighted by new servers."""
        value_of = attrgetter(metric.name)
        differences: list[tuple[float, int]] = []
        for zone in self.zones:
            in_zone = [sample for sample in samples if sample.zone == zone]
            old = [value_of(sample) for sample in in_zone if not sample.new]
            new = [sample for sample in in_zone if sample.new]
            if not old:  # a zone of new ones alone is held against all others
                old = [value_of(sample) for sample in samples if not sample.new]
            if not old or not new:
                continue
            base = median(old)
            for sample in new:
                self._add_own(sample.id, metric, False, metric.worsening(value_of(sample), base))
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
        """Compare cold new servers with cold old ones, of the same age but not of the same moment.

        Of each counts how far it falls behind the warm old ones of its zone just then. The cold old ones are
        the restarted controls, and any that came up by themselves.
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
            behind = metric.worsening(value_of(sample), medians[sample.zone])
            if not sample.new:
                self._cold_baseline.add(metric.name, behind)
                continue
            usual = self._cold_baseline.mean(metric.name)
            if usual is not None:
                self._add_own(sample.id, metric, True, behind - usual)
                self._add_difference(metric, FLEET, True, behind - usual)

    def _add_own(self, server_id: str, metric: Metric, cold: bool, worse: float) -> None:
        count, total = self._own.get((server_id, metric.name, cold), (0, 0.0))
        self._own[server_id, metric.name, cold] = count + 1, total + worse

    def _add_difference(self, metric: Metric, where: str, cold: bool, worse: float) -> None:
        sequence = self._sequences.get((metric.name, where, cold))
        if sequence is None:
            sequence = ConfidenceSequence(self._alpha)
            self._sequences[metric.name, where, cold] = sequence
        clipped = max(-MAX_DIFFERENCE, min(MAX_DIFFERENCE, worse))
        sequence.add((clipped + MAX_DIFFERENCE) / (2 * MAX_DIFFERENCE))

    # ---- the verdict

    def judge(self, zone_of: dict[str, str]) -> Judgement:
        """Return the verdict by now; `zone_of`: the zone of each server."""
        if self.health.fault:
            return Judgement("worse", [], self.health.fault)
        worse, undecided = self._findings(zone_of)
        if worse:
            worse.sort(key=lambda finding: -finding.lower)
            gravest = worse[0]
            reason = f"{gravest.metric} is worse by {gravest.lower:.3f} at the least, {gravest.where}"
            return Judgement("worse", worse, reason)
        return self._judge_not_worse(undecided)

    def _judge_not_worse(self, undecided: list[Finding]) -> Judgement:
        """Return the verdict where nothing is worse; `undecided`: worsenings that are not excluded yet."""
        crashed_at = self.health.last_crash_slot
        if crashed_at and self.slots - crashed_at < self.min_slots:
            return Judgement("can't tell", [], "a new server crashed a while ago")
        if self.compared_slots >= self.min_slots:
            if not undecided:
                return Judgement("not worse", [], f"{self.compared_slots} slots")
            canaries = len(self.health.new)
            if 0 < canaries <= FEW_CANARIES:
                reason = f"nothing grave in {self.compared_slots} slots of {canaries}"
                return Judgement("not worse", [], reason)
        if self.slots - self.health.last_control_slot >= self.min_slots:
            return Judgement("not worse", [], "no old ones are left to hold it against")
        undecided.sort(key=lambda finding: -finding.upper)
        return Judgement("can't tell", undecided, f"{self.compared_slots} slots of {self.min_slots}")

    def _findings(self, zone_of: dict[str, str]) -> tuple[list[Finding], list[Finding]]:
        """Return what is worse, and what of the whole fleet may still be."""
        worse: list[Finding] = []
        undecided: list[Finding] = []
        for (name, where, cold), sequence in self._sequences.items():
            metric = _GUARDRAIL_METRIC[name]
            finding = _finding(name, where + (", cold" if cold else ""), sequence)
            canaries = [one for one in self.health.new if where in (FLEET, zone_of.get(one, ""))]
            # A noisy neighbour that lasts moves the mean of few by as much as the release might.
            grave = GRAVE_DIFFERENCE / max(1, len(canaries))
            margin = max(metric.margin, grave)
            if finding.lower > margin and self._canaries_agree(metric, where, cold, zone_of):
                worse.append(finding)
            excluded = max(margin, DETECTABLE_DIFFERENCE, 2 * grave)
            if not worse and where == FLEET and not cold and finding.upper > excluded:
                undecided.append(finding)
        return worse, undecided

    def _canaries_agree(self, metric: Metric, where: str, cold: bool, zone_of: dict[str, str]) -> bool:
        """Tell whether most of the new servers show a worsening, each by itself."""
        means = [
            total / count
            for (server_id, name, own_cold), (count, total) in self._own.items()
            if name == metric.name
            and own_cold == cold
            and count >= MIN_OWN_SAMPLES
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
    """Return the worsening that a value in [0, 1] stands for."""
    return round(value * 2 * MAX_DIFFERENCE - MAX_DIFFERENCE, 4)
