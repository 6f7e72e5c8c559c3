"""The buffer that a stream is read into. Messages are slices of it, good until the next call of `room`."""


class Buffer:
    __slots__ = ("data", "end", "skip", "start", "view")

    def __init__(self, size: int) -> None:
        self.data = bytearray(size)
        self.view = memoryview(self.data)
        self.start = self.end = 0
        self.skip = 0  # bytes still to come that nobody wants

    def room(self) -> memoryview:
        """Where the next bytes go; what was not yet taken moves to the front."""
        if self.start:
            left = self.end - self.start
            self.view[:left] = self.view[self.start : self.end]
            self.start, self.end = 0, left
        return self.view[self.end :]

    def filled(self, count: int) -> None:
        self.end += count
        self._pass_over()

    def take(self, count: int) -> memoryview:
        message = self.view[self.start : self.start + count]
        self.start += count
        return message

    def ignore(self, count: int) -> None:
        """Passes over the next bytes, though they may not have come yet."""
        self.skip += count
        self._pass_over()

    def _pass_over(self) -> None:
        passed = min(self.skip, self.end - self.start)
        self.start += passed
        self.skip -= passed

    def __len__(self) -> int:
        return self.end - self.start
