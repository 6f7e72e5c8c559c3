"""The overload-control policy of a server: all of its decisions, their state and their constants.

Each server process has one `Policy`, created by `Policy(settings, seed, now)`. The host calls
`round(now, events, out)` once at the start without events, and then once per round with all events since the
previous round, in order. The policy passes its decisions to the sink `out` at once.
`thistleline/interface.py` declares the types that the policy and its host exchange.

`admission` and `completion` handle each task; `detectors`, `rate_cap` and `shedding` handle overload. All
constants are in `tuning`.

Terms used in this package: a keyed task has an idempotency key, and its effect is what must happen at most
once, however many attempts request it. The overload detectors fire when they find an overload. They then set
a rate cap, a limit on admitted tasks per second, which is enforced by a cutoff: a task whose shed position,
its place in the order of shedding, is below the cutoff is rejected.
"""

from thistleline.policy.policy import Policy
from thistleline.policy.tuning import BUCKETS, MS, SECOND, TICK, WINDOW

__all__ = ["BUCKETS", "MS", "SECOND", "TICK", "WINDOW", "Policy"]
