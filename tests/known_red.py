"""Pytest plugin for tests that are known to fail because of an unfixed fault.

KNOWN-RED.txt at the root has one line for each such test, and at most three:

    test | cause | issue        tests/test_x.py::test_y | what is wrong | 34

Only these tests may fail, and they must fail. A listed test that passes or does not exist fails the run, as
does a line without a cause and an issue. Each listed test is printed with its cause.
"""

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3


def read_known_red(path: Path) -> dict[str, str]:
    """Return the cause and issue of each listed test. Raises UsageError with one line per error."""
    known: dict[str, str] = {}
    errors = []
    lines = path.read_text().splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if line.strip() and (len(parts) != 3 or not all(parts)):
            errors.append(f"{path.name}:{number}: expected test | cause | issue")
        elif line.strip():
            known[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(known) > MAX_KNOWN_RED:
        errors.append(f"{path.name}: {len(known)} tests, at most {MAX_KNOWN_RED} are allowed")
    if errors:
        raise pytest.UsageError("\n".join(errors))
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_red(config.rootpath / "KNOWN-RED.txt")
    is_full_run = not config.getoption("keyword") and not config.getoption("markexpr")
    arguments = [str(arg) for arg in config.args]
    is_full_run = is_full_run and (
        not arguments or arguments == list(config.getini("testpaths")) or arguments == [str(config.rootpath)]
    )
    for item in items:
        cause = known.pop(item.nodeid, None)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {cause}", strict=True))
    if known and is_full_run:
        raise pytest.UsageError("\n".join(f"KNOWN-RED.txt: no such test: {name}" for name in known))


def pytest_configure(config: pytest.Config) -> None:
    config.option.reportchars = (config.option.reportchars or "") + "x"
