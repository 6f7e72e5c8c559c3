"""The change feed of one region on real sockets and disks.

A consensus cluster, three keepers and two relays of the program serve followers that run the real feed client
(scale/followers.py), with a real connection each.

The oracle knows which changes were acknowledged and what the followers observed; it computes the digest that
all must reach from a plain dict. Times are from the acknowledgement to the moment from which a follower's
look-ups use the change. All processes share one machine: a follower's CPU share is measured in a process that
has no other follower.
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
from thistleline.lab.scale.feed import DAY, HOT_TENANTS, Load, make_table, route_key, route_value
from thistleline.lab.scale.followers import FollowersSettings, Report
from thistleline.lab.scale.instance import cpu_seconds, machine, resident
from thistleline.lab.scale.size import size
from thistleline.lab.scale.slopes import Part, Row
from thistleline.lease.protocol import Done, Put
from thistleline.store.disk import Disk
from thistleline.transport.address import Address

NAME = "feed on sockets"
SIZES = [35, 75, 150, 350, 735]  # followers of the region
FOLLOWER_PROCESSES = 4  # processes for all followers but the one that is alone
TIMEOUT_S = 120.0  # longest wait, as until all followers have a change or a keeper has loaded its table
MAX_LINE_SIZE = 64 << 20  # bytes of a report of a process
Tell = Callable[[str], None]
Entries = dict[str, tuple[bytes, int]]


class Region(FeedFleet):
    """Relays side by side with folders of their own, and direct connections without the lab's proxies."""

    lease = "3s"

    async def open_relay(self, source: str, target: str) -> Address:
        """Return the address itself."""
        return self.address(target)

    async def start_from_record(self, first: bytes) -> None:
        """Start all processes.

        Args:
            first: First record of the consensus cluster, or nothing; the keepers' folders end with it.

        Raises:
            RunTimeoutError: The cluster did not take the record, or no keeper writes.
        """
        fleet = self.fleet
        for name in [*self.keepers, *self.relays]:
            fleet.ports[name] = free_port()
        await fleet.start_replicas()
        await fleet.form()
        if first and not isinstance(await fleet.request(Put(record_key(0), first, 0)), Done):
            raise RunTimeoutError("the consensus cluster did not take the first record")
        for name in self.keepers:
            await self._start_keeper(name)
        for name in self.relays:
            await self._start_relay(name, 1, self.keepers, True)
        self.keeper_addresses = {name: self.address(name) for name in self.keepers}
        await self.writer(TIMEOUT_S)

    def pid(self, name: str) -> int:
        """Return the process id."""
        process = self.processes[name].process
        assert process is not None
        return process.pid

    async def newest_number(self) -> int:
        """Return the writer's sequence number."""
        result = await self.read_status(await self.writer())
        return result.sequence if result is not None else 0

    async def restart(self, name: str) -> dict[str, Any]:
        """Start a process again with what its disk holds.

        Returns:
            Seconds until it answers, and its memory then.
        """
        started = time.monotonic()
        self.processes[name].start()
        await self.wait_for_sequence(name, 1, TIMEOUT_S)
        return {"s": round(time.monotonic() - started, 2), "resident_bytes": resident(self.pid(name))}


# ---- the followers


class FollowerProcess:
    """A process of followers."""

    def __init__(self, process: Process) -> None:
        """Take the started process."""
        assert process.stdout is not None
        self.process, self.out = process, BufferedByteReceiveStream(process.stdout)

    async def ask(self, command: str) -> bytes:
        """Send a command and return its answer."""
        assert self.process.stdin is not None
        await self.process.stdin.send(command.encode() + b"\n")
        return await self.out.receive_until(b"\n", MAX_LINE_SIZE)


