"""Tests of the feed across processes: keepers, relays and subscribers, with injected faults."""

import errno
import gc
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest

from thistleline.config.loader import ConfigError, parse_config
from thistleline.config.schema import FeedConfig
from thistleline.config_feed import downstream, heap_freezer, peer_log, send_queue
from thistleline.config_feed.archive_writer import ArchiveWriter
from thistleline.config_feed.effects import PersistStep, PersistTable
from thistleline.config_feed.history import Items
from thistleline.config_feed.inbox import EventInbox
from thistleline.config_feed.limits import MESSAGE_SIZE_LIMIT, MS, RING_SLOTS, SECOND
from thistleline.config_feed.messages import (
    Acknowledge,
    Delta,
    FetchPart,
    FetchTenants,
    Follow,
    FollowRejected,
    Propose,
    ReadRequest,
    decode_source,
    encode,
)
from thistleline.config_feed.operations import export_table, propose, read
from thistleline.config_feed.send_queue import MAX_QUEUED, FrameEncoder, SendQueue
from thistleline.config_feed.service import FeedService
from thistleline.config_feed.status import MAX_READ_KEYS
from thistleline.config_feed.table import FeedTable
from thistleline.lab.processes.feed_fleet import FeedFleet
from thistleline.lab.processes.harness import Process, RunTimeoutError, free_port
from thistleline.lab.processes.network_relay import LinkFault
from thistleline.transport.codec import FrameDecoder, Hello, encode_frame
from thistleline.transport.disconnects import DISCONNECT_ERRORS

Scenario = Callable[[FeedFleet], Awaitable[None]]


def run_with_fleet(
    folder: Path, scenario: Scenario, keepers: int = 3, subscribers: int = 2, without: str = ""
) -> list[str]:
    """Run a scenario on a fleet of processes and return the violations that the oracle finds.

    The scenario fails after a minute.
    """

    async def run() -> list[str]:
        with anyio.fail_after(60):
            async with anyio.create_task_group() as group:
                feed = FeedFleet(folder, group, 1, keepers, without)
                try:
                    await feed.start(subscribers)
                    await scenario(feed)
                    await feed.settle()
                    violations = await feed.judge()
                finally:
                    feed.close()
                    group.cancel_scope.cancel()
        return violations

    return anyio.run(run)


def run_feed_command(feed: FeedFleet, *words: str) -> subprocess.CompletedProcess[str]:
    addresses = [
        word for name in feed.keepers for word in ("--at", f"{name}=127.0.0.1:{feed.fleet.ports[name]}")
    ]
    arguments = [sys.executable, "-m", "thistleline", "feed", words[0], *addresses, *words[1:]]
    return subprocess.run(
        arguments, capture_output=True, text=True, timeout=30, env={**os.environ, "PYTHONPATH": "."}
    )


# ---- commands and settings


