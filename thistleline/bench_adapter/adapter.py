"""The adapter's main loop: a round of lines in, a reply of lines out, until the input ends."""

import sys
from typing import TextIO

from thistleline.bench_adapter.errors import BenchProtocolError
from thistleline.bench_adapter.host import PolicyHost, describe
from thistleline.wire.durations import parse_seconds
from thistleline.wire.errors import WireError

MALFORMED_INPUT = 2  # exit code
MAX_QUOTED = 40  # characters of a line in an error


class RoundReader:
    """Gathers the lines of a round and answers it at its end.

    Attributes:
        line_number: Number of the last line read, from 1.
    """

    def __init__(self, output: TextIO) -> None:
        """Create a reader that writes replies to `output`."""
        self.line_number = 0
        self._output = output
        self._host = PolicyHost()
        self._clock: int | None = None  # of the open round, ns
        self._number = ""  # of the open round
        self._lines: list[list[str]] = []

    def read(self, line: str) -> None:
        """Take one line.

        Raises:
            BenchProtocolError: The line is not allowed here.
            ValueError: A value is malformed; also other errors, see `PolicyHost.round`.
        """
        self.line_number += 1
        parts = line.rstrip("\r\n").split("\t")
        if parts[0] == "ROUND":
            self._clock = parse_seconds(parts[1])
            self._number = parts[2]
            self._lines = []
        elif parts[0] == "EOB":
            self._reply()
        elif parts != [""]:
            if self._clock is None:
                raise BenchProtocolError(f"{parts[0][:MAX_QUOTED]!r} outside a round")
            if len(parts) < 2:
                raise BenchProtocolError(f"{parts[0][:MAX_QUOTED]!r} names no instance")
            self._lines.append(parts)

    def _reply(self) -> None:
        if self._clock is None:
            raise BenchProtocolError("EOB without ROUND")
        reply: list[str] = []
        self._host.round(self._clock, self._lines, reply.append)
        reply.append(f"EOR\t{self._number}\n")
        self._output.write("".join(reply))
        self._output.flush()
        self._clock = None


def main(source: TextIO, output: TextIO) -> int:
    """Answer all rounds of the input; return the exit code."""
    reader = RoundReader(output)
    try:
        for line in source:
            reader.read(line)
    except (
        BenchProtocolError,
        WireError,
        ValueError,
        KeyError,
        IndexError,
        TypeError,
        ArithmeticError,
    ) as error:
        print(f"line {reader.line_number}: {describe(error)}", file=sys.stderr)
        return MALFORMED_INPUT
    return 0