class Followers:
    """All followers; the first of them is alone in its process."""

    def __init__(self, processes: list[FollowerProcess], count: int) -> None:
        """Take the processes and the number of their followers."""
        self.processes, self.count = processes, count

    async def ask(self, command: str, kind: Any) -> list[Any]:
        """Send a command to all processes at the same time and return their decoded answers."""
        answers: list[Any] = [None] * len(self.processes)

        async def ask_one(index: int) -> None:
            answers[index] = msgspec.json.decode(await self.processes[index].ask(command), type=kind)

        async with anyio.create_task_group() as group:
            for index in range(len(self.processes)):
                group.start_soon(ask_one, index)
        return answers

    async def report(self) -> list[Report]:
        """Return the reports since the last ones."""
        return await self.ask("tell", Report)

    async def wait_for(self, number: int, upstream: str = "") -> None:
        """Wait until all followers have reached the number, and follow the upstream if one is named.

        Raises:
            RunTimeoutError: They did not within TIMEOUT_S.
        """
        with anyio.move_on_after(TIMEOUT_S):
            while True:
                positions = await self.ask("stands", tuple[dict[int, int], dict[str, int]])
                if all(
                    min(position[0]) >= number and (not upstream or list(position[1]) == [upstream])
                    for position in positions
                ):
                    return
                await anyio.sleep(0.1)
        raise RunTimeoutError(f"not all followers reached {number} within {TIMEOUT_S} s: {positions}")


@asynccontextmanager
async def run_followers(region: Region, count: int, tenants: int, seed: int) -> AsyncIterator[Followers]:
    """Run processes of so many followers that are not started yet, until the context is left."""
    others = count - 1
    shares = [
        1,
        *(
            others * (n + 1) // FOLLOWER_PROCESSES - others * n // FOLLOWER_PROCESSES
            for n in range(FOLLOWER_PROCESSES)
        ),
    ]
    sources = {name: region.address(name) for name in region.relays}
    processes: list[FollowerProcess] = []
    first = 0
    with (region.folder / "followers.log").open("ab") as log:
        try:
            for share in filter(None, shares):
                settings = msgspec.json.encode(
                    FollowersSettings(sources, first, share, tenants, seed)
                ).decode()
                command = [sys.executable, "-m", "thistleline.lab.scale.followers", settings]
                processes.append(FollowerProcess(await anyio.open_process(command, stderr=log)))
                first += share
            yield Followers(processes, count)
        finally:
            for process in processes:
                if process.process.returncode is None:
                    process.process.kill()
            with anyio.CancelScope(shield=True):
                for process in processes:
                    await process.process.wait()
                    await process.process.aclose()


# ---- the oracle


class AcknowledgedChanges:
    """The changes acknowledged on top of a known table.

    Attributes:
        base: Entries of the known table.
        first: Number of the known table.
        last: Newest acknowledged number.
        proposed_at: When each number was proposed, in ns of the monotonic clock.
        acknowledged_at: When each number was acknowledged, in ns of the monotonic clock.
        items: Items of each change.
        refused: Changes that were not made, with the reasons.
    """

    def __init__(self, base: Entries, number: int) -> None:
        """Start from a table of that number."""
        self.base, self.first, self.last = base, number, number
        self.proposed_at: dict[int, int] = {}
        self.acknowledged_at: dict[int, int] = {}
        self.items: dict[int, tuple[tuple[str, bytes | None], ...]] = {}
        self.refused: list[str] = []

    def entries(self) -> Entries:
        """Return the entries after all acknowledged changes."""
        held = dict(self.base)
        for number in sorted(self.items):
            for key, value in self.items[number]:
                held.pop(key, None)
                if value is not None:
                    held[key] = value, number
        return held

    def faults(self, reports: list[Report]) -> list[str]:
        """Return what is wrong with the followers' reports; they must have reached the newest number."""
        found = list(self.refused[:3])
        missing = sorted(set(range(self.first + 1, self.last + 1)) - self.items.keys())
        if missing:
            found.append(f"changes never acknowledged: {missing[:3]}")
        held = self.entries()
        sums = sum(
            entry_hash(key, *entry) for key, entry in held.items() if not key.startswith(PARTIAL_PREFIXES)
        )
        digest = (sums % (1 << 128)).to_bytes(16, "big")
        for follower in (one for report in reports for one in report.followers):
            numbers = [number for number, _ in follower.states]
            if (follower.number, follower.digest) != (self.last, digest):
                found.append(
                    f"{follower.name} ends at {follower.number} {follower.digest.hex()}, not {self.last}"
                )
            if numbers != sorted(numbers) or (numbers and numbers[-1] != follower.number):
                found.append(f"{follower.name} went back")
            if follower.wrong:
                found.append(f"{follower.name}: {follower.wrong} look-ups did not use their state")
            for key, entry in follower.tenants.items():
                if key in held and held[key] != entry:
                    found.append(f"{follower.name} holds {key} as of {entry[1]}")
        return found

    def latencies(self, reports: list[Report], numbers: Iterable[int]) -> dict[str, Any]:
        """Return quantiles of the times until look-ups use these changes, over all followers.

        The times are from the acknowledgement and from the proposal.
        """
        from_acknowledgement, from_proposal = [], []
        for seen in (follower for report in reports for follower in report.followers):
            states = [number for number, _ in seen.states]
            for number in numbers:
                in_force_at = seen.states[bisect_left(states, number)][1]
                from_acknowledgement.append(max(0, in_force_at - self.acknowledged_at[number]))
                from_proposal.append(in_force_at - self.proposed_at[number])
        from_acknowledgement.sort()
        from_proposal.sort()
        return {
            "counted": len(from_acknowledgement),
            "middle_ms": _quantile_ms(from_acknowledgement, 0.5),
            "of_99_in_100_ms": _quantile_ms(from_acknowledgement, 0.99),
            "last_ms": _quantile_ms(from_acknowledgement, 1.0),
            "middle_ms_from_asking": _quantile_ms(from_proposal, 0.5),
            "last_ms_from_asking": _quantile_ms(from_proposal, 1.0),
        }


