"""The limits and intervals of the server's state machine; times in nanoseconds."""

MS = 1_000_000
SECOND = 1_000_000_000

# Client connections.
MAX_OPEN_TASKS = 32  # unanswered tasks on a connection; past it the connection is not read
FIRST_MESSAGE_TIMEOUT = 2 * SECOND  # a connection without a whole message is closed after that
PARTIAL_MESSAGE_TIMEOUT = 2 * SECOND  # for so long the beginning of a message keeps its connection
UNREAD_GRACE = SECOND // 4  # for so long what came on a new connection may not have been read
MAX_CLOCK_DEVIATION = 60 * SECOND  # an arrival time further off than that makes no sense
MAX_OFFENCES = 16  # past it a connection is read no more, and closed once nothing is open on it
DISMISSAL_GRACE = SECOND // 5  # a dismissed connection with nothing open is closed after that

# Upkeep.
SWEEP_INTERVAL = SECOND // 4  # how often connections and entries are looked through
LOG_INTERVAL = SECOND  # at most one line on each fault of peers in that time; all are counted

# Shutdown.
EXIT_MARGIN = SECOND // 10  # the process ends that long before it is stopped
EXIT_MARGIN_DIVISOR = 8  # where the stop is near, it ends this part of the remaining time before it

# Runs and downstream calls.
OWNED_ID_COST = 512  # bytes of the limit on results for each remembered attempt id; the oldest go first
DOUBT_DIVISOR = 2  # the part of a latency objective in which the end of a run in doubt is awaited
CALL_TIMEOUT_SLACK = SECOND // 2  # past its timeout; a call without an end by then has been given up
LINK_LOSS_WINDOW = SECOND // 10  # what was written so shortly before a link's end may be lost with it

# Deep health checks.
MAX_DEEP_CHECKS = 64
DEEP_CHECK_TIMEOUT = SECOND
