"""Decodes the event lines of the bench protocol into policy events."""

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
from thistleline.wire.durations import parse_seconds

RUN_OUTCOMES: dict[str, RunOutcome] = {
    "OK": "finished",
    "INTERNAL": "failed",
    "CANCELLED": "stopped",
    "TOO_LATE": "moot",
}
CALL_OUTCOMES: dict[str, CallOutcome] = {
    "OK": "finished",
    "INTERNAL": "failed",
    "RESOURCE_EXHAUSTED": "rejected",
    "DEADLINE_EXCEEDED": "timed_out",
    "UNAVAILABLE": "unreachable",
    "ABORTED": "aborted",
}

# Flag bits of a QUERY line.
HAS_WORK_HINT = 1
IS_RETRY = 2

QUERY_FIELD_COUNT = 14  # further fields of a QUERY line are ignored


def parse_event(now: int, parts: list[str], gauge_names: tuple[str, ...]) -> PolicyEvent | None:
    """Decode the event of a line.

    Args:
        now: The time of the round, ns.
        parts: The fields of the line: message, instance, values.
        gauge_names: The names of the gauges, in the order of their values.

    Returns:
        The event; None for a message that policies do not handle.

    Raises:
        ValueError: A field is missing or not a number.
        KeyError: An outcome is unknown.
        IndexError: A field is missing.
        SettingsError: A time is not a number.
    """
    match parts[0]:
        case "QUERY":
            return TaskArrived(_parse_task(now, parts))
        case "BELL":
            return TimerFired(parts[2], _parse_gauges(parts, gauge_names))
        case "DONE":
            return RunEnded(parts[2], RUN_OUTCOMES[parts[3]], _parse_duration(parts[4]))
        case "EXPIRED":
            return ClientGone(parts[2])
        case "NEEDS":
            return CallRequested(parts[2])
        case "DEP_REPLY":
            return CallEnded(parts[2], CALL_OUTCOMES[parts[3]], _parse_duration(parts[4]))
        case "TERMINATE_SOON":
            return DrainRequested(parse_seconds(parts[2]))
        case _:
            return None


def _parse_task(now: int, parts: list[str]) -> Task:
    (
        _,
        _,
        task_id,
        work,
        tenant,
        stage,
        flag_bits,
        client,
        memory_kb,
        deadline,
        user,
        waited,
        duplicate_of,
        priority_rank,
    ) = parts[:QUERY_FIELD_COUNT]
    flags = 0 if _is_absent(flag_bits) else int(flag_bits)
    has_work_hint = flags & HAS_WORK_HINT and not _is_absent(work)
    return Task(
        id=task_id,
        stage=int(stage),
        tenant=0 if _is_absent(tenant) else int(tenant),
        client=0 if _is_absent(client) else int(client),
        priority_rank=0.0 if _is_absent(priority_rank) else float(priority_rank),
        user=None if user in ("-", "") else int(user),
        estimated_work=parse_seconds(work) if has_work_hint else None,
        queued_memory_kb=float(memory_kb),
        arrived_at=now - _parse_duration(waited),
        deadline=None if _is_absent(deadline) else parse_seconds(deadline) or None,
        is_retry=bool(flags & IS_RETRY),
        duplicate_of=None if _is_absent(duplicate_of) else duplicate_of,
    )


def _parse_gauges(parts: list[str], names: tuple[str, ...]) -> dict[str, float]:
    texts = parts[3].split(",") if len(parts) > 3 and parts[3] not in ("-", "") else []
    values = (0.0 if _is_absent(text) else float(text) for text in texts)
    return dict(zip(names, values, strict=False))


def _parse_duration(text: str) -> int:
    return 0 if _is_absent(text) else parse_seconds(text)


def _is_absent(text: str) -> bool:
    return text in ("-", "", "0")