def _quantile_ms(spans: list[int], quantile: float) -> float:
    """Return a quantile of sorted times in ns, in ms."""
    return round(spans[min(len(spans) - 1, int(len(spans) * quantile))] / 1e6, 1)


# ---- changes and their costs


class CpuUsage(NamedTuple):
    """CPU time of processes since a start.

    Attributes:
        started: Start, in seconds of the monotonic clock.
        cpu: CPU seconds at the start, by process id.
    """

    started: float
    cpu: dict[int, float]

    @classmethod
    def now(cls, pids: list[int]) -> "CpuUsage":
        """Start to measure these processes."""
        return cls(time.monotonic(), {pid: cpu_seconds(pid) for pid in pids})

    def cores(self, pid: int) -> float:
        """Return the cores that a process has used since the start."""
        return round((cpu_seconds(pid) - self.cpu[pid]) / (time.monotonic() - self.started), 4)


class ChangeLoad:
    """Changes like those of the fleets in virtual time.

    The load is open loop: each change is proposed at its time, whether or not earlier ones were answered.
    """

    def __init__(
        self, region: Region, acknowledged: AcknowledgedChanges, routes: int, tenants: int, seed: int
    ) -> None:
        """Draw changes to a table of so many routes and tenants."""
        no_fleet: Any = None  # only the changes of the load are used
        self.region, self.acknowledged = region, acknowledged
        self.load, self.random = Load(no_fleet, routes, tenants, seed), Random(seed)

    async def run(self, rate: float, seconds: float) -> None:
        """Propose changes for some seconds, as a Poisson process, and wait for their answers."""
        end = due = time.monotonic()
        end += seconds
        async with anyio.create_task_group() as group:
            while (due := due + self.random.expovariate(rate)) < end:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                group.start_soon(self._propose, self.load.change())

    async def _propose(self, proposal: Propose) -> None:
        proposed_at = time.monotonic_ns()
        answer = await self.region.propose(proposal, 15.0)
        acknowledged = self.acknowledged
        if not answer.sequence:
            acknowledged.refused.append(f"{proposal.request_id}: {answer.reason}")
            return
        acknowledged.proposed_at[answer.sequence], acknowledged.acknowledged_at[answer.sequence] = (
            proposed_at,
            time.monotonic_ns(),
        )
        acknowledged.items[answer.sequence] = proposal.items
        acknowledged.last = max(acknowledged.last, answer.sequence)


