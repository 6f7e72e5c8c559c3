"""The feed on real processes: a council, keepers, relays, subscribers, a relay of the lab for each pair; and
an oracle that knows only what was acknowledged and what subscribers said they saw.
"""

import json
import shutil
import time
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from thistleline.config_feed.follower_service import FollowerService
from thistleline.config_feed.limits import DEDUPLICATION_SLOTS
from thistleline.config_feed.messages import Item, Propose, ProposeResult, ReadResult
from thistleline.config_feed.operations import export_table, propose, read
from thistleline.config_feed.table import FeedTable
from thistleline.lab.processes.harness import Fleet, Process, RunTimeoutError, free_port
from thistleline.transport.address import Address

PAIRS = 4
PATIENCE = 25.0  # s for what is awaited


def pair(place: int) -> tuple[str, str]:
    """Two entries that always say the same."""
    return f"common/left-{place}", f"common/right-{place}"


TENANT_PAIR = ("tenant/left", "tenant/right")


class Oracle:
    """Keeps what was acknowledged, by number, and says what is wrong."""

    def __init__(self) -> None:
        self.made: dict[int, tuple[str, tuple[Item, ...]]] = {}
        self.numbers: dict[str, int] = {}  # by request
        self.open: dict[str, Propose] = {}  # of which it is not known whether they were made
        self.refused: list[str] = []
        self.wrong: list[str] = []

    def told(self, asked: Propose, answer: ProposeResult) -> None:
        if answer.sequence:
            self.open.pop(asked.request_id, None)
            known = self.made.setdefault(answer.sequence, (asked.request_id, asked.items))
            if known[0] != asked.request_id:
                self.wrong.append(f"number {answer.sequence} is of {known[0]} and of {asked.request_id}")
            first = self.numbers.setdefault(asked.request_id, answer.sequence)
            if first != answer.sequence:
                self.wrong.append(f"{asked.request_id} was made twice, as {first} and as {answer.sequence}")
        elif answer.unknown:
            self.open[asked.request_id] = asked
        else:
            self.open.pop(asked.request_id, None)
            self.refused.append(answer.reason)

    @property
    def newest(self) -> int:
        return max(self.made, default=0)

    def entries(self) -> dict[str, tuple[bytes, int]]:
        held: dict[str, tuple[bytes, int]] = {}
        for number in sorted(self.made):
            for key, value in self.made[number][1]:
                held.pop(key, None)
                if value is not None:
                    held[key] = value, number
            held[f"made/{number % DEDUPLICATION_SLOTS}"] = self.made[number][0].encode(), number
        return held

    def judge_table(self, name: str, table: FeedTable) -> None:
        """Nothing acknowledged is lost there, and nothing is there that nobody asked for."""
        missing = sorted(set(range(1, table.sequence + 1)) - self.made.keys())
        if missing:
            self.wrong.append(f"{name}: nobody was told of the changes {missing[:5]}")
        held = {key: (value, version) for key, value, version in table.entries("all")}
        if table.sequence < self.newest:
            self.wrong.append(f"{name} stands at {table.sequence}, {self.newest} was acknowledged: lost")
        elif held != self.entries():
            keys = [key for key in held.keys() | self.entries() if held.get(key) != self.entries().get(key)]
            self.wrong.append(f"{name}: {sorted(keys)[:5]} are not what was acknowledged")

    def judge_seen(self, name: str, events: Iterable[dict[str, Any]]) -> int:
        """What one subscriber said; returns how many states it saw."""
        number, states, versions = 0, 0, dict[str, int]()
        for one in events:
            if one["event"] == "born":
                number, versions = 0, {}
            if one["event"] != "state":
                continue
            states += one["number"] != number
            if one["number"] < number:
                self.wrong.append(f"{name} went back from {number} to {one['number']}")
            number = one["number"]
            looked = one["looked"]
            for left, right in [*map(pair, range(PAIRS)), TENANT_PAIR]:
                here, there = looked[left], looked[right]
                if here[2] and there[2] and here != there:
                    self.wrong.append(f"{name} saw half of a change at {number}: {here} and {there}")
            for key, (_, version, known) in looked.items():
                if known and version < versions.get(key, 0) and version:
                    self.wrong.append(f"{name} saw {key} go back to {version}")
                if known:
                    versions[key] = version
        return states


