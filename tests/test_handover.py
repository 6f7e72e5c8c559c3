"""The handover between two servers on one machine, in simulation and with real processes.

Guards against tasks with an idempotency key that run twice, and tasks that get no answer, when either server
dies at any point.
"""

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
from thistleline.handover.channel import HandoverChannel, connect
from thistleline.handover.messages import Hello, Refused
from thistleline.handover.state_machine import HandoverStateMachine
from thistleline.lab.handover import HANDOVER_SETTINGS, Load, ServerIncarnations, run_handovers
from thistleline.lab.processes.render_farm import FakeFarmAgent
from thistleline.lab.simulation.handover_world import simulate_handovers
from thistleline.lab.simulation.lease_mutants import patched
from thistleline.ledger import format as ledger_format
from thistleline.state.attempts import Attempt, Run
from thistleline.state.state_machine import ServerStateMachine

VIOLATIONS = ("run_twice", "rejected_after_run", "acknowledged_and_lost", "another_result")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def discard_progress(_: str) -> None:
    return None


def test_simulated_handovers_with_crashes_run_no_effect_twice() -> None:
    worlds = [simulate_handovers(seed) for seed in range(12)]
    assert [world.wrong for world in worlds] == 12 * [""]
    assert sum(world.figures["handed over"] for world in worlds) > 20


@pytest.mark.parametrize("deaths", [True, False])
def test_simulated_handovers_with_queues_reject_no_task_after_it_ran(deaths: bool) -> None:
    """Guards against a predecessor that refuses a queued task of which the successor runs another attempt."""
    worlds = [simulate_handovers(seed, deaths=deaths, cores=2) for seed in range(8, 14)]
    assert [world.wrong for world in worlds] == 6 * [""]
    assert sum(world.figures["handed over"] for world in worlds) > 10


def _launch_anyway(
    self: HandoverStateMachine, task: str, run: Run, original: Any = HandoverStateMachine.launch
) -> None:
    if self.handover_phase == "handed":
        ServerStateMachine.launch(self, task, run)
    else:
        original(self, task, run)


def _reject(self: HandoverStateMachine, task: str, attempt: Attempt) -> None:
    self.decisions.reject(task, False, 0)


def _hand_over_at_once(self: HandoverStateMachine) -> None:
    self._hand_over(tuple(run.id for run in self.runs.values() if run.sent))


def _admit_anyway(self: HandoverStateMachine, *args: Any) -> str:
    return ServedValueTracker._admit(self, *args)


def _accept_hosted(self: HandoverStateMachine, event: Any) -> None:
    ServedValueTracker._on_task(self, event)


@pytest.mark.parametrize(("patches", "violation"), [
    ((("launch", _launch_anyway), ("_admit", _admit_anyway), ("_on_task", _accept_hosted)), "runs twice"),
    ((("_forward", _reject),), "rejected after it ran"),
    ((("_try_to_hand_over", _hand_over_at_once),), "event that cannot be handled"),
])  # fmt: skip
def test_simulation_detects_a_disabled_protection(patches: Any, violation: str) -> None:
    with patched(tuple((HandoverStateMachine, name, replacement) for name, replacement in patches)):
        assert any(violation in simulate_handovers(seed).wrong for seed in range(30))


def test_simulation_detects_a_ledger_read_before_the_handover() -> None:
    assert any("runs twice" in simulate_handovers(seed, stale=True).wrong for seed in range(30))


def test_handovers_under_load_lose_reject_and_abandon_no_task(tmp_path: Path) -> None:
    figures = anyio.run(run_handovers, tmp_path, 1, 2, False, False, discard_progress)
    assert figures["handed_over"] == 2
    assert [figures.get(name, 0) for name in (*VIOLATIONS, "unanswered", "lookups_unanswered")] == 6 * [0]
    assert [
        figures.get(name, 0) for name in ("lost_tries", "abandoned", "rejected", "faults_logged")
    ] == 4 * [0]


def test_crashes_of_either_server_repeat_no_effect_and_leave_no_task_unanswered(tmp_path: Path) -> None:
    figures = anyio.run(run_handovers, tmp_path, 5, 6, True, False, discard_progress)
    assert [figures.get(name, 0) for name in (*VIOLATIONS, "unanswered", "lookups_unanswered")] == 6 * [0]
    assert figures["bookings_run"] > 100


def test_lab_detects_a_predecessor_that_still_starts_effects(tmp_path: Path) -> None:
    assert anyio.run(run_handovers, tmp_path, 3, 3, False, True, discard_progress)["run_twice"] > 0