async def run_phase(
    region: Region,
    changes: ChangeLoad,
    count: int,
    seconds: float,
    seed: int,
    tell: Tell,
    kill_relay: bool = False,
) -> tuple[dict[str, Any], list[str]]:
    """Start so many followers cold at the same time, then send changes at ten times the day's mean rate.

    Args:
        region: The running region.
        changes: The changes.
        count: Number of followers.
        seconds: Duration of the changes.
        seed: Seed of the followers' look-ups.
        tell: Receives progress lines.
        kill_relay: Whether changes go on as long again, with a relay killed meanwhile.

    Returns:
        Figures and faults.
    """
    acknowledged, rate = changes.acknowledged, 10 * size("changes_day") / DAY
    async with run_followers(region, count, changes.load.tenants, seed) as followers:
        started = min(await followers.ask("go", int))
        usage = CpuUsage.now([region.pid(name) for name in region.relays])
        await followers.wait_for(acknowledged.last)
        cold_reports = await followers.report()
        loaded_at = [seen.states[-1][1] for report in cold_reports for seen in report.followers]
        found: dict[str, Any] = {
            "followers": count,
            "cold_s": round((max(loaded_at) - started) / 1e9, 2),
            "cold_bytes": sum(report.got for report in cold_reports) // count,
            "cold_silent_ms": connection_figures(cold_reports)["longest_silent_ms"],
            "cold_relay_core": usage.cores(region.pid(region.relays[0])),
        }
        faults = acknowledged.faults(cold_reports)
        pids = [*map(region.pid, region.relays), *map(region.pid, region.keepers)]
        pids += [process.process.pid for process in followers.processes]
        reports_before, first_number, usage = await followers.report(), acknowledged.last, CpuUsage.now(pids)
        await changes.run(rate, seconds)
        span = time.monotonic() - usage.started
        writer = await region.writer()
        cores = {name: usage.cores(region.pid(name)) for name in [*region.relays, *region.keepers]}
        load_reports = await followers.report()
        follower_cores = [usage.cores(process.process.pid) for process in followers.processes]
        await followers.wait_for(acknowledged.last)
        last_reports = await followers.report()
        reports = merge_reports(load_reports, last_reports)
        faults += acknowledged.faults(reports)
        alone_ns = [
            load_reports[0].cpu - reports_before[0].cpu,
            load_reports[0].reducers - reports_before[0].reducers,
        ]
        got, sent = (sum(getattr(report, direction) for report in load_reports)
                     - sum(getattr(report, direction) for report in reports_before)
                     for direction in ("got", "sent"))  # fmt: skip
        found |= {
            "changes": acknowledged.last - first_number,
            **acknowledged.latencies(reports, range(first_number + 1, acknowledged.last + 1)),
            "relay_core": sum(cores[name] for name in region.relays) / len(region.relays),
            "relay_core_most": max(cores[name] for name in region.relays),
            "relay_resident_bytes": max(resident(region.pid(name)) for name in region.relays),
            "relay_bytes_s": round((got + sent) / span / len(region.relays)),
            "follower_bytes_s": round((got + sent) / span / count, 1),
            "follower_core": sum(follower_cores) / count,
            "follower_core_alone": alone_ns[0] / 1e9 / span,
            "follower_core_alone_without_reducers": (alone_ns[0] - alone_ns[1]) / 1e9 / span,
            "writer_core": cores[writer],
            "writer_resident_bytes": resident(region.pid(writer)),
            **connection_figures(reports),
            "load_1_min": machine()["load_1_min"],
        }
        tell(f"{NAME}: {found}")
        if kill_relay:
            death_figures, more_faults = await _kill_relay(region, changes, followers, rate, seconds)
            found["death"], faults = death_figures, faults + more_faults
            tell(f"{NAME}: a relay dies: {death_figures}")
    return found, faults


def connection_figures(reports: list[Report]) -> dict[str, Any]:
    """Return how often followers reconnected or reloaded; they leave a relay that is silent for long."""
    seen = [follower for report in reports for follower in report.followers]
    return {
        "connected_again": sum(follower.connects for follower in seen),
        "loaded_again": sum(follower.loads for follower in seen),
        "longest_silent_ms": round(max(follower.silent for follower in seen) / 1e6),
    }


