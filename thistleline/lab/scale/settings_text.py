"""Generated server settings of a given size: stages and tenants as sites write them, numbers by seed."""

import json
from random import Random
from typing import Any

EFFECTS = ("read_like", "read_like", "idempotency_key", "non_idempotent")
UTILITY_COUNT = 5  # distinct utilities


def settings_of(stages: int, tenants: int, seed: int) -> dict[str, Any]:
    """Return the settings document that a server reads at its start."""
    random = Random(seed)
    classes = [
        {"name": f"route-{index:06}", "effect": EFFECTS[index % len(EFFECTS)], 
         "credit": 1.0 + index % UTILITY_COUNT,
         "promise": round(random.uniform(0.2, 2.0), 3), "deadline": round(random.uniform(2.0, 9.0), 3),
         "window": 2.0, "lateShare": 0.1}
        for index in range(stages)
    ]  # fmt: skip
    projects = [
        {"name": f"t-{index:07}", "portion": round(random.uniform(1e-7, 1e-6), 9),
         "allowancePerS": round(random.uniform(0.1, 9.0), 2)}
        for index in range(tenants)
    ]  # fmt: skip
    return {
        "allowed": {"maxRetryAfter": 1.0, "retryAfter": True},
        "classes": classes,
        "clientHabits": {"marksRetry": True},
        "familyInfo": {"blowup": 1.0, "callsOut": 0.0, "cpus": 8, "dependsOn": "none", "freshStart": False,
                       "gauges": ["core_use", "on_cores", "heap_share", "links"], "halt": "abort",
                       "keyKb": 0.001, "memoryKb": 4e6, "say": "threshold", "shareSpan": 5.0, "staysFor": 0.2,
                       "upstreams": 19},
        "granularity": 0.001,
        "groupSize": 6600,
        "invariants": {"cold": 1.0, "coldFrom": 1.0, "drainGrace": 2.0, "fall": 2.0, "fallMultiple": 8.0,
                       "graceToAnswer": 0.1},
        "overShareWorth": 1.0,
        "projects": projects,
    }  # fmt: skip


def text_of(stages: int, tenants: int, seed: int) -> bytes:
    """Return `settings_of` as compact JSON."""
    return json.dumps(settings_of(stages, tenants, seed), separators=(",", ":")).encode()
