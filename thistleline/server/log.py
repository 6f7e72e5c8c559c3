"""The log: one JSON line an event, on standard output. A pipe that nobody reads stalls nothing."""

import os
import select
import sys
from collections import deque
from typing import Any

import orjson

MAX_WAITING_LINES = 256  # past it lines are dropped, and counted
MAX_LINE_BYTES = 4096  # a pipe that is ready takes this much at once


class Log:
    """Lines that wait until the target takes them."""

    def __init__(self, name: str, target: int = 1) -> None:
        """Write for the server `name` to the file descriptor `target`."""
        self.name = name
        self._target = target
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self._poll = select.poll()
        self._poll.register(target, select.POLLOUT)

    def event(self, now: int, event: str, facts: dict[str, Any]) -> None:
        """Log an event at `now`, ns, with its facts."""
        if len(self.lines) >= MAX_WAITING_LINES:
            self.dropped += 1
        else:
            self.lines.append(self._encode(now, event, facts) + b"\n")
        self.flush()

    def _encode(self, now: int, event: str, facts: dict[str, Any]) -> bytes:
        line = {"at_ms": now // 1_000_000, "name": self.name, "event": event}
        try:
            text = orjson.dumps(line | facts, default=str)
        except TypeError:
            # A number past 64 bits or half a character: a peer's, who must not end the program.
            text = orjson.dumps({**line, "facts": ascii(facts)})
        if len(text) >= MAX_LINE_BYTES:
            text = orjson.dumps({**line, "cut": True})
        return text

    def flush(self) -> None:
        """Write what the target takes now."""
        try:
            while self.lines and self._is_writable():
                os.write(self._target, self.lines.popleft())
                if self.dropped and not self.lines:
                    dropped = {"name": self.name, "event": "dropped", "lines": self.dropped}
                    self.dropped = 0
                    self.lines.append(orjson.dumps(dropped) + b"\n")
        except OSError:
            self.lines.clear()  # nobody is there to read

    def _is_writable(self) -> bool:
        return any(state & select.POLLOUT for _, state in self._poll.poll(0))


def complain(text: str) -> None:
    """Write a line on standard error: why the program can't start."""
    print(f"thistleline: {text}", file=sys.stderr)
