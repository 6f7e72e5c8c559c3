"""The feed between processes of the program: keepers, relays and subscribers, with faults between them."""

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

Story = Callable[[FeedFleet], Awaitable[None]]


def with_feed(
    folder: Path, story: Story, keepers: int = 3, subscribers: int = 2, without: str = ""
) -> list[str]:
    """A story told to processes, then what the oracle finds wrong; it ends by itself after a minute."""

    async def run() -> list[str]:
        with anyio.fail_after(60):
            async with anyio.create_task_group() as group:
                feed = FeedFleet(folder, group, 1, keepers, without)
                try:
                    await feed.start(subscribers)
                    await story(feed)
                    await feed.settle()
                    wrong = await feed.judge()
                finally:
                    feed.close()
                    group.cancel_scope.cancel()
        return wrong

    return anyio.run(run)


def command(feed: FeedFleet, *words: str) -> subprocess.CompletedProcess[str]:
    at = [word for name in feed.keepers for word in ("--at", f"{name}=127.0.0.1:{feed.fleet.ports[name]}")]
    told = [sys.executable, "-m", "thistleline", "feed", words[0], *at, *words[1:]]
    return subprocess.run(
        told, capture_output=True, text=True, timeout=30, env={**os.environ, "PYTHONPATH": "."}
    )


# ---- as an operator meets it


