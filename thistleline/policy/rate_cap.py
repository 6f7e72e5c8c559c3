"""The cap on the rate of admitted tasks.

The cap is set when the overload detectors fire. Probes then raise it step by step; the time between probes
doubles each time a probe makes the detectors fire again.
"""

from collections import deque

from thistleline.policy.tuning import (
    CAP_DECREASE,
    CAP_LIFT_AFTER,
    CAP_SETTLE_TIME,
    MAX_PROBE_BACKOFF,
    MAX_SAMPLES,
    MIN_PROBE_BACKOFF,
    PROBE_STEP,
    SECOND,
    THROUGHPUT_WINDOW,
)


class RateCap:
    """A cap on admitted tasks per second.

    Attributes:
        cap: The cap in tasks per second; None while no cap applies.
        changed_at: When the cap was last set, decreased or probed, ns.
        fired_at: When the detectors last fired, ns.
    """

    def __init__(self, now: int) -> None:
        """Create the state for a server without a rate cap."""
        self.cap: float | None = None
        self.changed_at = now
        self.fired_at = now
        self._cap_before_probe: float | None = None
        self._probe_backoff = MIN_PROBE_BACKOFF
        self._finishes: deque[int] = deque(maxlen=MAX_SAMPLES)

    def observe_finish(self, now: int) -> None:
        """Count a finished run."""
        self._finishes.append(now)

    def update(self, now: int, is_firing: bool, in_violation: bool, arrival_rate: float) -> None:
        """Adjust the cap at the end of a detector window.

        Args:
            now: The time, ns.
            is_firing: Whether the overload detectors fire.
            in_violation: Whether either detector's last window was in violation.
            arrival_rate: Arriving tasks per second.
        """
        since = now - THROUGHPUT_WINDOW
        throughput = (
            sum(1 for finished_at in self._finishes if finished_at > since) * SECOND / THROUGHPUT_WINDOW
        )
        if is_firing:
            self.fired_at = now
            self._lower(now, throughput)
        elif self.cap is not None:
            self._probe(now, 0.0 if in_violation else throughput, arrival_rate)

    def _lower(self, now: int, throughput: float) -> None:
        """Set the initial rate cap; or undo the last probe and double the backoff; or decrease the cap."""
        if self.cap is None:
            self.cap = max(1.0, throughput)
            self._probe_backoff = MIN_PROBE_BACKOFF
            self._cap_before_probe = None
            self.changed_at = now
        elif now - self.changed_at >= CAP_SETTLE_TIME:
            if self._cap_before_probe is not None:
                self.cap = self._cap_before_probe
                self._probe_backoff = min(MAX_PROBE_BACKOFF, self._probe_backoff * 2)
                self._cap_before_probe = None
            else:
                self.cap = max(1.0, min(self.cap, throughput) * CAP_DECREASE)
            self.changed_at = now

    def _probe(self, now: int, throughput_without_violation: float, arrival_rate: float) -> None:
        """Raise the cap, or remove it.

        It is removed once the detectors have not fired for a long time, or once it exceeds the arrival rate.
        """
        assert self.cap is not None
        # Throughput while no detector is in violation shows that there is capacity for that rate. Prevents a
        # cap, and a load hint, from outlasting a slowdown of all servers; could harm where runs end in bursts
        # that last seconds.
        self.cap = max(self.cap, throughput_without_violation)
        if now - self.fired_at >= CAP_LIFT_AFTER or self.cap > arrival_rate * PROBE_STEP:
            self.cap = None
        elif now - max(self.changed_at, self.fired_at) >= self._probe_backoff:
            self._cap_before_probe = self.cap
            self.cap *= PROBE_STEP
            self.changed_at = now
