"""`lab feeds`: a short storm finds nothing wrong, one without a protection does, and the bars say so."""

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


def silent(text: str) -> None:
    return None


def test_a_short_storm_loses_nothing() -> None:
    found = storm(2, 4.0, silent)
    assert found["wrong"] == []
    assert found["acknowledged"] > 0
    assert found["states_seen"] > 0
    assert sum(found["faults"].values()) > 0


def test_a_state_that_goes_back_is_found() -> None:
    found = storm(3, 1.0, silent, "newer", ("strand",))
    assert any("went back from" in one for one in found["wrong"])


@pytest.mark.parametrize("name", ALONE)
def test_each_fault_that_comes_alone_is_there(name: str) -> None:
    assert callable(getattr(Storm, f"_{name}"))


def test_who_is_mute_is_heard_by_nobody_and_who_is_deaf_hears_nobody(tmp_path: Path) -> None:
    """Both ends of a link talk, whichever dialled."""
    for how, its_own, of_others in (("mute", "forward", "backward"), ("deaf", "backward", "forward")):
        one, places = Storm(tmp_path, 1), (("k1", "k2"), ("r1", "k1"), ("r1", "k2"))
        relays = {place: Relay(("127.0.0.1", 1), Random(1)) for place in places}
        feed = SimpleNamespace(processes={"k1": None}, keepers=["k1"], relays=[], subscribers=[])
        vars(one).update(feed=feed, fleet=SimpleNamespace(relays=relays, names=[]))
        anyio.run(one._inject, how, "keeper")
        swallowed = [(place, way) for place, relay in relays.items() for way in ("forward", "backward")
                     if getattr(relay, way).drop]  # fmt: skip
        assert swallowed == [(places[0], its_own), (places[1], of_others)]


def test_what_hangs_is_wrong_and_its_folder_is_kept(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    async def hangs(self: Storm, seconds: float, tell: Any) -> None:
        raise RunTimeoutError("no keeper writes in 25 s")

    monkeypatch.setattr(Storm, "_run_faults", hangs)
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    found = storm(1, 1.0, silent)
    assert (found["wrong"], found["hung"]) == (["no keeper writes in 25 s"], True)
    (folder,) = tmp_path.glob("thistleline-feeds-*")
    assert (folder / "plan.json").exists()


@pytest.mark.parametrize(("clean", "blind", "missed"), [
    (GOOD, FOUND, []),
    (FOUND, FOUND, ["nothing lost, made twice, half seen or seen to go back"]),
    ({**GOOD, "hung": True}, FOUND, ["after each fault all went on, and ended alike"]),
    (GOOD, GOOD, ["the oracle finds a state that went back"]),
])  # fmt: skip
def test_a_bar_that_is_missed_ends_the_command_with_1(
    clean: Any, blind: Any, missed: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        feeds, "storm", lambda seed, seconds, tell, without="", only=(): blind if without else clean
    )
    told = CliRunner().invoke(entry, ["lab", "feeds", "--quick"])
    line = json.loads(told.stdout.splitlines()[-1])
    assert [bar for bar, held in line["bars"].items() if not held] == missed
    assert told.exit_code == (1 if missed else 0)
