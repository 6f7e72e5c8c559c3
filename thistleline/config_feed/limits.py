"""Limits of the config feed: sizes and counts of messages from peers and of stored data, and timeouts."""

MS, SECOND = 1_000_000, 1_000_000_000  # ns

# ---- limits on one entry and one change
KEY_LENGTH_LIMIT = 200  # characters
VALUE_SIZE_LIMIT = 4096  # bytes
CHANGE_ITEMS_LIMIT = 1000  # entries in one change
CHANGE_SIZE_LIMIT = 24 * 1024  # bytes of keys and values in one change
REQUEST_ID_LENGTH_LIMIT = 64  # characters
PEER_ID_LENGTH_LIMIT = 64  # characters
TABLE_ENTRIES_LIMIT = 4_000_000

# ---- limits of the writer (the keeper that commits changes)
GROUP_SIZE_LIMIT = 64 * 1024  # bytes of changes in one group commit
RING_SLOTS = 16  # records of the newest groups; the oldest is overwritten once a majority has it on disk
DEDUPLICATION_SLOTS = 4096  # newest request ids kept, so that no request is committed twice
PENDING_PROPOSALS_LIMIT = 4096  # unanswered proposals; beyond this number new ones are refused

# ---- limits of a source (a keeper or relay that serves the table) and its followers
HISTORY_STEPS_LIMIT = 100_000  # steps kept in the history, from which deltas are made
HISTORY_SIZE_LIMIT = 32 << 20  # bytes of all steps in the history
DELTA_SIZE_LIMIT = 256 * 1024  # bytes of items in one delta
PART_SIZE = 64 * 1024  # approximate bytes of one part of a snapshot
FOLLOWERS_LIMIT = 1024
FETCHED_TENANTS_LIMIT = 256  # tenants requested by one message
TENANT_CACHE_LIMIT = 16_384  # tenant entries cached by an instance
MESSAGE_SIZE_LIMIT = 1 << 20  # bytes of one message

# ---- intervals and timeouts, ns
HEARTBEAT_INTERVAL_NS = SECOND // 2  # longest time between two messages of a source
SOURCE_TIMEOUT_NS = 1600 * MS  # silence after which a follower switches to another source
STALL_TIMEOUT_NS = 5 * SECOND  # after which a follower that accepts no data is disconnected
RECONNECT_JITTER_NS = SECOND  # longest random wait of a follower before it reconnects
NEVER = 1 << 62  # represents no deadline
