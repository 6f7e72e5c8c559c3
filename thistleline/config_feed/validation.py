"""Validates a proposed change, before it gets a sequence number. No I/O, no clock.

A key is `section/name`, a value a JSON object:

    route/NAME      one kind of work and its service level, as `Stage` of interface.py, times in ms
    tenant/NAME     a tenant and its share of the service, as `Tenant` of interface.py
    common/NAME     shared settings with any fields; `common/tenant` is the default for all tenants

Unknown fields are refused by name, so that the table has no values that no program reads.
"""

from collections.abc import Iterator
from itertools import islice
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from thistleline.config_feed.limits import (
    CHANGE_ITEMS_LIMIT,
    CHANGE_SIZE_LIMIT,
    KEY_LENGTH_LIMIT,
    REQUEST_ID_LENGTH_LIMIT,
    TABLE_ENTRIES_LIMIT,
    VALUE_SIZE_LIMIT,
)
from thistleline.config_feed.messages import Item, Propose
from thistleline.config_feed.table import FeedTable

NUMBER_LIMIT = 1e15  # largest magnitude of a number in a value
NESTING_LIMIT = 16  # levels of nesting in a value
FAULTS_LIMIT = 20  # faults listed for one change
EXCERPT_LENGTH = 60  # characters quoted from a proposal in a reason

