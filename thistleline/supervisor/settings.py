"""Whether a server could take a version of the settings, and what differs between two. No I/O, no clock."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from thistleline.lease.protocol import VALUE_BOUND
from thistleline.server.service import CONNECTION_COST, RESERVED_DESCRIPTORS
from thistleline.wire.settings import (
    SettingsError,
    read_gauge_names,
    read_round_interval,
    read_server_settings,
)

SIZE_BOUND = VALUE_BOUND  # bytes of a version: it has to go through the council in one record


def unfit_settings(content: bytes, limits: dict[str, Any] | None = None) -> str:
    """Why no server takes them; nothing where one does. `limits`: of a server's configuration, `sockets` and
    `memory_mb`; without them only what holds for all servers is looked at."""
    if len(content) > SIZE_BOUND:
        return f"{len(content)} bytes, {SIZE_BOUND} at most"
    try:
        told = msgspec.json.decode(content)
        site = read_server_settings(told)
        read_gauge_names(told)
        read_round_interval(told)
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
    twice = [name for name, count in Counter(one.name for one in site.stages).items() if count > 1]
    if twice:
        return f"there are two stages {twice[0]!r}"
    if limits is None:
        return ""
    try:
        sockets, memory = int(limits["sockets"]), float(limits["memory_mb"]) * 1024 * 1024
    except (KeyError, TypeError, ValueError):
        return "the limits have no 'sockets' or no 'memory_mb'"
    reserved = RESERVED_DESCRIPTORS
    if site.client_count + reserved > sockets:
        return f"{site.client_count} callers and {reserved} of its own need more than {sockets} descriptors"
    if site.client_count * CONNECTION_COST > memory / 4:
        taken = site.client_count * CONNECTION_COST >> 20
        return f"{site.client_count} callers take {taken} MB, more than a quarter of {int(memory) >> 20} MB"
    return ""


def lines_of(content: bytes) -> list[str]:
    """A value a line, each with the way to it, in the order of the ways."""
    return sorted(f"{way} = {msgspec.json.encode(value).decode()}" for way, value in _leaves(content))


def _leaves(content: bytes) -> Iterator[tuple[str, Any]]:
    def walk(way: str, value: Any) -> Iterator[tuple[str, Any]]:
        if isinstance(value, dict) and value:
            for name, inner in value.items():
                yield from walk(f"{way}.{name}" if way else str(name), inner)
        elif isinstance(value, list) and value:
            for place, inner in enumerate(value):
                named = inner.get("name", place) if isinstance(inner, dict) else place
                yield from walk(f"{way}[{named}]", inner)
        else:
            yield way, value

    yield from walk("", msgspec.json.decode(content))
