"""Converts the text of a setting to the type of its field in the schema."""

import os
from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec

from thistleline.config.schema import Duration
from thistleline.transport.address import Address, parse_address

DURATION_UNITS = {"s": 1_000_000_000, "ms": 1_000_000, "us": 1000}  # ns
SIZE_UNITS = {"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}  # bytes
_MAX_DURATION_DIGITS = 11
_MAX_SIZE_DIGITS = 15


def parse_value(text: str, field_type: Any) -> Any:
    """Return the value of a setting.

    Raises:
        ValueError: The text is not a value of that type.
        msgspec.ValidationError: The value is outside the field's limits.
    """
    types = _unannotated_types(field_type)
    if Address in types:
        return parse_address(text)
    if Duration in types:
        return msgspec.convert(_parse_duration(text), field_type)
    if str in types:
        return msgspec.convert(text, field_type)
    if Path in types:
        if not os.path.isabs(text):
            raise ValueError(f"{text!r} is not an absolute path")
        return Path(text)
    return msgspec.convert(_parse_size(text), field_type)


def _parse_duration(text: str) -> int:
    digits = text.rstrip("mnus")
    unit = text[len(digits) :]
    if not _is_number(digits, _MAX_DURATION_DIGITS) or unit not in DURATION_UNITS:
        raise ValueError(f"{text!r} is not a duration: a whole number followed by s, ms or us is required")
    return int(digits) * DURATION_UNITS[unit]


def _parse_size(text: str) -> int:
    digits, unit = (text[:-1], text[-1]) if text[-1:].isalpha() else (text, "")
    if not _is_number(digits, _MAX_SIZE_DIGITS) or unit not in SIZE_UNITS:
        raise ValueError(
            f"{text!r} is not a size: a whole number, optionally followed by K, M or G, is required"
        )
    return int(digits) * SIZE_UNITS[unit]


def _is_number(digits: str, max_digits: int) -> bool:
    return digits.isascii() and digits.isdecimal() and len(digits) <= max_digits


def _unannotated_types(field_type: Any) -> set[Any]:
    """Return the types that a value may have, without their annotations."""
    if field_type == Address or not get_args(field_type):
        return {field_type}
    if get_origin(field_type) is Literal:
        return {str}
    if get_origin(field_type) is Annotated:
        return _unannotated_types(get_args(field_type)[0])
    return {plain for member in get_args(field_type) for plain in _unannotated_types(member)}