def test_a_change_is_put_got_followed_exported_and_put_again(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
        async def run(*words: str) -> subprocess.CompletedProcess[str]:
            return await anyio.to_thread.run_sync(partial(command, feed, *words))

        two = 'common/left-0={"n": 1}', 'common/right-0={"n":1}'
        one = await run("put", *two, "--expect", "common/left-0=0", "--request", "1")
        assert (one.stdout, one.returncode) == ("change 1\n", 0)
        again = await run("put", 'common/left-0={"n":2}', "--expect", "common/left-0=0")
        assert (again.returncode, "has version 1, 0 was expected" in again.stderr) == (1, True)
        faulty = await run("put", 'route/x={"limit_ms": -1, "speed": 3}', "nowhere/x={}")
        assert faulty.returncode == 1
        for word in ("'speed'", "limit_ms", "effect is missing", "nowhere/x"):
            assert word in faulty.stderr, word
        told = await run("put", "common/x", "common/y={", "--expect", "z")
        assert (told.returncode, len(told.stderr.splitlines())) == (2, 3)
        assert (await run("put", 'common/gone={"n":1}', "--request", "once")).stdout == "change 2\n"
        assert (await run("put", 'common/gone={"n":1}', "--request", "once")).stdout == "change 2\n"
        told = await run("put", "--delete", "common/gone", 'tenant/a={"share":0.5}', "--request", "3")
        assert told.stdout == "change 3\n"
        got = await run("get", "common/left-0", "common/gone", "--json")
        facts = [json.loads(line) for line in got.stdout.splitlines()]
        assert [(one["value"], one["version"]) for one in facts] == [({"n": 1}, 1), (None, 0)]
        assert got.returncode == 1
        strange = "common/\udcff"  # bytes that are no UTF-8
        words = ["--delete", strange, "--expect", f"{strange}=1", "--request", strange]
        told = await run("put", *words)
        assert (told.returncode, told.stderr.count("is not valid UTF-8"), "Trace" in told.stderr) == (
            2,
            3,
            False,
        )
        told = await run("get", strange)
        assert (told.returncode, told.stderr) == (2, "Error: 'common/\\udcff' is not valid UTF-8\n")
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
        # What the commands did the oracle was not told of.
        await feed.writer()
        items = (("common/left-0", b'{"n":1}'), ("common/right-0", b'{"n":1}'))
        feed.oracle.committed = {1: ("1", items), 2: ("once", (("common/gone", b'{"n":1}'),)),
                            3: ("3", (("common/gone", None), ("tenant/a", b'{"share":0.5}'))),
                            4: ("4.0", (*items, ("tenant/a", b'{"share":0.5}')))}  # fmt: skip

    assert with_feed(tmp_path, story) == []


def test_faulty_settings_end_with_2_and_all_faults(tmp_path: Path) -> None:
    conf = tmp_path / "faulty.conf"
    conf.write_text("feed role keeper\nfeed name k1\nfeed level 3\nfeed lease soon\nfeed listen 0.0.0.0:1\n"
                    "feed keeper k2=127.0.0.1:7000\nfeed up k9=127.0.0.1:7001\n")  # fmt: skip
    told = subprocess.run(
        [sys.executable, "-m", "thistleline", "feed", "--conf", str(conf)],
        capture_output=True, text=True, timeout=30, env={**os.environ, "PYTHONPATH": "."},
    )  # fmt: skip
    assert told.returncode == 2
    for words in ("'soon' is not a duration", "wildcard or multicast address", "'feed folder'",
                  "level' must be 0", "own name 'k1'",
                  "no 'feed keeper' of that name", "'council voter'"):  # fmt: skip
        assert words in told.stderr, words


@pytest.mark.parametrize(("text", "words"), [
    ("feed role relay\nfeed name r\nfeed listen 127.0.0.1:1\n", ["'feed up'", "level' must be 1"]),
    ("feed role other\n", ["invalid enum value 'other'"]),
    ("feed role relay\nfeed level 99\n", ["'feed name'", "'feed listen'", "'feed up'", "<= 15"]),
])  # fmt: skip
def test_what_a_part_misses_is_told_at_once(text: str, words: list[str]) -> None:
    with pytest.raises(ConfigError) as found:
        parse_config("x", text)
    assert all(word in str(found.value) for word in words), str(found.value)
    assert parse_config("x", "feed keeper k1=127.0.0.1:1\n").feed is not None  # enough for commands


# ---- faults of keepers


def test_the_writer_is_killed_among_changes_and_another_goes_on(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
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

    assert with_feed(tmp_path, story) == []


def test_a_stopped_writer_that_goes_on_beside_the_next_changes_nothing(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
        await feed.change_pairs(4)
        writer = await feed.writer()
        feed.processes[writer].pause()
        await feed.change_pairs(4)
        assert await feed.writer() != writer
        feed.processes[writer].resume()
        await feed.change_pairs(4)
        await feed.wait_for_sequence(writer, feed.oracle.newest)

    assert with_feed(tmp_path, story) == []


def test_a_keeper_whose_disk_is_lost_has_all_again_and_one_that_writes_too(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
        await feed.change_pairs(2 * RING_SLOTS)
        for writes in (False, True):
            writer = await feed.writer()
            name = writer if writes else next(one for one in feed.keepers if one != writer)
            feed.lose_disk(name)
            await feed.change_pairs(6)
            feed.processes[name].start()
            await feed.wait_for_sequence(name, feed.oracle.newest)
            await feed.change_pairs(RING_SLOTS + 2)

    assert with_feed(tmp_path, story) == []


async def one_disk_lost_while_another_sleeps(feed: FeedFleet) -> None:
    """Of two keepers one stands still, changes go on, and the other's disk is lost."""
    await feed.change_pairs(2)
    writer = await feed.writer()
    (other,) = [one for one in feed.keepers if one != writer]
    # what it holds it may not have on disk yet, and then the ring is full sooner
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


def test_without_a_majority_of_keepers_changes_wait_and_none_is_lost(tmp_path: Path) -> None:
    waited: list[str] = []

    async def story(feed: FeedFleet) -> None:
        await one_disk_lost_while_another_sleeps(feed)
        waited.extend(feed.oracle.undecided)

    assert with_feed(tmp_path, story, keepers=2, subscribers=1) == []
    assert len(waited) == 4


# ---- faults of relays and subscribers


def test_a_relay_killed_stopped_and_cut_one_way_holds_up_nobody(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
        await feed.change_pairs(4)
        for fault in ("kill", "stop", "deaf", "mute"):
            for name in [*feed.relays, *feed.subscribers]:
                await feed.wait_for_sequence(name, feed.oracle.newest)
            hurt = next(name for name in feed.relays if feed.fleet.relays["s1", name].connections)
            if fault == "kill":
                feed.processes[hurt].kill()
            elif fault == "stop":
                feed.processes[hurt].pause()
            elif fault == "deaf":  # its words come to nobody below it
                for (_, to), relay in feed.fleet.relays.items():
                    if to == hurt:
                        relay.backward = LinkFault(drop=True)
            else:  # nor to anybody above it
                feed.fleet.partition(hurt, incoming=False)
            await feed.change_pairs(3)
            if fault != "mute":  # where nobody above hears it, it serves on what it has
                begun = time.monotonic()
                for name in feed.subscribers:
                    await feed.wait_for_sequence(name, feed.oracle.newest, 7.0)
                assert time.monotonic() - begun < 7.0
            feed.fleet.heal()
            feed.processes[hurt].resume()
            if not feed.processes[hurt].is_running:
                feed.processes[hurt].start()

    assert with_feed(tmp_path, story) == []


def test_late_messages_and_a_stopped_subscriber_cost_the_others_nothing(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
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
        at = feed.reported_states("s1")[-1]["number"]
        feed.processes["s1"].start()
        await feed.wait_for_event("s1", "started", after=1)
        started = [one for one in feed.processes["s1"].events() if one["event"] == "started"][-1]
        assert 0 < started["number"] <= at  # its folder had it

    assert with_feed(tmp_path, story) == []


async def a_newer_one_goes_to_a_relay_that_is_behind(feed: FeedFleet) -> None:
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
    # Till they were at r2 and have been refused there, or were not.
    r2 = feed.processes["r2"]
    with anyio.fail_after(10):
        while not any(one.get("why") == "behind" for one in r2.events()):
            if feed.reported_states("s1")[-1]["number"] < 6:
                break
            await anyio.sleep(0.02)


def test_who_has_more_is_no_follower_of_who_is_behind(tmp_path: Path) -> None:
    assert with_feed(tmp_path, a_newer_one_goes_to_a_relay_that_is_behind) == []


def test_strangers_end_their_own_connection_and_nothing_else(tmp_path: Path) -> None:
    """A relay that has nobody above it; what comes to it is anything but a follower."""
    port, nowhere = free_port(), free_port()
    conf = tmp_path / "r.conf"
    conf.write_text(f"feed role relay\nfeed name r\nfeed level 1\nfeed listen 127.0.0.1:{port}\n"
                    f"feed up k=127.0.0.1:{nowhere}\nfeed followers 2\n")  # fmt: skip
    hello = encode_frame(encode(Hello("follower", "x" * 900)))
    deep = b"\x91" * 3000 + b"\x01"  # a list in a list in a list
    follow = hello + encode_frame(encode(Follow("x", "wide", 0, bytes(16))))
    words = [
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
        follow + encode_frame(encode(FetchTenants(("tenant/x",) * 500))),
        *(
            encode_frame(b"\x82\xa4type\xa5hello\xa1x" + deep),
            hello + encode_frame(b"\x82\xa4type\xa4have\xa1x" + deep),
        ),
    ]

    async def ends(text: bytes) -> None:
        with suppress(*DISCONNECT_ERRORS):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(text)
                while True:
                    await stream.receive()

    async def story() -> None:
        with anyio.fail_after(20):
            while await read(("127.0.0.1", port)) is None:
                await anyio.sleep(0.02)
            async with anyio.create_task_group() as group:
                for text in words:
                    group.start_soon(ends, text)
            asked = tuple(f"common/{place}" for place in range(5000))
            found = await read(("127.0.0.1", port), asked)
            assert found is not None
            assert len(found.items) == MAX_READ_KEYS
            refused = Propose("x", (("common/x", b"{}"),))
            answer = await propose({"r": ("127.0.0.1", port)}, refused, 0.3)
            assert (answer.unknown, answer.reason) == (True, "a relay writes nothing")
            # Of three followers the third is told that there is no place.
            open_ones, told = [], None
            for _ in range(3):
                open_ones.append(await anyio.connect_tcp("127.0.0.1", port))
                await open_ones[-1].send(follow)
                unpacker, heard = FrameDecoder(MESSAGE_SIZE_LIMIT), list[bytes]()
                while len(heard) < 2:
                    heard += unpacker.feed(await open_ones[-1].receive())
                told = decode_source(heard[1])
            assert told == FollowRejected("full")
            for stream in open_ones:
                await stream.aclose()

    relay = Process("r", ["feed", "--conf", str(conf)], {}, tmp_path)
    relay.start()
    try:
        anyio.run(story)
        relay.signal(signal.SIGTERM)
        assert relay.process is not None
        assert relay.process.wait(10) == 0
    finally:
        relay.close()
    assert "Traceback" not in (tmp_path / "r.log").read_text()


def in_process(story: Callable[[FeedService], Awaitable[None]], items: Items = ()) -> list[tuple[str, Any]]:
    """A relay in this process that holds these entries and has nobody above it; what it logged."""
    logged: list[tuple[str, Any]] = []
    at, nowhere = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    conf = FeedConfig(name="r", listen=at, role="relay", level=1, up={"k": nowhere}, followers=2)

    async def run() -> None:
        relay = FeedService(conf, None, lambda event, **facts: logged.append((event, facts)))
        if items:
            relay.relay.history.reset(FeedTable().update(1, items))
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                group.start_soon(relay.run)
                while await read(at) is None:
                    await anyio.sleep(0.02)
                await story(relay)
                group.cancel_scope.cancel()

    anyio.run(run)
    return logged


def test_who_asks_without_end_and_reads_nothing_costs_a_bounded_part_and_stalls_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """50 MB of answers, if all were made; between two turns of the loop one of them at the most."""
    keys = tuple(f"common/{place}" for place in range(MAX_READ_KEYS))
    asks = encode_frame(encode(Hello("follower", "x"))) + 100 * encode_frame(encode(ReadRequest(keys)))
    rounds: list[int] = []
    waits: list[int] = []

    def counted(self: SendQueue, frame: bytes, had: Any = SendQueue.put) -> None:
        had(self, frame)
        waits.append(self.size)

    def taken(self: EventInbox[Any], had: Any = EventInbox.drain) -> Any:
        found = had(self)
        rounds.append(len(found))
        return found

    monkeypatch.setattr(SendQueue, "put", counted)
    monkeypatch.setattr(EventInbox, "drain", taken)
    monkeypatch.setattr(send_queue, "STALL_TIMEOUT_NS", 300 * MS)

    def there(relay: FeedService) -> bool:
        return any(peer.id == "x" for peer in relay.listener.connections.values())

    async def story(relay: FeedService) -> None:
        async with await anyio.connect_tcp(*relay.address) as stream:
            await stream.send(asks)
            while not there(relay):
                await anyio.sleep(0)
            while there(relay):
                assert await read(relay.address) is not None
        assert max(waits) <= MAX_QUEUED
        assert max(rounds) <= 3  # of both peers, and that one left

    in_process(story, tuple((key, bytes(4000), 1) for key in keys))


def test_who_says_nothing_for_long_is_let_go_and_who_speaks_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "IDLE_TIMEOUT", 800 * MS)
    hello = Hello("follower", "quiet")

    async def story(relay: FeedService) -> None:
        async with (
            await anyio.connect_tcp(*relay.address) as quiet,
            await anyio.connect_tcp(*relay.address) as speaks,
        ):
            for stream in (quiet, speaks):
                await stream.send(encode_frame(encode(hello)))
            while (left := len(relay.listener.connections)) < 2:
                await anyio.sleep(0)
            began = time.monotonic()
            while left == 2 or time.monotonic() < began + 2:
                await speaks.send(encode_frame(encode(ReadRequest(()))))
                await anyio.sleep(0.05)
                left = sum(peer.id == "quiet" for peer in relay.listener.connections.values())
            assert left == 1

    in_process(story)


def test_a_look_at_peers_that_comes_late_judges_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a standstill what they did meanwhile lies unread."""
    now, looked = [0], list[int]()

    async def asleep(span: float) -> None:
        now[0] += int(span * SECOND) * (10 if len(looked) == 1 and now[0] < SECOND else 1)
        if now[0] > 8 * SECOND:
            raise TimeoutError

    monkeypatch.setattr(send_queue, "boot_now", lambda: now[0])
    monkeypatch.setattr(anyio, "sleep", asleep)
    with pytest.raises(TimeoutError):
        anyio.run(send_queue.check_regularly, looked.append)
    assert looked[:2] == [SECOND // 2, 6 * SECOND]


def test_a_table_that_is_held_is_left_out_of_collections() -> None:
    """A look through all of it would stand still for longer than its followers wait."""
    entries = tuple((f"tenant/t{place}", b"{}", 1) for place in range(20_000))

    async def story(relay: FeedService) -> None:
        tracked = gc.get_freeze_count()
        table = relay.relay.table
        relay.carry_out(PersistStep(table.update(heap_freezer.FREEZE_EVERY, ()), 1, ()))
        assert gc.get_freeze_count() == tracked  # it holds as many changes more by one
        relay.carry_out(PersistStep(table.update(heap_freezer.FREEZE_EVERY + 1, ()), 1, ()))
        assert gc.get_freeze_count() > tracked
        loaded = table.update(9, ((f"tenant/more-{place}", b"{}", 9) for place in range(5_000)))
        tracked = gc.get_freeze_count()
        relay.carry_out(PersistTable(loaded))
        assert gc.get_freeze_count() > tracked + 1_000

    before = gc.get_freeze_count()
    try:
        in_process(story, entries)
        assert gc.get_freeze_count() > before + 5_000
    finally:
        gc.unfreeze()


def test_a_connection_that_can_t_be_taken_ends_nothing() -> None:
    """No descriptor is left for a moment."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)

    async def story(relay: FeedService) -> None:
        with socket.socket() as one:
            resource.setrlimit(resource.RLIMIT_NOFILE, (one.fileno(), limits[1]))
            try:
                one.connect(relay.address)
                while "who comes" not in relay.peer_log.last_reasons:
                    await anyio.sleep(0.01)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        assert await read(relay.address) is not None

    logged = in_process(story)
    assert ("refused", {"of": "who comes", "why": os.strerror(errno.EMFILE)}) in logged


def test_a_second_notice_changes_nothing(tmp_path: Path) -> None:
    """A keeper that leaves waits for a council that is not there; it is told to leave once more."""
    port, nowhere = free_port(), free_port()
    conf = tmp_path / "k.conf"
    conf.write_text(f"feed role keeper\nfeed name k\nfeed listen 127.0.0.1:{port}\n"
                    f"feed folder {tmp_path / 'k'}\nfeed keeper k=127.0.0.1:{port}\n"
                    f"council voter a=127.0.0.1:{nowhere}\n")  # fmt: skip
    keeper = Process("k", ["feed", "--conf", str(conf)], {}, tmp_path)

    def reached(event: str) -> bool:
        return any(told["event"] == event for told in keeper.events())

    keeper.start()
    try:
        assert keeper.process is not None
        for event, number in (
            ("started", signal.SIGTERM),
            ("leaving", signal.SIGTERM),
            ("leaving", signal.SIGINT),
        ):
            until = time.monotonic() + 20
            while not reached(event):
                assert time.monotonic() < until
                time.sleep(0.01)
            keeper.signal(number)
        assert keeper.process.wait(20) == 0
        assert reached("left")
    finally:
        keeper.close()


def test_strangers_with_ever_new_names_do_not_fill_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_log, "SECOND", 3600 * SECOND)  # the second is not over while this runs

    async def story(relay: FeedService) -> None:
        for place in range(100):
            async with await anyio.connect_tcp(*relay.address) as stream:
                await stream.send(
                    encode_frame(encode(Hello("follower", f"x{place}")))
                    + encode_frame(encode(Acknowledge(1)))
                )
                with suppress(*DISCONNECT_ERRORS):
                    while True:
                        await stream.receive()

    assert 1 < sum(event == "refused" for event, _ in in_process(story)) <= 32


def test_an_export_is_all_that_was_there_also_where_changes_lead_to_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More of them than go into one Delta; who exports looks at each turn of the loop."""
    sleep = anyio.sleep

    async def story(relay: FeedService) -> None:
        monkeypatch.setattr(anyio, "sleep", lambda span: sleep(0))
        for place in range(200):
            relay.relay.history.advance(place + 1, ((f"common/{place}", bytes(4000), place + 1),))
        table = await export_table({"r": relay.address}, 10.0)
        assert table is not None
        assert (table.sequence, len(table.wide)) == (200, 200)

    in_process(story)


def test_those_who_only_connect_keep_nobody_out() -> None:
    """Some say who they are and nothing more, some not even that; one follows, and stays."""
    hello = encode_frame(encode(Hello("follower", "x")))

    async def story(relay: FeedService) -> None:
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

    in_process(story)


def test_a_state_that_was_given_up_while_it_was_written_is_not_told_as_durable(tmp_path: Path) -> None:
    """A write is under way as another state is loaded, or its end is known and not heeded yet."""
    goes_on, told = threading.Event(), list[int]()
    of_another = FeedTable().update(2, (("common/of-another", b"{}", 2),))
    loaded = FeedTable().update(3, (("common/a", b"{}", 3),))
    persist = ArchiveWriter(tmp_path / "one", "all", lambda *_, **__: None, told.append)
    written: Any = persist.archive.write
    persist.archive.write = lambda *told: goes_on.wait(10) and written(*told)  # type: ignore[method-assign]

    async def story() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(persist.run)
            persist.append(of_another, 0, (("common/of-another", b"{}", 2),))
            while persist.is_pending:
                await anyio.sleep(0.001)
            persist.replace(loaded)
            goes_on.set()
            while persist.durable != 3:
                await anyio.sleep(0.001)
            await persist.flush()
            group.cancel_scope.cancel()

    anyio.run(story)
    persist.close()
    assert told == [0, 3]
    at, nowhere = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    conf = FeedConfig(name="r", listen=at, role="relay", level=1, up={"k": nowhere}, folder=tmp_path / "two")
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


def test_one_object_for_many_is_encoded_once_and_who_takes_nothing_is_let_go() -> None:
    encoder = FrameEncoder()
    delta = Delta(1, 2, (("common/x", b"{}", 2),), bytes(16))
    assert encoder.frame(delta) is encoder.frame(delta)
    for place in range(100):
        encoder.frame(Delta(place, place + 1, (), bytes(16)))
    assert len(encoder.encoded) <= 16

    async def story() -> None:
        ended: list[bool] = []
        out = SendQueue(lambda: ended.append(True))
        out.put(bytes(MAX_QUEUED))
        assert not ended
        out.put(b"x")
        assert ended
        out.put(b"x")
        assert out.size == MAX_QUEUED + 1

    anyio.run(story)


# ---- faults of the council


def test_a_council_without_a_majority_stops_changes_and_nothing_else(tmp_path: Path) -> None:
    async def story(feed: FeedFleet) -> None:
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
            found = await feed.read_status(name)
            assert found is not None
            assert found.sequence == feed.oracle.newest
        feed.processes["s1"].kill()
        feed.processes["s1"].start()
        await feed.wait_for_sequence("s1", feed.oracle.newest)
        for name in fleet.names[:2]:
            fleet.processes[name].start()
        await feed.change_pairs(3)

    assert with_feed(tmp_path, story) == []


# ---- the oracle can fail


@pytest.mark.parametrize(("without", "story", "keepers", "words"), [
    ("newer", a_newer_one_goes_to_a_relay_that_is_behind, 3, "went back from"),
    ("majority", one_disk_lost_while_another_sleeps, 2, "no keeper writes in 5.0 s"),
])  # fmt: skip
def test_without_a_protection_the_oracle_finds_it(
    tmp_path: Path, without: str, story: Story, keepers: int, words: str
) -> None:
    try:
        wrong = with_feed(tmp_path, story, keepers, 1, without)
    except* RunTimeoutError as group:
        wrong = [str(one) for one in group.exceptions]
    assert any(words in one for one in wrong), wrong
    for path in tmp_path.glob("*.log"):
        assert "Traceback" not in path.read_text(), path
