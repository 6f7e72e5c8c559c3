"""What is known to fail may, and nothing else."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest

def test_well(): pass

@pytest.mark.parametrize("case", [1, 2])
def test_ill(case): assert case == 0
"""


@pytest.mark.parametrize(
    ("lines", "code", "said"),
    [
        (["test_it.py::test_ill[1] | a cause | 34", "test_it.py::test_ill[2] | another | 34"], 0, "a cause"),
        (["test_it.py::test_ill[1] | a cause | 34"], 1, "test_ill[2]"),
        (
            [f"test_it.py::{name} | a cause | 34" for name in ("test_ill[1]", "test_ill[2]", "test_well")],
            1,
            "XPASS(strict)",
        ),
        (
            [f"test_it.py::{name} | a cause | 34" for name in ("test_ill[1]", "test_ill[2]", "test_gone")],
            4,
            "there is no test test_it.py::test_gone",
        ),
        (["test_it.py::test_ill[1] | | 34"], 4, "KNOWN-RED.txt:1: wanted are test | cause | issue"),
        ([f"test_it.py::{name} | a cause | 34" for name in "abcd"], 4, "4 tests, 3 at most"),
        ([], 1, "2 failed"),
    ],
)
def test_what_is_known_to_fail_may_and_nothing_else(
    tmp_path: Path, lines: list[str], code: int, said: str
) -> None:
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\naddopts = '-q'\n")
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "conftest.py").write_text(
        "from tests.known_red import pytest_collection_modifyitems, pytest_configure\n"
    )
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (ran.returncode, said in ran.stdout + ran.stderr) == (code, True), ran.stdout + ran.stderr
