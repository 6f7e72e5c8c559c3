"""Reads the settings that a server receives at startup. The operators chose the names of keys and values.

Unknown keys are ignored. A missing optional key means that the site lacks the feature. An unknown value
counts as that known value which requires the least of other components. An unknown effect, the value that
says whether tasks of a stage may run twice, is an error, because that rule depends on it.
"""

from decimal import Decimal
from typing import Any

from thistleline.interface import ServerSettings, Stage, Tenant
from thistleline.wire.durations import parse_seconds
from thistleline.wire.errors import DurationError, SettingsError

__all__ = ["SettingsError", "read_gauge_names", "read_round_interval", "read_server_settings"]

Section = dict[str, Any]

# The operators' names of values, and the names that the program uses for the same values.
EFFECT_KINDS = {"read_like": "idempotent", "idempotency_key": "keyed", "non_idempotent": "non_idempotent"}
CANCELLATION = {"none": "none", "abort": "abort", "suspend": "suspend"}
LOAD_HINTS = {"none": "none", "threshold": "threshold", "window": "window", "share_of": "share"}
GAUGES = {"core_use": "core_use", "on_cores": "on_cores", "heap_share": "memory_use", "links": "connections"}
DOWNSTREAM = {"none": "none", "shared": "shared", "tier": "tier"}

MAX_NUMBER = 1e21


def read_server_settings(env: Section) -> ServerSettings:
    """Return the settings of a server.

    Raises:
        SettingsError: If a value is invalid.
        KeyError: If a required key is missing.
        TypeError: If a value has a type that can't be converted.
        ValueError: If a value can't be converted.
        ArithmeticError: If a duration is not a number.
    """
    info, rules = _section(env, "familyInfo"), _section(env, "invariants")
    allowed, habits = env.get("allowed") or {}, env.get("clientHabits") or {}
    stages = _read_stages(env, info)
    tenants = _read_tenants(env)
    cores = _above_zero("'cpus'", float(info["cpus"]))
    return ServerSettings(
        stages=stages,
        tenants=tenants,
        cores=int(cores) if cores == int(cores) else cores,
        memory_kb=_above_zero("'memoryKb'", float(info["memoryKb"])),
        running_memory_factor=_number(info, "blowup", 1.0),
        idempotency_key_kb=_number(info, "keyKb", 0.0),
        fleet_size=max(1, int(_number(env, "groupSize", 1.0))),
        client_count=max(1, int(_number(info, "upstreams", 1.0))),
        cold_start=bool(info.get("freshStart")),
        cold_speed_share=_number(rules, "coldFrom", 1.0),
        warmup_duration=_duration(rules.get("cold") or 0),
        max_concurrency_per_core=max(1.0, float(rules["fallMultiple"])),
        max_concurrency_window=_duration(rules.get("fall") or 0),
        answer_slack=_duration(rules.get("graceToAnswer") or 0),
        drain_grace=_duration(rules.get("drainGrace") or 0),
        cancellation=CANCELLATION.get(info.get("halt"), "none"),  # type: ignore[arg-type]
        propagates_deadline=bool(info.get("passesDeadline")),
        reports_cancellation=bool(info.get("tellsGone")),
        marks_retries=bool(habits.get("marksRetry")),
        load_hint=LOAD_HINTS.get(info.get("say"), "none"),  # type: ignore[arg-type]
        endpoint_list_follows_health=bool(info.get("listFollows")),
        max_retry_after=_duration(allowed.get("maxRetryAfter") or 0) if allowed.get("retryAfter") else 0,
        over_quota_utility=_number(env, "overShareWorth", 1.0),
        cached_result_ttl=_duration(info.get("freshFor") or 0),
        downstream=DOWNSTREAM.get(info.get("dependsOn") or "none", "tier"),  # type: ignore[arg-type]
        downstream_quota=_number(info, "callsOut", 0.0),
        downstream_quota_window=_duration(info.get("shareSpan") or 0),
        downstream_linger=_duration(info.get("staysFor") or 0),
    )


def read_gauge_names(env: Section) -> tuple[str, ...]:
    """Return the names of the gauges, in the order in which the agent sends their values."""
    return tuple(GAUGES.get(name, str(name)) for name in _section(env, "familyInfo").get("gauges") or ())


def read_round_interval(env: Section) -> int:
    """Return the minimum time between two rounds of the policy, in nanoseconds."""
    return _duration(env.get("granularity") or 0)


def _read_stages(env: Section, info: Section) -> tuple[Stage, ...]:
    calls, skip_shares = info.get("classCalls") or [], info.get("classSkipWorth") or []
    stages = tuple(_read_stage(row, index, calls, skip_shares) for index, row in enumerate(env["classes"]))
    if not stages:
        raise SettingsError("'classes' is empty; at least one stage is required")
    return stages


def _read_stage(row: Section, index: int, calls: list[Any], skip_shares: list[Any]) -> Stage:
    """Return one stage; `calls` and `skip_shares` have a value for each stage, or only for the first ones."""
    name = str(row["name"])
    timeout = _above_zero(f"deadline of {name}", _duration(row["deadline"]))
    effect = EFFECT_KINDS.get(row["effect"])
    if effect is None:
        raise SettingsError(
            f"the effect of {name} is {row['effect']!r}; it must be one of {', '.join(EFFECT_KINDS)}"
        )
    return Stage(
        name=name,
        latency_objective=_above_zero(f"promise of {name}", _duration(row.get("promise") or row["deadline"])),
        objective_per_work=_number(row, "aimStretch", 0.0),
        timeout=timeout,
        idempotency_window=_duration(row.get("window") or 0),
        effect=effect,  # type: ignore[arg-type]
        utility=_number(row, "credit", 1.0),
        late_utility_share=_number(row, "lateShare", 0.0),
        calls=bool(calls[index]) if index < len(calls) else False,
        utility_share_without_call=float(skip_shares[index] or 0.0) if index < len(skip_shares) else 0.0,
    )


def _read_tenants(env: Section) -> tuple[Tenant, ...]:
    """Return the tenants; tenants without a stated share get an equal share."""
    projects = env.get("projects") or []
    return tuple(
        Tenant(
            str(row["name"]),
            _number(row, "portion", 1 / len(projects)),
            _number(row, "allowancePerS", float("inf")),
        )
        for row in projects
    )


def _section(env: Section, key: str) -> Section:
    section = env[key]
    if not isinstance(section, dict):
        raise SettingsError(f"{key!r} is not an object")
    return section


def _duration(value: Any) -> int:
    """Convert a number of seconds to nanoseconds."""
    try:
        duration = parse_seconds(format(Decimal(str(value)), "f"))
    except DurationError as error:
        raise SettingsError(str(error)) from error
    if duration < 0:
        raise SettingsError(f"{value!r} is not a duration: it must not be negative")
    return duration


def _number(row: Section, key: str, default: float) -> float:
    value = row.get(key)
    number = default if value is None else float(value)
    if not number >= 0:
        raise SettingsError(f"{key!r} is {value!r}; it must be a number of at least 0")
    return number


def _above_zero(name: str, value: Any) -> Any:
    if not 0 < value < MAX_NUMBER:
        raise SettingsError(f"{name} must be above 0")
    return value