def merge_reports(earlier: list[Report], later: list[Report]) -> list[Report]:
    """Merge two reports of each follower into the later one.

    It gets the states of both, the sums of the counts and the longest silence; all else of it stays.
    """
    for early, late in zip(earlier, later, strict=True):
        for before, after in zip(early.followers, late.followers, strict=True):
            after.states = before.states + after.states
            after.loads += before.loads
            after.wrong += before.wrong
            after.connects += before.connects
            after.silent = max(after.silent, before.silent)
    return later


async def _kill_relay(
    region: Region, changes: ChangeLoad, followers: Followers, rate: float, seconds: float
) -> tuple[dict[str, Any], list[str]]:
    """Kill a relay while changes are made; all of its followers move to the other one."""
    acknowledged, (killed_relay, other_relay) = changes.acknowledged, region.relays
    first_number = acknowledged.last
    async with anyio.create_task_group() as group:
        group.start_soon(changes.run, rate, seconds)
        await anyio.sleep(seconds / 4)
        region.processes[killed_relay].kill()
        killed_at = time.monotonic_ns()
        usage = CpuUsage.now([region.pid(other_relay)])
    core = usage.cores(region.pid(other_relay))
    await followers.wait_for(acknowledged.last, other_relay)
    reports = await followers.report()
    numbers = range(first_number + 1, acknowledged.last + 1)
    numbers_after = [number for number in numbers if acknowledged.acknowledged_at[number] >= killed_at]
    figures = {
        "changes": len(numbers),
        **acknowledged.latencies(reports, numbers),
        "changes_after_it": len(numbers_after),
        "last_ms_after_it": acknowledged.latencies(reports, numbers_after)["last_ms"],
        **connection_figures(reports),
        "relay_core": core,
        "relay_resident_bytes": resident(region.pid(other_relay)),
    }
    faults = acknowledged.faults(reports)
    figures["relay_start"] = await region.restart(killed_relay)
    return figures, faults


# ---- tables: loaded by an operator, and stored on disk


def write_entries(path: Path, routes: int, seed: int) -> Entries:
    """Write a table as `export` prints it; return its entries, all of version 0."""
    random = Random(seed)
    entries = [(route_key(index), route_value(random)) for index in range(routes)]
    held: Entries = {}
    with path.open("wb") as file:
        for key, value in [("common/tenant", b'{"share":0.0001}'), *entries]:
            decoded = orjson.loads(value)
            held[key] = orjson.dumps(decoded), 0
            file.write(orjson.dumps({"key": key, "value": decoded}) + b"\n")
    return held


async def put_entries(
    region: Region, routes: int, seed: int
) -> tuple[AcknowledgedChanges, dict[str, Any], list[str]]:
    """Put a table by the command, in a process of its own as an operator runs it.

    Returns:
        The acknowledged changes, figures and faults.

    Raises:
        RunTimeoutError: The command failed, or a keeper or relay did not get the table.
    """
    path = region.folder / "entries"
    put = write_entries(path, routes, seed)
    ports = {name: region.fleet.ports[name] for name in region.keepers}
    endpoints = [argument for name in ports for argument in ("--at", f"{name}=127.0.0.1:{ports[name]}")]
    command = [
        sys.executable,
        "-m",
        "thistleline",
        "feed",
        "put",
        *endpoints,
        "--file",
        str(path),
        "--in-parts",
    ]
    started = time.monotonic()
    result = await anyio.run_process(command, check=False, stderr=subprocess.STDOUT)
    took = time.monotonic() - started
    if result.returncode:
        raise RunTimeoutError(
            f"feed put of {routes} routes failed with exit code {result.returncode}: {result.stdout[-300:]!r}"
        )
    number = await region.newest_number()
    for name in [*region.keepers, *region.relays]:
        await region.wait_for_sequence(name, number, TIMEOUT_S)
    table = await region.table(region.relays[0], number, TIMEOUT_S)
    held = {key: (value, version) for key, value, version in table.entries("wide")}
    same = {key: value for key, (value, _) in held.items()} == {key: value for key, (value, _) in put.items()}
    faults = [] if same else ["the table differs from the entries that were put"]
    return AcknowledgedChanges(held, number), {"put_s": round(took, 2), "changes": number}, faults


