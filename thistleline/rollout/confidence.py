"""Bounds on a mean that hold at any look: who looks after every sample and stops when it suits is not fooled
more often than `alpha`. No I/O, no clock.

The predictable plug-in empirical Bernstein confidence sequence (Waudby-Smith and Ramdas 2023, theorem 2):
for samples in [0, 1] whose mean, given all before, is the same. No shape of distribution is taken for
granted, and it narrows as their variance does.
"""

from math import log, sqrt

BET_MOST = 0.9


class Bounds:
    __slots__ = ("alpha", "bets", "count", "least", "most", "penalty", "scatter", "total", "weighted")

    def __init__(self, alpha: float) -> None:
        """`alpha`: how often the mean may ever lie outside, at the most."""
        self.alpha = alpha
        self.count = 0
        self.total = self.scatter = 0.0
        self.weighted = self.bets = self.penalty = 0.0
        self.least, self.most = 0.0, 1.0

    def take(self, sample: float) -> None:
        """A sample in [0, 1]."""
        mean = (0.5 + self.total) / (self.count + 1)
        variance = (0.25 + self.scatter) / (self.count + 1)
        self.count += 1
        bet = min(BET_MOST, sqrt(2 * log(2 / self.alpha) / (variance * self.count * log(1 + self.count))))
        self.weighted += bet * sample
        self.bets += bet
        self.penalty += 4 * (sample - mean) ** 2 * (-log(1 - bet) - bet) / 4
        self.total += sample
        mean = (0.5 + self.total) / (self.count + 1)
        self.scatter += (sample - mean) ** 2
        centre = self.weighted / self.bets
        width = (log(2 / self.alpha) + self.penalty) / self.bets
        # Running intersection: what was once excluded stays so.
        self.least, self.most = max(self.least, centre - width), min(self.most, centre + width)

    @property
    def mean(self) -> float:
        return self.total / self.count if self.count else 0.5
