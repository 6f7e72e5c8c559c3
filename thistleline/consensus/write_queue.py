"""Records that wait for the disk, and effects that wait for those records. No I/O."""

from thistleline.consensus.effects import Effect
from thistleline.consensus.records import Record, WriteBatch

MILLISECOND = 1_000_000  # ns
FIRST_RETRY = 100 * MILLISECOND  # ns after a failed write, doubled each time
LAST_RETRY = 5_000 * MILLISECOND  # ns at most
MAX_DEFERRED_EFFECTS = 4096  # past it the oldest are dropped, as the network loses messages too


class WriteQueue:
    """Groups records into batches, one outstanding at a time.

    Attributes:
        noted: Number of the last record noted by this incarnation.
        saved: Number of the last record that is durable.
        pending: Noted records that are in no batch yet.
        in_flight: The outstanding batch with the number of its last record.
        deferred: Effects with the number of the last record that they wait for.
        failing: Whether the last write failed.
        retry_at: When a failed write is tried again, in ns.
        retry_wait: How long the next failure waits for its retry, in ns.
        new_segment: Whether the next batch begins a new segment.
    """

    __slots__ = (
        "deferred",
        "failing",
        "in_flight",
        "new_segment",
        "noted",
        "pending",
        "retry_at",
        "retry_wait",
        "saved",
    )

    def __init__(self) -> None:
        """Create an empty queue whose first batch begins a new segment."""
        self.noted = 0
        self.saved = 0
        self.pending: list[Record] = []
        self.in_flight: tuple[WriteBatch, int] | None = None
        self.deferred: list[tuple[int, Effect]] = []
        self.failing = False
        self.retry_at = 0
        self.retry_wait = FIRST_RETRY
        self.new_segment = True

    @property
    def all_durable(self) -> bool:
        """Whether all noted records are durable."""
        return self.saved == self.noted

    def note(self, record: Record) -> None:
        """Add a record to the next batch."""
        self.noted += 1
        self.pending.append(record)

    def defer(self, effect: Effect) -> None:
        """Hold back an effect until all records noted so far are durable."""
        self.deferred.append((self.noted, effect))
        del self.deferred[:-MAX_DEFERRED_EFFECTS]

    def is_ready(self, now: int) -> bool:
        """Return whether a batch is to be written now."""
        if self.in_flight is not None:
            return False
        if self.failing:
            return now >= self.retry_at
        return bool(self.pending)

    def start(self, records: tuple[Record, ...]) -> WriteBatch:
        """Begin a batch that makes everything noted so far durable."""
        batch = WriteBatch(self.new_segment, records)
        self.new_segment = False
        self.pending.clear()
        self.in_flight = batch, self.noted
        return batch

    def complete(self) -> WriteBatch:
        """Mark the outstanding batch as durable and return it."""
        assert self.in_flight is not None
        batch, self.saved = self.in_flight
        self.in_flight = None
        return batch

    def release(self) -> list[Effect]:
        """Remove and return the deferred effects whose records are durable."""
        ready = sum(1 for number, _ in self.deferred if number <= self.saved)
        released = [effect for _, effect in self.deferred[:ready]]
        del self.deferred[:ready]
        return released

    def recover(self) -> None:
        """Note that a write succeeded after a failed one."""
        self.failing = False
        self.retry_wait = FIRST_RETRY

    def fail(self, now: int) -> None:
        """Note that the outstanding batch failed and may be on disk or not.

        Deferred effects are dropped, and everything goes to a new segment later.
        """
        assert self.in_flight is not None
        self.in_flight = None
        self.deferred.clear()
        self.failing = True
        self.new_segment = True
        self.retry_at = now + self.retry_wait
        self.retry_wait = min(LAST_RETRY, 2 * self.retry_wait)

    def copy(self) -> "WriteQueue":
        """Return an independent copy."""
        copied = WriteQueue.__new__(WriteQueue)
        for name in self.__slots__:
            setattr(copied, name, getattr(self, name))
        copied.pending = self.pending.copy()
        copied.deferred = self.deferred.copy()
        return copied

    def state_key(self) -> tuple[object, ...]:
        """Return a hashable value of all that behaviour depends on; numbers count from the last record."""
        in_flight = self.in_flight and (self.in_flight[0], self.in_flight[1] - self.noted)
        deferred = tuple((number - self.noted, effect) for number, effect in self.deferred)
        return tuple(self.pending), in_flight, deferred, self.failing, self.new_segment
