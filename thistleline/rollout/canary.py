"""New against old: worse, not worse, or can't tell yet. No I/O, no clock.

What is compared is what servers did in the same slot of time in the same zone, so that what hits both, a
burst or a neighbour's trouble, takes itself out. Each slot and zone gives a difference a measure: the median
of the new ones less that of the old ones. Of those, bounds that hold at any look (bounds.py), clipped so
that one wild slot says no more than that it was bad.

- `alpha` is shared out over all measures, zones and the whole: many measures bring no more alarms.
- Only a difference beyond a practical margin is worse, and only if most of the new ones show it by
  themselves: a neighbour's trouble on one of them is no fault of the release.
- One or two new ones alone can't tell their release from their machine: from them only what is grave counts.
- What is silent is worse, and a broken rule or a crash loop is at once.
"""

from collections.abc import Iterable
from statistics import fmean, median
from typing import Literal, NamedTuple

from thistleline.rollout.confidence import Bounds

Verdict = Literal["worse", "not worse", "can't tell"]
CLIP = 0.10  # of a difference: narrow, as the bounds are as wide as what they allow for
FEW, GRAVE = 2, 0.06  # so many new ones are few, and what counts from them
SILENT_SLOTS = 4  # without a word from a new one that should speak
LEAST_TASKS = 5  # of a server in a slot, for its rates to say anything
AGREE = 0.6  # of the new ones have to show it
COLD_LEAST = 6  # samples of cold old ones, before cold new ones are held against them
CRASH_LOOP = 3  # restarts that nobody asked for, of one server in a stage


class Slot(NamedTuple):
    """What one server did in one slot."""

    id: str
    zone: str
    new: bool
    cold: bool
    tasks: int
    served: float  # part of the utility of what came that was finished in time, 0 to 1
    rejected: float  # parts of what came
    abandoned: float
    slow: float  # part of what finished that took longer than it should, of the worst stage
    memory: float  # part of the limit
    crashes: int  # since the stage began, not asked for
    broken: int  # rules, as the server itself noticed them


class Measure(NamedTuple):
    name: str
    margin: float  # a worsening of so much is of no practical matter
    sign: int  # 1: more is worse
    relative: bool = False  # to what the old ones have


MEASURES = (
    Measure("served", 0.01, -1),
    Measure("rejected", 0.02, 1),
    Measure("abandoned", 0.01, 1),
    Measure("slow", 0.03, 1),
    Measure("memory", 0.05, 1, True),
)


class Finding(NamedTuple):
    """Why a verdict is what it is."""

    measure: str
    where: str  # a zone, or "all"
    least: float  # bounds on how much worse the new ones are
    most: float
    mean: float
    slots: int


