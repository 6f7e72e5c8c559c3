"""The receive buffer of a stream.

Messages are slices of the buffer and valid until the next call of `Buffer.room`.
"""


class Buffer:
    """A receive buffer of fixed size, filled at the end and consumed from the start.

    Attributes:
        data: The memory of the buffer.
        view: A view of `data`.
        start: Position of the first byte not yet consumed.
        end: Position after the last byte received.
        discarding: Number of bytes that will be skipped when they are received.
    """

    __slots__ = ("data", "discarding", "end", "start", "view")

    def __init__(self, size: int) -> None:
        """Allocate `size` bytes."""
        self.data = bytearray(size)
        self.view = memoryview(self.data)
        self.start = 0
        self.end = 0
        self.discarding = 0

    def room(self) -> memoryview:
        """Return the free space for received bytes, after moving unconsumed bytes to the front."""
        if self.start:
            left = self.end - self.start
            self.view[:left] = self.view[self.start : self.end]
            self.start = 0
            self.end = left
        return self.view[self.end :]

    def filled(self, count: int) -> None:
        """Record that `count` bytes were received into `room`."""
        self.end += count
        self._discard_received()

    def take(self, count: int) -> memoryview:
        """Consume the next `count` bytes, which must have been received."""
        message = self.view[self.start : self.start + count]
        self.start += count
        return message

    def discard(self, count: int) -> None:
        """Skip the next `count` bytes, including those not yet received."""
        self.discarding += count
        self._discard_received()

    def _discard_received(self) -> None:
        count = min(self.discarding, self.end - self.start)
        self.start += count
        self.discarding -= count

    def __len__(self) -> int:
        """Return the number of bytes received and not yet consumed."""
        return self.end - self.start
