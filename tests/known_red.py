"""Tests that fail for a real fault which is not mended yet: KNOWN-RED.txt at the root, a line each.

    test | cause | issue        tests/test_x.py::test_y | what is wrong | 34

Three at most. Those alone may fail, and they have to: one that passes, is not there or has no cause and issue
fails the run. Each is printed with its cause.
"""

from pathlib import Path

import pytest

MOST = 3


def read_known_red(place: Path) -> dict[str, str]:
    """Cause and issue by test. Raises UsageError, with a line for each fault."""
    known: dict[str, str] = {}
    faults = []
    lines = place.read_text().splitlines() if place.exists() else []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if line.strip() and (len(parts) != 3 or not all(parts)):
            faults.append(f"{place.name}:{number}: wanted are test | cause | issue")
        elif line.strip():
            known[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(known) > MOST:
        faults.append(f"{place.name}: {len(known)} tests, {MOST} at most")
    if faults:
        raise pytest.UsageError("\n".join(faults))
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_red(config.rootpath / "KNOWN-RED.txt")
    whole = not config.getoption("keyword") and not config.getoption("markexpr")
    asked = [str(arg) for arg in config.args]
    whole = whole and (
        not asked or asked == list(config.getini("testpaths")) or asked == [str(config.rootpath)]
    )
    for item in items:
        cause = known.pop(item.nodeid, None)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {cause}", strict=True))
    if known and whole:
        raise pytest.UsageError("\n".join(f"KNOWN-RED.txt: there is no test {name}" for name in known))


def pytest_configure(config: pytest.Config) -> None:
    config.option.reportchars = (config.option.reportchars or "") + "x"
