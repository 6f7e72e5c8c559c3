"""Hosts one module for each instance on the bench's wire: a round of lines in, a reply of lines out."""

import json
import sys
from collections.abc import Callable
from typing import TextIO

from thistleline.interface import (
    CallEnded,
    CallOutcome,
    CallRequested,
    ClientGone,
    DrainRequested,
    PolicyEvent,
    RunEnded,
    RunOutcome,
    Task,
    TaskArrived,
    TimerFired,
)
from thistleline.policy import Policy
from thistleline.wire.settings import Malformed, nanos, read_gauges, read_server_settings

RUN_ENDS: dict[str, RunOutcome] = {
    "OK": "finished",
    "INTERNAL": "failed",
    "CANCELLED": "stopped",
    "TOO_LATE": "moot",
}
CALL_ENDS: dict[str, CallOutcome] = {
    "OK": "finished",
    "INTERNAL": "failed",
    "RESOURCE_EXHAUSTED": "rejected",
    "DEADLINE_EXCEEDED": "timed_out",
    "UNAVAILABLE": "unreachable",
    "ABORTED": "aborted",
}
AGAIN = 2
HINTED = 1


def seconds(span: int) -> str:
    micros = max(0, span) // 1000
    return f"{micros // 1_000_000}.{micros % 1_000_000:06d}"


def absent(text: str) -> bool:
    return text in ("-", "", "0")


class LineWriter:
    """Turns each decision into its line at once."""

    def __init__(self, instance: str, put: Callable[[str], None]) -> None:
        self.instance = instance
        self.put = put

    def start(self, task: str) -> None:
        self.put(f"ADMIT\t{self.instance}\t{task}\n")

    def stop(self, task: str) -> None:
        self.put(f"PREEMPT\t{self.instance}\t{task}\n")

    def reject(self, task: str, nowhere_else: bool, stay_away: int) -> None:
        self.put(f"REFUSE\t{self.instance}\t{task}\t{int(nowhere_else)}\t{seconds(stay_away)}\n")

    def abandon(self, task: str) -> None:
        self.put(f"REPORT_FAILURE\t{self.instance}\t{task}\n")

    def replay_result(self, task: str) -> None:
        self.put(f"REPLAY\t{self.instance}\t{task}\n")

    def remember_key(self, task: str, span: int) -> None:
        self.put(f"RETAIN\t{self.instance}\t{task}\t{seconds(span)}\n")

    def forget_key(self, task: str) -> None:
        self.put(f"UNPIN\t{self.instance}\t{task}\n")

    def start_call(self, task: str, patience: int) -> None:
        self.put(f"GO_CALL\t{self.instance}\t{task}\t{seconds(patience)}\n")

    def skip_call(self, task: str) -> None:
        self.put(f"SKIP\t{self.instance}\t{task}\n")

    def set_health(self, good: bool, from_store: bool) -> None:
        self.put(f"STATUS\t{self.instance}\t{int(good)}\t{int(from_store)}\n")

    def publish_load_hint(self, value: float) -> None:
        self.put(f"STAMP\t{self.instance}\t{value:.6f}\n")

    def set_idle_timeout(self, span: int) -> None:
        self.put(f"IDLE_LIMIT\t{self.instance}\t{seconds(span)}\n")

    def set_timer(self, name: str, span: int) -> None:
        self.put(f"SET_ALARM\t{self.instance}\t{name}\t{seconds(span)}\n")


class Host:
    def __init__(self) -> None:
        self.modules: dict[str, Policy] = {}
        self.gauges: dict[str, tuple[str, ...]] = {}

    def round(self, now: int, lines: list[list[str]], put: Callable[[str], None]) -> None:
        """Gathers a round's lines by instance, in order, and calls each instance's module once."""
        came_in: dict[str, list[PolicyEvent]] = {}
        for parts in lines:
            word, instance = parts[0], parts[1]
            if word == "KILL":
                self.modules.pop(instance, None)
                came_in.pop(instance, None)
            elif word == "BORN":
                env = json.loads("\t".join(parts[3:]))
                self.gauges[instance] = read_gauges(env)
                self.modules[instance] = Policy(read_server_settings(env), int(parts[2]), now)
                came_in[instance] = []
            elif instance not in self.modules:
                raise Malformed(f"{word} for {instance}, which was never born")
            else:
                item = self.item(now, word, parts)
                if item is not None:
                    came_in.setdefault(instance, []).append(item)
        for instance, items in came_in.items():
            try:
                self.modules[instance].round(now, items, LineWriter(instance, put))
            except Exception as error:
                put(f"BROKEN\t{instance}\t{type(error).__name__}: {' '.join(str(error).split())}\n")

    def item(self, now: int, word: str, parts: list[str]) -> PolicyEvent | None:
        if word == "QUERY":
            _, _, name, hint, owner, stage, bits, author, kb, limit, user, waited, repeats, rank = parts[:14]
            flags = 0 if absent(bits) else int(bits)
            hinted = flags & HINTED and not absent(hint)
            return TaskArrived(
                Task(
                    id=name,
                    stage=int(stage),
                    tenant=0 if absent(owner) else int(owner),
                    client=0 if absent(author) else int(author),
                    priority_rank=0.0 if absent(rank) else float(rank),
                    user=None if user in ("-", "") else int(user),
                    estimated_work=nanos(hint) if hinted else None,
                    queued_memory_kb=float(kb),
                    arrived_at=now - (0 if absent(waited) else nanos(waited)),
                    deadline=None if absent(limit) else nanos(limit) or None,
                    is_retry=bool(flags & AGAIN),
                    duplicate_of=None if absent(repeats) else repeats,
                ),
            )
        if word == "BELL":
            row = parts[3].split(",") if len(parts) > 3 and parts[3] not in ("-", "") else []
            values = (0.0 if absent(text) else float(text) for text in row)
            return TimerFired(parts[2], dict(zip(self.gauges[parts[1]], values, strict=False)))
        if word == "DONE":
            return RunEnded(parts[2], RUN_ENDS[parts[3]], 0 if absent(parts[4]) else nanos(parts[4]))
        if word == "EXPIRED":
            return ClientGone(parts[2])
        if word == "NEEDS":
            return CallRequested(parts[2])
        if word == "DEP_REPLY":
            return CallEnded(parts[2], CALL_ENDS[parts[3]], 0 if absent(parts[4]) else nanos(parts[4]))
        if word == "TERMINATE_SOON":
            return DrainRequested(nanos(parts[2]))
        return None


def main(source: TextIO, sink: TextIO) -> int:
    host = Host()
    lines: list[list[str]] = []
    clock: tuple[int, str] | None = None
    number = 0
    try:
        for line in source:
            number += 1
            parts = line.rstrip("\r\n").split("\t")
            if parts[0] == "ROUND":
                clock, lines = (nanos(parts[1]), parts[2]), []
            elif parts[0] == "EOB":
                if clock is None:
                    raise Malformed("EOB without ROUND")
                out: list[str] = []
                host.round(clock[0], lines, out.append)
                out.append(f"EOR\t{clock[1]}\n")
                sink.write("".join(out))
                sink.flush()
                clock = None
            elif parts != [""]:
                if clock is None:
                    raise Malformed(f"{parts[0][:40]!r} outside a round")
                if len(parts) < 2:
                    raise Malformed(f"{parts[0][:40]!r} names no instance")
                lines.append(parts)
    except (Malformed, ValueError, KeyError, IndexError, TypeError, ArithmeticError) as error:
        print(f"line {number}: {type(error).__name__}: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0
