"""What the records of a voter say, read one after another; no I/O."""

from collections.abc import Mapping
from types import MappingProxyType

from thistleline.consensus.log import Log
from thistleline.consensus.messages import Ballot, Base, Record, Tail
from thistleline.consensus.replica import Found
from thistleline.store.frames import CorruptFrameError


class Replay:
    __slots__ = ("ballot", "base", "log")

    def __init__(self) -> None:
        self.base: Base | None = None
        self.ballot = Ballot(0, "")
        self.log = Log()

    def copy(self) -> "Replay":
        made = Replay()
        made.base, made.ballot, made.log = self.base, self.ballot, self.log.copy()
        return made

    def frozen(self, names: Mapping[str, str] = MappingProxyType({})) -> tuple[object, ...]:
        vote, base = self.ballot.vote, self.base
        return names.get(vote, vote), self.ballot.term, base and (base.index, base.state), self.log.frozen()

    def take(self, record: Record) -> None:
        """Raises CorruptFrameError where the records can't follow each other."""
        if isinstance(record, Base):
            self.base, self.log = record, Log()
            self.ballot = Ballot(record.term, record.vote)
            log = self.log
            log.base, log.base_term, log.base_members = record.index, record.index_term, record.members
        elif self.base is None:
            raise CorruptFrameError("it does not begin with a base")
        elif isinstance(record, Ballot):
            self.ballot = record
        elif isinstance(record, Tail):
            if not self.log.base < record.first <= self.log.last + 1:
                raise CorruptFrameError(f"its log ends at {self.log.last} and goes on at {record.first}")
            self.log.cut(record.first)
            for entry in record.entries:
                self.log.add(entry)

    def found(self) -> Found | None:
        return None if self.base is None else Found(self.base, self.ballot, self.log.copy())
