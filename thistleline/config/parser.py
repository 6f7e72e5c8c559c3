"""Splits a settings file into settings: lines of three words, `section name value`.

A `#` begins a comment, and quotes enclose values with blanks. There are no nested structures.

    ledger folder /var/lib/thistleline/n1     # one folder per server
    ledger disk   64M
"""

import shlex
from typing import NamedTuple

MAX_LINES = 10_000
MAX_LINE_LENGTH = 4096  # characters


class SettingLine(NamedTuple):
    """One setting, with the number of its line in the file."""

    number: int
    section: str
    name: str
    value: str


class ConfigFault(NamedTuple):
    """An error in a line; `number` is 0 if the error belongs to no line."""

    number: int
    reason: str


def parse_lines(text: str) -> tuple[list[SettingLine], list[ConfigFault]]:
    """Return the settings of a file and the errors in its lines."""
    lines: list[SettingLine] = []
    faults: list[ConfigFault] = []
    for number, raw in enumerate(text.splitlines(), 1):
        if number > MAX_LINES:
            faults.append(ConfigFault(number, f"there are more than {MAX_LINES} lines"))
            break
        if len(raw) > MAX_LINE_LENGTH:
            faults.append(ConfigFault(number, f"the line is longer than {MAX_LINE_LENGTH} characters"))
            continue
        try:
            words = shlex.split(raw, comments=True)
        except ValueError as error:
            faults.append(ConfigFault(number, str(error).lower()))
            continue
        if len(words) == 3:
            lines.append(SettingLine(number, *words))
        elif words:
            reason = f"expected a section, a name and a value, but found {len(words)} words"
            faults.append(ConfigFault(number, reason))
    return lines, faults
