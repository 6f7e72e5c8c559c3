"""Validation of a version of the settings against a server, and flattening for diffs. No I/O, no clock."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from thistleline.lease.protocol import MAX_VALUE_SIZE
from thistleline.server.service import CONNECTION_COST, RESERVED_DESCRIPTORS
from thistleline.wire.settings import (
    SettingsError,
    read_gauge_names,
    read_round_interval,
    read_server_settings,
)

SETTINGS_SIZE_LIMIT = MAX_VALUE_SIZE  # bytes; the settings have to fit in one record of the replicated log
MEGABYTE = 1 << 20  # bytes
CONNECTIONS_MEMORY_DIVISOR = 4  # connections may use at most 1/4 of the memory


def unfit_settings(content: bytes, limits: dict[str, Any] | None = None) -> str:
    """Return why a server would reject the settings; an empty string if it would accept them.

    Args:
        content: The settings, JSON.
        limits: `sockets` and `memory_mb` of the server configuration; without them, only the checks that
            apply to all servers are made.
    """
    if len(content) > SETTINGS_SIZE_LIMIT:
        return f"{len(content)} bytes exceed the limit of {SETTINGS_SIZE_LIMIT}"
    try:
        raw = msgspec.json.decode(content)
        settings = read_server_settings(raw)
        read_gauge_names(raw)
        read_round_interval(raw)
    except KeyError as error:
        return f"{error.args[0]!r} is missing or unknown"
    except (
        msgspec.MsgspecError,
        SettingsError,
        TypeError,
        LookupError,
        ValueError,
        ArithmeticError,
    ) as error:
        return f"{type(error).__name__}: {' '.join(str(error).split())}"
    repeated = [name for name, count in Counter(stage.name for stage in settings.stages).items() if count > 1]
    if repeated:
        return f"stage {repeated[0]!r} is defined more than once"
    return "" if limits is None else _limits_fault(settings.client_count, limits)


def _limits_fault(clients: int, limits: dict[str, Any]) -> str:
    """Return why the limits of a server are too low for the clients; an empty string if they suffice."""
    try:
        sockets = int(limits["sockets"])
        memory = float(limits["memory_mb"]) * MEGABYTE
    except (KeyError, TypeError, ValueError):
        return "the limits lack a valid 'sockets' or 'memory_mb'"
    reserved = RESERVED_DESCRIPTORS
    if clients + reserved > sockets:
        return f"{clients} clients and {reserved} reserved descriptors need more than {sockets} descriptors"
    needed = clients * CONNECTION_COST
    if needed > memory / CONNECTIONS_MEMORY_DIVISOR:
        needed_mb = needed >> 20
        memory_mb = int(memory) >> 20
        return f"{clients} clients need {needed_mb} MB, more than a quarter of {memory_mb} MB"
    return ""


def flatten_settings(content: bytes) -> list[str]:
    """Return a line `path = value` for each value in the settings, sorted."""
    leaves = _leaves("", msgspec.json.decode(content))
    return sorted(f"{path} = {msgspec.json.encode(value).decode()}" for path, value in leaves)


def _leaves(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the path and value of each leaf; list elements are identified by `name`, if they have one."""
    if isinstance(value, dict) and value:
        for name, inner in value.items():
            yield from _leaves(f"{path}.{name}" if path else str(name), inner)
    elif isinstance(value, list) and value:
        for index, inner in enumerate(value):
            name = inner.get("name", index) if isinstance(inner, dict) else index
            yield from _leaves(f"{path}[{name}]", inner)
    else:
        yield path, value