def write_keeper_folder(
    folder: Path, routes: int, tenants: int, seed: int
) -> tuple[bytes, Entries, int, int]:
    """Write a keeper's folder with the feed's own archive.

    It holds a table with one change on top, which is the first record of the consensus cluster.

    Returns:
        That record, the entries without the tenants, the newest number and the bytes on disk.
    """
    table = make_table(routes, tenants, seed)
    change = Change(table.sequence + 1, "first", (("common/first", b"{}"),))
    newest = table.apply(change)
    record = encode(Group(0, (change,), table.digest("all"), newest.digest("all")))
    disk = Disk(folder, "feed")
    disk.acquire()
    try:
        archive = Archive(disk, "all")
        archive.recover()
        archive.write(newest)
        disk_bytes = sum(length for _, length in disk.segments())
    finally:
        disk.release()
    held = {key: (value, version) for key, value, version in newest.entries("wide")}
    return record, held, newest.sequence, disk_bytes


# ---- the runs


Scenario = Callable[[Region], Awaitable[tuple[dict[str, Any], list[str]]]]


def run_with_region(seed: int, keepers: int, scenario: Scenario) -> tuple[dict[str, Any], list[str]]:
    """Run a scenario on a region; tracebacks in logs are faults, and the folder is kept if there are any."""

    async def run(folder: Path) -> tuple[dict[str, Any], list[str]]:
        async with anyio.create_task_group() as group:
            region = Region(folder, group, seed, keepers)
            try:
                found, faults = await scenario(region)
            finally:
                region.close()
                group.cancel_scope.cancel()
        faults += [f"{path.name} contains a traceback" for path in sorted(folder.glob("*.log"))
                   if b"Traceback" in path.read_bytes()]  # fmt: skip
        return found, faults

    with run_folder("feedsockets", f"thistleline lab scale --part feedsockets --seed {seed}") as folder:
        found, faults = anyio.run(run, folder)
        if faults:
            (folder / "keep").touch()
        return found, faults


async def measure_by_followers(
    sizes: list[int], routes: int, seconds: float, seed: int, tell: Tell, region: Region
) -> tuple[dict[str, Any], list[str]]:
    """Measure each number of followers in turn, on a table that an operator has loaded."""
    await region.start_from_record(b"")
    acknowledged, put_figures, faults = await put_entries(region, routes, seed)
    tell(f"{NAME}: put {routes} routes: {put_figures}")
    changes = ChangeLoad(region, acknowledged, routes, HOT_TENANTS, seed)
    found: dict[str, Any] = {"put": put_figures, "by followers": {}}
    for count in sizes:
        found["by followers"][str(count)], more_faults = await run_phase(
            region, changes, count, seconds, seed, tell
        )
        faults += more_faults
    return found, faults


