"""Durations of the supervisor's state machine, ns."""

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
BACKOFF_FIRST = 200 * MILLISECOND  # before the first restart after a crash; doubled with each further crash
BACKOFF_MAX = 5 * SECOND
CRASH_LOOP_WINDOW = 60 * SECOND  # in which crashes count for a crash loop
GOOD_AFTER = 15 * SECOND  # a server that ran so long without a crash is good
KILL_DELAY = 500 * MILLISECOND  # beyond a server's time to stop, before it is killed
TAKEOVER_TIMEOUT = 30 * SECOND  # for a successor to come to serve
UNREACHABLE_AFTER = 10 * SECOND  # without consensus, before a version that crash-loops is rejected here
IDLE_INTERVAL = SECOND  # between two timer events where nothing is due
