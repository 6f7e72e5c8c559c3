"""The log: one JSON line per event on standard output. A pipe that is not read does not block the server."""

import os
import select
import sys
from collections import deque
from typing import Any

import orjson

MAX_WAITING_LINES = 256  # further lines are dropped and counted
MAX_LINE_BYTES = 4096  # a writable pipe takes this much without blocking


class Log:
    """Writes log lines to a file descriptor and queues those that would block."""

    def __init__(self, name: str, target: int = 1) -> None:
        """Create a log that writes the lines of server `name` to the file descriptor `target`."""
        self.name = name
        self._target = target
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self._poll = select.poll()
        self._poll.register(target, select.POLLOUT)

    def event(self, now: int, event: str, facts: dict[str, Any]) -> None:
        """Log an event at time `now`, in ns, with its fields."""
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
            # The fields may hold an integer beyond 64 bits or an unpaired surrogate that a peer sent, which
            # orjson refuses. That must not end the process.
            text = orjson.dumps({**line, "facts": ascii(facts)})
        if len(text) >= MAX_LINE_BYTES:
            text = orjson.dumps({**line, "cut": True})
        return text

    def flush(self) -> None:
        """Write as many lines as the target accepts without blocking."""
        try:
            while self.lines and self._is_writable():
                os.write(self._target, self.lines.popleft())
                if self.dropped and not self.lines:
                    dropped = {"name": self.name, "event": "dropped", "lines": self.dropped}
                    self.dropped = 0
                    self.lines.append(orjson.dumps(dropped) + b"\n")
        except OSError:
            self.lines.clear()  # nothing reads the log any more

    def _is_writable(self) -> bool:
        return any(state & select.POLLOUT for _, state in self._poll.poll(0))


def print_error(text: str) -> None:
    """Print on standard error why the program can't start."""
    print(f"thistleline: {text}", file=sys.stderr)
