"""What is wrong with a proposed change; it takes a number only where nothing is. No I/O, no clock.

A key is `section/name`, a value a JSON object:

    route/NAME      one kind of work and what is promised for it, as Stage of interface.py, times in ms
    tenant/NAME     whom work belongs to and its part of the service, as Owner there
    common/NAME     what all go by, in any form; `common/tenant` is what counts for a tenant without an entry

A field that is not known is refused by its name: guards against a value that says what nobody reads.
"""

from collections.abc import Iterator
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
from thistleline.config_feed.messages import Propose
from thistleline.config_feed.table import FeedTable

NUMBER_BOUND = 1e15  # of any number in a free form
DEPTH_BOUND = 16
TOLD_BOUND = 20  # faults told of one change
PIECE = 60  # characters of a stranger's word in a reason

Name = Annotated[str, Meta(min_length=1, max_length=KEY_LENGTH_LIMIT)]
Span = Annotated[float, Meta(gt=0, le=366 * 86_400_000)]  # ms
Window = Annotated[float, Meta(ge=0, le=366 * 86_400_000)]  # ms
Share = Annotated[float, Meta(ge=0, le=1)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of work; what is left out means what it means in a server's settings."""

    limit_ms: Span  # from reaching the fleet to the client giving up
    effect: Literal["restartable", "fingerprinted", "side-effecting"]
    stage: Name | None = None  # by default the name in the key
    due_ms: Span | None = None  # from reaching the fleet to the wanted answer; by default the limit
    due_stretch: Amount = 0.0  # the due time grows by this many times the work's own length
    window_ms: Window = 0.0  # how long fingerprinted work may come again
    utility: Amount = 1.0
    late_share: Share = 0.0
    calls: bool = False
    skip_share: Share = 0.0


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    share: Share  # of the fleet's service
    allowance_per_s: Amount | None = None  # requests a second inside the share; by default no end


FORMS: dict[str, type[msgspec.Struct] | None] = {"route": Route, "tenant": Tenant, "common": None}
FORM_OF_KEY: dict[str, type[msgspec.Struct]] = {"common/tenant": Tenant}


def fault(propose: Propose, table: FeedTable) -> str:
    """All that is wrong, in one reason; nothing where the change may be made on this table."""
    found = []
    for place, why in enumerate(_faults(propose, table)):
        if place == TOLD_BOUND:
            found.append("and more")
            break
        found.append(why)
    return "; ".join(found)


def _faults(propose: Propose, table: FeedTable) -> Iterator[str]:
    items, expected = propose.items, propose.expected
    if not 0 < len(propose.request_id) <= REQUEST_ID_LENGTH_LIMIT or not propose.request_id.isprintable():
        yield f"a request is named by 1 to {REQUEST_ID_LENGTH_LIMIT} printable characters"
    if not 0 < len(items) <= CHANGE_ITEMS_LIMIT:
        yield f"{len(items)} entries, 1 to {CHANGE_ITEMS_LIMIT} are allowed"
    if len(expected) > CHANGE_ITEMS_LIMIT:
        yield f"{len(expected)} expected versions, {CHANGE_ITEMS_LIMIT} at most"
    if len(items) > CHANGE_ITEMS_LIMIT or len(expected) > CHANGE_ITEMS_LIMIT:
        return  # guards against work without end for what is refused anyway
    size = sum(len(key.encode("utf-8", "replace")) + len(value or b"") for key, value in items)
    if size > CHANGE_SIZE_LIMIT:
        yield f"{size} bytes, {CHANGE_SIZE_LIMIT} at most"
        return
    seen: set[str] = set()
    more = 0
    for key, value in items:
        if key in seen:
            yield f"{_short(key)} is there twice"
            continue
        seen.add(key)
        why = _key_fault(key)
        if why:
            yield why
            continue
        known = table.get(key) is not None
        more += (value is not None) - known if value is not None or known else 0
        if value is not None:
            for why in _value_faults(key, value):
                yield f"{_short(key)}: {why}"
    if more > 0 and table.entry_count("all") + more > TABLE_ENTRIES_LIMIT:
        yield f"with it there are more than {TABLE_ENTRIES_LIMIT} entries"
    for key, version in expected:
        why = _key_fault(key)
        if why:
            yield f"expected: {why}"
        elif table.version(key) != version:
            yield f"{_short(key)} has version {table.version(key)}, {version} was expected"


def _short(word: str) -> str:
    return repr(word if len(word) <= PIECE else word[:PIECE] + "...")


def _key_fault(key: str) -> str:
    section, _, name = key.partition("/")
    if len(key) > KEY_LENGTH_LIMIT:
        return f"the key {_short(key)} has {len(key)} characters, {KEY_LENGTH_LIMIT} at most"
    if not key.isprintable():
        return f"the key {_short(key)} has characters that can't be printed"
    if section not in FORMS:
        return f"the key {_short(key)} is in none of the sections {', '.join(FORMS)}"
    if not name or name != name.strip():
        return f"the key {_short(key)} has no name after its section, or spaces around it"
    return ""


def _value_faults(key: str, value: bytes) -> Iterator[str]:
    if len(value) > VALUE_SIZE_LIMIT:
        yield f"{len(value)} bytes, {VALUE_SIZE_LIMIT} at most"
        return
    try:
        told = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        yield f"no JSON: {error}"
        return
    if not isinstance(told, dict):
        yield "no JSON object"
        return
    yield from _free_faults(told)
    form = FORM_OF_KEY.get(key, FORMS[key.partition("/")[0]])
    if form is not None:
        yield from _form_faults(told, form)


def _free_faults(told: dict[str, Any]) -> Iterator[str]:
    """Of any form: what no reader could take."""
    inner: list[tuple[Any, int]] = [(told, 1)]
    while inner:
        one, depth = inner.pop()
        if depth > DEPTH_BOUND:
            yield f"it is more than {DEPTH_BOUND} levels deep"
            return
        if isinstance(one, dict):
            for name in one:
                if not name or len(name) > KEY_LENGTH_LIMIT or not name.isprintable():
                    yield f"{_short(name)} is no name of a field"
            inner.extend((each, depth + 1) for each in one.values())
        elif isinstance(one, list):
            inner.extend((each, depth + 1) for each in one)
        elif isinstance(one, int | float) and not abs(one) <= NUMBER_BOUND:
            yield "a number is too large"
        elif isinstance(one, str) and not all(char.isprintable() or char in "\n\t" for char in one):
            yield "a text has characters that can't be printed"


def _form_faults(told: dict[str, Any], form: type[msgspec.Struct]) -> Iterator[str]:
    """Field by field, so that all faults are told at once."""
    fields = {field.name: field for field in msgspec.structs.fields(form)}
    for name in told:
        if name not in fields:
            yield f"there is no field {_short(name)}"
    taken = {}
    for name, field in fields.items():
        if name in told:
            try:
                taken[name] = msgspec.convert(told[name], field.type)
            except msgspec.ValidationError as error:
                yield f"{name}: {error}"
        elif field.required:
            yield f"{name} is missing"
    due, limit = taken.get("due_ms"), taken.get("limit_ms")
    if due is not None and limit is not None and due > limit:
        yield "due_ms is above limit_ms"