def test_commands_put_get_follow_export_and_import(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        async def run(*words: str) -> subprocess.CompletedProcess[str]:
            return await anyio.to_thread.run_sync(partial(run_feed_command, feed, *words))

        pair = 'common/left-0={"n": 1}', 'common/right-0={"n":1}'
        created = await run("put", *pair, "--expect", "common/left-0=0", "--request", "1")
        assert (created.stdout, created.returncode) == ("change 1\n", 0)
        again = await run("put", 'common/left-0={"n":2}', "--expect", "common/left-0=0")
        assert (again.returncode, "has version 1, 0 was expected" in again.stderr) == (1, True)
        faulty = await run("put", 'route/x={"limit_ms": -1, "speed": 3}', "nowhere/x={}")
        assert faulty.returncode == 1
        for word in ("'speed'", "limit_ms", "effect is missing", "nowhere/x"):
            assert word in faulty.stderr, word
        result = await run("put", "common/x", "common/y={", "--expect", "z")
        assert (result.returncode, len(result.stderr.splitlines())) == (2, 3)
        assert (await run("put", 'common/gone={"n":1}', "--request", "once")).stdout == "change 2\n"
        assert (await run("put", 'common/gone={"n":1}', "--request", "once")).stdout == "change 2\n"
        result = await run("put", "--delete", "common/gone", 'tenant/a={"share":0.5}', "--request", "3")
        assert result.stdout == "change 3\n"
        got = await run("get", "common/left-0", "common/gone", "--json")
        lines = [json.loads(line) for line in got.stdout.splitlines()]
        assert [(one["value"], one["version"]) for one in lines] == [({"n": 1}, 1), (None, 0)]
        assert got.returncode == 1
        invalid_key = "common/\udcff"  # bytes that are not valid UTF-8
        words = ["--delete", invalid_key, "--expect", f"{invalid_key}=1", "--request", invalid_key]
        result = await run("put", *words)
        assert (result.returncode, result.stderr.count("is not valid UTF-8"), "Trace" in result.stderr) == (
            2,
            3,
            False,
        )
        result = await run("get", invalid_key)
        assert (result.returncode, result.stderr) == (2, "Error: 'common/\\udcff' is not valid UTF-8\n")
        got = await run("get", "made/2", "--json")
        assert json.loads(got.stdout)["value"] == "once"
        status = await run("status", "--json")
        assert [json.loads(line)["holds"] for line in status.stdout.splitlines()].count(True) == 1
        followed = await run("follow", "--until", "3", "--json")
        last = json.loads(followed.stdout.splitlines()[-1])
        assert (last["number"], followed.returncode) == (3, 0)
        exported = await run("export")
        assert [json.loads(line)["key"] for line in exported.stdout.splitlines()].count("tenant/a") == 1
        (feed.folder / "all").write_text(exported.stdout)
        put = await run("put", "--file", str(feed.folder / "all"), "--in-parts", "--request", "4")
        assert (put.stdout, put.returncode) == ("change 4\n", 0)
        for name in [*feed.keepers, *feed.relays, *feed.subscribers]:
            await feed.wait_for_sequence(name, 4)
        for name in [*feed.subscribers, "r2", "r1", *feed.keepers]:
            process = feed.processes[name].process
            assert process is not None
            process.send_signal(signal.SIGTERM)
            assert await anyio.to_thread.run_sync(process.wait) == 0
            assert feed.processes[name].events()[-1]["event"] == "left"
        assert (await run("status")).returncode == 1
        for name in [*feed.keepers, *feed.relays, *feed.subscribers]:
            feed.processes[name].start()
        for name in feed.keepers:
            await feed.wait_for_sequence(name, 4)
        # The commands' changes were made without the oracle, so they are added to it here.
        await feed.writer()
        items = (("common/left-0", b'{"n":1}'), ("common/right-0", b'{"n":1}'))
        feed.oracle.committed = {1: ("1", items), 2: ("once", (("common/gone", b'{"n":1}'),)),
                            3: ("3", (("common/gone", None), ("tenant/a", b'{"share":0.5}'))),
                            4: ("4.0", (*items, ("tenant/a", b'{"share":0.5}')))}  # fmt: skip

    assert run_with_fleet(tmp_path, scenario) == []


def test_invalid_settings_exit_with_2_and_report_all_errors(tmp_path: Path) -> None:
    conf = tmp_path / "faulty.conf"
    conf.write_text("feed role keeper\nfeed name k1\nfeed level 3\nfeed lease soon\nfeed listen 0.0.0.0:1\n"
                    "feed keeper k2=127.0.0.1:7000\nfeed up k9=127.0.0.1:7001\n")  # fmt: skip
    result = subprocess.run(
        [sys.executable, "-m", "thistleline", "feed", "--conf", str(conf)],
        capture_output=True, text=True, timeout=30, env={**os.environ, "PYTHONPATH": "."},
    )  # fmt: skip
    assert result.returncode == 2
    for words in ("'soon' is not a duration", "wildcard or multicast address", "'feed folder'",
                  "level' must be 0", "own name 'k1'",
                  "no 'feed keeper' of that name", "'council voter'"):  # fmt: skip
        assert words in result.stderr, words


@pytest.mark.parametrize(("text", "expected"), [
    ("feed role relay\nfeed name r\nfeed listen 127.0.0.1:1\n", ["'feed up'", "level' must be 1"]),
    ("feed role other\n", ["invalid enum value 'other'"]),
    ("feed role relay\nfeed level 99\n", ["'feed name'", "'feed listen'", "'feed up'", "<= 15"]),
])  # fmt: skip
def test_missing_settings_are_all_reported(text: str, expected: list[str]) -> None:
    with pytest.raises(ConfigError) as error:
        parse_config("x", text)
    assert all(word in str(error.value) for word in expected), str(error.value)
    assert parse_config("x", "feed keeper k1=127.0.0.1:1\n").feed is not None  # enough for commands


# ---- faults of keepers


def test_killed_writer_is_replaced_during_changes(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        await feed.change_pairs(2 * RING_SLOTS)
        writer = await feed.writer()
        async with anyio.create_task_group() as group:
            group.start_soon(feed.change_pairs, 12)
            group.start_soon(feed.change_pairs, 12)
            await feed.wait_for_sequence(writer, feed.oracle.newest + 4)
            feed.processes[writer].kill()
        assert await feed.writer() != writer
        feed.processes[writer].start()
        await feed.wait_for_sequence(writer, feed.oracle.newest)

    assert run_with_fleet(tmp_path, scenario) == []


def test_resumed_former_writer_commits_nothing(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        await feed.change_pairs(4)
        writer = await feed.writer()
        feed.processes[writer].pause()
        await feed.change_pairs(4)
        assert await feed.writer() != writer
        feed.processes[writer].resume()
        await feed.change_pairs(4)
        await feed.wait_for_sequence(writer, feed.oracle.newest)

    assert run_with_fleet(tmp_path, scenario) == []


def test_keeper_and_writer_recover_from_lost_disk(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        await feed.change_pairs(2 * RING_SLOTS)
        for writes in (False, True):
            writer = await feed.writer()
            name = writer if writes else next(one for one in feed.keepers if one != writer)
            feed.lose_disk(name)
            await feed.change_pairs(6)
            feed.processes[name].start()
            await feed.wait_for_sequence(name, feed.oracle.newest)
            await feed.change_pairs(RING_SLOTS + 2)

    assert run_with_fleet(tmp_path, scenario) == []


async def lose_disk_while_other_keeper_is_paused(feed: FeedFleet) -> None:
    """Pause one of two keepers, make changes, then empty the disk of the other."""
    await feed.change_pairs(2)
    writer = await feed.writer()
    (other,) = [one for one in feed.keepers if one != writer]
    # Otherwise the ring may fill earlier: the first changes may not be on both disks.
    await feed.wait_until_durable(writer, 2)
    feed.processes[other].pause()
    feed.proposal_targets = [writer]
    await feed.change_pairs(RING_SLOTS)
    await feed.change_pairs(4, 0.4)
    feed.proposal_targets = feed.keepers
    feed.lose_disk(writer)
    feed.processes[other].resume()
    feed.processes[writer].start()
    await feed.writer(5.0)


def test_changes_without_majority_of_keepers_wait_and_are_not_lost(tmp_path: Path) -> None:
    unanswered: list[str] = []

    async def scenario(feed: FeedFleet) -> None:
        await lose_disk_while_other_keeper_is_paused(feed)
        unanswered.extend(feed.oracle.undecided)

    assert run_with_fleet(tmp_path, scenario, keepers=2, subscribers=1) == []
    assert len(unanswered) == 4


# ---- faults of relays and subscribers


def test_failed_relay_does_not_delay_others(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        await feed.change_pairs(4)
        for fault in ("kill", "stop", "drop to followers", "drop to source"):
            for name in [*feed.relays, *feed.subscribers]:
                await feed.wait_for_sequence(name, feed.oracle.newest)
            failed = next(name for name in feed.relays if feed.fleet.relays["s1", name].connections)
            if fault == "kill":
                feed.processes[failed].kill()
            elif fault == "stop":
                feed.processes[failed].pause()
            elif fault == "drop to followers":  # the relay's messages do not reach its followers
                for (_, to), relay in feed.fleet.relays.items():
                    if to == failed:
                        relay.backward = LinkFault(drop=True)
            else:  # the relay's messages do not reach its source
                feed.fleet.partition(failed, incoming=False)
            await feed.change_pairs(3)
            if fault != "drop to source":  # a relay that its source cannot hear keeps serving its state
                started_at = time.monotonic()
                for name in feed.subscribers:
                    await feed.wait_for_sequence(name, feed.oracle.newest, 7.0)
                assert time.monotonic() - started_at < 7.0
            feed.fleet.heal()
            feed.processes[failed].resume()
            if not feed.processes[failed].is_running:
                feed.processes[failed].start()

    assert run_with_fleet(tmp_path, scenario) == []


def test_delayed_messages_and_paused_subscriber_do_not_delay_others(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        await feed.change_pairs(2)
        feed.proposal_targets = [await feed.writer()]
        for relay in feed.fleet.relays.values():
            relay.forward = relay.backward = LinkFault(delay=0.02, jitter=0.08)
        feed.processes["s1"].pause()
        await feed.change_pairs(4)
        await feed.wait_for_sequence("s2", feed.oracle.newest)
        feed.fleet.heal()
        feed.processes["s1"].resume()
        await feed.wait_for_sequence("s1", feed.oracle.newest)
        feed.processes["s1"].kill()
        last_seen = feed.reported_states("s1")[-1]["number"]
        feed.processes["s1"].start()
        await feed.wait_for_event("s1", "started", after=1)
        started = [one for one in feed.processes["s1"].events() if one["event"] == "started"][-1]
        assert 0 < started["number"] <= last_seen  # recovered from its folder

    assert run_with_fleet(tmp_path, scenario) == []


async def reconnect_subscribers_to_relay_behind_them(feed: FeedFleet) -> None:
    await feed.change_pairs(3)
    for name in [*feed.relays, *feed.subscribers]:
        await feed.wait_for_sequence(name, 3)
    for (source, _), relay in feed.fleet.relays.items():
        if source == "r2":
            relay.disconnect()
    for name in feed.subscribers:
        feed.fleet.relays[name, "r2"].disconnect()
    await feed.change_pairs(3)
    for name in feed.subscribers:
        feed.fleet.relays[name, "r2"].heal()
        await feed.wait_for_sequence(name, 6)
    feed.processes["r1"].pause()
    for name in feed.subscribers:
        await feed.wait_for_event(name, "dropped", after=0)
        await feed.wait_for_sequence(name, 6)
    # Wait until a subscriber was refused by r2, or went back to an older state.
    r2 = feed.processes["r2"]
    with anyio.fail_after(10):
        while not any(one.get("why") == "behind" for one in r2.events()):
            if feed.reported_states("s1")[-1]["number"] < 6:
                break
            await anyio.sleep(0.02)


def test_relay_rejects_subscriber_ahead_of_it(tmp_path: Path) -> None:
    assert run_with_fleet(tmp_path, reconnect_subscribers_to_relay_behind_them) == []


def test_invalid_input_closes_only_its_connection(tmp_path: Path) -> None:
    """A relay without a source receives invalid bytes and messages on its connections."""
    port, closed_port = free_port(), free_port()
    conf = tmp_path / "r.conf"
    conf.write_text(f"feed role relay\nfeed name r\nfeed level 1\nfeed listen 127.0.0.1:{port}\n"
                    f"feed up k=127.0.0.1:{closed_port}\nfeed followers 2\n")  # fmt: skip
    hello = encode_frame(encode(Hello("follower", "x" * 900)))
    deep = b"\x91" * 3000 + b"\x01"  # deeply nested lists
    follow_bytes = hello + encode_frame(encode(Follow("x", "wide", 0, bytes(16))))
    inputs = [
        *(b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", encode_frame(b"\x00"), hello + b"\x7f\xff\xff\xff"),
        *(
            encode_frame(encode(Hello("voter", "a"))),
            encode_frame(encode(Hello("follower", "x", min_version=9, max_version=9))),
        ),
        *(
            hello + encode_frame(b"{}"),
            hello + encode_frame(encode(Acknowledge(1))),
            hello + encode_frame(encode(FetchPart(-1, 1 << 40))),
        ),
        hello + encode_frame(encode(Follow("x" * 500, "wide", -1, b"", 99))),
        follow_bytes + encode_frame(encode(FetchTenants(("tenant/x",) * 500))),
        *(
            encode_frame(b"\x82\xa4type\xa5hello\xa1x" + deep),
            hello + encode_frame(b"\x82\xa4type\xa4have\xa1x" + deep),
        ),
    ]

    async def send_until_closed(text: bytes) -> None:
        with suppress(*DISCONNECT_ERRORS):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(text)
                while True:
                    await stream.receive()

    async def scenario() -> None:
        with anyio.fail_after(20):
            while await read(("127.0.0.1", port)) is None:
                await anyio.sleep(0.02)
            async with anyio.create_task_group() as group:
                for text in inputs:
                    group.start_soon(send_until_closed, text)
            keys = tuple(f"common/{place}" for place in range(5000))
            result = await read(("127.0.0.1", port), keys)
            assert result is not None
            assert len(result.items) == MAX_READ_KEYS
            refused = Propose("x", (("common/x", b"{}"),))
            answer = await propose({"r": ("127.0.0.1", port)}, refused, 0.3)
            assert (answer.unknown, answer.reason) == (True, "a relay writes nothing")
            # The third follower exceeds the limit of two and is rejected.
            streams, last_message = [], None
            for _ in range(3):
                streams.append(await anyio.connect_tcp("127.0.0.1", port))
                await streams[-1].send(follow_bytes)
                decoder, messages = FrameDecoder(MESSAGE_SIZE_LIMIT), list[bytes]()
                while len(messages) < 2:
                    messages += decoder.feed(await streams[-1].receive())
                last_message = decode_source(messages[1])
            assert last_message == FollowRejected("full")
            for stream in streams:
                await stream.aclose()

    relay = Process("r", ["feed", "--conf", str(conf)], {}, tmp_path)
    relay.start()
    try:
        anyio.run(scenario)
        relay.signal(signal.SIGTERM)
        assert relay.process is not None
        assert relay.process.wait(10) == 0
    finally:
        relay.close()
    assert "Traceback" not in (tmp_path / "r.log").read_text()


def run_relay_in_process(
    scenario: Callable[[FeedService], Awaitable[None]], items: Items = ()
) -> list[tuple[str, Any]]:
    """Run a scenario on a relay in this process, with these entries and without a source; return its log."""
    logged: list[tuple[str, Any]] = []
    address, closed_address = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    conf = FeedConfig(name="r", listen=address, role="relay", level=1, up={"k": closed_address}, followers=2)

    async def run() -> None:
        relay = FeedService(conf, None, lambda event, **fields: logged.append((event, fields)))
        if items:
            relay.relay.history.reset(FeedTable().update(1, items))
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                group.start_soon(relay.run)
                while await read(address) is None:
                    await anyio.sleep(0.02)
                await scenario(relay)
                group.cancel_scope.cancel()

    anyio.run(run)
    return logged


def test_peer_that_requests_without_reading_is_bounded_and_does_not_delay_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A peer requests 50 MB of answers; the main loop handles at most one of its requests per turn."""
    keys = tuple(f"common/{place}" for place in range(MAX_READ_KEYS))
    requests = encode_frame(encode(Hello("follower", "x"))) + 100 * encode_frame(encode(ReadRequest(keys)))
    batch_sizes: list[int] = []
    queue_sizes: list[int] = []

    def counting_put(self: SendQueue, frame: bytes, original: Any = SendQueue.put) -> None:
        original(self, frame)
        queue_sizes.append(self.size)

    def counting_drain(self: EventInbox[Any], original: Any = EventInbox.drain) -> Any:
        events = original(self)
        batch_sizes.append(len(events))
        return events

    monkeypatch.setattr(SendQueue, "put", counting_put)
    monkeypatch.setattr(EventInbox, "drain", counting_drain)
    monkeypatch.setattr(send_queue, "STALL_TIMEOUT_NS", 300 * MS)

    def is_connected(relay: FeedService) -> bool:
        return any(peer.id == "x" for peer in relay.listener.connections.values())

    async def scenario(relay: FeedService) -> None:
        async with await anyio.connect_tcp(*relay.address) as stream:
            await stream.send(requests)
            while not is_connected(relay):
                await anyio.sleep(0)
            while is_connected(relay):
                assert await read(relay.address) is not None
        assert max(queue_sizes) <= MAX_QUEUED
        assert max(batch_sizes) <= 3  # one message from each peer, and one SubscriberLeft

    run_relay_in_process(scenario, tuple((key, bytes(4000), 1) for key in keys))


def test_idle_connection_is_closed_and_active_one_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "IDLE_TIMEOUT", 800 * MS)
    hello = Hello("follower", "silent")

    async def scenario(relay: FeedService) -> None:
        async with (
            await anyio.connect_tcp(*relay.address) as silent,
            await anyio.connect_tcp(*relay.address) as active,
        ):
            for stream in (silent, active):
                await stream.send(encode_frame(encode(hello)))
            while (left := len(relay.listener.connections)) < 2:
                await anyio.sleep(0)
            began = time.monotonic()
            while left == 2 or time.monotonic() < began + 2:
                await active.send(encode_frame(encode(ReadRequest(()))))
                await anyio.sleep(0.05)
                left = sum(peer.id == "silent" for peer in relay.listener.connections.values())
            assert left == 1

    run_relay_in_process(scenario)


def test_late_peer_check_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a pause of the process, messages that peers sent meanwhile are still unread."""
    now, checked_at = [0], list[int]()

    async def fake_sleep(span: float) -> None:
        now[0] += int(span * SECOND) * (10 if len(checked_at) == 1 and now[0] < SECOND else 1)
        if now[0] > 8 * SECOND:
            raise TimeoutError

    monkeypatch.setattr(send_queue, "boot_now", lambda: now[0])
    monkeypatch.setattr(anyio, "sleep", fake_sleep)
    with pytest.raises(TimeoutError):
        anyio.run(send_queue.check_regularly, checked_at.append)
    assert checked_at[:2] == [SECOND // 2, 6 * SECOND]


def test_table_is_excluded_from_garbage_collection() -> None:
    """A garbage collection of the whole table would take longer than followers wait for a heartbeat."""
    entries = tuple((f"tenant/t{place}", b"{}", 1) for place in range(20_000))

    async def scenario(relay: FeedService) -> None:
        frozen_count = gc.get_freeze_count()
        table = relay.relay.table
        relay.carry_out(PersistStep(table.update(heap_freezer.FREEZE_EVERY, ()), 1, ()))
        assert gc.get_freeze_count() == frozen_count  # one change less than between two freezes
        relay.carry_out(PersistStep(table.update(heap_freezer.FREEZE_EVERY + 1, ()), 1, ()))
        assert gc.get_freeze_count() > frozen_count
        loaded = table.update(9, ((f"tenant/more-{place}", b"{}", 9) for place in range(5_000)))
        frozen_count = gc.get_freeze_count()
        relay.carry_out(PersistTable(loaded))
        assert gc.get_freeze_count() > frozen_count + 1_000

    before = gc.get_freeze_count()
    try:
        run_relay_in_process(scenario, entries)
        assert gc.get_freeze_count() > before + 5_000
    finally:
        gc.unfreeze()


def test_listener_continues_after_failed_accept() -> None:
    """The process has no file descriptor left for a moment."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)

    async def scenario(relay: FeedService) -> None:
        with socket.socket() as client:
            resource.setrlimit(resource.RLIMIT_NOFILE, (client.fileno(), limits[1]))
            try:
                client.connect(relay.address)
                while "who comes" not in relay.peer_log.last_reasons:
                    await anyio.sleep(0.01)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        assert await read(relay.address) is not None

    logged = run_relay_in_process(scenario)
    assert ("refused", {"of": "who comes", "why": os.strerror(errno.EMFILE)}) in logged


def test_second_signal_does_not_interrupt_shutdown(tmp_path: Path) -> None:
    """A keeper that shuts down waits for an unreachable consensus cluster, and gets a second signal."""
    port, closed_port = free_port(), free_port()
    conf = tmp_path / "k.conf"
    conf.write_text(f"feed role keeper\nfeed name k\nfeed listen 127.0.0.1:{port}\n"
                    f"feed folder {tmp_path / 'k'}\nfeed keeper k=127.0.0.1:{port}\n"
                    f"council voter a=127.0.0.1:{closed_port}\n")  # fmt: skip
    keeper = Process("k", ["feed", "--conf", str(conf)], {}, tmp_path)

    def has_logged(event: str) -> bool:
        return any(line["event"] == event for line in keeper.events())

    keeper.start()
    try:
        assert keeper.process is not None
        for event, number in (
            ("started", signal.SIGTERM),
            ("leaving", signal.SIGTERM),
            ("leaving", signal.SIGINT),
        ):
            until = time.monotonic() + 20
            while not has_logged(event):
                assert time.monotonic() < until
                time.sleep(0.01)
            keeper.signal(number)
        assert keeper.process.wait(20) == 0
        assert has_logged("left")
    finally:
        keeper.close()


def test_peers_with_changing_names_do_not_flood_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    # The second of the rate limit does not end during the test.
    monkeypatch.setattr(peer_log, "SECOND", 3600 * SECOND)

    async def scenario(relay: FeedService) -> None:
        for place in range(100):
            async with await anyio.connect_tcp(*relay.address) as stream:
                await stream.send(
                    encode_frame(encode(Hello("follower", f"x{place}")))
                    + encode_frame(encode(Acknowledge(1)))
                )
                with suppress(*DISCONNECT_ERRORS):
                    while True:
                        await stream.receive()

    assert 1 < sum(event == "refused" for event, _ in run_relay_in_process(scenario)) <= 32


def test_export_is_complete_where_several_deltas_lead_to_newest_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The changes do not fit into one delta; the export checks its state at each turn of the event loop."""
    sleep = anyio.sleep

    async def scenario(relay: FeedService) -> None:
        monkeypatch.setattr(anyio, "sleep", lambda span: sleep(0))
        for place in range(200):
            relay.relay.history.advance(place + 1, ((f"common/{place}", bytes(4000), place + 1),))
        table = await export_table({"r": relay.address}, 10.0)
        assert table is not None
        assert (table.sequence, len(table.wide)) == (200, 200)

    run_relay_in_process(scenario)


def test_idle_connections_do_not_block_new_ones() -> None:
    """Some peers send only a hello, some nothing; the connection of the peer that follows is not closed."""
    hello = encode_frame(encode(Hello("follower", "x")))

    async def scenario(relay: FeedService) -> None:
        async with AsyncExitStack() as stack:
            for place in range(relay.listener.max_connections + 10):
                stream = await stack.enter_async_context(await anyio.connect_tcp(*relay.address))
                if not place:
                    await stream.send(hello + encode_frame(encode(Follow("x", "wide", 0, bytes(16)))))
                    while not relay.relay.source.subscribers:
                        await anyio.sleep(0)
                elif place % 2:
                    await stream.send(hello)
            assert await read(relay.address) is not None
            assert len(relay.listener.connections) <= relay.listener.max_connections + 1
            assert len(relay.relay.source.subscribers) == 1

    run_relay_in_process(scenario)


def test_state_replaced_during_its_write_is_not_reported_as_durable(tmp_path: Path) -> None:
    """Another state is loaded while a write is in progress, or before a complete write was handled."""
    write_allowed, reported = threading.Event(), list[int]()
    diverged = FeedTable().update(2, (("common/of-another", b"{}", 2),))
    loaded = FeedTable().update(3, (("common/a", b"{}", 3),))
    writer = ArchiveWriter(tmp_path / "one", "all", lambda *_, **__: None, reported.append)
    write: Any = writer.archive.write
    writer.archive.write = lambda *arguments: write_allowed.wait(10) and write(*arguments)  # type: ignore[method-assign]

    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            writer.append(diverged, 0, (("common/of-another", b"{}", 2),))
            while writer.is_pending:
                await anyio.sleep(0.001)
            writer.replace(loaded)
            write_allowed.set()
            while writer.durable != 3:
                await anyio.sleep(0.001)
            await writer.flush()
            group.cancel_scope.cancel()

    anyio.run(scenario)
    writer.close()
    assert reported == [0, 3]
    address, closed_address = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    conf = FeedConfig(
        name="r", listen=address, role="relay", level=1, up={"k": closed_address}, folder=tmp_path / "two"
    )
    relay = FeedService(conf, None, lambda *_, **__: None)
    assert relay.archive is not None
    relay.relay.follower.table = loaded
    relay.archive.on_durable(2)
    relay.archive.replace(loaded)
    relay.archive.on_durable(3)
    for event in relay.inbox.drain():
        relay.handle(event)
        assert relay.relay.follower.durable in (0, 3)
    assert relay.relay.follower.durable == 3
    relay.archive.close()


def test_shared_message_is_encoded_once_and_send_queue_is_bounded() -> None:
    encoder = FrameEncoder()
    delta = Delta(1, 2, (("common/x", b"{}", 2),), bytes(16))
    assert encoder.frame(delta) is encoder.frame(delta)
    for place in range(100):
        encoder.frame(Delta(place, place + 1, (), bytes(16)))
    assert len(encoder.encoded) <= 16

    async def scenario() -> None:
        ended: list[bool] = []
        queue = SendQueue(lambda: ended.append(True))
        queue.put(bytes(MAX_QUEUED))
        assert not ended
        queue.put(b"x")
        assert ended
        queue.put(b"x")
        assert queue.size == MAX_QUEUED + 1

    anyio.run(scenario)


# ---- faults of the consensus cluster


def test_consensus_cluster_without_majority_stops_changes_only(tmp_path: Path) -> None:
    async def scenario(feed: FeedFleet) -> None:
        fleet = feed.fleet
        await feed.change_pairs(3)
        fleet.processes[await fleet.leader()].kill()
        await feed.change_pairs(3)
        for name in fleet.names:
            if not fleet.processes[name].is_running:
                fleet.processes[name].start()
        await fleet.leader()
        for name in [*feed.keepers, *feed.relays]:
            await feed.wait_for_sequence(name, feed.oracle.newest)
        for name in fleet.names[:2]:
            fleet.processes[name].kill()
        (answer,) = await feed.change_pairs(1, 1.5)
        assert answer.sequence == 0
        for name in feed.relays:
            status = await feed.read_status(name)
            assert status is not None
            assert status.sequence == feed.oracle.newest
        feed.processes["s1"].kill()
        feed.processes["s1"].start()
        await feed.wait_for_sequence("s1", feed.oracle.newest)
        for name in fleet.names[:2]:
            fleet.processes[name].start()
        await feed.change_pairs(3)

    assert run_with_fleet(tmp_path, scenario) == []


# ---- the oracle detects violations


@pytest.mark.parametrize(("without", "scenario", "keepers", "expected"), [
    ("newer", reconnect_subscribers_to_relay_behind_them, 3, "went back from"),
    ("majority", lose_disk_while_other_keeper_is_paused, 2, "no keeper writes in 5.0 s"),
])  # fmt: skip
def test_oracle_detects_removed_safeguard(
    tmp_path: Path, without: str, scenario: Scenario, keepers: int, expected: str
) -> None:
    try:
        violations = run_with_fleet(tmp_path, scenario, keepers, 1, without)
    except* RunTimeoutError as group:
        violations = [str(one) for one in group.exceptions]
    assert any(expected in one for one in violations), violations
    for path in tmp_path.glob("*.log"):
        assert "Traceback" not in path.read_text(), path
