"""What a server is told about itself, in the words of the settings: read here for every wire."""

from decimal import Decimal, InvalidOperation
from typing import Any

from thistleline.interface import ServerSettings, Stage, Tenant

EFFECT_KINDS = {"read_like": "idempotent", "idempotency_key": "keyed", "non_idempotent": "non_idempotent"}
CANCELLATION = {"none": "none", "abort": "abort", "suspend": "suspend"}
LOAD_HINTS = {"none": "none", "threshold": "threshold", "window": "window", "share_of": "share"}
GAUGES = {"core_use": "core_use", "on_cores": "on_cores", "heap_share": "memory_use", "links": "connections"}
DOWNSTREAM = {"none": "none", "shared": "shared", "tier": "tier"}
NUMBER_BOUND = 1e21

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


def read_server_settings(env: dict[str, Any]) -> ServerSettings:
    """The settings of BORN in our words. Keys that are not known are passed over. What may be left out has
    the meaning of a site without it; a word that is not known is the one that asks the least of others, but
    for an effect, on which a rule hangs. Raises Malformed, KeyError, TypeError, ValueError."""
    info, rules = _of(env, "familyInfo"), _of(env, "invariants")
    allowed, habits = env.get("allowed") or {}, env.get("clientHabits") or {}
    calls, skips = info.get("classCalls") or [], info.get("classSkipWorth") or []
    stages = []
    for place, row in enumerate(env["classes"]):
        name = str(row["name"])
        limit = _above_zero(f"deadline of {name}", _span(row["deadline"]))
        effect = EFFECT_KINDS.get(row["effect"])
        if effect is None:
            raise Malformed(
                f"the effect of {name} is {row['effect']!r}, one of {', '.join(EFFECT_KINDS)} is wanted"
            )
        stages.append(
            Stage(
                name=name,
                latency_objective=_above_zero(
                    f"promise of {name}", _span(row.get("promise") or row["deadline"])
                ),
                objective_per_work=_number(row, "aimStretch", 0.0),
                timeout=limit,
                idempotency_window=_span(row.get("window") or 0),
                effect=effect,  # type: ignore[arg-type]
                utility=_number(row, "credit", 1.0),
                late_utility_share=_number(row, "lateShare", 0.0),
                calls=bool(calls[place]) if place < len(calls) else False,
                utility_share_without_call=float(skips[place] or 0.0) if place < len(skips) else 0.0,
            )
        )
    if not stages:
        raise Malformed("there are no stages")
    projects = env.get("projects") or []
    tenants = [
        Tenant(
            str(row["name"]),
            _number(row, "portion", 1 / len(projects)),
            _number(row, "allowancePerS", float("inf")),
        )
        for row in projects
    ]
    cores = _above_zero("a server without cores: 'cpus'", float(info["cpus"]))
    return ServerSettings(
        stages=tuple(stages),
        tenants=tuple(tenants),
        cores=int(cores) if cores == int(cores) else cores,
        memory_kb=_above_zero("a server without memory: 'memoryKb'", float(info["memoryKb"])),
        running_memory_factor=_number(info, "blowup", 1.0),
        idempotency_key_kb=_number(info, "keyKb", 0.0),
        fleet_size=max(1, int(_number(env, "groupSize", 1.0))),
        client_count=max(1, int(_number(info, "upstreams", 1.0))),
        cold_start=bool(info.get("freshStart")),
        cold_speed_share=_number(rules, "coldFrom", 1.0),
        warmup_duration=_span(rules.get("cold") or 0),
        max_concurrency_per_core=max(1.0, float(rules["fallMultiple"])),
        max_concurrency_window=_span(rules.get("fall") or 0),
        answer_slack=_span(rules.get("graceToAnswer") or 0),
        drain_grace=_span(rules.get("drainGrace") or 0),
        cancellation=CANCELLATION.get(info.get("halt"), "none"),  # type: ignore[arg-type]
        propagates_deadline=bool(info.get("passesDeadline")),
        reports_cancellation=bool(info.get("tellsGone")),
        marks_retries=bool(habits.get("marksRetry")),
        load_hint=LOAD_HINTS.get(info.get("say"), "none"),  # type: ignore[arg-type]
        endpoint_list_follows_health=bool(info.get("listFollows")),
        max_retry_after=_span(allowed.get("maxRetryAfter") or 0) if allowed.get("retryAfter") else 0,
        over_quota_utility=_number(env, "overShareWorth", 1.0),
        cached_result_ttl=_span(info.get("freshFor") or 0),
        downstream=DOWNSTREAM.get(info.get("dependsOn") or "none", "tier"),  # type: ignore[arg-type]
        downstream_quota=_number(info, "callsOut", 0.0),
        downstream_quota_window=_span(info.get("shareSpan") or 0),
        downstream_linger=_span(info.get("staysFor") or 0),
    )


def _of(env: dict[str, Any], key: str) -> dict[str, Any]:
    part = env[key]
    if not isinstance(part, dict):
        raise Malformed(f"{key!r} is no object")
    return part


def _span(value: Any) -> int:
    span = nanos(format(Decimal(str(value)), "f"))
    if span < 0:
        raise Malformed(f"{value!r} is no span of time")
    return span


def _number(row: dict[str, Any], key: str, without: float) -> float:
    value = row.get(key)
    number = without if value is None else float(value)
    if not number >= 0:
        raise Malformed(f"{key!r} is {value!r}, a number from 0 up is wanted")
    return number


def _above_zero(what: str, value: Any) -> Any:
    if not 0 < value < NUMBER_BOUND:
        raise Malformed(f"{what}: above 0 is wanted")
    return value


def read_gauges(env: dict[str, Any]) -> tuple[str, ...]:
    """The names of the gauges, in the order in which their values come."""
    return tuple(GAUGES.get(name, str(name)) for name in _of(env, "familyInfo").get("gauges") or ())


def read_granularity(env: dict[str, Any]) -> int:
    """The least span between two rounds."""
    return _span(env.get("granularity") or 0)
