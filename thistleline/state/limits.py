"""The limits and intervals of the server's state machine; durations in nanoseconds."""

MS = 1_000_000
SECOND = 1_000_000_000

# Client connections.
MAX_OPEN_TASKS = 32  # unanswered tasks at which a connection is no longer read
FIRST_MESSAGE_TIMEOUT = 2 * SECOND  # until a connection without a complete message is closed
PARTIAL_MESSAGE_TIMEOUT = 2 * SECOND  # how long an incomplete message keeps its connection open
UNREAD_GRACE = SECOND // 4  # how long the first message of a new connection may stay unread
MAX_CLOCK_DEVIATION = 60 * SECOND  # tasks with an arrival time further off are refused
MAX_VIOLATIONS = 16  # at this number a connection is no longer read; closed once no task is open
DISMISSAL_GRACE = SECOND // 5  # until a dismissed connection without open tasks is closed

# Periodic checks and logging.
SWEEP_INTERVAL = SECOND // 4  # between checks of all tables for expired entries
LOG_INTERVAL = SECOND  # between log lines on the same kind of fault; all faults are counted

# Shutdown.
EXIT_MARGIN = SECOND // 10  # the process ends this long before it is stopped
EXIT_MARGIN_DIVISOR = 8  # a near stop reduces the margin to this part of the time left

# Runs and downstream calls.
RESULT_BYTES_PER_ATTEMPT_ID = 512  # of the limit on cached results; above it the oldest ids are evicted
IN_DOUBT_WAIT_DIVISOR = 2  # a run in doubt is awaited for its latency objective divided by this
CALL_TIMEOUT_SLACK = SECOND // 2  # a call without an end this long after its timeout is given up
LINK_LOSS_WINDOW = SECOND // 10  # data written this shortly before a link ends may be lost

# Deep health checks.
MAX_DEEP_CHECKS = 64
DEEP_CHECK_TIMEOUT = SECOND
