"""How long anything may be that comes over a link of the feed, and how much of it is kept."""

MS, SECOND = 1_000_000, 1_000_000_000

KEY_BOUND, VALUE_BOUND = 200, 4096  # characters, bytes
ITEMS_BOUND, CHANGE_BOUND = 1000, 24 * 1024  # entries and bytes of one change
REQUEST_BOUND, ID_BOUND = 64, 64  # characters
GROUP_BOUND = 64 * 1024  # bytes of changes written to the council at once
RING = 16  # records of the council that hold the newest groups; an older one goes once it is kept elsewhere
MADE_SLOTS = 4096  # newest requests that are remembered, so that none is made a second time
PROPOSED_BOUND = 4096  # changes that wait to be written; past it who asks is refused
HISTORY_BOUND, HISTORY_SIZE = 100_000, 32 << 20  # changes kept to go on from, and bytes of them
DELTA_BOUND = 256 * 1024  # bytes of one delta; more to catch up with is a snapshot
PART_SIZE = 64 * 1024  # bytes of a snapshot's part
FOLLOWERS_BOUND = 1024
ASKED_BOUND = 256  # tenants asked for at once
TENANTS_CACHE = 16_384  # entries of tenants that an instance holds
ENTRIES_BOUND = 4_000_000
MESSAGE_BOUND = 1 << 20  # bytes of a message

BEAT = SECOND // 2  # in which who serves is heard
SILENT = 1600 * MS  # after that long without a word a follower goes elsewhere
STALL = 5 * SECOND  # a follower that takes nothing for so long is let go
SPREAD = SECOND  # who comes back waits up to so long, each by its own chance
