"""What the file may say, by part, and the check of the whole."""

import os
from pathlib import Path
from typing import Annotated, Any

import msgspec

from thistleline.conf.lines import Fault, Line, read_lines

UNITS = {"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}


class Ledger(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is kept of fingerprinted tasks over restarts."""

    folder: Path
    disk: Annotated[int, msgspec.Meta(ge=1 << 20, le=1 << 40)] = 64 << 20  # bytes of all segments
    results: Annotated[int, msgspec.Meta(ge=0, le=1 << 36)] | None = None  # bytes in memory


class Conf(msgspec.Struct, frozen=True):
    ledger: Ledger | None = None


PARTS: dict[str, type[msgspec.Struct]] = {"ledger": Ledger}


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
        elif before is not None:
            faults.append(
                Fault(line.number, f"{line.part} {line.name} was told in line {before.number} already")
            )
        else:
            told[line.part][line.name] = line
    made: dict[str, Any] = {}
    for part, said in told.items():
        values: dict[str, Any] = {}
        for field in msgspec.structs.fields(PARTS[part]):
            if field.name in said:
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
        if not faults:
            made[part] = PARTS[part](**values)
    if faults:
        raise Faulty(name, sorted(faults))
    return Conf(**made)


def _value(text: str, typed: Any) -> Any:
    if typed is Path:
        if not os.path.isabs(text):
            raise ValueError(f"{text!r} is no absolute path")
        return Path(text)
    return msgspec.convert(_size(text), typed)


def _size(text: str) -> int:
    digits, unit = (text[:-1], text[-1]) if text[-1:].isalpha() else (text, "")
    if not (digits.isascii() and digits.isdecimal() and len(digits) < 16) or unit not in UNITS:
        raise ValueError(f"{text!r} is no size: a whole number with K, M, G or nothing")
    return int(digits) * UNITS[unit]
