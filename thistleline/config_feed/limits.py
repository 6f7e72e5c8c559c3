"""Limits of sizes, counts and times of the config feed, of what peers send and of what is stored."""

MS, SECOND = 1_000_000, 1_000_000_000  # ns

# ---- of one entry and one change
KEY_LENGTH_LIMIT = 200  # characters
VALUE_SIZE_LIMIT = 4096  # bytes
CHANGE_ITEMS_LIMIT = 1000  # entries of one change
CHANGE_SIZE_LIMIT = 24 * 1024  # bytes of one change
REQUEST_ID_LENGTH_LIMIT = 64  # characters
PEER_ID_LENGTH_LIMIT = 64  # characters
TABLE_ENTRIES_LIMIT = 4_000_000

# ---- of the writer
GROUP_SIZE_LIMIT = 64 * 1024  # bytes of changes in one group commit
RING_SLOTS = 16  # records with the newest groups; the oldest is overwritten once a majority has it on disk
DEDUPLICATION_SLOTS = 4096  # newest request ids that are remembered, so that no request is committed twice
PENDING_PROPOSALS_LIMIT = 4096  # proposals not answered yet; beyond it new ones are refused

# ---- of a source and its followers
HISTORY_STEPS_LIMIT = 100_000  # steps of the history from which deltas are made
HISTORY_SIZE_LIMIT = 32 << 20  # bytes of them
DELTA_SIZE_LIMIT = 256 * 1024  # bytes of one delta
PART_SIZE = 64 * 1024  # bytes of a part of a snapshot
FOLLOWERS_LIMIT = 1024
FETCHED_TENANTS_LIMIT = 256  # tenants fetched by one message
TENANT_CACHE_LIMIT = 16_384  # tenant entries cached by an instance
MESSAGE_SIZE_LIMIT = 1 << 20  # bytes of a message

# ---- times, ns
HEARTBEAT_INTERVAL_NS = SECOND // 2  # between two messages of a source, at most
SOURCE_TIMEOUT_NS = 1600 * MS  # of silence, after which a follower goes to another source
STALL_TIMEOUT_NS = 5 * SECOND  # after which a follower that takes nothing is closed
RECONNECT_JITTER_NS = SECOND  # random wait of a follower before it connects again, at most
NEVER = 1 << 62  # a deadline that does not come
