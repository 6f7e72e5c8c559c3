"""`lab feeds`: a short storm finds no violation, one without a protection does, and the criteria show it."""

import json
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from click.testing import CliRunner

from thistleline.cli.main import entry
from thistleline.lab import feeds
from thistleline.lab.feeds import ALONE, Storm, storm
from thistleline.lab.processes.harness import RunTimeoutError
from thistleline.lab.processes.network_relay import Relay

GOOD = {"wrong": [], "hung": False, "acknowledged": 5, "faults": {}}
FOUND = {**GOOD, "wrong": ["s1 went back from 3 to 0"]}


def ignore_progress(text: str) -> None:
    return None


def test_short_storm_finds_no_violation() -> None:
    found = storm(2, 4.0, ignore_progress)
    assert found["wrong"] == []
    assert found["acknowledged"] > 0
    assert found["states_seen"] > 0
    assert sum(found["faults"].values()) > 0


def test_oracle_detects_state_that_goes_back() -> None:
    found = storm(3, 1.0, ignore_progress, "newer", ("strand",))
    assert any("went back from" in one for one in found["wrong"])


@pytest.mark.parametrize("name", ALONE)
def test_each_fleet_fault_has_a_method(name: str) -> None:
    assert callable(getattr(Storm, f"_{name}"))


def test_mute_drops_what_a_process_sends_and_deaf_what_it_receives(tmp_path: Path) -> None:
    """The direction to drop depends on whether the process dialled the link or accepted it."""
    for how, dialled, accepted in (("mute", "forward", "backward"), ("deaf", "backward", "forward")):
        one, links = Storm(tmp_path, 1), (("k1", "k2"), ("r1", "k1"), ("r1", "k2"))
        relays = {link: Relay(("127.0.0.1", 1), Random(1)) for link in links}
        feed = SimpleNamespace(processes={"k1": None}, keepers=["k1"], relays=[], subscribers=[])
        vars(one).update(feed=feed, fleet=SimpleNamespace(relays=relays, names=[]))
        anyio.run(one._inject, how, "keeper")
        dropped = [(link, field) for link, relay in relays.items() for field in ("forward", "backward")
                   if getattr(relay, field).drop]  # fmt: skip
        assert dropped == [(links[0], dialled), (links[1], accepted)]


def test_hung_storm_is_wrong_and_its_folder_is_kept(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    async def hang(self: Storm, seconds: float, progress: Any) -> None:
        raise RunTimeoutError("no keeper writes in 25 s")

    monkeypatch.setattr(Storm, "_run_faults", hang)
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    found = storm(1, 1.0, ignore_progress)
    assert (found["wrong"], found["hung"]) == (["no keeper writes in 25 s"], True)
    (folder,) = tmp_path.glob("thistleline-feeds-*")
    assert (folder / "plan.json").exists()


@pytest.mark.parametrize(("clean", "blind", "missed"), [
    (GOOD, FOUND, []),
    (FOUND, FOUND, ["nothing lost, made twice, half seen or seen to go back"]),
    ({**GOOD, "hung": True}, FOUND, ["after each fault all went on, and ended alike"]),
    (GOOD, GOOD, ["the oracle finds a state that went back"]),
])  # fmt: skip
def test_missed_criterion_sets_exit_code_1(
    clean: Any, blind: Any, missed: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        feeds, "storm", lambda seed, seconds, progress, without="", only=(): blind if without else clean
    )
    result = CliRunner().invoke(entry, ["lab", "feeds", "--quick"])
    line = json.loads(result.stdout.splitlines()[-1])
    assert [name for name, held in line["bars"].items() if not held] == missed
    assert result.exit_code == (1 if missed else 0)
