"""Durations of the supervisor's state machine, ns."""

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
BACKOFF_FIRST = 200 * MILLISECOND  # before the first restart after a crash; doubles with each further crash
BACKOFF_MAX = 5 * SECOND
CRASH_LOOP_WINDOW = 60 * SECOND  # crashes within it count towards a crash loop
GOOD_AFTER = 15 * SECOND  # a version that ran this long without a crash counts as good
KILL_DELAY = 500 * MILLISECOND  # after the stop timeout, before the server is killed
TAKEOVER_TIMEOUT = 30 * SECOND  # for a successor to start serving
UNREACHABLE_AFTER = 10 * SECOND  # without consensus, before a crash-looping version is rejected locally
IDLE_INTERVAL = SECOND  # between two timer events when nothing is due