class Judge:
    """Of one stage."""

    def __init__(self, zones: Iterable[str], alpha: float, enough: int) -> None:
        """`enough`: slots after which 'not worse' may be said, if the bounds allow it."""
        self.zones, self.enough = tuple(zones), enough
        places = len(MEASURES) * (len(self.zones) + 1) * 2  # the cold are judged apart
        self.alpha = alpha / places
        self.bounds: dict[tuple[str, str, bool], Bounds] = {}
        self.own: dict[tuple[str, str, bool], tuple[int, float]] = {}  # count and sum of each new one's own
        self.slots = 0
        self.silent: dict[str, int] = {}
        self.at_once = ""
        self.new: set[str] = set()
        self.compared = 0  # slots in which warm new ones could be held against warm old ones
        self.old_spoke = 0  # the last slot in which an old one spoke
        self.crashed: dict[str, int] = {}  # of each new one, as last told; and of the old ones
        self.crashed_old: dict[str, int] = {}
        self.crashed_at = 0  # the last slot in which a new one had crashed anew
        self.cold_old: dict[
            str, tuple[int, float]
        ] = {}  # count and sum: how cold old ones fall behind warm ones

    def take(self, slots: Iterable[Slot], expected: Iterable[str]) -> None:
        """All that is known of one slot; `expected`: the new ones that should have spoken."""
        self.slots += 1
        told = list(slots)
        # Figures that stand still while those of others move say as little as none.
        busy = {one.zone for one in told if not one.new and one.tasks >= LEAST_TASKS}
        spoke = {one.id for one in told if one.tasks or one.zone not in busy}
        for id in expected:
            self.silent[id] = 0 if id in spoke else self.silent.get(id, 0) + 1
            if self.silent[id] >= SILENT_SLOTS:
                self.at_once = self.at_once or f"{id} is silent"
        for one in told:
            if one.new:
                self.new.add(one.id)
                if one.broken:
                    self.at_once = self.at_once or f"{one.id} broke a rule"
                if one.crashes >= CRASH_LOOP:
                    self.at_once = self.at_once or f"{one.id} crashes again and again"
                if one.crashes > self.crashed.get(one.id, 0):
                    self.crashed[one.id], self.crashed_at = one.crashes, self.slots
            else:
                self.old_spoke = self.slots
                self.crashed_old[one.id] = one.crashes
        if self._crash_more():
            self.at_once = self.at_once or f"{sum(self.crashed.values())} crashes of new servers"
        spoke_enough = [one for one in told if one.tasks >= LEAST_TASKS]
        warm = [one for one in spoke_enough if not one.cold]
        cold = [one for one in spoke_enough if one.cold]
        for measure in MEASURES:
            self._measure(measure, warm)
            self._measure_cold(measure, warm, cold)

    def _crash_more(self) -> bool:
        """Two crashes that nobody asked for, and more a server than old ones have."""
        new, old = sum(self.crashed.values()), sum(self.crashed_old.values())
        return new >= 2 and new * max(1, len(self.crashed_old)) > 2 * old * max(1, len(self.new))

    def _measure_cold(self, measure: Measure, warm: list[Slot], cold: list[Slot]) -> None:
        """Of the same age, not of the same moment: how far each falls behind the warm old ones of its zone
        just then. The old ones that say so are controls, and any that came up by themselves."""
        old: dict[str, list[float]] = {}
        for one in warm if cold else ():
            if not one.new:
                old.setdefault(one.zone, []).append(getattr(one, measure.name))
        middles = {zone: median(values) for zone, values in old.items()}
        for one in cold:
            if one.zone not in middles:
                continue
            behind = _worse(measure, getattr(one, measure.name), middles[one.zone])
            count, total = self.cold_old.get(measure.name, (0, 0.0))
            if not one.new:
                self.cold_old[measure.name] = count + 1, total + behind
            elif count >= COLD_LEAST:
                worse = behind - total / count
                known = self.own.get((one.id, measure.name, True), (0, 0.0))
                self.own[one.id, measure.name, True] = known[0] + 1, known[1] + worse
                self._sample(measure.name, "all", True, worse)

    def _measure(self, measure: Measure, told: list[Slot], cold: bool = False) -> None:
        differences: list[tuple[float, int]] = []
        for zone in self.zones:
            here = [one for one in told if one.zone == zone]
            old = [getattr(one, measure.name) for one in here if not one.new]
            new = [one for one in here if one.new]
            if not old:  # a zone of new ones alone is held against all others
                old = [getattr(one, measure.name) for one in told if not one.new]
            if not old or not new:
                continue
            base = median(old)
            for one in new:
                worse = _worse(measure, getattr(one, measure.name), base)
                count, total = self.own.get((one.id, measure.name, cold), (0, 0.0))
                self.own[one.id, measure.name, cold] = count + 1, total + worse
            worse = _worse(measure, median(getattr(one, measure.name) for one in new), base)
            self._sample(measure.name, zone, cold, worse)
            differences.append((worse, len(new)))
        if differences:
            whole = sum(worse * count for worse, count in differences) / sum(
                count for _, count in differences
            )
            self._sample(measure.name, "all", cold, whole)
            if not cold and measure is MEASURES[0]:
                self.compared += 1

    def _sample(self, measure: str, where: str, cold: bool, worse: float) -> None:
        bounds = self.bounds.get((measure, where, cold))
        if bounds is None:
            bounds = self.bounds[measure, where, cold] = Bounds(self.alpha)
        bounds.take((max(-CLIP, min(CLIP, worse)) + CLIP) / (2 * CLIP))

    def _finding(self, measure: str, where: str, bounds: Bounds) -> Finding:
        def scaled(value: float) -> float:
            return round(value * 2 * CLIP - CLIP, 4)

        return Finding(
            measure, where, scaled(bounds.least), scaled(bounds.most), scaled(bounds.mean), bounds.count
        )

    def _agree(self, measure: Measure, where: str, cold: bool, zone_of: dict[str, str]) -> bool:
        """Whether most of the new ones show it, each by itself."""
        means = [
            total / count
            for (id, name, age), (count, total) in self.own.items()
            if name == measure.name and age == cold and count >= 3 and (where in ("all", zone_of.get(id, "")))
        ]
        wanted = len(means) if len(means) <= 4 else AGREE * len(means)  # of few, each
        return bool(means) and sum(mean > measure.margin for mean in means) >= wanted

    def verdict(self, zone_of: dict[str, str]) -> tuple[Verdict, list[Finding], str]:
        """With the findings that it rests on, the gravest first, and words. `zone_of`: of each new one."""
        if self.at_once:
            return "worse", [], self.at_once
        worse, open_ones = list[Finding](), list[Finding]()
        for (name, where, cold), bounds in self.bounds.items():
            measure = next(one for one in MEASURES if one.name == name)
            finding = self._finding(name, where + (", cold" if cold else ""), bounds)
            here = [id for id in self.new if where in ("all", zone_of.get(id, ""))]
            # A neighbour's trouble that lasts moves the mean of few by as much as the release might.
            margin = max(measure.margin, GRAVE / max(1, len(here)))
            if finding.least > margin and self._agree(measure, where, cold, zone_of):
                worse.append(finding)
            excluded = max(margin, TELLABLE, 2 * GRAVE / max(1, len(here)))
            if not worse and where == "all" and not cold and finding.most > excluded:
                open_ones.append(finding)
        if worse:
            worse.sort(key=lambda one: -one.least)
            one = worse[0]
            return "worse", worse, f"{one.measure} is worse by {one.least:.3f} at the least, {one.where}"
        if self.slots - self.crashed_at < self.enough and self.crashed_at:
            return "can't tell", [], "a new server crashed a while ago"
        if self.compared >= self.enough and not open_ones:
            return "not worse", [], f"{self.compared} slots"
        if self.compared >= self.enough and 0 < len(self.new) <= FEW:
            return "not worse", [], f"nothing grave in {self.compared} slots of {len(self.new)}"
        if self.slots - self.old_spoke >= self.enough:
            return "not worse", [], "no old ones are left to hold it against"
        open_ones.sort(key=lambda one: -one.most)
        return "can't tell", open_ones, f"{self.compared} slots of {self.enough}"

    def means(self) -> dict[str, float]:
        """How much worse each measure was, over all, for people."""
        return {
            name: round(
                fmean(total / count for (_, one, _), (count, total) in self.own.items() if one == name), 4
            )
            for name in {name for _, name, _ in self.own}
        }


def _worse(measure: Measure, value: float, base: float) -> float:
    worse = measure.sign * (value - base)
    return worse / max(1e-9, base) if measure.relative else worse


TELLABLE = 0.03  # a worsening below that need not be excluded before 'not worse' is said
