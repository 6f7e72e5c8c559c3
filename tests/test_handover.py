"""One server follows another on one machine: who may start an effect, who answers, whatever dies when."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest

from thistleline.durable.served_value import ServedValueTracker
from thistleline.handover.channel import HandoverChannel, reach
from thistleline.handover.messages import Hello, Refused
from thistleline.handover.state_machine import HandoverStateMachine
from thistleline.lab.handover import HANDOVER_SETTINGS, Load, ServerIncarnations, run_handovers
from thistleline.lab.processes.render_farm import FakeFarmAgent
from thistleline.lab.simulation.handover_world import play
from thistleline.lab.simulation.lease_mutants import without
from thistleline.ledger import format as ledger_format
from thistleline.state.attempts import Attempt, Run
from thistleline.state.state_machine import ServerStateMachine

BROKEN = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def quiet(_: str) -> None:
    return None


def test_in_virtual_time_nothing_runs_twice_whoever_dies_when() -> None:
    worlds = [play(seed) for seed in range(12)]
    assert [world.wrong for world in worlds] == 12 * [""]
    assert sum(world.figures["handed over"] for world in worlds) > 20


def _goes_on(self: HandoverStateMachine, task: str, run: Run, had: Any = HandoverStateMachine.launch) -> None:
    if self.handover_stage == "handed":
        ServerStateMachine.launch(self, task, run)
    else:
        had(self, task, run)


def _refuses(self: HandoverStateMachine, task: str, attempt: Attempt) -> None:
    self.decisions.reject(task, False, 0)


def _does_not_wait(self: HandoverStateMachine) -> None:
    self._hand_over(tuple(run.id for run in self.runs.values() if run.sent))


def _takes_its_own(self: HandoverStateMachine, *told: Any) -> str:
    return ServedValueTracker._admit(self, *told)


def _takes_what_is_hosted(self: HandoverStateMachine, event: Any) -> None:
    ServedValueTracker._on_task(self, event)


@pytest.mark.parametrize(("patches", "wanted"), [
    ((("launch", _goes_on), ("_admit", _takes_its_own), ("_on_task", _takes_what_is_hosted)), "runs twice"),
    ((("_forward", _refuses),), "rejected after it ran"),
    ((("_try_to_hand_over", _does_not_wait),), "no input that can be taken"),
])  # fmt: skip
def test_a_protection_of_the_handover_left_out_is_found(patches: Any, wanted: str) -> None:
    with without(tuple((HandoverStateMachine, name, put) for name, put in patches)):
        assert any(wanted in play(seed).wrong for seed in range(30))


def test_an_heir_that_reads_the_ledger_too_early_is_found() -> None:
    assert any("runs twice" in play(seed, stale=True).wrong for seed in range(30))


def test_a_change_under_load_loses_rejects_and_abandons_nothing(tmp_path: Path) -> None:
    figures = anyio.run(run_handovers, tmp_path, 1, 2, False, False, quiet)
    assert figures["handed_over"] == 2
    assert [figures.get(what, 0) for what in (*BROKEN, "unanswered", "lookups_unanswered")] == 6 * [0]
    assert [
        figures.get(what, 0) for what in ("lost_tries", "abandoned", "rejected", "faults_logged")
    ] == 4 * [0]


def test_whichever_side_dies_nothing_runs_twice_and_all_is_answered(tmp_path: Path) -> None:
    figures = anyio.run(run_handovers, tmp_path, 5, 6, True, False, quiet)
    assert [figures.get(what, 0) for what in (*BROKEN, "unanswered", "lookups_unanswered")] == 6 * [0]
    assert figures["bookings_run"] > 100


def test_a_server_that_keeps_its_right_is_found(tmp_path: Path) -> None:
    assert anyio.run(run_handovers, tmp_path, 3, 3, False, True, quiet)["run_twice"] > 0


@asynccontextmanager
async def one_server(folder: Path) -> AsyncIterator[tuple[ServerIncarnations, Load]]:
    """A server that serves under load."""
    farm = FakeFarmAgent(1, (0.005, 0.1))
    async with anyio.create_task_group() as group:
        await farm.serve(group)
        servers = ServerIncarnations(folder, farm.port)
        load = Load(farm, lambda: ("127.0.0.1", servers.port), 1)
        try:
            assert await servers.wait_until_serving(servers.start({}), 20)
            group.start_soon(load.generate, 60.0, group)
            yield servers, load
            await load.end()
            figures = load.judge()
            assert [figures.get(what, 0) for what in (*BROKEN, "unanswered")] == 5 * [0]
        finally:
            servers.close()
            group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_settings_change_beside_and_what_makes_no_sense_leaves_the_one_that_serves(
    tmp_path: Path,
) -> None:
    async with one_server(tmp_path) as (servers, load):
        bad = servers.start({}, {**HANDOVER_SETTINGS, "classes": 3})
        assert await servers.wait_for_exit(bad, 10)
        assert servers.owner == 1
        # A stage less, and another due span: each task is judged whole by the version it came in under.
        other = {**HANDOVER_SETTINGS, "classes": [{**HANDOVER_SETTINGS["classes"][0], "promise": 1.5}]}
        assert await servers.wait_until_serving(servers.start({}, other), 10)
        assert await servers.wait_for_exit(1, 4)
        (started,) = [one for one in servers.events(3) if one["event"] == "started"]
        assert list(started["stages"]) == ["booking"]
        assert not [one for one in load.bookings.outcomes if one.kind == "lost"]


@pytest.mark.anyio
async def test_one_that_stands_still_before_it_has_it_stalls_nobody(tmp_path: Path) -> None:
    async with one_server(tmp_path) as (servers, load):
        heir = servers.start({})
        with anyio.fail_after(10):
            while servers.owner == 1:
                servers.signal(heir, signal.SIGSTOP)
                await anyio.sleep(0.05)
                servers.signal(heir, signal.SIGCONT)
                await anyio.sleep(0.05)
        before = len([one for one in load.bookings.outcomes if one.kind == "finished"])
        await anyio.sleep(0.5)
        assert len([one for one in load.bookings.outcomes if one.kind == "finished"]) > before


@pytest.mark.anyio
async def test_a_follower_that_cant_read_the_ledger_or_comes_second_is_refused(tmp_path: Path) -> None:
    async with one_server(tmp_path) as (servers, _), anyio.create_task_group() as group:
        for hello in (
            Hello(ledger_versions=(ledger_format.FORMAT_VERSION + 1,)),
            Hello(min_version=9, max_version=9, ledger_versions=ledger_format.READABLE_VERSIONS),
        ):
            sock = reach(tmp_path / "handover" / "heir.sock")
            assert sock is not None
            line = HandoverChannel(sock, group)
            line.send(hello)
            assert isinstance(await line.receive(), Refused)
            line.close()
        first = reach(tmp_path / "handover" / "heir.sock")
        assert first is not None
        line = HandoverChannel(first, group)
        line.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        await line.receive()
        slow = reach(tmp_path / "handover" / "heir.sock")
        assert slow is not None
        # Greets only once the server has had time to answer a connection that has not greeted.
        with anyio.move_on_after(0.5):
            await anyio.wait_readable(slow)
        late = HandoverChannel(slow, group)
        late.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        assert isinstance(await late.receive(), Refused)
        late.close()
        second = servers.start({})
        assert await servers.wait_for_exit(second, 10)
        assert servers.processes[second].returncode == 2
        assert b"another one follows already" in (tmp_path / "2.log").read_bytes()
        # A stranger that says what makes no sense ends its own line and nothing else.
        line.sock.send(b"\0\0\0\x02\xff\xff")
        assert await line.receive() is None
        assert await servers.wait_until_serving(servers.start({}), 10)


def test_a_server_told_of_a_handover_without_a_ledger_says_so(tmp_path: Path) -> None:
    plate: dict[str, Any] = {"name": "n", "listen": "127.0.0.1:9", "agent": "127.0.0.1:9", "seed": "1",
             "announce": "127.0.0.1:9", "stop_ms": 100, "settings": HANDOVER_SETTINGS,
             "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}}  # fmt: skip
    (tmp_path / "plate.json").write_text(json.dumps(plate))
    (tmp_path / "conf").write_text(f"handover folder {tmp_path}\n")
    env = {
        **os.environ,
        "ROUTER_CONFIG": str(tmp_path / "plate.json"),
        "THISTLELINE_CONF": str(tmp_path / "conf"),
    }
    told = subprocess.run(
        [sys.executable, "-m", "thistleline"], env=env, capture_output=True, text=True, timeout=20
    )
    assert told.returncode == 2
    assert "wants the part 'ledger'" in told.stderr
