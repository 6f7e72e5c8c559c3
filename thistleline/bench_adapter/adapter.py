"""The adapter's main loop: reads the lines of a round and writes the reply to it, until end of input."""

import sys
from typing import TextIO

from thistleline.bench_adapter.errors import BenchProtocolError
from thistleline.bench_adapter.host import PolicyHost, describe
from thistleline.wire.durations import parse_seconds
from thistleline.wire.errors import WireError

MALFORMED_INPUT_EXIT_CODE = 2
MAX_QUOTED_LENGTH = 40  # characters of a message name in an error


class RoundReader:
    """Collects the lines of a round and writes the reply at its end.

    Attributes:
        line_number: Number of the last line read, from 1.
    """

    def __init__(self, output: TextIO) -> None:
        """Create a reader that writes replies to `output`."""
        self.line_number = 0
        self._output = output
        self._host = PolicyHost()
        self._now: int | None = None  # time of the open round, ns
        self._round_number = ""  # number of the open round, in the text form in which it was read
        self._lines: list[list[str]] = []

    def read(self, line: str) -> None:
        """Process one input line.

        Raises:
            BenchProtocolError: The line violates the protocol.
            ValueError: A value is malformed; also other errors, see `PolicyHost.round`.
        """
        self.line_number += 1
        parts = line.rstrip("\r\n").split("\t")
        if parts[0] == "ROUND":
            self._now = parse_seconds(parts[1])
            self._round_number = parts[2]
            self._lines = []
        elif parts[0] == "EOB":
            self._reply()
        elif parts != [""]:
            if self._now is None:
                raise BenchProtocolError(f"{parts[0][:MAX_QUOTED_LENGTH]!r} line outside a round")
            if len(parts) < 2:
                raise BenchProtocolError(f"{parts[0][:MAX_QUOTED_LENGTH]!r} line has no instance name")
            self._lines.append(parts)

    def _reply(self) -> None:
        if self._now is None:
            raise BenchProtocolError("EOB line without a preceding ROUND")
        reply: list[str] = []
        self._host.round(self._now, self._lines, reply.append)
        reply.append(f"EOR\t{self._round_number}\n")
        self._output.write("".join(reply))
        self._output.flush()
        self._now = None


def main(source: TextIO, output: TextIO) -> int:
    """Reply to all rounds of the input; return the exit code."""
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
        return MALFORMED_INPUT_EXIT_CODE
    return 0
