"""Tests listed in KNOWN-RED.txt must fail, and no others may."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest

def test_passing(): pass

@pytest.mark.parametrize("case", [1, 2])
def test_failing(case): assert case == 0
"""


@pytest.mark.parametrize(
    ("lines", "exit_code", "expected_output"),
    [
        (
            ["test_it.py::test_failing[1] | a cause | 34", "test_it.py::test_failing[2] | another | 34"],
            0,
            "a cause",
        ),
        (["test_it.py::test_failing[1] | a cause | 34"], 1, "test_failing[2]"),
        (
            [
                f"test_it.py::{name} | a cause | 34"
                for name in ("test_failing[1]", "test_failing[2]", "test_passing")
            ],
            1,
            "XPASS(strict)",
        ),
        (
            [
                f"test_it.py::{name} | a cause | 34"
                for name in ("test_failing[1]", "test_failing[2]", "test_missing")
            ],
            4,
            "no such test: test_it.py::test_missing",
        ),
        (["test_it.py::test_failing[1] | | 34"], 4, "KNOWN-RED.txt:1: expected test | cause | issue"),
        ([f"test_it.py::{name} | a cause | 34" for name in "abcd"], 4, "4 tests, at most 3 are allowed"),
        ([], 1, "2 failed"),
    ],
)
def test_listed_tests_must_fail_and_no_others_may(
    tmp_path: Path, lines: list[str], exit_code: int, expected_output: str
) -> None:
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\naddopts = '-q'\n")
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "conftest.py").write_text(
        "from tests.known_red import pytest_collection_modifyitems, pytest_configure\n"
    )
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (completed.returncode, expected_output in completed.stdout + completed.stderr) == (
        exit_code,
        True,
    ), completed.stdout + completed.stderr
