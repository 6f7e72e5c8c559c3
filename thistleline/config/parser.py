"""Lines of words: `part name value`, `#` begins a remark, quotes hold blanks together. Nothing nests.

ledger folder /var/lib/thistleline/n1     # one folder a server
ledger disk   64M
"""

import shlex
from typing import NamedTuple

LINES_BOUND, LINE_BOUND = 10_000, 4096


class Line(NamedTuple):
    number: int
    part: str
    name: str
    value: str


class Fault(NamedTuple):
    """What is wrong at a line; 0 where no line is at fault."""

    number: int
    reason: str


def read_lines(text: str) -> tuple[list[Line], list[Fault]]:
    lines, faults = [], []
    for number, raw in enumerate(text.splitlines(), 1):
        if number > LINES_BOUND:
            faults.append(Fault(number, f"there are more than {LINES_BOUND} lines"))
            break
        try:
            words = shlex.split(raw[: LINE_BOUND + 1], comments=True) if len(raw) <= LINE_BOUND else []
        except ValueError as error:
            faults.append(Fault(number, str(error).lower()))
            continue
        if len(raw) > LINE_BOUND:
            faults.append(Fault(number, f"the line is longer than {LINE_BOUND} characters"))
        elif len(words) == 3:
            lines.append(Line(number, *words))
        elif words:
            faults.append(
                Fault(number, f"a part, a name and a value are wanted, here are {len(words)} words")
            )
    return lines, faults
