"""Leases between processes under faults, the holder's state machine, and the fencing guard of a resource."""

import errno
import json
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.lab.leases import LeaseStorm, ResourceWrite, judge
from thistleline.lab.processes.harness import Fleet
from thistleline.lease.client import LeaseClient
from thistleline.lease.errors import LeaseLostError, LeaseTimeoutError
from thistleline.lease.fencing import FencingGuard
from thistleline.lease.holder import LeaseHolder
from thistleline.lease.holder_effects import LeaseEnded, SendRequest
from thistleline.lease.holder_events import (
    AcquireStarted,
    AnswerReceived,
    GrantHinted,
    HolderEvent,
    ReleaseRequested,
)
from thistleline.lease.protocol import (
    Acquire,
    Denied,
    Describe,
    Done,
    Granted,
    Renewed,
    Unavailable,
    holder_ttl,
)
from thistleline.lease.session import HeldLease, lease
from thistleline.lease.wire import encode
from thistleline.reducer.events import DeadlineReached
from thistleline.store.clock import boot_now
from thistleline.transport.codec import Hello, encode_frame

SECOND = 1_000_000_000


def with_fleet(
    folder: Path,
    replicas: int,
    scenario: Callable[[Fleet, LeaseClient], Awaitable[None]],
    formed: bool = True,
) -> None:
    """Run a scenario against replica processes; it fails after a minute."""

    async def run() -> None:
        with anyio.fail_after(60):
            async with anyio.create_task_group() as group:
                fleet = Fleet(folder, group, 1, replicas)
                try:
                    await fleet.start_replicas()
                    if formed:
                        await fleet.form()
                    await scenario(fleet, LeaseClient(await fleet.open_relays("x"), group, fleet.rng))
                finally:
                    fleet.close()
                    group.cancel_scope.cancel()

    anyio.run(run)


def run_command(fleet: Fleet, *words: str) -> subprocess.CompletedProcess[str]:
    replica_options = [
        word for name in fleet.names for word in ("--voter", f"{name}=127.0.0.1:{fleet.ports[name]}")
    ]
    subcommand_words = 2 if words[0] in ("council", "lease") else 1
    arguments = [
        sys.executable,
        "-m",
        "thistleline",
        *words[:subcommand_words],
        *replica_options,
        *words[subcommand_words:],
    ]
    return subprocess.run(
        arguments, capture_output=True, text=True, timeout=30, env={**os.environ, "PYTHONPATH": "."}
    )


async def wait_until_listening(fleet: Fleet) -> None:
    """Wait until each replica listens, which takes a moment after its process has started."""
    for name in fleet.names:
        while True:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[name])
            except OSError:
                await anyio.sleep(0.02)
            else:
                await stream.aclose()
                break


# ---- command line


def test_cli_forms_a_cluster_runs_a_command_under_a_lease_and_replaces_a_replica(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, _: LeaseClient) -> None:
        async def run(*words: str) -> subprocess.CompletedProcess[str]:
            return await anyio.to_thread.run_sync(partial(run_command, fleet, *words))

        await wait_until_listening(fleet)
        assert (await run("council", "status")).returncode == 1  # there is no leader yet
        assert "council" in (await run("council", "form")).stdout
        await fleet.leader()
        assert "already belongs to a consensus cluster" in (await run("council", "form")).stderr
        taken = await run("lease", "take", "job", "--", "sh", "-c", "echo $LEASE_EPOCH; exit 7")
        assert (taken.stdout, taken.returncode) == ("1\n", 7)
        held = await fleet.request(Acquire("job", "somebody", 30 * SECOND))
        assert held == Granted(2, 30 * SECOND)
        refused = await run("lease", "take", "job", "--no-wait", "--", "true")
        assert (refused.returncode, "somebody holds it" in refused.stderr) == (69, True)
        shown = json.loads((await run("lease", "show", "job", "--json")).stdout)
        assert (shown["holder"], shown["epoch"]) == ("somebody", 2)
        assert (
            "not held in that epoch"
            in (await run("lease", "break", "job", "--epoch", "1", "--reason", "x")).stderr
        )
        assert (
            await run("lease", "break", "job", "--epoch", "2", "--reason", "host failure")
        ).stdout == "broken\n"
        assert "host failure" in (await run("lease", "show", "job")).stdout
        leader = await fleet.leader()
        replaced = next(name for name in fleet.names if name != leader)
        before = {
            member["id"]
            for member in map(json.loads, (await run("council", "members", "--json")).stdout.splitlines())
        }
        await fleet.replace_replica(replaced)
        lines = (await run("council", "members", "--json")).stdout.splitlines()
        after = {member["id"] for member in map(json.loads, lines)}
        assert len(before & after) == 2
        assert {id.partition(".")[0] for id in after} == {"a", "b", "c"}

    with_fleet(tmp_path, 3, scenario, formed=False)


