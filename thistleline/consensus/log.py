"""The replicated log in memory: a snapshot position and the entries after it."""

from thistleline.consensus.messages import Entry, Members, decode_members


class Log:
    """Log entries after `snapshot_index`, and the membership changes among them.

    Attributes:
        snapshot_index: Last index covered by the snapshot.
        snapshot_term: Term of the entry at `snapshot_index`.
        snapshot_members: Cluster members as of `snapshot_index`.
        entries: Entries from `snapshot_index + 1` on.
        member_changes: Index and new members of each membership entry in `entries`.
        size: Bytes of the data of all entries.
    """

    __slots__ = ("entries", "member_changes", "size", "snapshot_index", "snapshot_members", "snapshot_term")

    def __init__(self, index: int = 0, term: int = 0, members: Members = ()) -> None:
        """Create an empty log after a snapshot at `index`."""
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_members = members
        self.entries: list[Entry] = []
        self.member_changes: list[tuple[int, Members]] = []
        self.size = 0

    @property
    def last_index(self) -> int:
        """Index of the last entry; the snapshot's index if there are no entries."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int:
        """Return the term of an index, or -1 if the index is compacted or beyond the end of the log."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else -1

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index after the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def slice(self, first_index: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first_index` on, up to both limits, but at least one if the log has it."""
        found: list[Entry] = []
        bytes_left = max_bytes
        offset = first_index - self.snapshot_index - 1
        while offset < len(self.entries) and len(found) < max_entries and bytes_left > 0:
            entry = self.entries[offset]
            found.append(entry)
            bytes_left -= len(entry.data)
            offset += 1
        return tuple(found)

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        self.size += len(entry.data)
        if entry.kind == "members":
            self.member_changes.append((self.last_index, decode_members(entry.data)))
        return self.last_index

    def truncate(self, index: int) -> None:
        """Drop all entries from `index` on."""
        offset = max(0, index - self.snapshot_index - 1)
        self.size -= sum(len(entry.data) for entry in self.entries[offset:])
        del self.entries[offset:]
        while self.member_changes and self.member_changes[-1][0] >= index:
            self.member_changes.pop()

    def members(self) -> Members:
        """Return the newest members in the log, committed or not (Raft, section 6)."""
        return self.member_changes[-1][1] if self.member_changes else self.snapshot_members

    def members_at(self, index: int) -> Members:
        """Return the members as of `index`."""
        for changed_at, members in reversed(self.member_changes):
            if changed_at <= index:
                return members
        return self.snapshot_members

    def compact(self, index: int, term: int, members: Members) -> None:
        """Replace all entries up to `index` with a snapshot; drop the whole log if its term there differs."""
        if self.term_at(index) == term:
            del self.entries[: index - self.snapshot_index]
        else:
            self.entries.clear()
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_members = members
        self.member_changes = [
            change for change in self.member_changes if index < change[0] <= self.last_index
        ]
        self.size = sum(len(entry.data) for entry in self.entries)

    def copy(self) -> "Log":
        """Return an independent copy."""
        copied = Log(self.snapshot_index, self.snapshot_term, self.snapshot_members)
        copied.entries = self.entries.copy()
        copied.member_changes = self.member_changes.copy()
        copied.size = self.size
        return copied

    def state_key(self) -> tuple[object, ...]:
        """Return a hashable value that is equal for equal logs."""
        return self.snapshot_index, self.snapshot_term, self.snapshot_members, tuple(self.entries)
