"""Constants of the policy and units of time.

Times are integer nanoseconds. A value without a unit is a ratio or a count.
"""

MS = 1_000_000  # ns
SECOND = 1_000 * MS  # ns

# Intervals and sizes of sampling. At each tick the overload detectors take a sample, and tasks close to their
# deadline are answered.
TICK = 25 * MS
WINDOW = 8  # ticks per detector window
HIGH_PERCENTILE = 0.9  # applied to the samples of a window and to recent call durations
MAX_SAMPLES = 8192  # maximum length of a history

# Limits above which a sampled window is a violation, and how many violations make an overload detector fire.
VIOLATIONS_TO_FIRE = 3  # consecutive windows in violation after which a detector fires
MAX_RUN_QUEUE_PER_CORE = 2.0  # a higher run queue is a violation
# A task's slack is the time from its arrival to its due time, less its estimated run time. Waiting for more
# than this share of the slack is a violation.
MAX_WAIT_SHARE = 0.25
SLOWDOWN_SAMPLES = 8  # recent ratios of a run's pace to its stage's usual pace, over all stages
UNREAD_SAMPLES = 64  # recent times that tasks waited before they were read

# Confirmation of an overload by the ratio of the fast to the slow average of latency.
FAST_LATENCY_WINDOW = SECOND
SLOW_LATENCY_SAMPLES = (
    200  # samples in the slow average, taken while neither a rate cap nor a violation exists
)
MIN_BASELINE_SAMPLES = 12  # with fewer samples the slow average is derived from the latency objectives
LATENCY_RATIO_TO_CONFIRM = 1.1  # fast average over slow average

# How the rate cap, a limit on admitted tasks per second, is set, probed and removed.
# When the overload detectors fire, the throughput over this preceding time becomes the initial rate cap.
THROUGHPUT_WINDOW = 2 * SECOND
CAP_DECREASE = 0.9  # factor applied to the cap when the detectors fire
PROBE_STEP = 1.1  # factor applied to the cap by a probe
MIN_PROBE_BACKOFF = SECOND
MAX_PROBE_BACKOFF = 8 * SECOND
# If the detectors fire sooner than this after a change of the cap, tasks admitted before the change are the
# cause, and the cap is not changed again.
CAP_SETTLE_TIME = SECOND
CAP_LIFT_AFTER = 4 * SECOND  # the cap is removed once the detectors have not fired for this time

# Load shedding by priority level and user bucket: tasks whose shed position is below the cutoff are rejected.
ARRIVAL_WINDOW = 3 * SECOND
BUCKETS = 16  # user buckets per level
CUTOFF_FALL_TIME = SECOND  # time in which the cutoff falls by `BUCKETS` positions, bucket by bucket
SHORT_QUEUE_FACTOR = 1.45  # the cutoff applies from cores + this * sqrt(cores) queued and running tasks
# The load hint is this share of the priority rank at the cutoff. It is well below that rank, because the
# server does not see the tasks that clients withhold.
LOAD_HINT_SHARE = 0.6

# When a tenant counts as over its quota.
QUOTA_WINDOW = 4 * SECOND
QUOTA_SLACK = 1.2  # a tenant is over its quota above this many times its allowance

# Limits on concurrent runs and on memory.
# Run queue per core that is assumed sustainable while there are few samples; also the upper bound.
INITIAL_CONCURRENCY_PER_CORE = 1.5
PEAK_WINDOWS = 100  # detector windows without a violation whose peaks are kept
CONCURRENCY_MARGIN = 0.7  # usable share of the concurrency that the server withstands at its present speed
MEMORY_MARGIN = 0.9  # usable share of the memory

# Estimates of run time. A run's pace is its run time divided by the task's estimated work.
PACE_SAMPLES = 48  # recent paces kept per stage
PACE_PERCENTILE = 0.25  # percentile of the paces that is the usual pace
STOPPED_RUN_FACTOR = 1.5  # a run stopped after its due time counts as this many times its estimate
MAX_HEALTHY_SLOWDOWN = 2.0  # median slowdown below which the server itself is not slow

# How retries are recognized, and when retries and rejections show that the fleet is overloaded.
TIMEOUT_TOLERANCE = 0.01  # share of the stage's timeout; timeouts that differ by less count as equal
USUAL_TIMEOUT_SAMPLES = 32  # a timeout is usual if at least one in this many equals it
REJECTION_WINDOW = 6 * SECOND  # time for which a rejection counts against the retry budget
RETRY_BUDGET = 0.2  # share of arrivals that are retries, or rejected, above which the fleet is overloaded
RETRY_STORM_SHARE = 0.5  # share of arrivals that are retries, above which there is a retry storm
MAX_UNREAD_SHARE = 0.1  # share of the latency objective; tasks that wait longer to be read are a backlog
SHORT_RETRY_AFTER = 200 * MS  # Retry-After time under a rate cap, if no load hint can be sent

# Repetition and timeouts of downstream calls.
MAX_CALL_ATTEMPTS = 2  # per run; up to this many failed calls are repeated
CALL_SAMPLES = 16  # recent call durations kept
MIN_CALL_TIMEOUT_FACTOR = 2  # ratio of the shortest call timeout to the expected duration of a call
MAX_CALL_TIMEOUT_FACTOR = 4  # ratio of the longest call timeout to the expected duration of a call

# When tasks are answered at the latest, and how long a draining server accepts tasks.
ANSWER_MARGIN = 2 * TICK  # a task, whatever its state, is answered this long before its deadline
STOP_MARGIN = 200 * MS  # time before the stop of the process at which all tasks are answered
DRAIN_GRACE_SHARE = 0.9  # share of the drain grace in which tasks are still accepted
TIME_TO_STOP_SHARE = 0.6  # share of the time until the stop in which tasks are still accepted
LARGE_FLEET = 6  # servers; from this size on, the others take over a draining server's load at once

# Limits that decide when an idle client connection is closed.
CLIENT_SAMPLES = 48  # recent tasks whose clients are recorded
ONE_TIME_CLIENT_SHARE = 0.5  # distinct clients per recorded task, above which clients seldom return
SHORT_IDLE_TIMEOUT = SECOND  # idle timeout while clients seldom return
