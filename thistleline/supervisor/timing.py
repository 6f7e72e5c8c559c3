"""Durations of the supervisor's state machine, ns."""

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
BACKOFF_FIRST = 200 * MILLISECOND  # delay before the restart after a first crash; doubles with each crash
BACKOFF_MAX = 5 * SECOND  # longest delay before a restart
CRASH_LOOP_WINDOW = 60 * SECOND  # crashes within this time count towards a crash loop
GOOD_AFTER = 15 * SECOND  # a version that ran this long without a crash counts as good
KILL_DELAY = 500 * MILLISECOND  # delay after the stop timeout, before a server that still runs is killed
TAKEOVER_TIMEOUT = 30 * SECOND  # time that a successor has to start serving
# Time without an answer from the replicated log, after which a version that crash-loops is rejected locally.
UNREACHABLE_AFTER = 10 * SECOND
IDLE_INTERVAL = SECOND  # between two timer events when nothing is due