class FeedFleet:
    lease = "1s"

    def __init__(
        self, folder: Path, group: TaskGroup, seed: int, keepers: int = 3, without: str = ""
    ) -> None:
        self.folder, self.group, self.chance, self.without = folder, group, Random(seed), without
        self.fleet = Fleet(folder, group, seed, 3)
        self.keepers = [f"k{place + 1}" for place in range(keepers)]
        self.asked = self.keepers  # who gets changes
        self.relays = ["r1", "r2"]
        self.subscribers: list[str] = []
        self.oracle = Oracle()
        self.count = 0
        self.processes = self.fleet.processes

    # ---- its processes

    async def start(self, subscribers: int = 2) -> None:
        fleet = self.fleet
        for name in [*self.keepers, *self.relays]:
            fleet.ports[name] = free_port()
        await fleet.start_replicas()
        for name in self.keepers:
            await self._start_keeper(name)
        for level, name in enumerate(self.relays, 1):  # r2 follows r1, and the keepers without it
            await self._start_relay(name, level, [*self.relays[: level - 1], *self.keepers])
        for place in range(subscribers):
            await self.subscribe(f"s{place + 1}", folder=place == 0)
        self.to_keepers = {name: await self.way("w", name) for name in self.keepers}
        await fleet.form()
        await self.writer()

    async def way(self, source: str, to: str) -> Address:
        """The one that `source` takes: through a relay of the lab."""
        return await self.fleet.open_relay(source, to)

    async def _start_keeper(self, name: str) -> None:
        fleet = self.fleet
        lines = [f"feed name {name}", f"feed listen 127.0.0.1:{fleet.ports[name]}", "feed role keeper",
                 f"feed folder {self.folder}/{name}", f"feed lease {self.lease}"]  # fmt: skip
        for voter in fleet.names:
            host, port = await self.way(name, voter)
            lines.append(f"council voter {voter}={host}:{port}")
        for other in self.keepers:
            lines.append(f"feed keeper {other}=127.0.0.1:{fleet.ports[other]}")
            if other != name:
                host, port = await self.way(name, other)
                lines.append(f"feed up {other}={host}:{port}")
        self._start(name, lines)

    async def _start_relay(self, name: str, level: int, above: list[str], folder: bool = False) -> None:
        lines = [f"feed name {name}", f"feed listen 127.0.0.1:{self.fleet.ports[name]}", "feed role relay",
                 f"feed level {level}"]  # fmt: skip
        if folder:
            lines.append(f"feed folder {self.folder}/{name}")
        for other in above:
            host, port = await self.way(name, other)
            lines.append(f"feed up {other}={host}:{port}")
        self._start(name, lines)

    def _start(self, name: str, lines: list[str]) -> None:
        conf = self.folder / f"{name}.conf"
        conf.write_text("\n".join(lines) + "\n")
        env = {"LAB_DISK": str(self.folder / f"{name}.disk"), "LAB_WITHOUT": self.without}
        process = Process(name, ["feed", "serve", "--conf", str(conf)], env, self.folder)
        self.processes[name] = process
        process.start()

    async def subscribe(self, name: str, folder: bool) -> None:
        keys = [key for place in range(PAIRS) for key in pair(place)] + list(TENANT_PAIR)
        sources = {relay: await self.way(name, relay) for relay in self.relays}
        told = {"who": name, "sources": sources, "keys": keys, "seed": self.chance.randrange(1 << 30),
                "folder": str(self.folder / name) if folder else ""}  # fmt: skip
        process = Process(name, ["subscriber", json.dumps(told)], {"LAB_WITHOUT": self.without}, self.folder)
        self.processes[name] = process
        self.subscribers.append(name)
        process.start()

    def address(self, name: str) -> Address:
        return self.fleet.address(name)

    def empty(self, name: str) -> None:
        """Its disk is lost."""
        self.processes[name].kill()
        shutil.rmtree(self.folder / name, ignore_errors=True)

    # ---- what is awaited

    async def looked(self, name: str) -> ReadResult | None:
        process = self.processes[name]
        return (
            await read(self.address(name), (), 0.5) if process.is_running and not process.is_paused else None
        )

    async def writer(self, span: float = PATIENCE, other_than: str = "") -> str:
        """The keeper that writes, once there is one."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            stands = {name: await self.looked(name) for name in self.keepers}
            found = [(one.epoch, name) for name, one in stands.items() if one is not None and one.is_writer]
            if found and max(found)[1] != other_than:
                return max(found)[1]
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"no keeper writes in {span} s")

    async def reaches(self, name: str, number: int, span: float = PATIENCE) -> None:
        """Till that keeper or relay stands there, or that subscriber said so."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            if name in self.subscribers:
                at = max((one["number"] for one in self.seen(name)[-1:]), default=0)
            else:
                found = await self.looked(name)
                at = found.sequence if found is not None else 0
            if at >= number:
                return
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"{name} stands at {at} and not at {number} after {span} s")

    async def kept(self, writer: str, number: int, span: float = PATIENCE) -> None:
        """Till the writer knows that a majority of the keepers has the change on disk."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            found = await self.looked(writer)
            if found is not None and found.counters.get("kept", 0) >= number:
                return
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"{writer} does not know in {span} s that {number} is kept")

    async def event(self, name: str, event: str, span: float = PATIENCE, after: int = 0) -> None:
        """Till its log tells of it more often than `after`."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            if sum(one["event"] == event for one in self.processes[name].events()) > after:
                return
            await anyio.sleep(0.02)
        raise RunTimeoutError(f"{name} logs no {event!r} in {span} s")

    def seen(self, name: str) -> list[dict[str, Any]]:
        """The states that a subscriber told of in its last life."""
        lives: list[list[dict[str, Any]]] = []
        for one in self.processes[name].events():
            if one["event"] == "born":
                lives.append([])
            elif one["event"] == "state":
                lives[-1].append(one)
        return lives[-1] if len(lives) == self.processes[name].incarnation else []

    async def table(self, name: str, number: int, span: float = PATIENCE) -> FeedTable:
        """All that a keeper or relay holds, at that number or after it."""
        async with anyio.create_task_group() as group:
            following = FollowerService("oracle", {name: self.address(name)}, immediate=True)
            group.start_soon(following.run)
            with anyio.move_on_after(span) as scope:
                await following.wait_for(number)
            group.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise RunTimeoutError(f"{name} does not tell the state {number} in {span} s")
        return following.table

    # ---- changes

    async def change(self, items: tuple[Item, ...], span: float = 15.0) -> ProposeResult:
        self.count += 1
        return await self.ask(Propose(f"w{self.count}", items), span)

    async def ask(self, told: Propose, span: float) -> ProposeResult:
        answer = await propose({name: self.to_keepers[name] for name in self.asked}, told, span, self.chance)
        self.oracle.told(told, answer)
        return answer

    async def pairs(self, count: int, span: float = 15.0) -> list[ProposeResult]:
        """So many changes of two entries each, one after another."""
        found = []
        for _ in range(count):
            place = self.chance.randrange(PAIRS + 1)
            keys = pair(place) if place < PAIRS else TENANT_PAIR
            value = b'{"n":%d}' % self.count if place < PAIRS else b'{"share":%f}' % self.chance.random()
            found.append(await self.change(tuple((key, value) for key in keys), span))
        return found

    # ---- the end

    async def settle(self) -> None:
        """All is well again; what was not known is asked for once more; then all must stand alike."""
        self.fleet.heal()
        for process in self.processes.values():
            if process.is_paused:
                process.resume()
            if not process.is_running:
                process.start()
        for told in list(self.oracle.open.values()):
            await self.ask(told, PATIENCE)
        if self.oracle.open:
            raise RunTimeoutError(f"still not known: {list(self.oracle.open)}")
        for name in [*self.keepers, *self.relays, *self.subscribers]:
            await self.reaches(name, self.oracle.newest)

    async def judge(self) -> list[str]:
        """What is wrong: nothing, if it is as it should be."""
        oracle, wide = self.oracle, set[str]()

        async def judge_one(name: str) -> None:
            found = await self.looked(name)
            number = found.sequence if found is not None else oracle.newest
            told = await export_table({name: self.address(name)}, 10.0)
            if told is None:
                oracle.wrong.append(f"{name} gives no snapshot")
                return
            if told.sequence < number:
                oracle.wrong.append(f"{name} stands at {number}, a snapshot of it is of {told.sequence}")
            table = await self.table(name, number)
            oracle.judge_table(name, table)
            wide.add(table.digest("wide").hex())

        async with anyio.create_task_group() as group:
            for name in [*self.keepers, *self.relays]:
                group.start_soon(judge_one, name)
        for name in self.subscribers:
            oracle.judge_seen(name, self.processes[name].events())
            wide.add(self.seen(name)[-1]["digest"])
        if len(wide) > 1:
            oracle.wrong.append(f"digests differ: {sorted(wide)}")
        for path in sorted(self.folder.glob("*.log")):
            if b"Traceback" in path.read_bytes():
                oracle.wrong.append(f"{path.name} has a traceback")
        return oracle.wrong

    def close(self) -> None:
        self.fleet.close()
