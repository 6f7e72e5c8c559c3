"""The log in memory: what follows a base, which stands for all before it."""

from thistleline.consensus.messages import Entry, Members, members_of


class Log:
    __slots__ = ("base", "base_members", "base_term", "entries", "member_places", "size")

    def __init__(self) -> None:
        self.base = self.base_term = 0
        self.base_members: Members = ()
        self.entries: list[Entry] = []
        self.member_places: list[tuple[int, Members]] = []  # where the members change, and to what
        self.size = 0  # bytes of data

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def term_at(self, index: int) -> int:
        """-1 where the log says nothing of it."""
        if index == self.base:
            return self.base_term
        place = index - self.base - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else -1

    def at(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    def part(self, first: int, count: int, size: int) -> tuple[Entry, ...]:
        """From `first` on, so many at most, of so many bytes, one at least."""
        found: list[Entry] = []
        place = first - self.base - 1
        while place < len(self.entries) and len(found) < count and size > 0:
            found.append(self.entries[place])
            size -= len(found[-1].data)
            place += 1
        return tuple(found)

    def add(self, entry: Entry) -> int:
        self.entries.append(entry)
        self.size += len(entry.data)
        if entry.kind == "members":
            self.member_places.append((self.last, members_of(entry.data)))
        return self.last

    def cut(self, index: int) -> None:
        """Nothing from `index` on is left."""
        place = max(0, index - self.base - 1)
        self.size -= sum(len(entry.data) for entry in self.entries[place:])
        del self.entries[place:]
        while self.member_places and self.member_places[-1][0] >= index:
            self.member_places.pop()

    def members(self) -> Members:
        """Who votes by what stands in the log, decided or not."""
        return self.member_places[-1][1] if self.member_places else self.base_members

    def members_at(self, index: int) -> Members:
        return next(
            (told for place, told in reversed(self.member_places) if place <= index), self.base_members
        )

    def rebase(self, index: int, term: int, members: Members) -> None:
        """What stands up to `index` goes; all goes where the log has another term there."""
        if self.term_at(index) == term:
            del self.entries[: index - self.base]
        else:
            self.entries.clear()
        self.base, self.base_term, self.base_members = index, term, members
        self.member_places = [one for one in self.member_places if index < one[0] <= self.last]
        self.size = sum(len(entry.data) for entry in self.entries)

    def copy(self) -> "Log":
        made = Log()
        made.base, made.base_term, made.base_members = self.base, self.base_term, self.base_members
        made.entries, made.member_places, made.size = list(self.entries), list(self.member_places), self.size
        return made

    def frozen(self) -> tuple[object, ...]:
        return self.base, self.base_term, self.base_members, tuple(self.entries)
