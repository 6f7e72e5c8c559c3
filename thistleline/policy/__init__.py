"""The overload-control policy: every decision, table and tuned value of a server.

One `Policy` lives in each server, from `Policy(settings, seed, now)` to the end of the process. The host
calls `round(now, events, out)` once at the start with no events and then once a round with all events since,
in order; decisions go straight into the sink `out`. The types of both sides: thistleline/interface.py.

The ordinary path of a task is `admission` and `completion`; the overload mechanism is `detectors`, `rate_cap`
and `shedding`. All tuned values are in `tuning`.
"""

from thistleline.policy.policy import Policy
from thistleline.policy.tuning import BUCKETS, MS, SECOND, TICK, WINDOW

__all__ = ["BUCKETS", "MS", "SECOND", "TICK", "WINDOW", "Policy"]
