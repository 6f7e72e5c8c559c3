"""What the file may say, by part, and the check of the whole."""

import os
from pathlib import Path
from typing import Annotated, Any, Literal, NewType, get_args, get_origin

import msgspec

from thistleline.config.parser import Fault, Line, read_lines
from thistleline.transport.address import Address, parse_address

SPANS = {"s": 1_000_000_000, "ms": 1_000_000, "us": 1000}
UNITS = {"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}


Span = NewType("Span", int)  # ns


class Ledger(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is kept of fingerprinted tasks over restarts."""

    folder: Path
    disk: Annotated[int, msgspec.Meta(ge=1 << 20, le=1 << 40)] = 64 << 20  # bytes of all segments
    results: Annotated[int, msgspec.Meta(ge=0, le=1 << 36)] | None = None  # bytes in memory


class Handover(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a server and the one that follows it on the same machine find each other. Wants the part `ledger`
    beside it in a server's file."""

    folder: Path


class Council(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A voter of the council, or with `voter` lines alone where one is found."""

    folder: Path | None = None
    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9-]{1,32}$")] | None = None
    listen: Address | None = None
    voter: dict[str, Address] = {}  # name=address, a line each
    via: dict[str, Address] = {}  # another way to a voter than its own address
    heartbeat: Annotated[Span, msgspec.Meta(ge=1_000_000, le=10_000_000_000)] = Span(50_000_000)
    election: Annotated[Span, msgspec.Meta(ge=10_000_000, le=60_000_000_000)] = Span(500_000_000)


class Members(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One member of the fleet, as others see it."""

    name: Annotated[str, msgspec.Meta(pattern="^[a-zA-Z0-9._-]{1,64}$")]
    listen: Address
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    seed: dict[str, Address] = {}  # some members that are there already, name=address, a line each
    period: Annotated[Span, msgspec.Meta(ge=50_000_000, le=60_000_000_000)] = Span(1_000_000_000)


class Steward(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What keeps a machine's server running. Wants the parts `members` and `council voter` beside it."""

    folder: Path
    plate: Path  # the server's own configuration; `settings` in it are those of the version that runs
    releases: Path | None = None  # else a folder `releases` in `folder`
    stop: Annotated[Span, msgspec.Meta(ge=10_000_000, le=600_000_000_000)] = Span(5_000_000_000)
    warm: Annotated[Span, msgspec.Meta(ge=0, le=3600_000_000_000)] = Span(15_000_000_000)  # after its start


class Conductor(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What leads a change through the fleet. Wants the parts `members` and `council voter` beside it."""

    lease: Annotated[Span, msgspec.Meta(ge=1_000_000_000, le=600_000_000_000)] = Span(10_000_000_000)
    slot: Annotated[Span, msgspec.Meta(ge=100_000_000, le=600_000_000_000)] = Span(5_000_000_000)
    change: Annotated[Span, msgspec.Meta(ge=1_000_000_000, le=7200_000_000_000)] = Span(120_000_000_000)
    enough: Annotated[int, msgspec.Meta(ge=3, le=100_000)] = 36  # slots before 'not worse' may be said
    patience: Annotated[int, msgspec.Meta(ge=3, le=1_000_000)] = 240  # slots before a person is asked


class Feed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A keeper or a relay of the change feed; without `role` how an instance or a command finds one."""

    name: Annotated[str, msgspec.Meta(pattern="^[a-zA-Z0-9._-]{1,64}$")] | None = None
    listen: Address | None = None
    role: Literal["keeper", "relay"] | None = None
    level: Annotated[int, msgspec.Meta(ge=0, le=15)] = 0  # of a relay; it follows what is above it
    folder: Path | None = None  # a keeper's must outlive it
    keeper: dict[str, Address] = {}  # all of them, name=address, a line each
    up: dict[str, Address] = {}  # whom it follows; a keeper: another way to a keeper than its own address
    lease: Annotated[Span, msgspec.Meta(ge=500_000_000, le=600_000_000_000)] = Span(3_000_000_000)
    followers: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1024


class Conf(msgspec.Struct, frozen=True):
    ledger: Ledger | None = None
    handover: Handover | None = None
    council: Council | None = None
    members: Members | None = None
    steward: Steward | None = None
    conductor: Conductor | None = None
    feed: Feed | None = None


PARTS: dict[str, type[msgspec.Struct]] = {
    "ledger": Ledger,
    "handover": Handover,
    "council": Council,
    "members": Members,
    "steward": Steward,
    "conductor": Conductor,
    "feed": Feed,
}
# In several lines, each name=value.
MANY = {("council", "voter"), ("council", "via"), ("members", "seed"), ("feed", "keeper"), ("feed", "up")}


class Faulty(Exception):
    """All that is wrong with a file, a line each."""

    def __init__(self, name: str, faults: list[Fault]) -> None:
        self.lines = [
            f"{name}:{number}: {reason}" if number else f"{name}: {reason}" for number, reason in faults
        ]
        super().__init__("\n".join(self.lines))


def read_conf(path: str) -> Conf:
    """Raises Faulty with every fault at once."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise Faulty(path, [Fault(0, str(error.strerror))]) from error
    except UnicodeDecodeError as error:
        raise Faulty(path, [Fault(0, f"byte {error.start} is no UTF-8")]) from error
    return check(path, text)


def check(name: str, text: str) -> Conf:
    lines, faults = read_lines(text)
    told: dict[str, dict[str, Line]] = {}
    many: dict[tuple[str, str], list[Line]] = {}
    for line in lines:
        if line.part not in PARTS:
            faults.append(Fault(line.number, f"there is no part {line.part!r}, but {', '.join(PARTS)}"))
            continue
        names = {field.name for field in msgspec.structs.fields(PARTS[line.part])}
        before = told.setdefault(line.part, {}).get(line.name)
        if line.name not in names:
            faults.append(
                Fault(line.number, f"{line.part} has no {line.name!r}, but {', '.join(sorted(names))}")
            )
        elif before is not None and (line.part, line.name) not in MANY:
            faults.append(
                Fault(line.number, f"{line.part} {line.name} was told in line {before.number} already")
            )
        else:
            told[line.part][line.name] = line
            if (line.part, line.name) in MANY:
                many.setdefault((line.part, line.name), []).append(line)
    made: dict[str, Any] = {}
    for part, said in told.items():
        values: dict[str, Any] = {}
        for field in msgspec.structs.fields(PARTS[part]):
            if (part, field.name) in many:
                values[field.name] = _named(many[part, field.name], faults)
            elif field.name in said:
                line = said[field.name]
                try:
                    values[field.name] = _value(line.value, field.type)
                except (ValueError, msgspec.ValidationError) as error:
                    faults.append(
                        Fault(line.number, f"{part} {field.name}: {str(error)[:1].lower()}{str(error)[1:]}")
                    )
            elif field.required:
                faults.append(Fault(min(line.number for line in said.values()) if said else 0,
                                    f"{part} {field.name} is missing"))  # fmt: skip
        if part == "feed" and "role" in values:
            first = min(line.number for line in said.values())
            faults += [Fault(first, reason) for reason in _feed_faults(values, said, told)]
        if not faults:
            made[part] = PARTS[part](**values)
    if faults:
        raise Faulty(name, sorted(faults))
    return Conf(**made)


def _feed_faults(
    values: dict[str, Any], said: dict[str, Line], told: dict[str, dict[str, Line]]
) -> list[str]:
    """What a keeper or a relay misses. What was told and can't be read is a fault of its own."""
    role = values["role"]
    wanted = ["name", "listen", *(("folder", "keeper") if role == "keeper" else ("up",))]
    faults = [f"a {role} wants 'feed {name}'" for name in wanted if name not in said]
    keepers, name = values.get("keeper", {}), values.get("name", "")
    if role == "relay":
        if values.get("level", 0) == 0 and ("level" not in said or "level" in values):
            faults.append("a relay's 'feed level' is 1 or more")
        return faults
    if values.get("level", 0):
        faults.append("a keeper's 'feed level' is 0")
    if keepers and name and name not in keepers:
        faults.append(f"no line 'feed keeper' has the keeper's own name {name!r}")
    faults += [f"'feed up {one}': there is no 'feed keeper' of that name"
               for one in sorted(values.get("up", {})) if one not in keepers]  # fmt: skip
    if "voter" not in told.get("council", {}):
        faults.append("a keeper wants lines 'council voter'")
    return faults


def _named(lines: list[Line], faults: list[Fault]) -> dict[str, Address]:
    found: dict[str, Address] = {}
    for line in lines:
        name, _, address = line.value.partition("=")
        try:
            if not name or name in found:
                raise ValueError(f"{line.value!r} has no name of its own before a '='")
            found[name] = parse_address(address)
        except ValueError as error:
            faults.append(Fault(line.number, f"{line.part} {line.name}: {error}"))
    return found


def _span(text: str) -> int:
    digits = text.rstrip("mnus")
    unit = text[len(digits) :]
    if not (digits.isascii() and digits.isdecimal() and len(digits) < 12) or unit not in SPANS:
        raise ValueError(f"{text!r} is no span: a whole number with s, ms or us")
    return int(digits) * SPANS[unit]


def _value(text: str, typed: Any) -> Any:
    kinds = _kinds(typed)
    if Address in kinds:
        return parse_address(text)
    if Span in kinds:
        return msgspec.convert(_span(text), typed)
    if str in kinds:
        return msgspec.convert(text, typed)
    if Path in kinds:
        if not os.path.isabs(text):
            raise ValueError(f"{text!r} is no absolute path")
        return Path(text)
    return msgspec.convert(_size(text), typed)


def _size(text: str) -> int:
    digits, unit = (text[:-1], text[-1]) if text[-1:].isalpha() else (text, "")
    if not (digits.isascii() and digits.isdecimal() and len(digits) < 16) or unit not in UNITS:
        raise ValueError(f"{text!r} is no size: a whole number with K, M, G or nothing")
    return int(digits) * UNITS[unit]


def _kinds(typed: Any) -> set[Any]:
    """What a value may be, without what is said of its bounds."""
    if typed == Address or not get_args(typed):
        return {typed}
    if get_origin(typed) is Literal:
        return {str}
    if get_origin(typed) is Annotated:
        return _kinds(get_args(typed)[0])
    return {kind for one in get_args(typed) for kind in _kinds(one)}
