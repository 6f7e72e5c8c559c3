"""The log: one JSON line an event, on standard output. A pipe that nobody reads stalls nothing."""

import os
import select
import sys
from collections import deque
from typing import Any

import orjson

LINES_BOUND = 256
PIECE = 4096  # a pipe that is ready takes this much at once


class Log:
    def __init__(self, name: str, target: int = 1) -> None:
        self.name, self.target = name, target
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(target, select.POLLOUT)

    def event(self, now: int, event: str, facts: dict[str, Any]) -> None:
        if len(self.lines) >= LINES_BOUND:
            self.dropped += 1
        else:
            line = {"at_ms": now // 1_000_000, "name": self.name, "event": event}
            try:
                text = orjson.dumps(line | facts, default=str)
            except (
                TypeError
            ):  # a number past 64 bits, half a character: a peer's, who must not end the program
                text = orjson.dumps({**line, "facts": ascii(facts)})
            if len(text) >= PIECE:
                text = orjson.dumps({**line, "cut": True})
            self.lines.append(text + b"\n")
        self.flush()

    def flush(self) -> None:
        try:
            while self.lines and any(state & select.POLLOUT for _, state in self.poll.poll(0)):
                os.write(self.target, self.lines.popleft())
                if self.dropped and not self.lines:
                    dropped, self.dropped = self.dropped, 0
                    self.lines.append(
                        orjson.dumps({"name": self.name, "event": "dropped", "lines": dropped}) + b"\n"
                    )
        except OSError:
            self.lines.clear()  # nobody is there to read


def complain(text: str) -> None:
    print(f"thistleline: {text}", file=sys.stderr)
