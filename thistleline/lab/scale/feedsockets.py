"""A region of the change feed on real sockets and disks: a council, three keepers and two relays of the
program, followers that are the client that runs (scale/followers.py), a real connection each.

The oracle knows what was acknowledged and what the followers saw, and makes the digest that all must end at
from a plain dict. Times are from the acknowledgement to the moment from which a follower's look-ups answer by
it. All processes share one machine: a follower's share is that of a process of which it is the only one.
"""

import shutil
import subprocess
import sys
import time
from bisect import bisect_left
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from contextlib import asynccontextmanager
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio
import anyio.to_thread
import msgspec
import orjson
from anyio.abc import Process
from anyio.streams.buffered import BufferedByteReceiveStream

from thistleline.config_feed.archive import Archive
from thistleline.config_feed.messages import Change, Group, Propose, encode
from thistleline.config_feed.recovery import record_key
from thistleline.config_feed.table import PARTIAL_PREFIXES, entry_hash
from thistleline.lab.processes.feed_fleet import FeedFleet
from thistleline.lab.processes.harness import RunTimeoutError, free_port, run_folder
from thistleline.lab.scale import slopes
from thistleline.lab.scale.feed import DAY, HOT, Load, made_table, route_key, route_value
from thistleline.lab.scale.followers import FollowersSettings, Report
from thistleline.lab.scale.instance import cpu_seconds, machine, resident
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part, Row
from thistleline.lease.protocol import Done, Put
from thistleline.store.disk import Disk
from thistleline.transport.address import Address

NAME = "feed on sockets"
SIZES = [35, 75, 150, 350, 735]  # followers of the region
PROCESSES = 4  # that many followers are in, beside the one that is alone
PATIENCE = 120.0  # s for all of the followers, or for a keeper that reads the full table
LINE_BOUND = 64 << 20  # bytes of what a process of followers tells
Tell = Callable[[str], None]
Entries = dict[str, tuple[bytes, int]]


class Region(FeedFleet):
    """As a region stands: relays side by side, with folders; no relay of the lab between."""

    lease = "3s"

    async def open_relay(self, source: str, target: str) -> Address:
        return self.address(target)

    async def start_with(self, first: bytes) -> None:
        """`first`: the council's first record; what the keepers' folders hold ends with it."""
        fleet = self.fleet
        for name in [*self.keepers, *self.relays]:
            fleet.ports[name] = free_port()
        await fleet.start_replicas()
        await fleet.form()
        if first and not isinstance(await fleet.request(Put(record_key(0), first, 0)), Done):
            raise RunTimeoutError("the council takes no first record")
        for name in self.keepers:
            await self._start_keeper(name)
        for name in self.relays:
            await self._start_relay(name, 1, self.keepers, True)
        self.keeper_addresses = {name: self.address(name) for name in self.keepers}
        await self.writer(PATIENCE)

    def pid(self, name: str) -> int:
        process = self.processes[name].process
        assert process is not None
        return process.pid

    async def number(self) -> int:
        found = await self.read_status(await self.writer())
        return found.sequence if found is not None else 0

    async def started(self, name: str) -> dict[str, Any]:
        """Its next life, by what its disk has: seconds till it answers, and its memory then."""
        begun = time.monotonic()
        self.processes[name].start()
        await self.wait_for_sequence(name, 1, PATIENCE)
        return {"s": round(time.monotonic() - begun, 2), "resident_bytes": resident(self.pid(name))}


# ---- the followers


class Some:
    """A process of them."""

    def __init__(self, process: Process) -> None:
        assert process.stdout is not None
        self.process, self.out = process, BufferedByteReceiveStream(process.stdout)

    async def ask(self, word: str) -> bytes:
        assert self.process.stdin is not None
        await self.process.stdin.send(word.encode() + b"\n")
        return await self.out.receive_until(b"\n", LINE_BOUND)