@asynccontextmanager
async def server_under_load(folder: Path) -> AsyncIterator[tuple[ServerIncarnations, Load]]:
    """Run a server under load; at the end, check that no effect was lost or repeated."""
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
            assert [figures.get(name, 0) for name in (*VIOLATIONS, "unanswered")] == 5 * [0]
        finally:
            servers.close()
            group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_settings_change_by_handover_and_invalid_settings_leave_the_old_server_running(
    tmp_path: Path,
) -> None:
    async with server_under_load(tmp_path) as (servers, load):
        invalid = servers.start({}, {**HANDOVER_SETTINGS, "classes": 3})
        assert await servers.wait_for_exit(invalid, 10)
        assert servers.owner == 1
        # The new settings have one stage less and another latency objective. Each task is handled entirely
        # under the settings under which it arrived.
        changed = {**HANDOVER_SETTINGS, "classes": [{**HANDOVER_SETTINGS["classes"][0], "promise": 1.5}]}
        assert await servers.wait_until_serving(servers.start({}, changed), 10)
        assert await servers.wait_for_exit(1, 4)
        (started,) = [event for event in servers.events(3) if event["event"] == "started"]
        assert list(started["stages"]) == ["booking"]
        assert not [outcome for outcome in load.bookings.outcomes if outcome.kind == "lost"]


@pytest.mark.anyio
async def test_a_repeatedly_suspended_successor_does_not_stall_tasks(tmp_path: Path) -> None:
    async with server_under_load(tmp_path) as (servers, load):
        successor = servers.start({})
        with anyio.fail_after(10):
            while servers.owner == 1:
                servers.signal(successor, signal.SIGSTOP)
                await anyio.sleep(0.05)
                servers.signal(successor, signal.SIGCONT)
                await anyio.sleep(0.05)
        finished_before = len([outcome for outcome in load.bookings.outcomes if outcome.kind == "finished"])
        await anyio.sleep(0.5)
        assert (
            len([outcome for outcome in load.bookings.outcomes if outcome.kind == "finished"])
            > finished_before
        )


@pytest.mark.anyio
async def test_a_second_or_incompatible_successor_is_refused(tmp_path: Path) -> None:
    async with server_under_load(tmp_path) as (servers, _), anyio.create_task_group() as group:
        for hello in (
            Hello(ledger_versions=(ledger_format.FORMAT_VERSION + 1,)),
            Hello(min_version=9, max_version=9, ledger_versions=ledger_format.READABLE_VERSIONS),
        ):
            sock = connect(tmp_path / "handover" / "heir.sock")
            assert sock is not None
            channel = HandoverChannel(sock, group)
            channel.send(hello)
            assert isinstance(await channel.receive(), Refused)
            channel.close()
        accepted_sock = connect(tmp_path / "handover" / "heir.sock")
        assert accepted_sock is not None
        channel = HandoverChannel(accepted_sock, group)
        channel.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        await channel.receive()
        late_sock = connect(tmp_path / "handover" / "heir.sock")
        assert late_sock is not None
        # `Hello` is sent only after the server has had time to answer a connection that has not sent `Hello`.
        with anyio.move_on_after(0.5):
            await anyio.wait_readable(late_sock)
        late_channel = HandoverChannel(late_sock, group)
        late_channel.send(Hello(ledger_versions=ledger_format.READABLE_VERSIONS))
        assert isinstance(await late_channel.receive(), Refused)
        late_channel.close()
        second = servers.start({})
        assert await servers.wait_for_exit(second, 10)
        assert servers.processes[second].returncode == 2
        assert b"another successor is already connected" in (tmp_path / "2.log").read_bytes()
        # An invalid message ends only the channel on which it is received.
        channel.sock.send(b"\0\0\0\x02\xff\xff")
        assert await channel.receive() is None
        assert await servers.wait_until_serving(servers.start({}), 10)


def test_handover_without_a_ledger_is_a_configuration_error(tmp_path: Path) -> None:
    config: dict[str, Any] = {"name": "n", "listen": "127.0.0.1:9", "agent": "127.0.0.1:9", "seed": "1",
             "announce": "127.0.0.1:9", "stop_ms": 100, "settings": HANDOVER_SETTINGS,
             "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}}  # fmt: skip
    (tmp_path / "plate.json").write_text(json.dumps(config))
    (tmp_path / "conf").write_text(f"handover folder {tmp_path}\n")
    env = {
        **os.environ,
        "ROUTER_CONFIG": str(tmp_path / "plate.json"),
        "THISTLELINE_CONF": str(tmp_path / "conf"),
    }
    result = subprocess.run(
        [sys.executable, "-m", "thistleline"], env=env, capture_output=True, text=True, timeout=20
    )
    assert result.returncode == 2
    assert "requires the part 'ledger'" in result.stderr