def test_command_under_a_lease_is_killed_before_the_lease_expires(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, _: LeaseClient) -> None:
        words = [sys.executable, "-m", "thistleline", "lease", "take", "--length", "1.5"]
        words += [
            word for name in fleet.names for word in ("--voter", f"{name}=127.0.0.1:{fleet.ports[name]}")
        ]
        script = f"trap '' TERM; while :; do date +%s%N >> {tmp_path}/beats; sleep 0.02; done"
        process = await anyio.open_process(
            [*words, "job", "--", "sh", "-c", script], stdout=None, stderr=None
        )
        while not (tmp_path / "beats").exists():
            await anyio.sleep(0.02)
        for name in fleet.names:
            fleet.processes[name].pause()
        paused_at = time.time_ns()
        with anyio.fail_after(10):
            assert await process.wait() == 75
        last_beat = int((tmp_path / "beats").read_text().split()[-1])
        assert last_beat - paused_at < holder_ttl(int(1.5 * SECOND)) + 50_000_000

    with_fleet(tmp_path, 3, scenario)


def test_new_replica_catches_up_with_a_leader_missing_from_its_first_snapshot(tmp_path: Path) -> None:
    """Guards against a new replica that links only to the members in an old snapshot: it never catches up."""

    async def scenario(fleet: Fleet, _: LeaseClient) -> None:
        await fleet.replace_replica("b")
        while (leader := await fleet.leader()) != "b":
            fleet.processes[leader].pause()
            while await fleet.leader() == leader:
                await anyio.sleep(0.05)
            fleet.processes[leader].resume()
        await fleet.replace_replica("a")
        status = await fleet.status("b")
        names = [id.partition(".")[0] for id, _ in status.members]
        assert sorted(names) == ["a", "b", "c"]

    with_fleet(tmp_path, 3, scenario)


