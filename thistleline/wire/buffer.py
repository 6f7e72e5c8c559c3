"""The buffer that a stream is received into.

Messages are slices of it, valid until the next call of `Buffer.room`.
"""


class Buffer:
    """A receive buffer of fixed size: filled at its end, consumed from its start.

    Attributes:
        data: All of the memory.
        view: A view of `data`.
        start: Position of the first byte not yet taken.
        end: Position after the last byte received.
        discarding: Bytes still to come that nobody wants.
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
        """Return where the next bytes go; what was not yet taken moves to the front."""
        if self.start:
            left = self.end - self.start
            self.view[:left] = self.view[self.start : self.end]
            self.start = 0
            self.end = left
        return self.view[self.end :]

    def filled(self, count: int) -> None:
        """Note that `count` bytes were received into `room`."""
        self.end += count
        self._discard_received()

    def take(self, count: int) -> memoryview:
        """Consume the next `count` bytes, which must have been received."""
        message = self.view[self.start : self.start + count]
        self.start += count
        return message

    def discard(self, count: int) -> None:
        """Skip the next `count` bytes, though they may not have been received yet."""
        self.discarding += count
        self._discard_received()

    def _discard_received(self) -> None:
        count = min(self.discarding, self.end - self.start)
        self.start += count
        self.discarding -= count

    def __len__(self) -> int:
        """Return the bytes that were received and not yet taken."""
        return self.end - self.start
