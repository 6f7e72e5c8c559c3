"""Finds what is wrong with a proposed change, before it gets a sequence number. No I/O, no clock.

A key is `section/name`, a value a JSON object:

    route/NAME      one kind of work and what is promised for it, as `Stage` of interface.py, times in ms
    tenant/NAME     a tenant and its share of the service, as `Tenant` there
    common/NAME     settings for all, in any form; `common/tenant` is the default of all tenants

An unknown field is refused by its name, which prevents values that nobody reads.
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

NUMBER_LIMIT = 1e15  # magnitude of any number in a value
NESTING_LIMIT = 16  # levels of a value
FAULTS_LIMIT = 20  # faults listed of one change
EXCERPT_LENGTH = 60  # characters of a proposer's text in a reason

Name = Annotated[str, Meta(min_length=1, max_length=KEY_LENGTH_LIMIT)]
Duration = Annotated[float, Meta(gt=0, le=366 * 86_400_000)]  # ms
Window = Annotated[float, Meta(ge=0, le=366 * 86_400_000)]  # ms
Share = Annotated[float, Meta(ge=0, le=1)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class RouteValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of `route/NAME`: one kind of work. Defaults are those of a server's settings."""

    limit_ms: Duration  # from reaching the fleet to the client giving up
    effect: Literal["restartable", "fingerprinted", "side-effecting"]
    stage: Name | None = None  # by default the name in the key
    due_ms: Duration | None = None  # from reaching the fleet to the wanted answer; by default the limit
    due_stretch: Amount = 0.0  # the due time grows by this many times the work's own length
    window_ms: Window = 0.0  # how long fingerprinted work may come again
    utility: Amount = 1.0
    late_share: Share = 0.0
    calls: bool = False
    skip_share: Share = 0.0


class TenantValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of `tenant/NAME` and of `common/tenant`."""

    share: Share  # of the fleet's service
    allowance_per_s: Amount | None = None  # requests a second inside the share; by default unlimited


SCHEMA_OF_SECTION: dict[str, type[msgspec.Struct] | None] = {
    "route": RouteValue,
    "tenant": TenantValue,
    "common": None,  # any form
}
SCHEMA_OF_KEY: dict[str, type[msgspec.Struct]] = {"common/tenant": TenantValue}


def find_faults(propose: Propose, table: FeedTable) -> str:
    """Return all that is wrong as one text, empty where the change may be made on this table."""
    faults = _faults(propose, table)
    listed = list(islice(faults, FAULTS_LIMIT))
    if next(faults, None) is not None:
        listed.append("and more")
    return "; ".join(listed)


def _faults(propose: Propose, table: FeedTable) -> Iterator[str]:
    yield from _count_faults(propose)
    if len(propose.items) > CHANGE_ITEMS_LIMIT or len(propose.expected) > CHANGE_ITEMS_LIMIT:
        return  # prevents unbounded work for what is refused anyway
    size = sum(len(key.encode("utf-8", "replace")) + len(value or b"") for key, value in propose.items)
    if size > CHANGE_SIZE_LIMIT:
        yield f"{size} bytes, {CHANGE_SIZE_LIMIT} at most"
        return
    yield from _item_faults(propose.items, table)
    yield from _expectation_faults(propose.expected, table)


def _count_faults(propose: Propose) -> Iterator[str]:
    request_id = propose.request_id
    if not 0 < len(request_id) <= REQUEST_ID_LENGTH_LIMIT or not request_id.isprintable():
        yield f"a request is named by 1 to {REQUEST_ID_LENGTH_LIMIT} printable characters"
    if not 0 < len(propose.items) <= CHANGE_ITEMS_LIMIT:
        yield f"{len(propose.items)} entries, 1 to {CHANGE_ITEMS_LIMIT} are allowed"
    if len(propose.expected) > CHANGE_ITEMS_LIMIT:
        yield f"{len(propose.expected)} expected versions, {CHANGE_ITEMS_LIMIT} at most"


def _item_faults(items: tuple[Item, ...], table: FeedTable) -> Iterator[str]:
    seen: set[str] = set()
    added = 0  # entries that the table has more after the change
    for key, value in items:
        if key in seen:
            yield f"{_excerpt(key)} is there twice"
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
        yield f"with it there are more than {TABLE_ENTRIES_LIMIT} entries"


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
        return f"the key {_excerpt(key)} has characters that can't be printed"
    if section not in SCHEMA_OF_SECTION:
        return f"the key {_excerpt(key)} is in none of the sections {', '.join(SCHEMA_OF_SECTION)}"
    if not name or name != name.strip():
        return f"the key {_excerpt(key)} has no name after its section, or spaces around it"
    return ""


def _value_faults(key: str, value: bytes) -> Iterator[str]:
    if len(value) > VALUE_SIZE_LIMIT:
        yield f"{len(value)} bytes, {VALUE_SIZE_LIMIT} at most"
        return
    try:
        decoded = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        yield f"no JSON: {error}"
        return
    if not isinstance(decoded, dict):
        yield "no JSON object"
        return
    yield from _content_faults(decoded)
    schema = SCHEMA_OF_KEY.get(key, SCHEMA_OF_SECTION[key.partition("/")[0]])
    if schema is not None:
        yield from _schema_faults(decoded, schema)


def _content_faults(decoded: dict[str, Any]) -> Iterator[str]:
    """Yield what no reader could take, whatever the schema."""
    pending: list[tuple[Any, int]] = [(decoded, 1)]
    while pending:
        node, depth = pending.pop()
        if depth > NESTING_LIMIT:
            yield f"it is more than {NESTING_LIMIT} levels deep"
            return
        if isinstance(node, dict):
            for name in node:
                if not name or len(name) > KEY_LENGTH_LIMIT or not name.isprintable():
                    yield f"{_excerpt(name)} is no name of a field"
            pending.extend((child, depth + 1) for child in node.values())
        elif isinstance(node, list):
            pending.extend((child, depth + 1) for child in node)
        elif isinstance(node, int | float) and not abs(node) <= NUMBER_LIMIT:
            yield "a number is too large"
        elif isinstance(node, str) and not all(char.isprintable() or char in "\n\t" for char in node):
            yield "a text has characters that can't be printed"


def _schema_faults(decoded: dict[str, Any], schema: type[msgspec.Struct]) -> Iterator[str]:
    """Yield the faults field by field, so that all of them are listed at once."""
    fields = {field.name: field for field in msgspec.structs.fields(schema)}
    for name in decoded:
        if name not in fields:
            yield f"there is no field {_excerpt(name)}"
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