def test_replica_with_unreadable_records_exits_with_an_error(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, _: LeaseClient) -> None:
        name = fleet.names[0]
        fleet.processes[name].kill()
        path = sorted((tmp_path / name).glob("*.council"))[-1]
        data = bytearray(path.read_bytes())
        data[10 : len(data) // 2] = bytes(len(data) // 2 - 10)
        path.write_bytes(data)
        fleet.processes[name].start()
        process = fleet.processes[name].process
        assert process is not None
        assert await anyio.to_thread.run_sync(process.wait) == 2
        assert "start the replica with an empty folder" in (tmp_path / f"{name}.log").read_text()

    with_fleet(tmp_path, 3, scenario)


# ---- holders and the network


def test_partitioned_holder_stops_before_another_is_granted_the_lease(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, client: LeaseClient) -> None:
        ended_at: list[int] = []

        async def hold_lease() -> None:
            async with lease(client, "n", 1.0):
                for (source, _), relay in fleet.relays.items():
                    if source == "x":
                        relay.disconnect()
                try:
                    await anyio.sleep(10)
                finally:
                    ended_at.append(time.monotonic_ns())

        with pytest.raises(LeaseLostError):
            await hold_lease()
        fleet.heal()
        answer = await fleet.request(Acquire("n", "y", SECOND, True))
        while not isinstance(answer, Granted):
            await anyio.sleep(0.02)
            answer = await fleet.request(Acquire("n", "y", SECOND, True))
        assert answer.epoch == 2
        assert ended_at[0] < time.monotonic_ns()

    with_fleet(tmp_path, 3, scenario)


def test_lease_survives_a_restart_of_all_replicas(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, client: LeaseClient) -> None:
        async with lease(client, "n", 10.0) as held:
            for name in fleet.names:
                fleet.processes[name].kill()
            for name in fleet.names:
                fleet.processes[name].start()
            await fleet.leader()
            old_valid_until = held.holder.valid_until
            while held.holder.valid_until == old_valid_until:
                await anyio.sleep(0.02)
            assert (await fleet.request(Describe("n")) or held).epoch == held.epoch  # type: ignore[union-attr]
        next_grant = await fleet.request(Acquire("n", "y", SECOND))
        assert next_grant == Granted(held.epoch + 1, SECOND)

    with_fleet(tmp_path, 3, scenario)


def test_300_waiters_each_get_the_lease_once_after_a_holder_dies(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, _: LeaseClient) -> None:
        epochs: list[int] = []
        await fleet.request(Acquire("n", "dead", SECOND // 2))
        clients: list[LeaseClient] = []

        async def hold_once(index: int) -> None:
            async with lease(clients[index % 10], "n", 5.0) as held:
                epochs.append(held.epoch)

        async with anyio.create_task_group() as group:
            clients += [
                LeaseClient({name: fleet.address(name) for name in fleet.names}, group) for _ in range(10)
            ]
            async with anyio.create_task_group() as waiters:
                for index in range(300):
                    waiters.start_soon(hold_once, index)
            group.cancel_scope.cancel()
        assert len(set(epochs)) == 300
        assert epochs == sorted(epochs)

    with_fleet(tmp_path, 3, scenario)


def test_replica_answers_compatible_hellos_and_survives_others(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, _: LeaseClient) -> None:
        for first_message, answered in (
            (encode(Hello("client", "", min_version=1, max_version=9)), True),
            (encode(Hello("client", "", min_version=2, max_version=9)), False),
            (b"GET / HTTP/1.1\r\n\r\n", False),
            (encode(Hello("voter", "z.0", "another cluster")), True),
        ):
            async with await anyio.connect_tcp(*fleet.address("a")) as stream:
                await stream.send(encode_frame(first_message))
                try:
                    with anyio.fail_after(5):
                        assert bool(await stream.receive()) is answered
                except anyio.EndOfStream:
                    assert not answered
        assert await fleet.leader()
        assert isinstance(await fleet.request(Acquire("n", "y", SECOND)), Granted)

    with_fleet(tmp_path, 3, scenario)


@pytest.mark.parametrize(("fenced", "pauses"), [(True, True), (False, False)])
def test_no_two_holders_act_at_once_under_faults(tmp_path: Path, fenced: bool, pauses: bool) -> None:
    storm = LeaseStorm(tmp_path, 3, 3, 4, fenced, pauses)
    figures = anyio.run(storm.run, 60, 8.0, lambda _: None)
    assert figures["overlaps"] == 0
    assert figures["crashes"] == 0
    assert figures["holders"] > 5


@pytest.mark.parametrize(("writes", "fenced", "overlaps"), [
    ([ResourceWrite(1, "x", 1, 1, "begin", True), ResourceWrite(2, "y", 2, 2, "begin", True)], False, 1),
    ([ResourceWrite(1, "x", 1, 1, "begin", True), ResourceWrite(2, "x", 1, 1, "end", True),
      ResourceWrite(3, "y", 2, 2, "begin", True)], False, 0),
    ([ResourceWrite(1, "y", 2, 2, "begin", True), ResourceWrite(2, "x", 1, 1, "step", True)], True, 1),
    ([ResourceWrite(1, "y", 2, 2, "begin", True), ResourceWrite(2, "x", 1, 1, "step", False)], True, 0),
])  # fmt: skip
def test_lab_oracle_counts_overlapping_holders(
    writes: list[ResourceWrite], fenced: bool, overlaps: int
) -> None:
    assert judge(writes, fenced)["overlaps"] == overlaps


# ---- the holder's state machine


def acquiring_holder(ttl: int = 10 * SECOND) -> LeaseHolder:
    holder = LeaseHolder("n", "x", ttl, True, 0, lambda duration: 0)
    holder.handle(0, AcquireStarted())
    return holder


def test_validity_counts_from_before_the_request_and_a_late_grant_is_ignored() -> None:
    late = acquiring_holder()
    assert late.handle(7 * SECOND, AnswerReceived(1, Granted(1, 10 * SECOND))) == []
    assert not late.is_valid(7 * SECOND)
    holder = acquiring_holder()
    holder.handle(2 * SECOND, AnswerReceived(1, Granted(1, 10 * SECOND)))
    assert holder.valid_until == 6 * SECOND
    assert holder.fits(5 * SECOND, SECOND)
    assert not holder.fits(5 * SECOND + 1, SECOND)


@pytest.mark.parametrize("answer", [Granted(1, 10 * SECOND), Renewed((Granted(1, 10 * SECOND),))])
def test_answer_after_the_expiry_does_not_renew_the_lease(answer: Any) -> None:
    holder = acquiring_holder()
    holder.handle(0, AnswerReceived(1, Granted(1, 10 * SECOND)))
    holder.handle(3 * SECOND, DeadlineReached())
    assert holder.handle(6 * SECOND, AnswerReceived(2, answer)) == [LeaseEnded("the lease expired")]
    assert not holder.is_valid(6 * SECOND)


def test_released_lease_is_invalid_whatever_the_cluster_answers() -> None:
    holder = acquiring_holder()
    holder.handle(0, AnswerReceived(1, Granted(1, 10 * SECOND)))
    holder.handle(1, ReleaseRequested())
    assert not holder.is_valid(2)
    holder.handle(2, AnswerReceived(1, Granted(1, 10 * SECOND)))
    assert not holder.is_valid(3)
    assert isinstance(holder.handle(4, AnswerReceived(holder.last_request, Done("released")))[0], LeaseEnded)


@given(st.lists(st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 6)), max_size=40))
@settings(derandomize=True, database=None)
def test_random_events_never_extend_validity_beyond_the_last_request(steps: list[tuple[int, int]]) -> None:
    holder, now, sent_at = acquiring_holder(), 0, {1: 0}
    for duration, choice in steps:
        now += duration
        event: HolderEvent = DeadlineReached()
        if choice < 4 and sent_at:
            number = sorted(sent_at)[-1 - choice % len(sent_at)]
            answers = (
                Granted(1, 10 * SECOND),
                Denied("no"),
                Unavailable("", ""),
                Renewed((Granted(1, 10 * SECOND),)),
            )
            event = AnswerReceived(number, answers[choice])
        elif choice == 4:
            event = GrantHinted()
        for effect in holder.handle(now, event):
            if isinstance(effect, SendRequest):
                sent_at[effect.number] = now
        if holder.phase == "held":
            assert holder.valid_until <= max(sent_at.values()) + holder_ttl(10 * SECOND)
        assert not (holder.is_valid(now) and holder.phase == "ended")


def test_operation_longer_than_the_remaining_validity_does_not_begin() -> None:
    async def scenario() -> None:
        holder = LeaseHolder("n", "x", 10 * SECOND, True, boot_now(), lambda duration: 0)
        holder.handle(boot_now(), AcquireStarted())
        holder.handle(boot_now(), AnswerReceived(1, Granted(1, SECOND)))
        with pytest.raises(LeaseTimeoutError):
            async with HeldLease(holder).act(0.7):
                pytest.fail("the operation began")

    anyio.run(scenario)


# ---- fencing at the resource


def test_guard_rejects_older_epochs_also_after_a_restart(tmp_path: Path) -> None:
    guard = FencingGuard(tmp_path)
    assert [guard.admit("n", epoch) for epoch in (3, 3, 5, 4, 5)] == [True, True, True, False, True]
    guard.close()
    guard = FencingGuard(tmp_path)
    assert [guard.admit("n", 4), guard.admit("n", 5), guard.admit("m", 1)] == [False, True, True]
    guard.close()


@pytest.mark.parametrize("offset", range(0, 40, 3))
def test_guard_rejects_older_epochs_after_a_bit_flip_on_disk(tmp_path: Path, offset: int) -> None:
    guard = FencingGuard(tmp_path)
    guard.admit("n", 7)
    guard.close()
    (path,) = tmp_path.glob("*.guard")
    data = bytearray(path.read_bytes())
    data[offset % len(data)] ^= 4
    path.write_bytes(data)
    guard = FencingGuard(tmp_path)
    assert not guard.admit("n", 6)
    guard.close()


def test_guard_does_not_admit_a_newer_epoch_before_it_is_durable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    guard = FencingGuard(tmp_path)
    guard.admit("n", 1)

    def fail() -> None:
        raise OSError(errno.EIO, "disk failure")

    monkeypatch.setattr(guard.disk, "sync", fail)
    with pytest.raises(OSError, match="disk failure"):
        guard.admit("n", 2)
    assert guard.admit("n", 1)
    monkeypatch.undo()
    assert guard.admit("n", 2)
    assert not guard.admit("n", 1)
    guard.close()