async def measure_full_table(
    routes: int, tenants: int, count: int, seconds: float, seed: int, tell: Tell, region: Region
) -> tuple[dict[str, Any], list[str]]:
    """Measure the full table.

    Keepers start from their disks and relays load all from them; then all followers start, and a relay dies.
    """
    write_folder = partial(
        _in_own_process, write_keeper_folder, region.folder / region.keepers[0], routes, tenants, seed
    )
    record, held, newest, disk_bytes = await anyio.to_thread.run_sync(write_folder)
    for name in region.keepers[1:]:
        shutil.copytree(region.folder / region.keepers[0], region.folder / name)
    started = time.monotonic()
    await region.start_from_record(record)
    found: dict[str, Any] = {"disk_bytes": disk_bytes, "keepers_s": round(time.monotonic() - started, 2)}
    for name in region.relays:
        await region.wait_for_sequence(name, newest, TIMEOUT_S)
    found["relays_cold_s"] = round(time.monotonic() - started - found["keepers_s"], 2)
    changes = ChangeLoad(region, AcknowledgedChanges(held, newest), routes, tenants, seed)
    started = time.monotonic()
    await changes.run(10 * size("changes_day") / DAY, 1.0)
    await region.wait_until_durable(await region.writer(), changes.acknowledged.last, TIMEOUT_S)
    found["first_on_disk_s"] = round(time.monotonic() - started, 2)
    tell(f"{NAME}: {routes} routes and {tenants} tenants: {found}")
    writer = await region.writer()
    other_keeper = next(name for name in region.keepers if name != writer)
    region.processes[other_keeper].kill()
    keeper_start = await region.restart(other_keeper)
    found |= {
        "keeper_start_s": keeper_start["s"],
        "keeper_start_resident_bytes": keeper_start["resident_bytes"],
    }
    phase_figures, faults = await run_phase(region, changes, count, seconds, seed, tell, True)
    death = phase_figures.pop("death")
    relay_start = death.pop("relay_start")
    found |= {"relay_start_s": relay_start["s"], "relay_start_resident_bytes": relay_start["resident_bytes"]}
    return {"full table": found, "cases": {"ten times": phase_figures, "a relay dies": death}}, faults


def _in_own_process(call: Callable[..., Any], *args: Any) -> Any:
    """Call in a process of its own, so that this one's event loop runs on and its memory stays small."""
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(call, *args).result()


def rows_of(found: dict[str, Any]) -> list[Row]:
    """Return the rows by followers."""
    phases = list(found.values())
    counts = [phase["followers"] for phase in phases]
    region_followers, relay_followers = (
        size("instances") // size("regions"),
        size("instances") // size("regions") // 2,
    )
    note = "two relays; 9.7 changes a second"

    def row(name: str, kind: slopes.Kind, unit: str, figure: str, relay: bool = False) -> Row:
        sizes = [count // 2 for count in counts] if relay else counts
        values = [float(phase[figure]) for phase in phases]
        return slopes.row(f"region: {name}", kind, unit, "follower", sizes, values,
                          relay_followers if relay else region_followers, 1, note)  # fmt: skip

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
    """Measure the part: by followers, and in the long run the full table."""
    routes, tenants = (300, 100) if quick else (size("routes"), size("tenants"))
    sizes, seconds = ([12], 2.0) if quick else (SIZES, 10.0)
    tell(f"{NAME}: {sizes[0]} to {sizes[-1]} followers of real processes")
    machine_before = machine()
    found, faults = run_with_region(
        seed, 1 if quick else 3, partial(measure_by_followers, sizes, routes, seconds, seed, tell)
    )
    phases = found["by followers"].values()
    bars = {
        "all followers end at what was acknowledged, none goes back": not faults,
        "every change was told to every follower": all(
            phase["counted"] == phase["changes"] * phase["followers"] and phase["changes"] for phase in phases
        ),
        "no follower loads all again": not any(phase["loaded_again"] for phase in phases),
    }
    figures: dict[str, Any] = {**found, "machine": machine_before}
    if quick:
        return {"rows": [], "figures": figures | {"faults": faults}, "bars": bars}
    full_table, full_faults = run_with_region(
        seed, 3, partial(measure_full_table, routes, tenants, sizes[-1], 20.0, seed, tell)
    )
    figures |= full_table | {"faults": faults + full_faults, "machine at the end": machine()}
    cases, max_ms = full_table["cases"], size("in_force_s") * 1000
    bars |= {
        "with all tenants: all end at what was acknowledged, none goes back": not full_faults,
        "last in force under 7 s, up to 735 followers": all(
            phase["last_ms_from_asking"] < max_ms for phase in phases
        ),
        **{
            f"last in force under 7 s, with all tenants, {name}": phase["last_ms_from_asking"] < max_ms
            for name, phase in cases.items()
        },
        "no follower loads all again as a relay dies": not cases["a relay dies"]["loaded_again"],
    }
    return {"rows": rows_of(found["by followers"]), "figures": figures, "bars": bars}
