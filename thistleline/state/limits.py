"""The limits and intervals of the server's state machine; durations in nanoseconds."""

MS = 1_000_000
SECOND = 1_000_000_000

# When a client connection is no longer read, refused a task, dismissed or closed. Dismissing a connection
# means to ask its client to send nothing new on it.
MAX_OPEN_TASKS = 32  # unanswered tasks at which a connection is no longer read
FIRST_MESSAGE_TIMEOUT = 2 * SECOND  # after which a connection without a complete message is closed
PARTIAL_MESSAGE_TIMEOUT = 2 * SECOND  # how long an incomplete message keeps its connection open
UNREAD_GRACE = SECOND // 4  # how long the first message of a new connection may stay unread
MAX_CLOCK_DEVIATION = 60 * SECOND  # tasks with an arrival time further off are refused
MAX_VIOLATIONS = 16  # protocol violations after which a connection is not read; closed once no task is open
DISMISSAL_GRACE = SECOND // 5  # after which a dismissed connection without open tasks is closed

# Intervals of periodic checks and of log lines.
SWEEP_INTERVAL = SECOND // 4  # between checks of all tables for expired entries
LOG_INTERVAL = SECOND  # between log lines on the same kind of fault; all faults are counted

# When the process ends itself before it is stopped from outside.
EXIT_MARGIN = SECOND // 10  # the process ends this long before it is stopped
EXIT_MARGIN_DIVISOR = 8  # if little time is left until the stop, the margin is that time divided by this

# Limits on attempt ids, and on waiting for runs and downstream calls.
# One attempt id is remembered per this many bytes of the limit on cached results; then the oldest is evicted.
RESULT_BYTES_PER_ATTEMPT_ID = 512
# A run is in doubt if its start may have been lost with a link to the agent and a second start could run it
# twice. Its end is awaited for the latency objective of its stage divided by this.
IN_DOUBT_WAIT_DIVISOR = 2
CALL_TIMEOUT_SLACK = SECOND // 2  # a call without an end this long after its timeout is given up
LINK_LOSS_WINDOW = SECOND // 10  # data written this shortly before a link ends may be lost

# Limits on deep health checks, which include a check of the agent.
MAX_DEEP_CHECKS = 64
DEEP_CHECK_TIMEOUT = SECOND
