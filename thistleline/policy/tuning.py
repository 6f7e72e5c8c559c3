"""Constants of the policy and units of time.

Times are integer nanoseconds. A value without a unit is a ratio or a count.
"""

MS = 1_000_000  # ns
SECOND = 1_000 * MS  # ns

# Sampling. At each tick the detectors take a sample and tasks close to their deadline are answered.
TICK = 25 * MS
WINDOW = 8  # ticks per detector window
HIGH_PERCENTILE = 0.9  # applied to the samples of a window and to recent call durations
MAX_SAMPLES = 8192  # maximum length of a history

# Overload detectors.
VIOLATIONS_TO_FIRE = 3  # consecutive windows in violation after which a detector fires
MAX_RUN_QUEUE_PER_CORE = 2.0  # a higher run queue is a violation
MAX_WAIT_SHARE = 0.25  # waiting for more than this share of a task's slack is a violation
SLOWDOWN_SAMPLES = 8  # recent ratios of a run's pace to its stage's usual pace, over all stages
UNREAD_SAMPLES = 64  # recent times that tasks waited before they were read

# Confirmation of an overload by the ratio of the fast to the slow average of latency.
FAST_LATENCY_WINDOW = SECOND
SLOW_LATENCY_SAMPLES = 200  # samples in the slow average, taken without rate cap and violation
MIN_BASELINE_SAMPLES = 12  # with fewer samples the slow average is derived from the latency objectives
LATENCY_RATIO_TO_CONFIRM = 1.1  # fast average over slow average

# Rate cap.
THROUGHPUT_WINDOW = 2 * SECOND  # the throughput in this window before a firing becomes the first cap
CAP_DECREASE = 0.9  # factor applied to the cap when the detectors fire
PROBE_STEP = 1.1  # factor applied to the cap by a probe
MIN_PROBE_BACKOFF = SECOND
MAX_PROBE_BACKOFF = 8 * SECOND
CAP_SETTLE_TIME = SECOND  # a firing sooner after a change is due to tasks admitted before the change
CAP_LIFT_AFTER = 4 * SECOND  # the cap is removed after this time without a firing

# Load shedding by level and user bucket.
ARRIVAL_WINDOW = 3 * SECOND
BUCKETS = 16  # user buckets per level
CUTOFF_FALL_TIME = SECOND  # in which the cutoff falls by one level, bucket by bucket
SHORT_QUEUE_FACTOR = 1.45  # the cutoff applies from cores + this * sqrt(cores) queued and running tasks
LOAD_HINT_SHARE = 0.6  # of the rank at the cutoff; well below it, as tasks that clients withhold are unseen

# Tenant quotas.
QUOTA_WINDOW = 4 * SECOND
QUOTA_SLACK = 1.2  # a tenant is over its quota above this many times its allowance

# Concurrency limit.
INITIAL_CONCURRENCY_PER_CORE = 1.5  # assumed sustainable while there are few samples; also the upper bound
PEAK_WINDOWS = 100  # windows without a violation whose peaks are kept
CONCURRENCY_MARGIN = 0.7  # usable share of the concurrency that the server withstands at its present speed
MEMORY_MARGIN = 0.9  # usable share of the memory

# Estimates of run time.
PACE_SAMPLES = 48  # recent paces kept per stage
PACE_PERCENTILE = 0.25  # percentile of the paces that is the usual pace
STOPPED_RUN_FACTOR = 1.5  # a run stopped after its due time counts as this many times its estimate
MAX_HEALTHY_SLOWDOWN = 2.0  # median slowdown below which the server itself is not slow

# Retries and rejections.
TIMEOUT_TOLERANCE = 0.01  # share of the stage's timeout; timeouts that differ by less count as equal
USUAL_TIMEOUT_SAMPLES = 32  # a timeout is usual if at least one in this many equals it
REJECTION_WINDOW = 6 * SECOND  # in which rejections count against their budget
RETRY_BUDGET = 0.2  # share of arrivals that are retries, or rejected, above which the fleet is overloaded
RETRY_STORM_SHARE = 0.5  # share of arrivals that are retries, above which there is a retry storm
MAX_UNREAD_SHARE = 0.1  # of the latency objective; a longer wait before reading is a backlog
SHORT_RETRY_AFTER = 200 * MS  # under a rate cap, if no load hint can be sent

# Downstream calls.
MAX_CALL_ATTEMPTS = 2  # per run; up to this many failed calls are repeated
CALL_SAMPLES = 16  # recent call durations kept
MIN_CALL_TIMEOUT_FACTOR = 2  # shortest timeout over the expected duration
MAX_CALL_TIMEOUT_FACTOR = 4  # longest timeout over the expected duration

# Deadlines and drain.
ANSWER_MARGIN = 2 * TICK  # time before its deadline at which a task is answered in any state
STOP_MARGIN = 200 * MS  # time before the stop of the process at which all tasks are answered
DRAIN_GRACE_SHARE = 0.9  # share of the drain grace in which tasks are still accepted
TIME_TO_STOP_SHARE = 0.6  # share of the time until the stop in which tasks are still accepted
LARGE_FLEET = 6  # servers; from this size on, the others take over a draining server's load at once

# Idle connections.
CLIENT_SAMPLES = 48  # recent tasks whose clients are kept
ONE_TIME_CLIENT_SHARE = 0.5  # distinct clients per task, above which clients seldom return
SHORT_IDLE_TIMEOUT = SECOND
