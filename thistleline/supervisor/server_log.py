"""What a server says of itself: the lines with figures at the end of its log file."""

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import orjson

LOG_MAX_SIZE = 64 << 20  # bytes of a server's log; beyond it is cut to nothing
READ_SIZE = 1 << 20  # bytes that are read at once
COUNTERS = ("tasks", "finished", "rejected", "abandoned", "slow")  # fields of a line with figures
VALUES = ("worth_came", "worth_done")  # fields of it too, thousandths of utility


class ServerLog:
    """Follows the log of the current incarnation.

    Attributes:
        incarnation: Whose figures these are.
        counters: Figures named by COUNTERS, since that incarnation started.
        value: Utility of the tasks that came, and of those finished in time.
        peak_memory: Greatest memory, kB.
    """

    def __init__(self, path_of: Callable[[int], Path]) -> None:
        """Begin without figures; `path_of` gives the log file of an incarnation."""
        self._path_of = path_of
        self._path = Path()
        self._position = 0  # bytes that were read
        self.incarnation = 0
        self._reset_figures()

    def _reset_figures(self) -> None:
        self.counters = [0] * len(COUNTERS)
        self.value = (0, 0)
        self.peak_memory = 0

    def figures_of(self, incarnation: int) -> tuple[int, ...]:
        """Return counters and memory of this incarnation, zeros where nothing was read of it."""
        if incarnation != self.incarnation:
            return (0,) * (len(COUNTERS) + 1)
        return (*self.counters, self.peak_memory)

    def value_of(self, incarnation: int) -> tuple[int, int]:
        """Return the served value of this incarnation, zeros where nothing was read of it."""
        return self.value if incarnation == self.incarnation else (0, 0)

    def poll(self, incarnation: int) -> None:
        """Read what was appended since; another incarnation's log is read from its start."""
        path = self._path_of(incarnation)
        if path != self._path:
            self._path = path
            self._position = 0
            # Prevents the figures of one incarnation from being taken for those of the next.
            self._reset_figures()
            self.incarnation = incarnation
        with suppress(OSError):
            self._read_appended()

    def _read_appended(self) -> None:
        size = self._path.stat().st_size
        if size > LOG_MAX_SIZE:
            os.truncate(self._path, 0)  # the server appends to it
            self._position = 0
            return
        if size <= self._position:
            return
        with self._path.open("rb") as file:
            file.seek(self._position)
            data = file.read(min(size - self._position, READ_SIZE))
        whole_lines = data.rfind(b"\n") + 1
        self._position += whole_lines
        for line in data[:whole_lines].splitlines():
            if b'"figures"' in line:
                self._read_figures(line)

    def _read_figures(self, line: bytes) -> None:
        with suppress(orjson.JSONDecodeError):
            fields = orjson.loads(line)
            self.counters = [int(fields.get(name, 0)) for name in COUNTERS]
            arrived, served = (int(fields.get(name, 0)) for name in VALUES)
            self.value = (arrived, served)
            self.peak_memory = int(fields.get("peak_kb", 0))
