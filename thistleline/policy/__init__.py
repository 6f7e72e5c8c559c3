"""The overload-control policy of a server: all of its decisions, their state and their constants.

Each server process has one `Policy`, created by `Policy(settings, seed, now)`. The host calls
`round(now, events, out)` once at the start without events, and then once per round with all events since the
last one, in order. The policy passes its decisions to the sink `out` at once. `thistleline/interface.py`
declares the types that both sides use.

`admission` and `completion` handle each task; `detectors`, `rate_cap` and `shedding` handle overload. All
constants are in `tuning`.
"""

from thistleline.policy.policy import Policy
from thistleline.policy.tuning import BUCKETS, MS, SECOND, TICK, WINDOW

__all__ = ["BUCKETS", "MS", "SECOND", "TICK", "WINDOW", "Policy"]
