"""A confidence sequence: bounds on a mean that are valid at any stopping time. No I/O, no clock.

The bounds may be checked after every sample and sampling may stop at any time: the probability that the mean
is ever outside of them is at most `alpha`. This is the predictable plug-in empirical Bernstein confidence
sequence (Waudby-Smith and Ramdas 2023, theorem 2), for samples in [0, 1] with a constant conditional mean
given the earlier samples. It assumes no distribution, and it narrows with the variance of the samples.
"""

from math import log, sqrt

BET_MAX = 0.9  # c in the paper; has to be below 1


class ConfidenceSequence:
    """Bounds on the mean of the samples added so far.

    Attributes:
        count: Number of samples so far.
        lower: Lower bound on the mean.
        upper: Upper bound on the mean.
    """

    __slots__ = (
        "_alpha",
        "_bets",
        "_penalty",
        "_squared_deviations",
        "_total",
        "_weighted",
        "count",
        "lower",
        "upper",
    )

    def __init__(self, alpha: float) -> None:
        """Create an empty sequence; `alpha` is the maximum probability that the mean is ever outside."""
        self._alpha = alpha
        self._total = 0.0
        self._squared_deviations = 0.0
        self._weighted = 0.0
        self._bets = 0.0
        self._penalty = 0.0
        self.count = 0
        self.lower = 0.0
        self.upper = 1.0

    def add(self, sample: float) -> None:
        """Add a sample in [0, 1]."""
        mean = (0.5 + self._total) / (self.count + 1)
        variance = (0.25 + self._squared_deviations) / (self.count + 1)
        self.count += 1
        bet = min(BET_MAX, sqrt(2 * log(2 / self._alpha) / (variance * self.count * log(1 + self.count))))
        self._weighted += bet * sample
        self._bets += bet
        self._penalty += 4 * (sample - mean) ** 2 * (-log(1 - bet) - bet) / 4
        self._total += sample
        mean = (0.5 + self._total) / (self.count + 1)
        self._squared_deviations += (sample - mean) ** 2
        centre = self._weighted / self._bets
        half_width = (log(2 / self._alpha) + self._penalty) / self._bets
        # Running intersection: a value that was excluded once stays excluded.
        self.lower = max(self.lower, centre - half_width)
        self.upper = min(self.upper, centre + half_width)

    @property
    def mean(self) -> float:
        """Mean of the samples; 0.5 without samples."""
        return self._total / self.count if self.count else 0.5
