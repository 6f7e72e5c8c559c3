"""Queue of records to be written, and of effects deferred until those records are durable. No I/O."""

from thistleline.consensus.effects import Effect
from thistleline.consensus.records import Record, WriteBatch

MILLISECOND = 1_000_000  # ns
MIN_RETRY_DELAY = 100 * MILLISECOND  # ns before a failed write is retried; doubled after each failure
MAX_RETRY_DELAY = 5_000 * MILLISECOND  # ns; longest delay before a retry of a failed write
MAX_DEFERRED_EFFECTS = 4096  # beyond this number the oldest are dropped; the protocol tolerates lost messages


class WriteQueue:
    """Groups records into batches, one outstanding at a time.

    Attributes:
        last_queued: Number of the last record queued since this replica started.
        last_durable: Number of the last record that is durable.
        pending: Queued records that are not in a batch yet.
        in_flight: The outstanding batch and the number of its last record; None if there is none.
        deferred: For each deferred effect, the number of the last record that has to be durable first.
        failing: Whether the last write failed.
        retry_at: Time of the next retry of a failed write, in ns.
        retry_delay: Delay before a retry after the next failure, in ns.
        new_segment: Whether the next batch begins a new segment.
    """

    __slots__ = (
        "deferred",
        "failing",
        "in_flight",
        "last_durable",
        "last_queued",
        "new_segment",
        "pending",
        "retry_at",
        "retry_delay",
    )

    def __init__(self) -> None:
        """Create an empty queue whose first batch begins a new segment."""
        self.last_queued = 0
        self.last_durable = 0
        self.pending: list[Record] = []
        self.in_flight: tuple[WriteBatch, int] | None = None
        self.deferred: list[tuple[int, Effect]] = []
        self.failing = False
        self.retry_at = 0
        self.retry_delay = MIN_RETRY_DELAY
        self.new_segment = True

    @property
    def all_durable(self) -> bool:
        """Whether all queued records are durable."""
        return self.last_durable == self.last_queued

    def enqueue(self, record: Record) -> None:
        """Add a record to the next batch."""
        self.last_queued += 1
        self.pending.append(record)

    def defer(self, effect: Effect) -> None:
        """Hold back an effect until all records queued so far are durable."""
        self.deferred.append((self.last_queued, effect))
        del self.deferred[:-MAX_DEFERRED_EFFECTS]

    def is_ready(self, now: int) -> bool:
        """Return whether a batch should be written now."""
        if self.in_flight is not None:
            return False
        if self.failing:
            return now >= self.retry_at
        return bool(self.pending)

    def start(self, records: tuple[Record, ...]) -> WriteBatch:
        """Start a batch that covers all records queued so far."""
        batch = WriteBatch(self.new_segment, records)
        self.new_segment = False
        self.pending.clear()
        self.in_flight = batch, self.last_queued
        return batch

    def complete(self) -> WriteBatch:
        """Mark the outstanding batch as durable and return it."""
        assert self.in_flight is not None
        batch, self.last_durable = self.in_flight
        self.in_flight = None
        return batch

    def release(self) -> list[Effect]:
        """Remove and return the deferred effects whose records are durable."""
        ready = sum(1 for number, _ in self.deferred if number <= self.last_durable)
        released = [effect for _, effect in self.deferred[:ready]]
        del self.deferred[:ready]
        return released

    def recover(self) -> None:
        """Reset the failure state after a successful write."""
        self.failing = False
        self.retry_delay = MIN_RETRY_DELAY

    def fail(self, now: int) -> None:
        """Mark the outstanding batch as failed; it may or may not be on disk.

        Deferred effects are dropped. The retry begins a new segment.
        """
        assert self.in_flight is not None
        self.in_flight = None
        self.deferred.clear()
        self.failing = True
        self.new_segment = True
        self.retry_at = now + self.retry_delay
        self.retry_delay = min(MAX_RETRY_DELAY, 2 * self.retry_delay)

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
        in_flight = self.in_flight and (self.in_flight[0], self.in_flight[1] - self.last_queued)
        deferred = tuple((number - self.last_queued, effect) for number, effect in self.deferred)
        return tuple(self.pending), in_flight, deferred, self.failing, self.new_segment
