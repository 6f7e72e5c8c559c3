"""What a server is told about itself, in the words of the settings: read here for every wire."""

from decimal import Decimal, InvalidOperation
from typing import Any

from thistleline.interface import Bench, Owner, Stage

EFFECTS = {"read_like": "restartable", "idempotency_key": "fingerprinted", "non_idempotent": "side-effecting"}
STOPPING = {"none": "none", "abort": "loses", "suspend": "pauses"}
SAYS = {"none": "none", "threshold": "threshold", "window": "window", "share_of": "share"}
GAUGES = {"core_use": "core_use", "on_cores": "on_cores", "heap_share": "memory_use", "links": "connections"}

TIME_BOUND = 1 << 40  # seconds; guards against exponents whose digits would fill the memory


class Malformed(Exception):
    """A line that the wire does not allow."""


def nanos(text: str) -> int:
    """Decimal seconds to whole nanoseconds, through digits alone so that nothing drifts."""
    whole, _, part = text.partition(".")
    if whole.isdigit() and (part.isdigit() or not part):
        return int(whole) * 1_000_000_000 + int((part + "000000000")[:9])
    try:
        value = Decimal(text)
        if not abs(value) < TIME_BOUND:
            raise Malformed(f"{text[:40]!r} is not a time")
        return int(value * 1_000_000_000)
    except (InvalidOperation, ValueError, OverflowError) as error:
        raise Malformed(f"{text!r} is not a time") from error


def read_bench(env: dict[str, Any]) -> Bench:
    """The settings of BORN in our words."""
    info, rules, allowed = env["familyInfo"], env["invariants"], env["allowed"]

    def span(value: Any) -> int:
        return nanos(format(Decimal(str(value)), "f"))

    stages = []
    for place, row in enumerate(env["classes"]):
        calls, skips = info.get("classCalls") or [], info.get("classSkipWorth") or []
        stages.append(
            Stage(
                name=row["name"],
                due_span=span(row["promise"]),
                due_stretch=float(row.get("aimStretch") or 0.0),
                limit_span=span(row["deadline"]),
                window=span(row.get("window") or 0),
                effect=EFFECTS[row["effect"]],  # type: ignore[arg-type]
                utility=float(row["credit"]),
                late_share=float(row.get("lateShare") or 0.0),
                calls=bool(calls[place]) if place < len(calls) else False,
                skip_share=float(skips[place]) if place < len(skips) else 0.0,
            )
        )
    owners = [Owner(row["name"], row["portion"], row["allowancePerS"]) for row in env.get("projects") or []]
    return Bench(
        stages=tuple(stages),
        owners=tuple(owners),
        cores=int(info["cpus"]),
        memory_kb=float(info["memoryKb"]),
        run_factor=float(info["blowup"]),
        key_kb=float(info["keyKb"]),
        servers=int(env["groupSize"]),
        callers=int(info["upstreams"]),
        fresh=bool(info["freshStart"]),
        cold_from=float(rules["coldFrom"]),
        cold_span=span(rules["cold"]),
        crowd_bound=float(rules["fallMultiple"]),
        crowd_span=span(rules["fall"]),
        answer_slack=span(rules["graceToAnswer"]),
        drain_grace=span(rules["drainGrace"]),
        stopping=STOPPING[info["halt"]],  # type: ignore[arg-type]
        tells_limit=bool(info.get("passesDeadline")),
        tells_gone=bool(info.get("tellsGone")),
        marks_repeats=bool(env["clientHabits"]["marksRetry"]),
        says=SAYS[info["say"]],  # type: ignore[arg-type]
        list_follows_health=bool(info.get("listFollows")),
        longest_stay_away=span(allowed["maxRetryAfter"]) if allowed.get("retryAfter") else 0,
        over_share_utility=float(env["overShareWorth"]),
        answer_fresh_for=span(info.get("freshFor") or 0),
        below=info["dependsOn"],
        calls_out=float(info["callsOut"]),
        calls_span=span(info["shareSpan"]),
        call_linger=span(info["staysFor"]),
    )


def read_gauges(env: dict[str, Any]) -> tuple[str, ...]:
    """The names of the gauges, in the order in which their values come."""
    return tuple(GAUGES.get(name, name) for name in env["familyInfo"]["gauges"])


def read_granularity(env: dict[str, Any]) -> int:
    """The least span between two rounds."""
    return nanos(format(Decimal(str(env.get("granularity") or 0)), "f"))
