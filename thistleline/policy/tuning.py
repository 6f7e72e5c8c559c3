"""Tuned values of the policy and units of time.

Times are integer nanoseconds. A value without a unit is a plain ratio or a count.
"""

MS = 1_000_000  # ns
SECOND = 1_000 * MS  # ns

# Sampling: the tick timer feeds the detectors and answers tasks that near their deadline.
TICK = 25 * MS
WINDOW = 8  # ticks per detector window
HIGH_PERCENTILE = 0.9  # of the samples of a window, and of recent call durations
MAX_SAMPLES = 8192  # no history holds more

# Overload detectors.
VIOLATIONS_TO_FIRE = 3  # consecutive windows in violation
MAX_RUN_QUEUE_PER_CORE = 2.0  # a higher run queue is a violation
MAX_WAIT_SHARE = 0.25  # waiting longer than this share of a task's spare time is a violation
SLOWDOWN_SAMPLES = 8  # recent runs over their usual pace, all stages
UNREAD_SAMPLES = 64  # recent waits of tasks before they were read

# Confirmation by latency: the fast average over the slow one.
FAST_LATENCY_WINDOW = SECOND
SLOW_LATENCY_SAMPLES = 200  # calm samples in the slow average
MIN_CALM_SAMPLES = 12  # fewer are no history
LATENCY_RATIO_TO_CONFIRM = 1.1  # fast over slow average

# Rate cap.
THROUGHPUT_WINDOW = 2 * SECOND  # throughput just before an overload seeds the cap
CAP_DECREASE = 0.9  # factor of a firing
PROBE_STEP = 1.1  # factor of a probe
MIN_PROBE_BACKOFF = SECOND
MAX_PROBE_BACKOFF = 8 * SECOND
CAP_SETTLE_TIME = SECOND  # a firing sooner after a change is due to tasks admitted before it
CAP_LIFT_AFTER = 4 * SECOND  # calm for so long lifts the cap

# Load shedding by level and user bucket.
ARRIVAL_WINDOW = 3 * SECOND
BUCKETS = 16  # user buckets per level
CUT_FALL_TIME = SECOND  # in which the cut falls by one level, bucket by bucket
SHORT_QUEUE_FACTOR = 1.45  # times the root of the cores: tasks waiting for a core under which no cut applies
LOAD_HINT_SHARE = 0.6  # of the cut's rank; what clients withhold is unseen here, so the hint stays well below

# Tenant quotas.
QUOTA_WINDOW = 4 * SECOND
QUOTA_SLACK = 1.2  # a tenant past this many times its quota is over it

# Concurrency limit.
INITIAL_CONCURRENCY_PER_CORE = 1.5  # survived concurrency assumed before there is history
PEAK_WINDOWS = 100  # calm windows whose peaks are remembered
CONCURRENCY_MARGIN = 0.7  # usable share of the concurrency that the server survives at its present warmth
MEMORY_MARGIN = 0.9  # usable share of the memory

# Estimates of run time.
PACE_SAMPLES = 48  # calm run times remembered per stage
PACE_PERCENTILE = 0.25  # of these: the usual pace
STOPPED_RUN_FACTOR = 1.5  # a run stopped as overdue counts as this many times its estimate
MAX_HEALTHY_SLOWDOWN = 2.0  # median slowdown under which the server itself is well

# Retries and rejections.
TIMEOUT_TOLERANCE = 0.01  # of the stage's timeout; timeouts closer than that are alike
USUAL_TIMEOUT_SAMPLES = 32  # one in so many timeouts alike makes it a usual one
REJECTION_WINDOW = 6 * SECOND  # in which rejections show a fleet-wide overload
RETRY_BUDGET = 0.2  # share of arrivals that are retries, or rejected, past which the fleet is overloaded
RETRY_STORM_SHARE = 0.5  # share of arrivals that are retries, in a storm of them
MAX_UNREAD_SHARE = 0.1  # of the latency objective spent unread; a longer wait is a backlog of reading
SHORT_RETRY_AFTER = 200 * MS  # under a cap, where no load hint can be sent

# Downstream calls.
MAX_CALL_ATTEMPTS = 2  # per run, the first included
CALL_SAMPLES = 16  # recent call durations remembered
MIN_CALL_TIMEOUT_FACTOR = 2  # least timeout over the expected duration
MAX_CALL_TIMEOUT_FACTOR = 4  # greatest timeout over the expected duration

# Deadlines and drain.
ANSWER_MARGIN = 2 * TICK  # a task is answered so long before its deadline, whatever its state
STOP_MARGIN = 200 * MS  # all tasks are answered so long before the process is stopped
DRAIN_GRACE_SHARE = 0.9  # of the drain grace, in which tasks are still taken
TIME_TO_STOP_SHARE = 0.6  # of the time to the stop, in which tasks are still taken
LARGE_FLEET = 6  # servers; the others of so many take a draining one's load at once

# Idle connections.
CLIENT_SAMPLES = 48  # recent tasks whose clients are remembered
ONE_TIME_CLIENT_SHARE = 0.5  # of these tasks; more distinct clients seldom return
SHORT_IDLE_TIMEOUT = SECOND