Name = Annotated[str, Meta(min_length=1, max_length=KEY_LENGTH_LIMIT)]
Duration = Annotated[float, Meta(gt=0, le=366 * 86_400_000)]  # ms
Window = Annotated[float, Meta(ge=0, le=366 * 86_400_000)]  # ms
Share = Annotated[float, Meta(ge=0, le=1)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class RouteValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of `route/NAME`: a class of requests; the defaults are the same as in a server's settings."""

    limit_ms: Duration  # from arrival in the fleet until the client gives up
    effect: Literal["restartable", "fingerprinted", "side-effecting"]
    stage: Name | None = None  # by default the name in the key
    due_ms: Duration | None = None  # from arrival in the fleet until the desired answer; by default the limit
    due_stretch: Amount = 0.0  # added to the due time, as a multiple of the request's own duration
    window_ms: Window = 0.0  # for effect "fingerprinted": time in which duplicates of a request may arrive
    utility: Amount = 1.0
    late_share: Share = 0.0
    calls: bool = False
    skip_share: Share = 0.0


class TenantValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of `tenant/NAME` and of `common/tenant`."""

    share: Share  # fraction of the fleet's service
    allowance_per_s: Amount | None = None  # requests per second within the share; by default unlimited


SCHEMA_OF_SECTION: dict[str, type[msgspec.Struct] | None] = {
    "route": RouteValue,
    "tenant": TenantValue,
    "common": None,  # any fields
}
SCHEMA_OF_KEY: dict[str, type[msgspec.Struct]] = {"common/tenant": TenantValue}


def find_faults(propose: Propose, table: FeedTable) -> str:
    """Return all faults of the proposed change as one text; empty if it is valid for this table."""
    faults = _faults(propose, table)
    listed = list(islice(faults, FAULTS_LIMIT))
    if next(faults, None) is not None:
        listed.append("and more faults")
    return "; ".join(listed)


def _faults(propose: Propose, table: FeedTable) -> Iterator[str]:
    yield from _count_faults(propose)
    if len(propose.items) > CHANGE_ITEMS_LIMIT or len(propose.expected) > CHANGE_ITEMS_LIMIT:
        return  # bounds the work for a proposal that is refused anyway
    size = sum(len(key.encode("utf-8", "replace")) + len(value or b"") for key, value in propose.items)
    if size > CHANGE_SIZE_LIMIT:
        yield f"the change has {size} bytes, {CHANGE_SIZE_LIMIT} at most"
        return
    yield from _item_faults(propose.items, table)
    yield from _expectation_faults(propose.expected, table)


def _count_faults(propose: Propose) -> Iterator[str]:
    request_id = propose.request_id
    if not 0 < len(request_id) <= REQUEST_ID_LENGTH_LIMIT or not request_id.isprintable():
        yield f"the request id does not have 1 to {REQUEST_ID_LENGTH_LIMIT} printable characters"
    if not 0 < len(propose.items) <= CHANGE_ITEMS_LIMIT:
        yield f"{len(propose.items)} entries, 1 to {CHANGE_ITEMS_LIMIT} are allowed"
    if len(propose.expected) > CHANGE_ITEMS_LIMIT:
        yield f"{len(propose.expected)} expected versions, {CHANGE_ITEMS_LIMIT} at most"


def _item_faults(items: tuple[Item, ...], table: FeedTable) -> Iterator[str]:
    seen: set[str] = set()
    added = 0  # net number of entries that the change adds to the table
    for key, value in items:
        if key in seen:
            yield f"{_excerpt(key)} is listed twice"
            continue
        seen.add(key)
        fault = _key_fault(key)
        if fault:
            yield fault
            continue
        exists = table.get(key) is not None
        if value is not None:
            added += not exists
            for fault in _value_faults(key, value):
                yield f"{_excerpt(key)}: {fault}"
        elif exists:
            added -= 1
    if added > 0 and table.entry_count("all") + added > TABLE_ENTRIES_LIMIT:
        yield f"the table would have more than {TABLE_ENTRIES_LIMIT} entries"


def _expectation_faults(expected: tuple[tuple[str, int], ...], table: FeedTable) -> Iterator[str]:
    for key, version in expected:
        fault = _key_fault(key)
        if fault:
            yield f"expected: {fault}"
        elif table.version(key) != version:
            yield f"{_excerpt(key)} has version {table.version(key)}, {version} was expected"


def _excerpt(text: str) -> str:
    return repr(text if len(text) <= EXCERPT_LENGTH else text[:EXCERPT_LENGTH] + "...")


def _key_fault(key: str) -> str:
    section, _, name = key.partition("/")
    if len(key) > KEY_LENGTH_LIMIT:
        return f"the key {_excerpt(key)} has {len(key)} characters, {KEY_LENGTH_LIMIT} at most"
    if not key.isprintable():
        return f"the key {_excerpt(key)} has unprintable characters"
    if section not in SCHEMA_OF_SECTION:
        return f"the key {_excerpt(key)} is in none of the sections {', '.join(SCHEMA_OF_SECTION)}"
    if not name or name != name.strip():
        return f"the key {_excerpt(key)} has no name after its section, or spaces around it"
    return ""


def _value_faults(key: str, value: bytes) -> Iterator[str]:
    if len(value) > VALUE_SIZE_LIMIT:
        yield f"the value has {len(value)} bytes, {VALUE_SIZE_LIMIT} at most"
        return
    try:
        decoded = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        yield f"not valid JSON: {error}"
        return
    if not isinstance(decoded, dict):
        yield "not a JSON object"
        return
    yield from _content_faults(decoded)
    schema = SCHEMA_OF_KEY.get(key, SCHEMA_OF_SECTION[key.partition("/")[0]])
    if schema is not None:
        yield from _schema_faults(decoded, schema)


def _content_faults(decoded: dict[str, Any]) -> Iterator[str]:
    """Yield the faults that make a value invalid under any schema."""
    pending: list[tuple[Any, int]] = [(decoded, 1)]
    while pending:
        node, depth = pending.pop()
        if depth > NESTING_LIMIT:
            yield f"the value is nested more than {NESTING_LIMIT} levels deep"
            return
        if isinstance(node, dict):
            for name in node:
                if not name or len(name) > KEY_LENGTH_LIMIT or not name.isprintable():
                    yield f"{_excerpt(name)} is not a valid field name"
            pending.extend((child, depth + 1) for child in node.values())
        elif isinstance(node, list):
            pending.extend((child, depth + 1) for child in node)
        elif isinstance(node, int | float) and not abs(node) <= NUMBER_LIMIT:
            yield "a number is too large"
        elif isinstance(node, str) and not all(char.isprintable() or char in "\n\t" for char in node):
            yield "a string has unprintable characters"


def _schema_faults(decoded: dict[str, Any], schema: type[msgspec.Struct]) -> Iterator[str]:
    """Yield the faults of each field, so that all are reported together."""
    fields = {field.name: field for field in msgspec.structs.fields(schema)}
    for name in decoded:
        if name not in fields:
            yield f"unknown field {_excerpt(name)}"
    converted = {}
    for name, field in fields.items():
        if name in decoded:
            try:
                converted[name] = msgspec.convert(decoded[name], field.type)
            except msgspec.ValidationError as error:
                yield f"{name}: {error}"
        elif field.required:
            yield f"{name} is missing"
    due = converted.get("due_ms")
    limit = converted.get("limit_ms")
    if due is not None and limit is not None and due > limit:
        yield "due_ms is above limit_ms"
