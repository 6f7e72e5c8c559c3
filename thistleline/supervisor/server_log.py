"""Reads the metrics (`figures` lines) that a server periodically appends to its log file."""

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import orjson

LOG_MAX_SIZE = 64 << 20  # bytes; a longer server log is truncated to empty
READ_SIZE = 1 << 20  # bytes read per poll
COUNTERS = ("tasks", "finished", "rejected", "abandoned", "slow")  # fields of a "figures" line
VALUES = ("worth_came", "worth_done")  # fields of a "figures" line, thousandths of utility


class ServerLog:
    """Follows the log of the current incarnation.

    Attributes:
        incarnation: The incarnation (process of the server) that the metrics belong to.
        counters: The fields named by COUNTERS, counted since that incarnation started.
        value: Utility of the tasks that arrived, and of those finished in time.
        peak_memory: Peak memory use, kB.
    """

    def __init__(self, path_of: Callable[[int], Path]) -> None:
        """Create a reader without metrics; `path_of` returns the log file of an incarnation."""
        self._path_of = path_of
        self._path = Path()
        self._position = 0  # bytes already read
        self.incarnation = 0
        self._reset_figures()

    def _reset_figures(self) -> None:
        self.counters = [0] * len(COUNTERS)
        self.value = (0, 0)
        self.peak_memory = 0

    def figures_of(self, incarnation: int) -> tuple[int, ...]:
        """Return the counters and peak memory of this incarnation; zeros if none were read from its log."""
        if incarnation != self.incarnation:
            return (0,) * (len(COUNTERS) + 1)
        return (*self.counters, self.peak_memory)

    def value_of(self, incarnation: int) -> tuple[int, int]:
        """Return the utility of tasks that arrived at this incarnation and of those it finished in time.

        Zeros if none were read from its log.
        """
        return self.value if incarnation == self.incarnation else (0, 0)

    def poll(self, incarnation: int) -> None:
        """Read what was appended since the last poll; the log of a new incarnation is read from its start."""
        path = self._path_of(incarnation)
        if path != self._path:
            self._path = path
            self._position = 0
            # Prevents the metrics of one incarnation from being taken for the metrics of the next one.
            self._reset_figures()
            self.incarnation = incarnation
        with suppress(OSError):
            self._read_appended()

    def _read_appended(self) -> None:
        size = self._path.stat().st_size
        if size > LOG_MAX_SIZE:
            os.truncate(self._path, 0)  # safe: the server opened it in append mode
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