class Crowd:
    """All followers, the first of them alone in its process."""

    def __init__(self, some: list[Some], many: int) -> None:
        self.some, self.many = some, many

    async def ask(self, word: str, kind: Any) -> list[Any]:
        found: list[Any] = [None] * len(self.some)

        async def one(place: int) -> None:
            found[place] = msgspec.json.decode(await self.some[place].ask(word), type=kind)

        async with anyio.create_task_group() as group:
            for place in range(len(self.some)):
                group.start_soon(one, place)
        return found

    async def tell(self) -> list[Report]:
        return await self.ask("tell", Report)

    async def stand(self, number: int, at: str = "") -> None:
        """Till all stand there, and follow that one if one is named. Raises RunTimeoutError."""
        with anyio.move_on_after(PATIENCE):
            while True:
                told = await self.ask("stands", tuple[dict[int, int], dict[str, int]])
                if all(min(one[0]) >= number and (not at or list(one[1]) == [at]) for one in told):
                    return
                await anyio.sleep(0.1)
        raise RunTimeoutError(f"not all followers stand at {number} after {PATIENCE} s: {told}")


@asynccontextmanager
async def crowd(region: Region, many: int, tenants: int, seed: int) -> AsyncIterator[Crowd]:
    """Processes of so many followers that have not begun; they end with it."""
    rest = many - 1
    shares = [1, *(rest * (n + 1) // PROCESSES - rest * n // PROCESSES for n in range(PROCESSES))]
    sources = {name: region.address(name) for name in region.relays}
    some: list[Some] = []
    first = 0
    with (region.folder / "followers.log").open("ab") as log:
        try:
            for share in filter(None, shares):
                told = msgspec.json.encode(FollowersSettings(sources, first, share, tenants, seed)).decode()
                words = [sys.executable, "-m", "thistleline.lab.scale.followers", told]
                some.append(Some(await anyio.open_process(words, stderr=log)))
                first += share
            yield Crowd(some, many)
        finally:
            for one in some:
                if one.process.returncode is None:
                    one.process.kill()
            with anyio.CancelScope(shield=True):
                for one in some:
                    await one.process.wait()
                    await one.process.aclose()


# ---- the oracle


class Kept:
    """What was acknowledged, on top of a state that is known; and when it was asked for and acknowledged, ns
    of the monotonic clock."""

    def __init__(self, base: Entries, number: int) -> None:
        self.base, self.first, self.last = base, number, number
        self.asked: dict[int, int] = {}
        self.at: dict[int, int] = {}
        self.items: dict[int, tuple[tuple[str, bytes | None], ...]] = {}
        self.lost: list[str] = []  # what was not made

    def entries(self) -> Entries:
        held = dict(self.base)
        for number in sorted(self.items):
            for key, value in self.items[number]:
                held.pop(key, None)
                if value is not None:
                    held[key] = value, number
        return held

    def faults(self, reports: list[Report]) -> list[str]:
        """What is wrong with what all of them saw; they must have come to the newest."""
        found = list(self.lost[:3])
        missing = sorted(set(range(self.first + 1, self.last + 1)) - self.items.keys())
        if missing:
            found.append(f"nobody was told of {missing[:3]}")
        held = self.entries()
        sums = sum(entry_hash(key, *one) for key, one in held.items() if not key.startswith(PARTIAL_PREFIXES))
        digest = (sums % (1 << 128)).to_bytes(16, "big")
        for one in (seen for report in reports for seen in report.followers):
            numbers = [number for number, _ in one.states]
            if (one.number, one.digest) != (self.last, digest):
                found.append(f"{one.name} ends at {one.number} {one.digest.hex()}, not {self.last}")
            if numbers != sorted(numbers) or (numbers and numbers[-1] != one.number):
                found.append(f"{one.name} went back")
            if one.wrong:
                found.append(f"{one.name}: {one.wrong} look-ups did not answer by their state")
            for key, told in one.tenants.items():
                if key in held and held[key] != told:
                    found.append(f"{one.name} holds {key} as of {told[1]}")
        return found

    def took(self, reports: list[Report], numbers: Iterable[int]) -> dict[str, Any]:
        """From each of these acknowledgements, and proposals, until each follower's look-ups answer by it."""
        after, whole = [], []
        for seen in (one for report in reports for one in report.followers):
            states = [number for number, _ in seen.states]
            for number in numbers:
                when = seen.states[bisect_left(states, number)][1]
                after.append(max(0, when - self.at[number]))
                whole.append(when - self.asked[number])
        after.sort()
        whole.sort()
        return {
            "counted": len(after),
            "middle_ms": _ms(after, 0.5),
            "of_99_in_100_ms": _ms(after, 0.99),
            "last_ms": _ms(after, 1.0),
            "middle_ms_from_asking": _ms(whole, 0.5),
            "last_ms_from_asking": _ms(whole, 1.0),
        }


def _ms(spans: list[int], part: float) -> float:
    """Of ns in order."""
    return round(spans[min(len(spans) - 1, int(len(spans) * part))] / 1e6, 1)


# ---- changes, and what they cost


class Spent(NamedTuple):
    """Cores over a span, by process."""

    begun: float
    cpu: dict[int, float]

    @classmethod
    def now(cls, pids: list[int]) -> "Spent":
        return cls(time.monotonic(), {pid: cpu_seconds(pid) for pid in pids})

    def cores(self, pid: int) -> float:
        return round((cpu_seconds(pid) - self.cpu[pid]) / (time.monotonic() - self.begun), 4)


class Changes:
    """Drawn as those of the fleets in virtual time; open loop: each is proposed at its time."""

    def __init__(self, region: Region, kept: Kept, routes: int, tenants: int, seed: int) -> None:
        nowhere: Any = None  # of a load only its changes are asked for
        self.region, self.kept = region, kept
        self.load, self.chance = Load(nowhere, routes, tenants, seed), Random(seed)

    async def run(self, rate: float, seconds: float) -> None:
        end = due = time.monotonic()
        end += seconds
        async with anyio.create_task_group() as group:
            while (due := due + self.chance.expovariate(rate)) < end:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                group.start_soon(self._one, self.load.change())

    async def _one(self, told: Propose) -> None:
        asked = time.monotonic_ns()
        answer = await self.region.propose(told, 15.0)
        kept = self.kept
        if not answer.sequence:
            kept.lost.append(f"{told.request_id}: {answer.reason}")
            return
        kept.asked[answer.sequence], kept.at[answer.sequence] = asked, time.monotonic_ns()
        kept.items[answer.sequence] = told.items
        kept.last = max(kept.last, answer.sequence)


async def phase(
    region: Region, changes: Changes, many: int, seconds: float, seed: int, tell: Tell, death: bool = False
) -> tuple[dict[str, Any], list[str]]:
    """So many followers, cold at once, then changes at ten times the day's rate; and with `death` as long
    again, a relay killed on the way. The faults that were found with it."""
    kept, rate = changes.kept, 10 * size("changes_day") / DAY
    async with crowd(region, many, changes.load.tenants, seed) as all_of_them:
        begun = min(await all_of_them.ask("go", int))
        spent = Spent.now([region.pid(name) for name in region.relays])
        await all_of_them.stand(kept.last)
        cold = await all_of_them.tell()
        loaded = [seen.states[-1][1] for one in cold for seen in one.followers]
        found: dict[str, Any] = {
            "followers": many,
            "cold_s": round((max(loaded) - begun) / 1e9, 2),
            "cold_bytes": sum(one.got for one in cold) // many,
            "cold_silent_ms": links(cold)["longest_silent_ms"],
            "cold_relay_core": spent.cores(region.pid(region.relays[0])),
        }
        faults = kept.faults(cold)
        pids = [*map(region.pid, region.relays), *map(region.pid, region.keepers)]
        pids += [one.process.pid for one in all_of_them.some]
        before, first, spent = await all_of_them.tell(), kept.last, Spent.now(pids)
        await changes.run(rate, seconds)
        span = time.monotonic() - spent.begun
        writer = await region.writer()
        cores = {name: spent.cores(region.pid(name)) for name in [*region.relays, *region.keepers]}
        after = await all_of_them.tell()
        crowds = [spent.cores(one.process.pid) for one in all_of_them.some]
        await all_of_them.stand(kept.last)
        rest = await all_of_them.tell()
        whole = joined(after, rest)
        faults += kept.faults(whole)
        alone = [after[0].cpu - before[0].cpu, after[0].reducers - before[0].reducers]
        got, sent = (sum(getattr(one, what) for one in after) - sum(getattr(one, what) for one in before)
                     for what in ("got", "sent"))  # fmt: skip
        found |= {
            "changes": kept.last - first,
            **kept.took(whole, range(first + 1, kept.last + 1)),
            "relay_core": sum(cores[name] for name in region.relays) / len(region.relays),
            "relay_core_most": max(cores[name] for name in region.relays),
            "relay_resident_bytes": max(resident(region.pid(name)) for name in region.relays),
            "relay_bytes_s": round((got + sent) / span / len(region.relays)),
            "follower_bytes_s": round((got + sent) / span / many, 1),
            "follower_core": sum(crowds) / many,
            "follower_core_alone": alone[0] / 1e9 / span,
            "follower_core_alone_without_reducers": (alone[0] - alone[1]) / 1e9 / span,
            "writer_core": cores[writer],
            "writer_resident_bytes": resident(region.pid(writer)),
            **links(whole),
            "load_1_min": machine()["load_1_min"],
        }
        tell(f"{NAME}: {found}")
        if death:
            told, more = await _relay_dies(region, changes, all_of_them, rate, seconds)
            found["death"], faults = told, faults + more
            tell(f"{NAME}: a relay dies: {told}")
    return found, faults


def links(reports: list[Report]) -> dict[str, Any]:
    """How well they were served: a relay that says nothing for long is left."""
    seen = [one for report in reports for one in report.followers]
    return {
        "connected_again": sum(one.connects for one in seen),
        "loaded_again": sum(one.loads for one in seen),
        "longest_silent_ms": round(max(one.silent for one in seen) / 1e6),
    }


def joined(first: list[Report], then: list[Report]) -> list[Report]:
    """Of what was told in two parts one whole: the states of both, all else of the later."""
    for early, late in zip(first, then, strict=True):
        for one, other in zip(early.followers, late.followers, strict=True):
            other.states = one.states + other.states
            other.loads += one.loads
            other.wrong += one.wrong
            other.connects += one.connects
            other.silent = max(other.silent, one.silent)
    return then


async def _relay_dies(
    region: Region, changes: Changes, all_of_them: Crowd, rate: float, seconds: float
) -> tuple[dict[str, Any], list[str]]:
    """One is killed among changes; all of its followers go to the other one."""
    kept, (dies, stays) = changes.kept, region.relays
    first = kept.last
    async with anyio.create_task_group() as group:
        group.start_soon(changes.run, rate, seconds)
        await anyio.sleep(seconds / 4)
        region.processes[dies].kill()
        killed = time.monotonic_ns()
        spent = Spent.now([region.pid(stays)])
    core = spent.cores(region.pid(stays))
    await all_of_them.stand(kept.last, stays)
    reports = await all_of_them.tell()
    numbers = range(first + 1, kept.last + 1)
    later = [number for number in numbers if kept.at[number] >= killed]
    told = {
        "changes": len(numbers),
        **kept.took(reports, numbers),
        "changes_after_it": len(later),
        "last_ms_after_it": kept.took(reports, later)["last_ms"],
        **links(reports),
        "relay_core": core,
        "relay_resident_bytes": resident(region.pid(stays)),
    }
    found = kept.faults(reports)
    told["relay_start"] = await region.started(dies)
    return told, found


# ---- a table as an operator loads it, and as a disk has it


def write_entries(path: Path, routes: int, seed: int) -> Entries:
    """As `export` prints them; what they are in the table, all of version 0."""
    chance = Random(seed)
    entries = [(route_key(place), route_value(chance)) for place in range(routes)]
    held: Entries = {}
    with path.open("wb") as file:
        for key, value in [("common/tenant", b'{"share":0.0001}'), *entries]:
            told = orjson.loads(value)
            held[key] = orjson.dumps(told), 0
            file.write(orjson.dumps({"key": key, "value": told}) + b"\n")
    return held


async def put_all(region: Region, routes: int, seed: int) -> tuple[Kept, dict[str, Any], list[str]]:
    """By the command, a process of its own as an operator runs it."""
    path = region.folder / "entries"
    wanted = write_entries(path, routes, seed)
    ports = {name: region.fleet.ports[name] for name in region.keepers}
    at = [word for name in ports for word in ("--at", f"{name}=127.0.0.1:{ports[name]}")]
    words = [sys.executable, "-m", "thistleline", "feed", "put", *at, "--file", str(path), "--in-parts"]
    begun = time.monotonic()
    done = await anyio.run_process(words, check=False, stderr=subprocess.STDOUT)
    took = time.monotonic() - begun
    if done.returncode:
        raise RunTimeoutError(f"put of {routes} routes ends with {done.returncode}: {done.stdout[-300:]!r}")
    number = await region.number()
    for name in [*region.keepers, *region.relays]:
        await region.wait_for_sequence(name, number, PATIENCE)
    table = await region.table(region.relays[0], number, PATIENCE)
    held = {key: (value, version) for key, value, version in table.entries("wide")}
    same = {key: value for key, (value, _) in held.items()} == {key: one for key, (one, _) in wanted.items()}
    faults = [] if same else ["what was put is not what is held"]
    return Kept(held, number), {"put_s": round(took, 2), "changes": number}, faults


def write_folder(folder: Path, routes: int, tenants: int, seed: int) -> tuple[bytes, Entries, int, int]:
    """A keeper's, by the feed's own archive: a table and one change on top, which is the council's first
    record. That record, the entries without the tenants, the number and the bytes on disk."""
    table = made_table(routes, tenants, seed)
    change = Change(table.sequence + 1, "first", (("common/first", b"{}"),))
    made = table.apply(change)
    record = encode(Group(0, (change,), table.digest("all"), made.digest("all")))
    disk = Disk(folder, "feed")
    disk.acquire()
    try:
        archive = Archive(disk, "all")
        archive.recover()
        archive.write(made)
        stored = sum(length for _, length in disk.segments())
    finally:
        disk.release()
    held = {key: (value, version) for key, value, version in made.entries("wide")}
    return record, held, made.sequence, stored


# ---- the runs


Story = Callable[[Region], Awaitable[tuple[dict[str, Any], list[str]]]]


def with_region(seed: int, keepers: int, story: Story) -> tuple[dict[str, Any], list[str]]:
    async def run(folder: Path) -> tuple[dict[str, Any], list[str]]:
        async with anyio.create_task_group() as group:
            region = Region(folder, group, seed, keepers)
            try:
                found, faults = await story(region)
            finally:
                region.close()
                group.cancel_scope.cancel()
        faults += [f"{path.name} has a traceback" for path in sorted(folder.glob("*.log"))
                   if b"Traceback" in path.read_bytes()]  # fmt: skip
        return found, faults

    with run_folder("feedsockets", f"thistleline lab scale --part feedsockets --seed {seed}") as folder:
        found, faults = anyio.run(run, folder)
        if faults:
            (folder / "keep").touch()
        return found, faults


async def by_followers(
    sizes: list[int], routes: int, seconds: float, seed: int, tell: Tell, region: Region
) -> tuple[dict[str, Any], list[str]]:
    """Followers of each of these sizes, one after the other, at a table that an operator has loaded."""
    await region.start_with(b"")
    kept, put, faults = await put_all(region, routes, seed)
    tell(f"{NAME}: {routes} routes put: {put}")
    changes = Changes(region, kept, routes, HOT, seed)
    found: dict[str, Any] = {"put": put, "by followers": {}}
    for many in sizes:
        found["by followers"][str(many)], more = await phase(region, changes, many, seconds, seed, tell)
        faults += more
    return found, faults


async def full_table(
    routes: int, tenants: int, many: int, seconds: float, seed: int, tell: Tell, region: Region
) -> tuple[dict[str, Any], list[str]]:
    """Keepers that start from their disks, relays that load all from them, then all followers and a death."""
    work = partial(_apart, write_folder, region.folder / region.keepers[0], routes, tenants, seed)
    record, held, number, stored = await anyio.to_thread.run_sync(work)
    for name in region.keepers[1:]:
        shutil.copytree(region.folder / region.keepers[0], region.folder / name)
    begun = time.monotonic()
    await region.start_with(record)
    found: dict[str, Any] = {"disk_bytes": stored, "keepers_s": round(time.monotonic() - begun, 2)}
    for name in region.relays:
        await region.wait_for_sequence(name, number, PATIENCE)
    found["relays_cold_s"] = round(time.monotonic() - begun - found["keepers_s"], 2)
    changes = Changes(region, Kept(held, number), routes, tenants, seed)
    begun = time.monotonic()
    await changes.run(10 * size("changes_day") / DAY, 1.0)
    await region.wait_until_durable(await region.writer(), changes.kept.last, PATIENCE)
    found["first_on_disk_s"] = round(time.monotonic() - begun, 2)
    tell(f"{NAME}: {routes} routes and {tenants} tenants: {found}")
    writer = await region.writer()
    other = next(name for name in region.keepers if name != writer)
    region.processes[other].kill()
    again = await region.started(other)
    found |= {"keeper_start_s": again["s"], "keeper_start_resident_bytes": again["resident_bytes"]}
    told, faults = await phase(region, changes, many, seconds, seed, tell, True)
    death = told.pop("death")
    start = death.pop("relay_start")
    found |= {"relay_start_s": start["s"], "relay_start_resident_bytes": start["resident_bytes"]}
    return {"full table": found, "cases": {"ten times": told, "a relay dies": death}}, faults


def _apart(call: Callable[..., Any], *told: Any) -> Any:
    """In a process of its own, so that this one's loop goes on and its memory stays small."""
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(call, *told).result()


def rows_of(found: dict[str, Any]) -> list[Row]:
    each = list(found.values())
    many = [one["followers"] for one in each]
    region, half = size("instances") // size("regions"), size("instances") // size("regions") // 2
    note = "two relays; 9.7 changes a second"

    def row(name: str, kind: slopes.Kind, unit: str, what: str, relay: bool = False) -> Row:
        sizes = [one // 2 for one in many] if relay else many
        values = [float(one[what]) for one in each]
        return slopes.row(f"region: {name}", kind, unit, "follower", sizes, values, half if relay else region,
                          1, note)  # fmt: skip

    return [
        row("bytes of a relay a second", "count", "bytes", "relay_bytes_s", True),
        row("a relay's core", "time", "cores", "relay_core", True),
        row("a relay's resident memory", "memory", "bytes", "relay_resident_bytes", True),
        row("a follower's core, many in a process", "time", "cores", "follower_core"),
        row("a follower's core, alone in its process", "time", "cores", "follower_core_alone"),
        row("last in force", "time", "ms", "last_ms"),
        row("cold start of all", "time", "s", "cold_s"),
        row("bytes of a cold start of a follower", "count", "bytes", "cold_bytes"),
    ]


def measure(quick: bool, seed: int, tell: Tell) -> Part:
    routes, tenants = (300, 100) if quick else (size("routes"), size("tenants"))
    sizes, seconds = ([12], 2.0) if quick else (SIZES, 10.0)
    tell(f"{NAME}: {sizes[0]} to {sizes[-1]} followers of real processes")
    begun = machine()
    found, faults = with_region(
        seed, 1 if quick else 3, partial(by_followers, sizes, routes, seconds, seed, tell)
    )
    told = found["by followers"].values()
    bars = {
        "all followers end at what was acknowledged, none goes back": not faults,
        "every change was told to every follower": all(
            one["counted"] == one["changes"] * one["followers"] and one["changes"] for one in told
        ),
        "no follower loads all again": not any(one["loaded_again"] for one in told),
    }
    figures: dict[str, Any] = {**found, "machine": begun}
    if quick:
        return {"rows": [], "figures": figures | {"faults": faults}, "bars": bars}
    more, others = with_region(seed, 3, partial(full_table, routes, tenants, sizes[-1], 20.0, seed, tell))
    figures |= more | {"faults": faults + others, "machine at the end": machine()}
    cases, bound = more["cases"], size("in_force_s") * 1000
    bars |= {
        "with all tenants: all end at what was acknowledged, none goes back": not others,
        "last in force under 7 s, up to 735 followers": all(
            one["last_ms_from_asking"] < bound for one in told
        ),
        **{
            f"last in force under 7 s, with all tenants, {name}": one["last_ms_from_asking"] < bound
            for name, one in cases.items()
        },
        "no follower loads all again as a relay dies": not cases["a relay dies"]["loaded_again"],
    }
    return {"rows": rows_of(found["by followers"]), "figures": figures, "bars": bars}
